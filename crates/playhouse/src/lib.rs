//! The processes of the distributed API gateway: gateways carry traffic, control nodes serve the control API and keep
//! the replicated state. This package holds the I/O around the other packages, whose logic does no I/O; `node`,
//! `control_plane` and `data_plane` combine that logic, also without I/O.

pub mod api;
pub mod build_info;
pub mod carrier_selection;
pub mod commands;
pub mod control_node;
pub mod control_plane;
pub mod data_plane;
pub mod demo;
pub mod failure_watch;
pub mod gateway;
mod listen;
pub mod metrics;
pub mod node;
mod outgoing;
pub mod ring;
pub mod settings;
mod signals;
pub mod tasks;
