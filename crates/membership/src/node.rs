//! The membership of one node: its explicit state, and one function for each transition.

use oorandom::Rand64;
use types::{MS, Micros, NodeAddress, RunId};

use crate::gossip::GossipQueue;
use crate::roster::{
    DIGEST_RANGES, Peer, ReplacedRun, Roster, UpdateKind, classify, digest_range, member_digest, mix,
};
use crate::{
    Effect, Event, Incarnation, Member, MemberStatus, MemberUpdate, Message, MessageBody, NAME_BYTES_MAX,
    ProbeNumber, Role, SEEDS_MAX, Timing,
};

/// Bytes of updates in a message that carries nothing else.
const GOSSIP_BYTES_MAX: usize = 950;
/// Bytes of updates piggybacked on any other message.
const PIGGYBACK_BYTES_MAX: usize = 400;
/// Probes relayed for other members at the same time; further requests are ignored.
const RELAYED_PROBES_MAX: usize = 64;
/// Highest health penalty of this node (the local health multiplier of Lifeguard). Each point lengthens timeouts by their
/// base value.
const HEALTH_PENALTY_MAX: u32 = 4;
/// From this penalty on the node reports itself as degraded.
const DEGRADED_PENALTY: u32 = 2;
/// A suspect that was heard this recently is notified again rather than declared dead.
const RECENT_CONTACT: Micros = 1_000 * MS;
/// For this long after a member replaced an older run, each message to it includes the incarnation that it has here.
const REPLACEMENT_NOTIFIED_FOR: Micros = 10_000 * MS;
/// Members that a node notifies itself when it leaves.
const LEAVE_FANOUT: usize = 8;
/// Average number of members that notify a suspect of the suspicion, in addition to the one that raised it.
const SUSPECT_NOTIFIERS: u64 = 6;

/// The probe that is in progress.
#[derive(Debug)]
struct Probe {
    target: NodeAddress,
    run_id: RunId,
    number: ProbeNumber,
    stage: ProbeStage,
    /// When the stage ends.
    deadline: Micros,
}

#[derive(Debug)]
enum ProbeStage {
    /// The target itself has been probed.
    Direct,
    /// `requested` other members have been asked to probe it as well, and `nacks` of them have reported no answer.
    Indirect { requested: u32, nacks: u32 },
}

/// A probe sent on behalf of another member.
#[derive(Debug)]
struct RelayedProbe {
    requester: NodeAddress,
    /// The number in the requester's messages.
    requester_number: ProbeNumber,
    target: NodeAddress,
    /// The number in this node's messages to the target.
    own_number: ProbeNumber,
    deadline: Micros,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Lifecycle {
    Active,
    /// This node has left: updates are still taken in, but nothing is sent.
    Left,
}

/// What one node knows of the others.
pub struct Membership {
    own: Member,
    incarnation: Incarnation,
    lifecycle: Lifecycle,
    timing: Timing,
    rand: Rand64,
    seeds: Vec<NodeAddress>,
    roster: Roster,
    gossip: GossipQueue,
    /// Members still to be probed in this round, the next one last.
    probe_order: Vec<NodeAddress>,
    probe: Option<Probe>,
    relayed_probes: Vec<RelayedProbe>,
    last_number: u32,
    health_penalty: u32,
    next_probe: Micros,
    next_gossip: Micros,
    next_seed_request: Micros,
    next_dead_probe: Micros,
    next_compare: Micros,
    started_at: Micros,
    now: Micros,
    due: Micros,
}

impl Membership {
    /// Starts the membership of a new run, which is announced to all seeds at once. `seed` initialises the random
    /// generator; `now` and all other times are those of a monotonic clock.
    pub fn start(
        own: Member, seeds: Vec<NodeAddress>, timing: Timing, seed: u64, now: Micros,
    ) -> (Membership, Vec<Effect>) {
        let mut own = own;
        truncate_name(&mut own.zone);
        truncate_name(&mut own.name);
        let mut rand = Rand64::new(u128::from(seed));
        let random_offset =
            |rand: &mut Rand64, interval: Micros| now + rand.rand_range(0..interval.max(1) as u64) as Micros;
        let mut membership = Membership {
            incarnation: Incarnation::default(),
            lifecycle: Lifecycle::Active,
            seeds: Vec::new(),
            roster: Roster::default(),
            gossip: GossipQueue::default(),
            probe_order: Vec::new(),
            probe: None,
            relayed_probes: Vec::new(),
            // Acknowledgements of probes of an earlier run here must not match those of this one.
            last_number: mix(own.run_id.0) as u32,
            health_penalty: 0,
            next_probe: random_offset(&mut rand, timing.probe_interval),
            next_gossip: now + timing.gossip_interval,
            next_seed_request: now,
            next_dead_probe: random_offset(&mut rand, timing.dead_probe_interval),
            next_compare: now,
            started_at: now,
            now,
            due: now,
            own,
            timing,
            rand,
        };
        membership.gossip.enqueue(membership.own.address);
        let effects = membership.step(now, Event::Seeds { addresses: seeds });
        (membership, effects)
    }

    /// Handles one event. A `now` before that of the last step is taken as the same.
    pub fn step(&mut self, now: Micros, event: Event) -> Vec<Effect> {
        let now = now.max(self.now);
        self.now = now;
        let mut out = Vec::new();
        if now - self.due > self.timing.stall_threshold {
            self.compensate_stall(now - self.due);
        }
        match event {
            Event::Tick => {}
            Event::Received { from, message } => self.handle_message(from, message, &mut out),
            Event::Seeds { addresses } => self.set_seeds(addresses),
            Event::Leave => self.leave(&mut out),
        }
        if self.lifecycle == Lifecycle::Active {
            self.run_timers(&mut out);
        }
        self.due = self.next_due();
        out
    }

    /// When `step` must be called with `Event::Tick` at the latest.
    pub fn due(&self) -> Micros {
        self.due
    }

    /// Whether several probes in a row failed without even a nack from the members asked to relay them, or this node was
    /// stalled repeatedly. Both point to this node's own link or load.
    pub fn is_degraded(&self) -> bool {
        self.health_penalty >= DEGRADED_PENALTY
    }

    /// This node's own entry.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// All other members known, including for a while those that are dead or have left.
    pub fn members(&self) -> impl Iterator<Item = (&Member, MemberStatus)> {
        self.roster.iter().map(|peer| (&peer.member, peer.status))
    }

    /// Since when a member has had its status; `None` if it is not known.
    pub fn status_since(&self, address: NodeAddress) -> Option<Micros> {
        self.roster.get(address).map(|peer| peer.status_since)
    }

    /// The member at an address, whatever its status; `None` if it is not known or is this node.
    pub fn member(&self, address: NodeAddress) -> Option<&Member> {
        self.roster.get(address).map(|peer| &peer.member)
    }

    /// The other members of a role that are alive or suspect.
    pub fn up(&self, role: Role) -> impl Iterator<Item = &Member> {
        self.roster.up().map(|peer| &peer.member).filter(move |member| member.role == role)
    }

    fn next_due(&self) -> Micros {
        if self.lifecycle == Lifecycle::Left {
            return Micros::MAX;
        }
        let mut due = self.next_seed_request.min(self.next_dead_probe);
        match &self.probe {
            Some(probe) => due = due.min(probe.deadline),
            None => due = due.min(self.next_probe),
        }
        if !self.gossip.is_empty() {
            due = due.min(self.next_gossip);
        }
        let suspects = self.roster.iter().filter(|peer| peer.status == MemberStatus::Suspect);
        let suspicions = suspects.map(|peer| peer.suspicion_deadline);
        suspicions.chain(self.relayed_probes.iter().map(|relayed| relayed.deadline)).fold(due, Micros::min)
    }

    // ---- Time ----

    /// This node itself was stalled (suspended, or short of CPU). Others are not to blame for what did not arrive in that
    /// time, so every timeout is extended by it.
    fn compensate_stall(&mut self, late: Micros) {
        self.raise_health_penalty();
        let earliest = self.now + self.scaled(self.timing.probe_interval);
        if let Some(probe) = &mut self.probe {
            probe.deadline += late;
        }
        for relayed in &mut self.relayed_probes {
            relayed.deadline += late;
        }
        for peer in self.roster.iter_mut().filter(|peer| peer.status == MemberStatus::Suspect) {
            peer.suspicion_deadline = (peer.suspicion_deadline + late).max(earliest);
        }
    }

    fn raise_health_penalty(&mut self) {
        self.health_penalty = (self.health_penalty + 1).min(HEALTH_PENALTY_MAX);
    }

    /// A timeout, lengthened by this node's health penalty.
    fn scaled(&self, timeout: Micros) -> Micros {
        timeout * Micros::from(1 + self.health_penalty)
    }

    fn run_timers(&mut self, out: &mut Vec<Effect>) {
        self.expire_relayed_probes(out);
        self.advance_probe(out);
        self.expire_suspicions(out);
        if self.probe.is_none() && self.now >= self.next_probe {
            self.start_probe(out);
        }
        if self.now >= self.next_dead_probe {
            self.next_dead_probe = self.now + self.timing.dead_probe_interval;
            self.roster.forget_down_since(self.now - self.timing.forget_after);
            self.probe_dead_member(out);
        }
        if self.now >= self.next_seed_request {
            self.request_seeds(out);
        }
        if !self.gossip.is_empty() && self.now >= self.next_gossip {
            self.next_gossip = self.now + self.timing.gossip_interval;
            for to in self.random_members_up(self.timing.gossip_fanout, None) {
                let message = self.message_with_gossip(to, MessageBody::Gossip, GOSSIP_BYTES_MAX);
                out.push(Effect::Send { to, message });
            }
        }
    }

    // ---- Seeds ----

    fn set_seeds(&mut self, addresses: Vec<NodeAddress>) {
        let own = self.own.address;
        let mut addresses: Vec<NodeAddress> =
            addresses.into_iter().filter(|address| *address != own).collect();
        addresses.truncate(SEEDS_MAX);
        if addresses != self.seeds {
            self.seeds = addresses;
            self.next_seed_request = self.now;
        }
    }

    /// Sends a `Join` to all seeds that are not known to be up, or to one of them, at random, once a control node is up.
    fn request_seeds(&mut self, out: &mut Vec<Effect>) {
        let isolated = self.up(Role::ControlNode).next().is_none();
        let down = self.seeds.iter().copied().filter(|seed| !self.roster.is_up(*seed));
        let mut receivers: Vec<NodeAddress> = down.collect();
        if !isolated && !receivers.is_empty() {
            let chosen = self.random_below(receivers.len());
            receivers = vec![receivers[chosen]];
        }
        for to in receivers {
            let updates = vec![self.own_update(MemberStatus::Alive)];
            let message = Message { updates, ..self.bare_message(MessageBody::Join) };
            out.push(Effect::Send { to, message });
        }
        let starting = self.now - self.started_at < self.timing.startup_period;
        let interval = match isolated {
            true if starting => self.timing.startup_seed_interval,
            true => self.timing.isolated_seed_interval,
            false => self.timing.seed_interval,
        };
        self.next_seed_request = self.now + interval;
    }

    // ---- Probes ----

    fn start_probe(&mut self, out: &mut Vec<Effect>) {
        self.next_probe = self.now + self.scaled(self.timing.probe_interval);
        let Some(target) = self.next_probe_target() else { return };
        let Some(peer) = self.roster.get(target) else { return };
        let (run_id, number) = (peer.member.run_id, self.next_number());
        let deadline = self.now + self.scaled(self.timing.ack_timeout);
        self.probe = Some(Probe { target, run_id, number, stage: ProbeStage::Direct, deadline });
        let body = MessageBody::Probe { run_id, number };
        let message = self.message_with_gossip(target, body, PIGGYBACK_BYTES_MAX);
        out.push(Effect::Send { to: target, message });
    }

    /// Yields each member that is up once, in random order, and then begins a new round in another order.
    fn next_probe_target(&mut self) -> Option<NodeAddress> {
        while let Some(address) = self.probe_order.pop() {
            if self.roster.is_up(address) {
                return Some(address);
            }
        }
        self.probe_order = self.roster.up().map(|peer| peer.member.address).collect();
        for last in (1..self.probe_order.len()).rev() {
            let other = self.random_below(last + 1);
            self.probe_order.swap(last, other);
        }
        self.probe_order.pop()
    }

    /// Moves the probe on where its stage has ended without an acknowledgement.
    fn advance_probe(&mut self, out: &mut Vec<Effect>) {
        let Some(probe) = self.probe.take_if(|probe| self.now >= probe.deadline) else { return };
        match probe.stage {
            ProbeStage::Direct => self.request_indirect_probes(probe, out),
            ProbeStage::Indirect { requested, nacks } => self.probe_failed(probe, requested, nacks, out),
        }
    }

    fn request_indirect_probes(&mut self, probe: Probe, out: &mut Vec<Effect>) {
        let helpers = self.random_members_up(self.timing.indirect_probe_count, Some(probe.target));
        let stage = ProbeStage::Indirect { requested: helpers.len() as u32, nacks: 0 };
        for to in helpers {
            let body = MessageBody::IndirectProbe { target: probe.target, number: probe.number };
            let message = self.message_with_gossip(to, body, PIGGYBACK_BYTES_MAX);
            out.push(Effect::Send { to, message });
        }
        // The target is probed directly once more: perhaps only a single datagram was lost.
        let body = MessageBody::Probe { run_id: probe.run_id, number: probe.number };
        let message = self.message_with_gossip(probe.target, body, PIGGYBACK_BYTES_MAX);
        out.push(Effect::Send { to: probe.target, message });
        let deadline = self.now + self.scaled(self.timing.ack_timeout * 3 / 2);
        self.probe = Some(Probe { stage, deadline, ..probe });
    }

    /// Nobody got an acknowledgement. Missing nacks of the members that were asked point to this node's own link or load.
    fn probe_failed(&mut self, probe: Probe, requested: u32, nacks: u32, out: &mut Vec<Effect>) {
        if nacks < requested {
            self.raise_health_penalty();
        }
        let Some(peer) = self.roster.get(probe.target) else { return };
        if peer.status == MemberStatus::Alive && peer.member.run_id == probe.run_id {
            self.suspect(probe.target, peer.incarnation, out);
            self.notify_suspect(probe.target, out);
        }
    }

    fn probe_succeeded(&mut self) {
        self.probe = None;
        self.health_penalty = self.health_penalty.saturating_sub(1);
    }

    /// Lets one dead member, chosen at random, know that it is believed dead. This is how the two sides of a partition
    /// find each other again.
    fn probe_dead_member(&mut self, out: &mut Vec<Effect>) {
        let dead = self.roster.iter().filter(|peer| peer.status == MemberStatus::Dead);
        let dead: Vec<(NodeAddress, RunId)> =
            dead.map(|peer| (peer.member.address, peer.member.run_id)).collect();
        if dead.is_empty() {
            return;
        }
        let (to, run_id) = dead[self.random_below(dead.len())];
        let body = MessageBody::Probe { run_id, number: ProbeNumber(0) };
        let message = self.message_with_gossip(to, body, PIGGYBACK_BYTES_MAX);
        out.push(Effect::Send { to, message });
    }

    /// Probes `target` on behalf of `requester`.
    fn relay_probe(
        &mut self, requester: NodeAddress, target: NodeAddress, requester_number: ProbeNumber,
        out: &mut Vec<Effect>,
    ) {
        if self.relayed_probes.len() >= RELAYED_PROBES_MAX {
            return;
        }
        let own_number = self.next_number();
        let run_id = self.roster.get(target).map_or(RunId(0), |peer| peer.member.run_id);
        let deadline = self.now + self.timing.ack_timeout;
        self.relayed_probes.push(RelayedProbe { requester, requester_number, target, own_number, deadline });
        let body = MessageBody::Probe { run_id, number: own_number };
        let message = self.message_with_gossip(target, body, PIGGYBACK_BYTES_MAX);
        out.push(Effect::Send { to: target, message });
    }

    /// Forwards an acknowledgement, if it answers a relayed probe.
    fn forward_ack(&mut self, target: NodeAddress, number: ProbeNumber, out: &mut Vec<Effect>) {
        let answered = |relayed: &RelayedProbe| relayed.target == target && relayed.own_number == number;
        let Some(position) = self.relayed_probes.iter().position(answered) else { return };
        let relayed = self.relayed_probes.swap_remove(position);
        let body = MessageBody::IndirectAck { target, number: relayed.requester_number };
        let message = self.message_with_gossip(relayed.requester, body, PIGGYBACK_BYTES_MAX);
        out.push(Effect::Send { to: relayed.requester, message });
    }

    /// Sends a nack for each relayed probe that was not acknowledged in time.
    fn expire_relayed_probes(&mut self, out: &mut Vec<Effect>) {
        while let Some(position) = self.relayed_probes.iter().position(|relayed| self.now >= relayed.deadline)
        {
            let relayed = self.relayed_probes.swap_remove(position);
            let body = MessageBody::IndirectNack { target: relayed.target, number: relayed.requester_number };
            let message = self.message_with_gossip(relayed.requester, body, PIGGYBACK_BYTES_MAX);
            out.push(Effect::Send { to: relayed.requester, message });
        }
    }

    // ---- Changes of a member's status ----

    fn suspect(&mut self, address: NodeAddress, incarnation: Incarnation, out: &mut Vec<Effect>) {
        let nodes = self.roster.up().count() + 1;
        let deadline = self.now + self.scaled(self.timing.suspicion_timeout(nodes));
        let now = self.now;
        let Some(peer) = self.roster.get_mut(address) else { return };
        let before = (peer.status, peer.incarnation);
        peer.incarnation = incarnation;
        if before.0 != MemberStatus::Suspect {
            (peer.status, peer.status_since, peer.suspicion_deadline) =
                (MemberStatus::Suspect, now, deadline);
            out.push(Effect::StatusChanged { member: peer.member.clone(), status: MemberStatus::Suspect });
        }
        if before != (MemberStatus::Suspect, incarnation) {
            self.gossip.enqueue(address);
        }
    }

    /// Lets a suspect know of the suspicion, so that it can refute it.
    fn notify_suspect(&mut self, address: NodeAddress, out: &mut Vec<Effect>) {
        let now = self.now;
        if let Some(peer) = self.roster.get_mut(address) {
            peer.last_notified = now;
        }
        let message = self.message_with_gossip(address, MessageBody::Gossip, PIGGYBACK_BYTES_MAX);
        out.push(Effect::Send { to: address, message });
    }

    /// Asks whoever is at an address to describe itself, and lets it know which member is believed to be there.
    fn request_identity(&mut self, address: NodeAddress, out: &mut Vec<Effect>) {
        let now = self.now;
        let interval = self.timing.ack_timeout;
        let Some(peer) = self.roster.get_mut(address).filter(|peer| now - peer.last_notified >= interval)
        else {
            return;
        };
        peer.last_notified = now;
        let updates = vec![peer.update()];
        let message = Message { updates, ..self.bare_message(MessageBody::IdentityRequest) };
        out.push(Effect::Send { to: address, message });
    }

    /// Declares suspects dead whose time to refute is over. One that was heard recently is notified once more instead.
    fn expire_suspicions(&mut self, out: &mut Vec<Effect>) {
        let over = |peer: &&Peer| peer.status == MemberStatus::Suspect && self.now >= peer.suspicion_deadline;
        let over: Vec<NodeAddress> =
            self.roster.iter().filter(over).map(|peer| peer.member.address).collect();
        for address in over {
            let extended = self.now + self.scaled(self.timing.probe_interval);
            let now = self.now;
            let Some(peer) = self.roster.get_mut(address) else { continue };
            if peer.last_heard > peer.status_since && now - peer.last_heard < RECENT_CONTACT {
                peer.suspicion_deadline = extended;
                self.notify_suspect(address, out);
            } else {
                self.declare_dead(address, out);
            }
        }
    }

    fn declare_dead(&mut self, address: NodeAddress, out: &mut Vec<Effect>) {
        let now = self.now;
        let Some(peer) = self.roster.get_mut(address) else { return };
        (peer.status, peer.status_since) = (MemberStatus::Dead, now);
        out.push(Effect::StatusChanged { member: peer.member.clone(), status: MemberStatus::Dead });
        self.gossip.enqueue(address);
    }

    fn mark_left(&mut self, address: NodeAddress, out: &mut Vec<Effect>) {
        let now = self.now;
        let Some(peer) = self.roster.get_mut(address) else { return };
        let was_dead = peer.status == MemberStatus::Dead;
        (peer.status, peer.status_since) = (MemberStatus::Left, now);
        if !was_dead {
            out.push(Effect::StatusChanged { member: peer.member.clone(), status: MemberStatus::Left });
        }
        self.gossip.enqueue(address);
    }

    /// The member refuted what was believed of it, by a higher incarnation.
    fn mark_alive(&mut self, address: NodeAddress, incarnation: Incarnation, out: &mut Vec<Effect>) {
        let now = self.now;
        let Some(peer) = self.roster.get_mut(address) else { return };
        let before = peer.status;
        peer.incarnation = incarnation;
        if before != MemberStatus::Alive {
            (peer.status, peer.status_since) = (MemberStatus::Alive, now);
            out.push(Effect::StatusChanged { member: peer.member.clone(), status: MemberStatus::Alive });
        }
        if before == MemberStatus::Dead {
            self.insert_into_probe_order(address);
            // A partition may have ended: what the other side knows is wanted soon.
            self.next_compare = now;
        }
        self.gossip.enqueue(address);
    }

    fn add_member(&mut self, update: MemberUpdate, replaced: Option<ReplacedRun>, out: &mut Vec<Effect>) {
        let MemberUpdate { member, incarnation, status } = update;
        let address = member.address;
        let peer = Peer {
            member: member.clone(),
            incarnation,
            status: MemberStatus::Alive,
            status_since: self.now,
            suspicion_deadline: self.now,
            last_heard: Micros::MIN / 2,
            last_notified: Micros::MIN / 2,
            replaced,
        };
        if !self.roster.insert(peer) {
            return;
        }
        out.push(Effect::StatusChanged { member, status: MemberStatus::Alive });
        self.insert_into_probe_order(address);
        self.gossip.enqueue(address);
        if status == MemberStatus::Suspect {
            self.suspect(address, incarnation, out);
        }
    }

    /// Another run at a known address: the old one has ended, whatever was believed of it.
    fn replace_run(&mut self, update: MemberUpdate, direct: bool, out: &mut Vec<Effect>) {
        let Some(old) = self.roster.get(update.member.address) else { return };
        let replaced = direct.then_some(ReplacedRun { run_id: old.member.run_id, at: self.now });
        let incarnation =
            if direct { update.incarnation.max(old.incarnation.next()) } else { update.incarnation };
        if old.status.is_up() {
            out.push(Effect::StatusChanged { member: old.member.clone(), status: MemberStatus::Dead });
        }
        self.add_member(MemberUpdate { incarnation, ..update }, replaced, out);
    }

    /// Inserts a member at a random position of the current round of probes.
    fn insert_into_probe_order(&mut self, address: NodeAddress) {
        self.probe_order.retain(|other| *other != address);
        let position = self.random_below(self.probe_order.len() + 1);
        self.probe_order.insert(position, address);
    }

    // ---- Received messages ----

    fn handle_message(&mut self, from: NodeAddress, message: Message, out: &mut Vec<Effect>) {
        let Message { run_id, incarnation, body, updates } = message;
        if from == self.own.address
            || self.roster.get(from).is_some_and(|peer| peer.ignores(run_id, self.now))
        {
            return;
        }
        let mut accused = false;
        for update in updates {
            if update.member.address == self.own.address {
                accused |= self.handle_own_update(&update);
            } else {
                let direct = update.member.address == from && update.member.run_id == run_id;
                self.handle_update(update, direct, out);
            }
        }
        if self.lifecycle == Lifecycle::Left {
            return;
        }
        let known = self.handle_sender(from, run_id, incarnation, out);
        if accused {
            self.send_own_update(from, out);
        }
        match body {
            MessageBody::Join => self.send_members(from, [true; DIGEST_RANGES], true, out),
            MessageBody::Gossip => {}
            MessageBody::IdentityRequest => self.send_own_update(from, out),
            MessageBody::Probe { run_id, number } => {
                let body = MessageBody::Ack { number, digest: self.total_digest() };
                let mut message = self.message_with_gossip(from, body, PIGGYBACK_BYTES_MAX);
                if run_id != self.own.run_id {
                    message.updates.push(self.own_update(MemberStatus::Alive));
                }
                out.push(Effect::Send { to: from, message });
            }
            MessageBody::Ack { number, digest } => self.handle_ack(from, number, digest, known, out),
            MessageBody::IndirectProbe { target, number } if target != self.own.address => {
                self.relay_probe(from, target, number, out);
            }
            MessageBody::IndirectProbe { .. } => {}
            MessageBody::IndirectAck { target, number } => {
                if self.probe.as_ref().is_some_and(|probe| probe.target == target && probe.number == number) {
                    self.probe_succeeded();
                }
            }
            MessageBody::IndirectNack { target, number } => self.handle_nack(target, number),
            MessageBody::CompareDigests { digests, reply_wanted } => {
                self.handle_digests(from, digests, reply_wanted, out);
            }
        }
    }

    /// Notes a sign of life of the sender's run, and returns whether that run is known. One that is not is asked to
    /// describe itself.
    fn handle_sender(
        &mut self, from: NodeAddress, run_id: RunId, incarnation: Incarnation, out: &mut Vec<Effect>,
    ) -> bool {
        let now = self.now;
        match self.roster.get_mut(from) {
            Some(peer) if peer.member.run_id == run_id => {
                peer.last_heard = now;
                if incarnation > peer.incarnation && peer.status != MemberStatus::Left {
                    self.mark_alive(from, incarnation, out);
                }
                true
            }
            _ => {
                // A node that is unknown here may know many members that are as well. Comparing digests yields those, and
                // its own description too.
                let body = if now >= self.next_compare {
                    self.next_compare = now + self.timing.probe_interval;
                    MessageBody::CompareDigests { digests: self.range_digests(), reply_wanted: true }
                } else {
                    MessageBody::IdentityRequest
                };
                let message = self.message_with_gossip(from, body, PIGGYBACK_BYTES_MAX);
                out.push(Effect::Send { to: from, message });
                false
            }
        }
    }

    /// Applies an update about another node.
    fn handle_update(&mut self, update: MemberUpdate, direct: bool, out: &mut Vec<Effect>) {
        if update.member.zone.len() > NAME_BYTES_MAX || update.member.name.len() > NAME_BYTES_MAX {
            return;
        }
        let address = update.member.address;
        match classify(self.roster.get(address), &update, direct, self.now) {
            UpdateKind::Ignored => {}
            UpdateKind::NewMember => self.add_member(update, None, out),
            UpdateKind::NewRun => self.replace_run(update, direct, out),
            UpdateKind::Refuted => self.mark_alive(address, update.incarnation, out),
            UpdateKind::Left => self.mark_left(address, out),
            UpdateKind::DeadAgain => {
                if let Some(peer) = self.roster.get_mut(address) {
                    peer.incarnation = update.incarnation;
                }
            }
            UpdateKind::Accused => {
                self.suspect(address, update.incarnation, out);
                let nodes = self.roster.up().count().max(1) as u64;
                if self.lifecycle == Lifecycle::Active && self.rand.rand_range(0..nodes) < SUSPECT_NOTIFIERS {
                    self.notify_suspect(address, out);
                }
            }
            UpdateKind::ReplacedRunAhead => {
                if let Some(peer) = self.roster.get_mut(address) {
                    peer.incarnation = update.incarnation.next();
                    self.gossip.enqueue(address);
                }
            }
            UpdateKind::ConflictingRun => {
                if self.lifecycle == Lifecycle::Active {
                    self.request_identity(address, out);
                }
            }
        }
    }

    /// Handles an update about this node's own address. Anything but this run being alive is refuted by a higher
    /// incarnation. Returns whether the sender needs this node's own update.
    fn handle_own_update(&mut self, update: &MemberUpdate) -> bool {
        let correct = update.member.run_id == self.own.run_id && update.status == MemberStatus::Alive;
        if correct {
            self.incarnation = self.incarnation.max(update.incarnation);
            return false;
        }
        if update.incarnation < self.incarnation || self.lifecycle == Lifecycle::Left {
            // Refuted already, but the sender has not heard of it.
            return true;
        }
        self.incarnation = update.incarnation.next();
        self.gossip.enqueue(self.own.address);
        true
    }

    fn send_own_update(&mut self, to: NodeAddress, out: &mut Vec<Effect>) {
        let updates = vec![self.own_update(MemberStatus::Alive)];
        let message = Message { updates, ..self.bare_message(MessageBody::Gossip) };
        out.push(Effect::Send { to, message });
    }

    fn handle_ack(
        &mut self, from: NodeAddress, number: ProbeNumber, digest: u32, known: bool, out: &mut Vec<Effect>,
    ) {
        if self.probe.as_ref().is_some_and(|probe| probe.target == from && probe.number == number) {
            self.probe_succeeded();
        }
        self.forward_ack(from, number, out);
        // While there is gossip, a difference is to be expected.
        if known && digest != self.total_digest() && self.gossip.is_empty() && self.now >= self.next_compare {
            self.next_compare = self.now + self.timing.compare_interval;
            let body = MessageBody::CompareDigests { digests: self.range_digests(), reply_wanted: true };
            let message = self.message_with_gossip(from, body, PIGGYBACK_BYTES_MAX);
            out.push(Effect::Send { to: from, message });
        }
    }

    fn handle_nack(&mut self, target: NodeAddress, number: ProbeNumber) {
        let Some(probe) = self.probe.as_mut() else { return };
        if let ProbeStage::Indirect { nacks, .. } = &mut probe.stage
            && (probe.target, probe.number) == (target, number)
        {
            *nacks += 1;
        }
    }

    fn handle_digests(
        &mut self, from: NodeAddress, digests: [u32; DIGEST_RANGES], reply_wanted: bool,
        out: &mut Vec<Effect>,
    ) {
        let own = self.range_digests();
        let differs: [bool; DIGEST_RANGES] = std::array::from_fn(|range| own[range] != digests[range]);
        if !differs.contains(&true) {
            return;
        }
        self.send_members(from, differs, false, out);
        if reply_wanted {
            let body = MessageBody::CompareDigests { digests: own, reply_wanted: false };
            let message = self.message_with_gossip(from, body, PIGGYBACK_BYTES_MAX);
            out.push(Effect::Send { to: from, message });
        }
    }

    // ---- Messages to others ----

    /// Sends the members of some ranges, and this node itself, in messages that each fit into a datagram.
    fn send_members(
        &mut self, to: NodeAddress, ranges: [bool; DIGEST_RANGES], only_up: bool, out: &mut Vec<Effect>,
    ) {
        let mut updates = vec![self.own_update(MemberStatus::Alive)];
        let mut bytes = encoded_bytes(&updates[0]);
        for peer in self.roster.iter() {
            let address = peer.member.address;
            if address == to || !ranges[digest_range(address)] || (only_up && !peer.status.is_up()) {
                continue;
            }
            let update = peer.update();
            let update_bytes = encoded_bytes(&update);
            if bytes + update_bytes > GOSSIP_BYTES_MAX {
                let updates = std::mem::take(&mut updates);
                let message = Message { updates, ..self.bare_message(MessageBody::Gossip) };
                out.push(Effect::Send { to, message });
                bytes = 0;
            }
            bytes += update_bytes;
            updates.push(update);
        }
        let message = Message { updates, ..self.bare_message(MessageBody::Gossip) };
        out.push(Effect::Send { to, message });
    }

    /// Ends this run in order: several members are notified at once, and pass it on.
    fn leave(&mut self, out: &mut Vec<Effect>) {
        if self.lifecycle == Lifecycle::Left {
            return;
        }
        self.lifecycle = Lifecycle::Left;
        let update = self.own_update(MemberStatus::Left);
        for to in self.random_members_up(LEAVE_FANOUT, None) {
            let updates = vec![update.clone()];
            let message = Message { updates, ..self.bare_message(MessageBody::Gossip) };
            out.push(Effect::Send { to, message });
        }
    }

    /// A message without updates.
    fn bare_message(&self, body: MessageBody) -> Message {
        Message { run_id: self.own.run_id, incarnation: self.incarnation, body, updates: Vec::new() }
    }

    /// A message with up to `bytes_max` bytes of the updates that were sent least so far. A receiver that is not believed
    /// alive, or replaced another run lately, finds its own entry first, so that it can refute it.
    fn message_with_gossip(&mut self, to: NodeAddress, body: MessageBody, bytes_max: usize) -> Message {
        let mut message = self.bare_message(body);
        let mut bytes_left = bytes_max;
        let receiver = self.roster.get(to).filter(|peer| {
            let replaced_lately =
                peer.replaced.is_some_and(|replaced| self.now - replaced.at < REPLACEMENT_NOTIFIED_FOR);
            peer.status != MemberStatus::Alive || replaced_lately
        });
        if let Some(peer) = receiver {
            let update = peer.update();
            bytes_left = bytes_left.saturating_sub(encoded_bytes(&update));
            message.updates.push(update);
        }
        let mut sent = 0;
        for about in self.gossip.addresses() {
            let update = match self.roster.get(about) {
                _ if about == self.own.address => self.own_update(MemberStatus::Alive),
                Some(peer) => peer.update(),
                // Forgotten in the meantime: counts as sent.
                None => {
                    sent += 1;
                    continue;
                }
            };
            let bytes = encoded_bytes(&update);
            if bytes > bytes_left {
                break;
            }
            bytes_left -= bytes;
            sent += 1;
            if about != to {
                message.updates.push(update);
            }
        }
        let limit = self.timing.gossip_transmissions(self.roster.up().count());
        self.gossip.mark_sent(sent, limit);
        message
    }

    fn own_update(&self, status: MemberStatus) -> MemberUpdate {
        MemberUpdate { member: self.own.clone(), incarnation: self.incarnation, status }
    }

    /// Digest of all members that are up, this node included.
    fn total_digest(&self) -> u32 {
        self.range_digests().iter().fold(0, |total, range| total ^ range)
    }

    /// The same by ranges of addresses.
    fn range_digests(&self) -> [u32; DIGEST_RANGES] {
        let mut digests = [0; DIGEST_RANGES];
        let own = (self.own.address, self.own.run_id, self.incarnation);
        let others = self.roster.up().map(|peer| (peer.member.address, peer.member.run_id, peer.incarnation));
        for (address, run_id, incarnation) in others.chain([own]) {
            digests[digest_range(address)] ^= member_digest(address, run_id, incarnation);
        }
        digests
    }

    // ---- Numbers and random choices ----

    fn random_below(&mut self, bound: usize) -> usize {
        self.rand.rand_range(0..bound.max(1) as u64) as usize
    }

    /// The next probe number; never 0, which stands for probes that are not tracked.
    fn next_number(&mut self) -> ProbeNumber {
        self.last_number = self.last_number.wrapping_add(1).max(1);
        ProbeNumber(self.last_number)
    }

    /// Up to `count` members that are up, chosen at random, without `excluded`.
    fn random_members_up(&mut self, count: usize, excluded: Option<NodeAddress>) -> Vec<NodeAddress> {
        let up = self.roster.up().map(|peer| peer.member.address);
        let mut up: Vec<NodeAddress> = up.filter(|address| Some(*address) != excluded).collect();
        let count = count.min(up.len());
        for position in 0..count {
            let other = position + self.random_below(up.len() - position);
            up.swap(position, other);
        }
        up.truncate(count);
        up
    }
}

/// The most bytes that an update takes in an encoded message (postcard), not counting the member's version.
fn encoded_bytes(update: &MemberUpdate) -> usize {
    4 + 10 + 1 + 5 + 1 + 2 + update.member.zone.len() + update.member.name.len()
}

/// Shortens a zone or a name to the allowed length, at a character boundary.
fn truncate_name(text: &mut String) {
    let mut end = text.len().min(NAME_BYTES_MAX);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    text.truncate(end);
}
