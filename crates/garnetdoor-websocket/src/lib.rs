//! WebSocket (RFC 6455) as it passes through a gateway, without I/O: the opening handshake both ways, and
//! frames that are checked while they pass and never gathered.
//!
//! [`handshake`] reads what a client offers, words it for a server, and checks the server's answer against it.
//! [`frames`] looks at one direction of a session's bytes in any split. Neither keeps a clock or a socket.

pub mod frames;
pub mod handshake;
