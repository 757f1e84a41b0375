//! A prompter that leads is stopped (SIGSTOP) under orders, beats and drains, and goes on with calls in its sockets: real
//! processes on loopback. All is asked for until it is so, or until a deadline that only a fault reaches.

use std::net::SocketAddrV4;
use std::process::Command;
use std::time::{Duration, Instant};

use hyper::{Method, StatusCode};
use membership::Role;
use playhouse::demo::client::{HttpRequest, call};
use playhouse::demo::cluster::{self, TestCluster, ZONES};
use playhouse::demo::instance::{Instance, InstanceConfig, RequestLog};
use playhouse::demo::operator::{Operator, Route, configuration_change, full_configuration, parse_items};
use playhouse::demo::wait_for;

/// No call waits so long unless something is wrong.
const LONG: Duration = Duration::from_secs(20);
/// Callers leave after a second; here other work may keep a machine busy.
const ANSWERED: Duration = Duration::from_secs(3);

/// A process that stands still, until this is dropped.
struct Stopped(u32);

impl Stopped {
    fn of(pid: u32) -> Stopped {
        signal("-STOP", pid);
        Stopped(pid)
    }
}

impl Drop for Stopped {
    fn drop(&mut self) {
        signal("-CONT", self.0);
    }
}

fn signal(what: &str, pid: u32) {
    let status = Command::new("kill").args([what, &pid.to_string()]).status().expect("the system's kill");
    assert!(status.success(), "kill {what} {pid}: {status}");
}

async fn wait(stage: &TestCluster, what: &str, mut so: impl AsyncFnMut() -> bool) {
    let began = Instant::now();
    while !so().await {
        assert!(began.elapsed() < LONG, "{what}: not after {LONG:?}\n{}", stage.logs(20));
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

async fn enter(stage: &mut TestCluster, number: usize, record: &RequestLog) -> Instance {
    let mut plan = InstanceConfig::new(&format!("i-{number}"), "playbill", "v1");
    plan.zone = ZONES[number % ZONES.len()].to_owned();
    let address = SocketAddrV4::new(stage.instance_address().expect("an address"), 8080);
    Instance::start(plan, address, stage.control_addresses(), record.clone()).await.expect("an instance")
}

#[test]
fn a_leader_that_is_stopped_is_not_missed_and_promises_nothing_when_it_goes_on() {
    stopped_for(Duration::ZERO);
}

/// Longer than any span by which a machine is held dead.
#[test]
fn nor_after_twenty_seconds_of_orders_and_beats() {
    stopped_for(Duration::from_secs(20));
}

/// A leader stands still for so long at least.
fn stopped_for(span: Duration) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(async {
        let plan = cluster::ClusterConfig {
            program: env!("CARGO_BIN_EXE_playhouse").into(),
            control_nodes: 3,
            gateways: 1,
            folder: None,
            log: "info".to_owned(),
        };
        let mut stage = TestCluster::create(plan).expect("a stage");
        stage.start_all().expect("nodes that start");
        let mut operator = Operator::new(stage.control_addresses());
        operator.timeout = LONG;
        let routes = [
            Route::new("view", "frozen.example", "/view/", "safe", "playbill"),
            Route::new("help", "frozen.example", "/help/", "safe", "playbill"),
        ];
        let first = full_configuration(1, &routes, &["playbill"]);
        let taken = operator.replace(0, 0, &first).await.expect("a clear answer");
        assert_eq!(taken.status, StatusCode::OK, "{}", stage.logs(20));
        let record = RequestLog::default();
        let mut cast = Vec::new();
        for number in 0..6 {
            cast.push(enter(&mut stage, number, &record).await);
        }
        wait(&stage, "beats are acknowledged", async || cast.iter().all(|one| one.acknowledged() >= 2)).await;
        let leader = wait_for("a leader", || operator.leader()).await.expect("a leader");
        let node = stage.node_at(*leader.ip()).expect("a node of the stage");
        let stopped = Stopped::of(stage.pid(node).expect("it runs"));
        let since = Instant::now();
        // Orders, beats and drains go on without it.
        let answer =
            operator.modify(0, 1, &configuration_change(2, &[], &["help"])).await.expect("a clear answer");
        assert_eq!(answer.status, StatusCode::OK, "{}", stage.logs(20));
        let leaving = cast.remove(0);
        assert!(leaving.drain(LONG).await.is_some(), "the drain is acknowledged\n{}", stage.logs(20));
        let before: Vec<u64> = cast.iter().map(Instance::acknowledged).collect();
        let on = || cast.iter().zip(&before).all(|(one, before)| one.acknowledged() >= before + 3);
        wait(&stage, "beats go on", async || on()).await;
        let mut version = 2;
        while since.elapsed() < span {
            let before: Vec<u64> = cast.iter().map(Instance::acknowledged).collect();
            let answer = operator.modify(0, version, &configuration_change(version + 1, &[], &[])).await;
            let answer = answer.expect("a clear answer");
            assert_eq!(answer.status, StatusCode::OK, "{version}: {}\n{}", answer.text(), stage.logs(20));
            version += 1;
            let on = || cast.iter().zip(&before).all(|(one, before)| one.acknowledged() > *before);
            wait(&stage, "beats go on", async || on()).await;
        }
        // These lie in its sockets: reads, an order that the core would refuse, one that it would take.
        let modify = |base: u32, version: u32| {
            HttpRequest::new(Method::POST, "/api/Configuration.Modify")
                .with_header("Base-Version", format!("{base:08x}"))
                .json(configuration_change(version, &[], &[]))
        };
        let read = HttpRequest::new(Method::GET, "/api/Configuration.Retrieve");
        let asks = [read.clone(), modify(1, 999), modify(version, version + 1), read];
        let mut lie = tokio::task::JoinSet::new();
        for ask in asks.clone() {
            lie.spawn(async move { (call(leader, &ask, LONG).await, Instant::now()) });
        }
        // They are connected, as a connection's opening is answered by the system.
        for _ in 0..10 {
            tokio::task::yield_now().await;
        }
        assert!(lie.try_join_next().is_none(), "one that stands still answers nothing");
        let since = Instant::now();
        drop(stopped);
        while let Some(done) = lie.join_next().await {
            let (answer, at) = done.expect("no panic");
            let answer = answer.unwrap_or_else(|error| panic!("{error}\n{}", stage.logs(20)));
            let took = at - since;
            assert!(took < ANSWERED, "{took:?}: {} {}", answer.status, answer.text());
            let sent_on =
                [StatusCode::TEMPORARY_REDIRECT, StatusCode::SERVICE_UNAVAILABLE].contains(&answer.status);
            assert!(sent_on, "{} {}\n{}", answer.status, answer.text(), stage.logs(20));
        }
        // What is in force is what was acknowledged, and the order that would be taken is.
        let answer = operator.modify(0, version, &configuration_change(version + 1, &[], &[])).await;
        let answer = answer.expect("a clear answer");
        assert_eq!(answer.status, StatusCode::OK, "{}", stage.logs(20));
        let now = operator.retrieve(0).await.expect("a clear answer");
        assert_eq!(
            parse_items(&now.body),
            parse_items(full_configuration(version + 1, &routes[..1], &["playbill"]).as_bytes())
        );
        assert_eq!(stage.nodes(Role::ControlNode).len(), 3);
    });
}
