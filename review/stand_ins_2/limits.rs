//! The operator allows longer heads; clients that keep their connections use them.

use std::net::TcpStream;
use std::sync::{Arc, Barrier, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use std::io::Write;

use crate::stage::*;

const CONFIG_APPLY_S: f64 = 2.5;
const OLD_MAX_HEADER_BYTES: u32 = 4_096;
const NEW_MAX_HEADER_BYTES: u32 = 16_384;
/// Of the one long header; the head stays well below `NEW_MAX_HEADER_BYTES`.
const LONG_HEADER_BYTES: usize = 6_000;
const CLIENTS: usize = 20;

pub fn play(record: &Record, trouble: bool) -> bool {
    let mut stage = Stage::new(record, 3);
    stage.start_all(2);
    let entries = [route("orders", "shop.example", "/orders/", "unsafe", "orderdesk", 1.2), service("orderdesk")];
    // Without the change, the newer limit is there from the beginning.
    let first = if trouble { OLD_MAX_HEADER_BYTES } else { NEW_MAX_HEADER_BYTES };
    let text = configuration_with(1, &entries, &limits(first));
    let answer = stage.operate("POST", "/api/Configuration.Replace", Some("0"), &text, 10.0);
    if answer.is_none_or(|answer| answer.status != 200) {
        give_up("the first configuration is not acknowledged");
    }
    let runs = Runs::default();
    let instances: Vec<Instance> =
        (1..=3).map(|number| Instance::start(&stage, &runs, "orderdesk", "v1", number, 20)).collect();
    (1..=2).for_each(|gateway| stage.wait_ready(gateway, 15.0));
    // Over `ContactS`: the machines are in touch.
    thread::sleep(Duration::from_secs_f64(4.0));
    let (changed, results) = (Arc::new(Barrier::new(CLIENTS + 1)), Arc::<Mutex<Vec<(u16, u16)>>>::default());
    let all = Arc::new(std::sync::atomic::AtomicU64::new(0));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (front, record) = (stage.frontend(1 + number % 2), record.clone());
            let (changed, results, all) = (changed.clone(), results.clone(), all.clone());
            thread::spawn(move || {
                let mut line = TcpStream::connect(front).ok();
                // Used all the time, so that it is never idle for long.
                for turn in 0..12 {
                    let status = send(&mut line, "", &record, number);
                    all.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                    if status != 200 {
                        record.tell(format!("client {number}: {status} in turn {turn}"));
                    }
                    if turn == 3 {
                        changed.wait();
                    }
                    thread::sleep(Duration::from_millis(500));
                }
                let long = format!("Guest-Book: {}\r\n", "g".repeat(LONG_HEADER_BYTES));
                let kept = send(&mut line, &long, &record, number);
                let mut other = TcpStream::connect(front).ok();
                let new = send(&mut other, &long, &record, number);
                all.fetch_add(2, std::sync::atomic::Ordering::Relaxed);
                results.lock().unwrap().push((kept, new));
            })
        })
        .collect();
    changed.wait();
    if trouble {
        let text = format!(
            "{{\"ConfigVersion\":\"00000002\",\"Upsert\":{{\"ResourceSet\":[{}]}}}}",
            limits(NEW_MAX_HEADER_BYTES)
        );
        let answer = stage.operate("POST", "/api/Configuration.Modify", Some("00000001"), &text, 1.0);
        if answer.is_none_or(|answer| answer.status != 200) {
            give_up("the change is not acknowledged at once");
        }
        record.tell("the change to 16384 bytes is acknowledged");
    }
    let acknowledged = Instant::now();
    for client in clients {
        let _ = client.join();
    }
    if acknowledged.elapsed() < Duration::from_secs_f64(CONFIG_APPLY_S + 1.0) {
        give_up("the clients were too early");
    }
    let results = results.lock().unwrap();
    let denied = results.iter().filter(|(kept, _)| (400..500).contains(kept)).count();
    let new = results.iter().filter(|(_, new)| *new == 200).count();
    let all = all.load(std::sync::atomic::Ordering::Relaxed) as usize;
    record.tell(format!(
        "of {CLIENTS} requests with a long head on connections that were kept, {denied} were ended with a 4xx of the gateway; \
         of as many on new connections, {new} were served; {all} requests in all"
    ));
    drop(instances);
    // DENIED: more than 5 + one in 500 of all requests.
    denied > 5 + all / 500
}

/// Sends an order on a connection and returns the answer's status; 0 without an answer.
fn send(line: &mut Option<TcpStream>, more: &str, record: &Record, number: usize) -> u16 {
    let Some(stream) = line else { return 0 };
    let attempt = new_attempt();
    let request = format!(
        "POST /orders/1 HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {attempt}\r\nRemaining-Time: 1200\r\n\
         Content-Length: 0\r\n{more}\r\n"
    );
    let until = Instant::now() + Duration::from_millis(1_500);
    let sent = stream.write_all(request.as_bytes());
    let answer = sent.ok().and_then(|()| read_answer(stream, &mut Vec::new(), until));
    let status = answer.map_or(0, |answer| answer.status);
    record.add(format!("client {number}: {attempt}, head of {} bytes: {status}", request.len()));
    status
}
