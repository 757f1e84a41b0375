//! The sum over foyers, judged as the rule is written, whatever happens to them.

use budgets::RetryBudget;
use oorandom::Rand32;
use types::{MS, Micros, SECOND};

const RATIO: f64 = 0.2;
const SLACK: f64 = 58.0;
const WINDOW: Micros = 10 * SECOND;

/// How many moments of `times`, which rise, lie in `from..to`.
fn within(times: &[Micros], from: Micros, to: Micros) -> usize {
    times.partition_point(|at| *at < to) - times.partition_point(|at| *at < from)
}

/// The largest part of the budget that any window used, as the rule counts.
fn worst(requests: &[Micros], tries: &[Micros]) -> f64 {
    let used = tries.iter().map(|&from| {
        let starts = [from, from - WINDOW, from - WINDOW / 2];
        let most = starts.map(|start| within(requests, start, start + WINDOW)).into_iter().max();
        within(tries, from, from + WINDOW) as f64 / (RATIO * most.unwrap_or(0) as f64 + SLACK)
    });
    used.fold(0.0, f64::max)
}

#[derive(Default)]
struct Played {
    requests: Vec<Micros>,
    tries: Vec<Micros>,
}

/// Foyers that all want to try everything again, at rates that jump; `known` is what a foyer knows of the
/// others' number at a moment, and a kill puts a new life in its place.
fn play(seed: u64, foyers: usize, kills: bool, known: impl Fn(Micros) -> usize) -> Played {
    let mut rng = Rand32::new(seed);
    let fresh = || RetryBudget::new(RATIO, SLACK, WINDOW);
    let mut purses: Vec<RetryBudget> = (0..foyers).map(|_| fresh()).collect();
    let mut rates = vec![10; foyers];
    let mut played = Played::default();
    for step in 0..10_000 {
        let now = step * 5 * MS;
        if step % 400 == 0 {
            // Traffic shifts: a few foyers get nearly all.
            rates.iter_mut().for_each(|rate| *rate = [0, 0, 10, 400][rng.rand_range(0..4) as usize]);
        }
        for (purse, rate) in purses.iter_mut().zip(&rates) {
            purse.set_gateway_count(now, known(now));
            if rng.rand_range(0..1000) < *rate {
                purse.record_request(now, "huvo11a");
                played.requests.push(now - Micros::from(rng.rand_range(0..300)) * MS);
            }
            if rng.rand_range(0..4) == 0 && purse.may_retry(now, "huvo11a", known(now)) {
                purse.record_retry(now, "huvo11a");
                played.tries.push(now + Micros::from(rng.rand_range(0..60)) * MS);
            }
        }
        if kills && step % 100 == 0 {
            let one = rng.rand_range(0..foyers as u32) as usize;
            purses[one] = fresh();
        }
    }
    played.requests.sort_unstable();
    played.tries.sort_unstable();
    played
}

#[test]
fn no_window_of_all_foyers_is_over_its_budget_when_traffic_shifts_and_foyers_die() {
    for seed in 0..2 {
        for (foyers, kills) in [(1, false), (10, false), (10, true), (40, true)] {
            let played = play(seed, foyers, kills, |_| foyers);
            let worst = worst(&played.requests, &played.tries);
            assert!(worst <= 1.0, "{worst} of the budget, {foyers} foyers, seed {seed}");
        }
    }
}

#[test]
fn a_foyer_that_is_cut_off_keeps_to_the_part_it_had() {
    for seed in 0..3 {
        let played = play(seed, 10, false, |now| if now < 20 * SECOND { 10 } else { 1 });
        let worst = worst(&played.requests, &played.tries);
        assert!(worst <= 1.0, "{worst} of the budget, seed {seed}");
    }
}

#[test]
fn steady_traffic_may_use_nearly_all_of_its_ratio() {
    let mut purse = RetryBudget::new(RATIO, 0.0, WINDOW);
    let (mut asked, mut allowed) = (0.0, 0.0);
    for step in 0..20_000 {
        let now = step * 5 * MS;
        purse.record_request(now, "huvo11a");
        if now > 2 * WINDOW {
            asked += RATIO;
            if purse.may_retry(now, "huvo11a", 1) {
                purse.record_retry(now, "huvo11a");
                allowed += 1.0;
            }
        }
    }
    assert!(allowed / asked > 0.85, "{}", allowed / asked);
}

#[test]
fn a_new_life_takes_nothing_of_the_slack_before_a_window_has_passed() {
    let mut purse = RetryBudget::new(RATIO, SLACK, WINDOW);
    purse.set_gateway_count(0, 3);
    assert!(!purse.may_retry(WINDOW + 4 * SECOND, "huvo11a", 3));
    assert!(purse.may_retry(WINDOW + 5 * SECOND, "huvo11a", 3));
    let mut spent = 0.0;
    while purse.may_retry(WINDOW + 5 * SECOND, "huvo11a", 1) {
        purse.record_retry(WINDOW + 5 * SECOND, "huvo11a");
        spent += 1.0;
    }
    assert!(spent > 0.0 && 3.0 * spent < SLACK, "{spent} by one of three");
}
