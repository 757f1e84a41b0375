//! Table (the page's formula): what a small day costs as sums of slopes, and the day that they are held against. The
//! constants stand here alone; `docs/CAPACITY.md` quotes them, and a test holds both together.

use std::time::Duration;

use types::{Micros, SECOND};

use crate::fit::{self, At, Fit, Term};
use crate::size::Size;
use crate::sweep::{self, Found, SweepError};
use crate::tally::{Phase, Role};
use crate::world::PhaseRow;

/// One figure of such a day.
#[derive(Clone, Copy, Debug)]
pub struct Row {
    pub name: &'static str,
    pub unit: &'static str,
    /// A processor's: told in yards a second, and so as fast as this machine is.
    pub processor: bool,
    pub slopes: &'static [(Term, f64)],
    /// The operators' limit, where there is one.
    pub limit: Option<f64>,
}

/// In the order of `Figures::all`. Made by `playhouse-extras table`.
pub const TABLE: [Row; 5] = [
    Row {
        name: "gateway_bytes_s",
        unit: "B/s",
        processor: false,
        slopes: &[(Term::One, 1_015.0)],
        limit: Some(7_000.0),
    },
    Row {
        name: "gateway_mb",
        unit: "MB",
        processor: false,
        slopes: &[(Term::One, 0.3817), (Term::Instances, 9.139e-4), (Term::Routes, 1.414e-3)],
        limit: Some(128.0),
    },
    Row {
        name: "gateway_core_share",
        unit: "yards/s",
        processor: true,
        slopes: &[
            (Term::One, 0.5801),
            (Term::Gateways, 3.777e-3),
            (Term::Instances, 7.773e-4),
            (Term::Routes, 2.179e-3),
        ],
        limit: Some(0.017),
    },
    Row {
        name: "leader_core_share",
        unit: "yards/s",
        processor: true,
        slopes: &[
            (Term::One, 6.869e-2),
            (Term::Gateways, 3.395e-2),
            (Term::Instances, 2.285e-3),
            (Term::Routes, 2.608e-3),
        ],
        limit: None,
    },
    Row {
        name: "change_s",
        unit: "s",
        processor: false,
        slopes: &[(Term::One, 1.823e-2), (Term::Gateways, 3.888e-4)],
        limit: Some(5.0),
    },
];

const SERVICES: usize = 52;
const PROMPTERS: usize = 4;

/// A day that the table holds for: in all its sizes within those of `grid`.
pub fn day(gateways: usize, instances: usize, routes: usize, seed: u64) -> Size {
    Size {
        gateways,
        instances,
        routes,
        seed,
        prompters: PROMPTERS,
        services: SERVICES,
        start: 8 * SECOND,
        steady: 5 * SECOND,
        change: 3 * SECOND as Micros,
        herd: 5 * SECOND,
        ..Size::default()
    }
}

/// The days that the table is made from: corners and middles of its range.
pub fn grid(seed: u64) -> Vec<Size> {
    let mut days = Vec::new();
    for gateways in [12, 48] {
        for instances in [150, 1_200] {
            for routes in [150, 1_200] {
                days.push(day(gateways, instances, routes, seed + days.len() as u64));
            }
        }
    }
    days.push(day(30, 600, 600, seed + 8));
    days.push(day(24, 300, 300, seed + 9));
    days
}

/// What a day came to, in the order of the table; processor times in yards a second.
#[derive(Clone, Debug)]
pub struct Figures {
    pub at: At,
    pub all: [f64; 5],
    /// A yard on this machine in that day, in microseconds.
    pub yard_us: f64,
    /// A whole configuration that differs in one route, to the last gateway.
    pub replace_s: f64,
}

/// Plays a day; `None` where it was given up or a change did not come into force.
pub fn played(size: Size, most: Duration) -> Result<Option<Figures>, SweepError> {
    let mut found = Found::default();
    sweep::day(size, most, &mut found, |_| {})?;
    let row = |phase, role| found.phases.iter().find(|row| row.phase == phase && row.role == role);
    let day = &found.days[0];
    let (Some(steady), Some(modify_s), Some(replace_s)) =
        (row(Phase::Steady, Role::Gateway), day.modify_s, day.replace_s)
    else {
        return Ok(None);
    };
    let yards_s = |role: Role| {
        let rows = || found.phases.iter().filter(|row| row.role == role);
        let yards: f64 = rows().map(|row: &PhaseRow| row.core_share * row.seconds * 1e6 / row.yard_us).sum();
        yards / rows().map(|row| row.seconds).sum::<f64>()
    };
    let mut yards: Vec<f64> = found.phases.iter().map(|row| row.yard_us).collect();
    yards.sort_by(f64::total_cmp);
    Ok(Some(Figures {
        at: At::of(steady),
        all: [
            steady.in_bytes_s + steady.out_bytes_s,
            steady.held_mb,
            yards_s(Role::Gateway),
            yards_s(Role::Leader),
            modify_s,
        ],
        yard_us: yards[yards.len() / 2],
        replace_s,
    }))
}

/// How a request's path is measured: routes, and requests a second each way while times are taken.
pub const PATH_ROUTES: usize = 9_800;
pub const PATH_RATE: f64 = 73.0;
/// What the operators allow to be added to 99 of 100 requests.
pub const ADDED_MS_MOST: f64 = 1.9;
/// A run and the table may differ by so much of the table's figure.
pub const TOLERANCE: f64 = 1.0 / 3.0;

/// Whether a figure of a run is as the table says.
pub fn agrees(said: f64, found: f64) -> bool {
    (found - said).abs() <= said.abs() * TOLERANCE
}

/// The mean of several days of one size.
pub fn mean(days: &[Figures]) -> Option<Figures> {
    let first = days.first()?.clone();
    let count = days.len() as f64;
    let of = |read: &dyn Fn(&Figures) -> f64| days.iter().map(read).sum::<f64>() / count;
    let all = std::array::from_fn(|number| of(&|day: &Figures| day.all[number]));
    Some(Figures { all, yard_us: of(&|day| day.yard_us), replace_s: of(&|day| day.replace_s), ..first })
}

/// What the table says for a size; processor times in yards a second.
pub fn said(at: &At) -> [f64; 5] {
    TABLE.map(|row| fit::at(row.slopes, at))
}

/// The table's slopes anew, from days that were played.
pub fn fitted(days: &[Figures]) -> [Option<Fit>; 5] {
    std::array::from_fn(|number| {
        let points: Vec<(At, f64)> = days.iter().map(|day| (day.at, day.all[number])).collect();
        let terms: Vec<Term> = TABLE[number].slopes.iter().map(|(term, _)| *term).collect();
        fit::solve(&points, &terms)
    })
}
