//! A gateway tells by which limit, and by which version's, it refused a request or closed a connection: in its log and by
//! its metrics. Guards against a refusal of which nobody can say whether an older limit caused it
//! (`docs/incidents/limits-kept-by-open-connections.md`).

mod scripted;

use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::Method;
use playhouse::demo::client::{HttpRequest, call};
use scripted::*;
use tokio::sync::Semaphore;

const SMALL_HEADER_LIMIT: &str = "\"MaxHeaderBytes\":4096";
const LARGE_HEADER_LIMIT: &str = "\"MaxHeaderBytes\":16384";

fn services(gate: &Arc<Semaphore>) -> Vec<(&'static str, &'static str, usize, Script)> {
    let gate = gate.clone();
    let wait = script(move |h| vec![Body, Gate(gate.clone()), Write(ok_response(h, b"late"))]);
    vec![("view", "safe", 1, script(correct)), ("wait", "unsafe", 1, wait)]
}

async fn metrics(cluster: &Cluster) -> String {
    let address = cluster.stage.metrics(cluster.foyer);
    let answer = call(address, &HttpRequest::new(Method::GET, "/metrics"), LONG).await;
    answer.expect("metrics").text().to_owned()
}

/// Waits until the gateway has each of these metrics.
async fn wait_for_metrics(cluster: &Cluster, expected: &[&str]) {
    let began = Instant::now();
    loop {
        let text = metrics(cluster).await;
        let missing = expected.iter().find(|line| !text.lines().any(|found| found == **line));
        let Some(missing) = missing else { return };
        assert!(began.elapsed() < LONG, "{missing} in\n{text}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Waits until the nodes have logged this.
async fn wait_for_log(cluster: &Cluster, text: &str) {
    let began = Instant::now();
    while !cluster.stage.logs(50).contains(text) {
        assert!(began.elapsed() < LONG, "{text} in\n{}", cluster.stage.logs(50));
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// A head with a field of `bytes`.
fn head_of(attempt: &str, bytes: usize) -> Vec<u8> {
    let field = format!("X-Session: {}\r\n", "a".repeat(bytes));
    request_bytes("GET /view/1", attempt, 7_000, &field, b"")
}

async fn refused_with(cluster: &Cluster, request: &[u8], status: u16) {
    assert_eq!(cluster.once(request).await.map(|answer| answer.status()), Some(status));
}

#[test]
fn a_refused_head_tells_the_limit_its_version_and_the_version_in_force() {
    run(async {
        let gate = Arc::new(Semaphore::new(0));
        let limits = [(LARGE_HEADER_LIMIT, SMALL_HEADER_LIMIT)];
        let mut cluster = Cluster::open(services(&gate), &[], &limits).await;
        refused_with(&cluster, &head_of("first", 6_000), 431).await;
        wait_for_log(
            &cluster,
            "431: a head is over MaxHeaderBytes 4096, or has over 100 fields; limits of version 00000001, \
             in force 00000001",
        )
        .await;
        cluster.change(&[(SMALL_HEADER_LIMIT, LARGE_HEADER_LIMIT)]).await;
        // This version leaves the limits as they are.
        cluster.change(&[("\"MaxAttempts\":", "\"MaxAttempts\":1")]).await;
        refused_with(&cluster, &head_of("second", 17_000), 431).await;
        wait_for_log(
            &cluster,
            "431: a head is over MaxHeaderBytes 16384, or has over 100 fields; limits of version 00000002, \
             in force 00000003",
        )
        .await;
        wait_for_metrics(
            &cluster,
            &[
                "garnetdoor_configuration_version 3",
                "garnetdoor_client_limits_version 2",
                "garnetdoor_client_limit{setting=\"MaxHeaderBytes\"} 16384.0",
                "garnetdoor_client_limit{setting=\"IdleTimeoutS\"} 15.0",
                "garnetdoor_requests_over_limit_total{setting=\"MaxHeaderBytes\"} 2",
                "garnetdoor_client_connections_ended_total{cause=\"header-too-large\"} 2",
            ],
        )
        .await;
    });
}

#[test]
fn a_metric_counts_the_connections_that_still_wait_for_a_new_limit() {
    run(async {
        let gate = Arc::new(Semaphore::new(0));
        let mut cluster = Cluster::open(services(&gate), &[], &[]).await;
        let (mut resting, mut waiting) = (cluster.line().await, cluster.line().await);
        resting.send(&head_of("resting", 10)).await;
        assert_eq!(resting.answer().await.map(|answer| answer.status()), Some(200));
        waiting.send(&request_bytes("GET /wait/1", "waiting", 7_000, "", b"")).await;
        cluster.heard("waiting", |heard| heard.attempt == "waiting").await;
        wait_for_metrics(
            &cluster,
            &["garnetdoor_client_connections 2", "garnetdoor_client_connections_on_other_limits 0"],
        )
        .await;
        cluster.change(&[(LARGE_HEADER_LIMIT, SMALL_HEADER_LIMIT)]).await;
        wait_for_metrics(
            &cluster,
            &[
                "garnetdoor_client_limits_version 2",
                "garnetdoor_client_connections 2",
                "garnetdoor_client_connections_on_other_limits 1",
            ],
        )
        .await;
        gate.add_permits(1);
        assert_eq!(waiting.answer().await.map(|answer| answer.status()), Some(200));
        wait_for_metrics(&cluster, &["garnetdoor_client_connections_on_other_limits 0"]).await;
    });
}

#[test]
fn refused_bodies_and_time_outs_tell_their_limit() {
    run(async {
        let gate = Arc::new(Semaphore::new(0));
        let limits = [
            ("\"MaxBodyBytes\":8388608", "\"MaxBodyBytes\":1000"),
            ("\"HeaderTimeoutS\":3", "\"HeaderTimeoutS\":0.5"),
            ("\"IdleTimeoutS\":15", "\"IdleTimeoutS\":1"),
        ];
        let cluster = Cluster::open(services(&gate), &[], &limits).await;
        refused_with(&cluster, &post_bytes("view", "large", 7_000, &[7; 1_001]), 413).await;
        let unfinished = post_bytes("view", "unfinished", 300, &[7; 1_000]);
        refused_with(&cluster, &unfinished[..unfinished.len() - 1], 408).await;
        let mut half_head = cluster.line().await;
        half_head.send(b"GET /view/1 HTTP/1.1\r\n").await;
        assert!(half_head.ends().await);
        let mut idle = cluster.line().await;
        assert!(idle.ends().await);
        for line in [
            "413: a body is over MaxBodyBytes 1000; limits of version 00000001, in force 00000001",
            "408: a body took over the 300 ms that its client or TimeoutS allows; limits of version 00000001",
            "closed: a head took over HeaderTimeoutS 0.5; limits of version 00000001",
        ] {
            wait_for_log(&cluster, line).await;
        }
        wait_for_metrics(
            &cluster,
            &[
                "garnetdoor_requests_over_limit_total{setting=\"MaxBodyBytes\"} 1",
                "garnetdoor_requests_over_limit_total{setting=\"TimeoutS\"} 1",
                "garnetdoor_client_connections_ended_total{cause=\"header-timeout\"} 1",
                "garnetdoor_client_connections_ended_total{cause=\"idle-timeout\"} 1",
            ],
        )
        .await;
    });
}
