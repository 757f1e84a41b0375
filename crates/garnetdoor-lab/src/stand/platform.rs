//! The platform: takes votes, tells the newest build's state to whoever asked for notices.

use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::{listen, message, spawn};
use crate::record::{Record, Saw};

/// The state of the newest build, in the platform's words.
#[derive(Clone, Debug, PartialEq)]
pub struct News {
    pub build: u32,
    pub stage: usize,
    pub progress: &'static str,
    pub cap: f64,
}

struct State {
    news: News,
    since: Instant,
    readers: Vec<TcpStream>,
    votes: Vec<(u32, usize, String)>,
}

/// The stand-in. Copies are the same one.
#[derive(Clone)]
pub struct Platform {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    record: Record,
}

impl Platform {
    pub fn start(news: News, record: Record) -> io::Result<Self> {
        let state = State { news, since: Instant::now(), readers: Vec::new(), votes: Vec::new() };
        let state = Arc::new(Mutex::new(state));
        let inner = state.clone();
        let address = listen(move |stream| serve(stream, &inner))?;
        let beats = state.clone();
        spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(950));
                tell(&mut beats.lock().unwrap_or_else(PoisonError::into_inner), ":\n\n");
            }
        });
        Ok(Platform { address, state, record })
    }

    /// The newest build's state from now on, told to all readers.
    pub fn set(&self, news: News) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let cap = if news.progress == "Healthy" { 1.0 } else { news.cap };
        let build = news.build;
        (state.news, state.since) = (news, Instant::now());
        state.votes.clear();
        let event = event(&state);
        tell(&mut state, &event);
        self.record.saw(Saw::Told { build, cap });
    }

    pub fn news(&self) -> News {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).news.clone()
    }

    /// The last vote on the newest build in its stage, if there is one.
    pub fn vote(&self) -> Option<String> {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let of = |vote: &&(u32, usize, String)| (vote.0, vote.1) == (state.news.build, state.news.stage);
        state.votes.iter().rev().find(of).map(|(.., opinion)| opinion.clone())
    }

    /// The state as `rollouts.news` of a configuration has it.
    pub fn known(&self) -> Value {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let News { build, stage, progress, cap } = &state.news;
        json!({"image": build, "ring": stage, "progress": progress, "ceiling": cap,
            "lag_ms": state.since.elapsed().as_millis() as u64})
    }
}

fn event(state: &State) -> String {
    let News { build, stage, progress, cap } = &state.news;
    let lag = state.since.elapsed().as_millis();
    format!(
        "event: news\ndata: image={build}&ring={stage}&progress={progress}&ceiling={cap}&lag_ms={lag}\n\n"
    )
}

fn tell(state: &mut State, text: &str) {
    let chunk = format!("{:x}\r\n{text}\r\n", text.len());
    state.readers.retain_mut(|reader| reader.write_all(chunk.as_bytes()).is_ok());
}

fn serve(mut stream: TcpStream, state: &Mutex<State>) {
    let Ok(copy) = stream.try_clone() else { return };
    let mut reader = BufReader::new(copy);
    while let Some(call) = message(&mut reader) {
        let mut state = state.lock().unwrap_or_else(PoisonError::into_inner);
        if call.first.starts_with("GET /notices") {
            let head =
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
            let _ = stream.write_all(head.as_bytes());
            let text = event(&state);
            let _ = stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes());
            state.readers.extend(stream.try_clone());
            drop(state);
            let _ = io::copy(&mut reader, &mut io::sink());
            return;
        }
        let form = String::from_utf8_lossy(&call.body).into_owned();
        let field = |name: &str| form.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
        let number = |name: &str| field(name).and_then(|text| text.parse::<u32>().ok());
        let moot =
            number("image") != Some(state.news.build) || number("ring") != Some(state.news.stage as u32);
        let (status, text) = if moot {
            ("400 Bad Request", "<Error><Code>moot</Code></Error>".to_owned())
        } else {
            let (build, stage) = (state.news.build, state.news.stage);
            state.votes.push((build, stage, field("opinion").unwrap_or_default().to_owned()));
            let News { progress, cap, .. } = &state.news;
            let lag = state.since.elapsed().as_millis();
            (
                "200 OK",
                format!(
                    "<Response><entries><item><image>{build}</image><ring>{stage}</ring>\
                <progress>{progress}</progress><ceiling>{cap}</ceiling><lag_ms>{lag}</lag_ms></item></entries></Response>"
                ),
            )
        };
        let head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n", text.len());
        let _ = stream.write_all(format!("{head}{text}").as_bytes());
    }
}
