//! Planted faults: bugs that a driver, a disk or an operator of machines could have. The world itself misbehaves;
//! the rooms are as they are. Each must be found by the rules.

use cast::{Message, State};
use playhouse::house::Word;
use serde::{Deserialize, Serialize};

use crate::play::{self, Day};
use crate::rules::Rule;
use crate::scenario::Scenario;
use crate::world::World;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Planted {
    /// `Written` is told before the write is on disk.
    AckBeforeSync,
    /// A machine with a wiped disk gets its old seat, and votes on what it has forgotten.
    OldSeat,
    /// A restarted member has forgotten whom it voted for.
    ForgottenVote,
    /// Reads are answered without proof of leadership.
    ReadUnproved,
    /// A foyer is set back to an older state within its life.
    OlderState,
    /// A change that lost its race is acknowledged all the same.
    BothWin,
    /// An invalid configuration is acknowledged.
    InvalidTaken,
    /// A drain is acknowledged though nobody is told of it.
    DrainUntold,
    /// Instances are asked without `Target-Instance`.
    NoTarget,
    /// A trip whose answer is lost is told to the decisions as one that was never sent.
    LostAsUnsent,
    /// The same trip goes out twice.
    SentTwice,
    /// Each foyer takes the whole budget of further tries, many times over.
    WholeBudget,
    /// No foyer caps what a version on trial gets, and no vote arrives.
    NoCap,
}

impl Planted {
    pub const ALL: [Planted; 13] = [
        Planted::AckBeforeSync,
        Planted::OldSeat,
        Planted::ForgottenVote,
        Planted::ReadUnproved,
        Planted::OlderState,
        Planted::BothWin,
        Planted::InvalidTaken,
        Planted::DrainUntold,
        Planted::NoTarget,
        Planted::LostAsUnsent,
        Planted::SentTwice,
        Planted::WholeBudget,
        Planted::NoCap,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Planted::AckBeforeSync => "ack_before_sync",
            Planted::OldSeat => "old_seat",
            Planted::ForgottenVote => "forgotten_vote",
            Planted::ReadUnproved => "read_unproved",
            Planted::OlderState => "older_state",
            Planted::BothWin => "both_win",
            Planted::InvalidTaken => "invalid_taken",
            Planted::DrainUntold => "drain_untold",
            Planted::NoTarget => "no_target",
            Planted::LostAsUnsent => "lost_as_unsent",
            Planted::SentTwice => "sent_twice",
            Planted::WholeBudget => "whole_budget",
            Planted::NoCap => "no_cap",
        }
    }

    /// The worst moment at which it shows most, where it is rare on drawn days.
    fn moment(self) -> Option<u64> {
        match self {
            Planted::AckBeforeSync | Planted::OldSeat => Some(0),
            Planted::NoCap => Some(3),
            Planted::WholeBudget => Some(8),
            Planted::ForgottenVote => Some(11),
            _ => None,
        }
    }

    /// Plays one day of those on which it is looked for: short ones with its worst moment, else drawn ones.
    pub fn hunted(self, seed: u64) -> Day {
        play::play(self.scenario(seed), seed, Some(self))
    }

    /// The scenario of such a day.
    pub fn scenario(self, seed: u64) -> Scenario {
        match self.moment() {
            Some(number) => Scenario::moment(seed, number),
            None => Scenario::drawn(seed),
        }
    }

    /// How many seeds from `seed` on it takes until one of its rules is broken; none within `most`.
    pub fn found_after(self, seed: u64, most: u64) -> Option<u64> {
        (0..most)
            .find(|number| self.found_on(&self.hunted(seed.wrapping_add(*number))))
            .map(|number| number + 1)
    }

    /// Whether a day shows it by one of the rules that it is about.
    pub fn found_on(self, day: &Day) -> bool {
        day.broken.iter().any(|broken| self.breaks().contains(&broken.rule))
    }

    /// Within so many seeds each is found.
    pub const SEEDS: u64 = 100;

    /// The rules that it may break first.
    pub fn breaks(self) -> &'static [Rule] {
        match self {
            Planted::AckBeforeSync | Planted::OldSeat => {
                &[Rule::Lost, Rule::Winner, Rule::Back, Rule::Leader]
            }
            Planted::ForgottenVote => &[Rule::Leader, Rule::Lost, Rule::Winner],
            Planted::ReadUnproved => &[Rule::Lost],
            Planted::OlderState => &[Rule::Back, Rule::Applied],
            Planted::BothWin => &[Rule::Winner, Rule::Lost],
            Planted::InvalidTaken => &[Rule::Invalid],
            Planted::DrainUntold => &[Rule::Drain],
            Planted::NoTarget => &[Rule::Route],
            Planted::LostAsUnsent => &[Rule::Twice, Rule::Refused],
            Planted::SentTwice => &[Rule::Twice],
            Planted::WholeBudget => &[Rule::Budget],
            Planted::NoCap => &[Rule::Exposure],
        }
    }
}

impl World {
    /// Words that a planted fault drops.
    pub(crate) fn kept_back(&self, word: &Word) -> bool {
        if self.planted != Some(Planted::DrainUntold) {
            return false;
        }
        match word {
            Word::Cast(Message::Leaving { .. }) => true,
            Word::Cast(Message::News { records, .. } | Message::Give { records }) => {
                records.iter().any(|record| matches!(record.state, State::Draining | State::Gone))
            }
            _ => false,
        }
    }
}
