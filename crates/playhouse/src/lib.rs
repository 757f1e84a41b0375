//! Playhouse (the system's programs): foyers carry the traffic, prompters serve control. Thin drivers over the
//! rooms; `house`, `control` and `floor` join those without I/O.

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
