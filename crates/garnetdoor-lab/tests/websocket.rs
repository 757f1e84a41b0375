//! WebSocket through the real daemon: each hard case by itself, between stand-ins on loopback.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::{PoisonError, RwLock, RwLockReadGuard, RwLockWriteGuard};
use std::thread;
use std::time::{Duration, Instant};

use garnetdoor_lab::daemon::{Daemon, Setup};
use garnetdoor_lab::prove::websocket::{Fleet, NEW, OLD, news, open_at_last, short, soon};
use garnetdoor_lab::record::Saw;
use garnetdoor_lab::rules;
use garnetdoor_lab::stand::album::Temper;
use garnetdoor_lab::stand::client::{Ask, Opened, Session, open, ticket, upgrade_text};
use garnetdoor_lab::stand::platform::News;
use nix::sys::signal::Signal;
use serde_json::{Value, json};
use test_case::test_case;
use tungstenite::Message;

/// Shared by the cases; one that brings a thousand guests has the machine to itself, as guests that are kept from
/// running by other cases run out of time, and who is out of time is told none to come back.
static STAGE: RwLock<()> = RwLock::new(());

enum Turn {
    Shared { _held: RwLockReadGuard<'static, ()> },
    Alone { _held: RwLockWriteGuard<'static, ()> },
}

struct Rig {
    fleet: Fleet,
    daemon: Daemon,
    _turn: Turn,
}

impl Rig {
    fn new(builds: &[u32], temper: Temper, websocket: Value) -> Self {
        let turn = Turn::Shared { _held: STAGE.read().unwrap_or_else(PoisonError::into_inner) };
        Rig::of(turn, builds, temper, |fleet| fleet.setup(1, websocket))
    }

    fn alone(builds: &[u32], temper: Temper, websocket: Value) -> Self {
        let turn = Turn::Alone { _held: STAGE.write().unwrap_or_else(PoisonError::into_inner) };
        // Descriptors for all of them and what they lead to at once, however slowly some of them end: who finds none
        // left is turned back unseen, without a time, which is not what is looked at here.
        Rig::of(turn, builds, temper, |fleet| Setup { sockets: 16_384, ..fleet.setup(1, websocket) })
    }

    fn of(turn: Turn, builds: &[u32], temper: Temper, setup: impl FnOnce(&Fleet) -> Setup) -> Self {
        let fleet = Fleet::start(builds, &temper).expect("stand-ins");
        let daemon = Daemon::start(&setup(&fleet)).expect("the daemon");
        Rig { fleet, daemon, _turn: turn }
    }

    fn open(&self, ask: &Ask) -> Session {
        open_at_last(self.daemon.address, ask, &self.fleet.record).expect("a session")
    }

    fn refused(&self, ask: &Ask) -> (u16, Option<Duration>) {
        match open(self.daemon.address, ask, &self.fleet.record) {
            Opened::Refused(status, wait) => (status, wait),
            Opened::Session(_) => (101, None),
            Opened::Nothing => (0, None),
        }
    }

    fn standing(&self) -> usize {
        self.fleet.boxes.iter().map(|album| album.standing()).sum()
    }

    fn found(&self) -> rules::Found {
        rules::check(&self.fleet.record.entries())
    }

    /// The code of the close that a box got, for each session that has ended.
    fn box_codes(&self) -> Vec<Option<u16>> {
        let shut = |(_, saw): &(u64, Saw)| match saw {
            Saw::Shut { code, .. } => Some(*code),
            _ => None,
        };
        self.fleet.record.entries().iter().filter_map(shut).collect()
    }
}

fn view() -> Ask {
    Ask::view("")
}

/// A text frame as a client sends it, with a mask of zeros.
fn text_frame(text: &str) -> Vec<u8> {
    [&[0x81, 0x80 | text.len() as u8, 0, 0, 0, 0], text.as_bytes()].concat()
}

#[test]
fn an_echo_goes_through_and_tickets_go_on_beside_it() {
    let rig = Rig::new(&[OLD], Temper::Echo, json!({}));
    let mut session = rig.open(&view());
    assert!(session.echo("photo 1") && session.echo(&"ü".repeat(100_000)));
    assert_eq!(ticket(rig.daemon.address, "GET", "/view-album/9"), 200);
    session.close();
    assert!(soon(|| rig.standing() == 0));
    assert_eq!(rig.box_codes(), [Some(1005)]);
}

#[test]
fn without_the_section_an_upgrade_is_an_ordinary_ticket() {
    let fleet = Fleet::start(&[OLD], &Temper::Fails(500)).expect("stand-ins");
    let mut setup = fleet.setup(1, Value::Null);
    setup.operator = Value::Null;
    let daemon = Daemon::start(&setup).expect("the daemon");
    fleet.boxes[0].set(Temper::Echo);
    match open(daemon.address, &view(), &fleet.record) {
        Opened::Refused(status, _) => assert_eq!(status, 200),
        _ => panic!("no ordinary answer"),
    }
    assert!(!fleet.record.entries().iter().any(|(_, saw)| matches!(saw, Saw::Trip { .. })));
}

#[test]
fn frames_behind_the_upgrade_and_glued_to_the_101_arrive_in_order() {
    let glued = [[0x81, 5].as_slice(), b"first"].concat();
    let rig = Rig::new(&[OLD], Temper::Glues(glued), json!({}));
    rig.fleet.boxes[0].set_takes(Duration::from_millis(50));
    let behind = [text_frame("one"), text_frame("two"), text_frame("three")[..4].to_vec()].concat();
    let mut session = rig.open(&Ask { behind, ..view() });
    session.socket.get_mut().write_all(&text_frame("three")[4..]).expect("it is written");
    for text in ["first", "one", "two", "three"] {
        assert_eq!(session.hear(), Some(Message::text(text)));
    }
}

#[test]
fn a_handshake_split_at_every_position_opens() {
    let rig = Rig::new(&[OLD], Temper::Echo, json!({}));
    let whole = upgrade_text(&view(), 1);
    for at in (1..whole.len()).step_by(17) {
        let mut stream = TcpStream::connect(rig.daemon.address).expect("a connection");
        stream.set_read_timeout(Some(Duration::from_secs(10))).expect("a time-out");
        let text = upgrade_text(&view(), 1_000_000 + at as u64);
        stream.write_all(&text.as_bytes()[..at]).expect("it is written");
        thread::sleep(Duration::from_millis(2));
        stream.write_all(&text.as_bytes()[at..]).expect("it is written");
        let mut head = [0; 12];
        stream.read_exact(&mut head).expect("an answer");
        assert_eq!(&head, b"HTTP/1.1 101", "split at {at}");
    }
}

#[test_case("Sec-WebSocket-Version: 13", "Sec-WebSocket-Version: 8", 426; "another version")]
#[test_case("Sec-WebSocket-Key: d", "Sec-WebSocket-Key: ", 400; "a short key")]
#[test_case("Connection: Upgrade", "Connection: keep-alive", 400; "no connection upgrade")]
#[test_case("Session-Key: k", "Session-Key: k k", 400; "a session's key that is none")]
fn a_bad_offer_is_refused_by_the_gateway_itself(from: &str, to: &str, status: u16) {
    let rig = Rig::new(&[OLD], Temper::Echo, json!({}));
    let text = upgrade_text(&Ask::view("k"), 7).replace(from, to);
    let mut stream = TcpStream::connect(rig.daemon.address).expect("a connection");
    stream.write_all(text.as_bytes()).expect("it is written");
    let mut room = [0; 512];
    let count = stream.read(&mut room).expect("an answer");
    let answer = String::from_utf8_lossy(&room[..count]).into_owned();
    assert!(answer.starts_with(&format!("HTTP/1.1 {status} ")), "{answer}");
    assert_eq!(answer.contains("Sec-WebSocket-Version: 13"), status == 426);
    assert!(!rig.fleet.record.entries().iter().any(|(_, saw)| matches!(saw, Saw::Trip { .. })));
}

const UP: &str = "HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n";

#[test_case(&format!("{UP}Sec-WebSocket-Accept: c3BvaWx0\r\n\r\n"); "a wrong accept value")]
#[test_case(&format!("{UP}Sec-WebSocket-Accept: ACCEPT\r\nSec-WebSocket-Extensions: permessage-deflate\r\n\r\n"); "an extension not offered")]
#[test_case(&format!("{UP}Sec-WebSocket-Accept: ACCEPT\r\nSec-WebSocket-Protocol: shop\r\n\r\n"); "a protocol not offered")]
#[test_case(&format!("?noise{UP}Sec-WebSocket-Accept: ACCEPT\r\n\r\n"); "noise ahead")]
#[test_case("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"; "no upgrade at all")]
fn a_liar_may_have_run_it(head: &str) {
    let rig = Rig::new(&[OLD, OLD], Temper::Lies(head.to_owned()), json!({}));
    // A repeatable one goes to the other box as well and is turned back; a once-only one is not sent again.
    assert_eq!(rig.refused(&view()).0, 503);
    let once = Ask { path: "/order-prints/7".to_owned(), once: true, ..view() };
    assert_eq!(rig.refused(&once).0, 504);
    let found = rig.found();
    assert_eq!((found.once_twice, found.answers_missing, found.answers_double), (0, 0, 0));
    let trips = rig.fleet.record.entries().iter().filter(|(_, saw)| matches!(saw, Saw::Trip { .. })).count();
    assert_eq!(trips, 3);
    assert!(soon(|| rig.standing() == 0));
}

#[test]
fn a_drain_ends_sessions_at_a_messages_end_and_nothing_new_goes_there() {
    let rig = Rig::new(&[OLD, OLD], Temper::Echo, json!({"drain_ms": 300, "close_ms": 3000}));
    let mut sessions: Vec<_> = (0..10).map(|_| rig.open(&view())).collect();
    // Each is in the midst of a message towards its box when the box drains.
    for session in &mut sessions {
        session.socket.get_mut().write_all(&[0x01, 0x84, 0, 0, 0, 0, b'h', b'a']).expect("it is written");
    }
    let there = rig.fleet.boxes[0].standing();
    assert!(there > 0 && there < 10, "{there} of 10");
    rig.fleet.lists(0, "draining");
    thread::sleep(Duration::from_millis(700));
    assert_eq!(rig.fleet.boxes[0].standing(), there, "none was cut within its message");
    for session in &mut sessions {
        session.socket.get_mut().write_all(&[b'l', b'f', 0x80, 0x80, 0, 0, 0, 0]).expect("it is written");
    }
    assert!(soon(|| rig.fleet.boxes[0].standing() == 0));
    let codes: Vec<_> = rig.box_codes();
    assert_eq!(codes, vec![Some(1001); there]);
    (0..10).for_each(|_| drop(rig.open(&view())));
    let found = rig.found();
    assert_eq!((found.upgrades_after_drain, found.answers_missing), (0, 0));
    let ended = sessions.iter_mut().filter_map(|session| {
        session.set_patience(Duration::from_millis(300));
        session.end()
    });
    assert_eq!(ended.filter(|code| *code == 1012).count(), there);
}

#[test]
fn a_session_in_a_message_without_end_is_cut_in_time() {
    let rig = Rig::new(&[OLD], Temper::Echo, json!({"drain_ms": 0, "close_ms": 400}));
    let mut session = rig.open(&view());
    session
        .socket
        .get_mut()
        .write_all(&[0x82, 0x80 | 127, 0, 0, 0, 0, 0, 0x10, 0, 0])
        .expect("it is written");
    session.socket.get_mut().write_all(&[0, 0, 0, 0, 1, 2, 3]).expect("it is written");
    thread::sleep(Duration::from_millis(50));
    let began = Instant::now();
    rig.fleet.lists(0, "draining");
    assert_eq!(session.end(), Some(1012), "its own side was at a message's end");
    assert!(soon(|| rig.standing() == 0) && began.elapsed() < Duration::from_secs(3));
}

#[test]
fn drains_that_come_while_an_upgrade_is_out_leave_no_session_there() {
    let rig = Rig::new(&[OLD, OLD], Temper::Echo, json!({"drain_ms": 100, "close_ms": 300}));
    rig.fleet.boxes.iter().for_each(|album| album.set_takes(Duration::from_millis(150)));
    let (address, record) = (rig.daemon.address, rig.fleet.record.clone());
    let openings: Vec<_> = (0..20)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || {
                // Some are dialled, some written and some answered when the word comes.
                thread::sleep(Duration::from_millis(10 * number));
                open_at_last(address, &view(), &record)
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(120));
    rig.fleet.lists(0, "draining");
    let sessions: Vec<_> =
        openings.into_iter().filter_map(|opening| opening.join().expect("no panic")).collect();
    assert_eq!(sessions.len(), 20);
    assert!(soon(|| rig.fleet.boxes[0].standing() == 0));
    let found = rig.found();
    assert_eq!((found.upgrades_after_drain, found.answers_missing, found.answers_double), (0, 0, 0));
}

#[test]
fn a_server_that_is_gone_or_comes_back_as_another_build_takes_its_sessions_along() {
    let rig = Rig::new(&[OLD], Temper::Echo, json!({}));
    let mut first = rig.open(&view());
    let mut other = rig.fleet.boxes[0].clone();
    other.build = NEW;
    rig.fleet.list.change(&[garnetdoor_lab::stand::list::Entry {
        server: 0,
        address: other.address,
        build: NEW,
        state: "up",
        zone: "a",
        started: 0,
    }]);
    assert_eq!(first.end(), Some(1012));
    assert!(soon(|| rig.standing() == 0));
    rig.fleet.platform.set(news(NEW, 1, "Healthy", 1.0));
    let mut second = rig.open(&view());
    rig.fleet.lists(0, "removed");
    assert_eq!(second.end(), Some(1012));
}

#[test]
fn the_cap_holds_for_what_stands_and_falls_to_nothing() {
    let rig = Rig::new(&[OLD, OLD, NEW, NEW], Temper::Echo, json!({"sessions": 300}));
    rig.fleet.platform.set(news(NEW, 0, "Progressing", 0.25));
    let sessions: Vec<_> = (0..80).map(|_| rig.open(&view())).collect();
    let on_trial = || rig.fleet.boxes[2].standing() + rig.fleet.boxes[3].standing();
    assert!((10..=22).contains(&on_trial()), "{} of 80", on_trial());
    rig.fleet.platform.set(news(NEW, 0, "Progressing", 0.1));
    assert!(soon(|| on_trial() <= 10));
    rig.fleet.platform.set(News { progress: "Aborting", ..news(NEW, 0, "", 0.0) });
    let began = Instant::now();
    assert!(soon(|| on_trial() == 0));
    assert!(began.elapsed() < Duration::from_millis(1_500));
    assert_eq!(rig.found().share_misses, 0);
    drop(sessions);
}

#[test]
fn the_newest_of_a_key_takes_over_from_an_open_and_from_a_half_open_one() {
    let rig = Rig::new(&[OLD, OLD], Temper::Echo, json!({"replace_ms": 100}));
    let mut older = rig.open(&Ask::view("phone"));
    assert!(older.echo("here"));
    let mut newer = rig.open(&Ask::view("phone"));
    assert_eq!(older.end(), Some(1000));
    assert!(newer.echo("there") && soon(|| rig.standing() == 1));
    // The first try is still out at a box that takes long; its client has gone without a word.
    rig.fleet.boxes.iter().for_each(|album| album.set_takes(Duration::from_millis(400)));
    thread::sleep(Duration::from_millis(150));
    let mut lost = TcpStream::connect(rig.daemon.address).expect("a connection");
    lost.write_all(upgrade_text(&Ask::view("tablet"), 900_001).as_bytes()).expect("it is written");
    thread::sleep(Duration::from_millis(100));
    let mut again = rig.open(&Ask::view("tablet"));
    assert!(again.echo("again"));
    let mut room = [0; 256];
    let count = lost.read(&mut room).expect("its answer");
    let answer = String::from_utf8_lossy(&room[..count]).into_owned();
    assert!(answer.starts_with("HTTP/1.1 503 ") && answer.contains("Retry-After"), "{answer}");
    assert!(soon(|| rig.standing() == 2));
    assert_eq!(rig.found().double_sessions, 0);
}

#[test]
fn an_opening_that_may_run_once_is_not_sent_for_its_retry() {
    let rig = Rig::new(&[OLD], Temper::Echo, json!({}));
    rig.fleet.boxes[0].set_takes(Duration::from_millis(500));
    let once = Ask { path: "/order-prints/7".to_owned(), once: true, ..Ask::view("order") };
    let mut lost = TcpStream::connect(rig.daemon.address).expect("a connection");
    lost.write_all(upgrade_text(&once, 900_002).as_bytes()).expect("it is written");
    thread::sleep(Duration::from_millis(150));
    let (status, wait) = rig.refused(&once);
    assert_eq!(status, 503);
    assert!(wait.is_some_and(|wait| !wait.is_zero()));
    let trips = rig.fleet.record.entries().iter().filter(|(_, saw)| matches!(saw, Saw::Trip { .. })).count();
    assert_eq!(trips, 1);
}

#[test_case(&[0x83, 0x80, 0, 0, 0, 0], 1002; "an unknown opcode")]
#[test_case(&[0x81, 0x01, b'a'], 1002; "no mask")]
#[test_case(&[0xc1, 0x80, 0, 0, 0, 0], 1002; "a reserved bit")]
#[test_case(&[0x89, 0xfe, 0, 126, 0, 0, 0, 0], 1002; "a long ping")]
#[test_case(&[0x80, 0x80, 0, 0, 0, 0], 1002; "nothing to continue")]
#[test_case(&[0x81, 0x82, 0, 0, 0, 0, 0xc3, 0x28], 1007; "no text")]
#[test_case(&[0x88, 0x82, 0, 0, 0, 0, 0x03, 0xed], 1002; "a close code that is never sent")]
#[test_case(&[0x82, 0xff, 0, 0, 0, 0, 0x40, 0, 0, 0, 0, 0, 0, 0], 1009; "a message of a gigabyte")]
fn a_clients_bad_frame_is_told_and_its_box_sees_a_clean_close(frame: &[u8], code: u16) {
    let rig = Rig::new(&[OLD], Temper::Echo, json!({}));
    let mut session = rig.open(&view());
    assert!(session.echo("good"));
    session.socket.get_mut().write_all(frame).expect("it is written");
    assert_eq!(session.end(), Some(code));
    assert!(soon(|| rig.standing() == 0));
    assert_eq!(rig.box_codes(), [Some(1001)]);
}

#[test_case(&[0x83, 0x00], 1002; "an unknown opcode")]
#[test_case(&[0x81, 0x80, 0, 0, 0, 0], 1002; "a mask")]
#[test_case(&[0x81, 0x02, 0xc3, 0x28], 1007; "no text")]
#[test_case(&[0x82, 127, 0, 0, 0, 0, 0x40, 0, 0, 0], 1009; "a message of a gigabyte")]
fn a_boxs_bad_frame_is_told_and_its_client_sees_a_clean_close(frame: &[u8], code: u16) {
    let rig = Rig::new(&[OLD], Temper::Raw(frame.to_vec()), json!({}));
    let mut session = rig.open(&view());
    assert_eq!(session.end(), Some(1011));
    assert!(soon(|| rig.standing() == 0));
    assert_eq!(rig.box_codes(), [Some(code)]);
}

#[test]
fn a_box_that_vanishes_without_a_word_is_found_out_by_pings() {
    let rig = Rig::new(&[OLD], Temper::Mute, json!({"ping_ms": 200, "silence_ms": 900}));
    let mut session = rig.open(&view());
    let began = Instant::now();
    assert_eq!(session.end(), Some(1012));
    assert!(began.elapsed() < Duration::from_secs(4));
    assert!(soon(|| rig.daemon.log().contains("code=server-silent")));
}

#[test]
fn a_slow_reader_stops_its_box_and_is_cut_off_while_others_go_on() {
    let photos = Temper::Slideshow(256 * 1024, Duration::from_millis(1));
    let rig = Rig::new(&[OLD], photos, json!({"slow_ms": 600, "ping_ms": 60000, "silence_ms": 90000}));
    let before = rig.daemon.resident_kb();
    let slow = rig.open(&view());
    let mut other = rig.open(&view());
    let began = Instant::now();
    let mut photos = 0;
    while began.elapsed() < Duration::from_millis(2_500) {
        photos += usize::from(matches!(other.hear(), Some(Message::Binary(_))));
    }
    assert!(photos > 50, "{photos}");
    assert!(soon(|| rig.standing() == 1), "the one that reads nothing is gone");
    assert!(soon(|| rig.daemon.log().contains("code=client-slow")));
    assert!(rig.daemon.resident_kb() < before + 12_000, "what waits for it is bounded");
    drop(slow);
}

#[test]
fn a_box_that_breaks_its_sessions_has_its_build_voted_back() {
    let rig = Rig::new(&[OLD, OLD, NEW, NEW], Temper::Echo, json!({"sessions": 400, "settled_ms": 400}));
    let sessions = |count: usize| {
        for _ in 0..count {
            let mut session = rig.open(&view());
            session.set_patience(Duration::from_millis(1));
            thread::spawn(move || {
                session.set_patience(Duration::from_secs(2));
                session.end();
            });
            thread::sleep(Duration::from_millis(10));
        }
    };
    sessions(60);
    thread::sleep(Duration::from_millis(600));
    rig.fleet.boxes[2..].iter().for_each(|album| album.set(Temper::Errs(Duration::from_millis(20))));
    rig.fleet.platform.set(news(NEW, 1, "Progressing", 0.5));
    let began = Instant::now();
    while rig.fleet.platform.vote().as_deref() != Some("abort") && began.elapsed() < Duration::from_secs(15) {
        sessions(20);
    }
    assert_eq!(rig.fleet.platform.vote().as_deref(), Some("abort"), "{}", rig.daemon.log());
    assert!(soon(|| rig.daemon.log().contains("alarm on build 42: Broke(ProfileId(0))")));
}

#[test]
fn on_sigterm_sessions_get_1001_and_all_ends_in_time() {
    let mut rig = Rig::new(&[OLD], Temper::Echo, json!({}));
    let sessions: Vec<_> = (0..30).map(|_| rig.open(&view())).collect();
    let ends: Vec<_> = sessions.into_iter().map(|mut session| thread::spawn(move || session.end())).collect();
    rig.daemon.signal(Signal::SIGTERM);
    assert_eq!(rig.daemon.ends_within(Duration::from_millis(3_800)), Some(true));
    for end in ends {
        assert_eq!(end.join().expect("no panic"), Some(1001));
    }
    assert!(soon(|| rig.standing() == 0));
}

#[test]
fn a_killed_gateway_starts_again_under_its_clients() {
    let mut rig = Rig::new(&[OLD, OLD], Temper::Echo, json!({}));
    let mut sessions: Vec<_> = (0..20).map(|number| rig.open(&Ask::view(&format!("k{number}")))).collect();
    rig.daemon.kill();
    assert!(soon(|| rig.standing() == 0), "boxes see their sessions end by their sockets");
    assert!(sessions.iter_mut().all(|session| session.end().is_none()));
    rig.daemon.start_again().expect("it starts");
    assert!((0..20).all(|number| rig.open(&Ask::view(&format!("k{number}"))).echo("back")));
}

#[test]
fn a_reload_lowers_limits_and_a_faulty_file_changes_nothing() {
    let rig = Rig::new(&[OLD], Temper::Echo, json!({"drain_ms": 200}));
    let mut sessions: Vec<_> = (0..10).map(|_| rig.open(&view())).collect();
    rig.daemon
        .operate(&json!({"websocket": {"profiles": ["view-album"], "sessions": "few"}}))
        .expect("a file");
    rig.daemon.signal(Signal::SIGHUP);
    assert!(soon(|| rig.daemon.log().contains(r#"/websocket/sessions: found "few", expected integer"#)));
    assert_eq!(rig.standing(), 10);
    let fewer = json!({"websocket": {"profiles": ["view-album"], "sessions": 4, "drain_ms": 200}});
    rig.daemon.operate(&fewer).expect("a file");
    rig.daemon.signal(Signal::SIGHUP);
    assert!(soon(|| rig.standing() == 4));
    let ended: Vec<_> = sessions.drain(4..).map(|mut session| session.end()).collect();
    assert_eq!(ended, [Some(1012); 6], "the newest go");
    assert_eq!(rig.refused(&view()).0, 503);
    rig.daemon.operate(&json!({})).expect("a file");
    rig.daemon.signal(Signal::SIGHUP);
    assert!(soon(|| rig.standing() == 0));
    assert_eq!(rig.refused(&view()).0, 200, "an ordinary ticket from now on");
}

/// A reload changes `message_bytes` for sessions that are open. Guards against a session that keeps the limit under which
/// it was opened.
#[test]
fn a_reload_changes_the_message_limit_of_open_sessions() {
    let limit = |bytes: u64| json!({"profiles": ["view-album"], "message_bytes": bytes});
    let rig = Rig::new(&[OLD], Temper::Echo, limit(1_000));
    let large = "ü".repeat(2_000);
    let mut session = rig.open(&view());
    assert!(session.echo("good"));
    let reload = |bytes| {
        rig.daemon.operate(&json!({"websocket": limit(bytes)})).expect("a file");
        rig.daemon.signal(Signal::SIGHUP);
    };
    reload(100_000);
    assert!(soon(|| rig.open(&view()).echo(&large)), "new sessions go by the raised limit");
    assert!(session.echo(&large), "raised");
    reload(1_000);
    assert!(soon(|| !rig.open(&view()).echo(&large)), "new sessions go by the lowered limit");
    assert!(session.echo("good"));
    session.socket.send(Message::text(large)).expect("it is sent");
    assert_eq!(session.end(), Some(1009), "lowered");
}

#[test]
fn a_thousand_guests_that_come_back_at_once_are_all_answered() {
    let rig = Rig::alone(&[OLD, OLD], Temper::Echo, json!({"sessions": 900, "come_back_ms": [50, 300]}));
    let (address, record) = (rig.daemon.address, rig.fleet.record.clone());
    let guests: Vec<_> = (0..1_000)
        .map(|number| {
            let record = record.clone();
            garnetdoor_lab::stand::spawn(move || {
                drop(open(address, &Ask::view(&format!("guest-{number}")), &record));
            })
        })
        .collect();
    guests.into_iter().for_each(|guest| guest.join().expect("no panic"));
    let found = rig.found();
    assert_eq!((found.upgrades, found.answers_missing, found.answers_double), (1_000, 0, 0));
    assert_eq!(found.turned_back_without_time, 0);
    assert!(found.finished > 10 && found.double_sessions == 0, "{found:?}");
}

#[test]
fn the_proof_holds_in_its_short_form() {
    let proof = short(7).expect("it runs");
    assert!(proof.ok(), "{}", proof.table());
}
