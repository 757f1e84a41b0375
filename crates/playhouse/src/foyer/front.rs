//! Front (what clients see of a foyer): connections, reading of requests, and answers.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use garnetdoor::host::TicketId;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body as _, Incoming};
use hyper::header::{self, HeaderValue};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use props::{Micros, SECOND};
use simd_json::prelude::Writable;
use tokio::net::TcpListener;
use tokio::sync::watch;

use super::pool::Body;
use super::trip::{Asked, REMAINING_TIME, strip};
use super::watch::{Due, Watch, Watched};
use super::{Reply, Shared, come_back};

/// A request's body up to this size is kept, so that it can go to another instance.
const KEPT: usize = 512 << 10;
/// Client connections at once, of the descriptors that the machine has.
const CLIENTS_SHARE: f64 = 0.6;
/// Before any configuration: bounds of a head and of idleness, and bytes of a head.
const UNTOLD: (Micros, Micros) = (3 * SECOND, 15 * SECOND);
const HEADER_BYTES: u64 = 16 << 10;

/// Takes clients until told to stop; then ends idle connections and lets the others finish.
pub async fn serve(listener: TcpListener, shared: Shared, mut stopping: watch::Receiver<bool>) {
    let most = (shared.borrow().settings.limit_set.fd_limit * CLIENTS_SHARE).max(64.0) as usize;
    let count = Rc::new(Cell::new(0usize));
    loop {
        let stream = tokio::select! {
            stream = crate::listen::accept(&listener) => stream,
            _ = stopping.changed() => break,
        };
        if count.get() >= most {
            continue;
        }
        count.set(count.get() + 1);
        let (shared, count, mut stopping) = (shared.clone(), count.clone(), stopping.clone());
        crate::tasks::spawn_local(async move {
            let (clock, limits) = {
                let foyer = shared.borrow();
                (foyer.clock, foyer.floor.bill().map(|bill| bill.limits))
            };
            let (head, idle) = limits.map_or(UNTOLD, |limits| (limits.header_time, limits.idle_time));
            let header_bytes = limits.map_or(HEADER_BYTES, |limits| limits.header_bytes);
            let watch = Watch::start(clock);
            let service = hyper::service::service_fn(|request| {
                let (shared, watch) = (shared.clone(), watch.clone());
                watch.served(false);
                async move {
                    let mut answer = answer(shared, request).await;
                    // A second less, so that a client that heeds it never meets the end.
                    if idle >= 3 * SECOND && !answer.headers().contains_key(header::CONNECTION) {
                        let told = format!("timeout={}", idle / SECOND - 1);
                        if let Ok(value) = HeaderValue::from_str(&told) {
                            answer.headers_mut().insert("keep-alive", value);
                        }
                    }
                    watch.served(true);
                    Ok::<_, std::convert::Infallible>(answer)
                }
            });
            let io = Watched { io: TokioIo::new(stream), watch: watch.clone() };
            let connection = hyper::server::conn::http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(None)
                .max_buf_size((header_bytes as usize).clamp(8192, 1 << 20))
                .serve_connection(io, service);
            let mut connection = std::pin::pin!(connection);
            let (mut at, mut stops) = (clock.now() + head.min(idle), false);
            let ended = loop {
                tokio::select! {
                    ended = connection.as_mut() => break ended,
                    _ = stopping.wait_for(|stop| *stop), if !stops => {
                        stops = true;
                        connection.as_mut().graceful_shutdown();
                    }
                    _ = tokio::time::sleep_until(clock.at(at)) => match watch.due(head, idle) {
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
            count.set(count.get() - 1);
        });
    }
}

/// Answers the platform's question whether clients may be sent here.
pub async fn readiness(listener: TcpListener, shared: Shared) {
    loop {
        let stream = crate::listen::accept(&listener).await;
        let shared = shared.clone();
        crate::tasks::spawn_local(async move {
            let service = hyper::service::service_fn(|request: Request<Incoming>| {
                let answer = match request.uri().path() {
                    "/api/readiness" if shared.borrow().floor.ready() => plain(StatusCode::OK, "{}"),
                    "/api/readiness" => plain(StatusCode::SERVICE_UNAVAILABLE, "{}"),
                    "/api/status" => json(shared.borrow().floor.status().encode()),
                    _ => plain(StatusCode::NOT_FOUND, "{}"),
                };
                async move { Ok::<_, std::convert::Infallible>(answer) }
            });
            let _ = hyper::server::conn::http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(Duration::from_secs(15))
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
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

/// An answer after which the connection ends, since its request was not read whole.
fn closing(status: StatusCode, text: &'static str) -> Response<Body> {
    let mut answer = plain(status, text);
    answer.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
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
    id: TicketId,
}

impl Drop for Here {
    fn drop(&mut self) {
        self.shared.borrow_mut().left(&self.shared, self.id);
    }
}

async fn answer(shared: Shared, request: Request<Incoming>) -> Response<Body> {
    let mut answer = respond(&shared, request).await;
    if shared.borrow().floor.leaving() {
        answer.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    answer
}

async fn respond(shared: &Shared, request: Request<Incoming>) -> Response<Body> {
    let (came, bill) = {
        let foyer = shared.borrow();
        (foyer.clock.now(), foyer.floor.bill().cloned())
    };
    let (mut head, mut body) = request.into_parts();
    let told = head.headers.get(REMAINING_TIME).and_then(|value| value.to_str().ok());
    let told = told.and_then(|text| text.trim().parse::<f64>().ok()).filter(|left| left.is_finite());
    let told = told.map(|ms| (ms.clamp(0.0, 1e9) * 1e3) as Micros);
    let Some(bill) = bill else { return turned_back(Some(cue::come_back(told.unwrap_or(SECOND)))) };
    let host = head.headers.get(header::HOST).and_then(|host| host.to_str().ok());
    let host = host.or_else(|| head.uri.host()).unwrap_or("");
    let Some(route) = bill.route(host, head.uri.path()) else {
        return plain(StatusCode::NOT_FOUND, "{\"Error\":\"no route\"}");
    };
    let left = told.unwrap_or(route.timeout).min(route.timeout);
    let until = came + left;
    if body.size_hint().lower() > bill.limits.body_bytes {
        return closing(StatusCode::PAYLOAD_TOO_LARGE, "{\"Error\":\"the body is over MaxBodyBytes\"}");
    }
    let mut taken = BytesMut::new();
    let mut streams = false;
    let wait = Duration::from_micros(left.max(0) as u64);
    let read = async {
        while let Some(frame) = body.frame().await {
            if let Ok(data) = frame?.into_data() {
                taken.extend_from_slice(&data);
            }
            if taken.len() > KEPT {
                streams = true;
                break;
            }
        }
        Ok::<_, hyper::Error>(())
    };
    match tokio::time::timeout(wait, read).await {
        Ok(Ok(())) => {}
        Ok(Err(_)) => return closing(StatusCode::BAD_REQUEST, "{\"Error\":\"the body broke off\"}"),
        Err(_) => {
            return closing(StatusCode::REQUEST_TIMEOUT, "{\"Error\":\"the body did not come in time\"}");
        }
    }
    if taken.len() as u64 > bill.limits.body_bytes {
        return closing(StatusCode::PAYLOAD_TOO_LARGE, "{\"Error\":\"the body is over MaxBodyBytes\"}");
    }
    strip(&mut head.headers);
    head.headers.remove(header::EXPECT);
    let asked = Asked {
        method: head.method,
        uri: head.uri,
        headers: head.headers,
        body: taken.freeze(),
        rest: RefCell::new(streams.then_some(body)),
        streams,
        repeats: route.kind.may_repeat(),
    };
    let Some(service) = pick(route) else { return turned_back(Some(cue::come_back(left))) };
    let (id, told) = shared.borrow_mut().came(shared, service, route, asked, until);
    let _here = Here { shared: shared.clone(), id };
    match told.await {
        Ok(Reply::Answer(response)) => response,
        Ok(Reply::TurnedBack(wait)) => turned_back(wait),
        Ok(Reply::Forfeited) | Err(_) => plain(StatusCode::BAD_GATEWAY, "{\"Error\":\"no answer\"}"),
    }
}

/// One of the route's services, by weight.
fn pick(route: &bill::Route) -> Option<&str> {
    if let [only] = route.targets.as_slice() {
        return Some(&only.service);
    }
    let all: f64 = route.targets.iter().map(|target| target.weight).sum();
    let mut drawn = (crate::house::chance() >> 11) as f64 / (1u64 << 53) as f64 * all;
    for target in &route.targets {
        if drawn < target.weight {
            return Some(&target.service);
        }
        drawn -= target.weight;
    }
    route.targets.iter().rev().find(|target| target.weight > 0.0).map(|target| &*target.service)
}
