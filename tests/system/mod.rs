//! Stories of a gateway that hosts the decisions for one service of the whole system.

use garnetdoor::host::*;

use crate::fake::{MS, S, Story, server};

fn fleet(count: u32) -> Vec<Listing> {
    (0..count).map(|id| server(id, 1)).collect()
}

/// The settings of two profiles, the second as given.
fn two(second: &[(&str, &str)]) -> Settings {
    let first = [("classes.count", "2"), ("classes.0.on_time", "0.5"), ("classes.0.repeat", "safe")];
    first.iter().chain(second).copied().collect()
}

#[test]
fn profiles_come_and_go_in_life_and_leave_no_memory() {
    let mut story = Story::new(&[], fleet(4));
    story.run(20, 2, &[], 0, Ending::Finished);
    story.gate.settings_changed(two(&[("policy_limits.try_limit", "2"), ("classes.1.repeat", "safe")]));
    let ticket = story.ticket(1);
    story.ends(ticket, 0, 10 * MS, Ending::Error);
    assert_eq!(story.trips(ticket).len(), 2, "what could not run twice now may");
    story.pass(21 * S);
    assert!(story.gate.seen.times.is_empty(), "nothing of profile 2, which is gone, nor of any silent one");
    let stray = story.ticket(900);
    story.ends(stray, 0, 10 * MS, Ending::Error);
    assert_eq!(story.answers(stray), ["forfeited"], "of a profile that is not listed nothing is promised");
}
