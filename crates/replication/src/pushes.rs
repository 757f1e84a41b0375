//! Pushes that wait for an acknowledgement, at a source: who was told of which command and has not shown yet that it
//! holds it. Guards against a follower that is in touch and hears nothing, as its link is full and datagrams are lost.

use std::collections::BTreeMap;

use types::{LogIndex, MS, Micros, NodeAddress, SECOND};

/// A push by datagram should be acknowledged within this, beside what its bytes take.
const ACKNOWLEDGED: Micros = 200 * MS;
/// What was not is told again so many times by datagram, since single ones get lost anywhere; after that by stream, once
/// in so long.
const BY_DATAGRAM: u32 = 2;
const AGAIN: Micros = SECOND;
/// And not more often than this: by then it is gone, or gets it from others.
const TIMES: u32 = 6;

#[derive(Clone, Copy, Debug)]
struct Waiting {
    /// What it is known to hold at least, and what it was pushed.
    holds: LogIndex,
    index: LogIndex,
    until: Micros,
    told_again: u32,
}

/// A follower that has not acknowledged in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Overdue {
    pub address: NodeAddress,
    pub holds: LogIndex,
    /// Datagrams were lost more than once.
    pub insist: bool,
}

/// The followers that are waited for, bounded by those that are pushed to.
#[derive(Debug, Default)]
pub(crate) struct Pushes(BTreeMap<NodeAddress, Waiting>);

impl Pushes {
    /// `to` was told of the command at `index`, which follows `prev`; what it has to get may take `transfer` beside a
    /// word's way.
    pub fn pushed(
        &mut self, now: Micros, to: NodeAddress, prev: LogIndex, index: LogIndex, transfer: Micros,
    ) {
        let until = now + ACKNOWLEDGED + transfer;
        let waiting = self.0.entry(to).or_insert(Waiting { holds: prev, index, until, told_again: 0 });
        waiting.index = waiting.index.max(index);
    }

    /// A follower has shown that it holds all up to `index`.
    pub fn holds(&mut self, address: NodeAddress, index: LogIndex) {
        let Some(waiting) = self.0.get_mut(&address) else { return };
        waiting.holds = waiting.holds.max(index);
        if waiting.index <= index {
            self.0.remove(&address);
        }
    }

    /// Others are not waited for any more.
    pub fn keep(&mut self, served: impl Fn(NodeAddress) -> bool) {
        self.0.retain(|address, _| served(*address));
    }

    /// Those that are to be told again now.
    pub fn overdue(&mut self, now: Micros) -> Vec<Overdue> {
        let mut overdue = Vec::new();
        self.0.retain(|address, waiting| {
            if now < waiting.until {
                return true;
            }
            waiting.told_again += 1;
            let insist = waiting.told_again > BY_DATAGRAM;
            waiting.until = now + if insist { AGAIN } else { ACKNOWLEDGED };
            overdue.push(Overdue { address: *address, holds: waiting.holds, insist });
            waiting.told_again < TIMES
        });
        overdue
    }

    pub fn due(&self) -> Micros {
        self.0.values().map(|waiting| waiting.until).min().unwrap_or(Micros::MAX)
    }
}
