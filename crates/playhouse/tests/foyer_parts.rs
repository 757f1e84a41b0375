//! A foyer's parts by themselves: bounds of what is held, of idleness and of heads.

use bytes::BytesMut;
use playhouse::foyer::cloakroom::{Cloakroom, SHARE};
use playhouse::foyer::watch::{Due, Watch};
use playhouse::node::Clock;

#[test]
fn what_is_held_is_given_back_with_the_last_part_of_a_body() {
    let room = Cloakroom::of_memory(1000.0 / SHARE);
    let (mut one, mut other) = (room.coat(), room.coat());
    assert!(one.takes(400) && one.takes(600) && other.takes(300));
    assert!(!other.takes(400), "the total is reached by both together");
    let body = one.keep(BytesMut::from(&[7; 600][..]));
    let part = body.slice(..10);
    drop(body);
    assert!(!other.takes(400), "a part of the first still holds it all");
    assert_eq!(part, [7; 10][..]);
    drop(part);
    assert!(other.takes(401));
    drop(other);
    assert_eq!(room.held(), 0);
}

#[test]
fn a_head_and_idleness_have_bounds_of_their_own() {
    let watch = Watch::start(Clock::start());
    let (head, idle) = (3_000_000, 15_000_000);
    assert!(matches!(watch.due(head, idle), Due::At(_)), "a fresh connection may wait");
    assert_eq!(watch.due(head, 0), Due::End, "it is idle");
    watch.bytes_came();
    assert_eq!(watch.due(0, idle), Due::Cut, "some of a head has come and no more");
    watch.served(false);
    assert!(matches!(watch.due(0, 0), Due::At(_)), "what is served is not ended");
    watch.served(true);
    assert_eq!(watch.due(head, 0), Due::End, "its answer is done: it is idle again");
    watch.bytes_came();
    watch.wrote(false);
    assert!(matches!(watch.due(0, idle), Due::At(_)), "half a head behind an answer that still goes out");
    assert_eq!(watch.due(head, 0), Due::Cut, "the client takes nothing of its answer");
    watch.wrote(true);
    assert!(matches!(watch.due(head, 0), Due::At(_)), "it takes some, and its next head begins anew");
}
