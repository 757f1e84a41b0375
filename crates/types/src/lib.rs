//! Props (shared plain types): what the rooms of the system name things by. Nothing here decides anything.

mod carrier;
mod form;
mod share;

use std::fmt;
use std::net::Ipv4Addr;

pub use carrier::{Carrier, DATAGRAM_BYTES};
pub use form::{Edition, Form, Forms, Program};
pub use garnetdoor::host::Micros;
use serde::{Deserialize, Serialize};
pub use share::share;

/// A machine of the system, by its address; the ports are the same on all machines of a deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Place(pub Ipv4Addr);

/// One life: of a process, or of a disk where there is one. Drawn by chance when it begins.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Life(pub u64);

/// A member of the core: a place, and the life of the disk there. A machine that comes back with an empty
/// disk has another seat, so that nothing it promised before is expected of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Seat {
    pub place: Place,
    pub life: Life,
}

/// A place in the ordered log; 0 is before the first entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Index(pub u64);

/// A leader's term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Term(pub u64);

/// Names a caller who waits for an answer, within one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ask(pub u64);

/// The version of a configuration; eight hexadecimal digits in bodies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Version(pub u32);

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}

impl fmt::Display for Seat {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{:x}", self.place, self.life.0)
    }
}

pub const MS: Micros = 1_000;
pub const SECOND: Micros = 1_000_000;
