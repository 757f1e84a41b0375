//! Leading: entries to followers, commits, and reads that prove leadership first.

use std::collections::VecDeque;
use std::sync::Arc;

use types::{CallId, LogIndex, Micros, NodeAddress, VoterId};

use crate::book::{RaftNode, Role};
use crate::log::{Log, weight};
use crate::mark::FingerprintHasher;
use crate::proof::Proof;
use crate::seats::{LEARNER_ELECTIONS, Rounds};
use crate::{Effect, Entry, EntryPayload, Message, Rpc, Snapshot, Timing};

/// Most bytes of entries that are not committed; proposals beyond are refused.
const MOST_OPEN: usize = 4 * 1024 * 1024;
/// Most appends with entries that one follower has not answered yet.
const WINDOW: usize = 2;
/// What a byte is given before it is taken for lost, in microseconds: a link of 6 Mbit/s carries three in four, and
/// others share it. Doubled up to so many times where it came after all.
const BYTE: Micros = 3;
const MOST_TRIES: u32 = 3;
/// Bytes that are lost or there within a beat.
const LIGHT: usize = 8 * 1024;
/// Entries are held for a follower that has moved on within so many election spans.
const HOLD_ELECTIONS: Micros = 16;
/// Snapshots on their way that are not the newest, at most.
const OLD_SNAPSHOTS: usize = 2;
/// No follower needs anything.
pub(crate) const NOBODY: LogIndex = LogIndex(u64::MAX);
/// Most reads that wait for a proof of leadership; more are refused.
const MOST_READS: usize = 4096;

/// How a leader sends to one seat.
#[derive(Clone)]
enum Mode {
    /// Where its log leaves the leader's is not known: one append at a time, from `next` on. `bare`: without
    /// entries, as the last one was not answered.
    Probe { bare: bool, sent: bool },
    /// Entries follow each other before they are answered.
    Flow { flight: VecDeque<Flying> },
    /// It needs what is no longer in memory. `sent`: when the piece at `at` was, unless it is to be sent;
    /// `mute`: it did not answer, and a word from it comes first.
    Pieces { snapshot: Arc<Snapshot>, at: usize, sent: Option<Micros>, mute: bool },
}

/// An append that is not answered.
#[derive(Clone)]
struct Flying {
    upto: LogIndex,
    since: Micros,
    bytes: usize,
}

/// What a leader knows of one other seat, member or learner.
#[derive(Clone)]
pub(crate) struct Peer {
    pub(crate) seat: VoterId,
    /// Since when it is served in this term.
    pub(crate) since: Micros,
    /// Its last word of this term.
    pub(crate) heard: Option<Micros>,
    /// On its disk as in the log here.
    pub(crate) matched: LogIndex,
    next: LogIndex,
    mode: Mode,
    /// When something was sent that wants an answer, with the round it had.
    asked: Micros,
    asked_round: u64,
    /// The highest round that came back.
    pub(crate) round: u64,
    told: LogIndex,
    /// Bytes of the last append or piece sent to probe or as a snapshot.
    sent_bytes: usize,
    /// How often much was taken for lost lately, and whether what it has next was sent again.
    tries: u32,
    again: bool,
    /// When it last had more than before.
    moved: Micros,
    /// Of a learner that knocked here.
    pub(crate) rounds: Option<Rounds>,
    /// When it last said that it was about to end.
    pub(crate) leaving: Option<Micros>,
}

impl Peer {
    pub(crate) fn new(seat: VoterId, next: LogIndex, now: Micros) -> Peer {
        let mode = Mode::Probe { bare: false, sent: false };
        let (asked_round, round, told) = (0, 0, LogIndex(0));
        Peer {
            seat,
            since: now,
            heard: None,
            matched: LogIndex(0),
            next,
            mode,
            asked: now,
            asked_round,
            round,
            told,
            sent_bytes: 0,
            tries: 0,
            again: false,
            moved: now,
            rounds: None,
            leaving: None,
        }
    }

    /// How long it has said nothing, in microseconds.
    pub(crate) fn silent(&self, now: Micros) -> Micros {
        now - self.heard.unwrap_or(self.since)
    }

    /// True if its last word came within `span` of its telling that it was about to end: it has not come back since.
    pub(crate) fn ends(&self, span: Micros) -> bool {
        matches!((self.leaving, self.heard), (Some(told), Some(heard)) if heard - told < span)
    }

    /// `silence`: the longest that anything is told apart by, in microseconds.
    fn mark(&self, marks: &mut FingerprintHasher, timing: &Timing, silence: Micros, long: bool) {
        let Peer { seat, since, heard, matched, next, mode, asked, asked_round, round, told, .. } = self;
        let Peer { sent_bytes, tries, again, moved, rounds, leaving, .. } = self;
        let patience = self.patience(2 * timing.heartbeat_interval);
        if let Some(rounds) = rounds {
            rounds.mark(marks, timing.election_timeout);
        }
        if let Some(leaving) = leaving {
            marks.add(marks.time_since(*leaving, silence));
        }
        marks.add((seat, heard.is_some(), marks.time_since(heard.unwrap_or(*since), silence), matched, next));
        marks.add((marks.time_since(*asked, patience), asked_round, round, told));
        marks.add((sent_bytes.saturating_sub(LIGHT), tries, again));
        // It decides only what is held of a long log.
        marks.add(
            long.then(|| marks.time_since(*moved, silence.max(HOLD_ELECTIONS * timing.election_timeout))),
        );
        match mode {
            Mode::Probe { bare, sent } => marks.add((0u8, bare, sent)),
            Mode::Flow { flight } => {
                marks.add((1u8, flight.len()));
                for Flying { upto, since, bytes } in flight {
                    marks.add((upto, marks.time_since(*since, patience), bytes.saturating_sub(LIGHT)));
                }
            }
            Mode::Pieces { snapshot, at, sent, mute } => {
                marks.add((2u8, snapshot, at, sent.map(|at| marks.time_since(at, patience)), mute));
            }
        }
    }

    fn snapshot(&self) -> Option<&Arc<Snapshot>> {
        match &self.mode {
            Mode::Pieces { snapshot, .. } => Some(snapshot),
            Mode::Probe { .. } | Mode::Flow { .. } => None,
        }
    }

    fn on_its_way(&self) -> usize {
        match &self.mode {
            Mode::Flow { flight } => flight.iter().map(|flying| flying.bytes).sum(),
            Mode::Probe { .. } | Mode::Pieces { .. } => self.sent_bytes,
        }
    }

    /// How long to wait for an answer: `least`, and what the bytes on their way take on a slow link. Guards against
    /// sending a second time what is only on its way, which makes the link slower still.
    fn patience(&self, least: Micros) -> Micros {
        let bytes = self.on_its_way();
        least + ((bytes.saturating_sub(LIGHT) as Micros * BYTE) << self.tries)
    }

    /// Much was sent, and not answered in time.
    fn lost(&mut self, bytes: usize) {
        if bytes > LIGHT {
            self.tries = (self.tries + 1).min(MOST_TRIES);
            self.again = true;
        }
    }

    /// It has more than before. What was sent twice tells nothing of the link, so that the patience stays (Karn and
    /// Partridge, "Improving round-trip time estimates", 1987); what came at the first try lessens it.
    fn moved(&mut self, now: Micros) {
        self.moved = now;
        if !std::mem::take(&mut self.again) {
            self.tries = self.tries.saturating_sub(1);
        }
    }

    /// It has all up to here, or has it once the snapshot on its way is whole.
    fn has(&self) -> LogIndex {
        match &self.mode {
            Mode::Pieces { snapshot, .. } => snapshot.index,
            _ if self.matched > LogIndex(0) => self.matched,
            _ => LogIndex(self.next.0.saturating_sub(1)),
        }
    }

    fn probe(&mut self, next: LogIndex, bare: bool) {
        self.next = next;
        self.mode = Mode::Probe { bare, sent: false };
    }
}

/// What is the same for all sends of one step.
struct Desk<'a> {
    now: Micros,
    term: types::Term,
    log: &'a Log,
    commit: LogIndex,
    round: u64,
    piece: usize,
    out: &'a mut Vec<Effect>,
}

impl Desk<'_> {
    fn say(&mut self, peer: &mut Peer, word: Rpc) {
        let asks = !matches!(word, Rpc::Heartbeat { round: None, .. });
        if asks {
            peer.asked = self.now;
            peer.asked_round = self.round;
        }
        if !matches!(word, Rpc::InstallSnapshot { .. }) {
            peer.told = self.commit;
        }
        let message = Message::Rpc { to: peer.seat, term: self.term, rpc: word };
        self.out.push(Effect::Send { to: peer.seat.address, message });
    }

    fn append(&mut self, peer: &mut Peer, entries: Vec<Entry>) {
        let prev = LogIndex(peer.next.0 - 1);
        let prev_term = self.log.term_at(prev).expect("a seat that needs what is gone gets pieces");
        self.say(
            peer,
            Rpc::AppendEntries {
                prev_index: prev,
                prev_term,
                entries,
                commit_index: self.commit,
                round: self.round,
            },
        );
    }

    /// Sends what can be sent now.
    fn serve(&mut self, peer: &mut Peer) {
        if peer.next <= self.log.base()
            && !matches!(peer.mode, Mode::Pieces { .. })
            && let Some(snapshot) = self.log.snapshot()
        {
            peer.mode =
                Mode::Pieces { snapshot: snapshot.clone(), at: 0, sent: None, mute: peer.heard.is_none() };
            peer.moved(self.now);
        }
        match &mut peer.mode {
            Mode::Probe { sent: true, .. } => {}
            Mode::Probe { bare, sent } => {
                *sent = true;
                let bytes = if *bare { None } else { Some(self.piece) };
                let entries = bytes.map_or(Vec::new(), |bytes| self.log.slice(peer.next, bytes));
                peer.sent_bytes = entries.iter().map(weight).sum();
                self.append(peer, entries);
            }
            Mode::Flow { .. } => {
                while peer.next <= self.log.last()
                    && matches!(&peer.mode, Mode::Flow { flight } if flight.len() < WINDOW)
                {
                    let entries = self.log.slice(peer.next, self.piece);
                    let upto = LogIndex(peer.next.0 + entries.len() as u64 - 1);
                    let bytes = entries.iter().map(weight).sum();
                    self.append(peer, entries);
                    peer.next = LogIndex(upto.0 + 1);
                    if let Mode::Flow { flight } = &mut peer.mode {
                        flight.push_back(Flying { upto, since: self.now, bytes });
                    }
                }
            }
            Mode::Pieces { snapshot, at, sent, mute: false } if sent.is_none() => {
                *sent = Some(self.now);
                let end = snapshot.data.len().min(*at + self.piece.max(1));
                peer.sent_bytes = end - *at;
                let word = Rpc::InstallSnapshot {
                    last_included_index: snapshot.index,
                    last_included_term: snapshot.term,
                    members: snapshot.members.clone(),
                    total_bytes: snapshot.data.len() as u64,
                    offset: *at as u64,
                    data: snapshot.data[*at..end].to_vec(),
                    round: self.round,
                };
                self.say(peer, word);
            }
            Mode::Pieces { .. } => {}
        }
        if peer.asked_round < self.round {
            self.say(peer, Rpc::Heartbeat { commit_index: self.commit, round: Some(self.round) });
        } else if peer.told < self.commit && matches!(peer.mode, Mode::Flow { .. }) {
            self.say(peer, Rpc::Heartbeat { commit_index: self.commit, round: None });
        }
    }

    /// Once a beat: a sign of life, and again what was not answered.
    fn beat(&mut self, peer: &mut Peer, beat: Micros) {
        let (patience, bytes) = (peer.patience(beat), peer.on_its_way());
        let late = |at: Micros| self.now - at >= patience;
        match &mut peer.mode {
            Mode::Probe { bare, sent } if late(peer.asked) => {
                (*bare, *sent) = (true, false);
                peer.lost(bytes);
            }
            Mode::Flow { flight } if flight.front().is_some_and(|first| late(first.since)) => {
                peer.probe(LogIndex(peer.matched.0 + 1), true);
                peer.lost(bytes);
            }
            Mode::Pieces { sent, mute, .. } if sent.is_some_and(|at| late(at + beat)) => {
                (*sent, *mute) = (None, true);
                peer.lost(bytes);
            }
            _ => {}
        }
        self.serve(peer);
        if self.now - peer.asked >= beat / 2 {
            self.say(peer, Rpc::Heartbeat { commit_index: self.commit, round: Some(self.round) });
        }
    }
}

/// A leader's state, from its election to its end.
#[derive(Clone)]
pub(crate) struct Leading {
    pub(crate) since: Micros,
    /// Its first entry; all before it is committed once this one is.
    pub(crate) first: LogIndex,
    pub(crate) peers: Vec<Peer>,
    pub(crate) next_beat: Micros,
    asks: VecDeque<(LogIndex, CallId)>,
    /// Each read with the round that must come back from a majority.
    pub(crate) reads: VecDeque<(u64, CallId)>,
    pub(crate) round: u64,
    /// Bytes of entries that are not committed.
    open: usize,
    /// The voter that is to go, and the round that those who stay answer first.
    pub(crate) wish: Option<(VoterId, u64)>,
    pub(crate) proof: Proof,
}

impl Leading {
    /// Answers all that is open: what was placed may still be committed, the rest was never done.
    pub(crate) fn close(self, leader: Option<NodeAddress>, out: &mut Vec<Effect>) {
        out.extend(self.asks.into_iter().map(|(_, ask)| Effect::Rejected {
            call: ask,
            leader,
            may_commit: true,
        }));
        out.extend(self.reads.into_iter().map(|(_, ask)| Effect::Rejected {
            call: ask,
            leader,
            may_commit: false,
        }));
    }

    /// `long`: the log is longer than the tail that is kept in any case.
    pub(crate) fn mark(&self, marks: &mut FingerprintHasher, timing: &Timing, long: bool) {
        let Leading { since, first, peers, next_beat, asks, reads, round, open, wish, proof } = self;
        marks.add((
            marks.time_since(*since, timing.election_timeout),
            first,
            marks.time_until(*next_beat),
            asks,
            reads,
            round,
            open,
            wish,
        ));
        proof.mark(marks);
        let silence = timing
            .removal_timeout
            .max(timing.replacement_timeout)
            .max(LEARNER_ELECTIONS * timing.election_timeout);
        for peer in peers {
            peer.mark(marks, timing, silence, long);
        }
    }

    pub(crate) fn ask_at(&mut self, index: LogIndex) -> Option<CallId> {
        self.asks.pop_front_if(|(at, _)| *at == index).map(|(_, ask)| ask)
    }

    /// Bytes of the snapshots on their way that are not the log's own any more, each once.
    pub(crate) fn snapshots(&self, log: &Log) -> usize {
        let mut sent: Vec<_> = self.peers.iter().filter_map(Peer::snapshot).collect();
        sent.sort_unstable_by_key(|snapshot| snapshot.index);
        sent.dedup_by_key(|snapshot| snapshot.index);
        sent.iter().filter(|one| one.index != log.snapshot_index()).map(|one| one.data.len()).sum()
    }

    pub(crate) fn peer(&self, seat: VoterId) -> Option<&Peer> {
        self.peers.iter().find(|peer| peer.seat == seat)
    }
}

impl RaftNode {
    /// Elected.
    pub(crate) fn lead(&mut self) {
        let next = LogIndex(self.log.last().0 + 1);
        let others = self.log.members().0.iter().filter(|seat| **seat != self.own);
        let peers = others.map(|seat| Peer::new(*seat, next, self.now)).collect();
        self.role = Role::Leading(Box::new(Leading {
            since: self.now,
            first: next,
            peers,
            next_beat: self.now + self.timing.heartbeat_interval,
            asks: VecDeque::new(),
            reads: VecDeque::new(),
            round: 1,
            open: self.log.weight_after(self.commit),
            wish: None,
            proof: Proof::default(),
        }));
        self.leader = Some(self.own);
        self.place(EntryPayload::Noop);
    }

    /// Puts an entry at the end of the own log.
    pub(crate) fn place(&mut self, what: EntryPayload) -> LogIndex {
        let index = LogIndex(self.log.last().0 + 1);
        let entry = Entry { index, term: self.term, payload: what };
        if let Role::Leading(lead) = &mut self.role {
            lead.open += weight(&entry);
        }
        self.log.append(entry);
        index
    }

    fn refuse(&mut self, ask: CallId) {
        let leader = self.leader.map(|seat| seat.address);
        self.out.push(Effect::Rejected { call: ask, leader, may_commit: false });
    }

    pub(crate) fn propose(&mut self, ask: CallId, data: Vec<u8>) {
        if self.leaves() || !matches!(&self.role, Role::Leading(lead) if lead.open + data.len() <= MOST_OPEN)
        {
            return self.refuse(ask);
        }
        let index = self.place(EntryPayload::Command(data));
        if let Role::Leading(lead) = &mut self.role {
            lead.asks.push_back((index, ask));
        }
    }

    pub(crate) fn read(&mut self, ask: CallId) {
        let leaves = self.leaves();
        match &mut self.role {
            // Only what is sent after the ask can prove that it still leads.
            Role::Leading(lead) if !leaves && lead.reads.len() < MOST_READS => {
                lead.reads.push_back((lead.round + 1, ask))
            }
            _ => self.refuse(ask),
        }
    }

    pub(crate) fn knows_peer(&self, seat: VoterId) -> bool {
        matches!(&self.role, Role::Leading(lead) if lead.peer(seat).is_some())
    }

    /// Gives up where no majority was heard from within an election span, or the own disk hangs. Called before
    /// every event, as the process may have been frozen.
    pub(crate) fn check_lead(&mut self) {
        let Role::Leading(lead) = &self.role else { return };
        let fresh = self.now - lead.since < self.timing.election_timeout;
        if !(fresh || self.can_commit(&self.log.members().0)) || !self.disk_well() {
            self.give_up();
        }
    }

    /// How many of `seats` answered within the last election span; the own one always does.
    pub(crate) fn lately(&self, seats: &[VoterId]) -> usize {
        let Role::Leading(lead) = &self.role else { return 0 };
        let spoke =
            |peer: &Peer| peer.heard.is_some() && peer.silent(self.now) < self.timing.election_timeout;
        seats.iter().filter(|seat| **seat == self.own || lead.peer(**seat).is_some_and(spoke)).count()
    }

    /// True if a majority of `seats` answered lately.
    pub(crate) fn can_commit(&self, seats: &[VoterId]) -> bool {
        self.lately(seats) > seats.len() / 2
    }

    /// The highest value that a majority of the members has.
    fn agreed<T: Ord + Copy>(&self, own: T, of: impl Fn(&Peer) -> T) -> Option<T> {
        let Role::Leading(lead) = &self.role else { return None };
        let value = |seat: &VoterId| if *seat == self.own { Some(own) } else { lead.peer(*seat).map(&of) };
        let mut values: Vec<Option<T>> = self.log.members().0.iter().map(value).collect();
        values.sort_unstable();
        values[(values.len() - 1) / 2]
    }

    pub(crate) fn commit_more(&mut self) {
        // Entries of older terms are committed only with one of the own term after them.
        let agreed = self.agreed(self.disk.stable(), |peer| peer.matched);
        let Some(upto) = agreed.filter(|upto| *upto > self.commit) else { return };
        if self.log.term_at(upto) == Some(self.term)
            && let Role::Leading(lead) = &mut self.role
        {
            let all = self.log.weight_after(self.commit) - self.log.weight_after(upto);
            lead.open = lead.open.saturating_sub(all);
            self.commit = upto;
        }
    }

    /// The round that proves the lead has come back from a majority.
    pub(crate) fn answer_proof(&mut self) {
        let Role::Leading(lead) = &self.role else { return };
        let Some((round, sent)) = lead.proof.asked else { return };
        if self.agreed(u64::MAX, |peer| peer.round).is_some_and(|proved| round <= proved) {
            self.prove(sent);
            if let Role::Leading(lead) = &mut self.role {
                lead.proof.asked = None;
            }
        }
    }

    pub(crate) fn answer_reads(&mut self) {
        let proved = self.agreed(u64::MAX, |peer| peer.round).unwrap_or(0);
        let Role::Leading(lead) = &mut self.role else { return };
        if self.commit < lead.first {
            return;
        }
        // Alone, it needs no proof.
        while let Some((_, ask)) = lead.reads.pop_front_if(|(round, _)| *round <= proved) {
            self.out.push(Effect::ReadReady { call: ask, index: self.commit });
        }
        // One round at a time; reads that come meanwhile share the next.
        if proved >= lead.round && !lead.reads.is_empty() {
            lead.round += 1;
        }
    }

    fn with_desk(&mut self, mut each: impl FnMut(&mut Desk, &mut Peer)) {
        let Role::Leading(lead) = &mut self.role else { return };
        let (now, term, commit, piece) = (self.now, self.term, self.commit, self.timing.max_chunk_bytes);
        let mut desk =
            Desk { now, term, log: &self.log, commit, round: lead.round, piece, out: &mut self.out };
        for peer in &mut lead.peers {
            each(&mut desk, peer);
        }
    }

    pub(crate) fn pump(&mut self) {
        self.with_desk(|desk, peer| desk.serve(peer));
    }

    pub(crate) fn beat(&mut self) {
        let beat = self.timing.heartbeat_interval;
        let Role::Leading(lead) = &mut self.role else { return };
        if self.now < lead.next_beat {
            return;
        }
        lead.next_beat = self.now + beat;
        let proves = lead.proof.wanted && lead.proof.asked.is_none();
        if !lead.reads.is_empty() || proves {
            lead.round += 1;
        }
        if proves {
            lead.proof = Proof { wanted: false, asked: Some((lead.round, self.now)) };
        }
        if self.log.holds() {
            self.log.trim(self.needed());
        }
        self.with_desk(|desk, peer| desk.beat(peer, beat));
    }

    /// The last entry of the follower farthest behind, of those that are there and move.
    pub(crate) fn needed(&self) -> LogIndex {
        let Role::Leading(lead) = &self.role else { return NOBODY };
        let election = self.timing.election_timeout;
        let follows = |peer: &&Peer| {
            peer.heard.is_some()
                && peer.silent(self.now) < LEARNER_ELECTIONS * election
                && self.now - peer.moved < HOLD_ELECTIONS * election
        };
        lead.peers.iter().filter(follows).map(Peer::has).min().unwrap_or(NOBODY)
    }

    /// Bounds how many snapshots are in memory: whoever is sent the oldest begins anew with the newest.
    pub(crate) fn share_snapshots(&mut self) {
        let newest = self.log.snapshot_index();
        let Role::Leading(lead) = &mut self.role else { return };
        let old = |peer: &Peer| peer.snapshot().map(|snapshot| snapshot.index).filter(|at| *at < newest);
        let mut sent: Vec<LogIndex> = lead.peers.iter().filter_map(old).collect();
        sent.sort_unstable();
        sent.dedup();
        let Some(last) = sent.len().checked_sub(OLD_SNAPSHOTS + 1).map(|at| sent[at]) else { return };
        for peer in lead.peers.iter_mut().filter(|peer| old(peer).is_some_and(|at| at <= last)) {
            peer.probe(LogIndex(peer.matched.0 + 1), true);
        }
    }

    /// Notes a word of a seat that is served, and its round.
    pub(crate) fn peer_spoke(&mut self, from: VoterId, round: u64) -> Option<&mut Peer> {
        let Role::Leading(lead) = &mut self.role else { return None };
        let newest = lead.round;
        let peer = lead.peers.iter_mut().find(|peer| peer.seat == from)?;
        peer.heard = Some(self.now);
        peer.round = peer.round.max(round.min(newest));
        if let Mode::Pieces { mute, .. } = &mut peer.mode {
            *mute = false;
        }
        Some(peer)
    }

    pub(crate) fn appended(&mut self, from: VoterId, matched: LogIndex, got: LogIndex, round: u64) {
        let (now, last) = (self.now, self.log.last());
        let Some(peer) = self.peer_spoke(from, round) else { return };
        if matched > got || got > last {
            return;
        }
        if matched > peer.matched {
            peer.matched = matched;
            peer.moved(now);
        }
        let next = LogIndex(got.0 + 1);
        match &mut peer.mode {
            Mode::Probe { .. } if next >= peer.next => {
                peer.next = next;
                peer.mode = Mode::Flow { flight: VecDeque::new() };
            }
            Mode::Pieces { snapshot, .. } if got >= snapshot.index => {
                peer.next = next;
                peer.mode = Mode::Flow { flight: VecDeque::new() };
            }
            Mode::Flow { flight } => {
                while flight.pop_front_if(|flying| flying.upto <= matched).is_some() {}
                peer.next = peer.next.max(next);
            }
            Mode::Probe { .. } | Mode::Pieces { .. } => {}
        }
    }

    pub(crate) fn gap(&mut self, from: VoterId, prev: LogIndex, hint: LogIndex, round: u64) {
        let now = self.now;
        let Some(peer) = self.peer_spoke(from, round) else { return };
        let asked = match peer.mode {
            Mode::Probe { .. } => prev.0 == peer.next.0 - 1,
            Mode::Flow { .. } => prev < peer.next,
            Mode::Pieces { .. } => false,
        };
        if asked && prev > peer.matched {
            let agreed = hint.min(LogIndex(prev.0 - 1)).max(peer.matched);
            peer.probe(LogIndex(agreed.0 + 1), false);
            peer.moved = now;
        }
    }

    pub(crate) fn taken(&mut self, from: VoterId, index: LogIndex, upto: u64, round: u64) {
        let now = self.now;
        let Some(peer) = self.peer_spoke(from, round) else { return };
        if let Mode::Pieces { snapshot, at, sent, .. } = &mut peer.mode
            && snapshot.index == index
            && let Ok(upto) = usize::try_from(upto)
            && upto < snapshot.data.len()
            && upto != *at
        {
            (*at, *sent) = (upto, None);
            peer.moved(now);
        }
    }
}
