//! Audience (stand-in clients): one call over HTTP/1.1, and a crowd that asks at a rate through foyers that call
//! themselves ready, tries again only where that is allowed, and counts what came of it.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::{HeaderMap, Method, Request, StatusCode, header};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// Bytes of an answer at most.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// Tries of one request at most, as clients of the system make them.
const MAX_ATTEMPTS: usize = 4;
/// A pause before a further try where the answer names none.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// A foyer that misses its readiness so often gets no new connections.
const UNREADY_PROBES: u32 = 2;
/// Requests open at once; more are not begun, and count as failed.
const MAX_OPEN_REQUESTS: usize = 2_000;

/// Locks what no holder leaves half-changed.
pub fn lock<T>(what: &Mutex<T>) -> MutexGuard<'_, T> {
    what.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Why a call got no answer.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    #[error("no connection to {0}: {1}")]
    Connect(SocketAddrV4, std::io::Error),
    #[error("{0} closed the connection before anything was sent")]
    Unsent(SocketAddrV4),
    #[error("the exchange with {0} broke off: {1}")]
    Broken(SocketAddrV4, Box<dyn std::error::Error + Send + Sync>),
    #[error("{0} did not answer in time")]
    Silent(SocketAddrV4),
    #[error("{0:?} can't be asked for")]
    Request(String),
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct HttpResponse {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl HttpResponse {
    /// A header's text; empty where there is none.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or("")
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// What is asked; `uri` is a path and perhaps a query.
#[derive(Clone, Debug)]
pub struct HttpRequest {
    pub method: Method,
    pub uri: String,
    pub headers: Vec<(String, String)>,
    pub body: Bytes,
    /// The body goes out in chunks of this size instead of with a length.
    pub chunks: Option<usize>,
}

impl HttpRequest {
    pub fn new(method: Method, uri: &str) -> HttpRequest {
        HttpRequest { method, uri: uri.to_owned(), headers: Vec::new(), body: Bytes::new(), chunks: None }
    }

    pub fn with_header(mut self, name: &str, value: impl Into<String>) -> HttpRequest {
        self.headers.push((name.to_owned(), value.into()));
        self
    }

    pub fn json(mut self, body: impl Into<Bytes>) -> HttpRequest {
        self.body = body.into();
        self.with_header("Content-Type", "application/json")
    }
}

/// One client's connection.
pub struct Connection {
    to: SocketAddrV4,
    sender: SendRequest<Sent>,
    task: JoinHandle<()>,
}

type Sent = http_body_util::combinators::UnsyncBoxBody<Bytes, std::convert::Infallible>;

impl Drop for Connection {
    /// The connection goes with whoever holds it.
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Connection {
    pub async fn open(to: SocketAddrV4) -> Result<Connection, CallError> {
        let stream = TcpStream::connect(to).await.map_err(|error| CallError::Connect(to, error))?;
        let _ = stream.set_nodelay(true);
        let shaken = Builder::new().handshake(TokioIo::new(stream)).await;
        let (sender, connection) = shaken.map_err(|error| CallError::Broken(to, error.into()))?;
        let task = tokio::spawn(async move {
            let _ = connection.await;
        });
        Ok(Connection { to, sender, task })
    }

    /// Whether another request can go out here.
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Sends a request and takes the whole answer.
    pub async fn send(&mut self, ask: &HttpRequest) -> Result<HttpResponse, CallError> {
        let broken = |error: hyper::Error| CallError::Broken(self.to, error.into());
        if self.sender.ready().await.is_err() {
            return Err(CallError::Unsent(self.to));
        }
        let request = request(self.to, ask)?;
        let response = match self.sender.try_send_request(request).await {
            Ok(response) => response,
            Err(mut error) => match error.take_message() {
                Some(_) => return Err(CallError::Unsent(self.to)),
                None => return Err(broken(error.into_error())),
            },
        };
        let (head, body) = response.into_parts();
        let body = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
        let body = body.map_err(|error| CallError::Broken(self.to, error))?.to_bytes();
        Ok(HttpResponse { status: head.status, headers: head.headers, body })
    }
}

fn request(to: SocketAddrV4, ask: &HttpRequest) -> Result<Request<Sent>, CallError> {
    let mut request = Request::builder().method(ask.method.clone()).uri(&ask.uri);
    if !ask.headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
        request = request.header(header::HOST, to.to_string());
    }
    for (name, value) in &ask.headers {
        request = request.header(name, value);
    }
    let body = match ask.chunks {
        Some(size) => Chunks { left: ask.body.clone(), size: size.max(1) }.boxed_unsync(),
        None => Full::new(ask.body.clone()).boxed_unsync(),
    };
    request.body(body).map_err(|_| CallError::Request(ask.uri.clone()))
}

/// A body of unknown length.
struct Chunks {
    left: Bytes,
    size: usize,
}

impl hyper::body::Body for Chunks {
    type Data = Bytes;
    type Error = std::convert::Infallible;
    fn poll_frame(
        mut self: std::pin::Pin<&mut Self>, _: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Result<hyper::body::Frame<Bytes>, Self::Error>>> {
        let size = self.size.min(self.left.len());
        let piece = self.left.split_to(size);
        std::task::Poll::Ready((size > 0).then(|| Ok(hyper::body::Frame::data(piece))))
    }
}

/// One call on a connection of its own, over within `wait`.
pub async fn call(to: SocketAddrV4, ask: &HttpRequest, wait: Duration) -> Result<HttpResponse, CallError> {
    let exchange = async { Connection::open(to).await?.send(ask).await };
    timeout(wait, exchange).await.unwrap_or(Err(CallError::Silent(to)))
}

/// What a crowd asks for.
#[derive(Clone, Debug)]
pub struct Workload {
    pub host: String,
    pub path: String,
    pub method: Method,
    /// May be sent again after any failure.
    pub safe: bool,
    /// How long a client waits.
    pub timeout: Duration,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Requests a second.
    pub requests_per_second: f64,
}

/// What became of one request, all of its tries together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A success with the instance's seal, in time.
    Served,
    /// The last word was a promise that it has not run.
    Rejected,
    Failed,
}

/// Counts of a span of time.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    pub served: usize,
    pub rejected: usize,
    pub failed: usize,
    /// From the first try to the whole answer, of those served.
    pub latencies: Vec<Duration>,
    /// What the last try of a failed request came to, and how often.
    pub failures: HashMap<String, usize>,
}

impl Counts {
    pub fn total(&self) -> usize {
        self.served + self.rejected + self.failed
    }

    /// The time that a share of those served did not exceed.
    pub fn quantile(&self, share: f64) -> Option<Duration> {
        let mut took = self.latencies.clone();
        took.sort_unstable();
        let at = (took.len() as f64 * share).ceil() as usize;
        took.get(at.saturating_sub(1).min(took.len().checked_sub(1)?)).copied()
    }

    fn count(&mut self, end: Outcome, took: Duration, fault: String) {
        match end {
            Outcome::Served => {
                self.served += 1;
                self.latencies.push(took);
            }
            Outcome::Rejected => self.rejected += 1,
            Outcome::Failed => {
                self.failed += 1;
                if self.failures.len() < 100 {
                    *self.failures.entry(fault).or_default() += 1;
                }
            }
        }
    }
}

/// The platform before the foyers: asks each whether it is ready, and hands clients to those that are.
pub struct LoadBalancer {
    foyers: Vec<Foyer>,
    next: Mutex<usize>,
}

struct Foyer {
    frontend: SocketAddrV4,
    readiness: SocketAddrV4,
    misses: Mutex<u32>,
}

impl LoadBalancer {
    /// Pairs of frontend and readiness addresses; all count as out until they have answered.
    pub fn new(foyers: Vec<(SocketAddrV4, SocketAddrV4)>) -> Arc<LoadBalancer> {
        let foyer = |(frontend, readiness)| Foyer { frontend, readiness, misses: Mutex::new(UNREADY_PROBES) };
        Arc::new(LoadBalancer { foyers: foyers.into_iter().map(foyer).collect(), next: Mutex::new(0) })
    }

    /// Asks all foyers once whether they are ready.
    pub async fn probe(&self) {
        for foyer in &self.foyers {
            let answer = call(
                foyer.readiness,
                &HttpRequest::new(Method::GET, "/api/readiness"),
                Duration::from_secs(1),
            )
            .await;
            let ready = answer.is_ok_and(|answer| answer.status == StatusCode::OK);
            let mut misses = lock(&foyer.misses);
            *misses = if ready { 0 } else { *misses + 1 };
        }
    }

    /// How many foyers get clients.
    pub fn ready(&self) -> usize {
        self.foyers.iter().filter(|foyer| *lock(&foyer.misses) < UNREADY_PROBES).count()
    }

    /// A foyer for a new connection: in turn, of those that are in; of all where none is.
    pub fn pick(&self) -> SocketAddrV4 {
        let all: Vec<&Foyer> = self.foyers.iter().collect();
        let mut some = all.clone();
        some.retain(|foyer| *lock(&foyer.misses) < UNREADY_PROBES);
        let from = if some.is_empty() { all } else { some };
        let mut next = lock(&self.next);
        *next += 1;
        from[*next % from.len()].frontend
    }
}

/// Asks until it is dropped.
pub struct LoadGenerator {
    counts: Arc<Mutex<Counts>>,
    task: JoinHandle<()>,
}

impl Drop for LoadGenerator {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl LoadGenerator {
    /// Begins to ask for all kinds at their rates. Connections are kept and used again.
    pub fn start(platform: Arc<LoadBalancer>, kinds: Vec<Workload>) -> LoadGenerator {
        let counts: Arc<Mutex<Counts>> = Arc::default();
        let all = counts.clone();
        let task = tokio::spawn(async move {
            let mut askers = tokio::task::JoinSet::new();
            askers.spawn({
                let platform = platform.clone();
                async move {
                    loop {
                        tokio::time::sleep(Duration::from_millis(250)).await;
                        platform.probe().await;
                    }
                }
            });
            for (number, kind) in kinds.into_iter().enumerate() {
                askers.spawn(asks(number, kind, platform.clone(), all.clone()));
            }
            while askers.join_next().await.is_some() {}
        });
        LoadGenerator { counts, task }
    }

    /// What has come of the requests that ended since this was asked last.
    pub fn counts(&self) -> Counts {
        std::mem::take(&mut *lock(&self.counts))
    }
}

async fn asks(number: usize, kind: Workload, platform: Arc<LoadBalancer>, counts: Arc<Mutex<Counts>>) {
    let idle: Arc<Mutex<Vec<Connection>>> = Arc::default();
    let mut ticks =
        tokio::time::interval(Duration::from_secs_f64(1.0 / kind.requests_per_second.clamp(0.1, 10_000.0)));
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut open = tokio::task::JoinSet::new();
    for serial in 0u64.. {
        ticks.tick().await;
        while open.try_join_next().is_some() {}
        if open.len() >= MAX_OPEN_REQUESTS {
            lock(&counts).count(Outcome::Failed, Duration::ZERO, "too many open".to_owned());
            continue;
        }
        let (kind, platform, counts, idle) = (kind.clone(), platform.clone(), counts.clone(), idle.clone());
        open.spawn(async move {
            let began = Instant::now();
            let (end, fault) = request_of(&kind, number, serial, &platform, &idle).await;
            lock(&counts).count(end, began.elapsed(), fault);
        });
    }
}

/// One request with its further tries.
async fn request_of(
    kind: &Workload, number: usize, serial: u64, platform: &LoadBalancer, idle: &Mutex<Vec<Connection>>,
) -> (Outcome, String) {
    let began = Instant::now();
    let body = Bytes::from(vec![b'a' + (serial % 26) as u8; kind.body_bytes]);
    let (mut end, mut fault) = (Outcome::Failed, "not begun".to_owned());
    for number_of_try in 0..MAX_ATTEMPTS {
        let Some(left) = kind.timeout.checked_sub(began.elapsed()).filter(|left| !left.is_zero()) else {
            break;
        };
        let mut ask = HttpRequest::new(kind.method.clone(), &format!("{}{serial}", kind.path))
            .with_header("Host", kind.host.clone())
            .with_header("Attempt-Id", format!("{number:02x}{serial:012x}{number_of_try:02x}"))
            .with_header("Remaining-Time", left.as_millis().to_string());
        ask.body = body.clone();
        let answer = timeout(left, one(&ask, number_of_try == 0, platform, idle)).await;
        let pause = match answer {
            Err(_) => return (Outcome::Failed, "no answer in time".to_owned()),
            Ok(Err(error)) => {
                (end, fault) = (Outcome::Failed, error.to_string());
                let never_sent = matches!(error, CallError::Connect(..) | CallError::Unsent(_));
                if !kind.safe && !never_sent {
                    break;
                }
                DEFAULT_RETRY_DELAY
            }
            Ok(Ok(answer)) => {
                let sealed = !answer.header("Server-Seal").is_empty();
                let status = answer.status.as_u16();
                fault = format!("status {status}");
                end = match status {
                    200..300 if sealed => return (Outcome::Served, String::new()),
                    429 | 503 | 408 | 421 => Outcome::Rejected,
                    _ => Outcome::Failed,
                };
                let over = matches!(status, 200..400 | 400 | 401 | 404 | 413 | 431);
                if over || (end == Outcome::Failed && !kind.safe) {
                    break;
                }
                let told = answer.header("Retry-After").parse::<f64>().ok();
                let told = told.filter(|told| (0.0..60.0).contains(told)).map(Duration::from_secs_f64);
                told.unwrap_or(DEFAULT_RETRY_DELAY)
            }
        };
        tokio::time::sleep(pause.min(left / 3)).await;
    }
    (end, fault)
}

/// One try: on an idle connection at first, on a new one later.
async fn one(
    ask: &HttpRequest, first: bool, platform: &LoadBalancer, idle: &Mutex<Vec<Connection>>,
) -> Result<HttpResponse, CallError> {
    let kept = first.then(|| lock(idle).pop()).flatten().filter(Connection::is_open);
    let mut line = match kept {
        Some(line) => line,
        None => Connection::open(platform.pick()).await?,
    };
    let answer = line.send(ask).await?;
    let closes = answer.header("Connection").eq_ignore_ascii_case("close");
    if !closes && line.is_open() {
        lock(idle).push(line);
    }
    Ok(answer)
}
