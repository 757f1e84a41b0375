//! The core of a control node: the consensus log, the node core, the tally of votes and the waiting calls. Time and
//! inputs go in, outputs come out. It connects the components, which take the decisions, and does no I/O.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;

use consensus::{
    Effect, Entry, EntryPayload, Event, Members, Message, PersistentState, RaftNode, ShutdownReadiness,
    Write, WriteId,
};
use control_state::{Command, CommandOutcome, VerdictTally};
use intent::{Inspector, inspector};
use membership::{MemberStatus, Role};
use registry::{Heartbeat, InstanceId};
use types::{CallId, Carrier, FormatVersion, LogIndex, MS, Micros, NodeAddress, SECOND, VoterId};

use crate::node::{Envelope, NodeCore, NodeEvent, NodeMessage};
use crate::settings::DerivedTimings;

const LOG_TARGET: &str = "playhouse::control"; // Operators filter log lines by this name, which is older than the module's.

/// Bytes of applied commands after which a snapshot replaces the log.
const SNAPSHOT_AFTER_BYTES: usize = 512 << 10;
/// Bytes that each entry counts beside its command.
const ENTRY_OVERHEAD_BYTES: usize = 64;
/// Each command also counts one byte per this many bytes of the configuration, which is parsed anew with each change.
/// That bounds what a restart parses again to 32 MB.
const REPARSED_BYTES_PER_COUNTED_BYTE: usize = 64;
/// Changes of instances are collected for this long before the instances are saved.
const SAVE_DELAY: Micros = 100 * MS;
/// The instances are saved at most once in this interval.
const SAVE_INTERVAL: Micros = SECOND;
/// How often a control node updates how fresh its state is and, while it leads, counts votes and proposes commands.
const COUNT_INTERVAL: Micros = 200 * MS;
/// Each call is answered within this, whatever happens: its caller leaves after a second, and the way there and back
/// takes a part of that.
const CALL_TIMEOUT: Micros = 850 * MS;
/// The format version from which on a leader can be asked which entries of a leaving member the others hold.
const SHUTDOWN_QUERY_FORMAT: FormatVersion = FormatVersion::V2;
/// A service's first version is proposed again if it was not committed within this.
const SEEN_RETRY_INTERVAL: Micros = SECOND;

/// How long all known nodes must have read a newer format version before a leader proposes to agree on it. By then no
/// node is merely between two programs, a new leader has learnt who is there, and an operator had time to go back.
const FORMAT_AGREEMENT_DELAY: Micros = 30 * SECOND;

/// How long a proposal to agree on a format version may take to be applied before it is repeated.
const FORMAT_PROPOSAL_TIMEOUT: Micros = SECOND;

/// Calls of external callers have ids below this; commands that this node proposes itself have ids above it.
const FIRST_INTERNAL_CALL: u64 = u64::MAX / 2;

/// An input of the control plane.
#[derive(Debug)]
pub enum Input {
    Tick,
    Received { from: NodeAddress, bytes: Vec<u8>, carrier: Carrier },
    WriteFinished { write: WriteId, durable: bool },
    Propose { call: CallId, command: Command },
    Read { call: CallId },
    Heartbeat { call: CallId, heartbeat: Heartbeat },
    Detach { call: CallId, id: InstanceId },
    Seeds { addresses: Vec<NodeAddress> },
    Leave,
}

/// The answer to a call. Each `Input` with a call gets one, within `CALL_TIMEOUT` if the driver ticks in time.
#[derive(Debug)]
pub enum CallOutcome {
    Applied(CommandOutcome),
    /// All that was acknowledged before the call is applied here.
    ReadReady,
    /// Not answered by this node, or not in time; the command may still be applied. `leader`: where to go instead, if
    /// the leader was heard recently.
    NotLeader {
        leader: Option<NodeAddress>,
    },
    HeartbeatAccepted {
        /// The control node to which the instance should send its next heartbeats.
        target: Option<NodeAddress>,
    },
    HeartbeatRejected,
}

/// An output of the control plane, to be carried out by its driver.
#[derive(Debug)]
pub enum Output {
    Send {
        to: NodeAddress,
        envelope: Envelope,
    },
    Write(Write),
    /// The known instances, to be restored at the next start; they may be lost.
    SaveInstances(Vec<u8>),
    Reply {
        call: CallId,
        outcome: CallOutcome,
    },
}

/// A call that was not answered yet.
struct WaitingCall {
    /// A heartbeat or a detach; otherwise a command or a read.
    is_heartbeat: bool,
    /// A command to be refused, as far as this node knows, once it is proved that this node is up to date.
    refused_command: Option<Command>,
}

/// The core of a control node.
pub struct ControlPlane {
    pub node: NodeCore,
    raft: RaftNode,
    voter_id: VoterId,
    tally: VerdictTally,
    count_due: Micros,
    /// Revision of the instances that were saved last, and when.
    saved: (u64, Micros),
    save_due: Micros,
    /// Bytes counted since the last snapshot.
    applied_bytes: usize,
    waiting: BTreeMap<CallId, WaitingCall>,
    /// Calls by their deadline, the earliest first; includes calls that were answered.
    deadlines: VecDeque<(Micros, CallId)>,
    /// The voters that the node core was told last.
    voters: Vec<VoterId>,
    /// When this node last proposed the first version of each service.
    proposed_services: HashMap<String, Micros>,
    /// A format version that may be agreed on, and since when all known nodes read it.
    agreeable_format: Option<(FormatVersion, Micros)>,
    /// The last call id of this node's own commands, whose outcome nobody waits for.
    internal_call: u64,
    /// Callers are redirected only to a leader that was heard within this.
    redirect_window: Micros,
    /// How long a leaving node may take to hand over what only it holds.
    hand_over_timeout: Micros,
    /// Set while this node leaves: when it announces that even if the hand-over is not complete.
    leave_deadline: Option<Micros>,
    /// Judges the claims of gateways while this node leads; `None` unless `enable_intent_checks` was called.
    inspector: Option<Inspector>,
    outputs: Vec<Output>,
}

impl ControlPlane {
    /// Starts a control node. `first_members` are the initial voters, given only at the first start of the whole
    /// system.
    pub fn start(
        mut node: NodeCore, voter_id: VoterId, first_members: Option<Members>, saved: PersistentState,
        spans: &DerivedTimings, seed: u64, now: Micros,
    ) -> (ControlPlane, Vec<Output>) {
        node.registry.set_drain_limit(spans.drain_limit);
        node.state.set_acknowledgement_timeout(spans.ack_timeout);
        let (raft, effects) = RaftNode::start(voter_id, first_members, saved, spans.consensus, seed, now);
        let mut control = ControlPlane {
            node,
            raft,
            voter_id,
            tally: VerdictTally::new(spans.verdicts.clone()),
            count_due: now,
            saved: (0, now - SAVE_INTERVAL),
            save_due: Micros::MAX,
            applied_bytes: 0,
            waiting: BTreeMap::new(),
            deadlines: VecDeque::new(),
            voters: Vec::new(),
            proposed_services: HashMap::new(),
            agreeable_format: None,
            internal_call: FIRST_INTERNAL_CALL,
            // Two of the leader's heartbeats, and half an interval for the way.
            redirect_window: spans.consensus.heartbeat_interval * 5 / 2,
            hand_over_timeout: spans.leadership_transfer_timeout,
            leave_deadline: None,
            inspector: None,
            outputs: Vec::new(),
        };
        control.run_raft_effects(now, effects);
        control.update_freshness(now);
        let outputs = control.finish_step(now);
        (control, outputs)
    }

    /// When the next tick is due.
    pub fn due(&self) -> Micros {
        let due = self.node.due().min(self.raft.next_tick_at()).min(self.count_due).min(self.save_due);
        let due = self.deadlines.front().map_or(due, |(deadline, _)| due.min(*deadline));
        self.leave_deadline.map_or(due, |deadline| due.min(deadline))
    }

    /// Whether this node leaves and is still handing over to others what only it holds.
    pub fn is_handing_over(&self) -> bool {
        self.leave_deadline.is_some()
    }

    /// Enables the checks of `docs/intent.md`, which are off by default. `apply_timeout` is the setting
    /// `ConfigApplyS`.
    pub fn enable_intent_checks(&mut self, now: Micros, apply_timeout: Micros) {
        let tuning = intent::Tuning::of_apply(apply_timeout);
        self.inspector = Some(Inspector::start(tuning, self.voter_id.disk_id.0 ^ 5, now));
        self.inspect_committed(now);
        self.inspect_members(now);
    }

    fn inspect_committed(&mut self, now: Micros) {
        if self.inspector.is_some()
            && let Some(intent) = self.node.intent()
        {
            self.step_inspector(now, inspector::Event::Committed(Arc::new(intent)));
        }
    }

    fn inspect_members(&mut self, now: Micros) {
        let mut gateways: Vec<_> = self.node.membership.up(Role::Gateway).collect();
        gateways.sort_by_key(|gateway| gateway.address);
        let mut zones: Vec<&str> = gateways.iter().map(|gateway| &*gateway.zone).collect();
        zones.sort_unstable();
        zones.dedup();
        let zone_number = |name: &str| zones.binary_search(&name).unwrap_or(0) as u16;
        let members = gateways.iter().map(|gateway| intent::judge::Member {
            place: gateway.address,
            life: gateway.run_id,
            zone: zone_number(&gateway.zone),
        });
        let members = members.collect();
        self.step_inspector(now, inspector::Event::Members(members));
    }

    fn step_inspector(&mut self, now: Micros, event: inspector::Event) {
        let Some(inspector) = &mut self.inspector else { return };
        for effect in inspector.step(now, event) {
            match effect {
                inspector::Effect::Send { to, word } => self.node.send(to, NodeMessage::Intent(word)),
                inspector::Effect::Changed { place, part, from, to, why, .. } => {
                    let accused = from.accused() || to.accused();
                    let level = if accused { log::Level::Warn } else { log::Level::Debug };
                    log::log!(
                        target: LOG_TARGET,
                        level,
                        "intent: {place} {part:?}: {from:?} -> {to:?} ({why:?})"
                    );
                }
                inspector::Effect::Write(note) => log::info!(target: LOG_TARGET, "intent: {note:?}"),
                inspector::Effect::StepDown => {
                    log::warn!(target: LOG_TARGET, "intent: what is in force here looks older");
                }
            }
        }
    }

    pub fn voter_id(&self) -> VoterId {
        self.voter_id
    }

    pub fn raft(&self) -> &RaftNode {
        &self.raft
    }

    /// The gateways' votes on a service's rollout, as counted here.
    pub fn votes(&self, now: Micros, service: &str) -> Option<control_state::VoteSummary> {
        self.tally.summary(now, service)
    }

    /// Handles one input and returns what the driver has to do.
    pub fn step(&mut self, now: Micros, input: Input) -> Vec<Output> {
        if self.node.unreadable_entry().is_some() {
            // The state lacks commands that were committed since: nothing may be answered or promised from it.
            return Vec::new();
        }
        match input {
            Input::Tick => self.tick(now),
            Input::Received { from, bytes, carrier } => self.node.received(now, from, &bytes, carrier),
            Input::WriteFinished { write, durable: true } => self.step_raft(now, Event::Synced { write }),
            Input::WriteFinished { write, durable: false } => {
                self.step_raft(now, Event::WriteFailed { write });
            }
            Input::Propose { call, command } => self.propose_for_call(now, call, command),
            Input::Read { call } => {
                self.add_waiting(now, call, false, None);
                self.step_raft(now, Event::Read { call });
            }
            Input::Heartbeat { call, heartbeat } => {
                self.add_waiting(now, call, true, None);
                self.node.heartbeat(now, call, heartbeat);
            }
            Input::Detach { call, id } => {
                self.add_waiting(now, call, true, None);
                self.node.detach(now, call, id);
            }
            Input::Seeds { addresses } => self.node.seeds_changed(now, addresses),
            Input::Leave => {
                self.leave_deadline = Some(now + self.hand_over_timeout);
                self.step_raft(now, Event::PrepareShutdown);
            }
        }
        self.finish_step(now)
    }

    /// Proposes a command, or refuses it. A refusal also waits for proof of leadership: a deposed leader knows only an
    /// old version.
    fn propose_for_call(&mut self, now: Micros, call: CallId, command: Command) {
        match self.node.state.check_as_leader(now, &command) {
            Ok(()) => {
                self.add_waiting(now, call, false, None);
                // The first configuration may come before the leader's next check. Without agreement now, everything
                // would be written in the old format for `FORMAT_AGREEMENT_DELAY`.
                if self.raft.is_leader() && self.node.state.configuration().is_none() {
                    self.propose_newer_format(now);
                }
                self.step_raft(now, Event::Propose { call, data: self.encode(now, &command) });
            }
            Err(_) => {
                self.add_waiting(now, call, false, Some(command));
                self.step_raft(now, Event::Read { call });
            }
        }
    }

    fn add_waiting(
        &mut self, now: Micros, call: CallId, is_heartbeat: bool, refused_command: Option<Command>,
    ) {
        self.waiting.insert(call, WaitingCall { is_heartbeat, refused_command });
        self.deadlines.push_back((now + CALL_TIMEOUT, call));
    }

    /// Answers a call that still waits; a call that was answered gets no second answer.
    fn reply(&mut self, call: CallId, outcome: CallOutcome) {
        if self.waiting.remove(&call).is_some() {
            self.outputs.push(Output::Reply { call, outcome });
        }
    }

    /// Everything acknowledged before this call is now proved to be applied here.
    fn read_ready(&mut self, now: Micros, call: CallId) {
        let refused = self.waiting.get_mut(&call).and_then(|waiting| waiting.refused_command.take());
        let Some(command) = refused else { return self.reply(call, CallOutcome::ReadReady) };
        match self.node.state.check_as_leader(now, &command) {
            Ok(()) => self.step_raft(now, Event::Propose { call, data: self.encode(now, &command) }),
            Err(outcome) => self.reply(call, CallOutcome::Applied(outcome)),
        }
    }

    /// Answers the calls whose deadline has passed. What they asked for may still happen; the answer leaves it open.
    fn expire_calls(&mut self, now: Micros) {
        while let Some((_, call)) = self.deadlines.pop_front_if(|(deadline, _)| *deadline <= now) {
            let outcome = match self.waiting.get(&call) {
                Some(WaitingCall { is_heartbeat: true, .. }) => CallOutcome::HeartbeatRejected,
                _ => CallOutcome::NotLeader { leader: None },
            };
            self.reply(call, outcome);
        }
        while self.deadlines.pop_front_if(|(_, call)| !self.waiting.contains_key(call)).is_some() {}
    }

    /// Tells the node core the voters, if they have changed.
    fn update_voters(&mut self, now: Micros) {
        let voters = &self.raft.members().0;
        if *voters != self.voters {
            self.voters.clone_from(voters);
            let addresses = self.voters.iter().map(|voter| voter.address).collect();
            self.node.set_voters(now, addresses);
        }
    }

    /// Tells the node core how fresh this node's state is, and starts the next proof if this node leads.
    fn update_freshness(&mut self, now: Micros) {
        let contact = self.raft.quorum_contact();
        let voters = u8::try_from(self.raft.members().0.len()).unwrap_or(u8::MAX);
        let freshness = match contact {
            Some((term, at)) => replication::Freshness::Proven { term, age: (now - at).max(0) },
            None if self.raft.is_member() && self.raft.leader().is_none() => {
                replication::Freshness::JustStarted { voters }
            }
            None => replication::Freshness::Unproven,
        };
        let leader = self.raft.leader().map(|voter| voter.address);
        self.node.update_freshness(now, freshness, contact.map(|(_, at)| at), leader);
        if self.raft.is_leader() {
            self.step_raft(now, Event::ConfirmQuorum);
        }
    }

    fn tick(&mut self, now: Micros) {
        self.node.tick(now);
        if self.raft.next_tick_at() <= now {
            self.step_raft(now, Event::Tick);
        }
        if self.count_due <= now {
            self.count_due = now + COUNT_INTERVAL;
            self.update_freshness(now);
            if self.raft.is_leader() {
                self.propose_newer_format(now);
                self.propose_as_leader(now);
            } else {
                self.agreeable_format = None;
            }
            if self.inspector.is_some() {
                // A leader that heard of no majority for an election timeout has already stepped down.
                let term = self.raft.is_leader().then(|| self.raft.term());
                self.step_inspector(now, inspector::Event::Lead(term));
                self.step_inspector(now, inspector::Event::Tick);
            }
        }
    }

    /// Announces to the others that this node leaves, once they hold what only it held or its time is up. The others
    /// send no requests to a node that leaves, so a leader must not announce it while it still leads.
    fn continue_leaving(&mut self, now: Micros) {
        let Some(deadline) = self.leave_deadline else { return };
        let (readiness, pending_updates) =
            (self.raft.shutdown_readiness(), self.node.registry.pending_updates());
        let last = self.raft.acknowledgement_limit().0;
        // A leader that reads only format version 1 does not know the query for what the others hold.
        let leader = self.raft.leader().map(|voter| voter.address);
        let can_query =
            leader.is_some_and(|address| self.node.common_format(address) >= SHUTDOWN_QUERY_FORMAT);
        let done = match readiness {
            ShutdownReadiness::Replicated | ShutdownReadiness::NotVoter | ShutdownReadiness::OnlyVoter => {
                true
            }
            ShutdownReadiness::Pending => leader.is_some() && !can_query && !self.raft.is_leader(),
        };
        if now < deadline && !(done && pending_updates == 0) {
            return;
        }
        match readiness {
            ShutdownReadiness::Replicated => {
                log::info!(target: LOG_TARGET, "leaves: entries up to {last} are on the disks of others")
            }
            ShutdownReadiness::NotVoter => {
                log::info!(target: LOG_TARGET, "leaves: it has no vote, nothing was counted on its disk")
            }
            ShutdownReadiness::OnlyVoter => {
                log::warn!(
                    target: LOG_TARGET,
                    "leaves: it is the only voter, entries up to {last} are on its disk alone"
                )
            }
            ShutdownReadiness::Pending if done => {
                log::info!(
                    target: LOG_TARGET,
                    "leaves: the leader's program is older, nobody said who else has entries up to {last}"
                );
            }
            ShutdownReadiness::Pending => {
                log::warn!(
                    target: LOG_TARGET,
                    "leaves as its grace ends: entries up to {last} may be on its disk alone"
                );
            }
        }
        if pending_updates > 0 {
            log::warn!(
                target: LOG_TARGET,
                "leaves as its grace ends: {pending_updates} changes of instances were not told to all in reach"
            );
        }
        self.leave_deadline = None;
        self.node.leave(now);
    }

    /// Has the instances saved if they have changed.
    fn save_instances(&mut self, now: Micros) {
        let revision = self.node.registry.revision();
        if revision == self.saved.0 {
            return;
        }
        if self.save_due == Micros::MAX {
            self.save_due = (now + SAVE_DELAY).max(self.saved.1 + SAVE_INTERVAL);
        }
        if self.save_due <= now {
            self.saved = (revision, now);
            self.save_due = Micros::MAX;
            let instances = self.node.encode_instances(now);
            self.outputs.push(Output::SaveInstances(instances));
        }
    }

    /// Proposes what a leader adds to the log of its own accord: verdicts, and the first version of a service.
    fn propose_as_leader(&mut self, now: Micros) {
        let gateways = self.node.live_peers(Role::Gateway).len();
        for command in self.tally.verdicts(now, &self.node.state, gateways) {
            log::info!(target: LOG_TARGET, "from the votes: {command:?}");
            self.propose(now, &command);
        }
        let rollouts = &self.node.state.rollouts;
        let is_known =
            |service: &str| rollouts.get(service).is_some_and(|rollout| rollout.current_version.is_some());
        let instances = self.node.registry.instances();
        let unknown: Vec<(String, String)> = instances
            .filter(|instance| {
                instance.state == registry::InstanceState::InService && !is_known(&instance.service)
            })
            .map(|instance| (instance.service.clone(), instance.version.clone()))
            .collect();
        for (service, version) in unknown {
            if self.proposed_services.get(&service).is_none_or(|at| now - at >= SEEN_RETRY_INTERVAL) {
                self.proposed_services.insert(service.clone(), now);
                self.propose(now, &Command::Seen { service, version });
            }
        }
    }

    fn propose(&mut self, now: Micros, command: &Command) {
        self.internal_call += 1;
        let call = CallId(self.internal_call);
        self.step_raft(now, Event::Propose { call, data: self.encode(now, command) });
    }

    fn encode(&self, now: Micros, command: &Command) -> Vec<u8> {
        self.node.state.encode_command(now, command)
    }

    /// Proposes to agree on a newer format version once every voter and every known node has read it for
    /// `FORMAT_AGREEMENT_DELAY`. Before the first configuration there is nothing with which an older program could go
    /// on, so that agreement is proposed at once.
    fn propose_newer_format(&mut self, now: Micros) {
        let agreed = self.node.state.agreed_format();
        let is_new_system = self.node.state.configuration().is_none() && !self.has_unapplied_commands();
        let Some(format) = self.format_read_by_all().filter(|format| *format > agreed) else {
            self.agreeable_format = None;
            return;
        };
        let since = match self.agreeable_format {
            Some((agreeable, since)) if agreeable == format => since,
            _ => now,
        };
        let delay = if is_new_system { 0 } else { FORMAT_AGREEMENT_DELAY };
        if now - since < delay {
            self.agreeable_format = Some((format, since));
            return;
        }
        log::info!(target: LOG_TARGET, "all nodes known read form {format}: it is proposed");
        // Not proposed again before this proposal can have been applied.
        self.agreeable_format = Some((format, now + FORMAT_PROPOSAL_TIMEOUT));
        self.propose(now, &Command::AgreeFormat { format });
    }

    /// Whether the log of this leader holds commands that are not applied yet, other than those that leaders add for
    /// instances. If there are none, this leader has applied all that was ever acknowledged, as all of that is in its
    /// log.
    fn has_unapplied_commands(&self) -> bool {
        let (applied, last) = (self.raft.commit_index().0, self.raft.acknowledgement_limit().0);
        let is_command = |entry: &Entry| match &entry.payload {
            EntryPayload::Command(data) => !matches!(Command::decode(data), Some(Command::Seen { .. })),
            EntryPayload::Noop | EntryPayload::Members(_) => false,
        };
        (applied + 1..=last).any(|index| self.raft.entry(LogIndex(index)).is_none_or(is_command))
    }

    /// The newest format version that all nodes read; `None` if a voter's versions are not known. A node that left in
    /// order counts only while it is a voter, as it may come back then.
    fn format_read_by_all(&self) -> Option<FormatVersion> {
        let (own, membership) = (&self.node.own, &self.node.membership);
        let mut newest = own.version.formats.newest;
        for voter in self.raft.members().0.iter().filter(|voter| voter.address != own.address) {
            newest = newest.min(membership.member(voter.address)?.version.formats.newest);
        }
        let known = membership.members().filter(|(_, status)| *status != MemberStatus::Left);
        known
            .map(|(member, _)| member.version.formats.newest)
            .min()
            .map(|least| newest.min(least))
            .or(Some(newest))
    }

    /// If a node that asks to join the voters can't read the agreed format version: tells it so, and returns true.
    fn refuse_join(&mut self, from: NodeAddress) -> bool {
        let incompatible = self.node.incompatible_version(from).filter(|_| self.raft.is_leader());
        let Some(version) = incompatible else { return false };
        let agreed = self.node.state.agreed_format();
        if self.node.should_report(from, Some(version.formats.newest)) {
            log::warn!(
                target: LOG_TARGET,
                "{from} is not let in: it runs {version}, and form {agreed} is agreed"
            );
        }
        self.node.send(from, NodeMessage::JoinRefused { agreed });
        true
    }

    fn step_raft(&mut self, now: Micros, event: Event) {
        let effects = self.raft.step(now, event);
        self.run_raft_effects(now, effects);
    }

    fn run_raft_effects(&mut self, now: Micros, effects: Vec<Effect>) {
        let mut snapshot = None;
        for effect in effects {
            if self.node.unreadable_entry().is_some() {
                return;
            }
            match effect {
                Effect::Send { to, message } => {
                    let message = NodeMessage::Consensus { from: self.voter_id, message };
                    let envelope = self.node.envelope(to, message);
                    self.outputs.extend(envelope.map(|envelope| Output::Send { to, envelope }));
                }
                Effect::Write(write) => self.outputs.push(Output::Write(write)),
                Effect::Apply { index, data, call } => {
                    self.applied_bytes += data.len() + ENTRY_OVERHEAD_BYTES;
                    self.node.committed(now, index, data, call);
                    self.applied_bytes += self.node.state.configuration().map_or(0, |configuration| {
                        configuration.as_json().len() / REPARSED_BYTES_PER_COUNTED_BYTE
                    });
                    // Taken right here and not after the other effects: so all nodes take snapshots after the same
                    // entries, and one node can finish sending a snapshot that another one began to send.
                    if self.applied_bytes >= SNAPSHOT_AFTER_BYTES {
                        self.applied_bytes = 0;
                        snapshot = Some((self.node.state.last_applied(), self.node.state.snapshot()));
                    }
                }
                Effect::Restore { index, data } => {
                    self.applied_bytes = 0;
                    self.node.restored(now, index, data);
                }
                Effect::ReadReady { call, .. } => self.read_ready(now, call),
                Effect::Rejected { call, leader, .. } => {
                    let leader = leader.filter(|_| self.raft.hears_leader(now, self.redirect_window));
                    self.reply(call, CallOutcome::NotLeader { leader });
                }
                Effect::LeaderChanged { leader: None, term } if self.leave_deadline.is_some() => {
                    log::info!(
                        target: LOG_TARGET,
                        "the lead of term {} is handed over before the end",
                        term.0
                    );
                }
                Effect::LeaderChanged { leader, term } => {
                    let name = leader.map_or("nobody".to_owned(), |voter| voter.to_string());
                    log::info!(target: LOG_TARGET, "{name} leads in term {}", term.0);
                    self.update_freshness(now);
                }
            }
        }
        if let Some((index, data)) = snapshot {
            self.step_raft(now, Event::SnapshotTaken { index, data });
        }
    }

    /// Handles the events of the node core and collects the outputs of this step.
    fn finish_step(&mut self, now: Micros) -> Vec<Output> {
        while let Some(event) = self.node.next_event() {
            match event {
                NodeEvent::Applied { outcome, call, .. } => {
                    if let Some(call) = call {
                        self.reply(call, CallOutcome::Applied(outcome));
                    }
                    self.inspect_committed(now);
                }
                NodeEvent::HeartbeatAccepted { call, target } => {
                    self.reply(call, CallOutcome::HeartbeatAccepted { target });
                }
                NodeEvent::HeartbeatRejected { call } => {
                    self.reply(call, CallOutcome::HeartbeatRejected);
                }
                NodeEvent::PeersChanged => {
                    let addresses = self.node.live_peers(Role::ControlNode);
                    self.step_raft(now, Event::Peers { addresses });
                    self.inspect_members(now);
                }
                NodeEvent::Consensus { from, message: Message::JoinRequest }
                    if self.refuse_join(from.address) => {}
                NodeEvent::Consensus { from, message } => {
                    self.step_raft(now, Event::Received { from, message });
                }
                NodeEvent::Vote { from, vote } => self.tally.record(now, from, vote),
                NodeEvent::Restored => self.inspect_committed(now),
                NodeEvent::Intent { from, message } => {
                    self.step_inspector(now, inspector::Event::Word { from, word: message });
                }
                NodeEvent::InstanceChanged(_) => {}
            }
        }
        self.update_voters(now);
        self.expire_calls(now);
        self.continue_leaving(now);
        self.save_instances(now);
        let envelopes = self.node.take_envelopes().into_iter();
        let mut outputs: Vec<Output> =
            envelopes.map(|(to, envelope)| Output::Send { to, envelope }).collect();
        outputs.append(&mut self.outputs);
        outputs
    }
}
