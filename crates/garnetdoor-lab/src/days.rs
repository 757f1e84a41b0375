//! Days of our own for the operators' bench, drawn from a seed: each brings about one of control's five points
//! (`docs/control.md`), with a site's traffic and the marks of its quiet day.

use oorandom::Rand64;
use serde::Serialize;
use thiserror::Error;
use toml::{Table, Value};

/// Why no days could be drawn.
#[derive(Debug, Error)]
pub enum Error {
    /// The site file is not TOML.
    #[error("the site file can't be read: {0}")]
    Site(#[from] toml::de::Error),
    /// The site file lacks something.
    #[error("the site file has no {0}")]
    Lacks(&'static str),
    /// There is no such point.
    #[error("there are points 1 to 5, and no point {0}")]
    Point(u8),
    /// A day can't be written.
    #[error("a day can't be written: {0}")]
    Day(#[from] toml::ser::Error),
}

/// An entry of a day, under `plan` or `faults`. Times in seconds from the start of traffic.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Entry {
    pub at: f64,
    pub kind: &'static str,
    #[serde(skip_serializing_if = "String::is_empty")]
    pub how: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub on: Option<&'static str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub service: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub count: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub share: Option<f64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub x: Option<f64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub for_s: Option<f64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub gap_s: Option<f64>,
}

impl Entry {
    fn how(mut self, how: &str) -> Self {
        self.how = how.to_owned();
        self
    }

    fn core(mut self) -> Self {
        self.on = Some("core");
        self.count = Some(1);
        self
    }

    fn of(mut self, service: String) -> Self {
        self.service = Some(service);
        self
    }

    fn count(mut self, count: u64) -> Self {
        self.count = Some(count);
        self
    }

    fn share(mut self, share: f64) -> Self {
        self.share = Some(share);
        self
    }

    fn x(mut self, x: f64) -> Self {
        self.x = Some(x);
        self
    }

    fn lasts(mut self, for_s: f64) -> Self {
        self.for_s = Some(for_s);
        self
    }

    fn gap(mut self, gap_s: f64) -> Self {
        self.gap_s = Some(gap_s);
        self
    }
}

/// What strikes at the end.
#[derive(Clone, Debug, Serialize)]
struct Closing {
    kind: &'static str,
    down_s: f64,
    #[serde(skip_serializing_if = "str::is_empty")]
    how: &'static str,
}

/// What a site file tells that days depend on.
struct Site {
    length: f64,
    services: Vec<String>,
    pools: bool,
    health: bool,
    quiet: Table,
    traffic: Value,
}

impl Site {
    fn read(text: &str) -> Result<Self, Error> {
        let site: Table = text.parse()?;
        let days = site.get("day").and_then(Value::as_array).ok_or(Error::Lacks("days"))?;
        let of = |slot: &str| {
            let is = |day: &&Table| day.get("slot").and_then(Value::as_str) == Some(slot);
            days.iter().filter_map(Value::as_table).find(is)
        };
        let quiet = of("quiet").ok_or(Error::Lacks("quiet day"))?.clone();
        let traffic =
            of("trouble").and_then(|day| day.get("traffic")).ok_or(Error::Lacks("traffic"))?.clone();
        let names = |key: &str, of: fn(&Value) -> Option<&Value>| -> Vec<String> {
            let all = site.get(key).and_then(Value::as_array).map(Vec::as_slice).unwrap_or_default();
            all.iter().filter_map(|one| of(one)?.as_str().map(str::to_owned)).collect()
        };
        let contracts = names("contracts", |one| Some(one));
        let services = names("services", |one| one.get("name"));
        if services.is_empty() {
            return Err(Error::Lacks("services"));
        }
        let has = |name: &str| contracts.iter().any(|one| one == name);
        Ok(Self {
            length: site.get("length_s").and_then(Value::as_float).ok_or(Error::Lacks("length_s"))?,
            services,
            pools: has("pool"),
            health: has("health"),
            quiet,
            traffic,
        })
    }
}

struct Day<'a> {
    site: &'a Site,
    rand: Rand64,
    plan: Vec<Entry>,
    faults: Vec<Entry>,
}

impl Day<'_> {
    /// A value between two, in hundredths.
    fn between(&mut self, from: f64, to: f64) -> f64 {
        (100.0 * (from + (to - from) * self.rand.rand_float())).round() / 100.0
    }

    fn chance(&mut self, share: f64) -> bool {
        self.rand.rand_float() < share
    }

    fn of<T: Copy>(&mut self, all: &[T]) -> T {
        all[self.rand.rand_range(0..all.len() as u64) as usize]
    }

    fn service(&mut self) -> String {
        let at = self.rand.rand_range(0..self.site.services.len() as u64) as usize;
        self.site.services[at].clone()
    }

    fn fault(&mut self, from: f64, to: f64, kind: &'static str) -> Entry {
        Entry { at: self.between(from, to), kind, ..Entry::default() }
    }

    /// Changes from `from` on, `gap` to twice that apart, until `to`.
    fn changes(&mut self, from: f64, to: f64, gap: f64) {
        let mut at = from;
        while at < to {
            let how = self.of(&["route", "weights", "timeout", "idle"]);
            self.plan.push(Entry { at, kind: "config_change", ..Entry::default() }.how(how));
            at = (100.0 * (at + self.between(gap, 2.0 * gap))).round() / 100.0;
        }
    }

    fn races(&mut self, from: f64, to: f64) {
        let (count, gap) = (self.of(&[1, 2, 3]), self.between(0.3, 1.5));
        let race = self.fault(from, to, "config_race").count(count).gap(gap);
        self.plan.push(race);
    }

    fn rollout(&mut self, from: f64, to: f64) {
        let service = self.service();
        let lasts = self.between(12.0, 16.0);
        if self.chance(0.5) {
            let rollout = self.fault(from, to, "rollout_good").lasts(lasts).of(service);
            self.plan.push(rollout);
        } else {
            let (how, share) = (self.of(&["errors", "slow", "under_load", "late"]), self.between(0.3, 0.6));
            let rollout = self.fault(from, to, "rollout_bad").lasts(lasts).of(service);
            self.plan.push(rollout.how(how).share(share).gap(3.0));
        }
    }

    /// One of the troubles that a core machine may have beside the point's own.
    fn ill(&mut self, from: f64, to: f64) {
        let (short, how) = (self.between(1.5, 6.0), self.of(&["", "leader", "seed"]));
        let entry = match self.rand.rand_range(0..7) {
            0 => self.fault(from, to, "node_freeze").core().lasts(short).how(how),
            1 => {
                let (x, way) =
                    (self.between(800.0, 4000.0), self.of(&["leader", "ahead", "back", "leader back"]));
                self.fault(from, to, "clock_step").share(0.4).x(x).lasts(short).how(way)
            }
            2 => self.fault(from, to, "disk_stall").count(1).lasts(short).how(how),
            3 => {
                let x = self.between(20.0, 100.0);
                self.fault(from, to, "disk_slow").count(1).x(x).lasts(short).how(how)
            }
            4 => {
                let how =
                    self.of(&["power", "leader", "power leader", "leader race drain", "meet drain", "seed"]);
                self.fault(from, to, "node_kill").core().lasts(short).how(how)
            }
            5 => self.fault(from, to, "disk_full").count(1).lasts(short).how(how),
            _ => {
                let x = self.between(4.0, 9.0);
                self.fault(from, to, "node_slow").core().x(x).lasts(short).how(how)
            }
        };
        self.faults.push(entry);
    }

    /// Gateways restarted in some way.
    fn restarts(&mut self, from: f64, to: f64) {
        let (share, short) = (self.between(0.2, 0.6), self.between(0.5, 2.0));
        match self.rand.rand_range(0..4) {
            0 => {
                let roll = self.fault(from, to, "roll_term").on_fronts().share(share).x(2.0).gap(1.0);
                self.plan.push(roll);
            }
            1 => {
                let kill = self.fault(from, to, "node_kill").on_fronts().share(share);
                self.faults.push(kill);
            }
            2 => {
                let herd =
                    self.fault(from, to, "herd_kill").on_fronts().share(share).lasts(short).how("power");
                self.faults.push(herd);
            }
            _ => {
                let freeze = self.fault(from, to, "node_freeze").on_fronts().share(share).lasts(short);
                self.faults.push(freeze);
            }
        }
    }

    fn leavers(&mut self, from: f64, to: f64) {
        let share = self.between(0.1, 0.25);
        let leave = if self.chance(0.5) {
            self.fault(from, to, "scale_in").share(share)
        } else {
            self.fault(from, to, "release").share(share).x(1.0).gap(1.0)
        };
        self.plan.push(leave);
    }

    /// 1: a core machine is cut off for some twenty seconds.
    fn cut(&mut self) -> Option<Closing> {
        let how = self.of(&[
            "",
            "reset",
            "refuse",
            "one_way",
            "leader",
            "leader one_way",
            "leader refuse",
            "leader reset",
            "seeds",
            "both",
            "leader race",
            "leader race drain",
            "leader meet",
            "one_way race",
        ]);
        let (at, lasts) = (self.between(2.0, 6.0), self.between(16.0, 21.0));
        self.faults.push(Entry { at, kind: "core_cut", ..Entry::default() }.count(1).lasts(lasts).how(how));
        self.changes(1.5, self.site.length - 4.0, 2.0);
        self.races(at, at + lasts);
        self.rollout(1.0, at + 3.0);
        self.leavers(at, at + lasts);
        self.restarts(at + 1.0, at + lasts);
        if self.chance(0.6) {
            self.leavers(at + lasts, self.site.length - 4.0);
        }
        for _ in 0..self.rand.rand_range(1..3) {
            self.ill(at + 2.0, at + lasts + 2.0);
        }
        let down = self.between(0.5, 2.0);
        let kind = self.of(&["", "power_off_all", "power_off_all", "kill_all", "wipe_after_ack"]);
        (!kind.is_empty()).then_some(Closing { kind, down_s: down, how: "" })
    }

    /// 2: races, repeats, lost acknowledgements, leaders that die at each.
    fn repeats(&mut self) -> Option<Closing> {
        let end = self.site.length - 3.0;
        let gap = self.between(0.4, 1.0);
        self.changes(1.0, end, gap);
        for _ in 0..3 {
            self.races(2.0, end);
        }
        let (x, lasts) = (self.between(0.5, 0.9), self.between(8.0, 22.0));
        let lost = self.fault(2.0, 6.0, "ack_lost").x(x).lasts(lasts);
        self.faults.push(lost);
        self.rollout(1.0, 4.0);
        self.rollout(3.0, 8.0);
        let (first, again) = (self.between(4.0, 10.0), self.between(3.0, 8.0));
        for at in [first, first + again, first + 2.0 * again] {
            let (kind, how) = self.of(&[
                ("node_kill", "leader race drain"),
                ("node_kill", "power leader"),
                ("node_kill", "leader meet"),
                ("after_ack_kill", ""),
                ("after_ack_kill", "kill"),
                ("after_ack_kill", "timed"),
                ("core_cut", "leader race"),
                ("core_cut", "leader one_way race"),
                ("node_freeze", "leader"),
            ]);
            let lasts = self.between(1.0, 4.0);
            let entry =
                Entry { at: (100.0 * at).round() / 100.0, kind, ..Entry::default() }.lasts(lasts).how(how);
            self.faults.push(if kind.starts_with("node") { entry.core() } else { entry.count(1) });
        }
        if self.chance(0.3) {
            let (count, gap) = (self.of(&[2, 4]), self.between(0.5, 2.0));
            let bad = self.fault(3.0, end, "bad_config").count(count).gap(gap).how("stale_match");
            self.plan.push(bad);
        }
        let kind = self.of(&["", "power_off_all", "kill_all", "wipe_after_ack"]);
        let (down_s, how) = (self.between(0.5, 2.0), self.of(&["", "timed"]));
        (!kind.is_empty()).then_some(Closing { kind, down_s, how })
    }

    /// 3: losses right after repairs.
    fn repairs(&mut self) -> Option<Closing> {
        self.changes(1.0, self.site.length - 3.0, 1.5);
        let mut at = self.between(2.0, 5.0);
        while at < self.site.length - 5.0 {
            let (x, lasts) = (self.between(0.5, 3.0), self.between(0.5, 3.0));
            let entry = match self.rand.rand_range(0..8) {
                0 | 1 => {
                    let how = self.of(&["planned", "seed", "leader", "", "planned leader"]);
                    Entry { kind: "replace_core", ..Entry::default() }.x(x).how(how)
                }
                2 => Entry { kind: "after_ack_wipe", ..Entry::default() }.lasts(lasts),
                3 => {
                    let how = self.of(&["timed", "kill", ""]);
                    Entry { kind: "after_ack_kill", ..Entry::default() }.lasts(lasts).how(how)
                }
                4 => {
                    let how = self.of(&["power", ""]);
                    Entry { kind: "herd_kill", on: Some("core"), ..Entry::default() }
                        .lasts(lasts.min(1.0))
                        .how(how)
                }
                5 => Entry { kind: "seed_turnover", ..Entry::default() },
                6 => Entry { kind: "node_kill", ..Entry::default() }.core().lasts(lasts).how("power leader"),
                _ => Entry { kind: "core_cut", ..Entry::default() }.count(1).lasts(lasts).how("leader"),
            };
            self.faults.push(Entry { at, ..entry });
            at = (100.0 * (at + self.between(0.2, 6.0))).round() / 100.0;
        }
        if self.chance(0.5) {
            self.rollout(1.0, 6.0);
        }
        if self.chance(0.5) {
            self.leavers(8.0, self.site.length - 6.0);
        }
        let (down_s, how) = (self.between(0.5, 2.0), self.of(&["", "aimed", "timed"]));
        Some(Closing { kind: "wipe_after_ack", down_s, how })
    }

    /// 4: members that have much to catch up with.
    fn returns(&mut self) -> Option<Closing> {
        let gap = self.between(0.25, 0.7);
        self.changes(1.0, self.site.length - 3.0, gap);
        let (at, lasts) = (self.between(2.0, 6.0), self.between(8.0, 18.0));
        let how = self.of(&["", "one_way", "leader", "seeds", "refuse"]);
        self.faults.push(Entry { at, kind: "core_cut", ..Entry::default() }.count(1).lasts(lasts).how(how));
        for _ in 0..2 {
            let (how, lasts) = (self.of(&["power", "power leader", "power seed"]), self.between(1.0, 8.0));
            let kill = self.fault(4.0, self.site.length - 6.0, "node_kill").core().lasts(lasts).how(how);
            self.faults.push(kill);
        }
        if self.chance(0.7) {
            let (how, lasts) = (self.of(&["power", "power", ""]), self.between(0.3, 1.5));
            let mut herd = self.fault(8.0, self.site.length - 6.0, "herd_kill").lasts(lasts).how(how);
            herd.on = Some("core");
            self.faults.push(herd);
        }
        for _ in 0..self.rand.rand_range(1..4) {
            self.ill(4.0, self.site.length - 5.0);
        }
        if self.chance(0.4) {
            let (x, how) = (self.between(0.5, 2.0), self.of(&["planned", "leader", "seed"]));
            let replace = self.fault(6.0, self.site.length - 6.0, "replace_core").x(x).how(how);
            self.faults.push(replace);
        }
        Some(Closing { kind: "power_off_all", down_s: self.between(0.5, 2.0), how: "" })
    }

    /// 5: answers that are lost, spoilt, surplus or somebody else's.
    fn exchanges(&mut self) -> Option<Closing> {
        let end = self.site.length - 8.0;
        for _ in 0..2 {
            let (how, share) = (self.of(&["", "reset"]), self.between(0.4, 0.7));
            let (x, lasts, service) = (self.between(0.02, 0.06), self.between(4.0, 8.0), self.service());
            let lost =
                self.fault(2.0, end, "answer_lost").how(how).share(share).x(x).lasts(lasts).of(service);
            self.faults.push(lost);
            let (how, share) = (self.of(&["extra", "extra late", "extra late", ""]), self.between(0.3, 0.6));
            let (x, lasts, service) = (self.between(0.02, 0.04), self.between(4.0, 8.0), self.service());
            let garble = self.fault(2.0, end, "garble").how(how).share(share).x(x).lasts(lasts).of(service);
            self.faults.push(garble);
        }
        let (share, x) = (self.between(0.1, 0.4), self.between(0.3, 0.8));
        let resets = self.fault(3.0, end, "reset_conns").share(share).x(x);
        self.faults.push(resets);
        let (how, service) = (self.of(&["", "drain", "dark"]), self.service());
        let reuse = self.fault(3.0, end, "replace_with_reuse").how(how).share(0.15).of(service);
        self.faults.push(reuse);
        let (share, lasts) = (self.between(0.1, 0.3), self.between(0.5, 4.0));
        let freeze = self.fault(3.0, end, "node_freeze").on_fronts().share(share).lasts(lasts);
        self.faults.push(freeze);
        if self.chance(0.5) {
            let (share, lasts) = (self.between(0.15, 0.35), self.between(3.0, 6.0));
            let abuse = self.fault(3.0, end, "retry_abuse").share(share).x(2.0).lasts(lasts);
            self.faults.push(abuse);
        }
        if self.site.pools {
            let x = self.between(200.0, 400.0);
            let race = self.fault(3.0, end, "idle_race").share(0.5).x(x).lasts(6.0);
            self.faults.push(race);
        }
        if self.site.health {
            let (how, share) = (self.of(&["mute", "reset"]), self.between(0.08, 0.16));
            let grey = self.fault(3.0, end, "srv_grey").how(how).share(share).x(0.4).lasts(6.0);
            self.faults.push(grey);
        }
        if self.chance(0.5) {
            self.restarts(4.0, end);
        }
        self.leavers(2.0, end);
        self.changes(2.0, self.site.length - 4.0, 5.0);
        None
    }
}

impl Entry {
    fn on_fronts(mut self) -> Self {
        self.on = Some("front");
        self
    }
}

/// The TOML of `count` days for `point` (1 to 5) on the site whose file reads `site`, each with its name. The same
/// seed draws the same days.
pub fn draw(site: &str, point: u8, seed: u64, count: u64) -> Result<Vec<(String, String)>, Error> {
    let site = Site::read(site)?;
    (1..=count).map(|number| one(&site, point, seed, number)).collect()
}

fn one(site: &Site, point: u8, seed: u64, number: u64) -> Result<(String, String), Error> {
    let mixed = (u128::from(seed) << 32) | (u128::from(point) << 16) | u128::from(number);
    let mut day = Day { site, rand: Rand64::new(mixed), plan: Vec::new(), faults: Vec::new() };
    let closing = match point {
        1 => day.cut(),
        2 => day.repeats(),
        3 => day.repairs(),
        4 => day.returns(),
        5 => day.exchanges(),
        other => return Err(Error::Point(other)),
    };
    let name = format!("point-{point}-{seed}-{number:02}");
    day.plan.sort_by(|one, other| one.at.total_cmp(&other.at));
    day.faults.sort_by(|one, other| one.at.total_cmp(&other.at));
    let mut table = site.quiet.clone();
    table.insert("name".into(), name.clone().into());
    table.insert("slot".into(), "trouble".into());
    table.insert("seed".into(), Value::Integer((day.rand.rand_u64() >> 36) as i64));
    table.insert("plan".into(), Value::try_from(&day.plan)?);
    table.insert("faults".into(), Value::try_from(&day.faults)?);
    if let Some(closing) = closing {
        table.insert("closing".into(), Value::try_from(closing)?);
    }
    table.insert("traffic".into(), site.traffic.clone());
    Ok((name, toml::to_string(&table)?))
}
