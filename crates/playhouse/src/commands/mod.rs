//! The command line. Commands that query or change a running system use the HTTP API of api/openapi.yaml; commands that
//! read files need no running system.

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
use crate::{build_info, control_node, demo, gateway};

const EXIT_CODES: &str = "Exit codes: 0 success; 1 a check found a problem (faults, differences, damage, a roll-out that was \
reverted) or a process failed; 2 the command line is wrong; 3 no clear answer from any machine; \
4 the system refused.";

/// Distributed API gateway: gateways (`foyer`) carry traffic, control nodes (`prompter`) serve the control API.
#[derive(Debug, Parser)]
#[command(
    name = "playhouse",
    version = build_info::VERSION,
    long_version = build_info::LONG_VERSION,
    after_help = EXIT_CODES
)]
pub struct CommandLine {
    /// Level of the lines that are logged at once: off, error, warn, info, debug or trace. RUST_LOG overrides it.
    #[arg(long, global = true, default_value = "warn")]
    pub log: LevelFilter,
    /// Level of the lines that are kept in memory and written out when a failure occurs.
    #[arg(long, global = true, default_value = "info")]
    pub ring: LevelFilter,
    #[command(subcommand)]
    command: Command,
}

/// Options of a long-running process.
#[derive(Debug, clap::Args)]
struct Serve {
    /// Serve metrics at this port of the machine's address, under /metrics.
    #[arg(long)]
    metrics: Option<u16>,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run a gateway, which forwards requests of clients to instances.
    #[command(name = "foyer")]
    Gateway(Serve),
    /// Run a control node, which serves the API for operators and instances and keeps the replicated log.
    #[command(name = "prompter")]
    ControlNode(Serve),
    /// Check a settings file and a configuration: list all faults with their places, or the values in force.
    Check(check::Check),
    /// Print, compare and change the configuration in force.
    #[command(subcommand)]
    Config(config::Config),
    /// Roll out a new version of a service, with a trial.
    #[command(subcommand)]
    Rollout(rollout::Rollout),
    /// List the nodes as one control node sees them.
    Members {
        #[command(flatten)]
        target: call::Target,
    },
    /// List the instances as one control node sees them.
    Instances {
        #[command(flatten)]
        target: call::Target,
        /// Only the instances of this service.
        #[arg(long)]
        service: Option<String>,
    },
    /// Show the state of the system: leader, voters, log, configuration, roll-outs with their votes, gateways, instances
    /// by state.
    Status {
        #[command(flatten)]
        target: call::Target,
    },
    /// Work on the data directory of a control node that is not running.
    #[command(subcommand, name = "ledger")]
    Storage(ledger::StorageCommand),
    /// Demonstrate the whole system on loopback, with simulated clients, instances and operator.
    Demo(demo::DemoArgs),
    /// Simulate the whole system in virtual time: runs playhouse-rehearse from this program's directory.
    #[command(name = "rehearse", disable_help_flag = true)]
    Simulate {
        /// Arguments of the simulation, listed by `playhouse rehearse --help`: --seed, --days, --scenario, --plot and more.
        #[arg(trailing_var_arg = true, allow_hyphen_values = true, value_name = "ARGS")]
        args: Vec<std::ffi::OsString>,
    },
    /// Print a completion script for a shell.
    Completions { shell: clap_complete::Shell },
    /// Print the manual page, or write one page per command into a directory.
    Man {
        #[arg(long, value_name = "FOLDER")]
        to: Option<PathBuf>,
    },
}

/// Why a command failed; the variants map to exit codes.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// A check found a problem, which has already been printed.
    #[error("")]
    CheckFailed,
    #[error("{0}")]
    Process(Box<dyn std::error::Error>),
    #[error("{path}: {error}")]
    File { path: PathBuf, error: std::io::Error },
    #[error("{0}")]
    Usage(String),
    #[error("{0}")]
    NoAnswer(String),
    #[error("refused with {status}: {text}")]
    Refused { status: u16, text: String },
}

impl CommandError {
    fn code(&self) -> u8 {
        match self {
            CommandError::CheckFailed | CommandError::Process(_) | CommandError::File { .. } => 1,
            CommandError::Usage(_) => 2,
            CommandError::NoAnswer(_) => 3,
            CommandError::Refused { .. } => 4,
        }
    }
}

impl From<SettingsError> for CommandError {
    fn from(error: SettingsError) -> CommandError {
        CommandError::Process(error.into())
    }
}

/// Outcome of a command; its output has been printed.
type CommandResult = Result<(), CommandError>;

/// Runs the command and writes a failure to standard error.
pub fn run(command_line: CommandLine) -> ExitCode {
    let result = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => tokio::task::LocalSet::new().block_on(&runtime, execute(command_line.command)),
        Err(error) => Err(CommandError::Process(error.into())),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            let text = error.to_string();
            if !text.is_empty() {
                // A failure to write to standard error can't be reported anywhere.
                let _ = writeln!(std::io::stderr().lock(), "playhouse: {text}");
            }
            ExitCode::from(error.code())
        }
    }
}

async fn execute(command: Command) -> CommandResult {
    let read_settings =
        |role| -> Result<_, SettingsError> { Ok(Rc::new(Settings::read_for(&Settings::path()?, role)?)) };
    let terminated = |error: Box<dyn std::error::Error>| {
        log::error!("the process ends: {error}");
        CommandError::Process(error)
    };
    match command {
        Command::Gateway(serve) => {
            build_info::log_start("foyer");
            gateway::run(read_settings(Role::Gateway)?, serve.metrics).await.map_err(terminated)
        }
        Command::ControlNode(serve) => {
            build_info::log_start("prompter");
            control_node::run(read_settings(Role::ControlNode)?, serve.metrics).await.map_err(terminated)
        }
        Command::Check(check) => check.run(),
        Command::Config(config) => config.run().await,
        Command::Rollout(rollout) => rollout.run().await,
        Command::Members { target } => show::members(&target).await,
        Command::Instances { target, service } => show::instances(&target, service.as_deref()).await,
        Command::Status { target } => show::status(&target).await,
        Command::Storage(command) => command.run(),
        Command::Demo(args) => demo::run(args).await.map_err(CommandError::Process),
        Command::Simulate { args } => Err(rehearse::run(&args)),
        Command::Completions { shell } => {
            let mut bytes = Vec::new();
            clap_complete::generate(shell, &mut CommandLine::command(), "playhouse", &mut bytes);
            print(&bytes)
        }
        Command::Man { to: None } => {
            let mut bytes = Vec::new();
            let rendered = clap_mangen::Man::new(CommandLine::command()).render(&mut bytes);
            rendered.map_err(|error| CommandError::Process(error.into()))?;
            print(&bytes)
        }
        Command::Man { to: Some(folder) } => {
            let file_error = |error| CommandError::File { path: folder.clone(), error };
            std::fs::create_dir_all(&folder).map_err(file_error)?;
            clap_mangen::generate_to(CommandLine::command(), &folder).map_err(file_error)
        }
    }
}

/// Writes to standard output. A closed pipe is not an error.
fn print(bytes: &[u8]) -> CommandResult {
    match std::io::stdout().lock().write_all(bytes) {
        Err(error) if error.kind() != std::io::ErrorKind::BrokenPipe => {
            Err(CommandError::Process(error.into()))
        }
        _ => Ok(()),
    }
}

/// Prints a JSON value on one line.
fn print_json(value: &OwnedValue) -> CommandResult {
    print(format!("{}\n", value.encode()).as_bytes())
}

/// Reads a file; `-` is standard input.
fn read(path: &std::path::Path) -> Result<Vec<u8>, CommandError> {
    let result = if path.as_os_str() == "-" {
        let mut bytes = Vec::new();
        std::io::Read::read_to_end(&mut std::io::stdin().lock(), &mut bytes).map(|_| bytes)
    } else {
        std::fs::read(path)
    };
    result.map_err(|error| CommandError::File { path: path.to_owned(), error })
}

/// The string under a key, or an empty one.
fn text<'a>(value: &'a OwnedValue, key: &str) -> &'a str {
    value.get(key).and_then(|found| found.as_str()).unwrap_or("")
}

/// The array under a key, or an empty one.
fn list<'a>(value: &'a OwnedValue, key: &str) -> &'a [OwnedValue] {
    value.get(key).and_then(|found| found.as_array()).map_or(&[], |found| found)
}

/// The unsigned integer under a key, or 0.
fn count(value: &OwnedValue, key: &str) -> u64 {
    value.get(key).and_then(|found| found.as_u64()).unwrap_or(0)
}
