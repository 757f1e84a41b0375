//! How near a run comes to the bounds of its rules.

use types::Micros;

use super::configuration::behind;
use super::control::waits;
use super::drains::after_drains;
use super::recovery::{progress_after, recovered_after};
use super::retries::further_tries;
use super::rollouts::exposures;
use super::{Late, Terms};
use crate::seen::Seen;

/// How near a run comes to its bounds; 1 is at the bound.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Margins {
    pub progress: f64,
    pub recovery: f64,
    pub applied: f64,
    pub drain: f64,
    pub budget: f64,
    pub exposure: f64,
    pub answer: f64,
}

impl Margins {
    pub fn all(&self) -> [f64; 7] {
        let Margins { progress, recovery, applied, drain, budget, exposure, answer } = *self;
        [progress, recovery, applied, drain, budget, exposure, answer]
    }
}

pub fn margins(log: &[Seen], terms: &Terms) -> Margins {
    let most = |late: Vec<Late>, bound: Micros| {
        late.iter().map(|(by, ..)| *by).max().unwrap_or(0) as f64 / bound as f64
    };
    let share = |after: Option<Micros>, bound: Micros| {
        after.map_or(0.0, |after| (after as f64 / bound as f64).min(10.0))
    };
    Margins {
        progress: share(progress_after(log), terms.progress),
        recovery: share(recovered_after(log), terms.recovery),
        applied: most(behind(log, terms), terms.apply),
        drain: most(after_drains(log, terms, false), terms.drain),
        budget: further_tries(log, terms).iter().map(|(extra, most, ..)| extra / most).fold(0.0, f64::max),
        exposure: exposures(log, terms).iter().map(|(there, most, ..)| there / most).fold(0.0, f64::max),
        answer: most(waits(log, terms).0, terms.ack),
    }
}
