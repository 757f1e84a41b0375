//! Words for an earlier life of a address are facts of the log to the next one there, in their address or not at all.

use std::net::Ipv4Addr;

use oorandom::Rand64;
use replication::{Effect, Event, Message, Mode, Replicator};
use types::{LogIndex, MS, Micros, NodeAddress, SECOND};

fn address(node: u8) -> NodeAddress {
    NodeAddress(Ipv4Addr::new(10, 0, 0, node))
}

fn command(index: u64) -> Vec<u8> {
    vec![index as u8; 300 + (index as usize * 37) % 900]
}

/// What a follower applies, in order: the indices, with the command where it is one.
fn applied(out: &[Effect], held: &mut Vec<u64>) {
    for effect in out {
        match effect {
            Effect::Apply { index, data } => {
                assert_eq!(data, &command(index.0), "another command at {}", index.0);
                // Commands are the entries 1, 2, 3 and so on: none may be left out.
                assert_eq!(index.0, held.last().copied().unwrap_or(0) + 1, "a gap or a step back: {held:?}");
                held.push(index.0);
            }
            Effect::Restore { index, data } => {
                assert_eq!(data, &index.0.to_le_bytes(), "another state");
                assert!(index.0 > held.last().copied().unwrap_or(0), "back to {} after {held:?}", index.0);
                held.push(index.0);
            }
            Effect::Send { .. } | Effect::PreferStream { .. } | Effect::TakeSnapshot => {}
        }
    }
}

#[test]
fn nothing_goes_back_or_leaves_a_gap_whatever_an_earlier_life_asked_for() {
    for seed in 0..60u64 {
        let mut rand = Rand64::new(u128::from(seed));
        let mut source = Replicator::start(address(1), Mode::Source, LogIndex(0), seed, 0);
        let follower = |life: u64, now: Micros| {
            Replicator::start(address(9), Mode::Follower, LogIndex(0), 1_000 + 2 * seed + life, now)
        };
        let peers = || Event::Peers { sources: vec![address(1)], others: vec![address(9)] };
        source.step(0, peers());
        let (mut board, mut life, mut held) = (follower(0, 0), 0, Vec::new());
        board.step(0, peers());
        // All that was ever said to this address, to come again at any time, to whatever life.
        let mut said: Vec<Message> = Vec::new();
        let (mut now, mut index) = (0, 0);
        for _ in 0..400 {
            now += rand.rand_range(1..200) as Micros * MS;
            match rand.rand_range(0..10) {
                0 => {
                    (board, life, held) = (follower(life + 1, now), life + 1, Vec::new());
                    board.step(now, peers());
                }
                1..=3 => {
                    index += 1;
                    let out =
                        source.step(now, Event::Committed { index: LogIndex(index), data: command(index) });
                    said.extend(out.into_iter().filter_map(words));
                }
                4..=6 if !said.is_empty() => {
                    let message = said[rand.rand_range(0..said.len() as u64) as usize].clone();
                    let out = board.step(now, Event::Received { from: address(1), message });
                    applied(&out, &mut held);
                }
                _ => {
                    let have = LogIndex(held.last().copied().unwrap_or(0));
                    said.extend(asked(&mut source, now, have));
                }
            }
        }
        // Once the words of its own life arrive it holds all.
        for _ in 0..60 {
            now += 100 * MS;
            let out = board.step(now, Event::Tick);
            applied(&out, &mut held);
            let have = board.index();
            for message in asked(&mut source, now, have) {
                let out = board.step(now, Event::Received { from: address(1), message });
                applied(&out, &mut held);
            }
        }
        assert!(life > 0 && index > 0, "seed {seed}: {life} lives, {index} commands in {} s", now / SECOND);
        assert_eq!(board.index(), LogIndex(index), "seed {seed}");
    }
}

/// What a source answers to one that asks for what follows `have`.
fn asked(source: &mut Replicator, now: Micros, have: LogIndex) -> Vec<Message> {
    let mut out =
        source.step(now, Event::Received { from: address(9), message: Message::Pull { held: have } });
    if out.contains(&Effect::TakeSnapshot) {
        let index = source.index();
        out.extend(source.step(now, Event::SnapshotTaken { index, data: index.0.to_le_bytes().to_vec() }));
    }
    out.into_iter().filter_map(words).collect()
}

fn words(effect: Effect) -> Option<Message> {
    match effect {
        Effect::Send { message, .. } => Some(message),
        _ => None,
    }
}
