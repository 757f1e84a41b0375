//! `rollout`: new versions of services, ordered and watched.

use std::io::{IsTerminal, Write as _};
use std::time::Duration;

use hyper::{Method, StatusCode};

use super::call::{Target, good, seconds};
use super::{CommandError, CommandResult, print, print_json, text};
use crate::demo::client::HttpRequest;
use crate::demo::operator::parse_json;

/// From one look at a roll-out to the next.
const LOOK_EVERY: Duration = Duration::from_millis(500);

#[derive(Debug, clap::Subcommand)]
pub enum Rollout {
    /// Order a version of a service. Start its instances first; the old ones go only once it is completed.
    Start {
        #[command(flatten)]
        at: Target,
        service: String,
        version: String,
        /// Seconds that the trial may take.
        #[arg(long, value_name = "S", value_parser = seconds)]
        period: Duration,
        /// Wait for its end, as `watch` does.
        #[arg(long)]
        watch: bool,
    },
    /// Print each state of a service's last roll-out until it ends: exit code 0 when it is completed, 1 when
    /// it is reverted.
    Watch {
        #[command(flatten)]
        at: Target,
        service: String,
    },
}

impl Rollout {
    pub async fn run(&self) -> CommandResult {
        match self {
            Rollout::Start { at, service, version, period, watch: then } => {
                let body = simd_json::json!({
                    "TargetService": service.clone(), "TargetVersion": version.clone(),
                    "RolloutPeriodS": period.as_secs_f64(),
                });
                let ask = HttpRequest::new(Method::POST, "/api/Rollouts.Initiate");
                good(at.send(&ask.json(simd_json::prelude::Writable::encode(&body))).await?)?;
                if *then {
                    return watch(at, service).await;
                }
                if at.json {
                    print_json(&body)
                } else {
                    print(format!("{service} {version} is ordered\n").as_bytes())
                }
            }
            Rollout::Watch { at, service } => watch(at, service).await,
        }
    }
}

async fn watch(at: &Target, service: &str) -> CommandResult {
    // Names may hold what a path may not.
    let path: String = service.bytes().map(in_path).collect();
    let ask = HttpRequest::new(Method::GET, &format!("/api/Rollouts.Retrieve/{path}"));
    let mut last = String::new();
    let began = std::time::Instant::now();
    // Only for somebody who looks on; a script gets the states alone.
    let looked_at = std::io::stderr().is_terminal();
    loop {
        let answer = at.send(&ask).await?;
        if answer.status == StatusCode::NOT_FOUND {
            return Err(CommandError::Refused { status: 404, text: format!("no roll-out of {service}") });
        }
        let value = parse_json(&good(answer)?.body);
        let value = value.ok_or_else(|| CommandError::NoAnswer("the answer is no JSON".to_owned()))?;
        let (state, version) = (text(&value, "State").to_owned(), text(&value, "TargetVersion"));
        if looked_at {
            let waited = began.elapsed().as_secs();
            let mut to = std::io::stderr().lock();
            // Nobody can be told that standard error is gone.
            let _ = match state.as_str() {
                "completed" | "reverted" => write!(to, "\r\x1b[K"),
                _ => write!(to, "\r\x1b[K{service} {version}: {state}, watched for {waited} s"),
            };
            let _ = to.flush();
        }
        if state != last {
            if looked_at {
                let _ = write!(std::io::stderr().lock(), "\r\x1b[K");
            }
            if at.json {
                print_json(&value)?;
            } else {
                print(format!("{service} {version}: {state}\n").as_bytes())?;
            }
            last = state;
        }
        match last.as_str() {
            "completed" => return Ok(()),
            "reverted" => return Err(CommandError::CheckFailed),
            _ => tokio::time::sleep(LOOK_EVERY).await,
        }
    }
}

fn in_path(byte: u8) -> String {
    match byte {
        b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'.' | b'_' | b'~' => char::from(byte).to_string(),
        _ => format!("%{byte:02X}"),
    }
}
