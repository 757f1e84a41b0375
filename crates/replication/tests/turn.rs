//! Hubs hear of a follower in turn, and a source finds out whether the leader that it follows hears it.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;

use replication::{Effect, Event, Freshness, Message, Mode, Replicator};
use types::{LogIndex, MS, Micros, NodeAddress, SECOND, Term};

fn address(node: u8) -> NodeAddress {
    NodeAddress(Ipv4Addr::new(10, 0, 0, node))
}

/// Hubs that are told of what is held at each step of 50 ms, by whom it was told.
fn told(board: &mut Replicator, from: Micros, span: Micros) -> Vec<(Micros, NodeAddress)> {
    let mut all = Vec::new();
    for now in (from..from + span).step_by(50 * MS as usize) {
        for effect in board.step(now, Event::Tick) {
            if let Effect::Send { to, message: Message::Digest { .. } } = effect {
                all.push((now, to));
            }
        }
    }
    all
}

/// A calm follower tells one hub each 2 s: none of four waits for more than seven turns, whatever the seed. By chance one
/// in 75 waited for 30 s.
#[test]
fn no_hub_is_left_out_by_chance() {
    for seed in 0..400 {
        let hubs: Vec<NodeAddress> = (1..=4).map(address).collect();
        let mut board = Replicator::start(address(9), Mode::Follower, LogIndex(0), seed, 0);
        board.step(0, Event::Peers { sources: hubs.clone(), others: Vec::new() });
        let told = told(&mut board, 0, 120 * SECOND);
        for hub in &hubs {
            let mut last = 0;
            let times = told.iter().filter(|(_, to)| to == hub).map(|(at, _)| *at);
            for at in times.chain([120 * SECOND]) {
                assert!(at - last <= 7 * 2 * SECOND + SECOND, "seed {seed}: {hub} waited {} µs", at - last);
                last = at;
            }
        }
    }
}

#[test]
fn a_hub_that_comes_is_told_within_a_turn_and_one_that_goes_takes_none() {
    for seed in 0..50 {
        let mut board = Replicator::start(address(9), Mode::Follower, LogIndex(0), seed, 0);
        board.step(0, Event::Peers { sources: (1..=4).map(address).collect(), others: Vec::new() });
        told(&mut board, 0, 11 * SECOND);
        board.step(11 * SECOND, Event::Peers { sources: (3..=6).map(address).collect(), others: Vec::new() });
        let told = told(&mut board, 11 * SECOND, 15 * SECOND);
        let mut counts: BTreeMap<NodeAddress, usize> = BTreeMap::new();
        told.iter().for_each(|(_, to)| *counts.entry(*to).or_default() += 1);
        assert_eq!(
            counts.keys().copied().collect::<Vec<_>>(),
            (3..=6).map(address).collect::<Vec<_>>(),
            "{seed}"
        );
    }
}

fn asks(effects: &[Effect]) -> Vec<NodeAddress> {
    let asked = effects.iter().filter_map(|effect| match effect {
        Effect::Send { to, message: Message::FreshnessRequest } => Some(*to),
        _ => None,
    });
    asked.collect()
}

struct Source(Replicator);

impl Source {
    fn new() -> Source {
        Source(Replicator::start(address(1), Mode::Source, LogIndex(0), 7, 0))
    }

    fn follows(&mut self, now: Micros, leader: u8) -> Vec<NodeAddress> {
        asks(&self.0.step(now, Event::FollowsLeader { leader: Some(address(leader)) }))
    }

    fn answered(&mut self, now: Micros, from: u8) -> Option<Micros> {
        let freshness = Freshness::Proven { term: Term(3), age: 100 * MS };
        let message = Message::FreshnessProof { index: LogIndex(0), freshness };
        self.0.step(now, Event::Received { from: address(from), message });
        self.0.leader_contact()
    }
}

#[test]
fn a_source_is_in_contact_since_the_first_ask_that_its_leader_may_have_answered() {
    let mut source = Source::new();
    assert_eq!((source.follows(SECOND, 2), source.0.leader_contact()), (vec![address(2)], None));
    // Asked no more often than wanted, and again while nothing comes.
    assert_eq!(source.follows(SECOND + 200 * MS, 2), vec![]);
    assert_eq!(source.follows(SECOND + 400 * MS, 2), vec![address(2)]);
    // Which of the two it answers can't be told.
    assert_eq!(source.answered(SECOND + 500 * MS, 2), Some(SECOND));
    // The other answer is to nothing that is open.
    assert_eq!(source.answered(SECOND + 600 * MS, 2), Some(SECOND));
    assert_eq!(source.follows(SECOND + 800 * MS, 2), vec![address(2)]);
    assert_eq!(source.answered(SECOND + 801 * MS, 2), Some(SECOND + 800 * MS));
}

#[test]
fn nobody_else_answers_for_a_leader_nor_an_earlier_one() {
    let mut source = Source::new();
    source.follows(SECOND, 2);
    assert_eq!(source.answered(SECOND + MS, 3), None);
    // Another leads: it is asked at once, and what the earlier one answers is void.
    assert_eq!(source.follows(SECOND + 2 * MS, 3), vec![address(3)]);
    assert_eq!(source.answered(SECOND + 3 * MS, 2), None);
    assert_eq!(source.answered(SECOND + 4 * MS, 3), Some(SECOND + 2 * MS));
    // One that is heard by nobody asks on, and its contact grows old.
    for step in 1..20 {
        source.follows(2 * SECOND + step * 400 * MS, 3);
    }
    assert_eq!(source.0.leader_contact(), Some(SECOND + 2 * MS));
}
