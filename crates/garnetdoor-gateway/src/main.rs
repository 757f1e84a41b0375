//! `garnetdoor`: the gateway's command line.

use std::process::ExitCode;

use bpaf::{OptionParser, Parser, construct, positional, pure};
use garnetdoor_gateway::config::{self, Config};
use garnetdoor_gateway::lifecycle::serve::serve;

#[derive(Clone)]
enum Command {
    Serve,
    Check(Option<String>),
    Version,
}

fn commands() -> OptionParser<Command> {
    let serve = pure(Command::Serve)
        .to_options()
        .descr("Serves until SIGTERM, by the file that EDGE_CONFIG names and other EDGE_ variables; SIGHUP rereads it.")
        .command("serve")
        .help("Serve tickets until told to stop");
    let file =
        positional::<String>("FILE").help("The configuration file; EDGE_CONFIG names it if this is absent");
    let check = file
        .optional()
        .map(Command::Check)
        .to_options()
        .descr("Reads and checks a configuration file and prints the settings that hold.")
        .command("check")
        .help("Check a configuration file");
    let version = pure(Command::Version)
        .to_options()
        .descr("Prints the version.")
        .command("version")
        .help("Print the version");
    construct!([serve, check, version])
        .to_options()
        .descr("A gateway that votes on staged releases and routes tickets.")
}

fn main() -> ExitCode {
    match commands().run() {
        Command::Version => println!("garnetdoor {}", env!("CARGO_PKG_VERSION")),
        Command::Check(file) => match config::read(file) {
            Ok(config) => print(&config),
            Err(faults) => return fail(&faults),
        },
        Command::Serve => return fail(&serve()),
    }
    ExitCode::SUCCESS
}

fn print(config: &Config) {
    println!("name = {}", config.name);
    println!("listen = {}", config.listen);
    println!("discovery = {}", config.discovery);
    println!("rollouts.address = {}", config.platform);
    println!("limits.sockets = {}", config.sockets);
    println!("limits.memory_mb = {}", config.memory_mb);
    println!("peers = {}", config.peers.len());
    for (name, value) in config.settings.pairs() {
        println!("settings.{name} = {value}");
    }
    config.overruled.iter().for_each(|line| println!("# {line}"));
}

fn fail(faults: &[String]) -> ExitCode {
    faults.iter().for_each(|fault| eprintln!("garnetdoor: {fault}"));
    ExitCode::FAILURE
}
