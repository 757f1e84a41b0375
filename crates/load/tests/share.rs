//! Which gateways use which instances: all work it out alike, each instance has as many as it takes, and a gateway
//! that goes moves nobody else's places.

use std::net::Ipv4Addr;

use load::{ConnectionShare, gateways_ahead};
use types::NodeAddress;

fn gateways(count: u8) -> Vec<NodeAddress> {
    (0..count).map(|number| NodeAddress(Ipv4Addr::new(10, 1 + number % 3, 0, 15 + number))).collect()
}

fn users(share: ConnectionShare, gateways: &[NodeAddress], instance: &str) -> Vec<NodeAddress> {
    gateways
        .iter()
        .copied()
        .filter(|own| gateways_ahead(*own, gateways, instance) < share.max_gateways)
        .collect()
}

#[test]
fn each_instance_has_as_many_gateways_as_it_takes_and_few_move_when_one_goes() {
    let all = gateways(59);
    let share = ConnectionShare::new(18, all.len());
    assert_eq!((share.max_gateways, share.connections_per_gateway), (15, 1));
    let mut load = vec![0; all.len()];
    let gone = all[20];
    let rest: Vec<NodeAddress> = all.iter().copied().filter(|place| *place != gone).collect();
    for number in 0..180 {
        let instance = format!("i-{:08x}", (number * 0x9e37_79b9_u64) & 0xffff_ffff);
        let before = users(share, &all, &instance);
        assert_eq!(before.len(), 15);
        for place in &before {
            load[all.iter().position(|known| known == place).expect("one of them")] += 1;
        }
        let after = users(share, &rest, &instance);
        assert_eq!(after.len(), 15);
        let kept = before.iter().filter(|place| after.contains(place)).count();
        assert_eq!(
            kept,
            15 - usize::from(before.contains(&gone)),
            "only the place of the one that went moves"
        );
    }
    // 180 instances by 15 over 59 gateways is 46 each.
    assert!(load.iter().all(|count| (25..=70).contains(count)), "{load:?}");
}

#[test]
fn where_there_is_enough_for_all_everybody_uses_every_instance() {
    let all = gateways(9);
    let share = ConnectionShare::new(94, all.len());
    assert_eq!((share.max_gateways, share.connections_per_gateway), (9, 8));
    assert_eq!(users(share, &all, "i-7f3a91c2").len(), 9);
    assert_eq!(ConnectionShare::new(0, 0), ConnectionShare { max_gateways: 1, connections_per_gateway: 1 });
}

/// Four instances that accept 100 connections each, before 150 gateways: each has a place for 85, and some gateways have none.
#[test]
fn a_gateway_that_no_instance_has_a_place_for_uses_the_nearest_one() {
    let all = gateways(150);
    let share = ConnectionShare::new(100, all.len());
    assert_eq!(share.max_gateways, 85);
    let instances = ["i-0", "i-1", "i-2", "i-3"];
    let mut load = [0; 4];
    let mut without = 0;
    for own in &all {
        let before: Vec<usize> =
            instances.iter().map(|instance| gateways_ahead(*own, &all, instance)).collect();
        let usable = share.usable_instances(&before);
        without += usize::from(before.iter().all(|before| *before >= share.max_gateways));
        assert!(usable.contains(&true), "{own} may use none");
        for (load, usable) in load.iter_mut().zip(usable) {
            *load += usize::from(usable);
        }
    }
    assert!(without > 0, "this size has gateways without a place");
    assert!(load.iter().all(|load| *load <= 100), "{load:?}");
    assert_eq!(share.usable_instances(&[]), [false; 0]);
}

#[test]
fn the_order_is_worked_out_only_where_not_everybody_has_a_place() {
    let all = gateways(9);
    let (enough, scarce) = (ConnectionShare::new(94, all.len()), ConnectionShare::new(4, all.len()));
    for own in &all {
        assert_eq!(enough.usable_instances(&[enough.gateways_ahead(*own, &all, "i-1")]), [true]);
        assert_eq!(scarce.gateways_ahead(*own, &all, "i-1"), gateways_ahead(*own, &all, "i-1"));
    }
}
