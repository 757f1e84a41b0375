//! A foyer's parts by themselves: bounds of what is held, of idleness and of heads.

use bytes::BytesMut;
use playhouse::gateway::activity::{Activity, NextAction};
use playhouse::gateway::body_budget::{BODY_MEMORY_SHARE, BodyBudget};
use playhouse::house::Clock;

#[test]
fn what_is_held_is_given_back_with_the_last_part_of_a_body() {
    let room = BodyBudget::for_memory(1000.0 / BODY_MEMORY_SHARE);
    let (mut one, mut other) = (room.reservation(), room.reservation());
    assert!(one.grow_to(400) && one.grow_to(600) && other.grow_to(300));
    assert!(!other.grow_to(400), "the total is reached by both together");
    let body = one.keep(BytesMut::from(&[7; 600][..]));
    let part = body.slice(..10);
    drop(body);
    assert!(!other.grow_to(400), "a part of the first still holds it all");
    assert_eq!(part, [7; 10][..]);
    drop(part);
    assert!(other.grow_to(401));
    drop(other);
    assert_eq!(room.reserved_bytes(), 0);
}

#[test]
fn a_head_and_idleness_have_bounds_of_their_own() {
    let activity = Activity::start(Clock::start());
    let (head, idle) = (3_000_000, 15_000_000);
    assert!(
        matches!(activity.next_action(head, idle), NextAction::CheckAt(_)),
        "a fresh connection may wait"
    );
    assert_eq!(activity.next_action(head, 0), NextAction::Close, "it is idle");
    activity.bytes_received();
    assert_eq!(activity.next_action(0, idle), NextAction::Abort, "some of a head has come and no more");
    activity.request_served(false);
    assert!(matches!(activity.next_action(0, 0), NextAction::CheckAt(_)), "what is served is not ended");
    activity.request_served(true);
    assert_eq!(activity.next_action(head, 0), NextAction::Close, "its answer is done: it is idle again");
    activity.bytes_received();
    activity.write_progress(false);
    assert!(
        matches!(activity.next_action(0, idle), NextAction::CheckAt(_)),
        "half a head behind an answer that still goes out"
    );
    assert_eq!(activity.next_action(head, 0), NextAction::Abort, "the client takes nothing of its answer");
    activity.write_progress(true);
    assert!(
        matches!(activity.next_action(head, 0), NextAction::CheckAt(_)),
        "it takes some, and its next head begins anew"
    );
}
