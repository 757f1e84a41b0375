//! Every order of a few steps of the ordered log breaks nothing, and each planted fault is found by a
//! shortest path. The counts of states are held, so that an exploration that has become narrower is seen.

use rehearsal::exhaust::{Bounds, Explored, Plan, Planted, Rule, Start, explore};

fn explored(start: Start, bounds: &str, steps: usize) -> Explored {
    let (_, bounds) = Bounds::ALL.into_iter().find(|(name, _)| *name == bounds).expect("named bounds");
    let plan = Plan { start, machines: 3, steps, bounds, planted: None, states: 1_000_000 };
    let explored = explore(&plan, |_| true);
    println!("{} {} states, {} steps tried", start.name(), explored.states, explored.tried);
    if let Some(found) = &explored.found {
        panic!("{found}");
    }
    assert!(explored.whole);
    explored
}

#[test]
fn a_little_of_everything_in_any_order_breaks_nothing() {
    let states = Start::ALL.map(|start| explored(start, "all", 4).states);
    assert_eq!(states, [24546, 26253, 51979, 90034, 44266, 39938, 25126]);
}

#[test]
fn many_orders_of_a_few_kinds_break_nothing() {
    let votes = Start::ALL.map(|start| explored(start, "votes", 6).states);
    let asks = Start::ALL.map(|start| explored(start, "asks", 6).states);
    let disks = Start::ALL.map(|start| explored(start, "disks", 5).states);
    let leaves = Start::ALL.map(|start| explored(start, "leaves", 6).states);
    assert_eq!(votes, [16556, 3015, 17367, 76264, 8137, 26951, 4129]);
    assert_eq!(asks, [1034, 14238, 41079, 203249, 43647, 8485, 10482]);
    assert_eq!(disks, [18598, 7102, 22543, 40175, 14451, 14059, 6514]);
    assert_eq!(leaves, [34668, 35396, 95335, 307272, 69939, 54684, 32247]);
}

/// A cut with reads on both sides, a loss right after a repair, a snapshot under way with restarts and a newer one.
#[test]
fn orders_of_the_worst_days_break_nothing() {
    let kinds = [(Start::Apart, "reads", 6), (Start::Repaired, "losses", 5), (Start::Sending, "states", 5)];
    let states = kinds.map(|(start, bounds, steps)| explored(start, bounds, steps).states);
    assert_eq!(states, [30182, 26401, 27623]);
    // The first with a fault planted is not as harmless.
    let (_, bounds) = Bounds::ALL.into_iter().find(|(name, _)| *name == "reads").expect("named bounds");
    let planted = Some(Planted::ReadUnproved);
    let plan = Plan { start: Start::Apart, machines: 3, steps: 6, bounds, planted, states: 1_000_000 };
    let found = explore(&plan, |_| true).found.expect("a read without proof is found");
    assert_eq!((found.broken.rule, found.steps.len()), (Rule::OldRead, 1));
}

#[test]
fn each_planted_fault_is_found_by_a_shortest_path() {
    let found = Planted::ALL.map(|planted| {
        let explored = explore(&planted.plan(), |_| true);
        let found = explored.found.unwrap_or_else(|| panic!("{} is not found", planted.name()));
        println!("{}, {} states: {found}", planted.name(), explored.states);
        (found.broken.rule, found.steps.len(), explored.states)
    });
    let wanted = [
        (Rule::Lost, 8, 80337),
        (Rule::Votes, 5, 332),
        (Rule::OldLife, 10, 7321),
        (Rule::OldRead, 6, 106),
        (Rule::OldRead, 7, 989),
        (Rule::Differ, 6, 411),
    ];
    assert_eq!(found, wanted);
}

/// The same explorations without the fault break nothing: it is the fault that is found.
#[test]
fn where_faults_are_found_nothing_breaks_without_them() {
    for planted in Planted::ALL {
        let plan = planted.plan();
        let steps = if planted == Planted::AckBeforeSync { 8 } else { plan.steps };
        let explored = explore(&Plan { planted: None, steps, ..plan }, |_| true);
        println!("{} {} states", planted.name(), explored.states);
        assert!(explored.whole && explored.found.is_none(), "{}: {:?}", planted.name(), explored.found);
    }
}
