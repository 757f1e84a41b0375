//! The registry on one node: accepts heartbeats and drains, passes updates on, compares copies with other
//! nodes and decides which instances are silent.

mod comparison;

use indexmap::IndexMap;
use oorandom::Rand32;
use types::{CallId, MS, Micros, NodeAddress, SECOND};

use comparison::Comparison;

use crate::drains::{AckQuorum, DrainRound, MAX_ROUNDS};
use crate::instance_table::{Changes, Entry, HeartbeatResult, InstanceTable};
use crate::{Effect, Event, Heartbeat, Instance, InstanceId, InstanceState, Message, Record, Timing};

/// With fewer other nodes than this, updates go directly to each; otherwise each registry node informs the
/// gateways that it serves.
const SMALL_CLUSTER_NODES: usize = 24;
/// Updates are collected for this long, so that many at once travel in one message.
const BATCH_DELAY: Micros = 50 * MS;
/// The same for drains that are passed on.
const DRAIN_BATCH_DELAY: Micros = 15 * MS;
/// Registry nodes that send updates to each gateway that can't choose its own.
const UPDATE_SENDERS: usize = 1;
/// The same for drains: two, as one of them may die.
const DRAIN_SENDERS: usize = 2;
/// Number of random nodes to which each node forwards a drain that is new to it.
const DRAIN_GOSSIP_FANOUT: usize = 3;
/// A drain that is learned from a comparison of copies is forwarded while it is younger than this.
const DRAIN_GOSSIP_MAX_AGE: Micros = 3 * SECOND;
/// Random jitter of the time between two comparisons, in thousandths of `Timing::compare_interval`.
const COMPARE_JITTER_THOUSANDTHS: u32 = 667;
/// How often a node that starts empty asks for all records.
const INITIAL_REQUEST_INTERVAL: Micros = 250 * MS;
/// How many times it asks.
const INITIAL_REQUESTS: u32 = 12;
/// How often a registry node looks for silent instances. A gateway only drops expired entries, a quarter as
/// often.
const SWEEP_INTERVAL: Micros = 250 * MS;
/// A step that comes this long after the previous one means that the process was paused: it can't tell who
/// was silent meanwhile.
const STALL_THRESHOLD: Micros = 2 * SECOND;
/// After a pause longer than the silence timeout, heartbeats are refused for this long, as they may have
/// waited in buffers.
const REFUSE_AFTER_STALL: Micros = 250 * MS;
/// A restored instance without a heartbeat for this long after the start is silent. This is before any node
/// counts as reachable again, and long enough for a heartbeat, even a late one, to arrive.
const RESTORED_TIMEOUT: Micros = 2_500 * MS;
/// How many times the update about such instances is repeated, as messages may get lost.
const SILENT_RESTORED_REPEATS: u32 = 2;
const SILENT_RESTORED_REPEAT_INTERVAL: Micros = 150 * MS;
/// Shortest time between two redirections of one instance to another registry node.
const REBALANCE_INTERVAL: Micros = 30 * SECOND;
/// Most bytes of records in one message.
const MAX_RECORD_BYTES: usize = 930;
/// When a new registry node appears, the comparison with it is delayed by a random time below this.
const NEW_NODE_COMPARE_JITTER_MS: u32 = 300;
/// When an owner is away, the registry nodes wait this much longer, one after the other, before they judge
/// its instances.
const ABSENT_OWNER_STAGGER: Micros = 100 * MS;

/// The instances as one node knows them.
#[derive(Debug)]
pub struct Registry {
    own_address: NodeAddress,
    timing: Timing,
    rng: Rand32,
    table: InstanceTable,
    /// Other registry nodes that are up, sorted.
    registry_nodes: Vec<NodeAddress>,
    /// Gateways that are up, sorted.
    gateways: Vec<NodeAddress>,
    /// Gateways that have chosen this registry node, sorted.
    watching: Vec<NodeAddress>,
    /// Gateways that can't choose a registry node, once known.
    unable_to_watch: Option<Vec<NodeAddress>>,
    /// Whether this node accepts heartbeats.
    is_registry_node: bool,
    /// The voters of the replicated log, sorted; a majority of them has to know of a drain.
    voters: Vec<NodeAddress>,
    /// When a majority of the voters was last known to be in contact with this node; initially the start
    /// time.
    last_majority_contact: Micros,
    /// Since when the membership on this node has had no majority of the voters up. A node that hears the
    /// others but is not heard by them sees recent contacts and learns of its isolation only this way.
    majority_down_since: Option<Micros>,
    last_step: Micros,
    /// Silence before this time does not count.
    silence_counts_from: Micros,
    /// Heartbeats before this time are refused.
    refuse_heartbeats_until: Micros,
    /// Owners that are not up, and since when.
    absent_owners: IndexMap<NodeAddress, Micros>,
    drain_rounds: Vec<DrainRound>,
    last_round_number: u64,
    /// Instances about which all nodes are to be informed.
    updates_for_all: Vec<InstanceId>,
    /// Instances about which the served gateways are to be informed, with whether they are draining or gone.
    updates_to_relay: Vec<(InstanceId, bool)>,
    /// Drains to forward to a few random nodes.
    drains_to_gossip: Vec<InstanceId>,
    next_flush: Micros,
    next_sweep: Micros,
    next_compare: Micros,
    /// At a gateway: the comparison that a registry node has yet to answer.
    comparison: Option<Comparison>,
    /// How many more times a node that started empty asks for all records.
    initial_requests_left: u32,
    /// Registry node to which the next instance is redirected to balance the load.
    rebalance_target: Option<NodeAddress>,
    /// When restored instances without a new heartbeat become silent, or when the update about them is
    /// repeated.
    restored_due: Micros,
    /// Restored instances that became silent and how many more times the update about them is repeated.
    silent_restored: Vec<InstanceId>,
    silent_restored_repeats_left: u32,
    /// Datagrams to or from this node seem to get lost.
    link_strained: bool,
}

impl Registry {
    /// A registry without any instance.
    pub fn new(own_address: NodeAddress, timing: Timing, seed: u64, now: Micros) -> Registry {
        let mut rng = Rand32::new(seed);
        // Random, so that acknowledgements for rounds of an earlier run don't count for rounds of this one.
        let last_round_number = u64::from(rng.rand_u32()) << 24;
        Registry {
            own_address,
            timing,
            rng,
            table: InstanceTable::default(),
            registry_nodes: Vec::new(),
            gateways: Vec::new(),
            watching: Vec::new(),
            unable_to_watch: None,
            is_registry_node: false,
            voters: Vec::new(),
            last_majority_contact: now,
            majority_down_since: None,
            last_step: now,
            silence_counts_from: now,
            refuse_heartbeats_until: now,
            absent_owners: IndexMap::new(),
            drain_rounds: Vec::new(),
            last_round_number,
            updates_for_all: Vec::new(),
            updates_to_relay: Vec::new(),
            drains_to_gossip: Vec::new(),
            next_flush: Micros::MAX,
            next_sweep: now + SWEEP_INTERVAL,
            next_compare: now,
            comparison: None,
            initial_requests_left: INITIAL_REQUESTS,
            rebalance_target: None,
            restored_due: Micros::MAX,
            silent_restored: Vec::new(),
            silent_restored_repeats_left: 0,
            link_strained: false,
        }
    }

    /// Loads the records that a registry node had saved to disk before its start; to be called right after
    /// `new`. They are used at once, as most still hold when all registry nodes were away for a moment, and
    /// newer records of other nodes take precedence. Without them, a restart of all nodes would leave about a
    /// second without any instance.
    pub fn restore(&mut self, now: Micros, records: Vec<Record>) -> Vec<Effect> {
        let mut changes = Changes::default();
        for record in records {
            self.table.restore(now, self.own_address, record, &mut changes);
        }
        self.restored_due = now + RESTORED_TIMEOUT;
        changes.visible.into_iter().map(|instance| Effect::Changed { instance }).collect()
    }

    /// The records to save for [`Registry::restore`], as of `now`.
    pub fn snapshot(&self, now: Micros) -> Vec<Record> {
        self.table.comparable_records(now)
    }

    /// Grows whenever [`Registry::snapshot`] changes by more than the passage of time.
    pub fn revision(&self) -> u64 {
        self.table.revision()
    }

    /// Adapts the speed at which updates spread to a deployment with the setting `DrainS` of `drain_limit`.
    pub fn set_drain_limit(&mut self, drain_limit: Micros) {
        self.timing = self.timing.for_drain_limit(drain_limit);
    }

    /// Number of changes that other nodes may not know yet: drains that some reachable nodes have not
    /// acknowledged, and updates that have not been sent.
    pub fn pending_updates(&self) -> usize {
        self.drain_rounds.len()
            + self.updates_for_all.len()
            + self.updates_to_relay.len()
            + self.drains_to_gossip.len()
    }

    /// Handles an event at `now` of the local steady clock and does what is due.
    pub fn step(&mut self, now: Micros, event: Event) -> Vec<Effect> {
        let mut out = Vec::new();
        self.detect_stall(now);
        match event {
            Event::Tick => {}
            Event::Received { from, message } => self.message_received(now, from, message, &mut out),
            Event::Heartbeat { call, heartbeat } => self.heartbeat_received(now, call, heartbeat, &mut out),
            Event::Detach { call, id } => self.detach_received(now, call, id, &mut out),
            Event::Peers { registry_nodes, gateways } => self.peers_changed(now, registry_nodes, gateways),
            Event::Watchers { watching, unable_to_watch } => self.watchers_changed(watching, unable_to_watch),
            Event::Voters { addresses } => self.voters_changed(now, addresses),
            Event::LinkStrained { strained } => self.link_strain_changed(now, strained),
            Event::MajorityContact { at } => self.last_majority_contact = self.last_majority_contact.max(at),
        }
        self.run_due_tasks(now, &mut out);
        out
    }

    /// When `Event::Tick` is needed next, at the latest.
    pub fn next_due(&self) -> Micros {
        let rounds = self.drain_rounds.iter().map(DrainRound::next_due).min().unwrap_or(Micros::MAX);
        let comparison = self.comparison.as_ref().map_or(Micros::MAX, |comparison| comparison.deadline);
        let tasks = self.next_sweep.min(self.restored_due).min(self.next_compare).min(self.next_flush);
        tasks.min(rounds).min(comparison)
    }

    /// All known instances, including those that were gone a short time ago.
    pub fn instances(&self) -> impl Iterator<Item = &Instance> {
        self.table.entries().map(|entry| &entry.known)
    }

    pub fn get(&self, id: &InstanceId) -> Option<&Instance> {
        self.table.get(id).map(|entry| &entry.known)
    }

    /// Whether this node has received the records of another node, or has given up asking for them.
    pub fn initial_sync_done(&self) -> bool {
        self.initial_requests_left == 0
    }

    /// A process that was paused (frozen, starved of CPU) has received nothing meanwhile, so that silence
    /// during the pause does not count.
    fn detect_stall(&mut self, now: Micros) {
        let pause = now - self.last_step;
        self.last_step = now.max(self.last_step);
        if pause < STALL_THRESHOLD.min(self.timing.silence_timeout) {
            return;
        }
        self.silence_counts_from = now;
        self.absent_owners.values_mut().for_each(|since| *since = now);
        self.next_compare = now;
        if pause >= self.timing.silence_timeout {
            self.refuse_heartbeats_until = now + REFUSE_AFTER_STALL;
        }
    }

    fn peers_changed(&mut self, now: Micros, registry_nodes: Vec<NodeAddress>, gateways: Vec<NodeAddress>) {
        self.is_registry_node |= registry_nodes.contains(&self.own_address);
        let sorted = |addresses: Vec<NodeAddress>, excluded: &[NodeAddress]| {
            let mut addresses = addresses;
            addresses.retain(|address| *address != self.own_address && !excluded.contains(address));
            addresses.sort_unstable();
            addresses.dedup();
            addresses
        };
        let registry_nodes = sorted(registry_nodes, &[]);
        let gateways = sorted(gateways, &registry_nodes);
        for lost in self.registry_nodes.iter().filter(|node| !registry_nodes.contains(node)) {
            self.absent_owners.insert(*lost, now);
        }
        self.absent_owners.retain(|node, _| !registry_nodes.contains(node));
        if registry_nodes.iter().any(|node| !self.registry_nodes.contains(node)) {
            // A registry node has appeared: after a start or a network partition, copies differ the most.
            let delay = if self.registry_nodes.is_empty() {
                0
            } else {
                self.random_below(NEW_NODE_COMPARE_JITTER_MS) * MS
            };
            self.next_compare = self.next_compare.min(now + delay);
        }
        (self.registry_nodes, self.gateways) = (registry_nodes, gateways);
        self.update_majority(now);
        self.drop_unreachable_gateways();
    }

    fn watchers_changed(&mut self, mut watching: Vec<NodeAddress>, mut unable_to_watch: Vec<NodeAddress>) {
        watching.sort_unstable();
        unable_to_watch.sort_unstable();
        (self.watching, self.unable_to_watch) = (watching, Some(unable_to_watch));
        self.drop_unreachable_gateways();
    }

    /// Stops notices of drains to gateways that are neither up nor served by this node.
    fn drop_unreachable_gateways(&mut self) {
        let (gateways, watching) = (&self.gateways, &self.watching);
        let is_reachable = |node: NodeAddress| gateways.contains(&node) || watching.contains(&node);
        self.drain_rounds.iter_mut().for_each(|round| round.retain_gateways(is_reachable));
    }

    fn link_strain_changed(&mut self, now: Micros, strained: bool) {
        if strained && !self.link_strained {
            self.next_compare = now;
        }
        self.link_strained = strained;
    }

    fn voters_changed(&mut self, now: Micros, addresses: Vec<NodeAddress>) {
        self.voters = addresses;
        self.voters.sort_unstable();
        self.voters.dedup();
        self.update_majority(now);
    }

    /// Notes since when no majority of the voters has been up.
    fn update_majority(&mut self, now: Micros) {
        let is_up = |voter: &&NodeAddress| **voter == self.own_address || self.registry_nodes.contains(voter);
        let majority_down = 2 * self.voters.iter().filter(is_up).count() <= self.voters.len();
        self.majority_down_since = majority_down.then_some(self.majority_down_since.unwrap_or(now));
    }

    /// Other registry nodes that are notified of drains: those that are up, and the voters, which a node that
    /// has just started knows from its disk before the membership has found them.
    fn drain_notice_recipients(&self) -> Vec<NodeAddress> {
        let not_yet_found = (self.voters.iter())
            .filter(|voter| **voter != self.own_address && !self.registry_nodes.contains(voter));
        self.registry_nodes.iter().chain(not_yet_found).copied().collect()
    }

    /// Whether there has been no contact with a majority for so long that instances have to use another node.
    fn is_isolated(&self, now: Micros) -> bool {
        let last_contact = self.last_majority_contact.min(self.majority_down_since.unwrap_or(now));
        now - last_contact > self.timing.contact_timeout
    }

    fn heartbeat_received(&mut self, now: Micros, call: CallId, heartbeat: Heartbeat, out: &mut Vec<Effect>) {
        self.is_registry_node = true;
        let mut changes = Changes::default();
        if now < self.refuse_heartbeats_until
            || !heartbeat.within_limits()
            || self.table.heartbeat_received(now, self.own_address, &heartbeat, &mut changes)
                == HeartbeatResult::Full
        {
            return out.push(Effect::Rejected { call });
        }
        if heartbeat.draining {
            self.queue_for_all(now, changes, Some(&heartbeat.id), out);
            return self.answer_when_known(now, call, heartbeat.id, out);
        }
        self.queue_for_all(now, changes, None, out);
        if self.is_isolated(now) {
            // The heartbeat was recorded, so the instance is not silent here: where no node has a majority,
            // all instances stay known. But others may not learn of it, so the instance is told to look for a
            // node that they do hear.
            return out.push(Effect::Rejected { call });
        }
        let mut target = self.own_address;
        if let (Some(other), Some(entry)) = (self.rebalance_target, self.table.get_mut(&heartbeat.id))
            && entry.known.state == InstanceState::InService
            && entry.last_rebalanced.is_none_or(|last| now - last >= REBALANCE_INTERVAL)
        {
            entry.last_rebalanced = Some(now);
            self.rebalance_target = None;
            target = other;
        }
        out.push(Effect::Accepted { call, target: Some(target) });
    }

    fn detach_received(&mut self, now: Micros, call: CallId, id: InstanceId, out: &mut Vec<Effect>) {
        self.is_registry_node = true;
        let mut changes = Changes::default();
        if id.0.len() > crate::MAX_TEXT_BYTES || !self.table.detach(now, self.own_address, &id, &mut changes)
        {
            return out.push(Effect::Rejected { call });
        }
        // Once it is confirmed that others know of the drain, they get the end as an ordinary update.
        let confirmed = self.table.get(&id).is_some_and(|entry| entry.drain_confirmed);
        self.queue_for_all(now, changes, Some(&id).filter(|_| !confirmed), out);
        self.answer_when_known(now, call, id, out);
    }

    /// Acknowledges that an instance is draining or gone: at once if enough other nodes are known to know,
    /// otherwise after a round of notices.
    fn answer_when_known(&mut self, now: Micros, call: CallId, id: InstanceId, out: &mut Vec<Effect>) {
        if self.table.get(&id).is_none_or(|entry| entry.drain_confirmed) {
            return out.push(Effect::Accepted { call, target: Some(self.own_address) });
        }
        let round = self.start_drain_round(now, &id);
        let voters_known = !self.voters.is_empty();
        let deadline = now + self.timing.drain_ack_timeout;
        // The round goes on even if the call is rejected.
        if !voters_known || !round.is_some_and(|round| self.drain_rounds[round].add_call(call, deadline)) {
            out.push(Effect::Rejected { call });
        }
    }

    /// Starts a round of notices for an instance, or restarts the existing one. Returns its index in
    /// `drain_rounds`, or `None` if there are too many.
    fn start_drain_round(&mut self, now: Micros, id: &InstanceId) -> Option<usize> {
        let index = match self.drain_rounds.iter().position(|round| round.id == *id) {
            Some(index) => {
                self.drain_rounds[index].restart(now);
                index
            }
            None if self.drain_rounds.len() >= MAX_ROUNDS => return None,
            None => {
                self.last_round_number += 1;
                let to_all = self.is_small_cluster();
                let gateways = if to_all { self.all_gateways() } else { self.served_gateways(DRAIN_SENDERS) };
                self.drain_rounds.push(DrainRound::new(
                    self.last_round_number,
                    id.clone(),
                    now,
                    gateways,
                    to_all,
                ));
                self.drain_rounds.len() - 1
            }
        };
        Some(index)
    }

    fn message_received(&mut self, now: Micros, from: NodeAddress, message: Message, out: &mut Vec<Effect>) {
        match message {
            Message::Update { relay, records } => {
                let changes = self.merge_all(now, records);
                self.forward(now, changes, relay, out);
            }
            Message::DrainNotice { round, record } => {
                self.drain_notice_received(now, from, round, record, out)
            }
            Message::DrainAck { round } => {
                let recipients = self.drain_notice_recipients();
                if let Some(round) = self.drain_rounds.iter_mut().find(|known| known.number == round) {
                    round.acknowledged(from, &recipients);
                }
            }
            Message::Digest { sums, empty } => self.digest_received(now, from, &sums, empty, out),
            Message::NothingKnown => {}
            Message::Versions { complete_ranges, versions } => {
                self.versions_received(now, from, complete_ranges, &versions, out)
            }
            Message::Request { id_hashes } => {
                send_records(from, self.table.records_by_hash(now, &id_hashes), out)
            }
            Message::Records { records } => {
                self.initial_requests_left = 0;
                let changes = self.merge_all(now, records);
                self.forward(now, changes, false, out);
                self.records_received(now, from);
            }
        }
    }

    fn merge_all(&mut self, now: Micros, records: Vec<Record>) -> Changes {
        let mut changes = Changes::default();
        for record in records {
            self.table.merge(now, self.own_address, record, &mut changes);
        }
        changes
    }

    /// Acknowledges a notice only if the instance is stored here as draining or gone: a record that was not
    /// accepted must not count.
    fn drain_notice_received(
        &mut self, now: Micros, from: NodeAddress, round: u64, record: Record, out: &mut Vec<Effect>,
    ) {
        let id = record.id.clone();
        let mut changes = Changes::default();
        self.table.merge(now, self.own_address, record, &mut changes);
        self.forward(now, changes, true, out);
        if self.table.get(&id).is_some_and(|entry| entry.known.state.is_leaving()) {
            out.push(Effect::Send { to: from, message: Message::DrainAck { round } });
        }
    }

    /// Queues what was learned from another node. Every node forwards recent drains to a few random nodes. A
    /// registry node of a large cluster also relays to the gateways that it serves: everything if `relay` is
    /// set, and drains whichever way they came. Otherwise, gateways would miss a drain whose registry node
    /// first got it by gossip, as the later message of the node that started it contains nothing new.
    fn forward(&mut self, now: Micros, changes: Changes, relay: bool, out: &mut Vec<Effect>) {
        let relays = self.is_registry_node && !self.is_small_cluster();
        for (id, is_leaving) in changes.updates {
            let is_recent = |entry: &Entry| now - entry.known.state_since < DRAIN_GOSSIP_MAX_AGE;
            let is_leaving = is_leaving && self.table.get(&id).is_some_and(is_recent);
            if is_leaving {
                self.drains_to_gossip.push(id.clone());
                self.next_flush = self.next_flush.min(now + DRAIN_BATCH_DELAY);
            }
            if relays && (relay || is_leaving) {
                self.updates_to_relay.push((id, is_leaving));
                let delay = if is_leaving { DRAIN_BATCH_DELAY } else { BATCH_DELAY };
                self.next_flush = self.next_flush.min(now + delay);
            }
        }
        if !changes.corrections.is_empty() {
            self.updates_for_all.extend(changes.corrections);
            self.next_flush = self.next_flush.min(now + BATCH_DELAY);
        }
        out.extend(changes.visible.into_iter().map(|instance| Effect::Changed { instance }));
    }

    /// Queues changes that were made by this node for all nodes, except for `notified_by_round`, which gets a
    /// round of notices of its own.
    fn queue_for_all(
        &mut self, now: Micros, changes: Changes, notified_by_round: Option<&InstanceId>,
        out: &mut Vec<Effect>,
    ) {
        for (id, _) in changes.updates {
            if Some(&id) != notified_by_round {
                self.updates_for_all.push(id);
                self.next_flush = self.next_flush.min(now + BATCH_DELAY);
            }
        }
        out.extend(changes.visible.into_iter().map(|instance| Effect::Changed { instance }));
    }

    fn run_due_tasks(&mut self, now: Micros, out: &mut Vec<Effect>) {
        if now >= self.next_sweep {
            self.next_sweep = now + SWEEP_INTERVAL * if self.is_registry_node { 1 } else { 4 };
            self.sweep(now, out);
        }
        if now >= self.restored_due {
            self.expire_restored(now, out);
        }
        if now >= self.next_flush {
            self.flush_updates(now, out);
        }
        if !self.drain_rounds.is_empty() {
            self.run_drain_rounds(now, out);
        }
        if self.comparison.as_ref().is_some_and(|comparison| now >= comparison.deadline) {
            self.continue_comparison(now, out);
        }
        if now >= self.next_compare {
            self.start_next_comparison(now, out);
        }
    }

    /// Answers calls, sends notices that are due, and drops finished rounds.
    fn run_drain_rounds(&mut self, now: Micros, out: &mut Vec<Effect>) {
        let recipients = self.drain_notice_recipients();
        let mut rounds = std::mem::take(&mut self.drain_rounds);
        for round in &mut rounds {
            let quorum = AckQuorum { voters: &self.voters, own_address: self.own_address };
            if let Some(calls) = round.take_confirmed(now, quorum) {
                if let Some(entry) = self.table.get_mut(&round.id) {
                    entry.drain_confirmed = true;
                }
                let target = Some(self.own_address);
                out.extend(calls.into_iter().map(|call| Effect::Accepted { call, target }));
            }
            out.extend(round.take_expired(now).into_iter().map(|call| Effect::Rejected { call }));
            let to_notify = round.take_recipients(now, &recipients, self.timing.drain_resend_interval);
            if let Some(entry) = self.table.get(&round.id).filter(|_| !to_notify.is_empty()) {
                let record = entry.known.to_record(now);
                for to in to_notify {
                    if round.prefers_stream(to) {
                        out.push(Effect::PreferStream { to });
                    }
                    let message = Message::DrainNotice { round: round.number, record: record.clone() };
                    out.push(Effect::Send { to, message });
                }
            }
        }
        rounds.retain(|round| !round.is_finished(now, &recipients));
        self.drain_rounds = rounds;
    }

    /// Sends the collected updates.
    fn flush_updates(&mut self, now: Micros, out: &mut Vec<Effect>) {
        self.next_flush = Micros::MAX;
        let mut for_all = std::mem::take(&mut self.updates_for_all);
        let mut to_relay = std::mem::take(&mut self.updates_to_relay);
        let mut to_gossip = std::mem::take(&mut self.drains_to_gossip);
        for ids in [&mut for_all, &mut to_gossip] {
            ids.sort_unstable();
            ids.dedup();
        }
        to_relay.sort_unstable();
        to_relay.dedup();
        let is_small = self.is_small_cluster();
        if !for_all.is_empty() {
            let batches = split_into_batches(self.table.records(now, &for_all));
            send_updates(&self.registry_nodes, &batches, !is_small, out);
            let gateways = if is_small { self.all_gateways() } else { self.served_gateways(UPDATE_SENDERS) };
            send_updates(&gateways, &batches, false, out);
        }
        if !to_relay.is_empty() {
            let all: Vec<InstanceId> = to_relay.iter().map(|(id, _)| id.clone()).collect();
            let leaving: Vec<InstanceId> =
                to_relay.into_iter().filter(|(_, is_leaving)| *is_leaving).map(|(id, _)| id).collect();
            let served = self.served_gateways(UPDATE_SENDERS);
            send_updates(&served, &split_into_batches(self.table.records(now, &all)), false, out);
            // Two registry nodes inform each gateway of a drain, as one of them may die.
            let served_for_drains: Vec<NodeAddress> = (self.served_gateways(DRAIN_SENDERS).into_iter())
                .filter(|gateway| !served.contains(gateway))
                .collect();
            let batches = split_into_batches(self.table.records(now, &leaving));
            send_updates(&served_for_drains, &batches, false, out);
        }
        if !to_gossip.is_empty() {
            let peers = self.random_peers(DRAIN_GOSSIP_FANOUT);
            send_updates(&peers, &split_into_batches(self.table.records(now, &to_gossip)), false, out);
        }
    }

    /// Drops expired entries; a registry node also finds silent instances and balances the load.
    fn sweep(&mut self, now: Micros, out: &mut Vec<Effect>) {
        let mut visible = Vec::new();
        self.table.expire(now, &mut visible);
        out.extend(visible.into_iter().map(|instance| Effect::Changed { instance }));
        if !self.is_registry_node {
            return;
        }
        let absent_owner_timeout = self.absent_owner_timeout();
        let mut silent = Vec::new();
        for entry in self.table.entries() {
            let Instance { id, state, owner, .. } = &entry.known;
            if !matches!(state, InstanceState::InService | InstanceState::Draining) {
                continue;
            }
            let is_silent = if *owner == self.own_address {
                now - entry.last_heartbeat.max(self.silence_counts_from) > self.timing.silence_timeout
            } else if self.registry_nodes.contains(owner) {
                false
            } else {
                let since = *self.absent_owners.entry(*owner).or_insert(now);
                // A recent update shows that other nodes reach the owner. Otherwise, a node that wrongly
                // considers the owner down would declare its instances silent again after each correction.
                now - since.max(self.silence_counts_from).max(entry.last_update) > absent_owner_timeout
            };
            if is_silent {
                silent.push(id.clone());
            }
        }
        let table = &self.table;
        self.absent_owners.retain(|owner, _| table.entries().any(|entry| entry.known.owner == *owner));
        let mut changes = Changes::default();
        for id in silent {
            self.table.mark_silent(now, self.own_address, &id, &mut changes);
        }
        self.queue_for_all(now, changes, None, out);
        self.choose_rebalance_target();
    }

    /// Marks restored instances without any news since the start as silent, then repeats the update about
    /// them a few times. Instances owned by another registry node that is up are left to that node, which has
    /// restored them itself.
    fn expire_restored(&mut self, now: Micros, out: &mut Vec<Effect>) {
        self.restored_due = Micros::MAX;
        if self.silent_restored_repeats_left > 0 {
            self.silent_restored_repeats_left -= 1;
            self.updates_for_all.extend_from_slice(&self.silent_restored);
            self.next_flush = now;
            self.schedule_silent_restored_repeat(now);
            return;
        }
        let judged_here =
            |known: &Instance| known.owner == self.own_address || !self.registry_nodes.contains(&known.owner);
        let silent = (self.table.entries())
            .filter(|entry| entry.restored && judged_here(&entry.known))
            .filter(|entry| entry.known.state == InstanceState::InService);
        let silent: Vec<InstanceId> = silent.map(|entry| entry.known.id.clone()).collect();
        let mut changes = Changes::default();
        for id in &silent {
            self.table.mark_silent(now, self.own_address, id, &mut changes);
        }
        if !silent.is_empty() {
            (self.silent_restored, self.silent_restored_repeats_left) = (silent, SILENT_RESTORED_REPEATS);
            self.schedule_silent_restored_repeat(now);
        }
        self.queue_for_all(now, changes, None, out);
    }

    fn schedule_silent_restored_repeat(&mut self, now: Micros) {
        if self.silent_restored_repeats_left > 0 {
            self.restored_due = now + SILENT_RESTORED_REPEAT_INTERVAL;
        } else {
            self.silent_restored.clear();
        }
    }

    /// How long an owner has to be down before this node judges its instances. Registry nodes do so one after
    /// the other; a node that sees less than half of the registry nodes that there were before, as in a
    /// network partition, waits three times as long.
    fn absent_owner_timeout(&self) -> Micros {
        let rank = self.registry_nodes.iter().filter(|node| **node < self.own_address).count() as Micros;
        let sees_minority = self.absent_owners.len() > self.registry_nodes.len() + 1;
        self.timing.silence_timeout * if sees_minority { 3 } else { 1 } + rank * ABSENT_OWNER_STAGGER
    }

    /// Chooses a registry node to take over an instance if this node owns far more than its share: half as
    /// much again, and at least 2 more.
    fn choose_rebalance_target(&mut self) {
        self.rebalance_target = None;
        let mut loads: IndexMap<NodeAddress, usize> =
            self.registry_nodes.iter().map(|node| (*node, 0)).collect();
        let (mut own_load, mut total) = (0, 0);
        for entry in self.table.entries().filter(|entry| entry.known.state == InstanceState::InService) {
            total += 1;
            if entry.known.owner == self.own_address {
                own_load += 1;
            } else if let Some(load) = loads.get_mut(&entry.known.owner) {
                *load += 1;
            }
        }
        let share = total / (self.registry_nodes.len() + 1);
        if own_load <= share + (share / 2).max(2) {
            return;
        }
        // A node that is up but no voter may not be in contact with the voters.
        let voters = &self.voters;
        loads.retain(|node, load| *load < share.max(1) && voters.contains(node));
        if !loads.is_empty() {
            let index = self.rng.rand_range(0..loads.len() as u32) as usize;
            self.rebalance_target = loads.get_index(index).map(|(node, _)| *node);
        }
    }

    fn is_small_cluster(&self) -> bool {
        self.registry_nodes.len() + self.gateways.len() < SMALL_CLUSTER_NODES
    }

    /// Gateways that this registry node informs: those that have chosen it, and its share of those that can't
    /// choose, each of which is assigned to `senders` registry nodes.
    fn served_gateways(&self, senders: usize) -> Vec<NodeAddress> {
        let unable_to_watch = self.unable_to_watch.as_ref().unwrap_or(&self.gateways);
        let share = types::assigned_share(self.own_address, &self.registry_nodes, unable_to_watch, senders);
        let mut served = self.watching.clone();
        served.extend(share.into_iter().filter(|gateway| !self.watching.contains(gateway)));
        served
    }

    /// Gateways that are up, and those that have chosen this node although the membership considers them
    /// down.
    fn all_gateways(&self) -> Vec<NodeAddress> {
        let mut gateways = self.gateways.clone();
        gateways.extend(self.watching.iter().filter(|gateway| !self.gateways.contains(gateway)));
        gateways
    }

    /// Up to `count` different nodes, chosen at random.
    fn random_peers(&mut self, count: usize) -> Vec<NodeAddress> {
        let mut candidates: Vec<NodeAddress> =
            self.registry_nodes.iter().chain(&self.gateways).copied().collect();
        let mut chosen = Vec::with_capacity(count);
        while chosen.len() < count && !candidates.is_empty() {
            let index = self.rng.rand_range(0..candidates.len() as u32) as usize;
            chosen.push(candidates.swap_remove(index));
        }
        chosen
    }

    fn random_below(&mut self, bound: u32) -> Micros {
        Micros::from(self.rng.rand_range(0..bound))
    }
}

fn send_records(to: NodeAddress, records: Vec<Record>, out: &mut Vec<Effect>) {
    let messages = split_into_batches(records).into_iter().map(|records| Message::Records { records });
    out.extend(messages.map(|message| Effect::Send { to, message }));
}

fn send_updates(nodes: &[NodeAddress], batches: &[Vec<Record>], relay: bool, out: &mut Vec<Effect>) {
    for to in nodes {
        for records in batches {
            let message = Message::Update { relay, records: records.clone() };
            out.push(Effect::Send { to: *to, message });
        }
    }
}

/// Splits records into batches that fit into one message each.
fn split_into_batches(records: Vec<Record>) -> Vec<Vec<Record>> {
    // Starts as if a batch were full, so that the first record begins one.
    let (mut batches, mut bytes) = (Vec::new(), MAX_RECORD_BYTES);
    for record in records {
        bytes += record.encoded_bytes();
        if bytes > MAX_RECORD_BYTES {
            batches.push(Vec::new());
            bytes = record.encoded_bytes();
        }
        if let Some(batch) = batches.last_mut() {
            batch.push(record);
        }
    }
    batches
}
