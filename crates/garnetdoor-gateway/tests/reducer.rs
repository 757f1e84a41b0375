//! Tests of the reducer without sockets: events go in, effects come out.

use garnetdoor_gateway::config::{self, Config};
use garnetdoor_gateway::event::{ConnectionId, Effect, Event};
use garnetdoor_gateway::operator::OperatorConfig;
use garnetdoor_gateway::state::reducer::Reducer;
use serde_json::{Value, json};
use test_case::test_case;

const MS: i64 = 1_000;
const SECOND: i64 = 1_000_000;
const SERVER_A: &str = "127.0.0.1:7001";
const SERVER_B: &str = "127.0.0.1:7002";
const LIST_SERVICE: &str = "127.0.0.1:7100";
const PLATFORM: &str = "127.0.0.1:7200";

fn list_entry(name: &str, address: &str, state: &str) -> Value {
    json!({"uid": name, "endpoint": address, "az": "a", "model": "m", "pod_group": 1, "state": state,
        "capacity_hint": 1.0, "boot_ms": 0, "image_id": 41})
}

fn list_json(version: u64, whole: bool, entries: &[Value]) -> Value {
    json!({"rev": version, "all": whole, "targets": entries})
}

fn config_file() -> Value {
    json!({
        "name": "g", "listen": "127.0.0.1:0", "discovery": LIST_SERVICE, "seed": "7", "limits": {"sockets": 80},
        "peers": ["127.0.0.1:7301", "127.0.0.1:7302"], "peers_all": "127.0.0.1:7399",
        "rollouts": {"address": PLATFORM, "news":
            {"image": 41, "ring": 0, "progress": "Healthy", "ceiling": 1.0, "lag_ms": 9000}},
        "known": list_json(5, true, &[list_entry("s-a", SERVER_A, "up"), list_entry("s-b", SERVER_B, "up")]),
        "settings": {
            "classes": [
                {"name": "view", "repeat": "safe", "on_time": 0.5, "worth": 1.0},
                {"name": "print", "repeat": "unsafe", "on_time": 0.5, "worth": 1.0}],
            "areas": ["a", "b"], "machine_types": ["m"], "zone": 0, "discovery": "subscribe", "fleet_size": 2,
            "policy_limits": {"try_limit": 3, "idle_close": 8.0, "dial_timeout": 0.25, "retry_after": true,
                "max_retry_after": 0.5, "max_open": 1000},
            "domain": {"vote_wait": 2.0, "vote_life": 6.0, "votes_per_s": 300.0, "exposure_window": 4.0}}
    })
}

/// Reads a configuration that must be valid, without environment variables.
fn valid_config(file: &Value) -> Config {
    config::check(&file.to_string(), |_| None).expect("a good configuration")
}

/// Drives a reducer, and collects its effects.
struct Harness {
    now: i64,
    reducer: Reducer,
    effects: Vec<Effect>,
    last_client: u64,
}

impl Harness {
    fn new() -> Self {
        Harness::with(&config_file())
    }

    fn with(file: &Value) -> Self {
        Harness::with_operator(file, &OperatorConfig::default())
    }

    fn with_operator(file: &Value, operator: &OperatorConfig) -> Self {
        let now = 1_000 * SECOND;
        let (reducer, effects) = Reducer::start(now, &valid_config(file), operator);
        Harness { now, reducer, effects, last_client: 0 }
    }

    fn handle(&mut self, event: Event) {
        let effects = self.reducer.reduce(self.now, event);
        self.effects.extend(effects);
    }

    /// Lets time pass, in steps that are short compared with the decisions' timers.
    fn advance(&mut self, span: i64) {
        let end = self.now + span;
        while self.now < end {
            self.now = (self.now + 10 * MS).min(end);
            self.handle(Event::Tick);
        }
    }

    /// Text arrives on a connection now.
    fn receive(&mut self, id: ConnectionId, text: &str) {
        self.handle(Event::Received(id, self.now, text.as_bytes().to_vec()));
    }

    /// A new client connects.
    fn connect_client(&mut self) -> ConnectionId {
        self.last_client += 2;
        self.handle(Event::Connected(ConnectionId(self.last_client)));
        ConnectionId(self.last_client)
    }

    /// A client sends a request of the repeatable profile.
    fn request_view(&mut self, client: ConnectionId) {
        let id = client.0;
        let head = format!("GET /view/1?x=2 HTTP/1.1\r\nReq-Id: v{id}\r\nReq-Deadline-Ms: 400\r\n\r\n");
        self.receive(client, &head);
    }

    /// A client sends a request of the profile that must not be executed twice.
    fn request_print(&mut self, client: ConnectionId) {
        let head = format!("POST /print HTTP/1.1\r\nReq-Id: p{}\r\nReq-Deadline-Ms: 400\r\n", client.0);
        self.receive(client, &format!("{head}Content-Length: 3\r\n\r\na\0b"));
    }

    /// Everything written to a connection so far.
    fn written_to(&self, id: ConnectionId) -> String {
        let bytes = self.effects.iter().filter_map(|effect| match effect {
            Effect::Write(to, bytes) | Effect::WriteIfIdle(to, bytes) if *to == id => Some(bytes.as_slice()),
            _ => None,
        });
        String::from_utf8(bytes.collect::<Vec<_>>().concat()).expect("text")
    }

    /// Whether a connection was closed, or is to be closed, in any of the ways.
    fn is_closed(&self, id: ConnectionId) -> bool {
        [Effect::Close(id), Effect::CloseIfIdle(id), Effect::ShutdownWrite(id)]
            .iter()
            .any(|end| self.effects.contains(end))
    }

    /// How many log lines contain this text.
    fn log_count(&self, part: &str) -> usize {
        self.effects
            .iter()
            .filter(|effect| matches!(effect, Effect::Log(text) if text.contains(part)))
            .count()
    }

    /// The connections dialled to any of these addresses.
    fn dialled(&self, to: &[&str]) -> Vec<ConnectionId> {
        let dials = self.effects.iter().filter_map(|effect| match effect {
            Effect::Dial(id, address, _) if to.contains(&address.to_string().as_str()) => Some(*id),
            _ => None,
        });
        dials.collect()
    }

    /// Establishes the last connection dialled to any of these addresses, and completes its first write.
    fn establish(&mut self, to: &[&str]) -> ConnectionId {
        let id = *self.dialled(to).last().expect("a connection was dialled");
        self.establish_connection(id)
    }

    fn establish_connection(&mut self, id: ConnectionId) -> ConnectionId {
        self.handle(Event::Connected(id));
        self.handle(Event::Written(id));
        id
    }

    /// Starts a request whose first attempt is written to a server; returns the client's and the server's
    /// connection.
    fn start_attempt(&mut self, request: fn(&mut Harness, ConnectionId)) -> (ConnectionId, ConnectionId) {
        let client = self.connect_client();
        request(self, client);
        (client, self.establish(&[SERVER_A, SERVER_B]))
    }

    /// Waits for the watch of the list, and answers its head.
    fn open_watch(&mut self) -> ConnectionId {
        while self.dialled(&[LIST_SERVICE]).is_empty() {
            self.advance(10 * MS);
        }
        let watch = self.establish(&[LIST_SERVICE]);
        self.receive(watch, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        watch
    }

    /// One line of the watch arrives.
    fn receive_list_line(&mut self, watch: ConnectionId, line: &str) {
        self.receive(watch, &format!("{:x}\r\n{line}\n\r\n", line.len() + 1));
    }

    /// The status of the first response to a client; empty if there is none.
    fn status(&self, client: ConnectionId) -> String {
        self.written_to(client).split_whitespace().nth(1).unwrap_or_default().to_owned()
    }
}

const OK_RESPONSE: &str = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody";

#[test]
fn a_request_is_forwarded_and_its_response_returned_unchanged() {
    let mut harness = Harness::new();
    let client = harness.connect_client();
    harness.request_view(client);
    let server = harness.dialled(&[SERVER_A, SERVER_B])[0];
    assert_eq!(harness.written_to(server), "");
    harness.establish(&[SERVER_A, SERVER_B]);
    let sent = harness.written_to(server);
    assert!(
        sent.starts_with("GET /view/1?x=2 HTTP/1.1\r\n") && sent.contains("\r\nReq-Id: v2\r\n"),
        "{sent}"
    );
    assert!(sent.contains("\r\nReq-Deadline-Ms: 380\r\n") && sent.ends_with("\r\n\r\n"), "{sent}");
    harness.receive(server, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\na\0\n\r\n2\r\nxy\r\n");
    assert_eq!(harness.written_to(client), "");
    harness.receive(server, "0\r\n\r\n");
    assert!(harness.written_to(client).ends_with("\r\nContent-Length: 5\r\n\r\na\0\nxy"));
    assert!(!harness.is_closed(server) && !harness.is_closed(client));
}

#[test]
fn a_request_body_is_forwarded_unchanged_with_its_length() {
    let mut harness = Harness::new();
    let (_, server) = harness.start_attempt(Harness::request_print);
    let sent = harness.written_to(server);
    assert!(sent.starts_with("POST /print HTTP/1.1\r\n") && sent.ends_with("Content-Length: 3\r\n\r\na\0b"));
}

#[test]
fn the_most_recent_idle_connection_is_reused_and_closed_before_the_server_closes_it() {
    let mut harness = Harness::new();
    let (client, server) = harness.start_attempt(Harness::request_view);
    harness.receive(server, OK_RESPONSE);
    harness.handle(Event::Written(client));
    // Until the decisions choose the same server again.
    while harness.written_to(server).matches("GET").count() < 2 {
        let dialled = harness.dialled(&[SERVER_A, SERVER_B]).len();
        let other = harness.connect_client();
        harness.request_view(other);
        if harness.dialled(&[SERVER_A, SERVER_B]).len() > dialled {
            harness.establish(&[SERVER_A, SERVER_B]);
        }
    }
    harness.handle(Event::Written(server));
    harness.receive(server, OK_RESPONSE);
    harness.advance(3 * SECOND);
    assert!(!harness.is_closed(server));
    harness.advance(2 * SECOND);
    assert!(harness.is_closed(server));
    assert_eq!(harness.log_count(&format!("end conn={server} kind=server code=idle")), 1);
}

#[test]
fn a_server_that_sends_unrequested_bytes_is_disconnected() {
    let mut harness = Harness::new();
    let (_, server) = harness.start_attempt(Harness::request_view);
    harness.receive(server, &format!("{OK_RESPONSE}HTTP/1.1 500 X\r\n\r\n"));
    assert!(harness.is_closed(server));
    let (_, server) = harness.start_attempt(Harness::request_view);
    harness.receive(server, OK_RESPONSE);
    harness.receive(server, "x");
    assert_eq!(harness.log_count("code=unasked"), 1);
}

#[test]
fn split_and_pipelined_requests_are_handled_one_after_another() {
    let mut harness = Harness::new();
    let client = harness.connect_client();
    let request = "GET /view HTTP/1.1\r\nReq-Id: r1\r\nReq-Deadline-Ms: 400\r\n\r\n";
    for byte in request.bytes() {
        harness.receive(client, &char::from(byte).to_string());
    }
    let server = harness.establish(&[SERVER_A, SERVER_B]);
    harness.receive(server, OK_RESPONSE);
    harness.handle(Event::Written(client));
    harness.receive(client, &format!("GET /_health HTTP/1.1\r\n\r\n{request}"));
    assert_eq!(harness.written_to(client).matches("HTTP/1.1 200").count(), 2);
    harness.handle(Event::Written(client));
    let sent: usize = harness
        .dialled(&[SERVER_A, SERVER_B])
        .iter()
        .map(|id| harness.written_to(*id).matches("GET").count())
        .sum();
    assert!(sent == 2 || harness.dialled(&[SERVER_A, SERVER_B]).len() == 2);
}

#[test]
fn a_client_that_sends_hundreds_of_requests_at_once_gets_one_response() {
    let mut harness = Harness::new();
    let (client, server) = harness.start_attempt(Harness::request_view);
    (0..300).for_each(|_| harness.request_view(client));
    harness.receive(server, OK_RESPONSE);
    harness.handle(Event::Written(client));
    assert_eq!((harness.dialled(&[SERVER_A, SERVER_B]).len(), harness.is_closed(client)), (1, true));
    assert!(harness.written_to(client).contains("Connection: close"));
}

#[test_case("", "", "mute"; "nothing")]
#[test_case("G", "408", ""; "a byte")]
#[test_case("GET /view/1 HTTP/1.1\r\nReq-Id: r\r\n", "408", ""; "half a head")]
#[test_case("POST /print HTTP/1.1\r\nReq-Id: r\r\nReq-Deadline-Ms: 9\r\nContent-Length: 9\r\n\r\nx", "408", ""; "half a body")]
fn a_first_request_must_arrive_in_time_even_if_bytes_trickle_in(text: &str, status: &str, code: &str) {
    let mut harness = Harness::new();
    let client = harness.connect_client();
    let steps = text.len().max(1) as i64;
    for at in 0..steps as usize {
        harness.receive(client, text.get(at..=at).unwrap_or_default());
        harness.advance(2_400 * MS / steps);
    }
    assert!(harness.written_to(client).is_empty() && !harness.is_closed(client));
    harness.advance(200 * MS);
    assert_eq!((harness.status(client).as_str(), harness.is_closed(client)), (status, true));
    harness.handle(Event::Closed(client));
    assert_eq!(harness.log_count(&format!("end conn={client} kind=client code={code}")), 1);
}

#[test]
fn an_answered_client_may_be_idle_for_a_while_and_is_then_closed() {
    let mut harness = Harness::new();
    let (client, server) = harness.start_attempt(Harness::request_view);
    harness.receive(server, OK_RESPONSE);
    harness.handle(Event::Written(client));
    harness.advance(2 * SECOND);
    assert!(!harness.is_closed(client));
    // The time for its next request runs from the first byte, and is not extended by further bytes.
    harness.receive(client, "G");
    harness.advance(2 * SECOND);
    harness.receive(client, "E");
    harness.advance(400 * MS);
    assert!(!harness.is_closed(client));
    harness.advance(200 * MS);
    assert!(harness.written_to(client).contains("HTTP/1.1 408 ") && harness.is_closed(client));
    let (idle_client, server) = harness.start_attempt(Harness::request_view);
    harness.receive(server, OK_RESPONSE);
    harness.handle(Event::Written(idle_client));
    harness.advance(2_300 * MS);
    assert!(harness.effects.contains(&Effect::CloseIfIdle(idle_client)));
}

#[test]
fn if_many_clients_are_idle_the_longest_idle_ones_are_closed() {
    let mut harness = Harness::new();
    let mut clients = Vec::new();
    // With 80 descriptors, 13 clients may be idle.
    for _ in 0..15 {
        let client = harness.connect_client();
        harness.receive(client, "GET /_health HTTP/1.1\r\n\r\n");
        harness.handle(Event::Written(client));
        clients.push(client);
    }
    assert!(!harness.is_closed(clients[0]), "it was answered just now");
    harness.advance(300 * MS);
    let client = harness.connect_client();
    harness.receive(client, "GET /_health HTTP/1.1\r\n\r\n");
    harness.handle(Event::Written(client));
    assert!(clients[..3].iter().all(|old| harness.effects.contains(&Effect::CloseIfIdle(*old))));
    assert!(!harness.is_closed(clients[3]) && !harness.is_closed(client));
}

#[test]
fn a_second_request_with_the_id_of_an_open_one_is_rejected() {
    let mut harness = Harness::new();
    let (client, server) = harness.start_attempt(Harness::request_view);
    let other_client = harness.connect_client();
    harness.receive(
        other_client,
        &format!("GET /view/2 HTTP/1.1\r\nReq-Id: v{}\r\nReq-Deadline-Ms: 400\r\n\r\n", client.0),
    );
    assert_eq!(
        (harness.status(other_client).as_str(), harness.dialled(&[SERVER_A, SERVER_B]).len()),
        ("400", 1)
    );
    harness.receive(server, OK_RESPONSE);
    assert_eq!(harness.status(client), "200");
}

#[test_case("NONSENSE\r\n\r\n", "400", true; "malformed head")]
#[test_case("GET / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "400", true; "both framings")]
#[test_case("POST /print HTTP/1.1\r\nContent-Length: 70000\r\n\r\n", "413", true; "large body")]
#[test_case("POST /print HTTP/1.1\r\nContent-Length: -1\r\n\r\n", "400", true; "invalid length")]
#[test_case("GET /else HTTP/1.1\r\nReq-Id: r\r\nReq-Deadline-Ms: 9\r\n\r\n", "404", false; "unknown path")]
#[test_case("POST /view HTTP/1.1\r\nReq-Id: r\r\nReq-Deadline-Ms: 9\r\n\r\n", "405", false; "wrong method")]
#[test_case("GET /view HTTP/1.1\r\nReq-Deadline-Ms: 9\r\n\r\n", "400", false; "no id")]
#[test_case("GET /view HTTP/1.1\r\nReq-Id: r\r\n\r\n", "400", false; "no deadline")]
#[test_case("GET /view HTTP/1.1\r\nReq-Id: r\r\nReq-Deadline-Ms: 1.5\r\n\r\n", "400", false; "fractional deadline")]
#[test_case("GET /view HTTP/1.1\r\nReq-Id: r\r\nReq-Deadline-Ms: 4000000000\r\n\r\n", "400", false; "deadline too long")]
#[test_case("GET /view HTTP/1.1\r\nReq-Id: r\r\nReq-Id: s\r\nReq-Deadline-Ms: 9\r\n\r\n", "400", false; "two ids")]
#[test_case("POST /_health HTTP/1.1\r\n\r\n", "405", false; "health by another method")]
#[test_case("GET /_health HTTP/1.1\r\n\r\n", "200", false; "health")]
#[test_case("GET /_health HTTP/1.1\r\nConnection: close\r\n\r\n", "200", true; "last message")]
fn an_invalid_request_is_answered_and_not_forwarded(text: &str, status: &str, closes: bool) {
    let mut harness = Harness::new();
    let client = harness.connect_client();
    harness.receive(client, text);
    assert_eq!((harness.status(client).as_str(), harness.is_closed(client)), (status, closes));
    assert!(harness.dialled(&[SERVER_A, SERVER_B]).is_empty());
}

#[test]
fn an_endless_head_is_rejected() {
    let mut harness = Harness::new();
    let client = harness.connect_client();
    harness.receive(client, &format!("GET /view HTTP/1.1\r\nX: {}", "x".repeat(17_000)));
    assert_eq!((harness.status(client).as_str(), harness.is_closed(client)), ("431", true));
}

// A request that must not be executed twice is retried only if it was certainly not executed.
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", "200", 1; "finished")]
#[test_case("HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n", "504", 1; "error")]
#[test_case("HTTP/1.1 503 X\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n", "", 2; "declined")]
#[test_case("HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n", "504", 1; "unavailable, and it may have run")]
#[test_case("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "200", 1; "interim")]
#[test_case("HTTP/1.1 200 OK\r\nSrv-Load: \u{1}\u{7f}=,\nx\r\nContent-Length: 1\r\n\r\nb", "200", 1; "odd load report")]
#[test_case("HTTP/1.1 200 OK\r\nSrv\u{1}: 1\r\nContent-Length: 1\r\n\r\nb", "504", 1; "odd header")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nbo", "504", 1; "two lengths")]
#[test_case("garbage\r\n\r\n", "504", 1; "malformed")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n", "504", 1; "too large")]
#[test_case("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n", "504", 1; "unknown framing")]
fn a_response_decides_whether_a_request_is_retried(text: &str, status: &str, attempts: usize) {
    let mut harness = Harness::new();
    let (client, server) = harness.start_attempt(Harness::request_print);
    harness.receive(server, text);
    assert_eq!(
        (harness.status(client).as_str(), harness.dialled(&[SERVER_A, SERVER_B]).len()),
        (status, attempts)
    );
}

#[test]
fn a_binary_load_report_and_some_interim_responses_do_not_spoil_a_response() {
    let mut harness = Harness::new();
    let (client, server) = harness.start_attempt(Harness::request_print);
    let interim = b"HTTP/1.1 102 Processing\r\n\r\n".repeat(9);
    let response = b"HTTP/1.1 200 OK\r\nSrv-Load: \xff\xfe\r\nContent-Length: 4\r\n\r\nbody";
    harness.handle(Event::Received(server, harness.now, [&interim[..], response].concat()));
    assert_eq!((harness.status(client).as_str(), harness.is_closed(server)), ("200", false));
    let (client, server) = harness.start_attempt(Harness::request_print);
    harness.receive(server, &"HTTP/1.1 100 Continue\r\n\r\n".repeat(1_000));
    assert_eq!((harness.status(client).as_str(), harness.is_closed(server)), ("504", true));
}

#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbody"; "a length that is too long")]
#[test_case("HTTP/1.1 200 OK\r\nX: "; "a head without end")]
#[test_case("HTTP/1.1 200 OK\r\n\r\nbody"; "no length on a connection that stays")]
fn a_response_that_stays_incomplete_fails_before_the_deadline(text: &str) {
    let mut harness = Harness::new();
    let (client, server) = harness.start_attempt(Harness::request_print);
    harness.advance(50 * MS);
    harness.receive(server, text);
    harness.advance(100 * MS);
    harness.receive(server, "x");
    harness.advance(160 * MS);
    assert_eq!((harness.status(client).as_str(), harness.is_closed(server)), ("504", true));
}

/// A harness with one server, on whose idle connection a further request is being written; with the client's
/// and the server's connection.
fn reused_connection() -> (Harness, ConnectionId, ConnectionId) {
    let mut file = config_file();
    file["known"] = list_json(5, true, &[list_entry("s-a", SERVER_A, "up")]);
    let mut harness = Harness::with(&file);
    let (_, server) = harness.start_attempt(Harness::request_view);
    harness.receive(server, OK_RESPONSE);
    harness.advance(50 * MS);
    let client = harness.connect_client();
    harness.request_print(client);
    assert!(harness.written_to(server).contains("POST /print"), "written to the idle connection");
    (harness, client, server)
}

#[test]
fn a_connection_that_ended_while_idle_is_replaced_before_anything_is_written() {
    let (mut harness, client, server) = reused_connection();
    let message = b"POST /print HTTP/1.1\r\n\r\n".to_vec();
    harness.handle(Event::Stale(server, message));
    assert_eq!(harness.log_count("kind=server code=stale"), 1);
    let again = harness.establish(&[SERVER_A]);
    assert!(again != server && harness.written_to(again) == "POST /print HTTP/1.1\r\n\r\n");
    harness.receive(again, OK_RESPONSE);
    assert_eq!(harness.status(client), "200");
}

#[test]
fn bytes_that_arrived_before_a_request_was_written_are_not_its_response() {
    let (mut harness, client, server) = reused_connection();
    let request_written_at = harness.now;
    harness.handle(Event::Written(server));
    harness.advance(5 * MS);
    harness.handle(Event::Received(server, request_written_at - MS, OK_RESPONSE.as_bytes().to_vec()));
    assert_eq!((harness.status(client).as_str(), harness.is_closed(server)), ("504", true));
    let (mut harness, client, server) = reused_connection();
    // Nor are bytes that arrive before the request is completely written.
    harness.advance(MS);
    harness.receive(server, OK_RESPONSE);
    assert_eq!((harness.status(client).as_str(), harness.is_closed(server)), ("504", true));
}

#[test_case(false, "", "", 2; "before the last byte: it has not run")]
#[test_case(true, "", "504", 1; "after: it may have")]
#[test_case(true, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbo", "504", 1; "cut short")]
#[test_case(true, "HTTP/1.1 200 OK\r\n\r\nbody", "200", 1; "a body up to the close")]
fn a_broken_connection_is_retried_only_if_the_request_was_not_written(
    whole: bool, text: &str, status: &str, attempts: usize,
) {
    let mut harness = Harness::new();
    let client = harness.connect_client();
    harness.request_print(client);
    let server = harness.dialled(&[SERVER_A, SERVER_B])[0];
    harness.handle(Event::Connected(server));
    if whole {
        harness.handle(Event::Written(server));
        harness.receive(server, text);
    }
    harness.handle(Event::Closed(server));
    assert_eq!(
        (harness.status(client).as_str(), harness.dialled(&[SERVER_A, SERVER_B]).len()),
        (status, attempts)
    );
}

#[test]
fn a_connect_timeout_leads_to_a_retry_elsewhere() {
    let mut harness = Harness::new();
    let client = harness.connect_client();
    harness.request_print(client);
    harness.advance(260 * MS);
    assert_eq!((harness.dialled(&[SERVER_A, SERVER_B]).len(), harness.log_count("code=no-connect")), (2, 1));
}

#[test]
fn a_silent_attempt_is_answered_and_closed_before_the_client_deadline() {
    let mut harness = Harness::new();
    let (client, server) = harness.start_attempt(Harness::request_print);
    harness.advance(370 * MS);
    assert_eq!(harness.written_to(client), "");
    harness.advance(20 * MS);
    assert_eq!(harness.status(client), "504");
    assert!(harness.is_closed(server));
    // A later response is ignored.
    harness.receive(server, OK_RESPONSE);
    assert_eq!(harness.written_to(client).matches("HTTP/1.1").count(), 1);
}

#[test]
fn time_that_a_request_waited_unread_counts_against_its_deadline() {
    let mut harness = Harness::new();
    let client = harness.connect_client();
    let text = b"GET /view HTTP/1.1\r\nReq-Id: r\r\nReq-Deadline-Ms: 400\r\n\r\n";
    harness.handle(Event::Received(client, harness.now - 300 * MS, text.to_vec()));
    let server = harness.establish(&[SERVER_A, SERVER_B]);
    assert!(harness.written_to(server).contains("Req-Deadline-Ms: 80\r\n"));
}

#[test]
fn nothing_is_written_to_a_client_that_left() {
    let mut harness = Harness::new();
    let (client, server) = harness.start_attempt(Harness::request_view);
    harness.handle(Event::Closed(client));
    harness.receive(server, OK_RESPONSE);
    assert_eq!((harness.written_to(client).as_str(), harness.log_count("code=client-left")), ("", 1));
}

#[test]
fn a_slow_reader_gets_one_response_and_is_closed_later() {
    let mut harness = Harness::new();
    let (client, server) = harness.start_attempt(Harness::request_view);
    harness.receive(server, OK_RESPONSE);
    harness.request_view(client);
    assert_eq!(harness.dialled(&[SERVER_A, SERVER_B]).len(), 1);
    harness.advance(11 * SECOND);
    assert_eq!(harness.log_count(&format!("end conn={client} kind=client code=slow")), 1);
}

#[test]
fn a_server_that_drains_while_it_is_dialled_gets_no_request() {
    let mut harness = Harness::new();
    let watch = harness.open_watch();
    let client = harness.connect_client();
    harness.request_print(client);
    let server = harness.dialled(&[SERVER_A, SERVER_B])[0];
    harness.receive_list_line(
        watch,
        &list_json(
            6,
            false,
            &[list_entry("s-a", SERVER_A, "draining"), list_entry("s-b", SERVER_B, "draining")],
        )
        .to_string(),
    );
    harness.handle(Event::Connected(server));
    assert_eq!(harness.written_to(server), "");
    assert!(harness.is_closed(server));
}

#[test]
fn a_connection_dialled_for_one_build_is_not_used_for_another_at_its_address() {
    let mut file = config_file();
    file["known"] = list_json(5, true, &[list_entry("s-a", SERVER_A, "up")]);
    let mut harness = Harness::with(&file);
    let watch = harness.open_watch();
    let client = harness.connect_client();
    harness.request_print(client);
    let server = harness.dialled(&[SERVER_A])[0];
    let mut next = list_entry("s-a", SERVER_A, "up");
    next["image_id"] = json!(42);
    harness.receive_list_line(watch, &list_json(6, false, &[next]).to_string());
    harness.handle(Event::Connected(server));
    assert_eq!((harness.written_to(server).as_str(), harness.is_closed(server)), ("", true));
}

#[test_case("draining", SERVER_A; "it drains")]
#[test_case("removed", SERVER_A; "it is gone")]
#[test_case("up", "127.0.0.1:7009"; "it has another address")]
fn idle_connections_are_closed_when_the_list_changes_their_server(state: &str, address: &str) {
    let mut harness = Harness::with(&{
        let mut file = config_file();
        file["known"] = list_json(5, true, &[list_entry("s-a", SERVER_A, "up")]);
        file
    });
    let watch = harness.open_watch();
    let (_, server) = harness.start_attempt(Harness::request_view);
    harness.receive(server, OK_RESPONSE);
    assert!(!harness.is_closed(server));
    harness.receive_list_line(watch, &list_json(6, false, &[list_entry("s-a", address, state)]).to_string());
    assert_eq!((harness.is_closed(server), harness.log_count("code=unlisted")), (true, 1));
}

#[test]
fn older_lists_are_ignored() {
    let mut harness = Harness::new();
    let watch = harness.open_watch();
    harness.receive_list_line(
        watch,
        &list_json(9, false, &[list_entry("s-a", SERVER_A, "removed")]).to_string(),
    );
    harness.receive_list_line(
        watch,
        &list_json(7, false, &[list_entry("s-b", SERVER_B, "removed"), list_entry("s-a", SERVER_A, "up")])
            .to_string(),
    );
    let client = harness.connect_client();
    harness.request_view(client);
    assert_eq!((harness.dialled(&[SERVER_A]).len(), harness.dialled(&[SERVER_B]).len()), (0, 1));
    assert_eq!(harness.log_count("old list ignored"), 1);
}

#[test_case(true; "a whole list")]
#[test_case(false; "changes")]
fn a_list_with_a_corrupt_entry_changes_nothing_and_is_requested_again(whole: bool) {
    let mut harness = Harness::new();
    let watch = harness.open_watch();
    let mut corrupt = list_entry("s-a", SERVER_A, "up");
    corrupt["state"] = json!("\u{1}q%");
    harness.receive_list_line(
        watch,
        &list_json(9, whole, &[list_entry("s-b", SERVER_B, "removed"), corrupt]).to_string(),
    );
    assert_eq!((harness.is_closed(watch), harness.log_count("list unreadable: s-a: state")), (true, 1));
    harness.advance(2 * SECOND);
    let again = harness.establish(&[LIST_SERVICE]);
    assert!(again != watch && harness.written_to(again).starts_with("GET /catalog/members?watch=1&after=5 "));
    // Both servers still get requests.
    for _ in 0..20 {
        let client = harness.connect_client();
        harness.request_view(client);
    }
    assert!(!harness.dialled(&[SERVER_A]).is_empty() && !harness.dialled(&[SERVER_B]).is_empty());
}

#[test_case("HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n"; "refused")]
#[test_case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n{x}\n\r\n"; "malformed")]
#[test_case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"; "ended")]
#[test_case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n"; "silent")]
fn a_failed_watch_is_opened_again(text: &str) {
    let mut harness = Harness::new();
    harness.advance(100 * MS);
    let watch = harness.establish(&[LIST_SERVICE]);
    harness.receive(watch, text);
    harness.advance(8 * SECOND);
    assert!(harness.dialled(&[LIST_SERVICE]).len() >= 2);
    assert!(harness.is_closed(watch));
    let again = *harness.dialled(&[LIST_SERVICE]).last().expect("just counted");
    harness.handle(Event::Connected(again));
    assert!(harness.written_to(again).starts_with("GET /catalog/members?watch=1&after=5 "));
}

#[test]
fn a_watch_that_breaks_inside_a_line_changes_nothing_and_is_logged_as_broken() {
    let mut harness = Harness::new();
    let watch = harness.open_watch();
    harness.receive(watch, "80\r\n{\"rev\":6,\"all\":true,\"targets\":[]");
    harness.handle(Event::Closed(watch));
    assert_eq!(harness.log_count("kind=watch code=broke"), 1);
    harness.start_attempt(Harness::request_view);
}

#[test]
fn keep_alive_lines_keep_a_watch_open() {
    let mut harness = Harness::new();
    let watch = harness.open_watch();
    for _ in 0..5 {
        harness.advance(2 * SECOND);
        harness.receive_list_line(watch, "");
    }
    assert!(!harness.is_closed(watch));
}

fn harness_on_trial() -> Harness {
    let mut file = config_file();
    let known = &mut file["known"]["targets"];
    known[1]["image_id"] = json!(42);
    file["rollouts"]["news"] =
        json!({"image": 42, "ring": 0, "progress": "Progressing", "ceiling": 0.5, "lag_ms": 9000});
    Harness::with(&file)
}

const COUNTED_BODY: &str = "<?xml version=\"1.0\"?><Response><entries><item><image>42</image><ring>0</ring>\
    <progress>Progressing</progress><ceiling>0.5</ceiling><lag_ms>310</lag_ms></item></entries></Response>";

#[test_case(200, COUNTED_BODY, "Counted"; "counted")]
#[test_case(400, "<Error><Code>limit</Code></Error>", "Full"; "full")]
#[test_case(400, "<Error><Code>moot</Code></Error>", "Moot"; "moot")]
#[test_case(500, "<Error><Code>error</Code></Error>", "Error"; "error")]
#[test_case(400, "<Error><Code>malformed</Code></Error>", "Error"; "malformed")]
#[test_case(200, "<Response><entries>", "Unknown"; "cut short")]
#[test_case(200, "<Response/>", "Unknown"; "empty response")]
#[test_case(418, "<Error><Code>new</Code></Error>", "Unknown"; "unknown code")]
fn a_vote_response_is_read_by_its_code(status: u16, body: &str, taken: &str) {
    let mut harness = harness_on_trial();
    // The vote is cast first, before the stream is opened.
    let vote = harness.dialled(&[PLATFORM])[0];
    harness.establish_connection(vote);
    assert!(harness.written_to(vote).ends_with("\r\n\r\nAction=CastVote&image=42&ring=0&opinion=promote"));
    harness.receive(vote, &format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n{body}", body.len()));
    assert_eq!((harness.log_count(&format!("vote taken: {taken}")), harness.is_closed(vote)), (1, true));
}

#[test]
fn an_unanswered_vote_is_closed_and_cast_again() {
    let mut harness = harness_on_trial();
    // The vote is cast first, before the stream is opened.
    let vote = harness.dialled(&[PLATFORM])[0];
    harness.establish_connection(vote);
    harness.advance(3 * SECOND);
    assert!(harness.is_closed(vote));
    assert!(harness.log_count("vote build=42 stage=0 On") >= 2);
}

#[test]
fn the_platform_state_comes_by_the_stream_and_a_silent_stream_is_opened_again() {
    let mut harness = Harness::new();
    let stream = harness.establish(&[PLATFORM]);
    assert!(harness.written_to(stream).starts_with("GET /notices HTTP/1.1\r\n"));
    harness.receive(stream, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    let text = ":\r\n\r\nevent: dance\ndata: image=9\n\nevent: news\r\n\
        data: image=42&ring=0&progress=Progressing&ceiling=0.5&lag_ms=10500\r\n\r\n";
    for half in [&text[..70], &text[70..]] {
        harness.receive(stream, &format!("{:x}\r\n{half}\r\n", half.len()));
    }
    assert_eq!((harness.log_count("notice left out"), harness.log_count("vote build=42 stage=0 On")), (1, 1));
    harness.advance(3 * SECOND);
    assert!(!harness.is_closed(stream));
    harness.advance(SECOND);
    assert!(harness.is_closed(stream));
    let stream_requests =
        |harness: &Harness| harness.dialled(&[PLATFORM]).len() - harness.log_count("vote build=");
    assert_eq!(stream_requests(&harness), 2);
}

#[test_case("event: news\ndata: image=42&ring=0&prog"; "news cut short")]
#[test_case("event: n\u{1}ws\ndata: image=42&ring=0&progress=Progressing&ceiling=0.5&lag_ms=1"; "invalid event name")]
#[test_case("\u{2}\u{3}=="; "binary data")]
fn a_corrupt_stream_is_opened_again_with_growing_pauses(event: &str) {
    let mut harness = Harness::new();
    for _ in 0..6 {
        let stream = harness.establish(&[PLATFORM]);
        let text = format!("{:x}\r\n{event}\n\n\r\n", event.len() + 2);
        harness.receive(stream, &format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{text}"));
        assert!(harness.is_closed(stream));
        harness.advance(1_600 * MS);
    }
    assert_eq!((harness.log_count("notice unreadable"), harness.dialled(&[PLATFORM]).len()), (6, 7));
    // The pauses have grown to at least half a second.
    let stream = harness.establish(&[PLATFORM]);
    harness.handle(Event::Closed(stream));
    harness.advance(450 * MS);
    assert_eq!(harness.dialled(&[PLATFORM]).len(), 7);
}

#[test]
fn a_reload_calls_the_new_addresses_at_once_and_casts_an_unanswered_vote_again() {
    let mut harness = harness_on_trial();
    let (vote, stream) = (harness.dialled(&[PLATFORM])[0], harness.dialled(&[PLATFORM])[1]);
    let watch = harness.open_watch();
    harness.establish_connection(vote);
    let (client, server) = harness.start_attempt(Harness::request_view);
    let [list, platform] = ["127.0.0.1:8100", "127.0.0.1:8200"];
    let address = |text: &str| text.parse().expect("an address");
    harness.handle(Event::Reload(address(list), address(platform)));
    assert!([watch, vote, stream].iter().all(|old| harness.is_closed(*old)) && !harness.is_closed(server));
    harness.receive(server, OK_RESPONSE);
    assert_eq!(harness.status(client), "200");
    let again = harness.establish(&[list]);
    assert!(harness.written_to(again).starts_with("GET /catalog/members?watch=1&after=5 "));
    let stream = harness.establish(&[platform]);
    assert!(harness.written_to(stream).starts_with("GET /notices "));
    harness.advance(SECOND);
    let vote = harness.establish(&[platform]);
    assert!(harness.written_to(vote).ends_with("image=42&ring=0&opinion=promote"));
    // A second reload with the same addresses changes nothing.
    harness.handle(Event::Reload(address(list), address(platform)));
    assert!(!harness.is_closed(again) && !harness.is_closed(stream) && harness.dialled(&[list]).len() == 1);
}

#[test]
fn unknown_or_invalid_datagrams_change_nothing() {
    let mut harness = Harness::new();
    harness.handle(Event::Datagram("127.0.0.9:1".parse().expect("an address"), vec![1; 256]));
    harness.handle(Event::Datagram("127.0.0.1:7302".parse().expect("an address"), vec![0xff; 256]));
    assert_eq!(harness.log_count("datagram from 127.0.0.9:1 left out"), 1);
    let (client, server) = harness.start_attempt(Harness::request_view);
    harness.receive(server, OK_RESPONSE);
    assert_eq!(harness.status(client), "200");
}

#[test]
fn a_full_table_sheds_idle_clients_first_and_rejects_the_rest() {
    let mut harness = Harness::new();
    let idle = harness.connect_client();
    harness.advance(SECOND);
    let mut busy = Vec::new();
    while !harness.is_closed(idle) {
        let client = harness.connect_client();
        harness.request_view(client);
        busy.push(client);
    }
    // A request that arrives from the idle client while it is being closed is answered.
    harness.receive(idle, "GET /_health HTTP/1.1\r\n\r\n");
    assert_eq!((harness.status(idle).as_str(), harness.log_count("code=shed")), ("200", 0));
    // The last client took the idle one's place; all clients have open requests now.
    let surplus = harness.connect_client();
    harness.request_view(surplus);
    assert_eq!((harness.status(surplus).as_str(), harness.is_closed(surplus)), ("503", true));
    assert!(busy.iter().all(|client| harness.written_to(*client).is_empty() && !harness.is_closed(*client)));
}

#[test]
fn mute_clients_are_shed_first_and_recently_connected_or_answered_ones_are_not() {
    let mut harness = Harness::new();
    let (answered, server) = harness.start_attempt(Harness::request_view);
    let mute = harness.connect_client();
    harness.advance(SECOND / 5);
    harness.receive(server, OK_RESPONSE);
    harness.handle(Event::Written(answered));
    harness.advance(SECOND / 5);
    let others: Vec<ConnectionId> = (0..47).map(|_| harness.connect_client()).collect();
    assert!(
        harness.is_closed(mute)
            && ![answered, others[0], others[46]].iter().any(|client| harness.is_closed(*client))
    );
    // A further client is one too many: its first request is rejected.
    let surplus = harness.connect_client();
    harness.request_view(surplus);
    assert_eq!((harness.status(surplus).as_str(), harness.is_closed(surplus)), ("503", true));
}

#[test]
fn a_flood_of_clients_leaves_room_for_servers_and_votes() {
    let mut harness = Harness::new();
    let flood: Vec<ConnectionId> = (0..70).map(|_| harness.connect_client()).collect();
    let last = flood[69];
    assert!(harness.is_closed(last) && !harness.is_closed(flood[0]));
    // A request that arrives from it nevertheless is answered.
    harness.request_view(last);
    assert_eq!(harness.status(last), "503");
    harness.request_view(flood[0]);
    assert_eq!(harness.dialled(&[SERVER_A, SERVER_B]).len(), 1);
    // A surplus client that sends nothing is closed after a second.
    assert!(!harness.is_closed(flood[50]));
    harness.advance(1100 * MS);
    assert!(harness.is_closed(flood[50]) && !harness.is_closed(flood[1]));
}

#[test]
fn a_stop_answers_open_requests_and_accepts_late_ones() {
    let mut harness = Harness::new();
    let idle = harness.connect_client();
    let (client, server) = harness.start_attempt(Harness::request_view);
    harness.handle(Event::Stop);
    assert!(harness.is_closed(idle) && !harness.is_closed(client));
    let (late, second) = harness.start_attempt(Harness::request_view);
    let health = harness.connect_client();
    harness.receive(health, "GET /_health HTTP/1.1\r\n\r\n");
    assert_eq!(harness.status(health), "503");
    harness.handle(Event::Written(health));
    harness.advance(510 * MS);
    assert!(harness.effects.contains(&Effect::StopListening) && !harness.effects.contains(&Effect::Exit));
    for (client, server) in [(client, server), (late, second)] {
        harness.receive(server, OK_RESPONSE);
        assert!(harness.written_to(client).contains("Connection: close\r\n"));
        harness.handle(Event::Written(client));
    }
    assert!(harness.effects.contains(&Effect::Exit));
}

fn long_deadline_request(line: &str, id: ConnectionId) -> String {
    format!("{line} HTTP/1.1\r\nReq-Id: l{}\r\nReq-Deadline-Ms: 9000\r\n\r\n", id.0)
}

#[test]
fn a_stop_answers_clients_that_wait_longer_than_there_is_time_to_stop() {
    let mut harness = Harness::new();
    let [(view, _), (print, _)] = [
        harness.start_attempt(|harness, id| harness.receive(id, &long_deadline_request("GET /view/1", id))),
        harness.start_attempt(|harness, id| harness.receive(id, &long_deadline_request("POST /print", id))),
    ];
    harness.handle(Event::Stop);
    harness.advance(3_450 * MS);
    assert_eq!((harness.written_to(view).len(), harness.written_to(print).len()), (0, 0));
    harness.advance(60 * MS);
    assert_eq!((harness.status(view).as_str(), harness.status(print).as_str()), ("503", "504"));
    assert!(!harness.effects.contains(&Effect::Exit));
    harness.handle(Event::Written(view));
    harness.handle(Event::Written(print));
    assert!(harness.effects.contains(&Effect::Exit));
}

#[test_case(&["listen"], json!("nowhere"); "listen")]
#[test_case(&["discovery"], json!(null); "discovery")]
#[test_case(&["seed"], json!("xyz"); "seed")]
#[test_case(&["limits", "sockets"], json!(3); "limits.sockets")]
#[test_case(&["limits", "memory_mb"], json!("much"); "limits.memory_mb")]
#[test_case(&["peers"], json!(["x"]); "peers")]
#[test_case(&["discovery"], json!("127.0.0.1:0"); "discovery is the gateway itself")]
#[test_case(&["rollouts", "address"], json!(7); "rollouts.address")]
#[test_case(&["rollouts", "news"], json!({"image": 1}); "rollouts.news")]
#[test_case(&["known"], json!([]); "known")]
#[test_case(&["settings", "classes"], json!([]); "settings.classes")]
fn a_faulty_key_is_named_with_what_was_found(path: &[&str], value: Value) {
    let mut file = config_file();
    let (last, outer) = path.split_last().expect("a path");
    outer.iter().fold(&mut file, |value, part| &mut value[*part])[*last] = value;
    let faults = config::check(&file.to_string(), |_| None).expect_err("a fault");
    assert_eq!(faults.iter().map(|fault| fault.key.as_str()).collect::<Vec<_>>(), [path.join(".")]);
}

#[test]
fn all_faults_are_reported_together_and_variables_take_precedence() {
    let mut file = config_file();
    (file["seed"], file["peers_all"]) = (json!(""), json!(1));
    let faults = config::check(&file.to_string(), |_| None).expect_err("faults");
    assert_eq!(faults.len(), 2);
    let variable = |name: &str| (name == "EDGE_LISTEN").then(|| "127.0.0.1:99".to_owned());
    let config = config::check(&config_file().to_string(), variable).expect("a good configuration");
    assert_eq!((config.listen.port(), config.overrides.len()), (99, 1));
}

#[test]
fn a_reload_takes_the_new_addresses_and_names_keys_that_need_a_restart() {
    let variable = |name: &str| (name == "EDGE_DISCOVERY").then(|| "127.0.0.1:71".to_owned());
    let mut file = config_file();
    let check = |file: &Value| config::check(&file.to_string(), variable).expect("a good configuration");
    let mut config = check(&file);
    assert!(config.reload(check(&file)).is_empty());
    assert_eq!((config.discovery.port(), config.platform.port()), (71, 7200));
    (file["discovery"], file["rollouts"]["address"]) = (json!("127.0.0.1:72"), json!("127.0.0.1:73"));
    file["limits"]["sockets"] = json!(99);
    assert_eq!(config.reload(check(&file)), ["limits"]);
    assert_eq!((config.discovery.port(), config.platform.port(), config.max_descriptors), (72, 73, 80));
}

// ---- sessions ----

fn harness_with_websockets() -> Harness {
    let text = r#"{"websocket": {"profiles": ["view"], "sessions": 2, "key_header": "Session-Key"}}"#;
    Harness::with_operator(
        &config_file(),
        &garnetdoor_operator::parse(text, None).expect("a good operator file"),
    )
}

const UPGRADE_REQUEST: &str = "GET /view/1 HTTP/1.1\r\nReq-Id: w1\r\nReq-Deadline-Ms: 400\r\nUpgrade: websocket\r\n\
    Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n";
const SWITCHING_PROTOCOLS: &str = "HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n\
    Sec-WebSocket-Accept: s3pPLMBiTxaQ9kYGzzhZRbK+xOo=\r\n\r\n";

/// Starts an upgrade whose attempt is completely written; returns the client's and the server's connection.
fn start_upgrade(harness: &mut Harness) -> (ConnectionId, ConnectionId) {
    let client = harness.connect_client();
    harness.receive(client, &UPGRADE_REQUEST.replace("w1", &format!("w{}", client.0)));
    let server = *harness.dialled(&[SERVER_A, SERVER_B]).last().expect("an attempt");
    harness.handle(Event::Connected(server));
    harness.handle(Event::Written(server));
    (client, server)
}

/// The bytes that were read before each join.
fn joins(harness: &Harness) -> Vec<[Vec<u8>; 2]> {
    let join = |effect: &Effect| {
        if let Effect::JoinSession(join) = effect { Some(join.already_read.clone()) } else { None }
    };
    harness.effects.iter().filter_map(join).collect()
}

#[test]
fn bytes_in_flight_when_two_connections_are_joined_are_included() {
    let mut harness = harness_with_websockets();
    let (client, server) = start_upgrade(&mut harness);
    harness.receive(client, "early");
    harness.receive(server, &format!("{SWITCHING_PROTOCOLS}glued"));
    assert!(harness.written_to(client).starts_with("HTTP/1.1 101 "));
    // The connections had read more than the reducer had seen; the join is tried again once it has these
    // bytes.
    harness.handle(Event::Joined(garnetdoor_sessions::SessionId(0), false));
    harness.receive(client, " and late");
    let [first, second] = joins(&harness).try_into().expect("two joins");
    assert_eq!(first, [b"early".to_vec(), b"glued".to_vec()]);
    assert_eq!(second, [b"early and late".to_vec(), b"glued".to_vec()]);
}

#[test]
fn a_client_that_closes_before_the_join_ends_the_server_connection() {
    let mut harness = harness_with_websockets();
    let (client, server) = start_upgrade(&mut harness);
    harness.receive(server, SWITCHING_PROTOCOLS);
    harness.handle(Event::Joined(garnetdoor_sessions::SessionId(0), false));
    harness.handle(Event::Closed(client));
    assert!(harness.effects.contains(&Effect::ShutdownWrite(server)));
    harness.advance(3 * SECOND);
    assert!(
        harness
            .effects
            .iter()
            .any(|effect| matches!(effect, Effect::AbortSession(_, _, conns) if *conns == [client, server]))
    );
    assert_eq!(harness.log_count("end session=w0 code=client-left"), 1);
}

#[test]
fn a_101_whose_client_has_left_opens_no_session() {
    let mut harness = harness_with_websockets();
    let (client, server) = start_upgrade(&mut harness);
    harness.handle(Event::Closed(client));
    harness.receive(server, SWITCHING_PROTOCOLS);
    assert!(joins(&harness).is_empty() && harness.is_closed(server));
    // Its place is free again, for one of the two sessions that may exist.
    for _ in 0..2 {
        let (client, server) = start_upgrade(&mut harness);
        harness.receive(server, SWITCHING_PROTOCOLS);
        assert!(harness.written_to(client).starts_with("HTTP/1.1 101 "));
    }
    let third = harness.connect_client();
    harness.receive(third, &UPGRADE_REQUEST.replace("w1", "w999"));
    assert!(
        harness.written_to(third).starts_with("HTTP/1.1 503 ")
            && harness.written_to(third).contains("Retry-After: ")
    );
}

#[test]
fn an_upgrade_to_a_server_that_drains_while_it_is_dialled_is_not_written() {
    let mut harness = harness_with_websockets();
    let watch = harness.open_watch();
    let client = harness.connect_client();
    harness.receive(client, UPGRADE_REQUEST);
    let dialled = harness.dialled(&[SERVER_A, SERVER_B]);
    let names =
        [("s-a", SERVER_A), ("s-b", SERVER_B)].map(|(name, address)| list_entry(name, address, "draining"));
    harness.receive_list_line(watch, &list_json(6, false, &names).to_string());
    harness.handle(Event::Connected(dialled[0]));
    assert_eq!(harness.written_to(dialled[0]), "");
    assert!(harness.written_to(client).starts_with("HTTP/1.1 503 "), "{}", harness.written_to(client));
}

#[test]
fn handshakes_split_at_every_position_open_the_same_session() {
    for at in 1..UPGRADE_REQUEST.len() {
        let mut harness = harness_with_websockets();
        let client = harness.connect_client();
        harness.receive(client, &UPGRADE_REQUEST[..at]);
        assert!(harness.dialled(&[SERVER_A, SERVER_B]).is_empty(), "split at {at}");
        harness.receive(client, &UPGRADE_REQUEST[at..]);
        assert_eq!(harness.dialled(&[SERVER_A, SERVER_B]).len(), 1, "split at {at}");
    }
    for at in 1..SWITCHING_PROTOCOLS.len() {
        let mut harness = harness_with_websockets();
        let (client, server) = start_upgrade(&mut harness);
        harness.receive(server, &SWITCHING_PROTOCOLS[..at]);
        assert!(joins(&harness).is_empty() && harness.written_to(client).is_empty(), "split at {at}");
        harness.receive(server, &SWITCHING_PROTOCOLS[at..]);
        let nothing: [Vec<u8>; 2] = Default::default();
        assert_eq!(joins(&harness), [nothing], "split at {at}");
    }
}

#[test]
fn refusals_are_logged_by_cause_and_counted_for_a_second() {
    let mut file = config_file();
    file["known"] = list_json(5, true, &[]);
    let mut harness = Harness::with(&file);
    for _ in 0..3 {
        let client = harness.connect_client();
        harness.request_view(client);
    }
    assert_eq!(harness.log_count("refused for=no-server"), 1);
    harness.advance(SECOND);
    assert_eq!(harness.log_count("refused for=no-server more=2"), 1);
    harness.advance(2 * SECOND);
    assert_eq!(harness.log_count("refused"), 2, "nothing more to log");
    let client = harness.connect_client();
    harness.request_view(client);
    assert_eq!(harness.log_count("refused for=no-server"), 3);
}

#[test]
fn a_request_over_the_open_limit_is_logged_as_refused() {
    let mut file = config_file();
    file["settings"]["policy_limits"]["max_open"] = json!(1);
    let mut harness = Harness::with(&file);
    for _ in 0..2 {
        let client = harness.connect_client();
        harness.request_view(client);
    }
    assert_eq!((harness.log_count("refused for=max-open"), harness.log_count("refused")), (1, 1));
}
