//! What clients say, and what they are told.

use garnetdoor::host::{Arrival, KeyId, Micros, PartyId, ProfileId, Settings, parse_seconds};

use garnetdoor_operator::Websocket;
use garnetdoor_websocket::handshake::{self, UpgradeOffer, UpgradeRefusal};

use super::http::{self, Fault, Message};

/// A profile as the wire shows it.
struct Profile {
    name: String,
    method: &'static str,
}

/// The profiles by their paths.
pub struct Profiles(Vec<Profile>);

impl Profiles {
    /// Whether a profile's tickets may run more than once.
    pub fn is_repeatable(&self, profile: ProfileId) -> bool {
        self.0.get(profile.0).is_some_and(|profile| profile.method == "GET")
    }

    /// The names of all of them.
    pub fn names(settings: &Settings) -> Vec<String> {
        Profiles::new(settings).0.into_iter().map(|profile| profile.name).collect()
    }

    /// The name of a profile.
    pub fn name(&self, profile: ProfileId) -> &str {
        self.0.get(profile.0).map_or("", |profile| &profile.name)
    }

    pub fn new(settings: &Settings) -> Self {
        let count = settings.number("classes.count").unwrap_or(0.0) as usize;
        let profile = |id: ProfileId| Profile {
            name: settings.text(&id.setting_name("name")).unwrap_or_default().to_owned(),
            method: if settings.text(&id.setting_name("repeat")) == Some("safe") { "GET" } else { "POST" },
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
    /// An upgrade that can't be.
    Refused(UpgradeRefusal),
}

/// What an upgrade brings beside its ticket.
#[derive(Debug)]
pub struct Upgrade {
    pub offer: UpgradeOffer,
    /// Header lines that go to the server as they are, each whole.
    pub passed: String,
    /// What the client calls its session.
    pub key: Option<String>,
    /// Whose it is, where a header says so.
    pub party: Option<String>,
}

/// The parts of a ticket that pass on unchanged.
#[derive(Debug)]
pub struct Request {
    pub method: String,
    pub target: String,
    /// Empty for an upgrade that came without one: browsers set no headers. The gateway gives it one.
    pub id: String,
    pub body: Vec<u8>,
    pub upgrade: Option<Box<Upgrade>>,
}

/// The status that answers a message which can't be read.
pub fn status(fault: Fault) -> u16 {
    match fault {
        Fault::Malformed => 400,
        Fault::HeadTooLarge => 431,
        Fault::BodyTooLarge => 413,
    }
}

/// Reads what an upgrade brings; `None` for a message that is none, or of a profile that is not upgraded.
fn upgrade(
    message: &Message, profile: &str, settings: &Websocket,
) -> Result<Option<Upgrade>, UpgradeRefusal> {
    let lines = message.fields();
    if !settings.profiles.iter().any(|name| name == profile) || !handshake::requests_websocket(lines) {
        return Ok(None);
    }
    let offer = handshake::parse_offer(&message.method, message.minor, lines)?;
    if !message.body.is_empty() {
        return Err(UpgradeRefusal::Malformed("body"));
    }
    let named = |name: &str, what| {
        let value = message.header(&name.to_ascii_lowercase()).filter(|_| !name.is_empty());
        let plain =
            |text: &str| !text.is_empty() && text.len() <= 128 && text.bytes().all(|b| b.is_ascii_graphic());
        value
            .map(|text| plain(text).then(|| text.to_owned()).ok_or(UpgradeRefusal::Malformed(what)))
            .transpose()
    };
    let key = named(&settings.key_header, "the session's key")?;
    let party = named(&settings.party_header, "the party")?;
    let passes = |name: &str| settings.pass_headers.iter().any(|other| other.eq_ignore_ascii_case(name));
    let passed = lines.iter().filter(|(name, _)| passes(name));
    let passed = passed.map(|(name, value)| format!("{name}: {value}\r\n")).collect();
    Ok(Some(Upgrade { offer, passed, key, party }))
}

/// Reads a ticket that has waited unread for `waited`; `upgrades` tells which may be more than a ticket.
pub fn asked(message: Message, profiles: &Profiles, waited: Micros, upgrades: Option<&Websocket>) -> Asked {
    let path = message.target.split(['?', '#']).next().unwrap_or_default();
    if path == "/_health" {
        return if message.method == "GET" { Asked::Health } else { Asked::Wrong(405) };
    }
    let first = path.strip_prefix('/').and_then(|path| path.split('/').next()).unwrap_or_default();
    let Some(number) = profiles.0.iter().position(|profile| profile.name == first) else {
        return Asked::Wrong(404);
    };
    let upgrade = match upgrades.map(|settings| upgrade(&message, first, settings)).transpose() {
        Ok(upgrade) => upgrade.flatten().map(Box::new),
        Err(refusal) => return Asked::Refused(refusal),
    };
    if upgrade.is_none() && message.method != profiles.0[number].method {
        return Asked::Wrong(405);
    }
    let plain = |id: &&str| !id.is_empty() && id.len() <= 128 && id.bytes().all(|b| b.is_ascii_graphic());
    let optional = |name| upgrade.is_some() && !message.fields().iter().any(|(field, _)| field == name);
    let id = message.header("req-id").filter(plain).map(str::to_owned);
    let id = id.or_else(|| optional("req-id").then(String::new));
    // No client waits for an hour: what it asks for is not meant, and its timers would add up.
    let whole = |text: &str| {
        text.bytes()
            .all(|b| b.is_ascii_digit())
            .then(|| text.parse().ok().filter(|ms: &Micros| *ms < DEADLINE_MOST))
    };
    let deadline = message.header("req-deadline-ms").and_then(whole).flatten();
    let opening = upgrades.map_or(0, |settings| settings.opening_ms as Micros);
    let deadline = deadline.or_else(|| optional("req-deadline-ms").then_some(opening));
    let Some((id, deadline)) = id.zip(deadline) else {
        return Asked::Wrong(400);
    };
    let extra = message.header("req-extra").unwrap_or_default();
    let figure = |name| http::figure(extra, name);
    let arrival = Arrival {
        profile: ProfileId(number),
        cost: figure("effort").and_then(parse_seconds),
        key: figure("entity").and_then(|text| u64::from_str_radix(text, 16).ok()).map(KeyId),
        time_left: deadline * 1_000 - waited,
        writes: figure("write") == Some("1"),
        is_retry: message.header("req-retry") == Some("1"),
        party: figure("user_group").and_then(|text| text.parse().ok()).map(PartyId),
    };
    let Message { method, target, body, .. } = message;
    Asked::Ticket { arrival, request: Request { method, target, id, body, upgrade } }
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

/// The answer to an upgrade that can't be.
pub fn refused(refusal: UpgradeRefusal, last: bool) -> Vec<u8> {
    http::write_answer(refusal.status(), refusal.headers(), b"", last)
}

/// An answer that is its status alone.
pub fn plain(status: u16, last: bool) -> Vec<u8> {
    http::write_answer(status, "", b"", last)
}
