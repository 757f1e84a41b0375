//! Witness (at each node): what it saw of others' effects, weighed against the intent that it applied itself,
//! and which neighbours it looks at. It accuses nobody: it hands on likelihoods, bounded in count and rate.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use types::{LogIndex, Micros, NodeAddress, RunId};

use crate::parts::{Act, Intent, Part, RouteKey, Row, Took};
use crate::{NODES_MAX, Tuning, mix};

/// Intents whose replaced rows are still known, and such rows of each.
const PAST_MAX: usize = 8;
const PAST_ROWS_MAX: usize = 64;
/// Nodes of which something is kept between two reports, and looks that are planned.
const SIGHTS_MAX: usize = 64;
const LOOKS_MAX: usize = 256;
/// Routes in one look, over one new connection: with one each, a look more meets another worker.
const ROUTES_A_LOOK: usize = 1;

#[derive(Clone, Debug)]
pub enum Event {
    Tick,
    /// This node has applied an intent; older ones are not taken.
    Applied(Arc<Intent>),
    /// All foyers that are up, this one too, alike at all nodes that know the same.
    Peers(Vec<NodeAddress>),
    /// A look, or a client's request, was handled. `since`: when it was sent, by this node's clock. `said`:
    /// the
    /// index that the node told with it, if any; `life`: which life of it.
    Saw {
        of: NodeAddress,
        life: RunId,
        said: Option<LogIndex>,
        since: Micros,
        route: RouteKey,
        took: Option<Took>,
    },
    /// The same where only one effect is seen: the service of an instance, or who went first.
    Glimpse {
        of: NodeAddress,
        life: RunId,
        since: Micros,
        route: RouteKey,
        act: Act,
    },
    /// The judge wants this node's own opinion of one.
    Asked {
        of: NodeAddress,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// To the leader.
    Tell(Report),
    /// Send one harmless probe for each route to that node's clients' address, over one new connection.
    Look { of: NodeAddress, routes: Vec<RouteKey> },
}

/// Likelihoods of what was seen of one part of one node since the last report: the log of (some of its
/// effects are by an older intent, or by none that is known) over (all are by today's), in hundredths of a
/// nat.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Weight {
    pub part: Part,
    pub older: i16,
    pub other: i16,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sight {
    pub of: NodeAddress,
    pub life: RunId,
    pub weights: Vec<Weight>,
}

/// Judged under this intent; the judge counts no other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    pub index: LogIndex,
    pub root: u64,
    pub sights: Vec<Sight>,
}

#[derive(Clone, Debug)]
struct Kept {
    life: RunId,
    sums: [[f64; 2]; Part::COUNT],
}

pub struct Witness {
    own: NodeAddress,
    tuning: Tuning,
    random: oorandom::Rand64,
    intent: Option<Arc<Intent>>,
    applied: Micros,
    past: VecDeque<Vec<(RouteKey, Option<Row>)>>,
    peers: Vec<NodeAddress>,
    looks: VecDeque<(Micros, NodeAddress)>,
    calm_due: Micros,
    kept: BTreeMap<NodeAddress, Kept>,
    tell_due: Micros,
}

impl Witness {
    pub fn start(own: NodeAddress, tuning: Tuning, seed: u64, now: Micros) -> Witness {
        let random = oorandom::Rand64::new(seed.into());
        let (past, looks, kept) = (VecDeque::new(), VecDeque::new(), BTreeMap::new());
        let (calm_due, tell_due) = (now + tuning.calm, now);
        let (intent, applied, peers) = (None, now, Vec::new());
        Witness { own, tuning, random, intent, applied, past, peers, looks, calm_due, kept, tell_due }
    }

    pub fn due(&self) -> Micros {
        let look = self.looks.front().map_or(Micros::MAX, |(at, _)| *at);
        let tell = if self.kept.is_empty() { Micros::MAX } else { self.tell_due };
        look.min(tell).min(self.calm_due)
    }

    pub fn step(&mut self, now: Micros, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        match event {
            Event::Tick => self.tick(now, &mut effects),
            Event::Applied(intent) => self.apply(now, intent),
            Event::Peers(mut peers) => {
                peers.truncate(NODES_MAX);
                peers.sort_unstable();
                self.peers = peers;
            }
            Event::Saw { of, life, said, since, route, took } => {
                let Some(own) = self.intent.as_ref().map(|intent| intent.index) else { return effects };
                // One that is ahead of this node can't be judged from here; one that says that it is behind
                // has its time.
                let early = since < self.applied + self.tuning.late;
                if said.is_none_or(|said| said == own || (said < own && !early)) {
                    let against = Took::acts(took).any(|act| self.weigh(now, of, life, since, route, act));
                    if against {
                        self.tell(now, &mut effects);
                    }
                }
            }
            Event::Glimpse { of, life, since, route, act } => {
                if self.weigh(now, of, life, since, route, act) {
                    self.tell(now, &mut effects);
                }
            }
            Event::Asked { of } => {
                for round in 0..self.tuning.rounds {
                    self.plan(now.max(self.ripe()) + round as Micros * self.tuning.apply / 50, of);
                }
                self.tick(now, &mut effects);
            }
        }
        effects
    }

    /// From when on an effect may be held against its node.
    fn ripe(&self) -> Micros {
        self.applied + self.tuning.settle
    }

    fn apply(&mut self, now: Micros, intent: Arc<Intent>) {
        if self.intent.as_ref().is_some_and(|own| own.index >= intent.index) {
            return;
        }
        if let Some(own) = &self.intent {
            let mut replaced = own.replaced_by(&intent);
            replaced.truncate(PAST_ROWS_MAX);
            self.past.push_front(replaced);
            self.past.truncate(PAST_MAX);
        }
        self.intent = Some(intent);
        self.applied = now;
        // What was seen under the last intent says nothing of this one.
        self.kept.clear();
        self.looks.clear();
        for round in 0..self.tuning.rounds {
            for of in self.neighbours() {
                let spread = self.random.rand_range(0..(self.tuning.apply / 20).max(1) as u64) as Micros;
                self.plan(self.ripe() + round as Micros * self.tuning.apply / 20 + spread, of);
            }
        }
    }

    /// Whom this node looks at after this change: a few steps along the ring of places, alike for all, so
    /// that
    /// each node has as many witnesses, and others after each change.
    fn neighbours(&self) -> Vec<NodeAddress> {
        let Ok(at) = self.peers.binary_search(&self.own) else { return Vec::new() };
        let (count, index) = (self.peers.len(), self.intent.as_ref().map_or(0, |intent| intent.index.0));
        let mut steps: Vec<usize> = Vec::new();
        let others = count - 1;
        let mut draw = 0;
        while steps.len() < self.tuning.witnesses.min(others) {
            let step = 1 + (mix(index, draw) % others as u64) as usize;
            draw += 1;
            if !steps.contains(&step) {
                steps.push(step);
            }
        }
        steps.into_iter().map(|step| self.peers[(at + step) % count]).collect()
    }

    fn plan(&mut self, at: Micros, of: NodeAddress) {
        if of != self.own && self.looks.len() < LOOKS_MAX {
            let place = self.looks.partition_point(|(due, _)| *due <= at);
            self.looks.insert(place, (at, of));
        }
    }

    fn tick(&mut self, now: Micros, effects: &mut Vec<Effect>) {
        if self.calm_due <= now {
            self.calm_due = now + self.tuning.calm;
            if self.peers.len() > 1 {
                let at = self.random.rand_range(0..self.peers.len() as u64) as usize;
                self.plan(now.max(self.ripe()), self.peers[at]);
            }
        }
        while let Some((_, of)) = self.looks.pop_front_if(|(at, _)| *at <= now) {
            let routes = self.routes();
            if !routes.is_empty() {
                effects.push(Effect::Look { of, routes });
            }
        }
        if self.tell_due <= now {
            self.tell(now, effects);
        }
    }

    /// Routes that tell today's intent from the last ones, or any where there are none.
    fn routes(&mut self) -> Vec<RouteKey> {
        let Some(intent) = &self.intent else { return Vec::new() };
        let last = self.past.iter().find(|past| past.iter().any(|(key, _)| *key != RouteKey::ALL));
        let changed = last.into_iter().flatten().map(|(key, _)| *key).filter(|key| *key != RouteKey::ALL);
        let mut from: Vec<RouteKey> = changed.collect();
        if from.is_empty() {
            from = intent.routes().collect();
        }
        let mut routes = Vec::new();
        while routes.len() < ROUTES_A_LOOK && !from.is_empty() {
            let at = self.random.rand_range(0..from.len() as u64) as usize;
            routes.push(from.swap_remove(at));
        }
        routes
    }

    /// Adds what one effect says; whether it speaks against its node.
    fn weigh(
        &mut self, now: Micros, of: NodeAddress, life: RunId, since: Micros, route: RouteKey, act: Act,
    ) -> bool {
        let Some(intent) = &self.intent else { return false };
        if since < self.ripe() || since > now || of == self.own {
            return false;
        }
        let row = intent.row(route);
        let Some(today) = Row::chance(row, act) else { return false };
        let today = today.max(self.tuning.noise);
        let older = self.past.iter().flatten().filter(|(key, _)| *key == route);
        let older = older.filter_map(|(_, row)| Row::chance(row.as_ref(), act)).fold(None, |most, chance| {
            // With several older rows, the one that fits best stands against today's.
            Some(most.map_or(chance, |most: f64| most.max(chance)))
        });
        let share = self.tuning.share;
        let against = |chance: f64| ((share * chance + (1.0 - share) * today) / today).ln();
        let wrong = today <= self.tuning.noise;
        let older = older.map_or(0.0, against);
        let other = against(if wrong { 1.0 } else { 0.0 }) * if today < 1.0 && !wrong { 0.0 } else { 1.0 };
        let part = Row::part(row, act);
        if !self.kept.contains_key(&of) && self.kept.len() >= SIGHTS_MAX {
            return false;
        }
        let kept = self.kept.entry(of).or_insert(Kept { life, sums: Default::default() });
        if kept.life != life {
            *kept = Kept { life, sums: Default::default() };
        }
        let sums = &mut kept.sums[part as usize];
        sums[0] += older;
        sums[1] += other;
        wrong
    }

    fn tell(&mut self, now: Micros, effects: &mut Vec<Effect>) {
        self.tell_due = now + self.tuning.apply / 5;
        let Some(intent) = &self.intent else { return };
        if self.kept.is_empty() {
            return;
        }
        let hundredths = |nats: f64| (nats * 100.0).clamp(-30_000.0, 30_000.0) as i16;
        let sights = std::mem::take(&mut self.kept).into_iter().map(|(of, kept)| {
            let weights = Part::ALL.into_iter().zip(kept.sums).filter(|(_, sums)| *sums != [0.0; 2]);
            let weights = weights.map(|(part, [older, other])| Weight {
                part,
                older: hundredths(older),
                other: hundredths(other),
            });
            Sight { of, life: kept.life, weights: weights.collect() }
        });
        let (index, root) = (intent.index, intent.digest.root());
        effects.push(Effect::Tell(Report { index, root, sights: sights.collect() }));
    }
}
