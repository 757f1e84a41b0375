//! The gateway itself: garnetdoor's decisions on sockets. It decides nothing; `garnetdoor::balance` does.
//!
//! `wire` is what is spoken, `state` what is kept and the one reducer that changes it, `lifecycle` start,
//! reload and stop. `docs/gateway.md` tells how they fit.

pub mod clock;
pub mod config;
pub mod event;
pub mod lifecycle;
pub mod operator;
pub mod state;
pub mod wire;
