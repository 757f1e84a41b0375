//! The proof of control's worst days in short, and that it doesn't hold where a figure misses.

use std::time::Duration;

use garnetdoor_lab::prove::control::{cases, judged};
use rehearsal::plant::Planted;

#[test]
fn the_short_proof_holds_and_tells_its_figures() {
    let proof = cases(3, 8, Duration::from_secs(600));
    assert!(proof.ok(), "{}", proof.table());
    assert_eq!(proof.value("planted_found"), proof.value("planted"));
    assert!(proof.value("days").is_some_and(|days| days >= 22.0), "{}", proof.table());
}

#[test]
fn a_figure_that_misses_fails_the_proof() {
    let cases = [
        (Planted::CallHeld, "calls_held"),
        (Planted::DeposedReads, "stale_confirmed"),
        (Planted::TakenForgotten, "repeats_refused"),
        (Planted::TrialAgain, "two_winners"),
        (Planted::NotLetIn, "quorum_lost"),
        (Planted::EarlierLife, "wrong_caller"),
        (Planted::TransportRetry, "ran_twice"),
    ];
    for (planted, figure) in cases {
        let days = (1..=Planted::SEEDS).map(|seed| planted.hunted(seed));
        let found: Vec<_> = days.filter(|day| planted.found_on(day)).take(1).collect();
        let proof = judged(1, &found);
        assert!(!proof.ok() && proof.value(figure).is_some_and(|count| count > 0.0), "{}", proof.table());
    }
    let held = judged(1, &[Planted::CallHeld.hunted(1)]);
    assert!(held.value("cut_worst_answer_ms").is_some_and(|most| most > 900.0), "{}", held.table());
}
