//! Which of a trial's instances its requests go to: alike at all gateways, as many as its part, and few move.

use load::loaded_instances;

fn names(count: usize) -> Vec<String> {
    (0..count).map(|number| format!("i-{:08x}", (number as u64 * 0x9e37_79b9) & 0xffff_ffff)).collect()
}

fn chosen(part: f64, names: &[String]) -> Vec<&str> {
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let tried = loaded_instances(part, &names);
    assert_eq!(tried.len(), names.len());
    names.into_iter().zip(tried).filter_map(|(name, tried)| tried.then_some(name)).collect()
}

#[test]
fn so_many_of_a_trials_instances_are_tried_as_its_part_of_the_requests_loads() {
    for (part, instances, wanted) in [
        (0.1, 8, 1),
        (0.1, 10, 1),
        (0.1, 18, 2),
        (0.1, 127, 13),
        (0.1, 1, 1),
        (0.0, 5, 1),
        (1.0, 5, 5),
        (7.0, 5, 5),
    ] {
        assert_eq!(chosen(part, &names(instances)).len(), wanted, "{part} of {instances}");
    }
    assert!(loaded_instances(0.1, &[]).is_empty());
}

#[test]
fn the_order_in_which_they_are_known_changes_nothing_and_one_that_goes_moves_one_place() {
    let all = names(60);
    let mut first = chosen(0.1, &all);
    first.sort_unstable();
    let mut turned = all.clone();
    turned.reverse();
    let mut same = chosen(0.1, &turned);
    same.sort_unstable();
    assert_eq!(first, same);
    for gone in &all {
        let rest: Vec<String> = all.iter().filter(|name| *name != gone).cloned().collect();
        let after = chosen(0.1, &rest);
        let kept = first.iter().filter(|name| after.contains(*name)).count();
        assert!(kept + 1 >= first.len(), "{gone} moves more than its own place");
    }
}
