//! The gateway from start to stop. Sockets are `may`'s, on one worker; the reducer has a thread of its own:
//! its stack is large, its timers are exact, and nothing that it does waits for a peer.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::process;
use std::sync::mpsc::{self, Receiver, RecvTimeoutError, Sender};
use std::sync::{Arc, PoisonError};
use std::time::Duration;

use garnetdoor_sessions::SessionId;
use may::coroutine::JoinHandle;
use may::net::{TcpListener, UdpSocket};
use signal_hook::iterator::Signals;

use super::listen::{self, Arrived};
use super::{log, reload};
use crate::clock::Clock;
use crate::config::{self, Config};
use crate::event::{ConnId, Effect, Event};
use crate::log;
use crate::memory::reducer::Reducer;
use crate::operator::{self, OperatorConfig};
use crate::wire::relay::Relay;
use crate::wire::socket::{self, Link};

/// Words of a coroutine's stack: connections call nothing deep.
const STACK: usize = 0x1000;
/// Coroutines kept for new connections.
const KEPT: usize = 128;
/// With nothing due, the reducer's thread looks up this often all the same.
const REST: Duration = Duration::from_secs(1);

/// Serves until it is told to stop; only a start that fails returns, with what is wrong. `file` is the operator
/// file's path, if there is one.
pub fn serve(file: Option<String>) -> Vec<String> {
    let signals = match reload::signals() {
        Ok(signals) => signals,
        Err(error) => return vec![format!("signals: {error}")],
    };
    let config = match config::read(None) {
        Ok(config) => config,
        Err(faults) => return faults,
    };
    let operator = match operator::read(file.as_deref(), Some(&config.settings)) {
        Ok(operator) => operator,
        Err(faults) => return faults,
    };
    config.overruled.iter().for_each(|line| log!("{line}"));
    std::panic::set_hook(Box::new(|panic| {
        // Not by the limited macro: this line must not be left out.
        eprintln!("garnetdoor: ends by a panic: {panic}");
        process::exit(101);
    }));
    may::config().set_workers(1).set_stack_size(STACK).set_pool_capacity(KEPT).set_worker_pin(false);
    may::config().set_timeout_ns(1_000_000_000);
    log::start();
    vec![match start(config, operator, file, signals) {
        Ok(mut driver) => driver.run().to_string(),
        Err(error) => error.to_string(),
    }]
}

fn start(
    config: Config, operator: OperatorConfig, file: Option<String>, signals: Signals,
) -> io::Result<Driver> {
    let clock = Clock::start();
    let (events, inbox) = mpsc::channel();
    let listener = listen::bind("listen", config.listen, TcpListener::bind)?;
    let served_at = listener.local_addr()?;
    socket::stamp(listener.inner());
    let peers = match config.peer_listen {
        Some(at) => Some(listen::peers(listen::bind("peer_listen", at, UdpSocket::bind)?, events.clone())),
        None => None,
    };
    // An eighth: buffers grow by doubling, and what is held is copied on its way.
    socket::hold_at_most(config.memory_mb * 1024 * 1024 / 8);
    let (reducer, effects) = Reducer::start(clock.now(), &config, &operator);
    let arrived = Arrived::default();
    let listener = Some(listen::listen(listener, arrived.clone(), events.clone()));
    log!("{} serves at {served_at}", config.name);
    reload::follow(signals, config, file, events.clone());
    let (links, relays) = (BTreeMap::new(), BTreeMap::new());
    let mut driver =
        Driver { clock, events, inbox, reducer, links, relays, arrived, listener, peers, next_client: 0 };
    // Nothing is up yet that could have been written to.
    driver.act(effects);
    Ok(driver)
}

/// Brings the reducer what happens and does what it asks for.
struct Driver {
    clock: Clock,
    events: Sender<Event>,
    inbox: Receiver<Event>,
    reducer: Reducer,
    links: BTreeMap<ConnId, Arc<Link>>,
    relays: BTreeMap<SessionId, Arc<Relay>>,
    arrived: Arrived,
    listener: Option<JoinHandle<()>>,
    peers: Option<Arc<UdpSocket>>,
    next_client: u64,
}

impl Driver {
    fn run(&mut self) -> io::Error {
        loop {
            let due = self.reducer.next().map_or(i64::MAX, |at| at - self.clock.now());
            let wait = Duration::from_micros(due.max(0) as u64).min(REST);
            let event = match self.inbox.recv_timeout(wait) {
                Ok(event) => event,
                Err(RecvTimeoutError::Timeout) => Event::Time,
                Err(RecvTimeoutError::Disconnected) => {
                    return io::Error::other("nothing can happen any more");
                }
            };
            self.take_arrived();
            self.pass(event);
        }
    }

    fn take_arrived(&mut self) {
        let arrived = std::mem::take(&mut *self.arrived.lock().unwrap_or_else(PoisonError::into_inner));
        for (stream, from) in arrived {
            self.next_client += 2;
            let id = ConnId(self.next_client);
            if self.reducer.asks_origins() {
                self.pass(Event::From(id, from.ip()));
            }
            let link = Link::new(id);
            self.links.insert(id, link.clone());
            socket::accepted(link, stream, self.clock, self.events.clone());
        }
    }

    /// Brings the reducer an event, and what follows at once from what it asks for.
    fn pass(&mut self, event: Event) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let ended = if let Event::Ended(id) = event { Some(id) } else { None };
            let effects = self.reducer.reduce(self.clock.now(), event);
            events.extend(self.act(effects));
            if let Some(id) = ended {
                self.links.remove(&id);
            }
        }
    }

    /// Does what is asked for; returns what has happened by that already.
    fn act(&mut self, effects: Vec<Effect>) -> Vec<Event> {
        let mut happened = Vec::new();
        for effect in effects {
            match effect {
                Effect::Dial(id, to, within) => {
                    let link = Link::new(id);
                    self.links.insert(id, link.clone());
                    let within = Duration::from_micros(within.max(0) as u64);
                    socket::dial(link, to, within, self.clock, self.events.clone());
                }
                Effect::Write(id, bytes) => {
                    if self.links.get(&id).is_some_and(|link| link.write(&bytes)) {
                        happened.push(Event::Written(id));
                    }
                }
                Effect::WriteUnused(id, bytes) => {
                    match self.links.get(&id).map(|link| link.write_unused(&bytes)) {
                        Some(Some(true)) => happened.push(Event::Written(id)),
                        Some(Some(false)) => {}
                        Some(None) | None => {
                            if let Some(link) = self.links.remove(&id) {
                                link.close();
                            }
                            happened.push(Event::Stale(id, bytes));
                        }
                    }
                }
                Effect::Consumed(id, count) => {
                    if let Some(link) = self.links.get(&id) {
                        link.consumed(count);
                    }
                }
                Effect::Finish(id) => {
                    if let Some(link) = self.links.get(&id) {
                        link.finish();
                    }
                }
                Effect::Close(id) => {
                    if let Some(link) = self.links.remove(&id) {
                        link.close();
                    }
                }
                Effect::CloseUnused(id) => {
                    if self.links.get(&id).is_some_and(|link| link.close_unused()) {
                        happened.push(Event::Ended(id));
                    }
                }
                Effect::Datagram(to, bytes) => {
                    if let Some(Err(error)) =
                        self.peers.as_ref().map(|peers| peers.inner().send_to(&bytes, to))
                    {
                        log!("datagram to {to} lost: {error}");
                    }
                }
                Effect::Join(join) => {
                    let [client, server] = join.conns.map(|id| self.links.get(&id));
                    let relay = client.zip(server).and_then(|(client, server)| {
                        Relay::join([client, server], &join, self.clock, self.events.clone())
                    });
                    happened.push(Event::Joined(join.session, relay.is_some()));
                    relay.into_iter().for_each(|relay| drop(self.relays.insert(join.session, relay)));
                }
                Effect::Part(id, parting) => {
                    if let Some(relay) = self.relays.get(&id) {
                        relay.part(&parting);
                    }
                }
                Effect::Cut(id, code, conns) => match self.relays.get(&id) {
                    Some(relay) => relay.cut(code),
                    None => conns.iter().filter_map(|id| self.links.get(id)).for_each(|link| link.close()),
                },
                Effect::Ping(id, side, mask) => {
                    if let Some(relay) = self.relays.get(&id) {
                        relay.ping(side, mask);
                    }
                }
                Effect::Forget(id) => drop(self.relays.remove(&id)),
                Effect::Glance => {
                    let glances = self.relays.iter().map(|(id, relay)| (*id, relay.glance()));
                    happened.push(Event::Glanced(glances.collect()));
                }
                Effect::Log(text) => log!("{text}"),
                Effect::StopListening => {
                    if let Some(listener) = self.listener.take() {
                        // SAFETY: the coroutine holds nothing but the listener and senders.
                        unsafe { listener.coroutine().cancel() };
                    }
                }
                Effect::Exit => {
                    log!("stopped");
                    log::finish();
                    process::exit(0);
                }
            }
        }
        happened
    }
}
