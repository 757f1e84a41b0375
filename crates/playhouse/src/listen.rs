//! Listening sockets.

use std::convert::Infallible;
use std::error::Error;
use std::net::SocketAddrV4;
use std::time::Duration;

use hyper::body::{Body, Incoming};
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::{Domain, Protocol, Socket, Type};
use tokio::net::{TcpListener, TcpStream};

/// Binds an address that an earlier run of this process may have left in use.
pub fn bind(at: SocketAddrV4, backlog: i32) -> std::io::Result<TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&at.into())?;
    socket.listen(backlog)?;
    TcpListener::from_std(socket.into())
}

/// Binds like `bind`, but retries for a while, since another process may hold the address a moment longer.
pub fn bind_when_free(at: SocketAddrV4, backlog: i32) -> std::io::Result<TcpListener> {
    garnetdoor_bind::bind_with_retry(at, || bind(at, backlog), |error| log::warn!("{error}; tried again"))
}

/// Accepts the next connection. Failures, such as running out of file descriptors, are retried after 20 ms instead of
/// in a busy loop.
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

/// Serves each connection as HTTP/1.1 in its own task and never returns. A connection that sends no request within
/// `head_timeout` is closed.
pub async fn serve<A, F, B>(listener: TcpListener, head_timeout: Duration, answer: A)
where
    A: Fn(Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = Response<B>> + 'static,
    B: Body + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    loop {
        let stream = accept(&listener).await;
        let answer = answer.clone();
        crate::tasks::spawn_local(async move {
            let service = hyper::service::service_fn(move |request| {
                let answer = answer(request);
                async move { Ok::<_, Infallible>(answer.await) }
            });
            let served = hyper::server::conn::http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(head_timeout)
                .serve_connection(TokioIo::new(stream), service)
                .await;
            if let Err(error) = served {
                log::debug!("a connection ended: {error}");
            }
        });
    }
}
