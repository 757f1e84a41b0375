//! An index of routes by host and path prefix, both sorted: a look-up takes a few comparisons and no allocation,
//! however many routes there are.

use crate::Route;

#[derive(Clone, Debug, Default)]
pub(crate) struct RouteIndex {
    /// Sorted by host.
    hosts: Vec<HostRoutes>,
}

/// The routes of one host.
#[derive(Clone, Debug)]
struct HostRoutes {
    /// In lower case and without a port.
    name: String,
    /// Sorted; each with the index of its route.
    prefixes: Vec<(String, usize)>,
    /// Length of the longest prefix: no more of a path is examined, however long a client makes it.
    longest_prefix_bytes: usize,
}

impl RouteIndex {
    pub fn new<'a>(routes: impl Iterator<Item = &'a Route>) -> RouteIndex {
        let mut entries: Vec<(&str, &str, usize)> =
            routes.enumerate().map(|(index, route)| (&*route.host, &*route.path_prefix, index)).collect();
        entries.sort_unstable();
        let mut hosts: Vec<HostRoutes> = Vec::new();
        for (name, prefix, index) in entries {
            if hosts.last().is_none_or(|host| host.name != name) {
                hosts.push(HostRoutes {
                    name: name.to_owned(),
                    prefixes: Vec::new(),
                    longest_prefix_bytes: 0,
                });
            }
            if let Some(host) = hosts.last_mut() {
                host.longest_prefix_bytes = host.longest_prefix_bytes.max(prefix.len());
                host.prefixes.push((prefix.to_owned(), index));
            }
        }
        RouteIndex { hosts }
    }

    /// The index of the route with the longest prefix of `path`.
    pub fn find(&self, host: &str, path: &str) -> Option<usize> {
        let host = without_port(host);
        let to_lower = |b: u8| b.to_ascii_lowercase();
        let position =
            self.hosts.binary_search_by(|entry| entry.name.bytes().cmp(host.bytes().map(to_lower))).ok()?;
        let host = &self.hosts[position];
        let relevant = &path.as_bytes()[..path.len().min(host.longest_prefix_bytes)];
        // Prefixes end with a slash, so only the parts of the path up to a slash can match; longest first.
        let slashes = (0..relevant.len()).rev().filter(|&index| relevant[index] == b'/');
        slashes
            .map(|index| &relevant[..=index])
            .find_map(|candidate| {
                host.prefixes.binary_search_by(|entry| entry.0.as_bytes().cmp(candidate)).ok()
            })
            .map(|position| host.prefixes[position].1)
    }
}

/// A host as it is compared: in lower case and without a port.
pub(crate) fn normalize_host(host: &str) -> String {
    without_port(host).to_ascii_lowercase()
}

fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        // The colons inside a bracketed IPv6 address do not start a port.
        Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) && !name.is_empty() => name,
        _ => host,
    }
}
