//! One node's membership: explicit states, and one function for each change of state.

use oorandom::Rand64;
use types::{MS, Micros, NodeAddress, RunId};

use crate::gossip::GossipQueue;
use crate::roster::{Peer, Roster, Worth, digest_of, mix, range_of, weigh};
use crate::{
    Effect, Event, Incarnation, Member, MemberStatus, MemberUpdate, Message, MessageBody, NAME_BYTES_MAX,
    ProbeNumber, Role, SEEDS_MAX, Timing,
};

/// Bytes of news in a message of its own, and of news that ride along with a probe or its answer.
const NEWS_BYTES: usize = 950;
const RIDE_BYTES: usize = 400;
/// Second indirect_probe_count in work for others at once.
const HELPING_MAX: usize = 64;
/// Steps of local strain (Lifeguard); each stretches time-outs once more.
const STRAIN_MAX: u32 = 4;
/// From so many steps on the node counts as strained.
const STRAINED: u32 = 2;
/// A suspect that was heard this lately is told again instead of held dead.
const HEARD_LATELY: Micros = 1_000 * MS;
/// So long after it replaced an older run_id, a member hears at which incarnation it is held.
const FORMER_TOLD: Micros = 10_000 * MS;
/// How many others hear of an orderly end from the node itself.
const LEAVE_TOLD: usize = 8;
/// How many others, about, tell a suspect of the suspicion beside the accuser.
const SUSPECT_TOLD: u64 = 6;

/// The probe that is out.
#[derive(Debug)]
struct Probe {
    address: NodeAddress,
    run_id: RunId,
    number: ProbeNumber,
    stage: ProbeStage,
    /// When the stage ends.
    until: Micros,
}

#[derive(Debug)]
enum ProbeStage {
    /// The member itself was asked.
    Asked,
    /// So many others were asked as well, and so many of them have told that they know no better.
    SecondOpinions { asked: u32, doubted: u32 },
}

/// A second opinion in work for another node.
#[derive(Debug)]
struct Helping {
    asker: NodeAddress,
    theirs: ProbeNumber,
    address: NodeAddress,
    ours: ProbeNumber,
    until: Micros,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Here,
    /// Left: news is still heard, nothing is sent.
    Gone,
}

/// What this node knows of the others.
pub struct Membership {
    own: Member,
    incarnation: Incarnation,
    stage: Stage,
    timing: Timing,
    rand: Rand64,
    seeds: Vec<NodeAddress>,
    roster: Roster,
    news: GossipQueue,
    /// Places to probe in this round, the next one last.
    round: Vec<NodeAddress>,
    probe: Option<Probe>,
    helping: Vec<Helping>,
    last_number: u32,
    strain: u32,
    next_probe: Micros,
    next_gossip: Micros,
    next_seeds: Micros,
    next_dead: Micros,
    next_compare: Micros,
    born: Micros,
    now: Micros,
    due: Micros,
}

impl Membership {
    /// Starts a run_id: it is told to all seeds at once. `seed` is for chance, `now` and all times are of a steady
    /// clock in microseconds.
    pub fn start(
        own: Member, seeds: Vec<NodeAddress>, timing: Timing, seed: u64, now: Micros,
    ) -> (Membership, Vec<Effect>) {
        let mut own = own;
        cut(&mut own.zone);
        cut(&mut own.name);
        let mut rand = Rand64::new(u128::from(seed));
        let stagger =
            |rand: &mut Rand64, every: Micros| now + rand.rand_range(0..every.max(1) as u64) as Micros;
        let mut company = Membership {
            incarnation: Incarnation::default(),
            stage: Stage::Here,
            seeds: Vec::new(),
            roster: Roster::default(),
            news: GossipQueue::default(),
            round: Vec::new(),
            probe: None,
            helping: Vec::new(),
            // Answers to the probes of an earlier run_id here must not count for this one's.
            last_number: mix(own.run_id.0) as u32,
            strain: 0,
            next_probe: stagger(&mut rand, timing.probe_interval),
            next_gossip: now + timing.gossip_interval,
            next_seeds: now,
            next_dead: stagger(&mut rand, timing.dead_probe_interval),
            next_compare: now,
            born: now,
            now,
            due: now,
            own,
            timing,
            rand,
        };
        company.news.tell(company.own.address);
        let effects = company.step(now, Event::Seeds { addresses: seeds });
        (company, effects)
    }

    /// Takes one event; time may stand still but never go reply_wanted (an earlier `now` is read as the last one).
    pub fn step(&mut self, now: Micros, event: Event) -> Vec<Effect> {
        let now = now.max(self.now);
        self.now = now;
        let mut out = Vec::new();
        if now - self.due > self.timing.stall_threshold {
            self.stalled(now - self.due);
        }
        match event {
            Event::Tick => {}
            Event::Received { from, message } => self.received(from, message, &mut out),
            Event::Seeds { addresses } => self.seeds_told(addresses),
            Event::Leave => self.leave(&mut out),
        }
        if self.stage == Stage::Here {
            self.timers(&mut out);
        }
        self.due = self.next_due();
        out
    }

    /// When `step` wants a `Tick` at the latest.
    pub fn due(&self) -> Micros {
        self.due
    }

    /// Whether probes of several members in a row got no answer, and no helper's word either: a hint at this node's own
    /// link or load.
    pub fn is_degraded(&self) -> bool {
        self.strain >= STRAINED
    }

    /// This node's own entry.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// All that are known, without this node; the dead and gone for a while too.
    pub fn members(&self) -> impl Iterator<Item = (&Member, MemberStatus)> {
        self.roster.iter().map(|peer| (&peer.member, peer.status))
    }

    /// Since when a node stands as it does, by the clock of the events; `None` for one that is not known.
    pub fn status_since(&self, address: NodeAddress) -> Option<Micros> {
        self.roster.get(address).map(|peer| peer.since)
    }

    /// What is known of the node at a address, whatever its status; none of this node itself.
    pub fn member(&self, address: NodeAddress) -> Option<&Member> {
        self.roster.get(address).map(|peer| &peer.member)
    }

    /// Those of a role that are alive or suspect, without this node.
    pub fn up(&self, role: Role) -> impl Iterator<Item = &Member> {
        self.roster.up().map(|peer| &peer.member).filter(move |member| member.role == role)
    }

    fn next_due(&self) -> Micros {
        if self.stage == Stage::Gone {
            return Micros::MAX;
        }
        let mut due = self.next_seeds.min(self.next_dead);
        match &self.probe {
            Some(probe) => due = due.min(probe.until),
            None => due = due.min(self.next_probe),
        }
        if !self.news.is_empty() {
            due = due.min(self.next_gossip);
        }
        let suspects = self.roster.iter().filter(|peer| peer.status == MemberStatus::Suspect);
        let suspects = suspects.map(|peer| peer.until);
        suspects.chain(self.helping.iter().map(|help| help.until)).fold(due, Micros::min)
    }

    // ---- time ----

    /// This node itself stood still (frozen, starved): what others failed to say in that time is no fault of
    /// theirs, so every time-out moves on by it.
    fn stalled(&mut self, late: Micros) {
        self.strain_up();
        let soonest = self.now + self.stretched(self.timing.probe_interval);
        if let Some(probe) = &mut self.probe {
            probe.until += late;
        }
        for help in &mut self.helping {
            help.until += late;
        }
        for peer in self.roster.iter_mut().filter(|peer| peer.status == MemberStatus::Suspect) {
            peer.until = (peer.until + late).max(soonest);
        }
    }

    fn strain_up(&mut self) {
        self.strain = (self.strain + 1).min(STRAIN_MAX);
    }

    fn stretched(&self, time: Micros) -> Micros {
        time * Micros::from(1 + self.strain)
    }

    fn timers(&mut self, out: &mut Vec<Effect>) {
        self.end_helping(out);
        self.end_probe_stage(out);
        self.bury_suspects(out);
        if self.probe.is_none() && self.now >= self.next_probe {
            self.begin_probe(out);
        }
        if self.now >= self.next_dead {
            self.next_dead = self.now + self.timing.dead_probe_interval;
            self.roster.forget(self.now - self.timing.forget_after);
            self.try_the_dead(out);
        }
        if self.now >= self.next_seeds {
            self.ask_seeds(out);
        }
        if !self.news.is_empty() && self.now >= self.next_gossip {
            self.next_gossip = self.now + self.timing.gossip_interval;
            for to in self.some_up(self.timing.gossip_fanout, None) {
                let message = self.message(to, MessageBody::Gossip, NEWS_BYTES);
                out.push(Effect::Send { to, message });
            }
        }
    }

    // ---- seeds ----

    fn seeds_told(&mut self, addresses: Vec<NodeAddress>) {
        let own = self.own.address;
        let mut addresses: Vec<NodeAddress> =
            addresses.into_iter().filter(|address| *address != own).collect();
        addresses.truncate(SEEDS_MAX);
        if addresses != self.seeds {
            self.seeds = addresses;
            self.next_seeds = self.now;
        }
    }

    fn ask_seeds(&mut self, out: &mut Vec<Effect>) {
        let alone = self.up(Role::ControlNode).next().is_none();
        let unknown = self.seeds.iter().copied().filter(|seed| !self.roster.is_up(*seed));
        let mut unknown: Vec<NodeAddress> = unknown.collect();
        if !alone && !unknown.is_empty() {
            let one = self.below(unknown.len());
            unknown = vec![unknown[one]];
        }
        for to in unknown {
            let message = Message {
                updates: vec![self.own_rumor(MemberStatus::Alive)],
                ..self.bare(MessageBody::Join)
            };
            out.push(Effect::Send { to, message });
        }
        let every = match alone {
            true if self.now - self.born < self.timing.startup_period => self.timing.startup_seed_interval,
            true => self.timing.isolated_seed_interval,
            false => self.timing.seed_interval,
        };
        self.next_seeds = self.now + every;
    }

    // ---- probes ----

    fn begin_probe(&mut self, out: &mut Vec<Effect>) {
        self.next_probe = self.now + self.stretched(self.timing.probe_interval);
        let Some(address) = self.next_of_round() else { return };
        let Some(peer) = self.roster.get(address) else { return };
        let (run_id, number) = (peer.member.run_id, self.number());
        let until = self.now + self.stretched(self.timing.ack_timeout);
        self.probe = Some(Probe { address, run_id, number, stage: ProbeStage::Asked, until });
        let message = self.message(address, MessageBody::Probe { run_id, number }, RIDE_BYTES);
        out.push(Effect::Send { to: address, message });
    }

    /// Each living member once, in an order by chance; then a new order.
    fn next_of_round(&mut self) -> Option<NodeAddress> {
        while let Some(address) = self.round.pop() {
            if self.roster.is_up(address) {
                return Some(address);
            }
        }
        self.round = self.roster.up().map(|peer| peer.member.address).collect();
        for last in (1..self.round.len()).rev() {
            let other = self.below(last + 1);
            self.round.swap(last, other);
        }
        self.round.pop()
    }

    fn end_probe_stage(&mut self, out: &mut Vec<Effect>) {
        let Some(probe) = self.probe.take_if(|probe| self.now >= probe.until) else { return };
        match probe.stage {
            ProbeStage::Asked => self.ask_second_opinions(probe, out),
            ProbeStage::SecondOpinions { asked, doubted } => self.probe_failed(probe, asked, doubted, out),
        }
    }

    fn ask_second_opinions(&mut self, probe: Probe, out: &mut Vec<Effect>) {
        let helpers = self.some_up(self.timing.indirect_probe_count, Some(probe.address));
        let stage = ProbeStage::SecondOpinions { asked: helpers.len() as u32, doubted: 0 };
        for to in helpers {
            let body = MessageBody::IndirectProbe { target: probe.address, number: probe.number };
            let message = self.message(to, body, RIDE_BYTES);
            out.push(Effect::Send { to, message });
        }
        // The member is asked once more itself: it was perhaps only one datagram that got lost.
        let message = self.message(
            probe.address,
            MessageBody::Probe { run_id: probe.run_id, number: probe.number },
            RIDE_BYTES,
        );
        out.push(Effect::Send { to: probe.address, message });
        let until = self.now + self.stretched(self.timing.ack_timeout * 3 / 2);
        self.probe = Some(Probe { stage, until, ..probe });
    }

    /// Nobody got an answer. Helpers that did not even say so hint at this node's own link or load.
    fn probe_failed(&mut self, probe: Probe, asked: u32, doubted: u32, out: &mut Vec<Effect>) {
        if doubted < asked {
            self.strain_up();
        }
        let Some(peer) = self.roster.get(probe.address) else { return };
        if peer.status == MemberStatus::Alive && peer.member.run_id == probe.run_id {
            self.suspect(probe.address, peer.incarnation, out);
            self.tell_suspect(probe.address, out);
        }
    }

    fn probe_answered(&mut self) {
        self.probe = None;
        self.strain = self.strain.saturating_sub(1);
    }

    /// One of the dead, by chance, hears that it is held dead: after a cut both sides find each other so.
    fn try_the_dead(&mut self, out: &mut Vec<Effect>) {
        let dead = self.roster.iter().filter(|peer| peer.status == MemberStatus::Dead);
        let dead: Vec<(NodeAddress, RunId)> =
            dead.map(|peer| (peer.member.address, peer.member.run_id)).collect();
        if dead.is_empty() {
            return;
        }
        let (to, run_id) = dead[self.below(dead.len())];
        let message = self.message(to, MessageBody::Probe { run_id, number: ProbeNumber(0) }, RIDE_BYTES);
        out.push(Effect::Send { to, message });
    }

    fn help(&mut self, asker: NodeAddress, address: NodeAddress, theirs: ProbeNumber, out: &mut Vec<Effect>) {
        if self.helping.len() >= HELPING_MAX {
            return;
        }
        let ours = self.number();
        let run_id = self.roster.get(address).map_or(RunId(0), |peer| peer.member.run_id);
        let until = self.now + self.timing.ack_timeout;
        self.helping.push(Helping { asker, theirs, address, ours, until });
        let message = self.message(address, MessageBody::Probe { run_id, number: ours }, RIDE_BYTES);
        out.push(Effect::Send { to: address, message });
    }

    fn helped(&mut self, address: NodeAddress, ours: ProbeNumber, out: &mut Vec<Effect>) {
        let Some(at) = self.helping.iter().position(|help| help.address == address && help.ours == ours)
        else {
            return;
        };
        let help = self.helping.swap_remove(at);
        let body = MessageBody::IndirectAck { target: address, number: help.theirs };
        let message = self.message(help.asker, body, RIDE_BYTES);
        out.push(Effect::Send { to: help.asker, message });
    }

    fn end_helping(&mut self, out: &mut Vec<Effect>) {
        while let Some(at) = self.helping.iter().position(|help| self.now >= help.until) {
            let help = self.helping.swap_remove(at);
            let body = MessageBody::IndirectNack { target: help.address, number: help.theirs };
            let message = self.message(help.asker, body, RIDE_BYTES);
            out.push(Effect::Send { to: help.asker, message });
        }
    }

    // ---- changes of what is held of a member ----

    fn suspect(&mut self, address: NodeAddress, incarnation: Incarnation, out: &mut Vec<Effect>) {
        let nodes = self.roster.up().count() + 1;
        let until = self.now + self.stretched(self.timing.suspicion_timeout(nodes));
        let now = self.now;
        let Some(peer) = self.roster.get_mut(address) else { return };
        let before = (peer.status, peer.incarnation);
        peer.incarnation = incarnation;
        if before.0 != MemberStatus::Suspect {
            (peer.status, peer.since, peer.until) = (MemberStatus::Suspect, now, until);
            out.push(Effect::StatusChanged { member: peer.member.clone(), status: MemberStatus::Suspect });
        }
        if before != (MemberStatus::Suspect, incarnation) {
            self.news.tell(address);
        }
    }

    fn tell_suspect(&mut self, address: NodeAddress, out: &mut Vec<Effect>) {
        let now = self.now;
        if let Some(peer) = self.roster.get_mut(address) {
            peer.told = now;
        }
        let message = self.message(address, MessageBody::Gossip, RIDE_BYTES);
        out.push(Effect::Send { to: address, message });
    }

    /// Asks whoever is at a address for its name, and tells whom it is held to be.
    fn ask_place(&mut self, address: NodeAddress, out: &mut Vec<Effect>) {
        let now = self.now;
        let again = self.timing.ack_timeout;
        let Some(peer) = self.roster.get_mut(address).filter(|peer| now - peer.told >= again) else { return };
        peer.told = now;
        let news = vec![peer.rumor()];
        out.push(Effect::Send {
            to: address,
            message: Message { updates: news, ..self.bare(MessageBody::IdentityRequest) },
        });
    }

    /// Suspects whose time is over are dead; one that was heard lately is told once more instead.
    fn bury_suspects(&mut self, out: &mut Vec<Effect>) {
        let over = |peer: &&Peer| peer.status == MemberStatus::Suspect && self.now >= peer.until;
        let over: Vec<NodeAddress> =
            self.roster.iter().filter(over).map(|peer| peer.member.address).collect();
        for address in over {
            let more = self.now + self.stretched(self.timing.probe_interval);
            let now = self.now;
            let Some(peer) = self.roster.get_mut(address) else { continue };
            if peer.heard > peer.since && now - peer.heard < HEARD_LATELY {
                peer.until = more;
                self.tell_suspect(address, out);
            } else {
                self.dead(address, out);
            }
        }
    }

    fn dead(&mut self, address: NodeAddress, out: &mut Vec<Effect>) {
        let now = self.now;
        let Some(peer) = self.roster.get_mut(address) else { return };
        (peer.status, peer.since) = (MemberStatus::Dead, now);
        out.push(Effect::StatusChanged { member: peer.member.clone(), status: MemberStatus::Dead });
        self.news.tell(address);
    }

    fn left(&mut self, address: NodeAddress, out: &mut Vec<Effect>) {
        let now = self.now;
        let Some(peer) = self.roster.get_mut(address) else { return };
        let was_dead = peer.status == MemberStatus::Dead;
        (peer.status, peer.since) = (MemberStatus::Left, now);
        if !was_dead {
            out.push(Effect::StatusChanged { member: peer.member.clone(), status: MemberStatus::Left });
        }
        self.news.tell(address);
    }

    fn refuted(&mut self, address: NodeAddress, incarnation: Incarnation, out: &mut Vec<Effect>) {
        let now = self.now;
        let Some(peer) = self.roster.get_mut(address) else { return };
        let before = peer.status;
        peer.incarnation = incarnation;
        if before != MemberStatus::Alive {
            (peer.status, peer.since) = (MemberStatus::Alive, now);
            out.push(Effect::StatusChanged { member: peer.member.clone(), status: MemberStatus::Alive });
        }
        if before == MemberStatus::Dead {
            self.join_round(address);
            // A split may have ended: what the other side knows is wanted soon.
            self.next_compare = now;
        }
        self.news.tell(address);
    }

    fn newcomer(&mut self, rumor: MemberUpdate, former: Option<(RunId, Micros)>, out: &mut Vec<Effect>) {
        let MemberUpdate { member, incarnation, status } = rumor;
        let address = member.address;
        let peer = Peer {
            member: member.clone(),
            incarnation,
            status: MemberStatus::Alive,
            since: self.now,
            until: self.now,
            heard: Micros::MIN / 2,
            told: Micros::MIN / 2,
            former,
        };
        if !self.roster.put(peer) {
            return;
        }
        out.push(Effect::StatusChanged { member, status: MemberStatus::Alive });
        self.join_round(address);
        self.news.tell(address);
        if status == MemberStatus::Suspect {
            self.suspect(address, incarnation, out);
        }
    }

    /// Another run_id at a known address: the old one has ended, whatever was held of it.
    fn new_life(&mut self, rumor: MemberUpdate, direct: bool, out: &mut Vec<Effect>) {
        let Some(old) = self.roster.get(rumor.member.address) else { return };
        let former = direct.then_some((old.member.run_id, self.now));
        let incarnation =
            if direct { rumor.incarnation.max(old.incarnation.next()) } else { rumor.incarnation };
        if old.status.is_up() {
            out.push(Effect::StatusChanged { member: old.member.clone(), status: MemberStatus::Dead });
        }
        self.newcomer(MemberUpdate { incarnation, ..rumor }, former, out);
    }

    fn join_round(&mut self, address: NodeAddress) {
        self.round.retain(|other| *other != address);
        let at = self.below(self.round.len() + 1);
        self.round.insert(at, address);
    }

    // ---- what is heard ----

    fn received(&mut self, from: NodeAddress, message: Message, out: &mut Vec<Effect>) {
        let Message { run_id, incarnation, body, updates } = message;
        if from == self.own.address || self.roster.get(from).is_some_and(|peer| peer.mutes(run_id, self.now))
        {
            return;
        }
        let mut accused = false;
        for rumor in updates {
            if rumor.member.address == self.own.address {
                accused |= self.heard_of_self(&rumor);
            } else {
                let direct = rumor.member.address == from && rumor.member.run_id == run_id;
                self.heard(rumor, direct, out);
            }
        }
        if self.stage == Stage::Gone {
            return;
        }
        let known = self.heard_from(from, run_id, incarnation, out);
        if accused {
            self.answer_accuser(from, out);
        }
        match body {
            MessageBody::Join => self.tell_members(from, [true; 8], true, out),
            MessageBody::Gossip => {}
            MessageBody::IdentityRequest => self.answer_accuser(from, out),
            MessageBody::Probe { run_id, number } => {
                let body = MessageBody::Ack { number, digest: self.digest() };
                let mut message = self.message(from, body, RIDE_BYTES);
                if run_id != self.own.run_id {
                    message.updates.push(self.own_rumor(MemberStatus::Alive));
                }
                out.push(Effect::Send { to: from, message });
            }
            MessageBody::Ack { number, digest } => self.answered(from, number, digest, known, out),
            MessageBody::IndirectProbe { target: address, number } if address != self.own.address => {
                self.help(from, address, number, out)
            }
            MessageBody::IndirectProbe { .. } => {}
            MessageBody::IndirectAck { target: address, number } => {
                if self.probe.as_ref().is_some_and(|probe| probe.address == address && probe.number == number)
                {
                    self.probe_answered();
                }
            }
            MessageBody::IndirectNack { target: address, number } => self.doubted(address, number),
            MessageBody::CompareDigests { digests, reply_wanted } => {
                self.compared(from, digests, reply_wanted, out)
            }
        }
    }

    /// Word of the sender's run_id. A run_id that isn't known is asked for its name; true where it is known.
    fn heard_from(
        &mut self, from: NodeAddress, run_id: RunId, incarnation: Incarnation, out: &mut Vec<Effect>,
    ) -> bool {
        let now = self.now;
        match self.roster.get_mut(from) {
            Some(peer) if peer.member.run_id == run_id => {
                peer.heard = now;
                if incarnation > peer.incarnation && peer.status != MemberStatus::Left {
                    self.refuted(from, incarnation, out);
                }
                true
            }
            _ => {
                // Who is unknown may know many that are: comparing tells the name as well.
                let body = if now >= self.next_compare {
                    self.next_compare = now + self.timing.probe_interval;
                    MessageBody::CompareDigests { digests: self.digests(), reply_wanted: true }
                } else {
                    MessageBody::IdentityRequest
                };
                let message = self.message(from, body, RIDE_BYTES);
                out.push(Effect::Send { to: from, message });
                false
            }
        }
    }

    fn heard(&mut self, rumor: MemberUpdate, direct: bool, out: &mut Vec<Effect>) {
        if rumor.member.zone.len() > NAME_BYTES_MAX || rumor.member.name.len() > NAME_BYTES_MAX {
            return;
        }
        let address = rumor.member.address;
        match weigh(self.roster.get(address), &rumor, direct, self.now) {
            Worth::Nothing => {}
            Worth::Newcomer => self.newcomer(rumor, None, out),
            Worth::NewLife => self.new_life(rumor, direct, out),
            Worth::Refuted => self.refuted(address, rumor.incarnation, out),
            Worth::Gone => self.left(address, out),
            Worth::DeadAgain => {
                if let Some(peer) = self.roster.get_mut(address) {
                    peer.incarnation = rumor.incarnation;
                }
            }
            Worth::Accused => {
                self.suspect(address, rumor.incarnation, out);
                let nodes = self.roster.up().count().max(1) as u64;
                if self.stage == Stage::Here && self.rand.rand_range(0..nodes) < SUSPECT_TOLD {
                    self.tell_suspect(address, out);
                }
            }
            Worth::Outdated => {
                if let Some(peer) = self.roster.get_mut(address) {
                    peer.incarnation = rumor.incarnation.next();
                    self.news.tell(address);
                }
            }
            Worth::Contradicted => {
                if self.stage == Stage::Here {
                    self.ask_place(address, out);
                }
            }
        }
    }

    /// Word of this address: whatever is not this run_id alive is topped. True where it had to be.
    fn heard_of_self(&mut self, rumor: &MemberUpdate) -> bool {
        let fine = rumor.member.run_id == self.own.run_id && rumor.status == MemberStatus::Alive;
        if fine {
            self.incarnation = self.incarnation.max(rumor.incarnation);
            return false;
        }
        if rumor.incarnation < self.incarnation || self.stage == Stage::Gone {
            // Already topped, yet who says it has not heard so.
            return true;
        }
        self.incarnation = rumor.incarnation.next();
        self.news.tell(self.own.address);
        true
    }

    fn answer_accuser(&mut self, to: NodeAddress, out: &mut Vec<Effect>) {
        let message =
            Message { updates: vec![self.own_rumor(MemberStatus::Alive)], ..self.bare(MessageBody::Gossip) };
        out.push(Effect::Send { to, message });
    }

    fn answered(
        &mut self, from: NodeAddress, number: ProbeNumber, digest: u32, known: bool, out: &mut Vec<Effect>,
    ) {
        if self.probe.as_ref().is_some_and(|probe| probe.address == from && probe.number == number) {
            self.probe_answered();
        }
        self.helped(from, number, out);
        if known && digest != self.digest() && self.news.is_empty() && self.now >= self.next_compare {
            self.next_compare = self.now + self.timing.compare_interval;
            let body = MessageBody::CompareDigests { digests: self.digests(), reply_wanted: true };
            let message = self.message(from, body, RIDE_BYTES);
            out.push(Effect::Send { to: from, message });
        }
    }

    fn doubted(&mut self, address: NodeAddress, number: ProbeNumber) {
        let Some(probe) = self.probe.as_mut() else { return };
        if let ProbeStage::SecondOpinions { doubted, .. } = &mut probe.stage
            && (probe.address, probe.number) == (address, number)
        {
            *doubted += 1;
        }
    }

    fn compared(&mut self, from: NodeAddress, digests: [u32; 8], reply_wanted: bool, out: &mut Vec<Effect>) {
        let own = self.digests();
        let differ: [bool; 8] = std::array::from_fn(|range| own[range] != digests[range]);
        if !differ.contains(&true) {
            return;
        }
        self.tell_members(from, differ, false, out);
        if reply_wanted {
            let message = self.message(
                from,
                MessageBody::CompareDigests { digests: own, reply_wanted: false },
                RIDE_BYTES,
            );
            out.push(Effect::Send { to: from, message });
        }
    }

    // ---- what is said ----

    /// Tells the members of some ranges, in pieces that fit into datagrams.
    fn tell_members(&mut self, to: NodeAddress, ranges: [bool; 8], only_up: bool, out: &mut Vec<Effect>) {
        let mut piece = vec![self.own_rumor(MemberStatus::Alive)];
        let mut bytes = bytes_of(&piece[0]);
        for peer in self.roster.iter() {
            let address = peer.member.address;
            if address == to || !ranges[range_of(address)] || (only_up && !peer.status.is_up()) {
                continue;
            }
            let rumor = peer.rumor();
            let more = bytes_of(&rumor);
            if bytes + more > NEWS_BYTES {
                let message =
                    Message { updates: std::mem::take(&mut piece), ..self.bare(MessageBody::Gossip) };
                out.push(Effect::Send { to, message });
                bytes = 0;
            }
            bytes += more;
            piece.push(rumor);
        }
        let message = Message { updates: piece, ..self.bare(MessageBody::Gossip) };
        out.push(Effect::Send { to, message });
    }

    /// Ends this run_id in order: several others hear it at once, and pass it on.
    fn leave(&mut self, out: &mut Vec<Effect>) {
        if self.stage == Stage::Gone {
            return;
        }
        self.stage = Stage::Gone;
        let rumor = self.own_rumor(MemberStatus::Left);
        for to in self.some_up(LEAVE_TOLD, None) {
            let message = Message { updates: vec![rumor.clone()], ..self.bare(MessageBody::Gossip) };
            out.push(Effect::Send { to, message });
        }
    }

    fn bare(&self, body: MessageBody) -> Message {
        Message { run_id: self.own.run_id, incarnation: self.incarnation, body, updates: Vec::new() }
    }

    /// A message with the news least told so far; who isn't held alive hears that first.
    fn message(&mut self, to: NodeAddress, body: MessageBody, bytes: usize) -> Message {
        let mut message = self.bare(body);
        let mut left = bytes;
        let held = self.roster.get(to).filter(|peer| {
            let replaced_lately = peer.former.is_some_and(|(_, at)| self.now - at < FORMER_TOLD);
            peer.status != MemberStatus::Alive || replaced_lately
        });
        if let Some(peer) = held {
            let rumor = peer.rumor();
            left = left.saturating_sub(bytes_of(&rumor));
            message.updates.push(rumor);
        }
        let mut told = 0;
        for about in self.news.addresses() {
            let rumor = match self.roster.get(about) {
                _ if about == self.own.address => self.own_rumor(MemberStatus::Alive),
                Some(peer) => peer.rumor(),
                // Forgotten meanwhile: it counts as told.
                None => {
                    told += 1;
                    continue;
                }
            };
            let bytes = bytes_of(&rumor);
            if bytes > left {
                break;
            }
            left -= bytes;
            told += 1;
            if about != to {
                message.updates.push(rumor);
            }
        }
        let limit = self.timing.gossip_transmissions(self.roster.up().count());
        self.news.sent(told, limit);
        message
    }

    fn own_rumor(&self, status: MemberStatus) -> MemberUpdate {
        MemberUpdate { member: self.own.clone(), incarnation: self.incarnation, status }
    }

    fn digest(&self) -> u32 {
        self.digests().iter().fold(0, |digest, role| digest ^ role)
    }

    fn digests(&self) -> [u32; 8] {
        let mut digests = [0; 8];
        let own = (self.own.address, self.own.run_id, self.incarnation);
        let others = self.roster.up().map(|peer| (peer.member.address, peer.member.run_id, peer.incarnation));
        for (address, run_id, incarnation) in others.chain([own]) {
            digests[range_of(address)] ^= digest_of(address, run_id, incarnation);
        }
        digests
    }

    // ---- chance ----

    fn below(&mut self, bound: usize) -> usize {
        self.rand.rand_range(0..bound.max(1) as u64) as usize
    }

    fn number(&mut self) -> ProbeNumber {
        self.last_number = self.last_number.wrapping_add(1).max(1);
        ProbeNumber(self.last_number)
    }

    /// Some that are up, by chance, without one of them.
    fn some_up(&mut self, count: usize, without: Option<NodeAddress>) -> Vec<NodeAddress> {
        let up = self.roster.up().map(|peer| peer.member.address);
        let mut up: Vec<NodeAddress> = up.filter(|address| Some(*address) != without).collect();
        let count = count.min(up.len());
        for at in 0..count {
            let other = at + self.below(up.len() - at);
            up.swap(at, other);
        }
        up.truncate(count);
        up
    }
}

/// The most that a rumor takes on the wire.
fn bytes_of(rumor: &MemberUpdate) -> usize {
    4 + 10 + 1 + 5 + 1 + 2 + rumor.member.zone.len() + rumor.member.name.len()
}

fn cut(text: &mut String) {
    let mut end = text.len().min(NAME_BYTES_MAX);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    text.truncate(end);
}
