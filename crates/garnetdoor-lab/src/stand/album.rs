//! Album boxes: they answer tickets and speak WebSocket, well or badly as they are told.

use std::collections::BTreeMap;
use std::io::{self, BufReader, Cursor, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use tungstenite::handshake::derive_accept_key;
use tungstenite::protocol::{CloseFrame, Role, WebSocketConfig};
use tungstenite::{Message, WebSocket};

use super::{Read1, listen, message};
use crate::record::{Record, Saw};

/// How a box treats its sessions and tickets.
#[derive(Clone, Debug, PartialEq)]
pub enum Temper {
    /// Sends back what comes.
    Echo,
    /// Sends photos of this size this often, and echoes.
    Slideshow(usize, Duration),
    /// Breaks each session off after this long.
    Breaks(Duration),
    /// Closes each session with 1011 after this long.
    Errs(Duration),
    /// Answers upgrades with a head of this text instead of its own.
    Lies(String),
    /// Takes upgrades and answers nothing.
    Silent,
    /// Sends these bytes right behind its 101, in the same write, and then echoes.
    Glues(Vec<u8>),
    /// Sends raw bytes a little later and then only reads.
    Raw(Vec<u8>),
    /// Opens sessions and says nothing more, not even to pings, as one does whose machine is cut off.
    Mute,
    /// Answers tickets with this status.
    Fails(u16),
}

struct State {
    temper: Temper,
    /// How long a ticket or an upgrade takes.
    takes: Duration,
    sessions: BTreeMap<u64, TcpStream>,
}

/// The stand-in. Copies are the same one.
#[derive(Clone)]
pub struct Album {
    pub server: usize,
    pub build: u32,
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

static SESSIONS: AtomicU64 = AtomicU64::new(0);

impl Album {
    pub fn start(server: usize, build: u32, temper: Temper, record: Record) -> io::Result<Self> {
        let takes = Duration::from_millis(2);
        let state = Arc::new(Mutex::new(State { temper, takes, sessions: BTreeMap::new() }));
        let inner = state.clone();
        let address = listen(move |stream| {
            let _ = serve(stream, server, build, &inner, &record);
        })?;
        Ok(Album { server, build, address, state })
    }

    pub fn set(&self, temper: Temper) {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).temper = temper;
    }

    pub fn set_takes(&self, takes: Duration) {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).takes = takes;
    }

    /// Sessions that stand.
    pub fn standing(&self) -> usize {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).sessions.len()
    }

    /// Dies with all its sessions: their connections are reset or end. New ones are still taken.
    pub fn cut_sessions(&self) {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.sessions.values().for_each(|stream| drop(stream.shutdown(Shutdown::Both)));
    }
}

fn serve(
    stream: TcpStream, server: usize, build: u32, state: &Mutex<State>, record: &Record,
) -> io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut writer = stream;
    while let Some(call) = message(&mut reader) {
        let (temper, takes) = {
            let state = state.lock().unwrap_or_else(PoisonError::into_inner);
            (state.temper.clone(), state.takes)
        };
        if call.line("upgrade").is_some() {
            let rest = reader.buffer().to_vec();
            return session(writer, rest, &call, temper, takes, Place { server, build, state, record });
        }
        thread::sleep(takes);
        let status = if let Temper::Fails(status) = temper { status } else { 200 };
        let text = format!("{} by {server}", call.first);
        let head = format!("HTTP/1.1 {status} Answer\r\nContent-Length: {}\r\n\r\n", text.len());
        writer.write_all(format!("{head}{text}").as_bytes())?;
    }
    Ok(())
}

struct Place<'a> {
    server: usize,
    build: u32,
    state: &'a Mutex<State>,
    record: &'a Record,
}

/// The number in a client's id, `u` and digits.
fn number(call: &Read1) -> u64 {
    call.line("req-id").and_then(|id| id.trim_start_matches('u').parse().ok()).unwrap_or(u64::MAX)
}

/// What has come with the upgrade, then the connection.
type Joined = tungstenite::protocol::WebSocket<Chained>;

struct Chained {
    first: Cursor<Vec<u8>>,
    stream: TcpStream,
}

impl Read for Chained {
    fn read(&mut self, room: &mut [u8]) -> io::Result<usize> {
        let count = self.first.read(room)?;
        if count > 0 { Ok(count) } else { self.stream.read(room) }
    }
}

impl Write for Chained {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.stream.write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        self.stream.flush()
    }
}

fn session(
    mut stream: TcpStream, rest: Vec<u8>, call: &Read1, temper: Temper, takes: Duration, place: Place,
) -> io::Result<()> {
    let Place { server, build, state, record } = place;
    let id = number(call);
    record.saw(Saw::Trip { id, server, build });
    thread::sleep(takes);
    let accept = derive_accept_key(call.line("sec-websocket-key").unwrap_or_default().as_bytes());
    let protocol = call.line("sec-websocket-protocol").and_then(|all| all.split(',').next());
    let protocol = protocol.map(|one| format!("Sec-WebSocket-Protocol: {one}\r\n")).unwrap_or_default();
    let head = format!(
        "HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n\
         Sec-WebSocket-Accept: {accept}\r\n{protocol}\r\n"
    );
    match &temper {
        Temper::Silent => {
            // Until the other side gives up.
            io::copy(&mut stream, &mut io::sink())?;
            return Ok(());
        }
        Temper::Lies(head) => {
            stream.write_all(head.replace("ACCEPT", &accept).as_bytes())?;
            io::copy(&mut stream, &mut io::sink())?;
            return Ok(());
        }
        Temper::Fails(status) => {
            return stream.write_all(format!("HTTP/1.1 {status} No\r\nContent-Length: 0\r\n\r\n").as_bytes());
        }
        _ => {}
    }
    let own = SESSIONS.fetch_add(1, Ordering::Relaxed);
    let key = call.line("session-key").unwrap_or_default().to_owned();
    state.lock().unwrap_or_else(PoisonError::into_inner).sessions.insert(own, stream.try_clone()?);
    // Before its 101 goes out: the gateway may count it from there.
    record.saw(Saw::Open { id, server, build, key });
    let glued = if let Temper::Glues(bytes) = &temper { bytes.clone() } else { Vec::new() };
    let written = stream.write_all(&[head.as_bytes(), &glued].concat());
    let code = if written.is_ok() { talk(stream, rest, &temper) } else { None };
    record.saw(Saw::Shut { id, server, build, code });
    state.lock().unwrap_or_else(PoisonError::into_inner).sessions.remove(&own);
    Ok(())
}

/// Speaks until the session ends; returns the code of the close that came.
fn talk(stream: TcpStream, rest: Vec<u8>, temper: &Temper) -> Option<u16> {
    let photo = match temper {
        Temper::Slideshow(size, every) => Some((Message::binary(vec![7; *size]), *every)),
        _ => None,
    };
    let wait = match temper {
        Temper::Breaks(after) | Temper::Errs(after) => Some(*after),
        Temper::Slideshow(_, every) => Some(*every),
        _ => None,
    };
    if *temper == Temper::Mute {
        let mut stream = stream;
        let _ = io::copy(&mut stream, &mut io::sink());
        return None;
    }
    if let Temper::Raw(bytes) = temper {
        let mut stream = stream;
        thread::sleep(Duration::from_millis(50));
        stream.write_all(bytes).ok()?;
        // What it is told shows in its close.
        return read_close(stream, rest);
    }
    stream.set_read_timeout(wait).ok()?;
    let config = WebSocketConfig::default().max_message_size(None).max_frame_size(None);
    let chained = Chained { first: Cursor::new(rest), stream };
    let mut socket: Joined = WebSocket::from_raw_socket(chained, Role::Server, Some(config));
    loop {
        match socket.read() {
            Ok(Message::Close(frame)) => {
                let _ = socket.flush();
                return Some(frame.map_or(1005, |frame| frame.code.into()));
            }
            Ok(message @ (Message::Text(_) | Message::Binary(_))) => {
                if socket.send(message).is_err() {
                    return None;
                }
            }
            Ok(_) => {}
            Err(tungstenite::Error::Io(error)) if is_timeout(&error) => match (temper, &photo) {
                (Temper::Breaks(_), _) => return None,
                (Temper::Errs(_), _) => {
                    let _ = socket.close(Some(CloseFrame { code: 1011.into(), reason: "".into() }));
                }
                (_, Some((photo, _))) if socket.send(photo.clone()).is_err() => return None,
                _ => {}
            },
            Err(_) => return None,
        }
    }
}

fn read_close(stream: TcpStream, rest: Vec<u8>) -> Option<u16> {
    let chained = Chained { first: Cursor::new(rest), stream };
    let mut socket: Joined = WebSocket::from_raw_socket(chained, Role::Server, None);
    loop {
        match socket.read() {
            Ok(Message::Close(frame)) => return Some(frame.map_or(1005, |frame| frame.code.into())),
            Ok(_) => {}
            Err(_) => return None,
        }
    }
}

/// Whether an error is a read that took too long.
pub fn is_timeout(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut)
}
