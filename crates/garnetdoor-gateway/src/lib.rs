//! The gateway daemon: runs garnetdoor's decisions on sockets. It makes no routing or voting decisions
//! itself; `garnetdoor::balance` does.
//!
//! `wire` holds the protocols and connections, `state` the gateway's state and the one reducer that changes
//! it, `lifecycle` start, reload and stop. `docs/gateway.md` describes how they work together.

pub mod clock;
pub mod config;
pub mod event;
pub mod lifecycle;
pub mod operator;
pub mod state;
pub mod wire;
