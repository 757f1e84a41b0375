//! Words for an earlier life of a place don't count for the next one there.

use std::net::Ipv4Addr;

use registry::{
    DIGEST_RANGES, Effect, Event, Heartbeat, InstanceId, InstanceState, Message, RecordVersion, Registry,
    Timing,
};
use types::{CallId, MS, Micros, NodeAddress, SECOND};

fn place(node: u8) -> NodeAddress {
    NodeAddress(Ipv4Addr::new(10, 0, 0, node))
}

fn timing() -> Timing {
    Timing::for_heartbeat_interval(SECOND)
}

fn hub(seed: u64, now: Micros) -> Registry {
    let mut cast = Registry::new(place(1), timing(), seed, now);
    cast.step(
        now,
        Event::Peers { registry_nodes: vec![place(1), place(2), place(3)], gateways: vec![place(9)] },
    );
    cast.step(now, Event::Voters { addresses: vec![place(1), place(2), place(3)] });
    cast
}

fn beat(number: u16, draining: bool, sequence: u64) -> Heartbeat {
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

/// Has an instance drain; the numbers of the rounds that others were told of it.
fn drains(cast: &mut Registry, now: Micros, call: u64, number: u16) -> (Vec<u64>, Vec<Effect>) {
    let mut out = cast.step(now, Event::Heartbeat { call: CallId(call), heartbeat: beat(number, false, 1) });
    out.extend(cast.step(now, Event::Heartbeat { call: CallId(call + 1), heartbeat: beat(number, true, 2) }));
    let rounds = out.iter().filter_map(|effect| match effect {
        Effect::Send { message: Message::DrainNotice { round, .. }, .. } => Some(*round),
        _ => None,
    });
    (rounds.collect(), out)
}

fn taken(out: &[Effect], call: u64) -> bool {
    out.iter().any(|effect| matches!(effect, Effect::Accepted { call: of, .. } if *of == CallId(call)))
}

#[test]
fn what_others_heard_from_an_earlier_life_acknowledges_no_drain() {
    for seed in 0..100 {
        let mut first = hub(2 * seed, 0);
        let mut rounds = Vec::new();
        for number in 0..50 {
            rounds.extend(drains(&mut first, 0, 10 * u64::from(number), number).0);
        }
        assert!(rounds.len() >= 50);
        // The same place starts again; the same instances drain there, and nobody has heard of it.
        let mut second = hub(2 * seed + 1, SECOND);
        let mut own = Vec::new();
        for number in 0..50 {
            let (round, out) = drains(&mut second, SECOND, 10 * u64::from(number), number);
            assert!(!taken(&out, 10 * u64::from(number) + 1));
            own.extend(round.first().copied());
        }
        let mut late = Vec::new();
        for (round, from) in rounds.iter().flat_map(|round| [2, 3, 9].map(|from| (*round, place(from)))) {
            let message = Message::DrainAck { round };
            late.extend(second.step(SECOND + MS, Event::Received { from, message }));
        }
        assert!(!late.iter().any(|effect| matches!(effect, Effect::Accepted { .. })), "seed {seed}");
        // Those who have heard of it from this life do count.
        let mut heard = Vec::new();
        for (round, from) in own.iter().flat_map(|round| [2, 3, 9].map(|from| (*round, place(from)))) {
            let message = Message::DrainAck { round };
            heard.extend(second.step(SECOND + 2 * MS, Event::Received { from, message }));
        }
        assert!((0..50).all(|number| taken(&heard, 10 * number + 1)), "seed {seed}");
    }
}

#[test]
fn keys_for_an_earlier_life_are_no_list() {
    let mut cast = Registry::new(place(9), timing(), 1, 0);
    let out = cast.step(0, Event::Peers { registry_nodes: vec![place(1), place(2)], gateways: Vec::new() });
    let asks = |effect: &Effect| matches!(effect, Effect::Send { message: Message::Digest { empty: true, sums }, .. } if sums.len() == DIGEST_RANGES);
    assert!(out.iter().any(asks), "one that begins asks for everything: {out:?}");
    // What an earlier life had compared with a hub that stood still: a few keys of many.
    let key = RecordVersion { id_hash: 7, state: InstanceState::InService, sequence: 3, owner: place(1) };
    let message = Message::Versions { complete_ranges: 0, versions: vec![key] };
    let out = cast.step(MS, Event::Received { from: place(1), message });
    let wants = |effect: &Effect| matches!(effect, Effect::Send { message: Message::Request { .. }, .. });
    assert!(!out.iter().any(wants), "{out:?}");
    assert!(!cast.initial_sync_done(), "it still asks for the list");
    let message = Message::Records { records: Vec::new() };
    cast.step(2 * MS, Event::Received { from: place(2), message });
    assert!(cast.initial_sync_done());
}
