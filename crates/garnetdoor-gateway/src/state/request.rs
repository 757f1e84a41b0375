//! A ticket and its trips as the sockets know them.

use std::net::SocketAddr;

use garnetdoor::host::{BuildNo, Condition, Micros, ServerId};

use super::timers::Set;
use crate::event::ConnId;
use crate::wire::client::Request;

/// One trip of a ticket.
pub struct Trip {
    pub server: ServerId,
    pub sent: Micros,
    /// The connection that it went out on.
    pub on: Option<ConnId>,
    /// The timer that gives it up.
    pub due: Option<Set>,
    pub ended: bool,
}

/// A ticket that was taken, until it is over and no trip is out.
pub struct Ticket {
    /// The client's connection; `None` once the ticket has its final answer or its client has left.
    pub client: Option<ConnId>,
    pub request: Request,
    /// When its last trip is given up.
    pub until: Micros,
    pub trips: Vec<Trip>,
}

/// Which process a server is, by the list: an id or an address may come back as another one.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct Process {
    pub address: SocketAddr,
    pub build: BuildNo,
    pub started: Option<Micros>,
}

/// A server as the list showed it last.
pub struct Place {
    pub process: Process,
    pub condition: Condition,
    /// Its idle connections, the one used last at the end.
    pub idle: Vec<ConnId>,
}
