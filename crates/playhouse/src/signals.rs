//! SIGTERM and SIGHUP as events.

use tokio::signal::unix::{Signal, SignalKind, signal};

pub enum Told {
    End,
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

    pub async fn next(&mut self) -> Told {
        tokio::select! {
            _ = self.term.recv() => Told::End,
            _ = self.int.recv() => Told::End,
            _ = self.hup.recv() => Told::Reload,
        }
    }
}
