//! Program of the distributed API gateway: runs gateways and control nodes, and offers the operators' commands.

use std::process::ExitCode;

use clap::Parser;
use playhouse::{commands, ring};

fn main() -> ExitCode {
    let command_line = commands::CommandLine::parse();
    ring::install(command_line.log, command_line.ring);
    commands::run(command_line)
}
