//! Trip (one exchange with an instance): sends a request, takes the answer whole where it is small, and
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

use super::cloakroom::Coat;
use super::pool::{self, Body, Failed, Pool, Wire};
use crate::floor::desk::Seen;
use crate::node::Clock;

pub const ATTEMPT_ID: HeaderName = HeaderName::from_static("attempt-id");
pub const REMAINING_TIME: HeaderName = HeaderName::from_static("remaining-time");
pub const TARGET_INSTANCE: HeaderName = HeaderName::from_static("target-instance");
pub const NOT_EXECUTED: HeaderName = HeaderName::from_static("not-executed");
pub const SERVER_SEAL: HeaderName = HeaderName::from_static("server-seal");
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Headers that concern one connection only.
const OF_CONNECTION: [HeaderName; 9] = [
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
const OF_THE_MESSAGE: [HeaderName; 6] =
    [ATTEMPT_ID, REMAINING_TIME, SERVER_SEAL, NOT_EXECUTED, header::CONTENT_LENGTH, header::HOST];

/// An answer up to this size is taken whole before any of it is passed on, so that one that breaks off
/// can still be exchanged for another.
const WHOLE: usize = 256 << 10;
/// How long a new connection may take to come up.
const CONNECT: Micros = SECOND;
/// Frames of a larger answer that wait for a slow client.
const FRAMES: usize = 2;

/// What a client has asked, in a form that can be sent more than once.
pub struct Asked {
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: Bytes,
    /// A body too large to be kept, what was read of it first: it can go out once only.
    pub stream: RefCell<Option<Body>>,
    /// There is, or was, such a body.
    pub streams: bool,
    /// Instances that were asked already. What one of them says twice would have this request's id.
    pub been: RefCell<Vec<SocketAddrV4>>,
    /// Its route says that it may run more than once.
    pub repeats: bool,
}

/// What became of a trip.
pub enum Outcome {
    /// A whole answer, or the head of one whose body still comes.
    Answer {
        response: Response<Body>,
        ending: AttemptOutcome,
    },
    Failed(AttemptOutcome),
}

pub struct Trip {
    pub pool: Rc<RefCell<Pool>>,
    pub clock: Clock,
    pub to: Seen,
    pub asked: Rc<Asked>,
    /// When the client, or the route's time-out, ends it.
    pub until: Micros,
    pub connections: usize,
    /// What the answer takes of the bytes that are held here.
    pub coat: Coat,
}

/// Gives a connection back when the trip ends, however it does.
struct Held {
    pool: Rc<RefCell<Pool>>,
    clock: Clock,
    to: SocketAddrV4,
    wire: Option<Wire>,
    keep: Option<Option<Micros>>,
}

impl Drop for Held {
    fn drop(&mut self) {
        let wire = self.wire.take().filter(|_| self.keep.is_some());
        self.pool.borrow_mut().back(self.clock.now(), self.to, wire, self.keep.flatten());
    }
}

pub fn strip(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .filter(|name| !OF_THE_MESSAGE.contains(name))
        .collect();
    for name in named.iter().chain(OF_CONNECTION.iter()) {
        headers.remove(name);
    }
}

impl Trip {
    pub async fn run(self) -> Outcome {
        let left = |now: Micros| Duration::from_micros((self.until - now).max(0) as u64);
        let now = self.clock.now();
        if self.until <= now {
            return Outcome::Failed(AttemptOutcome::NeverSent);
        }
        let to = self.to.address;
        // Only a connection on which this request never was can't bring an earlier answer to it.
        let mut fresh = self.asked.been.borrow().contains(&to);
        let mut unsent: Option<Request<Body>> = None;
        loop {
            let pooled = if fresh { None } else { self.pool.borrow_mut().take(self.clock.now(), to) };
            let new = pooled.is_none();
            if new && !self.pool.borrow_mut().room(self.clock.now(), to, self.connections) {
                self.put_back(unsent);
                return Outcome::Failed(AttemptOutcome::Rejected);
            }
            let mut held = Held { pool: self.pool.clone(), clock: self.clock, to, wire: pooled, keep: None };
            if new {
                let wait = left(self.clock.now()).min(Duration::from_micros(CONNECT as u64));
                match tokio::time::timeout(wait, pool::connect(to)).await {
                    Ok(Ok(wire)) => held.wire = Some(wire),
                    Ok(Err(_)) | Err(_) => {
                        self.put_back(unsent);
                        return Outcome::Failed(AttemptOutcome::ConnectFailed);
                    }
                }
            }
            let Some(wire) = held.wire.as_mut() else { return Outcome::Failed(AttemptOutcome::NeverSent) };
            let ready = tokio::time::timeout(left(self.clock.now()), wire.sender.ready()).await;
            if !matches!(ready, Ok(Ok(()))) {
                if new {
                    self.put_back(unsent);
                    return Outcome::Failed(AttemptOutcome::ConnectFailed);
                }
                continue;
            }
            // What went out before and was not kept can't go again: this trip never was.
            let Some(request) = unsent.take().or_else(|| self.request()) else {
                return Outcome::Failed(AttemptOutcome::NeverSent);
            };
            self.asked.been.borrow_mut().push(to);
            let sent = tokio::time::timeout(left(self.clock.now()), wire.sender.try_send_request(request));
            return match sent.await {
                Err(_) => Outcome::Failed(AttemptOutcome::TimedOut),
                Ok(Ok(response)) => self.answered(response, held).await,
                Ok(Err(mut error)) => {
                    unsent = error.take_message();
                    // The client broke its body off, or sent too much: no fault of the instance.
                    let stopped = unsent.is_none() && error.error().is_user();
                    // hyper did not begin it, or the kernel took none of its bytes. Nothing else is known not to
                    // have run.
                    let unheard = unsent.is_some() || held.wire.as_ref().is_some_and(Wire::unheard);
                    if unheard && !stopped && !new && (unsent.is_some() || !self.asked.streams) {
                        fresh = true;
                        continue;
                    }
                    let ending = match unheard {
                        _ if stopped => AttemptOutcome::Cancelled,
                        true => AttemptOutcome::ConnectFailed,
                        false => AttemptOutcome::Reset,
                    };
                    self.put_back(unsent);
                    Outcome::Failed(ending)
                }
            };
        }
    }

    /// Keeps a body that has not gone out for the next trip.
    fn put_back(&self, unsent: Option<Request<Body>>) {
        if let Some(request) = unsent.filter(|_| self.asked.streams) {
            *self.asked.stream.borrow_mut() = Some(request.into_body());
        }
    }

    /// The request as it goes out; none where its body went out before and was not kept.
    fn request(&self) -> Option<Request<Body>> {
        let left = (self.until - self.clock.now()).max(0) / 1000;
        let body: Body = if self.asked.streams {
            self.asked.stream.borrow_mut().take()?
        } else {
            Full::new(self.asked.body.clone()).map_err(|never| match never {}).boxed_unsync()
        };
        let mut request = Request::new(body);
        *request.method_mut() = self.asked.method.clone();
        *request.uri_mut() = self.asked.uri.clone();
        *request.headers_mut() = self.asked.headers.clone();
        let headers = request.headers_mut();
        headers.insert(REMAINING_TIME, HeaderValue::from(left as u64));
        // hyper would send a GET of unknown length without its body.
        if self.asked.streams && !headers.contains_key(header::CONTENT_LENGTH) {
            headers.insert(header::TRANSFER_ENCODING, HeaderValue::from_static("chunked"));
        }
        headers.insert(TARGET_INSTANCE, HeaderValue::from_str(&self.to.id.0).ok()?);
        Some(request)
    }

    async fn answered(self, response: Response<Incoming>, mut held: Held) -> Outcome {
        let (mut head, mut body) = response.into_parts();
        let status = head.status;
        // After an answer of HTTP/1.0 hyper would speak that too, and drop bodies of unknown length.
        let closes =
            head.version != Version::HTTP_11
                || head.headers.get_all(header::CONNECTION).iter().any(|value| {
                    value.to_str().is_ok_and(|text| text.to_ascii_lowercase().contains("close"))
                });
        let rest = head.headers.get(KEEP_ALIVE).and_then(|value| value.to_str().ok()).and_then(timeout);
        // An answer that belongs to another request, or to none, or that is no last word (101).
        let (answers, asked) = (head.headers.get_all(ATTEMPT_ID), self.asked.headers.get_all(ATTEMPT_ID));
        if !answers.iter().eq(asked.iter()) || status.is_informational() {
            return Outcome::Failed(AttemptOutcome::Reset);
        }
        // Without an id, what comes next can't be told from what was meant for this one.
        let closes = closes || asked.iter().next().is_none();
        let not_run = head.headers.contains_key(NOT_EXECUTED);
        let chunked = chunked(&head.headers);
        // Its end is seen. One that lasts until the connection ends may have been cut off.
        let framed = body.size_hint().exact().is_some() || chunked == Some(true);
        let spoilt = head.headers.contains_key(header::CONTENT_ENCODING)
            || !head.headers.contains_key(SERVER_SEAL)
            || not_run;
        if (status.is_success() && spoilt) || (!framed && !not_run) {
            return Outcome::Failed(AttemptOutcome::Reset);
        }
        if chunked.is_some() {
            // It says nothing then, and what is sent on would be cut to it.
            head.headers.remove(header::CONTENT_LENGTH);
        }
        strip(&mut head.headers);
        let ending = match status {
            StatusCode::MISDIRECTED_REQUEST => AttemptOutcome::Misdirected,
            // The request itself is wrong (it has no id), wherever it goes.
            StatusCode::BAD_REQUEST => AttemptOutcome::Succeeded,
            _ if not_run => AttemptOutcome::Rejected,
            _ if status.is_server_error() => AttemptOutcome::Error,
            _ => AttemptOutcome::Succeeded,
        };
        // To clients these statuses promise that it has not run, which here nobody has said.
        let promises =
            [StatusCode::REQUEST_TIMEOUT, StatusCode::TOO_MANY_REQUESTS, StatusCode::SERVICE_UNAVAILABLE];
        let unproven = !not_run && !self.asked.repeats && promises.contains(&status);
        let (mut taken, mut coat) = (BytesMut::new(), self.coat);
        let whole = async {
            while taken.len() <= WHOLE && coat.takes(taken.capacity()) {
                match body.frame().await {
                    None => return Ok(true),
                    Some(Ok(frame)) => {
                        if let Ok(data) = frame.into_data() {
                            taken.extend_from_slice(&data);
                        }
                    }
                    Some(Err(_)) => return Err(AttemptOutcome::Reset),
                }
            }
            Ok(false)
        };
        let left = Duration::from_micros((self.until - self.clock.now()).max(0) as u64);
        match tokio::time::timeout(left, whole).await {
            Err(_) => Outcome::Failed(AttemptOutcome::TimedOut),
            Ok(Err(ending)) => Outcome::Failed(ending),
            Ok(Ok(whole)) => {
                if whole {
                    held.keep = (!closes).then_some(rest);
                }
                if matches!(ending, AttemptOutcome::Misdirected | AttemptOutcome::Rejected) {
                    return Outcome::Failed(ending);
                }
                if unproven {
                    return Outcome::Failed(AttemptOutcome::Error);
                }
                let taken = coat.keep(taken);
                let body = if whole {
                    drop(held);
                    Full::new(taken).map_err(|never| match never {}).boxed_unsync()
                } else {
                    let (pieces, coming) = tokio::sync::mpsc::channel(FRAMES);
                    let until = self.clock.at(self.until);
                    crate::tasks::spawn_local(pass_on(taken, body, pieces, held, closes, rest, until));
                    Passed(coming).boxed_unsync()
                };
                Outcome::Answer { response: Response::from_parts(head, body), ending }
            }
        }
    }
}

/// Whether a message's body comes in chunks and is not coded beside; `None` without `Transfer-Encoding`.
pub fn chunked(headers: &HeaderMap) -> Option<bool> {
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    let first = codings.next()?;
    Some(codings.next().is_none() && first.as_bytes().trim_ascii().eq_ignore_ascii_case(b"chunked"))
}

/// Seconds told as `timeout=` in `Keep-Alive`.
fn timeout(text: &str) -> Option<Micros> {
    let seconds = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.trim().parse::<u32>().ok().map(|seconds| Micros::from(seconds) * SECOND)
}

/// A piece of a large answer. One that stops coming without its end has broken off.
enum Piece {
    Data(Bytes),
    End,
}

/// Hands on the rest of a large answer as fast as the client takes it, until `until` or the client has gone.
async fn pass_on(
    first: Bytes, mut body: Incoming, pieces: tokio::sync::mpsc::Sender<Piece>, mut held: Held, closes: bool,
    rest: Option<Micros>, until: tokio::time::Instant,
) {
    let passing = async {
        if pieces.send(Piece::Data(first)).await.is_err() {
            return false;
        }
        loop {
            let frame = tokio::select! {
                frame = body.frame() => frame,
                () = pieces.closed() => return false,
            };
            let piece = match frame {
                None => return pieces.send(Piece::End).await.is_ok(),
                Some(Ok(frame)) => frame.into_data().map(Piece::Data),
                Some(Err(_)) => return false,
            };
            if let Ok(piece) = piece
                && pieces.send(piece).await.is_err()
            {
                return false;
            }
        }
    };
    if let Ok(true) = tokio::time::timeout_at(until, passing).await {
        held.keep = (!closes).then_some(rest);
    }
}

struct Passed(tokio::sync::mpsc::Receiver<Piece>);

impl hyper::body::Body for Passed {
    type Data = Bytes;
    type Error = Failed;
    fn poll_frame(
        mut self: std::pin::Pin<&mut Self>, context: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Result<Frame<Bytes>, Failed>>> {
        self.0.poll_recv(context).map(|next| match next {
            Some(Piece::Data(data)) => Some(Ok(Frame::data(data))),
            Some(Piece::End) => None,
            None => Some(Err("the answer broke off".into())),
        })
    }
}

/// What was read of a large body, and then the rest as it comes, up to a number of bytes.
pub struct Prefixed {
    pub first: Option<Bytes>,
    pub rest: Incoming,
    /// Bytes that may still come.
    pub left: u64,
    /// Set when more than that came.
    pub over: Arc<AtomicBool>,
    /// Reset when all of it has come.
    pub unread: Arc<AtomicBool>,
}

impl hyper::body::Body for Prefixed {
    type Data = Bytes;
    type Error = Failed;
    fn poll_frame(
        mut self: std::pin::Pin<&mut Self>, context: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Result<Frame<Bytes>, Failed>>> {
        if let Some(first) = self.first.take() {
            return std::task::Poll::Ready(Some(Ok(Frame::data(first))));
        }
        let next = std::task::ready!(std::pin::Pin::new(&mut self.rest).poll_frame(context));
        if next.is_none() || self.rest.is_end_stream() {
            self.unread.store(false, Ordering::Relaxed);
        }
        let came = next.as_ref().and_then(|frame| frame.as_ref().ok()?.data_ref());
        let came = came.map_or(0, |data| data.len() as u64);
        if came > self.left {
            self.over.store(true, Ordering::Relaxed);
            return std::task::Poll::Ready(Some(Err("the body is over MaxBodyBytes".into())));
        }
        self.left -= came;
        std::task::Poll::Ready(next.map(|frame| frame.map_err(Failed::from)))
    }

    fn is_end_stream(&self) -> bool {
        self.first.is_none() && self.rest.is_end_stream()
    }
}
