//! News (gossip queue): which addresses there is news about, and how often it was told.

use types::NodeAddress;

/// What the current word on a address is gets looked up when it is sent, so that only the newest is told.
#[derive(Debug, Default)]
pub(crate) struct GossipQueue {
    items: Vec<Item>,
}

#[derive(Clone, Copy, Debug)]
struct Item {
    about: NodeAddress,
    sent: u32,
}

impl GossipQueue {
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// There is something new about a address, to be told from the first time again.
    pub fn tell(&mut self, about: NodeAddress) {
        self.items.retain(|item| item.about != about);
        self.items.insert(0, Item { about, sent: 0 });
    }

    /// The addresses to tell of, least told first.
    pub fn addresses(&self) -> impl Iterator<Item = NodeAddress> {
        self.items.iter().map(|item| item.about)
    }

    /// The first `count` were sent once more; those sent `limit` times are done.
    pub fn sent(&mut self, count: usize, limit: u32) {
        for item in self.items.iter_mut().take(count) {
            item.sent += 1;
        }
        self.items.retain(|item| item.sent < limit);
        self.items.sort_by_key(|item| item.sent);
    }
}
