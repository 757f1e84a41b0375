//! A follower's watches: chosen by itself, renewed, left where a source is silent or its news are old.

use std::net::Ipv4Addr;

use replication::{Effect, Event, Freshness, Message, Mode, Replicator};
use types::{LogIndex, MS, Micros, NodeAddress, SECOND, Term};

const SOURCES: u8 = 5;
const OWN: u8 = 99;

fn address(node: u8) -> NodeAddress {
    NodeAddress(Ipv4Addr::new(10, 0, 0, node))
}

/// A follower among sources that answer at once, unless they are mute, with news of some age.
struct Watched {
    board: Replicator,
    now: Micros,
    mute: Vec<NodeAddress>,
    old: Vec<NodeAddress>,
    held: LogIndex,
    /// Each ask and each time that a source was insisted on.
    asked: Vec<(Micros, NodeAddress)>,
    insisted: Vec<(Micros, NodeAddress)>,
}

impl Watched {
    fn start() -> Watched {
        let board = Replicator::start(address(OWN), Mode::Follower, LogIndex(0), 1, 0);
        let (mute, old, asked, insisted) = Default::default();
        let mut watched = Watched { board, now: 0, mute, old, held: LogIndex(0), asked, insisted };
        let hubs = (1..=SOURCES).map(address).collect();
        let effects = watched.board.step(0, Event::Peers { sources: hubs, others: vec![address(OWN)] });
        watched.did(effects);
        watched.run(5 * SECOND);
        // What it asked for the commands themselves, which nobody answers here.
        watched.insisted.clear();
        watched
    }

    fn did(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send { to, message: Message::FreshnessRequest } => {
                    self.asked.push((self.now, to));
                    self.answer(to);
                }
                Effect::PreferStream { to } => self.insisted.push((self.now, to)),
                _ => {}
            }
        }
    }

    fn answer(&mut self, from: NodeAddress) {
        if self.mute.contains(&from) {
            return;
        }
        let age = if self.old.contains(&from) { 5 * SECOND } else { 800 * MS };
        let freshness = Freshness::Proven { term: Term(3), age };
        let message = Message::FreshnessProof { index: self.held, freshness };
        let effects = self.board.step(self.now, Event::Received { from, message });
        self.did(effects);
    }

    fn run(&mut self, time: Micros) {
        let end = self.now + time;
        while self.board.due() <= end {
            self.now = self.board.due().max(self.now);
            let effects = self.board.step(self.now, Event::Tick);
            self.did(effects);
        }
        self.now = end;
    }

    /// The sources asked in the time that comes.
    fn watched_for(&mut self, time: Micros) -> Vec<NodeAddress> {
        self.asked.clear();
        self.run(time);
        let mut sources: Vec<NodeAddress> = self.asked.iter().map(|(_, to)| *to).collect();
        sources.sort_unstable();
        sources.dedup();
        sources
    }
}

#[test]
fn a_follower_renews_its_watch_at_two_sources_twice_a_second() {
    let mut watched = Watched::start();
    let sources = watched.watched_for(10 * SECOND);
    assert_eq!(sources.len(), 2);
    assert_eq!(watched.asked.len(), 40);
    assert_eq!(watched.insisted, []);
}

#[test]
fn followers_spread_over_the_sources_and_few_move_where_one_goes() {
    let watched_by = |own: u8, hubs: Vec<NodeAddress>| {
        let mut board = Replicator::start(address(own), Mode::Follower, LogIndex(0), 1, 0);
        let effects = board.step(0, Event::Peers { sources: hubs, others: Vec::new() });
        let asked = effects.into_iter().filter_map(|effect| match effect {
            Effect::Send { to, message: Message::FreshnessRequest } => Some(to),
            _ => None,
        });
        let mut asked: Vec<NodeAddress> = asked.collect();
        asked.sort_unstable();
        // All are asked for a proof at the start; those that are watched, twice.
        asked.chunk_by(|one, other| one == other).filter(|asks| asks.len() == 2).map(|asks| asks[0]).collect()
    };
    let all: Vec<NodeAddress> = (1..=SOURCES).map(address).collect();
    let before: Vec<Vec<NodeAddress>> = (100..220).map(|own| watched_by(own, all.clone())).collect();
    let after: Vec<Vec<NodeAddress>> = (100..220).map(|own| watched_by(own, all[1..].to_vec())).collect();
    for source in &all {
        let load = before.iter().flatten().filter(|watched| *watched == source).count();
        assert!((30..=70).contains(&load), "{load} of 240 at {source}");
    }
    for (before, after) in before.iter().zip(&after) {
        let kept = before.iter().filter(|source| after.contains(source)).count();
        assert!(kept + usize::from(before.contains(&all[0])) == 2, "{before:?} {after:?}");
    }
}

#[test]
fn a_silent_source_is_asked_by_stream_after_a_second_and_left_after_another_half() {
    let mut watched = Watched::start();
    let sources = watched.watched_for(SECOND);
    watched.mute = vec![sources[0]];
    let from = watched.now;
    watched.run(2 * SECOND);
    let (insisted, to) = watched.insisted[0];
    assert_eq!(to, sources[0]);
    assert!(insisted - from <= SECOND, "after {} ms", (insisted - from) / MS);
    let (left, to) = watched.insisted[1];
    assert!(!sources.contains(&to));
    assert!(left - from <= 1_500 * MS, "after {} ms", (left - from) / MS);
    let now_watched = watched.watched_for(2 * SECOND);
    assert!(
        now_watched.contains(&to) && now_watched.contains(&sources[1]) && !now_watched.contains(&sources[0])
    );
    assert_eq!(watched.board.watch_stats().dropped_silent, 1);
}

/// As a leader that is cut off from its followers and not from the gateways.
#[test]
fn a_source_whose_news_get_old_is_left_though_it_answers() {
    let mut watched = Watched::start();
    let sources = watched.watched_for(SECOND);
    watched.old = vec![sources[0]];
    watched.run(2 * SECOND);
    assert!(!watched.watched_for(2 * SECOND).contains(&sources[0]));
    assert_eq!(watched.board.watch_stats().dropped_stale, 1);
}

/// While nobody has a majority all are old: the follower goes from one to the next, ever slower.
#[test]
fn where_all_sources_are_old_the_waits_grow() {
    let mut watched = Watched::start();
    watched.old = (1..=SOURCES).map(address).collect();
    watched.run(60 * SECOND);
    let left = watched.board.watch_stats().dropped_stale;
    watched.run(60 * SECOND);
    let later = watched.board.watch_stats().dropped_stale - left;
    assert!((10..=30).contains(&later), "{later} in a minute");
}

#[test]
fn what_a_source_proves_to_have_and_does_not_push_is_asked_of_it_by_stream() {
    let mut watched = Watched::start();
    watched.held = LogIndex(7);
    watched.insisted.clear();
    let from = watched.now;
    watched.run(2 * SECOND);
    let first = watched.insisted.first().expect("asked");
    assert!(first.0 - from <= 1_100 * MS, "after {} ms", (first.0 - from) / MS);
    assert!(watched.board.stats().pulls >= 1);
}
