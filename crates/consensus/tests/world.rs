//! A small world: seats, a net that loses, doubles and delays, disks that forget what was not synced. Every
//! effect is checked as it comes; a seed plays the same each time.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;

use consensus::{
    Effect, Event, FaultTolerance, Members, Message, PersistentState, RaftNode, Rpc, ShutdownReadiness,
    Timing, Write,
};
use types::{CallId, LogIndex, MS, Micros, NodeAddress, RunId, SECOND, VoterId};

const TIMING: Timing = Timing {
    heartbeat_interval: 50 * MS,
    election_timeout: 250 * MS,
    removal_timeout: 3 * SECOND,
    replacement_timeout: 750 * MS,
    join_interval: SECOND,
    fault_tolerance: FaultTolerance { machines: 1, domains: (0, 1) },
    max_chunk_bytes: 3000,
};

enum Occurrence {
    Word { to: NodeAddress, from: VoterId, message: Message },
    Disk { at: usize, run: u64, write: Write },
    Tick { at: usize, run: u64 },
    Kept { at: usize, run: u64, index: LogIndex, data: Vec<u8> },
    Doom { at: usize, run: u64 },
    End { at: usize, run: u64 },
    Start { at: usize },
    Clients,
    Fault,
}

#[derive(Default)]
struct Machine {
    seat: Option<VoterId>,
    book: Option<RaftNode>,
    disk: PersistentState,
    /// Counts the processes here, so that what was meant for an earlier one is dropped.
    run: u64,
    gone: bool,
    /// Only the tick set last counts.
    tick: Micros,
    frozen: Micros,
    full: Micros,
    hung: Micros,
    /// Loses power between its next write and the sync.
    doomed: bool,
    under_way: Option<Write>,
    applied: u64,
    sum: u64,
    since_kept: u32,
    lost: u32,
    open: BTreeMap<u64, (Option<Vec<u8>>, u64)>,
}

impl Machine {
    fn view(&self) -> String {
        let book = self.book.as_ref().map(|book| {
            let members: Vec<String> = book.members().0.iter().map(VoterId::to_string).collect();
            (
                book.term(),
                book.is_leader(),
                book.leader().map(|seat| seat.to_string()),
                book.commit_index(),
                members,
            )
        });
        format!(
            "{:?} {} {book:?}",
            self.seat.map(|seat| seat.to_string()),
            if self.gone { "gone" } else { "" }
        )
    }
}

struct World {
    now: Micros,
    chance: oorandom::Rand32,
    queue: BTreeMap<(Micros, u64), Occurrence>,
    made: u64,
    machines: Vec<Machine>,
    cuts: Vec<(NodeAddress, NodeAddress, Micros)>,
    calm: bool,
    fat: bool,
    loss: u32,
    wiped: Micros,
    /// Clients ask for nothing.
    idle: bool,
    timing: Timing,
    /// Commands after which a state is kept.
    keep_after: u32,
    /// Bytes a second to and from one machine, and when its link is free again.
    slow: Option<(NodeAddress, u64, Micros)>,
    sent: u64,
    /// The one true order: what was handed out at an index, and the sum of all up to it.
    truth: BTreeMap<u64, (Vec<u8>, u64)>,
    acked: u64,
    acks: u64,
    reads: u64,
    leaders: BTreeMap<u64, VoterId>,
}

fn place(at: usize) -> NodeAddress {
    NodeAddress(Ipv4Addr::new(10, 0, 0, at as u8 + 1))
}

fn sum_of(before: u64, data: &[u8]) -> u64 {
    let id = u64::from_le_bytes(data[..8].try_into().expect("a command has its number"));
    (before.rotate_left(7) ^ id).wrapping_mul(0x100_0000_01b3)
}

impl World {
    fn new(seed: u64, machines: usize) -> World {
        World::with(seed, machines, TIMING)
    }

    fn with(seed: u64, machines: usize, timing: Timing) -> World {
        let mut world = World {
            now: 0,
            chance: oorandom::Rand32::new(seed),
            queue: BTreeMap::new(),
            made: 0,
            machines: Vec::new(),
            cuts: Vec::new(),
            calm: true,
            fat: seed.is_multiple_of(3),
            loss: 0,
            wiped: 0,
            idle: false,
            timing,
            keep_after: 25,
            slow: None,
            sent: 0,
            truth: BTreeMap::new(),
            acked: 0,
            acks: 0,
            reads: 0,
            leaders: BTreeMap::new(),
        };
        let first = Members((0..3).map(|at| VoterId { address: place(at), disk_id: RunId(0) }).collect());
        for at in 0..machines {
            world.machines.push(Machine::default());
            world.start(at, (at < 3).then(|| first.clone()));
        }
        world.later(10 * MS, Occurrence::Clients);
        world
    }

    fn below(&mut self, end: u32) -> u32 {
        self.chance.rand_range(0..end)
    }

    fn span(&mut self, from: Micros, to: Micros) -> Micros {
        from + Micros::from(self.below((to - from) as u32))
    }

    fn later(&mut self, after: Micros, what: Occurrence) {
        self.made += 1;
        self.queue.insert((self.now + after, self.made), what);
    }

    fn start(&mut self, at: usize, first: Option<Members>) {
        if self.machines[at].gone || self.machines[at].book.is_some() {
            return;
        }
        let empty = self.machines[at].disk == PersistentState::default();
        let life = RunId(if first.is_some() { 0 } else { u64::from(self.chance.rand_u32()) });
        let seat = self.machines[at]
            .seat
            .filter(|_| !empty)
            .unwrap_or(VoterId { address: place(at), disk_id: life });
        let seed = u64::from(self.chance.rand_u32());
        let machine = &mut self.machines[at];
        machine.seat = Some(seat);
        machine.run += 1;
        (machine.applied, machine.sum) = (0, 0);
        let (book, effects) = RaftNode::start(seat, first, machine.disk.clone(), self.timing, seed, self.now);
        machine.book = Some(book);
        self.carry_out(at, effects);
        self.meet(at);
        self.tick_again(at);
    }

    /// Tells which places serve control.
    fn meet(&mut self, at: usize) {
        let there = (0..self.machines.len()).filter(|other| *other != at && !self.machines[*other].gone);
        self.step(at, Event::Peers { addresses: there.map(place).collect() });
    }

    fn tick_again(&mut self, at: usize) {
        let machine = &self.machines[at];
        if let Some(book) = &machine.book {
            let wait =
                (book.next_tick_at() - self.now).max(MS) + Micros::from(self.chance.rand_range(0..3000));
            let run = self.machines[at].run;
            self.machines[at].tick = self.now + wait;
            self.later(wait, Occurrence::Tick { at, run });
        }
    }

    /// The process ends. `power`: what is not synced is gone, else it still gets to the disk.
    fn stop(&mut self, at: usize, power: bool) {
        let lands = !power || self.below(3) == 0;
        let machine = &mut self.machines[at];
        machine.book = None;
        machine.run += 1;
        machine.open.clear();
        if let Some(write) = machine.under_way.take().filter(|_| lands) {
            apply(&mut machine.disk, write);
        }
    }

    fn wipe(&mut self, at: usize) {
        self.wiped = self.now;
        self.stop(at, true);
        self.machines[at].disk = PersistentState::default();
    }

    fn step(&mut self, at: usize, event: Event) {
        let Some(book) = &mut self.machines[at].book else { return };
        let (before, due) = (book.commit_index(), book.next_tick_at());
        let effects = book.step(self.now, event);
        assert!(book.commit_index() >= before, "what is committed stays so");
        let sooner = book.next_tick_at() < due;
        self.carry_out(at, effects);
        if sooner {
            self.tick_again(at);
        }
    }

    fn carry_out(&mut self, at: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send { to, message } => self.send(at, to, message),
                Effect::Write(write) => {
                    assert!(self.machines[at].under_way.is_none(), "one write at a time");
                    self.machines[at].under_way = Some(write.clone());
                    if self.machines[at].doomed && self.below(2) == 0 {
                        self.machines[at].doomed = false;
                        let run = self.machines[at].run;
                        self.later(200, Occurrence::Doom { at, run });
                        continue;
                    }
                    let wait = self.span(300, 2 * MS) + (self.machines[at].hung - self.now).max(0);
                    let run = self.machines[at].run;
                    self.later(wait, Occurrence::Disk { at, run, write });
                }
                Effect::Apply { index, data, call: ask } => self.applied(at, index, data, ask),
                Effect::Restore { index, data } => {
                    let (_, (_, sum)) = self.truth.range(..=index.0).next_back().expect("it was handed out");
                    assert_eq!(data[..8], sum.to_le_bytes(), "a snapshot is the true state");
                    let machine = &mut self.machines[at];
                    assert!(machine.applied <= index.0);
                    (machine.applied, machine.sum) = (index.0, *sum);
                }
                Effect::ReadReady { call: ask, index } => {
                    let machine = &mut self.machines[at];
                    let (data, floor) = machine.open.remove(&ask.0).expect("one answer for each ask");
                    assert!(data.is_none() && index.0 >= floor && machine.applied >= floor, "an old read");
                    self.reads += 1;
                }
                Effect::Rejected { call: ask, may_commit: lost, .. } => {
                    let (data, _) = self.machines[at].open.remove(&ask.0).expect("one answer for each ask");
                    assert!(data.is_some() || !lost);
                    self.machines[at].lost += u32::from(lost);
                }
                Effect::LeaderChanged { leader, term } => {
                    if let Some(leader) = leader {
                        assert_eq!(*self.leaders.entry(term.0).or_insert(leader), leader, "one for a term");
                    }
                }
            }
        }
    }

    fn applied(&mut self, at: usize, index: LogIndex, data: Vec<u8>, ask: Option<CallId>) {
        let machine = &mut self.machines[at];
        assert!(index.0 > machine.applied, "in order, each once");
        machine.applied = index.0;
        machine.sum = sum_of(machine.sum, &data);
        let (true_data, true_sum) = self.truth.entry(index.0).or_insert_with(|| (data.clone(), machine.sum));
        assert_eq!(*true_data, data, "two commands at {index:?}");
        assert_eq!(*true_sum, machine.sum, "something is missing before {index:?}");
        if let Some(ask) = ask {
            let (asked, _) = machine.open.remove(&ask.0).expect("one answer for each ask");
            assert_eq!(asked, Some(data));
            self.acked = self.acked.max(index.0);
            self.acks += 1;
        }
        machine.since_kept += 1;
        if machine.since_kept > self.keep_after {
            machine.since_kept = 0;
            let mut data = machine.sum.to_le_bytes().to_vec();
            data.resize(8 + (machine.sum % 9000) as usize, 1);
            let run = machine.run;
            self.later(MS, Occurrence::Kept { at, run, index, data });
        }
    }

    fn send(&mut self, at: usize, to: NodeAddress, message: Message) {
        let from = self.machines[at].seat.expect("it runs");
        let now = self.now;
        self.sent += 1;
        if self.cuts.iter().any(|cut| (cut.0, cut.1) == (from.address, to) && cut.2 > now) {
            return;
        }
        let copies = match self.below(100) {
            chance if chance < self.loss => 0,
            chance if chance < 2 * self.loss => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let late = !self.calm && self.below(200) == 0;
            let wait = if late { self.span(10 * MS, 2 * SECOND) } else { self.span(MS, 3 * MS) };
            let wait = wait + self.queued(from.address, to, &message);
            self.later(wait, Occurrence::Word { to, from, message: message.clone() });
        }
    }

    /// How long a message waits for a slow link, in order.
    fn queued(&mut self, from: NodeAddress, to: NodeAddress, message: &Message) -> Micros {
        let Some((place, rate, free)) = &mut self.slow else { return 0 };
        if *place != from && *place != to {
            return 0;
        }
        let bytes = match message {
            Message::Rpc { rpc: Rpc::AppendEntries { entries, .. }, .. } => {
                let size = |entry: &consensus::Entry| match &entry.payload {
                    consensus::EntryPayload::Command(data) => data.len(),
                    _ => 0,
                };
                entries.iter().map(size).sum()
            }
            Message::Rpc { rpc: Rpc::InstallSnapshot { data, .. }, .. } => data.len(),
            _ => 0,
        } + 60;
        *free = (*free).max(self.now) + (bytes as u64 * 1_000_000 / *rate) as Micros;
        *free - self.now
    }

    fn run(&mut self, span: Micros) {
        let end = self.now + span;
        while self.queue.first_key_value().is_some_and(|((at, _), _)| *at <= end) {
            let ((now, _), what) = self.queue.pop_first().expect("there is one");
            self.now = now;
            let awake = |machine: &Machine, run: u64| machine.run == run && machine.frozen <= now;
            match what {
                Occurrence::Word { to, from, message } => {
                    let Some(at) = (0..self.machines.len()).find(|at| place(*at) == to) else { continue };
                    match self.machines[at].frozen - now {
                        wait if wait > 0 => self.later(wait, Occurrence::Word { to, from, message }),
                        _ => self.step(at, Event::Received { from, message }),
                    }
                }
                Occurrence::Tick { at, run } if awake(&self.machines[at], run) => {
                    if self.machines[at].tick <= now {
                        self.step(at, Event::Tick);
                        self.tick_again(at);
                    }
                }
                Occurrence::Tick { at, run } if self.machines[at].run == run => {
                    self.machines[at].tick = self.machines[at].frozen;
                    self.later(self.machines[at].frozen - now, Occurrence::Tick { at, run });
                }
                Occurrence::Kept { at, run, index, data } if awake(&self.machines[at], run) => {
                    self.step(at, Event::SnapshotTaken { index, data });
                }
                Occurrence::Disk { at, run, write } if awake(&self.machines[at], run) => {
                    self.synced(at, write)
                }
                Occurrence::Disk { at, run, write } if self.machines[at].run == run => {
                    self.later(self.machines[at].frozen - now, Occurrence::Disk { at, run, write });
                }
                Occurrence::Doom { at, run } if self.machines[at].run == run => {
                    self.stop(at, true);
                    self.later(20 * MS, Occurrence::Start { at });
                }
                Occurrence::End { at, run } if self.machines[at].run == run => self.stop(at, false),
                Occurrence::Start { at } => self.start(at, None),
                Occurrence::Clients => self.clients(),
                Occurrence::Fault if !self.calm => self.fault(),
                Occurrence::Tick { .. }
                | Occurrence::Kept { .. }
                | Occurrence::Disk { .. }
                | Occurrence::Doom { .. }
                | Occurrence::End { .. }
                | Occurrence::Fault => {}
            }
        }
        self.now = end;
    }

    fn synced(&mut self, at: usize, write: Write) {
        let full = self.machines[at].full > self.now;
        let lands = !full || self.below(4) == 0;
        let machine = &mut self.machines[at];
        machine.under_way = None;
        let no = write.id;
        if lands {
            apply(&mut machine.disk, write);
        }
        self.step(at, if full { Event::WriteFailed { write: no } } else { Event::Synced { write: no } });
    }

    fn clients(&mut self) {
        let wait = self.span(5 * MS, 40 * MS);
        self.later(wait, Occurrence::Clients);
        let led = (0..self.machines.len()).find(|at| self.leads(*at)).unwrap_or(0);
        let asks = if self.idle { 0 } else { 1 + self.below(3) };
        for _ in 0..asks {
            let at = if self.below(4) == 0 { self.below(self.machines.len() as u32) as usize } else { led };
            if self.machines[at].book.is_none() || self.machines[at].frozen > self.now {
                continue;
            }
            self.made += 1;
            let ask = CallId(self.made);
            if self.below(3) == 0 {
                self.machines[at].open.insert(ask.0, (None, self.acked));
                self.step(at, Event::Read { call: ask });
            } else {
                let mut data = ask.0.to_le_bytes().to_vec();
                data.resize(8 + self.below(if self.fat { 9000 } else { 300 }) as usize, 7);
                self.machines[at].open.insert(ask.0, (Some(data.clone()), 0));
                self.step(at, Event::Propose { call: ask, data });
            }
        }
    }

    fn leads(&self, at: usize) -> bool {
        self.machines[at].book.as_ref().is_some_and(RaftNode::is_leader)
    }

    fn leader(&self) -> usize {
        let leads =
            (0..self.machines.len()).filter(|at| self.leads(*at) && self.machines[*at].frozen <= self.now);
        leads.max_by_key(|at| self.book(*at).term()).expect("somebody leads")
    }

    fn book(&self, at: usize) -> &RaftNode {
        self.machines[at].book.as_ref().expect("it runs")
    }

    /// True if in everybody's view a majority of the members stays beside this one and those that are gone.
    /// Two disks lost at almost the same time are more than three or four seats bear.
    fn spares(&self, gone: usize) -> bool {
        if self.now - self.wiped < SECOND {
            return false;
        }
        let intact = |seat: &&VoterId| {
            let at = (0..self.machines.len()).find(|at| place(*at) == seat.address);
            at.is_some_and(|at| {
                at != gone && self.machines[at].seat == Some(**seat) && !self.machines[at].gone
            })
        };
        self.machines.iter().filter(|machine| !machine.gone).all(|machine| {
            let Some(book) = &machine.book else { return false };
            let members = &book.members().0;
            members.iter().filter(intact).count() > members.len() / 2
        })
    }

    fn fault(&mut self) {
        let wait = self.span(50 * MS, 1500 * MS);
        self.later(wait, Occurrence::Fault);
        let at = self.below(self.machines.len() as u32) as usize;
        let (back, span) = (self.span(50 * MS, SECOND), self.span(50 * MS, 2 * SECOND));
        let until = self.now + span;
        match self.below(16) {
            0 | 1 => {
                let power = self.below(2) == 0;
                self.stop(at, power);
                self.later(back, Occurrence::Start { at });
            }
            2 => {
                let power = self.below(2) == 0;
                for at in 0..self.machines.len() {
                    let back = self.span(50 * MS, SECOND);
                    self.stop(at, power);
                    self.later(back, Occurrence::Start { at });
                }
            }
            3 | 4 if self.spares(at) => {
                self.wipe(at);
                self.later(back, Occurrence::Start { at });
            }
            5 if self.spares(at) && self.machines.len() < 9 && !self.machines[at].gone => self.replace(at),
            6 | 7 => self.machines[at].frozen = until,
            12 => self.machines[at].doomed = true,
            13 => {
                // The leader dies, and some of those who then vote.
                self.machines.iter_mut().for_each(|machine| machine.doomed = true);
                let led = (0..self.machines.len()).find(|at| self.leads(*at)).unwrap_or(at);
                self.stop(led, true);
                self.later(back, Occurrence::Start { at: led });
            }
            8 => self.machines[at].full = until,
            14 => {
                self.step(at, Event::PrepareShutdown);
                let run = self.machines[at].run;
                self.later(200 * MS, Occurrence::End { at, run });
                self.later(200 * MS + back, Occurrence::Start { at });
            }
            9 => self.machines[at].hung = until,
            10 => self.cut_off(&[at], until),
            11 => {
                let half: Vec<usize> =
                    (0..self.machines.len()).filter(|_| self.chance.rand_u32().is_multiple_of(2)).collect();
                self.cut_off(&half, until);
            }
            _ => {
                let other = self.below(self.machines.len() as u32) as usize;
                self.cuts.push((place(at), place(other), until));
            }
        }
    }

    /// A change of so many bytes at the leader.
    fn propose(&mut self, bytes: usize) {
        let leader = self.leader();
        self.made += 1;
        let mut data = self.made.to_le_bytes().to_vec();
        data.resize(8 + bytes, 3);
        let ask = CallId(self.made);
        self.machines[leader].open.insert(ask.0, (Some(data.clone()), 0));
        self.step(leader, Event::Propose { call: ask, data });
    }

    /// Runs until something holds; false if it doesn't within the span.
    fn until(&mut self, span: Micros, mut holds: impl FnMut(&World) -> bool) -> bool {
        let end = self.now + span;
        while !holds(self) && self.now < end {
            self.run(MS);
        }
        holds(self)
    }

    fn voter(&self, at: usize) -> bool {
        let seat = self.machines[at].seat.expect("it has one");
        self.book(self.leader()).members().0.contains(&seat)
    }

    fn replace(&mut self, at: usize) {
        self.wipe(at);
        self.machines[at].gone = true;
        self.machines.push(Machine::default());
        self.start(self.machines.len() - 1, None);
        for at in 0..self.machines.len() {
            self.meet(at);
        }
    }

    fn cut_off(&mut self, some: &[usize], until: Micros) {
        for one in some {
            for other in (0..self.machines.len()).filter(|other| !some.contains(other)) {
                self.cuts.push((place(*one), place(other), until));
                self.cuts.push((place(other), place(*one), until));
            }
        }
    }

    /// All faults end. In the given time everybody must be in again, and all must have the same.
    fn calm_down(&mut self, span: Micros) {
        self.calm = true;
        self.loss = 0;
        self.cuts.clear();
        for at in 0..self.machines.len() {
            let machine = &mut self.machines[at];
            (machine.frozen, machine.full, machine.hung) = (machine.frozen.min(self.now), 0, 0);
            machine.doomed = false;
            self.later(100 * MS, Occurrence::Start { at });
        }
        self.run(span);
        let (acks, reads) = (self.acks, self.reads);
        self.run(2 * SECOND);
        let moves = self.acks > acks + 20 && self.reads > reads + 10;
        assert!(
            moves,
            "no progress when calm: {:#?}",
            self.machines.iter().map(Machine::view).collect::<Vec<_>>()
        );
        let live: Vec<usize> = (0..self.machines.len()).filter(|at| !self.machines[*at].gone).collect();
        let leader = self.book(self.leader());
        for at in &live {
            let (machine, book) = (&self.machines[*at], self.book(*at));
            assert!(leader.members().0.contains(&machine.seat.expect("it runs")), "machine {at} is not in");
            assert_eq!((book.leader(), book.members()), (leader.leader(), leader.members()));
            assert!(machine.applied >= self.acked - 20, "machine {at} is behind");
            assert!(machine.open.len() < 20, "asks without an answer");
        }
        let seats = leader.members().0.len();
        assert!(seats == live.len().max(3.min(seats)), "seats that are gone vote: {:?}", leader.members());
    }
}

fn apply(disk: &mut PersistentState, write: Write) {
    disk.apply_write(write);
    let start = disk.snapshot.as_ref().map_or(0, |snapshot| snapshot.index.0);
    let in_order = disk.entries.iter().zip(start + 1..).all(|(entry, index)| entry.index.0 == index);
    assert!(in_order, "a disk without gaps");
}

fn troubled(seed: u64) {
    let mut world = World::new(seed, 3 + (seed % 3) as usize);
    world.run(2 * SECOND);
    world.calm = false;
    world.loss = world.below(3) * world.below(8);
    world.later(100 * MS, Occurrence::Fault);
    world.run(20 * SECOND);
    world.calm_down(12 * SECOND);
}

/// `WORLDS=from-to` plays others than the few that are always played.
#[test]
fn nothing_acknowledged_is_lost_whatever_happens() {
    let seeds = std::env::var("WORLDS").unwrap_or("0-8".into());
    let (from, to) = seeds.split_once('-').expect("from-to");
    for seed in from.parse::<u64>().expect("a number")..to.parse().expect("a number") {
        println!("seed {seed}");
        troubled(seed);
    }
}

/// Disks lost 5 to 400 ms after an acknowledgement, with a loss of power of the others or without, before, during and after a
/// change of members, twice in a row. As many as the deployment bears at once: a machine that was replaced, wiped or
/// stopped counts until `CATCH_UP` after its return or its successor's start.
fn struck_after_an_acknowledgement(seed: u64) {
    const CATCH_UP: Micros = 2500 * MS;
    let (machines, losses) = [(3, 1), (4, 1), (5, 2), (6, 2), (7, 3)][(seed % 5) as usize];
    let timing = Timing {
        join_interval: 300 * MS,
        fault_tolerance: FaultTolerance { machines: losses, domains: (0, 1) },
        ..TIMING
    };
    let mut world = World::with(seed, machines, timing);
    world.run(4 * SECOND);
    for strike in 0..2 {
        let live: Vec<usize> = (0..world.machines.len()).filter(|at| !world.machines[*at].gone).collect();
        // A step of a change of members, and how far it has come when the strike comes.
        let (led, at) = (world.leader(), live[world.below(live.len() as u32) as usize]);
        let at = if world.below(3) == 0 { led } else { at };
        let spent = match world.below(4) {
            0 => 0,
            1 => {
                world.replace(at);
                1
            }
            2 => {
                world.wipe(at);
                world.later(50 * MS, Occurrence::Start { at });
                1
            }
            _ => {
                world.step(at, Event::PrepareShutdown);
                let wait = world.span(0, 400 * MS);
                world.run(wait);
                world.replace(at);
                1
            }
        };
        let wait = world.span(0, CATCH_UP + SECOND);
        world.run(wait);
        let spent = if wait < CATCH_UP { spent } else { 0 };
        let acks = world.acks;
        assert!(world.until(2 * SECOND, |world| world.acks > acks), "seed {seed}: nothing is ordered");
        let (acked, wait) = (world.acked, world.span(5 * MS, 400 * MS));
        world.run(wait);
        let mut left: Vec<usize> = (0..world.machines.len()).filter(|at| !world.machines[*at].gone).collect();
        let led = left.iter().position(|at| world.leads(*at));
        // The leader, the newest (a learner perhaps), a seed, or any.
        let mut wiped = Vec::new();
        for _ in spent..losses {
            let at = match (world.below(4), led) {
                (0, Some(led)) if wiped.is_empty() => led,
                (1, _) => left.len() - 1,
                (2, _) => 0,
                _ => world.below(left.len() as u32) as usize,
            };
            let at = left.remove(at);
            // One that is on its way back already is not lost a second time.
            if world.machines[at].book.is_some() || spent == 0 {
                wiped.push(at);
            }
        }
        let power = world.below(2) == 0;
        for at in wiped {
            world.wipe(at);
            let back = world.span(50 * MS, SECOND);
            world.later(back, Occurrence::Start { at });
        }
        for at in left.into_iter().filter(|_| power) {
            world.stop(at, true);
            let back = world.span(50 * MS, SECOND);
            world.later(back, Occurrence::Start { at });
        }
        world.run(SECOND + CATCH_UP);
        let leads = (0..world.machines.len()).any(|at| world.leads(at));
        assert!(
            leads,
            "seed {seed}, strike {strike}: {:#?}",
            world.machines.iter().map(Machine::view).collect::<Vec<_>>()
        );
        assert!(world.machines[world.leader()].applied >= acked, "seed {seed}: acknowledged and lost");
    }
    world.calm_down(6 * SECOND);
}

#[test]
fn disks_lost_right_after_an_acknowledgement_lose_nothing_in_any_step_of_a_change() {
    let seeds = std::env::var("STRIKES").unwrap_or("0-10".into());
    let (from, to) = seeds.split_once('-').expect("from-to");
    for seed in from.parse::<u64>().expect("a number")..to.parse().expect("a number") {
        println!("seed {seed}");
        struck_after_an_acknowledgement(seed);
    }
}

/// A calm world of so many machines, all of them let in.
fn calm(machines: usize) -> World {
    calm_with(machines, TIMING)
}

fn calm_with(machines: usize, timing: Timing) -> World {
    let mut world = World::with(1, machines, timing);
    world.run(4 * SECOND);
    assert_eq!(world.book(world.leader()).members().0.len(), machines);
    world
}

/// Spans of the size that a deployment has, for entries and links of that size.
const LARGE: Timing = Timing {
    heartbeat_interval: 150 * MS,
    election_timeout: 700 * MS,
    removal_timeout: 8 * SECOND,
    replacement_timeout: SECOND,
    join_interval: SECOND / 2,
    fault_tolerance: FaultTolerance { machines: 1, domains: (0, 1) },
    max_chunk_bytes: 256 << 10,
};

/// By the number of entries it is nearly there after the first of them: eight of a megabyte each.
#[test]
fn a_learner_with_eight_megabytes_to_go_is_let_in_once_it_has_them_and_helps_from_that_moment() {
    for kept in [false, true] {
        let mut world = calm_with(3, LARGE);
        (world.idle, world.keep_after) = (true, u32::MAX);
        let lost = (world.leader() + 1) % 3;
        world.stop(lost, true);
        for _ in 0..8 {
            world.propose(1 << 20);
            world.run(200 * MS);
        }
        if kept {
            // All that is left to send is a state of as many bytes, on its way in 32 pieces.
            let (leader, upto) = (world.leader(), world.acked);
            for at in 0..3 {
                let mut data = world.machines[leader].sum.to_le_bytes().to_vec();
                data.resize(8 << 20, 1);
                world.step(at, Event::SnapshotTaken { index: LogIndex(upto), data });
            }
        }
        world.replace(lost);
        world.slow = Some((place(3), 2_000_000, 0));
        // Some 4 s for 8 MB; a change now and then makes sure that there is always something behind them.
        for _ in 0..34 {
            world.propose(2_000);
            world.run(100 * MS);
            assert!(!world.voter(3), "let in while it can't help");
        }
        let there = world.until(10 * SECOND, |world| world.voter(3));
        assert!(there, "caught up and not let in");
        let missing = world.book(world.leader()).last_index().0
            - world.machines[3].disk.entries.last().map_or(0, |one| one.index.0);
        assert!(missing <= 4, "{missing} entries are missing as it is let in");
        // The next loss in that very moment: the entry that lets it in is on its way.
        let other = (0..3).find(|at| *at != lost && !world.leads(*at)).expect("one follows");
        let acks = world.acks;
        world.wipe(other);
        world.propose(100);
        assert!(world.until(700 * MS, |world| world.acks > acks), "the new one does not help");
    }
}

/// 6 Mbit/s and 400 changes a second, each of them small: always dozens on their way, never behind by a round.
#[test]
fn changes_that_come_fast_keep_no_learner_out_that_keeps_up() {
    let mut world = calm_with(3, LARGE);
    world.idle = true;
    world.replace((world.leader() + 1) % 3);
    world.slow = Some((place(3), 750_000, 0));
    for _ in 0..1600 {
        world.propose(300);
        world.run(2500);
    }
    assert!(world.voter(3));
}

/// A loss of one machine at a time: as many again as `MachineLosses` may go while a silent one is not replaced.
#[test]
fn a_dismissal_leaves_as_many_as_the_deployment_may_lose_next() {
    for (machines, losses, left) in
        [(5, 1, 3), (5, 2, 5), (7, 2, 5), (7, 3, 7), (4, 1, 3), (6, 3, 5), (11, 3, 7)]
    {
        let timing =
            Timing { fault_tolerance: FaultTolerance { machines: losses, domains: (0, 1) }, ..TIMING };
        let mut world = calm_with(machines, timing);
        let leader = world.leader();
        let away: Vec<usize> = (0..machines).filter(|at| *at != leader).take((machines - 1) / 2).collect();
        let until = world.now + 10 * SECOND;
        world.cut_off(&away, until);
        world.run(9 * SECOND);
        let now = world.book(world.leader()).members().0.len();
        assert!(now >= left && (now == left || machines - away.len() < left), "{machines} {losses}: {now}");
        world.calm_down(4 * SECOND);
    }
}

#[test]
fn all_that_start_again_hand_out_what_was_committed_before_anybody_leads() {
    for power in [false, true] {
        let mut world = calm(5);
        world.idle = true;
        world.run(SECOND);
        let before: Vec<(u64, u64)> = world.machines.iter().map(|one| (one.applied, one.sum)).collect();
        assert!(before.iter().all(|one| one.0 > 0 && *one == before[0]));
        (0..5).for_each(|at| world.stop(at, power));
        (0..5).for_each(|at| world.start(at, None));
        let after: Vec<(u64, u64)> = world.machines.iter().map(|one| (one.applied, one.sum)).collect();
        assert!((0..5).all(|at| !world.leads(at)));
        assert_eq!(after, before);
        world.run(400 * MS);
        assert!((0..5).any(|at| world.leads(at)), "nobody leads");
    }
}

#[test]
fn one_that_starts_again_does_not_depose_a_healthy_leader() {
    let mut world = calm(5);
    for _ in 0..20 {
        let (led, term) = (world.leader(), world.book(world.leader()).term());
        let at = (led + 1 + world.below(4) as usize) % 5;
        world.stop(at, false);
        world.start(at, None);
        world.run(SECOND);
        assert_eq!((world.leader(), world.book(led).term()), (led, term));
    }
}

#[test]
fn wiped_disks_never_make_a_majority() {
    let mut world = calm(3);
    for at in [0, 1] {
        world.wipe(at);
        world.start(at, None);
    }
    let acks = world.acks;
    world.run(10 * SECOND);
    assert!((0..3).all(|at| !world.leads(at)) && world.acks == acks);
    assert!([0, 1].iter().all(|at| !world.book(*at).is_member()));
}

#[test]
fn who_comes_back_first_waits_for_a_majority_of_the_members_on_disk() {
    let mut world = calm(5);
    (0..5).for_each(|at| world.stop(at, true));
    (0..2).for_each(|at| world.start(at, None));
    world.run(5 * SECOND);
    assert!(!world.leads(0) && !world.leads(1));
    world.start(4, None);
    world.run(SECOND);
    let leader = world.leader();
    assert!(world.machines[leader].applied >= world.acked, "it has all that was acknowledged");
    world.calm_down(3 * SECOND);
}

#[test]
fn a_full_or_hung_disk_costs_leadership_and_not_the_process() {
    for hung in [false, true] {
        let mut world = calm(3);
        let old = world.leader();
        let until = world.now + 4 * SECOND;
        match hung {
            true => world.machines[old].hung = until,
            false => world.machines[old].full = until,
        }
        world.run(3 * SECOND);
        let acks = world.acks;
        assert!(!world.leads(old));
        world.run(SECOND / 2);
        assert!(world.acks > acks, "another leads");
        world.calm_down(3 * SECOND);
    }
}

#[test]
fn a_frozen_leader_answers_no_read_when_it_wakes() {
    let mut world = calm(3);
    let old = world.leader();
    world.machines[old].frozen = world.now + 2 * SECOND;
    world.run(2 * SECOND - 1);
    world.machines[old].open.insert(1, (None, 0));
    world.machines[old].frozen = 0;
    world.step(old, Event::Read { call: CallId(1) });
    assert!(!world.leads(old) && !world.machines[old].open.contains_key(&1), "refused at once");
}

/// Without it the others wait for an election's span, here 250 to 500 ms, each time a leader is stopped.
#[test]
fn a_leader_that_is_stopped_in_order_hands_over_and_is_not_missed() {
    let mut world = calm(5);
    for round in 0..10 {
        let (old, acks) = (world.leader(), world.acks);
        if round == 4 {
            // One hears of it only by the next beat of whoever leads then. It has been mute for two beats, so that it
            // is not the one that is named.
            let until = world.now + 210 * MS;
            world.cut_off(&[(old + 1) % 5], until);
            world.run(110 * MS);
        }
        world.step(old, Event::PrepareShutdown);
        world.run(60 * MS);
        let next = world.leader();
        assert_ne!(next, old, "round {round}: nobody took over");
        world.run(60 * MS);
        assert!(world.acks > acks, "round {round}: nothing is ordered");
        assert!(world.machines[old].open.is_empty(), "whoever asked it has an answer");
        world.run(80 * MS);
        world.stop(old, false);
        world.run(SECOND);
        world.start(old, None);
        world.run(SECOND);
        assert!(world.leads(next), "the one that comes back deposes nobody");
    }
}

/// The word that names it is lost with it; the others wait for it for two beats, not for an election's span.
#[test]
fn a_lead_handed_to_one_that_is_out_of_reach_is_taken_up_by_another() {
    for lost in 0..4 {
        let mut world = calm(5);
        let (old, acks) = (world.leader(), world.acks);
        let until = world.now + SECOND;
        world.cut_off(&[(old + 1 + lost) % 5], until);
        world.step(old, Event::PrepareShutdown);
        world.run(4 * TIMING.heartbeat_interval + 30 * MS);
        assert_ne!(world.leader(), old, "nobody took over");
        world.run(60 * MS);
        assert!(world.acks > acks, "nothing is ordered");
    }
}

/// What the majority counted on its disk is asked after: it goes only once others have it, or says that it can't know.
#[test]
fn a_follower_that_is_stopped_in_order_goes_once_others_have_what_it_has() {
    let mut world = calm(3);
    world.idle = true;
    let leader = world.leader();
    let (leaves, behind) = ((leader + 1) % 3, (leader + 2) % 3);
    let until = world.now + 150 * MS;
    world.cut_off(&[behind], until);
    world.propose(100);
    world.run(20 * MS);
    assert!(world.machines[leaves].applied == world.acked && world.machines[behind].applied < world.acked);
    world.step(leaves, Event::PrepareShutdown);
    world.run(50 * MS);
    assert_eq!(
        world.book(leaves).shutdown_readiness(),
        ShutdownReadiness::Pending,
        "one that speaks to the leader lacks it"
    );
    world.run(200 * MS);
    assert!(world.machines[behind].applied == world.acked);
    assert_eq!(world.book(leaves).shutdown_readiness(), ShutdownReadiness::Replicated);
    // A change that comes meanwhile is asked after too.
    world.propose(100);
    world.run(5 * MS);
    world.run(2 * TIMING.heartbeat_interval);
    assert_eq!(world.book(leaves).shutdown_readiness(), ShutdownReadiness::Replicated);
}

#[test]
fn one_that_leaves_waits_for_nobody_that_is_down_and_says_where_nobody_can_tell() {
    let mut world = calm(3);
    world.idle = true;
    let leader = world.leader();
    world.stop((leader + 1) % 3, true);
    world.run(SECOND);
    // The leader leaves: the one that is left has all, and is asked once it leads.
    world.step(leader, Event::PrepareShutdown);
    world.run(300 * MS);
    assert_eq!(world.book(leader).shutdown_readiness(), ShutdownReadiness::Replicated);
    // Nobody else is there to ask.
    let mut world = calm(3);
    world.idle = true;
    let leader = world.leader();
    (0..3).filter(|at| *at != leader).for_each(|at| world.stop(at, true));
    world.step(leader, Event::PrepareShutdown);
    world.run(2 * SECOND);
    assert_eq!(world.book(leader).shutdown_readiness(), ShutdownReadiness::Pending);
}

/// Stopped for good: its successor has its seat within an election's span of its last word, not after the span that a
/// voter may be silent for. Without a successor it is a member all the while, for its restart.
#[test]
fn one_that_left_in_order_is_waited_for_only_where_nobody_takes_its_place() {
    let mut world = calm(3);
    let leaves = (world.leader() + 1) % 3;
    world.step(leaves, Event::PrepareShutdown);
    world.run(200 * MS);
    assert_eq!(world.book(leaves).shutdown_readiness(), ShutdownReadiness::Replicated);
    world.stop(leaves, false);
    world.run(2 * SECOND);
    assert!(world.voter(leaves), "it may come back");
    world.start(leaves, None);
    world.run(500 * MS);
    world.step(leaves, Event::PrepareShutdown);
    world.run(200 * MS);
    world.replace(leaves);
    assert!(world.until(TIMING.election_timeout + 150 * MS, |world| world.voter(3)
        && world.book(world.leader()).members().0.len() == 3));
}

#[test]
fn a_leader_without_anybody_to_follow_it_leads_until_it_ends() {
    let mut world = calm(3);
    let (old, until) = (world.leader(), world.now + 100 * MS);
    world.cut_off(&[old], until);
    world.idle = true;
    world.run(20 * MS);
    // A command that the others lack: none of them may be named.
    let data = 5u64.to_le_bytes().to_vec();
    world.machines[old].open.insert(5, (Some(data.clone()), 0));
    world.step(old, Event::Propose { call: CallId(5), data });
    world.step(old, Event::PrepareShutdown);
    assert!(world.leads(old));
    world.run(75 * MS);
    assert!(world.leads(old), "all that it could name lack the command");
    world.run(200 * MS);
    assert!(!world.leads(old) && (0..3).any(|at| world.leads(at)), "they have it now");
    assert!(world.machines[old].open.is_empty(), "it was ordered before it went");
}

#[test]
fn replaced_machines_leave_before_the_next_are_lost() {
    let mut world = calm(5);
    for at in [0, 1, 2] {
        world.replace(at);
        world.run(5 * SECOND);
    }
    // All first seats are gone; of the five of now, three are a majority.
    [3, 6].iter().for_each(|at| world.stop(*at, true));
    let acks = world.acks;
    world.run(SECOND + SECOND / 2);
    assert!(world.acks > acks);
    world.calm_down(4 * SECOND);
}

/// Each is lost before a silent voter would go by the whole span: a new one at another address must not be let in
/// beside the lost one for so long.
#[test]
fn a_core_of_three_bears_replacements_in_quick_succession() {
    let mut world = calm(3);
    for at in [0, 1, 2, 3] {
        world.replace(at);
        world.run(2 * SECOND);
    }
    let acks = world.acks;
    world.run(SECOND);
    assert!(world.acks > acks);
    assert_eq!(world.book(world.leader()).members().0.len(), 3);
    world.calm_down(4 * SECOND);
}

/// Two of three at once, the one for a while, the other for good, are more than is borne; when the first comes back, the
/// core goes on all the same. Before those who stay were asked, the leader let the first one go on the word of the
/// second, which had just died.
#[test]
fn a_machine_replaced_beside_one_that_is_cut_off_stops_nobody_for_good() {
    for wait in [1200, 1500, 1800] {
        let mut world = calm(3);
        let leader = world.leader();
        let (away, dies) = ((leader + 1) % 3, (leader + 2) % 3);
        let until = world.now + wait * MS + 300 * MS;
        world.cut_off(&[away], until);
        world.run(wait * MS);
        world.replace(dies);
        world.run(250 * MS);
        world.calm_down(8 * SECOND);
    }
}

#[test]
fn a_dismissed_seat_comes_back_without_disturbing() {
    let mut world = calm(5);
    let leader = world.leader();
    let (other, term) = ((leader + 1) % 5, world.book(leader).term());
    let until = world.now + 5 * SECOND;
    world.cut_off(&[other], until);
    world.run(5 * SECOND);
    assert_eq!(world.book(leader).members().0.len(), 4);
    world.run(3 * SECOND);
    assert_eq!((world.book(leader).members().0.len(), world.book(leader).term()), (5, term));
    assert!(world.leads(leader) && world.book(other).is_member());
}

#[test]
fn followers_learn_of_a_commit_at_once_and_idle_seats_say_little() {
    let mut world = calm(5);
    world.idle = true;
    world.run(SECOND);
    let (sent, leader) = (world.sent, world.leader());
    world.run(SECOND);
    // Four beats and four answers, twenty times a second.
    assert!(world.sent - sent <= 2 * 4 * 21, "{}", world.sent - sent);
    let sent = world.sent;
    let data = 77u64.to_le_bytes().to_vec();
    world.machines[leader].open.insert(77, (Some(data.clone()), 0));
    world.step(leader, Event::Propose { call: CallId(77), data });
    world.run(15 * MS);
    let index = world.acked;
    assert!(world.machines.iter().all(|machine| machine.applied == index && machine.open.is_empty()));
    assert!(world.sent - sent <= 12 + 8, "entries, answers, commits; perhaps a beat");
}

/// The leader knows that the entries are on its disk, and has nothing new to send.
#[test]
fn a_follower_that_starts_again_hands_out_what_is_committed_though_nobody_writes() {
    let mut world = calm(3);
    world.idle = true;
    world.run(SECOND);
    let leader = world.leader();
    let (other, acked) = ((leader + 1) % 3, world.acked);
    world.stop(other, true);
    world.start(other, None);
    world.run(2 * SECOND);
    assert!(world.leads(leader) && world.machines[other].applied == acked && acked > 0);
}

#[test]
fn proposals_beyond_four_megabytes_are_refused() {
    let mut world = calm(3);
    world.idle = true;
    let leader = world.leader();
    let others: Vec<usize> = (0..3).filter(|at| *at != leader).collect();
    let until = world.now + SECOND;
    world.cut_off(&others, until);
    for ask in 1..=6 {
        let data = vec![ask as u8; 1_000_000];
        world.machines[leader].open.insert(ask, (Some(data.clone()), 0));
        world.step(leader, Event::Propose { call: CallId(ask), data });
    }
    assert_eq!(world.machines[leader].open.len(), 4, "the rest was refused");
    world.run(SECOND);
    assert!(world.machines[leader].open.is_empty() && world.machines[leader].lost == 4, "lost with the lead");
}

#[test]
fn a_fingerprint_tells_states_apart_and_not_the_hour() {
    let life = |from: Micros, synced: bool| {
        let seats: Vec<VoterId> =
            (0..3).map(|at| VoterId { address: place(at), disk_id: RunId(0) }).collect();
        let first = Some(Members(seats.clone()));
        let (mut book, _) = RaftNode::start(seats[0], first, PersistentState::default(), TIMING, 1, from);
        book.step(from + MS, Event::Peers { addresses: vec![place(1), place(2)] });
        if synced {
            book.step(from + MS, Event::Synced { write: consensus::WriteId(1) });
        }
        let mark = book.fingerprint(from + 2 * MS);
        assert_eq!(mark, book.clone().fingerprint(from + 2 * MS));
        mark
    };
    assert_eq!(life(0, false), life(77 * SECOND, false));
    assert_eq!(life(0, true), life(3 * SECOND + 1, true));
    assert_ne!(life(0, false), life(0, true));
}
