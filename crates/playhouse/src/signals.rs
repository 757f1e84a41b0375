//! Process signals as events.

use tokio::signal::unix::{Signal, SignalKind, signal};

/// SIGTERM and SIGINT terminate, SIGHUP reloads the settings.
pub enum SignalEvent {
    Terminate,
    Reload,
}

/// Receives the process's signals.
pub struct Signals {
    term: Signal,
    int: Signal,
    hup: Signal,
}

impl Signals {
    pub fn start() -> std::io::Result<Signals> {
        Ok(Signals {
            term: signal(SignalKind::terminate())?,
            int: signal(SignalKind::interrupt())?,
            hup: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for the next signal.
    pub async fn next(&mut self) -> SignalEvent {
        tokio::select! {
            _ = self.term.recv() => SignalEvent::Terminate,
            _ = self.int.recv() => SignalEvent::Terminate,
            _ = self.hup.recv() => SignalEvent::Reload,
        }
    }
}
