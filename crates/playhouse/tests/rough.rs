//! Faulty behaviour of instances and clients towards a gateway, produced over loopback with hand-written bytes. Checked by
//! what the instances received and the clients got, as `docs/data-plane.md` lists it. Each case has a service of its own,
//! so that no case affects the result of another.

mod scripted;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::Method;
use playhouse::demo::client::{HttpRequest, call};
use scripted::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Semaphore;

/// What a client gets: a complete response with this status, or one that is recognizably cut off.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Got {
    Status(u16),
    Cut,
}
use Got::{Cut, Status};

type Steps = fn(&ReceivedRequest) -> Vec<Step>;
/// A case for a request that must run at most once: its name, the instance's script, what the client gets, and how often
/// the request may arrive at an instance.
type Case = (&'static str, Steps, Got, usize);

fn cases() -> Vec<Case> {
    vec![
        ("whole", |h| vec![Body, Write(ok_response(h, b"whole"))], Status(200), 1),
        ("empty", |h| read_body_and_send(h, "204 No Content", "", b""), Status(204), 1),
        ("five-mb", |h| vec![Body, Write(ok_response(h, &pseudorandom_bytes(5_000_000)))], Status(200), 1),
        ("cut-length", |h| cut(ok_response(h, b"half"), 2, Close), Status(502), 1),
        ("cut-chunks", |h| cut(chunked_response(h, "", &[b"half"], "5\r\nga"), 0, Close), Status(502), 1),
        ("cut-large", |h| cut(ok_response(h, &pseudorandom_bytes(800_000)), 200_000, Close), Cut, 1),
        (
            "cut-large-chunks",
            |h| cut(chunked_response(h, "", &[&pseudorandom_bytes(600_000)], "5\r\nga"), 0, Close),
            Cut,
            1,
        ),
        ("stops", |h| cut(ok_response(h, b"half"), 12, Hang), Status(502), 1),
        ("stops-large", |h| cut(ok_response(h, &pseudorandom_bytes(800_000)), 200_000, Hang), Cut, 1),
        (
            "stops-large-chunks",
            |h| cut(chunked_response(h, "", &[&pseudorandom_bytes(600_000)], "5\r\nga"), 0, Hang),
            Cut,
            1,
        ),
        ("silent", |_| vec![Body, Hang], Status(502), 1),
        ("mute", |_| vec![Hang], Status(502), 1),
        ("silent-closes", |_| vec![Body, Close], Status(502), 1),
        ("silent-resets", |_| vec![Body, Reset], Status(502), 1),
        ("no-answer", |_| vec![Body, Write(b"SSH-2.0-hello\r\n\r\n".to_vec()), Hang], Status(502), 1),
        ("other-id", |h| vec![Body, Write(ok_response(&other(h, "other"), b"x"))], Status(502), 1),
        ("no-id", |h| vec![Body, Write(ok_response(&other(h, ""), b"x"))], Status(502), 1),
        (
            "no-seal",
            |h| vec![Body, Write(response(h, "200 OK", "Content-Length: 1\r\n", b"x"))],
            Status(502),
            1,
        ),
        (
            "coded",
            |h| read_body_and_send(h, "200 OK", "Content-Encoding: gzip\r\nContent-Length: 1\r\n", b"x"),
            Status(502),
            1,
        ),
        (
            "contradicts",
            |h| read_body_and_send(h, "200 OK", "Not-Executed: 1\r\nContent-Length: 1\r\n", b"x"),
            Status(502),
            1,
        ),
        (
            "informs",
            |h| {
                let hints = b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n".to_vec();
                vec![
                    Write(b"HTTP/1.1 100 Continue\r\n\r\n".to_vec()),
                    Body,
                    Write(hints),
                    Write(ok_response(h, b"last")),
                ]
            },
            Status(200),
            1,
        ),
        (
            "switches",
            |h| read_body_and_send(h, "101 Switch", "Upgrade: x\r\nConnection: upgrade\r\n", b""),
            Status(502),
            1,
        ),
        ("old", |h| vec![Body, Write(old(ok_response(h, b"old"))), Close], Status(200), 1),
        (
            "old-endless",
            |h| vec![Body, Write(old(response(h, "200 OK", "Server-Seal: s\r\n", b"until the end"))), Close],
            Status(502),
            1,
        ),
        (
            "endless-failure",
            |h| vec![Body, Write(response(h, "500 Oh", "Server-Seal: s\r\n", b"x")), Close],
            Status(502),
            1,
        ),
        (
            "length-and-chunks",
            |h| {
                vec![
                    Body,
                    Write(chunked_response(h, "Content-Length: 3\r\n", &[b"all ", b"of it"], "0\r\n\r\n")),
                ]
            },
            Status(200),
            1,
        ),
        (
            "coded-chunks",
            |h| vec![Body, Write(chunked_response(h, "Transfer-Encoding: gzip\r\n", &[b"x"], "0\r\n\r\n"))],
            Status(502),
            1,
        ),
        (
            "two-lengths",
            |h| read_body_and_send(h, "200 OK", "Content-Length: 1\r\nContent-Length: 2\r\n", b"xy"),
            Status(502),
            1,
        ),
        (
            "trailers",
            |h| {
                vec![
                    Body,
                    Write(chunked_response(
                        h,
                        "Trailer: X-Late\r\n",
                        &[b"with trailers"],
                        "0\r\nX-Late: 1\r\n\r\n",
                    )),
                ]
            },
            Status(200),
            1,
        ),
        (
            "names-its-seal",
            |h| {
                read_body_and_send(
                    h,
                    "200 OK",
                    "Connection: close, server-seal\r\nContent-Length: 1\r\n",
                    b"x",
                )
            },
            Status(200),
            1,
        ),
        ("large-head", |h| padded(h, 1, 30_000), Status(200), 1),
        ("huge-head", |h| padded(h, 1, 100_000), Status(502), 1),
        ("many-headers", |h| padded(h, 90, 1), Status(200), 1),
        ("fails", |h| read_body_and_send(h, "500 Oh", "Content-Length: 1\r\n", b"x"), Status(500), 1),
        (
            "busy-unproven",
            |h| read_body_and_send(h, "503 Busy", "Content-Length: 0\r\n", b""),
            Status(502),
            1,
        ),
        (
            "many-unproven",
            |h| read_body_and_send(h, "429 Many", "Content-Length: 0\r\n", b""),
            Status(502),
            1,
        ),
        (
            "slow-unproven",
            |h| read_body_and_send(h, "408 Slow", "Content-Length: 0\r\n", b""),
            Status(502),
            1,
        ),
        (
            "busy",
            |h| read_body_and_send(h, "503 Busy", "Not-Executed: 1\r\nContent-Length: 0\r\n", b""),
            Status(503),
            2,
        ),
        (
            "many",
            |h| read_body_and_send(h, "429 Many", "Not-Executed: 1\r\nContent-Length: 0\r\n", b""),
            Status(503),
            2,
        ),
        ("not-me", |h| read_body_and_send(h, "421 Not me", "Content-Length: 0\r\n", b""), Status(503), 2),
        (
            "wrong",
            |h| read_body_and_send(h, "400 Wrong", "Not-Executed: 1\r\nContent-Length: 0\r\n", b""),
            Status(400),
            1,
        ),
        ("early", |h| vec![Write(ok_response(h, b"early")), Hang], Status(200), 1),
        (
            "early-busy",
            |h| {
                let more = "Not-Executed: 1\r\nConnection: close\r\nContent-Length: 0\r\n";
                vec![Write(response(h, "503 Busy", more, b"")), Body, Close]
            },
            Status(503),
            2,
        ),
    ]
}

fn cut(answer: Vec<u8>, less: usize, then: Step) -> Vec<Step> {
    vec![Body, Write(answer[..answer.len() - less].to_vec()), then]
}

fn read_body_and_send(heard: &ReceivedRequest, status: &str, more: &str, body: &[u8]) -> Vec<Step> {
    vec![Body, Write(response(heard, status, &format!("Server-Seal: s\r\n{more}"), body))]
}

fn other(heard: &ReceivedRequest, attempt: &str) -> ReceivedRequest {
    ReceivedRequest { attempt: attempt.to_owned(), ..heard.clone() }
}

/// The same response in HTTP/1.0.
fn old(mut answer: Vec<u8>) -> Vec<u8> {
    answer[7] = b'0';
    answer
}

fn padded(heard: &ReceivedRequest, headers: usize, bytes: usize) -> Vec<Step> {
    let more = format!("X-Pad: {}\r\n", "p".repeat(bytes)).repeat(headers);
    read_body_and_send(heard, "200 OK", &format!("Content-Length: 1\r\n{more}"), b"x")
}

/// Instances that send more bytes after a response, or close the connection there.
fn afterwards() -> Vec<(&'static str, &'static str, usize, Script)> {
    let extra = |h: &ReceivedRequest| {
        vec![Body, Write([ok_response(h, b"own"), ok_response(&other(h, "stale"), b"stale")].concat())]
    };
    let half = |h: &ReceivedRequest| {
        vec![Body, Write([ok_response(h, b"own"), b"HTTP/1.1 200 O".to_vec()].concat())]
    };
    let late = |h: &ReceivedRequest| match &*h.attempt {
        "late-1" => {
            let stale = ok_response(&other(h, "late-0"), b"stale");
            vec![Body, Write([stale, ok_response(h, b"own")].concat())]
        }
        _ => vec![Body, Write(ok_response(h, b"own"))],
    };
    let closes = |h: &ReceivedRequest| {
        let length = "Server-Seal: s\r\nConnection: close\r\nContent-Length: 3\r\n";
        vec![Body, Write(response(h, "200 OK", length, b"own"))]
    };
    let leaves = |h: &ReceivedRequest| vec![Body, Write(ok_response(h, b"own")), Close];
    let resets = |h: &ReceivedRequest| vec![Body, Write(ok_response(h, b"own")), Reset];
    let stays = |h: &ReceivedRequest| vec![Body, Write(ok_response(h, b"own"))];
    vec![
        ("extra", "unsafe", 1, script(extra)),
        ("half", "unsafe", 1, script(half)),
        ("late", "unsafe", 1, script(late)),
        ("closes", "unsafe", 1, script(closes)),
        ("leaves", "unsafe", 1, script(leaves)),
        ("resets", "unsafe", 1, script(resets)),
        ("stays", "unsafe", 1, script(stays)),
    ]
}

/// Bytes that follow a response must not become the response of another request.
async fn check_each_request_gets_its_own_response(cluster: &Cluster) {
    for (name, ..) in afterwards() {
        let mut lines = Vec::new();
        for number in 0..6 {
            let attempt = format!("{name}-{number}");
            let answer = cluster.once(&post_bytes(name, &attempt, 2_000, b"body")).await.expect("an answer");
            let heard = cluster.record.attempt(&attempt);
            assert!(heard.len() <= 1, "{attempt} arrived {} times", heard.len());
            match (name, answer.status()) {
                (_, 200) => {
                    assert_eq!((answer.header("Attempt-Id"), &answer.body[..]), (&*attempt, &b"own"[..]));
                    assert_eq!(heard.len(), 1);
                }
                // It may have been sent on the connection that ended or held another's response.
                ("late" | "leaves" | "resets", 502) => assert!(number > 0),
                (_, status) => panic!("{attempt}: {status}"),
            }
            lines.extend(heard.iter().map(|heard| heard.port));
        }
        let first = lines[0];
        match name {
            "stays" => assert!(lines.iter().all(|line| *line == first), "one connection serves all"),
            "late" => assert_eq!((lines[1] == first, lines[2] == first), (true, false), "{lines:?}"),
            _ => assert!(lines.windows(2).all(|two| two[0] != two[1]), "{name}: {lines:?}"),
        }
    }
}

#[test]
fn whatever_an_instance_answers_a_client_gets_its_own_complete_response_or_none() {
    let cases = cases();
    // Responses to a request that may be retried: the first is faulty, the second complete.
    let again: [(&str, Steps); 4] = [
        ("again-cut", |h| vec![Write(ok_response(h, b"half")[..70].to_vec()), Close]),
        ("again-resets", |_| vec![Reset]),
        ("again-other", |h| vec![Write(ok_response(&other(h, "other"), b"x"))]),
        ("again-fails", |h| vec![Write(response(h, "500 Oh", "Content-Length: 0\r\n", b""))]),
    ];
    run(async {
        let mut scripted_services: Vec<(&str, &str, usize, Script)> =
            cases.iter().map(|(name, steps, ..)| (*name, "unsafe", 2, script(*steps))).collect();
        for (name, steps) in again {
            let play =
                script(move |h| if h.repeat == 0 { steps(h) } else { vec![Write(ok_response(h, b"again"))] });
            scripted_services.push((name, "safe", 2, play));
        }
        scripted_services.extend(afterwards());
        let cluster =
            Cluster::open(scripted_services, &[("RetryWindowS = 10", "RetryWindowS = 0.1")], &[]).await;
        let front = cluster.front();
        let mut asking = tokio::task::JoinSet::new();
        for (name, _, want, arrivals) in cases {
            asking.spawn(async move {
                // Larger than the socket buffers, so that the response arrives before the body is sent.
                let body = pseudorandom_bytes(if name.starts_with("early") || name == "mute" {
                    500_000
                } else {
                    2_000
                });
                let began = Instant::now();
                let got = once(front, &post_bytes(name, name, 1_500, &body)).await;
                (name, got, want, arrivals, began.elapsed())
            });
        }
        let whole_bodies = HashMap::from([
            ("whole", b"whole".to_vec()),
            ("five-mb", pseudorandom_bytes(5_000_000)),
            ("length-and-chunks", b"all of it".to_vec()),
            ("trailers", b"with trailers".to_vec()),
            ("informs", b"last".to_vec()),
        ]);
        let mut faults = Vec::new();
        while let Some(asked) = asking.join_next().await {
            let (name, got, want, arrivals, took) = asked.expect("no panic");
            let seen = match &got {
                Some(answer) if answer.whole => Status(answer.status()),
                _ => Cut,
            };
            let came = cluster.record.attempt(name).len();
            if seen != want || came == 0 || came > arrivals || took > Duration::from_secs(3) {
                faults
                    .push(format!("{name}: {seen:?}, not {want:?}; arrived {came} of {arrivals}; {took:?}"));
            }
            let Some(answer) = got.filter(|answer| answer.whole && answer.status() == 200) else { continue };
            if answer.header("Server-Seal") != "s" || answer.header("Attempt-Id") != name {
                faults.push(format!("{name}: {}", answer.head));
            }
            if whole_bodies.get(name).is_some_and(|body| *body != answer.body) {
                faults.push(format!("{name}: {} bytes of another body", answer.body.len()));
            }
        }
        assert!(faults.is_empty(), "{}", faults.join("\n"));
        // A request that may be retried is retried as soon as the shared budget allows it to a new gateway.
        for (name, _) in again {
            let began = Instant::now();
            for number in 0.. {
                let attempt = format!("{name}-{number}");
                let answer =
                    cluster.once(&request_bytes(&format!("GET /{name}/1"), &attempt, 1_500, "", b"")).await;
                let answer = answer.expect("an answer");
                match (cluster.record.attempt(&attempt).len(), answer.status()) {
                    (2, 200) if answer.body == b"again" => break,
                    (0 | 1, 500 | 502 | 503) => {
                        assert!(began.elapsed() < LONG, "{name} is never retried")
                    }
                    (came, status) => panic!("{attempt}: {status}, arrived {came}"),
                }
            }
        }
        check_each_request_gets_its_own_response(&cluster).await;
        // Attempts that broke off, stopped or hung hold no connection to an instance any more.
        for name in ["stops", "stops-large", "stops-large-chunks", "silent", "mute", "early"] {
            cluster.heard(name, |heard| heard.service == name && heard.broke).await;
        }
    });
}

/// The script of a correct instance; like real ones, it refuses a request without an attempt id.

#[test]
fn a_request_arrives_unchanged_or_is_refused_before_it_reaches_an_instance() {
    let scripted_services: Vec<(&str, &str, usize, Script)> = vec![
        ("view", "safe", 1, script(correct)),
        ("book", "unsafe", 1, script(correct)),
        ("scan", "upload", 1, script(correct)),
        ("long", "safe", 1, script(|h| vec![Body, Write(ok_response(h, &pseudorandom_bytes(12 << 20)))])),
        ("never", "safe", 1, script(|h| vec![Body, Write(ok_response(h, &pseudorandom_bytes(40 << 20)))])),
    ];
    let limits = [
        ("\"MaxBodyBytes\":8388608", "\"MaxBodyBytes\":1000000"),
        ("\"HeaderTimeoutS\":3", "\"HeaderTimeoutS\":0.5"),
        ("\"IdleTimeoutS\":15", "\"IdleTimeoutS\":1.5"),
    ];
    run(async {
        let cluster = Cluster::open(scripted_services, &[("FdLimit = 1024", "FdLimit = 200")], &limits).await;
        // Request targets and hosts, and the path that the instance must receive.
        let long = "a".repeat(4_000);
        for (line, host, path) in [
            ("GET /view/7?page=2&q=a%20b%2F", HOST, "/view/7?page=2&q=a%20b%2F"),
            ("GET /view/?", "ROUGH.Example:8641", "/view/?"),
            ("GET /view//x/../y;z=1?a=/&a==", HOST, "/view//x/../y;z=1?a=/&a=="),
            ("GET http://Rough.EXAMPLE:80/view/7?x", "other.example", "/view/7?x"),
            ("OPTIONS /view/7", HOST, "/view/7"),
            ("HEAD /view/7", HOST, "/view/7"),
            ("DELETE /view/7", HOST, "/view/7"),
            (&format!("GET /view/{long}"), HOST, &*format!("/view/{long}")),
        ] {
            let attempt = &line[..line.len().min(60)];
            let request = String::from_utf8(request_bytes(line, attempt, 2_000, "", b"")).expect("text");
            let mut lines = cluster.line().await;
            lines.send(request.replace(&format!("Host: {HOST}"), &format!("Host: {host}")).as_bytes()).await;
            let head = lines.head().await.expect("an answer");
            assert!(head.starts_with("HTTP/1.1 200"), "{line}: {head}");
            let heard = cluster.record.attempt(attempt);
            assert_eq!(heard.len(), 1, "{line}");
            let method = line.split(' ').next().expect("a method");
            assert_eq!(heard[0].head.lines().next(), Some(&*format!("{method} {path} HTTP/1.1")));
            let host = if line.contains("EXAMPLE") { "Rough.EXAMPLE:80" } else { host };
            assert_eq!(header(&heard[0].head, "Host"), host);
        }
        // Complete bodies; large ones are forwarded while they arrive.
        for (number, (method, path, bytes, pieces)) in [
            ("POST", "book", 0, 0),
            ("POST", "book", 2_000, 0),
            ("DELETE", "book", 2_000, 100),
            ("GET", "view", 700_000, 30_000),
            ("PUT", "scan", 1_000_000, 0),
            ("PUT", "scan", 1_000_000, 9_999),
        ]
        .into_iter()
        .enumerate()
        {
            let (attempt, body) = (format!("body-{number}"), pseudorandom_bytes(bytes));
            let mut line = cluster.line().await;
            let (more, sent) = match pieces {
                0 => (format!("Content-Length: {bytes}\r\nExpect: 100-continue\r\n"), body.clone()),
                _ => {
                    let mut sent = Vec::new();
                    for piece in body.chunks(pieces) {
                        sent.extend_from_slice(format!("{:X};x=1\r\n", piece.len()).as_bytes());
                        sent.extend_from_slice(&[piece, b"\r\n"].concat());
                    }
                    sent.extend_from_slice(b"0\r\nX-Trailer: 1\r\n\r\n");
                    ("Transfer-Encoding: chunked\r\n".to_owned(), sent)
                }
            };
            line.send(&request_bytes(&format!("{method} /{path}/1"), &attempt, 4_000, &more, b"")).await;
            if pieces == 0 && bytes > 0 {
                assert_eq!(line.answer().await.expect("a go-ahead").status(), 100);
            }
            line.send(&sent).await;
            let answer = line.answer().await.expect("an answer");
            let heard = cluster.record.attempt(&attempt);
            assert_eq!((answer.status(), heard.len()), (200, 1), "{attempt}");
            assert!(heard[0].whole && heard[0].body == body, "{attempt}: {} bytes", heard[0].body.len());
            assert_eq!(header(&heard[0].head, "Expect"), "");
        }
        // Ambiguous or oversized requests are refused; the client still reads the refusal behind all that it sent.
        let over = pseudorandom_bytes(3_000_000);
        let chunk = [format!("{:x}\r\n", over.len()).as_bytes(), &over, b"\r\n0\r\n\r\n"].concat();
        let chunk = &chunk[..];
        let inner = request_bytes("POST /book/2", "smuggled", 2_000, "Content-Length: 0\r\n", b"");
        let chunked_inner = [b"0\r\n\r\n".as_slice(), &inner].concat();
        let head = |bytes: usize| format!("X-Pad: {}\r\n", "p".repeat(bytes));
        let own = request_bytes("GET /view/1", "own", 2_000, "X-Pad: \r\n", b"").len();
        let cases: Vec<(&str, &str, String, &[u8], u16)> = vec![
            ("lengths", "POST /book/1", "Content-Length: 0\r\nContent-Length: 9\r\n".into(), &inner, 400),
            ("plus", "POST /book/1", "Content-Length: +4\r\n".into(), &inner, 400),
            ("coded", "POST /book/1", "Transfer-Encoding: gzip, chunked\r\n".into(), &chunked_inner, 400),
            (
                "twice",
                "POST /book/1",
                "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n".into(),
                &chunked_inner,
                400,
            ),
            ("odd", "POST /book/1", "Transfer-Encoding: xchunked\r\n".into(), &inner, 400),
            ("hosts", "GET /view/1", "Host: other.example\r\n".into(), b"", 400),
            ("connect", "CONNECT rough.example:80", String::new(), b"", 400),
            ("nowhere", "POST /nowhere/1", format!("Content-Length: {}\r\n", over.len()), &over, 404),
            ("over", "PUT /scan/1", format!("Content-Length: {}\r\n", over.len()), &over, 413),
            ("over-chunked", "PUT /scan/1", "Transfer-Encoding: chunked\r\n".into(), chunk, 413),
            ("head-over", "GET /view/1", head(16_384 - own + 1), b"", 431),
            ("head-far-over", "GET /view/1", head(200_000), b"", 431),
        ];
        for (attempt, line, more, body, status) in &cases {
            let mut to = cluster.line().await;
            let request = request_bytes(line, attempt, 2_000, more, body);
            // The refusal may arrive while the request is still being written.
            let (mut read, mut write) = to.stream.split();
            let mut got = Vec::new();
            let (_, _) = tokio::join!(write.write_all(&request), read.read_to_end(&mut got));
            let got = String::from_utf8_lossy(&got).into_owned();
            assert!(got.starts_with(&format!("HTTP/1.1 {status}")), "{attempt}: {got}");
            assert!(cluster.record.attempt(attempt).iter().all(|heard| !heard.whole), "{attempt}");
        }
        let both = "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n";
        let answer = cluster.once(&request_bytes("POST /book/1", "both", 2_000, both, &chunked_inner)).await;
        assert_eq!(answer.expect("an answer").status(), 200);
        assert_eq!(cluster.record.attempt("both")[0].body, b"");
        assert!(cluster.record.attempt("smuggled").is_empty());
        let fits = request_bytes("GET /view/1", "fits", 2_000, &head(16_384 - own - 1), b"");
        assert_eq!(cluster.once(&fits).await.expect("an answer").status(), 200);
        // Remaining times, valid or not, as clients may send them.
        for (told, status) in
            [("", 200), ("soon", 200), ("NaN", 200), ("1e300", 200), ("800.5", 200), ("0", 503), ("-5", 503)]
        {
            let request = String::from_utf8(request_bytes("GET /view/1", "told", 7, "", b"")).expect("text");
            let line = if told.is_empty() { String::new() } else { format!("Remaining-Time: {told}\r\n") };
            let request = request.replace("Remaining-Time: 7\r\n", &line);
            let answer = cluster.once(request.as_bytes()).await.expect("an answer");
            assert_eq!(answer.status(), status, "{told:?}");
        }
        assert!(cluster.record.attempt("told").iter().all(|heard| {
            header(&heard.head, "Remaining-Time").parse().is_ok_and(|left: u32| left <= 8_000)
        }));
        let none = format!("GET /view/1 HTTP/1.1\r\nHost: {HOST}\r\nRemaining-Time: 2000\r\n\r\n");
        assert_eq!(cluster.once(none.as_bytes()).await.expect("an answer").status(), 400);
        // Bodies that stop half-way: by a time-out, and by a reset of the connection.
        let half = |path: &str, attempt: &str, sent: usize| {
            request_bytes(
                &format!("PUT /{path}/1"),
                attempt,
                400,
                "Content-Length: 900000\r\n",
                &pseudorandom_bytes(sent),
            )
        };
        let (mut small, mut large, mut gone) =
            (cluster.line().await, cluster.line().await, cluster.line().await);
        small.send(&half("book", "stops", 1_000)).await;
        large.send(&half("scan", "stops-large", 700_000)).await;
        gone.send(&half("scan", "gone", 700_000)).await;
        cluster.heard("a large body that is forwarded", |heard| heard.attempt == "gone").await;
        gone.stream.set_zero_linger().expect("a reset");
        drop(gone);
        assert_eq!(small.answer().await.expect("an answer").status(), 408);
        assert_eq!(large.answer().await.expect("an answer").status(), 502);
        for attempt in ["stops-large", "gone"] {
            cluster.heard(attempt, |heard| heard.attempt == attempt && heard.broke && !heard.whole).await;
        }
        assert!(cluster.record.attempt("stops").is_empty(), "nothing of it is forwarded");
        // Pipelining: two requests at once, the next right after a response, and a last one with `Connection: close`.
        let mut line = cluster.line().await;
        let two = [
            post_bytes("book", "first", 2_000, b"1"),
            request_bytes("GET /view/2", "second", 2_000, "", b""),
        ]
        .concat();
        line.send(&two).await;
        for attempt in ["first", "second", "third", "last"] {
            if attempt == "third" {
                line.send(&post_bytes("book", attempt, 2_000, b"3")).await;
            }
            if attempt == "last" {
                line.send(&request_bytes("GET /view/2", attempt, 2_000, "Connection: close\r\n", b"")).await;
            }
            let answer = line.answer().await.expect("an answer");
            assert_eq!((answer.status(), answer.header("Attempt-Id")), (200, attempt));
        }
        assert!(line.ends().await);
        // Clients that are slow or read nothing, at the same time; normal clients are served beside them.
        let front = cluster.front();
        let began = Instant::now();
        let idle = async {
            let mut line = Connection::open(front).await;
            line.send(&request_bytes("GET /view/2", "idle", 2_000, "", b"")).await;
            assert_eq!(line.answer().await.expect("an answer").status(), 200);
            assert!(line.ends().await);
            assert!(began.elapsed() >= Duration::from_millis(1_500), "idle for {:?}", began.elapsed());
        };
        let slow = async {
            let mut line = Connection::open(front).await;
            line.send(b"GET /view/2 HTTP/1.1\r\nHost:").await;
            assert_eq!(line.head().await, None);
            let took = began.elapsed();
            assert!(took >= Duration::from_millis(500) && took < Duration::from_millis(1_400), "{took:?}");
        };
        let behind = async {
            let mut line = Connection::open(front).await;
            line.send(&request_bytes("GET /long/1", "slowly", 7_000, "", b"")).await;
            line.send(b"GET /view/2 HTTP/1.1\r\nHost:").await;
            // Reads nothing for longer than the time-out for a request head.
            tokio::time::sleep(Duration::from_millis(1_100)).await;
            let answer = line.answer().await.expect("an answer");
            assert!(
                answer.whole && answer.body == pseudorandom_bytes(12 << 20),
                "{} bytes",
                answer.body.len()
            );
        };
        let never = async {
            let mut line = Connection::open(front).await;
            line.send(&request_bytes("GET /never/1", "never", 7_000, "", b"")).await;
            cluster.heard("its response is given up", |heard| heard.attempt == "never" && heard.broke).await;
            assert!(began.elapsed() < Duration::from_secs(5), "{:?}", began.elapsed());
        };
        let many = async {
            let mut held = Vec::new();
            for number in 0..300 {
                held.push(TcpStream::connect(front).await.expect("the kernel takes it"));
                if number % 20 == 19 {
                    // Each request is accepted and answered; a refusal with a retry time counts as an answer.
                    let request = request_bytes("GET /view/3", &format!("among-{number}"), 2_000, "", b"");
                    let asked = Instant::now();
                    while once(front, &request).await.expect("an answer").status() != 200 {
                        assert!(asked.elapsed() < LONG, "{number}");
                    }
                }
            }
        };
        tokio::join!(idle, slow, behind, never);
        many.await;
    });
}

#[test]
fn a_graceful_shutdown_interrupts_no_request() {
    let gate = Arc::new(Semaphore::new(0));
    let opens = gate.clone();
    let scripted_services: Vec<(&str, &str, usize, Script)> = vec![
        ("view", "safe", 1, script(correct)),
        (
            "book",
            "unsafe",
            1,
            script(move |h| vec![Body, Gate(gate.clone()), Write(ok_response(h, b"booked"))]),
        ),
        ("long", "safe", 1, script(|h| vec![Body, Write(ok_response(h, &pseudorandom_bytes(12 << 20)))])),
    ];
    run(async {
        let mut cluster = Cluster::open(scripted_services, &[], &[]).await;
        let foyer = cluster.foyer;
        let (mut head, mut body, mut idle) =
            (cluster.line().await, cluster.line().await, cluster.line().await);
        let (mut works, mut slow, mut fresh) =
            (cluster.line().await, cluster.line().await, cluster.line().await);
        let head_text = request_bytes("GET /view/1", "head", 7_000, "", b"");
        let body_text = post_bytes("view", "body", 7_000, &pseudorandom_bytes(90_000));
        head.send(&head_text[..40]).await;
        body.send(&body_text[..50_000]).await;
        works.send(&post_bytes("book", "works", 7_000, b"row=3")).await;
        slow.send(&request_bytes("GET /long/1", "slow", 7_000, "", b"")).await;
        cluster.heard("the request in progress", |heard| heard.attempt == "works" && heard.whole).await;
        let answer = slow.head().await.expect("the head of its response");
        // A reload of the settings must not interrupt anything.
        cluster.stage.reload(foyer).expect("it is told to read its settings");
        for attempt in ["idle-1", "idle-2"] {
            idle.send(&request_bytes("GET /view/1", attempt, 2_000, "", b"")).await;
            let answer = idle.answer().await.expect("an answer");
            assert_eq!((answer.status(), answer.header("Connection")), (200, ""));
        }
        cluster.stage.terminate(foyer).expect("it is told to end");
        let told = Instant::now();
        let (ready, ask) = (cluster.stage.readiness(foyer), HttpRequest::new(Method::GET, "/api/readiness"));
        while call(ready, &ask, LONG).await.expect("an answer").status != 503 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        head.send(&head_text[40..]).await;
        body.send(&body_text[50_000..]).await;
        fresh.send(&request_bytes("GET /view/1", "fresh", 2_000, "", b"")).await;
        let mut late = cluster.line().await;
        late.send(&request_bytes("GET /view/1", "late", 2_000, "", b"")).await;
        for (line, attempt) in
            [(&mut head, "head"), (&mut body, "body"), (&mut fresh, "fresh"), (&mut late, "late")]
        {
            let answer = line.answer().await.expect("an answer");
            assert_eq!((answer.status(), answer.header("Connection")), (200, "close"), "{attempt}");
            assert!(line.ends().await, "{attempt}");
        }
        // One connection is in the kernel's accept queue when the listener closes: the process is frozen over that moment.
        let pid = cluster.stage.pid(foyer).expect("it runs").to_string();
        let stand = |signal: &str| {
            let told = std::process::Command::new("kill").args([signal, &pid]).status();
            assert!(told.expect("a program that sends signals").success());
        };
        tokio::time::sleep_until((told + Duration::from_millis(2_300)).into()).await;
        stand("-STOP");
        let mut queued = cluster.line().await;
        queued.send(&request_bytes("GET /view/1", "queued", 2_000, "", b"")).await;
        tokio::time::sleep_until((told + Duration::from_millis(2_700)).into()).await;
        stand("-CONT");
        let taken = queued.answer().await.expect("an answer");
        assert_eq!((taken.status(), taken.header("Connection")), (200, "close"));
        // Idle connections are closed, in order, only once no new ones are accepted.
        assert!(idle.ends().await);
        while TcpStream::connect(cluster.front()).await.is_ok() {
            assert!(told.elapsed() < LONG);
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        assert!(cluster.stage.is_running(foyer), "requests are still in progress");
        opens.add_permits(1);
        let done = works.answer().await.expect("an answer");
        assert_eq!((done.status(), &done.body[..]), (200, &b"booked"[..]));
        assert_eq!(cluster.record.attempt("works").len(), 1);
        // A shutdown that waited for requests only, and not until their responses are sent, would be over by then.
        tokio::time::sleep_until((told + Duration::from_millis(3_600)).into()).await;
        assert!(cluster.stage.is_running(foyer), "a response is still being sent");
        let (long, whole) = slow.body(&answer, true).await;
        assert!(whole && long == pseudorandom_bytes(12 << 20), "{} bytes", long.len());
        while cluster.stage.is_running(foyer) {
            assert!(told.elapsed() < Duration::from_secs(6), "GraceS is over");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        assert!(cluster.stage.exit_status(foyer).expect("its end").expect("it has ended").success());
    });
}

#[test]
fn bodies_of_all_clients_together_stay_within_the_memory_limit() {
    const CLIENTS: usize = 60;
    const SENT: usize = 400_000;
    let scripted_services: Vec<(&str, &str, usize, Script)> =
        vec![("view", "safe", 1, script(correct)), ("scan", "upload", 2, script(correct))];
    run(async {
        let cluster = Cluster::open(scripted_services, &[("MemoryMb = 256", "MemoryMb = 20")], &[]).await;
        let status = format!("/proc/{}/status", cluster.stage.pid(cluster.foyer).expect("it runs"));
        let peak = || {
            let text = std::fs::read_to_string(&status).expect("its status");
            let line = text.lines().find(|line| line.starts_with("VmHWM")).expect("its peak").to_owned();
            line.split_whitespace().nth(1).and_then(|kb| kb.parse::<usize>().ok()).expect("kB") * 1024
        };
        let before = peak();
        let body = pseudorandom_bytes(500_000);
        let mut lines = Vec::new();
        for number in 0..CLIENTS {
            let request = post_bytes("scan", &format!("large-{number}"), 7_000, &body);
            let mut line = cluster.line().await;
            let sent = request.len() - body.len() + SENT;
            line.send(&request[..sent]).await;
            lines.push((line, request[sent..].to_vec()));
        }
        // Ten of them fill the limit (a fifth of the memory); the others are forwarded while they arrive.
        let forwarded = || cluster.record.of(|heard| heard.service == "scan").len();
        let began = Instant::now();
        while forwarded() < CLIENTS - 20 {
            assert!(began.elapsed() < LONG, "{} are forwarded", forwarded());
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let usual = cluster.once(&post_bytes("view", "usual", 2_000, b"small")).await.expect("an answer");
        assert_eq!((usual.status(), &usual.body[..]), (200, &b"honest"[..]));
        for (line, rest) in &mut lines {
            line.send(rest).await;
        }
        for (number, (line, _)) in lines.iter_mut().enumerate() {
            let answer = line.answer().await.expect("an answer");
            assert_eq!(answer.status(), 200, "{number}");
            let heard = cluster.record.attempt(&format!("large-{number}"));
            assert!(heard.len() == 1 && heard[0].whole && heard[0].body == body, "{number}");
        }
        // The limit, and what connections read ahead.
        let (more, most) = (peak() - before, 4_000_000 + CLIENTS * 130_000);
        println!("{more} bytes more at the peak");
        assert!(more < most && most < CLIENTS * SENT, "{more} bytes more at the peak");
    });
}
