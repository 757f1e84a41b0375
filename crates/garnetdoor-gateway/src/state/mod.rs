//! The gateway's state: connections, servers, open requests, sessions and timers, and the reducer, which
//! alone changes them.

pub mod connections;
pub mod gateway_state;
pub mod host;
pub mod reducer;
mod refusals;
pub mod request;
pub mod servers;
pub mod sessions;
pub mod timers;
