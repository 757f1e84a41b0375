//! Usher (a node's side, joined): its witness, its ward, and what it says and answers. A driver hands it
//! words
//! and time, and carries out what it asks for.

use std::sync::Arc;

use types::{LogIndex, Micros, NodeAddress, RunId, SECOND};

use crate::parts::{Act, Intent, RouteKey, Took};
use crate::{Claim, Held, Tuning, Ward, Witness, Word, ward, witness};

/// Between two claims of one node.
const CLAIM_EVERY: Micros = SECOND;
/// A leader that ordered or asked nothing for so long is looked for again, at all hubs.
const LEADER_FOR: Micros = 60 * SECOND;

#[derive(Clone, Debug)]
pub enum Event {
    Tick,
    /// What the log says, as this node has it.
    Taken(Arc<Intent>),
    /// What the traffic's tables hold, read back from them after each change.
    Tables(Arc<Intent>),
    /// The same, read back at this moment for an asker.
    ReadBack {
        to: NodeAddress,
        nonce: u64,
        tables: Arc<Intent>,
    },
    Word {
        from: NodeAddress,
        word: Word,
    },
    /// Foyers that are up, this one too; and prompters.
    Peers {
        foyers: Vec<NodeAddress>,
        hubs: Vec<NodeAddress>,
    },
    /// A look came back. `since`: when it was sent.
    Saw {
        of: NodeAddress,
        life: RunId,
        said: LogIndex,
        since: Micros,
        route: RouteKey,
        took: Option<Took>,
    },
    Glimpse {
        of: NodeAddress,
        life: RunId,
        since: Micros,
        route: RouteKey,
        act: Act,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    Send {
        to: NodeAddress,
        word: Word,
    },
    /// Read the tables that the traffic uses, and answer with `ReadBack`.
    ReadBack {
        to: NodeAddress,
        nonce: u64,
    },
    /// One harmless probe for each route, over one new connection to that foyer's clients' address.
    Look {
        of: NodeAddress,
        routes: Vec<RouteKey>,
    },
    Ward(ward::Effect),
}

pub struct Usher {
    life: RunId,
    pub ward: Ward,
    witness: Witness,
    tables: Option<Arc<Intent>>,
    hubs: Vec<NodeAddress>,
    leader: Option<(NodeAddress, Micros)>,
    claim_due: Micros,
}

impl Usher {
    pub fn start(own: NodeAddress, life: RunId, tuning: Tuning, seed: u64, now: Micros) -> Usher {
        let ward = Ward::start(life, tuning.clone(), now);
        let witness = Witness::start(own, tuning, seed, now);
        // Claims of a fleet that starts at one moment are spread over their span.
        let claim_due = now + (seed % CLAIM_EVERY as u64) as Micros;
        Usher { life, ward, witness, tables: None, hubs: Vec::new(), leader: None, claim_due }
    }

    pub fn due(&self) -> Micros {
        self.ward.due().min(self.witness.due()).min(self.claim_due)
    }

    pub fn step(&mut self, now: Micros, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        match event {
            Event::Tick => {
                self.guard(now, ward::Event::Tick, &mut effects);
                self.watch(now, witness::Event::Tick, &mut effects);
                if self.claim_due <= now {
                    self.claim(now, &mut effects);
                }
            }
            Event::Taken(intent) => self.watch(now, witness::Event::Applied(intent), &mut effects),
            Event::Tables(tables) => {
                let (index, root) = (tables.index, tables.digest.root());
                self.tables = Some(tables);
                self.guard(now, ward::Event::Holds { index, root }, &mut effects);
                self.claim(now, &mut effects);
            }
            Event::ReadBack { to, nonce, tables } => {
                let (life, index, sums) = (self.life, tables.index, tables.salted(nonce));
                effects.push(Effect::Send { to, word: Word::Held(Held { life, nonce, index, sums }) });
            }
            Event::Peers { foyers, hubs } => {
                self.hubs = hubs;
                self.watch(now, witness::Event::Peers(foyers), &mut effects);
            }
            Event::Saw { of, life, said, since, route, took } => {
                let event = witness::Event::Saw { of, life, said: Some(said), since, route, took };
                self.watch(now, event, &mut effects);
            }
            Event::Glimpse { of, life, since, route, act } => {
                self.watch(now, witness::Event::Glimpse { of, life, since, route, act }, &mut effects);
            }
            Event::Word { from, word } => self.word(now, from, word, &mut effects),
        }
        effects
    }

    fn word(&mut self, now: Micros, from: NodeAddress, word: Word, effects: &mut Vec<Effect>) {
        if !self.hubs.contains(&from) {
            return;
        }
        match word {
            Word::Challenge { nonce } => effects.push(Effect::ReadBack { to: from, nonce }),
            Word::Ask { of } => self.watch(now, witness::Event::Asked { of }, effects),
            Word::Order { life, fence, step } => {
                self.guard(now, ward::Event::Order { life, fence, step }, effects);
            }
            // What nodes tell a leader.
            Word::Claim(_) | Word::Held(_) | Word::Report(_) => return,
        }
        self.leader = Some((from, now));
    }

    fn claim(&mut self, now: Micros, effects: &mut Vec<Effect>) {
        self.claim_due = now + CLAIM_EVERY;
        if let Some(tables) = &self.tables {
            let claim = Claim { life: self.life, index: tables.index, root: tables.digest.root() };
            self.tell(now, Word::Claim(claim), effects);
        }
    }

    /// To the leader where it is known, or else to all hubs.
    fn tell(&mut self, now: Micros, word: Word, effects: &mut Vec<Effect>) {
        self.leader = self.leader.filter(|(place, at)| now - at < LEADER_FOR && self.hubs.contains(place));
        let to = self.leader.map_or_else(|| self.hubs.clone(), |(place, _)| vec![place]);
        effects.extend(to.into_iter().map(|to| Effect::Send { to, word: word.clone() }));
    }

    fn guard(&mut self, now: Micros, event: ward::Event, effects: &mut Vec<Effect>) {
        effects.extend(self.ward.step(now, event).into_iter().map(Effect::Ward));
    }

    fn watch(&mut self, now: Micros, event: witness::Event, effects: &mut Vec<Effect>) {
        for effect in self.witness.step(now, event) {
            match effect {
                witness::Effect::Tell(report) => self.tell(now, Word::Report(report), effects),
                witness::Effect::Look { of, routes } => effects.push(Effect::Look { of, routes }),
            }
        }
    }
}
