//! A seeded simulation of replicators: links that lose and reorder messages, are narrow and are cut; nodes that start late
//! or restart, and nodes with different views of who is up.

#![allow(dead_code)]

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::Ipv4Addr;

use oorandom::Rand64;
use replication::{Effect, Event, Freshness, Message, Mode, Replicator};
use types::{LogIndex, MS, Micros, NodeAddress, SECOND, Term};

/// Sources of the usual cluster. Sources are the nodes from 1 on, followers the nodes after them.
pub const SOURCES: usize = 5;
/// How long a node is written to by stream after `Effect::PreferStream`, as the nodes do it (`playhouse::carrier_selection`).
const STREAM_PREFERRED_FOR: Micros = 5 * SECOND;
/// Largest message that travels as a datagram.
const DATAGRAM_BYTES_MAX: usize = 1_100;
/// Size of a snapshot of the state.
const SNAPSHOT_BYTES: usize = 3_000;
/// The freshness of a source that follows a leader.
pub const PROVEN: Freshness = Freshness::Proven { term: Term(3), age: 800 * MS };
/// The freshness of a source that has been in touch with nobody since its start.
pub const JUST_STARTED: Freshness = Freshness::JustStarted { voters: SOURCES as u8 };

pub fn address(node: usize) -> NodeAddress {
    NodeAddress(Ipv4Addr::new(10, 0, 0, node as u8))
}

pub fn node_at(address: NodeAddress) -> usize {
    address.0.octets()[3] as usize
}

/// The data of the command at an index, by which the simulation checks what each node applies.
pub fn data(index: u64, bytes: usize) -> Vec<u8> {
    let mut data = index.to_be_bytes().to_vec();
    data.resize(bytes.max(8), 7);
    data
}

/// A command of the log.
#[derive(Clone, Copy)]
pub struct LogCommand {
    pub index: u64,
    pub bytes: usize,
}

/// A message in transit.
struct Envelope {
    to: usize,
    from: NodeAddress,
    message: Message,
}

pub struct Cluster {
    pub now: Micros,
    sources: usize,
    pub replicators: BTreeMap<usize, Replicator>,
    /// For each node, the indices of the commands that are in force there.
    pub held: BTreeMap<usize, Vec<u64>>,
    pub log: Vec<LogCommand>,
    /// Nodes whose links are cut.
    pub cut: Vec<usize>,
    /// The freshness of the sources; those that are cut off have just started.
    freshness: Freshness,
    /// Share of datagrams that are lost.
    pub loss: f64,
    /// Messages sent, without those by which followers watch sources.
    pub sent: u64,
    /// Messages sent by which followers watch sources.
    pub watch_messages: u64,
    pub bytes: u64,
    pub snapshots_taken: u64,
    /// Pairs of a node and another that it believes to be down although it runs.
    pub unseen: BTreeSet<(usize, usize)>,
    /// Until when the first node of a pair writes to the second by stream, where nothing is lost. `None` if small messages
    /// never go by stream in this cluster.
    streams: Option<BTreeMap<(usize, usize), Micros>>,
    /// When each node's link, of 6 Mbit/s, has sent what it was given.
    link_free_at: BTreeMap<usize, Micros>,
    rand: Rand64,
    /// Arrival time and number of each message in transit.
    arrivals: BinaryHeap<Reverse<(Micros, u64)>>,
    in_transit: BTreeMap<u64, Envelope>,
    last_envelope: u64,
}

impl Cluster {
    /// The usual cluster, without streams for small messages. What works without them works with them.
    pub fn new(seed: u64, loss: f64, followers: usize) -> Cluster {
        Cluster::of(seed, loss, SOURCES, followers, None)
    }

    /// A cluster of any size, in which nodes write by stream where that is preferred.
    pub fn with_streams(seed: u64, loss: f64, sources: usize, followers: usize) -> Cluster {
        Cluster::of(seed, loss, sources, followers, Some(BTreeMap::new()))
    }

    fn of(
        seed: u64, loss: f64, sources: usize, followers: usize,
        streams: Option<BTreeMap<(usize, usize), Micros>>,
    ) -> Cluster {
        let mut cluster = Cluster {
            now: 0,
            sources,
            replicators: BTreeMap::new(),
            held: BTreeMap::new(),
            log: Vec::new(),
            cut: Vec::new(),
            freshness: PROVEN,
            loss,
            sent: 0,
            watch_messages: 0,
            bytes: 0,
            snapshots_taken: 0,
            unseen: BTreeSet::new(),
            streams,
            link_free_at: BTreeMap::new(),
            rand: Rand64::new(u128::from(seed)),
            arrivals: BinaryHeap::new(),
            in_transit: BTreeMap::new(),
            last_envelope: 0,
        };
        (1..=sources + followers).for_each(|node| cluster.start(node));
        cluster.announce_peers();
        // Until the followers' watches at other sources than those that they chose have expired.
        cluster.run(4 * SECOND);
        cluster
    }

    /// Starts a node, or restarts it as a new run. A source has its log on disk, a follower holds nothing.
    pub fn start(&mut self, node: usize) {
        let (mode, start) = if node <= self.sources {
            (Mode::Source, self.log.last().map_or(0, |command| command.index))
        } else {
            (Mode::Follower, 0)
        };
        let replicator =
            Replicator::start(address(node), mode, LogIndex(start), self.rand.rand_u64(), self.now);
        self.replicators.insert(node, replicator);
        self.held.insert(node, Vec::new());
    }

    /// Tells each node that is not cut off which nodes are up.
    pub fn announce_peers(&mut self) {
        let up: Vec<usize> =
            self.replicators.keys().copied().filter(|node| !self.cut.contains(node)).collect();
        for node in up.clone() {
            let seen = |other: &usize| !self.unseen.contains(&(node, *other));
            let up = up.iter().filter(|other| seen(other));
            let sources = up.clone().copied().filter(|node| *node <= self.sources).map(address).collect();
            let others = up.copied().filter(|node| *node > self.sources).map(address).collect();
            self.step(node, Event::Peers { sources, others });
        }
    }

    pub fn followers(&self) -> Vec<usize> {
        self.replicators.keys().copied().filter(|node| *node > self.sources).collect()
    }

    /// Commits a command at the next index, or at one of the two after it. `sources` have it in their logs now.
    pub fn commit(&mut self, bytes: usize, sources: &[usize]) {
        let last = self.log.last().map_or(1, |command| command.index);
        let index = last + 1 + self.rand.rand_range(0..3);
        self.log.push(LogCommand { index, bytes });
        for source in sources {
            self.step(*source, Event::Committed { index: LogIndex(index), data: data(index, bytes) });
        }
    }

    /// Hands an event to a node. Checks that what the node applies is the log, in order and without gaps.
    pub fn step(&mut self, node: usize, event: Event) {
        let Some(replicator) = self.replicators.get_mut(&node) else { return };
        let mut effects = Vec::new();
        if node <= self.sources {
            let freshness = if self.cut.contains(&node) { JUST_STARTED } else { self.freshness };
            effects = replicator.step(self.now, Event::FreshnessChanged { freshness });
        }
        let before = replicator.index();
        effects.extend(replicator.step(self.now, event));
        let mut held_index = before.0;
        for effect in effects {
            match effect {
                Effect::Apply { index, data: applied } => {
                    let position = self
                        .log
                        .iter()
                        .position(|command| command.index == index.0)
                        .expect("a command of the log");
                    assert_eq!(applied, data(index.0, self.log[position].bytes));
                    let prev = if position == 0 { 0 } else { self.log[position - 1].index };
                    assert!(
                        prev <= held_index && held_index < index.0,
                        "{node}: {held_index} then {index:?}"
                    );
                    held_index = index.0;
                    self.held.get_mut(&node).expect("started").push(index.0);
                }
                Effect::Restore { index, data: restored } => {
                    assert!(
                        node > self.sources && index.0 > held_index,
                        "{node}: {held_index} then {index:?}"
                    );
                    assert_eq!(restored, data(index.0, SNAPSHOT_BYTES));
                    held_index = index.0;
                    let included =
                        self.log.iter().map(|command| command.index).filter(|command| *command <= index.0);
                    self.held.insert(node, included.collect());
                }
                Effect::TakeSnapshot => {
                    self.snapshots_taken += 1;
                    let index = self.replicators[&node].index();
                    let snapshot = data(index.0, SNAPSHOT_BYTES);
                    self.step(node, Event::SnapshotTaken { index, data: snapshot });
                }
                Effect::Send { to, message } => self.send(node, node_at(to), message),
                Effect::PreferStream { to } => {
                    if let Some(streams) = &mut self.streams {
                        streams.insert((node, node_at(to)), self.now + STREAM_PREFERRED_FOR);
                    }
                }
            }
        }
        if node > self.sources {
            assert_eq!(held_index, self.replicators[&node].index().0);
        }
    }

    pub fn send(&mut self, from: usize, to: usize, message: Message) {
        let bytes = match &message {
            Message::Commands { commands, .. } => {
                commands.iter().map(|command| command.data.len() + 24).sum::<usize>()
            }
            Message::Snapshot { data, .. } => data.len(),
            _ => 0,
        } + 50;
        if let Message::Commands { commands, .. } = &message {
            assert!(
                bytes <= DATAGRAM_BYTES_MAX || commands.len() == 1,
                "{bytes} bytes in {} commands",
                commands.len()
            );
        }
        match message {
            Message::FreshnessRequest | Message::FreshnessProof { .. } => self.watch_messages += 1,
            _ => self.sent += 1,
        }
        self.bytes += bytes as u64;
        let free_at = self.link_free_at.get(&from).copied().unwrap_or(0).max(self.now);
        let sent_at = free_at + bytes as Micros * 4 / 3;
        self.link_free_at.insert(from, sent_at);
        // A message too large for a datagram travels by stream, and is lost only with its connection.
        let stream_until = self.streams.as_ref().and_then(|streams| streams.get(&(from, to)));
        let loss = match stream_until {
            Some(until) if *until > self.now => 0.0,
            _ if bytes > DATAGRAM_BYTES_MAX => self.loss / 10.0,
            _ => self.loss,
        };
        let (lost, jitter) = (self.rand.rand_float() < loss, self.rand.rand_range(0..4_000) as Micros);
        if !(lost || self.cut.contains(&from) || self.cut.contains(&to)) {
            self.last_envelope += 1;
            let envelope = Envelope { to, from: address(from), message };
            self.in_transit.insert(self.last_envelope, envelope);
            self.arrivals.push(Reverse((sent_at + 1_400 + jitter, self.last_envelope)));
        }
    }

    pub fn run(&mut self, time: Micros) {
        let end = self.now + time;
        loop {
            let next_tick = self.replicators.iter().map(|(node, replicator)| (replicator.due(), *node)).min();
            let (tick_at, ticking) = next_tick.unwrap_or((Micros::MAX, 0));
            let arrival = self.arrivals.peek().map_or((Micros::MAX, 0), |arrival| arrival.0);
            let (arrives_at, number) = arrival;
            let at = tick_at.min(arrives_at).max(self.now);
            if at > end {
                self.now = end;
                return;
            }
            self.now = at;
            if arrives_at > tick_at {
                self.step(ticking, Event::Tick);
                continue;
            }
            self.arrivals.pop();
            if let Some(Envelope { to, from, message }) = self.in_transit.remove(&number) {
                self.step(to, Event::Received { from, message });
            }
        }
    }

    /// The followers that don't hold the whole log.
    pub fn behind(&self) -> Vec<usize> {
        let log: Vec<u64> = self.log.iter().map(|command| command.index).collect();
        self.followers().into_iter().filter(|node| self.held[node] != log).collect()
    }

    /// Runs until all followers hold the whole log; the time that it took, which is `limit` or more if they don't by then.
    pub fn run_until_caught_up(&mut self, limit: Micros) -> Micros {
        let started_at = self.now;
        while !self.behind().is_empty() && self.now - started_at < limit {
            self.run(5 * MS);
        }
        self.now - started_at
    }
}
