//! Metrics of a process in the text format of Prometheus, served on a separate port. Values are read where they are
//! stored when a scrape arrives, so that collecting them costs nothing in between.

use std::cell::RefCell;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::atomic::AtomicU64;
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
use prometheus_client::metrics::info::Info;
use prometheus_client::registry::Registry;
use transport::TransportStats;

use crate::build_info;
use crate::node::NodeCore;

const PATH: &str = "/metrics";
const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
/// A scraper that sends no request within this time is disconnected.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
const BACKLOG: i32 = 8;

/// The metrics of one process, collected for one scrape.
pub struct Metrics(Registry);

impl Metrics {
    /// The metrics that gateways and control nodes have in common.
    pub fn for_node(node: &NodeCore, stats: TransportStats) -> Metrics {
        let mut metrics = Metrics(Registry::with_prefix("garnetdoor"));
        metrics.0.register("build", "The program", Info::new(build_info::labels()));
        let replication = node.replicator.stats();
        metrics.gauge("news_held_index", "Last ordered command held here", replication.held_index.0);
        metrics.gauge("news_known_index", "Newest ordered command heard of", replication.known_index.0);
        metrics.counter("news_asks", "Asks for missing commands", replication.pulls);
        metrics.counter(
            "news_asks_unanswered",
            "Asks without an answer in time",
            replication.pulls_unanswered,
        );
        metrics.gauge(
            "news_longest_gap_micros",
            "Longest time behind",
            replication.longest_gap.max(0) as u64,
        );
        let watches = node.replicator.watch_stats();
        if let Some(age) = node.state_age() {
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
        metrics.gauge("watchers", "Gateways that watch this control machine", node.watcher_count() as u64);
        metrics.gauge("watchers_held_dead", "Of these, held dead here", node.dead_watcher_count() as u64);
        metrics.counter("commands_not_taken", "Commands that changed nothing", node.ineffective_commands());
        metrics.counter("words_refused", "Messages of forms not read here", node.rejected_messages());
        metrics.gauge(
            "control_machines_up",
            "Others, as seen here",
            node.live_peers(Role::ControlNode).len() as u64,
        );
        metrics.gauge("gateways_up", "Others, as seen here", node.live_peers(Role::Gateway).len() as u64);
        metrics.counter("members_declared_dead", "Members held dead, in turn", node.members_declared_dead());
        metrics.counter("datagrams_sent", "Datagrams given to the system", stats.datagrams_sent);
        metrics.counter("datagrams_refused", "Datagrams not taken by the system", stats.datagrams_refused);
        metrics.counter("datagrams_received", "Datagrams received", stats.datagrams_received);
        metrics.counter("datagrams_dropped", "Datagrams dropped for want of room", stats.datagrams_dropped);
        metrics.gauge("peers_by_stream", "Nodes not left to datagrams now", node.stream_peer_count() as u64);
        metrics.gauge("link_strained", "Own datagrams seem to be lost", u64::from(node.link_degraded()));
        metrics.counter("stream_messages_sent", "Messages queued for streams", stats.stream_messages_sent);
        metrics
    }

    /// Adds a gauge; values above `i64::MAX` are capped.
    pub fn gauge(&mut self, name: &str, help: &str, value: u64) {
        let gauge: Gauge = Gauge::default();
        gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
        self.0.register(name, help, gauge);
    }

    /// Adds a counter, exported with the suffix `_total`.
    pub fn counter(&mut self, name: &str, help: &str, value: u64) {
        let counter: Counter = Counter::default();
        counter.inc_by(value);
        self.0.register(name, help, counter);
    }

    /// Adds a counter with one series for each value of a label.
    pub fn labeled_counter<'a>(
        &mut self, name: &str, help: &str, label: &str, values: impl Iterator<Item = (&'a str, u64)>,
    ) {
        let family: Family<Vec<(String, String)>, Counter> = Family::default();
        for (value, count) in values {
            family.get_or_create(&vec![(label.to_owned(), value.to_owned())]).inc_by(count);
        }
        self.0.register(name, help, family);
    }

    /// Adds a gauge with one series for each value of a label.
    pub fn labeled_gauge<'a>(
        &mut self, name: &str, help: &str, label: &str, values: impl Iterator<Item = (&'a str, f64)>,
    ) {
        let family: Family<Vec<(String, String)>, Gauge<f64, AtomicU64>> = Family::default();
        for (value, amount) in values {
            family.get_or_create(&vec![(label.to_owned(), value.to_owned())]).set(amount);
        }
        self.0.register(name, help, family);
    }

    /// The metrics in OpenMetrics text format.
    pub fn text(&self) -> String {
        let mut text = String::new();
        // Plain numbers written into memory cannot fail.
        let _ = encode(&mut text, &self.0);
        text
    }
}

/// A process that provides metrics.
pub trait MetricsSource {
    fn metrics(&self) -> Metrics;
}

/// Serves metrics at an address; if it cannot be bound, the process runs on without them.
pub fn spawn<T: MetricsSource + 'static>(at: SocketAddrV4, source: Rc<RefCell<T>>) {
    match crate::listen::bind(at, BACKLOG) {
        Ok(listener) => {
            let answer =
                move |request: Request<Incoming>| std::future::ready(answer(request.uri().path(), &*source));
            drop(crate::tasks::spawn_local(crate::listen::serve(listener, HEAD_TIMEOUT, answer)));
        }
        Err(error) => log::warn!("no metrics at {at}: {error}"),
    }
}

fn answer<T: MetricsSource>(path: &str, source: &RefCell<T>) -> Response<Full<Bytes>> {
    if path != PATH {
        let mut answer = Response::new(Full::default());
        *answer.status_mut() = StatusCode::NOT_FOUND;
        return answer;
    }
    let text = source.borrow().metrics().text();
    let mut answer = Response::new(Full::new(Bytes::from(text)));
    answer.headers_mut().insert(header::CONTENT_TYPE, header::HeaderValue::from_static(CONTENT_TYPE));
    answer
}
