//! Finds a request's route: hosts in order, and for each its prefixes in order, so that a request costs a few
//! comparisons and no allocation, however many routes there are.

use crate::Route;

#[derive(Clone, Debug, Default)]
pub(crate) struct Finder {
    /// Sorted by host.
    hosts: Vec<Host>,
}

#[derive(Clone, Debug)]
struct Host {
    /// In lower case, without a port.
    name: String,
    /// Sorted; each with its route's place.
    prefixes: Vec<(String, usize)>,
    /// Of the longest prefix, in bytes: a path is looked at no further, however long a client makes it.
    longest: usize,
}

impl Finder {
    pub fn new<'a>(routes: impl Iterator<Item = &'a Route>) -> Finder {
        let mut rows: Vec<(&str, &str, usize)> =
            routes.enumerate().map(|(at, route)| (&*route.host, &*route.path_prefix, at)).collect();
        rows.sort_unstable();
        let mut hosts: Vec<Host> = Vec::new();
        for (name, prefix, at) in rows {
            if hosts.last().is_none_or(|host| host.name != name) {
                hosts.push(Host { name: name.to_owned(), prefixes: Vec::new(), longest: 0 });
            }
            if let Some(host) = hosts.last_mut() {
                host.longest = host.longest.max(prefix.len());
                host.prefixes.push((prefix.to_owned(), at));
            }
        }
        Finder { hosts }
    }

    pub fn find(&self, host: &str, path: &str) -> Option<usize> {
        let host = without_port(host);
        let lower = |b: u8| b.to_ascii_lowercase();
        let found = self.hosts.binary_search_by(|row| row.name.bytes().cmp(host.bytes().map(lower))).ok()?;
        let host = &self.hosts[found];
        let seen = &path.as_bytes()[..path.len().min(host.longest)];
        // A prefix ends with a slash: only the path's pieces that end with one can be prefixes.
        let ends = (0..seen.len()).rev().filter(|&at| seen[at] == b'/');
        ends.map(|at| &seen[..=at])
            .find_map(|piece| host.prefixes.binary_search_by(|row| row.0.as_bytes().cmp(piece)).ok())
            .map(|row| host.prefixes[row].1)
    }
}

/// A host as it is compared: in lower case and without its port.
pub(crate) fn normal(host: &str) -> String {
    without_port(host).to_ascii_lowercase()
}

fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        // An IPv6 address in brackets keeps its own colons.
        Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) && !name.is_empty() => name,
        _ => host,
    }
}
