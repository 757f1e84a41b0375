//! A seeded world of boards: links that lose, reorder, are narrow and cut; nodes that start late or again.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::Ipv4Addr;

use oorandom::Rand64;
use props::{Index, MS, Micros, Place, SECOND, Term};
use replication::{Effect, Event, Message, Mode, Piece, Replicator, Standing};

const HUBS: usize = 5;
/// As of a prompter that follows a leader, and of one that has met nobody since its start.
const PROVED: Standing = Standing::Proved { term: Term(3), age: 800 * MS };
const STARTED: Standing = Standing::Started { voters: HUBS as u8 };

fn place(node: usize) -> Place {
    Place(Ipv4Addr::new(10, 0, 0, node as u8))
}

fn node_at(place: Place) -> usize {
    place.0.octets()[3] as usize
}

/// What a command is to hold, so that each node can prove what it applied.
fn data(index: u64, bytes: usize) -> Vec<u8> {
    let mut data = index.to_be_bytes().to_vec();
    data.resize(bytes.max(8), 7);
    data
}

struct World {
    now: Micros,
    boards: BTreeMap<usize, Replicator>,
    /// Per node: the indices in force there, and when the latest came.
    held: BTreeMap<usize, (Vec<u64>, Micros)>,
    /// The log: index and bytes of each command.
    log: Vec<(u64, usize)>,
    cut: Vec<usize>,
    /// What sources say of themselves; those that are cut off, that they have just started.
    standing: Standing,
    loss: f64,
    sent: u64,
    bytes: u64,
    wholes: u64,
    /// When each node's link is free again, at 6 Mbit/s.
    link: BTreeMap<usize, Micros>,
    rand: Rand64,
    on_the_way: BinaryHeap<Reverse<(Micros, u64)>>,
    letters: BTreeMap<u64, (usize, Place, Message)>,
    letter: u64,
}

impl World {
    fn new(seed: u64, loss: f64, followers: usize) -> World {
        let mut world = World {
            now: 0,
            boards: BTreeMap::new(),
            held: BTreeMap::new(),
            log: Vec::new(),
            cut: Vec::new(),
            standing: PROVED,
            loss,
            sent: 0,
            bytes: 0,
            wholes: 0,
            link: BTreeMap::new(),
            rand: Rand64::new(u128::from(seed)),
            on_the_way: BinaryHeap::new(),
            letters: BTreeMap::new(),
            letter: 0,
        };
        (1..=HUBS + followers).for_each(|node| world.start(node));
        world.tell_peers();
        world.run(3 * SECOND);
        world
    }

    /// Starts a life; a hub's log is on its disk.
    fn start(&mut self, node: usize) {
        let mode = if node <= HUBS { Mode::Source } else { Mode::Follower };
        let start = if node <= HUBS { self.log.last().map_or(0, |entry| entry.0) } else { 0 };
        let board = Replicator::start(place(node), mode, Index(start), self.rand.rand_u64(), self.now);
        self.boards.insert(node, board);
        self.held.insert(node, (Vec::new(), self.now));
    }

    fn tell_peers(&mut self) {
        let up: Vec<usize> = self.boards.keys().copied().filter(|node| !self.cut.contains(node)).collect();
        for node in up.clone() {
            let hubs = up.iter().copied().filter(|node| *node <= HUBS).map(place).collect();
            let others = up.iter().copied().filter(|node| *node > HUBS).map(place).collect();
            self.step(node, Event::Peers { hubs, others });
        }
    }

    fn followers(&self) -> Vec<usize> {
        self.boards.keys().copied().filter(|node| *node > HUBS).collect()
    }

    /// A command is ordered; `hubs` have it in their logs now.
    fn commit(&mut self, bytes: usize, hubs: &[usize]) {
        let index = self.log.last().map_or(1, |entry| entry.0) + 1 + self.rand.rand_range(0..3);
        self.log.push((index, bytes));
        for hub in hubs {
            self.step(*hub, Event::Committed { index: Index(index), data: data(index, bytes) });
        }
    }

    fn step(&mut self, node: usize, event: Event) {
        let Some(board) = self.boards.get_mut(&node) else { return };
        let mut effects = Vec::new();
        if node <= HUBS {
            let standing = if self.cut.contains(&node) { STARTED } else { self.standing };
            effects = board.step(self.now, Event::Stands { standing });
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
                    assert!(node > HUBS && index.0 > expected, "{node}: {expected} then {index:?}");
                    assert_eq!(got, data(index.0, 3_000));
                    expected = index.0;
                    let upto = self.log.iter().map(|entry| entry.0).filter(|entry| *entry <= index.0);
                    self.held.insert(node, (upto.collect(), self.now));
                }
                Effect::NeedWhole => {
                    self.wholes += 1;
                    let index = self.boards[&node].index();
                    self.step(node, Event::Kept { index, data: data(index.0, 3_000) });
                }
                Effect::Send { to, message } => self.send(node, node_at(to), message),
                // No streams for small words in this world: what holds without them holds with them.
                Effect::Insist { .. } => {}
            }
        }
        if node > HUBS {
            assert_eq!(expected, self.boards[&node].index().0);
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let bytes = match &message {
            Message::Pieces { pieces, .. } => pieces.iter().map(|piece| piece.data.len() + 24).sum::<usize>(),
            Message::Whole { data, .. } => data.len(),
            _ => 0,
        } + 50;
        if let Message::Pieces { pieces, .. } = &message {
            assert!(bytes <= 1_100 || pieces.len() == 1, "{bytes} bytes in {} pieces", pieces.len());
        }
        self.sent += 1;
        self.bytes += bytes as u64;
        let free = self.link.get(&from).copied().unwrap_or(0).max(self.now) + bytes as Micros * 4 / 3;
        self.link.insert(from, free);
        // What doesn't fit into a datagram travels by stream, and is lost only with its connection.
        let loss = if bytes > 1_100 { self.loss / 10.0 } else { self.loss };
        let (lost, jitter) = (self.rand.rand_float() < loss, self.rand.rand_range(0..4_000) as Micros);
        if !(lost || self.cut.contains(&from) || self.cut.contains(&to)) {
            self.letter += 1;
            self.letters.insert(self.letter, (to, place(from), message));
            self.on_the_way.push(Reverse((free + 1_400 + jitter, self.letter)));
        }
    }

    fn run(&mut self, time: Micros) {
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

    fn behind(&self) -> Vec<usize> {
        let log: Vec<u64> = self.log.iter().map(|entry| entry.0).collect();
        self.followers().into_iter().filter(|node| self.held[node].0 != log).collect()
    }

    /// Runs until all followers hold the whole log; the time it took, at most `most`.
    fn until_level(&mut self, most: Micros) -> Micros {
        let begun = self.now;
        while !self.behind().is_empty() && self.now - begun < most {
            self.run(5 * MS);
        }
        self.now - begun
    }
}

const ALL: [usize; HUBS] = [1, 2, 3, 4, 5];

#[test]
fn commands_reach_all_in_time() {
    for (followers, loss, typically) in [(10, 0.0, 50), (60, 0.0, 50), (10, 0.1, 500), (60, 0.1, 500)] {
        let mut world = World::new(1, loss, followers);
        let mut times = Vec::new();
        for _ in 0..40 {
            let before = world.sent;
            world.commit(300, &ALL);
            times.push(world.until_level(5 * SECOND));
            assert!(world.sent - before < 600, "{} messages", world.sent - before);
            world.run(SECOND);
        }
        times.sort_unstable();
        assert!(times[20] <= typically * MS, "{followers} {loss}: {times:?}");
        assert!(times[39] <= 1_500 * MS, "{followers} {loss}: {times:?}");
    }
}

#[test]
fn big_commands_travel_once_to_each() {
    for (followers, within) in [(10, 1_300), (60, 2_000)] {
        let mut world = World::new(2, 0.01, followers);
        world.run(5 * SECOND);
        for _ in 0..8 {
            let before = world.bytes;
            world.commit(100_000, &ALL);
            let took = world.until_level(5 * SECOND);
            let copies = (world.bytes - before) / 100_000;
            assert!(took <= within * MS, "{followers}: {took}");
            assert!(copies <= followers as u64 * 5 / 4, "{followers}: {copies} copies");
            world.run(10 * SECOND);
        }
    }
}

#[test]
fn calm_costs_little() {
    let mut world = World::new(3, 0.02, 60);
    world.commit(300, &ALL);
    world.run(10 * SECOND);
    let before = world.sent;
    world.run(20 * SECOND);
    let rate = (world.sent - before) as f64 / 20.0 / 65.0;
    assert!(rate < 1.2, "{rate} messages a second each");
}

#[test]
fn late_joiners_and_new_lives_catch_up() {
    let mut world = World::new(4, 0.05, 12);
    for round in 0..60 {
        world.commit(if round % 7 == 0 { 5_000 } else { 200 }, &ALL);
        world.run(100 * MS);
        if round % 9 == 8 {
            world.start(HUBS + 1 + round % 12);
            world.tell_peers();
        }
    }
    assert!(world.until_level(3 * SECOND) < 2 * SECOND);
    // Hubs that have begun again hold no pieces, only the state.
    (1..=HUBS).for_each(|hub| world.start(hub));
    (6..=17).for_each(|node| world.start(node));
    world.tell_peers();
    let wholes = world.wholes;
    assert!(world.until_level(5 * SECOND) < 2 * SECOND);
    assert!(world.wholes > wholes);
    world.commit(300, &ALL);
    assert!(world.until_level(5 * SECOND) < 2 * SECOND);
}

#[test]
fn a_cut_off_node_mends_its_gap_and_never_goes_back() {
    for commands in [3, 400] {
        let mut world = World::new(5, 0.05, 10);
        world.commit(300, &ALL);
        world.run(2 * SECOND);
        world.cut = vec![7, 12];
        world.tell_peers();
        for _ in 0..commands {
            world.commit(2_000, &ALL);
            world.run(20 * MS);
        }
        world.run(1_500 * MS);
        assert_eq!(world.behind(), vec![7, 12]);
        world.cut.clear();
        // Before the others are told to be up again nothing is known of the gap; then it closes at once.
        world.tell_peers();
        assert!(world.until_level(5 * SECOND) <= 1_500 * MS, "{commands}");
    }
}

#[test]
fn a_lagging_source_takes_nobody_back() {
    let mut world = World::new(6, 0.05, 10);
    world.commit(300, &ALL);
    world.run(2 * SECOND);
    // Two hubs have got no news of the log for a while; the others go on.
    for _ in 0..30 {
        world.commit(300, &[1, 2, 3]);
        world.run(100 * MS);
    }
    assert!(world.until_level(3 * SECOND) < 1_500 * MS);
    // The rest of the core is gone: only the lagging hubs are left, and followers hold more than they do.
    (1..=3).for_each(|hub| drop(world.boards.remove(&hub)));
    world.start(9);
    world.tell_peers();
    assert!(world.until_level(3 * SECOND) < 2 * SECOND);
    world.run(5 * SECOND);
    assert_eq!(world.behind(), Vec::<usize>::new());
    // The lagging hubs catch up by their log; what is long known is not pushed again.
    let before = world.bytes;
    for (index, bytes) in world.log.clone().into_iter().skip(1) {
        for hub in [4, 5] {
            world.step(hub, Event::Committed { index: Index(index), data: data(index, bytes) });
        }
    }
    assert!(world.bytes - before < 10_000, "{}", world.bytes - before);
    world.commit(300, &[4, 5]);
    assert!(world.until_level(3 * SECOND) < SECOND);
}

#[test]
fn what_follows_a_state_from_the_log_builds_on_it() {
    let mut board = Replicator::start(place(1), Mode::Source, Index(0), 1, 0);
    board.step(0, Event::Peers { hubs: vec![], others: vec![place(9)] });
    board.step(0, Event::Committed { index: Index(3), data: data(3, 8) });
    // From its disk, or from a leader after a long absence: 4 to 20 were never told here.
    board.step(0, Event::Restored { index: Index(20) });
    let sent = board.step(0, Event::Committed { index: Index(21), data: data(21, 8) });
    let piece = Piece { prev: Index(20), index: Index(21), data: data(21, 8) };
    let message = Message::Pieces { fresh: true, more: false, pieces: vec![piece] };
    assert!(sent.contains(&Effect::Send { to: place(9), message }), "{sent:?}");
    let message = Message::Want { have: Index(3) };
    let answer = board.step(1, Event::Received { from: place(9), message });
    assert_eq!(answer, [Effect::NeedWhole]);
    board.step(1, Event::Restored { index: Index(20) });
    assert_eq!(board.index(), Index(21));
}

#[test]
fn order_and_repeats_do_not_matter() {
    let mut board = Replicator::start(place(9), Mode::Follower, Index(0), 1, 0);
    let piece = |prev, index| Piece { prev: Index(prev), index: Index(index), data: data(index, 8) };
    let told = |board: &mut Replicator, pieces: Vec<Piece>| {
        let message = Message::Pieces { fresh: true, more: false, pieces };
        let effects = board.step(1, Event::Received { from: place(1), message });
        let applied = effects.into_iter().filter_map(|effect| match effect {
            Effect::Apply { index, .. } => Some(index.0),
            _ => None,
        });
        applied.collect::<Vec<u64>>()
    };
    assert_eq!(told(&mut board, vec![piece(5, 9)]), vec![]);
    assert_eq!(told(&mut board, vec![piece(2, 5), piece(5, 9)]), vec![]);
    assert_eq!(told(&mut board, vec![piece(0, 2)]), vec![2, 5, 9]);
    assert_eq!(told(&mut board, vec![piece(0, 2), piece(2, 5), piece(9, 9)]), vec![]);
    let state = |index, data| Message::Whole { index: Index(index), data };
    let old = board.step(2, Event::Received { from: place(1), message: state(8, vec![1]) });
    assert!(!old.iter().any(|effect| matches!(effect, Effect::Restore { .. })));
    // A state at an index between two commands: the next command builds on the one before.
    let new = board.step(2, Event::Received { from: place(1), message: state(15, vec![2]) });
    assert!(new.contains(&Effect::Restore { index: Index(15), data: vec![2] }));
    assert_eq!(told(&mut board, vec![piece(12, 20)]), vec![20]);
}

/// A follower that has just started, and `sources` that answer it; each with how it stands and what it holds.
struct Newcomer {
    board: Replicator,
    sources: Vec<(Replicator, Standing)>,
    asked: u64,
}

impl Newcomer {
    fn among(sources: &[(u64, Standing)]) -> Newcomer {
        let start = |(number, (index, standing)): (usize, &(u64, Standing))| {
            let own = place(number + 1);
            (Replicator::start(own, Mode::Source, Index(*index), 5, 0), *standing)
        };
        let hubs = (1..=sources.len()).map(place).collect();
        let sources = sources.iter().enumerate().map(start).collect();
        let board = Replicator::start(place(9), Mode::Follower, Index(0), 1, 0);
        let mut newcomer = Newcomer { board, sources, asked: 0 };
        newcomer.step(0, Event::Peers { hubs, others: Vec::new() });
        newcomer
    }

    /// All that goes between it and the sources arrives at once.
    fn step(&mut self, now: Micros, event: Event) {
        let mut effects = self.board.step(now, event);
        while let Some(effect) = effects.pop() {
            let Effect::Send { to, message } = effect else { continue };
            self.asked += u64::from(message == Message::Prove);
            let (source, standing) = &mut self.sources[node_at(to) - 1];
            source.step(now, Event::Stands { standing: *standing });
            let index = source.index();
            for answer in source.step(now, Event::Received { from: place(9), message }) {
                let message = match answer {
                    Effect::Send { message, .. } => message,
                    Effect::NeedWhole => Message::Whole { index, data: Vec::new() },
                    other => panic!("{other:?}"),
                };
                effects.extend(self.board.step(now, Event::Received { from: to, message }));
            }
        }
    }

    fn run(&mut self, from: Micros, to: Micros) {
        (from / (50 * MS)..to / (50 * MS)).for_each(|turn| self.step(turn * 50 * MS, Event::Tick));
    }
}

#[test]
fn a_newcomer_takes_what_it_holds_for_new_only_where_a_majority_stands_behind_it() {
    let old = Standing::Proved { term: Term(3), age: 4 * SECOND };
    type Case<'a> = (&'a str, &'a [(u64, Standing)], Option<u64>);
    let cases: [Case<'_>; 9] = [
        ("one that follows a leader", &[(7, PROVED)], Some(7)),
        ("one that lost its leader", &[(7, old)], None),
        ("one that has met nobody since its start", &[(7, STARTED)], None),
        ("the same, while the others are no voters", &[(7, STARTED), (0, Standing::Unproved)], None),
        ("two of five that have just started", &[(7, STARTED), (9, STARTED)], None),
        (
            "three of five: what the newest of them holds",
            &[(7, STARTED), (9, STARTED), (8, STARTED)],
            Some(9),
        ),
        ("one that lost its leader beside one that follows", &[(7, old), (9, PROVED)], Some(9)),
        ("one cut off that holds more than is ordered", &[(9, old), (7, PROVED)], Some(7)),
        ("a single machine of its own", &[(7, Standing::Started { voters: 1 })], Some(7)),
    ];
    for (what, sources, holds) in cases {
        let mut newcomer = Newcomer::among(sources);
        newcomer.run(0, 10 * SECOND);
        assert_eq!(newcomer.board.proved(), holds.is_some(), "{what}");
        assert!(holds.is_none_or(|index| newcomer.board.index() >= Index(index)), "{what}");
        // It asks at a pace, and no more once it knows.
        let asked = newcomer.asked;
        let most = sources.len() as u64 * if holds.is_some() { 2 } else { 28 };
        assert!(asked <= most, "{what}: {asked} asks");
        newcomer.run(10 * SECOND, 12 * SECOND);
        assert!(
            newcomer.asked - asked <= if holds.is_some() { 0 } else { 3 * sources.len() as u64 },
            "{what}"
        );
    }
}

#[test]
fn what_was_once_known_as_new_stays_so_when_all_sources_lose_their_leader() {
    let mut newcomer = Newcomer::among(&[(7, PROVED), (7, PROVED)]);
    newcomer.run(0, SECOND);
    assert!(newcomer.board.proved());
    newcomer.sources.iter_mut().for_each(|(_, standing)| *standing = STARTED);
    newcomer.run(SECOND, 20 * SECOND);
    assert!(newcomer.board.proved());
}
