//! What nodes say to each other: frames of words, at a prompter and at a foyer that know some things already.

use std::net::Ipv4Addr;

use consensus::{Members, PersistentState};
use control_state::{Command, RouteTally, Vote, VoteChoice};
use membership::{Member, Role};
use playhouse::control_plane::{ControlPlane, Input, Output};
use playhouse::node::{Envelope, NodeCore, NodeMessage, split_header};
use playhouse::settings::DerivedTimings;
use registry::{Heartbeat, InstanceId};
use types::{
    CallId, Carrier, ConfigVersion, FormatRange, FormatVersion, MS, Micros, NodeAddress, NodeVersion, RunId,
    SECOND, VoterId,
};

use super::BILL;
use crate::shapes::{frames, joined};
use crate::{Cost, Shape, Signature, Target};

/// Words of one input at most.
const WORDS: usize = 8;

/// Bytes of a word's head.
const HEAD: usize = 2;
/// A frame's second byte for a word that gets a sound head; 0: what follows has a head of its own.
const SOUND: u8 = 1;

/// A frame is the sender's number, how the head comes to the word, then the word.
pub struct Words {
    /// What was said in a sound hour, by the one that said it.
    said: Vec<Vec<u8>>,
}

fn place(number: u8) -> NodeAddress {
    NodeAddress(Ipv4Addr::new(10, 0, 0, number))
}

fn member(number: u8) -> Member {
    // Prompters first.
    let part = if number <= 3 { Role::ControlNode } else { Role::Gateway };
    Member {
        address: place(number),
        run_id: RunId(number.into()),
        role: part,
        zone: "z".into(),
        name: format!("n{number}"),
        version: NodeVersion::CURRENT,
    }
}

fn seat(number: u8) -> VoterId {
    VoterId { address: place(number), disk_id: RunId(0) }
}

fn house(number: u8, now: Micros) -> NodeCore {
    let seeds = (1..=3).map(place).collect();
    NodeCore::start(member(number), seeds, 1_500_000, number.into(), now)
}

fn prompter(number: u8, now: Micros) -> (ControlPlane, Vec<Output>) {
    let voters = Members((1..=3).map(seat).collect());
    let house = house(number, now);
    let (mut control, out) = ControlPlane::start(
        house,
        seat(number),
        Some(voters),
        PersistentState::default(),
        &DerivedTimings::default(),
        number.into(),
        now,
    );
    control.enable_intent_checks(now, 2_500_000);
    (control, out)
}

fn beat(number: u8, sequence: u64, draining: bool) -> Heartbeat {
    Heartbeat {
        id: InstanceId(format!("i{number}")),
        service: "s".into(),
        address: format!("10.0.1.{number}:80").parse().expect("an address"),
        zone: "z".into(),
        version: "v1".into(),
        slots: 4,
        draining,
        warmup_left: 0,
        sequence,
    }
}

fn vote(number: u32) -> NodeMessage {
    let routes = vec![RouteTally {
        route: 3,
        trial_outcomes: 9,
        trial_failures: 1,
        base_outcomes: 100,
        base_failures: 1,
    }];
    let (service, voice, age) = ("s".to_owned(), VoteChoice::Promote, 2 * SECOND);
    NodeMessage::Vote(Vote {
        service,
        build_number: number,
        choice: voice,
        trial_outcomes: 40,
        trial_failures: 1,
        base_outcomes: 300,
        base_failures: 2,
        order_age: age,
        routes,
    })
}

impl Default for Words {
    fn default() -> Words {
        Words::new()
    }
}

/// Three prompters and a foyer in touch; what each says comes at once.
struct Hall {
    now: Micros,
    prompters: Vec<ControlPlane>,
    foyer: NodeCore,
    mail: Vec<(u8, NodeAddress, Vec<u8>)>,
}

impl Hall {
    fn start() -> Hall {
        let mut hall = Hall { now: 0, prompters: Vec::new(), foyer: house(4, 0), mail: Vec::new() };
        for number in 1..=3 {
            let (control, out) = prompter(number, 0);
            hall.prompters.push(control);
            hall.took(number, out);
        }
        hall
    }

    fn took(&mut self, number: u8, out: Vec<Output>) {
        let mut out = std::collections::VecDeque::from(out);
        while let Some(one) = out.pop_front() {
            match one {
                Output::Send { to, envelope: word } => self.post(number, to, &word),
                Output::Write(write) => {
                    out.extend(self.step(number, Input::WriteFinished { write: write.id, durable: true }))
                }
                Output::SaveInstances(_) | Output::Reply { .. } => {}
            }
        }
    }

    fn post(&mut self, from: u8, to: NodeAddress, word: &Envelope) {
        self.mail.push((from, to, word.to_bytes().expect("a word can be written")));
    }

    fn step(&mut self, number: u8, event: Input) -> Vec<Output> {
        self.prompters[usize::from(number) - 1].step(self.now, event)
    }

    fn foyer_says(&mut self) {
        for (at, word) in self.foyer.take_messages() {
            if let Some(letter) = self.foyer.envelope(at, word) {
                self.post(4, at, &letter);
            }
        }
    }

    /// Hands over what was said, and what is said to that; returns all of it.
    fn deliver(&mut self) -> Vec<(u8, Vec<u8>)> {
        let mut said = Vec::new();
        self.foyer_says();
        for _ in 0..4 {
            for (from, to, bytes) in std::mem::take(&mut self.mail) {
                said.push((from, bytes.clone()));
                let number = to.0.octets()[3];
                if number == 4 {
                    self.foyer.received(self.now, place(from), &bytes, Carrier::Datagram);
                    while self.foyer.next_event().is_some() {}
                    self.foyer_says();
                } else if (1..=3).contains(&number) {
                    let out = self.step(
                        number,
                        Input::Received { from: place(from), bytes, carrier: Carrier::Datagram },
                    );
                    self.took(number, out);
                }
            }
        }
        said
    }
}

impl Words {
    pub fn new() -> Words {
        let mut hall = Hall::start();
        let mut said: Vec<Vec<u8>> = Vec::new();
        let mut kinds = std::collections::BTreeMap::new();
        for round in 0..200u32 {
            hall.now += 50 * MS;
            for number in 1..=3 {
                let event = match (round, number) {
                    (80, 1..=3) => {
                        let command = Command::Replace { base: ConfigVersion(0), text: BILL.into() };
                        Input::Propose { call: CallId(80), command }
                    }
                    (90, 1) => Input::Heartbeat { call: CallId(90), heartbeat: beat(1, 1, false) },
                    (94, 2) => Input::Heartbeat { call: CallId(94), heartbeat: beat(2, 1, false) },
                    (100, 2) => Input::Heartbeat { call: CallId(100), heartbeat: beat(2, 2, true) },
                    (120, 1..=3) => {
                        let (service, target) = ("s".into(), "v2".into());
                        Input::Propose {
                            call: CallId(120),
                            command: Command::Rollout { service, target_version: target, period: SECOND },
                        }
                    }
                    _ => Input::Tick,
                };
                let out = hall.step(number, event);
                hall.took(number, out);
            }
            hall.foyer.tick(hall.now);
            while hall.foyer.next_event().is_some() {}
            if round % 40 == 39 {
                for to in 1..=3 {
                    let letter = hall.foyer.envelope(place(to), vote(2)).expect("a word of the first form");
                    hall.post(4, place(to), &letter);
                }
            }
            for (from, bytes) in hall.deliver() {
                // A few of each kind, by its two outer tags and its length.
                let kind = (bytes.get(2).copied(), bytes.get(3).copied(), bytes.len().ilog2(), from == 4);
                let count = kinds.entry(kind).or_insert(0);
                *count += 1;
                if *count <= 2 {
                    said.push([&[from, SOUND], &bytes[HEAD..]].concat());
                }
            }
        }
        Words { said }
    }
}

/// A variant's number.
fn variant<T>(value: &T) -> u64 {
    let told = format!("{:?}", std::mem::discriminant(value));
    told.bytes().filter(u8::is_ascii_digit).fold(0, |sum, digit| sum * 10 + u64::from(digit - b'0'))
}

/// Which message of its room a word is.
fn inner(word: &NodeMessage) -> u64 {
    match word {
        NodeMessage::Membership(message) => variant(&message.body),
        NodeMessage::Replication(message) => variant(message),
        NodeMessage::Registry(message) => variant(message),
        NodeMessage::Consensus { message: consensus::Message::Rpc { rpc: word, .. }, .. } => {
            16 + variant(word)
        }
        NodeMessage::Consensus { message, .. } => variant(message),
        NodeMessage::Vote(vote) => variant(&vote.choice),
        NodeMessage::Intent(word) => variant(word),
        NodeMessage::JoinRefused { agreed } => u64::from(agreed.0),
    }
}

/// The word in what came, where its head, its form and all of it are read here.
fn read(bytes: &[u8]) -> Option<NodeMessage> {
    let (form, _, word) = split_header(bytes)?;
    let (word, rest) = postcard::take_from_bytes(word).ok()?;
    (FormatRange::SUPPORTED.contains(form) && rest.is_empty()).then_some(word)
}

impl Target for Words {
    fn name(&self) -> &'static str {
        "words"
    }

    fn shape(&self) -> Shape {
        Shape::Frames(&Shape::Packed)
    }

    fn seeds(&self) -> Vec<Vec<u8>> {
        let singles = self.said.iter().map(|word| joined([word]));
        let headed = self.said.first().map(|word| {
            let head = [word[0], 0, FormatVersion::V1.tag_byte(), FormatVersion::V1.tag_byte()];
            joined([[&head, &word[HEAD..]].concat()])
        });
        singles.chain(headed).chain(self.said.chunks(WORDS).map(joined)).collect()
    }

    fn cost(&self) -> Cost {
        Cost { fixed: 24 << 20, each: 4_000 }
    }

    fn run(&mut self, input: &[u8]) -> Signature {
        let mut signature = Signature::default();
        let mut now = 0;
        let (mut control, out) = prompter(1, now);
        drop(out);
        let mut foyer = house(5, now);
        for frame in frames(input).into_iter().take(WORDS) {
            let [from, how, word @ ..] = frame else { continue };
            let sound = [FormatVersion::V1.tag_byte(); HEAD];
            let head: &[u8] = if how % 8 == 0 { &[] } else { &sound };
            let bytes = &[head, word].concat()[..];
            let from = place(from % 6);
            now += 20 * MS;
            let read = read(bytes);
            let tag = u64::from(bytes.get(2).copied().unwrap_or(0).min(7));
            signature.mark("read", u64::from(read.is_some()) << 8 | tag);
            signature.mark(
                "head",
                split_header(bytes).map_or(0, |(form, newest, _)| {
                    1 + u64::from(FormatRange::SUPPORTED.contains(form))
                        + 2 * u64::from(FormatRange::SUPPORTED.contains(newest))
                }),
            );
            let before = (foyer.state.last_applied(), foyer.replicator.index(), foyer.registry.revision());
            // What time alone made it say.
            while foyer.next_event().is_some() {}
            drop(foyer.take_messages());
            foyer.received(now, from, bytes, Carrier::Datagram);
            let mut happened = 0;
            while foyer.next_event().is_some() {
                happened += 1;
            }
            let said = foyer.take_messages().len();
            match read {
                Some(word) => {
                    let written = postcard::to_stdvec(&word).expect("what is read can be written");
                    let again: NodeMessage = postcard::from_bytes(&written).expect("and read again");
                    assert_eq!(postcard::to_stdvec(&again).as_ref(), Ok(&written), "it reads back the same");
                    signature.mark("inner", (tag << 8 | inner(&word)) << 8 | said.min(3) as u64);
                }
                None => {
                    let after =
                        (foyer.state.last_applied(), foyer.replicator.index(), foyer.registry.revision());
                    assert_eq!((after, happened, said), (before, 0, 0), "what can't be read does nothing");
                }
            }
            assert!(
                foyer.state.last_applied() >= before.0 && foyer.replicator.index() >= before.1,
                "nothing goes back"
            );
            signature.bucket("happened", tag << 8 | happened);
            let known = control.node.state.last_applied();
            let mut out = control
                .step(now, Input::Received { from, bytes: bytes.to_vec(), carrier: Carrier::Datagram });
            let mut turns = 0;
            while let Some(at) = out.iter().position(|out| matches!(out, Output::Write(_))) {
                let Output::Write(write) = out.remove(at) else { break };
                signature.mark("write", tag << 2 | u64::from(write.snapshot.is_some()) << 1);
                out.extend(control.step(now, Input::WriteFinished { write: write.id, durable: true }));
                turns += 1;
                assert!(turns < 100, "a word has an end");
            }
            signature.bucket("out", tag << 8 | out.len() as u64);
            assert!(control.node.state.last_applied() >= known, "nothing goes back");
            out = control.step(now, Input::Tick);
            foyer.tick(now);
            drop(out);
        }
        // What was taken in must not do harm later.
        for later in [SECOND, 3 * SECOND, 60 * SECOND] {
            drop(control.step(now + later, Input::Tick));
            foyer.tick(now + later);
        }
        signature.bucket("members", foyer.membership.up(Role::Gateway).count() as u64);
        signature.bucket("instances", foyer.registry.instances().count() as u64);
        signature.mark("unreadable", u64::from(foyer.unreadable_entry().is_some()));
        signature.bucket("term", control.raft().term().0);
        signature.bucket("changes", foyer.registry.revision());
        signature
    }
}
