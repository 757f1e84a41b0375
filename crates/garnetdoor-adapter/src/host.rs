//! The bench as a host: what the decisions ask for becomes lines of the reply.

use std::cell::RefCell;
use std::fmt::Write as _;
use std::rc::Rc;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use garnetdoor::host::{
    BuildNo, CellId, Condition, GatewayId, Host, KindId, Listing, Micros, ServerId, StageNo, TicketId,
    TripNo, Vote, Wake, ZoneId,
};
use garnetdoor::names::Names;

/// An entry of a page, which belongs to no instance yet.
pub struct Listed {
    pub name: String,
    pub build: BuildNo,
    pub zone: ZoneId,
    pub kind: KindId,
    pub cell: CellId,
    pub condition: Condition,
    pub size: f64,
    pub started: Option<Micros>,
}

impl Listed {
    /// The entry with the instance's own number for the server.
    pub fn resolve(&self, handle: &Handle) -> Listing {
        Listing {
            server: handle.server(&self.name),
            build: self.build,
            zone: self.zone,
            kind: self.kind,
            cell: self.cell,
            condition: self.condition,
            size: self.size,
            started: self.started,
        }
    }
}

struct Desk {
    id: u64,
    now: Micros,
    tickets: Names,
    servers: Names,
    out: String,
}

/// One instance's side of the wire, held by the adapter and by the instance's decisions.
#[derive(Clone)]
pub struct Handle(Rc<RefCell<Desk>>);

const FIRST_TICKET: u64 = 3;

fn handle_of(wake: Wake) -> u64 {
    match wake {
        Wake::Vote => 0,
        Wake::List => 1,
        Wake::Beat => 2,
        Wake::Ticket(ticket) => FIRST_TICKET + ticket.0,
    }
}

pub fn wake(handle: u64) -> Wake {
    match handle {
        0 => Wake::Vote,
        1 => Wake::List,
        2 => Wake::Beat,
        _ => Wake::Ticket(TicketId(handle - FIRST_TICKET)),
    }
}

/// Seconds with all six digits.
fn seconds(at: Micros) -> String {
    let sign = if at < 0 { "-" } else { "" };
    format!("{sign}{}.{:06}", at.abs() / 1_000_000, at.abs() % 1_000_000)
}

impl Handle {
    pub fn new(id: u64, now: Micros) -> Self {
        let desk = Desk { id, now, tickets: Names::default(), servers: Names::default(), out: String::new() };
        Handle(Rc::new(RefCell::new(desk)))
    }

    pub fn set_now(&self, now: Micros) {
        self.0.borrow_mut().now = now;
    }

    pub fn ticket(&self, name: &str) -> TicketId {
        TicketId(self.0.borrow_mut().tickets.number(name) as u64)
    }

    pub fn server(&self, name: &str) -> ServerId {
        ServerId(self.0.borrow_mut().servers.number(name) as u32)
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

    fn ticket_name(&self, ticket: TicketId) -> Rc<str> {
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

    fn send_trip(&mut self, ticket: TicketId, server: ServerId, until: Option<Micros>) {
        let until = until.map_or_else(|| "0".to_owned(), seconds);
        self.write("TRANSMIT", &[&self.ticket_name(ticket), &self.server_name(server), &until]);
    }

    fn stop_trip(&mut self, ticket: TicketId, trip: TripNo) {
        self.write("STOP_ATTEMPT", &[&self.ticket_name(ticket), &trip.0]);
    }

    fn turn_back(&mut self, ticket: TicketId, come_back_in: Option<Micros>) {
        let wait = come_back_in.map_or_else(|| "0".to_owned(), seconds);
        self.write("SHED", &[&self.ticket_name(ticket), &wait]);
    }

    fn forfeit(&mut self, ticket: TicketId) {
        self.write("FINISH_ERROR", &[&self.ticket_name(ticket)]);
    }

    fn vote(&mut self, build: BuildNo, stage: StageNo, vote: Vote) {
        let code = Vote::ALL.iter().position(|other| *other == vote).unwrap_or_default();
        self.write("CAST_VOTE", &[&build.0, &stage.0, &code]);
    }

    fn wake_at(&mut self, at: Micros, wake: Wake) {
        self.write("ARM", &[&seconds(at), &handle_of(wake)]);
    }

    fn probe(&mut self, server: ServerId) {
        self.write("ASK_LOAD", &[&self.server_name(server)]);
    }

    fn tell_peers(&mut self, to: Option<GatewayId>, bytes: &[u8]) {
        let to = to.map_or_else(|| "all".to_owned(), |peer| peer.0.to_string());
        let data = if bytes.is_empty() { "-".to_owned() } else { BASE64.encode(bytes) };
        self.write("NOTIFY", &[&to, &data]);
    }

    fn ask_list(&mut self) {
        self.write("REFRESH", &[]);
    }

    fn follow_list(&mut self, on: bool) {
        self.write("KEEP_INFORMED", &[&u8::from(on)]);
    }

    fn close_idle(&mut self, server: ServerId) {
        self.write("FREE_LINKS", &[&self.server_name(server)]);
    }

    fn note(&mut self, text: &str) {
        self.write("NOTE_DOWN", &[&plain(text)]);
    }
}
