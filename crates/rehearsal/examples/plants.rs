use rehearsal::plant::Planted;
fn main() {
    let mut a = std::env::args().skip(1);
    let from: u64 = a.next().unwrap().parse().unwrap();
    let n: u64 = a.next().unwrap().parse().unwrap();
    let only = a.next();
    for p in Planted::ALL {
        if only.as_deref().is_some_and(|o| o != p.name()) {
            continue;
        }
        let (mut found, mut drawn) = (Vec::new(), 0);
        for seed in from..from + n {
            let day = p.hunted(seed);
            if p.found_on(&day) {
                found.push(seed);
            } else if !day.ok() {
                println!("   {p:?} other {:?}", day.broken[0]);
            }
            if n > 10 && seed % 2 == 0 {
                let day = rehearsal::play::day(seed, Some(p));
                drawn += u32::from(p.found_on(&day));
            }
        }
        let mut gap = 0;
        let mut last = from - 1;
        for f in found.iter().chain([&(from + n)]) {
            gap = gap.max(f - last);
            last = *f;
        }
        println!(
            "{}: hunted {} of {n}, first {:?}, longest wait {gap}; drawn {drawn} of {}",
            p.name(),
            found.len(),
            found.first(),
            n / 2
        );
    }
}
