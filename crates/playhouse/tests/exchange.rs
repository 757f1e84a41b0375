//! Each exchange owns its connection: random histories, drawn by seed, of a gateway's attempts and connection pool
//! over loopback, against an instance that stamps every request it reads. The model is the gateway's own connection
//! state, kept a second time at the instance for each connection: a connection that is not idle and empty in the
//! model must never carry a request.

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
use playhouse::data_plane::service_host::{ConnectionLimit, TargetInstance};
use playhouse::gateway::attempt::{ATTEMPT_ID, Attempt, AttemptResult, ReplayableRequest};
use playhouse::gateway::body_budget::BodyBudget;
use playhouse::gateway::connection_state::{ConnectionState, ExchangeEnd, SocketState};
use playhouse::gateway::pool::{BodyError, Pool};
use playhouse::node::Clock;
use registry::InstanceId;
use types::{MS, Micros, SECOND};

/// Waits longer than this only if something is wrong.
const FAILURE_TIMEOUT: Duration = Duration::from_secs(20);
/// How long an attempt waits for an instance that does not answer, in microseconds.
const NO_ANSWER_TIMEOUT: Micros = 250 * MS;

/// What an instance does with a request whose head it has read.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Behavior {
    FixedLength,
    Chunked,
    /// Statuses and methods without a body: 204, 304, and an answer to HEAD with a content length.
    NoContent,
    NotModified,
    Head,
    EarlyHints,
    /// Answers that the request was not run.
    NotExecuted,
    Misdirected,
    /// Implies by its status alone that the request was not run.
    BusyWithoutPromise,
    /// Sends more than its answer at once: a second answer with the same id, one with another id, part of one, or a
    /// body where none is allowed.
    DuplicateAtOnce,
    ForeignAtOnce,
    PartialAtOnce,
    BodyOnNoContent,
    /// Sends the surplus after the answer has been read and the connection is idle.
    DuplicateLater,
    NotExecutedDuplicateLater,
    EarlyHintsLater,
    CloseLater,
    /// Announces that the connection ends, or that it ends very soon.
    ConnectionClose,
    ShortKeepAlive,
    /// Sends an answer to another request instead of its own, or one with two ids.
    ForeignInstead,
    TwoIds,
    /// Closes the connection instead of answering, or during the answer.
    Close,
    Reset,
    Truncated,
    /// Does not answer until long after the caller has gone.
    NoAnswer,
    /// The caller cancels while the instance works; it answers all the same.
    Cancelled,
    /// Answers while the request's body is still being sent.
    AnswerBeforeBody,
    /// Answers a request that has no id.
    NoId,
}

const BEHAVIORS: [Behavior; 27] = [
    Behavior::FixedLength,
    Behavior::Chunked,
    Behavior::NoContent,
    Behavior::NotModified,
    Behavior::Head,
    Behavior::EarlyHints,
    Behavior::NotExecuted,
    Behavior::Misdirected,
    Behavior::BusyWithoutPromise,
    Behavior::DuplicateAtOnce,
    Behavior::ForeignAtOnce,
    Behavior::PartialAtOnce,
    Behavior::BodyOnNoContent,
    Behavior::DuplicateLater,
    Behavior::NotExecutedDuplicateLater,
    Behavior::EarlyHintsLater,
    Behavior::CloseLater,
    Behavior::ConnectionClose,
    Behavior::ShortKeepAlive,
    Behavior::ForeignInstead,
    Behavior::TwoIds,
    Behavior::Close,
    Behavior::Reset,
    Behavior::Truncated,
    Behavior::NoAnswer,
    Behavior::Cancelled,
    Behavior::AnswerBeforeBody,
];

/// The result that the caller must get.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Expected {
    /// The answer with the stamp of its own run.
    OwnAnswer,
    Failure(AttemptOutcome),
}

impl Behavior {
    fn expected(self) -> Expected {
        match self {
            Behavior::NotExecuted | Behavior::NotExecutedDuplicateLater => {
                Expected::Failure(AttemptOutcome::Rejected)
            }
            Behavior::Misdirected => Expected::Failure(AttemptOutcome::Misdirected),
            Behavior::BusyWithoutPromise => Expected::Failure(AttemptOutcome::Error),
            Behavior::ForeignInstead
            | Behavior::TwoIds
            | Behavior::Close
            | Behavior::Reset
            | Behavior::Truncated => Expected::Failure(AttemptOutcome::Reset),
            Behavior::NoAnswer => Expected::Failure(AttemptOutcome::TimedOut),
            // Not observed by the caller, whose task is gone.
            Behavior::Cancelled => Expected::Failure(AttemptOutcome::Cancelled),
            _ => Expected::OwnAnswer,
        }
    }

    /// How the exchange ends for the connection.
    fn exchange_end(self) -> ExchangeEnd {
        use Behavior::*;
        match self {
            FixedLength | Chunked | NoContent | NotModified | Head | EarlyHints | NotExecuted
            | Misdirected | BusyWithoutPromise => ExchangeEnd::Clean,
            _ => ExchangeEnd::Broken,
        }
    }
}

/// A request as the instance read it.
#[derive(Clone, Debug)]
struct ReceivedRequest {
    attempt: String,
    connection: usize,
    /// Everything that answers it has been sent.
    done: bool,
}

struct ServerConnection {
    state: ConnectionState,
    stream: Option<TcpStream>,
}

#[derive(Default)]
struct Log {
    behaviors: HashMap<String, Vec<Behavior>>,
    received: Vec<ReceivedRequest>,
    connections: Vec<ServerConnection>,
    /// Attempts whose callers left before the answer.
    callers_gone: Vec<String>,
    faults: Vec<String>,
}

#[derive(Clone, Default)]
struct SharedLog(Arc<(Mutex<Log>, Condvar)>);

impl SharedLog {
    fn lock(&self) -> MutexGuard<'_, Log> {
        self.0.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn update<T>(&self, act: impl FnOnce(&mut Log) -> T) -> T {
        let result = act(&mut self.lock());
        self.0.1.notify_all();
        result
    }

    /// Blocks the calling thread until the condition holds.
    fn wait_until(&self, what: &str, holds: impl Fn(&Log) -> bool) {
        let waits = self.0.1.wait_timeout_while(self.lock(), FAILURE_TIMEOUT, |log| !holds(log));
        let (log, over) = waits.unwrap_or_else(PoisonError::into_inner);
        assert!(!over.timed_out(), "{what}: {:?}", log.faults);
    }
}

/// Starts an instance with a thread for each connection; returns its address.
fn start_instance(log: SharedLog) -> SocketAddrV4 {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("an address");
    let SocketAddr::V4(address) = listener.local_addr().expect("its address") else { panic!("IPv4") };
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let _ = stream.set_nodelay(true);
            let connection = log.update(|log| {
                log.connections
                    .push(ServerConnection { state: ConnectionState::NEW, stream: stream.try_clone().ok() });
                log.connections.len() - 1
            });
            let log = log.clone();
            std::thread::spawn(move || serve(stream, connection, &log));
        }
    });
    address
}

/// Reads a head to its end; bytes of the body are read as far as they arrive with it.
fn read_head(stream: &mut TcpStream, ahead: &mut Vec<u8>) -> Option<String> {
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

fn serve(mut stream: TcpStream, connection: usize, log: &SharedLog) {
    let mut ahead = Vec::new();
    while let Some(head) = read_head(&mut stream, &mut ahead) {
        let attempt = header(&head, "Attempt-Id").to_owned();
        let length: usize = header(&head, "Content-Length").parse().unwrap_or(0);
        let (behavior, run) = log.update(|log| {
            let state = log.connections[connection].state;
            log.connections[connection].state = state.acquire(SocketState::Empty).bytes_written(head.len());
            if state != ConnectionState::Idle {
                log.faults.push(format!("{attempt} came on connection {connection}, which is {state:?}"));
            }
            let run = log.received.iter().filter(|received| received.attempt == attempt).count();
            log.received.push(ReceivedRequest { attempt: attempt.clone(), connection, done: false });
            let behavior = log.behaviors.get(&attempt).and_then(|behaviors| behaviors.get(run)).copied();
            (behavior, run)
        });
        let Some(behavior) = behavior else {
            return log.update(|log| log.faults.push(format!("{attempt} came {} times", run + 1)));
        };
        while behavior != Behavior::AnswerBeforeBody && ahead.len() < length {
            let mut piece = [0; 4096];
            match stream.read(&mut piece) {
                Ok(bytes) if bytes > 0 => ahead.extend_from_slice(&piece[..bytes]),
                _ => break,
            }
        }
        ahead.clear();
        if matches!(behavior, Behavior::NoAnswer | Behavior::Cancelled) {
            log.wait_until("its caller goes", |log| log.callers_gone.contains(&attempt));
        }
        // The model must be updated before the caller gets the answer and reuses the connection.
        log.update(|log| {
            log.connections[connection].state =
                log.connections[connection].state.finish(behavior.exchange_end())
        });
        let _ = stream.write_all(&answer_bytes(behavior, &attempt, run));
        let ends = matches!(behavior, Behavior::Close | Behavior::Reset | Behavior::Truncated);
        if ends {
            log.update(|log| log.connections[connection].stream = None);
            if behavior == Behavior::Reset {
                let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            }
            drop(stream);
            return mark_done(log, connection);
        }
        mark_done(log, connection);
        if behavior == Behavior::AnswerBeforeBody {
            // The body continues until the caller closes.
            while matches!(stream.read(&mut [0; 4096]), Ok(bytes) if bytes > 0) {}
            return;
        }
    }
}

fn mark_done(log: &SharedLog, connection: usize) {
    log.update(|log| {
        let mut received = log.received.iter_mut().rev();
        received.find(|received| received.connection == connection).expect("it was received").done = true;
    });
}

fn response(status: &str, attempt: &str, more: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status}\r\nAttempt-Id: {attempt}\r\nServer-Seal: s\r\n{more}\r\n{body}").into_bytes()
}

fn ok_response(attempt: &str, more: &str, body: &str) -> Vec<u8> {
    response("200 OK", attempt, &format!("{more}Content-Length: {}\r\n", body.len()), body)
}

/// The stamp of one run; in an answer without a body it is in the head.
fn stamp(attempt: &str, run: usize) -> String {
    format!("{attempt}, run {run}")
}

fn answer_bytes(behavior: Behavior, attempt: &str, run: usize) -> Vec<u8> {
    let stamp = stamp(attempt, run);
    let head = format!("Stamp: {stamp}\r\n");
    let own = ok_response(attempt, "", &stamp);
    let no_id = format!("HTTP/1.1 400 No id\r\nNot-Executed: 1\r\n{head}Content-Length: 0\r\n\r\n");
    let busy = response("503 Busy", attempt, "Not-Executed: 1\r\nContent-Length: 0\r\n", "");
    let early_hints = b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n".to_vec();
    match behavior {
        Behavior::FixedLength
        | Behavior::DuplicateLater
        | Behavior::EarlyHintsLater
        | Behavior::CloseLater => own,
        Behavior::NoAnswer | Behavior::Cancelled | Behavior::AnswerBeforeBody => own,
        Behavior::Chunked => {
            let body = format!("{:x}\r\n{stamp}\r\n0\r\n\r\n", stamp.len());
            response("200 OK", attempt, "Transfer-Encoding: chunked\r\n", &body)
        }
        Behavior::NoContent => response("204 No Content", attempt, &head, ""),
        Behavior::NotModified => {
            response("304 Not Modified", attempt, &format!("{head}Content-Length: 9\r\n"), "")
        }
        Behavior::Head => response("200 OK", attempt, &format!("{head}Content-Length: 9\r\n"), ""),
        Behavior::EarlyHints => [early_hints, own].concat(),
        Behavior::NotExecuted | Behavior::NotExecutedDuplicateLater => busy,
        Behavior::Misdirected => response("421 Not me", attempt, "Content-Length: 0\r\n", ""),
        Behavior::BusyWithoutPromise => response("503 Busy", attempt, "Content-Length: 0\r\n", ""),
        Behavior::DuplicateAtOnce => [own.clone(), own].concat(),
        Behavior::ForeignAtOnce => [own, ok_response("stale", "", "stale")].concat(),
        Behavior::PartialAtOnce => [own, b"HTTP/1.1 200 O".to_vec()].concat(),
        Behavior::BodyOnNoContent => {
            response("204 No Content", attempt, &format!("{head}Content-Length: 4\r\n"), "body")
        }
        Behavior::ConnectionClose => ok_response(attempt, "Connection: close\r\n", &stamp),
        Behavior::ShortKeepAlive => ok_response(attempt, "Keep-Alive: timeout=1\r\n", &stamp),
        Behavior::ForeignInstead => [ok_response("stale", "", "stale"), own].concat(),
        Behavior::TwoIds => ok_response(attempt, "Attempt-Id: stale\r\n", &stamp),
        Behavior::Close | Behavior::Reset => Vec::new(),
        Behavior::Truncated => own[..own.len() - 3].to_vec(),
        Behavior::NoId => no_id.into_bytes(),
    }
}

/// What the instance sends on a connection that is idle.
fn late_bytes(behavior: Behavior, attempt: &str) -> Option<Vec<u8>> {
    match behavior {
        Behavior::DuplicateLater => Some(ok_response(attempt, "", "surplus")),
        Behavior::NotExecutedDuplicateLater => {
            Some(response("503 Busy", attempt, "Not-Executed: 1\r\nContent-Length: 0\r\n", ""))
        }
        Behavior::EarlyHintsLater => Some(b"HTTP/1.1 103 Early Hints\r\n\r\n".to_vec()),
        Behavior::CloseLater => Some(Vec::new()),
        _ => None,
    }
}

/// A body that begins and never ends.
struct EndlessBody(bool);

impl hyper::body::Body for EndlessBody {
    type Data = Bytes;
    type Error = BodyError;
    fn poll_frame(
        mut self: Pin<&mut Self>, _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if std::mem::replace(&mut self.0, true) {
            return Poll::Pending;
        }
        Poll::Ready(Some(Ok(Frame::data(Bytes::from_static(b"it begins")))))
    }
}

/// The gateway's side: its pool, and the only instance that it knows.
struct Fixture {
    pool: Rc<RefCell<Pool>>,
    clock: Clock,
    body_budget: BodyBudget,
    log: SharedLog,
    address: SocketAddrV4,
    /// Most connections to the instance.
    connections: ConnectionLimit,
}

/// A buffered request, which can be sent again.
fn request(attempt: &str, behavior: Behavior) -> Rc<ReplayableRequest> {
    let mut headers = HeaderMap::new();
    if behavior != Behavior::NoId {
        headers.insert(ATTEMPT_ID, HeaderValue::from_str(attempt).expect("an id"));
    }
    headers.insert(hyper::header::HOST, HeaderValue::from_static("exchange.example"));
    let streams = behavior == Behavior::AnswerBeforeBody;
    Rc::new(ReplayableRequest {
        method: if behavior == Behavior::Head { Method::HEAD } else { Method::POST },
        uri: Uri::from_static("/book/1"),
        headers,
        body: Bytes::from_static(if behavior == Behavior::Head { b"" } else { b"row=3" }),
        stream: RefCell::new(streams.then(|| EndlessBody(false).boxed_unsync())),
        is_streamed: streams,
        tried: RefCell::default(),
        idempotent: false,
    })
}

impl Fixture {
    fn open() -> Fixture {
        let log = SharedLog::default();
        Fixture {
            pool: Rc::default(),
            clock: Clock::start(),
            body_budget: BodyBudget::for_memory(1e9),
            address: start_instance(log.clone()),
            log,
            connections: ConnectionLimit::new(1_000),
        }
    }

    fn attempt(&self, request: &Rc<ReplayableRequest>, wait: Micros) -> Attempt {
        Attempt {
            pool: self.pool.clone(),
            clock: self.clock,
            target: TargetInstance { id: InstanceId("i-1".into()), address: self.address },
            original: request.clone(),
            deadline: self.clock.now() + wait,
            connections: self.connections.clone(),
            reservation: self.body_budget.reservation(),
        }
    }

    /// One exchange, and what follows on its connection while it is idle. With `without_polling`, the runtime is not
    /// polled between that and the next exchange.
    async fn exchange(
        &self, request: &Rc<ReplayableRequest>, attempt: &str, behavior: Behavior, without_polling: bool,
    ) {
        let run = self.log.update(|log| {
            let behaviors = log.behaviors.entry(attempt.to_owned()).or_default();
            behaviors.push(behavior);
            behaviors.len() - 1
        });
        let wait = if behavior == Behavior::NoAnswer { NO_ANSWER_TIMEOUT } else { 60 * SECOND };
        let mut running = tokio::task::spawn_local(self.attempt(request, wait).run());
        let got = if behavior == Behavior::Cancelled {
            while self.received_count(attempt) <= run {
                assert!(!running.is_finished(), "{attempt} ended by itself");
                tokio::task::yield_now().await;
            }
            running.abort();
            assert!((&mut running).await.is_err_and(|error| error.is_cancelled()));
            AttemptResult::Failed(AttemptOutcome::Cancelled)
        } else {
            running.await.expect("no panic")
        };
        self.check_result(attempt, run, behavior, got).await;
        self.log.update(|log| log.callers_gone.push(attempt.to_owned()));
        self.settle(attempt, run, behavior, without_polling).await;
    }

    fn received_count(&self, attempt: &str) -> usize {
        self.log.lock().received.iter().filter(|received| received.attempt == attempt).count()
    }

    async fn check_result(&self, attempt: &str, run: usize, behavior: Behavior, got: AttemptResult) {
        let (expected, what) = (behavior.expected(), format!("{attempt}, run {run}, {behavior:?}"));
        match (got, expected) {
            (AttemptResult::Answer { response, .. }, Expected::OwnAnswer) => {
                let stamp_header = response.headers().get("stamp").cloned();
                let body = response.into_body().collect().await.expect("a whole body").to_bytes();
                let received_stamp = stamp_header.as_ref().map_or(&body[..], |header| header.as_bytes());
                assert_eq!(String::from_utf8_lossy(received_stamp), stamp(attempt, run), "{what}");
            }
            (AttemptResult::Failed(outcome), Expected::Failure(want)) => assert_eq!(outcome, want, "{what}"),
            (AttemptResult::Answer { response, .. }, expected) => {
                panic!("{what}: {} and not {expected:?}", response.status())
            }
            (AttemptResult::Failed(outcome), expected) => panic!("{what}: {outcome:?} and not {expected:?}"),
        }
        // No request is given up before the instance has received it, and none is received twice.
        let count = |log: &Log| log.received.iter().filter(|received| received.attempt == attempt).count();
        self.log.wait_until(&what, |log| count(log) > run);
        assert_eq!(self.received_count(attempt), run + 1, "{what}");
    }

    /// Waits until the instance has sent everything, and until it has arrived at the gateway's sockets.
    async fn settle(&self, attempt: &str, run: usize, behavior: Behavior, without_polling: bool) {
        let of = |log: &Log| {
            let mut received = log.received.iter().filter(|received| received.attempt == attempt);
            received.nth(run).map(|received| (received.connection, received.done))
        };
        self.log.wait_until("the instance is done", |log| of(log).is_some_and(|(_, done)| done));
        if let Some(bytes) = late_bytes(behavior, attempt) {
            let (connection, _) = of(&self.log.lock()).expect("it was received");
            let stream =
                self.log.update(|log| log.connections[connection].stream.take()).expect("it is open");
            if bytes.is_empty() {
                stream.shutdown(std::net::Shutdown::Both).expect("it ends");
            }
            (&stream).write_all(&bytes).expect("it is taken");
        }
        let began = Instant::now();
        loop {
            let idle = self.log.update(|log| {
                log.connections.iter().filter(|connection| connection.state == ConnectionState::Idle).count()
            });
            let looks = self.pool.borrow().idle_socket_states(self.address);
            let empty = looks.iter().filter(|look| **look == SocketState::Empty).count();
            if idle == empty {
                return;
            }
            if began.elapsed() > FAILURE_TIMEOUT {
                let log = self.log.lock();
                let states: Vec<ConnectionState> =
                    log.connections.iter().map(|connection| connection.state).collect();
                panic!(
                    "{attempt}, {behavior:?}: {states:?}, held are {looks:?}\n{:?}\n{:?}",
                    log.received, log.behaviors
                );
            }
            if without_polling {
                std::thread::yield_now();
            } else {
                tokio::task::yield_now().await;
            }
        }
    }

    fn assert_no_faults(&self) {
        let log = self.log.lock();
        assert!(log.faults.is_empty(), "{}", log.faults.join("\n"));
    }
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

#[test]
fn in_random_histories_each_request_gets_its_own_answer_on_a_connection_proved_empty() {
    for seed in 0..24 {
        let mut rand = Rand64::new(seed);
        run(async {
            let fixture = Fixture::open();
            let mut drawn = Vec::new();
            for number in 0..40 {
                // Half of the exchanges are clean, so that there are connections to reuse.
                let clean = rand.rand_range(0..2) == 0;
                let behavior =
                    BEHAVIORS[rand.rand_range(0..if clean { 3 } else { BEHAVIORS.len() as u64 }) as usize];
                let (attempt, without_polling) = (format!("{seed}-{number}"), rand.rand_range(0..2) == 0);
                let request = request(&attempt, behavior);
                drawn.push(behavior);
                // Two at once, on separate connections.
                if clean && rand.rand_range(0..4) == 0 {
                    let beside = format!("{attempt}-beside");
                    let other = self::request(&beside, Behavior::FixedLength);
                    let both = (
                        fixture.exchange(&other, &beside, Behavior::FixedLength, false),
                        fixture.exchange(&request, &attempt, behavior, false),
                    );
                    tokio::join!(both.0, both.1);
                    continue;
                }
                fixture.exchange(&request, &attempt, behavior, without_polling).await;
                // A request that has not run may be sent again, to the same instance too.
                if matches!(
                    behavior,
                    Behavior::NotExecuted | Behavior::NotExecutedDuplicateLater | Behavior::Misdirected
                ) {
                    fixture.exchange(&request, &attempt, Behavior::FixedLength, without_polling).await;
                }
            }
            fixture.assert_no_faults();
            let (connections, received) = {
                let log = fixture.log.lock();
                (log.connections.len(), log.received.len())
            };
            let broken =
                drawn.iter().filter(|behavior| behavior.exchange_end() == ExchangeEnd::Broken).count();
            assert!(
                received >= 40 && connections <= broken + 16,
                "{connections} connections for {received}, {broken} broken"
            );
        });
    }
}

#[test]
fn input_received_while_idle_is_seen_before_the_next_request_is_written() {
    for behavior in [
        Behavior::DuplicateLater,
        Behavior::NotExecutedDuplicateLater,
        Behavior::EarlyHintsLater,
        Behavior::CloseLater,
    ] {
        run(async {
            let fixture = Fixture::open();
            fixture.exchange(&request("first", behavior), "first", behavior, true).await;
            // Nothing has been polled since: only a check of the socket itself can see the input.
            assert_eq!(fixture.pool.borrow().idle_socket_states(fixture.address).len(), 1, "{behavior:?}");
            fixture
                .exchange(&request("second", Behavior::FixedLength), "second", Behavior::FixedLength, true)
                .await;
            let connections: Vec<usize> =
                fixture.log.lock().received.iter().map(|received| received.connection).collect();
            assert_eq!(connections, [0, 1], "{behavior:?}");
            fixture.assert_no_faults();
        });
    }
}

#[test]
fn a_duplicate_refusal_is_not_taken_as_the_answer_to_the_next_attempt() {
    run(async {
        let fixture = Fixture::open();
        let again = request("again", Behavior::NotExecuted);
        fixture.exchange(&again, "again", Behavior::NotExecuted, true).await;
        fixture.exchange(&again, "again", Behavior::FixedLength, true).await;
        // A connection is idle, but the second attempt has one on which no earlier answer can arrive.
        let connections: Vec<usize> =
            fixture.log.lock().received.iter().map(|received| received.connection).collect();
        assert_eq!(connections, [0, 1]);
        fixture
            .exchange(&request("other", Behavior::FixedLength), "other", Behavior::FixedLength, true)
            .await;
        assert_eq!(fixture.log.lock().connections.len(), 2, "both are still of use for others");
        fixture.assert_no_faults();
    });
}

#[test]
fn a_second_attempt_gets_a_new_connection_even_at_the_connection_limit() {
    run(async {
        let fixture = Fixture { connections: ConnectionLimit::new(1), ..Fixture::open() };
        let again = request("again", Behavior::NotExecuted);
        fixture.exchange(&again, "again", Behavior::NotExecuted, true).await;
        // The pooled connection is closed; the model at the instance follows.
        fixture.log.update(|log| log.connections[0].state = ConnectionState::Closing);
        fixture.exchange(&again, "again", Behavior::FixedLength, false).await;
        let connections: Vec<usize> =
            fixture.log.lock().received.iter().map(|received| received.connection).collect();
        assert_eq!(connections, [0, 1]);
        fixture.assert_no_faults();
    });
}

#[test]
fn a_connection_whose_answer_has_no_id_is_not_kept() {
    run(async {
        let fixture = Fixture::open();
        for _ in 0..2 {
            fixture.exchange(&request("", Behavior::NoId), "", Behavior::NoId, false).await;
        }
        let connections: Vec<usize> =
            fixture.log.lock().received.iter().map(|received| received.connection).collect();
        assert_eq!(connections, [0, 1]);
        fixture.assert_no_faults();
    });
}

#[test]
fn an_attempt_reported_as_not_run_was_not_received() {
    run(async {
        // Nothing listens at this address.
        let mut fixture = Fixture::open();
        let held = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("an address");
        let SocketAddr::V4(nobody) = held.local_addr().expect("its address") else { panic!("IPv4") };
        drop(held);
        let real = std::mem::replace(&mut fixture.address, nobody);
        let got = fixture.attempt(&request("refused", Behavior::FixedLength), SECOND).run().await;
        assert!(matches!(got, AttemptResult::Failed(AttemptOutcome::ConnectFailed)));
        // The deadline has passed before the attempt starts.
        fixture.address = real;
        let got = fixture.attempt(&request("over", Behavior::FixedLength), 0).run().await;
        assert!(matches!(got, AttemptResult::Failed(AttemptOutcome::NeverSent)));
        assert!(fixture.log.lock().received.is_empty());
        // Reset on accept: whether anything was written by then is a race, but the reported outcome must be true.
        let resets = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("an address");
        let SocketAddr::V4(address) = resets.local_addr().expect("its address") else { panic!("IPv4") };
        fixture.address = address;
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
        let mut possibly_run = 0;
        for number in 0..200 {
            let attempt = format!("reset-{number}");
            match fixture.attempt(&request(&attempt, Behavior::FixedLength), 60 * SECOND).run().await {
                AttemptResult::Failed(AttemptOutcome::Reset) => possibly_run += 1,
                AttemptResult::Failed(AttemptOutcome::ConnectFailed) => {
                    assert!(number % 2 == 0, "{number} was read")
                }
                AttemptResult::Failed(outcome) => panic!("{outcome:?}"),
                AttemptResult::Answer { .. } => panic!("nobody answered"),
            }
        }
        let read = accepts.join().expect("no panic");
        assert_eq!(read, 100, "every other one is read");
        assert!(possibly_run >= read, "{possibly_run} possibly run, {read} were read");
    });
}

#[test]
fn a_connection_has_one_owner_and_is_handed_out_only_when_proved_empty() {
    #[derive(Clone, Copy, Debug)]
    enum Step {
        Lend(SocketState),
        Wrote(usize),
        End(ExchangeEnd),
    }
    let steps = [
        Step::Lend(SocketState::Empty),
        Step::Lend(SocketState::Readable),
        Step::Lend(SocketState::Closed),
        Step::Wrote(0),
        Step::Wrote(9),
        Step::End(ExchangeEnd::Clean),
        Step::End(ExchangeEnd::Broken),
    ];
    let mut paths = vec![(ConnectionState::NEW, Vec::<Step>::new())];
    let mut handed_out = 0;
    for _ in 0..6 {
        let mut next = Vec::new();
        for (state, path) in &paths {
            for step in steps {
                let after = match step {
                    Step::Lend(look) => state.acquire(look),
                    Step::Wrote(bytes) => state.bytes_written(bytes),
                    Step::End(end) => state.finish(end),
                };
                let path: Vec<Step> = path.iter().copied().chain([step]).collect();
                match (state, step, after) {
                    (
                        ConnectionState::Idle,
                        Step::Lend(SocketState::Empty),
                        ConnectionState::InUse { written: 0 },
                    ) => handed_out += 1,
                    (
                        ConnectionState::InUse { written },
                        Step::Wrote(bytes),
                        ConnectionState::InUse { written: after },
                    ) => {
                        assert_eq!(after, written + bytes as u64);
                    }
                    (
                        ConnectionState::InUse { written: 1.. },
                        Step::End(ExchangeEnd::Clean),
                        ConnectionState::Idle,
                    ) => {}
                    (_, _, ConnectionState::Closing) => {}
                    _ => panic!("{path:?} turns {state:?} into {after:?}"),
                }
                assert!(
                    *state != ConnectionState::Closing || after == ConnectionState::Closing,
                    "{path:?} opens it again"
                );
                assert_eq!(after.is_unsent(), after == ConnectionState::InUse { written: 0 });
                if after != ConnectionState::Closing {
                    next.push((after, path));
                }
            }
        }
        paths = next;
    }
    assert!(handed_out > 0 && paths.iter().any(|(state, _)| *state == ConnectionState::Idle));
}
