//! Snapshots, for nodes to which the commands they lack are no longer kept or would be larger: sent at a limited rate,
//! cached for others, and taken over.

use super::*;

impl Replicator {
    /// Whether a snapshot of this size may be sent now; if so, takes it from the allowance.
    pub(super) fn take_snapshot_allowance(&mut self, bytes: usize) -> bool {
        let allowance = &mut self.snapshot_allowance;
        let earned = (self.now - allowance.refilled_at) / MS * SNAPSHOT_BYTES_PER_MS;
        if earned > 0 {
            allowance.bytes = allowance.bytes.saturating_add(earned).min(SNAPSHOT_BURST_BYTES);
            allowance.refilled_at = self.now;
        }
        let allowed = allowance.bytes > 0
            && (bytes as i64 <= allowance.bytes || allowance.bytes == SNAPSHOT_BURST_BYTES);
        if allowed {
            allowance.bytes -= bytes as i64;
        }
        allowed
    }

    /// Sends a snapshot, if the rate allows it, after a digest that announces its size.
    pub(super) fn send_snapshot(
        &mut self, to: NodeAddress, index: LogIndex, data: &[u8], out: &mut Vec<Effect>,
    ) {
        if !self.take_snapshot_allowance(data.len()) {
            return;
        }
        let snapshot_bytes = u32::try_from(data.len()).unwrap_or(u32::MAX);
        let transfer = Micros::from(snapshot_bytes) * TRANSFER_MICROS_PER_BYTE;
        self.extended_retention = ExtendedRetention {
            until: self.extended_retention.until.max(self.now + EXTENDED_RETENTION + transfer),
            bytes: data.len().min(EXTENDED_RETENTION_BYTES_MAX),
        };
        let digest = Message::Digest { index, latest_bytes: snapshot_bytes, fresh: false };
        out.push(Effect::Send { to, message: digest });
        out.push(Effect::Send { to, message: Message::Snapshot { index, data: data.to_vec() } });
    }

    /// Sends the cached snapshot to a node, or asks the driver for one.
    pub(super) fn provide_snapshot(&mut self, to: NodeAddress, out: &mut Vec<Effect>) {
        if let Some(cached) = self.cached_snapshot.take() {
            self.send_snapshot(to, cached.index, &cached.data, out);
            self.cached_snapshot = Some(cached);
            return;
        }
        if self.snapshot_waiters.is_empty() {
            out.push(Effect::TakeSnapshot);
        }
        if self.snapshot_waiters.len() < SNAPSHOT_WAITERS_MAX && !self.snapshot_waiters.contains(&to) {
            self.snapshot_waiters.push(to);
        }
    }

    pub(super) fn handle_snapshot_taken(&mut self, index: LogIndex, data: Vec<u8>, out: &mut Vec<Effect>) {
        // The driver may give a later entry of the log; there is no command between the last one held here and that.
        let index = index.min(self.index);
        self.snapshot_bytes = data.len();
        for to in std::mem::take(&mut self.snapshot_waiters) {
            self.send_snapshot(to, index, &data, out);
        }
        self.cached_snapshot = Some(CachedSnapshot { index, data, at: self.now });
    }

    pub(super) fn handle_snapshot(
        &mut self, from: NodeAddress, index: LogIndex, data: Vec<u8>, out: &mut Vec<Effect>,
    ) {
        if self.mode == Mode::Source || index <= self.index {
            return;
        }
        self.snapshot_bytes = data.len();
        self.recent.clear();
        self.advance(index, 0);
        out.push(Effect::Restore { index, data });
        self.apply_early(out);
        self.continue_pull(from, false, true, out);
    }
}
