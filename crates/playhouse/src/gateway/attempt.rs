//! Attempt (one exchange with an instance): sends a request, takes the answer whole where it is small, and
//! tells what of it is certain: run, not run, or perhaps.

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
use super::pool::{self, Body, BodyError, Connection, Pool};
use crate::data_plane::service_host::TargetInstance;
use crate::house::Clock;

pub const ATTEMPT_ID: HeaderName = HeaderName::from_static("attempt-id");
pub const REMAINING_TIME: HeaderName = HeaderName::from_static("remaining-time");
pub const TARGET_INSTANCE: HeaderName = HeaderName::from_static("target-instance");
pub const NOT_EXECUTED: HeaderName = HeaderName::from_static("not-executed");
pub const SERVER_SEAL: HeaderName = HeaderName::from_static("server-seal");
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Headers that concern one connection only.
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

/// Headers that `Connection` can't take away, whoever names them there.
const MESSAGE_HEADERS: [HeaderName; 6] =
    [ATTEMPT_ID, REMAINING_TIME, SERVER_SEAL, NOT_EXECUTED, header::CONTENT_LENGTH, header::HOST];

/// An answer up to this size is buffered whole before any of it is passed on, so that one that breaks off
/// can still be exchanged for another.
const MAX_BUFFERED_ANSWER_BYTES: usize = 256 << 10;
/// How long a new connection may take to come up.
const CONNECT_TIMEOUT: Micros = SECOND;
/// Frames of a larger answer that wait for a slow client.
const QUEUED_FRAMES: usize = 2;

/// What a client has asked, in a form that can be sent more than once.
pub struct ReplayableRequest {
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: Bytes,
    /// A body too large to be kept, what was read of it first: it can go out once only.
    pub stream: RefCell<Option<Body>>,
    /// There is, or was, such a body.
    pub is_streamed: bool,
    /// Instances that were asked already. What one of them says twice would have this request's id.
    pub tried: RefCell<Vec<SocketAddrV4>>,
    /// Its route says that it may run more than once.
    pub idempotent: bool,
}

/// What became of a attempt.
pub enum AttemptResult {
    /// A whole answer, or the head of one whose body still comes.
    Answer {
        response: Response<Body>,
        outcome: AttemptOutcome,
    },
    Failed(AttemptOutcome),
}

pub struct Attempt {
    pub pool: Rc<RefCell<Pool>>,
    pub clock: Clock,
    pub target: TargetInstance,
    pub original: Rc<ReplayableRequest>,
    /// When the client, or the route's time-out, ends it.
    pub deadline: Micros,
    pub max_connections: usize,
    /// What the answer takes of the bytes that are pooled here.
    pub reservation: BodyReservation,
}

/// Gives a connection back when the attempt ends, however it does.
struct PooledConnection {
    pool: Rc<RefCell<Pool>>,
    clock: Clock,
    address: SocketAddrV4,
    connection: Option<Connection>,
    reusable: Option<Option<Micros>>,
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        let connection = self.connection.take().filter(|_| self.reusable.is_some());
        self.pool.borrow_mut().release(self.clock.now(), self.address, connection, self.reusable.flatten());
    }
}

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
    pub async fn run(self) -> AttemptResult {
        let time_left = |now: Micros| Duration::from_micros((self.deadline - now).max(0) as u64);
        let now = self.clock.now();
        if self.deadline <= now {
            return AttemptResult::Failed(AttemptOutcome::NeverSent);
        }
        let address = self.target.address;
        // Only a connection on which this request never was can't bring an earlier answer to it.
        let mut needs_new = self.original.tried.borrow().contains(&address);
        let mut unsent: Option<Request<Body>> = None;
        loop {
            let idle = if needs_new { None } else { self.pool.borrow_mut().take(self.clock.now(), address) };
            let is_new = idle.is_none();
            if is_new && !self.pool.borrow_mut().reserve(self.clock.now(), address, self.max_connections) {
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
            // What went out before and was not kept can't go again: this attempt never was.
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
                    // The client broke its body off, or sent too much: no fault of the instance.
                    let client_failed = unsent.is_none() && error.error().is_user();
                    // hyper did not begin it, or the kernel took none of its bytes. Nothing else is known not to
                    // have run.
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

    /// Keeps a body that has not gone out for the next attempt.
    fn restore_body(&self, unsent: Option<Request<Body>>) {
        if let Some(request) = unsent.filter(|_| self.original.is_streamed) {
            *self.original.stream.borrow_mut() = Some(request.into_body());
        }
    }

    /// The request as it goes out; none where its body went out before and was not kept.
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
        // After an answer of HTTP/1.0 hyper would speak that too, and drop bodies of unknown length.
        let must_close =
            head.version != Version::HTTP_11
                || head.headers.get_all(header::CONNECTION).iter().any(|value| {
                    value.to_str().is_ok_and(|text| text.to_ascii_lowercase().contains("close"))
                });
        let keep_alive =
            head.headers.get(KEEP_ALIVE).and_then(|value| value.to_str().ok()).and_then(keep_alive_timeout);
        // An answer that belongs to another request, or to none, or that is no last word (101).
        let (answer_ids, request_ids) =
            (head.headers.get_all(ATTEMPT_ID), self.original.headers.get_all(ATTEMPT_ID));
        if !answer_ids.iter().eq(request_ids.iter()) || status.is_informational() {
            return AttemptResult::Failed(AttemptOutcome::Reset);
        }
        // Without an id, what comes next can't be told from what was meant for this one.
        let must_close = must_close || request_ids.iter().next().is_none();
        let not_executed = head.headers.contains_key(NOT_EXECUTED);
        let chunked = is_chunked(&head.headers);
        // Its end is seen. One that lasts until the connection ends may have been cut off.
        let framed = body.size_hint().exact().is_some() || chunked == Some(true);
        let invalid_success = head.headers.contains_key(header::CONTENT_ENCODING)
            || !head.headers.contains_key(SERVER_SEAL)
            || not_executed;
        if (status.is_success() && invalid_success) || (!framed && !not_executed) {
            return AttemptResult::Failed(AttemptOutcome::Reset);
        }
        if chunked.is_some() {
            // It says nothing then, and what is sent on would be cut to it.
            head.headers.remove(header::CONTENT_LENGTH);
        }
        strip_connection_headers(&mut head.headers);
        let outcome = match status {
            StatusCode::MISDIRECTED_REQUEST => AttemptOutcome::Misdirected,
            // The request itself is wrong (it has no id), wherever it goes.
            StatusCode::BAD_REQUEST => AttemptOutcome::Succeeded,
            _ if not_executed => AttemptOutcome::Rejected,
            _ if status.is_server_error() => AttemptOutcome::Error,
            _ => AttemptOutcome::Succeeded,
        };
        // To clients these statuses promise that it has not run, which here nobody has said.
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

/// Whether a message's body comes in chunks and is not coded beside; `None` without `Transfer-Encoding`.
pub fn is_chunked(headers: &HeaderMap) -> Option<bool> {
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    let first = codings.next()?;
    Some(codings.next().is_none() && first.as_bytes().trim_ascii().eq_ignore_ascii_case(b"chunked"))
}

/// Seconds told as `timeout=` in `Keep-Alive`.
fn keep_alive_timeout(text: &str) -> Option<Micros> {
    let seconds = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.trim().parse::<u32>().ok().map(|seconds| Micros::from(seconds) * SECOND)
}

/// A piece of a large answer. One that stops coming without its end has broken off.
enum BodyPiece {
    Data(Bytes),
    End,
}

/// Hands on the keep_alive of a large answer as fast as the client takes it, until `until` or the client has gone.
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

/// What was read of a large body, and then the keep_alive as it comes, up to a number of bytes.
pub struct PrefixedBody {
    pub first: Option<Bytes>,
    pub rest: Incoming,
    /// Bytes that may still come.
    pub bytes_left: u64,
    /// Set when more than that came.
    pub too_large: Arc<AtomicBool>,
    /// Reset when all of it has come.
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
        if received > self.bytes_left {
            self.too_large.store(true, Ordering::Relaxed);
            return std::task::Poll::Ready(Some(Err("the body is over MaxBodyBytes".into())));
        }
        self.bytes_left -= received;
        std::task::Poll::Ready(next.map(|frame| frame.map_err(BodyError::from)))
    }

    fn is_end_stream(&self) -> bool {
        self.first.is_none() && self.rest.is_end_stream()
    }
}
