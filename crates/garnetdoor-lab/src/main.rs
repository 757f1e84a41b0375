//! `garnetdoor-lab`: the proofs, and the demonstration.

use std::process::ExitCode;

use bpaf::{OptionParser, Parser, construct, long, positional};
use garnetdoor_lab::prove;

#[derive(Clone)]
enum Command {
    List,
    Prove { seed: u64, json: bool, name: String },
}

fn commands() -> OptionParser<Command> {
    let list = long("list").help("Lists the proofs").req_flag(Command::List);
    let seed = long("seed").help("Moves all that is drawn").argument::<u64>("N").fallback(1);
    let json = long("json").help("The last line of standard output is one JSON object").switch();
    let name = positional::<String>("NAME").help("The proof's name");
    let one = construct!(Command::Prove { seed, json, name });
    let prove = construct!([list, one])
        .to_options()
        .descr("Starts a proof's stand-ins and the release build's daemon, plays its hard cases and checks the rules.")
        .command("prove")
        .help("Show that a subsystem works");
    construct!([prove]).to_options().descr("Stand-ins and proofs for garnetdoor. All servers are simulated.")
}

fn main() -> ExitCode {
    match commands().run() {
        Command::List => {
            prove::ALL.iter().for_each(|(name, shows, _)| println!("{name}  {shows}"));
            ExitCode::SUCCESS
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
