//! Runs the gateway from start to stop. Sockets run on `may`, with one worker thread. The reducer has a
//! thread of its own, with a large stack and exact timers, and nothing that it does waits for a peer.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::process;
use std::sync::mpsc::{self, Receiver, RecvTimeoutError, Sender};
use std::sync::{Arc, PoisonError};
use std::time::Duration;

use garnetdoor_sessions::{SessionId, Side};
use may::coroutine::JoinHandle;
use may::net::{TcpListener, UdpSocket};
use signal_hook::iterator::Signals;

use super::listen::{self, AcceptedConnections};
use super::{log, reload};
use crate::clock::Clock;
use crate::config::{self, Config};
use crate::event::{ConnectionId, Effect, Event, SessionClose, SessionJoin};
use crate::log;
use crate::operator::{self, OperatorConfig};
use crate::state::reducer::Reducer;
use crate::wire::relay::Relay;
use crate::wire::socket::{self, Connection};

/// Size of a coroutine's stack, in machine words. Connections make no deep calls.
const COROUTINE_STACK_WORDS: usize = 0x1000;
/// Finished coroutines that are kept for new connections.
const COROUTINE_POOL_SIZE: usize = 128;
/// Longest wait of `may`'s I/O selector.
const SELECTOR_TIMEOUT_NS: u64 = 1_000_000_000;
/// How long the reducer's thread waits at most if no timer is due.
const MAX_WAIT: Duration = Duration::from_secs(1);
/// The share of the memory limit (1/8) that all connections' buffers may hold: buffers grow by doubling, and
/// their bytes are copied on the way.
const BUFFER_MEMORY_DIVISOR: usize = 8;
const BYTES_PER_MIB: usize = 1024 * 1024;
const PANIC_EXIT_CODE: i32 = 101;

/// Serves until the process is told to stop. Returns only if the start fails, with the faults.
/// `operator_path` is the path of the operator file, if the command line names one.
pub fn serve(operator_path: Option<String>) -> Vec<String> {
    let signals = match reload::register_signals() {
        Ok(signals) => signals,
        Err(error) => return vec![format!("signals: {error}")],
    };
    let config = match config::read(None) {
        Ok(config) => config,
        Err(faults) => return faults,
    };
    let operator = match operator::read(operator_path.as_deref(), Some(&config.settings)) {
        Ok(operator) => operator,
        Err(faults) => return faults,
    };
    config.overrides.iter().for_each(|line| log!("{line}"));
    std::panic::set_hook(Box::new(|panic| {
        // Not by the rate-limited macro: this line must not be dropped.
        eprintln!("garnetdoor: ends by a panic: {panic}");
        process::exit(PANIC_EXIT_CODE);
    }));
    may::config()
        .set_workers(1)
        .set_stack_size(COROUTINE_STACK_WORDS)
        .set_pool_capacity(COROUTINE_POOL_SIZE)
        .set_worker_pin(false);
    may::config().set_timeout_ns(SELECTOR_TIMEOUT_NS);
    log::start();
    vec![match start(config, operator, operator_path, signals) {
        Ok(mut driver) => driver.run().to_string(),
        Err(error) => error.to_string(),
    }]
}

fn start(
    config: Config, operator: OperatorConfig, operator_path: Option<String>, signals: Signals,
) -> io::Result<Driver> {
    let clock = Clock::start();
    let (events, inbox) = mpsc::channel();
    let listener = listen::bind("listen", config.listen, TcpListener::bind)?;
    let listen_address = listener.local_addr()?;
    socket::enable_receive_timestamps(listener.inner());
    let peer_socket = match config.peer_listen {
        Some(address) => {
            let socket = listen::bind("peer_listen", address, UdpSocket::bind)?;
            Some(listen::receive_datagrams(socket, events.clone()))
        }
        None => None,
    };
    socket::set_buffer_limit(config.memory_mb * BYTES_PER_MIB / BUFFER_MEMORY_DIVISOR);
    let (reducer, effects) = Reducer::start(clock.now(), &config, &operator);
    let accepted = AcceptedConnections::default();
    let listener = Some(listen::accept_clients(listener, accepted.clone(), events.clone()));
    log!("{} serves at {listen_address}", config.name);
    reload::handle_signals(signals, config, operator_path, events.clone());
    let mut driver = Driver {
        clock,
        events,
        inbox,
        reducer,
        connections: BTreeMap::new(),
        relays: BTreeMap::new(),
        accepted,
        listener,
        peer_socket,
        last_client: 0,
    };
    // The returned events can be ignored: they report writes to connections, and none is established yet.
    driver.apply(effects);
    Ok(driver)
}

/// Passes events to the reducer and applies its effects.
struct Driver {
    clock: Clock,
    events: Sender<Event>,
    inbox: Receiver<Event>,
    reducer: Reducer,
    connections: BTreeMap<ConnectionId, Arc<Connection>>,
    relays: BTreeMap<SessionId, Arc<Relay>>,
    accepted: AcceptedConnections,
    listener: Option<JoinHandle<()>>,
    peer_socket: Option<Arc<UdpSocket>>,
    /// The number of the client connection that was accepted last.
    last_client: u64,
}

impl Driver {
    /// Handles events until the process exits; returns only if no event can come any more.
    fn run(&mut self) -> io::Error {
        loop {
            let due_in = self.reducer.next_timer().map_or(i64::MAX, |at| at - self.clock.now());
            let wait = Duration::from_micros(due_in.max(0) as u64).min(MAX_WAIT);
            let event = match self.inbox.recv_timeout(wait) {
                Ok(event) => event,
                Err(RecvTimeoutError::Timeout) => Event::Tick,
                Err(RecvTimeoutError::Disconnected) => {
                    return io::Error::other("all sources of events have ended");
                }
            };
            self.take_accepted();
            self.handle(event);
        }
    }

    /// Takes in the connections that were accepted since the last call.
    fn take_accepted(&mut self) {
        let accepted = std::mem::take(&mut *self.accepted.lock().unwrap_or_else(PoisonError::into_inner));
        for (stream, address) in accepted {
            self.last_client += 2;
            let id = ConnectionId(self.last_client);
            if self.reducer.wants_client_addresses() {
                self.handle(Event::ClientAddress(id, address.ip()));
            }
            let connection = Connection::new(id);
            self.connections.insert(id, connection.clone());
            socket::run_accepted(connection, stream, self.clock, self.events.clone());
        }
    }

    /// Passes an event to the reducer and applies the effects, and so on with the events that these cause
    /// immediately.
    fn handle(&mut self, event: Event) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let closed = if let Event::Closed(id) = event { Some(id) } else { None };
            let effects = self.reducer.reduce(self.clock.now(), event);
            events.extend(self.apply(effects));
            if let Some(id) = closed {
                self.connections.remove(&id);
            }
        }
    }

    /// Applies effects; returns the events that they caused immediately.
    fn apply(&mut self, effects: Vec<Effect>) -> Vec<Event> {
        let mut events = Vec::new();
        for effect in effects {
            match effect {
                Effect::Dial(id, address, timeout) => {
                    let connection = Connection::new(id);
                    self.connections.insert(id, connection.clone());
                    let timeout = Duration::from_micros(timeout.max(0) as u64);
                    socket::dial(connection, address, timeout, self.clock, self.events.clone());
                }
                Effect::Write(id, bytes) => {
                    if self.connections.get(&id).is_some_and(|connection| connection.write(&bytes)) {
                        events.push(Event::Written(id));
                    }
                }
                Effect::WriteIfIdle(id, bytes) => events.extend(self.write_if_idle(id, bytes)),
                Effect::Consumed(id, count) => {
                    if let Some(connection) = self.connections.get(&id) {
                        connection.consumed(count);
                    }
                }
                Effect::ShutdownWrite(id) => {
                    if let Some(connection) = self.connections.get(&id) {
                        connection.shutdown_write();
                    }
                }
                Effect::Close(id) => {
                    if let Some(connection) = self.connections.remove(&id) {
                        connection.close();
                    }
                }
                Effect::CloseIfIdle(id) => {
                    if self.connections.get(&id).is_some_and(|connection| connection.close_if_idle()) {
                        events.push(Event::Closed(id));
                    }
                }
                Effect::Datagram(to, bytes) => {
                    if let Some(Err(error)) =
                        self.peer_socket.as_ref().map(|socket| socket.inner().send_to(&bytes, to))
                    {
                        log!("datagram to {to} lost: {error}");
                    }
                }
                Effect::JoinSession(join) => events.push(self.join_session(&join)),
                Effect::CloseSession(id, close) => self.close_session(id, &close),
                Effect::AbortSession(id, code, connections) => self.abort_session(id, code, connections),
                Effect::Ping(id, side, mask) => self.ping(id, side, mask),
                Effect::ForgetSession(id) => drop(self.relays.remove(&id)),
                Effect::SampleSessions => {
                    let samples = self.relays.iter().map(|(id, relay)| (*id, relay.sample()));
                    events.push(Event::SessionActivity(samples.collect()));
                }
                Effect::Log(text) => log!("{text}"),
                Effect::StopListening => {
                    if let Some(listener) = self.listener.take() {
                        // SAFETY: the coroutine owns nothing but the listener and senders.
                        unsafe { listener.coroutine().cancel() };
                    }
                }
                Effect::Exit => {
                    log!("stopped");
                    log::flush();
                    process::exit(0);
                }
            }
        }
        events
    }

    /// Writes to an idle connection, or closes it if it is stale.
    fn write_if_idle(&mut self, id: ConnectionId, bytes: Vec<u8>) -> Option<Event> {
        match self.connections.get(&id).and_then(|connection| connection.write_if_idle(&bytes)) {
            Some(true) => Some(Event::Written(id)),
            Some(false) => None,
            None => {
                if let Some(connection) = self.connections.remove(&id) {
                    connection.close();
                }
                Some(Event::Stale(id, bytes))
            }
        }
    }

    fn join_session(&mut self, join: &SessionJoin) -> Event {
        let [client, server] = join.connections.map(|id| self.connections.get(&id));
        let relay = client.zip(server).and_then(|(client, server)| {
            Relay::join([client, server], join, self.clock, self.events.clone())
        });
        let event = Event::Joined(join.session, relay.is_some());
        relay.into_iter().for_each(|relay| drop(self.relays.insert(join.session, relay)));
        event
    }

    fn close_session(&self, id: SessionId, close: &SessionClose) {
        if let Some(relay) = self.relays.get(&id) {
            relay.close(close);
        }
    }

    fn abort_session(&self, id: SessionId, code: u16, connections: [ConnectionId; 2]) {
        match self.relays.get(&id) {
            Some(relay) => relay.abort(code),
            None => connections
                .iter()
                .filter_map(|id| self.connections.get(id))
                .for_each(|connection| connection.close()),
        }
    }

    fn ping(&self, id: SessionId, side: Side, mask: [u8; 4]) {
        if let Some(relay) = self.relays.get(&id) {
            relay.ping(side, mask);
        }
    }
}
