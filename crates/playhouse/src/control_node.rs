//! The driver of a control node: connects `control_plane` to sockets, timers and the disk, and serves the HTTP calls of
//! operators and instances. It takes no decisions itself.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use consensus::{Members, PersistentState};
use control_state::{Command, CommandOutcome};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode, header};
use membership::Role;
use simd_json::prelude::*;
use storage::{LogStore, OpenedLog, StorageError, StoreError};
use tokio::sync::oneshot;
use transport::{DiskStore, DiskWriter, LatestValueFile, ReceivedMessage, SocketTransport};
use types::{CallId, Micros, NodeAddress, RunId, SECOND, VoterId};

use crate::api::{self, ApiCall, CallError};
use crate::commands::view::{DiskHealth, status_json};
use crate::control_plane::{CallOutcome, ControlPlane, Input, Output};
use crate::failure_watch::{RevertedRollouts, WriteMonitor};
use crate::metrics::{self, Metrics, MetricsSource};
use crate::node::{Clock, NodeCore, random_u64};
use crate::outgoing::send;
use crate::ring;
use crate::settings::{Settings, seconds_to_micros};
use crate::signals::{SignalEvent, Signals};

const LOG_TARGET: &str = "playhouse::prompter"; // Operators filter log lines by this name, which is older than the module's.

/// Maximum number of bytes of a call's body.
const MAX_BODY_BYTES: usize = 8 << 20;
/// A connection on which no request head arrives within this is closed.
const REQUEST_HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum number of waiting calls; more are answered 503.
const MAX_WAITING_CALLS: usize = 4096;
/// Backlog of the listening socket for calls.
const LISTEN_BACKLOG: i32 = 512;
/// How long the process goes on after its last step, so that its last messages leave.
const FINAL_SEND_DELAY: Duration = Duration::from_millis(200);

/// Rejected heartbeats are logged once in this interval, since all instances that are rejected try again.
const REJECTED_HEARTBEAT_LOG_INTERVAL: Micros = 60 * SECOND;
/// Maximum number of bytes of an instance's id that a log line shows.
const MAX_LOGGED_ID_BYTES: usize = 64;

/// The id of each initial voter's disk. It is fixed, as all initial voters must name the same voter ids before their
/// first contact.
const FIRST_DISK_ID: RunId = RunId(0);
/// The file of the known instances in the data directory.
const INSTANCES_FILE: &str = "instances";

/// A running control node.
pub struct ControlNode {
    control: ControlPlane,
    clock: Clock,
    settings: Rc<Settings>,
    transport: Rc<SocketTransport>,
    disk: DiskWriter<DiskStore>,
    instances_file: LatestValueFile,
    waiting_calls: HashMap<CallId, oneshot::Sender<CallOutcome>>,
    last_call: u64,
    changed: Rc<tokio::sync::Notify>,
    /// Whether this node led after the last step.
    was_leader: bool,
    /// The process was told to end: losing the leadership is expected then.
    ending: bool,
    writes: WriteMonitor,
    rejected_heartbeats: ring::RateLimiter,
    reverted_rollouts: RevertedRollouts,
}

type Shared = Rc<RefCell<ControlNode>>;
type HttpResponse = Response<Full<Bytes>>;
type RunError = Box<dyn std::error::Error>;

/// Runs a control node until the process is told to end. `metrics` is the port on which metrics are served, if any.
pub async fn run(settings: Rc<Settings>, metrics: Option<u16>) -> Result<(), RunError> {
    let clock = Clock::start();
    let listen_address = settings.listen_addresses.control.ok_or("ListenAddresses.Control is missing")?;
    let data_directory = settings.data_directory.clone().ok_or("DataDirectory is missing")?;
    let own = settings.node_address();
    let is_first_voter = settings.initial_start && settings.seed_addresses().contains(&own);
    let (log_store, opened) = open_log_store(&data_directory, is_first_voter)?;
    let (disk, mut finished_writes) = DiskWriter::start(log_store)?;
    let (instances_file, saved_instances) = LatestValueFile::start(&data_directory, INSTANCES_FILE)?;
    let voter_id = VoterId { address: own, disk_id: opened.disk_id };
    let voters =
        || settings.seed_addresses().into_iter().map(|address| VoterId { address, disk_id: FIRST_DISK_ID });
    // An empty disk has promised nothing, even if the process was killed since the disk was first opened.
    let is_unused = opened.disk_id == FIRST_DISK_ID && opened.state == PersistentState::default();
    let first_members = (is_first_voter && is_unused).then(|| Members(voters().collect()));
    let (transport, mut incoming) = SocketTransport::bind(
        settings.ip_address,
        settings.internal_port(),
        transport::TransportLimits::default(),
    )?;
    let now = clock.now();
    // Membership identifies a node by its process: one that has left in order is never heard again, while this process
    // may come back with the same disk.
    let member = settings.member(Role::ControlNode, RunId(random_u64()));
    let heartbeat_interval = seconds_to_micros(settings.heartbeat_s);
    let mut node = NodeCore::start(member, settings.seed_addresses(), heartbeat_interval, random_u64(), now);
    if let Some(bytes) = saved_instances {
        node.restore_instances(now, &bytes);
    }
    let (control, outputs) = ControlPlane::start(
        node,
        voter_id,
        first_members,
        opened.state,
        &settings.derived_timings(),
        random_u64(),
        now,
    );
    let changed = Rc::new(tokio::sync::Notify::new());
    let mut control_node = ControlNode {
        control,
        clock,
        settings: settings.clone(),
        transport: Rc::new(transport),
        disk,
        instances_file,
        waiting_calls: HashMap::new(),
        last_call: 0,
        changed: changed.clone(),
        was_leader: false,
        ending: false,
        writes: WriteMonitor::default(),
        rejected_heartbeats: ring::RateLimiter::new(REJECTED_HEARTBEAT_LOG_INTERVAL),
        reverted_rollouts: RevertedRollouts::default(),
    };
    control_node.run_outputs(outputs);
    let shared: Shared = Rc::new(RefCell::new(control_node));
    if let Some(port) = metrics {
        metrics::spawn(SocketAddrV4::new(settings.ip_address, port), shared.clone());
    }
    let listener = crate::listen::bind_when_free(listen_address, LISTEN_BACKLOG)?;
    crate::tasks::spawn_local(serve(listener, shared.clone()));
    let mut signals = Signals::start()?;
    log::info!(target: LOG_TARGET, "prompter {voter_id} at {listen_address}");
    loop {
        let ending = shared.borrow().ending;
        if ending && !shared.borrow().control.is_handing_over() {
            break;
        }
        if let Some(index) = shared.borrow().control.node.unreadable_entry() {
            // Going on would mean to take a part of the state for the whole.
            let control_node = shared.borrow();
            let reason = control_node.control.node.unreadable_reason().unwrap_or_default();
            return Err(
                format!("the state at entry {} can't be read by this program: {reason}", index.0).into()
            );
        }
        let due = clock.at(shared.borrow().control.due());
        tokio::select! {
            received = incoming.recv() => {
                let Some(received) = received else { return Err("the transport's receiver has stopped".into()) };
                let mut control_node = shared.borrow_mut();
                control_node.receive(received);
                while let Ok(received) = incoming.try_recv() {
                    control_node.receive(received);
                }
            }
            finished = finished_writes.recv() => {
                let Some(finished) = finished else { return Err("the disk writer has stopped".into()) };
                let mut control_node = shared.borrow_mut();
                control_node.writes.finished(finished.write_no, finished.durable);
                control_node.step(Input::WriteFinished { write: finished.write_no, durable: finished.durable });
                if control_node.disk.is_rejecting() {
                    // The log in memory differs from the one on disk from here on.
                    return Err("the disk's hand refuses writes; the ledger is to be opened anew".into());
                }
                if !finished.durable {
                    ring::spill("a write is not on disk");
                }
            }
            _ = tokio::time::sleep_until(due) => shared.borrow_mut().step(Input::Tick),
            _ = changed.notified() => {}
            signal = signals.next() => match signal {
                SignalEvent::Terminate if ending => break,
                SignalEvent::Terminate => {
                    let mut control_node = shared.borrow_mut();
                    control_node.ending = true;
                    control_node.step(Input::Leave);
                }
                SignalEvent::Reload => match Settings::path().and_then(|path| Settings::read(&path)) {
                    Ok(settings) => {
                        shared.borrow_mut().step(Input::Seeds { addresses: settings.seed_addresses() });
                    }
                    Err(error) => log::warn!(target: LOG_TARGET, "settings stay as they were: {error}"),
                },
            },
        }
    }
    log::info!(target: LOG_TARGET, "prompter ends");
    tokio::time::sleep(FINAL_SEND_DELAY).await;
    Ok(())
}

impl MetricsSource for ControlNode {
    fn metrics(&self) -> Metrics {
        let mut metrics = Metrics::for_node(&self.control.node, self.transport.stats());
        metrics.gauge("leads", "Whether this machine leads", u64::from(self.control.raft().is_leader()));
        metrics.gauge(
            "disk_write_micros",
            "How long a write of the log takes now",
            self.control.raft().write_time().max(0) as u64,
        );
        metrics.gauge("calls_waiting", "Calls without an answer yet", self.waiting_calls.len() as u64);
        metrics
    }
}

/// Opens the log store in `dir`. If it can't be read, or lacks what must be there, it is set aside and a new one with a
/// new disk id is begun. This node is a newcomer then: it is admitted anew and learns everything from the others, and
/// nothing that its old disk promised is expected of it. `is_first_voter` selects the disk id of an initial voter, on
/// an unused disk only.
fn open_log_store(
    dir: &Path, is_first_voter: bool,
) -> Result<(LogStore<DiskStore>, OpenedLog), StorageError> {
    let open = |disk_id| {
        DiskStore::open(dir).map_err(StorageError::from).and_then(|store| LogStore::open(store, disk_id))
    };
    // A file that was set aside shows an earlier use, even if the process was killed right after.
    let is_first_voter = is_first_voter && !DiskStore::was_set_aside(dir);
    let disk_id = if is_first_voter { FIRST_DISK_ID } else { RunId(random_u64() | 1) };
    let is_damage = |error: &StorageError| {
        matches!(
            error,
            StorageError::Damaged { .. }
                | StorageError::Missing { .. }
                | StorageError::Store(StoreError::Damaged { .. })
        )
    };
    // Read twice before it is given up: a fault on the way from the disk may not come again. A full or failing disk may
    // recover, and a newer format version is for the program that wrote it: those are errors.
    let second_try = match open(disk_id) {
        Err(error) if is_damage(&error) => open(disk_id),
        result => return result,
    };
    match second_try {
        Err(error) if is_damage(&error) => {
            log::error!(
                target: LOG_TARGET,
                "the ledger can't be used and is set aside; its disk begins a new life: {error}"
            );
            DiskStore::set_aside(dir)?;
            open(RunId(random_u64() | 1))
        }
        result => result,
    }
}

impl ControlNode {
    fn receive(&mut self, received: ReceivedMessage) {
        let ReceivedMessage { from, bytes, carrier } = received;
        self.step(Input::Received { from: NodeAddress(from), bytes, carrier });
    }

    fn step(&mut self, input: Input) {
        let now = self.clock.now();
        let outputs = self.control.step(now, input);
        self.run_outputs(outputs);
        if let Some(waited) = self.writes.take_hang(now) {
            log::warn!(target: LOG_TARGET, "disk: a write has waited for {} ms", waited / types::MS);
            ring::spill("a write hangs");
        }
        let reverted = self.reverted_rollouts.take_new(&self.control.node.state);
        // Only the leader reports it, as it counted the votes; what gateways saw is in their own log rings.
        if self.control.raft().is_leader() && !reverted.is_empty() {
            for (service, version) in reverted {
                log::warn!(target: LOG_TARGET, "the roll-out of {service} to {version} has gone back");
            }
            ring::spill("a roll-out has gone back");
        }
        let is_leader = self.control.raft().is_leader();
        if std::mem::replace(&mut self.was_leader, is_leader) && !is_leader && !self.ending {
            ring::spill("leadership was lost");
        }
    }

    fn run_outputs(&mut self, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send { to, envelope } => send(&self.transport, to, &envelope),
                // A write that is rejected is reported as failed by the disk writer itself.
                Output::Write(write) => {
                    self.writes.submitted(self.clock.now(), write.id);
                    self.disk.submit(write);
                }
                Output::SaveInstances(bytes) => self.instances_file.store(bytes),
                Output::Reply { call, outcome } => {
                    if let Some(sender) = self.waiting_calls.remove(&call) {
                        let _ = sender.send(outcome);
                    }
                }
            }
        }
    }

    /// A heartbeat or detach was answered 503: logs it at a limited rate, with the number of those left out.
    fn log_rejected_heartbeat(&mut self, id: &str, reason: &str) {
        if let Some(more) = self.rejected_heartbeats.try_acquire(self.clock.now()) {
            let id = &id[..id.floor_char_boundary(MAX_LOGGED_ID_BYTES)];
            log::warn!(
                target: LOG_TARGET,
                "a beat of {id} was refused: {reason}; {more} more since the last such line"
            );
            ring::spill("a beat was refused");
        }
    }

    fn disk_status(&self) -> DiskHealth {
        let (waits, fails) = self.writes.status(self.clock.now());
        DiskHealth { oldest_write_wait: waits, failing: fails }
    }

    /// Begins a call and returns the receiver of its outcome. If more than `MAX_WAITING_CALLS` wait, the call is
    /// dropped and the receiver reports a closed channel.
    fn begin_call(&mut self, input: impl FnOnce(CallId) -> Input) -> oneshot::Receiver<CallOutcome> {
        let (sender, receiver) = oneshot::channel();
        self.last_call += 1;
        let call = CallId(self.last_call);
        if self.waiting_calls.len() >= MAX_WAITING_CALLS {
            self.waiting_calls.retain(|_, sender| !sender.is_closed());
        }
        if self.waiting_calls.len() < MAX_WAITING_CALLS {
            self.waiting_calls.insert(call, sender);
            self.step(input(call));
            // The main loop sleeps until the due time from before this step.
            self.changed.notify_one();
        }
        receiver
    }
}

async fn serve(listener: tokio::net::TcpListener, shared: Shared) {
    let answer = move |request| answer(shared.clone(), request);
    crate::listen::serve(listener, REQUEST_HEAD_TIMEOUT, answer).await;
}

fn json_response(status: StatusCode, body: impl Into<Bytes>) -> HttpResponse {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, header::HeaderValue::from_static("application/json"));
    response
}

fn problem(status: StatusCode, text: &str) -> HttpResponse {
    let value = simd_json::json!({ "Problem": text });
    json_response(status, value.encode())
}

/// A response 400 with one fault of the request, in the format of all lists of faults.
fn bad_request(location: &str, text: &str) -> HttpResponse {
    json_response(StatusCode::BAD_REQUEST, configuration::Faults::single(location, text).to_json())
}

fn unavailable(text: &str) -> HttpResponse {
    problem(StatusCode::SERVICE_UNAVAILABLE, text)
}

async fn answer(shared: Shared, request: Request<Incoming>) -> HttpResponse {
    let (head, body) = request.into_parts();
    let call = match ApiCall::from_request(&head.method, head.uri.path()) {
        Ok(call) => call,
        Err(error) => return problem(StatusCode::NOT_FOUND, &error.to_string()),
    };
    let body = match Limited::new(body, MAX_BODY_BYTES).collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) if error.is::<LengthLimitError>() => {
            return problem(
                StatusCode::PAYLOAD_TOO_LARGE,
                &format!("body: more than {MAX_BODY_BYTES} bytes"),
            );
        }
        Err(error) => return bad_request("body", &error.to_string()),
    };
    match handle_call(&shared, call, &head, &body).await {
        Ok(response) => response,
        Err(error) => bad_request("", &error.to_string()),
    }
}

async fn handle_call(
    shared: &Shared, call: ApiCall, head: &hyper::http::request::Parts, body: &Bytes,
) -> Result<HttpResponse, CallError> {
    Ok(match call {
        ApiCall::ReplaceConfiguration => {
            let base = api::parse_base_version(&head.headers)?;
            propose(shared, Command::Replace { base, text: body.to_vec() }, head).await
        }
        ApiCall::ModifyConfiguration => {
            let base = api::parse_base_version(&head.headers)?;
            propose(shared, Command::Modify { base, text: body.to_vec() }, head).await
        }
        ApiCall::InitiateRollout => {
            let (service, target_version, period) = api::parse_rollout_order(body)?;
            propose(shared, Command::Rollout { service, target_version, period }, head).await
        }
        ApiCall::RetrieveConfiguration => match confirm_leadership(shared, head).await {
            Ok(()) => match shared.borrow().control.node.state.configuration() {
                Some(configuration) => json_response(StatusCode::OK, configuration.to_json()),
                None => problem(StatusCode::NOT_FOUND, "no configuration has been taken yet"),
            },
            Err(response) => response,
        },
        ApiCall::RetrieveRollout(service) => match confirm_leadership(shared, head).await {
            Ok(()) => rollout_response(&shared.borrow().control.node.state, &service),
            Err(response) => response,
        },
        ApiCall::Status => {
            let control_node = shared.borrow();
            let now = control_node.clock.now();
            let status = status_json(&control_node.control, control_node.disk_status(), now);
            json_response(StatusCode::OK, status.encode())
        }
        ApiCall::Heartbeat(id) => {
            let heartbeat = api::parse_heartbeat(id, body)?;
            let id = heartbeat.id.clone();
            let outcome = shared.borrow_mut().begin_call(|call| Input::Heartbeat { call, heartbeat });
            heartbeat_response(shared, &id.0, outcome).await
        }
        ApiCall::Detach(id) => {
            let outcome = shared.borrow_mut().begin_call(|call| Input::Detach { call, id: id.clone() });
            heartbeat_response(shared, &id.0, outcome).await
        }
    })
}

fn rollout_response(state: &control_state::ControlState, service: &str) -> HttpResponse {
    let found = state.rollouts.get(service).and_then(|rollout| Some((rollout, rollout.state?)));
    let Some((rollout, state)) = found else {
        return problem(StatusCode::NOT_FOUND, "no roll-out of this service");
    };
    let state = match state {
        control_state::RolloutState::InProgress => "in_progress",
        control_state::RolloutState::Completed => "completed",
        control_state::RolloutState::Reverted => "reverted",
    };
    let value = simd_json::json!({ "State": state, "TargetVersion": rollout.target_version.clone() });
    json_response(StatusCode::OK, value.encode())
}

/// Answers a heartbeat or detach. `control_plane` answers each call in time, and confirms only what other nodes hold,
/// too.
async fn heartbeat_response(
    shared: &Shared, id: &str, outcome: oneshot::Receiver<CallOutcome>,
) -> HttpResponse {
    let outcome = outcome.await.ok();
    match outcome {
        Some(CallOutcome::HeartbeatAccepted { target }) => {
            let port = shared.borrow().settings.control_port();
            let text = target
                .map_or("{}".to_owned(), |address| format!("{{\"HeartbeatTarget\":\"{address}:{port}\"}}"));
            json_response(StatusCode::OK, text)
        }
        outcome => {
            let reason = if outcome.is_some() { "not known to others" } else { "too many wait" };
            shared.borrow_mut().log_rejected_heartbeat(id, reason);
            unavailable("not known to others in time")
        }
    }
}

/// Redirects a caller to the leader, or answers 503. `leader`: one that was heard recently.
fn redirect_to_leader(
    shared: &Shared, leader: Option<NodeAddress>, head: &hyper::http::request::Parts,
) -> HttpResponse {
    let (own, port) = {
        let control_node = shared.borrow();
        (control_node.control.voter_id().address, control_node.settings.control_port())
    };
    let Some(leader) = leader.filter(|leader| *leader != own) else {
        return unavailable("nobody is known to lead, or not in time");
    };
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let mut response = problem(StatusCode::TEMPORARY_REDIRECT, "another machine leads");
    if let Ok(value) = header::HeaderValue::from_str(&format!("http://{leader}:{port}{path}")) {
        response.headers_mut().insert(header::LOCATION, value);
    }
    response
}

/// Waits until this node has proved that it leads and has applied all that was acknowledged before the call.
async fn confirm_leadership(shared: &Shared, head: &hyper::http::request::Parts) -> Result<(), HttpResponse> {
    let outcome = shared.borrow_mut().begin_call(|call| Input::Read { call });
    match outcome.await {
        Ok(CallOutcome::ReadReady) => Ok(()),
        Ok(CallOutcome::NotLeader { leader }) => Err(redirect_to_leader(shared, leader, head)),
        _ => Err(unavailable("too many wait")),
    }
}

/// Proposes a command and answers with its outcome.
async fn propose(shared: &Shared, command: Command, head: &hyper::http::request::Parts) -> HttpResponse {
    let outcome = shared.borrow_mut().begin_call(|call| Input::Propose { call, command });
    match outcome.await {
        Ok(CallOutcome::Applied(outcome)) => command_response(outcome),
        Ok(CallOutcome::NotLeader { leader }) => redirect_to_leader(shared, leader, head),
        _ => unavailable("too many wait"),
    }
}

fn command_response(outcome: CommandOutcome) -> HttpResponse {
    let status = StatusCode::from_u16(outcome.http_status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    if status.is_success() {
        return json_response(status, "{}");
    }
    if let CommandOutcome::Invalid(faults) = &outcome {
        return json_response(status, faults.to_json());
    }
    if let CommandOutcome::VersionConflict { current } = &outcome {
        let value = simd_json::json!({ "ConfigVersion": current.to_string() });
        return json_response(status, value.encode());
    }
    problem(status, &refusal_text(&outcome))
}

/// The reason of a refused command, for people.
pub(crate) fn refusal_text(outcome: &CommandOutcome) -> String {
    match outcome {
        CommandOutcome::Conflict(text) | CommandOutcome::UnknownService(text) => text.clone(),
        CommandOutcome::Unreadable => "no command of ours".to_owned(),
        CommandOutcome::UnsupportedFormat { format } => {
            format!("form {format} is agreed, which this program does not read")
        }
        CommandOutcome::AlreadyApplied => "the state has passed this by; ask again".to_owned(),
        CommandOutcome::Applied
        | CommandOutcome::Repeated
        | CommandOutcome::Invalid(_)
        | CommandOutcome::VersionConflict { .. } => String::new(),
    }
}
