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

/// What the digests cost, in nanoseconds a route.
fn cost() {
    let texts = world::texts(&mut oorandom::Rand64::new(1), 2);
    let (intent, next) = (&texts[0].intent, &texts[1].intent);
    let (routes, rounds) = (intent.routes().len(), 20_000);
    let each = |began: std::time::Instant| began.elapsed().as_nanos() as f64 / (rounds * routes) as f64;
    let began = std::time::Instant::now();
    let sum = (0..rounds as u64).fold(0u32, |sum, nonce| sum ^ intent.salted(nonce)[0]);
    println!("salted: {:.0} ns a route (check {sum:x})", each(began));
    let began = std::time::Instant::now();
    let rows = (0..rounds).map(|_| std::hint::black_box(intent).replaced_by(next).len()).sum::<usize>();
    println!("compared: {:.0} ns a route ({} rows replaced)", each(began), rows / rounds);
}

fn main() {
    // One run, line by line: `TELL=1 fleet one SEED GATEWAYS STRAGGLERS KIND ROUGH`.
    let words: Vec<String> = std::env::args().skip(1).collect();
    if let [one, rest @ ..] = &words[..]
        && one == "one"
    {
        let number = |at: usize| rest.get(at).and_then(|word| word.parse::<usize>().ok()).unwrap_or(1);
        let kind = Kind::ALL[number(3) % Kind::ALL.len()];
        let (seed, gateways, stragglers) = (number(0) as u64, number(1), number(2));
        let (rough, way) = (number(4) >= 2, Way::Whole);
        let (frozen, seconds) = (number(4) == 3, if stragglers == 0 { 60 } else { 26 });
        println!("{:?}", run(Plan { seed, gateways, stragglers, kind, way, rough, frozen, seconds }));
        return;
    }
    if words.first().is_some_and(|word| word == "cost") {
        return cost();
    }
    let numbers: Vec<u64> = std::env::args().skip(1).filter_map(|word| word.parse().ok()).collect();
    let count = numbers.first().copied().unwrap_or(10);
    let sizes = if numbers.len() > 1 { &numbers[1..] } else { &[10, 60, 300][..] };
    let part = |one: usize, all: usize| one as f64 / all.max(1) as f64;
    let seconds = 26;
    println!(
        "gateways kind stragglers way day | caught first, caught, mean s, back | \
         false: told, out | most out, B/s, looks/s"
    );
    for gateways in sizes.iter().map(|size| *size as usize) {
        for kind in Kind::ALL {
            let calm = |stragglers| (stragglers, Way::Whole, (false, false));
            let mut plans = vec![calm(1), calm(gateways / 3)];
            if gateways / 10 > 1 {
                plans.push(calm(gateways / 10));
            }
            plans.extend([false, true].map(|frozen| (1, Way::Whole, (true, frozen))));
            plans.extend([Way::Trust, Way::Versions, Way::Poll].map(|way| (1, way, (false, false))));
            for (stragglers, way, (rough, frozen)) in plans {
                let plan = |seed| Plan { seed, gateways, stragglers, kind, way, rough, frozen, seconds };
                let it = seeds(count, &plan);
                let day = if frozen {
                    "frozen"
                } else if rough {
                    "rough"
                } else {
                    "calm"
                };
                println!(
                    "{gateways:4} {kind:13?} {stragglers:4} {way:9?} {day:6} | {:.4} {:.4} {:.2} {:.3} \
                     | {} {} | {} {:.0} {:.2}",
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
        for (name, rough) in [("calm", false), ("rough", true)] {
            let kind = Kind::NotApplied;
            let plan = |seed| Plan {
                seed,
                gateways,
                stragglers: 0,
                kind,
                way: Way::Whole,
                rough,
                frozen: rough,
                seconds: 60,
            };
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
