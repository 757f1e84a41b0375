//! The ordered state: commands of the log, and states that stand in for them.

use control_state::{Command, CommandOutcome, ControlState, SnapshotError, Timestamp};
use types::{ConfigVersion, FormatRange, FormatVersion, LogIndex};

use super::{BILL, CHANGE, mark_faults};
use crate::shapes::{frames, joined};
use crate::{Cost, Shape, Signature, Target};

/// Commands on an empty state, one a frame.
pub struct Commands;

fn some() -> Vec<Command> {
    let named = |service: &str| (service.to_owned(), "v1".to_owned());
    let (service, version) = named("s");
    vec![
        Command::Replace { base: ConfigVersion(0), text: BILL.into() },
        Command::Seen { service: service.clone(), version },
        Command::Rollout { service: service.clone(), target_version: "v2".into(), period: 9_000_000 },
        Command::Verdict { service: service.clone(), number: 2, completed: true },
        Command::Modify { base: ConfigVersion(2), text: CHANGE.into() },
        Command::Rollout { service: "t".into(), target_version: "v3".into(), period: 1 },
        Command::Verdict { service: "t".into(), number: 3, completed: false },
        Command::Rollout { service: "t".into(), target_version: "v3".into(), period: 1 },
    ]
}

/// The same as a leader writes them once form 2 is agreed: the second order of `t` comes as a repeat, and then as a new
/// wish.
fn stamped() -> Vec<Vec<u8>> {
    let agree = std::iter::once(Command::AgreeFormat { format: FormatVersion::V2 }.encode_v1());
    let again = some().into_iter().skip(7);
    let rest = some().into_iter().chain(again).enumerate().map(|(at, command)| {
        let passed = if at == 8 { 9_000_000 } else { 400_000 };
        let after = LogIndex(if at == 8 { 8 } else { at as u64 + 1 });
        command.encode(
            FormatVersion::V2,
            Timestamp { since_entry: after, elapsed: passed, repeat_window: 9_000_000 },
        )
    });
    agree.chain(rest).collect()
}

fn mark(signature: &mut Signature, outcome: &CommandOutcome) {
    signature.mark("status", u64::from(outcome.http_status()));
    match outcome {
        CommandOutcome::Invalid(faults) => mark_faults(signature, faults),
        CommandOutcome::Conflict(why) | CommandOutcome::UnknownService(why) => {
            signature.text("why", why.split(' ').next().unwrap_or(""));
        }
        CommandOutcome::Applied => signature.mark("outcome", 0),
        CommandOutcome::Repeated => signature.mark("outcome", 1),
        CommandOutcome::VersionConflict { .. } => signature.mark("outcome", 2),
        CommandOutcome::Unreadable => signature.mark("outcome", 3),
        CommandOutcome::AlreadyApplied => signature.mark("outcome", 4),
        CommandOutcome::UnsupportedFormat { .. } => signature.mark("outcome", 5),
    }
}

/// What is kept of a state makes the same state.
fn kept(script: &ControlState) {
    let state = script.snapshot();
    let mut again = ControlState::new();
    again.restore(0, script.last_applied(), &state).expect("a state that was kept is taken");
    assert_eq!(again.snapshot(), state, "it reads back the same");
}

impl Target for Commands {
    fn name(&self) -> &'static str {
        "commands"
    }

    fn shape(&self) -> Shape {
        Shape::Frames(&Shape::Packed)
    }

    fn seeds(&self) -> Vec<Vec<u8>> {
        let bytes: Vec<Vec<u8>> = some().iter().map(Command::encode_v1).collect();
        let stamped = stamped();
        vec![
            joined(&bytes),
            joined(&bytes[..3]),
            joined(&bytes[1..2]),
            joined(&stamped),
            joined(&stamped[..4]),
        ]
    }

    fn cost(&self) -> Cost {
        Cost { fixed: 3 << 20, each: 2_000 }
    }

    fn run(&mut self, input: &[u8]) -> Signature {
        let mut signature = Signature::default();
        let mut script = ControlState::new();
        let mut variants = 0u64;
        for (at, bytes) in frames(input).into_iter().take(12).enumerate() {
            let (stamp, command) = Command::decode_with_timestamp(bytes).unzip();
            let (before, agreed) = (script.snapshot(), script.agreed_format());
            let index = LogIndex(at as u64 + 1);
            let checked = command.as_ref().map(|command| script.check(command));
            let outcome = script.apply(at as i64, index, bytes);
            mark(&mut signature, &outcome);
            if let CommandOutcome::UnsupportedFormat { format: form } = outcome {
                assert!(matches!(command, Some(Command::AgreeFormat { format: told }) if told == form));
                assert!(
                    !FormatRange::SUPPORTED.contains(form) && script.snapshot() == before,
                    "nothing is applied any more"
                );
                assert_eq!(script.apply(0, LogIndex(at as u64 + 2), bytes), outcome);
                break;
            }
            assert_eq!(script.last_applied(), index, "an entry is applied once");
            assert_eq!(
                script.apply(at as i64, index, bytes),
                CommandOutcome::AlreadyApplied,
                "and never again"
            );
            if outcome != CommandOutcome::Applied {
                assert_eq!(script.snapshot(), before, "a refusal changes nothing");
            }
            let early = bytes
                .first()
                .and_then(|byte| FormatVersion::from_tag_byte(*byte))
                .is_some_and(|form| form > agreed);
            let Some(command) = command.filter(|_| !early) else {
                assert_eq!(
                    outcome,
                    CommandOutcome::Unreadable,
                    "no command, or in a form that is not agreed"
                );
                continue;
            };
            let said = Some(if outcome == CommandOutcome::Applied { Ok(()) } else { Err(outcome) });
            // How much time has passed is only in the command, and decides about orders alone.
            let timed = stamp.flatten().is_some() && matches!(command, Command::Rollout { .. });
            assert!(timed || checked == said, "{checked:?}, then {said:?}");
            let again = Command::decode(&command.encode_v1());
            assert_eq!(again.as_ref(), Some(&command), "what is read can be written");
            let stamp = stamp.flatten().unwrap_or(script.timestamp(0));
            let again = Command::decode_with_timestamp(&command.encode(FormatVersion::V2, stamp));
            assert_eq!(again, Some((Some(stamp), command)), "in both forms");
            signature.mark("stamped", u64::from(timed) << 1 | u64::from(script.agreed_format() > agreed));
            let tag = u64::from(bytes.first().copied().unwrap_or(0));
            variants = variants << 3 | tag;
            signature.mark("tag", tag);
            signature.mark("order", variants & 0o777);
        }
        signature.bucket("services", script.rollouts.len() as u64);
        kept(&script);
        signature
    }
}

/// A state that comes to a node which has one.
pub struct State {
    script: ControlState,
    state: Vec<u8>,
    /// One of form 2.
    second: Vec<u8>,
}

impl State {
    pub fn new() -> State {
        let mut script = ControlState::new();
        for (at, command) in some().iter().take(3).enumerate() {
            let outcome = script.apply(0, LogIndex(at as u64 + 1), &command.encode_v1());
            assert_eq!(outcome, CommandOutcome::Applied);
        }
        let mut second = ControlState::new();
        for (at, bytes) in stamped().iter().take(8).enumerate() {
            assert_eq!(second.apply(0, LogIndex(at as u64 + 1), bytes), CommandOutcome::Applied);
        }
        State { state: script.snapshot(), second: second.snapshot(), script }
    }
}

impl Default for State {
    fn default() -> State {
        State::new()
    }
}

impl Target for State {
    fn name(&self) -> &'static str {
        "state"
    }

    fn shape(&self) -> Shape {
        Shape::Packed
    }

    fn seeds(&self) -> Vec<Vec<u8>> {
        vec![self.state.clone(), ControlState::new().snapshot(), self.second.clone()]
    }

    fn cost(&self) -> Cost {
        Cost { fixed: 3 << 20, each: 2_000 }
    }

    fn run(&mut self, input: &[u8]) -> Signature {
        let mut signature = Signature::default();
        let mut script = self.script.clone();
        match script.restore(1, LogIndex(9), input) {
            Ok(()) => {
                signature.bucket("services", script.rollouts.len() as u64);
                signature.mark("bill", u64::from(script.configuration().is_some()));
                signature.bucket("rollouts", script.rollouts.len() as u64);
                for rollout in script.rollouts.values() {
                    signature.mark("state", rollout.state.map_or(9, |state| state as u64));
                    signature.mark("current", u64::from(rollout.current_version.is_some()));
                    signature.bucket("number", u64::from(rollout.build_number));
                }
                kept(&script);
                for (at, command) in some().into_iter().enumerate() {
                    let _ = script.check_as_leader(i64::MAX / 2, &command);
                    mark(&mut signature, &script.apply(2, LogIndex(10 + at as u64), &command.encode_v1()));
                }
                kept(&script);
            }
            Err(error) => {
                assert_eq!(script.snapshot(), self.state, "the state before stands");
                assert_eq!(script.last_applied(), self.script.last_applied());
                match &error {
                    SnapshotError::Configuration(faults) => mark_faults(&mut signature, faults),
                    other => signature.text("error", &other.to_string()),
                }
            }
        }
        signature
    }
}
