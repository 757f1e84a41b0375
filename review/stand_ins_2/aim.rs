//! The operator adds a route with an aim that its service doesn't reach, though it answers long before the deadline.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crate::stage::*;

/// The shortest aim of the site's kinds of request, and one that the service reaches.
const SHORT_AIM_S: f64 = 0.12;
const LONG_AIM_S: f64 = 0.5;
const WORK_MS: u64 = 250;
const DEADLINE_MS: u64 = 1_200;
const TRAFFIC_S: f64 = 30.0;

pub fn play(record: &Record, trouble: bool) -> bool {
    let mut stage = Stage::new(record, 3);
    stage.start_all(2);
    let (runs, tries, stop) = (Runs::default(), Tries::default(), Arc::<AtomicBool>::default());
    let first = [
        route("shows", "shop.example", "/shows/", "safe", "slideshow", 1.0),
        service("slideshow"),
        service("orderdesk"),
    ];
    let answer = stage.operate("POST", "/api/Configuration.Replace", Some("0"), &configuration(1, &first), 10.0);
    if answer.is_none_or(|answer| answer.status != 200) {
        give_up("the first configuration is not acknowledged");
    }
    let begin = |name: &str, number: usize, work_ms: u64| {
        Instance::start(&stage, &runs, name, "v1", number, work_ms)
    };
    let shows: Vec<Instance> = (21..=23).map(|number| begin("slideshow", number, 20)).collect();
    let orders: Vec<Instance> = (1..=4).map(|number| begin("orderdesk", number, WORK_MS)).collect();
    (1..=2).for_each(|gateway| stage.wait_ready(gateway, 15.0));
    let aim = if trouble { SHORT_AIM_S } else { LONG_AIM_S };
    let later = route("orders", "shop.example", "/orders/", "unsafe", "orderdesk", DEADLINE_MS as f64 / 1e3)
        .replace("\"TargetLatencyS\":0.3", &format!("\"TargetLatencyS\":{aim}"));
    let change = format!("{{\"ConfigVersion\":\"00000002\",\"Upsert\":{{\"ResourceSet\":[{later}]}}}}");
    let answer = stage.operate("POST", "/api/Configuration.Modify", Some("00000001"), &change, 10.0);
    if answer.is_none_or(|answer| answer.status != 200) {
        give_up("the later route is not acknowledged");
    }
    record.tell(format!("the route to orderdesk with an aim of {aim} s is acknowledged"));
    // Over `ContactS` and `ConfigApplyS`.
    thread::sleep(Duration::from_secs_f64(6.0));
    let clients = [
        start_clients(&stage, &[1, 2], "GET", "shop.example", "/shows/1", 50, 1000, &tries, &stop),
        start_clients(&stage, &[1, 2], "POST", "shop.example", "/orders/1", 50, DEADLINE_MS, &tries, &stop),
    ];
    thread::sleep(Duration::from_secs_f64(TRAFFIC_S));
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    thread::sleep(Duration::from_secs_f64(1.5));
    let share = |path: &str| {
        let mut requests: HashMap<u64, bool> = HashMap::new();
        for one in tries.lock().unwrap().iter().filter(|one| one.path == path) {
            *requests.entry(one.request).or_default() |= one.status == 200;
        }
        let served = requests.values().filter(|served| **served).count();
        record.tell(format!("{path}: {served} of {} requests served", requests.len()));
        (served as f64 / requests.len().max(1) as f64, requests.len())
    };
    let worked = runs.lock().unwrap().iter().filter(|run| run.service == "orderdesk").count();
    record.tell(format!(
        "the four instances of orderdesk, with four slots each, worked for {:.1} of {:.0} slot seconds",
        worked as f64 * WORK_MS as f64 / 1e3,
        TRAFFIC_S * 16.0
    ));
    // CONFIG: in calm times, 20 or more requests on routes that were added later are served less than a quarter as often as
    // those on the first routes.
    let ((on_later, count), (on_first, _)) = (share("/orders/1"), share("/shows/1"));
    drop((shows, orders));
    count >= 20 && on_later < on_first / 4.0
}
