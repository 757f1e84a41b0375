//! Stand-ins, written here from the pages on the protocol and from RFC 6455: the list service, the platform, album
//! boxes, and clients. Each listens on loopback at a port of its own and ends with its process.

pub mod album;
pub mod client;
pub mod list;
pub mod platform;

use std::io::{self, BufRead};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

/// Stacks of stand-ins' threads: there are thousands, and none calls deep.
const STACK: usize = 128 * 1024;

/// Takes connections in a thread and hands each to `serve` in one of its own.
pub fn listen(serve: impl Fn(TcpStream) + Clone + Send + 'static) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    spawn(move || {
        for stream in listener.incoming() {
            match stream {
                Ok(stream) => {
                    let serve = serve.clone();
                    spawn(move || {
                        let _ = stream.set_nodelay(true);
                        serve(stream);
                    });
                }
                Err(_) => thread::sleep(Duration::from_millis(5)),
            }
        }
    });
    Ok(address)
}

/// A thread with a small stack. Without one a stand-in can't go on.
pub fn spawn(run: impl FnOnce() + Send + 'static) -> thread::JoinHandle<()> {
    thread::Builder::new().stack_size(STACK).spawn(run).expect("the machine has a thread left")
}

/// A message's head and body as a stand-in reads them.
#[derive(Debug, Default)]
pub struct Read1 {
    pub first: String,
    pub lines: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Read1 {
    pub fn line(&self, name: &str) -> Option<&str> {
        self.lines.iter().find(|(other, _)| other.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    /// The status of an answer, 0 if it is none.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }
}

/// Reads one message by its length; `None` at the connection's end or where it can't be read.
pub fn message(from: &mut impl BufRead) -> Option<Read1> {
    let mut read = Read1::default();
    if from.read_line(&mut read.first).ok()? == 0 {
        return None;
    }
    read.first = read.first.trim_end().to_owned();
    loop {
        let mut line = String::new();
        if from.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        read.lines.push((name.to_owned(), value.trim().to_owned()));
    }
    let length = read.line("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    read.body = vec![0; length];
    from.read_exact(&mut read.body).ok()?;
    Some(read)
}
