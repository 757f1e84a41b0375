//! One attempt of a request at an instance: sends the request, reads a small answer completely, and reports what is
//! certain about it: run, not run, or possibly run.

use std::cell::RefCell;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use garnetdoor::host::AttemptOutcome;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body as _, Frame, Incoming};
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Request, Response, StatusCode, Uri, Version};
use types::{Micros, SECOND};

use super::body_budget::BodyReservation;
use super::client_limits::BodyLimit;
use super::pool::{self, Body, BodyError, Connection, Pool};
use crate::data_plane::service_host::{ConnectionLimit, TargetInstance};
use crate::node::Clock;

/// Identifies the request; the instance repeats it in its answer.
pub const ATTEMPT_ID: HeaderName = HeaderName::from_static("attempt-id");
/// Time until the client's deadline, in milliseconds.
pub const REMAINING_TIME: HeaderName = HeaderName::from_static("remaining-time");
/// Id of the instance that is meant; another one answers 421.
pub const TARGET_INSTANCE: HeaderName = HeaderName::from_static("target-instance");
/// In an answer: the request was not run.
pub const NOT_EXECUTED: HeaderName = HeaderName::from_static("not-executed");
/// In an answer: marks it as the instance's own; a successful answer without it is not accepted.
pub const SERVER_SEAL: HeaderName = HeaderName::from_static("server-seal");
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Hop-by-hop headers, which concern one connection only.
const CONNECTION_HEADERS: [HeaderName; 9] = [
    header::CONNECTION,
    KEEP_ALIVE,
    HeaderName::from_static("proxy-connection"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Headers that are not removed even if `Connection` names them.
const MESSAGE_HEADERS: [HeaderName; 6] =
    [ATTEMPT_ID, REMAINING_TIME, SERVER_SEAL, NOT_EXECUTED, header::CONTENT_LENGTH, header::HOST];

/// An answer up to this size is buffered completely before any of it is passed on, so that another attempt can
/// replace one that breaks off.
const MAX_BUFFERED_ANSWER_BYTES: usize = 256 << 10;
/// Longest time for opening a connection.
const CONNECT_TIMEOUT: Micros = SECOND;
/// Frames of a larger answer that are queued for a slow client.
const QUEUED_FRAMES: usize = 2;

/// A client's request in a form that can be sent more than once.
pub struct ReplayableRequest {
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: Bytes,
    /// A body too large to buffer, starting with the part already read; it can be sent only once.
    pub stream: RefCell<Option<Body>>,
    /// Whether there is, or was, such a body.
    pub is_streamed: bool,
    /// Instances that were already tried. A duplicate answer from one of them would carry this request's id.
    pub tried: RefCell<Vec<SocketAddrV4>>,
    /// Whether the route allows the request to run more than once.
    pub idempotent: bool,
}

/// The result of an attempt.
pub enum AttemptResult {
    /// A complete answer, or the head of one whose body is still being received.
    Answer {
        response: Response<Body>,
        outcome: AttemptOutcome,
    },
    Failed(AttemptOutcome),
}

/// One attempt; `run` carries it out.
pub struct Attempt {
    pub pool: Rc<RefCell<Pool>>,
    pub clock: Clock,
    pub target: TargetInstance,
    pub original: Rc<ReplayableRequest>,
    /// The client's deadline or the route's time-out, whichever is first.
    pub deadline: Micros,
    /// Most connections to the instance from this gateway.
    pub connections: ConnectionLimit,
    /// The answer's part of the memory for buffered bodies.
    pub reservation: BodyReservation,
}

/// Releases a connection to the pool when the attempt ends, in whatever way.
struct PooledConnection {
    pool: Rc<RefCell<Pool>>,
    clock: Clock,
    address: SocketAddrV4,
    connection: Option<Connection>,
    /// Set if the connection may be used again, with the idle time-out that the instance announced.
    reusable: Option<Option<Micros>>,
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        let connection = self.connection.take().filter(|_| self.reusable.is_some());
        self.pool.borrow_mut().release(self.clock.now(), self.address, connection, self.reusable.flatten());
    }
}

/// Removes headers that concern one connection only, with those that `Connection` names.
pub fn strip_connection_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .filter(|name| !MESSAGE_HEADERS.contains(name))
        .collect();
    for name in named.iter().chain(CONNECTION_HEADERS.iter()) {
        headers.remove(name);
    }
}

impl Attempt {
    /// Runs the attempt to its result. A request that certainly was not sent on a pooled connection is sent once more
    /// on a new one.
    pub async fn run(self) -> AttemptResult {
        let time_left = |now: Micros| Duration::from_micros((self.deadline - now).max(0) as u64);
        let now = self.clock.now();
        if self.deadline <= now {
            return AttemptResult::Failed(AttemptOutcome::NeverSent);
        }
        let address = self.target.address;
        // On a connection that never carried this request, no earlier answer to it can arrive.
        let mut needs_new = self.original.tried.borrow().contains(&address);
        let mut unsent: Option<Request<Body>> = None;
        loop {
            let (now, limit) = (self.clock.now(), &self.connections);
            let idle = if needs_new { None } else { self.pool.borrow_mut().take(now, address, limit) };
            let is_new = idle.is_none();
            if is_new && !self.pool.borrow_mut().reserve(now, address, limit) {
                self.restore_body(unsent);
                return AttemptResult::Failed(AttemptOutcome::Rejected);
            }
            let mut pooled = PooledConnection {
                pool: self.pool.clone(),
                clock: self.clock,
                address,
                connection: idle,
                reusable: None,
            };
            if is_new {
                let wait = time_left(self.clock.now()).min(Duration::from_micros(CONNECT_TIMEOUT as u64));
                match tokio::time::timeout(wait, pool::connect(address)).await {
                    Ok(Ok(connection)) => pooled.connection = Some(connection),
                    Ok(Err(_)) | Err(_) => {
                        self.restore_body(unsent);
                        return AttemptResult::Failed(AttemptOutcome::ConnectFailed);
                    }
                }
            }
            let Some(connection) = pooled.connection.as_mut() else {
                return AttemptResult::Failed(AttemptOutcome::NeverSent);
            };
            let ready = tokio::time::timeout(time_left(self.clock.now()), connection.sender.ready()).await;
            if !matches!(ready, Ok(Ok(()))) {
                if is_new {
                    self.restore_body(unsent);
                    return AttemptResult::Failed(AttemptOutcome::ConnectFailed);
                }
                continue;
            }
            // A body that was sent and not buffered cannot be sent again: this attempt was never made.
            let Some(request) = unsent.take().or_else(|| self.build_request()) else {
                return AttemptResult::Failed(AttemptOutcome::NeverSent);
            };
            self.original.tried.borrow_mut().push(address);
            let sent = tokio::time::timeout(
                time_left(self.clock.now()),
                connection.sender.try_send_request(request),
            );
            return match sent.await {
                Err(_) => AttemptResult::Failed(AttemptOutcome::TimedOut),
                Ok(Ok(response)) => self.read_answer(response, pooled).await,
                Ok(Err(mut error)) => {
                    unsent = error.take_message();
                    // The client broke off its body or sent too much, which is no failure of the instance.
                    let client_failed = unsent.is_none() && error.error().is_user();
                    // hyper did not begin the request, or the kernel took none of its bytes. In all other cases it
                    // may have run.
                    let nothing_sent =
                        unsent.is_some() || pooled.connection.as_ref().is_some_and(Connection::is_unsent);
                    if nothing_sent
                        && !client_failed
                        && !is_new
                        && (unsent.is_some() || !self.original.is_streamed)
                    {
                        needs_new = true;
                        continue;
                    }
                    let outcome = match nothing_sent {
                        _ if client_failed => AttemptOutcome::Cancelled,
                        true => AttemptOutcome::ConnectFailed,
                        false => AttemptOutcome::Reset,
                    };
                    self.restore_body(unsent);
                    AttemptResult::Failed(outcome)
                }
            };
        }
    }

    /// Restores a streamed body that was not sent, for the next attempt.
    fn restore_body(&self, unsent: Option<Request<Body>>) {
        if let Some(request) = unsent.filter(|_| self.original.is_streamed) {
            *self.original.stream.borrow_mut() = Some(request.into_body());
        }
    }

    /// Builds the request to send; `None` if its body was already sent and not buffered.
    fn build_request(&self) -> Option<Request<Body>> {
        let remaining_ms = (self.deadline - self.clock.now()).max(0) / 1000;
        let body: Body = if self.original.is_streamed {
            self.original.stream.borrow_mut().take()?
        } else {
            Full::new(self.original.body.clone()).map_err(|never| match never {}).boxed_unsync()
        };
        let mut request = Request::new(body);
        *request.method_mut() = self.original.method.clone();
        *request.uri_mut() = self.original.uri.clone();
        *request.headers_mut() = self.original.headers.clone();
        let headers = request.headers_mut();
        headers.insert(REMAINING_TIME, HeaderValue::from(remaining_ms as u64));
        // hyper would send a GET of unknown length without its body.
        if self.original.is_streamed && !headers.contains_key(header::CONTENT_LENGTH) {
            headers.insert(header::TRANSFER_ENCODING, HeaderValue::from_static("chunked"));
        }
        headers.insert(TARGET_INSTANCE, HeaderValue::from_str(&self.target.id.0).ok()?);
        Some(request)
    }

    async fn read_answer(self, response: Response<Incoming>, mut pooled: PooledConnection) -> AttemptResult {
        let (mut head, mut body) = response.into_parts();
        let status = head.status;
        // After an HTTP/1.0 answer hyper would use that version too and drop bodies of unknown length.
        let must_close =
            head.version != Version::HTTP_11
                || head.headers.get_all(header::CONNECTION).iter().any(|value| {
                    value.to_str().is_ok_and(|text| text.to_ascii_lowercase().contains("close"))
                });
        let keep_alive =
            head.headers.get(KEEP_ALIVE).and_then(|value| value.to_str().ok()).and_then(keep_alive_timeout);
        // An answer to another request, one without the expected id, or one that is not final (101).
        let (answer_ids, request_ids) =
            (head.headers.get_all(ATTEMPT_ID), self.original.headers.get_all(ATTEMPT_ID));
        if !answer_ids.iter().eq(request_ids.iter()) || status.is_informational() {
            return AttemptResult::Failed(AttemptOutcome::Reset);
        }
        // Without an id, later bytes cannot be told from the answer to this request.
        let must_close = must_close || request_ids.iter().next().is_none();
        let not_executed = head.headers.contains_key(NOT_EXECUTED);
        let chunked = is_chunked(&head.headers);
        // The end of the body is detectable. A body that ends with its connection may have been cut off.
        let framed = body.size_hint().exact().is_some() || chunked == Some(true);
        let invalid_success = head.headers.contains_key(header::CONTENT_ENCODING)
            || !head.headers.contains_key(SERVER_SEAL)
            || not_executed;
        if (status.is_success() && invalid_success) || (!framed && !not_executed) {
            return AttemptResult::Failed(AttemptOutcome::Reset);
        }
        if chunked.is_some() {
            // `Content-Length` has no meaning then, and the forwarded body would be cut to it.
            head.headers.remove(header::CONTENT_LENGTH);
        }
        strip_connection_headers(&mut head.headers);
        let outcome = match status {
            StatusCode::MISDIRECTED_REQUEST => AttemptOutcome::Misdirected,
            // The request itself is invalid (it has no id), whichever instance gets it.
            StatusCode::BAD_REQUEST => AttemptOutcome::Succeeded,
            _ if not_executed => AttemptOutcome::Rejected,
            _ if status.is_server_error() => AttemptOutcome::Error,
            _ => AttemptOutcome::Succeeded,
        };
        // These statuses promise clients that the request has not run, which the instance did not say.
        let promising_statuses =
            [StatusCode::REQUEST_TIMEOUT, StatusCode::TOO_MANY_REQUESTS, StatusCode::SERVICE_UNAVAILABLE];
        let false_promise =
            !not_executed && !self.original.idempotent && promising_statuses.contains(&status);
        let (mut buffered, mut reservation) = (BytesMut::new(), self.reservation);
        let read = async {
            while buffered.len() <= MAX_BUFFERED_ANSWER_BYTES && reservation.grow_to(buffered.capacity()) {
                match body.frame().await {
                    None => return Ok(true),
                    Some(Ok(frame)) => {
                        if let Ok(data) = frame.into_data() {
                            buffered.extend_from_slice(&data);
                        }
                    }
                    Some(Err(_)) => return Err(AttemptOutcome::Reset),
                }
            }
            Ok(false)
        };
        let time_left = Duration::from_micros((self.deadline - self.clock.now()).max(0) as u64);
        match tokio::time::timeout(time_left, read).await {
            Err(_) => AttemptResult::Failed(AttemptOutcome::TimedOut),
            Ok(Err(outcome)) => AttemptResult::Failed(outcome),
            Ok(Ok(complete)) => {
                if complete {
                    pooled.reusable = (!must_close).then_some(keep_alive);
                }
                if matches!(outcome, AttemptOutcome::Misdirected | AttemptOutcome::Rejected) {
                    return AttemptResult::Failed(outcome);
                }
                if false_promise {
                    return AttemptResult::Failed(AttemptOutcome::Error);
                }
                let buffered = reservation.keep(buffered);
                let body = if complete {
                    drop(pooled);
                    Full::new(buffered).map_err(|never| match never {}).boxed_unsync()
                } else {
                    let (sender, receiver) = tokio::sync::mpsc::channel(QUEUED_FRAMES);
                    let deadline = self.clock.at(self.deadline);
                    crate::tasks::spawn_local(forward_body(
                        buffered, body, sender, pooled, must_close, keep_alive, deadline,
                    ));
                    StreamedBody(receiver).boxed_unsync()
                };
                AttemptResult::Answer { response: Response::from_parts(head, body), outcome }
            }
        }
    }
}

/// Whether a message's body is chunked without another transfer coding; `None` without `Transfer-Encoding`.
pub fn is_chunked(headers: &HeaderMap) -> Option<bool> {
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    let first = codings.next()?;
    Some(codings.next().is_none() && first.as_bytes().trim_ascii().eq_ignore_ascii_case(b"chunked"))
}

/// The time-out of a `Keep-Alive` header, from its `timeout=` parameter in seconds.
fn keep_alive_timeout(text: &str) -> Option<Micros> {
    let seconds = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.trim().parse::<u32>().ok().map(|seconds| Micros::from(seconds) * SECOND)
}

/// Part of a large answer. If the channel closes without `End`, the answer broke off.
enum BodyPiece {
    Data(Bytes),
    End,
}

/// Forwards the rest of a large answer as fast as the client reads, until `deadline` or until the client is gone.
async fn forward_body(
    first: Bytes, mut body: Incoming, sender: tokio::sync::mpsc::Sender<BodyPiece>,
    mut pooled: PooledConnection, must_close: bool, keep_alive: Option<Micros>,
    deadline: tokio::time::Instant,
) {
    let forwarding = async {
        if sender.send(BodyPiece::Data(first)).await.is_err() {
            return false;
        }
        loop {
            let frame = tokio::select! {
                frame = body.frame() => frame,
                () = sender.closed() => return false,
            };
            let piece = match frame {
                None => return sender.send(BodyPiece::End).await.is_ok(),
                Some(Ok(frame)) => frame.into_data().map(BodyPiece::Data),
                Some(Err(_)) => return false,
            };
            if let Ok(piece) = piece
                && sender.send(piece).await.is_err()
            {
                return false;
            }
        }
    };
    if let Ok(true) = tokio::time::timeout_at(deadline, forwarding).await {
        pooled.reusable = (!must_close).then_some(keep_alive);
    }
}

/// The client's side of `forward_body`.
struct StreamedBody(tokio::sync::mpsc::Receiver<BodyPiece>);

impl hyper::body::Body for StreamedBody {
    type Data = Bytes;
    type Error = BodyError;
    fn poll_frame(
        mut self: std::pin::Pin<&mut Self>, context: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        self.0.poll_recv(context).map(|next| match next {
            Some(BodyPiece::Data(data)) => Some(Ok(Frame::data(data))),
            Some(BodyPiece::End) => None,
            None => Some(Err("the answer broke off".into())),
        })
    }
}

/// A large body: the part already read, then the rest as it arrives, up to a limit.
pub struct PrefixedBody {
    pub first: Option<Bytes>,
    pub rest: Incoming,
    /// Bytes that have arrived.
    pub received: u64,
    pub limit: BodyLimit,
    /// Set when more than the limit arrived.
    pub too_large: Arc<AtomicBool>,
    /// Reset when the whole body has arrived.
    pub unread: Arc<AtomicBool>,
}

impl hyper::body::Body for PrefixedBody {
    type Data = Bytes;
    type Error = BodyError;
    fn poll_frame(
        mut self: std::pin::Pin<&mut Self>, context: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(first) = self.first.take() {
            return std::task::Poll::Ready(Some(Ok(Frame::data(first))));
        }
        let next = std::task::ready!(std::pin::Pin::new(&mut self.rest).poll_frame(context));
        if next.is_none() || self.rest.is_end_stream() {
            self.unread.store(false, Ordering::Relaxed);
        }
        let received = next.as_ref().and_then(|frame| frame.as_ref().ok()?.data_ref());
        let received = received.map_or(0, |data| data.len() as u64);
        self.received += received;
        if self.received > self.limit.max_bytes() {
            self.too_large.store(true, Ordering::Relaxed);
            return std::task::Poll::Ready(Some(Err("the body is over MaxBodyBytes".into())));
        }
        std::task::Poll::Ready(next.map(|frame| frame.map_err(BodyError::from)))
    }

    fn is_end_stream(&self) -> bool {
        self.first.is_none() && self.rest.is_end_stream()
    }
}
