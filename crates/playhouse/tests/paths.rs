//! By what words go between nodes: datagrams, until something shows that they are lost.

use std::net::Ipv4Addr;

use membership::{Member, Role};
use playhouse::carrier_selection::CarrierSelector;
use playhouse::node::{NodeCore, NodeMessage};
use types::{Carrier, DATAGRAM_MAX_BYTES, NodeAddress, NodeVersion, RunId, SECOND};

const HUB: NodeAddress = NodeAddress(Ipv4Addr::new(10, 0, 0, 1));
const PEER: NodeAddress = NodeAddress(Ipv4Addr::new(10, 0, 0, 2));

#[test]
fn a_node_is_written_to_by_stream_for_a_while_after_the_last_sign_of_loss() {
    let mut paths = CarrierSelector::default();
    assert_eq!(paths.carrier(0, PEER, false), Carrier::Datagram);
    paths.require_stream(0, PEER);
    assert_eq!(paths.carrier(4 * SECOND, PEER, false), Carrier::Stream);
    assert_eq!(paths.carrier(4 * SECOND, HUB, true), Carrier::Datagram);
    paths.require_stream(4 * SECOND, PEER);
    assert_eq!(paths.carrier(8 * SECOND, PEER, false), Carrier::Stream);
    assert_eq!(paths.stream_peer_count(8 * SECOND), 1);
    assert_eq!(paths.carrier(10 * SECOND, PEER, false), Carrier::Datagram);
    assert_eq!(paths.stream_peer_count(10 * SECOND), 0);
}

#[test]
fn who_speaks_by_stream_without_need_is_answered_alike() {
    let mut paths = CarrierSelector::default();
    // What is too long for a datagram says nothing of losses.
    paths.received(0, PEER, false, Carrier::Stream, DATAGRAM_MAX_BYTES + 1);
    paths.received(0, PEER, false, Carrier::Datagram, 40);
    assert_eq!(paths.carrier(0, PEER, false), Carrier::Datagram);
    paths.received(0, PEER, false, Carrier::Stream, 40);
    assert_eq!(paths.carrier(0, PEER, false), Carrier::Stream);
    assert!(!paths.link_degraded(0));
    // That was the answer; what is said later of itself goes as ever.
    paths.finish_reply();
    assert_eq!(paths.carrier(0, PEER, false), Carrier::Datagram);
}

#[test]
fn a_hub_that_speaks_by_stream_unasked_shows_a_strained_link_and_one_that_answers_does_not() {
    let other = NodeAddress(Ipv4Addr::new(10, 0, 0, 3));
    let mut paths = CarrierSelector::default();
    paths.received(0, HUB, true, Carrier::Stream, 40);
    paths.finish_reply();
    assert!(paths.link_degraded(SECOND));
    assert_eq!(paths.carrier(SECOND, other, true), Carrier::Stream);
    paths.record_stream_send(SECOND, other);
    paths.received(1_900_000, other, true, Carrier::Stream, 40);
    paths.finish_reply();
    // Two nodes that answer each other by stream go back to datagrams all the same.
    assert!(!paths.link_degraded(2 * SECOND));
    assert_eq!(paths.carrier(2 * SECOND, other, true), Carrier::Datagram);
}

#[test]
fn a_node_whose_probes_fail_reaches_hubs_by_stream_and_others_by_datagram() {
    let mut paths = CarrierSelector::default();
    paths.set_probes_failing(true);
    assert_eq!(paths.carrier(0, HUB, true), Carrier::Stream);
    assert_eq!(paths.carrier(0, PEER, false), Carrier::Datagram);
    paths.set_probes_failing(false);
    assert_eq!(paths.carrier(0, HUB, true), Carrier::Datagram);
}

#[test]
fn no_more_nodes_are_written_to_by_stream_than_streams_are_for() {
    let mut paths = CarrierSelector::default();
    let place = |number: u8| NodeAddress(Ipv4Addr::new(10, 0, 1, number));
    (0..=255).for_each(|number| paths.require_stream(0, place(number)));
    assert_eq!(paths.stream_peer_count(0), 128);
    // Once their time is over there is room again.
    paths.require_stream(6 * SECOND, place(255));
    assert_eq!(paths.carrier(6 * SECOND, place(255), false), Carrier::Stream);
}

#[test]
fn who_is_written_to_by_stream_again_stays_so_where_many_are() {
    let mut paths = CarrierSelector::default();
    let place = |number: u8| NodeAddress(Ipv4Addr::new(10, 0, 1, number));
    (0..=255).for_each(|number| paths.record_stream_send(0, place(number)));
    paths.record_stream_send(1_900_000, place(0));
    // Its word answers ours of just now, and is no sign of a strained link.
    paths.received(3 * SECOND, place(0), true, Carrier::Stream, 40);
    assert!(!paths.link_degraded(3 * SECOND));
}

fn house(place: NodeAddress, part: Role, seed: NodeAddress) -> NodeCore {
    let own = Member {
        address: place,
        run_id: RunId(7),
        role: part,
        zone: "hala-a".into(),
        name: place.to_string(),
        version: NodeVersion::CURRENT,
    };
    NodeCore::start(own, vec![seed], SECOND, 1, 0)
}

/// All that each has to say to the other, until both are silent; at one moment.
fn talk(one: &mut NodeCore, other: &mut NodeCore) {
    for _ in 0..8 {
        for turn in 0..2 {
            let (from, to) = if turn == 0 { (&mut *one, &mut *other) } else { (&mut *other, &mut *one) };
            for (_, letter) in from.take_envelopes() {
                let bytes = letter.to_bytes().expect("a word");
                to.received(0, from.own.address, &bytes, letter.carrier());
            }
        }
    }
}

#[test]
fn votes_of_a_gateway_whose_link_is_strained_go_by_stream() {
    let mut gateway = house(PEER, Role::Gateway, HUB);
    let mut control = house(HUB, Role::ControlNode, PEER);
    talk(&mut gateway, &mut control);
    let vote = || {
        NodeMessage::Vote(control_state::Vote {
            service: "proofs".into(),
            build_number: 1,
            choice: control_state::VoteChoice::RollBack,
            trial_outcomes: 40,
            trial_failures: 20,
            base_outcomes: 400,
            base_failures: 2,
            order_age: SECOND,
            routes: Vec::new(),
        })
    };
    let carrier = |gateway: &mut NodeCore| {
        gateway.send(HUB, vote());
        let letters = gateway.take_envelopes();
        let vote = letters.iter().find(|(_, letter)| matches!(**letter, NodeMessage::Vote(_)));
        vote.expect("it votes").1.carrier()
    };
    assert_eq!(carrier(&mut gateway), Carrier::Datagram);
    // A control machine speaks by stream unasked, as it missed an acknowledgement.
    control.send(PEER, vote());
    let (_, word) = control.take_envelopes().pop().expect("a word");
    gateway.received(SECOND, HUB, &word.to_bytes().expect("a word"), Carrier::Stream);
    gateway.take_envelopes();
    assert_eq!(carrier(&mut gateway), Carrier::Stream);
}
