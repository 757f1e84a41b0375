//! Load (the decisions' settings for one service): from the operators' routes, the rules' bounds and what is
//! known of the fleet, in the words of `garnetdoor`'s settings. No I/O. Each value that is chosen here stands
//! with its reason; the others follow from the settings file or the configuration.

mod share;
mod trial;

use configuration::{Configuration, RouteKind};
use garnetdoor::host::{Micros, Settings};
use indexmap::IndexMap;
use types::{MS, SECOND};

pub use share::{ConnectionShare, gateways_ahead};
pub use trial::loaded_instances;

/// Clients heed a time to come back up to a third of what they have left; longer ones are cut there, and this
/// is the longest where much is left: a few answers' time, so that those turned back come again spread.
const COME_BACK: Micros = 300 * MS;
/// Of the time left, as above, with a little less for the way.
const COME_BACK_SHARE: f64 = 0.3;
/// Of what an instance can do while it says that it is slow. Its warm-up tells for how long, not how slow; half
/// is a middle between nothing and all, and its own answers soon tell more.
const COLD_FROM: f64 = 0.5;
/// Within this a cold instance gets its part of the finished work: a few answers of any service.
const FALL: Micros = 3 * SECOND;
/// Idle connections are kept for so long, as the pool keeps them.
const IDLE_CLOSE: Micros = 4 * SECOND;
/// A vote back that is not renewed for so long stands no more: three of the rounds in which gateways tell.
pub const VOTE_LIFETIME: Micros = 3 * SECOND;
/// How long the way of a vote to the prompters takes at most in calm.
const VOTE_WAIT: Micros = 400 * MS;
/// Of the slack for exposure, this part is spent by all gateways together; the rest is for what is under way
/// when a verdict comes, and for gateways that began anew.
const FREE_PART: f64 = 0.25;
/// What a crossing of zones adds to a server's cost, over 8: half as much again. A zone near by is worth a
/// shorter queue here, but not one twice as long there.
const CROSSING: f64 = 0.0625;

/// When a client may come again whose request can't be sent anywhere yet: as late as it heeds, so that its few
/// tries last until something is known here. Guards against clients that use them up while a fleet starts.
pub fn retry_after(left: Micros) -> Micros {
    (COME_BACK_SHARE * left.max(0) as f64) as Micros
}

/// The rules' bounds that bind a gateway's decisions.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetLimits {
    pub retry_ratio: f64,
    pub retry_slack: f64,
    pub retry_window: Micros,
    pub exposure_slack: f64,
}

/// What is known of the fleet, and of this gateway in it.
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    pub gateways: usize,
    pub gateway_index: usize,
    /// The longest warm-up that an instance has told of.
    pub longest_warmup: Micros,
    /// All zones, and the number of the own one.
    pub zones: Vec<String>,
    pub own_zone: usize,
    /// This gateway's part of a whole that all share, for 1.
    pub budget_share: f64,
}

/// Routes by the numbers that the decisions know them by. A number stays with a route; one whose kind has
/// changed gets another, since what ran before was of another kind.
#[derive(Clone, Debug, Default)]
pub struct RouteProfiles(IndexMap<(String, bool), ()>);

impl RouteProfiles {
    pub fn profile_id(&self, route: &str, kind: RouteKind) -> Option<usize> {
        self.0.get_index_of(&(route.to_owned(), kind.is_idempotent()))
    }

    pub fn route_name(&self, number: usize) -> Option<&str> {
        self.0.get_index(number).map(|((route, _), ())| route.as_str())
    }
}

/// The settings of one service's decisions. `settled`: this gateway was up before the trial under way began;
/// one that began later does not know what an earlier life sent, and takes nothing of the slack.
pub fn balancer_settings(
    service: &str, bounds: &BudgetLimits, bill: &Configuration, fleet: &Fleet, settled: bool,
    profiles: &mut RouteProfiles,
) -> Settings {
    let seconds = |span: Micros| format!("{:.6}", span as f64 / 1e6);
    let mut pairs: Vec<(String, String)> = Vec::new();
    let mut tries = 1;
    for route in bill.routes.values() {
        if !route.targets.iter().any(|target| &*target.service == service) {
            continue;
        }
        let safe = route.kind.is_idempotent();
        let (number, _) = profiles.0.insert_full((route.name.to_string(), safe), ());
        let mut class = |what: &str, value: String| pairs.push((format!("classes.{number}.{what}"), value));
        class("repeat", if safe { "safe" } else { "unsafe" }.to_owned());
        class("on_time", seconds(route.target_latency));
        class("rank", route.priority.to_string());
        class("try_limit", route.max_attempts.to_string());
        tries = tries.max(route.max_attempts);
    }
    let mut set = |name: &str, value: String| pairs.push((name.to_owned(), value));
    let gateways = fleet.gateways.max(1) as f64;
    set("classes.count", profiles.0.len().to_string());
    set("areas", fleet.zones.join(","));
    set("zone", fleet.own_zone.to_string());
    set("index", fleet.gateway_index.to_string());
    set("fleet_size", gateways.to_string());
    set("prices.cross_zone", CROSSING.to_string());
    set("policy_limits.try_limit", tries.to_string());
    set("policy_limits.retry_after", "true".to_owned());
    set("policy_limits.max_retry_after", seconds(COME_BACK));
    set("policy_limits.retry_after_share", COME_BACK_SHARE.to_string());
    // The whole here: each gateway's part is kept by the purse, which the host asks.
    set("policy_limits.retry_ratio", bounds.retry_ratio.to_string());
    set("policy_limits.retry_slack", bounds.retry_slack.to_string());
    set("policy_limits.retry_window", seconds(bounds.retry_window));
    set("policy_limits.idle_close", seconds(IDLE_CLOSE));
    set("safety.cold", seconds(fleet.longest_warmup));
    set("safety.cold_from", COLD_FROM.to_string());
    set("safety.fall", seconds(FALL));
    // The verdict is the control plane's; these only set how high one gateway's statistic stands.
    set("domain.gate_mode", "share".to_owned());
    set("domain.ayes_needed", (gateways / 2.0).ceil().to_string());
    set("domain.noes_needed", (gateways / 4.0).ceil().to_string());
    set("domain.exposure_caps", "0".to_owned());
    set("domain.exposure_since", "order".to_owned());
    set("domain.zones_near", "true".to_owned());
    set("domain.young_err", "true".to_owned());
    set("domain.late_counts", "true".to_owned());
    let free = if settled { bounds.exposure_slack * FREE_PART * fleet.budget_share } else { 0.0 };
    set("domain.free", free.to_string());
    set("domain.vote_wait", seconds(VOTE_WAIT));
    set("domain.vote_life", seconds(VOTE_LIFETIME));
    // Votes go by datagram, each gateway once a second: no call is scarce.
    set("domain.votes_per_s", "1000".to_owned());
    pairs.into_iter().collect()
}
