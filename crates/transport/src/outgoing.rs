//! Long messages on their way out: one stream a peer, made on demand, and a bounded queue before it.

use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;

use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::socket_transport::TransportLimits;

/// Operators filter log lines by this name, which is older than the package's.
const LOG_TARGET: &str = "wings::outgoing";

/// What waits for one peer, each with its length before it.
#[derive(Default)]
struct Queue {
    frames: VecDeque<Vec<u8>>,
    bytes: usize,
}

struct Peer {
    queue: Rc<RefCell<Queue>>,
    more: Rc<Notify>,
    task: JoinHandle<()>,
}

pub(crate) struct Outgoing {
    own: Ipv4Addr,
    port: u16,
    limits: TransportLimits,
    peers: RefCell<HashMap<Ipv4Addr, Peer>>,
}

impl Outgoing {
    pub(crate) fn new(own: Ipv4Addr, port: u16, limits: TransportLimits) -> Self {
        Self { own, port, limits, peers: RefCell::default() }
    }

    pub(crate) fn send(&self, to: Ipv4Addr, bytes: &[u8]) {
        let mut frame = Vec::with_capacity(4 + bytes.len());
        frame.extend_from_slice(&(bytes.len() as u32).to_be_bytes());
        frame.extend_from_slice(bytes);
        let mut peers = self.peers.borrow_mut();
        // A task that has ended leaves nothing in its queue.
        peers.retain(|_, peer| !peer.task.is_finished());
        if !peers.contains_key(&to) && peers.len() >= self.limits.max_peers {
            log::warn!(target: LOG_TARGET, "message to {to} dropped: too many peers");
            return;
        }
        let peer = peers.entry(to).or_insert_with(|| self.start(to));
        peer.queue.borrow_mut().push(frame, self.limits.max_queue_bytes);
        peer.more.notify_one();
    }

    fn start(&self, to: Ipv4Addr) -> Peer {
        let queue = Rc::new(RefCell::new(Queue::default()));
        let more = Rc::new(Notify::new());
        let line = Line {
            own: self.own,
            to: SocketAddrV4::new(to, self.port),
            limits: self.limits,
            queue: queue.clone(),
            more: more.clone(),
        };
        Peer { queue, more, task: tokio::task::spawn_local(line.run()) }
    }
}

impl Drop for Outgoing {
    fn drop(&mut self) {
        for peer in self.peers.get_mut().values() {
            peer.task.abort();
        }
    }
}

impl Queue {
    /// The oldest go when there is too much; the newest is always kept.
    fn push(&mut self, frame: Vec<u8>, most: usize) {
        while self.bytes + frame.len() > most {
            match self.frames.pop_front() {
                Some(oldest) => self.bytes -= oldest.len(),
                None => break,
            }
        }
        self.bytes += frame.len();
        self.frames.push_back(frame);
    }

    fn pop(&mut self) -> Option<Vec<u8>> {
        let frame = self.frames.pop_front()?;
        self.bytes -= frame.len();
        Some(frame)
    }

    fn clear(&mut self) {
        self.frames.clear();
        self.bytes = 0;
    }
}

/// Why a stream came to its end.
enum End {
    /// Nothing to send for long.
    Idle,
    /// The peer closed it, or it broke while `unsent` was not wholly written.
    Broken { unsent: Option<Vec<u8>>, useful: bool },
    /// The peer does not take what is sent.
    Stalled,
}

/// The way to one peer.
struct Line {
    own: Ipv4Addr,
    to: SocketAddrV4,
    limits: TransportLimits,
    queue: Rc<RefCell<Queue>>,
    more: Rc<Notify>,
}

impl Line {
    /// Sends what is in the queue until there is nothing for long, or the peer can't be reached; then what
    /// still waits is dropped, since whoever sent it asks again with newer words.
    async fn run(self) {
        let mut unsent = None;
        let mut broken_in_a_row = 0;
        loop {
            let stream = match self.connect().await {
                Ok(stream) => stream,
                Err(error) => {
                    log::debug!(target: LOG_TARGET, "stream to {}: {error}", self.to);
                    break;
                }
            };
            match self.feed(stream, unsent.take()).await {
                End::Idle => return,
                End::Stalled => break,
                // A frame that was not wholly written has not arrived, so it may be sent again.
                End::Broken { unsent: frame, useful } => {
                    broken_in_a_row = if useful { 0 } else { broken_in_a_row + 1 };
                    if broken_in_a_row > 1 {
                        break;
                    }
                    if frame.is_none() && self.queue.borrow().frames.is_empty() {
                        return;
                    }
                    unsent = frame;
                }
            }
        }
        self.queue.borrow_mut().clear();
    }

    async fn connect(&self) -> io::Result<TcpStream> {
        let socket = TcpSocket::new_v4()?;
        // The peer tells who speaks by the address.
        socket.bind(SocketAddrV4::new(self.own, 0).into())?;
        socket.set_nodelay(true)?;
        SockRef::from(&socket).set_tcp_user_timeout(Some(self.limits.write_timeout))?;
        timeout(self.limits.connect_timeout, socket.connect(self.to.into())).await?
    }

    async fn feed(&self, mut stream: TcpStream, mut unsent: Option<Vec<u8>>) -> End {
        let mut useful = false;
        loop {
            let next = unsent.take().or_else(|| self.queue.borrow_mut().pop());
            let Some(frame) = next else {
                // Peers say nothing on this stream, so that anything to read is its end.
                tokio::select! {
                    biased;
                    () = self.more.notified() => {}
                    _ = stream.read_u8() => return End::Broken { unsent: None, useful },
                    () = tokio::time::sleep(self.limits.idle_timeout) => return End::Idle,
                }
                continue;
            };
            let mut left = &frame[..];
            while !left.is_empty() {
                match timeout(self.limits.write_timeout, stream.write(left)).await {
                    Ok(Ok(written)) if written > 0 => left = &left[written..],
                    Ok(_) => return End::Broken { unsent: Some(frame), useful },
                    Err(_) => return End::Stalled,
                }
            }
            useful = true;
        }
    }
}
