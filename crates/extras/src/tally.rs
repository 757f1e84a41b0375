//! Tally (what was counted): words, bytes and processor time by phase, role, direction and kind.

use serde::{Deserialize, Serialize};

use crate::kind;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    Start,
    Steady,
    Replace,
    Modify,
    Trial,
    Herd,
}

impl Phase {
    pub const ALL: [Phase; 6] =
        [Phase::Start, Phase::Steady, Phase::Replace, Phase::Modify, Phase::Trial, Phase::Herd];

    pub fn name(self) -> &'static str {
        match self {
            Phase::Start => "start",
            Phase::Steady => "steady",
            Phase::Replace => "replace",
            Phase::Modify => "modify",
            Phase::Trial => "trial",
            Phase::Herd => "herd",
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    Leader,
    Follower,
    Gateway,
}

impl Role {
    pub const ALL: [Role; 3] = [Role::Leader, Role::Follower, Role::Gateway];

    pub fn name(self) -> &'static str {
        match self {
            Role::Leader => "leader",
            Role::Follower => "follower",
            Role::Gateway => "gateway",
        }
    }
}

/// Words of one kind, one way.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Cell {
    pub words: u64,
    pub bytes: u64,
    /// Of these, bytes that crossed into another zone of the region, and into the other region.
    pub zone_bytes: u64,
    pub region_bytes: u64,
    /// Processor time of the steps that they led to; of what comes in only.
    pub nanos: u64,
}

const KINDS: usize = kind::NAMES.len();
const WAYS: usize = 2;

/// Everything counted in one day, by phase.
#[derive(Clone, Debug)]
pub struct Tally {
    cells: Vec<Cell>,
    /// Seconds that each phase has lasted.
    pub seconds: [f64; 6],
}

impl Default for Tally {
    fn default() -> Tally {
        let all = Phase::ALL.len() * Role::ALL.len() * WAYS * KINDS;
        Tally { cells: vec![Cell::default(); all], seconds: [0.0; 6] }
    }
}

fn at(phase: Phase, role: Role, out: bool, kind: usize) -> usize {
    ((phase as usize * Role::ALL.len() + role as usize) * WAYS + usize::from(out)) * KINDS + kind
}

impl Tally {
    pub fn cell(&mut self, phase: Phase, role: Role, out: bool, kind: usize) -> &mut Cell {
        &mut self.cells[at(phase, role, out, kind)]
    }

    pub fn get(&self, phase: Phase, role: Role, out: bool, kind: usize) -> Cell {
        self.cells[at(phase, role, out, kind)]
    }

    /// The sum over kinds of one room, or of all (`""`).
    pub fn sum(&self, phase: Phase, role: Role, out: bool, room: &str) -> Cell {
        let mut sum = Cell::default();
        for number in (0..KINDS).filter(|number| room.is_empty() || kind::room(*number) == room) {
            let cell = self.get(phase, role, out, number);
            sum.words += cell.words;
            sum.bytes += cell.bytes;
            sum.zone_bytes += cell.zone_bytes;
            sum.region_bytes += cell.region_bytes;
            sum.nanos += cell.nanos;
        }
        sum
    }

    pub fn seconds(&self, phase: Phase) -> f64 {
        self.seconds[phase as usize]
    }

    /// All cells in which there is something.
    pub fn all(&self) -> impl Iterator<Item = (Phase, Role, bool, &'static str, Cell)> + '_ {
        let phases = Phase::ALL.into_iter().filter(|phase| self.seconds(*phase) > 0.0);
        phases.flat_map(move |phase| {
            Role::ALL.into_iter().flat_map(move |role| {
                [false, true].into_iter().flat_map(move |out| {
                    (0..KINDS).filter_map(move |kind| {
                        let cell = self.get(phase, role, out, kind);
                        (cell != Cell::default()).then_some((phase, role, out, kind::NAMES[kind], cell))
                    })
                })
            })
        })
    }
}
