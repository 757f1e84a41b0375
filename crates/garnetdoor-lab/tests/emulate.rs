//! The emulator in a small world: the same seed gives the same outcome, and the designs differ as the note says.

use garnetdoor_lab::emulate::{Outcome, World, play};
use garnetdoor_sessions::share::ShareEnforcement;

fn world(holding: ShareEnforcement, drain: Option<i64>, seed: u64) -> Outcome {
    play(&World { gateways: 2, guests: 300, boxes: 9, holding, drain, seed })
}

const SPREAD: Option<i64> = Some(10_000_000);

#[test]
fn a_seed_gives_one_outcome_and_another_seed_another() {
    let once = world(ShareEnforcement::PacedNewestFirst, SPREAD, 5);
    assert_eq!(once, world(ShareEnforcement::PacedNewestFirst, SPREAD, 5));
    assert_ne!(once, world(ShareEnforcement::PacedNewestFirst, SPREAD, 6));
}

#[test]
fn the_share_is_held_by_closing_and_not_at_the_door_alone() {
    let [free, door, held] =
        [ShareEnforcement::Unenforced, ShareEnforcement::AdmissionOnly, ShareEnforcement::PacedNewestFirst]
            .map(|h| world(h, SPREAD, 1));
    assert!(free.excess > 0.1 && door.excess > 0.1, "{free:?} {door:?}");
    assert!(held.excess <= 0.04 + 4.0 / held.standing_most as f64, "{held:?}");
    assert!(held.closed_for_share > 50 && door.closed_for_share == 0);
}

#[test]
fn pacing_makes_smaller_herds_than_all_at_once() {
    let paced = world(ShareEnforcement::PacedNewestFirst, SPREAD, 2);
    assert!(world(ShareEnforcement::CloseAtOnce, SPREAD, 2).herd_share > 1.5 * paced.herd_share);
    assert!(world(ShareEnforcement::PacedNewestFirst, Some(0), 2).herd_drain > 2.0 * paced.herd_drain);
    assert!(world(ShareEnforcement::PacedNewestFirst, None, 2).herd_drain > 2.0 * paced.herd_drain);
}
