//! `playhouse-extras`: plays hollow fleets and writes what they cost.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Parser, Subcommand};
use extras::change::{self, Plan};
use extras::fit::{self, At, COSTS};
use extras::path;
use extras::size::Size;
use extras::sockets::{self, Part, Plan as SocketsPlan, SocketsError};
use extras::sweep::{self, AXES, Found, SweepError};
use extras::table;
use extras::tally::Phase;
use extras::text;
use extras::world::PhaseRow;
use indicatif::{ProgressBar, ProgressStyle};
use types::Micros;

#[global_allocator]
static HEAP: peak_alloc::PeakAlloc = peak_alloc::PeakAlloc;

/// Plays a hollow fleet: the real cores of all nodes in simulated time, without I/O, and tells what they cost.
#[derive(Parser)]
#[command(version, name = "playhouse-extras")]
struct Line {
    #[command(subcommand)]
    verb: Verb,
}

#[derive(Subcommand)]
enum Verb {
    /// One day of one size: by phase and role, and the kinds of words that weigh most.
    Run(Run),
    /// The days of some axes, as CSV and SVG into a folder.
    Sweep {
        /// gateways, instances, routes, services, tenants, prompters, both, beyond, spread; all but the last two
        /// without one.
        #[arg(long)]
        axis: Vec<String>,
        #[arg(long)]
        out: PathBuf,
        /// Processor seconds after which a day is given up.
        #[arg(long, default_value_t = 120)]
        most: u64,
    },
    /// One request through a real foyer on loopback, beside straight to the instance.
    Path {
        #[arg(long, default_value_t = 9_800)]
        routes: usize,
        /// Requests a second, each way.
        #[arg(long, default_value_t = 73.0)]
        rate: f64,
        #[arg(long, default_value_t = 20)]
        seconds: u64,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// The system's program; without it the one beside this.
        #[arg(long)]
        program: Option<PathBuf>,
    },
    /// One change as long as a whole configuration, by the replications of all nodes alone.
    Change {
        #[arg(long, default_value_t = 880)]
        gateways: usize,
        #[arg(long, default_value_t = 4)]
        prompters: usize,
        #[arg(long, default_value_t = 9_800)]
        routes: usize,
        #[arg(long, default_value_t = 260)]
        services: usize,
        #[arg(long, default_value_t = 39_000)]
        tenants: usize,
        /// Mbit/s of a gateway's and of a prompter's link.
        #[arg(long, default_value_t = 100.0)]
        gateway_link: f64,
        #[arg(long, default_value_t = 1000.0)]
        prompter_link: f64,
        /// One route by name instead of the whole.
        #[arg(long)]
        modify: bool,
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// The constants of the table that the proof holds its days against.
    Table {
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Processor seconds after which a day is given up.
        #[arg(long, default_value_t = 120)]
        most: u64,
    },
    /// What a beat costs a real prompter on loopback.
    Beats {
        #[arg(long, default_value_t = 5)]
        seconds: u64,
        /// The system's program; without it the one beside this.
        #[arg(long)]
        program: Option<PathBuf>,
    },
    /// A hollow fleet of real processes on loopback.
    Sockets(SocketsPlan),
    /// One process of it.
    #[command(hide = true)]
    SocketsPart(Part),
    /// Slopes from what `sweep` wrote, and what they come to at the size to design for.
    Fit {
        #[arg(long)]
        out: PathBuf,
    },
}

#[derive(clap::Args)]
struct Run {
    #[arg(long, default_value_t = 30)]
    gateways: usize,
    #[arg(long, default_value_t = 3)]
    prompters: usize,
    #[arg(long, default_value_t = 300)]
    instances: usize,
    #[arg(long, default_value_t = 26)]
    services: usize,
    #[arg(long, default_value_t = 100)]
    routes: usize,
    /// Names that the configuration carries and nothing uses.
    #[arg(long, default_value_t = 0)]
    tenants: usize,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// All start within so many seconds.
    #[arg(long, default_value_t = 0.3)]
    spread: f64,
    /// Seconds of the start, a calm span, each change, a herd; 0 leaves a phase out.
    #[arg(long, default_value_t = 15.0)]
    start: f64,
    #[arg(long, default_value_t = 10.0)]
    steady: f64,
    #[arg(long, default_value_t = 6.0)]
    change: f64,
    /// Seconds with a version on trial.
    #[arg(long, default_value_t = 0.0)]
    trial: f64,
    #[arg(long, default_value_t = 10.0)]
    herd: f64,
    /// Requests a second at each of the first `--drawn` gateways.
    #[arg(long, default_value_t = 0)]
    requests: u32,
    #[arg(long, default_value_t = 0)]
    drawn: usize,
    /// Mbit/s of each machine's link.
    #[arg(long, default_value_t = 1000.0)]
    link: f64,
    /// Processor seconds after which the day is given up.
    #[arg(long, default_value_t = 120)]
    most: u64,
    /// Kinds told of in each phase and role.
    #[arg(long, default_value_t = 4)]
    kinds: usize,
}

/// Reads one figure of a row.
type Reads = fn(&PhaseRow) -> f64;

fn micros(seconds: f64) -> Micros {
    (seconds.clamp(0.0, 3_600.0) * 1e6) as Micros
}

fn bar(length: u64) -> ProgressBar {
    let style = ProgressStyle::with_template("{msg:28} [{bar:30}] {percent}%");
    ProgressBar::new(length).with_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()))
}

fn run(line: &Run) -> Result<(), SweepError> {
    let size = Size {
        gateways: line.gateways,
        prompters: line.prompters,
        instances: line.instances,
        services: line.services,
        routes: line.routes,
        tenants: line.tenants,
        seed: line.seed,
        spread: micros(line.spread),
        start: micros(line.start),
        steady: micros(line.steady),
        change: micros(line.change),
        trial: micros(line.trial),
        herd: micros(line.herd),
        requests: line.requests,
        drawn: line.drawn,
        link: line.link.max(0.01),
    };
    let mut found = Found::default();
    let shown = bar(1_000);
    sweep::day(size, Duration::from_secs(line.most), &mut found, |done| {
        shown.set_position((done * 1_000.0) as u64);
    })?;
    shown.finish_and_clear();
    println!(
        "{:8} {:8} {:>5} {:>6} {:>9} {:>9} {:>9} {:>8} {:>8} {:>7} {:>8} {:>8} {:>8} {:>8} {:>7}",
        "phase",
        "role",
        "nodes",
        "s",
        "in B/s",
        "out B/s",
        "busiest",
        "words in",
        "out",
        "core %",
        "busiest",
        "step ms",
        "held MB",
        "peak MB",
        "ready"
    );
    for row in &found.phases {
        println!(
            "{:8} {:8} {:5} {:6.1} {:9.0} {:9.0} {:9.0} {:8.1} {:8.1} {:7.3} {:8.3} {:8.2} {:8.2} {:8.2} {:7}",
            row.phase.name(),
            row.role.name(),
            row.nodes,
            row.seconds,
            row.in_bytes_s,
            row.out_bytes_s,
            row.busiest_bytes_s,
            row.words_in_s,
            row.words_out_s,
            row.core_share * 100.0,
            row.busiest_core_share * 100.0,
            row.worst_step_ms,
            row.held_mb,
            row.peak_mb,
            row.ready,
        );
        let mut kinds: Vec<_> =
            found.words.iter().filter(|word| word.phase == row.phase && word.role == row.role).collect();
        kinds.sort_by_key(|word| std::cmp::Reverse((word.bytes, word.words)));
        let per = |sum: u64| sum as f64 / row.nodes as f64 / row.seconds;
        for word in kinds.into_iter().take(line.kinds) {
            println!(
                "    {:3} {:16} {:10.1} words/s {:12.0} B/s {:8.3}% of a core",
                if word.out { "out" } else { "in" },
                word.kind,
                per(word.words),
                per(word.bytes),
                word.cpu_ms / 10.0 / row.nodes as f64 / row.seconds,
            );
        }
        if row.role == extras::tally::Role::Leader {
            println!(
                "    calls: {:.0} beats/s a prompter, {:.1} refused, {:.1} new connections, {:.0} B/s; all members \
                 known at {}, all instances at {} of {} nodes",
                row.beats_s,
                row.beats_refused_s,
                row.connections_s,
                row.beat_bytes_s,
                row.whole_company,
                row.whole_cast,
                row.gateways + row.prompters
            );
        }
    }
    for day in &found.days {
        println!("{day:?}");
    }
    Ok(())
}

fn sweeps(axes: &[String], out: &std::path::Path, most: u64) -> Result<(), SweepError> {
    let usual: Vec<String> = AXES[..7].iter().map(|name| (*name).to_owned()).collect();
    for name in if axes.is_empty() { &usual } else { axes } {
        let days = sweep::axis(name)?;
        let mut found = Found::default();
        let shown = bar(days.len() as u64 * 1_000);
        shown.set_message(name.clone());
        for (number, size) in days.into_iter().enumerate() {
            sweep::day(size, Duration::from_secs(most), &mut found, |done| {
                shown.set_position(number as u64 * 1_000 + (done * 1_000.0) as u64);
            })?;
            // Written after each day, so that what was played is kept.
            sweep::write(out, name, &found)?;
        }
        shown.finish_and_clear();
        let x: Reads = match name.as_str() {
            "instances" => |row| row.instances as f64,
            "routes" => |row| row.routes as f64,
            "services" => |row| row.services as f64,
            "tenants" => |row| row.tenants as f64,
            "prompters" => |row| row.prompters as f64,
            "spread" => |row| row.spread_s,
            _ => |row| row.gateways as f64,
        };
        let plots: [(&str, Phase, Reads); 3] = [
            ("bytes a second, steady", Phase::Steady, |row| row.in_bytes_s + row.out_bytes_s),
            ("bytes a second, start of all", Phase::Start, |row| row.in_bytes_s + row.out_bytes_s),
            ("core share, steady", Phase::Steady, |row| row.core_share),
        ];
        for (number, (title, phase, y)) in plots.into_iter().enumerate() {
            let path = out.join(format!("{name}-{number}.svg"));
            sweep::plot(&path, &format!("{title}, over {name}"), &found.phases, phase, x, y)?;
        }
        println!("{name}: {} days", found.days.len());
    }
    Ok(())
}

fn fits(out: &std::path::Path) -> Result<(), SweepError> {
    let rows = sweep::read(out, &AXES[..7])?;
    println!(
        "{:24} {:4} {:8} {:8} {:10} {:>10} {:>8}  slopes",
        "cost", "unit", "points", "middle %", "worst %", "at design", "limit"
    );
    for cost in &COSTS {
        let Some(fit) = fit::fit(cost, &rows) else {
            println!("{:24} too few points", cost.name);
            continue;
        };
        let slopes: Vec<String> =
            fit.slopes.iter().map(|(term, slope)| format!("{slope:.4e} {}", term.name())).collect();
        let limit = cost.limit.map_or(String::new(), |limit| limit.to_string());
        println!(
            "{:24} {:4} {:8} {:8.1} {:10.1} {:10.4} {:>8}  {}",
            cost.name,
            cost.unit,
            fit.points,
            fit.middle * 100.0,
            fit.worst * 100.0,
            fit::at(&fit.slopes, &At::DESIGN),
            limit,
            slopes.join(" + "),
        );
    }
    Ok(())
}

fn path(
    routes: usize, rate: f64, seconds: u64, seed: u64, program: Option<PathBuf>,
) -> Result<(), Box<dyn std::error::Error>> {
    let missing = "the system's program is not built: cargo build --release -p playhouse";
    let program = program.or_else(path::program).ok_or(missing)?;
    let found = path::measure(program, routes, rate, Duration::from_secs(seconds), seed, true)?;
    println!(
        "{routes} routes, {rate} requests a second each way, {} each, {} failed",
        found.through.len(),
        found.failed
    );
    for quantile in [0.5, 0.9, 0.99, 0.999] {
        println!(
            "p{:<5} straight {:8.3} ms  through {:8.3} ms  added {:8.3} ms",
            quantile * 100.0,
            found.straight.value_at_quantile(quantile) as f64 / 1e3,
            found.through.value_at_quantile(quantile) as f64 / 1e3,
            found.added_ms(quantile),
        );
    }
    println!(
        "a request takes {:.0} us of processor time at the foyer, {:.2} of what client and instance take; {:.4} of a core goes without any; memory {:.1} MB, at its \
         peak {:.1} MB",
        found.request_cpu.as_secs_f64() * 1e6,
        found.cpu_ratio,
        found.idle_share,
        found.resident_mb,
        found.peak_mb
    );
    for share in path::SHARES {
        println!(
            "estimate: a machine of {share} of a core bears {:.0} requests a second",
            found.borne(share)
        );
    }
    for at in &found.loaded {
        println!(
            "at {:.0} a second, nine tenths of what {} of a core bears by that: {} answered, p50 {:.3} ms straight and {:.3} added, p99 \
             {:.3} and {:.3}, on a whole core",
            at.rate,
            at.share,
            at.through.len(),
            at.straight.value_at_quantile(0.5) as f64 / 1e3,
            at.added_ms(0.5),
            at.straight.value_at_quantile(0.99) as f64 / 1e3,
            at.added_ms(0.99),
        );
    }
    Ok(())
}

fn tables(seed: u64, most: u64) -> Result<(), SweepError> {
    let mut days = Vec::new();
    let all: Vec<Size> = [seed, seed + 100, seed + 200].into_iter().flat_map(table::grid).collect();
    let shown = bar(all.len() as u64);
    for size in all {
        days.extend(table::played(size, Duration::from_secs(most))?);
        shown.inc(1);
    }
    shown.finish_and_clear();
    let mut yards: Vec<f64> = days.iter().map(|day| day.yard_us).collect();
    yards.sort_by(f64::total_cmp);
    println!("{} days; a yard here: {:.0} us", days.len(), yards.get(yards.len() / 2).unwrap_or(&f64::NAN));
    for (row, fit) in table::TABLE.iter().zip(table::fitted(&days)) {
        let Some(fit) = fit else { continue };
        let slopes: Vec<String> =
            fit.slopes.iter().map(|(term, slope)| format!("{slope:.3e} {}", term.name())).collect();
        println!(
            "{:20} {:8} error {:.1}% in the middle, {:.1}% at most: {}",
            row.name,
            row.unit,
            fit.middle * 100.0,
            fit.worst * 100.0,
            slopes.join(" + ")
        );
    }
    Ok(())
}

fn beats(seconds: u64, program: Option<PathBuf>) -> Result<(), Box<dyn std::error::Error>> {
    let missing = "the system's program is not built: cargo build --release -p playhouse";
    let program = program.or_else(path::program).ok_or(missing)?;
    let [kept, anew] = path::beats(program, Duration::from_secs(seconds))?;
    println!(
        "a beat takes {:.0} us of a prompter's processor on a kept connection, {:.0} us on a new one",
        kept.as_secs_f64() * 1e6,
        anew.as_secs_f64() * 1e6
    );
    Ok(())
}

fn over_sockets(plan: &SocketsPlan) -> Result<(), SocketsError> {
    let rows = sockets::run(plan)?;
    println!("{plan:?}");
    println!(
        "{:8} {:9} {:>5} {:>9} {:>9} {:>8} {:>7} {:>7} {:>7} {:>6} {:>8} {:>6} {:>8} {:>8}  in force",
        "phase",
        "role",
        "nodes",
        "B/s",
        "busiest",
        "words/s",
        "core %",
        "MB",
        "peak",
        "ready",
        "all nodes",
        "all i.",
        "beats/s",
        "refused"
    );
    for row in rows {
        let role = if row.gateways { "gateway" } else { "prompter" };
        let in_force = row.in_force.map_or(String::new(), |(middle, last, count)| {
            format!("{count} after {middle:.3} s in the middle, {last:.3} s at the last")
        });
        println!(
            "{:8} {:9} {:5} {:9.0} {:9.0} {:8.1} {:7.3} {:7.2} {:7.2} {:6} {:8} {:6} {:8.0} {:8.1}  {in_force}",
            row.phase,
            role,
            row.nodes,
            row.bytes_s,
            row.busiest_bytes_s,
            row.words_s,
            row.core_share * 100.0,
            row.resident_mb,
            row.peak_mb,
            row.ready,
            row.whole_company,
            row.whole_cast,
            row.beats_s,
            row.refused_s,
        );
    }
    Ok(())
}

fn main() -> ExitCode {
    let done: Result<(), Box<dyn std::error::Error>> = match Line::parse().verb {
        Verb::Run(line) => run(&line).map_err(Into::into),
        Verb::Sweep { axis, out, most } => sweeps(&axis, &out, most).map_err(Into::into),
        Verb::Fit { out } => fits(&out).map_err(Into::into),
        Verb::Change {
            gateways,
            prompters,
            routes,
            services,
            tenants,
            gateway_link,
            prompter_link,
            modify,
            seed,
        } => {
            let bytes = if modify {
                text::change(2, 1, services.max(1)).len()
            } else {
                text::whole(2, routes, services.max(1), tenants, Some(1)).len()
            };
            let plan = Plan { gateways, prompters, bytes, gateway_link, prompter_link, seed };
            println!("{plan:?}");
            println!("{:#?}", change::play(plan));
            Ok(())
        }
        Verb::Sockets(plan) => over_sockets(&plan).map_err(Into::into),
        Verb::SocketsPart(part) => sockets::play(&part).map_err(Into::into),
        Verb::Table { seed, most } => tables(seed, most).map_err(Into::into),
        Verb::Beats { seconds, program } => beats(seconds, program),
        Verb::Path { routes, rate, seconds, seed, program } => path(routes, rate, seconds, seed, program),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("playhouse-extras: {error}");
            ExitCode::FAILURE
        }
    }
}
