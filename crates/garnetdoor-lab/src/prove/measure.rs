//! Measuring: what a relay costs beside a straight way, what a session holds.

use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use tungstenite::Message;

use crate::record::Record;
use crate::stand::client::{Ask, Opened, Session, open};

/// Opens a session, or says why none came.
pub fn session(to: SocketAddr, ask: &Ask, record: &Record) -> io::Result<Session> {
    match open(to, ask, record) {
        Opened::Session(session) => Ok(*session),
        Opened::Refused(status, _) => Err(io::Error::other(format!("an upgrade was answered {status}"))),
        Opened::Nothing => Err(io::Error::other("an upgrade was not answered")),
    }
}

/// Bytes a second of messages of `size` that go to the box and back, several under way, for about `span`.
pub fn throughput(to: SocketAddr, size: usize, span: Duration) -> io::Result<f64> {
    let mut session = session(to, &Ask::view(""), &Record::default())?;
    // As many under way as fill the way and fit into what sockets hold.
    let ahead = (256 * 1024 / size).clamp(1, 256);
    // One frame as a client sends it, with a mask of nothing, so that no time goes into masking here.
    let frame = masked(size);
    let burst: Vec<u8> = frame.iter().copied().cycle().take(frame.len() * ahead).collect();
    let stream = session.socket.get_mut();
    let back = (frame.len() - 4) * ahead;
    let mut room = vec![0; 256 * 1024];
    let began = Instant::now();
    let mut moved = 0;
    while began.elapsed() < span {
        let mut writer = stream.try_clone()?;
        let sends = burst.as_slice();
        std::thread::scope(|scope| -> io::Result<()> {
            let written = scope.spawn(move || writer.write_all(sends));
            let mut left = back;
            while left > 0 {
                let count = stream.read(&mut room[..left.min(256 * 1024)])?;
                if count == 0 {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
                left -= count;
            }
            written.join().unwrap_or_else(|_| Err(io::Error::other("a writer failed")))
        })?;
        moved += size * ahead;
    }
    Ok(moved as f64 / began.elapsed().as_secs_f64())
}

/// A binary message of a client in one frame, masked with zeros.
fn masked(size: usize) -> Vec<u8> {
    let mut frame = vec![0x82];
    match size {
        ..126 => frame.push(0x80 | size as u8),
        126..0x1_0000 => {
            frame.push(0x80 | 126);
            frame.extend((size as u16).to_be_bytes());
        }
        _ => {
            frame.push(0x80 | 127);
            frame.extend((size as u64).to_be_bytes());
        }
    }
    frame.extend([0; 4]);
    frame.resize(frame.len() + size, 5);
    frame
}

/// Round trips of small messages, one after another: microseconds.
pub fn round_trips(to: SocketAddr, count: usize) -> io::Result<Histogram<u64>> {
    let mut session = session(to, &Ask::view(""), &Record::default())?;
    let mut times = Histogram::new(3).map_err(io::Error::other)?;
    for number in 0..count {
        let began = Instant::now();
        if !session.echo(&number.to_string()) {
            return Err(io::Error::other("a session ended while it was measured"));
        }
        times.record(began.elapsed().as_micros().max(1) as u64).map_err(io::Error::other)?;
    }
    session.close();
    Ok(times)
}

/// Opens so many sessions, each with one message through it, and leaves them open.
pub fn idle_sessions(to: SocketAddr, count: usize) -> io::Result<Vec<Session>> {
    let record = Record::default();
    let one = |_| {
        let mut session = session(to, &Ask::view(""), &record)?;
        session.socket.send(Message::text("here")).map_err(io::Error::other)?;
        session.hear().ok_or_else(|| io::Error::other("no echo"))?;
        Ok(session)
    };
    (0..count).map(one).collect()
}
