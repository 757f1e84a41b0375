//! Pools: where tickets go when a pool empties, drains, and comes back cold.

use std::collections::BTreeSet;

use garnetdoor::host::{Condition, MachineTypeId, Micros, ServerId, ZoneId};
use garnetdoor_routes::pools::{Member, Pool, Pools, REMEMBERED, Way};

const S: Micros = 1_000_000;

fn pool(name: &str, zone: usize, way: Way, next: Option<&str>) -> Pool {
    let (zones, kinds, prefix) = (BTreeSet::from([ZoneId(zone)]), BTreeSet::new(), String::new());
    let next = next.map(str::to_owned);
    Pool { name: name.to_owned(), zones, kinds, prefix, less_than: 0.5, back_at: 0.7, way, next }
}

/// Ten servers in each of two zones, of which so many are healthy in the first, all with this warmth.
fn members(healthy: usize, warmth: f64) -> Vec<Member> {
    let member = |n: usize| Member {
        server: ServerId(n as u32),
        name: format!("s-{n}"),
        zone: ZoneId(n / 10),
        kind: MachineTypeId(0),
        condition: if n < 10 && n >= healthy { Condition::Gone } else { Condition::Healthy },
        warmth: if n < 10 { warmth } else { 1.0 },
    };
    (0..20).map(member).collect()
}

fn two(way: Way) -> Pools {
    let mut pools =
        Pools::read(vec![pool("near", 0, way, Some("far")), pool("far", 1, way, None)]).expect("good pools");
    pools.listed(S, &members(10, 1.0));
    pools
}

/// The part of the near pool's tickets that stays there.
fn stays(pools: &mut Pools, now: Micros) -> f64 {
    (0..100).filter(|n| pools.choose(now, 0, f64::from(*n) / 100.0) == Some(0)).count() as f64 / 100.0
}

#[test]
fn a_pool_that_empties_sends_all_down_and_all_gone_is_told() {
    for way in [Way::Last, Way::AtOnce, Way::Share] {
        let mut pools = two(way);
        assert_eq!(stays(&mut pools, S), 1.0);
        pools.listed(2 * S, &members(0, 1.0));
        assert_eq!(pools.choose(2 * S, 0, 0.0), Some(1));
        assert!(pools.has(1, ServerId(15)) && !pools.has(0, ServerId(5)));
        pools.listed(3 * S, &[]);
        assert_eq!(pools.choose(3 * S, 0, 0.0), None);
    }
}

#[test]
fn with_too_little_open_each_way_sends_down_what_it_says() {
    for (way, part) in [(Way::Last, 1.0), (Way::AtOnce, 0.0), (Way::Share, 0.6)] {
        let mut pools = two(way);
        pools.listed(2 * S, &members(3, 1.0));
        assert!((stays(&mut pools, 2 * S) - part).abs() < 0.011, "{way:?}");
    }
    let mut pools = two(Way::Share);
    pools.listed(2 * S, &members(6, 1.0));
    assert_eq!(stays(&mut pools, 2 * S), 1.0, "enough is open");
}

#[test]
fn the_last_pool_that_has_anything_open_takes_what_is_left() {
    let mut pools = two(Way::AtOnce);
    let few: Vec<_> = members(2, 1.0).into_iter().filter(|member| member.server.0 < 10).collect();
    pools.listed(2 * S, &few);
    assert_eq!(pools.choose(2 * S, 0, 0.9), Some(0));
}

#[test]
fn a_pool_that_comes_back_cold_is_taken_up_once_it_stays_and_then_slowly() {
    let mut pools = two(Way::AtOnce);
    pools.listed(2 * S, &members(0, 1.0));
    pools.listed(10 * S, &members(10, 0.3));
    assert_eq!(stays(&mut pools, 16 * S), 0.0, "three tenths by warmth are not enough");
    pools.listed(20 * S, &members(10, 1.0));
    assert_eq!(stays(&mut pools, 24 * S), 0.0, "not steady yet");
    let mut last = stays(&mut pools, 25 * S);
    assert!(last <= 0.11, "{last}");
    for second in 26..36 {
        let now = stays(&mut pools, second * S);
        assert!(now >= last && now <= last + 0.111, "{now} after {last}");
        last = now;
    }
    assert!(last > 0.85, "{last}");
}

#[test]
fn a_pool_at_the_edge_does_not_flap() {
    let mut pools = two(Way::AtOnce);
    // Without the distance of the two bounds and the wait, it would switch at each list.
    for second in 2..200 {
        pools.listed(second * S, &members(if second % 2 == 0 { 4 } else { 6 }, 1.0));
        stays(&mut pools, second * S);
    }
    assert_eq!(pools.switches(0), 1);
}

#[test]
fn servers_that_the_list_no_longer_has_are_missing_until_they_are_forgotten() {
    let mut pools = two(Way::Share);
    let left: Vec<_> = members(2, 1.0).into_iter().filter(|m| m.condition == Condition::Healthy).collect();
    pools.listed(2 * S, &left);
    assert!(stays(&mut pools, 2 * S) < 0.5);
    for minute in 1..=11 {
        pools.listed(2 * S + minute * 60 * S, &left);
    }
    let later = 2 * S + REMEMBERED + 120 * S;
    pools.listed(later, &left);
    pools.listed(later + 20 * S, &left);
    assert_eq!(stays(&mut pools, later + 40 * S), 1.0, "two are all that it has now");
}

#[test]
fn faulty_pools_are_told_together() {
    let mut odd = pool("odd", 0, Way::Share, Some("none"));
    odd.back_at = 0.2;
    let around = [pool("a", 0, Way::Share, Some("b")), pool("b", 0, Way::Share, Some("a"))];
    let faults = Pools::read([vec![odd], around.to_vec()].concat()).err().expect("faults");
    let told: Vec<_> = faults.iter().map(|fault| (fault.pool.as_str(), fault.expected)).collect();
    assert_eq!(
        told,
        [
            ("odd", "the name of a pool"),
            ("odd", "parts of 1, back_at the larger"),
            ("a", "ways down that end"),
            ("b", "ways down that end"),
        ]
    );
}
