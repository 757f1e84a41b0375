//! The platform: votes as forms, answers in XML, and its stream of events.

use std::net::SocketAddr;

use garnetdoor::host::{BuildNo, Micros, RolloutPhase, RolloutStatus, StageNo, Vote, VoteResult};
use garnetdoor::names::value_of_name;
use quick_xml::Reader;
use quick_xml::events::Event;

use super::http::Message;

/// The words for `Vote::ALL` and for `RolloutPhase::ALL`.
const OPINIONS: [&str; 4] = ["abstain", "promote", "pause", "abort"];
const PHASES: [&str; 4] = ["Progressing", "Aborting", "Healthy", "Aborted"];

/// The call that casts a vote.
pub fn vote(platform: SocketAddr, build: BuildNo, stage: StageNo, vote: Vote) -> Vec<u8> {
    let opinion = Vote::ALL.iter().position(|other| *other == vote).map_or("", |number| OPINIONS[number]);
    let body = format!("Action=CastVote&image={}&ring={}&opinion={opinion}", build.0, stage.0);
    let kind = "application/x-www-form-urlencoded";
    let length = body.len();
    let head = format!("POST / HTTP/1.1\r\nHost: {platform}\r\nContent-Type: {kind}\r\n");
    format!("{head}Content-Length: {length}\r\n\r\n{body}").into_bytes()
}

/// The call for the stream of events.
pub fn notices(platform: SocketAddr) -> Vec<u8> {
    format!("GET /notices HTTP/1.1\r\nHost: {platform}\r\nAccept: text/event-stream\r\n\r\n").into_bytes()
}

/// How a vote was taken, and the state told with it.
pub fn taken(answer: &Message) -> (VoteResult, Option<RolloutStatus>) {
    let Some(fields) = leaves(&answer.body) else { return (VoteResult::Unknown, None) };
    let field = |name: &str| fields.iter().find(|(field, _)| field == name).map(|(_, text)| text.as_str());
    match (answer.status, field("Code")) {
        (200, None) => match news(field) {
            Some(news) => (VoteResult::Counted, Some(news)),
            None => (VoteResult::Unknown, None),
        },
        (400, Some("limit")) => (VoteResult::Full, None),
        (400, Some("moot")) => (VoteResult::Moot, None),
        (400 | 500, Some("error" | "malformed")) => (VoteResult::Error, None),
        _ => (VoteResult::Unknown, None),
    }
}

/// The innermost elements of a document with their texts; `None` where it is not well formed.
fn leaves(text: &[u8]) -> Option<Vec<(String, String)>> {
    let mut reader = Reader::from_str(str::from_utf8(text).ok()?);
    let (mut found, mut inside, mut depth) = (Vec::new(), String::new(), 0);
    loop {
        match reader.read_event().ok()? {
            Event::Start(_) => {
                depth += 1;
                inside.clear();
            }
            Event::Text(part) => inside.push_str(part.trim()),
            Event::End(end) => {
                depth -= 1;
                let name = end.name().as_ref().to_owned();
                if !inside.is_empty() {
                    found.push((name, std::mem::take(&mut inside)));
                }
            }
            Event::Eof => return (depth == 0 && !found.is_empty()).then_some(found),
            _ => {}
        }
    }
}

/// The state of the newest build from its fields, whatever holds them.
pub fn news<'a>(field: impl Fn(&str) -> Option<&'a str>) -> Option<RolloutStatus> {
    let phase = value_of_name(RolloutPhase::ALL, PHASES, field("progress")?)?;
    let cap: f64 = field("ceiling")?.parse().ok()?;
    let lag: f64 = field("lag_ms")?.parse().ok()?;
    Some(RolloutStatus {
        build: BuildNo(field("image")?.parse().ok()?),
        stage: StageNo(field("ring")?.parse().ok()?),
        phase,
        exposure_cap: (0.0..=1.0).contains(&cap).then_some(cap)?,
        age: (0.0..9e12).contains(&lag).then_some((lag * 1_000.0) as Micros)?,
    })
}

/// One thing told unasked.
pub enum Notice {
    News(RolloutStatus),
    /// A sign of life.
    Life,
    /// Of a kind that is not known here.
    Other(String),
    /// What can't be read.
    Noise(String),
}

/// Takes the whole events out of a stream's text, leaving what is not whole yet.
pub fn told(text: &mut Vec<u8>) -> Vec<Notice> {
    text.retain(|byte| *byte != b'\r');
    let mut notices = Vec::new();
    while let Some(end) = text.windows(2).position(|pair| pair == b"\n\n") {
        let event = String::from_utf8_lossy(&text[..end]).into_owned();
        text.drain(..end + 2);
        let part = |name: &str| event.lines().find_map(|line| line.strip_prefix(name)).map(str::trim);
        let pairs: Vec<_> =
            part("data:").unwrap_or_default().split('&').filter_map(|pair| pair.split_once('=')).collect();
        let read = news(|name| pairs.iter().find(|(field, _)| *field == name).map(|(_, value)| *value));
        let word = |name: &str| !name.is_empty() && name.bytes().all(|b| b.is_ascii_lowercase());
        notices.push(match (part("event:"), read) {
            (Some("news"), Some(news)) => Notice::News(news),
            (None, _) if event.lines().all(|line| line.starts_with(':')) => Notice::Life,
            (Some(name), _) if name != "news" && word(name) => Notice::Other(event),
            _ => Notice::Noise(event),
        });
    }
    notices
}
