//! The list service: the whole list, and watches of its changes.

use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use serde_json::{Value, json};

use super::{listen, message, spawn};
use crate::record::{Record, Saw};

/// Signs of life come this often; the page says 2 s.
const LIFE: Duration = Duration::from_millis(1_900);

/// One server as the list has it.
#[derive(Clone, Debug)]
pub struct Entry {
    pub server: usize,
    pub address: SocketAddr,
    pub build: u32,
    pub state: &'static str,
    pub zone: &'static str,
    /// Unix time in milliseconds, or 0 for long ago.
    pub started: u64,
}

impl Entry {
    fn json(&self) -> Value {
        json!({"uid": format!("s-{}", self.server), "endpoint": self.address.to_string(), "az": self.zone,
            "model": "std", "pod_group": 0, "state": self.state, "capacity_hint": 1.0, "boot_ms": self.started,
            "image_id": self.build})
    }
}

#[derive(Default)]
struct State {
    version: u64,
    entries: Vec<Entry>,
    watches: Vec<TcpStream>,
    down: bool,
}

/// The stand-in. Copies are the same one.
#[derive(Clone)]
pub struct List {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    record: Record,
}

fn chunk(text: &str) -> Vec<u8> {
    format!("{:x}\r\n{text}\r\n", text.len()).into_bytes()
}

impl List {
    pub fn start(entries: Vec<Entry>, record: Record) -> io::Result<Self> {
        let state = Arc::new(Mutex::new(State { version: 1, entries, ..State::default() }));
        let inner = state.clone();
        let address = listen(move |stream| serve(stream, &inner))?;
        let list = List { address, state, record };
        let beats = list.state.clone();
        spawn(move || {
            loop {
                thread::sleep(LIFE);
                tell(&mut beats.lock().unwrap_or_else(PoisonError::into_inner), "\n");
            }
        });
        Ok(list)
    }

    /// The list as `known` of a configuration has it.
    pub fn known(&self) -> Value {
        whole(&self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Changes entries and tells it; servers that are new are added.
    pub fn change(&self, entries: &[Entry]) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.version += 1;
        for entry in entries {
            state.entries.retain(|other| other.server != entry.server);
            if entry.state != "removed" {
                state.entries.push(entry.clone());
            }
        }
        let targets: Vec<_> = entries.iter().map(Entry::json).collect();
        let line = json!({"rev": state.version, "all": false, "targets": targets});
        tell(&mut state, &format!("{line}\n"));
        for entry in entries.iter().filter(|_| !state.down) {
            self.record.saw(Saw::Listed { server: entry.server, state: entry.state });
        }
    }

    /// Stops to answer, with all watches cut, or answers again.
    pub fn set_down(&self, down: bool) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.down = down;
        if down {
            for watch in state.watches.drain(..) {
                let _ = watch.shutdown(std::net::Shutdown::Both);
            }
        }
    }
}

fn whole(state: &State) -> Value {
    let targets: Vec<_> = state.entries.iter().map(Entry::json).collect();
    json!({"rev": state.version, "all": true, "targets": targets})
}

fn tell(state: &mut State, line: &str) {
    state.watches.retain_mut(|watch| watch.write_all(&chunk(line)).is_ok());
}

fn serve(mut stream: TcpStream, state: &Mutex<State>) {
    let Ok(copy) = stream.try_clone() else { return };
    let mut reader = BufReader::new(copy);
    while let Some(call) = message(&mut reader) {
        let mut state = state.lock().unwrap_or_else(PoisonError::into_inner);
        if state.down {
            let _ = stream.write_all(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
            continue;
        }
        let list = whole(&state);
        if call.first.contains("watch=1") {
            let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            let _ = stream.write_all(&[head.as_slice(), &chunk(&format!("{list}\n"))].concat());
            state.watches.extend(stream.try_clone());
            drop(state);
            // A watch takes no further call; its connection ends with the other side.
            let _ = io::copy(&mut reader, &mut io::sink());
            return;
        }
        let text = list.to_string();
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", text.len());
        let _ = stream.write_all(format!("{head}{text}").as_bytes());
    }
}
