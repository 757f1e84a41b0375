//! Reads and validates the settings file (TOML) of a process, and derives the timings that follow from it.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};

use membership::{Member, Role};
use types::{MS, Micros, NodeAddress, NodeVersion, RunId, SECOND};

/// Environment variable that holds the path of the settings file.
pub const SETTINGS_PATH_VARIABLE: &str = "GARNETDOOR_SETTINGS";

/// Why a settings file can't be used. Each fault names the key that it is about.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    #[error("the variable {SETTINGS_PATH_VARIABLE} names no settings file")]
    PathNotSet,
    #[error("{path}: {error}")]
    Unreadable { path: PathBuf, error: std::io::Error },
    #[error("{path}: {error}")]
    InvalidToml { path: PathBuf, error: Box<toml::de::Error> },
    #[error("{path}: {}", joined(.faults))]
    Faults { path: PathBuf, faults: Vec<Fault> },
}

/// One invalid or missing key of a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The key with its table, for example `TimerBounds.GraceS`.
    pub key: String,
    /// The value in the file; `nothing` if the key is missing.
    pub found: String,
    pub expected: String,
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {}; expected {}", self.key, self.found, self.expected)
    }
}

/// The faults, one per line.
fn joined(faults: &[Fault]) -> String {
    faults.iter().map(Fault::to_string).collect::<Vec<_>>().join("\n  ")
}

/// The validated settings. Unknown keys are ignored, because later versions may add keys.
#[derive(Clone, Debug)]
pub struct Settings {
    pub node_name: String,
    pub ip_address: Ipv4Addr,
    pub zone: String,
    pub region: String,
    pub internal_port_range: [u16; 2],
    pub seed_nodes: Vec<SocketAddrV4>,
    pub initial_start: bool,
    pub data_directory: Option<PathBuf>,
    /// Seconds between heartbeats of an instance.
    pub heartbeat_s: f64,
    /// Name of each zone with the name of its region.
    pub zones: std::collections::BTreeMap<String, String>,
    pub listen_addresses: ListenAddresses,
    pub limit_set: MachineLimits,
    pub fault_tolerance: FaultTolerance,
    pub timer_bounds: TimerBounds,
}

/// Addresses that the process listens on; which of them are set depends on its role.
#[derive(Clone, Debug, Default)]
pub struct ListenAddresses {
    pub frontend: Option<SocketAddrV4>,
    pub readiness: Option<SocketAddrV4>,
    pub control: Option<SocketAddrV4>,
}

/// Resources of the machine that the process may use.
#[derive(Clone, Debug)]
pub struct MachineLimits {
    pub cpu_share: f64,
    pub memory_mb: f64,
    pub fd_limit: f64,
    pub link_mbps: f64,
    pub disk_mb: f64,
}

impl Default for MachineLimits {
    fn default() -> Self {
        MachineLimits {
            cpu_share: 1.0,
            memory_mb: 256.0,
            fd_limit: 1024.0,
            link_mbps: 1000.0,
            disk_mb: 256.0,
        }
    }
}

/// Numbers of machines, zones and regions whose simultaneous loss the deployment must tolerate.
#[derive(Clone, Copy, Debug)]
pub struct FaultTolerance {
    pub machine_losses: usize,
    pub zones: usize,
    pub region_losses: usize,
}

impl Default for FaultTolerance {
    fn default() -> Self {
        FaultTolerance { machine_losses: 1, zones: 0, region_losses: 0 }
    }
}

/// Time limits (in seconds) and ratios that the deployment promises and the processes act by.
#[derive(Clone, Debug)]
pub struct TimerBounds {
    pub contact_s: f64,
    pub ack_s: f64,
    pub catch_up_s: f64,
    pub drain_s: f64,
    pub grace_s: f64,
    pub config_apply_s: f64,
    pub retry_budget_ratio: f64,
    pub retry_window_s: f64,
    pub retry_budget_slack: f64,
    pub exposure_share: f64,
    pub exposure_slack: f64,
    pub rollback_s: f64,
}

impl Default for TimerBounds {
    fn default() -> Self {
        TimerBounds {
            contact_s: 3.0,
            ack_s: 5.0,
            catch_up_s: 4.0,
            drain_s: 2.5,
            grace_s: 6.0,
            config_apply_s: 2.5,
            retry_budget_ratio: 0.2,
            retry_window_s: 10.0,
            retry_budget_slack: 50.0,
            exposure_share: 0.1,
            exposure_slack: 50.0,
            rollback_s: 5.0,
        }
    }
}

/// Timings that follow from the deployment's bounds, in microseconds. They are computed once at start and passed to the
/// packages that need them, so that none of those reads settings. `docs/control.md`, section 3, gives the reasons.
#[derive(Clone, Debug)]
pub struct DerivedTimings {
    /// Timing of the Raft log.
    pub consensus: consensus::Timing,
    /// Settings of the verdict on trial versions.
    pub verdicts: control_state::VerdictSettings,
    /// Time that a draining instance has (`DrainS`).
    pub drain_limit: Micros,
    /// Time within which a change must be acknowledged (`AckS`).
    pub ack_timeout: Micros,
    /// Time that a control node has to transfer leadership when it is asked to stop.
    pub leadership_transfer_timeout: Micros,
}

fn clamp(duration: Micros, min: Micros, max: Micros) -> Micros {
    duration.clamp(min, max)
}

impl DerivedTimings {
    /// Derives the timings; `zones` and `regions` are the numbers of zones and regions of the deployment.
    pub fn from_bounds(
        bounds: &TimerBounds, tolerance: FaultTolerance, zones: usize, regions: usize,
    ) -> DerivedTimings {
        let (contact, catch_up) = (seconds_to_micros(bounds.contact_s), seconds_to_micros(bounds.catch_up_s));
        // The control plane must have a leader `ContactS` after the loss of the old one, so an election, which takes at
        // most two timeouts, ends within half of that. Below the lower bound, heartbeats of a slow machine would
        // arrive too late.
        let election = clamp(contact * 7 / 30, 450 * MS, 700 * MS);
        let per_mille = |(tolerated, total): (usize, usize)| tolerated.min(total) * 1000 / total.max(1);
        let domains = [(tolerance.zones, zones), (tolerance.region_losses, regions)];
        let consensus = consensus::Timing {
            heartbeat_interval: election * 3 / 14,
            election_timeout: election,
            // A control node that returns has `CatchUpS` to rejoin; one that is away for twice that long is removed.
            removal_timeout: clamp(2 * catch_up, 4 * SECOND, 30 * SECOND),
            // Of the `CatchUpS` of a replacement, an election may take up to two timeouts and the join a tenth.
            replacement_timeout: clamp(catch_up / 4, election, 2 * SECOND),
            join_interval: clamp(catch_up / 8, 200 * MS, SECOND),
            fault_tolerance: consensus::FaultTolerance {
                machines: tolerance.machine_losses,
                domains: domains.into_iter().max_by_key(|domain| per_mille(*domain)).unwrap_or_default(),
            },
            max_chunk_bytes: 256 << 10,
        };
        let default = control_state::VerdictSettings::default();
        let rollback = seconds_to_micros(bounds.rollback_s);
        // The rest of `RollbackS` is left for the verdict to reach all gateways.
        let verdicts = control_state::VerdictSettings {
            lone_roll_back_duration: clamp(rollback * 2 / 5, 0, default.lone_roll_back_duration),
            verdict_repeat_interval: clamp(rollback / 5, 200 * MS, default.verdict_repeat_interval),
            ..default
        };
        let leadership_transfer_timeout = clamp(seconds_to_micros(bounds.grace_s) * 2 / 3, 0, 5 * SECOND);
        DerivedTimings {
            consensus,
            verdicts,
            drain_limit: seconds_to_micros(bounds.drain_s),
            ack_timeout: seconds_to_micros(bounds.ack_s),
            leadership_transfer_timeout,
        }
    }
}

impl Default for DerivedTimings {
    /// Timings of a deployment that sets no bounds.
    fn default() -> DerivedTimings {
        DerivedTimings::from_bounds(&TimerBounds::default(), FaultTolerance::default(), 1, 1)
    }
}

/// Seconds between heartbeats if the file doesn't set `HeartbeatS`.
const DEFAULT_HEARTBEAT_S: f64 = 1.5;
/// Longest duration, in seconds, that is accepted; a larger value is taken for a typing error.
const MAX_DURATION_S: f64 = 86_400.0;
/// Upper bound of sizes, counts and ratios; a larger value is taken for a typing error.
const MAX_LIMIT: f64 = 1e9;
/// Upper bound of tolerated losses, above the size of any deployment.
const MAX_TOLERATED_LOSSES: usize = 10_000;
/// Longest name in bytes. Nodes exchange names truncated to `membership::NAME_BYTES_MAX`.
const MAX_NAME_BYTES: usize = 253;

/// Converts seconds to whole microseconds. Negative, non-finite and values from 1e9 on become 0.
pub fn seconds_to_micros(seconds: f64) -> Micros {
    if seconds.is_finite() && (0.0..1e9).contains(&seconds) { (seconds * 1e6).round() as Micros } else { 0 }
}

impl Settings {
    /// The path in the environment variable; an error if it isn't set.
    pub fn path() -> Result<PathBuf, SettingsError> {
        std::env::var_os(SETTINGS_PATH_VARIABLE).map(PathBuf::from).ok_or(SettingsError::PathNotSet)
    }

    /// Reads and validates a file, for either role.
    pub fn read(path: &Path) -> Result<Settings, SettingsError> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| SettingsError::Unreadable { path: path.to_owned(), error })?;
        let table: toml::Table = toml::from_str(&text)
            .map_err(|error| SettingsError::InvalidToml { path: path.to_owned(), error: Box::new(error) })?;
        Settings::from_table(&table).map_err(|faults| SettingsError::Faults { path: path.to_owned(), faults })
    }

    /// Like `read`, and also fails if a key is missing that a process of `role` needs.
    pub fn read_for(path: &Path, role: Role) -> Result<Settings, SettingsError> {
        let settings = Settings::read(path)?;
        let faults = settings.missing_for(role);
        if faults.is_empty() {
            Ok(settings)
        } else {
            Err(SettingsError::Faults { path: path.to_owned(), faults })
        }
    }

    /// The role that the listen addresses belong to; `None` if none is set.
    pub fn role(&self) -> Option<Role> {
        let listen = &self.listen_addresses;
        if listen.control.is_some() {
            return Some(Role::ControlNode);
        }
        (listen.frontend.is_some() || listen.readiness.is_some()).then_some(Role::Gateway)
    }

    /// The keys that a process of `role` needs and that are missing in the file.
    pub fn missing_for(&self, role: Role) -> Vec<Fault> {
        let listen = &self.listen_addresses;
        let required = match role {
            Role::Gateway => [
                ("ListenAddresses.Frontend", listen.frontend.is_some(), "the IP:port for clients"),
                ("ListenAddresses.Readiness", listen.readiness.is_some(), "the IP:port for the platform"),
            ],
            Role::ControlNode => [
                (
                    "ListenAddresses.Control",
                    listen.control.is_some(),
                    "the IP:port for operators and instances",
                ),
                ("DataDirectory", self.data_directory.is_some(), "the folder for a prompter's disk"),
            ],
        };
        let missing = required.into_iter().filter(|(_, present, _)| !present);
        missing.map(|(key, _, expected)| fault(key, "nothing".to_owned(), expected)).collect()
    }

    /// Validates every known key and returns all faults at once. Unknown keys are ignored, because later versions may
    /// add keys.
    pub fn from_table(table: &toml::Table) -> Result<Settings, Vec<Fault>> {
        let mut faults = Vec::new();
        let mut root = TableReader { table: Some(table), prefix: "", faults: &mut faults };
        let node_name = root.name("NodeName");
        let ip_address = root.required("IpAddress", "an IPv4 address of this machine", |value| {
            let found: Ipv4Addr = value.as_str()?.parse().ok()?;
            (!found.is_unspecified() && !found.is_multicast() && !found.is_broadcast()).then_some(found)
        });
        let zone = root.name("Zone");
        let region =
            root.optional("Region", "a text", String::new(), |value| value.as_str().map(str::to_owned));
        let internal_port_range =
            root.required("InternalPortRange", "two ports from 1 to 65535, the lower first", |value| {
                let [low, high] = value.as_array()?.as_slice() else { return None };
                let port =
                    |value: &toml::Value| u16::try_from(value.as_integer()?).ok().filter(|port| *port > 0);
                Some([port(low)?, port(high)?]).filter(|[low, high]| low <= high)
            });
        let seed_nodes = root.required(
            "SeedNodes",
            "a list of IP:port, one at least, each a prompter's Control",
            |value| {
                let seeds: Option<Vec<_>> = value.as_array()?.iter().map(address).collect();
                seeds.filter(|seeds| !seeds.is_empty())
            },
        );
        let initial_start = root.optional("InitialStart", "true or false", false, toml::Value::as_bool);
        let data_directory = root.optional("DataDirectory", "a folder's path", None, |value| {
            value.as_str().filter(|path| !path.is_empty()).map(|path| Some(PathBuf::from(path)))
        });
        // Below half a microsecond the value would be rounded to 0.
        let heartbeat_s =
            root.optional("HeartbeatS", "seconds above 0, under 3600", DEFAULT_HEARTBEAT_S, |value| {
                number(value).filter(|found| seconds_to_micros(*found) > 0 && *found < 3600.0)
            });
        let zones = root.optional(
            "Zones",
            "a table of zones, each with its region's name",
            Default::default(),
            |value| {
                let zones = value.as_table()?.iter();
                zones.map(|(zone, region)| Some((zone.clone(), region.as_str()?.to_owned()))).collect()
            },
        );
        let mut listen = root.table("ListenAddresses");
        let listen_addresses = ListenAddresses {
            frontend: listen.optional("Frontend", "IP:port", None, |value| address(value).map(Some)),
            readiness: listen.optional("Readiness", "IP:port", None, |value| address(value).map(Some)),
            control: listen.optional("Control", "IP:port", None, |value| address(value).map(Some)),
        };
        let default = MachineLimits::default();
        let mut limits = root.table("LimitSet");
        let limit_set = MachineLimits {
            cpu_share: limits.positive("CpuShare", default.cpu_share),
            memory_mb: limits.positive("MemoryMb", default.memory_mb),
            fd_limit: limits.positive("FdLimit", default.fd_limit),
            link_mbps: limits.positive("LinkMbps", default.link_mbps),
            disk_mb: limits.up_to("DiskMb", default.disk_mb, MAX_LIMIT),
        };
        let default = FaultTolerance::default();
        let mut tolerance = root.table("FaultTolerance");
        let fault_tolerance = FaultTolerance {
            machine_losses: tolerance.count("MachineLosses", default.machine_losses),
            zones: tolerance.count("Zones", default.zones),
            region_losses: tolerance.count("RegionLosses", default.region_losses),
        };
        let default = TimerBounds::default();
        let mut bounds = root.table("TimerBounds");
        let timer_bounds = TimerBounds {
            contact_s: bounds.up_to("ContactS", default.contact_s, MAX_DURATION_S),
            ack_s: bounds.up_to("AckS", default.ack_s, MAX_DURATION_S),
            catch_up_s: bounds.up_to("CatchUpS", default.catch_up_s, MAX_DURATION_S),
            drain_s: bounds.up_to("DrainS", default.drain_s, MAX_DURATION_S),
            grace_s: bounds.up_to("GraceS", default.grace_s, MAX_DURATION_S),
            config_apply_s: bounds.up_to("ConfigApplyS", default.config_apply_s, MAX_DURATION_S),
            retry_budget_ratio: bounds.up_to("RetryBudgetRatio", default.retry_budget_ratio, MAX_LIMIT),
            retry_window_s: bounds.up_to("RetryWindowS", default.retry_window_s, MAX_DURATION_S),
            retry_budget_slack: bounds.up_to("RetryBudgetSlack", default.retry_budget_slack, MAX_LIMIT),
            exposure_share: bounds.up_to("ExposureShare", default.exposure_share, 1.0),
            exposure_slack: bounds.up_to("ExposureSlack", default.exposure_slack, MAX_LIMIT),
            rollback_s: bounds.up_to("RollbackS", default.rollback_s, MAX_DURATION_S),
        };
        // A required key that is missing has added a fault.
        let (
            Some(node_name),
            Some(ip_address),
            Some(zone),
            Some(internal_port_range),
            Some(seed_nodes),
            true,
        ) = (node_name, ip_address, zone, internal_port_range, seed_nodes, faults.is_empty())
        else {
            return Err(faults);
        };
        Ok(Settings {
            node_name,
            ip_address,
            zone,
            region,
            internal_port_range,
            seed_nodes,
            initial_start,
            data_directory,
            heartbeat_s,
            zones,
            listen_addresses,
            limit_set,
            fault_tolerance,
            timer_bounds,
        })
    }

    /// The membership record that this node announces.
    pub fn member(&self, role: Role, run_id: RunId) -> Member {
        let (zone, name) = (self.zone.clone(), self.node_name.clone());
        Member { address: self.node_address(), run_id, role, zone, name, version: NodeVersion::CURRENT }
    }

    pub fn node_address(&self) -> NodeAddress {
        NodeAddress(self.ip_address)
    }

    /// The timings that follow from the bounds and the zones.
    pub fn derived_timings(&self) -> DerivedTimings {
        let regions: std::collections::BTreeSet<&String> = self.zones.values().collect();
        DerivedTimings::from_bounds(&self.timer_bounds, self.fault_tolerance, self.zones.len(), regions.len())
    }

    /// Addresses of the nodes that are contacted first.
    pub fn seed_addresses(&self) -> Vec<NodeAddress> {
        self.seed_nodes.iter().map(|seed| NodeAddress(*seed.ip())).collect()
    }

    /// The port for traffic between nodes.
    pub fn internal_port(&self) -> u16 {
        self.internal_port_range[0]
    }

    /// The port at which all control nodes serve the control API.
    pub fn control_port(&self) -> u16 {
        self.seed_nodes.first().map_or(0, |seed| seed.port())
    }
}

fn fault(key: &str, found: String, expected: &str) -> Fault {
    Fault { key: key.to_owned(), found, expected: expected.to_owned() }
}

/// A value as text, for error messages.
fn describe_value(value: &toml::Value) -> String {
    match value {
        toml::Value::String(text) => format!("{text:?}"),
        toml::Value::Integer(number) => number.to_string(),
        toml::Value::Float(number) => number.to_string(),
        toml::Value::Boolean(truth) => truth.to_string(),
        toml::Value::Array(list) => {
            format!("[{}]", list.iter().map(describe_value).collect::<Vec<_>>().join(", "))
        }
        toml::Value::Table(_) => "a table".to_owned(),
        toml::Value::Datetime(_) => "a date".to_owned(),
    }
}

/// A finite number. TOML distinguishes 3 and 3.0; both are accepted.
fn number(value: &toml::Value) -> Option<f64> {
    let found = value.as_float().or_else(|| value.as_integer().map(|whole| whole as f64))?;
    found.is_finite().then_some(found)
}

/// An IPv4 address with a port other than 0.
fn address(value: &toml::Value) -> Option<SocketAddrV4> {
    let found: SocketAddrV4 = value.as_str()?.parse().ok()?;
    (found.port() > 0).then_some(found)
}

/// Reads the keys of one table and collects faults.
struct TableReader<'a> {
    table: Option<&'a toml::Table>,
    /// The table's name and a dot; empty for the root table.
    prefix: &'static str,
    faults: &'a mut Vec<Fault>,
}

impl<'a> TableReader<'a> {
    /// Parses the value of a key with `read`. The outer `None` means that the key is missing. The inner `None` means
    /// that `read` rejected the value; a fault has been added.
    fn get<T>(
        &mut self, key: &str, expected: &str, read: impl Fn(&toml::Value) -> Option<T>,
    ) -> Option<Option<T>> {
        let value = self.table?.get(key)?;
        let found = read(value);
        if found.is_none() {
            let mut text = describe_value(value);
            if text.len() > 80 {
                let cut = text.floor_char_boundary(80);
                text.truncate(cut);
                text.push_str("...");
            }
            self.faults.push(fault(&format!("{}{key}", self.prefix), text, expected));
        }
        Some(found)
    }

    /// Like `get`, but a missing key is a fault.
    fn required<T>(
        &mut self, key: &str, expected: &str, read: impl Fn(&toml::Value) -> Option<T>,
    ) -> Option<T> {
        self.get(key, expected, read).unwrap_or_else(|| {
            self.faults.push(fault(&format!("{}{key}", self.prefix), "nothing".to_owned(), expected));
            None
        })
    }

    /// Like `get`, but a missing or invalid key gives `default`.
    fn optional<T>(
        &mut self, key: &str, expected: &str, default: T, read: impl Fn(&toml::Value) -> Option<T>,
    ) -> T {
        self.get(key, expected, read).flatten().unwrap_or(default)
    }

    /// A required string of 1 to `MAX_NAME_BYTES` bytes.
    fn name(&mut self, key: &str) -> Option<String> {
        self.required(key, &format!("a text of 1 to {MAX_NAME_BYTES} bytes"), |value| {
            value.as_str().filter(|text| (1..=MAX_NAME_BYTES).contains(&text.len())).map(str::to_owned)
        })
    }

    /// An optional number from 0 to `max`.
    fn up_to(&mut self, key: &str, default: f64, max: f64) -> f64 {
        self.optional(key, &format!("a number from 0 to {max}"), default, |value| {
            number(value).filter(|found| (0.0..=max).contains(found))
        })
    }

    /// An optional whole number from 0 to `MAX_TOLERATED_LOSSES`.
    fn count(&mut self, key: &str, default: usize) -> usize {
        self.optional(key, &format!("a whole number from 0 to {MAX_TOLERATED_LOSSES}"), default, |value| {
            let found = number(value).filter(|found| found.fract() == 0.0)?;
            (0.0..=MAX_TOLERATED_LOSSES as f64).contains(&found).then_some(found as usize)
        })
    }

    /// An optional number above 0, up to `MAX_LIMIT`.
    fn positive(&mut self, key: &str, default: f64) -> f64 {
        self.optional(key, "a number above 0", default, |value| {
            number(value).filter(|found| *found > 0.0 && *found <= MAX_LIMIT)
        })
    }

    /// A reader of a sub-table; it finds no keys if the table is missing.
    fn table(&mut self, key: &'static str) -> TableReader<'_> {
        let table = self.get(key, "a table", |value| value.is_table().then_some(())).flatten();
        let table = table.and_then(|()| self.table?.get(key)?.as_table());
        let prefix = match key {
            "ListenAddresses" => "ListenAddresses.",
            "LimitSet" => "LimitSet.",
            "FaultTolerance" => "FaultTolerance.",
            _ => "TimerBounds.",
        };
        TableReader { table, prefix, faults: self.faults }
    }
}
