//! The sum over all gateways stays within the budget, computed as the rule is written, whatever happens to them.

use budgets::RetryBudget;
use oorandom::Rand32;
use types::{MS, Micros, SECOND};

const RATIO: f64 = 0.2;
const SLACK: f64 = 58.0;
const WINDOW: Micros = 10 * SECOND;

/// How many of the ascending `times` lie in `from..to`.
fn count_within(times: &[Micros], from: Micros, to: Micros) -> usize {
    times.partition_point(|at| *at < to) - times.partition_point(|at| *at < from)
}

/// The largest fraction of the budget that any window used, by the rule.
fn largest_use(requests: &[Micros], retries: &[Micros]) -> f64 {
    let use_by_window = retries.iter().map(|&from| {
        let starts = [from, from - WINDOW, from - WINDOW / 2];
        let busiest = starts.map(|start| count_within(requests, start, start + WINDOW)).into_iter().max();
        count_within(retries, from, from + WINDOW) as f64 / (RATIO * busiest.unwrap_or(0) as f64 + SLACK)
    });
    use_by_window.fold(0.0, f64::max)
}

/// Times at which clients sent requests and instances received retries.
#[derive(Default)]
struct SimulatedTraffic {
    requests: Vec<Micros>,
    retries: Vec<Micros>,
}

/// Simulates 50 s of gateways that all want to retry everything, at request rates that jump. `known_gateways` is how
/// many gateways each one knows of at a time; with `restarts`, a random gateway is restarted every half second.
fn simulate(
    seed: u64, gateways: usize, restarts: bool, known_gateways: impl Fn(Micros) -> usize,
) -> SimulatedTraffic {
    let mut rng = Rand32::new(seed);
    let new_budget = || RetryBudget::new(RATIO, SLACK, WINDOW);
    let mut budgets: Vec<RetryBudget> = (0..gateways).map(|_| new_budget()).collect();
    let mut request_rates = vec![10; gateways];
    let mut traffic = SimulatedTraffic::default();
    for step in 0..10_000 {
        let now = step * 5 * MS;
        if step % 400 == 0 {
            // Traffic shifts: a few gateways get nearly all of it.
            request_rates
                .iter_mut()
                .for_each(|request_rate| *request_rate = [0, 0, 10, 400][rng.rand_range(0..4) as usize]);
        }
        for (budget, request_rate) in budgets.iter_mut().zip(&request_rates) {
            budget.set_gateway_count(now, known_gateways(now));
            if rng.rand_range(0..1000) < *request_rate {
                budget.record_request(now, "huvo11a");
                traffic.requests.push(now - Micros::from(rng.rand_range(0..300)) * MS);
            }
            if rng.rand_range(0..4) == 0 && budget.may_retry(now, "huvo11a", known_gateways(now)) {
                budget.record_retry(now, "huvo11a");
                traffic.retries.push(now + Micros::from(rng.rand_range(0..60)) * MS);
            }
        }
        if restarts && step % 100 == 0 {
            let restarted = rng.rand_range(0..gateways as u32) as usize;
            budgets[restarted] = new_budget();
        }
    }
    traffic.requests.sort_unstable();
    traffic.retries.sort_unstable();
    traffic
}

#[test]
fn no_window_of_all_gateways_exceeds_the_budget_when_traffic_shifts_and_gateways_restart() {
    for seed in 0..2 {
        for (gateways, restarts) in [(1, false), (10, false), (10, true), (40, true)] {
            let traffic = simulate(seed, gateways, restarts, |_| gateways);
            let largest_use = largest_use(&traffic.requests, &traffic.retries);
            assert!(largest_use <= 1.0, "{largest_use} of the budget, {gateways} gateways, seed {seed}");
        }
    }
}

#[test]
fn a_gateway_that_is_cut_off_keeps_to_its_former_part() {
    for seed in 0..3 {
        let traffic = simulate(seed, 10, false, |now| if now < 20 * SECOND { 10 } else { 1 });
        let largest_use = largest_use(&traffic.requests, &traffic.retries);
        assert!(largest_use <= 1.0, "{largest_use} of the budget, seed {seed}");
    }
}

#[test]
fn steady_traffic_may_use_nearly_all_of_its_ratio() {
    let mut budget = RetryBudget::new(RATIO, 0.0, WINDOW);
    let (mut entitled, mut allowed) = (0.0, 0.0);
    for step in 0..20_000 {
        let now = step * 5 * MS;
        budget.record_request(now, "huvo11a");
        if now > 2 * WINDOW {
            entitled += RATIO;
            if budget.may_retry(now, "huvo11a", 1) {
                budget.record_retry(now, "huvo11a");
                allowed += 1.0;
            }
        }
    }
    assert!(allowed / entitled > 0.85, "{}", allowed / entitled);
}

#[test]
fn a_restarted_gateway_uses_no_slack_before_a_window_has_passed() {
    let mut budget = RetryBudget::new(RATIO, SLACK, WINDOW);
    budget.set_gateway_count(0, 3);
    assert!(!budget.may_retry(WINDOW + 4 * SECOND, "huvo11a", 3));
    assert!(budget.may_retry(WINDOW + 5 * SECOND, "huvo11a", 3));
    let mut sent = 0.0;
    while budget.may_retry(WINDOW + 5 * SECOND, "huvo11a", 1) {
        budget.record_retry(WINDOW + 5 * SECOND, "huvo11a");
        sent += 1.0;
    }
    assert!(sent > 0.0 && 3.0 * sent < SLACK, "{sent} by one of three");
}
