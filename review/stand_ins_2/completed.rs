//! A good version is rolled out with one instance; that instance is lost for good in the middle of the period.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crate::stage::*;

const PERIOD_S: f64 = 16.0;
const CRASH_AFTER_S: f64 = 7.0;
/// From the lost instance on until times are calm: over twice `ContactS`.
const CALM_AFTER_S: f64 = 8.0;

pub fn play(record: &Record, trouble: bool) -> bool {
    let mut stage = Stage::new(record, 3);
    stage.start_all(2);
    let (runs, tries, stop) = (Runs::default(), Tries::default(), Arc::<AtomicBool>::default());
    let first = [
        route("shows", "shop.example", "/shows/", "safe", "slideshow", 1.0),
        service("slideshow"),
        service("proofbook"),
    ];
    let answer = stage.operate("POST", "/api/Configuration.Replace", Some("0"), &configuration(1, &first), 10.0);
    if answer.is_none_or(|answer| answer.status != 200) {
        give_up("the first configuration is not acknowledged");
    }
    let later = route("views", "shop.example", "/views/", "safe", "proofbook", 1.0);
    let change = format!("{{\"ConfigVersion\":\"00000002\",\"Upsert\":{{\"ResourceSet\":[{later}]}}}}");
    let answer = stage.operate("POST", "/api/Configuration.Modify", Some("00000001"), &change, 10.0);
    if answer.is_none_or(|answer| answer.status != 200) {
        give_up("the later route is not acknowledged");
    }
    let begin = |stage: &Stage, name: &str, version: &str, number: usize| {
        Instance::start(stage, &runs, name, version, number, 20)
    };
    let shows: Vec<Instance> = (21..=23).map(|number| begin(&stage, "slideshow", "v1", number)).collect();
    let mut old: Vec<Instance> = (1..=7).map(|number| begin(&stage, "proofbook", "v1", number)).collect();
    (1..=2).for_each(|gateway| stage.wait_ready(gateway, 15.0));
    thread::sleep(Duration::from_secs_f64(3.0));
    let clients = [
        start_clients(&stage, &[1, 2], "GET", "shop.example", "/shows/1", 50, 1000, &tries, &stop),
        start_clients(&stage, &[1, 2], "GET", "shop.example", "/views/1", 20, 1000, &tries, &stop),
    ];
    thread::sleep(Duration::from_secs_f64(3.0));
    let mut new = Some(begin(&stage, "proofbook", "v2", 11));
    thread::sleep(Duration::from_secs_f64(2.0));
    let order = format!("{{\"TargetService\":\"proofbook\",\"TargetVersion\":\"v2\",\"RolloutPeriodS\":{PERIOD_S}}}");
    let answer = stage.operate("POST", "/api/Rollouts.Initiate", None, &order, 5.0);
    if answer.is_none_or(|answer| answer.status != 200) {
        give_up("the roll-out is not acknowledged");
    }
    let ordered = record.now();
    record.tell("the roll-out of proofbook to v2 is acknowledged");
    while record.now() < ordered + CRASH_AFTER_S {
        thread::sleep(Duration::from_millis(10));
    }
    if trouble && let Some(lost) = new.take() {
        lost.end(record);
    }
    // The platform looks for the end of the roll-out; on `completed` the old instances stop at once, on `reverted` the new
    // ones drain.
    let (mut state, until) = (String::new(), ordered + 40.0);
    while record.now() < until {
        let answer = stage.operate("GET", "/api/Rollouts.Retrieve/proofbook", None, "", 2.0);
        let text = answer.map(|answer| String::from_utf8_lossy(&answer.body).into_owned()).unwrap_or_default();
        if text.contains("completed") || text.contains("reverted") {
            state = text;
            break;
        }
        thread::sleep(Duration::from_millis(200));
    }
    record.tell(format!("{:.1} s after the order: {state}", record.now() - ordered));
    if state.contains("completed") {
        for instance in old.drain(..) {
            instance.end(record);
        }
    }
    let calm = record.now().max(ordered + CRASH_AFTER_S) + CALM_AFTER_S;
    while record.now() < calm + 15.0 {
        thread::sleep(Duration::from_millis(20));
    }
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    thread::sleep(Duration::from_secs_f64(1.5));
    let share = |path: &str, from: f64, to: f64| {
        let mut requests: HashMap<u64, bool> = HashMap::new();
        for one in tries.lock().unwrap().iter().filter(|one| one.at >= from && one.at < to && one.path == path) {
            *requests.entry(one.request).or_default() |= one.status == 200;
        }
        let served = requests.values().filter(|served| **served).count();
        record.tell(format!("{path}, sent from {from:.0} s to {to:.0} s: {served} of {} served", requests.len()));
        (served as f64 / requests.len().max(1) as f64, requests.len())
    };
    // CONFIG: in calm times, 20 or more requests on routes that were added later are served less than a quarter as often as
    // those on the first routes.
    share("/views/1", ordered, ordered + CRASH_AFTER_S);
    let (on_later, count) = share("/views/1", calm, calm + 15.0);
    let (on_first, _) = share("/shows/1", calm, calm + 15.0);
    drop((shows, old, new));
    count >= 20 && on_later < on_first / 4.0
}
