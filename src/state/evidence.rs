//! What is known of a build: the signals it is judged by, their records, and messages about outcomes.

use std::collections::VecDeque;
use std::fmt;

use crate::host::{BuildNo, Micros, ProfileId};

/// The signals that a build is judged by; a CUSUM statistic is kept for each build and signal. The failures
/// of a profile at this gateway are the ones of `docs/design.md`; the others were added to it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Signal {
    /// Failed or late attempts of a profile at this gateway.
    Failures(ProfileId),
    /// Answers that clients found wrong.
    DisputedAnswers,
    /// Attempts at any build that are slower than nearly all were before the trial began.
    SlowerThanBefore,
    /// Failed or late attempts of a profile, as counted by several gateways or the platform.
    SharedFailures(ProfileId),
    /// Sessions of a profile that their servers broke.
    BrokenSessions(ProfileId),
}

impl Signal {
    /// The profile that the signal is about, if it is about one.
    pub fn profile(self) -> Option<ProfileId> {
        match self {
            Signal::Failures(profile) | Signal::SharedFailures(profile) | Signal::BrokenSessions(profile) => {
                Some(profile)
            }
            Signal::DisputedAnswers | Signal::SlowerThanBefore => None,
        }
    }
}

/// The words for log lines. Operators match them, so they stay as they are.
impl fmt::Display for Signal {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Signal::Failures(profile) => write!(formatter, "Failed({profile:?})"),
            Signal::DisputedAnswers => formatter.write_str("Disputed"),
            Signal::SlowerThanBefore => formatter.write_str("Worse"),
            Signal::SharedFailures(profile) => write!(formatter, "Counted({profile:?})"),
            Signal::BrokenSessions(profile) => write!(formatter, "Broke({profile:?})"),
        }
    }
}

/// Outcomes that were counted together.
#[derive(Clone, Copy)]
pub struct OutcomeCount {
    pub at: Micros,
    pub failed: f64,
    pub total: f64,
}

/// What is known of a build by one signal.
#[derive(Default)]
pub struct CusumRecord {
    /// The statistic y of the paper, in nats: how much better the outcomes fit a bad build than a good one.
    pub statistic_nats: f64,
    /// The latest outcomes, oldest first.
    pub outcomes: VecDeque<OutcomeCount>,
}

impl CusumRecord {
    /// Number of outcomes kept.
    pub fn total(&self) -> f64 {
        self.outcomes.iter().map(|outcomes| outcomes.total).sum::<f64>()
    }
}

/// One outcome as gateways send it to each other, in five bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerOutcome {
    /// The lowest byte of the number of the build on trial.
    pub build: u8,
    /// Number of the message, counted by its sender.
    pub sequence: u16,
    pub zone: u8,
    /// The profile's number, in six bits.
    pub profile: u8,
    /// The outcome is of the build on trial, not of an earlier one.
    pub on_trial: bool,
    pub failed: bool,
}

impl PeerOutcome {
    /// A message without a sequence number yet; of the other numbers it holds the lowest bits.
    pub fn new(
        build: BuildNo, zone: Option<usize>, profile: ProfileId, on_trial: bool, failed: bool,
    ) -> Self {
        let (build, zone, profile) = (build.0 as u8, zone.unwrap_or(0) as u8, profile.0 as u8);
        PeerOutcome { build, sequence: 0, zone, profile, on_trial, failed }
    }

    pub fn to_bytes(self) -> [u8; 5] {
        let [low, high] = self.sequence.to_le_bytes();
        let flags = self.profile << 2 | u8::from(self.on_trial) << 1 | u8::from(self.failed);
        [self.build, low, high, self.zone, flags]
    }

    /// `None` if the message has another length.
    pub fn from_bytes(bytes: &[u8]) -> Option<PeerOutcome> {
        let [build, low, high, zone, flags] = *bytes else { return None };
        Some(PeerOutcome {
            build,
            sequence: u16::from_le_bytes([low, high]),
            zone,
            profile: flags >> 2,
            on_trial: flags & 2 > 0,
            failed: flags & 1 > 0,
        })
    }
}

/// What has been counted since a rollout began, as far as this gateway knows of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RolloutCounts {
    pub build: BuildNo,
    /// Requests received.
    pub requests: u64,
    /// Attempts sent to the build.
    pub attempts: u64,
}

/// What a build's outcomes by one signal are compared with.
#[derive(Clone, Copy)]
pub struct Baseline {
    /// The failure rate p0 of a good build.
    pub rate: f64,
    /// The number of outcomes of earlier builds that it rests on.
    pub total: f64,
    /// How many of them are of the last seconds.
    pub present: f64,
}

impl Baseline {
    /// A fixed rate, which rests on no outcomes.
    pub fn constant(rate: f64) -> Baseline {
        Baseline { rate, total: f64::INFINITY, present: f64::INFINITY }
    }
}
