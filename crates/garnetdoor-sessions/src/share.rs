//! How many sessions may stand on a build on trial.
//!
//! Upgrades within the cap pile up: sessions last for minutes, releases for seconds, and sessions of the earlier
//! build leave while those of the new one stay. So the told share holds for what stands, by two bounds with room
//! between them: an upgrade may bring a build up to [`opens`]; what goes past [`stands`] without one (others have
//! left, the cap has fallen) is closed down to the lower bound again. `docs/websocket.md` weighs the ways.

/// Sessions that a build may have beyond its share by an upgrade, so that the first can stand at all.
const FREE: f64 = 1.0;
/// And those that it may have before any is closed. The rule that the operators check allows 2 and 4%.
const OVER: f64 = 2.0;

/// How what stands is held to its share. A gateway holds it by the default; the others are the baselines that the
/// emulator compares it with.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ShareEnforcement {
    /// Not at all.
    Unenforced,
    /// Upgrades past it are not opened; nothing is closed.
    AdmissionOnly,
    /// What is past it is closed too, all in one moment.
    CloseAtOnce,
    /// Paced, the oldest first.
    PacedOldestFirst,
    /// Paced, the newest first.
    #[default]
    PacedNewestFirst,
}

/// Whether one more session may stand on a build with this share, of `on` there among `all`.
pub fn may_open(share: f64, on: usize, all: usize) -> bool {
    share >= 1.0 || (share > 0.0 && (on + 1) as f64 <= FREE + share * (all + 1) as f64)
}

/// How many sessions of a build are over its share and have to be closed, of `on` there among `all`. Those that
/// close count as gone from both: whether they come back is not known.
pub fn excess(share: f64, on: usize, all: usize) -> usize {
    if share <= 0.0 {
        return on;
    }
    let (on, all) = (on as f64, all as f64);
    if share >= 1.0 || on <= OVER + share * all {
        return 0;
    }
    // on - k <= FREE + share (all - k)
    ((on - FREE - share * all) / (1.0 - share)).ceil().max(0.0) as usize
}
