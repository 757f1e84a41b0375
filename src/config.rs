//! The settings as the decisions read them: parsed once, each profile's in a list. Guards against reading
//! text for each ticket. Nothing here decides; what is absent has the value that it always had.

use crate::host::{Micros, ProfileId, SECOND, Settings};

/// Profiles at most: a silly `classes.count` must not eat the memory.
const PROFILES_MOST: usize = 65_536;

/// Whether a ticket that may have run may go out again. Whatever settings call otherwise (`unsafe`,
/// `upload`, nothing) may not.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Repeat {
    Safe,
    /// While servers remember its key.
    Keyed,
    #[default]
    Never,
}

/// Which servers drop repeats of a key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Scope {
    All,
    Zone,
    Cell,
    #[default]
    Server,
}

/// One profile's settings, `classes.N`.
#[derive(Clone, Debug)]
pub struct Class {
    /// Settings name it; numbers of profiles that are gone stay unused.
    pub listed: bool,
    /// The agreed time, and whether settings agree on any.
    pub on_time: Micros,
    pub agreed: bool,
    pub repeat: Repeat,
    pub scope: Scope,
    /// How long a key is remembered.
    pub window: Micros,
    /// The benefit.
    pub worth: f64,
    /// 0 is first; where given, it says who is turned back first, instead of the benefit.
    pub rank: Option<f64>,
    pub try_limit: Option<usize>,
}

/// What holds where nothing is said of a profile.
const UNSAID: Class = Class {
    listed: false,
    on_time: SECOND,
    agreed: false,
    repeat: Repeat::Never,
    scope: Scope::Server,
    window: 0,
    worth: 1.0,
    rank: None,
    try_limit: None,
};

/// Further trips over all gateways: this one's part of it.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    /// Of the tickets taken in a window.
    pub ratio: f64,
    /// Trips in a window beside that.
    pub slack: f64,
    pub window: Micros,
}

/// All of them. `None` and the least values stand for what was not given.
#[derive(Clone, Debug, Default)]
pub struct Terms {
    pub classes: Vec<Class>,
    /// How many of them settings name.
    pub listed: usize,
    /// The most benefit that a profile has.
    pub most_worth: f64,
    pub worth_by_work: bool,
    /// Trips of a ticket, where its profile does not say.
    pub try_limit: usize,
    pub budget: Option<Budget>,
    pub second_copies: bool,
    pub cancelling: bool,
    /// The longest time to come back; `None`: none is told.
    pub come_back: Option<Micros>,
    /// Of the time left, the most that a time to come back may be.
    pub come_back_share: Option<f64>,
    pub may_tell: bool,
    pub idle_close: Option<Micros>,
    /// The gateway's own zone, its number and how many there are.
    pub zone: Option<usize>,
    pub index: Option<f64>,
    pub fleet_size: Option<f64>,
    pub follows_list: bool,
    pub price_peer: f64,
    pub price_crossing: f64,
    pub cold: Micros,
    pub cold_from: f64,
    pub fall: Option<Micros>,
    pub exposure_window: Option<Micros>,
    /// Exposure counts from when the news first named the build, not over a window.
    pub exposure_since_order: bool,
    /// Zones lie so near each other that times tell of builds across them as well.
    pub zones_near: bool,
    /// Errors of machines on trial that are young count; only their times don't.
    pub young_err: bool,
    /// A late answer is worth something: a further trip has until the client gives up.
    pub late_counts: bool,
    /// The first stage's cap.
    pub first_cap: f64,
    pub free: f64,
    /// The stage from which builds on trial get more than repeatable tickets.
    pub shielded: f64,
    pub counted_by_class: bool,
    pub keys_stay: bool,
    pub by_timer: bool,
    pub vote_life: Option<Micros>,
    pub vote_life_s: f64,
    pub vote_wait: Micros,
    pub votes_per_s: f64,
    pub ayes_needed: f64,
    pub noes_needed: f64,
    pub sums_every: Micros,
}

impl Terms {
    pub fn new(settings: &Settings) -> Self {
        let number = |name: &str| settings.number(name);
        let time = |name: &str| settings.micros(name);
        let is = |name: &str, value: &str| settings.text(name) == Some(value);
        let on = |name: &str| settings.flag(name) == Some(true);
        let count = (number("classes.count").unwrap_or(0.0) as usize).min(PROFILES_MOST);
        let classes: Vec<Class> = (0..count).map(|n| class(settings, ProfileId(n))).collect();
        let budget = || {
            let [ratio, slack] =
                ["retry_ratio", "retry_slack"].map(|n| number(&format!("policy_limits.{n}")));
            let window = time("policy_limits.retry_window").filter(|window| *window > 0);
            Some(Budget { ratio: ratio?, slack: slack?, window: window? })
        };
        let most_wait = time("policy_limits.max_retry_after").filter(|most| *most > 0);
        Terms {
            most_worth: classes.iter().map(|class| class.worth).fold(f64::MIN_POSITIVE, f64::max),
            listed: classes.iter().filter(|class| class.listed).count(),
            classes,
            worth_by_work: is("worth_by", "work"),
            try_limit: number("policy_limits.try_limit").unwrap_or(1.0) as usize,
            budget: budget(),
            second_copies: on("policy_limits.second_copies"),
            cancelling: on("policy_limits.cancelling"),
            come_back: most_wait.filter(|_| on("policy_limits.retry_after")),
            come_back_share: number("policy_limits.retry_after_share"),
            may_tell: on("policy_limits.may_tell"),
            idle_close: time("policy_limits.idle_close"),
            zone: number("zone").map(|zone| zone as usize),
            index: number("index"),
            fleet_size: number("fleet_size"),
            follows_list: is("discovery", "subscribe"),
            price_peer: number("prices.peer").unwrap_or(0.0),
            price_crossing: number("prices.cross_zone").unwrap_or(0.0),
            cold: time("safety.cold").unwrap_or(0),
            cold_from: number("safety.cold_from").unwrap_or(0.0),
            fall: time("safety.fall"),
            exposure_window: time("domain.exposure_window"),
            exposure_since_order: is("domain.exposure_since", "order"),
            zones_near: on("domain.zones_near"),
            young_err: on("domain.young_err"),
            late_counts: on("domain.late_counts"),
            first_cap: settings
                .items("domain.exposure_caps")
                .first()
                .map_or(0.0, |c| c.parse().unwrap_or(0.0)),
            free: number("domain.free").unwrap_or(0.0),
            shielded: number("domain.shielded").unwrap_or(0.0),
            counted_by_class: is("domain.counted_by", "class"),
            keys_stay: on("domain.keys_stay"),
            by_timer: is("domain.gate_mode", "timer"),
            vote_life: time("domain.vote_life"),
            vote_life_s: number("domain.vote_life").unwrap_or(1.0),
            vote_wait: time("domain.vote_wait").unwrap_or(SECOND),
            votes_per_s: number("domain.votes_per_s").unwrap_or(100.0).max(1.0),
            ayes_needed: number("domain.ayes_needed").unwrap_or(1.0),
            noes_needed: number("domain.noes_needed").unwrap_or(1.0).max(1.0),
            sums_every: time("domain.sums_every").unwrap_or(0),
        }
    }

    /// A profile's settings; those of none that is listed are as if none were given.
    pub fn class(&self, profile: ProfileId) -> &Class {
        self.classes.get(profile.0).unwrap_or(&UNSAID)
    }

    /// The longest that anything is counted over by settings.
    pub fn longest_window(&self) -> Micros {
        let budget = self.budget.map(|budget| budget.window);
        self.exposure_window.max(self.fall).max(budget).unwrap_or(0)
    }

    /// How many gateways there are.
    pub fn fleet(&self) -> f64 {
        self.fleet_size.unwrap_or(1.0)
    }
}

fn class(settings: &Settings, profile: ProfileId) -> Class {
    let name = |what| profile.setting_name(what);
    Class {
        listed: ["on_time", "repeat"].iter().any(|what| settings.text(&name(what)).is_some()),
        on_time: settings.micros(&name("on_time")).unwrap_or(UNSAID.on_time),
        agreed: settings.micros(&name("on_time")).is_some(),
        repeat: match settings.text(&name("repeat")) {
            Some("safe") => Repeat::Safe,
            Some("keyed") => Repeat::Keyed,
            _ => Repeat::Never,
        },
        scope: match settings.text(&name("dedup_scope")) {
            Some("all") => Scope::All,
            Some("zone") => Scope::Zone,
            Some("cell") => Scope::Cell,
            _ => Scope::Server,
        },
        window: settings.micros(&name("window")).unwrap_or(UNSAID.window),
        worth: settings.number(&name("worth")).unwrap_or(UNSAID.worth),
        rank: settings.number(&name("rank")),
        try_limit: settings.number(&name("try_limit")).map(|limit| limit as usize),
    }
}
