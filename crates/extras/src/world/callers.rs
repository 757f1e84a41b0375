//! Callers (stand-ins): instances that beat, the operator, requests that are drawn and not served.

use std::net::{Ipv4Addr, SocketAddrV4};

use control_state::{Command, CommandOutcome};
use garnetdoor::host::{AttemptNo, AttemptOutcome, RequestId};
use playhouse::control_plane::CallOutcome;
use registry::{Heartbeat, InstanceId};
use types::{CallId, ConfigVersion, MS, Micros, NodeAddress, SECOND};

use super::{Event, World};
use crate::kind;
use crate::size::{HEARTBEAT, ZONES};
use crate::tally::Phase;
use crate::text;

/// An instance that was refused asks the next prompter after a pause that grows up to a beat.
const FIRST_PAUSE: Micros = 100 * MS;
const LONGEST_PAUSE: Micros = HEARTBEAT;
/// The operator asks again after this.
const ASK_AGAIN: Micros = 500 * MS;
/// Heads of a beat's call and of its answer over HTTP/1.1, as hyper writes them, in bytes.
const CALL_HEAD: u64 = 130;
const ANSWER_BYTES: u64 = 150;

/// Calls of instances in one phase.
#[derive(Clone, Copy, Debug, Default)]
pub struct Calls {
    pub beats: u64,
    pub refused: u64,
    /// Each refused beat and each that is sent to another prompter opens a connection.
    pub connections: u64,
    /// In and out, without heads of segments.
    pub bytes: u64,
}

pub(super) struct Instance {
    beat: Heartbeat,
    /// The bodies of its calls.
    bytes: u64,
    life: u32,
    hub: Option<usize>,
    pause: Micros,
    waits: bool,
}

impl Instance {
    fn new(beat: Heartbeat, life: u32) -> Instance {
        let bytes = body(&beat);
        Instance { beat, bytes, life, hub: None, pause: FIRST_PAUSE, waits: false }
    }
}

/// A change that the operator wants, until it is in force everywhere.
pub(super) struct Order {
    pub version: u32,
    command: Command,
    since: Micros,
    ask: u64,
    at: usize,
    acknowledged: Option<Micros>,
    /// Gateways that have not got it yet.
    left: Vec<bool>,
    waiting: usize,
}

pub(crate) fn beat(number: usize, life: u32, services: usize) -> Heartbeat {
    let (high, low) = (number / 250, number % 250);
    Heartbeat {
        id: InstanceId(format!("i-{life:02x}{number:06x}")),
        service: text::service(number % services),
        address: SocketAddrV4::new(Ipv4Addr::new(10, 128, high as u8, low as u8 + 1), 8080),
        zone: format!("zone-{}", number % ZONES),
        version: "v1".to_owned(),
        slots: 3,
        draining: false,
        warmup_left: 0,
        sequence: 0,
    }
}

/// A beat's body as `api/openapi.yaml` has it.
fn body(beat: &Heartbeat) -> u64 {
    let fixed = "{\"Address\":\"\",\"NodeInfo\":{\"TargetService\":\"\",\"ConfigVersion\":\"\",\"Zone\":\"\",\
                 \"CapacitySlots\":3},\"Status\":{\"State\":\"in_service\",\"CallSequence\":1000,\"WarmupLeftS\":0}}";
    let texts = [&beat.service, &beat.version, &beat.zone];
    let texts: usize = texts.iter().map(|text| text.len()).sum();
    (fixed.len() + texts + beat.address.to_string().len()) as u64
}

impl World {
    pub(super) fn add_instances(&mut self) {
        let size = self.size;
        for number in 0..size.instances {
            let beat = beat(number, 0, size.services);
            self.instances.push(Instance::new(beat, 0));
            let after = self.span(300 * MS, 300 * MS + size.spread.max(HEARTBEAT));
            self.later(after, Event::Beat { instance: number, life: 0 });
        }
    }

    /// A tenth of the instances ends; others with new ids come at their addresses.
    pub(super) fn herd_instances(&mut self) {
        for number in (0..self.instances.len()).step_by(10) {
            let life = self.instances[number].life + 1;
            let beat = beat(number, life, self.size.services);
            self.instances[number] = Instance::new(beat, life);
            let after = SECOND + self.span(0, 500 * MS);
            self.later(after, Event::Beat { instance: number, life });
        }
    }

    /// The beat that is due, or one that was refused, at its hub or at any prompter that runs.
    pub(super) fn beat(&mut self, number: usize, life: u32) {
        if self.instances[number].life != life || self.instances[number].waits {
            return;
        }
        let known = self.instances[number].hub.filter(|hub| self.nodes[*hub].runs());
        let at = known.unwrap_or_else(|| self.chance.rand_range(0..self.size.prompters as u64) as usize);
        let calls = &mut self.calls[self.phases[self.phase].0 as usize];
        calls.beats += 1;
        calls.connections += u64::from(known.is_none());
        calls.bytes += self.instances[number].bytes + CALL_HEAD + ANSWER_BYTES;
        if !self.nodes[at].runs() {
            return self.refused(number);
        }
        self.next_ask += 1;
        let ask = self.next_ask;
        self.asks.insert(ask, number);
        let one = &mut self.instances[number];
        one.hub = Some(at);
        one.waits = true;
        one.beat.sequence += 1;
        let beat = one.beat.clone();
        self.play(at, kind::BEAT, |node, now| node.beat(now, CallId(ask), beat));
    }

    fn refused(&mut self, number: usize) {
        let phase = self.phases[self.phase].0;
        self.calls[phase as usize].refused += 1;
        let one = &mut self.instances[number];
        (one.hub, one.waits) = (None, false);
        let (pause, life) = (one.pause, one.life);
        one.pause = (pause * 2).min(LONGEST_PAUSE);
        let after = pause + self.span(0, pause / 4);
        self.later(after, Event::Beat { instance: number, life });
    }

    pub(super) fn told(&mut self, at: usize, ask: CallId, told: CallOutcome) {
        if self.order.as_ref().is_some_and(|order| order.ask == ask.0) {
            return self.ordered(at, &told);
        }
        let Some(number) = self.asks.remove(&ask.0) else { return };
        match told {
            CallOutcome::HeartbeatAccepted { target } => {
                let target: Option<NodeAddress> = target;
                let hub = target.and_then(|place| self.by_place.get(&place).copied()).unwrap_or(at);
                let one = &mut self.instances[number];
                let moved = hub != at;
                (one.hub, one.waits, one.pause) = (Some(hub), false, FIRST_PAUSE);
                let life = one.life;
                let phase = self.phases[self.phase].0;
                self.calls[phase as usize].connections += u64::from(moved);
                let after = HEARTBEAT + self.span(0, 20 * MS);
                self.later(after, Event::Beat { instance: number, life });
            }
            _ => self.refused(number),
        }
    }

    /// The first configuration, tried until it is taken.
    pub(super) fn operator(&mut self) {
        if self.version == 0 && self.order.is_none() {
            let size = self.size;
            let text = text::whole(1, size.routes, size.services, size.tenants, None);
            self.wants(1, Command::Replace { base: ConfigVersion(0), text });
        }
        self.ask_leader();
    }

    /// The change of this phase.
    pub(super) fn begin_order(&mut self) {
        let (size, base) = (self.size, ConfigVersion(self.version));
        let version = self.version + 1;
        let command = match self.phases[self.phase].0 {
            Phase::Replace => {
                let text =
                    text::whole(version, size.routes, size.services, size.tenants, Some(size.routes / 2));
                Command::Replace { base, text }
            }
            _ => {
                let text = text::change(version, size.routes / 3, size.services);
                Command::Modify { base, text }
            }
        };
        self.figures.command_bytes.push(match &command {
            Command::Replace { text, .. } | Command::Modify { text, .. } => text.len(),
            _ => 0,
        });
        self.wants(version, command);
        self.ask_leader();
    }

    /// As many new instances as the first service has come up with another version, and that is to take over.
    pub(super) fn begin_trial(&mut self) {
        let services = self.size.services;
        let first: Vec<usize> = (0..self.instances.len()).step_by(services).collect();
        for number in first {
            let mut beat = beat(number, u32::from(u8::MAX), services);
            beat.version = "v2".to_owned();
            beat.address.set_port(8081);
            let added = self.instances.len();
            self.instances.push(Instance::new(beat, 0));
            let after = self.span(0, SECOND);
            self.later(after, Event::Beat { instance: added, life: 0 });
        }
        let command = Command::Rollout {
            service: text::service(0),
            target_version: "v2".to_owned(),
            period: 60 * SECOND,
        };
        let (version, since, left) = (self.version, self.now, vec![false; self.nodes.len()]);
        self.order =
            Some(Order { version, command, since, ask: 0, at: 0, acknowledged: None, left, waiting: 0 });
        self.ask_leader();
    }

    fn wants(&mut self, version: u32, command: Command) {
        let up: Vec<bool> =
            (0..self.nodes.len()).map(|at| at >= self.size.prompters && self.nodes[at].runs()).collect();
        let waiting = up.iter().filter(|waits| **waits).count();
        let since = self.now;
        self.order =
            Some(Order { version, command, since, ask: 0, at: 0, acknowledged: None, left: up, waiting });
    }

    /// Asks whoever leads; again later where nobody does, or no answer came.
    fn ask_leader(&mut self) {
        let leader = (0..self.size.prompters).find(|at| self.nodes[*at].leads());
        let Some(order) = self.order.as_mut().filter(|order| order.acknowledged.is_none()) else { return };
        let (ask, command) = (self.next_ask + 1, order.command.clone());
        self.next_ask = ask;
        order.ask = ask;
        self.later(ASK_AGAIN, Event::Operator);
        let Some(at) = leader else { return };
        if let Some(order) = &mut self.order {
            order.at = at;
        }
        self.play(at, kind::ORDER, |node, now| node.order(now, CallId(ask), command));
    }

    fn ordered(&mut self, _at: usize, told: &CallOutcome) {
        let now = self.now;
        let Some(order) = &mut self.order else { return };
        match told {
            CallOutcome::Applied(CommandOutcome::Applied | CommandOutcome::Repeated) => {
                order.acknowledged = Some(now);
                self.version = order.version;
                self.figures.acknowledged_s.push((now - order.since) as f64 / 1e6);
            }
            CallOutcome::Applied(outcome) => self.figures.refusals.push(format!("{outcome:?}")),
            _ => {}
        }
        self.over();
    }

    /// Notes a gateway that has come to hold what was ordered.
    pub(super) fn in_force(&mut self, at: usize) {
        let Some(order) = &mut self.order else { return };
        if !order.left[at] || self.nodes[at].run == 0 {
            return;
        }
        let holds = self.nodes[at].floor().and_then(|floor| floor.configuration());
        if holds.is_some_and(|bill| bill.version.0 >= order.version) {
            order.left[at] = false;
            order.waiting -= 1;
            let after = (self.now - order.since) as f64 / 1e6;
            self.figures.in_force(order.version, after);
            self.over();
        }
    }

    fn over(&mut self) {
        if self.order.as_ref().is_some_and(|order| order.waiting == 0 && order.acknowledged.is_some()) {
            self.order = None;
        }
    }

    /// One request at a gateway, drawn and not served.
    pub(super) fn request(&mut self, at: usize, run: u64) {
        if self.nodes[at].run != run {
            return;
        }
        let route = self.chance.rand_range(0..self.size.routes as u64) as usize;
        // Unsafe routes have another number; every third is one.
        let route = if route.is_multiple_of(3) { (route + 1).min(self.size.routes - 1) } else { route };
        let services = self.size.services;
        let route =
            if self.phases[self.phase].0 == Phase::Trial { route / services * services } else { route };
        self.nodes[at].next_ticket += 1;
        let ticket = RequestId(self.nodes[at].next_ticket);
        let (service, name) = (text::service(route % self.size.services), text::route(route));
        self.play(at, kind::REQUEST, |node, now| node.came(now, ticket, &service, &name));
        let between = SECOND / Micros::from(self.size.requests.max(1));
        let after = self.span(between / 2, between * 3 / 2);
        self.later(after, Event::Request { at, run });
    }

    pub(super) fn answered(
        &mut self, at: usize, run: u64, ticket: RequestId, trip: AttemptNo, ending: AttemptOutcome,
    ) {
        if self.nodes[at].run == run {
            self.play(at, kind::ANSWER, |node, now| {
                let mut did = node.ended(now, ticket, trip, ending);
                did.extend(node.left(now, ticket));
                did
            });
        }
    }
}
