//! Judge (at the leader): evidence in, states out, for each node and part. What a node says alone makes it no
//! more than behind; what it holds is asked twice with fresh nonces; what it does needs several witnesses.
//! Where leadership is not proved, or the judge itself looks wrong, nobody is accused.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use types::{LogIndex, Micros, NodeAddress, RunId};

use crate::parts::{Intent, Part};
use crate::witness::Report;
use crate::{Claim, Held, NODES_MAX, Tuning, mix};

/// Witnesses kept of one part of one node.
const OPINIONS_MAX: usize = 12;
/// Intents whose digests are kept, to tell which parts a node that is behind lacks.
const PAST_MAX: usize = 16;
/// Answers with fresh nonces that show another holding before it is a judgement.
const CONFESSIONS: u8 = 2;
/// Rounds of second opinions of one node after each change, while it is not accused.
const ASKS_MAX: u8 = 2;
/// Over this share of nodes judged wrong at once, it is the judge that is doubted.
const MANY: f64 = 0.4;
/// Nodes that must tell of a later or another intent before the judge doubts itself.
const DOUBTERS: usize = 2;

/// What is held of one part of one node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum State {
    /// Too little is known, it is out of touch, or the judge is not sure of itself.
    #[default]
    Unknown,
    /// Says, and holds, today's; nothing that it did speaks against it.
    Today,
    /// Says that it is on the way, and is within its time, or its answers are yet to come.
    Behind,
    /// Holds or does what an older intent wants, past its time.
    Straggling,
    /// Says today's, and does what no intent that is known wants.
    Diverged,
}

impl State {
    pub fn accused(self) -> bool {
        matches!(self, State::Straggling | State::Diverged)
    }
}

/// Why a state changed; it is written down with the step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// It said so.
    Said,
    /// It answered fresh questions so.
    Held,
    /// So many witnesses saw it.
    Seen {
        witnesses: u8,
    },
    /// Its traffic showed today's intent.
    Shown,
    /// A new intent or life; nothing was heard; the judge is not sure.
    Anew,
    Silent,
    Unsure,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    pub place: NodeAddress,
    pub life: RunId,
    /// Alike for the nodes of one zone.
    pub zone: u16,
}

#[derive(Clone, Debug)]
pub enum Event {
    Tick,
    /// The log has committed this.
    Committed(Arc<Intent>),
    /// Whether this node leads and has just had proof of it from a majority of the core.
    Lead {
        sure: bool,
    },
    /// All foyers that are up, without those suspected.
    Members(Vec<Member>),
    Claim {
        from: NodeAddress,
        claim: Claim,
    },
    Held {
        from: NodeAddress,
        held: Held,
    },
    Report {
        from: NodeAddress,
        report: Report,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Ask that node what it holds.
    Challenge {
        to: NodeAddress,
        nonce: u64,
    },
    /// Ask `by` for its own opinion of `of`.
    Ask {
        by: NodeAddress,
        of: NodeAddress,
    },
    Changed {
        place: NodeAddress,
        life: RunId,
        part: Part,
        from: State,
        to: State,
        why: Why,
    },
    /// This judge's own intent looks older than, or other than, the fleet's: it should give up leadership.
    OwnDoubt,
}

#[derive(Clone, Debug)]
struct Opinion {
    by: NodeAddress,
    /// Page's statistic, for an older intent and for none that is known, in nats; never under 0.
    against: [f64; 2],
    /// The same the other way round: today's intent was shown.
    shown: [f64; 2],
}

#[derive(Clone, Debug, Default)]
struct Standing {
    state: State,
    opinions: Vec<Opinion>,
    confessed: u8,
    /// Answers in a row that hold what they should, asked in time.
    held: bool,
}

#[derive(Clone, Debug)]
struct Node {
    life: RunId,
    zone: u16,
    heard: Micros,
    /// In touch without a break since.
    touch: Micros,
    /// That is since its life began, or since this judge began.
    began: bool,
    claim: Option<Claim>,
    nonce: Option<(u64, Micros)>,
    ask_due: Micros,
    /// When others were last asked for an opinion.
    asked: Option<Micros>,
    /// How often since the last change or repair.
    asks: u8,
    parts: [Standing; Part::COUNT],
}

pub struct Judge {
    tuning: Tuning,
    random: oorandom::Rand64,
    sure: bool,
    intent: Option<Arc<Intent>>,
    committed: Micros,
    past: VecDeque<(LogIndex, crate::Digest)>,
    nodes: BTreeMap<NodeAddress, Node>,
    last: Micros,
    doubt_since: Option<Micros>,
    doubt_told: bool,
    out: Vec<Effect>,
}

impl Judge {
    pub fn start(tuning: Tuning, seed: u64, now: Micros) -> Judge {
        Judge {
            tuning,
            random: oorandom::Rand64::new(seed.into()),
            sure: false,
            intent: None,
            committed: now,
            past: VecDeque::new(),
            nodes: BTreeMap::new(),
            last: now,
            doubt_since: None,
            doubt_told: false,
            out: Vec::new(),
        }
    }

    /// It wants to be woken so often while it leads.
    pub fn due(&self) -> Micros {
        if self.sure { self.last + self.tuning.apply / 20 } else { Micros::MAX }
    }

    pub fn state(&self, place: NodeAddress, part: Part) -> State {
        self.nodes.get(&place).map_or(State::Unknown, |node| node.parts[part as usize].state)
    }

    pub fn zone(&self, place: NodeAddress) -> Option<u16> {
        self.nodes.get(&place).map(|node| node.zone)
    }

    /// Whether most of the fleet looks wrong: then it is not the fleet that is.
    pub fn many(&self) -> bool {
        let accused = self.nodes.values().filter(|node| node.parts.iter().any(|part| part.state.accused()));
        accused.count() as f64 > MANY * self.nodes.len() as f64
    }

    /// Whether it takes its own intent to be wrong.
    pub fn doubts(&self) -> bool {
        self.doubt_told
    }

    pub fn step(&mut self, now: Micros, event: Event) -> Vec<Effect> {
        // A judge that did not run has missed what was sent to it: nobody is late by its clock.
        if now - self.last > self.tuning.stall {
            self.anew(now);
        }
        self.last = now;
        match event {
            Event::Tick => self.tick(now),
            Event::Committed(intent) => self.commit(now, intent),
            Event::Lead { sure } => self.lead(now, sure),
            Event::Members(members) => self.members(now, members),
            Event::Claim { from, claim } => self.claim(now, from, claim),
            Event::Held { from, held } => self.held(now, from, &held),
            Event::Report { from, report } => self.report(now, from, &report),
        }
        std::mem::take(&mut self.out)
    }

    fn commit(&mut self, now: Micros, intent: Arc<Intent>) {
        let Some(own) = &self.intent else {
            self.committed = now;
            self.intent = Some(intent);
            return;
        };
        if own.index >= intent.index {
            return;
        }
        let changed: BTreeSet<Part> = own.digest.differing(&intent.digest).collect();
        self.past.push_front((own.index, own.digest));
        self.past.truncate(PAST_MAX);
        self.committed = now;
        self.intent = Some(intent);
        let places: Vec<NodeAddress> = self.nodes.keys().copied().collect();
        for place in places {
            if let Some(node) = self.nodes.get_mut(&place) {
                (node.nonce, node.asks) = (None, 0);
                // All are asked once what they hold, spread over a tenth of the time that they have.
                let spread = self.random.rand_range(0..(self.tuning.apply / 10).max(1) as u64) as Micros;
                node.ask_due = now + self.tuning.settle + spread;
            }
            for part in Part::ALL {
                if changed.contains(&part) {
                    self.begin(place, part);
                } else if let Some(standing) = self.standing(place, part)
                    && !standing.state.accused()
                {
                    // What was seen under the last intent would outvote what is seen under this one.
                    standing.opinions.clear();
                }
            }
        }
    }

    /// A part that changed is looked at anew; one that is accused stays so until it has shown today's.
    fn begin(&mut self, place: NodeAddress, part: Part) {
        let Some(standing) = self.standing(place, part) else { return };
        standing.confessed = 0;
        standing.held = false;
        standing.opinions.clear();
        if !standing.state.accused() {
            self.turn(place, part, State::Behind, Why::Anew);
        }
    }

    fn lead(&mut self, now: Micros, sure: bool) {
        if sure != self.sure {
            self.sure = sure;
            self.anew(now);
        }
    }

    /// Forgets all evidence: all spans begin now.
    fn anew(&mut self, now: Micros) {
        self.committed = self.committed.max(now);
        self.doubt_since = None;
        let places: Vec<NodeAddress> = self.nodes.keys().copied().collect();
        for place in places {
            if let Some(node) = self.nodes.get_mut(&place) {
                (node.touch, node.heard, node.nonce, node.began) = (now, now, None, false);
                node.ask_due = now + self.tuning.settle;
            }
            self.unknown(place, Why::Unsure);
        }
    }

    fn unknown(&mut self, place: NodeAddress, why: Why) {
        for part in Part::ALL {
            if let Some(standing) = self.standing(place, part) {
                standing.opinions.clear();
                (standing.confessed, standing.held) = (0, false);
                // What was shown against a node is not undone by its silence; only by a judge in doubt.
                if standing.state.accused() && why != Why::Unsure {
                    continue;
                }
            }
            self.turn(place, part, State::Unknown, why);
        }
    }

    fn members(&mut self, now: Micros, members: Vec<Member>) {
        let there: BTreeSet<NodeAddress> = members.iter().map(|member| member.place).collect();
        let gone: Vec<NodeAddress> =
            self.nodes.keys().copied().filter(|place| !there.contains(place)).collect();
        for place in gone {
            self.unknown(place, Why::Silent);
            self.nodes.remove(&place);
        }
        for Member { place, life, zone } in members.into_iter().take(NODES_MAX) {
            if self.nodes.get(&place).is_some_and(|node| node.life == life) {
                continue;
            }
            let mut parts: [Standing; Part::COUNT] = Default::default();
            if self.nodes.contains_key(&place) {
                self.unknown(place, Why::Anew);
                // A new life has to show what the last one did not do.
                if let Some(node) = self.nodes.remove(&place) {
                    parts = node.parts;
                }
            }
            let (claim, nonce, asked, asks) = (None, None, None, 0);
            // A newcomer is asked at once: it is not let in before it has answered.
            let node = Node {
                life,
                zone,
                heard: now,
                touch: now,
                began: true,
                claim,
                nonce,
                ask_due: now,
                asked,
                asks,
                parts,
            };
            self.nodes.insert(place, node);
        }
    }

    fn claim(&mut self, now: Micros, from: NodeAddress, claim: Claim) {
        let silence = self.tuning.silence;
        let Some(node) = self.nodes.get_mut(&from).filter(|node| node.life == claim.life) else { return };
        if now - node.heard > silence {
            (node.touch, node.began) = (now, false);
        }
        node.heard = now;
        node.claim = Some(claim);
        self.words(now, from);
    }

    /// What a node's own words do: behind, or today's once it holds it too. They accuse nobody, and they take
    /// back no accusation.
    fn words(&mut self, now: Micros, place: NodeAddress) {
        let (Some(intent), Some(node)) = (&self.intent, self.nodes.get_mut(&place)) else { return };
        let Some(claim) = node.claim.filter(|_| self.sure) else { return };
        let today = claim.index == intent.index && claim.root == intent.digest.root();
        if !today && now - self.committed >= self.tuning.settle && node.nonce.is_none() {
            node.ask_due = node.ask_due.min(now);
        }
        let index = intent.index;
        let then = self.past.iter().find(|(index, _)| *index <= claim.index);
        let lacks: BTreeSet<Part> = match then {
            _ if today => BTreeSet::new(),
            Some((_, digest)) => digest.differing(&intent.digest).collect(),
            None => Part::ALL.into_iter().collect(),
        };
        for part in Part::ALL {
            let Some(standing) = self.standing(place, part) else { return };
            match standing.state {
                State::Unknown | State::Behind if today && standing.held => {
                    self.turn(place, part, State::Today, Why::Said);
                }
                State::Unknown | State::Today if lacks.contains(&part) && claim.index < index => {
                    self.turn(place, part, State::Behind, Why::Said);
                }
                _ => {}
            }
        }
    }

    fn held(&mut self, now: Micros, from: NodeAddress, held: &Held) {
        let (Some(intent), Some(node)) = (self.intent.clone(), self.nodes.get_mut(&from)) else { return };
        let Some((nonce, asked)) = node.nonce else { return };
        if !self.sure || node.life != held.life || nonce != held.nonce || held.index > intent.index {
            return;
        }
        node.nonce = None;
        if now - node.heard > self.tuning.silence {
            (node.touch, node.began) = (now, false);
        }
        node.heard = now;
        // Who says that it is behind has more time than who says that it has applied what it has not.
        let grace = if held.index < intent.index { self.tuning.late } else { self.tuning.settle };
        let ripe = asked >= self.committed.max(node.touch) + grace;
        let right = intent.salted(nonce);
        let mut wrong = false;
        for part in Part::ALL {
            let at = part as usize;
            let fits = held.sums[at] == right[at];
            let Some(standing) = self.standing(from, part) else { return };
            standing.held = fits;
            if fits {
                standing.confessed = 0;
                continue;
            }
            wrong = true;
            if ripe {
                standing.confessed += 1;
                if standing.confessed >= CONFESSIONS && !standing.state.accused() {
                    let to = if held.index < intent.index { State::Straggling } else { State::Diverged };
                    self.turn(from, part, to, Why::Held);
                }
            }
        }
        let again = if wrong { self.tuning.apply / 25 } else { 4 * self.tuning.calm };
        if let Some(node) = self.nodes.get_mut(&from) {
            node.ask_due = now + again;
        }
        self.words(now, from);
        self.back_in(from);
    }

    fn report(&mut self, now: Micros, from: NodeAddress, report: &Report) {
        if let Some(node) = self.nodes.get_mut(&from) {
            // A report names no life of its own, so it only keeps a silence from beginning.
            if now - node.heard <= self.tuning.silence {
                node.heard = now;
            }
        }
        let Some(intent) = self.intent.clone() else { return };
        // A witness that is itself accused, or judged under another text, has no voice.
        let accused =
            self.nodes.get(&from).is_some_and(|node| node.parts.iter().any(|part| part.state.accused()));
        let ours = report.index == intent.index && report.root == intent.digest.root();
        if !self.sure || !ours || accused {
            return;
        }
        for sight in report.sights.iter().take(OPINIONS_MAX * 6) {
            let of = self.nodes.get(&sight.of).filter(|node| node.life == sight.life);
            let Some(node) = of.filter(|_| sight.of != from) else { continue };
            // One that was out of touch has its time from when it was heard again: until then only what
            // speaks
            // for it counts.
            let excused = !node.began && now - node.touch < self.tuning.late;
            for weight in sight.weights.iter().take(Part::COUNT) {
                let most = if excused { 0 } else { i16::MAX };
                let nats = [weight.older, weight.other].map(|nats| f64::from(nats.min(most)) / 100.0);
                self.opinion(from, sight.of, weight.part, nats);
                self.weigh(now, sight.of, weight.part);
            }
            self.back_in(sight.of);
        }
    }

    fn opinion(&mut self, by: NodeAddress, of: NodeAddress, part: Part, nats: [f64; 2]) {
        let cap = self.tuning.cap;
        let Some(standing) = self.standing(of, part) else { return };
        let at = match standing.opinions.iter().position(|opinion| opinion.by == by) {
            Some(at) => at,
            None if standing.opinions.len() < OPINIONS_MAX => {
                standing.opinions.push(Opinion { by, against: [0.0; 2], shown: [0.0; 2] });
                standing.opinions.len() - 1
            }
            None => return,
        };
        let opinion = &mut standing.opinions[at];
        for (which, nats) in nats.into_iter().enumerate() {
            opinion.against[which] = (opinion.against[which] + nats).clamp(0.0, cap);
            // What spoke against it takes back all that it had shown.
            opinion.shown[which] =
                if nats > 1.0 { 0.0 } else { (opinion.shown[which] - nats).clamp(0.0, cap) };
        }
    }

    /// Judges a part by what was seen of it, or asks others where that is too little.
    fn weigh(&mut self, now: Micros, of: NodeAddress, part: Part) {
        let tuning = self.tuning.clone();
        let others = self.nodes.len().saturating_sub(1);
        let Some(standing) = self.standing(of, part).filter(|standing| !standing.state.accused()) else {
            return;
        };
        let sum = |which: usize| standing.opinions.iter().map(|one| one.against[which]).sum::<f64>();
        let (older, other) = (sum(0), sum(1));
        let most = older.max(other);
        if most < 1.0 {
            return;
        }
        let accusers =
            standing.opinions.iter().filter(|one| one.against.iter().any(|nats| *nats > 1.0)).count();
        let told = standing.opinions.len();
        let enough = told >= tuning.opinions.min(others) && accusers >= 2 && 2 * accusers > told;
        if most >= tuning.height && enough {
            let to = if older >= other { State::Straggling } else { State::Diverged };
            self.turn(of, part, to, Why::Seen { witnesses: accusers.min(255) as u8 });
        } else {
            self.second_opinions(now, of);
        }
    }

    /// Others are asked to look for themselves, chosen by chance, not by who spoke first.
    fn second_opinions(&mut self, now: Micros, of: NodeAddress) {
        // Those that are accused themselves have no voice.
        let heard = |node: &Node| !node.parts.iter().any(|part| part.state.accused());
        let voices = self.nodes.iter().filter(|(place, node)| **place != of && heard(node));
        let places: Vec<NodeAddress> = voices.map(|(place, _)| *place).collect();
        let Some(node) = self.nodes.get_mut(&of) else { return };
        // A liar may keep others busy for so many looks after each change, and no longer.
        let accused = node.parts.iter().any(|part| part.state.accused());
        let again = self.tuning.apply / if node.asks < ASKS_MAX { 5 } else { 2 };
        if node.asked.is_some_and(|asked| now - asked < again) || (node.asks >= ASKS_MAX && !accused) {
            return;
        }
        (node.asked, node.asks) = (Some(now), node.asks.saturating_add(1));
        let known: BTreeSet<NodeAddress> =
            node.parts.iter().flat_map(|part| &part.opinions).map(|one| one.by).collect();
        let mut fresh: Vec<NodeAddress> =
            places.iter().copied().filter(|place| !known.contains(place)).collect();
        if fresh.is_empty() {
            fresh = places;
        }
        for _ in 0..self.tuning.witnesses {
            if fresh.is_empty() {
                break;
            }
            let at = self.random.rand_range(0..fresh.len() as u64) as usize;
            self.out.push(Effect::Ask { by: fresh.swap_remove(at), of });
        }
    }

    /// An accused node is cleared part by part: it holds today's by a fresh answer, and two witnesses at
    /// least
    /// have seen it on traffic.
    fn back_in(&mut self, place: NodeAddress) {
        let (height, noise) = (self.tuning.shown, 1.0);
        for part in Part::ALL {
            let Some(standing) = self.standing(place, part) else { return };
            if !standing.state.accused() || !standing.held {
                continue;
            }
            let which = usize::from(standing.state == State::Diverged);
            let held = standing.held;
            // What no effect shows (a verdict) is taken as shown with the routes, by the same witnesses.
            let seen = if standing.opinions.is_empty() { Part::Routes } else { part };
            let Some(standing) = self.standing(place, seen).filter(|_| held) else { return };
            let clean = standing.opinions.iter().filter(|one| one.against[which] < noise);
            let (mut count, mut sum) = (0, 0.0f64);
            for one in clean.filter(|one| one.shown.iter().any(|nats| *nats > 0.0)) {
                count += 1;
                sum += one.shown[0].max(one.shown[1]);
            }
            if count >= 2 && sum >= height {
                self.turn(place, part, State::Today, Why::Shown);
            }
        }
    }

    /// A node under repair starts its record anew: what it did before the repair is not held against it.
    pub fn repaired(&mut self, now: Micros, place: NodeAddress) {
        for part in Part::ALL {
            if let Some(standing) = self.standing(place, part) {
                standing.opinions.clear();
                (standing.confessed, standing.held) = (0, false);
            }
        }
        if let Some(node) = self.nodes.get_mut(&place) {
            (node.nonce, node.ask_due, node.asked, node.asks) = (None, now, None, 0);
        }
    }

    fn tick(&mut self, now: Micros) {
        if !self.sure {
            return;
        }
        let places: Vec<NodeAddress> = self.nodes.keys().copied().collect();
        let unseen_from = self.committed + self.tuning.settle + self.tuning.apply / 5;
        for place in places {
            let Some(node) = self.nodes.get_mut(&place) else { continue };
            if now - node.heard > self.tuning.silence {
                self.unknown(place, Why::Silent);
                continue;
            }
            let lapsed = node.nonce.is_none_or(|(_, asked)| now - asked >= self.tuning.apply / 5);
            if node.ask_due <= now && lapsed {
                let nonce = mix(self.random.rand_u64(), place.0.to_bits().into());
                node.nonce = Some((nonce, now));
                self.out.push(Effect::Challenge { to: place, nonce });
            }
            // The accused get to show that they are well; suspects get other witnesses.
            let open = node.parts.iter().any(|part| {
                let suspect = || part.opinions.iter().any(|one| one.against.iter().any(|nats| *nats > 1.0));
                part.state.accused() || suspect()
            });
            // All its witnesses are silent, as a third may be: others are asked.
            let unseen = now >= unseen_from.max(node.touch + self.tuning.settle)
                && node.parts.iter().all(|part| part.opinions.is_empty());
            if open || unseen {
                self.second_opinions(now, place);
            }
        }
        self.doubt(now);
    }

    /// Several nodes that stand at a later intent, or at another text of this one, for longer than a commit
    /// takes to arrive: the straggler is this judge.
    fn doubt(&mut self, now: Micros) {
        let Some(intent) = &self.intent else { return };
        let (index, root) = (intent.index, intent.digest.root());
        let claims = || self.nodes.values().filter_map(|node| node.claim);
        let later = claims().filter(|claim| claim.index > index).count();
        let same = claims().filter(|claim| claim.index == index).count();
        let other = claims().filter(|claim| claim.index == index && claim.root != root).count();
        if later < DOUBTERS && (other < DOUBTERS || 2 * other <= same) {
            (self.doubt_since, self.doubt_told) = (None, false);
            return;
        }
        let since = *self.doubt_since.get_or_insert(now);
        if now - since >= self.tuning.settle && !self.doubt_told {
            self.doubt_told = true;
            let places: Vec<NodeAddress> = self.nodes.keys().copied().collect();
            places.into_iter().for_each(|place| self.unknown(place, Why::Unsure));
            self.out.push(Effect::OwnDoubt);
        }
    }

    fn standing(&mut self, place: NodeAddress, part: Part) -> Option<&mut Standing> {
        self.nodes.get_mut(&place).map(|node| &mut node.parts[part as usize])
    }

    /// The only place where a state changes.
    fn turn(&mut self, place: NodeAddress, part: Part, to: State, why: Why) {
        let doubted = self.doubt_told && to.accused();
        let Some(node) = self.nodes.get_mut(&place).filter(|_| !doubted) else { return };
        let (life, standing) = (node.life, &mut node.parts[part as usize]);
        let from = std::mem::replace(&mut standing.state, to);
        if from != to {
            if to.accused() {
                // What is counted from here on is what it shows.
                standing.opinions.clear();
            }
            self.out.push(Effect::Changed { place, life, part, from, to, why });
        }
    }
}
