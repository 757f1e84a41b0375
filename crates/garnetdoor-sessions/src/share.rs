//! How many open sessions a build on trial may have.
//!
//! Limiting upgrades alone is not enough: sessions last for minutes and releases for seconds, and sessions of the earlier
//! build leave while those of the new build stay. So the build's share of the traffic also applies to its open sessions.
//! Two bounds with a gap between them keep this stable: an upgrade may bring a build up to the lower one
//! ([`may_open`]). Where other sessions end or the share falls, a build may go past the upper one without an upgrade; it
//! is then closed down to the lower one ([`excess`]). `docs/websocket.md` compares the alternatives.

/// Sessions above its share that a build may reach by an upgrade, so that a first one can open at all.
const OPEN_ALLOWANCE_SESSIONS: f64 = 1.0;
/// Sessions above its share that a build may have before any is closed. The operators' check allows 2 sessions and 4%.
const CLOSE_ALLOWANCE_SESSIONS: f64 = 2.0;

/// How the open sessions of a build are kept within its share. Gateways use the default; the others are baselines that
/// the emulator compares it with.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ShareEnforcement {
    /// The share is ignored.
    Unenforced,
    /// Upgrades above the share are refused; no session is closed.
    AdmissionOnly,
    /// Sessions above the share are also closed, all at once.
    CloseAtOnce,
    /// Sessions above the share are closed over a period, the oldest first.
    PacedOldestFirst,
    /// Sessions above the share are closed over a period, the newest first.
    #[default]
    PacedNewestFirst,
}

/// Whether one more session may open on a build with this share, when `on_build` of `total` sessions are open there.
pub fn may_open(share: f64, on_build: usize, total: usize) -> bool {
    share >= 1.0
        || (share > 0.0 && (on_build + 1) as f64 <= OPEN_ALLOWANCE_SESSIONS + share * (total + 1) as f64)
}

/// How many sessions of a build have to be closed, when `on_build` of `total` sessions are open there. Closed sessions
/// are taken off both numbers, since it is not known whether their clients come back.
pub fn excess(share: f64, on_build: usize, total: usize) -> usize {
    if share <= 0.0 {
        return on_build;
    }
    let (on_build, total) = (on_build as f64, total as f64);
    if share >= 1.0 || on_build <= CLOSE_ALLOWANCE_SESSIONS + share * total {
        return 0;
    }
    // The least k with: on_build - k <= OPEN_ALLOWANCE_SESSIONS + share * (total - k)
    ((on_build - OPEN_ALLOWANCE_SESSIONS - share * total) / (1.0 - share)).ceil().max(0.0) as usize
}
