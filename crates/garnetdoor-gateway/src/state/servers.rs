//! The servers of the list, and the connections to them.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use garnetdoor::host::{AttemptOutcome, BuildNo, Condition, Micros, ServerId, ServerInfo};

use super::connections::{ConnectionKind, ServerCall};
use super::gateway_state::{GatewayState, MS, Report};
use crate::event::{CloseReason, ConnectionId, Effect};
use crate::wire::discovery::List;

/// After this time without data a list call has failed. The list service sends something every 2 s, and the
/// decisions treat its list as current for 6 s.
const LIST_TIMEOUT: Micros = 4_500 * MS;

/// Identifies a server's process by the list: a server id or an address may come back with another process.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct ServerProcess {
    pub address: SocketAddr,
    pub build: BuildNo,
    pub started: Option<Micros>,
}

/// A server as the list showed it last.
pub struct ListedServer {
    pub process: ServerProcess,
    pub condition: Condition,
    /// Its idle connections, the one used last at the end.
    pub idle: Vec<ConnectionId>,
}

impl GatewayState {
    /// Sends an attempt or a probe to a server; reports to the decisions if it could not be sent.
    pub(super) fn send_to_server(
        &mut self, server: ServerId, call: ServerCall, message: Vec<u8>, deadline: Micros,
    ) {
        match (self.write_to_server(server, call, message, deadline), call) {
            (connection @ Some(_), ServerCall::Attempt(request, attempt)) => {
                if let Some(attempt) = self.running_attempt(request, attempt) {
                    attempt.connection = connection;
                }
            }
            (Some(id), ServerCall::Probe(_)) => self.set_deadline(id, Some(deadline)),
            (None, ServerCall::Attempt(request, attempt)) => {
                self.end_attempt(request, attempt, AttemptOutcome::NeverSent, Vec::new());
            }
            (None, ServerCall::Probe(_)) => {
                self.pending_reports.push_back(Report::Probe(
                    server,
                    AttemptOutcome::NeverSent,
                    0,
                    Vec::new(),
                ));
            }
        }
    }

    /// Writes a message to a server's most recently used idle connection, or to a new one.
    fn write_to_server(
        &mut self, server: ServerId, call: ServerCall, message: Vec<u8>, deadline: Micros,
    ) -> Option<ConnectionId> {
        let listed = self.servers.get_mut(&server)?;
        let process = listed.process;
        let Some(id) = listed.idle.pop() else {
            let deadline = deadline.min(self.now + self.dial_timeout);
            let kind = ConnectionKind::Server { server, process, call: Some(call) };
            return self.dial(process.address, kind, message, deadline);
        };
        let now = self.now;
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.kind = ConnectionKind::Server { server, process, call: Some(call) };
            (connection.write_pending, connection.last_request_at) = (true, now);
            self.effects.push(Effect::WriteIfIdle(id, message));
        }
        self.set_deadline(id, None);
        Some(id)
    }

    /// An idle connection had closed, or received bytes, before it could be used. Nothing has been written,
    /// and the message is sent on another connection. Such bytes could otherwise be taken for the response to
    /// the next request, and an attempt could be written to a connection that its server has closed, without
    /// knowing whether it was executed.
    pub fn resend_from_stale(&mut self, id: ConnectionId, message: Vec<u8>) {
        let Some(connection) = self.remove_connection(id, CloseReason::Stale) else { return };
        let ConnectionKind::Server { server, call: Some(call), .. } = connection.kind else { return };
        let deadline = match call {
            ServerCall::Attempt(request, _) => {
                self.requests.get(&request).map_or(self.now, |request| request.deadline)
            }
            ServerCall::Probe(sent_at) => sent_at + self.dial_timeout,
        };
        self.send_to_server(server, call, message, deadline);
    }

    /// Keeps a server's connection for further requests, or closes it if it is not reusable or its server is
    /// not listed.
    pub fn release_server_connection(&mut self, id: ConnectionId, reusable: bool) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let reusable = reusable && connection.buffer.is_empty() && !connection.write_pending;
        let ConnectionKind::Server { server, process, call } = &mut connection.kind else { return };
        *call = None;
        let listed = self.servers.get_mut(server);
        let is_same_healthy =
            |listed: &&mut ListedServer| listed.condition == Condition::Healthy && listed.process == *process;
        match listed.filter(is_same_healthy) {
            Some(listed) if reusable => {
                listed.idle.push(id);
                connection.idle_since = self.now;
                self.set_deadline(id, Some(self.now + self.idle_timeout));
            }
            Some(_) => drop(self.close(id, CloseReason::LastMessage)),
            None => drop(self.close(id, CloseReason::Unlisted)),
        }
    }

    /// Closes all idle connections to a server.
    pub(super) fn close_idle_connections(&mut self, server: ServerId, reason: CloseReason) {
        let idle = self.servers.get_mut(&server).map(|listed| std::mem::take(&mut listed.idle));
        for id in idle.unwrap_or_default() {
            self.close(id, reason);
        }
    }

    /// Applies a list, and returns its servers for the decisions; `None` if it is older than the last one.
    pub fn apply_list(&mut self, list: List) -> Option<Vec<ServerInfo>> {
        for fault in &list.faults {
            self.log(format!("list entry left out: {fault}"));
        }
        if list.version < self.list_version || (list.version == self.list_version && !list.whole) {
            self.log(format!("old list ignored: {} after {}", list.version, self.list_version));
            return None;
        }
        self.list_version = list.version;
        let servers_before = self.servers_for_sessions();
        if list.whole {
            self.servers.values_mut().for_each(|listed| listed.condition = Condition::Gone);
        }
        let mut servers = Vec::new();
        for entry in list.entries {
            let server = ServerId(self.server_names.intern(&entry.name) as u32);
            let ServerInfo { condition, build, started, .. } = entry.info;
            let process = ServerProcess { address: entry.address, build, started };
            if self.servers.get(&server).is_some_and(|listed| listed.process != process) {
                self.close_idle_connections(server, CloseReason::Unlisted);
            }
            let listed =
                self.servers.entry(server).or_insert(ListedServer { process, condition, idle: Vec::new() });
            (listed.process, listed.condition) = (process, condition);
            servers.push(ServerInfo { server, ..entry.info });
        }
        let unhealthy = self.servers.iter().filter(|(_, listed)| listed.condition != Condition::Healthy);
        for server in unhealthy.map(|(server, _)| *server).collect::<Vec<_>>() {
            self.close_idle_connections(server, CloseReason::Unlisted);
        }
        if let Some(servers_before) = servers_before {
            self.report_servers_to_sessions(servers_before);
        }
        self.remove_gone_servers();
        Some(servers)
    }

    /// Removes servers that are gone and have no connection left; with each release they would otherwise
    /// accumulate.
    fn remove_gone_servers(&mut self) {
        let connected: BTreeSet<ServerId> = self
            .connections
            .values()
            .filter_map(|connection| match connection.kind {
                ConnectionKind::Server { server, .. } => Some(server),
                _ => None,
            })
            .collect();
        let names = &mut self.server_names;
        self.servers.retain(|server, listed| {
            let is_kept = listed.condition != Condition::Gone || connected.contains(server);
            if !is_kept {
                names.forget(server.0 as usize);
            }
            is_kept
        });
    }

    /// When a call of the list service counts as failed if nothing more arrives.
    pub fn list_deadline(&self) -> Micros {
        self.now + LIST_TIMEOUT
    }
}
