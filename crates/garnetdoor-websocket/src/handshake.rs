//! The opening handshake (RFC 6455, section 4): what a client offers, how a server is asked, and whether its
//! answer is right.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use tungstenite::handshake::derive_accept_key;

/// The one extension whose frames are understood here (RFC 7692). Others are not passed on, so that no server
/// can agree to what would then look like broken frames.
const DEFLATE: &str = "permessage-deflate";
/// More would only cost time: browsers offer one or two.
const OFFERS_MOST: usize = 16;

/// What a client offers with its upgrade.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpgradeOffer {
    key: String,
    protocols: Vec<String>,
    /// The offers of the extension, each with its parameters.
    extensions: Vec<Extension>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Extension {
    name: String,
    params: Vec<(String, Option<String>)>,
}

/// Why a request to upgrade is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpgradeRefusal {
    /// 400: a part is absent, there twice, or can't be read; the part's name.
    Malformed(&'static str),
    /// 405: only GET upgrades.
    Method,
    /// 426: another version than 13 is asked for.
    Version,
}

impl UpgradeRefusal {
    /// The status of the answer.
    pub fn status(self) -> u16 {
        match self {
            UpgradeRefusal::Malformed(_) => 400,
            UpgradeRefusal::Method => 405,
            UpgradeRefusal::Version => 426,
        }
    }

    /// The header lines that the answer carries, each whole.
    pub fn headers(self) -> &'static str {
        match self {
            UpgradeRefusal::Version => "Upgrade: websocket\r\nSec-WebSocket-Version: 13\r\n",
            UpgradeRefusal::Malformed(_) | UpgradeRefusal::Method => "",
        }
    }
}

/// What both sides agreed on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Agreement {
    accept: String,
    protocol: Option<String>,
    extension: Option<String>,
}

/// What is wrong with a server's 101.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseError {
    /// No `Upgrade: websocket` and `Connection: Upgrade`.
    NoUpgrade,
    /// The accept value does not follow from the key.
    Accept,
    /// A subprotocol that was not offered, or several.
    Protocol,
    /// An extension or a parameter that was not offered.
    Extension,
    /// A body's framing, which no 101 has.
    Framing,
}

/// Header lines by names in lower case, in the order in which they came.
pub type HeaderLines<'a> = &'a [(String, String)];

fn all<'a>(lines: HeaderLines<'a>, name: &'a str) -> impl Iterator<Item = &'a str> {
    lines.iter().filter(move |(field, _)| field == name).map(|(_, value)| value.as_str())
}

/// The only line of a name; `Err` where it stands more than once.
fn single<'a>(lines: HeaderLines<'a>, name: &'a str) -> Result<Option<&'a str>, ()> {
    let mut found = all(lines, name);
    let first = found.next();
    if found.next().is_some() { Err(()) } else { Ok(first) }
}

fn says(lines: HeaderLines, name: &str, word: &str) -> bool {
    all(lines, name).flat_map(|line| line.split(',')).any(|part| part.trim().eq_ignore_ascii_case(word))
}

fn is_token(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|b| b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&b))
}

/// The elements of a list of tokens over all its lines; `None` if one is no token.
fn tokens(lines: HeaderLines, name: &str) -> Option<Vec<String>> {
    let parts = all(lines, name).flat_map(|line| line.split(',')).map(str::trim);
    parts.map(|part| is_token(part).then(|| part.to_owned())).collect()
}

fn extensions(lines: HeaderLines) -> Option<Vec<Extension>> {
    let offers = all(lines, "sec-websocket-extensions").flat_map(|line| line.split(','));
    let read = |offer: &str| {
        let mut parts = offer.split(';').map(str::trim);
        let name = parts.next().filter(|name| is_token(name))?.to_ascii_lowercase();
        let param = |part: &str| {
            let (name, value) =
                part.split_once('=').map_or((part, None), |(n, v)| (n.trim(), Some(v.trim())));
            let value = value.map(|text| text.trim_matches('"'));
            let good = is_token(name) && value.is_none_or(is_token);
            good.then(|| (name.to_ascii_lowercase(), value.map(str::to_owned)))
        };
        let params = parts.map(param).collect::<Option<Vec<_>>>()?;
        let twice = (1..params.len()).any(|at| params[..at].iter().any(|(name, _)| *name == params[at].0));
        (!twice).then_some(Extension { name, params })
    };
    offers.map(read).collect()
}

/// Whether a request asks for this upgrade at all. One that asks for another protocol is an ordinary one.
pub fn requests_websocket(lines: HeaderLines) -> bool {
    says(lines, "upgrade", "websocket")
}

/// Reads what a request that [`requests_websocket`] offers. `minor` is the HTTP/1 version, 1 for HTTP/1.1.
pub fn parse_offer(method: &str, minor: u8, lines: HeaderLines) -> Result<UpgradeOffer, UpgradeRefusal> {
    let malformed = UpgradeRefusal::Malformed;
    if method != "GET" {
        return Err(UpgradeRefusal::Method);
    }
    if minor != 1 {
        return Err(malformed("HTTP version"));
    }
    if !says(lines, "connection", "upgrade") {
        return Err(malformed("Connection"));
    }
    match single(lines, "sec-websocket-version") {
        Ok(Some("13")) => {}
        Ok(Some(_)) => return Err(UpgradeRefusal::Version),
        Ok(None) | Err(()) => return Err(malformed("Sec-WebSocket-Version")),
    }
    let key = single(lines, "sec-websocket-key").ok().flatten();
    let nonce = |key: &&str| STANDARD.decode(key).is_ok_and(|nonce| nonce.len() == 16);
    let key = key.filter(nonce).ok_or(malformed("Sec-WebSocket-Key"))?.to_owned();
    let protocols = tokens(lines, "sec-websocket-protocol").ok_or(malformed("Sec-WebSocket-Protocol"))?;
    let mut extensions = extensions(lines).ok_or(malformed("Sec-WebSocket-Extensions"))?;
    extensions.retain(|extension| extension.name == DEFLATE);
    if protocols.len() > OFFERS_MOST || extensions.len() > OFFERS_MOST {
        return Err(malformed("number of offers"));
    }
    Ok(UpgradeOffer { key, protocols, extensions })
}

impl UpgradeOffer {
    /// The header lines by which a server is asked for the same, each whole.
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
            let offers: Vec<_> = self.extensions.iter().map(Extension::text).collect();
            lines += &format!("Sec-WebSocket-Extensions: {}\r\n", offers.join(", "));
        }
        lines
    }

    /// Checks the lines of a server's 101 against what was offered. Guards against a server, or something
    /// before it, that does not speak WebSocket or to another client: its bytes would pass as a session's.
    pub fn check_response(&self, lines: HeaderLines) -> Result<Agreement, ResponseError> {
        if !says(lines, "upgrade", "websocket") || !says(lines, "connection", "upgrade") {
            return Err(ResponseError::NoUpgrade);
        }
        if all(lines, "content-length").any(|length| length != "0")
            || all(lines, "transfer-encoding").count() > 0
        {
            return Err(ResponseError::Framing);
        }
        let accept = derive_accept_key(self.key.as_bytes());
        if single(lines, "sec-websocket-accept") != Ok(Some(accept.as_str())) {
            return Err(ResponseError::Accept);
        }
        let protocol = single(lines, "sec-websocket-protocol").map_err(|()| ResponseError::Protocol)?;
        if protocol.is_some_and(|chosen| !self.protocols.iter().any(|offer| offer == chosen)) {
            return Err(ResponseError::Protocol);
        }
        let chosen = extensions(lines).ok_or(ResponseError::Extension)?;
        let extension = match chosen.as_slice() {
            [] => None,
            [one] if self.extensions.iter().any(|offer| one.answers(offer)) => Some(one.text()),
            _ => return Err(ResponseError::Extension),
        };
        Ok(Agreement { accept, protocol: protocol.map(str::to_owned), extension })
    }
}

impl Extension {
    fn text(&self) -> String {
        let params = self.params.iter().map(|(name, value)| match value {
            Some(value) => format!("; {name}={value}"),
            None => format!("; {name}"),
        });
        params.fold(self.name.clone(), |text, param| text + &param)
    }

    fn param(&self, name: &str) -> Option<&Option<String>> {
        self.params.iter().find(|(param, _)| param == name).map(|(_, value)| value)
    }

    /// Whether this is a proper answer to an offer of the same extension (RFC 7692, section 7.1).
    fn answers(&self, offer: &Extension) -> bool {
        let bits = |value: &Option<String>| {
            value.as_deref().and_then(|text| text.parse().ok()).filter(|bits: &u8| (8..=15).contains(bits))
        };
        let proper = |(name, value): &(String, Option<String>)| match name.as_str() {
            "server_no_context_takeover" | "client_no_context_takeover" => value.is_none(),
            "client_max_window_bits" => bits(value).is_some() && offer.param(name).is_some(),
            "server_max_window_bits" => {
                let most = offer.param(name).and_then(bits).unwrap_or(15);
                bits(value).is_some_and(|bits| bits <= most)
            }
            _ => false,
        };
        let kept = ["server_no_context_takeover", "server_max_window_bits"];
        let asked = kept.iter().all(|name| offer.param(name).is_none() || self.param(name).is_some());
        self.name == offer.name && self.params.iter().all(proper) && asked
    }
}

impl Agreement {
    /// The whole head of the 101 for the client.
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

    /// Whether messages may be compressed, so that their first frame may have its first reserved bit set.
    pub fn allows_compression(&self) -> bool {
        self.extension.is_some()
    }
}
