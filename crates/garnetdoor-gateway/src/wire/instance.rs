//! Requests to servers, and what their responses mean for an attempt.

use std::net::SocketAddr;

use garnetdoor::host::{AttemptOutcome, Micros};

use super::client::ForwardedRequest;
use super::http::{self, Message};

const MICROS_PER_MS: Micros = 1_000;

/// A client's request as it is sent to a server, with method, target, id and body unchanged. `time_left` is
/// the time that the server has to answer; it is sent in whole milliseconds, and at least one.
pub fn attempt_request(request: &ForwardedRequest, server: SocketAddr, time_left: Micros) -> Vec<u8> {
    let ForwardedRequest { method, target, id, body, upgrade } = request;
    let deadline_ms = (time_left / MICROS_PER_MS).max(1);
    let length = if body.is_empty() && method == "GET" {
        String::new()
    } else {
        format!("Content-Length: {}\r\n", body.len())
    };
    let upgrade_lines =
        upgrade.as_ref().map(|upgrade| upgrade.offer.request_headers() + &upgrade.passed_headers);
    let upgrade_lines = upgrade_lines.unwrap_or_default();
    let head = format!(
        "{method} {target} HTTP/1.1\r\nHost: {server}\r\n\
         Req-Id: {id}\r\nReq-Deadline-Ms: {deadline_ms}\r\n{length}{upgrade_lines}\r\n"
    );
    [head.as_bytes(), body].concat()
}

/// The request that only checks whether a server answers.
pub fn probe_request(server: SocketAddr) -> Vec<u8> {
    format!("GET /ping HTTP/1.1\r\nHost: {server}\r\n\r\n").into_bytes()
}

/// How a response ends an attempt. A status that the protocol does not define says nothing about whether the
/// request was executed.
pub fn attempt_outcome(response: &Message) -> AttemptOutcome {
    match response.status {
        200 => AttemptOutcome::Succeeded,
        503 | 504 if response.header("srv-declined") == Some("1") => AttemptOutcome::Rejected,
        _ => AttemptOutcome::Error,
    }
}

/// The values of the response's load report, in the order of `fields`; empty if there is no report.
pub fn load_report(response: &Message, fields: &[String]) -> Vec<Option<f64>> {
    let Some(report) = response.header("srv-load") else { return Vec::new() };
    fields.iter().map(|field| http::list_value(report, field)?.parse().ok()).collect()
}
