//! Pulling what is missing: from one node at a time, and from another one if it does not answer.

use super::*;

impl Replicator {
    /// Whether to pull from `announcer`, whose message has just arrived, rather than wait for a node that has been asked
    /// and has shown no sign of an answer. Not if much is missing, where a second copy would slow down the first.
    pub(super) fn should_replace_pull(&self, announcer: NodeAddress) -> bool {
        let small = self.known_bytes as usize <= INLINE_BYTES_MAX;
        let silent = |pull: &Pull| {
            pull.from != announcer && pull.announced_bytes == 0 && self.now - pull.sent_at >= PULL_SILENCE
        };
        small && self.pull.as_ref().is_some_and(silent)
    }

    /// Extends the pull's deadline. A node that has been asked for much first announces how much it sends, and is waited
    /// for accordingly. Guards against pulling a second copy of a snapshot while a slow link still transfers the first,
    /// which would slow it down further.
    pub(super) fn extend_pull(&mut self, from: NodeAddress, announced_bytes: u32) {
        let transfer = Micros::from(announced_bytes) * TRANSFER_MICROS_PER_BYTE;
        let deadline = self.now + self.pull_timeout(0).max(PULL_TIMEOUT_BASE + transfer);
        if let Some(pull) =
            self.pull.as_mut().filter(|pull| pull.from == from && pull.announced_bytes < announced_bytes)
        {
            (pull.announced_bytes, pull.deadline) = (announced_bytes, pull.deadline.max(deadline));
        }
    }

    /// Pulls, by stream, what a watched source holds and has neither pushed nor announced in time.
    pub(super) fn pull_overdue_push(&mut self, out: &mut Vec<Effect>) {
        if let Some(source) = self.watches.take_overdue_push(self.now)
            && self.pull.is_none()
        {
            out.push(Effect::PreferStream { to: source });
            self.start_pull(source, 0, false, out);
        }
    }

    /// Goes on after an answer: ends the pull if nothing is missing, waits for the answer's next message, or, at its end,
    /// pulls the rest from the same node.
    pub(super) fn continue_pull(
        &mut self, from: NodeAddress, more: bool, progress: bool, out: &mut Vec<Effect>,
    ) {
        if self.index >= self.known_index {
            self.pull = None;
            self.announcers.clear();
            return;
        }
        let (now, timeout) = (self.now, self.pull_timeout(0));
        match &mut self.pull {
            None => self.start_pull(from, 0, false, out),
            Some(pull) if pull.from != from || !progress => {}
            Some(pull) if more => (pull.deadline, pull.retries) = (now + timeout, 0),
            Some(pull) => {
                let fresh = pull.fresh;
                self.start_pull(from, 0, fresh, out);
            }
        }
    }

    /// How long to wait for the answer to a pull; longer with each retry, and while no recent commands are
    /// held here.
    pub(super) fn pull_timeout(&self, retries: u32) -> Micros {
        let base = if self.recent.is_empty() { 2 * PULL_TIMEOUT_BASE } else { PULL_TIMEOUT_BASE };
        base * Micros::from(1 + retries) + Micros::from(self.known_bytes) * TRANSFER_MICROS_PER_BYTE
    }

    pub(super) fn start_pull(&mut self, from: NodeAddress, retries: u32, fresh: bool, out: &mut Vec<Effect>) {
        let deadline = self.now + self.pull_timeout(retries);
        self.pull = Some(Pull { from, sent_at: self.now, deadline, retries, fresh, announced_bytes: 0 });
        self.gaps.pulls += 1;
        out.push(Effect::Send { to: from, message: Message::Pull { held: self.index } });
    }

    /// The node that was asked holds no more than this one.
    pub(super) fn pull_found_nothing(&mut self, out: &mut Vec<Effect>) {
        if self.index >= self.known_index {
            self.pull = None;
        } else {
            self.retry_pull(out);
        }
    }

    /// Pulls from another node that announced more than is held here, or from a source chosen at random. Gives up after
    /// some attempts if nothing is known to be missing: the digests will find what is.
    pub(super) fn retry_pull(&mut self, out: &mut Vec<Effect>) {
        let Some(failed) = self.pull.take() else { return };
        if self.index >= self.known_index && failed.retries >= PULL_RETRIES_MAX {
            return;
        }
        self.announcers.retain(|(address, index)| *address != failed.from && *index > self.index);
        let next = self.announcers.pop().map(|(address, _)| address);
        let next = next.or_else(|| pick(&mut self.rand, &self.sources));
        if let Some(next) = next.or_else(|| pick(&mut self.rand, &self.others)) {
            out.push(Effect::PreferStream { to: next });
            self.start_pull(next, (failed.retries + 1).min(PULL_RETRIES_MAX), failed.fresh, out);
        }
    }
}
