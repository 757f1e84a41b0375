//! Shares of the instances: which gateways may hold connections to which instances, if there are not enough
//! connections for all. Every gateway computes the same result from the list of gateways; no messages are needed.

use types::NodeAddress;

/// The fraction of an instance's connections that gateways use. The rest is for moments in which gateways know
/// different lists, for machines that lost power, and for what instances refuse while their queue is long.
const USED_FRACTION: f64 = 0.85;

/// How many gateways may use one instance, and how many connections each of them may hold to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionShare {
    pub max_gateways: usize,
    pub connections_per_gateway: usize,
}

impl ConnectionShare {
    /// For an instance that accepts `max_connections` from all callers together, and a number of gateways.
    pub fn new(max_connections: u32, gateways: usize) -> ConnectionShare {
        let used = ((f64::from(max_connections) * USED_FRACTION) as usize).max(1);
        let gateways = gateways.max(1);
        ConnectionShare {
            max_gateways: gateways.min(used),
            connections_per_gateway: (used / gateways).max(1),
        }
    }

    /// How many gateways precede `own` at an instance, as [`ConnectionShare::usable_instances`] expects it. If every
    /// gateway may use every instance the order does not matter; 0 then saves ranking all gateways at each instance.
    pub fn gateways_ahead(&self, own: NodeAddress, gateways: &[NodeAddress], instance: &str) -> usize {
        if gateways.len() <= self.max_gateways { 0 } else { gateways_ahead(own, gateways, instance) }
    }

    /// For each of a service's instances, whether a gateway may use it, from the number of gateways that precede it
    /// there: it must be among the first `max_gateways`.
    ///
    /// With few instances, a gateway may be among the first at none of them. It then uses the one where the fewest
    /// precede it, within the connections that instances accept beyond `USED_FRACTION`.
    pub fn usable_instances(&self, gateways_ahead: &[usize]) -> Vec<bool> {
        let mut usable: Vec<bool> = gateways_ahead.iter().map(|ahead| *ahead < self.max_gateways).collect();
        if !usable.contains(&true)
            && let Some(best) = (0..gateways_ahead.len()).min_by_key(|instance| gateways_ahead[*instance])
        {
            usable[best] = true;
        }
        usable
    }
}

/// How many gateways precede `own` at an instance: those with a higher hash of both names (rendezvous hashing). One
/// gateway more or less moves only its own connections.
pub fn gateways_ahead(own: NodeAddress, gateways: &[NodeAddress], instance: &str) -> usize {
    let instance_hash = fnv1a(FNV_OFFSET_BASIS, instance.as_bytes());
    let rank = |gateway: NodeAddress| (pair_hash(instance_hash, gateway), gateway);
    let own_rank = rank(own);
    gateways.iter().filter(|gateway| rank(**gateway) > own_rank).count()
}

pub(crate) const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Continues an FNV-1a hash over more bytes.
pub(crate) fn fnv1a(hash: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(hash, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME))
}

/// Hash of an instance's name and a gateway's address.
fn pair_hash(instance_hash: u64, gateway: NodeAddress) -> u64 {
    finalize(fnv1a(instance_hash, &gateway.0.octets()))
}

/// Final mixing step, so that similar names and addresses differ in all bits.
pub(crate) fn finalize(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^ (hash >> 29)
}
