//! Planted faults: bugs that a driver, a disk or an operator of machines could have. The world itself misbehaves;
//! the rooms are as they are. Each must be found by the rules.

use consensus::{EntryPayload, Members, Message as Book, PersistentState, Rpc, Write};
use playhouse::node::{NodeMessage, split_header};
use registry::{InstanceState, Message};
use serde::{Deserialize, Serialize};
use types::{LogIndex, VoterId};

use crate::play::{self, Day};
use crate::rules::Rule;
use crate::scenario::{MOMENTS, Scenario};
use crate::texts;
use crate::widen;
use crate::world::World;
use crate::world::machine::Process;

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
    /// Reads are answered by who led last, until it hears of another leader.
    DeposedReads,
    /// Calls that nobody can answer are held until their callers have left.
    CallHeld,
    /// A machine refuses changes by its own state, without proof that it is the newest.
    RefusedUnproved,
    /// A drain is acknowledged before anybody else has been told.
    DrainAlone,
    /// A foyer is ready as soon as it has any state, however old.
    ReadyOnOld,
    /// What was taken is forgotten after two later changes, and refused when it is sent again.
    TakenForgotten,
    /// A late repeat of a roll-out that has ended puts its version on trial again.
    TrialAgain,
    /// A leader acknowledges what is on its own disk only.
    AckAlone,
    /// A seat on a new disk keeps nothing of what comes after it was let in, tells of it as on disk, and votes without
    /// it when it has started again.
    LearnerForgets,
    /// A restarted member counts as members the first voters, whatever the log says.
    FirstMembers,
    /// Whoever lost its disk is never let in again.
    NotLetIn,
    /// A member that starts again has lost the last entries of its log, and leads with what is left.
    LostTail,
    /// A snapshot on disk has the state of an earlier one under its index.
    OldSnapshot,
    /// The first bytes of a snapshot that is sent are those of an earlier one.
    MixedPieces,
    /// An answer that comes after its request was given up is handed to the next one on that connection.
    LateAnswer,
    /// A request whose connection was reset is sent again by the transport.
    TransportRetry,
    /// What was meant for a foyer's earlier process is told to the next one there.
    EarlierLife,
}

impl Planted {
    pub const ALL: [Planted; 30] = [
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
        Planted::DeposedReads,
        Planted::CallHeld,
        Planted::RefusedUnproved,
        Planted::DrainAlone,
        Planted::ReadyOnOld,
        Planted::TakenForgotten,
        Planted::TrialAgain,
        Planted::AckAlone,
        Planted::LearnerForgets,
        Planted::FirstMembers,
        Planted::NotLetIn,
        Planted::LostTail,
        Planted::OldSnapshot,
        Planted::MixedPieces,
        Planted::LateAnswer,
        Planted::TransportRetry,
        Planted::EarlierLife,
    ];

    /// The point of docs/control.md that it goes against, 1 to 5.
    pub fn point(self) -> Option<usize> {
        match self {
            Planted::DeposedReads
            | Planted::CallHeld
            | Planted::RefusedUnproved
            | Planted::DrainAlone
            | Planted::ReadyOnOld => Some(1),
            Planted::TakenForgotten | Planted::TrialAgain | Planted::AckAlone => Some(2),
            Planted::LearnerForgets | Planted::FirstMembers | Planted::NotLetIn => Some(3),
            Planted::LostTail | Planted::OldSnapshot | Planted::MixedPieces => Some(4),
            Planted::LateAnswer | Planted::TransportRetry | Planted::EarlierLife => Some(5),
            _ => None,
        }
    }

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
            Planted::DeposedReads => "deposed_reads",
            Planted::CallHeld => "call_held",
            Planted::RefusedUnproved => "refused_unproved",
            Planted::DrainAlone => "drain_alone",
            Planted::ReadyOnOld => "ready_on_old",
            Planted::TakenForgotten => "taken_forgotten",
            Planted::TrialAgain => "trial_again",
            Planted::AckAlone => "ack_alone",
            Planted::LearnerForgets => "learner_forgets",
            Planted::FirstMembers => "first_members",
            Planted::NotLetIn => "not_let_in",
            Planted::LostTail => "lost_tail",
            Planted::OldSnapshot => "old_snapshot",
            Planted::MixedPieces => "mixed_pieces",
            Planted::LateAnswer => "late_answer",
            Planted::TransportRetry => "transport_retry",
            Planted::EarlierLife => "earlier_life",
        }
    }

    /// The worst moment at which it shows most, where it is rare on drawn days.
    fn moment(self) -> Option<u64> {
        match self {
            Planted::AckBeforeSync => Some(0),
            Planted::NoCap => Some(3),
            Planted::WholeBudget => Some(8),
            Planted::ForgottenVote => Some(11),
            _ => self.worst().map(|number| MOMENTS + widen::MOMENTS + number),
        }
    }

    /// The same among the worst moments of control.
    fn worst(self) -> Option<u64> {
        match self {
            Planted::DeposedReads | Planted::CallHeld | Planted::RefusedUnproved | Planted::AckAlone => {
                Some(0)
            }
            Planted::ReadyOnOld => Some(1),
            Planted::DrainAlone => Some(2),
            Planted::TakenForgotten => Some(3),
            Planted::TrialAgain => Some(4),
            Planted::NotLetIn => Some(5),
            Planted::LearnerForgets => Some(6),
            Planted::OldSnapshot | Planted::MixedPieces => Some(7),
            Planted::FirstMembers | Planted::LostTail => Some(8),
            Planted::LateAnswer | Planted::TransportRetry | Planted::EarlierLife => Some(9),
            Planted::OldSeat => Some(13),
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
            Planted::DeposedReads => &[Rule::Lost],
            Planted::CallHeld => &[Rule::Answered],
            Planted::RefusedUnproved => &[Rule::Newest, Rule::Repeat],
            Planted::DrainAlone => &[Rule::Untold, Rule::Drain],
            Planted::ReadyOnOld => &[Rule::Stale],
            Planted::TakenForgotten => &[Rule::Repeat],
            Planted::TrialAgain => &[Rule::Trial],
            Planted::AckAlone => &[Rule::Lost, Rule::Winner, Rule::Repeat],
            Planted::LearnerForgets | Planted::FirstMembers | Planted::LostTail => {
                &[Rule::Lost, Rule::Winner, Rule::Back, Rule::Leader, Rule::Repeat]
            }
            Planted::NotLetIn => &[Rule::Progress, Rule::Behind, Rule::Unanswered],
            Planted::OldSnapshot | Planted::MixedPieces => {
                &[Rule::Lost, Rule::Behind, Rule::Back, Rule::Newest, Rule::Repeat, Rule::Invalid]
            }
            Planted::LateAnswer | Planted::EarlierLife => &[Rule::Mixed],
            Planted::TransportRetry => &[Rule::Twice],
        }
    }
}

impl World {
    /// Words that a planted fault drops.
    pub(crate) fn kept_back(&self, from: usize, word: &NodeMessage) -> bool {
        if self.planted == Some(Planted::NotLetIn) {
            let knocks = matches!(word, NodeMessage::Consensus { message: Book::JoinRequest, .. });
            return knocks && self.machines[from].new_disk;
        }
        if self.planted != Some(Planted::DrainUntold) {
            return false;
        }
        match word {
            NodeMessage::Registry(Message::DrainNotice { .. }) => true,
            NodeMessage::Registry(Message::Update { records, .. } | Message::Records { records }) => records
                .iter()
                .any(|record| matches!(record.state, InstanceState::Draining | InstanceState::Gone)),
            _ => false,
        }
    }

    /// What a disk keeps of a write.
    pub(crate) fn landing(&mut self, at: usize, write: &Write) -> Write {
        let mut write = write.clone();
        let machine = &mut self.machines[at];
        if self.planted == Some(Planted::LearnerForgets) && machine.new_disk {
            if machine.let_in {
                (write.truncate_from, write.snapshot) = (None, None);
                write.entries.clear();
            }
            let own = machine.seat_life.map(|life| VoterId { address: machine.place, disk_id: life });
            let has = |members: &Members| own.is_some_and(|own| members.0.contains(&own));
            let lets_in = |entry: &consensus::Entry| matches!(&entry.payload, EntryPayload::Members(members) if has(members));
            machine.let_in |= write.entries.iter().any(lets_in);
        }
        if let Some(snapshot) = &mut write.snapshot {
            let before = machine.kept.replace(snapshot.data.clone());
            machine.kept_before = before.or(machine.kept_before.take());
            if let (Some(Planted::OldSnapshot), Some(before)) = (self.planted, &machine.kept_before) {
                snapshot.data.clone_from(before);
            }
        }
        write
    }

    /// What a member finds on its disk as it starts.
    pub(crate) fn found(&self, saved: &mut PersistentState, first: &Members) {
        match self.planted {
            Some(Planted::ForgottenVote) => saved.voted_for = None,
            Some(Planted::LostTail) => {
                // Two at most: a tail that was written last.
                for _ in 0..2 {
                    saved.entries.pop();
                }
                let base = saved.snapshot.as_ref().map_or(LogIndex(0), |snapshot| snapshot.index);
                let last = saved.entries.last().map_or(base, |entry| entry.index);
                saved.commit_index = saved.commit_index.min(last);
            }
            Some(Planted::FirstMembers) => {
                for entry in &mut saved.entries {
                    if let EntryPayload::Members(members) = &mut entry.payload {
                        members.clone_from(first);
                    }
                }
                if let Some(snapshot) = &mut saved.snapshot {
                    snapshot.members.clone_from(first);
                }
            }
            _ => {}
        }
    }

    /// Every node has a version on trial again that was.
    pub(crate) fn plant_trial(&mut self, service: usize, version: u32) {
        let (service, target) = (texts::service(service), format!("v{version}"));
        for machine in &mut self.machines {
            let script = match &mut machine.process {
                Some(Process::Prompter(process)) => &mut process.control.node.state,
                Some(Process::Foyer(process)) => &mut process.floor.node.state,
                None => continue,
            };
            if let Some(rollout) = script.rollouts.get_mut(&service) {
                rollout.state = Some(control_state::RolloutState::InProgress);
                rollout.target_version.clone_from(&target);
            }
        }
    }

    /// A word as it goes out, where a planted fault alters its bytes.
    pub(crate) fn altered(&self, from: usize, bytes: Vec<u8>) -> Vec<u8> {
        if self.planted != Some(Planted::MixedPieces) {
            return bytes;
        }
        let Some(before) = &self.machines[from].kept_before else { return bytes };
        let Some((_, _, rest)) = split_header(&bytes) else { return bytes };
        let Ok(mut word) = postcard::from_bytes::<NodeMessage>(rest) else { return bytes };
        let NodeMessage::Consensus {
            message: Book::Rpc { rpc: Rpc::InstallSnapshot { offset: 0, data, .. }, .. },
            ..
        } = &mut word
        else {
            return bytes;
        };
        let most = data.len().min(before.len());
        data[..most].copy_from_slice(&before[..most]);
        postcard::to_extend(&word, bytes[..2].to_vec()).unwrap_or(bytes)
    }
}
