//! `check`: settings and configurations before they are used.

use std::path::{Path, PathBuf};

use configuration::Configuration;
use membership::Role;
use simd_json::OwnedValue;
use simd_json::prelude::*;

use super::{CommandError, CommandResult, print, print_json, read};
use crate::settings::{Fault, Settings, SettingsError};

#[derive(Debug, clap::Args)]
pub struct Check {
    /// The settings file; without it the one that GARNETDOOR_SETTINGS names, unless only --config is given.
    #[arg(long, value_name = "FILE")]
    settings: Option<PathBuf>,
    /// The part that the settings are for; without it, as the addresses under ListenAddresses tell.
    #[arg(long = "for", value_name = "PART", value_enum)]
    part: Option<RoleName>,
    /// An operator's whole configuration (JSON).
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    /// Print JSON, for scripts.
    #[arg(long)]
    json: bool,
}

#[derive(Clone, Copy, Debug, clap::ValueEnum)]
enum RoleName {
    #[value(name = "foyer")]
    Gateway,
    #[value(name = "prompter")]
    ControlNode,
}

impl From<RoleName> for Role {
    fn from(named: RoleName) -> Role {
        match named {
            RoleName::Gateway => Role::Gateway,
            RoleName::ControlNode => Role::ControlNode,
        }
    }
}

/// What was found in one file: what holds, or places with what is wrong there.
struct Looked {
    path: PathBuf,
    faults: Vec<(String, String)>,
    /// Faults beyond those listed.
    more: usize,
    holds: String,
}

impl Check {
    pub fn run(&self) -> CommandResult {
        let mut all = Vec::new();
        if let Some(path) = &self.settings {
            all.push(settings(path, self.part)?);
        } else if self.config.is_none() {
            all.push(settings(&Settings::path()?, self.part)?);
        }
        if let Some(path) = &self.config {
            all.push(configuration(path)?);
        }
        if self.json {
            let value: Vec<OwnedValue> = all.iter().map(Looked::json).collect();
            print_json(&simd_json::json!({ "Files": value }))?;
        } else {
            print(all.iter().map(Looked::words).collect::<String>().as_bytes())?;
        }
        if all.iter().all(|looked| looked.faults.is_empty()) {
            Ok(())
        } else {
            Err(CommandError::CheckFailed)
        }
    }
}

fn settings(path: &Path, part: Option<RoleName>) -> Result<Looked, CommandError> {
    let (faults, holds) = match Settings::read(path) {
        Ok(settings) => match part.map(Role::from).or_else(|| settings.role()) {
            Some(part) => (told(&settings.missing_for(part)), holds(&settings, part)),
            None => {
                let expected = "nothing; expected Control for a prompter, Frontend and Readiness for a foyer";
                (vec![("ListenAddresses".to_owned(), expected.to_owned())], String::new())
            }
        },
        Err(SettingsError::Faults { faults, .. }) => (told(&faults), String::new()),
        Err(SettingsError::InvalidToml { error, .. }) => {
            (vec![(String::new(), error.to_string().trim_end().replace('\n', "\n    "))], String::new())
        }
        // One file that can't be read must not hide what is wrong with the other.
        Err(SettingsError::Unreadable { error, .. }) => {
            (vec![(String::new(), error.to_string())], String::new())
        }
        Err(error) => return Err(error.into()),
    };
    Ok(Looked { path: path.to_owned(), faults, more: 0, holds })
}

fn told(faults: &[Fault]) -> Vec<(String, String)> {
    let told = |fault: &Fault| (fault.key.clone(), format!("{}; expected {}", fault.found, fault.expected));
    faults.iter().map(told).collect()
}

/// All that holds, by the file's own keys, also where the file says nothing.
fn holds(settings: &Settings, part: Role) -> String {
    let Settings {
        listen_addresses: listen,
        limit_set: limits,
        fault_tolerance: losses,
        timer_bounds: bounds,
        ..
    } = settings;
    let seeds: Vec<String> = settings.seed_nodes.iter().map(|seed| seed.to_string()).collect();
    let [low, high] = settings.internal_port_range;
    let address = |address: Option<std::net::SocketAddrV4>| address.map_or("-".to_owned(), |a| a.to_string());
    let rows = [
        ("part", if part == Role::Gateway { "foyer" } else { "prompter" }.to_owned()),
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
        ("FaultTolerance.MachineLosses", losses.machine_losses.to_string()),
        ("FaultTolerance.Zones", losses.zones.to_string()),
        ("FaultTolerance.RegionLosses", losses.region_losses.to_string()),
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

fn configuration(path: &Path) -> Result<Looked, CommandError> {
    let looked = |faults, more, holds| Looked { path: path.to_owned(), faults, more, holds };
    let bytes = match read(path) {
        Ok(bytes) => bytes,
        Err(CommandError::File { error, .. }) => {
            return Ok(looked(vec![(String::new(), error.to_string())], 0, String::new()));
        }
        Err(failed) => return Err(failed),
    };
    Ok(match Configuration::parse(&bytes) {
        Ok(bill) => {
            let holds = format!(
                "  version {}\n  {} routes\n  {} services\n",
                bill.version,
                bill.routes.len(),
                bill.services.len()
            );
            looked(Vec::new(), 0, holds)
        }
        Err(faults) => {
            let list = faults.list.into_iter().map(|fault| (fault.place, fault.expected));
            looked(list.collect(), faults.omitted, String::new())
        }
    })
}

impl Looked {
    fn words(&self) -> String {
        let path = self.path.display();
        if self.faults.is_empty() {
            return format!("{path}: well\n{}", self.holds);
        }
        let line = |(place, wrong): &(String, String)| {
            let between = if place.is_empty() { "" } else { ": " };
            format!("  {place}{between}{wrong}\n")
        };
        let faults: String = self.faults.iter().map(line).collect();
        let more = if self.more > 0 { format!("  and {} more\n", self.more) } else { String::new() };
        let number = self.faults.len() + self.more;
        let many = if number == 1 { "" } else { "s" };
        format!("{path}: {number} fault{many}\n{faults}{more}")
    }

    fn json(&self) -> OwnedValue {
        let faults = self.faults.iter();
        let faults: Vec<OwnedValue> = faults
            .map(|(place, wrong)| simd_json::json!({ "Place": place.clone(), "Wrong": wrong.clone() }))
            .collect();
        let holds = self.holds.lines().filter_map(|line| line.trim().split_once(" = "));
        let holds: simd_json::owned::Object =
            holds.map(|(key, value)| (key.to_owned(), OwnedValue::from(value))).collect();
        simd_json::json!({
            "File": self.path.display().to_string(), "Faults": faults, "More": self.more,
            "Holds": OwnedValue::from(holds),
        })
    }
}
