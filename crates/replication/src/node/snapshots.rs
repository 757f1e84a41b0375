//! Whole states, where commands are missing or would be more: sent at a pace, kept for others, taken over.

use super::*;

impl Replicator {
    /// Whether a whole state of so many bytes may be sent now; counts it.
    pub(super) fn may_send(&mut self, bytes: usize) -> bool {
        let earned = (self.now - self.may_send.1) / MS * WHOLES_MILLI;
        if earned > 0 {
            self.may_send = (self.may_send.0.saturating_add(earned).min(WHOLES_MOST), self.now);
        }
        let may = self.may_send.0 > 0 && (bytes as i64 <= self.may_send.0 || self.may_send.0 == WHOLES_MOST);
        if may {
            self.may_send.0 -= bytes as i64;
        }
        may
    }

    /// Sends a whole state, if that is not too much at once, behind a word of how much it is.
    pub(super) fn send_whole(
        &mut self, to: NodeAddress, index: LogIndex, data: &[u8], out: &mut Vec<Effect>,
    ) {
        if !self.may_send(data.len()) {
            return;
        }
        let latest_bytes = u32::try_from(data.len()).unwrap_or(u32::MAX);
        let until = self.now + CHAIN_KEPT + Micros::from(latest_bytes) * ASK_BYTE;
        self.chain = (self.chain.0.max(until), data.len().min(CHAIN_BYTES_MAX));
        out.push(Effect::Send { to, message: Message::Digest { index, latest_bytes, fresh: false } });
        out.push(Effect::Send { to, message: Message::Snapshot { index, data: data.to_vec() } });
    }

    pub(super) fn need_whole(&mut self, from: NodeAddress, out: &mut Vec<Effect>) {
        if let Some(kept) = self.kept.take() {
            self.send_whole(from, kept.index, &kept.data, out);
            self.kept = Some(kept);
            return;
        }
        if self.wanting.is_empty() {
            out.push(Effect::TakeSnapshot);
        }
        if self.wanting.len() < WANTING_MAX && !self.wanting.contains(&from) {
            self.wanting.push(from);
        }
    }

    pub(super) fn whole_told(&mut self, index: LogIndex, data: Vec<u8>, out: &mut Vec<Effect>) {
        // No command lies between the last one told and a later entry of the log.
        let index = index.min(self.index);
        self.whole_bytes = data.len();
        for to in std::mem::take(&mut self.wanting) {
            self.send_whole(to, index, &data, out);
        }
        self.kept = Some(Kept { index, data, at: self.now });
    }

    pub(super) fn whole(&mut self, from: NodeAddress, index: LogIndex, data: Vec<u8>, out: &mut Vec<Effect>) {
        if self.mode == Mode::Source || index <= self.index {
            return;
        }
        self.whole_bytes = data.len();
        self.ring.clear();
        self.advance(index, 0);
        out.push(Effect::Restore { index, data });
        self.apply_early(out);
        self.go_on(from, false, true, out);
    }
}
