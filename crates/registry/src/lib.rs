//! Registry (instances): which instances there are, by their beats: lives, states, warm-up, addresses used again,
//! silent ones, drains that others know of before they are acknowledged, copies compared by digests over
//! ranges and mended from the newer. No I/O: time and events in, effects out.
//!
//! Hubs (prompters) take beats; the hub that took the last one is the instance's owner. Records pass between
//! nodes when something changed, never for each beat. `docs/cast.md` weighs the ways and tells what is promised.

mod drains;
mod instance_table;
mod node;

use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};
use types::{CallId, FormatVersion, MS, Micros, NodeAddress, SECOND};

pub use node::Registry;

/// An instance's own id: one life of it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct InstanceId(pub String);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum InstanceState {
    InService,
    /// Said nothing for too long; a later beat brings it back.
    Silent,
    /// On its way out: no life comes back from here.
    Draining,
    Gone,
}

impl InstanceState {
    /// Whether a life in this state is to get nothing more, ever.
    pub fn is_leaving(self) -> bool {
        matches!(self, InstanceState::Draining | InstanceState::Gone)
    }
}

/// Spans that depend on the deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// An instance that says nothing for longer is silent.
    pub silence_timeout: Micros,
    /// A drain that others don't know of within this is answered `NotTaken`. Under the second that an
    /// instance waits, with room for the way there and back.
    pub drain_ack_timeout: Micros,
    /// A hub that a majority of the voters has not been in touch with for longer sends instances elsewhere: early
    /// enough for them to be taken by another hub before others call them silent.
    pub contact_timeout: Micros,
    /// From one comparing with another node to the next, at least; up to two thirds more, by lot.
    pub compare_interval: Micros,
    /// From one telling of a drain that nobody waits for any more to the next.
    pub drain_resend_interval: Micros,
}

/// The `DrainS` that the usual spans keep: every node in reach knows an acknowledged drain within 2 s.
const DEFAULT_DRAIN_LIMIT: Micros = 2_500 * MS;

impl Timing {
    /// For instances that beat once in `heartbeat`: two lost beats and a late third are forgiven.
    pub fn for_heartbeat_interval(heartbeat: Micros) -> Timing {
        let silence_timeout = heartbeat.saturating_mul(26) / 10 + SECOND / 2;
        Timing {
            silence_timeout,
            drain_ack_timeout: 800 * MS,
            contact_timeout: (silence_timeout / 2).max(2 * SECOND),
            compare_interval: 750 * MS,
            drain_resend_interval: 300 * MS,
        }
    }

    /// For a deployment where nothing may be sent to a draining instance later than `drain` after the acknowledgement:
    /// all by which the last node learns of it comes sooner by as much, down to a quarter of the usual spans.
    pub fn for_drain_limit(self, drain_limit: Micros) -> Timing {
        let drain_limit = drain_limit.clamp(DEFAULT_DRAIN_LIMIT / 4, DEFAULT_DRAIN_LIMIT);
        let scaled = |interval: Micros| interval * drain_limit / DEFAULT_DRAIN_LIMIT;
        Timing { compare_interval: scaled(750 * MS), drain_resend_interval: scaled(300 * MS), ..self }
    }
}

/// What a beat says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    pub id: InstanceId,
    pub service: String,
    pub address: SocketAddrV4,
    pub zone: String,
    /// Of its software.
    pub version: String,
    pub slots: u32,
    pub draining: bool,
    pub warmup_left: Micros,
    pub sequence: u64,
}

/// An instance as it travels between nodes. Clocks differ, so times are spans, as of the moment of sending.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    pub id: InstanceId,
    pub service: String,
    pub address: SocketAddrV4,
    pub zone: String,
    pub version: String,
    pub slots: u32,
    pub state: InstanceState,
    /// Of the call that brought the last change; the owner may have heard later ones.
    pub sequence: u64,
    /// How long ago its first beat came, when this was sent; how much longer it stays slow.
    pub age: Micros,
    pub warmup_left: Micros,
    /// How long ago it came into its state.
    pub state_age: Micros,
    /// The prompter that takes its beats, and alone says when it has fallen silent.
    pub owner: NodeAddress,
}

/// An instance as this node knows it: a record with its spans as moments of the own steady clock.
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
    /// When its first beat came to the system.
    pub first_seen: Micros,
    /// Until when it is slow; in the past once it is warm.
    pub warm_at: Micros,
    /// When it came into its state.
    pub state_since: Micros,
    pub owner: NodeAddress,
}

/// What two copies of one record are compared by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordVersion {
    pub id_hash: u64,
    pub state: InstanceState,
    pub sequence: u64,
    pub owner: NodeAddress,
}

/// Number of ranges that the hashes of ids are cut into for comparing.
pub const DIGEST_RANGES: usize = 16;

/// What nodes say to each other. Each takes at most about 1000 bytes by postcard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// What changed. A hub that is asked to `relay` hands what is new to it to the foyers that it serves.
    Update {
        relay: bool,
        records: Vec<Record>,
    },
    /// One that leaves; to be answered by `Heard` once it is known here.
    DrainNotice {
        round: u64,
        record: Record,
    },
    DrainAck {
        round: u64,
    },
    /// One sum for each range. One who knows nothing at all says so, and gets everything.
    Digest {
        sums: [u64; DIGEST_RANGES],
        empty: bool,
    },
    /// To one who knows nothing: neither do I.
    NothingKnown,
    /// What I have in ranges that differ; bits of `whole` name the ranges that are listed here completely.
    Versions {
        complete_ranges: u16,
        versions: Vec<RecordVersion>,
    },
    /// Please give me these, by the hashes of their ids.
    Request {
        id_hashes: Vec<u64>,
    },
    /// Mends what the other has older or lacks.
    Records {
        records: Vec<Record>,
    },
}

impl Message {
    /// The form that brought this word: it is not sent to a node that reads less.
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

#[derive(Clone, Debug)]
pub enum Event {
    Tick,
    Received {
        from: NodeAddress,
        message: Message,
    },
    Heartbeat {
        call: CallId,
        heartbeat: Heartbeat,
    },
    Detach {
        call: CallId,
        id: InstanceId,
    },
    /// Nodes that are up now; `hubs` are those that take beats (the own place among them tells this node
    /// that it is one; so does its first beat).
    Peers {
        registry_nodes: Vec<NodeAddress>,
        gateways: Vec<NodeAddress>,
    },
    /// At a hub: the foyers that have chosen it to be served by it, whatever the membership holds of them, and those that
    /// can't choose, as their programs are older. Until this is told, all foyers are taken for such.
    Watchers {
        watching: Vec<NodeAddress>,
        unable_to_watch: Vec<NodeAddress>,
    },
    /// The ordered voters as they are now, in the log here; a hub that was told of none acknowledges no drain.
    Voters {
        addresses: Vec<NodeAddress>,
    },
    /// Datagrams to or from this node seem to be lost: it compares with hubs only, and twice as often.
    LinkStrained {
        strained: bool,
    },
    /// A majority of the voters was in touch with this hub at this moment of the own clock.
    MajorityContact {
        at: Micros,
    },
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// As the board's: what goes to this node for a while should not be left to datagrams.
    PreferStream {
        to: NodeAddress,
    },
    Send {
        to: NodeAddress,
        message: Message,
    },
    /// The beat is acknowledged, with a place for later ones.
    Accepted {
        call: CallId,
        target: Option<NodeAddress>,
    },
    /// Not known to others in time, or out of bounds; the instance is to call elsewhere.
    Rejected {
        call: CallId,
    },
    /// InstanceState, service, address, zone, version, slots or warm-up changed. One that is forgotten is shown as
    /// `Gone` if it was not yet.
    Changed {
        instance: Instance,
    },
}

/// Longest span that is believed from the wire; keeps sums of times from overflowing.
const LONGEST: Micros = 400 * 24 * 3600 * SECOND;

/// Longest id, service, zone or version, in bytes; a record with all four at this length fits a message.
const LONGEST_TEXT: usize = 128;

impl Instance {
    /// As it travels, at `now`.
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

    /// Whether a driver that knew `self` has to be told of `next`.
    fn differs(&self, next: &Instance, now: Micros) -> bool {
        self.state != next.state
            || self.address != next.address
            || self.slots != next.slots
            || self.service != next.service
            || self.version != next.version
            || self.zone != next.zone
            || moved(self.warm_at, next.warm_at, now)
    }
}

/// Whether an end of warm-up moved by more than beats differ by on their ways.
fn moved(a: Micros, b: Micros, now: Micros) -> bool {
    (a.max(now) - b.max(now)).abs() > SECOND / 2
}

impl Record {
    /// As moments of the clock here, at `now`. One that is warm has been so for an unknown time: since its first beat
    /// for what is known, so that its age is never taken for the length of a warm-up.
    fn into_instance(self, now: Micros) -> Instance {
        let first_seen = now - self.age.clamp(0, LONGEST);
        let warm = self.warmup_left <= 0;
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
            warm_at: if warm { first_seen } else { now + self.warmup_left.clamp(0, LONGEST) },
            state_since: now - self.state_age.clamp(0, LONGEST),
            owner: self.owner,
        }
    }

    fn fits(&self) -> bool {
        [&self.id.0, &self.service, &self.zone, &self.version].iter().all(|text| text.len() <= LONGEST_TEXT)
    }

    /// Its length by postcard, in bytes.
    fn length(&self) -> usize {
        let texts = [&self.id.0, &self.service, &self.zone, &self.version];
        let texts: usize = texts.iter().map(|text| varint(text.len() as u64) + text.len()).sum();
        let spans = [self.age, self.warmup_left, self.state_age];
        let spans: usize = spans.iter().map(|span| varint(span.unsigned_abs().saturating_mul(2))).sum();
        let address = 4 + varint(u64::from(self.address.port()));
        texts + spans + address + varint(u64::from(self.slots)) + varint(self.sequence) + 1 + 4
    }
}

impl Heartbeat {
    fn fits(&self) -> bool {
        [&self.id.0, &self.service, &self.zone, &self.version].iter().all(|text| text.len() <= LONGEST_TEXT)
    }
}

/// Bytes that postcard takes for a number.
fn varint(number: u64) -> usize {
    (64 - number.leading_zeros() as usize).div_ceil(7).max(1)
}
