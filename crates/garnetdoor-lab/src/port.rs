//! The emulators' host of the decisions: it keeps what they ask for until the world takes it.

use std::cell::RefCell;
use std::rc::Rc;

use garnetdoor::host::*;
use garnetdoor_sessions::Sessions;

/// What a gateway's decisions have asked for.
#[derive(Default)]
pub struct Asked {
    pub now: Micros,
    pub trips: Vec<(RequestId, ServerId)>,
    pub turned_back: Vec<(RequestId, Option<Micros>)>,
    pub wakes: Vec<(Micros, TimerKind)>,
    pub votes: Vec<(BuildNo, StageNo, Vote)>,
    pub told: Vec<(GatewayId, Vec<u8>)>,
    /// Calls for the list.
    pub lists: usize,
    pub sessions: Option<Sessions>,
}

/// One gateway's.
#[derive(Clone, Default)]
pub struct Port(pub Rc<RefCell<Asked>>);

impl Host for Port {
    fn now(&self) -> Micros {
        self.0.borrow().now
    }
    fn send_attempt(&mut self, ticket: RequestId, server: ServerId, _: Option<Micros>) {
        self.0.borrow_mut().trips.push((ticket, server));
    }
    fn has_capacity(&self, _: RequestId, server: ServerId, build: BuildNo) -> bool {
        self.0.borrow().sessions.as_ref().is_none_or(|sessions| sessions.has_room(server, build))
    }
    fn cancel_attempt(&mut self, _: RequestId, _: AttemptNo) {}
    fn reject(&mut self, ticket: RequestId, come_back_in: Option<Micros>) {
        self.0.borrow_mut().turned_back.push((ticket, come_back_in));
    }
    fn fail(&mut self, ticket: RequestId) {
        self.0.borrow_mut().turned_back.push((ticket, None));
    }
    fn cast_vote(&mut self, build: BuildNo, stage: StageNo, vote: Vote) {
        self.0.borrow_mut().votes.push((build, stage, vote));
    }
    fn set_timer(&mut self, at: Micros, wake: TimerKind) {
        self.0.borrow_mut().wakes.push((at, wake));
    }
    fn probe(&mut self, _: ServerId) {}
    fn send_to_peers(&mut self, to: Option<GatewayId>, bytes: &[u8]) {
        let to = to.map(|to| (to, bytes.to_vec()));
        self.0.borrow_mut().told.extend(to);
    }
    fn fetch_server_list(&mut self) {
        self.0.borrow_mut().lists += 1;
    }
    fn watch_server_list(&mut self, on: bool) {
        self.0.borrow_mut().lists += usize::from(on);
    }
    fn close_idle_connections(&mut self, _: ServerId) {}
    fn log(&mut self, _: &str) {}
}
