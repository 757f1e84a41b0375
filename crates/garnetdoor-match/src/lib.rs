//! A typed expression language over the heads of HTTP requests, without I/O. Expressions are parsed and type-checked
//! once, their cost is bounded, and their evaluation can't fail.
//!
//! [`Program::compile`] parses a text ([`syntax`]), checks its types ([`check`]) and bounds its cost ([`cost`]).
//! [`Program::eval`] evaluates it for one [`RequestHead`] and counts the units of cost that it takes. `docs/match.md` is
//! the reference of the language.

pub mod check;
pub mod cost;
pub mod eval;
pub mod head;
pub mod required;
pub mod syntax;

pub use check::{Program, Type};
pub use eval::{Cost, Value};
pub use head::{HeadLimits, RequestHead};
pub use syntax::ExprError;
