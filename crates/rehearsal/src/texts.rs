//! Texts (the operators' configurations): valid ones, changes, and every kind of invalid one.

use bill::Kind;
use oorandom::Rand64;

/// Services of every day.
pub const SERVICES: usize = 4;
/// Routes that every configuration has; clients ask for these.
pub const ROUTES: usize = 6;
pub const HOST: &str = "door.example";
/// Kinds of `invalid`.
pub const INVALID: u32 = 8;

/// A text, and which services each route may go to.
#[derive(Clone, Debug)]
pub struct Text {
    pub bytes: Vec<u8>,
    pub allows: Vec<(usize, usize)>,
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

pub fn kind(route: usize) -> Kind {
    match route % ROUTES {
        1 | 5 => Kind::Unsafe,
        2 => Kind::Upload,
        _ => Kind::Safe,
    }
}

fn usual(route: usize) -> usize {
    [0, 1, 2, 3, 0, 1][route % ROUTES]
}

fn entry(name: &str, prefix: &str, kind: &str, attempts: u32, targets: &str) -> String {
    format!(
        r#"{{"ResourceType":"RouteTable","HeaderBlock":{{"Name":"{name}"}},"SpecBody":{{"HostName":"{HOST}","PathPrefix":"{prefix}","RouteType":"{kind}","TimeoutS":1,"TargetLatencyS":0.25,"Priority":1,{targets},"MaxAttempts":{attempts}}}}}"#
    )
}

/// One base route, now and then moved or split; what it may go to is added to `allows`.
fn base_route(route: usize, chance: &mut Rand64, allows: &mut Vec<(usize, usize)>) -> String {
    let kind = match kind(route) {
        Kind::Safe => "safe",
        Kind::Unsafe => "unsafe",
        Kind::Upload => "upload",
    };
    let (own, other) = (usual(route), chance.rand_range(0..SERVICES as u64) as usize);
    let targets = match chance.rand_range(0..8) {
        0 => {
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

fn services() -> impl Iterator<Item = String> {
    (0..SERVICES).map(|number| {
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
pub fn replace(version: u32, more: usize, chance: &mut Rand64) -> Text {
    let mut allows = Vec::new();
    let mut entries: Vec<String> = (0..ROUTES).map(|route| base_route(route, chance, &mut allows)).collect();
    entries.push(entry(
        &format!("m{version:x}"),
        &format!("/m{version:x}/"),
        "safe",
        1,
        r#""TargetService":"svc0""#,
    ));
    for number in 0..more {
        let target = format!(r#""TargetService":"{}""#, service(number % SERVICES));
        entries.push(entry(&format!("e{number}"), &format!("/e{number}/"), "safe", 2, &target));
    }
    entries.extend(services());
    entries.push(LIMITS.to_owned());
    Text { bytes: whole(version, &entries), allows }
}

/// A change of one route by name.
pub fn modify(version: u32, chance: &mut Rand64) -> Text {
    let mut allows = Vec::new();
    let route = chance.rand_range(0..ROUTES as u64) as usize;
    let entry = base_route(route, chance, &mut allows);
    let text = format!(
        r#"{{"ConfigVersion":"{version:08x}","Upsert":{{"ResourceSet":[{entry}]}},"Remove":{{"RouteTable":["m1"]}}}}"#
    );
    Text { bytes: text.into_bytes(), allows }
}

/// A configuration that must be refused; `base` is the version that it builds on.
pub fn invalid(kind: u32, base: u32, version: u32, chance: &mut Rand64) -> Vec<u8> {
    let good = String::from_utf8(replace(version, 0, chance).bytes).unwrap_or_default();
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
