//! Static assignment: divides the served nodes among the serving nodes, for served nodes that can't choose for themselves.

use crate::NodeAddress;

/// The addresses in `served` that are assigned to `own`. Each address is assigned to `owners` serving nodes (all of them if
/// there are fewer), which are consecutive in the sorted list of `own` and `others`.
///
/// `others` and `served` must be sorted; `others` does not contain `own`. Nodes that know the same two lists compute
/// consistent assignments. While their lists differ, an address may be assigned to nobody, so anything that must happen
/// within a bounded time can't rely on the assignment alone.
pub fn assigned_share(
    own: NodeAddress, others: &[NodeAddress], served: &[NodeAddress], owners: usize,
) -> Vec<NodeAddress> {
    let rank = others.iter().filter(|address| **address < own).count();
    let nodes = others.len() + 1;
    let is_own = |position: usize| (0..owners.min(nodes)).any(|owner| (position + owner) % nodes == rank);
    served.iter().enumerate().filter(|(position, _)| is_own(*position)).map(|(_, address)| *address).collect()
}
