//! A hollow fleet plays as it should: it comes up, changes come into force, counts are those of the seed, and what a
//! node can't keep shows.

use std::time::Duration;

use extras::size::Size;
use extras::tally::{Phase, Role};
use extras::world::World;
use types::SECOND;

fn played(size: Size) -> World {
    let mut world = World::new(size, Duration::from_secs(60));
    world.play_all(|_| {});
    assert!(!world.given_up);
    world
}

fn small() -> Size {
    Size { gateways: 8, instances: 40, start: 6 * SECOND, steady: 3 * SECOND, ..Size::default() }
}

#[test]
fn a_small_fleet_comes_up_and_two_changes_are_in_force_at_each_gateway() {
    let world = played(small());
    let row = world.row(Phase::Steady, Role::Gateway).expect("a calm span was played");
    assert_eq!((row.ready, row.whole_company, row.whole_cast), (8, 11, 11), "{row:?}");
    for version in 1..=3 {
        let after = world.figures.change_s(version, 8);
        assert!(after.is_some_and(|after| after < 2.0), "version {version}: {:?}", world.figures);
    }
    assert!(world.figures.refusals.is_empty(), "{:?}", world.figures);
    let herd = world.row(Phase::Herd, Role::Gateway).expect("a herd was played");
    assert_eq!((herd.ready, herd.whole_company), (8, 11), "{herd:?}");
}

#[test]
fn a_seed_gives_the_same_words_and_another_seed_others() {
    let words = |seed| {
        let world = played(Size { seed, change: 0, herd: 0, ..small() });
        let all: Vec<_> = world
            .tally
            .all()
            .map(|(_, role, out, kind, cell)| (role, out, kind, cell.words, cell.bytes))
            .collect();
        all
    };
    assert_eq!(words(5), words(5));
    assert_ne!(words(5), words(6));
}

#[test]
fn what_goes_out_comes_in() {
    let world = played(Size { herd: 0, ..small() });
    let sum = |out| {
        let all = Role::ALL.map(|role| world.tally.sum(Phase::Steady, role, out, "").words);
        all.iter().sum::<u64>()
    };
    assert!(sum(true) > 0);
    assert_eq!(sum(true), sum(false));
}

#[test]
fn requests_that_are_drawn_reach_the_decisions() {
    let world = played(Size { requests: 20, drawn: 2, change: 0, herd: 0, ..small() });
    let answers = world.tally.get(Phase::Steady, Role::Gateway, false, extras::kind::ANSWER);
    assert!(answers.nanos > 0);
}

/// `cast` keeps 4,096 lives: past that nodes hold different ones, compare for ever, and beats are refused. A bound
/// that is raised moves this, and the page.
#[test]
fn more_instances_than_a_node_keeps_are_refused_and_told_of_for_ever() {
    let size = Size { gateways: 2, change: 0, herd: 0, start: 4 * SECOND, ..small() };
    let calm = played(Size { instances: 4_000, ..size });
    let over = played(Size { instances: 4_300, ..size });
    let [calm, over] =
        [calm, over].map(|world| world.row(Phase::Steady, Role::Leader).cloned().expect("a leader"));
    assert_eq!((calm.beats_refused_s, calm.whole_cast), (0.0, 5), "{calm:?}");
    assert!(over.beats_refused_s > 0.0 && over.whole_cast == 0, "{over:?}");
    assert!(over.out_bytes_s > 20.0 * calm.out_bytes_s, "{} and {}", over.out_bytes_s, calm.out_bytes_s);
}

#[test]
fn sizes_out_of_bounds_are_refused_with_their_name() {
    let wrong = Size { gateways: 0, ..small() }.check().expect_err("no gateways");
    assert_eq!(wrong.to_string(), "gateways: 0; expected 1 to 2000");
    assert!(Size::design().check().is_ok());
}
