//! Client of the control API, as operators use it: sends configurations and roll-outs, retries at another control node if
//! one fails, and reads back what is in force.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use hyper::{Method, StatusCode};
use simd_json::OwnedValue;
use simd_json::prelude::*;

use super::client::{CallError, HttpRequest, HttpResponse, call};

/// Number of redirects that are followed.
const MAX_REDIRECTS: usize = 2;
/// A control node that doesn't respond for this long is skipped for the next one.
const NODE_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay before the first retry; it doubles up to [`MAX_RETRY_DELAY`].
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(500);

/// A call that got no clear response before its timeout.
#[derive(Debug, thiserror::Error)]
#[error("no clear answer after {:.1} s; the last: {last}", after.as_secs_f64())]
pub struct NoClearAnswer {
    pub after: Duration,
    pub last: String,
}

/// Sends a request and follows up to two 307 redirects, all within `wait`.
pub async fn call_following_redirects(
    at: SocketAddrV4, request: &HttpRequest, wait: Duration,
) -> Result<HttpResponse, CallError> {
    let started = Instant::now();
    let (mut at, mut request) = (at, request.clone());
    for _ in 0..MAX_REDIRECTS {
        let response = call(at, &request, wait.saturating_sub(started.elapsed())).await?;
        if response.status != StatusCode::TEMPORARY_REDIRECT {
            return Ok(response);
        }
        let Some((next, uri)) = parse_location(response.header("Location")) else { return Ok(response) };
        (at, request.uri) = (next, uri);
    }
    call(at, &request, wait.saturating_sub(started.elapsed())).await
}

/// Splits `http://10.0.0.4:8080/path` into address and path.
pub fn parse_location(text: &str) -> Option<(SocketAddrV4, String)> {
    let rest = text.strip_prefix("http://")?;
    let path_start = rest.find('/').unwrap_or(rest.len());
    let path = if path_start == rest.len() { "/" } else { &rest[path_start..] };
    Some((rest[..path_start].parse().ok()?, path.to_owned()))
}

/// A client with a list of control nodes.
#[derive(Clone, Debug)]
pub struct Operator {
    pub control_nodes: Vec<SocketAddrV4>,
    /// How long one call is retried.
    pub timeout: Duration,
}

impl Operator {
    pub fn new(control_nodes: Vec<SocketAddrV4>) -> Operator {
        Operator { control_nodes, timeout: Duration::from_secs(20) }
    }

    /// Calls one control node after the other, starting with index `first`, until one gives a clear response.
    pub async fn send(&self, first: usize, request: &HttpRequest) -> Result<HttpResponse, NoClearAnswer> {
        let started = Instant::now();
        let mut delay = MIN_RETRY_DELAY;
        let mut last_failure = "nobody was asked".to_owned();
        for index in first.. {
            let Some(at) = self.control_nodes.get(index % self.control_nodes.len().max(1)) else { break };
            // The last node that is tried gets some time, too.
            let time_left =
                self.timeout.saturating_sub(started.elapsed()).clamp(MAX_RETRY_DELAY, NODE_TIMEOUT);
            match call_following_redirects(*at, request, time_left).await {
                Ok(response) if is_clear(response.status) => return Ok(response),
                Ok(response) => last_failure = format!("{at}: {} {}", response.status, response.text()),
                Err(error) => last_failure = error.to_string(),
            }
            if started.elapsed() + delay >= self.timeout {
                break;
            }
            tokio::time::sleep(delay).await;
            delay = (delay * 2).min(MAX_RETRY_DELAY);
        }
        Err(NoClearAnswer { after: started.elapsed(), last: last_failure })
    }

    fn change_request(operation: &str, base: u32, text: &str) -> HttpRequest {
        HttpRequest::new(Method::POST, &format!("/api/Configuration.{operation}"))
            .with_header("Base-Version", format!("{base:08x}"))
            .json(text.to_owned())
    }

    /// Replaces the configuration, if `base` is the version in force.
    pub async fn replace(&self, first: usize, base: u32, text: &str) -> Result<HttpResponse, NoClearAnswer> {
        self.send(first, &Self::change_request("Replace", base, text)).await
    }

    /// Changes named items of the configuration, if `base` is the version in force.
    pub async fn modify(&self, first: usize, base: u32, text: &str) -> Result<HttpResponse, NoClearAnswer> {
        self.send(first, &Self::change_request("Modify", base, text)).await
    }

    /// Reads the newest configuration.
    pub async fn retrieve(&self, first: usize) -> Result<HttpResponse, NoClearAnswer> {
        self.send(first, &HttpRequest::new(Method::GET, "/api/Configuration.Retrieve")).await
    }

    /// Starts the roll-out of a version.
    pub async fn roll_out(
        &self, service: &str, version: &str, period: Duration,
    ) -> Result<HttpResponse, NoClearAnswer> {
        let body = simd_json::json!({
            "TargetService": service, "TargetVersion": version, "RolloutPeriodS": period.as_secs_f64(),
        });
        self.send(0, &HttpRequest::new(Method::POST, "/api/Rollouts.Initiate").json(body.encode())).await
    }

    /// State and target version of a service's latest roll-out; `None` if there is none or no clear response.
    pub async fn rollout(&self, service: &str) -> Option<(String, String)> {
        let request = HttpRequest::new(Method::GET, &format!("/api/Rollouts.Retrieve/{service}"));
        let response =
            self.send(0, &request).await.ok().filter(|response| response.status == StatusCode::OK)?;
        let value = parse_json(&response.body)?;
        let text = |key: &str| value.get(key).and_then(|text| text.as_str()).map(str::to_owned);
        Some((text("State")?, text("TargetVersion")?))
    }

    /// The leader: the node that serves a read itself instead of redirecting it. Waits for each node at most
    /// `NODE_TIMEOUT`.
    pub async fn leader(&self) -> Option<SocketAddrV4> {
        let request = HttpRequest::new(Method::GET, "/api/Configuration.Retrieve");
        for at in &self.control_nodes {
            let response = match call(*at, &request, NODE_TIMEOUT).await {
                Ok(response) => response,
                Err(_) => continue,
            };
            match response.status {
                StatusCode::OK | StatusCode::NOT_FOUND => return Some(*at),
                StatusCode::TEMPORARY_REDIRECT => {
                    let Some((leader, _)) = parse_location(response.header("Location")) else { continue };
                    let confirmed =
                        call(leader, &request, NODE_TIMEOUT).await.map(|response| response.status);
                    if matches!(confirmed, Ok(StatusCode::OK | StatusCode::NOT_FOUND)) {
                        return Some(leader);
                    }
                }
                _ => {}
            }
        }
        None
    }
}

/// Whether a response ends a call. A redirect or a response that asks for a retry doesn't.
fn is_clear(status: StatusCode) -> bool {
    !status.is_server_error()
        && !status.is_redirection()
        && !matches!(status, StatusCode::REQUEST_TIMEOUT | StatusCode::TOO_MANY_REQUESTS)
}

/// Parses JSON; `None` if it is invalid.
pub fn parse_json(text: &[u8]) -> Option<OwnedValue> {
    simd_json::to_owned_value(&mut text.to_vec()).ok()
}

/// A configuration's version, and its items by resource type and name.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigurationItems {
    pub version: String,
    pub items: BTreeMap<(String, String), OwnedValue>,
}

/// Parses a configuration into a form in which equal contents compare equal, whatever the order of the items. `None` if
/// it is no configuration or names an item twice.
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

/// A route of a configuration.
#[derive(Clone, Debug)]
pub struct Route {
    pub name: String,
    pub host: String,
    pub prefix: String,
    /// `safe`, `unsafe` or `upload`.
    pub route_type: String,
    /// Services with their weights; a single service is written as `TargetService`.
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
            several => {
                let weights: Vec<String> = several
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

/// `MaxHeaderBytes` of a whole configuration.
pub const DEFAULT_MAX_HEADER_BYTES: u32 = 16_384;

/// A whole configuration as JSON.
pub fn full_configuration(version: u32, routes: &[Route], services: &[&str]) -> String {
    let service = |name: &&str| {
        format!(
            "{{\"ResourceType\":\"ServiceTable\",\"HeaderBlock\":{{\"Name\":\"{name}\"}},\"SpecBody\":{{\
             \"HealthPath\":\"/health\",\"MaxConnections\":100,\"Protocol\":\"h1\",\"Tls\":false}}}}"
        )
    };
    let items: Vec<String> = routes
        .iter()
        .map(Route::item)
        .chain(services.iter().map(service))
        .chain([limit_set(DEFAULT_MAX_HEADER_BYTES)])
        .collect();
    format!("{{\"ConfigVersion\":\"{version:08x}\",\"ResourceSet\":[{}]}}", items.join(","))
}

/// The limits for clients, as an item of a configuration.
pub fn limit_set(max_header_bytes: u32) -> String {
    format!(
        "{{\"ResourceType\":\"LimitSet\",\"HeaderBlock\":{{}},\"SpecBody\":{{\"MaxHeaderBytes\":{max_header_bytes},\
         \"MaxBodyBytes\":8388608,\"HeaderTimeoutS\":3,\"IdleTimeoutS\":15}}}}"
    )
}

/// A change of named routes as JSON.
pub fn configuration_change(version: u32, upsert: &[Route], remove: &[&str]) -> String {
    change_of_items(version, &upsert.iter().map(Route::item).collect::<Vec<_>>(), remove)
}

/// A change of named routes and of the limits for clients as JSON.
pub fn change_with_limits(version: u32, upsert: &[Route], limits: String, remove: &[&str]) -> String {
    let items: Vec<String> = upsert.iter().map(Route::item).chain([limits]).collect();
    change_of_items(version, &items, remove)
}

fn change_of_items(version: u32, upsert: &[String], remove: &[&str]) -> String {
    let remove: Vec<String> = remove.iter().map(|name| format!("\"{name}\"")).collect();
    format!(
        "{{\"ConfigVersion\":\"{version:08x}\",\"Upsert\":{{\"ResourceSet\":[{}]}},\
         \"Remove\":{{\"RouteTable\":[{}]}}}}",
        upsert.join(","),
        remove.join(",")
    )
}
