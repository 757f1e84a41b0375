//! Short rehearsals with fixed seeds: rules hold, a seed plays the same, planted faults are found and shrunk.

use rehearsal::plant::Planted;
use rehearsal::play::{self, Day};
use rehearsal::plot;
use rehearsal::rules::Rule;
use rehearsal::scenario::{MOMENTS, Scenario};
use rehearsal::search::Search;

/// Plays days on two threads, as the order of days changes nothing.
fn days(scenarios: Vec<(u64, Scenario)>) -> Vec<Day> {
    let (one, two) = scenarios.split_at(scenarios.len() / 2);
    let play = |part: &[(u64, Scenario)]| -> Vec<Day> {
        part.iter().map(|(seed, scenario)| play::play(scenario.clone(), *seed, None)).collect()
    };
    std::thread::scope(|scope| {
        let other = scope.spawn(|| play(two));
        let mut days = play(one);
        days.extend(other.join().expect("a day does not panic"));
        days
    })
}

#[test]
fn rules_hold_on_drawn_days() {
    for day in days((1..=16).map(|seed| (seed, Scenario::drawn(seed))).collect()) {
        println!("{}", day.line());
        assert!(day.ok(), "{}\n{:?}\n{}", day.line(), day.broken, day.rings);
        assert!(day.good > 500 && day.acked > 1, "{}", day.line());
    }
}

#[test]
fn rules_hold_on_deployments_of_other_shapes() {
    for day in days((1..=10).map(|seed| (seed, Scenario::wide(seed))).collect()) {
        println!("{}", day.line());
        assert!(day.ok(), "{}\n{:?}\n{}", day.line(), day.broken, day.rings);
        assert!(!day.scenario.site.usual() || day.scenario.prompters != 5 || day.scenario.foyers != 10);
    }
}

#[test]
fn rules_hold_at_the_worst_moments() {
    let all = MOMENTS + rehearsal::widen::MOMENTS + rehearsal::worst::MOMENTS;
    let moments = (0..all).flat_map(|number| (1..=2).map(move |seed| (seed, Scenario::moment(seed, number))));
    for day in days(moments.collect()) {
        println!("{}", day.line());
        assert!(day.ok(), "{}\n{}\n{:?}", day.line(), day.scenario.written(), day.broken);
    }
}

#[test]
fn rules_hold_on_days_that_broke_them_once() {
    let texts = [
        include_str!("../scenarios/power-after-state.toml"),
        include_str!("../scenarios/wiped-after-ack.toml"),
        include_str!("../scenarios/votes-and-restarts.toml"),
        include_str!("../scenarios/replaced-in-turn.toml"),
    ];
    let read = |text| Scenario::read(text).expect("it reads");
    for day in days(texts.map(read).into_iter().enumerate().map(|(at, day)| (at as u64, day)).collect()) {
        assert!(day.ok(), "{}\n{:?}\n{}", day.line(), day.broken, day.rings);
    }
}

#[test]
fn a_seed_plays_the_same_and_another_one_another_day() {
    let play = |seed| play::play(Scenario::drawn(7), seed, None);
    let (first, again, other) = (play(7), play(7), play(8));
    assert_eq!(first.log, again.log);
    assert_eq!(first.steps, again.steps);
    assert_ne!(first.log, other.log);
}

#[test]
fn each_planted_fault_is_found_within_the_stated_seeds() {
    for planted in Planted::ALL {
        let found = planted.found_after(1, Planted::SEEDS);
        assert!(found.is_some(), "{} is not found", planted.name());
    }
}

#[test]
fn a_search_is_the_same_every_time_and_keeps_what_is_new() {
    let lines = || {
        let mut search = Search::new(5, Some(Planted::SentTwice));
        let lines: Vec<String> = (0..8).map(|_| search.day().line()).collect();
        assert!(search.kept().0 >= 2 && search.kept().1.iter().any(|margin| *margin > 0.0));
        lines
    };
    assert_eq!(lines(), lines());
}

#[test]
fn a_broken_day_shrinks_to_what_matters() {
    let planted = Some(Planted::InvalidTaken);
    let day = (1..).map(|seed| play::day(seed, planted)).find(|day| !day.ok()).expect("found soon");
    assert!(day.step.is_some_and(|step| step > 0 && step <= day.steps) && !day.rings.is_empty());
    let small = play::shrunk(&day, planted, || ());
    let left = &small.scenario.troubles;
    assert!(left.len() < day.scenario.troubles.len() && left.len() <= 2, "{left:?}");
    assert!(small.broken.iter().any(|broken| broken.rule == Rule::Invalid), "{:?}", small.broken);
    assert!(plot::day(&small).contains("Invalid"));
}

#[test]
fn scenarios_are_read_as_they_are_written() {
    for seed in 0..40 {
        let scenario = Scenario::wide(seed);
        assert_eq!(Scenario::read(&scenario.written()).expect("it reads"), scenario);
    }
    let error = Scenario::read("prompters = 5\nfoyer = 3\n").expect_err("an unknown key");
    assert!(error.to_string().contains("foyer"), "{error}");
}
