//! By what words go between nodes: datagrams, until something shows that they are lost.

use std::net::Ipv4Addr;

use membership::{Member, Role};
use playhouse::house::{House, Word};
use playhouse::paths::Paths;
use types::{Carrier, DATAGRAM_MAX_BYTES, NodeAddress, NodeVersion, RunId, SECOND};

const HUB: NodeAddress = NodeAddress(Ipv4Addr::new(10, 0, 0, 1));
const PEER: NodeAddress = NodeAddress(Ipv4Addr::new(10, 0, 0, 2));

#[test]
fn a_node_is_written_to_by_stream_for_a_while_after_the_last_sign_of_loss() {
    let mut paths = Paths::default();
    assert_eq!(paths.carrier(0, PEER, false), Carrier::Datagram);
    paths.insist(0, PEER);
    assert_eq!(paths.carrier(4 * SECOND, PEER, false), Carrier::Stream);
    assert_eq!(paths.carrier(4 * SECOND, HUB, true), Carrier::Datagram);
    paths.insist(4 * SECOND, PEER);
    assert_eq!(paths.carrier(8 * SECOND, PEER, false), Carrier::Stream);
    assert_eq!(paths.streams(8 * SECOND), 1);
    assert_eq!(paths.carrier(10 * SECOND, PEER, false), Carrier::Datagram);
    assert_eq!(paths.streams(10 * SECOND), 0);
}

#[test]
fn who_speaks_by_stream_without_need_is_answered_alike() {
    let mut paths = Paths::default();
    // What is too long for a datagram says nothing of losses.
    paths.heard(0, PEER, false, Carrier::Stream, DATAGRAM_MAX_BYTES + 1);
    paths.heard(0, PEER, false, Carrier::Datagram, 40);
    assert_eq!(paths.carrier(0, PEER, false), Carrier::Datagram);
    paths.heard(0, PEER, false, Carrier::Stream, 40);
    assert_eq!(paths.carrier(0, PEER, false), Carrier::Stream);
    assert!(!paths.strained(0));
    // That was the answer; what is said later of itself goes as ever.
    paths.answered();
    assert_eq!(paths.carrier(0, PEER, false), Carrier::Datagram);
}

#[test]
fn a_hub_that_speaks_by_stream_unasked_shows_a_strained_link_and_one_that_answers_does_not() {
    let other = NodeAddress(Ipv4Addr::new(10, 0, 0, 3));
    let mut paths = Paths::default();
    paths.heard(0, HUB, true, Carrier::Stream, 40);
    paths.answered();
    assert!(paths.strained(SECOND));
    assert_eq!(paths.carrier(SECOND, other, true), Carrier::Stream);
    paths.wrote(SECOND, other);
    paths.heard(1_900_000, other, true, Carrier::Stream, 40);
    paths.answered();
    // Two nodes that answer each other by stream go back to datagrams all the same.
    assert!(!paths.strained(2 * SECOND));
    assert_eq!(paths.carrier(2 * SECOND, other, true), Carrier::Datagram);
}

#[test]
fn a_node_whose_probes_fail_reaches_hubs_by_stream_and_others_by_datagram() {
    let mut paths = Paths::default();
    paths.probes_fail(true);
    assert_eq!(paths.carrier(0, HUB, true), Carrier::Stream);
    assert_eq!(paths.carrier(0, PEER, false), Carrier::Datagram);
    paths.probes_fail(false);
    assert_eq!(paths.carrier(0, HUB, true), Carrier::Datagram);
}

#[test]
fn no_more_nodes_are_written_to_by_stream_than_streams_are_for() {
    let mut paths = Paths::default();
    let place = |number: u8| NodeAddress(Ipv4Addr::new(10, 0, 1, number));
    (0..=255).for_each(|number| paths.insist(0, place(number)));
    assert_eq!(paths.streams(0), 128);
    // Once their time is over there is room again.
    paths.insist(6 * SECOND, place(255));
    assert_eq!(paths.carrier(6 * SECOND, place(255), false), Carrier::Stream);
}

#[test]
fn who_is_written_to_by_stream_again_stays_so_where_many_are() {
    let mut paths = Paths::default();
    let place = |number: u8| NodeAddress(Ipv4Addr::new(10, 0, 1, number));
    (0..=255).for_each(|number| paths.wrote(0, place(number)));
    paths.wrote(1_900_000, place(0));
    // Its word answers ours of just now, and is no sign of a strained link.
    paths.heard(3 * SECOND, place(0), true, Carrier::Stream, 40);
    assert!(!paths.strained(3 * SECOND));
}

fn house(place: NodeAddress, part: Role, seed: NodeAddress) -> House {
    let own = Member {
        address: place,
        run_id: RunId(7),
        role: part,
        zone: "hala-a".into(),
        name: place.to_string(),
        version: NodeVersion::CURRENT,
    };
    House::start(own, vec![seed], SECOND, 1, 0)
}

/// All that each has to say to the other, until both are silent; at one moment.
fn talk(one: &mut House, other: &mut House) {
    for _ in 0..8 {
        for turn in 0..2 {
            let (from, to) = if turn == 0 { (&mut *one, &mut *other) } else { (&mut *other, &mut *one) };
            for (_, letter) in from.letters() {
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
        Word::Vote(control_state::Vote {
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
    let carrier = |gateway: &mut House| {
        gateway.send(HUB, vote());
        let letters = gateway.letters();
        let vote = letters.iter().find(|(_, letter)| matches!(**letter, Word::Vote(_)));
        vote.expect("it votes").1.carrier()
    };
    assert_eq!(carrier(&mut gateway), Carrier::Datagram);
    // A control machine speaks by stream unasked, as it missed an acknowledgement.
    control.send(PEER, vote());
    let (_, word) = control.letters().pop().expect("a word");
    gateway.received(SECOND, HUB, &word.to_bytes().expect("a word"), Carrier::Stream);
    gateway.letters();
    assert_eq!(carrier(&mut gateway), Carrier::Stream);
}
