//! Matinee (demonstration): one command that shows the whole system at work on loopback. Real foyers and prompters
//! are started as processes; instances, clients and the operator are played in this one. A configuration is taken and
//! changed, a good version is rolled out, the leader is killed, a bad version is turned back; a row a second.

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
/// The service that gets a good version, and the one that gets a bad one.
const SERVICES: [&str; 2] = ["playbill", "boxoffice"];
const INSTANCES: usize = 3;
/// Requests a second of each service.
const RATES: [f64; 2] = [50.0, 60.0];
/// Nothing here may take so long unless something is wrong.
const LONG: Duration = Duration::from_secs(20);
/// After the seconds asked for, roll-outs under way are waited for this long.
const LAST_WAIT: Duration = Duration::from_secs(20);
/// What a roll-out may take. Times of instances on trial are judged from 5 s after their start, so a much shorter one
/// would be over before they were known.
const PERIOD: Duration = Duration::from_secs(12);
/// Of its answers, a bad version fails this share.
const BAD: f64 = 0.6;
const AFTER_REVERT: Duration = Duration::from_secs(2);

type Error = Box<dyn std::error::Error>;

/// What the demonstration is told.
#[derive(Clone, Debug, clap::Args)]
pub struct DemoArgs {
    /// Prompters (control plane), 1 to 9.
    #[arg(long = "prompters", value_name = "PROMPTERS", default_value_t = 3)]
    pub control_nodes: usize,
    /// Foyers (data plane), 1 to 9.
    #[arg(long = "foyers", value_name = "FOYERS", default_value_t = 2)]
    pub gateways: usize,
    /// Seconds of traffic; roll-outs under way at the end are waited for.
    #[arg(long, default_value_t = 10)]
    pub seconds: u64,
    /// Where settings, disks and logs are kept; without it they go when the demonstration ends.
    #[arg(long)]
    pub folder: Option<PathBuf>,
}

/// Runs the demonstration until it is over or the process is told to end; an error if it did not go as it should.
pub async fn run(line: DemoArgs) -> Result<(), Error> {
    let mut signals = Signals::start()?;
    let mut out = std::io::stdout();
    let mut show = pin!(perform(line, &mut out));
    // Told to end, it goes through here, so that the stage takes its processes along.
    tokio::select! {
        done = show.as_mut() => done,
        _ = signals.next() => Err("ended before its time".into()),
    }
}

/// Plays the whole show and writes what happens.
pub async fn perform(line: DemoArgs, to: &mut impl Write) -> Result<(), Error> {
    let plan = cluster::ClusterConfig {
        program: std::env::current_exe()?,
        control_nodes: line.control_nodes,
        gateways: line.gateways,
        folder: line.folder.clone(),
        log: "info".to_owned(),
    };
    let mut stage = TestCluster::create(plan)?;
    writeln!(
        to,
        "{} prompters and {} foyers on loopback; their files are in {}.\n\
         Instances, clients and the operator are played by this process.\n",
        line.control_nodes,
        line.gateways,
        stage.folder().display()
    )?;
    let done = Show::open(&mut stage, to).await;
    let done = match done {
        Ok(show) => show.play(&line).await,
        Err(error) => Err(error),
    };
    if done.is_err() {
        write!(to, "\nThe last lines of each node's log:\n{}", stage.logs(8))?;
    }
    done
}

/// Asks again and again until there is an answer, for `LONG` at most.
pub async fn wait_for<T, F: Future<Output = Option<T>>>(
    what: &str, mut ask: impl FnMut() -> F,
) -> Result<T, Error> {
    let began = Instant::now();
    loop {
        if let Some(found) = ask().await {
            return Ok(found);
        }
        if began.elapsed() > LONG {
            return Err(format!("{what}: not after {LONG:?}").into());
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

struct Show<'a, W: Write> {
    stage: &'a mut TestCluster,
    to: &'a mut W,
    operator: Operator,
    platform: std::sync::Arc<LoadBalancer>,
    record: RequestLog,
    cast: Vec<Instance>,
    version: u32,
    routes: Vec<Route>,
    began: Instant,
    rows: u32,
    all: Counts,
    last_state: [String; 2],
}

impl<'a, W: Write> Show<'a, W> {
    /// Starts nodes and instances, and has the first configuration taken.
    async fn open(stage: &'a mut TestCluster, to: &'a mut W) -> Result<Self, Error> {
        stage.start_all()?;
        let operator = Operator::new(stage.control_addresses());
        let leader = wait_for("a leader", || operator.leader()).await?;
        let name = stage.node_at(*leader.ip()).map(|node| stage.name(node).to_owned()).unwrap_or_default();
        writeln!(to, "{name} was elected to lead.")?;
        let foyers = stage.nodes(Role::Gateway);
        let doors = foyers.iter().map(|foyer| (stage.frontend(*foyer), stage.readiness(*foyer))).collect();
        let routes = vec![
            Route::new("view", HOST, "/view/", "safe", SERVICES[0]),
            Route::new("book", HOST, "/book/", "unsafe", SERVICES[1]),
        ];
        let mut show = Show {
            stage,
            to,
            operator,
            platform: LoadBalancer::new(doors),
            record: RequestLog::default(),
            cast: Vec::new(),
            version: 1,
            routes,
            began: Instant::now(),
            rows: 0,
            all: Counts::default(),
            last_state: [String::new(), String::new()],
        };
        let text = full_configuration(show.version, &show.routes, &SERVICES);
        let answer = show.operator.replace(0, 0, &text).await?;
        expect(answer.status, "the first configuration")?;
        for service in SERVICES {
            show.enter(service, "v1", 0.0).await?;
        }
        let (platform, all) = (show.platform.clone(), foyers.len());
        wait_for("foyers that call themselves ready", || async {
            platform.probe().await;
            (platform.ready() == all).then_some(())
        })
        .await?;
        writeln!(show.to, "Configuration 1 is in force, instances are known, all foyers are ready.\n")?;
        Ok(show)
    }

    /// Starts instances of a version.
    async fn enter(&mut self, service: &str, version: &str, fails: f64) -> Result<(), Error> {
        for number in 0..INSTANCES {
            let address = self.stage.instance_address().ok_or("no address is left for an instance")?;
            let mut plan = InstanceConfig::new(&format!("i-{service}-{version}-{number}"), service, version);
            plan.failure_ratio = fails;
            plan.zone = cluster::ZONES[number % cluster::ZONES.len()].to_owned();
            let address = SocketAddrV4::new(address, 8080);
            let prompters = self.stage.control_addresses();
            self.cast.push(Instance::start(plan, address, prompters, self.record.clone()).await?);
        }
        let new = |one: &&Instance| one.plan().service == service && one.plan().version == version;
        let cast = &self.cast;
        wait_for("instances whose beats are taken", || async {
            cast.iter().filter(new).all(|one| one.acknowledged() > 0).then_some(())
        })
        .await
    }

    async fn play(mut self, line: &DemoArgs) -> Result<(), Error> {
        let kinds = [(Method::GET, "/view/", true, 0), (Method::POST, "/book/", false, 400)];
        let kinds = kinds.into_iter().zip(RATES).map(|((method, path, safe, bytes), rate)| Workload {
            host: HOST.to_owned(),
            path: path.to_owned(),
            method,
            safe,
            timeout: Duration::from_secs(2),
            body_bytes: bytes,
            requests_per_second: rate,
        });
        let crowd = LoadGenerator::start(self.platform.clone(), kinds.collect());
        self.began = Instant::now();
        let all = Duration::from_secs(line.seconds.max(4));
        writeln!(
            self.to,
            "   s  served  back  failed  p50 ms  p99 ms  leads       config    {:12}  {:12}  what happens",
            SERVICES[0], SERVICES[1]
        )?;
        self.rows_until(&crowd, all / 10, "").await?;
        self.modify().await?;
        self.rows_until(&crowd, all * 2 / 10, "a route was added").await?;
        self.roll_out(0, "v2", 0.0).await?;
        self.rows_until(&crowd, all * 4 / 10, "good v2 of playbill on trial").await?;
        let killed = self.kill_leader().await?;
        self.rows_until(&crowd, all * 6 / 10, &format!("{} was killed", self.stage.name(killed))).await?;
        self.roll_out(1, "v2", BAD).await?;
        self.rows_until(&crowd, all * 8 / 10, "bad v2 of boxoffice on trial").await?;
        self.stage.start(killed)?;
        let back = format!("{} is back", self.stage.name(killed));
        self.rows_until(&crowd, all, &back).await?;
        let last = self.began.elapsed() + LAST_WAIT;
        while self.last_state.iter().any(|state| state.starts_with("in_progress") || state.is_empty())
            && self.began.elapsed() < last
        {
            let next = self.began.elapsed() + Duration::from_secs(1);
            self.rows_until(&crowd, next, "roll-outs are waited for").await?;
        }
        drop(crowd);
        self.judge().await
    }

    /// Writes a row for each second up to a time since the traffic's start.
    async fn rows_until(&mut self, crowd: &LoadGenerator, at: Duration, what: &str) -> Result<(), Error> {
        let mut what = what;
        while self.began.elapsed() < at {
            let due = Duration::from_secs(u64::from(self.rows) + 1);
            tokio::time::sleep_until((self.began + due.min(at)).into()).await;
            if self.began.elapsed() >= due {
                // Where a second was long, its row holds all of it.
                self.rows = self.began.elapsed().as_secs() as u32;
                self.row(crowd.counts(), what).await?;
                what = "";
            }
        }
        Ok(())
    }

    async fn row(&mut self, counts: Counts, what: &str) -> Result<(), Error> {
        let impatient = Operator { timeout: Duration::from_millis(300), ..self.operator.clone() };
        let leader = impatient.leader().await.and_then(|at| self.stage.node_at(*at.ip()));
        let leader = leader.map_or("nobody", |node| self.stage.name(node)).to_owned();
        let read = impatient.retrieve(0).await.ok().and_then(|answer| parse_items(&answer.body));
        let version = read.map_or("?".to_owned(), |read| read.version);
        for (number, service) in SERVICES.into_iter().enumerate() {
            if let Some((state, target)) = impatient.rollout(service).await {
                self.changed(number, &state, &target).await;
                self.last_state[number] = format!("{state} {target}");
            }
        }
        let ms = |share| {
            let took = counts.quantile(share);
            took.map_or("-".to_owned(), |took| format!("{:.1}", took.as_secs_f64() * 1e3))
        };
        let states: Vec<String> = self.last_state.iter().map(|state| short(state)).collect();
        writeln!(
            self.to,
            "{:4}  {:6}  {:4}  {:6}  {:>6}  {:>6}  {leader:10}  {version:8}  {:12}  {:12}  {what}",
            self.rows,
            counts.served,
            counts.rejected,
            counts.failed,
            ms(0.5),
            ms(0.99),
            states[0],
            states[1],
        )?;
        self.to.flush()?;
        self.all.served += counts.served;
        self.all.rejected += counts.rejected;
        self.all.failed += counts.failed;
        for (fault, count) in counts.failures {
            *self.all.failures.entry(fault).or_default() += count;
        }
        Ok(())
    }

    /// What the platform does once a roll-out is over: old instances stop at once, or new ones leave in order.
    async fn changed(&mut self, number: usize, state: &str, target: &str) {
        let service = SERVICES[number];
        let of = |one: &Instance, new: bool| {
            one.plan().service == service && (one.plan().version == target) == new
        };
        match state {
            "completed" => self.cast.retain(|one| !of(one, false)),
            "reverted" if self.last_state[number].starts_with("in_progress") => {
                let (leave, stay) = std::mem::take(&mut self.cast).into_iter().partition(|one| of(one, true));
                self.cast = stay;
                let leave: Vec<Instance> = leave;
                tokio::spawn(async move {
                    tokio::time::sleep(AFTER_REVERT).await;
                    for one in leave {
                        let _ = one.drain(Duration::from_secs(3)).await;
                        let _ = one.detach().await;
                    }
                });
            }
            _ => {}
        }
    }

    async fn modify(&mut self) -> Result<(), Error> {
        let route = Route::new("help", HOST, "/view/help/", "safe", SERVICES[1]);
        let text = configuration_change(self.version + 2, std::slice::from_ref(&route), &[]);
        let answer = self.operator.modify(0, self.version, &text).await?;
        expect(answer.status, "the change")?;
        self.version += 2;
        self.routes.push(route);
        Ok(())
    }

    async fn roll_out(&mut self, number: usize, version: &str, fails: f64) -> Result<(), Error> {
        let answer = self.operator.roll_out(SERVICES[number], version, PERIOD).await?;
        expect(answer.status, "the roll-out")?;
        self.last_state[number] = format!("in_progress {version}");
        self.enter(SERVICES[number], version, fails).await
    }

    async fn kill_leader(&mut self) -> Result<NodeIndex, Error> {
        let operator = self.operator.clone();
        let leader = wait_for("a leader", || operator.leader()).await?;
        let node = self.stage.node_at(*leader.ip()).ok_or("the leader is no node of this stage")?;
        self.stage.kill(node)?;
        if self.stage.nodes(Role::ControlNode).len() < 3 {
            // The others are no majority without it.
            self.stage.start(node)?;
        }
        Ok(node)
    }

    /// What came of it, for a person and for the exit code.
    async fn judge(self) -> Result<(), Error> {
        let answer = self.operator.retrieve(0).await?;
        let held = parse_items(&answer.body)
            == parse_items(full_configuration(self.version, &self.routes, &SERVICES).as_bytes());
        let good = self.last_state[0] == "completed v2";
        let bad = self.last_state[1] == "reverted v2";
        let all = self.all.total().max(1);
        let mut text = String::new();
        let said = |yes: bool| if yes { "yes" } else { "NO" };
        writeln!(text, "\nthe configuration read back is the one acknowledged: {}", said(held))?;
        writeln!(text, "the good version of playbill was taken into service:  {}", said(good))?;
        writeln!(text, "the bad version of boxoffice was turned back:         {}", said(bad))?;
        writeln!(
            text,
            "{all} requests: {} served, {} turned back, {} failed",
            self.all.served, self.all.rejected, self.all.failed
        )?;
        let faults: BTreeMap<_, _> = self.all.failures.iter().collect();
        for (fault, count) in faults.into_iter().take(8) {
            writeln!(text, "  {count} x {fault}")?;
        }
        let mut twice: BTreeMap<String, usize> = BTreeMap::new();
        for seen in self.record.find(|seen| seen.ran && seen.method == Method::POST) {
            *twice.entry(seen.attempt).or_default() += 1;
        }
        let twice = twice.values().filter(|ran| **ran > 1).count();
        writeln!(text, "requests run more than once that may not be: {twice}")?;
        self.to.write_all(text.as_bytes())?;
        // A bad version's own failures, and the second after a loss, are no more than this.
        let served = self.all.served * 10 >= all * 9;
        if held && good && bad && served && twice == 0 {
            return Ok(());
        }
        Err("the demonstration did not go as it should".into())
    }
}

fn expect(status: StatusCode, what: &str) -> Result<(), Error> {
    if status == StatusCode::OK { Ok(()) } else { Err(format!("{what} was answered {status}").into()) }
}

/// A roll-out's state in few letters.
fn short(state: &str) -> String {
    match state.split_once(' ') {
        None => "-".to_owned(),
        Some((state, version)) => format!("{version} {}", state.replace("in_progress", "on trial")),
    }
}
