//! Stories of sessions: what happens, and what is to be done.

use std::collections::BTreeMap;

use garnetdoor::host::{BuildNo, Condition, Micros, ProfileId, ServerId};
use garnetdoor_sessions::{
    Action, Admission, ConnectionActivity, EndReason, Limits, Party, Repeatability, SessionId, SessionKey,
    Sessions, Side, SideEvent, UpgradeRequest,
};
use test_case::test_case;

const MS: Micros = 1_000;
const S: Micros = 1_000_000;
const OLD: BuildNo = BuildNo(41);
const NEW: BuildNo = BuildNo(42);

struct Rig {
    now: Micros,
    sessions: Sessions,
    done: Vec<(Micros, Action)>,
}

fn opening(party: &str, key: Option<&str>, repeatability: Repeatability) -> UpgradeRequest {
    let key = key.map(|key| SessionKey(key.into()));
    UpgradeRequest { profile: ProfileId(0), repeatability, party: Party(party.into()), key }
}

impl Rig {
    fn new(limits: Limits) -> Self {
        Rig { now: 100 * S, sessions: Sessions::new(limits, 7), done: Vec::new() }
    }

    fn gather(&mut self) {
        let now = self.now;
        self.done.extend(self.sessions.take_actions().into_iter().map(|act| (now, act)));
    }

    fn ask(&mut self, opening: UpgradeRequest) -> Admission {
        let answer = self.sessions.request_upgrade(self.now, opening);
        self.gather();
        answer
    }

    fn taken(&mut self, opening: UpgradeRequest) -> SessionId {
        match self.ask(opening) {
            Admission::Accepted(id) => id,
            other => panic!("{other:?}"),
        }
    }

    fn sent(&mut self, key: Option<&str>, server: u32, build: BuildNo) -> SessionId {
        let id = self.taken(opening("p", key, Repeatability::Repeatable));
        self.sessions.attempt_sent(id, ServerId(server), build);
        id
    }

    fn open(&mut self, server: u32, build: BuildNo) -> SessionId {
        let id = self.sent(None, server, build);
        self.sessions.opened(self.now, id, ServerId(server), build, Condition::Healthy);
        self.gather();
        id
    }

    /// Lets time pass; sessions that are told to close do so at once if `close`.
    fn wait(&mut self, span: Micros, close: bool) {
        let end = self.now + span;
        loop {
            self.sessions.tick(self.now);
            let from = self.done.len();
            self.gather();
            for at in from..self.done.len() {
                if let (true, Action::Close { session, .. }) = (close, self.done[at].1.clone()) {
                    Side::BOTH.iter().for_each(|s| {
                        self.sessions.handle_side_event(self.now, session, SideEvent::Disconnected(*s))
                    });
                }
            }
            self.gather();
            if self.now >= end {
                return;
            }
            self.now = self.sessions.next_due().unwrap_or(end).clamp(self.now + 1, end);
        }
    }

    fn told(&mut self, share: f64) {
        self.sessions.set_shares(self.now, BTreeMap::from([(NEW, share)]));
        self.gather();
    }

    fn closed(&self) -> Vec<(Micros, SessionId, EndReason)> {
        let close = |(at, act): &(Micros, Action)| match act {
            Action::Close { session, reason, .. } | Action::Abort { session, reason, .. } => {
                Some((*at, *session, *reason))
            }
            _ => None,
        };
        self.done.iter().filter_map(close).collect()
    }

    fn judged(&self) -> Vec<bool> {
        self.done
            .iter()
            .filter_map(|(_, act)| match act {
                Action::RecordOutcome { failed, .. } => Some(*failed),
                _ => None,
            })
            .collect()
    }
}

#[test]
fn a_drain_is_spread_evenly_and_what_does_not_end_is_cut() {
    let mut rig = Rig::new(Limits::default());
    let all: Vec<_> = (0..100).map(|_| rig.open(1, OLD)).collect();
    let other = rig.open(2, OLD);
    let began = rig.now;
    rig.sessions.update_server(rig.now, ServerId(1), Condition::Draining, true);
    rig.wait(10 * S, true);
    let closed = rig.closed();
    assert_eq!(closed.len(), all.len());
    assert!(closed.iter().all(|(_, id, reason)| *reason == EndReason::Drain && *id != other));
    for window in 0..10 {
        let within = closed.iter().filter(|(at, ..)| (at - began) / S == window).count();
        assert!((9..=11).contains(&within), "{within} in second {window}");
    }
    let stays = rig.open(2, OLD);
    rig.sessions.update_server(rig.now, ServerId(2), Condition::Draining, true);
    rig.wait(12 * S + 1, false);
    assert!(
        rig.done.iter().any(|(_, act)| matches!(act, Action::Abort { session, .. } if *session == stays))
    );
    assert_eq!(rig.sessions.count(), 0);
}

#[test]
fn a_drain_taken_back_leaves_the_rest_standing() {
    let mut rig = Rig::new(Limits::default());
    for _ in 0..10 {
        rig.open(1, OLD);
    }
    rig.sessions.update_server(rig.now, ServerId(1), Condition::Draining, true);
    rig.wait(4 * S + 500 * MS, true);
    rig.sessions.update_server(rig.now, ServerId(1), Condition::Healthy, true);
    rig.wait(20 * S, true);
    assert_eq!((rig.closed().len(), rig.sessions.count()), (5, 5));
}

#[test_case(Condition::Gone, true; "a server that is gone")]
#[test_case(Condition::Healthy, false; "another process under its id")]
fn sessions_of_what_is_gone_end_at_once_and_are_no_evidence(condition: Condition, same: bool) {
    let mut rig = Rig::new(Limits::default());
    let id = rig.open(1, OLD);
    rig.sessions.update_server(rig.now, ServerId(1), condition, same);
    rig.gather();
    let cut = Action::Abort { session: id, reason: EndReason::ServerGone, client_code: 1012 };
    let ended = Action::Ended { session: id, reason: EndReason::ServerGone, lifetime: 0 };
    assert_eq!(rig.done, [(rig.now, cut), (rig.now, ended)]);
    assert_eq!(rig.sessions.count(), 0);
}

#[test]
fn an_upgrade_that_comes_up_on_a_draining_server_goes_with_it() {
    let mut rig = Rig::new(Limits::default());
    let id = rig.sent(None, 1, OLD);
    rig.sessions.update_server(rig.now, ServerId(1), Condition::Draining, true);
    rig.sessions.opened(rig.now, id, ServerId(1), OLD, Condition::Draining);
    rig.wait(10 * S, true);
    assert_eq!(
        rig.closed().iter().map(|(_, id, reason)| (*id, *reason)).collect::<Vec<_>>(),
        [(id, EndReason::Drain)]
    );
}

#[test]
fn what_stands_holds_the_share_through_olderleaving_and_each_change_of_the_cap() {
    let mut rig = Rig::new(Limits { max_sessions: 10_000, ..Limits::default() });
    rig.told(0.1);
    let old: Vec<_> = (0..400).map(|_| rig.open(1, OLD)).collect();
    while rig.sessions.has_room(ServerId(2), NEW) {
        rig.open(2, NEW);
    }
    let (on, all) = rig.sessions.open_counts(NEW);
    assert!((42..=46).contains(&on) && on as f64 <= 2.0 + 0.1 * all as f64, "{on} of {all}");
    // Half of the old ones leave: the new ones have to follow within a second.
    old[..200].iter().for_each(|id| {
        Side::BOTH
            .iter()
            .for_each(|s| rig.sessions.handle_side_event(rig.now, *id, SideEvent::Disconnected(*s)))
    });
    rig.wait(S, true);
    let (on, all) = rig.sessions.open_counts(NEW);
    assert!(on as f64 <= 2.0 + 0.1 * all as f64 && on >= 20, "{on} of {all}");
    // Raised, then lowered, then nothing at all.
    rig.told(0.5);
    while rig.sessions.has_room(ServerId(2), NEW) {
        rig.open(2, NEW);
    }
    assert!(rig.sessions.open_counts(NEW).0 >= 199);
    let (from, began) = (rig.closed().len(), rig.now);
    rig.told(0.2);
    rig.wait(S, true);
    let (on, all) = rig.sessions.open_counts(NEW);
    assert!(on as f64 <= 2.0 + 0.2 * all as f64 && on >= 49, "{on} of {all}");
    // Newest first, and not all in one moment.
    let closed = &rig.closed()[from..];
    assert!(closed.windows(2).all(|pair| pair[0].1 > pair[1].1));
    let worst =
        (0..10).map(|w| closed.iter().filter(|(at, ..)| (at - began) / (100 * MS) == w).count()).max();
    assert!(worst.is_some_and(|worst| worst * 4 <= closed.len()), "{worst:?} of {}", closed.len());
    rig.told(0.0);
    assert!(!rig.sessions.has_room(ServerId(2), NEW));
    rig.wait(S, true);
    assert_eq!(rig.sessions.open_counts(NEW).0, 0);
}

#[test]
fn openings_that_are_out_count_in_the_share_and_on_the_server() {
    let mut rig = Rig::new(Limits { max_per_server: 3, ..Limits::default() });
    rig.told(0.5);
    let first = rig.sent(None, 2, NEW);
    assert!(!rig.sessions.has_room(ServerId(3), NEW), "one of none is all that is free");
    rig.sessions.opening_failed(rig.now, first);
    assert!(rig.sessions.has_room(ServerId(3), NEW));
    for _ in 0..3 {
        rig.sent(None, 1, OLD);
    }
    assert!(!rig.sessions.has_room(ServerId(1), OLD) && rig.sessions.has_room(ServerId(4), OLD));
}

#[test]
fn the_newest_of_a_key_holds_it() {
    let mut rig = Rig::new(Limits::default());
    let older = rig.sent(Some("k"), 1, OLD);
    let open = rig.sent(Some("k"), 1, OLD);
    assert!(matches!(rig.done[0].1, Action::AbandonOpening { session, .. } if session == older));
    rig.sessions.opened(rig.now, open, ServerId(1), OLD, Condition::Healthy);
    // Just now: two clients that call their sessions the same don't throw each other out at will.
    let contested = rig.ask(opening("p", Some("k"), Repeatability::Repeatable));
    assert!(matches!(contested, Admission::Rejected { reason: EndReason::KeyContested, .. }));
    rig.wait(S, false);
    let third = rig.sent(Some("k"), 2, OLD);
    assert_eq!(rig.closed(), [(rig.now, open, EndReason::Replaced)]);
    // Nobody else's session of that name is touched.
    rig.taken(opening("q", Some("k"), Repeatability::Repeatable));
    assert_eq!((rig.closed().len(), rig.sessions.count()), (1, 2));
    rig.sessions.opening_failed(rig.now, third);
    rig.taken(opening("p", Some("k"), Repeatability::Repeatable));
}

#[test]
fn an_olderthat_may_not_run_twice_is_not_given_up_for_another() {
    let mut rig = Rig::new(Limits::default());
    let first = rig.taken(opening("p", Some("k"), Repeatability::NotRepeatable));
    let waits = rig.taken(opening("p", Some("k"), Repeatability::NotRepeatable));
    assert!(
        matches!(rig.done[0].1, Action::AbandonOpening { session, .. } if session == first),
        "nothing of it was sent"
    );
    rig.now += 2 * S;
    rig.sessions.attempt_sent(waits, ServerId(1), OLD);
    let newer = rig.ask(opening("p", Some("k"), Repeatability::NotRepeatable));
    assert!(
        matches!(newer, Admission::Rejected { reason: EndReason::KeyOpening, retry_after } if retry_after > 0)
    );
}

#[test]
fn limits_turn_back_with_a_time_and_a_reload_closes_what_is_over_them() {
    let mut rig = Rig::new(Limits { max_sessions: 6, max_per_party: 5, ..Limits::default() });
    let all: Vec<_> = (0..5).map(|_| rig.open(1, OLD)).collect();
    let turned = |answer, expected| matches!(answer, Admission::Rejected { reason, retry_after } if reason == expected && retry_after > 0);
    assert!(turned(rig.ask(opening("p", None, Repeatability::Repeatable)), EndReason::TooManyForParty));
    rig.taken(opening("q", None, Repeatability::Repeatable));
    assert!(turned(rig.ask(opening("r", None, Repeatability::Repeatable)), EndReason::TooManySessions));
    rig.sessions
        .reload(rig.now, Limits { max_sessions: 6, max_per_server: 3, ..Limits::default() }, |_| true);
    rig.wait(10 * S, true);
    let closed: Vec<_> = rig.closed().iter().map(|(_, id, reason)| (*id, *reason)).collect();
    assert_eq!(closed, [(all[3], EndReason::OverLimit), (all[4], EndReason::OverLimit)]);
    rig.sessions.reload(rig.now, Limits::default(), |_| false);
    rig.wait(10 * S, true);
    assert_eq!(rig.sessions.count(), 1, "only the opening is left");
}

#[test]
fn a_server_that_breaks_a_young_session_or_says_that_it_erred_is_evidence_and_a_client_is_not() {
    let mut rig = Rig::new(Limits::default());
    let [broken, left, lasts, errs] = [(); 4].map(|()| rig.open(1, OLD));
    rig.sessions.handle_side_event(rig.now, broken, SideEvent::Disconnected(Side::Server));
    rig.sessions.handle_side_event(rig.now, left, SideEvent::Disconnected(Side::Client));
    rig.gather();
    assert_eq!(rig.judged(), [true]);
    rig.wait(5 * S, false);
    assert_eq!(rig.judged(), [true, false, false], "two have settled");
    rig.sessions.handle_side_event(rig.now, lasts, SideEvent::Disconnected(Side::Server));
    rig.sessions.handle_side_event(rig.now, errs, SideEvent::CloseFrame(Side::Server, Some(1011)));
    rig.gather();
    assert_eq!(rig.judged(), [true, false, false, true]);
    let told = |id| {
        rig.done.iter().find_map(|(_, act)| match act {
            Action::Close { session, client_code: client, server_code: server, .. } if *session == id => {
                Some((*client, *server))
            }
            _ => None,
        })
    };
    assert_eq!((told(broken), told(left)), (Some((1012, 1001)), Some((1012, 1001))));
}

#[test]
fn the_quiet_are_pinged_the_silent_and_the_slow_are_cut() {
    let mut rig = Rig::new(Limits::default());
    let [quiet, silent, slow] = [(); 3].map(|()| rig.open(1, OLD));
    let began = rig.now;
    let glance = |last_received, write_blocked_since| ConnectionActivity {
        last_received,
        write_blocked_since,
        last_message: began,
    };
    rig.now += 21 * S;
    for _ in 0..2 {
        rig.sessions.observe_activity(rig.now, quiet, glance([rig.now, began], [None; 2]));
        rig.now += 500 * MS;
    }
    rig.sessions.observe_activity(rig.now, slow, glance([rig.now; 2], [Some(rig.now - 11 * S), None]));
    rig.now += 25 * S;
    rig.sessions.observe_activity(rig.now, silent, glance([rig.now, began], [None; 2]));
    rig.gather();
    let actions: Vec<_> = rig
        .done
        .into_iter()
        .map(|(_, act)| act)
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
fn on_the_word_to_stop_all_ends_within_the_time_there_is() {
    let mut rig = Rig::new(Limits::default());
    for _ in 0..50 {
        rig.open(1, OLD);
    }
    rig.sessions.stop(rig.now);
    let stopping = rig.ask(opening("p", None, Repeatability::Repeatable));
    assert!(matches!(stopping, Admission::Rejected { reason: EndReason::Stopping, .. }));
    rig.wait(3 * S, false);
    assert_eq!(rig.sessions.count(), 0);
    let codes = rig.done.iter().filter_map(|(_, act)| match act {
        Action::Close { client_code, .. } => Some(*client_code),
        _ => None,
    });
    assert!(codes.eq([1001; 50]));
}
