//! Stage-manager (stand-in operator): sends configurations and roll-outs as operators do, goes on to another prompter
//! where one fails, and reads back what holds.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use hyper::{Method, StatusCode};
use simd_json::OwnedValue;
use simd_json::prelude::*;

use super::client::{CallError, HttpRequest, HttpResponse, call};

/// Redirections that are followed.
const MAX_REDIRECTS: usize = 2;
/// One second of silence, and the caller goes on to another prompter.
const NODE_TIMEOUT: Duration = Duration::from_secs(1);
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(500);

/// A call that had no clear answer in its time.
#[derive(Debug, thiserror::Error)]
#[error("no clear answer after {:.1} s; the last: {last}", after.as_secs_f64())]
pub struct NoClearAnswer {
    pub after: Duration,
    pub last: String,
}

/// Asks at an address and follows 307 twice, all within `wait`.
pub async fn call_following_redirects(
    at: SocketAddrV4, ask: &HttpRequest, wait: Duration,
) -> Result<HttpResponse, CallError> {
    let began = Instant::now();
    let (mut at, mut ask) = (at, ask.clone());
    for _ in 0..MAX_REDIRECTS {
        let answer = call(at, &ask, wait.saturating_sub(began.elapsed())).await?;
        if answer.status != StatusCode::TEMPORARY_REDIRECT {
            return Ok(answer);
        }
        let Some((next, uri)) = parse_location(answer.header("Location")) else { return Ok(answer) };
        (at, ask.uri) = (next, uri);
    }
    call(at, &ask, wait.saturating_sub(began.elapsed())).await
}

/// `http://10.0.0.4:8080/path` as an address and what is asked for there.
pub fn parse_location(text: &str) -> Option<(SocketAddrV4, String)> {
    let rest = text.strip_prefix("http://")?;
    let cut = rest.find('/').unwrap_or(rest.len());
    let path = if cut == rest.len() { "/" } else { &rest[cut..] };
    Some((rest[..cut].parse().ok()?, path.to_owned()))
}

/// An operator with a list of prompters.
#[derive(Clone, Debug)]
pub struct Operator {
    pub control_nodes: Vec<SocketAddrV4>,
    /// How long one call is tried for.
    pub timeout: Duration,
}

impl Operator {
    pub fn new(control_nodes: Vec<SocketAddrV4>) -> Operator {
        Operator { control_nodes, timeout: Duration::from_secs(20) }
    }

    /// Calls one prompter after the other, from `first` on, until one gives a clear answer.
    pub async fn send(&self, first: usize, ask: &HttpRequest) -> Result<HttpResponse, NoClearAnswer> {
        let began = Instant::now();
        let mut pause = MIN_RETRY_DELAY;
        let mut last = "nobody was asked".to_owned();
        for number in first.. {
            let Some(at) = self.control_nodes.get(number % self.control_nodes.len().max(1)) else { break };
            // The last one asked, too, gets some time.
            let left = self.timeout.saturating_sub(began.elapsed()).clamp(MAX_RETRY_DELAY, NODE_TIMEOUT);
            match call_following_redirects(*at, ask, left).await {
                Ok(answer) if clear(answer.status) => return Ok(answer),
                Ok(answer) => last = format!("{at}: {} {}", answer.status, answer.text()),
                Err(error) => last = error.to_string(),
            }
            if began.elapsed() + pause >= self.timeout {
                break;
            }
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(MAX_RETRY_DELAY);
        }
        Err(NoClearAnswer { after: began.elapsed(), last })
    }

    fn change(call: &str, base: u32, text: &str) -> HttpRequest {
        HttpRequest::new(Method::POST, &format!("/api/Configuration.{call}"))
            .with_header("Base-Version", format!("{base:08x}"))
            .json(text.to_owned())
    }

    /// A complete configuration on top of a version.
    pub async fn replace(&self, first: usize, base: u32, text: &str) -> Result<HttpResponse, NoClearAnswer> {
        self.send(first, &Self::change("Replace", base, text)).await
    }

    /// Named items on top of a version.
    pub async fn modify(&self, first: usize, base: u32, text: &str) -> Result<HttpResponse, NoClearAnswer> {
        self.send(first, &Self::change("Modify", base, text)).await
    }

    /// The newest configuration, whole.
    pub async fn retrieve(&self, first: usize) -> Result<HttpResponse, NoClearAnswer> {
        self.send(first, &HttpRequest::new(Method::GET, "/api/Configuration.Retrieve")).await
    }

    pub async fn roll_out(
        &self, service: &str, version: &str, period: Duration,
    ) -> Result<HttpResponse, NoClearAnswer> {
        let body = simd_json::json!({
            "TargetService": service, "TargetVersion": version, "RolloutPeriodS": period.as_secs_f64(),
        });
        self.send(0, &HttpRequest::new(Method::POST, "/api/Rollouts.Initiate").json(body.encode())).await
    }

    /// State and version of a service's last roll-out; `None` where there is none, or no answer that tells.
    pub async fn rollout(&self, service: &str) -> Option<(String, String)> {
        let ask = HttpRequest::new(Method::GET, &format!("/api/Rollouts.Retrieve/{service}"));
        let answer = self.send(0, &ask).await.ok().filter(|answer| answer.status == StatusCode::OK)?;
        let value = parse_json(&answer.body)?;
        let text = |key: &str| value.get(key).and_then(|text| text.as_str()).map(str::to_owned);
        Some((text("State")?, text("TargetVersion")?))
    }

    /// Who leads, as a read tells: the one that answers it itself. Waits for nobody longer than a read may take.
    pub async fn leader(&self) -> Option<SocketAddrV4> {
        let ask = HttpRequest::new(Method::GET, "/api/Configuration.Retrieve");
        for at in &self.control_nodes {
            let answer = match call(*at, &ask, NODE_TIMEOUT).await {
                Ok(answer) => answer,
                Err(_) => continue,
            };
            match answer.status {
                StatusCode::OK | StatusCode::NOT_FOUND => return Some(*at),
                StatusCode::TEMPORARY_REDIRECT => {
                    let Some((leader, _)) = parse_location(answer.header("Location")) else { continue };
                    let proved = call(leader, &ask, NODE_TIMEOUT).await.map(|answer| answer.status);
                    if matches!(proved, Ok(StatusCode::OK | StatusCode::NOT_FOUND)) {
                        return Some(leader);
                    }
                }
                _ => {}
            }
        }
        None
    }
}

/// Whether an answer ends a call: neither a redirection too many, nor one after which another is to be asked.
fn clear(status: StatusCode) -> bool {
    !status.is_server_error()
        && !status.is_redirection()
        && !matches!(status, StatusCode::REQUEST_TIMEOUT | StatusCode::TOO_MANY_REQUESTS)
}

/// Text read as JSON; `None` where it is none.
pub fn parse_json(text: &[u8]) -> Option<OwnedValue> {
    simd_json::to_owned_value(&mut text.to_vec()).ok()
}

/// A configuration's version, and its items by kind and name.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigurationItems {
    pub version: String,
    pub items: BTreeMap<(String, String), OwnedValue>,
}

/// Reads a configuration so that two that say the same are the same, in whichever order a list holds their items;
/// `None` where it is none, or names an item twice.
pub fn parse_items(text: &[u8]) -> Option<ConfigurationItems> {
    let value = parse_json(text)?;
    let version = value.get("ConfigVersion")?.as_str()?.to_owned();
    let list = value.get("ResourceSet")?.as_array()?;
    let item = |item: &OwnedValue| {
        let kind = item.get("ResourceType")?.as_str()?.to_owned();
        let name = item.get("HeaderBlock").and_then(|head| head.get("Name")).and_then(|name| name.as_str());
        Some(((kind, name.unwrap_or("").to_owned()), item.get("SpecBody")?.clone()))
    };
    let items: BTreeMap<_, _> = list.iter().map(item).collect::<Option<_>>()?;
    (items.len() == list.len()).then_some(ConfigurationItems { version, items })
}

/// A route as the operator writes it.
#[derive(Clone, Debug)]
pub struct Route {
    pub name: String,
    pub host: String,
    pub prefix: String,
    /// `safe`, `unsafe` or `upload`.
    pub route_type: String,
    /// Services with their weights; one alone is written as `TargetService`.
    pub targets: Vec<(String, u32)>,
    pub timeout_s: f64,
    pub target_latency_s: f64,
    pub attempts: u32,
}

impl Route {
    pub fn new(name: &str, host: &str, prefix: &str, kind: &str, service: &str) -> Route {
        Route {
            name: name.to_owned(),
            host: host.to_owned(),
            prefix: prefix.to_owned(),
            route_type: kind.to_owned(),
            targets: vec![(service.to_owned(), 1)],
            timeout_s: 2.0,
            target_latency_s: 0.25,
            attempts: 2,
        }
    }

    fn item(&self) -> String {
        let targets = match self.targets.as_slice() {
            [(service, _)] => format!("\"TargetService\":\"{service}\""),
            many => {
                let weights: Vec<String> = many
                    .iter()
                    .map(|(service, weight)| {
                        format!("{{\"TargetService\":\"{service}\",\"Weight\":{weight}}}")
                    })
                    .collect();
                format!("\"WeightedSplit\":[{}]", weights.join(","))
            }
        };
        format!(
            "{{\"ResourceType\":\"RouteTable\",\"HeaderBlock\":{{\"Name\":\"{}\"}},\"SpecBody\":{{\
             \"HostName\":\"{}\",\"PathPrefix\":\"{}\",\"RouteType\":\"{}\",\"TimeoutS\":{},\
             \"TargetLatencyS\":{},\"Priority\":1,{targets},\"MaxAttempts\":{}}}}}",
            self.name,
            self.host,
            self.prefix,
            self.route_type,
            self.timeout_s,
            self.target_latency_s,
            self.attempts
        )
    }
}

/// A complete configuration.
pub fn full_configuration(version: u32, routes: &[Route], services: &[&str]) -> String {
    let service = |name: &&str| {
        format!(
            "{{\"ResourceType\":\"ServiceTable\",\"HeaderBlock\":{{\"Name\":\"{name}\"}},\"SpecBody\":{{\
             \"HealthPath\":\"/health\",\"MaxConnections\":100,\"Protocol\":\"h1\",\"Tls\":false}}}}"
        )
    };
    let limits = "{\"ResourceType\":\"LimitSet\",\"HeaderBlock\":{},\"SpecBody\":{\"MaxHeaderBytes\":16384,\
                  \"MaxBodyBytes\":8388608,\"HeaderTimeoutS\":3,\"IdleTimeoutS\":15}}";
    let items: Vec<String> = routes
        .iter()
        .map(Route::item)
        .chain(services.iter().map(service))
        .chain([limits.to_owned()])
        .collect();
    format!("{{\"ConfigVersion\":\"{version:08x}\",\"ResourceSet\":[{}]}}", items.join(","))
}

/// A change of named routes.
pub fn configuration_change(version: u32, upsert: &[Route], remove: &[&str]) -> String {
    let upsert: Vec<String> = upsert.iter().map(Route::item).collect();
    let remove: Vec<String> = remove.iter().map(|name| format!("\"{name}\"")).collect();
    format!(
        "{{\"ConfigVersion\":\"{version:08x}\",\"Upsert\":{{\"ResourceSet\":[{}]}},\
         \"Remove\":{{\"RouteTable\":[{}]}}}}",
        upsert.join(","),
        remove.join(",")
    )
}
