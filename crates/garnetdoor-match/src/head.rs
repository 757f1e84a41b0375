//! The head of a request as expressions see it. All rules read its parts through the same functions, so that no two of
//! them can understand a path differently.

use std::borrow::Cow;
use std::net::IpAddr;

/// The largest head that an expression is evaluated for; larger ones are to be refused before. The maximum cost of an
/// expression is computed for this size.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeadLimits {
    /// Bytes of a head, and so of any text in it.
    pub head_bytes: usize,
    /// Number of header lines.
    pub header_lines: usize,
}

impl Default for HeadLimits {
    fn default() -> Self {
        HeadLimits { head_bytes: 16 * 1024, header_lines: 64 }
    }
}

/// A request's head, as borrowed parts of the message.
#[derive(Clone, Debug)]
pub struct RequestHead<'a> {
    pub method: &'a str,
    /// The request target with path and query, as received.
    pub target: &'a str,
    /// Header lines in the order received, as pairs of lower-case name and value.
    pub headers: &'a [(String, String)],
    /// The client's address.
    pub client: IpAddr,
    /// Length of the body in bytes.
    pub body_length: i64,
    /// Whether the request asks for a protocol upgrade.
    pub upgrade: bool,
}

impl<'a> RequestHead<'a> {
    /// The path up to `?` or `#`, as received: nothing is decoded, and `.` segments and doubled slashes are kept.
    pub fn path(&self) -> &'a str {
        self.target.split(['?', '#']).next().unwrap_or_default()
    }

    /// The path segment at an index from 0.
    pub fn segment(&self, index: usize) -> Option<&'a str> {
        self.path().strip_prefix('/')?.split('/').nth(index)
    }

    /// The value of the first query parameter of a name.
    pub fn query(&self, name: &str) -> Option<&'a str> {
        let query = self.target.split('#').next()?.split_once('?')?.1;
        query
            .split('&')
            .find_map(|pair| pair.split_once('=').filter(|(key, _)| *key == name).map(|(_, value)| value))
    }

    /// The values of all lines of a header. `name` is in lower case.
    pub fn headers(&self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.headers.iter().filter(move |(field, _)| field == name).map(|(_, value)| value.as_str())
    }

    /// The value of the first cookie of a name.
    pub fn cookie(&self, name: &str) -> Option<&'a str> {
        let pairs = self.headers("cookie").flat_map(|line| line.split(';'));
        let mut pairs = pairs.filter_map(|pair| pair.trim().split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }
}

/// Text that is borrowed from the head where possible.
pub type Text<'a> = Cow<'a, str>;
