//! A control node, a gateway, and instances that follow a script of hand-written bytes, for tests of what clients get.

// Each test program uses a part of it.
#![allow(dead_code)]

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use hyper::Method;
use membership::Role;
use playhouse::demo::client::{HttpRequest, call};
use playhouse::demo::cluster::{self, NodeIndex, TestCluster};
use playhouse::demo::operator::{Operator, Route, full_configuration};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, SemaphorePermit};

pub const HOST: &str = "rough.example";
/// No wait takes this long unless something is wrong.
pub const LONG: Duration = Duration::from_secs(15);

/// The attempt id of probe requests, which every instance answers and does not record.
pub const PROBE: &str = "probe";

/// One step of what an instance does with a request whose head it has read.
pub enum Step {
    /// Reads the request's body.
    Body,
    /// Writes these bytes.
    Write(Vec<u8>),
    /// Waits until the test adds a permit.
    Gate(Arc<Semaphore>),
    /// Does nothing until the connection is closed.
    Hang,
    Close,
    Reset,
}
pub use Step::{Body, Close, Gate, Hang, Reset, Write};

/// A request as an instance received it.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    pub service: String,
    /// How often the same attempt was received before.
    pub repeat: usize,
    /// The connection, by the gateway's port.
    pub port: u16,
    pub head: String,
    pub attempt: String,
    pub body: Vec<u8>,
    /// The body was received completely.
    pub whole: bool,
    /// The connection broke while the response was written, or while the instance did nothing.
    pub broke: bool,
}

pub type Script = Arc<dyn Fn(&ReceivedRequest) -> Vec<Step> + Send + Sync>;

#[derive(Clone, Default)]
pub struct Record(Arc<Mutex<Vec<ReceivedRequest>>>, Arc<Mutex<HashMap<String, usize>>>);

impl Record {
    /// How many connections the instances of a service have open.
    pub fn open_connections(&self, service: &str) -> usize {
        self.connections().get(service).copied().unwrap_or(0)
    }

    fn connections(&self) -> MutexGuard<'_, HashMap<String, usize>> {
        self.1.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn with<T>(&self, act: impl FnOnce(&mut Vec<ReceivedRequest>) -> T) -> T {
        act(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }

    pub fn of(&self, fits: impl Fn(&ReceivedRequest) -> bool) -> Vec<ReceivedRequest> {
        self.with(|all| all.iter().filter(|heard| fits(heard)).cloned().collect())
    }

    pub fn attempt(&self, attempt: &str) -> Vec<ReceivedRequest> {
        self.of(|heard| heard.attempt == attempt)
    }
}

/// A parsed HTTP message.
#[derive(Debug, Default)]
pub struct Message {
    pub head: String,
    pub body: Vec<u8>,
    /// The body was complete, by the length that the head announces.
    pub whole: bool,
}

impl Message {
    pub fn status(&self) -> u16 {
        self.head.get(9..12).and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    pub fn header(&self, name: &str) -> &str {
        header(&self.head, name)
    }
}

pub fn header<'a>(head: &'a str, name: &str) -> &'a str {
    let mut lines = head.lines().skip(1).filter_map(|line| line.split_once(':'));
    lines.find(|(found, _)| found.eq_ignore_ascii_case(name)).map_or("", |(_, value)| value.trim())
}

/// A connection with the bytes that were read ahead.
pub struct Connection {
    pub stream: TcpStream,
    pub ahead: Vec<u8>,
}

impl Connection {
    pub async fn open(to: SocketAddrV4) -> Connection {
        Connection { stream: TcpStream::connect(to).await.expect("a connection"), ahead: Vec::new() }
    }

    pub async fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).await.expect("bytes are taken");
    }

    /// Reads more bytes; false at the end, after a reset, or if nothing arrives within `LONG`.
    pub async fn more(&mut self) -> bool {
        let read = tokio::time::timeout(LONG, self.stream.read_buf(&mut self.ahead)).await;
        matches!(read, Ok(Ok(bytes)) if bytes > 0)
    }

    pub async fn head(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.ahead.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                let head: Vec<u8> = self.ahead.drain(..end + 4).collect();
                return Some(String::from_utf8_lossy(&head).into_owned());
            }
            if !self.more().await {
                return None;
            }
        }
    }

    pub async fn exactly(&mut self, bytes: usize) -> (Vec<u8>, bool) {
        while self.ahead.len() < bytes && self.more().await {}
        let have = bytes.min(self.ahead.len());
        (self.ahead.drain(..have).collect(), have == bytes)
    }

    pub async fn body(&mut self, head: &str, answer: bool) -> (Vec<u8>, bool) {
        if header(head, "Transfer-Encoding").eq_ignore_ascii_case("chunked") {
            let mut body = Vec::new();
            loop {
                while !self.ahead.windows(2).any(|bytes| bytes == b"\r\n") {
                    if !self.more().await {
                        return (body, false);
                    }
                }
                let end = self.ahead.windows(2).position(|bytes| bytes == b"\r\n").expect("just seen");
                let size: Vec<u8> = self.ahead.drain(..end + 2).collect();
                let size = String::from_utf8_lossy(&size[..end]).into_owned();
                let size = usize::from_str_radix(size.trim(), 16).expect("a size");
                let (piece, whole) = self.exactly(size + 2).await;
                body.extend_from_slice(&piece[..piece.len().min(size)]);
                if size == 0 || !whole {
                    return (body, whole);
                }
            }
        }
        match header(head, "Content-Length").parse() {
            Ok(length) => self.exactly(length).await,
            Err(_) if answer => (Vec::new(), false),
            Err(_) => (Vec::new(), true),
        }
    }

    /// Reads the next response; `None` if the connection ends before its head is complete.
    pub async fn answer(&mut self) -> Option<Message> {
        let head = self.head().await?;
        if head.starts_with("HTTP/1.1 100") || head.starts_with("HTTP/1.1 204") {
            return Some(Message { head, body: Vec::new(), whole: true });
        }
        let (body, whole) = self.body(&head, true).await;
        Some(Message { head, body, whole })
    }

    /// Whether the connection is closed in order, with no further bytes.
    pub async fn ends(&mut self) -> bool {
        self.ahead.is_empty()
            && matches!(tokio::time::timeout(LONG, self.stream.read_u8()).await,
            Ok(Err(error)) if error.kind() == std::io::ErrorKind::UnexpectedEof)
    }
}

/// Starts an instance that follows `script`; it ends with the test's runtime.
pub async fn instance(service: &str, script: Script, record: Record) -> SocketAddrV4 {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("an address");
    let SocketAddr::V4(address) = listener.local_addr().expect("its address") else { panic!("IPv4") };
    let service = service.to_owned();
    tokio::spawn(async move {
        while let Ok((stream, from)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            let (service, script, record) = (service.clone(), script.clone(), record.clone());
            tokio::spawn(async move {
                *record.connections().entry(service.clone()).or_default() += 1;
                serve(stream, from.port(), service.clone(), script, record.clone()).await;
                *record.connections().entry(service).or_default() -= 1;
            });
        }
    });
    address
}

pub async fn serve(stream: TcpStream, port: u16, service: String, script: Script, record: Record) {
    let mut line = Connection { stream, ahead: Vec::new() };
    while let Some(head) = head_or_end(&mut line).await {
        let attempt = header(&head, "Attempt-Id").to_owned();
        let mut heard = ReceivedRequest {
            service: service.clone(),
            repeat: 0,
            port,
            head,
            attempt,
            body: Vec::new(),
            whole: false,
            broke: false,
        };
        if heard.attempt == PROBE {
            if line.stream.write_all(&ok_response(&heard, b"")).await.is_err() {
                return;
            }
            continue;
        }
        let at = record.with(|all| {
            heard.repeat = all.iter().filter(|other| other.attempt == heard.attempt).count();
            all.push(heard.clone());
            all.len() - 1
        });
        for step in script(&heard) {
            let goes_on = match step {
                Body => {
                    let (body, whole) = line.body(&heard.head, false).await;
                    record.with(|all| (all[at].body, all[at].whole) = (body, whole));
                    whole
                }
                Write(bytes) => line.stream.write_all(&bytes).await.is_ok(),
                Gate(gate) => gate.acquire().await.map(|permit| permit.forget()).is_ok(),
                Hang => {
                    while matches!(line.stream.read_buf(&mut line.ahead).await, Ok(bytes) if bytes > 0) {}
                    false
                }
                Close => return,
                Reset => {
                    let _ = line.stream.set_zero_linger();
                    return;
                }
            };
            if !goes_on {
                return record.with(|all| all[at].broke = true);
            }
        }
    }
}

/// Reads the next request head without a time limit; `None` at the end of the connection.
pub async fn head_or_end(line: &mut Connection) -> Option<String> {
    loop {
        if line.ahead.windows(4).any(|bytes| bytes == b"\r\n\r\n") {
            return line.head().await;
        }
        match line.stream.read_buf(&mut line.ahead).await {
            Ok(bytes) if bytes > 0 => {}
            _ => return None,
        }
    }
}

/// A response with the headers of the attempt protocol and the given ones.
pub fn response(heard: &ReceivedRequest, status: &str, more: &str, body: &[u8]) -> Vec<u8> {
    let id = &heard.attempt;
    let mut answer = format!("HTTP/1.1 {status}\r\nAttempt-Id: {id}\r\n{more}\r\n").into_bytes();
    answer.extend_from_slice(body);
    answer
}

pub fn ok_response(heard: &ReceivedRequest, body: &[u8]) -> Vec<u8> {
    response(heard, "200 OK", &format!("Server-Seal: s\r\nContent-Length: {}\r\n", body.len()), body)
}

pub fn chunked_response(heard: &ReceivedRequest, more: &str, pieces: &[&[u8]], end: &str) -> Vec<u8> {
    let mut body = Vec::new();
    for piece in pieces {
        body.extend_from_slice(format!("{:x}\r\n", piece.len()).as_bytes());
        body.extend_from_slice(piece);
        body.extend_from_slice(b"\r\n");
    }
    body.extend_from_slice(end.as_bytes());
    response(heard, "200 OK", &format!("Server-Seal: s\r\n{more}Transfer-Encoding: Chunked\r\n"), &body)
}

pub fn pseudorandom_bytes(bytes: usize) -> Vec<u8> {
    (0..bytes as u32).map(|n| (n.wrapping_mul(2_654_435_761) >> 24) as u8).collect()
}

/// A request with the headers of the attempt protocol, a remaining time in ms, and the given ones.
pub fn request_bytes(line: &str, attempt: &str, wait: u32, more: &str, body: &[u8]) -> Vec<u8> {
    let mut request = format!(
        "{line} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {attempt}\r\nRemaining-Time: {wait}\r\n{more}\r\n"
    )
    .into_bytes();
    request.extend_from_slice(body);
    request
}

pub fn post_bytes(service: &str, attempt: &str, wait: u32, body: &[u8]) -> Vec<u8> {
    request_bytes(
        &format!("POST /{service}/1"),
        attempt,
        wait,
        &format!("Content-Length: {}\r\n", body.len()),
        body,
    )
}

/// One control node, one gateway, and scripted instances.
pub struct Cluster {
    pub stage: TestCluster,
    pub foyer: NodeIndex,
    pub record: Record,
    /// The configuration in force, and its version.
    configuration: String,
    version: u32,
    _place: SemaphorePermit<'static>,
}

/// Clusters of one process that have addresses of their own at the same time.
static PLACES: Semaphore = Semaphore::const_new(4);

impl Cluster {
    /// `scripted_services`: name, kind of route, number of instances and script of each. `settings` and `limits` replace
    /// texts in the gateway's settings and in the configuration.
    pub async fn open(
        scripted_services: Vec<(&str, &str, usize, Script)>, settings: &[(&str, &str)],
        limits: &[(&str, &str)],
    ) -> Cluster {
        let plan = cluster::ClusterConfig {
            program: std::env::var_os("ROUGH_PROGRAM")
                .map_or_else(|| env!("CARGO_BIN_EXE_playhouse").into(), Into::into),
            control_nodes: 1,
            gateways: 1,
            folder: None,
            log: "info".to_owned(),
        };
        let place = PLACES.acquire().await.expect("never closed");
        let mut stage = TestCluster::create(plan).expect("a stage");
        let foyer = stage.nodes(Role::Gateway)[0];
        let path = stage.folder().join(format!("{}.toml", stage.name(foyer)));
        let mut text = std::fs::read_to_string(&path).expect("its settings");
        for (from, to) in settings {
            assert!(text.contains(from), "{from}");
            text = text.replace(from, to);
        }
        std::fs::write(&path, text).expect("its settings");
        stage.start_all().expect("nodes that start");
        let routes: Vec<Route> = scripted_services
            .iter()
            .map(|(service, kind, ..)| Route::new(service, HOST, &format!("/{service}/"), kind, service))
            .collect();
        let services: Vec<String> =
            scripted_services.iter().map(|(service, ..)| (*service).to_owned()).collect();
        let named: Vec<&str> = services.iter().map(String::as_str).collect();
        let mut text = full_configuration(1, &routes, &named).replace("\"TimeoutS\":2", "\"TimeoutS\":8");
        for (from, to) in limits {
            assert!(text.contains(from), "{from}");
            text = text.replace(from, to);
        }
        let record = Record::default();
        let mut beats = Vec::new();
        for (service, _, count, script) in scripted_services {
            for number in 0..count {
                let address = instance(service, script.clone(), record.clone()).await;
                beats.push((format!("i-{service}-{number}"), service.to_owned(), address));
            }
        }
        let (prompter, instances) = (stage.control_addresses()[0], beats.len());
        let taken = Operator::new(vec![prompter]).replace(0, 0, &text).await.expect("an answer");
        assert_eq!(taken.status.as_u16(), 200, "{}", taken.text());
        tokio::spawn(async move {
            for beat in 1.. {
                for (id, service, address) in &beats {
                    let body = format!(
                        "{{\"Address\":\"{address}\",\"NodeInfo\":{{\"TargetService\":\"{service}\",\
                         \"ConfigVersion\":\"v1\",\"Zone\":\"stalls-a\",\"CapacitySlots\":50}},\"Status\":{{\
                         \"State\":\"in_service\",\"CallSequence\":{beat},\"WarmupLeftS\":0}}}}"
                    );
                    let ask =
                        HttpRequest::new(Method::POST, &format!("/api/Instances.Heartbeat/{id}")).json(body);
                    let _ = call(prompter, &ask, LONG).await;
                }
                tokio::time::sleep(Duration::from_millis(400)).await;
            }
        });
        let cluster = Cluster { stage, foyer, record, configuration: text, version: 1, _place: place };
        let (status, began) = (cluster.stage.readiness(foyer), Instant::now());
        let ask = HttpRequest::new(Method::GET, "/api/status");
        let all = format!("\"InService\":{instances},");
        while !call(status, &ask, LONG).await.is_ok_and(|answer| answer.text().contains(&all)) {
            assert!(began.elapsed() < LONG, "{}", cluster.stage.logs(20));
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        for service in services {
            let probe = request_bytes(&format!("GET /{service}/1"), PROBE, 2_000, "", b"");
            while cluster.once(&probe).await.is_none_or(|got| got.status() != 200) {
                assert!(began.elapsed() < LONG, "{service}\n{}", cluster.stage.logs(20));
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
        cluster
    }

    /// Replaces texts in the configuration by a new version, and waits until the gateway routes by it.
    pub async fn change(&mut self, edits: &[(&str, &str)]) {
        let (base, version) = (self.version, self.version + 1);
        let number = |version: u32| format!("\"ConfigVersion\":\"{version:08x}\"");
        let mut text = self.configuration.replace(&number(base), &number(version));
        for (from, to) in edits {
            assert!(text.contains(from), "{from}");
            text = text.replace(from, to);
        }
        let operator = Operator::new(vec![self.stage.control_addresses()[0]]);
        let taken = operator.replace(0, base, &text).await.expect("an answer");
        assert_eq!(taken.status.as_u16(), 200, "{}", taken.text());
        (self.configuration, self.version) = (text, version);
        let (status, ask) = (self.stage.readiness(self.foyer), HttpRequest::new(Method::GET, "/api/status"));
        let (began, in_force) = (Instant::now(), number(version));
        while !call(status, &ask, LONG).await.is_ok_and(|answer| answer.text().contains(&in_force)) {
            assert!(began.elapsed() < LONG, "{}", self.stage.logs(20));
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    pub fn front(&self) -> SocketAddrV4 {
        self.stage.frontend(self.foyer)
    }

    pub async fn line(&self) -> Connection {
        Connection::open(self.front()).await
    }

    /// Sends one request on a connection of its own and returns the response.
    pub async fn once(&self, request: &[u8]) -> Option<Message> {
        once(self.front(), request).await
    }

    /// Waits until an instance has received a matching request.
    pub async fn heard(&self, what: &str, fits: impl Fn(&ReceivedRequest) -> bool) -> ReceivedRequest {
        let began = Instant::now();
        loop {
            if let Some(heard) = self.record.of(&fits).pop() {
                return heard;
            }
            assert!(began.elapsed() < LONG, "{what}\n{}", self.stage.logs(20));
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}

pub async fn once(to: SocketAddrV4, request: &[u8]) -> Option<Message> {
    let mut line = Connection::open(to).await;
    line.send(request).await;
    line.answer().await
}

pub fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(test);
}

pub fn script(steps: impl Fn(&ReceivedRequest) -> Vec<Step> + Send + Sync + 'static) -> Script {
    Arc::new(steps)
}

pub fn correct(h: &ReceivedRequest) -> Vec<Step> {
    if h.attempt.is_empty() {
        let refused = b"HTTP/1.1 400 No id\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n".to_vec();
        return vec![Body, Write(refused)];
    }
    if h.head.starts_with("HEAD ") {
        return vec![Write(response(h, "200 OK", "Server-Seal: s\r\nContent-Length: 7\r\n", b""))];
    }
    vec![Body, Write(ok_response(h, b"honest"))]
}
