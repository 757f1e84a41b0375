//! Exhaust (explicit-state model checking): every order of a few steps of a few machines that run the
//! real `RaftNode`, breadth first, with rules checked in each state. `docs/interleavings.md` tells what
//! is bounded.

mod stage;
mod starts;

use std::collections::{HashSet, VecDeque};
use std::fmt;
use std::panic::{self, AssertUnwindSafe};

pub use stage::{Bounds, Broken, Planted, Rule, Step};
pub use starts::Start;

use stage::Stage;

/// What to explore.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub start: Start,
    pub machines: usize,
    /// Most steps from the start.
    pub steps: usize,
    pub bounds: Bounds,
    pub planted: Option<Planted>,
    /// Most states that are kept; the exploration ends there.
    pub states: usize,
}

/// What was explored, and the first broken rule by a shortest path.
#[derive(Debug)]
pub struct Explored {
    /// Different states, the start among them.
    pub states: usize,
    /// Steps tried.
    pub tried: u64,
    /// New states after each number of steps.
    pub levels: Vec<usize>,
    /// False if it ended before all states within the steps were seen.
    pub whole: bool,
    pub found: Option<Found>,
}

#[derive(Debug)]
pub struct Found {
    pub broken: Broken,
    pub steps: Vec<String>,
    /// Where all stood at the start and at the end.
    pub from: String,
    pub to: String,
}

impl fmt::Display for Found {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:?} broken after {} steps: {}\n{}",
            self.broken.rule,
            self.steps.len(),
            self.broken.what,
            self.from
        )?;
        for (number, step) in self.steps.iter().enumerate() {
            writeln!(f, "  {}. {step}", number + 1)?;
        }
        write!(f, "{}", self.to)
    }
}

impl Bounds {
    const NONE: Bounds = Bounds {
        timers: 0,
        freezes: 0,
        proposals: 0,
        reads: 0,
        crashes: 0,
        wipes: 0,
        failed_writes: 0,
        doubles: 0,
        keeps: 0,
        leaves: 0,
        in_flight: 12,
    };

    /// Names of what may happen, for the command line; the fewer kinds, the deeper an exploration gets.
    pub const ALL: [(&str, Bounds); 8] = [
        ("all", Bounds::all()),
        ("votes", Bounds { timers: 3, crashes: 1, ..Bounds::NONE }),
        ("asks", Bounds { timers: 1, proposals: 2, reads: 1, doubles: 1, ..Bounds::NONE }),
        ("disks", Bounds { timers: 2, proposals: 1, crashes: 1, wipes: 1, failed_writes: 1, ..Bounds::NONE }),
        ("leaves", Bounds { timers: 2, proposals: 1, crashes: 1, leaves: 2, ..Bounds::NONE }),
        ("reads", Bounds { timers: 1, proposals: 1, reads: 2, crashes: 1, ..Bounds::NONE }),
        ("losses", Bounds { timers: 2, proposals: 1, crashes: 1, wipes: 1, ..Bounds::NONE }),
        ("states", Bounds { timers: 2, proposals: 1, crashes: 2, keeps: 1, doubles: 1, ..Bounds::NONE }),
    ];

    /// A little of everything.
    pub const fn all() -> Bounds {
        Bounds {
            timers: 3,
            freezes: 1,
            proposals: 1,
            reads: 1,
            crashes: 1,
            wipes: 1,
            failed_writes: 1,
            doubles: 1,
            keeps: 1,
            leaves: 1,
            ..Bounds::NONE
        }
    }

    /// What may happen from a start: there is at most one lost disk on the way, and one start has it behind it.
    pub fn from(self, start: Start) -> Bounds {
        let wipes = if start == Start::Members { 0 } else { self.wipes };
        Bounds { wipes, ..self }
    }
}

impl Planted {
    /// The exploration that must find it: from where, with what, in so many steps.
    pub fn plan(self) -> Plan {
        let none = Bounds::NONE;
        let (start, steps, bounds) = match self {
            Planted::AckBeforeSync => (Start::Open, 11, Bounds { timers: 2, crashes: 1, ..none }),
            Planted::ForgottenVote => (Start::Rivals, 8, Bounds { crashes: 1, ..none }),
            Planted::OldSeat => (Start::Led, 10, Bounds { timers: 2, wipes: 1, ..none }),
            Planted::ReadUnproved => (Start::Deposed, 8, Bounds { proposals: 1, reads: 1, ..none }),
            Planted::ReadJoined => (Start::Deposed, 9, Bounds { proposals: 1, reads: 1, ..none }),
            Planted::TornWrite => (Start::Deposed, 8, Bounds { timers: 1, crashes: 1, ..none }),
        };
        Plan { start, machines: 3, steps, bounds, planted: Some(self), states: 2_000_000 }
    }
}

/// Explores a plan. `go_on` is asked now and then with the count of states so far.
pub fn explore(plan: &Plan, mut go_on: impl FnMut(usize) -> bool) -> Explored {
    let first = plan.start.stage(plan.machines, plan.bounds.from(plan.start), plan.planted);
    let mut known = HashSet::from([first.fingerprint()]);
    // How each state was first reached: from which, by which step.
    let mut ways: Vec<(u32, Step)> = vec![(0, Step::Timer { at: 0 })];
    let mut explored = Explored { states: 1, tried: 0, levels: vec![1], whole: true, found: None };
    let mut waiting = VecDeque::from([(first.clone(), 0u32, 0usize)]);
    let mut steps = Vec::new();
    while let Some((stage, number, depth)) = waiting.pop_front() {
        if depth == plan.steps {
            break;
        }
        if ways.len() >= plan.states || (number % 1024 == 0 && !go_on(ways.len())) {
            explored.whole = false;
            break;
        }
        stage.steps(&mut steps);
        for step in &steps {
            explored.tried += 1;
            // One of its own invariants broken stops the room; here it is told with the way there.
            let after = panic::catch_unwind(AssertUnwindSafe(|| stage.after(*step)));
            let (broken, next) = match after {
                Ok(None) => continue,
                Ok(Some(next)) => (next.broken().cloned(), Some(next)),
                Err(_) => (Some(Broken { rule: Rule::Stopped, what: "it stopped".into() }), None),
            };
            if let Some(broken) = broken {
                let way = way(&ways, number, *step);
                explored.found = Some(told(broken, &first, &way));
                explored.states = ways.len();
                return explored;
            }
            let Some(next) = next.filter(|next| known.insert(next.fingerprint())) else { continue };
            if explored.levels.len() == depth + 1 {
                explored.levels.push(0);
            }
            explored.levels[depth + 1] += 1;
            ways.push((number, *step));
            if depth + 1 < plan.steps {
                waiting.push_back((next, ways.len() as u32 - 1, depth + 1));
            }
        }
    }
    explored.states = ways.len();
    explored
}

fn way(ways: &[(u32, Step)], mut number: u32, last: Step) -> Vec<Step> {
    let mut way = vec![last];
    while number != 0 {
        let (before, step) = ways[number as usize];
        way.push(step);
        number = before;
    }
    way.reverse();
    way
}

fn told(broken: Broken, first: &Stage, way: &[Step]) -> Found {
    let mut stage = first.clone();
    let mut steps = Vec::new();
    for step in way {
        steps.push(stage.tell(*step));
        let after = panic::catch_unwind(AssertUnwindSafe(|| stage.after(*step)));
        let Ok(Some(after)) = after else { break };
        stage = after;
    }
    Found { broken, steps, from: first.view(), to: stage.view() }
}
