//! Proofs: each starts what it needs, plays its direction's hard cases, checks the rules on what the stand-ins
//! saw, and ends with figures beside their limits.

pub mod capacity;
pub mod control;
pub mod fleet;
mod hunts;
pub mod measure;
pub mod rehearsal;
pub mod websocket;

use comfy_table::{Table, presets};
use serde_json::{Map, Value, json};

/// What a figure must keep to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Limit {
    Is(f64),
    AtMost(f64),
    AtLeast(f64),
    /// A miss of an aim is told and does not fail the proof: the machine may be too small or too busy.
    AimAtMost(f64),
    AimAtLeast(f64),
    /// Only told.
    None,
}

impl Limit {
    fn kept(self, value: f64) -> bool {
        match self {
            Limit::Is(only) => value == only,
            Limit::AtMost(most) => value <= most,
            Limit::AtLeast(least) => value >= least,
            Limit::AimAtMost(_) | Limit::AimAtLeast(_) | Limit::None => value.is_finite(),
        }
    }

    fn text(self, value: f64) -> String {
        let aim = |met: bool, text: String| format!("aim {text}{}", if met { "" } else { ", not met" });
        match self {
            Limit::Is(only) => format!("{only}"),
            Limit::AtMost(most) => format!("at most {most}"),
            Limit::AtLeast(least) => format!("at least {least}"),
            Limit::AimAtMost(most) => aim(value <= most, format!("at most {most}")),
            Limit::AimAtLeast(least) => aim(value >= least, format!("at least {least}")),
            Limit::None => String::new(),
        }
    }
}

/// What a proof has shown.
#[derive(Debug)]
pub struct Proof {
    pub name: &'static str,
    pub seed: u64,
    figures: Vec<(&'static str, f64, Limit)>,
    misses: Vec<String>,
}

impl Proof {
    pub fn new(name: &'static str, seed: u64) -> Self {
        Proof { name, seed, figures: Vec::new(), misses: Vec::new() }
    }

    /// Adds a figure; one that breaks its limit is a miss.
    pub fn figure(&mut self, name: &'static str, value: f64, limit: Limit) {
        if !limit.kept(value) {
            self.misses.push(format!("{name}: {value}, expected {}", limit.text(value)));
        }
        self.figures.push((name, value, limit));
    }

    /// Something that must hold, told in words where it does not.
    pub fn must(&mut self, holds: bool, what: impl Into<String>) {
        if !holds {
            self.misses.push(what.into());
        }
    }

    pub fn ok(&self) -> bool {
        self.misses.is_empty()
    }

    pub fn value(&self, name: &str) -> Option<f64> {
        self.figures.iter().find(|(other, ..)| *other == name).map(|(_, value, _)| *value)
    }

    /// One object, as PROOFS asks for.
    pub fn json(&self) -> Value {
        let figures: Map<_, _> =
            self.figures.iter().map(|(name, value, _)| ((*name).to_owned(), json!(value))).collect();
        json!({"proof": self.name, "seed": self.seed, "ok": self.ok(), "figures": figures, "misses": self.misses})
    }

    /// A table for a person.
    pub fn table(&self) -> String {
        let mut table = Table::new();
        table.load_style(presets::NOTHING).set_header(["figure", "value", "limit"]);
        for (name, value, limit) in &self.figures {
            let value_text = if value.fract() == 0.0 { format!("{value}") } else { format!("{value:.3}") };
            table.add_row([(*name).to_owned(), value_text, limit.text(*value)]);
        }
        let misses = self.misses.iter().map(|miss| format!("missed: {miss}\n")).collect::<String>();
        let verdict = if self.ok() { "holds" } else { "does not hold" };
        format!(
            "{table}\n{misses}{} {verdict}, seed {}; all servers and clients are simulated\n",
            self.name, self.seed
        )
    }
}

/// A proof's name, what it shows, and how it runs.
pub type Entry = (&'static str, &'static str, fn(u64) -> std::io::Result<Proof>);

/// All proofs.
pub const ALL: &[Entry] = &[
    (
        "capacity",
        "what a hollow fleet of the system's cores and a request's path cost, beside what docs/CAPACITY.md says",
        capacity::prove,
    ),
    (
        "control",
        "the worst days of control in simulated time: cuts, repeats, losses, restarts, wrong callers, and faults found",
        control::prove,
    ),
    (
        "fleet",
        "1, 3, 100 and 300 gateways in one emulated world: the rules, calls, connections, loads and verdicts",
        fleet::prove,
    ),
    (
        "rehearsal",
        "the whole system's cores on days of trouble in simulated time: every rule, and planted faults found",
        rehearsal::prove,
    ),
    (
        "websocket",
        "upgrades, shares, drains, keys and stops of WebSocket sessions through the daemon, and what they cost",
        websocket::prove,
    ),
];
