//! Connects the decisions on sessions, which `garnetdoor-sessions` makes, with connections and requests.
//! Ordinary requests are not affected; without the operator file's `websocket` section there is no session
//! table at all.

use std::collections::BTreeMap;
use std::net::IpAddr;

use garnetdoor::host::{Arrival, BuildNo, Condition, Micros, ProfileId, RequestId, ServerId};
use garnetdoor_operator::{OperatorConfig, Websocket};
use garnetdoor_sessions::{
    Admission, Party, Repeatability, SessionId, SessionKey, Sessions, Side, UpgradeRequest,
};
use garnetdoor_websocket::frames::MessageLimit;

use super::connections::ConnectionKind;
use super::gateway_state::GatewayState;
use super::servers::{ListedServer, ServerProcess};
use super::timers::TimerKey;
use crate::event::{ConnectionId, Effect, SessionJoin};
use crate::wire::client::ForwardedRequest;

/// The request and the connections of a session.
pub(super) struct SessionEntry {
    pub(super) request: RequestId,
    /// The client's and the server's connection, once the session is open.
    pub(super) connections: Option<[ConnectionId; 2]>,
    /// Whether each of the two connections has ended.
    pub(super) ended: [bool; 2],
    /// Set until the two connections are joined.
    pub(super) pending_join: Option<Box<SessionJoin>>,
}

/// What is kept of sessions in addition to the state of `garnetdoor-sessions`.
pub struct SessionTable {
    pub sessions: Sessions,
    /// The operator file's section; `None` once a reload has removed it.
    pub settings: Option<Websocket>,
    /// Shared with the sessions that are open.
    pub(super) message_limit: MessageLimit,
    pub(super) by_request: BTreeMap<RequestId, SessionId>,
    pub(super) by_connection: BTreeMap<ConnectionId, (SessionId, Side)>,
    pub(super) entries: BTreeMap<SessionId, SessionEntry>,
    /// The addresses that ordinary client connections come from.
    client_addresses: BTreeMap<ConnectionId, IpAddr>,
    /// Whether the list or the platform's state has changed since the shares of builds were passed on.
    pub shares_outdated: bool,
    /// The timer for what is due next at the sessions.
    pub(super) timer: Option<TimerKey>,
    pub(super) sample_timer_set: bool,
}

/// An upgrade is rejected; the client may retry after this time.
pub struct UpgradeRejected {
    pub retry_after: Micros,
}

impl GatewayState {
    /// Applies the operator file: sets up, changes or closes the session table, and reserves descriptors for
    /// sessions.
    pub fn apply_operator_file(&mut self, operator: OperatorConfig, seed: u64) {
        let settings = operator.websocket;
        let limits = settings.as_ref().map(|settings| {
            settings.session_limits().capped_by_descriptors(self.max_connections_and_sessions)
        });
        let reserved = limits.as_ref().map_or(0, |(_, reserved)| *reserved);
        self.reserve_descriptors(reserved);
        let now = self.now;
        match (&mut self.session_table, limits) {
            (Some(table), limits) => {
                let limits = limits.map_or_else(|| table.sessions.limits().clone(), |(limits, _)| limits);
                let profiles = &self.profiles;
                let is_listed = |profile: ProfileId| {
                    let names = settings.iter().flat_map(|settings| &settings.profiles);
                    names.into_iter().any(|name| name == profiles.name(profile))
                };
                table.message_limit.set(limits.max_message_bytes);
                table.sessions.reload(now, limits, is_listed);
                table.settings = settings;
            }
            (None, Some((limits, _))) => {
                self.session_table = Some(SessionTable {
                    message_limit: limits.max_message_bytes.into(),
                    sessions: Sessions::new(limits, seed),
                    settings,
                    by_request: BTreeMap::new(),
                    by_connection: BTreeMap::new(),
                    entries: BTreeMap::new(),
                    client_addresses: BTreeMap::new(),
                    shares_outdated: true,
                    timer: None,
                    sample_timer_set: false,
                });
            }
            (None, None) => {}
        }
    }

    /// Remembers the address that a client connects from.
    pub fn remember_client_address(&mut self, id: ConnectionId, address: IpAddr) {
        if let Some(table) = &mut self.session_table {
            table.client_addresses.insert(id, address);
        }
    }

    /// Forgets a client's address: its connection has ended, or belongs to a session now.
    pub(super) fn forget_client_address(&mut self, id: ConnectionId) {
        if let Some(table) = &mut self.session_table {
            table.client_addresses.remove(&id);
        }
    }

    /// Decides whether an upgrade may become a session; `None` for an ordinary request. The party of an
    /// upgrade that names none is its client's address.
    pub fn admit_upgrade(
        &mut self, id: ConnectionId, arrival: &Arrival, request: &mut ForwardedRequest,
    ) -> Result<Option<SessionId>, UpgradeRejected> {
        let (Some(table), Some(upgrade)) = (&mut self.session_table, &request.upgrade) else {
            return Ok(None);
        };
        if request.id.is_empty() {
            request.id = format!("g{:016x}{:04x}", self.random.rand_u64(), id.0 & 0xffff);
        }
        let address = || table.client_addresses.get(&id).map_or_else(|| "?".to_owned(), ToString::to_string);
        let party = upgrade.party.clone().unwrap_or_else(address);
        let repeatability = if self.profiles.is_repeatable(arrival.profile) {
            Repeatability::Repeatable
        } else {
            Repeatability::NotRepeatable
        };
        let key = upgrade.key.as_deref().map(|key| SessionKey(key.into()));
        let opening =
            UpgradeRequest { profile: arrival.profile, repeatability, party: Party(party.into()), key };
        match table.sessions.request_upgrade(self.now, opening) {
            Admission::Accepted(session) => Ok(Some(session)),
            Admission::Rejected { reason, retry_after } => {
                self.log(format!("upgrade conn={id} turned back: {}", reason.code()));
                Err(UpgradeRejected { retry_after })
            }
        }
    }

    /// Adds the session that an admitted upgrade is to become.
    pub fn add_session(&mut self, session: SessionId, request: RequestId) {
        if let Some(table) = &mut self.session_table {
            table.by_request.insert(request, session);
            let entry = SessionEntry { request, connections: None, ended: [false; 2], pending_join: None };
            table.entries.insert(session, entry);
        }
    }

    /// Whether a request is an upgrade.
    pub fn is_upgrade(&self, request: RequestId) -> bool {
        self.requests.get(&request).is_some_and(|request| request.request.upgrade.is_some())
    }

    /// Whether a server, and its build, have room for the session that a request is to become. Always true
    /// for an ordinary request.
    pub(super) fn has_room_for_session(&self, request: RequestId, server: ServerId, build: BuildNo) -> bool {
        let table = self.session_table.as_ref().filter(|table| table.by_request.contains_key(&request));
        table.is_none_or(|table| table.sessions.has_room(server, build))
    }

    /// An attempt of a request is being sent.
    pub(super) fn session_attempt_sent(&mut self, request: RequestId, server: ServerId) {
        let Some(build) = self.servers.get(&server).map(|listed| listed.process.build) else { return };
        if let Some(table) = &mut self.session_table
            && let Some(session) = table.by_request.get(&request)
        {
            table.sessions.attempt_sent(*session, server, build);
        }
    }

    /// A request is finished: if it was an upgrade that did not open a session, the session is dropped.
    pub(super) fn session_request_finished(&mut self, request: RequestId) {
        let now = self.now;
        if let Some(table) = &mut self.session_table
            && let Some(session) = table.by_request.remove(&request)
            && table.entries.get(&session).is_some_and(|entry| entry.connections.is_none())
        {
            table.entries.remove(&session);
            table.sessions.opening_failed(now, session);
        }
    }

    /// The servers before a list is applied, for [`GatewayState::report_servers_to_sessions`]; `None` if
    /// there is no session table.
    pub(super) fn servers_for_sessions(&self) -> Option<BTreeMap<ServerId, (ServerProcess, Condition)>> {
        self.session_table.as_ref()?;
        let server = |listed: &ListedServer| (listed.process, listed.condition);
        Some(self.servers.iter().map(|(id, listed)| (*id, server(listed))).collect())
    }

    /// Reports to the sessions how a list has changed the servers.
    pub(super) fn report_servers_to_sessions(
        &mut self, servers_before: BTreeMap<ServerId, (ServerProcess, Condition)>,
    ) {
        let now = self.now;
        let Some(table) = &mut self.session_table else { return };
        table.shares_outdated = true;
        for (server, (process, condition)) in servers_before {
            let listed = self.servers.get(&server);
            let (process_now, condition_now) =
                listed.map_or((process, Condition::Gone), |listed| (listed.process, listed.condition));
            if (process_now, condition_now) != (process, condition) {
                table.sessions.update_server(now, server, condition_now, process_now == process);
            }
        }
    }

    /// Whether there are sessions, which must end before the gateway exits.
    pub fn has_sessions(&self) -> bool {
        self.session_table.as_ref().is_some_and(|table| table.sessions.count() > 0)
    }

    /// Writes to a connection that belongs to a session, and is not among the ordinary connections any more.
    pub(super) fn write_to_session(&mut self, id: ConnectionId, bytes: Vec<u8>) {
        self.effects.push(Effect::Write(id, bytes));
    }

    /// Makes the client's connection of an aborted session an ordinary one that has had its last message. The
    /// client has a short time to read the close frame and to close the connection.
    pub(super) fn release_client_of_aborted(&mut self, session: SessionId) {
        let entry = self.session_table.as_ref().and_then(|table| table.entries.get(&session));
        let Some([client, _]) = entry.filter(|entry| !entry.ended[0]).and_then(|entry| entry.connections)
        else {
            return;
        };
        let kind = ConnectionKind::Client {
            request: None,
            last_message_read: true,
            surplus: false,
            answered: true,
            message_started: false,
        };
        self.add_connection(client, kind);
        self.set_linger_deadline(client);
    }
}
