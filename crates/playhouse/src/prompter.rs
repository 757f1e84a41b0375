//! Prompter (control plane): serves the operators' and the instances' calls, keeps the ordered log with the
//! other prompters, and counts votes while it leads. A driver: sockets, timers, disk; it decides nothing.

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

use crate::calls::{self, Call, Wrong};
use crate::commands::view::{DiskHealth, status_json};
use crate::control::{Control, In, Out, Told};
use crate::house::{Clock, House, chance};
use crate::metrics::{self, Metrics, MetricsSource};
use crate::post::send;
use crate::ring;
use crate::settings::{Settings, seconds_to_micros};
use crate::signals::{SignalEvent, Signals};
use crate::troubles::{Reverted, Writes};

/// Bytes of a call's body at most.
const BODY_MOST: usize = 8 << 20;
/// A caller that sends no request within this is closed.
const HEAD_WITHIN: Duration = Duration::from_secs(10);
/// Callers that wait at once; more are answered 503.
const ASKS_MOST: usize = 4096;

/// Beats that are refused are told of once in so long, since instances come again, all of them.
const REFUSED_EVERY: Micros = 60 * SECOND;

/// The life of each first voter's disk: all must name the same seats before they have met.
const FIRST_LIFE: RunId = RunId(0);
/// The file of the instances that were known.
const MEMORY: &str = "instances";

pub struct Prompter {
    control: Control,
    clock: Clock,
    settings: Rc<Settings>,
    post: Rc<SocketTransport>,
    disk: DiskWriter<DiskStore>,
    memory: LatestValueFile,
    asks: HashMap<CallId, oneshot::Sender<Told>>,
    next_ask: u64,
    changed: Rc<tokio::sync::Notify>,
    /// Whether it led after the last step.
    led: bool,
    /// It was told to end: to lead no more is then as it should be.
    ending: bool,
    writes: Writes,
    refused: ring::RateLimiter,
    reverted: Reverted,
}

type Shared = Rc<RefCell<Prompter>>;
type Answer = Response<Full<Bytes>>;
type Failed = Box<dyn std::error::Error>;

/// Runs until the process is told to end.
/// `metrics` is the port where they are served, if any.
pub async fn run(settings: Rc<Settings>, metrics: Option<u16>) -> Result<(), Failed> {
    let clock = Clock::start();
    let at = settings.listen_addresses.control.ok_or("ListenAddresses.Control is missing")?;
    let dir = settings.data_directory.clone().ok_or("DataDirectory is missing")?;
    let own = settings.node_address();
    let first = settings.initial_start && settings.seed_addresses().contains(&own);
    let (ledger, opened) = open(&dir, first)?;
    let (disk, mut done) = DiskWriter::start(ledger)?;
    let (memory, remembered) = LatestValueFile::start(&dir, MEMORY)?;
    let seat = VoterId { address: own, disk_id: opened.disk_id };
    let voters =
        || settings.seed_addresses().into_iter().map(|place| VoterId { address: place, disk_id: FIRST_LIFE });
    // A disk with nothing kept yet has promised nothing, also where the process was killed since it was
    // begun.
    let unused = opened.disk_id == FIRST_LIFE && opened.state == PersistentState::default();
    let first = (first && unused).then(|| Members(voters().collect()));
    let (post, mut mail) = SocketTransport::bind(
        settings.ip_address,
        settings.internal_port(),
        transport::TransportLimits::default(),
    )?;
    let now = clock.now();
    // Among the nodes it is the process that lives: one that has left in order is never heard again, and this
    // one may come back with the same disk.
    let member = settings.member(Role::ControlNode, RunId(chance()));
    let mut house = House::start(
        member,
        settings.seed_addresses(),
        seconds_to_micros(settings.heartbeat_s),
        chance(),
        now,
    );
    if let Some(bytes) = remembered {
        house.remember(now, &bytes);
    }
    let (control, out) =
        Control::start(house, seat, first, opened.state, &settings.derived_timings(), chance(), now);
    let changed = Rc::new(tokio::sync::Notify::new());
    let mut prompter = Prompter {
        control,
        clock,
        settings: settings.clone(),
        post: Rc::new(post),
        disk,
        memory,
        asks: HashMap::new(),
        next_ask: 0,
        changed: changed.clone(),
        led: false,
        ending: false,
        writes: Writes::default(),
        refused: ring::RateLimiter::new(REFUSED_EVERY),
        reverted: Reverted::default(),
    };
    prompter.carry(out);
    let shared: Shared = Rc::new(RefCell::new(prompter));
    if let Some(port) = metrics {
        metrics::spawn(SocketAddrV4::new(settings.ip_address, port), shared.clone());
    }
    crate::tasks::spawn_local(serve(crate::listen::bind_when_free(at, 512)?, shared.clone()));
    let mut signals = Signals::start()?;
    log::info!("prompter {seat} at {at}");
    loop {
        let ending = shared.borrow().ending;
        if ending && !shared.borrow().control.hands_over() {
            break;
        }
        if let Some(index) = shared.borrow().control.house.unreadable() {
            // To go on would be to take a part of the state for the whole.
            let prompter = shared.borrow();
            let why = prompter.control.house.why_unreadable().unwrap_or_default();
            return Err(format!("the state at entry {} can't be read by this program: {why}", index.0).into());
        }
        let due = clock.at(shared.borrow().control.due());
        tokio::select! {
            arrived = mail.recv() => {
                let Some(arrived) = arrived else { return Err("the post has gone".into()) };
                let mut prompter = shared.borrow_mut();
                prompter.mail(arrived);
                while let Ok(arrived) = mail.try_recv() {
                    prompter.mail(arrived);
                }
            }
            done = done.recv() => {
                let Some(done) = done else { return Err("the disk's hand has gone".into()) };
                let mut prompter = shared.borrow_mut();
                prompter.writes.answered(done.write_no, done.durable);
                prompter.step(In::Written { no: done.write_no, ok: done.durable });
                if prompter.disk.is_rejecting() {
                    // What this process holds is not what its disk holds, and never will be.
                    return Err("the disk's hand refuses writes; the ledger is to be opened anew".into());
                }
                if !done.durable {
                    ring::spill("a write is not on disk");
                }
            }
            _ = tokio::time::sleep_until(due) => shared.borrow_mut().step(In::Tick),
            _ = changed.notified() => {}
            signal = signals.next() => match signal {
                SignalEvent::Terminate if ending => break,
                SignalEvent::Terminate => {
                    let mut prompter = shared.borrow_mut();
                    prompter.ending = true;
                    prompter.step(In::Leave);
                }
                SignalEvent::Reload => match Settings::path().and_then(|path| Settings::read(&path)) {
                    Ok(settings) => shared.borrow_mut().step(In::Seeds { places: settings.seed_addresses() }),
                    Err(error) => log::warn!("settings stay as they were: {error}"),
                },
            },
        }
    }
    log::info!("prompter ends");
    tokio::time::sleep(Duration::from_millis(200)).await;
    Ok(())
}

impl MetricsSource for Prompter {
    fn metrics(&self) -> Metrics {
        let mut metrics = Metrics::for_node(&self.control.house, self.post.stats());
        metrics.gauge("leads", "Whether this machine leads", u64::from(self.control.book().is_leader()));
        metrics.gauge("calls_waiting", "Calls without an answer yet", self.asks.len() as u64);
        metrics
    }
}

/// Opens the ledger in `dir`. One that can't be read, or lacks what must be there, is set aside and begun
/// with a fresh life: this machine is a newcomer then, who is let in again and learns all from the others,
/// and nothing that its disk promised before is expected of it. `first` draws the life of a first voter, on
/// an unused disk only.
fn open(dir: &Path, first: bool) -> Result<(LogStore<DiskStore>, OpenedLog), StorageError> {
    let begin =
        |life| DiskStore::open(dir).map_err(StorageError::from).and_then(|store| LogStore::open(store, life));
    // A file that was set aside tells of an earlier use, also where the process was killed right after.
    let first = first && !DiskStore::was_set_aside(dir);
    let life = if first { FIRST_LIFE } else { RunId(chance() | 1) };
    let damage = |error: &StorageError| {
        matches!(
            error,
            StorageError::Damaged { .. }
                | StorageError::Missing { .. }
                | StorageError::Store(StoreError::Damaged { .. })
        )
    };
    // Read twice before it is given up: a fault on the way from the disk need not come again. A full or failing
    // disk may come back, and a newer form is for the program that wrote it: those are errors.
    let again = match begin(life) {
        Err(error) if damage(&error) => begin(life),
        done => return done,
    };
    match again {
        Err(error) if damage(&error) => {
            log::error!("the ledger can't be used and is set aside; its disk begins a new life: {error}");
            DiskStore::set_aside(dir)?;
            begin(RunId(chance() | 1))
        }
        done => done,
    }
}

impl Prompter {
    fn mail(&mut self, arrived: ReceivedMessage) {
        let ReceivedMessage { from, bytes, carrier } = arrived;
        self.step(In::Mail { from: NodeAddress(from), bytes, carrier });
    }

    fn step(&mut self, event: In) {
        let now = self.clock.now();
        let out = self.control.step(now, event);
        self.carry(out);
        if let Some(waited) = self.writes.hangs(now) {
            log::warn!("disk: a write has waited for {} ms", waited / types::MS);
            ring::spill("a write hangs");
        }
        let back = self.reverted.more(&self.control.house.script);
        // One tells, the one that counted the votes; what foyers saw is in their own rings.
        if self.control.book().is_leader() && !back.is_empty() {
            for (service, version) in back {
                log::warn!("the roll-out of {service} to {version} has gone back");
            }
            ring::spill("a roll-out has gone back");
        }
        let leads = self.control.book().is_leader();
        if std::mem::replace(&mut self.led, leads) && !leads && !self.ending {
            ring::spill("leadership was lost");
        }
    }

    fn carry(&mut self, out: Vec<Out>) {
        for what in out {
            match what {
                Out::Send { to, word } => send(&self.post, to, &word),
                // One that is refused is answered as failed by the hand itself.
                Out::Write(write) => {
                    self.writes.handed(self.clock.now(), write.id);
                    self.disk.submit(write);
                }
                Out::Remember(bytes) => self.memory.store(bytes),
                Out::Tell { ask, told } => {
                    if let Some(reply) = self.asks.remove(&ask) {
                        let _ = reply.send(told);
                    }
                }
            }
        }
    }

    /// A beat or a leave was answered 503: told of at a pace, with how many more there were.
    fn refused(&mut self, id: &str, why: &str) {
        if let Some(more) = self.refused.try_acquire(self.clock.now()) {
            let id = &id[..id.floor_char_boundary(64)];
            log::warn!("a beat of {id} was refused: {why}; {more} more since the last such line");
            ring::spill("a beat was refused");
        }
    }

    fn disk(&self) -> DiskHealth {
        let (waits, fails) = self.writes.stand(self.clock.now());
        DiskHealth { oldest_write_wait: waits, failing: fails }
    }

    /// Begins a call that waits; more than `ASKS_MOST` are not kept.
    fn begin(&mut self, event: impl FnOnce(CallId) -> In) -> oneshot::Receiver<Told> {
        let (reply, told) = oneshot::channel();
        self.next_ask += 1;
        let ask = CallId(self.next_ask);
        if self.asks.len() >= ASKS_MOST {
            self.asks.retain(|_, reply| !reply.is_closed());
        }
        if self.asks.len() < ASKS_MOST {
            self.asks.insert(ask, reply);
            self.step(event(ask));
            // The loop waits for what was due before.
            self.changed.notify_one();
        }
        told
    }
}

async fn serve(listener: tokio::net::TcpListener, shared: Shared) {
    let answer = move |request| answer(shared.clone(), request);
    crate::listen::serve(listener, HEAD_WITHIN, answer).await;
}

fn reply(status: StatusCode, body: impl Into<Bytes>) -> Answer {
    let mut answer = Response::new(Full::new(body.into()));
    *answer.status_mut() = status;
    answer.headers_mut().insert(header::CONTENT_TYPE, header::HeaderValue::from_static("application/json"));
    answer
}

fn fault(status: StatusCode, text: &str) -> Answer {
    let value = simd_json::json!({ "Problem": text });
    reply(status, value.encode())
}

/// One fault of what was sent, as all faults are told.
fn faults(place: &str, text: &str) -> Answer {
    reply(StatusCode::BAD_REQUEST, configuration::Faults::single(place, text).to_json())
}

fn unavailable(text: &str) -> Answer {
    fault(StatusCode::SERVICE_UNAVAILABLE, text)
}

async fn answer(shared: Shared, request: Request<Incoming>) -> Answer {
    let (head, body) = request.into_parts();
    let call = match Call::of(&head.method, head.uri.path()) {
        Ok(call) => call,
        Err(wrong) => return fault(StatusCode::NOT_FOUND, &wrong.to_string()),
    };
    let body = match Limited::new(body, BODY_MOST).collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) if error.is::<LengthLimitError>() => {
            return fault(StatusCode::PAYLOAD_TOO_LARGE, &format!("body: more than {BODY_MOST} bytes"));
        }
        Err(error) => return faults("body", &error.to_string()),
    };
    match take(&shared, call, &head, &body).await {
        Ok(answer) => answer,
        Err(wrong) => faults("", &wrong.to_string()),
    }
}

async fn take(
    shared: &Shared, call: Call, head: &hyper::http::request::Parts, body: &Bytes,
) -> Result<Answer, Wrong> {
    Ok(match call {
        Call::Replace => {
            let base = calls::base(&head.headers)?;
            order(shared, Command::Replace { base, text: body.to_vec() }, head).await
        }
        Call::Modify => {
            let base = calls::base(&head.headers)?;
            order(shared, Command::Modify { base, text: body.to_vec() }, head).await
        }
        Call::Initiate => {
            let (service, target, period) = calls::initiate(body)?;
            order(shared, Command::Rollout { service, target_version: target, period }, head).await
        }
        Call::Retrieve => match proved(shared, head).await {
            Ok(()) => match shared.borrow().control.house.script.configuration() {
                Some(bill) => reply(StatusCode::OK, bill.to_json()),
                None => fault(StatusCode::NOT_FOUND, "no configuration has been taken yet"),
            },
            Err(answer) => answer,
        },
        Call::Rollout(service) => match proved(shared, head).await {
            Ok(()) => rollout(&shared.borrow().control.house.script, &service),
            Err(answer) => answer,
        },
        Call::Status => {
            let prompter = shared.borrow();
            let now = prompter.clock.now();
            reply(StatusCode::OK, status_json(&prompter.control, prompter.disk(), now).encode())
        }
        Call::Heartbeat(id) => {
            let beat = calls::beat(id, body)?;
            let id = beat.id.clone();
            let told = shared.borrow_mut().begin(|ask| In::Beat { ask, beat });
            beaten(shared, &id.0, told).await
        }
        Call::Detach(id) => {
            let told = shared.borrow_mut().begin(|ask| In::Detach { ask, id: id.clone() });
            beaten(shared, &id.0, told).await
        }
    })
}

fn rollout(script: &control_state::ControlState, service: &str) -> Answer {
    let found = script.rollouts.get(service).and_then(|rollout| Some((rollout, rollout.state?)));
    let Some((rollout, state)) = found else {
        return fault(StatusCode::NOT_FOUND, "no roll-out of this service");
    };
    let state = match state {
        control_state::RolloutState::InProgress => "in_progress",
        control_state::RolloutState::Completed => "completed",
        control_state::RolloutState::Reverted => "reverted",
    };
    let value = simd_json::json!({ "State": state, "TargetVersion": rollout.target_version.clone() });
    reply(StatusCode::OK, value.encode())
}

/// `control` tells each call something in time; none is told what was not kept.
async fn beaten(shared: &Shared, id: &str, told: oneshot::Receiver<Told>) -> Answer {
    let told = told.await.ok();
    match told {
        Some(Told::Beat { target }) => {
            let port = shared.borrow().settings.control_port();
            let text =
                target.map_or("{}".to_owned(), |place| format!("{{\"HeartbeatTarget\":\"{place}:{port}\"}}"));
            reply(StatusCode::OK, text)
        }
        told => {
            let why = if told.is_some() { "not known to others" } else { "too many wait" };
            shared.borrow_mut().refused(id, why);
            unavailable("not known to others in time")
        }
    }
}

/// Sends a caller on to the leader, or away for now. `leader`: one that was heard lately.
fn elsewhere(shared: &Shared, leader: Option<NodeAddress>, head: &hyper::http::request::Parts) -> Answer {
    let (own, port) = {
        let prompter = shared.borrow();
        (prompter.control.seat().address, prompter.settings.control_port())
    };
    let Some(leader) = leader.filter(|leader| *leader != own) else {
        return unavailable("nobody is known to lead, or not in time");
    };
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let mut answer = fault(StatusCode::TEMPORARY_REDIRECT, "another machine leads");
    if let Ok(value) = header::HeaderValue::from_str(&format!("http://{leader}:{port}{path}")) {
        answer.headers_mut().insert(header::LOCATION, value);
    }
    answer
}

/// Waits until this node has proved that it leads and has applied all that was acknowledged before.
async fn proved(shared: &Shared, head: &hyper::http::request::Parts) -> Result<(), Answer> {
    let told = shared.borrow_mut().begin(|ask| In::Read { ask });
    match told.await {
        Ok(Told::ReadAt) => Ok(()),
        Ok(Told::Refused { leader }) => Err(elsewhere(shared, leader, head)),
        _ => Err(unavailable("too many wait")),
    }
}

/// Has a command ordered, or tells why it is not.
async fn order(shared: &Shared, command: Command, head: &hyper::http::request::Parts) -> Answer {
    let told = shared.borrow_mut().begin(|ask| In::Order { ask, command });
    match told.await {
        Ok(Told::Applied(outcome)) => ordered(outcome),
        Ok(Told::Refused { leader }) => elsewhere(shared, leader, head),
        _ => unavailable("too many wait"),
    }
}

fn ordered(outcome: CommandOutcome) -> Answer {
    let status = StatusCode::from_u16(outcome.http_status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    if status.is_success() {
        return reply(status, "{}");
    }
    if let CommandOutcome::Invalid(faults) = &outcome {
        return reply(status, faults.to_json());
    }
    if let CommandOutcome::VersionConflict { current } = &outcome {
        let value = simd_json::json!({ "ConfigVersion": current.to_string() });
        return reply(status, value.encode());
    }
    fault(status, &refusal(&outcome))
}

/// What a refusal says to a person.
pub(crate) fn refusal(outcome: &CommandOutcome) -> String {
    match outcome {
        CommandOutcome::Conflict(text) | CommandOutcome::UnknownService(text) => text.clone(),
        CommandOutcome::Unreadable => "no command of ours".to_owned(),
        CommandOutcome::UnsupportedFormat { format: form } => {
            format!("form {form} is agreed, which this program does not read")
        }
        CommandOutcome::AlreadyApplied => "the state has passed this by; ask again".to_owned(),
        CommandOutcome::Applied
        | CommandOutcome::Repeated
        | CommandOutcome::Invalid(_)
        | CommandOutcome::VersionConflict { .. } => String::new(),
    }
}
