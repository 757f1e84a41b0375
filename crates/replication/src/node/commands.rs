//! Telling others: what is held here, what they lack, and fresh commands on their way.

use super::*;

impl Replicator {
    /// Somebody holds less: little is sent at once, of much it is told that it is here.
    pub(super) fn mend(&mut self, to: NodeAddress, have: LogIndex, out: &mut Vec<Effect>) {
        match self.ring.missing(have) {
            (1.., bytes) if bytes <= INLINE_BYTES_MAX => self.send_pieces(to, have, out),
            _ => self.tell(to, false, out),
        }
    }

    pub(super) fn want(&mut self, from: NodeAddress, have: LogIndex, out: &mut Vec<Effect>) {
        self.unacknowledged.holds(from, have);
        if have >= self.index {
            self.heard_of(from, have, 0);
            self.tell(from, false, out);
            return;
        }
        let whole_is_less = |bytes: usize| bytes > WHOLE_ABOVE && bytes > self.whole_bytes;
        match self.ring.missing(have) {
            (0, _) => self.need_whole(from, out),
            (2.., bytes) if whole_is_less(bytes) => self.need_whole(from, out),
            _ => self.send_pieces(from, have, out),
        }
    }

    pub(super) fn tell(&mut self, to: NodeAddress, fresh: bool, out: &mut Vec<Effect>) {
        let message = Message::Digest { index: self.index, latest_bytes: self.ring.latest_bytes(), fresh };
        out.push(Effect::Send { to, message });
    }

    /// A piece that was new here goes on to a few others, or they hear of it. Each node passes a piece on once.
    pub(super) fn pass_on(&mut self, from: NodeAddress, piece: &ChainedCommand, out: &mut Vec<Effect>) {
        let big = piece.data.len() > INLINE_BYTES_MAX;
        if big && piece.prev > self.index {
            return;
        }
        let fanout = if big { PASS_ON_BIG } else { PASS_ON };
        let mut to = self.others.clone();
        to.retain(|address| *address != from);
        shuffle(&mut self.rand, &mut to);
        for to in to.into_iter().take(fanout) {
            let message = if big {
                Message::Digest { index: piece.index, latest_bytes: piece.data.len() as u32, fresh: true }
            } else {
                Message::Commands { fresh: true, more: false, commands: vec![piece.clone()] }
            };
            out.push(Effect::Send { to, message });
        }
    }

    /// What follows `have`: small ones together, each message small enough for a datagram unless one piece isn't.
    pub(super) fn send_pieces(&mut self, to: NodeAddress, have: LogIndex, out: &mut Vec<Effect>) {
        let mut commands = Vec::new();
        let (mut bytes, mut all) = (0, 0);
        for piece in self.ring.after(have) {
            let more = piece.data.len() + PIECE_HEAD;
            if all > 0 && all + more > ANSWER_BYTES_MAX {
                break;
            }
            if !commands.is_empty() && bytes + more > INLINE_BYTES_MAX + PIECE_HEAD {
                let commands = std::mem::take(&mut commands);
                out.push(Effect::Send {
                    to,
                    message: Message::Commands { fresh: false, more: true, commands },
                });
                bytes = 0;
            }
            bytes += more;
            all += more;
            commands.push(piece.clone());
        }
        if !commands.is_empty() {
            out.push(Effect::Send { to, message: Message::Commands { fresh: false, more: false, commands } });
        }
    }
}
