//! Summaries of the servers, which are computed from the state for each selection and not kept.

use std::collections::BTreeMap;

use crate::host::{BuildNo, Condition, Micros, ProfileId, ServerId, ServerInfo, ZoneId};

use super::requests::Server;

/// What all servers are compared by, computed once for each selection.
pub struct FleetView {
    pub now: Micros,
    /// Samples of a server count for so long.
    pub sample_window: Micros,
    /// How long a server may answer nothing while an attempt is in flight.
    pub max_silence: Micros,
    /// The usual latency of each profile that has one.
    pub usual_latencies: BTreeMap<ProfileId, Micros>,
    /// How long machines warm up.
    pub warmup: Micros,
    /// The share of its capacity that a machine surely has at its start.
    pub cold_capacity: f64,
    /// The zone of this gateway.
    pub own_zone: Option<ZoneId>,
    /// Cost factor of servers in other zones.
    pub crossing_factor: f64,
    /// The mean slowness of the servers in each zone, in usual latencies.
    pub zone_slowness: BTreeMap<ZoneId, f64>,
}

impl FleetView {
    /// The usual latency of a profile, if it has one.
    pub fn usual_latency(&self, profile: ProfileId) -> Option<Micros> {
        self.usual_latencies.get(&profile).copied()
    }
}

/// Whether a build counts as on trial, and whether the request may go to it.
#[derive(Clone, Copy, Default)]
pub struct BuildPermission {
    pub on_trial: bool,
    pub allowed: bool,
}

/// The healthy servers of one zone and build.
#[derive(Clone, Copy, Default)]
pub struct ServerGroup {
    pub size: usize,
    /// Servers that the selection has passed so far.
    pub passed: usize,
}

/// Sums over the listed servers, for the selection of one for a request.
#[derive(Default)]
pub struct FleetTotals {
    pub builds: BTreeMap<BuildNo, BuildPermission>,
    pub groups: BTreeMap<(ZoneId, BuildNo), ServerGroup>,
    /// Sum of the warmth of the healthy servers.
    pub healthy: f64,
    /// The same of those whose build is on trial.
    pub on_trial: f64,
    /// Present capacity of all listed servers.
    pub capacity: f64,
    /// The same of the healthy ones whose build the request may go to.
    pub allowed_capacity: f64,
}

impl FleetTotals {
    /// Counts a healthy server, whose capacity has been counted already.
    pub(super) fn add_healthy(&mut self, server: &Server, permission: BuildPermission, warmth: f64) {
        self.groups.entry((server.info.zone, server.info.build)).or_default().size += 1;
        self.healthy += warmth;
        self.on_trial += if permission.on_trial { warmth } else { 0.0 };
        self.allowed_capacity += if permission.allowed { server.info.capacity * warmth } else { 0.0 };
    }

    /// The position of the next healthy server in its group and the part that one server is, both as
    /// fractions of the group. Servers must be passed in order, each one once; `None` for one that is in no
    /// group.
    pub fn next_position(&mut self, info: &ServerInfo) -> Option<(f64, f64)> {
        let group = self.groups.get_mut(&(info.zone, info.build))?;
        if info.condition != Condition::Healthy {
            return None;
        }
        group.passed += 1;
        Some((group.passed as f64 / group.size as f64, 1.0 / group.size as f64))
    }
}

/// A part of the servers of each group, from a start on, both as fractions of the group.
#[derive(Clone, Copy)]
pub struct Subset {
    pub start: f64,
    pub size: f64,
}

impl Subset {
    /// All servers.
    pub const ALL: Subset = Subset { start: 0.0, size: 1.0 };

    /// Whether a position is in the subset, which is at least as large as one server.
    pub fn contains(self, position: f64, one_server: f64) -> bool {
        let distance = position - self.start;
        distance - distance.floor() < self.size.max(one_server)
    }
}

/// A server that a request may go to.
#[derive(Clone, Copy)]
pub struct Candidate {
    /// The least is the best: whether it backs off, is not of the drawn build and is too late, then its cost.
    pub order: ((bool, bool, bool), f64),
    pub server: ServerId,
    /// How long the attempt is expected to take.
    pub expected: Micros,
    pub too_late: bool,
}

/// The share of its target latency that an attempt took.
#[derive(Clone, Copy)]
pub struct LatencyShare {
    /// The zone of the server, if it is known.
    pub zone: Option<ZoneId>,
    pub share: f64,
    /// The server answered, if only to reject the request.
    pub answered: bool,
}

impl LatencyShare {
    pub fn answered(zone: impl Into<Option<ZoneId>>, share: f64) -> LatencyShare {
        LatencyShare { zone: zone.into(), share, answered: true }
    }

    pub fn unanswered(zone: impl Into<Option<ZoneId>>, share: f64) -> LatencyShare {
        LatencyShare { zone: zone.into(), share, answered: false }
    }
}

/// The latency shares of recent attempts.
pub struct LatencyShares(pub Vec<LatencyShare>);

impl LatencyShares {
    /// The shares of the attempts, answered or not, in a zone and in unknown ones, or in all.
    fn of(&self, zone: Option<ZoneId>, answered: bool) -> Vec<f64> {
        let here = |other: Option<ZoneId>| other.is_none() || zone.is_none() || other == zone;
        let chosen = self.0.iter().filter(|one| here(one.zone) && one.answered == answered);
        chosen.map(|one| one.share).collect()
    }

    /// The mean share in a zone, or in all, of at least `min_count` attempts. Those without an answer count
    /// up to a limit, which depends on the sum and the number of those with one.
    pub fn mean(
        &self, zone: Option<ZoneId>, min_count: usize, limit: impl Fn(f64, usize) -> f64,
    ) -> Option<f64> {
        let [answered, unanswered] = [true, false].map(|answered| self.of(zone, answered));
        let sum = answered.iter().sum::<f64>();
        let limit = limit(sum, answered.len());
        let sum = unanswered.iter().fold(sum, |sum, share| sum + share.min(limit));
        let count = answered.len() + unanswered.len();
        (count >= min_count).then(|| sum / count as f64)
    }
}
