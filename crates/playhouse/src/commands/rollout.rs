//! `rollout`: starts and watches roll-outs of new versions of services.

use std::io::{IsTerminal, Write as _};
use std::time::Duration;

use hyper::{Method, StatusCode};

use super::call::{Target, require_ok, seconds};
use super::{CommandError, CommandResult, print, print_json, text};
use crate::demo::client::HttpRequest;
use crate::demo::operator::parse_json;

/// Interval between two polls of a roll-out's state.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

#[derive(Debug, clap::Subcommand)]
pub enum Rollout {
    /// Start the roll-out of a version. Start its instances first; stop the old ones only once it is completed.
    Start {
        #[command(flatten)]
        target: Target,
        service: String,
        version: String,
        /// Longest duration of the trial in seconds.
        #[arg(long, value_name = "S", value_parser = seconds)]
        period: Duration,
        /// Wait for the end, like `watch`.
        #[arg(long)]
        watch: bool,
    },
    /// Print each state of a service's latest roll-out until it ends. Exit code 0: completed; 1: reverted.
    Watch {
        #[command(flatten)]
        target: Target,
        service: String,
    },
}

impl Rollout {
    pub async fn run(&self) -> CommandResult {
        match self {
            Rollout::Start { target, service, version, period, watch: watch_after } => {
                let body = simd_json::json!({
                    "TargetService": service.clone(), "TargetVersion": version.clone(),
                    "RolloutPeriodS": period.as_secs_f64(),
                });
                let request = HttpRequest::new(Method::POST, "/api/Rollouts.Initiate");
                require_ok(target.send(&request.json(simd_json::prelude::Writable::encode(&body))).await?)?;
                if *watch_after {
                    return watch(target, service).await;
                }
                if target.json {
                    print_json(&body)
                } else {
                    print(format!("{service} {version} is ordered\n").as_bytes())
                }
            }
            Rollout::Watch { target, service } => watch(target, service).await,
        }
    }
}

/// Polls a roll-out and prints each change of its state until it ends.
async fn watch(target: &Target, service: &str) -> CommandResult {
    // A service name may contain characters that are not allowed in a path.
    let path: String = service.bytes().map(percent_encode).collect();
    let request = HttpRequest::new(Method::GET, &format!("/api/Rollouts.Retrieve/{path}"));
    let mut last = String::new();
    let started = std::time::Instant::now();
    // The progress line is for people at a terminal; a script gets only the states.
    let interactive = std::io::stderr().is_terminal();
    loop {
        let response = target.send(&request).await?;
        if response.status == StatusCode::NOT_FOUND {
            return Err(CommandError::Refused { status: 404, text: format!("no roll-out of {service}") });
        }
        let value = parse_json(&require_ok(response)?.body);
        let value = value.ok_or_else(|| CommandError::NoAnswer("the answer is no JSON".to_owned()))?;
        let (state, version) = (text(&value, "State").to_owned(), text(&value, "TargetVersion"));
        if interactive {
            let elapsed_s = started.elapsed().as_secs();
            let mut stderr = std::io::stderr().lock();
            // A failure to write to standard error can't be reported anywhere.
            let _ = match state.as_str() {
                "completed" | "reverted" => write!(stderr, "\r\x1b[K"),
                _ => write!(stderr, "\r\x1b[K{service} {version}: {state}, watched for {elapsed_s} s"),
            };
            let _ = stderr.flush();
        }
        if state != last {
            if interactive {
                let _ = write!(std::io::stderr().lock(), "\r\x1b[K");
            }
            if target.json {
                print_json(&value)?;
            } else {
                print(format!("{service} {version}: {state}\n").as_bytes())?;
            }
            last = state;
        }
        match last.as_str() {
            "completed" => return Ok(()),
            "reverted" => return Err(CommandError::CheckFailed),
            _ => tokio::time::sleep(POLL_INTERVAL).await,
        }
    }
}

/// One byte of a path segment, percent-encoded unless it is unreserved.
fn percent_encode(byte: u8) -> String {
    match byte {
        b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'.' | b'_' | b'~' => char::from(byte).to_string(),
        _ => format!("%{byte:02X}"),
    }
}
