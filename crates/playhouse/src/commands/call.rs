//! Calls to the control API: one control node after the other, until one gives a clear answer.

use std::net::SocketAddrV4;
use std::time::Duration;

use hyper::{Method, StatusCode};
use simd_json::OwnedValue;

use super::CommandError;
use crate::demo::client::{HttpRequest, HttpResponse};
use crate::demo::operator::{Operator, parse_json};
use crate::settings::Settings;

/// The control nodes to call, and the output format.
#[derive(Clone, Debug, clap::Args)]
pub struct Target {
    /// Control address of a control node; may be repeated. Default: SeedNodes of the settings file that
    /// GARNETDOOR_SETTINGS names.
    #[arg(long = "at", value_name = "IP:PORT", value_parser = address)]
    pub addresses: Vec<SocketAddrV4>,
    /// Seconds for which a call is retried, at one machine after the other.
    #[arg(long = "patience", value_name = "S", default_value = "10", value_parser = seconds)]
    pub timeout: Duration,
    /// Print JSON, for scripts.
    #[arg(long)]
    pub json: bool,
}

fn address(text: &str) -> Result<SocketAddrV4, String> {
    text.parse().map_err(|_| "an IPv4 address and a port expected, such as 10.1.0.18:8649".to_owned())
}

/// Parses a number of seconds above 0.
pub fn seconds(text: &str) -> Result<Duration, String> {
    let found = text.parse::<f64>().ok().filter(|found| (0.001..=1e6).contains(found));
    found.map(Duration::from_secs_f64).ok_or_else(|| "seconds from 0.001 to 1000000 expected".to_owned())
}

impl Target {
    /// A client for the control nodes given by `--at` or by the settings file.
    pub fn operator(&self) -> Result<Operator, CommandError> {
        let control_nodes = if self.addresses.is_empty() {
            let path = Settings::path().map_err(|_| {
                CommandError::Usage(
                    "name a prompter by --at IP:PORT, or a settings file by GARNETDOOR_SETTINGS".into(),
                )
            })?;
            Settings::read(&path)?.seed_nodes
        } else {
            self.addresses.clone()
        };
        Ok(Operator { control_nodes, timeout: self.timeout })
    }

    /// Sends a request and returns the first clear response, whatever its status.
    pub async fn send(&self, request: &HttpRequest) -> Result<HttpResponse, CommandError> {
        self.operator()?.send(0, request).await.map_err(|error| CommandError::NoAnswer(error.to_string()))
    }

    /// The status of the system as one control node sees it.
    pub async fn status(&self) -> Result<OwnedValue, CommandError> {
        let response = require_ok(self.send(&HttpRequest::new(Method::GET, "/api/Status")).await?)?;
        parse_json(&response.body).ok_or_else(|| CommandError::NoAnswer("the answer is no JSON".to_owned()))
    }
}

/// Returns a response with status 200; any other becomes an error with the reason from its body.
pub fn require_ok(response: HttpResponse) -> Result<HttpResponse, CommandError> {
    if response.status == StatusCode::OK {
        return Ok(response);
    }
    let text = parse_json(&response.body).map_or_else(|| response.text(), |value| refusal_text(&value));
    Err(CommandError::Refused { status: response.status.as_u16(), text })
}

/// The reason in a refusal's body, as text for people.
fn refusal_text(value: &OwnedValue) -> String {
    let faults = super::list(value, "Faults").iter();
    let faults: Vec<String> = faults
        .map(|fault| format!("{}: {}", super::text(fault, "Place"), super::text(fault, "Expected")))
        .collect();
    match (faults.is_empty(), super::text(value, "ConfigVersion"), super::text(value, "Problem")) {
        (false, ..) => faults.join("\n  "),
        (true, "", problem) => problem.to_owned(),
        (true, version, _) => format!("the current version is {version}"),
    }
}
