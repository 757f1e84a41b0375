//! Player (stand-in instance of a service): serves requests as the protocol has it, tells the prompters of itself by
//! beats, leaves in order or at once, and keeps a record of all it saw.

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

/// Bytes of a request's body at most.
const MAX_BODY_BYTES: usize = 64 << 20;
/// A beat's acknowledgement comes within this, or the next prompter is called.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_HEARTBEAT_RESPONSE_BYTES: usize = 4 << 10;
/// While it is warming up, work takes so many times as long.
const WARMUP_SLOWDOWN: u32 = 3;
/// Requests kept in the record; later ones are only counted.
const MAX_RECORDED_REQUESTS: usize = 200_000;
/// What an instance tells of its idle connections, in seconds.
const KEEP_ALIVE: &str = "timeout=10";

/// How an instance is.
#[derive(Clone, Debug)]
pub struct InstanceConfig {
    pub id: String,
    pub service: String,
    /// Of its software.
    pub version: String,
    pub zone: String,
    pub slots: usize,
    /// Requests that wait for a slot; more are turned away.
    pub queue_limit: usize,
    pub service_time: Duration,
    /// The share of its answers that fail (500).
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

/// What an instance saw of one request.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    pub instance: String,
    pub service: String,
    pub version: String,
    /// When it had been read whole.
    pub at: Instant,
    pub method: Method,
    /// Path and query.
    pub uri: String,
    pub attempt: String,
    pub remaining: Option<u64>,
    /// `Target-Instance`, where it was there.
    pub target: Option<String>,
    pub body: BodyDigest,
    /// Work on it was begun.
    pub ran: bool,
    /// The status and seal it was answered with; none while it is worked on, or if the caller has gone.
    pub answered: Option<(u16, String)>,
}

/// A body told apart from others by length and sum.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyDigest {
    pub length: usize,
    pub sum: u64,
}

impl BodyDigest {
    pub fn of(body: &[u8]) -> BodyDigest {
        let mut hasher = DefaultHasher::new();
        body.hash(&mut hasher);
        BodyDigest { length: body.len(), sum: hasher.finish() }
    }
}

/// What all instances of a stage saw, in order of arrival.
#[derive(Clone, Default)]
pub struct RequestLog {
    seen: Arc<Mutex<Vec<ReceivedRequest>>>,
    lost: Arc<AtomicUsize>,
}

impl RequestLog {
    /// All that fit a question.
    pub fn find(&self, fits: impl Fn(&ReceivedRequest) -> bool) -> Vec<ReceivedRequest> {
        lock(&self.seen).iter().filter(|seen| fits(seen)).cloned().collect()
    }

    pub fn by_attempt(&self, attempt: &str) -> Vec<ReceivedRequest> {
        self.find(|seen| seen.attempt == attempt)
    }

    /// How many fit, without copying them.
    pub fn count(&self, fits: impl Fn(&ReceivedRequest) -> bool) -> usize {
        lock(&self.seen).iter().filter(|seen| fits(seen)).count()
    }

    /// Requests that were not kept, since the record was full.
    pub fn dropped(&self) -> usize {
        self.lost.load(Ordering::Relaxed)
    }

    fn add(&self, one: ReceivedRequest) -> Option<usize> {
        let mut seen = lock(&self.seen);
        if seen.len() >= MAX_RECORDED_REQUESTS {
            self.lost.fetch_add(1, Ordering::Relaxed);
            return None;
        }
        seen.push(one);
        Some(seen.len() - 1)
    }

    fn mark(&self, at: Option<usize>, change: impl FnOnce(&mut ReceivedRequest)) {
        if let Some(at) = at
            && let Some(seen) = lock(&self.seen).get_mut(at)
        {
            change(seen);
        }
    }
}

/// What the parts of one instance share.
struct Life {
    plan: InstanceConfig,
    address: SocketAddrV4,
    record: RequestLog,
    started: Instant,
    slots: Semaphore,
    waiting: AtomicUsize,
    connections: AtomicUsize,
    serial: AtomicU64,
    leaving: AtomicBool,
    /// `CallSequence` of the last call.
    calls: AtomicU64,
    /// Where beats go: a target that was told, before the list.
    target: Mutex<Option<SocketAddrV4>>,
    prompters: Vec<SocketAddrV4>,
    acknowledged: AtomicU64,
}

/// One life of an instance. Dropped, it is gone at once, as in a crash.
pub struct Instance {
    life: Arc<Life>,
    serving: AbortHandle,
    beating: AbortHandle,
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.serving.abort();
        self.beating.abort();
    }
}

impl Instance {
    /// Begins to serve at an address and to beat.
    pub async fn start(
        plan: InstanceConfig, address: SocketAddrV4, prompters: Vec<SocketAddrV4>, record: RequestLog,
    ) -> std::io::Result<Instance> {
        let listener = TcpListener::bind(address).await?;
        let address = match listener.local_addr()? {
            std::net::SocketAddr::V4(address) => address,
            std::net::SocketAddr::V6(_) => address,
        };
        let life = Arc::new(Life {
            slots: Semaphore::new(plan.slots),
            plan,
            address,
            record,
            started: Instant::now(),
            waiting: AtomicUsize::new(0),
            connections: AtomicUsize::new(0),
            serial: AtomicU64::new(0),
            leaving: AtomicBool::new(false),
            calls: AtomicU64::new(0),
            target: Mutex::new(None),
            prompters,
            acknowledged: AtomicU64::new(0),
        });
        let serving = tokio::spawn(serve(life.clone(), listener)).abort_handle();
        let beating = tokio::spawn(beats(life.clone())).abort_handle();
        Ok(Instance { life, serving, beating })
    }

    pub fn id(&self) -> &str {
        &self.life.plan.id
    }

    pub fn plan(&self) -> &InstanceConfig {
        &self.life.plan
    }

    pub fn address(&self) -> SocketAddrV4 {
        self.life.address
    }

    /// Beats that were acknowledged.
    pub fn acknowledged(&self) -> u64 {
        self.life.acknowledged.load(Ordering::Relaxed)
    }

    /// Reports that it is leaving until that is acknowledged, and tells when it was; it goes on serving. `None` if
    /// nobody took it within `patience`.
    pub async fn drain(&self, timeout: Duration) -> Option<Instant> {
        self.life.leaving.store(true, Ordering::Relaxed);
        let taken = async {
            while !self.life.beat().await {
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
            Instant::now()
        };
        tokio::time::timeout(timeout, taken).await.ok()
    }

    /// Says good-bye for good and stops; true if that was acknowledged.
    pub async fn detach(self) -> bool {
        self.beating.abort();
        let path = format!("/api/Instances.Detach/{}", self.life.plan.id);
        self.life.tell(&HttpRequest::new(Method::POST, &path).json("{}")).await.is_some()
    }
}

async fn serve(life: Arc<Life>, listener: TcpListener) {
    let mut connections = JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        while connections.try_join_next().is_some() {}
        if life.connections.load(Ordering::Relaxed) >= life.plan.max_connections {
            continue;
        }
        let _ = stream.set_nodelay(true);
        let here = Counted::new(life.clone(), |life| &life.connections);
        connections.spawn(async move {
            let service = hyper::service::service_fn(|request| {
                let life = here.life.clone();
                async move { Ok::<_, Infallible>(respond(&life, request).await) }
            });
            let _ = hyper::server::conn::http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(Duration::from_secs(12))
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

/// Counts itself in one of an instance's counts for as long as it is there.
struct Counted {
    life: Arc<Life>,
    of: fn(&Life) -> &AtomicUsize,
}

impl Counted {
    fn new(life: Arc<Life>, of: fn(&Life) -> &AtomicUsize) -> Counted {
        of(&life).fetch_add(1, Ordering::Relaxed);
        Counted { life, of }
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        (self.of)(&self.life).fetch_sub(1, Ordering::Relaxed);
    }
}

/// An answer of the instance, with or without a promise that nothing was run.
fn told(life: &Life, status: u16, attempt: &str, ran: bool, body: Bytes) -> (Response<Full<Bytes>>, String) {
    let serial = life.serial.fetch_add(1, Ordering::Relaxed);
    let print = BodyDigest::of(&body);
    let seal = format!("{}.{serial:x}.{:x}.{:016x}", life.plan.id, print.length, print.sum);
    let mut answer = Response::builder()
        .status(status)
        .header("Attempt-Id", attempt)
        .header("Keep-Alive", KEEP_ALIVE)
        .header("X-Kept", "as it was");
    if ran {
        answer = answer.header("Server-Seal", &seal);
    } else {
        answer = answer.header("Not-Executed", "1");
    }
    if life.leaving.load(Ordering::Relaxed) {
        answer = answer.header(header::CONNECTION, "close");
    }
    let answer = answer.body(Full::new(body)).unwrap_or_else(|_| Response::new(Full::default()));
    (answer, seal)
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

async fn respond(life: &Arc<Life>, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let (head, body) = request.into_parts();
    if head.uri.path() == "/health" {
        return health(life).await;
    }
    let body = match Limited::new(body, MAX_BODY_BYTES).collect().await {
        Ok(body) => body.to_bytes(),
        Err(_) => return told(life, 400, "", false, Bytes::new()).0,
    };
    let attempt = text(&head.headers, "Attempt-Id").unwrap_or("").to_owned();
    let remaining = text(&head.headers, "Remaining-Time").and_then(|value| value.parse().ok());
    let target = text(&head.headers, "Target-Instance").map(str::to_owned);
    let seen = ReceivedRequest {
        instance: life.plan.id.clone(),
        service: life.plan.service.clone(),
        version: life.plan.version.clone(),
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
    let said = format!("{} {} {:?} by {}\n", seen.method, seen.uri, seen.body, life.plan.id);
    let at = life.record.add(seen);
    let (status, ran) = if attempt.is_empty() {
        (400, false)
    } else if target.is_some_and(|target| target != life.plan.id) {
        (421, false)
    } else {
        let until = Instant::now() + Duration::from_millis(remaining.unwrap_or(60_000).min(600_000));
        let number = life.serial.load(Ordering::Relaxed);
        run(life, until, number, || life.record.mark(at, |seen| seen.ran = true)).await
    };
    let body = if status == 200 { Bytes::from(said) } else { Bytes::from_static(b"not today\n") };
    let (answer, seal) = told(life, status, &attempt, ran, body);
    life.record.mark(at, |seen| seen.answered = Some((status, seal)));
    answer
}

/// Waits for a slot and works; the status, and whether it has run.
async fn run(life: &Arc<Life>, until: Instant, number: u64, begun: impl FnOnce()) -> (u16, bool) {
    let slot = match life.slots.try_acquire() {
        Ok(slot) => slot,
        Err(_) if life.waiting.load(Ordering::Relaxed) >= life.plan.queue_limit => return (503, false),
        Err(_) => {
            let _waits = Counted::new(life.clone(), |life| &life.waiting);
            match tokio::time::timeout_at(until.into(), life.slots.acquire()).await {
                Ok(Ok(slot)) => slot,
                _ => return (503, false),
            }
        }
    };
    begun();
    let cold = life.started.elapsed() < life.plan.warmup;
    let work = if cold { life.plan.service_time * WARMUP_SLOWDOWN } else { life.plan.service_time };
    let done = tokio::time::timeout_at(until.into(), tokio::time::sleep(work)).await.is_ok();
    drop(slot);
    // Failures are spread evenly, so that every run of the demonstration has the same share of them.
    let fails = (number as f64 * life.plan.failure_ratio).fract() + life.plan.failure_ratio > 1.0 - 1e-9;
    match (done, fails && life.plan.failure_ratio > 0.0) {
        (false, _) => (504, true),
        (true, true) => (500, true),
        (true, false) => (200, true),
    }
}

async fn health(life: &Arc<Life>) -> Response<Full<Bytes>> {
    let (mut status, _) = run(life, Instant::now() + Duration::from_secs(5), 0, || {}).await;
    if life.leaving.load(Ordering::Relaxed) {
        status = 503;
    }
    let answer = Response::builder().status(status).header("Instance-Id", &life.plan.id);
    answer.body(Full::default()).unwrap_or_else(|_| Response::new(Full::default()))
}

async fn beats(life: Arc<Life>) {
    loop {
        let taken = life.beat().await;
        let pause = if taken { life.plan.heartbeat_interval } else { life.plan.heartbeat_interval / 5 };
        tokio::time::sleep(pause).await;
    }
}

impl Life {
    /// One beat; true if somebody took it.
    async fn beat(&self) -> bool {
        let plan = &self.plan;
        let state = if self.leaving.load(Ordering::Relaxed) { "draining" } else { "in_service" };
        let body = simd_json::json!({
            "Address": self.address.to_string(),
            "NodeInfo": {
                "TargetService": plan.service.clone(),
                "ConfigVersion": plan.version.clone(),
                "Zone": plan.zone.clone(),
                "CapacitySlots": plan.slots as u64,
            },
            "Status": {
                "State": state,
                "CallSequence": self.calls.fetch_add(1, Ordering::Relaxed) + 1,
                "WarmupLeftS": plan.warmup.saturating_sub(self.started.elapsed()).as_secs_f64(),
            },
        });
        let path = format!("/api/Instances.Heartbeat/{}", plan.id);
        let ask = HttpRequest::new(Method::POST, &path).json(body.encode());
        let Some(answer) = self.tell(&ask).await else { return false };
        self.acknowledged.fetch_add(1, Ordering::Relaxed);
        let mut bytes = answer.body.to_vec();
        let told = simd_json::to_owned_value(&mut bytes).ok();
        let target = told.as_ref().and_then(|told| told.get("HeartbeatTarget")).and_then(|at| at.as_str());
        if let Some(target) = target.and_then(|target| target.parse().ok()) {
            *lock(&self.target) = Some(target);
        }
        true
    }

    /// Sends a call to the target, then to each prompter in turn, until one acknowledges it.
    async fn tell(&self, ask: &HttpRequest) -> Option<HttpResponse> {
        let told = *lock(&self.target);
        if let Some(at) = told {
            match acknowledged(at, ask).await {
                Ok(Some(answer)) => return Some(answer),
                Ok(None) | Err(_) => *lock(&self.target) = None,
            }
        }
        let first = self.calls.load(Ordering::Relaxed) as usize;
        for number in 0..self.prompters.len() {
            let at = self.prompters[(first + number) % self.prompters.len()];
            if let Ok(Some(answer)) = acknowledged(at, ask).await {
                return Some(answer);
            }
        }
        None
    }
}

/// One call, which may be sent on twice; `None` where the answer is no acknowledgement.
async fn acknowledged(at: SocketAddrV4, ask: &HttpRequest) -> Result<Option<HttpResponse>, CallError> {
    let answer = super::operator::call_following_redirects(at, ask, HEARTBEAT_TIMEOUT).await?;
    Ok(Some(answer)
        .filter(|answer| answer.status.is_success() && answer.body.len() <= MAX_HEARTBEAT_RESPONSE_BYTES))
}
