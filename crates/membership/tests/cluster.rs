//! A seeded simulation of a cluster: links that lose, delay, are cut and heal; nodes that are suspended, die and restart.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::Ipv4Addr;

use membership::{
    Effect, Event, Incarnation, MEMBERS_MAX, MESSAGE_BYTES_MAX, Member, MemberStatus, MemberUpdate,
    Membership, Message, MessageBody, Role, Timing,
};
use oorandom::Rand64;
use types::{MS, Micros, NodeAddress, NodeVersion, RunId, SECOND};

pub fn address(node: usize) -> NodeAddress {
    NodeAddress(Ipv4Addr::new(10, 0, 0, node as u8))
}

/// A change of a member's status, as one node reported it.
pub struct StatusChange {
    pub at: Micros,
    pub reporter: usize,
    pub address: NodeAddress,
    pub run_id: RunId,
    pub status: MemberStatus,
}

/// A message in transit.
struct Datagram {
    to: usize,
    from: NodeAddress,
    message: Message,
}

pub struct Cluster {
    pub now: Micros,
    pub nodes: BTreeMap<usize, Membership>,
    /// Until when each suspended node does not run.
    pub suspended: BTreeMap<usize, Micros>,
    /// The side that each node is on; datagrams between sides are lost while the cluster is `partitioned`.
    pub side: BTreeMap<usize, bool>,
    pub partitioned: bool,
    /// Share of datagrams that are lost.
    pub loss: f64,
    pub sent: u64,
    pub changes: Vec<StatusChange>,
    rand: Rand64,
    /// Runs started so far; the seed of each.
    runs: u64,
    /// Arrival time and number of each datagram in transit.
    arrivals: BinaryHeap<Reverse<(Micros, u64)>>,
    datagrams: BTreeMap<u64, Datagram>,
    last_datagram: u64,
}

impl Cluster {
    pub fn empty(seed: u64, loss: f64) -> Cluster {
        Cluster {
            now: 0,
            nodes: BTreeMap::new(),
            suspended: BTreeMap::new(),
            side: BTreeMap::new(),
            partitioned: false,
            loss,
            sent: 0,
            changes: Vec::new(),
            rand: Rand64::new(u128::from(seed)),
            runs: 0,
            arrivals: BinaryHeap::new(),
            datagrams: BTreeMap::new(),
            last_datagram: 0,
        }
    }

    /// A cluster whose first five nodes are control nodes and whose first three are the seeds.
    pub fn of(seed: u64, loss: f64, nodes: usize) -> Cluster {
        let mut cluster = Cluster::empty(seed, loss);
        (1..=nodes).for_each(|node| cluster.start(node));
        cluster
    }

    /// Starts a node, or restarts it as a new run.
    pub fn start(&mut self, node: usize) {
        self.runs += 1;
        let own = Member {
            address: address(node),
            run_id: RunId(self.rand.rand_u64()),
            role: if node <= 5 { Role::ControlNode } else { Role::Gateway },
            zone: "khomas-a".into(),
            name: format!("edge-khomas-a-{node}"),
            version: NodeVersion::CURRENT,
        };
        let seeds = (1..=3).map(address).collect();
        let (membership, effects) = Membership::start(own, seeds, Timing::default(), self.runs, self.now);
        self.nodes.insert(node, membership);
        self.perform(node, effects);
    }

    pub fn step(&mut self, node: usize, event: Event) {
        let Some(membership) = self.nodes.get_mut(&node) else { return };
        let effects = membership.step(self.now, event);
        self.perform(node, effects);
    }

    fn perform(&mut self, node: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::StatusChanged { member, status } => self.changes.push(StatusChange {
                    at: self.now,
                    reporter: node,
                    address: member.address,
                    run_id: member.run_id,
                    status,
                }),
                Effect::Send { to, message } => self.send(node, to, message),
            }
        }
    }

    fn send(&mut self, from: usize, to: NodeAddress, message: Message) {
        self.sent += 1;
        // An upper bound of the message's encoded size (postcard).
        let names = message.updates.iter().map(|update| update.member.zone.len() + update.member.name.len());
        assert!(64 + names.map(|bytes| 23 + bytes).sum::<usize>() <= MESSAGE_BYTES_MAX);
        let (to, lost) = (to.0.octets()[3] as usize, self.rand.rand_float() < self.loss);
        let delay = 1_400 + self.rand.rand_range(0..3_000) as Micros;
        let cut = self.partitioned && self.side.get(&from) != self.side.get(&to);
        if !lost && !cut {
            self.last_datagram += 1;
            let datagram = Datagram { to, from: address(from), message };
            self.datagrams.insert(self.last_datagram, datagram);
            self.arrivals.push(Reverse((self.now + delay, self.last_datagram)));
        }
    }

    pub fn run(&mut self, time: Micros) {
        let end = self.now + time;
        loop {
            let next_tick = |(node, membership): (&usize, &Membership)| {
                (membership.due().max(self.suspended.get(node).copied().unwrap_or(0)), *node)
            };
            let (tick_at, ticking) = self.nodes.iter().map(next_tick).min().unwrap_or((Micros::MAX, 0));
            let arrival = self.arrivals.peek().map_or((Micros::MAX, 0), |arrival| arrival.0);
            let (arrives_at, number) = arrival;
            let at = tick_at.min(arrives_at).max(self.now);
            if at > end {
                self.now = end;
                return;
            }
            self.now = at;
            if arrives_at > tick_at {
                self.step(ticking, Event::Tick);
                continue;
            }
            self.arrivals.pop();
            let Some(datagram) = self.datagrams.remove(&number) else { continue };
            match self.suspended.get(&datagram.to).copied().filter(|until| *until > at) {
                // It stays in the socket's buffer until the node runs again.
                Some(until) => {
                    self.datagrams.insert(number, datagram);
                    self.arrivals.push(Reverse((until, number)));
                }
                None => {
                    let Datagram { to, from, message } = datagram;
                    self.step(to, Event::Received { from, message });
                }
            }
        }
    }

    /// Whether every running node believes exactly the other running nodes to be alive, each in its present run, and
    /// suspects nobody.
    pub fn converged(&self) -> bool {
        let running_except = |excluded: usize| -> Vec<(NodeAddress, RunId)> {
            let others = self.nodes.iter().filter(|(node, _)| **node != excluded);
            others.map(|(_, membership)| (membership.own().address, membership.own().run_id)).collect()
        };
        self.nodes.iter().all(|(node, membership)| {
            let alive = membership.members().filter(|(_, status)| *status == MemberStatus::Alive);
            let alive: Vec<_> = alive.map(|(member, _)| (member.address, member.run_id)).collect();
            let suspects =
                membership.members().filter(|(_, status)| *status == MemberStatus::Suspect).count();
            suspects == 0 && alive == running_except(*node)
        })
    }

    /// Runs until the cluster has converged; the time that it took, or `None` if it did not within `limit`.
    pub fn run_until_converged(&mut self, limit: Micros) -> Option<Micros> {
        let started_at = self.now;
        while self.now - started_at < limit {
            self.run(50 * MS);
            if self.converged() {
                return Some(self.now - started_at);
            }
        }
        None
    }

    /// How often any node has declared another dead.
    pub fn deaths(&self) -> usize {
        self.changes.iter().filter(|change| change.status == MemberStatus::Dead).count()
    }
}

#[test]
fn all_nodes_converge_and_send_few_messages() {
    for (nodes, loss) in [(15, 0.02), (71, 0.02), (15, 0.1)] {
        let mut cluster = Cluster::of(1, loss, nodes);
        let took = cluster.run_until_converged(10 * SECOND);
        assert!(took.is_some_and(|took| took <= 3 * SECOND), "{nodes} nodes: {took:?}");
        cluster.run(10 * SECOND);
        let before = cluster.sent;
        cluster.run(60 * SECOND);
        let rate = (cluster.sent - before) as f64 / 60.0 / nodes as f64;
        assert!(rate < if loss < 0.1 { 6.0 } else { 12.0 }, "{nodes} nodes: {rate} messages a second each");
        assert_eq!(cluster.deaths(), 0, "{nodes} nodes, loss {loss}");
    }
}

#[test]
fn dead_members_are_detected_and_forgotten() {
    for nodes in [15, 71] {
        let mut cluster = Cluster::of(2, 0.02, nodes);
        cluster.run(10 * SECOND);
        cluster.nodes.remove(&9);
        let took = cluster.run_until_converged(20 * SECOND);
        assert!(took.is_some_and(|took| took < 9 * SECOND), "{nodes}: {took:?}");
        cluster.run(70 * SECOND);
        let known = cluster.nodes.values().flat_map(|node| node.members());
        assert_eq!(known.filter(|(member, _)| member.address == address(9)).count(), 0);
    }
}

#[test]
fn a_new_run_replaces_the_old_one_at_once() {
    let mut cluster = Cluster::of(3, 0.05, 15);
    cluster.run(10 * SECOND);
    for node in [2, 9, 9, 4, 9] {
        cluster.start(node);
        let took = cluster.run_until_converged(10 * SECOND);
        assert!(took.is_some_and(|took| took < 2 * SECOND), "{node}: {took:?}");
    }
    // Each node saw each run of node 9 come up once, and none of the old ones again.
    for node in 10..=15 {
        let of_node_9 =
            cluster.changes.iter().filter(|change| change.reporter == node && change.address == address(9));
        let alive: Vec<RunId> = of_node_9
            .filter(|change| change.status == MemberStatus::Alive)
            .map(|change| change.run_id)
            .collect();
        let mut runs = alive.clone();
        runs.dedup();
        assert_eq!(alive, runs);
        assert_eq!(runs.len(), 4);
    }
}

#[test]
fn the_cluster_converges_after_a_restart_of_all_nodes() {
    let mut cluster = Cluster::of(4, 0.02, 30);
    cluster.run(10 * SECOND);
    cluster.nodes.clear();
    cluster.run(SECOND);
    (1..=30).for_each(|node| cluster.start(node));
    assert!(cluster.run_until_converged(10 * SECOND).is_some_and(|took| took <= 3 * SECOND));
    // Now only the control nodes: the gateways know their old runs, and they know nothing.
    (1..=5).for_each(|node| cluster.start(node));
    let took = cluster.run_until_converged(10 * SECOND);
    assert!(took.is_some_and(|took| took <= 3 * SECOND));
}

#[test]
fn both_sides_of_a_partition_converge_after_it_heals() {
    for (seed, seconds, nodes) in [(5, 4, 15), (6, 30, 15), (7, 100, 15), (8, 20, 71)] {
        let mut cluster = Cluster::of(seed, 0.02, nodes);
        cluster.run(10 * SECOND);
        for node in 1..=nodes {
            cluster.side.insert(node, node % 2 == 0);
        }
        cluster.partitioned = true;
        cluster.run(seconds * SECOND);
        cluster.partitioned = false;
        let changes_before_healing = cluster.changes.len();
        let took = cluster.run_until_converged(30 * SECOND);
        assert!(took.is_some_and(|took| took < 8 * SECOND), "{seconds} s, {nodes} nodes: {took:?}");
        // Healing must not cost any node a member of its own side, which it could reach all the time.
        let same_side = |node: usize, other: NodeAddress| node % 2 == other.0.octets()[3] as usize % 2;
        let dead = cluster.changes[changes_before_healing..]
            .iter()
            .filter(|change| change.status == MemberStatus::Dead);
        assert_eq!(dead.filter(|change| same_side(change.reporter, change.address)).count(), 0);
    }
}

#[test]
fn a_suspended_node_accuses_nobody_and_rejoins() {
    let mut cluster = Cluster::of(9, 0.02, 15);
    cluster.run(10 * SECOND);
    cluster.suspended.insert(7, cluster.now + 12 * SECOND);
    cluster.run(12 * SECOND);
    let dead = |change: &&StatusChange| change.status == MemberStatus::Dead;
    assert!(cluster.changes.iter().filter(dead).any(|change| change.address == address(7)));
    assert!(cluster.run_until_converged(10 * SECOND).is_some_and(|took| took < 4 * SECOND));
    cluster.run(20 * SECOND);
    assert_eq!(cluster.changes.iter().filter(dead).filter(|change| change.address != address(7)).count(), 0);
}

/// A node that runs only 50 ms of every 500 ms.
#[test]
fn a_node_short_of_cpu_accuses_nobody_and_is_not_declared_dead() {
    let mut cluster = Cluster::of(12, 0.02, 15);
    cluster.run(10 * SECOND);
    for _ in 0..120 {
        cluster.suspended.insert(7, cluster.now + 450 * MS);
        cluster.run(500 * MS);
    }
    assert_eq!(cluster.deaths(), 0);
}

#[test]
fn the_roster_is_bounded_and_long_names_are_ignored() {
    let own = numbered_member(0, "here");
    let (mut membership, _) = Membership::start(own, vec![address(1)], Timing::default(), 1, 0);
    let from = address(1);
    for number in 1..=1_000 {
        let name = if number % 3 == 0 { "n".repeat(2_000) } else { "there".into() };
        let update = MemberUpdate {
            member: numbered_member(number, &name),
            incarnation: Incarnation(0),
            status: MemberStatus::Alive,
        };
        let message = Message {
            run_id: RunId(7),
            incarnation: Incarnation(0),
            body: MessageBody::Gossip,
            updates: vec![update],
        };
        membership.step(number as Micros, Event::Received { from, message });
    }
    assert_eq!(membership.members().count(), MEMBERS_MAX);
    assert!(membership.members().all(|(member, _)| member.name.len() < 100));
}

fn numbered_member(number: u32, name: &str) -> Member {
    Member {
        address: NodeAddress(Ipv4Addr::from(0x0a01_0000 + number)),
        run_id: RunId(1),
        role: Role::Gateway,
        zone: "z".into(),
        name: name.into(),
        version: NodeVersion::CURRENT,
    }
}

#[test]
fn leaving_is_known_quickly_and_final() {
    let mut cluster = Cluster::of(10, 0.1, 15);
    cluster.run(10 * SECOND);
    cluster.step(8, Event::Leave);
    cluster.run(5 * SECOND);
    for node in (1..=15).filter(|node| *node != 8) {
        let left = cluster.nodes[&node].members().find(|(member, _)| member.address == address(8));
        assert_eq!(left.map(|(_, status)| status), Some(MemberStatus::Left), "{node}");
    }
    let reports = cluster
        .changes
        .iter()
        .filter(|change| change.address == address(8) && change.status == MemberStatus::Left);
    assert!(reports.map(|change| change.at).max().is_some_and(|at| at < 12 * SECOND));
    cluster.start(8);
    assert!(cluster.run_until_converged(10 * SECOND).is_some_and(|took| took < 3 * SECOND));
}

#[test]
fn a_node_whose_seeds_are_all_gone_joins_through_new_ones() {
    let mut cluster = Cluster::of(11, 0.02, 15);
    cluster.run(10 * SECOND);
    (1..=3).for_each(|node| drop(cluster.nodes.remove(&node)));
    cluster.run(5 * SECOND);
    cluster.start(16);
    cluster.run(SECOND);
    assert!(!cluster.converged());
    cluster.step(16, Event::Seeds { addresses: vec![address(4), address(5)] });
    assert!(cluster.run_until_converged(10 * SECOND).is_some_and(|took| took < 6 * SECOND));
}
