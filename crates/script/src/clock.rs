//! Clock (ordered): the time that has passed by what leaders wrote into the log, in microseconds since form 2 was agreed,
//! and the same going on by the own steady clock. A leader writes each command's moment by the latter; states are made
//! of the former alone. It never goes back, at any node; it may fall behind, by what passes while nobody leads or until a
//! state is restored, and never runs ahead: ages told by it are never too long, and guards only grow.

use props::Micros;
use serde::{Deserialize, Serialize};

use crate::orders;

/// No deployment is so old: 36,000 years.
const LAST: Micros = 1 << 60;

/// What a leader writes before a command, from form 2 on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamp {
    /// The moment, by the ordered clock.
    pub at: Micros,
    /// For so long callers may repeat an order, as the leader's settings say: settings may differ between nodes,
    /// what is applied may not.
    pub guard: Micros,
}

impl Stamp {
    /// Whether a leader may have written it.
    pub(crate) fn sound(self) -> bool {
        (0..=LAST).contains(&self.at) && (0..=orders::LONGEST_GUARD).contains(&self.guard)
    }
}

#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Clock {
    /// The latest moment of a command that was applied; ordered.
    pub moment: Micros,
    /// Local: a moment, and when it was here by the own steady clock.
    here: (Micros, Micros),
}

impl Clock {
    /// One that stands at a moment now.
    pub fn at(now: Micros, moment: Micros) -> Clock {
        Clock { moment, here: (moment, now) }
    }

    /// The moment as far as it is known here.
    pub fn now(&self, now: Micros) -> Micros {
        let (moment, at) = self.here;
        moment.saturating_add(now.saturating_sub(at).max(0)).min(LAST)
    }

    /// The state is now one of this moment. What was known here of the time that has passed may be more than that.
    pub fn restored(&mut self, now: Micros, moment: Micros) {
        self.moment = moment;
        self.seen(now, moment);
    }

    /// A command of this moment was applied.
    pub fn seen(&mut self, now: Micros, moment: Micros) {
        self.moment = self.moment.max(moment);
        if moment > self.now(now) {
            self.here = (moment, now);
        }
    }
}
