//! The state machine: repeats, conflicts, roll-outs, and the same state at every node.

mod shared;

use configuration::ConfigVersion;
use control_state::{Command, CommandOutcome, ControlState, Rollout, RolloutState, SnapshotError};
use shared::{modify, order, replace, seeded_random, seen};
use types::{LogIndex, SECOND};

fn verdict(number: u32, completed: bool) -> Command {
    Command::Verdict { service: "box".into(), number, completed }
}

/// A node with its local time.
struct TestNode(ControlState, i64);

impl TestNode {
    fn new() -> TestNode {
        TestNode(ControlState::new(), 0)
    }

    /// Applies a command and returns the status of its outcome, which `check` must have predicted.
    fn apply(&mut self, command: &Command) -> u16 {
        let checked = self.0.check(command);
        let index = LogIndex(self.0.last_applied().0 + 2);
        let outcome = self.0.apply(self.1, index, &command.encode_v1());
        assert_eq!(checked.err().unwrap_or(CommandOutcome::Applied), outcome);
        assert_eq!(self.0.last_applied(), index);
        outcome.http_status()
    }

    fn apply_all(&mut self, commands: &[Command]) -> Vec<u16> {
        commands.iter().map(|command| self.apply(command)).collect()
    }

    fn rollout(&self) -> &Rollout {
        &self.0.rollouts["box"]
    }
}

#[test]
fn one_of_two_changes_on_one_base_wins_and_a_repeat_is_recognized() {
    let mut node = TestNode::new();
    let outcomes = node.apply_all(&[
        replace(0, 5, 1),
        replace(0, 6, 2),
        replace(0, 5, 1),
        replace(0, 5, 2),
        modify(5, 7),
    ]);
    assert_eq!(outcomes, [200, 412, 200, 412, 200]);
    let conflict = node.0.check(&replace(5, 9, 1));
    assert_eq!(conflict, Err(CommandOutcome::VersionConflict { current: ConfigVersion(7) }));
    // Repeats after newer versions have come. The same text on another base is another change.
    let outcomes =
        node.apply_all(&[replace(0, 5, 1), modify(5, 7), replace(7, 5, 1), replace(7, 8, 0), modify(7, 7)]);
    assert_eq!(outcomes, [200, 200, 400, 400, 400]);
    assert_eq!(node.0.configuration_version(), ConfigVersion(7));
    // Format 1 keeps only the last 64 records.
    for version in 8..72 {
        assert_eq!(node.apply(&modify(version - 1, version)), 200);
    }
    assert_eq!(node.apply_all(&[modify(7, 8), modify(5, 7)]), [200, 412]);
    assert_eq!(node.0.configuration_version(), ConfigVersion(71));
}

#[test]
fn a_partial_first_change_and_unreadable_commands_change_nothing() {
    let mut node = TestNode::new();
    assert_eq!(node.apply(&modify(0, 1)), 400);
    assert_eq!(node.0.apply(0, LogIndex(9), b"\xff\xff"), CommandOutcome::Unreadable);
    let mut with_extra_byte = replace(0, 5, 1).encode_v1();
    with_extra_byte.push(0);
    assert_eq!(node.0.apply(0, LogIndex(10), &with_extra_byte), CommandOutcome::Unreadable);
    assert_eq!(node.0.last_applied(), LogIndex(10));
    assert_eq!(node.0.apply(0, LogIndex(10), &replace(0, 5, 1).encode_v1()), CommandOutcome::AlreadyApplied);
    assert!(node.0.configuration().is_none());
}

#[test]
fn a_trial_is_completed_or_reverted_once() {
    let mut node = TestNode::new();
    assert_eq!(
        node.apply_all(&[replace(0, 5, 1), order("tent", "v2"), seen("v1"), seen("v0")]),
        [200, 404, 200, 200]
    );
    let build_numbers = |node: &TestNode| ["v1", "v2", "v3"].map(|v| node.0.build_number_of("box", v));
    assert_eq!(build_numbers(&node), [Some(1), None, None]);
    assert_eq!(
        node.apply_all(&[order("box", "v2"), order("box", "v2"), order("box", "v3")]),
        [200, 200, 409]
    );
    assert_eq!(build_numbers(&node), [Some(1), Some(2), None]);
    assert_eq!(node.apply_all(&[verdict(3, true), verdict(2, false), verdict(2, false)]), [409, 200, 200]);
    assert_eq!((verdict(2, true), node.apply(&verdict(2, true))), (verdict(2, true), 409));
    assert_eq!(build_numbers(&node), [Some(1), None, None]);
    // The same version may be tried again, under a new build number.
    assert_eq!(node.apply_all(&[order("box", "v2"), verdict(2, true), verdict(3, true)]), [200, 409, 200]);
    assert_eq!(build_numbers(&node), [None, Some(3), None]);
    assert_eq!(node.apply_all(&[order("box", "v2"), verdict(3, false)]), [200, 409]);
    // The old version may be ordered like any other.
    assert_eq!(node.apply(&order("box", "v1")), 200);
    assert_eq!(build_numbers(&node), [Some(4), Some(3), None]);
    assert_eq!(node.apply_all(&[verdict(4, false), order("box", "v2")]), [200, 200]);
    assert_eq!((node.rollout().state, node.rollout().build_number), (Some(RolloutState::Completed), 4));
}

#[test]
fn a_late_repeat_of_an_order_starts_no_second_trial_of_a_reverted_version() {
    let mut node = TestNode::new();
    node.apply_all(&[seen("v1"), order("box", "v2")]);
    node.1 = 3 * SECOND;
    assert_eq!(node.apply(&verdict(2, false)), 200);
    let check_at =
        |node: &TestNode, now: i64, target: &str| node.0.check_as_leader(now * SECOND, &order("box", target));
    assert_eq!(check_at(&node, 12, "v2"), Err(CommandOutcome::Repeated));
    assert_eq!(check_at(&node, 12, "v3"), Ok(()));
    assert_eq!(check_at(&node, 13, "v2"), Ok(()));
    // For a node that learned of the end later, the window does not end earlier.
    let mut late_node = ControlState::new();
    late_node.restore(100 * SECOND, LogIndex(6), &node.0.snapshot()).unwrap();
    assert_eq!(late_node.check_as_leader(109 * SECOND, &order("box", "v2")), Err(CommandOutcome::Repeated));
}

#[test]
fn a_version_on_trial_or_reverted_never_becomes_the_initial_version() {
    let mut node = TestNode::new();
    assert_eq!(node.apply_all(&[order("box", "v2"), seen("v2")]), [200, 200]);
    assert_eq!(node.rollout().current_version, None);
    node.apply(&verdict(2, false));
    assert_eq!(node.apply_all(&[seen("v2"), seen("v1"), seen("v2")]), [200; 3]);
    assert_eq!(node.rollout().current_version.as_deref(), Some("v1"));
    let too_long = "x".repeat(control_state::MAX_NAME_BYTES + 1);
    assert_eq!(node.apply_all(&[seen(&too_long), order(&too_long, "v"), order("box", "")]), [400; 3]);
    for n in 1..control_state::MAX_SERVICES + 9 {
        node.apply(&Command::Seen { service: format!("s{n}"), version: "v1".into() });
    }
    assert_eq!(node.0.rollouts.len(), control_state::MAX_SERVICES);
    assert_eq!(node.apply(&order("one-more", "v2")), 409);
}

#[test]
fn nodes_agree_whatever_their_clocks_and_whenever_they_join() {
    let mut random = seeded_random(7);
    let mut commands = Vec::new();
    for n in 0..400u32 {
        let base = n / 8;
        commands.push(match random() % 8 {
            0 | 1 => replace(base, base + 1 + random() % 3, random() % 4),
            2 => modify(base, base + 1 + random() % 3),
            3 | 4 => order("box", ["v1", "v2", "v3"][random() as usize % 3]),
            5 => seen(["v1", "v2"][random() as usize % 2]),
            _ => verdict(2 + random() % 12, random() % 3 < 2),
        });
    }
    let (mut first, mut other) = (ControlState::new(), ControlState::new());
    for (position, command) in commands.iter().enumerate() {
        let index = LogIndex(1 + position as u64);
        let outcome = first.apply(position as i64, index, &command.encode_v1());
        assert_eq!(other.apply(-5 * position as i64, index, &command.encode_v1()), outcome);
        assert_eq!(first.snapshot(), other.snapshot());
        if position % 50 == 17 {
            // The node is restarted from the other node's snapshot.
            other = ControlState::new();
            other.restore(1, index, &first.snapshot()).unwrap();
        }
    }
    assert!(first.configuration_version() > ConfigVersion(2) && first.rollouts["box"].build_number > 3);
}

#[test]
fn a_damaged_or_older_snapshot_is_refused_and_changes_nothing() {
    let mut node = TestNode::new();
    node.apply_all(&[replace(0, 5, 1), seen("v1"), order("box", "v2")]);
    node.1 = SECOND;
    let (snapshot, since) = (node.0.snapshot(), node.rollout().state_since);
    assert_eq!(
        node.0.restore(9, LogIndex(1), &snapshot),
        Err(SnapshotError::Older { snapshot_index: 1, current_index: 6 })
    );
    for end in 0..snapshot.len() {
        assert!(node.0.restore(9, LogIndex(7), &snapshot[..end]).is_err(), "cut at {end}");
    }
    assert_eq!(
        node.0.restore(9, LogIndex(7), &[&[9], &snapshot[1..]].concat()),
        Err(SnapshotError::UnsupportedFormat(9))
    );
    assert_eq!((node.0.snapshot(), node.0.last_applied()), (snapshot.clone(), LogIndex(6)));
    // The local time of what was known before is kept.
    node.0.restore(9 * SECOND, LogIndex(7), &snapshot).unwrap();
    assert_eq!(node.rollout().state_since, since);
}
