//! Part (one process of a hollow fleet): its nodes, each a task with a socket of its own, and in the first process the
//! instances and the operator, who call the prompters there.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;

use clap::Args;
use control_state::{Command, CommandOutcome};
use cpu_time::ProcessTime;
use playhouse::control_plane::CallOutcome as Answer;
use playhouse::settings::Settings;
use tokio::sync::{Notify, oneshot};
use tokio::time::Instant;
use transport::{MessageReceiver, ReceivedMessage, SocketTransport, TransportLimits};
use types::{CallId, ConfigVersion, Micros, NodeAddress};

use super::{Plan, Told, wall};
use crate::size::ZONES;
use crate::tally::Phase;
use crate::text;
use crate::world::callers::beat;
use crate::world::node::{Did, Node};
use crate::world::{on_wire, settings};

const PORT: u16 = 7_620;
/// What a sync of a prompter's disk takes.
const SYNC: Duration = Duration::from_millis(1);
const HEARTBEAT: Duration = Duration::from_micros(crate::size::HEARTBEAT as u64);
/// Callers leave after this.
const PATIENCE: Duration = Duration::from_secs(1);
/// Nodes start within this, instances and the operator after it.
const SPREAD: Duration = Duration::from_millis(300);

#[derive(Clone, Copy, Debug, Args)]
pub struct Part {
    #[command(flatten)]
    plan: Plan,
    /// 0 has the prompters.
    #[arg(long)]
    number: usize,
    /// Second byte of the addresses.
    #[arg(long)]
    net: u8,
    /// When the day begins, in microseconds since 1970.
    #[arg(long)]
    begins: u64,
}

/// The command line of a part.
pub fn arguments(plan: &Plan, number: usize, net: u8, begins: u64) -> Vec<String> {
    let Plan { gateways, prompters, instances, services, routes, processes, start, steady, change, seed } =
        *plan;
    let all = [
        ("gateways", gateways as u64),
        ("prompters", prompters as u64),
        ("instances", instances as u64),
        ("services", services as u64),
        ("routes", routes as u64),
        ("processes", processes as u64),
        ("start", start),
        ("steady", steady),
        ("change", change),
        ("seed", seed),
        ("number", number as u64),
        ("net", u64::from(net)),
        ("begins", begins),
    ];
    all.iter().flat_map(|(name, value)| [format!("--{name}"), value.to_string()]).collect()
}

#[derive(Clone, Copy, Default)]
struct Spent {
    words_in: u64,
    words_out: u64,
    bytes_in: u64,
    bytes_out: u64,
}

/// A node with its socket.
struct Hollow {
    node: Node,
    born: Instant,
    post: SocketTransport,
    poke: Rc<Notify>,
    spent: Spent,
    /// When each version came into force here.
    in_force: Vec<(u32, u64)>,
}

type Shared = Rc<RefCell<Hollow>>;
/// Who waits for an answer.
type Waiting = Rc<RefCell<HashMap<u64, oneshot::Sender<Answer>>>>;

impl Part {
    fn place(&self, at: usize) -> NodeAddress {
        NodeAddress(Ipv4Addr::new(127, self.net, (at / 200) as u8, (at % 200) as u8 + 1))
    }

    /// The nodes of this process, by their numbers in the fleet.
    fn nodes(&self) -> Vec<usize> {
        let Plan { gateways, prompters, processes, .. } = self.plan;
        match self.number {
            0 => (0..prompters).collect(),
            number => {
                (0..gateways).filter(|at| at % processes + 1 == number).map(|at| prompters + at).collect()
            }
        }
    }

    fn seed(&self, at: usize) -> u64 {
        self.plan.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15).wrapping_add(at as u64 * 0x2545_f491 + 1)
    }
}

/// Plays one process's part, and tells of each phase in a line.
pub fn play(part: &Part) -> Result<(), std::io::Error> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    tokio::task::LocalSet::new().block_on(&runtime, played(*part))
}

async fn played(part: Part) -> Result<(), std::io::Error> {
    let settings = Rc::new(settings());
    let waiting: Waiting = Rc::default();
    let mut all: Vec<Shared> = Vec::new();
    let mut heard: Vec<MessageReceiver> = Vec::new();
    for at in part.nodes() {
        let (place, prompter) = (part.place(at), at < part.plan.prompters);
        let zone = if prompter { at % ZONES } else { (at - part.plan.prompters) % ZONES };
        let (post, incoming) = SocketTransport::bind(place.0, PORT, TransportLimits::default())?;
        let node = Node::new(place, zone, prompter);
        let (born, poke) = (Instant::now(), Rc::new(Notify::new()));
        let hollow = Hollow { node, born, post, poke, spent: Spent::default(), in_force: Vec::new() };
        all.push(Rc::new(RefCell::new(hollow)));
        heard.push(incoming);
    }
    let begins = Instant::now() + Duration::from_micros(part.begins.saturating_sub(wall()));
    for ((at, one), incoming) in part.nodes().into_iter().zip(&all).zip(heard) {
        let (one, settings, waiting) = (one.clone(), settings.clone(), waiting.clone());
        tokio::task::spawn_local(live(part, at, one, settings, incoming, waiting, begins));
    }
    let calls = Rc::new(RefCell::new((0u64, 0u64)));
    if part.number == 0 {
        for number in 0..part.plan.instances {
            let (all, waiting, calls) = (all.clone(), waiting.clone(), calls.clone());
            tokio::task::spawn_local(instance(part, number, all, waiting, calls, begins));
        }
    }
    let ordered: Rc<RefCell<HashMap<u32, u64>>> = Rc::default();
    if part.number == 0 {
        tokio::task::spawn_local(operator(part, all.clone(), waiting.clone(), ordered.clone(), begins));
    }
    tokio::time::sleep_until(begins).await;
    let (mut since, mut cpu, mut before) = (begins, ProcessTime::now(), (0, 0));
    let mut version = 0;
    for (phase, end) in part.plan.phases() {
        // Each phase but the calm one has a configuration of its own.
        version += u32::from(phase != Phase::Steady);
        tokio::time::sleep_until(begins + Duration::from_secs(end)).await;
        let seconds = (Instant::now() - since).as_secs_f64();
        let mut told = report(&part, &all, phase, version, seconds, cpu.elapsed().as_secs_f64());
        told.ordered = ordered.borrow().get(&version).copied().filter(|_| phase != Phase::Steady);
        let now = *calls.borrow();
        (told.beats, told.beats_refused) = (now.0 - before.0, now.1 - before.1);
        (since, cpu, before) = (Instant::now(), ProcessTime::now(), now);
        println!("{}", serde_json::to_string(&told).map_err(std::io::Error::other)?);
    }
    Ok(())
}

fn memory_mb(key: &str) -> f64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with(key));
    let kb = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<f64>().ok());
    kb.map_or(f64::NAN, |kb| kb / 1e3)
}

fn report(part: &Part, all: &[Shared], phase: Phase, version: u32, seconds: f64, cpu_s: f64) -> Told {
    let mut told = Told {
        process: part.number,
        phase: phase.name().to_owned(),
        nodes: all.len(),
        seconds,
        cpu_s,
        resident_mb: memory_mb("VmRSS"),
        peak_mb: memory_mb("VmHWM"),
        ..Told::default()
    };
    let machines = part.plan.prompters + part.plan.gateways;
    for one in all {
        let mut one = one.borrow_mut();
        let spent = std::mem::take(&mut one.spent);
        told.words_in += spent.words_in;
        told.words_out += spent.words_out;
        told.bytes_in += spent.bytes_in;
        told.bytes_out += spent.bytes_out;
        told.busiest_bytes = told.busiest_bytes.max(spent.bytes_in + spent.bytes_out);
        told.ready += usize::from(one.node.floor().is_some_and(|floor| floor.ready()));
        let Some(house) = one.node.house() else { continue };
        told.whole_company += usize::from(house.membership.members().count() + 1 >= machines);
        let serves = |known: &&registry::Instance| known.state == registry::InstanceState::InService;
        let known = house.registry.instances().filter(serves).count();
        told.whole_cast += usize::from(known >= part.plan.instances);
        let came = one.in_force.iter().find(|(of, _)| *of == version);
        told.in_force.extend(came.map(|(_, at)| *at).filter(|_| phase != Phase::Steady));
    }
    told
}

impl Hollow {
    fn now(&self) -> Micros {
        self.born.elapsed().as_micros() as Micros
    }
}

/// One step of a node, and all that it asks for.
fn step(shared: &Shared, waiting: &Waiting, act: impl FnOnce(&mut Node, Micros) -> Vec<Did>) {
    let did = {
        let mut one = shared.borrow_mut();
        if !one.node.runs() {
            return;
        }
        let now = one.now();
        act(&mut one.node, now)
    };
    carry_out(shared, waiting, did);
}

fn carry_out(shared: &Shared, waiting: &Waiting, all: Vec<Did>) {
    let mut one = shared.borrow_mut();
    for did in all {
        match did {
            Did::Send { to, bytes, .. } => {
                one.spent.words_out += 1;
                one.spent.bytes_out += on_wire(bytes.len());
                one.post.send(to.0, bytes);
            }
            Did::Write(write) => {
                let (shared, waiting) = (shared.clone(), waiting.clone());
                tokio::task::spawn_local(async move {
                    tokio::time::sleep(SYNC).await;
                    let no = write.id;
                    shared.borrow_mut().node.land(*write);
                    step(&shared, &waiting, |node, now| node.written(now, no));
                });
            }
            Did::Tell { ask, told } => {
                if let Some(waits) = waiting.borrow_mut().remove(&ask.0) {
                    let _ = waits.send(told);
                }
            }
            // Nothing is served.
            Did::Trip { .. } | Did::Final { .. } => {}
        }
    }
    let version = one.node.floor().and_then(|floor| floor.configuration()).map(|bill| bill.version.0);
    if let Some(version) = version
        && one.in_force.last().is_none_or(|(last, _)| *last < version)
    {
        one.in_force.push((version, wall()));
    }
    one.poke.notify_one();
}

/// A node from its start on.
async fn live(
    part: Part, at: usize, shared: Shared, settings: Rc<Settings>, mut heard: MessageReceiver,
    waiting: Waiting, begins: Instant,
) {
    let seed = part.seed(at);
    tokio::time::sleep_until(begins + SPREAD.mul_f64((seed >> 11) as f64 / (1u64 << 53) as f64)).await;
    let seeds: Vec<NodeAddress> = (0..part.plan.prompters.min(3)).map(|at| part.place(at)).collect();
    let poke = {
        let mut one = shared.borrow_mut();
        one.born = Instant::now();
        one.node.begin(0);
        one.poke.clone()
    };
    let did = shared.borrow_mut().node.start(at, &seeds, settings, seed, seed ^ part.begins);
    step(&shared, &waiting, |_, _| did);
    loop {
        let (born, due) = {
            let one = shared.borrow();
            (one.born, one.node.due())
        };
        let due = born + Duration::from_micros(due.clamp(0, 3_600_000_000) as u64);
        tokio::select! {
            word = heard.recv() => {
                let Some(ReceivedMessage { from, bytes, .. }) = word else { return };
                mail(&shared, &waiting, from, &bytes);
                while let Ok(ReceivedMessage { from, bytes, .. }) = heard.try_recv() {
                    mail(&shared, &waiting, from, &bytes);
                }
            }
            () = tokio::time::sleep_until(due) => step(&shared, &waiting, |node, now| node.tick(now)),
            // Something was done beside this: it may want to be woken sooner.
            () = poke.notified() => {}
        }
    }
}

fn mail(shared: &Shared, waiting: &Waiting, from: Ipv4Addr, bytes: &[u8]) {
    {
        let spent = &mut shared.borrow_mut().spent;
        spent.words_in += 1;
        spent.bytes_in += on_wire(bytes.len());
    }
    step(shared, waiting, |node, now| node.mail(now, NodeAddress(from), bytes));
}

/// A call, and its answer within the caller's patience.
async fn call(
    shared: &Shared, waiting: &Waiting, act: impl FnOnce(&mut Node, Micros, CallId) -> Vec<Did>,
) -> Option<Answer> {
    thread_local! {
        static ASKS: std::cell::Cell<u64> = const { std::cell::Cell::new(0) };
    }
    let ask = ASKS.with(|last| {
        last.set(last.get() + 1);
        last.get()
    });
    let (told, answer) = oneshot::channel();
    waiting.borrow_mut().insert(ask, told);
    step(shared, waiting, |node, now| act(node, now, CallId(ask)));
    let answer = tokio::time::timeout(PATIENCE, answer).await;
    waiting.borrow_mut().remove(&ask);
    answer.ok()?.ok()
}

/// Beats at its hub, or at the next prompter where it is not taken.
async fn instance(
    part: Part, number: usize, hubs: Vec<Shared>, waiting: Waiting, calls: Rc<RefCell<(u64, u64)>>,
    begins: Instant,
) {
    let apart = HEARTBEAT.mul_f64(number as f64 / part.plan.instances.max(1) as f64);
    tokio::time::sleep_until(begins + SPREAD + apart).await;
    let mut beat = beat(number, 0, part.plan.services);
    let mut hub = number % hubs.len();
    let mut pause = PATIENCE / 10;
    loop {
        beat.sequence += 1;
        let next = Instant::now() + HEARTBEAT;
        let call = call(&hubs[hub], &waiting, |node, now, ask| node.beat(now, ask, beat.clone())).await;
        calls.borrow_mut().0 += 1;
        if let Some(Answer::HeartbeatAccepted { target }) = call {
            let at = (0..hubs.len()).find(|at| target == Some(part.place(*at)));
            (hub, pause) = (at.unwrap_or(hub), PATIENCE / 10);
            tokio::time::sleep_until(next).await;
        } else {
            calls.borrow_mut().1 += 1;
            hub = (hub + 1) % hubs.len();
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(HEARTBEAT);
        }
    }
}

/// The first configuration, then a whole one that differs in one route, then a change of one by name; each sent until it
/// is taken.
async fn operator(
    part: Part, hubs: Vec<Shared>, waiting: Waiting, ordered: Rc<RefCell<HashMap<u32, u64>>>, begins: Instant,
) {
    let Plan { routes, services, .. } = part.plan;
    let mut begin = Duration::from_secs(2);
    let mut version = 1;
    for (phase, end) in part.plan.phases() {
        if phase != Phase::Steady {
            tokio::time::sleep_until(begins + begin).await;
            let base = ConfigVersion(version - 1);
            let command = match phase {
                Phase::Start => Command::Replace { base, text: text::whole(1, routes, services, 0, None) },
                Phase::Replace => Command::Replace {
                    base,
                    text: text::whole(version, routes, services, 0, Some(routes / 2)),
                },
                _ => Command::Modify { base, text: text::change(version, routes / 3, services) },
            };
            ordered.borrow_mut().insert(version, wall());
            let until = begins + Duration::from_secs(end);
            while Instant::now() < until {
                let leader = hubs.iter().find(|one| one.borrow().node.leads());
                if let Some(leader) = leader {
                    let answer =
                        call(leader, &waiting, |node, now, ask| node.order(now, ask, command.clone())).await;
                    if let Some(Answer::Applied(CommandOutcome::Applied | CommandOutcome::Repeated)) = answer
                    {
                        break;
                    }
                }
                tokio::time::sleep(PATIENCE / 10).await;
            }
            version += 1;
        }
        begin = Duration::from_secs(end);
    }
}
