//! The command line of the `garnetdoor` program.

use std::process::ExitCode;

use bpaf::{OptionParser, Parser, construct, long, positional, pure};
use garnetdoor_gateway::config::{self, Config};
use garnetdoor_gateway::lifecycle::serve::serve;
use garnetdoor_gateway::operator;

#[derive(Clone)]
enum Command {
    /// The path of the operator file.
    Serve(Option<String>),
    /// The paths of the operator file and of the configuration file.
    Check(Option<String>, Option<String>),
    Schema,
    Version,
}

fn commands() -> OptionParser<Command> {
    let operator = || {
        let help = "The operator file; defaults to the path in GARNETDOOR_OPERATOR, and without either its features are off";
        long("operator").help(help).argument::<String>("FILE").optional()
    };
    let serve = operator()
        .map(Command::Serve)
        .to_options()
        .descr("Serves until SIGTERM, configured by the file that EDGE_CONFIG names and the other EDGE_ variables; SIGHUP rereads the configuration and the operator file.")
        .command("serve")
        .help("Serve requests until told to stop");
    let file =
        positional::<String>("FILE").help("The configuration file; defaults to the path in EDGE_CONFIG");
    let (operator, file) = (operator(), file.optional());
    let check = construct!(Command::Check(operator, file))
        .to_options()
        .descr("Checks a configuration file, an operator file or both, and prints the resulting settings.")
        .command("check")
        .help("Check a configuration file and an operator file");
    let schema = pure(Command::Schema)
        .to_options()
        .descr("Prints the JSON schema of the operator file.")
        .command("schema")
        .help("Print the operator file's schema");
    let version = pure(Command::Version)
        .to_options()
        .descr("Prints the version.")
        .command("version")
        .help("Print the version");
    construct!([serve, check, schema, version])
        .to_options()
        .descr("A gateway that votes on staged releases and routes requests.")
}

fn main() -> ExitCode {
    match commands().run() {
        Command::Version => println!("garnetdoor {}", env!("CARGO_PKG_VERSION")),
        Command::Check(operator, file) => return check(operator, file),
        Command::Schema => println!("{:#}", garnetdoor_operator::schema()),
        Command::Serve(operator) => return report_faults(&serve(operator)),
    }
    ExitCode::SUCCESS
}

/// Checks the given files and prints their settings, or all faults. An operator file without a configuration
/// file is checked without the configuration's profile names.
fn check(operator: Option<String>, config: Option<String>) -> ExitCode {
    let operator_only = operator.is_some() && config.is_none() && std::env::var_os("EDGE_CONFIG").is_none();
    let config = if operator_only { Ok(None) } else { config::read(config).map(Some) };
    let settings = config.as_ref().ok().and_then(|config| config.as_ref().map(|config| &config.settings));
    let operator = operator::read(operator.as_deref(), settings);
    let mut faults = config.as_ref().err().cloned().unwrap_or_default();
    faults.extend(operator.as_ref().err().cloned().unwrap_or_default());
    if !faults.is_empty() {
        return report_faults(&faults);
    }
    config.iter().flatten().for_each(print_config);
    if let Ok(operator) = operator {
        println!("operator = {}", serde_json::to_string(&operator).unwrap_or_default());
    }
    ExitCode::SUCCESS
}

fn print_config(config: &Config) {
    println!("name = {}", config.name);
    println!("listen = {}", config.listen);
    println!("discovery = {}", config.discovery);
    println!("rollouts.address = {}", config.platform);
    println!("limits.sockets = {}", config.max_descriptors);
    println!("limits.memory_mb = {}", config.memory_mb);
    println!("peers = {}", config.peers.len());
    for (name, value) in config.settings.pairs() {
        println!("settings.{name} = {value}");
    }
    config.overrides.iter().for_each(|line| println!("# {line}"));
}

/// Prints faults to standard error, for an exit with failure.
fn report_faults(faults: &[String]) -> ExitCode {
    faults.iter().for_each(|fault| eprintln!("garnetdoor: {fault}"));
    ExitCode::FAILURE
}
