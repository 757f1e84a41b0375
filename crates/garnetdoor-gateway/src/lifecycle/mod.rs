//! Start, reload and stop: the clock, the log, the listener, signals, and the loop that drives the reducer.

pub mod clock;
pub mod listen;
pub mod log;
pub mod reload;
pub mod serve;
