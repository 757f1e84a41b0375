//! Unit tests of gateway modules: the memory for buffered bodies, and time limits of idle connections and heads.

use bytes::BytesMut;
use playhouse::gateway::activity::{Activity, NextAction};
use playhouse::gateway::body_budget::{BODY_MEMORY_SHARE, BodyBudget};
use playhouse::node::Clock;

#[test]
fn a_body_reservation_is_returned_with_the_last_slice_of_the_body() {
    let budget = BodyBudget::for_memory(1000.0 / BODY_MEMORY_SHARE);
    let (mut first, mut second) = (budget.reservation(), budget.reservation());
    assert!(first.grow_to(400) && first.grow_to(600) && second.grow_to(300));
    assert!(!second.grow_to(400), "both together reach the limit");
    let body = first.keep(BytesMut::from(&[7; 600][..]));
    let slice = body.slice(..10);
    drop(body);
    assert!(!second.grow_to(400), "a slice of the first body still reserves all of it");
    assert_eq!(slice, [7; 10][..]);
    drop(slice);
    assert!(second.grow_to(401));
    drop(second);
    assert_eq!(budget.reserved_bytes(), 0);
}

#[test]
fn heads_and_idle_connections_have_separate_time_limits() {
    let activity = Activity::start(Clock::start());
    let (head_timeout, idle_timeout) = (3_000_000, 15_000_000);
    assert!(
        matches!(activity.next_action(head_timeout, idle_timeout), NextAction::CheckAt(_)),
        "a new connection may wait"
    );
    assert_eq!(activity.next_action(head_timeout, 0), NextAction::Close, "it is idle");
    activity.bytes_received();
    assert_eq!(
        activity.next_action(0, idle_timeout),
        NextAction::Abort,
        "part of a head was received and no more"
    );
    activity.request_served(false);
    assert!(
        matches!(activity.next_action(0, 0), NextAction::CheckAt(_)),
        "a connection that is being served is not closed"
    );
    activity.request_served(true);
    assert_eq!(
        activity.next_action(head_timeout, 0),
        NextAction::Close,
        "its answer is complete: it is idle again"
    );
    activity.bytes_received();
    activity.write_progress(false);
    assert!(
        matches!(activity.next_action(0, idle_timeout), NextAction::CheckAt(_)),
        "part of a head behind an answer that is still being written"
    );
    assert_eq!(
        activity.next_action(head_timeout, 0),
        NextAction::Abort,
        "the client reads nothing of its answer"
    );
    activity.write_progress(true);
    assert!(
        matches!(activity.next_action(head_timeout, 0), NextAction::CheckAt(_)),
        "the client reads again, and the time limit of its next head starts anew"
    );
}
