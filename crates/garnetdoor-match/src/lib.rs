//! A typed expression language over a ticket's head, without I/O: read and checked once, bounded in cost, and unable
//! to fail when a ticket comes.
//!
//! [`Program::read`] takes a text through parsing ([`syntax`]), types ([`check`]) and the worst cost that it can have
//! ([`cost`]); [`Program::eval`] works it out for one [`Head`], counting the same units of cost. `docs/match.md` is the
//! reference.

pub mod check;
pub mod cost;
pub mod eval;
pub mod head;
pub mod needs;
pub mod syntax;

pub use check::{Program, Type};
pub use eval::{Spent, Value};
pub use head::{Bounds, Head};
pub use syntax::Fault;
