//! The processes of the distributed API gateway: gateways carry traffic, control nodes serve the control API and keep
//! the replicated state. This package holds the I/O around the other packages, whose logic does no I/O; `house`,
//! `control` and `floor` combine that logic, also without I/O.

pub mod calls;
pub mod commands;
pub mod control;
pub mod data_plane;
pub mod demo;
pub mod gateway;
pub mod house;
mod listen;
pub mod metrics;
pub mod paths;
mod post;
pub mod prompter;
pub mod ring;
pub mod settings;
mod signals;
pub mod tasks;
pub mod troubles;
