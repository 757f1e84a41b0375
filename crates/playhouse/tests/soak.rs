//! Soak test (seeded, real processes on loopback): configurations change one after the other, their limits for clients
//! included, while gateways and control nodes are terminated, reloaded, killed and restarted, in overlapping series.
//! Clients keep using their open connections until the process is gone. Checked by what the clients and the instances
//! observe:
//!
//! - an acknowledged version is in force within `ConfigApplyS` at each gateway that is connected to the control plane;
//! - no gateway process goes back to an older version;
//! - no request that may run only once runs twice;
//! - an order fails only if its exchange broke off with a gateway that was killed.
//!
//! CI runs two seeds; `SOAK_SEEDS`, `SOAK_FIRST`, `SOAK_GATEWAYS` and `SOAK_SECONDS` select more, larger and longer runs.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use hyper::{Method, StatusCode};
use playhouse::demo::fault_injection::{FaultInjector, RETAINED_VERSIONS};

/// `ConfigApplyS` and `ContactS` of the cluster's settings.
const CONFIG_APPLY: Duration = Duration::from_millis(2_500);
const CONTACT: Duration = Duration::from_secs(3);
/// No start takes this long unless there is a fault.
const START_TIMEOUT: Duration = Duration::from_secs(30);

fn env_setting(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

struct Checker {
    injector: FaultInjector,
    /// By gateway: start time of its latest process, and the newest version seen in force there.
    newest: Vec<(Instant, u32)>,
    probes: u64,
    violations: Vec<String>,
}

impl Checker {
    async fn start(seed: u64, gateways: usize) -> Checker {
        let program = env!("CARGO_BIN_EXE_playhouse").into();
        let injector = FaultInjector::start(program, seed, gateways).await;
        let mut injector = injector.unwrap_or_else(|error| panic!("{error}"));
        let started = Instant::now();
        let mut pending: Vec<usize> = (0..gateways).collect();
        while !pending.is_empty() {
            let mut not_ready = Vec::new();
            for index in std::mem::take(&mut pending) {
                match injector.request_status(index, 1).await {
                    Some(StatusCode::OK) => {}
                    answer => not_ready.push((index, answer)),
                }
            }
            let reported = || {
                not_ready
                    .iter()
                    .map(|(index, answer)| (injector.cluster.name(injector.gateways[*index].node), answer))
            };
            let reported = || reported().collect::<Vec<_>>();
            assert!(
                not_ready.is_empty() || started.elapsed() < START_TIMEOUT,
                "not all serve: {:?}\n{}",
                reported(),
                injector.cluster.logs(10)
            );
            pending = not_ready.into_iter().map(|(index, _)| index).collect();
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        let newest = injector.gateways.iter().map(|gateway| (gateway.since, 1)).collect();
        Checker { injector, newest, probes: 0, violations: Vec::new() }
    }

    /// Whether the gateway and the control nodes have been undisturbed for `ContactS`.
    fn is_connected(&self, index: usize, now: Instant) -> bool {
        let gateway = &self.injector.gateways[index];
        let undisturbed = |since| now.duration_since(since) >= CONTACT;
        !gateway.terminating && undisturbed(gateway.since) && undisturbed(self.injector.control_disturbed_at)
    }

    /// Probes one gateway: the newest version must be in force if it is due, and a version once in force must stay so.
    async fn probe(&mut self, index: usize) {
        let sent = Instant::now();
        let (version, since) = (self.injector.version, self.injector.gateways[index].since);
        if self.newest[index].0 != since {
            self.newest[index] = (since, 0);
        }
        let answer = self.injector.request_status(index, version).await;
        self.probes += 1;
        let name = self.injector.cluster.name(self.injector.gateways[index].node).to_owned();
        if answer == Some(StatusCode::OK) {
            self.newest[index].1 = version;
            return;
        }
        let delay = sent.duration_since(self.injector.acknowledged[&version]);
        if answer == Some(StatusCode::NOT_FOUND) && delay > CONFIG_APPLY && self.is_connected(index, sent) {
            self.violations
                .push(format!("{name} answers 404 on version {version}, acknowledged {delay:?} before"));
        }
        let previous = self.newest[index].1;
        if previous > 0 && previous + RETAINED_VERSIONS > version {
            let status = self.injector.request_status(index, previous).await;
            if status == Some(StatusCode::NOT_FOUND) && self.injector.gateways[index].since == since {
                self.violations.push(format!("{name} went back to a version before {previous}"));
            }
        }
    }

    async fn run(&mut self, time: Duration) {
        let end = Instant::now() + time;
        let (mut next_change, mut next_signal, mut index) = (Instant::now(), Instant::now(), 0);
        while Instant::now() < end {
            let now = Instant::now();
            if now >= next_change {
                let changed = self.injector.change().await;
                self.violations.extend(changed.err());
                // Series of changes, with occasional pauses in which all of them become due.
                let pause = if self.injector.random_below(4) == 0 {
                    3_200
                } else {
                    60 + self.injector.random_below(700) as u64
                };
                next_change = Instant::now() + Duration::from_millis(pause);
            }
            if now >= next_signal {
                self.injector.inject_random().expect("a signal is sent");
                next_signal = now + Duration::from_millis(40 + self.injector.random_below(400) as u64);
            }
            self.injector.restart_ended().expect("a node restarts");
            index = (index + 1) % self.injector.gateways.len();
            self.probe(index).await;
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    }
}

async fn run(seed: u64, gateways: usize, seconds: u64) -> Vec<String> {
    let mut checker = Checker::start(seed, gateways).await;
    let load = checker.injector.start_load();
    checker.run(Duration::from_secs(seconds)).await;
    let counts = load.counts();
    drop(load);
    let orders =
        checker.injector.request_log.find(|received| received.method == Method::POST && received.ran);
    let attempts: HashSet<_> = orders.iter().map(|received| &received.attempt).collect();
    let (version, probes, runs) = (checker.injector.version, checker.probes, orders.len());
    if attempts.len() != runs {
        checker.violations.push(format!("{} requests ran twice", runs - attempts.len()));
    }
    if probes < 100 || runs == 0 || version < 3 {
        checker
            .violations
            .push(format!("too little was exercised: {probes} probes, {runs} runs, version {version}"));
    }
    let broken_by_kill: Vec<String> =
        checker.injector.killed.iter().map(|to| format!("the exchange with {to} broke off")).collect();
    let is_explained = |fault: &str| broken_by_kill.iter().any(|text| fault.starts_with(text));
    for (fault, count) in counts.failures.iter().filter(|(fault, _)| !is_explained(fault)) {
        checker.violations.push(format!("{count} orders failed: {fault}"));
    }
    let (served, failed) = (counts.served, counts.failed);
    println!(
        "seed {seed}: {gateways} gateways, version {version}, {probes} probes, {runs} runs, {served} served, {failed} not, \
         {} gateways killed",
        broken_by_kill.len()
    );
    if checker.violations.is_empty() {
        return Vec::new();
    }
    let reported = checker.violations.iter().map(|fault| format!("seed {seed}: {fault}"));
    reported.chain([checker.injector.cluster.logs(40)]).collect()
}

#[test]
fn acknowledged_versions_stay_in_force_while_signals_restarts_and_changes_overlap() {
    let (first, seeds) = (env_setting("SOAK_FIRST", 1), env_setting("SOAK_SEEDS", 2));
    let (gateways, seconds) = (env_setting("SOAK_GATEWAYS", 12) as usize, env_setting("SOAK_SECONDS", 20));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let mut violations = Vec::new();
    for seed in first..first + seeds {
        violations.extend(runtime.block_on(run(seed, gateways, seconds)));
    }
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}
