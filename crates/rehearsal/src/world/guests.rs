//! Guests (clients): they ask, wait, give up, and repeat as they may.

use bill::Kind;
use garnetdoor::host::RequestId;
use props::{MS, Micros, SECOND};

use super::{Event, World};
use crate::seen::{Answer, What};

#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub route: usize,
    pub kind: Kind,
    pub sent: Micros,
    pub deadline: Micros,
    pub tries_left: u32,
    /// Foyer, process and ticket that it is at.
    pub at: Option<(usize, u64, RequestId)>,
    pub foyer: usize,
    pub read: bool,
    pub over: bool,
}

/// The platform that hands clients to foyers.
#[derive(Clone, Debug)]
pub(crate) struct Guests {
    /// By machine: how often it missed, and whether it gets new clients.
    misses: Vec<u32>,
    open: Vec<bool>,
}

impl Guests {
    pub fn new(machines: usize) -> Guests {
        Guests { misses: vec![0; machines], open: vec![false; machines] }
    }
}

impl World {
    /// Asks each foyer whether it is ready.
    pub(crate) fn readiness(&mut self) {
        for at in self.foyers() {
            let reached = self.now >= self.machines[at].frozen
                && self.passes(None, Some(at))
                && self.passes(Some(at), None);
            let ready = reached && self.says_ready(at);
            let misses = &mut self.guests.misses[at];
            *misses = if ready { 0 } else { *misses + 1 };
            if ready {
                self.guests.open[at] = true;
            } else if *misses >= 2 {
                self.guests.open[at] = false;
            }
        }
        self.later(SECOND, Event::Readiness);
    }

    pub(crate) fn foyers(&self) -> std::ops::Range<usize> {
        self.scenario.prompters..self.scenario.machines()
    }

    pub(crate) fn guest(&mut self) {
        let every = SECOND / Micros::from(self.scenario.requests.max(1));
        let mut next = self.span(every / 4, every * 7 / 4);
        if self.now < self.burst.0 {
            next /= Micros::from(self.burst.1.max(1));
        }
        self.later(next, Event::Guest);
        let route = self.pick(self.scenario.site.routes());
        let kind = self.scenario.site.kind(route);
        let deadline = self.now + if kind == Kind::Safe { SECOND } else { 1_200 * MS };
        let tries = if self.now < self.eager { 8 } else { 2 };
        self.ask(route, kind, deadline, tries, None);
    }

    /// A request for a route that comes and goes, to any foyer that is ready or gets clients.
    pub(crate) fn probe(&mut self) {
        self.later(100 * MS, Event::Probe);
        let route = self.scenario.site.routes() + self.pick(self.scenario.site.added);
        let open: Vec<usize> = self.foyers().filter(|at| self.guests.open[*at]).collect();
        if !open.is_empty() {
            let foyer = open[self.pick(open.len())];
            self.ask_at(foyer, route, Kind::Safe, self.now + SECOND, 0);
        }
    }

    fn ask(&mut self, route: usize, kind: Kind, deadline: Micros, tries_left: u32, not: Option<usize>) {
        let open: Vec<usize> = self.foyers().filter(|at| self.guests.open[*at]).collect();
        let all = self.foyers().len();
        let mut from = if open.len() * 2 < all { self.foyers().collect() } else { open };
        if from.len() > 1 {
            from.retain(|at| Some(*at) != not);
        }
        let foyer = from[self.pick(from.len())];
        self.ask_at(foyer, route, kind, deadline, tries_left);
    }

    fn ask_at(&mut self, foyer: usize, route: usize, kind: Kind, deadline: Micros, tries_left: u32) {
        let request = self.requests.len() as u64;
        let sent = self.now;
        self.requests.push(Request {
            route,
            kind,
            sent,
            deadline,
            tries_left,
            at: None,
            foyer,
            read: false,
            over: false,
        });
        self.saw(What::Asked { request, route, kind });
        self.later(deadline - sent, Event::Deadline { request });
        let patience = SECOND.min((deadline - sent) / 3);
        self.later(patience, Event::Patience { request });
        if self.passes(None, Some(foyer)) {
            let way = self.way(foyer);
            self.later(way, Event::Knock { at: foyer, request });
        }
    }

    /// The client has an answer, or a closed connection; `wait` under 0: its request was not read.
    pub(crate) fn answered(&mut self, request: u64, answer: Answer, wait: Option<Micros>) {
        let asked = &mut self.requests[request as usize];
        if std::mem::replace(&mut asked.over, true) {
            return;
        }
        let unread = wait.is_some_and(|wait| wait < 0);
        let again = match answer {
            Answer::Good | Answer::NoRoute | Answer::GaveUp => false,
            Answer::Promise => true,
            Answer::Nothing => asked.kind == Kind::Safe || unread,
        };
        let left = asked.deadline - self.now;
        let again = again && asked.tries_left > 0 && left > 50 * MS;
        let eager = self.now < self.eager;
        self.saw(What::Answered { request, answer });
        if again {
            let pause = if eager { MS } else { wait.unwrap_or(10 * MS).clamp(10 * MS, left / 3) };
            self.later(pause, Event::Retry { request });
        }
    }

    pub(crate) fn retry(&mut self, request: u64) {
        let Request { route, kind, deadline, tries_left, foyer, .. } = self.requests[request as usize];
        if deadline - self.now > 20 * MS {
            self.ask(route, kind, deadline, tries_left - 1, Some(foyer));
        }
    }

    /// A gateway that has not read a repeatable request by now is given up.
    pub(crate) fn patience(&mut self, request: u64) {
        let asked = &self.requests[request as usize];
        if !asked.over && !asked.read && asked.kind == Kind::Safe {
            self.answered(request, Answer::Nothing, None);
        }
    }

    pub(crate) fn deadline(&mut self, request: u64) {
        let asked = &mut self.requests[request as usize];
        if std::mem::replace(&mut asked.over, true) {
            return;
        }
        let at = asked.at;
        self.saw(What::Answered { request, answer: Answer::GaveUp });
        if let Some((at, run, ticket)) = at
            && self.passes(None, Some(at))
        {
            let way = self.way(at);
            self.later(way, Event::ClientGone { at, run, ticket });
        }
    }
}
