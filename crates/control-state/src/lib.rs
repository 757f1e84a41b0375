//! The deterministic state machine that committed log entries drive: the configuration in force and the roll-out of
//! each service. After the same entries it is the same at every node.
//!
//! No I/O. Nothing that differs between nodes decides what a command comes to; local time is only kept to say since
//! when something is known here.

mod clock;
mod idempotency;
mod legacy_idempotency;
mod outcome;
mod recent_orders;
mod rollout;
mod snapshot;
mod verdict;

use std::sync::Arc;

use clock::ReplicatedClock;
pub use clock::Timestamp;
use configuration::{Configuration, Faults};
use idempotency::{ChangeKind, Digest, IdempotencyRecords, RecordedChange};
use indexmap::IndexMap;
use legacy_idempotency::LegacyRecords;
pub use outcome::{CommandOutcome, SnapshotError};
use recent_orders::RecentOrders;
pub use rollout::{Rollout, RolloutState};
use serde::{Deserialize, Serialize};
pub use types::{ConfigVersion, FormatRange, FormatVersion, LogIndex, Micros, NodeAddress};
pub use verdict::{RouteTally, VerdictSettings, VerdictTally, Vote, VoteChoice, VoteSummary};

/// Maximum number of services. Further ones are refused, so that instances that make up names cannot fill the memory
/// of every node.
pub const MAX_SERVICES: usize = 1024;
/// The longest name of a service or version in a command.
pub const MAX_NAME_BYTES: usize = 256;
/// The largest encoded command: its text and ample room for its other fields.
const MAX_COMMAND_BYTES: usize = configuration::MAX_BYTES + 1024;

/// A change of the state, as the log contains it. Encoded by position: neither variants nor fields may be reordered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Replaces the whole configuration; `base` is the version that it was made on top of.
    Replace { base: ConfigVersion, text: Vec<u8> },
    /// Adds, replaces or removes named entries of the configuration of version `base`.
    Modify { base: ConfigVersion, text: Vec<u8> },
    /// Orders a roll-out: `target_version` is to take over within `period`.
    Rollout { service: String, target_version: String, period: Micros },
    /// Ends the trial of build `number`, as the gateways' votes call for. Log lines contain its `Debug` text, which
    /// operators match, so its names are fixed.
    Verdict { service: String, number: u32, completed: bool },
    /// The first instance of a service was of this version. Its names are fixed as those of `Verdict` are.
    Seen { service: String, version: String },
    /// All known nodes read this format: from here on commands and snapshots may be written in it, and a node that
    /// does not read it stops applying entries.
    AgreeFormat { format: FormatVersion },
}

impl Command {
    /// Encodes the command in format 1.
    pub fn encode_v1(&self) -> Vec<u8> {
        // Writing plain data into memory cannot fail.
        postcard::to_extend(self, vec![FormatVersion::V1.tag_byte()]).expect("a command can be encoded")
    }

    /// Encodes the command in a format that is agreed: a tag byte for the format, from format 2 on the timestamp, then
    /// the command.
    pub fn encode(&self, format: FormatVersion, timestamp: Timestamp) -> Vec<u8> {
        let tag = vec![format.tag_byte()];
        let encoded = match format {
            FormatVersion::V1 => postcard::to_extend(self, tag),
            _ => postcard::to_extend(&(timestamp, self), tag),
        };
        encoded.expect("a command can be encoded")
    }

    /// Decodes a command; `None` if the bytes are not exactly one command or exceed the size limit. Whether its format
    /// may be used is for `ControlState::apply` to decide.
    pub fn decode(data: &[u8]) -> Option<Command> {
        Command::decode_with_timestamp(data).map(|(_, command)| command)
    }

    /// As `decode`, with the timestamp if the command's format has one.
    pub fn decode_with_timestamp(data: &[u8]) -> Option<(Option<Timestamp>, Command)> {
        if data.len() > MAX_COMMAND_BYTES {
            return None;
        }
        let (format, data) = Command::split_format(data);
        let (timestamp, data) = match format {
            FormatVersion::V1 => (None, data),
            _ => {
                let (timestamp, data): (Timestamp, _) = postcard::take_from_bytes(data).ok()?;
                (Some(timestamp), data)
            }
        };
        let (command, rest): (Command, _) = postcard::take_from_bytes(data).ok()?;
        let valid =
            rest.is_empty() && command.introduced_in() <= format && timestamp.is_none_or(Timestamp::is_valid);
        valid.then_some((timestamp, command))
    }

    /// Splits an encoded command into its format and the rest. Programs before format versions wrote no tag byte, and
    /// otherwise format 1.
    fn split_format(data: &[u8]) -> (FormatVersion, &[u8]) {
        match data.split_first() {
            Some((byte, rest)) => {
                FormatVersion::from_tag_byte(*byte).map_or((FormatVersion::V1, data), |format| (format, rest))
            }
            None => (FormatVersion::V1, data),
        }
    }

    /// The first format that has this command. In an older format it counts as unreadable, as it does for a program
    /// that does not know it, so that all nodes come to the same outcome.
    fn introduced_in(&self) -> FormatVersion {
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
    /// Formats that this program reads.
    supported_formats: FormatRange,
    /// The newest format that commands may have, and the one that snapshots are written in. It only rises.
    agreed_format: FormatVersion,
    /// Set once a format is agreed that this program does not read; no further entries are applied then.
    unsupported_format: Option<FormatVersion>,
    configuration: Option<Arc<Configuration>>,
    /// Configuration changes that were applied under format 1.
    legacy_records: LegacyRecords,
    /// Configuration changes that were applied since.
    idempotency_records: IdempotencyRecords,
    /// Roll-out orders that were acknowledged recently. Kept from format 2 on, as is the clock.
    recent_orders: RecentOrders,
    clock: ReplicatedClock,
    /// For how long callers of this node may repeat an order. A local setting: it is written into commands and has no
    /// influence on how they are applied here.
    repeat_window: Micros,
    /// By name of the service.
    pub rollouts: IndexMap<String, Rollout>,
    /// Build number of the last trial of any service; 1 before the first, the number of what is in service then.
    last_build_number: u32,
}

impl Default for ControlState {
    fn default() -> ControlState {
        ControlState::new()
    }
}

/// Stands in for the timestamp of a command that has none: no time has passed.
const NO_TIMESTAMP: Timestamp =
    Timestamp { since_entry: LogIndex(0), elapsed: 0, repeat_window: recent_orders::DEFAULT_REPEAT_WINDOW };

/// When a command is applied, by the replicated clock, and for how long before that an order counts as repeated.
#[derive(Clone, Copy)]
struct CommandTime {
    at: Micros,
    repeat_window: Micros,
}

/// What a valid command will change: made by `validate`, carried out by `commit`.
enum Change {
    Configuration {
        configuration: Arc<Configuration>,
        kind: ChangeKind,
        base: ConfigVersion,
    },
    /// A roll-out order is acknowledged.
    Order {
        digest: Digest,
        order: NewOrder,
    },
    EndTrial {
        service: String,
        completed: bool,
    },
    InitialVersion {
        service: String,
        version: String,
    },
    AgreeFormat {
        format: FormatVersion,
    },
}

/// What a roll-out order that is not a repeat comes to.
enum NewOrder {
    StartTrial {
        service: String,
        target_version: String,
        period: Micros,
    },
    /// The version ordered is in service already.
    CompleteWithoutTrial {
        service: String,
    },
    /// The last order was for the same version and is in progress or completed. Only the order itself is recorded, so
    /// that its repeats are recognized too, whatever becomes of the last order.
    RecordOnly,
}

impl ControlState {
    pub fn new() -> ControlState {
        ControlState::supporting(FormatRange::SUPPORTED)
    }

    /// The empty state of a node that reads these formats; the oldest of them is agreed at first.
    pub fn supporting(supported_formats: FormatRange) -> ControlState {
        ControlState {
            index: LogIndex(0),
            supported_formats,
            agreed_format: supported_formats.oldest,
            unsupported_format: None,
            configuration: None,
            legacy_records: LegacyRecords::default(),
            idempotency_records: IdempotencyRecords::default(),
            recent_orders: RecentOrders::default(),
            clock: ReplicatedClock::default(),
            repeat_window: recent_orders::DEFAULT_REPEAT_WINDOW,
            rollouts: IndexMap::new(),
            last_build_number: 1,
        }
    }

    /// Sets for how long after its first call callers may repeat a roll-out order (the setting `AckS`). The repeat
    /// window is twice that, to cover delayed calls.
    pub fn set_acknowledgement_timeout(&mut self, timeout: Micros) {
        self.repeat_window = timeout.saturating_mul(2).clamp(0, recent_orders::MAX_REPEAT_WINDOW);
    }

    /// Encodes a command as a leader writes it into the log at the local time `now`.
    pub fn encode_command(&self, now: Micros, command: &Command) -> Vec<u8> {
        command.encode(self.agreed_format, self.timestamp(now))
    }

    /// The timestamp that a leader writes before a command at the local time `now`.
    pub fn timestamp(&self, now: Micros) -> Timestamp {
        self.clock.timestamp(now, self.repeat_window)
    }

    /// The number of configuration changes on record: those of format 1, and those since.
    pub fn idempotency_record_counts(&self) -> (usize, usize) {
        (self.legacy_records.len(), self.idempotency_records.len())
    }

    /// The last entry that was applied; nothing at or before it is applied again.
    pub fn last_applied(&self) -> LogIndex {
        self.index
    }

    /// The newest format that commands may be written in.
    pub fn agreed_format(&self) -> FormatVersion {
        self.agreed_format
    }

    /// The configuration in force; `None` before the first.
    pub fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.configuration.as_ref()
    }

    /// The version of the configuration in force; 0 before the first.
    pub fn configuration_version(&self) -> ConfigVersion {
        self.configuration.as_ref().map_or(ConfigVersion(0), |configuration| configuration.version)
    }

    /// As `Rollout::build_number_of`; `None` also for an unknown service.
    pub fn build_number_of(&self, service: &str, version: &str) -> Option<u32> {
        self.rollouts.get(service)?.build_number_of(version)
    }

    /// Applies the entry at `index`; `now` is the local time. Entries must come in the order of the log. One that
    /// arrives again, from another source, changes nothing and is `AlreadyApplied`. Otherwise the outcome is the same
    /// at every node that reads the entry's format.
    pub fn apply(&mut self, now: Micros, index: LogIndex, data: &[u8]) -> CommandOutcome {
        if index <= self.index {
            return CommandOutcome::AlreadyApplied;
        }
        if let Some(format) = self.unsupported_format {
            return CommandOutcome::UnsupportedFormat { format };
        }
        let (format, _) = Command::split_format(data);
        let command = Command::decode_with_timestamp(data);
        let needed = match &command {
            // No leader writes a format before it is agreed; every node treats such an entry as unreadable.
            _ if format > self.agreed_format => self.agreed_format,
            Some((_, Command::AgreeFormat { format: new_format })) => (*new_format).max(self.agreed_format),
            _ => format,
        };
        if !self.supported_formats.contains(needed) {
            // The state stays as it was before this entry.
            self.unsupported_format = Some(needed);
            return CommandOutcome::UnsupportedFormat { format: needed };
        }
        self.index = index;
        let Some((timestamp, command)) = command.filter(|_| format <= self.agreed_format) else {
            return CommandOutcome::Unreadable;
        };
        // A command in format 1 has none, also if it is committed after format 2 was agreed.
        let timestamp = timestamp.unwrap_or(NO_TIMESTAMP);
        let time = self.command_time(&timestamp);
        match self.validate(&command, time) {
            Ok(change) => {
                if self.agreed_format >= FormatVersion::V2 {
                    self.clock = ReplicatedClock::at(now, time.at, index);
                }
                self.commit(now, change, &command, time);
                CommandOutcome::Applied
            }
            Err(outcome) => outcome,
        }
    }

    fn command_time(&self, timestamp: &Timestamp) -> CommandTime {
        CommandTime { at: self.clock.time_of(timestamp), repeat_window: timestamp.repeat_window }
    }

    /// Whether `apply` would apply a command without a timestamp now; the error is its outcome otherwise. Callers
    /// check a command first, so that one that would change nothing is never written to the log.
    pub fn check(&self, command: &Command) -> Result<(), CommandOutcome> {
        self.validate(command, self.command_time(&NO_TIMESTAMP)).map(|_| ())
    }

    /// As `check`, for a leader that would write the command at the local time `now`.
    ///
    /// An operator whose answer was lost repeats a roll-out order for a while. If the version was rolled back in the
    /// meantime, a late repeat must not put a bad version on trial a second time. The state of format 1 cannot tell
    /// such a repeat, so under format 1 an order of a version that was reverted just now is `Repeated`.
    pub fn check_as_leader(&self, now: Micros, command: &Command) -> Result<(), CommandOutcome> {
        if self.agreed_format == FormatVersion::V1
            && let Command::Rollout { service, target_version, .. } = command
            && let Some(rollout) = self.rollouts.get(service)
            && rollout.was_just_reverted(now, target_version)
        {
            return Err(CommandOutcome::Repeated);
        }
        self.validate(command, self.command_time(&self.timestamp(now))).map(|_| ())
    }

    /// Decides what a command would change at `time`; the error says why it changes nothing.
    fn validate(&self, command: &Command, time: CommandTime) -> Result<Change, CommandOutcome> {
        match command {
            Command::Replace { base, text } => self.validate_change(ChangeKind::Replace, *base, text),
            Command::Modify { base, text } => self.validate_change(ChangeKind::Modify, *base, text),
            Command::Rollout { service, target_version, period } => {
                self.validate_order(service, target_version, *period, time)
            }
            Command::Verdict { service, number, completed } => {
                let rollout = self.rollouts.get(service).ok_or_else(|| unknown_service(service))?;
                rollout.check_verdict(*number, *completed)?;
                Ok(Change::EndTrial { service: service.clone(), completed: *completed })
            }
            Command::Seen { service, version } => self.validate_seen(service, version),
            Command::AgreeFormat { format } if *format > self.agreed_format => {
                Ok(Change::AgreeFormat { format: *format })
            }
            Command::AgreeFormat { .. } => Err(CommandOutcome::Repeated),
        }
    }

    fn validate_change(
        &self, kind: ChangeKind, base: ConfigVersion, text: &[u8],
    ) -> Result<Change, CommandOutcome> {
        let current = self.configuration_version();
        // A change that had been applied on top of the current version would have made another version current.
        if base != current {
            let recorded = self.idempotency_records.lookup(base, || Digest::of_text(kind, text));
            let applied = match recorded {
                RecordedChange::Same => true,
                RecordedChange::Other => false,
                RecordedChange::Unknown => self.legacy_records.contains(kind, base, text),
            };
            return Err(if applied {
                CommandOutcome::Repeated
            } else {
                CommandOutcome::VersionConflict { current }
            });
        }
        let configuration = match (kind, &self.configuration) {
            (ChangeKind::Replace, _) => Configuration::parse_newer_than(text, current),
            (ChangeKind::Modify, Some(configuration)) => configuration.with_change(text),
            (ChangeKind::Modify, None) => Configuration::from_change(text),
        };
        let configuration = Arc::new(configuration.map_err(CommandOutcome::Invalid)?);
        Ok(Change::Configuration { configuration, kind, base })
    }

    fn validate_order(
        &self, service: &str, target_version: &str, period: Micros, time: CommandTime,
    ) -> Result<Change, CommandOutcome> {
        check_name("TargetService", service)?;
        check_name("TargetVersion", target_version)?;
        if period <= 0 {
            return Err(CommandOutcome::Invalid(Faults::single("RolloutPeriodS", "seconds above 0")));
        }
        let digest = Digest::of_order(service, target_version, period);
        if self.recent_orders.is_repeat(digest, time.at, time.repeat_window) {
            return Err(CommandOutcome::Repeated);
        }
        let start_trial = || NewOrder::StartTrial {
            service: service.into(),
            target_version: target_version.into(),
            period,
        };
        let configured = self
            .configuration
            .as_ref()
            .is_none_or(|configuration| configuration.services.contains_key(service));
        let Some(rollout) = self.rollouts.get(service) else {
            if !configured {
                return Err(unknown_service(service));
            }
            self.check_service_limit()?;
            return Ok(Change::Order { digest, order: start_trial() });
        };
        let order = match rollout.state {
            Some(RolloutState::InProgress | RolloutState::Completed)
                if rollout.target_version == target_version =>
            {
                if self.agreed_format == FormatVersion::V1 {
                    return Err(CommandOutcome::Repeated);
                }
                NewOrder::RecordOnly
            }
            Some(RolloutState::InProgress) => {
                let text = format!("a roll-out of {service} to {} is under way", rollout.target_version);
                return Err(CommandOutcome::Conflict(text));
            }
            _ if rollout.current_version.as_deref() == Some(target_version) => {
                NewOrder::CompleteWithoutTrial { service: service.into() }
            }
            _ => start_trial(),
        };
        Ok(Change::Order { digest, order })
    }

    fn validate_seen(&self, service: &str, version: &str) -> Result<Change, CommandOutcome> {
        check_name("TargetService", service)?;
        check_name("ConfigVersion", version)?;
        match self.rollouts.get(service) {
            None => self.check_service_limit()?,
            // A version on trial, or one that was rolled back, is not the one that was in service before the order.
            Some(rollout) if rollout.current_version.is_some() || rollout.target_version == version => {
                return Err(CommandOutcome::Repeated);
            }
            Some(_) => {}
        }
        Ok(Change::InitialVersion { service: service.into(), version: version.into() })
    }

    /// Whether one more service may be added.
    fn check_service_limit(&self) -> Result<(), CommandOutcome> {
        if self.rollouts.len() < MAX_SERVICES {
            return Ok(());
        }
        Err(CommandOutcome::Conflict(format!("{MAX_SERVICES} services are known already")))
    }

    /// Carries out a validated change. Nothing else in `apply` changes what snapshots contain, except the clock.
    fn commit(&mut self, now: Micros, change: Change, command: &Command, time: CommandTime) {
        let in_format_2 = self.agreed_format >= FormatVersion::V2;
        match change {
            Change::Configuration { configuration, kind, base } => {
                self.configuration = Some(configuration);
                let (Command::Replace { text, .. } | Command::Modify { text, .. }) = command else { return };
                if in_format_2 {
                    self.idempotency_records.record(base, Digest::of_text(kind, text), time.at);
                    if self.idempotency_records.supersedes_earlier(time.at) {
                        self.legacy_records.clear();
                    }
                } else {
                    self.legacy_records.record(kind, base, text);
                }
            }
            Change::Order { digest, order } => {
                if in_format_2 {
                    self.recent_orders.record(digest, time.at, time.repeat_window);
                }
                self.start_order(now, order);
            }
            Change::EndTrial { service, completed } => self.rollout(service, now).end_trial(now, completed),
            Change::InitialVersion { service, version } => {
                self.rollout(service, now).set_initial_version(version)
            }
            Change::AgreeFormat { format } => {
                if !in_format_2 {
                    // The replicated clock begins here. Format 1 has only the last order of each service; whatever
                    // became of it, its repeats may still come.
                    self.clock = ReplicatedClock::at(now, 0, self.index);
                    for rollout in self.rollouts.values().filter(|rollout| rollout.state.is_some()) {
                        let digest =
                            Digest::of_order(&rollout.service, &rollout.target_version, rollout.period);
                        self.recent_orders.record(digest, time.at, time.repeat_window);
                    }
                }
                self.agreed_format = format;
            }
        }
    }

    fn start_order(&mut self, now: Micros, order: NewOrder) {
        match order {
            NewOrder::StartTrial { service, target_version, period } => {
                self.last_build_number = self.last_build_number.saturating_add(1);
                let build_number = self.last_build_number;
                self.rollout(service, now).start_trial(now, target_version, build_number, period);
            }
            NewOrder::CompleteWithoutTrial { service } => {
                self.rollout(service, now).complete_without_trial(now)
            }
            NewOrder::RecordOnly => {}
        }
    }

    /// The roll-out of a service, added if there is none yet.
    fn rollout(&mut self, service: String, now: Micros) -> &mut Rollout {
        self.rollouts.entry(service).or_insert_with_key(|service| Rollout::new(now, service))
    }
}

fn unknown_service(service: &str) -> CommandOutcome {
    CommandOutcome::UnknownService(format!("no service {service}"))
}

/// Whether a name is neither empty nor too long; `field` is the API's name of the field that it came in.
fn check_name(field: &str, name: &str) -> Result<(), CommandOutcome> {
    if (1..=MAX_NAME_BYTES).contains(&name.len()) {
        return Ok(());
    }
    Err(CommandOutcome::Invalid(Faults::single(field, format!("a text of 1 to {MAX_NAME_BYTES} bytes"))))
}
