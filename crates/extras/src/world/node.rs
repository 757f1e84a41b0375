//! Node (one machine's process): a real `Control` or `DataPlane`, its disk, and what it has spent.

use std::rc::Rc;

use consensus::{Members, PersistentState, Write, WriteId};
use control_state::Command;
use garnetdoor::host::{AttemptNo, AttemptOutcome, RequestId};
use membership::{Member, Role};
use playhouse::control_plane::{self, CallOutcome, ControlPlane};
use playhouse::data_plane::{self, DataPlane};
use playhouse::node::{Envelope, NodeCore};
use playhouse::settings::{Settings, seconds_to_micros};
use types::{CallId, Carrier, Micros, NodeAddress, RunId, VoterId};

use super::report::Spent;
use crate::kind;

/// Prompters that vote from the first start on.
const FIRST_VOTERS: usize = 3;

pub(crate) enum Process {
    Prompter(Box<ControlPlane>),
    Gateway(Box<DataPlane>),
}

/// What a node asks of the world; words as they go over the wire.
pub(crate) enum Did {
    Send { to: NodeAddress, kind: usize, bytes: Vec<u8> },
    Write(Box<Write>),
    Tell { ask: CallId, told: CallOutcome },
    Trip { ticket: RequestId, trip: AttemptNo },
    Final { ticket: RequestId },
}

impl Did {
    /// Bytes of heap that leave the node with it.
    pub fn heap(&self) -> usize {
        match self {
            Did::Send { bytes, .. } => bytes.capacity(),
            Did::Write(write) => {
                let entries = write.entries.iter().map(|entry| match &entry.payload {
                    consensus::EntryPayload::Command(data) => data.capacity(),
                    _ => 0,
                });
                let state = write.snapshot.as_ref().map_or(0, |snapshot| snapshot.data.capacity());
                entries.sum::<usize>() + state + std::mem::size_of::<Write>()
            }
            Did::Tell { .. } | Did::Trip { .. } | Did::Final { .. } => 0,
        }
    }
}

pub(crate) struct Node {
    pub place: NodeAddress,
    pub zone: usize,
    prompter: bool,
    process: Option<Process>,
    /// Numbers the processes here.
    pub run: u64,
    pub born: Micros,
    pub tick_at: Micros,
    disk: PersistentState,
    started: bool,
    /// Bytes of heap held, and at most since the phase began.
    pub held: i64,
    pub peak: i64,
    pub spent: Spent,
    pub next_ticket: u64,
}

impl Node {
    pub fn new(place: NodeAddress, zone: usize, prompter: bool) -> Node {
        Node {
            place,
            zone,
            prompter,
            process: None,
            run: 0,
            born: 0,
            tick_at: Micros::MAX,
            disk: PersistentState::default(),
            started: false,
            held: 0,
            peak: 0,
            spent: Spent::default(),
            next_ticket: 0,
        }
    }

    pub fn runs(&self) -> bool {
        self.process.is_some()
    }

    pub fn leads(&self) -> bool {
        matches!(&self.process, Some(Process::Prompter(control)) if control.raft().is_leader())
    }

    pub fn house(&self) -> Option<&NodeCore> {
        match &self.process {
            Some(Process::Prompter(control)) => Some(&control.node),
            Some(Process::Gateway(floor)) => Some(&floor.node),
            None => None,
        }
    }

    pub fn floor(&self) -> Option<&DataPlane> {
        match &self.process {
            Some(Process::Gateway(floor)) => Some(floor),
            _ => None,
        }
    }

    pub fn begin(&mut self, now: Micros) {
        self.run += 1;
        self.born = now;
        self.tick_at = Micros::MAX;
    }

    pub fn end(&mut self) {
        self.run += 1;
        self.tick_at = Micros::MAX;
        self.process = None;
        self.held = 0;
    }

    pub fn due(&self) -> Micros {
        match &self.process {
            Some(Process::Prompter(control)) => control.due(),
            Some(Process::Gateway(floor)) => floor.due(),
            None => Micros::MAX,
        }
    }

    pub fn start(
        &mut self, at: usize, seeds: &[NodeAddress], settings: Rc<Settings>, seed: u64, life: u64,
    ) -> Vec<Did> {
        let part = if self.prompter { Role::ControlNode } else { Role::Gateway };
        let member = Member {
            address: self.place,
            run_id: RunId(life),
            role: part,
            zone: format!("zone-{}", self.zone),
            name: format!("{}-{at:04}", if self.prompter { "prompter" } else { "gateway" }),
            version: types::NodeVersion::CURRENT,
        };
        let beat = seconds_to_micros(settings.heartbeat_s);
        let house = NodeCore::start(member, seeds.to_vec(), beat, seed, 0);
        let spans = settings.derived_timings();
        if !self.prompter {
            self.process = Some(Process::Gateway(Box::new(DataPlane::start(house, settings, seed ^ 3, 0))));
            // The first words lie in the house until the first step.
            return self.tick(0);
        }
        let first = !std::mem::replace(&mut self.started, true) && at < FIRST_VOTERS;
        let seat = VoterId {
            address: self.place,
            disk_id: if at < FIRST_VOTERS { RunId(0) } else { RunId(life | 1) },
        };
        let voters = seeds.iter().map(|place| VoterId { address: *place, disk_id: RunId(0) }).collect();
        let members = first.then_some(Members(voters));
        let (control, out) =
            ControlPlane::start(house, seat, members, self.disk.clone(), &spans, seed ^ 3, 0);
        self.process = Some(Process::Prompter(Box::new(control)));
        out.into_iter().filter_map(of_control).collect()
    }

    fn control(&mut self, now: Micros, event: control_plane::Input) -> Vec<Did> {
        match &mut self.process {
            Some(Process::Prompter(control)) => {
                control.step(now, event).into_iter().filter_map(of_control).collect()
            }
            _ => Vec::new(),
        }
    }

    fn gateway(&mut self, now: Micros, event: data_plane::Input<'_>) -> Vec<Did> {
        match &mut self.process {
            Some(Process::Gateway(floor)) => {
                floor.step(now, event).into_iter().filter_map(of_floor).collect()
            }
            _ => Vec::new(),
        }
    }

    pub fn tick(&mut self, now: Micros) -> Vec<Did> {
        if self.prompter {
            self.control(now, control_plane::Input::Tick)
        } else {
            self.gateway(now, data_plane::Input::Tick)
        }
    }

    pub fn mail(&mut self, now: Micros, from: NodeAddress, bytes: &[u8]) -> Vec<Did> {
        if self.prompter {
            self.control(
                now,
                control_plane::Input::Received { from, bytes: bytes.to_vec(), carrier: Carrier::Datagram },
            )
        } else {
            self.gateway(now, data_plane::Input::MessageReceived { from, bytes, carrier: Carrier::Datagram })
        }
    }

    pub fn beat(&mut self, now: Micros, ask: CallId, beat: registry::Heartbeat) -> Vec<Did> {
        self.control(now, control_plane::Input::Heartbeat { call: ask, heartbeat: beat })
    }

    pub fn order(&mut self, now: Micros, ask: CallId, command: Command) -> Vec<Did> {
        self.control(now, control_plane::Input::Propose { call: ask, command })
    }

    pub fn written(&mut self, now: Micros, no: WriteId) -> Vec<Did> {
        self.control(now, control_plane::Input::WriteFinished { write: no, durable: true })
    }

    pub fn came(&mut self, now: Micros, ticket: RequestId, service: &str, route: &str) -> Vec<Did> {
        let kind = configuration::RouteKind::Safe;
        let left = 1_500_000;
        self.gateway(
            now,
            data_plane::Input::RequestArrived { request: ticket, service, route, kind, time_left: left },
        )
    }

    pub fn ended(
        &mut self, now: Micros, ticket: RequestId, trip: AttemptNo, ending: AttemptOutcome,
    ) -> Vec<Did> {
        let took = 30_000;
        self.gateway(
            now,
            data_plane::Input::AttemptEnded {
                request: ticket,
                attempt: trip,
                elapsed: took,
                outcome: ending,
                answered: true,
            },
        )
    }

    pub fn left(&mut self, now: Micros, ticket: RequestId) -> Vec<Did> {
        self.gateway(now, data_plane::Input::RequestClosed { request: ticket })
    }

    pub fn land(&mut self, write: Write) {
        self.disk.apply_write(write);
    }
}

fn sent(to: NodeAddress, word: &Envelope) -> Option<Did> {
    // Plain types into a growing vector: nothing is lost here that a socket would carry.
    let bytes = word.to_bytes().ok()?;
    Some(Did::Send { to, kind: kind::of(word), bytes })
}

fn of_control(out: control_plane::Output) -> Option<Did> {
    match out {
        control_plane::Output::Send { to, envelope: word } => sent(to, &word),
        control_plane::Output::Write(write) => Some(Did::Write(Box::new(write))),
        // A file of its own, outside what is counted here.
        control_plane::Output::SaveInstances(_) => None,
        control_plane::Output::Reply { call: ask, outcome: told } => Some(Did::Tell { ask, told }),
    }
}

fn of_floor(out: data_plane::Effect) -> Option<Did> {
    match out {
        data_plane::Effect::Send { to, message: word } => sent(to, &word),
        data_plane::Effect::StartAttempt { request: ticket, attempt: trip, .. } => {
            Some(Did::Trip { ticket, trip })
        }
        data_plane::Effect::Reject { request: ticket, .. } | data_plane::Effect::Fail { request: ticket } => {
            Some(Did::Final { ticket })
        }
        data_plane::Effect::CancelAttempt { .. } => None,
    }
}
