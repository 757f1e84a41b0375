//! Tests of the simulated clients, instances and operators, whose promises the end-to-end tests rely on.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use hyper::Method;
use playhouse::demo::client::{HttpRequest, HttpResponse, call};
use playhouse::demo::instance::{BodyDigest, Instance, InstanceConfig, RequestLog};
use playhouse::demo::operator::{
    Route, configuration_change, full_configuration, parse_items, parse_location,
};

const TIMEOUT: Duration = Duration::from_secs(10);

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(test);
}

async fn start(config: InstanceConfig, request_log: &RequestLog) -> Instance {
    let any = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
    Instance::start(config, any, Vec::new(), request_log.clone()).await.expect("an instance")
}

async fn send(instance: &Instance, attempt: &str, target: &str, remaining_ms: u64) -> HttpResponse {
    let request = HttpRequest::new(Method::POST, "/book/7?seat=2").with_header("Attempt-Id", attempt);
    let mut request = request
        .with_header("Target-Instance", target)
        .with_header("Remaining-Time", remaining_ms.to_string());
    request.body = vec![7; 100].into();
    call(instance.address(), &request, TIMEOUT).await.expect("an answer")
}

#[test]
fn an_instance_sends_not_executed_only_for_requests_that_did_not_run() {
    run(async {
        let request_log = RequestLog::default();
        let config = InstanceConfig {
            slots: 1,
            queue_limit: 1,
            service_time: Duration::from_millis(300),
            ..InstanceConfig::new("i-1", "s", "v1")
        };
        let instance = start(config, &request_log).await;
        let (first, second, third) = tokio::join!(
            send(&instance, "a1", "i-1", 5_000),
            send(&instance, "a2", "i-1", 5_000),
            send(&instance, "a3", "i-1", 5_000)
        );
        let mut statuses: Vec<u16> = [&first, &second, &third].map(|answer| answer.status.as_u16()).to_vec();
        statuses.sort_unstable();
        assert_eq!(statuses, [200, 200, 503], "one works, one waits, one is turned away");
        for (attempt, answer) in [("a1", &first), ("a2", &second), ("a3", &third)] {
            let received = request_log.by_attempt(attempt);
            let ran = answer.status.as_u16() == 200;
            assert_eq!(received.iter().map(|received| received.ran).collect::<Vec<_>>(), [ran]);
            assert_eq!(answer.header("Not-Executed").is_empty(), ran);
            assert_eq!(answer.header("Server-Seal").is_empty(), !ran);
            assert_eq!(answer.header("Attempt-Id"), attempt);
            assert_eq!(
                (received[0].uri.as_str(), received[0].body),
                ("/book/7?seat=2", BodyDigest::of(&[7; 100]))
            );
        }
        let other = send(&instance, "a4", "i-2", 5_000).await;
        assert_eq!((other.status.as_u16(), other.header("Not-Executed")), (421, "1"));
        let late = send(&instance, "a5", "i-1", 50).await;
        assert_eq!(
            (late.status.as_u16(), request_log.by_attempt("a5")[0].ran),
            (504, true),
            "its own 504 counts as run"
        );
    });
}

#[test]
fn a_bad_version_fails_a_constant_share_of_the_requests() {
    run(async {
        let request_log = RequestLog::default();
        let config = InstanceConfig {
            failure_ratio: 0.25,
            service_time: Duration::ZERO,
            ..InstanceConfig::new("i-1", "s", "v2")
        };
        let instance = start(config, &request_log).await;
        let mut failed = 0;
        for number in 0..40 {
            let answer = send(&instance, &format!("b{number}"), "i-1", 5_000).await;
            failed += usize::from(answer.status.as_u16() == 500);
        }
        assert_eq!(failed, 10);
    });
}

#[test]
fn configurations_compare_equal_whatever_the_order_of_their_items() {
    let (a, b) = (Route::new("a", "h", "/a/", "safe", "s"), Route::new("b", "h", "/b/", "upload", "s"));
    let instance = full_configuration(0x1f, &[a.clone(), b.clone()], &["s"]);
    let other = full_configuration(0x1f, &[b, a.clone()], &["s"]);
    assert_ne!(instance, other);
    assert_eq!(
        parse_items(instance.as_bytes()).expect("a configuration"),
        parse_items(other.as_bytes()).expect("the same")
    );
    assert_ne!(
        parse_items(instance.as_bytes()),
        parse_items(full_configuration(0x1f, std::slice::from_ref(&a), &["s"]).as_bytes())
    );
    assert_eq!(
        parse_items(full_configuration(1, &[a.clone(), a.clone()], &["s"]).as_bytes()),
        None,
        "a name twice"
    );
    assert!(
        playhouse::demo::operator::parse_json(configuration_change(2, &[a], &["b"]).as_bytes()).is_some()
    );
    let at = parse_location("http://127.3.0.4:8080/api/x?y").expect("an address");
    assert_eq!(at, (SocketAddrV4::new(Ipv4Addr::new(127, 3, 0, 4), 8080), "/api/x?y".to_owned()));
    assert_eq!(parse_location("https://127.3.0.4/"), None);
}
