//! The settings file (TOML) that each process of the system is told by its machine, read and checked.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};

use membership::{Member, Role};
use types::{MS, Micros, NodeAddress, NodeVersion, RunId, SECOND};

/// Where the settings file's path stands.
pub const VARIABLE: &str = "GARNETDOOR_SETTINGS";

/// Why settings can't be used; each fault names its place.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    #[error("the variable {VARIABLE} names no settings file")]
    Unnamed,
    #[error("{path}: {error}")]
    Unreadable { path: PathBuf, error: std::io::Error },
    #[error("{path}: {error}")]
    Wrong { path: PathBuf, error: Box<toml::de::Error> },
    #[error("{path}: {}", listed(.faults))]
    Faults { path: PathBuf, faults: Vec<Fault> },
}

/// One thing that is wrong with a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The key, with its table: `TimerBounds.GraceS`.
    pub key: String,
    /// What stands there; `nothing` where the key is missing.
    pub found: String,
    pub expected: String,
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {}; expected {}", self.key, self.found, self.expected)
    }
}

fn listed(faults: &[Fault]) -> String {
    faults.iter().map(Fault::to_string).collect::<Vec<_>>().join("\n  ")
}

/// What the file holds; unknown fields are ignored, since later ones may come.
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
    /// Seconds between an instance's beats.
    pub heartbeat_s: f64,
    pub zones: std::collections::BTreeMap<String, String>,
    pub listen_addresses: Listen,
    pub limit_set: MachineLimits,
    pub fault_tolerance: FaultTolerance,
    pub timer_bounds: Bounds,
}

#[derive(Clone, Debug, Default)]
pub struct Listen {
    pub frontend: Option<SocketAddrV4>,
    pub readiness: Option<SocketAddrV4>,
    pub control: Option<SocketAddrV4>,
}

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

/// What may be lost at once with all rules kept.
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

/// The rules' figures that processes act by; seconds and shares.
#[derive(Clone, Debug)]
pub struct Bounds {
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

impl Default for Bounds {
    fn default() -> Self {
        Bounds {
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

/// What rooms do that follows from the deployment's bounds, in microseconds: reckoned once, at the start, and handed to them.
/// No room reads settings. `docs/control.md`, section 3, tells why each is as it is.
#[derive(Clone, Debug)]
pub struct Spans {
    /// Of the ordered log.
    pub book: consensus::Timing,
    /// Of the votes on trials.
    pub count: control_state::VerdictSettings,
    /// `DrainS`.
    pub drain: Micros,
    /// `AckS`.
    pub ack: Micros,
    /// What a control machine that is told to end has for handing over.
    pub hand_over: Micros,
}

/// A span within two bounds.
fn within(span: Micros, least: Micros, most: Micros) -> Micros {
    span.clamp(least, most)
}

impl Spans {
    /// `zones` and `regions` are those that the deployment has.
    pub fn of_bounds(bounds: &Bounds, losses: FaultTolerance, zones: usize, regions: usize) -> Spans {
        let (contact, catch_up) = (micros(bounds.contact_s), micros(bounds.catch_up_s));
        // A core is settled `ContactS` after a leader's death, so an election, two spans at the most, is over by half
        // of it. Under the lower bound a slow machine's beats would come too late.
        let election = within(contact * 7 / 30, 450 * MS, 700 * MS);
        let share = |(lost, all): (usize, usize)| lost.min(all) * 1000 / all.max(1);
        let parts = [(losses.zones, zones), (losses.region_losses, regions)];
        let book = consensus::Timing {
            heartbeat_interval: election * 3 / 14,
            election_timeout: election,
            // A machine that is back has `CatchUpS` to be let in again; one that is not back for twice that is taken for gone.
            removal_timeout: within(2 * catch_up, 4 * SECOND, 30 * SECOND),
            // Of a successor's `CatchUpS` an election may take up to two spans, the letting in a tenth.
            replacement_timeout: within(catch_up / 4, election, 2 * SECOND),
            join_interval: within(catch_up / 8, 200 * MS, SECOND),
            fault_tolerance: consensus::FaultTolerance {
                machines: losses.machine_losses,
                domains: parts.into_iter().max_by_key(|part| share(*part)).unwrap_or_default(),
            },
            max_chunk_bytes: 256 << 10,
        };
        let usual = control_state::VerdictSettings::default();
        let rollback = micros(bounds.rollback_s);
        // A verdict's way to all foyers takes the rest of `RollbackS`.
        let count = control_state::VerdictSettings {
            lone_roll_back_duration: within(rollback * 2 / 5, 0, usual.lone_roll_back_duration),
            verdict_repeat_interval: within(rollback / 5, 200 * MS, usual.verdict_repeat_interval),
            ..usual
        };
        let hand_over = within(micros(bounds.grace_s) * 2 / 3, 0, 5 * SECOND);
        Spans { book, count, drain: micros(bounds.drain_s), ack: micros(bounds.ack_s), hand_over }
    }
}

impl Default for Spans {
    /// Of a deployment that tells nothing.
    fn default() -> Spans {
        Spans::of_bounds(&Bounds::default(), FaultTolerance::default(), 1, 1)
    }
}

/// Seconds between beats where the file says nothing.
const USUAL_HEARTBEAT: f64 = 1.5;
/// Seconds are told as whole microseconds; a longer span than this is a slip of the pen.
const LONGEST_S: f64 = 86_400.0;
/// Figures of a machine: no share, size or count above this is meant.
const LARGEST: f64 = 1e9;
/// Machines, zones or regions that may be lost at once: more than any deployment has.
const MOST_LOSSES: usize = 10_000;
/// Bytes of names; among nodes they go cut to `membership::NAME_BYTES_MAX`.
const NAME_MOST: usize = 253;

/// Seconds as whole microseconds; what is negative, too long or no number is 0.
pub fn micros(seconds: f64) -> Micros {
    if seconds.is_finite() && (0.0..1e9).contains(&seconds) { (seconds * 1e6).round() as Micros } else { 0 }
}

impl Settings {
    /// The file that the variable names.
    pub fn path() -> Result<PathBuf, SettingsError> {
        std::env::var_os(VARIABLE).map(PathBuf::from).ok_or(SettingsError::Unnamed)
    }

    /// Reads and checks a file, whichever part the process plays.
    pub fn read(path: &Path) -> Result<Settings, SettingsError> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| SettingsError::Unreadable { path: path.to_owned(), error })?;
        let table: toml::Table = toml::from_str(&text)
            .map_err(|error| SettingsError::Wrong { path: path.to_owned(), error: Box::new(error) })?;
        Settings::of(&table).map_err(|faults| SettingsError::Faults { path: path.to_owned(), faults })
    }

    /// As `read`, and with what a process that plays `part` can't do without.
    pub fn read_for(path: &Path, part: Role) -> Result<Settings, SettingsError> {
        let settings = Settings::read(path)?;
        let faults = settings.lacking(part);
        if faults.is_empty() {
            Ok(settings)
        } else {
            Err(SettingsError::Faults { path: path.to_owned(), faults })
        }
    }

    /// The part that the addresses in the file are for; `None` where there are none.
    pub fn part(&self) -> Option<Role> {
        let listen = &self.listen_addresses;
        if listen.control.is_some() {
            return Some(Role::ControlNode);
        }
        (listen.frontend.is_some() || listen.readiness.is_some()).then_some(Role::Gateway)
    }

    /// What a process of a part needs and the file does not tell.
    pub fn lacking(&self, part: Role) -> Vec<Fault> {
        let listen = &self.listen_addresses;
        let wanted = match part {
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
        let missing = wanted.into_iter().filter(|(_, there, _)| !there);
        missing.map(|(key, _, expected)| fault(key, "nothing".to_owned(), expected)).collect()
    }

    /// Checks every key that is read; all faults at once. Keys that are not known are passed over, since
    /// later versions bring others.
    pub fn of(table: &toml::Table) -> Result<Settings, Vec<Fault>> {
        let mut faults = Vec::new();
        let mut top = Keys { table: Some(table), within: "", faults: &mut faults };
        let node_name = top.name("NodeName");
        let ip_address = top.wanted("IpAddress", "an IPv4 address of this machine", |value| {
            let found: Ipv4Addr = value.as_str()?.parse().ok()?;
            (!found.is_unspecified() && !found.is_multicast() && !found.is_broadcast()).then_some(found)
        });
        let zone = top.name("Zone");
        let region = top.or("Region", "a text", String::new(), |value| value.as_str().map(str::to_owned));
        let internal_port_range =
            top.wanted("InternalPortRange", "two ports from 1 to 65535, the lower first", |value| {
                let [low, high] = value.as_array()?.as_slice() else { return None };
                let port =
                    |value: &toml::Value| u16::try_from(value.as_integer()?).ok().filter(|port| *port > 0);
                Some([port(low)?, port(high)?]).filter(|[low, high]| low <= high)
            });
        let seed_nodes =
            top.wanted("SeedNodes", "a list of IP:port, one at least, each a prompter's Control", |value| {
                let seeds: Option<Vec<_>> = value.as_array()?.iter().map(address).collect();
                seeds.filter(|seeds| !seeds.is_empty())
            });
        let initial_start = top.or("InitialStart", "true or false", false, toml::Value::as_bool);
        let data_directory = top.or("DataDirectory", "a folder's path", None, |value| {
            value.as_str().filter(|path| !path.is_empty()).map(|path| Some(PathBuf::from(path)))
        });
        // Under half a microsecond it would be 0 where it is used.
        let heartbeat_s = top.or("HeartbeatS", "seconds above 0, under 3600", USUAL_HEARTBEAT, |value| {
            number(value).filter(|found| micros(*found) > 0 && *found < 3600.0)
        });
        let zones =
            top.or("Zones", "a table of zones, each with its region's name", Default::default(), |value| {
                let zones = value.as_table()?.iter();
                zones.map(|(zone, region)| Some((zone.clone(), region.as_str()?.to_owned()))).collect()
            });
        let mut listen = top.within("ListenAddresses");
        let listen_addresses = Listen {
            frontend: listen.or("Frontend", "IP:port", None, |value| address(value).map(Some)),
            readiness: listen.or("Readiness", "IP:port", None, |value| address(value).map(Some)),
            control: listen.or("Control", "IP:port", None, |value| address(value).map(Some)),
        };
        let usual = MachineLimits::default();
        let mut limits = top.within("LimitSet");
        let limit_set = MachineLimits {
            cpu_share: limits.above_0("CpuShare", usual.cpu_share),
            memory_mb: limits.above_0("MemoryMb", usual.memory_mb),
            fd_limit: limits.above_0("FdLimit", usual.fd_limit),
            link_mbps: limits.above_0("LinkMbps", usual.link_mbps),
            disk_mb: limits.upto("DiskMb", usual.disk_mb, LARGEST),
        };
        let usual = FaultTolerance::default();
        let mut losses = top.within("FaultTolerance");
        let fault_tolerance = FaultTolerance {
            machine_losses: losses.count("MachineLosses", usual.machine_losses),
            zones: losses.count("Zones", usual.zones),
            region_losses: losses.count("RegionLosses", usual.region_losses),
        };
        let usual = Bounds::default();
        let mut bounds = top.within("TimerBounds");
        let timer_bounds = Bounds {
            contact_s: bounds.upto("ContactS", usual.contact_s, LONGEST_S),
            ack_s: bounds.upto("AckS", usual.ack_s, LONGEST_S),
            catch_up_s: bounds.upto("CatchUpS", usual.catch_up_s, LONGEST_S),
            drain_s: bounds.upto("DrainS", usual.drain_s, LONGEST_S),
            grace_s: bounds.upto("GraceS", usual.grace_s, LONGEST_S),
            config_apply_s: bounds.upto("ConfigApplyS", usual.config_apply_s, LONGEST_S),
            retry_budget_ratio: bounds.upto("RetryBudgetRatio", usual.retry_budget_ratio, LARGEST),
            retry_window_s: bounds.upto("RetryWindowS", usual.retry_window_s, LONGEST_S),
            retry_budget_slack: bounds.upto("RetryBudgetSlack", usual.retry_budget_slack, LARGEST),
            exposure_share: bounds.upto("ExposureShare", usual.exposure_share, 1.0),
            exposure_slack: bounds.upto("ExposureSlack", usual.exposure_slack, LARGEST),
            rollback_s: bounds.upto("RollbackS", usual.rollback_s, LONGEST_S),
        };
        // One that is wanted and not there has left a fault.
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

    /// This node as it tells of itself.
    pub fn member(&self, part: Role, life: RunId) -> Member {
        let (zone, name) = (self.zone.clone(), self.node_name.clone());
        Member { address: self.place(), run_id: life, role: part, zone, name, version: NodeVersion::CURRENT }
    }

    pub fn place(&self) -> NodeAddress {
        NodeAddress(self.ip_address)
    }

    /// What follows from the bounds.
    pub fn spans(&self) -> Spans {
        let regions: std::collections::BTreeSet<&String> = self.zones.values().collect();
        Spans::of_bounds(&self.timer_bounds, self.fault_tolerance, self.zones.len(), regions.len())
    }

    /// The machines that may know others.
    pub fn seeds(&self) -> Vec<NodeAddress> {
        self.seed_nodes.iter().map(|seed| NodeAddress(*seed.ip())).collect()
    }

    /// The port of what nodes say to each other.
    pub fn internal_port(&self) -> u16 {
        self.internal_port_range[0]
    }

    /// The port at which all prompters serve control.
    pub fn control_port(&self) -> u16 {
        self.seed_nodes.first().map_or(0, |seed| seed.port())
    }
}

fn fault(key: &str, found: String, expected: &str) -> Fault {
    Fault { key: key.to_owned(), found, expected: expected.to_owned() }
}

/// A value much as it stands in the file.
fn quoted(value: &toml::Value) -> String {
    match value {
        toml::Value::String(text) => format!("{text:?}"),
        toml::Value::Integer(number) => number.to_string(),
        toml::Value::Float(number) => number.to_string(),
        toml::Value::Boolean(truth) => truth.to_string(),
        toml::Value::Array(list) => format!("[{}]", list.iter().map(quoted).collect::<Vec<_>>().join(", ")),
        toml::Value::Table(_) => "a table".to_owned(),
        toml::Value::Datetime(_) => "a date".to_owned(),
    }
}

/// TOML tells 3 from 3.0; a figure may be written either way.
fn number(value: &toml::Value) -> Option<f64> {
    let found = value.as_float().or_else(|| value.as_integer().map(|whole| whole as f64))?;
    found.is_finite().then_some(found)
}

fn address(value: &toml::Value) -> Option<SocketAddrV4> {
    let found: SocketAddrV4 = value.as_str()?.parse().ok()?;
    (found.port() > 0).then_some(found)
}

/// Reads one table's keys and notes what is wrong with them.
struct Keys<'a> {
    table: Option<&'a toml::Table>,
    /// The table's name and a dot; empty for the whole file.
    within: &'static str,
    faults: &'a mut Vec<Fault>,
}

impl<'a> Keys<'a> {
    /// The value of a key as `read` takes it; a fault and `None` where it takes none. A missing key is `None`
    /// alone.
    fn get<T>(
        &mut self, key: &str, expected: &str, read: impl Fn(&toml::Value) -> Option<T>,
    ) -> Option<Option<T>> {
        let value = self.table?.get(key)?;
        let found = read(value);
        if found.is_none() {
            let mut text = quoted(value);
            if text.len() > 80 {
                let cut = text.floor_char_boundary(80);
                text.truncate(cut);
                text.push_str("...");
            }
            self.faults.push(fault(&format!("{}{key}", self.within), text, expected));
        }
        Some(found)
    }

    fn wanted<T>(
        &mut self, key: &str, expected: &str, read: impl Fn(&toml::Value) -> Option<T>,
    ) -> Option<T> {
        self.get(key, expected, read).unwrap_or_else(|| {
            self.faults.push(fault(&format!("{}{key}", self.within), "nothing".to_owned(), expected));
            None
        })
    }

    fn or<T>(&mut self, key: &str, expected: &str, usual: T, read: impl Fn(&toml::Value) -> Option<T>) -> T {
        self.get(key, expected, read).flatten().unwrap_or(usual)
    }

    fn name(&mut self, key: &str) -> Option<String> {
        self.wanted(key, &format!("a text of 1 to {NAME_MOST} bytes"), |value| {
            value.as_str().filter(|text| (1..=NAME_MOST).contains(&text.len())).map(str::to_owned)
        })
    }

    fn upto(&mut self, key: &str, usual: f64, most: f64) -> f64 {
        self.or(key, &format!("a number from 0 to {most}"), usual, |value| {
            number(value).filter(|found| (0.0..=most).contains(found))
        })
    }

    fn count(&mut self, key: &str, usual: usize) -> usize {
        self.or(key, &format!("a whole number from 0 to {MOST_LOSSES}"), usual, |value| {
            let found = number(value).filter(|found| found.fract() == 0.0)?;
            (0.0..=MOST_LOSSES as f64).contains(&found).then_some(found as usize)
        })
    }

    fn above_0(&mut self, key: &str, usual: f64) -> f64 {
        self.or(key, "a number above 0", usual, |value| {
            number(value).filter(|found| *found > 0.0 && *found <= LARGEST)
        })
    }

    /// The keys of a table within; none where it is missing.
    fn within(&mut self, key: &'static str) -> Keys<'_> {
        let table = self.get(key, "a table", |value| value.is_table().then_some(())).flatten();
        let table = table.and_then(|()| self.table?.get(key)?.as_table());
        let within = match key {
            "ListenAddresses" => "ListenAddresses.",
            "LimitSet" => "LimitSet.",
            "FaultTolerance" => "FaultTolerance.",
            _ => "TimerBounds.",
        };
        Keys { table, within, faults: self.faults }
    }
}
