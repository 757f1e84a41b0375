//! Playhouse (the system's program): foyers carry the traffic, prompters serve control.

use std::process::ExitCode;
use std::rc::Rc;

use clap::{Parser, Subcommand};
use playhouse::settings::Settings;
use playhouse::{demo, foyer, prompter};

/// garnetdoor as a fleet: foyers carry the traffic, prompters serve control.
#[derive(Parser)]
#[command(version)]
struct Line {
    /// What is logged: error, warn, info or debug.
    #[arg(long, global = true, default_value = "warn")]
    log: log::LevelFilter,
    #[command(subcommand)]
    verb: Verb,
}

#[derive(Subcommand)]
enum Verb {
    /// Carry traffic: requests from clients to instances.
    Foyer,
    /// Serve control: calls of operators and instances, and the ordered log.
    Prompter,
    /// Read the settings file and print what holds, or each fault.
    Check,
    /// Show the whole system at work on loopback, with stand-ins of all that is around it.
    Demo(demo::Line),
}

fn main() -> ExitCode {
    let line = Line::parse();
    env_logger::Builder::new().filter_level(line.log).parse_default_env().init();
    match run(line.verb) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("{error}");
            eprintln!("playhouse: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(verb: Verb) -> Result<(), Box<dyn std::error::Error>> {
    let settings = || Settings::read(&Settings::path()?).map(Rc::new);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let local = tokio::task::LocalSet::new();
    match verb {
        Verb::Foyer => local.block_on(&runtime, foyer::run(settings()?)),
        Verb::Prompter => local.block_on(&runtime, prompter::run(settings()?)),
        Verb::Check => {
            println!("{:#?}", settings()?);
            Ok(())
        }
        Verb::Demo(line) => local.block_on(&runtime, demo::run(line)),
    }
}
