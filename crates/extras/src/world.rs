//! World (simulated time): a heap of events, the real cores on a network with delays and links, a disk each for
//! prompters, instances that beat, an operator. No trouble is drawn: `rehearsal` plays those. One seed plays the
//! same each time, but for processor times.

pub(crate) mod callers;
pub(crate) mod node;
mod report;

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;

use consensus::Write;
use cpu_time::ThreadTime;
use garnetdoor::host::{AttemptNo, AttemptOutcome, RequestId};
use oorandom::Rand64;
use peak_alloc::PeakAlloc;
use playhouse::settings::Settings;
use rehearsal::queue::Queue;
use types::{MS, Micros, NodeAddress, SECOND};

use crate::kind;
use crate::size::{REGIONS, Size, ZONES};
use crate::tally::{Phase, Role, Tally};
pub use callers::Calls;
use callers::{Instance, Order};
use node::Node;
pub use report::{Figures, PhaseRow, Spent};

/// Bytes of head of a datagram over IPv4, and of each segment of a stream.
pub const DATAGRAM_HEAD: usize = 28;
pub const SEGMENT_HEAD: usize = 40;
pub const SEGMENT: usize = 1_448;
/// Longer words go by streams.
pub const DATAGRAM_MOST: usize = 1_200;
/// One way within a zone, between zones, between regions.
const NEAR: Micros = 250;
const ZONE: Micros = 1_400;
const REGION: Micros = 15 * MS;
/// What a sync of a prompter's disk takes.
const SYNC: Micros = MS;

enum Event {
    Start { at: usize },
    Kill { at: usize, back: Micros },
    Tick { at: usize, run: u64, due: Micros },
    Mail { to: usize, run: u64, from: NodeAddress, kind: usize, bytes: Rc<[u8]> },
    Synced { at: usize, run: u64, write: Box<Write> },
    Beat { instance: usize, life: u32 },
    Operator,
    Request { at: usize, run: u64 },
    Answered { at: usize, run: u64, ticket: RequestId, trip: AttemptNo, ending: AttemptOutcome },
    Phase(usize),
}

/// What a node's link carries, one way.
#[derive(Clone, Copy, Default)]
struct Link {
    /// When what waits for it has gone.
    free: Micros,
}

pub struct World {
    pub now: Micros,
    pub size: Size,
    pub tally: Tally,
    /// Phases in their order, with their ends.
    phases: Vec<(Phase, Micros)>,
    phase: usize,
    chance: Rand64,
    queue: Queue<Event>,
    steps: u64,
    nodes: Vec<Node>,
    by_place: HashMap<NodeAddress, usize>,
    settings: Rc<Settings>,
    up: Vec<Link>,
    down: Vec<Link>,
    instances: Vec<Instance>,
    pub calls: Vec<Calls>,
    next_ask: u64,
    /// Which instance waits for which ask.
    asks: HashMap<u64, usize>,
    order: Option<Order>,
    version: u32,
    /// When each ordered version was in force at how many gateways, of all that were up.
    pub figures: Figures,
    rows: Vec<PhaseRow>,
    began: Micros,
    wall: ThreadTime,
    /// A configuration that is read now and then, and what that took: how fast this machine is just then.
    yard: Vec<u8>,
    yards: Vec<u64>,
    /// Processor time after which a day is given up.
    most: Duration,
    pub given_up: bool,
}

pub(crate) fn settings() -> Settings {
    let mut text =
        "NodeName = \"node\"\nIpAddress = \"10.0.0.1\"\nZone = \"z0\"\nInternalPortRange = [7620, 7635]\n\
         SeedNodes = [\"10.0.0.1:8649\"]\nHeartbeatS = 1.5\n[Zones]\n"
            .to_owned();
    for zone in 0..ZONES {
        text.push_str(&format!("z{zone} = \"r{}\"\n", region(zone)));
    }
    let table = toml::from_str(&text).expect("the world's own settings can be read");
    Settings::from_table(&table).expect("the world's own settings hold")
}

/// The region of a zone.
pub fn region(zone: usize) -> usize {
    zone * REGIONS / ZONES
}

impl World {
    /// A day of a fleet; `most` processor time, after which it is given up.
    pub fn new(size: Size, most: Duration) -> World {
        let phases = [
            (Phase::Start, size.start + size.spread),
            (Phase::Steady, size.steady),
            (Phase::Replace, size.change),
            (Phase::Modify, size.change),
            (Phase::Trial, size.trial),
            (Phase::Herd, size.herd),
        ];
        let mut end = 0;
        let phases: Vec<(Phase, Micros)> = phases
            .into_iter()
            .filter(|(_, span)| *span > 0)
            .map(|(phase, span)| {
                end += span;
                (phase, end)
            })
            .collect();
        let mut world = World {
            now: 0,
            size,
            tally: Tally::default(),
            phase: 0,
            chance: Rand64::new(u128::from(size.seed)),
            queue: Queue::default(),
            steps: 0,
            nodes: Vec::new(),
            by_place: HashMap::new(),
            settings: Rc::new(settings()),
            up: vec![Link::default(); size.machines()],
            down: vec![Link::default(); size.machines()],
            instances: Vec::new(),
            calls: vec![Calls::default(); Phase::ALL.len()],
            next_ask: 0,
            asks: HashMap::new(),
            order: None,
            version: 0,
            figures: Figures::default(),
            rows: Vec::new(),
            began: 0,
            wall: ThreadTime::now(),
            yard: crate::text::whole(1, 100, 10, 0, None),
            yards: Vec::new(),
            most,
            given_up: false,
            phases,
        };
        world.set_up();
        world
    }

    fn set_up(&mut self) {
        for at in 0..self.size.machines() {
            let place = NodeAddress(Ipv4Addr::new(10, 0, (at / 200) as u8, (at % 200) as u8 + 1));
            let zone = if at < self.size.prompters { at % ZONES } else { (at - self.size.prompters) % ZONES };
            self.by_place.insert(place, at);
            self.nodes.push(Node::new(place, zone, at < self.size.prompters));
            // The first seeds are up from the beginning, also where the rest is spread.
            let spread = if at < self.size.prompters { 300 * MS } else { self.size.spread };
            let after = self.span(0, spread);
            self.later(after, Event::Start { at });
        }
        self.add_instances();
        self.later(2 * SECOND, Event::Operator);
        for phase in 0..self.phases.len() {
            self.later(self.phases[phase].1, Event::Phase(phase));
        }
    }

    /// Plays one event; false once the day is over.
    pub fn step(&mut self) -> bool {
        let Some((at, event)) = self.queue.take() else { return false };
        if self.phase >= self.phases.len() {
            return false;
        }
        if self.steps.is_multiple_of(2_048) {
            self.take_yard();
        }
        self.steps += 1;
        if self.queue.all().is_multiple_of(4_096) && self.wall.elapsed() > self.most {
            self.given_up = true;
            self.end_phase();
            return false;
        }
        self.now = at;
        match event {
            Event::Start { at } => self.start(at),
            Event::Kill { at, back } => self.kill(at, back),
            Event::Tick { at, run, due } => self.tick(at, run, due),
            Event::Mail { to, run, from, kind, bytes } => self.mail(to, run, from, kind, &bytes),
            Event::Synced { at, run, write } => self.synced(at, run, *write),
            Event::Beat { instance, life } => self.beat(instance, life),
            Event::Operator => self.operator(),
            Event::Request { at, run } => self.request(at, run),
            Event::Answered { at, run, ticket, trip, ending } => {
                self.answered(at, run, ticket, trip, ending);
            }
            Event::Phase(number) => self.next_phase(number),
        }
        true
    }

    /// Reads a configuration of 100 routes: the unit that processor times are told in beside seconds, since this
    /// machine may be slow or busy.
    fn take_yard(&mut self) {
        let clock = ThreadTime::now();
        let read = configuration::Configuration::parse(&self.yard);
        let nanos = clock.elapsed().as_nanos() as u64;
        if read.is_ok() {
            self.yards.push(nanos);
        }
    }

    /// Where in the day it is, from 0 to 1.
    pub fn done(&self) -> f64 {
        let end = self.phases.last().map_or(1, |(_, end)| *end);
        self.now as f64 / end as f64
    }

    pub fn rows(&self) -> &[PhaseRow] {
        &self.rows
    }

    fn phase_now(&self) -> Phase {
        self.phases.get(self.phase).map_or(Phase::Herd, |(phase, _)| *phase)
    }

    fn next_phase(&mut self, number: usize) {
        debug_assert_eq!(number, self.phase);
        self.end_phase();
        self.phase = number + 1;
        self.began = self.now;
        if self.phase >= self.phases.len() {
            return;
        }
        match self.phase_now() {
            Phase::Replace | Phase::Modify => self.begin_order(),
            Phase::Trial => self.begin_trial(),
            Phase::Herd => self.herd(),
            Phase::Start | Phase::Steady => {}
        }
    }

    /// A tenth of the gateways and instances ends at once and is back a second later.
    fn herd(&mut self) {
        for at in self.size.prompters..self.size.machines() {
            if (at - self.size.prompters).is_multiple_of(10) {
                self.later(0, Event::Kill { at, back: SECOND });
            }
        }
        self.herd_instances();
    }

    fn later(&mut self, after: Micros, event: Event) {
        self.queue.put(self.now + after.max(0), event);
    }

    fn span(&mut self, from: Micros, to: Micros) -> Micros {
        if to <= from { from } else { self.chance.rand_range(from as u64..to as u64) as Micros }
    }

    fn role(&self, at: usize) -> Role {
        if at >= self.size.prompters {
            Role::Gateway
        } else if self.nodes[at].leads() {
            Role::Leader
        } else {
            Role::Follower
        }
    }

    /// Runs a step of a node, and notes its processor time and what it has come to hold.
    fn measured<T>(
        &mut self, at: usize, kind: usize, act: impl FnOnce(&mut Node, Micros) -> (T, usize),
    ) -> T {
        let role = self.role(at);
        let phase = self.phase_now();
        let now = self.now - self.nodes[at].born;
        let before = PeakAlloc.current_usage() as i64;
        PeakAlloc.reset_peak_usage();
        let clock = ThreadTime::now();
        let (out, leaves) = act(&mut self.nodes[at], now);
        let nanos = clock.elapsed().as_nanos() as u64;
        let (after, peak) = (PeakAlloc.current_usage() as i64, PeakAlloc.peak_usage() as i64);
        let node = &mut self.nodes[at];
        node.peak = node.peak.max(node.held + (peak - before).max(0));
        node.held += after - before - leaves as i64;
        node.spent.nanos += nanos;
        node.spent.worst = node.spent.worst.max(nanos);
        self.tally.cell(phase, role, false, kind).nanos += nanos;
        out
    }

    /// A word on its way: over the sender's link, the way, the receiver's link.
    fn carry(&mut self, from: usize, to: NodeAddress, kind: usize, bytes: Rc<[u8]>) {
        let Some(to) = self.by_place.get(&to).copied().filter(|to| *to != from) else { return };
        let length = bytes.len();
        let on_wire = on_wire(length);
        let (zones, phase) = ((self.nodes[from].zone, self.nodes[to].zone), self.phase_now());
        let (sender, receiver) = (self.role(from), self.role(to));
        for (role, out) in [(sender, true), (receiver, false)] {
            let cell = self.tally.cell(phase, role, out, kind);
            cell.words += 1;
            cell.bytes += length as u64;
            if region(zones.0) != region(zones.1) {
                cell.region_bytes += length as u64;
            } else if zones.0 != zones.1 {
                cell.zone_bytes += length as u64;
            }
        }
        self.nodes[from].spent.bytes_out += on_wire;
        self.nodes[to].spent.bytes_in += on_wire;
        let way = match (zones.0 == zones.1, region(zones.0) == region(zones.1)) {
            (true, _) => NEAR,
            (_, true) => ZONE,
            _ => REGION,
        };
        let way = way + self.span(0, 400);
        let takes = (on_wire as f64 * 8.0 / self.size.link) as Micros;
        let gone = self.up[from].free.max(self.now) + takes;
        self.up[from].free = gone;
        let there = (gone + way).max(self.down[to].free + takes);
        self.down[to].free = there;
        let (run, place) = (self.nodes[to].run, self.nodes[from].place);
        self.later(there - self.now, Event::Mail { to, run, from: place, kind, bytes });
    }

    fn wake(&mut self, at: usize) {
        let node = &self.nodes[at];
        let due = node.due();
        if due == Micros::MAX {
            return;
        }
        let when = due.saturating_add(node.born).max(self.now + MS / 2);
        if when >= node.tick_at {
            return;
        }
        let run = node.run;
        self.nodes[at].tick_at = when;
        let late = self.span(0, 300);
        self.later(when - self.now + late, Event::Tick { at, run, due: when });
    }

    fn tick(&mut self, at: usize, run: u64, due: Micros) {
        if self.nodes[at].run == run && self.nodes[at].tick_at == due {
            self.nodes[at].tick_at = Micros::MAX;
            self.play(at, kind::TICK, |node, now| node.tick(now));
        }
    }

    fn mail(&mut self, to: usize, run: u64, from: NodeAddress, kind: usize, bytes: &[u8]) {
        if self.nodes[to].run == run {
            self.play(to, kind, |node, now| node.mail(now, from, bytes));
        }
    }

    /// One step of a node, and all that it asks for.
    fn play(&mut self, at: usize, kind: usize, act: impl FnOnce(&mut Node, Micros) -> Vec<node::Did>) {
        if !self.nodes[at].runs() {
            return;
        }
        let did = self.measured(at, kind, |node, now| {
            let did = act(node, now);
            let leaves = did.iter().map(node::Did::heap).sum::<usize>()
                + did.capacity() * std::mem::size_of::<node::Did>();
            (did, leaves)
        });
        for what in did {
            self.carry_out(at, what);
        }
        self.in_force(at);
        self.wake(at);
    }

    fn carry_out(&mut self, at: usize, what: node::Did) {
        let run = self.nodes[at].run;
        match what {
            node::Did::Send { to, kind, bytes } => self.carry(at, to, kind, bytes.into()),
            node::Did::Write(write) => self.later(SYNC, Event::Synced { at, run, write }),
            node::Did::Tell { ask, told } => self.told(at, ask, told),
            node::Did::Trip { ticket, trip } => {
                let after = 20 * MS + self.span(0, 10 * MS);
                let ending = AttemptOutcome::Succeeded;
                self.later(after, Event::Answered { at, run, ticket, trip, ending });
            }
            node::Did::Final { ticket } => {
                self.play(at, kind::ANSWER, |node, now| node.left(now, ticket));
            }
        }
    }

    fn synced(&mut self, at: usize, run: u64, write: Write) {
        if self.nodes[at].run != run {
            return;
        }
        let no = write.id;
        self.nodes[at].land(write);
        self.play(at, kind::WRITTEN, |node, now| node.written(now, no));
    }

    fn start(&mut self, at: usize) {
        if self.nodes[at].runs() {
            return;
        }
        let (seed, life) = (self.chance.rand_u64(), self.chance.rand_u64());
        let seeds: Vec<NodeAddress> =
            self.nodes[..self.size.prompters.min(3)].iter().map(|node| node.place).collect();
        let (now, settings) = (self.now, self.settings.clone());
        self.nodes[at].begin(now);
        self.play_start(at, seeds, settings, seed, life);
        let run = self.nodes[at].run;
        let drawn = at - self.size.prompters.min(at) < self.size.drawn;
        if at >= self.size.prompters && drawn && self.size.requests > 0 {
            self.later(SECOND, Event::Request { at, run });
        }
    }

    fn play_start(
        &mut self, at: usize, seeds: Vec<NodeAddress>, settings: Rc<Settings>, seed: u64, life: u64,
    ) {
        let did = self.measured(at, kind::START, |node, _| {
            let did = node.start(at, &seeds, settings, seed, life);
            let leaves = did.iter().map(node::Did::heap).sum::<usize>()
                + did.capacity() * std::mem::size_of::<node::Did>();
            (did, leaves)
        });
        for what in did {
            self.carry_out(at, what);
        }
        self.wake(at);
    }

    fn kill(&mut self, at: usize, back: Micros) {
        self.nodes[at].end();
        self.later(back, Event::Start { at });
    }
}

/// What a word of so many bytes takes on a link, with heads.
pub fn on_wire(length: usize) -> u64 {
    let bytes = if length <= DATAGRAM_MOST {
        length + DATAGRAM_HEAD
    } else {
        length + 4 + length.div_ceil(SEGMENT) * SEGMENT_HEAD
    };
    bytes as u64
}
