//! Stragglers of each kind in an emulated fleet, against baselines: `cargo run --release -p intent --example
//! fleet -- SEEDS [GATEWAYS...]` prints the tables of `docs/intent.md`.

mod world;

use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

use world::{Figures, Kind, Plan, Way, run};

/// Sums over seeds from 1 on, on all processors.
fn seeds(count: u64, plan: &(dyn Fn(u64) -> Plan + Sync)) -> Figures {
    let (next, sum) = (AtomicU64::new(1), Mutex::new(Figures::default()));
    std::thread::scope(|scope| {
        for _ in 0..std::thread::available_parallelism().map_or(1, usize::from) {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed > count {
                        return;
                    }
                    let one = run(plan(seed));
                    let mut sum = sum.lock().expect("no thread panics while it holds this");
                    sum.stragglers += one.stragglers;
                    sum.caught_first += one.caught_first;
                    sum.caught += one.caught;
                    sum.catch_time += one.catch_time;
                    sum.back += one.back;
                    sum.false_accused += one.false_accused;
                    sum.false_withdrawn += one.false_withdrawn;
                    sum.most_out = sum.most_out.max(one.most_out);
                    sum.bytes_node_s += one.bytes_node_s / count as f64;
                    sum.looks_node_s += one.looks_node_s / count as f64;
                }
            });
        }
    });
    sum.into_inner().expect("no thread panics while it holds this")
}

fn main() {
    let numbers: Vec<u64> = std::env::args().skip(1).filter_map(|word| word.parse().ok()).collect();
    let count = numbers.first().copied().unwrap_or(10);
    let sizes = if numbers.len() > 1 { &numbers[1..] } else { &[10, 60, 300][..] };
    let part = |one: usize, all: usize| one as f64 / all.max(1) as f64;
    let seconds = 26;
    println!(
        "gateways kind stragglers way | caught first, caught, mean s, back | false: told, out | most out, B/s, looks/s"
    );
    for gateways in sizes.iter().map(|size| *size as usize) {
        for kind in Kind::ALL {
            for stragglers in [1, gateways / 10, gateways / 3] {
                for way in [Way::Whole, Way::Trust, Way::Versions, Way::Poll] {
                    if stragglers < 1
                        || (way != Way::Whole && stragglers != 1)
                        || (gateways == 10 && stragglers == gateways / 10 && way != Way::Whole)
                    {
                        continue;
                    }
                    let plan = |seed| Plan { seed, gateways, stragglers, kind, way, rough: false, seconds };
                    let it = seeds(count, &plan);
                    println!(
                        "{gateways:4} {kind:14?} {stragglers:4} {way:9?} | {:.3} {:.3} {:.2} {:.3} | {} {} | {} {:.0} {:.3}",
                        part(it.caught_first, it.stragglers),
                        part(it.caught, it.stragglers),
                        it.catch_time / it.caught.max(1) as f64,
                        part(it.back, it.stragglers),
                        it.false_accused,
                        it.false_withdrawn,
                        it.most_out,
                        it.bytes_node_s,
                        it.looks_node_s
                    );
                }
            }
        }
        for (name, rough) in [("calm", false), ("rough", true)] {
            let kind = Kind::NotApplied;
            let plan =
                |seed| Plan { seed, gateways, stragglers: 0, kind, way: Way::Whole, rough, seconds: 60 };
            let it = seeds(count, &plan);
            println!(
                "{gateways:4} {name:14} none: false: told {} of {}, withdrawn {} | {:.0} B/s {:.3} looks/s",
                it.false_accused,
                gateways as u64 * count,
                it.false_withdrawn,
                it.bytes_node_s,
                it.looks_node_s
            );
        }
    }
}
