//! Receiving side of the socket transport: datagrams, and streams of messages that are each preceded by their
//! length.

use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncReadExt, BufReader};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{Semaphore, mpsc};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};
use types::Carrier;

use crate::ReceivedMessage;
use crate::socket_transport::TransportLimits;
use crate::stats::Counters;

/// Operators filter log lines by this target, which is older than the package's name.
const LOG_TARGET: &str = "wings::incoming";

pub type MessageSender = mpsc::Sender<ReceivedMessage>;

/// Pause after an error of a listening socket, such as a lack of file descriptors.
const PAUSE_AFTER_ERROR: Duration = Duration::from_millis(100);
const READ_BUFFER_BYTES: usize = 16 << 10;
/// Time allowed for each byte of a message, in addition to `TransportLimits::frame_timeout`: a link of 6
/// Mbit/s takes eleven seconds for a snapshot of 8 MB.
const MICROS_PER_BYTE: u64 = 10;

/// Passes datagrams to the receiver until it is gone. Drops them while its queue is full, and those longer
/// than `max_bytes`.
pub(crate) async fn receive_datagrams(
    socket: Rc<UdpSocket>, messages: MessageSender, max_bytes: usize, counters: Rc<Counters>,
) {
    let mut buffer = vec![0; max_bytes + 1];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, SocketAddr::V4(from))) if length <= max_bytes => {
                counters.count(|stats| stats.datagrams_received += 1);
                let bytes = buffer[..length].to_vec();
                match messages.try_send(ReceivedMessage {
                    from: *from.ip(),
                    bytes,
                    carrier: Carrier::Datagram,
                }) {
                    Ok(()) => {}
                    Err(mpsc::error::TrySendError::Full(_)) => {
                        counters.count(|stats| stats.datagrams_dropped += 1);
                        log::debug!(target: LOG_TARGET, "datagram dropped: queue is full");
                    }
                    Err(mpsc::error::TrySendError::Closed(_)) => return,
                }
            }
            Ok(_) => {}
            Err(error) => {
                log::warn!(target: LOG_TARGET, "datagrams: {error}");
                sleep(PAUSE_AFTER_ERROR).await;
            }
        }
    }
}

/// Accepts streams from other nodes.
pub(crate) struct StreamListener {
    listener: TcpListener,
    messages: MessageSender,
    limits: TransportLimits,
}

impl StreamListener {
    pub(crate) fn new(listener: TcpListener, messages: MessageSender, limits: TransportLimits) -> Self {
        Self { listener, messages, limits }
    }

    /// Runs until the returned future is dropped, which also closes all streams.
    pub(crate) async fn run(self) {
        let read_budget = Arc::new(Semaphore::new(self.limits.max_reading_bytes));
        let mut streams = JoinSet::new();
        loop {
            while streams.len() >= self.limits.max_incoming_streams {
                streams.join_next().await;
            }
            while streams.try_join_next().is_some() {}
            match self.listener.accept().await {
                Ok((stream, SocketAddr::V4(from))) => {
                    let messages = self.messages.clone();
                    streams.spawn_local(read_frames(
                        stream,
                        *from.ip(),
                        messages,
                        read_budget.clone(),
                        self.limits,
                    ));
                }
                Ok(_) => {}
                Err(error) => {
                    log::warn!(target: LOG_TARGET, "streams: {error}");
                    sleep(PAUSE_AFTER_ERROR).await;
                }
            }
        }
    }
}

/// Passes the messages of a stream to the receiver until the stream ends, fails or is too slow. An incomplete
/// message is dropped. `read_budget` bounds the bytes of messages being read on all streams together. Works
/// on any stream, so that it can be tested without a socket.
pub async fn read_frames(
    stream: impl AsyncRead + Unpin, from: Ipv4Addr, messages: MessageSender, read_budget: Arc<Semaphore>,
    limits: TransportLimits,
) {
    let mut stream = BufReader::with_capacity(READ_BUFFER_BYTES, stream);
    loop {
        // A peer that lost power closes nothing; its stream must not stay open for ever.
        let Ok(Ok(length)) = timeout(limits.idle_timeout * 2, stream.read_u32()).await else { return };
        let length = length as usize;
        if length > limits.max_message_bytes {
            log::warn!(target: LOG_TARGET, "stream from {from} closed: message of {length} bytes");
            return;
        }
        let permits = length.min(limits.max_reading_bytes) as u32;
        let frame = async {
            let _permit = read_budget.acquire_many(permits).await.ok()?;
            let mut bytes = Vec::new();
            // The buffer grows with what arrives, so that a wrong length costs no memory.
            let read = (&mut stream).take(length as u64).read_to_end(&mut bytes).await.ok()?;
            (read == length).then_some(bytes)
        };
        let time_limit = limits.frame_timeout + Duration::from_micros(length as u64 * MICROS_PER_BYTE);
        let Ok(Some(bytes)) = timeout(time_limit, frame).await else { return };
        if messages.send(ReceivedMessage { from, bytes, carrier: Carrier::Stream }).await.is_err() {
            return;
        }
    }
}
