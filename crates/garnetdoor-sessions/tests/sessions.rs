//! What `Sessions` decides on each event, checked by the actions that it queues.

use std::collections::BTreeMap;

use garnetdoor::host::{BuildNo, Condition, Micros, ProfileId, ServerId};
use garnetdoor_sessions::{
    Action, Admission, ConnectionActivity, EndReason, Limits, Party, Repeatability, SessionId, SessionKey,
    Sessions, Side, SideEvent, UpgradeRequest,
};
use test_case::test_case;

const MILLISECOND: Micros = 1_000;
const SECOND: Micros = 1_000_000;
const OLD_BUILD: BuildNo = BuildNo(41);
const NEW_BUILD: BuildNo = BuildNo(42);

/// What the sides of a session do when they are told to close.
#[derive(Clone, Copy, PartialEq, Eq)]
enum OnClose {
    /// Both disconnect at once.
    Disconnect,
    /// They ignore it.
    Ignore,
}

/// Sessions in simulated time, with all actions that they have queued so far.
struct Harness {
    now: Micros,
    sessions: Sessions,
    actions: Vec<(Micros, Action)>,
}

fn request(party: &str, key: Option<&str>, repeatability: Repeatability) -> UpgradeRequest {
    let key = key.map(|key| SessionKey(key.into()));
    UpgradeRequest { profile: ProfileId(0), repeatability, party: Party(party.into()), key }
}

impl Harness {
    fn new(limits: Limits) -> Self {
        Harness { now: 100 * SECOND, sessions: Sessions::new(limits, 7), actions: Vec::new() }
    }

    fn collect_actions(&mut self) {
        let now = self.now;
        self.actions.extend(self.sessions.take_actions().into_iter().map(|action| (now, action)));
    }

    fn request(&mut self, request: UpgradeRequest) -> Admission {
        let admission = self.sessions.request_upgrade(self.now, request);
        self.collect_actions();
        admission
    }

    fn accepted(&mut self, request: UpgradeRequest) -> SessionId {
        match self.request(request) {
            Admission::Accepted(id) => id,
            other => panic!("{other:?}"),
        }
    }

    /// Has an upgrade accepted and its attempt sent.
    fn send(&mut self, key: Option<&str>, server: u32, build: BuildNo) -> SessionId {
        let id = self.accepted(request("p", key, Repeatability::Repeatable));
        self.sessions.attempt_sent(id, ServerId(server), build);
        id
    }

    /// Opens a session without a key.
    fn open(&mut self, server: u32, build: BuildNo) -> SessionId {
        let id = self.send(None, server, build);
        self.sessions.opened(self.now, id, ServerId(server), build, Condition::Healthy);
        self.collect_actions();
        id
    }

    fn disconnect(&mut self, id: SessionId, side: Side) {
        self.sessions.handle_side_event(self.now, id, SideEvent::Disconnected(side));
    }

    fn disconnect_both(&mut self, id: SessionId) {
        Side::BOTH.into_iter().for_each(|side| self.disconnect(id, side));
    }

    /// Changes a server's condition; the process stays the same.
    fn update_server(&mut self, server: u32, condition: Condition) {
        self.sessions.update_server(self.now, ServerId(server), condition, true);
    }

    fn has_room(&self, server: u32, build: BuildNo) -> bool {
        self.sessions.has_room(ServerId(server), build)
    }

    /// Open sessions on the new build, and in all.
    fn open_counts(&self) -> (usize, usize) {
        self.sessions.open_counts(NEW_BUILD)
    }

    /// Lets time pass.
    fn wait(&mut self, span: Micros, on_close: OnClose) {
        let end = self.now + span;
        loop {
            self.sessions.tick(self.now);
            let first_new = self.actions.len();
            self.collect_actions();
            for index in first_new..self.actions.len() {
                if let Action::Close { session, .. } = self.actions[index].1
                    && on_close == OnClose::Disconnect
                {
                    self.disconnect_both(session);
                }
            }
            self.collect_actions();
            if self.now >= end {
                return;
            }
            self.now = self.sessions.next_due().unwrap_or(end).clamp(self.now + 1, end);
        }
    }

    fn set_share(&mut self, share: f64) {
        self.sessions.set_shares(self.now, BTreeMap::from([(NEW_BUILD, share)]));
        self.collect_actions();
    }

    fn closed(&self) -> Vec<(Micros, SessionId, EndReason)> {
        let close = |(at, action): &(Micros, Action)| match action {
            Action::Close { session, reason, .. } | Action::Abort { session, reason, .. } => {
                Some((*at, *session, *reason))
            }
            _ => None,
        };
        self.actions.iter().filter_map(close).collect()
    }

    /// The outcomes recorded so far: whether each was a failure.
    fn outcomes(&self) -> Vec<bool> {
        self.actions
            .iter()
            .filter_map(|(_, action)| match action {
                Action::RecordOutcome { failed, .. } => Some(*failed),
                _ => None,
            })
            .collect()
    }
}

#[test]
fn a_drain_is_spread_evenly_and_sessions_that_do_not_close_are_aborted() {
    let mut harness = Harness::new(Limits::default());
    let all: Vec<_> = (0..100).map(|_| harness.open(1, OLD_BUILD)).collect();
    let other = harness.open(2, OLD_BUILD);
    let began = harness.now;
    harness.update_server(1, Condition::Draining);
    harness.wait(10 * SECOND, OnClose::Disconnect);
    let closed = harness.closed();
    assert_eq!(closed.len(), all.len());
    assert!(closed.iter().all(|(_, id, reason)| *reason == EndReason::Drain && *id != other));
    for window in 0..10 {
        let within = closed.iter().filter(|(at, ..)| (at - began) / SECOND == window).count();
        assert!((9..=11).contains(&within), "{within} in second {window}");
    }
    let unresponsive = harness.open(2, OLD_BUILD);
    harness.update_server(2, Condition::Draining);
    harness.wait(12 * SECOND + 1, OnClose::Ignore);
    assert!(
        harness
            .actions
            .iter()
            .any(|(_, action)| matches!(action, Action::Abort { session, .. } if *session == unresponsive))
    );
    assert_eq!(harness.sessions.count(), 0);
}

#[test]
fn a_cancelled_drain_leaves_the_remaining_sessions_open() {
    let mut harness = Harness::new(Limits::default());
    for _ in 0..10 {
        harness.open(1, OLD_BUILD);
    }
    harness.update_server(1, Condition::Draining);
    harness.wait(4 * SECOND + 500 * MILLISECOND, OnClose::Disconnect);
    harness.update_server(1, Condition::Healthy);
    harness.wait(20 * SECOND, OnClose::Disconnect);
    assert_eq!((harness.closed().len(), harness.sessions.count()), (5, 5));
}

#[test_case(Condition::Gone, true; "a server that is gone")]
#[test_case(Condition::Healthy, false; "another process under its id")]
fn sessions_of_a_gone_server_end_at_once_without_an_outcome(condition: Condition, same_process: bool) {
    let mut harness = Harness::new(Limits::default());
    let id = harness.open(1, OLD_BUILD);
    harness.sessions.update_server(harness.now, ServerId(1), condition, same_process);
    harness.collect_actions();
    let aborted = Action::Abort { session: id, reason: EndReason::ServerGone, client_code: 1012 };
    let ended = Action::Ended { session: id, reason: EndReason::ServerGone, lifetime: 0 };
    assert_eq!(harness.actions, [(harness.now, aborted), (harness.now, ended)]);
    assert_eq!(harness.sessions.count(), 0);
}

#[test]
fn a_session_that_opens_on_a_draining_server_is_closed_with_the_drain() {
    let mut harness = Harness::new(Limits::default());
    let id = harness.send(None, 1, OLD_BUILD);
    harness.update_server(1, Condition::Draining);
    harness.sessions.opened(harness.now, id, ServerId(1), OLD_BUILD, Condition::Draining);
    harness.wait(10 * SECOND, OnClose::Disconnect);
    assert_eq!(
        harness.closed().iter().map(|(_, id, reason)| (*id, *reason)).collect::<Vec<_>>(),
        [(id, EndReason::Drain)]
    );
}

#[test]
fn open_sessions_keep_to_the_share_when_older_ones_leave_and_when_the_share_changes() {
    let mut harness = Harness::new(Limits { max_sessions: 10_000, ..Limits::default() });
    harness.set_share(0.1);
    let old: Vec<_> = (0..400).map(|_| harness.open(1, OLD_BUILD)).collect();
    while harness.has_room(2, NEW_BUILD) {
        harness.open(2, NEW_BUILD);
    }
    let (on_build, total) = harness.open_counts();
    assert!(
        (42..=46).contains(&on_build) && on_build as f64 <= 2.0 + 0.1 * total as f64,
        "{on_build} of {total}"
    );
    // Half of the old sessions end: those of the new build have to be reduced within a second.
    old[..200].iter().for_each(|id| harness.disconnect_both(*id));
    harness.wait(SECOND, OnClose::Disconnect);
    let (on_build, total) = harness.open_counts();
    assert!(on_build as f64 <= 2.0 + 0.1 * total as f64 && on_build >= 20, "{on_build} of {total}");
    // The share is raised, then lowered, then set to zero.
    harness.set_share(0.5);
    while harness.has_room(2, NEW_BUILD) {
        harness.open(2, NEW_BUILD);
    }
    assert!(harness.open_counts().0 >= 199);
    let (closed_before, began) = (harness.closed().len(), harness.now);
    harness.set_share(0.2);
    harness.wait(SECOND, OnClose::Disconnect);
    let (on_build, total) = harness.open_counts();
    assert!(on_build as f64 <= 2.0 + 0.2 * total as f64 && on_build >= 49, "{on_build} of {total}");
    // The newest are closed first, and no more than a quarter within any tenth of a second.
    let closed = &harness.closed()[closed_before..];
    assert!(closed.windows(2).all(|pair| pair[0].1 > pair[1].1));
    let most_per_tenth = (0..10)
        .map(|tenth| closed.iter().filter(|(at, ..)| (at - began) / (100 * MILLISECOND) == tenth).count())
        .max();
    assert!(
        most_per_tenth.is_some_and(|most| most * 4 <= closed.len()),
        "{most_per_tenth:?} of {}",
        closed.len()
    );
    harness.set_share(0.0);
    assert!(!harness.has_room(2, NEW_BUILD));
    harness.wait(SECOND, OnClose::Disconnect);
    assert_eq!(harness.open_counts().0, 0);
}

#[test]
fn attempts_that_are_out_count_against_the_share_and_the_server_limit() {
    let mut harness = Harness::new(Limits { max_per_server: 3, ..Limits::default() });
    harness.set_share(0.5);
    let first = harness.send(None, 2, NEW_BUILD);
    assert!(!harness.has_room(3, NEW_BUILD), "without other sessions only the first one may open");
    harness.sessions.opening_failed(harness.now, first);
    assert!(harness.has_room(3, NEW_BUILD));
    for _ in 0..3 {
        harness.send(None, 1, OLD_BUILD);
    }
    assert!(!harness.has_room(1, OLD_BUILD) && harness.has_room(4, OLD_BUILD));
}

#[test]
fn the_newest_session_with_a_key_takes_it_over() {
    let mut harness = Harness::new(Limits::default());
    let older = harness.send(Some("k"), 1, OLD_BUILD);
    let open = harness.send(Some("k"), 1, OLD_BUILD);
    assert!(matches!(harness.actions[0].1, Action::AbandonOpening { session, .. } if session == older));
    harness.sessions.opened(harness.now, open, ServerId(1), OLD_BUILD, Condition::Healthy);
    // The key was taken over just now: two clients with the same key must not keep replacing each other.
    let contested = harness.request(request("p", Some("k"), Repeatability::Repeatable));
    assert!(matches!(contested, Admission::Rejected { reason: EndReason::KeyContested, .. }));
    harness.wait(SECOND, OnClose::Ignore);
    let third = harness.send(Some("k"), 2, OLD_BUILD);
    assert_eq!(harness.closed(), [(harness.now, open, EndReason::Replaced)]);
    // The same key of another party is another session.
    harness.accepted(request("q", Some("k"), Repeatability::Repeatable));
    assert_eq!((harness.closed().len(), harness.sessions.count()), (1, 2));
    harness.sessions.opening_failed(harness.now, third);
    harness.accepted(request("p", Some("k"), Repeatability::Repeatable));
}

#[test]
fn an_attempt_that_must_not_run_twice_is_not_abandoned_for_another() {
    let mut harness = Harness::new(Limits::default());
    let first = harness.accepted(request("p", Some("k"), Repeatability::NotRepeatable));
    let second = harness.accepted(request("p", Some("k"), Repeatability::NotRepeatable));
    assert!(
        matches!(harness.actions[0].1, Action::AbandonOpening { session, .. } if session == first),
        "its attempt had not been sent"
    );
    harness.now += 2 * SECOND;
    harness.sessions.attempt_sent(second, ServerId(1), OLD_BUILD);
    let third = harness.request(request("p", Some("k"), Repeatability::NotRepeatable));
    assert!(
        matches!(third, Admission::Rejected { reason: EndReason::KeyOpening, retry_after } if retry_after > 0)
    );
}

#[test]
fn limits_reject_with_a_retry_time_and_a_reload_closes_sessions_over_them() {
    let mut harness = Harness::new(Limits { max_sessions: 6, max_per_party: 5, ..Limits::default() });
    let all: Vec<_> = (0..5).map(|_| harness.open(1, OLD_BUILD)).collect();
    let is_rejected = |admission, expected| matches!(admission, Admission::Rejected { reason, retry_after } if reason == expected && retry_after > 0);
    assert!(is_rejected(
        harness.request(request("p", None, Repeatability::Repeatable)),
        EndReason::TooManyForParty
    ));
    harness.accepted(request("q", None, Repeatability::Repeatable));
    assert!(is_rejected(
        harness.request(request("r", None, Repeatability::Repeatable)),
        EndReason::TooManySessions
    ));
    harness.sessions.reload(
        harness.now,
        Limits { max_sessions: 6, max_per_server: 3, ..Limits::default() },
        |_| true,
    );
    harness.wait(10 * SECOND, OnClose::Disconnect);
    let closed: Vec<_> = harness.closed().iter().map(|(_, id, reason)| (*id, *reason)).collect();
    assert_eq!(closed, [(all[3], EndReason::OverLimit), (all[4], EndReason::OverLimit)]);
    harness.sessions.reload(harness.now, Limits::default(), |_| false);
    harness.wait(10 * SECOND, OnClose::Disconnect);
    assert_eq!(harness.sessions.count(), 1, "only the session that is being opened is left");
}

#[test]
fn an_early_disconnect_or_internal_error_of_a_server_is_a_failure_and_a_clients_is_not() {
    let mut harness = Harness::new(Limits::default());
    let [server_left, client_left, settled, reports_error] = [(); 4].map(|()| harness.open(1, OLD_BUILD));
    harness.disconnect(server_left, Side::Server);
    harness.disconnect(client_left, Side::Client);
    harness.collect_actions();
    assert_eq!(harness.outcomes(), [true]);
    harness.wait(5 * SECOND, OnClose::Ignore);
    assert_eq!(harness.outcomes(), [true, false, false], "two sessions have settled");
    harness.disconnect(settled, Side::Server);
    harness.sessions.handle_side_event(
        harness.now,
        reports_error,
        SideEvent::CloseFrame(Side::Server, Some(1011)),
    );
    harness.collect_actions();
    assert_eq!(harness.outcomes(), [true, false, false, true]);
    let close_codes = |id| {
        harness.actions.iter().find_map(|(_, action)| match action {
            Action::Close { session, client_code, server_code, .. } if *session == id => {
                Some((*client_code, *server_code))
            }
            _ => None,
        })
    };
    assert_eq!(close_codes(server_left), Some((1012, 1001)));
    assert_eq!(close_codes(client_left), Some((1012, 1001)));
}

#[test]
fn quiet_sides_are_pinged_and_silent_or_slow_ones_are_aborted() {
    let mut harness = Harness::new(Limits::default());
    let [quiet, silent, slow] = [(); 3].map(|()| harness.open(1, OLD_BUILD));
    let began = harness.now;
    let activity = |last_received, write_blocked_since| ConnectionActivity {
        last_received,
        write_blocked_since,
        last_message: began,
    };
    harness.now += 21 * SECOND;
    for _ in 0..2 {
        harness.sessions.observe_activity(harness.now, quiet, activity([harness.now, began], [None; 2]));
        harness.now += 500 * MILLISECOND;
    }
    harness.sessions.observe_activity(
        harness.now,
        slow,
        activity([harness.now; 2], [Some(harness.now - 11 * SECOND), None]),
    );
    harness.now += 25 * SECOND;
    harness.sessions.observe_activity(harness.now, silent, activity([harness.now, began], [None; 2]));
    harness.collect_actions();
    let actions: Vec<_> = harness
        .actions
        .into_iter()
        .map(|(_, action)| action)
        .filter(|a| !matches!(a, Action::RecordOutcome { .. } | Action::Ended { .. }))
        .collect();
    assert_eq!(
        actions,
        [
            Action::Ping(quiet, Side::Server),
            Action::Abort { session: slow, reason: EndReason::ClientSlow, client_code: 1001 },
            Action::Abort { session: silent, reason: EndReason::ServerSilent, client_code: 1012 },
        ]
    );
}

#[test]
fn on_stop_all_sessions_end_within_three_seconds() {
    let mut harness = Harness::new(Limits::default());
    for _ in 0..50 {
        harness.open(1, OLD_BUILD);
    }
    harness.sessions.stop(harness.now);
    let stopping = harness.request(request("p", None, Repeatability::Repeatable));
    assert!(matches!(stopping, Admission::Rejected { reason: EndReason::Stopping, .. }));
    harness.wait(3 * SECOND, OnClose::Ignore);
    assert_eq!(harness.sessions.count(), 0);
    let codes = harness.actions.iter().filter_map(|(_, action)| match action {
        Action::Close { client_code, .. } => Some(*client_code),
        _ => None,
    });
    assert!(codes.eq([1001; 50]));
}
