//! Rules on drains: nothing reaches an instance once its drain is known.

use std::collections::{BTreeMap, BTreeSet};

use types::Micros;

use super::{Broken, Late, Rule, Terms, later_than};
use crate::seen::{Seen, What};
use crate::touch::Touch;

/// By each request that reaches an instance whose drain is acknowledged, by machines in touch: how long after. Of
/// acknowledgements those by machines in touch count, or all.
pub(super) fn after_drains(log: &[Seen], terms: &Terms, by_all: bool) -> Vec<Late> {
    let touch = Touch::of(log, terms.contact);
    let mut acked: BTreeMap<u32, Micros> = BTreeMap::new();
    let mut late = Vec::new();
    for seen in log {
        match seen.what {
            What::DrainAcked { instance, by } if by_all || touch.machine(by, seen.at) => {
                acked.entry(instance).or_insert(seen.at);
            }
            What::Arrived { instance, foyer, request, .. } => {
                let Some(at) = acked.get(&instance) else { continue };
                if touch.machine(foyer, seen.at) {
                    let what =
                        format!("request {request} by foyer {foyer} reaches drained instance {instance}");
                    late.push((seen.at - at, seen.at, what));
                }
            }
            _ => {}
        }
    }
    late
}

/// In touch, nothing reaches an instance `DrainS` after its drain was acknowledged.
pub(super) fn drain(log: &[Seen], terms: &Terms) -> Option<Broken> {
    later_than(Rule::Drain, after_drains(log, terms, false), terms.drain)
}

/// In touch, nothing reaches an instance `DrainS` after anybody acknowledged its drain, cut off or not.
pub(super) fn untold(log: &[Seen], terms: &Terms) -> Option<Broken> {
    let known: BTreeSet<Micros> = after_drains(log, terms, false)
        .into_iter()
        .filter(|(by, ..)| *by > terms.drain)
        .map(|(_, at, _)| at)
        .collect();
    // What those in touch acknowledged is `drain`'s.
    let late = after_drains(log, terms, true).into_iter().filter(|(_, at, _)| !known.contains(at));
    later_than(Rule::Untold, late.collect(), terms.drain)
}
