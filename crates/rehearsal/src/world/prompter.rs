//! Prompters: hosts `control` as the driver on sockets does, with the real ledger over a store in memory.

use std::collections::BTreeMap;
use std::rc::Rc;

use consensus::{Members, PersistentState, Write};
use control_state::{Command, CommandOutcome};
use playhouse::control_plane::{CallOutcome, ControlPlane, Input, Output};
use playhouse::node::NodeMessage;
use storage::LogStore;
use transport::MemoryStore;
use types::{CallId, Micros, NodeAddress, RunId, VoterId};

use super::machine::Process;
use super::operators::{Call, Caller, Reply};
use super::{Event, World};
use crate::plant::Planted;
use crate::seen::What;

/// The time that a sync takes.
const SYNC: Micros = 500;

/// As late as a planted early word makes it.
const LATE_SYNC: Micros = 300_000;

/// What a caller waits for.
pub(crate) enum Waits {
    Order(Command),
    /// A refusal that waits for proof of leadership.
    Refusal(Command),
    Read,
    Rollout(String),
    Beat,
}

pub(crate) struct PrompterProc {
    pub control: ControlPlane,
    pub ledger: LogStore<MemoryStore>,
    asks: BTreeMap<u64, (Caller, Waits)>,
    next_ask: u64,
    leads: bool,
    /// It led last, and has heard of no other leader since.
    led_last: bool,
    voters: usize,
}

impl PrompterProc {
    pub fn waiting(&self) -> Vec<Caller> {
        self.asks.values().map(|(caller, _)| *caller).collect()
    }
}

impl World {
    pub(crate) fn start_prompter(&mut self, at: usize, first: bool) {
        self.disk_fault(at);
        let place = self.machines[at].place;
        let first = first && self.seeds.contains(&at);
        let old = self.machines[at].seat_life.filter(|_| self.planted == Some(Planted::OldSeat));
        let fresh = if first { RunId(0) } else { RunId(self.chance.rand_u64() | 1) };
        let fresh = old.unwrap_or(fresh);
        let opened = LogStore::open(self.machines[at].store.clone(), fresh);
        let (ledger, opened) = match opened {
            Ok(opened) => opened,
            Err(error) => {
                self.note(at, format!("can't open its disk: {error}"));
                self.machines[at].run += 1;
                return self.later(500_000, Event::Start { at, alone: true });
            }
        };
        let seat = VoterId { address: place, disk_id: opened.disk_id };
        self.machines[at].seat_life = Some(opened.disk_id);
        let voters = (0..self.scenario.prompters.min(3))
            .map(|at| VoterId { address: self.machines[at].place, disk_id: RunId(0) })
            .collect();
        let voters = Members(voters);
        let mut saved: PersistentState = opened.state;
        self.found(&mut saved, &voters);
        let members = ((first || old.is_some()) && opened.is_new).then_some(voters);
        // Among the nodes it is the process that lives, as in the driver; one that has left is never heard again.
        let life = RunId(self.chance.rand_u64());
        let house = self.house(at, life);
        let seed = self.chance.rand_u64();
        let spans = self.settings.derived_timings();
        let (control, out) = ControlPlane::start(house, seat, members, saved, &spans, seed, 0);
        let process = PrompterProc {
            control,
            ledger,
            asks: BTreeMap::new(),
            next_ask: 0,
            leads: false,
            led_last: false,
            voters: 0,
        };
        self.machines[at].process = Some(Process::Prompter(Box::new(process)));
        self.carry_prompter(at, out);
        self.after_prompter(at);
    }

    pub(crate) fn prompter(&mut self, at: usize) -> Option<&mut PrompterProc> {
        match &mut self.machines[at].process {
            Some(Process::Prompter(process)) => Some(process),
            _ => None,
        }
    }

    pub(crate) fn prompter_step(&mut self, at: usize, event: Input) {
        let now = self.clock(at);
        let Some(process) = self.prompter(at) else { return };
        let out = process.control.step(now, event);
        self.carry_prompter(at, out);
        self.after_prompter(at);
    }

    fn after_prompter(&mut self, at: usize) {
        let run = self.machines[at].run;
        let Some(process) = self.prompter(at) else { return };
        let (due, leads, term) =
            (process.control.due(), process.control.raft().is_leader(), process.control.raft().term().0);
        let was = std::mem::replace(&mut process.leads, leads);
        process.led_last = leads || process.led_last && process.control.raft().leader().is_none();
        let voters = process.control.raft().members().0.len();
        if std::mem::replace(&mut process.voters, voters) != voters {
            self.note(at, format!("knows {voters} voters"));
        }
        if leads && !was {
            self.saw(What::Leads { term, machine: at, life: run });
            self.note(at, format!("leads in term {term}"));
        } else if was && !leads {
            self.note(at, format!("leads no more, term {term}"));
        }
        self.wake(at, due);
    }

    fn carry_prompter(&mut self, at: usize, out: Vec<Output>) {
        for what in out {
            match what {
                Output::Send { to, envelope: word } => {
                    if !self.kept_back(at, &word) {
                        self.send(at, to, &word);
                    }
                    if self.now < self.after_vote.0 && grants(&word) {
                        let back = self.after_vote.1;
                        self.later(100, Event::Down { at, power: false, wiped: false, back });
                    }
                }
                Output::Write(write) => self.write(at, write),
                // A machine that starts again knows no instances here: the harder case.
                Output::SaveInstances(_) => {}
                Output::Reply { call: ask, outcome: told } => self.tell(at, ask, told),
            }
        }
    }

    fn write(&mut self, at: usize, write: Write) {
        let run = self.machines[at].run;
        let (until, by) = self.machines[at].disk_slow;
        let mut delay = SYNC + self.span(0, 1_000);
        if self.now < until {
            delay += self.span(by / 2, by);
        }
        delay = delay.max(self.machines[at].disk_hangs - self.now);
        if self.planted == Some(Planted::AckBeforeSync) {
            // The disk is as late as a busy one; the word that all is written comes at once.
            let no = write.id;
            self.later(LATE_SYNC, Event::Synced { at, run, write });
            return self.later(50, Event::Synced { at, run, write: empty(no) });
        }
        self.machines[at].under_way = Some(write.clone());
        self.later(delay, Event::Synced { at, run, write });
    }

    pub(crate) fn synced(&mut self, at: usize, run: u64, write: Write) {
        if self.machines[at].run != run {
            return;
        }
        let early = self.planted == Some(Planted::AckBeforeSync);
        let hollow = early && write.term.0 == 0;
        let no = write.id;
        let mut ok = true;
        if !hollow {
            self.disk_fault(at);
            let kept = self.landing(at, &write);
            let Some(process) = self.prompter(at) else { return };
            ok = process.ledger.write(&kept).is_ok();
        }
        if !early {
            self.machines[at].under_way = None;
        }
        if hollow || !early {
            self.prompter_step(at, Input::WriteFinished { write: no, durable: ok });
        }
    }

    /// A call arrives at a prompter's socket.
    pub(crate) fn called(&mut self, at: usize, caller: Caller, call: &Rc<Call>) {
        if !self.machines[at].powered || self.machines[at].gone {
            return;
        }
        let now = self.clock(at);
        let Some(process) = self.prompter(at) else { return self.reply(at, caller, Reply::Closed) };
        let (leads, led_last) = (process.leads, process.led_last);
        let checked = match &**call {
            Call::Order(command) => process.control.node.state.check_as_leader(now, command),
            _ => Ok(()),
        };
        let run = self.machines[at].run;
        self.calls.insert((caller.who, caller.no), (at, run, self.now));
        match &**call {
            Call::Order(command) => match checked {
                Ok(()) if leads && self.planted == Some(Planted::AckAlone) => {
                    self.begin_ask(at, caller, Waits::Order(command.clone()));
                    self.reply(at, caller, Reply::Status(200));
                }
                Err(outcome) if self.planted == Some(Planted::RefusedUnproved) => {
                    self.ordered(at, caller, &outcome);
                }
                Ok(()) => self.begin_ask(at, caller, Waits::Order(command.clone())),
                Err(_) => self.begin_ask(at, caller, Waits::Refusal(command.clone())),
            },
            Call::Read if self.planted == Some(Planted::DeposedReads) && led_last => {
                self.tell_read(at, caller)
            }
            Call::Read if self.planted == Some(Planted::ReadUnproved) => self.tell_read(at, caller),
            Call::Read => self.begin_ask(at, caller, Waits::Read),
            Call::Rollout(service) => self.begin_ask(at, caller, Waits::Rollout(service.clone())),
            Call::Beat(beat) => {
                let beat = beat.clone();
                let drains = beat.draining;
                self.begin(at, caller, Waits::Beat, |ask| Input::Heartbeat { call: ask, heartbeat: beat });
                let early = matches!(self.planted, Some(Planted::DrainUntold | Planted::DrainAlone));
                if drains && early {
                    self.reply(at, caller, Reply::Taken(None));
                }
            }
            Call::Detach(id) => {
                let id = id.clone();
                self.begin(at, caller, Waits::Beat, |ask| Input::Detach { call: ask, id });
            }
        }
    }

    fn begin_ask(&mut self, at: usize, caller: Caller, waits: Waits) {
        let command = match &waits {
            Waits::Order(command) => Some(command.clone()),
            _ => None,
        };
        self.begin(at, caller, waits, |ask| match command {
            Some(command) => Input::Propose { call: ask, command },
            None => Input::Read { call: ask },
        });
    }

    fn begin(&mut self, at: usize, caller: Caller, waits: Waits, event: impl FnOnce(CallId) -> Input) {
        let Some(process) = self.prompter(at) else { return };
        process.next_ask += 1;
        let ask = process.next_ask;
        process.asks.insert(ask, (caller, waits));
        self.prompter_step(at, event(CallId(ask)));
    }

    fn tell(&mut self, at: usize, ask: CallId, told: CallOutcome) {
        let now = self.clock(at);
        let Some(process) = self.prompter(at) else { return };
        let Some((caller, waits)) = process.asks.remove(&ask.0) else { return };
        match (told, waits) {
            (CallOutcome::Applied(outcome), _) => self.ordered(at, caller, &outcome),
            (CallOutcome::ReadReady, Waits::Refusal(command)) => {
                match process.control.node.state.check_as_leader(now, &command) {
                    Ok(()) => self.begin_ask(at, caller, Waits::Order(command)),
                    Err(outcome) => self.ordered(at, caller, &outcome),
                }
            }
            (CallOutcome::ReadReady, Waits::Rollout(service)) => {
                let found = process.control.node.state.rollouts.get(&service);
                let found = found.and_then(|rollout| Some((rollout.state?, rollout.target_version.clone())));
                self.reply(at, caller, Reply::Rollout(found));
            }
            (CallOutcome::ReadReady, _) => self.tell_read(at, caller),
            (CallOutcome::NotLeader { leader }, _) => {
                let own = self.machines[at].place;
                let reply = match leader.filter(|leader| *leader != own) {
                    Some(leader) => Reply::SentOn(leader),
                    // Its caller has left before the answer comes.
                    None if self.planted == Some(Planted::CallHeld) => return,
                    None => Reply::Status(503),
                };
                self.reply(at, caller, reply);
            }
            (CallOutcome::HeartbeatAccepted { target }, _) => self.reply(at, caller, Reply::Taken(target)),
            (CallOutcome::HeartbeatRejected, _) => self.reply(at, caller, Reply::Status(503)),
        }
    }

    fn tell_read(&mut self, at: usize, caller: Caller) {
        let Some(process) = self.prompter(at) else { return };
        let bill = process.control.node.state.configuration().cloned();
        self.reply(at, caller, Reply::Configuration(bill));
    }

    fn ordered(&mut self, at: usize, caller: Caller, outcome: &CommandOutcome) {
        let mut status = outcome.http_status();
        match self.planted {
            Some(Planted::BothWin) if status == 412 => status = 200,
            Some(Planted::InvalidTaken) if status == 400 => status = 200,
            Some(Planted::TakenForgotten)
                if *outcome == CommandOutcome::Repeated && self.is_old(at, caller) =>
            {
                status = 412
            }
            _ => {}
        }
        self.reply(at, caller, Reply::Status(status));
        if status == 200 {
            self.acknowledged(at, caller);
        }
    }

    /// The way back to a caller.
    pub(crate) fn reply(&mut self, at: usize, caller: Caller, reply: Reply) {
        if !self.passes(Some(at), None) || self.ack_is_lost(caller, &reply) {
            return;
        }
        let way = self.way(at);
        self.later(way, Event::Reply { caller, reply });
    }

    /// The process has ended: its callers see a closed connection, or nothing.
    pub(crate) fn calls_closed(&mut self, callers: Vec<Caller>, power: bool) {
        for caller in callers {
            if !power {
                self.later(1_000, Event::Reply { caller, reply: Reply::Closed });
            }
        }
    }

    pub(crate) fn place_of(&self, at: usize) -> NodeAddress {
        self.machines[at].place
    }
}

/// Says nothing of what is written: only for the planted early word.
fn empty(no: consensus::WriteId) -> Write {
    Write {
        id: no,
        term: types::Term(0),
        voted_for: None,
        truncate_from: None,
        entries: Vec::new(),
        snapshot: None,
        commit_index: types::LogIndex(0),
    }
}

/// A vote that is granted.
fn grants(word: &NodeMessage) -> bool {
    use consensus::{Message, Rpc};
    matches!(
        word,
        NodeMessage::Consensus { message: Message::Rpc { rpc: Rpc::VoteResponse { granted: true }, .. }, .. }
    )
}
