//! A seeded world of nodes: links that lose, delay, are cut and heal; nodes that freeze, die and come back.

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

pub struct World {
    pub now: Micros,
    pub nodes: BTreeMap<usize, Membership>,
    pub frozen: BTreeMap<usize, Micros>,
    /// Nodes are on one side or the other; datagrams between sides are lost while `cut`.
    pub side: BTreeMap<usize, bool>,
    pub cut: bool,
    pub loss: f64,
    pub sent: u64,
    pub changes: Vec<(Micros, usize, NodeAddress, RunId, MemberStatus)>,
    rand: Rand64,
    lives: u64,
    on_the_way: BinaryHeap<Reverse<(Micros, u64)>>,
    letters: BTreeMap<u64, (usize, NodeAddress, Message)>,
    letter: u64,
}

impl World {
    pub fn new(seed: u64, loss: f64) -> World {
        World {
            now: 0,
            nodes: BTreeMap::new(),
            frozen: BTreeMap::new(),
            side: BTreeMap::new(),
            cut: false,
            loss,
            sent: 0,
            changes: Vec::new(),
            rand: Rand64::new(u128::from(seed)),
            lives: 0,
            on_the_way: BinaryHeap::new(),
            letters: BTreeMap::new(),
            letter: 0,
        }
    }

    /// A fleet whose first five are prompters and the first three the seeds.
    pub fn fleet(seed: u64, loss: f64, nodes: usize) -> World {
        let mut world = World::new(seed, loss);
        (1..=nodes).for_each(|node| world.start(node));
        world
    }

    /// Starts a new run_id at a node's address.
    pub fn start(&mut self, node: usize) {
        self.lives += 1;
        let own = Member {
            address: address(node),
            run_id: RunId(self.rand.rand_u64()),
            role: if node <= 5 { Role::ControlNode } else { Role::Gateway },
            zone: "khomas-a".into(),
            name: format!("edge-khomas-a-{node}"),
            version: NodeVersion::CURRENT,
        };
        let seeds = (1..=3).map(address).collect();
        let (company, effects) = Membership::start(own, seeds, Timing::default(), self.lives, self.now);
        self.nodes.insert(node, company);
        self.perform(node, effects);
    }

    pub fn step(&mut self, node: usize, event: Event) {
        let Some(company) = self.nodes.get_mut(&node) else { return };
        let effects = company.step(self.now, event);
        self.perform(node, effects);
    }

    fn perform(&mut self, node: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::StatusChanged { member, status } => {
                    self.changes.push((self.now, node, member.address, member.run_id, status));
                }
                Effect::Send { to, message } => {
                    self.sent += 1;
                    // An upper bound of what the message takes as postcard.
                    let names =
                        message.updates.iter().map(|rumor| rumor.member.zone.len() + rumor.member.name.len());
                    assert!(64 + names.map(|bytes| 23 + bytes).sum::<usize>() <= MESSAGE_BYTES_MAX);
                    let (to, lost) = (to.0.octets()[3] as usize, self.rand.rand_float() < self.loss);
                    let delay = 1_400 + self.rand.rand_range(0..3_000) as Micros;
                    let split = self.cut && self.side.get(&node) != self.side.get(&to);
                    if !lost && !split {
                        self.letter += 1;
                        self.letters.insert(self.letter, (to, address(node), message));
                        self.on_the_way.push(Reverse((self.now + delay, self.letter)));
                    }
                }
            }
        }
    }

    pub fn run(&mut self, time: Micros) {
        let end = self.now + time;
        loop {
            let awake = |(node, company): (&usize, &Membership)| {
                (company.due().max(self.frozen.get(node).copied().unwrap_or(0)), *node)
            };
            let tick = self.nodes.iter().map(awake).min().unwrap_or((Micros::MAX, 0));
            let letter = self.on_the_way.peek().map_or((Micros::MAX, 0), |letter| letter.0);
            let at = tick.0.min(letter.0).max(self.now);
            if at > end {
                self.now = end;
                return;
            }
            self.now = at;
            if letter.0 > tick.0 {
                self.step(tick.1, Event::Tick);
                continue;
            }
            self.on_the_way.pop();
            let Some((to, from, message)) = self.letters.remove(&letter.1) else { continue };
            match self.frozen.get(&to).copied().filter(|until| *until > at) {
                // It waits in the socket until the node runs again.
                Some(until) => {
                    self.letters.insert(letter.1, (to, from, message));
                    self.on_the_way.push(Reverse((until, letter.1)));
                }
                None => self.step(to, Event::Received { from, message }),
            }
        }
    }

    /// Does every node that runs hold exactly the others that run to be alive, in their present lives?
    pub fn agreed(&self) -> bool {
        let lives = |without: usize| -> Vec<(NodeAddress, RunId)> {
            let others = self.nodes.iter().filter(|(node, _)| **node != without);
            others.map(|(_, company)| (company.own().address, company.own().run_id)).collect()
        };
        self.nodes.iter().all(|(node, company)| {
            let alive = company.members().filter(|(_, status)| *status == MemberStatus::Alive);
            let alive: Vec<_> = alive.map(|(member, _)| (member.address, member.run_id)).collect();
            let suspects = company.members().filter(|(_, status)| *status == MemberStatus::Suspect).count();
            suspects == 0 && alive == lives(*node)
        })
    }

    /// Runs until all agree; the time it took, or none within `most`.
    pub fn until_agreed(&mut self, most: Micros) -> Option<Micros> {
        let begun = self.now;
        while self.now - begun < most {
            self.run(50 * MS);
            if self.agreed() {
                return Some(self.now - begun);
            }
        }
        None
    }

    pub fn deaths(&self) -> usize {
        self.changes.iter().filter(|change| change.4 == MemberStatus::Dead).count()
    }
}

#[test]
fn all_find_each_other_and_stay_quiet() {
    for (nodes, loss) in [(15, 0.02), (71, 0.02), (15, 0.1)] {
        let mut world = World::fleet(1, loss, nodes);
        let took = world.until_agreed(10 * SECOND);
        assert!(took.is_some_and(|took| took <= 3 * SECOND), "{nodes} nodes: {took:?}");
        world.run(10 * SECOND);
        let before = world.sent;
        world.run(60 * SECOND);
        let rate = (world.sent - before) as f64 / 60.0 / nodes as f64;
        assert!(rate < if loss < 0.1 { 6.0 } else { 12.0 }, "{nodes} nodes: {rate} messages a second each");
        assert_eq!(world.deaths(), 0, "{nodes} nodes, loss {loss}");
    }
}

#[test]
fn the_dead_are_found_and_forgotten() {
    for nodes in [15, 71] {
        let mut world = World::fleet(2, 0.02, nodes);
        world.run(10 * SECOND);
        world.nodes.remove(&9);
        let took = world.until_agreed(20 * SECOND);
        assert!(took.is_some_and(|took| took < 9 * SECOND), "{nodes}: {took:?}");
        world.run(70 * SECOND);
        let known = world.nodes.values().flat_map(|node| node.members());
        assert_eq!(known.filter(|(member, _)| member.address == address(9)).count(), 0);
    }
}

#[test]
fn a_new_life_replaces_the_old_one_at_once() {
    let mut world = World::fleet(3, 0.05, 15);
    world.run(10 * SECOND);
    for node in [2, 9, 9, 4, 9] {
        world.start(node);
        let took = world.until_agreed(10 * SECOND);
        assert!(took.is_some_and(|took| took < 2 * SECOND), "{node}: {took:?}");
    }
    // Each of the old lives was told to be over, once per node and never brought back.
    for node in 10..=15 {
        let here = world.changes.iter().filter(|change| change.1 == node && change.2 == address(9));
        let alive: Vec<RunId> =
            here.filter(|change| change.4 == MemberStatus::Alive).map(|change| change.3).collect();
        let mut lives = alive.clone();
        lives.dedup();
        assert_eq!(alive, lives);
        assert_eq!(lives.len(), 4);
    }
}

#[test]
fn all_killed_and_back() {
    let mut world = World::fleet(4, 0.02, 30);
    world.run(10 * SECOND);
    world.nodes.clear();
    world.run(SECOND);
    (1..=30).for_each(|node| world.start(node));
    assert!(world.until_agreed(10 * SECOND).is_some_and(|took| took <= 3 * SECOND));
    // All but the foyers: they know the old lives of the prompters, who know nothing.
    (1..=5).for_each(|node| world.start(node));
    let took = world.until_agreed(10 * SECOND);
    assert!(took.is_some_and(|took| took <= 3 * SECOND));
}

#[test]
fn both_sides_of_a_cut_find_each_other_again() {
    for (seed, seconds, nodes) in [(5, 4, 15), (6, 30, 15), (7, 100, 15), (8, 20, 71)] {
        let mut world = World::fleet(seed, 0.02, nodes);
        world.run(10 * SECOND);
        for node in 1..=nodes {
            world.side.insert(node, node % 2 == 0);
        }
        world.cut = true;
        world.run(seconds * SECOND);
        world.cut = false;
        let healed = world.changes.len();
        let took = world.until_agreed(30 * SECOND);
        assert!(took.is_some_and(|took| took < 8 * SECOND), "{seconds} s, {nodes} nodes: {took:?}");
        // None of those that could body all the while was lost in the mending.
        let same_side = |node: usize, other: NodeAddress| node % 2 == other.0.octets()[3] as usize % 2;
        let lost = world.changes[healed..].iter().filter(|change| change.4 == MemberStatus::Dead);
        assert_eq!(lost.filter(|change| same_side(change.1, change.2)).count(), 0);
    }
}

#[test]
fn a_frozen_node_accuses_nobody_and_comes_back() {
    let mut world = World::fleet(9, 0.02, 15);
    world.run(10 * SECOND);
    world.frozen.insert(7, world.now + 12 * SECOND);
    world.run(12 * SECOND);
    assert!(world.changes.iter().any(|change| change.2 == address(7) && change.4 == MemberStatus::Dead));
    assert!(world.until_agreed(10 * SECOND).is_some_and(|took| took < 4 * SECOND));
    world.run(20 * SECOND);
    let accused =
        world.changes.iter().filter(|change| change.2 != address(7) && change.4 == MemberStatus::Dead);
    assert_eq!(accused.count(), 0);
}

#[test]
fn a_starved_node_accuses_nobody_and_is_not_lost() {
    let mut world = World::fleet(12, 0.02, 15);
    world.run(10 * SECOND);
    for _ in 0..120 {
        world.frozen.insert(7, world.now + 450 * MS);
        world.run(500 * MS);
    }
    assert_eq!(world.deaths(), 0);
}

#[test]
fn what_is_held_is_bounded() {
    let own = world_member(0, "here");
    let (mut company, _) = Membership::start(own, vec![address(1)], Timing::default(), 1, 0);
    let from = address(1);
    for number in 1..=1_000 {
        let name = if number % 3 == 0 { "n".repeat(2_000) } else { "there".into() };
        let rumor = MemberUpdate {
            member: world_member(number, &name),
            incarnation: Incarnation(0),
            status: MemberStatus::Alive,
        };
        let message = Message {
            run_id: RunId(7),
            incarnation: Incarnation(0),
            body: MessageBody::Gossip,
            updates: vec![rumor],
        };
        company.step(number as Micros, Event::Received { from, message });
    }
    assert_eq!(company.members().count(), MEMBERS_MAX);
    assert!(company.members().all(|(member, _)| member.name.len() < 100));
}

fn world_member(number: u32, name: &str) -> Member {
    let address = NodeAddress(Ipv4Addr::from(0x0a01_0000 + number));
    let (zone, name, version) = ("z".into(), name.into(), NodeVersion::CURRENT);
    Member { address, run_id: RunId(1), role: Role::Gateway, zone, name, version }
}

#[test]
fn an_orderly_end_is_known_at_once_and_final() {
    let mut world = World::fleet(10, 0.1, 15);
    world.run(10 * SECOND);
    world.step(8, Event::Leave);
    world.run(5 * SECOND);
    for node in (1..=15).filter(|node| *node != 8) {
        let left = world.nodes[&node].members().find(|(member, _)| member.address == address(8));
        assert_eq!(left.map(|(_, status)| status), Some(MemberStatus::Left), "{node}");
    }
    let late = world.changes.iter().filter(|change| change.2 == address(8) && change.4 == MemberStatus::Left);
    assert!(late.map(|change| change.0).max().is_some_and(|at| at < 12 * SECOND));
    world.start(8);
    assert!(world.until_agreed(10 * SECOND).is_some_and(|took| took < 3 * SECOND));
}

#[test]
fn seeds_exchanged_for_others_still_lead_in() {
    let mut world = World::fleet(11, 0.02, 15);
    world.run(10 * SECOND);
    (1..=3).for_each(|node| drop(world.nodes.remove(&node)));
    world.run(5 * SECOND);
    world.start(16);
    world.run(SECOND);
    assert!(!world.agreed());
    world.step(16, Event::Seeds { addresses: vec![address(4), address(5)] });
    assert!(world.until_agreed(10 * SECOND).is_some_and(|took| took < 6 * SECOND));
}
