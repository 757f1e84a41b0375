//! Foyer (data plane): takes requests from clients and has them answered by instances; which, whether and
//! how often is decided in `garnetdoor`. A driver: sockets, timers, signals.

mod desk;
mod front;
mod pool;
mod trip;

use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bill::Bill;
use company::Part;
use garnetdoor::host::{Ending, Taken, TicketId, TripNo, Vote, Wake};
use hyper::Response;
use indexmap::IndexMap;
use props::{Life, MS, Micros, Place, SECOND};
use tokio::sync::oneshot;
use wings::Post;

use crate::house::{Clock, Happened, House, Word, chance};
use crate::post::send;
use crate::settings::Settings;
use crate::signals::{Signals, Told as Signal};
use desk::{Desk, Do, Fleet};
use pool::{Body, Pool};
use trip::{Asked, Outcome, Trip};

/// After SIGTERM the platform may still hand over clients until it has missed readiness twice.
const STILL_COMING: Duration = Duration::from_millis(2_600);
/// Of `GraceS`, so much is left for the end itself.
const END_BEFORE: Duration = Duration::from_millis(700);
const TIDY_EVERY: Micros = SECOND;
const VOTES_EVERY: Micros = SECOND;

/// How a request ends.
pub enum Reply {
    Answer(Response<Body>),
    /// Not run and never will be; with a time to come back.
    TurnedBack(Option<Micros>),
    /// Nothing is promised.
    Forfeited,
}

/// A request that is open here.
struct Open {
    service: Rc<str>,
    asked: Rc<Asked>,
    until: Micros,
    trips: Vec<tokio::task::AbortHandle>,
    ended: Vec<bool>,
    reply: Option<oneshot::Sender<Reply>>,
    /// What an instance answered that failed: passed on if nothing better comes.
    kept: Option<Response<Body>>,
}

pub struct Foyer {
    house: House,
    post: Rc<Post>,
    clock: Clock,
    settings: Rc<Settings>,
    bill: Option<Arc<Bill>>,
    desks: IndexMap<Rc<str>, Desk>,
    wakes: BinaryHeap<Reverse<(Micros, u64)>>,
    waking: HashMap<u64, (Rc<str>, Wake)>,
    next_wake: u64,
    open: HashMap<TicketId, Open>,
    next_ticket: u64,
    pool: Rc<RefCell<Pool>>,
    fleet: Fleet,
    tidy_due: Micros,
    votes_due: Micros,
    draining: Rc<Cell<bool>>,
    changed: Rc<tokio::sync::Notify>,
}

pub type Shared = Rc<RefCell<Foyer>>;
type Failed = Box<dyn std::error::Error>;

/// Runs until the process is told to end.
pub async fn run(settings: Rc<Settings>) -> Result<(), Failed> {
    let clock = Clock::start();
    let frontend = settings.listen_addresses.frontend.ok_or("ListenAddresses.Frontend is missing")?;
    let readiness = settings.listen_addresses.readiness.ok_or("ListenAddresses.Readiness is missing")?;
    let (post, mut mail) =
        Post::bind(settings.ip_address, settings.internal_port(), wings::PostLimits::default())?;
    let member = settings.member(Part::Foyer, Life(chance()));
    let beat = crate::settings::micros(settings.heartbeat_s);
    let house = House::start(member, settings.seeds(), beat, chance(), clock.now());
    let changed = Rc::new(tokio::sync::Notify::new());
    let draining = Rc::new(Cell::new(false));
    let foyer = Foyer {
        house,
        post: Rc::new(post),
        clock,
        settings: settings.clone(),
        bill: None,
        desks: IndexMap::new(),
        wakes: BinaryHeap::new(),
        waking: HashMap::new(),
        next_wake: 0,
        open: HashMap::new(),
        next_ticket: 0,
        pool: Rc::default(),
        fleet: Fleet { foyers: 1, index: 0, warmup: 0 },
        tidy_due: 0,
        votes_due: 0,
        draining: draining.clone(),
        changed: changed.clone(),
    };
    let shared: Shared = Rc::new(RefCell::new(foyer));
    let (stop, stopping) = tokio::sync::watch::channel(false);
    let listener = crate::listen::bind(frontend, 1024)?;
    let clients = tokio::task::spawn_local(front::serve(listener, shared.clone(), stopping));
    tokio::task::spawn_local(front::readiness(crate::listen::bind(readiness, 64)?, shared.clone()));
    let mut signals = Signals::start()?;
    let grace = Duration::from_micros(crate::settings::micros(settings.timer_bounds.grace_s) as u64);
    let mut ends: Option<tokio::time::Instant> = None;
    loop {
        let due = {
            let mut foyer = shared.borrow_mut();
            foyer.settle();
            clock.at(foyer.due())
        };
        let told = tokio::time::Instant::now();
        if let Some(end) = ends {
            let since = told + grace.saturating_sub(END_BEFORE) - end;
            if !*stop.borrow() && since >= STILL_COMING {
                let _ = stop.send(true);
            }
            if told >= end
                || (*stop.borrow() && shared.borrow().open.is_empty() && since >= STILL_COMING * 5 / 4)
            {
                break;
            }
        }
        tokio::select! {
            word = mail.recv() => {
                let Some((from, bytes)) = word else { return Err("the post has gone".into()) };
                let mut foyer = shared.borrow_mut();
                foyer.house.received(clock.now(), Place(from), &bytes);
                while let Ok((from, bytes)) = mail.try_recv() {
                    foyer.house.received(clock.now(), Place(from), &bytes);
                }
            }
            _ = tokio::time::sleep_until(due) => shared.borrow_mut().tick(&shared),
            _ = changed.notified() => {}
            signal = signals.next() => match signal {
                Signal::End if ends.is_none() => {
                    draining.set(true);
                    shared.borrow_mut().house.leave(clock.now());
                    ends = Some(told + grace.saturating_sub(END_BEFORE));
                }
                Signal::End => {}
                Signal::Reload => match Settings::path().and_then(|path| Settings::read(&path)) {
                    Ok(settings) => shared.borrow_mut().house.seeds_changed(clock.now(), settings.seeds()),
                    Err(error) => log::warn!("settings stay as they were: {error}"),
                },
            },
        }
    }
    shared.borrow_mut().stops(&shared);
    // What was answered last still has to leave.
    tokio::time::sleep(Duration::from_millis(100)).await;
    clients.abort();
    Ok(())
}

impl Foyer {
    fn due(&self) -> Micros {
        let woken = self.wakes.peek().map_or(Micros::MAX / 4, |Reverse((at, _))| *at);
        self.house.due().min(woken).min(self.tidy_due).min(self.votes_due)
    }

    fn tick(&mut self, shared: &Shared) {
        let now = self.clock.now();
        self.house.tick(now);
        while let Some(Reverse((at, number))) = self.wakes.peek().copied()
            && at <= now
        {
            self.wakes.pop();
            if let Some((service, wake)) = self.waking.remove(&number) {
                self.decide(shared, &service, |desk| desk.balance.woke(wake));
            }
        }
        if self.tidy_due <= now {
            self.tidy_due = now + TIDY_EVERY;
            self.pool.borrow_mut().tidy(now);
        }
        if self.votes_due <= now {
            self.tell_votes();
        }
    }

    /// Whether clients may be sent here: a configuration is there, and instances of some service.
    pub fn ready(&self) -> bool {
        !self.draining.get()
            && self.bill.is_some()
            && self.house.cast.records().any(|known| known.state == cast::State::InService)
    }

    /// Carries on what has happened in the common part.
    fn settle(&mut self) {
        let mut changed = false;
        while let Some(happened) = self.house.happened() {
            match happened {
                Happened::Applied { .. } | Happened::Restored | Happened::Peers => changed = true,
                Happened::Instance(id) => self.instance(&id),
                _ => {}
            }
        }
        if changed {
            self.script_changed();
        }
        for (to, word) in self.house.out() {
            send(&self.post, to, &word);
        }
    }

    /// The configuration, a roll-out or the number of foyers is another.
    fn script_changed(&mut self) {
        let mut foyers = self.house.up(Part::Foyer);
        foyers.push(self.house.own.place);
        foyers.sort_unstable();
        let index = foyers.iter().position(|place| *place == self.house.own.place).unwrap_or(0);
        self.fleet = Fleet { foyers: foyers.len(), index, warmup: self.fleet.warmup };
        self.bill = self.house.script.bill().cloned();
        let Some(bill) = self.bill.clone() else { return };
        let now = self.clock.now();
        let cap = self.settings.timer_bounds.exposure_share;
        for service in bill.services.keys() {
            if !self.desks.contains_key(&**service) {
                let desk = Desk::start(service, self.clock, &self.settings, &bill, self.fleet);
                self.desks.insert((&**service).into(), desk);
            }
        }
        for desk in self.desks.values_mut() {
            desk.bill_changed(&self.settings, &bill, self.fleet);
            let service = desk.service.clone();
            let rollout = self.house.script.rollouts.get(&*service);
            for known in self.house.cast.records().filter(|known| *known.service == *service) {
                desk.instance(known, rollout);
            }
            if let Some(rollout) = rollout {
                desk.rollout(now, cap, rollout);
            }
        }
        self.changed.notify_one();
    }

    fn instance(&mut self, id: &cast::InstanceId) {
        let Some(known) = self.house.cast.get(id) else { return };
        let warmup = known.slow_until - known.first_seen;
        if warmup > self.fleet.warmup {
            self.fleet.warmup = warmup.min(60 * SECOND);
        }
        if let Some(desk) = self.desks.get_mut(known.service.as_str()) {
            desk.instance(known, self.house.script.rollouts.get(&known.service));
        }
    }

    /// A request whose head, and as much of its body as is kept, has been read.
    pub fn came(
        &mut self, shared: &Shared, service: &str, route: &bill::Route, asked: Asked, until: Micros,
    ) -> Option<(TicketId, oneshot::Receiver<Reply>)> {
        let desk = self.desks.get(service)?;
        let profile = desk.profile(&route.name)?;
        let service = desk.service.clone();
        self.next_ticket += 1;
        let id = TicketId(self.next_ticket);
        let (reply, told) = oneshot::channel();
        let open = Open {
            service: service.clone(),
            asked: Rc::new(asked),
            until,
            trips: Vec::new(),
            ended: Vec::new(),
            reply: Some(reply),
            kept: None,
        };
        self.open.insert(id, open);
        let left = until - self.clock.now();
        let arrival = garnetdoor::host::Arrival {
            profile,
            cost: None,
            key: None,
            left,
            writes: route.kind != bill::Kind::Safe,
            repeat: false,
            party: None,
        };
        self.decide(shared, &service, |desk| desk.balance.ticket_came(id, arrival));
        Some((id, told))
    }

    /// The client has gone, or has its answer.
    pub fn left(&mut self, shared: &Shared, id: TicketId) {
        let Some(open) = self.open.remove(&id) else { return };
        let service = open.service.clone();
        for (number, trip) in open.trips.iter().enumerate() {
            if !open.ended[number] {
                trip.abort();
                self.decide(shared, &service, |desk| {
                    desk.balance.client_left(id);
                    desk.balance.trip_ended(id, TripNo(number as u32), 0, Ending::Stopped, true, &[]);
                });
            }
        }
        self.decide(shared, &service, |desk| desk.balance.client_left(id));
    }

    /// Lets the decisions act on something, and carries out what they ask for.
    fn decide(&mut self, shared: &Shared, service: &Rc<str>, act: impl FnOnce(&mut Desk)) {
        let Some(desk) = self.desks.get_mut(service) else { return };
        act(desk);
        loop {
            let asked = self.desks.get(service).and_then(|desk| desk.asked.borrow_mut().pop_front());
            let Some(what) = asked else { break };
            self.carry(shared, service, what);
        }
    }

    fn carry(&mut self, shared: &Shared, service: &Rc<str>, what: Do) {
        match what {
            Do::Send { ticket, server, until } => self.send(shared, service, ticket, server, until),
            Do::Stop { ticket, trip } => {
                let Some(open) = self.open.get_mut(&ticket) else { return };
                let number = trip.0 as usize;
                if open.ended.get(number) == Some(&false) {
                    open.trips[number].abort();
                    self.ended(shared, ticket, trip, 0, Outcome::Failed(Ending::Stopped));
                }
            }
            Do::TurnBack { ticket, wait } => self.reply(ticket, Reply::TurnedBack(wait)),
            Do::Forfeit { ticket } => self.reply(ticket, Reply::Forfeited),
            Do::Vote { build, vote } => {
                self.decide(shared, service, |desk| {
                    desk.voted(build, vote);
                    desk.balance.vote_answered(Taken::Counted);
                });
                if vote == Vote::Back {
                    self.tell_votes();
                }
            }
            Do::Wake { at, wake } => {
                self.next_wake += 1;
                self.wakes.push(Reverse((at, self.next_wake)));
                self.waking.insert(self.next_wake, (service.clone(), wake));
                self.changed.notify_one();
            }
        }
    }

    /// Tells the prompters how each trial looks from here.
    fn tell_votes(&mut self) {
        let now = self.clock.now();
        self.votes_due = now + VOTES_EVERY;
        let votes: Vec<script::Vote> = self.desks.values().filter_map(|desk| desk.vote(now)).collect();
        if votes.is_empty() {
            return;
        }
        for place in self.house.up(Part::Prompter) {
            for vote in &votes {
                self.house.send(place, Word::Vote(vote.clone()));
            }
        }
    }

    fn reply(&mut self, ticket: TicketId, reply: Reply) {
        let Some(open) = self.open.get_mut(&ticket) else { return };
        let reply = match (open.kept.take(), reply) {
            (Some(kept), Reply::TurnedBack(_) | Reply::Forfeited) => Reply::Answer(kept),
            (_, reply) => reply,
        };
        if let Some(sender) = open.reply.take() {
            let _ = sender.send(reply);
        }
    }

    fn send(
        &mut self, shared: &Shared, service: &Rc<str>, ticket: TicketId, server: garnetdoor::host::ServerId,
        until: Option<Micros>,
    ) {
        let Some(open) = self.open.get_mut(&ticket) else { return };
        let Some(to) = self.desks.get(service).and_then(|desk| desk.server(server)).cloned() else { return };
        let most = self.bill.as_ref().and_then(|bill| bill.services.get(&**service));
        let most = most.map_or(8, |service| service.max_connections as usize / (self.fleet.foyers + 1));
        let trip = Trip {
            pool: self.pool.clone(),
            clock: self.clock,
            to,
            asked: open.asked.clone(),
            until: until.unwrap_or(open.until).min(open.until),
            connections: most,
        };
        let number = TripNo(open.trips.len() as u32);
        let (foyer, sent) = (shared.clone(), self.clock.now());
        let task = tokio::task::spawn_local(async move {
            let outcome = trip.run().await;
            let mut ending = foyer.borrow_mut();
            let took = ending.clock.now() - sent;
            ending.ended(&foyer, ticket, number, took, outcome);
        });
        open.trips.push(task.abort_handle());
        open.ended.push(false);
    }

    fn ended(&mut self, shared: &Shared, ticket: TicketId, trip: TripNo, took: Micros, outcome: Outcome) {
        let Some(open) = self.open.get_mut(&ticket) else { return };
        match open.ended.get_mut(trip.0 as usize) {
            Some(ended) if !*ended => *ended = true,
            _ => return,
        }
        let service = open.service.clone();
        let safe = open.asked.method.is_safe();
        let (ending, over) = match outcome {
            Outcome::Failed(ending) => (ending, open.reply.is_none()),
            // What an instance says of its own failure may be asked again elsewhere where that does no harm.
            Outcome::Answer { response, ending: Ending::Error, .. } if safe => {
                open.kept = Some(response);
                (Ending::Error, open.reply.is_none())
            }
            Outcome::Answer { response, ending, .. } => {
                if let Some(reply) = open.reply.take() {
                    let _ = reply.send(Reply::Answer(response));
                }
                (ending, true)
            }
        };
        self.decide(shared, &service, |desk| {
            desk.balance.trip_ended(ticket, trip, took, ending, over, &[]);
        });
    }

    /// The process ends: what is still open gets its final answer.
    fn stops(&mut self, shared: &Shared) {
        for service in self.desks.keys().cloned().collect::<Vec<_>>() {
            self.decide(shared, &service, |desk| desk.balance.stops());
        }
    }
}

/// A time to come back as clients read it, in seconds.
pub fn come_back(wait: Option<Micros>) -> String {
    format!("{:.3}", wait.unwrap_or(100 * MS) as f64 / 1e6)
}
