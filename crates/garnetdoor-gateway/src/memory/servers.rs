//! Servers: which there are by the list, and their connections.

use std::collections::BTreeSet;

use garnetdoor::host::{Condition, Listing, Micros, ServerId};

use super::conns::{Kind, Work};
use super::desk::{Desk, MS};
use super::event::{ConnId, Reason};
use super::ticket::Place;
use crate::wire::discovery::List;

/// The list service says something every 2 s, and what it has to tell counts as told after 6 s.
const LIST_SILENT: Micros = 4_500 * MS;

impl Desk {
    /// Sends a message to a server on its idle connection used last, or on a new one.
    pub(super) fn ask(
        &mut self, server: ServerId, work: Work, message: Vec<u8>, due: Micros,
    ) -> Option<ConnId> {
        let place = self.servers.get_mut(&server)?;
        let address = place.address;
        let Some(id) = place.idle.pop() else {
            let due = due.min(self.now + self.dial_within);
            return self.dial(address, Kind::Server { server, address, work: Some(work) }, message, due);
        };
        if let Some(Kind::Server { work: idle, .. }) = self.conns.get_mut(&id).map(|conn| &mut conn.kind) {
            *idle = Some(work);
        }
        self.write(id, message);
        self.due_at(id, None);
        Some(id)
    }

    /// Keeps a connection to a server for the next trip there, or closes it.
    pub fn keep(&mut self, id: ConnId, keep: bool) {
        let Some(conn) = self.conns.get_mut(&id) else { return };
        let whole = keep && conn.buffer.is_empty() && !conn.unwritten;
        let Kind::Server { server, address, work } = &mut conn.kind else { return };
        *work = None;
        let place = self.servers.get_mut(server);
        let listed = |place: &&mut Place| place.condition == Condition::Healthy && place.address == *address;
        match place.filter(listed) {
            Some(place) if whole => {
                place.idle.push(id);
                conn.since = self.now;
                self.due_at(id, Some(self.now + self.idle_for));
            }
            Some(_) => drop(self.close(id, Reason::LastMessage)),
            None => drop(self.close(id, Reason::Unlisted)),
        }
    }

    pub(super) fn close_all_idle(&mut self, server: ServerId, reason: Reason) {
        let idle = self.servers.get_mut(&server).map(|place| std::mem::take(&mut place.idle));
        for id in idle.unwrap_or_default() {
            self.close(id, reason);
        }
    }

    /// Takes a list in; `None` if it is older than what is known.
    pub fn take_list(&mut self, list: List) -> Option<Vec<Listing>> {
        for fault in &list.faults {
            self.log(format!("list entry left out: {fault}"));
        }
        if list.version < self.version || (list.version == self.version && !list.whole) {
            self.log(format!("old list ignored: {} after {}", list.version, self.version));
            return None;
        }
        self.version = list.version;
        if list.whole {
            self.servers.values_mut().for_each(|place| place.condition = Condition::Gone);
        }
        let mut listings = Vec::new();
        for entry in list.entries {
            let server = ServerId(self.names.number(&entry.name) as u32);
            let (address, condition) = (entry.address, entry.listing.condition);
            if self.servers.get(&server).is_some_and(|place| place.address != address) {
                self.close_all_idle(server, Reason::Unlisted);
            }
            let place = self.servers.entry(server).or_insert(Place { address, condition, idle: Vec::new() });
            (place.address, place.condition) = (address, condition);
            listings.push(Listing { server, ..entry.listing });
        }
        let unlisted = self.servers.iter().filter(|(_, place)| place.condition != Condition::Healthy);
        for server in unlisted.map(|(server, _)| *server).collect::<Vec<_>>() {
            self.close_all_idle(server, Reason::Unlisted);
        }
        self.forget_gone();
        Some(listings)
    }

    /// Forgets servers that are gone and have no connection left, so that releases do not add up.
    fn forget_gone(&mut self) {
        let used: BTreeSet<ServerId> = self
            .conns
            .values()
            .filter_map(|conn| if let Kind::Server { server, .. } = conn.kind { Some(server) } else { None })
            .collect();
        let names = &mut self.names;
        self.servers.retain(|server, place| {
            let kept = place.condition != Condition::Gone || used.contains(server);
            if !kept {
                names.forget(server.0 as usize);
            }
            kept
        });
    }

    /// When a call of the list service counts as failed if nothing more comes.
    pub fn list_due(&self) -> Micros {
        self.now + LIST_SILENT
    }
}
