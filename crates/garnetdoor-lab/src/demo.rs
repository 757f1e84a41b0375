//! One command with which a newcomer sees the main job: a small fleet, the real daemon, tickets and sessions, a good
//! build released and a bad one voted back, a row a second, and a plain summary.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::daemon::Daemon;
use crate::prove::websocket::{Fleet, OLD, news};
use crate::stand::album::{Album, Temper};
use crate::stand::client::{Ask, Opened, open, ticket};
use crate::stand::list::Entry;
use crate::stand::spawn;

/// A stage lasts so long at least, and the platform gives up on a build after so long.
const STAGE: Duration = Duration::from_secs(3);
const PATIENCE: Duration = Duration::from_secs(14);
const CAPS: [f64; 2] = [0.1, 0.5];
const TICKET_CLIENTS: usize = 10;
const GUESTS: usize = 24;

#[derive(Default)]
struct Counts {
    finished: AtomicUsize,
    turned_back: AtomicUsize,
    failed: AtomicUsize,
    sessions: AtomicUsize,
}

/// Runs the demonstration and writes what happens; true if it went as it should.
pub fn run(seed: u64, to: &mut impl Write) -> io::Result<bool> {
    let fleet = Fleet::start(&[OLD; 4], &Temper::Echo)?;
    let daemon = fleet
        .daemon(seed, json!({"sessions": 200, "drain_ms": 1000, "close_ms": 500, "settled_ms": 1000}))?;
    writeln!(
        to,
        "Four album boxes with build 41, one gateway, {TICKET_CLIENTS} clients and {GUESTS} guests with live pages."
    )?;
    writeln!(to, "Everything here but the gateway is simulated.\n")?;
    let (stop, counts) = (Arc::new(AtomicBool::new(false)), Arc::new(Counts::default()));
    let mut clients: Vec<_> =
        (0..TICKET_CLIENTS).map(|number| tickets(number, &daemon, &stop, &counts)).collect();
    clients.extend((0..GUESTS).map(|number| guest(number, &daemon, &fleet, &stop, &counts)));
    let mut show = Show {
        fleet: &fleet,
        counts: &counts,
        began: Instant::now(),
        next: Duration::ZERO,
        last: [0; 3],
        to,
    };
    show.header()?;
    show.until(Duration::from_secs(3), "only build 41")?;
    let good = show.release(42, Temper::Echo)?;
    show.until(show.began.elapsed() + Duration::from_secs(2), "build 42 is out")?;
    let bad = show.release(43, Temper::Fails(500))?;
    show.until(show.began.elapsed() + Duration::from_secs(2), "as before")?;
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| drop(client.join()));
    let told = |count: &AtomicUsize| count.load(Ordering::Relaxed);
    let (finished, turned_back) = (told(&counts.finished), told(&counts.turned_back));
    let (failed, sessions) = (told(&counts.failed), told(&counts.sessions));
    writeln!(
        to,
        "\nBuild 42, which works, was {}.",
        if good { "released, stage by stage" } else { "not released" }
    )?;
    writeln!(
        to,
        "Build 43, which fails each ticket, was {}.",
        if bad { "released" } else { "voted back in its first stage" }
    )?;
    let all = (finished + turned_back + failed).max(1) as f64;
    let percent = |count: usize| 100.0 * count as f64 / all;
    writeln!(
        to,
        "{finished} tickets finished ({:.1}%), {turned_back} turned back with a time to come back, {failed} forfeited \
         ({:.1}%);\n{sessions} sessions opened.",
        percent(finished),
        percent(failed)
    )?;
    Ok(good && !bad)
}

struct Show<'a, W: Write> {
    fleet: &'a Fleet,
    counts: &'a Counts,
    began: Instant,
    next: Duration,
    last: [usize; 3],
    to: &'a mut W,
}

impl<W: Write> Show<'_, W> {
    fn header(&mut self) -> io::Result<()> {
        writeln!(self.to, "   s  finished/s  turned back  forfeited  sessions by build        what happens")
    }

    /// A row if a second has passed.
    fn row(&mut self, what: &str) -> io::Result<()> {
        if self.began.elapsed() < self.next {
            return Ok(());
        }
        self.next += Duration::from_secs(1);
        let counts = self.counts;
        let now = [&counts.finished, &counts.turned_back, &counts.failed]
            .map(|count| count.load(Ordering::Relaxed));
        let [finished, turned_back, failed] = [0, 1, 2].map(|n| now[n] - self.last[n]);
        self.last = now;
        let mut builds = std::collections::BTreeMap::new();
        for album in &self.fleet.boxes {
            *builds.entry(album.build).or_insert(0) += album.standing();
        }
        for album in self.fleet.late.lock().unwrap_or_else(std::sync::PoisonError::into_inner).iter() {
            *builds.entry(album.build).or_insert(0) += album.standing();
        }
        let builds: Vec<_> = builds.iter().map(|(build, count)| format!("{build}: {count}")).collect();
        let at = self.began.elapsed().as_secs();
        writeln!(
            self.to,
            "{at:4}  {finished:10}  {turned_back:11}  {failed:9}  {:23}  {what}",
            builds.join(", ")
        )?;
        self.to.flush()
    }

    fn until(&mut self, at: Duration, what: &str) -> io::Result<()> {
        while self.began.elapsed() < at {
            self.row(what)?;
            thread::sleep(Duration::from_millis(20));
        }
        Ok(())
    }

    /// The platform's part in a release: stage by stage while the gateway votes on, back when it votes back. True if
    /// the build came out.
    fn release(&mut self, build: u32, temper: Temper) -> io::Result<bool> {
        let first = (build - OLD) as usize * 10;
        let albums: Result<Vec<_>, _> = (0..3)
            .map(|n| Album::start(first + n, build, temper.clone(), self.fleet.record.clone()))
            .collect();
        let albums = albums?;
        let listed = |state| {
            let entry = |album: &Album| Entry {
                server: album.server,
                address: album.address,
                build,
                state,
                zone: "a",
                started: 0,
            };
            albums.iter().map(entry).collect::<Vec<_>>()
        };
        self.fleet
            .late
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
            .extend(albums.iter().cloned());
        self.fleet.platform.set(news(build, 0, "Progressing", CAPS[0]));
        self.fleet.list.change(&listed("up"));
        let began = Instant::now();
        for (stage, cap) in CAPS.into_iter().enumerate() {
            self.fleet.platform.set(news(build, stage, "Progressing", cap));
            let entered = Instant::now();
            loop {
                let vote = self.fleet.platform.vote();
                let said = vote.as_deref().unwrap_or("nothing yet");
                self.row(&format!("build {build} on trial, cap {cap}; the gateway votes {said}"))?;
                if said == "abort" || began.elapsed() > PATIENCE {
                    self.fleet.platform.set(news(build, stage, "Aborting", 0.0));
                    self.until(
                        self.began.elapsed() + Duration::from_secs(1),
                        &format!("build {build} goes back"),
                    )?;
                    self.fleet.list.change(&listed("removed"));
                    self.fleet.platform.set(news(build, stage, "Aborted", 0.0));
                    return Ok(false);
                }
                if said == "promote" && entered.elapsed() > STAGE {
                    break;
                }
                thread::sleep(Duration::from_millis(20));
            }
        }
        self.fleet.platform.set(news(build, CAPS.len(), "Healthy", 1.0));
        Ok(true)
    }
}

fn tickets(
    number: usize, daemon: &Daemon, stop: &Arc<AtomicBool>, counts: &Arc<Counts>,
) -> thread::JoinHandle<()> {
    let (address, stop, counts) = (daemon.address, stop.clone(), counts.clone());
    spawn(move || {
        while !stop.load(Ordering::Relaxed) {
            let order = number.is_multiple_of(5);
            let status = if order {
                ticket(address, "POST", "/order-prints/1")
            } else {
                ticket(address, "GET", "/view-album/1")
            };
            let count = match status {
                200 => &counts.finished,
                503 => &counts.turned_back,
                _ => &counts.failed,
            };
            count.fetch_add(1, Ordering::Relaxed);
            thread::sleep(Duration::from_millis(25));
        }
    })
}

fn guest(
    number: usize, daemon: &Daemon, fleet: &Fleet, stop: &Arc<AtomicBool>, counts: &Arc<Counts>,
) -> thread::JoinHandle<()> {
    let (address, record, stop, counts) =
        (daemon.address, fleet.record.clone(), stop.clone(), counts.clone());
    spawn(move || {
        while !stop.load(Ordering::Relaxed) {
            match open(address, &Ask::view(&format!("guest-{number}")), &record) {
                Opened::Session(mut session) => {
                    counts.sessions.fetch_add(1, Ordering::Relaxed);
                    let until = Instant::now() + Duration::from_millis(1_500 + 150 * number as u64);
                    while Instant::now() < until && !stop.load(Ordering::Relaxed) && session.echo("photo") {
                        thread::sleep(Duration::from_millis(50));
                    }
                    session.close();
                }
                Opened::Refused(_, wait) => thread::sleep(wait.unwrap_or(Duration::from_millis(200))),
                Opened::Nothing => thread::sleep(Duration::from_millis(200)),
            }
        }
    })
}
