//! Kinds (of words and of work): what is counted apart.

use playhouse::house::Word;

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
pub fn of(word: &Word) -> usize {
    match word {
        Word::Company(message) => match message.talk {
            membership::Talk::Join => 0,
            membership::Talk::News => 1,
            membership::Talk::Probe { .. } => 2,
            membership::Talk::Answer { .. } => 3,
            membership::Talk::AskFor { .. } => 4,
            membership::Talk::Vouch { .. } => 5,
            membership::Talk::Doubt { .. } => 6,
            membership::Talk::Who => 7,
            membership::Talk::Compare { .. } => 8,
        },
        Word::Board(message) => match message {
            replication::Message::Pieces { .. } => 9,
            replication::Message::Have { .. } => 10,
            replication::Message::Want { .. } => 11,
            replication::Message::Whole { .. } => 12,
            replication::Message::Prove => 45,
            replication::Message::Proof { .. } => 46,
        },
        Word::Cast(message) => match message {
            registry::Message::Update { .. } => 13,
            registry::Message::DrainNotice { .. } => 14,
            registry::Message::DrainAck { .. } => 15,
            registry::Message::Digest { .. } => 16,
            registry::Message::NothingKnown => 17,
            registry::Message::Versions { .. } => 18,
            registry::Message::Request { .. } => 19,
            registry::Message::Records { .. } => 20,
        },
        Word::Book { message, .. } => of_book(message),
        Word::Vote(_) => 35,
        Word::Intent(_) => 36,
        Word::NotLetIn { .. } => 37,
    }
}

fn of_book(message: &consensus::Message) -> usize {
    use consensus::{Message, Word};
    match message {
        Message::Knock => 21,
        Message::Leader { .. } => 22,
        Message::Said { word, .. } => match word {
            Word::MayStand { .. } => 23,
            Word::MayStood { .. } => 24,
            Word::Stand { .. } => 25,
            Word::Stood { .. } => 26,
            Word::Append { .. } => 27,
            Word::Beat { .. } => 28,
            Word::Appended { .. } => 29,
            Word::Gap { .. } => 30,
            Word::Piece { .. } => 31,
            Word::Taken { .. } => 32,
            Word::Late => 33,
            Word::Go { .. } => 34,
            Word::Leaving { .. } => 47,
            Word::Released { .. } => 48,
        },
    }
}

/// The room that a kind belongs to: what stands before the dot.
pub fn room(kind: usize) -> &'static str {
    NAMES[kind].split('.').next().unwrap_or("")
}
