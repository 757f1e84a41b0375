//! Gateway role: accepts client requests and forwards them to instances. The `garnetdoor` library decides which
//! instance is asked, whether, and how often; this module is the driver with sockets, timers and signals.

#[doc(hidden)]
pub mod activity;
#[doc(hidden)]
pub mod attempt;
#[doc(hidden)]
pub mod body_budget;
mod client_connection;
mod client_connections;
#[doc(hidden)]
pub mod client_limits;
#[doc(hidden)]
pub mod connection_state;
mod frontend;
#[doc(hidden)]
pub mod pool;

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use garnetdoor::host::{AttemptNo, AttemptOutcome, RequestId};
use hyper::Response;
use membership::Role;
use tokio::sync::{oneshot, watch};
use transport::{ReceivedMessage, SocketTransport};
use types::{ConfigVersion, MS, Micros, NodeAddress, RunId, SECOND};

use crate::data_plane::service_host::{ConnectionLimit, TargetInstance};
use crate::data_plane::{DataPlane, Effect, Input};
use crate::metrics::{self, Metrics, MetricsSource};
use crate::node::{Clock, NodeCore, random_u64};
use crate::outgoing::send;
use crate::settings::{Settings, seconds_to_micros};
use crate::signals::{SignalEvent, Signals};
use attempt::{Attempt, AttemptResult, ReplayableRequest};
use body_budget::BodyBudget;
use client_connections::ClientConnections;
use client_limits::{Applied, ClientLimits, ConnectionEnd, LimitLog, Setting};
use pool::{Body, Pool};

// Operators filter log lines by this name, which is older than the module's.
const LOG_TARGET: &str = "playhouse::foyer";

/// How long clients are accepted after SIGTERM: the platform may still send some until the readiness check has failed
/// twice.
const ACCEPT_AFTER_LEAVE: Duration = Duration::from_millis(2_600);
/// Part of `GraceS` that is reserved for ending the process.
const END_MARGIN: Duration = Duration::from_millis(700);
/// Part of `END_MARGIN` for sending the last answers.
const FINAL_ANSWER_WINDOW: Duration = Duration::from_millis(400);
const FRONTEND_BACKLOG: i32 = 1024;
const READINESS_BACKLOG: i32 = 64;
/// How often idle connections are checked for expiry, and for limits that have become lower.
const POOL_EVICTION_INTERVAL: Micros = SECOND;

/// Retry delay if the balancer gives none.
const DEFAULT_RETRY_AFTER: Micros = 100 * MS;

/// How a request ends.
pub enum Reply {
    Answer(Response<Body>),
    /// Not run and never will be, with the delay before a retry.
    Rejected(Option<Micros>),
    /// No promise that it did not run.
    Failed,
}

/// A request that is open here.
struct OpenRequest {
    original: Rc<ReplayableRequest>,
    deadline: Micros,
    attempts: Vec<tokio::task::AbortHandle>,
    reply_sender: Option<oneshot::Sender<Reply>>,
    /// An instance's error answer, passed on if no attempt gets a better one.
    fallback: Option<Response<Body>>,
}

/// State of the gateway process, shared by its tasks.
pub struct Gateway {
    data_plane: DataPlane,
    transport: Rc<SocketTransport>,
    clock: Clock,
    settings: Rc<Settings>,
    open_requests: HashMap<RequestId, OpenRequest>,
    next_request_id: u64,
    pool: Rc<RefCell<Pool>>,
    body_budget: BodyBudget,
    next_eviction: Micros,
    wake_loop: Rc<tokio::sync::Notify>,
    /// The limits for clients by the configuration in force, for connections that outlive a configuration.
    client_limits: watch::Sender<ClientLimits>,
    client_connections: Rc<ClientConnections>,
    limit_log: LimitLog,
}

/// The gateway as its tasks share it.
pub type Shared = Rc<RefCell<Gateway>>;
type BoxError = Box<dyn std::error::Error>;

/// Runs the gateway until the process is told to end. `metrics_port` is the port that metrics are served on, if any.
pub async fn run(settings: Rc<Settings>, metrics_port: Option<u16>) -> Result<(), BoxError> {
    let clock = Clock::start();
    let frontend = settings.listen_addresses.frontend.ok_or("ListenAddresses.Frontend is missing")?;
    let readiness = settings.listen_addresses.readiness.ok_or("ListenAddresses.Readiness is missing")?;
    let (transport, mut messages) = SocketTransport::bind(
        settings.ip_address,
        settings.internal_port(),
        transport::TransportLimits::default(),
    )?;
    let now = clock.now();
    let member = settings.member(Role::Gateway, RunId(random_u64()));
    let node = NodeCore::start(
        member,
        settings.seed_addresses(),
        seconds_to_micros(settings.heartbeat_s),
        random_u64(),
        now,
    );
    let wake_loop = Rc::new(tokio::sync::Notify::new());
    let connections: Rc<ClientConnections> = Rc::default();
    let gateway = Gateway {
        data_plane: DataPlane::start(node, settings.clone(), random_u64(), now),
        transport: Rc::new(transport),
        clock,
        settings: settings.clone(),
        open_requests: HashMap::new(),
        next_request_id: 0,
        pool: Rc::default(),
        body_budget: BodyBudget::for_memory(settings.limit_set.memory_mb * 1e6),
        next_eviction: 0,
        wake_loop: wake_loop.clone(),
        client_limits: watch::Sender::new(ClientLimits::INITIAL),
        client_connections: connections.clone(),
        limit_log: LimitLog::default(),
    };
    let shared: Shared = Rc::new(RefCell::new(gateway));
    if let Some(port) = metrics_port {
        metrics::spawn(SocketAddrV4::new(settings.ip_address, port), shared.clone());
    }
    let (stop_accepting, stopping) = tokio::sync::watch::channel(false);
    let listener = crate::listen::bind_when_free(frontend, FRONTEND_BACKLOG)?;
    let clients = crate::tasks::spawn_local(frontend::serve(
        listener,
        shared.clone(),
        connections.clone(),
        stopping.clone(),
    ));
    crate::tasks::spawn_local(frontend::readiness(
        crate::listen::bind_when_free(readiness, READINESS_BACKLOG)?,
        shared.clone(),
    ));
    let mut signals = Signals::start()?;
    let grace = Duration::from_micros(seconds_to_micros(settings.timer_bounds.grace_s) as u64);
    let mut ends_at: Option<tokio::time::Instant> = None;
    loop {
        let due = clock.at(shared.borrow().due());
        let now = tokio::time::Instant::now();
        if let Some(end) = ends_at {
            let since_leave = now + grace.saturating_sub(END_MARGIN) - end;
            if !*stop_accepting.borrow() && since_leave >= ACCEPT_AFTER_LEAVE {
                let _ = stop_accepting.send(true);
            }
            if now >= end {
                break;
            }
        }
        tokio::select! {
            received = messages.recv() => {
                let Some(message) = received else { return Err("the transport has closed".into()) };
                let mut gateway = shared.borrow_mut();
                gateway.message_received(&shared, &message);
                while let Ok(message) = messages.try_recv() {
                    gateway.message_received(&shared, &message);
                }
            }
            _ = tokio::time::sleep_until(due) => shared.borrow_mut().tick(&shared),
            _ = wake_loop.notified() => {}
            // All accepted requests are answered completely.
            () = connections.wait_until_empty(), if *stop_accepting.borrow() && clients.is_finished() => break,
            signal = signals.next() => match signal {
                SignalEvent::Terminate if ends_at.is_none() => {
                    shared.borrow_mut().step(&shared, Input::Leave);
                    ends_at = Some(now + grace.saturating_sub(END_MARGIN));
                }
                SignalEvent::Terminate => {}
                SignalEvent::Reload => match Settings::path().and_then(|path| Settings::read(&path)) {
                    Ok(settings) => {
                        shared.borrow_mut().step(&shared, Input::SeedsChanged { seeds: settings.seed_addresses() });
                    }
                    Err(error) => log::warn!(target: LOG_TARGET, "settings stay as they were: {error}"),
                },
            },
        }
    }
    shared.borrow_mut().step(&shared, Input::Stop);
    let _ = tokio::time::timeout(FINAL_ANSWER_WINDOW, connections.wait_until_empty()).await;
    Ok(())
}

impl MetricsSource for Gateway {
    fn metrics(&self) -> Metrics {
        let mut metrics = Metrics::for_node(&self.data_plane.node, self.transport.stats());
        metrics.gauge(
            "configuration_version",
            "Version requests are routed by",
            self.data_plane.configuration_version(),
        );
        metrics.gauge("ready", "Whether clients may be sent here", u64::from(self.data_plane.ready()));
        metrics.gauge("requests_in_hand", "Requests that are open", self.open_requests.len() as u64);
        let refused = self.data_plane.refusals().iter().map(|(cause, count)| (*cause, *count));
        metrics.labeled_counter(
            "requests_refused",
            "Requests without an instance's answer",
            "cause",
            refused,
        );
        self.add_client_metrics(&mut metrics);
        metrics
    }
}

impl Gateway {
    /// Adds what tells by which limits open connections go, and what was refused or closed by them.
    fn add_client_metrics(&self, metrics: &mut Metrics) {
        let limits = *self.client_limits.borrow();
        let connections = &self.client_connections;
        metrics.gauge("client_connections", "Open connections of clients", connections.len() as u64);
        metrics.gauge(
            "client_connections_on_other_limits",
            "Of these, not yet by the limits in force",
            connections.with_other_limits(limits.version) as u64,
        );
        metrics.gauge(
            "client_limits_version",
            "Version that brought the limits in force",
            u64::from(limits.version.0),
        );
        let values = Setting::values(&limits.limits).into_iter();
        metrics.labeled_gauge("client_limit", "Limits in force, bytes and seconds", "setting", values);
        let refused = self.limit_log.refused().into_iter();
        metrics.labeled_counter("requests_over_limit", "Requests refused by a limit", "setting", refused);
        let ended = self.limit_log.ended().into_iter();
        metrics.labeled_counter(
            "client_connections_ended",
            "Connections of clients that ended",
            "cause",
            ended,
        );
    }

    /// These limits beside the configuration that requests are routed by.
    fn applied(&self, limits: ClientLimits) -> Applied {
        let in_force = self.data_plane.configuration().map_or(ConfigVersion(0), |newest| newest.version);
        Applied { limits, in_force }
    }

    /// Records the end of a client's connection that went by these limits.
    fn connection_ended(&self, end: ConnectionEnd, limits: ClientLimits) {
        self.limit_log.connection_ended(end, self.applied(limits));
    }

    fn due(&self) -> Micros {
        self.data_plane.due().min(self.next_eviction)
    }

    fn tick(&mut self, shared: &Shared) {
        self.step(shared, Input::Tick);
        let now = self.clock.now();
        if self.next_eviction <= now {
            self.next_eviction = now + POOL_EVICTION_INTERVAL;
            self.pool.borrow_mut().evict(now);
        }
    }

    fn message_received(&mut self, shared: &Shared, message: &ReceivedMessage) {
        let ReceivedMessage { from, bytes, carrier } = message;
        self.step(shared, Input::MessageReceived { from: NodeAddress(*from), bytes, carrier: *carrier });
    }

    fn step(&mut self, shared: &Shared, event: Input<'_>) {
        let effects = self.data_plane.step(self.clock.now(), event);
        self.publish_client_limits();
        for effect in effects {
            match effect {
                Effect::Send { to, message } => send(&self.transport, to, &message),
                Effect::StartAttempt { request, attempt, target, deadline, connections } => {
                    self.start_attempt(shared, request, attempt, target, deadline, connections);
                }
                Effect::CancelAttempt { request, attempt } => {
                    if let Some(open) = self.open_requests.get(&request) {
                        open.attempts[attempt.0 as usize].abort();
                    }
                }
                Effect::Reject { request, retry_after } => self.reply(request, Reply::Rejected(retry_after)),
                Effect::Fail { request } => self.reply(request, Reply::Failed),
            }
        }
    }

    /// Tells open connections of limits that have changed.
    fn publish_client_limits(&self) {
        let Some(configuration) = self.data_plane.configuration() else { return };
        let (limits, version) = (configuration.limits, configuration.version);
        if self.client_limits.borrow().limits != limits {
            self.client_limits.send_replace(ClientLimits { limits, version });
        }
    }

    /// Opens a request whose head, and as much of its body as is buffered, has been read.
    fn request_arrived(
        &mut self, shared: &Shared, service: &str, route: &configuration::Route, original: ReplayableRequest,
        deadline: Micros,
    ) -> (RequestId, oneshot::Receiver<Reply>) {
        self.next_request_id += 1;
        let request = RequestId(self.next_request_id);
        let (sender, receiver) = oneshot::channel();
        let original = Rc::new(original);
        self.open_requests.insert(
            request,
            OpenRequest {
                original,
                deadline,
                attempts: Vec::new(),
                reply_sender: Some(sender),
                fallback: None,
            },
        );
        let time_left = deadline - self.clock.now();
        let (route, kind) = (&*route.name, route.kind);
        self.step(shared, Input::RequestArrived { request, service, route, kind, time_left });
        // The main loop sleeps until a due time from before this request.
        self.wake_loop.notify_one();
        (request, receiver)
    }

    /// Closes a request: the client has its answer or has disconnected.
    fn request_closed(&mut self, shared: &Shared, request: RequestId) {
        self.step(shared, Input::RequestClosed { request });
        self.open_requests.remove(&request);
    }

    fn reply(&mut self, request: RequestId, reply: Reply) {
        let Some(open) = self.open_requests.get_mut(&request) else { return };
        let reply = match (open.fallback.take(), reply) {
            (Some(fallback), Reply::Rejected(_) | Reply::Failed) => Reply::Answer(fallback),
            (_, reply) => reply,
        };
        if let Some(sender) = open.reply_sender.take() {
            let _ = sender.send(reply);
        }
    }

    fn start_attempt(
        &mut self, shared: &Shared, request: RequestId, attempt: AttemptNo, target: TargetInstance,
        deadline: Option<Micros>, connections: ConnectionLimit,
    ) {
        let Some(open) = self.open_requests.get_mut(&request) else { return };
        let deadline = deadline.unwrap_or(open.deadline).min(open.deadline);
        let (pool, clock, original) = (self.pool.clone(), self.clock, open.original.clone());
        let reservation = self.body_budget.reservation();
        let attempt_run = Attempt { pool, clock, target, original, deadline, connections, reservation };
        let (gateway, sent) = (shared.clone(), clock.now());
        let task = crate::tasks::spawn_local(async move {
            let result = attempt_run.run().await;
            let mut gateway_state = gateway.borrow_mut();
            let elapsed = clock.now() - sent;
            gateway_state.attempt_ended(&gateway, request, attempt, elapsed, result);
        });
        open.attempts.push(task.abort_handle());
    }

    fn attempt_ended(
        &mut self, shared: &Shared, request: RequestId, attempt: AttemptNo, elapsed: Micros,
        result: AttemptResult,
    ) {
        let Some(open) = self.open_requests.get_mut(&request) else { return };
        let idempotent = open.original.idempotent;
        let (outcome, answered) = match result {
            AttemptResult::Failed(outcome) => (outcome, open.reply_sender.is_none()),
            // An instance's error answer may be retried elsewhere if the request is idempotent.
            AttemptResult::Answer { response, outcome: AttemptOutcome::Error } if idempotent => {
                open.fallback = Some(response);
                (AttemptOutcome::Error, open.reply_sender.is_none())
            }
            AttemptResult::Answer { response, outcome } => {
                if let Some(reply) = open.reply_sender.take() {
                    let _ = reply.send(Reply::Answer(response));
                }
                (outcome, true)
            }
        };
        self.step(shared, Input::AttemptEnded { request, attempt, elapsed, outcome, answered });
        self.wake_loop.notify_one();
    }
}

/// A retry delay as the value of `Retry-After`, in seconds.
fn retry_after_seconds(retry_after: Option<Micros>) -> String {
    format!("{:.3}", retry_after.unwrap_or(DEFAULT_RETRY_AFTER) as f64 / 1e6)
}
