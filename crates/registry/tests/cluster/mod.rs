//! Seeded simulation of a cluster of registry nodes, gateways and instances, with late and lost messages,
//! network partitions and killed nodes.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};

use oorandom::Rand32;
use registry::{Effect, Event, Heartbeat, InstanceId, InstanceState, Message, Record, Registry, Timing};
use types::{CallId, MS, Micros, NodeAddress, SECOND};

pub const HEARTBEAT_INTERVAL: Micros = 1_500 * MS;
/// Time until the membership tells nodes that another node is up, down or unreachable.
const MEMBERSHIP_DELAY: Micros = 1_500 * MS;
/// How often a registry node is told when a majority was last in contact.
const MAJORITY_CONTACT_INTERVAL: Micros = 200 * MS;
/// How long ago that contact was: one election timeout.
const MAJORITY_CONTACT_AGE: Micros = 700 * MS;
/// How long messages to a node go by stream after `Effect::PreferStream`, as in the node's program.
const STREAM_DURATION: Micros = 5 * SECOND;

pub struct Node {
    pub registry: Registry,
    /// States known from `Effect::Changed` alone.
    pub reported: BTreeMap<InstanceId, InstanceState>,
}

pub struct TestInstance {
    pub heartbeat: Heartbeat,
    pub next_call: Micros,
    pub target: Option<NodeAddress>,
    pub waiting_for: Option<CallId>,
    /// Which registry node acknowledged the drain, and when.
    pub drain_acknowledged: Option<(NodeAddress, Micros)>,
    pub alive: bool,
}

pub struct TestCluster {
    pub now: Micros,
    pub registry_nodes: Vec<NodeAddress>,
    pub gateways: Vec<NodeAddress>,
    pub running: BTreeMap<NodeAddress, Node>,
    /// Nodes on one side of a network partition; empty without one.
    pub partition: BTreeSet<NodeAddress>,
    /// Percentage of lost messages.
    pub loss_percent: u32,
    drain_limit: Micros,
    /// Pairs of a node and another one that it considers down although that one runs.
    pub considered_down: BTreeSet<(NodeAddress, NodeAddress)>,
    /// The registry nodes that each gateway has chosen. If empty, registry nodes compute shares of the
    /// gateways.
    pub chosen: BTreeMap<NodeAddress, Vec<NodeAddress>>,
    /// Until when a node (first) sends to another one (second) by stream, which loses nothing. `None` if this
    /// cluster has no streams.
    pub streams_until: Option<BTreeMap<(NodeAddress, NodeAddress), Micros>>,
    /// Sender of the message being handled if it came by stream; answers to it go by stream too.
    stream_reply_to: Option<NodeAddress>,
    pub instances: Vec<TestInstance>,
    pub rng: Rand32,
    pub messages_sent: usize,
    pub longest_message_bytes: usize,
    /// By time of arrival and number: sender, receiver, message, and whether it goes by stream.
    in_flight: BTreeMap<(Micros, u64), (NodeAddress, NodeAddress, Message, bool)>,
    /// By call: the registry node that answered, and its answer.
    answers: BTreeMap<CallId, (NodeAddress, Effect)>,
    next_peers_update: Micros,
    next_majority_contact: Micros,
    counter: u64,
}

pub fn address(number: usize) -> NodeAddress {
    NodeAddress(Ipv4Addr::new(10, 0, (number / 200) as u8, (number % 200) as u8 + 1))
}

impl TestCluster {
    pub fn new(seed: u64, registry_nodes: usize, gateways: usize, instances: usize) -> TestCluster {
        TestCluster::with_drain_limit(seed, registry_nodes, gateways, instances, 2_500 * MS)
    }

    /// A cluster with this setting `DrainS`.
    pub fn with_drain_limit(
        seed: u64, registry_nodes: usize, gateways: usize, instances: usize, drain_limit: Micros,
    ) -> TestCluster {
        let mut cluster = TestCluster {
            now: SECOND,
            registry_nodes: (0..registry_nodes).map(address).collect(),
            gateways: (registry_nodes..registry_nodes + gateways).map(address).collect(),
            running: BTreeMap::new(),
            partition: BTreeSet::new(),
            loss_percent: 2,
            drain_limit,
            considered_down: BTreeSet::new(),
            chosen: BTreeMap::new(),
            streams_until: None,
            stream_reply_to: None,
            instances: Vec::new(),
            rng: Rand32::new(seed),
            messages_sent: 0,
            longest_message_bytes: 0,
            in_flight: BTreeMap::new(),
            answers: BTreeMap::new(),
            next_peers_update: SECOND,
            next_majority_contact: SECOND,
            counter: 0,
        };
        for node in cluster.registry_nodes.clone().into_iter().chain(cluster.gateways.clone()) {
            cluster.start_node(node);
        }
        cluster.next_peers_update = cluster.now;
        (0..instances)
            .for_each(|number| drop(cluster.add_instance(&format!("i-{number:08x}"), number as u16)));
        cluster
    }

    /// Adds an instance, with a port that depends on `number`.
    pub fn add_instance(&mut self, id: &str, number: u16) -> InstanceId {
        let next_call = self.now + Micros::from(self.rng.rand_range(0..1_500)) * MS;
        let heartbeat = Heartbeat {
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
        let id = heartbeat.id.clone();
        self.instances.push(TestInstance {
            heartbeat,
            next_call,
            target: None,
            waiting_for: None,
            drain_acknowledged: None,
            alive: true,
        });
        id
    }

    pub fn start_node(&mut self, at: NodeAddress) {
        let seed = u64::from(self.rng.rand_u32());
        let registry = Registry::new(
            at,
            Timing::for_heartbeat_interval(HEARTBEAT_INTERVAL).for_drain_limit(self.drain_limit),
            seed,
            self.now,
        );
        self.running.insert(at, Node { registry, reported: BTreeMap::new() });
        if self.registry_nodes.contains(&at) {
            let addresses = self.registry_nodes.clone();
            self.event(at, Event::Voters { addresses });
        }
        self.schedule_peers_update();
    }

    /// Starts a registry node with the records it had saved.
    pub fn start_node_with_snapshot(&mut self, at: NodeAddress, snapshot: Vec<Record>) {
        self.start_node(at);
        let node = self.running.get_mut(&at).expect("just started");
        for effect in node.registry.restore(self.now, snapshot) {
            let Effect::Changed { instance } = effect else { panic!("{effect:?}") };
            node.reported.insert(instance.id, instance.state);
        }
    }

    /// Stops all nodes and starts them after `downtime`, registry nodes with the records they had saved. They
    /// find each other at once.
    pub fn restart_all(&mut self, downtime: Micros) {
        let snapshots = self.registry_nodes.iter().map(|node| self.running[node].registry.snapshot(self.now));
        let snapshots: Vec<Vec<Record>> = snapshots.collect();
        self.running.clear();
        self.run(downtime);
        for (registry_node, snapshot) in self.registry_nodes.clone().into_iter().zip(snapshots) {
            self.start_node_with_snapshot(registry_node, snapshot);
        }
        self.gateways.clone().into_iter().for_each(|gateway| self.start_node(gateway));
        self.next_peers_update = self.now + 50 * MS;
    }

    pub fn kill(&mut self, at: NodeAddress) {
        self.running.remove(&at);
        self.schedule_peers_update();
    }

    pub fn set_partition(&mut self, side: &[NodeAddress]) {
        self.partition = side.iter().copied().collect();
        self.schedule_peers_update();
    }

    fn schedule_peers_update(&mut self) {
        self.next_peers_update = self.now + MEMBERSHIP_DELAY;
    }

    pub fn instance(&mut self, id: &InstanceId) -> &mut TestInstance {
        self.instances.iter_mut().find(|instance| instance.heartbeat.id == *id).expect("added before")
    }

    /// Makes the instance send a heartbeat now that says that it drains.
    pub fn drain(&mut self, id: &InstanceId) {
        let now = self.now;
        let instance = self.instance(id);
        (instance.heartbeat.draining, instance.next_call, instance.waiting_for) = (true, now, None);
    }

    pub fn event(&mut self, at: NodeAddress, event: Event) {
        let Some(node) = self.running.get_mut(&at) else { return };
        for effect in node.registry.step(self.now, event) {
            match effect {
                Effect::Send { to, message } => {
                    self.messages_sent += 1;
                    let length = postcard::to_allocvec(&message).expect("messages can be encoded").len();
                    self.longest_message_bytes = self.longest_message_bytes.max(length);
                    let prefers_stream = |streams: &BTreeMap<(NodeAddress, NodeAddress), Micros>| {
                        streams.get(&(at, to)).is_some_and(|until| *until > self.now)
                    };
                    let by_stream = self.streams_until.as_ref().is_some_and(prefers_stream)
                        || self.stream_reply_to == Some(to);
                    if !by_stream && self.rng.rand_range(0..100) < self.loss_percent {
                        continue;
                    }
                    let delay = Micros::from(self.rng.rand_range(1..25)) * MS;
                    self.counter += 1;
                    self.in_flight.insert((self.now + delay, self.counter), (at, to, message, by_stream));
                }
                Effect::PreferStream { to } => {
                    if let Some(streams) = &mut self.streams_until {
                        streams.insert((at, to), self.now + STREAM_DURATION);
                    }
                }
                Effect::Changed { instance } => drop(node.reported.insert(instance.id, instance.state)),
                Effect::Accepted { call, .. } | Effect::Rejected { call } => {
                    self.answers.insert(call, (at, effect));
                }
            }
        }
        assert!(node.registry.next_due() > self.now, "{at} is due again at once, without end");
    }

    /// Sends a heartbeat outside the schedule of the instances; see `answer` for its result.
    pub fn send_heartbeat(&mut self, at: NodeAddress, heartbeat: Heartbeat) -> CallId {
        self.counter += 1;
        let call = CallId(self.counter);
        self.event(at, Event::Heartbeat { call, heartbeat });
        call
    }

    pub fn answer(&mut self, call: CallId) -> Option<Effect> {
        self.answers.get(&call).map(|(_, effect)| effect.clone())
    }

    /// Runs the simulation until the time `until`, or until `stop` returns true.
    pub fn run_until(&mut self, until: Micros, mut stop: impl FnMut(&TestCluster) -> bool) {
        while !stop(self) {
            let nodes =
                self.running.values().map(|node| node.registry.next_due()).min().unwrap_or(Micros::MAX);
            let arrival = self.in_flight.first_key_value().map_or(Micros::MAX, |((at, _), _)| *at);
            let calls = self.instances.iter().filter(|one| one.alive).map(|one| one.next_call).min();
            let next = nodes
                .min(arrival)
                .min(calls.unwrap_or(Micros::MAX))
                .min(self.next_peers_update)
                .min(self.next_majority_contact);
            if next > until {
                self.now = until;
                return;
            }
            self.now = self.now.max(next);
            if self.now >= self.next_peers_update {
                self.next_peers_update = Micros::MAX;
                self.update_peers();
            }
            if self.now >= self.next_majority_contact {
                self.next_majority_contact = self.now + MAJORITY_CONTACT_INTERVAL;
                self.report_majority_contacts();
            }
            while let Some(entry) = self.in_flight.first_entry().filter(|entry| entry.key().0 <= self.now) {
                let (from, to, message, by_stream) = entry.remove();
                if self.partition.contains(&from) == self.partition.contains(&to) {
                    self.stream_reply_to = by_stream.then_some(from);
                    self.event(to, Event::Received { from, message });
                    self.stream_reply_to = None;
                }
            }
            let due: Vec<NodeAddress> =
                (self.running.iter().filter(|(_, node)| node.registry.next_due() <= self.now))
                    .map(|(at, _)| *at)
                    .collect();
            due.into_iter().for_each(|at| self.event(at, Event::Tick));
            (0..self.instances.len()).for_each(|index| self.run_instance(index));
        }
    }

    pub fn run(&mut self, duration: Micros) {
        self.run_until(self.now + duration, |_| false);
    }

    /// Tells all nodes at once which others are up, and registry nodes which gateways have chosen them.
    pub fn update_peers(&mut self) {
        for at in self.running.keys().copied().collect::<Vec<_>>() {
            let (registry_nodes, gateways) =
                (self.reachable(at, &self.registry_nodes), self.reachable(at, &self.gateways));
            self.event(at, Event::Peers { registry_nodes, gateways });
            if self.registry_nodes.contains(&at) && !self.chosen.is_empty() {
                let watching = self.chosen.iter().filter(|(_, chosen)| chosen.contains(&at));
                let watching = watching.map(|(gateway, _)| *gateway).collect();
                self.event(at, Event::Watchers { watching, unable_to_watch: Vec::new() });
            }
        }
    }

    /// Makes each gateway choose two registry nodes, and updates the peers of all nodes.
    pub fn choose_registry_nodes(&mut self) {
        let nodes = self.registry_nodes.clone();
        let count = nodes.len();
        let chosen = |at: usize| vec![nodes[at % count], nodes[(at + 1 + at / count) % count]];
        self.chosen = self.gateways.iter().enumerate().map(|(at, gateway)| (*gateway, chosen(at))).collect();
        self.update_peers();
    }

    /// Those of `nodes` that the node at `at` considers up.
    fn reachable(&self, at: NodeAddress, nodes: &[NodeAddress]) -> Vec<NodeAddress> {
        let is_up = |other: &&NodeAddress| {
            !self.considered_down.contains(&(at, **other))
                && self.running.contains_key(other)
                && self.partition.contains(other) == self.partition.contains(&at)
        };
        nodes.iter().filter(is_up).copied().collect()
    }

    /// Tells the registry nodes that reach a majority about that contact.
    fn report_majority_contacts(&mut self) {
        for at in self.registry_nodes.clone() {
            if 2 * self.reachable(at, &self.registry_nodes).len() > self.registry_nodes.len() {
                let event = Event::MajorityContact { at: self.now - MAJORITY_CONTACT_AGE };
                self.event(at, event);
            }
        }
    }

    /// Lets an instance read the answer to its call, or send a heartbeat if one is due: to its target, or to
    /// a random registry node if the last call failed.
    fn run_instance(&mut self, index: usize) {
        let TestInstance { alive, waiting_for, next_call, .. } = self.instances[index];
        if !alive {
            return;
        }
        if let Some(call) = waiting_for
            && let Some((at, answer)) = self.answers.remove(&call)
        {
            let instance = &mut self.instances[index];
            instance.waiting_for = None;
            if let Effect::Accepted { target, .. } = answer {
                instance.target = target;
                instance.next_call = self.now + HEARTBEAT_INTERVAL;
                if instance.heartbeat.draining && instance.drain_acknowledged.is_none() {
                    instance.drain_acknowledged = Some((at, self.now));
                }
            } else {
                (instance.target, instance.next_call) = (None, self.now + 20 * MS);
            }
        } else if self.now >= next_call {
            let random_node =
                self.registry_nodes[self.rng.rand_range(0..self.registry_nodes.len() as u32) as usize];
            let instance = &mut self.instances[index];
            let to = if waiting_for.is_some() { random_node } else { instance.target.unwrap_or(random_node) };
            instance.heartbeat.sequence += 1;
            instance.heartbeat.warmup_left = (instance.heartbeat.warmup_left - HEARTBEAT_INTERVAL).max(0);
            let heartbeat = instance.heartbeat.clone();
            if self.running.contains_key(&to) {
                let call = self.send_heartbeat(to, heartbeat);
                (self.instances[index].waiting_for, self.instances[index].next_call) =
                    (Some(call), self.now + SECOND);
                self.run_instance(index);
            } else {
                (instance.target, instance.next_call) = (None, self.now + 50 * MS);
            }
        }
    }

    /// Nodes where `id` is in none of `states`. Also asserts that the states reported by effects match the
    /// registry.
    pub fn nodes_without(&self, id: &InstanceId, states: &[InstanceState]) -> Vec<NodeAddress> {
        let knows = |node: &Node| {
            let state = node.registry.get(id).map(|known| known.state);
            assert_eq!(
                state,
                node.reported.get(id).copied().filter(|_| state.is_some()),
                "reported states match the registry"
            );
            state.is_some_and(|state| states.contains(&state))
        };
        self.running.iter().filter(|(_, node)| !knows(node)).map(|(at, _)| *at).collect()
    }

    /// Asserts that all nodes know exactly the running, non-draining instances as in service.
    pub fn assert_all_know(&self) {
        for (at, node) in &self.running {
            let known: BTreeSet<&InstanceId> = (node.registry.instances())
                .filter(|known| known.state == InstanceState::InService)
                .map(|known| &known.id)
                .collect();
            let living = self.instances.iter().filter(|one| one.alive && !one.heartbeat.draining);
            assert_eq!(known, living.map(|one| &one.heartbeat.id).collect(), "at {at}, {}", self.now);
        }
    }
}
