//! Unrest (for soaks of real processes): a fleet on a stage whose configuration changes while its nodes are told to end,
//! reloaded, killed and started again, drawn from a seed. Clients keep using their open connections until the process is
//! gone. It brings trouble about and tells what was seen; what is to hold, a test judges.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use hyper::{Method, StatusCode};
use membership::Role;
use oorandom::Rand64;

use super::client::{Connection, HttpRequest, LoadBalancer, LoadGenerator, Workload};
use super::cluster::{self, ClusterError, NodeIndex, TestCluster, ZONES};
use super::instance::{Instance, InstanceConfig, RequestLog};
use super::operator::{Operator, Route, configuration_change, full_configuration};

/// So many of the latest versions' routes are kept; older ones are taken away as new ones come.
pub const RETAINED_VERSIONS: u32 = 3;

const HOST: &str = "soak.example";
const SERVICE: &str = "proofs";
const PROMPTERS: usize = 3;
const INSTANCES: usize = 4;
const SLOTS: usize = 64;
const WORK: Duration = Duration::from_millis(2);
/// An answer that takes longer counts as none.
const ANSWER_WITHIN: Duration = Duration::from_secs(3);
/// Between two kills of control machines.
const MIN_CONTROL_KILL_INTERVAL: Duration = Duration::from_secs(6);
const ORDERS_PER_SECOND: f64 = 40.0;
const ORDER_BYTES: usize = 2_000;

/// Why a fleet can't be set up, or a node not be disturbed.
#[derive(Debug, thiserror::Error)]
pub enum FaultInjectionError {
    #[error(transparent)]
    TestCluster(#[from] ClusterError),
    #[error("the first configuration was not taken: {0}")]
    Configuration(String),
    #[error("an instance can't be started: {0}")]
    Instance(String),
}

/// A gateway's process, as its clients see it.
pub struct Gateway {
    pub node: NodeIndex,
    to: SocketAddrV4,
    /// One connection, used until it is gone.
    line: Option<Connection>,
    /// When this life began.
    pub since: Instant,
    /// It was told to end, and is started again once it is gone.
    pub terminating: bool,
}

/// The fleet, and what was done to it.
pub struct FaultInjector {
    pub stage: TestCluster,
    pub record: RequestLog,
    pub gateways: Vec<Gateway>,
    /// The newest version that was acknowledged, and when each was.
    pub version: u32,
    pub acknowledged: HashMap<u32, Instant>,
    /// When a control machine was disturbed last.
    pub control_disturbed_at: Instant,
    /// Gateways that were killed at least once, by the address that their clients know.
    pub killed: BTreeSet<SocketAddrV4>,
    operator: Operator,
    instances: Vec<Instance>,
    rand: Rand64,
    asked: u64,
}

impl FaultInjector {
    /// Starts a fleet of the program with so many gateways, a first configuration and instances.
    pub async fn start(
        program: PathBuf, seed: u64, gateways: usize,
    ) -> Result<FaultInjector, FaultInjectionError> {
        let plan = cluster::ClusterConfig {
            program,
            control_nodes: PROMPTERS,
            gateways,
            folder: None,
            log: "info".into(),
        };
        let mut stage = TestCluster::create(plan)?;
        stage.start_all()?;
        let now = Instant::now();
        let gateway =
            |node| Gateway { node, to: stage.frontend(node), line: None, since: now, terminating: false };
        let gateways = stage.nodes(Role::Gateway).into_iter().map(gateway).collect();
        let operator = Operator::new(stage.control_addresses());
        let mut injector = FaultInjector {
            stage,
            record: RequestLog::default(),
            gateways,
            version: 1,
            acknowledged: HashMap::new(),
            control_disturbed_at: now,
            killed: BTreeSet::new(),
            operator,
            instances: Vec::new(),
            rand: Rand64::new(u128::from(seed)),
            asked: 0,
        };
        injector.configure().await?;
        for number in 0..INSTANCES {
            injector.enter(number).await?;
        }
        Ok(injector)
    }

    async fn configure(&mut self) -> Result<(), FaultInjectionError> {
        let routes = [added(1), Route::new("order", HOST, "/order/", "unsafe", SERVICE)];
        match self.operator.replace(0, 0, &full_configuration(1, &routes, &[SERVICE])).await {
            Ok(answer) if answer.status == StatusCode::OK => {
                self.acknowledged.insert(1, Instant::now());
                Ok(())
            }
            Ok(answer) => Err(FaultInjectionError::Configuration(answer.text())),
            Err(error) => Err(FaultInjectionError::Configuration(error.to_string())),
        }
    }

    async fn enter(&mut self, number: usize) -> Result<(), FaultInjectionError> {
        let mut plan = InstanceConfig::new(&format!("i-{number}"), SERVICE, "v1");
        (plan.service_time, plan.slots) = (WORK, SLOTS);
        plan.zone = ZONES[number % ZONES.len()].to_owned();
        let full = || FaultInjectionError::Instance("no address is left".to_owned());
        let address = SocketAddrV4::new(self.stage.instance_address().ok_or_else(full)?, 8080);
        let one = Instance::start(plan, address, self.stage.control_addresses(), self.record.clone()).await;
        self.instances.push(one.map_err(|error| FaultInjectionError::Instance(error.to_string()))?);
        Ok(())
    }

    /// A number below a bound, by the seed.
    pub fn random_below(&mut self, below: usize) -> usize {
        self.rand.rand_range(0..below as u64) as usize
    }

    /// What a gateway answers to a request on a version's route, on its open connection as long as that is there.
    pub async fn request_status(&mut self, at: usize, version: u32) -> Option<StatusCode> {
        self.asked += 1;
        let attempt = format!("{:016x}", 0x50a4_0000_0000_0000_u64 + self.asked);
        let ask = HttpRequest::new(Method::GET, &format!("/v{version}/x"));
        let ask = ask
            .with_header("Host", HOST)
            .with_header("Attempt-Id", attempt)
            .with_header("Remaining-Time", "2000");
        let gateway = &mut self.gateways[at];
        if gateway.line.as_ref().is_none_or(|line| !line.is_open()) {
            gateway.line = Connection::open(gateway.to).await.ok();
        }
        let line = gateway.line.as_mut()?;
        let answer = tokio::time::timeout(ANSWER_WITHIN, line.send(&ask)).await;
        let status = answer.ok().and_then(Result::ok).map(|answer| answer.status);
        if status.is_none() {
            gateway.line = None;
        }
        status
    }

    /// The next version adds a route and takes away an old one. Anything but an acknowledgement is told.
    pub async fn change(&mut self) -> Result<(), String> {
        let next = self.version + 1;
        let old = next.checked_sub(RETAINED_VERSIONS).filter(|old| *old >= 1).map(|old| format!("r{old}"));
        let remove: Vec<&str> = old.iter().map(String::as_str).collect();
        let text = configuration_change(next, &[added(next)], &remove);
        let first = self.random_below(PROMPTERS);
        match self.operator.modify(first, self.version, &text).await {
            Ok(answer) if answer.status == StatusCode::OK => {
                self.version = next;
                self.acknowledged.insert(next, Instant::now());
                Ok(())
            }
            Ok(answer) => Err(format!("version {next}: {} {}", answer.status, answer.text())),
            Err(error) => Err(format!("version {next}: {error}")),
        }
    }

    /// One signal, or none, to one gateway or control machine.
    pub fn inject_random(&mut self) -> Result<(), FaultInjectionError> {
        let at = self.random_below(self.gateways.len());
        let core = self.stage.nodes(Role::ControlNode)[self.random_below(PROMPTERS)];
        let Gateway { node, terminating, .. } = self.gateways[at];
        match self.random_below(10) {
            0..=2 if !terminating => self.stage.reload(node)?,
            3..=5 if !terminating => {
                self.stage.terminate(node)?;
                self.gateways[at].terminating = true;
            }
            6 if !terminating => {
                self.stage.kill(node)?;
                self.killed.insert(self.gateways[at].to);
                self.start_again(at)?;
            }
            7 => self.stage.reload(core)?,
            8 if self.control_disturbed_at.elapsed() > MIN_CONTROL_KILL_INTERVAL => {
                self.stage.kill(core)?;
                self.stage.start(core)?;
                self.control_disturbed_at = Instant::now();
            }
            _ => {}
        }
        Ok(())
    }

    /// Those that have ended in order are started again.
    pub fn restart_ended(&mut self) -> Result<(), FaultInjectionError> {
        for at in 0..self.gateways.len() {
            if self.gateways[at].terminating && !self.stage.is_running(self.gateways[at].node) {
                self.start_again(at)?;
            }
        }
        Ok(())
    }

    fn start_again(&mut self, at: usize) -> Result<(), FaultInjectionError> {
        let gateway = &mut self.gateways[at];
        self.stage.start(gateway.node)?;
        (gateway.since, gateway.terminating, gateway.line) = (Instant::now(), false, None);
        Ok(())
    }

    /// Clients that send orders, which may run once only, through whichever gateways are ready.
    pub fn start_load(&self) -> LoadGenerator {
        let doors = self.gateways.iter();
        let doors = doors.map(|gateway| (gateway.to, self.stage.readiness(gateway.node))).collect();
        let orders = Workload {
            host: HOST.to_owned(),
            path: "/order/".to_owned(),
            method: Method::POST,
            safe: false,
            timeout: Duration::from_secs(2),
            body_bytes: ORDER_BYTES,
            requests_per_second: ORDERS_PER_SECOND,
        };
        LoadGenerator::start(LoadBalancer::new(doors), vec![orders])
    }
}

/// The route that a version adds.
fn added(version: u32) -> Route {
    Route::new(&format!("r{version}"), HOST, &format!("/v{version}/"), "safe", SERVICE)
}
