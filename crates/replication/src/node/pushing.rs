//! What a source does: it pushes committed commands to the followers that watch it, waits for their acknowledgements, and
//! tells how it stands.

use super::*;

/// Hubs that push to each follower of an older program.
const OWNERS: usize = 2;

impl Replicator {
    /// Whom this hub pushes to: the followers that watch it, and its share of those that can't watch anybody.
    pub(super) fn served(&self) -> Vec<NodeAddress> {
        let mut served: Vec<NodeAddress> = self.watchers.addresses().collect();
        let share = types::assigned_share(self.own, &self.hubs, &self.unwatching, OWNERS);
        served.extend(share.into_iter().filter(|address| !self.watchers.has(*address)));
        served
    }

    pub(super) fn committed(&mut self, index: LogIndex, data: Vec<u8>, out: &mut Vec<Effect>) {
        if self.mode == Mode::Follower || index <= self.index {
            return;
        }
        let piece = ChainedCommand { prev: self.index, index, data };
        let push = index >= self.known;
        let prev = self.index;
        self.advance(index, piece.data.len() as u32);
        self.ring.push(piece.clone(), RECENT_BYTES_MAX + self.chain.1);
        if !push {
            return;
        }
        let mut served = self.served();
        if !self.may_push() {
            // Too many at once: they hear a little later of all together.
            self.tell_later = (self.tell_later.0.min(self.now + TELL_LATER), served);
            return;
        }
        if piece.data.len() <= INLINE_BYTES_MAX {
            for to in served {
                self.unacknowledged.pushed(self.now, to, prev, index, 0);
                let message = Message::Commands { fresh: true, more: false, commands: vec![piece.clone()] };
                out.push(Effect::Send { to, message });
            }
            return;
        }
        shuffle(&mut self.rand, &mut served);
        self.tell_later.1 = served;
        self.tell_lot(out);
    }

    /// The chain goes on from here: whoever is behind can't get what came before in commands, and is given the
    /// whole. Without this the next piece would claim to follow on what was held before.
    pub(super) fn restored(&mut self, index: LogIndex) {
        if self.mode == Mode::Follower || index <= self.index {
            return;
        }
        self.ring.clear();
        self.advance(index, 0);
    }

    /// Tells a few of a big command; the next lot hears of it later, when most have it from each other.
    pub(super) fn tell_lot(&mut self, out: &mut Vec<Effect>) {
        let left = self.tell_later.1.len().saturating_sub(BIG_FANOUT);
        let transfer = Micros::from(self.ring.latest_bytes()) * ASK_BYTE;
        for to in self.tell_later.1.split_off(left) {
            self.unacknowledged.pushed(self.now, to, self.ring.before_last(), self.index, transfer);
            self.tell(to, true, out);
        }
        self.tell_later.0 = if left > 0 { self.now + TELL_LATER } else { Micros::MAX };
    }

    /// What was pushed and not acknowledged goes once more where it is little, so that it needs no ask, of which datagrams
    /// may be lost as well; and in any case that it is there, which wants an acknowledgement.
    pub(super) fn push_again(&mut self, overdue: Overdue, out: &mut Vec<Effect>) {
        let Overdue { address: to, holds, insist } = overdue;
        if insist {
            out.push(Effect::PreferStream { to });
        }
        if matches!(self.ring.missing(holds), (1.., bytes) if bytes <= AGAIN_BYTES) {
            self.send_pieces(to, holds, out);
        }
        self.tell(to, true, out);
    }

    /// At most so many pushes a second; the rest is left to digests.
    pub(super) fn may_push(&mut self) -> bool {
        if self.now - self.pushes.0 >= SECOND {
            self.pushes = (self.now, 0);
        }
        self.pushes.1 += 1;
        self.pushes.1 <= PUSHES_MAX
    }

    pub(super) fn tell_standing(&mut self, to: NodeAddress, out: &mut Vec<Effect>) {
        if self.mode == Mode::Follower {
            return;
        }
        // Other hubs ask as well, whether they are heard; nothing is pushed to them.
        if self.hubs.binary_search(&to).is_err() {
            self.watchers.renewed(self.now, to);
        }
        let (freshness, at) = self.stands;
        let freshness = match freshness {
            Freshness::Proven { term, age } => Freshness::Proven { term, age: age + (self.now - at) },
            other => other,
        };
        out.push(Effect::Send { to, message: Message::FreshnessProof { index: self.index, freshness } });
    }
}
