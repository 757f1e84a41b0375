//! Instances (stand-ins): slots, a queue, work, beats, drains, crashes, addresses used again.

use std::collections::{BTreeMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;

use cast::{Beat, InstanceId};
use garnetdoor::host::{AttemptNo, AttemptOutcome, RequestId};
use props::{MS, Micros, Place, SECOND};

use super::operators::{Call, Caller, Reply, Who};
use super::{Event, World};
use crate::plant::Planted;
use crate::scenario::Odd;
use crate::seen::What;
use crate::texts;

const QUEUE: usize = 4;
const WORK: Micros = 30 * MS;
const WARMUP: Micros = 800 * MS;
/// After this an instance that leaves goes without an acknowledgement.
const LEAVES_ANYWAY: Micros = 6 * SECOND;
/// After an end, before the address is used again.
const ADDRESS_REUSE: Micros = 2 * SECOND;
/// A version that nobody orders.
pub(crate) const UNORDERED: u32 = 900;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum State {
    Up,
    Draining,
    Over,
}

/// One life.
pub(crate) struct Instance {
    pub id: String,
    pub service: usize,
    pub version: u32,
    pub address: SocketAddrV4,
    pub state: State,
    zone: usize,
    born: Micros,
    sequence: u64,
    /// Where beats go, while they are taken there.
    target: Option<usize>,
    /// The beat whose answer is waited for.
    beat_no: u64,
    leaving_since: Micros,
    acked: bool,
    detached: bool,
    running: Vec<usize>,
    queue: VecDeque<usize>,
    /// In percent.
    speed: Micros,
    /// Until when it is odd, and how.
    odd: Option<(Micros, Odd)>,
}

/// One exchange of a foyer with an instance.
pub(crate) struct Trip {
    pub foyer: usize,
    pub run: u64,
    pub ticket: RequestId,
    pub number: AttemptNo,
    pub request: u64,
    pub target: String,
    pub address: SocketAddrV4,
    pub sent: Micros,
    pub until: Micros,
    /// Counts among the foyer's connections.
    pub counted: bool,
    pub ended: bool,
    pub arrived: bool,
    /// The connection is closed.
    pub hung_up: bool,
    /// The transport has sent it once more by itself: only where that is planted.
    pub again: bool,
}

/// What is known of a service's versions: which are bad.
pub(crate) type Bad = BTreeMap<(usize, u32), bool>;

impl Instance {
    fn odd_now(&self, now: Micros) -> Option<Odd> {
        self.odd.filter(|(until, _)| now < *until).map(|(_, how)| how)
    }
}

impl World {
    pub(crate) fn register(&mut self, service: usize, version: u32, address: Option<SocketAddrV4>) {
        let address = address.filter(|address| !self.by_address.contains_key(address)).unwrap_or_else(|| {
            self.next_address += 1;
            SocketAddrV4::new(
                Ipv4Addr::new(10, 9, 0, (self.next_address % 250) as u8),
                8000 + (self.next_address / 250) as u16,
            )
        });
        let number = self.instances.len();
        let speed = self.span(80, 130);
        let zone = self.pick(self.scenario.zones);
        self.instances.push(Instance {
            id: format!("i-{number}"),
            service,
            version,
            address,
            state: State::Up,
            zone,
            born: self.now,
            sequence: 0,
            target: None,
            beat_no: 0,
            leaving_since: 0,
            acked: false,
            detached: false,
            running: Vec::new(),
            queue: VecDeque::new(),
            speed,
            odd: None,
        });
        self.by_address.insert(address, number);
        self.beat(number, 0);
    }

    /// Time for a beat; `no` names the one before.
    pub(crate) fn beat(&mut self, instance: usize, no: u64) {
        let one = &mut self.instances[instance];
        if one.state == State::Over || one.beat_no != no || one.detached {
            return;
        }
        one.sequence += 1;
        one.beat_no += 1;
        let no = one.beat_no;
        let lies = one.odd_now(self.now) == Some(Odd::Lying);
        let warmup_left = if lies { 0 } else { (one.born + WARMUP - self.now).max(0) };
        let slots = self.scenario.site.slots * if lies { 20 } else { 1 };
        let beat = Beat {
            id: InstanceId(one.id.clone()),
            service: texts::service(one.service),
            address: one.address,
            zone: format!("z{}", one.zone),
            version: format!("v{}", one.version),
            slots,
            draining: one.state == State::Draining,
            warmup_left,
            sequence: one.sequence,
        };
        self.instance_calls(instance, no, Call::Beat(beat));
    }

    fn instance_calls(&mut self, instance: usize, no: u64, call: Call) {
        let at = match self.instances[instance].target {
            Some(at) => at,
            None => self.listed_one(),
        };
        self.instances[instance].target = Some(at);
        let caller = Caller { who: Who::Instance(instance), no };
        self.call(at, caller, Rc::new(call));
    }

    /// An answer to a beat or a detach, or none within a second.
    pub(crate) fn instance_told(&mut self, instance: usize, no: u64, reply: &Reply) {
        let one = &mut self.instances[instance];
        if one.state == State::Over || one.beat_no != no {
            return;
        }
        // The same call's silence says nothing more.
        one.beat_no += 1;
        let no = one.beat_no;
        match reply {
            Reply::Taken(target) => {
                let by = one.target;
                let leaving = one.state == State::Draining;
                let target: Option<Place> = *target;
                let first = leaving && !std::mem::replace(&mut one.acked, true);
                if let Some(at) = target.and_then(|place| self.machine_at(place)) {
                    self.instances[instance].target = Some(at);
                }
                if first {
                    if let Some(by) = by {
                        self.saw(What::DrainAcked { instance: instance as u32, by });
                    }
                    let mut after = self.terms.drain + self.span(50 * MS, 500 * MS);
                    if self.now < self.linger {
                        after += self.span(0, 4 * SECOND);
                    }
                    self.later(after, Event::Detach { instance });
                }
                if self.instances[instance].detached {
                    return self.later(20 * MS, Event::Gone { instance });
                }
                let beat = self.scenario.site.beat as Micros * MS;
                let next = self.span(beat * 9 / 10, beat * 11 / 10);
                if !leaving {
                    self.later(next, Event::Beat { instance, no });
                }
            }
            _ => {
                one.target = None;
                if one.detached {
                    return self.later(20 * MS, Event::Gone { instance });
                }
                let next = self.span(10 * MS, 200 * MS);
                self.later(next, Event::Beat { instance, no });
            }
        }
    }

    pub(crate) fn living(&self, service: usize) -> Vec<usize> {
        let up =
            |one: &Instance| one.state == State::Up && one.service == service && one.version != UNORDERED;
        (0..self.instances.len()).filter(|at| up(&self.instances[*at])).collect()
    }

    /// A planned end: says that it drains, and waits until that is acknowledged.
    pub(crate) fn drain(&mut self, instance: usize) {
        let one = &mut self.instances[instance];
        if one.state != State::Up {
            return;
        }
        one.state = State::Draining;
        one.leaving_since = self.now;
        let no = one.beat_no;
        self.saw(What::Leaving { instance: instance as u32 });
        self.later(0, Event::Beat { instance, no });
        self.later(LEAVES_ANYWAY, Event::Gone { instance });
    }

    pub(crate) fn detach(&mut self, instance: usize) {
        let one = &mut self.instances[instance];
        if one.state == State::Over {
            return;
        }
        one.detached = true;
        one.beat_no += 1;
        let (no, id) = (one.beat_no, InstanceId(one.id.clone()));
        self.instance_calls(instance, no, Call::Detach(id));
    }

    /// It stops; its address may go to another service, and another instance comes for it.
    pub(crate) fn gone(&mut self, instance: usize) {
        self.end_instance(instance);
    }

    pub(crate) fn crash(&mut self, instance: usize) {
        let (service, version) = (self.instances[instance].service, self.instances[instance].version);
        self.end_instance(instance);
        let after = self.span(500 * MS, 2 * SECOND);
        self.later(after, Event::Register { service, version, address: None });
    }

    pub(crate) fn end_instance(&mut self, instance: usize) {
        let one = &mut self.instances[instance];
        if one.state == State::Over {
            return;
        }
        one.state = State::Over;
        let (address, service) = (one.address, one.service);
        let trips: Vec<usize> = one.running.drain(..).chain(one.queue.drain(..)).collect();
        self.by_address.remove(&address);
        for trip in trips {
            self.back(trip, AttemptOutcome::Reset, false);
        }
        let services = self.scenario.site.services;
        let other = (service + 1 + self.pick(services - 1)) % services;
        // As the platform does: the same number of each service in the end, but not at the same addresses.
        let version = self.office.versions[other];
        let after = ADDRESS_REUSE + self.span(10 * MS, SECOND);
        if self.odds(700) {
            self.later(after, Event::Register { service: other, version, address: Some(address) });
        }
        if self.living(service).len() < self.scenario.site.each(service).saturating_sub(1).max(1) {
            let version = self.office.versions[service];
            let soon = self.span(200 * MS, SECOND);
            self.later(soon, Event::Register { service, version, address: None });
        }
    }

    /// What an instance says goes back to the foyer.
    fn back(&mut self, trip: usize, ending: AttemptOutcome, answer: bool) {
        let at = self.trips[trip].foyer;
        if self.passes(Some(at), None) && self.passes(None, Some(at)) {
            let way = self.way(at) + self.trip_far(trip);
            self.later(way, Event::TripEnded { trip, ending, answer });
        }
    }

    /// A request arrives at an address.
    pub(crate) fn arrive(&mut self, trip: usize) {
        if self.trips[trip].hung_up {
            return;
        }
        let Some(at) = self.by_address.get(&self.trips[trip].address).copied() else {
            // Refused, or silence where the machine has gone too.
            if self.odds(600) {
                self.back(trip, AttemptOutcome::ConnectFailed, false);
            }
            return;
        };
        self.trips[trip].arrived = true;
        let target = self.trips[trip].target.strip_prefix("i-").and_then(|number| number.parse().ok());
        let asked_for =
            target.and_then(|number: usize| self.instances.get(number)).map_or(0, |one| one.service);
        let wrong = self.instances[at].id != self.trips[trip].target;
        if wrong && self.planted != Some(Planted::NoTarget) {
            self.saw(What::TurnedAway { request: self.trips[trip].request, asked_for });
            return self.back(trip, AttemptOutcome::Misdirected, false);
        }
        let one = &self.instances[at];
        let (request, foyer, service) = (self.trips[trip].request, self.trips[trip].foyer, one.service);
        let (busy, queued) = (one.running.len(), one.queue.len());
        self.saw(What::Arrived { request, foyer, instance: at as u32, service, asked_for });
        if busy < self.scenario.site.slots as usize {
            self.run(at, trip);
        } else if queued < QUEUE {
            self.instances[at].queue.push_back(trip);
        } else {
            self.back(trip, AttemptOutcome::Rejected, false);
        }
    }

    pub(crate) fn instance_zone(&self, instance: usize) -> usize {
        self.instances[instance].zone
    }

    /// An instance is odd for a while; once that is over, what it holds is lost.
    pub(crate) fn odd(&mut self, instance: usize, until: Micros, how: Odd) {
        let one = &mut self.instances[instance];
        if how == Odd::Flapping {
            let (service, version, address) = (one.service, one.version, one.address);
            return self.flap(service, version, address, until);
        }
        one.odd = Some((until, how));
        if how == Odd::Mute {
            self.later(until - self.now, Event::Gone { instance });
        }
    }

    /// The instance at an address ends, and another life of it begins there soon.
    pub(crate) fn flap(&mut self, service: usize, version: u32, address: SocketAddrV4, until: Micros) {
        let there = self.by_address.get(&address).copied();
        let Some(there) = there.filter(|at| self.instances[*at].service == service) else { return };
        self.end_instance(there);
        let back = self.span(50 * MS, 400 * MS);
        self.later(back, Event::Register { service, version, address: Some(address) });
        if self.now < until {
            let next = back + self.span(200 * MS, 1_200 * MS);
            self.later(next, Event::Flap { service, version, address, until });
        }
    }

    /// An instance ends without a word, and another service's is at its address at once.
    pub(crate) fn reuse(&mut self, instance: usize) {
        let (service, address) = (self.instances[instance].service, self.instances[instance].address);
        self.end_instance(instance);
        let services = self.scenario.site.services;
        let other = (service + 1 + self.pick(services - 1)) % services;
        let version = self.office.versions[other];
        self.register(other, version, Some(address));
    }

    fn bad(&self, service: usize, version: u32) -> bool {
        self.office.bad.get(&(service, version)).copied().unwrap_or(false)
    }

    fn run(&mut self, instance: usize, trip: usize) {
        let one = &mut self.instances[instance];
        one.running.push(trip);
        let (service, version, speed) = (one.service, one.version, one.speed);
        let cold = self.now < one.born + WARMUP;
        let odd = one.odd_now(self.now);
        let (request, foyer) = (self.trips[trip].request, self.trips[trip].foyer);
        self.saw(What::Ran { request, foyer, instance: instance as u32, service, version });
        let mut work = self.span(WORK / 2, WORK * 3 / 2) * speed / 100;
        if cold {
            work *= 2;
        }
        match odd {
            Some(Odd::Slow) => work *= 10,
            // It keeps the request, and says nothing.
            Some(Odd::Mute) => work = 60 * SECOND,
            _ => {}
        }
        self.later(work, Event::Work { instance, trip });
    }

    /// The work on a request is done.
    pub(crate) fn worked(&mut self, instance: usize, trip: usize) {
        let one = &mut self.instances[instance];
        if one.state == State::Over {
            return;
        }
        let Some(index) = one.running.iter().position(|running| *running == trip) else { return };
        one.running.swap_remove(index);
        let (service, version) = (one.service, one.version);
        let grey = one.odd_now(self.now) == Some(Odd::Grey);
        let (until, lost, error) = self.sick[service];
        let sick = self.now < until;
        if sick && self.odds(lost) {
            // It has run, and its answer is lost or rubbish.
            self.back(trip, AttemptOutcome::Reset, false);
        } else if (grey && self.odds(500))
            || (sick && self.odds(error))
            || (self.bad(service, version) && self.odds(400))
        {
            if self.bad(service, version) {
                self.saw(What::BadAnswer { service, version });
            }
            self.back(trip, AttemptOutcome::Error, true);
        } else {
            self.back(trip, AttemptOutcome::Succeeded, true);
        }
        while let Some(next) = self.instances[instance].queue.pop_front() {
            if self.trips[next].hung_up {
                continue;
            }
            if self.now >= self.trips[next].until {
                self.back(next, AttemptOutcome::Rejected, false);
                continue;
            }
            self.run(instance, next);
            break;
        }
    }
}
