//! A follower may get messages that were meant for an earlier run at its address. They contain commands of the log, which
//! it applies in their place or not at all.

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

fn follower(seed: u64, run: u64, now: Micros) -> Replicator {
    Replicator::start(address(9), Mode::Follower, LogIndex(0), 1_000 + 2 * seed + run, now)
}

fn peers() -> Event {
    Event::Peers { sources: vec![address(1)], others: vec![address(9)] }
}

/// Notes the indices that a follower applies or restores, and checks that they are in order and without gaps.
fn apply(effects: &[Effect], held: &mut Vec<u64>) {
    for effect in effects {
        match effect {
            Effect::Apply { index, data } => {
                assert_eq!(data, &command(index.0), "another command at {}", index.0);
                // The commands have the indices 1, 2, 3 and so on: none may be left out.
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
fn messages_for_an_earlier_run_cause_neither_gaps_nor_steps_back() {
    for seed in 0..60u64 {
        let mut rand = Rand64::new(u128::from(seed));
        let mut source = Replicator::start(address(1), Mode::Source, LogIndex(0), seed, 0);
        source.step(0, peers());
        let (mut replicator, mut run, mut held) = (follower(seed, 0, 0), 0, Vec::new());
        replicator.step(0, peers());
        // Everything that was ever sent to the follower's address; each message may arrive at any time, at any run.
        let mut sent: Vec<Message> = Vec::new();
        let (mut now, mut index) = (0, 0);
        for _ in 0..400 {
            now += rand.rand_range(1..200) as Micros * MS;
            match rand.rand_range(0..10) {
                0 => {
                    (replicator, run, held) = (follower(seed, run + 1, now), run + 1, Vec::new());
                    replicator.step(now, peers());
                }
                1..=3 => {
                    index += 1;
                    let committed = Event::Committed { index: LogIndex(index), data: command(index) };
                    sent.extend(source.step(now, committed).into_iter().filter_map(message_of));
                }
                4..=6 if !sent.is_empty() => {
                    let message = sent[rand.rand_range(0..sent.len() as u64) as usize].clone();
                    let effects = replicator.step(now, Event::Received { from: address(1), message });
                    apply(&effects, &mut held);
                }
                _ => {
                    let held_index = LogIndex(held.last().copied().unwrap_or(0));
                    sent.extend(answer_to_pull(&mut source, now, held_index));
                }
            }
        }
        // Once the answers to its own pulls arrive, the follower holds everything.
        for _ in 0..60 {
            now += 100 * MS;
            let effects = replicator.step(now, Event::Tick);
            apply(&effects, &mut held);
            let held_index = replicator.index();
            for message in answer_to_pull(&mut source, now, held_index) {
                let effects = replicator.step(now, Event::Received { from: address(1), message });
                apply(&effects, &mut held);
            }
        }
        assert!(run > 0 && index > 0, "seed {seed}: {run} runs, {index} commands in {} s", now / SECOND);
        assert_eq!(replicator.index(), LogIndex(index), "seed {seed}");
    }
}

/// What a source answers to a pull of everything after `held`.
fn answer_to_pull(source: &mut Replicator, now: Micros, held: LogIndex) -> Vec<Message> {
    let mut effects = source.step(now, Event::Received { from: address(9), message: Message::Pull { held } });
    if effects.contains(&Effect::TakeSnapshot) {
        let index = source.index();
        let data = index.0.to_le_bytes().to_vec();
        effects.extend(source.step(now, Event::SnapshotTaken { index, data }));
    }
    effects.into_iter().filter_map(message_of).collect()
}

fn message_of(effect: Effect) -> Option<Message> {
    match effect {
        Effect::Send { message, .. } => Some(message),
        _ => None,
    }
}
