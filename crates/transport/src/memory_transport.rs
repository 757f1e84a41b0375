//! Memory post (transport for tests): places in one hall, with losses by a seed.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::rc::Rc;

use tokio::sync::mpsc;
use types::Carrier;

use crate::{MessageReceiver, ReceivedMessage, Transport};

/// Messages that wait at one place; more are dropped.
const ARRIVED: usize = 256;

#[derive(Debug)]
struct Hall {
    places: HashMap<Ipv4Addr, mpsc::Sender<ReceivedMessage>>,
    /// How many of a thousand messages are lost.
    lost: u64,
    chance: u64,
    longest: usize,
}

/// Where memory posts meet. Clones are the same hall.
#[derive(Clone, Debug)]
pub struct MemoryNetwork(Rc<RefCell<Hall>>);

impl MemoryNetwork {
    /// `lost` of a thousand messages do not arrive, by the seed; none over `longest` bytes does.
    pub fn new(seed: u64, lost: u64, longest: usize) -> Self {
        Self(Rc::new(RefCell::new(Hall { places: HashMap::new(), lost, chance: seed, longest })))
    }

    /// A post at a place; one that was there before hears nothing more.
    pub fn attach(&self, own: Ipv4Addr) -> (MemoryTransport, MessageReceiver) {
        let (sender, receiver) = mpsc::channel(ARRIVED);
        self.0.borrow_mut().places.insert(own, sender);
        (MemoryTransport { own, hall: self.clone() }, receiver)
    }
}

/// A place in a hall.
#[derive(Clone, Debug)]
pub struct MemoryTransport {
    own: Ipv4Addr,
    hall: MemoryNetwork,
}

impl Transport for MemoryTransport {
    fn send(&self, to: Ipv4Addr, bytes: Vec<u8>) {
        let mut hall = self.hall.0.borrow_mut();
        let lost = hall.draw() % 1_000 < hall.lost;
        if lost || bytes.len() > hall.longest {
            return;
        }
        if let Some(place) = hall.places.get(&to) {
            // Full or gone: lost, as on the way.
            let _ = place.try_send(ReceivedMessage { from: self.own, bytes, carrier: Carrier::Datagram });
        }
    }

    fn send_by_stream(&self, to: Ipv4Addr, bytes: Vec<u8>) {
        let hall = self.hall.0.borrow();
        if bytes.len() <= hall.longest
            && let Some(place) = hall.places.get(&to)
        {
            let _ = place.try_send(ReceivedMessage { from: self.own, bytes, carrier: Carrier::Stream });
        }
    }
}

impl Hall {
    /// The next number of a splitmix sequence.
    fn draw(&mut self) -> u64 {
        self.chance = self.chance.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.chance ^ (self.chance >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }
}
