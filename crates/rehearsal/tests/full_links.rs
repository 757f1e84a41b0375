//! Foyers behind full links: in touch by the rules, though most of their datagrams are lost for seconds.

use rehearsal::play;
use rehearsal::scenario::Scenario;

const SEEDS: u64 = 12;

#[test]
fn what_is_ordered_is_in_force_in_time_behind_full_links() {
    let scenario = Scenario::read(include_str!("../scenarios/full-links.toml")).expect("it reads");
    let days = (1..=SEEDS).map(|seed| play::play(scenario.clone(), seed, None));
    let broken: Vec<String> = days
        .filter(|day| !day.ok())
        .map(|day| format!("seed {}: {} {:?}", day.seed, day.line(), day.broken))
        .collect();
    assert!(broken.is_empty(), "{} of {SEEDS}:\n{}", broken.len(), broken.join("\n"));
}
