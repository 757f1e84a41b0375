//! A seeded world of a few nodes and instances: messages that are late or lost, cuts, killed nodes.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};

use oorandom::Rand32;
use registry::{Effect, Event, Heartbeat, InstanceId, InstanceState, Message, Record, Registry, Timing};
use types::{CallId, MS, Micros, NodeAddress, SECOND};

pub const BEAT: Micros = 1_500 * MS;
/// How long until nodes hear from their membership that one is up, down or out of reach.
const NOTICED: Micros = 1_500 * MS;
/// A hub hears so often how long ago a majority was in touch, which was an election span before.
const PROVED_EVERY: Micros = 200 * MS;
const ELECTION: Micros = 700 * MS;
/// How long a node is written to by stream once it was insisted on, as the nodes do it (`playhouse::carrier_selection`).
const BY_STREAM: Micros = 5 * SECOND;

pub struct Node {
    pub cast: Registry,
    /// What a driver knows by `Changed` alone.
    pub shown: BTreeMap<InstanceId, InstanceState>,
}

pub struct Instance {
    pub beat: Heartbeat,
    pub next: Micros,
    pub target: Option<NodeAddress>,
    pub waits: Option<CallId>,
    /// Which hub acknowledged its drain, and when.
    pub drained: Option<(NodeAddress, Micros)>,
    pub alive: bool,
}

pub struct World {
    pub now: Micros,
    pub hubs: Vec<NodeAddress>,
    pub foyers: Vec<NodeAddress>,
    pub up: BTreeMap<NodeAddress, Node>,
    pub cut: BTreeSet<NodeAddress>,
    /// Lost messages in a hundred.
    pub loss: u32,
    drain: Micros,
    /// Who holds whom down, though it runs.
    pub unseen: BTreeSet<(NodeAddress, NodeAddress)>,
    /// The hubs that each foyer has chosen; where this is empty, hubs work out shares.
    pub chosen: BTreeMap<NodeAddress, Vec<NodeAddress>>,
    /// Until when one node writes to another by streams, which lose nothing; none where this world has no streams.
    pub streams: Option<BTreeMap<(NodeAddress, NodeAddress), Micros>>,
    /// Whose word, that came by stream, is being answered.
    answered: Option<NodeAddress>,
    pub instances: Vec<Instance>,
    pub rng: Rand32,
    pub sent: usize,
    pub longest: usize,
    net: BTreeMap<(Micros, u64), (NodeAddress, NodeAddress, Message, bool)>,
    answers: BTreeMap<CallId, (NodeAddress, Effect)>,
    peers_at: Micros,
    proved_at: Micros,
    counter: u64,
}

pub fn place(number: usize) -> NodeAddress {
    NodeAddress(Ipv4Addr::new(10, 0, (number / 200) as u8, (number % 200) as u8 + 1))
}

impl World {
    pub fn new(seed: u64, hubs: usize, foyers: usize, instances: usize) -> World {
        World::within(seed, hubs, foyers, instances, 2_500 * MS)
    }

    /// Of a deployment with this `DrainS`.
    pub fn within(seed: u64, hubs: usize, foyers: usize, instances: usize, drain: Micros) -> World {
        let mut world = World {
            now: SECOND,
            hubs: (0..hubs).map(place).collect(),
            foyers: (hubs..hubs + foyers).map(place).collect(),
            up: BTreeMap::new(),
            cut: BTreeSet::new(),
            loss: 2,
            drain,
            unseen: BTreeSet::new(),
            chosen: BTreeMap::new(),
            streams: None,
            answered: None,
            instances: Vec::new(),
            rng: Rand32::new(seed),
            sent: 0,
            longest: 0,
            net: BTreeMap::new(),
            answers: BTreeMap::new(),
            peers_at: SECOND,
            proved_at: SECOND,
            counter: 0,
        };
        for node in world.hubs.clone().into_iter().chain(world.foyers.clone()) {
            world.start(node);
        }
        world.peers_at = world.now;
        (0..instances).for_each(|number| drop(world.add(&format!("i-{number:08x}"), number as u16)));
        world
    }

    /// A new life, at an address of its number.
    pub fn add(&mut self, id: &str, number: u16) -> InstanceId {
        let next = self.now + Micros::from(self.rng.rand_range(0..1_500)) * MS;
        let beat = Heartbeat {
            id: InstanceId(id.into()),
            service: format!("huvo{}a", number % 4),
            address: SocketAddrV4::new(Ipv4Addr::new(10, 128, 0, 9), 8_000 + number),
            zone: "hala-a".into(),
            version: "v1".into(),
            slots: 3,
            draining: false,
            warmup_left: 2 * SECOND,
            sequence: 0,
        };
        let id = beat.id.clone();
        self.instances.push(Instance { beat, next, target: None, waits: None, drained: None, alive: true });
        id
    }

    pub fn start(&mut self, at: NodeAddress) {
        let seed = u64::from(self.rng.rand_u32());
        let cast = Registry::new(
            at,
            Timing::for_heartbeat_interval(BEAT).for_drain_limit(self.drain),
            seed,
            self.now,
        );
        self.up.insert(at, Node { cast, shown: BTreeMap::new() });
        if self.hubs.contains(&at) {
            let places = self.hubs.clone();
            self.event(at, Event::Voters { addresses: places });
        }
        self.noticed();
    }

    /// A hub starts again with what it had kept.
    pub fn start_with(&mut self, at: NodeAddress, memory: Vec<Record>) {
        self.start(at);
        let node = self.up.get_mut(&at).expect("just started");
        for effect in node.cast.restore(self.now, memory) {
            let Effect::Changed { instance } = effect else { panic!("{effect:?}") };
            node.shown.insert(instance.id, instance.state);
        }
    }

    /// All end, and are back after `away` with what they had kept; they find each other at once.
    pub fn start_all_again(&mut self, away: Micros) {
        let memories = self.hubs.iter().map(|hub| self.up[hub].cast.snapshot(self.now));
        let memories: Vec<Vec<Record>> = memories.collect();
        self.up.clear();
        self.run(away);
        for (hub, memory) in self.hubs.clone().into_iter().zip(memories) {
            self.start_with(hub, memory);
        }
        self.foyers.clone().into_iter().for_each(|foyer| self.start(foyer));
        self.peers_at = self.now + 50 * MS;
    }

    pub fn kill(&mut self, at: NodeAddress) {
        self.up.remove(&at);
        self.noticed();
    }

    pub fn cut(&mut self, side: &[NodeAddress]) {
        self.cut = side.iter().copied().collect();
        self.noticed();
    }

    fn noticed(&mut self) {
        self.peers_at = self.now + NOTICED;
    }

    pub fn instance(&mut self, id: &InstanceId) -> &mut Instance {
        self.instances.iter_mut().find(|instance| instance.beat.id == *id).expect("added before")
    }

    /// Has it say now that it drains.
    pub fn drain(&mut self, id: &InstanceId) {
        let now = self.now;
        let instance = self.instance(id);
        (instance.beat.draining, instance.next, instance.waits) = (true, now, None);
    }

    pub fn event(&mut self, at: NodeAddress, event: Event) {
        let Some(node) = self.up.get_mut(&at) else { return };
        for effect in node.cast.step(self.now, event) {
            match effect {
                Effect::Send { to, message } => {
                    self.sent += 1;
                    let length = postcard::to_allocvec(&message).expect("travels").len();
                    self.longest = self.longest.max(length);
                    let insisted = |streams: &BTreeMap<(NodeAddress, NodeAddress), Micros>| {
                        streams.get(&(at, to)).is_some_and(|until| *until > self.now)
                    };
                    let stream = self.streams.as_ref().is_some_and(insisted) || self.answered == Some(to);
                    if !stream && self.rng.rand_range(0..100) < self.loss {
                        continue;
                    }
                    let delay = Micros::from(self.rng.rand_range(1..25)) * MS;
                    self.counter += 1;
                    self.net.insert((self.now + delay, self.counter), (at, to, message, stream));
                }
                Effect::PreferStream { to } => {
                    if let Some(streams) = &mut self.streams {
                        streams.insert((at, to), self.now + BY_STREAM);
                    }
                }
                Effect::Changed { instance } => drop(node.shown.insert(instance.id, instance.state)),
                Effect::Accepted { call, .. } | Effect::Rejected { call } => {
                    self.answers.insert(call, (at, effect));
                }
            }
        }
        assert!(node.cast.next_due() > self.now, "{at} would spin");
    }

    /// A call outside the turn of any instance; its answer is read by `answer`.
    pub fn call(&mut self, at: NodeAddress, beat: Heartbeat) -> CallId {
        self.counter += 1;
        let call = CallId(self.counter);
        self.event(at, Event::Heartbeat { call, heartbeat: beat });
        call
    }

    pub fn answer(&mut self, call: CallId) -> Option<Effect> {
        self.answers.get(&call).map(|(_, effect)| effect.clone())
    }

    /// Plays until `until`, or until `stop` says so.
    pub fn run_until(&mut self, until: Micros, mut stop: impl FnMut(&World) -> bool) {
        while !stop(self) {
            let nodes = self.up.values().map(|node| node.cast.next_due()).min().unwrap_or(Micros::MAX);
            let net = self.net.first_key_value().map_or(Micros::MAX, |((at, _), _)| *at);
            let calls = self.instances.iter().filter(|one| one.alive).map(|one| one.next).min();
            let next =
                nodes.min(net).min(calls.unwrap_or(Micros::MAX)).min(self.peers_at).min(self.proved_at);
            if next > until {
                self.now = until;
                return;
            }
            self.now = self.now.max(next);
            if self.now >= self.peers_at {
                self.peers_at = Micros::MAX;
                self.tell_peers();
            }
            if self.now >= self.proved_at {
                self.proved_at = self.now + PROVED_EVERY;
                self.tell_proofs();
            }
            while let Some(entry) = self.net.first_entry().filter(|entry| entry.key().0 <= self.now) {
                let (from, to, message, stream) = entry.remove();
                if self.cut.contains(&from) == self.cut.contains(&to) {
                    self.answered = stream.then_some(from);
                    self.event(to, Event::Received { from, message });
                    self.answered = None;
                }
            }
            let due: Vec<NodeAddress> = (self.up.iter().filter(|(_, node)| node.cast.next_due() <= self.now))
                .map(|(at, _)| *at)
                .collect();
            due.into_iter().for_each(|at| self.event(at, Event::Tick));
            (0..self.instances.len()).for_each(|index| self.turn(index));
        }
    }

    pub fn run(&mut self, span: Micros) {
        self.run_until(self.now + span, |_| false);
    }

    fn tell_peers(&mut self) {
        for at in self.up.keys().copied().collect::<Vec<_>>() {
            let (hubs, others) = (self.reached(at, &self.hubs), self.reached(at, &self.foyers));
            self.event(at, Event::Peers { registry_nodes: hubs, gateways: others });
            if self.hubs.contains(&at) && !self.chosen.is_empty() {
                let by = self.chosen.iter().filter(|(_, chosen)| chosen.contains(&at));
                let by = by.map(|(foyer, _)| *foyer).collect();
                self.event(at, Event::Watchers { watching: by, unable_to_watch: Vec::new() });
            }
        }
    }

    /// Each foyer chooses two hubs; all nodes are told who is up, and who has chosen them.
    pub fn choose_hubs(&mut self) {
        let hubs = self.hubs.clone();
        let chosen = |at: usize| vec![hubs[at % hubs.len()], hubs[(at + 1 + at / hubs.len()) % hubs.len()]];
        self.chosen = self.foyers.iter().enumerate().map(|(at, foyer)| (*foyer, chosen(at))).collect();
        self.tell_peers();
    }

    /// All nodes are told at once who is up.
    pub fn notice(&mut self) {
        self.tell_peers();
    }

    fn reached(&self, at: NodeAddress, of: &[NodeAddress]) -> Vec<NodeAddress> {
        let seen = |other: &&NodeAddress| {
            !self.unseen.contains(&(at, **other))
                && self.up.contains_key(other)
                && self.cut.contains(other) == self.cut.contains(&at)
        };
        of.iter().filter(seen).copied().collect()
    }

    /// Hubs that reach a majority are told so.
    fn tell_proofs(&mut self) {
        for at in self.hubs.clone() {
            if 2 * self.reached(at, &self.hubs).len() > self.hubs.len() {
                let event = Event::MajorityContact { at: self.now - ELECTION };
                self.event(at, event);
            }
        }
    }

    /// An instance reads an answer, or calls: its target, or another hub where the last call failed.
    fn turn(&mut self, index: usize) {
        let Instance { alive, waits, next, .. } = self.instances[index];
        if !alive {
            return;
        }
        if let Some(call) = waits
            && let Some((at, answer)) = self.answers.remove(&call)
        {
            let instance = &mut self.instances[index];
            instance.waits = None;
            if let Effect::Accepted { target, .. } = answer {
                instance.target = target;
                instance.next = self.now + BEAT;
                if instance.beat.draining && instance.drained.is_none() {
                    instance.drained = Some((at, self.now));
                }
            } else {
                (instance.target, instance.next) = (None, self.now + 20 * MS);
            }
        } else if self.now >= next {
            let any = self.hubs[self.rng.rand_range(0..self.hubs.len() as u32) as usize];
            let instance = &mut self.instances[index];
            let to = if waits.is_some() { any } else { instance.target.unwrap_or(any) };
            instance.beat.sequence += 1;
            instance.beat.warmup_left = (instance.beat.warmup_left - BEAT).max(0);
            let beat = instance.beat.clone();
            if self.up.contains_key(&to) {
                let call = self.call(to, beat);
                (self.instances[index].waits, self.instances[index].next) = (Some(call), self.now + SECOND);
                self.turn(index);
            } else {
                (instance.target, instance.next) = (None, self.now + 50 * MS);
            }
        }
    }

    /// Nodes where `id` is not in one of `states`, by the records and by what the driver was shown.
    pub fn without(&self, id: &InstanceId, states: &[InstanceState]) -> Vec<NodeAddress> {
        let knows = |node: &Node| {
            let state = node.cast.get(id).map(|known| known.state);
            assert_eq!(
                state,
                node.shown.get(id).copied().filter(|_| state.is_some()),
                "shown is what is known"
            );
            state.is_some_and(|state| states.contains(&state))
        };
        self.up.iter().filter(|(_, node)| !knows(node)).map(|(at, _)| *at).collect()
    }

    /// Asserts that all nodes know all living instances as in service, and no other one as such.
    pub fn assert_all_know(&self) {
        for (at, node) in &self.up {
            let known: BTreeSet<&InstanceId> = (node.cast.instances())
                .filter(|known| known.state == InstanceState::InService)
                .map(|known| &known.id)
                .collect();
            let living = self.instances.iter().filter(|one| one.alive && !one.beat.draining);
            assert_eq!(known, living.map(|one| &one.beat.id).collect(), "at {at}, {}", self.now);
        }
    }
}
