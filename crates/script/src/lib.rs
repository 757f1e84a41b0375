//! script
