//! Each rule's checker, on a recorded run that breaks it and on the same run without the breach.

use configuration::RouteKind;
use rehearsal::rules::{ALL, Rule, Terms, check};
use rehearsal::seen::{Answer, Seen, What};
use types::{MS, Micros, SECOND};

fn at(second: f64, what: What) -> Seen {
    Seen { at: (second * 1e6) as Micros, what }
}

fn sent(order: u32, base: u32, version: u32, valid: bool) -> What {
    What::Sent { order, base, version, valid, allows: vec![(0, 0), (1, 1)], added: vec![8] }
}

fn handled(request: u64, life: u64, version: u32, second: f64) -> Seen {
    let sent = (second * 1e6) as Micros;
    at(second, What::Handled { request, sent, foyer: 5, life, version, service: 0 })
}

fn asked(request: u64, kind: RouteKind) -> What {
    What::Asked { request, route: if kind == RouteKind::Safe { 0 } else { 1 }, kind }
}

fn ran(request: u64, service: usize, version: u32) -> What {
    What::Ran { request, foyer: 5, instance: 1, service, version }
}

fn arrived(request: u64, asked_for: usize) -> What {
    What::Arrived { request, foyer: 5, instance: 2, service: 0, asked_for }
}

/// A run that keeps every rule: two changes, requests, a drain, a leader, a good end.
fn good() -> Vec<Seen> {
    let mut run = vec![
        at(0.0, What::Shape { core: 3, routes: 6 }),
        at(0.1, What::Leads { term: 2, machine: 0, life: 1 }),
        at(0.5, sent(0, 0, 3, true)),
        at(0.6, What::Acked { order: 0, by: 0 }),
        at(5.0, sent(1, 3, 5, true)),
        at(5.0, sent(2, 3, 6, true)),
        at(5.0, sent(3, 3, 9, false)),
        at(5.1, What::Acked { order: 1, by: 0 }),
        at(5.1, What::Denied { order: 2, status: 412 }),
        at(5.1, What::Denied { order: 3, status: 400 }),
        at(6.0, asked(1, RouteKind::Unsafe)),
        handled(1, 1, 5, 6.0),
        at(6.1, arrived(1, 0)),
        at(6.1, ran(1, 1, 1)),
        at(6.2, What::Answered { request: 1, answer: Answer::Good }),
        at(8.0, What::DrainAcked { instance: 1, by: 0 }),
        at(9.0, asked(2, RouteKind::Safe)),
        handled(2, 1, 5, 9.0),
        at(9.1, arrived(2, 0)),
        at(9.1, ran(2, 0, 1)),
        at(10.0, What::Calm),
        at(10.1, sent(4, 5, 20, true)),
        at(10.2, What::Acked { order: 4, by: 0 }),
    ];
    for request in 100..130 {
        let second = 16.0 + request as f64 / 100.0;
        run.push(at(second, asked(request, RouteKind::Safe)));
        run.push(at(second + 0.1, What::Answered { request, answer: Answer::Good }));
    }
    run.extend(probes(1, Answer::Good, 17.0));
    run.push(at(20.0, What::Read { asked: 19 * SECOND, version: 20, right: true }));
    run
}

/// The run with more seen in it, in the order of time.
fn with(more: Vec<Seen>) -> Vec<Seen> {
    let mut run = good();
    run.extend(more);
    run.sort_by_key(|seen| seen.at);
    run
}

fn broken(run: &[Seen]) -> Vec<Rule> {
    check(run, &Terms::default()).into_iter().map(|broken| broken.rule).collect()
}

/// More tries of requests for service 0 than the budget allows, at 12 s.
fn tries(extra: u64) -> Vec<Seen> {
    let more = (0..=extra).map(|_| at(12.0, arrived(50, 0)));
    std::iter::once(handled(50, 1, 5, 11.9)).chain(more).collect()
}

/// Requests at a version that is bad, `bad` of them answered badly at once.
fn trial(count: u64, bad: u64, from: f64) -> Vec<Seen> {
    let ordered = What::Ordered { service: 0, version: 2, bad: true, term: 15 * SECOND };
    let mut run = vec![at(5.5, ordered), at(5.6, What::OrderAcked { service: 0, version: 2 })];
    for request in 0..count {
        run.push(at(5.6, asked(1_000 + request, RouteKind::Safe)));
        run.push(at(from, ran(1_000 + request, 0, 2)));
    }
    run.extend((0..bad).map(|_| at(5.7, What::BadAnswer { service: 0, version: 2 })));
    run
}

/// Requests at foyer 5 for a route that came later and that all configurations have.
fn probes(count: u64, answer: Answer, second: f64) -> Vec<Seen> {
    let mut run = Vec::new();
    for request in 2_000..2_000 + count {
        let request = request + if answer == Answer::Good { 500 } else { 0 };
        run.push(at(second, What::Asked { request, route: 8, kind: RouteKind::Safe }));
        run.push(handled(request, 1, 20, second));
        run.push(at(second + 0.01, What::Answered { request, answer }));
    }
    if answer == Answer::Nothing {
        // Others are served meanwhile, by the same foyer.
        for request in 3_000..3_030 {
            run.push(at(second, asked(request, RouteKind::Safe)));
            run.push(handled(request, 1, 20, second));
            run.push(at(second + 0.01, What::Answered { request, answer: Answer::Good }));
        }
    }
    run
}

/// One kind of request is not served, the others are.
fn unkind() -> Vec<Seen> {
    (4_000..4_030).map(|request| at(17.0, asked(request, RouteKind::Unsafe))).collect()
}

fn planned() -> Seen {
    at(5.9, What::Planned { machine: 5, until: 8 * SECOND })
}

fn off(request: u64, passed: bool, second: f64) -> Seen {
    at(second, What::BrokenOff { request, foyer: 5, passed })
}

fn denied(order: u32, second: f64) -> Seen {
    at(second, What::Denied { order, status: 412 })
}

fn ordered(second: f64) -> Seen {
    at(second, What::Ordered { service: 3, version: 2, bad: false, term: 25 * SECOND })
}

fn leaving(count: u32, second: f64) -> Vec<Seen> {
    (50..50 + count).map(|instance| at(second, What::Leaving { instance })).collect()
}

/// Further tries that come to other instances' addresses.
fn turned_away(extra: u64) -> Vec<Seen> {
    let more = (0..=extra).map(|_| at(12.0, What::TurnedAway { request: 50, asked_for: 0 }));
    std::iter::once(handled(50, 1, 5, 11.9)).chain(more).collect()
}

/// A request reaches a bad version though it was sent `RollbackS` after the 50th bad answer.
fn trial_after(second: f64) -> Vec<Seen> {
    let mut run = trial(0, 50, 0.0);
    run.push(at(second, asked(900, RouteKind::Safe)));
    run.push(at(second + 0.1, ran(900, 0, 2)));
    run
}

/// One core machine of three stands still from 4 s to 20 s: the core settles `ContactS` after it began.
fn frozen_core(seen: Seen) -> Vec<Seen> {
    let until = 20 * SECOND;
    vec![at(4.0, What::Unsettled { until: 4 * SECOND }), at(4.0, What::Impaired { machine: 1, until }), seen]
}

fn waited(ms: Micros) -> Seen {
    at(12.0, What::Waited { machine: 1, took: ms * MS })
}

/// Another change on the newest version, after one on it was refused.
fn sent_on(order: u32, second: f64) -> Seen {
    at(second, sent(order, 20, 31 + order, true))
}

/// A change without an answer is seen in force, and refused when it is sent again.
fn in_force_and_denied() -> Vec<Seen> {
    let links = at(11.9, What::Links { until: 18 * SECOND });
    vec![links, at(12.0, sent(9, 5, 30, true)), handled(3, 1, 30, 18.0), denied(9, 18.1)]
}

/// A roll-out's order is refused; what was acknowledged before counts.
fn refused_trial(acked: f64) -> Vec<Seen> {
    let of = |second, what: What| at(second, what);
    vec![
        of(5.5, What::Ordered { service: 3, version: 2, bad: false, term: 9 * SECOND }),
        of(acked, What::OrderAcked { service: 3, version: 2 }),
        of(5.9, What::OrderDenied { service: 3, version: 2 }),
    ]
}

fn ready(version: u32, second: f64) -> Seen {
    at(second, What::Ready { foyer: 7, life: 2, version })
}

/// One of three core machines is cut off all the while: most of the core is well.
fn one_away(seen: Seen) -> Vec<Seen> {
    vec![at(4.0, What::Impaired { machine: 1, until: 20 * SECOND }), seen]
}

/// A core machine that is cut off acknowledges a drain at 8 s; a foyer in touch asks that instance later.
fn cut_off_hub(second: f64) -> Vec<Seen> {
    let arrived = What::Arrived { request: 9, foyer: 5, instance: 3, service: 0, asked_for: 0 };
    let harmed = What::Harmed { machine: 1, until: 20 * SECOND };
    vec![at(4.0, harmed), at(8.0, What::DrainAcked { instance: 3, by: 1 }), at(second, arrived)]
}

fn stands(version: u32, second: f64) -> Seen {
    at(second, What::Stands { machine: 2, version })
}

#[test]
fn a_good_run_breaks_none_of_the_rules_of_the_worst_days() {
    assert_eq!(broken(&with(vec![waited(900)])), []);
    // Two on the newest version: one of them is refused. And one that is not on the newest.
    let two = vec![at(10.3, sent(9, 20, 30, true)), at(10.3, sent(10, 20, 31, true)), denied(9, 10.4)];
    assert_eq!(broken(&with([two, vec![denied(10, 10.5)]].concat())), []);
    assert_eq!(broken(&with(vec![at(10.3, sent(9, 5, 30, true)), denied(9, 10.4)])), []);
    assert_eq!(broken(&with(refused_trial(5.95))), [], "it was refused first");
    assert_eq!(broken(&with(vec![ready(5, 8.2), ready(3, 8.0)])), []);
    let two = at(4.0, What::Impaired { machine: 2, until: 6 * SECOND });
    assert_eq!(broken(&with([one_away(ready(3, 8.2)), vec![two]].concat())), [], "most were lost");
    assert_eq!(broken(&with(cut_off_hub(10.4))), []);
    assert_eq!(broken(&with(vec![stands(20, 20.2)])), []);
    let harmed = at(13.0, What::Harmed { machine: 2, until: 14 * SECOND });
    assert_eq!(broken(&with(vec![stands(5, 20.2), harmed])), [], "it has been back for 6.2 s only");
    assert_eq!(broken(&with(vec![at(6.2, What::Stamped { request: 1, of: 1 })])), []);
}

#[test]
fn a_good_run_breaks_nothing() {
    assert_eq!(broken(&good()), []);
    assert_eq!(broken(&with(tries(58))), []);
    assert_eq!(broken(&with(trial(50, 49, 14.0))), []);
    assert_eq!(broken(&with(trial_after(10.6))), []);
    assert_eq!(broken(&with(turned_away(58))), []);
    assert_eq!(broken(&with(probes(5, Answer::NoRoute, 17.5))), []);
    assert_eq!(broken(&with(leaving(2, 14.0))), []);
    assert_eq!(broken(&with(vec![planned(), off(1, false, 6.15)])), []);
    assert_eq!(broken(&with(vec![off(1, true, 6.15)])), [], "no process was told to end");
    let harmed = at(6.0, What::Harmed { machine: 5, until: 6 * SECOND });
    assert_eq!(broken(&with(vec![planned(), harmed, off(1, true, 6.15)])), []);
    let links = at(13.0, What::Links { until: 13 * SECOND });
    assert_eq!(broken(&with(vec![at(12.0, sent(9, 20, 30, true)), links])), []);
    // Two of three stand still: the core is not settled.
    let two = at(4.0, What::Impaired { machine: 2, until: 20 * SECOND });
    assert_eq!(broken(&with([frozen_core(handled(3, 2, 3, 8.6)), vec![two]].concat())), []);
}

#[test]
fn each_rule_is_broken_by_its_own_breach_alone() {
    let unserved = |mut run: Vec<Seen>| {
        run.retain(|seen| seen.at < 16 * SECOND || !matches!(seen.what, What::Answered { .. }));
        run
    };
    let unacked = |mut run: Vec<Seen>| {
        run.retain(|seen| !matches!(seen.what, What::Acked { order: 4, .. }));
        // Links in trouble excuse that there is no answer, and not that nothing goes on.
        run.insert(1, at(0.05, What::Links { until: 10_300 * MS }));
        run
    };
    let late_one = What::Arrived { request: 9, foyer: 5, instance: 1, service: 0, asked_for: 0 };
    let read = |version, right| at(20.1, What::Read { asked: 20 * SECOND, version, right });
    let cases: Vec<(Rule, Vec<Seen>)> = vec![
        (Rule::Lost, with(vec![read(5, true)])),
        (Rule::Lost, with(vec![read(20, false)])),
        (Rule::Lost, with(vec![at(20.2, What::Unread)])),
        (Rule::Lost, with(vec![at(20.2, What::RolloutLost { service: 0, version: 2 })])),
        (Rule::Winner, with(vec![at(5.0, sent(7, 3, 4, true)), at(5.3, What::Acked { order: 7, by: 1 })])),
        (Rule::Repeat, with(vec![at(9.5, What::Denied { order: 1, status: 412 })])),
        (Rule::Winner, with(vec![at(9.5, What::Acked { order: 2, by: 1 })])),
        (Rule::Invalid, with(vec![at(5.0, sent(7, 4, 4, false)), at(5.3, What::Acked { order: 7, by: 1 })])),
        (Rule::Invalid, with(vec![handled(3, 2, 6, 6.0)])),
        (Rule::Invalid, with(vec![handled(3, 2, 7, 6.0)])),
        (Rule::Back, with(vec![handled(3, 1, 3, 6.5)])),
        (Rule::Applied, with(vec![handled(3, 2, 3, 7.7)])),
        (Rule::Drain, with(vec![at(10.6, late_one)])),
        (Rule::Twice, with(vec![at(6.4, ran(1, 1, 1))])),
        (Rule::Refused, with(vec![at(6.4, What::Answered { request: 1, answer: Answer::Promise })])),
        (Rule::Route, with(vec![at(9.2, ran(2, 1, 1))])),
        (Rule::Route, with(vec![at(9.2, ran(2, 0, 4))])),
        (Rule::Route, with(vec![at(9.2, arrived(2, 3))])),
        (Rule::Budget, with(tries(70))),
        (Rule::Exposure, with(trial(60, 10, 14.0))),
        (Rule::Leader, with(vec![at(1.0, What::Leads { term: 2, machine: 1, life: 1 })])),
        (Rule::Progress, unacked(good())),
        (Rule::Served, unserved(good())),
        (Rule::Served, with(unkind())),
        (Rule::Denied, with(probes(8, Answer::NoRoute, 17.5))),
        (Rule::Added, with(probes(90, Answer::Nothing, 17.5))),
        (Rule::BrokenOff, with(vec![planned(), off(1, true, 6.15)])),
        (Rule::BrokenOff, with(vec![planned(), off(1, false, 6.3)])),
        (Rule::Unanswered, with(vec![at(12.0, sent(9, 20, 30, true))])),
        (Rule::Unanswered, with(vec![at(12.0, sent(9, 5, 30, true)), denied(9, 17.1)])),
        (Rule::Unanswered, with(vec![ordered(12.0), at(17.2, What::OrderAcked { service: 3, version: 2 })])),
        (Rule::Unanswered, with(leaving(3, 14.0))),
        (Rule::Budget, with(turned_away(70))),
        (Rule::Exposure, with(trial_after(10.8))),
        (Rule::Applied, with(frozen_core(handled(3, 2, 3, 8.6)))),
        (Rule::Answered, with(vec![waited(901)])),
        (Rule::Newest, with(vec![at(10.3, sent(9, 20, 30, true)), denied(9, 10.4)])),
        (
            Rule::Newest,
            with(vec![at(10.3, sent(9, 20, 30, true)), denied(9, 10.4), sent_on(10, 10.5), denied(10, 10.6)]),
        ),
        (Rule::Repeat, with(in_force_and_denied())),
        (Rule::Repeat, with(refused_trial(5.6))),
        (Rule::Trial, with(vec![at(12.0, What::Retried { service: 0, version: 2 })])),
        (Rule::Stale, with(vec![ready(3, 8.2)])),
        (Rule::Stale, with(one_away(ready(3, 8.2)))),
        (Rule::Untold, with(cut_off_hub(10.6))),
        (Rule::Behind, with(vec![stands(5, 20.2)])),
        (Rule::Mixed, with(vec![at(6.2, What::Stamped { request: 1, of: 2 })])),
    ];
    for (number, (rule, run)) in cases.iter().enumerate() {
        assert_eq!(broken(run), [*rule], "case {number}");
    }
    for (rule, _) in ALL {
        assert!(cases.iter().any(|(broken, _)| *broken == rule), "{rule:?} has a case");
    }
}

#[test]
fn bounds_in_time_hold_only_for_machines_in_touch() {
    let late = || handled(3, 2, 3, 7.7);
    let harmed = |machine, second: f64, until: f64| {
        at(second, What::Harmed { machine, until: (until * 1e6) as Micros })
    };
    assert_eq!(broken(&with(vec![late(), harmed(5, 4.0, 4.8)])), []);
    assert_eq!(broken(&with(vec![late(), harmed(6, 4.0, 4.8)])), [Rule::Applied]);
    assert_eq!(broken(&with(vec![late(), harmed(5, 3.0, 4.5)])), [Rule::Applied]);
    let unsettled = at(4.0, What::Unsettled { until: 4_700 * MS });
    assert_eq!(broken(&with(vec![late(), unsettled])), []);
}
