//! Which gateways use which instances: every gateway computes the same, each instance has as many gateways as it
//! accepts, and a gateway that goes away moves no connections but its own.

use std::net::Ipv4Addr;

use load::{ConnectionShare, gateways_ahead};
use types::NodeAddress;

fn gateways(count: u8) -> Vec<NodeAddress> {
    (0..count).map(|number| NodeAddress(Ipv4Addr::new(10, 1 + number % 3, 0, 15 + number))).collect()
}

fn gateways_using(share: ConnectionShare, gateways: &[NodeAddress], instance: &str) -> Vec<NodeAddress> {
    gateways
        .iter()
        .copied()
        .filter(|own| gateways_ahead(*own, gateways, instance) < share.max_gateways)
        .collect()
}

#[test]
fn each_instance_has_as_many_gateways_as_it_accepts_and_few_move_when_one_goes_away() {
    let all = gateways(59);
    let share = ConnectionShare::new(18, all.len());
    assert_eq!((share.max_gateways, share.connections_per_gateway), (15, 1));
    let mut load = vec![0; all.len()];
    let removed = all[20];
    let remaining: Vec<NodeAddress> = all.iter().copied().filter(|gateway| *gateway != removed).collect();
    for number in 0..180 {
        let instance = format!("i-{:08x}", (number * 0x9e37_79b9_u64) & 0xffff_ffff);
        let before = gateways_using(share, &all, &instance);
        assert_eq!(before.len(), 15);
        for gateway in &before {
            load[all.iter().position(|known| known == gateway).expect("one of them")] += 1;
        }
        let after = gateways_using(share, &remaining, &instance);
        assert_eq!(after.len(), 15);
        let unchanged = before.iter().filter(|gateway| after.contains(gateway)).count();
        assert_eq!(
            unchanged,
            15 - usize::from(before.contains(&removed)),
            "only the place of the removed gateway moves"
        );
    }
    // 180 instances with 15 gateways each, over 59 gateways, make 46 instances per gateway.
    assert!(load.iter().all(|count| (25..=70).contains(count)), "{load:?}");
}

#[test]
fn with_enough_connections_every_gateway_uses_every_instance() {
    let all = gateways(9);
    let share = ConnectionShare::new(94, all.len());
    assert_eq!((share.max_gateways, share.connections_per_gateway), (9, 8));
    assert_eq!(gateways_using(share, &all, "i-7f3a91c2").len(), 9);
    assert_eq!(ConnectionShare::new(0, 0), ConnectionShare { max_gateways: 1, connections_per_gateway: 1 });
}

/// Four instances that accept 100 connections each have a place for 85 of 150 gateways, so some gateways have none.
#[test]
fn a_gateway_without_a_place_at_any_instance_uses_the_best_ranked_one() {
    let all = gateways(150);
    let share = ConnectionShare::new(100, all.len());
    assert_eq!(share.max_gateways, 85);
    let instances = ["i-0", "i-1", "i-2", "i-3"];
    let mut load = [0; 4];
    let mut without_place = 0;
    for own in &all {
        let ahead: Vec<usize> =
            instances.iter().map(|instance| gateways_ahead(*own, &all, instance)).collect();
        let usable = share.usable_instances(&ahead);
        without_place += usize::from(ahead.iter().all(|ahead| *ahead >= share.max_gateways));
        assert!(usable.contains(&true), "{own} may use no instance");
        for (load, usable) in load.iter_mut().zip(usable) {
            *load += usize::from(usable);
        }
    }
    assert!(without_place > 0, "this size has gateways without a place");
    assert!(load.iter().all(|load| *load <= 100), "{load:?}");
    assert_eq!(share.usable_instances(&[]), [false; 0]);
}

#[test]
fn ranks_are_computed_only_if_not_every_gateway_has_a_place() {
    let all = gateways(9);
    let (enough, scarce) = (ConnectionShare::new(94, all.len()), ConnectionShare::new(4, all.len()));
    for own in &all {
        assert_eq!(enough.usable_instances(&[enough.gateways_ahead(*own, &all, "i-1")]), [true]);
        assert_eq!(scarce.gateways_ahead(*own, &all, "i-1"), gateways_ahead(*own, &all, "i-1"));
    }
}
