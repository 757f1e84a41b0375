//! Drains in flight: who was told, who has answered, who waits for the acknowledgement.

use types::{CallId, MS, Micros, NodeAddress, SECOND};

use crate::InstanceId;

/// Most drains in flight at once, and callers that wait for one.
pub(crate) const MOST_ROUNDS: usize = 1024;
const MOST_ASKS: usize = 16;
/// Between sendings to those that have not answered while someone waits; after that it is `Timing::drain_resend_interval`.
const RETRY: Micros = 100 * MS;
/// Foyers that have not answered so many sendings should be told by stream.
const BY_DATAGRAM: u32 = 2;
/// How long those that don't answer are told again.
const LASTS: Micros = 2 * SECOND;
/// How long the answers of all foyers are waited for.
const FOYERS_WAIT: Micros = 250 * MS;

/// One life that leaves, until enough others know.
#[derive(Debug)]
pub(crate) struct Round {
    pub number: u64,
    pub id: InstanceId,
    /// Until when the answers of all foyers are waited for, and when those that don't answer are given up.
    foyers_until: Micros,
    ends: Micros,
    /// Callers, each with the moment at which its answer is due.
    asks: Vec<(CallId, Micros)>,
    /// Foyers told directly.
    pub foyers: Vec<NodeAddress>,
    /// Whether all foyers were told directly and are still waited for: worth a little, not a failure.
    all_foyers: bool,
    heard: Vec<NodeAddress>,
    next_send: Micros,
    sendings: u32,
    known: bool,
}

/// Who has to know before a drain is acknowledged.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Need<'a> {
    /// The ordered voters, this hub among them where it is one.
    pub voters: &'a [NodeAddress],
    pub own: NodeAddress,
}

impl Round {
    pub fn new(
        number: u64, id: InstanceId, now: Micros, foyers: Vec<NodeAddress>, all_foyers: bool,
    ) -> Round {
        let (asks, heard) = (Vec::new(), Vec::new());
        let foyers_until = if all_foyers { now + FOYERS_WAIT } else { Micros::MAX };
        let (ends, next_send) = (now + LASTS, now);
        Round {
            number,
            id,
            foyers_until,
            ends,
            asks,
            foyers,
            all_foyers,
            heard,
            next_send,
            sendings: 0,
            known: false,
        }
    }

    /// Another caller waits. `false` where too many do.
    pub fn join(&mut self, call: CallId, until: Micros) -> bool {
        let room = self.asks.len() < MOST_ASKS;
        if room {
            self.asks.push((call, until));
            self.ends = self.ends.max(until);
        }
        room
    }

    /// `hubs`: those who are told.
    pub fn heard(&mut self, from: NodeAddress, hubs: &[NodeAddress]) {
        if !self.heard.contains(&from) && (hubs.contains(&from) || self.foyers.contains(&from)) {
            self.heard.push(from);
        }
    }

    /// Whether a majority of the ordered voters, and at least one other node in any case, know. Never of those that
    /// this node holds up: one that is cut off for long holds up nobody else, and would be its own majority.
    fn enough(&self, need: Need) -> bool {
        let knows = |place: &&NodeAddress| **place == need.own || self.heard.contains(place);
        let voters = need.voters.iter().filter(knows).count();
        2 * voters > need.voters.len() && !self.heard.is_empty()
    }

    /// Callers that get their acknowledgement now. The first time, `confirmed` is to be kept with the life.
    pub fn take_known(&mut self, now: Micros, need: Need) -> Option<Vec<CallId>> {
        if now >= self.foyers_until {
            (self.foyers_until, self.all_foyers) = (Micros::MAX, false);
        }
        let foyers = !self.all_foyers || self.foyers.iter().all(|place| self.heard.contains(place));
        self.known |= foyers && self.enough(need);
        self.known.then(|| self.asks.drain(..).map(|(call, _)| call).collect())
    }

    /// Callers whose time is over.
    pub fn take_late(&mut self, now: Micros) -> Vec<CallId> {
        let late = self.asks.iter().filter(|(_, until)| *until <= now).map(|(call, _)| *call).collect();
        self.asks.retain(|(_, until)| *until > now);
        late
    }

    /// Those to be told now: all at first, later those that have not answered.
    pub fn take_send(&mut self, now: Micros, hubs: &[NodeAddress], later: Micros) -> Vec<NodeAddress> {
        if now < self.next_send {
            return Vec::new();
        }
        self.next_send = now + if self.asks.is_empty() { later } else { RETRY };
        self.sendings += 1;
        hubs.iter().chain(&self.foyers).filter(|place| !self.heard.contains(place)).copied().collect()
    }

    /// Whether a node that is told now has been mute for so long that datagrams seem to be lost on its way. Hubs that are
    /// mute are away rather: their links carry no requests.
    pub fn insists(&self, place: NodeAddress) -> bool {
        self.sendings > BY_DATAGRAM && self.foyers.contains(&place)
    }

    /// Others are not told any more.
    pub fn keep_foyers(&mut self, told: impl Fn(NodeAddress) -> bool) {
        self.foyers.retain(|place| told(*place));
    }

    /// Tells it all again: for a caller that came after the round had gone on for a while.
    pub fn again(&mut self, now: Micros) {
        self.ends = now + LASTS;
        self.next_send = now;
    }

    pub fn over(&self, now: Micros, hubs: &[NodeAddress]) -> bool {
        let all = hubs.iter().chain(&self.foyers).all(|place| self.heard.contains(place));
        self.asks.is_empty() && (now >= self.ends || (self.known && all))
    }

    /// When it has something to do, at the latest.
    pub fn due(&self) -> Micros {
        let asks = self.asks.iter().map(|(_, until)| *until).min().unwrap_or(Micros::MAX);
        self.next_send.min(self.ends).min(self.foyers_until).min(asks)
    }
}
