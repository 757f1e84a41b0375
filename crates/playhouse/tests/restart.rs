//! Restarts with a large state, on real processes over loopback: how long until a control node has applied all commands.

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

/// The configuration version that a control node reports, whether it leads or not; `None` while it does not answer.
async fn reported_version(at: SocketAddrV4) -> Option<String> {
    let request = HttpRequest::new(Method::GET, "/api/Status");
    let answer = call(at, &request, Duration::from_secs(1)).await.ok()?;
    let text = answer.text();
    let (_, rest) = text.split_once("\"ConfigVersion\":\"")?;
    Some(rest.get(..8)?.to_owned())
}

/// The environment variable `RESTART_CHANGES` sets a larger number of changes than the default of 12.
#[test]
fn a_restart_after_many_changes_of_a_large_state_is_short() {
    let changes = std::env::var("RESTART_CHANGES").map_or(12, |count| count.parse().expect("a number"));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(restart_after(changes));
}

async fn restart_after(changes: u32) {
    let program = env!("CARGO_BIN_EXE_playhouse").into();
    let plan = ClusterConfig { program, control_nodes: 3, gateways: 1, folder: None, log: "info".to_owned() };
    let mut stage = TestCluster::create(plan).expect("a test cluster");
    let control_nodes = stage.nodes(Role::ControlNode);
    for node in &control_nodes {
        stage.start(*node).expect("it starts");
    }
    let operator = Operator::new(stage.control_addresses());
    let routes: Vec<Route> = (0..9_000).map(|number| route(number, "safe")).collect();
    let text = full_configuration(1, &routes, &[SERVICE]);
    assert!(text.len() > 2_000_000, "{} bytes", text.len());
    let began = Instant::now();
    let answer = operator.replace(0, 0, &text).await.expect("an answer");
    assert_eq!(answer.status, StatusCode::OK, "{}", answer.text());
    for base in 1..=changes {
        let kind = if base % 2 == 0 { "safe" } else { "unsafe" };
        let text = configuration_change(base + 1, &[route(base as usize % 9_000, kind)], &[]);
        let answer = operator.modify(0, base, &text).await.expect("an answer");
        assert_eq!(answer.status, StatusCode::OK, "{base}: {}", answer.text());
    }
    let ordered = began.elapsed();
    let newest = format!("{:08x}", changes + 1);
    let leader = wait_for("a leader", || operator.leader()).await.expect("a leader");
    let follower = *control_nodes.iter().find(|node| stage.control(**node) != leader).expect("a follower");
    let wait_for_newest = async |at: SocketAddrV4| {
        let newest = newest.clone();
        let read = || async { (reported_version(at).await? == newest).then_some(()) };
        wait_for("the newest version", read).await.expect("the newest version")
    };
    stage.kill(follower).expect("it is killed");
    let began = Instant::now();
    stage.start(follower).expect("it starts again");
    wait_for_newest(stage.control(follower)).await;
    let one_restarted = began.elapsed();
    for node in &control_nodes {
        stage.kill(*node).expect("it is killed");
    }
    let began = Instant::now();
    for node in &control_nodes {
        stage.start(*node).expect("it starts again");
    }
    for node in &control_nodes {
        wait_for_newest(stage.control(*node)).await;
    }
    let all_restarted = began.elapsed();
    let answer = operator.retrieve(0).await.expect("an answer");
    assert!(answer.text().contains(&newest), "{}", stage.logs(20));
    let read_confirmed = began.elapsed();
    println!(
        "{changes} changes of {} bytes in {ordered:?}: one restarted has all after {one_restarted:?}, all three after {all_restarted:?}, \
         a confirmed read after {read_confirmed:?}",
        text.len()
    );
    assert!(
        one_restarted < Duration::from_secs(10) && read_confirmed < Duration::from_secs(15),
        "{one_restarted:?} {read_confirmed:?}"
    );
}
