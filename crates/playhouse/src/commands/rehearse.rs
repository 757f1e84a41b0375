//! `rehearse`: replaces this process by the simulation, a program of its own.

use std::ffi::OsString;
use std::os::unix::process::CommandExt;
use std::process::Command;

use super::CommandError;

/// File name of the simulation program, next to this one.
const PROGRAM: &str = "playhouse-rehearse";

/// Executes the simulation; returns only if it can't be executed.
pub fn run(args: &[OsString]) -> CommandError {
    let own_path = match std::env::current_exe() {
        Ok(own_path) => own_path,
        Err(error) => return CommandError::Process(format!("this program can't be found: {error}").into()),
    };
    let path = own_path.with_file_name(PROGRAM);
    let error = Command::new(&path).args(args).exec();
    if error.kind() == std::io::ErrorKind::NotFound {
        let build = "build it with `cargo build --release -p rehearsal` and put it beside this program";
        return CommandError::Usage(format!("{} is not there; {build}", path.display()));
    }
    CommandError::File { path, error }
}
