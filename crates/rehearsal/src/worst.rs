//! Worst (moments of control): for each of the five points of docs/control.md the troubles that bring it about.

use oorandom::Rand64;

use crate::scenario::{Draw, Harm, MOMENTS as PLAIN, Odd, Scenario, Way, What};
use crate::widen;

/// How many `moment` knows.
pub const MOMENTS: u64 = 15;

/// The day's shape: core machines and foyers.
const SHAPES: [(usize, usize); 4] = [(5, 5), (3, 4), (5, 10), (7, 6)];

/// A drawn day of control: one of its worst moments on one of a few shapes, with daily work and a light trouble or
/// two beside it.
pub fn drawn(seed: u64) -> Scenario {
    let mut draw = Draw(Rand64::new(u128::from(seed) ^ 0x60a1_5e77));
    let number = draw.of(0, MOMENTS);
    let mut day = Scenario { foyers: 5, length: 24_000, ..Scenario::calm() };
    if draw.one(2) {
        (day.prompters, day.foyers) = SHAPES[draw.of(0, SHAPES.len() as u64) as usize];
    }
    day.lost = draw.of(0, 12) as u32;
    let at = draw.of(6_000, 8_000);
    moment(number, &mut draw, &mut day, at);
    for _ in 0..draw.of(0, 6) {
        let at = draw.of(5_000, day.length - 5_000);
        let what = match draw.of(0, 8) {
            0 => What::Race,
            1 => What::Modify,
            2 => What::Again,
            3 => What::Invalid { kind: draw.of(0, 8) as u32 },
            4 => What::Crash { instance: some(&mut draw) },
            _ => What::Drain { instance: some(&mut draw) },
        };
        day.add(at, what);
    }
    day.troubles.sort_by_key(|trouble| trouble.at);
    day
}

/// The number by which `Scenario::moment` knows one of these.
pub fn numbered(number: u64) -> u64 {
    PLAIN + widen::MOMENTS + number
}

fn some(draw: &mut Draw) -> usize {
    draw.of(0, 400) as usize
}

fn way(draw: &mut Draw) -> Way {
    [Way::Both, Way::Both, Way::In, Way::Out][draw.of(0, 4) as usize]
}

/// Several troubles that meet where they hurt most. At most one disk is lost at once, and the next one not before
/// the first has come back for longer than `CatchUpS`.
pub(crate) fn moment(number: u64, draw: &mut Draw, day: &mut Scenario, at: u64) {
    let core = day.prompters;
    let first = draw.of(0, core as u64) as usize;
    let nth = |n: usize| (first + n) % core;
    let few = (core - 1) / 2;
    match number {
        0 => {
            // The leader is cut off from the core, and operators still reach it.
            let span = draw.of(4_000, 9_000);
            day.length = at + span + 14_000;
            day.add(at, What::Leader { how: Harm::Apart, span });
            for _ in 0..4 {
                day.add(at + draw.of(0, 600), What::Change);
            }
            for n in 0..20 {
                day.add(at + 800 + n * span / 22, if draw.one(6) { What::Race } else { What::Change });
            }
        }
        1 => {
            // A foyer starts beside a core machine that is cut off, and changes have come since.
            let span = draw.of(8_000, 12_000);
            day.length = at + span + 14_000;
            let foyer = draw.of(0, day.foyers as u64) as usize;
            day.add(at, What::Island { core: draw.of(0, 3.min(core as u64)) as usize, foyer, span });
            for n in 0..4 {
                day.add(at + 300 + n * 900, What::Change);
            }
            let machine = core + foyer;
            day.add(at + 4_600 + draw.of(0, 400), What::Kill { machine, back: draw.of(50, 400) });
            day.add(at + 6_500, What::Kill { machine, back: draw.of(50, 400) });
        }
        2 => {
            // Instances leave while as many core machines as can be spared are cut off.
            let span = draw.of(4_000, 8_000);
            day.length = at + span + 14_000;
            day.requests = 240;
            day.add(at, What::Linger { span: span + 2_000 });
            let foyer = draw.of(0, day.foyers as u64) as usize;
            day.add(at, What::Island { core: nth(0), foyer, span });
            for n in 1..few {
                day.add(at + draw.of(0, 200), What::CoreCut { machine: nth(n), span, how: way(draw) });
            }
            for n in 0..14 {
                day.add(at + 300 + n * span / 20, What::Drain { instance: some(draw) });
            }
        }
        3 => {
            // Many changes, acknowledgements lost, and repeats of what was taken long ago.
            day.length = 28_000;
            day.add(at, What::AckLost { span: 4_000, share: draw.of(300, 800) as u32 });
            for n in 0..24 {
                day.add(at + n * 200 + draw.of(0, 80), if draw.one(4) { What::Modify } else { What::Change });
            }
            for n in 0..8 {
                let back = draw.of(2, 20) as usize;
                day.add(at + 3_500 + n * 400, What::AgainOld { back });
            }
        }
        4 => {
            // A short roll-out ends, a later one of its service is on trial or ends too, and within `AckS` of the first
            // order, for which callers may repeat one, that comes again.
            (day.length, day.requests, day.site.ack) = (34_000, 200, 10_000);
            let service = draw.of(0, day.site.services as u64) as usize;
            day.add(at, What::Rollout { service, bad: false, period: 1_200 });
            let next = if draw.one(2) { 1_000 } else { 9_000 };
            day.add(at + 6_500, What::Rollout { service, bad: false, period: next });
            if draw.one(2) {
                day.add(at + 6_900 + draw.of(0, 300), What::Leader { how: Harm::Killed, span: 300 });
            }
            day.add(at + 7_300 + draw.of(0, 600), What::RolloutAgain { back: 1 });
            day.add(at + 8_400 + draw.of(0, 1_000), What::RolloutAgain { back: 1 });
            day.add(at + 9_500, What::RolloutAgain { back: 0 });
        }
        5 => {
            // One disk after the other is lost, each after the one before has had its time, and one more machine.
            day.prompters = 3;
            let nth = |n: usize| (first + n) % 3;
            day.length = at + 38_000;
            for (n, back) in [(0, draw.of(100, 800)), (1, draw.of(100, 800))] {
                let when = at + 11_000 * n as u64;
                if draw.one(3) {
                    day.add(when, What::Planned { machine: nth(n), after: 6_000 });
                } else {
                    day.add(when, What::Wipe { machine: nth(n), back });
                }
                day.add(when + draw.of(0, 1_500), What::Change);
            }
            day.add(at + 20_500, What::Kill { machine: nth(2), back: draw.of(100, 2_000) });
        }
        6 => {
            // Who has a new disk is needed: another is away as a change is acknowledged, all lose power, and the
            // third one is late.
            day.prompters = 3;
            let nth = |n: usize| (first + n) % 3;
            day.length = 30_000;
            day.add(at, What::Wipe { machine: nth(0), back: draw.of(100, 400) });
            day.add(at + 700, What::Change);
            let away = at + 5_500 + draw.of(0, 2_000);
            let back = draw.of(50, 300);
            day.add(away, What::CoreCut { machine: nth(1), span: 2_200, how: Way::Both });
            day.add(away + 1_200, What::AfterAckAll { wiped: false, back });
            day.add(away + 1_210, What::Change);
            day.add(away + 1_450 + back, What::Power { machine: nth(2), back: draw.of(2_000, 3_500) });
        }
        7 => {
            // Large states and many changes; one is away, or behind a narrow link, and then all of the core is killed.
            day.routes = 1_000;
            day.foyers = 3;
            day.length = 30_000;
            for n in 0..40 {
                day.add(at + n * 150, What::Change);
            }
            day.add(at + 500, What::Kill { machine: nth(0), back: draw.of(1_500, 3_000) });
            if draw.one(2) {
                day.add(at, What::Narrow { machine: nth(0), span: 6_000, kbit: 6_000 });
            }
            let power = draw.one(2);
            day.add(at + draw.of(5_000, 7_000), What::HerdCore { power, back: draw.of(50, 600) });
            if draw.one(2) {
                day.add(at + 8_500, What::Wipe { machine: nth(1), back: draw.of(100, 600) });
            }
        }
        8 => {
            // Two of the first voters are away as changes are acknowledged, and then all lose power.
            day.length = 26_000;
            for machine in 0..few.min(2) {
                day.add(at, What::CoreCut { machine, span: 2_600, how: Way::Both });
            }
            day.add(at + 1_100, What::Change);
            day.add(at + 1_500, What::AfterAckAll { wiped: false, back: draw.of(50, 800) });
            day.add(at + 1_510, What::Change);
        }
        9 => {
            // Instances are slow or lose answers, and foyers end again and again with requests in hand.
            day.requests = 320;
            day.length = 26_000;
            for _ in 0..6 {
                let how = if draw.one(6) { Odd::Mute } else { Odd::Slow };
                day.add(at + draw.of(0, 500), What::Odd { instance: some(draw), span: 4_500, how });
            }
            let service = draw.of(0, 4) as usize;
            day.add(at, What::Sick { service, span: 4_000, lost: draw.of(100, 400) as u32, error: 0 });
            for n in 0..12 {
                let machine = core + draw.of(0, 2) as usize;
                day.add(at + 400 * n + draw.of(0, 100), What::Kill { machine, back: draw.of(10, 60) });
            }
            day.add(at + 1_000, What::Eager { span: 3_000 });
        }
        10 => {
            // Machines are replaced in order, each new one first, while changes come; then one loses power.
            day.length = at + 30_000;
            for n in 0..2 {
                let when = at + 6_500 * n as u64;
                let after = draw.of(500, 4_000);
                day.add(when, What::Planned { machine: nth(n), after });
                for _ in 0..4 {
                    day.add(when + draw.of(0, 5_000), What::Change);
                }
                day.add(when + after + draw.of(0, 1_700), What::Drain { instance: some(draw) });
            }
            day.add(at + 13_000, What::Leader { how: Harm::Dark, span: draw.of(100, 1_500) });
            day.add(at + 13_000 + draw.of(0, 1_000), What::Race);
        }
        11 => {
            // A change is sent, and 5 to 400 ms later the leader, or all, lose power; eight are under way.
            day.length = 30_000;
            for n in 0..3 {
                let when = at + 2_500 * n;
                day.add(when, What::Rivals { count: 8 });
                let late = draw.of(5, 400);
                let back = draw.of(50, 800);
                if draw.one(2) {
                    day.add(when + late, What::HerdAll { power: true, back });
                } else {
                    day.add(when + late, What::Leader { how: Harm::Dark, span: back });
                }
            }
            day.add(at, What::AckLost { span: 7_000, share: draw.of(100, 700) as u32 });
        }
        12 => {
            // A day of hundreds of changes, several under way, while the core is cut here and there.
            day.length = 60_000;
            for n in 0..300 {
                let what = if draw.one(8) { What::Race } else { What::Change };
                day.add(at + n * 110 + draw.of(0, 60), what);
            }
            for n in 0..4 {
                let (machine, how) = (nth(n), way(draw));
                day.add(at + 8_000 * n as u64, What::CoreCut { machine, span: draw.of(1_000, 6_000), how });
            }
            for n in 0..10 {
                day.add(at + 5_000 + n * 2_500, What::AgainOld { back: draw.of(1, 150) as usize });
            }
        }
        13 => {
            // One is away as a change is acknowledged; all lose power and one of the others its disk, and one is late.
            day.prompters = 3;
            let nth = |n: usize| (first + n) % 3;
            day.length = 28_000;
            let back = draw.of(50, 300);
            day.add(at, What::CoreCut { machine: nth(1), span: 2_200, how: Way::Both });
            day.add(at + 1_200, What::AfterAckAll { wiped: true, back });
            day.add(at + 1_210, What::Change);
            day.add(at + 1_650 + back, What::Power { machine: nth(2), back: draw.of(2_000, 3_500) });
        }
        _ => {
            // A disk is lost as the leader changes and another member is away; later one more.
            day.length = at + 32_000;
            day.add(at, What::Wipe { machine: nth(0), back: draw.of(50, 600) });
            day.add(at + draw.of(0, 900), What::Leader { how: Harm::Killed, span: draw.of(50, 300) });
            for _ in 0..4 {
                day.add(at + draw.of(0, 2_500), What::Change);
            }
            day.add(at + 10_500, What::AfterAck { wiped: true, back: draw.of(50, 600) });
            day.add(at + 10_510, What::Change);
            day.add(at + 11_200 + draw.of(0, 900), What::Race);
        }
    }
}
