//! `rehearse`: the rehearsal is a program of its own, built on this one's cores; it takes this process's
//! place.

use std::ffi::OsString;
use std::os::unix::process::CommandExt;
use std::process::Command;

use super::CommandError;

const PROGRAM: &str = "playhouse-rehearse";

/// Comes back only where the program can't be run.
pub fn run(args: &[OsString]) -> CommandError {
    let own = match std::env::current_exe() {
        Ok(own) => own,
        Err(error) => return CommandError::Process(format!("this program can't be found: {error}").into()),
    };
    let path = own.with_file_name(PROGRAM);
    let error = Command::new(&path).args(args).exec();
    if error.kind() == std::io::ErrorKind::NotFound {
        let build = "build it with `cargo build --release -p rehearsal` and put it beside this program";
        return CommandError::Usage(format!("{} is not there; {build}", path.display()));
    }
    CommandError::File { path, error }
}
