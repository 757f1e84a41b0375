//! Tests with the settings that the gateways of the whole system use.

use garnetdoor::host::*;

use test_case::test_case;

use crate::fake::{MS, S, TestGateway, rollout, server};

fn fleet(count: u32) -> Vec<ServerInfo> {
    (0..count).map(|id| server(id, 1)).collect()
}

/// The settings of two profiles, the second as given.
fn two_profiles(second: &[(&str, &str)]) -> Settings {
    let first = [("classes.count", "2"), ("classes.0.on_time", "0.5"), ("classes.0.repeat", "safe")];
    first.iter().chain(second).copied().collect()
}

#[test]
fn removed_profiles_are_forgotten() {
    let mut gateway = TestGateway::new(&[], fleet(4));
    gateway.run(20, 2, &[], 0, AttemptOutcome::Succeeded);
    gateway
        .balancer
        .settings_changed(two_profiles(&[("policy_limits.try_limit", "2"), ("classes.1.repeat", "safe")]));
    let request = gateway.request(1);
    gateway.end_attempt(request, 0, 10 * MS, AttemptOutcome::Error);
    assert_eq!(gateway.servers_tried(request).len(), 2, "what was unsafe to repeat is safe now");
    let signals = |gateway: &TestGateway, profile| {
        let records = gateway.balancer.state.records.values().flat_map(|records| records.keys());
        records.filter(|signal| signal.profile() == Some(ProfileId(profile))).count()
    };
    assert_eq!(
        (signals(&gateway, 1), signals(&gateway, 2)),
        (1, 0),
        "outcomes of the removed profile 2 are forgotten"
    );
    gateway.advance(21 * S);
    assert!(gateway.balancer.state.samples.is_empty(), "no samples are kept of a profile without requests");
    let stray = gateway.request(900);
    gateway.end_attempt(stray, 0, 10 * MS, AttemptOutcome::Error);
    assert_eq!(gateway.answers(stray), ["failed"], "requests of an unlisted profile are unsafe to repeat");
}

/// Servers 0 to 4 of build 1, 100 to 109 of build 2 and 200 of build 3.
fn builds() -> Vec<ServerInfo> {
    let of = |id| server(id, id / 100 + 1);
    (0..5).chain(100..110).chain([200]).map(of).collect()
}

const SINCE_START: &[(&str, &str)] = &[("domain.exposure_since", "order"), ("domain.exposure_caps", "0")];

#[test]
fn exposure_counts_from_the_start_of_each_rollout() {
    let mut gateway = TestGateway::new(SINCE_START, builds());
    let trial = |gateway: &TestGateway| (100..110).map(|id| gateway.sent_to(id)).sum::<usize>();
    gateway.run(50, 0, &[], 0, AttemptOutcome::Succeeded);
    assert_eq!(trial(&gateway), 0, "without a rollout, earlier requests allow no exposure");
    gateway.balancer.rollout_updated(rollout(2, 1, RolloutPhase::InTrial, 0.1));
    for pause in [0, 60 * S, 600 * S] {
        gateway.advance(pause);
        gateway.balancer.rollout_updated(rollout(2, 1, RolloutPhase::InTrial, 0.1));
        gateway.run(100, 0, &[], 0, AttemptOutcome::Succeeded);
    }
    // Three attempts are free per rollout, not per update of it.
    assert!((28..=33).contains(&trial(&gateway)), "{}", trial(&gateway));
    gateway.balancer.rollout_updated(rollout(2, 1, RolloutPhase::RolledBack, 0.0));
    gateway.run(50, 0, &[], 0, AttemptOutcome::Succeeded);
    assert!(trial(&gateway) <= 33, "a build that is rolled back gets nothing");
    gateway.balancer.rollout_updated(rollout(2, 1, RolloutPhase::InTrial, 0.1));
    gateway.run(100, 0, &[], 0, AttemptOutcome::Succeeded);
    assert!((38..=46).contains(&trial(&gateway)), "{}", trial(&gateway));
    assert_eq!(gateway.sent_to(200), 0, "nor does one without a rollout");
}

const RETRY_BUDGET: &[(&str, &str)] = &[
    ("policy_limits.retry_ratio", "0.1"),
    ("policy_limits.retry_slack", "1.5"),
    ("policy_limits.retry_window", "30"),
];

/// The times of `count` requests, all of whose attempts end with `outcome`, and of their retries.
fn request_and_retry_times(
    outcome: AttemptOutcome, pause: impl Fn(usize) -> Micros, count: usize,
) -> [Vec<Micros>; 2] {
    let mut gateway = TestGateway::new(RETRY_BUDGET, fleet(8));
    let [mut requests, mut retries] = [Vec::new(), Vec::new()];
    for round in 0..count {
        gateway.advance(pause(round));
        let now = gateway.read(|recorded| recorded.now);
        let request = gateway.request(0);
        requests.push(now);
        (0..4).for_each(|attempt| gateway.end_attempt(request, attempt, MS, outcome));
        let count = gateway.servers_tried(request).len().saturating_sub(1);
        retries.extend(std::iter::repeat_n(now, count));
        gateway.balancer.client_disconnected(RequestId(request));
    }
    [requests, retries]
}

#[test_case(|_| 100 * MS; "an even stream")]
#[test_case(|n| if n % 40 == 0 { 20 * S } else { 20 * MS }; "bursts")]
fn retries_in_any_window_keep_to_the_platforms_budget(pause: fn(usize) -> Micros) {
    let [requests, retries] = request_and_retry_times(AttemptOutcome::Error, pause, 600);
    let within =
        |times: &[Micros], end: Micros| times.iter().filter(|t| (end - 30 * S..=end).contains(t)).count();
    for end in &retries {
        let (more, all) = (within(&retries, *end), within(&requests, *end));
        assert!(more as f64 <= 0.1 * all as f64 + 1.5, "{more} beside {all}");
    }
    assert!(retries.len() >= 55, "the budget is used: {}", retries.len());
}

#[test_case(AttemptOutcome::ConnectFailed)]
#[test_case(AttemptOutcome::NeverSent)]
fn an_attempt_that_reached_no_server_uses_no_retry_budget(outcome: AttemptOutcome) {
    let [_, retries] = request_and_retry_times(outcome, |_| 100 * MS, 50);
    assert!(retries.len() >= 50, "each request is retried: {}", retries.len());
}

/// A request that another server at a reused address has rejected (421) has arrived, so that the next attempt
/// uses the budget. It has not run, so that an unsafe request is retried, and it says nothing about the
/// server it was meant for.
#[test]
fn a_misdirected_attempt_uses_the_retry_budget() {
    let [requests, retries] = request_and_retry_times(AttemptOutcome::Misdirected, |_| 100 * MS, 50);
    assert!(
        retries.len() as f64 <= 0.1 * requests.len() as f64 + 1.5 && !retries.is_empty(),
        "{}",
        retries.len()
    );
    let mut gateway = TestGateway::new(&[], fleet(4));
    let request = gateway.request(1);
    gateway.end_attempt(request, 0, MS, AttemptOutcome::Misdirected);
    assert_eq!((gateway.servers_tried(request).len(), gateway.answers(request).len()), (2, 0));
    assert!(
        !AttemptOutcome::Misdirected.is_server_evidence() && AttemptOutcome::Rejected.is_server_evidence()
    );
}

#[test]
fn each_profile_has_its_own_limit_of_attempts_and_an_upload_never_runs_twice() {
    let settings =
        [("classes.0.try_limit", "2"), ("classes.1.repeat", "upload"), ("classes.1.try_limit", "3")];
    let mut gateway = TestGateway::new(&settings, fleet(8));
    gateway.run(30, 2, &[], 0, AttemptOutcome::Succeeded);
    let mut attempts = |profile, outcome| {
        let request = gateway.request(profile);
        for attempt in 0..4 {
            gateway.end_attempt(request, attempt, MS, outcome);
        }
        (gateway.servers_tried(request).len(), gateway.answers(request)[0])
    };
    assert_eq!(attempts(0, AttemptOutcome::Error), (2, "rejected"));
    assert_eq!(attempts(1, AttemptOutcome::Rejected), (3, "rejected"));
    for may_have_run in
        [AttemptOutcome::Reset, AttemptOutcome::TimedOut, AttemptOutcome::Error, AttemptOutcome::Cancelled]
    {
        assert_eq!(attempts(1, may_have_run), (1, "failed"), "{may_have_run:?}");
    }
}

#[test]
fn in_an_overload_the_lower_rank_is_rejected_first_whatever_its_value() {
    let ranks = [("classes.0.rank", "2"), ("classes.1.rank", "0"), ("classes.1.worth", "0.01")];
    let mut gateway = TestGateway::new(&ranks, fleet(4));
    let everyone: Vec<u32> = (0..4).collect();
    // Answers take nearly the target latency: longer than the last in rank may wait, shorter than the first
    // may.
    let rejections = |gateway: &mut TestGateway, profile| {
        let before = gateway.read(|recorded| recorded.answers.len());
        gateway.run(40, profile, &everyone, 450 * MS, AttemptOutcome::Succeeded);
        gateway.read(|recorded| recorded.answers.len()) - before
    };
    assert_eq!(rejections(&mut gateway, 0), 0, "alone it competes with no other profile");
    assert_eq!(rejections(&mut gateway, 1), 0, "the first in rank may wait");
    assert!(rejections(&mut gateway, 0) >= 20, "beside it the last in rank may not");
}

#[test]
fn retry_after_is_within_what_clients_keep_to() {
    let share = [("policy_limits.retry_after_share", "0.33"), ("policy_limits.max_retry_after", "5")];
    let mut gateway = TestGateway::new(&share, vec![]);
    let last_retry_after =
        |gateway: &TestGateway| gateway.read(|recorded| *recorded.retry_afters.last().expect("rejected"));
    for _ in 0..20 {
        gateway.request(0);
        let wait = last_retry_after(&gateway).expect("2 s are left");
        assert!((320 * MS..=640 * MS).contains(&wait), "{wait}");
    }
    gateway.balancer.server_list_replaced(fleet(1));
    let request = gateway.request(0);
    gateway.advance(1950 * MS);
    gateway.end_attempt(request, 0, 1950 * MS, AttemptOutcome::Rejected);
    assert_eq!(last_retry_after(&gateway), None, "without time left there is no Retry-After");
}

#[test]
fn the_state_stays_bounded_over_weeks() {
    let mut gateway = TestGateway::new(SINCE_START, vec![]);
    for week in 1..60 {
        gateway.balancer.server_list_replaced((0..9).map(|id| server(100 * week + id, week)).collect());
        gateway.advance(600 * S);
        gateway.run(40, week as usize % 3, &[], 0, AttemptOutcome::Succeeded);
    }
    let state = &gateway.balancer.state;
    let kept = [
        state.records.len(),
        state.servers.len(),
        state.requests.len(),
        state.samples.len(),
        state.trial_attempts.0.len(),
    ];
    assert!(kept.iter().zip([16, 9, 0, 1, 0]).all(|(kept, most)| *kept <= most), "{kept:?}");
}

#[test]
fn where_late_answers_count_a_failed_attempt_is_retried_until_the_client_gives_up() {
    let attempts_if = |late_counts| {
        let mut gateway = TestGateway::new(&[("domain.late_counts", late_counts)], fleet(8));
        gateway.run(30, 0, &[], 50 * MS, AttemptOutcome::Succeeded);
        let request = gateway.request(0);
        gateway.advance(900 * MS);
        gateway.end_attempt(request, 0, 900 * MS, AttemptOutcome::Error);
        gateway.servers_tried(request).len()
    };
    assert_eq!(attempts_if("false"), 1, "after its target latency it is given up");
    assert_eq!(attempts_if("true"), 2, "the client still waits");
}

#[test]
fn errors_of_young_machines_on_trial_are_evidence_where_settings_say_so() {
    let alarms = |young_err| {
        let settings = [SINCE_START[0], ("domain.free", "1000"), ("domain.young_err", young_err)];
        let mut gateway = TestGateway::new(&settings, fleet(4));
        gateway.run(60, 0, &[], 50 * MS, AttemptOutcome::Succeeded);
        let started = Some(gateway.read(|recorded| recorded.now));
        gateway
            .balancer
            .server_list_updated((100..130).map(|id| ServerInfo { started, ..server(id, 2) }).collect());
        gateway.balancer.rollout_updated(rollout(2, 1, RolloutPhase::InTrial, 1.0));
        for _ in 0..120 {
            gateway.advance(40 * MS);
            let request = gateway.request(0);
            let on_trial = gateway.servers_tried(request)[0] >= 100;
            gateway.end_attempt(
                request,
                0,
                MS,
                if on_trial { AttemptOutcome::Error } else { AttemptOutcome::Succeeded },
            );
        }
        gateway.read(|recorded| recorded.log.iter().filter(|line| line.contains("alarm on build 2")).count())
    };
    assert_eq!(alarms("false"), 0, "young machines are not judged");
    assert!(alarms("true") > 0, "only their errors are");
}

/// With a request per second, the earlier build never has ten outcomes in three seconds, so that no gateway
/// judges latencies by itself. The control nodes compare them for all, and late answers must not be reported
/// as good.
#[test]
fn late_answers_of_a_trial_are_reported_as_failures_where_requests_are_few() {
    let mut gateway = TestGateway::new(&[SINCE_START[0], ("domain.free", "1000")], fleet(4));
    gateway.run(10, 0, &[], 50 * MS, AttemptOutcome::Succeeded);
    gateway.balancer.server_list_updated((100..130).map(|id| server(id, 2)).collect());
    gateway.balancer.rollout_updated(rollout(2, 1, RolloutPhase::InTrial, 1.0));
    let mut on_trial = 0;
    for _ in 0..60 {
        gateway.advance(S);
        let request = gateway.request(0);
        let Some(sent) = gateway.servers_tried(request).first().copied() else { continue };
        let slow = sent >= 100;
        on_trial += usize::from(slow);
        let latency = if slow { S } else { 50 * MS };
        gateway.advance(latency);
        gateway.end_attempt(request, 0, latency, AttemptOutcome::Succeeded);
    }
    let reported = |build, failed| {
        gateway.read(|recorded| recorded.judged.iter().filter(|one| **one == (build, failed)).count())
    };
    assert!(on_trial >= 10, "{on_trial}");
    // Requests that would be late are rejected, which counts as a failure too.
    assert!(reported(2, true) >= on_trial, "{} of {on_trial}", reported(2, true));
    assert_eq!(reported(2, false), 0);
    assert_eq!(reported(1, true), 0, "those of the earlier build were in time");
}
