//! One client connection: reads requests and sends answers until it ends, always by the limits in force. A connection
//! outlives configurations, so it keeps no limit of the one that it was accepted under.

use std::convert::Infallible;
use std::error::Error;
use std::future::poll_fn;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use configuration::Limits;
use hyper::body::{Frame, Incoming, SizeHint};
use hyper::header::{self, HeaderValue};
use hyper::server::conn::http1::{Builder, Connection};
use hyper::service::{HttpService, service_fn};
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpStream;
use tokio::sync::watch;
use types::{Micros, SECOND};

use super::Shared;
use super::activity::{Activity, MonitoredIo, NextAction, Phase};
use super::client_connections::ConnectionSlot;
use super::frontend;
use super::pool::{Body, BodyError};

// Operators filter log lines by this name, which is older than the module's.
const LOG_TARGET: &str = "playhouse::foyer::front";

/// When the listener is about to close, the kernel may have accepted connections, with requests on them, that the
/// process has not seen: for this long they are still accepted, and their requests read.
pub(super) const FINAL_ACCEPT_WINDOW: Duration = Duration::from_millis(50);
/// Bounds of hyper's buffers, in bytes; between them they are as large as the largest head.
const MIN_BUFFER_BYTES: usize = 8 << 10;
const MAX_BUFFER_BYTES: usize = 1 << 20;
/// The shortest idle time-out that is announced: a second less than a shorter one would be too short to be of use.
const MIN_ANNOUNCED_TIMEOUT: Micros = 3 * SECOND;

type ClientIo = MonitoredIo<TokioIo<TcpStream>>;

/// Serves one client connection until it ends.
pub(super) async fn serve(
    stream: TcpStream, shared: Shared, activity: Activity, slot: ConnectionSlot,
    mut stopping: watch::Receiver<bool>,
) {
    let (clock, mut limits_in_force) = {
        let gateway = shared.borrow();
        (gateway.clock, gateway.client_limits.subscribe())
    };
    let mut limits = *limits_in_force.borrow_and_update();
    let service = {
        let (activity, limits) = (activity.clone(), limits_in_force.clone());
        service_fn(move |request| {
            activity.request_served(false);
            answer(shared.clone(), request, activity.clone(), limits.clone())
        })
    };
    let io = MonitoredIo::new(TokioIo::new(stream), activity.clone());
    let mut open = OpenConnection::new(io, service, limits.max_header_bytes);
    let accepted_late = *stopping.borrow();
    let mut check_at = clock.now() + limits.header_timeout.min(limits.idle_timeout);
    let mut arrived_input_read = false;
    let ended = loop {
        tokio::select! {
            // In this order: new limits hold for all that is read from now on, and a request that has already arrived
            // is read before the connection ends.
            biased;
            Ok(()) = limits_in_force.changed() => {
                limits = *limits_in_force.borrow_and_update();
                activity.pause_reading(open.needs_renewal(&limits));
                check_at = clock.now();
            }
            ended = &mut open.connection => break ended,
            () = async {
                let _ = stopping.wait_for(|stop| *stop).await;
                if accepted_late {
                    tokio::time::sleep(FINAL_ACCEPT_WINDOW).await;
                }
            }, if !open.shutting_down => open.shut_down(&activity),
            () = slot.yield_requested.notified() => match activity.phase() {
                Phase::Idle(_) => open.shut_down(&activity),
                Phase::ReadingHead(_) => break Ok(()),
                Phase::Serving => {}
            },
            () = between_requests(&activity), if open.needs_renewal(&limits) => {
                open = open.renewed(limits.max_header_bytes);
                activity.pause_reading(false);
            }
            () = tokio::time::sleep_until(clock.at(check_at)) => {
                match activity.next_action(limits.header_timeout, limits.idle_timeout) {
                    NextAction::CheckAt(next) => {
                        check_at = next;
                        arrived_input_read = false;
                    }
                    // A process that stood still finds its timers due before it has seen what arrived meanwhile. The
                    // runtime looks at its sockets before it resumes a task that has yielded.
                    NextAction::Close | NextAction::Abort if !arrived_input_read => {
                        arrived_input_read = true;
                        tokio::task::yield_now().await;
                    }
                    NextAction::Close => {
                        check_at = clock.now() + limits.idle_timeout;
                        open.shut_down(&activity);
                    }
                    NextAction::Abort => break Ok(()),
                }
            }
        }
    };
    if let Err(error) = ended {
        log::debug!(target: LOG_TARGET, "a client's connection ended: {error}");
    }
}

/// hyper's connection with the limit that it was built for. hyper keeps that limit, so that a connection whose limit has
/// changed goes on as a new one over the same socket.
struct OpenConnection<S: HttpService<Incoming>> {
    connection: Connection<ClientIo, S>,
    max_header_bytes: u64,
    shutting_down: bool,
}

impl<S> OpenConnection<S>
where
    S: HttpService<Incoming, ResBody = AnswerBody>,
    S::Error: Into<Box<dyn Error + Send + Sync>>,
{
    fn new(io: ClientIo, service: S, max_header_bytes: u64) -> OpenConnection<S> {
        let buffer_bytes = (max_header_bytes as usize).clamp(MIN_BUFFER_BYTES, MAX_BUFFER_BYTES);
        let connection = Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(None)
            .max_header_size(max_header_bytes as usize)
            .max_buf_size(buffer_bytes)
            .serve_connection(io, service);
        OpenConnection { connection, max_header_bytes, shutting_down: false }
    }

    fn needs_renewal(&self, limits: &Limits) -> bool {
        self.max_header_bytes != limits.max_header_bytes && !self.shutting_down
    }

    /// The same connection under another limit. To be called between requests; a part of a head that has arrived is read
    /// again.
    fn renewed(self, max_header_bytes: u64) -> OpenConnection<S> {
        let parts = self.connection.into_parts();
        OpenConnection::new(parts.io.with_read_ahead(parts.read_buf), parts.service, max_header_bytes)
    }

    /// Ends the connection once the request that is being read or answered has its answer.
    fn shut_down(&mut self, activity: &Activity) {
        self.shutting_down = true;
        activity.pause_reading(false);
        Pin::new(&mut self.connection).graceful_shutdown();
    }
}

/// Waits until no request is being read or answered. The connection has to be polled before this in the same task: only
/// that changes what this waits for.
async fn between_requests(activity: &Activity) {
    poll_fn(|_| if activity.between_requests() { Poll::Ready(()) } else { Poll::Pending }).await;
}

/// Answers a request, and announces for how long the connection may then be idle.
async fn answer(
    shared: Shared, request: Request<Incoming>, activity: Activity, limits: watch::Receiver<Limits>,
) -> Result<Response<AnswerBody>, Infallible> {
    let mut answer = frontend::answer(shared, request, &activity).await;
    let idle_timeout = limits.borrow().idle_timeout;
    if idle_timeout >= MIN_ANNOUNCED_TIMEOUT && !answer.headers().contains_key(header::CONNECTION) {
        // One second less, so that a client that honours it never runs into the close.
        let keep_alive = format!("timeout={}", idle_timeout / SECOND - 1);
        if let Ok(value) = HeaderValue::from_str(&keep_alive) {
            answer.headers_mut().insert("keep-alive", value);
        }
    }
    Ok(answer.map(|body| AnswerBody { body, activity }))
}

/// An answer's body; its request counts as being served until this is dropped.
struct AnswerBody {
    body: Body,
    activity: Activity,
}

impl Drop for AnswerBody {
    fn drop(&mut self) {
        self.activity.request_served(true);
    }
}

impl hyper::body::Body for AnswerBody {
    type Data = Bytes;
    type Error = BodyError;
    fn poll_frame(
        mut self: Pin<&mut Self>, context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }
    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }
    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
