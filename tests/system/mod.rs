//! Stories of a gateway that hosts the decisions for one service of the whole system.

use garnetdoor::host::*;

use crate::fake::{MS, S, Story, news, server};

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

/// Servers 0 to 4 of build 1, 100 to 109 of build 2 and 200 of build 3.
fn builds() -> Vec<Listing> {
    let of = |id| server(id, id / 100 + 1);
    (0..5).chain(100..110).chain([200]).map(of).collect()
}

const ORDER: &[(&str, &str)] = &[("domain.exposure_since", "order"), ("domain.exposure_caps", "0")];

#[test]
fn all_since_the_order_counts_against_the_cap_and_a_new_order_begins_anew() {
    let mut story = Story::new(ORDER, builds());
    let trial = |story: &Story| (100..110).map(|id| story.sent_to(id)).sum::<usize>();
    story.run(50, 0, &[], 0, Ending::Finished);
    assert_eq!(trial(&story), 0, "no order yet: what came before it gives no room");
    story.gate.news_came(news(2, 1, Phase::OnTrial, 0.1));
    for quiet in [0, 60 * S, 600 * S] {
        story.pass(quiet);
        story.gate.news_came(news(2, 1, Phase::OnTrial, 0.1));
        story.run(100, 0, &[], 0, Ending::Finished);
    }
    // 3 are free for the whole trial, not for each while.
    assert!((28..=33).contains(&trial(&story)), "{}", trial(&story));
    story.gate.news_came(news(2, 1, Phase::Withdrawn, 0.0));
    story.run(50, 0, &[], 0, Ending::Finished);
    assert!(trial(&story) <= 33, "nothing goes to a build that is withdrawn");
    story.gate.news_came(news(2, 1, Phase::OnTrial, 0.1));
    story.run(100, 0, &[], 0, Ending::Finished);
    assert!((38..=46).contains(&trial(&story)), "{}", trial(&story));
    assert_eq!(story.sent_to(200), 0, "nor to one that no order ever named");
}
