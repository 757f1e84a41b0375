//! One state of a few machines with the real `RaftNode` each: what can happen next, and what must never
//! have.
//!
//! Machines are shared between states and copied when something happens to them. Each has a clock of its own,
//! which moves when its timer rings or when it is frozen for a while, and not otherwise.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::rc::Rc;

use consensus::{
    Effect, Entry, Event, FaultTolerance, FingerprintHasher, Members, Message, PersistentState, RaftNode,
    Rpc, Timing, Write,
};
use types::{CallId, LogIndex, MS, Micros, NodeAddress, RunId, SECOND, Term, VoterId};

/// As in promptbook's own world.
pub const TIMING: Timing = Timing {
    heartbeat_interval: 50 * MS,
    election_timeout: 250 * MS,
    removal_timeout: 3 * SECOND,
    replacement_timeout: 750 * MS,
    join_interval: SECOND,
    fault_tolerance: FaultTolerance { machines: 1, domains: (0, 1) },
    max_chunk_bytes: 3000,
};
/// Asks from this one on are reads.
const READS: u64 = 1 << 32;

/// What the world does wrong; the room is as it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Planted {
    /// A write is told as synced at once, and is on disk later.
    AckBeforeSync,
    /// A seat that starts again has forgotten whom it voted for.
    ForgottenVote,
    /// A wiped disk gets its old seat, and starts as on the first day.
    OldSeat,
    /// Reads are answered by whoever thinks that it leads.
    ReadUnproved,
    /// A read is answered by the proof of one that was asked before it.
    ReadJoined,
    /// Of a write that a loss of power cut short, only what it says to be committed is there.
    TornWrite,
}

impl Planted {
    pub const ALL: [Planted; 6] = [
        Planted::AckBeforeSync,
        Planted::ForgottenVote,
        Planted::OldSeat,
        Planted::ReadUnproved,
        Planted::ReadJoined,
        Planted::TornWrite,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Planted::AckBeforeSync => "ack_before_sync",
            Planted::ForgottenVote => "forgotten_vote",
            Planted::OldSeat => "old_seat",
            Planted::ReadUnproved => "read_unproved",
            Planted::ReadJoined => "read_joined",
            Planted::TornWrite => "torn_write",
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// Two leaders in one term, or one that came to lead it twice.
    Leaders,
    /// A seat granted its vote twice in one term.
    Votes,
    /// Two machines have different entries committed at one index.
    Differ,
    /// A later leader lacks what was committed.
    Lost,
    /// A read is older than what was acknowledged before it was asked.
    OldRead,
    /// A seat whose disk was wiped voted.
    OldLife,
    /// An ask was answered twice, or with another's command.
    Answer,
    /// The state machine found one of its own invariants broken.
    Stopped,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Broken {
    pub rule: Rule,
    pub what: String,
}

/// How often each kind of step may still be taken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Bounds {
    pub timers: u8,
    /// Times that a machine is frozen for an election span.
    pub freezes: u8,
    pub proposals: u8,
    pub reads: u8,
    /// Kills and losses of power, each with the start after it.
    pub crashes: u8,
    pub wipes: u8,
    pub failed_writes: u8,
    /// Words that arrive once more later.
    pub doubles: u8,
    /// Times that a state is kept, so that the log is cut.
    pub keeps: u8,
    /// Machines that are told to end in order; they go on until they are ended.
    pub leaves: u8,
    /// Words in flight; one that is sent beyond is lost.
    pub in_flight: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// The word in this slot arrives; `again`: a copy of it stays in flight.
    Deliver {
        slot: u8,
        again: bool,
    },
    /// The clock moves to when the timer is due, and it rings.
    Timer {
        at: u8,
    },
    /// The clock moves on by an election span, and nothing rings.
    Freeze {
        at: u8,
    },
    Synced {
        at: u8,
    },
    WriteFailed {
        at: u8,
        landed: bool,
    },
    /// The process ends and starts again; `landed`: the write under way got to the disk.
    Restart {
        at: u8,
        landed: bool,
    },
    /// The same with an empty disk.
    Wipe {
        at: u8,
    },
    Propose {
        at: u8,
    },
    Read {
        at: u8,
    },
    Keep {
        at: u8,
    },
    Leave {
        at: u8,
    },
}

/// A word on its way.
#[derive(Debug)]
struct Flight {
    from: VoterId,
    to: NodeAddress,
    message: Message,
    mark: u64,
}

#[derive(Clone)]
pub(super) struct Machine {
    pub(super) seat: VoterId,
    pub(super) book: RaftNode,
    now: Micros,
    disk: Rc<PersistentState>,
    under_way: Option<Write>,
    /// Told as synced and not on disk yet: only where that is planted.
    late: Vec<Write>,
    /// Proposals without an answer; reads, with what was acknowledged before.
    open: BTreeMap<u64, LogIndex>,
    /// Committed entries up to here were looked at in this life of the process.
    seen: LogIndex,
    mark: u64,
}

/// What an observer of all machines noted on the way here.
#[derive(Clone, Default, Hash)]
struct Past {
    leaders: BTreeMap<Term, VoterId>,
    /// Votes sent, by voter and term.
    votes: BTreeMap<(VoterId, Term), VoterId>,
    /// Each committed entry by its hash, with the term of who first knew.
    committed: BTreeMap<LogIndex, (u64, Term)>,
    acked: LogIndex,
    proposals: u64,
    reads: u64,
    wiped: Vec<VoterId>,
}

#[derive(Clone)]
pub struct Stage {
    pub(super) machines: Vec<Rc<Machine>>,
    bag: Vec<Rc<Flight>>,
    past: Rc<Past>,
    pub(super) left: Bounds,
    planted: Option<Planted>,
    broken: Option<Broken>,
    /// Words sent in this step.
    sent: u32,
    /// States have two pieces.
    pub(super) large: bool,
}

fn place(at: usize) -> NodeAddress {
    NodeAddress(Ipv4Addr::new(10, 0, 0, at as u8 + 1))
}

fn mark_of(what: impl std::hash::Hash) -> u64 {
    let mut marks = FingerprintHasher::new(0);
    marks.add(what);
    marks.value()
}

fn mark_entry(entry: &Entry) -> u64 {
    mark_of((entry.term, &entry.payload))
}

impl Stage {
    /// All start for the first time, on empty disks.
    pub(super) fn cold(machines: usize) -> Stage {
        let seats: Vec<VoterId> =
            (0..machines).map(|at| VoterId { address: place(at), disk_id: RunId(0) }).collect();
        let books = seats.iter().map(|seat| {
            let (book, _) = RaftNode::start(*seat, None, PersistentState::default(), TIMING, 0, 0);
            Rc::new(Machine {
                seat: *seat,
                book,
                now: 0,
                disk: Rc::default(),
                under_way: None,
                late: Vec::new(),
                open: BTreeMap::new(),
                seen: LogIndex(0),
                mark: 0,
            })
        });
        let mut stage = Stage {
            machines: books.collect(),
            bag: Vec::new(),
            past: Rc::default(),
            left: Bounds { in_flight: u8::MAX, ..Bounds::default() },
            planted: None,
            broken: None,
            sent: 0,
            large: false,
        };
        for at in 0..machines {
            stage.start(at, true);
            stage.mark_machine(at);
        }
        stage
    }

    pub(super) fn fingerprint(&self) -> u64 {
        let mut marks = FingerprintHasher::new(0);
        for machine in &self.machines {
            marks.add(machine.mark);
        }
        for flight in &self.bag {
            marks.add(flight.mark);
        }
        marks.add((&*self.past, self.left));
        marks.value()
    }

    pub(super) fn broken(&self) -> Option<&Broken> {
        self.broken.as_ref()
    }

    /// All that can happen here, in an order that is always the same.
    pub(super) fn steps(&self, into: &mut Vec<Step>) {
        into.clear();
        let left = &self.left;
        for slot in 0..self.bag.len() as u8 {
            into.push(Step::Deliver { slot, again: false });
            if left.doubles > 0 {
                into.push(Step::Deliver { slot, again: true });
            }
        }
        for (number, machine) in self.machines.iter().enumerate() {
            let at = number as u8;
            let writes = machine.under_way.is_some();
            let mut may = |it: bool, step: Step| {
                if it {
                    into.push(step);
                }
            };
            may(writes || !machine.late.is_empty(), Step::Synced { at });
            may(left.timers > 0 && machine.book.next_tick_at() != Micros::MAX, Step::Timer { at });
            may(left.proposals > 0 && machine.book.is_leader(), Step::Propose { at });
            may(left.reads > 0 && machine.book.is_leader(), Step::Read { at });
            for landed in [false, true] {
                may(left.failed_writes > 0 && writes, Step::WriteFailed { at, landed });
                let two = writes || !machine.late.is_empty();
                may(left.crashes > 0 && (two || !landed), Step::Restart { at, landed });
            }
            may(left.wipes > 0, Step::Wipe { at });
            may(left.freezes > 0, Step::Freeze { at });
            may(left.keeps > 0 && machine.seen > LogIndex(0), Step::Keep { at });
            may(left.leaves > 0, Step::Leave { at });
        }
    }

    /// The state after a step; none where it would only lose a word or take a step from what may be done.
    pub(super) fn after(&self, step: Step) -> Option<Stage> {
        let mut stage = self.clone();
        stage.sent = 0;
        let at = stage.take(step);
        stage.mark_machine(at);
        let same = stage.machines[at].mark == self.machines[at].mark && stage.sent == 0;
        let idle = same && matches!(step, Step::Deliver { .. } | Step::Freeze { .. } | Step::Keep { .. });
        (!idle || stage.broken.is_some()).then_some(stage)
    }

    /// Takes one step; gives the machine that it happens at.
    fn take(&mut self, step: Step) -> usize {
        let less = |count: &mut u8| *count = count.saturating_sub(1);
        match step {
            Step::Deliver { slot, again } => {
                let flight = self.bag[slot as usize].clone();
                match again {
                    true => less(&mut self.left.doubles),
                    false => drop(self.bag.remove(slot as usize)),
                }
                let at = self.sits_at(flight.to);
                self.step(at, Event::Received { from: flight.from, message: flight.message.clone() });
                at
            }
            Step::Timer { at } => {
                less(&mut self.left.timers);
                let machine = self.machine(at.into());
                machine.now = machine.now.max(machine.book.next_tick_at());
                self.step(at.into(), Event::Tick);
                at.into()
            }
            Step::Freeze { at } => {
                less(&mut self.left.freezes);
                self.machine(at.into()).now += TIMING.election_timeout;
                at.into()
            }
            Step::Synced { at } => {
                let machine = self.machine(at.into());
                let late = std::mem::take(&mut machine.late);
                late.into_iter().for_each(|write| Rc::make_mut(&mut machine.disk).apply_write(write));
                if let Some(write) = machine.under_way.take() {
                    let no = write.id;
                    Rc::make_mut(&mut machine.disk).apply_write(write);
                    self.step(at.into(), Event::Synced { write: no });
                }
                at.into()
            }
            Step::WriteFailed { at, landed } => {
                less(&mut self.left.failed_writes);
                let machine = self.machine(at.into());
                if let Some(write) = machine.under_way.take() {
                    let no = write.id;
                    if landed {
                        Rc::make_mut(&mut machine.disk).apply_write(write);
                    }
                    self.step(at.into(), Event::WriteFailed { write: no });
                }
                at.into()
            }
            Step::Restart { at, landed } => {
                less(&mut self.left.crashes);
                self.restart(at.into(), landed);
                at.into()
            }
            Step::Wipe { at } => {
                less(&mut self.left.wipes);
                self.wipe(at.into());
                at.into()
            }
            Step::Propose { at } => {
                less(&mut self.left.proposals);
                let past = Rc::make_mut(&mut self.past);
                past.proposals += 1;
                let ask = past.proposals;
                self.machine(at.into()).open.insert(ask, LogIndex(0));
                self.step(at.into(), Event::Propose { call: CallId(ask), data: vec![ask as u8] });
                at.into()
            }
            Step::Read { at } => {
                less(&mut self.left.reads);
                self.read(at.into());
                at.into()
            }
            Step::Keep { at } => {
                less(&mut self.left.keeps);
                let index = self.machines[at as usize].seen;
                let data = self.kept_at(index);
                self.step(at.into(), Event::SnapshotTaken { index, data });
                at.into()
            }
            Step::Leave { at } => {
                less(&mut self.left.leaves);
                self.step(at.into(), Event::PrepareShutdown);
                at.into()
            }
        }
    }

    fn machine(&mut self, at: usize) -> &mut Machine {
        Rc::make_mut(&mut self.machines[at])
    }

    fn sits_at(&self, place: NodeAddress) -> usize {
        self.machines.iter().position(|machine| machine.seat.address == place).expect("words go to machines")
    }

    fn mark_machine(&mut self, at: usize) {
        let machine = self.machine(at);
        let write = |marks: &mut FingerprintHasher, write: &Write| {
            let Write {
                id: _,
                term,
                voted_for: voted,
                commit_index: committed,
                truncate_from: cut_from,
                entries,
                snapshot,
            } = write;
            marks.add((term, voted, committed, cut_from, entries, snapshot));
        };
        let mut marks = FingerprintHasher::new(0);
        marks.add((machine.book.fingerprint(machine.now), &*machine.disk, &machine.open, machine.late.len()));
        machine.under_way.iter().chain(&machine.late).for_each(|one| write(&mut marks, one));
        machine.mark = marks.value();
    }

    fn start(&mut self, at: usize, first: bool) {
        let members = Members(
            (0..self.machines.len()).map(|at| VoterId { address: place(at), disk_id: RunId(0) }).collect(),
        );
        let places = (0..self.machines.len()).filter(|other| *other != at).map(place).collect();
        let machine = self.machine(at);
        let first = first.then_some(members);
        let saved = (*machine.disk).clone();
        let (book, effects) = RaftNode::start(machine.seat, first, saved, TIMING, at as u64, machine.now);
        machine.book = book;
        machine.seen = LogIndex(0);
        self.carry_out(at, effects);
        self.look(at, None);
        self.step(at, Event::Peers { addresses: places });
    }

    fn restart(&mut self, at: usize, landed: bool) {
        let planted = self.planted;
        let machine = self.machine(at);
        let mut lost = std::mem::take(&mut machine.late);
        lost.extend(machine.under_way.take());
        let disk = Rc::make_mut(&mut machine.disk);
        for write in lost.into_iter().filter(|_| landed) {
            match planted {
                Some(Planted::TornWrite) => disk.commit_index = write.commit_index,
                _ => disk.apply_write(write),
            }
        }
        if planted == Some(Planted::ForgottenVote) {
            disk.voted_for = None;
        }
        machine.open.clear();
        self.start(at, false);
    }

    fn wipe(&mut self, at: usize) {
        let old = self.planted == Some(Planted::OldSeat);
        let past = Rc::make_mut(&mut self.past);
        past.wiped.push(self.machines[at].seat);
        let life = RunId(100 + past.wiped.len() as u64);
        let machine = self.machine(at);
        if !old {
            machine.seat.disk_id = life;
        }
        machine.disk = Rc::default();
        (machine.late, machine.under_way) = (Vec::new(), None);
        machine.open.clear();
        self.start(at, old);
    }

    fn read(&mut self, at: usize) {
        let acked = self.past.acked;
        let past = Rc::make_mut(&mut self.past);
        past.reads += 1;
        let ask = READS + past.reads;
        let planted = self.planted;
        let machine = self.machine(at);
        match planted {
            Some(Planted::ReadUnproved) => {
                let index = machine.book.commit_index();
                return self.check_read(at, index, acked);
            }
            Some(Planted::ReadJoined) => {
                if let Some((_, floor)) = machine.open.range_mut(READS..).next() {
                    return *floor = acked;
                }
            }
            _ => {}
        }
        machine.open.insert(ask, acked);
        self.step(at, Event::Read { call: CallId(ask) });
    }

    fn step(&mut self, at: usize, event: Event) {
        let machine = self.machine(at);
        let led = machine.book.is_leader().then(|| machine.book.term());
        let effects = machine.book.step(machine.now, event);
        self.carry_out(at, effects);
        self.look(at, led);
    }

    fn carry_out(&mut self, at: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send { to, message } => self.send(at, to, message),
                Effect::Write(write) if self.planted == Some(Planted::AckBeforeSync) => {
                    let no = write.id;
                    self.machine(at).late.push(write);
                    self.step(at, Event::Synced { write: no });
                }
                Effect::Write(write) => {
                    if self.machine(at).under_way.replace(write).is_some() {
                        self.breaks(Rule::Stopped, format!("machine {at} has two writes under way"));
                    }
                }
                Effect::Apply { index, data, call: ask } => {
                    let Some(CallId(ask)) = ask else { continue };
                    let asked = self.machine(at).open.remove(&ask);
                    if asked.is_none() || data != [ask as u8] {
                        self.breaks(Rule::Answer, format!("machine {at} applied {data:?} for ask {ask}"));
                    }
                    let past = Rc::make_mut(&mut self.past);
                    past.acked = past.acked.max(index);
                }
                Effect::ReadReady { call: ask, index } => match self.machine(at).open.remove(&ask.0) {
                    Some(floor) => self.check_read(at, index, floor),
                    None => self.breaks(Rule::Answer, format!("machine {at} answered a read twice")),
                },
                Effect::Rejected { call: ask, .. } => {
                    if self.machine(at).open.remove(&ask.0).is_none() {
                        self.breaks(Rule::Answer, format!("machine {at} answered ask {} twice", ask.0));
                    }
                }
                Effect::Restore { index, data } => {
                    if data != self.kept_at(index) {
                        self.breaks(Rule::Differ, format!("machine {at} took another state at {}", index.0));
                    }
                    self.machine(at).seen = index;
                }
                Effect::LeaderChanged { .. } => {}
            }
        }
    }

    fn send(&mut self, at: usize, to: NodeAddress, message: Message) {
        let from = self.machines[at].seat;
        if let Message::Rpc { to, term, rpc: Rpc::VoteResponse { granted: true } } = &message {
            self.voted(at, from, *term, *to);
        }
        let mark = mark_of((from, to, &message));
        self.sent += 1;
        // Two equal words in flight are one: that both arrive is what `again` is for.
        if let Err(slot) = self.bag.binary_search_by_key(&mark, |flight| flight.mark)
            && self.bag.len() < usize::from(self.left.in_flight)
        {
            self.bag.insert(slot, Rc::new(Flight { from, to, message, mark }));
        }
    }

    fn breaks(&mut self, rule: Rule, what: String) {
        self.broken.get_or_insert(Broken { rule, what });
    }

    fn voted(&mut self, at: usize, from: VoterId, term: Term, to: VoterId) {
        let past = Rc::make_mut(&mut self.past);
        let first = *past.votes.entry((from, term)).or_insert(to);
        if past.wiped.contains(&from) {
            self.breaks(Rule::OldLife, format!("machine {at} votes as the seat whose disk was wiped"));
        } else if first != to {
            self.breaks(Rule::Votes, format!("machine {at} votes for {first} and {to} in term {}", term.0));
        }
    }

    fn check_read(&mut self, at: usize, index: LogIndex, floor: LogIndex) {
        if index < floor {
            let what = format!("machine {at} read at {}, {} was acknowledged before", index.0, floor.0);
            self.breaks(Rule::OldRead, what);
        }
    }

    /// What all commands up to an index make: a hash of the committed entries.
    fn state_at(&self, index: LogIndex) -> u64 {
        mark_of(
            self.past.committed.range(..=index).map(|(index, (mark, _))| (*index, *mark)).collect::<Vec<_>>(),
        )
    }

    /// The same as it is kept and sent.
    fn kept_at(&self, index: LogIndex) -> Vec<u8> {
        self.state_at(index).to_le_bytes().repeat(if self.large {
            TIMING.max_chunk_bytes * 3 / 16
        } else {
            1
        })
    }

    /// Looks at a machine after its step. `led`: the term that it led in before.
    fn look(&mut self, at: usize, led: Option<Term>) {
        let book = &self.machines[at].book;
        let (term, leads, committed, seen) =
            (book.term(), book.is_leader(), book.commit_index(), self.machines[at].seen);
        for index in (seen.0 + 1..=committed.0).map(LogIndex) {
            let Some(mark) = self.machines[at].book.entry(index).map(mark_entry) else { continue };
            if self.past.committed.get(&index).is_some_and(|(first, _)| *first == mark) {
                continue;
            }
            let past = Rc::make_mut(&mut self.past);
            if past.committed.insert(index, (mark, term)).is_some() {
                self.breaks(Rule::Differ, format!("machine {at} has another entry committed at {}", index.0));
            }
        }
        if seen < committed {
            self.machine(at).seen = committed;
        }
        if leads && led != Some(term) {
            self.elected(at, term);
        }
    }

    fn elected(&mut self, at: usize, term: Term) {
        let seat = self.machines[at].seat;
        if let Some(other) = Rc::make_mut(&mut self.past).leaders.insert(term, seat) {
            self.breaks(Rule::Leaders, format!("{other} and {seat} were elected in term {}", term.0));
        }
        let book = &self.machines[at].book;
        let lacks = self.past.committed.iter().find(|(index, (mark, known))| {
            // What the own disk begins with as a snapshot is compared where it is restored.
            let cut = book.entry(**index).is_none() && **index <= self.machines[at].seen;
            *known < term && !cut && book.entry(**index).map(mark_entry) != Some(*mark)
        });
        if let Some(index) = lacks.map(|(index, _)| *index) {
            let how = if index <= self.past.acked { "acknowledged" } else { "committed" };
            self.breaks(
                Rule::Lost,
                format!("machine {at} leads term {} without entry {}, {how}", term.0, index.0),
            );
        }
    }

    /// A step in words, as seen before it is taken.
    pub(super) fn tell(&self, step: Step) -> String {
        let ending = |landed: bool| if landed { "its write landed" } else { "no write landed" };
        match step {
            Step::Deliver { slot, again } => {
                let flight = &self.bag[slot as usize];
                let (from, to) = (self.sits_at(flight.from.address), self.sits_at(flight.to));
                let copy = if again { ", and a copy stays in flight" } else { "" };
                format!("machine {to} gets from {from}: {}{copy}", tell_message(&flight.message))
            }
            Step::Timer { at } => format!("machine {at}: its timer rings"),
            Step::Freeze { at } => format!("machine {at}: frozen for an election span"),
            Step::Synced { at } => format!("machine {at}: its write is synced"),
            Step::WriteFailed { at, landed } => format!("machine {at}: its write fails, {}", ending(landed)),
            Step::Restart { at, landed } => {
                format!("machine {at}: ends and starts again, {}", ending(landed))
            }
            Step::Wipe { at } => format!("machine {at}: starts again on a wiped disk"),
            Step::Propose { at } => format!("machine {at}: a change is proposed"),
            Step::Read { at } => format!("machine {at}: a read is asked"),
            Step::Keep { at } => format!("machine {at}: its state is kept, the log can be cut"),
            Step::Leave { at } => format!("machine {at}: is told to end"),
        }
    }

    /// Where all stand, one line a machine.
    pub(super) fn view(&self) -> String {
        let line = |(at, machine): (usize, &Rc<Machine>)| {
            let book = &machine.book;
            let log = (1..).map_while(|index| book.entry(LogIndex(index)));
            let terms: Vec<String> = log.map(|entry| entry.term.0.to_string()).collect();
            let (leads, writes) = (book.is_leader(), machine.under_way.is_some() || !machine.late.is_empty());
            format!(
                "machine {at}: term {}{}, entries of terms [{}], {} committed{}\n",
                book.term().0,
                if leads { ", leads" } else { "" },
                terms.join(" "),
                book.commit_index().0,
                if writes { ", a write under way" } else { "" },
            )
        };
        self.machines.iter().enumerate().map(line).collect()
    }

    /// Steps of the script of a start: `step` must be possible.
    pub(super) fn run(&mut self, step: Step) {
        let at = self.take(step);
        self.mark_machine(at);
        assert!(self.broken.is_none(), "a start broke a rule: {:?}", self.broken);
    }

    /// The first word in flight between two machines that `wanted` wants.
    pub(super) fn slot(&self, from: usize, to: usize, wanted: impl Fn(&Rpc) -> bool) -> Option<Step> {
        let fits = |flight: &Rc<Flight>| {
            let wants = match &flight.message {
                Message::Rpc { rpc: word, .. } => wanted(word),
                Message::JoinRequest | Message::LeaderHint { .. } => true,
            };
            (self.sits_at(flight.from.address), self.sits_at(flight.to)) == (from, to) && wants
        };
        let slot = self.bag.iter().position(fits)?;
        Some(Step::Deliver { slot: slot as u8, again: false })
    }

    /// Loses the words in flight that are from or to one of `cut`.
    pub(super) fn lose(&mut self, cut: &[usize]) {
        let bag = std::mem::take(&mut self.bag);
        let lost = |flight: &Flight| {
            cut.contains(&self.sits_at(flight.from.address)) || cut.contains(&self.sits_at(flight.to))
        };
        self.bag = bag.into_iter().filter(|flight| !lost(flight)).collect();
    }

    pub(super) fn plant(&mut self, planted: Option<Planted>) {
        self.planted = planted;
        for at in 0..self.machines.len() {
            if planted == Some(Planted::AckBeforeSync)
                && let Some(write) = self.machine(at).under_way.take()
            {
                let no = write.id;
                self.machine(at).late.push(write);
                self.step(at, Event::Synced { write: no });
                self.mark_machine(at);
            }
        }
    }

    /// Loses the words in flight that `wanted` doesn't want.
    pub(super) fn lose_all_but(&mut self, wanted: impl Fn(&Rpc) -> bool) {
        self.bag.retain(|flight| matches!(&flight.message, Message::Rpc { rpc: word, .. } if wanted(word)));
    }

    /// Words that were in flight between two machines in an earlier state arrive late: they still are.
    pub(super) fn keep_words(&mut self, earlier: &Stage, from: usize, to: usize) {
        let between =
            |flight: &&Rc<Flight>| (self.sits_at(flight.from.address), self.sits_at(flight.to)) == (from, to);
        let kept: Vec<Rc<Flight>> = earlier.bag.iter().filter(between).cloned().collect();
        self.bag.extend(kept);
        self.bag.sort_by_key(|flight| flight.mark);
    }

    /// Everything arrives and is synced until nothing is under way; words from and to `cut` are lost.
    pub(super) fn settle(&mut self, cut: &[usize]) {
        self.settle_until(cut, |_| false);
    }

    /// The same, but no further than to what is waited for.
    pub(super) fn settle_until(&mut self, cut: &[usize], enough: impl Fn(&Stage) -> bool) {
        for _ in 0..1000 {
            self.lose(cut);
            if enough(self) {
                return;
            }
            let writes = self.machines.iter().position(|machine| machine.under_way.is_some());
            match writes {
                Some(at) => self.run(Step::Synced { at: at as u8 }),
                None if !self.bag.is_empty() => self.run(Step::Deliver { slot: 0, again: false }),
                None => return,
            }
        }
        unreachable!("words that never end");
    }
}

fn tell_message(message: &Message) -> String {
    let Message::Rpc { term, rpc: word, .. } = message else { return format!("{message:?}") };
    let said = match word {
        Rpc::PreVoteRequest { last_index: last, last_term } => {
            format!("may I stand, my last is {} of term {}", last.0, last_term.0)
        }
        Rpc::PreVoteResponse { granted } => format!("you may stand: {granted}"),
        Rpc::VoteRequest { last_index: last, last_term } => {
            format!("vote for me, my last is {} of term {}", last.0, last_term.0)
        }
        Rpc::VoteResponse { granted } => format!("my vote: {granted}"),
        Rpc::AppendEntries { prev_index: prev, entries, commit_index: commit, round, .. } => {
            format!("{} entries after {}, committed {}, round {round}", entries.len(), prev.0, commit.0)
        }
        Rpc::Heartbeat { commit_index: commit, round } => {
            format!("beat, committed {}, round {round:?}", commit.0)
        }
        Rpc::AppendResponse { match_index: matched, received_index: got, round } => {
            format!("I have {} on disk, {} here, round {round}", matched.0, got.0)
        }
        Rpc::AppendRejected { prev_index: prev, retry_index: hint, .. } => {
            format!("I have no such {}, try {}", prev.0, hint.0)
        }
        Rpc::InstallSnapshot { last_included_index: index, offset: at, .. } => {
            format!("a piece of the state at {} from {at} on", index.0)
        }
        Rpc::SnapshotProgress { last_included_index: index, received_bytes: upto, .. } => {
            format!("I have {upto} bytes of the state at {}", index.0)
        }
        Rpc::StaleTerm => "there is a newer term".into(),
        Rpc::TransferLeadership { successor: next } => format!("I go, {next} is to stand"),
        Rpc::ShutdownQuery { last_index: last } => format!("I leave, who else has all up to {}", last.0),
        Rpc::ShutdownApproved { up_to: upto } => format!("go, others have all up to {}", upto.0),
    };
    format!("{said} (term {})", term.0)
}
