//! The settings in typed form, as the decisions use them. They are parsed once per change, so that no request
//! pays for reading text. Nothing here decides anything; each setting that is absent has a fixed default.

use crate::host::{GatewayId, Micros, ProfileId, SECOND, Settings};

/// Upper bound on the number of profiles, so that a mistyped `classes.count` can't exhaust the memory.
const MAX_PROFILES: usize = 65_536;

/// Whether a request that may have run on a server may be sent again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RepeatSafety {
    /// Always: running it twice has the same effect as running it once.
    Safe,
    /// While servers remember its idempotency key and drop repeats.
    Keyed,
    /// Never. All other values of the setting (`unsafe`, `upload`, none) mean this.
    #[default]
    Never,
}

/// Which servers share the memory of idempotency keys, and so drop repeats of each other's requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DedupScope {
    All,
    Zone,
    Cell,
    #[default]
    Server,
}

/// The settings of one request profile, `classes.N`.
#[derive(Clone, Debug)]
pub struct ProfileConfig {
    /// The settings name this profile. Numbers of removed profiles stay unused.
    pub listed: bool,
    pub target_latency: Micros,
    /// The target latency comes from the settings, not from the default.
    pub has_target_latency: bool,
    pub repeat_safety: RepeatSafety,
    pub dedup_scope: DedupScope,
    /// How long servers remember an idempotency key.
    pub dedup_window: Micros,
    /// Benefit of an answer in time, in arbitrary units.
    pub value: f64,
    /// Priority, 0 being the highest. Where given, it decides who is shed first, instead of `value`.
    pub rank: Option<f64>,
    /// Limit of attempts per request.
    pub max_attempts: Option<usize>,
}

/// Defaults of a profile.
const DEFAULT_PROFILE: ProfileConfig = ProfileConfig {
    listed: false,
    target_latency: SECOND,
    has_target_latency: false,
    repeat_safety: RepeatSafety::Never,
    dedup_scope: DedupScope::Server,
    dedup_window: 0,
    value: 1.0,
    rank: None,
    max_attempts: None,
};

/// This gateway's share of the retries that the platform allows all gateways together: `ratio * requests +
/// slack` in any window.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// Retries per request received in the window.
    pub ratio: f64,
    /// Retries per window in addition.
    pub slack: f64,
    pub window: Micros,
}

/// All settings of the balancer.
#[derive(Clone, Debug, Default)]
pub struct BalancerConfig {
    pub profiles: Vec<ProfileConfig>,
    /// Number of profiles that the settings name.
    pub listed_profiles: usize,
    /// The highest `value` of a profile.
    pub highest_value: f64,
    /// `value` is per unit of work, so that it is compared without dividing by the latency.
    pub value_by_work: bool,
    /// Limit of attempts per request where its profile sets none.
    pub max_attempts: usize,
    pub retry_budget: Option<RetryBudget>,
    /// A request without an answer may get a second attempt beside the first (hedging).
    pub hedging: bool,
    /// An attempt without an answer may be cancelled, to send the request elsewhere.
    pub cancelling: bool,
    /// Longest `Retry-After`; `None`: none is sent.
    pub max_retry_after: Option<Micros>,
    /// Longest `Retry-After` as a share of the client's time left.
    pub retry_after_share: Option<f64>,
    /// Gateways may send outcomes to each other.
    pub peer_messages: bool,
    /// How long servers keep idle connections open.
    pub idle_timeout: Option<Micros>,
    /// This gateway's zone.
    pub zone: Option<usize>,
    /// This gateway's index in the fleet of gateways.
    pub gateway_index: Option<f64>,
    /// Number of gateways.
    pub fleet_size: Option<f64>,
    /// The server list is watched; else it arrives without being requested.
    pub watches_server_list: bool,
    /// Price of 256 bytes to one peer, in points of the overall result.
    pub peer_price: f64,
    /// Price of crossing zones, in points of the overall result.
    pub crossing_price: f64,
    /// How long a machine takes to warm up after its start.
    pub warmup: Micros,
    /// Share of its capacity that a machine surely has at its start.
    pub cold_capacity: f64,
    /// Window over which load on a warming machine is limited.
    pub cold_load_window: Option<Micros>,
    /// Window over which exposure to a build on trial is counted.
    pub exposure_window: Option<Micros>,
    /// Exposure is counted from the start of the rollout instead of over a window.
    pub exposure_since_start: bool,
    /// Zones are so close that latencies can be compared across them.
    pub zones_comparable: bool,
    /// Errors of machines on trial that just started are evidence; only their latencies are not.
    pub judge_young_errors: bool,
    /// A late answer still has value, so that retries have until the client gives up.
    pub late_answers_count: bool,
    /// Exposure cap of the first stage.
    pub first_stage_cap: f64,
    /// Attempts that a build on trial may get in addition to its share.
    pub free_attempts: f64,
    /// First stage in which a build on trial gets other requests than those that are safe to repeat.
    pub first_unshielded_stage: f64,
    /// Exposure is counted for each profile on its own.
    pub exposure_by_profile: bool,
    /// A key that a newer build answered stays with that build.
    pub sticky_keys: bool,
    /// A stage is promoted by a timer, which votes can only hold or roll back.
    pub promoted_by_timer: bool,
    /// How long a vote counts.
    pub vote_lifetime: Option<Micros>,
    pub vote_lifetime_s: f64,
    /// How long the answer to a vote may take.
    pub vote_timeout: Micros,
    /// Votes per second that the platform accepts from all gateways together.
    pub votes_per_s: f64,
    pub votes_to_promote: f64,
    pub votes_to_roll_back: f64,
    /// Period of the platform's tallies; 0: it sends none.
    pub tally_period: Micros,
}

impl BalancerConfig {
    /// Parses the settings; values that are absent or unreadable get their defaults.
    pub fn new(settings: &Settings) -> Self {
        let number = |name: &str| settings.number(name);
        let time = |name: &str| settings.micros(name);
        let is = |name: &str, value: &str| settings.text(name) == Some(value);
        let on = |name: &str| settings.flag(name) == Some(true);
        let count = (number("classes.count").unwrap_or(0.0) as usize).min(MAX_PROFILES);
        let profiles: Vec<ProfileConfig> =
            (0..count).map(|n| profile_config(settings, ProfileId(n))).collect();
        let retry_budget = || {
            let [ratio, slack] =
                ["retry_ratio", "retry_slack"].map(|n| number(&format!("policy_limits.{n}")));
            let window = time("policy_limits.retry_window").filter(|window| *window > 0);
            Some(RetryBudget { ratio: ratio?, slack: slack?, window: window? })
        };
        let max_retry_after = time("policy_limits.max_retry_after").filter(|longest| *longest > 0);
        BalancerConfig {
            highest_value: profiles.iter().map(|profile| profile.value).fold(f64::MIN_POSITIVE, f64::max),
            listed_profiles: profiles.iter().filter(|profile| profile.listed).count(),
            profiles,
            value_by_work: is("worth_by", "work"),
            max_attempts: number("policy_limits.try_limit").unwrap_or(1.0) as usize,
            retry_budget: retry_budget(),
            hedging: on("policy_limits.second_copies"),
            cancelling: on("policy_limits.cancelling"),
            max_retry_after: max_retry_after.filter(|_| on("policy_limits.retry_after")),
            retry_after_share: number("policy_limits.retry_after_share"),
            peer_messages: on("policy_limits.may_tell"),
            idle_timeout: time("policy_limits.idle_close"),
            zone: number("zone").map(|zone| zone as usize),
            gateway_index: number("index"),
            fleet_size: number("fleet_size"),
            watches_server_list: is("discovery", "subscribe"),
            peer_price: number("prices.peer").unwrap_or(0.0),
            crossing_price: number("prices.cross_zone").unwrap_or(0.0),
            warmup: time("safety.cold").unwrap_or(0),
            cold_capacity: number("safety.cold_from").unwrap_or(0.0),
            cold_load_window: time("safety.fall"),
            exposure_window: time("domain.exposure_window"),
            exposure_since_start: is("domain.exposure_since", "order"),
            zones_comparable: on("domain.zones_near"),
            judge_young_errors: on("domain.young_err"),
            late_answers_count: on("domain.late_counts"),
            first_stage_cap: settings
                .items("domain.exposure_caps")
                .first()
                .map_or(0.0, |c| c.parse().unwrap_or(0.0)),
            free_attempts: number("domain.free").unwrap_or(0.0),
            first_unshielded_stage: number("domain.shielded").unwrap_or(0.0),
            exposure_by_profile: is("domain.counted_by", "class"),
            sticky_keys: on("domain.keys_stay"),
            promoted_by_timer: is("domain.gate_mode", "timer"),
            vote_lifetime: time("domain.vote_life"),
            vote_lifetime_s: number("domain.vote_life").unwrap_or(1.0),
            vote_timeout: time("domain.vote_wait").unwrap_or(SECOND),
            votes_per_s: number("domain.votes_per_s").unwrap_or(100.0).max(1.0),
            votes_to_promote: number("domain.ayes_needed").unwrap_or(1.0),
            votes_to_roll_back: number("domain.noes_needed").unwrap_or(1.0).max(1.0),
            tally_period: time("domain.sums_every").unwrap_or(0),
        }
    }

    /// The settings of a profile; the defaults if it is not listed.
    pub fn profile(&self, profile: ProfileId) -> &ProfileConfig {
        self.profiles.get(profile.0).unwrap_or(&DEFAULT_PROFILE)
    }

    /// The longest window over which the settings have anything counted.
    pub fn longest_window(&self) -> Micros {
        let retry_window = self.retry_budget.map(|budget| budget.window);
        self.exposure_window.max(self.cold_load_window).max(retry_window).unwrap_or(0)
    }

    /// The other gateways in turn, from the one at a fraction `start` of the fleet on.
    pub fn other_gateways(&self, start: f64) -> impl Iterator<Item = GatewayId> + use<> {
        let gateways = self.fleet_size.unwrap_or(0.0) as usize;
        let own = self.gateway_index.unwrap_or(0.0) as usize;
        let first = (start * gateways as f64) as usize;
        (0..gateways).map(move |n| GatewayId((first + n) % gateways)).filter(move |peer| peer.0 != own)
    }

    /// The number of gateways, 1 where it is unknown.
    pub fn gateways(&self) -> f64 {
        self.fleet_size.unwrap_or(1.0)
    }
}

/// Parses the settings of one profile.
fn profile_config(settings: &Settings, profile: ProfileId) -> ProfileConfig {
    let name = |what| profile.setting_name(what);
    ProfileConfig {
        listed: ["on_time", "repeat"].iter().any(|what| settings.text(&name(what)).is_some()),
        target_latency: settings.micros(&name("on_time")).unwrap_or(DEFAULT_PROFILE.target_latency),
        has_target_latency: settings.micros(&name("on_time")).is_some(),
        repeat_safety: match settings.text(&name("repeat")) {
            Some("safe") => RepeatSafety::Safe,
            Some("keyed") => RepeatSafety::Keyed,
            _ => RepeatSafety::Never,
        },
        dedup_scope: match settings.text(&name("dedup_scope")) {
            Some("all") => DedupScope::All,
            Some("zone") => DedupScope::Zone,
            Some("cell") => DedupScope::Cell,
            _ => DedupScope::Server,
        },
        dedup_window: settings.micros(&name("window")).unwrap_or(DEFAULT_PROFILE.dedup_window),
        value: settings.number(&name("worth")).unwrap_or(DEFAULT_PROFILE.value),
        rank: settings.number(&name("rank")),
        max_attempts: settings.number(&name("try_limit")).map(|limit| limit as usize),
    }
}
