//! The bench as a host: what the decisions ask for becomes lines of the reply.

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

/// An entry of a page, which belongs to no instance yet.
pub struct Listed {
    pub name: String,
    pub build: BuildNo,
    pub zone: ZoneId,
    pub machine_type: MachineTypeId,
    pub cell: CellId,
    pub condition: Condition,
    pub capacity: f64,
    pub started: Option<Micros>,
}

impl Listed {
    /// The entry with the instance's own number for the server.
    pub fn resolve(&self, handle: &Handle) -> ServerInfo {
        ServerInfo {
            server: handle.server(&self.name),
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

struct Desk {
    id: u64,
    now: Micros,
    tickets: NameTable,
    servers: NameTable,
    out: String,
}

/// One instance's side of the wire, held by the adapter and by the instance's decisions.
#[derive(Clone)]
pub struct Handle(Rc<RefCell<Desk>>);

const FIRST_TICKET: u64 = 3;

fn handle_of(wake: TimerKind) -> u64 {
    match wake {
        TimerKind::Vote => 0,
        TimerKind::ServerList => 1,
        TimerKind::StallCheck => 2,
        TimerKind::Request(ticket) => FIRST_TICKET + ticket.0,
    }
}

pub fn wake(handle: u64) -> TimerKind {
    match handle {
        0 => TimerKind::Vote,
        1 => TimerKind::ServerList,
        2 => TimerKind::StallCheck,
        _ => TimerKind::Request(RequestId(handle - FIRST_TICKET)),
    }
}

/// Seconds with all six digits.
fn seconds(at: Micros) -> String {
    let sign = if at < 0 { "-" } else { "" };
    format!("{sign}{}.{:06}", at.abs() / 1_000_000, at.abs() % 1_000_000)
}

impl Handle {
    pub fn new(id: u64, now: Micros) -> Self {
        let desk = Desk {
            id,
            now,
            tickets: NameTable::default(),
            servers: NameTable::default(),
            out: String::new(),
        };
        Handle(Rc::new(RefCell::new(desk)))
    }

    pub fn set_now(&self, now: Micros) {
        self.0.borrow_mut().now = now;
    }

    pub fn ticket(&self, name: &str) -> RequestId {
        RequestId(self.0.borrow_mut().tickets.intern(name) as u64)
    }

    pub fn server(&self, name: &str) -> ServerId {
        ServerId(self.0.borrow_mut().servers.intern(name) as u32)
    }

    /// Moves the lines written so far to the end of `reply`.
    pub fn drain(&self, reply: &mut String) {
        let mut desk = self.0.borrow_mut();
        reply.push_str(&desk.out);
        desk.out.clear();
    }

    pub fn exception(&self, text: &str) {
        self.write("EXCEPTION", &[&plain(text)]);
    }

    fn write(&self, message: &str, fields: &[&dyn std::fmt::Display]) {
        let desk = &mut *self.0.borrow_mut();
        let _ = write!(desk.out, "{message}\t{}", desk.id);
        for field in fields {
            let _ = write!(desk.out, "\t{field}");
        }
        desk.out.push('\n');
    }

    fn ticket_name(&self, ticket: RequestId) -> Rc<str> {
        self.0.borrow().tickets.name(ticket.0 as usize)
    }

    fn server_name(&self, server: ServerId) -> Rc<str> {
        self.0.borrow().servers.name(server.0 as usize)
    }
}

fn plain(text: &str) -> String {
    text.replace(['\n', '\r', '\t'], " ")
}

impl Host for Handle {
    fn now(&self) -> Micros {
        self.0.borrow().now
    }

    fn send_attempt(&mut self, ticket: RequestId, server: ServerId, until: Option<Micros>) {
        let until = until.map_or_else(|| "0".to_owned(), seconds);
        self.write("TRANSMIT", &[&self.ticket_name(ticket), &self.server_name(server), &until]);
    }

    fn cancel_attempt(&mut self, ticket: RequestId, trip: AttemptNo) {
        self.write("STOP_ATTEMPT", &[&self.ticket_name(ticket), &trip.0]);
    }

    fn reject(&mut self, ticket: RequestId, come_back_in: Option<Micros>) {
        let wait = come_back_in.map_or_else(|| "0".to_owned(), seconds);
        self.write("SHED", &[&self.ticket_name(ticket), &wait]);
    }

    fn fail(&mut self, ticket: RequestId) {
        self.write("FINISH_ERROR", &[&self.ticket_name(ticket)]);
    }

    fn cast_vote(&mut self, build: BuildNo, stage: StageNo, vote: Vote) {
        let code = Vote::ALL.iter().position(|other| *other == vote).unwrap_or_default();
        self.write("CAST_VOTE", &[&build.0, &stage.0, &code]);
    }

    fn set_timer(&mut self, at: Micros, wake: TimerKind) {
        self.write("ARM", &[&seconds(at), &handle_of(wake)]);
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
        self.write("NOTE_DOWN", &[&plain(text)]);
    }
}
