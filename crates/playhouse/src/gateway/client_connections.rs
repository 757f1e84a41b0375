//! ClientConnections (the clients' connections that are open): how many, and which give way when there are too many.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use tokio::sync::Notify;

use super::activity::{Activity, Phase};

/// Of all that may be open, so many give way at once, so that a flood costs one look at all for many of it.
const YIELD_FRACTION: usize = 16;

/// Connections of clients, by the order of their coming.
#[derive(Default)]
pub struct ClientConnections {
    open: RefCell<HashMap<u64, (Activity, Rc<Notify>)>>,
    next_id: std::cell::Cell<u64>,
    /// Rung when the last one has gone.
    emptied: Rc<Notify>,
}

/// One connection's slot, until it is dropped.
pub struct ConnectionSlot {
    connections: Rc<ClientConnections>,
    id: u64,
    /// Rung when it is to give way.
    pub yield_requested: Rc<Notify>,
}

impl ClientConnections {
    pub fn len(&self) -> usize {
        self.open.borrow().len()
    }

    /// A slot for one more; none where `limit` are open and all of them are served.
    pub async fn enter(
        self: &Rc<ClientConnections>, limit: usize, activity: &Activity,
    ) -> Option<ConnectionSlot> {
        if self.len() >= limit {
            self.request_yield((limit / YIELD_FRACTION).max(1));
            // Those that give way end in turns of their own.
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

    /// Connections without a whole request go first, the longest so before others; none that is served.
    fn request_yield(&self, count: usize) {
        let all = self.open.borrow();
        let mut idle: Vec<_> = all
            .values()
            .filter_map(|(activity, yield_requested)| match activity.phase() {
                Phase::Idle(since) | Phase::ReadingHead(since) => Some((since, yield_requested)),
                Phase::Serving => None,
            })
            .collect();
        idle.sort_unstable_by_key(|(since, _)| *since);
        idle.iter().take(count).for_each(|(_, yield_requested)| yield_requested.notify_one());
    }

    /// Waits until nobody is left.
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
