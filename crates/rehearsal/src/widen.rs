//! Widen (days nobody has seen): other deployments, bounds and services, and troubles that meet. Shares are told
//! in docs/simulation.md.

use crate::scenario::{Draw, Harm, Odd, Scenario, What};
use crate::site::{Empty, Kinds, Site};

/// Core machines, and the disks that may be lost at once.
const CORES: [(usize, usize); 8] = [(3, 1), (3, 1), (5, 1), (5, 2), (5, 2), (7, 2), (9, 2), (11, 3)];
const HARMS: [Harm; 8] = [
    Harm::Killed,
    Harm::Dark,
    Harm::Frozen,
    Harm::Cut,
    Harm::Mute,
    Harm::Deaf,
    Harm::DiskFull,
    Harm::DiskHung,
];
const ODD: [Odd; 5] = [Odd::Slow, Odd::Mute, Odd::Grey, Odd::Lying, Odd::Flapping];

/// How many `moment` knows.
pub const MOMENTS: u64 = 16;

/// Changes the shape of a day: one of machines, bounds or services at least.
pub(crate) fn reshaped(day: &mut Scenario, draw: &mut Draw) {
    let what = draw.of(1, 8);
    if what & 1 > 0 {
        machines(day, draw);
    }
    if what & 2 > 0 {
        bounds(&mut day.site, draw);
    }
    if what & 4 > 0 {
        services(day, draw);
    }
}

/// A day of another deployment with troubles of its own.
pub(crate) fn widened(mut day: Scenario, draw: &mut Draw) -> Scenario {
    reshaped(&mut day, draw);
    let last = day.length - 17_000;
    let mut lost = disks_lost(&day);
    for _ in 0..draw.of(0, 7) {
        let at = draw.of(6_000, last);
        let what = trouble(draw, &day);
        day.add(at, what);
    }
    if !draw.one(3) {
        let at = draw.of(6_000, last - 2_500);
        let number = draw.of(0, MOMENTS);
        moment(number, draw, &mut day, at, &mut lost);
    }
    if day.site.instances > 10 {
        // Enough are asked that each version can be judged.
        day.requests = day.requests.max(160);
    }
    // The few instances of one service must be able to carry what is asked: twice over, at 30 ms each.
    let site = &mut day.site;
    let fewest = (0..site.services).map(|service| site.each(service)).min().unwrap_or(1);
    let needed = (day.requests as usize * 60).div_ceil(1_000 * site.services * fewest);
    site.slots = site.slots.max(needed as u32 + 1);
    day.troubles.sort_by_key(|trouble| trouble.at);
    day
}

/// Disks that the day loses already.
fn disks_lost(day: &Scenario) -> usize {
    let lost = |what: &What| {
        matches!(
            what,
            What::Wipe { .. }
                | What::Replace { .. }
                | What::AfterAck { wiped: true, .. }
                | What::AfterAckAll { wiped: true, .. }
        )
    };
    day.troubles.iter().filter(|trouble| lost(&trouble.what)).count()
}

fn machines(day: &mut Scenario, draw: &mut Draw) {
    let (prompters, losses) = CORES[draw.of(0, CORES.len() as u64) as usize];
    // Troubles drawn before name machines by number; any number of a machine is one.
    day.prompters = prompters;
    day.foyers = if day.foyers > 12 { day.foyers } else { draw.of(3, 13) as usize };
    day.site.losses = losses;
    match draw.of(0, 6) {
        0 => day.zones = 1,
        1 | 2 => {
            day.zones = [2, 4, 6][draw.of(0, 3) as usize];
            day.site.regions = 2;
            day.site.far = draw.of(10, 46);
            // Mostly in one, or spread.
            day.site.core_far = (!draw.one(3)).then(|| draw.of(0, prompters.div_ceil(2) as u64) as usize);
        }
        _ => day.zones = draw.of(2, 6) as usize,
    }
    let most = day.machines();
    for trouble in &mut day.troubles {
        match &mut trouble.what {
            What::Link { from, to, .. } => (*from, *to) = (*from % most, *to % most),
            What::Kill { machine, .. }
            | What::Power { machine, .. }
            | What::Wipe { machine, .. }
            | What::Stop { machine, .. }
            | What::Freeze { machine, .. }
            | What::Slow { machine, .. }
            | What::Replace { machine, .. }
            | What::Cut { machine, .. }
            | What::Mute { machine, .. }
            | What::Disk { machine, .. }
            | What::SlowDisk { machine, .. } => *machine %= most,
            _ => {}
        }
    }
}

fn bounds(site: &mut Site, draw: &mut Draw) {
    let mut of = |list: &[u64]| list[draw.of(0, list.len() as u64) as usize];
    site.contact = of(&[2_000, 3_000, 4_000, 6_000]);
    site.apply = of(&[2_000, 2_500, 3_000, 4_000]);
    site.drain = of(&[2_000, 2_500, 3_000, 4_000]);
    site.ack = of(&[4_000, 5_000, 6_000, 8_000]);
    site.grace = of(&[5_000, 6_000, 8_000]);
    site.rollback = of(&[4_000, 5_000, 6_000, 8_000]);
    site.beat = of(&[1_000, 1_500, 2_000, 3_000]);
    site.retry_window = of(&[5_000, 10_000, 20_000]);
    site.retry_ratio = of(&[100, 200, 300]) as f64 / 1_000.0;
    site.retry_slack = of(&[40, 58, 100]) as f64;
    site.exposure_share = of(&[50, 100, 200]) as f64 / 1_000.0;
    site.exposure_slack = of(&[40, 50, 80]) as f64;
}

fn services(day: &mut Scenario, draw: &mut Draw) {
    let site = &mut day.site;
    site.services = [2, 3, 4, 6, 8][draw.of(0, 5) as usize];
    let most = if draw.one(6) { 200 } else { 60 };
    site.instances = draw.of(2, (most / site.services as u64).min(26)) as usize;
    site.slots = draw.of(1, 5) as u32;
    site.kinds =
        [Kinds::Mixed, Kinds::Mixed, Kinds::Safe, Kinds::Unsafe, Kinds::Upload][draw.of(0, 5) as usize];
    site.added = [0, 2, 4][draw.of(0, 3) as usize];
    let service = draw.of(0, site.services as u64) as usize;
    match draw.of(0, 4) {
        0 => site.single = Some(service),
        1 => site.empty = Some(Empty { service, until: draw.of(5_000, 14_000) }),
        _ => {}
    }
    if site.services * site.instances < 16 {
        // The few there are must be able to carry what is asked.
        day.requests = day.requests.min(80);
    }
}

/// One trouble of the kinds that plain days don't have.
pub(crate) fn trouble(draw: &mut Draw, day: &Scenario) -> What {
    let machine = |draw: &mut Draw| draw.of(0, day.machines() as u64) as usize;
    let instance = |draw: &mut Draw| draw.of(0, 400) as usize;
    let service = |draw: &mut Draw| draw.of(0, day.site.services as u64) as usize;
    let span = draw.of(200, 4_500);
    match draw.of(0, 15) {
        0..=2 => What::Leader { how: HARMS[draw.of(0, 8) as usize], span: span.min(4_000) },
        3..=4 => What::OneWay { from: machine(draw), to: machine(draw), span },
        5 => What::Zone { zone: draw.of(0, day.zones as u64) as usize, span },
        6 => What::Region { region: draw.of(0, 2) as usize, span },
        7..=9 => What::Odd { instance: instance(draw), span, how: ODD[draw.of(0, 5) as usize] },
        10 => What::Crowd { service: service(draw), count: draw.of(4, 30) as usize },
        11..=12 => What::Reuse { instance: instance(draw) },
        13 => What::Burst { span: span.min(3_000), times: 3 },
        _ => What::Eager { span },
    }
}

/// Several troubles that meet. `lost` counts the disks that the day loses.
pub(crate) fn moment(number: u64, draw: &mut Draw, day: &mut Scenario, at: u64, lost: &mut usize) {
    let core = day.prompters;
    let first = draw.of(0, core as u64) as usize;
    let nth = |n: usize| (first + n) % core;
    let some = |draw: &mut Draw| draw.of(0, 400) as usize;
    match number {
        0 => {
            // Instances leave while the leader is cut off, deaf or mute.
            let how = [Harm::Cut, Harm::Mute, Harm::Deaf][draw.of(0, 3) as usize];
            for n in 0..8 {
                day.add(at + draw.of(0, 60) * n, What::Drain { instance: some(draw) });
            }
            day.add(at + draw.of(0, 200), What::Leader { how, span: draw.of(300, 4_000) });
        }
        1 => {
            // The core is replaced one after the other while a version is on trial.
            // Nothing else befalls that day, as a machine counts as lost until it has caught up.
            day.troubles.retain(|trouble| !trouble.faulty());
            *lost = 0;
            let many = core.min(3);
            day.length += 6_500 * many as u64;
            let (service, bad) = (draw.of(0, day.site.services as u64) as usize, draw.one(2));
            day.add(at, What::Rollout { service, bad, period: 11_000 });
            day.requests = day.requests.max(160);
            for n in 0..many {
                *lost += 1;
                let when = at + 200 + 6_500 * n as u64;
                day.add(when, What::Replace { machine: nth(n), back: draw.of(100, 1_500) });
                day.add(when + draw.of(0, 800), What::Change);
            }
        }
        2 => {
            // Two operators race while the seeds change and the leader goes.
            let how = HARMS[draw.of(0, 8) as usize];
            day.add(at, What::Race);
            day.add(at + draw.of(0, 10), What::Seeds { shift: draw.of(1, core as u64) as usize });
            day.add(at + draw.of(0, 30), What::Leader { how, span: draw.of(100, 2_500) });
            day.add(at + draw.of(0, 30), What::Race);
            day.add(at + draw.of(0, 60), What::Seeds { shift: draw.of(1, core as u64) as usize });
        }
        3 => {
            // One is replaced while another one stands still.
            day.add(at, What::Freeze { machine: nth(1), span: draw.of(1_000, 4_000) });
            if *lost < day.site.losses {
                *lost += 1;
                day.add(at + draw.of(0, 400), What::Replace { machine: nth(0), back: draw.of(50, 2_000) });
            }
            day.add(at + draw.of(0, 800), What::Change);
            day.add(at + draw.of(500, 4_500), What::Race);
        }
        4 => {
            // The leader stands still with reads and orders in hand, and wakes in a newer term.
            day.add(at + 5, What::Leader { how: Harm::Frozen, span: draw.of(700, 3_500) });
            for n in 0..12 {
                let what = if draw.one(3) { What::Race } else { What::Change };
                day.add(at + n, what);
            }
            day.add(at + draw.of(1_000, 3_000), What::Change);
            day.add(at + draw.of(1_000, 4_000), What::Change);
        }
        5 => {
            // A zone goes and comes back while all is at work.
            day.add(
                at,
                What::Zone { zone: draw.of(0, day.zones as u64) as usize, span: draw.of(500, 4_500) },
            );
            at_work(draw, day, at);
        }
        6 => {
            // A region goes; as it is back, the core is killed.
            let span = draw.of(500, 4_000);
            day.add(at, What::Region { region: draw.of(0, 2) as usize, span });
            at_work(draw, day, at);
            let when = at + span + draw.of(0, 600) - 300;
            day.add(when, What::HerdCore { power: draw.one(2), back: draw.of(50, 700) });
        }
        7 => {
            // Single directions are lost all over the core.
            for _ in 0..core {
                let (from, to) = (draw.of(0, core as u64) as usize, draw.of(0, core as u64) as usize);
                day.add(
                    at + draw.of(0, 600),
                    What::OneWay {
                        from,
                        to: if from == to { nth(1) } else { to },
                        span: draw.of(300, 3_000),
                    },
                );
            }
            day.add(at + 100, What::Leader { how: Harm::Deaf, span: draw.of(300, 2_500) });
            at_work(draw, day, at);
        }
        8 => {
            // The leader's disk is full, or hangs, while two race.
            let how = if draw.one(2) { Harm::DiskFull } else { Harm::DiskHung };
            day.add(at, What::Leader { how, span: draw.of(300, 4_000) });
            for n in 0..3 {
                day.add(at + draw.of(0, 40) + 300 * n, What::Race);
            }
            day.add(at + draw.of(0, 1_200), What::AfterAck { wiped: false, back: draw.of(50, 800) });
        }
        9 => {
            // The core is killed while a version is on trial.
            let (service, bad) = (draw.of(0, day.site.services as u64) as usize, !draw.one(3));
            day.requests = day.requests.max(160);
            day.add(at, What::Rollout { service, bad, period: 11_000 });
            for _ in 0..draw.of(1, 4) {
                day.add(
                    at + draw.of(100, 4_000),
                    What::HerdCore { power: draw.one(2), back: draw.of(50, 800) },
                );
            }
        }
        10 => {
            // A crowd of cold ones comes, others flap, and addresses change hands at once.
            let service = draw.of(0, day.site.services as u64) as usize;
            day.add(at, What::Crowd { service, count: draw.of(10, 40) as usize });
            for _ in 0..4 {
                let span = draw.of(1_000, 4_000);
                day.add(at + draw.of(0, 500), What::Odd { instance: some(draw), span, how: Odd::Flapping });
                day.add(at + draw.of(0, 2_000), What::Reuse { instance: some(draw) });
            }
        }
        11 => {
            // Clients press and don't wait while instances are odd.
            day.add(at, What::Burst { span: 3_000, times: 3 });
            day.add(at, What::Eager { span: draw.of(1_000, 5_000) });
            for _ in 0..draw.of(2, 8) {
                let (span, how) = (draw.of(1_000, 4_500), ODD[draw.of(0, 4) as usize]);
                day.add(at + draw.of(0, 800), What::Odd { instance: some(draw), span, how });
            }
        }
        12 => {
            // Who acknowledges loses power, the next leader stands still, and the first is back.
            let wiped = *lost < day.site.losses;
            *lost += usize::from(wiped);
            day.add(at, What::AfterAck { wiped, back: draw.of(50, 1_000) });
            day.add(at + 10, What::Race);
            day.add(at + draw.of(900, 2_000), What::Leader { how: Harm::Frozen, span: draw.of(500, 2_500) });
            day.add(at + draw.of(900, 3_000), What::Change);
        }
        13 => {
            // Foyers are stopped in order one after the other, with requests in hand and changes under way.
            for n in 0..day.foyers.min(4) {
                let machine = core + (first + n) % day.foyers;
                day.add(at + 700 * n as u64, What::Stop { machine, back: draw.of(50, 500) });
                day.add(at + 700 * n as u64 + draw.of(0, 300), What::Change);
            }
        }
        14 => {
            // As many disks as may be lost, at once with all power, right after an acknowledgement.
            let more = day.site.losses.saturating_sub(*lost);
            for n in 0..more.saturating_sub(1) {
                day.add(at + 330, What::Wipe { machine: nth(n), back: draw.of(50, 900) });
            }
            day.add(at + 300, What::AfterAckAll { wiped: more > 0, back: draw.of(50, 800) });
            day.add(at + 310, What::Change);
            *lost += more;
        }
        _ => {
            // The leader goes again and again, each time another way, while orders come.
            for n in 0..6 {
                let how = HARMS[draw.of(0, 8) as usize];
                day.add(at + n * 900, What::Leader { how, span: draw.of(100, 1_200) });
                day.add(at + n * 900 + draw.of(0, 900), if draw.one(2) { What::Race } else { What::Change });
            }
        }
    }
}

/// What operators and instances do meanwhile.
fn at_work(draw: &mut Draw, day: &mut Scenario, at: u64) {
    for n in 0..6 {
        let what = match draw.of(0, 4) {
            0 => What::Race,
            1 => What::Change,
            _ => What::Drain { instance: draw.of(0, 400) as usize },
        };
        day.add(at + n * 500 + draw.of(0, 500), what);
    }
}
