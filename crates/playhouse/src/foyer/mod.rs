//! Foyer (data plane): takes requests from clients and has them answered by instances; which, whether and
//! how often is decided in `garnetdoor`. A driver: sockets, timers, signals.

#[doc(hidden)]
pub mod cloakroom;
mod crowd;
#[doc(hidden)]
pub mod exchange;
mod front;
#[doc(hidden)]
pub mod pool;
#[doc(hidden)]
pub mod trip;
#[doc(hidden)]
pub mod watch;

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use garnetdoor::host::{AttemptNo, AttemptOutcome, RequestId};
use hyper::Response;
use membership::Role;
use tokio::sync::oneshot;
use transport::{ReceivedMessage, SocketTransport};
use types::{MS, Micros, NodeAddress, RunId, SECOND};

use crate::floor::desk::Seen;
use crate::floor::{Floor, In, Out};
use crate::metrics::{self, Measured, Metrics};
use crate::node::{Clock, NodeCore, random_u64};
use crate::outgoing::send;
use crate::settings::{Settings, micros};
use crate::signals::{Signals, Told as Signal};
use cloakroom::Cloakroom;
use crowd::Crowd;
use pool::{Body, Pool};
use trip::{Asked, Outcome, Trip};

/// After SIGTERM the platform may still hand over clients until it has missed readiness twice.
const STILL_COMING: Duration = Duration::from_millis(2_600);
/// Of `GraceS`, so much is left for the end itself.
const END_BEFORE: Duration = Duration::from_millis(700);
/// Of that, so much for the last answers to leave.
const LAST_WORDS: Duration = Duration::from_millis(400);
const TIDY_EVERY: Micros = SECOND;

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
    asked: Rc<Asked>,
    until: Micros,
    trips: Vec<tokio::task::AbortHandle>,
    reply: Option<oneshot::Sender<Reply>>,
    /// What an instance answered that failed: passed on if nothing better comes.
    kept: Option<Response<Body>>,
}

pub struct Foyer {
    floor: Floor,
    post: Rc<SocketTransport>,
    clock: Clock,
    settings: Rc<Settings>,
    open: HashMap<RequestId, Open>,
    next_ticket: u64,
    pool: Rc<RefCell<Pool>>,
    cloakroom: Cloakroom,
    tidy_due: Micros,
    changed: Rc<tokio::sync::Notify>,
}

pub type Shared = Rc<RefCell<Foyer>>;
type Failed = Box<dyn std::error::Error>;

/// Runs until the process is told to end.
/// `metrics` is the port where they are served, if any.
pub async fn run(settings: Rc<Settings>, metrics: Option<u16>) -> Result<(), Failed> {
    let clock = Clock::start();
    let frontend = settings.listen_addresses.frontend.ok_or("ListenAddresses.Frontend is missing")?;
    let readiness = settings.listen_addresses.readiness.ok_or("ListenAddresses.Readiness is missing")?;
    let (post, mut mail) = SocketTransport::bind(
        settings.ip_address,
        settings.internal_port(),
        transport::TransportLimits::default(),
    )?;
    let now = clock.now();
    let member = settings.member(Role::Gateway, RunId(random_u64()));
    let house = NodeCore::start(member, settings.seeds(), micros(settings.heartbeat_s), random_u64(), now);
    let changed = Rc::new(tokio::sync::Notify::new());
    let foyer = Foyer {
        floor: Floor::start(house, settings.clone(), random_u64(), now),
        post: Rc::new(post),
        clock,
        settings: settings.clone(),
        open: HashMap::new(),
        next_ticket: 0,
        pool: Rc::default(),
        cloakroom: Cloakroom::of_memory(settings.limit_set.memory_mb * 1e6),
        tidy_due: 0,
        changed: changed.clone(),
    };
    let shared: Shared = Rc::new(RefCell::new(foyer));
    if let Some(port) = metrics {
        metrics::spawn(SocketAddrV4::new(settings.ip_address, port), shared.clone());
    }
    let (stop, stopping) = tokio::sync::watch::channel(false);
    let listener = crate::listen::bind_when_free(frontend, 1024)?;
    let crowd: Rc<Crowd> = Rc::default();
    let clients =
        crate::tasks::spawn_local(front::serve(listener, shared.clone(), crowd.clone(), stopping.clone()));
    crate::tasks::spawn_local(front::readiness(
        crate::listen::bind_when_free(readiness, 64)?,
        shared.clone(),
    ));
    let mut signals = Signals::start()?;
    let grace = Duration::from_micros(micros(settings.timer_bounds.grace_s) as u64);
    let mut ends: Option<tokio::time::Instant> = None;
    loop {
        let due = clock.at(shared.borrow().due());
        let told = tokio::time::Instant::now();
        if let Some(end) = ends {
            let since = told + grace.saturating_sub(END_BEFORE) - end;
            if !*stop.borrow() && since >= STILL_COMING {
                let _ = stop.send(true);
            }
            if told >= end {
                break;
            }
        }
        tokio::select! {
            arrived = mail.recv() => {
                let Some(arrived) = arrived else { return Err("the post has gone".into()) };
                let mut foyer = shared.borrow_mut();
                foyer.mail(&shared, &arrived);
                while let Ok(arrived) = mail.try_recv() {
                    foyer.mail(&shared, &arrived);
                }
            }
            _ = tokio::time::sleep_until(due) => shared.borrow_mut().tick(&shared),
            _ = changed.notified() => {}
            // All that was taken has been answered to the last byte.
            () = crowd.gone(), if *stop.borrow() && clients.is_finished() => break,
            signal = signals.next() => match signal {
                Signal::End if ends.is_none() => {
                    shared.borrow_mut().step(&shared, In::Leave);
                    ends = Some(told + grace.saturating_sub(END_BEFORE));
                }
                Signal::End => {}
                Signal::Reload => match Settings::path().and_then(|path| Settings::read(&path)) {
                    Ok(settings) => {
                        shared.borrow_mut().step(&shared, In::Seeds { places: settings.seeds() });
                    }
                    Err(error) => log::warn!("settings stay as they were: {error}"),
                },
            },
        }
    }
    shared.borrow_mut().step(&shared, In::Stops);
    let _ = tokio::time::timeout(LAST_WORDS, crowd.gone()).await;
    Ok(())
}

impl Measured for Foyer {
    fn metrics(&self) -> Metrics {
        let mut metrics = Metrics::of(&self.floor.house, self.post.stats());
        metrics.gauge("configuration_version", "Version requests are routed by", self.floor.version());
        metrics.gauge("ready", "Whether clients may be sent here", u64::from(self.floor.ready()));
        metrics.gauge("requests_in_hand", "Requests that are open", self.open.len() as u64);
        let refused = self.floor.refusals().iter().map(|(cause, count)| (*cause, *count));
        metrics.counter_by("requests_refused", "Requests without an instance's answer", "cause", refused);
        metrics
    }
}

impl Foyer {
    fn due(&self) -> Micros {
        self.floor.due().min(self.tidy_due)
    }

    fn tick(&mut self, shared: &Shared) {
        self.step(shared, In::Tick);
        let now = self.clock.now();
        if self.tidy_due <= now {
            self.tidy_due = now + TIDY_EVERY;
            self.pool.borrow_mut().tidy(now);
        }
    }

    fn mail(&mut self, shared: &Shared, arrived: &ReceivedMessage) {
        let ReceivedMessage { from, bytes, carrier } = arrived;
        self.step(shared, In::Mail { from: NodeAddress(*from), bytes, carrier: *carrier });
    }

    fn step(&mut self, shared: &Shared, event: In<'_>) {
        let out = self.floor.step(self.clock.now(), event);
        for what in out {
            match what {
                Out::Send { to, word } => send(&self.post, to, &word),
                Out::Trip { ticket, trip, to, until, connections } => {
                    self.trip(shared, ticket, trip, to, until, connections);
                }
                Out::Stop { ticket, trip } => {
                    if let Some(open) = self.open.get(&ticket) {
                        open.trips[trip.0 as usize].abort();
                    }
                }
                Out::TurnBack { ticket, wait } => self.reply(ticket, Reply::TurnedBack(wait)),
                Out::Forfeit { ticket } => self.reply(ticket, Reply::Forfeited),
            }
        }
    }

    /// A request whose head, and as much of its body as is kept, has been read.
    fn came(
        &mut self, shared: &Shared, service: &str, route: &configuration::Route, asked: Asked, until: Micros,
    ) -> (RequestId, oneshot::Receiver<Reply>) {
        self.next_ticket += 1;
        let ticket = RequestId(self.next_ticket);
        let (reply, told) = oneshot::channel();
        let asked = Rc::new(asked);
        self.open.insert(ticket, Open { asked, until, trips: Vec::new(), reply: Some(reply), kept: None });
        let left = until - self.clock.now();
        let (route, kind) = (&*route.name, route.kind);
        self.step(shared, In::Came { ticket, service, route, kind, left });
        // The loop waits for what was due before.
        self.changed.notify_one();
        (ticket, told)
    }

    /// The client has gone, or has its answer.
    fn left(&mut self, shared: &Shared, ticket: RequestId) {
        self.step(shared, In::Left { ticket });
        self.open.remove(&ticket);
    }

    fn reply(&mut self, ticket: RequestId, reply: Reply) {
        let Some(open) = self.open.get_mut(&ticket) else { return };
        let reply = match (open.kept.take(), reply) {
            (Some(kept), Reply::TurnedBack(_) | Reply::Forfeited) => Reply::Answer(kept),
            (_, reply) => reply,
        };
        if let Some(sender) = open.reply.take() {
            let _ = sender.send(reply);
        }
    }

    fn trip(
        &mut self, shared: &Shared, ticket: RequestId, trip: AttemptNo, to: Seen, until: Option<Micros>,
        connections: usize,
    ) {
        let Some(open) = self.open.get_mut(&ticket) else { return };
        let until = until.unwrap_or(open.until).min(open.until);
        let (pool, clock, asked) = (self.pool.clone(), self.clock, open.asked.clone());
        let coat = self.cloakroom.coat();
        let going = Trip { pool, clock, to, asked, until, connections, coat };
        let (foyer, sent) = (shared.clone(), clock.now());
        let task = crate::tasks::spawn_local(async move {
            let outcome = going.run().await;
            let mut ending = foyer.borrow_mut();
            let took = clock.now() - sent;
            ending.ended(&foyer, ticket, trip, took, outcome);
        });
        open.trips.push(task.abort_handle());
    }

    fn ended(&mut self, shared: &Shared, ticket: RequestId, trip: AttemptNo, took: Micros, outcome: Outcome) {
        let Some(open) = self.open.get_mut(&ticket) else { return };
        let safe = open.asked.repeats;
        let (ending, over) = match outcome {
            Outcome::Failed(ending) => (ending, open.reply.is_none()),
            // What an instance says of its own failure may be asked again elsewhere where that does no harm.
            Outcome::Answer { response, ending: AttemptOutcome::Error } if safe => {
                open.kept = Some(response);
                (AttemptOutcome::Error, open.reply.is_none())
            }
            Outcome::Answer { response, ending } => {
                if let Some(reply) = open.reply.take() {
                    let _ = reply.send(Reply::Answer(response));
                }
                (ending, true)
            }
        };
        self.step(shared, In::Ended { ticket, trip, took, ending, over });
        self.changed.notify_one();
    }
}

/// A time to come back as clients read it, in seconds.
fn come_back(wait: Option<Micros>) -> String {
    format!("{:.3}", wait.unwrap_or(100 * MS) as f64 / 1e6)
}
