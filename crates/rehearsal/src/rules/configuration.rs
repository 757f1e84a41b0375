//! Rules on the configuration: what was acknowledged holds, and no other version is in force.

use std::collections::{BTreeMap, BTreeSet};

use types::Micros;

use super::{Broken, Late, Rule, Terms, broken, later_than};
use crate::seen::{Seen, What};
use crate::touch::Touch;

/// Orders as they were sent: base, version, valid.
pub(super) fn orders(log: &[Seen]) -> BTreeMap<u32, (u32, u32, bool)> {
    let sent = log.iter().filter_map(|seen| match seen.what {
        What::Sent { order, base, version, valid, .. } => Some((order, (base, version, valid))),
        _ => None,
    });
    sent.collect()
}

/// What was acknowledged is read back by everyone who asks after it, and is right; so are roll-outs.
pub(super) fn lost(log: &[Seen], _: &Terms) -> Option<Broken> {
    let orders = orders(log);
    let mut newest: Vec<(Micros, u32)> = vec![(0, 0)];
    for seen in log {
        match &seen.what {
            What::Acked { order, .. } => {
                let version = orders.get(order).map_or(0, |order| order.1);
                let most = newest.last().map_or(0, |last| last.1).max(version);
                newest.push((seen.at, most));
            }
            What::Read { asked, version, right } => {
                let known = newest.iter().rev().find(|(at, _)| at < asked).map_or(0, |known| known.1);
                if *version < known {
                    let what = format!("version {version:x} was read, {known:x} had been acknowledged");
                    return broken(Rule::Lost, seen.at, what);
                }
                if !right {
                    return broken(Rule::Lost, seen.at, format!("version {version:x} is not what was sent"));
                }
            }
            What::Unread => return broken(Rule::Lost, seen.at, "nothing could be read back".into()),
            What::RolloutLost { service, version } => {
                let what = format!("the roll-out of service {service} to v{version} is not known any more");
                return broken(Rule::Lost, seen.at, what);
            }
            _ => {}
        }
    }
    None
}

/// Of the changes on one base, one is acknowledged, and none that was refused before. (`repeat` looks at the other
/// way round.)
pub(super) fn winner(log: &[Seen], _: &Terms) -> Option<Broken> {
    let orders = orders(log);
    let mut winners: BTreeMap<u32, u32> = BTreeMap::new();
    let mut denied = BTreeSet::new();
    for seen in log {
        match seen.what {
            What::Acked { order, .. } => {
                let Some((base, ..)) = orders.get(&order) else { continue };
                let first = *winners.entry(*base).or_insert(order);
                if first != order {
                    let what = format!("orders {first} and {order} were both acknowledged on base {base:x}");
                    return broken(Rule::Winner, seen.at, what);
                }
                if denied.contains(&order) {
                    return broken(Rule::Winner, seen.at, format!("order {order} was refused before"));
                }
            }
            What::Denied { order, .. } => drop(denied.insert(order)),
            _ => {}
        }
    }
    None
}

/// Nothing invalid, refused or never sent is acknowledged or in force.
pub(super) fn invalid(log: &[Seen], _: &Terms) -> Option<Broken> {
    let orders = orders(log);
    let by_version: BTreeMap<u32, u32> =
        orders.iter().filter(|(_, order)| order.2).map(|(number, order)| (order.1, *number)).collect();
    let mut denied = BTreeSet::new();
    for seen in log {
        match seen.what {
            What::Acked { order, .. } if orders.get(&order).is_some_and(|order| !order.2) => {
                return broken(Rule::Invalid, seen.at, format!("order {order} is invalid and was taken"));
            }
            What::Denied { order, .. } => {
                denied.insert(order);
            }
            What::Handled { version, foyer, .. } if version > 0 => match by_version.get(&version) {
                None => {
                    let what = format!("version {version:x}, in force at {foyer}, is nobody's");
                    return broken(Rule::Invalid, seen.at, what);
                }
                Some(order) if denied.contains(order) => {
                    let what = format!("version {version:x}, in force at {foyer}, was refused");
                    return broken(Rule::Invalid, seen.at, what);
                }
                Some(_) => {}
            },
            _ => {}
        }
    }
    None
}

/// No foyer goes back within a life.
pub(super) fn back(log: &[Seen], _: &Terms) -> Option<Broken> {
    let mut newest: BTreeMap<(usize, u64), u32> = BTreeMap::new();
    for seen in log {
        if let What::Handled { foyer, life, version, .. } = seen.what {
            let last = newest.entry((foyer, life)).or_insert(version);
            if version < *last {
                let what = format!("foyer {foyer} goes by version {version:x} after {last:x}");
                return broken(Rule::Back, seen.at, what);
            }
            *last = version;
        }
    }
    None
}

/// By each request that a foyer in touch handled by an older version than was acknowledged: how long after.
pub(super) fn behind(log: &[Seen], terms: &Terms) -> Vec<Late> {
    let touch = Touch::of(log, terms.contact);
    let orders = orders(log);
    let mut acked: Vec<(Micros, u32)> = Vec::new();
    let mut late = Vec::new();
    for seen in log {
        match seen.what {
            What::Acked { order, .. } => acked.extend(orders.get(&order).map(|order| (seen.at, order.1))),
            What::Handled { foyer, version, sent, .. } => {
                let newer = acked.iter().filter(|(at, known)| *at < sent && version < *known);
                let Some((at, known)) = newer.min() else { continue };
                if touch.machine(foyer, seen.at) {
                    let what = format!(
                        "foyer {foyer} in touch goes by version {version:x}, {known:x} was acknowledged before"
                    );
                    late.push((sent - at, seen.at, what));
                }
            }
            _ => {}
        }
    }
    late
}

/// In touch, a request sent `ConfigApplyS` after an acknowledgement is handled by that version or a later one.
pub(super) fn applied(log: &[Seen], terms: &Terms) -> Option<Broken> {
    later_than(Rule::Applied, behind(log, terms), terms.apply)
}

/// A proper change on top of the newest acknowledged version is not refused where nobody sent another one on it.
pub(super) fn newest(log: &[Seen], _: &Terms) -> Option<Broken> {
    let orders = orders(log);
    let mut acked = BTreeSet::new();
    // Proper ones with their bases, and how many were sent on each base so far.
    let (mut proper, mut sent): (BTreeMap<u32, u32>, BTreeMap<u32, usize>) = Default::default();
    for seen in log {
        match seen.what {
            What::Sent { order, base, valid: true, .. } => {
                let newest = acked.last().copied().unwrap_or(0);
                if base == newest {
                    proper.insert(order, base);
                }
                *sent.entry(base).or_default() += 1;
            }
            What::Acked { order, .. } => {
                // What it is told from here on is `repeat`'s.
                proper.remove(&order);
                acked.extend(orders.get(&order).map(|order| order.1));
            }
            What::Denied { order, status } if proper.get(&order).is_some_and(|base| sent[base] == 1) => {
                let what = format!("order {order}, alone on the newest version, is refused with {status}");
                return broken(Rule::Newest, seen.at, what);
            }
            _ => {}
        }
    }
    None
}

/// What was acknowledged, or was seen in force, is not refused when it is sent again.
pub(super) fn repeat(log: &[Seen], _: &Terms) -> Option<Broken> {
    let orders = orders(log);
    let (mut acked, mut in_force, mut trials) = (BTreeSet::new(), BTreeSet::new(), BTreeSet::new());
    for seen in log {
        match seen.what {
            What::Acked { order, .. } => drop(acked.insert(order)),
            What::Handled { version, .. } | What::Read { version, .. } => drop(in_force.insert(version)),
            What::Denied { order, status } => {
                let taken = orders.get(&order).is_some_and(|order| order.2 && in_force.contains(&order.1));
                if taken || acked.contains(&order) {
                    let what = format!("order {order} was taken, and then refused with {status}");
                    return broken(Rule::Repeat, seen.at, what);
                }
            }
            What::OrderAcked { service, version } => drop(trials.insert((service, version))),
            What::OrderDenied { service, version } if trials.contains(&(service, version)) => {
                let what =
                    format!("the roll-out of service {service} to v{version} was taken, and then refused");
                return broken(Rule::Repeat, seen.at, what);
            }
            _ => {}
        }
    }
    None
}

/// A foyer that becomes ready while most of the core is well has what was acknowledged `ContactS` before.
pub(super) fn stale(log: &[Seen], terms: &Terms) -> Option<Broken> {
    let touch = Touch::of(log, terms.contact);
    let orders = orders(log);
    let mut acked: Vec<(Micros, u32)> = Vec::new();
    for seen in log {
        match seen.what {
            What::Acked { order, .. } => acked.extend(orders.get(&order).map(|order| (seen.at, order.1))),
            What::Ready { foyer, version, .. } => {
                let from = seen.at - terms.contact;
                let known = acked.iter().filter(|(at, _)| *at < from).map(|(_, version)| *version).max();
                if known.is_some_and(|known| version < known) && touch.majority(from, seen.at) {
                    let what = format!("foyer {foyer} is ready by version {version:x}, which is old");
                    return broken(Rule::Stale, seen.at, what);
                }
            }
            _ => {}
        }
    }
    None
}
