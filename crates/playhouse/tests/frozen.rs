//! A leading control node is frozen by SIGSTOP under configuration changes, heartbeats and drains, and continued with
//! calls waiting in its sockets: real processes on loopback. Conditions are polled until they hold, or until a deadline
//! that only a fault reaches.

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

/// No call takes this long unless something is wrong.
const LONG: Duration = Duration::from_secs(20);
/// Callers leave after a second; the tests allow more, as other work may keep the machine busy.
const ANSWER_LIMIT: Duration = Duration::from_secs(3);

/// A process that is frozen until this is dropped.
struct Frozen(u32);

impl Frozen {
    fn of(pid: u32) -> Frozen {
        signal("-STOP", pid);
        Frozen(pid)
    }
}

impl Drop for Frozen {
    fn drop(&mut self) {
        signal("-CONT", self.0);
    }
}

fn signal(name: &str, pid: u32) {
    let status = Command::new("kill").args([name, &pid.to_string()]).status().expect("the system's kill");
    assert!(status.success(), "kill {name} {pid}: {status}");
}

async fn wait_until(stage: &TestCluster, what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let began = Instant::now();
    while !condition().await {
        assert!(began.elapsed() < LONG, "{what}: not after {LONG:?}\n{}", stage.logs(20));
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

async fn start_instance(stage: &mut TestCluster, number: usize, record: &RequestLog) -> Instance {
    let mut plan = InstanceConfig::new(&format!("i-{number}"), "playbill", "v1");
    plan.zone = ZONES[number % ZONES.len()].to_owned();
    let address = SocketAddrV4::new(stage.instance_address().expect("an address"), 8080);
    Instance::start(plan, address, stage.control_addresses(), record.clone()).await.expect("an instance")
}

#[test]
fn a_frozen_leader_is_replaced_and_confirms_nothing_when_it_continues() {
    frozen_for(Duration::ZERO);
}

/// Longer than any time-out after which a node is declared dead.
#[test]
fn a_leader_frozen_for_twenty_seconds_confirms_nothing_when_it_continues() {
    frozen_for(Duration::from_secs(20));
}

/// Freezes a leader for at least `duration`.
fn frozen_for(duration: Duration) {
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
        let mut instances = Vec::new();
        for number in 0..6 {
            instances.push(start_instance(&mut stage, number, &record).await);
        }
        wait_until(&stage, "beats are acknowledged", async || {
            instances.iter().all(|instance| instance.acknowledged() >= 2)
        })
        .await;
        let leader = wait_for("a leader", || operator.leader()).await.expect("a leader");
        let node = stage.node_at(*leader.ip()).expect("a node of the stage");
        let frozen = Frozen::of(stage.pid(node).expect("it runs"));
        let since = Instant::now();
        // Changes, heartbeats and drains go on without it.
        let answer =
            operator.modify(0, 1, &configuration_change(2, &[], &["help"])).await.expect("a clear answer");
        assert_eq!(answer.status, StatusCode::OK, "{}", stage.logs(20));
        let leaving = instances.remove(0);
        assert!(leaving.drain(LONG).await.is_some(), "the drain is acknowledged\n{}", stage.logs(20));
        let before: Vec<u64> = instances.iter().map(Instance::acknowledged).collect();
        let all_continue =
            || instances.iter().zip(&before).all(|(instance, before)| instance.acknowledged() >= before + 3);
        wait_until(&stage, "beats go on", async || all_continue()).await;
        let mut version = 2;
        while since.elapsed() < duration {
            let before: Vec<u64> = instances.iter().map(Instance::acknowledged).collect();
            let answer = operator.modify(0, version, &configuration_change(version + 1, &[], &[])).await;
            let answer = answer.expect("a clear answer");
            assert_eq!(answer.status, StatusCode::OK, "{version}: {}\n{}", answer.text(), stage.logs(20));
            version += 1;
            let all_continue =
                || instances.iter().zip(&before).all(|(instance, before)| instance.acknowledged() > *before);
            wait_until(&stage, "beats go on", async || all_continue()).await;
        }
        // These wait in its sockets: reads, a change that the other nodes would refuse, and one that they would accept.
        let modify = |base: u32, version: u32| {
            HttpRequest::new(Method::POST, "/api/Configuration.Modify")
                .with_header("Base-Version", format!("{base:08x}"))
                .json(configuration_change(version, &[], &[]))
        };
        let read = HttpRequest::new(Method::GET, "/api/Configuration.Retrieve");
        let requests = [read.clone(), modify(1, 999), modify(version, version + 1), read];
        let mut waiting = tokio::task::JoinSet::new();
        for request in requests.clone() {
            waiting.spawn(async move { (call(leader, &request, LONG).await, Instant::now()) });
        }
        // They get connected, as the kernel accepts connections for the frozen process.
        for _ in 0..10 {
            tokio::task::yield_now().await;
        }
        assert!(waiting.try_join_next().is_none(), "a frozen process answers nothing");
        let since = Instant::now();
        drop(frozen);
        while let Some(done) = waiting.join_next().await {
            let (answer, at) = done.expect("no panic");
            let answer = answer.unwrap_or_else(|error| panic!("{error}\n{}", stage.logs(20)));
            let took = at - since;
            assert!(took < ANSWER_LIMIT, "{took:?}: {} {}", answer.status, answer.text());
            let redirected_or_refused =
                [StatusCode::TEMPORARY_REDIRECT, StatusCode::SERVICE_UNAVAILABLE].contains(&answer.status);
            assert!(redirected_or_refused, "{} {}\n{}", answer.status, answer.text(), stage.logs(20));
        }
        // What was acknowledged is in force, and the next change is accepted.
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
