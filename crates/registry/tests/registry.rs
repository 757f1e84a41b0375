//! Guarantees of the registry in a seeded cluster with lost messages, network partitions and killed nodes.

#[allow(dead_code)]
mod cluster;

use std::net::Ipv4Addr;

use cluster::{HEARTBEAT_INTERVAL, TestCluster};
use registry::{Effect, Event, InstanceId, InstanceState, Message, Record, Registry, Timing};
use types::{MS, Micros, NodeAddress, SECOND};

const LEAVING: [InstanceState; 2] = [InstanceState::Draining, InstanceState::Gone];

#[test]
fn all_nodes_learn_all_instances_and_an_idle_cluster_sends_few_messages() {
    for (registry_nodes, gateways, instances) in [(5, 10, 34), (11, 59, 215)] {
        let mut cluster = TestCluster::new(7, registry_nodes, gateways, instances);
        cluster.run(HEARTBEAT_INTERVAL + 2_500 * MS);
        cluster.assert_all_know();
        cluster.run(20 * SECOND);
        let before = cluster.messages_sent;
        cluster.run(10 * SECOND);
        cluster.assert_all_know();
        let per_node_and_second =
            (cluster.messages_sent - before) as f64 / (registry_nodes + gateways) as f64 / 10.0;
        assert!(per_node_and_second < 3.0, "{per_node_and_second} messages a second from each node");
        assert!(
            cluster.longest_message_bytes <= 1000,
            "a message of {} bytes",
            cluster.longest_message_bytes
        );
        for registry_node in cluster.registry_nodes.clone() {
            let owned = cluster.running[&registry_node]
                .registry
                .instances()
                .filter(|known| known.owner == registry_node)
                .count();
            assert!(owned <= instances / registry_nodes * 2 + 4, "{owned} owned by one registry node");
        }
    }
}

#[test]
fn a_drain_acknowledged_by_a_registry_node_that_dies_at_once_is_known_everywhere_within_two_seconds() {
    assert_drains_spread_in_time(2_500 * MS, 2 * SECOND);
}

/// With the setting `DrainS` of 1.5 s and of 1 s, drains are known within 1.2 s and 0.9 s.
#[test]
fn drains_spread_faster_with_a_lower_drain_limit() {
    assert_drains_spread_in_time(1_500 * MS, 1_200 * MS);
    assert_drains_spread_in_time(SECOND, 900 * MS);
}

fn assert_drains_spread_in_time(drain_limit: Micros, known_within: Micros) {
    let seeds = std::env::var("SEEDS").map_or(Ok((60, 6)), |most| most.parse().map(|most| (most, most / 2)));
    let (small, large) = seeds.expect("a number");
    for (registry_nodes, gateways, seeds) in [(5, 10, small), (11, 59, large)] {
        for seed in 0..seeds {
            let mut cluster = TestCluster::with_drain_limit(seed, registry_nodes, gateways, 20, drain_limit);
            cluster.loss_percent = 5;
            cluster.run(6 * SECOND);
            let id = InstanceId("i-00000003".into());
            cluster.drain(&id);
            cluster.run_until(cluster.now + 3 * SECOND, |cluster| {
                cluster.instances.iter().any(|one| one.drain_acknowledged.is_some())
            });
            let (registry_node, at) = cluster.instance(&id).drain_acknowledged.expect("acknowledged");
            // Killed, or partitioned while its last messages are still in flight.
            if seed % 2 == 0 {
                cluster.kill(registry_node)
            } else {
                cluster.set_partition(&[registry_node])
            }
            cluster.run((at + known_within - cluster.now).max(0));
            assert_eq!(
                cluster.nodes_without(&id, &LEAVING),
                [],
                "seed {seed}, {registry_nodes} registry nodes, DrainS {drain_limit}"
            );
        }
    }
}

/// In a large cluster, each registry node informs its share of the gateways of a drain. This must also hold
/// if it first learned of the drain by gossip or from a comparison, so that the notice of the node that
/// started it contains nothing new.
#[test]
fn a_registry_node_relays_a_drain_to_its_gateways_however_it_learned_of_it() {
    let gateways: Vec<NodeAddress> = (100..130).map(cluster::address).collect();
    let registry_nodes: Vec<NodeAddress> = (0..5).map(cluster::address).collect();
    let record = |state| Record {
        id: InstanceId("i-leaves".into()),
        service: "huvo0a".into(),
        address: "10.128.0.9:8000".parse().expect("an address"),
        zone: "hala-a".into(),
        version: "v1".into(),
        slots: 3,
        state,
        sequence: 7,
        age: 9 * SECOND,
        warmup_left: 0,
        state_age: 0,
        owner: registry_nodes[4],
    };
    let gateways_informed = |first: Message| {
        let mut node =
            Registry::new(registry_nodes[0], Timing::for_heartbeat_interval(HEARTBEAT_INTERVAL), 3, 0);
        node.step(0, Event::Peers { registry_nodes: registry_nodes.clone(), gateways: gateways.clone() });
        node.step(
            0,
            Event::Received {
                from: registry_nodes[4],
                message: Message::Records { records: vec![record(InstanceState::InService)] },
            },
        );
        let mut out = node.step(SECOND, Event::Received { from: gateways[3], message: first });
        let leaving = Message::DrainNotice { round: 1, record: record(InstanceState::Draining) };
        out.extend(node.step(SECOND + MS, Event::Received { from: registry_nodes[4], message: leaving }));
        out.extend(node.step(SECOND + 100 * MS, Event::Tick));
        let is_informed = |gateway: &&NodeAddress| {
            let informs = |effect: &Effect| match effect {
                Effect::Send { to, message: Message::Update { records, .. } } => {
                    to == *gateway && records.iter().any(|one| one.state == InstanceState::Draining)
                }
                _ => false,
            };
            out.iter().any(informs)
        };
        // Two of the five registry nodes inform each gateway, so two fifths of the 30 gateways are this
        // node's.
        gateways.iter().filter(|gateway| is_informed(gateway)).count()
    };
    let update = |relay| Message::Update { relay, records: vec![record(InstanceState::Draining)] };
    for first in
        [update(true), update(false), Message::Records { records: vec![record(InstanceState::Draining)] }]
    {
        let description = format!("{first:?}");
        assert!(gateways_informed(first) >= 12, "{description}");
    }
}

#[test]
fn a_registry_node_without_a_majority_or_any_other_node_acknowledges_no_drain() {
    let mut cluster = TestCluster::new(3, 3, 4, 6);
    cluster.run(6 * SECOND);
    let alone = cluster.registry_nodes[0];
    cluster.set_partition(&[alone]);
    for wait in [0, 4 * SECOND] {
        // At first it still considers the others up; later it considers all of them down.
        cluster.run(wait);
        let mut heartbeat = cluster.instances[0].heartbeat.clone();
        (heartbeat.draining, heartbeat.sequence) = (true, heartbeat.sequence + 100);
        let call = cluster.send_heartbeat(alone, heartbeat);
        cluster.run(790 * MS);
        assert_eq!(cluster.answer(call), None);
        cluster.run(20 * MS);
        assert_eq!(cluster.answer(call), Some(Effect::Rejected { call }));
    }
    // The drain is not lost: the others learn of it when the partition ends.
    cluster.set_partition(&[]);
    cluster.run(3 * SECOND);
    assert_eq!(cluster.nodes_without(&InstanceId("i-00000000".into()), &LEAVING), []);
}

/// The majority is taken of the voters, not of the nodes that a registry node considers up: a node that has
/// been cut off for long considers no other one up and would be a majority on its own, with one
/// gateway to confirm the drain.
#[test]
fn a_registry_node_partitioned_with_gateways_acknowledges_no_drain_and_redirects_instances_in_time() {
    for seed in 0..20 {
        let mut cluster = TestCluster::new(seed, 3, 6, 12);
        cluster.run(6 * SECOND);
        let (alone, same_side) = (cluster.registry_nodes[0], cluster.gateways[..3].to_vec());
        let owned = |cluster: &TestCluster| {
            cluster.running[&alone].registry.instances().filter(|known| known.owner == alone).count()
        };
        assert!(owned(&cluster) > 0, "seed {seed}");
        cluster.set_partition(&[&[alone], &same_side[..]].concat());
        // An instance on its side of the partition drains at this node only.
        let mut heartbeat = cluster.instances[0].heartbeat.clone();
        (heartbeat.draining, heartbeat.sequence) = (true, heartbeat.sequence + 100);
        cluster.instances[0].alive = false;
        for _ in 0..20 {
            heartbeat.sequence += 1;
            let call = cluster.send_heartbeat(alone, heartbeat.clone());
            cluster.run(SECOND);
            assert_eq!(cluster.answer(call), Some(Effect::Rejected { call }), "seed {seed}");
        }
        // The drain is known on its side, and on the other side no instance was without a registry node for
        // long.
        for at in &same_side {
            let known = cluster.running[at].registry.get(&heartbeat.id).map(|known| known.state);
            assert!(known.is_some_and(InstanceState::is_leaving), "seed {seed}: {known:?} at {at}");
        }
        let in_service = cluster.running[&cluster.gateways[5]].registry.instances();
        let in_service = in_service
            .filter(|known| known.state == InstanceState::InService && known.owner != alone)
            .count();
        assert_eq!(in_service, 11, "seed {seed}");
        cluster.set_partition(&[]);
        cluster.run(4 * SECOND);
        cluster.assert_all_know();
    }
}

/// Without any majority, no heartbeat is acknowledged, and yet no instance is dropped or declared silent.
#[test]
fn without_any_majority_heartbeats_still_count_and_no_instance_is_lost() {
    let mut cluster = TestCluster::new(6, 3, 4, 9);
    cluster.run(6 * SECOND);
    let [remaining, killed_first, killed_second] = cluster.registry_nodes[..] else {
        panic!("three registry nodes")
    };
    cluster.kill(killed_first);
    cluster.kill(killed_second);
    cluster.run(4 * SECOND);
    let mut heartbeat = cluster.instances[0].heartbeat.clone();
    heartbeat.sequence += 1;
    let call = cluster.send_heartbeat(remaining, heartbeat);
    assert_eq!(cluster.answer(call), Some(Effect::Rejected { call }));
    for _ in 0..20 {
        cluster.run(SECOND);
        cluster.assert_all_know();
    }
}

#[test]
fn a_registry_node_that_knows_no_voters_acknowledges_no_drain_but_notifies_others() {
    let address = |number| NodeAddress(Ipv4Addr::new(10, 0, 0, number));
    let (own_address, gateway) = (address(1), address(2));
    let mut registry_node =
        Registry::new(own_address, Timing::for_heartbeat_interval(HEARTBEAT_INTERVAL), 1, 0);
    registry_node.step(0, Event::Peers { registry_nodes: vec![own_address], gateways: vec![gateway] });
    let heartbeat = |sequence| registry::Heartbeat {
        id: InstanceId("i-1".into()),
        service: "s".into(),
        address: "10.9.0.1:80".parse().expect("an address"),
        zone: "z".into(),
        version: "v1".into(),
        slots: 2,
        draining: true,
        warmup_left: 0,
        sequence,
    };
    let call = types::CallId(1);
    let effects = registry_node.step(MS, Event::Heartbeat { call, heartbeat: heartbeat(1) });
    assert!(effects.contains(&Effect::Rejected { call }));
    let round = effects.iter().find_map(|effect| match effect {
        Effect::Send { to, message: Message::DrainNotice { round, .. } } if *to == gateway => Some(*round),
        _ => None,
    });
    let ack = Message::DrainAck { round: round.expect("the gateway is notified") };
    // The only voter is the node itself: the gateway's acknowledgement is needed and suffices.
    registry_node.step(2 * MS, Event::Voters { addresses: vec![own_address] });
    let call = types::CallId(2);
    assert!(
        !registry_node
            .step(3 * MS, Event::Heartbeat { call, heartbeat: heartbeat(2) })
            .contains(&Effect::Rejected { call })
    );
    let effects = registry_node.step(4 * MS, Event::Received { from: gateway, message: ack });
    assert!(effects.contains(&Effect::Accepted { call, target: Some(own_address) }), "{effects:?}");
}

#[test]
fn silent_instances_are_detected_and_return_with_a_heartbeat_even_if_their_owner_dies() {
    let mut cluster = TestCluster::new(11, 5, 10, 12);
    cluster.run(8 * SECOND);
    let id = InstanceId("i-00000001".into());
    cluster.instance(&id).alive = false;
    let owner = cluster.running[&cluster.gateways[0]].registry.get(&id).expect("known").owner;
    cluster.run(2_800 * MS);
    assert_eq!(cluster.nodes_without(&id, &[InstanceState::InService]), [], "two heartbeats may be missed");
    cluster.run(2_700 * MS);
    assert_eq!(cluster.nodes_without(&id, &[InstanceState::Silent]), []);
    let now = cluster.now;
    (cluster.instance(&id).alive, cluster.instance(&id).next_call) = (true, now);
    cluster.run(2 * SECOND);
    cluster.assert_all_know();
    // The owner and the instance die together: another registry node has to declare it silent, and no other
    // instance.
    cluster.instance(&id).alive = false;
    cluster.kill(owner);
    cluster.run(9 * SECOND);
    assert_eq!(cluster.nodes_without(&id, &[InstanceState::Silent]), []);
    cluster.assert_all_know();
}

#[test]
fn a_reused_address_ends_the_older_incarnation_for_good() {
    let mut cluster = TestCluster::new(5, 3, 6, 8);
    cluster.run(6 * SECOND);
    let old = InstanceId("i-00000002".into());
    let mut late = cluster.instance(&old).heartbeat.clone();
    cluster.instance(&old).alive = false;
    cluster.run(2 * SECOND);
    let new = cluster.add_instance("i-000000ff", 2);
    cluster.instance(&new).heartbeat.service = "another".into();
    cluster.run(5 * SECOND);
    assert_eq!(cluster.nodes_without(&old, &[InstanceState::Gone]), []);
    assert_eq!(cluster.nodes_without(&new, &[InstanceState::InService]), []);
    late.sequence += 1;
    let call = cluster.send_heartbeat(cluster.registry_nodes[1], late);
    assert!(matches!(cluster.answer(call), Some(Effect::Accepted { .. })));
    cluster.run(3 * SECOND);
    assert_eq!(cluster.nodes_without(&old, &[InstanceState::Gone]), []);
    assert_eq!(cluster.nodes_without(&new, &[InstanceState::InService]), []);
}

#[test]
fn late_calls_change_nothing_and_the_newer_of_two_records_wins() {
    let mut cluster = TestCluster::new(2, 3, 3, 2);
    cluster.run(5 * SECOND);
    let mut late = cluster.instances[0].heartbeat.clone();
    let (id, registry_node) = (late.id.clone(), cluster.registry_nodes[2]);
    late.sequence -= 1;
    late.slots = 99;
    // Registry nodes other than the owner know an older sequence number and may accept the late call for a
    // while.
    for at in cluster.registry_nodes.clone() {
        let call = cluster.send_heartbeat(at, late.clone());
        assert!(matches!(cluster.answer(call), Some(Effect::Accepted { .. })));
    }
    cluster.run(3 * SECOND);
    for node in cluster.running.values() {
        assert_eq!(node.registry.get(&id).map(|known| known.slots), Some(3));
    }
    // A drain is accepted however late it comes, and no heartbeat undoes it.
    (late.draining, late.sequence) = (true, 1);
    let call = cluster.send_heartbeat(registry_node, late);
    cluster.run(500 * MS);
    assert!(matches!(cluster.answer(call), Some(Effect::Accepted { .. })));
    cluster.run(4 * SECOND);
    assert_eq!(cluster.nodes_without(&id, &[InstanceState::Draining]), []);
}

#[test]
fn a_detach_of_an_unknown_incarnation_is_kept_for_a_minute_and_then_dropped_everywhere() {
    let mut cluster = TestCluster::new(9, 3, 6, 4);
    cluster.run(5 * SECOND);
    let id = InstanceId("i-never".into());
    let call = types::CallId(1 << 40);
    cluster.event(cluster.registry_nodes[0], registry::Event::Detach { call, id: id.clone() });
    cluster.run(500 * MS);
    assert!(matches!(cluster.answer(call), Some(Effect::Accepted { .. })));
    let mut heartbeat = cluster.instances[0].heartbeat.clone();
    (heartbeat.id, heartbeat.address) = (id.clone(), "10.9.9.9:80".parse().expect("an address"));
    cluster.send_heartbeat(cluster.registry_nodes[1], heartbeat);
    cluster.run(40 * SECOND);
    assert_eq!(cluster.nodes_without(&id, &[InstanceState::Gone]), []);
    cluster.run(25 * SECOND);
    assert_eq!(cluster.nodes_without(&id, &LEAVING).len(), 9);
    cluster.assert_all_know();
}

#[test]
fn restarted_nodes_learn_all_instances_and_a_restarted_cluster_learns_them_from_heartbeats() {
    let mut cluster = TestCluster::new(21, 5, 10, 34);
    cluster.run(6 * SECOND);
    let (registry_node, gateway) = (cluster.registry_nodes[1], cluster.gateways[3]);
    cluster.kill(registry_node);
    cluster.kill(gateway);
    cluster.run(SECOND);
    cluster.start_node(registry_node);
    cluster.start_node(gateway);
    cluster.run(2 * SECOND + 500 * MS);
    cluster.assert_all_know();
    for at in cluster.running.keys().copied().collect::<Vec<_>>() {
        cluster.kill(at);
        cluster.start_node(at);
    }
    cluster.run(HEARTBEAT_INTERVAL + 3 * SECOND);
    cluster.assert_all_know();
}

#[test]
fn after_a_partition_no_instance_is_wrongly_silent_and_drained_ones_do_not_return() {
    let mut cluster = TestCluster::new(13, 5, 10, 20);
    cluster.run(6 * SECOND);
    let id = InstanceId("i-00000004".into());
    let side: Vec<_> = [&cluster.registry_nodes[..2], &cluster.gateways[..3]].concat();
    cluster.set_partition(&side);
    cluster.run(2 * SECOND);
    cluster.drain(&id);
    cluster.run(3 * SECOND);
    cluster.instance(&id).alive = false;
    cluster.set_partition(&[]);
    cluster.run(4 * SECOND);
    assert_eq!(cluster.nodes_without(&id, &LEAVING), []);
    cluster.assert_all_know();
}

#[test]
fn a_paused_registry_node_declares_nobody_silent_and_refuses_heartbeats_for_a_moment() {
    let mut cluster = TestCluster::new(17, 1, 2, 3);
    cluster.run(4 * SECOND);
    let registry_node = cluster.registry_nodes[0];
    let pause: Micros = 7 * SECOND;
    // Nothing ran meanwhile; heartbeats that waited in buffers may be from instances that have ended since.
    cluster.now += pause;
    let mut heartbeat = cluster.instances[0].heartbeat.clone();
    heartbeat.sequence += 1;
    let call = cluster.send_heartbeat(registry_node, heartbeat);
    assert_eq!(cluster.answer(call), Some(Effect::Rejected { call }));
    cluster.run(3 * SECOND);
    cluster.assert_all_know();
}

#[test]
fn after_a_full_restart_instances_are_known_at_once_and_dead_ones_become_silent_soon() {
    for seed in 0..20 {
        let mut cluster = TestCluster::new(seed, 5, 10, 34);
        cluster.run(8 * SECOND);
        let (crashed, draining) = (InstanceId("i-00000003".into()), InstanceId("i-00000007".into()));
        cluster.drain(&draining);
        cluster.run(SECOND);
        cluster.instance(&crashed).alive = false;
        cluster.restart_all(1_500 * MS);
        let restarted_at = cluster.now;
        cluster.loss_percent = 0;
        cluster.run(400 * MS);
        cluster.loss_percent = 2;
        for node in cluster.running.values() {
            let in_service =
                node.registry.instances().filter(|known| known.state == InstanceState::InService).count();
            assert!(in_service >= 33, "{in_service} known, seed {seed}");
        }
        assert_eq!(cluster.nodes_without(&draining, &LEAVING), [], "seed {seed}");
        cluster.run(restarted_at + 2_950 * MS - cluster.now);
        assert_eq!(cluster.nodes_without(&crashed, &[InstanceState::Silent]), [], "seed {seed}");
        assert_eq!(cluster.nodes_without(&draining, &LEAVING), [], "seed {seed}");
        cluster.run(3 * SECOND);
        cluster.assert_all_know();
    }
}

#[test]
fn an_old_snapshot_does_not_undo_a_drain() {
    for seed in 0..20 {
        let mut cluster = TestCluster::new(seed, 5, 10, 12);
        cluster.run(6 * SECOND);
        let registry_node = cluster.registry_nodes[seed as usize % 5];
        let (snapshot, id) =
            (cluster.running[&registry_node].registry.snapshot(cluster.now), InstanceId("i-00000003".into()));
        cluster.kill(registry_node);
        cluster.drain(&id);
        cluster.run(6 * SECOND);
        let other_nodes =
            cluster.running.keys().filter(|at| **at != registry_node).copied().collect::<Vec<_>>();
        cluster.start_node_with_snapshot(registry_node, snapshot);
        for _ in 0..60 {
            cluster.run(100 * MS);
            let without = cluster.nodes_without(&id, &LEAVING);
            assert!(without.iter().all(|at| !other_nodes.contains(at)), "seed {seed}: {without:?}");
        }
        assert_eq!(cluster.nodes_without(&id, &LEAVING), [], "seed {seed}");
        cluster.assert_all_know();
    }
}

/// Found by simulation (scenario 8146): a registry node that wrongly considered an owner down kept all of its
/// instances out of use for eight seconds, as it overruled each correction by the owner within a quarter of a
/// second.
#[test]
fn a_registry_node_that_considers_a_live_owner_down_does_not_overrule_it_at_once() {
    let address = |number| NodeAddress(Ipv4Addr::new(10, 0, 0, number));
    let (own_address, other, owner) = (address(1), address(2), address(3));
    let id = InstanceId("i-1".into());
    let mut registry_node =
        Registry::new(own_address, Timing::for_heartbeat_interval(HEARTBEAT_INTERVAL), 1, 0);
    registry_node.step(0, Event::Peers { registry_nodes: vec![own_address, other], gateways: vec![] });
    let update = |registry_node: &mut Registry, now: Micros, sequence: u64| {
        let record = Record {
            id: id.clone(),
            service: "s".into(),
            address: "10.9.0.1:80".parse().expect("an address"),
            zone: "z".into(),
            version: "v1".into(),
            slots: 2,
            state: InstanceState::InService,
            sequence,
            age: now,
            warmup_left: 0,
            state_age: now,
            owner,
        };
        let message = Message::Update { relay: false, records: vec![record] };
        registry_node.step(now, Event::Received { from: owner, message });
    };
    let silent_at = |registry_node: &mut Registry, from: Micros| -> Option<Micros> {
        (0..100).map(|step| from + step * 100 * MS).find(|now| {
            registry_node.step(*now, Event::Tick);
            registry_node.get(&id).is_some_and(|known| known.state == InstanceState::Silent)
        })
    };
    update(&mut registry_node, 10 * MS, 1);
    // The owner is down and nothing is heard of the instance: it becomes silent in time.
    let first = silent_at(&mut registry_node, 100 * MS).expect("it becomes silent");
    assert!((4 * SECOND..6 * SECOND).contains(&first), "{first}");
    // The owner, which others still reach, corrects this: the correction holds for as long again.
    update(&mut registry_node, first + 50 * MS, 9);
    let again = silent_at(&mut registry_node, first + 100 * MS).expect("it becomes silent");
    assert!(again - first >= 4 * SECOND, "{again} after {first}");
}
