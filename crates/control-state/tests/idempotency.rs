//! Repeats under form 2: what was taken is known for what it is, at every node, from every state, under every leader.

mod shared;

use configuration::ConfigVersion;
use control_state::{Command, CommandOutcome, ControlState, RolloutState, Timestamp};
use shared::{modify, oorandom, order, replace, seen};
use types::{FormatVersion, LogIndex, MS, Micros, SECOND};

const DAY: Micros = 24 * 3_600 * SECOND;

/// A state that has form 2, with a first configuration.
fn begun(now: Micros) -> ControlState {
    let mut script = ControlState::new();
    let agree = Command::AgreeFormat { format: FormatVersion::V2 };
    for command in [agree, replace(0, 1, 1)] {
        assert_eq!(lead(&mut script, now, &command), 200);
    }
    script
}

/// As a leader orders a command now; what it checked before is what it comes to.
fn lead(script: &mut ControlState, now: Micros, command: &Command) -> u16 {
    let said = script.check_as_leader(now, command).err().unwrap_or(CommandOutcome::Applied);
    let bytes = script.encode_command(now, command);
    let outcome = script.apply(now, LogIndex(script.last_applied().0 + 1), &bytes);
    assert_eq!(said, outcome, "{command:?}");
    outcome.http_status()
}

fn restored(script: &ControlState, now: Micros) -> ControlState {
    let mut other = ControlState::new();
    other.restore(now, script.last_applied(), &script.snapshot()).expect("a state that is kept can be read");
    assert_eq!(other.snapshot(), script.snapshot());
    other
}

fn verdict(number: u32, completed: bool) -> Command {
    Command::Verdict { service: "box".into(), number, completed }
}

#[test]
fn all_changes_of_a_day_are_known_and_the_memory_is_bounded() {
    let mut script = begun(0);
    // Ten days of 1,500 changes each, evenly.
    let (days, each) = (10, 1_500);
    let every = DAY / each;
    for n in 1..=(days * each) as u32 {
        assert_eq!(lead(&mut script, Micros::from(n) * every, &modify(n, n + 1)), 200);
    }
    let now = days * DAY;
    let last = (days * each) as u32;
    let first_of_the_day = last - each as u32 + 1;
    for script in [&mut script.clone(), &mut restored(&script, 77)] {
        assert_eq!(lead(script, now, &modify(first_of_the_day, first_of_the_day + 1)), 200);
        let other = modify(first_of_the_day, first_of_the_day + 2);
        assert_eq!(lead(script, now, &other), 412, "another one won on that version");
        assert_eq!(lead(script, now, &modify(1, 2)), 412, "forgotten after nine days");
        assert_eq!(script.configuration_version(), ConfigVersion(last + 1));
        assert_eq!(script.idempotency_record_counts(), (0, each as usize + 1));
        assert!(script.snapshot().len() < 1_000 + 30 * script.idempotency_record_counts().1);
    }
    // In a quiet time some stay, the newest first of all, however old; in a busy hour there is a bound.
    assert_eq!(lead(&mut script, now + 900 * DAY, &modify(last, last + 1)), 200);
    assert_eq!(lead(&mut script, now + 900 * DAY, &modify(last + 1, last + 2)), 200);
    assert_eq!(script.idempotency_record_counts().1, 1_024);
    for n in last + 2..last + 6_000 {
        assert_eq!(lead(&mut script, now + 900 * DAY, &modify(n, n + 1)), 200);
    }
    assert_eq!(script.idempotency_record_counts().1, 4_096);
    assert!(script.snapshot().len() < 1_000 + 30 * 4_096, "{}", script.snapshot().len());
}

#[test]
fn a_repeat_of_an_order_is_known_whatever_came_after_it() {
    let mut script = begun(0);
    let at = |script: &mut ControlState, now: Micros, command: &Command| lead(script, now * SECOND, command);
    assert_eq!(at(&mut script, 0, &seen("v1")), 200);
    assert_eq!(at(&mut script, 1, &order("box", "v2")), 200);
    assert_eq!(at(&mut script, 2, &verdict(2, true)), 200);
    assert_eq!(at(&mut script, 3, &order("box", "v3")), 200);
    // v2 was acknowledged and completed; v3 is under way. No conflict, and no trial afterwards.
    assert_eq!(at(&mut script, 9, &order("box", "v2")), 200);
    assert_eq!(at(&mut script, 9, &order("box", "v4")), 409, "it is a new wish");
    assert_eq!(at(&mut script, 9, &verdict(3, false)), 200);
    assert_eq!(at(&mut script, 10, &order("box", "v2")), 200);
    assert_eq!(at(&mut script, 10, &order("box", "v3")), 200, "it was sent back, and is not tried again");
    assert_eq!(
        (script.rollouts["box"].build_number, script.rollouts["box"].state),
        (3, Some(RolloutState::Reverted))
    );
    // A state that is restored elsewhere does not begin the guard anew for ever, nor end it: the clock that it goes by
    // is that of the state, here 10 s.
    let mut late = restored(&script, 500 * SECOND);
    assert_eq!(at(&mut late, 502, &order("box", "v3")), 200);
    assert_eq!(late.rollouts["box"].build_number, 3);
    assert_eq!(at(&mut late, 504, &order("box", "v3")), 200);
    assert_eq!(late.rollouts["box"].build_number, 4, "beyond the guard it is a new wish");
    assert_eq!(at(&mut script, 13, &order("box", "v3")), 200);
    assert_eq!(script.rollouts["box"].build_number, 4);
    // One that found its wish under way is noted too: its repeat does not outlive the other's end.
    let longer = Command::Rollout { service: "box".into(), target_version: "v3".into(), period: 99 * SECOND };
    assert_eq!(at(&mut script, 14, &longer), 200);
    assert_eq!(at(&mut script, 15, &verdict(4, false)), 200);
    assert_eq!(at(&mut script, 23, &longer), 200);
    assert_eq!(script.rollouts["box"].state, Some(RolloutState::Reverted));
}

#[test]
fn the_guard_and_the_time_that_passed_are_as_the_leader_wrote_them() {
    let (mut script, mut other) = (begun(0), begun(-3 * SECOND));
    script.set_acknowledgement_timeout(2 * SECOND);
    let stamp = |after: u64, passed: Micros, guard: Micros| Timestamp {
        since_entry: LogIndex(after),
        elapsed: passed * SECOND,
        repeat_window: guard * SECOND,
    };
    let mut both = |now: Micros, stamp: Timestamp, command: &Command| {
        let bytes = command.encode(FormatVersion::V2, stamp);
        let index = LogIndex(script.last_applied().0 + 1);
        let outcome = script.apply(now, index, &bytes);
        assert_eq!(other.apply(7 * now + 5, index, &bytes), outcome);
        assert_eq!(script.snapshot(), other.snapshot());
        (outcome.http_status(), script.rollouts.get("box").map_or(0, |rollout| rollout.build_number))
    };
    assert_eq!(both(1, stamp(2, 5, 4), &order("box", "v2")), (200, 2));
    assert_eq!(both(2, stamp(3, 1, 4), &verdict(2, false)), (200, 2));
    // Written by one that had not applied all before it: how long ago that was is not known, so no time has passed.
    assert_eq!(both(3, stamp(3, 90, 4), &order("box", "v2")), (200, 2));
    assert_eq!(both(4, stamp(4, 3, 5), &order("box", "v2")), (200, 2));
    assert_eq!(both(5, stamp(4, 3, 4), &order("box", "v2")), (200, 3));
    assert_eq!(both(6, stamp(7, 1, 4), &verdict(3, false)), (200, 3));
    // In form 1, without a stamp, still read: no time has passed, and the usual guard holds.
    let bytes = order("box", "v2").encode_v1();
    assert_eq!(script.apply(0, LogIndex(20), &bytes), CommandOutcome::Repeated);
    for wrong in [stamp(8, -1, 4), stamp(8, 1, -1), stamp(8, i64::MAX / SECOND, 4), stamp(8, 1, 3_600)] {
        let bytes = seen("v1").encode(FormatVersion::V2, wrong);
        assert_eq!(Command::decode(&bytes), None);
    }
    assert_eq!(
        script.timestamp(0).repeat_window,
        4 * SECOND,
        "what is applied does not move the own settings"
    );
}

/// What was written once: each command with the status that it came to, and the state after all.
fn written(fixture: &str) -> (Vec<(u16, Vec<u8>)>, Vec<u8>) {
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
    panic!("there is a state at the end");
}

/// The state after a log, and the one that was kept: both are the same, and are written alike again.
fn played(fixture: &str) -> [ControlState; 2] {
    let (log, state) = written(fixture);
    let mut script = ControlState::new();
    for (at, (status, bytes)) in log.iter().enumerate() {
        assert_eq!(script.apply(0, LogIndex(at as u64 + 1), bytes).http_status(), *status);
        let (stamp, command) = Command::decode_with_timestamp(bytes).expect("a command");
        let again = stamp.map_or(command.encode_v1(), |stamp| command.encode(FormatVersion::V2, stamp));
        assert_eq!(&again, bytes);
    }
    assert_eq!(script.snapshot(), state);
    let mut from_state = ControlState::new();
    from_state.restore(9, script.last_applied(), &state).expect("it is read");
    assert_eq!(from_state.snapshot(), state);
    [script, from_state]
}

#[test]
fn form_2_stays_as_it_is() {
    for mut script in played(include_str!("fixtures/form2.txt")) {
        let repeats = [replace(0, 5, 1), modify(5, 7), replace(0, 6, 2), order("box", "v2")];
        assert_eq!(repeats.map(|command| lead(&mut script, 12, &command)), [200, 200, 412, 200]);
        assert_eq!(script.rollouts["box"].build_number, 3);
    }
}

#[test]
fn what_the_version_before_wrote_is_read_and_goes_on_in_the_next_form() {
    for mut script in played(include_str!("fixtures/form1.txt")) {
        assert_eq!(lead(&mut script, SECOND, &Command::AgreeFormat { format: FormatVersion::V2 }), 200);
        assert_eq!((script.snapshot()[0], script.idempotency_record_counts()), (2, (64, 0)));
        // Taken before and after, in the order's two forms: repeats are known on both sides.
        assert_eq!(lead(&mut script, 2 * SECOND, &modify(71, 72)), 200);
        let repeats = [modify(8, 9), modify(70, 71), modify(71, 72), modify(7, 9), modify(71, 73)];
        for mut script in [restored(&script, 50 * SECOND), script.clone()] {
            let told = repeats.clone().map(|command| lead(&mut script, 60 * SECOND, &command));
            assert_eq!(told, [200, 200, 200, 412, 412]);
            assert_eq!(script.configuration_version(), ConfigVersion(72));
        }
        // The roll-out under way goes on, with its repeat and its end.
        let told = [order("box", "v4"), verdict(4, true), order("box", "v4")]
            .map(|command| lead(&mut script, 61 * SECOND, &command));
        assert_eq!((told, script.build_number_of("box", "v4")), ([200; 3], Some(4)));
        // What form 1 knew goes once as much is known of later times as the memory promises.
        for n in 72..1_100 {
            assert_eq!(lead(&mut script, 61 * SECOND, &modify(n, n + 1)), 200);
        }
        assert_eq!(script.idempotency_record_counts(), (64, 1_029));
        assert_eq!(lead(&mut script, 2 * DAY, &modify(1_100, 1_101)), 200);
        assert_eq!(script.idempotency_record_counts(), (0, 1_024));
    }
}

#[test]
fn an_order_taken_and_reverted_before_the_form_is_raised_is_known_after_it() {
    let mut script = ControlState::new();
    let agree = Command::AgreeFormat { format: FormatVersion::V2 };
    for command in [replace(0, 1, 1), seen("v1"), order("box", "v2"), verdict(2, false), agree] {
        assert_eq!(lead(&mut script, SECOND, &command), 200);
    }
    assert_eq!(lead(&mut script, 10 * SECOND, &order("box", "v2")), 200);
    assert_eq!(script.rollouts["box"].build_number, 2, "a repeat");
    assert_eq!(lead(&mut script, 12 * SECOND, &order("box", "v2")), 200);
    assert_eq!(script.rollouts["box"].build_number, 3, "a new wish");
}

/// A change that somebody wants, sent as it is until there is a clear answer, and at times after that.
struct Call {
    command: Command,
    first: Micros,
    told: Option<u16>,
    trials: u32,
}

/// One log, a few nodes with clocks of their own, a leader that changes: callers, races and repeats as drawn. What
/// leaders, callers and operators may do at worst is done by chance; what is promised is looked at after each step.
struct History {
    chance: Box<dyn FnMut() -> u32>,
    now: Micros,
    nodes: Vec<(ControlState, Micros)>,
    leader: usize,
    log: Vec<Vec<u8>>,
    /// In the leader's log and not committed: who waits for it, and the bytes.
    tail: Vec<(usize, Vec<u8>)>,
    calls: Vec<Call>,
    broken: Vec<String>,
    trials: u32,
}

impl History {
    fn played(seed: u64, form: FormatVersion, ack: Micros, steps: usize) -> History {
        let mut chance: Box<dyn FnMut() -> u32> = Box::new(oorandom(seed));
        let mut nodes: Vec<(ControlState, Micros)> =
            (0..3).map(|_| (ControlState::new(), Micros::from(chance()))).collect();
        nodes.iter_mut().for_each(|(script, _)| script.set_acknowledgement_timeout(ack));
        let (calls, broken) = (Vec::new(), Vec::new());
        let mut history = History {
            chance,
            now: 0,
            nodes,
            leader: 0,
            log: Vec::new(),
            tail: Vec::new(),
            calls,
            broken,
            trials: 0,
        };
        let agree = Command::AgreeFormat { format: form };
        for command in [replace(0, 1, 1), seen("v0"), agree] {
            let bytes = history.nodes[0].0.encode_command(0, &command);
            history.tail.push((usize::MAX, bytes));
            history.commit_all();
        }
        for _ in 0..steps {
            history.step();
        }
        history
    }

    fn draw(&mut self, below: u32) -> u32 {
        (self.chance)() % below
    }

    /// The leader commits what it has, and learns what came of it.
    fn commit_all(&mut self) {
        for (call, bytes) in std::mem::take(&mut self.tail) {
            self.log.push(bytes);
            let outcome = self.catch_up(self.leader, self.log.len());
            let number =
                self.nodes[self.leader].0.rollouts.get("box").map_or(0, |rollout| rollout.build_number);
            if number > self.trials {
                self.trials = number;
                self.calls[call].trials += 1;
            }
            if call < self.calls.len() && self.draw(3) > 0 {
                self.told(call, outcome.expect("it is new").http_status());
            }
        }
    }

    fn catch_up(&mut self, node: usize, upto: usize) -> Option<CommandOutcome> {
        let (script, skew) = &mut self.nodes[node];
        let mut last = None;
        for at in script.last_applied().0 as usize..upto {
            last = Some(script.apply(self.now + *skew, LogIndex(at as u64 + 1), &self.log[at]));
        }
        last
    }

    fn told(&mut self, call: usize, status: u16) {
        let one = &mut self.calls[call];
        let known = *one.told.get_or_insert(status);
        // A 409 of an order ends its call; who calls anew asks again what stands.
        if known == 200 && status != 200 || status == 200 && [400, 412].contains(&known) {
            self.broken.push(format!("call {call}: {known}, then {status}: {:?}", one.command));
        }
    }

    /// A call comes to the leader, which has applied all that was committed.
    fn comes(&mut self, call: usize) {
        self.catch_up(self.leader, self.log.len());
        let (script, skew) = &self.nodes[self.leader];
        let (command, now) = (&self.calls[call].command, self.now + skew);
        match script.check_as_leader(now, command) {
            Ok(()) => {
                let bytes = script.encode_command(now, command);
                self.tail.push((call, bytes));
            }
            Err(outcome) if self.draw(3) > 0 => self.told(call, outcome.http_status()),
            Err(_) => {}
        }
    }

    fn step(&mut self) {
        self.now += Micros::from(self.draw(300)) * MS;
        let (leader, count) = (self.leader, self.calls.len());
        match self.draw(16) {
            0 | 1 => {
                let (script, _) = &self.nodes[leader];
                let base = script.configuration_version().0;
                // One of two operators; few texts, so that they meet.
                let version = base + 1 + self.draw(2);
                let weight = 1 + self.draw(2);
                let command =
                    if weight == 1 { modify(base, version) } else { replace(base, version, weight) };
                self.calls.push(Call { command, first: self.now, told: None, trials: 0 });
                self.comes(count);
            }
            2 => {
                // Each order has a period of its own: what is alike can't be told apart, here neither.
                let target = ["v1", "v2", "v3"][self.draw(3) as usize].into();
                let command = Command::Rollout {
                    service: "box".into(),
                    target_version: target,
                    period: 1 + count as Micros,
                };
                self.calls.push(Call { command, first: self.now, told: None, trials: 0 });
                self.comes(count);
            }
            3 | 4 => {
                let number =
                    self.nodes[leader].0.rollouts.get("box").map_or(0, |rollout| rollout.build_number);
                let (script, skew) = &self.nodes[leader];
                let bytes =
                    script.encode_command(self.now + skew, &verdict(number, number.is_multiple_of(3)));
                self.tail.push((usize::MAX, bytes));
            }
            5..=9 if count > 0 => {
                // A repeat: of one of the last, mostly. Orders are not repeated for longer than `AckS`.
                let back = if self.draw(8) == 0 { count as u32 } else { 8.min(count as u32) };
                let call = count - 1 - self.draw(back) as usize;
                let one = &self.calls[call];
                let configuration = !matches!(one.command, Command::Rollout { .. });
                if configuration || self.now - one.first <= 5 * SECOND && one.told != Some(409) {
                    self.comes(call);
                }
            }
            10 => {
                // The leader dies. Of what it had not committed the next one has a part, or nothing.
                let kept = self.draw(self.tail.len() as u32 + 1) as usize;
                self.tail.truncate(kept);
                let waits = std::mem::take(&mut self.tail);
                self.now += Micros::from(self.draw(4)) * SECOND;
                self.leader = self.draw(3) as usize;
                self.catch_up(self.leader, self.log.len());
                self.tail = waits;
                self.commit_all();
            }
            11 => {
                // A node begins anew from another's state.
                let (from, to) = (self.draw(3) as usize, self.draw(3) as usize);
                if to != leader && self.nodes[from].0.last_applied() >= self.nodes[to].0.last_applied() {
                    let skew = Micros::from((self.chance)());
                    let mut script = restored(&self.nodes[from].0, self.now + skew);
                    script.set_acknowledgement_timeout(5 * SECOND);
                    self.nodes[to] = (script, skew);
                }
            }
            12 => {
                let node = self.draw(3) as usize;
                self.catch_up(node, self.log.len());
                let (one, other) = (&self.nodes[node].0, &self.nodes[leader].0);
                if one.last_applied() == other.last_applied() && one.snapshot() != other.snapshot() {
                    self.broken.push(format!("node {node} has another state than the leader"));
                }
            }
            _ => self.commit_all(),
        }
    }

    /// What did not hold.
    fn found(mut self) -> Vec<String> {
        let mut won: std::collections::BTreeMap<u32, &Command> = std::collections::BTreeMap::new();
        for call in &self.calls {
            if call.trials > 1 {
                self.broken.push(format!("{:?} was tried {} times", call.command, call.trials));
            }
            let (Command::Replace { base, .. } | Command::Modify { base, .. }) = &call.command else {
                continue;
            };
            if call.told == Some(200) && *won.entry(base.0).or_insert(&call.command) != &call.command {
                self.broken.push(format!("two were confirmed on {base}"));
            }
        }
        self.broken
    }
}

#[test]
fn of_drawn_histories_each_has_one_winner_and_its_repeats_are_known() {
    let mut confirmed = 0;
    for seed in 0..200 {
        let history = History::played(seed, FormatVersion::V2, 5 * SECOND, 700);
        confirmed += history.calls.iter().filter(|call| call.told == Some(200)).count();
        assert_eq!(history.found(), Vec::<String>::new(), "seed {seed}");
    }
    assert!(confirmed > 200 * 60, "{confirmed}");
}

#[test]
fn the_histories_find_a_guard_that_is_too_short_and_what_the_first_form_lacks() {
    let found = |form, ack| {
        (0..20).flat_map(|seed| History::played(seed, form, ack, 2_000).found()).collect::<String>()
    };
    assert!(found(FormatVersion::V2, 0).contains("was tried 2 times"));
    let first = found(FormatVersion::V1, 5 * SECOND);
    assert!(first.contains("200, then 412") && first.contains("200, then 409"), "{first}");
}
