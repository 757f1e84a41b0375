//! The checker on recorded runs: a good one, and one for each way of breaking a rule.

use garnetdoor_lab::record::{Entry, Saw};
use garnetdoor_lab::rules::{Found, check, herd};
use test_case::test_case;

const S: u64 = 1_000_000;

fn asked(id: u64) -> Saw {
    Saw::Asked { id, key: format!("k{id}"), once: id.is_multiple_of(2) }
}

fn answered(id: u64, status: u16) -> Saw {
    Saw::Answered { id, status, advised: true }
}

fn opened(id: u64, server: usize, build: u32) -> [Saw; 2] {
    [Saw::Trip { id, server, build }, Saw::Open { id, server, build, key: format!("k{id}") }]
}

fn shut(id: u64, server: usize, build: u32) -> Saw {
    Saw::Shut { id, server, build, code: Some(1001) }
}

/// Two sessions, one on each server, a drain of the first, and its session's end.
fn good() -> Vec<Entry> {
    let mut entries = vec![(0, asked(1)), (0, asked(2))];
    entries.extend(opened(1, 0, 41).map(|saw| (S, saw)));
    entries.extend(opened(2, 1, 41).map(|saw| (S, saw)));
    entries.extend([(S, answered(1, 101)), (S, answered(2, 101))]);
    entries.extend([(2 * S, Saw::Listed { server: 0, state: "draining" }), (3 * S, shut(1, 0, 41))]);
    entries
}

fn with(more: &[(u64, Saw)]) -> Found {
    check(&[good(), more.to_vec()].concat())
}

#[test]
fn a_good_run_breaks_nothing() {
    let found = with(&[]);
    let expected = Found { upgrades: 2, finished: 2, drain_close_worst_s: 1.0, ..Found::default() };
    assert_eq!(found, expected);
}

#[test_case(&[(4 * S, asked(3))], |f| f.answers_missing; "no answer")]
#[test_case(&[(4 * S, asked(3)), (5 * S, Saw::Answered { id: 3, status: 0, advised: false })], |f| f.answers_missing; "a close in place of an answer")]
#[test_case(&[(4 * S, answered(1, 503))], |f| f.answers_double; "a second answer")]
#[test_case(&[(4 * S, Saw::Trip { id: 1, server: 0, build: 41 })], |f| f.upgrades_after_drain; "a trip to a drained server")]
#[test_case(&[(4 * S, Saw::Trip { id: 2, server: 1, build: 41 })], |f| f.once_twice; "an order sent twice")]
#[test_case(&[(4 * S, Saw::Open { id: 9, server: 1, build: 41, key: "k2".to_owned() })], |f| f.double_sessions; "two sessions of a key")]
#[test_case(&[(4 * S, Saw::Answered { id: 1, status: 503, advised: false })], |f| f.turned_back_without_time; "no time to come back")]
fn each_break_is_found(more: &[(u64, Saw)], what: fn(&Found) -> usize) {
    assert_eq!(what(&with(&[])), 0);
    assert_eq!(what(&with(more)), 1);
}

#[test]
fn a_share_counts_a_second_after_a_change_and_past_two_sessions_and_a_part() {
    let mut entries = vec![(0, Saw::Told { build: 42, cap: 0.5 })];
    for id in 0..8 {
        entries.extend(opened(10 + id, 3, 42).map(|saw| (S / 2, saw)));
    }
    let early = check(&[entries.clone(), vec![(S, asked(1))]].concat());
    assert_eq!((early.share_misses, early.share_worst_excess), (0, 0.0));
    entries.extend([(2 * S, asked(1)), (3 * S, asked(2))]);
    let late = check(&entries);
    assert_eq!((late.share_misses, late.share_worst_excess), (1, 4.0));
}

#[test]
fn a_herd_is_the_worst_moment_over_an_even_spread() {
    let even: Vec<u64> = (0..100).map(|n| n * 10_000).collect();
    assert!((0.9..=1.1).contains(&herd(&even, S)));
    assert_eq!(herd(&[5; 100], S), 10.0);
}
