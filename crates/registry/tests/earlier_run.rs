//! Messages meant for an earlier run of a node don't count for the next run at the same address.

use std::net::Ipv4Addr;

use registry::{
    DIGEST_RANGES, Effect, Event, Heartbeat, InstanceId, InstanceState, Message, RecordVersion, Registry,
    Timing,
};
use types::{CallId, MS, Micros, NodeAddress, SECOND};

fn address(node: u8) -> NodeAddress {
    NodeAddress(Ipv4Addr::new(10, 0, 0, node))
}

fn timing() -> Timing {
    Timing::for_heartbeat_interval(SECOND)
}

fn registry_node(seed: u64, now: Micros) -> Registry {
    let mut node = Registry::new(address(1), timing(), seed, now);
    node.step(
        now,
        Event::Peers { registry_nodes: vec![address(1), address(2), address(3)], gateways: vec![address(9)] },
    );
    node.step(now, Event::Voters { addresses: vec![address(1), address(2), address(3)] });
    node
}

fn heartbeat(number: u16, draining: bool, sequence: u64) -> Heartbeat {
    Heartbeat {
        id: InstanceId(format!("i-{number}")),
        service: "view".into(),
        address: format!("10.1.0.{}:80", number + 1).parse().expect("an address"),
        zone: "khomas-a".into(),
        version: "v1".into(),
        slots: 4,
        draining,
        warmup_left: 0,
        sequence,
    }
}

/// Makes an instance drain. Returns the numbers of the rounds of notices, and all effects.
fn drain(node: &mut Registry, now: Micros, call: u64, number: u16) -> (Vec<u64>, Vec<Effect>) {
    let mut out =
        node.step(now, Event::Heartbeat { call: CallId(call), heartbeat: heartbeat(number, false, 1) });
    out.extend(
        node.step(now, Event::Heartbeat { call: CallId(call + 1), heartbeat: heartbeat(number, true, 2) }),
    );
    let rounds = out.iter().filter_map(|effect| match effect {
        Effect::Send { message: Message::DrainNotice { round, .. }, .. } => Some(*round),
        _ => None,
    });
    (rounds.collect(), out)
}

fn is_accepted(out: &[Effect], call: u64) -> bool {
    out.iter()
        .any(|effect| matches!(effect, Effect::Accepted { call: accepted, .. } if *accepted == CallId(call)))
}

#[test]
fn acknowledgements_for_an_earlier_run_confirm_no_drain() {
    for seed in 0..100 {
        let mut first = registry_node(2 * seed, 0);
        let mut rounds = Vec::new();
        for number in 0..50 {
            rounds.extend(drain(&mut first, 0, 10 * u64::from(number), number).0);
        }
        assert!(rounds.len() >= 50);
        // A new run at the same address: the same instances drain, and no other node knows.
        let mut second = registry_node(2 * seed + 1, SECOND);
        let mut own_rounds = Vec::new();
        for number in 0..50 {
            let (round, out) = drain(&mut second, SECOND, 10 * u64::from(number), number);
            assert!(!is_accepted(&out, 10 * u64::from(number) + 1));
            own_rounds.extend(round.first().copied());
        }
        let mut effects_of_late = Vec::new();
        for (round, from) in rounds.iter().flat_map(|round| [2, 3, 9].map(|from| (*round, address(from)))) {
            let message = Message::DrainAck { round };
            effects_of_late.extend(second.step(SECOND + MS, Event::Received { from, message }));
        }
        assert!(
            !effects_of_late.iter().any(|effect| matches!(effect, Effect::Accepted { .. })),
            "seed {seed}"
        );
        // Acknowledgements for rounds of this run do count.
        let mut effects = Vec::new();
        for (round, from) in own_rounds.iter().flat_map(|round| [2, 3, 9].map(|from| (*round, address(from))))
        {
            let message = Message::DrainAck { round };
            effects.extend(second.step(SECOND + 2 * MS, Event::Received { from, message }));
        }
        assert!((0..50).all(|number| is_accepted(&effects, 10 * number + 1)), "seed {seed}");
    }
}

#[test]
fn versions_sent_to_an_earlier_run_do_not_complete_the_initial_sync() {
    let mut node = Registry::new(address(9), timing(), 1, 0);
    let out =
        node.step(0, Event::Peers { registry_nodes: vec![address(1), address(2)], gateways: Vec::new() });
    let asks_for_all = |effect: &Effect| match effect {
        Effect::Send { message: Message::Digest { empty: true, sums }, .. } => sums.len() == DIGEST_RANGES,
        _ => false,
    };
    assert!(out.iter().any(asks_for_all), "an empty node asks for all records: {out:?}");
    // Late answer to a comparison of an earlier run, by a registry node that was paused: few versions of
    // many.
    let version =
        RecordVersion { id_hash: 7, state: InstanceState::InService, sequence: 3, owner: address(1) };
    let message = Message::Versions { complete_ranges: 0, versions: vec![version] };
    let out = node.step(MS, Event::Received { from: address(1), message });
    let requests = |effect: &Effect| matches!(effect, Effect::Send { message: Message::Request { .. }, .. });
    assert!(!out.iter().any(requests), "{out:?}");
    assert!(!node.initial_sync_done(), "it still asks for all records");
    let message = Message::Records { records: Vec::new() };
    node.step(2 * MS, Event::Received { from: address(2), message });
    assert!(node.initial_sync_done());
}
