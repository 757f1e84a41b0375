//! The settings file (TOML) that each process of the system is told by its machine, read and checked.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};

use company::{Member, Part};
use props::{Life, Micros, Place};
use serde::Deserialize;

/// Where the settings file's path stands.
pub const VARIABLE: &str = "GARNETDOOR_SETTINGS";

/// Why settings can't be used; each names its place.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    #[error("the variable {VARIABLE} names no settings file")]
    Unnamed,
    #[error("{path}: {error}")]
    Unreadable { path: PathBuf, error: std::io::Error },
    #[error("{path}: {error}")]
    Wrong { path: PathBuf, error: Box<toml::de::Error> },
    #[error("{path}: {key}: {found}; expected {expected}")]
    Value { path: PathBuf, key: &'static str, found: String, expected: &'static str },
}

/// What the file holds; unknown fields are ignored, since later ones may come.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Settings {
    pub node_name: String,
    pub ip_address: Ipv4Addr,
    pub zone: String,
    #[serde(default)]
    pub region: String,
    pub internal_port_range: [u16; 2],
    pub seed_nodes: Vec<SocketAddrV4>,
    #[serde(default)]
    pub initial_start: bool,
    pub data_directory: Option<PathBuf>,
    /// Seconds between an instance's beats.
    #[serde(default = "usual_heartbeat")]
    pub heartbeat_s: f64,
    #[serde(default)]
    pub zones: std::collections::BTreeMap<String, String>,
    #[serde(default)]
    pub listen_addresses: Listen,
    #[serde(default)]
    pub limit_set: MachineLimits,
    #[serde(default)]
    pub timer_bounds: Bounds,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct Listen {
    pub frontend: Option<SocketAddrV4>,
    pub readiness: Option<SocketAddrV4>,
    pub control: Option<SocketAddrV4>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
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

/// The rules' figures that processes act by; seconds and shares.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct Bounds {
    pub contact_s: f64,
    pub ack_s: f64,
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

fn usual_heartbeat() -> f64 {
    1.5
}

/// Seconds as whole microseconds; what is negative, too long or no number is 0.
pub fn micros(seconds: f64) -> Micros {
    if seconds.is_finite() && (0.0..1e9).contains(&seconds) { (seconds * 1e6).round() as Micros } else { 0 }
}

impl Settings {
    /// The file that the variable names.
    pub fn path() -> Result<PathBuf, SettingsError> {
        std::env::var_os(VARIABLE).map(PathBuf::from).ok_or(SettingsError::Unnamed)
    }

    /// Reads and checks a file.
    pub fn read(path: &Path) -> Result<Settings, SettingsError> {
        let at = || path.to_owned();
        let text =
            std::fs::read_to_string(path).map_err(|error| SettingsError::Unreadable { path: at(), error })?;
        let settings: Settings = toml::from_str(&text)
            .map_err(|error| SettingsError::Wrong { path: at(), error: Box::new(error) })?;
        let value = |key, found: String, expected| SettingsError::Value { path: at(), key, found, expected };
        let [low, high] = settings.internal_port_range;
        if low == 0 || high < low {
            return Err(value("InternalPortRange", format!("[{low}, {high}]"), "two ports, the lower first"));
        }
        if settings.seed_nodes.is_empty() {
            return Err(value("SeedNodes", "an empty list".to_owned(), "at least one address"));
        }
        if !(settings.heartbeat_s > 0.0 && settings.heartbeat_s < 3600.0) {
            return Err(value("HeartbeatS", settings.heartbeat_s.to_string(), "seconds above 0"));
        }
        Ok(settings)
    }

    /// This node as it tells of itself.
    pub fn member(&self, part: Part, life: Life) -> Member {
        let (zone, name) = (self.zone.clone(), self.node_name.clone());
        Member { place: self.place(), life, part, zone, name }
    }

    pub fn place(&self) -> Place {
        Place(self.ip_address)
    }

    /// The machines that may know others.
    pub fn seeds(&self) -> Vec<Place> {
        self.seed_nodes.iter().map(|seed| Place(*seed.ip())).collect()
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
