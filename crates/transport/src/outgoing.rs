//! Sending side for long messages: one stream to each peer, opened on demand, with a bounded queue.

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

/// Operators filter log lines by this target, which is older than the package's name.
const LOG_TARGET: &str = "wings::outgoing";

/// Messages waiting for one peer, each preceded by its length.
#[derive(Default)]
struct Queue {
    frames: VecDeque<Vec<u8>>,
    bytes: usize,
}

struct Peer {
    queue: Rc<RefCell<Queue>>,
    queued: Rc<Notify>,
    task: JoinHandle<()>,
}

/// Streams to all peers.
pub(crate) struct Outgoing {
    own_address: Ipv4Addr,
    port: u16,
    limits: TransportLimits,
    peers: RefCell<HashMap<Ipv4Addr, Peer>>,
}

impl Outgoing {
    pub(crate) fn new(own_address: Ipv4Addr, port: u16, limits: TransportLimits) -> Self {
        Self { own_address, port, limits, peers: RefCell::default() }
    }

    /// Queues a message, and opens a stream if there is none. Drops it if there are too many peers.
    pub(crate) fn send(&self, to: Ipv4Addr, bytes: &[u8]) {
        let mut frame = Vec::with_capacity(4 + bytes.len());
        frame.extend_from_slice(&(bytes.len() as u32).to_be_bytes());
        frame.extend_from_slice(bytes);
        let mut peers = self.peers.borrow_mut();
        // A task that has ended has left nothing in its queue.
        peers.retain(|_, peer| !peer.task.is_finished());
        if !peers.contains_key(&to) && peers.len() >= self.limits.max_peers {
            log::warn!(target: LOG_TARGET, "message to {to} dropped: too many peers");
            return;
        }
        let peer = peers.entry(to).or_insert_with(|| self.start(to));
        peer.queue.borrow_mut().push(frame, self.limits.max_queue_bytes);
        peer.queued.notify_one();
    }

    fn start(&self, to: Ipv4Addr) -> Peer {
        let queue = Rc::new(RefCell::new(Queue::default()));
        let queued = Rc::new(Notify::new());
        let stream = PeerStream {
            own_address: self.own_address,
            to: SocketAddrV4::new(to, self.port),
            limits: self.limits,
            queue: queue.clone(),
            queued: queued.clone(),
        };
        Peer { queue, queued, task: tokio::task::spawn_local(stream.run()) }
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
    /// Adds a message. The oldest ones are dropped to stay within `max_bytes`; the newest is always kept.
    fn push(&mut self, frame: Vec<u8>, max_bytes: usize) {
        while self.bytes + frame.len() > max_bytes {
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

/// Why a stream ended.
enum StreamEnd {
    /// There was nothing to send for the idle timeout.
    Idle,
    /// The peer closed the stream, or it broke before `unsent` was completely written. `sent_any` tells if at
    /// least one message was written.
    Broken { unsent: Option<Vec<u8>>, sent_any: bool },
    /// The peer does not read.
    Stalled,
}

/// Task that sends the queue of one peer.
struct PeerStream {
    own_address: Ipv4Addr,
    to: SocketAddrV4,
    limits: TransportLimits,
    queue: Rc<RefCell<Queue>>,
    queued: Rc<Notify>,
}

impl PeerStream {
    /// Sends the queue until nothing has been queued for the idle timeout or the peer can't be reached.
    /// Messages that still wait are then dropped, since their senders retry with newer ones.
    async fn run(self) {
        let mut unsent = None;
        let mut breaks_without_progress = 0;
        loop {
            let stream = match self.connect().await {
                Ok(stream) => stream,
                Err(error) => {
                    log::debug!(target: LOG_TARGET, "stream to {}: {error}", self.to);
                    break;
                }
            };
            match self.send_queue(stream, unsent.take()).await {
                StreamEnd::Idle => return,
                StreamEnd::Stalled => break,
                // A message that was not completely written has not arrived, so it may be sent again.
                StreamEnd::Broken { unsent: frame, sent_any } => {
                    breaks_without_progress = if sent_any { 0 } else { breaks_without_progress + 1 };
                    if breaks_without_progress > 1 {
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
        // The peer identifies the sender by its address.
        socket.bind(SocketAddrV4::new(self.own_address, 0).into())?;
        socket.set_nodelay(true)?;
        SockRef::from(&socket).set_tcp_user_timeout(Some(self.limits.write_timeout))?;
        timeout(self.limits.connect_timeout, socket.connect(self.to.into())).await?
    }

    async fn send_queue(&self, mut stream: TcpStream, mut unsent: Option<Vec<u8>>) -> StreamEnd {
        let mut sent_any = false;
        loop {
            let next = unsent.take().or_else(|| self.queue.borrow_mut().pop());
            let Some(frame) = next else {
                // Peers send nothing on this stream, so anything to read means that it ended.
                tokio::select! {
                    biased;
                    () = self.queued.notified() => {}
                    _ = stream.read_u8() => return StreamEnd::Broken { unsent: None, sent_any },
                    () = tokio::time::sleep(self.limits.idle_timeout) => return StreamEnd::Idle,
                }
                continue;
            };
            let mut remaining = &frame[..];
            while !remaining.is_empty() {
                match timeout(self.limits.write_timeout, stream.write(remaining)).await {
                    Ok(Ok(written)) if written > 0 => remaining = &remaining[written..],
                    Ok(_) => return StreamEnd::Broken { unsent: Some(frame), sent_any },
                    Err(_) => return StreamEnd::Stalled,
                }
            }
            sent_any = true;
        }
    }
}
