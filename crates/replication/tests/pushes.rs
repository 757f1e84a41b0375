//! A push that is not acknowledged is repeated, by datagram first and then not left to datagrams; an ask that gets no
//! answer is not left to them either.

use std::net::Ipv4Addr;

use replication::{ChainedCommand, Effect, Event, Message, Mode, Replicator};
use types::{LogIndex, MS, Micros, NodeAddress, SECOND};

const HUB: u8 = 1;
const FOLLOWERS: [u8; 2] = [8, 9];

fn address(node: u8) -> NodeAddress {
    NodeAddress(Ipv4Addr::new(10, 0, 0, node))
}

fn addresses(nodes: &[u8]) -> Vec<NodeAddress> {
    nodes.iter().copied().map(address).collect()
}

fn piece(prev: u64, index: u64) -> ChainedCommand {
    ChainedCommand { prev: LogIndex(prev), index: LogIndex(index), data: vec![7; 300] }
}

fn fresh(piece: ChainedCommand) -> Message {
    Message::Commands { fresh: true, more: false, commands: vec![piece] }
}

fn have(index: u64) -> Message {
    Message::Digest { index: LogIndex(index), latest_bytes: 300, fresh: false }
}

fn received(from: u8, message: Message) -> Event {
    Event::Received { from: address(from), message }
}

fn hub() -> Replicator {
    let mut hub = Replicator::start(address(HUB), Mode::Source, LogIndex(0), 1, 0);
    hub.step(0, Event::Peers { sources: addresses(&[HUB]), others: addresses(&FOLLOWERS) });
    for follower in FOLLOWERS {
        hub.step(0, received(follower, Message::FreshnessRequest));
    }
    hub
}

/// Runs a board on its own ticks: each moment at which it insists on a node, or tells it of fresh news.
fn told(board: &mut Replicator, to: NodeAddress, from: Micros, until: Micros) -> Vec<(Micros, &'static str)> {
    let mut told = Vec::new();
    let mut now = from;
    while board.due() <= until {
        now = board.due().max(now);
        for effect in board.step(now, Event::Tick) {
            match effect {
                Effect::PreferStream { to: other } if other == to => told.push((now, "insist")),
                Effect::Send { to: other, message: Message::Digest { fresh: true, .. } } if other == to => {
                    told.push((now, "told"));
                }
                _ => {}
            }
        }
    }
    told
}

#[test]
fn a_push_without_an_acknowledgement_is_repeated_and_then_not_left_to_datagrams() {
    let mut hub = hub();
    hub.step(0, Event::Committed { index: LogIndex(3), data: vec![7; 300] });
    hub.step(MS, received(8, have(3)));
    // The one that holds it is let be; the other one hears of it again, by stream from the second time on, for a while.
    let times = [(200 * MS, "told"), (400 * MS, "told"), (600 * MS, "insist"), (600 * MS, "told")];
    let all = told(&mut hub, address(9), MS, 20 * SECOND);
    assert_eq!(all[..4], times);
    assert_eq!(all.iter().filter(|(_, what)| *what == "insist").count(), 4);
    assert!(all.iter().all(|(at, _)| *at < 6 * SECOND), "{all:?}");
    let mut hub = self::hub();
    hub.step(0, Event::Committed { index: LogIndex(3), data: vec![7; 300] });
    for node in FOLLOWERS {
        hub.step(MS, received(node, have(3)));
        assert_eq!(told(&mut hub, address(node), MS, 5 * SECOND), []);
    }
}

#[test]
fn an_older_acknowledgement_ends_no_wait_and_who_is_held_dead_is_waited_for_while_it_watches() {
    let mut hub = hub();
    hub.step(0, Event::Committed { index: LogIndex(3), data: vec![7; 300] });
    hub.step(MS, Event::Committed { index: LogIndex(5), data: vec![7; 300] });
    hub.step(2 * MS, received(8, have(3)));
    hub.step(2 * MS, Event::Peers { sources: addresses(&[HUB]), others: addresses(&[8]) });
    let mut held_dead = self::hub();
    held_dead.step(0, Event::Committed { index: LogIndex(3), data: vec![7; 300] });
    held_dead.step(2 * MS, Event::Peers { sources: addresses(&[HUB]), others: addresses(&[8]) });
    assert_eq!(told(&mut held_dead, address(9), 2 * MS, 250 * MS), [(200 * MS, "told")]);
    assert_eq!(told(&mut hub, address(8), 100 * MS, 250 * MS), [(200 * MS, "told")]);
    hub.step(300 * MS, received(8, have(5)));
    assert_eq!(told(&mut hub, address(8), 300 * MS, SECOND), []);
    hub.step(SECOND, Event::Committed { index: LogIndex(6), data: vec![7; 300] });
    hub.step(SECOND, received(8, have(5)));
    assert_eq!(told(&mut hub, address(8), SECOND, 1_300 * MS)[0], (1_200 * MS, "told"));
}

#[test]
fn what_was_pushed_comes_again_itself_so_that_it_needs_no_ask() {
    let mut hub = hub();
    let mut follower = Replicator::start(address(9), Mode::Follower, LogIndex(0), 1, 0);
    follower.step(0, Event::Peers { sources: addresses(&[HUB]), others: addresses(&[8]) });
    hub.step(0, Event::Committed { index: LogIndex(3), data: vec![7; 300] });
    hub.step(0, Event::Committed { index: LogIndex(5), data: vec![7; 300] });
    let words = hub.step(200 * MS, Event::Tick).into_iter().filter_map(|effect| match effect {
        Effect::Send { to, message } if to == address(9) => Some(message),
        _ => None,
    });
    let answers: Vec<Effect> = words.flat_map(|word| follower.step(201 * MS, received(HUB, word))).collect();
    assert_eq!(follower.index(), LogIndex(5));
    let acknowledged = Effect::Send { to: address(HUB), message: have(5) };
    assert!(answers.contains(&acknowledged), "{answers:?}");
}

#[test]
fn one_that_was_asked_and_is_silent_gives_way_to_one_that_speaks() {
    let mut board = Replicator::start(address(9), Mode::Follower, LogIndex(0), 1, 0);
    board.step(0, Event::Peers { sources: addresses(&[HUB]), others: addresses(&[8]) });
    let asks = |effects: Vec<Effect>, of: u8| {
        effects.contains(&Effect::Send { to: address(of), message: Message::Pull { held: LogIndex(0) } })
    };
    // A hub that has just come up is asked at once, and has nothing.
    board.step(0, received(HUB, have(0)));
    assert!(asks(board.step(0, received(8, have(5))), 8));
    assert!(!asks(board.step(50 * MS, received(HUB, have(5))), HUB));
    assert!(asks(board.step(100 * MS, received(HUB, have(5))), HUB));
    // Where much is missing the first copy is waited for.
    let big = |index| Message::Digest { index: LogIndex(index), latest_bytes: 90_000, fresh: false };
    board.step(150 * MS, received(HUB, big(9)));
    assert!(!asks(board.step(260 * MS, received(8, big(9))), 8));
}

#[test]
fn a_follower_acknowledges_to_its_hub_once_it_holds_what_was_pushed() {
    let mut board = Replicator::start(address(9), Mode::Follower, LogIndex(0), 1, 0);
    board.step(0, Event::Peers { sources: addresses(&[HUB]), others: addresses(&[8]) });
    let acknowledged = |effects: Vec<Effect>| {
        let ours = effects.into_iter().filter_map(|effect| match effect {
            Effect::Send { to, message: Message::Digest { index, .. } } if to == address(HUB) => {
                Some(index.0)
            }
            _ => None,
        });
        ours.collect::<Vec<u64>>()
    };
    // The one before is missing: nothing to acknowledge yet.
    assert_eq!(acknowledged(board.step(1, received(HUB, fresh(piece(3, 5))))), []);
    assert_eq!(acknowledged(board.step(2, received(8, fresh(piece(0, 3))))), [5]);
    // What is told a second time is acknowledged a second time: the first word was lost.
    let again = Message::Digest { index: LogIndex(5), latest_bytes: 300, fresh: true };
    assert_eq!(acknowledged(board.step(3, received(HUB, again))), [5]);
    // An ordinary digest is none.
    assert_eq!(acknowledged(board.step(4, received(HUB, have(5)))), []);
}

#[test]
fn an_ask_without_an_answer_is_followed_by_one_that_is_not_left_to_datagrams() {
    let mut board = Replicator::start(address(9), Mode::Follower, LogIndex(0), 1, 0);
    board.step(0, Event::Peers { sources: addresses(&[HUB]), others: addresses(&[8]) });
    board.step(0, received(8, fresh(piece(3, 5))));
    let mut asked = Vec::new();
    while asked.len() < 2 {
        let now = board.due();
        let effects = board.step(now, Event::Tick);
        let want = |effect: &Effect| matches!(effect, Effect::Send { message: Message::Pull { .. }, .. });
        if let Some(at) = effects.iter().position(want) {
            let Effect::Send { to, .. } = &effects[at] else { panic!("an ask") };
            asked.push(effects[..at].contains(&Effect::PreferStream { to: *to }));
        }
        assert!(now < 10 * SECOND);
    }
    assert_eq!(asked, [true, true]);
    assert!(board.stats().pulls_unanswered >= 1);
}

#[test]
fn who_no_longer_watches_and_is_held_dead_is_neither_pushed_to_nor_waited_for() {
    let mut hub = hub();
    let later = 4 * SECOND;
    hub.step(later - SECOND, received(8, Message::FreshnessRequest));
    hub.step(later, Event::Committed { index: LogIndex(3), data: vec![7; 300] });
    hub.step(later, Event::Peers { sources: addresses(&[HUB]), others: addresses(&[8]) });
    assert_eq!(hub.watchers().collect::<Vec<NodeAddress>>(), addresses(&[8]));
    assert_eq!(told(&mut hub, address(9), later, later + 3 * SECOND), []);
}

/// Followers of older programs watch nobody: each has two hubs, whoever else watches.
#[test]
fn followers_of_older_programs_are_pushed_to_by_shares() {
    let hubs = addresses(&[1, 2, 3]);
    let followers: Vec<u8> = (20..50).collect();
    let mut pushed = Vec::new();
    for own in 1..=3 {
        let mut hub = Replicator::start(address(own), Mode::Source, LogIndex(0), 1, 0);
        hub.step(0, Event::Peers { sources: hubs.clone(), others: addresses(&followers) });
        hub.step(0, Event::NonWatching { addresses: addresses(&followers[1..]) });
        let effects = hub.step(0, Event::Committed { index: LogIndex(3), data: vec![7; 300] });
        pushed.extend(effects.into_iter().filter_map(|effect| match effect {
            Effect::Send { to, message: Message::Commands { fresh: true, .. } } => Some(to),
            _ => None,
        }));
    }
    pushed.sort_unstable();
    let twice: Vec<NodeAddress> = followers[1..].iter().flat_map(|node| [address(*node); 2]).collect();
    assert_eq!(pushed, twice);
}
