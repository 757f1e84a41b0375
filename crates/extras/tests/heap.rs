//! Heap is counted by node: a file of its own, as the counts are of the whole process.

#[global_allocator]
static HEAP: peak_alloc::PeakAlloc = peak_alloc::PeakAlloc;

use std::time::Duration;

use extras::size::Size;
use extras::tally::{Phase, Role};
use extras::world::World;
use types::SECOND;

#[test]
fn a_gateway_holds_more_with_more_routes_and_more_still_while_they_change() {
    let held = |routes| {
        let size = Size { gateways: 4, instances: 10, routes, start: 6 * SECOND, herd: 0, ..Size::default() };
        let mut world = World::new(size, Duration::from_secs(60));
        world.play_all(|_| {});
        let of = |phase| world.row(phase, Role::Gateway).expect("a gateway").clone();
        (of(Phase::Steady).held_mb, of(Phase::Replace).peak_mb)
    };
    let (few, many) = (held(50), held(1_500));
    assert!(few.0 > 0.05 && few.0 < 3.0, "{few:?}");
    // A route is its text and its place in the tables: over half a kilobyte, under ten.
    let route = (many.0 - few.0) * 1e6 / 1_450.0;
    assert!((500.0..10_000.0).contains(&route), "{route} bytes a route");
    assert!(many.1 > many.0, "{many:?}");
}
