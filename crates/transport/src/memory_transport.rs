//! In-memory transport for tests: nodes attached to one network that loses messages by a seed.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::rc::Rc;

use tokio::sync::mpsc;
use types::Carrier;

use crate::{MessageReceiver, ReceivedMessage, Transport};

/// Most messages that wait at one node; further ones are dropped.
const MAX_UNDELIVERED_MESSAGES: usize = 256;

#[derive(Debug)]
struct Network {
    nodes: HashMap<Ipv4Addr, mpsc::Sender<ReceivedMessage>>,
    /// How many of a thousand datagrams are lost.
    loss_per_thousand: u64,
    rng_state: u64,
    max_message_bytes: usize,
}

/// Network that connects in-memory transports. Clones refer to the same network.
#[derive(Clone, Debug)]
pub struct MemoryNetwork(Rc<RefCell<Network>>);

impl MemoryNetwork {
    /// A network that loses `loss_per_thousand` of a thousand datagrams, chosen by the seed, and each message
    /// longer than `max_message_bytes`.
    pub fn new(seed: u64, loss_per_thousand: u64, max_message_bytes: usize) -> Self {
        Self(Rc::new(RefCell::new(Network {
            nodes: HashMap::new(),
            loss_per_thousand,
            rng_state: seed,
            max_message_bytes,
        })))
    }

    /// Attaches a node at an address. A node that was attached there before receives nothing more.
    pub fn attach(&self, own_address: Ipv4Addr) -> (MemoryTransport, MessageReceiver) {
        let (sender, receiver) = mpsc::channel(MAX_UNDELIVERED_MESSAGES);
        self.0.borrow_mut().nodes.insert(own_address, sender);
        (MemoryTransport { own_address, network: self.clone() }, receiver)
    }
}

/// Transport of one node of a [`MemoryNetwork`].
#[derive(Clone, Debug)]
pub struct MemoryTransport {
    own_address: Ipv4Addr,
    network: MemoryNetwork,
}

impl Transport for MemoryTransport {
    fn send(&self, to: Ipv4Addr, bytes: Vec<u8>) {
        let mut network = self.network.0.borrow_mut();
        let lost = network.next_random() % 1_000 < network.loss_per_thousand;
        if lost || bytes.len() > network.max_message_bytes {
            return;
        }
        if let Some(node) = network.nodes.get(&to) {
            // A node whose queue is full or that is gone loses the message, as a network would.
            let message = ReceivedMessage { from: self.own_address, bytes, carrier: Carrier::Datagram };
            let _ = node.try_send(message);
        }
    }

    fn send_by_stream(&self, to: Ipv4Addr, bytes: Vec<u8>) {
        let network = self.network.0.borrow();
        if bytes.len() <= network.max_message_bytes
            && let Some(node) = network.nodes.get(&to)
        {
            let message = ReceivedMessage { from: self.own_address, bytes, carrier: Carrier::Stream };
            let _ = node.try_send(message);
        }
    }
}

impl Network {
    /// The next number of a splitmix64 generator.
    fn next_random(&mut self) -> u64 {
        self.rng_state = self.rng_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.rng_state ^ (self.rng_state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }
}
