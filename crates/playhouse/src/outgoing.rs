//! Encodes messages and hands them to the socket transport.

use transport::SocketTransport;
use types::{Carrier, NodeAddress};

use crate::node::Envelope;

const LOG_TARGET: &str = "playhouse::post"; // Operators filter log lines by this name, which is older than the module's.

/// Sends a message by the carrier that its envelope names. Delivery is not guaranteed.
pub fn send(transport: &SocketTransport, to: NodeAddress, envelope: &Envelope) {
    match envelope.to_bytes() {
        Ok(bytes) if envelope.carrier() == Carrier::Stream => transport.send_by_stream(to.0, bytes),
        Ok(bytes) => transport.send(to.0, bytes),
        Err(error) => log::error!(target: LOG_TARGET, "a word to {to} can't be written: {error}"),
    }
}
