//! Signals: SIGTERM and SIGINT stop the gateway, SIGHUP rereads the configuration and the operator file.

use std::io;
use std::sync::mpsc::Sender;
use std::thread;

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use crate::config::{self, Config};
use crate::event::Event;
use crate::log;
use crate::operator;

/// Registers for the signals; those that arrive before [`handle_signals`] are kept for it. A SIGHUP during
/// the start would otherwise terminate the program.
pub fn register_signals() -> io::Result<Signals> {
    Signals::new([SIGTERM, SIGINT, SIGHUP])
}

/// Handles signals in a thread of its own, so that reading a file blocks nothing else.
///
/// `operator_path` is the path of the operator file, if the command line names one. At a reload the
/// configuration and the operator file are each applied if they are valid; a faulty one is logged and changes
/// nothing.
pub fn handle_signals(
    mut signals: Signals, mut config: Config, operator_path: Option<String>, events: Sender<Event>,
) {
    thread::spawn(move || {
        for signal in signals.forever() {
            if signal != SIGHUP {
                let _ = events.send(Event::Stop);
                continue;
            }
            match config::read(None) {
                Ok(newer) => {
                    for key in config.reload(newer) {
                        log!("reload: {key} differs, which counts from the next start");
                    }
                    let _ = events.send(Event::Reload(config.discovery, config.platform));
                }
                // The file is wrong, or was read while it was being written.
                Err(faults) => faults.iter().for_each(|fault| log!("reload left out: {fault}")),
            }
            match operator::read(operator_path.as_deref(), Some(&config.settings)) {
                Ok(operator) => drop(events.send(Event::OperatorFile(Box::new(operator)))),
                Err(faults) => faults.iter().for_each(|fault| log!("reload left out: {fault}")),
            }
        }
    });
}
