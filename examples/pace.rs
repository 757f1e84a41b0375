//! How long one ticket takes the decisions: 90 servers, 300 profiles, a build on trial, 20,000 tickets.
//!
//!     cargo run --release -p garnetdoor --example pace

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Instant;

use garnetdoor::balance::Balancer;
use garnetdoor::host::*;

const SERVERS: u32 = 90;
const PROFILES: usize = 300;
const TICKETS: u64 = 20_000;
const EVERY: Micros = 22_000;
const OUT_FOR: u64 = 4;

#[derive(Default)]
struct Desk {
    now: Micros,
    sent: Vec<(RequestId, AttemptNo)>,
    turned_back: usize,
}

#[derive(Clone, Default)]
struct Plain(Rc<RefCell<Desk>>);

impl Host for Plain {
    fn now(&self) -> Micros {
        self.0.borrow().now
    }
    fn send_attempt(&mut self, ticket: RequestId, _server: ServerId, _until: Option<Micros>) {
        self.0.borrow_mut().sent.push((ticket, AttemptNo(0)));
    }
    fn reject(&mut self, _ticket: RequestId, _come_back_in: Option<Micros>) {
        self.0.borrow_mut().turned_back += 1;
    }
    fn cancel_attempt(&mut self, _ticket: RequestId, _trip: AttemptNo) {}
    fn fail(&mut self, _ticket: RequestId) {}
    fn cast_vote(&mut self, _build: BuildNo, _stage: StageNo, _vote: Vote) {}
    fn set_timer(&mut self, _at: Micros, _wake: TimerKind) {}
    fn probe(&mut self, _server: ServerId) {}
    fn send_to_peers(&mut self, _to: Option<GatewayId>, _bytes: &[u8]) {}
    fn fetch_server_list(&mut self) {}
    fn watch_server_list(&mut self, _on: bool) {}
    fn close_idle_connections(&mut self, _server: ServerId) {}
    fn log(&mut self, _text: &str) {}
}

fn main() {
    let names = [("on_time", "0.25"), ("repeat", "safe"), ("worth", "1")];
    let classes =
        (0..PROFILES).flat_map(|n| names.map(|(what, value)| (ProfileId(n).setting_name(what), value)));
    let others = [
        ("classes.count", PROFILES.to_string()),
        ("domain.exposure_window", "10".into()),
        ("domain.exposure_caps", "0.1".into()),
        ("domain.free", "5".into()),
        ("policy_limits.try_limit", "2".into()),
        ("fleet_size", "60".into()),
        ("index", "3".into()),
    ];
    let classes = classes.map(|(name, value)| (name, value.to_owned()));
    let settings: Settings = classes.chain(others.map(|(name, value)| (name.to_owned(), value))).collect();
    let host = Plain::default();
    host.0.borrow_mut().now = 100_000_000;
    let mut gate = Balancer::start(host.clone(), 7, settings);
    let listing = |n: u32| ServerInfo {
        server: ServerId(n),
        build: BuildNo(1 + u32::from(n.is_multiple_of(10))),
        zone: ZoneId(n as usize % 4),
        condition: Condition::Healthy,
        capacity: 1.0,
        ..ServerInfo::default()
    };
    gate.server_list_updated((0..SERVERS).map(listing).collect());
    let (build, stage) = (BuildNo(2), StageNo(0));
    gate.rollout_updated(RolloutStatus {
        build,
        stage,
        phase: RolloutPhase::InTrial,
        exposure_cap: 0.1,
        age: 0,
    });
    let mut spent = std::time::Duration::ZERO;
    for ticket in 0..TICKETS {
        let ended = {
            let mut desk = host.0.borrow_mut();
            desk.now += EVERY;
            let due = desk.sent.iter().take_while(|(id, _)| id.0 + OUT_FOR < ticket).count();
            desk.sent.drain(..due).collect::<Vec<_>>()
        };
        let profile = ProfileId((ticket * 7919 % PROFILES as u64) as usize);
        let time_left = 1_000_000;
        let arrival = Arrival {
            profile,
            cost: None,
            key: None,
            time_left,
            writes: false,
            is_retry: false,
            party: None,
        };
        let began = Instant::now();
        for (id, trip) in ended {
            gate.attempt_ended(id, trip, OUT_FOR as Micros * EVERY, AttemptOutcome::Succeeded, true, &[]);
        }
        if ticket.is_multiple_of(5) {
            gate.timer_fired(TimerKind::StallCheck);
        }
        gate.request_arrived(RequestId(ticket), arrival);
        spent += began.elapsed();
    }
    let turned_back = host.0.borrow().turned_back;
    println!(
        "{} ns a ticket, {turned_back} of {TICKETS} turned back",
        spent.as_nanos() / u128::from(TICKETS)
    );
}
