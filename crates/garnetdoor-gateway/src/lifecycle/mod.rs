//! Start, reload and stop: the log, the listener, signals, and the loop that drives the reducer.

pub mod listen;
pub mod log;
pub mod reload;
pub mod serve;
