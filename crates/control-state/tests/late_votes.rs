//! Outcomes in votes that arrive late, or after a gateway has been restarted, are not counted twice.

use std::net::Ipv4Addr;

use control_state::{Command, ControlState, VerdictSettings, VerdictTally, Vote, VoteChoice};
use types::{LogIndex, MS, Micros, NodeAddress, SECOND};

fn state_with_trial() -> ControlState {
    let mut state = ControlState::new();
    let seen = Command::Seen { service: "box".into(), version: "v1".into() };
    let order = Command::Rollout { service: "box".into(), target_version: "v2".into(), period: 60 * SECOND };
    state.apply(0, LogIndex(1), &seen.encode_v1());
    state.apply(0, LogIndex(2), &order.encode_v1());
    state
}

/// The vote of a gateway that has known of the order for `age` and judged five outcomes a second, of which one in ten
/// failed.
fn vote(age: Micros) -> Vote {
    let trial = (age / SECOND * 5) as u32;
    let (failed, base, base_failed) = (trial / 10, trial * 9, trial * 9 / 20);
    Vote {
        service: "box".into(),
        build_number: 2,
        choice: VoteChoice::Abstain,
        trial_outcomes: trial,
        trial_failures: failed,
        base_outcomes: base,
        base_failures: base_failed,
        order_age: age,
        routes: vec![],
    }
}

/// The verdicts and the counted trial outcomes for votes of two gateways of eight; the others see nothing. After each
/// vote, those that were sent `delays` before arrive once more. At `restart`, both gateways are restarted.
fn verdicts(delays: &[Micros], restart: Option<Micros>) -> (Vec<Command>, u64) {
    let (state, mut tally) = (state_with_trial(), VerdictTally::new(VerdictSettings::default()));
    let mut verdicts = Vec::new();
    for second in 1..=30 {
        let now = second * SECOND;
        for gateway in 0..2 {
            let address = NodeAddress(Ipv4Addr::new(10, 0, 0, gateway));
            let started = restart.filter(|started| now > *started).unwrap_or(0);
            tally.record(now, address, vote(now - started));
            for delay in delays.iter().filter(|delay| now - started > **delay) {
                tally.record(now + MS, address, vote(now - started - delay));
            }
        }
        verdicts.extend(tally.verdicts(now + 2 * MS, &state, 8));
    }
    (verdicts, tally.summary(30 * SECOND, "box").expect("votes").trial_outcomes)
}

#[test]
fn a_vote_that_arrives_after_a_newer_one_of_its_gateway_is_ignored() {
    let (without_delays, trial_outcomes) = verdicts(&[], None);
    assert_eq!((without_delays.len(), trial_outcomes), (0, 2 * 150), "twice the usual failures are no alarm");
    for delays in [&[2 * SECOND][..], &[5 * SECOND], &[2 * SECOND, 8 * SECOND]] {
        assert_eq!(verdicts(delays, None), (Vec::new(), 2 * 150), "{delays:?} late");
    }
}

#[test]
fn a_restarted_gateway_counts_from_zero_and_is_heard() {
    let (after_restart, trial_outcomes) = verdicts(&[], Some(12 * SECOND));
    assert_eq!(
        (after_restart.len(), trial_outcomes),
        (0, 2 * 90),
        "nobody reports the outcomes from before the restart"
    );
}
