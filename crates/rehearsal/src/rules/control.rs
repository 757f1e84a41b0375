//! Rules on control nodes: one leader a term, answers in time, no node left behind.

use std::collections::BTreeMap;

use types::{MS, Micros};

use super::configuration::orders;
use super::{Broken, Late, Rule, Terms, broken, later_than};
use crate::seen::{Seen, What};
use crate::touch::Touch;

/// At most one leader a term.
pub(super) fn leader(log: &[Seen], _: &Terms) -> Option<Broken> {
    let mut leaders: BTreeMap<u64, (usize, u64)> = BTreeMap::new();
    for seen in log {
        if let What::Leads { term, machine, life } = seen.what {
            let first = *leaders.entry(term).or_insert((machine, life));
            if first != (machine, life) {
                let what = format!("machines {} and {machine} lead in term {term}", first.0);
                return broken(Rule::Leader, seen.at, what);
            }
        }
    }
    None
}

/// By each order that ought to have an answer, how long it took; of drains in the same way, apart.
pub(super) fn waits(log: &[Seen], terms: &Terms) -> (Vec<Late>, Vec<Late>, usize) {
    let touch = Touch::of(log, terms.contact);
    let end = log.last().map_or(0, |last| last.at);
    let (mut open, mut leaving) = (BTreeMap::new(), BTreeMap::new());
    let (mut orders, mut drains, mut left) = (Vec::new(), Vec::new(), 0);
    // The wait counts as far as all is calm from the order on.
    let wait = |from: Micros, to: Micros, what: String, list: &mut Vec<Late>| {
        if touch.calm(from, to.min(from + terms.ack + 1)) {
            list.push((to - from, to, what));
        }
    };
    for seen in log {
        match seen.what {
            What::Sent { order, valid: true, .. } => drop(open.insert((0, order as usize, 0), seen.at)),
            What::Acked { order, .. } | What::Denied { order, .. } => {
                if let Some(at) = open.remove(&(0, order as usize, 0)) {
                    wait(at, seen.at, format!("order {order} has no answer in time"), &mut orders);
                }
            }
            What::Ordered { service, version, .. } => drop(open.insert((1, service, version), seen.at)),
            What::OrderAcked { service, version } | What::OrderDenied { service, version } => {
                if let Some(at) = open.remove(&(1, service, version)) {
                    let what =
                        format!("the roll-out of service {service} to v{version} has no answer in time");
                    wait(at, seen.at, what, &mut orders);
                }
            }
            What::Leaving { instance } => {
                left += 1;
                leaving.insert(instance, seen.at);
            }
            What::DrainAcked { instance, .. } => {
                if let Some(at) = leaving.remove(&instance) {
                    wait(
                        at,
                        seen.at,
                        format!("instance {instance}'s drain has no answer in time"),
                        &mut drains,
                    );
                }
            }
            _ => {}
        }
    }
    for ((kind, number, version), at) in open {
        let what = format!("order {number} of kind {kind}, v{version:x}, has no answer at all");
        wait(at, end, what, &mut orders);
    }
    for (instance, at) in leaving {
        wait(at, end, format!("instance {instance}'s drain has no answer at all"), &mut drains);
    }
    (orders, drains, left)
}

/// In a calm stretch each proper order has its answer within `AckS`, and of the drains all but a fifth, three at
/// least.
pub(super) fn unanswered(log: &[Seen], terms: &Terms) -> Option<Broken> {
    let (orders, drains, left) = waits(log, terms);
    if let Some(found) = later_than(Rule::Unanswered, orders, terms.ack) {
        return Some(found);
    }
    let late: Vec<Late> = drains.into_iter().filter(|(by, ..)| *by > terms.ack).collect();
    if late.len() >= 3 && late.len() * 5 > left {
        later_than(Rule::Unanswered, late, terms.ack)
    } else {
        None
    }
}

/// The longest that a caller of control waited at a machine that ran all the while.
pub fn worst_answer(log: &[Seen]) -> Micros {
    let waits = log.iter().filter_map(|seen| match seen.what {
        What::Waited { took, .. } => Some(took),
        _ => None,
    });
    waits.max().unwrap_or(0)
}

/// Each call that reaches a machine that runs has its answer before the caller leaves, whatever the machine is cut
/// off from.
pub(super) fn answered(log: &[Seen], terms: &Terms) -> Option<Broken> {
    log.iter().find_map(|seen| match seen.what {
        What::Waited { machine, took } if took > terms.answer => {
            let what = format!("machine {machine} holds a call for {} ms", took / MS);
            broken(Rule::Answered, seen.at, what)
        }
        _ => None,
    })
}

/// A core machine that has been well for `ContactS` and `CatchUpS` has what was acknowledged before.
pub(super) fn lagging(log: &[Seen], terms: &Terms) -> Option<Broken> {
    let span = terms.contact + terms.catch_up;
    let touch = Touch::of(log, span);
    let orders = orders(log);
    let mut acked: Vec<(Micros, u32)> = Vec::new();
    for seen in log {
        match seen.what {
            What::Acked { order, .. } => acked.extend(orders.get(&order).map(|order| (seen.at, order.1))),
            What::Stands { machine, version } if touch.machine(machine, seen.at) => {
                let known = acked.iter().filter(|(at, _)| at + span < seen.at).map(|(_, version)| *version);
                let known = known.max().unwrap_or(0);
                if version < known {
                    let what = format!("machine {machine} stands at version {version:x} of {known:x}");
                    return broken(Rule::Behind, seen.at, what);
                }
            }
            _ => {}
        }
    }
    None
}
