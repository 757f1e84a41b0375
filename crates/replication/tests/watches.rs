//! A follower's watches: it chooses the sources itself, renews the watches, and drops a source that is silent or stale.

use std::net::Ipv4Addr;

use replication::{Effect, Event, Freshness, Message, Mode, Replicator};
use types::{LogIndex, MS, Micros, NodeAddress, SECOND, Term};

const SOURCES: u8 = 5;
const OWN: u8 = 99;

fn address(node: u8) -> NodeAddress {
    NodeAddress(Ipv4Addr::new(10, 0, 0, node))
}

/// A follower among sources that answer at once.
struct Simulation {
    follower: Replicator,
    now: Micros,
    /// Sources that don't answer.
    silent: Vec<NodeAddress>,
    /// Sources that answer with a state of 5 s ago.
    stale: Vec<NodeAddress>,
    /// What the sources hold.
    held: LogIndex,
    /// The times and receivers of freshness requests.
    requests: Vec<(Micros, NodeAddress)>,
    /// The times and nodes for which a stream was preferred.
    streams: Vec<(Micros, NodeAddress)>,
}

impl Simulation {
    fn start() -> Simulation {
        let follower = Replicator::start(address(OWN), Mode::Follower, LogIndex(0), 1, 0);
        let (silent, stale, requests, streams) = Default::default();
        let mut simulation =
            Simulation { follower, now: 0, silent, stale, held: LogIndex(0), requests, streams };
        let sources = (1..=SOURCES).map(address).collect();
        let effects = simulation.follower.step(0, Event::Peers { sources, others: vec![address(OWN)] });
        simulation.perform(effects);
        simulation.run(5 * SECOND);
        // Those were for pulls, which nobody answers here.
        simulation.streams.clear();
        simulation
    }

    fn perform(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send { to, message: Message::FreshnessRequest } => {
                    self.requests.push((self.now, to));
                    self.answer(to);
                }
                Effect::PreferStream { to } => self.streams.push((self.now, to)),
                _ => {}
            }
        }
    }

    fn answer(&mut self, from: NodeAddress) {
        if self.silent.contains(&from) {
            return;
        }
        let age = if self.stale.contains(&from) { 5 * SECOND } else { 800 * MS };
        let freshness = Freshness::Proven { term: Term(3), age };
        let message = Message::FreshnessProof { index: self.held, freshness };
        let effects = self.follower.step(self.now, Event::Received { from, message });
        self.perform(effects);
    }

    fn run(&mut self, time: Micros) {
        let end = self.now + time;
        while self.follower.due() <= end {
            self.now = self.follower.due().max(self.now);
            let effects = self.follower.step(self.now, Event::Tick);
            self.perform(effects);
        }
        self.now = end;
    }

    /// Runs for some time, and returns the sources that were asked in it.
    fn sources_asked_in(&mut self, time: Micros) -> Vec<NodeAddress> {
        self.requests.clear();
        self.run(time);
        let mut sources: Vec<NodeAddress> = self.requests.iter().map(|(_, to)| *to).collect();
        sources.sort_unstable();
        sources.dedup();
        sources
    }
}

#[test]
fn a_follower_renews_its_watch_at_two_sources_twice_a_second() {
    let mut simulation = Simulation::start();
    let sources = simulation.sources_asked_in(10 * SECOND);
    assert_eq!(sources.len(), 2);
    assert_eq!(simulation.requests.len(), 40);
    assert_eq!(simulation.streams, []);
}

#[test]
fn followers_spread_evenly_over_sources_and_few_move_when_one_goes() {
    let sources_watched_by = |own: u8, sources: Vec<NodeAddress>| {
        let mut follower = Replicator::start(address(own), Mode::Follower, LogIndex(0), 1, 0);
        let effects = follower.step(0, Event::Peers { sources, others: Vec::new() });
        let requests = effects.into_iter().filter_map(|effect| match effect {
            Effect::Send { to, message: Message::FreshnessRequest } => Some(to),
            _ => None,
        });
        let mut requests: Vec<NodeAddress> = requests.collect();
        requests.sort_unstable();
        // At the start each source is asked once for the freshness check, and those that are watched once more.
        requests
            .chunk_by(|one, other| one == other)
            .filter(|same| same.len() == 2)
            .map(|same| same[0])
            .collect()
    };
    let all: Vec<NodeAddress> = (1..=SOURCES).map(address).collect();
    let before: Vec<Vec<NodeAddress>> = (100..220).map(|own| sources_watched_by(own, all.clone())).collect();
    let after: Vec<Vec<NodeAddress>> =
        (100..220).map(|own| sources_watched_by(own, all[1..].to_vec())).collect();
    for source in &all {
        let watches = before.iter().flatten().filter(|watched| *watched == source).count();
        assert!((30..=70).contains(&watches), "{watches} of 240 at {source}");
    }
    for (before, after) in before.iter().zip(&after) {
        let kept = before.iter().filter(|source| after.contains(source)).count();
        assert!(kept + usize::from(before.contains(&all[0])) == 2, "{before:?} {after:?}");
    }
}

#[test]
fn a_silent_source_is_asked_by_stream_after_1_s_and_dropped_after_1500_ms() {
    let mut simulation = Simulation::start();
    let sources = simulation.sources_asked_in(SECOND);
    simulation.silent = vec![sources[0]];
    let from = simulation.now;
    simulation.run(2 * SECOND);
    let (stream_at, to) = simulation.streams[0];
    assert_eq!(to, sources[0]);
    assert!(stream_at - from <= SECOND, "after {} ms", (stream_at - from) / MS);
    let (replaced_at, replacement) = simulation.streams[1];
    assert!(!sources.contains(&replacement));
    assert!(replaced_at - from <= 1_500 * MS, "after {} ms", (replaced_at - from) / MS);
    let watched = simulation.sources_asked_in(2 * SECOND);
    assert!(
        watched.contains(&replacement) && watched.contains(&sources[1]) && !watched.contains(&sources[0])
    );
    assert_eq!(simulation.follower.watch_stats().dropped_silent, 1);
}

/// Such as a leader that is cut off from its followers and not from the gateways.
#[test]
fn a_stale_source_is_dropped_although_it_answers() {
    let mut simulation = Simulation::start();
    let sources = simulation.sources_asked_in(SECOND);
    simulation.stale = vec![sources[0]];
    simulation.run(2 * SECOND);
    assert!(!simulation.sources_asked_in(2 * SECOND).contains(&sources[0]));
    assert_eq!(simulation.follower.watch_stats().dropped_stale, 1);
}

/// While no source has a majority, all are stale. The follower moves from one to the next, at growing intervals.
#[test]
fn intervals_grow_while_all_sources_are_stale() {
    let mut simulation = Simulation::start();
    simulation.stale = (1..=SOURCES).map(address).collect();
    simulation.run(60 * SECOND);
    let dropped = simulation.follower.watch_stats().dropped_stale;
    simulation.run(60 * SECOND);
    let later = simulation.follower.watch_stats().dropped_stale - dropped;
    assert!((10..=30).contains(&later), "{later} in a minute");
}

#[test]
fn what_a_source_proves_to_hold_and_does_not_push_is_pulled_by_stream() {
    let mut simulation = Simulation::start();
    simulation.held = LogIndex(7);
    simulation.streams.clear();
    let from = simulation.now;
    simulation.run(2 * SECOND);
    let (stream_at, _) = *simulation.streams.first().expect("a pull by stream");
    assert!(stream_at - from <= 1_100 * MS, "after {} ms", (stream_at - from) / MS);
    assert!(simulation.follower.stats().pulls >= 1);
}
