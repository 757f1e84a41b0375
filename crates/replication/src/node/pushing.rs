//! What only sources do: they push committed commands to the followers that watch them, repeat what is not acknowledged,
//! and answer how fresh their state is.

use super::*;

/// Sources that push to each follower that can't watch.
const SOURCES_PER_NON_WATCHING_FOLLOWER: usize = 2;

impl Replicator {
    /// The followers that this source pushes to: those that watch it, and its share of those that can't watch.
    pub(super) fn push_targets(&self) -> Vec<NodeAddress> {
        let mut targets: Vec<NodeAddress> = self.watchers.addresses().collect();
        let assigned = types::assigned_share(
            self.own,
            &self.sources,
            &self.non_watching,
            SOURCES_PER_NON_WATCHING_FOLLOWER,
        );
        targets.extend(assigned.into_iter().filter(|address| !self.watchers.contains(*address)));
        targets
    }

    pub(super) fn handle_committed(&mut self, index: LogIndex, data: Vec<u8>, out: &mut Vec<Effect>) {
        if self.mode == Mode::Follower || index <= self.index {
            return;
        }
        let command = ChainedCommand { prev: self.index, index, data };
        // Not if others are known to hold more already, as while this source catches up with the log.
        let push = index >= self.known_index;
        let prev = self.index;
        self.advance(index, command.data.len() as u32);
        self.recent.push(command.clone(), RECENT_BYTES_MAX + self.extended_retention.bytes);
        if !push {
            return;
        }
        let mut targets = self.push_targets();
        if !self.within_push_rate() {
            // Too many at once: a little later, all of them are announced together.
            let at = self.deferred.at.min(self.now + ANNOUNCE_INTERVAL);
            self.deferred = DeferredAnnouncements { at, receivers: targets };
            return;
        }
        if command.data.len() <= INLINE_BYTES_MAX {
            for to in targets {
                self.unacknowledged.record(self.now, to, prev, index, 0);
                let message = Message::Commands { fresh: true, more: false, commands: vec![command.clone()] };
                out.push(Effect::Send { to, message });
            }
            return;
        }
        shuffle(&mut self.rand, &mut targets);
        self.deferred.receivers = targets;
        self.announce_batch(out);
    }

    /// The log now has a snapshot at `index`, where the chain begins anew: a node that is behind can't get the commands
    /// before, and is given a snapshot. Otherwise the next command would claim to follow what was held before.
    pub(super) fn handle_restored(&mut self, index: LogIndex) {
        if self.mode == Mode::Follower || index <= self.index {
            return;
        }
        self.recent.clear();
        self.advance(index, 0);
    }

    /// Announces a large command to a few followers. The next batch follows later, when most of them can pull it from each
    /// other.
    pub(super) fn announce_batch(&mut self, out: &mut Vec<Effect>) {
        let remaining = self.deferred.receivers.len().saturating_sub(ANNOUNCE_BATCH);
        let transfer = Micros::from(self.recent.latest_bytes()) * TRANSFER_MICROS_PER_BYTE;
        for to in self.deferred.receivers.split_off(remaining) {
            self.unacknowledged.record(self.now, to, self.recent.latest_prev(), self.index, transfer);
            self.send_digest(to, true, out);
        }
        self.deferred.at = if remaining > 0 { self.now + ANNOUNCE_INTERVAL } else { Micros::MAX };
    }

    /// Repeats a push that was not acknowledged. Commands of a small total size are sent again themselves, so that the
    /// follower need not pull them by datagrams that may get lost as well. In any case they are announced again, which asks
    /// for an acknowledgement.
    pub(super) fn repeat_push(&mut self, overdue: OverduePush, out: &mut Vec<Effect>) {
        let OverduePush { follower: to, held, prefer_stream } = overdue;
        if prefer_stream {
            out.push(Effect::PreferStream { to });
        }
        let missing = self.recent.missing_after(held);
        if missing.commands > 0 && missing.bytes <= REPEAT_BYTES_MAX {
            self.send_commands_after(to, held, out);
        }
        self.send_digest(to, true, out);
    }

    /// Counts a push, and returns whether it is within the limit of this second. Beyond it, digests spread the commands.
    pub(super) fn within_push_rate(&mut self) -> bool {
        if self.now - self.push_rate.window_start >= SECOND {
            self.push_rate = PushRate { window_start: self.now, pushes: 0 };
        }
        self.push_rate.pushes += 1;
        self.push_rate.pushes <= PUSHES_PER_SECOND_MAX
    }

    /// Answers how fresh the state held here is. A follower that asks watches this source from then on.
    pub(super) fn answer_freshness_request(&mut self, to: NodeAddress, out: &mut Vec<Effect>) {
        if self.mode == Mode::Follower {
            return;
        }
        // Other sources ask only to find out whether they are heard; nothing is pushed to them.
        if self.sources.binary_search(&to).is_err() {
            self.watchers.renew(self.now, to);
        }
        let elapsed = self.now - self.own_freshness.at;
        let freshness = match self.own_freshness.freshness {
            Freshness::Proven { term, age } => Freshness::Proven { term, age: age + elapsed },
            other => other,
        };
        out.push(Effect::Send { to, message: Message::FreshnessProof { index: self.index, freshness } });
    }
}
