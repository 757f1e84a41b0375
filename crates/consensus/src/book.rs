//! The member as a whole: its state, the way in and out, and what all its roles share.

use std::mem;

use types::{LogIndex, MS, Micros, NodeAddress, Term, VoterId};

use crate::disk::Disk;
use crate::follow::Coming;
use crate::lead::{Leading, NOBODY};
use crate::leave::Leaving;
use crate::log::Log;
use crate::mark::FingerprintHasher;
use crate::stand::Votes;
use crate::{Effect, Entry, EntryPayload, Event, Members, Message, PersistentState, Rpc, Timing};

/// Most places that are remembered to knock at.
const MOST_PEERS: usize = 64;
/// A write that hangs for so many election spans costs leadership.
const HUNG_ELECTIONS: Micros = 4;
/// A seat that has started again looks for a leader after a wait in this range: long enough for one that is
/// still there to be heard, and for few to ask at the same moment.
const FIRST_WAIT: (Micros, Micros) = (30 * MS, 250 * MS);
/// It stands for so long at its first try, before it asks again.
pub(crate) const FIRST_STAND: (Micros, Micros) = (300 * MS, 600 * MS);

#[derive(Clone)]
pub(crate) enum Role {
    /// Follows a leader, or waits for one; also a seat that is no member.
    Following,
    /// Asks whether it may stand.
    Asking(Votes),
    /// Stands for election in the term it is in.
    Standing(Votes),
    Leading(Box<Leading>),
}

/// One seat's part in the ordered log (a Raft server).
///
/// The driver carries effects out in order, one at a time. After each step it asks `due()` again. What has arrived is
/// handed over before a tick that is due, so that a slow machine doesn't look for a leader whose word
/// waits in its socket. It hands over `Event::SnapshotTaken` often enough: entries since the last one stay in memory.
#[derive(Clone)]
pub struct RaftNode {
    pub(crate) own: VoterId,
    pub(crate) timing: Timing,
    pub(crate) chance: oorandom::Rand64,
    pub(crate) now: Micros,
    pub(crate) term: Term,
    pub(crate) voted: Option<VoterId>,
    pub(crate) log: Log,
    pub(crate) disk: Disk,
    pub(crate) commit: LogIndex,
    applied: LogIndex,
    pub(crate) role: Role,
    pub(crate) leader: Option<VoterId>,
    pub(crate) heard_leader: Option<Micros>,
    /// When a majority was last known to follow a leader, and in which term.
    pub(crate) proved: Option<(Term, Micros)>,
    /// What is heard before this may have lain in the sockets of a process that stood still.
    pub(crate) thaw: Micros,
    /// When a follower looks for another leader.
    pub(crate) deadline: Micros,
    /// Entries up to this one are as in the log of this term's leader.
    pub(crate) verified: LogIndex,
    /// A grant of this term that waits for the disk.
    pub(crate) owes_vote: bool,
    /// An answer to the leader that waits for the disk, with its round.
    pub(crate) owes_round: Option<u64>,
    pub(crate) coming: Option<Coming>,
    places: Vec<NodeAddress>,
    next_knock: Micros,
    /// Started again, and has neither heard a leader nor stood yet: its first try doesn't wait long.
    pub(crate) hasty: bool,
    /// The process is about to end: it takes no proposals and stands for nothing.
    pub(crate) leaving: Option<Leaving>,
    /// What the last `Effect::LeaderChanged` said.
    told: (Option<VoterId>, Term),
    pub(crate) out: Vec<Effect>,
}

impl RaftNode {
    /// Begins a life. `first`: only on the very first start of the whole system and on an empty disk, the same
    /// for everybody, with `own` among them. With an empty `saved` and no `first` it is no member, and knocks.
    pub fn start(
        own: VoterId, first: Option<Members>, saved: PersistentState, timing: Timing, seed: u64, now: Micros,
    ) -> (RaftNode, Vec<Effect>) {
        let empty = saved.term == Term(0) && saved.snapshot.is_none() && saved.entries.is_empty();
        let holds = saved.entries.iter().map(|entry| entry.index).max().unwrap_or_default();
        let log = Log::open(saved.snapshot, saved.entries);
        let restored = log.snapshot_index();
        // What was committed then is so for ever, whoever leads now: it is handed out without asking anybody.
        let committed = saved.commit_index.min(log.last()).max(restored);
        let disk = Disk::open(saved.term, saved.voted_for, &log, holds, committed);
        let mut book = RaftNode {
            own,
            timing,
            chance: oorandom::Rand64::new(u128::from(seed)),
            now,
            term: saved.term.max(log.last_term()),
            voted: saved.voted_for.filter(|_| saved.term >= log.last_term()),
            log,
            disk,
            commit: committed,
            applied: restored,
            role: Role::Following,
            leader: None,
            heard_leader: None,
            proved: None,
            thaw: now,
            deadline: 0,
            verified: committed,
            owes_vote: false,
            owes_round: None,
            coming: None,
            places: Vec::new(),
            next_knock: now,
            hasty: false,
            leaving: None,
            told: (None, Term(0)),
            out: Vec::new(),
        };
        if let (true, Some(members)) = (empty, first) {
            // The same first entry everywhere, in a term that nobody is elected in.
            book.term = Term(1);
            book.log.append(Entry {
                index: LogIndex(1),
                term: Term(1),
                payload: EntryPayload::Members(members),
            });
        }
        book.told.1 = book.term;
        if book.is_member() {
            book.next_knock = now + timing.join_interval;
        }
        book.arm();
        if !empty {
            // Perhaps all were down. Where a leader lives, those that hear it refuse the question.
            book.arm_within(FIRST_WAIT);
            book.hasty = true;
        }
        if let Some(snapshot) = book.log.snapshot().filter(|snapshot| snapshot.index > LogIndex(0)) {
            book.out.push(Effect::Restore { index: snapshot.index, data: snapshot.data.clone() });
        }
        let effects = book.finish();
        (book, effects)
    }

    /// Takes one event at `now` (steady clock, microseconds) and tells what is to be done, in order.
    pub fn step(&mut self, now: Micros, event: Event) -> Vec<Effect> {
        self.notice_stall(now);
        self.now = self.now.max(now);
        // Before anything else: it may have been frozen since the last event.
        self.check_lead();
        match event {
            Event::Tick => self.tick(),
            Event::Received { from, message } => self.received(from, message),
            Event::Propose { call: ask, data } => self.propose(ask, data),
            Event::Read { call: ask } => self.read(ask),
            Event::Synced { write } => {
                if self.disk.synced(write, self.log.last()) {
                    self.after_sync();
                }
            }
            Event::WriteFailed { write } => {
                if self.disk.failed(write, self.now + self.timing.election_timeout) {
                    self.give_up();
                }
            }
            Event::Peers { addresses: mut places } => {
                places.truncate(MOST_PEERS);
                if self.places.is_empty() && !self.is_member() {
                    self.next_knock = self.now;
                }
                self.places = places;
            }
            Event::SnapshotTaken { index, data } => self.kept(index, data),
            Event::ConfirmQuorum => self.want_proof(),
            Event::PrepareShutdown => self.leaving = self.leaving.take().or_else(|| Some(Leaving::default())),
        }
        self.finish()
    }

    /// When the next `Event::Tick` is wanted, at the latest; it may lie in the past.
    pub fn next_tick_at(&self) -> Micros {
        let mut due = match &self.role {
            Role::Leading(lead) => lead.next_beat,
            Role::Asking(votes) | Role::Standing(votes) => self.deadline.min(votes.next_ask),
            Role::Following if self.is_member() => self.deadline,
            Role::Following => Micros::MAX,
        };
        if self.leaderless() {
            due = due.min(self.next_knock);
        } else if !self.is_member() {
            due = due.min(self.deadline);
        }
        if let Some(ask) = self.release_due() {
            due = due.min(ask);
        }
        self.disk.due().map_or(due, |write| due.min(write))
    }

    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leading(_))
    }

    /// The leader of the own term, where it is known.
    pub fn leader(&self) -> Option<VoterId> {
        self.leader
    }

    /// The newest members in the log here, committed or not.
    pub fn members(&self) -> &Members {
        self.log.members()
    }

    /// All entries up to here are known to be committed, and their commands were handed out.
    pub fn commit_index(&self) -> LogIndex {
        self.commit
    }

    /// The end of the own log.
    pub fn last_index(&self) -> LogIndex {
        self.log.last()
    }

    /// The entry at an index, where it is in memory.
    pub fn entry(&self, index: LogIndex) -> Option<&Entry> {
        self.log.get(index)
    }

    /// A hash of all that decides what it does from `now` on, so that a checker finds out which states
    /// are the same. Instants are told by how far they are, and no farther than anything depends on.
    ///
    /// Of a drawn wait (`deadline`) only the election spans are told that it lasts at most, and the
    /// generator is not told at all: whoever lets timers ring at will misses only the exact lengths.
    /// Write numbers, and what the last `Effect::LeaderChanged` said, follow from the rest.
    pub fn fingerprint(&self, now: Micros) -> u64 {
        let mut marks = FingerprintHasher::new(self.now.max(now));
        let RaftNode {
            own,
            timing,
            chance: _,
            now: _,
            term,
            voted,
            log,
            disk,
            commit,
            applied,
            role,
            leader,
            heard_leader,
            proved: _,
            thaw: _,
            deadline,
            verified,
            owes_vote,
            owes_round,
            coming,
            places,
            next_knock,
            hasty,
            leaving,
            told: _,
            out: _,
        } = self;
        marks.add((own, term, voted, log, commit, applied, leader, verified));
        marks.add((owes_vote, owes_round, coming, places, hasty, leaving.is_some()));
        if let Some(leaving) = leaving {
            leaving.mark(&mut marks);
        }
        disk.mark(&mut marks, HUNG_ELECTIONS * timing.election_timeout);
        if leader.is_none() {
            // Where there is a leader, the next knock is set anew when it is gone.
            marks.add(marks.time_until(*next_knock));
        } else if !self.is_leader() {
            // The last sign of life counts only as that of a leader that is still followed.
            marks.add(
                heard_leader
                    .map_or(timing.election_timeout, |at| marks.time_since(at, timing.election_timeout)),
            );
        }
        if !self.is_leader() {
            let span = timing.election_timeout.max(1);
            marks.add((marks.time_until(*deadline) + span - 1) / span);
        }
        match role {
            Role::Following => marks.add(0u8),
            Role::Asking(votes) => {
                marks.add(1u8);
                votes.mark(&mut marks);
            }
            Role::Standing(votes) => {
                marks.add(2u8);
                votes.mark(&mut marks);
            }
            Role::Leading(lead) => {
                marks.add(3u8);
                lead.mark(&mut marks, timing, log.is_long());
            }
        }
        marks.value()
    }

    pub fn term(&self) -> Term {
        self.term
    }

    /// What entries and snapshots take in memory here, those on their way to and from others with them, in bytes.
    pub fn memory_bytes(&self) -> usize {
        let led = match &self.role {
            Role::Leading(lead) => lead.snapshots(&self.log),
            _ => 0,
        };
        self.log.bytes() + led + self.coming.as_ref().map_or(0, Coming::bytes)
    }

    /// True if the newest members here have the own seat.
    pub fn is_member(&self) -> bool {
        self.votes_in(self.own)
    }

    pub(crate) fn votes_in(&self, seat: VoterId) -> bool {
        self.log.members().0.contains(&seat)
    }

    pub(crate) fn majority(&self) -> usize {
        self.log.members().0.len() / 2 + 1
    }

    pub(crate) fn disk_well(&self) -> bool {
        self.disk.well(self.now, HUNG_ELECTIONS * self.timing.election_timeout)
    }

    pub(crate) fn say(&mut self, to: VoterId, word: Rpc) {
        self.say_in(self.term, to, word);
    }

    pub(crate) fn say_in(&mut self, term: Term, to: VoterId, word: Rpc) {
        self.out.push(Effect::Send { to: to.address, message: Message::Rpc { to, term, rpc: word } });
    }

    /// Sets the time after which a follower looks for another leader.
    pub(crate) fn arm(&mut self) {
        let span = self.timing.election_timeout.max(1);
        self.deadline = self.now + span + self.chance.rand_range(0..span as u64) as Micros;
    }

    /// The same with a wait of one's own choice.
    pub(crate) fn arm_within(&mut self, (from, to): (Micros, Micros)) {
        self.deadline = self.now + from + self.chance.rand_range(0..(to - from) as u64) as Micros;
    }

    /// The one way to follow: in a newer term, or in the own one. What a leader had open is answered.
    pub(crate) fn follow(&mut self, term: Term, leader: Option<VoterId>) {
        if term > self.term {
            self.term = term;
            self.voted = None;
            self.owes_vote = false;
            self.owes_round = None;
            // All that is committed is in the log of every later leader.
            self.verified = self.commit;
        }
        if self.leader.is_some() && leader.is_none() {
            self.next_knock = self.now + self.timing.join_interval;
        }
        self.leader = leader;
        self.hasty &= leader.is_none();
        if let Role::Leading(lead) = mem::replace(&mut self.role, Role::Following) {
            self.verified = self.commit;
            lead.close(leader.map(|seat| seat.address), &mut self.out);
            self.log.trim(NOBODY);
            self.arm();
        }
    }

    /// A leader whose disk or majority is gone.
    pub(crate) fn give_up(&mut self) {
        if !matches!(self.role, Role::Following) {
            self.follow(self.term, None);
            self.arm();
        }
    }

    fn leaderless(&self) -> bool {
        self.leader.is_none()
    }

    fn tick(&mut self) {
        if self.is_leader() {
            return self.beat();
        }
        if self.now >= self.deadline {
            self.arm();
            if self.is_member() && self.disk_well() && !self.leaves() {
                self.ask_to_stand();
            } else if !matches!(self.role, Role::Following) || self.leader.is_some() {
                self.follow(self.term, None);
                self.next_knock = self.now;
            }
        }
        self.ask_again();
        if self.leaderless() && self.now >= self.next_knock {
            self.knock();
        }
    }

    fn knock(&mut self) {
        self.next_knock = self.now + self.timing.join_interval;
        let mut places = self.places.clone();
        places.extend(self.log.members().0.iter().map(|seat| seat.address));
        places.sort_unstable();
        places.dedup();
        for to in places.into_iter().filter(|place| *place != self.own.address) {
            self.out.push(Effect::Send { to, message: Message::JoinRequest });
        }
    }

    fn received(&mut self, from: VoterId, message: Message) {
        if from == self.own {
            return;
        }
        match message {
            Message::JoinRequest if self.is_leader() => self.knocked(from),
            Message::JoinRequest => {
                let place = self.leader.map(|seat| seat.address).filter(|place| *place != from.address);
                if let Some(place) = place {
                    self.out.push(Effect::Send {
                        to: from.address,
                        message: Message::LeaderHint { address: place },
                    });
                }
            }
            Message::LeaderHint { address: place } => {
                // Where the peers told are all that serve control, it was knocked at already.
                let known = self.places.contains(&place) || place == self.own.address;
                if self.leaderless()
                    && !known
                    && !self.log.members().0.iter().any(|seat| seat.address == place)
                {
                    self.out.push(Effect::Send { to: place, message: Message::JoinRequest });
                }
            }
            Message::Rpc { to, term, rpc: word } if to == self.own => self.heard(from, term, word),
            Message::Rpc { .. } => {}
        }
    }

    fn heard(&mut self, from: VoterId, term: Term, word: Rpc) {
        match word {
            Rpc::PreVoteRequest { last_index: last, last_term } => {
                self.may_stand(from, term, last, last_term)
            }
            Rpc::PreVoteResponse { granted: true } => self.may_stood(from, term),
            Rpc::VoteRequest { last_index: last, last_term } => self.stand_asked(from, term, last, last_term),
            Rpc::AppendEntries { .. } | Rpc::Heartbeat { .. } | Rpc::InstallSnapshot { .. } => {
                if term < self.term {
                    self.say(from, Rpc::StaleTerm);
                } else if self.accept(from, term) {
                    self.by_leader(from, word);
                }
            }
            _ if term > self.term => {
                if self.votes_in(from) || self.knows_peer(from) {
                    self.follow(term, None);
                }
            }
            _ if term < self.term => {}
            Rpc::VoteResponse { granted: true } => self.stood(from),
            Rpc::VoteResponse { granted: false }
            | Rpc::PreVoteResponse { granted: false }
            | Rpc::StaleTerm => {}
            Rpc::AppendResponse { match_index: matched, received_index: got, round } => {
                self.appended(from, matched, got, round)
            }
            Rpc::AppendRejected { prev_index: prev, retry_index: hint, round } => {
                self.gap(from, prev, hint, round)
            }
            Rpc::SnapshotProgress { last_included_index: index, received_bytes: upto, round } => {
                self.taken(from, index, upto, round)
            }
            Rpc::TransferLeadership { successor: next } => self.handed(from, next),
            Rpc::ShutdownQuery { last_index: last } => self.asked_release(from, last),
            Rpc::ShutdownApproved { up_to: upto } => self.released(from, upto),
        }
    }

    fn kept(&mut self, index: LogIndex, data: Vec<u8>) {
        if index > self.log.snapshot_index() && index <= self.applied {
            let term = self.log.term_at(index).expect("what comes after the snapshot is in memory");
            let members = self.log.members_at(index).clone();
            self.log.replace(crate::Snapshot { index, term, members, data });
            self.log.trim(self.needed());
            self.share_snapshots();
        }
    }

    /// A leader's snapshot stands in for what was to be handed out up to its index.
    pub(crate) fn restored(&mut self, index: LogIndex, data: Vec<u8>) {
        self.commit = index;
        self.applied = index;
        self.out.push(Effect::Restore { index, data });
    }

    /// What an event leads to besides its own effects: commits, sends, answers, and the next write.
    fn finish(&mut self) -> Vec<Effect> {
        if self.is_leader() {
            self.commit_more();
            if !self.leaves() {
                self.tend_members();
                self.commit_more();
            }
        }
        if self.applied < self.commit {
            self.disk.committed(self.now, self.commit);
        }
        self.apply();
        if self.is_leader() {
            self.answer_proof();
            self.answer_reads();
            self.pump();
            if self.leaves() {
                self.hand_over();
            }
        }
        self.ask_release();
        if let Some(write) = self.disk.issue(self.now, self.term, self.voted, &self.log, self.commit) {
            self.out.push(Effect::Write(write));
        }
        if self.told != (self.leader, self.term) && (self.told.0 != self.leader || self.leader.is_some()) {
            self.told = (self.leader, self.term);
            self.out.push(Effect::LeaderChanged { leader: self.leader, term: self.term });
        }
        mem::take(&mut self.out)
    }

    fn apply(&mut self) {
        while self.applied < self.commit {
            let index = LogIndex(self.applied.0 + 1);
            let entry = self.log.get(index).expect("what is committed and not handed out is in memory");
            if let EntryPayload::Command(data) = &entry.payload {
                let data = data.clone();
                let ask = match &mut self.role {
                    Role::Leading(lead) => lead.ask_at(index),
                    _ => None,
                };
                self.out.push(Effect::Apply { index, data, call: ask });
            }
            self.applied = index;
        }
    }
}
