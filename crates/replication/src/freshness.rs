//! Proof of age. At a follower: a node that has just started takes what it holds for new enough once a source proves
//! it. Asked for until then, and never again in this life. At a source: contact both ways with the leader that it
//! follows, as hearing a leader says nothing of being heard.

use std::collections::BTreeMap;

use types::{LogIndex, MS, Micros, NodeAddress, SECOND};

use crate::{Effect, Freshness, Message, PEERS_MAX};

/// A proof that is older says nothing: a machine that was in touch lately has one of a second, and one that looks for
/// a leader after a loss has found it by then.
const YOUNG: Micros = 3 * SECOND;
/// A source that has not answered, or not enough, is asked again after this, by how long the first ask is ago. At
/// first soon: one that has not met this node yet does not know what it reads, and so says nothing.
const ASK_EVERY: [(Micros, Micros); 2] = [(250 * MS, 60 * MS), (3 * SECOND, 250 * MS)];
const ASK_LATER: Micros = SECOND;
/// Answers are counted for so long.
const COUNTS_FOR: Micros = 1_500 * MS;

/// A leader is asked this often whether it hears a source that follows it.
const CONTACT_EVERY: Micros = 400 * MS;

/// When the leader that a source follows was last known to hear it.
#[derive(Debug, Default)]
pub(crate) struct Contact {
    leader: Option<NodeAddress>,
    /// When it was asked last, and when it was first asked of the asks that it has not answered.
    asked: Option<Micros>,
    open: Option<Micros>,
    at: Option<Micros>,
}

impl Contact {
    pub fn at(&self) -> Option<Micros> {
        self.at
    }

    /// Asks the leader, where it is time to. An ask of another leader is void.
    pub fn follows(&mut self, now: Micros, leader: Option<NodeAddress>, out: &mut Vec<Effect>) {
        if leader != self.leader {
            (self.leader, self.asked, self.open) = (leader, None, None);
        }
        let Some(to) = leader else { return };
        if self.asked.is_none_or(|at| now - at >= CONTACT_EVERY) {
            self.asked = Some(now);
            self.open.get_or_insert(now);
            out.push(Effect::Send { to, message: Message::FreshnessRequest });
        }
    }

    /// An answer may be to any of the asks that are open: it counts as one to the first.
    pub fn answered(&mut self, from: NodeAddress) {
        if self.leader == Some(from) {
            self.at = self.at.max(self.open.take());
        }
    }
}

/// What the sources have answered.
#[derive(Debug, Default)]
pub(crate) struct Proofs {
    answers: BTreeMap<NodeAddress, (Micros, LogIndex, Freshness)>,
    asked: BTreeMap<NodeAddress, Micros>,
    /// When the first was asked.
    began: Option<Micros>,
    /// What is to be held for what is here to be new enough.
    needs: Option<LogIndex>,
    done: bool,
}

impl Proofs {
    /// Whether what is held is known to be new enough. It is so for good: what is missing later, a cut may keep from
    /// all, and a node that serves goes on serving.
    pub fn done(&self) -> bool {
        self.done
    }

    pub fn due(&self, hubs: &[NodeAddress]) -> Micros {
        if self.done || self.needs.is_some() {
            return Micros::MAX;
        }
        hubs.iter()
            .map(|hub| self.asked.get(hub).map_or(0, |at| at + self.pace(*at)))
            .min()
            .unwrap_or(Micros::MAX)
    }

    fn pace(&self, at: Micros) -> Micros {
        let since = at - self.began.unwrap_or(at);
        ASK_EVERY.iter().find(|(until, _)| since < *until).map_or(ASK_LATER, |(_, every)| *every)
    }

    /// Asks those that are up and have not proved anything.
    pub fn ask(&mut self, now: Micros, hubs: &[NodeAddress], out: &mut Vec<Effect>) {
        if self.due(hubs) > now {
            return;
        }
        self.began.get_or_insert(now);
        self.asked.retain(|address, _| hubs.contains(address));
        for to in hubs.iter().take(PEERS_MAX) {
            if self.asked.get(to).is_none_or(|at| now >= at + self.pace(*at)) {
                self.asked.insert(*to, now);
                out.push(Effect::Send { to: *to, message: Message::FreshnessRequest });
            }
        }
    }

    /// Only those that were asked are heard, so that what is kept is bounded by them.
    pub fn answered(&mut self, now: Micros, from: NodeAddress, index: LogIndex, freshness: Freshness) {
        if self.done || self.needs.is_some() || !self.asked.contains_key(&from) {
            return;
        }
        if let Freshness::Proven { age, .. } = freshness
            && (0..=YOUNG).contains(&age)
        {
            self.needs = Some(index);
            return;
        }
        self.answers.retain(|address, (at, ..)| self.asked.contains_key(address) && now - *at < COUNTS_FOR);
        self.answers.insert(from, (now, index, freshness));
        self.needs = self.started();
    }

    /// Where a majority of the voters have just started, what the newest of them holds is as new as anything.
    fn started(&self) -> Option<LogIndex> {
        let (mut count, mut voters, mut newest) = (0, 0, LogIndex(0));
        for (_, index, freshness) in self.answers.values() {
            if let Freshness::JustStarted { voters: of } = freshness {
                (count, voters, newest) = (count + 1, voters.max(usize::from(*of)), newest.max(*index));
            }
        }
        (2 * count > voters).then_some(newest)
    }

    /// `index` is held.
    pub fn holds(&mut self, index: LogIndex) {
        if self.needs.is_some_and(|needs| index >= needs) {
            self.done = true;
            (self.answers, self.asked) = Default::default();
        }
    }
}
