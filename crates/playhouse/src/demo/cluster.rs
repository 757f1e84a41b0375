//! Test cluster of real processes on loopback: starts, stops, kills and restarts nodes of the system. Each node has its
//! own address, a settings file and, for control nodes, a data directory. Dropping the cluster ends all its processes.

use std::fs::{self, File, OpenOptions};
use std::io;
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use membership::Role;

use crate::settings::SETTINGS_PATH_VARIABLE;

/// The zones of a cluster; nodes are assigned to them in turn.
pub const ZONES: [&str; 3] = ["stalls-a", "stalls-b", "stalls-c"];
/// Number of addresses in a cluster's block; several clusters of one process use different blocks.
const BLOCK_SIZE: u8 = 60;
/// Last byte of the first address of the first block.
const FIRST_BLOCK_HOST: u8 = 10;
/// Number of blocks per /24 network.
const BLOCK_COUNT: u8 = 4;
/// Offset of the first instance address within a block; node addresses come before it.
const FIRST_INSTANCE: u8 = 20;
/// Most gateways of a cluster. A cluster with more than 9 gateways uses a whole /24 network instead of a block.
const MAX_GATEWAYS: usize = 200;
/// Last byte of the first address, and offsets of the first and the last instance, of a cluster that uses a whole network.
const WIDE_FIRST_HOST: u8 = 2;
const WIDE_FIRST_INSTANCE: u8 = 215;
const WIDE_LAST_OFFSET: u8 = 250;
/// Number of port sets that are tried before the set-up fails.
const MAX_PORT_SETS: u16 = 20;
/// Time to wait for a process after SIGKILL. One that still exists then is stuck in the kernel, and nothing more can
/// be done about it.
const KILL_TIMEOUT: Duration = Duration::from_secs(5);

static BLOCKS_IN_USE: Mutex<[bool; BLOCK_COUNT as usize]> = Mutex::new([false; BLOCK_COUNT as usize]);

/// Why a cluster can't be set up or a node can't be run.
#[derive(Debug, thiserror::Error)]
pub enum ClusterError {
    #[error("{what} {path}: {error}")]
    File { what: &'static str, path: PathBuf, error: io::Error },
    #[error("{name} can't be started: {error}")]
    Start { name: String, error: io::Error },
    #[error("{name} can't be sent {signal}: {error}")]
    Signal { name: String, signal: &'static str, error: io::Error },
    #[error("{name} can't be waited for: {error}")]
    Wait { name: String, error: io::Error },
    #[error("no ports are free on {address}: {error}")]
    Ports { address: Ipv4Addr, error: io::Error },
    #[error(
        "{control_nodes} prompters and {gateways} foyers asked for; 1 to 9 and 1 to {MAX_GATEWAYS} are supported"
    )]
    Size { control_nodes: usize, gateways: usize },
    #[error("one process supports {BLOCK_COUNT} clusters at a time")]
    TooManyClusters,
}

/// A block of addresses that no other cluster of this process has; free again when it is dropped.
#[derive(Debug)]
struct Block(u8);

impl Block {
    fn reserve() -> Option<Block> {
        let mut in_use = Block::in_use();
        let free = in_use.iter().position(|in_use| !in_use)?;
        in_use[free] = true;
        Some(Block(free as u8))
    }

    fn in_use() -> MutexGuard<'static, [bool; BLOCK_COUNT as usize]> {
        BLOCKS_IN_USE.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Block {
    fn drop(&mut self) {
        Block::in_use()[usize::from(self.0)] = false;
    }
}

/// The ports that all nodes of a cluster use, each at its own address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ports {
    pub frontend: u16,
    pub readiness: u16,
    pub control: u16,
    pub metrics: u16,
    /// The first of sixteen ports for traffic between nodes.
    pub internal: u16,
}

impl Ports {
    /// Ports below the kernel's ephemeral range, so that no outgoing connection occupies one.
    fn numbered(number: u16) -> Ports {
        let base = 20_000 + 40 * number;
        Ports {
            frontend: base,
            readiness: base + 1,
            control: base + 2,
            metrics: base + 3,
            internal: base + 10,
        }
    }
}

/// Index of a node in a cluster: control nodes first, then gateways.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct NodeIndex(pub usize);

/// The loopback addresses of a cluster.
#[derive(Clone, Copy, Debug)]
struct Addresses {
    net: [u8; 2],
    first: u8,
    next_instance: u8,
    last: u8,
}

impl Addresses {
    /// Derives the network from the process id, so that concurrent runs use different addresses.
    fn allocate(pid: u32, block: u8, wide: bool) -> Addresses {
        let low = (pid % 250) as u8;
        if wide {
            let net = [251 + block, low];
            return Addresses {
                net,
                first: WIDE_FIRST_HOST,
                next_instance: WIDE_FIRST_INSTANCE,
                last: WIDE_LAST_OFFSET,
            };
        }
        let net = [1 + (pid / 250 % 250) as u8, low];
        Addresses {
            net,
            first: FIRST_BLOCK_HOST + block * BLOCK_SIZE,
            next_instance: FIRST_INSTANCE,
            last: BLOCK_SIZE,
        }
    }

    /// The address at an offset.
    fn at(&self, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net[0], self.net[1], self.first + number)
    }

    /// The next unused instance address; `None` if none is left.
    fn next_instance(&mut self) -> Option<Ipv4Addr> {
        let number = self.next_instance;
        self.next_instance = number.checked_add(1).filter(|next| *next <= self.last)?;
        Some(self.at(number))
    }
}

/// One node, running or not.
#[derive(Debug)]
struct Node {
    role: Role,
    name: String,
    address: Ipv4Addr,
    child: Option<Child>,
}

/// Size and files of a cluster.
#[derive(Clone, Debug)]
pub struct ClusterConfig {
    /// Path of the program that is run for each node.
    pub program: PathBuf,
    pub control_nodes: usize,
    pub gateways: usize,
    /// Directory for settings, disks and logs. Default: a temporary directory, which is removed with the cluster.
    pub folder: Option<PathBuf>,
    /// `RUST_LOG` of the nodes.
    pub log: String,
}

/// A running cluster. Dropping it ends its nodes and removes its temporary files, also if a test fails.
#[derive(Debug)]
pub struct TestCluster {
    program: PathBuf,
    folder: PathBuf,
    remove: bool,
    log: String,
    nodes: Vec<Node>,
    pub ports: Ports,
    addresses: Addresses,
    _block: Block,
}

impl TestCluster {
    /// Creates directories and settings files; starts no node.
    pub fn create(config: ClusterConfig) -> Result<TestCluster, ClusterError> {
        if !(1..=9).contains(&config.control_nodes) || !(1..=MAX_GATEWAYS).contains(&config.gateways) {
            return Err(ClusterError::Size {
                control_nodes: config.control_nodes,
                gateways: config.gateways,
            });
        }
        let pid = std::process::id();
        let block = Block::reserve().ok_or(ClusterError::TooManyClusters)?;
        let addresses = Addresses::allocate(pid, block.0, config.gateways > 9);
        let at = |number: u8| addresses.at(number);
        let name = format!("garnetdoor-stage-{pid}-{}", block.0);
        let folder = config.folder.clone().unwrap_or_else(|| std::env::temp_dir().join(name));
        let file_error = |what, path: &Path| {
            let path = path.to_owned();
            move |error| ClusterError::File { what, path, error }
        };
        if config.folder.is_none() && folder.exists() {
            // Left behind by a killed process that had the same id.
            fs::remove_dir_all(&folder).map_err(file_error("can't clear", &folder))?;
        }
        fs::create_dir_all(&folder).map_err(file_error("can't make", &folder))?;
        let mut cluster = TestCluster {
            program: config.program,
            folder,
            remove: config.folder.is_none(),
            log: config.log,
            nodes: Vec::new(),
            ports: free_ports(at(0))?,
            addresses,
            _block: block,
        };
        let roles = [
            (Role::ControlNode, "prompter", config.control_nodes),
            (Role::Gateway, "foyer", config.gateways),
        ];
        for (role, name, count) in roles {
            for number in 1..=count {
                let (name, address) = (format!("{name}-{number}"), at(cluster.nodes.len() as u8));
                cluster.nodes.push(Node { role, name, address, child: None });
            }
        }
        for number in 0..cluster.nodes.len() {
            cluster.write_settings(NodeIndex(number), true)?;
        }
        Ok(cluster)
    }

    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// The nodes with a role, whether they run or not.
    pub fn nodes(&self, role: Role) -> Vec<NodeIndex> {
        (0..self.nodes.len()).filter(|n| self.nodes[*n].role == role).map(NodeIndex).collect()
    }

    pub fn name(&self, node: NodeIndex) -> &str {
        &self.nodes[node.0].name
    }

    /// Address at which clients reach a gateway.
    pub fn frontend(&self, node: NodeIndex) -> SocketAddrV4 {
        SocketAddrV4::new(self.nodes[node.0].address, self.ports.frontend)
    }

    /// Address of a gateway's readiness endpoint.
    pub fn readiness(&self, node: NodeIndex) -> SocketAddrV4 {
        SocketAddrV4::new(self.nodes[node.0].address, self.ports.readiness)
    }

    /// Address of a node's metrics.
    pub fn metrics(&self, node: NodeIndex) -> SocketAddrV4 {
        SocketAddrV4::new(self.nodes[node.0].address, self.ports.metrics)
    }

    /// Address of a control node's control API.
    pub fn control(&self, node: NodeIndex) -> SocketAddrV4 {
        SocketAddrV4::new(self.nodes[node.0].address, self.ports.control)
    }

    /// Control addresses of all control nodes, in order.
    pub fn control_addresses(&self) -> Vec<SocketAddrV4> {
        self.nodes(Role::ControlNode).into_iter().map(|node| self.control(node)).collect()
    }

    /// The node at an address.
    pub fn node_at(&self, address: Ipv4Addr) -> Option<NodeIndex> {
        self.nodes.iter().position(|node| node.address == address).map(NodeIndex)
    }

    /// An address for one more instance; `None` if none is left.
    pub fn instance_address(&mut self) -> Option<Ipv4Addr> {
        self.addresses.next_instance()
    }

    fn path(&self, node: NodeIndex, suffix: &str) -> PathBuf {
        self.folder.join(format!("{}{suffix}", self.nodes[node.0].name))
    }

    fn write_settings(&self, number: NodeIndex, initial_start: bool) -> Result<(), ClusterError> {
        let (node, ports) = (&self.nodes[number.0], self.ports);
        let (address, zone) = (node.address, ZONES[number.0 % ZONES.len()]);
        let seeds: Vec<String> =
            self.control_addresses().iter().take(3).map(|seed| format!("\"{seed}\"")).collect();
        let (machine_class, served_role, listen, data_directory_line) = match node.role {
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
            "NodeName = \"{name}\"\nRole = \"{machine_class}\"\nMachineClass = \"{machine_class}\"\nServedRoles = [\"{served_role}\"]\n\
             IpAddress = \"{address}\"\nZone = \"{zone}\"\nRegion = \"stalls\"\n\
             InternalPortRange = [{low}, {high}]\nSeedNodes = [{seeds}]\nInitialStart = {initial_start}\n\
             LossCounted = false\nDiscovery = \"registration\"\nEntry = \"virtual_ip\"\nHeartbeatS = 0.5\n{data_directory_line}\
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

    /// Starts a node unless it is running.
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
        let subcommand = match self.nodes[number.0].role {
            Role::Gateway => "foyer",
            Role::ControlNode => "prompter",
        };
        let child = Command::new(&self.program)
            .args([subcommand, "--metrics", &self.ports.metrics.to_string()])
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

    /// Starts every node that is not running.
    pub fn start_all(&mut self) -> Result<(), ClusterError> {
        (0..self.nodes.len()).try_for_each(|number| self.start(NodeIndex(number)))
    }

    /// Whether a node's process is running.
    pub fn is_running(&mut self, number: NodeIndex) -> bool {
        matches!(self.exit_status(number), Ok(None))
    }

    /// Exit status of a node's process; `None` while it runs. It is an error if the node was never started or was killed
    /// by `kill`.
    pub fn exit_status(&mut self, number: NodeIndex) -> Result<Option<ExitStatus>, ClusterError> {
        let node = &mut self.nodes[number.0];
        let wait = |error| ClusterError::Wait { name: node.name.clone(), error };
        match &mut node.child {
            Some(child) => child.try_wait().map_err(wait),
            None => Err(wait(io::Error::other("it does not run"))),
        }
    }

    /// Process id of a node that was started and not killed; the process may have ended by itself.
    pub fn pid(&self, number: NodeIndex) -> Option<u32> {
        self.nodes[number.0].child.as_ref().map(Child::id)
    }

    /// Sends SIGKILL and waits for the end; the disk stays. The settings no longer mark the next start as the initial
    /// start of the system.
    pub fn kill(&mut self, number: NodeIndex) -> Result<(), ClusterError> {
        let node = &mut self.nodes[number.0];
        if let Some(mut child) = node.child.take() {
            let result = child.kill().and_then(|()| child.wait());
            result.map_err(|error| ClusterError::Wait { name: node.name.clone(), error })?;
        }
        self.write_settings(number, false)
    }

    /// Sends SIGTERM for an orderly shutdown; `exit_status` tells when it is complete.
    pub fn terminate(&mut self, number: NodeIndex) -> Result<(), ClusterError> {
        self.signal(number, "TERM")
    }

    /// Sends SIGHUP, which makes the node reload its settings file.
    pub fn reload(&mut self, number: NodeIndex) -> Result<(), ClusterError> {
        self.signal(number, "HUP")
    }

    /// Sends a signal with `kill(1)`, because the standard library offers only SIGKILL.
    fn signal(&mut self, number: NodeIndex, signal: &'static str) -> Result<(), ClusterError> {
        let running = self.is_running(number);
        let node = &self.nodes[number.0];
        let signal_error = |error| ClusterError::Signal { name: node.name.clone(), signal, error };
        let Some(child) = node.child.as_ref().filter(|_| running) else {
            return Err(signal_error(io::Error::other("it does not run")));
        };
        let status = Command::new("kill")
            .args([format!("-{signal}"), child.id().to_string()])
            .stdin(Stdio::null())
            .status()
            .map_err(signal_error)?;
        if status.success() { Ok(()) } else { Err(signal_error(io::Error::other(status.to_string()))) }
    }

    /// The last lines of each node's log, for failure reports.
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
    /// Kills all nodes and removes a temporary directory.
    fn drop(&mut self) {
        for node in &mut self.nodes {
            if let Some(child) = &mut node.child {
                let _ = child.kill();
            }
        }
        for node in &mut self.nodes {
            let Some(child) = &mut node.child else { continue };
            let since = Instant::now();
            while matches!(child.try_wait(), Ok(None)) && since.elapsed() < KILL_TIMEOUT {
                std::thread::sleep(Duration::from_millis(5));
            }
        }
        if self.remove {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// The first port set of which every port is free at `address`.
fn free_ports(address: Ipv4Addr) -> Result<Ports, ClusterError> {
    let mut last = io::Error::other("none tried");
    for number in 0..MAX_PORT_SETS {
        let ports = Ports::numbered(number);
        let all = [ports.frontend, ports.readiness, ports.control, ports.metrics, ports.internal];
        match all.iter().try_for_each(|port| TcpListener::bind((address, *port)).map(drop)) {
            Ok(()) => return Ok(ports),
            Err(error) => last = error,
        }
    }
    Err(ClusterError::Ports { address, error: last })
}
