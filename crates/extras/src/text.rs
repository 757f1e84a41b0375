//! Texts (the operators' configurations) of any size, drawn by number alone.

use std::fmt::Write as _;

/// All routes are of one host; each has a path of its own.
pub const HOST: &str = "gallery.example";

pub fn service(number: usize) -> String {
    format!("service-{number:03}")
}

pub fn route(number: usize) -> String {
    format!("route-{number:05}")
}

/// Of a route's path, with something behind it.
pub fn path(number: usize) -> String {
    format!("/section-{:02}/{}/x", number % 100, route(number))
}

fn entry(number: usize, target: usize, attempts: u32) -> String {
    let kind = if number.is_multiple_of(3) { "unsafe" } else { "safe" };
    format!(
        "{{\"ResourceType\":\"RouteTable\",\"HeaderBlock\":{{\"Name\":\"{}\"}},\"SpecBody\":{{\"HostName\":\"{HOST}\",\
         \"PathPrefix\":\"/section-{:02}/{}/\",\"RouteType\":\"{kind}\",\"TimeoutS\":1.5,\"TargetLatencyS\":0.25,\
         \"Priority\":1,\"TargetService\":\"{}\",\"MaxAttempts\":{attempts}}}}}",
        route(number),
        number % 100,
        route(number),
        service(target),
    )
}

/// A whole configuration. `moved`: this route is another than in version 1.
pub fn whole(version: u32, routes: usize, services: usize, tenants: usize, moved: Option<usize>) -> Vec<u8> {
    let mut text = format!("{{\"ConfigVersion\":\"{version:08x}\",");
    if tenants > 0 {
        let names: Vec<String> = (0..tenants).map(|number| format!("\"tenant-{number:05}\"")).collect();
        let _ = write!(text, "\"Tenants\":[{}],", names.join(","));
    }
    text.push_str("\"ResourceSet\":[");
    for number in 0..routes {
        let attempts = if moved == Some(number) { 3 } else { 2 };
        let _ = write!(text, "{},", entry(number, number % services, attempts));
    }
    for number in 0..services {
        let _ = write!(
            text,
            "{{\"ResourceType\":\"ServiceTable\",\"HeaderBlock\":{{\"Name\":\"{}\"}},\"SpecBody\":{{\"HealthPath\":\
             \"/health\",\"MaxConnections\":94,\"Protocol\":\"h1\",\"Tls\":false}}}},",
            service(number)
        );
    }
    text.push_str(
        "{\"ResourceType\":\"LimitSet\",\"HeaderBlock\":{},\"SpecBody\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":\
         67108864,\"HeaderTimeoutS\":3,\"IdleTimeoutS\":15}}]}",
    );
    text.into_bytes()
}

/// A change of one route by name.
pub fn change(version: u32, number: usize, services: usize) -> Vec<u8> {
    let entry = entry(number, number % services, 4);
    format!("{{\"ConfigVersion\":\"{version:08x}\",\"Upsert\":{{\"ResourceSet\":[{entry}]}}}}").into_bytes()
}
