//! Sweep (many days): one axis at a time, or several at once; what each day came to, as CSV and plots.

use std::fs::{self, File};
use std::io;
use std::path::Path;
use std::time::Duration;

use plotters::prelude::*;
use serde::{Deserialize, Serialize};
use types::{MS, Micros, SECOND};

use crate::size::Size;
use crate::tally::{Phase, Role};
use crate::world::{PhaseRow, World};

/// Why a sweep could not be written or read.
#[derive(Debug, thiserror::Error)]
pub enum SweepError {
    #[error(transparent)]
    Wrong(#[from] crate::size::Wrong),
    #[error("{path}: {error}")]
    File { path: String, error: io::Error },
    #[error(transparent)]
    Csv(#[from] csv::Error),
    #[error("a plot: {0}")]
    Plot(String),
    #[error("no axis {0}; there are {1}")]
    Unknown(String, String),
}

/// What one day came to beside its phases.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DayRow {
    pub gateways: usize,
    pub prompters: usize,
    pub instances: usize,
    pub services: usize,
    pub routes: usize,
    pub tenants: usize,
    pub link_mbit_s: f64,
    pub seed: u64,
    pub command_bytes: usize,
    /// From the order until the last gateway has it; empty where not all had it within the phase.
    pub first_s: Option<f64>,
    pub replace_s: Option<f64>,
    pub modify_s: Option<f64>,
    pub replace_reached: usize,
    pub modify_reached: usize,
    pub given_up: bool,
    pub simulated_s: f64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WordRow {
    pub gateways: usize,
    pub prompters: usize,
    pub instances: usize,
    pub routes: usize,
    pub phase: Phase,
    pub role: Role,
    pub out: bool,
    pub kind: String,
    pub words: u64,
    pub bytes: u64,
    pub zone_bytes: u64,
    pub region_bytes: u64,
    pub cpu_ms: f64,
    pub seconds: f64,
}

/// The days of an axis.
pub fn axis(name: &str) -> Result<Vec<Size>, SweepError> {
    let base = Size::default();
    let days: Vec<Size> = match name {
        "gateways" => [30, 60, 120, 240, 480]
            .map(|gateways| Size { gateways, prompters: 4, start: 40 * SECOND, ..base })
            .into(),
        "instances" => {
            [300, 600, 1_200, 2_400, 3_900].map(|instances| Size { instances, prompters: 4, ..base }).into()
        }
        "routes" => [30, 300, 1_000, 3_000, 9_800]
            .map(|routes| Size { routes, gateways: 12, instances: 100, services: 100, ..base })
            .into(),
        "services" => [26, 65, 130, 260]
            .map(|services| Size { services, routes: 1_000, gateways: 12, instances: 520, ..base })
            .into(),
        "tenants" => [100, 1_000, 10_000, 39_000]
            .map(|tenants| Size { tenants, gateways: 12, instances: 100, ..base })
            .into(),
        "prompters" => {
            [3, 4, 5].map(|prompters| Size { prompters, gateways: 60, instances: 600, ..base }).into()
        }
        "both" => vec![
            Size { gateways: 120, instances: 2_400, prompters: 4, ..base },
            Size { gateways: 240, instances: 1_200, prompters: 4, ..base },
            Size { gateways: 60, instances: 3_600, routes: 1_000, services: 260, prompters: 4, ..base },
        ],
        // Past the bounds of what a node keeps: only the start and a calm span are played.
        "beyond" => {
            let short =
                Size { change: 0, herd: 0, prompters: 4, start: 5 * SECOND, steady: 3 * SECOND, ..base };
            vec![
                Size { instances: 4_050, ..short },
                Size { instances: 4_140, ..short },
                Size { instances: 9_600, ..short },
                Size { gateways: 500, ..short },
                Size { gateways: 530, start: 3 * SECOND, steady: 500 * MS, ..short },
                Size { gateways: 880, start: 2 * SECOND, steady: 500 * MS, ..short },
            ]
        }
        "spread" => [300 * MS, 30 * SECOND, 120 * SECOND]
            .map(|spread: Micros| Size {
                gateways: 240,
                instances: 2_400,
                prompters: 4,
                spread,
                change: 0,
                herd: 0,
                ..base
            })
            .into(),
        other => {
            let all = AXES.join(", ");
            return Err(SweepError::Unknown(other.to_owned(), all));
        }
    };
    Ok(days)
}

pub const AXES: [&str; 9] =
    ["gateways", "instances", "routes", "services", "tenants", "prompters", "both", "beyond", "spread"];

/// What came of some days.
#[derive(Default)]
pub struct Found {
    pub phases: Vec<PhaseRow>,
    pub days: Vec<DayRow>,
    pub words: Vec<WordRow>,
}

/// Plays one day and adds what it came to.
pub fn day(size: Size, most: Duration, found: &mut Found, tell: impl FnMut(f64)) -> Result<(), SweepError> {
    size.check()?;
    let mut world = World::new(size, most);
    world.play_all(tell);
    found.phases.extend(world.rows().iter().cloned());
    let reached = |version: u32| {
        let found = world.figures.in_force.iter().find(|(other, ..)| *other == version);
        found.map_or(0, |(_, count, ..)| *count)
    };
    let all = size.gateways;
    found.days.push(DayRow {
        gateways: size.gateways,
        prompters: size.prompters,
        instances: size.instances,
        services: size.services,
        routes: size.routes,
        tenants: size.tenants,
        link_mbit_s: size.link,
        seed: size.seed,
        command_bytes: world.figures.command_bytes.first().copied().unwrap_or(0),
        first_s: world.figures.change_s(1, all),
        replace_s: world.figures.change_s(2, all),
        modify_s: world.figures.change_s(3, all),
        replace_reached: reached(2),
        modify_reached: reached(3),
        given_up: world.given_up,
        simulated_s: world.now as f64 / 1e6,
    });
    for (phase, role, out, kind, cell) in world.tally.all() {
        found.words.push(WordRow {
            gateways: size.gateways,
            prompters: size.prompters,
            instances: size.instances,
            routes: size.routes,
            phase,
            role,
            out,
            kind: kind.to_owned(),
            words: cell.words,
            bytes: cell.bytes,
            zone_bytes: cell.zone_bytes,
            region_bytes: cell.region_bytes,
            cpu_ms: cell.nanos as f64 / 1e6,
            seconds: world.tally.seconds(phase),
        });
    }
    Ok(())
}

fn file(path: &Path) -> Result<File, SweepError> {
    File::create(path).map_err(|error| SweepError::File { path: path.display().to_string(), error })
}

fn rows<T: Serialize>(path: &Path, rows: &[T]) -> Result<(), SweepError> {
    let mut out = csv::Writer::from_writer(file(path)?);
    for row in rows {
        out.serialize(row)?;
    }
    out.flush().map_err(|error| SweepError::File { path: path.display().to_string(), error })
}

/// Writes the CSV files of an axis.
pub fn write(dir: &Path, name: &str, found: &Found) -> Result<(), SweepError> {
    fs::create_dir_all(dir).map_err(|error| SweepError::File { path: dir.display().to_string(), error })?;
    rows(&dir.join(format!("{name}-phases.csv")), &found.phases)?;
    rows(&dir.join(format!("{name}-days.csv")), &found.days)?;
    rows(&dir.join(format!("{name}-words.csv")), &found.words)
}

/// All phases of the axes that a fit is made from, as written.
pub fn read(dir: &Path, names: &[&str]) -> Result<Vec<PhaseRow>, SweepError> {
    let mut all = Vec::new();
    for name in names {
        let path = dir.join(format!("{name}-phases.csv"));
        if !path.exists() {
            continue;
        }
        for row in csv::Reader::from_path(&path)?.deserialize() {
            all.push(row?);
        }
    }
    Ok(all)
}

/// Draws a figure over one number of a size, both by logarithm; one line for each role.
pub fn plot(
    path: &Path, title: &str, rows: &[PhaseRow], phase: Phase, x: fn(&PhaseRow) -> f64,
    y: fn(&PhaseRow) -> f64,
) -> Result<(), SweepError> {
    let mut lines: Vec<(Role, Vec<(f64, f64)>)> = Vec::new();
    for role in Role::ALL {
        let of = rows.iter().filter(|row| row.phase == phase && row.role == role);
        let mut points: Vec<(f64, f64)> =
            of.map(|row| (x(row), y(row))).filter(|(x, y)| *x > 0.0 && *y > 0.0).collect();
        points.sort_by(|a, b| a.0.total_cmp(&b.0));
        lines.push((role, points));
    }
    let all: Vec<(f64, f64)> = lines.iter().flat_map(|(_, points)| points.clone()).collect();
    let range = |of: fn(&(f64, f64)) -> f64| {
        let low = all.iter().map(of).fold(f64::MAX, f64::min);
        let high = all.iter().map(of).fold(f64::MIN, f64::max);
        (low * 0.8..high * 1.25).log_scale()
    };
    if all.is_empty() {
        return Ok(());
    }
    let failed = |error: &dyn std::fmt::Display| SweepError::Plot(error.to_string());
    let area = SVGBackend::new(path, (640, 400)).into_drawing_area();
    area.fill(&WHITE).map_err(|error| failed(&error))?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 16))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(range(|point| point.0), range(|point| point.1))
        .map_err(|error| failed(&error))?;
    chart.configure_mesh().draw().map_err(|error| failed(&error))?;
    for ((role, points), colour) in lines.into_iter().zip([RED, BLUE, BLACK]) {
        chart
            .draw_series(LineSeries::new(points, colour))
            .map_err(|error| failed(&error))?
            .label(role.name())
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 20, y)], colour));
    }
    chart
        .configure_series_labels()
        .border_style(BLACK)
        .background_style(WHITE)
        .draw()
        .map_err(|error| failed(&error))?;
    area.present().map_err(|error| failed(&error))
}
