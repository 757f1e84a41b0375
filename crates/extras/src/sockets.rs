//! Sockets (the hollow fleet on loopback): the same nodes over the real transport and by the real clock, each at an
//! address of its own, many in a process. Prompters, instances and the operator stand in the first process, the
//! gateways in the others. Requests are not served, beats come without HTTP, a disk is memory that takes its time.

mod part;

use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use clap::Args;
use serde::{Deserialize, Serialize};

use crate::size::{Size, Wrong};
use crate::tally::Phase;

pub use part::{Part, play};

/// Machines of one day at most, and processes.
const MACHINES_MOST: usize = 1_500;
const PROCESSES_MOST: usize = 200;
/// From the starting of the processes to the first second of the day.
const GATHER: Duration = Duration::from_millis(1_500);
/// The fleet shares a machine with what measures it.
const REPORT_WITHIN: Duration = Duration::from_secs(30);

/// A day over sockets.
#[derive(Clone, Copy, Debug, PartialEq, Args, Serialize)]
pub struct Plan {
    #[arg(long, default_value_t = 100)]
    pub gateways: usize,
    #[arg(long, default_value_t = 4)]
    pub prompters: usize,
    #[arg(long, default_value_t = 300)]
    pub instances: usize,
    #[arg(long, default_value_t = 26)]
    pub services: usize,
    #[arg(long, default_value_t = 100)]
    pub routes: usize,
    /// Processes that the gateways are dealt to; one more has the prompters, the instances and the operator.
    #[arg(long, default_value_t = 4)]
    pub processes: usize,
    /// Seconds of the start, of a calm span, and of each of two changes.
    #[arg(long, default_value_t = 20)]
    pub start: u64,
    #[arg(long, default_value_t = 10)]
    pub steady: u64,
    #[arg(long, default_value_t = 6)]
    pub change: u64,
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}

impl Plan {
    pub fn size(&self) -> Size {
        Size {
            gateways: self.gateways,
            prompters: self.prompters,
            instances: self.instances,
            services: self.services,
            routes: self.routes,
            seed: self.seed,
            ..Size::default()
        }
    }

    pub fn check(&self) -> Result<(), Wrong> {
        self.size().check()?;
        let wrong = |what, found, expected| Err(Wrong { what, found, expected });
        if self.size().machines() > MACHINES_MOST {
            return wrong("machines", self.size().machines(), "at most 1500");
        }
        if !(1..=PROCESSES_MOST).contains(&self.processes) {
            return wrong("processes", self.processes, "1 to 200");
        }
        if self.start < 5 {
            return wrong("start", self.start as usize, "5 seconds or more");
        }
        Ok(())
    }

    /// Phases with their ends, in seconds of the day.
    pub fn phases(&self) -> Vec<(Phase, u64)> {
        let spans = [
            (Phase::Start, self.start),
            (Phase::Steady, self.steady),
            (Phase::Replace, self.change),
            (Phase::Modify, self.change),
        ];
        let mut end = 0;
        let played = spans.into_iter().filter(|(_, span)| *span > 0);
        played
            .map(|(phase, span)| {
                end += span;
                (phase, end)
            })
            .collect()
    }
}

/// What one process tells of one phase; bytes with the heads of datagrams and segments.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Told {
    pub process: usize,
    pub phase: String,
    pub nodes: usize,
    pub seconds: f64,
    pub words_in: u64,
    pub words_out: u64,
    pub bytes_in: u64,
    pub bytes_out: u64,
    /// Of the node with the most, both ways.
    pub busiest_bytes: u64,
    /// Of the whole process, sockets and system calls with it.
    pub cpu_s: f64,
    pub resident_mb: f64,
    pub peak_mb: f64,
    /// Of gateways: how many are ready; of all: how many know all other nodes, and all instances.
    pub ready: usize,
    pub whole_company: usize,
    pub whole_cast: usize,
    /// Microseconds since 1970: when the change of this phase was ordered (told by the first process), and when it came
    /// into force at each gateway here that has it.
    pub ordered: Option<u64>,
    pub in_force: Vec<u64>,
    pub beats: u64,
    pub beats_refused: u64,
}

/// One phase over all processes of one kind: the first one, or those with gateways.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Row {
    pub phase: String,
    pub gateways: bool,
    pub nodes: usize,
    /// A node, in the mean and at the busiest; both ways.
    pub bytes_s: f64,
    pub busiest_bytes_s: f64,
    pub words_s: f64,
    pub core_share: f64,
    /// A node's part of its process, as it stands at the end and at its peak.
    pub resident_mb: f64,
    pub peak_mb: f64,
    pub ready: usize,
    pub whole_company: usize,
    pub whole_cast: usize,
    /// Seconds from the order to the middle and the last gateway that has it, and how many have.
    pub in_force: Option<(f64, f64, usize)>,
    pub beats_s: f64,
    pub refused_s: f64,
}

/// Sums up what the processes told.
pub fn rows(plan: &Plan, told: &[Told]) -> Vec<Row> {
    let mut rows = Vec::new();
    for (phase, _) in plan.phases() {
        let ordered = told.iter().filter(|one| one.phase == phase.name()).find_map(|one| one.ordered);
        for gateways in [false, true] {
            let of = || told.iter().filter(|one| one.phase == phase.name() && (one.process > 0) == gateways);
            let nodes: usize = of().map(|one| one.nodes).sum();
            let seconds = of().map(|one| one.seconds).fold(0.0, f64::max);
            if nodes == 0 || seconds <= 0.0 {
                continue;
            }
            let each = |sum: u64| sum as f64 / nodes as f64 / seconds;
            let mut after: Vec<f64> = of()
                .flat_map(|one| &one.in_force)
                .filter_map(|at| Some(at.saturating_sub(ordered?) as f64 / 1e6))
                .collect();
            after.sort_by(f64::total_cmp);
            rows.push(Row {
                phase: phase.name().to_owned(),
                gateways,
                nodes,
                bytes_s: each(of().map(|one| one.bytes_in + one.bytes_out).sum()),
                busiest_bytes_s: of().map(|one| one.busiest_bytes).max().unwrap_or(0) as f64 / seconds,
                words_s: each(of().map(|one| one.words_in + one.words_out).sum()),
                core_share: of().map(|one| one.cpu_s).sum::<f64>() / nodes as f64 / seconds,
                resident_mb: of().map(|one| one.resident_mb).sum::<f64>() / nodes as f64,
                peak_mb: of().map(|one| one.peak_mb).sum::<f64>() / nodes as f64,
                ready: of().map(|one| one.ready).sum(),
                whole_company: of().map(|one| one.whole_company).sum(),
                whole_cast: of().map(|one| one.whole_cast).sum(),
                in_force: after.last().map(|last| (after[after.len() / 2], *last, after.len())),
                beats_s: each(of().map(|one| one.beats).sum()) * nodes as f64,
                refused_s: each(of().map(|one| one.beats_refused).sum()) * nodes as f64,
            });
        }
    }
    rows
}

/// Why a day over sockets could not be played.
#[derive(Debug, thiserror::Error)]
pub enum SocketsError {
    #[error(transparent)]
    Wrong(#[from] Wrong),
    #[error("{what}: {error}")]
    Io { what: &'static str, error: std::io::Error },
    #[error("a process's report can't be read: {0}")]
    Report(#[from] serde_json::Error),
    #[error("{told} of {expected} reports came; a process ended early")]
    Few { told: usize, expected: usize },
}

/// Microseconds since 1970.
pub fn wall() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_micros() as u64)
}

/// Ends its processes, however the day ends.
struct Processes(Vec<Child>);

impl Drop for Processes {
    fn drop(&mut self) {
        for child in &mut self.0 {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Starts the processes (this program, told its part) and reads their reports.
pub fn run(plan: &Plan) -> Result<Vec<Row>, SocketsError> {
    plan.check()?;
    let io = |what| move |error| SocketsError::Io { what, error };
    let program = std::env::current_exe().map_err(io("this program's own path"))?;
    let begins = wall() + GATHER.as_micros() as u64;
    let net = 2 + std::process::id() % 240;
    let mut processes = Processes(Vec::new());
    for number in 0..=plan.processes {
        let child = Command::new(&program)
            .arg("sockets-part")
            .args(part::arguments(plan, number, net as u8, begins))
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .map_err(io("a process can't be started"))?;
        processes.0.push(child);
    }
    let (told, heard) = std::sync::mpsc::channel();
    for child in &mut processes.0 {
        let Some(out) = child.stdout.take() else { continue };
        let told = told.clone();
        // Ends with the process that it reads.
        std::thread::spawn(move || {
            BufReader::new(out).lines().map_while(Result::ok).for_each(|line| drop(told.send(line)));
        });
    }
    drop(told);
    let end = plan.phases().last().map_or(0, |(_, end)| *end);
    let until = std::time::Instant::now() + GATHER + Duration::from_secs(end) + REPORT_WITHIN;
    let expected = (plan.processes + 1) * plan.phases().len();
    let mut all: Vec<Told> = Vec::new();
    while all.len() < expected {
        let left = until.saturating_duration_since(std::time::Instant::now());
        match heard.recv_timeout(left) {
            Ok(line) => all.push(serde_json::from_str(&line)?),
            Err(_) => return Err(SocketsError::Few { told: all.len(), expected }),
        }
    }
    Ok(rows(plan, &all))
}
