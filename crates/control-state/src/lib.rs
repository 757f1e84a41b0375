//! ControlState (the ordered state): what the commands of the log make, the same at every node: the configuration
//! in force, and each service's roll-out. No I/O. Nothing that differs between nodes decides an outcome:
//! local time is kept only as the moment since which something is known here.

mod clock;
mod idempotency;
mod legacy_idempotency;
mod outcome;
mod recent_orders;
mod rollout;
mod snapshot;
mod verdict;

use std::sync::Arc;

use clock::Clock;
pub use clock::Timestamp;
use configuration::{Configuration, Faults};
use idempotency::{ChangeKind, Digest, Known, Taken};
use indexmap::IndexMap;
use legacy_idempotency::Earlier;
pub use outcome::{CommandOutcome, SnapshotError};
use recent_orders::Orders;
pub use rollout::{Rollout, RolloutState};
use serde::{Deserialize, Serialize};
pub use types::{ConfigVersion, FormatRange, FormatVersion, LogIndex, Micros, NodeAddress};
pub use verdict::{RouteTally, VerdictSettings, VerdictTally, Vote, VoteChoice, VoteSummary};

/// Services whose versions are kept; beyond them new ones are refused, so that instances that make up names
/// can't fill the memory of every node.
pub const MAX_SERVICES: usize = 1024;
/// The longest name of a service or version in a command, in bytes.
pub const MAX_NAME_BYTES: usize = 256;
/// A command's own fields beside its text, in bytes, generously.
const MAX_COMMAND: usize = configuration::MAX_BYTES + 1024;

/// One change of control, as it stands in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// A whole configuration on top of `base`.
    Replace { base: ConfigVersion, text: Vec<u8> },
    /// Named items on top of `base`.
    Modify { base: ConfigVersion, text: Vec<u8> },
    /// The operator wants `target` to take over within `period`.
    Rollout { service: String, target_version: String, period: Micros },
    /// The count's end of a trial.
    Verdict { service: String, number: u32, completed: bool },
    /// The first instance of a service was of this version.
    Seen { service: String, version: String },
    /// All nodes known read this form: from here on commands and states may be written in it, and a node that
    /// does not read it stops applying.
    AgreeFormat { format: FormatVersion },
}

impl Command {
    /// In the first form.
    pub fn encode_v1(&self) -> Vec<u8> {
        // Plain data into memory: postcard has no way to fail here.
        postcard::to_extend(self, vec![FormatVersion::V1.tag_byte()]).expect("a command can be written")
    }

    /// In a form that is agreed: one byte says which, from the second on the stamp follows, then the command.
    pub fn encode(&self, form: FormatVersion, stamp: Timestamp) -> Vec<u8> {
        let head = vec![form.tag_byte()];
        let written = match form {
            FormatVersion::V1 => postcard::to_extend(self, head),
            _ => postcard::to_extend(&(stamp, self), head),
        };
        written.expect("a command can be written")
    }

    /// None where the bytes are no command, or too many. Which forms are read is the state's to say.
    pub fn decode(data: &[u8]) -> Option<Command> {
        Command::decode_with_timestamp(data).map(|(_, command)| command)
    }

    /// As `from_bytes`, with the stamp where its form has one.
    pub fn decode_with_timestamp(data: &[u8]) -> Option<(Option<Timestamp>, Command)> {
        if data.len() > MAX_COMMAND {
            return None;
        }
        let (form, data) = Command::split(data);
        let (stamp, data) = match form {
            FormatVersion::V1 => (None, data),
            _ => {
                let (stamp, data): (Timestamp, _) = postcard::take_from_bytes(data).ok()?;
                (Some(stamp), data)
            }
        };
        let (command, rest): (Command, _) = postcard::take_from_bytes(data).ok()?;
        let sound = rest.is_empty() && command.since() <= form && stamp.is_none_or(Timestamp::sound);
        sound.then_some((stamp, command))
    }

    /// A command's form and the rest. Programs before forms wrote no head, and otherwise the first form.
    fn split(data: &[u8]) -> (FormatVersion, &[u8]) {
        match data.split_first() {
            Some((byte, rest)) => {
                FormatVersion::from_tag_byte(*byte).map_or((FormatVersion::V1, data), |form| (form, rest))
            }
            None => (FormatVersion::V1, data),
        }
    }

    /// The first form that has this command. In an older one it is none, as it is to a program that does not know
    /// it, so that all come to the same.
    fn since(&self) -> FormatVersion {
        match self {
            Command::Replace { .. }
            | Command::Modify { .. }
            | Command::Rollout { .. }
            | Command::Verdict { .. }
            | Command::Seen { .. }
            | Command::AgreeFormat { .. } => FormatVersion::V1,
        }
    }
}

/// The state after some entry of the log.
#[derive(Clone, Debug)]
pub struct ControlState {
    index: LogIndex,
    /// What is read here.
    forms: FormatRange,
    /// The newest form that commands may have, and the one that states are written in; only raised.
    agreed: FormatVersion,
    /// A form that is agreed and not read here: nothing more is applied.
    beyond: Option<FormatVersion>,
    bill: Option<Arc<Configuration>>,
    /// Configurations taken under form 1, and since.
    earlier: Earlier,
    taken: Taken,
    /// Roll-out orders that were acknowledged lately. Kept from form 2 on, as is the clock.
    orders: Orders,
    clock: Clock,
    /// Local, and of no weight in what is applied: for how long callers of this node may repeat an order.
    guard: Micros,
    /// By service.
    pub rollouts: IndexMap<String, Rollout>,
    /// Of the last trial of any service, or 1: the number of what was in service before any.
    last_number: u32,
}

impl Default for ControlState {
    fn default() -> ControlState {
        ControlState::new()
    }
}

/// Stands for the stamp of a command that has none: no time has passed.
const UNSTAMPED: Timestamp =
    Timestamp { since_entry: LogIndex(0), elapsed: 0, repeat_window: recent_orders::GUARD };

/// A command's moment by the ordered clock, and for how long before it an order is repeated.
#[derive(Clone, Copy)]
struct When {
    at: Micros,
    guard: Micros,
}

/// What a good command will change; made by `judged`, carried out by `change`.
enum Change {
    Configuration {
        bill: Arc<Configuration>,
        kind: ChangeKind,
        base: ConfigVersion,
    },
    /// An order is acknowledged.
    Order {
        digest: Digest,
        wish: Wish,
    },
    End {
        service: String,
        completed: bool,
    },
    Base {
        service: String,
        version: String,
    },
    Agreed {
        form: FormatVersion,
    },
}

/// What an order that is no repeat comes to.
enum Wish {
    Trial {
        service: String,
        target: String,
        period: Micros,
    },
    /// The version ordered is the one in service: nothing to try.
    Already {
        service: String,
    },
    /// It is what was ordered last, and is under way or has come about: nothing but the order itself is noted, so that
    /// its repeats are known too, whatever comes of the other.
    Same,
}

impl ControlState {
    pub fn new() -> ControlState {
        ControlState::supporting(FormatRange::SUPPORTED)
    }

    /// For a node that reads these forms; all begins in the oldest of them.
    pub fn supporting(forms: FormatRange) -> ControlState {
        ControlState {
            index: LogIndex(0),
            forms,
            agreed: forms.oldest,
            beyond: None,
            bill: None,
            earlier: Earlier::default(),
            taken: Taken::default(),
            orders: Orders::default(),
            clock: Clock::default(),
            guard: recent_orders::GUARD,
            rollouts: IndexMap::new(),
            last_number: 1,
        }
    }

    /// For `ack` after its first call at most, callers repeat an order that is no configuration (`AckS`). Twice that
    /// covers calls held up on the way.
    pub fn set_acknowledgement_timeout(&mut self, ack: Micros) {
        self.guard = ack.saturating_mul(2).clamp(0, recent_orders::LONGEST_GUARD);
    }

    /// A command as a leader writes it into the log now.
    pub fn encode_command(&self, now: Micros, command: &Command) -> Vec<u8> {
        command.encode(self.agreed, self.timestamp(now))
    }

    /// What a leader writes before a command now.
    pub fn timestamp(&self, now: Micros) -> Timestamp {
        self.clock.timestamp(now, self.guard)
    }

    /// How many configurations are remembered, as under form 1 and since.
    pub fn idempotency_record_counts(&self) -> (usize, usize) {
        (self.earlier.len(), self.taken.len())
    }

    /// The last entry applied; nothing at or before it is applied again.
    pub fn last_applied(&self) -> LogIndex {
        self.index
    }

    /// The form that commands may be written in.
    pub fn agreed_format(&self) -> FormatVersion {
        self.agreed
    }

    pub fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.bill.as_ref()
    }

    /// The version in force, 0 before the first configuration.
    pub fn configuration_version(&self) -> ConfigVersion {
        self.bill.as_ref().map_or(ConfigVersion(0), |bill| bill.version)
    }

    /// As `Rollout::build_of`; None for a service that nobody has seen.
    pub fn build_number_of(&self, service: &str, version: &str) -> Option<u32> {
        self.rollouts.get(service)?.build_number_of(version)
    }

    /// Carries out the entry at `index`. Entries come in the log's order; one that was applied before, told
    /// twice by two sources, changes nothing and is `Old`. The outcome is the same at every node.
    pub fn apply(&mut self, now: Micros, index: LogIndex, data: &[u8]) -> CommandOutcome {
        if index <= self.index {
            return CommandOutcome::AlreadyApplied;
        }
        if let Some(form) = self.beyond {
            return CommandOutcome::UnsupportedFormat { format: form };
        }
        let (form, _) = Command::split(data);
        let command = Command::decode_with_timestamp(data);
        let needed = match &command {
            // Nothing is written in a form before it is agreed: to everybody this is no command.
            _ if form > self.agreed => self.agreed,
            Some((_, Command::AgreeFormat { format: form })) => (*form).max(self.agreed),
            _ => form,
        };
        if !self.forms.contains(needed) {
            // What is here stays as it was before this entry, for good.
            self.beyond = Some(needed);
            return CommandOutcome::UnsupportedFormat { format: needed };
        }
        self.index = index;
        let Some((stamp, command)) = command.filter(|_| form <= self.agreed) else {
            return CommandOutcome::Unreadable;
        };
        // One written in form 1, and committed after the second was agreed, has none.
        let stamp = stamp.unwrap_or(UNSTAMPED);
        let when = self.when(&stamp);
        match self.judged(&command, when) {
            Ok(change) => {
                if self.agreed >= FormatVersion::V2 {
                    self.clock = Clock::at(now, when.at, index);
                }
                self.change(now, change, &command, when);
                CommandOutcome::Applied
            }
            Err(outcome) => outcome,
        }
    }

    fn when(&self, stamp: &Timestamp) -> When {
        When { at: self.clock.moment(stamp), guard: stamp.repeat_window }
    }

    /// What `apply` would say now of a command without a stamp, so that one that would change nothing is never
    /// ordered.
    pub fn check(&self, command: &Command) -> Result<(), CommandOutcome> {
        self.judged(command, self.when(&UNSTAMPED)).map(|_| ())
    }

    /// As `check`, for a leader that would write the command now. Under form 1 the state does not tell a repeat: an
    /// order of a version whose trial was reverted here only a moment ago is `Again`. An operator whose answer was
    /// lost sends the order again for a while: if the version was sent back meanwhile, that late repeat must not put
    /// a bad version on trial a second time.
    pub fn check_as_leader(&self, now: Micros, command: &Command) -> Result<(), CommandOutcome> {
        if self.agreed == FormatVersion::V1
            && let Command::Rollout { service, target_version: target, .. } = command
            && let Some(rollout) = self.rollouts.get(service)
            && rollout.just_reverted(now, target)
        {
            return Err(CommandOutcome::Repeated);
        }
        self.judged(command, self.when(&self.timestamp(now))).map(|_| ())
    }

    fn judged(&self, command: &Command, when: When) -> Result<Change, CommandOutcome> {
        match command {
            Command::Replace { base, text } => self.judged_text(ChangeKind::Replace, *base, text),
            Command::Modify { base, text } => self.judged_text(ChangeKind::Modify, *base, text),
            Command::Rollout { service, target_version: target, period } => {
                self.judged_order(service, target, *period, when)
            }
            Command::Verdict { service, number, completed } => {
                let rollout = self.rollouts.get(service).ok_or_else(|| unknown(service))?;
                rollout.judged_end(*number, *completed)?;
                Ok(Change::End { service: service.clone(), completed: *completed })
            }
            Command::Seen { service, version } => self.judged_seen(service, version),
            Command::AgreeFormat { format: form } if *form > self.agreed => {
                Ok(Change::Agreed { form: *form })
            }
            Command::AgreeFormat { .. } => Err(CommandOutcome::Repeated),
        }
    }

    fn judged_text(
        &self, kind: ChangeKind, base: ConfigVersion, text: &[u8],
    ) -> Result<Change, CommandOutcome> {
        let current = self.configuration_version();
        // What was taken on the current version would have made another one current.
        if base != current {
            let known = self.taken.known(base, || Digest::of_text(kind, text));
            let taken =
                known == Known::Taken || known == Known::Unknown && self.earlier.contains(kind, base, text);
            return Err(if taken {
                CommandOutcome::Repeated
            } else {
                CommandOutcome::VersionConflict { current }
            });
        }
        let bill = match (kind, &self.bill) {
            (ChangeKind::Replace, _) => Configuration::parse_newer_than(text, current),
            (ChangeKind::Modify, Some(bill)) => bill.with_change(text),
            (ChangeKind::Modify, None) => Configuration::from_change(text),
        };
        let bill = Arc::new(bill.map_err(CommandOutcome::Invalid)?);
        Ok(Change::Configuration { bill, kind, base })
    }

    fn judged_order(
        &self, service: &str, target: &str, period: Micros, when: When,
    ) -> Result<Change, CommandOutcome> {
        named("TargetService", service)?;
        named("TargetVersion", target)?;
        if period <= 0 {
            return Err(CommandOutcome::Invalid(Faults::single("RolloutPeriodS", "seconds above 0")));
        }
        let digest = Digest::of_order(service, target, period);
        if self.orders.repeats(digest, when.at, when.guard) {
            return Err(CommandOutcome::Repeated);
        }
        let trial = || Wish::Trial { service: service.into(), target: target.into(), period };
        let listed = self.bill.as_ref().is_none_or(|bill| bill.services.contains_key(service));
        let Some(rollout) = self.rollouts.get(service) else {
            if !listed {
                return Err(unknown(service));
            }
            self.room()?;
            return Ok(Change::Order { digest, wish: trial() });
        };
        let wish = match rollout.state {
            Some(RolloutState::InProgress | RolloutState::Completed) if rollout.target_version == target => {
                if self.agreed == FormatVersion::V1 {
                    return Err(CommandOutcome::Repeated);
                }
                Wish::Same
            }
            Some(RolloutState::InProgress) => {
                let text = format!("a roll-out of {service} to {} is under way", rollout.target_version);
                return Err(CommandOutcome::Conflict(text));
            }
            _ if rollout.current_version.as_deref() == Some(target) => {
                Wish::Already { service: service.into() }
            }
            _ => trial(),
        };
        Ok(Change::Order { digest, wish })
    }

    fn judged_seen(&self, service: &str, version: &str) -> Result<Change, CommandOutcome> {
        named("TargetService", service)?;
        named("ConfigVersion", version)?;
        match self.rollouts.get(service) {
            None => self.room()?,
            // A version on trial, or one that was sent back, is not what was there before.
            Some(rollout) if rollout.current_version.is_some() || rollout.target_version == version => {
                return Err(CommandOutcome::Repeated);
            }
            Some(_) => {}
        }
        Ok(Change::Base { service: service.into(), version: version.into() })
    }

    fn room(&self) -> Result<(), CommandOutcome> {
        if self.rollouts.len() < MAX_SERVICES {
            return Ok(());
        }
        Err(CommandOutcome::Conflict(format!("{MAX_SERVICES} services are known already")))
    }

    /// The one place where a command changes the state.
    fn change(&mut self, now: Micros, change: Change, command: &Command, when: When) {
        let second = self.agreed >= FormatVersion::V2;
        match change {
            Change::Configuration { bill, kind, base } => {
                self.bill = Some(bill);
                let (Command::Replace { text, .. } | Command::Modify { text, .. }) = command else { return };
                if second {
                    self.taken.note(base, Digest::of_text(kind, text), when.at);
                    if self.taken.supersedes(when.at) {
                        self.earlier.clear();
                    }
                } else {
                    self.earlier.note(kind, base, text);
                }
            }
            Change::Order { digest, wish } => {
                if second {
                    self.orders.note(digest, when.at, when.guard);
                }
                self.begin(now, wish);
            }
            Change::End { service, completed } => self.rollout(service, now).end(now, completed),
            Change::Base { service, version } => self.rollout(service, now).found(version),
            Change::Agreed { form } => {
                if !second {
                    // The ordered clock begins here. Form 1 knew of orders by what became of the last one of each
                    // service: whatever that was, its repeats may still come.
                    self.clock = Clock::at(now, 0, self.index);
                    for rollout in self.rollouts.values().filter(|rollout| rollout.state.is_some()) {
                        let digest =
                            Digest::of_order(&rollout.service, &rollout.target_version, rollout.period);
                        self.orders.note(digest, when.at, when.guard);
                    }
                }
                self.agreed = form;
            }
        }
    }

    fn begin(&mut self, now: Micros, wish: Wish) {
        match wish {
            Wish::Trial { service, target, period } => {
                self.last_number = self.last_number.saturating_add(1);
                let number = self.last_number;
                self.rollout(service, now).begin(now, target, number, period);
            }
            Wish::Already { service } => self.rollout(service, now).stay(now),
            Wish::Same => {}
        }
    }

    fn rollout(&mut self, service: String, now: Micros) -> &mut Rollout {
        self.rollouts.entry(service).or_insert_with_key(|service| Rollout::new(now, service))
    }
}

fn unknown(service: &str) -> CommandOutcome {
    CommandOutcome::UnknownService(format!("no service {service}"))
}

fn named(field: &str, name: &str) -> Result<(), CommandOutcome> {
    if (1..=MAX_NAME_BYTES).contains(&name.len()) {
        return Ok(());
    }
    Err(CommandOutcome::Invalid(Faults::single(field, format!("a text of 1 to {MAX_NAME_BYTES} bytes"))))
}
