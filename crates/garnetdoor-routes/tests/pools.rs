//! Pools: where requests go when a pool loses servers and when it recovers with cold ones.

use std::collections::BTreeSet;

use garnetdoor::host::{Condition, MachineTypeId, Micros, ServerId, ZoneId};
use garnetdoor_routes::pools::{FallbackMode, Pool, PoolServer, Pools, SIZE_MEMORY};

const SECOND: Micros = 1_000_000;

fn pool(name: &str, zone: usize, fallback_mode: FallbackMode, fallback: Option<&str>) -> Pool {
    Pool {
        name: name.to_owned(),
        zones: BTreeSet::from([ZoneId(zone)]),
        machine_types: BTreeSet::new(),
        prefix: String::new(),
        fallback_below: 0.5,
        recover_at: 0.7,
        fallback_mode,
        fallback: fallback.map(str::to_owned),
    }
}

/// Ten servers in each of two zones. In the first zone this many are healthy and the others gone, all with this warmth.
fn servers(healthy: usize, warmth: f64) -> Vec<PoolServer> {
    let server = |n: usize| PoolServer {
        server: ServerId(n as u32),
        name: format!("s-{n}"),
        zone: ZoneId(n / 10),
        machine_type: MachineTypeId(0),
        condition: if n < 10 && n >= healthy { Condition::Gone } else { Condition::Healthy },
        warmth: if n < 10 { warmth } else { 1.0 },
    };
    (0..20).map(server).collect()
}

/// A near pool that falls back to a far one, with all servers healthy.
fn near_and_far(mode: FallbackMode) -> Pools {
    let mut pools = Pools::new(vec![pool("near", 0, mode, Some("far")), pool("far", 1, mode, None)])
        .expect("valid pools");
    pools.update_servers(SECOND, &servers(10, 1.0));
    pools
}

/// The fraction of the near pool's requests that it serves itself.
fn near_fraction(pools: &mut Pools, now: Micros) -> f64 {
    (0..100).filter(|n| pools.select(now, 0, f64::from(*n) / 100.0) == Some(0)).count() as f64 / 100.0
}

#[test]
fn an_empty_pool_falls_back_and_without_any_server_there_is_no_pool() {
    for mode in [FallbackMode::OnlyWhenEmpty, FallbackMode::AllAtOnce, FallbackMode::Proportional] {
        let mut pools = near_and_far(mode);
        assert_eq!(near_fraction(&mut pools, SECOND), 1.0);
        pools.update_servers(2 * SECOND, &servers(0, 1.0));
        assert_eq!(pools.select(2 * SECOND, 0, 0.0), Some(1));
        assert!(pools.has_open(1, ServerId(15)) && !pools.has_open(0, ServerId(5)));
        pools.update_servers(3 * SECOND, &[]);
        assert_eq!(pools.select(3 * SECOND, 0, 0.0), None);
    }
}

#[test]
fn with_too_little_open_each_mode_falls_back_as_documented() {
    for (mode, fraction) in [
        (FallbackMode::OnlyWhenEmpty, 1.0),
        (FallbackMode::AllAtOnce, 0.0),
        (FallbackMode::Proportional, 0.6),
    ] {
        let mut pools = near_and_far(mode);
        pools.update_servers(2 * SECOND, &servers(3, 1.0));
        assert!((near_fraction(&mut pools, 2 * SECOND) - fraction).abs() < 0.011, "{mode:?}");
    }
    let mut pools = near_and_far(FallbackMode::Proportional);
    pools.update_servers(2 * SECOND, &servers(6, 1.0));
    assert_eq!(near_fraction(&mut pools, 2 * SECOND), 1.0, "enough is open");
}

#[test]
fn the_last_pool_with_an_open_server_takes_what_is_left() {
    let mut pools = near_and_far(FallbackMode::AllAtOnce);
    let few: Vec<_> = servers(2, 1.0).into_iter().filter(|server| server.server.0 < 10).collect();
    pools.update_servers(2 * SECOND, &few);
    assert_eq!(pools.select(2 * SECOND, 0, 0.9), Some(0));
}

#[test]
fn a_pool_that_recovers_cold_gets_requests_once_it_is_steady_and_then_slowly() {
    let mut pools = near_and_far(FallbackMode::AllAtOnce);
    pools.update_servers(2 * SECOND, &servers(0, 1.0));
    pools.update_servers(10 * SECOND, &servers(10, 0.3));
    assert_eq!(near_fraction(&mut pools, 16 * SECOND), 0.0, "three tenths by warmth are not enough");
    pools.update_servers(20 * SECOND, &servers(10, 1.0));
    assert_eq!(near_fraction(&mut pools, 24 * SECOND), 0.0, "not steady yet");
    let mut last = near_fraction(&mut pools, 25 * SECOND);
    assert!(last <= 0.11, "{last}");
    for second in 26..36 {
        let now = near_fraction(&mut pools, second * SECOND);
        assert!(now >= last && now <= last + 0.111, "{now} after {last}");
        last = now;
    }
    assert!(last > 0.85, "{last}");
}

#[test]
fn a_pool_at_its_threshold_does_not_flap() {
    let mut pools = near_and_far(FallbackMode::AllAtOnce);
    // Without the gap between the two thresholds and the recovery time it would change with each list.
    for second in 2..200 {
        pools.update_servers(second * SECOND, &servers(if second % 2 == 0 { 4 } else { 6 }, 1.0));
        near_fraction(&mut pools, second * SECOND);
    }
    assert_eq!(pools.transition_count(0), 1);
}

#[test]
fn servers_that_are_no_longer_listed_count_as_missing_for_a_time() {
    let mut pools = near_and_far(FallbackMode::Proportional);
    let remaining: Vec<_> =
        servers(2, 1.0).into_iter().filter(|server| server.condition == Condition::Healthy).collect();
    pools.update_servers(2 * SECOND, &remaining);
    assert!(near_fraction(&mut pools, 2 * SECOND) < 0.5);
    for minute in 1..=11 {
        pools.update_servers(2 * SECOND + minute * 60 * SECOND, &remaining);
    }
    let later = 2 * SECOND + SIZE_MEMORY + 120 * SECOND;
    pools.update_servers(later, &remaining);
    pools.update_servers(later + 20 * SECOND, &remaining);
    assert_eq!(near_fraction(&mut pools, later + 40 * SECOND), 1.0, "two servers are the whole pool by now");
}

#[test]
fn errors_of_all_pools_are_reported_together() {
    let mut odd = pool("odd", 0, FallbackMode::Proportional, Some("none"));
    odd.recover_at = 0.2;
    let cycle = [
        pool("a", 0, FallbackMode::Proportional, Some("b")),
        pool("b", 0, FallbackMode::Proportional, Some("a")),
    ];
    let errors = Pools::new([vec![odd], cycle.to_vec()].concat()).err().expect("errors");
    let reported: Vec<_> = errors.iter().map(|error| (error.pool.as_str(), error.expected)).collect();
    assert_eq!(
        reported,
        [
            ("odd", "the name of a pool"),
            ("odd", "fractions of 1, recover_at the larger"),
            ("a", "fallbacks that end"),
            ("b", "fallbacks that end"),
        ]
    );
}
