//! End-to-end tests over loopback: control nodes and gateways run as processes; instances, clients and the operator
//! are simulated by the test, which checks what the simulated instances saw. Nothing waits for a fixed time: each
//! condition is polled until it holds, or until a deadline that is reached only if something is wrong.

use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use hyper::{Method, StatusCode};
use membership::Role;
use playhouse::demo::client::{
    CallError, Connection, HttpRequest, HttpResponse, LoadBalancer, LoadGenerator, Workload, call,
};
use playhouse::demo::cluster::{NodeIndex, ZONES};
use playhouse::demo::instance::{BodyDigest, Instance, InstanceConfig, ReceivedRequest, RequestLog};
use playhouse::demo::operator::{Operator, Route, configuration_change, full_configuration, parse_items};
use playhouse::demo::{cluster, wait_for};

/// Calls take longer than this only if something is wrong.
const FAILURE_TIMEOUT: Duration = Duration::from_secs(20);
const HOST: &str = "loopback.example";
const SERVICES: [&str; 2] = ["playbill", "boxoffice"];

/// The cluster of one test with its clients, instances and operator.
struct TestCluster {
    stage: cluster::TestCluster,
    operator: Operator,
    record: RequestLog,
    instances: Vec<Instance>,
    platform: std::sync::Arc<LoadBalancer>,
    next_request: u32,
}

impl TestCluster {
    /// Starts three control nodes, two gateways, two instances of each service, and a first configuration.
    async fn open(routes: &[Route], work: Duration) -> TestCluster {
        let plan = cluster::ClusterConfig {
            program: env!("CARGO_BIN_EXE_playhouse").into(),
            control_nodes: 3,
            gateways: 2,
            folder: None,
            log: "info".to_owned(),
        };
        let mut stage = cluster::TestCluster::create(plan).expect("a stage");
        stage.start_all().expect("nodes that start");
        let endpoints = stage.nodes(Role::Gateway).into_iter();
        let endpoints =
            endpoints.map(|gateway| (stage.frontend(gateway), stage.readiness(gateway))).collect();
        let operator = Operator::new(stage.control_addresses());
        let (platform, record) = (LoadBalancer::new(endpoints), RequestLog::default());
        let mut cluster =
            TestCluster { stage, operator, record, instances: Vec::new(), platform, next_request: 0 };
        let answer = cluster.operator.replace(0, 0, &full_configuration(1, routes, &SERVICES)).await;
        cluster.expect_ok(answer);
        for service in SERVICES {
            for _ in 0..2 {
                cluster.add_instance(service, work).await;
            }
        }
        cluster.wait_for_ready_gateways(2).await;
        // A gateway may become ready before it knows an instance of each service.
        for gateway in [0, 1] {
            for (method, uri) in [(Method::GET, "/view/0"), (Method::POST, "/book/0")] {
                cluster
                    .wait_until("each service is served by each gateway", async |cluster| {
                        let (ask, _) = cluster.request(method.clone(), uri, Vec::new());
                        let to = cluster.gateway(gateway);
                        cluster.send(to, &ask).await.is_ok_and(|answer| answer.status == StatusCode::OK)
                    })
                    .await;
            }
        }
        cluster
    }

    async fn add_instance(&mut self, service: &str, work: Duration) {
        let number = self.instances.len();
        let mut plan = InstanceConfig::new(&format!("i-{service}-{number}"), service, "v1");
        plan.service_time = work;
        plan.zone = ZONES[number % ZONES.len()].to_owned();
        plan.slots = 12;
        let address = SocketAddrV4::new(self.stage.instance_address().expect("an address"), 8080);
        let prompters = self.stage.control_addresses();
        let instance = Instance::start(plan, address, prompters, self.record.clone()).await;
        self.instances.push(instance.expect("an instance"));
    }

    /// Waits until this many gateways report that they are ready.
    async fn wait_for_ready_gateways(&mut self, count: usize) {
        self.wait_until("ready gateways", async |cluster| {
            cluster.platform.probe().await;
            cluster.platform.ready() == count
        })
        .await;
    }

    /// Polls until the condition holds; panics with the logs of the nodes after `FAILURE_TIMEOUT`.
    async fn wait_until(&mut self, what: &str, mut condition: impl AsyncFnMut(&mut TestCluster) -> bool) {
        let began = Instant::now();
        while !condition(self).await {
            assert!(
                began.elapsed() < FAILURE_TIMEOUT,
                "{what}: not after {FAILURE_TIMEOUT:?}\n{}",
                self.stage.logs(20)
            );
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// The answer if its status is 200; otherwise panics with the logs.
    fn expect_ok<E: std::fmt::Display>(&self, answer: Result<HttpResponse, E>) -> HttpResponse {
        match answer {
            Ok(answer) if answer.status == StatusCode::OK => answer,
            Ok(answer) => {
                panic!("{} {}\n{}", answer.status, answer.text(), self.stage.logs(20))
            }
            Err(error) => panic!("{error}\n{}", self.stage.logs(20)),
        }
    }

    fn gateway(&self, number: usize) -> NodeIndex {
        self.stage.nodes(Role::Gateway)[number]
    }

    /// A client request with a unique id.
    fn request(&mut self, method: Method, uri: &str, body: Vec<u8>) -> (HttpRequest, String) {
        self.next_request += 1;
        let attempt = format!("{:016x}", 0x9c41_d07b_0000_0000_u64 + u64::from(self.next_request));
        let ask = HttpRequest::new(method, uri)
            .with_header("Host", HOST)
            .with_header("Attempt-Id", attempt.clone());
        let mut ask = ask.with_header("Remaining-Time", "4000");
        ask.body = body.into();
        (ask, attempt)
    }

    /// Sends one request through a gateway.
    async fn send(&mut self, gateway: NodeIndex, ask: &HttpRequest) -> Result<HttpResponse, CallError> {
        call(self.stage.frontend(gateway), ask, FAILURE_TIMEOUT).await
    }

    async fn leader(&mut self) -> NodeIndex {
        let operator = self.operator.clone();
        let leader = wait_for("a leader", || operator.leader()).await;
        let leader = leader.unwrap_or_else(|error| panic!("{error}\n{}", self.stage.logs(20)));
        self.stage.node_at(*leader.ip()).expect("a node of the stage")
    }

    async fn configuration(&self) -> Vec<u8> {
        self.expect_ok(self.operator.retrieve(0).await).body.to_vec()
    }
}

fn routes() -> Vec<Route> {
    let mut booking = Route::new("book", HOST, "/book/", "unsafe", SERVICES[1]);
    booking.timeout_s = 5.0;
    vec![
        Route::new("view", HOST, "/view/", "safe", SERVICES[0]),
        Route::new("help", HOST, "/view/help/", "safe", SERVICES[1]),
        Route::new("scan", HOST, "/scan/", "upload", SERVICES[0]),
        booking,
    ]
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(test);
}

/// The run of a request; panics unless it ran exactly once.
fn only_run(record: &RequestLog, attempt: &str) -> ReceivedRequest {
    let seen = record.by_attempt(attempt);
    assert_eq!(seen.iter().filter(|seen| seen.ran).count(), 1, "{attempt} ran once: {seen:?}");
    seen.into_iter().find(|seen| seen.ran).expect("the run")
}

#[test]
fn requests_and_answers_are_forwarded_unchanged_to_and_from_the_right_service() {
    run(async {
        let mut cluster = TestCluster::open(&routes(), Duration::from_millis(5)).await;
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
        for gateway in [0, 1] {
            for (method, uri, service, body, chunks) in cases.clone() {
                let (mut ask, attempt) = cluster.request(method.clone(), uri, body);
                ask.chunks = chunks;
                let to = cluster.gateway(gateway);
                let answer = cluster.send(to, &ask).await;
                let answer = answer.map_err(|error| format!("{method} {uri}: {error}"));
                let answer = cluster.expect_ok(answer);
                let seen = only_run(&cluster.record, &attempt);
                assert_eq!((seen.service.as_str(), seen.uri.as_str(), &seen.method), (service, uri, &method));
                assert_eq!(seen.body, BodyDigest::of(&ask.body), "{uri}");
                assert_eq!(seen.target.as_deref(), Some(seen.instance.as_str()));
                assert!(
                    seen.remaining.is_some_and(|left| (1..=4000).contains(&left)),
                    "{:?}",
                    seen.remaining
                );
                let expected = format!("{method} {uri} {:?} by {}\n", seen.body, seen.instance);
                assert_eq!(answer.text(), expected);
                assert_eq!(answer.header("Attempt-Id"), attempt);
                assert_eq!(answer.header("X-Kept"), "as it was");
                let (_, seal) = seen.answered.expect("it was answered");
                assert_eq!(answer.header("Server-Seal"), seal);
            }
            for (host, uri) in [(HOST, "/nowhere/7"), (HOST, "/view"), ("other.example", "/view/7")] {
                let (mut ask, attempt) = cluster.request(Method::GET, uri, Vec::new());
                ask.headers[0].1 = host.to_owned();
                let to = cluster.gateway(gateway);
                let answer = cluster.send(to, &ask).await.expect("an answer");
                assert_eq!(answer.status, StatusCode::NOT_FOUND, "{host}{uri}");
                assert!(cluster.record.by_attempt(&attempt).is_empty());
            }
        }
        // Many requests on one connection: each gets its own answer.
        let to = cluster.stage.frontend(cluster.gateway(0));
        let mut connection = Connection::open(to).await.expect("a connection");
        for number in 0..20 {
            let (ask, attempt) = cluster.request(Method::GET, &format!("/view/{number}"), Vec::new());
            let answer = cluster.expect_ok(connection.send(&ask).await);
            assert_eq!(answer.header("Attempt-Id"), attempt);
        }
    });
}

#[test]
fn configurations_are_applied_once_read_back_and_rejected_without_effect() {
    run(async {
        let routes = routes();
        let first = full_configuration(1, &routes, &SERVICES);
        let mut cluster = TestCluster::open(&routes, Duration::from_millis(5)).await;
        assert_eq!(parse_items(&cluster.configuration().await), parse_items(first.as_bytes()));
        let mut added = Route::new("late", HOST, "/late/", "safe", SERVICES[1]);
        added.targets = vec![(SERVICES[0].to_owned(), 1), (SERVICES[1].to_owned(), 3)];
        let modify = configuration_change(0x0c, std::slice::from_ref(&added), &["help"]);
        let answer = cluster.operator.modify(0, 1, &modify).await;
        cluster.expect_ok(answer);
        let now: Vec<Route> = [&routes[..1], &routes[2..], std::slice::from_ref(&added)].concat();
        let expected = parse_items(full_configuration(0x0c, &now, &SERVICES).as_bytes());
        assert_eq!(parse_items(&cluster.configuration().await), expected);
        // The same call at each control node, and a different one with the same base version.
        for number in 0..3 {
            let again = cluster.operator.modify(number, 1, &modify).await;
            cluster.expect_ok(again);
            let conflicting = configuration_change(0x0d, std::slice::from_ref(&added), &[]);
            let refused = cluster.operator.modify(number, 1, &conflicting).await.expect("an answer");
            assert_eq!(refused.status, StatusCode::PRECONDITION_FAILED);
        }
        let invalid_with = |change: &dyn Fn(&mut Route)| {
            let mut routes = now.clone();
            change(&mut routes[0]);
            full_configuration(0x20, &routes, &SERVICES)
        };
        let invalid = [
            ("an unknown service", invalid_with(&|route| route.targets[0].0 = "nobody".to_owned())),
            ("no attempt", invalid_with(&|route| route.attempts = 0)),
            ("a kind of route", invalid_with(&|route| route.route_type = "sometimes".to_owned())),
            ("host and prefix twice", invalid_with(&|route| route.prefix = "/late/".to_owned())),
            (
                "weights of 0",
                invalid_with(&|route| {
                    route.targets = vec![(SERVICES[0].to_owned(), 0), (SERVICES[1].to_owned(), 0)];
                }),
            ),
            ("a version not above", full_configuration(0x0c, &now[..2], &SERVICES)),
            ("cut off", full_configuration(0x20, &now, &SERVICES)[..400].to_owned()),
        ];
        for (what, text) in invalid {
            let answer = cluster.operator.replace(0, 0x0c, &text).await.expect("an answer");
            assert!(answer.status.is_client_error(), "{what}: {}", answer.status);
            assert_eq!(parse_items(&cluster.configuration().await), expected, "{what}");
        }
        // Two concurrent changes of one base version, at different control nodes: exactly one takes effect.
        let (one, other) =
            (full_configuration(0x21, &now, &SERVICES), full_configuration(0x22, &now, &SERVICES));
        let (left, right) =
            tokio::join!(cluster.operator.replace(0, 0x0c, &one), cluster.operator.replace(1, 0x0c, &other));
        let statuses = [left, right].map(|answer| answer.expect("an answer").status.as_u16());
        let winner = match statuses {
            [200, 412] => &one,
            [412, 200] => &other,
            _ => panic!("{statuses:?}: exactly one takes effect"),
        };
        assert_eq!(parse_items(&cluster.configuration().await), parse_items(winner.as_bytes()));
        // In force at every gateway: the added route is served, and the removed one falls back to its parent.
        for gateway in [0, 1] {
            let to = cluster.gateway(gateway);
            let began = Instant::now();
            loop {
                let (ask, attempt) = cluster.request(Method::GET, "/late/1", Vec::new());
                let late = cluster.send(to, &ask).await.expect("an answer").status;
                let (ask, removed) = cluster.request(Method::GET, "/view/help/1", Vec::new());
                let help = cluster.send(to, &ask).await.expect("an answer").status;
                let by = cluster.record.by_attempt(&removed).pop().map(|seen| seen.service);
                if (late, help, by.as_deref()) == (StatusCode::OK, StatusCode::OK, Some(SERVICES[0])) {
                    assert_eq!(cluster.record.by_attempt(&attempt).len(), 1);
                    break;
                }
                assert!(began.elapsed() < Duration::from_millis(2_500), "{late} {help} {by:?}");
            }
        }
    });
}

fn start_clients(cluster: &TestCluster, rate: f64) -> LoadGenerator {
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
    LoadGenerator::start(cluster.platform.clone(), kinds)
}

#[test]
fn instances_and_gateways_drain_before_they_leave() {
    run(async {
        let mut cluster = TestCluster::open(&routes(), Duration::from_millis(5)).await;
        let clients = start_clients(&cluster, 30.0);
        let all: Vec<String> = cluster.instances.iter().map(|one| one.id().to_owned()).collect();
        let record = cluster.record.clone();
        cluster
            .wait_until("every instance gets requests", async |_| {
                all.iter().all(|id| record.count(|seen| seen.instance == *id && seen.ran) > 0)
            })
            .await;
        // After an acknowledged drain, no request reaches the instance once DrainS has passed.
        let leaving = cluster.instances.remove(0);
        let acknowledged = leaving.drain(FAILURE_TIMEOUT).await.expect("the drain is acknowledged");
        let drained_at = acknowledged + Duration::from_millis(2_500);
        let service = leaving.plan().service.clone();
        let later = |seen: &ReceivedRequest| seen.at > drained_at && seen.service == service && seen.ran;
        let (id, other) = (leaving.id().to_owned(), service.clone());
        cluster
            .wait_until("other instances get requests after the drain", async |_| record.count(later) >= 20)
            .await;
        let late = record.find(|seen| seen.instance == id && seen.at > drained_at);
        assert!(late.is_empty(), "{other}: {late:?}");
        assert!(leaving.detach().await, "the detach is acknowledged");
        drop(clients);
        // A terminated gateway completes its open requests and is no longer ready.
        for service in SERVICES {
            cluster.add_instance(service, Duration::from_millis(900)).await;
        }
        let slow = cluster.instances.len() - 2;
        let slow: Vec<String> = cluster.instances[slow..].iter().map(|one| one.id().to_owned()).collect();
        cluster.instances.retain(|one| slow.contains(&one.id().to_owned()));
        let (gateway, record) = (cluster.gateway(0), cluster.record.clone());
        let to = cluster.stage.frontend(gateway);
        let (mut attempts, mut answers) = (Vec::new(), tokio::task::JoinSet::new());
        let working = |attempt: &String| {
            record.count(|seen| seen.attempt == *attempt && seen.ran && seen.answered.is_none()) > 0
        };
        let began = Instant::now();
        while attempts.iter().filter(|attempt| working(attempt)).count() < 6 {
            assert!(began.elapsed() < FAILURE_TIMEOUT, "requests at work\n{}", cluster.stage.logs(20));
            for (method, uri, body) in
                [(Method::GET, "/view/1", vec![]), (Method::POST, "/book/1", vec![1; 800])]
            {
                let (ask, attempt) = cluster.request(method, uri, body);
                attempts.push(attempt.clone());
                answers.spawn(async move { (attempt, call(to, &ask, FAILURE_TIMEOUT).await) });
            }
            tokio::time::sleep(Duration::from_millis(40)).await;
        }
        let in_progress: Vec<String> = attempts.iter().filter(|attempt| working(attempt)).cloned().collect();
        cluster.stage.terminate(gateway).expect("SIGTERM is sent");
        while let Some(answer) = answers.join_next().await {
            let (attempt, answer) = answer.expect("no panic");
            if in_progress.contains(&attempt) {
                let answer = cluster.expect_ok(answer);
                assert_eq!(answer.header("Attempt-Id"), attempt);
                only_run(&cluster.record, &attempt);
            }
        }
        cluster
            .wait_until("the gateway has ended", async |cluster| {
                cluster.stage.exit_status(gateway).expect("a process").is_some()
            })
            .await;
        let status = cluster.stage.exit_status(gateway).expect("a process").expect("its end");
        assert!(status.success(), "{status}\n{}", cluster.stage.logs(20));
        cluster.wait_for_ready_gateways(1).await;
        assert!(
            attempts.iter().all(|attempt| record.count(|seen| seen.attempt == *attempt && seen.ran) <= 1)
        );
    });
}

#[test]
fn the_control_nodes_survive_the_loss_of_the_leader_and_a_kill_of_all() {
    run(async {
        let routes = routes();
        let mut cluster = TestCluster::open(&routes, Duration::from_millis(5)).await;
        let clients = start_clients(&cluster, 20.0);
        // A terminated leader hands over before it exits, so that no election time-out has to pass.
        let terminated = cluster.leader().await;
        cluster.stage.terminate(terminated).expect("SIGTERM is sent");
        cluster
            .wait_until("it ends", async |cluster| {
                cluster.stage.exit_status(terminated).expect("a process").is_some()
            })
            .await;
        assert!(
            cluster.stage.logs(20).contains("is handed over before the end"),
            "{}",
            cluster.stage.logs(20)
        );
        cluster.stage.start(terminated).expect("it starts again");
        let killed = cluster.leader().await;
        cluster.stage.kill(killed).expect("it is killed");
        let since = Instant::now();
        let answer = cluster.operator.modify(0, 1, &configuration_change(2, &[], &["help"])).await;
        cluster.expect_ok(answer);
        let elapsed = since.elapsed();
        assert!(elapsed < Duration::from_secs(5), "{elapsed:?}\n{}", cluster.stage.logs(20));
        let expected =
            parse_items(full_configuration(2, &[&routes[..1], &routes[2..]].concat(), &SERVICES).as_bytes());
        assert_eq!(parse_items(&cluster.configuration().await), expected);
        cluster.stage.start(killed).expect("it starts again");
        // Kill all control nodes at once; their disks are kept.
        for prompter in cluster.stage.nodes(Role::ControlNode) {
            cluster.stage.kill(prompter).expect("it is killed");
        }
        cluster.stage.start_all().expect("all start again");
        assert_eq!(parse_items(&cluster.configuration().await), expected);
        let answer = cluster.operator.modify(1, 2, &configuration_change(3, &[], &["scan"])).await;
        cluster.expect_ok(answer);
        // Traffic continued throughout, and no request that must not run twice did.
        let counts = clients.counts();
        drop(clients);
        assert!(counts.served * 20 >= counts.total() * 19, "{counts:?}\n{}", cluster.stage.logs(20));
        let posts = cluster.record.find(|seen| seen.method == Method::POST && seen.ran);
        let attempts: std::collections::HashSet<_> = posts.iter().map(|seen| &seen.attempt).collect();
        assert_eq!(attempts.len(), posts.len(), "a request ran twice");
        assert_eq!(cluster.record.dropped(), 0);
    });
}
