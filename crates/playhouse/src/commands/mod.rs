//! Call-sheet (command line): what an operator types. Every verb that asks the system does so over the calls
//! of api/openapi.yaml; those that read files need no system.

mod call;
mod check;
mod config;
mod ledger;
mod rehearse;
mod rollout;
pub mod show;
pub mod view;

use std::io::Write as _;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;

use clap::{CommandFactory, Parser, Subcommand};
use log::LevelFilter;
use membership::Role;
use simd_json::OwnedValue;
use simd_json::prelude::*;

use crate::settings::{Settings, SettingsError};
use crate::{control_node, demo, foyer};

const CODES: &str = "Exit codes: 0 all is well; 1 what was looked at is not (faults, differences, damage, a roll-out that was \
turned back, a process that could not go on); 2 the command line is wrong; 3 no clear answer from any machine; \
4 the system refused.";

/// garnetdoor as a fleet: foyers carry the traffic, prompters serve control.
#[derive(Debug, Parser)]
#[command(name = "playhouse", version, after_help = CODES)]
pub struct Line {
    /// What is logged at once: off, error, warn, info, debug or trace. RUST_LOG goes first.
    #[arg(long, global = true, default_value = "warn")]
    pub log: LevelFilter,
    /// What is kept in memory and written out when something goes wrong.
    #[arg(long, global = true, default_value = "info")]
    pub ring: LevelFilter,
    #[command(subcommand)]
    verb: Verb,
}

/// How a role is served.
#[derive(Debug, clap::Args)]
struct Serve {
    /// Tell metrics at this port of the machine's address, under /metrics.
    #[arg(long)]
    metrics: Option<u16>,
}

#[derive(Debug, Subcommand)]
enum Verb {
    /// Carry traffic: requests from clients to instances.
    Foyer(Serve),
    /// Serve control: calls of operators and instances, and the ordered log.
    Prompter(Serve),
    /// Check a settings file and an operator's configuration: all faults with their places, or what holds.
    Check(check::Check),
    /// Get, compare and change the configuration in force.
    #[command(subcommand)]
    Config(config::Config),
    /// Bring a new version of a service into service, by trial.
    #[command(subcommand)]
    Rollout(rollout::Rollout),
    /// List the nodes as one prompter sees them.
    Members {
        #[command(flatten)]
        at: call::At,
    },
    /// List the instances as one prompter sees them.
    Instances {
        #[command(flatten)]
        at: call::At,
        /// Only those of this service.
        #[arg(long)]
        service: Option<String>,
    },
    /// Show the whole: who leads, voters, log, configuration, roll-outs with votes, foyers, instances by
    /// state.
    Status {
        #[command(flatten)]
        at: call::At,
    },
    /// Look at the data folder of a prompter that does not run.
    #[command(subcommand)]
    Ledger(ledger::LedgerVerb),
    /// Show the whole system at work on loopback, with stand-ins of all that is around it.
    Demo(demo::Line),
    /// Play days of the whole system in simulated time: runs playhouse-rehearse, which lies beside this
    /// program.
    #[command(disable_help_flag = true)]
    Rehearse {
        /// As `playhouse rehearse --help` tells them: --seed, --days, --scenario, --plot and more.
        #[arg(trailing_var_arg = true, allow_hyphen_values = true, value_name = "ARGS")]
        args: Vec<std::ffi::OsString>,
    },
    /// Print what a shell completes this program's words by.
    Completions { shell: clap_complete::Shell },
    /// Print the manual page, or write one for each verb into a folder.
    Man {
        #[arg(long, value_name = "FOLDER")]
        to: Option<PathBuf>,
    },
}

/// Why a verb did not end well; each kind has an exit code of its own.
#[derive(Debug, thiserror::Error)]
pub enum Failed {
    /// What was looked at is not as it should be; it has been told already.
    #[error("")]
    NotWell,
    #[error("{0}")]
    Process(Box<dyn std::error::Error>),
    #[error("{path}: {error}")]
    File { path: PathBuf, error: std::io::Error },
    #[error("{0}")]
    Wrong(String),
    #[error("{0}")]
    NoAnswer(String),
    #[error("refused with {status}: {text}")]
    Refused { status: u16, text: String },
}

impl Failed {
    fn code(&self) -> u8 {
        match self {
            Failed::NotWell | Failed::Process(_) | Failed::File { .. } => 1,
            Failed::Wrong(_) => 2,
            Failed::NoAnswer(_) => 3,
            Failed::Refused { .. } => 4,
        }
    }
}

impl From<SettingsError> for Failed {
    fn from(error: SettingsError) -> Failed {
        Failed::Process(error.into())
    }
}

type Done = Result<(), Failed>;

/// Does what the line says; tells what failed on standard error.
pub fn run(line: Line) -> ExitCode {
    let done = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => tokio::task::LocalSet::new().block_on(&runtime, carry_out(line.verb)),
        Err(error) => Err(Failed::Process(error.into())),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(failed) => {
            let text = failed.to_string();
            if !text.is_empty() {
                // Nobody can be told that standard error is gone.
                let _ = writeln!(std::io::stderr().lock(), "playhouse: {text}");
            }
            ExitCode::from(failed.code())
        }
    }
}

async fn carry_out(verb: Verb) -> Done {
    let settings =
        |part| -> Result<_, SettingsError> { Ok(Rc::new(Settings::read_for(&Settings::path()?, part)?)) };
    let ended = |error: Box<dyn std::error::Error>| {
        log::error!("the process ends: {error}");
        Failed::Process(error)
    };
    match verb {
        Verb::Foyer(serve) => foyer::run(settings(Role::Gateway)?, serve.metrics).await.map_err(ended),
        Verb::Prompter(serve) => {
            control_node::run(settings(Role::ControlNode)?, serve.metrics).await.map_err(ended)
        }
        Verb::Check(check) => check.run(),
        Verb::Config(config) => config.run().await,
        Verb::Rollout(rollout) => rollout.run().await,
        Verb::Members { at } => show::members(&at).await,
        Verb::Instances { at, service } => show::instances(&at, service.as_deref()).await,
        Verb::Status { at } => show::status(&at).await,
        Verb::Ledger(verb) => verb.run(),
        Verb::Demo(line) => demo::run(line).await.map_err(Failed::Process),
        Verb::Rehearse { args } => Err(rehearse::run(&args)),
        Verb::Completions { shell } => {
            let mut bytes = Vec::new();
            clap_complete::generate(shell, &mut Line::command(), "playhouse", &mut bytes);
            print(&bytes)
        }
        Verb::Man { to: None } => {
            let mut bytes = Vec::new();
            let rendered = clap_mangen::Man::new(Line::command()).render(&mut bytes);
            rendered.map_err(|error| Failed::Process(error.into()))?;
            print(&bytes)
        }
        Verb::Man { to: Some(folder) } => {
            let at = |error| Failed::File { path: folder.clone(), error };
            std::fs::create_dir_all(&folder).map_err(at)?;
            clap_mangen::generate_to(Line::command(), &folder).map_err(at)
        }
    }
}

/// Writes to standard output; a reader that has gone is no fault.
fn print(bytes: &[u8]) -> Done {
    match std::io::stdout().lock().write_all(bytes) {
        Err(error) if error.kind() != std::io::ErrorKind::BrokenPipe => Err(Failed::Process(error.into())),
        _ => Ok(()),
    }
}

/// One value on a line of its own.
fn print_json(value: &OwnedValue) -> Done {
    print(format!("{}\n", value.encode()).as_bytes())
}

/// A file's bytes; `-` is standard input.
fn read(path: &std::path::Path) -> Result<Vec<u8>, Failed> {
    let found = if path.as_os_str() == "-" {
        let mut bytes = Vec::new();
        std::io::Read::read_to_end(&mut std::io::stdin().lock(), &mut bytes).map(|_| bytes)
    } else {
        std::fs::read(path)
    };
    found.map_err(|error| Failed::File { path: path.to_owned(), error })
}

/// A text under a key; empty where there is none.
fn text<'a>(value: &'a OwnedValue, key: &str) -> &'a str {
    value.get(key).and_then(|found| found.as_str()).unwrap_or("")
}

/// A list under a key; empty where there is none.
fn list<'a>(value: &'a OwnedValue, key: &str) -> &'a [OwnedValue] {
    value.get(key).and_then(|found| found.as_array()).map_or(&[], |found| found)
}

fn count(value: &OwnedValue, key: &str) -> u64 {
    value.get(key).and_then(|found| found.as_u64()).unwrap_or(0)
}
