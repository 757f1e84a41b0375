//! Client side of a gateway: accepts connections, reads requests, and sends answers.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use configuration::{Configuration, Route};
use garnetdoor::host::RequestId;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body as _, Incoming};
use hyper::header::{self, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode, Uri};
use simd_json::prelude::Writable;
use tokio::net::TcpListener;
use tokio::sync::watch;
use types::{Micros, SECOND};

use super::activity::Activity;
use super::attempt::{PrefixedBody, REMAINING_TIME, ReplayableRequest, is_chunked, strip_connection_headers};
use super::client_connection::{self, FINAL_ACCEPT_WINDOW};
use super::client_connections::ClientConnections;
use super::client_limits::BodyLimit;
use super::pool::Body;
use super::{Reply, Shared, retry_after_seconds};

/// A request's body up to this size in bytes is buffered, so that it can be sent to another instance.
const MAX_BUFFERED_BODY_BYTES: usize = 512 << 10;
/// Fraction of the machine's file descriptors for client connections.
const CLIENT_DESCRIPTOR_SHARE: f64 = 0.6;
const NO_ROUTE: &str = "{\"Error\":\"no route\"}";
const BODY_TIMEOUT: &str = "{\"Error\":\"the body did not come in time\"}";
const BODY_TOO_LARGE: &str = "{\"Error\":\"the body is over MaxBodyBytes\"}";

/// Accepts clients until told to stop; then ends idle connections and lets the others finish.
pub async fn serve(
    listener: TcpListener, shared: Shared, connections: Rc<ClientConnections>,
    stopping: watch::Receiver<bool>,
) {
    let max_clients =
        (shared.borrow().settings.limit_set.fd_limit * CLIENT_DESCRIPTOR_SHARE).max(64.0) as usize;
    let accept_client = async |stream| {
        let activity = Activity::start(shared.borrow().clock);
        // Without a slot the connection is closed unread, so that the client can try elsewhere.
        if let Some(slot) = connections.enter(max_clients, &activity).await {
            crate::tasks::spawn_local(client_connection::serve(
                stream,
                shared.clone(),
                activity,
                slot,
                stopping.clone(),
            ));
        }
    };
    let mut stop_signal = stopping.clone();
    loop {
        tokio::select! {
            stream = crate::listen::accept(&listener) => accept_client(stream).await,
            _ = stop_signal.changed() => break,
        }
    }
    // Connections that the kernel has already accepted would otherwise be reset.
    let accept_rest = async {
        loop {
            accept_client(crate::listen::accept(&listener).await).await;
        }
    };
    let _: Result<(), _> = tokio::time::timeout(FINAL_ACCEPT_WINDOW, accept_rest).await;
}

/// A connection for readiness checks that sends no request is closed after this time.
const READINESS_HEAD_TIMEOUT: Duration = Duration::from_secs(15);

/// Answers the platform's readiness checks, and requests for the status.
pub async fn readiness(listener: TcpListener, shared: Shared) {
    let answer = move |request: Request<Incoming>| {
        let answer = match request.uri().path() {
            "/api/readiness" if shared.borrow().data_plane.ready() => plain(StatusCode::OK, "{}"),
            "/api/readiness" => plain(StatusCode::SERVICE_UNAVAILABLE, "{}"),
            "/api/status" => json(shared.borrow().data_plane.status().encode()),
            _ => plain(StatusCode::NOT_FOUND, "{}"),
        };
        std::future::ready(answer)
    };
    crate::listen::serve(listener, READINESS_HEAD_TIMEOUT, answer).await;
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

/// Refuses a body of more than `max_bytes`.
fn body_too_large(shared: &Shared, max_bytes: u64) -> Response<Body> {
    let gateway = shared.borrow();
    let limits = *gateway.client_limits.borrow();
    gateway.limit_log.body_too_large(max_bytes, gateway.applied(limits));
    plain(StatusCode::PAYLOAD_TOO_LARGE, BODY_TOO_LARGE)
}

/// Refuses a body that took longer than `allowed`.
fn body_timeout(shared: &Shared, allowed: Micros) -> Response<Body> {
    let gateway = shared.borrow();
    let limits = *gateway.client_limits.borrow();
    gateway.limit_log.body_timeout(allowed, gateway.applied(limits));
    plain(StatusCode::REQUEST_TIMEOUT, BODY_TIMEOUT)
}

fn rejected(retry_after: Option<Micros>) -> Response<Body> {
    let mut answer = plain(StatusCode::SERVICE_UNAVAILABLE, "{}");
    if let Ok(value) = HeaderValue::from_str(&retry_after_seconds(retry_after)) {
        answer.headers_mut().insert(header::RETRY_AFTER, value);
    }
    answer
}

/// Reports to the gateway, when dropped, that the client has its answer or has disconnected.
struct RequestGuard {
    shared: Shared,
    id: RequestId,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.shared.borrow_mut().request_closed(&self.shared, self.id);
    }
}

/// Answers one request of a client.
pub(super) async fn answer(
    shared: Shared, request: Request<Incoming>, activity: &Activity,
) -> Response<Body> {
    activity.unread().store(!request.body().is_end_stream(), Ordering::Relaxed);
    let mut answer = respond(&shared, request, activity.unread()).await;
    // No other request can follow on the connection if the body was not read completely.
    if shared.borrow().data_plane.leaving() || activity.unread().load(Ordering::Relaxed) {
        answer.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    answer
}

/// Converts the request target to origin form, a path and a query; a host in the target takes precedence (RFC 9112,
/// 3.2.2). `None` if the target is ambiguous.
fn origin_form(head: &mut Parts) -> Option<()> {
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

fn find_route<'a>(configuration: &'a Configuration, head: &Parts) -> Option<&'a Route> {
    let host = head.headers.get(header::HOST).and_then(|host| host.to_str().ok()).unwrap_or("");
    configuration.find_route(host, head.uri.path())
}

/// How long a request may be held, given the time that the client allows.
fn time_limit(route: &Route, remaining: Option<Micros>) -> Micros {
    remaining.unwrap_or(route.timeout).min(route.timeout)
}

/// Reads the body, finds the route, and waits for the answer; `unread` is reset once the whole body has been read.
async fn respond(shared: &Shared, request: Request<Incoming>, unread: &Arc<AtomicBool>) -> Response<Body> {
    let (received_at, configuration, mut reservation) = {
        let gateway = shared.borrow();
        (gateway.clock.now(), gateway.data_plane.configuration().cloned(), gateway.body_budget.reservation())
    };
    let (mut head, mut body) = request.into_parts();
    if is_chunked(&head.headers) == Some(false) || origin_form(&mut head).is_none() {
        return plain(StatusCode::BAD_REQUEST, "{\"Error\":\"no target, or no body, that is clear\"}");
    }
    let remaining = head.headers.get(REMAINING_TIME).and_then(|value| value.to_str().ok());
    let remaining =
        remaining.and_then(|text| text.trim().parse::<f64>().ok()).filter(|left| left.is_finite());
    let remaining = remaining.map(|ms| (ms.clamp(0.0, 1e9) * 1e3) as Micros);
    let Some(configuration) = configuration else {
        return rejected(Some(load::retry_after(remaining.unwrap_or(SECOND))));
    };
    let Some(route) = find_route(&configuration, &head) else {
        return plain(StatusCode::NOT_FOUND, NO_ROUTE);
    };
    let time_left = time_limit(route, remaining);
    let body_limit = BodyLimit::at_start(shared.borrow().client_limits.subscribe());
    if body.size_hint().lower() > body_limit.max_bytes() {
        return body_too_large(shared, body_limit.max_bytes());
    }
    let mut buffered = BytesMut::new();
    let read_timeout = Duration::from_micros(time_left.max(0) as u64);
    let read = async {
        while buffered.len() <= MAX_BUFFERED_BODY_BYTES && reservation.grow_to(buffered.capacity()) {
            let Some(frame) = body.frame().await else { return Ok(true) };
            if let Ok(data) = frame?.into_data() {
                buffered.extend_from_slice(&data);
            }
        }
        Ok::<_, hyper::Error>(false)
    };
    let is_streamed = match tokio::time::timeout(read_timeout, read).await {
        Ok(Ok(whole)) => !whole,
        Ok(Err(_)) => return plain(StatusCode::BAD_REQUEST, "{\"Error\":\"the body broke off\"}"),
        Err(_) => return body_timeout(shared, time_left),
    };
    if !is_streamed || body.is_end_stream() {
        unread.store(false, Ordering::Relaxed);
    }
    let received = buffered.len() as u64;
    if received > body_limit.max_bytes() {
        return body_too_large(shared, body_limit.max_bytes());
    }
    // The configuration may have changed while the body was read; the request is passed on by the one in force.
    let configuration = shared.borrow().data_plane.configuration().cloned().unwrap_or(configuration);
    let Some(route) = find_route(&configuration, &head) else {
        return plain(StatusCode::NOT_FOUND, NO_ROUTE);
    };
    let time_left = time_limit(route, remaining);
    let deadline = received_at + time_left;
    strip_connection_headers(&mut head.headers);
    head.headers.remove(header::EXPECT);
    let max_body_bytes = body_limit.max_bytes();
    let (buffered, too_large) = (reservation.keep(buffered), Arc::<AtomicBool>::default());
    let stream = is_streamed.then(|| {
        let (first, unread) = (Some(buffered.clone()), unread.clone());
        let (limit, too_large) = (body_limit, too_large.clone());
        PrefixedBody { first, rest: body, received, limit, too_large, unread }.boxed_unsync()
    });
    let original = ReplayableRequest {
        method: head.method,
        uri: head.uri,
        headers: head.headers,
        body: if is_streamed { Bytes::new() } else { buffered },
        stream: RefCell::new(stream),
        is_streamed,
        tried: RefCell::default(),
        idempotent: route.kind.is_idempotent(),
    };
    let Some(service) = pick_service(route) else { return rejected(Some(load::retry_after(time_left))) };
    let (id, reply) = shared.borrow_mut().request_arrived(shared, service, route, original, deadline);
    let _guard = RequestGuard { shared: shared.clone(), id };
    match reply.await {
        Ok(Reply::Answer(response)) => response,
        Ok(Reply::Rejected(retry_after)) => rejected(retry_after),
        _ if too_large.load(Ordering::Relaxed) => body_too_large(shared, max_body_bytes),
        Ok(Reply::Failed) | Err(_) => plain(StatusCode::BAD_GATEWAY, "{\"Error\":\"no answer\"}"),
    }
}

/// Chooses one of the route's services at random, by weight.
fn pick_service(route: &Route) -> Option<&str> {
    if let [only] = route.targets.as_slice() {
        return Some(&only.service);
    }
    let total_weight: f64 = route.targets.iter().map(|target| target.weight).sum();
    let mut draw = (crate::node::random_u64() >> 11) as f64 / (1u64 << 53) as f64 * total_weight;
    for target in &route.targets {
        if draw < target.weight {
            return Some(&target.service);
        }
        draw -= target.weight;
    }
    route.targets.iter().rev().find(|target| target.weight > 0.0).map(|target| &*target.service)
}
