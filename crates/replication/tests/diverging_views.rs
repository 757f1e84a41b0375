//! Nodes with different views of who is up: a follower in touch with the sources gets each command in time, whoever believes
//! whom to be down, and even if some sources that are up get no commands themselves.

mod common;

use std::ops::RangeInclusive;

use common::Cluster;
use oorandom::Rand64;
use types::{MS, Micros, SECOND};

const SOURCES: usize = 11;
const FOLLOWERS: usize = 59;
const COMMANDS: usize = 60;
/// Time in which a command must reach all followers. `ConfigApplyS` allows 2.5 s; the rest is for the acknowledgement.
const TIME_LIMIT: Micros = 2 * SECOND;
/// Time before each command, in which nothing is committed.
const PAUSE: Micros = 4 * SECOND;
const LOSSES: [f64; 2] = [0.2, 0.35];
const SEEDS: u64 = 2;

fn followers() -> RangeInclusive<usize> {
    SOURCES + 1..=SOURCES + FOLLOWERS
}

/// Commits commands at the given sources, each after `change_views`, and returns the times until all followers held them,
/// in ascending order.
fn command_times(
    seed: u64, loss: f64, sources: &[usize], change_views: impl Fn(&mut Cluster, &mut Rand64),
) -> Vec<Micros> {
    let mut cluster = Cluster::with_streams(seed, loss, SOURCES, FOLLOWERS);
    let mut rand = Rand64::new(u128::from(seed) + 77);
    let mut times = Vec::new();
    for _ in 0..COMMANDS {
        cluster.unseen.clear();
        change_views(&mut cluster, &mut rand);
        cluster.announce_peers();
        cluster.run(PAUSE);
        cluster.commit(300, sources);
        times.push(cluster.run_until_caught_up(20 * SECOND));
    }
    times.sort_unstable();
    times
}

fn assert_commands_in_time(sources: &[usize], change_views: impl Fn(&mut Cluster, &mut Rand64) + Copy) {
    let mut failures = Vec::new();
    for loss in LOSSES {
        for seed in 1..=SEEDS {
            let times = command_times(seed, loss, sources, change_views);
            let late = times.iter().filter(|time| **time > TIME_LIMIT).count();
            let (median, worst) = (times[times.len() / 2] / MS, times[times.len() - 1] / MS);
            let line = format!("loss {loss} seed {seed}: median {median} ms, worst {worst} ms, {late} late");
            println!("{line}");
            failures.extend((late > 0).then_some(line));
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

fn random_node(rand: &mut Rand64, among: RangeInclusive<usize>) -> usize {
    rand.rand_range(*among.start() as u64..*among.end() as u64 + 1) as usize
}

#[test]
fn followers_that_single_sources_believe_dead_get_commands_in_time() {
    let all: Vec<usize> = (1..=SOURCES).collect();
    assert_commands_in_time(&all, |cluster, rand| {
        for _ in 0..6 {
            let pair = (random_node(rand, 1..=SOURCES), random_node(rand, followers()));
            cluster.unseen.insert(pair);
        }
    });
}

#[test]
fn a_follower_that_all_others_believe_dead_gets_commands_in_time() {
    let all: Vec<usize> = (1..=SOURCES).collect();
    assert_commands_in_time(&all, |cluster, rand| {
        let dead = random_node(rand, followers());
        let others = (1..=SOURCES + FOLLOWERS).filter(|node| *node != dead);
        cluster.unseen.extend(others.map(|node| (node, dead)));
    });
}

/// Such as former leaders that are cut off from the others, or nodes that don't take part in the log yet.
#[test]
fn sources_that_are_up_and_get_no_commands_leave_no_follower_behind() {
    let informed: Vec<usize> = (3..=SOURCES).collect();
    assert_commands_in_time(&informed, |_, _| {});
}
