//! Registry nodes that disagree on which gateways are up: all reachable nodes learn of a drain in time,
//! whichever nodes are wrongly considered down.

#[allow(dead_code)]
mod cluster;

use cluster::TestCluster;
use registry::{InstanceId, InstanceState};
use types::{Micros, SECOND};

const LEAVING: [InstanceState; 2] = [InstanceState::Draining, InstanceState::Gone];
const REGISTRY_NODES: usize = 11;
const GATEWAYS: usize = 59;
/// Time in which all nodes have to know of a drain; the setting `DrainS` is 2.5 s.
const KNOWN_WITHIN: Micros = 2 * SECOND;

/// Starts a drain while registry nodes wrongly consider gateways down (30 random pairs). Returns the number
/// of nodes that don't know of it in time.
fn nodes_that_missed_the_drain(seed: u64, loss_percent: u32, gateways_choose: bool) -> usize {
    let mut cluster = TestCluster::new(seed, REGISTRY_NODES, GATEWAYS, 20);
    cluster.loss_percent = loss_percent;
    cluster.streams_until = Some(Default::default());
    cluster.run(6 * SECOND);
    for turn in 0..30 {
        let gateway = cluster.gateways[cluster.rng.rand_range(0..GATEWAYS as u32) as usize % (turn % 6 + 50)];
        let registry_node = cluster.registry_nodes[cluster.rng.rand_range(0..REGISTRY_NODES as u32) as usize];
        cluster.considered_down.insert((registry_node, gateway));
    }
    if gateways_choose {
        cluster.choose_registry_nodes();
    } else {
        cluster.update_peers();
    }
    let id = InstanceId("i-00000003".into());
    cluster.drain(&id);
    cluster.run_until(cluster.now + 3 * SECOND, |cluster| {
        cluster.instances.iter().any(|one| one.drain_acknowledged.is_some())
    });
    let Some((_, at)) = cluster.instance(&id).drain_acknowledged else { return 0 };
    cluster.run((at + KNOWN_WITHIN - cluster.now).max(0));
    cluster.nodes_without(&id, &LEAVING).len()
}

#[test]
fn drains_are_known_in_time_where_gateways_choose_their_registry_nodes() {
    let seeds = std::env::var("SEEDS").map_or(Ok(12), |seeds| seeds.parse()).expect("a number");
    for loss_percent in [20, 35] {
        let missed: Vec<u64> =
            (1..=seeds).filter(|seed| nodes_that_missed_the_drain(*seed, loss_percent, true) > 0).collect();
        if std::env::var("SHARES").is_ok() {
            let missed_with_shares = (1..=seeds)
                .filter(|seed| nodes_that_missed_the_drain(*seed, loss_percent, false) > 0)
                .count();
            println!(
                "{loss_percent} % lost: {} of {seeds} missed, with assigned shares {missed_with_shares}",
                missed.len()
            );
        }
        assert_eq!(missed, [0; 0], "{loss_percent} % lost");
    }
}
