//! Crowd (the clients' connections that are open): how many, and which give way when there are too many.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use tokio::sync::Notify;

use super::watch::{Doing, Watch};

/// Of all that may be open, so many give way at once, so that a flood costs one look at all for many of it.
const AT_ONCE: usize = 16;

/// Connections of clients, by the order of their coming.
#[derive(Default)]
pub struct Crowd {
    all: RefCell<HashMap<u64, (Watch, Rc<Notify>)>>,
    next: std::cell::Cell<u64>,
    /// Rung when the last one has gone.
    empty: Rc<Notify>,
}

/// One connection's place, until it is dropped.
pub struct Place {
    crowd: Rc<Crowd>,
    number: u64,
    /// Rung when it is to give way.
    pub yields: Rc<Notify>,
}

impl Crowd {
    pub fn len(&self) -> usize {
        self.all.borrow().len()
    }

    /// A place for one more; none where `most` are open and all of them are served.
    pub async fn enter(self: &Rc<Crowd>, most: usize, watch: &Watch) -> Option<Place> {
        if self.len() >= most {
            self.give_way((most / AT_ONCE).max(1));
            // Those that give way end in turns of their own.
            tokio::task::yield_now().await;
        }
        if self.len() >= most {
            return None;
        }
        let (number, yields) = (self.next.get(), Rc::new(Notify::new()));
        self.next.set(number + 1);
        self.all.borrow_mut().insert(number, (watch.clone(), yields.clone()));
        Some(Place { crowd: self.clone(), number, yields })
    }

    /// Connections without a whole request go first, the longest so before others; none that is served.
    fn give_way(&self, count: usize) {
        let all = self.all.borrow();
        let mut idle: Vec<_> = all
            .values()
            .filter_map(|(watch, yields)| match watch.doing() {
                Doing::Idle(since) | Doing::Head(since) => Some((since, yields)),
                Doing::Served => None,
            })
            .collect();
        idle.sort_unstable_by_key(|(since, _)| *since);
        idle.iter().take(count).for_each(|(_, yields)| yields.notify_one());
    }

    /// Waits until nobody is left.
    pub async fn gone(&self) {
        while self.len() > 0 {
            self.empty.notified().await;
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.crowd.all.borrow_mut().remove(&self.number);
        if self.crowd.len() == 0 {
            self.crowd.empty.notify_one();
        }
    }
}
