//! Playhouse (the system's program): foyers carry the traffic, prompters serve control, and operators look
//! after both.

use std::process::ExitCode;

use clap::Parser;
use playhouse::{commands, ring};

fn main() -> ExitCode {
    let line = commands::Line::parse();
    ring::install(line.log, line.ring);
    commands::run(line)
}
