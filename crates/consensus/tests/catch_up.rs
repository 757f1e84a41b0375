//! Catching up over slow links: a simulated cluster whose links have a limited rate, with ordered streams, a state of some
//! megabytes, and changes that go on during the transfer. A run is determined by its seed.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;

use consensus::{
    Effect, EntryPayload, Event, FaultTolerance, Members, Message, PersistentState, RaftNode, Rpc, Snapshot,
    Timing, Write,
};
use types::{CallId, LogIndex, MS, Micros, NodeAddress, RunId, SECOND, Term, VoterId};

const KB: usize = 1024;
const MB: usize = 1024 * KB;
/// The timing of control nodes in a deployment.
const TIMING: Timing = Timing {
    heartbeat_interval: 150 * MS,
    election_timeout: 700 * MS,
    removal_timeout: 8 * SECOND,
    replacement_timeout: 2 * SECOND,
    join_interval: SECOND,
    fault_tolerance: FaultTolerance { machines: 1, domains: (0, 1) },
    max_chunk_bytes: 256 * KB,
};
/// 6 Mbit/s: the rate of each machine's own link in each direction.
const LINK_BYTES_PER_SECOND: usize = 750_000;
/// One-way latency within a region and to the other region.
const NEAR_LATENCY: Micros = MS;
const FAR_LATENCY: Micros = 35 * MS;
/// The node in the other region.
const FAR_NODE: usize = 2;
/// Messages up to this size are sent as datagrams and don't wait for the stream.
const DATAGRAM_MAX_BYTES: usize = 1_200;
/// Most bytes that may wait for one peer, as in the transport.
const QUEUE_MAX_BYTES: usize = 4 * MB;
/// A node takes a snapshot after this many bytes of commands.
const SNAPSHOT_INTERVAL_BYTES: usize = 512 * KB;

enum Scheduled {
    Delivery { to: usize, from: VoterId, message: Message, bytes: usize, by_stream: bool },
    WriteDone { node: usize, run_id: u64, write: Write },
    Tick { node: usize, run_id: u64 },
    Proposal,
}

#[derive(Default)]
struct Machine {
    id: Option<VoterId>,
    raft: Option<RaftNode>,
    disk: PersistentState,
    /// Counts the runs of the process, so that events for an earlier run are dropped.
    run_id: u64,
    /// When its link is free again, in each direction.
    outgoing_free_at: Micros,
    incoming_free_at: Micros,
    /// Bytes of commands since the last snapshot.
    since_snapshot: usize,
    applied_index: u64,
    restored_count: u32,
    /// Bytes of snapshot chunks that it received.
    snapshot_bytes: usize,
    /// Most memory that its log and snapshots took.
    peak_memory_bytes: usize,
}

struct Cluster {
    now: Micros,
    rng: oorandom::Rand32,
    queue: BTreeMap<(Micros, u64), Scheduled>,
    sequence: u64,
    machines: Vec<Machine>,
    /// Bytes in flight by stream, by sender and receiver.
    in_flight: BTreeMap<(usize, usize), usize>,
    state_bytes: usize,
    /// Bytes of changes per second.
    change_rate: usize,
    /// The range of sizes of one change, in bytes.
    change_sizes: (usize, usize),
    proposed: u64,
    acked_index: u64,
    rejected: u64,
    /// One in this many snapshot chunks is lost; none if 0.
    chunk_loss: u32,
    far_node_cut_off: bool,
    far_link_bytes_per_second: usize,
}

fn address(node: usize) -> NodeAddress {
    NodeAddress(Ipv4Addr::new(10, 0, 0, node as u8 + 1))
}

fn message_bytes(message: &Message) -> usize {
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

impl Cluster {
    /// Three machines, the last one in another region. The first two have a state of `state_bytes`, as after a long run.
    fn new(seed: u64, state_bytes: usize, change_rate: usize, change_sizes: (usize, usize)) -> Cluster {
        let mut cluster = Cluster {
            now: 0,
            rng: oorandom::Rand32::new(seed),
            queue: BTreeMap::new(),
            sequence: 0,
            machines: (0..3).map(|_| Machine::default()).collect(),
            in_flight: BTreeMap::new(),
            state_bytes,
            change_rate,
            change_sizes,
            proposed: 0,
            acked_index: 0,
            rejected: 0,
            chunk_loss: 0,
            far_node_cut_off: false,
            far_link_bytes_per_second: LINK_BYTES_PER_SECOND,
        };
        let voters: Vec<VoterId> =
            (0..3).map(|node| VoterId { address: address(node), disk_id: RunId(0) }).collect();
        let index = LogIndex(100);
        let data = cluster.state_at(index.0);
        let snapshot = Snapshot { index, term: Term(3), members: Members(voters.clone()), data };
        for (node, id) in voters.into_iter().enumerate() {
            cluster.machines[node].id = Some(id);
            // The far node's disk has the members and nothing else.
            let snapshot = if node == FAR_NODE {
                Snapshot {
                    index: LogIndex(1),
                    data: Vec::new(),
                    term: Term(1),
                    members: snapshot.members.clone(),
                }
            } else {
                snapshot.clone()
            };
            cluster.machines[node].disk = PersistentState {
                term: snapshot.term,
                voted_for: None,
                commit_index: snapshot.index,
                snapshot: Some(snapshot),
                entries: Vec::new(),
            };
            cluster.start(node);
        }
        cluster.schedule(10 * MS, Scheduled::Proposal);
        cluster
    }

    /// The state after an entry: the same bytes on every node.
    fn state_at(&self, index: u64) -> Vec<u8> {
        let mut data = index.to_le_bytes().to_vec();
        data.resize(self.state_bytes, index as u8);
        data
    }

    fn schedule(&mut self, after: Micros, due: Scheduled) {
        self.sequence += 1;
        self.queue.insert((self.now + after, self.sequence), due);
    }

    fn start(&mut self, node: usize) {
        let seed = u64::from(self.rng.rand_u32());
        let machine = &mut self.machines[node];
        machine.run_id += 1;
        (machine.applied_index, machine.since_snapshot) = (0, 0);
        let id = machine.id.expect("every machine has an id");
        let (raft, effects) = RaftNode::start(id, None, machine.disk.clone(), TIMING, seed, self.now);
        machine.raft = Some(raft);
        self.carry_out(node, effects);
        self.step(
            node,
            Event::Peers { addresses: (0..3).filter(|other| *other != node).map(address).collect() },
        );
        self.schedule_tick(node);
    }

    fn stop(&mut self, node: usize) {
        self.machines[node].raft = None;
        self.machines[node].run_id += 1;
    }

    fn schedule_tick(&mut self, node: usize) {
        let Some(raft) = &self.machines[node].raft else { return };
        let (wait, run_id) = ((raft.next_tick_at() - self.now).max(MS), self.machines[node].run_id);
        self.schedule(wait, Scheduled::Tick { node, run_id });
    }

    fn step(&mut self, node: usize, event: Event) {
        let Some(raft) = &mut self.machines[node].raft else { return };
        let effects = raft.step(self.now, event);
        let bytes = raft.memory_bytes();
        self.machines[node].peak_memory_bytes = self.machines[node].peak_memory_bytes.max(bytes);
        self.carry_out(node, effects);
    }

    fn carry_out(&mut self, node: usize, effects: Vec<Effect>) {
        let mut snapshot_due = None;
        for effect in effects {
            match effect {
                Effect::Send { to, message } => self.send(node, to, message),
                Effect::Write(write) => {
                    let run_id = self.machines[node].run_id;
                    self.schedule(2 * MS, Scheduled::WriteDone { node, run_id, write });
                }
                Effect::Apply { index, data, call } => {
                    let machine = &mut self.machines[node];
                    assert!(index.0 > machine.applied_index, "commands are applied in order, each once");
                    machine.applied_index = index.0;
                    machine.since_snapshot += data.len();
                    if call.is_some() {
                        self.acked_index = index.0;
                    }
                    if machine.since_snapshot >= SNAPSHOT_INTERVAL_BYTES {
                        machine.since_snapshot = 0;
                        snapshot_due = Some(index);
                    }
                }
                Effect::Restore { index, data } => {
                    assert_eq!(
                        data.len(),
                        if index.0 == 1 { 0 } else { self.state_bytes },
                        "the whole state"
                    );
                    assert!(
                        data.iter().skip(8).all(|byte| *byte == index.0 as u8),
                        "all bytes are from one snapshot"
                    );
                    let machine = &mut self.machines[node];
                    assert!(index.0 >= machine.applied_index);
                    (machine.applied_index, machine.since_snapshot) = (index.0, 0);
                    machine.restored_count += 1;
                }
                Effect::Rejected { .. } => self.rejected += 1,
                Effect::ReadReady { .. } | Effect::LeaderChanged { .. } => {}
            }
        }
        if let Some(index) = snapshot_due {
            let data = self.state_at(index.0);
            self.step(node, Event::SnapshotTaken { index, data });
        }
    }

    fn send(&mut self, node: usize, to: NodeAddress, message: Message) {
        let Some(to) = (0..3).find(|other| address(*other) == to) else { return };
        let from = self.machines[node].id.expect("it runs");
        let far = node == FAR_NODE || to == FAR_NODE;
        if self.far_node_cut_off && far {
            return;
        }
        let (bytes, delay) = (message_bytes(&message), if far { FAR_LATENCY } else { NEAR_LATENCY });
        let transfer_time = (bytes * 1_000_000 / LINK_BYTES_PER_SECOND) as Micros;
        if bytes <= DATAGRAM_MAX_BYTES {
            let delivery = Scheduled::Delivery { to, from, message, bytes, by_stream: false };
            return self.schedule(transfer_time + delay, delivery);
        }
        let in_flight = self.in_flight.entry((node, to)).or_default();
        if *in_flight + bytes > QUEUE_MAX_BYTES && *in_flight > 0 {
            return;
        }
        let is_chunk = matches!(&message, Message::Rpc { rpc: Rpc::InstallSnapshot { .. }, .. });
        if is_chunk && self.chunk_loss > 0 && self.rng.rand_range(0..self.chunk_loss) == 0 {
            return;
        }
        *in_flight += bytes;
        let outgoing_free_at = &mut self.machines[node].outgoing_free_at;
        *outgoing_free_at = (*outgoing_free_at).max(self.now) + transfer_time;
        let arrives_at = *outgoing_free_at + delay;
        let transfer_time = if to == FAR_NODE {
            (bytes * 1_000_000 / self.far_link_bytes_per_second) as Micros
        } else {
            transfer_time
        };
        let incoming_free_at = &mut self.machines[to].incoming_free_at;
        *incoming_free_at = (*incoming_free_at + transfer_time).max(arrives_at);
        let after = *incoming_free_at - self.now;
        self.schedule(after, Scheduled::Delivery { to, from, message, bytes, by_stream: true });
    }

    fn run(&mut self, duration: Micros) {
        let end = self.now + duration;
        while self.queue.first_key_value().is_some_and(|((time, _), _)| *time <= end) {
            let ((now, _), scheduled) = self.queue.pop_first().expect("the queue is not empty");
            self.now = now;
            match scheduled {
                Scheduled::Delivery { to, from, message, bytes, by_stream } => {
                    let sender = (0..3).find(|node| address(*node) == from.address).expect("a known sender");
                    if by_stream {
                        *self.in_flight.entry((sender, to)).or_default() -= bytes;
                    }
                    if matches!(&message, Message::Rpc { rpc: Rpc::InstallSnapshot { .. }, .. }) {
                        self.machines[to].snapshot_bytes += bytes;
                    }
                    self.step(to, Event::Received { from, message });
                }
                Scheduled::WriteDone { node, run_id, write } if self.machines[node].run_id == run_id => {
                    let id = write.id;
                    self.machines[node].disk.apply_write(write);
                    self.step(node, Event::Synced { write: id });
                }
                Scheduled::Tick { node, run_id } if self.machines[node].run_id == run_id => {
                    self.step(node, Event::Tick);
                    self.schedule_tick(node);
                }
                Scheduled::Proposal => self.propose(),
                Scheduled::WriteDone { .. } | Scheduled::Tick { .. } => {}
            }
        }
        self.now = end;
    }

    fn propose(&mut self) {
        let (min, max) = self.change_sizes;
        let size = self.rng.rand_range(min as u32..max as u32) as usize;
        let wait = (size * 1_000_000).checked_div(self.change_rate).map_or(100 * MS, |wait| wait as Micros);
        self.schedule(wait, Scheduled::Proposal);
        if let (Some(leader), true) = (self.leader(), self.change_rate > 0) {
            self.proposed += 1;
            let (call, data) = (CallId(self.proposed), vec![self.proposed as u8; size]);
            self.step(leader, Event::Propose { call, data });
        }
    }

    fn leader(&self) -> Option<usize> {
        let is_leader = |node: &usize| self.machines[*node].raft.as_ref().is_some_and(RaftNode::is_leader);
        (0..3).filter(is_leader).max_by_key(|node| self.raft(*node).term())
    }

    fn raft(&self, node: usize) -> &RaftNode {
        self.machines[node].raft.as_ref().expect("it runs")
    }

    /// Bytes of snapshot chunks that the far node received.
    fn snapshot_bytes_received(&self) -> usize {
        self.machines[FAR_NODE].snapshot_bytes
    }

    fn peak_memory(&self) -> usize {
        self.machines.iter().map(|machine| machine.peak_memory_bytes).max().unwrap_or(0)
    }

    /// Runs until the far node has all but the last few changes. Returns how long it took.
    fn run_until_caught_up(&mut self, timeout: Micros) -> Option<Micros> {
        let started_at = self.now;
        while self.now - started_at < timeout {
            self.run(100 * MS);
            let newest = self.acked_index;
            if newest > 100 && self.machines[FAR_NODE].applied_index + 8 >= newest {
                return Some(self.now - started_at);
            }
        }
        None
    }
}

/// Most memory that a leader may use: the newest snapshot, two older ones that are being sent, entries retained for
/// followers that are behind, entries that are not in a snapshot yet, and uncommitted entries.
fn max_memory(state_bytes: usize) -> usize {
    3 * state_bytes + (2 * state_bytes).min(8 * MB) + 4 * MB + SNAPSHOT_INTERVAL_BYTES + 300 * KB
}

/// Without retained entries and size-dependent response timeouts none of these followers caught up: each snapshot chunk was
/// sent two to four times, and the entries after the snapshot had been dropped when it was complete.
#[test]
fn a_follower_catches_up_while_changes_exceed_the_retained_tail() {
    let cases = [(2 * MB, 200_000, 8), (8 * MB, 150_000, 30), (2 * MB, 300_000, 10), (100 * KB, 250_000, 4)];
    for (state, rate, max_seconds) in cases {
        for seed in 0..2 {
            let name = format!("{} KB, {rate} B/s, seed {seed}", state / KB);
            let mut cluster = Cluster::new(seed, state, rate, (20 * KB, 300 * KB));
            let took = cluster.run_until_caught_up(max_seconds * SECOND);
            println!(
                "{name}: {:?} ms, {} KB of chunks",
                took.map(|took| took / MS),
                cluster.snapshot_bytes_received() / KB
            );
            assert!(took.is_some(), "{name}: it never catches up");
            assert!(
                cluster.snapshot_bytes_received() < state + 2 * TIMING.max_chunk_bytes,
                "{name}: {} bytes of chunks",
                cluster.snapshot_bytes_received()
            );
            // Once it has caught up, it needs no other snapshot during the next hundreds of changes.
            let restored_count = cluster.machines[FAR_NODE].restored_count;
            cluster.run(100 * SECOND);
            assert!(cluster.run_until_caught_up(5 * SECOND).is_some(), "{name}: it fell behind");
            assert_eq!(
                cluster.machines[FAR_NODE].restored_count, restored_count,
                "{name}: a second snapshot"
            );
            assert!(cluster.proposed > 80 && cluster.rejected == 0, "{name}: {}", cluster.proposed);
            let peak = cluster.peak_memory();
            assert!(peak <= max_memory(state), "{name}: {} KB in memory", peak / KB);
        }
    }
}

#[test]
fn only_lost_snapshot_chunks_are_sent_again() {
    for seed in 0..4 {
        let mut cluster = Cluster::new(seed, 2 * MB, 50_000, (20 * KB, 60 * KB));
        cluster.chunk_loss = 4;
        let took = cluster.run_until_caught_up(30 * SECOND);
        println!(
            "seed {seed}: {:?} ms, {} KB",
            took.map(|took| took / MS),
            cluster.snapshot_bytes_received() / KB
        );
        assert!(took.is_some(), "seed {seed}");
        assert!(
            cluster.snapshot_bytes_received() <= 2 * MB + 2 * TIMING.max_chunk_bytes,
            "seed {seed}: {}",
            cluster.snapshot_bytes_received()
        );
    }
}

/// The leader stops or restarts in the middle of a snapshot transfer. The next leader has the same snapshot and continues
/// after the bytes that were received.
#[test]
fn another_leader_or_a_restarted_one_continues_a_snapshot_transfer() {
    for restart_after in [None, Some(50 * MS)] {
        let mut cluster = Cluster::new(1, 8 * MB, 0, (20 * KB, 60 * KB));
        cluster.run(9 * SECOND);
        let (leader, received) = (cluster.leader().expect("a leader"), cluster.snapshot_bytes_received());
        assert!(received > 4 * MB && received < 8 * MB, "not in the middle of the transfer: {received}");
        cluster.stop(leader);
        // The other near node is elected with the vote of the far node, which is behind.
        cluster.run(restart_after.unwrap_or(3 * SECOND));
        cluster.start(leader);
        cluster.change_rate = 20_000;
        let took = cluster.run_until_caught_up(20 * SECOND);
        println!(
            "restart after {restart_after:?}: {:?} ms, {} KB",
            took.map(|took| took / MS),
            cluster.snapshot_bytes_received() / KB
        );
        assert!(took.is_some_and(|took| took < 12 * SECOND), "{took:?}");
        assert!(
            cluster.snapshot_bytes_received() < 8 * MB + 4 * TIMING.max_chunk_bytes,
            "the transfer started again: {}",
            cluster.snapshot_bytes_received()
        );
        assert_eq!(cluster.machines[FAR_NODE].restored_count, 2);
    }
}

/// If the link carries less than the rate of changes, the follower can't catch up. It costs the leader only a bounded amount
/// of memory, and catches up once there are fewer changes.
#[test]
fn a_link_slower_than_the_changes_takes_bounded_memory() {
    for seed in 0..2 {
        let mut cluster = Cluster::new(seed, 2 * MB, 200_000, (20 * KB, 300 * KB));
        cluster.far_link_bytes_per_second = 100_000;
        assert_eq!(cluster.run_until_caught_up(100 * SECOND), None);
        let (peak, chunk_bytes) = (cluster.peak_memory(), cluster.snapshot_bytes_received());
        println!("seed {seed}: {} KB in memory, {} KB of chunks", peak / KB, chunk_bytes / KB);
        assert!(
            peak <= max_memory(2 * MB) && cluster.rejected == 0,
            "{} KB, {} rejected",
            peak / KB,
            cluster.rejected
        );
        assert!(cluster.machines[FAR_NODE].restored_count > 2, "it still makes progress");
        // The link carries 9,800 KB in that time.
        assert!(chunk_bytes > 6 * MB, "{chunk_bytes}: too little for chunks that are mostly sent once");
        cluster.change_rate = 20_000;
        let took = cluster.run_until_caught_up(120 * SECOND);
        assert!(took.is_some());
    }
}

/// A follower is cut off in the middle of a transfer. The entries retained for it are dropped after a while, and bounded
/// before that.
#[test]
fn entries_retained_for_a_silent_follower_are_dropped() {
    let mut cluster = Cluster::new(2, 8 * MB, 200_000, (20 * KB, 100 * KB));
    cluster.run(9 * SECOND);
    let leader = cluster.leader().expect("a leader");
    assert!(cluster.raft(leader).memory_bytes() > 17 * MB, "two snapshots and the entries since");
    cluster.far_node_cut_off = true;
    cluster.run(6 * SECOND);
    let bytes = cluster.raft(leader).memory_bytes();
    assert!(bytes < 17 * MB + SNAPSHOT_INTERVAL_BYTES + 256 * KB, "{bytes}: entries are still retained");
    cluster.far_node_cut_off = false;
    assert!(cluster.run_until_caught_up(60 * SECOND).is_some(), "it catches up again");
    assert!(cluster.peak_memory() <= max_memory(8 * MB));
}

/// A node that restarts and is elected at once has entries that it does not know to be committed. A read must only be answered
/// after all of them were applied.
#[test]
fn a_leader_elected_right_after_its_restart_answers_no_read_before_it_has_caught_up() {
    let voters: Vec<VoterId> =
        (0..3).map(|node| VoterId { address: address(node), disk_id: RunId(0) }).collect();
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
            members: Members(voters.clone()),
            data: vec![1; 9],
        }),
        // The previous leader has acknowledged all of them.
        entries: (101..=140).map(command).collect(),
    };
    let (mut raft, mut effects_so_far) = RaftNode::start(voters[0], None, disk, TIMING, 1, 0);
    let mut now = 0;
    let mut step = |raft: &mut RaftNode, event: Event| {
        now += MS;
        let mut effects = raft.step(now, event);
        // Writes complete at once.
        let writes: Vec<Write> = effects.iter().filter_map(write_of).collect();
        for write in writes {
            effects.extend(raft.step(now, Event::Synced { write: write.id }));
        }
        effects
    };
    let mut ticks = 0;
    while !raft.is_leader() {
        ticks += 1;
        assert!(ticks < 2_000, "it is not elected");
        let effects = step(&mut raft, Event::Tick);
        let requests: Vec<(Term, bool)> = effects.iter().filter_map(vote_request_of).collect();
        for (term, is_pre_vote) in requests {
            let rpc = if is_pre_vote {
                Rpc::PreVoteResponse { granted: true }
            } else {
                Rpc::VoteResponse { granted: true }
            };
            let message = Message::Rpc { to: voters[0], term, rpc };
            effects_so_far.extend(step(&mut raft, Event::Received { from: voters[1], message }));
        }
    }
    effects_so_far.extend(step(&mut raft, Event::Read { call: CallId(1) }));
    effects_so_far.extend(step(&mut raft, Event::Propose { call: CallId(2), data: vec![9; 9] }));
    let applied =
        |effects: &[Effect]| effects.iter().filter(|effect| matches!(effect, Effect::Apply { .. })).count();
    assert_eq!(applied(&effects_so_far), 1, "only one command is known to be committed");
    // It confirms its leadership many times, but its own first entry is on no other disk yet.
    let append_response = |match_index: u64, round: u64| Event::Received {
        from: voters[1],
        message: Message::Rpc {
            to: voters[0],
            term: Term(4),
            rpc: Rpc::AppendResponse {
                match_index: LogIndex(match_index),
                received_index: LogIndex(match_index),
                round,
            },
        },
    };
    for round in 1..20 {
        effects_so_far.extend(step(&mut raft, append_response(140, round)));
        assert!(
            !effects_so_far.iter().any(|effect| matches!(effect, Effect::ReadReady { .. })),
            "a read of an old state"
        );
    }
    assert_eq!(applied(&effects_so_far), 1);
    // Now the first entry of its own term and the proposed command are replicated.
    effects_so_far.extend(step(&mut raft, append_response(142, 20)));
    effects_so_far.extend(step(&mut raft, append_response(142, 21)));
    let order: Vec<u64> = effects_so_far
        .iter()
        .filter_map(|effect| match effect {
            Effect::Apply { index, .. } | Effect::ReadReady { index, .. } => Some(index.0),
            _ => None,
        })
        .collect();
    let expected: Vec<u64> = (101..=140).chain([142, 142]).collect();
    assert_eq!(order, expected, "all acknowledged commands, the proposed one, then the read");
    let call = effects_so_far.iter().rev().find_map(|effect| match effect {
        Effect::Apply { call, .. } => Some(*call),
        _ => None,
    });
    assert_eq!(call, Some(Some(CallId(2))));
}

fn write_of(effect: &Effect) -> Option<Write> {
    match effect {
        Effect::Write(write) => Some(write.clone()),
        _ => None,
    }
}

/// The term of a vote request to the second node, and whether it is only a pre-vote request.
fn vote_request_of(effect: &Effect) -> Option<(Term, bool)> {
    match effect {
        Effect::Send { to, message: Message::Rpc { term, rpc, .. } } if *to == address(1) => match rpc {
            Rpc::PreVoteRequest { .. } => Some((*term, true)),
            Rpc::VoteRequest { .. } => Some((*term, false)),
            _ => None,
        },
        _ => None,
    }
}
