//! The decisions of a gateway: it sends requests to the builds and servers of a service and votes on staged
//! releases.
//!
//! All decisions are in [`balance`]. [`host`] is what a gateway must offer, [`config`] the settings in typed
//! form, and [`state`] what is remembered between events.

pub mod balance;
pub mod config;
pub mod host;
pub mod names;
pub mod state;
