//! Protocols and connections: HTTP, the messages of clients, servers, the list service and the platform, and
//! the sockets that carry them.

pub mod buffer;
pub mod client;
pub mod discovery;
pub mod http;
pub mod instance;
pub mod platform;
pub mod relay;
pub mod socket;
