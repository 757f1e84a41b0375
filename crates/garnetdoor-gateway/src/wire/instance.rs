//! What servers are sent, and how their answers end a trip.

use std::net::SocketAddr;

use garnetdoor::host::{AttemptOutcome, Micros};

use super::client::Request;
use super::http::{self, Message};

/// A ticket as a server gets it: method, target, id and body unchanged.
pub fn trip(request: &Request, server: SocketAddr, left: Micros) -> Vec<u8> {
    let Request { method, target, id, body, upgrade } = request;
    let left = (left / 1_000).max(1);
    let length = if body.is_empty() && method == "GET" {
        String::new()
    } else {
        format!("Content-Length: {}\r\n", body.len())
    };
    let upgrade = upgrade.as_ref().map(|upgrade| upgrade.offer.request_headers() + &upgrade.passed);
    let more = upgrade.unwrap_or_default();
    let head = format!(
        "{method} {target} HTTP/1.1\r\nHost: {server}\r\n\
         Req-Id: {id}\r\nReq-Deadline-Ms: {left}\r\n{length}{more}\r\n"
    );
    [head.as_bytes(), body].concat()
}

/// The call that only asks whether a server answers.
pub fn probe(server: SocketAddr) -> Vec<u8> {
    format!("GET /ping HTTP/1.1\r\nHost: {server}\r\n\r\n").into_bytes()
}

/// How an answer ends a trip. One with a status of its own says nothing of whether the ticket ran.
pub fn ending(answer: &Message) -> AttemptOutcome {
    match answer.status {
        200 => AttemptOutcome::Succeeded,
        503 | 504 if answer.header("srv-declined") == Some("1") => AttemptOutcome::Rejected,
        _ => AttemptOutcome::Error,
    }
}

/// The load report, in the order of the settings' fields.
pub fn load(answer: &Message, fields: &[String]) -> Vec<Option<f64>> {
    let Some(report) = answer.header("srv-load") else { return Vec::new() };
    fields.iter().map(|field| http::figure(report, field)?.parse().ok()).collect()
}
