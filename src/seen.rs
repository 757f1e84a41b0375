//! What a gateway remembers: plain state, filled and read by the decisions in `balance.rs`.

use std::collections::{BTreeMap, VecDeque};

use crate::host::{
    Arrival, BuildNo, Condition, Ending, GatewayId, KeyId, Listing, Micros, News, ProfileId, ServerId,
    StageNo, Tally, TicketId, Vote, ZoneId,
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
    pub ended: Option<Ending>,
}

pub struct Ticket {
    pub arrival: Arrival,
    pub came: Micros,
    pub trips: Vec<Trip>,
    /// It has its final answer, or belongs to its client.
    pub over: bool,
}

impl Trip {
    /// Whether it may have run, or may still.
    pub fn may_have_run(&self) -> bool {
        !matches!(self.ended, Some(Ending::Full | Ending::ConnectFailed | Ending::NeverSent))
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
    pub ending: Ending,
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
        let late = matches!(self.ending, Ending::TimedOut | Ending::Stopped);
        self.ending != Ending::Finished && (!late || self.silent)
    }

    /// It timed out with nothing heard, and was not given up before.
    pub fn lost(&self) -> bool {
        self.silent && self.ending == Ending::TimedOut
    }
}

#[derive(Default)]
pub struct Server {
    pub listing: Listing,
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
        self.fresh(now, span).filter(|sample| sample.ending == Ending::Finished)
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

/// Some outcomes: when they came, how many failed, and how many there were.
pub type Outcomes = (Micros, f64, f64);

/// All of it.
#[derive(Default)]
pub struct Seen {
    pub servers: BTreeMap<ServerId, Server>,
    pub tickets: BTreeMap<TicketId, Ticket>,
    pub news: Option<News>,
    pub news_at: Micros,
    /// The vote cast last, and when it is due again.
    pub cast: Option<(BuildNo, StageNo, Vote)>,
    pub again: Micros,
    /// When the vote on is due, for which a wake-up is set.
    pub ripe: Micros,
    pub alarm: Option<Sign>,
    /// The paper's statistic y, by build and sign.
    pub cusums: BTreeMap<(BuildNo, Sign), f64>,
    /// The last outcomes by build and sign.
    pub outcomes: BTreeMap<(BuildNo, Sign), VecDeque<Outcomes>>,
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
    /// Trips sent lately to builds on trial.
    pub exposed: Recent<(BuildNo, ProfileId)>,
    pub further: Recent<()>,
    /// The newest build that answered each key, where keys stay.
    pub answered: BTreeMap<KeyId, BuildNo>,
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

    /// What a profile's last answers took.
    pub fn answers(&self, profile: ProfileId, since: Micros) -> Vec<Micros> {
        let kept = self.times.get(&profile).into_iter().flatten();
        kept.filter(|s| s.at > since && s.ending == Ending::Finished).map(|s| s.took).collect()
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
    pub fn end(&mut self, id: TicketId) {
        if let Some(ticket) = self.tickets.get_mut(&id) {
            ticket.over = true;
        }
        self.close(id);
    }

    /// Forgets a ticket that is over and has no trip out.
    pub fn close(&mut self, id: TicketId) {
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
    pub cold: Micros,
    pub cold_from: f64,
    /// The gateway's own zone.
    pub zone: Option<ZoneId>,
    pub crossing: f64,
    /// The mean strain of each zone's servers.
    pub zones: BTreeMap<ZoneId, f64>,
}
