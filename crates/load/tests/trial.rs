//! Which instances receive a trial's requests: the same at all gateways, as many as its share of the requests loads,
//! and few change when one goes away.

use load::loaded_instances;

fn names(count: usize) -> Vec<String> {
    (0..count).map(|number| format!("i-{:08x}", (number as u64 * 0x9e37_79b9) & 0xffff_ffff)).collect()
}

fn loaded_names(request_share: f64, names: &[String]) -> Vec<&str> {
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let loaded = loaded_instances(request_share, &names);
    assert_eq!(loaded.len(), names.len());
    names.into_iter().zip(loaded).filter_map(|(name, loaded)| loaded.then_some(name)).collect()
}

#[test]
fn as_many_instances_are_loaded_as_the_trials_share_of_the_requests_fills() {
    for (request_share, instances, expected) in [
        (0.1, 8, 1),
        (0.1, 10, 1),
        (0.1, 18, 2),
        (0.1, 127, 13),
        (0.1, 1, 1),
        (0.0, 5, 1),
        (1.0, 5, 5),
        (7.0, 5, 5),
    ] {
        assert_eq!(
            loaded_names(request_share, &names(instances)).len(),
            expected,
            "{request_share} of {instances}"
        );
    }
    assert!(loaded_instances(0.1, &[]).is_empty());
}

#[test]
fn the_order_of_instances_does_not_matter_and_removing_one_moves_one_place() {
    let all = names(60);
    let mut loaded_at_first = loaded_names(0.1, &all);
    loaded_at_first.sort_unstable();
    let mut reversed = all.clone();
    reversed.reverse();
    let mut loaded_when_reversed = loaded_names(0.1, &reversed);
    loaded_when_reversed.sort_unstable();
    assert_eq!(loaded_at_first, loaded_when_reversed);
    for removed in &all {
        let remaining: Vec<String> = all.iter().filter(|name| *name != removed).cloned().collect();
        let after = loaded_names(0.1, &remaining);
        let unchanged = loaded_at_first.iter().filter(|name| after.contains(*name)).count();
        assert!(unchanged + 1 >= loaded_at_first.len(), "{removed} moves more than its own place");
    }
}
