//! Nodes whose views of who is up differ: a follower in touch with the hubs holds each command in time, whoever holds whom
//! up, and also where a hub that is up gets no commands itself.

mod common;

use common::World;
use oorandom::Rand64;
use types::{MS, Micros, SECOND};

const HUBS: usize = 11;
const FOLLOWERS: usize = 59;
const COMMANDS: usize = 60;
/// Most that a command may take to all, of the 2.5 s of `ConfigApplyS`; the rest is the acknowledgement's.
const IN_TIME: Micros = 2 * SECOND;
/// Calm after a command.
const CALM: Micros = 4 * SECOND;
const LOSSES: [f64; 2] = [0.2, 0.35];
const SEEDS: u64 = 2;

fn followers() -> std::ops::RangeInclusive<usize> {
    HUBS + 1..=HUBS + FOLLOWERS
}

/// Plays commands, told to some hubs, each after a change of the views; the times until all held them, longest last.
fn times(seed: u64, loss: f64, told: &[usize], views: impl Fn(&mut World, &mut Rand64)) -> Vec<Micros> {
    let mut world = World::with_streams(seed, loss, HUBS, FOLLOWERS);
    let mut rand = Rand64::new(u128::from(seed) + 77);
    let mut times = Vec::new();
    for _ in 0..COMMANDS {
        world.unseen.clear();
        views(&mut world, &mut rand);
        world.tell_peers();
        world.run(CALM);
        world.commit(300, told);
        times.push(world.until_level(20 * SECOND));
    }
    times.sort_unstable();
    times
}

fn in_time(told: &[usize], views: impl Fn(&mut World, &mut Rand64) + Copy) {
    let mut late = Vec::new();
    for loss in LOSSES {
        for seed in 1..=SEEDS {
            let times = times(seed, loss, told, views);
            let over = times.iter().filter(|time| **time > IN_TIME).count();
            let (median, worst) = (times[times.len() / 2] / MS, times[times.len() - 1] / MS);
            let line = format!("loss {loss} seed {seed}: median {median} ms, worst {worst} ms, {over} late");
            println!("{line}");
            late.extend((over > 0).then_some(line));
        }
    }
    assert!(late.is_empty(), "{}", late.join("\n"));
}

fn drawn(rand: &mut Rand64, among: std::ops::RangeInclusive<usize>) -> usize {
    rand.rand_range(*among.start() as u64..*among.end() as u64 + 1) as usize
}

#[test]
fn followers_that_single_hubs_hold_dead_get_commands_in_time() {
    let all: Vec<usize> = (1..=HUBS).collect();
    in_time(&all, |world, rand| {
        for _ in 0..6 {
            let pair = (drawn(rand, 1..=HUBS), drawn(rand, followers()));
            world.unseen.insert(pair);
        }
    });
}

#[test]
fn a_follower_that_all_others_hold_dead_gets_commands_in_time() {
    let all: Vec<usize> = (1..=HUBS).collect();
    in_time(&all, |world, rand| {
        let dead = drawn(rand, followers());
        let others = (1..=HUBS + FOLLOWERS).filter(|node| *node != dead);
        world.unseen.extend(others.map(|node| (node, dead)));
    });
}

#[test]
fn hubs_that_are_up_and_get_no_commands_leave_nobody_behind() {
    // As leaders that are cut off, or machines that are not in the log yet.
    let told: Vec<usize> = (3..=HUBS).collect();
    in_time(&told, |_, _| {});
}
