//! VoteSummary that come late, or after a foyer has begun a new life, are not counted once more.

use std::net::Ipv4Addr;

use control_state::{Command, ControlState, VerdictSettings, VerdictTally, Vote, VoteChoice};
use types::{LogIndex, MS, Micros, NodeAddress, SECOND};

fn script() -> ControlState {
    let mut script = ControlState::new();
    let seen = Command::Seen { service: "box".into(), version: "v1".into() };
    let order = Command::Rollout { service: "box".into(), target_version: "v2".into(), period: 60 * SECOND };
    script.apply(0, LogIndex(1), &seen.encode_v1());
    script.apply(0, LogIndex(2), &order.encode_v1());
    script
}

/// A foyer that knows of the order for `age`, and has judged five outcomes a second: one of ten fails.
fn vote(age: Micros) -> Vote {
    let trial = (age / SECOND * 5) as u32;
    let (failed, base, base_failed) = (trial / 10, trial * 9, trial * 9 / 20);
    let voice = VoteChoice::Abstain;
    Vote {
        service: "box".into(),
        build_number: 2,
        choice: voice,
        trial_outcomes: trial,
        trial_failures: failed,
        base_outcomes: base,
        base_failures: base_failed,
        order_age: age,
        routes: vec![],
    }
}

/// VoteSummary of two foyers of eight, the others see nothing; after each, some that they sent before come again.
fn verdicts(late: &[Micros], life: Option<Micros>) -> (Vec<Command>, u64) {
    let (script, mut count) = (script(), VerdictTally::new(VerdictSettings::default()));
    let mut verdicts = Vec::new();
    for second in 1..=30 {
        let now = second * SECOND;
        for foyer in 0..2 {
            let place = NodeAddress(Ipv4Addr::new(10, 0, 0, foyer));
            let began = life.filter(|began| now > *began).unwrap_or(0);
            count.record(now, place, vote(now - began));
            for before in late.iter().filter(|before| now - began > **before) {
                count.record(now + MS, place, vote(now - began - before));
            }
        }
        verdicts.extend(count.verdicts(now + 2 * MS, &script, 8));
    }
    (verdicts, count.summary(30 * SECOND, "box").expect("votes").trial_outcomes)
}

#[test]
fn a_vote_that_comes_after_a_later_one_of_its_foyer_counts_for_nothing() {
    let (quiet, trial) = verdicts(&[], None);
    assert_eq!((quiet.len(), trial), (0, 2 * 150), "twice the usual failures are no alarm");
    for late in [&[2 * SECOND][..], &[5 * SECOND], &[2 * SECOND, 8 * SECOND]] {
        assert_eq!(verdicts(late, None), (Vec::new(), 2 * 150), "{late:?} late");
    }
}

#[test]
fn a_new_life_of_a_foyer_begins_anew_and_is_heard() {
    let (none, trial) = verdicts(&[], Some(12 * SECOND));
    assert_eq!((none.len(), trial), (0, 2 * 90), "the last life's outcomes are told by nobody");
}
