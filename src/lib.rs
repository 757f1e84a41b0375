//! garnetdoor votes on staged releases and routes tickets through them.
//!
//! All decisions are in [`balance`]; what a gateway must offer them is in [`host`].

pub mod balance;
pub mod config;
pub mod host;
pub mod names;
pub mod state;
