//! The opening handshake (RFC 6455, section 4): reading a client's request, asking a server for the same, and checking
//! the server's response.

use std::ops::RangeInclusive;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use tungstenite::handshake::derive_accept_key;

/// The only supported extension (RFC 7692). Others are not offered to servers: if a server agreed to one, its frames
/// would look invalid here.
const DEFLATE: &str = "permessage-deflate";
/// The largest number of subprotocols, and of offers of the extension, in a request. Browsers offer one or two; more
/// would only cost time.
const MAX_OFFERS: usize = 16;
/// Length of a key once decoded (RFC 6455, section 4.1).
const KEY_BYTES: usize = 16;
/// The range of the window-bits parameters of the extension (RFC 7692, section 7.1.2).
const WINDOW_BITS: RangeInclusive<u8> = 8..=15;

/// What a client offers in its upgrade request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpgradeOffer {
    key: String,
    protocols: Vec<String>,
    /// The offers of the supported extension.
    extensions: Vec<Extension>,
}

/// An extension with its parameters, each with a value if it has one.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Extension {
    name: String,
    parameters: Vec<(String, Option<String>)>,
}

/// Why an upgrade request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpgradeRefusal {
    /// Status 400: a part of the request, named here, is missing, repeated or unreadable.
    Malformed(&'static str),
    /// Status 405: the method is not GET.
    Method,
    /// Status 426: a protocol version other than 13 is requested.
    Version,
}

impl UpgradeRefusal {
    /// The HTTP status of the response.
    pub fn status(self) -> u16 {
        match self {
            UpgradeRefusal::Malformed(_) => 400,
            UpgradeRefusal::Method => 405,
            UpgradeRefusal::Version => 426,
        }
    }

    /// Header lines of the response, each with its line end.
    pub fn headers(self) -> &'static str {
        match self {
            UpgradeRefusal::Version => "Upgrade: websocket\r\nSec-WebSocket-Version: 13\r\n",
            UpgradeRefusal::Malformed(_) | UpgradeRefusal::Method => "",
        }
    }
}

/// What the client and the server have agreed on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Agreement {
    accept: String,
    protocol: Option<String>,
    extension: Option<String>,
}

/// What is wrong with a server's 101 response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseError {
    /// `Upgrade: websocket` or `Connection: Upgrade` is missing.
    NoUpgrade,
    /// `Sec-WebSocket-Accept` is missing, repeated or does not follow from the key.
    Accept,
    /// A subprotocol was chosen that was not offered, or more than one.
    Protocol,
    /// An extension or parameter was chosen that was not offered, or more than one extension.
    Extension,
    /// Headers announce a body, which a 101 response can't have.
    Framing,
}

/// Header lines in the order received, as pairs of lower-case name and value.
pub type HeaderLines<'a> = &'a [(String, String)];

/// The values of all lines of a name.
fn values<'a>(lines: HeaderLines<'a>, name: &'a str) -> impl Iterator<Item = &'a str> {
    lines.iter().filter(move |(field, _)| field == name).map(|(_, value)| value.as_str())
}

/// The value of the only line of a name, `None` if there is none, or `Err` if there are several.
fn single_value<'a>(lines: HeaderLines<'a>, name: &'a str) -> Result<Option<&'a str>, ()> {
    let mut values = values(lines, name);
    let first = values.next();
    if values.next().is_some() { Err(()) } else { Ok(first) }
}

/// Whether a comma-separated header contains a token, regardless of case.
fn contains_token(lines: HeaderLines, name: &str, token: &str) -> bool {
    values(lines, name).flat_map(|line| line.split(',')).any(|part| part.trim().eq_ignore_ascii_case(token))
}

/// Whether a text is a token of RFC 9110, section 5.6.2.
fn is_token(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|b| b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&b))
}

/// The elements of a comma-separated header; `None` if one of them is not a token.
fn tokens(lines: HeaderLines, name: &str) -> Option<Vec<String>> {
    let parts = values(lines, name).flat_map(|line| line.split(',')).map(str::trim);
    parts.map(|part| is_token(part).then(|| part.to_owned())).collect()
}

/// The extensions in `Sec-WebSocket-Extensions`; `None` if one of them can't be parsed.
fn extensions(lines: HeaderLines) -> Option<Vec<Extension>> {
    values(lines, "sec-websocket-extensions").flat_map(|line| line.split(',')).map(parse_extension).collect()
}

fn parse_extension(text: &str) -> Option<Extension> {
    let mut parts = text.split(';').map(str::trim);
    let name = parts.next().filter(|name| is_token(name))?.to_ascii_lowercase();
    let parameters = parts.map(parse_parameter).collect::<Option<Vec<_>>>()?;
    let is_repeated = |at: usize| parameters[..at].iter().any(|(name, _)| *name == parameters[at].0);
    let has_repeated = (1..parameters.len()).any(is_repeated);
    (!has_repeated).then_some(Extension { name, parameters })
}

fn parse_parameter(text: &str) -> Option<(String, Option<String>)> {
    let (name, value) = text
        .split_once('=')
        .map_or((text, None), |(name, value)| (name.trim(), Some(value.trim().trim_matches('"'))));
    let is_valid = is_token(name) && value.is_none_or(is_token);
    is_valid.then(|| (name.to_ascii_lowercase(), value.map(str::to_owned)))
}

/// Whether a request asks for an upgrade to WebSocket. One that asks for another protocol is an ordinary request.
pub fn requests_websocket(lines: HeaderLines) -> bool {
    contains_token(lines, "upgrade", "websocket")
}

/// Parses the offer of a request for which [`requests_websocket`] holds. `minor_version` is that of HTTP/1: 1 for
/// HTTP/1.1.
pub fn parse_offer(
    method: &str, minor_version: u8, lines: HeaderLines,
) -> Result<UpgradeOffer, UpgradeRefusal> {
    let malformed = UpgradeRefusal::Malformed;
    if method != "GET" {
        return Err(UpgradeRefusal::Method);
    }
    if minor_version != 1 {
        return Err(malformed("HTTP version"));
    }
    if !contains_token(lines, "connection", "upgrade") {
        return Err(malformed("Connection"));
    }
    match single_value(lines, "sec-websocket-version") {
        Ok(Some("13")) => {}
        Ok(Some(_)) => return Err(UpgradeRefusal::Version),
        Ok(None) | Err(()) => return Err(malformed("Sec-WebSocket-Version")),
    }
    let key = single_value(lines, "sec-websocket-key").ok().flatten();
    let is_valid = |key: &&str| STANDARD.decode(key).is_ok_and(|decoded| decoded.len() == KEY_BYTES);
    let key = key.filter(is_valid).ok_or(malformed("Sec-WebSocket-Key"))?.to_owned();
    let protocols = tokens(lines, "sec-websocket-protocol").ok_or(malformed("Sec-WebSocket-Protocol"))?;
    let mut extensions = extensions(lines).ok_or(malformed("Sec-WebSocket-Extensions"))?;
    extensions.retain(|extension| extension.name == DEFLATE);
    if protocols.len() > MAX_OFFERS || extensions.len() > MAX_OFFERS {
        return Err(malformed("number of offers"));
    }
    Ok(UpgradeOffer { key, protocols, extensions })
}

impl UpgradeOffer {
    /// Header lines that make the same offer to a server, each with its line end.
    pub fn request_headers(&self) -> String {
        let mut lines = format!(
            "Upgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Version: 13\r\n\
             Sec-WebSocket-Key: {}\r\n",
            self.key
        );
        if !self.protocols.is_empty() {
            lines += &format!("Sec-WebSocket-Protocol: {}\r\n", self.protocols.join(", "));
        }
        if !self.extensions.is_empty() {
            let offers: Vec<_> = self.extensions.iter().map(Extension::to_header_value).collect();
            lines += &format!("Sec-WebSocket-Extensions: {}\r\n", offers.join(", "));
        }
        lines
    }

    /// Checks the headers of a server's 101 response against the offer. Otherwise what is sent by a server that does not
    /// speak WebSocket, or that answers another client, or by a proxy in front of it, would be relayed as a session.
    pub fn check_response(&self, lines: HeaderLines) -> Result<Agreement, ResponseError> {
        if !contains_token(lines, "upgrade", "websocket") || !contains_token(lines, "connection", "upgrade") {
            return Err(ResponseError::NoUpgrade);
        }
        if values(lines, "content-length").any(|length| length != "0")
            || values(lines, "transfer-encoding").count() > 0
        {
            return Err(ResponseError::Framing);
        }
        let accept = derive_accept_key(self.key.as_bytes());
        if single_value(lines, "sec-websocket-accept") != Ok(Some(accept.as_str())) {
            return Err(ResponseError::Accept);
        }
        let protocol = single_value(lines, "sec-websocket-protocol").map_err(|()| ResponseError::Protocol)?;
        if protocol.is_some_and(|chosen| !self.protocols.iter().any(|offer| offer == chosen)) {
            return Err(ResponseError::Protocol);
        }
        let extensions = extensions(lines).ok_or(ResponseError::Extension)?;
        let extension = match extensions.as_slice() {
            [] => None,
            [chosen] if self.extensions.iter().any(|offer| chosen.accepts(offer)) => {
                Some(chosen.to_header_value())
            }
            _ => return Err(ResponseError::Extension),
        };
        Ok(Agreement { accept, protocol: protocol.map(str::to_owned), extension })
    }
}

impl Extension {
    fn to_header_value(&self) -> String {
        let parameters = self.parameters.iter().map(|(name, value)| match value {
            Some(value) => format!("; {name}={value}"),
            None => format!("; {name}"),
        });
        parameters.fold(self.name.clone(), |text, parameter| text + &parameter)
    }

    fn parameter(&self, name: &str) -> Option<&Option<String>> {
        self.parameters.iter().find(|(other, _)| other == name).map(|(_, value)| value)
    }

    /// Whether a server may answer the offer by this (RFC 7692, section 7.1).
    fn accepts(&self, offer: &Extension) -> bool {
        let window_bits = |value: &Option<String>| {
            value.as_deref().and_then(|text| text.parse().ok()).filter(|bits: &u8| WINDOW_BITS.contains(bits))
        };
        let is_allowed = |(name, value): &(String, Option<String>)| match name.as_str() {
            "server_no_context_takeover" | "client_no_context_takeover" => value.is_none(),
            "client_max_window_bits" => window_bits(value).is_some() && offer.parameter(name).is_some(),
            "server_max_window_bits" => {
                let most = offer.parameter(name).and_then(window_bits).unwrap_or(*WINDOW_BITS.end());
                window_bits(value).is_some_and(|bits| bits <= most)
            }
            _ => false,
        };
        // A server that accepts the offer has to agree to these parameters if they are in it.
        let binding = ["server_no_context_takeover", "server_max_window_bits"];
        let keeps_binding =
            binding.iter().all(|name| offer.parameter(name).is_none() || self.parameter(name).is_some());
        self.name == offer.name && self.parameters.iter().all(is_allowed) && keeps_binding
    }
}

impl Agreement {
    /// The complete head of the 101 response to the client.
    pub fn response_head(&self) -> Vec<u8> {
        let mut head = format!(
            "HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n\
             Sec-WebSocket-Accept: {}\r\n",
            self.accept
        );
        if let Some(protocol) = &self.protocol {
            head += &format!("Sec-WebSocket-Protocol: {protocol}\r\n");
        }
        if let Some(extension) = &self.extension {
            head += &format!("Sec-WebSocket-Extensions: {extension}\r\n");
        }
        (head + "\r\n").into_bytes()
    }

    /// Whether messages may be compressed, which the first reserved bit of their first frame indicates.
    pub fn allows_compression(&self) -> bool {
        self.extension.is_some()
    }
}
