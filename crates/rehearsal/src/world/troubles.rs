//! Troubles: what a scenario does to machines, links, disks, instances and operators.

use company::Part;
use props::{MS, Micros, SECOND};

use super::machine::Process;
use super::operators::Edit;
use super::{Event, World, instances};
use crate::scenario::What as Do;
use crate::seen::What;
use crate::texts;

const GRACE: Micros = 5_300 * MS;
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
            Do::Freeze { machine, span } => {
                if self.well(machine) {
                    self.machines[machine].frozen = self.now + ms(span);
                    self.harmed(machine, self.now + ms(span));
                    self.note(machine, format!("frozen for {span} ms"));
                    self.later(ms(span), Event::Thaw { at: machine });
                }
            }
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
            Do::Cut { machine, span } => {
                for other in self.all_ends() {
                    if other != Some(machine) {
                        self.cut(other, Some(machine), self.now + ms(span));
                        self.cut(Some(machine), other, self.now + ms(span));
                    }
                }
                self.harmed(machine, self.now + ms(span));
                self.note(machine, format!("cut off for {span} ms"));
            }
            Do::Mute { machine, span, deaf } => {
                for other in self.all_ends() {
                    let (from, to) = if deaf { (other, Some(machine)) } else { (Some(machine), other) };
                    if from != to {
                        self.cut(from, to, self.now + ms(span));
                    }
                }
                self.harmed(machine, self.now + ms(span));
                self.note(machine, format!("{} for {span} ms", if deaf { "deaf" } else { "mute" }));
            }
            Do::Link { from, to, span } => {
                if from != to {
                    self.cut(Some(from), Some(to), self.now + ms(span));
                    self.cut(Some(to), Some(from), self.now + ms(span));
                    self.harmed(from, self.now + ms(span));
                    self.harmed(to, self.now + ms(span));
                }
            }
            Do::Split { every, span } => self.split(every.max(2), self.now + ms(span)),
            Do::Storm { span, lost, late } => {
                self.storm = (self.now + ms(span), lost, ms(late));
                for at in 0..self.machines.len() {
                    self.harmed(at, self.now + ms(span) + ms(late));
                }
            }
            Do::Disk { machine, span, hung } => {
                let until = self.now + ms(span);
                let one = &mut self.machines[machine];
                if hung {
                    one.disk_hangs = until;
                } else {
                    one.disk_fails = until;
                }
                self.harmed(machine, until);
                self.note(machine, if hung { "disk hangs" } else { "disk is full" });
            }
            Do::SlowDisk { machine, span, by } => {
                self.machines[machine].disk_slow = (self.now + ms(span), ms(by));
                self.harmed(machine, self.now + ms(span));
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
                let service = service % texts::SERVICES;
                self.sick[service] = (self.now + ms(span), lost, error);
                self.later(ms(span), Event::Sound { service });
            }
            Do::WrongBuild { service } => {
                self.register(service % texts::SERVICES, instances::UNORDERED, None);
            }
            Do::Change => self.edit(Edit::Change),
            Do::Modify => self.edit(Edit::Modify),
            Do::Invalid { kind } => self.edit(Edit::Invalid(kind)),
            Do::Race => self.edit(Edit::Race),
            Do::Again => self.send_again(),
            Do::Rollout { service, bad, period } => self.roll_out(service % texts::SERVICES, bad, ms(period)),
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
        let living: Vec<usize> = (0..texts::SERVICES).flat_map(|service| self.living(service)).collect();
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
                self.harmed(at, self.now + 200 * MS + back);
                self.prompter_step(at, playhouse::control::In::Leave);
                self.later(200 * MS, Event::End { at, run, back });
            }
            Some(Process::Foyer(_)) => {
                self.harmed(at, self.now + GRACE + back);
                self.foyer_step(at, playhouse::floor::In::Leave);
                self.later(GRACE, Event::End { at, run, back });
            }
            None => {}
        }
    }

    /// Cuts in two, both ways; nobody counts as in touch meanwhile.
    fn split(&mut self, every: usize, until: Micros) {
        for one in 0..self.machines.len() {
            for other in 0..self.machines.len() {
                if (one % every == 0) != (other % every == 0) {
                    self.cut(Some(one), Some(other), until);
                }
            }
            self.harmed(one, until);
        }
    }

    fn replace(&mut self, at: usize, back: Micros) {
        if self.machines[at].gone || self.machines[at].part != Part::Prompter {
            return;
        }
        self.down(at, true, true, None);
        self.machines[at].gone = true;
        let new = self.add_machine(true);
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
                    self.prompter_step(at, playhouse::control::In::Seeds { places });
                }
                Some(Process::Foyer(_)) => self.foyer_step(at, playhouse::floor::In::Seeds { places }),
                None => {}
            }
        }
    }
}
