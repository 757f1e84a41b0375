//! The platform that runs the roll-outs: votes are sent as forms and answered in XML; its state comes by a
//! stream of events.

use std::net::SocketAddr;

use garnetdoor::host::{BuildNo, Micros, RolloutPhase, RolloutStatus, StageNo, Vote, VoteResult};
use garnetdoor::names::value_of_name;
use quick_xml::Reader;
use quick_xml::events::Event;

use super::http::Message;

/// The protocol's names for `Vote::ALL`, in the same order.
const OPINIONS: [&str; 4] = ["abstain", "promote", "pause", "abort"];
/// The protocol's names for `RolloutPhase::ALL`, in the same order.
const PHASES: [&str; 4] = ["Progressing", "Aborting", "Healthy", "Aborted"];

/// Upper bound, in milliseconds, of the age of a state that is accepted.
const STATE_AGE_LIMIT_MS: f64 = 9e12;
const MICROS_PER_MS: f64 = 1_000.0;

/// The request that casts a vote.
pub fn vote_request(platform: SocketAddr, build: BuildNo, stage: StageNo, vote: Vote) -> Vec<u8> {
    let opinion = Vote::ALL.iter().position(|other| *other == vote).map_or("", |index| OPINIONS[index]);
    let body = format!("Action=CastVote&image={}&ring={}&opinion={opinion}", build.0, stage.0);
    let content_type = "application/x-www-form-urlencoded";
    let length = body.len();
    let head = format!("POST / HTTP/1.1\r\nHost: {platform}\r\nContent-Type: {content_type}\r\n");
    format!("{head}Content-Length: {length}\r\n\r\n{body}").into_bytes()
}

/// The request for the stream of events.
pub fn event_stream_request(platform: SocketAddr) -> Vec<u8> {
    format!("GET /notices HTTP/1.1\r\nHost: {platform}\r\nAccept: text/event-stream\r\n\r\n").into_bytes()
}

/// Reads the response to a vote: how the platform took it, and the state that a counted vote is answered
/// with.
pub fn vote_result(response: &Message) -> (VoteResult, Option<RolloutStatus>) {
    let Some(fields) = leaf_elements(&response.body) else { return (VoteResult::Unknown, None) };
    let field = |name: &str| fields.iter().find(|(field, _)| field == name).map(|(_, text)| text.as_str());
    match (response.status, field("Code")) {
        (200, None) => match parse_rollout_status(field) {
            Some(status) => (VoteResult::Counted, Some(status)),
            None => (VoteResult::Unknown, None),
        },
        (400, Some("limit")) => (VoteResult::Full, None),
        (400, Some("moot")) => (VoteResult::Moot, None),
        (400 | 500, Some("error" | "malformed")) => (VoteResult::Error, None),
        _ => (VoteResult::Unknown, None),
    }
}

/// NameTable and texts of the innermost elements of an XML document; `None` if it is not well formed or has
/// no such element.
fn leaf_elements(document: &[u8]) -> Option<Vec<(String, String)>> {
    let mut reader = Reader::from_str(str::from_utf8(document).ok()?);
    let (mut elements, mut text, mut depth) = (Vec::new(), String::new(), 0);
    loop {
        match reader.read_event().ok()? {
            Event::Start(_) => {
                depth += 1;
                text.clear();
            }
            Event::Text(part) => text.push_str(part.trim()),
            Event::End(end) => {
                depth -= 1;
                let name = end.name().as_ref().to_owned();
                if !text.is_empty() {
                    elements.push((name, std::mem::take(&mut text)));
                }
            }
            Event::Eof => return (depth == 0 && !elements.is_empty()).then_some(elements),
            _ => {}
        }
    }
}

/// Reads the state of the newest build from its fields, in whichever format they came; `None` if one is
/// missing, unreadable or out of range.
pub fn parse_rollout_status<'a>(field: impl Fn(&str) -> Option<&'a str>) -> Option<RolloutStatus> {
    let phase = value_of_name(RolloutPhase::ALL, PHASES, field("progress")?)?;
    let cap: f64 = field("ceiling")?.parse().ok()?;
    let age_ms: f64 = field("lag_ms")?.parse().ok()?;
    Some(RolloutStatus {
        build: BuildNo(field("image")?.parse().ok()?),
        stage: StageNo(field("ring")?.parse().ok()?),
        phase,
        exposure_cap: (0.0..=1.0).contains(&cap).then_some(cap)?,
        age: (0.0..STATE_AGE_LIMIT_MS).contains(&age_ms).then_some((age_ms * MICROS_PER_MS) as Micros)?,
    })
}

/// One event of the platform's stream.
pub enum StreamEvent {
    RolloutStatus(RolloutStatus),
    /// A comment without content, sent to keep the stream alive.
    KeepAlive,
    /// An event of a kind that is not known here, with its text.
    UnknownKind(String),
    /// Text that can't be read as an event.
    Unreadable(String),
}

/// Takes all complete events out of a stream's text and leaves the incomplete one at its end.
pub fn take_events(text: &mut Vec<u8>) -> Vec<StreamEvent> {
    text.retain(|byte| *byte != b'\r');
    let mut events = Vec::new();
    while let Some(end) = text.windows(2).position(|pair| pair == b"\n\n") {
        let event = String::from_utf8_lossy(&text[..end]).into_owned();
        text.drain(..end + 2);
        events.push(parse_event(event));
    }
    events
}

fn parse_event(event: String) -> StreamEvent {
    let line_after = |prefix: &str| event.lines().find_map(|line| line.strip_prefix(prefix)).map(str::trim);
    let fields: Vec<_> =
        line_after("data:").unwrap_or_default().split('&').filter_map(|pair| pair.split_once('=')).collect();
    let status =
        parse_rollout_status(|name| fields.iter().find(|(field, _)| *field == name).map(|(_, value)| *value));
    let is_kind = |name: &str| !name.is_empty() && name.bytes().all(|byte| byte.is_ascii_lowercase());
    match (line_after("event:"), status) {
        (Some("news"), Some(status)) => StreamEvent::RolloutStatus(status),
        (None, _) if event.lines().all(|line| line.starts_with(':')) => StreamEvent::KeepAlive,
        (Some(kind), _) if kind != "news" && is_kind(kind) => StreamEvent::UnknownKind(event),
        _ => StreamEvent::Unreadable(event),
    }
}
