//! One owner of each exchange: histories drawn by seed, of a foyer's own trips and pool over loopback, against
//! an instance that stamps every request it reads. The model is the foyer's own state machine, kept a second
//! time at the instance for each connection: what it does not call idle and empty must never bring a request.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::pin::Pin;
use std::rc::Rc;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use garnetdoor::host::AttemptOutcome;
use http_body_util::BodyExt;
use hyper::body::Frame;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Method, Uri};
use oorandom::Rand64;
use playhouse::floor::desk::Seen;
use playhouse::foyer::cloakroom::Cloakroom;
use playhouse::foyer::exchange::{End, Look, State};
use playhouse::foyer::pool::{Failed, Pool};
use playhouse::foyer::trip::{ATTEMPT_ID, Asked, Outcome, Trip};
use playhouse::node::Clock;
use registry::InstanceId;
use types::{MS, Micros, SECOND};

/// No wait is so long unless something is wrong.
const LONG: Duration = Duration::from_secs(20);
/// How long a trip waits for an instance that says nothing.
const SHORT: Micros = 250 * MS;

/// What an instance does about a request whose head it has read.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Play {
    Whole,
    Chunks,
    /// Statuses and methods without a body: 204, 304, and an answer to HEAD that tells a length.
    NoContent,
    NotModified,
    Head,
    Informs,
    /// It says that it has not run it.
    Busy,
    NotMe,
    /// It says so of nothing, but by its status.
    Unproven,
    /// More than its answer at once: another one with its own id, with another id, half of one, a body where there
    /// is none.
    TwiceAtOnce,
    OtherAtOnce,
    HalfAtOnce,
    BodyOfNone,
    /// The same, once the answer has been taken and the connection lies idle.
    TwiceLater,
    BusyTwiceLater,
    InformsLater,
    ClosesLater,
    /// Its answer says that it ends the connection, or that it does so very soon.
    SaysClose,
    SaysSoon,
    /// Another's answer stands in the place of its own; or none that can be told apart.
    OtherInPlace,
    TwoIds,
    /// The connection breaks in place of the answer, or in it.
    Closes,
    Resets,
    CutOff,
    /// It says nothing until long after the caller has gone.
    Silent,
    /// The caller goes while it works; it answers all the same.
    Cancelled,
    /// It answers while the body still comes.
    Early,
    /// It answers a request that has no id.
    NoId,
}

const PLAYS: [Play; 27] = [
    Play::Whole,
    Play::Chunks,
    Play::NoContent,
    Play::NotModified,
    Play::Head,
    Play::Informs,
    Play::Busy,
    Play::NotMe,
    Play::Unproven,
    Play::TwiceAtOnce,
    Play::OtherAtOnce,
    Play::HalfAtOnce,
    Play::BodyOfNone,
    Play::TwiceLater,
    Play::BusyTwiceLater,
    Play::InformsLater,
    Play::ClosesLater,
    Play::SaysClose,
    Play::SaysSoon,
    Play::OtherInPlace,
    Play::TwoIds,
    Play::Closes,
    Play::Resets,
    Play::CutOff,
    Play::Silent,
    Play::Cancelled,
    Play::Early,
];

/// What a caller is to get.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Due {
    /// The answer with the stamp of its own run.
    Own,
    Fails(AttemptOutcome),
}

impl Play {
    fn due(self) -> Due {
        match self {
            Play::Busy | Play::BusyTwiceLater => Due::Fails(AttemptOutcome::Rejected),
            Play::NotMe => Due::Fails(AttemptOutcome::Misdirected),
            Play::Unproven => Due::Fails(AttemptOutcome::Error),
            Play::OtherInPlace | Play::TwoIds | Play::Closes | Play::Resets | Play::CutOff => {
                Due::Fails(AttemptOutcome::Reset)
            }
            Play::Silent => Due::Fails(AttemptOutcome::TimedOut),
            // Nobody is told: its task is gone.
            Play::Cancelled => Due::Fails(AttemptOutcome::Cancelled),
            _ => Due::Own,
        }
    }

    /// What becomes of the connection.
    fn end(self) -> End {
        use Play::*;
        match self {
            Whole | Chunks | NoContent | NotModified | Head | Informs | Busy | NotMe | Unproven => End::Clean,
            _ => End::Broken,
        }
    }
}

/// A request as the instance read it.
#[derive(Clone, Debug)]
struct Heard {
    attempt: String,
    line: usize,
    /// All that it says to it has been said.
    done: bool,
}

struct Line {
    state: State,
    stream: Option<TcpStream>,
}

#[derive(Default)]
struct Book {
    plays: HashMap<String, Vec<Play>>,
    heard: Vec<Heard>,
    lines: Vec<Line>,
    /// Callers that have gone before their answer.
    gone: Vec<String>,
    faults: Vec<String>,
}

#[derive(Clone, Default)]
struct Record(Arc<(Mutex<Book>, Condvar)>);

impl Record {
    fn book(&self) -> MutexGuard<'_, Book> {
        self.0.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn with<T>(&self, act: impl FnOnce(&mut Book) -> T) -> T {
        let told = act(&mut self.book());
        self.0.1.notify_all();
        told
    }

    /// Waits, with the caller's whole thread, until something holds.
    fn until(&self, what: &str, holds: impl Fn(&Book) -> bool) {
        let waits = self.0.1.wait_timeout_while(self.book(), LONG, |book| !holds(book));
        let (book, over) = waits.unwrap_or_else(PoisonError::into_inner);
        assert!(!over.timed_out(), "{what}: {:?}", book.faults);
    }
}

/// An instance with a thread for each connection.
fn instance(record: Record) -> SocketAddrV4 {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("an address");
    let SocketAddr::V4(address) = listener.local_addr().expect("its address") else { panic!("IPv4") };
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let _ = stream.set_nodelay(true);
            let line = record.with(|book| {
                book.lines.push(Line { state: State::FRESH, stream: stream.try_clone().ok() });
                book.lines.len() - 1
            });
            let record = record.clone();
            std::thread::spawn(move || serve(stream, line, &record));
        }
    });
    address
}

/// Reads a head to its end; bodies are read as far as they come with it.
fn head(stream: &mut TcpStream, ahead: &mut Vec<u8>) -> Option<String> {
    loop {
        if let Some(end) = ahead.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            let head: Vec<u8> = ahead.drain(..end + 4).collect();
            return Some(String::from_utf8_lossy(&head).into_owned());
        }
        let mut piece = [0; 4096];
        match stream.read(&mut piece) {
            Ok(bytes) if bytes > 0 => ahead.extend_from_slice(&piece[..bytes]),
            _ => return None,
        }
    }
}

fn header<'a>(head: &'a str, name: &str) -> &'a str {
    let mut lines = head.lines().skip(1).filter_map(|line| line.split_once(':'));
    lines.find(|(found, _)| found.eq_ignore_ascii_case(name)).map_or("", |(_, value)| value.trim())
}

fn serve(mut stream: TcpStream, line: usize, record: &Record) {
    let mut ahead = Vec::new();
    while let Some(head) = head(&mut stream, &mut ahead) {
        let attempt = header(&head, "Attempt-Id").to_owned();
        let length: usize = header(&head, "Content-Length").parse().unwrap_or(0);
        let (play, run) = record.with(|book| {
            let state = book.lines[line].state;
            book.lines[line].state = state.lend(Look::Nothing).wrote(head.len());
            if state != State::Idle {
                book.faults.push(format!("{attempt} came on connection {line}, which is {state:?}"));
            }
            let run = book.heard.iter().filter(|heard| heard.attempt == attempt).count();
            book.heard.push(Heard { attempt: attempt.clone(), line, done: false });
            let play = book.plays.get(&attempt).and_then(|plays| plays.get(run)).copied();
            (play, run)
        });
        let Some(play) = play else {
            return record.with(|book| book.faults.push(format!("{attempt} came {} times", run + 1)));
        };
        while play != Play::Early && ahead.len() < length {
            let mut piece = [0; 4096];
            match stream.read(&mut piece) {
                Ok(bytes) if bytes > 0 => ahead.extend_from_slice(&piece[..bytes]),
                _ => break,
            }
        }
        ahead.clear();
        if matches!(play, Play::Silent | Play::Cancelled) {
            record.until("its caller goes", |book| book.gone.contains(&attempt));
        }
        // Whoever gets it has to know the connection for what it is by then.
        record.with(|book| book.lines[line].state = book.lines[line].state.end(play.end()));
        let _ = stream.write_all(&answer(play, &attempt, run));
        let ends = matches!(play, Play::Closes | Play::Resets | Play::CutOff);
        if ends {
            record.with(|book| book.lines[line].stream = None);
            if play == Play::Resets {
                let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            }
            drop(stream);
            return done(record, line);
        }
        done(record, line);
        if play == Play::Early {
            // The body goes on until the caller closes.
            while matches!(stream.read(&mut [0; 4096]), Ok(bytes) if bytes > 0) {}
            return;
        }
    }
}

fn done(record: &Record, line: usize) {
    record.with(|book| {
        let mut heard = book.heard.iter_mut().rev();
        heard.find(|heard| heard.line == line).expect("it was heard").done = true;
    });
}

fn says(status: &str, attempt: &str, more: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status}\r\nAttempt-Id: {attempt}\r\nServer-Seal: s\r\n{more}\r\n{body}").into_bytes()
}

fn good(attempt: &str, more: &str, body: &str) -> Vec<u8> {
    says("200 OK", attempt, &format!("{more}Content-Length: {}\r\n", body.len()), body)
}

/// The stamp of one run; where an answer has no body it stands in its head.
fn stamp(attempt: &str, run: usize) -> String {
    format!("{attempt}, run {run}")
}

fn answer(play: Play, attempt: &str, run: usize) -> Vec<u8> {
    let stamp = stamp(attempt, run);
    let head = format!("Stamp: {stamp}\r\n");
    let own = good(attempt, "", &stamp);
    let no_id = format!("HTTP/1.1 400 No id\r\nNot-Executed: 1\r\n{head}Content-Length: 0\r\n\r\n");
    let busy = says("503 Busy", attempt, "Not-Executed: 1\r\nContent-Length: 0\r\n", "");
    let early_hints = b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n".to_vec();
    match play {
        Play::Whole | Play::TwiceLater | Play::InformsLater | Play::ClosesLater => own,
        Play::Silent | Play::Cancelled | Play::Early => own,
        Play::Chunks => {
            let body = format!("{:x}\r\n{stamp}\r\n0\r\n\r\n", stamp.len());
            says("200 OK", attempt, "Transfer-Encoding: chunked\r\n", &body)
        }
        Play::NoContent => says("204 No Content", attempt, &head, ""),
        Play::NotModified => says("304 Not Modified", attempt, &format!("{head}Content-Length: 9\r\n"), ""),
        Play::Head => says("200 OK", attempt, &format!("{head}Content-Length: 9\r\n"), ""),
        Play::Informs => [early_hints, own].concat(),
        Play::Busy | Play::BusyTwiceLater => busy,
        Play::NotMe => says("421 Not me", attempt, "Content-Length: 0\r\n", ""),
        Play::Unproven => says("503 Busy", attempt, "Content-Length: 0\r\n", ""),
        Play::TwiceAtOnce => [own.clone(), own].concat(),
        Play::OtherAtOnce => [own, good("stale", "", "stale")].concat(),
        Play::HalfAtOnce => [own, b"HTTP/1.1 200 O".to_vec()].concat(),
        Play::BodyOfNone => says("204 No Content", attempt, &format!("{head}Content-Length: 4\r\n"), "body"),
        Play::SaysClose => good(attempt, "Connection: close\r\n", &stamp),
        Play::SaysSoon => good(attempt, "Keep-Alive: timeout=1\r\n", &stamp),
        Play::OtherInPlace => [good("stale", "", "stale"), own].concat(),
        Play::TwoIds => good(attempt, "Attempt-Id: stale\r\n", &stamp),
        Play::Closes | Play::Resets => Vec::new(),
        Play::CutOff => own[..own.len() - 3].to_vec(),
        Play::NoId => no_id.into_bytes(),
    }
}

/// What comes on a connection that lies idle.
fn later(play: Play, attempt: &str) -> Option<Vec<u8>> {
    match play {
        Play::TwiceLater => Some(good(attempt, "", "surplus")),
        Play::BusyTwiceLater => {
            Some(says("503 Busy", attempt, "Not-Executed: 1\r\nContent-Length: 0\r\n", ""))
        }
        Play::InformsLater => Some(b"HTTP/1.1 103 Early Hints\r\n\r\n".to_vec()),
        Play::ClosesLater => Some(Vec::new()),
        _ => None,
    }
}

/// A body that begins and never ends.
struct Endless(bool);

impl hyper::body::Body for Endless {
    type Data = Bytes;
    type Error = Failed;
    fn poll_frame(
        mut self: Pin<&mut Self>, _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Failed>>> {
        if std::mem::replace(&mut self.0, true) {
            return Poll::Pending;
        }
        Poll::Ready(Some(Ok(Frame::data(Bytes::from_static(b"it begins")))))
    }
}

/// A foyer's side: its pool, and the one instance that it knows.
struct House {
    pool: Rc<RefCell<Pool>>,
    clock: Clock,
    room: Cloakroom,
    record: Record,
    to: SocketAddrV4,
    /// Connections at most.
    connections: usize,
}

/// A request that is kept, so that it could go out again.
fn asked(attempt: &str, play: Play) -> Rc<Asked> {
    let mut headers = HeaderMap::new();
    if play != Play::NoId {
        headers.insert(ATTEMPT_ID, HeaderValue::from_str(attempt).expect("an id"));
    }
    headers.insert(hyper::header::HOST, HeaderValue::from_static("exchange.example"));
    let streams = play == Play::Early;
    Rc::new(Asked {
        method: if play == Play::Head { Method::HEAD } else { Method::POST },
        uri: Uri::from_static("/book/1"),
        headers,
        body: Bytes::from_static(if play == Play::Head { b"" } else { b"row=3" }),
        stream: RefCell::new(streams.then(|| Endless(false).boxed_unsync())),
        streams,
        been: RefCell::default(),
        repeats: false,
    })
}

impl House {
    fn open() -> House {
        let record = Record::default();
        House {
            pool: Rc::default(),
            clock: Clock::start(),
            room: Cloakroom::of_memory(1e9),
            to: instance(record.clone()),
            record,
            connections: 1_000,
        }
    }

    fn trip(&self, asked: &Rc<Asked>, wait: Micros) -> Trip {
        Trip {
            pool: self.pool.clone(),
            clock: self.clock,
            to: Seen { id: InstanceId("i-1".into()), address: self.to },
            asked: asked.clone(),
            until: self.clock.now() + wait,
            connections: self.connections,
            coat: self.room.coat(),
        }
    }

    /// One exchange, and what follows on its connection while it lies idle. With `asleep`, the runtime learns
    /// nothing of that before the next exchange.
    async fn exchange(&self, asked: &Rc<Asked>, attempt: &str, play: Play, asleep: bool) {
        let run = self.record.with(|book| {
            let plays = book.plays.entry(attempt.to_owned()).or_default();
            plays.push(play);
            plays.len() - 1
        });
        let wait = if play == Play::Silent { SHORT } else { 60 * SECOND };
        let mut going = tokio::task::spawn_local(self.trip(asked, wait).run());
        let got = if play == Play::Cancelled {
            while self.heard(attempt) <= run {
                assert!(!going.is_finished(), "{attempt} ended by itself");
                tokio::task::yield_now().await;
            }
            going.abort();
            assert!((&mut going).await.is_err_and(|error| error.is_cancelled()));
            Outcome::Failed(AttemptOutcome::Cancelled)
        } else {
            going.await.expect("no panic")
        };
        self.judge(attempt, run, play, got).await;
        self.record.with(|book| book.gone.push(attempt.to_owned()));
        self.settle(attempt, run, play, asleep).await;
    }

    fn heard(&self, attempt: &str) -> usize {
        self.record.book().heard.iter().filter(|heard| heard.attempt == attempt).count()
    }

    async fn judge(&self, attempt: &str, run: usize, play: Play, got: Outcome) {
        let (due, what) = (play.due(), format!("{attempt}, run {run}, {play:?}"));
        match (got, due) {
            (Outcome::Answer { response, .. }, Due::Own) => {
                let told = response.headers().get("stamp").cloned();
                let body = response.into_body().collect().await.expect("a whole body").to_bytes();
                let told = told.as_ref().map_or(&body[..], |told| told.as_bytes());
                assert_eq!(String::from_utf8_lossy(told), stamp(attempt, run), "{what}");
            }
            (Outcome::Failed(ending), Due::Fails(want)) => assert_eq!(ending, want, "{what}"),
            (Outcome::Answer { response, .. }, due) => {
                panic!("{what}: {} and not {due:?}", response.status())
            }
            (Outcome::Failed(ending), due) => panic!("{what}: {ending:?} and not {due:?}"),
        }
        // Nobody gives a request up unheard here, and none comes twice.
        let heard = |book: &Book| book.heard.iter().filter(|heard| heard.attempt == attempt).count();
        self.record.until(&what, |book| heard(book) > run);
        assert_eq!(self.heard(attempt), run + 1, "{what}");
    }

    /// Waits until the instance has said all, and until what it said is in the foyer's sockets.
    async fn settle(&self, attempt: &str, run: usize, play: Play, asleep: bool) {
        let of = |book: &Book| {
            let mut heard = book.heard.iter().filter(|heard| heard.attempt == attempt);
            heard.nth(run).map(|heard| (heard.line, heard.done))
        };
        self.record.until("the instance is done", |book| of(book).is_some_and(|(_, done)| done));
        if let Some(bytes) = later(play, attempt) {
            let (line, _) = of(&self.record.book()).expect("it was heard");
            let stream = self.record.with(|book| book.lines[line].stream.take()).expect("it is open");
            if bytes.is_empty() {
                stream.shutdown(std::net::Shutdown::Both).expect("it ends");
            }
            (&stream).write_all(&bytes).expect("it is taken");
        }
        let began = Instant::now();
        loop {
            let idle =
                self.record.with(|book| book.lines.iter().filter(|line| line.state == State::Idle).count());
            let looks = self.pool.borrow().looks(self.to);
            let empty = looks.iter().filter(|look| **look == Look::Nothing).count();
            if idle == empty {
                return;
            }
            if began.elapsed() > LONG {
                let book = self.record.book();
                let states: Vec<State> = book.lines.iter().map(|line| line.state).collect();
                panic!(
                    "{attempt}, {play:?}: {states:?}, held are {looks:?}\n{:?}\n{:?}",
                    book.heard, book.plays
                );
            }
            if asleep {
                std::thread::yield_now();
            } else {
                tokio::task::yield_now().await;
            }
        }
    }

    fn sound(&self) {
        let book = self.record.book();
        assert!(book.faults.is_empty(), "{}", book.faults.join("\n"));
    }
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

#[test]
fn in_any_history_each_gets_the_answer_to_its_own_run_on_a_connection_that_is_proved_empty() {
    for seed in 0..24 {
        let mut rand = Rand64::new(seed);
        run(async {
            let house = House::open();
            let mut played = Vec::new();
            for number in 0..40 {
                // Half of all are clean, so that there are connections to be used again.
                let clean = rand.rand_range(0..2) == 0;
                let play = PLAYS[rand.rand_range(0..if clean { 3 } else { PLAYS.len() as u64 }) as usize];
                let (attempt, asleep) = (format!("{seed}-{number}"), rand.rand_range(0..2) == 0);
                let asked = asked(&attempt, play);
                played.push(play);
                // Two at once, on connections of their own.
                if clean && rand.rand_range(0..4) == 0 {
                    let beside = format!("{attempt}-beside");
                    let other = self::asked(&beside, Play::Whole);
                    let both = (
                        house.exchange(&other, &beside, Play::Whole, false),
                        house.exchange(&asked, &attempt, play, false),
                    );
                    tokio::join!(both.0, both.1);
                    continue;
                }
                house.exchange(&asked, &attempt, play, asleep).await;
                // What has not run may go again, to the same instance too.
                if matches!(play, Play::Busy | Play::BusyTwiceLater | Play::NotMe) {
                    house.exchange(&asked, &attempt, Play::Whole, asleep).await;
                }
            }
            house.sound();
            let (lines, heard) = {
                let book = house.record.book();
                (book.lines.len(), book.heard.len())
            };
            let broken = played.iter().filter(|play| play.end() == End::Broken).count();
            assert!(heard >= 40 && lines <= broken + 16, "{lines} connections for {heard}, {broken} broken");
        });
    }
}

#[test]
fn what_came_while_idle_is_seen_before_the_next_request_is_written() {
    for play in [Play::TwiceLater, Play::BusyTwiceLater, Play::InformsLater, Play::ClosesLater] {
        run(async {
            let house = House::open();
            house.exchange(&asked("first", play), "first", play, true).await;
            // Nothing has been polled since: only a look at the socket itself can tell.
            assert_eq!(house.pool.borrow().looks(house.to).len(), 1, "{play:?}");
            house.exchange(&asked("second", Play::Whole), "second", Play::Whole, true).await;
            let lines: Vec<usize> = house.record.book().heard.iter().map(|heard| heard.line).collect();
            assert_eq!(lines, [0, 1], "{play:?}");
            house.sound();
        });
    }
}

#[test]
fn a_refusal_that_is_said_twice_does_not_count_for_the_next_try_of_the_same_request() {
    run(async {
        let house = House::open();
        let again = asked("again", Play::Busy);
        house.exchange(&again, "again", Play::Busy, true).await;
        house.exchange(&again, "again", Play::Whole, true).await;
        // A connection lies idle, and yet the second try has one on which no earlier answer can come.
        let lines: Vec<usize> = house.record.book().heard.iter().map(|heard| heard.line).collect();
        assert_eq!(lines, [0, 1]);
        house.exchange(&asked("other", Play::Whole), "other", Play::Whole, true).await;
        assert_eq!(house.record.book().lines.len(), 2, "both are still of use for others");
        house.sound();
    });
}

#[test]
fn a_second_try_gets_its_connection_also_where_no_more_may_be_made() {
    run(async {
        let house = House { connections: 1, ..House::open() };
        let again = asked("again", Play::Busy);
        house.exchange(&again, "again", Play::Busy, true).await;
        // The one that is held goes; at the instance's end it is over as well.
        house.record.with(|book| book.lines[0].state = State::Closing);
        house.exchange(&again, "again", Play::Whole, false).await;
        let lines: Vec<usize> = house.record.book().heard.iter().map(|heard| heard.line).collect();
        assert_eq!(lines, [0, 1]);
        house.sound();
    });
}

#[test]
fn a_connection_whose_answer_could_not_be_told_apart_is_not_kept() {
    run(async {
        let house = House::open();
        for _ in 0..2 {
            house.exchange(&asked("", Play::NoId), "", Play::NoId, false).await;
        }
        let lines: Vec<usize> = house.record.book().heard.iter().map(|heard| heard.line).collect();
        assert_eq!(lines, [0, 1]);
        house.sound();
    });
}

#[test]
fn an_attempt_that_is_told_as_not_run_has_not_been_heard() {
    run(async {
        // Nobody listens.
        let mut house = House::open();
        let held = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("an address");
        let SocketAddr::V4(nobody) = held.local_addr().expect("its address") else { panic!("IPv4") };
        drop(held);
        let real = std::mem::replace(&mut house.to, nobody);
        let got = house.trip(&asked("refused", Play::Whole), SECOND).run().await;
        assert!(matches!(got, Outcome::Failed(AttemptOutcome::ConnectFailed)));
        // Its time is over before it goes.
        house.to = real;
        let got = house.trip(&asked("over", Play::Whole), 0).run().await;
        assert!(matches!(got, Outcome::Failed(AttemptOutcome::NeverSent)));
        assert!(house.record.book().heard.is_empty());
        // Reset when it was accepted: whether anything was written by then is a race, what is told is true.
        let resets = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("an address");
        let SocketAddr::V4(address) = resets.local_addr().expect("its address") else { panic!("IPv4") };
        house.to = address;
        let accepts = std::thread::spawn(move || {
            let mut read = 0;
            for number in 0..200 {
                let (mut stream, _) = resets.accept().expect("a connection");
                let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                if number % 2 == 1 {
                    read += stream.read(&mut [0; 4096]).unwrap_or(0).min(1);
                }
            }
            read
        });
        let mut perhaps = 0;
        for number in 0..200 {
            let attempt = format!("reset-{number}");
            match house.trip(&asked(&attempt, Play::Whole), 60 * SECOND).run().await {
                Outcome::Failed(AttemptOutcome::Reset) => perhaps += 1,
                Outcome::Failed(AttemptOutcome::ConnectFailed) => {
                    assert!(number % 2 == 0, "{number} was read")
                }
                Outcome::Failed(ending) => panic!("{ending:?}"),
                Outcome::Answer { .. } => panic!("nobody answered"),
            }
        }
        let read = accepts.join().expect("no panic");
        assert_eq!(read, 100, "every other one is read");
        assert!(perhaps >= read, "{perhaps} perhaps run, {read} were read");
    });
}

#[test]
fn a_connection_has_one_owner_and_is_lent_only_when_it_is_proved_empty() {
    #[derive(Clone, Copy, Debug)]
    enum Move {
        Lend(Look),
        Wrote(usize),
        End(End),
    }
    let moves = [
        Move::Lend(Look::Nothing),
        Move::Lend(Look::Bytes),
        Move::Lend(Look::Ended),
        Move::Wrote(0),
        Move::Wrote(9),
        Move::End(End::Clean),
        Move::End(End::Broken),
    ];
    let mut paths = vec![(State::FRESH, Vec::<Move>::new())];
    let mut lent = 0;
    for _ in 0..6 {
        let mut next = Vec::new();
        for (state, path) in &paths {
            for this in moves {
                let after = match this {
                    Move::Lend(look) => state.lend(look),
                    Move::Wrote(bytes) => state.wrote(bytes),
                    Move::End(end) => state.end(end),
                };
                let path: Vec<Move> = path.iter().copied().chain([this]).collect();
                match (state, this, after) {
                    (State::Idle, Move::Lend(Look::Nothing), State::Lent { written: 0 }) => lent += 1,
                    (State::Lent { written }, Move::Wrote(bytes), State::Lent { written: after }) => {
                        assert_eq!(after, written + bytes as u64);
                    }
                    (State::Lent { written: 1.. }, Move::End(End::Clean), State::Idle) => {}
                    (_, _, State::Closing) => {}
                    _ => panic!("{path:?} makes {after:?} of {state:?}"),
                }
                assert!(*state != State::Closing || after == State::Closing, "{path:?} opens it again");
                assert_eq!(after.unheard(), after == State::Lent { written: 0 });
                if after != State::Closing {
                    next.push((after, path));
                }
            }
        }
        paths = next;
    }
    assert!(lent > 0 && paths.iter().any(|(state, _)| *state == State::Idle));
}
