//! What clients say, and what they are told.

use garnetdoor::host::{Arrival, KeyId, Micros, PartyId, ProfileId, Settings, micros};

use super::http::{self, Fault, Message};

/// A profile as the wire shows it.
struct Profile {
    name: String,
    method: &'static str,
}

/// The profiles by their paths.
pub struct Profiles(Vec<Profile>);

impl Profiles {
    pub fn new(settings: &Settings) -> Self {
        let count = settings.number("classes.count").unwrap_or(0.0) as usize;
        let profile = |id: ProfileId| Profile {
            name: settings.text(&id.setting("name")).unwrap_or_default().to_owned(),
            method: if settings.text(&id.setting("repeat")) == Some("safe") { "GET" } else { "POST" },
        };
        Profiles((0..count).map(|number| profile(ProfileId(number))).collect())
    }
}

/// Milliseconds that a client may wait for an answer, less one.
const DEADLINE_MOST: Micros = 3_600_000;

/// What a client asks for.
pub enum Asked {
    Health,
    Ticket {
        arrival: Arrival,
        request: Request,
    },
    /// Not a ticket: the answer's status.
    Wrong(u16),
}

/// The parts of a ticket that pass on unchanged.
#[derive(Debug)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub id: String,
    pub body: Vec<u8>,
}

/// The status that answers a message which can't be read.
pub fn status(fault: Fault) -> u16 {
    match fault {
        Fault::Malformed => 400,
        Fault::HeadTooLarge => 431,
        Fault::BodyTooLarge => 413,
    }
}

/// Reads a ticket that has waited unread for `waited`.
pub fn asked(message: Message, profiles: &Profiles, waited: Micros) -> Asked {
    let path = message.target.split(['?', '#']).next().unwrap_or_default();
    if path == "/_health" {
        return if message.method == "GET" { Asked::Health } else { Asked::Wrong(405) };
    }
    let first = path.strip_prefix('/').and_then(|path| path.split('/').next()).unwrap_or_default();
    let Some(number) = profiles.0.iter().position(|profile| profile.name == first) else {
        return Asked::Wrong(404);
    };
    if message.method != profiles.0[number].method {
        return Asked::Wrong(405);
    }
    let plain = |id: &&str| !id.is_empty() && id.len() <= 128 && id.bytes().all(|b| b.is_ascii_graphic());
    let id = message.header("req-id").filter(plain).map(str::to_owned);
    // No client waits for an hour: what it asks for is not meant, and its timers would add up.
    let whole = |text: &str| {
        text.bytes()
            .all(|b| b.is_ascii_digit())
            .then(|| text.parse().ok().filter(|ms: &Micros| *ms < DEADLINE_MOST))
    };
    let Some((id, deadline)) = id.zip(message.header("req-deadline-ms").and_then(whole).flatten()) else {
        return Asked::Wrong(400);
    };
    let extra = message.header("req-extra").unwrap_or_default();
    let figure = |name| http::figure(extra, name);
    let arrival = Arrival {
        profile: ProfileId(number),
        cost: figure("effort").and_then(micros),
        key: figure("entity").and_then(|text| u64::from_str_radix(text, 16).ok()).map(KeyId),
        left: deadline * 1_000 - waited,
        writes: figure("write") == Some("1"),
        repeat: message.header("req-retry") == Some("1"),
        party: figure("user_group").and_then(|text| text.parse().ok()).map(PartyId),
    };
    let Message { method, target, body, .. } = message;
    Asked::Ticket { arrival, request: Request { method, target, id, body } }
}

/// The answer of a finished ticket, the server's body as it is.
pub fn finished(body: &[u8], last: bool) -> Vec<u8> {
    http::write_answer(200, "", body, last)
}

/// The answer that a try again does no harm.
pub fn turned_back(come_back_in: Option<Micros>, last: bool) -> Vec<u8> {
    let wait = come_back_in.map(|wait| format!("Retry-After: {:.3}\r\n", wait as f64 / 1e6));
    http::write_answer(503, &wait.unwrap_or_default(), b"", last)
}

/// The answer that promises nothing.
pub fn forfeited(last: bool) -> Vec<u8> {
    http::write_answer(504, "", b"", last)
}

/// An answer that is its status alone.
pub fn plain(status: u16, last: bool) -> Vec<u8> {
    http::write_answer(status, "", b"", last)
}
