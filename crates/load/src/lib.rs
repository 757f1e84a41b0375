//! Settings of the balancer that decides for one service, derived from the operators' routes, the limits that apply to
//! all gateways together, and what is known of the fleet. Which instances a gateway uses is decided here as well. No
//! I/O.
//!
//! Values that are chosen here stand with their reasons; all others follow from the settings file or the
//! configuration.

mod share;
mod trial;

use configuration::{Configuration, RouteKind};
use garnetdoor::host::{Micros, Settings};
use indexmap::IndexMap;
use types::{MS, SECOND};

pub use share::{ConnectionShare, gateways_ahead};
pub use trial::loaded_instances;

/// The longest time after which a rejected client is told to retry: as long as a few answers take, so that rejected
/// clients come back spread out.
const MAX_RETRY_AFTER: Micros = 300 * MS;
/// Clients respect a time to retry after up to a third of the time that they have left; a longer one is cut there.
/// This is a little less than a third, to allow for network delay.
const RETRY_AFTER_FRACTION: f64 = 0.3;
/// The fraction of its capacity that an instance is assumed to have while it reports a warm-up. The report says for how
/// long the instance is slow, not how slow; a half is in the middle, and its own answers soon tell more.
const WARMUP_START_CAPACITY: f64 = 0.5;
/// Within this time a cold instance gets its share of the completed work: a few answers of any service.
const COLD_SHARE_WINDOW: Micros = 3 * SECOND;
/// For how long idle connections are kept, which is what the connection pool does.
const IDLE_CONNECTION_TIMEOUT: Micros = 4 * SECOND;
/// A vote to roll back that is not renewed for this long expires: three of the intervals at which gateways vote.
pub const VOTE_LIFETIME: Micros = 3 * SECOND;
/// The longest that a vote takes to reach the control nodes while the network is healthy.
const MAX_VOTE_DELAY: Micros = 400 * MS;
/// The fraction of the exposure slack that all gateways together spend. The rest is for requests in flight when a
/// verdict arrives, and for restarted gateways.
const SPENDABLE_EXPOSURE_SLACK: f64 = 0.25;
/// A server in another zone costs 1 + 8 x this, one and a half times as much: a server in the own zone is preferred
/// even if its queue is somewhat longer, but not if it is twice as long.
const CROSS_ZONE_COST: f64 = 0.0625;

/// When a client should retry whose request cannot be sent anywhere yet: as late as it respects, so that its few
/// attempts last until the gateway knows instances. Otherwise clients would use them up while a fleet starts.
pub fn retry_after(time_left: Micros) -> Micros {
    (RETRY_AFTER_FRACTION * time_left.max(0) as f64) as Micros
}

/// The limits for all gateways together that bind one gateway's decisions.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetLimits {
    /// Retries allowed per request.
    pub retry_ratio: f64,
    /// Retries allowed in any window beyond the ratio.
    pub retry_slack: f64,
    pub retry_window: Micros,
    /// Requests that a version on trial may get beyond its share.
    pub exposure_slack: f64,
}

/// What is known of the fleet, and of this gateway in it.
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    pub gateways: usize,
    pub gateway_index: usize,
    /// The longest warm-up that an instance has reported.
    pub longest_warmup: Micros,
    /// All zones.
    pub zones: Vec<String>,
    /// Index in `zones` of this gateway's own zone.
    pub own_zone: usize,
    /// This gateway's part of anything that all gateways share, as a fraction.
    pub budget_share: f64,
}

/// The routes by the numbers under which the balancer knows them. A number stays with its route. A route whose kind
/// changes between idempotent and not gets a new number, since earlier outcomes were of the other kind.
#[derive(Clone, Debug, Default)]
pub struct RouteProfiles(IndexMap<(String, bool), ()>);

impl RouteProfiles {
    pub fn profile_id(&self, route: &str, kind: RouteKind) -> Option<usize> {
        self.0.get_index_of(&(route.to_owned(), kind.is_idempotent()))
    }

    pub fn route_name(&self, profile_id: usize) -> Option<&str> {
        self.0.get_index(profile_id).map(|((route, _), ())| route.as_str())
    }
}

/// The settings of the balancer for one service; routes to it that have no profile yet get one.
///
/// `settled` says whether this gateway was up before the trial in progress began. A gateway that was started later does
/// not know what an earlier run sent, and uses nothing of the exposure slack.
pub fn balancer_settings(
    service: &str, limits: &BudgetLimits, configuration: &Configuration, fleet: &Fleet, settled: bool,
    profiles: &mut RouteProfiles,
) -> Settings {
    let mut pairs: Vec<(String, String)> = Vec::new();
    let max_attempts = add_route_classes(service, configuration, profiles, &mut pairs);
    let mut set = |name: &str, value: String| pairs.push((name.to_owned(), value));
    let gateways = fleet.gateways.max(1) as f64;
    set("classes.count", profiles.0.len().to_string());
    set("areas", fleet.zones.join(","));
    set("zone", fleet.own_zone.to_string());
    set("index", fleet.gateway_index.to_string());
    set("fleet_size", gateways.to_string());
    set("prices.cross_zone", CROSS_ZONE_COST.to_string());
    set("policy_limits.try_limit", max_attempts.to_string());
    set("policy_limits.retry_after", "true".to_owned());
    set("policy_limits.max_retry_after", in_seconds(MAX_RETRY_AFTER));
    set("policy_limits.retry_after_share", RETRY_AFTER_FRACTION.to_string());
    // The limits for all gateways: the host asks the retry budget, which keeps to this gateway's part.
    set("policy_limits.retry_ratio", limits.retry_ratio.to_string());
    set("policy_limits.retry_slack", limits.retry_slack.to_string());
    set("policy_limits.retry_window", in_seconds(limits.retry_window));
    set("policy_limits.idle_close", in_seconds(IDLE_CONNECTION_TIMEOUT));
    set("safety.cold", in_seconds(fleet.longest_warmup));
    set("safety.cold_from", WARMUP_START_CAPACITY.to_string());
    set("safety.fall", in_seconds(COLD_SHARE_WINDOW));
    // The control nodes reach the verdict; these only determine this gateway's own alarm threshold.
    set("domain.gate_mode", "share".to_owned());
    set("domain.ayes_needed", (gateways / 2.0).ceil().to_string());
    set("domain.noes_needed", (gateways / 4.0).ceil().to_string());
    set("domain.exposure_caps", "0".to_owned());
    set("domain.exposure_since", "order".to_owned());
    set("domain.zones_near", "true".to_owned());
    set("domain.young_err", "true".to_owned());
    set("domain.late_counts", "true".to_owned());
    let exposure_slack =
        if settled { limits.exposure_slack * SPENDABLE_EXPOSURE_SLACK * fleet.budget_share } else { 0.0 };
    set("domain.free", exposure_slack.to_string());
    set("domain.vote_wait", in_seconds(MAX_VOTE_DELAY));
    set("domain.vote_life", in_seconds(VOTE_LIFETIME));
    // Votes are sent as datagrams, one per second and gateway, so their rate needs no limit.
    set("domain.votes_per_s", "1000".to_owned());
    pairs.into_iter().collect()
}

/// Adds the request classes of all routes to a service, and returns the most attempts that one of them allows.
fn add_route_classes(
    service: &str, configuration: &Configuration, profiles: &mut RouteProfiles,
    pairs: &mut Vec<(String, String)>,
) -> u32 {
    let mut max_attempts = 1;
    for route in configuration.routes.values() {
        if !route.targets.iter().any(|target| &*target.service == service) {
            continue;
        }
        let idempotent = route.kind.is_idempotent();
        let (profile_id, _) = profiles.0.insert_full((route.name.to_string(), idempotent), ());
        let mut set = |name: &str, value: String| pairs.push((format!("classes.{profile_id}.{name}"), value));
        set("repeat", if idempotent { "safe" } else { "unsafe" }.to_owned());
        set("on_time", in_seconds(route.target_latency));
        set("rank", route.priority.to_string());
        set("try_limit", route.max_attempts.to_string());
        max_attempts = max_attempts.max(route.max_attempts);
    }
    max_attempts
}

/// A duration as the settings write it.
fn in_seconds(duration: Micros) -> String {
    format!("{:.6}", duration as f64 / 1e6)
}
