//! SIGTERM and SIGHUP as events.

use tokio::signal::unix::{Signal, SignalKind, signal};

pub enum SignalEvent {
    Terminate,
    Reload,
}

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

    pub async fn next(&mut self) -> SignalEvent {
        tokio::select! {
            _ = self.term.recv() => SignalEvent::Terminate,
            _ = self.int.recv() => SignalEvent::Terminate,
            _ = self.hup.recv() => SignalEvent::Reload,
        }
    }
}
