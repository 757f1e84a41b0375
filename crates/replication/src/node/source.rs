//! What a source does: it pushes committed commands to its share of the followers, waits for their acknowledgements, and
//! tells how it stands.

use super::*;

impl Replicator {
    /// The others that this hub pushes to: each belongs to one hub, and to the next one as well where others are
    /// few. All hubs that know the same nodes come to the same shares.
    pub(super) fn share(&self) -> Vec<Place> {
        let mut hubs = self.hubs.clone();
        hubs.push(self.own);
        hubs.sort_unstable();
        let own = hubs.iter().position(|hub| *hub == self.own).unwrap_or(0);
        let copies = if self.others.len() <= FEW { 2 } else { 1 };
        let mine = |at: usize| (0..copies).any(|copy| (at + copy) % hubs.len() == own);
        self.others.iter().enumerate().filter(|(at, _)| mine(*at)).map(|(_, place)| *place).collect()
    }

    pub(super) fn committed(&mut self, index: Index, data: Vec<u8>, out: &mut Vec<Effect>) {
        if self.mode == Mode::Follower || index <= self.index {
            return;
        }
        let piece = Piece { prev: self.index, index, data };
        let push = index >= self.known;
        let prev = self.index;
        self.advance(index, piece.data.len() as u32);
        self.ring.push(piece.clone(), RING_BYTES_MAX + self.chain.1);
        if !push {
            return;
        }
        let mut share = self.share();
        if !self.may_push() {
            // Too many at once: they hear a little later of all together.
            self.tell_later = (self.tell_later.0.min(self.now + TELL_LATER), share);
            return;
        }
        if piece.data.len() <= SMALL_BYTES {
            for to in share {
                self.unacknowledged.pushed(self.now, to, prev, index, 0);
                let message = Message::Pieces { fresh: true, more: false, pieces: vec![piece.clone()] };
                out.push(Effect::Send { to, message });
            }
            return;
        }
        shuffle(&mut self.rand, &mut share);
        self.tell_later.1 = share;
        self.tell_lot(out);
    }

    /// The chain goes on from here: whoever is behind can't get what came before in pieces, and is given the
    /// whole. Without this the next piece would claim to follow on what was held before.
    pub(super) fn restored(&mut self, index: Index) {
        if self.mode == Mode::Follower || index <= self.index {
            return;
        }
        self.ring.clear();
        self.advance(index, 0);
    }

    /// Tells a few of a big command; the next lot hears of it later, when most have it from each other.
    pub(super) fn tell_lot(&mut self, out: &mut Vec<Effect>) {
        let left = self.tell_later.1.len().saturating_sub(BIG_FANOUT);
        let transfer = Micros::from(self.ring.weight()) * ASK_BYTE;
        for to in self.tell_later.1.split_off(left) {
            self.unacknowledged.pushed(self.now, to, self.ring.before_last(), self.index, transfer);
            self.tell(to, true, out);
        }
        self.tell_later.0 = if left > 0 { self.now + TELL_LATER } else { Micros::MAX };
    }

    /// What was pushed and not acknowledged goes once more where it is little, so that it needs no ask, of which datagrams
    /// may be lost as well; and in any case that it is there, which wants an acknowledgement.
    pub(super) fn push_again(&mut self, overdue: Overdue, out: &mut Vec<Effect>) {
        let Overdue { place: to, holds, insist } = overdue;
        if insist {
            out.push(Effect::Insist { to });
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

    pub(super) fn tell_standing(&mut self, to: Place, out: &mut Vec<Effect>) {
        if self.mode == Mode::Follower {
            return;
        }
        let (standing, at) = self.stands;
        let standing = match standing {
            Standing::Proved { term, age } => Standing::Proved { term, age: age + (self.now - at) },
            other => other,
        };
        out.push(Effect::Send { to, message: Message::Proof { index: self.index, standing } });
    }
}
