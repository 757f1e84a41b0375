//! The proof of the capacity page: small days of a hollow fleet and the path of one request cost what the page's table
//! says, within a third. Limits are told beside each figure; one that is missed is no miss here.

use std::io;
use std::time::{Duration, Instant};

use extras::path::{self, Found};
use extras::size::Size;
use extras::table::{self, ADDED_MS_MOST, Figures, PATH_RATE, PATH_ROUTES, TABLE};

use super::{Limit, Proof};

/// Heap is counted by node; the count is of this whole process.
#[global_allocator]
static HEAP: peak_alloc::PeakAlloc = peak_alloc::PeakAlloc;

/// Processor time of one day at most.
const DAY_MOST: Duration = Duration::from_secs(20);
const PATH_SPAN: Duration = Duration::from_secs(6);
/// Days, and those that a busy machine plays as well; further ones are begun for so long.
const DAYS: u64 = 4;
const LEAST: usize = 2;
const TIME: Duration = Duration::from_secs(15);

fn other(error: impl std::fmt::Display) -> io::Error {
    io::Error::other(error.to_string())
}

/// Plays the days, and holds their mean against the table. After `time` no more days are begun than `LEAST`.
pub fn cases(days: &[Size], time: Duration, found: Option<&Found>, seed: u64) -> io::Result<Proof> {
    let began = Instant::now();
    let mut played = Vec::new();
    for size in days {
        if played.len() >= LEAST && began.elapsed() > time {
            break;
        }
        let day = table::played(*size, DAY_MOST).map_err(other)?;
        played.push(day.ok_or_else(|| other("a day was given up, or a change did not come into force"))?);
    }
    let mean = table::mean(&played).ok_or_else(|| other("no day was played"))?;
    let mut proof = Proof::new("capacity", seed);
    proof.figure("gateways", mean.at.gateways, Limit::None);
    proof.figure("instances", mean.at.instances, Limit::None);
    proof.figure("routes", mean.at.routes, Limit::None);
    hold(&mut proof, &mean);
    proof.figure("replace_s", mean.replace_s, Limit::AimAtMost(5.0));
    proof.figure("yard_us", mean.yard_us, Limit::None);
    // Told and not held: times on a machine that others use as well, of which the page tells the spread.
    if let Some(found) = found {
        proof.figure("added_ms_p99", found.added_ms(0.99), Limit::AimAtMost(ADDED_MS_MOST));
        proof.figure("added_ms_p50", found.added_ms(0.5), Limit::None);
        proof.figure("request_cpu_us", found.request_cpu.as_secs_f64() * 1e6, Limit::None);
        proof.figure("path_cpu_ratio", found.cpu_ratio, Limit::None);
    }
    Ok(proof)
}

/// Each figure of the table beside its limit, and against what the table says.
pub fn hold(proof: &mut Proof, mean: &Figures) {
    for ((row, said), found) in TABLE.iter().zip(table::said(&mean.at)).zip(mean.all) {
        // Yards a second are shares of a core by what a yard takes here.
        let unit = if row.processor { mean.yard_us / 1e6 } else { 1.0 };
        proof.figure(row.name, found * unit, row.limit.map_or(Limit::None, Limit::AimAtMost));
        // The table's processor times are of the release build; the rooms are built in another way for tests.
        if !(row.processor && cfg!(debug_assertions)) {
            agree(proof, row.name, said * unit, found * unit);
        }
    }
}

fn agree(proof: &mut Proof, name: &str, said: f64, found: f64) {
    proof.must(
        table::agrees(said, found),
        format!("{name}: {found:.4} was measured and docs/CAPACITY.md says {said:.4}; a third may differ"),
    );
}

/// The days and the path, in under 50 s.
pub fn prove(seed: u64) -> io::Result<Proof> {
    let program =
        path::program().ok_or_else(|| other("build the system first: cargo build --release -p playhouse"))?;
    let found = path::measure(program, PATH_ROUTES, PATH_RATE, PATH_SPAN, seed, false).map_err(other)?;
    let days: Vec<Size> =
        (0..DAYS).map(|day| table::day(40, 600, 600, seed.wrapping_mul(16).wrapping_add(day))).collect();
    cases(&days, TIME, Some(&found), seed)
}
