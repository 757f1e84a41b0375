//! The whole path over loopback: real prompters and foyers as processes, stand-ins of instances, clients and the
//! operator in here. Judged by what the stand-ins saw. Nothing waits for a fixed time: all is asked for until it
//! is so, or until a deadline that only a fault reaches.

use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use hyper::{Method, StatusCode};
use membership::Role;
use playhouse::demo::client::{
    CallError, Connection, HttpRequest, HttpResponse, LoadBalancer, LoadGenerator, Workload, call,
};
use playhouse::demo::cluster::{NodeIndex, TestCluster, ZONES};
use playhouse::demo::instance::{BodyDigest, Instance, InstanceConfig, ReceivedRequest, RequestLog};
use playhouse::demo::operator::{Operator, Route, configuration_change, full_configuration, parse_items};
use playhouse::demo::{cluster, wait_for};

/// No call waits so long unless something is wrong.
const LONG: Duration = Duration::from_secs(20);
const HOST: &str = "loopback.example";
const SERVICES: [&str; 2] = ["playbill", "boxoffice"];

/// The stage of one test, with what plays on it.
struct House {
    stage: TestCluster,
    operator: Operator,
    record: RequestLog,
    cast: Vec<Instance>,
    platform: std::sync::Arc<LoadBalancer>,
    next: u32,
}

impl House {
    /// Three prompters, two foyers, two instances of each service, and a first configuration.
    async fn open(routes: &[Route], work: Duration) -> House {
        let plan = cluster::ClusterConfig {
            program: env!("CARGO_BIN_EXE_playhouse").into(),
            control_nodes: 3,
            gateways: 2,
            folder: None,
            log: "info".to_owned(),
        };
        let mut stage = TestCluster::create(plan).expect("a stage");
        stage.start_all().expect("nodes that start");
        let doors = stage.nodes(Role::Gateway).into_iter();
        let doors = doors.map(|foyer| (stage.frontend(foyer), stage.readiness(foyer))).collect();
        let operator = Operator::new(stage.control_addresses());
        let (platform, record) = (LoadBalancer::new(doors), RequestLog::default());
        let mut house = House { stage, operator, record, cast: Vec::new(), platform, next: 0 };
        let answer = house.operator.replace(0, 0, &full_configuration(1, routes, &SERVICES)).await;
        house.ok(answer);
        for service in SERVICES {
            for _ in 0..2 {
                house.enter(service, work).await;
            }
        }
        house.ready(2).await;
        // A foyer is ready as soon as it knows an instance of some service.
        for foyer in [0, 1] {
            for (method, uri) in [(Method::GET, "/view/0"), (Method::POST, "/book/0")] {
                house
                    .wait("each service is served by each foyer", async |house| {
                        let (ask, _) = house.request(method.clone(), uri, Vec::new());
                        let to = house.foyer(foyer);
                        house.through(to, &ask).await.is_ok_and(|answer| answer.status == StatusCode::OK)
                    })
                    .await;
            }
        }
        house
    }

    async fn enter(&mut self, service: &str, work: Duration) {
        let number = self.cast.len();
        let mut plan = InstanceConfig::new(&format!("i-{service}-{number}"), service, "v1");
        plan.service_time = work;
        plan.zone = ZONES[number % ZONES.len()].to_owned();
        plan.slots = 12;
        let address = SocketAddrV4::new(self.stage.instance_address().expect("an address"), 8080);
        let prompters = self.stage.control_addresses();
        let one = Instance::start(plan, address, prompters, self.record.clone()).await;
        self.cast.push(one.expect("an instance"));
    }

    /// Waits until so many foyers call themselves ready.
    async fn ready(&mut self, foyers: usize) {
        self.wait("foyers that are ready", async |house| {
            house.platform.probe().await;
            house.platform.ready() == foyers
        })
        .await;
    }

    /// Asks until it is so; panics with the logs of the nodes after `LONG`.
    async fn wait(&mut self, what: &str, mut so: impl AsyncFnMut(&mut House) -> bool) {
        let began = Instant::now();
        while !so(self).await {
            assert!(began.elapsed() < LONG, "{what}: not after {LONG:?}\n{}", self.stage.logs(20));
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// An answer of 200, or a panic with the logs.
    fn ok<E: std::fmt::Display>(&self, answer: Result<HttpResponse, E>) -> HttpResponse {
        match answer {
            Ok(answer) if answer.status == StatusCode::OK => answer,
            Ok(answer) => {
                panic!("{} {}\n{}", answer.status, answer.text(), self.stage.logs(20))
            }
            Err(error) => panic!("{error}\n{}", self.stage.logs(20)),
        }
    }

    fn foyer(&self, number: usize) -> NodeIndex {
        self.stage.nodes(Role::Gateway)[number]
    }

    /// A request as clients send it, with an id of its own.
    fn request(&mut self, method: Method, uri: &str, body: Vec<u8>) -> (HttpRequest, String) {
        self.next += 1;
        let attempt = format!("{:016x}", 0x9c41_d07b_0000_0000_u64 + u64::from(self.next));
        let ask = HttpRequest::new(method, uri)
            .with_header("Host", HOST)
            .with_header("Attempt-Id", attempt.clone());
        let mut ask = ask.with_header("Remaining-Time", "4000");
        ask.body = body.into();
        (ask, attempt)
    }

    /// One request through a foyer, and its attempt's id.
    async fn through(&mut self, foyer: NodeIndex, ask: &HttpRequest) -> Result<HttpResponse, CallError> {
        call(self.stage.frontend(foyer), ask, LONG).await
    }

    async fn leader(&mut self) -> NodeIndex {
        let operator = self.operator.clone();
        let leader = wait_for("a leader", || operator.leader()).await;
        let leader = leader.unwrap_or_else(|error| panic!("{error}\n{}", self.stage.logs(20)));
        self.stage.node_at(*leader.ip()).expect("a node of the stage")
    }

    async fn configuration(&self) -> Vec<u8> {
        self.ok(self.operator.retrieve(0).await).body.to_vec()
    }
}

fn routes() -> Vec<Route> {
    let mut lasting = Route::new("book", HOST, "/book/", "unsafe", SERVICES[1]);
    lasting.timeout_s = 5.0;
    vec![
        Route::new("view", HOST, "/view/", "safe", SERVICES[0]),
        Route::new("help", HOST, "/view/help/", "safe", SERVICES[1]),
        Route::new("scan", HOST, "/scan/", "upload", SERVICES[0]),
        lasting,
    ]
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(test);
}

/// The one run of a request, and that it was the only one.
fn only_run(record: &RequestLog, attempt: &str) -> ReceivedRequest {
    let seen = record.by_attempt(attempt);
    assert_eq!(seen.iter().filter(|seen| seen.ran).count(), 1, "{attempt} ran once: {seen:?}");
    seen.into_iter().find(|seen| seen.ran).expect("the run")
}

#[test]
fn requests_reach_the_right_service_unchanged_and_answers_come_back_unchanged() {
    run(async {
        let mut house = House::open(&routes(), Duration::from_millis(5)).await;
        let large: Vec<u8> =
            (0..300 << 10).map(|n: u32| (n.wrapping_mul(2_654_435_761) >> 24) as u8).collect();
        let cases = [
            (Method::GET, "/view/7?page=2&q=a%20b", SERVICES[0], Vec::new(), None),
            (Method::GET, "/view/help/7", SERVICES[1], Vec::new(), None),
            (Method::GET, "/view/helpless", SERVICES[0], Vec::new(), None),
            (Method::POST, "/book/7?seat=12", SERVICES[1], b"row=3".to_vec(), None),
            (Method::POST, "/book/8", SERVICES[1], large.clone(), None),
            (Method::POST, "/book/9", SERVICES[1], large.clone(), Some(7_000)),
            (Method::PUT, "/scan/10", SERVICES[0], [large.clone(), large].concat(), Some(16_000)),
        ];
        for foyer in [0, 1] {
            for (method, uri, service, body, chunks) in cases.clone() {
                let (mut ask, attempt) = house.request(method.clone(), uri, body);
                ask.chunks = chunks;
                let to = house.foyer(foyer);
                let answer = house.through(to, &ask).await;
                let answer = answer.map_err(|error| format!("{method} {uri}: {error}"));
                let answer = house.ok(answer);
                let seen = only_run(&house.record, &attempt);
                assert_eq!((seen.service.as_str(), seen.uri.as_str(), &seen.method), (service, uri, &method));
                assert_eq!(seen.body, BodyDigest::of(&ask.body), "{uri}");
                assert_eq!(seen.target.as_deref(), Some(seen.instance.as_str()));
                assert!(
                    seen.remaining.is_some_and(|left| (1..=4000).contains(&left)),
                    "{:?}",
                    seen.remaining
                );
                let said = format!("{method} {uri} {:?} by {}\n", seen.body, seen.instance);
                assert_eq!(answer.text(), said);
                assert_eq!(answer.header("Attempt-Id"), attempt);
                assert_eq!(answer.header("X-Kept"), "as it was");
                let (_, seal) = seen.answered.expect("it was answered");
                assert_eq!(answer.header("Server-Seal"), seal);
            }
            for (host, uri) in [(HOST, "/nowhere/7"), (HOST, "/view"), ("other.example", "/view/7")] {
                let (mut ask, attempt) = house.request(Method::GET, uri, Vec::new());
                ask.headers[0].1 = host.to_owned();
                let to = house.foyer(foyer);
                let answer = house.through(to, &ask).await.expect("an answer");
                assert_eq!(answer.status, StatusCode::NOT_FOUND, "{host}{uri}");
                assert!(house.record.by_attempt(&attempt).is_empty());
            }
        }
        // Many on one connection: each gets its own answer.
        let to = house.stage.frontend(house.foyer(0));
        let mut line = Connection::open(to).await.expect("a connection");
        for number in 0..20 {
            let (ask, attempt) = house.request(Method::GET, &format!("/view/{number}"), Vec::new());
            let answer = house.ok(line.send(&ask).await);
            assert_eq!(answer.header("Attempt-Id"), attempt);
        }
    });
}

#[test]
fn configurations_are_taken_once_read_back_and_refused_without_effect() {
    run(async {
        let routes = routes();
        let first = full_configuration(1, &routes, &SERVICES);
        let mut house = House::open(&routes, Duration::from_millis(5)).await;
        assert_eq!(parse_items(&house.configuration().await), parse_items(first.as_bytes()));
        let mut added = Route::new("late", HOST, "/late/", "safe", SERVICES[1]);
        added.targets = vec![(SERVICES[0].to_owned(), 1), (SERVICES[1].to_owned(), 3)];
        let modify = configuration_change(0x0c, std::slice::from_ref(&added), &["help"]);
        let answer = house.operator.modify(0, 1, &modify).await;
        house.ok(answer);
        let now: Vec<Route> = [&routes[..1], &routes[2..], std::slice::from_ref(&added)].concat();
        let expected = parse_items(full_configuration(0x0c, &now, &SERVICES).as_bytes());
        assert_eq!(parse_items(&house.configuration().await), expected);
        // The very same call, at each prompter; and another one on the same base.
        for number in 0..3 {
            let again = house.operator.modify(number, 1, &modify).await;
            house.ok(again);
            let lost = configuration_change(0x0d, std::slice::from_ref(&added), &[]);
            let lost = house.operator.modify(number, 1, &lost).await.expect("an answer");
            assert_eq!(lost.status, StatusCode::PRECONDITION_FAILED);
        }
        let bad = |change: &dyn Fn(&mut Route)| {
            let mut routes = now.clone();
            change(&mut routes[0]);
            full_configuration(0x20, &routes, &SERVICES)
        };
        let invalid = [
            ("an unknown service", bad(&|route| route.targets[0].0 = "nobody".to_owned())),
            ("no attempt", bad(&|route| route.attempts = 0)),
            ("a kind of route", bad(&|route| route.route_type = "sometimes".to_owned())),
            ("host and prefix twice", bad(&|route| route.prefix = "/late/".to_owned())),
            (
                "weights of 0",
                bad(&|route| {
                    route.targets = vec![(SERVICES[0].to_owned(), 0), (SERVICES[1].to_owned(), 0)];
                }),
            ),
            ("a version not above", full_configuration(0x0c, &now[..2], &SERVICES)),
            ("cut off", full_configuration(0x20, &now, &SERVICES)[..400].to_owned()),
        ];
        for (what, text) in invalid {
            let answer = house.operator.replace(0, 0x0c, &text).await.expect("an answer");
            assert!(answer.status.is_client_error(), "{what}: {}", answer.status);
            assert_eq!(parse_items(&house.configuration().await), expected, "{what}");
        }
        // Two at once on one base, at different prompters: one wins, and it is in force.
        let (one, other) =
            (full_configuration(0x21, &now, &SERVICES), full_configuration(0x22, &now, &SERVICES));
        let (left, right) =
            tokio::join!(house.operator.replace(0, 0x0c, &one), house.operator.replace(1, 0x0c, &other));
        let statuses = [left, right].map(|answer| answer.expect("an answer").status.as_u16());
        let winner = match statuses {
            [200, 412] => &one,
            [412, 200] => &other,
            _ => panic!("{statuses:?}: one wins, one has lost its race"),
        };
        assert_eq!(parse_items(&house.configuration().await), parse_items(winner.as_bytes()));
        // It is in force at every foyer: the route that was added serves, the one that was removed is its parent's.
        for foyer in [0, 1] {
            let to = house.foyer(foyer);
            let began = Instant::now();
            loop {
                let (ask, attempt) = house.request(Method::GET, "/late/1", Vec::new());
                let late = house.through(to, &ask).await.expect("an answer").status;
                let (ask, removed) = house.request(Method::GET, "/view/help/1", Vec::new());
                let help = house.through(to, &ask).await.expect("an answer").status;
                let by = house.record.by_attempt(&removed).pop().map(|seen| seen.service);
                if (late, help, by.as_deref()) == (StatusCode::OK, StatusCode::OK, Some(SERVICES[0])) {
                    assert_eq!(house.record.by_attempt(&attempt).len(), 1);
                    break;
                }
                assert!(began.elapsed() < Duration::from_millis(2_500), "{late} {help} {by:?}");
            }
        }
    });
}

fn crowd(house: &House, rate: f64) -> LoadGenerator {
    let kind = |method, path: &str, safe, bytes| Workload {
        host: HOST.to_owned(),
        path: path.to_owned(),
        method,
        safe,
        timeout: Duration::from_secs(4),
        body_bytes: bytes,
        requests_per_second: rate,
    };
    let kinds = vec![kind(Method::GET, "/view/", true, 0), kind(Method::POST, "/book/", false, 500)];
    LoadGenerator::start(house.platform.clone(), kinds)
}

#[test]
fn instances_and_foyers_leave_in_order() {
    run(async {
        let mut house = House::open(&routes(), Duration::from_millis(5)).await;
        let asking = crowd(&house, 30.0);
        let all: Vec<String> = house.cast.iter().map(|one| one.id().to_owned()).collect();
        let record = house.record.clone();
        house
            .wait("every instance is asked", async |_| {
                all.iter().all(|id| record.count(|seen| seen.instance == *id && seen.ran) > 0)
            })
            .await;
        // A drain that was acknowledged: after DrainS nothing more reaches the instance.
        let leaving = house.cast.remove(0);
        let acknowledged = leaving.drain(LONG).await.expect("the drain is acknowledged");
        let over = acknowledged + Duration::from_millis(2_500);
        let service = leaving.plan().service.clone();
        let later = |seen: &ReceivedRequest| seen.at > over && seen.service == service && seen.ran;
        let (id, other) = (leaving.id().to_owned(), service.clone());
        house.wait("others are asked after the drain", async |_| record.count(later) >= 20).await;
        let late = record.find(|seen| seen.instance == id && seen.at > over);
        assert!(late.is_empty(), "{other}: {late:?}");
        assert!(leaving.detach().await, "the end is acknowledged");
        drop(asking);
        // A foyer told to end finishes what it has in hand, and is not ready any more.
        for service in SERVICES {
            house.enter(service, Duration::from_millis(900)).await;
        }
        let slow = house.cast.len() - 2;
        let slow: Vec<String> = house.cast[slow..].iter().map(|one| one.id().to_owned()).collect();
        house.cast.retain(|one| slow.contains(&one.id().to_owned()));
        let (foyer, record) = (house.foyer(0), house.record.clone());
        let to = house.stage.frontend(foyer);
        let (mut asked, mut answers) = (Vec::new(), tokio::task::JoinSet::new());
        let working = |attempt: &String| {
            record.count(|seen| seen.attempt == *attempt && seen.ran && seen.answered.is_none()) > 0
        };
        let began = Instant::now();
        while asked.iter().filter(|attempt| working(attempt)).count() < 6 {
            assert!(began.elapsed() < LONG, "requests at work\n{}", house.stage.logs(20));
            for (method, uri, body) in
                [(Method::GET, "/view/1", vec![]), (Method::POST, "/book/1", vec![1; 800])]
            {
                let (ask, attempt) = house.request(method, uri, body);
                asked.push(attempt.clone());
                answers.spawn(async move { (attempt, call(to, &ask, LONG).await) });
            }
            tokio::time::sleep(Duration::from_millis(40)).await;
        }
        let held: Vec<String> = asked.iter().filter(|attempt| working(attempt)).cloned().collect();
        house.stage.terminate(foyer).expect("it is told to end");
        while let Some(answer) = answers.join_next().await {
            let (attempt, answer) = answer.expect("no panic");
            if held.contains(&attempt) {
                let answer = house.ok(answer);
                assert_eq!(answer.header("Attempt-Id"), attempt);
                only_run(&house.record, &attempt);
            }
        }
        house
            .wait("the foyer has ended", async |house| {
                house.stage.exit_status(foyer).expect("a process").is_some()
            })
            .await;
        let status = house.stage.exit_status(foyer).expect("a process").expect("its end");
        assert!(status.success(), "{status}\n{}", house.stage.logs(20));
        house.ready(1).await;
        assert!(asked.iter().all(|attempt| record.count(|seen| seen.attempt == *attempt && seen.ran) <= 1));
    });
}

#[test]
fn the_core_survives_its_leader_and_a_kill_of_all() {
    run(async {
        let routes = routes();
        let mut house = House::open(&routes, Duration::from_millis(5)).await;
        let asking = crowd(&house, 20.0);
        // One that is told to end has handed over before it is gone, so that nobody waits for an election.
        let told = house.leader().await;
        house.stage.terminate(told).expect("it is told to end");
        house
            .wait("it ends", async |house| house.stage.exit_status(told).expect("a process").is_some())
            .await;
        assert!(house.stage.logs(20).contains("is handed over before the end"), "{}", house.stage.logs(20));
        house.stage.start(told).expect("it starts again");
        let killed = house.leader().await;
        house.stage.kill(killed).expect("it is killed");
        let since = Instant::now();
        let answer = house.operator.modify(0, 1, &configuration_change(2, &[], &["help"])).await;
        house.ok(answer);
        let took = since.elapsed();
        assert!(took < Duration::from_secs(5), "{took:?}\n{}", house.stage.logs(20));
        let expected =
            parse_items(full_configuration(2, &[&routes[..1], &routes[2..]].concat(), &SERVICES).as_bytes());
        assert_eq!(parse_items(&house.configuration().await), expected);
        house.stage.start(killed).expect("it starts again");
        // All at once; the disks are kept.
        for prompter in house.stage.nodes(Role::ControlNode) {
            house.stage.kill(prompter).expect("it is killed");
        }
        house.stage.start_all().expect("all start again");
        assert_eq!(parse_items(&house.configuration().await), expected);
        let answer = house.operator.modify(1, 2, &configuration_change(3, &[], &["scan"])).await;
        house.ok(answer);
        // Traffic went on all the while, and nothing ran twice that may not.
        let counts = asking.counts();
        drop(asking);
        assert!(counts.served * 20 >= counts.total() * 19, "{counts:?}\n{}", house.stage.logs(20));
        let posts = house.record.find(|seen| seen.method == Method::POST && seen.ran);
        let attempts: std::collections::HashSet<_> = posts.iter().map(|seen| &seen.attempt).collect();
        assert_eq!(attempts.len(), posts.len(), "a request ran twice");
        assert_eq!(house.record.dropped(), 0);
    });
}
