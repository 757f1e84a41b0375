//! What is kept: connections, idle ones by server, tickets, timers, and the reducer, the only one to change
//! any of it.

pub mod connections;
pub mod gateway_state;
pub mod host;
pub mod reducer;
mod refusals;
pub mod request;
pub mod servers;
pub mod sessions;
pub mod timers;
