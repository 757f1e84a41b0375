//! Shares: which of a sorted list's places a node serves where the served ones can't choose.

use crate::Place;

/// The places of `served` that are `own`'s: each belongs to so many of the nodes, the next ones in order. All that know the
/// same nodes and places come to the same shares; where their views differ, a place may be nobody's, so that nothing with
/// a bound in time may rest on shares alone. Both lists are sorted; `others` are the nodes beside `own`.
pub fn share(own: Place, others: &[Place], served: &[Place], owners: usize) -> Vec<Place> {
    let rank = others.iter().filter(|place| **place < own).count();
    let nodes = others.len() + 1;
    let mine = |at: usize| (0..owners.min(nodes)).any(|owner| (at + owner) % nodes == rank);
    served.iter().enumerate().filter(|(at, _)| mine(*at)).map(|(_, place)| *place).collect()
}
