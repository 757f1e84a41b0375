//! The emulator.
