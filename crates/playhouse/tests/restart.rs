//! A restart with a large state, on real processes over loopback: how long until the machine has all that was ordered.

use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use hyper::{Method, StatusCode};
use membership::Role;
use playhouse::demo::client::{HttpRequest, call};
use playhouse::demo::cluster::{ClusterConfig, TestCluster};
use playhouse::demo::operator::{Operator, Route, configuration_change, full_configuration};
use playhouse::demo::wait_for;

const HOST: &str = "restart.example";
const SERVICE: &str = "playbill";

fn route(number: usize, kind: &str) -> Route {
    Route::new(&format!("r{number:05}"), HOST, &format!("/p{number:05}/"), kind, SERVICE)
}

/// The newest version that a machine tells of, whoever leads; none while it doesn't answer.
async fn version(at: SocketAddrV4) -> Option<String> {
    let ask = HttpRequest::new(Method::GET, "/api/Status");
    let answer = call(at, &ask, Duration::from_secs(1)).await.ok()?;
    let text = answer.text();
    let (_, rest) = text.split_once("\"ConfigVersion\":\"")?;
    Some(rest.get(..8)?.to_owned())
}

/// `RESTART_CHANGES` plays more than the few that are always played.
#[test]
fn a_restart_after_many_changes_of_a_large_state_is_short() {
    let changes = std::env::var("RESTART_CHANGES").map_or(12, |count| count.parse().expect("a number"));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(played(changes));
}

async fn played(changes: u32) {
    let program = env!("CARGO_BIN_EXE_playhouse").into();
    let plan = ClusterConfig { program, control_nodes: 3, gateways: 1, folder: None, log: "info".to_owned() };
    let mut stage = TestCluster::create(plan).expect("a stage");
    let core = stage.nodes(Role::ControlNode);
    for node in &core {
        stage.start(*node).expect("it starts");
    }
    let operator = Operator::new(stage.control_addresses());
    let routes: Vec<Route> = (0..9_000).map(|number| route(number, "safe")).collect();
    let text = full_configuration(1, &routes, &[SERVICE]);
    assert!(text.len() > 2_000_000, "{} bytes", text.len());
    let began = Instant::now();
    let answer = operator.replace(0, 0, &text).await.expect("it is taken");
    assert_eq!(answer.status, StatusCode::OK, "{}", answer.text());
    for base in 1..=changes {
        let kind = if base % 2 == 0 { "safe" } else { "unsafe" };
        let text = configuration_change(base + 1, &[route(base as usize % 9_000, kind)], &[]);
        let answer = operator.modify(0, base, &text).await.expect("it is taken");
        assert_eq!(answer.status, StatusCode::OK, "{base}: {}", answer.text());
    }
    let ordered = began.elapsed();
    let newest = format!("{:08x}", changes + 1);
    let leader = wait_for("a leader", || operator.leader()).await.expect("one leads");
    let follower = *core.iter().find(|node| stage.control(**node) != leader).expect("one follows");
    let reads = async |at: SocketAddrV4| {
        let newest = newest.clone();
        let read = || async { (version(at).await? == newest).then_some(()) };
        wait_for("the newest version", read).await.expect("it has all")
    };
    stage.kill(follower).expect("it is killed");
    let began = Instant::now();
    stage.start(follower).expect("it starts again");
    reads(stage.control(follower)).await;
    let one = began.elapsed();
    for node in &core {
        stage.kill(*node).expect("it is killed");
    }
    let began = Instant::now();
    for node in &core {
        stage.start(*node).expect("it starts again");
    }
    for node in &core {
        reads(stage.control(*node)).await;
    }
    let all = began.elapsed();
    let answer = operator.retrieve(0).await.expect("it is read back");
    assert!(answer.text().contains(&newest), "{}", stage.logs(20));
    let proved = began.elapsed();
    println!(
        "{changes} changes of {} bytes in {ordered:?}: one restarted has all after {one:?}, all three after {all:?}, \
         a proved read after {proved:?}",
        text.len()
    );
    assert!(one < Duration::from_secs(10) && proved < Duration::from_secs(15), "{one:?} {proved:?}");
}
