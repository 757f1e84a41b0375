//! Foyers: hosts `floor` as the driver on sockets does: routes, tickets, trips over few connections, replies.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use configuration::RouteKind;
use garnetdoor::host::{AttemptNo, AttemptOutcome, RequestId};
use playhouse::data_plane::service_host::TargetInstance as Target;
use playhouse::data_plane::{DataPlane, Effect, Input};
use playhouse::node::NodeMessage;
use types::{MS, Micros, RunId, SECOND};

use super::instances::Trip;
use super::machine::Process;
use super::{Event, World};
use crate::plant::Planted;
use crate::seen::{Answer, What};
use crate::texts;

struct Open {
    request: u64,
    until: Micros,
    safe: bool,
    trips: Vec<usize>,
    replied: bool,
    /// An instance's own failure is kept, and passed on if nothing better comes.
    kept: bool,
}

pub(crate) struct FoyerProc {
    pub floor: DataPlane,
    open: BTreeMap<RequestId, Open>,
    next: u64,
    /// Connections in use, by address.
    out: BTreeMap<SocketAddrV4, usize>,
    /// It was ready once.
    was_ready: bool,
}

impl World {
    pub(crate) fn start_foyer(&mut self, at: usize) {
        let life = RunId(self.chance.rand_u64());
        let house = self.house(at, life);
        let seed = self.chance.rand_u64();
        let mut settings = (*self.settings).clone();
        settings.zone = format!("z{}", self.machines[at].zone);
        let floor = DataPlane::start(house, settings.into(), seed, 0);
        let due = floor.due();
        let process =
            FoyerProc { floor, open: BTreeMap::new(), next: 0, out: BTreeMap::new(), was_ready: false };
        self.machines[at].process = Some(Process::Foyer(Box::new(process)));
        self.old_scripts.remove(&at);
        self.wake(at, due);
    }

    pub(crate) fn foyer(&mut self, at: usize) -> Option<&mut FoyerProc> {
        match &mut self.machines[at].process {
            Some(Process::Foyer(process)) => Some(process),
            _ => None,
        }
    }

    pub(crate) fn foyer_step(&mut self, at: usize, event: Input<'_>) {
        let now = self.clock(at);
        let Some(process) = self.foyer(at) else { return };
        let out = process.floor.step(now, event);
        for what in out {
            match what {
                Effect::Send { to, message: word } => {
                    let mute = self.planted == Some(Planted::NoCap) && matches!(*word, NodeMessage::Vote(_));
                    if !mute {
                        self.send(at, to, &word);
                    }
                }
                Effect::StartAttempt {
                    request: ticket,
                    attempt: trip,
                    target: to,
                    deadline: until,
                    connections,
                } => {
                    self.trip(at, ticket, trip, &to, until, connections.get());
                }
                Effect::CancelAttempt { request: ticket, attempt: trip } => self.stop_trip(at, ticket, trip),
                Effect::Reject { request: ticket, retry_after: wait } => {
                    self.respond(at, ticket, Answer::Promise, Some(wait.unwrap_or(100 * MS)));
                }
                Effect::Fail { request: ticket } => self.respond(at, ticket, Answer::Nothing, None),
            }
        }
        let ready = self.says_ready(at);
        let run = self.machines[at].run;
        if let Some(process) = self.foyer(at) {
            let due = process.floor.due();
            let first = ready && !std::mem::replace(&mut process.was_ready, ready);
            let version = process.floor.configuration().map_or(0, |bill| bill.version.0);
            self.wake(at, due);
            if first {
                self.saw(What::Ready { foyer: at, life: run, version });
            }
        }
    }

    /// What a foyer answers when it is asked whether it is ready.
    pub(crate) fn says_ready(&self, at: usize) -> bool {
        let Some(Process::Foyer(process)) = &self.machines[at].process else { return false };
        let early = self.planted == Some(Planted::ReadyOnOld) && process.floor.configuration().is_some();
        process.floor.ready() || early
    }

    /// A client's request arrives at the socket.
    pub(crate) fn knock(&mut self, at: usize, request: u64) {
        let machine = &self.machines[at];
        if !machine.powered || !self.passes(None, Some(at)) {
            return;
        }
        let now = self.clock(at);
        let life = machine.run;
        if machine.closing {
            return self.later(MS, Event::Answered { request, answer: Answer::Nothing, wait: Some(-1) });
        }
        let Some(process) = self.foyer(at) else {
            // Nobody listens: the client's connection is refused, its request unread.
            return self.later(MS, Event::Answered { request, answer: Answer::Nothing, wait: Some(-1) });
        };
        let bill = process.floor.configuration().cloned();
        let asked = &mut self.requests[request as usize];
        asked.read = true;
        let (route, sent, deadline) = (asked.route, asked.sent, asked.deadline);
        let Some(bill) = bill else {
            return self.answer_client(at, request, Answer::Promise, Some(100 * MS));
        };
        let version = bill.version.0;
        let found = bill.find_route(texts::HOST, &texts::path(route));
        let Some(found) = found else {
            self.saw(What::Handled { request, sent, foyer: at, life, version, service: usize::MAX });
            return self.answer_client(at, request, Answer::NoRoute, None);
        };
        let mut drawn =
            self.chance.rand_float() * found.targets.iter().map(|target| target.weight).sum::<f64>();
        let mut service = &*found.targets[0].service;
        for target in &found.targets {
            if target.weight > 0.0 {
                service = &target.service;
            }
            if drawn < target.weight {
                break;
            }
            drawn -= target.weight;
        }
        let number = texts::service_no(service);
        self.saw(What::Handled { request, sent, foyer: at, life, version, service: number });
        let left = (deadline - self.now).max(0).min(found.timeout);
        let Some(process) = self.foyer(at) else { return };
        process.next += 1;
        let ticket = RequestId(process.next);
        let (safe, until) = (found.kind == RouteKind::Safe, now + left);
        let open = Open { request, until, safe, trips: Vec::new(), replied: false, kept: false };
        process.open.insert(ticket, open);
        self.requests[request as usize].at = Some((at, life, ticket));
        let (name, kind) = (found.name.to_string(), found.kind);
        self.foyer_step(
            at,
            Input::RequestArrived { request: ticket, service, route: &name, kind, time_left: left },
        );
    }

    /// A final answer; an instance's own failure stands in for a refusal.
    fn respond(&mut self, at: usize, ticket: RequestId, answer: Answer, wait: Option<Micros>) {
        let Some(open) = self.foyer(at).and_then(|process| process.open.get_mut(&ticket)) else { return };
        if std::mem::replace(&mut open.replied, true) {
            return;
        }
        let (request, kept) = (open.request, open.kept);
        let (answer, wait) =
            if kept && answer != Answer::Good { (Answer::Nothing, None) } else { (answer, wait) };
        self.answer_client(at, request, answer, wait);
        let run = self.machines[at].run;
        self.later(0, Event::ClientGone { at, run, ticket });
    }

    fn answer_client(&mut self, at: usize, request: u64, answer: Answer, wait: Option<Micros>) {
        if self.passes(Some(at), None) {
            let way = self.way(at);
            self.later(way, Event::Answered { request, answer, wait });
        }
    }

    /// The client has its answer, or has closed.
    pub(crate) fn client_gone(&mut self, at: usize, run: u64, ticket: RequestId) {
        if self.machines[at].run != run {
            return;
        }
        self.foyer_step(at, Input::RequestClosed { request: ticket });
        if let Some(process) = self.foyer(at) {
            process.open.remove(&ticket);
        }
        self.done(at);
    }

    /// One that is told to end does so once nothing is in hand.
    pub(crate) fn done(&mut self, at: usize) {
        let back = self.machines[at].ends_back;
        let closing = self.machines[at].closing;
        if closing && self.foyer(at).is_some_and(|process| process.open.is_empty()) {
            let run = self.machines[at].run;
            self.later(600 * MS, Event::End { at, run, back });
        }
    }

    fn trip(
        &mut self, at: usize, ticket: RequestId, trip: AttemptNo, to: &Target, until: Option<Micros>,
        most: usize,
    ) {
        let (now, born) = (self.clock(at), self.machines[at].born);
        let run = self.machines[at].run;
        let number = self.trips.len();
        let Some(process) = self.foyer(at) else { return };
        let Some(open) = process.open.get_mut(&ticket) else { return };
        open.trips.push(number);
        let until = until.unwrap_or(open.until).min(open.until);
        let request = open.request;
        let used = process.out.entry(to.address).or_insert(0);
        let full = *used >= most.max(1);
        if !full {
            *used += 1;
        }
        let made = Trip {
            foyer: at,
            run,
            ticket,
            number: trip,
            request,
            target: to.id.0.clone(),
            address: to.address,
            sent: self.now,
            until: until + born,
            counted: !full,
            ended: false,
            arrived: false,
            hung_up: false,
            again: false,
        };
        self.trips.push(made);
        if until <= now || full {
            let ending = if full { AttemptOutcome::Rejected } else { AttemptOutcome::NeverSent };
            return self.later(0, Event::TripEnded { trip: number, ending, answer: false });
        }
        self.later(until - now, Event::Until { trip: number });
        // A new connection has a second to come up.
        self.later(SECOND, Event::Until { trip: number });
        if self.passes(Some(at), None) {
            let way = self.way(at) + self.trip_far(number);
            self.later(way, Event::Arrive { trip: number });
            if self.planted == Some(Planted::SentTwice) && self.odds(5) {
                self.later(way + 5 * MS, Event::Arrive { trip: number });
            }
        }
    }

    /// What a trip's way takes more, one way, where its instance is in another region.
    pub(crate) fn trip_far(&self, trip: usize) -> Micros {
        let one = &self.trips[trip];
        let there = self.by_address.get(&one.address).map(|at| self.instance_zone(*at));
        there.map_or(0, |zone| self.far(zone, self.machines[one.foyer].zone))
    }

    fn stop_trip(&mut self, at: usize, ticket: RequestId, trip: AttemptNo) {
        let open = self.foyer(at).and_then(|process| process.open.get(&ticket));
        if let Some(number) = open.and_then(|open| open.trips.get(trip.0 as usize).copied()) {
            self.hang_up(number);
        }
    }

    /// The connection of a trip is not used any more.
    pub(crate) fn hang_up(&mut self, trip: usize) {
        let one = &mut self.trips[trip];
        one.ended = true;
        one.hung_up = true;
        let (at, run, address) = (one.foyer, one.run, one.address);
        if std::mem::take(&mut one.counted)
            && self.machines[at].run == run
            && let Some(used) = self.foyer(at).and_then(|process| process.out.get_mut(&address))
        {
            *used = used.saturating_sub(1);
        }
    }

    /// The time of a trip, or of its connection, is over.
    pub(crate) fn until(&mut self, trip: usize) {
        let one = &self.trips[trip];
        if one.ended || (one.arrived && self.now < one.until) {
            return;
        }
        let ending = if one.arrived { AttemptOutcome::TimedOut } else { AttemptOutcome::ConnectFailed };
        self.later(0, Event::TripEnded { trip, ending, answer: false });
    }

    pub(crate) fn trip_ended(&mut self, trip: usize, ending: AttemptOutcome, answer: bool) {
        let of = self.trips[trip].request;
        let earlier = self.machines[self.trips[trip].foyer].run != self.trips[trip].run;
        let trip = match self.planted {
            // The connection is in use again, by another request.
            Some(Planted::LateAnswer) if answer && !earlier && self.trips[trip].ended => {
                match self.next_there(trip) {
                    Some(next) => next,
                    None => return,
                }
            }
            Some(Planted::EarlierLife) if earlier => trip,
            _ if self.trips[trip].ended || earlier => return,
            _ => trip,
        };
        if ending == AttemptOutcome::Reset
            && self.planted == Some(Planted::TransportRetry)
            && !std::mem::replace(&mut self.trips[trip].again, true)
        {
            let way = self.way(self.trips[trip].foyer);
            return self.later(way, Event::Arrive { trip });
        }
        self.hang_up(trip);
        let one = &self.trips[trip];
        let (at, ticket, number, took) = (one.foyer, one.ticket, one.number, self.now - one.sent);
        let Some(open) = self.foyer(at).and_then(|process| process.open.get_mut(&ticket)) else { return };
        let mut ending = ending;
        let over = match (answer, ending) {
            (true, AttemptOutcome::Error) if open.safe => {
                open.kept = true;
                open.replied
            }
            (true, _) => {
                let good = if ending == AttemptOutcome::Error { Answer::Nothing } else { Answer::Good };
                let (request, first) = (open.request, !open.replied);
                if first && good == Answer::Good {
                    self.saw(What::Stamped { request, of });
                }
                self.respond(at, ticket, good, None);
                true
            }
            (false, _) => open.replied,
        };
        if self.planted == Some(Planted::LostAsUnsent) && ending == AttemptOutcome::Reset {
            ending = AttemptOutcome::NeverSent;
        }
        self.foyer_step(
            at,
            Input::AttemptEnded {
                request: ticket,
                attempt: number,
                elapsed: took,
                outcome: ending,
                answered: over,
            },
        );
    }

    /// Another trip of the same process to the same address that waits for its answer.
    fn next_there(&self, trip: usize) -> Option<usize> {
        let late = &self.trips[trip];
        (trip + 1..self.trips.len()).find(|next| {
            let next = &self.trips[*next];
            let same = (next.foyer, next.run, next.address) == (late.foyer, late.run, late.address);
            same && next.arrived && !next.ended && next.request != late.request
        })
    }

    /// The process has ended; its clients see a closed connection, or nothing at all.
    pub(crate) fn foyer_gone(&mut self, at: usize, process: FoyerProc, power: bool) {
        for open in process.open.values() {
            if !open.replied {
                let passed = !open.trips.is_empty();
                self.saw(What::BrokenOff { request: open.request, foyer: at, passed });
            }
            for trip in &open.trips {
                let told = self.planted == Some(Planted::EarlierLife);
                self.trips[*trip].hung_up = !power && !told;
                self.trips[*trip].ended = !told;
            }
            if !open.replied && !power {
                let request = open.request;
                self.later(MS, Event::Answered { request, answer: Answer::Nothing, wait: None });
            }
        }
    }

    /// Sets a foyer's state back, behind its own back: a planted fault.
    pub(crate) fn plant_old_state(&mut self) {
        let at = self.scenario.prompters;
        let old = self.old_scripts.remove(&at);
        if let Some(process) = self.foyer(at) {
            let now = process.floor.node.state.clone();
            match old {
                Some(old) if old.configuration_version() < now.configuration_version() => {
                    process.floor.node.state = old
                }
                Some(old) => drop(self.old_scripts.insert(at, old)),
                None => drop(self.old_scripts.insert(at, now)),
            }
        }
        self.later(2 * SECOND, Event::Plant);
    }
}
