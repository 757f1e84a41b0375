//! The count of votes: bad versions go back in time, good ones complete, and no one foyer decides alone.

use std::net::Ipv4Addr;

use control_state::{Command, ControlState, RouteTally, VerdictSettings, VerdictTally, Vote, VoteChoice};
use types::{LogIndex, MS, Micros, NodeAddress, SECOND};

fn place(n: usize) -> NodeAddress {
    NodeAddress(Ipv4Addr::from(0x0a00_0001 + n as u32))
}

fn script() -> ControlState {
    let mut script = ControlState::new();
    let seen = Command::Seen { service: "box".into(), version: "v1".into() };
    let order = Command::Rollout { service: "box".into(), target_version: "v2".into(), period: 12 * SECOND };
    script.apply(0, LogIndex(1), &seen.encode_v1());
    script.apply(0, LogIndex(2), &order.encode_v1());
    script
}

fn vote(voice: VoteChoice, trial: u32, failed: u32) -> Vote {
    let (base, base_failed) = (trial * 9, trial / 5);
    Vote {
        service: "box".into(),
        build_number: 2,
        choice: voice,
        trial_outcomes: trial,
        trial_failures: failed,
        base_outcomes: base,
        base_failures: base_failed,
        order_age: 0,
        routes: vec![],
    }
}

/// A fleet at one load: each foyer sees a part of the trial's outcomes on a few routes, fails some, and votes once a
/// second; its own alarm is the design's, h = 6 after 10 outcomes.
struct Fleet {
    foyers: usize,
    per_s: f64,
    /// Failure rates of the trial's outcomes by route, from a time on.
    bad: [f64; 4],
    from: Micros,
    /// Of the version in service, and of the one on trial where it is not bad.
    usual: f64,
}

#[derive(Debug, PartialEq)]
struct End {
    completed: bool,
    at: Micros,
    failed: u32,
}

impl Fleet {
    fn play(&self, seed: u64) -> Option<End> {
        let (mut chance, script) = (chance(seed), script());
        let mut count = VerdictTally::new(VerdictSettings::default());
        let mut foyers = vec![([RouteTally::default(); 4], [0f64; 4]); self.foyers];
        let mut failed = 0;
        for tick in 0..140i64 {
            let now = tick * 100 * MS;
            for (n, (tallies, heights)) in foyers.iter_mut().enumerate() {
                let outcomes = self.per_s / 10.0 / self.foyers as f64;
                for outcome in 0..10 {
                    let on_trial = outcome == 0;
                    if chance() > outcomes {
                        continue;
                    }
                    // The first route has most of the requests, the last a twentieth.
                    let drawn = chance();
                    let route = [0.6, 0.85, 0.95].iter().position(|&part| drawn < part).unwrap_or(3);
                    let bad = on_trial && now >= self.from;
                    let rate = if bad { self.bad[route].max(self.usual) } else { self.usual };
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
                    let p0 = (f64::from(tally.base_failures) / f64::from(tally.base_outcomes.max(1)))
                        .clamp(0.05, 0.5);
                    let p1 = (3.0 * p0).min((1.0 + p0) / 2.0);
                    let term = if fails { (p1 / p0).ln() } else { ((1.0 - p1) / (1.0 - p0)).ln() };
                    heights[route] = (heights[route] + term).max(0.0);
                }
                if (tick + n as i64) % 10 == 0 {
                    let sum = |part: fn(&RouteTally) -> u32| tallies.iter().map(part).sum::<u32>();
                    let alarm = (0..4).any(|at| heights[at] >= 6.0 && tallies[at].trial_outcomes >= 10);
                    let early = if now < 3 * SECOND { VoteChoice::Abstain } else { VoteChoice::Promote };
                    let mut vote = vote(if alarm { VoteChoice::RollBack } else { early }, 0, 0);
                    (vote.trial_outcomes, vote.trial_failures) =
                        (sum(|t| t.trial_outcomes), sum(|t| t.trial_failures));
                    (vote.base_outcomes, vote.base_failures) =
                        (sum(|t| t.base_outcomes), sum(|t| t.base_failures));
                    vote.routes = (0..4).map(|at| RouteTally { route: at as u32, ..tallies[at] }).collect();
                    // One in fifty is lost.
                    if chance() > 0.02 {
                        count.record(now, place(n), vote);
                    }
                }
            }
            match count.verdicts(now, &script, self.foyers).first() {
                Some(Command::Verdict { completed, .. }) => {
                    return Some(End { completed: *completed, at: now, failed });
                }
                _ => continue,
            }
        }
        None
    }
}

#[test]
fn bad_versions_go_back_before_the_rules_bite_at_every_size() {
    for foyers in [2, 9, 60] {
        for (bad, from) in [([0.5; 4], 0), ([0.35; 4], 3 * SECOND), ([0.9, 0.0, 0.0, 0.0], 6 * SECOND)] {
            for seed in 0..8 {
                let fleet = Fleet { foyers, per_s: 20.0, bad, from, usual: 0.01 };
                let end = fleet.play(seed).unwrap();
                // 50 bad answers and what comes in 5 s more at this rate are never reached.
                assert!(!end.completed && end.failed < 50, "{foyers} {bad:?} {seed} {end:?}");
            }
        }
    }
}

#[test]
fn a_fault_on_a_small_route_never_completes() {
    for seed in 0..40 {
        let fleet = Fleet { foyers: 10, per_s: 30.0, bad: [0.0, 0.0, 0.35, 0.0], from: 0, usual: 0.01 };
        let end = fleet.play(seed);
        assert!(end.as_ref().is_none_or(|end| !end.completed), "{seed} {end:?}");
    }
}

#[test]
fn good_versions_complete_late_but_within_their_period() {
    let mut in_time = 0;
    for (foyers, usual) in [(2, 0.01), (9, 0.01), (9, 0.02), (60, 0.02)] {
        for seed in 0..10 {
            let fleet = Fleet { foyers, per_s: 20.0, bad: [0.0; 4], from: 0, usual };
            let end = fleet.play(seed);
            assert!(end.as_ref().is_none_or(|end| end.completed && end.at >= 9 * SECOND), "{seed} {end:?}");
            in_time += i32::from(end.is_some_and(|end| end.at < 12 * SECOND));
        }
    }
    assert!(in_time >= 37, "{in_time} of 40");
}

#[test]
fn one_foyer_alone_sends_nothing_back_unless_others_see_it_too() {
    let (script, settings) = (script(), VerdictSettings::default());
    let play = |others_failed: u32, up: usize| {
        let mut count = VerdictTally::new(settings.clone());
        let mut ends = Vec::new();
        for second in 1..8u32 {
            let now = Micros::from(second) * SECOND;
            for n in 1..up {
                count.record(now, place(n), vote(VoteChoice::Promote, 20 * second, others_failed * second));
            }
            count.record(now, place(0), vote(VoteChoice::RollBack, 10 + second, 6));
            ends.extend(count.verdicts(now, &script, up));
        }
        ends
    };
    assert_eq!(play(0, 9), []);
    let back = Command::Verdict { service: "box".into(), number: 2, completed: false };
    assert_eq!(play(4, 9)[0], back);
    assert_eq!(play(0, 3)[0], back);
}

#[test]
fn votes_lapse_verdicts_wait_and_wrong_numbers_count_for_nothing() {
    let script = script();
    let mut count = VerdictTally::new(VerdictSettings::default());
    let cast = |count: &mut VerdictTally, now: Micros, n: usize, number: u32| {
        let mut vote = vote(VoteChoice::RollBack, 12, 0);
        (vote.build_number, vote.base_outcomes) = (number, 0);
        count.record(now, place(n), vote);
    };
    cast(&mut count, 0, 0, 1);
    cast(&mut count, 0, 1, 1);
    assert_eq!(count.verdicts(0, &script, 9), []);
    cast(&mut count, 0, 0, 2);
    cast(&mut count, 3 * SECOND + 1, 1, 2);
    assert_eq!(count.verdicts(3 * SECOND + 1, &script, 9), []);
    cast(&mut count, 4 * SECOND, 0, 2);
    assert_eq!(count.verdicts(4 * SECOND, &script, 9).len(), 1);
    assert_eq!(count.verdicts(5 * SECOND - 1, &script, 9), []);
    assert_eq!(count.verdicts(5 * SECOND, &script, 9).len(), 1);
    // Ahead of the log here: kept until its order comes.
    let mut early = VerdictTally::new(VerdictSettings::default());
    cast(&mut early, 0, 0, 2);
    cast(&mut early, 0, 1, 2);
    assert_eq!(early.verdicts(0, &ControlState::new(), 9), []);
    assert_eq!(early.verdicts(1, &script, 9).len(), 1);
}

#[test]
fn a_core_that_starts_again_learns_the_age_of_a_trial_from_its_foyers() {
    let mut late = ControlState::new();
    late.restore(100 * SECOND, LogIndex(2), &script().snapshot()).unwrap();
    let mut count = VerdictTally::new(VerdictSettings::default());
    let now = 101 * SECOND;
    for n in 0..5 {
        let mut vote = vote(VoteChoice::Promote, 20, 0);
        vote.order_age = (4 + n as Micros) * SECOND;
        count.record(now, place(n), vote);
    }
    assert_eq!(count.verdicts(now, &late, 9), []);
    let done = Command::Verdict { service: "box".into(), number: 2, completed: true };
    assert_eq!(count.verdicts(now + SECOND, &late, 9), [done]);
    // Half of them were heard, not more: enough only near the term.
    assert_eq!(count.verdicts(now + 3 * SECOND, &late, 11), []);
}

#[test]
fn what_a_new_leader_hears_before_it_knows_the_base_rate_counts_once_it_does() {
    let (script, settings) = (script(), VerdictSettings::default());
    let mut count = VerdictTally::new(settings);
    // Each foyer tells of few outcomes: only with the fourth is the version in service known well enough.
    for n in 0..4 {
        let (base, base_failed) = (8, 0);
        let vote =
            Vote { base_outcomes: base, base_failures: base_failed, ..vote(VoteChoice::Abstain, 8, 5) };
        count.record(0, place(n), vote);
    }
    assert_eq!(count.verdicts(0, &script, 9), []);
    for n in 0..3 {
        count.record(
            SECOND,
            place(n),
            Vote { base_outcomes: 8, base_failures: 0, ..vote(VoteChoice::Abstain, 8, 5) },
        );
    }
    let back = Command::Verdict { service: "box".into(), number: 2, completed: false };
    assert_eq!(count.verdicts(SECOND, &script, 9), [back]);
}

#[test]
fn a_version_that_fails_with_nothing_to_weigh_it_by_is_not_completed_at_its_term() {
    let script = script();
    let end = |failed: u32| {
        let mut count = VerdictTally::new(VerdictSettings::default());
        for second in 0..14 {
            let now = second * SECOND;
            for n in 0..9 {
                let failed = if n == 0 { failed } else { 0 };
                let vote =
                    Vote { base_outcomes: 0, base_failures: 0, ..vote(VoteChoice::Promote, 2, failed) };
                count.record(now, place(n), vote);
            }
            let ends = count.verdicts(now, &script, 9);
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
fn a_version_that_nobody_tried_waits_past_its_term_and_not_for_ever() {
    let script = script();
    let ends = |trial: u32| {
        let mut count = VerdictTally::new(VerdictSettings::default());
        (0..60 * 2).map(|half| half * SECOND / 2).find(|now| {
            (0..4).for_each(|n| count.record(*now, place(n), vote(VoteChoice::Promote, trial, 0)));
            count
                .verdicts(*now, &script, 4)
                .iter()
                .any(|verdict| matches!(verdict, Command::Verdict { completed: true, .. }))
        })
    };
    assert!(ends(25).is_some_and(|at| at <= 12 * SECOND), "with a hundred good answers: {:?}", ends(25));
    assert_eq!(ends(1), Some(48 * SECOND), "with four it waits for four periods");
}

fn chance(seed: u64) -> impl FnMut() -> f64 {
    let mut state = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
    move || {
        state = state.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        (state >> 11) as f64 / (1u64 << 53) as f64
    }
}
