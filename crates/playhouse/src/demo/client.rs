//! Simulated HTTP/1.1 clients: single calls, and a load generator that sends requests at a fixed rate through the
//! gateways that report ready, retries only where that is allowed, and counts the outcomes.

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

/// Longest response body in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// Most attempts per request, as clients of the system make them.
const MAX_ATTEMPTS: usize = 4;
/// Delay before a retry if the response has no `Retry-After`.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// A gateway that fails this many readiness probes in a row gets no new connections.
const MAX_FAILED_PROBES: u32 = 2;
/// Most open requests; further requests are not sent and count as failed.
const MAX_OPEN_REQUESTS: usize = 2_000;

/// Locks a mutex and ignores poisoning: no holder leaves its data half changed.
pub fn lock<T>(what: &Mutex<T>) -> MutexGuard<'_, T> {
    what.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Why a call got no response.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    #[error("no connection to {0}: {1}")]
    Connect(SocketAddrV4, std::io::Error),
    #[error("{0} closed the connection before anything was sent")]
    NotSent(SocketAddrV4),
    #[error("the exchange with {0} broke off: {1}")]
    Broken(SocketAddrV4, Box<dyn std::error::Error + Send + Sync>),
    #[error("{0} did not answer in time")]
    Timeout(SocketAddrV4),
    #[error("{0:?} can't be asked for")]
    Request(String),
}

/// A response with its whole body.
#[derive(Clone, Debug)]
pub struct HttpResponse {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl HttpResponse {
    /// The value of a header, or an empty string.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or("")
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A request; `uri` is a path with an optional query.
#[derive(Clone, Debug)]
pub struct HttpRequest {
    pub method: Method,
    pub uri: String,
    pub headers: Vec<(String, String)>,
    pub body: Bytes,
    /// If set, the body is sent in chunks of this size instead of with a `Content-Length`.
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

    /// Sets a JSON body.
    pub fn json(mut self, body: impl Into<Bytes>) -> HttpRequest {
        self.body = body.into();
        self.with_header("Content-Type", "application/json")
    }
}

/// One client connection; dropping it closes it.
pub struct Connection {
    address: SocketAddrV4,
    sender: SendRequest<RequestBody>,
    task: JoinHandle<()>,
}

type RequestBody = http_body_util::combinators::UnsyncBoxBody<Bytes, std::convert::Infallible>;

impl Drop for Connection {
    /// Closes the connection.
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Connection {
    /// Connects to an address and starts HTTP/1.1.
    pub async fn open(address: SocketAddrV4) -> Result<Connection, CallError> {
        let stream = TcpStream::connect(address).await.map_err(|error| CallError::Connect(address, error))?;
        let _ = stream.set_nodelay(true);
        let handshake = Builder::new().handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|error| CallError::Broken(address, error.into()))?;
        let task = tokio::spawn(async move {
            let _ = connection.await;
        });
        Ok(Connection { address, sender, task })
    }

    /// Whether another request can be sent.
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Sends a request and reads the whole response.
    pub async fn send(&mut self, request: &HttpRequest) -> Result<HttpResponse, CallError> {
        let broken = |error: hyper::Error| CallError::Broken(self.address, error.into());
        if self.sender.ready().await.is_err() {
            return Err(CallError::NotSent(self.address));
        }
        let request = build_request(self.address, request)?;
        let response = match self.sender.try_send_request(request).await {
            Ok(response) => response,
            Err(mut error) => match error.take_message() {
                Some(_) => return Err(CallError::NotSent(self.address)),
                None => return Err(broken(error.into_error())),
            },
        };
        let (head, body) = response.into_parts();
        let body = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
        let body = body.map_err(|error| CallError::Broken(self.address, error))?.to_bytes();
        Ok(HttpResponse { status: head.status, headers: head.headers, body })
    }
}

/// Builds the request; sets `Host` if it is missing.
fn build_request(address: SocketAddrV4, call: &HttpRequest) -> Result<Request<RequestBody>, CallError> {
    let mut request = Request::builder().method(call.method.clone()).uri(&call.uri);
    if !call.headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
        request = request.header(header::HOST, address.to_string());
    }
    for (name, value) in &call.headers {
        request = request.header(name, value);
    }
    let body = match call.chunks {
        Some(size) => Chunks { remaining: call.body.clone(), size: size.max(1) }.boxed_unsync(),
        None => Full::new(call.body.clone()).boxed_unsync(),
    };
    request.body(body).map_err(|_| CallError::Request(call.uri.clone()))
}

/// A body of undeclared length, sent in chunks of `size` bytes.
struct Chunks {
    remaining: Bytes,
    size: usize,
}

impl hyper::body::Body for Chunks {
    type Data = Bytes;
    type Error = std::convert::Infallible;
    fn poll_frame(
        mut self: std::pin::Pin<&mut Self>, _: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Result<hyper::body::Frame<Bytes>, Self::Error>>> {
        let size = self.size.min(self.remaining.len());
        let piece = self.remaining.split_to(size);
        std::task::Poll::Ready((size > 0).then(|| Ok(hyper::body::Frame::data(piece))))
    }
}

/// Sends one request on a new connection; fails after `wait`.
pub async fn call(
    address: SocketAddrV4, request: &HttpRequest, wait: Duration,
) -> Result<HttpResponse, CallError> {
    let exchange = async { Connection::open(address).await?.send(request).await };
    timeout(wait, exchange).await.unwrap_or(Err(CallError::Timeout(address)))
}

/// One kind of requests that a load generator sends.
#[derive(Clone, Debug)]
pub struct Workload {
    pub host: String,
    pub path: String,
    pub method: Method,
    /// Idempotent: may be retried after any failure.
    pub safe: bool,
    /// How long a client waits for the response.
    pub timeout: Duration,
    /// Size of a request's body.
    pub body_bytes: usize,
    /// Rate at which requests are sent.
    pub requests_per_second: f64,
}

/// Outcome of one request over all its attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A successful response with the instance's `Server-Seal`, in time.
    Served,
    /// The last response promised that the request did not run.
    Rejected,
    Failed,
}

/// Outcome counts of a period.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    pub served: usize,
    pub rejected: usize,
    pub failed: usize,
    /// Time from the first attempt to the whole response, of each served request.
    pub latencies: Vec<Duration>,
    /// How often the last attempt of a failed request ended with each failure.
    pub failures: HashMap<String, usize>,
}

impl Counts {
    pub fn total(&self) -> usize {
        self.served + self.rejected + self.failed
    }

    /// A latency quantile of the served requests.
    pub fn quantile(&self, share: f64) -> Option<Duration> {
        let mut sorted = self.latencies.clone();
        sorted.sort_unstable();
        let at = (sorted.len() as f64 * share).ceil() as usize;
        sorted.get(at.saturating_sub(1).min(sorted.len().checked_sub(1)?)).copied()
    }

    fn count(&mut self, outcome: Outcome, latency: Duration, failure: String) {
        match outcome {
            Outcome::Served => {
                self.served += 1;
                self.latencies.push(latency);
            }
            Outcome::Rejected => self.rejected += 1,
            Outcome::Failed => {
                self.failed += 1;
                if self.failures.len() < 100 {
                    *self.failures.entry(failure).or_default() += 1;
                }
            }
        }
    }
}

/// A load balancer in front of the gateways: probes their readiness and directs clients to those that are ready.
pub struct LoadBalancer {
    gateways: Vec<GatewayState>,
    next: Mutex<usize>,
}

/// A gateway and the number of its failed readiness probes in a row.
struct GatewayState {
    frontend: SocketAddrV4,
    readiness: SocketAddrV4,
    failed_probes: Mutex<u32>,
}

impl LoadBalancer {
    /// Takes pairs of frontend and readiness addresses. All gateways count as not ready until a probe succeeds.
    pub fn new(gateways: Vec<(SocketAddrV4, SocketAddrV4)>) -> Arc<LoadBalancer> {
        let gateway = |(frontend, readiness)| GatewayState {
            frontend,
            readiness,
            failed_probes: Mutex::new(MAX_FAILED_PROBES),
        };
        Arc::new(LoadBalancer { gateways: gateways.into_iter().map(gateway).collect(), next: Mutex::new(0) })
    }

    /// Probes the readiness of all gateways once.
    pub async fn probe(&self) {
        for gateway in &self.gateways {
            let response = call(
                gateway.readiness,
                &HttpRequest::new(Method::GET, "/api/readiness"),
                Duration::from_secs(1),
            )
            .await;
            let ready = response.is_ok_and(|response| response.status == StatusCode::OK);
            let mut failed_probes = lock(&gateway.failed_probes);
            *failed_probes = if ready { 0 } else { *failed_probes + 1 };
        }
    }

    /// Number of gateways that are ready.
    pub fn ready(&self) -> usize {
        self.gateways.iter().filter(|gateway| *lock(&gateway.failed_probes) < MAX_FAILED_PROBES).count()
    }

    /// The gateway for a new connection: round robin over the ready ones, or over all if none is ready.
    pub fn pick(&self) -> SocketAddrV4 {
        let all_gateways: Vec<&GatewayState> = self.gateways.iter().collect();
        let mut candidates = all_gateways.clone();
        candidates.retain(|gateway| *lock(&gateway.failed_probes) < MAX_FAILED_PROBES);
        let eligible = if candidates.is_empty() { all_gateways } else { candidates };
        let mut next = lock(&self.next);
        *next += 1;
        eligible[*next % eligible.len()].frontend
    }
}

/// Sends requests until it is dropped.
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
    /// Starts to send requests of all workloads at their rates. Connections are kept alive and reused.
    pub fn start(load_balancer: Arc<LoadBalancer>, workloads: Vec<Workload>) -> LoadGenerator {
        let counts: Arc<Mutex<Counts>> = Arc::default();
        let shared_counts = counts.clone();
        let task = tokio::spawn(async move {
            let mut tasks = tokio::task::JoinSet::new();
            tasks.spawn({
                let load_balancer = load_balancer.clone();
                async move {
                    loop {
                        tokio::time::sleep(Duration::from_millis(250)).await;
                        load_balancer.probe().await;
                    }
                }
            });
            for (number, workload) in workloads.into_iter().enumerate() {
                tasks.spawn(generate_load(number, workload, load_balancer.clone(), shared_counts.clone()));
            }
            while tasks.join_next().await.is_some() {}
        });
        LoadGenerator { counts, task }
    }

    /// Outcomes of the requests that ended since the last call.
    pub fn counts(&self) -> Counts {
        std::mem::take(&mut *lock(&self.counts))
    }
}

/// Sends the requests of one workload at its rate.
async fn generate_load(
    number: usize, workload: Workload, load_balancer: Arc<LoadBalancer>, counts: Arc<Mutex<Counts>>,
) {
    let idle_connections: Arc<Mutex<Vec<Connection>>> = Arc::default();
    let mut ticks = tokio::time::interval(Duration::from_secs_f64(
        1.0 / workload.requests_per_second.clamp(0.1, 10_000.0),
    ));
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut in_flight = tokio::task::JoinSet::new();
    for serial in 0u64.. {
        ticks.tick().await;
        while in_flight.try_join_next().is_some() {}
        if in_flight.len() >= MAX_OPEN_REQUESTS {
            lock(&counts).count(Outcome::Failed, Duration::ZERO, "too many open".to_owned());
            continue;
        }
        let (workload, load_balancer, counts, idle_connections) =
            (workload.clone(), load_balancer.clone(), counts.clone(), idle_connections.clone());
        in_flight.spawn(async move {
            let started = Instant::now();
            let (outcome, failure) =
                send_with_retries(&workload, number, serial, &load_balancer, &idle_connections).await;
            lock(&counts).count(outcome, started.elapsed(), failure);
        });
    }
}

/// Sends one request, with retries.
async fn send_with_retries(
    workload: &Workload, number: usize, serial: u64, load_balancer: &LoadBalancer,
    idle_connections: &Mutex<Vec<Connection>>,
) -> (Outcome, String) {
    let started = Instant::now();
    let body = Bytes::from(vec![b'a' + (serial % 26) as u8; workload.body_bytes]);
    let (mut outcome, mut failure) = (Outcome::Failed, "not begun".to_owned());
    for attempt in 0..MAX_ATTEMPTS {
        let Some(time_left) =
            workload.timeout.checked_sub(started.elapsed()).filter(|time_left| !time_left.is_zero())
        else {
            break;
        };
        let mut request = HttpRequest::new(workload.method.clone(), &format!("{}{serial}", workload.path))
            .with_header("Host", workload.host.clone())
            .with_header("Attempt-Id", format!("{number:02x}{serial:012x}{attempt:02x}"))
            .with_header("Remaining-Time", time_left.as_millis().to_string());
        request.body = body.clone();
        let response =
            timeout(time_left, send_once(&request, attempt == 0, load_balancer, idle_connections)).await;
        let delay = match response {
            Err(_) => return (Outcome::Failed, "no answer in time".to_owned()),
            Ok(Err(error)) => {
                (outcome, failure) = (Outcome::Failed, error.to_string());
                let never_sent = matches!(error, CallError::Connect(..) | CallError::NotSent(_));
                if !workload.safe && !never_sent {
                    break;
                }
                DEFAULT_RETRY_DELAY
            }
            Ok(Ok(response)) => {
                let executed = !response.header("Server-Seal").is_empty();
                let status = response.status.as_u16();
                failure = format!("status {status}");
                outcome = match status {
                    200..300 if executed => return (Outcome::Served, String::new()),
                    429 | 503 | 408 | 421 => Outcome::Rejected,
                    _ => Outcome::Failed,
                };
                let is_final = matches!(status, 200..400 | 400 | 401 | 404 | 413 | 431);
                if is_final || (outcome == Outcome::Failed && !workload.safe) {
                    break;
                }
                let retry_after = response.header("Retry-After").parse::<f64>().ok();
                let retry_after = retry_after
                    .filter(|retry_after| (0.0..60.0).contains(retry_after))
                    .map(Duration::from_secs_f64);
                retry_after.unwrap_or(DEFAULT_RETRY_DELAY)
            }
        };
        tokio::time::sleep(delay.min(time_left / 3)).await;
    }
    (outcome, failure)
}

/// One attempt: the first on an idle connection if there is one, later ones on a new connection.
async fn send_once(
    request: &HttpRequest, first: bool, load_balancer: &LoadBalancer,
    idle_connections: &Mutex<Vec<Connection>>,
) -> Result<HttpResponse, CallError> {
    let reused = first.then(|| lock(idle_connections).pop()).flatten().filter(Connection::is_open);
    let mut connection = match reused {
        Some(connection) => connection,
        None => Connection::open(load_balancer.pick()).await?,
    };
    let response = connection.send(request).await?;
    let closed_by_server = response.header("Connection").eq_ignore_ascii_case("close");
    if !closed_by_server && connection.is_open() {
        lock(idle_connections).push(connection);
    }
    Ok(response)
}
