//! Stories of a gateway that hosts the decisions for one service of the whole system.

use garnetdoor::host::*;

use test_case::test_case;

use crate::fake::{MS, S, Story, news, server};

fn fleet(count: u32) -> Vec<ServerInfo> {
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
    story.run(20, 2, &[], 0, AttemptOutcome::Succeeded);
    story.gate.settings_changed(two(&[("policy_limits.try_limit", "2"), ("classes.1.repeat", "safe")]));
    let ticket = story.ticket(1);
    story.ends(ticket, 0, 10 * MS, AttemptOutcome::Error);
    assert_eq!(story.trips(ticket).len(), 2, "what could not run twice now may");
    let of = |story: &Story, profile| {
        let records = story.gate.seen.records.values().flat_map(|records| records.keys());
        records.filter(|sign| sign.profile() == Some(ProfileId(profile))).count()
    };
    assert_eq!((of(&story, 1), of(&story, 2)), (1, 0), "outcomes of profile 2, which is gone, are forgotten");
    story.pass(21 * S);
    assert!(story.gate.seen.times.is_empty(), "nor are samples kept of a silent one");
    let stray = story.ticket(900);
    story.ends(stray, 0, 10 * MS, AttemptOutcome::Error);
    assert_eq!(story.answers(stray), ["forfeited"], "of a profile that is not listed nothing is promised");
}

/// Servers 0 to 4 of build 1, 100 to 109 of build 2 and 200 of build 3.
fn builds() -> Vec<ServerInfo> {
    let of = |id| server(id, id / 100 + 1);
    (0..5).chain(100..110).chain([200]).map(of).collect()
}

const ORDER: &[(&str, &str)] = &[("domain.exposure_since", "order"), ("domain.exposure_caps", "0")];

#[test]
fn all_since_the_order_counts_against_the_cap_and_a_new_order_begins_anew() {
    let mut story = Story::new(ORDER, builds());
    let trial = |story: &Story| (100..110).map(|id| story.sent_to(id)).sum::<usize>();
    story.run(50, 0, &[], 0, AttemptOutcome::Succeeded);
    assert_eq!(trial(&story), 0, "no order yet: what came before it gives no room");
    story.gate.rollout_updated(news(2, 1, RolloutPhase::InTrial, 0.1));
    for quiet in [0, 60 * S, 600 * S] {
        story.pass(quiet);
        story.gate.rollout_updated(news(2, 1, RolloutPhase::InTrial, 0.1));
        story.run(100, 0, &[], 0, AttemptOutcome::Succeeded);
    }
    // 3 are free for the whole trial, not for each while.
    assert!((28..=33).contains(&trial(&story)), "{}", trial(&story));
    story.gate.rollout_updated(news(2, 1, RolloutPhase::RolledBack, 0.0));
    story.run(50, 0, &[], 0, AttemptOutcome::Succeeded);
    assert!(trial(&story) <= 33, "nothing goes to a build that is withdrawn");
    story.gate.rollout_updated(news(2, 1, RolloutPhase::InTrial, 0.1));
    story.run(100, 0, &[], 0, AttemptOutcome::Succeeded);
    assert!((38..=46).contains(&trial(&story)), "{}", trial(&story));
    assert_eq!(story.sent_to(200), 0, "nor to one that no order ever named");
}

const BUDGET: &[(&str, &str)] = &[
    ("policy_limits.retry_ratio", "0.1"),
    ("policy_limits.retry_slack", "1.5"),
    ("policy_limits.retry_window", "30"),
];

/// The times of tickets taken and of trips after a ticket's first, in `count` tickets whose trips end so.
fn asked(ending: AttemptOutcome, pause: impl Fn(usize) -> Micros, count: usize) -> [Vec<Micros>; 2] {
    let mut story = Story::new(BUDGET, fleet(8));
    let [mut taken, mut further] = [Vec::new(), Vec::new()];
    for round in 0..count {
        story.pass(pause(round));
        let now = story.read(|book| book.now);
        let ticket = story.ticket(0);
        taken.push(now);
        (0..4).for_each(|trip| story.ends(ticket, trip, MS, ending));
        let again = story.trips(ticket).len().saturating_sub(1);
        further.extend(std::iter::repeat_n(now, again));
        story.gate.client_disconnected(RequestId(ticket));
    }
    [taken, further]
}

#[test_case(|_| 100 * MS; "an even stream")]
#[test_case(|n| if n % 40 == 0 { 20 * S } else { 20 * MS }; "bursts")]
fn further_trips_in_a_window_keep_to_the_platforms_budget(pause: fn(usize) -> Micros) {
    let [taken, further] = asked(AttemptOutcome::Error, pause, 600);
    let within =
        |times: &[Micros], end: Micros| times.iter().filter(|t| (end - 30 * S..=end).contains(t)).count();
    for end in &further {
        let (more, all) = (within(&further, *end), within(&taken, *end));
        assert!(more as f64 <= 0.1 * all as f64 + 1.5, "{more} beside {all}");
    }
    assert!(further.len() >= 55, "it is used: {}", further.len());
}

#[test_case(AttemptOutcome::ConnectFailed)]
#[test_case(AttemptOutcome::NeverSent)]
fn a_trip_that_never_reached_a_server_leaves_the_budget_as_it_is(ending: AttemptOutcome) {
    let [_, further] = asked(ending, |_| 100 * MS, 50);
    assert!(further.len() >= 50, "each ticket goes to another server: {}", further.len());
}

/// What another server has turned away at an address used again has arrived all the same: the next trip is a further one.
/// It has not run, so that a once-only ticket goes again, and it tells nothing of the server that it was for.
#[test]
fn a_trip_that_another_server_has_turned_away_draws_on_the_budget() {
    let [taken, further] = asked(AttemptOutcome::Misdirected, |_| 100 * MS, 50);
    assert!(
        further.len() as f64 <= 0.1 * taken.len() as f64 + 1.5 && !further.is_empty(),
        "{}",
        further.len()
    );
    let mut story = Story::new(&[], fleet(4));
    let ticket = story.ticket(1);
    story.ends(ticket, 0, MS, AttemptOutcome::Misdirected);
    assert_eq!((story.trips(ticket).len(), story.answers(ticket).len()), (2, 0));
    assert!(
        !AttemptOutcome::Misdirected.is_server_evidence() && AttemptOutcome::Rejected.is_server_evidence()
    );
}

#[test]
fn each_profile_has_its_own_limit_of_trips_and_an_upload_never_runs_twice() {
    let mine = [("classes.0.try_limit", "2"), ("classes.1.repeat", "upload"), ("classes.1.try_limit", "3")];
    let mut story = Story::new(&mine, fleet(8));
    story.run(30, 2, &[], 0, AttemptOutcome::Succeeded);
    let mut trips = |profile, ending| {
        let ticket = story.ticket(profile);
        for trip in 0..4 {
            story.ends(ticket, trip, MS, ending);
        }
        (story.trips(ticket).len(), story.answers(ticket)[0])
    };
    assert_eq!(trips(0, AttemptOutcome::Error), (2, "turned back"));
    assert_eq!(trips(1, AttemptOutcome::Rejected), (3, "turned back"));
    for may_have_run in
        [AttemptOutcome::Reset, AttemptOutcome::TimedOut, AttemptOutcome::Error, AttemptOutcome::Cancelled]
    {
        assert_eq!(trips(1, may_have_run), (1, "forfeited"), "{may_have_run:?}");
    }
}

#[test]
fn in_scarcity_the_lower_rank_is_turned_back_first_whatever_it_is_worth() {
    let ranks = [("classes.0.rank", "2"), ("classes.1.rank", "0"), ("classes.1.worth", "0.01")];
    let mut story = Story::new(&ranks, fleet(4));
    let everyone: Vec<u32> = (0..4).collect();
    // Answers take nearly the agreed time: between what the last and the first in rank will wait.
    let turned_back = |story: &mut Story, profile| {
        let before = story.read(|book| book.answers.len());
        story.run(40, profile, &everyone, 450 * MS, AttemptOutcome::Succeeded);
        story.read(|book| book.answers.len()) - before
    };
    assert_eq!(turned_back(&mut story, 0), 0, "alone it competes with nobody");
    assert_eq!(turned_back(&mut story, 1), 0, "the first in rank waits");
    assert!(turned_back(&mut story, 0) >= 20, "beside it the last in rank does not");
}

#[test]
fn a_time_to_come_back_is_one_that_the_client_keeps_to() {
    let share = [("policy_limits.retry_after_share", "0.33"), ("policy_limits.max_retry_after", "5")];
    let mut story = Story::new(&share, vec![]);
    let advised = |story: &Story| story.read(|book| *book.advised.last().expect("turned back"));
    for _ in 0..20 {
        story.ticket(0);
        let wait = advised(&story).expect("2 s are left");
        assert!((320 * MS..=640 * MS).contains(&wait), "{wait}");
    }
    story.gate.server_list_replaced(fleet(1));
    let ticket = story.ticket(0);
    story.pass(1950 * MS);
    story.ends(ticket, 0, 1950 * MS, AttemptOutcome::Rejected);
    assert_eq!(advised(&story), None, "with nothing left no time is told");
}

#[test]
fn a_gateway_that_lives_for_weeks_remembers_a_bounded_past() {
    let mut story = Story::new(ORDER, vec![]);
    for week in 1..60 {
        story.gate.server_list_replaced((0..9).map(|id| server(100 * week + id, week)).collect());
        story.pass(600 * S);
        story.run(40, week as usize % 3, &[], 0, AttemptOutcome::Succeeded);
    }
    let seen = &story.gate.seen;
    let kept =
        [seen.records.len(), seen.servers.len(), seen.tickets.len(), seen.times.len(), seen.exposed.0.len()];
    assert!(kept.iter().zip([16, 9, 0, 1, 0]).all(|(kept, most)| *kept <= most), "{kept:?}");
}

#[test]
fn a_late_answer_counts_where_settings_say_so_and_a_failed_trip_is_tried_again_until_the_client_gives_up() {
    let trips_after = |late_counts| {
        let mut story = Story::new(&[("domain.late_counts", late_counts)], fleet(8));
        story.run(30, 0, &[], 50 * MS, AttemptOutcome::Succeeded);
        let ticket = story.ticket(0);
        story.pass(900 * MS);
        story.ends(ticket, 0, 900 * MS, AttemptOutcome::Error);
        story.trips(ticket).len()
    };
    assert_eq!(trips_after("false"), 1, "after its agreed time it is given up");
    assert_eq!(trips_after("true"), 2, "its client still waits");
}

#[test]
fn errors_of_young_machines_on_trial_are_evidence_where_settings_say_so() {
    let alarms = |young_err| {
        let mine = [ORDER[0], ("domain.free", "1000"), ("domain.young_err", young_err)];
        let mut story = Story::new(&mine, fleet(4));
        story.run(60, 0, &[], 50 * MS, AttemptOutcome::Succeeded);
        let started = Some(story.read(|book| book.now));
        story
            .gate
            .server_list_updated((100..130).map(|id| ServerInfo { started, ..server(id, 2) }).collect());
        story.gate.rollout_updated(news(2, 1, RolloutPhase::InTrial, 1.0));
        for _ in 0..120 {
            story.pass(40 * MS);
            let ticket = story.ticket(0);
            let on_trial = story.trips(ticket)[0] >= 100;
            story.ends(
                ticket,
                0,
                MS,
                if on_trial { AttemptOutcome::Error } else { AttemptOutcome::Succeeded },
            );
        }
        story.read(|book| book.notes.iter().filter(|note| note.contains("alarm on build 2")).count())
    };
    assert_eq!(alarms("false"), 0, "what is young is not judged");
    assert!(alarms("true") > 0, "its errors are");
}

/// With a ticket a second the earlier build never has ten outcomes in three seconds, so that no gateway judges times
/// by itself; who counts for all compares, and must not be told that late answers are good ones.
#[test]
fn late_answers_of_a_trial_are_told_as_failures_where_tickets_are_few() {
    let mut story = Story::new(&[ORDER[0], ("domain.free", "1000")], fleet(4));
    story.run(10, 0, &[], 50 * MS, AttemptOutcome::Succeeded);
    story.gate.server_list_updated((100..130).map(|id| server(id, 2)).collect());
    story.gate.rollout_updated(news(2, 1, RolloutPhase::InTrial, 1.0));
    let mut on_trial = 0;
    for _ in 0..60 {
        story.pass(S);
        let ticket = story.ticket(0);
        let Some(sent) = story.trips(ticket).first().copied() else { continue };
        let slow = sent >= 100;
        on_trial += usize::from(slow);
        let took = if slow { S } else { 50 * MS };
        story.pass(took);
        story.ends(ticket, 0, took, AttemptOutcome::Succeeded);
    }
    let told =
        |build, failed| story.read(|book| book.judged.iter().filter(|one| **one == (build, failed)).count());
    assert!(on_trial >= 10, "{on_trial}");
    // Those that could only be late are turned back at, which is a failure too.
    assert!(told(2, true) >= on_trial, "{} of {on_trial}", told(2, true));
    assert_eq!(told(2, false), 0);
    assert_eq!(told(1, true), 0, "those of the earlier build were in time");
}
