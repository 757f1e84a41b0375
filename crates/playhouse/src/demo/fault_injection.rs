//! Fault injection for soak tests of real processes: a cluster whose configuration changes while its nodes are
//! terminated, reloaded, killed and restarted at random, from a seed. Clients keep using their open connections until the
//! process is gone. This module injects faults and records observations; tests check the guarantees.

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
use super::operator::{
    DEFAULT_MAX_HEADER_BYTES, Operator, Route, change_with_limits, full_configuration, limit_set,
};

/// Number of latest versions whose routes are retained; each new version removes the oldest route.
pub const RETAINED_VERSIONS: u32 = 3;

const HOST: &str = "soak.example";
const SERVICE: &str = "proofs";
const CONTROL_NODES: usize = 3;
const INSTANCES: usize = 4;
const SLOTS_PER_INSTANCE: usize = 64;
const SERVICE_TIME: Duration = Duration::from_millis(2);
/// A response that takes longer counts as missing.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);
/// Least time between two kills of control nodes.
const MIN_CONTROL_KILL_INTERVAL: Duration = Duration::from_secs(6);
const ORDERS_PER_SECOND: f64 = 40.0;
const ORDER_BYTES: usize = 2_000;

/// Why the cluster can't be set up or a fault can't be injected.
#[derive(Debug, thiserror::Error)]
pub enum FaultInjectionError {
    #[error(transparent)]
    Cluster(#[from] ClusterError),
    #[error("the first configuration was not taken: {0}")]
    Configuration(String),
    #[error("an instance can't be started: {0}")]
    Instance(String),
}

/// A gateway process, as its clients see it.
pub struct Gateway {
    pub node: NodeIndex,
    address: SocketAddrV4,
    /// The clients' connection, used until it breaks.
    connection: Option<Connection>,
    /// Start time of the current process.
    pub since: Instant,
    /// SIGTERM was sent; the gateway is restarted once its process has ended.
    pub terminating: bool,
}

/// The cluster, and the changes and faults so far.
pub struct FaultInjector {
    pub cluster: TestCluster,
    pub request_log: RequestLog,
    pub gateways: Vec<Gateway>,
    /// The newest acknowledged version.
    pub version: u32,
    /// Time of acknowledgement of each version.
    pub acknowledged: HashMap<u32, Instant>,
    /// Time of the last fault injected into a control node.
    pub control_disturbed_at: Instant,
    /// Frontend addresses of the gateways that were killed at least once.
    pub killed: BTreeSet<SocketAddrV4>,
    operator: Operator,
    instances: Vec<Instance>,
    rng: Rand64,
    requests_sent: u64,
}

impl FaultInjector {
    /// Starts a cluster with the given number of gateways, a first configuration and instances.
    pub async fn start(
        program: PathBuf, seed: u64, gateways: usize,
    ) -> Result<FaultInjector, FaultInjectionError> {
        let config = cluster::ClusterConfig {
            program,
            control_nodes: CONTROL_NODES,
            gateways,
            folder: None,
            log: "info".into(),
        };
        let mut cluster = TestCluster::create(config)?;
        cluster.start_all()?;
        let now = Instant::now();
        let gateway = |node| Gateway {
            node,
            address: cluster.frontend(node),
            connection: None,
            since: now,
            terminating: false,
        };
        let gateways = cluster.nodes(Role::Gateway).into_iter().map(gateway).collect();
        let operator = Operator::new(cluster.control_addresses());
        let mut injector = FaultInjector {
            cluster,
            request_log: RequestLog::default(),
            gateways,
            version: 1,
            acknowledged: HashMap::new(),
            control_disturbed_at: now,
            killed: BTreeSet::new(),
            operator,
            instances: Vec::new(),
            rng: Rand64::new(u128::from(seed)),
            requests_sent: 0,
        };
        injector.configure().await?;
        for number in 0..INSTANCES {
            injector.start_instance(number).await?;
        }
        Ok(injector)
    }

    async fn configure(&mut self) -> Result<(), FaultInjectionError> {
        let routes = [route_of_version(1), Route::new("order", HOST, "/order/", "unsafe", SERVICE)];
        match self.operator.replace(0, 0, &full_configuration(1, &routes, &[SERVICE])).await {
            Ok(response) if response.status == StatusCode::OK => {
                self.acknowledged.insert(1, Instant::now());
                Ok(())
            }
            Ok(response) => Err(FaultInjectionError::Configuration(response.text())),
            Err(error) => Err(FaultInjectionError::Configuration(error.to_string())),
        }
    }

    async fn start_instance(&mut self, number: usize) -> Result<(), FaultInjectionError> {
        let mut plan = InstanceConfig::new(&format!("i-{number}"), SERVICE, "v1");
        (plan.service_time, plan.slots) = (SERVICE_TIME, SLOTS_PER_INSTANCE);
        plan.zone = ZONES[number % ZONES.len()].to_owned();
        let no_address = || FaultInjectionError::Instance("no address is left".to_owned());
        let address = SocketAddrV4::new(self.cluster.instance_address().ok_or_else(no_address)?, 8080);
        let instance =
            Instance::start(plan, address, self.cluster.control_addresses(), self.request_log.clone()).await;
        self.instances.push(instance.map_err(|error| FaultInjectionError::Instance(error.to_string()))?);
        Ok(())
    }

    /// A random number below a bound, from the seeded generator.
    pub fn random_below(&mut self, below: usize) -> usize {
        self.rng.rand_range(0..below as u64) as usize
    }

    /// Status of a gateway's response to a request on a version's route. Reuses the open connection as long as it lasts.
    pub async fn request_status(&mut self, index: usize, version: u32) -> Option<StatusCode> {
        self.requests_sent += 1;
        let attempt = format!("{:016x}", 0x50a4_0000_0000_0000_u64 + self.requests_sent);
        let request = HttpRequest::new(Method::GET, &format!("/v{version}/x"));
        let request = request
            .with_header("Host", HOST)
            .with_header("Attempt-Id", attempt)
            .with_header("Remaining-Time", "2000");
        let gateway = &mut self.gateways[index];
        if gateway.connection.as_ref().is_none_or(|connection| !connection.is_open()) {
            gateway.connection = Connection::open(gateway.address).await.ok();
        }
        let connection = gateway.connection.as_mut()?;
        let response = tokio::time::timeout(RESPONSE_TIMEOUT, connection.send(&request)).await;
        let status = response.ok().and_then(Result::ok).map(|response| response.status);
        if status.is_none() {
            gateway.connection = None;
        }
        status
    }

    /// Applies the next version, which adds a route, removes an old one, and raises or lowers `MaxHeaderBytes`. Any
    /// other result than an acknowledgement is an error.
    pub async fn change(&mut self) -> Result<(), String> {
        let next = self.version + 1;
        let retired = next
            .checked_sub(RETAINED_VERSIONS)
            .filter(|retired| *retired >= 1)
            .map(|retired| format!("r{retired}"));
        let remove: Vec<&str> = retired.iter().map(String::as_str).collect();
        let text = change_with_limits(next, &[route_of_version(next)], limits_of_version(next), &remove);
        let first = self.random_below(CONTROL_NODES);
        match self.operator.modify(first, self.version, &text).await {
            Ok(response) if response.status == StatusCode::OK => {
                self.version = next;
                self.acknowledged.insert(next, Instant::now());
                Ok(())
            }
            Ok(response) => Err(format!("version {next}: {} {}", response.status, response.text())),
            Err(error) => Err(format!("version {next}: {error}")),
        }
    }

    /// Sends one signal, or none, to a random gateway or control node.
    pub fn inject_random(&mut self) -> Result<(), FaultInjectionError> {
        let index = self.random_below(self.gateways.len());
        let control_node = self.cluster.nodes(Role::ControlNode)[self.random_below(CONTROL_NODES)];
        let Gateway { node, terminating, .. } = self.gateways[index];
        match self.random_below(10) {
            0..=2 if !terminating => self.cluster.reload(node)?,
            3..=5 if !terminating => {
                self.cluster.terminate(node)?;
                self.gateways[index].terminating = true;
            }
            6 if !terminating => {
                self.cluster.kill(node)?;
                self.killed.insert(self.gateways[index].address);
                self.restart(index)?;
            }
            7 => self.cluster.reload(control_node)?,
            8 if self.control_disturbed_at.elapsed() > MIN_CONTROL_KILL_INTERVAL => {
                self.cluster.kill(control_node)?;
                self.cluster.start(control_node)?;
                self.control_disturbed_at = Instant::now();
            }
            _ => {}
        }
        Ok(())
    }

    /// Restarts the gateways that have ended after SIGTERM.
    pub fn restart_ended(&mut self) -> Result<(), FaultInjectionError> {
        for index in 0..self.gateways.len() {
            if self.gateways[index].terminating && !self.cluster.is_running(self.gateways[index].node) {
                self.restart(index)?;
            }
        }
        Ok(())
    }

    fn restart(&mut self, index: usize) -> Result<(), FaultInjectionError> {
        let gateway = &mut self.gateways[index];
        self.cluster.start(gateway.node)?;
        (gateway.since, gateway.terminating, gateway.connection) = (Instant::now(), false, None);
        Ok(())
    }

    /// Starts clients that send orders, which must not run twice, through the gateways that are ready.
    pub fn start_load(&self) -> LoadGenerator {
        let endpoints = self.gateways.iter();
        let endpoints =
            endpoints.map(|gateway| (gateway.address, self.cluster.readiness(gateway.node))).collect();
        let workload = Workload {
            host: HOST.to_owned(),
            path: "/order/".to_owned(),
            method: Method::POST,
            safe: false,
            timeout: Duration::from_secs(2),
            body_bytes: ORDER_BYTES,
            requests_per_second: ORDERS_PER_SECOND,
        };
        LoadGenerator::start(LoadBalancer::new(endpoints), vec![workload])
    }
}

/// The limits for clients of a version: each differs from the one before, and allows the requests of the load.
fn limits_of_version(version: u32) -> String {
    limit_set(if version.is_multiple_of(2) { DEFAULT_MAX_HEADER_BYTES / 2 } else { DEFAULT_MAX_HEADER_BYTES })
}

/// The route that a version adds.
fn route_of_version(version: u32) -> Route {
    Route::new(&format!("r{version}"), HOST, &format!("/v{version}/"), "safe", SERVICE)
}
