//! Batches of input through the real adapter program.

use std::io::Write;
use std::process::{Command, Output, Stdio};

use test_case::test_case;

/// Runs the adapter on the input, where `|` stands for a tab.
fn run(input: &str) -> Output {
    let mut adapter = Command::new(env!("CARGO_BIN_EXE_garnetdoor-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // The adapter stops at a bad line, maybe before it has read everything.
    let _ = adapter.stdin.take().expect("a pipe").write_all(input.replace('|', "\t").as_bytes());
    adapter.wait_with_output().expect("the adapter ends")
}

const START: &str = "ROUND|8.41225
CONFIGURE|3|7|classes.count=1|classes.0.repeat=safe|classes.0.on_time=0.5|discovery=subscribe|new.key=x|\
policy_limits.try_limit=2
PAGE|0|1
ENTRY|a:1|41|0|0|0|healthy|1.5|-
PEERS_KNOWN|3|SAVED|0|41
TRIAL_NEWS|3|41|0|2|0|1|1|0.5
YOUR_TURN
";

#[test]
fn each_batch_gets_the_expected_lines() {
    let more = "ROUND|8.5
CALL|3|t-1|0|-|-|0.24|0|0|-
CALL|3|t-2|0|0.012|91f03b7c55d20a64|0.24|0|0|0
YOUR_TURN
ROUND|8.6
FINISHED|3|t-1|0|0.0185|1|a:1|1|0.62,-
FINISHED|3|t-2|0|0.0185|0|a:1|0|-
WITHDRAWN|3|t-1
YOUR_TURN
ROUND|8.7
CRASH_NOW|3
CONFIGURE|3|8|classes.count=1|classes.0.repeat=safe
PAGE|0|0
PEERS_KNOWN|3|SAVED|0|42
CALL|3|t-3|0|-|-|0.24|0|0|-
YOUR_TURN
ROUND|8.7
YOUR_TURN
";
    let output = run(&format!("{START}{more}"));
    let expected = "ARM|3|8.512250|2
ARM|3|8.416449|1
EOR
TRANSMIT|3|t-1|a:1|0
ARM|3|8.750000|3
TRANSMIT|3|t-2|a:1|0
ARM|3|8.750000|4
EOR
SHED|3|t-2|0
EOR
ARM|3|8.800000|2
SHED|3|t-3|0
EOR
EOR
";
    assert_eq!(String::from_utf8_lossy(&output.stdout), expected.replace('|', "\t"));
    assert!(output.status.success());
    assert!(output.stderr.is_empty());
}

#[test_case("HELLO|3\n", "line 8: HELLO: field message"; "unknown message")]
#[test_case("ROUND|9\nHELLO|3\n", "line 9: HELLO: field message"; "unknown event")]
#[test_case("ROUND|9\nTICK_DUE|4|1\n", "line 9: TICK_DUE: field i"; "no such instance")]
#[test_case("ROUND|9\nTICK_DUE|3\n", "line 9: TICK_DUE: field handle"; "missing field")]
#[test_case("ROUND|9\nTICK_DUE|3|x\n", "line 9: TICK_DUE: field handle"; "unreadable field")]
#[test_case("ROUND|soon\n", "line 8: ROUND: field now"; "unreadable clock")]
#[test_case("ROUND|9\nCALL|3|t|0|-|zz|1|0|0|-\n", "line 9: CALL: field entity"; "unreadable key")]
#[test_case("ROUND|9\nPEERS_KNOWN|3|FULL|5|1\n", "line 9: PEERS_KNOWN: field slot"; "no such page")]
#[test_case("ROUND|9\nPAGE|0|1\nYOUR_TURN\n", "line 10: YOUR_TURN: field items"; "short page")]
#[test_case("ROUND|9\n", "line 9: field YOUR_TURN"; "ends inside a batch")]
fn bad_input_ends_the_program_with_one_line_of_error(more: &str, expected: &str) {
    let output = run(&format!("{START}{more}"));
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(!output.status.success());
    assert_eq!(errors.lines().count(), 1, "{errors}");
    assert!(errors.contains(expected), "{errors}");
}
