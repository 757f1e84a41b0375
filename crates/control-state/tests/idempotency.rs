//! Repeated calls under format 2 are recognized at every node, after every snapshot and under every leader.

mod shared;

use configuration::ConfigVersion;
use control_state::{Command, CommandOutcome, ControlState, RolloutState, Timestamp};
use shared::{modify, order, replace, seeded_random, seen};
use types::{FormatVersion, LogIndex, MS, Micros, SECOND};

const DAY: Micros = 24 * 3_600 * SECOND;

/// A state in which format 2 is agreed, with a first configuration.
fn state_in_format_2(now: Micros) -> ControlState {
    let mut state = ControlState::new();
    let agree = Command::AgreeFormat { format: FormatVersion::V2 };
    for command in [agree, replace(0, 1, 1)] {
        assert_eq!(apply_as_leader(&mut state, now, &command), 200);
    }
    state
}

/// Writes and applies a command as a leader does, and returns the status of its outcome, which the leader's check must
/// have predicted.
fn apply_as_leader(state: &mut ControlState, now: Micros, command: &Command) -> u16 {
    let checked = state.check_as_leader(now, command).err().unwrap_or(CommandOutcome::Applied);
    let bytes = state.encode_command(now, command);
    let outcome = state.apply(now, LogIndex(state.last_applied().0 + 1), &bytes);
    assert_eq!(checked, outcome, "{command:?}");
    outcome.http_status()
}

/// Another node that restores the state's snapshot at the local time `now`.
fn restored(state: &ControlState, now: Micros) -> ControlState {
    let mut other = ControlState::new();
    other.restore(now, state.last_applied(), &state.snapshot()).expect("a snapshot can be restored");
    assert_eq!(other.snapshot(), state.snapshot());
    other
}

fn verdict(number: u32, completed: bool) -> Command {
    Command::Verdict { service: "box".into(), number, completed }
}

#[test]
fn all_changes_of_a_day_are_on_record_and_the_records_are_bounded() {
    let mut state = state_in_format_2(0);
    // Ten days with 1,500 changes each, evenly spread.
    let (days, changes_per_day) = (10, 1_500);
    let interval = DAY / changes_per_day;
    for n in 1..=(days * changes_per_day) as u32 {
        assert_eq!(apply_as_leader(&mut state, Micros::from(n) * interval, &modify(n, n + 1)), 200);
    }
    let now = days * DAY;
    let last = (days * changes_per_day) as u32;
    let first_of_last_day = last - changes_per_day as u32 + 1;
    for state in [&mut state.clone(), &mut restored(&state, 77)] {
        assert_eq!(apply_as_leader(state, now, &modify(first_of_last_day, first_of_last_day + 1)), 200);
        let other = modify(first_of_last_day, first_of_last_day + 2);
        assert_eq!(apply_as_leader(state, now, &other), 412, "another change won on that version");
        assert_eq!(apply_as_leader(state, now, &modify(1, 2)), 412, "dropped after nine days");
        assert_eq!(state.configuration_version(), ConfigVersion(last + 1));
        assert_eq!(state.idempotency_record_counts(), (0, changes_per_day as usize + 1));
        assert!(state.snapshot().len() < 1_000 + 30 * state.idempotency_record_counts().1);
    }
    // After a quiet time the newest records stay, however old they are; in a busy hour their number is bounded.
    assert_eq!(apply_as_leader(&mut state, now + 900 * DAY, &modify(last, last + 1)), 200);
    assert_eq!(apply_as_leader(&mut state, now + 900 * DAY, &modify(last + 1, last + 2)), 200);
    assert_eq!(state.idempotency_record_counts().1, 1_024);
    for n in last + 2..last + 6_000 {
        assert_eq!(apply_as_leader(&mut state, now + 900 * DAY, &modify(n, n + 1)), 200);
    }
    assert_eq!(state.idempotency_record_counts().1, 4_096);
    assert!(state.snapshot().len() < 1_000 + 30 * 4_096, "{}", state.snapshot().len());
}

#[test]
fn a_repeat_of_an_order_is_recognized_whatever_came_after_it() {
    let mut state = state_in_format_2(0);
    let apply_at = |state: &mut ControlState, now: Micros, command: &Command| {
        apply_as_leader(state, now * SECOND, command)
    };
    assert_eq!(apply_at(&mut state, 0, &seen("v1")), 200);
    assert_eq!(apply_at(&mut state, 1, &order("box", "v2")), 200);
    assert_eq!(apply_at(&mut state, 2, &verdict(2, true)), 200);
    assert_eq!(apply_at(&mut state, 3, &order("box", "v3")), 200);
    // v2 was acknowledged and completed, v3 is in progress: a repeat of v2 is no conflict, and starts no trial later.
    assert_eq!(apply_at(&mut state, 9, &order("box", "v2")), 200);
    assert_eq!(apply_at(&mut state, 9, &order("box", "v4")), 409, "it is a new order");
    assert_eq!(apply_at(&mut state, 9, &verdict(3, false)), 200);
    assert_eq!(apply_at(&mut state, 10, &order("box", "v2")), 200);
    assert_eq!(apply_at(&mut state, 10, &order("box", "v3")), 200, "it was reverted and is not tried again");
    assert_eq!(
        (state.rollouts["box"].build_number, state.rollouts["box"].state),
        (3, Some(RolloutState::Reverted))
    );
    // Restoring a snapshot neither restarts nor ends the repeat window: it is measured by the replicated clock, which
    // stands at 10 s here.
    let mut late = restored(&state, 500 * SECOND);
    assert_eq!(apply_at(&mut late, 502, &order("box", "v3")), 200);
    assert_eq!(late.rollouts["box"].build_number, 3);
    assert_eq!(apply_at(&mut late, 504, &order("box", "v3")), 200);
    assert_eq!(late.rollouts["box"].build_number, 4, "after the repeat window it is a new order");
    assert_eq!(apply_at(&mut state, 13, &order("box", "v3")), 200);
    assert_eq!(state.rollouts["box"].build_number, 4);
    // An order for a version that was in progress already is recorded too: its repeat starts no trial after the other
    // one has ended.
    let longer_order =
        Command::Rollout { service: "box".into(), target_version: "v3".into(), period: 99 * SECOND };
    assert_eq!(apply_at(&mut state, 14, &longer_order), 200);
    assert_eq!(apply_at(&mut state, 15, &verdict(4, false)), 200);
    assert_eq!(apply_at(&mut state, 23, &longer_order), 200);
    assert_eq!(state.rollouts["box"].state, Some(RolloutState::Reverted));
}

#[test]
fn the_repeat_window_and_the_elapsed_time_are_those_that_the_leader_wrote() {
    let (mut state, mut other) = (state_in_format_2(0), state_in_format_2(-3 * SECOND));
    state.set_acknowledgement_timeout(2 * SECOND);
    let timestamp = |since_entry: u64, elapsed_s: Micros, window_s: Micros| Timestamp {
        since_entry: LogIndex(since_entry),
        elapsed: elapsed_s * SECOND,
        repeat_window: window_s * SECOND,
    };
    let mut apply_at_both = |now: Micros, timestamp: Timestamp, command: &Command| {
        let bytes = command.encode(FormatVersion::V2, timestamp);
        let index = LogIndex(state.last_applied().0 + 1);
        let outcome = state.apply(now, index, &bytes);
        assert_eq!(other.apply(7 * now + 5, index, &bytes), outcome);
        assert_eq!(state.snapshot(), other.snapshot());
        (outcome.http_status(), state.rollouts.get("box").map_or(0, |rollout| rollout.build_number))
    };
    assert_eq!(apply_at_both(1, timestamp(2, 5, 4), &order("box", "v2")), (200, 2));
    assert_eq!(apply_at_both(2, timestamp(3, 1, 4), &verdict(2, false)), (200, 2));
    // Written by a leader that had not applied all entries before it: the time since then is unknown, so the clock does
    // not advance.
    assert_eq!(apply_at_both(3, timestamp(3, 90, 4), &order("box", "v2")), (200, 2));
    assert_eq!(apply_at_both(4, timestamp(4, 3, 5), &order("box", "v2")), (200, 2));
    assert_eq!(apply_at_both(5, timestamp(4, 3, 4), &order("box", "v2")), (200, 3));
    assert_eq!(apply_at_both(6, timestamp(7, 1, 4), &verdict(3, false)), (200, 3));
    // A command in format 1 has no timestamp and is still read: the clock does not advance, and the default repeat
    // window applies.
    let bytes = order("box", "v2").encode_v1();
    assert_eq!(state.apply(0, LogIndex(20), &bytes), CommandOutcome::Repeated);
    for invalid in
        [timestamp(8, -1, 4), timestamp(8, 1, -1), timestamp(8, i64::MAX / SECOND, 4), timestamp(8, 1, 3_600)]
    {
        let bytes = seen("v1").encode(FormatVersion::V2, invalid);
        assert_eq!(Command::decode(&bytes), None);
    }
    assert_eq!(
        state.timestamp(0).repeat_window,
        4 * SECOND,
        "applied commands do not change the node's own setting"
    );
}

/// Parses a fixture: each command with the status that it came to, and the snapshot after all of them.
fn parse_fixture(fixture: &str) -> (Vec<(u16, Vec<u8>)>, Vec<u8>) {
    let bytes = |digits: &str| -> Vec<u8> {
        let byte = |at: usize| u8::from_str_radix(&digits[at..at + 2], 16).expect("two digits");
        (0..digits.len()).step_by(2).map(byte).collect()
    };
    let mut commands = Vec::new();
    for line in fixture.lines().filter(|line| !line.starts_with('#')) {
        match line.split_once(' ').expect("two words") {
            ("state", state) => return (commands, bytes(state)),
            (status, command) => commands.push((status.parse().expect("a status"), bytes(command))),
        }
    }
    panic!("the fixture ends with a snapshot");
}

/// The state after the fixture's log, and the one restored from its snapshot. Both must be the same, and commands and
/// snapshot must be encoded again to the same bytes.
fn replay_fixture(fixture: &str) -> [ControlState; 2] {
    let (log, snapshot) = parse_fixture(fixture);
    let mut state = ControlState::new();
    for (position, (status, bytes)) in log.iter().enumerate() {
        assert_eq!(state.apply(0, LogIndex(position as u64 + 1), bytes).http_status(), *status);
        let (timestamp, command) = Command::decode_with_timestamp(bytes).expect("a command");
        let re_encoded =
            timestamp.map_or(command.encode_v1(), |timestamp| command.encode(FormatVersion::V2, timestamp));
        assert_eq!(&re_encoded, bytes);
    }
    assert_eq!(state.snapshot(), snapshot);
    let mut from_snapshot = ControlState::new();
    from_snapshot.restore(9, state.last_applied(), &snapshot).expect("a snapshot can be restored");
    assert_eq!(from_snapshot.snapshot(), snapshot);
    [state, from_snapshot]
}

#[test]
fn format_2_does_not_change() {
    for mut state in replay_fixture(include_str!("fixtures/form2.txt")) {
        let repeats = [replace(0, 5, 1), modify(5, 7), replace(0, 6, 2), order("box", "v2")];
        assert_eq!(repeats.map(|command| apply_as_leader(&mut state, 12, &command)), [200, 200, 412, 200]);
        assert_eq!(state.rollouts["box"].build_number, 3);
    }
}

#[test]
fn what_0_5_0_wrote_in_format_1_is_read_and_carried_on_in_format_2() {
    for mut state in replay_fixture(include_str!("fixtures/form1.txt")) {
        assert_eq!(
            apply_as_leader(&mut state, SECOND, &Command::AgreeFormat { format: FormatVersion::V2 }),
            200
        );
        assert_eq!((state.snapshot()[0], state.idempotency_record_counts()), (2, (64, 0)));
        // Changes of either format are recognized when they are repeated.
        assert_eq!(apply_as_leader(&mut state, 2 * SECOND, &modify(71, 72)), 200);
        let repeats = [modify(8, 9), modify(70, 71), modify(71, 72), modify(7, 9), modify(71, 73)];
        for mut state in [restored(&state, 50 * SECOND), state.clone()] {
            let answers = repeats.clone().map(|command| apply_as_leader(&mut state, 60 * SECOND, &command));
            assert_eq!(answers, [200, 200, 200, 412, 412]);
            assert_eq!(state.configuration_version(), ConfigVersion(72));
        }
        // The roll-out in progress goes on: its repeat is recognized, and its verdict is applied.
        let answers = [order("box", "v4"), verdict(4, true), order("box", "v4")]
            .map(|command| apply_as_leader(&mut state, 61 * SECOND, &command));
        assert_eq!((answers, state.build_number_of("box", "v4")), ([200; 3], Some(4)));
        // The records of format 1 are dropped once the newer records cover their whole lifetime.
        for n in 72..1_100 {
            assert_eq!(apply_as_leader(&mut state, 61 * SECOND, &modify(n, n + 1)), 200);
        }
        assert_eq!(state.idempotency_record_counts(), (64, 1_029));
        assert_eq!(apply_as_leader(&mut state, 2 * DAY, &modify(1_100, 1_101)), 200);
        assert_eq!(state.idempotency_record_counts(), (0, 1_024));
    }
}

#[test]
fn an_order_reverted_under_format_1_is_recognized_under_format_2() {
    let mut state = ControlState::new();
    let agree = Command::AgreeFormat { format: FormatVersion::V2 };
    for command in [replace(0, 1, 1), seen("v1"), order("box", "v2"), verdict(2, false), agree] {
        assert_eq!(apply_as_leader(&mut state, SECOND, &command), 200);
    }
    assert_eq!(apply_as_leader(&mut state, 10 * SECOND, &order("box", "v2")), 200);
    assert_eq!(state.rollouts["box"].build_number, 2, "a repeat");
    assert_eq!(apply_as_leader(&mut state, 12 * SECOND, &order("box", "v2")), 200);
    assert_eq!(state.rollouts["box"].build_number, 3, "a new order");
}

/// A call that is repeated unchanged until there is a clear answer, and sometimes after that.
struct CallRecord {
    command: Command,
    first_sent: Micros,
    /// Status of the first answer that the caller received.
    answer: Option<u16>,
    /// How many trials the call started.
    trials: u32,
}

/// A random history of one log and three nodes with clocks of their own: leaders change, calls race and are repeated.
/// The worst that leaders, callers and operators may do happens at random; violations of the guarantees are collected.
struct SimulatedHistory {
    random: Box<dyn FnMut() -> u32>,
    now: Micros,
    /// Each with the offset of its local clock.
    nodes: Vec<(ControlState, Micros)>,
    leader: usize,
    log: Vec<Vec<u8>>,
    /// Entries in the leader's log that are not committed: the index of the call that waits, and the bytes.
    uncommitted: Vec<(usize, Vec<u8>)>,
    calls: Vec<CallRecord>,
    violations: Vec<String>,
    /// Build number of the last trial.
    last_build_number: u32,
}

impl SimulatedHistory {
    /// Runs `steps` random events. `ack_timeout` is the nodes' setting `AckS`; callers always use 5 s.
    fn simulate(seed: u64, format: FormatVersion, ack_timeout: Micros, steps: usize) -> SimulatedHistory {
        let mut random: Box<dyn FnMut() -> u32> = Box::new(seeded_random(seed));
        let mut nodes: Vec<(ControlState, Micros)> =
            (0..3).map(|_| (ControlState::new(), Micros::from(random()))).collect();
        nodes.iter_mut().for_each(|(state, _)| state.set_acknowledgement_timeout(ack_timeout));
        let (calls, violations) = (Vec::new(), Vec::new());
        let mut history = SimulatedHistory {
            random,
            now: 0,
            nodes,
            leader: 0,
            log: Vec::new(),
            uncommitted: Vec::new(),
            calls,
            violations,
            last_build_number: 0,
        };
        let agree = Command::AgreeFormat { format };
        for command in [replace(0, 1, 1), seen("v0"), agree] {
            let bytes = history.nodes[0].0.encode_command(0, &command);
            history.uncommitted.push((usize::MAX, bytes));
            history.commit_all();
        }
        for _ in 0..steps {
            history.step();
        }
        history
    }

    fn draw(&mut self, below: u32) -> u32 {
        (self.random)() % below
    }

    /// Commits the leader's entries. Some callers do not receive the answer.
    fn commit_all(&mut self) {
        for (call, bytes) in std::mem::take(&mut self.uncommitted) {
            self.log.push(bytes);
            let outcome = self.catch_up(self.leader, self.log.len());
            let build_number =
                self.nodes[self.leader].0.rollouts.get("box").map_or(0, |rollout| rollout.build_number);
            if build_number > self.last_build_number {
                self.last_build_number = build_number;
                self.calls[call].trials += 1;
            }
            if call < self.calls.len() && self.draw(3) > 0 {
                self.record_answer(call, outcome.expect("the entry was not applied before").http_status());
            }
        }
    }

    /// Applies committed entries up to `end` at a node and returns the last outcome.
    fn catch_up(&mut self, node: usize, end: usize) -> Option<CommandOutcome> {
        let (state, clock_offset) = &mut self.nodes[node];
        let mut last = None;
        for at in state.last_applied().0 as usize..end {
            last = Some(state.apply(self.now + *clock_offset, LogIndex(at as u64 + 1), &self.log[at]));
        }
        last
    }

    /// The caller receives an answer, which must not contradict the first one.
    fn record_answer(&mut self, call: usize, status: u16) {
        let call_record = &mut self.calls[call];
        let first_answer = *call_record.answer.get_or_insert(status);
        // A 409 ends the call of an order; the caller makes a new call then.
        if first_answer == 200 && status != 200 || status == 200 && [400, 412].contains(&first_answer) {
            self.violations
                .push(format!("call {call}: {first_answer}, then {status}: {:?}", call_record.command));
        }
    }

    /// A call arrives at the leader, which has applied all committed entries.
    fn call_arrives(&mut self, call: usize) {
        self.catch_up(self.leader, self.log.len());
        let (state, clock_offset) = &self.nodes[self.leader];
        let (command, now) = (&self.calls[call].command, self.now + clock_offset);
        match state.check_as_leader(now, command) {
            Ok(()) => {
                let bytes = state.encode_command(now, command);
                self.uncommitted.push((call, bytes));
            }
            Err(outcome) if self.draw(3) > 0 => self.record_answer(call, outcome.http_status()),
            Err(_) => {}
        }
    }

    /// One random event.
    fn step(&mut self) {
        self.now += Micros::from(self.draw(300)) * MS;
        let (leader, call_count) = (self.leader, self.calls.len());
        match self.draw(16) {
            0 | 1 => {
                let (state, _) = &self.nodes[leader];
                let base = state.configuration_version().0;
                // Few different texts, so that two operators often send the same one.
                let version = base + 1 + self.draw(2);
                let weight = 1 + self.draw(2);
                let command =
                    if weight == 1 { modify(base, version) } else { replace(base, version, weight) };
                self.calls.push(CallRecord { command, first_sent: self.now, answer: None, trials: 0 });
                self.call_arrives(call_count);
            }
            2 => {
                // Each order has a period of its own, since two equal orders could not be told apart here either.
                let target_version = ["v1", "v2", "v3"][self.draw(3) as usize].into();
                let command = Command::Rollout {
                    service: "box".into(),
                    target_version,
                    period: 1 + call_count as Micros,
                };
                self.calls.push(CallRecord { command, first_sent: self.now, answer: None, trials: 0 });
                self.call_arrives(call_count);
            }
            3 | 4 => {
                let build_number =
                    self.nodes[leader].0.rollouts.get("box").map_or(0, |rollout| rollout.build_number);
                let (state, clock_offset) = &self.nodes[leader];
                let bytes = state.encode_command(
                    self.now + clock_offset,
                    &verdict(build_number, build_number.is_multiple_of(3)),
                );
                self.uncommitted.push((usize::MAX, bytes));
            }
            5..=9 if call_count > 0 => {
                // A repeat, mostly of one of the last calls. Orders are not repeated for longer than `AckS`.
                let choices = if self.draw(8) == 0 { call_count as u32 } else { 8.min(call_count as u32) };
                let call = call_count - 1 - self.draw(choices) as usize;
                let call_record = &self.calls[call];
                let is_configuration = !matches!(call_record.command, Command::Rollout { .. });
                if is_configuration
                    || self.now - call_record.first_sent <= 5 * SECOND && call_record.answer != Some(409)
                {
                    self.call_arrives(call);
                }
            }
            10 => {
                // The leader fails. The next one has some of its uncommitted entries, or none.
                let kept = self.draw(self.uncommitted.len() as u32 + 1) as usize;
                self.uncommitted.truncate(kept);
                let surviving = std::mem::take(&mut self.uncommitted);
                self.now += Micros::from(self.draw(4)) * SECOND;
                self.leader = self.draw(3) as usize;
                self.catch_up(self.leader, self.log.len());
                self.uncommitted = surviving;
                self.commit_all();
            }
            11 => {
                // A node is restarted from the snapshot of another.
                let (from, to) = (self.draw(3) as usize, self.draw(3) as usize);
                if to != leader && self.nodes[from].0.last_applied() >= self.nodes[to].0.last_applied() {
                    let clock_offset = Micros::from((self.random)());
                    let mut state = restored(&self.nodes[from].0, self.now + clock_offset);
                    state.set_acknowledgement_timeout(5 * SECOND);
                    self.nodes[to] = (state, clock_offset);
                }
            }
            12 => {
                let node = self.draw(3) as usize;
                self.catch_up(node, self.log.len());
                let (follower_state, leader_state) = (&self.nodes[node].0, &self.nodes[leader].0);
                if follower_state.last_applied() == leader_state.last_applied()
                    && follower_state.snapshot() != leader_state.snapshot()
                {
                    self.violations.push(format!("node {node} has another state than the leader"));
                }
            }
            _ => self.commit_all(),
        }
    }

    /// All violations of the guarantees.
    fn violations_found(mut self) -> Vec<String> {
        let mut confirmed_by_base: std::collections::BTreeMap<u32, &Command> =
            std::collections::BTreeMap::new();
        for call in &self.calls {
            if call.trials > 1 {
                self.violations.push(format!("{:?} was tried {} times", call.command, call.trials));
            }
            let (Command::Replace { base, .. } | Command::Modify { base, .. }) = &call.command else {
                continue;
            };
            if call.answer == Some(200)
                && *confirmed_by_base.entry(base.0).or_insert(&call.command) != &call.command
            {
                self.violations.push(format!("two changes were confirmed on {base}"));
            }
        }
        self.violations
    }
}

#[test]
fn in_random_histories_one_change_wins_and_its_repeats_are_recognized() {
    let mut confirmed = 0;
    for seed in 0..200 {
        let history = SimulatedHistory::simulate(seed, FormatVersion::V2, 5 * SECOND, 700);
        confirmed += history.calls.iter().filter(|call| call.answer == Some(200)).count();
        assert_eq!(history.violations_found(), Vec::<String>::new(), "seed {seed}");
    }
    assert!(confirmed > 200 * 60, "{confirmed}");
}

#[test]
fn random_histories_find_too_short_a_repeat_window_and_the_gaps_of_format_1() {
    let violations = |format, ack_timeout| {
        (0..20)
            .flat_map(|seed| SimulatedHistory::simulate(seed, format, ack_timeout, 2_000).violations_found())
            .collect::<String>()
    };
    assert!(violations(FormatVersion::V2, 0).contains("was tried 2 times"));
    let in_format_1 = violations(FormatVersion::V1, 5 * SECOND);
    assert!(in_format_1.contains("200, then 412") && in_format_1.contains("200, then 409"), "{in_format_1}");
}
