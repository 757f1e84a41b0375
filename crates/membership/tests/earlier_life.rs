//! Words for an earlier run_id of a address don't count for the next one there.

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

/// A node, its clock, and what it has to say.
struct Node {
    company: Membership,
    now: Micros,
    out: Vec<Effect>,
}

impl Node {
    fn start(member: Member, seeds: Vec<NodeAddress>, now: Micros) -> Node {
        // The same chance in each run_id: only the run_id itself is another.
        let (company, out) = Membership::start(member, seeds, Timing::default(), 7, now);
        Node { company, now, out }
    }

    fn hears(&mut self, from: NodeAddress, message: Message) {
        let more = self.company.step(self.now, Event::Received { from, message });
        self.out.extend(more);
    }

    fn tick(&mut self, now: Micros) {
        self.now = now;
        let more = self.company.step(now, Event::Tick);
        self.out.extend(more);
    }

    fn status(&self, address: NodeAddress) -> Option<MemberStatus> {
        let mut members = self.company.members();
        members.find(|(member, _)| member.address == address).map(|(_, status)| status)
    }
}

/// Lets two nodes body for a while, and tells the numbers of the first one's probes of the other.
fn body(one: &mut Node, other: &mut Node, until: Micros) -> Vec<ProbeNumber> {
    let (at_one, at_other) = (one.company.own().address, other.company.own().address);
    let mut numbers = Vec::new();
    while one.now < until {
        let now = one.now + 10 * MS;
        one.tick(now);
        other.tick(now);
        while !one.out.is_empty() || !other.out.is_empty() {
            for effect in std::mem::take(&mut one.out) {
                let Effect::Send { to, message } = effect else { continue };
                if let MessageBody::Probe { number, .. } = message.body {
                    numbers.push(number);
                }
                if to == at_other {
                    other.hears(at_one, message);
                }
            }
            for effect in std::mem::take(&mut other.out) {
                let Effect::Send { to, message } = effect else { continue };
                if to == at_one {
                    one.hears(at_other, message);
                }
            }
        }
    }
    numbers
}

#[test]
fn answers_to_probes_of_an_earlier_life_hold_up_nobody() {
    for lives in 0..40 {
        let (here, there) = (member(1, 2 * lives + 1), member(2, 1_000_000 + lives));
        let (address, other) = (here.address, there.address);
        let mut stays = Node::start(there.clone(), vec![address], 0);
        let mut first = Node::start(here, vec![other], 0);
        let numbers = body(&mut first, &mut stays, 60 * SECOND);
        assert!(numbers.len() > 100, "{} probes", numbers.len());
        // The address starts again, and what it asked before is still on its way back.
        let mut second = Node::start(member(1, 2 * lives + 2), vec![other], 60 * SECOND);
        body(&mut second, &mut stays, 62 * SECOND);
        assert_eq!(second.status(other), Some(MemberStatus::Alive));
        let incarnation = Incarnation(0);
        let says = |body| Message { run_id: there.run_id, incarnation, body, updates: Vec::new() };
        let mut suspected = None;
        for step in 1..=400 {
            second.tick(62 * SECOND + step * 10 * MS);
            second.out.clear();
            if second.status(other) != Some(MemberStatus::Alive) {
                suspected = Some(step * 10 * MS);
                break;
            }
            // The other says nothing more: all answers, and vouchers of a third, are of that time.
            for number in &numbers {
                second.hears(other, says(MessageBody::Ack { number: *number, digest: 0 }));
                second.hears(other, says(MessageBody::IndirectAck { target: other, number: *number }));
            }
        }
        let within = 2 * SECOND;
        assert!(suspected.is_some_and(|at| at <= within), "lives {lives}: suspected after {suspected:?}");
    }
}
