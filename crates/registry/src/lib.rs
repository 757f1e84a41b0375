//! Registry of service instances: which instances exist, known from their heartbeats. It tracks incarnations,
//! states, warm-up, reused addresses and instances that fall silent. It acknowledges the drain of an instance
//! only once enough other nodes know of it, and it repairs differences between the copies on the nodes by
//! comparing digests over ranges.
//!
//! Sans-I/O: the caller passes in events and the time and carries out the effects.
//!
//! Registry nodes (the control nodes) accept heartbeats; the one that accepted the last heartbeat of an
//! instance owns it. Records travel between nodes when something changed, never for each heartbeat.
//! `docs/registry.md` compares the alternatives and states the guarantees.

mod drains;
mod instance_table;
mod node;

use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};
use types::{CallId, FormatVersion, MS, Micros, NodeAddress, SECOND};

pub use node::Registry;

/// Id that an instance chooses for itself. It names one incarnation: a restarted process has another id.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct InstanceId(pub String);

/// State of one incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum InstanceState {
    InService,
    /// No heartbeat for longer than the silence timeout; a later one puts the instance back in service.
    Silent,
    /// Shutting down. An incarnation never leaves this state except for `Gone`.
    Draining,
    Gone,
}

impl InstanceState {
    /// Whether an incarnation in this state must never get another request.
    pub fn is_leaving(self) -> bool {
        matches!(self, InstanceState::Draining | InstanceState::Gone)
    }
}

/// Timeouts and intervals that depend on the deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// An instance without a heartbeat for longer than this is silent.
    pub silence_timeout: Micros,
    /// A drain that too few others know of within this time is answered with `Effect::Rejected`. It is below
    /// the 1 s for which an instance waits for the answer, with room for the round trip.
    pub drain_ack_timeout: Micros,
    /// A registry node that has had no contact with a majority of the voters for longer sends instances to
    /// another node, early enough for that node to accept them before others declare them silent.
    pub contact_timeout: Micros,
    /// Shortest time between two comparisons with other nodes; random jitter adds up to two thirds.
    pub compare_interval: Micros,
    /// Time between two notices of a drain to nodes that have not acknowledged it, once no caller waits for
    /// it.
    pub drain_resend_interval: Micros,
}

/// The setting `DrainS` that the default intervals satisfy: with them, every reachable node knows of an
/// acknowledged drain within 2 s.
const DEFAULT_DRAIN_LIMIT: Micros = 2_500 * MS;
const DEFAULT_COMPARE_INTERVAL: Micros = 750 * MS;
const DEFAULT_DRAIN_RESEND_INTERVAL: Micros = 300 * MS;

impl Timing {
    /// Timing for instances that send a heartbeat every `heartbeat_interval`: two lost heartbeats and a late
    /// third are tolerated.
    pub fn for_heartbeat_interval(heartbeat_interval: Micros) -> Timing {
        let silence_timeout = heartbeat_interval.saturating_mul(26) / 10 + SECOND / 2;
        Timing {
            silence_timeout,
            drain_ack_timeout: 800 * MS,
            contact_timeout: (silence_timeout / 2).max(2 * SECOND),
            compare_interval: DEFAULT_COMPARE_INTERVAL,
            drain_resend_interval: DEFAULT_DRAIN_RESEND_INTERVAL,
        }
    }

    /// Adapts to a deployment where nothing may be sent to a draining instance later than `drain_limit` after
    /// the drain was acknowledged: the intervals that decide when the last node learns of it shrink in
    /// proportion, to a quarter of the defaults at the least.
    pub fn for_drain_limit(self, drain_limit: Micros) -> Timing {
        let drain_limit = drain_limit.clamp(DEFAULT_DRAIN_LIMIT / 4, DEFAULT_DRAIN_LIMIT);
        let scaled = |interval: Micros| interval * drain_limit / DEFAULT_DRAIN_LIMIT;
        Timing {
            compare_interval: scaled(DEFAULT_COMPARE_INTERVAL),
            drain_resend_interval: scaled(DEFAULT_DRAIN_RESEND_INTERVAL),
            ..self
        }
    }
}

/// Content of a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    pub id: InstanceId,
    pub service: String,
    pub address: SocketAddrV4,
    pub zone: String,
    /// Version of the instance's software.
    pub version: String,
    /// Requests that the instance can process at the same time.
    pub slots: u32,
    pub draining: bool,
    pub warmup_left: Micros,
    /// Number of the call; each later call of the incarnation has a higher one.
    pub sequence: u64,
}

/// An instance as sent between nodes. Clocks differ between nodes, so times are durations relative to the
/// moment of sending.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    pub id: InstanceId,
    pub service: String,
    pub address: SocketAddrV4,
    pub zone: String,
    pub version: String,
    pub slots: u32,
    pub state: InstanceState,
    /// Sequence number of the call that made the last change; the owner may have received later calls.
    pub sequence: u64,
    /// Time since the first heartbeat.
    pub age: Micros,
    /// Time until the instance is warm.
    pub warmup_left: Micros,
    /// Time since the instance entered its state.
    pub state_age: Micros,
    /// The registry node that accepts the instance's heartbeats and alone declares it silent.
    pub owner: NodeAddress,
}

/// An instance as this node knows it: a [`Record`] with its durations converted to points in time of the
/// local steady clock.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    pub id: InstanceId,
    pub service: String,
    pub address: SocketAddrV4,
    pub zone: String,
    pub version: String,
    pub slots: u32,
    pub state: InstanceState,
    pub sequence: u64,
    /// When any node received the first heartbeat.
    pub first_seen: Micros,
    /// End of the warm-up; in the past once the instance is warm.
    pub warm_at: Micros,
    /// When the instance entered its state.
    pub state_since: Micros,
    pub owner: NodeAddress,
}

/// What two nodes compare to find out which of them has the newer copy of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordVersion {
    pub id_hash: u64,
    pub state: InstanceState,
    pub sequence: u64,
    pub owner: NodeAddress,
}

/// Number of ranges that the hashes of instance ids are divided into for the comparison of copies.
pub const DIGEST_RANGES: usize = 16;

/// Messages between nodes. Each takes at most about 1000 bytes in postcard's encoding.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Changed records. With `relay` set, a registry node forwards what is new to it to the gateways that it
    /// serves.
    Update { relay: bool, records: Vec<Record> },
    /// An instance that is draining or gone. Answered with `DrainAck` once the receiver has stored that.
    DrainNotice { round: u64, record: Record },
    /// Acknowledges the `DrainNotice` of the same round.
    DrainAck { round: u64 },
    /// One checksum for each range. A sender that knows no instance at all sets `empty` and gets all records.
    Digest { sums: [u64; DIGEST_RANGES], empty: bool },
    /// Answer to an `empty` digest from a node that knows no instance either.
    NothingKnown,
    /// Versions of the sender's records in ranges that differ. Bit `n` of `complete_ranges` is set if all
    /// the sender's records of range `n` are listed.
    Versions { complete_ranges: u16, versions: Vec<RecordVersion> },
    /// Asks for the records whose ids have these hashes.
    Request { id_hashes: Vec<u64> },
    /// Records that the receiver lacks or has in an older version.
    Records { records: Vec<Record> },
}

impl Message {
    /// The format version that introduced this message: it is not sent to a node that reads only older ones.
    pub fn introduced_in(&self) -> FormatVersion {
        match self {
            Message::Update { .. }
            | Message::DrainNotice { .. }
            | Message::DrainAck { .. }
            | Message::Digest { .. }
            | Message::NothingKnown
            | Message::Versions { .. }
            | Message::Request { .. }
            | Message::Records { .. } => FormatVersion::V1,
        }
    }
}

/// Input of [`Registry::step`].
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed; see [`Registry::next_due`].
    Tick,
    Received {
        from: NodeAddress,
        message: Message,
    },
    /// An instance called with a heartbeat, which may say that it drains.
    Heartbeat {
        call: CallId,
        heartbeat: Heartbeat,
    },
    /// An instance called to say that it ends.
    Detach {
        call: CallId,
        id: InstanceId,
    },
    /// The nodes that are up now. This node is a registry node if its own address is among `registry_nodes`;
    /// its first heartbeat tells it the same.
    Peers {
        registry_nodes: Vec<NodeAddress>,
        gateways: Vec<NodeAddress>,
    },
    /// At a registry node: the gateways that have chosen to be served by it, whether or not the membership
    /// considers them up, and the gateways that can't choose because their programs are older. Before the
    /// first such event, all gateways are assumed unable to choose.
    Watchers {
        watching: Vec<NodeAddress>,
        unable_to_watch: Vec<NodeAddress>,
    },
    /// The current voters of the replicated log as this node knows them. A registry node that knows no voters
    /// acknowledges no drain.
    Voters {
        addresses: Vec<NodeAddress>,
    },
    /// Datagrams to or from this node seem to get lost: it compares only with registry nodes, and twice as
    /// often.
    LinkStrained {
        strained: bool,
    },
    /// A majority of the voters was in contact with this registry node at this time of the local clock.
    MajorityContact {
        at: Micros,
    },
}

/// Output of [`Registry::step`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Datagrams to this node seem to get lost: for a while, messages to it should go by stream.
    PreferStream {
        to: NodeAddress,
    },
    Send {
        to: NodeAddress,
        message: Message,
    },
    /// The call is acknowledged; later calls should go to `target`.
    Accepted {
        call: CallId,
        target: Option<NodeAddress>,
    },
    /// Too few others learned of the drain in time, or this node can't take the call: it is out of bounds,
    /// the table is full, or the node is isolated or was paused. The instance should ask another node.
    Rejected {
        call: CallId,
    },
    /// The state, service, address, zone, version, slots or warm-up changed. An instance that is forgotten is
    /// reported as `Gone` unless it was gone already.
    Changed {
        instance: Instance,
    },
}

/// Longest duration accepted from the wire (400 days); keeps sums of times from overflowing.
const MAX_DURATION: Micros = 400 * 24 * 3600 * SECOND;

/// Longest id, service, zone or version, in bytes; a record with all four at this length fits into a message.
const MAX_TEXT_BYTES: usize = 128;

impl Instance {
    /// The record to send at `now`.
    pub fn to_record(&self, now: Micros) -> Record {
        Record {
            id: self.id.clone(),
            service: self.service.clone(),
            address: self.address,
            zone: self.zone.clone(),
            version: self.version.clone(),
            slots: self.slots,
            state: self.state,
            sequence: self.sequence,
            age: (now - self.first_seen).max(0),
            warmup_left: (self.warm_at - now).max(0),
            state_age: (now - self.state_since).max(0),
            owner: self.owner,
        }
    }

    /// Whether a change from `self` to `next` has to be reported by [`Effect::Changed`].
    fn differs_visibly(&self, next: &Instance, now: Micros) -> bool {
        self.state != next.state
            || self.address != next.address
            || self.slots != next.slots
            || self.service != next.service
            || self.version != next.version
            || self.zone != next.zone
            || warmup_end_moved(self.warm_at, next.warm_at, now)
    }
}

/// Whether the end of a warm-up moved by more than the varying network delay of heartbeats explains.
fn warmup_end_moved(before: Micros, after: Micros, now: Micros) -> bool {
    (before.max(now) - after.max(now)).abs() > SECOND / 2
}

impl Record {
    /// Converts durations to times of the local clock; `now` is when the record arrived. Since when a warm
    /// instance has been warm is unknown: it counts as warm since its first heartbeat, so that its age is
    /// never taken for the length of a warm-up.
    fn into_instance(self, now: Micros) -> Instance {
        let first_seen = now - self.age.clamp(0, MAX_DURATION);
        let is_warm = self.warmup_left <= 0;
        Instance {
            id: self.id,
            service: self.service,
            address: self.address,
            zone: self.zone,
            version: self.version,
            slots: self.slots,
            state: self.state,
            sequence: self.sequence,
            first_seen,
            warm_at: if is_warm { first_seen } else { now + self.warmup_left.clamp(0, MAX_DURATION) },
            state_since: now - self.state_age.clamp(0, MAX_DURATION),
            owner: self.owner,
        }
    }

    /// Whether all texts are within [`MAX_TEXT_BYTES`].
    fn within_limits(&self) -> bool {
        [&self.id.0, &self.service, &self.zone, &self.version].iter().all(|text| text.len() <= MAX_TEXT_BYTES)
    }

    /// Length in postcard's encoding.
    fn encoded_bytes(&self) -> usize {
        let texts = [&self.id.0, &self.service, &self.zone, &self.version];
        let texts: usize = texts.iter().map(|text| varint_bytes(text.len() as u64) + text.len()).sum();
        // Postcard encodes signed numbers as zigzag varints, which doubles their magnitude.
        let durations = [self.age, self.warmup_left, self.state_age];
        let durations: usize =
            durations.iter().map(|duration| varint_bytes(duration.unsigned_abs().saturating_mul(2))).sum();
        let address = 4 + varint_bytes(u64::from(self.address.port()));
        let (state, owner) = (1, 4);
        let numbers = varint_bytes(u64::from(self.slots)) + varint_bytes(self.sequence);
        texts + durations + address + numbers + state + owner
    }
}

impl Heartbeat {
    /// Whether all texts are within [`MAX_TEXT_BYTES`].
    fn within_limits(&self) -> bool {
        [&self.id.0, &self.service, &self.zone, &self.version].iter().all(|text| text.len() <= MAX_TEXT_BYTES)
    }
}

/// Number of bytes in postcard's variable-length encoding of `number`.
fn varint_bytes(number: u64) -> usize {
    (64 - number.leading_zeros() as usize).div_ceil(7).max(1)
}
