//! Comparing copies of the list: digests over ranges, keys where they differ, records where one is newer. A foyer takes no
//! silence for an answer.

use types::{MS, Micros, NodeAddress};

use super::{COMPARE_SPREAD, FIRST_ASK, FIRST_ASKS, GATHER, Registry, give};
use crate::{Effect, Message, RecordVersion};

/// A hub answers a foyer's comparison, and gives what is asked for after it, within this by datagram; else it is compared
/// with by stream, for which there is more time. Guards against a foyer at a full link that takes silence for a copy that is
/// alike.
const ANSWER_WITHIN: Micros = 250 * MS;
const ANSWER_BY_STREAM: Micros = 500 * MS;
/// Keys and hashes in a message.
const KEYS: usize = 40;
const HASHES: usize = 90;

/// A comparison that a hub has not answered yet.
#[derive(Debug)]
pub(super) struct Comparison {
    with: NodeAddress,
    pub until: Micros,
    /// It was silent the time before, so that this one goes by stream.
    again: bool,
    /// It gives what it has newer, maybe in several messages.
    gives: bool,
}

/// The answer to a comparison of copies that are alike.
const ALIKE: Message = Message::Versions { complete_ranges: 0, versions: Vec::new() };

impl Registry {
    pub(super) fn digest(
        &mut self, now: Micros, from: NodeAddress, sums: &[u64; crate::DIGEST_RANGES], empty: bool,
        out: &mut Vec<Effect>,
    ) {
        if empty {
            let all = self.list.all(now);
            if all.is_empty() {
                out.push(Effect::Send { to: from, message: Message::NothingKnown });
            }
            return give(from, all, out);
        }
        let unlike = self.list.keys_where_unlike(sums);
        if unlike.is_empty() && !self.hubs.contains(&from) {
            out.push(Effect::Send { to: from, message: ALIKE });
        }
        let mut gathered: (u16, Vec<RecordVersion>) = (0, Vec::new());
        for (range, keys) in unlike {
            if keys.len() > KEYS {
                // Too many for one message: listed in parts, none of which is the whole range.
                for part in keys.chunks(KEYS) {
                    let message = Message::Versions { complete_ranges: 0, versions: part.to_vec() };
                    out.push(Effect::Send { to: from, message });
                }
                continue;
            }
            if gathered.1.len() + keys.len() > KEYS {
                let (complete_ranges, versions) = std::mem::take(&mut gathered);
                out.push(Effect::Send { to: from, message: Message::Versions { complete_ranges, versions } });
            }
            gathered.0 |= 1 << range;
            gathered.1.extend(keys);
        }
        if gathered.0 != 0 {
            let (complete_ranges, versions) = gathered;
            out.push(Effect::Send { to: from, message: Message::Versions { complete_ranges, versions } });
        }
    }

    pub(super) fn keys(
        &mut self, now: Micros, from: NodeAddress, whole: u16, keys: &[RecordVersion], out: &mut Vec<Effect>,
    ) {
        // One that knows nothing has asked for everything, which keys never answer: they are for an earlier life
        // here, and what they lead to is no whole list.
        if self.first_asks > 0 && self.list.entries().next().is_none() {
            return;
        }
        let (records, want) = self.list.compare(now, whole, keys);
        self.keys_came(now, from, !want.is_empty());
        give(from, records, out);
        for part in want.chunks(HASHES) {
            out.push(Effect::Send { to: from, message: Message::Request { id_hashes: part.to_vec() } });
        }
    }

    /// A hub has answered a comparison with its keys: done, or what it has newer was asked for and is waited for.
    fn keys_came(&mut self, now: Micros, from: NodeAddress, asked: bool) {
        let Some(comparison) = self.comparison.as_mut().filter(|comparison| comparison.with == from) else {
            return;
        };
        comparison.until = now + ANSWER_WITHIN;
        if !asked {
            self.comparison = None;
        }
    }

    /// A hub gives what it has newer. As a part of it may be lost, it is compared with once more after that.
    pub(super) fn given(&mut self, now: Micros, from: NodeAddress) {
        if let Some(comparison) = self.comparison.as_mut().filter(|comparison| comparison.with == from) {
            (comparison.until, comparison.gives) = (now + GATHER, true);
        }
    }

    /// After what was given; or no answer: the same hub once more, by stream, and then another one.
    pub(super) fn compare_again(&mut self, now: Micros, out: &mut Vec<Effect>) {
        let Some(Comparison { with, again, gives, .. }) = self.comparison.take() else { return };
        if gives {
            return self.begin_comparison(now, with, false, out);
        }
        out.push(Effect::PreferStream { to: with });
        if again || !self.hubs.contains(&with) {
            self.compare_at = now;
            return;
        }
        self.begin_comparison(now, with, true, out);
    }

    fn begin_comparison(&mut self, now: Micros, with: NodeAddress, again: bool, out: &mut Vec<Effect>) {
        let within = if again { ANSWER_BY_STREAM } else { ANSWER_WITHIN };
        self.comparison = Some(Comparison { with, until: now + within, again, gives: false });
        out.push(Effect::Send {
            to: with,
            message: Message::Digest { sums: *self.list.sums(), empty: false },
        });
    }

    /// Compares copies with a hub, or, as a hub, with one other node, mostly a hub; asks for everything where nothing is known yet.
    pub(super) fn compare(&mut self, now: Micros, out: &mut Vec<Effect>) {
        let first = self.first_asks > 0;
        let wait = if first {
            FIRST_ASK
        } else {
            self.timing.compare_interval + self.chance(COMPARE_SPREAD) * self.timing.compare_interval / 1000
        };
        self.compare_at = now + if self.strained { wait / 2 } else { wait };
        // Foyers that begin at the same time know no more than this one.
        let begins = self.first_asks > FIRST_ASKS - 2;
        let hub = !self.hubs.is_empty()
            && (!self.hub || begins || self.strained || self.others.is_empty() || self.chance(4) > 0);
        let from = if hub { &self.hubs } else { &self.others };
        if from.is_empty() {
            return;
        }
        let to = from[self.rng.rand_range(0..from.len() as u32) as usize];
        self.first_asks = self.first_asks.saturating_sub(1);
        let empty = first && self.list.entries().next().is_none();
        if hub && !self.hub && !empty {
            return self.begin_comparison(now, to, false, out);
        }
        out.push(Effect::Send { to, message: Message::Digest { sums: *self.list.sums(), empty } });
    }
}
