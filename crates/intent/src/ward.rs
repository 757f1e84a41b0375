//! Ward (at each node): takes a leader's orders, obeys each once, and says whether clients may come. It fails
//! open: without a leader nobody is kept out for longer than a lease.

use types::{LogIndex, Micros, RunId};

use crate::Tuning;
use crate::parts::Part;
use crate::remedy::{Fence, Remedy, Step};

/// A node that nobody answers takes clients after this share of `apply` from its start.
const GATE_PARTS: Micros = 2;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    Tick,
    /// An order for a life of this place.
    Order {
        life: RunId,
        fence: Fence,
        step: Step,
    },
    /// What the tables hold, read back after each change of them.
    Holds {
        index: LogIndex,
        root: u64,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Ask the hubs for what comes after the own index.
    AskAgain,
    /// Make all tables new from the ordered text; then `Holds`.
    Rebuild { parts: u8 },
    /// End in order; whoever runs the program starts it again.
    Restart,
    /// `open()` is another now.
    Open(bool),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Door {
    /// Just started: until today's is held, or nobody spoke for a while.
    Entering {
        until: Micros,
    },
    Open,
    Out {
        until: Micros,
    },
}

pub struct Ward {
    life: RunId,
    tuning: Tuning,
    fence: Fence,
    door: Door,
    holds: (LogIndex, u64),
    wanted: Option<(LogIndex, u64)>,
    /// Parts in doubt, and until when.
    back: Option<(u8, Micros)>,
}

impl Ward {
    pub fn start(life: RunId, tuning: Tuning, now: Micros) -> Ward {
        let door = Door::Entering { until: now + tuning.apply / GATE_PARTS };
        Ward {
            life,
            tuning,
            fence: Fence::default(),
            door,
            holds: (LogIndex(0), 0),
            wanted: None,
            back: None,
        }
    }

    /// Whether new clients may come.
    pub fn open(&self) -> bool {
        self.door == Door::Open
    }

    /// Whether requests on routes that changed lately in this part are turned back: they have not run, and
    /// another node serves them.
    pub fn turns_back(&self, part: Part) -> bool {
        self.back.is_some_and(|(parts, _)| parts & 1 << part as u8 != 0)
    }

    pub fn due(&self) -> Micros {
        let back = self.back.map_or(Micros::MAX, |(_, until)| until);
        match self.door {
            Door::Entering { until } | Door::Out { until } => until.min(back),
            Door::Open => back,
        }
    }

    pub fn step(&mut self, now: Micros, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        match event {
            Event::Tick => {
                self.back = self.back.filter(|(_, until)| *until > now);
                if let Door::Entering { until } | Door::Out { until } = self.door
                    && until <= now
                {
                    self.turn(Door::Open, &mut effects);
                }
            }
            Event::Holds { index, root } => {
                self.holds = (index, root);
                self.enter(&mut effects);
            }
            Event::Order { life, fence, step } => {
                // For another life, or older than one that was obeyed.
                if life != self.life || fence <= self.fence {
                    return effects;
                }
                self.fence = fence;
                self.obey(now, step, &mut effects);
            }
        }
        effects
    }

    fn obey(&mut self, now: Micros, step: Step, effects: &mut Vec<Effect>) {
        let lease = now + Remedy::lease(&self.tuning);
        match step {
            Step::Resend { index, root } => {
                self.wanted = Some((index, root));
                if let Door::Entering { until } = &mut self.door {
                    *until = (*until).max(lease);
                }
                if self.holds.0 < index {
                    effects.push(Effect::AskAgain);
                }
                self.enter(effects);
            }
            Step::Rebuild { parts } => {
                self.back = Some((parts, lease));
                effects.push(Effect::AskAgain);
                effects.push(Effect::Rebuild { parts });
            }
            Step::Withdraw => {
                self.back = self.back.map(|(parts, _)| (parts, lease));
                self.turn(Door::Out { until: lease }, effects);
            }
            Step::Restart => effects.push(Effect::Restart),
            Step::Admit => {
                self.back = None;
                self.turn(Door::Open, effects);
            }
        }
    }

    /// A newcomer that holds what the leader told it may take clients; a later index has its own check.
    fn enter(&mut self, effects: &mut Vec<Effect>) {
        let held = self.wanted.is_some_and(|wanted| self.holds == wanted || self.holds.0 > wanted.0);
        if held && matches!(self.door, Door::Entering { .. }) {
            self.turn(Door::Open, effects);
        }
    }

    /// The only place where the door moves.
    fn turn(&mut self, to: Door, effects: &mut Vec<Effect>) {
        let was = self.open();
        self.door = to;
        if was != self.open() {
            effects.push(Effect::Open(self.open()));
        }
    }
}
