//! Fit (slopes): each cost as a sum of a few products of sizes, by least squares over what was measured, with its
//! error and what it comes to at another size.

use nalgebra::{DMatrix, DVector};

use crate::tally::{Phase, Role};
use crate::world::PhaseRow;

/// One product of sizes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Term {
    One,
    Gateways,
    Instances,
    Routes,
    Services,
    Tenants,
    /// For each prompter, as calls and digests go to one of them by chance.
    GatewaysEach,
    InstancesEach,
    GatewaysInstancesEach,
    GatewaysRoutesEach,
    InstancesServices,
    RoutesServices,
}

/// The numbers that a fleet's size is told by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct At {
    pub gateways: f64,
    pub prompters: f64,
    pub instances: f64,
    pub services: f64,
    pub routes: f64,
    pub tenants: f64,
}

impl At {
    pub const DESIGN: At = At {
        gateways: 880.0,
        prompters: 4.0,
        instances: 9_600.0,
        services: 260.0,
        routes: 9_800.0,
        tenants: 39_000.0,
    };

    pub fn of(row: &PhaseRow) -> At {
        At {
            gateways: row.gateways as f64,
            prompters: row.prompters as f64,
            instances: row.instances as f64,
            services: row.services as f64,
            routes: row.routes as f64,
            tenants: row.tenants as f64,
        }
    }
}

impl Term {
    pub fn value(self, at: &At) -> f64 {
        match self {
            Term::One => 1.0,
            Term::Gateways => at.gateways,
            Term::Instances => at.instances,
            Term::Routes => at.routes,
            Term::Services => at.services,
            Term::Tenants => at.tenants,
            Term::GatewaysEach => at.gateways / at.prompters,
            Term::InstancesEach => at.instances / at.prompters,
            Term::GatewaysInstancesEach => at.gateways * at.instances / at.prompters,
            Term::GatewaysRoutesEach => at.gateways * at.routes / at.prompters,
            Term::InstancesServices => at.instances * at.services,
            Term::RoutesServices => at.routes * at.services,
        }
    }

    pub fn name(self) -> &'static str {
        match self {
            Term::One => "",
            Term::Gateways => "G",
            Term::Instances => "I",
            Term::Routes => "R",
            Term::Services => "S",
            Term::Tenants => "T",
            Term::GatewaysEach => "G/P",
            Term::InstancesEach => "I/P",
            Term::GatewaysInstancesEach => "G·I/P",
            Term::GatewaysRoutesEach => "G·R/P",
            Term::InstancesServices => "I·S",
            Term::RoutesServices => "R·S",
        }
    }
}

/// A cost: what is read from a row, and which products it is a sum of.
#[derive(Clone, Copy)]
pub struct Cost {
    pub name: &'static str,
    pub unit: &'static str,
    pub phase: Phase,
    pub role: Role,
    pub of: fn(&PhaseRow) -> f64,
    pub terms: &'static [Term],
    /// The operators' limit, where there is one.
    pub limit: Option<f64>,
}

/// A cost's slopes.
#[derive(Clone, Debug)]
pub struct Fit {
    pub slopes: Vec<(Term, f64)>,
    pub points: usize,
    /// Of the points, relative to what was measured: the middle and the largest error.
    pub middle: f64,
    pub worst: f64,
}

/// What a sum of slopes comes to at a size.
pub fn at(slopes: &[(Term, f64)], at: &At) -> f64 {
    slopes.iter().map(|(term, slope)| term.value(at) * slope).sum()
}

/// Least squares of the relative errors; `None` with fewer points than terms.
pub fn fit(cost: &Cost, rows: &[PhaseRow]) -> Option<Fit> {
    let points: Vec<(At, f64)> = rows
        .iter()
        .filter(|row| row.phase == cost.phase && row.role == cost.role)
        .map(|row| (At::of(row), (cost.of)(row)))
        .filter(|(_, value)| *value > 0.0)
        .collect();
    solve(&points, cost.terms)
}

/// As `fit`, of points alone.
pub fn solve(points: &[(At, f64)], terms: &[Term]) -> Option<Fit> {
    if points.len() < terms.len() {
        return None;
    }
    // Each term is scaled to its largest value, so that the squares are of like size.
    let scale: Vec<f64> = terms
        .iter()
        .map(|term| points.iter().map(|(at, _)| term.value(at)).fold(0.0, f64::max).max(1e-9))
        .collect();
    let matrix = DMatrix::from_fn(points.len(), terms.len(), |row, column| {
        let (at, value) = &points[row];
        terms[column].value(at) / scale[column] / value
    });
    let ones = DVector::from_element(points.len(), 1.0);
    let solved = matrix.svd(true, true).solve(&ones, 1e-9).ok()?;
    let slopes: Vec<(Term, f64)> =
        terms.iter().enumerate().map(|(number, term)| (*term, solved[number] / scale[number])).collect();
    let mut errors: Vec<f64> =
        points.iter().map(|(size, value)| (at(&slopes, size) / value - 1.0).abs()).collect();
    errors.sort_by(f64::total_cmp);
    let (middle, worst) = (errors[errors.len() / 2], errors[errors.len() - 1]);
    Some(Fit { slopes, points: points.len(), middle, worst })
}

fn both(row: &PhaseRow) -> f64 {
    row.in_bytes_s + row.out_bytes_s
}

fn total_kb(row: &PhaseRow) -> f64 {
    both(row) * row.seconds / 1e3
}

/// Processor time of a phase, in readings of a configuration of 100 routes.
fn yards(row: &PhaseRow) -> f64 {
    row.core_share * row.seconds * 1e6 / row.yard_us
}

fn yards_s(row: &PhaseRow) -> f64 {
    row.core_share * 1e6 / row.yard_us
}

/// The costs that the page tells.
pub const COSTS: [Cost; 22] = {
    use Phase::{Herd, Modify, Replace, Start, Steady};
    use Role::{Follower, Gateway, Leader};
    use Term::{
        Gateways, GatewaysEach, GatewaysInstancesEach, GatewaysRoutesEach, Instances, InstancesEach,
        InstancesServices, One, Routes, RoutesServices, Services, Tenants,
    };
    macro_rules! cost {
        ($name:literal, $unit:literal, $phase:expr, $role:expr, $of:expr, $terms:expr, $limit:expr) => {
            Cost {
                name: $name,
                unit: $unit,
                phase: $phase,
                role: $role,
                of: $of,
                terms: $terms,
                limit: $limit,
            }
        };
    }
    [
        cost!("gateway_bytes_s", "B/s", Steady, Gateway, both, &[One, Gateways, Instances], Some(7_000.0)),
        cost!("gateway_yards_s", "", Steady, Gateway, yards_s, &[One, Gateways, Instances], None),
        cost!(
            "gateway_mb",
            "MB",
            Steady,
            Gateway,
            |row| row.held_mb,
            &[One, Gateways, Instances, Routes, Services, Tenants],
            Some(128.0)
        ),
        cost!(
            "leader_yards_s",
            "",
            Steady,
            Leader,
            yards_s,
            &[One, GatewaysEach, InstancesEach, Instances],
            None
        ),
        cost!(
            "follower_yards_s",
            "",
            Steady,
            Follower,
            yards_s,
            &[One, GatewaysEach, InstancesEach, Instances],
            None
        ),
        cost!("leader_bytes_s", "B/s", Steady, Leader, both, &[One, GatewaysEach, Instances], None),
        cost!("follower_bytes_s", "B/s", Steady, Follower, both, &[One, GatewaysEach, Instances], None),
        cost!("beat_bytes_s", "B/s", Steady, Follower, |row| row.beat_bytes_s, &[InstancesEach], None),
        cost!(
            "leader_mb",
            "MB",
            Steady,
            Leader,
            |row| row.held_mb.max(row.peak_mb),
            &[One, Gateways, Instances, Routes, Tenants],
            None
        ),
        cost!(
            "gateway_start_kb",
            "kB",
            Start,
            Gateway,
            total_kb,
            &[One, Gateways, Instances, Routes, Tenants],
            None
        ),
        cost!(
            "gateway_start_yards",
            "yards",
            Start,
            Gateway,
            yards,
            &[One, Gateways, InstancesServices, Instances, Routes, RoutesServices],
            None
        ),
        cost!(
            "leader_start_kb",
            "kB",
            Start,
            Leader,
            total_kb,
            &[One, Gateways, GatewaysInstancesEach, GatewaysRoutesEach],
            None
        ),
        cost!(
            "leader_start_yards",
            "yards",
            Start,
            Leader,
            yards,
            &[One, Gateways, Instances, GatewaysInstancesEach, Routes],
            None
        ),
        cost!(
            "gateway_replace_kb",
            "kB",
            Replace,
            Gateway,
            total_kb,
            &[One, Gateways, Routes, Tenants],
            None
        ),
        cost!(
            "gateway_replace_yards",
            "yards",
            Replace,
            Gateway,
            yards,
            &[One, Gateways, Routes, InstancesServices, RoutesServices],
            None
        ),
        cost!(
            "leader_replace_kb",
            "kB",
            Replace,
            Leader,
            total_kb,
            &[One, GatewaysEach, Routes, GatewaysRoutesEach],
            None
        ),
        cost!("gateway_modify_kb", "kB", Modify, Gateway, total_kb, &[One, Gateways], None),
        cost!(
            "gateway_modify_yards",
            "yards",
            Modify,
            Gateway,
            yards,
            &[One, Gateways, Routes, InstancesServices, RoutesServices],
            None
        ),
        cost!("gateway_herd_kb", "kB", Herd, Gateway, total_kb, &[One, Gateways, Instances, Routes], None),
        cost!(
            "leader_herd_kb",
            "kB",
            Herd,
            Leader,
            total_kb,
            &[One, Gateways, GatewaysInstancesEach, GatewaysRoutesEach],
            None
        ),
        cost!(
            "gateway_replace_peak_mb",
            "MB",
            Replace,
            Gateway,
            |row| row.peak_mb,
            &[One, Gateways, Instances, Routes, Services, Tenants],
            Some(128.0)
        ),
        cost!(
            "leader_replace_peak_mb",
            "MB",
            Replace,
            Leader,
            |row| row.peak_mb,
            &[One, Gateways, Instances, Routes, Tenants],
            None
        ),
    ]
};
