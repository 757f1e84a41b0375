//! Pushes that a source waits to be acknowledged, so that it repeats those that were lost. Guards against a follower that
//! is in touch with the source but does not get its pushes, because its link is full and datagrams are lost.

use std::collections::BTreeMap;

use types::{LogIndex, MS, Micros, NodeAddress, SECOND};

/// A push by datagram should be acknowledged within this time, plus that of the transfer of what has to be pulled.
const ACK_TIMEOUT: Micros = 200 * MS;
/// A push is first repeated this many times by datagram, since single datagrams can always get lost. After that a stream is
/// preferred.
const DATAGRAM_REPEATS: u32 = 2;
/// Time between repetitions once a stream is preferred.
const STREAM_REPEAT_INTERVAL: Micros = SECOND;
/// After this many repetitions the source gives up: by then the follower is gone, or gets the command from others.
const REPEATS_MAX: u32 = 6;

/// What one follower has been pushed and has not acknowledged.
#[derive(Clone, Copy, Debug)]
struct PendingPush {
    /// The follower is known to hold everything up to here.
    held: LogIndex,
    /// The newest command pushed.
    index: LogIndex,
    deadline: Micros,
    repeats: u32,
}

/// A push that was not acknowledged in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct OverduePush {
    pub follower: NodeAddress,
    pub held: LogIndex,
    /// Datagrams were lost more than once.
    pub prefer_stream: bool,
}

/// The followers whose acknowledgement is awaited; at most one entry for each that is pushed to.
#[derive(Debug, Default)]
pub(crate) struct UnacknowledgedPushes(BTreeMap<NodeAddress, PendingPush>);

impl UnacknowledgedPushes {
    /// Notes that the command at `index`, which follows `prev`, was pushed or announced to a follower. What it has to pull
    /// may take `transfer` on top of the usual timeout.
    pub fn record(
        &mut self, now: Micros, follower: NodeAddress, prev: LogIndex, index: LogIndex, transfer: Micros,
    ) {
        let deadline = now + ACK_TIMEOUT + transfer;
        let pending =
            self.0.entry(follower).or_insert(PendingPush { held: prev, index, deadline, repeats: 0 });
        pending.index = pending.index.max(index);
    }

    /// A follower has shown that it holds everything up to `index`.
    pub fn acknowledge(&mut self, follower: NodeAddress, index: LogIndex) {
        let Some(pending) = self.0.get_mut(&follower) else { return };
        pending.held = pending.held.max(index);
        if pending.index <= index {
            self.0.remove(&follower);
        }
    }

    /// Stops waiting for the followers that are no longer pushed to.
    pub fn retain(&mut self, is_target: impl Fn(NodeAddress) -> bool) {
        self.0.retain(|follower, _| is_target(*follower));
    }

    /// The pushes to repeat now.
    pub fn take_overdue(&mut self, now: Micros) -> Vec<OverduePush> {
        let mut overdue = Vec::new();
        self.0.retain(|follower, pending| {
            if now < pending.deadline {
                return true;
            }
            pending.repeats += 1;
            let prefer_stream = pending.repeats > DATAGRAM_REPEATS;
            pending.deadline = now + if prefer_stream { STREAM_REPEAT_INTERVAL } else { ACK_TIMEOUT };
            overdue.push(OverduePush { follower: *follower, held: pending.held, prefer_stream });
            pending.repeats < REPEATS_MAX
        });
        overdue
    }

    pub fn due(&self) -> Micros {
        self.0.values().map(|pending| pending.deadline).min().unwrap_or(Micros::MAX)
    }
}
