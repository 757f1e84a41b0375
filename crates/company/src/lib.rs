//! Company (membership): nodes know each other by probes in turn, second opinions, suspicion before removal,
//! refutation and lives. No I/O: time and events in, effects out.

use props::{Life, Place};
use serde::{Deserialize, Serialize};

/// What a node does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Part {
    Foyer,
    Prompter,
}

/// One life of a node, as it tells of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    pub place: Place,
    pub life: Life,
    pub part: Part,
    pub zone: String,
    pub name: String,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Standing {
    Alive,
    Suspect,
    Dead,
    Left,
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
    /// Places that may know others; asked while too few are known, and now and then to heal a split.
    Seeds {
        places: Vec<Place>,
    },
    /// This node ends in order.
    Leave,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    Send { to: Place, message: Message },
    Changed { member: Member, standing: Standing },
}
