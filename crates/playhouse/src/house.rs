//! House (one node's common part): what foyers and prompters share: who is there, the ordered news, the
//! instances. It moves words and time between the rooms and decides nothing; no I/O, so that rehearsals
//! drive the same code as the sockets do.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Instant;

use control_state::{CommandOutcome, ControlState, SnapshotError};
use membership::{Member, MemberStatus, Membership, Role};
use registry::Registry;
use replication::Replicator;
use serde::{Deserialize, Serialize};
use types::{
    CallId, Carrier, FormatVersion, LogIndex, MS, Micros, NodeAddress, NodeVersion, ProgramVersion, SECOND,
    VoterId,
};

use crate::paths::Paths;

/// What nodes say to each other, each word of one room.
#[derive(Debug, Serialize, Deserialize)]
pub enum Word {
    Company(membership::Message),
    Board(replication::Message),
    Cast(registry::Message),
    Book {
        from: VoterId,
        message: consensus::Message,
    },
    Vote(control_state::Vote),
    Intent(intent::Word),
    /// By a leader, to a node that does not read the form that is agreed, and so is not let in.
    NotLetIn {
        agreed: FormatVersion,
    },
}

impl Word {
    /// The form that brought this word: it is not sent to a node that reads less.
    pub fn since(&self) -> FormatVersion {
        match self {
            Word::Board(message) => message.introduced_in(),
            Word::Cast(message) => message.introduced_in(),
            Word::Book { message, .. } => message.min_format(),
            Word::Company(_) | Word::Vote(_) | Word::Intent(_) | Word::NotLetIn { .. } => FormatVersion::V1,
        }
    }
}

/// A gap in the ordered news that lasted so long is told of.
const GAP_TOLD: Micros = SECOND;
/// From this program on, foyers choose the prompters that serve them (`replication`, watches).
const WATCHES_SINCE: ProgramVersion = ProgramVersion { major: 0, minor: 7, patch: 0 };
/// Senders and forms of refused words that are told of at most; more are only counted.
const MOST_TOLD: usize = 128;

/// Whether foyers of an edition choose the prompters that serve them, which takes the word for it as well.
fn watches(edition: NodeVersion) -> bool {
    edition.program >= WATCHES_SINCE
        && edition.formats.newest >= replication::Message::FreshnessRequest.introduced_in()
}

/// A word with its head: the form that it is in, and the newest that its sender reads.
#[derive(Debug)]
pub struct Letter {
    form: FormatVersion,
    newest: FormatVersion,
    word: Word,
    carrier: Carrier,
}

impl Letter {
    /// By what it is to go, where a datagram would hold it.
    pub fn carrier(&self) -> Carrier {
        self.carrier
    }

    /// Two bytes of head, then the word: what a form adds are words of their own, so that all are written alike.
    pub fn to_bytes(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_extend(&self.word, vec![self.form.tag_byte(), self.newest.tag_byte()])
    }
}

impl std::ops::Deref for Letter {
    type Target = Word;

    fn deref(&self) -> &Word {
        &self.word
    }
}

/// The head of what came, and the rest. `None`: no head, as before forms; or a head that nobody writes.
pub fn opened(bytes: &[u8]) -> Option<(FormatVersion, FormatVersion, &[u8])> {
    let [form, newest, rest @ ..] = bytes else { return None };
    let (form, newest) = (FormatVersion::from_tag_byte(*form)?, FormatVersion::from_tag_byte(*newest)?);
    (form <= newest).then_some((form, newest, rest))
}

/// What has happened here, for the part that this node plays.
#[derive(Debug)]
pub enum Happened {
    /// A command was applied; the outcome is everywhere the same.
    Applied {
        index: LogIndex,
        outcome: CommandOutcome,
        ask: Option<CallId>,
    },
    /// The state was replaced by a whole newer one.
    Restored,
    Instance(registry::InstanceId),
    BeatTaken {
        ask: CallId,
        target: Option<NodeAddress>,
    },
    BeatNotTaken {
        ask: CallId,
    },
    Peers,
    Book {
        from: VoterId,
        message: consensus::Message,
    },
    Vote {
        from: NodeAddress,
        vote: control_state::Vote,
    },
    Intent {
        from: NodeAddress,
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

/// What came and is of a form that is not read here.
#[derive(Debug)]
struct Unreadable {
    index: LogIndex,
    why: String,
}

pub struct House {
    pub own: Member,
    pub company: Membership,
    pub board: Replicator,
    pub cast: Registry,
    pub script: ControlState,
    unreadable: Option<Unreadable>,
    /// By what words of the board and of the cast and votes go; others are for a datagram, or their length says it.
    paths: Paths,
    /// What the board and the cast were told of this node's own link.
    strained: bool,
    /// Foyers of older programs, and which of the board's watchers the cast was told of.
    unwatching: Vec<NodeAddress>,
    watchers_told: u64,
    /// When something came or was due last.
    now: Micros,
    /// The newest form that each known node reads, as the head of its last word said.
    heard: BTreeMap<NodeAddress, FormatVersion>,
    /// Words that were refused for their form, and the senders and forms that were told of already.
    refused: u64,
    told: BTreeSet<(NodeAddress, Option<FormatVersion>)>,
    /// When the state changed last, and what a prompter heard that others hold, with its moment.
    applied_at: Micros,
    holds: BTreeMap<NodeAddress, (LogIndex, Micros)>,
    /// At a prompter that leads or knows who does: when a majority was last in touch by what was heard, and whether the
    /// leader is asked if it hears this node.
    touch: Option<(Micros, bool)>,
    /// For metrics: commands that changed nothing, and members that were declared dead, since the start.
    not_taken: u64,
    declared_dead: u64,
    happened: VecDeque<Happened>,
    out: Vec<(NodeAddress, Word)>,
}

impl House {
    /// Begins to look for the others. `own.life` is the process's; `beat` is what instances let pass between
    /// beats; `seed` moves all that is left to chance.
    pub fn start(own: Member, seeds: Vec<NodeAddress>, beat: Micros, seed: u64, now: Micros) -> House {
        let mode = match own.role {
            Role::ControlNode => replication::Mode::Source,
            Role::Gateway => replication::Mode::Follower,
        };
        let (company, effects) =
            Membership::start(own.clone(), seeds, membership::Timing::default(), seed, now);
        let board = Replicator::start(own.address, mode, LogIndex(0), seed ^ 1, now);
        let cast = Registry::new(own.address, registry::Timing::for_heartbeat_interval(beat), seed ^ 2, now);
        let script = ControlState::supporting(own.version.formats);
        let mut house = House {
            own,
            company,
            board,
            cast,
            script,
            unreadable: None,
            paths: Paths::default(),
            strained: false,
            unwatching: Vec::new(),
            watchers_told: 0,
            now,
            heard: BTreeMap::new(),
            refused: 0,
            told: BTreeSet::new(),
            applied_at: now,
            holds: BTreeMap::new(),
            touch: None,
            not_taken: 0,
            declared_dead: 0,
            happened: VecDeque::new(),
            out: Vec::new(),
        };
        house.company_did(now, effects);
        house
    }

    /// What a prompter knew of the instances before its start, as `memory` gave it; right after `start`.
    pub fn remember(&mut self, now: Micros, bytes: &[u8]) {
        let (form, records) = match bytes {
            // A list that is not empty begins with its length, and an empty one is this byte alone.
            [0, form, records @ ..] => (FormatVersion(*form), records),
            // Of a program before forms, as the first form is.
            _ => (FormatVersion::V1, bytes),
        };
        if !self.own.version.formats.contains(form) {
            let own = self.own.version;
            return log::warn!("remembered instances are of form {form}, this is {own}: they are dropped");
        }
        match postcard::take_from_bytes(records) {
            Ok((records, [])) => {
                let effects = self.cast.restore(now, records);
                self.cast_did(effects);
            }
            Ok(_) => log::warn!("remembered instances can't be read: there is more than a list"),
            Err(error) => log::warn!("remembered instances can't be read: {error}"),
        }
    }

    /// The instances, to be remembered: a byte 0, the form that is agreed, the list.
    pub fn memory(&self, now: Micros) -> Vec<u8> {
        let head = vec![0, self.script.agreed_format().0];
        // Plain types into a growing vector: this fails only where a type can't be written at all.
        postcard::to_extend(&self.cast.snapshot(now), head).expect("a type that postcard can't write")
    }

    /// What has happened since this was asked last, oldest first.
    pub fn happened(&mut self) -> Option<Happened> {
        self.happened.pop_front()
    }

    /// The entry whose state came and can't be read here, as one of a newer program. What is applied after it
    /// is built on too little, so that a prompter must not go on.
    pub fn unreadable(&self) -> Option<LogIndex> {
        self.unreadable.as_ref().map(|unreadable| unreadable.index)
    }

    /// Why, in words that name what is read here.
    pub fn why_unreadable(&self) -> Option<&str> {
        self.unreadable.as_ref().map(|unreadable| &*unreadable.why)
    }

    /// Words refused for their form since the start.
    pub fn refused(&self) -> u64 {
        self.refused
    }

    /// Commands applied here that changed nothing, since the start.
    pub fn not_taken(&self) -> u64 {
        self.not_taken
    }

    /// How many times a member was declared dead here.
    pub fn declared_dead(&self) -> u64 {
        self.declared_dead
    }

    /// At a foyer: how old at most what is held here is, as a prompter proved it; none before the first proof.
    pub fn news_age(&self) -> Option<Micros> {
        self.board.watch_stats().up_to_date_at.map(|as_of| (self.now - as_of).max(0))
    }

    /// At a prompter: the foyers that watch it, and how many of these are held dead here or not known.
    pub fn watchers(&self) -> usize {
        self.board.watchers().count()
    }

    pub fn watchers_held_dead(&self) -> usize {
        let up = self.up(Role::Gateway);
        self.board.watchers().filter(|place| !up.contains(place)).count()
    }

    /// The newest form that both this node and the one at a place read; the oldest while it was not heard.
    pub fn shared(&self, with: NodeAddress) -> FormatVersion {
        let forms = self.own.version.formats;
        self.heard.get(&with).map_or(forms.oldest, |newest| forms.newest_common(*newest))
    }

    /// A word as it goes to a node, in the form that both read. None: the word is of a newer form than that, and
    /// is not sent; who says it must not count on it before all known nodes read it (`ControlState::agreed_format`).
    pub fn letter(&self, to: NodeAddress, word: Word) -> Option<Letter> {
        let form = self.shared(to);
        let carrier = match word {
            Word::Board(_) | Word::Cast(_) | Word::Vote(_) => {
                self.paths.carrier(self.now, to, self.is_hub(to))
            }
            _ => Carrier::Datagram,
        };
        let newest = self.own.version.formats.newest;
        (word.since() <= form).then_some(Letter { form, newest, word, carrier })
    }

    fn is_hub(&self, place: NodeAddress) -> bool {
        self.company.member(place).is_some_and(|member| member.role == Role::ControlNode)
    }

    /// Whether datagrams to or from this node seem to be lost.
    pub fn strained(&self) -> bool {
        self.strained
    }

    /// Nodes that are written to by stream, as datagrams to or from them are lost.
    pub fn streams(&self) -> usize {
        self.paths.streams(self.now)
    }

    /// The node at a place, where it is known not to read the form that is agreed.
    pub fn unfit(&self, place: NodeAddress) -> Option<NodeVersion> {
        let edition = self.company.member(place)?.version;
        (!edition.formats.contains(self.script.agreed_format())).then_some(edition)
    }

    /// Whether a word of this form from there is to be told of: once, until one came that can be read.
    pub fn tells(&mut self, from: NodeAddress, form: Option<FormatVersion>) -> bool {
        self.told.len() < MOST_TOLD && self.told.insert((from, form))
    }

    /// Counts a word that can't be read for its form, and tells of the first.
    fn refuse(&mut self, from: NodeAddress, form: Option<FormatVersion>) {
        self.refused += 1;
        if !self.tells(from, form) {
            return;
        }
        let own = self.own.version;
        let program =
            self.company.member(from).map(|member| format!(" (program {})", member.version.program));
        let program = program.unwrap_or_default();
        match form {
            Some(form) => log::warn!("words of form {form} from {from}{program} are refused: this is {own}"),
            None => log::warn!("words without a form from {from}{program} are refused: this is {own}"),
        }
    }

    /// Nothing more is applied here, and a prompter must not go on.
    fn give_up(&mut self, index: LogIndex, why: String) {
        if self.unreadable.is_none() {
            log::error!("the state at {} can't be read: {why}", index.0);
            self.unreadable = Some(Unreadable { index, why });
        }
    }

    /// The newest entry that another node is known to hold, where it has told of it since it must have heard
    /// of what is here: `slack` after the last change. Kept by prompters only.
    pub fn holds(&self, place: NodeAddress, slack: Micros) -> Option<LogIndex> {
        let (index, at) = self.holds.get(&place)?;
        (*index >= self.board.index() || *at >= self.applied_at + slack).then_some(*index)
    }

    /// Notes what a node tells that it holds, for those who look after the system; nothing is decided by it.
    fn heard_that_it_holds(&mut self, now: Micros, from: NodeAddress, message: &replication::Message) {
        let index = match message {
            replication::Message::Digest { index, .. } => *index,
            replication::Message::Pull { held: have, .. } => *have,
            _ => return,
        };
        // Bounded by those who are known; others are no nodes of this system yet.
        if self.own.role == Role::ControlNode && self.company.status_since(from).is_some() {
            self.holds.insert(from, (index, now));
        }
    }

    /// What is ordered, as far as it has come here; none before the first configuration.
    pub fn intent(&self) -> Option<intent::Intent> {
        let bill = self.script.configuration()?;
        Some(intent::Intent::read(self.script.last_applied(), bill, self.script.rollouts.values()))
    }

    /// The nodes of one part that are up, without this one.
    pub fn up(&self, part: Role) -> Vec<NodeAddress> {
        self.company
            .up(part)
            .map(|member| member.address)
            .filter(|place| *place != self.own.address)
            .collect()
    }

    pub fn send(&mut self, to: NodeAddress, word: Word) {
        self.out.push((to, word));
    }

    /// What is to be said since this was asked last, as the rooms said it.
    pub fn out(&mut self) -> Vec<(NodeAddress, Word)> {
        std::mem::take(&mut self.out)
    }

    /// What is to be sent since this was asked last, each word as its reader takes it. One that is newer than what
    /// its reader is known to read is dropped, as a lost datagram would be.
    pub fn letters(&mut self) -> Vec<(NodeAddress, Letter)> {
        let words = self.out().into_iter();
        let letters: Vec<(NodeAddress, Letter)> =
            words.filter_map(|(to, word)| Some((to, self.letter(to, word)?))).collect();
        for (to, _) in letters.iter().filter(|(_, letter)| letter.carrier == Carrier::Stream) {
            self.paths.wrote(self.now, *to);
        }
        self.paths.answered();
        letters
    }

    /// Whether what is here may be served from: a source once proved it in this life, or those that are there are
    /// of programs that don't know how.
    pub fn proved(&self) -> bool {
        let hubs = self.up(Role::ControlNode);
        let mut forms = hubs.iter().filter_map(|place| self.heard.get(place)).peekable();
        let knows = replication::Message::FreshnessRequest.introduced_in();
        self.board.is_fresh() || (forms.peek().is_some() && forms.all(|form| *form < knows))
    }

    /// The ordered voters, for those who count a majority.
    pub fn voters(&mut self, now: Micros, places: Vec<NodeAddress>) {
        let effects = self.cast.step(now, registry::Event::Voters { addresses: places });
        self.cast_did(effects);
    }

    /// How this prompter stands to a majority, when it was last in touch with one by what it heard, and who leads. A
    /// leader that reads form 2 is asked whether it hears this node.
    pub fn stands(
        &mut self, now: Micros, standing: replication::Freshness, proved: Option<Micros>,
        leader: Option<NodeAddress>,
    ) {
        let effects = self.board.step(now, replication::Event::FreshnessChanged { freshness: standing });
        self.board_did(now, effects);
        let asked = leader.filter(|place| {
            *place != self.own.address
                && self.shared(*place) >= replication::Message::FreshnessRequest.introduced_in()
        });
        let effects = self.board.step(now, replication::Event::FollowsLeader { leader: asked });
        self.board_did(now, effects);
        // One that leads knows it by answers; with an older leader nothing better is to be had.
        self.touch = proved.filter(|_| leader.is_some()).map(|at| (at, asked.is_some()));
        self.tell_touch(now);
    }

    /// Whoever hears a leader and is not heard by it is not in touch.
    fn tell_touch(&mut self, now: Micros) {
        let Some((proved, asked)) = self.touch else { return };
        let at =
            if asked { self.board.leader_contact().map(|heard| heard.min(proved)) } else { Some(proved) };
        if let Some(at) = at {
            let effects = self.cast.step(now, registry::Event::MajorityContact { at });
            self.cast_did(effects);
        }
    }

    /// When the rooms next want to be woken.
    pub fn due(&self) -> Micros {
        self.company.due().min(self.board.due()).min(self.cast.next_due())
    }

    /// Wakes the rooms whose time has come.
    pub fn tick(&mut self, now: Micros) {
        self.now = now;
        if self.company.due() <= now {
            let effects = self.company.step(now, membership::Event::Tick);
            self.company_did(now, effects);
        }
        self.tell_strain(now);
        if self.board.due() <= now {
            let effects = self.board.step(now, replication::Event::Tick);
            self.board_did(now, effects);
        }
        if self.cast.next_due() <= now {
            let effects = self.cast.step(now, registry::Event::Tick);
            self.cast_did(effects);
        }
    }

    /// A foyer whose own link seems to lose datagrams reaches the prompters by streams.
    fn tell_strain(&mut self, now: Micros) {
        if self.own.role != Role::Gateway {
            return;
        }
        self.paths.probes_fail(self.company.is_degraded());
        let strained = self.paths.strained(now);
        if strained == self.strained {
            return;
        }
        self.strained = strained;
        let effects = self.board.step(now, replication::Event::LinkDegraded { degraded: strained });
        self.board_did(now, effects);
        let effects = self.cast.step(now, registry::Event::LinkStrained { strained });
        self.cast_did(effects);
    }

    /// Takes what another node sent; what can't be read is dropped, as a lost datagram would be.
    pub fn received(&mut self, now: Micros, from: NodeAddress, bytes: &[u8], carrier: Carrier) {
        self.now = now;
        if let Some(member) = self.company.member(from) {
            self.paths.heard(now, from, member.role == Role::ControlNode, carrier, bytes.len());
        }
        let Some((form, newest, word)) = opened(bytes) else { return self.refuse(from, None) };
        if !self.own.version.formats.contains(form) {
            self.refuse(from, Some(form));
            return self.hear(from, newest);
        }
        let word = match postcard::take_from_bytes(word) {
            Ok((word, [])) => word,
            Ok(_) => return log::warn!("a word from {from} can't be read: there is more than a word"),
            Err(error) => return log::warn!("a word from {from} can't be read: {error}"),
        };
        self.take(now, from, word);
        self.hear(from, newest);
        if !self.told.is_empty() {
            self.told.retain(|(place, _)| *place != from);
        }
    }

    /// Keeps what a node reads, as long as the node is known.
    fn hear(&mut self, from: NodeAddress, newest: FormatVersion) {
        if self.heard.get(&from) != Some(&newest) && self.company.member(from).is_some() {
            self.heard.insert(from, newest);
        }
    }

    fn take(&mut self, now: Micros, from: NodeAddress, word: Word) {
        match word {
            Word::Company(message) => {
                let effects = self.company.step(now, membership::Event::Received { from, message });
                self.company_did(now, effects);
            }
            Word::Board(message) => {
                self.heard_that_it_holds(now, from, &message);
                let before = self.board.leader_contact();
                let effects = self.board.step(now, replication::Event::Received { from, message });
                self.board_did(now, effects);
                if self.board.leader_contact() != before {
                    self.tell_touch(now);
                }
            }
            Word::Cast(message) => {
                let effects = self.cast.step(now, registry::Event::Received { from, message });
                self.cast_did(effects);
            }
            Word::Book { from, message } => self.happened.push_back(Happened::Book { from, message }),
            Word::Vote(vote) => self.happened.push_back(Happened::Vote { from, vote }),
            Word::Intent(word) => self.happened.push_back(Happened::Intent { from, word }),
            Word::NotLetIn { agreed } if !self.own.version.formats.contains(agreed) => {
                let why = format!("form {agreed} is agreed, this is {}", self.own.version);
                self.give_up(self.script.last_applied(), why);
            }
            // This process reads it: the one before it here was meant.
            Word::NotLetIn { .. } => {}
        }
    }

    /// The settings name other machines that may know others.
    pub fn seeds_changed(&mut self, now: Micros, seeds: Vec<NodeAddress>) {
        let effects = self.company.step(now, membership::Event::Seeds { addresses: seeds });
        self.company_did(now, effects);
    }

    pub fn leave(&mut self, now: Micros) {
        let effects = self.company.step(now, membership::Event::Leave);
        self.company_did(now, effects);
    }

    pub fn beat(&mut self, now: Micros, ask: CallId, beat: registry::Heartbeat) {
        let effects = self.cast.step(now, registry::Event::Heartbeat { call: ask, heartbeat: beat });
        self.cast_did(effects);
    }

    pub fn detach(&mut self, now: Micros, ask: CallId, id: registry::InstanceId) {
        let effects = self.cast.step(now, registry::Event::Detach { call: ask, id });
        self.cast_did(effects);
    }

    /// A command that this node's own log has committed.
    pub fn committed(&mut self, now: Micros, index: LogIndex, data: Vec<u8>, ask: Option<CallId>) {
        self.apply(now, index, &data, ask);
        let effects = self.board.step(now, replication::Event::Committed { index, data });
        self.board_did(now, effects);
    }

    /// A state that this node's own log holds.
    pub fn restored(&mut self, now: Micros, index: LogIndex, data: Vec<u8>) {
        self.restore(now, index, &data);
        let effects = self.board.step(now, replication::Event::Restored { index });
        self.board_did(now, effects);
    }

    fn apply(&mut self, now: Micros, index: LogIndex, data: &[u8], ask: Option<CallId>) {
        // Commands that come after a state that was not read would be applied to what was there before it.
        if self.unreadable.is_some() {
            return;
        }
        let agreed = self.script.agreed_format();
        self.applied_at = now;
        let outcome = self.script.apply(now, index, data);
        if self.script.agreed_format() != agreed {
            log::info!("form {} is agreed", self.script.agreed_format());
        }
        if let CommandOutcome::UnsupportedFormat { format: form } = outcome {
            return self.give_up(index, format!("form {form} is agreed, this is {}", self.own.version));
        }
        self.not_taken += u64::from(outcome != CommandOutcome::Applied);
        self.happened.push_back(Happened::Applied { index, outcome, ask });
    }

    fn restore(&mut self, now: Micros, index: LogIndex, data: &[u8]) {
        if self.unreadable.is_some() {
            return;
        }
        match self.script.restore(now, index, data) {
            Ok(()) => {
                self.applied_at = now;
                self.happened.push_back(Happened::Restored);
            }
            // What is here is newer; nothing is lacking.
            Err(error @ SnapshotError::Older { .. }) => log::warn!("a state is passed over: {error}"),
            Err(error) => self.give_up(index, format!("{error}; this is {}", self.own.version)),
        }
    }

    fn company_did(&mut self, now: Micros, effects: Vec<membership::Effect>) {
        let mut changed = false;
        for effect in effects {
            match effect {
                membership::Effect::Send { to, message } => self.send(to, Word::Company(message)),
                membership::Effect::StatusChanged { member, status: standing } => {
                    let level = match standing {
                        MemberStatus::Dead | MemberStatus::Left => log::Level::Info,
                        MemberStatus::Alive | MemberStatus::Suspect => log::Level::Debug,
                    };
                    self.declared_dead += u64::from(standing == MemberStatus::Dead);
                    log::log!(level, "{} ({}) is {standing:?}", member.name, member.address);
                    changed = true;
                }
            }
        }
        if changed {
            self.tell_peers(now);
        }
    }

    /// Tells the rooms who is up.
    fn tell_peers(&mut self, now: Micros) {
        let company = &self.company;
        self.heard.retain(|place, _| company.member(*place).is_some());
        self.holds.retain(|place, _| company.member(*place).is_some());
        let (hubs, others) = (self.up(Role::ControlNode), self.up(Role::Gateway));
        let older = self.company.up(Role::Gateway).filter(|member| !watches(member.version));
        self.unwatching = older.map(|member| member.address).collect();
        let unwatching = replication::Event::NonWatching { addresses: self.unwatching.clone() };
        let peers = replication::Event::Peers { sources: hubs.clone(), others: others.clone() };
        for event in [unwatching, peers] {
            let effects = self.board.step(now, event);
            self.board_did(now, effects);
        }
        let own = (self.own.role == Role::ControlNode).then_some(self.own.address);
        let hubs = own.into_iter().chain(hubs).collect();
        let effects = self.cast.step(now, registry::Event::Peers { registry_nodes: hubs, gateways: others });
        self.cast_did(effects);
        if self.own.role == Role::ControlNode {
            self.tell_watchers(now);
        }
        self.happened.push_back(Happened::Peers);
    }

    fn board_did(&mut self, now: Micros, effects: Vec<replication::Effect>) {
        if let Some(gap) = self.board.take_closed_gap().filter(|gap| gap.duration >= GAP_TOLD) {
            let (index, lasted) = (self.board.index().0, gap.duration / MS);
            log::warn!(
                "behind for {lasted} ms up to entry {index}: {} asks without an answer",
                gap.pulls_unanswered
            );
        }
        for effect in effects {
            match effect {
                replication::Effect::Send { to, message } => self.send(to, Word::Board(message)),
                replication::Effect::PreferStream { to } => self.paths.insist(now, to),
                replication::Effect::Apply { index, data } => self.apply(now, index, &data, None),
                replication::Effect::Restore { index, data } => self.restore(now, index, &data),
                replication::Effect::TakeSnapshot => {
                    let (index, data) = (self.script.last_applied(), self.script.snapshot());
                    let effects = self.board.step(now, replication::Event::SnapshotTaken { index, data });
                    self.board_did(now, effects);
                }
            }
        }
        if self.own.role == Role::ControlNode && self.board.watchers_revision() != self.watchers_told {
            self.tell_watchers(now);
        }
    }

    /// The foyers that watch this prompter are told of instances by it as well.
    fn tell_watchers(&mut self, now: Micros) {
        self.watchers_told = self.board.watchers_revision();
        let (by, unwatching) = (self.board.watchers().collect(), self.unwatching.clone());
        let effects =
            self.cast.step(now, registry::Event::Watchers { watching: by, unable_to_watch: unwatching });
        self.cast_did(effects);
    }

    fn cast_did(&mut self, effects: Vec<registry::Effect>) {
        for effect in effects {
            match effect {
                registry::Effect::Send { to, message } => self.send(to, Word::Cast(message)),
                registry::Effect::PreferStream { to } => self.paths.insist(self.now, to),
                registry::Effect::Accepted { call: ask, target } => {
                    self.happened.push_back(Happened::BeatTaken { ask, target });
                }
                registry::Effect::Rejected { call: ask } => {
                    self.happened.push_back(Happened::BeatNotTaken { ask })
                }
                registry::Effect::Changed { instance } => {
                    if instance.state == registry::InstanceState::Silent {
                        log::info!("instance {} of {} is silent", instance.id.0, instance.service);
                    }
                    self.happened.push_back(Happened::Instance(instance.id));
                }
            }
        }
    }
}
