//! The stand-ins by themselves: what they promise is what the whole path is judged by.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use hyper::Method;
use playhouse::demo::client::{HttpRequest, HttpResponse, call};
use playhouse::demo::instance::{BodyDigest, Instance, InstanceConfig, RequestLog};
use playhouse::demo::operator::{
    Route, configuration_change, full_configuration, parse_items, parse_location,
};

const WAIT: Duration = Duration::from_secs(10);

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(test);
}

async fn start(plan: InstanceConfig, record: &RequestLog) -> Instance {
    let any = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
    Instance::start(plan, any, Vec::new(), record.clone()).await.expect("an instance")
}

async fn ask(one: &Instance, attempt: &str, target: &str, left: u64) -> HttpResponse {
    let ask = HttpRequest::new(Method::POST, "/book/7?seat=2").with_header("Attempt-Id", attempt);
    let mut ask = ask.with_header("Target-Instance", target).with_header("Remaining-Time", left.to_string());
    ask.body = vec![7; 100].into();
    call(one.address(), &ask, WAIT).await.expect("an answer")
}

#[test]
fn an_instance_promises_not_run_only_where_that_is_so() {
    run(async {
        let record = RequestLog::default();
        let plan = InstanceConfig {
            slots: 1,
            queue_limit: 1,
            service_time: Duration::from_millis(300),
            ..InstanceConfig::new("i-1", "s", "v1")
        };
        let one = start(plan, &record).await;
        let (first, second, third) = tokio::join!(
            ask(&one, "a1", "i-1", 5_000),
            ask(&one, "a2", "i-1", 5_000),
            ask(&one, "a3", "i-1", 5_000)
        );
        let mut statuses: Vec<u16> = [&first, &second, &third].map(|answer| answer.status.as_u16()).to_vec();
        statuses.sort_unstable();
        assert_eq!(statuses, [200, 200, 503], "one works, one waits, one is turned away");
        for (attempt, answer) in [("a1", &first), ("a2", &second), ("a3", &third)] {
            let seen = record.by_attempt(attempt);
            let ran = answer.status.as_u16() == 200;
            assert_eq!(seen.iter().map(|seen| seen.ran).collect::<Vec<_>>(), [ran]);
            assert_eq!(answer.header("Not-Executed").is_empty(), ran);
            assert_eq!(answer.header("Server-Seal").is_empty(), !ran);
            assert_eq!(answer.header("Attempt-Id"), attempt);
            assert_eq!((seen[0].uri.as_str(), seen[0].body), ("/book/7?seat=2", BodyDigest::of(&[7; 100])));
        }
        let other = ask(&one, "a4", "i-2", 5_000).await;
        assert_eq!((other.status.as_u16(), other.header("Not-Executed")), (421, "1"));
        let late = ask(&one, "a5", "i-1", 50).await;
        assert_eq!(
            (late.status.as_u16(), record.by_attempt("a5")[0].ran),
            (504, true),
            "its own 504 counts as run"
        );
    });
}

#[test]
fn a_bad_version_fails_the_same_share_each_time() {
    run(async {
        let record = RequestLog::default();
        let plan = InstanceConfig {
            failure_ratio: 0.25,
            service_time: Duration::ZERO,
            ..InstanceConfig::new("i-1", "s", "v2")
        };
        let one = start(plan, &record).await;
        let mut failed = 0;
        for number in 0..40 {
            let answer = ask(&one, &format!("b{number}"), "i-1", 5_000).await;
            failed += usize::from(answer.status.as_u16() == 500);
        }
        assert_eq!(failed, 10);
    });
}

#[test]
fn configurations_are_compared_whatever_their_order() {
    let (a, b) = (Route::new("a", "h", "/a/", "safe", "s"), Route::new("b", "h", "/b/", "upload", "s"));
    let one = full_configuration(0x1f, &[a.clone(), b.clone()], &["s"]);
    let other = full_configuration(0x1f, &[b, a.clone()], &["s"]);
    assert_ne!(one, other);
    assert_eq!(
        parse_items(one.as_bytes()).expect("a configuration"),
        parse_items(other.as_bytes()).expect("the same")
    );
    assert_ne!(
        parse_items(one.as_bytes()),
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
