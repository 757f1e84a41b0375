//! A gateway process stands still (SIGSTOP) while time-outs of its client connections pass, and continues with requests in
//! its sockets. Guards against a gateway that closes a connection for its silence although a request has arrived on it
//! (`docs/incidents/requests-closed-after-a-standstill.md`).

mod scripted;

use std::process::Command;
use std::time::{Duration, Instant};

use scripted::*;

/// Short time-outs, so that they pass soon, and by how much the gateway stands still for longer.
const TIMEOUTS: [(&str, &str); 2] =
    [("\"HeaderTimeoutS\":3", "\"HeaderTimeoutS\":1.5"), ("\"IdleTimeoutS\":15", "\"IdleTimeoutS\":2")];
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);
const BEYOND: Duration = Duration::from_millis(600);
const CLIENTS: usize = 8;
/// How much of a head is sent before the gateway stands still.
const SENT_HEAD_BYTES: usize = 30;

fn signal(name: &str, pid: u32) {
    let status = Command::new("kill").args([name, &pid.to_string()]).status().expect("the system's kill");
    assert!(status.success(), "kill {name} {pid}: {status}");
}

/// Whether each thread of a process is stopped.
fn all_threads_stopped(pid: u32) -> bool {
    let threads = std::fs::read_dir(format!("/proc/{pid}/task")).expect("its threads");
    threads.flatten().all(|thread| {
        let state = std::fs::read_to_string(thread.path().join("stat")).unwrap_or_default();
        state.rsplit_once(')').is_some_and(|(_, rest)| rest.trim_start().starts_with('T'))
    })
}

/// Stops the gateway, and waits until it stands still.
async fn stop(cluster: &Cluster) -> u32 {
    let pid = cluster.stage.pid(cluster.foyer).expect("it runs");
    signal("-STOP", pid);
    let began = Instant::now();
    while !all_threads_stopped(pid) {
        assert!(began.elapsed() < LONG, "it goes on running");
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    pid
}

fn request(attempt: &str) -> Vec<u8> {
    request_bytes("GET /view/1", attempt, 7_000, "", b"")
}

/// Sends requests while the gateway stands still for longer than its time-outs, and returns what their clients get: the
/// status, or `None` where the connection is closed. Before it, `sent_before` bytes of each have arrived.
async fn statuses_after_standstill(sent_before: usize) -> Vec<Option<u16>> {
    let cluster = Cluster::open(vec![("view", "safe", 1, script(correct))], &[], &TIMEOUTS).await;
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let mut client = cluster.line().await;
        client.send(&request(&format!("before-{number}"))).await;
        assert_eq!(client.answer().await.map(|answer| answer.status()), Some(200));
        client.send(&request(&format!("after-{number}"))[..sent_before]).await;
        clients.push(client);
    }
    let pid = stop(&cluster).await;
    let stopped = Instant::now();
    for (number, client) in clients.iter_mut().enumerate() {
        client.send(&request(&format!("after-{number}"))[sent_before..]).await;
    }
    assert!(stopped.elapsed() < IDLE_TIMEOUT / 4, "the requests are sent in time");
    tokio::time::sleep_until((stopped + IDLE_TIMEOUT + BEYOND).into()).await;
    signal("-CONT", pid);
    let mut statuses = Vec::new();
    for mut client in clients {
        statuses.push(client.answer().await.map(|answer| answer.status()));
    }
    statuses
}

/// Seen from outside: after a standstill, clients that had sent a request on a resting connection, well inside
/// `IdleTimeoutS`, found it closed without an answer.
#[test]
fn a_request_that_arrived_during_a_standstill_is_answered() {
    run(async { assert_eq!(statuses_after_standstill(0).await, [Some(200); CLIENTS]) });
}

/// The same for a head of which the rest arrived during the standstill, inside `HeaderTimeoutS`.
#[test]
fn a_head_that_was_completed_during_a_standstill_is_answered() {
    run(async { assert_eq!(statuses_after_standstill(SENT_HEAD_BYTES).await, [Some(200); CLIENTS]) });
}
