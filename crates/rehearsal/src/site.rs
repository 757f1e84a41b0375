//! Site (the deployment): where machines stand, the rules' bounds, services and routes. What a scenario leaves out
//! is as on the small sites.

use configuration::RouteKind;
use serde::{Deserialize, Serialize};
use types::{MS, Micros};

use crate::rules::Terms;

/// Which kinds the clients' routes are of.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kinds {
    #[default]
    Mixed,
    Safe,
    Unsafe,
    Upload,
}

/// A deployment. Spans are milliseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Site {
    /// Zones stand in regions in turn; each way between two regions takes `far` more.
    pub regions: usize,
    pub far: u64,
    /// So many core machines, the last ones, stand in the second region; without it all are spread over the zones.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub core_far: Option<usize>,
    /// Disks of the core that may be lost at once.
    pub losses: usize,
    pub services: usize,
    /// Instances of each service, and what each works on at once.
    pub instances: usize,
    pub slots: u32,
    /// A service with one instance only.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub single: Option<usize>,
    /// A service whose instances start so late.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub empty: Option<Empty>,
    pub kinds: Kinds,
    /// Routes that configurations add and remove, asked for at each foyer.
    pub added: usize,
    pub beat: u64,
    pub contact: u64,
    pub apply: u64,
    pub drain: u64,
    pub ack: u64,
    pub grace: u64,
    pub rollback: u64,
    pub retry_ratio: f64,
    pub retry_slack: f64,
    pub retry_window: u64,
    pub exposure_share: f64,
    pub exposure_slack: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Empty {
    pub service: usize,
    pub until: u64,
}

impl Default for Site {
    fn default() -> Site {
        Site {
            regions: 1,
            far: 0,
            core_far: None,
            losses: 1,
            services: 4,
            instances: 4,
            slots: 2,
            single: None,
            empty: None,
            kinds: Kinds::Mixed,
            added: 0,
            beat: 1_500,
            contact: 3_000,
            apply: 2_500,
            drain: 2_500,
            ack: 5_000,
            grace: 6_000,
            rollback: 5_000,
            retry_ratio: 0.2,
            retry_slack: 58.0,
            retry_window: 10_000,
            exposure_share: 0.1,
            exposure_slack: 50.0,
        }
    }
}

impl Site {
    pub fn usual(&self) -> bool {
        *self == Site::default()
    }

    /// Whether counts are of 1 to `most`, spans of `longest` milliseconds at most, and shares are some.
    pub fn within(&self, most: usize, longest: u64) -> bool {
        let counts = [self.regions, self.services, self.instances, self.slots as usize];
        let others = [self.losses, self.added, self.core_far.unwrap_or(0), self.single.unwrap_or(0)];
        let empty = self.empty.map_or((0, 0), |empty| (empty.service, empty.until));
        let spans = [
            self.far,
            self.beat,
            self.contact,
            self.apply,
            self.drain,
            self.ack,
            self.grace,
            self.rollback,
            self.retry_window,
            empty.1,
        ];
        let shares = [self.retry_ratio, self.retry_slack, self.exposure_share, self.exposure_slack];
        counts.iter().all(|count| (1..=most).contains(count))
            && others.iter().chain([&empty.0]).all(|count| *count <= most)
            && spans.iter().all(|span| *span <= longest)
            && self.beat > 0
            && shares.iter().all(|share| share.is_finite() && *share >= 0.0)
    }

    /// The rules' figures.
    pub fn terms(&self) -> Terms {
        let ms = |span: u64| span as Micros * MS;
        Terms {
            contact: ms(self.contact),
            apply: ms(self.apply),
            drain: ms(self.drain),
            ack: ms(self.ack),
            grace: ms(self.grace),
            rollback: ms(self.rollback),
            retry_ratio: self.retry_ratio,
            retry_slack: self.retry_slack,
            retry_window: ms(self.retry_window),
            exposure_share: self.exposure_share,
            exposure_slack: self.exposure_slack,
            ..Terms::default()
        }
    }

    /// Routes that clients ask for all day; the added ones follow.
    pub fn routes(&self) -> usize {
        self.services + 2
    }

    /// Instances of a service, as many as the platform keeps.
    pub fn each(&self, service: usize) -> usize {
        if self.single == Some(service) { 1 } else { self.instances.max(1) }
    }

    pub fn kind(&self, route: usize) -> RouteKind {
        if route >= self.routes() {
            return RouteKind::Safe;
        }
        match (self.kinds, route % 6) {
            (Kinds::Mixed, 1 | 5) | (Kinds::Unsafe, _) => RouteKind::Unsafe,
            (Kinds::Mixed, 2) | (Kinds::Upload, 0 | 2 | 4) => RouteKind::Upload,
            _ => RouteKind::Safe,
        }
    }

    /// A zone's region.
    pub fn region(&self, zone: usize) -> usize {
        zone % self.regions.max(1)
    }
}
