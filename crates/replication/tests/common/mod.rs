//! A seeded world of boards: links that lose, reorder, are narrow and cut; nodes that start late or again, and nodes
//! whose views of who is up differ.

#![allow(dead_code)]

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::Ipv4Addr;

use oorandom::Rand64;
use replication::{Effect, Event, Freshness, Message, Mode, Replicator};
use types::{LogIndex, MS, Micros, NodeAddress, SECOND, Term};

/// Hubs of the usual world.
pub const HUBS: usize = 5;
/// How long a node is written to by stream once it was insisted on, as the nodes do it (`playhouse::carrier_selection`).
const BY_STREAM: Micros = 5 * SECOND;
/// As of a prompter that follows a leader, and of one that has met nobody since its start.
pub const PROVED: Freshness = Freshness::Proven { term: Term(3), age: 800 * MS };
pub const STARTED: Freshness = Freshness::JustStarted { voters: HUBS as u8 };

pub fn address(node: usize) -> NodeAddress {
    NodeAddress(Ipv4Addr::new(10, 0, 0, node as u8))
}

pub fn node_at(address: NodeAddress) -> usize {
    address.0.octets()[3] as usize
}

/// What a command is to hold, so that each node can prove what it applied.
pub fn data(index: u64, bytes: usize) -> Vec<u8> {
    let mut data = index.to_be_bytes().to_vec();
    data.resize(bytes.max(8), 7);
    data
}

pub struct World {
    pub now: Micros,
    hubs: usize,
    pub boards: BTreeMap<usize, Replicator>,
    /// Per node: the indices in force there, and when the latest came.
    pub held: BTreeMap<usize, (Vec<u64>, Micros)>,
    /// The log: index and bytes of each command.
    pub log: Vec<(u64, usize)>,
    pub cut: Vec<usize>,
    /// What sources say of themselves; those that are cut off, that they have just started.
    freshness: Freshness,
    pub loss: f64,
    /// Messages about what is ordered, and those by which sources are watched.
    pub sent: u64,
    pub watching: u64,
    pub bytes: u64,
    pub wholes: u64,
    /// Who holds whom down, though it runs.
    pub unseen: BTreeSet<(usize, usize)>,
    /// Until when one node writes to another by streams, which lose nothing; none where this world has no streams.
    streams: Option<BTreeMap<(usize, usize), Micros>>,
    /// When each node's link is free again, at 6 Mbit/s.
    link: BTreeMap<usize, Micros>,
    rand: Rand64,
    on_the_way: BinaryHeap<Reverse<(Micros, u64)>>,
    letters: BTreeMap<u64, (usize, NodeAddress, Message)>,
    letter: u64,
}

impl World {
    /// The usual world: no streams for small words. What holds without them holds with them.
    pub fn new(seed: u64, loss: f64, followers: usize) -> World {
        World::of(seed, loss, HUBS, followers, None)
    }

    /// A larger world, in which what is insisted on goes by streams.
    pub fn with_streams(seed: u64, loss: f64, hubs: usize, followers: usize) -> World {
        World::of(seed, loss, hubs, followers, Some(BTreeMap::new()))
    }

    fn of(
        seed: u64, loss: f64, hubs: usize, followers: usize,
        streams: Option<BTreeMap<(usize, usize), Micros>>,
    ) -> World {
        let mut world = World {
            now: 0,
            hubs,
            boards: BTreeMap::new(),
            held: BTreeMap::new(),
            log: Vec::new(),
            cut: Vec::new(),
            freshness: PROVED,
            loss,
            sent: 0,
            watching: 0,
            bytes: 0,
            wholes: 0,
            unseen: BTreeSet::new(),
            streams,
            link: BTreeMap::new(),
            rand: Rand64::new(u128::from(seed)),
            on_the_way: BinaryHeap::new(),
            letters: BTreeMap::new(),
            letter: 0,
        };
        (1..=hubs + followers).for_each(|node| world.start(node));
        world.tell_peers();
        // Until followers are served by those alone that they watch.
        world.run(4 * SECOND);
        world
    }

    /// Starts a life; a hub's log is on its disk.
    pub fn start(&mut self, node: usize) {
        let mode = if node <= self.hubs { Mode::Source } else { Mode::Follower };
        let start = if node <= self.hubs { self.log.last().map_or(0, |entry| entry.0) } else { 0 };
        let board = Replicator::start(address(node), mode, LogIndex(start), self.rand.rand_u64(), self.now);
        self.boards.insert(node, board);
        self.held.insert(node, (Vec::new(), self.now));
    }

    pub fn tell_peers(&mut self) {
        let up: Vec<usize> = self.boards.keys().copied().filter(|node| !self.cut.contains(node)).collect();
        for node in up.clone() {
            let seen = |other: &usize| !self.unseen.contains(&(node, *other));
            let up = up.iter().filter(|other| seen(other));
            let hubs = up.clone().copied().filter(|node| *node <= self.hubs).map(address).collect();
            let others = up.copied().filter(|node| *node > self.hubs).map(address).collect();
            self.step(node, Event::Peers { sources: hubs, others });
        }
    }

    pub fn followers(&self) -> Vec<usize> {
        self.boards.keys().copied().filter(|node| *node > self.hubs).collect()
    }

    /// A command is ordered; `hubs` have it in their logs now.
    pub fn commit(&mut self, bytes: usize, hubs: &[usize]) {
        let index = self.log.last().map_or(1, |entry| entry.0) + 1 + self.rand.rand_range(0..3);
        self.log.push((index, bytes));
        for hub in hubs {
            self.step(*hub, Event::Committed { index: LogIndex(index), data: data(index, bytes) });
        }
    }

    pub fn step(&mut self, node: usize, event: Event) {
        let Some(board) = self.boards.get_mut(&node) else { return };
        let mut effects = Vec::new();
        if node <= self.hubs {
            let freshness = if self.cut.contains(&node) { STARTED } else { self.freshness };
            effects = board.step(self.now, Event::FreshnessChanged { freshness });
        }
        let before = board.index();
        effects.extend(board.step(self.now, event));
        let mut expected = before.0;
        for effect in effects {
            match effect {
                Effect::Apply { index, data: got } => {
                    let at =
                        self.log.iter().position(|entry| entry.0 == index.0).expect("a command of the log");
                    assert_eq!(got, data(index.0, self.log[at].1));
                    let prev = if at == 0 { 0 } else { self.log[at - 1].0 };
                    assert!(prev <= expected && expected < index.0, "{node}: {expected} then {index:?}");
                    expected = index.0;
                    let held = self.held.get_mut(&node).expect("started");
                    held.0.push(index.0);
                    held.1 = self.now;
                }
                Effect::Restore { index, data: got } => {
                    assert!(node > self.hubs && index.0 > expected, "{node}: {expected} then {index:?}");
                    assert_eq!(got, data(index.0, 3_000));
                    expected = index.0;
                    let upto = self.log.iter().map(|entry| entry.0).filter(|entry| *entry <= index.0);
                    self.held.insert(node, (upto.collect(), self.now));
                }
                Effect::TakeSnapshot => {
                    self.wholes += 1;
                    let index = self.boards[&node].index();
                    self.step(node, Event::SnapshotTaken { index, data: data(index.0, 3_000) });
                }
                Effect::Send { to, message } => self.send(node, node_at(to), message),
                Effect::PreferStream { to } => {
                    if let Some(streams) = &mut self.streams {
                        streams.insert((node, node_at(to)), self.now + BY_STREAM);
                    }
                }
            }
        }
        if node > self.hubs {
            assert_eq!(expected, self.boards[&node].index().0);
        }
    }

    pub fn send(&mut self, from: usize, to: usize, message: Message) {
        let bytes = match &message {
            Message::Commands { commands, .. } => {
                commands.iter().map(|piece| piece.data.len() + 24).sum::<usize>()
            }
            Message::Snapshot { data, .. } => data.len(),
            _ => 0,
        } + 50;
        if let Message::Commands { commands, .. } = &message {
            assert!(bytes <= 1_100 || commands.len() == 1, "{bytes} bytes in {} commands", commands.len());
        }
        match message {
            Message::FreshnessRequest | Message::FreshnessProof { .. } => self.watching += 1,
            _ => self.sent += 1,
        }
        self.bytes += bytes as u64;
        let free = self.link.get(&from).copied().unwrap_or(0).max(self.now) + bytes as Micros * 4 / 3;
        self.link.insert(from, free);
        // What doesn't fit into a datagram travels by stream, and is lost only with its connection.
        let insisted = self.streams.as_ref().and_then(|streams| streams.get(&(from, to)));
        let loss = match insisted {
            Some(until) if *until > self.now => 0.0,
            _ if bytes > 1_100 => self.loss / 10.0,
            _ => self.loss,
        };
        let (lost, jitter) = (self.rand.rand_float() < loss, self.rand.rand_range(0..4_000) as Micros);
        if !(lost || self.cut.contains(&from) || self.cut.contains(&to)) {
            self.letter += 1;
            self.letters.insert(self.letter, (to, address(from), message));
            self.on_the_way.push(Reverse((free + 1_400 + jitter, self.letter)));
        }
    }

    pub fn run(&mut self, time: Micros) {
        let end = self.now + time;
        loop {
            let tick = self.boards.iter().map(|(node, board)| (board.due(), *node)).min();
            let tick = tick.unwrap_or((Micros::MAX, 0));
            let letter = self.on_the_way.peek().map_or((Micros::MAX, 0), |letter| letter.0);
            let at = tick.0.min(letter.0).max(self.now);
            if at > end {
                self.now = end;
                return;
            }
            self.now = at;
            if letter.0 > tick.0 {
                self.step(tick.1, Event::Tick);
                continue;
            }
            self.on_the_way.pop();
            if let Some((to, from, message)) = self.letters.remove(&letter.1) {
                self.step(to, Event::Received { from, message });
            }
        }
    }

    pub fn behind(&self) -> Vec<usize> {
        let log: Vec<u64> = self.log.iter().map(|entry| entry.0).collect();
        self.followers().into_iter().filter(|node| self.held[node].0 != log).collect()
    }

    /// Runs until all followers hold the whole log; the time it took, at most `most`.
    pub fn until_level(&mut self, most: Micros) -> Micros {
        let begun = self.now;
        while !self.behind().is_empty() && self.now - begun < most {
            self.run(5 * MS);
        }
        self.now - begun
    }
}
