//! The `demo` command: shows the whole system on loopback. Real gateways and control nodes are started as processes;
//! instances, clients and the operator are simulated in this one. A configuration is applied and changed, a good version
//! is rolled out, the leader is killed, and a bad version is rolled back. One row of results is printed per second.

pub mod client;
pub mod cluster;
pub mod fault_injection;
pub mod instance;
pub mod operator;

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::Write;
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::pin::pin;
use std::time::{Duration, Instant};

use client::{Counts, LoadBalancer, LoadGenerator, Workload};
use cluster::{NodeIndex, TestCluster};
use hyper::{Method, StatusCode};
use instance::{Instance, InstanceConfig, RequestLog};
use membership::Role;
use operator::{Operator, Route, configuration_change, full_configuration, parse_items};

use crate::signals::Signals;

const HOST: &str = "matinee.example";
/// The service that gets a good version, and the one that gets a bad version.
const SERVICES: [&str; 2] = ["playbill", "boxoffice"];
const INSTANCES_PER_VERSION: usize = 3;
/// Request rate of each service.
const REQUESTS_PER_SECOND: [f64; 2] = [50.0, 60.0];
/// Timeout of each step; no step takes this long unless there is a fault.
const STEP_TIMEOUT: Duration = Duration::from_secs(20);
/// Time after the requested duration in which running roll-outs may end.
const FINAL_ROLLOUT_WAIT: Duration = Duration::from_secs(20);
/// Longest duration of a roll-out. Latencies of trial instances count from 5 s after their start, so a much shorter
/// roll-out would end before they are known.
const ROLLOUT_PERIOD: Duration = Duration::from_secs(12);
/// Share of the requests that a bad version fails.
const BAD_FAILURE_RATIO: f64 = 0.6;
/// Time between a rollback and the draining of the bad version's instances.
const DRAIN_DELAY_AFTER_REVERT: Duration = Duration::from_secs(2);

type Error = Box<dyn std::error::Error>;

/// Options of the demonstration.
#[derive(Clone, Debug, clap::Args)]
pub struct DemoArgs {
    /// Control nodes, 1 to 9.
    #[arg(long = "prompters", value_name = "PROMPTERS", default_value_t = 3)]
    pub control_nodes: usize,
    /// Gateways, 1 to 9.
    #[arg(long = "foyers", value_name = "FOYERS", default_value_t = 2)]
    pub gateways: usize,
    /// Seconds of traffic; running roll-outs are then waited for.
    #[arg(long, default_value_t = 10)]
    pub seconds: u64,
    /// Directory for settings, disks and logs. Default: a temporary one, removed when the demonstration ends.
    #[arg(long)]
    pub folder: Option<PathBuf>,
}

/// Runs the demonstration until it ends or the process receives a termination signal. An error if it fails.
pub async fn run(args: DemoArgs) -> Result<(), Error> {
    let mut signals = Signals::start()?;
    let mut out = std::io::stdout();
    let mut demo = pin!(run_demo(args, &mut out));
    // On a signal the future is dropped here, so that the cluster ends its processes.
    tokio::select! {
        done = demo.as_mut() => done,
        _ = signals.next() => Err("ended before its time".into()),
    }
}

/// Runs the whole demonstration and writes the results to `out`.
pub async fn run_demo(args: DemoArgs, out: &mut impl Write) -> Result<(), Error> {
    let plan = cluster::ClusterConfig {
        program: std::env::current_exe()?,
        control_nodes: args.control_nodes,
        gateways: args.gateways,
        folder: args.folder.clone(),
        log: "info".to_owned(),
    };
    let mut cluster = TestCluster::create(plan)?;
    writeln!(
        out,
        "{} prompters and {} foyers on loopback; their files are in {}.\n\
         Instances, clients and the operator are played by this process.\n",
        args.control_nodes,
        args.gateways,
        cluster.folder().display()
    )?;
    let done = Demo::open(&mut cluster, out).await;
    let done = match done {
        Ok(demo) => demo.run(&args).await,
        Err(error) => Err(error),
    };
    if done.is_err() {
        write!(out, "\nThe last lines of each node's log:\n{}", cluster.logs(8))?;
    }
    done
}

/// Polls until there is a result, for at most `STEP_TIMEOUT`.
pub async fn wait_for<T, F: Future<Output = Option<T>>>(
    what: &str, mut poll: impl FnMut() -> F,
) -> Result<T, Error> {
    let started = Instant::now();
    loop {
        if let Some(found) = poll().await {
            return Ok(found);
        }
        if started.elapsed() > STEP_TIMEOUT {
            return Err(format!("{what}: not after {STEP_TIMEOUT:?}").into());
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

struct Demo<'a, W: Write> {
    cluster: &'a mut TestCluster,
    out: &'a mut W,
    operator: Operator,
    load_balancer: std::sync::Arc<LoadBalancer>,
    request_log: RequestLog,
    instances: Vec<Instance>,
    version: u32,
    routes: Vec<Route>,
    started: Instant,
    rows_written: u32,
    totals: Counts,
    last_state: [String; 2],
}

impl<'a, W: Write> Demo<'a, W> {
    /// Starts nodes and instances and applies the first configuration.
    async fn open(cluster: &'a mut TestCluster, out: &'a mut W) -> Result<Self, Error> {
        cluster.start_all()?;
        let operator = Operator::new(cluster.control_addresses());
        let leader = wait_for("a leader", || operator.leader()).await?;
        let name =
            cluster.node_at(*leader.ip()).map(|node| cluster.name(node).to_owned()).unwrap_or_default();
        writeln!(out, "{name} was elected to lead.")?;
        let gateways = cluster.nodes(Role::Gateway);
        let endpoints = gateways
            .iter()
            .map(|gateway| (cluster.frontend(*gateway), cluster.readiness(*gateway)))
            .collect();
        let routes = vec![
            Route::new("view", HOST, "/view/", "safe", SERVICES[0]),
            Route::new("book", HOST, "/book/", "unsafe", SERVICES[1]),
        ];
        let mut demo = Demo {
            cluster,
            out,
            operator,
            load_balancer: LoadBalancer::new(endpoints),
            request_log: RequestLog::default(),
            instances: Vec::new(),
            version: 1,
            routes,
            started: Instant::now(),
            rows_written: 0,
            totals: Counts::default(),
            last_state: [String::new(), String::new()],
        };
        let text = full_configuration(demo.version, &demo.routes, &SERVICES);
        let response = demo.operator.replace(0, 0, &text).await?;
        require_ok(response.status, "the first configuration")?;
        for service in SERVICES {
            demo.start_instances(service, "v1", 0.0).await?;
        }
        let (load_balancer, expected) = (demo.load_balancer.clone(), gateways.len());
        wait_for("foyers that call themselves ready", || async {
            load_balancer.probe().await;
            (load_balancer.ready() == expected).then_some(())
        })
        .await?;
        writeln!(demo.out, "Configuration 1 is in force, instances are known, all foyers are ready.\n")?;
        Ok(demo)
    }

    /// Starts the instances of a version and waits for their first acknowledged heartbeats.
    async fn start_instances(
        &mut self, service: &str, version: &str, failure_ratio: f64,
    ) -> Result<(), Error> {
        for number in 0..INSTANCES_PER_VERSION {
            let address = self.cluster.instance_address().ok_or("no address is left for an instance")?;
            let mut plan = InstanceConfig::new(&format!("i-{service}-{version}-{number}"), service, version);
            plan.failure_ratio = failure_ratio;
            plan.zone = cluster::ZONES[number % cluster::ZONES.len()].to_owned();
            let address = SocketAddrV4::new(address, 8080);
            let control_nodes = self.cluster.control_addresses();
            self.instances
                .push(Instance::start(plan, address, control_nodes, self.request_log.clone()).await?);
        }
        let new =
            |instance: &&Instance| instance.plan().service == service && instance.plan().version == version;
        let instances = &self.instances;
        wait_for("instances whose beats are taken", || async {
            instances.iter().filter(new).all(|instance| instance.acknowledged() > 0).then_some(())
        })
        .await
    }

    async fn run(mut self, args: &DemoArgs) -> Result<(), Error> {
        let workloads = [(Method::GET, "/view/", true, 0), (Method::POST, "/book/", false, 400)];
        let workloads =
            workloads.into_iter().zip(REQUESTS_PER_SECOND).map(|((method, path, safe, bytes), rate)| {
                Workload {
                    host: HOST.to_owned(),
                    path: path.to_owned(),
                    method,
                    safe,
                    timeout: Duration::from_secs(2),
                    body_bytes: bytes,
                    requests_per_second: rate,
                }
            });
        let load = LoadGenerator::start(self.load_balancer.clone(), workloads.collect());
        self.started = Instant::now();
        let duration = Duration::from_secs(args.seconds.max(4));
        writeln!(
            self.out,
            "   s  served  back  failed  p50 ms  p99 ms  leads       config    {:12}  {:12}  what happens",
            SERVICES[0], SERVICES[1]
        )?;
        self.rows_until(&load, duration / 10, "").await?;
        self.modify().await?;
        self.rows_until(&load, duration * 2 / 10, "a route was added").await?;
        self.roll_out(0, "v2", 0.0).await?;
        self.rows_until(&load, duration * 4 / 10, "good v2 of playbill on trial").await?;
        let killed = self.kill_leader().await?;
        self.rows_until(&load, duration * 6 / 10, &format!("{} was killed", self.cluster.name(killed)))
            .await?;
        self.roll_out(1, "v2", BAD_FAILURE_RATIO).await?;
        self.rows_until(&load, duration * 8 / 10, "bad v2 of boxoffice on trial").await?;
        self.cluster.start(killed)?;
        let back = format!("{} is back", self.cluster.name(killed));
        self.rows_until(&load, duration, &back).await?;
        let last = self.started.elapsed() + FINAL_ROLLOUT_WAIT;
        while self.last_state.iter().any(|state| state.starts_with("in_progress") || state.is_empty())
            && self.started.elapsed() < last
        {
            let next = self.started.elapsed() + Duration::from_secs(1);
            self.rows_until(&load, next, "roll-outs are waited for").await?;
        }
        drop(load);
        self.report().await
    }

    /// Writes a row for each second until `at`, a time since the start of the traffic.
    async fn rows_until(&mut self, load: &LoadGenerator, at: Duration, event: &str) -> Result<(), Error> {
        let mut event = event;
        while self.started.elapsed() < at {
            let due = Duration::from_secs(u64::from(self.rows_written) + 1);
            tokio::time::sleep_until((self.started + due.min(at)).into()).await;
            if self.started.elapsed() >= due {
                // If an interval took longer than a second, its row covers all of it.
                self.rows_written = self.started.elapsed().as_secs() as u32;
                self.row(load.counts(), event).await?;
                event = "";
            }
        }
        Ok(())
    }

    async fn row(&mut self, counts: Counts, event: &str) -> Result<(), Error> {
        let quick_operator = Operator { timeout: Duration::from_millis(300), ..self.operator.clone() };
        let leader = quick_operator.leader().await.and_then(|at| self.cluster.node_at(*at.ip()));
        let leader = leader.map_or("nobody", |node| self.cluster.name(node)).to_owned();
        let read = quick_operator.retrieve(0).await.ok().and_then(|response| parse_items(&response.body));
        let version = read.map_or("?".to_owned(), |read| read.version);
        for (number, service) in SERVICES.into_iter().enumerate() {
            if let Some((state, target)) = quick_operator.rollout(service).await {
                self.rollout_state_changed(number, &state, &target).await;
                self.last_state[number] = format!("{state} {target}");
            }
        }
        let ms = |share| {
            let took = counts.quantile(share);
            took.map_or("-".to_owned(), |took| format!("{:.1}", took.as_secs_f64() * 1e3))
        };
        let states: Vec<String> = self.last_state.iter().map(|state| short_state(state)).collect();
        writeln!(
            self.out,
            "{:4}  {:6}  {:4}  {:6}  {:>6}  {:>6}  {leader:10}  {version:8}  {:12}  {:12}  {event}",
            self.rows_written,
            counts.served,
            counts.rejected,
            counts.failed,
            ms(0.5),
            ms(0.99),
            states[0],
            states[1],
        )?;
        self.out.flush()?;
        self.totals.served += counts.served;
        self.totals.rejected += counts.rejected;
        self.totals.failed += counts.failed;
        for (fault, count) in counts.failures {
            *self.totals.failures.entry(fault).or_default() += count;
        }
        Ok(())
    }

    /// Reacts to the end of a roll-out: stops the old instances at once if it was completed, or drains the new ones if it
    /// was reverted.
    async fn rollout_state_changed(&mut self, number: usize, state: &str, target: &str) {
        let service = SERVICES[number];
        let of = |instance: &Instance, new: bool| {
            instance.plan().service == service && (instance.plan().version == target) == new
        };
        match state {
            "completed" => self.instances.retain(|instance| !of(instance, false)),
            "reverted" if self.last_state[number].starts_with("in_progress") => {
                let (leaving, staying) =
                    std::mem::take(&mut self.instances).into_iter().partition(|instance| of(instance, true));
                self.instances = staying;
                let leaving: Vec<Instance> = leaving;
                tokio::spawn(async move {
                    tokio::time::sleep(DRAIN_DELAY_AFTER_REVERT).await;
                    for instance in leaving {
                        let _ = instance.drain(Duration::from_secs(3)).await;
                        let _ = instance.detach().await;
                    }
                });
            }
            _ => {}
        }
    }

    async fn modify(&mut self) -> Result<(), Error> {
        let route = Route::new("help", HOST, "/view/help/", "safe", SERVICES[1]);
        let text = configuration_change(self.version + 2, std::slice::from_ref(&route), &[]);
        let response = self.operator.modify(0, self.version, &text).await?;
        require_ok(response.status, "the change")?;
        self.version += 2;
        self.routes.push(route);
        Ok(())
    }

    async fn roll_out(&mut self, number: usize, version: &str, failure_ratio: f64) -> Result<(), Error> {
        let response = self.operator.roll_out(SERVICES[number], version, ROLLOUT_PERIOD).await?;
        require_ok(response.status, "the roll-out")?;
        self.last_state[number] = format!("in_progress {version}");
        self.start_instances(SERVICES[number], version, failure_ratio).await
    }

    async fn kill_leader(&mut self) -> Result<NodeIndex, Error> {
        let operator = self.operator.clone();
        let leader = wait_for("a leader", || operator.leader()).await?;
        let node = self.cluster.node_at(*leader.ip()).ok_or("the leader is no node of this stage")?;
        self.cluster.kill(node)?;
        if self.cluster.nodes(Role::ControlNode).len() < 3 {
            // The remaining control nodes are no majority without it.
            self.cluster.start(node)?;
        }
        Ok(node)
    }

    /// Writes a summary; an error if a guarantee was violated.
    async fn report(self) -> Result<(), Error> {
        let response = self.operator.retrieve(0).await?;
        let configuration_matches = parse_items(&response.body)
            == parse_items(full_configuration(self.version, &self.routes, &SERVICES).as_bytes());
        let good_completed = self.last_state[0] == "completed v2";
        let bad_reverted = self.last_state[1] == "reverted v2";
        let requests = self.totals.total().max(1);
        let mut text = String::new();
        let yes_no = |yes: bool| if yes { "yes" } else { "NO" };
        writeln!(
            text,
            "\nthe configuration read back is the one acknowledged: {}",
            yes_no(configuration_matches)
        )?;
        writeln!(text, "the good version of playbill was taken into service:  {}", yes_no(good_completed))?;
        writeln!(text, "the bad version of boxoffice was turned back:         {}", yes_no(bad_reverted))?;
        writeln!(
            text,
            "{requests} requests: {} served, {} turned back, {} failed",
            self.totals.served, self.totals.rejected, self.totals.failed
        )?;
        let faults: BTreeMap<_, _> = self.totals.failures.iter().collect();
        for (fault, count) in faults.into_iter().take(8) {
            writeln!(text, "  {count} x {fault}")?;
        }
        let mut run_counts: BTreeMap<String, usize> = BTreeMap::new();
        for received in self.request_log.find(|received| received.ran && received.method == Method::POST) {
            *run_counts.entry(received.attempt).or_default() += 1;
        }
        let run_counts = run_counts.values().filter(|ran| **ran > 1).count();
        writeln!(text, "requests run more than once that may not be: {run_counts}")?;
        self.out.write_all(text.as_bytes())?;
        // The failures of the bad version and of the second after the loss of the leader stay below a tenth.
        let served = self.totals.served * 10 >= requests * 9;
        if configuration_matches && good_completed && bad_reverted && served && run_counts == 0 {
            return Ok(());
        }
        Err("the demonstration did not go as it should".into())
    }
}

fn require_ok(status: StatusCode, what: &str) -> Result<(), Error> {
    if status == StatusCode::OK { Ok(()) } else { Err(format!("{what} was answered {status}").into()) }
}

/// A roll-out's state in short form.
fn short_state(state: &str) -> String {
    match state.split_once(' ') {
        None => "-".to_owned(),
        Some((state, version)) => format!("{version} {}", state.replace("in_progress", "on trial")),
    }
}
