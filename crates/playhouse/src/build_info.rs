//! Which sources this program was built from, so that a log, a metric or `--version` tells one build from another.

use crate::ring::START_TARGET;

/// Version of the release.
pub const VERSION: &str = env!("CARGO_PKG_VERSION");
/// Commit of the sources, with `-dirty` if they were changed after it; `unknown` if it was built outside a checkout.
pub const COMMIT: &str = env!("GARNETDOOR_COMMIT");
/// Target triple, such as `aarch64-unknown-linux-gnu`.
pub const TARGET: &str = env!("GARNETDOOR_TARGET");
/// Profile of cargo: `release` or `debug`.
pub const PROFILE: &str = env!("GARNETDOOR_PROFILE");
/// All of it, as `--version` prints it after the program's name.
pub const LONG_VERSION: &str = concat!(
    env!("CARGO_PKG_VERSION"),
    "\ncommit ",
    env!("GARNETDOOR_COMMIT"),
    "\ntarget ",
    env!("GARNETDOOR_TARGET"),
    "\nprofile ",
    env!("GARNETDOOR_PROFILE"),
);

/// Logs which program starts, as which role.
pub fn log_start(role: &str) {
    log::info!(
        target: START_TARGET,
        "playhouse {VERSION}, commit {COMMIT}, target {TARGET}, profile {PROFILE}, starts as {role}"
    );
}

/// The labels of the metric `build_info`.
pub fn labels() -> Vec<(&'static str, &'static str)> {
    vec![("version", VERSION), ("commit", COMMIT), ("target", TARGET), ("profile", PROFILE)]
}
