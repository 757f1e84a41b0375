//! WebSocket (RFC 6455) as relayed by a gateway, without I/O.
//!
//! [`handshake`] parses a client's offer, makes it to a server and checks the server's response. [`frames`] validates the
//! frames of one direction of a session while they are relayed; messages are never buffered as a whole.

pub mod frames;
pub mod handshake;
