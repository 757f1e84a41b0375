//! Requests, their attempts, and the servers with what their attempts have shown.

use std::collections::VecDeque;

use crate::host::{Arrival, AttemptNo, AttemptOutcome, BuildNo, Micros, ServerId, ServerInfo, ZoneId};

/// Recent events with their times, oldest first.
#[derive(Default)]
pub struct Recent<T>(pub VecDeque<(Micros, T)>);

impl<T> Recent<T> {
    /// Adds an event and drops those from before `oldest`.
    pub fn add(&mut self, at: Micros, event: T, oldest: Micros) {
        self.0.push_back((at, event));
        while self.0.front().is_some_and(|(then, _)| *then < oldest) {
            self.0.pop_front();
        }
    }

    /// Number of events after `since`.
    pub fn count_since(&self, since: Micros) -> usize {
        self.0.len() - self.0.partition_point(|(at, _)| *at <= since)
    }

    /// The events after `since`, newest first.
    pub fn since(&self, since: Micros) -> impl Iterator<Item = &T> {
        self.0.iter().rev().take_while(move |(at, _)| *at > since).map(|(_, event)| event)
    }

    /// Time of the event that `later` other ones have followed.
    pub fn time_before(&self, later: usize) -> Option<Micros> {
        self.0.iter().rev().nth(later).map(|(at, _)| *at)
    }
}

/// One attempt of a request at a server.
#[derive(Clone, Copy)]
pub struct Attempt {
    pub server: ServerId,
    /// The build that the server ran when the attempt was sent.
    pub build: BuildNo,
    pub sent_at: Micros,
    /// Attempts of this gateway that were in flight at the server when this one was sent.
    pub in_flight_before: f64,
    /// The server had started too recently to be judged.
    pub server_young: bool,
    /// Its latency can be compared with others: it does not cross zones, or that makes no difference.
    pub latency_comparable: bool,
    /// `None` while it is in flight.
    pub outcome: Option<AttemptOutcome>,
}

impl Attempt {
    /// Number of this gateway's attempts in flight at the server when it was sent.
    pub fn in_flight(&self) -> usize {
        self.in_flight_before as usize
    }

    /// Whether it may have reached the server, or still may.
    pub fn may_have_arrived(&self) -> bool {
        !matches!(self.outcome, Some(AttemptOutcome::ConnectFailed | AttemptOutcome::NeverSent))
    }

    /// Whether the server may have executed it, or still may.
    pub fn may_have_run(&self) -> bool {
        use AttemptOutcome::{ConnectFailed, Misdirected, NeverSent, Rejected};
        !matches!(self.outcome, Some(Rejected | ConnectFailed | NeverSent | Misdirected))
    }
}

/// A client's request, kept until it is done and none of its attempts is in flight.
pub struct Request {
    pub arrival: Arrival,
    pub arrived_at: Micros,
    pub attempts: Vec<Attempt>,
    /// Its final answer has been sent or has begun, or its client has disconnected.
    pub done: bool,
}

impl Request {
    pub fn none_in_flight(&self) -> bool {
        self.attempts.iter().all(|attempt| attempt.outcome.is_some())
    }

    /// Whether it still needs an answer that no attempt in flight can bring.
    pub fn needs_attempt(&self) -> bool {
        !self.done && self.none_in_flight()
    }

    /// The last attempt, if the request still needs an answer and the attempt is in flight.
    pub fn last_in_flight(&self) -> Option<(AttemptNo, &Attempt)> {
        let (number, attempt) = self.attempts.iter().enumerate().next_back()?;
        let in_flight = !self.done && attempt.outcome.is_none();
        in_flight.then_some((AttemptNo(number as u32), attempt))
    }

    /// Stores the outcome of an attempt and returns the attempt; `None` if there is no such attempt.
    pub fn end_attempt(&mut self, number: AttemptNo, outcome: AttemptOutcome) -> Option<Attempt> {
        let attempt = self.attempts.get_mut(number.0 as usize)?;
        attempt.outcome = Some(outcome);
        Some(*attempt)
    }
}

/// One ended attempt, as kept for its server and for its profile.
#[derive(Clone, Copy)]
pub struct Sample {
    /// When the attempt ended.
    pub at: Micros,
    pub outcome: AttemptOutcome,
    pub latency: Micros,
    pub zone: ZoneId,
    /// The server answered nothing at all while the attempt was in flight.
    pub silent: bool,
    /// Its latency divided by the usual latency of its profile.
    pub latency_ratio: f64,
    /// See [`Attempt::in_flight_before`].
    pub in_flight_before: f64,
}

impl Sample {
    /// The sample of an attempt that ended `now`; without a `usual` latency its own is the usual one.
    pub fn new(
        attempt: &Attempt, outcome: AttemptOutcome, now: Micros, latency: Micros, usual: Option<Micros>,
        zone: ZoneId, silent: bool,
    ) -> Sample {
        let latency_ratio = latency as f64 / usual.unwrap_or(latency).max(1) as f64;
        let in_flight_before = attempt.in_flight_before;
        Sample { at: now, outcome, latency, zone, silent, latency_ratio, in_flight_before }
    }

    /// Its latency ratio, if it succeeded.
    pub fn answer_ratio(&self) -> Option<f64> {
        (self.outcome == AttemptOutcome::Succeeded).then_some(self.latency_ratio)
    }

    /// Whether it counts as a failure of the server: a time-out does so only if the server was silent.
    pub fn failed(&self) -> bool {
        let late = matches!(self.outcome, AttemptOutcome::TimedOut | AttemptOutcome::Cancelled);
        self.outcome != AttemptOutcome::Succeeded && (!late || self.silent)
    }

    /// Whether its connection could not be opened, or broke.
    pub fn connection_failed(&self) -> bool {
        matches!(self.outcome, AttemptOutcome::ConnectFailed | AttemptOutcome::Reset)
    }

    /// Whether it timed out, and the server was silent all the while.
    pub fn timed_out_silently(&self) -> bool {
        self.silent && self.outcome == AttemptOutcome::TimedOut
    }
}

/// Sums over the recent answers of a server.
#[derive(Clone, Copy, Default)]
pub struct AnswerTotals {
    pub count: f64,
    /// Sum of `Sample::latency_ratio`.
    pub latency_ratios: f64,
    /// Sum of `Sample::in_flight_before`.
    pub in_flight: f64,
    /// Maximum of `Sample::in_flight_before`.
    pub max_in_flight: f64,
}

/// A server and what this gateway has seen of it.
#[derive(Default)]
pub struct Server {
    pub info: ServerInfo,
    /// When each attempt that is in flight was sent, oldest first.
    pub in_flight: Vec<Micros>,
    /// Attempts sent lately; they count against the load limit of a machine that warms up.
    pub recent_sends: Recent<()>,
    pub samples: VecDeque<Sample>,
    /// When it last answered, with success or failure.
    pub last_answer_at: Micros,
    /// A request rejected on its account has counted as its failure since its last answer.
    pub rejection_counted: bool,
}

impl Server {
    /// An attempt that is sent to this server now.
    pub fn new_attempt(&self, now: Micros, server_young: bool, latency_comparable: bool) -> Attempt {
        Attempt {
            server: self.info.server,
            build: self.info.build,
            sent_at: now,
            in_flight_before: self.in_flight.len() as f64,
            server_young,
            latency_comparable,
            outcome: None,
        }
    }

    /// Samples of the last `window`.
    pub fn recent_samples(&self, now: Micros, window: Micros) -> impl Iterator<Item = &Sample> {
        self.samples.iter().filter(move |sample| now - sample.at < window)
    }

    /// Samples of successful attempts of the last `window`.
    pub fn recent_answers(&self, now: Micros, window: Micros) -> impl Iterator<Item = &Sample> {
        self.recent_samples(now, window).filter(|sample| sample.outcome == AttemptOutcome::Succeeded)
    }

    /// Sums over the answers of the last `window`; `None` if there are none.
    pub fn answer_totals(&self, now: Micros, window: Micros) -> Option<AnswerTotals> {
        let totals =
            self.recent_answers(now, window).fold(AnswerTotals::default(), |totals, sample| AnswerTotals {
                count: totals.count + 1.0,
                latency_ratios: totals.latency_ratios + sample.latency_ratio,
                in_flight: totals.in_flight + sample.in_flight_before,
                max_in_flight: totals.max_in_flight.max(sample.in_flight_before),
            });
        (totals.count > 0.0).then_some(totals)
    }
}

/// The samples after `since`, oldest first.
pub fn samples_after(samples: &VecDeque<Sample>, since: Micros) -> impl Iterator<Item = &Sample> {
    samples.range(samples.partition_point(|sample| sample.at <= since)..)
}

/// Appends an entry and drops the oldest one beyond `limit`.
pub fn push_bounded<T>(entries: &mut VecDeque<T>, entry: T, limit: usize) {
    entries.push_back(entry);
    if entries.len() > limit {
        entries.pop_front();
    }
}
