//! Metrics: what a process tells of itself, as the text that Prometheus reads, on a port of its own. The values are read
//! where they are kept at each request, so that nothing is spent on them in between.

use std::cell::RefCell;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode, header};
use membership::Role;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use transport::TransportStats;

use crate::node::NodeCore;

const PATH: &str = "/metrics";
const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
/// A scraper that sends no request within this is closed.
const HEAD_WITHIN: Duration = Duration::from_secs(5);
const BACKLOG: i32 = 8;

/// The metrics of one process, gathered for one answer.
pub struct Metrics(Registry);

impl Metrics {
    /// What gateways and control machines have in common.
    pub fn of(house: &NodeCore, post: TransportStats) -> Metrics {
        let mut metrics = Metrics(Registry::with_prefix("garnetdoor"));
        let news = house.replicator.stats();
        metrics.gauge("news_held_index", "Last ordered command held here", news.held_index.0);
        metrics.gauge("news_known_index", "Newest ordered command heard of", news.known_index.0);
        metrics.counter("news_asks", "Asks for missing commands", news.pulls);
        metrics.counter("news_asks_unanswered", "Asks without an answer in time", news.pulls_unanswered);
        metrics.gauge("news_longest_gap_micros", "Longest time behind", news.longest_gap.max(0) as u64);
        let watches = house.replicator.watch_stats();
        if let Some(age) = house.state_age() {
            metrics.gauge("news_age_micros", "Age of what is held, as proved", age as u64);
        }
        metrics.counter(
            "watches_left_silent",
            "Control machines left as they were silent",
            watches.dropped_silent,
        );
        metrics.counter(
            "watches_left_old",
            "Control machines left as their news was old",
            watches.dropped_stale,
        );
        metrics.gauge("watchers", "Gateways that watch this control machine", house.watcher_count() as u64);
        metrics.gauge("watchers_held_dead", "Of these, held dead here", house.dead_watcher_count() as u64);
        metrics.counter("commands_not_taken", "Commands that changed nothing", house.ineffective_commands());
        metrics.counter("words_refused", "Messages of forms not read here", house.rejected_messages());
        metrics.gauge(
            "control_machines_up",
            "Others, as seen here",
            house.live_peers(Role::ControlNode).len() as u64,
        );
        metrics.gauge("gateways_up", "Others, as seen here", house.live_peers(Role::Gateway).len() as u64);
        metrics.counter("members_declared_dead", "Members held dead, in turn", house.members_declared_dead());
        metrics.counter("datagrams_sent", "Datagrams given to the system", post.datagrams_sent);
        metrics.counter("datagrams_refused", "Datagrams not taken by the system", post.datagrams_refused);
        metrics.counter("datagrams_received", "Datagrams received", post.datagrams_received);
        metrics.counter("datagrams_dropped", "Datagrams dropped for want of room", post.datagrams_dropped);
        metrics.gauge("peers_by_stream", "Nodes not left to datagrams now", house.stream_peer_count() as u64);
        metrics.gauge("link_strained", "Own datagrams seem to be lost", u64::from(house.link_degraded()));
        metrics.counter("stream_messages_sent", "Messages queued for streams", post.stream_messages_sent);
        metrics
    }

    pub fn gauge(&mut self, name: &str, help: &str, value: u64) {
        let gauge: Gauge = Gauge::default();
        gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
        self.0.register(name, help, gauge);
    }

    pub fn counter(&mut self, name: &str, help: &str, value: u64) {
        let counter: Counter = Counter::default();
        counter.inc_by(value);
        self.0.register(name, help, counter);
    }

    /// A counter for each value of one label.
    pub fn counter_by<'a>(
        &mut self, name: &str, help: &str, label: &str, values: impl Iterator<Item = (&'a str, u64)>,
    ) {
        let family: Family<Vec<(String, String)>, Counter> = Family::default();
        for (value, count) in values {
            family.get_or_create(&vec![(label.to_owned(), value.to_owned())]).inc_by(count);
        }
        self.0.register(name, help, family);
    }

    pub fn text(&self) -> String {
        let mut text = String::new();
        // Into memory, of plain numbers: there is nothing that could fail.
        let _ = encode(&mut text, &self.0);
        text
    }
}

/// What can tell metrics of itself.
pub trait Measured {
    fn metrics(&self) -> Metrics;
}

/// Serves metrics at an address, if it can be had; a process without them goes on.
pub fn spawn<T: Measured + 'static>(at: SocketAddrV4, measured: Rc<RefCell<T>>) {
    match crate::listen::bind(at, BACKLOG) {
        Ok(listener) => {
            let answer = move |request: Request<Incoming>| {
                std::future::ready(answer(request.uri().path(), &*measured))
            };
            drop(crate::tasks::spawn_local(crate::listen::serve(listener, HEAD_WITHIN, answer)));
        }
        Err(error) => log::warn!("no metrics at {at}: {error}"),
    }
}

fn answer<T: Measured>(path: &str, measured: &RefCell<T>) -> Response<Full<Bytes>> {
    if path != PATH {
        let mut answer = Response::new(Full::default());
        *answer.status_mut() = StatusCode::NOT_FOUND;
        return answer;
    }
    let text = measured.borrow().metrics().text();
    let mut answer = Response::new(Full::new(Bytes::from(text)));
    answer.headers_mut().insert(header::CONTENT_TYPE, header::HeaderValue::from_static(CONTENT_TYPE));
    answer
}
