use rehearsal::seen::What::*;
fn main() {
    for seed in std::env::args().skip(1) {
        let seed: u64 = seed.parse().unwrap();
        let day = rehearsal::play::day(seed, None);
        let (mut n, mut b, mut bad, mut sv) = (0, 0, 0, 99);
        for s in &day.log {
            match &s.what {
                Ordered { service, .. } => sv = *service,
                Ran { service, version, .. } if *service == sv => {
                    if *version > 1 {
                        n += 1
                    } else {
                        b += 1
                    }
                }
                BadAnswer { .. } => bad += 1,
                Ended { completed, .. } => {
                    println!("{seed} {completed}: trial {n} base {b} bad {bad} at {}", s.at)
                }
                _ => {}
            }
        }
    }
}
