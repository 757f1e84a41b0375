//! Requests of clients, and the gateway's responses to them.

use garnetdoor::host::{Arrival, KeyId, Micros, PartyId, ProfileId, Settings, parse_seconds};

use garnetdoor_operator::Websocket;
use garnetdoor_websocket::handshake::{self, UpgradeOffer, UpgradeRefusal};

use super::http::{self, Fault, Message};

/// Clients' deadlines are shorter than this. None waits for an hour: a longer deadline is a mistake, and its
/// timers would accumulate.
const DEADLINE_LIMIT_MS: Micros = 3_600_000;
const MICROS_PER_MS: Micros = 1_000;
const MICROS_PER_SECOND: f64 = 1e6;
/// Longest request id, session key or party that is accepted.
const MAX_IDENTIFIER_BYTES: usize = 128;

/// What of a profile shows in requests.
struct Profile {
    /// The first segment of the path.
    name: String,
    method: &'static str,
}

/// The profiles of the settings, by number.
pub struct Profiles(Vec<Profile>);

impl Profiles {
    pub fn new(settings: &Settings) -> Self {
        let count = settings.number("classes.count").unwrap_or(0.0) as usize;
        let profile = |id: ProfileId| Profile {
            name: settings.text(&id.setting_name("name")).unwrap_or_default().to_owned(),
            method: if settings.text(&id.setting_name("repeat")) == Some("safe") { "GET" } else { "POST" },
        };
        Profiles((0..count).map(|number| profile(ProfileId(number))).collect())
    }

    /// The names of all profiles in the settings.
    pub fn names(settings: &Settings) -> Vec<String> {
        Profiles::new(settings).0.into_iter().map(|profile| profile.name).collect()
    }

    /// Whether requests of a profile may safely be executed more than once.
    pub fn is_repeatable(&self, profile: ProfileId) -> bool {
        self.0.get(profile.0).is_some_and(|profile| profile.method == "GET")
    }

    /// A profile's name; empty if there is none of this number.
    pub fn name(&self, profile: ProfileId) -> &str {
        self.0.get(profile.0).map_or("", |profile| &profile.name)
    }
}

/// A client's message, classified.
pub enum ClientMessage {
    HealthCheck,
    /// A request that is to be routed to a server.
    Request {
        arrival: Arrival,
        request: ForwardedRequest,
    },
    /// Not a valid request, with the status to answer.
    Invalid(u16),
    /// An upgrade that can't be accepted.
    UpgradeRefused(UpgradeRefusal),
}

/// What an upgrade carries besides its request.
#[derive(Debug)]
pub struct Upgrade {
    pub offer: UpgradeOffer,
    /// Whole header lines that are passed to the server unchanged.
    pub passed_headers: String,
    /// The client's key for its session.
    pub key: Option<String>,
    /// The party that the session counts for, if a header names it.
    pub party: Option<String>,
}

/// The parts of a client's request that are forwarded unchanged.
#[derive(Debug)]
pub struct ForwardedRequest {
    pub method: String,
    pub target: String,
    /// Empty for an upgrade without an id, since browsers can't set headers; the gateway then generates one.
    pub id: String,
    pub body: Vec<u8>,
    pub upgrade: Option<Box<Upgrade>>,
}

/// The status that answers a message which can't be parsed.
pub fn status_of_fault(fault: Fault) -> u16 {
    match fault {
        Fault::Malformed => 400,
        Fault::HeadTooLarge => 431,
        Fault::BodyTooLarge => 413,
    }
}

/// Whether a text can be a request id, a session key or a party: printable ASCII without spaces, and not too
/// long.
fn is_identifier(text: &str) -> bool {
    !text.is_empty() && text.len() <= MAX_IDENTIFIER_BYTES && text.bytes().all(|byte| byte.is_ascii_graphic())
}

/// Reads an upgrade; `None` if the message asks for none, or its profile allows none.
fn parse_upgrade(
    message: &Message, profile: &str, settings: &Websocket,
) -> Result<Option<Upgrade>, UpgradeRefusal> {
    let headers = message.fields();
    if !settings.profiles.iter().any(|name| name == profile) || !handshake::requests_websocket(headers) {
        return Ok(None);
    }
    let offer = handshake::parse_offer(&message.method, message.minor_version, headers)?;
    if !message.body.is_empty() {
        return Err(UpgradeRefusal::Malformed("body"));
    }
    let identifier = |header: &str, what| {
        let value = message.header(&header.to_ascii_lowercase()).filter(|_| !header.is_empty());
        value
            .map(|text| is_identifier(text).then(|| text.to_owned()).ok_or(UpgradeRefusal::Malformed(what)))
            .transpose()
    };
    let key = identifier(&settings.key_header, "the session's key")?;
    let party = identifier(&settings.party_header, "the party")?;
    let is_passed = |name: &str| settings.pass_headers.iter().any(|other| other.eq_ignore_ascii_case(name));
    let passed_headers = headers.iter().filter(|(name, _)| is_passed(name));
    let passed_headers = passed_headers.map(|(name, value)| format!("{name}: {value}\r\n")).collect();
    Ok(Some(Upgrade { offer, passed_headers, key, party }))
}

/// Classifies a client's message that has waited for `waited` before it was read; this time counts against
/// its deadline. `upgrades` is the configuration of sessions, if there may be any.
pub fn classify(
    message: Message, profiles: &Profiles, waited: Micros, upgrades: Option<&Websocket>,
) -> ClientMessage {
    let path = message.target.split(['?', '#']).next().unwrap_or_default();
    if path == "/_health" {
        let is_get = message.method == "GET";
        return if is_get { ClientMessage::HealthCheck } else { ClientMessage::Invalid(405) };
    }
    let first_segment = path.strip_prefix('/').and_then(|path| path.split('/').next()).unwrap_or_default();
    let Some(number) = profiles.0.iter().position(|profile| profile.name == first_segment) else {
        return ClientMessage::Invalid(404);
    };
    let upgrade = match upgrades.map(|settings| parse_upgrade(&message, first_segment, settings)).transpose()
    {
        Ok(upgrade) => upgrade.flatten().map(Box::new),
        Err(refusal) => return ClientMessage::UpgradeRefused(refusal),
    };
    if upgrade.is_none() && message.method != profiles.0[number].method {
        return ClientMessage::Invalid(405);
    }
    // An upgrade may come without id and deadline, since browsers can't set headers.
    let may_be_absent = |name| upgrade.is_some() && !message.fields().iter().any(|(field, _)| field == name);
    let id = message.header("req-id").filter(|id| is_identifier(id)).map(str::to_owned);
    let id = id.or_else(|| may_be_absent("req-id").then(String::new));
    let deadline_ms = message.header("req-deadline-ms").and_then(parse_deadline_ms);
    let opening_ms = upgrades.map_or(0, |settings| settings.opening_ms as Micros);
    let deadline_ms = deadline_ms.or_else(|| may_be_absent("req-deadline-ms").then_some(opening_ms));
    let Some((id, deadline_ms)) = id.zip(deadline_ms) else {
        return ClientMessage::Invalid(400);
    };
    let extra = message.header("req-extra").unwrap_or_default();
    let extra_value = |name| http::list_value(extra, name);
    let arrival = Arrival {
        profile: ProfileId(number),
        cost: extra_value("effort").and_then(parse_seconds),
        key: extra_value("entity").and_then(|text| u64::from_str_radix(text, 16).ok()).map(KeyId),
        time_left: deadline_ms * MICROS_PER_MS - waited,
        writes: extra_value("write") == Some("1"),
        is_retry: message.header("req-retry") == Some("1"),
        party: extra_value("user_group").and_then(|text| text.parse().ok()).map(PartyId),
    };
    let Message { method, target, body, .. } = message;
    ClientMessage::Request { arrival, request: ForwardedRequest { method, target, id, body, upgrade } }
}

/// Parses a deadline; `None` unless it is a whole number of milliseconds below the limit.
fn parse_deadline_ms(text: &str) -> Option<Micros> {
    text.bytes()
        .all(|byte| byte.is_ascii_digit())
        .then(|| text.parse().ok().filter(|ms: &Micros| *ms < DEADLINE_LIMIT_MS))
        .flatten()
}

/// The response of a finished request, with the server's body unchanged. Here and below, `last` announces the
/// end of the connection.
pub fn finished(body: &[u8], last: bool) -> Vec<u8> {
    http::write_response(200, "", body, last)
}

/// The response that rejects a request which was not executed: a retry is safe, after `retry_after` if that
/// is known.
pub fn rejected(retry_after: Option<Micros>, last: bool) -> Vec<u8> {
    let header = retry_after.map(|wait| format!("Retry-After: {:.3}\r\n", wait as f64 / MICROS_PER_SECOND));
    http::write_response(503, &header.unwrap_or_default(), b"", last)
}

/// The response of a request that failed and may have been executed.
pub fn failed(last: bool) -> Vec<u8> {
    http::write_response(504, "", b"", last)
}

/// The response to an upgrade that can't be accepted.
pub fn upgrade_refused(refusal: UpgradeRefusal, last: bool) -> Vec<u8> {
    http::write_response(refusal.status(), refusal.headers(), b"", last)
}

/// A response that consists of its status only.
pub fn status_only(status: u16, last: bool) -> Vec<u8> {
    http::write_response(status, "", b"", last)
}
