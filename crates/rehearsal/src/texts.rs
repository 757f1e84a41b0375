//! Texts (the operators' configurations): valid ones, changes, and every kind of invalid one.

use configuration::RouteKind;
use oorandom::Rand64;

use crate::site::Site;

pub const HOST: &str = "door.example";
/// Kinds of `invalid`.
pub const INVALID: u32 = 8;

/// A text, which services each route may go to, and the added routes that the configuration has.
#[derive(Clone, Debug)]
pub struct Text {
    pub bytes: Vec<u8>,
    pub allows: Vec<(usize, usize)>,
    pub added: Vec<usize>,
}

pub fn service(number: usize) -> String {
    format!("svc{number}")
}

/// The number of a service by its name.
pub fn service_no(name: &str) -> usize {
    name.strip_prefix("svc").and_then(|rest| rest.parse().ok()).unwrap_or(usize::MAX)
}

pub fn path(route: usize) -> String {
    format!("/p{route}/x")
}

fn entry(name: &str, prefix: &str, kind: &str, attempts: u32, targets: &str) -> String {
    format!(
        r#"{{"ResourceType":"RouteTable","HeaderBlock":{{"Name":"{name}"}},"SpecBody":{{"HostName":"{HOST}","PathPrefix":"{prefix}","RouteType":"{kind}","TimeoutS":1,"TargetLatencyS":0.25,"Priority":1,{targets},"MaxAttempts":{attempts}}}}}"#
    )
}

/// One base route, now and then moved or split; what it may go to is added to `allows`.
fn base_route(site: &Site, route: usize, chance: &mut Rand64, allows: &mut Vec<(usize, usize)>) -> String {
    let kind = match site.kind(route) {
        RouteKind::Safe => "safe",
        RouteKind::Unsafe => "unsafe",
        RouteKind::Upload => "upload",
    };
    let (own, other) = (route % site.services, chance.rand_range(0..site.services as u64) as usize);
    // Each service keeps a route of its own: one without requests can't be judged.
    let targets = match chance.rand_range(0..8) {
        0 | 2 if route >= site.services => {
            allows.push((route, other));
            format!(r#""TargetService":"{}""#, service(other))
        }
        1 if other != own => {
            allows.extend([(route, own), (route, other)]);
            let (own, other) = (service(own), service(other));
            format!(
                r#""WeightedSplit":[{{"TargetService":"{own}","Weight":80}},{{"TargetService":"{other}","Weight":20}}]"#
            )
        }
        _ => {
            allows.push((route, own));
            format!(r#""TargetService":"{}""#, service(own))
        }
    };
    entry(&format!("r{route}"), &format!("/p{route}/"), kind, 2, &targets)
}

/// A route that comes and goes.
fn added_route(site: &Site, route: usize, allows: &mut Vec<(usize, usize)>) -> String {
    let own = route % site.services;
    allows.push((route, own));
    let target = format!(r#""TargetService":"{}""#, service(own));
    entry(&format!("r{route}"), &format!("/p{route}/"), "safe", 2, &target)
}

fn services(site: &Site) -> impl Iterator<Item = String> {
    (0..site.services).map(|number| {
        format!(
            r#"{{"ResourceType":"ServiceTable","HeaderBlock":{{"Name":"{}"}},"SpecBody":{{"HealthPath":"/health","MaxConnections":94,"Protocol":"h1","Tls":false}}}}"#,
            service(number)
        )
    })
}

const LIMITS: &str = r#"{"ResourceType":"LimitSet","HeaderBlock":{},"SpecBody":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeoutS":3,"IdleTimeoutS":15}}"#;

fn whole(version: u32, entries: &[String]) -> Vec<u8> {
    format!(r#"{{"ConfigVersion":"{version:08x}","ResourceSet":[{}]}}"#, entries.join(",")).into_bytes()
}

/// A complete configuration, with `more` routes that nobody asks for.
pub fn replace(site: &Site, version: u32, more: usize, chance: &mut Rand64) -> Text {
    let (mut allows, mut added) = (Vec::new(), Vec::new());
    let base = 0..site.routes();
    let mut entries: Vec<String> = base.map(|route| base_route(site, route, chance, &mut allows)).collect();
    for route in site.routes()..site.routes() + site.added {
        if chance.rand_range(0..3) > 0 {
            entries.push(added_route(site, route, &mut allows));
            added.push(route);
        }
    }
    entries.push(entry(
        &format!("m{version:x}"),
        &format!("/m{version:x}/"),
        "safe",
        1,
        r#""TargetService":"svc0""#,
    ));
    for number in 0..more {
        let target = format!(r#""TargetService":"{}""#, service(number % site.services));
        entries.push(entry(&format!("e{number}"), &format!("/e{number}/"), "safe", 2, &target));
    }
    entries.extend(services(site));
    entries.push(LIMITS.to_owned());
    Text { bytes: whole(version, &entries), allows, added }
}

/// A change of one route by name, on top of a configuration that has these added routes: one is moved, or an
/// added one comes or goes.
pub fn modify(site: &Site, version: u32, mut added: Vec<usize>, chance: &mut Rand64) -> Text {
    let mut allows = Vec::new();
    let (mut upsert, mut remove) = (String::new(), r#""m1""#.to_owned());
    if site.added > 0 && chance.rand_range(0..2) == 0 {
        let route = site.routes() + chance.rand_range(0..site.added as u64) as usize;
        if let Some(at) = added.iter().position(|there| *there == route) {
            added.remove(at);
            remove = format!(r#"{remove},"r{route}""#);
        } else {
            added.push(route);
            upsert = added_route(site, route, &mut allows);
        }
    } else {
        let route = chance.rand_range(0..site.routes() as u64) as usize;
        upsert = base_route(site, route, chance, &mut allows);
    }
    let text = format!(
        r#"{{"ConfigVersion":"{version:08x}","Upsert":{{"ResourceSet":[{upsert}]}},"Remove":{{"RouteTable":[{remove}]}}}}"#
    );
    Text { bytes: text.into_bytes(), allows, added }
}

/// A configuration that must be refused; `base` is the version that it builds on.
pub fn invalid(site: &Site, kind: u32, base: u32, version: u32, chance: &mut Rand64) -> Vec<u8> {
    let good = String::from_utf8(replace(site, version, 0, chance).bytes).unwrap_or_default();
    let odd = |entry: String| {
        let with = format!(r#""ResourceSet":[{entry},"#);
        good.replacen(r#""ResourceSet":["#, &with, 1)
    };
    let to = r#""TargetService":"svc0""#;
    let text = match kind % INVALID {
        0 => good.replacen(&format!("{version:08x}"), &format!("{base:08x}"), 1),
        1 => odd(entry("bad", "/bad/", "safe", 1, r#""TargetService":"nobody""#)),
        2 => odd(entry("bad", "/p0/", "safe", 1, to)),
        3 => {
            odd(entry("bad", "/bad/", "safe", 1, r#""WeightedSplit":[{"TargetService":"svc0","Weight":0}]"#))
        }
        4 => odd(entry("bad", "/bad/", "safe", 0, to)),
        5 => odd(entry("bad", "/bad/", "perhaps", 1, to)),
        6 => good[..good.len() / 2].to_owned(),
        _ => String::new(),
    };
    text.into_bytes()
}
