//! The ordered state: repeats, races, roll-outs, and the same at every node.

mod shared;

use configuration::ConfigVersion;
use control_state::{Command, CommandOutcome, ControlState, Rollout, RolloutState, SnapshotError};
use shared::{modify, oorandom, order, replace, seen};
use types::{LogIndex, SECOND};

fn verdict(number: u32, completed: bool) -> Command {
    Command::Verdict { service: "box".into(), number, completed }
}

struct Stage(ControlState, i64);

impl Stage {
    fn new() -> Stage {
        Stage(ControlState::new(), 0)
    }

    /// Applies a command and tells its status; `check` must have said the same.
    fn order(&mut self, command: &Command) -> u16 {
        let said = self.0.check(command);
        let index = LogIndex(self.0.last_applied().0 + 2);
        let outcome = self.0.apply(self.1, index, &command.encode_v1());
        assert_eq!(said.err().unwrap_or(CommandOutcome::Applied), outcome);
        assert_eq!(self.0.last_applied(), index);
        outcome.http_status()
    }

    fn all(&mut self, commands: &[Command]) -> Vec<u16> {
        commands.iter().map(|command| self.order(command)).collect()
    }

    fn rollout(&self) -> &Rollout {
        &self.0.rollouts["box"]
    }
}

#[test]
fn one_of_two_changes_on_one_base_wins_and_a_repeat_is_known() {
    let mut stage = Stage::new();
    let told =
        stage.all(&[replace(0, 5, 1), replace(0, 6, 2), replace(0, 5, 1), replace(0, 5, 2), modify(5, 7)]);
    assert_eq!(told, [200, 412, 200, 412, 200]);
    let raced = stage.0.check(&replace(5, 9, 1));
    assert_eq!(raced, Err(CommandOutcome::VersionConflict { current: ConfigVersion(7) }));
    // Repeats after newer versions have come; and the same text on another base is another call.
    let told = stage.all(&[replace(0, 5, 1), modify(5, 7), replace(7, 5, 1), replace(7, 8, 0), modify(7, 7)]);
    assert_eq!(told, [200, 200, 400, 400, 400]);
    assert_eq!(stage.0.configuration_version(), ConfigVersion(7));
    // Only the last 64 are remembered.
    for version in 8..72 {
        assert_eq!(stage.order(&modify(version - 1, version)), 200);
    }
    assert_eq!(stage.all(&[modify(7, 8), modify(5, 7)]), [200, 412]);
    assert_eq!(stage.0.configuration_version(), ConfigVersion(71));
}

#[test]
fn a_change_alone_may_begin_and_what_is_no_command_changes_nothing() {
    let mut stage = Stage::new();
    assert_eq!(stage.order(&modify(0, 1)), 400);
    assert_eq!(stage.0.apply(0, LogIndex(9), b"\xff\xff"), CommandOutcome::Unreadable);
    let mut longer = replace(0, 5, 1).encode_v1();
    longer.push(0);
    assert_eq!(stage.0.apply(0, LogIndex(10), &longer), CommandOutcome::Unreadable);
    assert_eq!(stage.0.last_applied(), LogIndex(10));
    assert_eq!(stage.0.apply(0, LogIndex(10), &replace(0, 5, 1).encode_v1()), CommandOutcome::AlreadyApplied);
    assert!(stage.0.configuration().is_none());
}

#[test]
fn a_trial_is_completed_or_reverted_once() {
    let mut stage = Stage::new();
    assert_eq!(
        stage.all(&[replace(0, 5, 1), order("tent", "v2"), seen("v1"), seen("v0")]),
        [200, 404, 200, 200]
    );
    let builds = |stage: &Stage| ["v1", "v2", "v3"].map(|v| stage.0.build_number_of("box", v));
    assert_eq!(builds(&stage), [Some(1), None, None]);
    assert_eq!(stage.all(&[order("box", "v2"), order("box", "v2"), order("box", "v3")]), [200, 200, 409]);
    assert_eq!(builds(&stage), [Some(1), Some(2), None]);
    assert_eq!(stage.all(&[verdict(3, true), verdict(2, false), verdict(2, false)]), [409, 200, 200]);
    assert_eq!((verdict(2, true), stage.order(&verdict(2, true))), (verdict(2, true), 409));
    assert_eq!(builds(&stage), [Some(1), None, None]);
    // The same version may be tried again, under a new number.
    assert_eq!(stage.all(&[order("box", "v2"), verdict(2, true), verdict(3, true)]), [200, 409, 200]);
    assert_eq!(builds(&stage), [None, Some(3), None]);
    assert_eq!(stage.all(&[order("box", "v2"), verdict(3, false)]), [200, 409]);
    // And back to the old one, as any other.
    assert_eq!(stage.order(&order("box", "v1")), 200);
    assert_eq!(builds(&stage), [Some(4), Some(3), None]);
    assert_eq!(stage.all(&[verdict(4, false), order("box", "v2")]), [200, 200]);
    assert_eq!((stage.rollout().state, stage.rollout().build_number), (Some(RolloutState::Completed), 4));
}

#[test]
fn a_late_repeat_of_an_order_does_not_try_a_bad_version_again() {
    let mut stage = Stage::new();
    stage.all(&[seen("v1"), order("box", "v2")]);
    stage.1 = 3 * SECOND;
    assert_eq!(stage.order(&verdict(2, false)), 200);
    let at =
        |stage: &Stage, now: i64, target: &str| stage.0.check_as_leader(now * SECOND, &order("box", target));
    assert_eq!(at(&stage, 12, "v2"), Err(CommandOutcome::Repeated));
    assert_eq!(at(&stage, 12, "v3"), Ok(()));
    assert_eq!(at(&stage, 13, "v2"), Ok(()));
    // A node that learns of the end later is not let off earlier.
    let mut late = ControlState::new();
    late.restore(100 * SECOND, LogIndex(6), &stage.0.snapshot()).unwrap();
    assert_eq!(late.check_as_leader(109 * SECOND, &order("box", "v2")), Err(CommandOutcome::Repeated));
}

#[test]
fn a_version_on_trial_or_sent_back_is_never_the_base() {
    let mut stage = Stage::new();
    assert_eq!(stage.all(&[order("box", "v2"), seen("v2")]), [200, 200]);
    assert_eq!(stage.rollout().current_version, None);
    stage.order(&verdict(2, false));
    assert_eq!(stage.all(&[seen("v2"), seen("v1"), seen("v2")]), [200; 3]);
    assert_eq!(stage.rollout().current_version.as_deref(), Some("v1"));
    let long = "x".repeat(control_state::MAX_NAME_BYTES + 1);
    assert_eq!(stage.all(&[seen(&long), order(&long, "v"), order("box", "")]), [400; 3]);
    for n in 1..control_state::MAX_SERVICES + 9 {
        stage.order(&Command::Seen { service: format!("s{n}"), version: "v1".into() });
    }
    assert_eq!(stage.0.rollouts.len(), control_state::MAX_SERVICES);
    assert_eq!(stage.order(&order("one-more", "v2")), 409);
}

#[test]
fn nodes_agree_whatever_their_clocks_and_wherever_they_join() {
    let mut chance = oorandom(7);
    let mut commands = Vec::new();
    for n in 0..400u32 {
        let base = n / 8;
        commands.push(match chance() % 8 {
            0 | 1 => replace(base, base + 1 + chance() % 3, chance() % 4),
            2 => modify(base, base + 1 + chance() % 3),
            3 | 4 => order("box", ["v1", "v2", "v3"][chance() as usize % 3]),
            5 => seen(["v1", "v2"][chance() as usize % 2]),
            _ => verdict(2 + chance() % 12, chance() % 3 < 2),
        });
    }
    let (mut first, mut other) = (ControlState::new(), ControlState::new());
    for (at, command) in commands.iter().enumerate() {
        let index = LogIndex(1 + at as u64);
        let told = first.apply(at as i64, index, &command.encode_v1());
        assert_eq!(other.apply(-5 * at as i64, index, &command.encode_v1()), told);
        assert_eq!(first.snapshot(), other.snapshot());
        if at % 50 == 17 {
            // A new life from the state of the other node.
            other = ControlState::new();
            other.restore(1, index, &first.snapshot()).unwrap();
        }
    }
    assert!(first.configuration_version() > ConfigVersion(2) && first.rollouts["box"].build_number > 3);
}

#[test]
fn a_broken_or_older_state_is_refused_and_changes_nothing() {
    let mut stage = Stage::new();
    stage.all(&[replace(0, 5, 1), seen("v1"), order("box", "v2")]);
    stage.1 = SECOND;
    let (kept, since) = (stage.0.snapshot(), stage.rollout().state_since);
    assert_eq!(
        stage.0.restore(9, LogIndex(1), &kept),
        Err(SnapshotError::Older { snapshot_index: 1, current_index: 6 })
    );
    for end in 0..kept.len() {
        assert!(stage.0.restore(9, LogIndex(7), &kept[..end]).is_err(), "cut at {end}");
    }
    assert_eq!(
        stage.0.restore(9, LogIndex(7), &[&[9], &kept[1..]].concat()),
        Err(SnapshotError::UnsupportedFormat(9))
    );
    assert_eq!((stage.0.snapshot(), stage.0.last_applied()), (kept.clone(), LogIndex(6)));
    // What was known before is not known anew.
    stage.0.restore(9 * SECOND, LogIndex(7), &kept).unwrap();
    assert_eq!(stage.rollout().state_since, since);
}
