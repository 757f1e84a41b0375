//! `playhouse-rehearse`: plays days of the whole system in simulated time and tells which rule broke first.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc;

use clap::Parser;
use indicatif::{ProgressBar, ProgressStyle};
use rehearsal::plant::Planted;
use rehearsal::play::{self, Day};
use rehearsal::plot;
use rehearsal::scenario::Scenario;

/// Plays days of the whole system, core and foyers, in simulated time, with troubles drawn from seeds.
///
/// Each day prints as one line. If a rule breaks, the first one is told with seed, step and what was seen, then each
/// process's last lines, and a scenario that is as small as could be found. Exit code 1 if any rule broke.
#[derive(Parser)]
#[command(version, name = "playhouse-rehearse")]
struct Line {
    /// The first day's seed; each later day has the next one.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    #[arg(long, default_value_t = 1)]
    days: u64,
    /// Play this scenario (TOML) instead of the seed's own; the seed moves what it leaves open.
    #[arg(long, value_name = "FILE")]
    scenario: Option<PathBuf>,
    /// Draw the first day, and each that breaks a rule, as SVG into this folder.
    #[arg(long, value_name = "DIR")]
    plot: Option<PathBuf>,
    /// Days that are played at once.
    #[arg(long, default_value_t = 1)]
    threads: usize,
    /// Plant a fault, by its name in docs/rehearsal.md, which the rules must find.
    #[arg(long, value_name = "NAME")]
    planted: Option<String>,
    /// Look for every planted fault from the first seed on, and tell after how many seeds each is found.
    #[arg(long)]
    hunt: bool,
    /// Search instead of drawing: days that come nearer to a bound, or show something new, are changed for the next.
    #[arg(long)]
    search: bool,
    /// Print the scenario of the first seed, and play nothing.
    #[arg(long)]
    show: bool,
    /// Only days that break a rule print their line.
    #[arg(long)]
    quiet: bool,
}

type Failed = Box<dyn std::error::Error>;

fn main() -> ExitCode {
    match run(&Line::parse()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("playhouse-rehearse: {error}");
            ExitCode::from(2)
        }
    }
}

fn run(line: &Line) -> Result<bool, Failed> {
    let planted = match &line.planted {
        None => None,
        Some(name) => {
            let found = Planted::ALL.into_iter().find(|planted| planted.name() == name);
            let names = || Planted::ALL.map(Planted::name).join(", ");
            Some(found.ok_or_else(|| format!("no planted fault {name}; there are {}", names()))?)
        }
    };
    let scenario = match &line.scenario {
        None => None,
        Some(path) => {
            let place = |error: &dyn std::fmt::Display| format!("{}: {error}", path.display());
            let text = std::fs::read_to_string(path).map_err(|error| place(&error))?;
            Some(Scenario::read(&text).map_err(|error| place(&error))?)
        }
    };
    if line.show {
        print!("{}", scenario.unwrap_or_else(|| Scenario::drawn(line.seed)).written());
        return Ok(true);
    }
    if line.hunt {
        return Ok(hunt(line.seed));
    }
    if line.search {
        return Ok(searched(line, planted));
    }
    if let Some(folder) = &line.plot {
        std::fs::create_dir_all(folder)?;
    }
    let bar = ProgressBar::new(line.days);
    bar.set_style(ProgressStyle::with_template("{bar:40} {pos}/{len} days, {eta} left")?);
    let next = AtomicU64::new(0);
    let mut broken: Vec<Day> = Vec::new();
    let (sender, days) = mpsc::channel::<Day>();
    std::thread::scope(|scope| -> Result<(), Failed> {
        for _ in 0..line.threads.max(1) {
            let (sender, next, scenario) = (sender.clone(), &next, &scenario);
            scope.spawn(move || {
                loop {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    if number >= line.days {
                        return;
                    }
                    let seed = line.seed.wrapping_add(number);
                    let drawn = || scenario.clone().unwrap_or_else(|| Scenario::drawn(seed));
                    if sender.send(play::play(drawn(), seed, planted)).is_err() {
                        return;
                    }
                }
            });
        }
        drop(sender);
        for day in days {
            bar.inc(1);
            if !line.quiet || !day.ok() {
                bar.suspend(|| println!("{}", day.line()));
            }
            if let Some(folder) = line.plot.as_ref().filter(|_| day.seed == line.seed || !day.ok()) {
                std::fs::write(folder.join(format!("day-{}.svg", day.seed)), plot::day(&day))?;
            }
            if !day.ok() {
                broken.push(Day { log: Vec::new(), ..day });
            }
        }
        Ok(())
    })?;
    bar.finish_and_clear();
    println!("{} days, {} with a broken rule", line.days, broken.len());
    let Some(first) = broken.into_iter().min_by_key(|day| day.seed) else { return Ok(true) };
    tell(&first, planted);
    Ok(false)
}

/// Plays days by guided search until one breaks a rule; true if none does.
fn searched(line: &Line, planted: Option<Planted>) -> bool {
    let mut search = rehearsal::search::Search::new(line.seed, planted);
    for number in 1..=line.days {
        let day = search.day();
        if !line.quiet || !day.ok() {
            println!("{}", day.line());
        }
        let found = planted.map_or(!day.ok(), |planted| planted.found_on(&day));
        if found {
            println!("found on day {number} of the search");
            tell(&day, planted);
            return false;
        }
    }
    let (kept, nearest) = search.kept();
    println!("{} days, {kept} scenarios kept; nearest to the bounds: {nearest:.2?}", line.days);
    true
}

/// All planted faults; true if each is found within the seeds that are promised.
fn hunt(seed: u64) -> bool {
    let mut all = true;
    for planted in Planted::ALL {
        let found = planted.found_after(seed, Planted::SEEDS);
        let after = found.map_or("not found".into(), |seeds| format!("found after {seeds} seeds"));
        println!("{}: {after}; breaks {:?}", planted.name(), planted.breaks());
        all &= found.is_some();
    }
    all
}

/// The first broken day: what, when, the rings, and a smaller scenario.
fn tell(day: &Day, planted: Option<Planted>) {
    for broken in &day.broken {
        println!("  {:?} at {:.6} s: {}", broken.rule, broken.at as f64 / 1e6, broken.what);
    }
    println!("first: seed {}, step {} of {}\n{}", day.seed, day.step.unwrap_or(0), day.steps, day.rings);
    let bar = ProgressBar::new_spinner();
    bar.set_message("looking for a smaller scenario");
    let small = play::shrunk(day, planted, || bar.tick());
    bar.finish_and_clear();
    let (from, to) = (day.scenario.troubles.len(), small.scenario.troubles.len());
    println!("a scenario with {to} of its {from} troubles breaks the same rule; seed {}:", day.seed);
    print!("{}", small.scenario.written());
}
