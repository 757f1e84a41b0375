//! Understudy (guided fuzzing): plays every reader of bytes with inputs that are sound in part, keeps what shows
//! something new, and changes that further. No I/O, no clock: the same seed plays the same. `docs/fuzzing.md`
//! tells the ways that were weighed and what was found.

pub mod play;
pub mod shapes;
pub mod signature;
pub mod targets;

pub use play::{Bounds, Broken, Cost, How, Meter, Tale, Target, play, played, shortened};
pub use shapes::Shape;
pub use signature::{Seen, Signature};
