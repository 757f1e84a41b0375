//! The operators' procedures of docs/operators, run with the program's own commands against real control nodes on
//! loopback. No test waits for a fixed time: conditions are polled, with a deadline that only a fault reaches.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use consensus::WriteId;
use membership::{Member, Role};
use playhouse::demo::cluster::{ClusterConfig, NodeIndex, TestCluster};
use playhouse::demo::operator::{Route, configuration_change, full_configuration, parse_items, parse_json};
use playhouse::failure_watch::WriteMonitor;
use playhouse::node::NodeCore;
use playhouse::ring::{PROJECT_TARGETS, RateLimiter, RingBuffer, TokenBucket};
use simd_json::OwnedValue;
use simd_json::prelude::*;
use types::{LogIndex, NodeAddress, NodeVersion, RunId, SECOND};

const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
const HOST: &str = "commands.example";
const SERVICE: &str = "playbill";

/// Exit code and output of a command.
struct Output {
    code: i32,
    out: String,
    err: String,
}

fn run(args: &[&str]) -> Output {
    let output = Command::new(env!("CARGO_BIN_EXE_playhouse"))
        .args(args)
        .env_remove("GARNETDOOR_SETTINGS")
        .stdin(Stdio::null())
        .output()
        .expect("the program runs");
    output_of(output)
}

fn output_of(output: std::process::Output) -> Output {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    Output { code: output.status.code().unwrap_or(-1), out: text(&output.stdout), err: text(&output.stderr) }
}

/// A cluster of control nodes, of which some run.
struct ControlPlane {
    cluster: TestCluster,
    control_nodes: Vec<NodeIndex>,
}

/// Clusters of one process share few addresses, so the tests that start one run one after the other.
static CLUSTER_LOCK: Mutex<()> = Mutex::new(());

fn exclusive() -> MutexGuard<'static, ()> {
    CLUSTER_LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}

impl ControlPlane {
    /// Starts the first `started` of `control_nodes` control nodes; the first three are the seeds.
    fn open(control_nodes: usize, started: usize) -> ControlPlane {
        let program = env!("CARGO_BIN_EXE_playhouse").into();
        let config =
            ClusterConfig { program, control_nodes, gateways: 1, folder: None, log: "info".to_owned() };
        let mut cluster = TestCluster::create(config).expect("a cluster");
        let control_nodes = cluster.nodes(Role::ControlNode);
        for node in &control_nodes[..started] {
            cluster.start(*node).expect("a node that starts");
        }
        ControlPlane { cluster, control_nodes }
    }

    /// Runs a command with the addresses of the first three control nodes, that of node `first` first.
    fn run_at(&self, first: usize, args: &[&str]) -> Output {
        let controls: Vec<String> =
            self.cluster.control_addresses().iter().map(|at| at.to_string()).collect();
        let mut all = args.to_vec();
        let others = controls.iter().take(3).enumerate().filter(|(number, _)| *number != first);
        for at in std::iter::once(&controls[first]).chain(others.map(|(_, at)| at)) {
            all.extend(["--at", at]);
        }
        run(&all)
    }

    /// Like `run_at`, and requires exit code 0.
    fn succeed(&self, first: usize, args: &[&str]) -> String {
        let output = self.run_at(first, args);
        assert_eq!(output.code, 0, "{args:?}: {}{}\n{}", output.out, output.err, self.cluster.logs(20));
        output.out
    }

    fn status(&self, first: usize) -> OwnedValue {
        parse_json(self.succeed(first, &["status", "--json"]).as_bytes()).expect("JSON")
    }

    /// Polls until a condition holds.
    fn wait(&mut self, what: &str, mut condition: impl FnMut(&mut ControlPlane) -> bool) {
        let started = Instant::now();
        while !condition(self) {
            let late = started.elapsed() > WAIT_TIMEOUT;
            assert!(
                !late,
                "{what}: not after {WAIT_TIMEOUT:?}\n{}\n{}",
                self.all_statuses(),
                self.cluster.logs(20)
            );
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    /// The status as each of the first three control nodes sees it, for failure reports.
    fn all_statuses(&self) -> String {
        (0..3).map(|first| self.run_at(first, &["status"]).out).collect()
    }

    fn address(&self, node: usize) -> String {
        self.cluster.control(self.control_nodes[node]).ip().to_string()
    }

    fn data_directory(&self, node: usize) -> PathBuf {
        self.cluster.folder().join(format!("prompter-{}-data", node + 1))
    }

    /// Disk id of a voter, as node `first` reports it; `None` if the node has no vote.
    fn disk_id(&self, first: usize, node: usize) -> Option<String> {
        let (status, address) = (self.status(first), self.address(node));
        let voters = status.get("Voters")?.as_array()?;
        let voter =
            voters.iter().find(|voter| voter.get("Place").and_then(|p| p.as_str()) == Some(&*address))?;
        voter.get("Life")?.as_str().map(str::to_owned)
    }

    fn voters(&self, first: usize) -> usize {
        self.status(first).get("Voters").and_then(|voters| voters.as_array()).map_or(0, |list| list.len())
    }

    fn member_status(&self, first: usize, node: usize) -> String {
        let (status, address) = (self.status(first), self.address(node));
        let members =
            status.get("Members").and_then(|members| members.as_array()).cloned().unwrap_or_default();
        let text = |member: &OwnedValue, key: &str| {
            member.get(key).and_then(|found| found.as_str()).unwrap_or("").to_owned()
        };
        members
            .iter()
            .find(|one| text(one, "Place") == address)
            .map_or(String::new(), |one| text(one, "Standing"))
    }

    /// A node that is not the leader.
    fn find_follower(&mut self) -> usize {
        let mut found = None;
        self.wait("a leader", |system| {
            let status = system.status(0);
            let leader = status.get("Leader").and_then(|leader| leader.as_str()).map(str::to_owned);
            found = leader.and_then(|leader| (0..3).rev().find(|node| system.address(*node) != leader));
            found.is_some()
        });
        found.expect("one of three")
    }

    fn write_file(&self, name: &str, text: &str) -> String {
        let path = self.cluster.folder().join(name);
        fs::write(&path, text).expect("a file is written");
        path.display().to_string()
    }

    /// Sends SIGTERM, waits for the end and writes the settings for later starts.
    fn terminate(&mut self, node: usize) {
        self.cluster.terminate(self.control_nodes[node]).expect("a signal");
        let number = self.control_nodes[node];
        self.wait("a control node ends in order", |system| {
            let ended = system.cluster.exit_status(number).expect("a child");
            assert!(ended.is_none_or(|status| status.success()), "{ended:?}");
            ended.is_some()
        });
        self.cluster.kill(number).expect("its settings are written");
    }

    fn first_configuration(&self) -> String {
        let text = full_configuration(1, &[Route::new("view", HOST, "/view/", "safe", SERVICE)], &[SERVICE]);
        let file = self.write_file("first.json", &text);
        assert!(
            self.succeed(0, &["config", "apply", &file]).contains("00000001 is taken, on top of 00000000")
        );
        file
    }
}

#[test]
fn an_operator_sets_up_changes_and_reads_a_system() {
    let _guard = exclusive();
    let system = ControlPlane::open(3, 3);
    let settings = system.cluster.folder().join("prompter-1.toml").display().to_string();
    let first = system.first_configuration();
    let checked = run(&["check", "--settings", &settings, "--config", &first]);
    assert_eq!(checked.code, 0, "{}", checked.out);
    assert_eq!(
        system.succeed(1, &["config", "get"]).trim(),
        fs::read_to_string(&first).expect("the file").trim()
    );
    assert_eq!(system.run_at(2, &["config", "diff", &first]).code, 0);
    // A change can be compared before it is applied; afterwards every node has it.
    let late = Route::new("late", HOST, "/late/", "safe", SERVICE);
    let next = system.write_file("next.json", &configuration_change(2, &[late], &["view"]));
    let diff = system.run_at(0, &["config", "diff", &next]);
    assert_eq!(diff.code, 1, "{}", diff.err);
    assert!(
        diff.out.contains("- RouteTable view") && diff.out.contains("+ RouteTable late\n    HostName: "),
        "{}",
        diff.out
    );
    // Of a changed item only the changed fields are listed.
    let mut slower = Route::new("view", HOST, "/view/", "safe", SERVICE);
    slower.attempts += 1;
    let slower = system.write_file("slower.json", &configuration_change(2, &[slower], &[]));
    let lines = system.run_at(0, &["config", "diff", &slower]).out;
    let lines: Vec<&str> = lines.lines().skip(1).map(str::trim).collect();
    assert!(
        lines.len() == 2 && lines[0] == "~ RouteTable view" && lines[1].starts_with("MaxAttempts: "),
        "{lines:?}"
    );
    system.succeed(2, &["config", "apply", &next]);
    assert!(system.succeed(1, &["config", "get"]).contains("/late/"));
    assert_eq!(
        system.run_at(1, &["config", "diff", &next]).code,
        2,
        "its version is not above the one in force"
    );
    // A change on an old base is refused, and so is an invalid one, with the place of the fault.
    let other = full_configuration(9, &[Route::new("view", HOST, "/view/", "safe", SERVICE)], &[SERVICE]);
    let other = system.write_file("other.json", &other);
    let raced = system.run_at(0, &["config", "apply", &other, "--base", "1"]);
    assert_eq!(
        (raced.code, raced.err.contains("the current version is 00000002")),
        (4, true),
        "{}",
        raced.err
    );
    let bad = full_configuration(9, &[Route::new("view", HOST, "/view/", "safe", "nobody")], &[SERVICE]);
    let bad = system.write_file("bad.json", &bad);
    assert_eq!(run(&["check", "--config", &bad]).code, 1);
    let refused = system.run_at(0, &["config", "apply", &bad]);
    assert_eq!((refused.code, refused.err.contains("nobody")), (4, true), "{}", refused.err);
    // A roll-out is started. Without traffic it would not end, so the end is not waited for.
    system.succeed(0, &["rollout", "start", SERVICE, "v2", "--period", "60"]);
    let again = system.run_at(1, &["rollout", "start", SERVICE, "v3", "--period", "60"]);
    assert_eq!(again.code, 4, "{}", again.err);
    assert_eq!(system.run_at(1, &["rollout", "watch", "nobody"]).code, 4);
    let words = system.succeed(0, &["status"]);
    for part in [
        "NOT WELL: no foyer is up\n",
        "configuration 00000002",
        "voters: 3 of 3 up, 2 needed",
        "v2",
        "in_progress",
    ] {
        assert!(words.contains(part), "{part}: {words}");
    }
    assert_eq!(system.succeed(0, &["members"]).matches("alive").count(), 3);
    assert_eq!(run(&["status", "--at", "127.0.0.1:1", "--patience", "0.2"]).code, 3);
}

#[test]
fn a_control_node_is_replaced_by_another_one() {
    let _guard = exclusive();
    let mut system = ControlPlane::open(4, 3);
    system.first_configuration();
    let lost = system.find_follower();
    let remaining = if lost == 0 { 1 } else { 0 };
    system.cluster.kill(system.control_nodes[lost]).expect("it is killed");
    system.cluster.start(system.control_nodes[3]).expect("the new one starts");
    system.wait("the new node votes and the old one does not", |system| {
        system.disk_id(remaining, 3).is_some() && system.disk_id(remaining, lost).is_none()
    });
    assert_eq!(system.voters(remaining), 3);
    system.wait("the new node has the configuration", |system| {
        let status =
            run(&["status", "--json", "--at", &system.cluster.control(system.control_nodes[3]).to_string()]);
        status.out.contains("\"ConfigVersion\":\"00000001\"")
    });
    // Raft removes the node after a second of silence, before the membership declares it dead.
    system.wait("the others declare the old node dead", |system| {
        matches!(system.member_status(remaining, lost).as_str(), "dead" | "")
    });
}

#[test]
fn a_lost_or_damaged_disk_rejoins_with_a_new_disk_id() {
    let _guard = exclusive();
    let mut system = ControlPlane::open(3, 3);
    let first = system.first_configuration();
    let node = system.find_follower();
    let remaining = if node == 0 { 1 } else { 0 };
    let before = system.disk_id(remaining, node).expect("a voter");
    system.cluster.kill(system.control_nodes[node]).expect("it is killed");
    fs::remove_dir_all(system.data_directory(node)).expect("the disk is lost");
    system.cluster.start(system.control_nodes[node]).expect("it starts again");
    let mut second = String::new();
    system.wait("the node votes with a new disk id", |system| {
        second = system.disk_id(remaining, node).unwrap_or_default();
        system.voters(remaining) == 3 && !second.is_empty() && second != before
    });
    // `verify` finds the damage; the next start sets the file aside.
    system.cluster.kill(system.control_nodes[node]).expect("it is killed");
    let file = system.data_directory(node).join("ledger.redb");
    let mut bytes = fs::read(&file).expect("a ledger");
    for byte in bytes.iter_mut().skip(4096) {
        *byte ^= 0x5a;
    }
    fs::write(&file, &bytes).expect("the file is damaged");
    let dir = system.data_directory(node).display().to_string();
    let verified = run(&["ledger", "verify", &dir]);
    assert_eq!(verified.code, 1, "{}{}", verified.out, verified.err);
    assert_eq!(fs::read(&file).expect("the file"), bytes, "verify changes nothing");
    system.cluster.start(system.control_nodes[node]).expect("it starts again");
    system.wait("the node votes with a third disk id", |system| {
        let third = system.disk_id(remaining, node).unwrap_or_default();
        system.voters(remaining) == 3 && !third.is_empty() && third != second && third != before
    });
    assert!(system.data_directory(node).join("ledger.bad").exists());
    let log = fs::read_to_string(system.cluster.folder().join(format!("prompter-{}.log", node + 1)));
    let log = log.expect("its log");
    assert!(log.contains("set aside") && log.contains("--- ring: a line at error"), "{log}");
    let diff = system.run_at(node, &["config", "diff", &first]);
    assert_eq!(diff.code, 0, "{}{}\n{}", diff.out, diff.err, system.cluster.logs(20));
}

#[test]
fn a_system_is_backed_up_restarted_node_by_node_and_restored() {
    let _guard = exclusive();
    let mut system = ControlPlane::open(3, 3);
    let first = system.first_configuration();
    // Each node in turn stops in order and restarts; the others serve meanwhile.
    for node in 0..3 {
        system.terminate(node);
        let other = (node + 1) % 3;
        assert_eq!(system.run_at(other, &["config", "diff", &first]).code, 0);
        if node == 2 {
            break;
        }
        system.cluster.start(system.control_nodes[node]).expect("it starts again");
        system.wait("it is back, and votes as before", |system| {
            system.member_status(other, node) == "alive"
                && system.disk_id(other, node).as_deref() == Some("0")
                && run(&[
                    "status",
                    "--json",
                    "--at",
                    &system.cluster.control(system.control_nodes[node]).to_string(),
                ])
                .out
                .contains("\"ConfigVersion\":\"00000001\"")
        });
    }
    // The disk of the third node is the backup.
    let (dir, to) = (system.data_directory(2).display().to_string(), system.cluster.folder().join("backup"));
    let verified = run(&["ledger", "verify", &dir]);
    assert_eq!((verified.code, verified.out.contains("sound")), (0, true), "{}", verified.err);
    let held = run(&["ledger", "inspect", &dir, "--json"]);
    assert!(held.out.contains("\"ConfigVersion\":\"00000001\""), "{}{}", held.out, held.err);
    assert_eq!(run(&["ledger", "export", &dir, "--to", &to.display().to_string()]).code, 0);
    let in_use = run(&["ledger", "inspect", &system.data_directory(0).display().to_string()]);
    assert_eq!((in_use.code, in_use.err.contains("a process uses it")), (2, true), "{}", in_use.err);
    let none = run(&["ledger", "inspect", &to.display().to_string()]);
    assert_eq!((none.code, none.err.contains("no ledger.redb here")), (2, true), "{}", none.err);
    // A new system starts with the exported configuration.
    let new = ControlPlane::open(3, 3);
    let kept = to.join("configuration.json").display().to_string();
    new.succeed(0, &["config", "apply", &kept]);
    let (old, now) = (fs::read(first).expect("the file"), new.succeed(1, &["config", "get"]));
    assert_eq!(parse_items(now.as_bytes()), parse_items(&old));
}

#[test]
fn every_key_that_is_read_is_in_the_operators_page() {
    let _guard = exclusive();
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/operators/settings.md");
    let page = fs::read_to_string(page).expect("docs/operators/settings.md");
    let rows = page.lines().filter_map(|line| line.strip_prefix("| `")?.split_once('`'));
    let written: BTreeSet<String> = rows.map(|(key, _)| key.to_owned()).collect();
    let system = ControlPlane::open(3, 0);
    let file = system.cluster.folder().join("prompter-1.toml").display().to_string();
    let checked = run(&["check", "--settings", &file, "--json"]);
    let value = parse_json(checked.out.as_bytes()).expect("JSON");
    let holds = value["Files"][0]["Holds"].as_object().expect("what holds").keys();
    let read: BTreeSet<String> = holds.filter(|key| *key != "part").cloned().collect();
    assert_eq!(written, read);
}

#[test]
fn all_faults_of_settings_are_reported_before_anything_listens() {
    let _guard = exclusive();
    let system = ControlPlane::open(3, 0);
    let file = system.write_file(
        "wrong.toml",
        "NodeName = \"\"\nIpAddress = \"10.0.0.300\"\nZone = \"a\"\nInternalPortRange = [9, 3]\nSeedNodes = []\n\
         NewKey = 1\n[ListenAddresses]\nControl = \"10.0.0.1\"\n[TimerBounds]\nGraceS = -1\nAckS = 5\n",
    );
    let keys = [
        "NodeName",
        "IpAddress",
        "InternalPortRange",
        "SeedNodes",
        "ListenAddresses.Control",
        "TimerBounds.GraceS",
    ];
    let checked = run(&["check", "--settings", &file]);
    assert_eq!(checked.code, 1);
    assert!(checked.out.contains(": 6 faults"), "{}", checked.out);
    let started = Command::new(env!("CARGO_BIN_EXE_playhouse"))
        .arg("prompter")
        .env("GARNETDOOR_SETTINGS", &file)
        .output()
        .expect("the program runs");
    assert_eq!(started.status.code(), Some(1));
    let reported = String::from_utf8_lossy(&started.stderr).into_owned();
    for key in keys {
        assert!(checked.out.contains(key) && reported.contains(key), "{key}: {}{reported}", checked.out);
    }
    // A missing file doesn't hide the faults of the other one.
    let both = run(&["check", "--settings", &file, "--config", "/nowhere/at/all"]);
    assert!(
        both.code == 1 && both.out.contains(": 6 faults") && both.out.contains("/nowhere/at/all: 1 fault\n"),
        "{}",
        both.out
    );
    // Settings of a gateway are incomplete for a control node.
    let gateway = system.cluster.folder().join("foyer-1.toml").display().to_string();
    assert_eq!(run(&["check", "--settings", &gateway]).code, 0);
    let other = run(&["check", "--settings", &gateway, "--for", "prompter"]);
    assert!(other.code == 1 && other.out.contains("DataDirectory"), "{}", other.out);
}

#[test]
fn the_ring_buffer_keeps_the_last_lines_and_its_output_is_rate_limited() {
    let mut ring = RingBuffer::new(40);
    for number in 0..20 {
        ring.push(format!("line {number}").as_bytes());
    }
    ring.push(&[b'x'; 64]);
    let (text, dropped) = ring.take();
    // Four lines of 7 bytes, each with 2 bytes for its length.
    assert_eq!(String::from_utf8(text).expect("text"), "line 16\nline 17\nline 18\nline 19\n");
    assert_eq!(dropped, 17);
    assert_eq!(ring.take(), (Vec::new(), 0));
    let mut rate_limiter = RateLimiter::default();
    let reported = [0, 1, 9_999_999, 10_000_000, 10_000_001].map(|now| rate_limiter.try_acquire(now));
    assert_eq!(reported, [Some(0), None, None, Some(2), None]);
    // A hang is reported once. A late answer to an older write changes nothing; the answer to the newest write clears
    // all.
    let mut writes = WriteMonitor::default();
    writes.submitted(0, WriteId(1));
    assert_eq!(
        [SECOND, 3 * SECOND, 4 * SECOND].map(|now| writes.take_hang(now)),
        [None, Some(3 * SECOND), None]
    );
    writes.finished(WriteId(1), false);
    writes.submitted(5 * SECOND, WriteId(2));
    writes.finished(WriteId(1), true);
    assert_eq!(writes.status(6 * SECOND), (Some(6 * SECOND), true));
    writes.finished(WriteId(2), true);
    assert_eq!((writes.status(7 * SECOND), writes.take_hang(99 * SECOND)), ((None, false), None));
    // Directly written lines: one burst, then as many as tokens have accrued.
    let mut token_bucket = TokenBucket::new(2, SECOND);
    let reported = [0, 1, 2, 3, SECOND, SECOND + 1, 9 * SECOND, 9 * SECOND, 9 * SECOND]
        .map(|now| token_bucket.try_acquire(now));
    assert_eq!(reported, [Some(0), Some(0), None, None, Some(2), None, Some(1), Some(0), None]);
}

#[test]
fn a_panic_in_a_spawned_task_ends_the_process() {
    const PANIC_VARIABLE: &str = "GARNETDOOR_TEST_PANICS";
    if std::env::var_os(PANIC_VARIABLE).is_some() {
        let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
        tokio::task::LocalSet::new().block_on(&runtime, async {
            let _ = playhouse::tasks::spawn_local(async { panic!("a broken invariant") }).await;
        });
        return;
    }
    let name = "a_panic_in_a_spawned_task_ends_the_process";
    let own = std::env::current_exe().expect("this program");
    let output = Command::new(own).args(["--exact", name, "--nocapture"]).env(PANIC_VARIABLE, "1").output();
    let output = output_of(output.expect("it runs"));
    assert_eq!(
        (output.code, output.out.contains("test result")),
        (101, false),
        "{}{}",
        output.out,
        output.err
    );
}

#[test]
fn a_snapshot_of_a_newer_format_is_reported_and_changes_nothing() {
    let address = NodeAddress(std::net::Ipv4Addr::LOCALHOST);
    let (zone, name) = ("a".to_owned(), "core-1".to_owned());
    let own = Member {
        address,
        run_id: RunId(1),
        role: Role::ControlNode,
        zone,
        name,
        version: NodeVersion::CURRENT,
    };
    let mut node = NodeCore::start(own, vec![address], SECOND, 1, 0);
    let (mut newer, kept) = (node.state.snapshot(), node.state.snapshot());
    newer[0] += 1;
    node.restored(0, LogIndex(5), newer);
    assert_eq!((node.unreadable_entry(), node.state.last_applied()), (Some(LogIndex(5)), LogIndex(0)));
    // An older snapshot that arrives late is ignored.
    let own = node.own.clone();
    let mut node = NodeCore::start(own, vec![address], SECOND, 1, 0);
    node.restored(0, LogIndex(5), kept.clone());
    node.restored(0, LogIndex(4), kept);
    assert_eq!((node.unreadable_entry(), node.state.last_applied()), (None, LogIndex(5)));
}

#[test]
fn the_control_plane_grows_and_its_nodes_reload_the_seeds() {
    let _guard = exclusive();
    let mut system = ControlPlane::open(5, 3);
    let first = system.first_configuration();
    for node in [3, 4] {
        system.cluster.start(system.control_nodes[node]).expect("it starts");
        system.wait("the new node votes", |system| system.disk_id(0, node).is_some());
    }
    let gateway = system.cluster.nodes(Role::Gateway)[0];
    system.cluster.start(gateway).expect("it starts");
    system.wait("the gateway has the configuration", |system| {
        let status = system.status(0);
        let members = status["Members"].as_array().cloned().unwrap_or_default();
        members
            .iter()
            .any(|member| member["Part"].as_str() == Some("foyer") && member["Behind"].as_u64() == Some(0))
    });
    let words = system.succeed(0, &["status"]);
    assert!(words.starts_with("all is well\n") && words.contains("5 of 5 up, 3 needed"), "{words}");
    // The new nodes become seeds. A faulty file changes nothing and is logged.
    let control = system.cluster.control(system.control_nodes[0]).port();
    let seeds: Vec<String> = (2..5).map(|node| format!("\"{}:{control}\"", system.address(node))).collect();
    let file = system.cluster.folder().join("prompter-1.toml");
    let text = fs::read_to_string(&file).expect("its settings");
    fs::write(&file, text.replace("Zone = ", "Zone = 7 #")).expect("written");
    system.cluster.reload(system.control_nodes[0]).expect("SIGHUP");
    let log = system.cluster.folder().join("prompter-1.log");
    system.wait("the faulty file is logged", |_| {
        fs::read_to_string(&log).is_ok_and(|log| log.contains("settings stay as they were"))
    });
    let line = text.lines().find(|line| line.starts_with("SeedNodes")).expect("seeds");
    fs::write(&file, text.replace(line, &format!("SeedNodes = [{}]", seeds.join(", ")))).expect("written");
    assert_eq!(run(&["check", "--settings", &file.display().to_string()]).code, 0);
    system.cluster.reload(system.control_nodes[0]).expect("SIGHUP");
    // Two of five nodes are lost with their disks; the other three accept changes.
    for node in [3, 4] {
        system.cluster.kill(system.control_nodes[node]).expect("it is killed");
        fs::remove_dir_all(system.data_directory(node)).expect("the disk is lost");
    }
    system.wait("the first line of the status names the lost nodes", |system| {
        let words = system.succeed(0, &["status"]);
        let reported = words.lines().next().is_some_and(|line| line.contains("is dead for"));
        reported || system.voters(0) == 3
    });
    let next = system.write_file(
        "next.json",
        &configuration_change(2, &[Route::new("late", HOST, "/late/", "safe", SERVICE)], &[]),
    );
    system.succeed(1, &["config", "apply", &next, "--base", "1", "--patience", "25"]);
    assert_eq!(
        system.run_at(0, &["config", "diff", &first]).code,
        1,
        "the first configuration is no longer in force"
    );
}

#[test]
fn all_nodes_stop_in_order_and_restart_with_all_acknowledged_changes() {
    let _guard = exclusive();
    let mut system = ControlPlane::open(3, 3);
    let first = system.first_configuration();
    let gateway = system.cluster.nodes(Role::Gateway)[0];
    system.cluster.start(gateway).expect("it starts");
    system.wait("the gateway is known", |system| system.succeed(0, &["members"]).contains("foyer"));
    // The gateway stops first, then the control nodes, one right after the other.
    system.cluster.terminate(gateway).expect("SIGTERM");
    system.wait("the gateway ends in order", |system| {
        system.cluster.exit_status(gateway).expect("a child").is_some_and(|status| status.success())
    });
    system.wait("it has left", |system| {
        let reported = system.succeed(0, &["members"]);
        reported.lines().find(|line| line.contains("foyer")).is_none_or(|line| line.contains("left"))
    });
    for node in 0..3 {
        system.terminate(node);
    }
    let silent =
        run(&["status", "--at", &system.cluster.control_addresses()[0].to_string(), "--patience", "0.3"]);
    assert_eq!(silent.code, 3, "{}", silent.err);
    for node in system.control_nodes.clone() {
        system.cluster.start(node).expect("it starts again");
    }
    system.find_follower();
    assert_eq!(system.run_at(1, &["config", "diff", &first]).code, 0);
}

#[test]
fn a_new_control_plane_starts_from_the_one_remaining_disk() {
    let _guard = exclusive();
    let mut system = ControlPlane::open(5, 3);
    let first = system.first_configuration();
    let left = system.data_directory(2).display().to_string();
    let to = system.data_directory(3);
    let to_text = to.display().to_string();
    let address = system.address(3);
    let begin_args = ["ledger", "begin", &left, "--to", &to_text, "--address", &address];
    let confirmed_args = [&begin_args[..], &["--the-others-are-gone"]].concat();
    let in_use = run(&confirmed_args);
    assert_eq!(
        (in_use.code, in_use.err.contains("a process uses it"), to.join("ledger.redb").exists()),
        (2, true, false),
        "{}",
        in_use.err
    );
    // A gateway keeps running throughout.
    let gateway = system.cluster.nodes(Role::Gateway)[0];
    system.cluster.start(gateway).expect("it starts");
    system.wait("the gateway is known", |system| system.succeed(2, &["members"]).contains("foyer"));
    for node in system.control_nodes.clone() {
        system.cluster.kill(node).expect("it is killed");
    }
    for node in [0, 1] {
        fs::remove_dir_all(system.data_directory(node)).expect("a majority of the disks is lost");
    }
    let file = system.data_directory(2).join("ledger.redb");
    let bytes = fs::read(&file).expect("the ledger that is left");
    let asked = run(&begin_args);
    assert_eq!((asked.code, to.join("ledger.redb").exists()), (2, false), "{}", asked.err);
    assert!(
        asked.out.contains("kept: configuration 00000001") && asked.out.contains("lost: "),
        "{}",
        asked.out
    );
    let begun = run(&confirmed_args);
    assert_eq!(begun.code, 0, "{}{}", begun.out, begun.err);
    assert_eq!(fs::read(&file).expect("the old one"), bytes, "the old folder stays as it was");
    let again = run(&confirmed_args);
    assert_eq!((again.code, again.err.contains("not empty")), (2, true), "{}", again.err);
    // It leads alone; a node with an empty disk joins at another address.
    system.cluster.start(system.control_nodes[3]).expect("it starts");
    let at = system.cluster.control(system.control_nodes[3]).to_string();
    let seen = |what: &str| run(&["status", "--json", "--at", &at]).out.contains(what);
    system.wait("the new control plane has a leader", |_| {
        seen("\"Leads\":true") && seen("\"ConfigVersion\":\"00000001\"")
    });
    assert_eq!(run(&["config", "diff", &first, "--at", &at]).code, 0);
    assert!(run(&["status", "--at", &at]).out.contains("a core of 1 bears no loss"));
    system.cluster.start(system.control_nodes[4]).expect("it starts");
    system.cluster.start(system.control_nodes[0]).expect("it starts");
    system.wait("three vote", |_| {
        let status = parse_json(run(&["status", "--json", "--at", &at]).out.as_bytes());
        status.and_then(|status| Some(status.get("Voters")?.as_array()?.len())) == Some(3)
    });
    let next = system.write_file(
        "next.json",
        &configuration_change(2, &[Route::new("late", HOST, "/late/", "safe", SERVICE)], &[]),
    );
    let other = system.cluster.control(system.control_nodes[4]).to_string();
    assert_eq!(run(&["config", "apply", &next, "--at", &other]).code, 0);
    // The gateway accepts the new control plane's state as newer than its own. The node with the old disk can't win an
    // election alone and joins as a new node.
    system.cluster.start(system.control_nodes[2]).expect("it starts");
    let old = system.cluster.control(system.control_nodes[2]).to_string();
    system.wait("the gateway and the node with the old disk follow the new control plane", |_| {
        let status = run(&["status", "--at", &at]).out;
        let gateway = status.lines().find(|line| line.starts_with("foyer-1 ")).unwrap_or("");
        let seen = run(&["status", "--json", "--at", &old]).out;
        gateway.ends_with(" 0") && seen.contains("\"ConfigVersion\":\"00000002\"")
    });
}

#[test]
fn directories_without_an_intact_store_are_reported_and_left_unchanged() {
    let _guard = exclusive();
    let mut system = ControlPlane::open(3, 3);
    system.first_configuration();
    let node = system.find_follower();
    system.terminate(node);
    let sound = fs::read(system.data_directory(node).join("ledger.redb")).expect("a ledger");
    let newer = system.cluster.folder().join("newer");
    let mut store = transport::DiskStore::open(&newer).expect("a store");
    let mut batch = storage::Batch::default();
    batch.put(b"life".to_vec(), vec![200; 40]);
    storage::Store::commit(&mut store, &batch).expect("it is written");
    drop(store);
    let newer = fs::read(newer.join("ledger.redb")).expect("a file");
    let foreign = b"a text of somebody's own\n".repeat(400);
    let cases: [(&str, Option<&[u8]>, i32, &str); 5] = [
        ("bare", None, 2, "no ledger.redb here"),
        ("nil", Some(&[]), 1, "is empty"),
        ("torn", Some(&sound[..sound.len() / 2]), 1, ""),
        ("foreign", Some(&foreign), 1, ""),
        ("other", Some(&newer), 1, ""),
    ];
    for (name, bytes, code, expected_text) in cases {
        let dir = system.cluster.folder().join(name);
        fs::create_dir(&dir).expect("a folder");
        if let Some(bytes) = bytes {
            fs::write(dir.join("ledger.redb"), bytes).expect("a file");
        }
        let at = dir.display().to_string();
        let to = dir.join("to").display().to_string();
        for args in [vec!["inspect", &at], vec!["verify", &at], vec!["export", &at, "--to", &to]] {
            let output = run(&[&["ledger"], &args[..]].concat());
            let text = format!("{}{}", output.out, output.err);
            assert_eq!(output.code, code, "{name} {args:?}: {text}");
            assert!(
                text.contains(&at) && text.contains(expected_text) && !text.contains("panicked"),
                "{name}: {text}"
            );
        }
        let kept: Vec<_> =
            fs::read_dir(&dir).expect("the folder").flatten().map(|one| one.file_name()).collect();
        assert_eq!(kept.len(), usize::from(bytes.is_some()), "{name}: {kept:?}");
        assert_eq!(fs::read(dir.join("ledger.redb")).ok().as_deref(), bytes, "{name}");
    }
    let nowhere = run(&["ledger", "verify", "/nowhere/at/all"]);
    assert_eq!((nowhere.code, nowhere.err.contains("no such folder")), (2, true), "{}", nowhere.err);
}

#[test]
fn a_hanging_node_times_out_and_a_closed_pipe_is_no_error() {
    // Connections stay in the kernel's accept queue and are never answered.
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = listener.local_addr().expect("its address").to_string();
    let started = Instant::now();
    let output = run(&["status", "--at", &at, "--patience", "0.5", "--json"]);
    assert_eq!((output.code, output.out.as_str()), (3, ""), "{}", output.err);
    assert!(started.elapsed() < Duration::from_secs(10), "{:?}", started.elapsed());
    for args in [&["man"][..], &["completions", "bash"], &["--help"]] {
        let mut child = Command::new(env!("CARGO_BIN_EXE_playhouse"))
            .args(args)
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program runs");
        drop(child.stdout.take());
        let output = output_of(child.wait_with_output().expect("it ends"));
        assert!(!output.err.contains("panicked"), "{args:?}: {}", output.err);
    }
}

#[test]
fn the_simulation_is_run_from_the_directory_of_the_program() {
    use std::os::unix::fs::PermissionsExt;
    let folder = tempfile::tempdir().expect("a folder");
    let own = folder.path().join("playhouse");
    fs::copy(env!("CARGO_BIN_EXE_playhouse"), &own).expect("a copy");
    let output = |args: &[&str]| output_of(Command::new(&own).args(args).output().expect("it runs"));
    let none = output(&["rehearse", "--days", "2"]);
    assert_eq!((none.code, none.err.contains("cargo build")), (2, true), "{}", none.err);
    let beside = folder.path().join("playhouse-rehearse");
    fs::write(&beside, "#!/bin/sh\necho \"$@\"\nexit 7\n").expect("a stand-in");
    fs::set_permissions(&beside, fs::Permissions::from_mode(0o755)).expect("it may run");
    let there = output(&["rehearse", "--seed", "3", "--help", "--plot", "a b"]);
    assert_eq!((there.code, there.out.as_str()), (7, "--seed 3 --help --plot a b\n"), "{}", there.err);
    assert!(output(&["completions", "bash"]).out.contains("rehearse"));
}

/// The calls of `log` macros in a source file: level and first string literal.
fn log_lines(source: &str) -> Vec<(String, String)> {
    let mut found = Vec::new();
    for (at, _) in source.match_indices("log::") {
        let rest = &source[at + 5..];
        let Some((level, rest)) = rest.split_once("!(") else { continue };
        if !["error", "warn", "info", "debug", "log"].contains(&level) {
            continue;
        }
        // A target before the text is a constant; a literal there would be taken for the text.
        let rest = match rest.trim_start().strip_prefix("target: ") {
            Some(rest) => rest.split_once(',').map_or("", |(_, rest)| rest),
            None => rest,
        };
        let text =
            rest.split_once('"').and_then(|(_, rest)| rest.split_once('"')).map_or("", |(text, _)| text);
        found.push((level.to_owned(), text.to_owned()));
    }
    found
}

/// Whether every call of a `log` macro in a source file names its target.
fn each_line_has_a_target(source: &str) -> bool {
    ["error", "warn", "info", "debug", "log"].iter().all(|level| {
        let call = format!("log::{level}!(");
        source
            .match_indices(&call)
            .all(|(at, _)| source[at + call.len()..].trim_start().starts_with("target: "))
    })
}

/// The fixed parts of a format string between its placeholders.
fn fixed_parts(text: &str) -> Vec<String> {
    let plain = text.replace(['{', '}'], "\u{0}");
    let parts = plain.split('\u{0}').step_by(2).map(|part| part.trim().to_owned());
    parts.filter(|part| part.chars().filter(|letter| letter.is_alphabetic()).count() >= 2).collect()
}

/// The directory in `crates` of the package whose log targets have this prefix; `None` for the root package, which logs
/// nothing.
fn package_folder(prefix: &str) -> Option<String> {
    match prefix {
        "garnetdoor" => None,
        "wings" => Some("transport".to_owned()),
        other => Some(other.replace('_', "-")),
    }
}

#[test]
fn every_line_that_is_logged_is_in_the_operators_page() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let page = fs::read_to_string(root.join("docs/operators/log-lines.md")).expect("the page");
    let rows: Vec<(&str, &str)> = page
        .lines()
        .filter_map(|line| line.strip_prefix("| `")?.split_once(" | "))
        .filter_map(|(lines, rest)| Some((lines, rest.split_once(" | ")?.0)))
        .collect();
    let mut folders: Vec<PathBuf> = PROJECT_TARGETS
        .iter()
        .filter_map(|prefix| package_folder(prefix))
        .map(|package| root.join("crates").join(package).join("src"))
        .collect();
    let (mut lines, mut spills) = (0, 0);
    while let Some(folder) = folders.pop() {
        for entry in fs::read_dir(&folder).expect("a source directory").flatten() {
            let path = entry.path();
            if path.is_dir() {
                folders.push(path);
                continue;
            }
            let source = fs::read_to_string(&path).expect("a source");
            if path.starts_with(root.join("crates/transport")) {
                assert!(each_line_has_a_target(&source), "{}: a line without a target", path.display());
            }
            for (level, text) in log_lines(&source) {
                let parts = fixed_parts(&text);
                if parts.is_empty() {
                    // Texts that are formatted elsewhere: notes of the load balancer, and errors of files.
                    assert!(["{text}", "{}: {error}"].contains(&&*text), "{}: {text:?}", path.display());
                    continue;
                }
                lines += 1;
                let there = rows.iter().any(|(row, at)| {
                    (level == "log" || at.contains(&*level)) && parts.iter().all(|part| row.contains(&**part))
                });
                assert!(there, "{}: {level} {text:?} has no row", path.display());
            }
            for (at, _) in source.match_indices("spill(\"") {
                let reason = source[at + 7..].split('"').next().unwrap_or("");
                spills += 1;
                assert!(page.contains(reason), "{}: {reason:?} is not on the page", path.display());
            }
        }
    }
    assert!(lines > 25 && spills > 5, "{lines} lines, {spills} reasons: the search finds too little");
}

/// Renders the status of a healthy system with one change.
fn status_of(change: impl FnOnce(&mut OwnedValue)) -> String {
    let member = |name: &str, address: &str, part: &str| {
        simd_json::json!({
            "Name": name, "Place": address, "Life": "a1", "Part": part, "Zone": "a", "Standing": "alive",
            "SinceS": 600.0, "Behind": 0, "Program": "0.5.0", "OldestForm": 1, "NewestForm": 1,
        })
    };
    let voter = |address: &str| simd_json::json!({ "Place": address, "Life": "0" });
    let mut status = simd_json::json!({
        "Node": { "Name": "core-1", "Place": "10.1.0.1", "Life": "0", "Program": "1" },
        "AgreedForm": 1, "Leads": false, "Leader": "10.1.0.2", "Term": 3, "LogCommitted": 12, "LogApplied": 10,
        "ConfigVersion": "00000003", "Disk": { "WaitsS": null, "Fails": false },
        "Voters": [voter("10.1.0.1"), voter("10.1.0.2"), voter("10.1.0.3")],
        "Members": [
            member("core-1", "10.1.0.1", "prompter"), member("core-2", "10.1.0.2", "prompter"),
            member("core-3", "10.1.0.3", "prompter"), member("door-1", "10.1.0.9", "foyer"),
        ],
        "Rollouts": [{
            "Service": "playbill", "State": "in_progress", "CurrentVersion": "v1", "TargetVersion": "v2",
            "RolloutPeriodS": 60.0, "SinceS": 12.0, "Votes": null,
        }],
        "InstanceCounts": [{ "Service": "playbill", "InService": 4, "Silent": 0, "Draining": 0, "Gone": 0 }],
        "Instances": [], "InstancesMore": 0,
    });
    change(&mut status);
    playhouse::commands::show::render_status(&status)
}

#[test]
fn the_first_line_of_status_says_what_is_wrong() {
    let dead = |member: &mut OwnedValue| {
        member["Standing"] = "dead".into();
        member["SinceS"] = 42.4.into();
    };
    let mut text = vec![status_of(|_| {})];
    let mut first = |change: &dyn Fn(&mut OwnedValue)| {
        text.push(status_of(|status| change(status)).lines().next().unwrap_or("").to_owned());
    };
    first(&|status| status["Leader"] = OwnedValue::null());
    first(&|status| dead(&mut status["Members"][2]));
    first(&|status| {
        dead(&mut status["Members"][1]);
        dead(&mut status["Members"][2]);
    });
    first(&|status| dead(&mut status["Members"][3]));
    first(&|status| status["Members"][3]["Behind"] = 7.into());
    first(&|status| status["Rollouts"][0]["SinceS"] = 61.0.into());
    first(&|status| status["InstanceCounts"][0]["Silent"] = 3.into());
    first(&|status| status["InstanceCounts"][0]["InService"] = 0.into());
    first(&|status| status["Disk"]["WaitsS"] = 4.2.into());
    first(&|status| status["Disk"] = simd_json::json!({ "WaitsS": 130.0, "Fails": true }));
    first(&|status| status["ConfigVersion"] = "00000000".into());
    // A node of an older version reports less; that is no problem.
    first(&|status| {
        for member in status["Members"].as_array_mut().into_iter().flatten() {
            let _ = member.remove("SinceS");
            let _ = member.remove("Behind");
        }
        let _ = status.remove("Disk");
    });
    insta::assert_snapshot!(text.join("\n"));
}

#[test]
fn refused_calls_of_instances_are_logged_once() {
    use std::io::{Read, Write};
    let _guard = exclusive();
    let mut system = ControlPlane::open(3, 3);
    // A leader would write its ring buffer because it loses leadership.
    let remaining = system.find_follower();
    let at = system.cluster.control(system.control_nodes[remaining]);
    // The others are killed but not yet declared dead, so nobody else confirms the deregistrations.
    for node in (0..3).filter(|node| *node != remaining) {
        system.cluster.kill(system.control_nodes[node]).expect("it is killed");
    }
    let call = move |what: &str, number: u8, body: &str| {
        let mut line = std::net::TcpStream::connect(at).expect("a control node");
        let head = "Host: core\r\nConnection: close\r\nContent-Type: application/json";
        let call = format!("POST /api/Instances.{what}/i-{number} HTTP/1.1\r\n{head}");
        write!(line, "{call}\r\nContent-Length: {}\r\n\r\n{body}", body.len()).expect("it is sent");
        let mut answer = String::new();
        line.read_to_string(&mut answer).expect("an answer");
        answer
    };
    let leave = move |number: u8| {
        let info = format!(
            "{{\"TargetService\":\"{SERVICE}\",\"ConfigVersion\":\"v1\",\"Zone\":\"a\",\"CapacitySlots\":4}}"
        );
        let status = "{\"State\":\"in_service\",\"CallSequence\":1,\"WarmupLeftS\":0}";
        let address = format!("127.0.0.9:80{number}");
        let beat = format!("{{\"Address\":\"{address}\",\"NodeInfo\":{info},\"Status\":{status}}}");
        let accepted = call("Heartbeat", number, &beat);
        assert!(accepted.starts_with("HTTP/1.1 200"), "{accepted}");
        call("Detach", number, "")
    };
    let calls: Vec<_> = (10..18).map(|number| std::thread::spawn(move || leave(number))).collect();
    for call in calls {
        let answer = call.join().expect("a call");
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    }
    let log = system.cluster.folder().join(format!("prompter-{}.log", remaining + 1));
    let log = fs::read_to_string(log).expect("its log");
    let at_once =
        log.lines().filter(|line| line.starts_with("[WARN") && line.contains("was refused")).count();
    assert_eq!((at_once, log.matches("--- ring: a beat was refused").count()), (1, 1), "{log}");
}

#[test]
fn the_demonstration_succeeds_and_the_leader_logs_the_reverted_version() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("stage");
    let output = run(&["demo", "--seconds", "8", "--folder", &path.display().to_string()]);
    assert_eq!(output.code, 0, "{}{}", output.out, output.err);
    let logs: Vec<String> = (1..4)
        .map(|node| fs::read_to_string(path.join(format!("prompter-{node}.log"))).expect("its log"))
        .collect();
    let all = logs.concat();
    assert!(all.contains("the roll-out of boxoffice to v2 has gone back"), "{all}");
    // Omitted only within 10 s after another output.
    let rings = [
        "--- ring: a roll-out has gone back",
        "--- ring: leadership was lost",
        // Written by a control node that had no majority for two seconds after the leader was killed.
        "--- ring: a beat was refused",
    ];
    assert!(rings.iter().any(|ring| all.contains(ring)), "{all}");
    assert!(!all.contains("panicked"), "{all}");
}
