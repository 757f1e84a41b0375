//! Open requests and their attempts.

use garnetdoor::host::{Micros, ServerId};

use super::timers::TimerKey;
use crate::event::ConnectionId;
use crate::wire::client::ForwardedRequest;

/// One attempt of a request at a server.
pub struct Attempt {
    pub server: ServerId,
    pub sent_at: Micros,
    /// The connection that it is sent on.
    pub connection: Option<ConnectionId>,
    /// The timer that times it out.
    pub timeout: Option<TimerKey>,
    pub ended: bool,
}

/// A request that was accepted; kept until it is answered and all its attempts have ended.
pub struct OpenRequest {
    /// The client's connection; `None` once the request has its final response or the client has left.
    pub client: Option<ConnectionId>,
    pub request: ForwardedRequest,
    /// When its last attempt times out.
    pub deadline: Micros,
    pub attempts: Vec<Attempt>,
}
