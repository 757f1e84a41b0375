//! One node's membership: explicit states, and one function for each change of state.

use oorandom::Rand64;
use types::{MS, Micros, NodeAddress, RunId};

use crate::news::News;
use crate::roster::{Peer, Roster, Worth, digest_of, mix, range_of, weigh};
use crate::{
    Effect, Event, Incarnation, Member, Message, NAME_BYTES_MAX, Number, Part, Rumor, SEEDS_MAX, Standing,
    Talk, Timing,
};

/// Bytes of news in a message of its own, and of news that ride along with a probe or its answer.
const NEWS_BYTES: usize = 950;
const RIDE_BYTES: usize = 400;
/// Second opinions in work for others at once.
const HELPING_MAX: usize = 64;
/// Steps of local strain (Lifeguard); each stretches time-outs once more.
const STRAIN_MAX: u32 = 4;
/// From so many steps on the node counts as strained.
const STRAINED: u32 = 2;
/// A suspect that was heard this lately is told again instead of held dead.
const HEARD_LATELY: Micros = 1_000 * MS;
/// So long after it replaced an older life, a member hears at which incarnation it is held.
const FORMER_TOLD: Micros = 10_000 * MS;
/// How many others hear of an orderly end from the node itself.
const LEAVE_TOLD: usize = 8;
/// How many others, about, tell a suspect of the suspicion beside the accuser.
const SUSPECT_TOLD: u64 = 6;

/// The probe that is out.
#[derive(Debug)]
struct Probe {
    place: NodeAddress,
    life: RunId,
    number: Number,
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
    theirs: Number,
    place: NodeAddress,
    ours: Number,
    until: Micros,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Here,
    /// Left: news is still heard, nothing is sent.
    Gone,
}

/// What this node knows of the others.
pub struct Company {
    own: Member,
    incarnation: Incarnation,
    stage: Stage,
    timing: Timing,
    rand: Rand64,
    seeds: Vec<NodeAddress>,
    roster: Roster,
    news: News,
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

impl Company {
    /// Starts a life: it is told to all seeds at once. `seed` is for chance, `now` and all times are of a steady
    /// clock in microseconds.
    pub fn start(
        own: Member, seeds: Vec<NodeAddress>, timing: Timing, seed: u64, now: Micros,
    ) -> (Company, Vec<Effect>) {
        let mut own = own;
        cut(&mut own.zone);
        cut(&mut own.name);
        let mut rand = Rand64::new(u128::from(seed));
        let stagger =
            |rand: &mut Rand64, every: Micros| now + rand.rand_range(0..every.max(1) as u64) as Micros;
        let mut company = Company {
            incarnation: Incarnation::default(),
            stage: Stage::Here,
            seeds: Vec::new(),
            roster: Roster::default(),
            news: News::default(),
            round: Vec::new(),
            probe: None,
            helping: Vec::new(),
            // Answers to the probes of an earlier life here must not count for this one's.
            last_number: mix(own.life.0) as u32,
            strain: 0,
            next_probe: stagger(&mut rand, timing.probe_every),
            next_gossip: now + timing.gossip_every,
            next_seeds: now,
            next_dead: stagger(&mut rand, timing.dead_every),
            next_compare: now,
            born: now,
            now,
            due: now,
            own,
            timing,
            rand,
        };
        company.news.tell(company.own.place);
        let effects = company.step(now, Event::Seeds { places: seeds });
        (company, effects)
    }

    /// Takes one event; time may stand still but never go back (an earlier `now` is read as the last one).
    pub fn step(&mut self, now: Micros, event: Event) -> Vec<Effect> {
        let now = now.max(self.now);
        self.now = now;
        let mut out = Vec::new();
        if now - self.due > self.timing.late_after {
            self.stalled(now - self.due);
        }
        match event {
            Event::Tick => {}
            Event::Received { from, message } => self.received(from, message, &mut out),
            Event::Seeds { places } => self.seeds_told(places),
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
    pub fn strained(&self) -> bool {
        self.strain >= STRAINED
    }

    /// This node's own entry.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// All that are known, without this node; the dead and gone for a while too.
    pub fn members(&self) -> impl Iterator<Item = (&Member, Standing)> {
        self.roster.iter().map(|peer| (&peer.member, peer.standing))
    }

    /// Since when a node stands as it does, by the clock of the events; `None` for one that is not known.
    pub fn since(&self, place: NodeAddress) -> Option<Micros> {
        self.roster.get(place).map(|peer| peer.since)
    }

    /// What is known of the node at a place, whatever its standing; none of this node itself.
    pub fn member(&self, place: NodeAddress) -> Option<&Member> {
        self.roster.get(place).map(|peer| &peer.member)
    }

    /// Those of a part that are alive or suspect, without this node.
    pub fn up(&self, part: Part) -> impl Iterator<Item = &Member> {
        self.roster.up().map(|peer| &peer.member).filter(move |member| member.part == part)
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
        let suspects = self.roster.iter().filter(|peer| peer.standing == Standing::Suspect);
        let suspects = suspects.map(|peer| peer.until);
        suspects.chain(self.helping.iter().map(|help| help.until)).fold(due, Micros::min)
    }

    // ---- time ----

    /// This node itself stood still (frozen, starved): what others failed to say in that time is no fault of
    /// theirs, so every time-out moves on by it.
    fn stalled(&mut self, late: Micros) {
        self.strain_up();
        let soonest = self.now + self.stretched(self.timing.probe_every);
        if let Some(probe) = &mut self.probe {
            probe.until += late;
        }
        for help in &mut self.helping {
            help.until += late;
        }
        for peer in self.roster.iter_mut().filter(|peer| peer.standing == Standing::Suspect) {
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
            self.next_dead = self.now + self.timing.dead_every;
            self.roster.forget(self.now - self.timing.forget_after);
            self.try_the_dead(out);
        }
        if self.now >= self.next_seeds {
            self.ask_seeds(out);
        }
        if !self.news.is_empty() && self.now >= self.next_gossip {
            self.next_gossip = self.now + self.timing.gossip_every;
            for to in self.some_up(self.timing.gossip_fanout, None) {
                let message = self.message(to, Talk::News, NEWS_BYTES);
                out.push(Effect::Send { to, message });
            }
        }
    }

    // ---- seeds ----

    fn seeds_told(&mut self, places: Vec<NodeAddress>) {
        let own = self.own.place;
        let mut places: Vec<NodeAddress> = places.into_iter().filter(|place| *place != own).collect();
        places.truncate(SEEDS_MAX);
        if places != self.seeds {
            self.seeds = places;
            self.next_seeds = self.now;
        }
    }

    fn ask_seeds(&mut self, out: &mut Vec<Effect>) {
        let alone = self.up(Part::Prompter).next().is_none();
        let unknown = self.seeds.iter().copied().filter(|seed| !self.roster.is_up(*seed));
        let mut unknown: Vec<NodeAddress> = unknown.collect();
        if !alone && !unknown.is_empty() {
            let one = self.below(unknown.len());
            unknown = vec![unknown[one]];
        }
        for to in unknown {
            let message = Message { news: vec![self.own_rumor(Standing::Alive)], ..self.bare(Talk::Join) };
            out.push(Effect::Send { to, message });
        }
        let every = match alone {
            true if self.now - self.born < self.timing.first_for => self.timing.seeds_every_first,
            true => self.timing.seeds_every_alone,
            false => self.timing.seeds_every,
        };
        self.next_seeds = self.now + every;
    }

    // ---- probes ----

    fn begin_probe(&mut self, out: &mut Vec<Effect>) {
        self.next_probe = self.now + self.stretched(self.timing.probe_every);
        let Some(place) = self.next_of_round() else { return };
        let Some(peer) = self.roster.get(place) else { return };
        let (life, number) = (peer.member.life, self.number());
        let until = self.now + self.stretched(self.timing.answer_within);
        self.probe = Some(Probe { place, life, number, stage: ProbeStage::Asked, until });
        let message = self.message(place, Talk::Probe { life, number }, RIDE_BYTES);
        out.push(Effect::Send { to: place, message });
    }

    /// Each living member once, in an order by chance; then a new order.
    fn next_of_round(&mut self) -> Option<NodeAddress> {
        while let Some(place) = self.round.pop() {
            if self.roster.is_up(place) {
                return Some(place);
            }
        }
        self.round = self.roster.up().map(|peer| peer.member.place).collect();
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
        let helpers = self.some_up(self.timing.opinions, Some(probe.place));
        let stage = ProbeStage::SecondOpinions { asked: helpers.len() as u32, doubted: 0 };
        for to in helpers {
            let talk = Talk::AskFor { place: probe.place, number: probe.number };
            let message = self.message(to, talk, RIDE_BYTES);
            out.push(Effect::Send { to, message });
        }
        // The member is asked once more itself: it was perhaps only one datagram that got lost.
        let message =
            self.message(probe.place, Talk::Probe { life: probe.life, number: probe.number }, RIDE_BYTES);
        out.push(Effect::Send { to: probe.place, message });
        let until = self.now + self.stretched(self.timing.answer_within * 3 / 2);
        self.probe = Some(Probe { stage, until, ..probe });
    }

    /// Nobody got an answer. Helpers that did not even say so hint at this node's own link or load.
    fn probe_failed(&mut self, probe: Probe, asked: u32, doubted: u32, out: &mut Vec<Effect>) {
        if doubted < asked {
            self.strain_up();
        }
        let Some(peer) = self.roster.get(probe.place) else { return };
        if peer.standing == Standing::Alive && peer.member.life == probe.life {
            self.suspect(probe.place, peer.incarnation, out);
            self.tell_suspect(probe.place, out);
        }
    }

    fn probe_answered(&mut self) {
        self.probe = None;
        self.strain = self.strain.saturating_sub(1);
    }

    /// One of the dead, by chance, hears that it is held dead: after a cut both sides find each other so.
    fn try_the_dead(&mut self, out: &mut Vec<Effect>) {
        let dead = self.roster.iter().filter(|peer| peer.standing == Standing::Dead);
        let dead: Vec<(NodeAddress, RunId)> =
            dead.map(|peer| (peer.member.place, peer.member.life)).collect();
        if dead.is_empty() {
            return;
        }
        let (to, life) = dead[self.below(dead.len())];
        let message = self.message(to, Talk::Probe { life, number: Number(0) }, RIDE_BYTES);
        out.push(Effect::Send { to, message });
    }

    fn help(&mut self, asker: NodeAddress, place: NodeAddress, theirs: Number, out: &mut Vec<Effect>) {
        if self.helping.len() >= HELPING_MAX {
            return;
        }
        let ours = self.number();
        let life = self.roster.get(place).map_or(RunId(0), |peer| peer.member.life);
        let until = self.now + self.timing.answer_within;
        self.helping.push(Helping { asker, theirs, place, ours, until });
        let message = self.message(place, Talk::Probe { life, number: ours }, RIDE_BYTES);
        out.push(Effect::Send { to: place, message });
    }

    fn helped(&mut self, place: NodeAddress, ours: Number, out: &mut Vec<Effect>) {
        let Some(at) = self.helping.iter().position(|help| help.place == place && help.ours == ours) else {
            return;
        };
        let help = self.helping.swap_remove(at);
        let talk = Talk::Vouch { place, number: help.theirs };
        let message = self.message(help.asker, talk, RIDE_BYTES);
        out.push(Effect::Send { to: help.asker, message });
    }

    fn end_helping(&mut self, out: &mut Vec<Effect>) {
        while let Some(at) = self.helping.iter().position(|help| self.now >= help.until) {
            let help = self.helping.swap_remove(at);
            let talk = Talk::Doubt { place: help.place, number: help.theirs };
            let message = self.message(help.asker, talk, RIDE_BYTES);
            out.push(Effect::Send { to: help.asker, message });
        }
    }

    // ---- changes of what is held of a member ----

    fn suspect(&mut self, place: NodeAddress, incarnation: Incarnation, out: &mut Vec<Effect>) {
        let nodes = self.roster.up().count() + 1;
        let until = self.now + self.stretched(self.timing.suspect_for(nodes));
        let now = self.now;
        let Some(peer) = self.roster.get_mut(place) else { return };
        let before = (peer.standing, peer.incarnation);
        peer.incarnation = incarnation;
        if before.0 != Standing::Suspect {
            (peer.standing, peer.since, peer.until) = (Standing::Suspect, now, until);
            out.push(Effect::Changed { member: peer.member.clone(), standing: Standing::Suspect });
        }
        if before != (Standing::Suspect, incarnation) {
            self.news.tell(place);
        }
    }

    fn tell_suspect(&mut self, place: NodeAddress, out: &mut Vec<Effect>) {
        let now = self.now;
        if let Some(peer) = self.roster.get_mut(place) {
            peer.told = now;
        }
        let message = self.message(place, Talk::News, RIDE_BYTES);
        out.push(Effect::Send { to: place, message });
    }

    /// Asks whoever is at a place for its name, and tells whom it is held to be.
    fn ask_place(&mut self, place: NodeAddress, out: &mut Vec<Effect>) {
        let now = self.now;
        let again = self.timing.answer_within;
        let Some(peer) = self.roster.get_mut(place).filter(|peer| now - peer.told >= again) else { return };
        peer.told = now;
        let news = vec![peer.rumor()];
        out.push(Effect::Send { to: place, message: Message { news, ..self.bare(Talk::Who) } });
    }

    /// Suspects whose time is over are dead; one that was heard lately is told once more instead.
    fn bury_suspects(&mut self, out: &mut Vec<Effect>) {
        let over = |peer: &&Peer| peer.standing == Standing::Suspect && self.now >= peer.until;
        let over: Vec<NodeAddress> = self.roster.iter().filter(over).map(|peer| peer.member.place).collect();
        for place in over {
            let more = self.now + self.stretched(self.timing.probe_every);
            let now = self.now;
            let Some(peer) = self.roster.get_mut(place) else { continue };
            if peer.heard > peer.since && now - peer.heard < HEARD_LATELY {
                peer.until = more;
                self.tell_suspect(place, out);
            } else {
                self.dead(place, out);
            }
        }
    }

    fn dead(&mut self, place: NodeAddress, out: &mut Vec<Effect>) {
        let now = self.now;
        let Some(peer) = self.roster.get_mut(place) else { return };
        (peer.standing, peer.since) = (Standing::Dead, now);
        out.push(Effect::Changed { member: peer.member.clone(), standing: Standing::Dead });
        self.news.tell(place);
    }

    fn left(&mut self, place: NodeAddress, out: &mut Vec<Effect>) {
        let now = self.now;
        let Some(peer) = self.roster.get_mut(place) else { return };
        let was_dead = peer.standing == Standing::Dead;
        (peer.standing, peer.since) = (Standing::Left, now);
        if !was_dead {
            out.push(Effect::Changed { member: peer.member.clone(), standing: Standing::Left });
        }
        self.news.tell(place);
    }

    fn refuted(&mut self, place: NodeAddress, incarnation: Incarnation, out: &mut Vec<Effect>) {
        let now = self.now;
        let Some(peer) = self.roster.get_mut(place) else { return };
        let before = peer.standing;
        peer.incarnation = incarnation;
        if before != Standing::Alive {
            (peer.standing, peer.since) = (Standing::Alive, now);
            out.push(Effect::Changed { member: peer.member.clone(), standing: Standing::Alive });
        }
        if before == Standing::Dead {
            self.join_round(place);
            // A split may have ended: what the other side knows is wanted soon.
            self.next_compare = now;
        }
        self.news.tell(place);
    }

    fn newcomer(&mut self, rumor: Rumor, former: Option<(RunId, Micros)>, out: &mut Vec<Effect>) {
        let Rumor { member, incarnation, standing } = rumor;
        let place = member.place;
        let peer = Peer {
            member: member.clone(),
            incarnation,
            standing: Standing::Alive,
            since: self.now,
            until: self.now,
            heard: Micros::MIN / 2,
            told: Micros::MIN / 2,
            former,
        };
        if !self.roster.put(peer) {
            return;
        }
        out.push(Effect::Changed { member, standing: Standing::Alive });
        self.join_round(place);
        self.news.tell(place);
        if standing == Standing::Suspect {
            self.suspect(place, incarnation, out);
        }
    }

    /// Another life at a known place: the old one has ended, whatever was held of it.
    fn new_life(&mut self, rumor: Rumor, direct: bool, out: &mut Vec<Effect>) {
        let Some(old) = self.roster.get(rumor.member.place) else { return };
        let former = direct.then_some((old.member.life, self.now));
        let incarnation =
            if direct { rumor.incarnation.max(old.incarnation.above()) } else { rumor.incarnation };
        if old.standing.up() {
            out.push(Effect::Changed { member: old.member.clone(), standing: Standing::Dead });
        }
        self.newcomer(Rumor { incarnation, ..rumor }, former, out);
    }

    fn join_round(&mut self, place: NodeAddress) {
        self.round.retain(|other| *other != place);
        let at = self.below(self.round.len() + 1);
        self.round.insert(at, place);
    }

    // ---- what is heard ----

    fn received(&mut self, from: NodeAddress, message: Message, out: &mut Vec<Effect>) {
        let Message { life, incarnation, talk, news } = message;
        if from == self.own.place || self.roster.get(from).is_some_and(|peer| peer.mutes(life, self.now)) {
            return;
        }
        let mut accused = false;
        for rumor in news {
            if rumor.member.place == self.own.place {
                accused |= self.heard_of_self(&rumor);
            } else {
                let direct = rumor.member.place == from && rumor.member.life == life;
                self.heard(rumor, direct, out);
            }
        }
        if self.stage == Stage::Gone {
            return;
        }
        let known = self.heard_from(from, life, incarnation, out);
        if accused {
            self.answer_accuser(from, out);
        }
        match talk {
            Talk::Join => self.tell_members(from, [true; 8], true, out),
            Talk::News => {}
            Talk::Who => self.answer_accuser(from, out),
            Talk::Probe { life, number } => {
                let talk = Talk::Answer { number, sum: self.sum() };
                let mut message = self.message(from, talk, RIDE_BYTES);
                if life != self.own.life {
                    message.news.push(self.own_rumor(Standing::Alive));
                }
                out.push(Effect::Send { to: from, message });
            }
            Talk::Answer { number, sum } => self.answered(from, number, sum, known, out),
            Talk::AskFor { place, number } if place != self.own.place => self.help(from, place, number, out),
            Talk::AskFor { .. } => {}
            Talk::Vouch { place, number } => {
                if self.probe.as_ref().is_some_and(|probe| probe.place == place && probe.number == number) {
                    self.probe_answered();
                }
            }
            Talk::Doubt { place, number } => self.doubted(place, number),
            Talk::Compare { sums, back } => self.compared(from, sums, back, out),
        }
    }

    /// Word of the sender's life. A life that isn't known is asked for its name; true where it is known.
    fn heard_from(
        &mut self, from: NodeAddress, life: RunId, incarnation: Incarnation, out: &mut Vec<Effect>,
    ) -> bool {
        let now = self.now;
        match self.roster.get_mut(from) {
            Some(peer) if peer.member.life == life => {
                peer.heard = now;
                if incarnation > peer.incarnation && peer.standing != Standing::Left {
                    self.refuted(from, incarnation, out);
                }
                true
            }
            _ => {
                // Who is unknown may know many that are: comparing tells the name as well.
                let talk = if now >= self.next_compare {
                    self.next_compare = now + self.timing.probe_every;
                    Talk::Compare { sums: self.sums(), back: true }
                } else {
                    Talk::Who
                };
                let message = self.message(from, talk, RIDE_BYTES);
                out.push(Effect::Send { to: from, message });
                false
            }
        }
    }

    fn heard(&mut self, rumor: Rumor, direct: bool, out: &mut Vec<Effect>) {
        if rumor.member.zone.len() > NAME_BYTES_MAX || rumor.member.name.len() > NAME_BYTES_MAX {
            return;
        }
        let place = rumor.member.place;
        match weigh(self.roster.get(place), &rumor, direct, self.now) {
            Worth::Nothing => {}
            Worth::Newcomer => self.newcomer(rumor, None, out),
            Worth::NewLife => self.new_life(rumor, direct, out),
            Worth::Refuted => self.refuted(place, rumor.incarnation, out),
            Worth::Gone => self.left(place, out),
            Worth::DeadAgain => {
                if let Some(peer) = self.roster.get_mut(place) {
                    peer.incarnation = rumor.incarnation;
                }
            }
            Worth::Accused => {
                self.suspect(place, rumor.incarnation, out);
                let nodes = self.roster.up().count().max(1) as u64;
                if self.stage == Stage::Here && self.rand.rand_range(0..nodes) < SUSPECT_TOLD {
                    self.tell_suspect(place, out);
                }
            }
            Worth::Outdated => {
                if let Some(peer) = self.roster.get_mut(place) {
                    peer.incarnation = rumor.incarnation.above();
                    self.news.tell(place);
                }
            }
            Worth::Contradicted => {
                if self.stage == Stage::Here {
                    self.ask_place(place, out);
                }
            }
        }
    }

    /// Word of this place: whatever is not this life alive is topped. True where it had to be.
    fn heard_of_self(&mut self, rumor: &Rumor) -> bool {
        let fine = rumor.member.life == self.own.life && rumor.standing == Standing::Alive;
        if fine {
            self.incarnation = self.incarnation.max(rumor.incarnation);
            return false;
        }
        if rumor.incarnation < self.incarnation || self.stage == Stage::Gone {
            // Already topped, yet who says it has not heard so.
            return true;
        }
        self.incarnation = rumor.incarnation.above();
        self.news.tell(self.own.place);
        true
    }

    fn answer_accuser(&mut self, to: NodeAddress, out: &mut Vec<Effect>) {
        let message = Message { news: vec![self.own_rumor(Standing::Alive)], ..self.bare(Talk::News) };
        out.push(Effect::Send { to, message });
    }

    fn answered(&mut self, from: NodeAddress, number: Number, sum: u32, known: bool, out: &mut Vec<Effect>) {
        if self.probe.as_ref().is_some_and(|probe| probe.place == from && probe.number == number) {
            self.probe_answered();
        }
        self.helped(from, number, out);
        if known && sum != self.sum() && self.news.is_empty() && self.now >= self.next_compare {
            self.next_compare = self.now + self.timing.compare_every;
            let talk = Talk::Compare { sums: self.sums(), back: true };
            let message = self.message(from, talk, RIDE_BYTES);
            out.push(Effect::Send { to: from, message });
        }
    }

    fn doubted(&mut self, place: NodeAddress, number: Number) {
        let Some(probe) = self.probe.as_mut() else { return };
        if let ProbeStage::SecondOpinions { doubted, .. } = &mut probe.stage
            && (probe.place, probe.number) == (place, number)
        {
            *doubted += 1;
        }
    }

    fn compared(&mut self, from: NodeAddress, sums: [u32; 8], back: bool, out: &mut Vec<Effect>) {
        let own = self.sums();
        let differ: [bool; 8] = std::array::from_fn(|range| own[range] != sums[range]);
        if !differ.contains(&true) {
            return;
        }
        self.tell_members(from, differ, false, out);
        if back {
            let message = self.message(from, Talk::Compare { sums: own, back: false }, RIDE_BYTES);
            out.push(Effect::Send { to: from, message });
        }
    }

    // ---- what is said ----

    /// Tells the members of some ranges, in pieces that fit into datagrams.
    fn tell_members(&mut self, to: NodeAddress, ranges: [bool; 8], only_up: bool, out: &mut Vec<Effect>) {
        let mut piece = vec![self.own_rumor(Standing::Alive)];
        let mut bytes = bytes_of(&piece[0]);
        for peer in self.roster.iter() {
            let place = peer.member.place;
            if place == to || !ranges[range_of(place)] || (only_up && !peer.standing.up()) {
                continue;
            }
            let rumor = peer.rumor();
            let more = bytes_of(&rumor);
            if bytes + more > NEWS_BYTES {
                let message = Message { news: std::mem::take(&mut piece), ..self.bare(Talk::News) };
                out.push(Effect::Send { to, message });
                bytes = 0;
            }
            bytes += more;
            piece.push(rumor);
        }
        let message = Message { news: piece, ..self.bare(Talk::News) };
        out.push(Effect::Send { to, message });
    }

    /// Ends this life in order: several others hear it at once, and pass it on.
    fn leave(&mut self, out: &mut Vec<Effect>) {
        if self.stage == Stage::Gone {
            return;
        }
        self.stage = Stage::Gone;
        let rumor = self.own_rumor(Standing::Left);
        for to in self.some_up(LEAVE_TOLD, None) {
            let message = Message { news: vec![rumor.clone()], ..self.bare(Talk::News) };
            out.push(Effect::Send { to, message });
        }
    }

    fn bare(&self, talk: Talk) -> Message {
        Message { life: self.own.life, incarnation: self.incarnation, talk, news: Vec::new() }
    }

    /// A message with the news least told so far; who isn't held alive hears that first.
    fn message(&mut self, to: NodeAddress, talk: Talk, bytes: usize) -> Message {
        let mut message = self.bare(talk);
        let mut left = bytes;
        let held = self.roster.get(to).filter(|peer| {
            let replaced_lately = peer.former.is_some_and(|(_, at)| self.now - at < FORMER_TOLD);
            peer.standing != Standing::Alive || replaced_lately
        });
        if let Some(peer) = held {
            let rumor = peer.rumor();
            left = left.saturating_sub(bytes_of(&rumor));
            message.news.push(rumor);
        }
        let mut told = 0;
        for about in self.news.places() {
            let rumor = match self.roster.get(about) {
                _ if about == self.own.place => self.own_rumor(Standing::Alive),
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
                message.news.push(rumor);
            }
        }
        let limit = self.timing.sends(self.roster.up().count());
        self.news.sent(told, limit);
        message
    }

    fn own_rumor(&self, standing: Standing) -> Rumor {
        Rumor { member: self.own.clone(), incarnation: self.incarnation, standing }
    }

    fn sum(&self) -> u32 {
        self.sums().iter().fold(0, |sum, part| sum ^ part)
    }

    fn sums(&self) -> [u32; 8] {
        let mut sums = [0; 8];
        let own = (self.own.place, self.own.life, self.incarnation);
        let others = self.roster.up().map(|peer| (peer.member.place, peer.member.life, peer.incarnation));
        for (place, life, incarnation) in others.chain([own]) {
            sums[range_of(place)] ^= digest_of(place, life, incarnation);
        }
        sums
    }

    // ---- chance ----

    fn below(&mut self, bound: usize) -> usize {
        self.rand.rand_range(0..bound.max(1) as u64) as usize
    }

    fn number(&mut self) -> Number {
        self.last_number = self.last_number.wrapping_add(1).max(1);
        Number(self.last_number)
    }

    /// Some that are up, by chance, without one of them.
    fn some_up(&mut self, count: usize, without: Option<NodeAddress>) -> Vec<NodeAddress> {
        let up = self.roster.up().map(|peer| peer.member.place);
        let mut up: Vec<NodeAddress> = up.filter(|place| Some(*place) != without).collect();
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
fn bytes_of(rumor: &Rumor) -> usize {
    4 + 10 + 1 + 5 + 1 + 2 + rumor.member.zone.len() + rumor.member.name.len()
}

fn cut(text: &mut String) {
    let mut end = text.len().min(NAME_BYTES_MAX);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    text.truncate(end);
}
