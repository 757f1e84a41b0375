//! `check`: validates settings files and configurations before they are used.

use std::path::{Path, PathBuf};

use configuration::Configuration;
use membership::Role;
use simd_json::OwnedValue;
use simd_json::prelude::*;

use super::{CommandError, CommandResult, print, print_json, read};
use crate::settings::{Fault, Settings, SettingsError};

#[derive(Debug, clap::Args)]
pub struct Check {
    /// The settings file. Default: the one that GARNETDOOR_SETTINGS names, unless only --config is given.
    #[arg(long, value_name = "FILE")]
    settings: Option<PathBuf>,
    /// The role that the settings are for. Default: by the addresses under ListenAddresses.
    #[arg(long = "for", value_name = "PART", value_enum)]
    role: Option<RoleName>,
    /// A whole configuration (JSON).
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    /// Print JSON, for scripts.
    #[arg(long)]
    json: bool,
}

/// Roles by their names on the command line.
#[derive(Clone, Copy, Debug, clap::ValueEnum)]
enum RoleName {
    #[value(name = "foyer")]
    Gateway,
    #[value(name = "prompter")]
    ControlNode,
}

impl From<RoleName> for Role {
    fn from(name: RoleName) -> Role {
        match name {
            RoleName::Gateway => Role::Gateway,
            RoleName::ControlNode => Role::ControlNode,
        }
    }
}

/// The result for one file: the effective values, or the places with the problem found there.
struct FileReport {
    path: PathBuf,
    faults: Vec<(String, String)>,
    /// Number of faults that are not listed.
    more: usize,
    effective_values: String,
}

impl Check {
    pub fn run(&self) -> CommandResult {
        let mut reports = Vec::new();
        if let Some(path) = &self.settings {
            reports.push(settings(path, self.role)?);
        } else if self.config.is_none() {
            reports.push(settings(&Settings::path()?, self.role)?);
        }
        if let Some(path) = &self.config {
            reports.push(configuration(path)?);
        }
        if self.json {
            let value: Vec<OwnedValue> = reports.iter().map(FileReport::json).collect();
            print_json(&simd_json::json!({ "Files": value }))?;
        } else {
            print(reports.iter().map(FileReport::render).collect::<String>().as_bytes())?;
        }
        if reports.iter().all(|report| report.faults.is_empty()) {
            Ok(())
        } else {
            Err(CommandError::CheckFailed)
        }
    }
}

/// Checks a settings file.
fn settings(path: &Path, role: Option<RoleName>) -> Result<FileReport, CommandError> {
    let (faults, effective_values) = match Settings::read(path) {
        Ok(settings) => match role.map(Role::from).or_else(|| settings.role()) {
            Some(role) => (fault_rows(&settings.missing_for(role)), effective_values(&settings, role)),
            None => {
                let expected = "nothing; expected Control for a prompter, Frontend and Readiness for a foyer";
                (vec![("ListenAddresses".to_owned(), expected.to_owned())], String::new())
            }
        },
        Err(SettingsError::Faults { faults, .. }) => (fault_rows(&faults), String::new()),
        Err(SettingsError::InvalidToml { error, .. }) => {
            (vec![(String::new(), error.to_string().trim_end().replace('\n', "\n    "))], String::new())
        }
        // An unreadable file must not hide the faults of the other one.
        Err(SettingsError::Unreadable { error, .. }) => {
            (vec![(String::new(), error.to_string())], String::new())
        }
        Err(error) => return Err(error.into()),
    };
    Ok(FileReport { path: path.to_owned(), faults, more: 0, effective_values })
}

/// The keys of faults with what is wrong there.
fn fault_rows(faults: &[Fault]) -> Vec<(String, String)> {
    let row = |fault: &Fault| (fault.key.clone(), format!("{}; expected {}", fault.found, fault.expected));
    faults.iter().map(row).collect()
}

/// All effective values by the keys of the file, including defaults.
fn effective_values(settings: &Settings, role: Role) -> String {
    let Settings {
        listen_addresses: listen,
        limit_set: limits,
        fault_tolerance: tolerance,
        timer_bounds: bounds,
        ..
    } = settings;
    let seeds: Vec<String> = settings.seed_nodes.iter().map(|seed| seed.to_string()).collect();
    let [low, high] = settings.internal_port_range;
    let address = |address: Option<std::net::SocketAddrV4>| address.map_or("-".to_owned(), |a| a.to_string());
    let rows = [
        ("part", if role == Role::Gateway { "foyer" } else { "prompter" }.to_owned()),
        ("NodeName", settings.node_name.clone()),
        ("IpAddress", settings.ip_address.to_string()),
        ("Zone", settings.zone.clone()),
        ("Region", settings.region.clone()),
        ("InternalPortRange", format!("{low} to {high}")),
        ("SeedNodes", seeds.join(", ")),
        ("InitialStart", settings.initial_start.to_string()),
        (
            "DataDirectory",
            settings.data_directory.as_ref().map_or("-".into(), |dir| dir.display().to_string()),
        ),
        ("HeartbeatS", settings.heartbeat_s.to_string()),
        ("Zones", settings.zones.keys().cloned().collect::<Vec<_>>().join(", ")),
        ("ListenAddresses.Frontend", address(listen.frontend)),
        ("ListenAddresses.Readiness", address(listen.readiness)),
        ("ListenAddresses.Control", address(listen.control)),
        ("LimitSet.CpuShare", limits.cpu_share.to_string()),
        ("LimitSet.MemoryMb", limits.memory_mb.to_string()),
        ("LimitSet.FdLimit", limits.fd_limit.to_string()),
        ("LimitSet.LinkMbps", limits.link_mbps.to_string()),
        ("LimitSet.DiskMb", limits.disk_mb.to_string()),
        ("FaultTolerance.MachineLosses", tolerance.machine_losses.to_string()),
        ("FaultTolerance.Zones", tolerance.zones.to_string()),
        ("FaultTolerance.RegionLosses", tolerance.region_losses.to_string()),
        ("TimerBounds.ContactS", bounds.contact_s.to_string()),
        ("TimerBounds.AckS", bounds.ack_s.to_string()),
        ("TimerBounds.CatchUpS", bounds.catch_up_s.to_string()),
        ("TimerBounds.DrainS", bounds.drain_s.to_string()),
        ("TimerBounds.GraceS", bounds.grace_s.to_string()),
        ("TimerBounds.ConfigApplyS", bounds.config_apply_s.to_string()),
        ("TimerBounds.RetryBudgetRatio", bounds.retry_budget_ratio.to_string()),
        ("TimerBounds.RetryWindowS", bounds.retry_window_s.to_string()),
        ("TimerBounds.RetryBudgetSlack", bounds.retry_budget_slack.to_string()),
        ("TimerBounds.ExposureShare", bounds.exposure_share.to_string()),
        ("TimerBounds.ExposureSlack", bounds.exposure_slack.to_string()),
        ("TimerBounds.RollbackS", bounds.rollback_s.to_string()),
    ];
    rows.iter().map(|(key, value)| format!("  {key} = {value}\n")).collect()
}

/// Checks a configuration file.
fn configuration(path: &Path) -> Result<FileReport, CommandError> {
    let report =
        |faults, more, effective_values| FileReport { path: path.to_owned(), faults, more, effective_values };
    let bytes = match read(path) {
        Ok(bytes) => bytes,
        Err(CommandError::File { error, .. }) => {
            return Ok(report(vec![(String::new(), error.to_string())], 0, String::new()));
        }
        Err(error) => return Err(error),
    };
    Ok(match Configuration::parse(&bytes) {
        Ok(configuration) => {
            let effective_values = format!(
                "  version {}\n  {} routes\n  {} services\n",
                configuration.version,
                configuration.routes.len(),
                configuration.services.len()
            );
            report(Vec::new(), 0, effective_values)
        }
        Err(faults) => {
            let list = faults.list.into_iter().map(|fault| (fault.place, fault.expected));
            report(list.collect(), faults.omitted, String::new())
        }
    })
}

impl FileReport {
    fn render(&self) -> String {
        let path = self.path.display();
        if self.faults.is_empty() {
            return format!("{path}: well\n{}", self.effective_values);
        }
        let line = |(place, problem): &(String, String)| {
            let separator = if place.is_empty() { "" } else { ": " };
            format!("  {place}{separator}{problem}\n")
        };
        let faults: String = self.faults.iter().map(line).collect();
        let more = if self.more > 0 { format!("  and {} more\n", self.more) } else { String::new() };
        let number = self.faults.len() + self.more;
        let plural = if number == 1 { "" } else { "s" };
        format!("{path}: {number} fault{plural}\n{faults}{more}")
    }

    fn json(&self) -> OwnedValue {
        let faults = self.faults.iter();
        let faults: Vec<OwnedValue> = faults
            .map(|(place, problem)| simd_json::json!({ "Place": place.clone(), "Wrong": problem.clone() }))
            .collect();
        let effective_values = self.effective_values.lines().filter_map(|line| line.trim().split_once(" = "));
        let effective_values: simd_json::owned::Object =
            effective_values.map(|(key, value)| (key.to_owned(), OwnedValue::from(value))).collect();
        simd_json::json!({
            "File": self.path.display().to_string(), "Faults": faults, "More": self.more,
            "Holds": OwnedValue::from(effective_values),
        })
    }
}
