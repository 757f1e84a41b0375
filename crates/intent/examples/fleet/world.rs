//! An emulated fleet: gateways with tables that go wrong in named ways, a leader, links, clients on routes
//! that
//! changed. One seed, one run.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::net::Ipv4Addr;
use std::sync::Arc;

use configuration::{Configuration, Route};
use intent::judge::{self, Member};
use intent::remedy::{self, Stage};
use intent::{
    Claim, Fence, Held, Intent, Judge, Part, Remedy, Report, RouteKey, Step, Took, Tuning, Ward, Witness,
    ward, witness,
};
use oorandom::Rand64;
use types::{LogIndex, MS, Micros, NodeAddress, RunId, SECOND, Term};

/// How a gateway goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The update was taken, and the tables are the old ones.
    NotApplied,
    /// One part of the tables did not change.
    PartUnchanged,
    /// One of two workers keeps its old tables.
    StuckWorker,
    /// The text is right, the lookup built from it is not.
    TableWrong,
    /// It starts again from an old state, and waits for no news.
    OldRestart,
    /// It lacks the update, and all its words come three seconds late.
    Late,
    /// It lacks the update; a fault answers for it what all others answer.
    Forged,
}

impl Kind {
    pub const ALL: [Kind; 7] = [
        Kind::NotApplied,
        Kind::PartUnchanged,
        Kind::StuckWorker,
        Kind::TableWrong,
        Kind::OldRestart,
        Kind::Late,
        Kind::Forged,
    ];
}

/// How stragglers are looked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    Whole,
    /// The version that a node says it runs.
    Trust,
    /// Version and digest as each node tells them.
    Versions,
    /// The leader asks each node each second, with a nonce.
    Poll,
}

#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub gateways: usize,
    pub stragglers: usize,
    pub kind: Kind,
    pub way: Way,
    /// Loss, slow nodes, cuts, a liar, a node with late words.
    pub rough: bool,
    /// The judge stands still for two seconds, and what is sent to it then is lost.
    pub frozen: bool,
    pub seconds: i64,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Figures {
    pub stragglers: usize,
    /// Ordered to rebuild (or kept out at the start) before a client felt it; or felt by nobody at all.
    pub caught_first: usize,
    pub caught: usize,
    /// Seconds from the straggle to its catch, summed over those caught.
    pub catch_time: f64,
    /// Well again and admitted at the end.
    pub back: usize,
    pub false_accused: usize,
    pub false_withdrawn: usize,
    pub most_out: usize,
    pub bytes_node_s: f64,
    pub looks_node_s: f64,
}

const APPLY: Micros = 2_500 * MS;
const ROUTES: usize = 24;
const LEADER: NodeAddress = NodeAddress(Ipv4Addr::new(10, 9, 0, 1));
const CLAIM_EVERY: Micros = SECOND;
/// Requests a second on routes that changed lately, at each gateway.
const FELT_RATE: f64 = 5.0;

#[derive(Clone, Debug)]
struct Line {
    there: bool,
    service: usize,
    heavy: u32,
    rank: u32,
    kind: usize,
    timeout: u32,
}

pub struct Text {
    pub intent: Arc<Intent>,
    routes: HashMap<RouteKey, Route>,
}

impl Text {
    /// How tables made from this text handle a route; to its first service.
    #[allow(dead_code)]
    pub fn took(&self, route: RouteKey) -> Option<Took> {
        self.routes.get(&route).map(|route| Took::of(route, &route.targets[0].service))
    }
}

/// A day's intents, each with one part changed on two routes.
pub fn texts(random: &mut Rand64, count: usize) -> Vec<Text> {
    let line = |at: usize| Line {
        there: at < ROUTES - 4,
        service: at % 4,
        heavy: 80,
        rank: at as u32 % 3,
        kind: at % 3,
        timeout: 1,
    };
    let mut lines: Vec<Line> = (0..ROUTES).map(line).collect();
    let mut texts = Vec::new();
    for version in 1..=count {
        let part = random.rand_range(0..5);
        for _ in 0..2 {
            let live: Vec<usize> = (0..ROUTES).filter(|at| part == 0 || lines[*at].there).collect();
            let line = &mut lines[live[random.rand_range(0..live.len() as u64) as usize]];
            match part {
                0 if line.there && random.rand_float() < 0.5 => line.service = (line.service + 1) % 4,
                0 => line.there = !line.there,
                1 => line.rank = (line.rank + 1) % 3,
                2 => line.kind = (line.kind + 1) % 3,
                3 => line.timeout = line.timeout % 5 + 1,
                _ => line.heavy = 20 + (line.heavy + 13) % 70,
            }
        }
        texts.push(text(version, &lines));
    }
    texts
}

fn text(version: usize, lines: &[Line]) -> Text {
    let service = |at: usize| format!("service-{}", at % 4);
    let mut items: Vec<String> = (0..4)
        .map(|at| {
            let name = service(at);
            format!(
                r#"{{"ResourceType":"ServiceTable","HeaderBlock":{{"Name":"{name}"}},"SpecBody":{{"HealthPath":"/h","MaxConnections":90,"Protocol":"h1","Tls":false}}}}"#
            )
        })
        .collect();
    items.push(
        r#"{"ResourceType":"LimitSet","HeaderBlock":{},"SpecBody":{"MaxHeaderBytes":16384,"MaxBodyBytes":65536,"HeaderTimeoutS":3,"IdleTimeoutS":15}}"#
            .to_owned(),
    );
    for (at, line) in lines.iter().enumerate().filter(|(_, line)| line.there) {
        let Line { service: to, heavy, rank, kind, timeout, .. } = line;
        let (one, two, kind) = (service(*to), service(to + 1), ["safe", "unsafe", "upload"][*kind]);
        let light = 100 - heavy;
        items.push(format!(
            r#"{{"ResourceType":"RouteTable","HeaderBlock":{{"Name":"r{at}"}},"SpecBody":{{"HostName":"a.example","PathPrefix":"/p{at}/","RouteType":"{kind}","TimeoutS":{timeout},"TargetLatencyS":0.25,"Priority":{rank},"MaxAttempts":2,"WeightedSplit":[{{"TargetService":"{one}","Weight":{heavy}}},{{"TargetService":"{two}","Weight":{light}}}]}}}}"#
        ));
    }
    let whole = format!(r#"{{"ConfigVersion":"{version:08x}","ResourceSet":[{}]}}"#, items.join(","));
    let bill = Configuration::parse(whole.as_bytes()).expect("a bill of the emulator");
    let intent = Arc::new(Intent::read(LogIndex(10 * version as u64), &bill, std::iter::empty()));
    let keyed = |route: &Route| (RouteKey::of(&route.host, &route.path_prefix), route.clone());
    Text { intent, routes: bill.routes.values().map(keyed).collect() }
}

#[derive(Clone, Debug)]
enum Mail {
    Claim(Claim),
    Challenge(u64),
    Held(Held),
    Report(Report),
    Ask(NodeAddress),
    Order(RunId, Fence, Step),
}

impl Mail {
    /// Of the datagram, with 28 bytes of its heads; numbers as postcard writes them, about.
    fn bytes(&self) -> usize {
        let body = match self {
            Mail::Claim(_) => 9 + 2 + 10,
            Mail::Challenge(_) => 10,
            Mail::Held(_) => 9 + 10 + 2 + 30,
            Mail::Report(report) => {
                12 + report.sights.iter().map(|sight| 15 + 5 * sight.weights.len()).sum::<usize>()
            }
            Mail::Ask(_) => 5,
            Mail::Order(..) => 9 + 4 + 12,
        };
        28 + body
    }
}

/// A new connection and its end, and each probe on it with its answer.
const CONNECTION_BYTES: usize = 7 * 40;
const PROBE_BYTES: usize = 180 + 170;

#[derive(Clone, Debug)]
enum Happens {
    Commit(usize),
    Arrive(usize, usize),
    /// The tables follow what was taken.
    Apply(usize),
    Wake(usize),
    Claim(usize),
    Judge,
    Mail(NodeAddress, NodeAddress, Mail),
    Looked {
        by: usize,
        of: usize,
        life: RunId,
        said: LogIndex,
        since: Micros,
        seen: Vec<(RouteKey, Option<Took>)>,
    },
    Request(usize),
    Restart(usize),
    Poll(usize),
}

struct Gate {
    life: RunId,
    up: bool,
    taken: usize,
    /// The versions that the tables of the two workers are made from.
    tables: [usize; 2],
    part: Option<(Part, usize)>,
    twisted: bool,
    kind: Option<Kind>,
    ill: bool,
    begun: Micros,
    caught: Option<Micros>,
    felt: Option<Micros>,
    late: Micros,
    slow: bool,
    liar: bool,
    cut: (Micros, Micros),
    ward: Ward,
    witness: Witness,
    accused: bool,
    withdrawn: bool,
}

pub struct World {
    plan: Plan,
    random: Rand64,
    now: Micros,
    seq: u64,
    queue: BinaryHeap<Reverse<(Micros, u64)>>,
    what: HashMap<u64, Happens>,
    texts: Vec<Text>,
    commits: Vec<Micros>,
    today: usize,
    gates: Vec<Gate>,
    judge: Judge,
    remedy: Remedy,
    frozen: (Micros, Micros),
    confessed: BTreeMap<usize, u8>,
    bytes: usize,
    looks: usize,
    most_out: usize,
}

fn place(at: usize) -> NodeAddress {
    NodeAddress(Ipv4Addr::from(0x0a00_0100 + at as u32))
}

fn gate_at(place: NodeAddress) -> usize {
    (u32::from(place.0) - 0x0a00_0100) as usize
}

pub fn run(plan: Plan) -> Figures {
    let mut world = World::start(plan);
    let end = world.plan.seconds * SECOND;
    while let Some(Reverse((at, seq))) = world.queue.pop() {
        if at > end {
            break;
        }
        world.now = at;
        if let Some(what) = world.what.remove(&seq) {
            world.play(what);
        }
    }
    world.figures()
}

impl World {
    fn start(plan: Plan) -> World {
        let mut random = Rand64::new((plan.seed * 7919 + plan.gateways as u64).into());
        let gap = if plan.rough { 4 } else { 6 };
        let changes = (plan.seconds / gap).max(2) as usize;
        let texts = texts(&mut random, changes);
        let tuning = Tuning::of_apply(APPLY);
        let gates = (0..plan.gateways)
            .map(|at| Gate {
                life: RunId(1),
                up: true,
                taken: 0,
                tables: [0, 0],
                part: None,
                twisted: false,
                kind: None,
                ill: false,
                begun: 0,
                caught: None,
                felt: None,
                late: 0,
                slow: plan.rough && random.rand_float() < 0.1,
                liar: false,
                cut: (0, 0),
                ward: Ward::start(RunId(1), tuning.clone(), 0),
                witness: Witness::start(place(at), tuning.clone(), plan.seed ^ (at as u64) << 8, 0),
                accused: false,
                withdrawn: false,
            })
            .collect();
        let judge = Judge::start(tuning.clone(), plan.seed, 0);
        let mut world = World {
            random,
            now: 0,
            seq: 0,
            queue: BinaryHeap::new(),
            what: HashMap::new(),
            commits: vec![0; texts.len()],
            texts,
            today: 0,
            gates,
            judge,
            remedy: Remedy::start(tuning),
            frozen: (0, 0),
            confessed: BTreeMap::new(),
            bytes: 0,
            looks: 0,
            most_out: 0,
            plan,
        };
        world.set(gap);
        world
    }

    fn set(&mut self, gap: i64) {
        let peers: Vec<NodeAddress> = (0..self.gates.len()).map(place).collect();
        let first = self.texts[0].intent.clone();
        for at in 0..self.gates.len() {
            let claim = self.random.rand_range(0..CLAIM_EVERY as u64) as Micros;
            self.at(claim, Happens::Claim(at));
            let gap = self.gap();
            self.at(gap, Happens::Request(at));
            self.witness(at, witness::Event::Peers(peers.clone()));
            self.witness(at, witness::Event::Applied(first.clone()));
            let (index, root) = (first.index, first.digest.root());
            self.ward(at, ward::Event::Holds { index, root });
            if self.plan.way == Way::Poll {
                self.at(claim, Happens::Poll(at));
            }
        }
        self.judged(judge::Event::Committed(first.clone()));
        self.remedied(remedy::Event::Lead(Some(Term(1))));
        self.remedied(remedy::Event::Today { index: first.index, root: first.digest.root() });
        self.members();
        self.judged(judge::Event::Lead { sure: true });
        self.at(100 * MS, Happens::Judge);
        for version in 1..self.texts.len() {
            let jitter = self.random.rand_range(0..SECOND as u64) as Micros;
            self.at((version as i64 * gap - 1) * SECOND + jitter, Happens::Commit(version));
        }
        // Who straggles, and at which change.
        let mut all: Vec<usize> = (0..self.gates.len()).collect();
        for _ in 0..self.plan.stragglers {
            let at = all.swap_remove(self.random.rand_range(0..all.len() as u64) as usize);
            self.gates[at].kind = Some(self.plan.kind);
            if self.plan.kind == Kind::Late {
                self.gates[at].late = 3 * SECOND;
            }
        }
        if self.plan.rough {
            let draw = |random: &mut Rand64, all: &mut Vec<usize>| {
                all.swap_remove(random.rand_range(0..all.len() as u64) as usize)
            };
            let liar = draw(&mut self.random, &mut all);
            self.gates[liar].liar = true;
            let late = draw(&mut self.random, &mut all);
            self.gates[late].late = 3 * SECOND;
            for _ in 0..self.gates.len().div_ceil(10) {
                let at = draw(&mut self.random, &mut all);
                let from = self.random.rand_range(2..self.plan.seconds as u64 - 4) as Micros * SECOND;
                self.gates[at].cut = (from, from + self.random.rand_range(1..4) as Micros * SECOND);
            }
        }
        if self.plan.frozen {
            let from = self.random.rand_range(2..self.plan.seconds as u64 - 4) as Micros * SECOND;
            self.frozen = (from, from + 2 * SECOND);
        }
    }

    fn gap(&mut self) -> Micros {
        (-(1.0 - self.random.rand_float()).ln() / FELT_RATE * SECOND as f64) as Micros + 1
    }

    fn at(&mut self, at: Micros, what: Happens) {
        self.seq += 1;
        self.what.insert(self.seq, what);
        self.queue.push(Reverse((at, self.seq)));
    }

    fn cut(&self, at: usize) -> bool {
        let (from, until) = self.gates[at].cut;
        !self.gates[at].up || (from..until).contains(&self.now)
    }

    /// A datagram between two places.
    fn send(&mut self, from: NodeAddress, to: NodeAddress, mail: Mail) {
        self.bytes += mail.bytes();
        let lost = self.plan.rough && self.random.rand_float() < 0.05;
        let ends = [from, to].into_iter().filter(|end| *end != LEADER);
        if lost || ends.clone().any(|end| self.cut(gate_at(end))) {
            return;
        }
        let mut delay = 1_400 + self.random.rand_range(0..4_000) as Micros;
        if from != LEADER {
            let gate = &self.gates[gate_at(from)];
            delay += gate.late;
            if gate.slow {
                delay += self.random.rand_range(0..400_000) as Micros;
            }
        }
        self.at(self.now + delay, Happens::Mail(from, to, mail));
    }

    fn members(&mut self) {
        let up = self.gates.iter().enumerate().filter(|(_, gate)| gate.up);
        let members: Vec<Member> = up
            .map(|(at, gate)| Member { place: place(at), life: gate.life, zone: (at % 3) as u16 })
            .collect();
        self.judged(judge::Event::Members(members.clone()));
        self.remedied(remedy::Event::Members(members));
    }

    fn play(&mut self, what: Happens) {
        match what {
            Happens::Commit(version) => self.commit(version),
            Happens::Arrive(at, version) => self.arrive(at, version),
            Happens::Apply(at) => self.apply(at),
            Happens::Wake(at) => {
                self.witness(at, witness::Event::Tick);
                self.ward(at, ward::Event::Tick);
                self.wake(at);
            }
            Happens::Claim(at) => {
                self.claim(at);
                self.wake(at);
                self.at(self.now + CLAIM_EVERY, Happens::Claim(at));
            }
            Happens::Judge => {
                self.at(self.now + APPLY / 20, Happens::Judge);
                if self.plan.way == Way::Whole && !(self.frozen.0..self.frozen.1).contains(&self.now) {
                    let many = self.judge.many();
                    self.judged(judge::Event::Tick);
                    self.remedied(remedy::Event::Doubt(many));
                    self.remedied(remedy::Event::Tick);
                }
            }
            Happens::Mail(from, to, mail) => self.mail(from, to, mail),
            Happens::Looked { by, of, life, said, since, seen } => {
                for (route, took) in seen {
                    let said = Some(said);
                    self.witness(by, witness::Event::Saw { of: place(of), life, said, since, route, took });
                }
            }
            Happens::Request(at) => self.request(at),
            Happens::Restart(at) => self.restart(at, self.gates[at].tables[0]),
            Happens::Poll(at) => {
                self.send(LEADER, place(at), Mail::Challenge(self.now as u64));
                self.at(self.now + SECOND, Happens::Poll(at));
            }
        }
    }

    fn commit(&mut self, version: usize) {
        (self.today, self.commits[version]) = (version, self.now);
        let intent = self.texts[version].intent.clone();
        self.judged(judge::Event::Committed(intent.clone()));
        self.remedied(remedy::Event::Today { index: intent.index, root: intent.digest.root() });
        let old = self.plan.kind == Kind::OldRestart;
        for at in 0..self.gates.len() {
            let delay = 10 * MS + self.random.rand_range(0..30_000) as Micros;
            let gate = &self.gates[at];
            let rough = if self.plan.rough { self.random.rand_range(0..500_000) as Micros } else { 0 };
            let slow = if gate.slow { self.random.rand_range(0..1_000_000) as Micros } else { 0 };
            let healed = (gate.cut.1 - self.now).max(0) * i64::from(self.cut(at));
            self.at(self.now + delay + rough + slow + healed, Happens::Arrive(at, version));
            if old && version == 2 && self.gates[at].kind.is_some() {
                // It starts from the state of the change before.
                let from = self.now + 2 * SECOND + delay;
                self.gates[at].begun = from;
                self.at(from, Happens::Restart(at));
            }
        }
    }

    fn arrive(&mut self, at: usize, version: usize) {
        let gate = &mut self.gates[at];
        if !gate.up || gate.taken >= version {
            return;
        }
        let lacks = matches!(gate.kind, Some(Kind::Late | Kind::Forged | Kind::OldRestart)) && gate.ill;
        if lacks {
            return;
        }
        let starts = version == 2 && gate.begun == 0 && !matches!(gate.kind, None | Some(Kind::OldRestart));
        if starts {
            (gate.ill, gate.begun) = (true, self.now);
            if matches!(gate.kind, Some(Kind::Late | Kind::Forged)) {
                return;
            }
        }
        gate.taken = version;
        self.apply(at);
    }

    /// The tables are made from what was taken, as well as this gateway can.
    fn apply(&mut self, at: usize) {
        let gate = &mut self.gates[at];
        let version = gate.taken;
        let kind = gate.kind.filter(|_| gate.ill);
        match kind {
            Some(Kind::NotApplied) => {}
            Some(Kind::StuckWorker) => gate.tables[0] = version,
            Some(Kind::PartUnchanged) if gate.part.is_none() => {
                let (old, new) = (&self.texts[gate.tables[0]].intent, &self.texts[version].intent);
                gate.part = old.digest.differing(&new.digest).next().map(|part| (part, gate.tables[0]));
                gate.tables = [version; 2];
            }
            Some(Kind::TableWrong) => (gate.twisted, gate.tables) = (true, [version; 2]),
            _ => gate.tables = [version; 2],
        }
        let holds = &self.texts[version].intent;
        let (index, root) = (holds.index, holds.digest.root());
        // A witness takes what was taken from the log; a ward what is read back.
        self.witness(at, witness::Event::Applied(holds.clone()));
        if !matches!(kind, Some(Kind::NotApplied | Kind::PartUnchanged)) {
            self.ward(at, ward::Event::Holds { index, root });
        }
        self.claim(at);
        self.wake(at);
    }

    /// What this gateway says that it runs.
    fn said(&self, at: usize) -> usize {
        let gate = &self.gates[at];
        if gate.ill && gate.kind == Some(Kind::Forged) { self.today } else { gate.taken }
    }

    fn sums(&self, at: usize, nonce: u64) -> [u32; Part::COUNT] {
        let gate = &self.gates[at];
        let read = match gate.kind.filter(|_| gate.ill) {
            Some(Kind::NotApplied | Kind::OldRestart | Kind::Late) => gate.tables[0],
            _ => self.said(at),
        };
        let mut sums = self.texts[read].intent.salted(nonce);
        if let Some((part, old)) = gate.part {
            sums[part as usize] = self.texts[old].intent.salted(nonce)[part as usize];
        }
        sums
    }

    fn claim(&mut self, at: usize) {
        if !self.gates[at].up {
            return;
        }
        let intent = &self.texts[self.said(at)].intent;
        let wrong = self.sums(at, 0) != intent.salted(0);
        let root = intent.digest.root() ^ u64::from(wrong);
        let claim = Claim { life: self.gates[at].life, index: intent.index, root };
        self.send(place(at), LEADER, Mail::Claim(claim));
    }

    /// How a request on `route` is handled by a worker.
    fn took(&mut self, at: usize, route: RouteKey, worker: usize) -> Option<Took> {
        let gate = &self.gates[at];
        let text = &self.texts[gate.tables[worker]];
        let found = text.routes.get(&route);
        let chance = self.random.rand_float();
        let of = |route: &Route| {
            let first = chance * 100.0 < route.targets[0].weight;
            Took::of(route, &route.targets[usize::from(!first)].service)
        };
        let mut took = found.map(of);
        if let Some((part, old)) = gate.part {
            let old = self.texts[old].routes.get(&route).map(of);
            took = match (part, took, old) {
                (Part::Routes, None, old) => old,
                (Part::Routes, _, None) => None,
                (Part::Routes, Some(new), Some(old)) => {
                    Some(Took { service: old.service, targets: old.targets, ..new })
                }
                (Part::Priorities, Some(new), Some(old)) => Some(Took { rank: old.rank, ..new }),
                (Part::Kinds, Some(new), Some(old)) => Some(Took { kind: old.kind, ..new }),
                (Part::Limits, Some(new), Some(old)) => Some(Took { limits: old.limits, ..new }),
                (Part::Splits, Some(new), Some(old)) => Some(Took { weights: old.weights, ..new }),
                (_, took, _) => took,
            };
        }
        if gate.twisted && self.changed().contains(&route) {
            // The lookup lands one row off.
            let mut keys: Vec<RouteKey> = text.routes.keys().copied().collect();
            keys.sort_unstable();
            let next = keys.iter().find(|key| **key > route).or(keys.first());
            took = next.and_then(|key| text.routes.get(key)).map(of);
        }
        took
    }

    /// Routes of the last change.
    fn changed(&self) -> Vec<RouteKey> {
        if self.today == 0 {
            return Vec::new();
        }
        let (old, new) = (&self.texts[self.today - 1].intent, &self.texts[self.today].intent);
        old.replaced_by(new).into_iter().map(|(key, _)| key).filter(|key| *key != RouteKey::ALL).collect()
    }

    /// A client's request on a route that changed: was it handled as only an older intent wants?
    fn request(&mut self, at: usize) {
        let next = self.now + self.gap();
        self.at(next, Happens::Request(at));
        let routes = self.changed();
        if routes.is_empty() || !self.gates[at].ill || !self.gates[at].up || self.gates[at].felt.is_some() {
            return;
        }
        let route = routes[self.random.rand_range(0..routes.len() as u64) as usize];
        let worker = self.random.rand_range(0..2) as usize;
        let took = self.took(at, route, worker);
        let right = self.texts[self.today].routes.get(&route);
        let fits = match (took, right) {
            (None, None) => true,
            (Some(took), Some(right)) => {
                right.targets.iter().any(|target| Took::of(right, &target.service) == took)
            }
            _ => false,
        };
        let gate = &mut self.gates[at];
        let back = Part::ALL.into_iter().any(|part| gate.ward.turns_back(part));
        let ripe = gate.kind == Some(Kind::OldRestart) || self.now > self.commits[self.today] + APPLY;
        // The baselines have no door at the start.
        let open = gate.ward.open() || self.plan.way != Way::Whole;
        if !fits && ripe && open && !back {
            gate.felt = Some(self.now);
        }
    }

    fn restart(&mut self, at: usize, version: usize) {
        let tuning = Tuning::of_apply(APPLY);
        let gate = &mut self.gates[at];
        let first = gate.kind == Some(Kind::OldRestart) && !gate.ill && gate.caught.is_none();
        gate.life = RunId(gate.life.0 + 1);
        gate.ward = Ward::start(gate.life, tuning.clone(), self.now);
        gate.witness = Witness::start(place(at), tuning, self.now as u64, self.now);
        (gate.part, gate.twisted) = (None, false);
        let peers: Vec<NodeAddress> = (0..self.gates.len()).map(place).collect();
        self.witness(at, witness::Event::Peers(peers));
        let gate = &mut self.gates[at];
        if first {
            (gate.ill, gate.begun) = (true, self.now);
            (gate.taken, gate.tables) = (version.saturating_sub(1), [version.saturating_sub(1); 2]);
        } else {
            (gate.ill, gate.taken) = (false, self.today);
        }
        self.members();
        self.apply(at);
    }

    fn wake(&mut self, at: usize) {
        let due = self.gates[at].witness.due().min(self.gates[at].ward.due()).max(self.now + MS);
        if due < self.now + CLAIM_EVERY {
            self.at(due, Happens::Wake(at));
        }
    }

    fn mail(&mut self, from: NodeAddress, to: NodeAddress, mail: Mail) {
        if to != LEADER && self.cut(gate_at(to)) {
            return;
        }
        let frozen = (self.frozen.0..self.frozen.1).contains(&self.now);
        match mail {
            Mail::Challenge(nonce) => {
                let at = gate_at(to);
                let index = self.texts[self.said(at)].intent.index;
                let held = Held { life: self.gates[at].life, nonce, index, sums: self.sums(at, nonce) };
                self.send(to, LEADER, Mail::Held(held));
            }
            Mail::Ask(of) => {
                self.witness(gate_at(to), witness::Event::Asked { of });
                self.wake(gate_at(to));
            }
            Mail::Order(life, fence, step) => {
                self.ward(gate_at(to), ward::Event::Order { life, fence, step });
                self.wake(gate_at(to));
            }
            _ if frozen => {}
            Mail::Claim(claim) => self.claimed(from, claim),
            Mail::Held(held) => self.answered(from, held),
            Mail::Report(report) => self.judged(judge::Event::Report { from, report }),
        }
    }

    fn claimed(&mut self, from: NodeAddress, claim: Claim) {
        let intent = &self.texts[self.today].intent;
        let wrong = match self.plan.way {
            Way::Whole => return self.judged(judge::Event::Claim { from, claim }),
            Way::Trust => claim.index < intent.index,
            Way::Versions => (claim.index, claim.root) != (intent.index, intent.digest.root()),
            Way::Poll => false,
        };
        if wrong && self.now - self.commits[self.today] > APPLY * 7 / 10 {
            self.baseline(from);
        }
    }

    fn answered(&mut self, from: NodeAddress, held: Held) {
        if self.plan.way == Way::Whole {
            return self.judged(judge::Event::Held { from, held });
        }
        let wrong = held.sums != self.texts[self.today].intent.salted(held.nonce);
        let asked = held.nonce as Micros;
        if wrong && asked - self.commits[self.today] > APPLY * 3 / 10 {
            let count = self.confessed.entry(gate_at(from)).or_default();
            *count += 1;
            if *count >= 2 {
                self.baseline(from);
            }
        } else if !wrong {
            self.confessed.remove(&gate_at(from));
        }
    }

    /// A baseline's only step: rebuild.
    fn baseline(&mut self, of: NodeAddress) {
        let life = self.gates[gate_at(of)].life;
        let fence = Fence { term: Term(1), number: self.now as u64 };
        self.send(LEADER, of, Mail::Order(life, fence, Step::Rebuild { parts: 63 }));
    }

    fn judged(&mut self, event: judge::Event) {
        let effects = self.judge.step(self.now, event);
        for effect in effects {
            match effect {
                judge::Effect::Challenge { to, nonce } => self.send(LEADER, to, Mail::Challenge(nonce)),
                judge::Effect::Ask { by, of } => self.send(LEADER, by, Mail::Ask(of)),
                judge::Effect::Changed { place, life, part, to, why, .. } => {
                    if std::env::var_os("TELL").is_some() {
                        println!("{:8.3} {place} {part:?} {to:?} {why:?}", self.now as f64 / 1e6);
                    }
                    self.remedied(remedy::Event::Changed { place, life, part, to, why });
                }
                judge::Effect::OwnDoubt => self.remedied(remedy::Event::Doubt(true)),
            }
        }
    }

    fn remedied(&mut self, event: remedy::Event) {
        if self.plan.way != Way::Whole {
            return;
        }
        let effects = self.remedy.step(self.now, event);
        for effect in effects {
            match effect {
                remedy::Effect::Order { to, life, fence, step } => {
                    self.send(LEADER, to, Mail::Order(life, fence, step));
                }
                remedy::Effect::Repaired(place) => self.judge.repaired(self.now, place),
                remedy::Effect::Write(note) => {
                    if std::env::var_os("TELL").is_some() {
                        println!("{:8.3} {} {:?}", self.now as f64 / 1e6, note.place, note.step);
                    }
                }
            }
        }
        self.most_out = self.most_out.max(self.remedy.withdrawn());
    }

    fn witness(&mut self, at: usize, event: witness::Event) {
        let effects = self.gates[at].witness.step(self.now, event);
        for effect in effects {
            match effect {
                witness::Effect::Tell(mut report) => {
                    if self.gates[at].liar {
                        let lie = |weight: &mut witness::Weight| (weight.older, weight.other) = (550, 550);
                        report.sights.iter_mut().flat_map(|sight| &mut sight.weights).for_each(lie);
                    }
                    if self.plan.way == Way::Whole {
                        self.send(place(at), LEADER, Mail::Report(report));
                    }
                }
                witness::Effect::Look { of, routes } if self.plan.way == Way::Whole => {
                    self.look(at, gate_at(of), &routes);
                }
                witness::Effect::Look { .. } => {}
            }
        }
    }

    /// Over one new connection, so by one worker; lost with a cut, late with a slow node.
    fn look(&mut self, by: usize, of: usize, routes: &[RouteKey]) {
        self.bytes += CONNECTION_BYTES + PROBE_BYTES * routes.len();
        self.looks += 1;
        let fails = self.plan.rough && self.random.rand_float() < 0.02;
        if self.cut(by) || self.cut(of) || fails {
            return;
        }
        let worker = self.random.rand_range(0..2) as usize;
        let seen = routes.iter().map(|route| (*route, self.took(of, *route, worker))).collect();
        let slow = if self.gates[of].slow { self.random.rand_range(0..800_000) as Micros } else { 0 };
        let (life, said) = (self.gates[of].life, self.texts[self.said(of)].intent.index);
        let at = self.now + 3 * MS + slow;
        self.at(at, Happens::Looked { by, of, life, said, since: self.now, seen });
    }

    fn ward(&mut self, at: usize, event: ward::Event) {
        if let ward::Event::Order { life, step, .. } = event
            && life == self.gates[at].life
        {
            self.ordered(at, step);
        }
        let effects = self.gates[at].ward.step(self.now, event);
        for effect in effects {
            match effect {
                ward::Effect::AskAgain => {
                    if matches!(self.gates[at].kind, Some(Kind::Late | Kind::OldRestart)) {
                        self.gates[at].ill = false;
                    }
                    self.at(self.now + 30 * MS, Happens::Arrive(at, self.today));
                }
                ward::Effect::Rebuild { .. } => {
                    let odd = at % 2 == 1;
                    let gate = &mut self.gates[at];
                    // What a rebuild mends; half of the wrong lookups are built wrong again.
                    let mends = match gate.kind {
                        Some(Kind::StuckWorker | Kind::Forged) => false,
                        Some(Kind::TableWrong) => odd,
                        _ => true,
                    };
                    if mends {
                        (gate.ill, gate.part, gate.twisted) = (false, None, false);
                    }
                    self.at(self.now + 20 * MS, Happens::Apply(at));
                }
                ward::Effect::Restart => self.at(self.now + 500 * MS, Happens::Restart(at)),
                ward::Effect::Open(_) => {}
            }
        }
    }

    fn ordered(&mut self, at: usize, step: Step) {
        let gate = &mut self.gates[at];
        if gate.ill {
            if matches!(step, Step::Rebuild { .. } | Step::Resend { .. }) {
                gate.caught.get_or_insert(self.now);
            }
        } else if gate.kind.is_none() {
            gate.accused |= matches!(step, Step::Rebuild { .. });
            gate.withdrawn |= matches!(step, Step::Withdraw);
        }
    }

    fn figures(&self) -> Figures {
        let mut figures = Figures { most_out: self.most_out, ..Figures::default() };
        let span = self.plan.seconds as f64 * self.gates.len() as f64;
        (figures.bytes_node_s, figures.looks_node_s) = (self.bytes as f64 / span, self.looks as f64 / span);
        for (at, gate) in self.gates.iter().enumerate() {
            figures.false_accused += usize::from(gate.accused);
            figures.false_withdrawn += usize::from(gate.withdrawn);
            if gate.kind.is_none() {
                continue;
            }
            figures.stragglers += 1;
            let first = match (gate.caught, gate.felt) {
                (Some(caught), Some(felt)) => caught <= felt,
                (_, felt) => felt.is_none(),
            };
            figures.caught_first += usize::from(first);
            if let Some(caught) = gate.caught {
                figures.caught += 1;
                figures.catch_time += (caught - gate.begun) as f64 / SECOND as f64;
            }
            let well = Part::ALL.into_iter().all(|part| !self.judge.state(place(at), part).accused());
            let in_again =
                self.remedy.stage(place(at)).is_none_or(|stage| matches!(stage, Stage::Well | Stage::Resent));
            figures.back += usize::from(!gate.ill && well && in_again && gate.ward.open());
        }
        figures
    }
}
