//! Rehearsal (deterministic simulation): the system's real cores in one seeded world, in simulated time, with
//! troubles that are on no list, stand-ins for all that is around, and rules checked on what those saw.

pub mod exhaust;
pub mod plant;
pub mod play;
pub mod plot;
pub mod queue;
pub mod rules;
pub mod scenario;
pub mod search;
pub mod seen;
pub mod site;
mod texts;
mod touch;
pub mod widen;
pub mod world;
pub mod worst;
