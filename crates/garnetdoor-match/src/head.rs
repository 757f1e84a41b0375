//! What an expression sees of a ticket: its head, read once, so that no two rules read a path differently.

use std::borrow::Cow;
use std::net::IpAddr;

/// The largest that the inputs can be; heads beyond are refused before any expression sees them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Bytes of a head, and so of any text in it.
    pub head: usize,
    /// Header lines.
    pub headers: usize,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds { head: 16 * 1024, headers: 64 }
    }
}

/// A head, as borrowed parts of a message.
#[derive(Clone, Debug)]
pub struct Head<'a> {
    pub method: &'a str,
    /// Path and query as they came.
    pub target: &'a str,
    /// Header lines by names in lower case, in the order in which they came.
    pub headers: &'a [(String, String)],
    pub client: IpAddr,
    pub body_length: i64,
    pub upgrade: bool,
}

impl<'a> Head<'a> {
    /// The path up to `?` or `#`, as it came: nothing is decoded, and `.` and doubled slashes stay.
    pub fn path(&self) -> &'a str {
        self.target.split(['?', '#']).next().unwrap_or_default()
    }

    /// The parts of the path between its slashes, from 0.
    pub fn segment(&self, number: usize) -> Option<&'a str> {
        self.path().strip_prefix('/')?.split('/').nth(number)
    }

    /// A query parameter's value, the first of its name.
    pub fn query(&self, name: &str) -> Option<&'a str> {
        let query = self.target.split('#').next()?.split_once('?')?.1;
        query
            .split('&')
            .find_map(|pair| pair.split_once('=').filter(|(key, _)| *key == name).map(|(_, value)| value))
    }

    /// The values of a header, whose name is in lower case.
    pub fn headers(&self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.headers.iter().filter(move |(field, _)| field == name).map(|(_, value)| value.as_str())
    }

    /// A cookie's value, the first of its name.
    pub fn cookie(&self, name: &str) -> Option<&'a str> {
        let pairs = self.headers("cookie").flat_map(|line| line.split(';'));
        let mut pairs = pairs.filter_map(|pair| pair.trim().split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }
}

/// A text that may be borrowed.
pub type Text<'a> = Cow<'a, str>;
