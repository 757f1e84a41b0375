//! Path (of one request): a real foyer and prompter as processes on loopback, a stand-in instance, and one client
//! that asks straight and through in turn, in one run. Tells the time added and the processor time of a request.

use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use cpu_time::ProcessTime;
use hdrhistogram::Histogram;
use hyper::Method;
use membership::Role;
use playhouse::demo::client::{Connection, HttpRequest, LoadBalancer};
use playhouse::demo::cluster::{self, TestCluster};
use playhouse::demo::instance::{Instance, InstanceConfig, RequestLog};
use playhouse::demo::operator::Operator;
use playhouse::demo::wait_for;

use crate::text;

pub type Error = Box<dyn std::error::Error>;

/// Requests open at once while the foyer is pressed.
const PRESSED: usize = 16;
const SERVICE: usize = 0;
/// A tick of the kernel's accounts of processes.
const TICK: f64 = 0.01;

/// Requests are drawn for so many clients, each at its own pace, at the most that a machine bears.
const LOADING: usize = 64;
/// Machines' shares of a core, and what part of what they are estimated to bear is asked of the foyer: at all of it a
/// queue grows without an end.
pub const SHARES: [f64; 3] = [0.1, 0.2, 1.0];
const LOADED_TO: f64 = 0.9;

/// Whole exchanges at one rate, counted from when each was due, in microseconds.
#[derive(Debug)]
pub struct Loaded {
    pub share: f64,
    pub rate: f64,
    pub straight: Histogram<u64>,
    pub through: Histogram<u64>,
}

impl Loaded {
    pub fn added_ms(&self, quantile: f64) -> f64 {
        added_ms(&self.straight, &self.through, quantile)
    }
}

fn added_ms(straight: &Histogram<u64>, through: &Histogram<u64>, quantile: f64) -> f64 {
    let at = |of: &Histogram<u64>| of.value_at_quantile(quantile) as f64 / 1e3;
    at(through) - at(straight)
}

/// What was found.
#[derive(Debug)]
pub struct Found {
    /// Microseconds of whole exchanges, straight to the instance and through the foyer, in turn.
    pub straight: Histogram<u64>,
    pub through: Histogram<u64>,
    pub failed: usize,
    /// Processor time that a request takes at the foyer, and that the foyer takes without any, a second.
    pub request_cpu: Duration,
    /// The same to what this process takes for one, as client and instance: told apart from how busy a machine is.
    pub cpu_ratio: f64,
    pub idle_share: f64,
    /// Of the foyer's process.
    pub resident_mb: f64,
    pub peak_mb: f64,
    /// At the most that machines of these shares bear; only where it is asked for.
    pub loaded: Vec<Loaded>,
}

impl Found {
    pub fn added_ms(&self, quantile: f64) -> f64 {
        added_ms(&self.straight, &self.through, quantile)
    }

    /// Requests a second that a share of a core bears: an estimate from the processor time of one.
    pub fn borne(&self, share: f64) -> f64 {
        (share - self.idle_share).max(0.0) / self.request_cpu.as_secs_f64().max(1e-9)
    }
}

/// The system's program beside this one, or beside the folder of tests.
pub fn program() -> Option<PathBuf> {
    let own = std::env::current_exe().ok()?;
    let named = |dir: &Path| dir.join("playhouse");
    let near = own.ancestors().skip(1).take(2).map(named).find(|path| path.is_file());
    near.or_else(|| {
        let target = own.ancestors().find(|dir| dir.ends_with("target"))?;
        Some(target.join("release/playhouse")).filter(|path| path.is_file())
    })
}

fn cpu(pid: u32) -> Option<f64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let mut fields = text.rsplit(')').next()?.split_whitespace().skip(11);
    let user: f64 = fields.next()?.parse().ok()?;
    let system: f64 = fields.next()?.parse().ok()?;
    Some((user + system) * TICK)
}

fn memory(pid: u32, key: &str) -> Option<f64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = text.lines().find(|line| line.starts_with(key))?;
    line.split_whitespace().nth(1)?.parse::<f64>().ok().map(|kb| kb / 1e3)
}

fn ask(route: usize, number: u64, target: &str) -> HttpRequest {
    let ask = HttpRequest::new(Method::GET, &text::path(route))
        .with_header("Host", text::HOST)
        .with_header("Attempt-Id", format!("{number:016x}"))
        .with_header("Remaining-Time", "1500");
    if target.is_empty() { ask } else { ask.with_header("Target-Instance", target) }
}

/// Measures at `rate` requests a second each way for `span`, before a configuration of so many routes; with `loads` also
/// at the most that machines bear.
pub fn measure(
    program: PathBuf, routes: usize, rate: f64, span: Duration, seed: u64, loads: bool,
) -> Result<Found, Error> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(measured(program, routes, rate, span, seed, loads))
}

async fn measured(
    program: PathBuf, routes: usize, rate: f64, span: Duration, seed: u64, loads: bool,
) -> Result<Found, Error> {
    let plan = cluster::ClusterConfig {
        program,
        control_nodes: 1,
        gateways: 1,
        folder: None,
        log: "warn".to_owned(),
    };
    let mut stage = TestCluster::create(plan)?;
    stage.start_all()?;
    let foyer = stage.nodes(Role::Gateway)[0];
    let pid = stage.pid(foyer).ok_or("the foyer does not run")?;
    let operator = Operator::new(stage.control_addresses());
    wait_for("a leader", || operator.leader()).await?;
    let whole = String::from_utf8(text::whole(1, routes, 1, 0, None))?;
    let answer = operator.replace(0, 0, &whole).await?;
    if !answer.status.is_success() {
        return Err(format!("the configuration was answered {}", answer.status).into());
    }
    let mut plan = InstanceConfig::new("i-path", &text::service(SERVICE), "v1");
    (plan.slots, plan.queue_limit, plan.service_time) = (64, 64, Duration::ZERO);
    let address = stage.instance_address().ok_or("no address for an instance")?;
    let address = std::net::SocketAddrV4::new(address, 8080);
    let instance = Instance::start(plan, address, stage.control_addresses(), RequestLog::default()).await?;
    let platform = LoadBalancer::new(vec![(stage.frontend(foyer), stage.readiness(foyer))]);
    wait_for("a foyer that is ready", || async {
        platform.probe().await;
        (platform.ready() == 1).then_some(())
    })
    .await?;
    let mut found = Found {
        straight: Histogram::new(3)?,
        through: Histogram::new(3)?,
        failed: 0,
        request_cpu: Duration::ZERO,
        cpu_ratio: 0.0,
        idle_share: 0.0,
        resident_mb: 0.0,
        peak_mb: 0.0,
        loaded: Vec::new(),
    };
    let ends = (instance.address(), stage.frontend(foyer));
    in_turn(&mut found, ends, instance.id(), routes, rate, span, seed).await?;
    let began = (Instant::now(), cpu(pid).ok_or("no account of the foyer")?);
    tokio::time::sleep(span / 4).await;
    found.idle_share = (cpu(pid).unwrap_or(0.0) - began.1) / began.0.elapsed().as_secs_f64();
    let (foyer, own) = pressed(pid, ends.1, routes, span / 2).await?;
    found.request_cpu = foyer;
    found.cpu_ratio = foyer.as_secs_f64() / own.as_secs_f64().max(1e-9);
    found.resident_mb = memory(pid, "VmRSS").unwrap_or(0.0);
    found.peak_mb = memory(pid, "VmHWM").unwrap_or(0.0);
    for share in SHARES.into_iter().filter(|_| loads) {
        let rate = found.borne(share) * LOADED_TO;
        let straight = at_rate(ends.0, instance.id(), routes, rate, span / 2).await?;
        let through = at_rate(ends.1, "", routes, rate, span / 2).await?;
        found.loaded.push(Loaded { share, rate, straight, through });
    }
    Ok(found)
}

/// Requests at a rate that does not wait for answers, as long as `LOADING` are enough to keep it.
async fn at_rate(
    to: std::net::SocketAddrV4, target: &str, routes: usize, rate: f64, span: Duration,
) -> Result<Histogram<u64>, Error> {
    let between = Duration::from_secs_f64(LOADING as f64 / rate.max(1.0));
    let began = Instant::now();
    let mut clients = tokio::task::JoinSet::new();
    for client in 0..LOADING {
        let target = target.to_owned();
        clients.spawn(async move {
            let mut took = Vec::new();
            let Ok(mut line) = Connection::open(to).await else { return took };
            let first = began + between.mul_f64(client as f64 / LOADING as f64);
            for number in 0u32.. {
                let due = first + between * number;
                if due > began + span {
                    break;
                }
                tokio::time::sleep_until(due.into()).await;
                let id = (client as u64 + 1) << 40 | u64::from(number);
                match line.send(&ask((number as usize * 7 + client) % routes, id, &target)).await {
                    // The first opens connections on its way.
                    Ok(answer) if answer.status.is_success() && number > 0 => took.push(due.elapsed()),
                    Ok(_) => {}
                    Err(_) => break,
                }
            }
            took
        });
    }
    let mut all = Histogram::new(3)?;
    while let Some(one) = clients.join_next().await {
        for took in one? {
            all.record((took.as_micros() as u64).max(1))?;
        }
    }
    Ok(all)
}

/// Each way in turn, one request at a time, spaced as `rate` has it.
async fn in_turn(
    found: &mut Found, ends: (std::net::SocketAddrV4, std::net::SocketAddrV4), id: &str, routes: usize,
    rate: f64, span: Duration, seed: u64,
) -> Result<(), Error> {
    let mut chance = oorandom::Rand64::new(u128::from(seed));
    let (mut straight, mut through) = (Connection::open(ends.0).await?, Connection::open(ends.1).await?);
    let mut ticks = tokio::time::interval(Duration::from_secs_f64(1.0 / rate.clamp(1.0, 5_000.0)));
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let began = Instant::now();
    for number in 0u64.. {
        if began.elapsed() > span {
            break;
        }
        ticks.tick().await;
        let route = chance.rand_range(0..routes as u64) as usize;
        let at = Instant::now();
        let good = straight.send(&ask(route, number * 2, id)).await.is_ok_and(|one| one.status.is_success());
        let took = at.elapsed().as_micros() as u64;
        let at = Instant::now();
        let answer = through.send(&ask(route, number * 2 + 1, "")).await;
        let passed = at.elapsed().as_micros() as u64;
        let good = good && answer.is_ok_and(|one| one.status.is_success());
        // The first few open connections and warm the code up.
        if !good {
            found.failed += 1;
            (straight, through) = (Connection::open(ends.0).await?, Connection::open(ends.1).await?);
        } else if number >= 20 {
            found.straight.record(took.max(1))?;
            found.through.record(passed.max(1))?;
        }
    }
    Ok(())
}

/// As many as it bears from `PRESSED` clients: the foyer's processor time for one, and this process's.
async fn pressed(
    pid: u32, to: std::net::SocketAddrV4, routes: usize, span: Duration,
) -> Result<(Duration, Duration), Error> {
    let own = ProcessTime::now();
    let before = cpu(pid).ok_or("no account of the foyer")?;
    let began = Instant::now();
    let mut clients = tokio::task::JoinSet::new();
    for client in 0..PRESSED {
        clients.spawn(async move {
            let mut served = 0u64;
            let Ok(mut line) = Connection::open(to).await else { return served };
            while began.elapsed() < span {
                let number = (client as u64 + 1) << 32 | served;
                match line.send(&ask((served as usize * 7 + client) % routes, number, "")).await {
                    Ok(answer) if answer.status.is_success() => served += 1,
                    Ok(_) => {}
                    Err(_) => break,
                }
            }
            served
        });
    }
    let mut served = 0;
    while let Some(one) = clients.join_next().await {
        served += one?;
    }
    let spent = cpu(pid).ok_or("no account of the foyer")? - before;
    if served == 0 {
        return Err("nothing was served while the foyer was pressed".into());
    }
    let each = |all: f64| Duration::from_secs_f64((all / served as f64).max(0.0));
    Ok((each(spent), each(own.elapsed().as_secs_f64())))
}

/// Processor time of one beat at a prompter, on a connection that is kept and on a new one each.
pub fn beats(program: PathBuf, span: Duration) -> Result<[Duration; 2], Error> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let plan = cluster::ClusterConfig {
            program,
            control_nodes: 1,
            gateways: 1,
            folder: None,
            log: "error".to_owned(),
        };
        let mut stage = TestCluster::create(plan)?;
        stage.start_all()?;
        let prompter = stage.nodes(Role::ControlNode)[0];
        let pid = stage.pid(prompter).ok_or("the prompter does not run")?;
        let operator = Operator::new(stage.control_addresses());
        wait_for("a leader", || operator.leader()).await?;
        let to = stage.control(prompter);
        Ok([beaten(pid, to, false, span).await?, beaten(pid, to, true, span).await?])
    })
}

fn beat(client: usize, sequence: u64) -> HttpRequest {
    let body = format!(
        "{{\"Address\":\"127.9.0.{}:8080\",\"NodeInfo\":{{\"TargetService\":\"service-000\",\"ConfigVersion\":\"v1\",\
         \"Zone\":\"zone-0\",\"CapacitySlots\":3}},\"Status\":{{\"State\":\"in_service\",\"CallSequence\":{sequence},\
         \"WarmupLeftS\":0}}}}",
        client + 1
    );
    HttpRequest::new(Method::POST, &format!("/api/Instances.Heartbeat/i-beat-{client}")).json(body)
}

async fn beaten(pid: u32, to: std::net::SocketAddrV4, anew: bool, span: Duration) -> Result<Duration, Error> {
    let before = cpu(pid).ok_or("no account of the prompter")?;
    let began = Instant::now();
    let mut clients = tokio::task::JoinSet::new();
    for client in 0..PRESSED {
        clients.spawn(async move {
            let mut taken = 0u64;
            let Ok(mut line) = Connection::open(to).await else { return taken };
            let sequence = u64::from(anew) << 40;
            while began.elapsed() < span {
                match line.send(&beat(client, sequence + taken + 1)).await {
                    Ok(answer) if answer.status.is_success() => taken += 1,
                    Ok(_) => {}
                    Err(_) => break,
                }
                if anew {
                    let Ok(next) = Connection::open(to).await else { break };
                    line = next;
                }
            }
            taken
        });
    }
    let mut taken = 0;
    while let Some(one) = clients.join_next().await {
        taken += one?;
    }
    if taken == 0 {
        return Err("no beat was taken".into());
    }
    Ok(Duration::from_secs_f64(((cpu(pid).unwrap_or(before) - before) / taken as f64).max(0.0)))
}
