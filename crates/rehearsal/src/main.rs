//! `playhouse-rehearse`: plays days of the whole system in simulated time and tells which rule broke first.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc;

use clap::{Parser, Subcommand};
use indicatif::{ProgressBar, ProgressStyle};
use rehearsal::exhaust;
use rehearsal::plant::Planted;
use rehearsal::play::{self, Day};
use rehearsal::plot;
use rehearsal::scenario::Scenario;
use rehearsal::worst;

/// Plays days of the whole system, core and foyers, in simulated time, with troubles drawn from seeds.
///
/// Each day prints as one line. If a rule breaks, the first one is told with seed, step and what was seen, then each
/// process's last lines, and a scenario that is as small as could be found. Exit code 1 if any rule broke.
#[derive(Parser)]
#[command(version, name = "playhouse-rehearse", args_conflicts_with_subcommands = true)]
struct Line {
    #[command(subcommand)]
    part: Option<Part>,
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
    /// Plant a fault, by its name in docs/simulation.md, which the rules must find.
    #[arg(long, value_name = "NAME")]
    planted: Option<String>,
    /// Look for every planted fault from the first seed on, and tell after how many seeds each is found.
    #[arg(long)]
    hunt: bool,
    /// With --hunt: play every one of --days seeds and tell on how many each is found, and the longest wait.
    #[arg(long)]
    figures: bool,
    /// Draw days of control's worst moments (docs/control.md) instead of any.
    #[arg(long)]
    control: bool,
    /// Play short days of the worst moment of this number instead.
    #[arg(long, value_name = "N")]
    moment: Option<u64>,
    /// Tell a broken day without looking for a smaller scenario.
    #[arg(long)]
    whole: bool,
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

#[derive(Subcommand)]
enum Part {
    /// Plays every order of a few steps of the ordered log, instead of days; see docs/interleavings.md.
    Exhaust(Exhaust),
}

#[derive(clap::Args)]
struct Exhaust {
    /// Most steps from the start.
    #[arg(long, default_value_t = 6)]
    steps: usize,
    /// 3 to 5.
    #[arg(long, default_value_t = 3)]
    machines: usize,
    /// Begin there only; without it, from each start in turn.
    #[arg(long, value_name = "NAME")]
    start: Option<String>,
    /// What may happen on the way: all, votes, asks, disks, leaves, reads, losses or states.
    #[arg(long, value_name = "NAME", default_value = "all")]
    bounds: String,
    /// Plant a fault and look for it from its own start.
    #[arg(long, value_name = "NAME")]
    planted: Option<String>,
    /// Most seconds for each start.
    #[arg(long, default_value_t = 600)]
    seconds: u64,
    /// Most states kept for each start; about 1 KB each.
    #[arg(long, default_value_t = 4_000_000)]
    states: usize,
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
    if let Some(Part::Exhaust(exhaust)) = &line.part {
        return orders(exhaust);
    }
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
        print!("{}", scenario.unwrap_or_else(|| line.drawn(line.seed)).written());
        return Ok(true);
    }
    if line.hunt {
        return Ok(if line.figures { figures(line, planted) } else { hunt(line.seed) });
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
                    let drawn = || scenario.clone().unwrap_or_else(|| line.drawn(seed));
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
    tell(&first, planted, line.whole);
    Ok(false)
}

impl Line {
    /// The day of a seed, of the kind that is asked for.
    fn drawn(&self, seed: u64) -> Scenario {
        match (self.moment, self.control) {
            (Some(number), _) => Scenario::moment(seed, number),
            (None, true) => worst::drawn(seed),
            (None, false) => Scenario::drawn(seed),
        }
    }
}

/// Every order of a few steps; true if no rule broke.
fn orders(line: &Exhaust) -> Result<bool, Failed> {
    use exhaust::{Bounds, Plan, Planted, Start};
    if !(3..=5).contains(&line.machines) {
        return Err("3 to 5 machines".into());
    }
    let (machines, steps, states) = (line.machines, line.steps, line.states);
    let bounds = Bounds::ALL.into_iter().find(|(name, _)| *name == line.bounds);
    let (_, bounds) = bounds.ok_or("bounds are all, votes, asks, disks, leaves, reads, losses or states")?;
    let plain = |start| Plan { start, machines, steps, bounds, planted: None, states };
    let plans: Vec<Plan> = match (&line.planted, &line.start) {
        (Some(name), _) => {
            let found = Planted::ALL.into_iter().find(|planted| planted.name() == name);
            let names = || Planted::ALL.map(Planted::name).join(", ");
            vec![found.ok_or_else(|| format!("no planted fault {name}; there are {}", names()))?.plan()]
        }
        (None, Some(name)) => {
            let found = Start::ALL.into_iter().chain(Start::WORST).find(|start| start.name() == name);
            let names = || {
                [&Start::ALL[..], &Start::WORST]
                    .concat()
                    .iter()
                    .map(|start| start.name())
                    .collect::<Vec<_>>()
                    .join(", ")
            };
            vec![plain(found.ok_or_else(|| format!("no start {name}; there are {}", names()))?)]
        }
        (None, None) => Start::ALL.into_iter().chain(Start::WORST).map(plain).collect(),
    };
    let mut good = true;
    for plan in plans {
        let begun = std::time::Instant::now();
        let explored = exhaust::explore(&plan, |_| begun.elapsed().as_secs() < line.seconds);
        println!(
            "{}: {} states by {} steps tried, {} deep{}, {:.1} s; new by depth {:?}",
            plan.start.name(),
            explored.states,
            explored.tried,
            explored.levels.len() - 1,
            if explored.whole { "" } else { ", not all" },
            begun.elapsed().as_secs_f64(),
            explored.levels,
        );
        if let Some(found) = &explored.found {
            println!("{found}");
            good = false;
        }
    }
    Ok(good)
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
            tell(&day, planted, line.whole);
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

/// On how many of the seeds each planted fault is found, and how many seeds it takes at most; true if it is found
/// within those that are promised.
fn figures(line: &Line, only: Option<Planted>) -> bool {
    let mut all = true;
    let wanted = |planted: &Planted| only.is_none_or(|only| only == *planted);
    for planted in Planted::ALL.into_iter().filter(wanted) {
        let next = AtomicU64::new(0);
        let found = std::sync::Mutex::new(std::collections::BTreeSet::new());
        std::thread::scope(|scope| {
            for _ in 0..line.threads.max(1) {
                scope.spawn(|| {
                    loop {
                        let number = next.fetch_add(1, Ordering::Relaxed);
                        if number >= line.days {
                            return;
                        }
                        if planted.found_on(&planted.hunted(line.seed.wrapping_add(number))) {
                            found.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).insert(number);
                        }
                    }
                });
            }
        });
        let found = found.into_inner().unwrap_or_else(|poisoned| poisoned.into_inner());
        let (mut longest, mut before) = (0, 0);
        for number in found.iter().map(|number| number + 1).chain([line.days]) {
            longest = longest.max(number - before);
            before = number;
        }
        let point = planted.point().map_or(String::new(), |point| format!(", point {point}"));
        let (name, count, days) = (planted.name(), found.len(), line.days);
        println!("{name}{point}: found on {count} of {days} seeds, longest wait {longest}");
        all &= !found.is_empty() && longest <= Planted::SEEDS;
    }
    all
}

/// The first broken day: what, when, the rings, and a smaller scenario.
fn tell(day: &Day, planted: Option<Planted>, whole: bool) {
    for broken in &day.broken {
        println!("  {:?} at {:.6} s: {}", broken.rule, broken.at as f64 / 1e6, broken.what);
    }
    println!("first: seed {}, step {} of {}\n{}", day.seed, day.step.unwrap_or(0), day.steps, day.rings);
    if whole {
        return;
    }
    let bar = ProgressBar::new_spinner();
    bar.set_message("looking for a smaller scenario");
    let small = play::shrunk(day, planted, || bar.tick());
    bar.finish_and_clear();
    let (from, to) = (day.scenario.troubles.len(), small.scenario.troubles.len());
    println!("a scenario with {to} of its {from} troubles breaks the same rule; seed {}:", day.seed);
    print!("{}", small.scenario.written());
}
