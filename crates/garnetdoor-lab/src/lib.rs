//! What shows that garnetdoor's subsystems work: stand-ins of everything around a gateway, the real daemon between
//! them, checkers of the rules over what the stand-ins saw, and the proofs that put these together. All servers
//! here are simulated; sockets, daemon and time are real, but for the emulator's.

pub mod attempt;
pub mod daemon;
pub mod days;
pub mod demo;
pub mod emulate;
pub mod fleet;
pub mod port;
pub mod prove;
pub mod record;
pub mod rules;
pub mod stand;
