//! Rules (invariants): each looks at what was seen, and tells the first thing that breaks it.

mod configuration;
mod control;
mod drains;
mod margins;
mod recovery;
mod requests;
mod retries;
mod rollouts;

use configuration::{applied, back, invalid, lost, newest, repeat, stale, winner};
pub use control::worst_answer;
use control::{answered, lagging, leader, unanswered};
use drains::{drain, untold};
pub use margins::{Margins, margins};
use recovery::{progress, served};
pub use recovery::{progress_after, served_after};
use requests::{added, broken_off, denied, mixed, refused, route, twice};
use retries::budget;
use rollouts::{exposure, trial};
use types::{MS, Micros, SECOND};

use crate::seen::Seen;

/// Bounds that rules hold by; the small sites' figures.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    pub contact: Micros,
    pub apply: Micros,
    pub drain: Micros,
    /// An order is acknowledged within this while all is calm.
    pub ack: Micros,
    /// From SIGTERM to the end of a process.
    pub grace: Micros,
    pub loss_slack: Micros,
    pub retry_ratio: f64,
    pub retry_slack: f64,
    pub retry_window: Micros,
    pub exposure_share: f64,
    pub exposure_slack: f64,
    pub rollback: Micros,
    /// Once faults end, a change is acknowledged within this.
    pub progress: Micros,
    /// Once faults end, requests are served again after this.
    pub recovery: Micros,
    /// A call to control has its answer within this: callers leave after a second.
    pub answer: Micros,
    /// For so long after its return a machine still counts as lost.
    pub catch_up: Micros,
}

impl Default for Terms {
    fn default() -> Terms {
        Terms {
            contact: 3 * SECOND,
            apply: 2_500 * MS,
            drain: 2_500 * MS,
            ack: 5 * SECOND,
            grace: 6 * SECOND,
            loss_slack: 200 * MS,
            retry_ratio: 0.2,
            retry_slack: 58.0,
            retry_window: 10 * SECOND,
            exposure_share: 0.1,
            exposure_slack: 50.0,
            rollback: 5 * SECOND,
            progress: 8 * SECOND,
            recovery: 5 * SECOND,
            answer: 900 * MS,
            catch_up: 4 * SECOND,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    Lost,
    Winner,
    Invalid,
    Back,
    Applied,
    Drain,
    Twice,
    Refused,
    Route,
    Budget,
    Exposure,
    Leader,
    Progress,
    Served,
    /// Refused with 404 though every configuration that may be in force has the route.
    Denied,
    /// Routes that came later are served far less than the first ones.
    Added,
    /// A request in hand is broken off as a foyer ends in order.
    BrokenOff,
    /// Orders and drains without an answer in calm times.
    Unanswered,
    /// A call to control is held so long that its caller leaves.
    Answered,
    /// A proper change on top of the newest version, the only one there, is refused.
    Newest,
    /// What was taken is refused when it is sent again.
    Repeat,
    /// What was on trial and has ended is on trial again by a late repeat.
    Trial,
    /// A foyer becomes ready on what was old `ContactS` ago.
    Stale,
    /// A drain that anybody acknowledged is not known to foyers in touch.
    Untold,
    /// A core machine never caught up.
    Behind,
    /// A client gets the answer to another request.
    Mixed,
}

/// A rule that is broken: where, and what was seen.
#[derive(Clone, Debug, PartialEq)]
pub struct Broken {
    pub rule: Rule,
    pub at: Micros,
    pub what: String,
}

type Checker = fn(&[Seen], &Terms) -> Option<Broken>;

/// All rules with their checkers.
pub const ALL: [(Rule, Checker); 26] = [
    (Rule::Lost, lost),
    (Rule::Winner, winner),
    (Rule::Invalid, invalid),
    (Rule::Back, back),
    (Rule::Applied, applied),
    (Rule::Drain, drain),
    (Rule::Twice, twice),
    (Rule::Refused, refused),
    (Rule::Route, route),
    (Rule::Budget, budget),
    (Rule::Exposure, exposure),
    (Rule::Leader, leader),
    (Rule::Progress, progress),
    (Rule::Served, served),
    (Rule::Denied, denied),
    (Rule::Added, added),
    (Rule::BrokenOff, broken_off),
    (Rule::Unanswered, unanswered),
    (Rule::Answered, answered),
    (Rule::Newest, newest),
    (Rule::Repeat, repeat),
    (Rule::Trial, trial),
    (Rule::Stale, stale),
    (Rule::Untold, untold),
    (Rule::Behind, lagging),
    (Rule::Mixed, mixed),
];

/// Every rule that a run breaks, the first one first.
pub fn check(log: &[Seen], terms: &Terms) -> Vec<Broken> {
    let mut broken: Vec<Broken> = ALL.iter().filter_map(|(_, check)| check(log, terms)).collect();
    broken.sort_by_key(|broken| (broken.at, broken.rule));
    broken
}

fn broken(rule: Rule, at: Micros, what: String) -> Option<Broken> {
    Some(Broken { rule, at, what })
}

/// How late something was, when, and in words.
type Late = (Micros, Micros, String);

fn later_than(rule: Rule, late: Vec<Late>, bound: Micros) -> Option<Broken> {
    let (_, at, what) = late.into_iter().find(|(by, ..)| *by > bound)?;
    broken(rule, at, what)
}
