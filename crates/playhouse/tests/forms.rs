//! Rolling upgrades between format versions: nodes of a cluster in simulated time are upgraded one by one to a program
//! that reads one format version more, while configuration changes are acknowledged and repeated. Tested from 0.5.0 to
//! this program, as far as format versions go, and from this program to a stand-in for the next.

use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use std::rc::Rc;

use consensus::{Entry, EntryPayload, Members, Write, WriteId};
use control_state::{Command, CommandOutcome, ControlState, Timestamp};
use membership::{Member, Role};
use playhouse::control_plane::{self, CallOutcome, ControlPlane};
use playhouse::data_plane::{self, DataPlane};
use playhouse::node::{NodeCore, NodeMessage};
use playhouse::settings::{DerivedTimings, Settings};
use simd_json::prelude::*;
use storage::LogStore;
use transport::{DiskStore, MemoryStore};
use types::{
    CallId, Carrier, ConfigVersion, FormatRange, FormatVersion, LogIndex, MS, Micros, NodeAddress,
    NodeVersion, ProgramVersion, RunId, SECOND, Term, VoterId,
};

/// The format versions that 0.5.0 reads.
const BEFORE: FormatRange = FormatRange { oldest: FormatVersion(1), newest: FormatVersion(1) };
const NOW: FormatRange = FormatRange::SUPPORTED;
/// The next program's additional format version differs from the newest one here in its number only.
const NEXT: FormatRange = FormatRange { oldest: FormatVersion(1), newest: FormatVersion(3) };
const CORE: usize = 3;
const NODES: usize = 5;
const SETTINGS: &str = "NodeName = \"n\"\nIpAddress = \"10.0.0.1\"\nZone = \"z\"\nInternalPortRange = [7620, 7635]\n\
 SeedNodes = [\"10.0.0.1:8649\"]\n";

fn address(node: usize) -> NodeAddress {
    NodeAddress(Ipv4Addr::new(10, 0, 0, node as u8 + 1))
}

fn member(node: usize, run_id: u64, formats: FormatRange) -> Member {
    Member {
        address: address(node),
        run_id: RunId(run_id),
        role: if node < CORE { Role::ControlNode } else { Role::Gateway },
        zone: "z".into(),
        name: format!("n{node}"),
        version: NodeVersion {
            program: ProgramVersion { major: 9, minor: formats.newest.0.into(), patch: 0 },
            formats,
        },
    }
}

fn text(version: u32) -> Vec<u8> {
    format!(
        r#"{{"ConfigVersion":"{version:08x}","ResourceSet":[{{"ResourceType":"LimitSet","HeaderBlock":{{}},
        "SpecBody":{{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeoutS":3,"IdleTimeoutS":15}}}}]}}"#
    )
    .into_bytes()
}

enum Process {
    Control(Box<ControlPlane>, LogStore<MemoryStore>),
    Gateway(Box<DataPlane>),
}

enum Event {
    Mail { to: usize, from: usize, bytes: Vec<u8> },
    Synced { at: usize, run: u64, write: Write },
}

#[derive(Default)]
struct Node {
    store: MemoryStore,
    saved_instances: Option<Vec<u8>>,
    process: Option<Process>,
    run: u64,
    stepped: Micros,
}

#[derive(Default)]
struct World {
    now: Micros,
    /// Events queued so far; orders events of the same time.
    queued: u64,
    heap: BTreeMap<(Micros, u64), Event>,
    nodes: Vec<Node>,
    /// The newest configuration version that was acknowledged.
    acked: u32,
    /// The change under way and when it was proposed.
    pending: Option<(CallId, Micros)>,
    next_order: Micros,
    /// The last call id; each change takes two, one for a repeat of an earlier change.
    last_call: u64,
    /// Calls that send an acknowledged change once more.
    repeats: BTreeSet<CallId>,
    /// How many of those were answered as repeated.
    repeated: u64,
    /// The state after each entry, which is the same on every node.
    states: BTreeMap<LogIndex, Vec<u8>>,
    /// Number of messages by the format version that they were written in.
    messages: BTreeMap<u8, u64>,
    /// Number of messages that refused to admit a node as a voter.
    joins_refused: u64,
}

impl World {
    fn open(formats: FormatRange) -> World {
        let mut world = World { nodes: (0..NODES).map(|_| Node::default()).collect(), ..World::default() };
        (0..NODES).for_each(|node| world.start(node, formats));
        world
    }

    fn start(&mut self, node: usize, formats: FormatRange) {
        self.queued += 1;
        let (seed, now) = (self.queued, self.now);
        let fresh = RunId(if now == 0 { 0 } else { seed });
        let own = member(node, seed, formats);
        let mut node_core = NodeCore::start(own, (0..CORE).map(address).collect(), 1_500 * MS, seed, now);
        let one = &mut self.nodes[node];
        one.run += 1;
        one.stepped = now;
        if node >= CORE {
            let table = SETTINGS.parse().expect("TOML");
            let settings = Settings::from_table(&table).expect("settings that hold");
            one.process =
                Some(Process::Gateway(Box::new(DataPlane::start(node_core, Rc::new(settings), seed, now))));
            return;
        }
        if let Some(saved) = &one.saved_instances {
            node_core.restore_instances(now, saved);
        }
        let (log_store, opened) = LogStore::open(one.store.clone(), fresh).expect("a sound disk");
        let voter_id = VoterId { address: address(node), disk_id: opened.disk_id };
        let voters = (0..CORE).map(|node| VoterId { address: address(node), disk_id: RunId(0) }).collect();
        let first = (opened.is_new && now == 0).then_some(Members(voters));
        let (control, out) = ControlPlane::start(
            node_core,
            voter_id,
            first,
            opened.state,
            &DerivedTimings::default(),
            seed,
            now,
        );
        one.process = Some(Process::Control(Box::new(control), log_store));
        self.run_outputs(node, out);
    }

    /// Stops a node in order, and starts it with another program on the same disk.
    fn replace_program(&mut self, node: usize, formats: FormatRange) {
        self.step_control_plane(node, control_plane::Input::Leave);
        self.step_gateway(node, data_plane::Input::Leave);
        self.run_for(200 * MS);
        self.nodes[node].process = None;
        self.run_for(100 * MS);
        self.start(node, formats);
    }

    fn schedule(&mut self, after: Micros, event: Event) {
        self.queued += 1;
        self.heap.insert((self.now + after, self.queued), event);
    }

    fn send(&mut self, from: usize, to: NodeAddress, bytes: Vec<u8>) {
        *self.messages.entry(bytes[0] & 0x7f).or_default() += 1;
        let message = postcard::from_bytes(&bytes[2..]);
        self.joins_refused += u64::from(matches!(message, Ok(NodeMessage::JoinRefused { .. })));
        if let Some(to) = (0..NODES).find(|node| address(*node) == to) {
            self.schedule(MS + (self.queued % 300) as Micros, Event::Mail { to, from, bytes });
        }
    }

    fn step_control_plane(&mut self, node: usize, event: control_plane::Input) {
        let now = self.now;
        let Some(Process::Control(control, _)) = &mut self.nodes[node].process else { return };
        let out = control.step(now, event);
        self.run_outputs(node, out);
    }

    fn run_outputs(&mut self, node: usize, out: Vec<control_plane::Output>) {
        let run = self.nodes[node].run;
        for output in out {
            match output {
                control_plane::Output::Send { to, envelope } => {
                    self.send(node, to, envelope.to_bytes().expect("a message that can be encoded"))
                }
                control_plane::Output::Write(write) => {
                    self.schedule(500, Event::Synced { at: node, run, write })
                }
                control_plane::Output::SaveInstances(saved) => self.nodes[node].saved_instances = Some(saved),
                control_plane::Output::Reply { call, outcome } => {
                    if self.pending.is_some_and(|(pending, _)| pending == call) {
                        self.pending = None;
                        if let CallOutcome::Applied(CommandOutcome::Applied | CommandOutcome::Repeated) =
                            &outcome
                        {
                            self.acked += 1;
                        }
                    }
                    if let (true, CallOutcome::Applied(applied)) = (self.repeats.remove(&call), &outcome) {
                        assert_eq!(
                            *applied,
                            CommandOutcome::Repeated,
                            "a change that was acknowledged is known"
                        );
                        self.repeated += 1;
                    }
                }
            }
        }
        self.check_same_state(node);
    }

    fn step_gateway(&mut self, node: usize, event: data_plane::Input<'_>) {
        let now = self.now;
        let Some(Process::Gateway(floor)) = &mut self.nodes[node].process else { return };
        for output in floor.step(now, event) {
            if let data_plane::Effect::Send { to, message: word } = output {
                self.send(node, to, word.to_bytes().expect("a message that can be encoded"));
            }
        }
        self.check_same_state(node);
    }

    /// Checks that no node has applied anything else than the others.
    fn check_same_state(&mut self, node: usize) {
        let Some(node_core) = self.node_core(node) else { return };
        let (index, state) = (node_core.state.last_applied(), node_core.state.snapshot());
        let known = self.states.entry(index).or_insert_with(|| state.clone());
        assert!(*known == state, "node {node} has another state at {}", index.0);
    }

    fn node_core(&self, node: usize) -> Option<&NodeCore> {
        match &self.nodes[node].process {
            Some(Process::Control(control, _)) => Some(&control.node),
            Some(Process::Gateway(floor)) => Some(&floor.node),
            None => None,
        }
    }

    /// Proposes an operator's next change, unless one is pending.
    fn propose_next_change(&mut self) {
        self.next_order = self.now + 100 * MS;
        if self.pending.is_some_and(|(_, at)| self.now - at < SECOND) {
            return;
        }
        let leads = |node: &usize| match &self.nodes[*node].process {
            Some(Process::Control(control, _)) if control.raft().is_leader() => Some(control.raft().term()),
            _ => None,
        };
        let Some(leader) = (0..CORE).filter(|node| leads(node).is_some()).max_by_key(leads) else { return };
        self.last_call += 2;
        let (call, repeat_call) = (CallId(self.last_call), CallId(self.last_call + 1));
        if self.acked > 0 {
            // One of the last sixty, as the first format version keeps no more idempotency records.
            let version = self.acked - (self.last_call / 2) as u32 % self.acked.min(60);
            self.repeats.insert(repeat_call);
            let command = Command::Replace { base: ConfigVersion(version - 1), text: text(version) };
            self.step_control_plane(leader, control_plane::Input::Propose { call: repeat_call, command });
        }
        self.pending = Some((call, self.now));
        let (base, text) = (ConfigVersion(self.acked), text(self.acked + 1));
        self.step_control_plane(
            leader,
            control_plane::Input::Propose { call, command: Command::Replace { base, text } },
        );
    }

    fn due(&self, node: usize) -> Micros {
        let due = match &self.nodes[node].process {
            Some(Process::Control(control, _)) => control.due(),
            Some(Process::Gateway(floor)) => floor.due(),
            None => return Micros::MAX,
        };
        // The driver stops a control node that applies nothing any more.
        if self.node_core(node).is_some_and(|node_core| node_core.unreadable_entry().is_some()) && node < CORE
        {
            return Micros::MAX;
        }
        due.max(self.nodes[node].stepped + MS / 2)
    }

    fn run_for(&mut self, duration: Micros) {
        let end = self.now + duration;
        loop {
            let (due, node) = (0..NODES).map(|node| (self.due(node), node)).min().expect("nodes");
            let mail = self.heap.first_key_value().map_or(Micros::MAX, |((at, _), _)| *at);
            let next = due.min(mail).min(self.next_order);
            if next > end {
                self.now = end;
                return;
            }
            self.now = self.now.max(next);
            if next == self.next_order {
                self.propose_next_change();
            } else if next == mail {
                let (_, event) = self.heap.pop_first().expect("it is there");
                self.handle(event);
            } else {
                self.nodes[node].stepped = self.now;
                self.step_control_plane(node, control_plane::Input::Tick);
                self.step_gateway(node, data_plane::Input::Tick);
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Mail { to, from, bytes } => {
                self.step_gateway(
                    to,
                    data_plane::Input::MessageReceived {
                        from: address(from),
                        bytes: &bytes,
                        carrier: Carrier::Datagram,
                    },
                );
                self.step_control_plane(
                    to,
                    control_plane::Input::Received { from: address(from), bytes, carrier: Carrier::Datagram },
                );
            }
            Event::Synced { at, run, write } if self.nodes[at].run == run => {
                let Some(Process::Control(_, log_store)) = &mut self.nodes[at].process else { return };
                log_store.write(&write).expect("a write that fits");
                self.step_control_plane(
                    at,
                    control_plane::Input::WriteFinished { write: write.id, durable: true },
                );
            }
            Event::Synced { .. } => {}
        }
    }

    /// Checks that all of these nodes have what was acknowledged and agree on this format version, and that changes go on.
    fn check_all_current(&mut self, nodes: &[usize], agreed: u8) {
        let (before, repeated) = (self.acked, self.repeated);
        self.run_for(2 * SECOND);
        assert!(self.acked > before, "changes are acknowledged: {} after {before}", self.acked);
        assert!(self.repeated > repeated, "repeated changes are recognized");
        for node in nodes {
            let node_core = self.node_core(*node).expect("it runs");
            assert_eq!(node_core.unreadable_reason(), None, "node {node}");
            assert_eq!(node_core.state.agreed_format(), FormatVersion(agreed), "node {node}");
            let version = node_core.state.configuration_version().0;
            assert!(version + 1 >= self.acked, "node {node} has {version} of {}", self.acked);
        }
    }

    /// Checks that a node can't go on, and reports what it reads and what is agreed.
    fn check_stopped(&self, node: usize, reads: FormatVersion, agreed: FormatVersion) {
        let why =
            self.node_core(node).and_then(|node_core| node_core.unreadable_reason()).unwrap_or_default();
        let own = format!("9.{reads}.0, which reads forms 1 to {reads}");
        assert!(why.contains(&format!("form {agreed} is ")) && why.contains(&own), "node {node}: {why:?}");
    }
}

#[test]
fn nodes_upgrade_to_the_next_version_one_by_one_and_back_until_its_format_is_agreed() {
    check_rolling_upgrade(NOW, NEXT);
}

#[test]
fn nodes_upgrade_from_the_previous_version_one_by_one_and_back_until_its_format_is_agreed() {
    check_rolling_upgrade(BEFORE, NOW);
}

fn check_rolling_upgrade(older: FormatRange, newer: FormatRange) {
    let all: Vec<usize> = (0..NODES).collect();
    let (low, high) = (older.newest.0, newer.newest.0);
    let mut world = World::open(older);
    world.run_for(4 * SECOND);
    world.check_all_current(&all, low);
    for node in 0..NODES {
        assert_eq!(
            world.messages.contains_key(&high),
            node > 1,
            "from the second upgraded node on, messages use the newer format"
        );
        world.replace_program(node, newer);
        world.check_all_current(&all, low);
    }
    let refused: u64 =
        all.iter().filter_map(|node| world.node_core(*node)).map(NodeCore::rejected_messages).sum();
    assert_eq!(refused, 0, "no node was sent a format version that it does not read");
    // One node goes back: while it reads less, nothing newer is agreed, however long that lasts.
    world.replace_program(0, older);
    world.run_for(40 * SECOND);
    world.check_all_current(&all, low);
    world.replace_program(0, newer);
    world.run_for(25 * SECOND);
    world.check_all_current(&all, low);
    world.run_for(10 * SECOND);
    world.check_all_current(&all, high);
    // From here on the older program can't run: on the disk of a voter, as a gateway, as a new node.
    let disk_id = |world: &World| match &world.nodes[0].process {
        Some(Process::Control(control, _)) => control.voter_id().disk_id,
        _ => RunId(0),
    };
    world.replace_program(1, older);
    world.replace_program(4, older);
    world.run_for(3 * SECOND);
    world.check_stopped(1, older.newest, newer.newest);
    world.check_stopped(4, older.newest, newer.newest);
    let Some(Process::Gateway(gateway)) = &world.nodes[4].process else { panic!("it is a gateway") };
    assert!(!gateway.ready());
    let status = gateway.status();
    let why = status.get("NotReadyFor").and_then(|why| why.as_str()).unwrap_or_default();
    assert!(why.contains(&format!("which reads forms 1 to {low}")), "{why:?}");
    world.check_all_current(&[0, 2, 3], high);
    world.replace_program(1, newer);
    world.replace_program(4, newer);
    world.check_all_current(&all, high);
    assert_eq!(disk_id(&world), RunId(0));
    world.nodes[0].store = MemoryStore::default();
    assert_eq!(world.joins_refused, 0);
    world.replace_program(0, older);
    world.run_for(3 * SECOND);
    world.check_stopped(0, older.newest, newer.newest);
    assert!(world.joins_refused > 0, "the leader refuses it before it is sent a state that it can't read");
    let newcomer = disk_id(&world);
    world.check_all_current(&[1, 2, 3, 4], high);
    let Some(Process::Control(control, _)) = &world.nodes[1].process else { panic!("it is a control node") };
    assert!(
        control.raft().members().0.iter().all(|voter| voter.disk_id != newcomer),
        "it is not admitted as a voter"
    );
    // The newer program on that disk is admitted, and killing all at once loses nothing that was acknowledged.
    world.replace_program(0, newer);
    world.run_for(12 * SECOND);
    world.check_all_current(&all, high);
    world.nodes.iter_mut().for_each(|node| node.process = None);
    let acked = world.acked;
    (0..NODES).for_each(|node| world.start(node, newer));
    world.run_for(3 * SECOND);
    assert!(world.acked > acked);
    world.check_all_current(&all, high);
}

/// The encoded messages that a node has to send now.
fn encoded_messages(node_core: &mut NodeCore) -> Vec<Vec<u8>> {
    let messages = node_core.take_messages().into_iter();
    messages
        .filter_map(|(to, message)| node_core.envelope(to, message))
        .map(|envelope| envelope.to_bytes().expect("a message that can be encoded"))
        .collect()
}

#[test]
fn a_newer_message_is_rejected_and_reported_once_and_an_older_one_is_read() {
    let start =
        |node, formats| NodeCore::start(member(node, 7, formats), vec![address(0), address(1)], SECOND, 3, 0);
    let (mut old, mut new) = (start(0, NOW), start(1, NEXT));
    let joins = encoded_messages(&mut old);
    let join = joins.first().expect("a start says something");
    let [first, own, next] = [FormatVersion(1), NOW.newest, NEXT.newest].map(FormatVersion::tag_byte);
    assert_eq!(join[..2], [first, own]);
    // An older message is read, and answered in the format version that both read.
    new.received(10, address(0), join, Carrier::Datagram);
    assert_eq!(new.membership.member(address(0)).map(|member| member.version.formats), Some(NOW));
    assert!(encoded_messages(&mut new).iter().all(|bytes| bytes[..2] == [own, next]), "in the older format");
    // A newer message, or one without a valid header, is rejected: counted, reported once, and without other effect.
    old.received(10, address(1), &encoded_messages(&mut start(1, NEXT))[0], Carrier::Datagram);
    drop(old.take_messages());
    while old.next_event().is_some() {}
    let mut newer = join.clone();
    newer[..2].copy_from_slice(&[next, next]);
    let headless = &join[2..];
    let crossed = [&[next, own], headless].concat();
    for (times, bytes) in
        [&newer[..], &newer, headless, &crossed, &[], &[0x80, 0x80], &join[..1]].iter().enumerate()
    {
        old.received(20, address(1), bytes, Carrier::Datagram);
        assert_eq!(old.rejected_messages(), times as u64 + 1);
        assert!(old.next_event().is_none() && old.take_messages().is_empty());
    }
    assert!(
        !old.should_report(address(1), Some(NEXT.newest)) && !old.should_report(address(1), None),
        "they were reported already"
    );
    assert!(old.should_report(address(1), Some(FormatVersion(4))), "another format version is reported");
    old.received(30, address(1), &encoded_messages(&mut start(1, NOW))[0], Carrier::Datagram);
    assert!(
        old.should_report(address(1), Some(NEXT.newest)),
        "after a readable message, rejections are reported again"
    );
    // The number of reported rejections is limited, whoever sends.
    for node in 0..250 {
        for format in 3..10 {
            old.received(40, address(node), &[0x80 | format, 0x80 | format], Carrier::Datagram);
        }
    }
    assert!(!old.should_report(address(251), Some(NEXT.newest)), "reports are limited");
    assert_eq!(old.rejected_messages(), 7 + 250 * 7);
    let message = NodeMessage::JoinRefused { agreed: NEXT.newest };
    let plain = postcard::to_stdvec(&message).expect("a message that can be encoded").len();
    let envelope =
        old.envelope(address(1), message).expect("a message of the first format version goes to every node");
    assert_eq!(envelope.to_bytes().map(|bytes| bytes.len()), Ok(plain + 2));
    assert_eq!(
        (new.common_format(address(0)), new.common_format(address(2))),
        (NOW.newest, FormatVersion(1)),
        "a node that was heard, and one that was not"
    );
}

#[test]
fn commands_snapshots_and_saved_instances_of_other_formats_are_read_or_refused() {
    check_commands_and_snapshots(BEFORE, NOW);
    check_commands_and_snapshots(NOW, NEXT);
    let mut node_core = NodeCore::start(member(0, 1, NOW), vec![address(1)], SECOND, 1, 0);
    let beat = registry::Heartbeat {
        id: registry::InstanceId("i".into()),
        service: "s".into(),
        address: "10.0.0.9:80".parse().expect("an address"),
        zone: "z".into(),
        version: "v1".into(),
        slots: 1,
        draining: false,
        warmup_left: 0,
        sequence: 1,
    };
    node_core.heartbeat(0, CallId(1), beat);
    let saved = node_core.encode_instances(1);
    assert_eq!(saved[..2], [0, 1]);
    let known = |saved: &[u8]| {
        let mut node_core = NodeCore::start(member(0, 2, NOW), vec![address(1)], SECOND, 1, 0);
        node_core.restore_instances(2, saved);
        node_core.registry.instances().count()
    };
    let newer = [&[0, 3], &saved[2..]].concat();
    let longer = [&saved[..], &[1]].concat();
    assert_eq!([&saved[..], &saved[2..], &newer, &longer, &[]].map(known), [1, 1, 0, 0, 0]);
}

fn check_commands_and_snapshots(older: FormatRange, newer: FormatRange) {
    let replace = |version| Command::Replace { base: ConfigVersion(version - 1), text: text(version) };
    let agreed = newer.newest;
    let agree = Command::AgreeFormat { format: agreed };
    let (mut old, mut new) = (ControlState::supporting(older), ControlState::supporting(newer));
    // As programs older than format versions wrote it: without a header.
    let headless = &replace(1).encode_v1()[1..];
    let early =
        replace(2).encode(agreed, Timestamp { since_entry: LogIndex(0), elapsed: 5, repeat_window: 0 });
    for script in [&mut old, &mut new] {
        assert_eq!(script.apply(0, LogIndex(1), headless), CommandOutcome::Applied);
        assert_eq!(
            script.apply(0, LogIndex(2), &early),
            CommandOutcome::Unreadable,
            "unreadable to all before it is agreed"
        );
    }
    assert_eq!(old.snapshot(), new.snapshot());
    let before = old.snapshot();
    assert_eq!(new.apply(0, LogIndex(3), &agree.encode_v1()), CommandOutcome::Applied);
    assert_eq!(new.apply(0, LogIndex(4), &agree.encode_v1()), CommandOutcome::Repeated);
    assert_eq!(new.apply(0, LogIndex(5), &early), CommandOutcome::Applied);
    for (index, command) in [(3, agree.encode_v1()), (5, early), (6, replace(2).encode_v1())] {
        assert_eq!(
            old.apply(0, LogIndex(index), &command),
            CommandOutcome::UnsupportedFormat { format: agreed }
        );
    }
    assert_eq!((old.last_applied(), old.snapshot()), (LogIndex(2), before), "nothing after it is applied");
    let state = new.snapshot();
    assert_eq!(state[0], agreed.0);
    assert!(old.restore(0, LogIndex(5), &state).is_err() && old.last_applied() == LogIndex(2));
    let mut late = ControlState::supporting(newer);
    late.restore(0, LogIndex(5), &state).expect("it is read");
    assert_eq!((late.agreed_format(), late.snapshot()), (agreed, state));
}

#[test]
fn the_program_refuses_a_disk_on_which_a_newer_format_is_agreed() {
    let dir = tempfile::tempdir().expect("a folder");
    let data = dir.path().join("data");
    let store = DiskStore::open(&data).expect("a store");
    let (mut log_store, _) = LogStore::open(store, RunId(0)).expect("an empty ledger");
    let newer = FormatVersion(FormatRange::SUPPORTED.newest.0 + 1);
    let payload = EntryPayload::Command(Command::AgreeFormat { format: newer }.encode_v1());
    let entries = vec![Entry { index: LogIndex(1), term: Term(1), payload }];
    let (term, committed) = (Term(1), LogIndex(1));
    let write = Write {
        id: WriteId(1),
        term,
        voted_for: None,
        commit_index: committed,
        truncate_from: None,
        entries,
        snapshot: None,
    };
    log_store.write(&write).expect("it is kept");
    drop(log_store);
    let settings = dir.path().join("settings.toml");
    let text = "NodeName = \"n\"\nIpAddress = \"127.77.3.1\"\nZone = \"z\"\nInternalPortRange = [7620, 7635]\n\
                SeedNodes = [\"127.77.3.1:8649\"]\n";
    let text = format!("{text}DataDirectory = {data:?}\n[ListenAddresses]\nControl = \"127.77.3.1:8649\"\n");
    std::fs::write(&settings, text).expect("settings");
    let wanted = format!("form {newer} is agreed");
    let folder = data.to_str().expect("a path in UTF-8");
    for line in [&["prompter"][..], &["ledger", "verify", folder], &["prompter"]] {
        let child = std::process::Command::new(env!("CARGO_BIN_EXE_playhouse"))
            .args(line)
            .env("GARNETDOOR_SETTINGS", &settings)
            .stdout(std::process::Stdio::piped())
            .stderr(std::process::Stdio::piped())
            .spawn()
            .expect("the program runs");
        let pid = child.id().to_string();
        let (done, ended) = std::sync::mpsc::channel();
        std::thread::spawn(move || done.send(child.wait_with_output()));
        // A process that ignored the format version would run for ever.
        let ran = ended.recv_timeout(std::time::Duration::from_secs(60)).unwrap_or_else(|_| {
            let _ = std::process::Command::new("kill").arg(&pid).status();
            panic!("{line:?}: it went on");
        });
        let ran = ran.expect("it ends");
        let said = String::from_utf8_lossy(&[ran.stdout, ran.stderr].concat()).into_owned();
        assert_eq!(ran.status.code(), Some(1), "{line:?}: {said}");
        assert!(said.contains(&wanted), "{line:?}: {said}");
    }
    let (_, opened) =
        LogStore::open(DiskStore::open(&data).expect("a store"), RunId(9)).expect("it is as it was");
    assert_eq!((opened.disk_id, opened.state.entries.len()), (RunId(0), 1));
}
