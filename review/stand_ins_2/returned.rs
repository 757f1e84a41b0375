//! A control node is down for a minute. Meanwhile the instances of two services are replaced one after the other, and each
//! new one begins at an address that an instance of the other service had. The routes to both were added later; the first
//! route leads to a third service, whose instances stay.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crate::stage::*;

/// From the return on until machines are in touch and times calm: twice `ContactS`.
const CALM_AFTER_S: f64 = 6.0;
/// Over `AddressReuseS`.
const REUSE_AFTER_S: f64 = 2.05;
/// Over `DrainS`.
const SERVE_AFTER_DRAIN_S: f64 = 2.7;
const RETURN_AT_S: f64 = 70.0;
const END_AT_S: f64 = 100.0;

pub fn play(record: &Record, trouble: bool) -> bool {
    let mut stage = Stage::new(record, 3);
    stage.start_all(2);
    let (runs, tries, stop) = (Runs::default(), Tries::default(), Arc::<AtomicBool>::default());
    let first = [
        route("shows", "shop.example", "/shows/", "safe", "slideshow", 1.0),
        service("slideshow"),
        service("orderdesk"),
        service("proofbook"),
    ];
    let answer = stage.operate("POST", "/api/Configuration.Replace", Some("0"), &configuration(1, &first), 10.0);
    if answer.is_none_or(|answer| answer.status != 200) {
        give_up("the first configuration is not acknowledged");
    }
    let later = [
        route("orders", "shop.example", "/orders/", "unsafe", "orderdesk", 1.2),
        route("views", "shop.example", "/views/", "safe", "proofbook", 1.0),
    ];
    let change =
        format!("{{\"ConfigVersion\":\"00000002\",\"Upsert\":{{\"ResourceSet\":[{}]}}}}", later.join(","));
    let answer = stage.operate("POST", "/api/Configuration.Modify", Some("00000001"), &change, 10.0);
    if answer.is_none_or(|answer| answer.status != 200) {
        give_up("the later routes are not acknowledged");
    }
    let begin = |stage: &Stage, name: &str, number: usize| Instance::start(stage, &runs, name, "v1", number, 20);
    let shows: Vec<Instance> = (21..=23).map(|number| begin(&stage, "slideshow", number)).collect();
    // Addresses 1 to 4 are those of orderdesk, 11 to 14 those of proofbook.
    let mut orders: Vec<Instance> = (1..=4).map(|number| begin(&stage, "orderdesk", number)).collect();
    let mut views: Vec<Instance> = (11..=14).map(|number| begin(&stage, "proofbook", number)).collect();
    (1..=2).for_each(|gateway| stage.wait_ready(gateway, 15.0));
    let clients = [
        start_clients(&stage, &[1, 2], "GET", "shop.example", "/shows/1", 50, 1000, &tries, &stop),
        start_clients(&stage, &[1, 2], "POST", "shop.example", "/orders/1", 50, 1200, &tries, &stop),
        start_clients(&stage, &[1, 2], "GET", "shop.example", "/views/1", 50, 1000, &tries, &stop),
    ];
    thread::sleep(Duration::from_secs_f64(4.0));
    if trouble {
        // SIGNAL=TERM: the machine is stopped in order.
        let signal = std::env::var("SIGNAL").unwrap_or("KILL".into());
        stage.signal("core-3", &signal);
        stage.wait("core-3", Duration::from_secs(6));
    }
    thread::sleep(Duration::from_secs_f64(1.0));
    // The fourth instance of each service is taken away; then three releases of one instance each: the new one begins
    // first, and the old one drains, says that it ends, and ends.
    let mut new = Vec::new();
    take_away(&stage, orders.pop(), views.pop());
    for number in [4, 1, 2] {
        thread::sleep(Duration::from_secs_f64(REUSE_AFTER_S));
        new.push(begin(&stage, "proofbook", number));
        new.push(begin(&stage, "orderdesk", number + 10));
        thread::sleep(Duration::from_secs_f64(0.2));
        take_away(&stage, Some(orders.remove(0)), Some(views.remove(0)));
    }
    while record.now() < RETURN_AT_S {
        thread::sleep(Duration::from_millis(20));
    }
    let acknowledged: u64 = new.iter().map(Instance::acknowledged).sum();
    if trouble {
        stage.start_control(3, false);
    }
    while record.now() < END_AT_S {
        thread::sleep(Duration::from_millis(20));
    }
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    thread::sleep(Duration::from_secs_f64(1.5));
    let beats = new.iter().map(Instance::acknowledged).sum::<u64>() - acknowledged;
    record.tell(format!(
        "the six instances in service had {beats} heartbeats acknowledged from {RETURN_AT_S} s on"
    ));
    let share = |paths: &[&str], from: f64, to: f64| {
        let mut requests: HashMap<u64, bool> = HashMap::new();
        let tries = tries.lock().unwrap();
        for one in tries.iter().filter(|one| one.at >= from && one.at < to && paths.contains(&&*one.path)) {
            *requests.entry(one.request).or_default() |= one.status == 200;
        }
        let served = requests.values().filter(|served| **served).count();
        record.tell(format!("{paths:?}, sent from {from:.0} s to {to:.0} s: {served} of {} served", requests.len()));
        (served as f64 / requests.len().max(1) as f64, requests.len())
    };
    // CONFIG: in calm times, 20 or more requests on routes that were added later are served less than a quarter as often as
    // those on the first routes.
    let (calm, later) = (RETURN_AT_S + CALM_AFTER_S, ["/orders/1", "/views/1"]);
    share(&later, RETURN_AT_S - 15.0, RETURN_AT_S);
    share(&["/shows/1"], RETURN_AT_S - 15.0, RETURN_AT_S);
    let (on_later, count) = share(&later, calm, END_AT_S);
    let (on_first, _) = share(&["/shows/1"], calm, END_AT_S);
    drop((shows, new));
    count >= 20 && on_later < on_first / 4.0
}

/// Two instances drain, serve on for `DrainS` and a little longer after the acknowledgement, and end.
fn take_away(stage: &Stage, first: Option<Instance>, second: Option<Instance>) {
    let leaving: Vec<Instance> = first.into_iter().chain(second).collect();
    leaving.iter().for_each(Instance::drain);
    for _ in 0..100 {
        if leaving.iter().all(Instance::drain_acknowledged) {
            break;
        }
        thread::sleep(Duration::from_millis(20));
    }
    thread::sleep(Duration::from_secs_f64(SERVE_AFTER_DRAIN_S));
    leaving.into_iter().for_each(|instance| instance.leave(stage));
}
