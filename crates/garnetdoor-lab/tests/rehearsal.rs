//! The rehearsal's proof in short.

use std::time::Duration;

use garnetdoor_lab::prove::rehearsal::cases;

#[test]
fn the_short_proof_holds_and_tells_its_figures() {
    let proof = cases(2, 6, Duration::from_secs(600));
    assert!(proof.ok(), "{}", proof.table());
    assert_eq!(proof.value("planted_found"), proof.value("planted"));
    assert!(proof.value("days").is_some_and(|days| days >= 18.0), "{}", proof.table());
}
