//! Calls to the system: from one machine to the next until there is a clear answer.

use std::net::SocketAddrV4;
use std::time::Duration;

use hyper::{Method, StatusCode};
use simd_json::OwnedValue;

use super::CommandError;
use crate::demo::client::{HttpRequest, HttpResponse};
use crate::demo::operator::{Operator, parse_json};
use crate::settings::Settings;

/// Where the system is, and how answers are printed.
#[derive(Clone, Debug, clap::Args)]
pub struct Target {
    /// A prompter's Control address; may be given several times. Without it: SeedNodes of the settings file
    /// that GARNETDOOR_SETTINGS names.
    #[arg(long = "at", value_name = "IP:PORT", value_parser = address)]
    pub addresses: Vec<SocketAddrV4>,
    /// Seconds for which a call is tried, at one machine after the other.
    #[arg(long = "patience", value_name = "S", default_value = "10", value_parser = seconds)]
    pub timeout: Duration,
    /// Print JSON, for scripts.
    #[arg(long)]
    pub json: bool,
}

fn address(text: &str) -> Result<SocketAddrV4, String> {
    text.parse().map_err(|_| "an IPv4 address and a port expected, such as 10.1.0.18:8649".to_owned())
}

/// Seconds above 0 as a span.
pub fn seconds(text: &str) -> Result<Duration, String> {
    let found = text.parse::<f64>().ok().filter(|found| (0.001..=1e6).contains(found));
    found.map(Duration::from_secs_f64).ok_or_else(|| "seconds from 0.001 to 1000000 expected".to_owned())
}

impl Target {
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

    /// A clear answer to a call, whatever it says.
    pub async fn send(&self, ask: &HttpRequest) -> Result<HttpResponse, CommandError> {
        self.operator()?.send(0, ask).await.map_err(|unclear| CommandError::NoAnswer(unclear.to_string()))
    }

    /// What a prompter knows of the whole.
    pub async fn status(&self) -> Result<OwnedValue, CommandError> {
        let answer = good(self.send(&HttpRequest::new(Method::GET, "/api/Status")).await?)?;
        parse_json(&answer.body).ok_or_else(|| CommandError::NoAnswer("the answer is no JSON".to_owned()))
    }
}

/// An answer of 200, or the refusal.
pub fn good(answer: HttpResponse) -> Result<HttpResponse, CommandError> {
    if answer.status == StatusCode::OK {
        return Ok(answer);
    }
    let text = parse_json(&answer.body).map_or_else(|| answer.text(), |value| said(&value));
    Err(CommandError::Refused { status: answer.status.as_u16(), text })
}

/// What a refusal's body says to a person.
fn said(value: &OwnedValue) -> String {
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
