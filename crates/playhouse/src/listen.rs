//! Listening sockets.

use std::net::SocketAddrV4;

use socket2::{Domain, Protocol, Socket, Type};
use tokio::net::{TcpListener, TcpStream};

/// Binds an address that an earlier life of this process may have left in use.
pub fn bind(at: SocketAddrV4, backlog: i32) -> std::io::Result<TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&at.into())?;
    socket.listen(backlog)?;
    TcpListener::from_std(socket.into())
}

/// What can't be accepted now (descriptors at their end) is tried again after a while, without spinning.
pub async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let _ = stream.set_nodelay(true);
                return stream;
            }
            Err(error) => {
                log::warn!("a connection can't be accepted: {error}");
                tokio::time::sleep(std::time::Duration::from_millis(20)).await;
            }
        }
    }
}
