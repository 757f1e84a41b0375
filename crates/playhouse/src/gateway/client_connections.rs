//! Open client connections: limits their number and chooses which ones to close when there are too many.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use tokio::sync::Notify;
use types::ConfigVersion;

use super::activity::{Activity, Phase};

/// The fraction of the limit, as a divisor, that is asked to close at once, so that during a flood one scan of all
/// connections serves many new ones.
const YIELD_DIVISOR: usize = 16;

/// Open client connections, numbered in order of arrival.
#[derive(Default)]
pub struct ClientConnections {
    open: RefCell<HashMap<u64, (Activity, Rc<Notify>)>>,
    next_id: std::cell::Cell<u64>,
    /// Notified when the last connection has closed.
    emptied: Rc<Notify>,
}

/// The slot of one connection, free again when it is dropped.
pub struct ConnectionSlot {
    connections: Rc<ClientConnections>,
    id: u64,
    /// Notified when the connection is asked to close.
    pub yield_requested: Rc<Notify>,
}

impl ClientConnections {
    pub fn len(&self) -> usize {
        self.open.borrow().len()
    }

    /// How many connections go by the limits of another configuration than this.
    pub fn with_other_limits(&self, version: ConfigVersion) -> usize {
        self.open.borrow().values().filter(|(activity, _)| activity.limits_version() != version).count()
    }

    /// A slot for a new connection; `None` if `limit` are open and all of them are being served.
    pub async fn enter(
        self: &Rc<ClientConnections>, limit: usize, activity: &Activity,
    ) -> Option<ConnectionSlot> {
        if self.len() >= limit {
            self.request_yield((limit / YIELD_DIVISOR).max(1));
            // The connections that were asked to close do so in their own tasks.
            tokio::task::yield_now().await;
        }
        if self.len() >= limit {
            return None;
        }
        let (id, yield_requested) = (self.next_id.get(), Rc::new(Notify::new()));
        self.next_id.set(id + 1);
        self.open.borrow_mut().insert(id, (activity.clone(), yield_requested.clone()));
        Some(ConnectionSlot { connections: self.clone(), id, yield_requested })
    }

    /// Asks up to `count` connections without a complete request to close, longest in that phase first; never one
    /// that is being served.
    fn request_yield(&self, count: usize) {
        let open = self.open.borrow();
        let mut idle: Vec<_> = open
            .values()
            .filter_map(|(activity, yield_requested)| match activity.phase() {
                Phase::Idle(since) | Phase::ReadingHead(since) => Some((since, yield_requested)),
                Phase::Serving => None,
            })
            .collect();
        idle.sort_unstable_by_key(|(since, _)| *since);
        idle.iter().take(count).for_each(|(_, yield_requested)| yield_requested.notify_one());
    }

    /// Waits until no connection is open.
    pub async fn wait_until_empty(&self) {
        while self.len() > 0 {
            self.emptied.notified().await;
        }
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.connections.open.borrow_mut().remove(&self.id);
        if self.connections.len() == 0 {
            self.connections.emptied.notify_one();
        }
    }
}
