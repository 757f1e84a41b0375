//! Playhouse (the system's program): foyers carry the traffic, prompters serve control.

use std::process::ExitCode;
use std::rc::Rc;

use clap::{Parser, Subcommand};
use playhouse::settings::Settings;
use playhouse::{foyer, prompter};

/// garnetdoor as a fleet: foyers carry the traffic, prompters serve control.
#[derive(Parser)]
#[command(version)]
struct Line {
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
    Demo(playhouse::demo::Line),
}

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    let line = Line::parse();
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
    if let Verb::Demo(line) = verb {
        return playhouse::demo::run(line);
    }
    let settings = Rc::new(Settings::read(&Settings::path()?)?);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let local = tokio::task::LocalSet::new();
    match verb {
        Verb::Foyer => local.block_on(&runtime, foyer::run(settings)),
        Verb::Prompter => local.block_on(&runtime, prompter::run(settings)),
        Verb::Check | Verb::Demo(_) => {
            println!("{settings:#?}");
            Ok(())
        }
    }
}
