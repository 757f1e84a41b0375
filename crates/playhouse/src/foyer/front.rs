//! Front (what clients see of a foyer): connections, reading of requests, and answers.

use std::cell::RefCell;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use garnetdoor::host::RequestId;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body as _, Frame, Incoming, SizeHint};
use hyper::header::{self, HeaderValue};
use hyper::{Request, Response, StatusCode, Uri};
use hyper_util::rt::{TokioIo, TokioTimer};
use simd_json::prelude::Writable;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use types::{Micros, SECOND};

use super::crowd::{Crowd, Place};
use super::pool::{Body, Failed};
use super::trip::{Asked, Prefixed, REMAINING_TIME, chunked, strip};
use super::watch::{Doing, Due, Watch, Watched};
use super::{Reply, Shared, come_back};

/// A request's body up to this size is kept, so that it can go to another instance.
const KEPT: usize = 512 << 10;
/// Client connections at once, of the descriptors that the machine has.
const CLIENTS_SHARE: f64 = 0.6;
/// The kernel may have taken connections, with requests on them, that are not known here when the listener is
/// to close: so long they are still accepted, and then read.
const LAST_LOOK: Duration = Duration::from_millis(50);
/// Before any configuration: bounds of a head and of idleness, and bytes of a head.
const UNTOLD: (Micros, Micros) = (3 * SECOND, 15 * SECOND);
const HEADER_BYTES: u64 = 16 << 10;
const OVER: &str = "{\"Error\":\"the body is over MaxBodyBytes\"}";

/// Takes clients until told to stop; then ends idle connections and lets the others finish.
pub async fn serve(listener: TcpListener, shared: Shared, crowd: Rc<Crowd>, stopping: watch::Receiver<bool>) {
    let most = (shared.borrow().settings.limit_set.fd_limit * CLIENTS_SHARE).max(64.0) as usize;
    let take = async |stream| {
        let watch = Watch::start(shared.borrow().clock);
        // Without a place it is closed unread, so that the client may go elsewhere.
        if let Some(place) = crowd.enter(most, &watch).await {
            crate::tasks::spawn_local(attend(stream, shared.clone(), watch, place, stopping.clone()));
        }
    };
    let mut told = stopping.clone();
    loop {
        tokio::select! {
            stream = crate::listen::accept(&listener) => take(stream).await,
            _ = told.changed() => break,
        }
    }
    // Those that the kernel has taken already would be reset.
    let rest = async {
        loop {
            take(crate::listen::accept(&listener).await).await;
        }
    };
    let _: Result<(), _> = tokio::time::timeout(LAST_LOOK, rest).await;
}

/// One client's connection, to its end.
async fn attend(
    stream: TcpStream, shared: Shared, watch: Watch, place: Place, mut stopping: watch::Receiver<bool>,
) {
    let (clock, limits) = {
        let foyer = shared.borrow();
        (foyer.clock, foyer.floor.bill().map(|bill| bill.limits))
    };
    let (head, idle) = limits.map_or(UNTOLD, |limits| (limits.header_timeout, limits.idle_timeout));
    let header_bytes = limits.map_or(HEADER_BYTES, |limits| limits.max_header_bytes);
    let service = hyper::service::service_fn(|request| {
        let (shared, watch) = (shared.clone(), watch.clone());
        watch.served(false);
        async move {
            let mut answer = answer(shared, request, &watch).await;
            // A second less, so that a client that heeds it never meets the end.
            if idle >= 3 * SECOND && !answer.headers().contains_key(header::CONNECTION) {
                let told = format!("timeout={}", idle / SECOND - 1);
                if let Ok(value) = HeaderValue::from_str(&told) {
                    answer.headers_mut().insert("keep-alive", value);
                }
            }
            Ok::<_, std::convert::Infallible>(answer.map(|body| Answering { body, watch }))
        }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .max_header_size(header_bytes as usize)
        .max_buf_size((header_bytes as usize).clamp(8192, 1 << 20))
        .serve_connection(Watched::new(TokioIo::new(stream), watch.clone()), service);
    let mut connection = std::pin::pin!(connection);
    let (mut at, mut stops, late) = (clock.now() + head.min(idle), false, *stopping.borrow());
    let ended = loop {
        tokio::select! {
            // First, so that a request that is there already is read before the end.
            biased;
            ended = connection.as_mut() => break ended,
            () = async {
                let _ = stopping.wait_for(|stop| *stop).await;
                if late {
                    tokio::time::sleep(LAST_LOOK).await;
                }
            }, if !stops => {
                stops = true;
                connection.as_mut().graceful_shutdown();
            }
            () = place.yields.notified() => match watch.doing() {
                Doing::Idle(_) => connection.as_mut().graceful_shutdown(),
                Doing::Head(_) => break Ok(()),
                Doing::Served => {}
            },
            () = tokio::time::sleep_until(clock.at(at)) => match watch.due(head, idle) {
                Due::At(next) => at = next,
                Due::End => {
                    at = clock.now() + idle;
                    connection.as_mut().graceful_shutdown();
                }
                Due::Cut => break Ok(()),
            },
        }
    };
    if let Err(error) = ended {
        log::debug!("a client's connection ended: {error}");
    }
}

/// An answer's body; its request is served until this is dropped.
struct Answering {
    body: Body,
    watch: Watch,
}

impl Drop for Answering {
    fn drop(&mut self) {
        self.watch.served(true);
    }
}

impl hyper::body::Body for Answering {
    type Data = Bytes;
    type Error = Failed;
    fn poll_frame(
        mut self: Pin<&mut Self>, context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Failed>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }
    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }
    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// A platform's connection that asks nothing is closed after this.
const READINESS_HEAD_WITHIN: Duration = Duration::from_secs(15);

/// Answers the platform's question whether clients may be sent here.
pub async fn readiness(listener: TcpListener, shared: Shared) {
    let answer = move |request: Request<Incoming>| {
        let answer = match request.uri().path() {
            "/api/readiness" if shared.borrow().floor.ready() => plain(StatusCode::OK, "{}"),
            "/api/readiness" => plain(StatusCode::SERVICE_UNAVAILABLE, "{}"),
            "/api/status" => json(shared.borrow().floor.status().encode()),
            _ => plain(StatusCode::NOT_FOUND, "{}"),
        };
        std::future::ready(answer)
    };
    crate::listen::serve(listener, READINESS_HEAD_WITHIN, answer).await;
}

fn plain(status: StatusCode, text: &'static str) -> Response<Body> {
    let body = Full::new(Bytes::from_static(text.as_bytes())).map_err(|never| match never {});
    let mut answer = Response::new(body.boxed_unsync());
    *answer.status_mut() = status;
    answer.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    answer
}

fn json(text: String) -> Response<Body> {
    let body = Full::new(Bytes::from(text)).map_err(|never| match never {});
    let mut answer = Response::new(body.boxed_unsync());
    answer.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    answer
}

fn turned_back(wait: Option<Micros>) -> Response<Body> {
    let mut answer = plain(StatusCode::SERVICE_UNAVAILABLE, "{}");
    if let Ok(value) = HeaderValue::from_str(&come_back(wait)) {
        answer.headers_mut().insert(header::RETRY_AFTER, value);
    }
    answer
}

/// Tells the foyer when a client has gone before its answer, or has it.
struct Here {
    shared: Shared,
    id: RequestId,
}

impl Drop for Here {
    fn drop(&mut self) {
        self.shared.borrow_mut().left(&self.shared, self.id);
    }
}

async fn answer(shared: Shared, request: Request<Incoming>, watch: &Watch) -> Response<Body> {
    watch.unread().store(!request.body().is_end_stream(), Ordering::Relaxed);
    let mut answer = respond(&shared, request, watch.unread()).await;
    // Nothing can follow a body that was not read whole.
    if shared.borrow().floor.leaving() || watch.unread().load(Ordering::Relaxed) {
        answer.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    answer
}

/// Brings a request's target to the form that instances are asked in, a path and a query; where it named a
/// host, that one holds (RFC 9112, 3.2.2). `None` where it can't be told what is asked.
fn origin_form(head: &mut hyper::http::request::Parts) -> Option<()> {
    if head.headers.get_all(header::HOST).iter().count() > 1 || head.method == hyper::Method::CONNECT {
        return None;
    }
    if let Some(authority) = head.uri.authority() {
        let host = authority.as_str().rsplit('@').next()?;
        head.headers.insert(header::HOST, HeaderValue::from_str(host).ok()?);
        let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
        head.uri = path.parse::<Uri>().ok()?;
    }
    Some(())
}

async fn respond(shared: &Shared, request: Request<Incoming>, unread: &Arc<AtomicBool>) -> Response<Body> {
    let (came, bill, mut coat) = {
        let foyer = shared.borrow();
        (foyer.clock.now(), foyer.floor.bill().cloned(), foyer.cloakroom.coat())
    };
    let (mut head, mut body) = request.into_parts();
    if chunked(&head.headers) == Some(false) || origin_form(&mut head).is_none() {
        return plain(StatusCode::BAD_REQUEST, "{\"Error\":\"no target, or no body, that is clear\"}");
    }
    let told = head.headers.get(REMAINING_TIME).and_then(|value| value.to_str().ok());
    let told = told.and_then(|text| text.trim().parse::<f64>().ok()).filter(|left| left.is_finite());
    let told = told.map(|ms| (ms.clamp(0.0, 1e9) * 1e3) as Micros);
    let Some(bill) = bill else { return turned_back(Some(load::retry_after(told.unwrap_or(SECOND)))) };
    let host = head.headers.get(header::HOST).and_then(|host| host.to_str().ok()).unwrap_or("");
    let Some(route) = bill.find_route(host, head.uri.path()) else {
        return plain(StatusCode::NOT_FOUND, "{\"Error\":\"no route\"}");
    };
    let left = told.unwrap_or(route.timeout).min(route.timeout);
    let until = came + left;
    let most = bill.limits.max_body_bytes;
    if body.size_hint().lower() > most {
        return plain(StatusCode::PAYLOAD_TOO_LARGE, OVER);
    }
    let mut taken = BytesMut::new();
    let wait = Duration::from_micros(left.max(0) as u64);
    let read = async {
        while taken.len() <= KEPT && coat.takes(taken.capacity()) {
            let Some(frame) = body.frame().await else { return Ok(true) };
            if let Ok(data) = frame?.into_data() {
                taken.extend_from_slice(&data);
            }
        }
        Ok::<_, hyper::Error>(false)
    };
    let streams = match tokio::time::timeout(wait, read).await {
        Ok(Ok(whole)) => !whole,
        Ok(Err(_)) => return plain(StatusCode::BAD_REQUEST, "{\"Error\":\"the body broke off\"}"),
        Err(_) => {
            return plain(StatusCode::REQUEST_TIMEOUT, "{\"Error\":\"the body did not come in time\"}");
        }
    };
    if !streams || body.is_end_stream() {
        unread.store(false, Ordering::Relaxed);
    }
    let Some(more) = most.checked_sub(taken.len() as u64) else {
        return plain(StatusCode::PAYLOAD_TOO_LARGE, OVER);
    };
    strip(&mut head.headers);
    head.headers.remove(header::EXPECT);
    let (taken, over) = (coat.keep(taken), Arc::<AtomicBool>::default());
    let stream = streams.then(|| {
        let (first, unread) = (Some(taken.clone()), unread.clone());
        Prefixed { first, rest: body, left: more, over: over.clone(), unread }.boxed_unsync()
    });
    let asked = Asked {
        method: head.method,
        uri: head.uri,
        headers: head.headers,
        body: if streams { Bytes::new() } else { taken },
        stream: RefCell::new(stream),
        streams,
        been: RefCell::default(),
        repeats: route.kind.is_idempotent(),
    };
    let Some(service) = pick(route) else { return turned_back(Some(load::retry_after(left))) };
    let (id, told) = shared.borrow_mut().came(shared, service, route, asked, until);
    let _here = Here { shared: shared.clone(), id };
    match told.await {
        Ok(Reply::Answer(response)) => response,
        Ok(Reply::TurnedBack(wait)) => turned_back(wait),
        _ if over.load(Ordering::Relaxed) => plain(StatusCode::PAYLOAD_TOO_LARGE, OVER),
        Ok(Reply::Forfeited) | Err(_) => plain(StatusCode::BAD_GATEWAY, "{\"Error\":\"no answer\"}"),
    }
}

/// One of the route's services, by weight.
fn pick(route: &configuration::Route) -> Option<&str> {
    if let [only] = route.targets.as_slice() {
        return Some(&only.service);
    }
    let all: f64 = route.targets.iter().map(|target| target.weight).sum();
    let mut drawn = (crate::node::random_u64() >> 11) as f64 / (1u64 << 53) as f64 * all;
    for target in &route.targets {
        if drawn < target.weight {
            return Some(&target.service);
        }
        drawn -= target.weight;
    }
    route.targets.iter().rev().find(|target| target.weight > 0.0).map(|target| &*target.service)
}
