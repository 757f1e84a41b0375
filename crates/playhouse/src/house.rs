//! House (one node's common part): what foyers and prompters share: who is there, the ordered news, the
//! instances. It moves words and time between the rooms and decides nothing; no I/O, so that rehearsals
//! drive the same code as the sockets do.

use std::collections::{BTreeMap, VecDeque};
use std::time::Instant;

use callboard::Callboard;
use cast::Cast;
use company::{Company, Member, Part, Standing};
use props::{Ask, Index, Micros, Place, Seat};
use script::{Broken, Outcome, Script};
use serde::{Deserialize, Serialize};

/// What nodes say to each other, each word of one room.
#[derive(Debug, Serialize, Deserialize)]
pub enum Word {
    Company(company::Message),
    Board(callboard::Message),
    Cast(cast::Message),
    Book { from: Seat, message: promptbook::Message },
    Vote(script::Vote),
    Intent(intent::Word),
}

/// What has happened here, for the part that this node plays.
#[derive(Debug)]
pub enum Happened {
    /// A command was applied; the outcome is everywhere the same.
    Applied {
        index: Index,
        outcome: Outcome,
        ask: Option<Ask>,
    },
    /// The state was replaced by a whole newer one.
    Restored,
    Instance(cast::InstanceId),
    BeatTaken {
        ask: Ask,
        target: Option<Place>,
    },
    BeatNotTaken {
        ask: Ask,
    },
    Peers,
    Book {
        from: Seat,
        message: promptbook::Message,
    },
    Vote {
        from: Place,
        vote: script::Vote,
    },
    Intent {
        from: Place,
        word: intent::Word,
    },
}

/// The steady clock of this process, in microseconds since it began.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    pub fn start() -> Clock {
        Clock(Instant::now())
    }

    pub fn now(&self) -> Micros {
        self.0.elapsed().as_micros() as Micros
    }

    pub fn at(&self, at: Micros) -> tokio::time::Instant {
        tokio::time::Instant::from_std(self.0 + std::time::Duration::from_micros(at.max(0) as u64))
    }
}

/// A number by chance, from the system's source of it: seeds and lives.
pub fn chance() -> u64 {
    use std::hash::{BuildHasher, Hasher};
    std::collections::hash_map::RandomState::new().build_hasher().finish()
}

pub struct House {
    pub own: Member,
    pub company: Company,
    pub board: Callboard,
    pub cast: Cast,
    pub script: Script,
    unreadable: Option<Index>,
    /// When the state changed last, and what a prompter heard that others hold, with its moment.
    applied_at: Micros,
    holds: BTreeMap<Place, (Index, Micros)>,
    happened: VecDeque<Happened>,
    out: Vec<(Place, Word)>,
}

impl House {
    /// Begins to look for the others. `own.life` is the process's; `beat` is what instances let pass between
    /// beats; `seed` moves all that is left to chance.
    pub fn start(own: Member, seeds: Vec<Place>, beat: Micros, seed: u64, now: Micros) -> House {
        let mode = match own.part {
            Part::Prompter => callboard::Mode::Source,
            Part::Foyer => callboard::Mode::Follower,
        };
        let (company, effects) = Company::start(own.clone(), seeds, company::Timing::usual(), seed, now);
        let board = Callboard::start(own.place, mode, Index(0), seed ^ 1, now);
        let cast = Cast::start(own.place, cast::Timing::of_heartbeat(beat), seed ^ 2, now);
        let script = Script::new();
        let (happened, out) = (VecDeque::new(), Vec::new());
        let (unreadable, applied_at, holds) = (None, now, BTreeMap::new());
        let mut house =
            House { own, company, board, cast, script, unreadable, applied_at, holds, happened, out };
        house.company_did(now, effects);
        house
    }

    /// What a prompter knew of the instances before its start, as `memory` gave it; right after `start`.
    pub fn remember(&mut self, now: Micros, bytes: &[u8]) {
        match postcard::from_bytes(bytes) {
            Ok(records) => {
                let effects = self.cast.remember(now, records);
                self.cast_did(effects);
            }
            Err(error) => log::warn!("remembered instances can't be read: {error}"),
        }
    }

    /// The instances, to be remembered.
    pub fn memory(&self, now: Micros) -> Vec<u8> {
        // Plain types into a growing vector: this fails only where a type can't be written at all.
        postcard::to_stdvec(&self.cast.memory(now)).expect("a type that postcard can't write")
    }

    /// What has happened since this was asked last, oldest first.
    pub fn happened(&mut self) -> Option<Happened> {
        self.happened.pop_front()
    }

    /// The entry whose state came and can't be read here, as one of a newer program. What is applied after it
    /// is built on too little, so that a prompter must not go on.
    pub fn unreadable(&self) -> Option<Index> {
        self.unreadable
    }

    /// The newest entry that another node is known to hold, where it has told of it since it must have heard
    /// of what is here: `slack` after the last change. Kept by prompters only.
    pub fn holds(&self, place: Place, slack: Micros) -> Option<Index> {
        let (index, at) = self.holds.get(&place)?;
        (*index >= self.board.index() || *at >= self.applied_at + slack).then_some(*index)
    }

    /// Notes what a node tells that it holds, for those who look after the system; nothing is decided by it.
    fn heard_that_it_holds(&mut self, now: Micros, from: Place, message: &callboard::Message) {
        let index = match message {
            callboard::Message::Have { index, .. } => *index,
            callboard::Message::Want { have, .. } => *have,
            _ => return,
        };
        // Bounded by those who are known; others are no nodes of this system yet.
        if self.own.part == Part::Prompter && self.company.since(from).is_some() {
            self.holds.insert(from, (index, now));
        }
    }

    /// What is ordered, as far as it has come here; none before the first configuration.
    pub fn intent(&self) -> Option<intent::Intent> {
        let bill = self.script.bill()?;
        Some(intent::Intent::read(self.script.index(), bill, self.script.rollouts.values()))
    }

    /// The nodes of one part that are up, without this one.
    pub fn up(&self, part: Part) -> Vec<Place> {
        self.company.up(part).map(|member| member.place).filter(|place| *place != self.own.place).collect()
    }

    pub fn send(&mut self, to: Place, word: Word) {
        self.out.push((to, word));
    }

    /// What is to be sent since this was asked last.
    pub fn out(&mut self) -> Vec<(Place, Word)> {
        std::mem::take(&mut self.out)
    }

    /// When the rooms next want to be woken.
    pub fn due(&self) -> Micros {
        self.company.due().min(self.board.due()).min(self.cast.due())
    }

    /// Wakes the rooms whose time has come.
    pub fn tick(&mut self, now: Micros) {
        if self.company.due() <= now {
            let effects = self.company.step(now, company::Event::Tick);
            self.company_did(now, effects);
        }
        if self.board.due() <= now {
            let effects = self.board.step(now, callboard::Event::Tick);
            self.board_did(now, effects);
        }
        if self.cast.due() <= now {
            let effects = self.cast.step(now, cast::Event::Tick);
            self.cast_did(effects);
        }
    }

    /// Takes what another node sent; what can't be read is dropped, as a lost datagram would be.
    pub fn received(&mut self, now: Micros, from: Place, bytes: &[u8]) {
        let word = match postcard::from_bytes(bytes) {
            Ok(word) => word,
            Err(error) => return log::warn!("a word from {from} can't be read: {error}"),
        };
        match word {
            Word::Company(message) => {
                let effects = self.company.step(now, company::Event::Received { from, message });
                self.company_did(now, effects);
            }
            Word::Board(message) => {
                self.heard_that_it_holds(now, from, &message);
                let effects = self.board.step(now, callboard::Event::Received { from, message });
                self.board_did(now, effects);
            }
            Word::Cast(message) => {
                let effects = self.cast.step(now, cast::Event::Received { from, message });
                self.cast_did(effects);
            }
            Word::Book { from, message } => self.happened.push_back(Happened::Book { from, message }),
            Word::Vote(vote) => self.happened.push_back(Happened::Vote { from, vote }),
            Word::Intent(word) => self.happened.push_back(Happened::Intent { from, word }),
        }
    }

    /// The settings name other machines that may know others.
    pub fn seeds_changed(&mut self, now: Micros, seeds: Vec<Place>) {
        let effects = self.company.step(now, company::Event::Seeds { places: seeds });
        self.company_did(now, effects);
    }

    pub fn leave(&mut self, now: Micros) {
        let effects = self.company.step(now, company::Event::Leave);
        self.company_did(now, effects);
    }

    pub fn beat(&mut self, now: Micros, ask: Ask, beat: cast::Beat) {
        let effects = self.cast.step(now, cast::Event::Beat { ask, beat });
        self.cast_did(effects);
    }

    pub fn detach(&mut self, now: Micros, ask: Ask, id: cast::InstanceId) {
        let effects = self.cast.step(now, cast::Event::Detach { ask, id });
        self.cast_did(effects);
    }

    /// A command that this node's own log has committed.
    pub fn committed(&mut self, now: Micros, index: Index, data: Vec<u8>, ask: Option<Ask>) {
        self.apply(now, index, &data, ask);
        let effects = self.board.step(now, callboard::Event::Committed { index, data });
        self.board_did(now, effects);
    }

    /// A state that this node's own log holds.
    pub fn restored(&mut self, now: Micros, index: Index, data: Vec<u8>) {
        self.restore(now, index, &data);
        let effects = self.board.step(now, callboard::Event::Restored { index });
        self.board_did(now, effects);
    }

    fn apply(&mut self, now: Micros, index: Index, data: &[u8], ask: Option<Ask>) {
        self.applied_at = now;
        let outcome = self.script.apply(now, index, data);
        self.happened.push_back(Happened::Applied { index, outcome, ask });
    }

    fn restore(&mut self, now: Micros, index: Index, data: &[u8]) {
        match self.script.restore(now, index, data) {
            Ok(()) => {
                self.applied_at = now;
                self.happened.push_back(Happened::Restored);
            }
            // What is here is newer; nothing is lacking.
            Err(error @ Broken::Older { .. }) => log::warn!("a state is passed over: {error}"),
            Err(error) => {
                self.unreadable = Some(index);
                log::error!("the state at {} can't be read: {error}", index.0);
            }
        }
    }

    fn company_did(&mut self, now: Micros, effects: Vec<company::Effect>) {
        let mut changed = false;
        for effect in effects {
            match effect {
                company::Effect::Send { to, message } => self.send(to, Word::Company(message)),
                company::Effect::Changed { member, standing } => {
                    let level = match standing {
                        Standing::Dead | Standing::Left => log::Level::Info,
                        Standing::Alive | Standing::Suspect => log::Level::Debug,
                    };
                    log::log!(level, "{} ({}) is {standing:?}", member.name, member.place);
                    changed = true;
                }
            }
        }
        if changed {
            let known = &self.company;
            self.holds.retain(|place, _| known.since(*place).is_some());
            let (hubs, others) = (self.up(Part::Prompter), self.up(Part::Foyer));
            let event = callboard::Event::Peers { hubs: hubs.clone(), others: others.clone() };
            let effects = self.board.step(now, event);
            self.board_did(now, effects);
            let own = (self.own.part == Part::Prompter).then_some(self.own.place);
            let hubs = own.into_iter().chain(hubs).collect();
            let effects = self.cast.step(now, cast::Event::Peers { hubs, others });
            self.cast_did(effects);
            self.happened.push_back(Happened::Peers);
        }
    }

    fn board_did(&mut self, now: Micros, effects: Vec<callboard::Effect>) {
        for effect in effects {
            match effect {
                callboard::Effect::Send { to, message } => self.send(to, Word::Board(message)),
                callboard::Effect::Apply { index, data } => self.apply(now, index, &data, None),
                callboard::Effect::Restore { index, data } => self.restore(now, index, &data),
                callboard::Effect::NeedWhole => {
                    let (index, data) = (self.script.index(), self.script.snapshot());
                    let effects = self.board.step(now, callboard::Event::Kept { index, data });
                    self.board_did(now, effects);
                }
            }
        }
    }

    fn cast_did(&mut self, effects: Vec<cast::Effect>) {
        for effect in effects {
            match effect {
                cast::Effect::Send { to, message } => self.send(to, Word::Cast(message)),
                cast::Effect::Taken { ask, target } => {
                    self.happened.push_back(Happened::BeatTaken { ask, target });
                }
                cast::Effect::NotTaken { ask } => self.happened.push_back(Happened::BeatNotTaken { ask }),
                cast::Effect::Changed { record } => {
                    if record.state == cast::State::Silent {
                        log::info!("instance {} of {} is silent", record.id.0, record.service);
                    }
                    self.happened.push_back(Happened::Instance(record.id));
                }
            }
        }
    }
}
