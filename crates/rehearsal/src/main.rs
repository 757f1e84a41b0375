//! `playhouse-rehearse`: plays days of the whole system in simulated time.
use rehearsal::plant::Planted;
fn main() {
    let mut args = std::env::args().skip(1);
    let from: u64 = args.next().and_then(|a| a.parse().ok()).unwrap_or(1);
    let n: u64 = args.next().and_then(|a| a.parse().ok()).unwrap_or(10);
    let which = args.next();
    if which.as_deref() == Some("all") {
        for p in Planted::ALL {
            let mut found = Vec::new();
            for seed in from..from + n {
                let day = rehearsal::play::day(seed, Some(p));
                if let Some(b) = day.broken.iter().find(|b| p.breaks().contains(&b.rule)) {
                    found.push((seed, b.rule));
                } else if !day.ok() {
                    println!("   {p:?} other {:?}", day.broken[0]);
                }
            }
            println!("{p:?}: {} of {n}, first {:?}", found.len(), found.first());
        }
        return;
    }
    let p = which.and_then(|w| Planted::ALL.into_iter().find(|p| p.name() == w));
    for seed in from..from + n {
        let day = rehearsal::play::day(seed, p);
        if !day.ok() || n < 30 {
            println!("{}", day.line());
        }
        for b in &day.broken {
            println!("   {:?} {} {}", b.rule, b.at, b.what);
        }
    }
}
