//! How fresh the replicated state is.
//!
//! At a follower that has just started, `FreshnessCheck` asks the sources until one of them, or a majority that has just
//! started too, shows how much must be held here for the state to be fresh enough. Once it is, it counts as fresh for the
//! rest of the run.
//!
//! At a source, `LeaderContact` asks the leader that it follows whether it hears this source, since hearing a leader says
//! nothing about being heard by it.

use std::collections::BTreeMap;

use types::{LogIndex, MS, Micros, NodeAddress, SECOND};

use crate::{Effect, Freshness, Message, PEERS_MAX};

/// Proofs that are older than this are worthless: a source that has been in touch with a leader lately has one of at most a
/// second, and one that looks for a leader after losing it has found one within this time.
const PROOF_AGE_MAX: Micros = 3 * SECOND;
/// Time between requests to a source that has not answered, or not sufficiently, by the time since the first request to any
/// source: (until, interval). Short at first, because a source that has not met this node yet does not know which format
/// versions it reads, and therefore does not answer.
const REQUEST_INTERVALS: [(Micros, Micros); 2] = [(250 * MS, 60 * MS), (3 * SECOND, 250 * MS)];
/// The same after the last of them.
const LATER_REQUEST_INTERVAL: Micros = SECOND;
/// Answers of sources that have just started count together if they arrived within this time.
const ANSWER_VALIDITY: Micros = 1_500 * MS;

/// Time between a source's requests to the leader that it follows.
const CONTACT_INTERVAL: Micros = 400 * MS;

/// When the leader that a source follows was last known to hear it.
#[derive(Debug, Default)]
pub(crate) struct LeaderContact {
    leader: Option<NodeAddress>,
    last_request: Option<Micros>,
    /// The first of the requests that have not been answered.
    first_unanswered: Option<Micros>,
    confirmed_at: Option<Micros>,
}

impl LeaderContact {
    /// The latest time since which a leader is known to have heard this source.
    pub fn confirmed_at(&self) -> Option<Micros> {
        self.confirmed_at
    }

    /// Notes the leader, and asks it if that is due. Requests to another leader become void.
    pub fn follow(&mut self, now: Micros, leader: Option<NodeAddress>, out: &mut Vec<Effect>) {
        if leader != self.leader {
            (self.leader, self.last_request, self.first_unanswered) = (leader, None, None);
        }
        let Some(to) = leader else { return };
        if self.last_request.is_none_or(|at| now - at >= CONTACT_INTERVAL) {
            self.last_request = Some(now);
            self.first_unanswered.get_or_insert(now);
            out.push(Effect::Send { to, message: Message::FreshnessRequest });
        }
    }

    /// An answer may belong to any of the unanswered requests, so it is taken as one to the first of them.
    pub fn record_answer(&mut self, from: NodeAddress) {
        if self.leader == Some(from) {
            self.confirmed_at = self.confirmed_at.max(self.first_unanswered.take());
        }
    }
}

/// A source's answer.
#[derive(Clone, Copy, Debug)]
struct Answer {
    at: Micros,
    index: LogIndex,
    freshness: Freshness,
}

/// Finds out, at a follower, whether the state held here is fresh enough.
#[derive(Debug, Default)]
pub(crate) struct FreshnessCheck {
    answers: BTreeMap<NodeAddress, Answer>,
    /// When each source was last asked.
    requested: BTreeMap<NodeAddress, Micros>,
    first_request: Option<Micros>,
    /// The index that must be held for the state to be fresh enough.
    required: Option<LogIndex>,
    done: bool,
}

impl FreshnessCheck {
    /// Whether the state held here was fresh once. It then counts as fresh for good: a partition may later keep updates from
    /// all gateways alike, and a node that serves goes on serving.
    pub fn is_done(&self) -> bool {
        self.done
    }

    pub fn due(&self, sources: &[NodeAddress]) -> Micros {
        if self.done || self.required.is_some() {
            return Micros::MAX;
        }
        sources
            .iter()
            .map(|source| self.requested.get(source).map_or(0, |at| at + self.interval_after(*at)))
            .min()
            .unwrap_or(Micros::MAX)
    }

    /// Time from a request at `at` to the next one.
    fn interval_after(&self, at: Micros) -> Micros {
        let since_first = at - self.first_request.unwrap_or(at);
        REQUEST_INTERVALS
            .iter()
            .find(|(until, _)| since_first < *until)
            .map_or(LATER_REQUEST_INTERVAL, |(_, interval)| *interval)
    }

    /// Sends the requests that are due to the sources that are up.
    pub fn send_requests(&mut self, now: Micros, sources: &[NodeAddress], out: &mut Vec<Effect>) {
        if self.due(sources) > now {
            return;
        }
        self.first_request.get_or_insert(now);
        self.requested.retain(|address, _| sources.contains(address));
        for to in sources.iter().take(PEERS_MAX) {
            if self.requested.get(to).is_none_or(|at| now >= at + self.interval_after(*at)) {
                self.requested.insert(*to, now);
                out.push(Effect::Send { to: *to, message: Message::FreshnessRequest });
            }
        }
    }

    /// Notes an answer. Those of nodes that were not asked are ignored, which bounds what is kept.
    pub fn record_answer(&mut self, now: Micros, from: NodeAddress, index: LogIndex, freshness: Freshness) {
        if self.done || self.required.is_some() || !self.requested.contains_key(&from) {
            return;
        }
        if let Freshness::Proven { age, .. } = freshness
            && (0..=PROOF_AGE_MAX).contains(&age)
        {
            self.required = Some(index);
            return;
        }
        self.answers.retain(|address, answer| {
            self.requested.contains_key(address) && now - answer.at < ANSWER_VALIDITY
        });
        self.answers.insert(from, Answer { at: now, index, freshness });
        self.required = self.newest_of_started_majority();
    }

    /// Where a majority of the voters has just started, nothing newer than what the newest of them holds was committed.
    fn newest_of_started_majority(&self) -> Option<LogIndex> {
        let (mut started, mut voters, mut newest) = (0, 0, LogIndex(0));
        for answer in self.answers.values() {
            if let Freshness::JustStarted { voters: reported } = answer.freshness {
                started += 1;
                voters = voters.max(usize::from(reported));
                newest = newest.max(answer.index);
            }
        }
        (2 * started > voters).then_some(newest)
    }

    /// Notes that everything up to `index` is held here.
    pub fn index_held(&mut self, index: LogIndex) {
        if self.required.is_some_and(|required| index >= required) {
            self.done = true;
            (self.answers, self.requested) = Default::default();
        }
    }
}
