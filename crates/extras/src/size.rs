//! Size (of a hollow fleet): what is varied, within the bounds of what can be asked for.

use serde::Serialize;
use types::{MS, Micros, SECOND};

/// How large a fleet is, and how its day goes.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Size {
    pub gateways: usize,
    pub prompters: usize,
    pub instances: usize,
    pub services: usize,
    pub routes: usize,
    /// Names in a list that the configuration carries and nothing uses; there are no tenants in the system.
    pub tenants: usize,
    pub seed: u64,
    /// All machines and instances start within this.
    pub spread: Micros,
    /// Requests a second at each of the first `drawn` gateways.
    pub requests: u32,
    pub drawn: usize,
    /// What a machine's link carries, in Mbit/s.
    pub link: f64,
    /// How long the phases last.
    pub start: Micros,
    pub steady: Micros,
    pub change: Micros,
    /// A version of the first service is on trial meanwhile, and all requests that are drawn are for that service.
    pub trial: Micros,
    pub herd: Micros,
}

/// Zones, dealt in turn; the first half of them is the first region.
pub const ZONES: usize = 6;
pub const REGIONS: usize = 2;
/// Between an instance's beats.
pub const HEARTBEAT: Micros = 1_500 * MS;

impl Default for Size {
    fn default() -> Size {
        Size {
            gateways: 30,
            prompters: 3,
            instances: 300,
            services: 26,
            routes: 100,
            tenants: 0,
            seed: 1,
            spread: 300 * MS,
            requests: 0,
            drawn: 0,
            link: 1000.0,
            start: 15 * SECOND,
            steady: 10 * SECOND,
            change: 6 * SECOND,
            trial: 0,
            herd: 10 * SECOND,
        }
    }
}

/// Why a size can't be played.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("{what}: {found}; expected {expected}")]
pub struct Wrong {
    pub what: &'static str,
    pub found: usize,
    pub expected: &'static str,
}

impl Size {
    /// The size to design for.
    pub fn design() -> Size {
        Size {
            gateways: 880,
            prompters: 4,
            instances: 9_600,
            services: 260,
            routes: 9_800,
            tenants: 39_000,
            ..Size::default()
        }
    }

    pub fn check(&self) -> Result<(), Wrong> {
        let wrong = |what, found, expected| Err(Wrong { what, found, expected });
        if !(1..=2_000).contains(&self.gateways) {
            return wrong("gateways", self.gateways, "1 to 2000");
        }
        if !(1..=200).contains(&self.prompters) {
            return wrong("prompters", self.prompters, "1 to 200");
        }
        if self.instances > 20_000 {
            return wrong("instances", self.instances, "at most 20000");
        }
        if !(1..=1_000).contains(&self.services) {
            return wrong("services", self.services, "1 to 1000");
        }
        if !(1..=100_000).contains(&self.routes) {
            return wrong("routes", self.routes, "1 to 100000");
        }
        if self.tenants > 200_000 {
            return wrong("tenants", self.tenants, "at most 200000");
        }
        Ok(())
    }

    /// Machines of the system.
    pub fn machines(&self) -> usize {
        self.prompters + self.gateways
    }
}
