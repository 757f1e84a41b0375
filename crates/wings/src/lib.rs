//! wings
