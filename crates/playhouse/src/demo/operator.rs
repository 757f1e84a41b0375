//! Stage-manager (stand-in operator): sends configurations and roll-outs as operators do, goes on to another prompter
//! where one fails, and reads back what holds.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use hyper::{Method, StatusCode};
use simd_json::OwnedValue;
use simd_json::prelude::*;

use super::client::{Answer, Ask, Failed, call};

/// Redirections that are followed.
const SENT_ON: usize = 2;
/// One second of silence, and the caller goes on to another prompter.
const SILENCE: Duration = Duration::from_secs(1);
const FIRST_PAUSE: Duration = Duration::from_millis(50);
const LONGEST_PAUSE: Duration = Duration::from_millis(500);

/// A call that had no clear answer in its time.
#[derive(Debug, thiserror::Error)]
#[error("no clear answer after {:.1} s; the last: {last}", after.as_secs_f64())]
pub struct Unclear {
    pub after: Duration,
    pub last: String,
}

/// Asks at an address and follows 307 twice, all within `wait`.
pub async fn follow(at: SocketAddrV4, ask: &Ask, wait: Duration) -> Result<Answer, Failed> {
    let began = Instant::now();
    let (mut at, mut ask) = (at, ask.clone());
    for _ in 0..SENT_ON {
        let answer = call(at, &ask, wait.saturating_sub(began.elapsed())).await?;
        if answer.status != StatusCode::TEMPORARY_REDIRECT {
            return Ok(answer);
        }
        let Some((next, uri)) = location(answer.header("Location")) else { return Ok(answer) };
        (at, ask.uri) = (next, uri);
    }
    call(at, &ask, wait.saturating_sub(began.elapsed())).await
}

/// `http://10.0.0.4:8080/path` as an address and what is asked for there.
pub fn location(text: &str) -> Option<(SocketAddrV4, String)> {
    let rest = text.strip_prefix("http://")?;
    let cut = rest.find('/').unwrap_or(rest.len());
    let path = if cut == rest.len() { "/" } else { &rest[cut..] };
    Some((rest[..cut].parse().ok()?, path.to_owned()))
}

/// An operator with a list of prompters.
#[derive(Clone, Debug)]
pub struct Operator {
    pub prompters: Vec<SocketAddrV4>,
    /// How long one call is tried for.
    pub patience: Duration,
}

impl Operator {
    pub fn new(prompters: Vec<SocketAddrV4>) -> Operator {
        Operator { prompters, patience: Duration::from_secs(20) }
    }

    /// Calls one prompter after the other, from `first` on, until one gives a clear answer.
    pub async fn ask(&self, first: usize, ask: &Ask) -> Result<Answer, Unclear> {
        let began = Instant::now();
        let mut pause = FIRST_PAUSE;
        let mut last = "nobody was asked".to_owned();
        for number in first.. {
            let Some(at) = self.prompters.get(number % self.prompters.len().max(1)) else { break };
            // The last one asked, too, gets some time.
            let left = self.patience.saturating_sub(began.elapsed()).clamp(LONGEST_PAUSE, SILENCE);
            match follow(*at, ask, left).await {
                Ok(answer) if clear(answer.status) => return Ok(answer),
                Ok(answer) => last = format!("{at}: {} {}", answer.status, answer.text()),
                Err(error) => last = error.to_string(),
            }
            if began.elapsed() + pause >= self.patience {
                break;
            }
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(LONGEST_PAUSE);
        }
        Err(Unclear { after: began.elapsed(), last })
    }

    fn change(call: &str, base: u32, text: &str) -> Ask {
        Ask::new(Method::POST, &format!("/api/Configuration.{call}"))
            .with("Base-Version", format!("{base:08x}"))
            .json(text.to_owned())
    }

    /// A complete configuration on top of a version.
    pub async fn replace(&self, first: usize, base: u32, text: &str) -> Result<Answer, Unclear> {
        self.ask(first, &Self::change("Replace", base, text)).await
    }

    /// Named items on top of a version.
    pub async fn modify(&self, first: usize, base: u32, text: &str) -> Result<Answer, Unclear> {
        self.ask(first, &Self::change("Modify", base, text)).await
    }

    /// The newest configuration, whole.
    pub async fn retrieve(&self, first: usize) -> Result<Answer, Unclear> {
        self.ask(first, &Ask::new(Method::GET, "/api/Configuration.Retrieve")).await
    }

    pub async fn roll_out(&self, service: &str, version: &str, period: Duration) -> Result<Answer, Unclear> {
        let body = simd_json::json!({
            "TargetService": service, "TargetVersion": version, "RolloutPeriodS": period.as_secs_f64(),
        });
        self.ask(0, &Ask::new(Method::POST, "/api/Rollouts.Initiate").json(body.encode())).await
    }

    /// State and version of a service's last roll-out; `None` where there is none, or no answer that tells.
    pub async fn rollout(&self, service: &str) -> Option<(String, String)> {
        let ask = Ask::new(Method::GET, &format!("/api/Rollouts.Retrieve/{service}"));
        let answer = self.ask(0, &ask).await.ok().filter(|answer| answer.status == StatusCode::OK)?;
        let value = json(&answer.body)?;
        let text = |key: &str| value.get(key).and_then(|text| text.as_str()).map(str::to_owned);
        Some((text("State")?, text("TargetVersion")?))
    }

    /// Who leads, as a read tells: the one that answers it itself. Waits for nobody longer than a read may take.
    pub async fn leader(&self) -> Option<SocketAddrV4> {
        let ask = Ask::new(Method::GET, "/api/Configuration.Retrieve");
        for at in &self.prompters {
            let answer = match call(*at, &ask, SILENCE).await {
                Ok(answer) => answer,
                Err(_) => continue,
            };
            match answer.status {
                StatusCode::OK | StatusCode::NOT_FOUND => return Some(*at),
                StatusCode::TEMPORARY_REDIRECT => {
                    let Some((leader, _)) = location(answer.header("Location")) else { continue };
                    let proved = call(leader, &ask, SILENCE).await.map(|answer| answer.status);
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
pub fn json(text: &[u8]) -> Option<OwnedValue> {
    simd_json::to_owned_value(&mut text.to_vec()).ok()
}

/// A configuration's version, and its items by kind and name.
#[derive(Clone, Debug, PartialEq)]
pub struct Items {
    pub version: String,
    pub items: BTreeMap<(String, String), OwnedValue>,
}

/// Reads a configuration so that two that say the same are the same, in whichever order a list holds their items;
/// `None` where it is none, or names an item twice.
pub fn items(text: &[u8]) -> Option<Items> {
    let value = json(text)?;
    let version = value.get("ConfigVersion")?.as_str()?.to_owned();
    let list = value.get("ResourceSet")?.as_array()?;
    let item = |item: &OwnedValue| {
        let kind = item.get("ResourceType")?.as_str()?.to_owned();
        let name = item.get("HeaderBlock").and_then(|head| head.get("Name")).and_then(|name| name.as_str());
        Some(((kind, name.unwrap_or("").to_owned()), item.get("SpecBody")?.clone()))
    };
    let items: BTreeMap<_, _> = list.iter().map(item).collect::<Option<_>>()?;
    (items.len() == list.len()).then_some(Items { version, items })
}

/// A route as the operator writes it.
#[derive(Clone, Debug)]
pub struct Route {
    pub name: String,
    pub host: String,
    pub prefix: String,
    /// `safe`, `unsafe` or `upload`.
    pub kind: String,
    /// Services with their weights; one alone is written as `TargetService`.
    pub targets: Vec<(String, u32)>,
    pub timeout: f64,
    pub aim: f64,
    pub attempts: u32,
}

impl Route {
    pub fn new(name: &str, host: &str, prefix: &str, kind: &str, service: &str) -> Route {
        Route {
            name: name.to_owned(),
            host: host.to_owned(),
            prefix: prefix.to_owned(),
            kind: kind.to_owned(),
            targets: vec![(service.to_owned(), 1)],
            timeout: 2.0,
            aim: 0.25,
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
            self.name, self.host, self.prefix, self.kind, self.timeout, self.aim, self.attempts
        )
    }
}

/// A complete configuration.
pub fn whole(version: u32, routes: &[Route], services: &[&str]) -> String {
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
pub fn change(version: u32, upsert: &[Route], remove: &[&str]) -> String {
    let upsert: Vec<String> = upsert.iter().map(Route::item).collect();
    let remove: Vec<String> = remove.iter().map(|name| format!("\"{name}\"")).collect();
    format!(
        "{{\"ConfigVersion\":\"{version:08x}\",\"Upsert\":{{\"ResourceSet\":[{}]}},\
         \"Remove\":{{\"RouteTable\":[{}]}}}}",
        upsert.join(","),
        remove.join(",")
    )
}
