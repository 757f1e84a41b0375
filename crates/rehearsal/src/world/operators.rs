//! Operators (stand-ins), and the way of all who call control: one prompter after the other, sent on twice at
//! most, a second of silence and on to the next.

use std::rc::Rc;
use std::sync::Arc;

use configuration::Configuration;
use control_state::{Command, RolloutState};
use registry::{Heartbeat, InstanceId};
use simd_json::OwnedValue;
use types::{ConfigVersion, MS, Micros, NodeAddress, SECOND};

use super::instances::Bad;
use super::machine::Process;
use super::{Event, World};
use crate::plant::Planted;
use crate::seen::What;
use crate::texts;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Who {
    Task(usize),
    Instance(usize),
}

/// One try of one caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Caller {
    pub who: Who,
    pub no: u64,
}

#[derive(Clone, Debug)]
pub(crate) enum Call {
    Order(Command),
    Read,
    Rollout(String),
    Beat(Heartbeat),
    Detach(InstanceId),
}

#[derive(Clone, Debug)]
pub(crate) enum Reply {
    Status(u16),
    SentOn(NodeAddress),
    Closed,
    Silence,
    Configuration(Option<Arc<Configuration>>),
    Rollout(Option<(RolloutState, String)>),
    Taken(Option<NodeAddress>),
}

/// What is to be sent once it is known which version is in force.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Edit {
    Change,
    Modify,
    Invalid(u32),
    Race,
    Rivals(usize),
    /// Again and again until one is taken.
    Progress,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Purpose {
    Edit(Edit),
    Order {
        order: u32,
        progress: bool,
    },
    /// The same call once more, after its acknowledgement.
    Repeat {
        order: u32,
    },
    Rollout {
        rollout: usize,
    },
    Watch {
        rollout: usize,
    },
    ReadBack,
    RolloutBack {
        rollout: usize,
    },
    /// A roll-out's order once more, and a look at what came of that.
    RolloutRepeat {
        rollout: usize,
    },
    Look {
        rollout: usize,
    },
}

pub(crate) struct Task {
    call: Rc<Call>,
    purpose: Purpose,
    /// The try that is waited for; 0: none.
    no: u64,
    began: Micros,
    until: Micros,
    pause: Micros,
    hops: u32,
    odd: u32,
    at: usize,
    over: bool,
}

struct Order {
    base: u32,
    version: u32,
    valid: bool,
    command: Command,
    /// What must be read back.
    expected: Option<OwnedValue>,
    acked: bool,
    /// The added routes that it has.
    added: Vec<usize>,
}

struct Ordered {
    service: usize,
    version: u32,
    old: u32,
    period: Micros,
    acked: bool,
    ended: Option<bool>,
    refused: bool,
}

/// What the operators know.
#[derive(Default)]
pub(crate) struct Office {
    orders: Vec<Order>,
    rollouts: Vec<Ordered>,
    last_version: u32,
    /// The version in service of each service, by its number.
    pub versions: Vec<u32>,
    pub bad: Bad,
    next_service_version: u32,
    read_back: bool,
}

const FIRST_PAUSE: Micros = 50 * MS;
const LONGEST_PAUSE: Micros = 500 * MS;

impl World {
    pub(crate) fn call(&mut self, at: usize, caller: Caller, call: Rc<Call>) {
        if self.passes(None, Some(at)) {
            let way = self.way(at);
            self.later(way, Event::Call { at, caller, call });
        }
        self.later(SECOND, Event::Silence { caller });
    }

    /// One of those that serve control, as callers know them.
    pub(crate) fn listed_one(&mut self) -> usize {
        let number = self.pick(self.listed.len());
        self.listed[number]
    }

    fn task(&mut self, call: Call, purpose: Purpose, span: Micros) {
        let at = self.listed_one();
        let number = self.tasks.len();
        self.tasks.push(Task {
            call: Rc::new(call),
            purpose,
            no: 0,
            began: self.now,
            until: self.now.saturating_add(span),
            pause: FIRST_PAUSE,
            hops: 0,
            odd: 0,
            at,
            over: false,
        });
        self.send_task(number);
    }

    fn send_task(&mut self, number: usize) {
        self.next_try += 1;
        let task = &mut self.tasks[number];
        task.no = self.next_try;
        let (at, call) = (task.at, task.call.clone());
        self.call(at, Caller { who: Who::Task(number), no: self.next_try }, call);
    }

    pub(crate) fn try_again(&mut self, number: usize, no: u64) {
        if self.tasks[number].over || self.tasks[number].no != no {
            return;
        }
        let before = self.tasks[number].at;
        let mut at = self.listed_one();
        if self.now < self.ack_lost.0 && at == before && self.listed.len() > 1 {
            // To other machines first.
            let place = self.listed.iter().position(|one| *one == at).unwrap_or(0);
            at = self.listed[(place + 1) % self.listed.len()];
        }
        self.tasks[number].at = at;
        self.tasks[number].hops = 0;
        self.send_task(number);
    }

    /// Whether an acknowledgement to an operator is lost on its way.
    pub(crate) fn ack_is_lost(&mut self, caller: Caller, reply: &Reply) -> bool {
        let (until, share) = self.ack_lost;
        let Who::Task(number) = caller.who else { return false };
        let order = matches!(self.tasks[number].purpose, Purpose::Order { .. } | Purpose::Rollout { .. });
        let lost = self.now < until && order && matches!(reply, Reply::Status(200)) && self.odds(share);
        if lost {
            self.calls.remove(&(caller.who, caller.no));
        }
        lost
    }

    /// Whether a caller repeats a change since which two others have come into force here.
    pub(crate) fn is_old(&self, at: usize, caller: Caller) -> bool {
        let here = match &self.machines[at].process {
            Some(Process::Prompter(process)) => process.control.node.state.configuration_version().0,
            _ => 0,
        };
        let Who::Task(number) = caller.who else { return false };
        let (Purpose::Order { order, .. } | Purpose::Repeat { order }) = self.tasks[number].purpose else {
            return false;
        };
        let version = self.office.orders[order as usize].version;
        let later = |one: &&Order| one.acked && one.version > version && one.version <= here;
        self.office.orders.iter().filter(later).count() >= 2
    }

    /// A caller has an answer, or none within a second. What a machine or the way to it was in trouble for is not
    /// told.
    fn waited(&mut self, caller: Caller, reply: &Reply) {
        let Some((at, run, since)) = self.calls.remove(&(caller.who, caller.no)) else { return };
        let machine = &self.machines[at];
        let well = machine.run == run && machine.frozen <= since && machine.slow.0 <= since && !machine.gone;
        let (there, back) = (self.cuts[0][at + 1], self.cuts[at + 1][0]);
        let way = there.max(back).max(self.storm.0) <= since;
        if well && way && !matches!(reply, Reply::Closed) {
            let took = self.now - since;
            self.saw(What::Waited { machine: at, took });
        }
    }

    pub(crate) fn replied(&mut self, caller: Caller, reply: Reply) {
        self.waited(caller, &reply);
        match caller.who {
            Who::Instance(instance) => self.instance_told(instance, caller.no, &reply),
            Who::Task(number) if self.tasks[number].no == caller.no && !self.tasks[number].over => {
                self.task_told(number, reply);
            }
            Who::Task(_) => {}
        }
    }

    fn task_told(&mut self, number: usize, reply: Reply) {
        let task = &mut self.tasks[number];
        // The same try's silence says nothing more.
        self.next_try += 1;
        task.no = self.next_try;
        match reply {
            Reply::SentOn(place) if task.hops < 2 => {
                task.hops += 1;
                if let Some(at) = self.machine_at(place) {
                    self.tasks[number].at = at;
                    return self.send_task(number);
                }
            }
            Reply::Status(status) => {
                let ends = matches!(status, 200 | 400 | 409 | 412 | 413 | 422);
                task.odd += u32::from((400..500).contains(&status));
                if ends || task.odd >= 3 {
                    task.over = true;
                    return self.answered_task(number, status);
                }
            }
            Reply::Configuration(bill) => {
                task.over = true;
                return self.read(number, bill);
            }
            Reply::Rollout(found) => {
                task.over = true;
                return self.rollout_read(number, found);
            }
            _ => {}
        }
        let task = &mut self.tasks[number];
        let (pause, no) = (task.pause, task.no);
        task.pause = (pause * 2).min(LONGEST_PAUSE);
        if self.now + pause >= task.until {
            task.over = true;
            return self.unclear(number);
        }
        self.later(pause, Event::Again { task: number, no });
    }

    fn unclear(&mut self, number: usize) {
        match self.tasks[number].purpose {
            Purpose::Edit(Edit::Progress) => self.edit(Edit::Progress),
            Purpose::Watch { rollout } => self.later(300 * MS, Event::Watch { rollout }),
            _ => {}
        }
    }

    /// A call has its clear answer.
    fn answered_task(&mut self, number: usize, status: u16) {
        let by = self.tasks[number].at;
        match self.tasks[number].purpose {
            Purpose::Order { order, .. } | Purpose::Repeat { order } if status == 200 => {
                self.office.orders[order as usize].acked = true;
                self.saw(What::Acked { order, by });
            }
            Purpose::Order { order, progress } => {
                self.saw(What::Denied { order, status });
                if progress {
                    self.edit(Edit::Progress);
                }
            }
            Purpose::Repeat { order } => self.saw(What::Denied { order, status }),
            Purpose::Rollout { rollout } => {
                let ordered = &mut self.office.rollouts[rollout];
                let (service, version) = (ordered.service, ordered.version);
                ordered.acked = status == 200;
                ordered.refused = status != 200;
                if status == 200 {
                    self.saw(What::OrderAcked { service, version });
                } else {
                    self.saw(What::OrderDenied { service, version });
                }
            }
            Purpose::RolloutRepeat { rollout } => {
                let Ordered { service, version, .. } = self.office.rollouts[rollout];
                if status != 200 {
                    self.saw(What::OrderDenied { service, version });
                }
                for after in [200 * MS, SECOND] {
                    self.later(after, Event::Look { rollout });
                }
            }
            _ => {}
        }
    }

    /// A prompter has just said that a configuration is taken; some days something happens to it then.
    pub(crate) fn acknowledged(&mut self, at: usize, caller: Caller) {
        let Who::Task(number) = caller.who else { return };
        if !matches!(self.tasks[number].purpose, Purpose::Order { .. } | Purpose::Repeat { .. }) {
            return;
        }
        for (until, all, wiped, back) in std::mem::take(&mut self.after_ack) {
            if self.now > until {
                continue;
            }
            let soon = self.span(0, 3 * MS);
            if !all {
                self.later(soon, Event::Down { at, power: true, wiped, back });
                continue;
            }
            // The one that answered, or another of the core, loses its disk too.
            let core = self.core();
            let lost = if self.odds(500) { at } else { core[self.pick(core.len())] };
            for other in core.into_iter().chain(self.foyers()) {
                let later = soon + self.span(0, MS);
                let back = back + self.span(0, 300 * MS);
                let wiped = wiped && other == lost;
                self.later(later, Event::Down { at: other, power: true, wiped, back });
            }
        }
    }

    pub(crate) fn core(&self) -> Vec<usize> {
        let core =
            |at: &usize| self.machines[*at].part == membership::Role::ControlNode && !self.machines[*at].gone;
        (0..self.machines.len()).filter(core).collect()
    }

    /// An operator looks up the version in force, and then changes it.
    pub(crate) fn edit(&mut self, edit: Edit) {
        let span = if edit == Edit::Progress { 4 * SECOND } else { 8 * SECOND };
        self.task(Call::Read, Purpose::Edit(edit), span);
    }

    fn version(&mut self) -> u32 {
        let step = self.span(1, 6) as u32;
        self.office.last_version += step;
        self.office.last_version
    }

    fn change(&mut self, base: u32, modify: Option<&Configuration>, progress: bool) {
        let version = self.version();
        let (command, text) = match modify {
            Some(_) => {
                let before = self.office.orders.iter().find(|order| order.valid && order.version == base);
                let before = before.map_or(Vec::new(), |order| order.added.clone());
                let text = texts::modify(&self.scenario.site, version, before, &mut self.chance);
                (Command::Modify { base: ConfigVersion(base), text: text.bytes.clone() }, text)
            }
            None => {
                let text =
                    texts::replace(&self.scenario.site, version, self.scenario.routes, &mut self.chance);
                (Command::Replace { base: ConfigVersion(base), text: text.bytes.clone() }, text)
            }
        };
        let whole = match modify {
            Some(bill) => bill.with_change(&text.bytes).map(|bill| bill.to_json()).unwrap_or_default(),
            None => text.bytes,
        };
        let (expected, added) = (value(&whole), text.added);
        let order = Order { base, version, valid: true, command, expected, acked: false, added };
        self.send_order(order, text.allows, progress);
    }

    fn send_order(&mut self, order: Order, allows: Vec<(usize, usize)>, progress: bool) {
        let number = self.office.orders.len() as u32;
        let Order { base, version, valid, .. } = order;
        let added = order.added.clone();
        self.saw(What::Sent { order: number, base, version, valid, allows, added });
        let call = Call::Order(order.command.clone());
        self.office.orders.push(order);
        self.task(call, Purpose::Order { order: number, progress }, Micros::MAX / 4);
    }

    /// The call that was acknowledged last, once more.
    pub(crate) fn send_again(&mut self) {
        let Some(order) = self.office.orders.iter().rposition(|order| order.acked) else { return };
        let call = Call::Order(self.office.orders[order].command.clone());
        self.task(call, Purpose::Repeat { order: order as u32 }, self.terms.ack);
    }

    /// The same, of one that was acknowledged so many before the last.
    pub(crate) fn send_old_again(&mut self, back: usize) {
        let acked = (0..self.office.orders.len()).rev().filter(|order| self.office.orders[*order].acked);
        let Some(order) = acked.take(back + 1).last() else { return };
        let call = Call::Order(self.office.orders[order].command.clone());
        self.task(call, Purpose::Repeat { order: order as u32 }, self.terms.ack);
    }

    /// A roll-out's order, so many before the last one that was acknowledged.
    pub(crate) fn roll_out_again(&mut self, back: usize) {
        let acked = (0..self.office.rollouts.len()).rev().filter(|one| self.office.rollouts[*one].acked);
        let Some(rollout) = acked.take(back + 1).last() else { return };
        let Ordered { service, version, period, .. } = self.office.rollouts[rollout];
        if self.planted == Some(Planted::TrialAgain) {
            self.plant_trial(service, version);
        }
        let (service, target) = (texts::service(service), format!("v{version}"));
        let call = Call::Order(Command::Rollout { service, target_version: target, period });
        self.task(call, Purpose::RolloutRepeat { rollout }, self.terms.ack);
    }

    pub(crate) fn look(&mut self, rollout: usize) {
        let service = texts::service(self.office.rollouts[rollout].service);
        self.task(Call::Rollout(service), Purpose::Look { rollout }, 2 * SECOND);
    }

    /// A configuration was read, with leadership proved.
    fn read(&mut self, number: usize, bill: Option<Arc<Configuration>>) {
        let Task { began: asked, purpose, .. } = self.tasks[number];
        let version = bill.as_ref().map_or(0, |bill| bill.version.0);
        let sent = self.office.orders.iter().rev().find(|order| order.valid && order.version == version);
        let right = match (&bill, sent) {
            (None, _) => true,
            (Some(bill), Some(order)) => value(bill.as_json()) == order.expected,
            (Some(_), None) => false,
        };
        self.saw(What::Read { asked, version, right });
        match purpose {
            Purpose::Edit(Edit::Change) => self.change(version, None, false),
            Purpose::Edit(Edit::Progress) => self.change(version, None, true),
            Purpose::Edit(Edit::Modify) => self.change(version, bill.as_deref(), false),
            Purpose::Edit(Edit::Race) => {
                self.change(version, None, false);
                let bill = if self.odds(500) { bill.as_deref() } else { None };
                self.change(version, bill, false);
            }
            Purpose::Edit(Edit::Rivals(count)) => {
                for _ in 0..count {
                    self.change(version, None, false);
                }
            }
            Purpose::Edit(Edit::Invalid(kind)) => {
                let next = self.version();
                let text = texts::invalid(&self.scenario.site, kind, version, next, &mut self.chance);
                let command = Command::Replace { base: ConfigVersion(version), text };
                let order = Order {
                    base: version,
                    version: next,
                    valid: false,
                    command,
                    expected: None,
                    acked: false,
                    added: Vec::new(),
                };
                self.send_order(order, Vec::new(), false);
            }
            Purpose::ReadBack => {
                self.office.read_back = true;
                self.later(300 * MS, Event::ReadBack { first: false });
            }
            _ => {}
        }
    }

    /// `first`: the day's first configuration, sent until it is taken. Else reading back at the end.
    pub(crate) fn read_back(&mut self, first: bool) {
        if first {
            self.office.versions = vec![1; self.scenario.site.services];
            self.office.next_service_version = 1;
            return self.change(0, None, false);
        }
        self.task(Call::Read, Purpose::ReadBack, 4 * SECOND);
        for rollout in 0..self.office.rollouts.len() {
            let last = |one: &Ordered| one.service == self.office.rollouts[rollout].service;
            let newest = self.office.rollouts.iter().rposition(last) == Some(rollout);
            if newest && self.office.rollouts[rollout].acked {
                let service = texts::service(self.office.rollouts[rollout].service);
                self.task(Call::Rollout(service), Purpose::RolloutBack { rollout }, 4 * SECOND);
            }
        }
    }

    pub(crate) fn office_closes(&mut self) {
        if !self.office.read_back {
            self.saw(What::Unread);
        }
        for machine in self.core() {
            let stands = match &self.machines[machine].process {
                Some(Process::Prompter(process)) => process.control.node.state.configuration_version().0,
                _ => continue,
            };
            self.saw(What::Stands { machine, version: stands });
        }
    }

    pub(crate) fn calm(&mut self) {
        self.saw(What::Calm);
        self.after_ack.clear();
        self.edit(Edit::Progress);
    }

    /// New instances, and the order to move the service to them.
    pub(crate) fn roll_out(&mut self, service: usize, bad: bool, period: Micros) {
        let under_way = |one: &Ordered| one.service == service && one.ended.is_none();
        // New versions start alongside old ones.
        if self.living(service).is_empty() || self.office.rollouts.iter().any(under_way) {
            return;
        }
        self.office.next_service_version += 1;
        let version = self.office.next_service_version;
        self.office.bad.insert((service, version), bad);
        for _ in 0..self.scenario.site.each(service) {
            let after = self.span(0, 300 * MS);
            self.later(after, Event::Register { service, version, address: None });
        }
        let old = self.office.versions[service];
        let rollout = self.office.rollouts.len();
        self.office.rollouts.push(Ordered {
            service,
            version,
            old,
            period,
            acked: false,
            ended: None,
            refused: false,
        });
        self.saw(What::Ordered { service, version, bad, term: self.now + period });
        let (service, target) = (texts::service(service), format!("v{version}"));
        let call = Call::Order(Command::Rollout { service, target_version: target, period });
        self.task(call, Purpose::Rollout { rollout }, self.terms.ack);
        self.later(SECOND, Event::Watch { rollout });
    }

    pub(crate) fn watch(&mut self, rollout: usize) {
        let one = &self.office.rollouts[rollout];
        if one.ended.is_none() && !one.refused {
            let service = texts::service(one.service);
            self.task(Call::Rollout(service), Purpose::Watch { rollout }, 2 * SECOND);
        }
    }

    fn rollout_read(&mut self, number: usize, found: Option<(RolloutState, String)>) {
        let (rollout, last) = match self.tasks[number].purpose {
            Purpose::Watch { rollout } | Purpose::Look { rollout } => (rollout, false),
            Purpose::RolloutBack { rollout } => (rollout, true),
            _ => return,
        };
        let look = matches!(self.tasks[number].purpose, Purpose::Look { .. });
        let one = &mut self.office.rollouts[rollout];
        let (service, version, old) = (one.service, one.version, one.old);
        let ours = found.filter(|(_, target)| *target == format!("v{version}"));
        let under_way = ours.as_ref().is_some_and(|(state, _)| *state == RolloutState::InProgress);
        if under_way && one.ended.is_some() {
            return self.saw(What::Retried { service, version });
        }
        if look {
            return;
        }
        let Some((state, _)) = ours else {
            if last {
                self.saw(What::RolloutLost { service, version });
            }
            return self.later(400 * MS, Event::Watch { rollout });
        };
        let completed = match state {
            RolloutState::InProgress => return self.later(400 * MS, Event::Watch { rollout }),
            RolloutState::Completed => true,
            RolloutState::Reverted => false,
        };
        let before = one.ended.replace(completed);
        if before.is_some_and(|before| before != completed) {
            self.saw(What::RolloutLost { service, version });
        }
        if before.is_some() {
            return;
        }
        self.saw(What::Ended { service, version, completed });
        let stop = if completed { old } else { version };
        if completed {
            self.office.versions[service] = version;
        }
        for instance in self.living(service) {
            if self.instances[instance].version == stop {
                if completed {
                    // At once, without draining.
                    self.later(0, Event::Gone { instance });
                } else {
                    let after = self.span(2 * SECOND, 3 * SECOND);
                    self.later(after, Event::Leave { instance });
                }
            }
        }
    }
}

fn value(text: &[u8]) -> Option<OwnedValue> {
    simd_json::to_owned_value(&mut text.to_vec()).ok()
}
