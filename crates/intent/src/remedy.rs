//! Remedy (at the leader): states in, steps out. The mildest first: send again what is missing, rebuild the
//! tables, withdraw from new clients, restart. Each step is fenced, bounded over the fleet, and has a reason.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use types::{LogIndex, Micros, NodeAddress, RunId, SECOND, Term};

use crate::Tuning;
use crate::judge::{State, Why};
use crate::parts::Part;

/// Orders of one tick, over the fleet.
const ORDERS_MAX: usize = 32;
/// Nodes withdrawn at one time, as a share of the fleet; so many are left that nobody has more than half as
/// much
/// again to do.
const OUT_SHARE: f64 = 0.34;
/// Between two restarts of one node.
const RESTART_AGAIN: Micros = 60 * SECOND;
/// Resendings of one index before nothing but time helps.
const RESENDS_MAX: u8 = 8;

/// Orders later orders over earlier ones: a deposed leader's are not obeyed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fence {
    pub term: Term,
    pub number: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Step {
    /// You lack this; ask for it again. Nobody is let in before it holds this.
    Resend { index: LogIndex, root: u64 },
    /// Make all tables new from the ordered text; `parts` has a bit for each part that is wrong. Requests on
    /// routes that changed lately in those parts are turned back (not run, come again) until `Admit`, or the
    /// lease ends.
    Rebuild { parts: u8 },
    /// No new clients, for as long as this is renewed.
    Withdraw,
    /// End in order and start again.
    Restart,
    /// All is shown: take clients.
    Admit,
}

/// One line of the book: what was done to whom and why.
#[derive(Clone, Debug, PartialEq)]
pub struct Note {
    pub place: NodeAddress,
    pub life: RunId,
    pub step: Step,
    /// The worst part, its state and its reason, when the step was taken.
    pub part: Part,
    pub state: State,
    pub why: Why,
}

#[derive(Clone, Debug)]
pub enum Event {
    Tick,
    /// From the judge.
    Changed {
        place: NodeAddress,
        life: RunId,
        part: Part,
        to: State,
        why: Why,
    },
    /// Foyers that are up, with their zones.
    Members(Vec<crate::judge::Member>),
    /// This node leads in a term, surely; or not.
    Lead(Option<Term>),
    /// What is to be in force.
    Today {
        index: LogIndex,
        root: u64,
    },
    /// The part of the fleet that may be missing at the load of this moment.
    Spare(f64),
    /// The judge doubts itself, or most of the fleet looks wrong: nothing but resending.
    Doubt(bool),
}

#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    Order {
        to: NodeAddress,
        life: RunId,
        fence: Fence,
        step: Step,
    },
    Write(Note),
    /// The judge begins that node's record anew (`Judge::repaired`).
    Repaired(NodeAddress),
}

/// How far the repair of a node has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Came up, and has not yet said and held today's.
    Entering,
    Well,
    Resent,
    Rebuilt,
    Out,
    Restarting,
}

#[derive(Clone, Debug)]
struct Patient {
    life: RunId,
    zone: u16,
    stage: Stage,
    since: Micros,
    states: [(State, Option<Why>); Part::COUNT],
    behind: Option<Micros>,
    resends: u8,
    renewed: Micros,
    restarted: Option<Micros>,
}

pub struct Remedy {
    tuning: Tuning,
    term: Option<Term>,
    number: u64,
    today: (LogIndex, u64),
    since: Micros,
    spare: f64,
    doubt: bool,
    nodes: BTreeMap<NodeAddress, Patient>,
    out: Vec<Effect>,
    orders: usize,
}

impl Remedy {
    pub fn start(tuning: Tuning) -> Remedy {
        let (today, spare, nodes) = ((LogIndex(0), 0), OUT_SHARE, BTreeMap::new());
        Remedy {
            tuning,
            term: None,
            number: 0,
            today,
            since: 0,
            spare,
            doubt: false,
            nodes,
            out: Vec::new(),
            orders: 0,
        }
    }

    /// For how long a node stays out on one `Withdraw`: after a leader's loss nobody is kept out for longer.
    pub fn lease(tuning: &Tuning) -> Micros {
        2 * tuning.apply
    }

    pub fn stage(&self, place: NodeAddress) -> Option<Stage> {
        self.nodes.get(&place).map(|node| node.stage)
    }

    pub fn withdrawn(&self) -> usize {
        self.nodes.values().filter(|node| out(node.stage)).count()
    }

    pub fn step(&mut self, now: Micros, event: Event) -> Vec<Effect> {
        match event {
            Event::Tick => self.tick(now),
            Event::Changed { place, life, part, to, why } => {
                let Some(node) = self.nodes.get_mut(&place).filter(|node| node.life == life) else {
                    return Vec::new();
                };
                node.states[part as usize] = (to, Some(why));
                let behind = node.states.iter().any(|(state, _)| *state == State::Behind);
                node.behind = if behind { node.behind.or(Some(now)) } else { None };
                // The rest waits for the tick: the judge may just be turning all parts, one by one.
                let first = matches!(node.stage, Stage::Entering | Stage::Well | Stage::Resent);
                if to.accused() && first {
                    self.treat(now, place);
                }
            }
            Event::Members(members) => self.members(now, members),
            Event::Lead(term) => {
                if term != self.term {
                    self.term = term;
                    // Another leader's patients are let in when their leases end, and judged anew.
                    (self.number, self.doubt) = (0, false);
                    self.nodes.values_mut().for_each(|node| {
                        node.states = Default::default();
                        (node.stage, node.since, node.behind) = (Stage::Well, now, None);
                    });
                }
            }
            Event::Today { index, root } => {
                (self.today, self.since) = ((index, root), now);
                self.nodes.values_mut().for_each(|node| node.resends = 0);
            }
            Event::Spare(share) => self.spare = share.clamp(0.0, OUT_SHARE),
            Event::Doubt(doubt) => self.doubt = doubt,
        }
        std::mem::take(&mut self.out)
    }

    fn members(&mut self, now: Micros, members: Vec<crate::judge::Member>) {
        let there: BTreeSet<NodeAddress> = members.iter().map(|member| member.place).collect();
        self.nodes.retain(|place, _| there.contains(place));
        for member in members.into_iter().take(crate::NODES_MAX) {
            let known = self.nodes.get(&member.place);
            if known.is_some_and(|node| node.life == member.life) {
                continue;
            }
            let ill = known.is_some_and(|node| node.states.iter().any(|(state, _)| state.accused()));
            let restarted = known.and_then(|node| node.restarted);
            let states = match known {
                Some(node) if ill => node.states,
                _ => Default::default(),
            };
            let patient = Patient {
                life: member.life,
                zone: member.zone,
                stage: if ill { Stage::Out } else { Stage::Entering },
                since: now,
                states,
                behind: None,
                resends: 0,
                renewed: now - self.tuning.apply,
                restarted,
            };
            self.nodes.insert(member.place, patient);
            let (index, root) = self.today;
            // One that was under repair stays out until it has shown today's intent on traffic.
            let step = if ill { Step::Withdraw } else { Step::Resend { index, root } };
            self.order(now, member.place, step);
        }
    }

    fn tick(&mut self, now: Micros) {
        self.orders = 0;
        let places: Vec<NodeAddress> = self.nodes.keys().copied().collect();
        places.into_iter().for_each(|place| self.treat(now, place));
    }

    fn treat(&mut self, now: Micros, place: NodeAddress) {
        let tuning = self.tuning.clone();
        let Some(node) = self.nodes.get(&place).filter(|_| self.term.is_some()) else { return };
        let (stage, spent, life) = (node.stage, now - node.since, node.life);
        let accused = node.states.iter().any(|(state, _)| state.accused());
        let today = node.states.iter().all(|(state, _)| *state == State::Today);
        let late = node.behind.is_some_and(|since| now - since >= tuning.settle);
        let renew = now - node.renewed >= Remedy::lease(&tuning) / 3;
        let rested = node.restarted.is_none_or(|at| now - at >= RESTART_AGAIN);
        let free = !self.doubt;
        // A new intent has interrupted what it was showing; its doubtful parts are turned back meanwhile.
        let shown_by = node.since.max(self.since) + tuning.apply * 12 / 10;
        let settled = now >= shown_by || spent >= 4 * tuning.apply;
        let wrong = Part::ALL.into_iter().filter(|part| node.states[*part as usize].0.accused());
        let parts = wrong.fold(0u8, |bits, part| bits | 1 << part as u8);
        match stage {
            Stage::Entering if today => self.turn(now, place, Stage::Well, Some(Step::Admit)),
            Stage::Entering | Stage::Well | Stage::Resent if accused && free => {
                self.turn(now, place, Stage::Rebuilt, Some(Step::Rebuild { parts }));
                self.out.push(Effect::Repaired(place));
            }
            Stage::Entering | Stage::Well | Stage::Resent if late => self.resend(now, place, life),
            // It is not ready before it holds what it is told, so it must be told.
            Stage::Entering if now - node.renewed >= tuning.apply / 10 && node.resends < RESENDS_MAX => {
                if let Some(node) = self.nodes.get_mut(&place).filter(|_| self.orders < ORDERS_MAX) {
                    node.resends += 1;
                    let (index, root) = self.today;
                    self.order(now, place, Step::Resend { index, root });
                }
            }
            Stage::Resent if today => self.turn(now, place, Stage::Well, None),
            Stage::Rebuilt | Stage::Out | Stage::Restarting if !accused => {
                self.turn(now, place, Stage::Well, Some(Step::Admit));
            }
            Stage::Rebuilt if free && settled && self.room(place) => {
                self.turn(now, place, Stage::Out, Some(Step::Withdraw));
            }
            Stage::Out if free && spent >= 2 * tuning.apply && rested && self.may_restart() => {
                if let Some(node) = self.nodes.get_mut(&place) {
                    node.restarted = Some(now);
                }
                self.turn(now, place, Stage::Restarting, Some(Step::Restart));
                self.out.push(Effect::Repaired(place));
            }
            // It did not come back as another life: let others have their turn.
            Stage::Restarting if spent >= 4 * tuning.apply => self.turn(now, place, Stage::Out, None),
            // No room to withdraw it: its doubtful parts stay turned back.
            Stage::Rebuilt if renew => self.order(now, place, Step::Rebuild { parts }),
            Stage::Out if renew => self.order(now, place, Step::Withdraw),
            _ => {}
        }
    }

    fn resend(&mut self, now: Micros, place: NodeAddress, life: RunId) {
        let (index, root) = self.today;
        let again = self.tuning.apply / 10;
        let Some(node) = self.nodes.get_mut(&place).filter(|node| node.life == life) else { return };
        // Where too many wait, the rest has its turn in a later tick, and loses none of its tries.
        let full = self.orders >= ORDERS_MAX;
        if full || node.resends >= RESENDS_MAX || (node.stage == Stage::Resent && now - node.since < again) {
            return;
        }
        node.resends += 1;
        self.turn(now, place, Stage::Resent, Some(Step::Resend { index, root }));
    }

    /// One at a time, or one in twenty of a large fleet; they are out already.
    fn may_restart(&self) -> bool {
        let now = self.nodes.values().filter(|node| node.stage == Stage::Restarting).count();
        now < (self.nodes.len() / 20).max(1)
    }

    /// Whether one more of its zone may go: never over the spare share of the fleet, nor half of a zone (from
    /// there on the platform uses all of them anyway), nor one of fewer than three.
    fn room(&self, place: NodeAddress) -> bool {
        let Some(zone) = self.nodes.get(&place).map(|node| node.zone) else { return false };
        let all = self.nodes.len();
        let here = self.nodes.values().filter(|node| node.zone == zone);
        let (of_zone, out_here) =
            here.fold((0, 0), |(all, gone), node| (all + 1, gone + usize::from(out(node.stage))));
        let most = (all as f64 * self.spare).floor() as usize;
        all >= 3
            && self.withdrawn() < most.max(usize::from(self.spare > 0.1))
            && 2 * (out_here + 1) <= of_zone
    }

    /// The only place where a stage changes.
    fn turn(&mut self, now: Micros, place: NodeAddress, to: Stage, step: Option<Step>) {
        if let Some(node) = self.nodes.get_mut(&place) {
            (node.stage, node.since) = (to, now);
        }
        if let Some(step) = step {
            self.order(now, place, step);
        }
    }

    fn order(&mut self, now: Micros, place: NodeAddress, step: Step) {
        let (Some(term), Some(node)) = (self.term, self.nodes.get_mut(&place)) else { return };
        // A lost order is given again by its renewal or by the next stage.
        if self.orders >= ORDERS_MAX && matches!(step, Step::Resend { .. }) {
            return;
        }
        self.orders += 1;
        self.number += 1;
        let renewal = matches!(step, Step::Withdraw | Step::Rebuild { .. }) && now > node.since;
        node.renewed = now;
        let fence = Fence { term, number: self.number };
        let worst =
            Part::ALL.into_iter().max_by_key(|part| node.states[*part as usize].0).unwrap_or(Part::Routes);
        let (state, why) = node.states[worst as usize];
        let life = node.life;
        self.out.push(Effect::Order { to: place, life, fence, step });
        if !renewal {
            let why = why.unwrap_or(Why::Anew);
            self.out.push(Effect::Write(Note { place, life, step, part: worst, state, why }));
        }
    }
}

fn out(stage: Stage) -> bool {
    matches!(stage, Stage::Out | Stage::Restarting)
}
