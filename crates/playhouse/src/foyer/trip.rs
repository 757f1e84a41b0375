//! Trip (one exchange with an instance): sends a request, takes the answer whole where it is small, and
//! tells what of it is certain: run, not run, or perhaps.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use garnetdoor::host::Ending;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body as _, Frame, Incoming};
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Request, Response, StatusCode, Uri};
use props::{Micros, SECOND};

use super::pool::{self, Body, Failed, Pool, Sender};
use crate::floor::desk::Seen;
use crate::house::Clock;

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

/// An answer up to this size is taken whole before any of it is passed on, so that one that breaks off
/// can still be exchanged for another.
const WHOLE: usize = 256 << 10;
/// How long a new connection may take to come up.
const CONNECT: Micros = SECOND;
/// Frames of a larger answer that wait for a slow client.
const FRAMES: usize = 8;

/// What a client has asked, in a form that can be sent more than once.
pub struct Asked {
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: Bytes,
    /// The rest of a body too large to be kept: it can go out once only.
    pub rest: RefCell<Option<Incoming>>,
    /// There is, or was, such a rest.
    pub streams: bool,
    /// Its route says that it may run more than once.
    pub repeats: bool,
}

/// What became of a trip.
pub enum Outcome {
    /// A whole answer, or the head of one whose body still comes.
    Answer {
        response: Response<Body>,
        ending: Ending,
    },
    Failed(Ending),
}

pub struct Trip {
    pub pool: Rc<RefCell<Pool>>,
    pub clock: Clock,
    pub to: Seen,
    pub asked: Rc<Asked>,
    /// When the client, or the route's time-out, ends it.
    pub until: Micros,
    pub connections: usize,
}

/// Gives a connection back when the trip ends, however it does.
struct Held {
    pool: Rc<RefCell<Pool>>,
    clock: Clock,
    to: std::net::SocketAddrV4,
    sender: Option<Sender>,
    keep: Option<Option<Micros>>,
}

impl Drop for Held {
    fn drop(&mut self) {
        let sender = self.sender.take().filter(|_| self.keep.is_some());
        self.pool.borrow_mut().back(self.clock.now(), self.to, sender, self.keep.flatten());
    }
}

pub fn strip(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .filter(|name| ![ATTEMPT_ID, REMAINING_TIME, header::CONTENT_LENGTH, header::HOST].contains(name))
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
            return Outcome::Failed(Ending::NeverSent);
        }
        let to = self.to.address;
        let mut fresh = false;
        loop {
            let pooled = if fresh { None } else { self.pool.borrow_mut().take(self.clock.now(), to) };
            let new = pooled.is_none();
            if new && !self.pool.borrow_mut().room(self.clock.now(), to, self.connections) {
                return Outcome::Failed(Ending::Full);
            }
            let mut held =
                Held { pool: self.pool.clone(), clock: self.clock, to, sender: pooled, keep: None };
            if new {
                let wait = left(self.clock.now()).min(Duration::from_micros(CONNECT as u64));
                match tokio::time::timeout(wait, pool::connect(to)).await {
                    Ok(Ok(sender)) => held.sender = Some(sender),
                    Ok(Err(_)) | Err(_) => return Outcome::Failed(Ending::ConnectFailed),
                }
            }
            let Some(sender) = held.sender.as_mut() else { return Outcome::Failed(Ending::NeverSent) };
            if sender.ready().await.is_err() {
                if new {
                    return Outcome::Failed(Ending::ConnectFailed);
                }
                continue;
            }
            let Some(request) = self.request() else { return Outcome::Failed(Ending::Reset) };
            let sent = tokio::time::timeout(left(self.clock.now()), sender.try_send_request(request)).await;
            return match sent {
                Err(_) => Outcome::Failed(Ending::TimedOut),
                Ok(Ok(response)) => self.answered(response, held, left(self.clock.now())).await,
                Ok(Err(mut error)) => {
                    // Nothing of it has left this machine: another connection may take it.
                    let unsent = error.take_message().is_some() && !self.asked.streams;
                    if unsent && !new {
                        fresh = true;
                        continue;
                    }
                    Outcome::Failed(if unsent { Ending::ConnectFailed } else { Ending::Reset })
                }
            };
        }
    }

    /// The request as it goes out; none where its body went out before and was not kept.
    fn request(&self) -> Option<Request<Body>> {
        let left = (self.until - self.clock.now()).max(0) / 1000;
        let body: Body = match self.asked.rest.borrow_mut().take() {
            Some(rest) => Prefixed { first: Some(self.asked.body.clone()), rest }.boxed_unsync(),
            None if self.asked.streams => return None,
            None => Full::new(self.asked.body.clone()).map_err(|never| match never {}).boxed_unsync(),
        };
        let mut request = Request::new(body);
        *request.method_mut() = self.asked.method.clone();
        *request.uri_mut() = self.asked.uri.clone();
        *request.headers_mut() = self.asked.headers.clone();
        let headers = request.headers_mut();
        headers.insert(REMAINING_TIME, HeaderValue::from(left as u64));
        headers.insert(TARGET_INSTANCE, HeaderValue::from_str(&self.to.id.0).ok()?);
        Some(request)
    }

    async fn answered(&self, response: Response<Incoming>, mut held: Held, left: Duration) -> Outcome {
        let (mut head, mut body) = response.into_parts();
        let status = head.status;
        let closes = head
            .headers
            .get_all(header::CONNECTION)
            .iter()
            .any(|value| value.to_str().is_ok_and(|text| text.to_ascii_lowercase().contains("close")));
        let rest = head.headers.get(KEEP_ALIVE).and_then(|value| value.to_str().ok()).and_then(timeout);
        // An answer that belongs to another request, or to none.
        if head.headers.get(ATTEMPT_ID) != self.asked.headers.get(ATTEMPT_ID) {
            return Outcome::Failed(Ending::Reset);
        }
        let not_run = head.headers.contains_key(NOT_EXECUTED);
        let framed = body.size_hint().exact().is_some()
            || head.headers.get(header::TRANSFER_ENCODING).is_some_and(|value| value == "chunked");
        let spoilt = head.headers.contains_key(header::CONTENT_ENCODING)
            || !head.headers.contains_key(SERVER_SEAL)
            || !framed;
        if status.is_success() && spoilt {
            return Outcome::Failed(Ending::Reset);
        }
        strip(&mut head.headers);
        let ending = match status {
            StatusCode::MISDIRECTED_REQUEST => Ending::NeverSent,
            _ if not_run => Ending::Full,
            _ if status.is_server_error() => Ending::Error,
            _ => Ending::Finished,
        };
        let mut taken = BytesMut::new();
        let whole = async {
            while taken.len() <= WHOLE {
                match body.frame().await {
                    None => return Ok(true),
                    Some(Ok(frame)) => {
                        if let Ok(data) = frame.into_data() {
                            taken.extend_from_slice(&data);
                        }
                    }
                    Some(Err(_)) => return Err(Ending::Reset),
                }
            }
            Ok(false)
        };
        match tokio::time::timeout(left, whole).await {
            Err(_) => Outcome::Failed(Ending::TimedOut),
            Ok(Err(ending)) => Outcome::Failed(ending),
            Ok(Ok(true)) => {
                held.keep = (!closes).then_some(rest);
                drop(held);
                if matches!(ending, Ending::NeverSent | Ending::Full) {
                    return Outcome::Failed(ending);
                }
                let body = Full::new(taken.freeze()).map_err(|never| match never {}).boxed_unsync();
                Outcome::Answer { response: Response::from_parts(head, body), ending }
            }
            Ok(Ok(false)) => {
                let (frames, coming) = tokio::sync::mpsc::channel(FRAMES);
                crate::tasks::spawn_local(pass_on(taken.freeze(), body, frames, held, closes, rest));
                let body = Passed(coming).boxed_unsync();
                Outcome::Answer { response: Response::from_parts(head, body), ending }
            }
        }
    }
}

/// Seconds told as `timeout=` in `Keep-Alive`.
fn timeout(text: &str) -> Option<Micros> {
    let seconds = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.trim().parse::<u32>().ok().map(|seconds| Micros::from(seconds) * SECOND)
}

/// Hands on the rest of a large answer as fast as the client takes it; one that breaks off ends as an error,
/// so that it never looks complete.
async fn pass_on(
    first: Bytes, mut body: Incoming, frames: tokio::sync::mpsc::Sender<Result<Bytes, Failed>>,
    mut held: Held, closes: bool, rest: Option<Micros>,
) {
    if frames.send(Ok(first)).await.is_err() {
        return;
    }
    loop {
        match body.frame().await {
            None => {
                held.keep = (!closes).then_some(rest);
                return;
            }
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data()
                    && frames.send(Ok(data)).await.is_err()
                {
                    return;
                }
            }
            Some(Err(error)) => {
                let _ = frames.send(Err(error.into())).await;
                return;
            }
        }
    }
}

struct Passed(tokio::sync::mpsc::Receiver<Result<Bytes, Failed>>);

impl hyper::body::Body for Passed {
    type Data = Bytes;
    type Error = Failed;
    fn poll_frame(
        mut self: std::pin::Pin<&mut Self>, context: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Result<Frame<Bytes>, Failed>>> {
        self.0.poll_recv(context).map(|next| next.map(|data| data.map(Frame::data)))
    }
}

/// What was read of a large body, and then the rest as it comes.
struct Prefixed {
    first: Option<Bytes>,
    rest: Incoming,
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
        std::pin::Pin::new(&mut self.rest).poll_frame(context).map_err(Failed::from)
    }
}
