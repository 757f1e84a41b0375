//! The proof of WebSocket sessions: a fleet with a trial, guests that come and go, and every cue in turn.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use serde_json::{Value, json};

use super::measure::{idle_sessions, round_trips, session, throughput};
use super::{Limit, Proof};
use crate::daemon::{Daemon, Setup};
use crate::record::{self, Record, Saw};
use crate::rules;
use crate::stand::album::{Album, Temper};
use crate::stand::client::{Ask, Opened, Session, open};
use crate::stand::list::{Entry, List};
use crate::stand::platform::{News, Platform};
use crate::stand::spawn;

pub const OLD: u32 = 41;
pub const NEW: u32 = 42;

/// A fleet of boxes with its list service and platform, and what they saw.
pub struct Fleet {
    pub boxes: Vec<Album>,
    pub list: List,
    pub platform: Platform,
    pub record: Record,
    /// Boxes that came later.
    pub late: Mutex<Vec<Album>>,
}

fn entry(album: &Album, state: &'static str) -> Entry {
    Entry { server: album.server, address: album.address, build: album.build, state, zone: "a", started: 0 }
}

/// The newest build's state in the platform's words.
pub fn news(build: u32, stage: usize, progress: &'static str, cap: f64) -> News {
    News { build, stage, progress, cap }
}

impl Fleet {
    /// Boxes of these builds, all with one temper; the list has them all, and the platform the earlier build.
    pub fn start(builds: &[u32], temper: &Temper) -> io::Result<Self> {
        let record = Record::default();
        let boxes: Vec<_> = (0..)
            .zip(builds)
            .map(|(n, build)| Album::start(n, *build, temper.clone(), record.clone()))
            .collect::<Result<_, _>>()?;
        let list = List::start(boxes.iter().map(|album| entry(album, "up")).collect(), record.clone())?;
        let platform = Platform::start(news(OLD, 0, "Healthy", 1.0), record.clone())?;
        Ok(Fleet { boxes, list, platform, record, late: Mutex::default() })
    }

    /// Tells the list a box's state.
    pub fn lists(&self, server: usize, state: &'static str) {
        self.list.change(&[entry(&self.boxes[server], state)]);
    }

    /// A daemon over this fleet; `websocket` is that section of its operator file.
    pub fn daemon(&self, seed: u64, websocket: Value) -> io::Result<Daemon> {
        Daemon::start(&self.setup(seed, websocket))
    }

    pub fn setup(&self, seed: u64, websocket: Value) -> Setup {
        let mut section = json!({"profiles": ["view-album", "order-prints"], "key_header": "Session-Key"});
        for (name, value) in websocket.as_object().into_iter().flatten() {
            section[name] = value.clone();
        }
        Setup {
            list: self.list.clone(),
            platform: self.platform.clone(),
            operator: json!({"websocket": section}),
            seed,
            sockets: 4_096,
            memory_mb: 192,
            settings: Value::Null,
        }
    }
}

/// Guests that open sessions, talk, and open again until they are told to stop.
struct Guests {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    talks: Arc<AtomicUsize>,
    lost: Arc<AtomicUsize>,
    codes: Arc<Mutex<BTreeMap<Option<u16>, usize>>>,
}

impl Guests {
    fn start(count: usize, seed: u64, daemon: &Daemon, record: &Record) -> Self {
        let guests = Guests {
            stop: Arc::default(),
            threads: Vec::new(),
            talks: Arc::default(),
            lost: Arc::default(),
            codes: Arc::default(),
        };
        let threads = (0..count).map(|number| {
            let (stop, talks, lost) = (guests.stop.clone(), guests.talks.clone(), guests.lost.clone());
            let (codes, record, address) = (guests.codes.clone(), record.clone(), daemon.address);
            let mut chance = oorandom::Rand64::new(u128::from(seed) << 32 | number as u128);
            spawn(move || {
                let once = number % 8 == 0;
                let path = if once { "/order-prints/7" } else { "/view-album/7" };
                while !stop.load(Ordering::Relaxed) {
                    let ask = Ask { path: path.to_owned(), once, ..Ask::view(&format!("guest-{number}")) };
                    match open(address, &ask, &record) {
                        Opened::Session(mut session) => {
                            let stays = Duration::from_millis(300 + (chance.rand_float() * 2_500.0) as u64);
                            let until = Instant::now() + stays;
                            let mut whole = true;
                            while whole && Instant::now() < until && !stop.load(Ordering::Relaxed) {
                                whole = session.echo(&format!("photo {}", chance.rand_u64()));
                                talks.fetch_add(usize::from(whole), Ordering::Relaxed);
                                thread::sleep(Duration::from_millis(20));
                            }
                            if !whole {
                                let code = session.end();
                                *codes
                                    .lock()
                                    .unwrap_or_else(PoisonError::into_inner)
                                    .entry(code)
                                    .or_default() += 1;
                            } else if chance.rand_float() < 0.7 {
                                session.close();
                            }
                            // Else it drops the connection, as a phone does in a tunnel.
                        }
                        Opened::Refused(_, wait) => {
                            thread::sleep(wait.unwrap_or_default().min(Duration::from_secs(1)))
                        }
                        Opened::Nothing => {
                            lost.fetch_add(1, Ordering::Relaxed);
                            thread::sleep(Duration::from_millis(50));
                        }
                    }
                }
            })
        });
        Guests { threads: threads.collect(), ..guests }
    }

    fn end(self) -> Self {
        self.stop.store(true, Ordering::Relaxed);
        let Guests { threads, .. } = self;
        threads.into_iter().for_each(|thread| drop(thread.join()));
        Guests { threads: Vec::new(), ..self }
    }
}

/// Waits until something holds, some seconds at most; whether it did.
pub fn soon(holds: impl Fn() -> bool) -> bool {
    let until = Instant::now() + Duration::from_secs(8);
    while Instant::now() < until {
        if holds() {
            return true;
        }
        thread::sleep(Duration::from_millis(5));
    }
    false
}

/// Opens a session, and comes back as it is told to for a while.
pub fn open_at_last(to: SocketAddr, ask: &Ask, record: &Record) -> Option<Session> {
    for _ in 0..20 {
        match open(to, ask, record) {
            Opened::Session(session) => return Some(*session),
            Opened::Refused(_, wait) => thread::sleep(wait.unwrap_or(Duration::from_millis(100))),
            Opened::Nothing => return None,
        }
    }
    None
}

/// The whole proof.
pub fn prove(seed: u64) -> io::Result<Proof> {
    let mut proof = Proof::new("websocket", seed);
    cues(&mut proof, seed, 96, 1.0)?;
    herd(&mut proof, seed)?;
    held(&mut proof, seed)?;
    costs(&mut proof, seed)?;
    Ok(proof)
}

/// The short form, for every change: the cues alone, in half the time, with fewer guests.
pub fn short(seed: u64) -> io::Result<Proof> {
    let mut proof = Proof::new("websocket", seed);
    cues(&mut proof, seed, 48, 0.5)?;
    Ok(proof)
}

/// The same without upgrades that were asked so late that their time was not up at the end.
fn settled(entries: Vec<record::Entry>) -> Vec<record::Entry> {
    let end = entries.last().map_or(0, |(at, _)| *at);
    let answered = entries.iter().filter_map(|(_, saw)| match saw {
        Saw::Answered { id, .. } => Some(*id),
        _ => None,
    });
    let answered: BTreeSet<u64> = answered.collect();
    let counts = |(at, saw): &record::Entry| match saw {
        Saw::Asked { id, .. } => *at + 2_500_000 < end || answered.contains(id),
        _ => true,
    };
    entries.into_iter().filter(counts).collect()
}

/// Guests under every cue: a trial that starts, is raised, lowered and withdrawn, drains, a box that is gone and one
/// that comes back, the list service down through a drain, a kill and a restart. `pace` shortens the times between.
fn cues(proof: &mut Proof, seed: u64, guests: usize, pace: f64) -> io::Result<()> {
    let builds = [OLD, OLD, OLD, OLD, NEW, NEW, NEW];
    let fleet = Fleet::start(&builds, &Temper::Echo)?;
    let mut daemon = fleet.daemon(seed, json!({
        "sessions": 600, "drain_ms": 1500, "close_ms": 500, "ping_ms": 500, "silence_ms": 1500, "settled_ms": 1000,
        "replace_ms": 50, "come_back_ms": [50, 250]}))?;
    let wait = |ms: u64| thread::sleep(Duration::from_millis((ms as f64 * pace) as u64));
    fleet.platform.set(news(NEW, 0, "Progressing", 0.25));
    let guests = Guests::start(guests, seed, &daemon, &fleet.record);
    wait(3_500);
    fleet.lists(0, "draining");
    wait(2_500);
    fleet.platform.set(news(NEW, 1, "Progressing", 0.6));
    wait(2_000);
    fleet.platform.set(news(NEW, 1, "Progressing", 0.1));
    wait(2_500);
    fleet.lists(0, "up");
    // Gone without a word: the list says so a little later.
    fleet.boxes[1].cut_sessions();
    wait(100);
    fleet.lists(1, "removed");
    wait(1_000);
    fleet.platform.set(news(NEW, 1, "Aborting", 0.0));
    wait(2_000);
    // The list service is down through a drain that it told before.
    fleet.lists(2, "draining");
    fleet.list.set_down(true);
    wait(2_500);
    fleet.list.set_down(false);
    wait(500);
    // What the kill leaves unanswered is the kill's: the rules are judged up to here.
    let until = fleet.record.entries();
    daemon.kill();
    let seen = Instant::now();
    let emptied = soon(|| fleet.boxes.iter().all(|album| album.standing() == 0));
    proof.must(emptied, format!("boxes keep sessions of a killed gateway after {:?}", seen.elapsed()));
    daemon.start_again()?;
    wait(1_000);
    let guests = guests.end();
    daemon.signal(Signal::SIGTERM);
    let ended = daemon.ends_within(Duration::from_millis(3_700));
    proof.must(ended == Some(true), "the daemon did not end in time after SIGTERM");
    let found = rules::check(&settled(until));
    let lost = guests.lost.load(Ordering::Relaxed) as f64;
    proof.figure("upgrades", found.upgrades as f64, Limit::AtLeast(100.0));
    proof.figure("finished", found.finished as f64, Limit::AtLeast(50.0));
    proof.figure("turned_back", found.turned_back as f64, Limit::None);
    proof.figure("turned_back_without_time", found.turned_back_without_time as f64, Limit::Is(0.0));
    proof.figure("failed", found.failed as f64, Limit::None);
    proof.figure("unanswered_by_the_kill", lost, Limit::None);
    proof.figure("answers_missing", found.answers_missing as f64, Limit::Is(0.0));
    proof.figure("answers_double", found.answers_double as f64, Limit::Is(0.0));
    proof.figure("upgrades_after_drain", found.upgrades_after_drain as f64, Limit::Is(0.0));
    proof.figure("drain_close_worst_s", found.drain_close_worst_s, Limit::AtMost(2.6));
    proof.figure("share_worst_excess", found.share_worst_excess, Limit::None);
    proof.figure("share_misses", found.share_misses as f64, Limit::Is(0.0));
    proof.figure("share_mean_error", found.share_mean_error, Limit::None);
    proof.figure("double_sessions", found.double_sessions as f64, Limit::Is(0.0));
    proof.figure("once_twice", found.once_twice as f64, Limit::Is(0.0));
    proof.figure("messages", guests.talks.load(Ordering::Relaxed) as f64, Limit::AtLeast(300.0));
    Ok(())
}

/// A drain of a box with many sessions: how its clients come back, against an even spread.
fn herd(proof: &mut Proof, seed: u64) -> io::Result<()> {
    let fleet = Fleet::start(&[OLD, OLD], &Temper::Echo)?;
    let daemon = fleet.daemon(seed, json!({"sessions": 1000, "drain_ms": 3000, "close_ms": 500}))?;
    let back = Arc::new(Mutex::new(Vec::new()));
    let began = Instant::now();
    let guests: Vec<_> = (0..400)
        .map(|number| {
            let (address, record, back) = (daemon.address, fleet.record.clone(), back.clone());
            spawn(move || {
                let ask = Ask::view(&format!("herd-{number}"));
                let Some(mut session) = open_at_last(address, &ask, &record) else { return };
                if session.end() == Some(1012) {
                    let at = began.elapsed().as_micros() as u64;
                    if let Some(mut again) = open_at_last(address, &ask, &record) {
                        back.lock().unwrap_or_else(PoisonError::into_inner).push(at);
                        again.set_patience(Duration::from_secs(5));
                        again.end();
                    }
                }
            })
        })
        .collect();
    let all_open = soon(|| fleet.boxes.iter().map(Album::standing).sum::<usize>() == 400);
    proof.must(all_open, "400 guests did not all get their session");
    let moved = fleet.boxes[0].standing();
    fleet.lists(0, "draining");
    let empty = soon(|| fleet.boxes[0].standing() == 0);
    proof.must(empty && moved > 50, format!("a drained box with {moved} sessions did not empty"));
    let all_back = soon(|| back.lock().unwrap_or_else(PoisonError::into_inner).len() == moved);
    proof.must(all_back, "not all guests of a drained box came back");
    let peak = rules::herd(&back.lock().unwrap_or_else(PoisonError::into_inner), 3_000_000);
    proof.figure("reopen_herd_peak_ratio", peak, Limit::AtMost(4.0));
    drop(daemon);
    guests.into_iter().for_each(|guest| drop(guest.join()));
    Ok(())
}

/// Many sessions that say nothing: what each takes of the daemon's memory.
fn held(proof: &mut Proof, seed: u64) -> io::Result<()> {
    const SESSIONS: usize = 2_000;
    raise_descriptors();
    let fleet = Fleet::start(&[OLD, OLD], &Temper::Echo)?;
    let mut setup =
        fleet.setup(seed, json!({"sessions": SESSIONS + 50, "ping_ms": 60000, "silence_ms": 120000}));
    setup.sockets = 3 * SESSIONS as u64 * 2;
    let daemon = Daemon::start(&setup)?;
    drop(idle_sessions(daemon.address, 20)?);
    soon(|| fleet.boxes.iter().map(Album::standing).sum::<usize>() == 0);
    let before = daemon.resident_kb();
    let sessions = idle_sessions(daemon.address, SESSIONS)?;
    let after = daemon.resident_kb();
    proof.figure("sessions_held", sessions.len() as f64, Limit::AtLeast(2_000.0));
    let each = (after.saturating_sub(before) * 1024) as f64 / sessions.len() as f64;
    proof.figure("bytes_per_idle_session", each, Limit::AimAtMost(24_576.0));
    proof.figure("resident_mb_with_all", after as f64 / 1024.0, Limit::AtMost(192.0));
    let cpu = daemon.cpu();
    thread::sleep(Duration::from_secs(2));
    proof.figure("idle_cpu_of_a_core", (daemon.cpu() - cpu).as_secs_f64() / 2.0, Limit::AimAtMost(0.02));
    // The usual ticket still finds room beside them.
    let status = crate::stand::client::ticket(daemon.address, "GET", "/view-album/1");
    proof.must(status == 200, format!("beside {SESSIONS} sessions a ticket was answered {status}"));
    Ok(())
}

/// What the relay costs, beside the same straight to the box.
fn costs(proof: &mut Proof, seed: u64) -> io::Result<()> {
    let fleet = Fleet::start(&[OLD], &Temper::Echo)?;
    let daemon = fleet.daemon(seed, json!({}))?;
    let straight = fleet.boxes[0].address;
    let names = ["relay_ratio_64b", "relay_ratio_4kb", "relay_ratio_1mb"];
    let mut least = f64::INFINITY;
    for (name, size) in names.into_iter().zip([64, 4096, 1 << 20]) {
        // In turn, so that a busy moment meets both; the better of each counts.
        let (mut with, mut without) = (0.0, 0.0);
        for _ in 0..3 {
            without = f64::max(without, throughput(straight, size, Duration::from_millis(250))?);
            with = f64::max(with, throughput(daemon.address, size, Duration::from_millis(250))?);
        }
        proof.figure(name, with / without, Limit::None);
        least = least.min(with / without);
    }
    proof.figure("relay_ratio", least, Limit::AimAtLeast(0.5));
    let without = round_trips(straight, 2_000)?;
    let with = round_trips(daemon.address, 2_000)?;
    let added =
        |at: f64| (with.value_at_quantile(at) as f64 - without.value_at_quantile(at) as f64) / 1_000.0;
    proof.figure("added_ms_p50", added(0.5), Limit::AimAtMost(0.3));
    proof.figure("added_ms_p99", added(0.99), Limit::AimAtMost(2.0));
    drop(session(daemon.address, &Ask::view(""), &Record::default())?);
    Ok(())
}

/// Lets this process hold as many descriptors as it may: both ends of thousands of sessions are here.
fn raise_descriptors() {
    use nix::sys::resource::{Resource, getrlimit, setrlimit};
    if let Ok((_, hard)) = getrlimit(Resource::RLIMIT_NOFILE) {
        let _ = setrlimit(Resource::RLIMIT_NOFILE, hard, hard);
    }
}
