//! What a gateway remembers: plain state, filled and read by the decisions in `balance.rs` and its folder.

use std::collections::{BTreeMap, VecDeque};

use crate::host::{
    Arrival, AttemptOutcome, BuildNo, Condition, GatewayId, KeyId, Micros, ProfileId, RequestId,
    RolloutPhase, RolloutStatus, ServerId, ServerInfo, StageNo, Tally, Vote, ZoneId,
};

/// What happened lately, oldest first.
#[derive(Default)]
pub struct Recent<T>(pub VecDeque<(Micros, T)>);

impl<T> Recent<T> {
    /// Adds one, and forgets those from before `since`.
    pub fn add(&mut self, at: Micros, what: T, since: Micros) {
        self.0.push_back((at, what));
        while self.0.front().is_some_and(|(then, _)| *then < since) {
            self.0.pop_front();
        }
    }

    /// How many came after `since`.
    pub fn count_since(&self, since: Micros) -> usize {
        self.0.len() - self.0.partition_point(|(at, _)| *at <= since)
    }

    pub fn since(&self, since: Micros) -> impl Iterator<Item = &T> {
        self.0.iter().rev().take_while(move |(at, _)| *at > since).map(|(_, what)| what)
    }
}

/// One trip of a ticket.
#[derive(Clone, Copy)]
pub struct Trip {
    pub server: ServerId,
    pub build: BuildNo,
    pub sent: Micros,
    /// Trips that this gateway had out at the server when this one left.
    pub beside: f64,
    /// The machine was too young to be judged.
    pub young: bool,
    /// It stays in the gateway's zone.
    pub near: bool,
    pub ended: Option<AttemptOutcome>,
}

pub struct Ticket {
    pub arrival: Arrival,
    pub came: Micros,
    pub trips: Vec<Trip>,
    /// It has its final answer, or belongs to its client.
    pub over: bool,
}

impl Trip {
    /// Whether the server may have seen it, or may still.
    pub fn may_have_arrived(&self) -> bool {
        !matches!(self.ended, Some(AttemptOutcome::ConnectFailed | AttemptOutcome::NeverSent))
    }

    /// Whether it may have run, or may still.
    pub fn may_have_run(&self) -> bool {
        use AttemptOutcome::{ConnectFailed, Misdirected, NeverSent, Rejected};
        !matches!(self.ended, Some(Rejected | ConnectFailed | NeverSent | Misdirected))
    }
}

impl Ticket {
    pub fn none_out(&self) -> bool {
        self.trips.iter().all(|trip| trip.ended.is_some())
    }
}

/// One ended trip, as kept at its server and for its profile.
#[derive(Clone, Copy)]
pub struct Sample {
    pub at: Micros,
    pub ending: AttemptOutcome,
    pub took: Micros,
    pub zone: ZoneId,
    /// Nothing at all came from the server while the trip was out.
    pub silent: bool,
    /// Its time over the profile's usual time.
    pub stretch: f64,
    pub beside: f64,
}

impl Sample {
    /// It failed, and not only late while its server answered others.
    pub fn failed(&self) -> bool {
        let late = matches!(self.ending, AttemptOutcome::TimedOut | AttemptOutcome::Cancelled);
        self.ending != AttemptOutcome::Succeeded && (!late || self.silent)
    }

    /// The connection could not be opened, or it broke.
    pub fn connection_failed(&self) -> bool {
        matches!(self.ending, AttemptOutcome::ConnectFailed | AttemptOutcome::Reset)
    }

    /// It timed out with nothing heard, and was not given up before.
    pub fn lost(&self) -> bool {
        self.silent && self.ending == AttemptOutcome::TimedOut
    }
}

/// Sums over a server's recent answers.
#[derive(Clone, Copy, Default)]
pub struct Answered {
    pub count: f64,
    /// Of their times over their profiles' usual times.
    pub stretch: f64,
    /// Of the trips that were out there beside them, and the most of these beside one of them.
    pub beside: f64,
    pub beside_most: f64,
}

#[derive(Default)]
pub struct Server {
    pub listing: ServerInfo,
    /// When each trip that is still out was sent.
    pub out: Vec<Micros>,
    /// When trips were sent lately, for the budget of a cold machine.
    pub sent: Recent<()>,
    pub samples: VecDeque<Sample>,
    pub heard: Micros,
    /// A turn-back has counted as its failure since its last answer.
    pub turned: bool,
}

impl Server {
    pub fn fresh(&self, now: Micros, span: Micros) -> impl Iterator<Item = &Sample> {
        self.samples.iter().filter(move |sample| now - sample.at < span)
    }

    pub fn fresh_answers(&self, now: Micros, span: Micros) -> impl Iterator<Item = &Sample> {
        self.fresh(now, span).filter(|sample| sample.ending == AttemptOutcome::Succeeded)
    }

    /// What it answered within `span`, if it answered anything.
    pub fn answered(&self, now: Micros, span: Micros) -> Option<Answered> {
        let sums = self.fresh_answers(now, span).fold(Answered::default(), |sums, sample| Answered {
            count: sums.count + 1.0,
            stretch: sums.stretch + sample.stretch,
            beside: sums.beside + sample.beside,
            beside_most: sums.beside_most.max(sample.beside),
        });
        (sums.count > 0.0).then_some(sums)
    }
}

/// What the statistic is kept on, for each build: the design page's failures of a profile, and our
/// departures: answers that clients dispute, trips at any build slower than nearly all before the trial
/// began, failures of a profile that others count too, and sessions of a profile that were broken.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Sign {
    Failed(ProfileId),
    Disputed,
    Worse,
    Counted(ProfileId),
    /// Sessions that their servers broke.
    Broke(ProfileId),
}

impl Sign {
    /// The profile that it is about, where it is about one.
    pub fn profile(self) -> Option<ProfileId> {
        match self {
            Sign::Failed(profile) | Sign::Counted(profile) | Sign::Broke(profile) => Some(profile),
            Sign::Disputed | Sign::Worse => None,
        }
    }
}

/// Some outcomes: when they came, how many failed, and how many there were.
pub type Outcomes = (Micros, f64, f64);

/// What is known of a build by one sign: the paper's statistic y, and the last outcomes.
#[derive(Default)]
pub struct Record {
    pub y: f64,
    pub outcomes: VecDeque<Outcomes>,
}

/// One outcome as gateways tell it to each other, in five bytes; the profile's number has six bits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Told {
    /// The lowest byte of the number of the build on trial.
    pub build: u8,
    /// Of the message, by its sender.
    pub number: u16,
    pub zone: u8,
    pub profile: u8,
    /// The outcome is that build's, not an earlier one's.
    pub judged: bool,
    pub failed: bool,
}

impl Told {
    pub fn bytes(self) -> [u8; 5] {
        let [n0, n1] = self.number.to_le_bytes();
        let code = self.profile << 2 | u8::from(self.judged) << 1 | u8::from(self.failed);
        [self.build, n0, n1, self.zone, code]
    }

    pub fn read(bytes: &[u8]) -> Option<Told> {
        let [build, n0, n1, zone, code] = *bytes else { return None };
        let number = u16::from_le_bytes([n0, n1]);
        Some(Told { build, number, zone, profile: code >> 2, judged: code & 2 > 0, failed: code & 1 > 0 })
    }
}

/// What has been counted since the order to try a build, as far as this gateway knows of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Order {
    pub build: BuildNo,
    /// Tickets taken.
    pub taken: u64,
    /// Trips sent to the build.
    pub sent: u64,
}

/// All of it.
#[derive(Default)]
pub struct Seen {
    pub servers: BTreeMap<ServerId, Server>,
    pub tickets: BTreeMap<RequestId, Ticket>,
    pub news: Option<RolloutStatus>,
    pub news_at: Micros,
    /// The vote cast last, and when it is due again.
    pub cast: Option<(BuildNo, StageNo, Vote)>,
    pub again: Micros,
    /// When the vote on is due, for which a wake-up is set.
    pub ripe: Micros,
    pub alarm: Option<Sign>,
    pub records: BTreeMap<BuildNo, BTreeMap<Sign, Record>>,
    /// Tallies that wait for the rest of their batch, and when the last period of each kind ended.
    pub tallies: Vec<Tally>,
    pub tallied: BTreeMap<(BuildNo, ProfileId), Micros>,
    pub told: u16,
    /// The number of each peer's last message on a build, and how many told of
    /// success and of failure.
    pub heard: BTreeMap<(GatewayId, bool), (u16, [usize; 2])>,
    /// When the next beat is due, and when one last came late.
    pub beat: Micros,
    pub stalled: Micros,
    /// The last trips' times, by profile.
    pub times: BTreeMap<ProfileId, VecDeque<Sample>>,
    /// The time that nearly all answers kept just before the newest build went on trial, by profile.
    pub before: BTreeMap<ProfileId, Micros>,
    /// Since when the present is worse than before the trial.
    pub worse: Option<Micros>,
    pub taken: Recent<ProfileId>,
    pub finished: Recent<()>,
    pub order: Option<Order>,
    /// Trips sent lately to builds on trial.
    pub exposed: Recent<(BuildNo, ProfileId)>,
    pub further: Recent<()>,
    /// The newest build that answered each key, where keys stay.
    pub answered: BTreeMap<KeyId, BuildNo>,
}

/// The samples from after `since`, oldest first.
pub fn from(kept: &VecDeque<Sample>, since: Micros) -> impl Iterator<Item = &Sample> {
    kept.range(kept.partition_point(|sample| sample.at <= since)..)
}

/// Adds an entry and keeps the last `most`.
pub fn keep<T>(kept: &mut VecDeque<T>, entry: T, most: usize) {
    kept.push_back(entry);
    if kept.len() > most {
        kept.pop_front();
    }
}

impl Seen {
    pub fn healthy(&self) -> impl Iterator<Item = &Server> {
        self.servers.values().filter(|server| server.listing.condition == Condition::Healthy)
    }

    /// The trips that are still out, each with its ticket's profile.
    pub fn out(&self) -> impl Iterator<Item = (ProfileId, &Trip)> {
        self.tickets.values().flat_map(|ticket| {
            let out = ticket.trips.iter().filter(|trip| trip.ended.is_none());
            out.map(|trip| (ticket.arrival.profile, trip))
        })
    }

    /// Takes news in; an order to try a build begins with the first news of it, or of it once more.
    pub fn told_news(&mut self, news: RolloutStatus, now: Micros) {
        let goes_on = |old: RolloutStatus| old.build == news.build && old.phase == RolloutPhase::InTrial;
        if news.phase == RolloutPhase::InTrial && !self.news.is_some_and(goes_on) {
            self.order = Some(Order { build: news.build, ..Order::default() });
        }
        (self.news, self.news_at) = (Some(news), now);
    }

    /// Counts a ticket that came.
    pub fn took(&mut self, profile: ProfileId, now: Micros, since: Micros) {
        self.taken.add(now, profile, since);
        self.order.iter_mut().for_each(|order| order.taken += 1);
    }

    /// Counts a trip to a build on trial; one by one since then, if that is needed.
    pub fn exposes(&mut self, build: BuildNo, profile: ProfileId, now: Micros, since: Option<Micros>) {
        if let Some(since) = since {
            self.exposed.add(now, (build, profile), since);
        }
        let order = self.order.iter_mut().filter(|order| order.build == build);
        order.for_each(|order| order.sent += 1);
    }

    /// Takes what the list says of some servers; one that starts anew is another process, of which what the
    /// last one did says nothing. Those that are gone are forgotten once no trip is out there.
    pub fn listed(&mut self, list: Vec<ServerInfo>) {
        for listing in list {
            let server = self.servers.entry(listing.server).or_default();
            if (server.listing.build, server.listing.started) != (listing.build, listing.started) {
                *server = Server { out: std::mem::take(&mut server.out), ..Server::default() };
            }
            server.listing = listing;
        }
        self.servers.retain(|_, s| s.listing.condition != Condition::Gone || !s.out.is_empty());
    }

    /// What a profile's last answers took.
    pub fn answers(&self, profile: ProfileId, since: Micros) -> impl Iterator<Item = Micros> {
        let kept = self.times.get(&profile).into_iter().flat_map(move |kept| from(kept, since));
        kept.filter(|sample| sample.ending == AttemptOutcome::Succeeded).map(|sample| sample.took)
    }

    /// A profile's usual time; unknown while it rests on less than 5 answers.
    pub fn usual(&self, profile: ProfileId, since: Micros) -> Option<Micros> {
        if self.times.get(&profile)?.len() < 5 {
            return None;
        }
        let (sum, count) = self.answers(profile, since).fold((0, 0), |(sum, n), took| (sum + took, n + 1));
        (count >= 5).then(|| sum / count)
    }

    /// Notes what a peer told, if it is newer than its last word and no more than `most` successes and failures of it
    /// have been heard on the build; tells whether it was.
    pub fn hears(&mut self, from: GatewayId, told: Told, most: [usize; 2]) -> bool {
        let known = self.heard.get(&(from, told.judged)).copied();
        let (last, mut times) = known.unwrap_or((told.number, [0; 2]));
        let new = times == [0; 2] || told.number.wrapping_sub(last).wrapping_sub(1) < u16::MAX / 2;
        let failed = usize::from(told.failed);
        if !new || times[failed] >= most[failed] {
            return false;
        }
        times[failed] += 1;
        self.heard.insert((from, told.judged), (told.number, times));
        true
    }

    /// How many outcomes of the builds before this one failed, and how many there were.
    pub fn earlier(&self, build: BuildNo, sign: Sign, since: Micros) -> (f64, f64) {
        let records = self.records.range(..build).filter_map(|(_, records)| records.get(&sign));
        let kept = records.flat_map(|record| record.outcomes.iter().filter(|(at, ..)| *at >= since));
        kept.fold((0.0, 0.0), |(f, n), (_, failed, count)| (f + failed, n + count))
    }

    /// News of a new build: what peers told begins anew, and builds before `oldest` are forgotten.
    pub fn forget_before(&mut self, oldest: BuildNo) {
        self.heard.clear();
        self.records.retain(|build, _| *build >= oldest);
        self.tallied.retain(|(build, _), _| *build >= oldest);
        self.answered.retain(|_, build| *build >= oldest);
    }

    /// Takes an ended trip off its server; tells that server's zone and whether it was silent all the while.
    pub fn landed(&mut self, on: &Trip, ending: AttemptOutcome, now: Micros) -> Option<(ZoneId, bool)> {
        let server = self.servers.get_mut(&on.server)?;
        server.out.iter().position(|at| *at == on.sent).map(|at| server.out.remove(at));
        let answered =
            matches!(ending, AttemptOutcome::Succeeded | AttemptOutcome::Error | AttemptOutcome::Rejected);
        let silent = !answered && server.heard <= on.sent;
        if answered {
            (server.heard, server.turned) = (now, false);
        }
        Some((server.listing.zone, silent))
    }

    /// What is known of a build by one sign; of so many builds at most, the newest.
    pub fn record(&mut self, build: BuildNo, sign: Sign, most: usize) -> &mut Record {
        if self.records.len() >= most && !self.records.contains_key(&build) {
            self.records.pop_first();
        }
        self.records.entry(build).or_default().entry(sign).or_default()
    }

    /// Forgets all but the profiles that there are.
    pub fn forget_profiles(&mut self, there: impl Fn(ProfileId) -> bool) {
        self.times.retain(|profile, _| there(*profile));
        self.before.retain(|profile, _| there(*profile));
        self.tallied.retain(|(_, profile), _| there(*profile));
        self.records
            .values_mut()
            .for_each(|records| records.retain(|sign, _| sign.profile().is_none_or(&there)));
    }

    /// Keeps a sample at its server and for its profile, and none of the profile's from before `since`.
    pub fn sampled(
        &mut self, server: ServerId, profile: ProfileId, sample: Sample, most: [usize; 2], since: Micros,
    ) {
        if let Some(server) = self.servers.get_mut(&server) {
            keep(&mut server.samples, sample, most[0]);
        }
        let times = self.times.entry(profile).or_default();
        times.drain(..times.partition_point(|sample| sample.at <= since));
        keep(times, sample, most[1]);
    }

    /// Forgets the profiles that nothing is known of since then: they come and go for weeks.
    pub fn forget_times(&mut self, since: Micros) {
        self.times.retain(|_, times| times.back().is_some_and(|last| last.at > since));
    }

    /// Notes the newest build that answered a key; no more than `most` keys stay.
    pub fn key_answered(&mut self, key: KeyId, build: BuildNo, most: usize) {
        let newest = self.answered.entry(key).or_insert(build);
        *newest = build.max(*newest);
        if self.answered.len() > most {
            self.answered.pop_first();
        }
    }

    /// Marks a ticket as over.
    pub fn end(&mut self, id: RequestId) {
        if let Some(ticket) = self.tickets.get_mut(&id) {
            ticket.over = true;
        }
        self.close(id);
    }

    /// Forgets a ticket that is over and has no trip out.
    pub fn close(&mut self, id: RequestId) {
        if self.tickets.get(&id).is_some_and(|ticket| ticket.over && ticket.none_out()) {
            self.tickets.remove(&id);
        }
    }
}

/// What servers are looked at by.
pub struct View {
    pub now: Micros,
    pub span: Micros,
    /// How long a server may say nothing while a trip is out.
    pub silence: Micros,
    /// Each profile's usual time, of those that have one.
    pub usuals: BTreeMap<ProfileId, Micros>,
    pub cold: Micros,
    pub cold_from: f64,
    /// The gateway's own zone.
    pub zone: Option<ZoneId>,
    pub crossing: f64,
    /// The mean strain of each zone's servers.
    pub zones: BTreeMap<ZoneId, f64>,
}

impl View {
    pub fn usual(&self, profile: ProfileId) -> Option<Micros> {
        self.usuals.get(&profile).copied()
    }
}
