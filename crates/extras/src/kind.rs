//! Kinds (of words and of work): what is counted apart.

use playhouse::node::NodeMessage;

/// Every kind, by its number: words as `room.variant`, then work that no word brings.
pub const NAMES: [&str; 49] = [
    "company.join",
    "company.news",
    "company.probe",
    "company.answer",
    "company.ask_for",
    "company.vouch",
    "company.doubt",
    "company.who",
    "company.compare",
    "board.pieces",
    "board.have",
    "board.want",
    "board.whole",
    "cast.news",
    "cast.leaving",
    "cast.heard",
    "cast.digest",
    "cast.nothing",
    "cast.keys",
    "cast.want",
    "cast.give",
    "book.knock",
    "book.leader",
    "book.may_stand",
    "book.may_stood",
    "book.stand",
    "book.stood",
    "book.append",
    "book.beat",
    "book.appended",
    "book.gap",
    "book.piece",
    "book.taken",
    "book.late",
    "book.go",
    "vote",
    "intent",
    "not_let_in",
    "work.tick",
    "work.beat",
    "work.order",
    "work.written",
    "work.start",
    "work.request",
    "work.answer",
    "board.prove",
    "board.proof",
    "book.leaving",
    "book.released",
];

pub const TICK: usize = 38;
pub const BEAT: usize = 39;
pub const ORDER: usize = 40;
pub const WRITTEN: usize = 41;
pub const START: usize = 42;
pub const REQUEST: usize = 43;
pub const ANSWER: usize = 44;

/// The kind of a word.
pub fn of(word: &NodeMessage) -> usize {
    match word {
        NodeMessage::Membership(message) => match message.body {
            membership::MessageBody::Join => 0,
            membership::MessageBody::Gossip => 1,
            membership::MessageBody::Probe { .. } => 2,
            membership::MessageBody::Ack { .. } => 3,
            membership::MessageBody::IndirectProbe { .. } => 4,
            membership::MessageBody::IndirectAck { .. } => 5,
            membership::MessageBody::IndirectNack { .. } => 6,
            membership::MessageBody::IdentityRequest => 7,
            membership::MessageBody::CompareDigests { .. } => 8,
        },
        NodeMessage::Replication(message) => match message {
            replication::Message::Commands { .. } => 9,
            replication::Message::Digest { .. } => 10,
            replication::Message::Pull { .. } => 11,
            replication::Message::Snapshot { .. } => 12,
            replication::Message::FreshnessRequest => 45,
            replication::Message::FreshnessProof { .. } => 46,
        },
        NodeMessage::Registry(message) => match message {
            registry::Message::Update { .. } => 13,
            registry::Message::DrainNotice { .. } => 14,
            registry::Message::DrainAck { .. } => 15,
            registry::Message::Digest { .. } => 16,
            registry::Message::NothingKnown => 17,
            registry::Message::Versions { .. } => 18,
            registry::Message::Request { .. } => 19,
            registry::Message::Records { .. } => 20,
        },
        NodeMessage::Consensus { message, .. } => of_book(message),
        NodeMessage::Vote(_) => 35,
        NodeMessage::Intent(_) => 36,
        NodeMessage::JoinRefused { .. } => 37,
    }
}

fn of_book(message: &consensus::Message) -> usize {
    use consensus::{Message, Rpc};
    match message {
        Message::JoinRequest => 21,
        Message::LeaderHint { .. } => 22,
        Message::Rpc { rpc: word, .. } => match word {
            Rpc::PreVoteRequest { .. } => 23,
            Rpc::PreVoteResponse { .. } => 24,
            Rpc::VoteRequest { .. } => 25,
            Rpc::VoteResponse { .. } => 26,
            Rpc::AppendEntries { .. } => 27,
            Rpc::Heartbeat { .. } => 28,
            Rpc::AppendResponse { .. } => 29,
            Rpc::AppendRejected { .. } => 30,
            Rpc::InstallSnapshot { .. } => 31,
            Rpc::SnapshotProgress { .. } => 32,
            Rpc::StaleTerm => 33,
            Rpc::TransferLeadership { .. } => 34,
            Rpc::ShutdownQuery { .. } => 47,
            Rpc::ShutdownApproved { .. } => 48,
        },
    }
}

/// The room that a kind belongs to: what stands before the dot.
pub fn room(kind: usize) -> &'static str {
    NAMES[kind].split('.').next().unwrap_or("")
}
