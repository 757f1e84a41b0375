//! A change of the configuration holds for connections that are open, to clients and to instances: those that rest, those
//! that are in use, and those that send a request at that moment. Guards against a gateway that reads a setting once and
//! keeps it while the connection lives (`docs/incidents/limits-kept-by-open-connections.md`).

mod scripted;

use std::sync::Arc;
use std::time::{Duration, Instant};

use scripted::*;
use tokio::io::AsyncReadExt;
use tokio::sync::Semaphore;

/// `ConfigApplyS` of the test cluster: how long a gateway may still go by an older version.
const CONFIG_APPLY: Duration = Duration::from_millis(2_500);
/// A `MaxHeaderBytes` that ordinary requests of these tests stay under, and one for `LARGE_FIELD_BYTES` as well.
const SMALL_HEADER_LIMIT: &str = "\"MaxHeaderBytes\":4096";
const LARGE_HEADER_LIMIT: &str = "\"MaxHeaderBytes\":16384";
const LARGE_FIELD_BYTES: usize = 6_000;

fn small_head(attempt: &str) -> Vec<u8> {
    request_bytes("GET /view/1", attempt, 7_000, "", b"")
}

/// A head of over 6,000 bytes.
fn large_head(attempt: &str) -> Vec<u8> {
    let field = format!("X-Session: {}\r\n", "a".repeat(LARGE_FIELD_BYTES));
    request_bytes("GET /view/1", attempt, 7_000, &field, b"")
}

async fn status(line: &mut Connection, request: &[u8]) -> u16 {
    line.send(request).await;
    line.answer().await.map_or(0, |answer| answer.status())
}

/// `view` answers at once, `wait` once the gate has a permit, `long` with an answer of 12 MB, and `scan` takes uploads.
/// Requests that wait are of a kind that is never sent again, however long that takes.
fn services(gate: &Arc<Semaphore>) -> Vec<(&'static str, &'static str, usize, Script)> {
    let gate = gate.clone();
    vec![
        ("view", "safe", 1, script(correct)),
        (
            "wait",
            "unsafe",
            1,
            script(move |h| vec![Body, Gate(gate.clone()), Write(ok_response(h, b"late"))]),
        ),
        ("long", "safe", 1, script(|h| vec![Body, Write(ok_response(h, &pseudorandom_bytes(12 << 20)))])),
        ("scan", "upload", 1, script(correct)),
    ]
}

/// A cluster with these limits, in which no request is refused for being late, however busy the machine is.
async fn open_cluster(gate: &Arc<Semaphore>, limits: &[(&str, &str)]) -> Cluster {
    let patient = [("\"TargetLatencyS\":0.25", "\"TargetLatencyS\":8")];
    Cluster::open(services(gate), &[], &[&patient, limits].concat()).await
}

/// Connections of clients in every state that a change of the limits can meet.
struct OpenConnections {
    untouched: Connection,
    resting: Connection,
    /// Has sent a part of a small head.
    sending: Connection,
    /// Waits for an answer.
    waiting: Connection,
    /// Waits for an answer, and will send its next request without waiting for the end of it.
    pipelining: Connection,
    /// Is receiving an answer.
    receiving: Connection,
    received_head: String,
}

/// How much of a head has been sent on `OpenConnections::sending`.
const SENT_HEAD_BYTES: usize = 30;

impl OpenConnections {
    async fn open(cluster: &Cluster) -> OpenConnections {
        let mut open = OpenConnections {
            untouched: cluster.line().await,
            resting: cluster.line().await,
            sending: cluster.line().await,
            waiting: cluster.line().await,
            pipelining: cluster.line().await,
            receiving: cluster.line().await,
            received_head: String::new(),
        };
        for line in [&mut open.resting, &mut open.sending, &mut open.waiting, &mut open.pipelining] {
            assert_eq!(status(line, &small_head("before")).await, 200);
        }
        open.sending.send(&small_head("sending")[..SENT_HEAD_BYTES]).await;
        for (line, attempt) in [(&mut open.waiting, "waiting"), (&mut open.pipelining, "pipelining")] {
            line.send(&request_bytes("GET /wait/1", attempt, 7_000, "", b"")).await;
            cluster.heard(attempt, |heard| heard.attempt == attempt && heard.whole).await;
        }
        open.receiving.send(&request_bytes("GET /long/1", "receiving", 7_000, "", b"")).await;
        open.received_head = open.receiving.head().await.expect("the head of its answer");
        open
    }

    /// Finishes what was under way at the change: it is answered, whatever the new limits are. Returns the connections
    /// that are at rest now; on the one that pipelines, the next request has already been sent.
    async fn finish(mut self, gate: &Semaphore, pipelined: &[u8]) -> Vec<(&'static str, Connection)> {
        self.pipelining.send(pipelined).await;
        gate.add_permits(2);
        for line in [&mut self.waiting, &mut self.pipelining] {
            let answer = line.answer().await.expect("an answer");
            assert_eq!((answer.status(), answer.header("Connection")), (200, ""));
        }
        let (body, whole) = self.receiving.body(&self.received_head, true).await;
        assert!(whole && body.len() == 12 << 20, "{} bytes", body.len());
        self.sending.send(&small_head("sending")[SENT_HEAD_BYTES..]).await;
        assert_eq!(self.sending.answer().await.map(|answer| answer.status()), Some(200));
        vec![
            ("untouched", self.untouched),
            ("resting", self.resting),
            ("sending", self.sending),
            ("waiting", self.waiting),
            ("pipelining", self.pipelining),
            ("receiving", self.receiving),
        ]
    }
}

/// What each open connection gets for a large head after the change.
async fn large_heads_after(before: &str, after: &str) -> Vec<(&'static str, u16)> {
    let gate = Arc::new(Semaphore::new(0));
    let mut cluster = open_cluster(&gate, &[(LARGE_HEADER_LIMIT, before)]).await;
    let open = OpenConnections::open(&cluster).await;
    cluster.change(&[(before, after)]).await;
    let mut statuses = Vec::new();
    for (name, mut line) in open.finish(&gate, &large_head("pipelined")).await {
        let large = if name == "pipelining" { Vec::new() } else { large_head(name) };
        statuses.push((name, status(&mut line, &large).await));
    }
    statuses
}

const ALL: [&str; 6] = ["untouched", "resting", "sending", "waiting", "pipelining", "receiving"];

/// Review case 3: after `MaxHeaderBytes` was raised, connections that were open answered 431 to a head that fits.
#[test]
fn a_raised_header_limit_holds_on_open_connections() {
    run(async {
        let statuses = large_heads_after(SMALL_HEADER_LIMIT, LARGE_HEADER_LIMIT).await;
        assert_eq!(statuses, ALL.map(|name| (name, 200)));
    });
}

/// The same the other way round: connections that were open went on taking heads that are over the lowered limit.
#[test]
fn a_lowered_header_limit_holds_on_open_connections() {
    run(async {
        let statuses = large_heads_after(LARGE_HEADER_LIMIT, SMALL_HEADER_LIMIT).await;
        assert_eq!(statuses, ALL.map(|name| (name, 431)));
    });
}

/// A head of which more has arrived than the lowered limit allows is refused, and not held until its time is over.
#[test]
fn a_head_that_is_being_sent_is_refused_once_it_is_over_the_lowered_limit() {
    run(async {
        let gate = Arc::new(Semaphore::new(0));
        let limits = [("\"HeaderTimeoutS\":3", "\"HeaderTimeoutS\":60")];
        let mut cluster = open_cluster(&gate, &limits).await;
        let mut line = cluster.line().await;
        assert_eq!(status(&mut line, &small_head("before")).await, 200);
        line.send(&large_head("sending")[..5_000]).await;
        cluster.change(&[(LARGE_HEADER_LIMIT, SMALL_HEADER_LIMIT)]).await;
        assert_eq!(line.answer().await.map(|answer| answer.status()), Some(431));
        assert!(cluster.record.attempt("sending").is_empty());
    });
}

/// A client that leaves while its request is served is noticed although `MaxHeaderBytes` has changed meanwhile. Guards
/// against a gateway that reads nothing from such a connection: the instance went on working until the route's time-out.
#[test]
fn a_client_that_leaves_after_the_header_limit_has_changed_is_noticed() {
    const ROUTE_TIMEOUT: Duration = Duration::from_secs(8);
    run(async {
        let hang = vec![(
            "hang",
            "safe",
            1,
            script(|h| if h.attempt == "left" { vec![Body, Hang] } else { correct(h) }),
        )];
        let mut cluster = Cluster::open(hang, &[], &[(LARGE_HEADER_LIMIT, SMALL_HEADER_LIMIT)]).await;
        let mut client = cluster.line().await;
        client.send(&request_bytes("GET /hang/1", "left", 7_900, "", b"")).await;
        cluster.heard("left", |heard| heard.attempt == "left").await;
        cluster.change(&[(SMALL_HEADER_LIMIT, LARGE_HEADER_LIMIT)]).await;
        drop(client);
        let left = Instant::now();
        cluster.heard("its end", |heard| heard.attempt == "left" && heard.broke).await;
        assert!(left.elapsed() < ROUTE_TIMEOUT / 2, "{:?}", left.elapsed());
    });
}

/// Time-outs so long that no check falls into the test, unless the change itself causes one.
const LONG_TIMEOUTS: [(&str, &str); 2] =
    [("\"HeaderTimeoutS\":3", "\"HeaderTimeoutS\":60"), ("\"IdleTimeoutS\":15", "\"IdleTimeoutS\":90")];

/// Waits for the end of a connection, and returns how long it took and whether it ended in order.
async fn end_of(line: &mut Connection, since: Instant) -> (Duration, bool) {
    let end = tokio::time::timeout(LONG, line.stream.read_u8()).await.expect("it ends");
    (since.elapsed(), end.is_err_and(|error| error.kind() == std::io::ErrorKind::UnexpectedEof))
}

/// Lowered time-outs end connections that were accepted under longer ones: resting ones in order, and those that have
/// sent a part of a head, or that take nothing of their answer, at once.
#[test]
fn lowered_time_outs_hold_on_open_connections() {
    run(async {
        let gate = Arc::new(Semaphore::new(0));
        let mut cluster = open_cluster(&gate, &LONG_TIMEOUTS).await;
        let (mut untouched, mut resting, mut sending) =
            (cluster.line().await, cluster.line().await, cluster.line().await);
        let (mut waiting, mut blocked) = (cluster.line().await, cluster.line().await);
        for (line, told) in [(&mut resting, "timeout=89"), (&mut sending, "timeout=89")] {
            line.send(&small_head("before")).await;
            let answer = line.answer().await.expect("an answer");
            assert_eq!((answer.status(), answer.header("Keep-Alive")), (200, told));
        }
        sending.send(&small_head("sending")[..SENT_HEAD_BYTES]).await;
        waiting.send(&request_bytes("GET /wait/1", "waiting", 7_000, "", b"")).await;
        cluster.heard("waiting", |heard| heard.attempt == "waiting" && heard.whole).await;
        blocked.send(&request_bytes("GET /long/1", "blocked", 7_000, "", b"")).await;
        assert!(blocked.head().await.is_some_and(|head| head.starts_with("HTTP/1.1 200")));
        let lowered = [
            ("\"HeaderTimeoutS\":60", "\"HeaderTimeoutS\":1"),
            ("\"IdleTimeoutS\":90", "\"IdleTimeoutS\":1"),
        ];
        cluster.change(&lowered).await;
        let changed = Instant::now();
        for (name, line) in
            [("untouched", &mut untouched), ("resting", &mut resting), ("sending", &mut sending)]
        {
            let (took, in_order) = end_of(line, changed).await;
            assert!(took < CONFIG_APPLY, "{name} ended after {took:?}");
            assert!(in_order || name == "sending", "{name}");
        }
        // A request under way is not ended by a limit for connections that rest.
        tokio::time::sleep_until((changed + CONFIG_APPLY).into()).await;
        gate.add_permits(1);
        let answer = waiting.answer().await.expect("an answer");
        assert_eq!((answer.status(), answer.header("Keep-Alive")), (200, ""), "too short a time to announce");
        assert!(end_of(&mut waiting, Instant::now()).await.0 < CONFIG_APPLY);
        let head = "HTTP/1.1 200 OK\r\nContent-Length: 12582912\r\n\r\n";
        let (body, whole) = blocked.body(head, true).await;
        assert!(!whole, "{} bytes", body.len());
    });
}

/// Raised time-outs hold for connections that were accepted under shorter ones.
#[test]
fn raised_time_outs_hold_on_open_connections() {
    run(async {
        let gate = Arc::new(Semaphore::new(0));
        let short = [
            ("\"HeaderTimeoutS\":3", "\"HeaderTimeoutS\":3.5"),
            ("\"IdleTimeoutS\":15", "\"IdleTimeoutS\":3.5"),
        ];
        let mut cluster = open_cluster(&gate, &short).await;
        let opened = Instant::now();
        let (mut untouched, mut resting, mut sending) =
            (cluster.line().await, cluster.line().await, cluster.line().await);
        for line in [&mut resting, &mut sending] {
            line.send(&small_head("before")).await;
            assert_eq!(line.answer().await.expect("an answer").header("Keep-Alive"), "timeout=2");
        }
        sending.send(&small_head("sending")[..SENT_HEAD_BYTES]).await;
        let raised = [
            ("\"HeaderTimeoutS\":3.5", "\"HeaderTimeoutS\":60"),
            ("\"IdleTimeoutS\":3.5", "\"IdleTimeoutS\":90"),
        ];
        cluster.change(&raised).await;
        let changed = opened.elapsed();
        assert!(changed < Duration::from_secs(3), "the change took {changed:?}, too long for this test");
        // Past the older time-outs.
        tokio::time::sleep_until((opened + Duration::from_millis(4_500)).into()).await;
        sending.send(&small_head("sending")[SENT_HEAD_BYTES..]).await;
        for (name, line) in [("untouched", &mut untouched), ("resting", &mut resting)] {
            line.send(&small_head(name)).await;
        }
        for (name, line) in
            [("untouched", &mut untouched), ("resting", &mut resting), ("sending", &mut sending)]
        {
            let answer = line.answer().await.unwrap_or_default();
            assert_eq!((answer.status(), answer.header("Keep-Alive")), (200, "timeout=89"), "{name}");
        }
    });
}

/// A body that is still being sent when `MaxBodyBytes` is raised may grow to the new limit, whether it is buffered or
/// passed on; one that fitted when it began is taken after the limit was lowered. The next one goes by the new limit.
#[test]
fn a_changed_body_limit_holds_on_open_connections() {
    const LARGE_BODY: &str = "\"MaxBodyBytes\":8388608";
    const SMALL_BODY: &str = "\"MaxBodyBytes\":600000";
    run(async {
        let gate = Arc::new(Semaphore::new(0));
        let mut cluster = open_cluster(&gate, &[(LARGE_BODY, SMALL_BODY)]).await;
        let body = pseudorandom_bytes(900_000);
        let mut chunked =
            request_bytes("POST /scan/1", "raised", 7_000, "Transfer-Encoding: chunked\r\n", b"");
        let head_bytes = chunked.len();
        for piece in body.chunks(100_000) {
            chunked.extend_from_slice(format!("{:x}\r\n", piece.len()).as_bytes());
            chunked.extend_from_slice(piece);
            chunked.extend_from_slice(b"\r\n");
        }
        chunked.extend_from_slice(b"0\r\n\r\n");
        let mut lines = [(cluster.line().await, 300_000), (cluster.line().await, 590_000)];
        for (line, sent) in &mut lines {
            line.send(&chunked[..head_bytes + *sent]).await;
        }
        cluster.heard("the upload that is passed on", |heard| heard.attempt == "raised").await;
        cluster.change(&[(SMALL_BODY, LARGE_BODY)]).await;
        for (line, sent) in &mut lines {
            line.send(&chunked[head_bytes + *sent..]).await;
            assert_eq!(
                line.answer().await.map(|answer| answer.status()),
                Some(200),
                "{sent} bytes sent before"
            );
        }
        let lowered = post_bytes("scan", "lowered", 7_000, &body);
        for (line, sent) in &mut lines {
            line.send(&lowered[..*sent]).await;
        }
        cluster.heard("the upload that is passed on", |heard| heard.attempt == "lowered").await;
        cluster.change(&[(LARGE_BODY, SMALL_BODY)]).await;
        for (line, sent) in &mut lines {
            line.send(&lowered[*sent..]).await;
            assert_eq!(
                line.answer().await.map(|answer| answer.status()),
                Some(200),
                "{sent} bytes sent before"
            );
            assert_eq!(status(line, &post_bytes("scan", "next", 7_000, &body)).await, 413);
        }
    });
}

/// A request whose body is still being read when its route changes is passed on as the newest version has it: to the new
/// service, or to none. Guards against a route that is looked up when the head is read and used once the body is.
#[test]
fn a_request_whose_body_is_being_read_is_passed_on_by_the_newest_route() {
    run(async {
        let gate = Arc::new(Semaphore::new(0));
        let mut cluster = open_cluster(&gate, &[]).await;
        let (mut moved, mut dropped) = (cluster.line().await, cluster.line().await);
        let request = |attempt| post_bytes("scan", attempt, 7_000, &pseudorandom_bytes(90_000));
        moved.send(&request("moved")[..50_000]).await;
        dropped.send(&request("dropped")[..50_000]).await;
        cluster.change(&[("\"TargetService\":\"scan\"", "\"TargetService\":\"view\"")]).await;
        moved.send(&request("moved")[50_000..]).await;
        assert_eq!(moved.answer().await.map(|answer| answer.status()), Some(200));
        let received = cluster.record.attempt("moved");
        assert!(received.len() == 1 && received[0].service == "view" && received[0].whole);
        cluster.change(&[("\"PathPrefix\":\"/scan/\"", "\"PathPrefix\":\"/gone/\"")]).await;
        dropped.send(&request("dropped")[50_000..]).await;
        assert_eq!(dropped.answer().await.map(|answer| answer.status()), Some(404));
        assert!(cluster.record.attempt("dropped").is_empty());
    });
}

/// Starts requests that wait at instances, each on a connection of its own.
async fn start_waiting(cluster: &Cluster, attempts: &[&str]) -> Vec<Connection> {
    let mut lines = Vec::new();
    for attempt in attempts {
        let mut line = cluster.line().await;
        line.send(&request_bytes("GET /wait/1", attempt, 7_000, "", b"")).await;
        cluster.heard(attempt, |heard| heard.attempt == *attempt).await;
        lines.push(line);
    }
    lines
}

async fn answered(lines: &mut [Connection], gate: &Semaphore) {
    gate.add_permits(lines.len());
    for line in lines {
        assert_eq!(line.answer().await.map(|answer| answer.status()), Some(200));
    }
}

/// The gateway's connections to an instance, at rest or in use, go by the newest `MaxConnections`. Guards against a pool
/// that compares its connections with the limit only when it opens one: those it had stayed open over the limit.
#[test]
fn a_lowered_connection_limit_holds_for_connections_to_instances_that_are_open() {
    const MANY: &str = "\"MaxConnections\":100";
    const FEW: &str = "\"MaxConnections\":1,";
    run(async {
        let gate = Arc::new(Semaphore::new(0));
        let mut cluster = open_cluster(&gate, &[]).await;
        for in_use in [false, true] {
            let mut lines = start_waiting(&cluster, &["a", "b", "c", "d"]).await;
            assert_eq!(cluster.record.open_connections("wait"), 4);
            if !in_use {
                answered(&mut lines, &gate).await;
            }
            cluster.change(&[(&format!("{MANY},"), FEW)]).await;
            let changed = Instant::now();
            if in_use {
                answered(&mut lines, &gate).await;
            }
            while cluster.record.open_connections("wait") > 1 {
                assert!(changed.elapsed() < CONFIG_APPLY, "in use: {in_use}");
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            cluster.change(&[(FEW, &format!("{MANY},"))]).await;
            cluster.record.with(Vec::clear);
        }
    });
}

/// The same the other way round: a request that the older limit leaves no connection for is served by the newer one.
#[test]
fn a_raised_connection_limit_holds_for_the_next_request() {
    run(async {
        let gate = Arc::new(Semaphore::new(0));
        let limits = [("\"MaxConnections\":100", "\"MaxConnections\":1")];
        let mut cluster = open_cluster(&gate, &limits).await;
        let mut first = start_waiting(&cluster, &["first"]).await;
        let second = request_bytes("GET /wait/1", "second", 7_000, "", b"");
        assert_eq!(cluster.once(&second).await.map(|answer| answer.status()), Some(503));
        cluster.change(&[("\"MaxConnections\":1", "\"MaxConnections\":100")]).await;
        first.extend(start_waiting(&cluster, &["third"]).await);
        answered(&mut first, &gate).await;
    });
}
