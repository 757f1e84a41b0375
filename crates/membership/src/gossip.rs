//! Gossip queue: the addresses about which there is an update to spread, and how often each has been sent.

use types::NodeAddress;

/// Holds addresses only. The update itself is looked up when a message is sent, so that always the newest is sent.
#[derive(Debug, Default)]
pub(crate) struct GossipQueue {
    /// Least sent first.
    items: Vec<Item>,
}

#[derive(Clone, Copy, Debug)]
struct Item {
    about: NodeAddress,
    times_sent: u32,
}

impl GossipQueue {
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Queues an update about an address. If one is queued already, it is replaced and counted from zero again.
    pub fn enqueue(&mut self, about: NodeAddress) {
        self.items.retain(|item| item.about != about);
        self.items.insert(0, Item { about, times_sent: 0 });
    }

    /// The addresses that are queued, least sent first.
    pub fn addresses(&self) -> impl Iterator<Item = NodeAddress> {
        self.items.iter().map(|item| item.about)
    }

    /// Counts one more transmission of the first `count` items, and drops those that have been sent `limit` times.
    pub fn mark_sent(&mut self, count: usize, limit: u32) {
        for item in self.items.iter_mut().take(count) {
            item.times_sent += 1;
        }
        self.items.retain(|item| item.times_sent < limit);
        self.items.sort_by_key(|item| item.times_sent);
    }
}
