//! What comes in: datagrams, and streams of messages that each begin with their length.

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

/// Operators filter log lines by this name, which is older than the package's.
const LOG_TARGET: &str = "wings::incoming";

pub type Arrivals = mpsc::Sender<ReceivedMessage>;

/// After an error of a listening socket, such as a lack of descriptors.
const REST: Duration = Duration::from_millis(100);
const READ_BYTES: usize = 16 << 10;
/// What each byte of a message is given beside the bound for all, in microseconds: links of 6 Mbit/s carry a state of 8 MB
/// in eleven seconds.
const BYTE_MICROS: u64 = 10;

/// Hands on datagrams until the receiver is gone; drops them while it is full, and those over `longest`.
pub(crate) async fn datagrams(
    socket: Rc<UdpSocket>, arrived: Arrivals, longest: usize, counters: Rc<Counters>,
) {
    let mut buffer = vec![0; longest + 1];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, SocketAddr::V4(from))) if length <= longest => {
                counters.count(|stats| stats.datagrams_received += 1);
                let bytes = buffer[..length].to_vec();
                match arrived.try_send(ReceivedMessage {
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
                sleep(REST).await;
            }
        }
    }
}

/// Takes in streams from others.
pub(crate) struct Door {
    listener: TcpListener,
    arrived: Arrivals,
    limits: TransportLimits,
}

impl Door {
    pub(crate) fn new(listener: TcpListener, arrived: Arrivals, limits: TransportLimits) -> Self {
        Self { listener, arrived, limits }
    }

    /// Ends, with all its streams, when it is dropped.
    pub(crate) async fn run(self) {
        let reading = Arc::new(Semaphore::new(self.limits.max_reading_bytes));
        let mut streams = JoinSet::new();
        loop {
            while streams.len() >= self.limits.max_incoming_streams {
                streams.join_next().await;
            }
            while streams.try_join_next().is_some() {}
            match self.listener.accept().await {
                Ok((stream, SocketAddr::V4(from))) => {
                    let arrived = self.arrived.clone();
                    streams.spawn_local(read_frames(
                        stream,
                        *from.ip(),
                        arrived,
                        reading.clone(),
                        self.limits,
                    ));
                }
                Ok(_) => {}
                Err(error) => {
                    log::warn!(target: LOG_TARGET, "streams: {error}");
                    sleep(REST).await;
                }
            }
        }
    }
}

/// Hands on a stream's messages until it ends, errs or dawdles; a message cut off is dropped. Over any stream, so
/// that what it reads can be played without a socket.
pub async fn read_frames(
    stream: impl AsyncRead + Unpin, from: Ipv4Addr, arrived: Arrivals, reading: Arc<Semaphore>,
    limits: TransportLimits,
) {
    let mut stream = BufReader::with_capacity(READ_BYTES, stream);
    loop {
        // A peer that lost power says nothing; its stream must not stay for ever.
        let Ok(Ok(length)) = timeout(limits.idle_timeout * 2, stream.read_u32()).await else { return };
        let length = length as usize;
        if length > limits.max_message_bytes {
            log::warn!(target: LOG_TARGET, "stream from {from} closed: message of {length} bytes");
            return;
        }
        let permits = length.min(limits.max_reading_bytes) as u32;
        let frame = async {
            let _permit = reading.acquire_many(permits).await.ok()?;
            let mut bytes = Vec::new();
            // Grows with what arrives: a length that is a lie costs no memory.
            let read = (&mut stream).take(length as u64).read_to_end(&mut bytes).await.ok()?;
            (read == length).then_some(bytes)
        };
        let bound = limits.frame_timeout + Duration::from_micros(length as u64 * BYTE_MICROS);
        let Ok(Some(bytes)) = timeout(bound, frame).await else { return };
        if arrived.send(ReceivedMessage { from, bytes, carrier: Carrier::Stream }).await.is_err() {
            return;
        }
    }
}
