//! Extras (a hollow fleet): many nodes of the system's real cores in simulated time, with what they say counted by
//! kind, what they hold counted in bytes, and the processor time of each step. Nothing here decides for the
//! system; `docs/CAPACITY.md` tells what was measured.

pub mod change;
pub mod fit;
pub mod kind;
pub mod path;
pub mod size;
pub mod sockets;
pub mod sweep;
pub mod table;
pub mod tally;
pub mod text;
pub mod world;
