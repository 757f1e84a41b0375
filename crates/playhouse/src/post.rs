//! Words to bytes on their way out.

use transport::SocketTransport;
use types::{Carrier, NodeAddress};

use crate::house::Letter;

/// Sends a word; like a datagram it may be lost.
pub fn send(post: &SocketTransport, to: NodeAddress, word: &Letter) {
    match word.to_bytes() {
        Ok(bytes) if word.carrier() == Carrier::Stream => post.send_by_stream(to.0, bytes),
        Ok(bytes) => post.send(to.0, bytes),
        Err(error) => log::error!("a word to {to} can't be written: {error}"),
    }
}
