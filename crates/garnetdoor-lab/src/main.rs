//! `garnetdoor-lab`: the proofs, and the demonstration.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use bpaf::{OptionParser, Parser, construct, long, positional};
use garnetdoor_lab::attempt::{self, Size};
use garnetdoor_lab::{days, demo, prove};

#[derive(Clone)]
enum Command {
    List,
    Days { point: u8, seed: u64, days: u64, site: PathBuf, out: PathBuf },
    Prove { seed: u64, json: bool, name: String },
    Demo { seed: u64 },
    Try { size: Size, out: PathBuf, name: String },
}

fn commands() -> OptionParser<Command> {
    let list = long("list").help("Lists the proofs").req_flag(Command::List);
    let seed = || long("seed").help("Moves all that is drawn").argument::<u64>("N").fallback(1);
    let demo = construct!(Command::Demo { seed(seed()) })
        .to_options()
        .descr("Runs a small fleet of stand-ins, the daemon, tickets and sessions for half a minute.")
        .command("demo")
        .help("See a good build released and a bad one voted back");
    let gateways =
        long("gateways").help("Gateways in the emulator").argument("N").fallback(20).display_fallback();
    let guests = long("guests").help("Guests of each gateway").argument("N").fallback(500).display_fallback();
    let boxes = long("boxes").help("Boxes of the fleet").argument("N").fallback(18).display_fallback();
    let seeds = long("seeds").help("Seeds from 1 on").argument("N").fallback(20).display_fallback();
    let size = construct!(Size { gateways, guests, boxes, seeds });
    let out = long("out").help("The folder for the table and the plot").argument::<PathBuf>("DIR");
    let name = positional::<String>("NAME").help("The experiment's name: websocket");
    let attempt = construct!(Command::Try { size, out, name })
        .to_options()
        .descr("Runs a design against its baselines in the emulator, over sizes and seeds.")
        .command("try")
        .help("Compare designs in the emulator");
    let point =
        long("point").help("The point of control that the days bring about: 1 to 5").argument::<u8>("N");
    let count = long("days").help("Days to draw").argument("N").fallback(25).display_fallback();
    let site = long("site").help("The operators' file of the site").argument::<PathBuf>("FILE");
    let out = long("out").help("The folder for the days").argument::<PathBuf>("DIR");
    let days = construct!(Command::Days { point, seed(seed()), days(count), site, out })
        .to_options()
        .descr("Draws days of our own for the operators' bench, a TOML file each.")
        .command("days")
        .help("Draw days that bring about one of control's points");
    let seed = seed();
    let json = long("json").help("The last line of standard output is one JSON object").switch();
    let name = positional::<String>("NAME").help("The proof's name");
    let one = construct!(Command::Prove { seed, json, name });
    let prove = construct!([list, one])
        .to_options()
        .descr("Starts a proof's stand-ins and the release build's daemon, plays its hard cases and checks the rules.")
        .command("prove")
        .help("Show that a subsystem works");
    construct!([demo, prove, attempt, days])
        .to_options()
        .descr("Stand-ins and proofs for garnetdoor. All servers are simulated.")
}

fn ended(what: &str, result: std::io::Result<bool>) -> ExitCode {
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("garnetdoor-lab: {what}: {error}");
            ExitCode::FAILURE
        }
    }
}

fn write_days(point: u8, seed: u64, count: u64, site: &Path, out: &Path) -> Result<(), String> {
    let at = |path: &Path, error: std::io::Error| format!("{}: {error}", path.display());
    let text = std::fs::read_to_string(site).map_err(|error| at(site, error))?;
    let days =
        days::draw(&text, point, seed, count).map_err(|error| format!("{}: {error}", site.display()))?;
    std::fs::create_dir_all(out).map_err(|error| at(out, error))?;
    for (name, day) in days {
        let path = out.join(name).with_extension("toml");
        std::fs::write(&path, day).map_err(|error| at(&path, error))?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match commands().run() {
        Command::List => {
            prove::ALL.iter().for_each(|(name, shows, _)| println!("{name}  {shows}"));
            ExitCode::SUCCESS
        }
        Command::Days { point, seed, days, site, out } => match write_days(point, seed, days, &site, &out) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("garnetdoor-lab: days: {error}");
                ExitCode::FAILURE
            }
        },
        Command::Demo { seed } => ended("demo", demo::run(seed, &mut std::io::stdout())),
        Command::Try { size, out, name } if name == "websocket" => {
            ended("try", attempt::websocket(size, &out).map(|table| println!("{table}")).map(|()| true))
        }
        Command::Try { name, .. } => {
            eprintln!("garnetdoor-lab: no experiment {name}; there is websocket");
            ExitCode::FAILURE
        }
        Command::Prove { seed, json, name } => {
            let Some((.., run)) = prove::ALL.iter().find(|(known, ..)| *known == name) else {
                eprintln!("garnetdoor-lab: no proof {name}; prove --list names them");
                return ExitCode::FAILURE;
            };
            match run(seed) {
                Ok(proof) => {
                    if json {
                        println!("{}", proof.json())
                    } else {
                        print!("{}", proof.table())
                    }
                    if proof.ok() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
                }
                Err(error) => {
                    eprintln!("garnetdoor-lab: {name}: {error}");
                    ExitCode::FAILURE
                }
            }
        }
    }
}
