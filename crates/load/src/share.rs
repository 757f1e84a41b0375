//! Shares of the instances: which gateways may hold connections to which instances, where there are not enough for
//! all. Every gateway works it out alike, from the list of gateways; no messages.

use types::NodeAddress;

/// Of the connections that an instance accepts, what gateways use: the rest is for lists that differ between
/// gateways for a moment, for machines that lost power and for what instances refuse while their queue is long.
const USED: f64 = 0.85;

/// How many gateways may use one instance, and how many connections each of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionShare {
    pub max_gateways: usize,
    pub connections_per_gateway: usize,
}

impl ConnectionShare {
    /// For an instance that accepts `accepts` connections from all callers together.
    pub fn new(accepts: u32, gateways: usize) -> ConnectionShare {
        let used = ((f64::from(accepts) * USED) as usize).max(1);
        let gateways = gateways.max(1);
        ConnectionShare {
            max_gateways: gateways.min(used),
            connections_per_gateway: (used / gateways).max(1),
        }
    }

    /// How many gateways come before `own` at an instance, as [`ConnectionShare::usable`] takes it. Where every gateway
    /// may use every instance the order does not matter, and 0 saves ranking all gateways at each instance.
    pub fn gateways_ahead(&self, own: NodeAddress, gateways: &[NodeAddress], instance: &str) -> usize {
        if gateways.len() <= self.max_gateways { 0 } else { gateways_ahead(own, gateways, instance) }
    }

    /// Of a service's instances, those that a gateway may use, by how many gateways come before it at each:
    /// where it is among the first. One that is so nowhere uses the one where the fewest come before it, within
    /// what instances accept beyond `USED`. Guards against a gateway that no instance has a place for, where
    /// instances are few.
    pub fn usable_instances(&self, before: &[usize]) -> Vec<bool> {
        let mut usable: Vec<bool> = before.iter().map(|before| *before < self.max_gateways).collect();
        if !usable.contains(&true)
            && let Some(nearest) = (0..before.len()).min_by_key(|at| before[*at])
        {
            usable[nearest] = true;
        }
        usable
    }
}

/// How many gateways come before `own` at an instance: those that a hash of both names ranks higher. A gateway
/// more or less moves only its own places.
pub fn gateways_ahead(own: NodeAddress, gateways: &[NodeAddress], instance: &str) -> usize {
    let named = fold(START, instance.as_bytes());
    let rank = |place: NodeAddress| (mix(named, place), place);
    let first = rank(own);
    gateways.iter().filter(|place| rank(**place) > first).count()
}

/// Where FNV-1a begins.
pub(crate) const START: u64 = 0xcbf2_9ce4_8422_2325;

/// FNV-1a.
pub(crate) fn fold(hash: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(hash, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3))
}

/// FNV-1a over both names, `named` that of the instance.
fn mix(named: u64, place: NodeAddress) -> u64 {
    stir(fold(named, &place.0.octets()))
}

/// A last stir, so that near names and addresses differ in all bits.
pub(crate) fn stir(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^ (hash >> 29)
}
