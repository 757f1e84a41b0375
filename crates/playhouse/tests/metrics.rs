//! Metrics of a gateway while its state is behind, and once it has caught up.

use std::net::Ipv4Addr;

use membership::{Member, Role};
use playhouse::metrics::Metrics;
use playhouse::node::{NodeCore, NodeMessage};
use replication::{ChainedCommand, Message};
use transport::TransportStats;
use types::{Carrier, LogIndex, MS, NodeAddress, NodeVersion, RunId, SECOND};

fn address(node: u8) -> NodeAddress {
    NodeAddress(Ipv4Addr::new(10, 0, 0, node))
}

fn metrics_text(node: &NodeCore) -> String {
    let stats = TransportStats { datagrams_sent: 7, datagrams_refused: 2, ..TransportStats::default() };
    Metrics::for_node(node, stats).text()
}

#[test]
fn metrics_show_how_far_behind_a_gateway_is() {
    let member = |node, role| Member {
        address: address(node),
        run_id: RunId(1),
        role,
        zone: "z".into(),
        name: "n".into(),
        version: NodeVersion::CURRENT,
    };
    let control = NodeCore::start(member(1, Role::ControlNode), vec![], SECOND, 1, 0);
    let mut gateway = NodeCore::start(member(9, Role::Gateway), vec![], SECOND, 1, 0);
    let deliver = |gateway: &mut NodeCore, now, message| {
        let message = control
            .envelope(address(9), NodeMessage::Replication(message))
            .expect("of the first format version");
        gateway.received(now, address(1), &message.to_bytes().expect("it can be written"), Carrier::Datagram);
    };
    deliver(&mut gateway, 0, Message::Digest { index: LogIndex(4), latest_bytes: 1, fresh: false });
    // The sender is asked for the missing commands and does not answer.
    gateway.tick(600 * MS);
    let behind = metrics_text(&gateway);
    for line in [
        "garnetdoor_news_held_index 0",
        "garnetdoor_news_known_index 4",
        "garnetdoor_news_longest_gap_micros 600000",
        "garnetdoor_news_asks_unanswered_total 1",
        "garnetdoor_datagrams_sent_total 7",
        "garnetdoor_datagrams_refused_total 2",
    ] {
        assert!(behind.lines().any(|found| found == line), "{line} in\n{behind}");
    }
    let command = ChainedCommand { prev: LogIndex(0), index: LogIndex(4), data: vec![0] };
    deliver(&mut gateway, 900 * MS, Message::Commands { fresh: false, more: false, commands: vec![command] });
    let caught_up = metrics_text(&gateway);
    for line in [
        "garnetdoor_news_held_index 4",
        "garnetdoor_news_longest_gap_micros 900000",
        "garnetdoor_commands_not_taken_total 1",
    ] {
        assert!(caught_up.lines().any(|found| found == line), "{line} in\n{caught_up}");
    }
    assert!(caught_up.ends_with("# EOF\n"));
}

#[test]
fn refused_requests_are_counted_by_cause() {
    let control = Member {
        address: address(1),
        run_id: RunId(1),
        role: Role::ControlNode,
        zone: "z".into(),
        name: "n".into(),
        version: NodeVersion::CURRENT,
    };
    let node = NodeCore::start(control, vec![], SECOND, 1, 0);
    let mut metrics = Metrics::for_node(&node, TransportStats::default());
    let refused = [("no-server", 3), ("too-late", 1)].into_iter();
    metrics.labeled_counter("requests_refused", "Requests refused", "cause", refused);
    let text = metrics.text();
    for line in [
        "garnetdoor_requests_refused_total{cause=\"no-server\"} 3",
        "garnetdoor_requests_refused_total{cause=\"too-late\"} 1",
    ] {
        assert!(text.lines().any(|found| found == line), "{line} in\n{text}");
    }
}
