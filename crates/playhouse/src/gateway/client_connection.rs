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
use super::client_limits::{ClientLimits, ConnectionEnd};
use super::frontend;
use super::pool::{Body, BodyError};
use crate::node::Clock;

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
        let (shared, activity, limits) = (shared.clone(), activity.clone(), limits_in_force.clone());
        service_fn(move |request| {
            activity.request_served(false);
            answer(shared.clone(), request, activity.clone(), limits.clone())
        })
    };
    let io = MonitoredIo::new(TokioIo::new(stream), activity.clone());
    let mut open = OpenConnection::new(io, service, limits, &activity);
    let accepted_late = *stopping.borrow();
    let mut silence = SilenceCheck::new(clock, &limits.limits);
    let mut closed_for = None;
    let result = loop {
        tokio::select! {
            // In this order: new limits hold for all that is read from now on, and a request that has already arrived
            // is read before the connection ends.
            biased;
            Ok(()) = limits_in_force.changed() => {
                limits = *limits_in_force.borrow_and_update();
                open.apply(limits, &activity);
                silence.check_at = clock.now();
            }
            result = &mut open.connection => break result,
            () = async {
                let _ = stopping.wait_for(|stop| *stop).await;
                if accepted_late {
                    tokio::time::sleep(FINAL_ACCEPT_WINDOW).await;
                }
            }, if !open.shutting_down => {
                closed_for.get_or_insert(ConnectionEnd::Stopping);
                open.shut_down(&activity);
            }
            () = slot.yield_requested.notified() => match activity.phase() {
                Phase::Idle(_) => {
                    closed_for.get_or_insert(ConnectionEnd::MakingRoom);
                    open.shut_down(&activity);
                }
                Phase::ReadingHead(_) => {
                    closed_for.get_or_insert(ConnectionEnd::MakingRoom);
                    break Ok(());
                }
                Phase::Serving => {}
            },
            () = between_requests(&activity), if open.needs_renewal(&limits) => {
                open = open.renewed(limits, &activity);
            }
            () = tokio::time::sleep_until(clock.at(silence.check_at)) => {
                let Some(cause) = silence.judge(&activity, &limits.limits).await else { continue };
                closed_for.get_or_insert(cause);
                if cause != ConnectionEnd::IdleTimeout {
                    break Ok(());
                }
                open.shut_down(&activity);
            }
        }
    };
    let end = ConnectionEnd::of(closed_for, &result);
    shared
        .borrow()
        .connection_ended(end, if end == ConnectionEnd::HeaderTooLarge { open.limits } else { limits });
    if let Err(error) = result {
        log::debug!(target: LOG_TARGET, "a client's connection ended: {error}");
    }
}

/// When a connection's silence is judged next.
struct SilenceCheck {
    clock: Clock,
    check_at: Micros,
    /// Since the time was over, the runtime has looked at the sockets.
    arrived_input_read: bool,
}

impl SilenceCheck {
    fn new(clock: Clock, limits: &Limits) -> SilenceCheck {
        let check_at = clock.now() + limits.header_timeout.min(limits.idle_timeout);
        SilenceCheck { clock, check_at, arrived_input_read: false }
    }

    /// The time-out that ends the connection now; `None` if it goes on.
    async fn judge(&mut self, activity: &Activity, limits: &Limits) -> Option<ConnectionEnd> {
        match activity.next_action(limits.header_timeout, limits.idle_timeout) {
            NextAction::CheckAt(next) => {
                self.check_at = next;
                self.arrived_input_read = false;
                None
            }
            // A process that stood still finds its timers due before it has seen what arrived meanwhile. The runtime
            // looks at its sockets before it resumes a task that has yielded.
            NextAction::Close | NextAction::Abort if !self.arrived_input_read => {
                self.arrived_input_read = true;
                tokio::task::yield_now().await;
                None
            }
            NextAction::Close => {
                self.check_at = self.clock.now() + limits.idle_timeout;
                Some(ConnectionEnd::IdleTimeout)
            }
            NextAction::Abort if activity.is_write_blocked() => Some(ConnectionEnd::UnreadAnswer),
            NextAction::Abort => Some(ConnectionEnd::HeaderTimeout),
        }
    }
}

/// hyper's connection with the limits that it goes by. hyper keeps the limit for heads, so that a connection whose limit
/// has changed goes on as a new one over the same socket.
struct OpenConnection<S: HttpService<Incoming>> {
    connection: Connection<ClientIo, S>,
    limits: ClientLimits,
    shutting_down: bool,
}

impl<S> OpenConnection<S>
where
    S: HttpService<Incoming, ResBody = AnswerBody>,
    S::Error: Into<Box<dyn Error + Send + Sync>>,
{
    fn new(io: ClientIo, service: S, limits: ClientLimits, activity: &Activity) -> OpenConnection<S> {
        let max_header_bytes = limits.limits.max_header_bytes as usize;
        let connection = Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(None)
            .max_header_size(max_header_bytes)
            .max_buf_size(max_header_bytes.clamp(MIN_BUFFER_BYTES, MAX_BUFFER_BYTES))
            .serve_connection(io, service);
        activity.set_limits_version(limits.version);
        OpenConnection { connection, limits, shutting_down: false }
    }

    fn needs_renewal(&self, limits: &ClientLimits) -> bool {
        self.limits.limits.max_header_bytes != limits.limits.max_header_bytes && !self.shutting_down
    }

    /// Goes by changed limits, at once or, if hyper has to be told, from the next request on; nothing of that is read
    /// before.
    fn apply(&mut self, limits: ClientLimits, activity: &Activity) {
        let must_wait = self.needs_renewal(&limits);
        if !must_wait {
            self.limits = limits;
            activity.set_limits_version(limits.version);
        }
        activity.pause_reading(must_wait);
    }

    /// The same connection under other limits. To be called between requests; a part of a head that has arrived is read
    /// again.
    fn renewed(self, limits: ClientLimits, activity: &Activity) -> OpenConnection<S> {
        let parts = self.connection.into_parts();
        activity.pause_reading(false);
        OpenConnection::new(parts.io.with_read_ahead(parts.read_buf), parts.service, limits, activity)
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
    shared: Shared, request: Request<Incoming>, activity: Activity, limits: watch::Receiver<ClientLimits>,
) -> Result<Response<AnswerBody>, Infallible> {
    let mut answer = frontend::answer(shared, request, &activity).await;
    let idle_timeout = limits.borrow().limits.idle_timeout;
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
