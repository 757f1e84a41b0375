//! Parts (digests of an intent): the ordered configuration and roll-outs cut into six parts, each with a sum
//! over its routes, so that two intents compare part by part and range by range. What a request's handling
//! shows of an intent is an `Act`, and `Row::chance` tells how likely it is under one.

use configuration::{Configuration, Route, RouteKind};
use control_state::Rollout;
use serde::{Deserialize, Serialize};
use types::LogIndex;

use crate::mix;

/// Ranges of routes that are compared on their own; 310 routes make 20 in each.
pub const RANGES: usize = 16;

/// What an intent consists of. An older limit is not an older priority.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Part {
    /// Which routes there are, and which services each goes to.
    Routes,
    /// Which of two waiting requests goes first.
    Priorities,
    /// What may run at most once.
    Kinds,
    /// Time-outs, aims, attempts, sizes, connections.
    Limits,
    /// Weights between a route's services.
    Splits,
    /// Versions on trial, in service, sent back.
    Verdicts,
}

impl Part {
    pub const COUNT: usize = 6;
    pub const ALL: [Part; Part::COUNT] =
        [Part::Routes, Part::Priorities, Part::Kinds, Part::Limits, Part::Splits, Part::Verdicts];
}

/// A route by its host and prefix, alike at all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RouteKey(pub u64);

/// A service, or a version of one, by its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServiceKey(pub u32);

impl RouteKey {
    /// The limits and services that hold for all routes stand in a row of this key.
    pub const ALL: RouteKey = RouteKey(0);

    pub fn of(host: &str, prefix: &str) -> RouteKey {
        RouteKey(mix(hash(host.as_bytes()), hash(prefix.as_bytes())).max(1))
    }

    pub fn range(self) -> usize {
        (self.0 >> 60) as usize % RANGES
    }
}

impl ServiceKey {
    pub fn of(name: &str) -> ServiceKey {
        ServiceKey(hash(name.as_bytes()) as u32)
    }
}

/// A sum for each part; equal sums are taken as equal parts (a fault passes with one in 2^64, as each row is
/// mixed before it is added).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest(pub [u64; Part::COUNT]);

impl Digest {
    pub fn root(&self) -> u64 {
        self.0.iter().fold(1, |root, sum| mix(root, *sum))
    }

    /// The parts in which two intents differ.
    pub fn differing(&self, other: &Digest) -> impl Iterator<Item = Part> {
        let pairs = self.0.into_iter().zip(other.0).zip(Part::ALL);
        pairs.filter(|((one, two), _)| one != two).map(|(_, part)| part)
    }
}

/// What an intent wants of one route's requests, with the row's sums by part.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    pub key: RouteKey,
    sums: [u64; Part::COUNT],
    rank: u32,
    kind: u8,
    limits: u32,
    weights: u32,
    /// Those with a weight over 0, and their shares.
    targets: Vec<(ServiceKey, f64)>,
}

/// How one request was handled, as far as it was seen from outside.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Act {
    /// Answered as having no route.
    Gone,
    /// Handled by the route's row.
    Found,
    /// Went to an instance of this service.
    Service(ServiceKey),
    Rank(u32),
    Kind(u8),
    Limits(u32),
    /// A sum over the row's services, and over their weights.
    Targets(u32),
    Weights(u32),
    /// Left the queue before a waiting request of this rank, and was itself no older.
    Before(u32),
}

/// What a probe through the traffic's own path brought back: the row that the request would be handled by,
/// and where it would go. None of it is read from what the node says it runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Took {
    pub service: ServiceKey,
    pub rank: u32,
    pub kind: u8,
    pub limits: u32,
    pub targets: u32,
    pub weights: u32,
}

impl Took {
    /// What a foyer answers to a probe, from the route that its traffic's lookup found.
    pub fn of(route: &Route, service: &str) -> Took {
        let row = targets(route);
        Took {
            service: ServiceKey::of(service),
            rank: route.priority,
            kind: kind(route.kind),
            limits: limits(route) as u32,
            targets: services(&row) as u32,
            weights: weights(&row) as u32,
        }
    }

    /// All that it shows.
    pub fn acts(took: Option<Took>) -> impl Iterator<Item = Act> {
        let acts = match took {
            None => [Some(Act::Gone), None, None, None, None, None, None],
            Some(Took { service, rank, kind, limits, targets, weights }) => [
                Some(Act::Found),
                Some(Act::Service(service)),
                Some(Act::Rank(rank)),
                Some(Act::Kind(kind)),
                Some(Act::Limits(limits)),
                Some(Act::Targets(targets)),
                Some(Act::Weights(weights)),
            ],
        };
        acts.into_iter().flatten()
    }
}

impl Row {
    fn of(key: RouteKey, route: &Route) -> Row {
        let targets = targets(route);
        let salted = |part: u64, value: u64| mix(mix(key.0, part), value);
        let weights = weights(&targets);
        let limits = limits(route);
        let sums = [
            salted(0, services(&targets)),
            salted(1, route.priority.into()),
            salted(2, kind(route.kind).into()),
            salted(3, limits),
            salted(4, weights),
            0,
        ];
        let (rank, kind) = (route.priority, kind(route.kind));
        Row { key, sums, rank, kind, limits: limits as u32, weights: weights as u32, targets }
    }

    /// Of which part `act` tells, in the light of this row.
    pub fn part(row: Option<&Row>, act: Act) -> Part {
        match act {
            Act::Gone | Act::Found | Act::Targets(_) => Part::Routes,
            Act::Service(service) => {
                let known = row.is_some_and(|row| row.targets.iter().any(|target| target.0 == service));
                if known { Part::Splits } else { Part::Routes }
            }
            Act::Rank(_) | Act::Before(_) => Part::Priorities,
            Act::Kind(_) => Part::Kinds,
            Act::Limits(_) => Part::Limits,
            Act::Weights(_) => Part::Splits,
        }
    }

    /// How likely `act` is where `row` is in force; none where the row says nothing of it.
    pub fn chance(row: Option<&Row>, act: Act) -> Option<f64> {
        let sure = |holds: bool| Some(f64::from(u8::from(holds)));
        match (row, act) {
            (row, Act::Gone) => sure(row.is_none()),
            (row, Act::Found) => sure(row.is_some()),
            (None, _) => None,
            (Some(row), Act::Service(service)) => {
                Some(row.targets.iter().find(|target| target.0 == service).map_or(0.0, |target| target.1))
            }
            (Some(row), Act::Rank(rank)) => sure(row.rank == rank),
            (Some(row), Act::Before(rank)) => sure(row.rank <= rank),
            (Some(row), Act::Kind(kind)) => sure(row.kind == kind),
            (Some(row), Act::Limits(limits)) => sure(row.limits == limits),
            (Some(row), Act::Targets(targets)) => sure(services(&row.targets) as u32 == targets),
            (Some(row), Act::Weights(weights)) => sure(row.weights == weights),
        }
    }
}

/// One ordered intent: what all nodes in touch have to do once it is committed.
#[derive(Clone, Debug, PartialEq)]
pub struct Intent {
    pub index: LogIndex,
    pub digest: Digest,
    /// Sorted by key.
    rows: Vec<Row>,
}

impl Intent {
    /// Reads an intent back from a bill and the roll-outs. For `Held` it must be handed those that the
    /// traffic
    /// uses at that moment, not those that were received.
    pub fn read<'a>(
        index: LogIndex, bill: &Configuration, rollouts: impl Iterator<Item = &'a Rollout>,
    ) -> Intent {
        let routes = bill.routes.values();
        let mut rows: Vec<Row> =
            routes.map(|route| Row::of(RouteKey::of(&route.host, &route.path_prefix), route)).collect();
        rows.push(Intent::common(bill, rollouts));
        rows.sort_by_key(|row| row.key);
        Intent { index, digest: digest(&rows), rows }
    }

    /// What holds for all routes: limits, services, roll-outs.
    fn common<'a>(bill: &Configuration, rollouts: impl Iterator<Item = &'a Rollout>) -> Row {
        let most = &bill.limits;
        let times = [most.header_timeout, most.idle_timeout].map(|time| time as u64);
        let all = [most.max_header_bytes, most.max_body_bytes, times[0], times[1]];
        let mut limits = all.iter().fold(1, |sum, value| mix(sum, *value));
        for service in bill.services.values() {
            let name = mix(hash(service.name.as_bytes()), hash(service.health_path.as_bytes()));
            limits = limits.wrapping_add(mix(name, service.max_connections.into()));
        }
        let mut verdicts = 0u64;
        for rollout in rollouts {
            let current = rollout.current_version.as_deref().map_or(0, |name| hash(name.as_bytes()));
            let state = rollout.state.map_or(0, |state| 1 + state as u64);
            let versions = mix(current, hash(rollout.target_version.as_bytes()));
            let which = mix(hash(rollout.service.as_bytes()), u64::from(rollout.build_number) << 3 | state);
            verdicts = verdicts.wrapping_add(mix(which, versions));
        }
        let sums = [0, 0, 0, mix(3, limits), 0, mix(5, verdicts)];
        let key = RouteKey::ALL;
        Row { key, sums, rank: 0, kind: 0, limits: limits as u32, weights: 0, targets: Vec::new() }
    }

    pub fn row(&self, key: RouteKey) -> Option<&Row> {
        self.rows.binary_search_by_key(&key, |row| row.key).ok().map(|at| &self.rows[at])
    }

    /// The routes, without the common row.
    pub fn routes(&self) -> impl ExactSizeIterator<Item = RouteKey> {
        self.rows.iter().skip(1).map(|row| row.key)
    }

    /// The sums of one range: where two intents differ, only ranges that differ need be told.
    pub fn range(&self, range: usize) -> Digest {
        digest(self.rows.iter().filter(|row| row.key.range() == range))
    }

    /// What `Held::sums` must be for this nonce.
    pub fn salted(&self, nonce: u64) -> [u32; Part::COUNT] {
        let mut sums = [0u32; Part::COUNT];
        for row in &self.rows {
            for (sum, own) in sums.iter_mut().zip(row.sums) {
                *sum = sum.wrapping_add(mix(own, nonce) as u32);
            }
        }
        sums
    }

    /// The rows that are other than in `next`, as they are here; none for a route that is new there. Both
    /// lists are sorted, so it is one pass.
    pub fn replaced_by(&self, next: &Intent) -> Vec<(RouteKey, Option<Row>)> {
        let (mut old, mut new) = (self.rows.iter().peekable(), next.rows.iter().peekable());
        let mut replaced = Vec::new();
        loop {
            match (old.peek(), new.peek()) {
                (None, None) => return replaced,
                (Some(one), Some(two)) if one.key == two.key => {
                    if one.sums != two.sums {
                        replaced.push((one.key, Some((*one).clone())));
                    }
                    old.next();
                    new.next();
                }
                (Some(one), two) if two.is_none_or(|two| one.key < two.key) => {
                    replaced.push((one.key, Some((*one).clone())));
                    old.next();
                }
                (_, Some(two)) => {
                    replaced.push((two.key, None));
                    new.next();
                }
                (Some(_), None) => unreachable!("the arm above takes it"),
            }
        }
    }
}

fn digest<'a>(rows: impl IntoIterator<Item = &'a Row>) -> Digest {
    let mut digest = Digest::default();
    for row in rows {
        for (sum, own) in digest.0.iter_mut().zip(row.sums) {
            *sum = sum.wrapping_add(mix(own, 7));
        }
    }
    digest
}

fn kind(kind: RouteKind) -> u8 {
    match kind {
        RouteKind::Safe => 0,
        RouteKind::Unsafe => 1,
        RouteKind::Upload => 2,
    }
}

fn limits(route: &Route) -> u64 {
    [route.timeout as u64, route.target_latency as u64, route.max_attempts.into()].into_iter().fold(1, mix)
}

/// The services with a weight over 0, and their shares, by key.
fn targets(route: &Route) -> Vec<(ServiceKey, f64)> {
    let total: f64 = route.targets.iter().map(|target| target.weight).sum();
    let live = route.targets.iter().filter(|target| target.weight > 0.0);
    let mut targets: Vec<(ServiceKey, f64)> =
        live.map(|target| (ServiceKey::of(&target.service), target.weight / total)).collect();
    targets.sort_by_key(|(service, _)| *service);
    targets
}

fn services(targets: &[(ServiceKey, f64)]) -> u64 {
    targets.iter().fold(1, |sum, (service, _)| mix(sum, service.0.into()))
}

fn weights(targets: &[(ServiceKey, f64)]) -> u64 {
    targets.iter().fold(1, |sum, (_, share)| mix(sum, share.to_bits()))
}

/// FNV-1a, mixed.
fn hash(bytes: &[u8]) -> u64 {
    let sum = bytes
        .iter()
        .fold(0xcbf2_9ce4_8422_2325u64, |sum, byte| (sum ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3));
    mix(sum, bytes.len() as u64)
}
