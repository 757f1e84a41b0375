//! The proof of a fleet: 1, 3, 100 and 300 gateways of the real module in one emulated world, and what they do
//! together, beside the same worlds with gateways that are not told what they need.

use std::io;

use super::{Limit, Proof};
use crate::fleet::{Outcome, World, play};

/// Plays the direction's cases at the sizes that are asked for.
pub fn cases(sizes: &[usize], seed: u64) -> Proof {
    let mut proof = Proof::new("fleet", seed);
    let (mut all, mut told) = (Vec::new(), Vec::new());
    for (number, gateways) in sizes.iter().enumerate() {
        let calm = World::new(*gateways, seed + number as u64);
        let bad = World { bad: true, ..calm.clone() };
        let hard = World { trouble: true, ..calm.clone() };
        let worst = World { uneven: true, trouble: true, ..bad.clone() };
        let mute = World { mute: true, ..worst.clone() };
        let unsized_ = World { size: None, ..worst.clone() };
        let wrong = World { size: Some(gateways * 10), ..worst.clone() };
        let worlds = [&calm, &bad, &hard, &worst, &mute, &unsized_, &wrong].map(play);
        let [calm, bad, hard, worst, ..] = &worlds;
        told.extend([calm, bad, hard, worst].map(Outcome::clone));
        proof.must(!calm.back, format!("{gateways} gateways: a good build stays on a calm day"));
        proof
            .must(bad.back, format!("{gateways} gateways: a build that fails half of its tickets goes back"));
        all.extend(worlds);
    }
    let most = *sizes.iter().max().expect("there are sizes");
    let ours = play(&World { bad: true, ..World::new(most, seed) });
    let before = play(&World { bad: true, told: false, ..World::new(most, seed) });
    all.push(ours.clone());
    let sum = |of: fn(&Outcome) -> usize| all.iter().map(of).sum::<usize>() as f64;
    proof.figure("tickets", sum(|one| one.tickets), Limit::AtLeast(1.0));
    proof.figure("cold_overrun", sum(|one| one.cold_overrun), Limit::Is(0.0));
    proof.figure("exposure_excess", sum(|one| one.exposure_excess), Limit::Is(0.0));
    proof.figure("drain_sends_late", sum(|one| one.drain_sends_late), Limit::Is(0.0));
    proof.figure("answers_missing", sum(|one| one.answers_missing), Limit::Is(0.0));
    proof.figure("answers_twice", sum(|one| one.answers_twice), Limit::Is(0.0));
    // The one stage here is over before machines are old enough to be judged; a release can be taken back.
    // Where messages are lost, or go to gateways that there are not, small gateways see too little in a day.
    let released = told.iter().filter(|one| one.released && one.bad && !one.back).count();
    proof.figure("bad_builds_released", released as f64, Limit::Is(0.0));
    let good_back = all.iter().filter(|one| one.back && !one.bad).count();
    proof.figure("good_builds_back", good_back as f64, Limit::None);
    // Gateways that are not told how many they are can't take turns: those days do not count here.
    let calls = told.iter().map(|one| one.list_calls_peak_ratio).fold(0.0, f64::max);
    proof.figure("calls_peak_ratio", calls, Limit::AtMost(1.5));
    proof.figure("vote_calls_peak_ratio", ours.vote_calls_peak_ratio, Limit::None);
    proof.figure("handshakes_per_ticket", ours.handshakes_per_ticket, Limit::None);
    proof.figure("handshakes_per_ticket_before", before.handshakes_per_ticket, Limit::None);
    let ratio = ours.handshakes_per_ticket / before.handshakes_per_ticket;
    proof.figure("handshakes_ratio", ratio, Limit::AtMost(if most < 100 { 1.1 } else { 0.95 }));
    let [peak, peak_before] = [&ours, &before].map(|one| one.connections_per_server_peak as f64);
    proof.figure("connections_per_server_peak", peak, Limit::AtMost(1.1 * peak_before));
    proof.figure("load_skew", ours.load_skew, Limit::AtMost(1.3));
    proof.figure("load_skew_before", before.load_skew, Limit::None);
    proof.figure("verdict_s", ours.verdict_s, Limit::AtMost(before.verdict_s + 3.0));
    proof.figure("verdict_s_before", before.verdict_s, Limit::None);
    proof.figure("bytes_told_per_ticket", ours.bytes_told_per_ticket, Limit::None);
    proof
}

/// Plays all sizes.
pub fn prove(seed: u64) -> io::Result<Proof> {
    Ok(cases(&[1, 3, 100, 300], seed))
}
