//! What is kept: connections, idle ones by server, tickets, timers, and the reducer, the only one to change
//! any of it.

pub mod conns;
pub mod desk;
pub mod host;
pub mod reducer;
mod refusals;
pub mod servers;
pub mod sessions;
pub mod ticket;
pub mod timers;
