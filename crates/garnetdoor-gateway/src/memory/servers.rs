//! Servers: which there are by the list, and their connections.

use std::collections::BTreeSet;

use garnetdoor::host::{AttemptOutcome, Condition, Micros, ServerId, ServerInfo};

use super::conns::{Kind, Work};
use super::desk::{Desk, MS, Told};
use super::ticket::{Place, Process};
use crate::event::{ConnId, Effect, Reason};
use crate::wire::discovery::List;

/// The list service says something every 2 s, and what it has to tell counts as told after 6 s.
const LIST_SILENT: Micros = 4_500 * MS;

impl Desk {
    /// Has a server asked for a trip or a probe; the decisions hear of one that could not be sent.
    pub(super) fn carry(&mut self, server: ServerId, work: Work, message: Vec<u8>, due: Micros) {
        match (self.ask(server, work, message, due), work) {
            (on @ Some(_), Work::Trip(ticket, trip)) => {
                if let Some(trip) = self.out(ticket, trip) {
                    trip.on = on;
                }
            }
            (Some(id), Work::Probe(_)) => self.due_at(id, Some(due)),
            (None, Work::Trip(ticket, trip)) => {
                self.trip_over(ticket, trip, AttemptOutcome::NeverSent, Vec::new())
            }
            (None, Work::Probe(_)) => {
                self.told.push_back(Told::Probe(server, AttemptOutcome::NeverSent, 0, Vec::new()));
            }
        }
    }

    /// Sends a message to a server on its idle connection used last, or on a new one.
    fn ask(&mut self, server: ServerId, work: Work, message: Vec<u8>, due: Micros) -> Option<ConnId> {
        let place = self.servers.get_mut(&server)?;
        let process = place.process;
        let Some(id) = place.idle.pop() else {
            let due = due.min(self.now + self.dial_within);
            let kind = Kind::Server { server, process, work: Some(work) };
            return self.dial(process.address, kind, message, due);
        };
        let now = self.now;
        if let Some(conn) = self.conns.get_mut(&id) {
            conn.kind = Kind::Server { server, process, work: Some(work) };
            (conn.unwritten, conn.asked) = (true, now);
            self.effects.push(Effect::WriteUnused(id, message));
        }
        self.due_at(id, None);
        Some(id)
    }

    /// An idle connection had ended, or brought something unasked, when it was to be used: nothing has been
    /// written, and another one serves. Guards against a surplus taken for the next ticket's answer, and
    /// against a trip written to a connection that its server has closed, which may have run then.
    pub fn stale(&mut self, id: ConnId, message: Vec<u8>) {
        let Some(conn) = self.forget(id, Reason::Stale) else { return };
        let Kind::Server { server, work: Some(work), .. } = conn.kind else { return };
        let due = match work {
            Work::Trip(ticket, _) => self.tickets.get(&ticket).map_or(self.now, |ticket| ticket.until),
            Work::Probe(sent) => sent + self.dial_within,
        };
        self.carry(server, work, message, due);
    }

    /// Keeps a connection to a server for the next trip there, or closes it.
    pub fn keep(&mut self, id: ConnId, keep: bool) {
        let Some(conn) = self.conns.get_mut(&id) else { return };
        let whole = keep && conn.buffer.is_empty() && !conn.unwritten;
        let Kind::Server { server, process, work } = &mut conn.kind else { return };
        *work = None;
        let place = self.servers.get_mut(server);
        let listed = |place: &&mut Place| place.condition == Condition::Healthy && place.process == *process;
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
    pub fn take_list(&mut self, list: List) -> Option<Vec<ServerInfo>> {
        for fault in &list.faults {
            self.log(format!("list entry left out: {fault}"));
        }
        if list.version < self.version || (list.version == self.version && !list.whole) {
            self.log(format!("old list ignored: {} after {}", list.version, self.version));
            return None;
        }
        self.version = list.version;
        let before = self.servers_before();
        if list.whole {
            self.servers.values_mut().for_each(|place| place.condition = Condition::Gone);
        }
        let mut listings = Vec::new();
        for entry in list.entries {
            let server = ServerId(self.names.intern(&entry.name) as u32);
            let ServerInfo { condition, build, started, .. } = entry.listing;
            let process = Process { address: entry.address, build, started };
            if self.servers.get(&server).is_some_and(|place| place.process != process) {
                self.close_all_idle(server, Reason::Unlisted);
            }
            let place = self.servers.entry(server).or_insert(Place { process, condition, idle: Vec::new() });
            (place.process, place.condition) = (process, condition);
            listings.push(ServerInfo { server, ..entry.listing });
        }
        let unlisted = self.servers.iter().filter(|(_, place)| place.condition != Condition::Healthy);
        for server in unlisted.map(|(server, _)| *server).collect::<Vec<_>>() {
            self.close_all_idle(server, Reason::Unlisted);
        }
        if let Some(before) = before {
            self.servers_listed(before);
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
