//! Net: delays, losses, doubles, cuts in one or both ways.

use std::rc::Rc;

use playhouse::node::{Envelope, NodeMessage};
use types::{Carrier, DATAGRAM_MAX_BYTES, MS, Micros, NodeAddress};

use super::{Event, World};

/// What a stream waits at one full link, at least and at most.
const QUEUED: (Micros, Micros) = (40 * MS, 200 * MS);

impl World {
    /// Whether anything passes now; `None` is outside: clients, instances, operators.
    pub(crate) fn passes(&self, from: Option<usize>, to: Option<usize>) -> bool {
        let number = |end: Option<usize>| end.map_or(0, |at| at + 1);
        self.now >= self.cuts[number(from)][number(to)]
    }

    pub(crate) fn cut(&mut self, from: Option<usize>, to: Option<usize>, until: Micros) {
        let number = |end: Option<usize>| end.map_or(0, |at| at + 1);
        let cut = &mut self.cuts[number(from)][number(to)];
        *cut = until.max(*cut);
    }

    /// The way to or from a machine, for what can't be lost.
    pub(crate) fn way(&mut self, at: usize) -> Micros {
        let spread = self.span(0, 400);
        let slow = self.slowness(at);
        let late = if self.now < self.storm.0 { self.span(0, self.storm.2) } else { 0 };
        1_000 + spread + slow + late
    }

    /// What the way between two zones takes more.
    pub(crate) fn far(&self, one: usize, other: usize) -> Micros {
        let site = &self.scenario.site;
        if site.region(one) == site.region(other) { 0 } else { site.far as Micros * MS }
    }

    pub(crate) fn machine_at(&self, place: NodeAddress) -> Option<usize> {
        self.machines.iter().rposition(|machine| machine.place == place && !machine.gone)
    }

    /// How long the narrow links of a machine take for so many bytes, with what waits before them.
    fn carried(&mut self, at: usize, bytes: usize) -> Micros {
        let (until, rate, free) = self.machines[at].narrow;
        if self.now >= until {
            return 0;
        }
        let takes = (bytes as u64 * 1_000_000 / rate.max(1)) as Micros;
        let free = free.max(self.now) + takes;
        self.machines[at].narrow.2 = free;
        free - self.now
    }

    /// Whether the full links of either end lose a datagram now.
    fn lost_at_full_links(&mut self, from: usize, to: usize) -> bool {
        let (until, _, outward) = self.machines[from].full;
        let lost = self.now < until && self.odds(outward);
        let (until, inward, _) = self.machines[to].full;
        lost || (self.now < until && self.odds(inward))
    }

    /// How long a stream waits at the full links of either end.
    fn queued(&mut self, from: usize, to: usize) -> Micros {
        let full = [from, to].into_iter().filter(|at| self.now < self.machines[*at].full.0).count();
        (0..full).map(|_| self.span(QUEUED.0, QUEUED.1)).sum()
    }

    /// A datagram.
    pub(crate) fn send(&mut self, from: usize, to: NodeAddress, word: &Envelope) {
        let Some(to) = self.machine_at(to) else { return };
        if to == from || !self.passes(Some(from), Some(to)) {
            return;
        }
        let Ok(bytes) = word.to_bytes() else { return };
        let bytes = self.altered(from, bytes);
        let storm = self.now < self.storm.0;
        // Larger ones go by streams, which don't lose them.
        let lost = if storm { self.storm.1 } else { self.scenario.lost };
        let datagram = bytes.len() <= DATAGRAM_MAX_BYTES && word.carrier() == Carrier::Datagram;
        if datagram && (self.odds(lost) || self.lost_at_full_links(from, to)) {
            return;
        }
        let same = self.machines[from].zone == self.machines[to].zone;
        let far = self.far(self.machines[from].zone, self.machines[to].zone);
        let base = if same { 250 } else { 1_400 + far };
        self.count(from, word);
        let mut delay = base + self.span(0, 400) + self.slowness(from) + self.slowness(to);
        if self.odds(5) {
            delay += self.span(0, 30 * MS);
        }
        if storm {
            delay += self.span(0, self.storm.2);
        }
        if !datagram {
            delay += self.queued(from, to);
        }
        delay += self.carried(from, bytes.len()) + self.carried(to, bytes.len());
        let carrier = if datagram { Carrier::Datagram } else { Carrier::Stream };
        let from = self.machines[from].place;
        let bytes: Rc<[u8]> = bytes.into();
        if self.odds(2) {
            let twice = delay + self.span(0, 50 * MS);
            self.later(twice, Event::Mail { to, from, bytes: bytes.clone(), carrier });
        }
        self.later(delay, Event::Mail { to, from, bytes, carrier });
    }
}

impl World {
    /// What goes over the wire tells how near a day comes to the cores' bounds.
    fn count(&mut self, from: usize, word: &NodeMessage) {
        use consensus::{Message, Rpc};
        let NodeMessage::Consensus { message: Message::Rpc { term, rpc: word, .. }, .. } = word else {
            return;
        };
        match word {
            Rpc::InstallSnapshot { offset: 0, .. } => self.counts.states += 1,
            Rpc::VoteResponse { granted } => {
                let run = self.machines[from].run;
                let voted = self.counts.voted.get(&(from, term.0)).copied();
                if voted.is_some_and(|voted| voted != run) {
                    self.counts.asked_again += 1;
                }
                if *granted {
                    self.counts.votes += 1;
                    self.counts.voted.entry((from, term.0)).or_insert(run);
                }
            }
            _ => {}
        }
    }
}
