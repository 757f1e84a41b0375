//! Guests: clients that open sessions and ask tickets.

use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use tungstenite::protocol::{Role, WebSocketConfig};
use tungstenite::{Message, WebSocket};

use super::{Read1, message};
use crate::record::{Record, Saw};

static IDS: AtomicU64 = AtomicU64::new(1);

/// How long a client waits for anything before it takes it for lost.
const PATIENCE: Duration = Duration::from_secs(12);

/// What a guest asks for.
#[derive(Clone, Debug)]
pub struct Ask {
    pub path: String,
    /// Empty: none.
    pub key: String,
    /// The opening may run once only.
    pub once: bool,
    pub deadline_ms: u64,
    /// Further header lines, each whole.
    pub more: String,
    /// Frames that follow the request at once, before any answer.
    pub behind: Vec<u8>,
}

impl Ask {
    pub fn view(key: &str) -> Self {
        let (path, key) = ("/view-album/7".to_owned(), key.to_owned());
        Ask { path, key, once: false, deadline_ms: 2_000, more: String::new(), behind: Vec::new() }
    }
}

/// What came of an upgrade.
pub enum Opened {
    Session(Box<Session>),
    /// The final answer's status, and the time to come back if it names one.
    Refused(u16, Option<Duration>),
    /// The connection ended, or nothing came.
    Nothing,
}

/// A session at its client.
pub struct Session {
    pub id: u64,
    pub socket: WebSocket<TcpStream>,
    record: Record,
    told: bool,
}

/// The next number for a client's id.
pub fn next_id() -> u64 {
    IDS.fetch_add(1, Ordering::Relaxed)
}

/// The text of an upgrade.
pub fn upgrade_text(ask: &Ask, id: u64) -> String {
    let key = if ask.key.is_empty() { String::new() } else { format!("Session-Key: {}\r\n", ask.key) };
    format!(
        "GET {} HTTP/1.1\r\nHost: album.example.org\r\nReq-Id: u{id}\r\nReq-Deadline-Ms: {}\r\n{key}\
         Upgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Version: 13\r\n\
         Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n{}\r\n",
        ask.path, ask.deadline_ms, ask.more
    )
}

/// Opens a session through a gateway, or straight to a box, and notes what was asked and answered.
pub fn open(to: SocketAddr, ask: &Ask, record: &Record) -> Opened {
    let id = next_id();
    record.saw(Saw::Asked { id, key: ask.key.clone(), once: ask.once });
    match try_open(to, ask, id) {
        Ok((answer, stream, rest)) => {
            let wait =
                answer.line("retry-after").and_then(|text| text.parse().ok()).map(Duration::from_secs_f64);
            record.saw(Saw::Answered { id, status: answer.status(), advised: wait.is_some() });
            if answer.status() != 101 {
                return Opened::Refused(answer.status(), wait);
            }
            let config = WebSocketConfig::default().max_message_size(None).max_frame_size(None);
            let socket = WebSocket::from_partially_read(stream, rest, Role::Client, Some(config));
            Opened::Session(Box::new(Session { id, socket, record: record.clone(), told: false }))
        }
        Err(_) => {
            record.saw(Saw::Answered { id, status: 0, advised: false });
            Opened::Nothing
        }
    }
}

fn try_open(to: SocketAddr, ask: &Ask, id: u64) -> io::Result<(Read1, TcpStream, Vec<u8>)> {
    let mut stream = TcpStream::connect_timeout(&to, PATIENCE)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(PATIENCE))?;
    stream.write_all(&[upgrade_text(ask, id).as_bytes(), &ask.behind].concat())?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let answer = message(&mut reader).ok_or(io::ErrorKind::UnexpectedEof)?;
    let rest = reader.buffer().to_vec();
    Ok((answer, stream, rest))
}

impl Session {
    /// Sends a text and waits for its echo; photos that come between are passed over. False once it has ended.
    pub fn echo(&mut self, text: &str) -> bool {
        if self.socket.send(Message::text(text)).is_err() {
            self.read_until_end();
            return false;
        }
        loop {
            match self.hear() {
                Some(Message::Text(back)) if back.as_str() == text => return true,
                Some(_) => {}
                None => return false,
            }
        }
    }

    /// The next message; `None` once the session has ended or nothing came for long.
    pub fn hear(&mut self) -> Option<Message> {
        loop {
            match self.socket.read() {
                Ok(Message::Close(frame)) => {
                    let _ = self.socket.flush();
                    self.ended(Some(frame.map_or(1005, |frame| frame.code.into())));
                    return None;
                }
                Ok(Message::Ping(_) | Message::Pong(_)) => {}
                Ok(message) => return Some(message),
                Err(_) => {
                    self.ended(None);
                    return None;
                }
            }
        }
    }

    fn read_until_end(&mut self) {
        while self.hear().is_some() {}
    }

    /// The code that it ended with, or `None`: reads on until it has.
    pub fn end(&mut self) -> Option<u16> {
        let until = Instant::now() + PATIENCE;
        loop {
            match self.socket.read() {
                // Pings go on for as long as a session stands.
                Ok(_) if Instant::now() > until => return None,
                Ok(Message::Close(frame)) => {
                    let _ = self.socket.flush();
                    let code = frame.map_or(1005, |frame| frame.code.into());
                    self.ended(Some(code));
                    return Some(code);
                }
                Ok(_) => {}
                Err(_) => {
                    self.ended(None);
                    return None;
                }
            }
        }
    }

    /// Closes as a client should, and waits for the end.
    pub fn close(mut self) {
        let _ = self.socket.close(None);
        self.end();
    }

    pub fn set_patience(&self, patience: Duration) {
        let _ = self.socket.get_ref().set_read_timeout(Some(patience));
    }

    fn ended(&mut self, code: Option<u16>) {
        if !std::mem::replace(&mut self.told, true) {
            self.record.saw(Saw::ClientEnd { id: self.id, code });
        }
    }
}

/// Asks an ordinary ticket; returns the answer's status, 0 for none.
pub fn ticket(to: SocketAddr, method: &str, path: &str) -> u16 {
    let length = if method == "POST" { "Content-Length: 0\r\n" } else { "" };
    let id = next_id();
    status(to, &format!("{method} {path} HTTP/1.1\r\nReq-Id: u{id}\r\nReq-Deadline-Ms: 1000\r\n{length}\r\n"))
}

/// The status of the daemon's health, 0 for none.
pub fn health(at: SocketAddr) -> u16 {
    status(at, "GET /_health HTTP/1.1\r\nConnection: close\r\n\r\n")
}

/// Sends a message on a connection of its own; the status of the answer, 0 for none.
fn status(to: SocketAddr, text: &str) -> u16 {
    let ask = || -> io::Result<u16> {
        let mut stream = TcpStream::connect_timeout(&to, PATIENCE)?;
        stream.set_read_timeout(Some(PATIENCE))?;
        stream.write_all(text.as_bytes())?;
        Ok(message(&mut BufReader::new(stream)).map_or(0, |answer| answer.status()))
    };
    ask().unwrap_or(0)
}
