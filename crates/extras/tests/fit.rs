//! Slopes are found again, and their error is told.

use extras::fit::{self, At, Cost, Term};
use extras::size::Size;
use extras::tally::{Phase, Role};
use extras::world::{PhaseRow, World};
use std::time::Duration;
use types::SECOND;

const COST: Cost = Cost {
    name: "made up",
    unit: "B/s",
    phase: Phase::Steady,
    role: Role::Gateway,
    of: |row| row.in_bytes_s,
    terms: &[Term::One, Term::Gateways, Term::InstancesServices],
    limit: None,
};

fn rows(of: impl Fn(f64, f64, f64) -> f64) -> Vec<PhaseRow> {
    let size = Size {
        gateways: 2,
        instances: 4,
        start: 4 * SECOND,
        steady: SECOND,
        change: 0,
        herd: 0,
        ..Size::default()
    };
    let mut world = World::new(size, Duration::from_secs(30));
    world.play_all(|_| {});
    let row = world.row(Phase::Steady, Role::Gateway).expect("a gateway").clone();
    let sizes =
        [(30, 300, 26), (60, 300, 26), (480, 300, 26), (30, 3_000, 26), (30, 300, 260), (90, 900, 100)];
    let made = sizes.map(|(gateways, instances, services)| PhaseRow {
        gateways,
        instances,
        services,
        in_bytes_s: of(gateways as f64, instances as f64, services as f64),
        ..row.clone()
    });
    made.into()
}

#[test]
fn slopes_that_made_the_points_are_found_and_carried_on() {
    let truth = |g: f64, i: f64, s: f64| 400.0 + 0.3 * g + 2e-3 * i * s;
    let fit = fit::fit(&COST, &rows(truth)).expect("enough points");
    assert!(fit.worst < 1e-6, "{fit:?}");
    let design = fit::at(&fit.slopes, &At::DESIGN);
    assert!((design / truth(880.0, 9_600.0, 260.0) - 1.0).abs() < 1e-6, "{design}");
}

#[test]
fn a_cost_of_another_shape_shows_as_an_error() {
    let fit = fit::fit(&COST, &rows(|g, i, _| 400.0 + 1e-2 * g * g + i)).expect("enough points");
    assert!(fit.worst > 0.1, "{fit:?}");
    assert!(fit::fit(&COST, &[]).is_none());
}
