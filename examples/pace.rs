//! Measures the time that the balancer takes per request, with 90 servers, 300 profiles, a build on trial and
//! 20,000 requests.
//!
//!     cargo run --release -p garnetdoor --example pace

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Instant;

use garnetdoor::balance::Balancer;
use garnetdoor::host::*;

const SERVERS: u32 = 90;
const PROFILES: usize = 300;
const REQUESTS: u64 = 20_000;
/// Time between two requests.
const REQUEST_PERIOD: Micros = 22 * MS;
/// An attempt ends when so many more requests have arrived.
const IN_FLIGHT_REQUESTS: u64 = 4;

#[derive(Default)]
struct HostState {
    now: Micros,
    in_flight: Vec<(RequestId, AttemptNo)>,
    rejected: usize,
}

#[derive(Clone, Default)]
struct CountingHost(Rc<RefCell<HostState>>);

impl Host for CountingHost {
    fn now(&self) -> Micros {
        self.0.borrow().now
    }
    fn send_attempt(&mut self, request: RequestId, _server: ServerId, _until: Option<Micros>) {
        self.0.borrow_mut().in_flight.push((request, AttemptNo(0)));
    }
    fn reject(&mut self, _request: RequestId, _retry_after: Option<Micros>) {
        self.0.borrow_mut().rejected += 1;
    }
    fn cancel_attempt(&mut self, _request: RequestId, _attempt: AttemptNo) {}
    fn fail(&mut self, _request: RequestId) {}
    fn cast_vote(&mut self, _build: BuildNo, _stage: StageNo, _vote: Vote) {}
    fn set_timer(&mut self, _at: Micros, _timer: TimerKind) {}
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
    let host = CountingHost::default();
    host.0.borrow_mut().now = 100_000_000;
    let mut balancer = Balancer::start(host.clone(), 7, settings);
    let server = |n: u32| ServerInfo {
        server: ServerId(n),
        build: BuildNo(1 + u32::from(n.is_multiple_of(10))),
        zone: ZoneId(n as usize % 4),
        condition: Condition::Healthy,
        capacity: 1.0,
        ..ServerInfo::default()
    };
    balancer.server_list_updated((0..SERVERS).map(server).collect());
    let (build, stage) = (BuildNo(2), StageNo(0));
    balancer.rollout_updated(RolloutStatus {
        build,
        stage,
        phase: RolloutPhase::InTrial,
        exposure_cap: 0.1,
        age: 0,
    });
    let mut elapsed = std::time::Duration::ZERO;
    for request in 0..REQUESTS {
        let ended = {
            let mut state = host.0.borrow_mut();
            state.now += REQUEST_PERIOD;
            let due =
                state.in_flight.iter().take_while(|(id, _)| id.0 + IN_FLIGHT_REQUESTS < request).count();
            state.in_flight.drain(..due).collect::<Vec<_>>()
        };
        let profile = ProfileId((request * 7919 % PROFILES as u64) as usize);
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
        let start = Instant::now();
        for (id, attempt) in ended {
            balancer.attempt_ended(
                id,
                attempt,
                IN_FLIGHT_REQUESTS as Micros * REQUEST_PERIOD,
                AttemptOutcome::Succeeded,
                true,
                &[],
            );
        }
        if request.is_multiple_of(5) {
            balancer.timer_fired(TimerKind::StallCheck);
        }
        balancer.request_arrived(RequestId(request), arrival);
        elapsed += start.elapsed();
    }
    let rejected = host.0.borrow().rejected;
    println!(
        "{} ns per request, {rejected} of {REQUESTS} rejected",
        elapsed.as_nanos() / u128::from(REQUESTS)
    );
}
