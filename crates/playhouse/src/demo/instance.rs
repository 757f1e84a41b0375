//! Simulated instance of a service: serves requests according to the protocol, registers at the control nodes by
//! heartbeats, leaves in order or at once, and records every request that it receives.

use std::collections::hash_map::DefaultHasher;
use std::convert::Infallible;
use std::hash::{Hash, Hasher};
use std::net::SocketAddrV4;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::{HeaderMap, Method, Request, Response, header};
use hyper_util::rt::{TokioIo, TokioTimer};
use simd_json::prelude::*;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::task::{AbortHandle, JoinSet};

use super::client::{CallError, HttpRequest, HttpResponse, lock};

/// Longest request body in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;
/// A heartbeat that isn't acknowledged within this time is sent to the next control node.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest response to a heartbeat that is accepted, in bytes.
const MAX_HEARTBEAT_RESPONSE_BYTES: usize = 4 << 10;
/// Factor by which requests take longer during the warm-up.
const WARMUP_SLOWDOWN: u32 = 3;
/// Most requests in a log; further requests are only counted.
const MAX_RECORDED_REQUESTS: usize = 200_000;
/// `Keep-Alive` header of responses: idle connections are kept for 10 s.
const KEEP_ALIVE: &str = "timeout=10";

/// Properties of an instance.
#[derive(Clone, Debug)]
pub struct InstanceConfig {
    pub id: String,
    pub service: String,
    /// Version of its software.
    pub version: String,
    pub zone: String,
    /// Requests that are processed at the same time.
    pub slots: usize,
    /// Requests that may wait for a slot; further ones are rejected with 503.
    pub queue_limit: usize,
    /// Time that one request takes.
    pub service_time: Duration,
    /// Share of the requests that fail with status 500.
    pub failure_ratio: f64,
    pub warmup: Duration,
    pub heartbeat_interval: Duration,
    pub max_connections: usize,
}

impl InstanceConfig {
    pub fn new(id: &str, service: &str, version: &str) -> InstanceConfig {
        InstanceConfig {
            id: id.to_owned(),
            service: service.to_owned(),
            version: version.to_owned(),
            zone: super::cluster::ZONES[0].to_owned(),
            slots: 4,
            queue_limit: 8,
            service_time: Duration::from_millis(5),
            failure_ratio: 0.0,
            warmup: Duration::ZERO,
            heartbeat_interval: Duration::from_millis(500),
            max_connections: 100,
        }
    }
}

/// One request as an instance received it.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    pub instance: String,
    pub service: String,
    pub version: String,
    /// Time at which it had been read completely.
    pub at: Instant,
    pub method: Method,
    /// Path and query.
    pub uri: String,
    /// `Attempt-Id`, or empty.
    pub attempt: String,
    /// `Remaining-Time` in milliseconds.
    pub remaining: Option<u64>,
    /// `Target-Instance`, if present.
    pub target: Option<String>,
    pub body: BodyDigest,
    /// Processing was started.
    pub ran: bool,
    /// Status and seal of the response; `None` while it is processed or if the caller disconnected.
    pub answered: Option<(u16, String)>,
}

/// Length and hash of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyDigest {
    pub length: usize,
    pub hash: u64,
}

impl BodyDigest {
    pub fn of(body: &[u8]) -> BodyDigest {
        let mut hasher = DefaultHasher::new();
        body.hash(&mut hasher);
        BodyDigest { length: body.len(), hash: hasher.finish() }
    }
}

/// The requests that all instances of a cluster received, in order of arrival.
#[derive(Clone, Default)]
pub struct RequestLog {
    received: Arc<Mutex<Vec<ReceivedRequest>>>,
    dropped: Arc<AtomicUsize>,
}

impl RequestLog {
    /// All requests that match a predicate.
    pub fn find(&self, matches: impl Fn(&ReceivedRequest) -> bool) -> Vec<ReceivedRequest> {
        lock(&self.received).iter().filter(|received| matches(received)).cloned().collect()
    }

    /// All requests with an attempt id.
    pub fn by_attempt(&self, attempt: &str) -> Vec<ReceivedRequest> {
        self.find(|received| received.attempt == attempt)
    }

    /// Number of requests that match a predicate.
    pub fn count(&self, matches: impl Fn(&ReceivedRequest) -> bool) -> usize {
        lock(&self.received).iter().filter(|received| matches(received)).count()
    }

    /// Number of requests that were not recorded because the log was full.
    pub fn dropped(&self) -> usize {
        self.dropped.load(Ordering::Relaxed)
    }

    fn add(&self, entry: ReceivedRequest) -> Option<usize> {
        let mut received = lock(&self.received);
        if received.len() >= MAX_RECORDED_REQUESTS {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return None;
        }
        received.push(entry);
        Some(received.len() - 1)
    }

    fn mark(&self, at: Option<usize>, change: impl FnOnce(&mut ReceivedRequest)) {
        if let Some(at) = at
            && let Some(received) = lock(&self.received).get_mut(at)
        {
            change(received);
        }
    }
}

/// State that the tasks of one instance share.
struct State {
    plan: InstanceConfig,
    address: SocketAddrV4,
    request_log: RequestLog,
    started: Instant,
    slots: Semaphore,
    waiting: AtomicUsize,
    connections: AtomicUsize,
    serial: AtomicU64,
    draining: AtomicBool,
    /// `CallSequence` of the latest heartbeat.
    call_sequence: AtomicU64,
    /// The `HeartbeatTarget` of the latest response; preferred to the list.
    target: Mutex<Option<SocketAddrV4>>,
    control_nodes: Vec<SocketAddrV4>,
    acknowledged: AtomicU64,
}

/// A running instance. Dropping it stops it at once, as in a crash.
pub struct Instance {
    state: Arc<State>,
    server_task: AbortHandle,
    heartbeat_task: AbortHandle,
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.server_task.abort();
        self.heartbeat_task.abort();
    }
}

impl Instance {
    /// Starts to serve at an address and to send heartbeats.
    pub async fn start(
        plan: InstanceConfig, address: SocketAddrV4, control_nodes: Vec<SocketAddrV4>,
        request_log: RequestLog,
    ) -> std::io::Result<Instance> {
        let listener = TcpListener::bind(address).await?;
        let address = match listener.local_addr()? {
            std::net::SocketAddr::V4(address) => address,
            std::net::SocketAddr::V6(_) => address,
        };
        let state = Arc::new(State {
            slots: Semaphore::new(plan.slots),
            plan,
            address,
            request_log,
            started: Instant::now(),
            waiting: AtomicUsize::new(0),
            connections: AtomicUsize::new(0),
            serial: AtomicU64::new(0),
            draining: AtomicBool::new(false),
            call_sequence: AtomicU64::new(0),
            target: Mutex::new(None),
            control_nodes,
            acknowledged: AtomicU64::new(0),
        });
        let server_task = tokio::spawn(serve(state.clone(), listener)).abort_handle();
        let heartbeat_task = tokio::spawn(send_heartbeats(state.clone())).abort_handle();
        Ok(Instance { state, server_task, heartbeat_task })
    }

    pub fn id(&self) -> &str {
        &self.state.plan.id
    }

    pub fn plan(&self) -> &InstanceConfig {
        &self.state.plan
    }

    pub fn address(&self) -> SocketAddrV4 {
        self.state.address
    }

    /// Number of acknowledged heartbeats.
    pub fn acknowledged(&self) -> u64 {
        self.state.acknowledged.load(Ordering::Relaxed)
    }

    /// Reports that it is draining until that is acknowledged, and returns the time of the acknowledgement. It goes on
    /// serving. `None` if no control node acknowledged within `timeout`.
    pub async fn drain(&self, timeout: Duration) -> Option<Instant> {
        self.state.draining.store(true, Ordering::Relaxed);
        let acknowledged = async {
            while !self.state.send_heartbeat().await {
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
            Instant::now()
        };
        tokio::time::timeout(timeout, acknowledged).await.ok()
    }

    /// Deregisters and stops; true if that was acknowledged.
    pub async fn detach(self) -> bool {
        self.heartbeat_task.abort();
        let path = format!("/api/Instances.Detach/{}", self.state.plan.id);
        self.state.call_control_node(&HttpRequest::new(Method::POST, &path).json("{}")).await.is_some()
    }
}

/// Accepts connections and serves each in a task of its own.
async fn serve(state: Arc<State>, listener: TcpListener) {
    let mut connections = JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        while connections.try_join_next().is_some() {}
        if state.connections.load(Ordering::Relaxed) >= state.plan.max_connections {
            continue;
        }
        let _ = stream.set_nodelay(true);
        let guard = CountGuard::new(state.clone(), |state| &state.connections);
        connections.spawn(async move {
            let service = hyper::service::service_fn(|request| {
                let state = guard.state.clone();
                async move { Ok::<_, Infallible>(respond(&state, request).await) }
            });
            let _ = hyper::server::conn::http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(Duration::from_secs(12))
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

/// Increments one of an instance's counters for as long as it lives.
struct CountGuard {
    state: Arc<State>,
    of: fn(&State) -> &AtomicUsize,
}

impl CountGuard {
    fn new(state: Arc<State>, of: fn(&State) -> &AtomicUsize) -> CountGuard {
        of(&state).fetch_add(1, Ordering::Relaxed);
        CountGuard { state, of }
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        (self.of)(&self.state).fetch_sub(1, Ordering::Relaxed);
    }
}

/// A response and its seal: with `Server-Seal` if the request ran, else with `Not-Executed`.
fn respond_with(
    state: &State, status: u16, attempt: &str, ran: bool, body: Bytes,
) -> (Response<Full<Bytes>>, String) {
    let serial = state.serial.fetch_add(1, Ordering::Relaxed);
    let digest = BodyDigest::of(&body);
    let seal = format!("{}.{serial:x}.{:x}.{:016x}", state.plan.id, digest.length, digest.hash);
    let mut response = Response::builder()
        .status(status)
        .header("Attempt-Id", attempt)
        .header("Keep-Alive", KEEP_ALIVE)
        .header("X-Kept", "as it was");
    if ran {
        response = response.header("Server-Seal", &seal);
    } else {
        response = response.header("Not-Executed", "1");
    }
    if state.draining.load(Ordering::Relaxed) {
        response = response.header(header::CONNECTION, "close");
    }
    let response = response.body(Full::new(body)).unwrap_or_else(|_| Response::new(Full::default()));
    (response, seal)
}

/// A header as text.
fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Handles one request and records it.
async fn respond(state: &Arc<State>, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let (head, body) = request.into_parts();
    if head.uri.path() == "/health" {
        return health(state).await;
    }
    let body = match Limited::new(body, MAX_BODY_BYTES).collect().await {
        Ok(body) => body.to_bytes(),
        Err(_) => return respond_with(state, 400, "", false, Bytes::new()).0,
    };
    let attempt = text(&head.headers, "Attempt-Id").unwrap_or("").to_owned();
    let remaining = text(&head.headers, "Remaining-Time").and_then(|value| value.parse().ok());
    let target = text(&head.headers, "Target-Instance").map(str::to_owned);
    let received = ReceivedRequest {
        instance: state.plan.id.clone(),
        service: state.plan.service.clone(),
        version: state.plan.version.clone(),
        at: Instant::now(),
        method: head.method.clone(),
        uri: head.uri.path_and_query().map_or("/", |uri| uri.as_str()).to_owned(),
        attempt: attempt.clone(),
        remaining,
        target: target.clone(),
        body: BodyDigest::of(&body),
        ran: false,
        answered: None,
    };
    let success_body =
        format!("{} {} {:?} by {}\n", received.method, received.uri, received.body, state.plan.id);
    let at = state.request_log.add(received);
    let (status, ran) = if attempt.is_empty() {
        (400, false)
    } else if target.is_some_and(|target| target != state.plan.id) {
        (421, false)
    } else {
        let deadline = Instant::now() + Duration::from_millis(remaining.unwrap_or(60_000).min(600_000));
        let serial = state.serial.load(Ordering::Relaxed);
        run(state, deadline, serial, || state.request_log.mark(at, |received| received.ran = true)).await
    };
    let body = if status == 200 { Bytes::from(success_body) } else { Bytes::from_static(b"not today\n") };
    let (response, seal) = respond_with(state, status, &attempt, ran, body);
    state.request_log.mark(at, |received| received.answered = Some((status, seal)));
    response
}

/// Waits for a slot and simulates the work. Returns the status, and whether the request ran.
async fn run(state: &Arc<State>, deadline: Instant, serial: u64, on_start: impl FnOnce()) -> (u16, bool) {
    let slot = match state.slots.try_acquire() {
        Ok(slot) => slot,
        Err(_) if state.waiting.load(Ordering::Relaxed) >= state.plan.queue_limit => return (503, false),
        Err(_) => {
            let _waits = CountGuard::new(state.clone(), |state| &state.waiting);
            match tokio::time::timeout_at(deadline.into(), state.slots.acquire()).await {
                Ok(Ok(slot)) => slot,
                _ => return (503, false),
            }
        }
    };
    on_start();
    let warming_up = state.started.elapsed() < state.plan.warmup;
    let service_time =
        if warming_up { state.plan.service_time * WARMUP_SLOWDOWN } else { state.plan.service_time };
    let done = tokio::time::timeout_at(deadline.into(), tokio::time::sleep(service_time)).await.is_ok();
    drop(slot);
    // Failures are spread evenly, so that every run of the demonstration has the same share of them.
    let fails = (serial as f64 * state.plan.failure_ratio).fract() + state.plan.failure_ratio > 1.0 - 1e-9;
    match (done, fails && state.plan.failure_ratio > 0.0) {
        (false, _) => (504, true),
        (true, true) => (500, true),
        (true, false) => (200, true),
    }
}

/// The health check, which takes as long as a request; 503 while draining.
async fn health(state: &Arc<State>) -> Response<Full<Bytes>> {
    let (mut status, _) = run(state, Instant::now() + Duration::from_secs(5), 0, || {}).await;
    if state.draining.load(Ordering::Relaxed) {
        status = 503;
    }
    let response = Response::builder().status(status).header("Instance-Id", &state.plan.id);
    response.body(Full::default()).unwrap_or_else(|_| Response::new(Full::default()))
}

/// Sends heartbeats at the configured interval, five times as often while none is acknowledged.
async fn send_heartbeats(state: Arc<State>) {
    loop {
        let taken = state.send_heartbeat().await;
        let pause = if taken { state.plan.heartbeat_interval } else { state.plan.heartbeat_interval / 5 };
        tokio::time::sleep(pause).await;
    }
}

impl State {
    /// Sends one heartbeat; true if it was acknowledged.
    async fn send_heartbeat(&self) -> bool {
        let plan = &self.plan;
        let state_name = if self.draining.load(Ordering::Relaxed) { "draining" } else { "in_service" };
        let body = simd_json::json!({
            "Address": self.address.to_string(),
            "NodeInfo": {
                "TargetService": plan.service.clone(),
                "ConfigVersion": plan.version.clone(),
                "Zone": plan.zone.clone(),
                "CapacitySlots": plan.slots as u64,
            },
            "Status": {
                "State": state_name,
                "CallSequence": self.call_sequence.fetch_add(1, Ordering::Relaxed) + 1,
                "WarmupLeftS": plan.warmup.saturating_sub(self.started.elapsed()).as_secs_f64(),
            },
        });
        let path = format!("/api/Instances.Heartbeat/{}", plan.id);
        let request = HttpRequest::new(Method::POST, &path).json(body.encode());
        let Some(response) = self.call_control_node(&request).await else { return false };
        self.acknowledged.fetch_add(1, Ordering::Relaxed);
        let mut bytes = response.body.to_vec();
        let response_json = simd_json::to_owned_value(&mut bytes).ok();
        let target = response_json
            .as_ref()
            .and_then(|response_json| response_json.get("HeartbeatTarget"))
            .and_then(|at| at.as_str());
        if let Some(target) = target.and_then(|target| target.parse().ok()) {
            *lock(&self.target) = Some(target);
        }
        true
    }

    /// Sends a request to the heartbeat target, then to each control node in turn, until one acknowledges it.
    async fn call_control_node(&self, request: &HttpRequest) -> Option<HttpResponse> {
        let heartbeat_target = *lock(&self.target);
        if let Some(at) = heartbeat_target {
            match acknowledged(at, request).await {
                Ok(Some(response)) => return Some(response),
                Ok(None) | Err(_) => *lock(&self.target) = None,
            }
        }
        let first = self.call_sequence.load(Ordering::Relaxed) as usize;
        for number in 0..self.control_nodes.len() {
            let at = self.control_nodes[(first + number) % self.control_nodes.len()];
            if let Ok(Some(response)) = acknowledged(at, request).await {
                return Some(response);
            }
        }
        None
    }
}

/// One call that follows redirects; `None` if the response is no acknowledgement.
async fn acknowledged(at: SocketAddrV4, request: &HttpRequest) -> Result<Option<HttpResponse>, CallError> {
    let response = super::operator::call_following_redirects(at, request, HEARTBEAT_TIMEOUT).await?;
    Ok(Some(response).filter(|response| {
        response.status.is_success() && response.body.len() <= MAX_HEARTBEAT_RESPONSE_BYTES
    }))
}
