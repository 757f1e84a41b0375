//! Machines: what stays when a process ends (the disk, the address), and how processes begin and end.

use std::collections::VecDeque;
use std::fmt::Write as _;
use std::net::Ipv4Addr;

use consensus::Write;
use membership::{Member, Role};
use playhouse::node::NodeCore;
use playhouse::settings::{Settings, seconds_to_micros};
use transport::{Fault, MemoryStore};
use types::{Carrier, MS, Micros, NodeAddress, RunId, SECOND};

use super::foyer::FoyerProc;
use super::prompter::PrompterProc;
use super::{Event, World};
use crate::plant::Planted;
use crate::rules::Terms;
use crate::scenario::Scenario;
use crate::seen::What;

/// Lines that a ring holds.
const RING: usize = 24;
/// Events that wait at a frozen machine.
const HELD: usize = 2048;

pub(crate) enum Process {
    Prompter(Box<PrompterProc>),
    Foyer(Box<FoyerProc>),
}

pub(crate) struct Machine {
    pub place: NodeAddress,
    pub part: Role,
    pub zone: usize,
    pub store: MemoryStore,
    pub process: Option<Process>,
    /// Numbers the processes here, so that what was meant for an earlier one is dropped.
    pub run: u64,
    pub born: Micros,
    pub powered: bool,
    pub gone: bool,
    /// It is told to end and takes no new clients.
    pub closing: bool,
    pub ends_back: Micros,
    pub first: bool,
    pub frozen: Micros,
    pub held: VecDeque<Event>,
    /// Until when, and by how much, all is late.
    pub slow: (Micros, Micros),
    pub disk_fails: Micros,
    pub disk_hangs: Micros,
    pub disk_slow: (Micros, Micros),
    /// Of the last process here: the planted old seat.
    pub seat_life: Option<RunId>,
    pub under_way: Option<Write>,
    /// Its disk is not the one of the day's start.
    pub new_disk: bool,
    /// Its disk has had the entry by which it was let in: for a planted fault.
    pub let_in: bool,
    /// The newest state that was kept on its disk, and the one before.
    pub kept: Option<Vec<u8>>,
    pub kept_before: Option<Vec<u8>>,
    /// Until when its links are narrow, their bytes a second, and when they have carried what was given to them.
    pub narrow: (Micros, u64, Micros),
    /// Until when its links are full, and how many of a thousand datagrams to it and from it are lost.
    pub full: (Micros, u32, u32),
    /// The tick that counts.
    pub tick_at: Micros,
    ring: VecDeque<(Micros, String)>,
}

impl Machine {
    pub fn note(&mut self, now: Micros, line: String) {
        if self.ring.len() == RING {
            self.ring.pop_front();
        }
        self.ring.push_back((now, line));
    }

    pub fn ring_text(&self, at: usize) -> String {
        let mut text = format!("machine {at} {} ({:?})\n", self.place, self.part);
        for (when, line) in &self.ring {
            let _ = writeln!(text, "  {:9.3} {line}", *when as f64 / 1e6);
        }
        text
    }
}

/// The settings that all processes get; only the zone differs.
pub(crate) fn settings(scenario: &Scenario, terms: &Terms, planted: Option<Planted>) -> Settings {
    let mut zones = String::new();
    for zone in 0..scenario.zones {
        let _ = writeln!(zones, "z{zone} = \"r{}\"", scenario.site.region(zone));
    }
    let ratio = if planted == Some(Planted::WholeBudget) { 50.0 } else { terms.retry_ratio };
    let slack = if planted == Some(Planted::WholeBudget) { 1e6 } else { terms.retry_slack };
    let share = if planted == Some(Planted::NoCap) { 1.0 } else { terms.exposure_share };
    let text = format!(
        "NodeName = \"node\"\nIpAddress = \"10.0.0.1\"\nZone = \"z0\"\nInternalPortRange = [7620, 7635]\n\
         SeedNodes = [\"10.0.0.1:8649\"]\nHeartbeatS = {}\n[Zones]\n{zones}[TimerBounds]\n\
         ContactS = {}\nAckS = {}\nGraceS = {}\nDrainS = {}\nConfigApplyS = {}\nRetryBudgetRatio = {ratio}\nRetryWindowS = {}\n\
         RetryBudgetSlack = {slack}\nExposureShare = {share}\nExposureSlack = {}\nRollbackS = {}\n",
        scenario.site.beat as f64 / 1e3,
        terms.contact as f64 / 1e6,
        terms.ack as f64 / 1e6,
        terms.grace as f64 / 1e6,
        terms.drain as f64 / 1e6,
        terms.apply as f64 / 1e6,
        terms.retry_window as f64 / 1e6,
        terms.exposure_slack,
        terms.rollback as f64 / 1e6,
    );
    let table = toml::from_str(&text).expect("the world's own settings can be read");
    Settings::from_table(&table).expect("the world's own settings hold")
}

impl World {
    /// Puts up a machine, without a process.
    pub(crate) fn add_machine(&mut self, core: bool, zone: usize) -> usize {
        let at = self.machines.len();
        let place = NodeAddress(Ipv4Addr::new(10, 0, (at / 200) as u8, (at % 200) as u8 + 1));
        self.machines.push(Machine {
            place,
            part: if core { Role::ControlNode } else { Role::Gateway },
            zone,
            closing: false,
            ends_back: 0,
            store: MemoryStore::default(),
            process: None,
            run: 0,
            born: 0,
            powered: true,
            gone: false,
            first: self.now == 0,
            frozen: 0,
            held: VecDeque::new(),
            slow: (0, 0),
            disk_fails: 0,
            disk_hangs: 0,
            disk_slow: (0, 0),
            seat_life: None,
            under_way: None,
            new_disk: self.now > 0,
            let_in: false,
            kept: None,
            kept_before: None,
            narrow: (0, 0, 0),
            full: (0, 0, 0),
            tick_at: Micros::MAX,
            ring: VecDeque::new(),
        });
        for row in &mut self.cuts {
            row.push(0);
        }
        self.cuts.push(vec![0; self.machines.len() + 1]);
        at
    }

    pub(crate) fn note(&mut self, at: usize, line: impl Into<String>) {
        let now = self.now;
        self.machines[at].note(now, line.into());
    }

    pub(crate) fn slowness(&mut self, at: usize) -> Micros {
        let (until, by) = self.machines[at].slow;
        if self.now < until { self.span(0, by) } else { 0 }
    }

    /// What a frozen machine would get waits there.
    pub(crate) fn held_up(&mut self, event: Event) -> Option<Event> {
        let at = match &event {
            Event::Tick { at, .. }
            | Event::Synced { at, .. }
            | Event::Call { at, .. }
            | Event::Knock { at, .. }
            | Event::ClientGone { at, .. }
            | Event::End { at, .. } => *at,
            Event::Mail { to, .. } => *to,
            Event::TripEnded { trip, .. } => self.trips[*trip].foyer,
            _ => return Some(event),
        };
        let machine = &mut self.machines[at];
        if self.now >= machine.frozen || machine.process.is_none() {
            return Some(event);
        }
        if machine.held.len() < HELD {
            machine.held.push_back(event);
        }
        None
    }

    pub(crate) fn thaw(&mut self, at: usize) {
        if self.now < self.machines[at].frozen {
            return;
        }
        self.note(at, "thawed");
        for event in std::mem::take(&mut self.machines[at].held) {
            self.later(0, event);
        }
    }

    /// The time on the process's own steady clock.
    pub(crate) fn clock(&self, at: usize) -> Micros {
        self.now - self.machines[at].born
    }

    pub(crate) fn start(&mut self, at: usize, alone: bool) {
        let machine = &mut self.machines[at];
        if machine.gone || machine.process.is_some() {
            return;
        }
        machine.run += 1;
        machine.born = self.now;
        machine.powered = true;
        machine.tick_at = Micros::MAX;
        machine.held.clear();
        machine.frozen = 0;
        machine.closing = false;
        let first = std::mem::take(&mut machine.first);
        if !alone && self.now > SECOND {
            // The machine runs again, and the core settles from here on.
            self.saw(What::Harmed { machine: at, until: self.now });
            self.settles(at);
        }
        self.note(at, "starts");
        match self.machines[at].part {
            Role::ControlNode => self.start_prompter(at, first),
            Role::Gateway => self.start_foyer(at),
        }
    }

    pub(crate) fn house(&mut self, at: usize, life: RunId) -> NodeCore {
        let seeds: Vec<NodeAddress> = self.seeds.iter().map(|at| self.machines[*at].place).collect();
        let seed = self.chance.rand_u64();
        let beat = seconds_to_micros(self.settings.heartbeat_s);
        let machine = &self.machines[at];
        let member = Member {
            address: machine.place,
            run_id: life,
            role: machine.part,
            zone: format!("z{}", machine.zone),
            name: format!("m{at}"),
            version: types::NodeVersion::CURRENT,
        };
        NodeCore::start(member, seeds, beat, seed, 0)
    }

    /// The process ends at once. `power`: what is not on disk is gone, now and then what was under way too.
    pub(crate) fn down(&mut self, at: usize, power: bool, wiped: bool, back: Option<Micros>) {
        if self.machines[at].gone {
            return;
        }
        self.saw(What::Harmed { machine: at, until: self.now + back.unwrap_or(0) });
        if self.machines[at].part == Role::ControlNode {
            // The rest of the core goes on; the start is an event of its own.
            self.saw(What::Unsettled { until: self.now });
            let missed = if wiped { self.terms.catch_up } else { 0 };
            self.saw(What::Impaired { machine: at, until: self.now + back.unwrap_or(0) + missed });
        }
        let what = match (power, wiped) {
            (_, true) => "loses its disk",
            (true, _) => "loses power",
            _ => "is killed",
        };
        self.note(at, what);
        self.stop_process(at, power);
        if wiped {
            self.machines[at].store = MemoryStore::default();
            (self.machines[at].new_disk, self.machines[at].let_in) = (true, false);
        }
        if let Some(back) = back {
            self.later(back, Event::Start { at, alone: false });
        }
    }

    pub(crate) fn stop_process(&mut self, at: usize, power: bool) {
        let lands = !power || self.odds(333);
        let machine = &mut self.machines[at];
        machine.run += 1;
        machine.powered = !power;
        machine.tick_at = Micros::MAX;
        machine.held.clear();
        machine.frozen = 0;
        let under_way = machine.under_way.take().filter(|_| lands && machine.disk_fails <= self.now);
        let process = machine.process.take();
        let under_way = under_way.map(|write| self.landing(at, &write));
        match process {
            Some(Process::Prompter(mut process)) => {
                if let Some(write) = under_way {
                    // A write that was handed over may get to the disk without its process.
                    let _ = process.ledger.write(&write);
                }
                if power {
                    self.machines[at].store.lose_power();
                }
                self.calls_closed(process.waiting(), power);
            }
            Some(Process::Foyer(process)) => self.foyer_gone(at, *process, power),
            None => {}
        }
    }

    /// After SIGTERM and the grace.
    pub(crate) fn ends(&mut self, at: usize, run: u64, back: Micros) {
        if self.machines[at].run == run && self.machines[at].process.is_some() {
            self.ends_in_order(at, back);
        }
    }

    pub(crate) fn tick(&mut self, at: usize, run: u64, due: Micros) {
        let machine = &mut self.machines[at];
        if machine.run != run || machine.tick_at != due {
            return;
        }
        machine.tick_at = Micros::MAX;
        match machine.process {
            Some(Process::Prompter(_)) => self.prompter_step(at, playhouse::control_plane::Input::Tick),
            Some(Process::Foyer(_)) => self.foyer_step(at, playhouse::data_plane::Input::Tick),
            None => {}
        }
    }

    /// Sets the next wake-up, if it is sooner than the one that is set.
    pub(crate) fn wake(&mut self, at: usize, due: Micros) {
        let machine = &self.machines[at];
        let (run, born) = (machine.run, machine.born);
        let when = due.saturating_add(born).max(self.now + MS / 2);
        if when >= self.machines[at].tick_at || due == Micros::MAX {
            return;
        }
        self.machines[at].tick_at = when;
        let late = self.span(0, 300) + self.slowness(at);
        self.later(when - self.now + late, Event::Tick { at, run, due: when });
    }

    pub(crate) fn mail(&mut self, to: usize, from: NodeAddress, bytes: &[u8], carrier: Carrier) {
        match self.machines[to].process {
            Some(Process::Prompter(_)) => {
                self.prompter_step(
                    to,
                    playhouse::control_plane::Input::Received { from, bytes: bytes.to_vec(), carrier },
                );
            }
            Some(Process::Foyer(_)) => {
                self.foyer_step(to, playhouse::data_plane::Input::MessageReceived { from, bytes, carrier })
            }
            None => {}
        }
    }

    /// Trouble at a machine: noted for those who ask whether it was in touch.
    pub(crate) fn harmed(&mut self, at: usize, until: Micros) {
        self.saw(What::Harmed { machine: at, until });
        if self.machines[at].part == Role::ControlNode {
            self.saw(What::Unsettled { until });
        }
    }

    /// A core machine stands still or is cut off: the core is unsettled as this begins and ends, and in between
    /// if most are so.
    pub(crate) fn impaired(&mut self, at: usize, until: Micros) {
        self.saw(What::Harmed { machine: at, until });
        if self.machines[at].part == Role::ControlNode {
            self.saw(What::Impaired { machine: at, until });
            self.saw(What::Unsettled { until: self.now });
            self.later(until - self.now, Event::Settles { at });
        }
    }

    pub(crate) fn settles(&mut self, at: usize) {
        if self.machines[at].part == Role::ControlNode {
            self.saw(What::Unsettled { until: self.now });
        }
    }

    /// The end of a process that was told to end; its machine was noted as leaving then.
    fn ends_in_order(&mut self, at: usize, back: Micros) {
        let now = self.now;
        if self.machines[at].part == Role::ControlNode {
            self.saw(What::Unsettled { until: now });
            self.saw(What::Impaired { machine: at, until: now + back });
        }
        self.note(at, "ends");
        self.stop_process(at, false);
        self.later(back, Event::Start { at, alone: false });
    }

    pub(crate) fn disk_fault(&mut self, at: usize) {
        let fails = self.now < self.machines[at].disk_fails;
        let fault = match (fails, self.now % 2 == 0) {
            (true, true) => Fault::Refuse,
            (true, false) => Fault::Unsynced,
            _ => Fault::None,
        };
        self.machines[at].store.set_fault(fault);
    }
}
