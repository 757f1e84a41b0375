//! Catching up over slow links: machines whose links carry so many bytes a second, streams that keep their order, a
//! state of some megabytes and changes that don't wait. Nothing but time and events; a seed plays the same each time.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;

use consensus::{
    Effect, EntryPayload, Event, FaultTolerance, Members, Message, PersistentState, RaftNode, Rpc, Snapshot,
    Timing, Write,
};
use types::{CallId, LogIndex, MS, Micros, NodeAddress, RunId, SECOND, Term, VoterId};

const KB: usize = 1024;
const MB: usize = 1024 * KB;
/// As the control machines have it.
const TIMING: Timing = Timing {
    heartbeat_interval: 150 * MS,
    election_timeout: 700 * MS,
    removal_timeout: 8 * SECOND,
    replacement_timeout: 2 * SECOND,
    join_interval: SECOND,
    fault_tolerance: FaultTolerance { machines: 1, domains: (0, 1) },
    max_chunk_bytes: 256 * KB,
};
/// 6 Mbit/s, in bytes a second: what each machine's own link carries, out and in.
const LINK: usize = 750_000;
/// One way, within a region and to the other one.
const NEAR: Micros = MS;
const FAR: Micros = 35 * MS;
/// The far machine.
const AWAY: usize = 2;
/// Messages up to this go by datagram, beside the stream.
const DATAGRAM: usize = 1_200;
/// What may wait for one peer, as in `wings`.
const QUEUE: usize = 4 * MB;
const KEEP_AFTER: usize = 512 * KB;

enum Due {
    Word { to: usize, from: VoterId, message: Message, bytes: usize, streamed: bool },
    Disk { at: usize, run: u64, write: Write },
    Tick { at: usize, run: u64 },
    Change,
}

#[derive(Default)]
struct Machine {
    seat: Option<VoterId>,
    book: Option<RaftNode>,
    disk: PersistentState,
    run: u64,
    /// When its link is free again, out and in.
    out_free: Micros,
    in_free: Micros,
    since_kept: usize,
    applied: u64,
    restored: u32,
    /// Bytes of snapshots that reached it.
    pieces: usize,
    /// Most bytes that its log and snapshots took.
    peak: usize,
}

struct World {
    now: Micros,
    chance: oorandom::Rand32,
    queue: BTreeMap<(Micros, u64), Due>,
    made: u64,
    machines: Vec<Machine>,
    /// Bytes on their way by stream, by sender and receiver.
    on_way: BTreeMap<(usize, usize), usize>,
    state: usize,
    /// Bytes of changes a second, and their sizes.
    rate: usize,
    sizes: (usize, usize),
    changes: u64,
    acked: u64,
    refused: u64,
    /// One in so many pieces is lost.
    lose: u32,
    cut: bool,
    /// Bytes a second that the far machine's link carries.
    far_link: usize,
}

fn place(at: usize) -> NodeAddress {
    NodeAddress(Ipv4Addr::new(10, 0, 0, at as u8 + 1))
}

fn weigh(message: &Message) -> usize {
    let data = match message {
        Message::Rpc { rpc: Rpc::AppendEntries { entries, .. }, .. } => entries
            .iter()
            .map(|entry| match &entry.payload {
                EntryPayload::Command(data) => data.len() + 24,
                EntryPayload::Noop | EntryPayload::Members(_) => 64,
            })
            .sum(),
        Message::Rpc { rpc: Rpc::InstallSnapshot { data, .. }, .. } => data.len(),
        _ => 0,
    };
    64 + data
}

impl World {
    /// Three machines, the last one far away; the first two have a state of so many bytes, as after a long life.
    fn new(seed: u64, state: usize, rate: usize, sizes: (usize, usize)) -> World {
        let mut world = World {
            now: 0,
            chance: oorandom::Rand32::new(seed),
            queue: BTreeMap::new(),
            made: 0,
            machines: (0..3).map(|_| Machine::default()).collect(),
            on_way: BTreeMap::new(),
            state,
            rate,
            sizes,
            changes: 0,
            acked: 0,
            refused: 0,
            lose: 0,
            cut: false,
            far_link: LINK,
        };
        let seats: Vec<VoterId> =
            (0..3).map(|at| VoterId { address: place(at), disk_id: RunId(0) }).collect();
        let index = LogIndex(100);
        let data = world.state_at(index.0);
        let snapshot = Snapshot { index, term: Term(3), members: Members(seats.clone()), data };
        for (at, seat) in seats.into_iter().enumerate() {
            world.machines[at].seat = Some(seat);
            // The far one's disk is older by all of it: it has the members, and nothing else.
            let own = if at == AWAY {
                Snapshot {
                    index: LogIndex(1),
                    data: Vec::new(),
                    term: Term(1),
                    members: snapshot.members.clone(),
                }
            } else {
                snapshot.clone()
            };
            world.machines[at].disk = PersistentState {
                term: own.term,
                voted_for: None,
                commit_index: own.index,
                snapshot: Some(own),
                entries: Vec::new(),
            };
            world.start(at);
        }
        world.later(10 * MS, Due::Change);
        world
    }

    /// The same bytes at every node after the same entry.
    fn state_at(&self, index: u64) -> Vec<u8> {
        let mut data = index.to_le_bytes().to_vec();
        data.resize(self.state, index as u8);
        data
    }

    fn later(&mut self, after: Micros, due: Due) {
        self.made += 1;
        self.queue.insert((self.now + after, self.made), due);
    }

    fn start(&mut self, at: usize) {
        let seed = u64::from(self.chance.rand_u32());
        let machine = &mut self.machines[at];
        machine.run += 1;
        (machine.applied, machine.since_kept) = (0, 0);
        let seat = machine.seat.expect("it has a seat");
        let (book, effects) = RaftNode::start(seat, None, machine.disk.clone(), TIMING, seed, self.now);
        machine.book = Some(book);
        self.carry_out(at, effects);
        self.step(at, Event::Peers { addresses: (0..3).filter(|other| *other != at).map(place).collect() });
        self.tick_again(at);
    }

    fn stop(&mut self, at: usize) {
        self.machines[at].book = None;
        self.machines[at].run += 1;
    }

    fn tick_again(&mut self, at: usize) {
        let Some(book) = &self.machines[at].book else { return };
        let (wait, run) = ((book.next_tick_at() - self.now).max(MS), self.machines[at].run);
        self.later(wait, Due::Tick { at, run });
    }

    fn step(&mut self, at: usize, event: Event) {
        let Some(book) = &mut self.machines[at].book else { return };
        let effects = book.step(self.now, event);
        let bytes = book.memory_bytes();
        self.machines[at].peak = self.machines[at].peak.max(bytes);
        self.carry_out(at, effects);
    }

    fn carry_out(&mut self, at: usize, effects: Vec<Effect>) {
        let mut kept = None;
        for effect in effects {
            match effect {
                Effect::Send { to, message } => self.send(at, to, message),
                Effect::Write(write) => {
                    let run = self.machines[at].run;
                    self.later(2 * MS, Due::Disk { at, run, write });
                }
                Effect::Apply { index, data, call: ask } => {
                    let machine = &mut self.machines[at];
                    assert!(index.0 > machine.applied, "in order, each once");
                    machine.applied = index.0;
                    machine.since_kept += data.len();
                    if ask.is_some() {
                        self.acked = index.0;
                    }
                    if machine.since_kept >= KEEP_AFTER {
                        machine.since_kept = 0;
                        kept = Some(index);
                    }
                }
                Effect::Restore { index, data } => {
                    assert_eq!(data.len(), if index.0 == 1 { 0 } else { self.state }, "whole");
                    assert!(data.iter().skip(8).all(|byte| *byte == index.0 as u8), "of one state");
                    let machine = &mut self.machines[at];
                    assert!(index.0 >= machine.applied);
                    (machine.applied, machine.since_kept) = (index.0, 0);
                    machine.restored += 1;
                }
                Effect::Rejected { .. } => self.refused += 1,
                Effect::ReadReady { .. } | Effect::LeaderChanged { .. } => {}
            }
        }
        if let Some(index) = kept {
            let data = self.state_at(index.0);
            self.step(at, Event::SnapshotTaken { index, data });
        }
    }

    fn send(&mut self, at: usize, to: NodeAddress, message: Message) {
        let Some(to) = (0..3).find(|other| place(*other) == to) else { return };
        let from = self.machines[at].seat.expect("it runs");
        let far = at == AWAY || to == AWAY;
        if self.cut && far {
            return;
        }
        let (bytes, delay) = (weigh(&message), if far { FAR } else { NEAR });
        let took = (bytes * 1_000_000 / LINK) as Micros;
        if bytes <= DATAGRAM {
            let due = Due::Word { to, from, message, bytes, streamed: false };
            return self.later(took + delay, due);
        }
        let on_way = self.on_way.entry((at, to)).or_default();
        if *on_way + bytes > QUEUE && *on_way > 0 {
            return;
        }
        let piece = matches!(&message, Message::Rpc { rpc: Rpc::InstallSnapshot { .. }, .. });
        if piece && self.lose > 0 && self.chance.rand_range(0..self.lose) == 0 {
            return;
        }
        *on_way += bytes;
        let out = &mut self.machines[at].out_free;
        *out = (*out).max(self.now) + took;
        let reaches = *out + delay;
        let took = if to == AWAY { (bytes * 1_000_000 / self.far_link) as Micros } else { took };
        let door = &mut self.machines[to].in_free;
        *door = (*door + took).max(reaches);
        let after = *door - self.now;
        self.later(after, Due::Word { to, from, message, bytes, streamed: true });
    }

    fn run(&mut self, span: Micros) {
        let end = self.now + span;
        while self.queue.first_key_value().is_some_and(|((at, _), _)| *at <= end) {
            let ((now, _), due) = self.queue.pop_first().expect("there is one");
            self.now = now;
            match due {
                Due::Word { to, from, message, bytes, streamed } => {
                    let at = (0..3).find(|at| place(*at) == from.address).expect("one of the three");
                    if streamed {
                        *self.on_way.entry((at, to)).or_default() -= bytes;
                    }
                    if matches!(&message, Message::Rpc { rpc: Rpc::InstallSnapshot { .. }, .. }) {
                        self.machines[to].pieces += bytes;
                    }
                    self.step(to, Event::Received { from, message });
                }
                Due::Disk { at, run, write } if self.machines[at].run == run => {
                    let no = write.id;
                    self.machines[at].disk.apply_write(write);
                    self.step(at, Event::Synced { write: no });
                }
                Due::Tick { at, run } if self.machines[at].run == run => {
                    self.step(at, Event::Tick);
                    self.tick_again(at);
                }
                Due::Change => self.change(),
                Due::Disk { .. } | Due::Tick { .. } => {}
            }
        }
        self.now = end;
    }

    fn change(&mut self) {
        let (least, most) = self.sizes;
        let size = self.chance.rand_range(least as u32..most as u32) as usize;
        let wait = (size * 1_000_000).checked_div(self.rate).map_or(100 * MS, |wait| wait as Micros);
        self.later(wait, Due::Change);
        if let (Some(leader), true) = (self.leader(), self.rate > 0) {
            self.changes += 1;
            let (ask, data) = (CallId(self.changes), vec![self.changes as u8; size]);
            self.step(leader, Event::Propose { call: ask, data });
        }
    }

    fn leader(&self) -> Option<usize> {
        let leads = |at: &usize| self.machines[*at].book.as_ref().is_some_and(RaftNode::is_leader);
        (0..3).filter(leads).max_by_key(|at| self.book(*at).term())
    }

    fn book(&self, at: usize) -> &RaftNode {
        self.machines[at].book.as_ref().expect("it runs")
    }

    /// Bytes of snapshots that reached the far machine.
    fn pieces(&self) -> usize {
        self.machines[AWAY].pieces
    }

    fn peak(&self) -> usize {
        self.machines.iter().map(|machine| machine.peak).max().unwrap_or(0)
    }

    /// Runs until the far machine has all but the last few changes: the span it took.
    fn until_arrived(&mut self, most: Micros) -> Option<Micros> {
        let began = self.now;
        while self.now - began < most {
            self.run(100 * MS);
            let newest = self.acked;
            if newest > 100 && self.machines[AWAY].applied + 8 >= newest {
                return Some(self.now - began);
            }
        }
        None
    }
}

/// What a leader may hold in memory with a state of so many bytes: the newest snapshot, two older ones on their way,
/// entries held for who is behind, those that are not in a snapshot yet, and those not committed.
fn bound(state: usize) -> usize {
    3 * state + (2 * state).min(8 * MB) + 4 * MB + KEEP_AFTER + 300 * KB
}

/// Before entries were held and big words given their time, none of these arrived: each piece was sent two to four
/// times, and what came after a snapshot was gone when it was there.
#[test]
fn a_follower_arrives_while_changes_come_faster_than_the_tail_bears() {
    let cases = [(2 * MB, 200_000, 8), (8 * MB, 150_000, 30), (2 * MB, 300_000, 10), (100 * KB, 250_000, 4)];
    for (state, rate, most) in cases {
        for seed in 0..2 {
            let name = format!("{} KB, {rate} B/s, seed {seed}", state / KB);
            let mut world = World::new(seed, state, rate, (20 * KB, 300 * KB));
            let took = world.until_arrived(most * SECOND);
            println!("{name}: {:?} ms, {} KB of pieces", took.map(|took| took / MS), world.pieces() / KB);
            assert!(took.is_some(), "{name}: it never arrives");
            assert!(
                world.pieces() < state + 2 * TIMING.max_chunk_bytes,
                "{name}: {} bytes of pieces",
                world.pieces()
            );
            // Once it is there, hundreds of changes later it still needs no whole state.
            let restored = world.machines[AWAY].restored;
            world.run(100 * SECOND);
            assert!(world.until_arrived(5 * SECOND).is_some(), "{name}: it fell behind");
            assert_eq!(world.machines[AWAY].restored, restored, "{name}: a second whole state");
            assert!(world.changes > 80 && world.refused == 0, "{name}: {}", world.changes);
            let peak = world.peak();
            assert!(peak <= bound(state), "{name}: {} KB in memory", peak / KB);
        }
    }
}

#[test]
fn lost_pieces_cost_themselves_and_no_more() {
    for seed in 0..4 {
        let mut world = World::new(seed, 2 * MB, 50_000, (20 * KB, 60 * KB));
        world.lose = 4;
        let took = world.until_arrived(30 * SECOND);
        println!("seed {seed}: {:?} ms, {} KB", took.map(|took| took / MS), world.pieces() / KB);
        assert!(took.is_some(), "seed {seed}");
        assert!(world.pieces() <= 2 * MB + 2 * TIMING.max_chunk_bytes, "seed {seed}: {}", world.pieces());
    }
}

/// The first leader dies or starts again in the middle of a transfer; whoever leads then has the same snapshot, and
/// goes on behind what has come.
#[test]
fn another_leader_and_a_restarted_one_go_on_with_the_snapshot_under_way() {
    for back in [None, Some(50 * MS)] {
        let mut world = World::new(1, 8 * MB, 0, (20 * KB, 60 * KB));
        world.run(9 * SECOND);
        let (leader, came) = (world.leader().expect("one leads"), world.pieces());
        assert!(came > 4 * MB && came < 8 * MB, "in the middle of it: {came}");
        world.stop(leader);
        // Alone, the other near one would lead nobody: the far one, which is behind, votes for it.
        world.run(back.unwrap_or(3 * SECOND));
        world.start(leader);
        world.rate = 20_000;
        let took = world.until_arrived(20 * SECOND);
        println!("back after {back:?}: {:?} ms, {} KB", took.map(|took| took / MS), world.pieces() / KB);
        assert!(took.is_some_and(|took| took < 12 * SECOND), "{took:?}");
        assert!(
            world.pieces() < 8 * MB + 4 * TIMING.max_chunk_bytes,
            "not from the start: {}",
            world.pieces()
        );
        assert_eq!(world.machines[AWAY].restored, 2);
    }
}

/// A link that carries less than what is changed: it can't arrive, costs the others nothing but a bounded memory, and
/// arrives once less is changed.
#[test]
fn a_link_slower_than_the_changes_costs_a_bounded_memory() {
    for seed in 0..2 {
        let mut world = World::new(seed, 2 * MB, 200_000, (20 * KB, 300 * KB));
        world.far_link = 100_000;
        assert_eq!(world.until_arrived(100 * SECOND), None);
        let (peak, pieces) = (world.peak(), world.pieces());
        println!("seed {seed}: {} KB in memory, {} KB of pieces", peak / KB, pieces / KB);
        assert!(peak <= bound(2 * MB) && world.refused == 0, "{} KB, {} refused", peak / KB, world.refused);
        assert!(world.machines[AWAY].restored > 2, "it moves on all the same");
        // All its link carries in that time is 9,800 KB.
        assert!(pieces > 6 * MB, "{pieces}: mostly sent once");
        world.rate = 20_000;
        let took = world.until_arrived(120 * SECOND);
        assert!(took.is_some());
    }
}

/// Cut off in the middle of a transfer: what is held for it goes after a while, and is bounded before.
#[test]
fn what_is_held_for_a_follower_that_says_nothing_goes() {
    let mut world = World::new(2, 8 * MB, 200_000, (20 * KB, 100 * KB));
    world.run(9 * SECOND);
    let leader = world.leader().expect("one leads");
    assert!(world.book(leader).memory_bytes() > 17 * MB, "two snapshots and what came since");
    world.cut = true;
    world.run(6 * SECOND);
    let held = world.book(leader).memory_bytes();
    assert!(held < 17 * MB + KEEP_AFTER + 256 * KB, "{held}: entries are held for nobody");
    world.cut = false;
    assert!(world.until_arrived(60 * SECOND).is_some(), "it comes back");
    assert!(world.peak() <= bound(8 * MB));
}

/// One that starts again and is elected at once has entries that it doesn't know to be committed. A read that is asked
/// then is answered only after all of them were handed out.
#[test]
fn one_that_leads_right_after_its_start_answers_no_read_before_it_has_caught_up() {
    let seats: Vec<VoterId> = (0..3).map(|at| VoterId { address: place(at), disk_id: RunId(0) }).collect();
    let command = |index: u64| consensus::Entry {
        index: LogIndex(index),
        term: Term(3),
        payload: EntryPayload::Command(vec![index as u8; 9]),
    };
    let disk = PersistentState {
        term: Term(3),
        voted_for: None,
        commit_index: LogIndex(101),
        snapshot: Some(Snapshot {
            index: LogIndex(100),
            term: Term(3),
            members: Members(seats.clone()),
            data: vec![1; 9],
        }),
        // All of them were acknowledged by the leader before.
        entries: (101..=140).map(command).collect(),
    };
    let (mut book, mut seen) = RaftNode::start(seats[0], None, disk, TIMING, 1, 0);
    let mut now = 0;
    let mut step = |book: &mut RaftNode, event: Event| {
        now += MS;
        let mut effects = book.step(now, event);
        // The disk is fast.
        let writes: Vec<Write> = effects.iter().filter_map(written).collect();
        for write in writes {
            effects.extend(book.step(now, Event::Synced { write: write.id }));
        }
        effects
    };
    let mut rounds = 0;
    while !book.is_leader() {
        rounds += 1;
        assert!(rounds < 2_000, "it is not elected");
        let effects = step(&mut book, Event::Tick);
        let asked: Vec<(Term, bool)> = effects.iter().filter_map(wanted).collect();
        for (term, may) in asked {
            let word = if may {
                Rpc::PreVoteResponse { granted: true }
            } else {
                Rpc::VoteResponse { granted: true }
            };
            let message = Message::Rpc { to: seats[0], term, rpc: word };
            seen.extend(step(&mut book, Event::Received { from: seats[1], message }));
        }
    }
    seen.extend(step(&mut book, Event::Read { call: CallId(1) }));
    seen.extend(step(&mut book, Event::Propose { call: CallId(2), data: vec![9; 9] }));
    let applied =
        |seen: &[Effect]| seen.iter().filter(|effect| matches!(effect, Effect::Apply { .. })).count();
    assert_eq!(applied(&seen), 1, "no more is known to be committed");
    // It proves that it leads, many times: its own first entry is on no other disk yet.
    let appended = |matched: u64, round: u64| Event::Received {
        from: seats[1],
        message: Message::Rpc {
            to: seats[0],
            term: Term(4),
            rpc: Rpc::AppendResponse {
                match_index: LogIndex(matched),
                received_index: LogIndex(matched),
                round,
            },
        },
    };
    for round in 1..20 {
        seen.extend(step(&mut book, appended(140, round)));
        assert!(!seen.iter().any(|effect| matches!(effect, Effect::ReadReady { .. })), "an old read");
    }
    assert_eq!(applied(&seen), 1);
    // The entry of its own term, and the order after it.
    seen.extend(step(&mut book, appended(142, 20)));
    seen.extend(step(&mut book, appended(142, 21)));
    let order: Vec<u64> = seen
        .iter()
        .filter_map(|effect| match effect {
            Effect::Apply { index, .. } | Effect::ReadReady { index, .. } => Some(index.0),
            _ => None,
        })
        .collect();
    let expected: Vec<u64> = (101..=140).chain([142, 142]).collect();
    assert_eq!(order, expected, "all that was promised, the order, then the read");
    let ask = seen.iter().rev().find_map(|effect| match effect {
        Effect::Apply { call: ask, .. } => Some(*ask),
        _ => None,
    });
    assert_eq!(ask, Some(Some(CallId(2))));
}

fn written(effect: &Effect) -> Option<Write> {
    match effect {
        Effect::Write(write) => Some(write.clone()),
        _ => None,
    }
}

/// The term that the second seat is asked to vote in, and whether it is only asked whether it would.
fn wanted(effect: &Effect) -> Option<(Term, bool)> {
    match effect {
        Effect::Send { to, message: Message::Rpc { term, rpc: word, .. } } if *to == place(1) => match word {
            Rpc::PreVoteRequest { .. } => Some((*term, true)),
            Rpc::VoteRequest { .. } => Some((*term, false)),
            _ => None,
        },
        _ => None,
    }
}
