//! The carrier of messages between nodes: datagrams, until there are signs that they are lost.

use std::net::Ipv4Addr;

use membership::{Member, Role};
use playhouse::carrier_selection::CarrierSelector;
use playhouse::node::{NodeCore, NodeMessage};
use types::{Carrier, DATAGRAM_MAX_BYTES, NodeAddress, NodeVersion, RunId, SECOND};

const CONTROL_NODE: NodeAddress = NodeAddress(Ipv4Addr::new(10, 0, 0, 1));
const PEER: NodeAddress = NodeAddress(Ipv4Addr::new(10, 0, 0, 2));

#[test]
fn a_node_is_written_to_by_stream_for_a_while_after_the_last_sign_of_loss() {
    let mut carriers = CarrierSelector::default();
    assert_eq!(carriers.carrier(0, PEER, false), Carrier::Datagram);
    carriers.require_stream(0, PEER);
    assert_eq!(carriers.carrier(4 * SECOND, PEER, false), Carrier::Stream);
    assert_eq!(carriers.carrier(4 * SECOND, CONTROL_NODE, true), Carrier::Datagram);
    carriers.require_stream(4 * SECOND, PEER);
    assert_eq!(carriers.carrier(8 * SECOND, PEER, false), Carrier::Stream);
    assert_eq!(carriers.stream_peer_count(8 * SECOND), 1);
    assert_eq!(carriers.carrier(10 * SECOND, PEER, false), Carrier::Datagram);
    assert_eq!(carriers.stream_peer_count(10 * SECOND), 0);
}

#[test]
fn a_stream_message_that_a_datagram_could_hold_is_answered_by_stream() {
    let mut carriers = CarrierSelector::default();
    // A stream message too long for a datagram is no sign of loss.
    carriers.received(0, PEER, false, Carrier::Stream, DATAGRAM_MAX_BYTES + 1);
    carriers.received(0, PEER, false, Carrier::Datagram, 40);
    assert_eq!(carriers.carrier(0, PEER, false), Carrier::Datagram);
    carriers.received(0, PEER, false, Carrier::Stream, 40);
    assert_eq!(carriers.carrier(0, PEER, false), Carrier::Stream);
    assert!(!carriers.link_degraded(0));
    // The reply is sent; later messages go by datagram again.
    carriers.finish_reply();
    assert_eq!(carriers.carrier(0, PEER, false), Carrier::Datagram);
}

#[test]
fn an_unprompted_stream_message_of_a_control_node_marks_the_link_degraded_and_a_reply_does_not() {
    let other = NodeAddress(Ipv4Addr::new(10, 0, 0, 3));
    let mut carriers = CarrierSelector::default();
    carriers.received(0, CONTROL_NODE, true, Carrier::Stream, 40);
    carriers.finish_reply();
    assert!(carriers.link_degraded(SECOND));
    assert_eq!(carriers.carrier(SECOND, other, true), Carrier::Stream);
    carriers.record_stream_send(SECOND, other);
    carriers.received(1_900_000, other, true, Carrier::Stream, 40);
    carriers.finish_reply();
    // Two nodes that answer each other by stream still go back to datagrams.
    assert!(!carriers.link_degraded(2 * SECOND));
    assert_eq!(carriers.carrier(2 * SECOND, other, true), Carrier::Datagram);
}

#[test]
fn a_node_whose_probes_fail_reaches_control_nodes_by_stream_and_others_by_datagram() {
    let mut carriers = CarrierSelector::default();
    carriers.set_probes_failing(true);
    assert_eq!(carriers.carrier(0, CONTROL_NODE, true), Carrier::Stream);
    assert_eq!(carriers.carrier(0, PEER, false), Carrier::Datagram);
    carriers.set_probes_failing(false);
    assert_eq!(carriers.carrier(0, CONTROL_NODE, true), Carrier::Datagram);
}

#[test]
fn the_number_of_nodes_written_to_by_stream_is_limited() {
    let mut carriers = CarrierSelector::default();
    let address = |number: u8| NodeAddress(Ipv4Addr::new(10, 0, 1, number));
    (0..=255).for_each(|number| carriers.require_stream(0, address(number)));
    assert_eq!(carriers.stream_peer_count(0), 128);
    // Once their period is over, another node can be added.
    carriers.require_stream(6 * SECOND, address(255));
    assert_eq!(carriers.carrier(6 * SECOND, address(255), false), Carrier::Stream);
}

#[test]
fn a_recorded_stream_send_is_renewed_when_the_limit_is_reached() {
    let mut carriers = CarrierSelector::default();
    let address = |number: u8| NodeAddress(Ipv4Addr::new(10, 0, 1, number));
    (0..=255).for_each(|number| carriers.record_stream_send(0, address(number)));
    carriers.record_stream_send(1_900_000, address(0));
    // Its message is a reply to the one just sent, and no sign of a degraded link.
    carriers.received(3 * SECOND, address(0), true, Carrier::Stream, 40);
    assert!(!carriers.link_degraded(3 * SECOND));
}

fn node(address: NodeAddress, role: Role, seed: NodeAddress) -> NodeCore {
    let own = Member {
        address,
        run_id: RunId(7),
        role,
        zone: "hala-a".into(),
        name: address.to_string(),
        version: NodeVersion::CURRENT,
    };
    NodeCore::start(own, vec![seed], SECOND, 1, 0)
}

/// Exchanges all pending messages of two nodes at one moment, for a few rounds.
fn exchange_messages(one: &mut NodeCore, other: &mut NodeCore) {
    for _ in 0..8 {
        for turn in 0..2 {
            let (from, to) = if turn == 0 { (&mut *one, &mut *other) } else { (&mut *other, &mut *one) };
            for (_, envelope) in from.take_envelopes() {
                let bytes = envelope.to_bytes().expect("a message that can be encoded");
                to.received(0, from.own.address, &bytes, envelope.carrier());
            }
        }
    }
}

#[test]
fn votes_of_a_gateway_with_a_degraded_link_go_by_stream() {
    let mut gateway = node(PEER, Role::Gateway, CONTROL_NODE);
    let mut control = node(CONTROL_NODE, Role::ControlNode, PEER);
    exchange_messages(&mut gateway, &mut control);
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
        gateway.send(CONTROL_NODE, vote());
        let envelopes = gateway.take_envelopes();
        let vote = envelopes.iter().find(|(_, envelope)| matches!(**envelope, NodeMessage::Vote(_)));
        vote.expect("it votes").1.carrier()
    };
    assert_eq!(carrier(&mut gateway), Carrier::Datagram);
    // The control node sends an unprompted stream message, as it does after a missing acknowledgement.
    control.send(PEER, vote());
    let (_, envelope) = control.take_envelopes().pop().expect("a message");
    gateway.received(
        SECOND,
        CONTROL_NODE,
        &envelope.to_bytes().expect("a message that can be encoded"),
        Carrier::Stream,
    );
    gateway.take_envelopes();
    assert_eq!(carrier(&mut gateway), Carrier::Stream);
}
