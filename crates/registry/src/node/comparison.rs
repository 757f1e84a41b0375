//! Anti-entropy between the copies of the table: checksums over ranges of ids, versions of the records in
//! ranges that differ, and records where one side has a newer one. A gateway repeats a comparison that gets
//! no answer, as silence does not mean that its copy is up to date.

use types::{MS, Micros, NodeAddress};

use super::{
    BATCH_DELAY, COMPARE_JITTER_THOUSANDTHS, INITIAL_REQUEST_INTERVAL, INITIAL_REQUESTS, Registry,
    send_records,
};
use crate::{DIGEST_RANGES, Effect, Message, RecordVersion};

/// A registry node answers a gateway's comparison, and sends the records requested after it, within this time
/// by datagram. Otherwise the comparison is repeated by stream: on a saturated link, a gateway without
/// answers would take its copy for up to date.
const DATAGRAM_ANSWER_TIMEOUT: Micros = 250 * MS;
/// The same for a comparison by stream, which takes longer.
const STREAM_ANSWER_TIMEOUT: Micros = 500 * MS;
const MAX_VERSIONS_PER_MESSAGE: usize = 40;
const MAX_HASHES_PER_MESSAGE: usize = 90;

/// A comparison that a registry node has not fully answered.
#[derive(Debug)]
pub(super) struct Comparison {
    with: NodeAddress,
    pub deadline: Micros,
    /// Whether the comparison is repeated by stream, as the one before got no answer.
    by_stream: bool,
    /// Whether the node has sent newer records, which may take several messages.
    records_arrived: bool,
}

/// The answer to a comparison of copies without a difference.
const NO_DIFFERENCE: Message = Message::Versions { complete_ranges: 0, versions: Vec::new() };

impl Registry {
    /// Answers a comparison with the versions in the ranges that differ, or with all records for an empty
    /// node.
    pub(super) fn digest_received(
        &mut self, now: Micros, from: NodeAddress, sums: &[u64; DIGEST_RANGES], empty: bool,
        out: &mut Vec<Effect>,
    ) {
        if empty {
            let records = self.table.comparable_records(now);
            if records.is_empty() {
                out.push(Effect::Send { to: from, message: Message::NothingKnown });
            }
            return send_records(from, records, out);
        }
        let differing = self.table.versions_in_differing_ranges(sums);
        if differing.is_empty() && !self.registry_nodes.contains(&from) {
            out.push(Effect::Send { to: from, message: NO_DIFFERENCE });
        }
        // Ranges are collected into one message as long as they fit.
        let mut collected: (u16, Vec<RecordVersion>) = (0, Vec::new());
        for (range, versions) in differing {
            if versions.len() > MAX_VERSIONS_PER_MESSAGE {
                // Too many for one message: sent in parts, none of which lists the range completely.
                for part in versions.chunks(MAX_VERSIONS_PER_MESSAGE) {
                    let message = Message::Versions { complete_ranges: 0, versions: part.to_vec() };
                    out.push(Effect::Send { to: from, message });
                }
                continue;
            }
            if collected.1.len() + versions.len() > MAX_VERSIONS_PER_MESSAGE {
                let (complete_ranges, versions) = std::mem::take(&mut collected);
                out.push(Effect::Send { to: from, message: Message::Versions { complete_ranges, versions } });
            }
            collected.0 |= 1 << range;
            collected.1.extend(versions);
        }
        if collected.0 != 0 {
            let (complete_ranges, versions) = collected;
            out.push(Effect::Send { to: from, message: Message::Versions { complete_ranges, versions } });
        }
    }

    /// Sends the records that the other node lacks or has in an older version, and requests those that are
    /// newer there.
    pub(super) fn versions_received(
        &mut self, now: Micros, from: NodeAddress, complete_ranges: u16, versions: &[RecordVersion],
        out: &mut Vec<Effect>,
    ) {
        // An empty node has asked for all records, which is never answered with versions: these are meant for
        // an earlier run of this node, and requesting them would not yield the whole table.
        if self.initial_requests_left > 0 && self.table.entries().next().is_none() {
            return;
        }
        let (newer_here, wanted) = self.table.compare_versions(now, complete_ranges, versions);
        self.comparison_answered(now, from, !wanted.is_empty());
        send_records(from, newer_here, out);
        for part in wanted.chunks(MAX_HASHES_PER_MESSAGE) {
            out.push(Effect::Send { to: from, message: Message::Request { id_hashes: part.to_vec() } });
        }
    }

    /// A registry node has answered a comparison. The comparison is done unless newer records were requested,
    /// which are then waited for.
    fn comparison_answered(&mut self, now: Micros, from: NodeAddress, records_requested: bool) {
        let Some(comparison) = self.comparison.as_mut().filter(|comparison| comparison.with == from) else {
            return;
        };
        comparison.deadline = now + DATAGRAM_ANSWER_TIMEOUT;
        if !records_requested {
            self.comparison = None;
        }
    }

    /// A registry node has sent newer records. As some of them may have been lost, the comparison is repeated
    /// after that.
    pub(super) fn records_received(&mut self, now: Micros, from: NodeAddress) {
        if let Some(comparison) = self.comparison.as_mut().filter(|comparison| comparison.with == from) {
            (comparison.deadline, comparison.records_arrived) = (now + BATCH_DELAY, true);
        }
    }

    /// Called at the deadline of a comparison. After records have arrived, compares once more. Without an
    /// answer, tries the same node once more by stream, and then another one.
    pub(super) fn continue_comparison(&mut self, now: Micros, out: &mut Vec<Effect>) {
        let Some(Comparison { with, by_stream, records_arrived, .. }) = self.comparison.take() else {
            return;
        };
        if records_arrived {
            return self.start_comparison(now, with, false, out);
        }
        out.push(Effect::PreferStream { to: with });
        if by_stream || !self.registry_nodes.contains(&with) {
            self.next_compare = now;
            return;
        }
        self.start_comparison(now, with, true, out);
    }

    fn start_comparison(&mut self, now: Micros, with: NodeAddress, by_stream: bool, out: &mut Vec<Effect>) {
        let timeout = if by_stream { STREAM_ANSWER_TIMEOUT } else { DATAGRAM_ANSWER_TIMEOUT };
        let deadline = now + timeout;
        self.comparison = Some(Comparison { with, deadline, by_stream, records_arrived: false });
        let message = Message::Digest { sums: *self.table.sums(), empty: false };
        out.push(Effect::Send { to: with, message });
    }

    /// Compares copies with a random node: a gateway with a registry node, a registry node with any node,
    /// mostly a registry node. A node that knows no instance yet asks for all records.
    pub(super) fn start_next_comparison(&mut self, now: Micros, out: &mut Vec<Effect>) {
        let is_initial = self.initial_requests_left > 0;
        let interval = if is_initial {
            INITIAL_REQUEST_INTERVAL
        } else {
            self.timing.compare_interval
                + self.random_below(COMPARE_JITTER_THOUSANDTHS) * self.timing.compare_interval / 1000
        };
        self.next_compare = now + if self.link_strained { interval / 2 } else { interval };
        // The first requests go to registry nodes: gateways that start at the same time know no more than
        // this node.
        let just_started = self.initial_requests_left > INITIAL_REQUESTS - 2;
        let with_registry_node = !self.registry_nodes.is_empty()
            && (!self.is_registry_node
                || just_started
                || self.link_strained
                || self.gateways.is_empty()
                || self.random_below(4) > 0);
        let candidates = if with_registry_node { &self.registry_nodes } else { &self.gateways };
        if candidates.is_empty() {
            return;
        }
        let to = candidates[self.rng.rand_range(0..candidates.len() as u32) as usize];
        self.initial_requests_left = self.initial_requests_left.saturating_sub(1);
        let empty = is_initial && self.table.entries().next().is_none();
        if with_registry_node && !self.is_registry_node && !empty {
            return self.start_comparison(now, to, false, out);
        }
        out.push(Effect::Send { to, message: Message::Digest { sums: *self.table.sums(), empty } });
    }
}
