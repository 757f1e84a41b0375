//! Playhouse (the system's programs): foyers carry the traffic, prompters serve control. Thin drivers over the
//! rooms; `house`, `control` and `floor` join those without I/O.

pub mod api;
pub mod carrier_selection;
pub mod commands;
pub mod control_node;
pub mod control_plane;
pub mod demo;
pub mod failure_watch;
pub mod floor;
pub mod foyer;
mod listen;
pub mod metrics;
pub mod node;
mod outgoing;
pub mod ring;
pub mod settings;
mod signals;
pub mod tasks;
