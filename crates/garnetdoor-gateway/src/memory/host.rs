//! The desk as the decisions' host: what they ask for is done to it at once, and what must happen outside
//! becomes an effect.

use std::cell::RefCell;
use std::rc::Rc;

use garnetdoor::host::{
    AttemptNo, AttemptOutcome, BuildNo, GatewayId, Host, Micros, Refusal, RequestId, ServerId, StageNo,
    TimerKind, Vote, VoteResult,
};

use super::conns::{Kind, Work};
use super::desk::{Desk, Told};
use super::ticket::Trip;
use super::timers::Timer;
use crate::event::{Effect, Reason};
use crate::wire::http::Stream;
use crate::wire::{client, discovery, instance, platform};

/// Calls to the platform at one time, of the 32 connections that it holds.
const CALLS_MOST: usize = 16;

/// The desk as the decisions hold it.
#[derive(Clone)]
pub struct Handle(pub Rc<RefCell<Desk>>);

impl Host for Handle {
    fn now(&self) -> Micros {
        self.0.borrow().now
    }

    fn send_attempt(&mut self, id: RequestId, server: ServerId, until: Option<Micros>) {
        let desk = &mut *self.0.borrow_mut();
        let now = desk.now;
        let Some(ticket) = desk.tickets.get_mut(&id) else { return };
        let trip = AttemptNo(ticket.trips.len() as u32);
        let until = until.unwrap_or(ticket.until).min(ticket.until);
        let allowed = ticket.client.is_some() && now < until && ticket.trips.len() < desk.tries;
        ticket.trips.push(Trip { server, sent: now, on: None, due: None, ended: false });
        let address = desk.servers.get(&server).map(|place| place.process.address).filter(|_| allowed);
        let message = address.map(|address| instance::trip(&ticket.request, address, until - now));
        let Some(message) = message else {
            return desk.trip_over(id, trip, AttemptOutcome::NeverSent, Vec::new());
        };
        desk.session_sent(id, server);
        desk.carry(server, Work::Trip(id, trip), message, until);
        if desk.out(id, trip).is_some() {
            let due = Some(desk.timers.set(until, Timer::Trip(id, trip)));
            desk.out(id, trip).into_iter().for_each(|trip| trip.due = due);
        }
    }

    fn has_capacity(&self, ticket: RequestId, server: ServerId, build: BuildNo) -> bool {
        self.0.borrow().session_has_room(ticket, server, build)
    }

    fn cancel_attempt(&mut self, id: RequestId, trip: AttemptNo) {
        self.0.borrow_mut().give_up(id, trip, AttemptOutcome::Cancelled, Reason::Stopped);
    }

    fn reject(&mut self, id: RequestId, come_back_in: Option<Micros>) {
        self.0.borrow_mut().finish(id, |last| client::turned_back(come_back_in, last));
    }

    fn fail(&mut self, id: RequestId) {
        self.0.borrow_mut().finish(id, client::forfeited);
    }

    fn cast_vote(&mut self, build: BuildNo, stage: StageNo, vote: Vote) {
        let desk = &mut *self.0.borrow_mut();
        let calls = desk.conns.values().filter(|conn| matches!(conn.kind, Kind::Vote)).count();
        let message = platform::vote(desk.platform, build, stage, vote);
        let due = desk.now + desk.vote_wait;
        desk.log(format!("vote build={} stage={} {vote:?}", build.0, stage.0));
        if calls >= CALLS_MOST || desk.dial(desk.platform, Kind::Vote, message, due).is_none() {
            desk.told.push_back(Told::Vote(VoteResult::Error));
        }
    }

    fn set_timer(&mut self, at: Micros, wake: TimerKind) {
        self.0.borrow_mut().timers.set(at, Timer::Wake(wake));
    }

    fn probe(&mut self, server: ServerId) {
        let desk = &mut *self.0.borrow_mut();
        let (now, address) = (desk.now, desk.servers.get(&server).map(|place| place.process.address));
        let due = now + desk.dial_within;
        match address {
            Some(at) => desk.carry(server, Work::Probe(now), instance::probe(at), due),
            None => desk.told.push_back(Told::Probe(server, AttemptOutcome::NeverSent, 0, Vec::new())),
        }
    }

    fn send_to_peers(&mut self, to: Option<GatewayId>, bytes: &[u8]) {
        let desk = &mut *self.0.borrow_mut();
        let address = match to {
            Some(peer) => desk.peers.get(peer.0).copied(),
            None => desk.peers_all,
        };
        if let Some(address) = address.filter(|_| bytes.len() <= 256) {
            desk.effects.push(Effect::Datagram(address, bytes.to_vec()));
        }
    }

    fn fetch_server_list(&mut self) {
        let desk = &mut *self.0.borrow_mut();
        let due = desk.list_due();
        if desk.dial(desk.discovery, Kind::List, discovery::whole(desk.discovery), due).is_none() {
            desk.told.push_back(Told::ListFailed);
        }
    }

    fn watch_server_list(&mut self, on: bool) {
        let desk = &mut *self.0.borrow_mut();
        desk.follows = on;
        match (on, desk.watch) {
            (true, None) => {
                let message = discovery::watch(desk.discovery, desk.version);
                let due = desk.list_due();
                desk.watch = desk.dial(desk.discovery, Kind::Watch(Stream::default()), message, due);
                if desk.watch.is_none() {
                    desk.told.push_back(Told::ListFailed);
                }
            }
            (false, Some(watch)) => drop(desk.close(watch, Reason::Asked)),
            _ => {}
        }
    }

    fn close_idle_connections(&mut self, server: ServerId) {
        self.0.borrow_mut().close_all_idle(server, Reason::Asked);
    }

    fn request_refused(&mut self, _: RequestId, why: Refusal) {
        self.0.borrow_mut().refused(why);
    }

    fn log(&mut self, text: &str) {
        self.0.borrow_mut().log(text.to_owned());
    }
}
