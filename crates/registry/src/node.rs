//! One node's part: beats and drains taken, news passed on, copies compared, silence judged.

mod comparison;

use indexmap::IndexMap;
use oorandom::Rand32;
use types::{CallId, MS, Micros, NodeAddress, SECOND};

use comparison::Comparison;

use crate::drains::{MOST_ROUNDS, Need, Round};
use crate::instance_table::{Heard, Learnt, List};
use crate::{Effect, Event, Heartbeat, Instance, InstanceId, InstanceState, Message, Record, Timing};

/// Up to this many other nodes, news goes to each directly; beyond, each hub tells the foyers that watch it.
const SMALL: usize = 24;
/// Changes are gathered for this long, so that many at once travel together.
const GATHER: Micros = 50 * MS;
/// The same for drains that are passed on.
const GATHER_LEAVING: Micros = 15 * MS;
/// Hubs that tell each foyer which can't choose its own: for news, and for drains, as the one may die.
const OWNERS: usize = 1;
const DRAIN_OWNERS: usize = 2;
/// How many others get a drain from each node that hears of it for the first time.
const PASSED_TO: usize = 3;
/// A drain that is found by comparing copies is passed on while it is younger.
const FRESH: Micros = 3 * SECOND;
/// Between two comparisons by chance up to so many thousandths of `Timing::compare_interval` more.
const COMPARE_SPREAD: u32 = 667;
/// One that starts with nothing asks this often, so many times.
const FIRST_ASK: Micros = 250 * MS;
const FIRST_ASKS: u32 = 12;
/// How often a hub looks for silent instances.
const SWEEP: Micros = 250 * MS;
/// A step that comes this late means that the process stood still: it can't judge who was silent meanwhile.
const STALL: Micros = 2 * SECOND;
/// After standing still for longer than instances may be silent, beats may have lain in buffers: not taken.
const THAW: Micros = 250 * MS;
/// What was remembered and has not beaten so long after the start is silent: before any machine counts as in
/// touch again, and long enough for a beat, even a late one, to come.
const REMEMBERED: Micros = 2_500 * MS;
/// Which is told so many times more, so far apart, as words may be lost.
const TOLD_AGAIN: u32 = 2;
const TOLD_AGAIN_EVERY: Micros = 150 * MS;
/// An instance is sent to another hub at most this often.
const MOVES: Micros = 30 * SECOND;
/// Records in a message, in bytes.
const PIECE: usize = 930;
/// Which instances there are, as one node knows it.
#[derive(Debug)]
pub struct Registry {
    own: NodeAddress,
    timing: Timing,
    rng: Rand32,
    list: List,
    /// Other nodes that are up, in order.
    hubs: Vec<NodeAddress>,
    others: Vec<NodeAddress>,
    /// Foyers that watch this hub, in order; and those that watch none, once that is known.
    watched_by: Vec<NodeAddress>,
    unwatching: Option<Vec<NodeAddress>>,
    /// Whether this node takes beats.
    hub: bool,
    /// The ordered voters, in order; a majority of them has to know of a drain.
    voters: Vec<NodeAddress>,
    /// When a majority of the voters was last known to be in touch with this hub; its start before the first time.
    proved: Micros,
    /// Since when the membership here holds up no majority of the voters: one that hears others and is not heard by
    /// them has young proofs, and learns it by this only.
    few_since: Option<Micros>,
    last_step: Micros,
    /// Silence before this moment is not judged.
    watch_from: Micros,
    /// Beats before this moment are not taken.
    mute_until: Micros,
    /// Keepers that are not up, and since when.
    absent: IndexMap<NodeAddress, Micros>,
    rounds: Vec<Round>,
    next_round: u64,
    /// To be told to all; to the own share of the foyers, with whether they leave; to a few.
    wide: Vec<InstanceId>,
    share: Vec<(InstanceId, bool)>,
    few: Vec<InstanceId>,
    flush_at: Micros,
    sweep_at: Micros,
    compare_at: Micros,
    /// At a foyer.
    comparison: Option<Comparison>,
    /// How often one that starts with nothing will still call for everything.
    first_asks: u32,
    /// Another hub that is to get the next instance, for balance.
    shed_to: Option<NodeAddress>,
    /// When what was remembered and has not been heard of is silent; those to be told of again, and how often.
    remembered_until: Micros,
    stale: Vec<InstanceId>,
    stale_tellings: u32,
    /// Datagrams to or from this node seem to be lost.
    strained: bool,
}

impl Registry {
    /// A node that knows nothing yet.
    pub fn new(own: NodeAddress, timing: Timing, seed: u64, now: Micros) -> Registry {
        let mut rng = Rand32::new(seed);
        // Answers to the rounds of an earlier life must not count for this one's.
        let next_round = u64::from(rng.rand_u32()) << 24;
        Registry {
            own,
            timing,
            rng,
            list: List::default(),
            hubs: Vec::new(),
            others: Vec::new(),
            watched_by: Vec::new(),
            unwatching: None,
            hub: false,
            voters: Vec::new(),
            proved: now,
            few_since: None,
            last_step: now,
            watch_from: now,
            mute_until: now,
            absent: IndexMap::new(),
            rounds: Vec::new(),
            next_round,
            wide: Vec::new(),
            share: Vec::new(),
            few: Vec::new(),
            flush_at: Micros::MAX,
            sweep_at: now + SWEEP,
            compare_at: now,
            comparison: None,
            first_asks: FIRST_ASKS,
            shed_to: None,
            remembered_until: Micros::MAX,
            stale: Vec::new(),
            stale_tellings: 0,
            strained: false,
        }
    }

    /// What a hub knew before its start, from its disk; to be called right after `start`. It is used at once, as
    /// most of it still holds where all hubs were away for a moment, and what others know anew wins over it.
    /// Guards against a second without any instance after a start of all.
    pub fn restore(&mut self, now: Micros, records: Vec<Record>) -> Vec<Effect> {
        let mut learnt = Learnt::default();
        for record in records {
            self.list.remember(now, self.own, record, &mut learnt);
        }
        self.remembered_until = now + REMEMBERED;
        learnt.shown.into_iter().map(|instance| Effect::Changed { instance }).collect()
    }

    /// What to remember, as of `now`.
    pub fn snapshot(&self, now: Micros) -> Vec<Record> {
        self.list.all(now)
    }

    /// Rises whenever `memory` has become another by more than the time that goes by.
    pub fn revision(&self) -> u64 {
        self.list.changes()
    }

    /// Spreads what it knows as fast as a deployment with this `DrainS` wants.
    pub fn set_drain_limit(&mut self, drain: Micros) {
        self.timing = self.timing.for_drain_limit(drain);
    }

    /// What others may not know yet: leaving lives that were not heard of by all in reach, changes not told.
    pub fn pending_updates(&self) -> usize {
        self.rounds.len() + self.wide.len() + self.share.len() + self.few.len()
    }

    /// Takes one event at `now` of the own steady clock, and does what is due.
    pub fn step(&mut self, now: Micros, event: Event) -> Vec<Effect> {
        let mut out = Vec::new();
        self.notice_stall(now);
        match event {
            Event::Tick => {}
            Event::Received { from, message } => self.received(now, from, message, &mut out),
            Event::Heartbeat { call, heartbeat: beat } => self.beat(now, call, beat, &mut out),
            Event::Detach { call, id } => self.detach(now, call, id, &mut out),
            Event::Peers { registry_nodes: hubs, gateways: others } => self.peers(now, hubs, others),
            Event::Watchers { watching: by, unable_to_watch: unwatching } => self.watched(by, unwatching),
            Event::Voters { addresses: places } => self.voters(now, places),
            Event::LinkStrained { strained } => self.strained(now, strained),
            Event::MajorityContact { at } => self.proved = self.proved.max(at),
        }
        self.work(now, &mut out);
        out
    }

    /// When `Event::Tick` is wanted next, at the latest.
    pub fn next_due(&self) -> Micros {
        let rounds = self.rounds.iter().map(Round::due).min().unwrap_or(Micros::MAX);
        let comparison = self.comparison.as_ref().map_or(Micros::MAX, |comparison| comparison.until);
        let due = self.sweep_at.min(self.remembered_until).min(self.compare_at).min(self.flush_at);
        due.min(rounds).min(comparison)
    }

    /// All that are known, those that are gone for a while too.
    pub fn instances(&self) -> impl Iterator<Item = &Instance> {
        self.list.entries().map(|entry| &entry.known)
    }

    pub fn get(&self, id: &InstanceId) -> Option<&Instance> {
        self.list.get(id).map(|entry| &entry.known)
    }

    /// Whether this node has got the list from another one, or has asked long enough.
    pub fn initial_sync_done(&self) -> bool {
        self.first_asks == 0
    }

    /// A process that stood still (frozen, starved) has heard nothing meanwhile: it judges nobody by that.
    fn notice_stall(&mut self, now: Micros) {
        let stood = now - self.last_step;
        self.last_step = now.max(self.last_step);
        if stood < STALL.min(self.timing.silence_timeout) {
            return;
        }
        self.watch_from = now;
        self.absent.values_mut().for_each(|since| *since = now);
        self.compare_at = now;
        if stood >= self.timing.silence_timeout {
            self.mute_until = now + THAW;
        }
    }

    fn peers(&mut self, now: Micros, hubs: Vec<NodeAddress>, others: Vec<NodeAddress>) {
        self.hub |= hubs.contains(&self.own);
        let sorted = |places: Vec<NodeAddress>, not: &[NodeAddress]| {
            let mut places = places;
            places.retain(|place| *place != self.own && !not.contains(place));
            places.sort_unstable();
            places.dedup();
            places
        };
        let hubs = sorted(hubs, &[]);
        let others = sorted(others, &hubs);
        for gone in self.hubs.iter().filter(|place| !hubs.contains(place)) {
            self.absent.insert(*gone, now);
        }
        self.absent.retain(|place, _| !hubs.contains(place));
        if hubs.iter().any(|place| !self.hubs.contains(place)) {
            // A hub that was not there: after a start or a cut there is most to compare.
            let soon = if self.hubs.is_empty() { 0 } else { self.chance(300) * MS };
            self.compare_at = self.compare_at.min(now + soon);
        }
        (self.hubs, self.others) = (hubs, others);
        self.count_voters(now);
        self.keep_rounds();
    }

    fn watched(&mut self, mut by: Vec<NodeAddress>, mut unwatching: Vec<NodeAddress>) {
        by.sort_unstable();
        unwatching.sort_unstable();
        (self.watched_by, self.unwatching) = (by, Some(unwatching));
        self.keep_rounds();
    }

    /// Foyers that are neither up nor served from here are not told of drains any more.
    fn keep_rounds(&mut self) {
        let (others, watched_by) = (&self.others, &self.watched_by);
        let told = |place: NodeAddress| others.contains(&place) || watched_by.contains(&place);
        self.rounds.iter_mut().for_each(|round| round.keep_foyers(told));
    }

    fn strained(&mut self, now: Micros, strained: bool) {
        if strained && !self.strained {
            self.compare_at = now;
        }
        self.strained = strained;
    }

    fn voters(&mut self, now: Micros, places: Vec<NodeAddress>) {
        self.voters = places;
        self.voters.sort_unstable();
        self.voters.dedup();
        self.count_voters(now);
    }

    fn count_voters(&mut self, now: Micros) {
        let up = |place: &&NodeAddress| **place == self.own || self.hubs.contains(place);
        let few = 2 * self.voters.iter().filter(up).count() <= self.voters.len();
        self.few_since = few.then_some(self.few_since.unwrap_or(now));
    }

    /// Other hubs that are told of a drain: those that are up, and the voters, whom a node that has just started knows
    /// from its disk before it has met them.
    fn told(&self) -> Vec<NodeAddress> {
        let unmet = self.voters.iter().filter(|place| **place != self.own && !self.hubs.contains(place));
        self.hubs.iter().chain(unmet).copied().collect()
    }

    /// Whether a majority has not been in touch for so long that beats are to go elsewhere.
    fn cut_off(&self, now: Micros) -> bool {
        now - self.proved.min(self.few_since.unwrap_or(now)) > self.timing.contact_timeout
    }

    fn beat(&mut self, now: Micros, call: CallId, beat: Heartbeat, out: &mut Vec<Effect>) {
        self.hub = true;
        let mut learnt = Learnt::default();
        if now < self.mute_until
            || !beat.fits()
            || self.list.hear(now, self.own, &beat, &mut learnt) == Heard::Full
        {
            return out.push(Effect::Rejected { call });
        }
        if beat.draining {
            self.spread(now, learnt, Some(&beat.id), out);
            return self.leaves(now, call, beat.id, out);
        }
        self.spread(now, learnt, None, out);
        if self.cut_off(now) {
            // It was heard, and so is not silent here: where nobody has a majority, the list stays as it is. But
            // others may not hear of it, so it is sent on to look for a hub that they do hear.
            return out.push(Effect::Rejected { call });
        }
        let mut target = self.own;
        if let (Some(other), Some(entry)) = (self.shed_to, self.list.get_mut(&beat.id))
            && entry.known.state == InstanceState::InService
            && entry.moved.is_none_or(|moved| now - moved >= MOVES)
        {
            entry.moved = Some(now);
            self.shed_to = None;
            target = other;
        }
        out.push(Effect::Accepted { call, target: Some(target) });
    }

    fn detach(&mut self, now: Micros, call: CallId, id: InstanceId, out: &mut Vec<Effect>) {
        self.hub = true;
        let mut learnt = Learnt::default();
        if id.0.len() > crate::LONGEST_TEXT || !self.list.detach(now, self.own, &id, &mut learnt) {
            return out.push(Effect::Rejected { call });
        }
        // Where it is confirmed that others know it to be draining, they get this as ordinary news.
        let confirmed = self.list.get(&id).is_some_and(|entry| entry.confirmed);
        self.spread(now, learnt, Some(&id).filter(|_| !confirmed), out);
        self.leaves(now, call, id, out);
    }

    /// Acknowledges that a life leaves, at once where enough others are known to know, else after a round.
    fn leaves(&mut self, now: Micros, call: CallId, id: InstanceId, out: &mut Vec<Effect>) {
        if self.list.get(&id).is_none_or(|entry| entry.confirmed) {
            return out.push(Effect::Accepted { call, target: Some(self.own) });
        }
        let round = self.round(now, &id);
        let known = !self.voters.is_empty();
        let until = now + self.timing.drain_ack_timeout;
        // What was heard is told on in any case.
        if !known || !round.is_some_and(|round| self.rounds[round].join(call, until)) {
            out.push(Effect::Rejected { call });
        }
    }

    /// The round for a life that leaves, begun where there is none. `None` where there are too many.
    fn round(&mut self, now: Micros, id: &InstanceId) -> Option<usize> {
        let index = match self.rounds.iter().position(|round| round.id == *id) {
            Some(index) => {
                self.rounds[index].again(now);
                index
            }
            None if self.rounds.len() >= MOST_ROUNDS => return None,
            None => {
                self.next_round += 1;
                let all = self.small();
                let foyers = if all { self.all_foyers() } else { self.served(DRAIN_OWNERS) };
                self.rounds.push(Round::new(self.next_round, id.clone(), now, foyers, all));
                self.rounds.len() - 1
            }
        };
        Some(index)
    }

    fn received(&mut self, now: Micros, from: NodeAddress, message: Message, out: &mut Vec<Effect>) {
        match message {
            Message::Update { relay, records } => self.news(now, relay, records, out),
            Message::DrainNotice { round, record } => self.told_leaving(now, from, round, record, out),
            Message::DrainAck { round } => {
                let told = self.told();
                if let Some(round) = self.rounds.iter_mut().find(|known| known.number == round) {
                    round.heard(from, &told);
                }
            }
            Message::Digest { sums, empty } => self.digest(now, from, &sums, empty, out),
            Message::NothingKnown => {}
            Message::Versions { complete_ranges, versions } => {
                self.keys(now, from, complete_ranges, &versions, out)
            }
            Message::Request { id_hashes } => give(from, self.list.wanted(now, &id_hashes), out),
            Message::Records { records } => {
                self.first_asks = 0;
                let mut learnt = Learnt::default();
                for record in records {
                    self.list.merge(now, self.own, record, &mut learnt);
                }
                self.pass_on(now, learnt, false, out);
                self.given(now, from);
            }
        }
    }

    fn news(&mut self, now: Micros, relay: bool, records: Vec<Record>, out: &mut Vec<Effect>) {
        let mut learnt = Learnt::default();
        for record in records {
            self.list.merge(now, self.own, record, &mut learnt);
        }
        self.pass_on(now, learnt, relay, out);
    }

    /// Answered only if it is known here as leaving: a record that was not taken over must not count.
    fn told_leaving(
        &mut self, now: Micros, from: NodeAddress, round: u64, record: Record, out: &mut Vec<Effect>,
    ) {
        let id = record.id.clone();
        let mut learnt = Learnt::default();
        self.list.merge(now, self.own, record, &mut learnt);
        self.pass_on(now, learnt, true, out);
        if self.list.get(&id).is_some_and(|entry| entry.known.state.is_leaving()) {
            out.push(Effect::Send { to: from, message: Message::DrainAck { round } });
        }
    }

    /// What came from another node: drains go on to a few from everywhere; hubs relay what they are asked to, and drains
    /// whichever way they came, to those that they serve. Guards against some that are told by nobody, where their hub heard of the
    /// drain from one of the few first and learnt nothing more from the hub that began it.
    fn pass_on(&mut self, now: Micros, learnt: Learnt, relay: bool, out: &mut Vec<Effect>) {
        let relays = self.hub && !self.small();
        for (id, leaves) in learnt.news {
            let young = |entry: &crate::instance_table::Entry| now - entry.known.state_since < FRESH;
            let leaves = leaves && self.list.get(&id).is_some_and(young);
            if leaves {
                self.few.push(id.clone());
                self.flush_at = self.flush_at.min(now + GATHER_LEAVING);
            }
            if relays && (relay || leaves) {
                self.share.push((id, leaves));
                self.flush_at = self.flush_at.min(now + if leaves { GATHER_LEAVING } else { GATHER });
            }
        }
        if !learnt.again.is_empty() {
            self.wide.extend(learnt.again);
            self.flush_at = self.flush_at.min(now + GATHER);
        }
        out.extend(learnt.shown.into_iter().map(|instance| Effect::Changed { instance }));
    }

    /// What began here: told to all, save the one that gets a round of its own.
    fn spread(&mut self, now: Micros, learnt: Learnt, round: Option<&InstanceId>, out: &mut Vec<Effect>) {
        for (id, _) in learnt.news {
            if Some(&id) != round {
                self.wide.push(id);
                self.flush_at = self.flush_at.min(now + GATHER);
            }
        }
        out.extend(learnt.shown.into_iter().map(|instance| Effect::Changed { instance }));
    }

    /// Does what is due at `now`.
    fn work(&mut self, now: Micros, out: &mut Vec<Effect>) {
        if now >= self.sweep_at {
            self.sweep_at = now + SWEEP * if self.hub { 1 } else { 4 };
            self.sweep(now, out);
        }
        if now >= self.remembered_until {
            self.end_memory(now, out);
        }
        if now >= self.flush_at {
            self.flush(now, out);
        }
        if !self.rounds.is_empty() {
            self.work_rounds(now, out);
        }
        if self.comparison.as_ref().is_some_and(|comparison| now >= comparison.until) {
            self.compare_again(now, out);
        }
        if now >= self.compare_at {
            self.compare(now, out);
        }
    }

    fn work_rounds(&mut self, now: Micros, out: &mut Vec<Effect>) {
        let told = self.told();
        let mut rounds = std::mem::take(&mut self.rounds);
        for round in &mut rounds {
            let need = Need { voters: &self.voters, own: self.own };
            if let Some(asks) = round.take_known(now, need) {
                if let Some(entry) = self.list.get_mut(&round.id) {
                    entry.confirmed = true;
                }
                let target = Some(self.own);
                out.extend(asks.into_iter().map(|call| Effect::Accepted { call, target }));
            }
            out.extend(round.take_late(now).into_iter().map(|call| Effect::Rejected { call }));
            let to = round.take_send(now, &told, self.timing.drain_resend_interval);
            if let Some(entry) = self.list.get(&round.id).filter(|_| !to.is_empty()) {
                let record = entry.known.to_record(now);
                for to in to {
                    if round.insists(to) {
                        out.push(Effect::PreferStream { to });
                    }
                    let message = Message::DrainNotice { round: round.number, record: record.clone() };
                    out.push(Effect::Send { to, message });
                }
            }
        }
        rounds.retain(|round| !round.over(now, &told));
        self.rounds = rounds;
    }

    /// Sends what was gathered.
    fn flush(&mut self, now: Micros, out: &mut Vec<Effect>) {
        self.flush_at = Micros::MAX;
        let mut wide = std::mem::take(&mut self.wide);
        let mut share = std::mem::take(&mut self.share);
        let mut few = std::mem::take(&mut self.few);
        for ids in [&mut wide, &mut few] {
            ids.sort_unstable();
            ids.dedup();
        }
        share.sort_unstable();
        share.dedup();
        let small = self.small();
        if !wide.is_empty() {
            let records = pieces(self.list.records(now, &wide));
            tell(&self.hubs, &records, !small, out);
            let foyers = if small { self.all_foyers() } else { self.served(OWNERS) };
            tell(&foyers, &records, false, out);
        }
        if !share.is_empty() {
            let all: Vec<InstanceId> = share.iter().map(|(id, _)| id.clone()).collect();
            let leaving: Vec<InstanceId> =
                share.into_iter().filter(|(_, leaves)| *leaves).map(|(id, _)| id).collect();
            let mine = self.served(OWNERS);
            tell(&mine, &pieces(self.list.records(now, &all)), false, out);
            // Two hubs tell each foyer of a drain, as the one may die.
            let second: Vec<NodeAddress> =
                self.served(DRAIN_OWNERS).into_iter().filter(|place| !mine.contains(place)).collect();
            tell(&second, &pieces(self.list.records(now, &leaving)), false, out);
        }
        if !few.is_empty() {
            let to = self.some_others(PASSED_TO);
            tell(&to, &pieces(self.list.records(now, &few)), false, out);
        }
    }

    /// Silence judged, memories dropped, balance looked at.
    fn sweep(&mut self, now: Micros, out: &mut Vec<Effect>) {
        let mut shown = Vec::new();
        self.list.forget(now, &mut shown);
        out.extend(shown.into_iter().map(|instance| Effect::Changed { instance }));
        if !self.hub {
            return;
        }
        let patience = self.patience();
        let mut quiet = Vec::new();
        for entry in self.list.entries() {
            let Instance { id, state, owner, .. } = &entry.known;
            if !matches!(state, InstanceState::InService | InstanceState::Draining) {
                continue;
            }
            let over = if *owner == self.own {
                now - entry.heard.max(self.watch_from) > self.timing.silence_timeout
            } else if self.hubs.contains(owner) {
                false
            } else {
                let since = *self.absent.entry(*owner).or_insert(now);
                // Newer word of it shows that its owner is there for others. Guards against a hub that holds a
                // owner gone which is not, and would call its instances silent again after each correction.
                now - since.max(self.watch_from).max(entry.told) > patience
            };
            if over {
                quiet.push(id.clone());
            }
        }
        let list = &self.list;
        self.absent.retain(|place, _| list.entries().any(|entry| entry.known.owner == *place));
        let mut learnt = Learnt::default();
        for id in quiet {
            self.list.quiet(now, self.own, &id, &mut learnt);
        }
        self.spread(now, learnt, None, out);
        self.balance();
    }

    /// Remembered ones that nobody has heard of anew are silent. Of those that another hub keeps that is up, that
    /// hub judges: it remembers them itself.
    fn end_memory(&mut self, now: Micros, out: &mut Vec<Effect>) {
        self.remembered_until = Micros::MAX;
        if self.stale_tellings > 0 {
            self.stale_tellings -= 1;
            self.wide.extend_from_slice(&self.stale);
            self.flush_at = now;
            self.tell_stale_again(now);
            return;
        }
        let mine = |known: &Instance| known.owner == self.own || !self.hubs.contains(&known.owner);
        let stale = self.list.entries().filter(|entry| entry.remembered && mine(&entry.known));
        let stale = stale.filter(|entry| entry.known.state == InstanceState::InService);
        let stale: Vec<InstanceId> = stale.map(|entry| entry.known.id.clone()).collect();
        let mut learnt = Learnt::default();
        for id in &stale {
            self.list.quiet(now, self.own, id, &mut learnt);
        }
        if !stale.is_empty() {
            (self.stale, self.stale_tellings) = (stale, TOLD_AGAIN);
            self.tell_stale_again(now);
        }
        self.spread(now, learnt, None, out);
    }

    fn tell_stale_again(&mut self, now: Micros) {
        if self.stale_tellings > 0 {
            self.remembered_until = now + TOLD_AGAIN_EVERY;
        } else {
            self.stale.clear();
        }
    }

    /// How long a owner has to be away before this hub speaks for it: hubs one after the other, and those
    /// that see fewer than half of the hubs there were last, as after a cut, much later.
    fn patience(&self) -> Micros {
        let rank = self.hubs.iter().filter(|place| **place < self.own).count() as Micros;
        let absent = self.absent.len();
        let cut_off = absent > self.hubs.len() + 1;
        self.timing.silence_timeout * if cut_off { 3 } else { 1 } + rank * 100 * MS
    }

    /// Chooses a hub that gets an instance where this one has far more than its share.
    fn balance(&mut self) {
        self.shed_to = None;
        let mut loads: IndexMap<NodeAddress, usize> = self.hubs.iter().map(|place| (*place, 0)).collect();
        let (mut mine, mut all) = (0, 0);
        for entry in self.list.entries().filter(|entry| entry.known.state == InstanceState::InService) {
            all += 1;
            if entry.known.owner == self.own {
                mine += 1;
            } else if let Some(load) = loads.get_mut(&entry.known.owner) {
                *load += 1;
            }
        }
        let share = all / (self.hubs.len() + 1);
        if mine <= share + (share / 2).max(2) {
            return;
        }
        // One that is up and no voter may not be in touch with those who are.
        let voters = &self.voters;
        loads.retain(|place, load| *load < share.max(1) && voters.contains(place));
        if !loads.is_empty() {
            let index = self.rng.rand_range(0..loads.len() as u32) as usize;
            self.shed_to = loads.get_index(index).map(|(place, _)| *place);
        }
    }

    fn small(&self) -> bool {
        self.hubs.len() + self.others.len() < SMALL
    }

    /// Foyers that this hub tells: those that watch it, and its share of those that can't choose.
    fn served(&self, owners: usize) -> Vec<NodeAddress> {
        let unwatching = self.unwatching.as_ref().unwrap_or(&self.others);
        let share = types::assigned_share(self.own, &self.hubs, unwatching, owners);
        let mut served = self.watched_by.clone();
        served.extend(share.into_iter().filter(|place| !self.watched_by.contains(place)));
        served
    }

    /// Those that are up, and those that watch this hub though they are held dead here.
    fn all_foyers(&self) -> Vec<NodeAddress> {
        let mut foyers = self.others.clone();
        foyers.extend(self.watched_by.iter().filter(|place| !self.others.contains(place)));
        foyers
    }

    fn some_others(&mut self, count: usize) -> Vec<NodeAddress> {
        let mut all: Vec<NodeAddress> = self.hubs.iter().chain(&self.others).copied().collect();
        let mut chosen = Vec::with_capacity(count);
        while chosen.len() < count && !all.is_empty() {
            let index = self.rng.rand_range(0..all.len() as u32) as usize;
            chosen.push(all.swap_remove(index));
        }
        chosen
    }

    fn chance(&mut self, below: u32) -> Micros {
        Micros::from(self.rng.rand_range(0..below))
    }
}

fn give(to: NodeAddress, records: Vec<Record>, out: &mut Vec<Effect>) {
    let gives = pieces(records).into_iter().map(|records| Message::Records { records });
    out.extend(gives.map(|message| Effect::Send { to, message }));
}

fn tell(to: &[NodeAddress], pieces: &[Vec<Record>], relay: bool, out: &mut Vec<Effect>) {
    for to in to {
        for records in pieces {
            let message = Message::Update { relay, records: records.clone() };
            out.push(Effect::Send { to: *to, message });
        }
    }
}

/// Records in portions that fit one message each.
fn pieces(records: Vec<Record>) -> Vec<Vec<Record>> {
    let (mut pieces, mut length) = (Vec::new(), PIECE);
    for record in records {
        length += record.length();
        if length > PIECE {
            pieces.push(Vec::new());
            length = record.length();
        }
        if let Some(piece) = pieces.last_mut() {
            piece.push(record);
        }
    }
    pieces
}
