//! Inspector (a leader's side, joined): the judge, and the remedies for what it judges.

use std::sync::Arc;

use types::{Micros, NodeAddress, RunId, Term};

use crate::judge::{self, Member, State, Why};
use crate::parts::{Intent, Part};
use crate::remedy::{self, Note};
use crate::{Judge, Remedy, Tuning, Word};

#[derive(Clone, Debug)]
pub enum Event {
    Tick,
    Committed(Arc<Intent>),
    /// The term in which this node leads and has just had proof of it from a majority of the core.
    Lead(Option<Term>),
    Members(Vec<Member>),
    Word {
        from: NodeAddress,
        word: Word,
    },
    /// The part of the fleet that may be missing at the load of this moment.
    Spare(f64),
}

#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    Send {
        to: NodeAddress,
        word: Word,
    },
    /// For the log, the ring and the metrics.
    Changed {
        place: NodeAddress,
        life: RunId,
        part: Part,
        from: State,
        to: State,
        why: Why,
    },
    /// For the book of what was done.
    Write(Note),
    /// This node should give up leadership: its own intent looks wrong.
    StepDown,
}

pub struct Inspector {
    pub judge: Judge,
    pub remedy: Remedy,
}

impl Inspector {
    pub fn start(tuning: Tuning, seed: u64, now: Micros) -> Inspector {
        Inspector { judge: Judge::start(tuning.clone(), seed, now), remedy: Remedy::start(tuning) }
    }

    pub fn due(&self) -> Micros {
        self.judge.due()
    }

    pub fn step(&mut self, now: Micros, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        match event {
            Event::Tick => {
                self.judged(now, judge::Event::Tick, &mut effects);
                let many = self.judge.many() || self.judge.doubts();
                self.remedied(now, remedy::Event::Doubt(many), &mut effects);
                self.remedied(now, remedy::Event::Tick, &mut effects);
            }
            Event::Committed(intent) => {
                let (index, root) = (intent.index, intent.digest.root());
                self.judged(now, judge::Event::Committed(intent), &mut effects);
                self.remedied(now, remedy::Event::Today { index, root }, &mut effects);
            }
            Event::Lead(term) => {
                self.remedied(now, remedy::Event::Lead(term), &mut effects);
                self.judged(now, judge::Event::Lead { sure: term.is_some() }, &mut effects);
            }
            Event::Members(members) => {
                self.judged(now, judge::Event::Members(members.clone()), &mut effects);
                self.remedied(now, remedy::Event::Members(members), &mut effects);
            }
            Event::Spare(share) => self.remedied(now, remedy::Event::Spare(share), &mut effects),
            Event::Word { from, word } => match word {
                Word::Claim(claim) => self.judged(now, judge::Event::Claim { from, claim }, &mut effects),
                Word::Held(held) => self.judged(now, judge::Event::Held { from, held }, &mut effects),
                Word::Report(report) => self.judged(now, judge::Event::Report { from, report }, &mut effects),
                // What a leader tells nodes.
                Word::Challenge { .. } | Word::Ask { .. } | Word::Order { .. } => {}
            },
        }
        effects
    }

    fn judged(&mut self, now: Micros, event: judge::Event, effects: &mut Vec<Effect>) {
        for effect in self.judge.step(now, event) {
            match effect {
                judge::Effect::Challenge { to, nonce } => {
                    effects.push(Effect::Send { to, word: Word::Challenge { nonce } });
                }
                judge::Effect::Ask { by, of } => {
                    effects.push(Effect::Send { to: by, word: Word::Ask { of } })
                }
                judge::Effect::Changed { place, life, part, from, to, why } => {
                    effects.push(Effect::Changed { place, life, part, from, to, why });
                    self.remedied(now, remedy::Event::Changed { place, life, part, to, why }, effects);
                }
                judge::Effect::OwnDoubt => effects.push(Effect::StepDown),
            }
        }
    }

    fn remedied(&mut self, now: Micros, event: remedy::Event, effects: &mut Vec<Effect>) {
        for effect in self.remedy.step(now, event) {
            match effect {
                remedy::Effect::Order { to, life, fence, step } => {
                    effects.push(Effect::Send { to, word: Word::Order { life, fence, step } });
                }
                remedy::Effect::Write(note) => effects.push(Effect::Write(note)),
                remedy::Effect::Repaired(place) => self.judge.repaired(now, place),
            }
        }
    }
}
