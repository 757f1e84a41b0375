//! Asking for what is missing: one node at a time, another one where it is silent.

use super::*;

impl Replicator {
    /// Whether one that tells of news now is rather to be asked than the one that has been asked and has said nothing: a
    /// word of it has just come through. Where much is missing it is waited for, as a second copy would slow down the first.
    pub(super) fn asked_in_vain(&self, teller: NodeAddress) -> bool {
        let little = self.known_bytes as usize <= INLINE_BYTES_MAX;
        let silent = |asked: &Asked| asked.from != teller && asked.told == 0 && self.now - asked.at >= SILENT;
        little && self.asked.as_ref().is_some_and(silent)
    }

    /// Whoever is asked tells first how much is on its way: it is waited for so long. Guards against asking for a
    /// second copy of a state while a slow link still carries the first, which makes the link slower still.
    pub(super) fn told_while_asking(&mut self, from: NodeAddress, latest_bytes: u32) {
        let until = self.now + self.wait(0).max(ASK_BASE + Micros::from(latest_bytes) * ASK_BYTE);
        if let Some(asked) =
            self.asked.as_mut().filter(|asked| asked.from == from && asked.told < latest_bytes)
        {
            (asked.told, asked.until) = (latest_bytes, asked.until.max(until));
        }
    }

    /// What a watched source has, and neither pushed nor told of, is asked of it, by stream.
    pub(super) fn ask_for_missed(&mut self, out: &mut Vec<Effect>) {
        if let Some(source) = self.watches.overdue(self.now)
            && self.asked.is_none()
        {
            out.push(Effect::PreferStream { to: source });
            self.ask(source, 0, false, out);
        }
    }

    /// After something came: done, or the rest is asked of whom it came from, at the end of its answer.
    pub(super) fn go_on(&mut self, from: NodeAddress, more: bool, progress: bool, out: &mut Vec<Effect>) {
        if self.index >= self.known {
            self.asked = None;
            self.tellers.clear();
            return;
        }
        let (now, wait) = (self.now, self.wait(0));
        match &mut self.asked {
            None => self.ask(from, 0, false, out),
            Some(asked) if asked.from != from || !progress => {}
            Some(asked) if more => (asked.until, asked.tries) = (now + wait, 0),
            Some(asked) => {
                let fresh = asked.fresh;
                self.ask(from, 0, fresh, out);
            }
        }
    }

    pub(super) fn wait(&self, tries: u32) -> Micros {
        let base = if self.ring.is_empty() { 2 * ASK_BASE } else { ASK_BASE };
        base * Micros::from(1 + tries) + Micros::from(self.known_bytes) * ASK_BYTE
    }

    pub(super) fn ask(&mut self, from: NodeAddress, tries: u32, fresh: bool, out: &mut Vec<Effect>) {
        let until = self.now + self.wait(tries);
        self.asked = Some(Asked { from, at: self.now, until, tries, fresh, told: 0 });
        self.gaps.pulls += 1;
        out.push(Effect::Send { to: from, message: Message::Pull { held: self.index } });
    }

    /// Whoever was asked holds no more than is held here.
    pub(super) fn nothing_there(&mut self, out: &mut Vec<Effect>) {
        if self.index >= self.known {
            self.asked = None;
        } else {
            self.ask_another(out);
        }
    }

    /// Nothing came: another teller is asked, or a hub by chance. Where nothing is known to be missing and a
    /// hub is silent, the digests go on asking.
    pub(super) fn ask_another(&mut self, out: &mut Vec<Effect>) {
        let Some(asked) = self.asked.take() else { return };
        if self.index >= self.known && asked.tries >= ASK_TRIES_MAX {
            return;
        }
        self.tellers.retain(|(address, index)| *address != asked.from && *index > self.index);
        let other = self.tellers.pop().map(|(address, _)| address);
        let other = other.or_else(|| pick(&mut self.rand, &self.hubs));
        if let Some(other) = other.or_else(|| pick(&mut self.rand, &self.others)) {
            out.push(Effect::PreferStream { to: other });
            self.ask(other, (asked.tries + 1).min(ASK_TRIES_MAX), asked.fresh, out);
        }
    }
}
