//! Experiments: a design against its baselines in the emulator, over seeds, with a table, a CSV and a plot.

use std::io;
use std::path::Path;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use comfy_table::{Table, presets};
use garnetdoor_sessions::share::ShareEnforcement;
use indicatif::{ProgressBar, ProgressStyle};
use plotters::prelude::*;

use crate::emulate::{Outcome, World, play};

/// How large an experiment is.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub gateways: usize,
    /// Guests of each gateway.
    pub guests: usize,
    pub boxes: usize,
    pub seeds: u64,
}

type Design = (&'static str, ShareEnforcement, Option<i64>);

/// Ways of holding the share, and of draining; what the daemon does comes last.
const DESIGNS: [Design; 7] = [
    ("no holding", ShareEnforcement::Unenforced, Some(10_000_000)),
    ("at the door only", ShareEnforcement::AdmissionOnly, Some(10_000_000)),
    ("door, all at once", ShareEnforcement::CloseAtOnce, Some(10_000_000)),
    ("door, paced, oldest first", ShareEnforcement::PacedOldestFirst, Some(10_000_000)),
    ("drain: none until gone", ShareEnforcement::PacedNewestFirst, None),
    ("drain: all at once", ShareEnforcement::PacedNewestFirst, Some(0)),
    ("door, paced, newest first; drain over 10 s", ShareEnforcement::PacedNewestFirst, Some(10_000_000)),
];

type Column = (&'static str, fn(&Outcome) -> f64);

const COLUMNS: [Column; 8] = [
    ("excess", |o| o.excess),
    ("closed_for_share", |o| o.closed_for_share as f64),
    ("herd_share", |o| o.herd_share),
    ("closed_for_drain", |o| o.closed_for_drain as f64),
    ("herd_drain", |o| o.herd_drain),
    ("slowest_ms", |o| o.slowest_ms),
    ("turned_back", |o| o.turned_back as f64),
    ("standing_most", |o| o.standing_most as f64),
];

/// Plays every design over the seeds; writes `websocket.csv` and `websocket.svg` into the folder and returns a table
/// of means and standard deviations.
pub fn websocket(size: Size, folder: &Path) -> io::Result<String> {
    std::fs::create_dir_all(folder)?;
    let runs: Vec<_> =
        (0..DESIGNS.len()).flat_map(|design| (1..=size.seeds).map(move |seed| (design, seed))).collect();
    let bar = ProgressBar::new(runs.len() as u64);
    if let Ok(style) = ProgressStyle::with_template("{bar:40} {pos}/{len} runs, {eta} left") {
        bar.set_style(style);
    }
    let (next, done) = (AtomicUsize::new(0), Mutex::new(Vec::new()));
    let workers = thread::available_parallelism().map_or(1, usize::from).saturating_sub(1).max(1);
    thread::scope(|scope| {
        for _ in 0..workers {
            scope.spawn(|| {
                while let Some((design, seed)) = runs.get(next.fetch_add(1, Ordering::Relaxed)).copied() {
                    let (_, holding, drain) = DESIGNS[design];
                    let Size { gateways, guests, boxes, .. } = size;
                    let outcome = play(&World { gateways, guests, boxes, holding, drain, seed });
                    done.lock()
                        .unwrap_or_else(|poisoned| poisoned.into_inner())
                        .push((design, seed, outcome));
                    bar.inc(1);
                }
            });
        }
    });
    bar.finish_and_clear();
    let mut done = done.into_inner().unwrap_or_else(|poisoned| poisoned.into_inner());
    done.sort_by_key(|(design, seed, _)| (*design, *seed));
    let mut csv = csv::Writer::from_path(folder.join("websocket.csv"))?;
    csv.write_record(["design", "seed"].into_iter().chain(COLUMNS.iter().map(|(name, _)| *name)))?;
    for (design, seed, outcome) in &done {
        let figures = COLUMNS.iter().map(|(_, read)| read(outcome).to_string());
        csv.write_record([DESIGNS[*design].0.to_owned(), seed.to_string()].into_iter().chain(figures))?;
    }
    csv.flush()?;
    let of = |design: usize, read: fn(&Outcome) -> f64| -> Vec<f64> {
        done.iter().filter(|(other, ..)| *other == design).map(|(.., outcome)| read(outcome)).collect()
    };
    plot(&folder.join("websocket.svg"), &of).map_err(|error| io::Error::other(error.to_string()))?;
    let mut table = Table::new();
    table.load_style(presets::ASCII_MARKDOWN);
    table.set_header(["design"].into_iter().chain(COLUMNS.iter().map(|(name, _)| *name)));
    for (design, (name, ..)) in DESIGNS.iter().enumerate() {
        let cells = COLUMNS.iter().map(|(_, read)| {
            let (mean, spread) = spread(&of(design, *read));
            if mean.abs() < 10.0 {
                format!("{mean:.2} ± {spread:.2}")
            } else {
                format!("{mean:.0} ± {spread:.0}")
            }
        });
        table.add_row([(*name).to_owned()].into_iter().chain(cells));
    }
    Ok(table.to_string())
}

/// Mean and standard deviation.
fn spread(values: &[f64]) -> (f64, f64) {
    let count = values.len().max(1) as f64;
    let mean = values.iter().sum::<f64>() / count;
    let square = values.iter().map(|value| (value - mean).powi(2)).sum::<f64>() / (count - 1.0).max(1.0);
    (mean, square.sqrt())
}

/// Each run a point: how far past the share, and how large the herds.
fn plot(
    path: &Path, of: &dyn Fn(usize, fn(&Outcome) -> f64) -> Vec<f64>,
) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::new(path, (1_000, 560)).into_drawing_area();
    root.fill(&WHITE)?;
    let areas = root.split_evenly((1, 3));
    let panels: [Column; 3] = [
        ("standing beyond the share, part of all", |o| o.excess),
        ("herd after the cap fell, times the usual", |o| o.herd_share),
        ("herd after the drain, times the usual", |o| o.herd_drain),
    ];
    for (area, (title, read)) in areas.iter().zip(panels) {
        let values: Vec<Vec<f64>> = (0..DESIGNS.len()).map(|design| of(design, read)).collect();
        let most = values.iter().flatten().copied().fold(0.1, f64::max) * 1.1;
        let mut chart = ChartBuilder::on(area)
            .caption(title, ("sans-serif", 14))
            .margin(8)
            .x_label_area_size(24)
            .y_label_area_size(44)
            .build_cartesian_2d(0.0..DESIGNS.len() as f64, 0.0..most)?;
        chart.configure_mesh().disable_x_mesh().x_labels(0).draw()?;
        for (design, values) in values.iter().enumerate() {
            let color = Palette99::pick(design);
            let points =
                values.iter().map(|value| Circle::new((design as f64 + 0.5, *value), 3, color.filled()));
            let series = chart.draw_series(points)?;
            if title.starts_with("standing") {
                series
                    .label(DESIGNS[design].0)
                    .legend(move |(x, y)| Circle::new((x + 6, y), 4, Palette99::pick(design).filled()));
            }
        }
        if title.starts_with("standing") {
            chart.configure_series_labels().background_style(WHITE.mix(0.8)).draw()?;
        }
    }
    root.present()?;
    Ok(())
}
