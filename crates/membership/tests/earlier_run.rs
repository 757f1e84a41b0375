//! Messages for an earlier run at an address don't count for the next run there.

use std::net::Ipv4Addr;

use membership::{
    Effect, Event, Incarnation, Member, MemberStatus, Membership, Message, MessageBody, ProbeNumber, Role,
    Timing,
};
use types::{MS, Micros, NodeAddress, NodeVersion, RunId, SECOND};

fn member(node: u8, run_id: u64) -> Member {
    Member {
        address: NodeAddress(Ipv4Addr::new(10, 0, 0, node)),
        run_id: RunId(run_id),
        role: Role::ControlNode,
        zone: "khomas-a".into(),
        name: format!("core-khomas-a-{node}"),
        version: NodeVersion::CURRENT,
    }
}

/// A node with its clock and the effects that were not handled yet.
struct Node {
    membership: Membership,
    now: Micros,
    effects: Vec<Effect>,
}

impl Node {
    fn start(member: Member, seeds: Vec<NodeAddress>, now: Micros) -> Node {
        // All runs use the same random seed, so that they differ in nothing but their ids.
        let (membership, effects) = Membership::start(member, seeds, Timing::default(), 7, now);
        Node { membership, now, effects }
    }

    fn receive(&mut self, from: NodeAddress, message: Message) {
        let effects = self.membership.step(self.now, Event::Received { from, message });
        self.effects.extend(effects);
    }

    fn tick(&mut self, now: Micros) {
        self.now = now;
        let effects = self.membership.step(now, Event::Tick);
        self.effects.extend(effects);
    }

    fn status_of(&self, address: NodeAddress) -> Option<MemberStatus> {
        let mut members = self.membership.members();
        members.find(|(member, _)| member.address == address).map(|(_, status)| status)
    }
}

/// Delivers all messages between two nodes until a time, and returns the numbers of the first one's probes.
fn exchange(one: &mut Node, other: &mut Node, until: Micros) -> Vec<ProbeNumber> {
    let (one_address, other_address) = (one.membership.own().address, other.membership.own().address);
    let mut numbers = Vec::new();
    while one.now < until {
        let now = one.now + 10 * MS;
        one.tick(now);
        other.tick(now);
        while !one.effects.is_empty() || !other.effects.is_empty() {
            for effect in std::mem::take(&mut one.effects) {
                let Effect::Send { to, message } = effect else { continue };
                if let MessageBody::Probe { number, .. } = message.body {
                    numbers.push(number);
                }
                if to == other_address {
                    other.receive(one_address, message);
                }
            }
            for effect in std::mem::take(&mut other.effects) {
                let Effect::Send { to, message } = effect else { continue };
                if to == one_address {
                    one.receive(other_address, message);
                }
            }
        }
    }
    numbers
}

/// If the probe numbers of two runs coincided, late acknowledgements of the first run's probes would hide from the second
/// that a member has died.
#[test]
fn acks_of_an_earlier_run_do_not_delay_suspicion() {
    for run in 0..40 {
        let (restarting, staying) = (member(1, 2 * run + 1), member(2, 1_000_000 + run));
        let (restarting_address, staying_address) = (restarting.address, staying.address);
        let mut stays = Node::start(staying.clone(), vec![restarting_address], 0);
        let mut first = Node::start(restarting, vec![staying_address], 0);
        let numbers = exchange(&mut first, &mut stays, 60 * SECOND);
        assert!(numbers.len() > 100, "{} probes", numbers.len());
        // The node restarts while acknowledgements of its earlier probes are still under way.
        let mut second = Node::start(member(1, 2 * run + 2), vec![staying_address], 60 * SECOND);
        exchange(&mut second, &mut stays, 62 * SECOND);
        assert_eq!(second.status_of(staying_address), Some(MemberStatus::Alive));
        let incarnation = Incarnation(0);
        let from_staying = |body| Message { run_id: staying.run_id, incarnation, body, updates: Vec::new() };
        let mut suspected = None;
        for step in 1..=400 {
            second.tick(62 * SECOND + step * 10 * MS);
            second.effects.clear();
            if second.status_of(staying_address) != Some(MemberStatus::Alive) {
                suspected = Some(step * 10 * MS);
                break;
            }
            // From here on the other node sends nothing: all its acknowledgements, and indirect ones, are of that time.
            for number in &numbers {
                let ack = MessageBody::Ack { number: *number, digest: 0 };
                second.receive(staying_address, from_staying(ack));
                let indirect = MessageBody::IndirectAck { target: staying_address, number: *number };
                second.receive(staying_address, from_staying(indirect));
            }
        }
        let within = 2 * SECOND;
        assert!(suspected.is_some_and(|at| at <= within), "run {run}: suspected after {suspected:?}");
    }
}
