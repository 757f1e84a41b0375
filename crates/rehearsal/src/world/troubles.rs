//! Troubles: what a scenario does to machines, links, disks, instances and operators.

use membership::Role;
use types::{MS, Micros, SECOND};

use super::machine::Process;
use super::operators::Edit;
use super::{Event, World, instances};
use crate::scenario::{Harm, Way, What as Do};
use crate::seen::What;

/// A process that is told to end has gone so long before its grace is over, and takes clients for so long.
const END_BEFORE: Micros = 700 * MS;
const STILL_COMING: Micros = 2_600 * MS;
/// A core machine that is told to end for good has gone after this.
const RETIRES: Micros = 1_500 * MS;
/// Callers learn so late which machines serve control.
const SEED_LAG: Micros = 3 * SECOND;

impl World {
    pub(crate) fn trouble(&mut self, number: usize) {
        let what = self.scenario.troubles[number].what.clone();
        let ms = |span: u64| span as Micros * MS;
        match what {
            Do::Kill { machine, back } => self.down(machine, false, false, Some(ms(back))),
            Do::Power { machine, back } => self.down(machine, true, false, Some(ms(back))),
            Do::Wipe { machine, back } => self.down(machine, true, true, Some(ms(back))),
            Do::Stop { machine, back } => self.stop(machine, ms(back)),
            Do::Freeze { machine, span } => self.freeze(machine, ms(span)),
            Do::Slow { machine, span, by } => {
                self.machines[machine].slow = (self.now + ms(span), ms(by));
                self.harmed(machine, self.now + ms(span) + ms(by));
            }
            Do::Replace { machine, back } => self.replace(machine, ms(back)),
            Do::HerdCore { power, back } => {
                for at in self.core() {
                    self.herd(at, power, ms(back));
                }
            }
            Do::HerdAll { power, back } => {
                for at in self.core().into_iter().chain(self.foyers()) {
                    self.herd(at, power, ms(back));
                }
            }
            Do::AfterAckAll { wiped, back } => self.doom(true, wiped, ms(back)),
            Do::AfterAck { wiped, back } => self.doom(false, wiped, ms(back)),
            Do::AfterVote { span, back } => self.after_vote = (self.now + ms(span), ms(back)),
            Do::Cut { machine, span } => {
                self.silenced(machine, true, true, self.now + ms(span));
            }
            Do::Mute { machine, span, deaf } => {
                self.silenced(machine, deaf, !deaf, self.now + ms(span));
            }
            Do::Link { from, to, span } => {
                self.link(from, to, self.now + ms(span));
                self.link(to, from, self.now + ms(span));
            }
            Do::OneWay { from, to, span } => self.link(from, to, self.now + ms(span)),
            Do::Split { every, span } => {
                let every = every.max(2);
                self.split(|_, one| one % every == 0, self.now + ms(span));
            }
            Do::Zone { zone, span } => {
                self.split(|world, one| world.machines[one].zone == zone, self.now + ms(span));
            }
            Do::Region { region, span } => {
                let there = |world: &World, one: usize| {
                    world.scenario.site.region(world.machines[one].zone) == region
                };
                self.split(there, self.now + ms(span));
            }
            Do::Leader { how, span } => self.leader_harmed(how, ms(span)),
            Do::Storm { span, lost, late } => {
                self.saw(What::Links { until: self.now + ms(span) + ms(late) });
                self.storm = (self.now + ms(span), lost, ms(late));
                for at in 0..self.machines.len() {
                    self.harmed(at, self.now + ms(span) + ms(late));
                }
            }
            Do::Disk { machine, span, hung } => {
                self.disk_trouble(machine, self.now + ms(span), hung);
            }
            Do::SlowDisk { machine, span, by } => {
                self.machines[machine].disk_slow = (self.now + ms(span), ms(by));
                self.saw(What::Harmed { machine, until: self.now + ms(span) });
            }
            Do::Seeds { shift } => self.turn_seeds(shift),
            Do::Crash { instance } => {
                if let Some(instance) = self.some_instance(instance) {
                    self.crash(instance);
                }
            }
            Do::Drain { instance } => {
                if let Some(instance) = self.some_instance(instance) {
                    self.drain(instance);
                }
            }
            Do::Sick { service, span, lost, error } => {
                let service = service % self.scenario.site.services;
                self.sick[service] = (self.now + ms(span), lost, error);
                self.later(ms(span), Event::Sound { service });
            }
            Do::WrongBuild { service } => {
                // Where nobody else has registered yet, it would be the first version, which nobody orders.
                let service = service % self.scenario.site.services;
                if !self.living(service).is_empty() {
                    self.register(service, instances::UNORDERED, None);
                }
            }
            Do::Odd { instance, span, how } => {
                if let Some(instance) = self.some_instance(instance) {
                    self.odd(instance, self.now + ms(span), how);
                }
            }
            Do::Crowd { service, count } => {
                let service = service % self.scenario.site.services;
                let version = self.office.versions.get(service).copied().unwrap_or(1);
                for _ in 0..count {
                    let after = self.span(0, 200 * MS);
                    self.later(after, Event::Register { service, version, address: None });
                }
            }
            Do::Reuse { instance } => {
                if let Some(instance) = self.some_instance(instance) {
                    self.reuse(instance);
                }
            }
            Do::Burst { span, times } => self.burst = (self.now + ms(span), times),
            Do::Eager { span } => self.eager = self.now + ms(span),
            Do::Change => self.edit(Edit::Change),
            Do::Modify => self.edit(Edit::Modify),
            Do::Invalid { kind } => self.edit(Edit::Invalid(kind)),
            Do::Race => self.edit(Edit::Race),
            Do::Again => self.send_again(),
            Do::AgainOld { back } => self.send_old_again(back),
            Do::Rivals { count } => self.edit(Edit::Rivals(count)),
            Do::RolloutAgain { back } => self.roll_out_again(back),
            Do::AckLost { span, share } => self.ack_lost = (self.now + ms(span), share),
            Do::CoreCut { machine, span, how } => self.apart(machine, how, self.now + ms(span)),
            Do::Island { core, foyer, span } => {
                let foyer = self.scenario.prompters + foyer % self.scenario.foyers;
                self.split(|_, one| one == core || one == foyer, self.now + ms(span));
            }
            Do::Planned { machine, after } => self.replace_in_order(machine, ms(after)),
            Do::Linger { span } => self.linger = self.now + ms(span),
            Do::FullLink { foyer, span, inward, outward } => {
                let at = self.scenario.prompters + foyer % self.scenario.foyers;
                self.machines[at].full = (self.now + ms(span), inward, outward);
            }
            Do::Narrow { machine, span, kbit } => {
                self.machines[machine].narrow = (self.now + ms(span), kbit * 125, 0);
                self.saw(What::Links { until: self.now + ms(span) });
                self.harmed(machine, self.now + ms(span));
            }
            Do::Rollout { service, bad, period } => {
                self.roll_out(service % self.scenario.site.services, bad, ms(period));
            }
        }
    }

    /// Whoever acknowledges a configuration within a second and a half.
    fn doom(&mut self, all: bool, wiped: bool, back: Micros) {
        self.after_ack.push((self.now + 1_500 * MS, all, wiped, back));
    }

    fn well(&self, at: usize) -> bool {
        self.machines[at].process.is_some() && !self.machines[at].gone && self.now >= self.machines[at].frozen
    }

    fn all_ends(&self) -> Vec<Option<usize>> {
        std::iter::once(None).chain((0..self.machines.len()).map(Some)).collect()
    }

    fn herd(&mut self, at: usize, power: bool, back: Micros) {
        let back = back + self.span(0, 300 * MS);
        self.down(at, power, false, Some(back));
    }

    /// Of those that live, one.
    fn some_instance(&self, number: usize) -> Option<usize> {
        let living: Vec<usize> =
            (0..self.scenario.site.services).flat_map(|service| self.living(service)).collect();
        living.get(number % living.len().max(1)).copied()
    }

    /// SIGTERM: it says that it leaves, and ends after the grace.
    fn stop(&mut self, at: usize, back: Micros) {
        if !self.well(at) {
            return;
        }
        let run = self.machines[at].run;
        self.note(at, "is told to end");
        match self.machines[at].process {
            Some(Process::Prompter(_)) => {
                self.saw(What::Planned { machine: at, until: self.now + 200 * MS + back });
                self.settles(at);
                self.prompter_step(at, playhouse::control_plane::Input::Leave);
                self.later(200 * MS, Event::End { at, run, back });
            }
            Some(Process::Foyer(_)) => {
                let grace = self.terms.grace - END_BEFORE;
                self.saw(What::Planned { machine: at, until: self.now + grace + back });
                self.foyer_step(at, playhouse::data_plane::Input::Leave);
                self.machines[at].ends_back = back;
                self.later(STILL_COMING, Event::Close { at, run });
                self.later(grace, Event::End { at, run, back });
            }
            None => {}
        }
    }

    /// Cuts those that are `apart` from all others, both ways. Whoever is with most of the core has a path to all
    /// that counts, and is in touch.
    fn split(&mut self, apart: impl Fn(&World, usize) -> bool, until: Micros) {
        let side: Vec<bool> = (0..self.machines.len()).map(|one| apart(self, one)).collect();
        if side.iter().all(|apart| *apart == side[0]) {
            return;
        }
        self.saw(What::Links { until });
        let there = self.core().into_iter().filter(|at| side[*at]).count();
        let (all, size) = (self.core().len(), self.scenario.prompters);
        let (most_apart, most_others) = (there * 2 > size, (all - there) * 2 > size);
        for (one, apart) in side.iter().enumerate() {
            for (other, there) in side.iter().enumerate() {
                if apart != there {
                    self.cut(Some(one), Some(other), until);
                }
            }
            if !(if *apart { most_apart } else { most_others }) {
                self.impaired(one, until);
                self.note(one, "cut off with others");
            } else {
                self.settles(one);
            }
        }
    }

    /// One direction between two machines. Foyers that lose a core machine that reaches the others are not in
    /// touch; between two foyers nothing is lost that a rule names.
    fn link(&mut self, from: usize, to: usize, until: Micros) {
        let most = self.machines.len();
        let (from, to) = (from % most, to % most);
        if from == to {
            return;
        }
        self.cut(Some(from), Some(to), until);
        self.saw(What::Links { until });
        let core = |at: usize| self.machines[at].part == Role::ControlNode;
        match (core(from), core(to)) {
            (true, true) => {
                self.impaired(from, until);
                self.impaired(to, until);
            }
            (true, false) => self.harmed(to, until),
            (false, true) => self.harmed(from, until),
            (false, false) => {}
        }
    }

    /// A machine hears nothing, or says nothing.
    fn silenced(&mut self, machine: usize, deaf: bool, mute: bool, until: Micros) {
        for other in self.all_ends() {
            if other == Some(machine) {
                continue;
            }
            if deaf {
                self.cut(other, Some(machine), until);
            }
            if mute {
                self.cut(Some(machine), other, until);
            }
        }
        self.saw(What::Links { until });
        self.impaired(machine, until);
        let how = match (deaf, mute) {
            (true, true) => "cut off",
            (true, _) => "deaf",
            _ => "mute",
        };
        let span = (until - self.now) / MS;
        self.note(machine, format!("{how} for {span} ms"));
    }

    /// A core machine is cut off from the others of the core; foyers, instances and operators reach it.
    fn apart(&mut self, at: usize, how: Way, until: Micros) {
        for other in self.core() {
            if other == at {
                continue;
            }
            if how != Way::Out {
                self.cut(Some(other), Some(at), until);
            }
            if how != Way::In {
                self.cut(Some(at), Some(other), until);
            }
        }
        self.saw(What::Links { until });
        self.impaired(at, until);
        self.note(at, format!("cut off from the core ({how:?}) for {} ms", (until - self.now) / MS));
    }

    /// Another core machine comes, and then this one is told to end.
    fn replace_in_order(&mut self, at: usize, after: Micros) {
        if self.machines[at].gone || self.machines[at].part != Role::ControlNode {
            return;
        }
        let zone = self.machines[at].zone;
        let new = self.add_machine(true, zone);
        self.saw(What::Impaired { machine: new, until: self.now + self.terms.catch_up });
        self.saw(What::Harmed { machine: new, until: self.now });
        self.later(0, Event::Start { at: new, alone: false });
        let swap = |list: &[usize]| list.iter().map(|one| if *one == at { new } else { *one }).collect();
        let listed: Vec<usize> = swap(&self.listed);
        self.seeds = swap(&self.seeds);
        self.later(SEED_LAG, Event::List { core: listed });
        self.later(after, Event::Retire { at });
    }

    pub(crate) fn retire(&mut self, at: usize) {
        if !self.well(at) {
            return self.retired(at);
        }
        self.note(at, "is told to end for good");
        self.saw(What::Planned { machine: at, until: self.now + RETIRES });
        self.settles(at);
        self.prompter_step(at, playhouse::control_plane::Input::Leave);
        self.later(RETIRES, Event::Retired { at });
    }

    pub(crate) fn retired(&mut self, at: usize) {
        self.down(at, false, false, None);
        self.machines[at].gone = true;
    }

    /// Not a trouble of the core, as the rules have it: only the machine itself is not in touch.
    fn disk_trouble(&mut self, at: usize, until: Micros, hung: bool) {
        let one = &mut self.machines[at];
        if hung {
            one.disk_hangs = until;
        } else {
            one.disk_fails = until;
        }
        self.saw(What::Harmed { machine: at, until });
        if self.machines[at].part == Role::ControlNode {
            // Nothing is ordered by it meanwhile: beside another lost one it is one more than is borne.
            self.saw(What::Impaired { machine: at, until });
        }
        self.note(at, if hung { "disk hangs" } else { "disk is full" });
    }

    /// Whoever leads in the newest term; nobody, if no one does.
    fn leader_harmed(&mut self, how: Harm, span: Micros) {
        let leads = |at: &usize| match &self.machines[*at].process {
            Some(Process::Prompter(process)) if process.control.raft().is_leader() => {
                Some((process.control.raft().term(), *at))
            }
            _ => None,
        };
        let Some((_, at)) = (0..self.machines.len()).filter_map(|at| leads(&at)).max() else { return };
        let until = self.now + span;
        match how {
            Harm::Killed => self.down(at, false, false, Some(span)),
            Harm::Dark => self.down(at, true, false, Some(span)),
            Harm::Frozen => self.freeze(at, span),
            Harm::Cut => self.silenced(at, true, true, until),
            Harm::Mute => self.silenced(at, false, true, until),
            Harm::Deaf => self.silenced(at, true, false, until),
            Harm::DiskFull => self.disk_trouble(at, until, false),
            Harm::DiskHung => self.disk_trouble(at, until, true),
            Harm::Apart => self.apart(at, Way::Both, until),
        }
    }

    fn freeze(&mut self, at: usize, span: Micros) {
        if self.well(at) {
            self.machines[at].frozen = self.now + span;
            self.impaired(at, self.now + span);
            self.note(at, format!("frozen for {} ms", span / MS));
            self.later(span, Event::Thaw { at });
        }
    }

    fn replace(&mut self, at: usize, back: Micros) {
        if self.machines[at].gone || self.machines[at].part != Role::ControlNode {
            return;
        }
        self.down(at, true, true, None);
        self.machines[at].gone = true;
        let zone = if self.scenario.site.usual() {
            self.machines.len() % self.scenario.zones.max(1)
        } else {
            self.machines[at].zone
        };
        let new = self.add_machine(true, zone);
        self.saw(What::Impaired { machine: new, until: self.now + back });
        self.saw(What::Harmed { machine: new, until: self.now + back });
        self.later(back, Event::Start { at: new, alone: false });
        let swap = |list: &[usize]| list.iter().map(|one| if *one == at { new } else { *one }).collect();
        let listed: Vec<usize> = swap(&self.listed);
        self.seeds = swap(&self.seeds);
        self.later(SEED_LAG, Event::List { core: listed });
    }

    fn turn_seeds(&mut self, shift: usize) {
        let core = self.core();
        self.seeds = (0..core.len().min(3)).map(|at| core[(at + shift) % core.len()]).collect();
        for at in 0..self.machines.len() {
            let places = self.seeds.iter().map(|seed| self.place_of(*seed)).collect();
            match self.machines[at].process {
                Some(Process::Prompter(_)) => {
                    self.prompter_step(at, playhouse::control_plane::Input::Seeds { addresses: places });
                }
                Some(Process::Foyer(_)) => {
                    self.foyer_step(at, playhouse::data_plane::Input::SeedsChanged { seeds: places })
                }
                None => {}
            }
        }
    }
}
