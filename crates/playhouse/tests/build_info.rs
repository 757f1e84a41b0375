//! The program tells which sources it was built from: on the command line, in the first line of a log, and as a metric.
//! Guards against a run of which nobody can say which program it was (`docs/incidents/older-program-kept-by-the-build.md`).

use std::net::Ipv4Addr;
use std::process::Command;

use membership::{Member, Role};
use playhouse::build_info::{COMMIT, PROFILE, TARGET, VERSION};
use playhouse::metrics::Metrics;
use playhouse::node::NodeCore;
use transport::TransportStats;
use types::{NodeAddress, NodeVersion, RunId, SECOND};

/// Standard output and standard error of the program, started with settings that don't exist.
fn outputs(arguments: &[&str]) -> (String, String) {
    let mut program = Command::new(env!("CARGO_BIN_EXE_playhouse"));
    program.args(arguments).env("GARNETDOOR_SETTINGS", "/no/such/file").env_remove("RUST_LOG");
    let output = program.output().expect("the program runs");
    let text = |bytes| String::from_utf8(bytes).expect("text");
    (text(output.stdout), text(output.stderr))
}

#[test]
fn the_command_line_tells_commit_target_and_profile() {
    let expected = format!("playhouse {VERSION}\ncommit {COMMIT}\ntarget {TARGET}\nprofile {PROFILE}\n");
    assert_eq!(outputs(&["--version"]).0, expected);
    assert_eq!(outputs(&["-V"]).0, format!("playhouse {VERSION}\n"));
    assert!(TARGET.contains(std::env::consts::ARCH), "{TARGET}");
    assert!(!COMMIT.is_empty());
}

#[test]
fn a_log_begins_with_the_program_that_writes_it() {
    for role in ["foyer", "prompter"] {
        let start = format!(
            "playhouse {VERSION}, commit {COMMIT}, target {TARGET}, profile {PROFILE}, starts as {role}"
        );
        let first = |log: &str| log.lines().next().unwrap_or_default().to_owned();
        let (_, log) = outputs(&[role]);
        assert!(first(&log).contains(&start), "{log}");
        let (_, log) = outputs(&["--log", "error", role]);
        assert!(first(&log).contains(&start), "{log}");
        let (_, log) = outputs(&["--log", "off", role]);
        assert!(!log.contains(&start), "{log}");
    }
}

#[test]
fn a_metric_tells_which_program_runs() {
    let member = Member {
        address: NodeAddress(Ipv4Addr::new(10, 0, 0, 1)),
        run_id: RunId(1),
        role: Role::Gateway,
        zone: "z".into(),
        name: "n".into(),
        version: NodeVersion::CURRENT,
    };
    let node = NodeCore::start(member, vec![], SECOND, 1, 0);
    let text = Metrics::for_node(&node, TransportStats::default()).text();
    let line = format!(
        "garnetdoor_build_info{{version=\"{VERSION}\",commit=\"{COMMIT}\",target=\"{TARGET}\",profile=\"{PROFILE}\"}} 1"
    );
    assert!(text.lines().any(|found| found == line), "{line} in\n{text}");
}
