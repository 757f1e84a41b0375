//! The timings that follow from the settings' bounds, and how a control node leaves, without sockets.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;

use consensus::{Members, PersistentState, ShutdownReadiness};
use membership::{Member, Role};
use playhouse::control_plane::{ControlPlane, Input, Output};
use playhouse::node::NodeCore;
use playhouse::settings::{DerivedTimings, Settings};
use types::{
    Carrier, FormatRange, FormatVersion, MS, Micros, NodeAddress, NodeVersion, RunId, SECOND, VoterId,
};

/// Parses a settings file with these tables at its end.
fn settings(tables: &str) -> Result<Settings, Vec<String>> {
    let text = format!(
        "NodeName = \"core-1\"\nIpAddress = \"10.0.0.1\"\nZone = \"a\"\nInternalPortRange = [7620, 7635]\n\
         SeedNodes = [\"10.0.0.1:8649\"]\n[Zones]\na = \"r\"\nb = \"r\"\nc = \"s\"\n{tables}"
    );
    let faults = |faults: Vec<playhouse::settings::Fault>| faults.iter().map(|one| one.to_string()).collect();
    Settings::from_table(&text.parse().expect("TOML")).map_err(faults)
}

fn spans(tables: &str) -> DerivedTimings {
    settings(tables).expect("settings that hold").derived_timings()
}

#[test]
fn the_default_bounds_give_the_default_timings() {
    for spans in [spans(""), spans("[TimerBounds]\nContactS = 3\nCatchUpS = 4\nDrainS = 2.5\nGraceS = 6\n")] {
        let raft = spans.consensus;
        assert_eq!(
            (raft.heartbeat_interval, raft.election_timeout, raft.removal_timeout),
            (150 * MS, 700 * MS, 8 * SECOND)
        );
        assert_eq!(
            (raft.replacement_timeout, raft.join_interval, spans.leadership_transfer_timeout),
            (SECOND, 500 * MS, 4 * SECOND)
        );
        assert_eq!(
            (spans.verdicts.lone_roll_back_duration, spans.verdicts.verdict_repeat_interval),
            (2 * SECOND, SECOND)
        );
        assert_eq!((raft.fault_tolerance.max_losses(5), raft.fault_tolerance.min_voters(5)), (1, 3));
    }
}

/// An election takes two election timeouts at most, removing a voter and admitting one a tenth of a second each: a
/// successor that starts as the leader fails for good must be a voter within `CatchUpS`, from 2 s on.
#[test]
fn timings_from_other_bounds_stay_within_them() {
    for (contact, catch_up, drain, rollback) in [
        (1.5, 2.0, 1.5, 2.0),
        (1.5, 3.0, 1.0, 3.0),
        (2.0, 4.0, 2.5, 5.0),
        (3.0, 4.0, 2.5, 5.0),
        (6.0, 10.0, 5.0, 9.0),
    ] {
        let spans = spans(&format!(
            "[TimerBounds]\nContactS = {contact}\nCatchUpS = {catch_up}\nDrainS = {drain}\nRollbackS = {rollback}\n"
        ));
        let (raft, in_micros) = (spans.consensus, |seconds: f64| (seconds * 1e6) as Micros);
        let name = format!("ContactS {contact}, CatchUpS {catch_up}");
        assert!(
            raft.election_timeout >= 3 * raft.heartbeat_interval,
            "{name}: three heartbeats per election timeout"
        );
        assert!(
            2 * raft.election_timeout <= in_micros(contact) * 2 / 3,
            "{name}: a leader again within ContactS"
        );
        assert!(
            2 * raft.election_timeout + raft.replacement_timeout + 200 * MS <= in_micros(catch_up),
            "{name}: a voter within CatchUpS"
        );
        assert!(
            raft.replacement_timeout >= raft.election_timeout
                && raft.replacement_timeout < raft.removal_timeout
                && raft.join_interval <= in_micros(catch_up) / 4
        );
        assert!(
            spans.verdicts.lone_roll_back_duration <= in_micros(rollback) / 2,
            "{name}: rolled back within RollbackS {rollback}"
        );
        assert_eq!(spans.drain_limit, in_micros(drain));
    }
}

#[test]
fn the_fault_tolerance_decides_how_few_voters_a_removal_leaves() {
    let least = |tables: &str, voters| {
        spans(&format!("[FaultTolerance]\n{tables}")).consensus.fault_tolerance.min_voters(voters)
    };
    assert_eq!([3, 5, 7, 11].map(|voters| least("MachineLosses = 1\n", voters)), [3; 4]);
    assert_eq!([3, 5, 11].map(|voters| least("MachineLosses = 2\n", voters)), [5; 3]);
    assert_eq!(least("MachineLosses = 3\n", 11), 7);
    // Of nine voters, one of three zones holds three, and one of two regions five.
    assert_eq!(least("MachineLosses = 1\nZones = 1\n", 9), 7);
    assert_eq!(least("MachineLosses = 0\nRegionLosses = 1\n", 9), 11);
    // More zones than there are means all of them.
    assert_eq!(least("MachineLosses = 0\nZones = 9\n", 3), 7);
}

#[test]
fn invalid_bounds_are_reported_with_their_keys() {
    let result = settings(
        "[FaultTolerance]\nMachineLosses = 1.5\nZones = -1\nRegionLosses = true\n[TimerBounds]\nCatchUpS = \"4\"\n",
    );
    let expected = "expected a whole number from 0 to 10000";
    assert_eq!(
        result.expect_err("faults"),
        [
            format!("FaultTolerance.MachineLosses: 1.5; {expected}"),
            format!("FaultTolerance.Zones: -1; {expected}"),
            format!("FaultTolerance.RegionLosses: true; {expected}"),
            "TimerBounds.CatchUpS: \"4\"; expected a number from 0 to 86400".to_owned(),
        ]
    );
    assert!(settings("FaultTolerance = 3\n").is_err());
}

/// Three real control planes in simulated time; messages arrive 2 ms after they were sent, writes take 1 ms.
struct Cluster {
    now: Micros,
    /// Events queued so far; orders events of the same time.
    queued: u64,
    nodes: Vec<Option<ControlPlane>>,
    queue: BTreeMap<(Micros, u64), (usize, Input)>,
}

fn address(node: usize) -> NodeAddress {
    NodeAddress(Ipv4Addr::new(10, 0, 0, node as u8 + 1))
}

impl Cluster {
    fn open(newest: FormatVersion) -> Cluster {
        let mut cluster =
            Cluster { now: 0, queued: 0, nodes: vec![None, None, None], queue: BTreeMap::new() };
        let formats = FormatRange { newest, ..FormatRange::SUPPORTED };
        for node in 0..3 {
            let version = NodeVersion { formats, ..NodeVersion::CURRENT };
            let (zone, name) = ("z".to_owned(), format!("core-{node}"));
            let own = Member {
                address: address(node),
                run_id: RunId(node as u64),
                role: Role::ControlNode,
                zone,
                name,
                version,
            };
            let node_core = NodeCore::start(own, (0..3).map(address).collect(), 1_500 * MS, node as u64, 0);
            let voter_id = |node| VoterId { address: address(node), disk_id: RunId(0) };
            let voters = Members((0..3).map(voter_id).collect());
            let spans = DerivedTimings::default();
            let (control, outputs) = ControlPlane::start(
                node_core,
                voter_id(node),
                Some(voters),
                PersistentState::default(),
                &spans,
                node as u64,
                0,
            );
            cluster.nodes[node] = Some(control);
            cluster.run_outputs(node, outputs);
        }
        cluster.run(5 * SECOND);
        cluster
    }

    fn schedule(&mut self, after: Micros, node: usize, event: Input) {
        self.queued += 1;
        self.queue.insert((self.now + after, self.queued), (node, event));
    }

    fn run_outputs(&mut self, node: usize, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send { to, envelope } => {
                    let event = Input::Received {
                        from: address(node),
                        bytes: envelope.to_bytes().expect("a message that can be encoded"),
                        carrier: Carrier::Datagram,
                    };
                    if let Some(to) = (0..3).find(|node| address(*node) == to) {
                        self.schedule(2 * MS, to, event);
                    }
                }
                Output::Write(write) => {
                    self.schedule(MS, node, Input::WriteFinished { write: write.id, durable: true })
                }
                Output::SaveInstances(_) | Output::Reply { .. } => {}
            }
        }
    }

    fn step(&mut self, node: usize, event: Input) {
        let Some(control) = &mut self.nodes[node] else { return };
        let outputs = control.step(self.now, event);
        self.run_outputs(node, outputs);
    }

    fn run(&mut self, span: Micros) {
        let end = self.now + span;
        while self.now < end {
            let due = |node: &ControlPlane| node.due().max(self.now + MS);
            let tick = self.nodes.iter().flatten().map(due).min().unwrap_or(end);
            let next = self.queue.first_key_value().map_or(end, |((at, _), _)| *at);
            self.now = tick.min(next).min(end);
            while self.queue.first_key_value().is_some_and(|((at, _), _)| *at <= self.now) {
                let (_, (node, event)) = self.queue.pop_first().expect("there is one");
                self.step(node, event);
            }
            for node in 0..3 {
                if self.nodes[node].as_ref().is_some_and(|control| control.due() <= self.now) {
                    self.step(node, Input::Tick);
                }
            }
        }
    }

    fn node(&self, node: usize) -> &ControlPlane {
        self.nodes[node].as_ref().expect("it runs")
    }

    fn leader(&self) -> usize {
        (0..3)
            .find(|node| self.nodes[*node].as_ref().is_some_and(|one| one.raft().is_leader()))
            .expect("one leads")
    }
}

#[test]
fn a_leaving_control_node_stops_once_others_hold_its_entries() {
    let mut cluster = Cluster::open(FormatVersion::V2);
    let leader = cluster.leader();
    // A follower, then the leader: both finish long before the hand-over timeout.
    for node in [(leader + 1) % 3, leader] {
        cluster.step(node, Input::Leave);
        assert!(cluster.node(node).is_handing_over());
        cluster.run(600 * MS);
        assert!(
            !cluster.node(node).is_handing_over(),
            "its hand-over timeout is {} s",
            DerivedTimings::default().leadership_transfer_timeout / SECOND
        );
        assert_eq!(cluster.node(node).raft().shutdown_readiness(), ShutdownReadiness::Replicated);
        cluster.nodes[node] = None;
    }
    // Nobody is left to ask: it leaves at the hand-over timeout, and reports that the result is unknown.
    let last = (0..3).find(|node| cluster.nodes[*node].is_some()).expect("one is left");
    cluster.step(last, Input::Leave);
    cluster.run(DerivedTimings::default().leadership_transfer_timeout - 100 * MS);
    assert!(cluster.node(last).is_handing_over());
    cluster.run(200 * MS);
    assert!(!cluster.node(last).is_handing_over());
    assert_eq!(cluster.node(last).raft().shutdown_readiness(), ShutdownReadiness::Pending);
}

/// During an upgrade the query about held entries is not sent to a leader that can't read it, and its answer is not
/// awaited.
#[test]
fn under_a_leader_of_format_version_1_a_node_leaves_without_waiting() {
    let mut cluster = Cluster::open(FormatVersion::V1);
    let follower = (cluster.leader() + 1) % 3;
    cluster.step(follower, Input::Leave);
    cluster.run(100 * MS);
    assert!(!cluster.node(follower).is_handing_over());
    assert_eq!(cluster.node(follower).raft().shutdown_readiness(), ShutdownReadiness::Pending);
}
