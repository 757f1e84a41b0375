//! Limit groups: how many tickets pass in a time, and how many are under way, for all of a group or by key.
//!
//! The rate is held by GCRA (the "virtual scheduling" of ITU-T I.371): one time for each key says when its next ticket is
//! due at the told rate; a ticket may be ahead of it by the burst. Keys that are back at rest are forgotten; where more are
//! not at rest than may be kept, further ones share one place, so that keys which never end can't take the memory.

use std::collections::{BTreeMap, BTreeSet};

use garnetdoor::host::Micros;

const SECOND: f64 = 1e6;

/// A group's limits.
#[derive(Clone, Debug, PartialEq)]
pub struct Limit {
    /// Tickets a second, and how many may come at once.
    pub rate: Option<(f64, f64)>,
    /// Tickets under way.
    pub concurrent: Option<usize>,
    /// Each key by itself, else all together.
    pub by_key: bool,
    /// Keys kept at one time.
    pub keys_most: usize,
}

/// A ticket that passed; given back once it is over.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Pass {
    group: usize,
    slot: Slot,
}

/// No room: trying again does no harm, after this time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TurnedBack {
    pub come_back_in: Micros,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Slot {
    All,
    Key(String),
    /// Keys for which there was no place of their own.
    Rest,
}

#[derive(Clone, Copy, Debug, Default)]
struct Place {
    /// When the next ticket is due at the told rate.
    due: Micros,
    under_way: usize,
}

struct Group {
    limit: Limit,
    places: BTreeMap<Slot, Place>,
    /// Places by when they are at rest, if nothing is under way there.
    at_rest: BTreeSet<(Micros, Slot)>,
}

/// All groups of a gateway.
pub struct Groups {
    groups: Vec<Group>,
    chance: oorandom::Rand64,
}

impl Groups {
    pub fn new(limits: Vec<Limit>, seed: u64) -> Self {
        let groups = limits.into_iter().map(|limit| Group {
            limit,
            places: BTreeMap::new(),
            at_rest: BTreeSet::new(),
        });
        Groups { groups: groups.collect(), chance: oorandom::Rand64::new(u128::from(seed)) }
    }

    /// Keys kept in a group.
    pub fn kept(&self, group: usize) -> usize {
        self.groups.get(group).map_or(0, |group| group.places.len())
    }

    /// Takes over other limits. Groups stand in the order of their numbers; what a group that stays has counted is kept.
    pub fn reload(&mut self, limits: Vec<Limit>) {
        self.groups.truncate(limits.len());
        for (at, limit) in limits.into_iter().enumerate() {
            match self.groups.get_mut(at) {
                Some(group) => group.limit = limit,
                None => self.groups.push(Group { limit, places: BTreeMap::new(), at_rest: BTreeSet::new() }),
            }
        }
    }

    /// A ticket of a group asks to pass; `key` is its own, if it has one. A group that is not there limits nothing.
    pub fn asks(&mut self, now: Micros, group: usize, key: Option<&str>) -> Result<Pass, TurnedBack> {
        let number = group;
        let Some(group) = self.groups.get_mut(number) else {
            return Ok(Pass { group: number, slot: Slot::All });
        };
        let slot = group.slot(now, key);
        let place = group.places.get(&slot).copied().unwrap_or_default();
        let each = group.limit.rate.map(|(rate, _)| SECOND / rate);
        let ahead = group.limit.rate.map_or(0.0, |(rate, burst)| SECOND / rate * (burst - 1.0).max(0.0));
        let late = place.due - now - ahead as Micros;
        let full = group.limit.concurrent.is_some_and(|most| place.under_way >= most);
        if (each.is_some() && late > 0) || full {
            // What waits comes back spread over as long again, and not as one. Where nothing says when a ticket under way
            // ends, a tenth of a second stands for it.
            let wait = late.max(if full { 100_000 } else { 1_000 });
            let spread =
                (self.chance.rand_float() * wait.max(each.unwrap_or(0.0) as Micros) as f64) as Micros;
            return Err(TurnedBack { come_back_in: wait + spread });
        }
        let due = place.due.max(now) + each.map_or(0, |each| each.round() as Micros);
        group.set(&slot, Place { due, under_way: place.under_way + 1 });
        Ok(Pass { group: number, slot })
    }

    /// A ticket that passed is over.
    pub fn over(&mut self, pass: Pass) {
        let Some(group) = self.groups.get_mut(pass.group) else { return };
        if let Some(place) = group.places.get(&pass.slot).copied() {
            group.set(&pass.slot, Place { under_way: place.under_way.saturating_sub(1), ..place });
        }
    }
}

impl Group {
    /// The place that a ticket counts in; makes room for a new key if some are at rest.
    fn slot(&mut self, now: Micros, key: Option<&str>) -> Slot {
        let Some(key) = key.filter(|_| self.limit.by_key) else { return Slot::All };
        let slot = Slot::Key(key.to_owned());
        if self.places.contains_key(&slot) {
            return slot;
        }
        while let Some((at, first)) = self.at_rest.first().cloned().filter(|(at, _)| *at <= now) {
            self.at_rest.remove(&(at, first.clone()));
            self.places.remove(&first);
        }
        if self.places.len() < self.limit.keys_most { slot } else { Slot::Rest }
    }

    fn set(&mut self, slot: &Slot, place: Place) {
        if let Some(old) = self.places.insert(slot.clone(), place) {
            self.at_rest.remove(&(old.due, slot.clone()));
        }
        if place.under_way == 0 {
            self.at_rest.insert((place.due, slot.clone()));
        }
    }
}
