//! Control (a prompter's core): the ordered log, the common part, the votes and the callers who wait, joined
//! without I/O: time and events in, effects out. What is decided, is decided in the rooms.

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

use crate::house::{Happened, House, Letter, Word};
use crate::settings::DerivedTimings;

/// Bytes of commands applied after which the log is cut by a snapshot.
const KEEP_AFTER: usize = 512 << 10;
/// A command counts for one in so many bytes of the configuration besides, which is read anew with each change: bounds
/// what a restart plays again, 32 MB of it.
const READ_ANEW: usize = 64;
/// Changes of the instances are gathered for so long before they are kept, and kept at most so often.
const MEMORY_GATHER: Micros = 100 * MS;
const MEMORY_EVERY: Micros = SECOND;
const COUNT_EVERY: Micros = 200 * MS;
/// A call is answered within this, come what may: its caller leaves after a second, and the way there and back
/// takes a part of that.
const CALL_WAIT: Micros = 850 * MS;
/// The form from which on a leader is asked who else has what a leaving member has.
const LEAVING: FormatVersion = FormatVersion::V2;
/// A service's first version is proposed again after this, if it has not come to be ordered.
const SEEN_AGAIN: Micros = SECOND;

/// All nodes known have read a newer form for so long when a leader has it agreed: none of them is only between two
/// programs, a new leader has learnt who is there, and an operator may still go back.
const AGREE_AFTER: Micros = 30 * SECOND;

/// A proposal to agree on a form may be applied within so long.
const AGREE_AGAIN: Micros = SECOND;

/// What a prompter is told.
#[derive(Debug)]
pub enum In {
    Tick,
    Mail { from: NodeAddress, bytes: Vec<u8>, carrier: Carrier },
    Written { no: WriteId, ok: bool },
    Order { ask: CallId, command: Command },
    Read { ask: CallId },
    Beat { ask: CallId, beat: Heartbeat },
    Detach { ask: CallId, id: InstanceId },
    Seeds { places: Vec<NodeAddress> },
    Leave,
}

/// How a call that waited is answered; one for each `In` with an ask, within `CALL_WAIT` if the driver ticks in time.
#[derive(Debug)]
pub enum Told {
    Applied(CommandOutcome),
    ReadAt,
    /// Not by this node, or not in time: nothing is said of the order. `leader`: where to go, if it was heard lately.
    Refused {
        leader: Option<NodeAddress>,
    },
    Beat {
        target: Option<NodeAddress>,
    },
    BeatNotTaken,
}

/// What a prompter asks of its driver.
#[derive(Debug)]
pub enum Out {
    Send {
        to: NodeAddress,
        word: Letter,
    },
    Write(Write),
    /// The instances as they are known now, for the next start; it may be lost.
    Remember(Vec<u8>),
    Tell {
        ask: CallId,
        told: Told,
    },
}

/// A caller that waits.
struct Waiting {
    /// A beat or a leave; else an order or a read.
    beat: bool,
    /// An order that is to be refused, as far as is known here, once it is proved that this node knows.
    refusal: Option<Command>,
}

pub struct Control {
    pub house: House,
    book: RaftNode,
    seat: VoterId,
    count: VerdictTally,
    count_due: Micros,
    /// Which of the instances' changes were kept, when, and when the next are.
    kept: (u64, Micros),
    memory_due: Micros,
    /// Bytes applied since the last snapshot.
    applied: usize,
    waiting: BTreeMap<CallId, Waiting>,
    /// Asks by the moment at which they are to be answered, the earliest first; also those that have been.
    ends: VecDeque<(Micros, CallId)>,
    /// The voters that the others here were told of.
    voters: Vec<VoterId>,
    seen: HashMap<String, Micros>,
    /// A form that may be agreed, and since when all known nodes read it.
    may_agree: Option<(FormatVersion, Micros)>,
    /// Commands of this node's own, which nobody waits for, have asks from here on.
    own_ask: u64,
    /// A caller is sent on only to a leader that was heard within this.
    sent_on: Micros,
    /// What a member that is told to end has for handing over.
    hand_over: Micros,
    /// Until when one that is to end hands over; the others are told then that this node goes.
    leaving: Option<Micros>,
    /// Judges what foyers do while this node leads; none unless `check_intent` was called.
    inspector: Option<Inspector>,
    out: Vec<Out>,
}

impl Control {
    /// A prompter's start. `first` are the first voters, on the first start of the whole system only.
    pub fn start(
        mut house: House, seat: VoterId, first: Option<Members>, saved: PersistentState,
        spans: &DerivedTimings, seed: u64, now: Micros,
    ) -> (Control, Vec<Out>) {
        house.cast.set_drain_limit(spans.drain_limit);
        house.script.set_acknowledgement_timeout(spans.ack_timeout);
        let (book, effects) = RaftNode::start(seat, first, saved, spans.consensus, seed, now);
        let mut control = Control {
            house,
            book,
            seat,
            count: VerdictTally::new(spans.verdicts.clone()),
            count_due: now,
            kept: (0, now - MEMORY_EVERY),
            memory_due: Micros::MAX,
            applied: 0,
            waiting: BTreeMap::new(),
            ends: VecDeque::new(),
            voters: Vec::new(),
            seen: HashMap::new(),
            may_agree: None,
            own_ask: u64::MAX / 2,
            // Two of its beats, and half of one for the way.
            sent_on: spans.consensus.heartbeat_interval * 5 / 2,
            hand_over: spans.leadership_transfer_timeout,
            leaving: None,
            inspector: None,
            out: Vec::new(),
        };
        control.did(now, effects);
        control.tell_standing(now);
        let out = control.settle(now);
        (control, out)
    }

    pub fn due(&self) -> Micros {
        let due = self.house.due().min(self.book.next_tick_at()).min(self.count_due).min(self.memory_due);
        let due = self.ends.front().map_or(due, |(until, _)| due.min(*until));
        self.leaving.map_or(due, |until| due.min(until))
    }

    /// Whether a leave has begun that is not done: what only this node has is on its way to others.
    pub fn hands_over(&self) -> bool {
        self.leaving.is_some()
    }

    /// Takes part in the check of `docs/intent.md`, which is off unless this is called. `apply` is
    /// `ConfigApplyS`.
    pub fn check_intent(&mut self, now: Micros, apply: Micros) {
        let tuning = intent::Tuning::of_apply(apply);
        self.inspector = Some(Inspector::start(tuning, self.seat.disk_id.0 ^ 5, now));
        self.inspect_intent(now);
        self.inspect_members(now);
    }

    fn inspect_intent(&mut self, now: Micros) {
        if self.inspector.is_some()
            && let Some(intent) = self.house.intent()
        {
            self.inspected(now, inspector::Event::Committed(Arc::new(intent)));
        }
    }

    fn inspect_members(&mut self, now: Micros) {
        let mut foyers: Vec<_> = self.house.company.up(Role::Gateway).collect();
        foyers.sort_by_key(|foyer| foyer.address);
        let mut zones: Vec<&str> = foyers.iter().map(|foyer| &*foyer.zone).collect();
        zones.sort_unstable();
        zones.dedup();
        let zone = |name: &str| zones.binary_search(&name).unwrap_or(0) as u16;
        let members = foyers.iter().map(|foyer| intent::judge::Member {
            place: foyer.address,
            life: foyer.run_id,
            zone: zone(&foyer.zone),
        });
        let members = members.collect();
        self.inspected(now, inspector::Event::Members(members));
    }

    fn inspected(&mut self, now: Micros, event: inspector::Event) {
        let Some(inspector) = &mut self.inspector else { return };
        for effect in inspector.step(now, event) {
            match effect {
                inspector::Effect::Send { to, word } => self.house.send(to, Word::Intent(word)),
                inspector::Effect::Changed { place, part, from, to, why, .. } => {
                    let accused = from.accused() || to.accused();
                    let level = if accused { log::Level::Warn } else { log::Level::Debug };
                    log::log!(level, "intent: {place} {part:?}: {from:?} -> {to:?} ({why:?})");
                }
                inspector::Effect::Write(note) => log::info!("intent: {note:?}"),
                inspector::Effect::StepDown => log::warn!("intent: what is in force here looks older"),
            }
        }
    }

    pub fn seat(&self) -> VoterId {
        self.seat
    }

    pub fn book(&self) -> &RaftNode {
        &self.book
    }

    /// The foyers' votes on a service's trial, as they stand here.
    pub fn votes(&self, now: Micros, service: &str) -> Option<control_state::VoteSummary> {
        self.count.summary(now, service)
    }

    pub fn step(&mut self, now: Micros, event: In) -> Vec<Out> {
        if self.house.unreadable().is_some() {
            // What is here lacks what was ordered since: nothing is answered from it or promised on it.
            return Vec::new();
        }
        match event {
            In::Tick => self.tick(now),
            In::Mail { from, bytes, carrier } => self.house.received(now, from, &bytes, carrier),
            In::Written { no, ok: true } => self.log(now, Event::Synced { write: no }),
            In::Written { no, ok: false } => self.log(now, Event::WriteFailed { write: no }),
            In::Order { ask, command } => self.order(now, ask, command),
            In::Read { ask } => {
                self.wait(now, ask, false, None);
                self.log(now, Event::Read { call: ask });
            }
            In::Beat { ask, beat } => {
                self.wait(now, ask, true, None);
                self.house.beat(now, ask, beat);
            }
            In::Detach { ask, id } => {
                self.wait(now, ask, true, None);
                self.house.detach(now, ask, id);
            }
            In::Seeds { places } => self.house.seeds_changed(now, places),
            In::Leave => {
                self.leaving = Some(now + self.hand_over);
                self.log(now, Event::PrepareShutdown);
            }
        }
        self.settle(now)
    }

    /// Has a command ordered, or tells why it is not. A refusal, too, waits for proof of leadership: one that was
    /// deposed knows only an old version.
    fn order(&mut self, now: Micros, ask: CallId, command: Command) {
        match self.house.script.check_as_leader(now, &command) {
            Ok(()) => {
                self.wait(now, ask, false, None);
                // Guards against a first configuration that comes before a leader's next look: all would be written in
                // the old form for `AGREE_AFTER` then.
                if self.book.is_leader() && self.house.script.configuration().is_none() {
                    self.agree(now);
                }
                self.log(now, Event::Propose { call: ask, data: self.written(now, &command) });
            }
            Err(_) => {
                self.wait(now, ask, false, Some(command));
                self.log(now, Event::Read { call: ask });
            }
        }
    }

    fn wait(&mut self, now: Micros, ask: CallId, beat: bool, refusal: Option<Command>) {
        self.waiting.insert(ask, Waiting { beat, refusal });
        self.ends.push_back((now + CALL_WAIT, ask));
    }

    /// Answers a caller that still waits. One that has had its answer gets no other.
    fn tell(&mut self, ask: CallId, told: Told) {
        if self.waiting.remove(&ask).is_some() {
            self.out.push(Out::Tell { ask, told });
        }
    }

    /// It is proved that all acknowledged before the ask is applied here.
    fn read(&mut self, now: Micros, ask: CallId) {
        let refusal = self.waiting.get_mut(&ask).and_then(|waiting| waiting.refusal.take());
        let Some(command) = refusal else { return self.tell(ask, Told::ReadAt) };
        match self.house.script.check_as_leader(now, &command) {
            Ok(()) => self.log(now, Event::Propose { call: ask, data: self.written(now, &command) }),
            Err(outcome) => self.tell(ask, Told::Applied(outcome)),
        }
    }

    /// Callers whose time is over. What they asked for may still come about: they are told nothing of it.
    fn end_late(&mut self, now: Micros) {
        while let Some((_, ask)) = self.ends.pop_front_if(|(until, _)| *until <= now) {
            let told = match self.waiting.get(&ask) {
                Some(Waiting { beat: true, .. }) => Told::BeatNotTaken,
                _ => Told::Refused { leader: None },
            };
            self.tell(ask, told);
        }
        while self.ends.pop_front_if(|(_, ask)| !self.waiting.contains_key(ask)).is_some() {}
    }

    /// Tells the rooms who is to be a majority, where that has changed.
    fn tell_voters(&mut self, now: Micros) {
        let voters = &self.book.members().0;
        if *voters != self.voters {
            self.voters.clone_from(voters);
            let places = self.voters.iter().map(|seat| seat.address).collect();
            self.house.voters(now, places);
        }
    }

    /// Tells the rooms how this node stands to a majority, and has the next proof begun where it leads.
    fn tell_standing(&mut self, now: Micros) {
        let proved = self.book.quorum_contact();
        let voters = u8::try_from(self.book.members().0.len()).unwrap_or(u8::MAX);
        let standing = match proved {
            Some((term, at)) => replication::Freshness::Proven { term, age: (now - at).max(0) },
            None if self.book.is_member() && self.book.leader().is_none() => {
                replication::Freshness::JustStarted { voters }
            }
            None => replication::Freshness::Unproven,
        };
        let leader = self.book.leader().map(|seat| seat.address);
        self.house.stands(now, standing, proved.map(|(_, at)| at), leader);
        if self.book.is_leader() {
            self.log(now, Event::ConfirmQuorum);
        }
    }

    fn tick(&mut self, now: Micros) {
        self.house.tick(now);
        if self.book.next_tick_at() <= now {
            self.log(now, Event::Tick);
        }
        if self.count_due <= now {
            self.count_due = now + COUNT_EVERY;
            self.tell_standing(now);
            if self.book.is_leader() {
                self.agree(now);
                self.lead(now);
            } else {
                self.may_agree = None;
            }
            if self.inspector.is_some() {
                // A leader that heard of no majority for an election's span has given up.
                let term = self.book.is_leader().then(|| self.book.term());
                self.inspected(now, inspector::Event::Lead(term));
                self.inspected(now, inspector::Event::Tick);
            }
        }
    }

    /// Tells the others that this node goes, once they have what only it had or the time for that is over. A node that
    /// goes is not asked any more, so a leader must not say it while it still leads.
    fn tend_leave(&mut self, now: Micros) {
        let Some(until) = self.leaving else { return };
        let (release, untold) = (self.book.shutdown_readiness(), self.house.cast.pending_updates());
        let last = self.book.acknowledgement_limit().0;
        // One that reads form 1 only does not know the question.
        let leader = self.book.leader().map(|seat| seat.address);
        let asked = leader.is_some_and(|place| self.house.shared(place) >= LEAVING);
        let done = match release {
            ShutdownReadiness::Replicated | ShutdownReadiness::NotVoter | ShutdownReadiness::OnlyVoter => {
                true
            }
            ShutdownReadiness::Pending => leader.is_some() && !asked && !self.book.is_leader(),
        };
        if now < until && !(done && untold == 0) {
            return;
        }
        match release {
            ShutdownReadiness::Replicated => {
                log::info!("leaves: entries up to {last} are on the disks of others")
            }
            ShutdownReadiness::NotVoter => {
                log::info!("leaves: it has no vote, nothing was counted on its disk")
            }
            ShutdownReadiness::OnlyVoter => {
                log::warn!("leaves: it is the only voter, entries up to {last} are on its disk alone")
            }
            ShutdownReadiness::Pending if done => {
                log::info!(
                    "leaves: the leader's program is older, nobody said who else has entries up to {last}"
                );
            }
            ShutdownReadiness::Pending => {
                log::warn!("leaves as its grace ends: entries up to {last} may be on its disk alone");
            }
        }
        if untold > 0 {
            log::warn!(
                "leaves as its grace ends: {untold} changes of instances were not told to all in reach"
            );
        }
        self.leaving = None;
        self.house.leave(now);
    }

    /// Has the instances kept where they have changed.
    fn tend_memory(&mut self, now: Micros) {
        let changes = self.house.cast.revision();
        if changes == self.kept.0 {
            return;
        }
        if self.memory_due == Micros::MAX {
            self.memory_due = (now + MEMORY_GATHER).max(self.kept.1 + MEMORY_EVERY);
        }
        if self.memory_due <= now {
            self.kept = (changes, now);
            self.memory_due = Micros::MAX;
            let memory = self.house.memory(now);
            self.out.push(Out::Remember(memory));
        }
    }

    /// What a leader adds to the log of its own accord: verdicts, and the first version of a service.
    fn lead(&mut self, now: Micros) {
        let foyers = self.house.up(Role::Gateway).len();
        for command in self.count.verdicts(now, &self.house.script, foyers) {
            log::info!("from the votes: {command:?}");
            self.propose(now, &command);
        }
        let rollouts = &self.house.script.rollouts;
        let known =
            |service: &str| rollouts.get(service).is_some_and(|rollout| rollout.current_version.is_some());
        let records = self.house.cast.instances();
        let unknown: Vec<(String, String)> = records
            .filter(|record| record.state == registry::InstanceState::InService && !known(&record.service))
            .map(|record| (record.service.clone(), record.version.clone()))
            .collect();
        for (service, version) in unknown {
            if self.seen.get(&service).is_none_or(|at| now - at >= SEEN_AGAIN) {
                self.seen.insert(service.clone(), now);
                self.propose(now, &Command::Seen { service, version });
            }
        }
    }

    fn propose(&mut self, now: Micros, command: &Command) {
        self.own_ask += 1;
        self.log(now, Event::Propose { call: CallId(self.own_ask), data: self.written(now, command) });
    }

    fn written(&self, now: Micros, command: &Command) -> Vec<u8> {
        self.house.script.encode_command(now, command)
    }

    /// Has a newer form agreed once every voter and every node known reads it, and has for a while. Before the first
    /// configuration there is nothing that an older program could go on with: then it is agreed at once.
    fn agree(&mut self, now: Micros) {
        let agreed = self.house.script.agreed_format();
        let new = self.house.script.configuration().is_none() && !self.commands_wait();
        let Some(form) = self.read_by_all().filter(|form| *form > agreed) else {
            self.may_agree = None;
            return;
        };
        let since = match self.may_agree {
            Some((may, since)) if may == form => since,
            _ => now,
        };
        let span = if new { 0 } else { AGREE_AFTER };
        if now - since < span {
            self.may_agree = Some((form, since));
            return;
        }
        log::info!("all nodes known read form {form}: it is proposed");
        // Not again before this one can have been applied.
        self.may_agree = Some((form, now + AGREE_AGAIN));
        self.propose(now, &Command::AgreeFormat { format: form });
    }

    /// Whether commands of this leader's log are not applied yet, but for what leaders tell of instances. Where none are,
    /// it has applied all that anybody ever acknowledged: all of that is in its log.
    fn commands_wait(&self) -> bool {
        let (applied, last) = (self.book.commit_index().0, self.book.acknowledgement_limit().0);
        let command = |entry: &Entry| match &entry.payload {
            EntryPayload::Command(data) => !matches!(Command::decode(data), Some(Command::Seen { .. })),
            EntryPayload::Noop | EntryPayload::Members(_) => false,
        };
        (applied + 1..=last).any(|index| self.book.entry(LogIndex(index)).is_none_or(command))
    }

    /// The newest form that all read; none where a voter's forms are not known. One that ended in order counts
    /// while it is a voter, as it may come back; else no more.
    fn read_by_all(&self) -> Option<FormatVersion> {
        let (own, company) = (&self.house.own, &self.house.company);
        let mut newest = own.version.formats.newest;
        for seat in self.book.members().0.iter().filter(|seat| seat.address != own.address) {
            newest = newest.min(company.member(seat.address)?.version.formats.newest);
        }
        let known = company.members().filter(|(_, standing)| *standing != MemberStatus::Left);
        known
            .map(|(member, _)| member.version.formats.newest)
            .min()
            .map(|least| newest.min(least))
            .or(Some(newest))
    }

    /// A node asks to be let into the core that can't read what is agreed: it is told so, and not heard.
    fn turned_away(&mut self, from: NodeAddress) -> bool {
        let Some(edition) = self.house.unfit(from).filter(|_| self.book.is_leader()) else { return false };
        let agreed = self.house.script.agreed_format();
        if self.house.tells(from, Some(edition.formats.newest)) {
            log::warn!("{from} is not let in: it runs {edition}, and form {agreed} is agreed");
        }
        self.house.send(from, Word::NotLetIn { agreed });
        true
    }

    fn log(&mut self, now: Micros, event: Event) {
        let effects = self.book.step(now, event);
        self.did(now, effects);
    }

    fn did(&mut self, now: Micros, effects: Vec<Effect>) {
        let mut kept = None;
        for effect in effects {
            if self.house.unreadable().is_some() {
                return;
            }
            match effect {
                Effect::Send { to, message } => {
                    let word = self.house.letter(to, Word::Book { from: self.seat, message });
                    self.out.extend(word.map(|word| Out::Send { to, word }));
                }
                Effect::Write(write) => self.out.push(Out::Write(write)),
                Effect::Apply { index, data, call: ask } => {
                    self.applied += data.len() + 64;
                    self.house.committed(now, index, data, ask);
                    self.applied +=
                        self.house.script.configuration().map_or(0, |bill| bill.as_json().len() / READ_ANEW);
                    // Right here and not after the rest: so all nodes take snapshots after the same entries, and what
                    // one of them has begun to send another one can end.
                    if self.applied >= KEEP_AFTER {
                        self.applied = 0;
                        kept = Some((self.house.script.last_applied(), self.house.script.snapshot()));
                    }
                }
                Effect::Restore { index, data } => {
                    self.applied = 0;
                    self.house.restored(now, index, data);
                }
                Effect::ReadReady { call: ask, .. } => self.read(now, ask),
                Effect::Rejected { call: ask, leader, .. } => {
                    let leader = leader.filter(|_| self.book.hears_leader(now, self.sent_on));
                    self.tell(ask, Told::Refused { leader });
                }
                Effect::LeaderChanged { leader: None, term } if self.leaving.is_some() => {
                    log::info!("the lead of term {} is handed over before the end", term.0);
                }
                Effect::LeaderChanged { leader, term } => {
                    let name = leader.map_or("nobody".to_owned(), |seat| seat.to_string());
                    log::info!("{name} leads in term {}", term.0);
                    self.tell_standing(now);
                }
            }
        }
        if let Some((index, data)) = kept {
            self.log(now, Event::SnapshotTaken { index, data });
        }
    }

    /// Carries on what has happened in the common part, and hands over what is to be done.
    fn settle(&mut self, now: Micros) -> Vec<Out> {
        while let Some(happened) = self.house.happened() {
            match happened {
                Happened::Applied { outcome, ask, .. } => {
                    if let Some(ask) = ask {
                        self.tell(ask, Told::Applied(outcome));
                    }
                    self.inspect_intent(now);
                }
                Happened::BeatTaken { ask, target } => {
                    self.tell(ask, Told::Beat { target });
                }
                Happened::BeatNotTaken { ask } => {
                    self.tell(ask, Told::BeatNotTaken);
                }
                Happened::Peers => {
                    let places = self.house.up(Role::ControlNode);
                    self.log(now, Event::Peers { addresses: places });
                    self.inspect_members(now);
                }
                Happened::Book { from, message: Message::JoinRequest } if self.turned_away(from.address) => {}
                Happened::Book { from, message } => self.log(now, Event::Received { from, message }),
                Happened::Vote { from, vote } => self.count.record(now, from, vote),
                Happened::Restored => self.inspect_intent(now),
                Happened::Intent { from, word } => self.inspected(now, inspector::Event::Word { from, word }),
                Happened::Instance(_) => {}
            }
        }
        self.tell_voters(now);
        self.end_late(now);
        self.tend_leave(now);
        self.tend_memory(now);
        let letters = self.house.letters().into_iter();
        let mut out: Vec<Out> = letters.map(|(to, word)| Out::Send { to, word }).collect();
        out.append(&mut self.out);
        out
    }
}
