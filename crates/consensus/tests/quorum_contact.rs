//! Quorum contact: how recent a node may take its state to be, while nodes are cut off or stalled.

use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;

use consensus::{Effect, Event, FaultTolerance, Members, Message, PersistentState, RaftNode, Timing};
use types::{MS, Micros, NodeAddress, RunId, SECOND, VoterId};

const TIMING: Timing = Timing {
    heartbeat_interval: 150 * MS,
    election_timeout: 700 * MS,
    removal_timeout: 60 * SECOND,
    replacement_timeout: 60 * SECOND,
    join_interval: SECOND,
    fault_tolerance: FaultTolerance { machines: 1, domains: (0, 1) },
    max_chunk_bytes: 1 << 16,
};
const CONFIRM_INTERVAL: Micros = 200 * MS;
const MESSAGE_DELAY: Micros = 2 * MS;
/// Of a message; the number keeps messages with the same time in the order of sending.
type DeliveryTime = (Micros, u64);

fn voter(number: usize) -> VoterId {
    VoterId { address: NodeAddress(Ipv4Addr::new(10, 0, 0, number as u8)), disk_id: RunId(0) }
}

/// Three nodes with a fixed message delay and writes that take no time. Messages to a frozen node wait; messages between a
/// node that is cut off and one that is not are lost.
struct Cluster {
    now: Micros,
    nodes: Vec<RaftNode>,
    /// Messages in flight, with sender and receiver.
    messages: BTreeMap<DeliveryTime, (usize, usize, Message)>,
    sent: u64,
    cut_off: BTreeSet<usize>,
    frozen: Option<usize>,
}

impl Cluster {
    fn start() -> Cluster {
        let members = Members((0..3).map(voter).collect());
        let start = |number: usize| {
            let first = Some(members.clone());
            RaftNode::start(voter(number), first, PersistentState::default(), TIMING, number as u64, 0)
        };
        let (nodes, effects): (Vec<_>, Vec<_>) = (0..3).map(start).unzip();
        let (messages, cut_off) = (BTreeMap::new(), BTreeSet::new());
        let mut cluster = Cluster { now: 0, nodes, messages, sent: 0, cut_off, frozen: None };
        effects.into_iter().enumerate().for_each(|(node, effects)| cluster.carry_out(node, effects));
        cluster.run(3 * SECOND);
        cluster
    }

    fn step(&mut self, node: usize, event: Event) {
        let effects = self.nodes[node].step(self.now, event);
        self.carry_out(node, effects);
    }

    fn carry_out(&mut self, node: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send { to, message } => {
                    let to = (0..3).find(|number| voter(*number).address == to).expect("a voter");
                    if self.cut_off.contains(&node) == self.cut_off.contains(&to) {
                        self.sent += 1;
                        self.messages.insert((self.now + MESSAGE_DELAY, self.sent), (node, to, message));
                    }
                }
                Effect::Write(write) => self.step(node, Event::Synced { write: write.id }),
                _ => {}
            }
        }
    }

    fn run(&mut self, duration: Micros) {
        let end = self.now + duration;
        while self.now < end {
            self.now += MS;
            let due: Vec<DeliveryTime> =
                self.messages.range(..=(self.now, u64::MAX)).map(|(time, _)| *time).collect();
            for time in due {
                if Some(self.messages[&time].1) == self.frozen {
                    continue;
                }
                let (from, to, message) = self.messages.remove(&time).expect("it is in the map");
                self.step(to, Event::Received { from: voter(from), message });
            }
            for node in (0..3).filter(|node| Some(*node) != self.frozen).collect::<Vec<_>>() {
                if self.now % CONFIRM_INTERVAL == 0 {
                    self.step(node, Event::ConfirmQuorum);
                }
                if self.nodes[node].next_tick_at() <= self.now {
                    self.step(node, Event::Tick);
                }
            }
        }
    }

    fn leader(&self) -> usize {
        let leaders = (0..3).filter(|node| self.nodes[*node].is_leader());
        leaders.max_by_key(|node| self.nodes[*node].term()).expect("a leader")
    }

    /// How long ago a node's last quorum contact was.
    fn contact_age(&self, node: usize) -> Micros {
        self.now - self.nodes[node].quorum_contact().expect("it had contact once").1
    }
}

#[test]
fn quorum_contact_is_recent_on_all_connected_nodes_and_costs_no_extra_messages() {
    let mut cluster = Cluster::start();
    let leader = cluster.leader();
    let sent_before = cluster.sent;
    for _ in 0..200 {
        cluster.run(10 * MS);
        for node in 0..3 {
            let max_age = if node == leader {
                CONFIRM_INTERVAL + 2 * TIMING.heartbeat_interval
            } else {
                TIMING.election_timeout + 2 * TIMING.heartbeat_interval
            };
            assert!(cluster.contact_age(node) <= max_age, "{node}: {}", cluster.contact_age(node));
            let contact_term = cluster.nodes[node].quorum_contact().map(|(term, _)| term);
            assert_eq!(contact_term, Some(cluster.nodes[leader].term()));
        }
    }
    // Two heartbeats and two responses every 150 ms, as without confirmations.
    let sent = cluster.sent - sent_before;
    assert!(sent <= 4 * 14, "{sent}");
}

#[test]
fn a_cut_off_node_has_no_quorum_contact_after_the_cut_whatever_its_role() {
    for cut_leader in [true, false] {
        let mut cluster = Cluster::start();
        let leader = cluster.leader();
        let isolated = if cut_leader { leader } else { (leader + 1) % 3 };
        cluster.cut_off = BTreeSet::from([isolated]);
        let cut_at = cluster.now;
        for _ in 0..100 {
            cluster.run(100 * MS);
            let node = &cluster.nodes[isolated];
            assert!(node.quorum_contact().is_some_and(|(_, at)| at <= cut_at), "cut_leader: {cut_leader}");
            assert!(
                cluster.now - cut_at < 500 * MS || !node.hears_leader(cluster.now, 375 * MS) || cut_leader
            );
        }
        assert!(!cluster.nodes[isolated].hears_leader(cluster.now, 375 * MS));
        assert!((0..3).filter(|node| *node != isolated).all(|node| cluster.contact_age(node) < 1_200 * MS));
        cluster.cut_off.clear();
        cluster.run(2 * SECOND);
        assert!(cluster.contact_age(isolated) < 1_200 * MS);
    }
}

/// A frozen process finds old messages in its sockets when it wakes. They must not count as contact.
#[test]
fn messages_queued_while_a_node_was_frozen_are_no_quorum_contact() {
    let mut cluster = Cluster::start();
    let frozen = (cluster.leader() + 1) % 3;
    cluster.frozen = Some(frozen);
    cluster.run(20 * SECOND);
    let (contact, queued) = (cluster.nodes[frozen].quorum_contact(), cluster.messages.len());
    assert!(queued > 100, "{queued} messages are queued");
    // The node is cut off when it wakes, so all that it receives was sent before.
    (cluster.frozen, cluster.cut_off) = (None, BTreeSet::from([frozen]));
    cluster.run(20 * MS);
    let still_queued = cluster.messages.iter().filter(|(_, (_, to, _))| *to == frozen).count();
    assert_eq!(still_queued, 0, "it has read all queued messages");
    assert_eq!(cluster.nodes[frozen].quorum_contact(), contact);
    assert!(!cluster.nodes[frozen].hears_leader(cluster.now, 375 * MS));
    cluster.cut_off.clear();
    cluster.run(2 * SECOND);
    assert!(cluster.contact_age(frozen) < 1_200 * MS);
}
