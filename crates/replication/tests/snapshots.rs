//! Snapshots of megabytes over links of 6 Mbit/s in each direction, for nodes that were away, while commands go on being
//! committed.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;

use replication::{Effect, Event, Message, Mode, Replicator};
use types::{LogIndex, MS, Micros, NodeAddress, SECOND};

const SOURCES: usize = 3;
const MB: usize = 1_000_000;
const LINK_BYTES_PER_SECOND: usize = 750_000;
const DATAGRAM_BYTES_MAX: usize = 1_200;
const PROPAGATION_DELAY: Micros = 1_400;
/// The index that the sources hold at the start.
const FIRST_INDEX: u64 = 5_000;

/// A message in transit.
struct Envelope {
    from: usize,
    to: usize,
    message: Message,
    bytes: usize,
}

struct Cluster {
    now: Micros,
    replicators: BTreeMap<usize, Replicator>,
    index: u64,
    /// Bytes of a snapshot.
    state_bytes: usize,
    /// When each node's link has sent what it was given.
    uplink_free_at: BTreeMap<usize, Micros>,
    /// When each node's link has received what was sent to it.
    downlink_free_at: BTreeMap<usize, Micros>,
    /// Messages in transit, by arrival time and number.
    in_transit: BTreeMap<(Micros, u64), Envelope>,
    last_envelope: u64,
    /// Bytes that wait at each node to be sent.
    queued_bytes: BTreeMap<usize, usize>,
    /// The most that ever waited at one node.
    queued_bytes_peak: usize,
    /// Snapshots that each node got.
    restored: BTreeMap<usize, u32>,
    /// Bytes of all snapshots sent.
    snapshot_bytes: usize,
}

fn address(node: usize) -> NodeAddress {
    NodeAddress(Ipv4Addr::new(10, 0, (node / 250) as u8, (node % 250) as u8))
}

fn node_at(address: NodeAddress) -> usize {
    let [_, _, high, low] = address.0.octets();
    usize::from(high) * 250 + usize::from(low)
}

fn message_bytes(message: &Message) -> usize {
    50 + match message {
        Message::Commands { commands, .. } => commands.iter().map(|command| command.data.len() + 24).sum(),
        Message::Snapshot { data, .. } => data.len(),
        _ => 0,
    }
}

impl Cluster {
    /// Sources that hold a state, and followers that hold nothing.
    fn new(seed: u64, followers: usize, state_bytes: usize) -> Cluster {
        let mut cluster = Cluster {
            now: 0,
            replicators: BTreeMap::new(),
            index: FIRST_INDEX,
            state_bytes,
            uplink_free_at: BTreeMap::new(),
            downlink_free_at: BTreeMap::new(),
            in_transit: BTreeMap::new(),
            last_envelope: 0,
            queued_bytes: BTreeMap::new(),
            queued_bytes_peak: 0,
            restored: BTreeMap::new(),
            snapshot_bytes: 0,
        };
        for node in 1..=SOURCES + followers {
            let (mode, start) =
                if node <= SOURCES { (Mode::Source, FIRST_INDEX) } else { (Mode::Follower, 0) };
            let seed = seed * 1_000 + node as u64;
            cluster
                .replicators
                .insert(node, Replicator::start(address(node), mode, LogIndex(start), seed, 0));
        }
        let sources: Vec<NodeAddress> = (1..=SOURCES).map(address).collect();
        let others: Vec<NodeAddress> = (SOURCES + 1..=SOURCES + followers).map(address).collect();
        for node in 1..=SOURCES + followers {
            cluster.step(node, Event::Peers { sources: sources.clone(), others: others.clone() });
        }
        cluster
    }

    fn commit(&mut self, bytes: usize) {
        self.index += 1;
        for source in 1..=SOURCES {
            self.step(source, Event::Committed { index: LogIndex(self.index), data: vec![1; bytes] });
        }
    }

    fn step(&mut self, node: usize, event: Event) {
        let replicator = self.replicators.get_mut(&node).expect("a node");
        for effect in replicator.step(self.now, event) {
            match effect {
                Effect::Send { to, message } => self.send(node, node_at(to), message),
                // Small messages never go by stream here. What works without streams works with them.
                Effect::PreferStream { .. } => {}
                Effect::Apply { .. } => {}
                Effect::Restore { data, .. } => {
                    assert_eq!(data.len(), self.state_bytes);
                    *self.restored.entry(node).or_default() += 1;
                }
                Effect::TakeSnapshot => {
                    let index = self.replicators[&node].index();
                    self.step(node, Event::SnapshotTaken { index, data: vec![2; self.state_bytes] });
                }
            }
        }
    }

    /// Sends a message. Datagrams don't wait for the links; streams do, at both ends.
    fn send(&mut self, from: usize, to: usize, message: Message) {
        let bytes = message_bytes(&message);
        let transfer = (bytes * 1_000_000 / LINK_BYTES_PER_SECOND) as Micros;
        let is_datagram = bytes <= DATAGRAM_BYTES_MAX;
        let uplink_free_at = self.uplink_free_at.entry(from).or_default();
        let sent_at = if is_datagram {
            self.now + transfer
        } else {
            *uplink_free_at = (*uplink_free_at).max(self.now) + transfer;
            *uplink_free_at
        };
        let reaches_link_at = sent_at + PROPAGATION_DELAY;
        let downlink_free_at = self.downlink_free_at.entry(to).or_default();
        let arrives_at = if is_datagram {
            reaches_link_at
        } else {
            *downlink_free_at = (*downlink_free_at + transfer).max(reaches_link_at);
            *downlink_free_at
        };
        if matches!(message, Message::Snapshot { .. }) {
            self.snapshot_bytes += bytes;
        }
        if !is_datagram {
            let queued = self.queued_bytes.entry(from).or_default();
            *queued += bytes;
            self.queued_bytes_peak = self.queued_bytes_peak.max(*queued);
        }
        self.last_envelope += 1;
        let envelope = Envelope { from, to, message, bytes };
        self.in_transit.insert((arrives_at, self.last_envelope), envelope);
    }

    fn run(&mut self, time: Micros) {
        let end = self.now + time;
        loop {
            let next_tick = self.replicators.iter().map(|(node, replicator)| (replicator.due(), *node)).min();
            let (tick_at, ticking) = next_tick.expect("nodes");
            let arrives_at = self.in_transit.first_key_value().map_or(Micros::MAX, |((at, _), _)| *at);
            let at = tick_at.min(arrives_at).max(self.now);
            if at > end {
                self.now = end;
                return;
            }
            self.now = at;
            if arrives_at > tick_at {
                self.step(ticking, Event::Tick);
            } else if let Some((_, Envelope { from, to, message, bytes })) = self.in_transit.pop_first() {
                if bytes > DATAGRAM_BYTES_MAX {
                    *self.queued_bytes.entry(from).or_default() -= bytes;
                }
                self.step(to, Event::Received { from: address(from), message });
            }
        }
    }

    /// Number of nodes that lack more than the two newest commands.
    fn behind(&self) -> usize {
        self.replicators.values().filter(|replicator| replicator.index().0 + 2 < self.index).count()
    }

    /// Runs until no node is behind, with a command of `command_bytes` committed every 100 ms; none if 0. Returns the time
    /// that it took, or `None` if it did not happen within `limit`.
    fn run_until_caught_up(&mut self, command_bytes: usize, limit: Micros) -> Option<Micros> {
        let started_at = self.now;
        while self.now - started_at < limit {
            self.run(100 * MS);
            if self.behind() == 0 {
                return Some(self.now - started_at);
            }
            if command_bytes > 0 {
                self.commit(command_bytes);
            }
        }
        None
    }
}

/// A follower once asked another node each second while the first copy was in transit, and the commands committed in the
/// meantime were no longer kept when it arrived. With a steady flow of commands it never caught up.
#[test]
fn a_follower_that_was_away_gets_one_snapshot() {
    let cases = [(2 * MB, 0, 4), (2 * MB, 20_000, 5), (8 * MB, 0, 12), (8 * MB, 20_000, 18)];
    for (state_bytes, command_bytes, limit_s) in cases {
        for seed in 0..3 {
            let mut cluster = Cluster::new(seed, 1, state_bytes);
            let took = cluster.run_until_caught_up(command_bytes, limit_s * SECOND);
            let case = format!("{state_bytes} bytes, commands of {command_bytes}, seed {seed}");
            println!(
                "{case}: {:?} ms, {} KB of snapshots",
                took.map(|took| took / MS),
                cluster.snapshot_bytes / 1000
            );
            assert!(took.is_some(), "{case}: it never catches up");
            assert_eq!(cluster.restored[&(SOURCES + 1)], 1, "{case}");
            assert!(cluster.snapshot_bytes < state_bytes + 1_000, "{case}: {} bytes", cluster.snapshot_bytes);
        }
    }
}

/// With forty followers and a state of 2 MB, 244 MB once waited at one source, whose machine has 160 MB of memory.
#[test]
fn snapshots_for_many_followers_wait_in_bounded_memory() {
    let cases = [(40, 2 * MB, 30), (40, 100_000, 4), (100, 2 * MB, 45), (20, 8 * MB, 90)];
    for (followers, state_bytes, limit_s) in cases {
        let mut cluster = Cluster::new(7, followers, state_bytes);
        let took = cluster.run_until_caught_up(0, limit_s * SECOND);
        let case = format!("{followers} followers, {state_bytes} bytes");
        let (sent, peak) = (cluster.snapshot_bytes, cluster.queued_bytes_peak);
        let took_ms = took.map(|took| took / MS);
        println!("{case}: {took_ms:?} ms, {} KB of snapshots, {} KB wait at most", sent / 1000, peak / 1000);
        assert!(took.is_some(), "{case}: not all caught up");
        assert!(sent < followers * state_bytes * 2, "{case}: {sent} bytes of snapshots");
        assert!(peak < 4 * MB + state_bytes + 100_000, "{case}: {peak} bytes wait at one node");
    }
}

/// The source that was asked dies in the middle of the transfer.
#[test]
fn another_source_is_asked_once_the_sending_one_is_known_to_be_gone() {
    let mut cluster = Cluster::new(3, 1, 8 * MB);
    cluster.run(2 * SECOND);
    let sending: Vec<usize> = (1..=SOURCES)
        .filter(|source| cluster.queued_bytes.get(source).is_some_and(|queued| *queued > 0))
        .collect();
    assert_eq!(sending.len(), 1, "one source sends");
    cluster.in_transit.retain(|_, envelope| envelope.from != sending[0]);
    cluster.downlink_free_at.clear();
    let sources: Vec<NodeAddress> =
        (1..=SOURCES).filter(|source| *source != sending[0]).map(address).collect();
    cluster.step(SOURCES + 1, Event::Peers { sources, others: Vec::new() });
    let took = cluster.run_until_caught_up(0, 13 * SECOND);
    assert!(took.is_some() && cluster.restored[&(SOURCES + 1)] == 1);
}
