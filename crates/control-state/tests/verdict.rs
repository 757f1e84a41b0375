//! Verdicts from votes: bad versions are rolled back in time, good ones complete, and no gateway decides alone.

use std::net::Ipv4Addr;

use control_state::{Command, ControlState, RouteTally, VerdictSettings, VerdictTally, Vote, VoteChoice};
use types::{LogIndex, MS, Micros, NodeAddress, SECOND};

fn gateway_address(n: usize) -> NodeAddress {
    NodeAddress(Ipv4Addr::from(0x0a00_0001 + n as u32))
}

fn state_with_trial() -> ControlState {
    let mut state = ControlState::new();
    let seen = Command::Seen { service: "box".into(), version: "v1".into() };
    let order = Command::Rollout { service: "box".into(), target_version: "v2".into(), period: 12 * SECOND };
    state.apply(0, LogIndex(1), &seen.encode_v1());
    state.apply(0, LogIndex(2), &order.encode_v1());
    state
}

fn vote(choice: VoteChoice, trial: u32, failed: u32) -> Vote {
    let (base, base_failed) = (trial * 9, trial / 5);
    Vote {
        service: "box".into(),
        build_number: 2,
        choice,
        trial_outcomes: trial,
        trial_failures: failed,
        base_outcomes: base,
        base_failures: base_failed,
        order_age: 0,
        routes: vec![],
    }
}

/// A fleet under constant load. Each gateway sees a part of the trial's outcomes on four routes, some of which fail, and
/// votes once a second. Its own alarm is that of the design: a height of 6 nats after at least 10 outcomes.
struct SimulatedFleet {
    gateways: usize,
    /// Of the version on trial; the version in service has nine times as many.
    outcomes_per_s: f64,
    /// Failure rates of the version on trial by route, from `bad_from` on.
    bad_rates: [f64; 4],
    bad_from: Micros,
    /// Failure rate of the version in service, and the least one of the version on trial.
    usual_failure_rate: f64,
}

#[derive(Debug, PartialEq)]
struct TrialEnd {
    completed: bool,
    at: Micros,
    /// Failures of the version on trial.
    failed: u32,
}

impl SimulatedFleet {
    /// Runs 14 s of a trial with a period of 12 s and returns its end, if there was one.
    fn simulate(&self, seed: u64) -> Option<TrialEnd> {
        let (mut chance, state) = (random(seed), state_with_trial());
        let mut verdict_tally = VerdictTally::new(VerdictSettings::default());
        let mut gateways = vec![([RouteTally::default(); 4], [0f64; 4]); self.gateways];
        let mut failed = 0;
        for tick in 0..140i64 {
            let now = tick * 100 * MS;
            for (gateway, (tallies, heights)) in gateways.iter_mut().enumerate() {
                let outcomes = self.outcomes_per_s / 10.0 / self.gateways as f64;
                for outcome in 0..10 {
                    let on_trial = outcome == 0;
                    if chance() > outcomes {
                        continue;
                    }
                    // The first route gets most of the requests, the last a twentieth.
                    let draw = chance();
                    let route = [0.6, 0.85, 0.95].iter().position(|&part| draw < part).unwrap_or(3);
                    let bad = on_trial && now >= self.bad_from;
                    let rate = if bad {
                        self.bad_rates[route].max(self.usual_failure_rate)
                    } else {
                        self.usual_failure_rate
                    };
                    let fails = chance() < rate;
                    let tally = &mut tallies[route];
                    if !on_trial {
                        tally.base_outcomes += 1;
                        tally.base_failures += u32::from(fails);
                        continue;
                    }
                    failed += u32::from(fails);
                    tally.trial_outcomes += 1;
                    tally.trial_failures += u32::from(fails);
                    let base_rate = (f64::from(tally.base_failures) / f64::from(tally.base_outcomes.max(1)))
                        .clamp(0.05, 0.5);
                    let worse_rate = (3.0 * base_rate).min((1.0 + base_rate) / 2.0);
                    let log_ratio = if fails {
                        (worse_rate / base_rate).ln()
                    } else {
                        ((1.0 - worse_rate) / (1.0 - base_rate)).ln()
                    };
                    heights[route] = (heights[route] + log_ratio).max(0.0);
                }
                if (tick + gateway as i64) % 10 == 0 {
                    let sum = |part: fn(&RouteTally) -> u32| tallies.iter().map(part).sum::<u32>();
                    let alarm = (0..4).any(|at| heights[at] >= 6.0 && tallies[at].trial_outcomes >= 10);
                    let undecided_choice =
                        if now < 3 * SECOND { VoteChoice::Abstain } else { VoteChoice::Promote };
                    let mut vote = vote(if alarm { VoteChoice::RollBack } else { undecided_choice }, 0, 0);
                    (vote.trial_outcomes, vote.trial_failures) =
                        (sum(|t| t.trial_outcomes), sum(|t| t.trial_failures));
                    (vote.base_outcomes, vote.base_failures) =
                        (sum(|t| t.base_outcomes), sum(|t| t.base_failures));
                    vote.routes = (0..4).map(|at| RouteTally { route: at as u32, ..tallies[at] }).collect();
                    // One vote in fifty is lost.
                    if chance() > 0.02 {
                        verdict_tally.record(now, gateway_address(gateway), vote);
                    }
                }
            }
            match verdict_tally.verdicts(now, &state, self.gateways).first() {
                Some(Command::Verdict { completed, .. }) => {
                    return Some(TrialEnd { completed: *completed, at: now, failed });
                }
                _ => continue,
            }
        }
        None
    }
}

#[test]
fn bad_versions_are_rolled_back_within_the_acceptance_limits_at_every_size() {
    for gateways in [2, 9, 60] {
        for (bad_rates, bad_from) in
            [([0.5; 4], 0), ([0.35; 4], 3 * SECOND), ([0.9, 0.0, 0.0, 0.0], 6 * SECOND)]
        {
            for seed in 0..8 {
                let fleet = SimulatedFleet {
                    gateways,
                    outcomes_per_s: 20.0,
                    bad_rates,
                    bad_from,
                    usual_failure_rate: 0.01,
                };
                let end = fleet.simulate(seed).unwrap();
                // The limit of 50 bad answers, and what follows in 5 s at this rate, is never reached.
                assert!(!end.completed && end.failed < 50, "{gateways} {bad_rates:?} {seed} {end:?}");
            }
        }
    }
}

#[test]
fn a_fault_on_a_small_route_never_completes() {
    for seed in 0..40 {
        let fleet = SimulatedFleet {
            gateways: 10,
            outcomes_per_s: 30.0,
            bad_rates: [0.0, 0.0, 0.35, 0.0],
            bad_from: 0,
            usual_failure_rate: 0.01,
        };
        let end = fleet.simulate(seed);
        assert!(end.as_ref().is_none_or(|end| !end.completed), "{seed} {end:?}");
    }
}

#[test]
fn good_versions_complete_late_but_within_their_period() {
    let mut in_time = 0;
    for (gateways, usual_failure_rate) in [(2, 0.01), (9, 0.01), (9, 0.02), (60, 0.02)] {
        for seed in 0..10 {
            let fleet = SimulatedFleet {
                gateways,
                outcomes_per_s: 20.0,
                bad_rates: [0.0; 4],
                bad_from: 0,
                usual_failure_rate,
            };
            let end = fleet.simulate(seed);
            assert!(end.as_ref().is_none_or(|end| end.completed && end.at >= 9 * SECOND), "{seed} {end:?}");
            in_time += i32::from(end.is_some_and(|end| end.at < 12 * SECOND));
        }
    }
    assert!(in_time >= 37, "{in_time} of 40");
}

#[test]
fn one_gateway_alone_rolls_nothing_back_unless_others_see_failures_too() {
    let (state, settings) = (state_with_trial(), VerdictSettings::default());
    let simulate = |failures_of_others: u32, gateways_up: usize| {
        let mut verdict_tally = VerdictTally::new(settings.clone());
        let mut ends = Vec::new();
        for second in 1..8u32 {
            let now = Micros::from(second) * SECOND;
            for n in 1..gateways_up {
                verdict_tally.record(
                    now,
                    gateway_address(n),
                    vote(VoteChoice::Promote, 20 * second, failures_of_others * second),
                );
            }
            verdict_tally.record(now, gateway_address(0), vote(VoteChoice::RollBack, 10 + second, 6));
            ends.extend(verdict_tally.verdicts(now, &state, gateways_up));
        }
        ends
    };
    assert_eq!(simulate(0, 9), []);
    let roll_back = Command::Verdict { service: "box".into(), number: 2, completed: false };
    assert_eq!(simulate(4, 9)[0], roll_back);
    assert_eq!(simulate(0, 3)[0], roll_back);
}

#[test]
fn votes_expire_verdicts_are_repeated_and_votes_on_older_builds_are_dropped() {
    let state = state_with_trial();
    let mut verdict_tally = VerdictTally::new(VerdictSettings::default());
    let record = |verdict_tally: &mut VerdictTally, now: Micros, n: usize, number: u32| {
        let mut vote = vote(VoteChoice::RollBack, 12, 0);
        (vote.build_number, vote.base_outcomes) = (number, 0);
        verdict_tally.record(now, gateway_address(n), vote);
    };
    record(&mut verdict_tally, 0, 0, 1);
    record(&mut verdict_tally, 0, 1, 1);
    assert_eq!(verdict_tally.verdicts(0, &state, 9), []);
    record(&mut verdict_tally, 0, 0, 2);
    record(&mut verdict_tally, 3 * SECOND + 1, 1, 2);
    assert_eq!(verdict_tally.verdicts(3 * SECOND + 1, &state, 9), []);
    record(&mut verdict_tally, 4 * SECOND, 0, 2);
    assert_eq!(verdict_tally.verdicts(4 * SECOND, &state, 9).len(), 1);
    assert_eq!(verdict_tally.verdicts(5 * SECOND - 1, &state, 9), []);
    assert_eq!(verdict_tally.verdicts(5 * SECOND, &state, 9).len(), 1);
    // Votes ahead of the log are kept until the order is applied.
    let mut before_order = VerdictTally::new(VerdictSettings::default());
    record(&mut before_order, 0, 0, 2);
    record(&mut before_order, 0, 1, 2);
    assert_eq!(before_order.verdicts(0, &ControlState::new(), 9), []);
    assert_eq!(before_order.verdicts(1, &state, 9).len(), 1);
}

#[test]
fn restarted_control_nodes_learn_the_age_of_a_trial_from_gateways() {
    let mut restored = ControlState::new();
    restored.restore(100 * SECOND, LogIndex(2), &state_with_trial().snapshot()).unwrap();
    let mut verdict_tally = VerdictTally::new(VerdictSettings::default());
    let now = 101 * SECOND;
    for n in 0..5 {
        let mut vote = vote(VoteChoice::Promote, 20, 0);
        vote.order_age = (4 + n as Micros) * SECOND;
        verdict_tally.record(now, gateway_address(n), vote);
    }
    assert_eq!(verdict_tally.verdicts(now, &restored, 9), []);
    let completed = Command::Verdict { service: "box".into(), number: 2, completed: true };
    assert_eq!(verdict_tally.verdicts(now + SECOND, &restored, 9), [completed]);
    // Votes of half of the gateways, but not of more, are enough only near the end of the period.
    assert_eq!(verdict_tally.verdicts(now + 3 * SECOND, &restored, 11), []);
}

#[test]
fn outcomes_reported_before_the_base_rate_is_known_count_once_it_is() {
    let (state, settings) = (state_with_trial(), VerdictSettings::default());
    let mut verdict_tally = VerdictTally::new(settings);
    // Each gateway reports few outcomes: only with the fourth is the base failure rate known.
    for n in 0..4 {
        let (base, base_failed) = (8, 0);
        let vote =
            Vote { base_outcomes: base, base_failures: base_failed, ..vote(VoteChoice::Abstain, 8, 5) };
        verdict_tally.record(0, gateway_address(n), vote);
    }
    assert_eq!(verdict_tally.verdicts(0, &state, 9), []);
    for n in 0..3 {
        verdict_tally.record(
            SECOND,
            gateway_address(n),
            Vote { base_outcomes: 8, base_failures: 0, ..vote(VoteChoice::Abstain, 8, 5) },
        );
    }
    let roll_back = Command::Verdict { service: "box".into(), number: 2, completed: false };
    assert_eq!(verdict_tally.verdicts(SECOND, &state, 9), [roll_back]);
}

#[test]
fn a_failing_version_without_a_base_to_compare_with_is_not_completed_at_the_end_of_its_period() {
    let state = state_with_trial();
    let end = |failed: u32| {
        let mut verdict_tally = VerdictTally::new(VerdictSettings::default());
        for second in 0..14 {
            let now = second * SECOND;
            for n in 0..9 {
                let failed = if n == 0 { failed } else { 0 };
                let vote =
                    Vote { base_outcomes: 0, base_failures: 0, ..vote(VoteChoice::Promote, 2, failed) };
                verdict_tally.record(now, gateway_address(n), vote);
            }
            let ends = verdict_tally.verdicts(now, &state, 9);
            if let [Command::Verdict { completed, .. }] = ends.as_slice() {
                return Some(*completed);
            }
        }
        None
    };
    assert_eq!(end(2), Some(false));
    assert_eq!(end(0), Some(true));
}

#[test]
fn an_untried_version_waits_beyond_its_period_but_not_for_ever() {
    let state = state_with_trial();
    let ends = |trial: u32| {
        let mut verdict_tally = VerdictTally::new(VerdictSettings::default());
        (0..60 * 2).map(|half| half * SECOND / 2).find(|now| {
            (0..4).for_each(|n| {
                verdict_tally.record(*now, gateway_address(n), vote(VoteChoice::Promote, trial, 0))
            });
            verdict_tally
                .verdicts(*now, &state, 4)
                .iter()
                .any(|verdict| matches!(verdict, Command::Verdict { completed: true, .. }))
        })
    };
    assert!(ends(25).is_some_and(|at| at <= 12 * SECOND), "with a hundred good answers: {:?}", ends(25));
    assert_eq!(ends(1), Some(48 * SECOND), "with four it waits for four periods");
}

fn random(seed: u64) -> impl FnMut() -> f64 {
    let mut state = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
    move || {
        state = state.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        (state >> 11) as f64 / (1u64 << 53) as f64
    }
}
