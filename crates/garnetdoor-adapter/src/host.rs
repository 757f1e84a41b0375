//! The simulator as the host of a balancer: each call of the balancer becomes a line of the reply.

use std::cell::RefCell;
use std::fmt::Write as _;
use std::rc::Rc;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use garnetdoor::host::{
    AttemptNo, BuildNo, CellId, Condition, GatewayId, Host, MachineTypeId, Micros, RequestId, ServerId,
    ServerInfo, StageNo, TimerKind, Vote, ZoneId,
};
use garnetdoor::names::NameTable;

/// An entry of a page of the server list. Instances share pages, but each numbers the servers on its own.
pub struct PageEntry {
    pub name: String,
    pub build: BuildNo,
    pub zone: ZoneId,
    pub machine_type: MachineTypeId,
    pub cell: CellId,
    pub condition: Condition,
    pub capacity: f64,
    pub started: Option<Micros>,
}

impl PageEntry {
    /// The entry with the number that an instance has for the server.
    pub fn resolve(&self, instance: &InstanceHost) -> ServerInfo {
        ServerInfo {
            server: instance.server(&self.name),
            build: self.build,
            zone: self.zone,
            machine_type: self.machine_type,
            cell: self.cell,
            condition: self.condition,
            capacity: self.capacity,
            started: self.started,
        }
    }
}

struct HostState {
    /// The number of the instance in messages.
    id: u64,
    now: Micros,
    requests: NameTable,
    servers: NameTable,
    /// The lines written since they were last moved to a reply.
    lines: String,
}

/// One instance's side of the protocol, shared by the adapter and the balancer of the instance.
#[derive(Clone)]
pub struct InstanceHost(Rc<RefCell<HostState>>);

/// The handle of the timer of request 0; smaller handles are the other timers.
const FIRST_REQUEST_HANDLE: u64 = 3;

/// The number that stands for a timer in messages.
fn handle_of(timer: TimerKind) -> u64 {
    match timer {
        TimerKind::Vote => 0,
        TimerKind::ServerList => 1,
        TimerKind::StallCheck => 2,
        TimerKind::Request(request) => FIRST_REQUEST_HANDLE + request.0,
    }
}

/// The timer that a number in messages stands for.
pub fn timer_of(handle: u64) -> TimerKind {
    match handle {
        0 => TimerKind::Vote,
        1 => TimerKind::ServerList,
        2 => TimerKind::StallCheck,
        _ => TimerKind::Request(RequestId(handle - FIRST_REQUEST_HANDLE)),
    }
}

/// A time in seconds, with six decimals.
fn seconds(at: Micros) -> String {
    let sign = if at < 0 { "-" } else { "" };
    format!("{sign}{}.{:06}", at.abs() / 1_000_000, at.abs() % 1_000_000)
}

impl InstanceHost {
    pub fn new(id: u64, now: Micros) -> Self {
        let (requests, servers) = (NameTable::default(), NameTable::default());
        let state = HostState { id, now, requests, servers, lines: String::new() };
        InstanceHost(Rc::new(RefCell::new(state)))
    }

    pub fn set_now(&self, now: Micros) {
        self.0.borrow_mut().now = now;
    }

    /// The number of a request; a new name gets a new number.
    pub fn request(&self, name: &str) -> RequestId {
        RequestId(self.0.borrow_mut().requests.intern(name) as u64)
    }

    /// The number of a server; a new name gets a new number.
    pub fn server(&self, name: &str) -> ServerId {
        ServerId(self.0.borrow_mut().servers.intern(name) as u32)
    }

    /// Moves the lines written so far to the end of `reply`.
    pub fn move_lines(&self, reply: &mut String) {
        let mut state = self.0.borrow_mut();
        reply.push_str(&state.lines);
        state.lines.clear();
    }

    /// Writes that the balancer of this instance has panicked.
    pub fn exception(&self, text: &str) {
        self.write("EXCEPTION", &[&without_separators(text)]);
    }

    /// Writes a line: the name of the message, the number of the instance and the fields.
    fn write(&self, message: &str, fields: &[&dyn std::fmt::Display]) {
        let state = &mut *self.0.borrow_mut();
        let _ = write!(state.lines, "{message}\t{}", state.id);
        for field in fields {
            let _ = write!(state.lines, "\t{field}");
        }
        state.lines.push('\n');
    }

    fn request_name(&self, request: RequestId) -> Rc<str> {
        self.0.borrow().requests.name(request.0 as usize)
    }

    fn server_name(&self, server: ServerId) -> Rc<str> {
        self.0.borrow().servers.name(server.0 as usize)
    }
}

/// A text that fits into one field of a line.
fn without_separators(text: &str) -> String {
    text.replace(['\n', '\r', '\t'], " ")
}

impl Host for InstanceHost {
    fn now(&self) -> Micros {
        self.0.borrow().now
    }

    fn send_attempt(&mut self, request: RequestId, server: ServerId, until: Option<Micros>) {
        let until = until.map_or_else(|| "0".to_owned(), seconds);
        self.write("TRANSMIT", &[&self.request_name(request), &self.server_name(server), &until]);
    }

    fn cancel_attempt(&mut self, request: RequestId, attempt: AttemptNo) {
        self.write("STOP_ATTEMPT", &[&self.request_name(request), &attempt.0]);
    }

    fn reject(&mut self, request: RequestId, retry_after: Option<Micros>) {
        let retry_after = retry_after.map_or_else(|| "0".to_owned(), seconds);
        self.write("SHED", &[&self.request_name(request), &retry_after]);
    }

    fn fail(&mut self, request: RequestId) {
        self.write("FINISH_ERROR", &[&self.request_name(request)]);
    }

    fn cast_vote(&mut self, build: BuildNo, stage: StageNo, vote: Vote) {
        let code = Vote::ALL.iter().position(|other| *other == vote).unwrap_or_default();
        self.write("CAST_VOTE", &[&build.0, &stage.0, &code]);
    }

    fn set_timer(&mut self, at: Micros, timer: TimerKind) {
        self.write("ARM", &[&seconds(at), &handle_of(timer)]);
    }

    fn probe(&mut self, server: ServerId) {
        self.write("ASK_LOAD", &[&self.server_name(server)]);
    }

    fn send_to_peers(&mut self, to: Option<GatewayId>, bytes: &[u8]) {
        let to = to.map_or_else(|| "all".to_owned(), |peer| peer.0.to_string());
        let data = if bytes.is_empty() { "-".to_owned() } else { BASE64.encode(bytes) };
        self.write("NOTIFY", &[&to, &data]);
    }

    fn fetch_server_list(&mut self) {
        self.write("REFRESH", &[]);
    }

    fn watch_server_list(&mut self, on: bool) {
        self.write("KEEP_INFORMED", &[&u8::from(on)]);
    }

    fn close_idle_connections(&mut self, server: ServerId) {
        self.write("FREE_LINKS", &[&self.server_name(server)]);
    }

    fn log(&mut self, text: &str) {
        self.write("NOTE_DOWN", &[&without_separators(text)]);
    }
}
