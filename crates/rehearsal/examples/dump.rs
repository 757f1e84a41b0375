use rehearsal::seen::What::*;
fn main() {
    let seed: u64 = std::env::args().nth(1).unwrap().parse().unwrap();
    let day = rehearsal::play::day(seed, None);
    println!("{}", day.line());
    println!("{}", day.scenario.written());
    for s in &day.log {
        match &s.what {
            Asked { .. } | Handled { .. } | Answered { .. } | Arrived { .. } | Ran { .. } => {}
            w => println!("{:.3} {:?}", s.at as f64 / 1e6, w),
        }
    }
    println!("{}", day.rings);
}
