//! A push that is not acknowledged is repeated, first by datagram and then by stream. A pull that is not answered is
//! repeated by stream.

use std::net::Ipv4Addr;

use replication::{ChainedCommand, Effect, Event, Message, Mode, Replicator};
use types::{LogIndex, MS, Micros, NodeAddress, SECOND};

const SOURCE: u8 = 1;
const FOLLOWERS: [u8; 2] = [8, 9];

fn address(node: u8) -> NodeAddress {
    NodeAddress(Ipv4Addr::new(10, 0, 0, node))
}

fn addresses(nodes: &[u8]) -> Vec<NodeAddress> {
    nodes.iter().copied().map(address).collect()
}

fn command(prev: u64, index: u64) -> ChainedCommand {
    ChainedCommand { prev: LogIndex(prev), index: LogIndex(index), data: vec![7; 300] }
}

fn fresh(command: ChainedCommand) -> Message {
    Message::Commands { fresh: true, more: false, commands: vec![command] }
}

fn digest(index: u64) -> Message {
    Message::Digest { index: LogIndex(index), latest_bytes: 300, fresh: false }
}

fn received(from: u8, message: Message) -> Event {
    Event::Received { from: address(from), message }
}

fn committed(index: u64) -> Event {
    Event::Committed { index: LogIndex(index), data: vec![7; 300] }
}

/// A source that is watched by both followers.
fn watched_source() -> Replicator {
    let mut source = Replicator::start(address(SOURCE), Mode::Source, LogIndex(0), 1, 0);
    source.step(0, Event::Peers { sources: addresses(&[SOURCE]), others: addresses(&FOLLOWERS) });
    for follower in FOLLOWERS {
        source.step(0, received(follower, Message::FreshnessRequest));
    }
    source
}

/// A follower that knows the source and the other follower.
fn follower() -> Replicator {
    let mut follower = Replicator::start(address(9), Mode::Follower, LogIndex(0), 1, 0);
    follower.step(0, Event::Peers { sources: addresses(&[SOURCE]), others: addresses(&[8]) });
    follower
}

/// What a replicator does for one node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Action {
    PreferStream,
    AnnounceFresh,
}

/// Runs a replicator by its own ticks, and returns when it does what for the node `to`.
fn actions(
    replicator: &mut Replicator, to: NodeAddress, from: Micros, until: Micros,
) -> Vec<(Micros, Action)> {
    let mut actions = Vec::new();
    let mut now = from;
    while replicator.due() <= until {
        now = replicator.due().max(now);
        for effect in replicator.step(now, Event::Tick) {
            match effect {
                Effect::PreferStream { to: other } if other == to => {
                    actions.push((now, Action::PreferStream))
                }
                Effect::Send { to: other, message: Message::Digest { fresh: true, .. } } if other == to => {
                    actions.push((now, Action::AnnounceFresh));
                }
                _ => {}
            }
        }
    }
    actions
}

#[test]
fn an_unacknowledged_push_is_repeated_by_datagram_and_then_by_stream() {
    let mut source = watched_source();
    source.step(0, committed(3));
    source.step(MS, received(8, digest(3)));
    // Follower 8 has acknowledged. The push to the other one is repeated, from the third time on by stream, for a while.
    let first = [
        (200 * MS, Action::AnnounceFresh),
        (400 * MS, Action::AnnounceFresh),
        (600 * MS, Action::PreferStream),
        (600 * MS, Action::AnnounceFresh),
    ];
    let all = actions(&mut source, address(9), MS, 20 * SECOND);
    assert_eq!(all[..4], first);
    assert_eq!(all.iter().filter(|(_, action)| *action == Action::PreferStream).count(), 4);
    assert!(all.iter().all(|(at, _)| *at < 6 * SECOND), "{all:?}");
    let mut source = watched_source();
    source.step(0, committed(3));
    for node in FOLLOWERS {
        source.step(MS, received(node, digest(3)));
        assert_eq!(actions(&mut source, address(node), MS, 5 * SECOND), []);
    }
}

#[test]
fn an_older_acknowledgement_ends_no_wait_nor_does_a_death_report_while_the_follower_watches() {
    let mut source = watched_source();
    source.step(0, committed(3));
    source.step(MS, committed(5));
    source.step(2 * MS, received(8, digest(3)));
    source.step(2 * MS, Event::Peers { sources: addresses(&[SOURCE]), others: addresses(&[8]) });
    let mut believes_9_dead = watched_source();
    believes_9_dead.step(0, committed(3));
    believes_9_dead.step(2 * MS, Event::Peers { sources: addresses(&[SOURCE]), others: addresses(&[8]) });
    assert_eq!(
        actions(&mut believes_9_dead, address(9), 2 * MS, 250 * MS),
        [(200 * MS, Action::AnnounceFresh)]
    );
    assert_eq!(actions(&mut source, address(8), 100 * MS, 250 * MS), [(200 * MS, Action::AnnounceFresh)]);
    source.step(300 * MS, received(8, digest(5)));
    assert_eq!(actions(&mut source, address(8), 300 * MS, SECOND), []);
    source.step(SECOND, committed(6));
    source.step(SECOND, received(8, digest(5)));
    assert_eq!(actions(&mut source, address(8), SECOND, 1_300 * MS)[0], (1_200 * MS, Action::AnnounceFresh));
}

#[test]
fn a_repeated_push_carries_the_commands_so_that_no_pull_is_needed() {
    let mut source = watched_source();
    let mut follower = follower();
    source.step(0, committed(3));
    source.step(0, committed(5));
    let repeated = source.step(200 * MS, Event::Tick).into_iter().filter_map(|effect| match effect {
        Effect::Send { to, message } if to == address(9) => Some(message),
        _ => None,
    });
    let answers: Vec<Effect> =
        repeated.flat_map(|message| follower.step(201 * MS, received(SOURCE, message))).collect();
    assert_eq!(follower.index(), LogIndex(5));
    let acknowledgement = Effect::Send { to: address(SOURCE), message: digest(5) };
    assert!(answers.contains(&acknowledgement), "{answers:?}");
}

#[test]
fn a_silent_pull_is_replaced_by_one_to_a_node_that_announces() {
    let mut follower = follower();
    let pulls_from = |effects: Vec<Effect>, node: u8| {
        effects.contains(&Effect::Send { to: address(node), message: Message::Pull { held: LogIndex(0) } })
    };
    // The new source was asked at once, and has nothing.
    follower.step(0, received(SOURCE, digest(0)));
    assert!(pulls_from(follower.step(0, received(8, digest(5))), 8));
    assert!(!pulls_from(follower.step(50 * MS, received(SOURCE, digest(5))), SOURCE));
    assert!(pulls_from(follower.step(100 * MS, received(SOURCE, digest(5))), SOURCE));
    // If much is missing, the first copy is waited for.
    let large = |index| Message::Digest { index: LogIndex(index), latest_bytes: 90_000, fresh: false };
    follower.step(150 * MS, received(SOURCE, large(9)));
    assert!(!pulls_from(follower.step(260 * MS, received(8, large(9))), 8));
}

#[test]
fn a_follower_acknowledges_to_the_source_once_it_holds_what_was_pushed() {
    let mut follower = follower();
    let acknowledged = |effects: Vec<Effect>| {
        let indices = effects.into_iter().filter_map(|effect| match effect {
            Effect::Send { to, message: Message::Digest { index, .. } } if to == address(SOURCE) => {
                Some(index.0)
            }
            _ => None,
        });
        indices.collect::<Vec<u64>>()
    };
    // The command before is missing: nothing to acknowledge yet.
    assert_eq!(acknowledged(follower.step(1, received(SOURCE, fresh(command(3, 5))))), []);
    assert_eq!(acknowledged(follower.step(2, received(8, fresh(command(0, 3))))), [5]);
    // What is announced again is acknowledged again, since the first acknowledgement was lost.
    let again = Message::Digest { index: LogIndex(5), latest_bytes: 300, fresh: true };
    assert_eq!(acknowledged(follower.step(3, received(SOURCE, again))), [5]);
    // A digest that is not fresh is not acknowledged.
    assert_eq!(acknowledged(follower.step(4, received(SOURCE, digest(5)))), []);
}

#[test]
fn an_unanswered_pull_is_repeated_by_stream() {
    let mut follower = follower();
    follower.step(0, received(8, fresh(command(3, 5))));
    let mut by_stream = Vec::new();
    while by_stream.len() < 2 {
        let now = follower.due();
        let effects = follower.step(now, Event::Tick);
        let is_pull = |effect: &Effect| matches!(effect, Effect::Send { message: Message::Pull { .. }, .. });
        if let Some(position) = effects.iter().position(is_pull) {
            let Effect::Send { to, .. } = &effects[position] else { panic!("a pull") };
            by_stream.push(effects[..position].contains(&Effect::PreferStream { to: *to }));
        }
        assert!(now < 10 * SECOND);
    }
    assert_eq!(by_stream, [true, true]);
    assert!(follower.stats().pulls_unanswered >= 1);
}

#[test]
fn a_follower_that_stopped_watching_and_is_believed_dead_is_neither_pushed_to_nor_waited_for() {
    let mut source = watched_source();
    let later = 4 * SECOND;
    source.step(later - SECOND, received(8, Message::FreshnessRequest));
    source.step(later, committed(3));
    source.step(later, Event::Peers { sources: addresses(&[SOURCE]), others: addresses(&[8]) });
    assert_eq!(source.watchers().collect::<Vec<NodeAddress>>(), addresses(&[8]));
    assert_eq!(actions(&mut source, address(9), later, later + 3 * SECOND), []);
}

/// Followers with older programs watch no source; each is assigned to two, whoever else watches.
#[test]
fn each_non_watching_follower_is_pushed_to_by_two_sources() {
    let sources = addresses(&[1, 2, 3]);
    let followers: Vec<u8> = (20..50).collect();
    let mut pushed = Vec::new();
    for own in 1..=3 {
        let mut source = Replicator::start(address(own), Mode::Source, LogIndex(0), 1, 0);
        source.step(0, Event::Peers { sources: sources.clone(), others: addresses(&followers) });
        source.step(0, Event::NonWatching { addresses: addresses(&followers[1..]) });
        let effects = source.step(0, committed(3));
        pushed.extend(effects.into_iter().filter_map(|effect| match effect {
            Effect::Send { to, message: Message::Commands { fresh: true, .. } } => Some(to),
            _ => None,
        }));
    }
    pushed.sort_unstable();
    let twice: Vec<NodeAddress> = followers[1..].iter().flat_map(|node| [address(*node); 2]).collect();
    assert_eq!(pushed, twice);
}
