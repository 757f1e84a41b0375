//! Cast (instances): which instances there are, by their beats: lives, states, warm-up, addresses used again,
//! silent ones, drains that others know of before they are acknowledged, copies compared by digests over
//! ranges and mended from the newer. No I/O: time and events in, effects out.

use std::net::SocketAddrV4;

use props::{Ask, Micros, Place};
use serde::{Deserialize, Serialize};

/// An instance's own id: one life of it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct InstanceId(pub String);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum State {
    InService,
    /// Said nothing for too long.
    Silent,
    Draining,
    Gone,
}

/// What a beat says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Beat {
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

/// An instance as all nodes know it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    pub id: InstanceId,
    pub service: String,
    pub address: SocketAddrV4,
    pub zone: String,
    pub version: String,
    pub slots: u32,
    pub state: State,
    pub sequence: u64,
    /// How long ago its first beat came, when this was sent; how much longer it stays slow.
    pub age: Micros,
    pub warmup_left: Micros,
    /// The prompter that takes its beats, and alone says when it has fallen silent.
    pub keeper: Place,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// To be replaced by the real set.
    Nothing,
}

#[derive(Clone, Debug)]
pub enum Event {
    Tick,
    Received {
        from: Place,
        message: Message,
    },
    Beat {
        ask: Ask,
        beat: Beat,
    },
    Detach {
        ask: Ask,
        id: InstanceId,
    },
    /// Nodes that are up now; `hubs` are those that take beats.
    Peers {
        hubs: Vec<Place>,
        others: Vec<Place>,
    },
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    Send {
        to: Place,
        message: Message,
    },
    /// The beat is acknowledged, with a place for later ones where another is better.
    Taken {
        ask: Ask,
        target: Option<Place>,
    },
    /// Not known to others in time; the instance is to ask elsewhere.
    NotTaken {
        ask: Ask,
    },
    Changed {
        record: Record,
    },
}
