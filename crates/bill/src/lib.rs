//! bill
