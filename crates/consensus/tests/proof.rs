//! How old a seat may take what it holds to be: by its leader's rounds, through cuts and standing still.

use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;

use consensus::{Effect, Event, FaultTolerance, Members, Message, PersistentState, RaftNode, Timing};
use types::{MS, Micros, NodeAddress, RunId, SECOND, VoterId};

const TIMING: Timing = Timing {
    heartbeat_interval: 150 * MS,
    election_timeout: 700 * MS,
    removal_timeout: 60 * SECOND,
    replacement_timeout: 60 * SECOND,
    join_interval: SECOND,
    fault_tolerance: FaultTolerance { machines: 1, domains: (0, 1) },
    max_chunk_bytes: 1 << 16,
};
/// What a driver lets pass between two asks for a proof.
const PROVE_EVERY: Micros = 200 * MS;

fn seat(number: usize) -> VoterId {
    VoterId { address: NodeAddress(Ipv4Addr::new(10, 0, 0, number as u8)), disk_id: RunId(0) }
}

/// Three seats; words take 2 ms, writes none. Words to one that is frozen wait, those over a cut are lost.
struct World {
    now: Micros,
    books: Vec<RaftNode>,
    words: BTreeMap<(Micros, u64), (usize, usize, Message)>,
    made: u64,
    cut: BTreeSet<usize>,
    frozen: Option<usize>,
}

impl World {
    fn open() -> World {
        let members = Members((0..3).map(seat).collect());
        let start = |number: usize| {
            let first = Some(members.clone());
            RaftNode::start(seat(number), first, PersistentState::default(), TIMING, number as u64, 0)
        };
        let (books, effects): (Vec<_>, Vec<_>) = (0..3).map(start).unzip();
        let (words, cut) = (BTreeMap::new(), BTreeSet::new());
        let mut world = World { now: 0, books, words, made: 0, cut, frozen: None };
        effects.into_iter().enumerate().for_each(|(at, effects)| world.carry(at, effects));
        world.play(3 * SECOND);
        world
    }

    fn step(&mut self, at: usize, event: Event) {
        let effects = self.books[at].step(self.now, event);
        self.carry(at, effects);
    }

    fn carry(&mut self, at: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send { to, message } => {
                    let to = (0..3).find(|number| seat(*number).address == to).expect("a seat");
                    if self.cut.contains(&at) == self.cut.contains(&to) {
                        self.made += 1;
                        self.words.insert((self.now + 2 * MS, self.made), (at, to, message));
                    }
                }
                Effect::Write(write) => self.step(at, Event::Synced { write: write.id }),
                _ => {}
            }
        }
    }

    fn play(&mut self, span: Micros) {
        let end = self.now + span;
        while self.now < end {
            self.now += MS;
            let due: Vec<(Micros, u64)> =
                self.words.range(..=(self.now, u64::MAX)).map(|(at, _)| *at).collect();
            for at in due {
                if Some(self.words[&at].1) == self.frozen {
                    continue;
                }
                let (from, to, message) = self.words.remove(&at).expect("it was there");
                self.step(to, Event::Received { from: seat(from), message });
            }
            for at in (0..3).filter(|at| Some(*at) != self.frozen).collect::<Vec<_>>() {
                if self.now % PROVE_EVERY == 0 {
                    self.step(at, Event::ConfirmQuorum);
                }
                if self.books[at].next_tick_at() <= self.now {
                    self.step(at, Event::Tick);
                }
            }
        }
    }

    fn leader(&self) -> usize {
        let leads = (0..3).filter(|at| self.books[*at].is_leader());
        leads.max_by_key(|at| self.books[*at].term()).expect("a leader")
    }

    fn age(&self, at: usize) -> Micros {
        self.now - self.books[at].quorum_contact().expect("it was in touch once").1
    }
}

#[test]
fn in_touch_the_proof_is_young_everywhere_and_costs_no_words() {
    let mut world = World::open();
    let leader = world.leader();
    let before = world.made;
    for _ in 0..200 {
        world.play(10 * MS);
        for at in 0..3 {
            let most = if at == leader {
                PROVE_EVERY + 2 * TIMING.heartbeat_interval
            } else {
                TIMING.election_timeout + 2 * TIMING.heartbeat_interval
            };
            assert!(world.age(at) <= most, "{at}: {}", world.age(at));
            assert_eq!(
                world.books[at].quorum_contact().map(|(term, _)| term),
                Some(world.books[leader].term())
            );
        }
    }
    // Two beats and two answers, each 150 ms, as without proofs.
    assert!(world.made - before <= 4 * 14, "{}", world.made - before);
}

#[test]
fn a_seat_that_is_cut_off_proves_nothing_newer_than_the_cut_whoever_it_was() {
    for leads in [true, false] {
        let mut world = World::open();
        let leader = world.leader();
        let gone = if leads { leader } else { (leader + 1) % 3 };
        world.cut = BTreeSet::from([gone]);
        let cut = world.now;
        for _ in 0..100 {
            world.play(100 * MS);
            assert!(world.books[gone].quorum_contact().is_some_and(|(_, at)| at <= cut), "leads: {leads}");
            assert!(
                world.now - cut < 500 * MS || !world.books[gone].hears_leader(world.now, 375 * MS) || leads
            );
        }
        assert!(!world.books[gone].hears_leader(world.now, 375 * MS));
        assert!((0..3).filter(|at| *at != gone).all(|at| world.age(at) < 1_200 * MS));
        world.cut.clear();
        world.play(2 * SECOND);
        assert!(world.age(gone) < 1_200 * MS);
    }
}

#[test]
fn what_lay_in_the_sockets_of_one_that_stood_still_proves_nothing() {
    let mut world = World::open();
    let frozen = (world.leader() + 1) % 3;
    world.frozen = Some(frozen);
    world.play(20 * SECOND);
    let (stood, words) = (world.books[frozen].quorum_contact(), world.words.len());
    assert!(words > 100, "{words} words wait");
    // It is cut off when it wakes: all that it hears was sent before.
    (world.frozen, world.cut) = (None, BTreeSet::from([frozen]));
    world.play(20 * MS);
    assert_eq!(world.words.iter().filter(|(_, word)| word.1 == frozen).count(), 0, "it has read them");
    assert_eq!(world.books[frozen].quorum_contact(), stood);
    assert!(!world.books[frozen].hears_leader(world.now, 375 * MS));
    world.cut.clear();
    world.play(2 * SECOND);
    assert!(world.age(frozen) < 1_200 * MS);
}
