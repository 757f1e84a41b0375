//! Stage (a fleet of real processes on loopback): starts, ends, kills and starts again nodes of the system, each with
//! an address of its own, a settings file and, for prompters, a folder for its disk. All end with it.

use std::fs::{self, File, OpenOptions};
use std::io;
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

use membership::Role;

use crate::settings::SETTINGS_PATH_VARIABLE;

/// The zones of a stage; nodes are dealt to them in turn.
pub const ZONES: [&str; 3] = ["stalls-a", "stalls-b", "stalls-c"];
/// Addresses of one stage's block, of which several may stand beside each other in one process.
const BLOCK: u8 = 60;
const FIRST: u8 = 10;
const BLOCKS: u8 = 4;
/// Where instances begin within a block, after all nodes.
const INSTANCES: u8 = 20;
/// A stage with more nodes than fit a block has a whole net of addresses to itself.
const MAX_GATEWAYS: usize = 200;
const WIDE_FIRST: u8 = 2;
const WIDE_INSTANCES: u8 = 215;
const WIDE_LAST: u8 = 250;
/// Sets of ports that are tried before a stage gives up.
const PORT_SETS: u16 = 20;
/// A process that has not gone so long after SIGKILL is stuck in the kernel; nothing more can be done to it.
const KILLED: Duration = Duration::from_secs(5);

static STAGES: AtomicU8 = AtomicU8::new(0);

/// Why a stage can't be set up or a node can't be run.
#[derive(Debug, thiserror::Error)]
pub enum ClusterError {
    #[error("{what} {path}: {error}")]
    File { what: &'static str, path: PathBuf, error: io::Error },
    #[error("{name} can't be started: {error}")]
    Start { name: String, error: io::Error },
    #[error("{name} can't be told {signal}: {error}")]
    Signal { name: String, signal: &'static str, error: io::Error },
    #[error("{name} can't be waited for: {error}")]
    Wait { name: String, error: io::Error },
    #[error("no ports are free on {address}: {error}")]
    Ports { address: Ipv4Addr, error: io::Error },
    #[error(
        "{control_nodes} prompters and {gateways} foyers asked for; 1 to 9 and 1 to {MAX_GATEWAYS} can stand on a stage"
    )]
    Size { control_nodes: usize, gateways: usize },
}

/// The ports that all nodes of a stage use, each at its own address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ports {
    pub frontend: u16,
    pub readiness: u16,
    pub control: u16,
    /// The first of sixteen.
    pub internal: u16,
}

impl Ports {
    /// Below the range that the kernel hands out, so that no outgoing connection sits on one.
    fn set(number: u16) -> Ports {
        let base = 20_000 + 40 * number;
        Ports { frontend: base, readiness: base + 1, control: base + 2, internal: base + 10 }
    }
}

/// Names a node of a stage, in the order of setting up: prompters first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct NodeIndex(pub usize);

/// Which loopback addresses a stage uses.
#[derive(Clone, Copy, Debug)]
struct Addresses {
    net: [u8; 2],
    first: u8,
    next_instance: u8,
    last: u8,
}

impl Addresses {
    /// Two runs at the same time have different process ids, so they don't meet.
    fn of(pid: u32, block: u8, wide: bool) -> Addresses {
        let low = (pid % 250) as u8;
        if wide {
            let net = [251 + block, low];
            return Addresses { net, first: WIDE_FIRST, next_instance: WIDE_INSTANCES, last: WIDE_LAST };
        }
        let net = [1 + (pid / 250 % 250) as u8, low];
        Addresses { net, first: FIRST + block * BLOCK, next_instance: INSTANCES, last: BLOCK }
    }

    fn at(&self, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net[0], self.net[1], self.first + number)
    }

    fn instance(&mut self) -> Option<Ipv4Addr> {
        let number = self.next_instance;
        self.next_instance = number.checked_add(1).filter(|next| *next <= self.last)?;
        Some(self.at(number))
    }
}

/// One node, running or not.
#[derive(Debug)]
struct Node {
    part: Role,
    name: String,
    address: Ipv4Addr,
    child: Option<Child>,
}

/// How a stage is set up.
#[derive(Clone, Debug)]
pub struct ClusterConfig {
    /// The system's program.
    pub program: PathBuf,
    pub control_nodes: usize,
    pub gateways: usize,
    /// Where files are kept; without it they go to the system's folder for passing files, and go with the stage.
    pub folder: Option<PathBuf>,
    /// What the nodes log, as `RUST_LOG` has it.
    pub log: String,
}

/// Ends its nodes and removes its files when it is dropped, also where a test or the demonstration fails.
#[derive(Debug)]
pub struct TestCluster {
    program: PathBuf,
    folder: PathBuf,
    remove: bool,
    log: String,
    nodes: Vec<Node>,
    pub ports: Ports,
    addresses: Addresses,
}

impl TestCluster {
    /// Sets up folders and settings; starts nothing yet.
    pub fn create(plan: ClusterConfig) -> Result<TestCluster, ClusterError> {
        if !(1..=9).contains(&plan.control_nodes) || !(1..=MAX_GATEWAYS).contains(&plan.gateways) {
            return Err(ClusterError::Size { control_nodes: plan.control_nodes, gateways: plan.gateways });
        }
        let pid = std::process::id();
        let block = STAGES.fetch_add(1, Ordering::Relaxed) % BLOCKS;
        let addresses = Addresses::of(pid, block, plan.gateways > 9);
        let at = |number: u8| addresses.at(number);
        let name = format!("garnetdoor-stage-{pid}-{block}");
        let folder = plan.folder.clone().unwrap_or_else(|| std::env::temp_dir().join(name));
        let file = |what, path: &Path| {
            let path = path.to_owned();
            move |error| ClusterError::File { what, path, error }
        };
        if plan.folder.is_none() && folder.exists() {
            // Left by a process that was killed and had this id before.
            fs::remove_dir_all(&folder).map_err(file("can't clear", &folder))?;
        }
        fs::create_dir_all(&folder).map_err(file("can't make", &folder))?;
        let mut stage = TestCluster {
            program: plan.program,
            folder,
            remove: plan.folder.is_none(),
            log: plan.log,
            nodes: Vec::new(),
            ports: free_ports(at(0))?,
            addresses,
        };
        let parts =
            [(Role::ControlNode, "prompter", plan.control_nodes), (Role::Gateway, "foyer", plan.gateways)];
        for (part, name, count) in parts {
            for number in 1..=count {
                let (name, address) = (format!("{name}-{number}"), at(stage.nodes.len() as u8));
                stage.nodes.push(Node { part, name, address, child: None });
            }
        }
        for number in 0..stage.nodes.len() {
            stage.write_settings(NodeIndex(number), true)?;
        }
        Ok(stage)
    }

    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// The nodes that play a part, whether they run or not.
    pub fn nodes(&self, part: Role) -> Vec<NodeIndex> {
        (0..self.nodes.len()).filter(|n| self.nodes[*n].part == part).map(NodeIndex).collect()
    }

    pub fn name(&self, node: NodeIndex) -> &str {
        &self.nodes[node.0].name
    }

    /// Where clients reach a foyer.
    pub fn frontend(&self, node: NodeIndex) -> SocketAddrV4 {
        SocketAddrV4::new(self.nodes[node.0].address, self.ports.frontend)
    }

    /// Where the platform asks a foyer whether it is ready.
    pub fn readiness(&self, node: NodeIndex) -> SocketAddrV4 {
        SocketAddrV4::new(self.nodes[node.0].address, self.ports.readiness)
    }

    /// Where operators and instances reach a prompter.
    pub fn control(&self, node: NodeIndex) -> SocketAddrV4 {
        SocketAddrV4::new(self.nodes[node.0].address, self.ports.control)
    }

    /// All prompters' addresses, in order.
    pub fn control_addresses(&self) -> Vec<SocketAddrV4> {
        self.nodes(Role::ControlNode).into_iter().map(|node| self.control(node)).collect()
    }

    /// The prompter at an address.
    pub fn node_at(&self, address: Ipv4Addr) -> Option<NodeIndex> {
        self.nodes.iter().position(|node| node.address == address).map(NodeIndex)
    }

    /// An address for one more instance; `None` when the block is full.
    pub fn instance_address(&mut self) -> Option<Ipv4Addr> {
        self.addresses.instance()
    }

    fn path(&self, node: NodeIndex, ending: &str) -> PathBuf {
        self.folder.join(format!("{}{ending}", self.nodes[node.0].name))
    }

    fn write_settings(&self, number: NodeIndex, first: bool) -> Result<(), ClusterError> {
        let (node, ports) = (&self.nodes[number.0], self.ports);
        let (address, zone) = (node.address, ZONES[number.0 % ZONES.len()]);
        let seeds: Vec<String> =
            self.control_addresses().iter().take(3).map(|seed| format!("\"{seed}\"")).collect();
        let (class, served, listen, disk) = match node.part {
            Role::Gateway => {
                let listen = format!(
                    "Frontend = \"{address}:{}\"\nReadiness = \"{address}:{}\"",
                    ports.frontend, ports.readiness
                );
                ("edge", "edge", listen, String::new())
            }
            Role::ControlNode => {
                let data = self.path(number, "-data");
                fs::create_dir_all(&data).map_err(|error| ClusterError::File {
                    what: "can't make",
                    path: data.clone(),
                    error,
                })?;
                let data = data.display().to_string();
                let listen = format!("Control = \"{address}:{}\"", ports.control);
                ("core", "control", listen, format!("DataDirectory = {data:?}\n"))
            }
        };
        let zones: String = ZONES.iter().map(|zone| format!("{zone} = \"stalls\"\n")).collect();
        let text = format!(
            "NodeName = \"{name}\"\nRole = \"{class}\"\nMachineClass = \"{class}\"\nServedRoles = [\"{served}\"]\n\
             IpAddress = \"{address}\"\nZone = \"{zone}\"\nRegion = \"stalls\"\n\
             InternalPortRange = [{low}, {high}]\nSeedNodes = [{seeds}]\nInitialStart = {first}\n\
             LossCounted = false\nDiscovery = \"registration\"\nEntry = \"virtual_ip\"\nHeartbeatS = 0.5\n{disk}\
             [Zones]\n{zones}[ListenAddresses]\n{listen}\n\
             [LimitSet]\nCpuShare = 0.2\nCpuCores = 1\nMemoryMb = 256\nFdLimit = 1024\nLinkMbps = 1000.0\n\
             [FaultTolerance]\nMachineLosses = 1\nZones = 0\nRegionLosses = 0\n\
             [TimerBounds]\nContactS = 3\nAckS = 5\nDrainS = 2.5\nGraceS = 6\nConfigApplyS = 2.5\n\
             RetryBudgetRatio = 0.2\nRetryWindowS = 10\nRetryBudgetSlack = 50\nExposureShare = 0.1\n\
             ExposureSlack = 50\nRollbackS = 5\n",
            name = node.name,
            low = ports.internal,
            high = ports.internal + 15,
            seeds = seeds.join(", "),
        );
        let path = self.path(number, ".toml");
        fs::write(&path, text).map_err(|error| ClusterError::File { what: "can't write", path, error })
    }

    /// Starts a node that does not run; one that does is left alone.
    pub fn start(&mut self, number: NodeIndex) -> Result<(), ClusterError> {
        if self.is_running(number) {
            return Ok(());
        }
        let path = self.path(number, ".log");
        let open = |path: &Path| -> io::Result<(File, File)> {
            let log = OpenOptions::new().create(true).append(true).open(path)?;
            Ok((log.try_clone()?, log))
        };
        let (out, err) =
            open(&path).map_err(|error| ClusterError::File { what: "can't open", path, error })?;
        let verb = match self.nodes[number.0].part {
            Role::Gateway => "foyer",
            Role::ControlNode => "prompter",
        };
        let child = Command::new(&self.program)
            .arg(verb)
            .env(SETTINGS_PATH_VARIABLE, self.path(number, ".toml"))
            .env("RUST_LOG", &self.log)
            .stdin(Stdio::null())
            .stdout(out)
            .stderr(err)
            .spawn()
            .map_err(|error| ClusterError::Start { name: self.name(number).to_owned(), error })?;
        self.nodes[number.0].child = Some(child);
        Ok(())
    }

    /// Starts every node that does not run.
    pub fn start_all(&mut self) -> Result<(), ClusterError> {
        (0..self.nodes.len()).try_for_each(|number| self.start(NodeIndex(number)))
    }

    /// Whether a node's process is there; one that has ended by itself is not.
    pub fn is_running(&mut self, number: NodeIndex) -> bool {
        matches!(self.exit_status(number), Ok(None))
    }

    /// How a node's process has ended; `None` while it runs. One that was never started, or was taken away by
    /// `kill`, is an error.
    pub fn exit_status(&mut self, number: NodeIndex) -> Result<Option<ExitStatus>, ClusterError> {
        let node = &mut self.nodes[number.0];
        let wait = |error| ClusterError::Wait { name: node.name.clone(), error };
        match &mut node.child {
            Some(child) => child.try_wait().map_err(wait),
            None => Err(wait(io::Error::other("it does not run"))),
        }
    }

    /// The process of a node, while it runs or has not been looked at since.
    pub fn pid(&self, number: NodeIndex) -> Option<u32> {
        self.nodes[number.0].child.as_ref().map(Child::id)
    }

    /// SIGKILL, at once and without a farewell; the disk stays. The settings say from now on that this is no first
    /// start of the whole system.
    pub fn kill(&mut self, number: NodeIndex) -> Result<(), ClusterError> {
        let node = &mut self.nodes[number.0];
        if let Some(mut child) = node.child.take() {
            let told = child.kill().and_then(|()| child.wait());
            told.map_err(|error| ClusterError::Wait { name: node.name.clone(), error })?;
        }
        self.write_settings(number, false)
    }

    /// SIGTERM: the node ends in order, which `ended` tells.
    pub fn terminate(&mut self, number: NodeIndex) -> Result<(), ClusterError> {
        self.tell(number, "TERM")
    }

    /// SIGHUP: the settings file has changed.
    pub fn reload(&mut self, number: NodeIndex) -> Result<(), ClusterError> {
        self.tell(number, "HUP")
    }

    /// The standard library sends no signal but SIGKILL, so the system's own program for it does.
    fn tell(&mut self, number: NodeIndex, signal: &'static str) -> Result<(), ClusterError> {
        let runs = self.is_running(number);
        let node = &self.nodes[number.0];
        let failed = |error| ClusterError::Signal { name: node.name.clone(), signal, error };
        let Some(child) = node.child.as_ref().filter(|_| runs) else {
            return Err(failed(io::Error::other("it does not run")));
        };
        let status = Command::new("kill")
            .args([format!("-{signal}"), child.id().to_string()])
            .stdin(Stdio::null())
            .status()
            .map_err(failed)?;
        if status.success() { Ok(()) } else { Err(failed(io::Error::other(status.to_string()))) }
    }

    /// The end of each node's log, for a report of what went wrong.
    pub fn logs(&self, lines: usize) -> String {
        let mut all = String::new();
        for number in 0..self.nodes.len() {
            let text = fs::read(self.path(NodeIndex(number), ".log")).unwrap_or_default();
            let text = String::from_utf8_lossy(&text);
            let from = text.lines().count().saturating_sub(lines);
            for line in text.lines().skip(from) {
                all.push_str(&format!("{}: {line}\n", self.nodes[number].name));
            }
        }
        all
    }
}

impl Drop for TestCluster {
    /// Ends all nodes by their process ids; a folder of its own goes too.
    fn drop(&mut self) {
        for node in &mut self.nodes {
            if let Some(child) = &mut node.child {
                let _ = child.kill();
            }
        }
        for node in &mut self.nodes {
            let Some(child) = &mut node.child else { continue };
            let since = Instant::now();
            while matches!(child.try_wait(), Ok(None)) && since.elapsed() < KILLED {
                std::thread::sleep(Duration::from_millis(5));
            }
        }
        if self.remove {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// A set of ports that nobody has taken on all addresses.
fn free_ports(address: Ipv4Addr) -> Result<Ports, ClusterError> {
    let mut last = io::Error::other("none tried");
    for number in 0..PORT_SETS {
        let ports = Ports::set(number);
        let all = [ports.frontend, ports.readiness, ports.control, ports.internal];
        match all.iter().try_for_each(|port| TcpListener::bind((address, *port)).map(drop)) {
            Ok(()) => return Ok(ports),
            Err(error) => last = error,
        }
    }
    Err(ClusterError::Ports { address, error: last })
}
