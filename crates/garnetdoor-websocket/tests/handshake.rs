//! The opening handshake: what a client may offer and how a server may respond.

use garnetdoor_websocket::handshake::{
    ResponseError, UpgradeOffer, UpgradeRefusal, parse_offer, requests_websocket,
};
use test_case::test_case;

/// The key of the example in RFC 6455, section 1.3, and its accept value.
const KEY: &str = "dGhlIHNhbXBsZSBub25jZQ==";
const ACCEPT: &str = "s3pPLMBiTxaQ9kYGzzhZRbK+xOo=";

/// Header lines from `Name: value` pairs separated by `|`.
fn lines(text: &str) -> Vec<(String, String)> {
    let pairs = text.split('|').filter_map(|line| line.split_once(':'));
    pairs.map(|(name, value)| (name.to_lowercase(), value.trim().to_owned())).collect()
}

/// A valid upgrade request with more header lines.
fn request(more: &str) -> Vec<(String, String)> {
    lines(&format!(
        "Upgrade: WebSocket|Connection: keep-alive, Upgrade|Sec-WebSocket-Key: {KEY}|Sec-WebSocket-Version: 13{more}"
    ))
}

/// The offer of a valid upgrade request with more header lines.
fn offer(more: &str) -> UpgradeOffer {
    parse_offer("GET", 1, &request(more)).expect("a valid offer")
}

#[test]
fn a_valid_offer_is_passed_on_and_the_example_response_of_the_rfc_agrees() {
    let offer = offer(
        "|Sec-WebSocket-Protocol: album, chat|Sec-WebSocket-Extensions: x-own, permessage-deflate; client_max_window_bits",
    );
    assert!(requests_websocket(&request("")) && !requests_websocket(&lines("Upgrade: h2c")));
    let headers = offer.request_headers();
    assert!(headers.contains("Sec-WebSocket-Protocol: album, chat\r\n"), "{headers}");
    assert!(headers.contains("Extensions: permessage-deflate; client_max_window_bits\r\n"), "{headers}");
    let response = format!(
        "Upgrade: websocket|Connection: upgrade|Sec-WebSocket-Accept: {ACCEPT}|Sec-WebSocket-Protocol: chat\
         |Sec-WebSocket-Extensions: permessage-deflate; client_max_window_bits=10"
    );
    let agreement = offer.check_response(&lines(&response)).expect("a valid response");
    assert!(agreement.allows_compression());
    let head = String::from_utf8(agreement.response_head()).expect("text");
    assert!(
        head.starts_with("HTTP/1.1 101 ") && head.contains(ACCEPT) && head.contains("Protocol: chat\r\n")
    );
}

#[test_case("GET", 1, "Connection: keep-alive", UpgradeRefusal::Malformed("Connection"); "no connection upgrade")]
#[test_case("POST", 1, "", UpgradeRefusal::Method; "not GET")]
#[test_case("GET", 0, "", UpgradeRefusal::Malformed("HTTP version"); "an old HTTP version")]
#[test_case("GET", 1, "Sec-WebSocket-Version: 8", UpgradeRefusal::Version; "another version")]
#[test_case("GET", 1, "Sec-WebSocket-Key: c2hvcnQ=", UpgradeRefusal::Malformed("Sec-WebSocket-Key"); "a short key")]
#[test_case("GET", 1, "Sec-WebSocket-Key: ?", UpgradeRefusal::Malformed("Sec-WebSocket-Key"); "a key that is not base64")]
#[test_case("GET", 1, "Sec-WebSocket-Protocol: a, b c", UpgradeRefusal::Malformed("Sec-WebSocket-Protocol"); "not a token")]
fn an_invalid_offer_is_refused(method: &str, minor_version: u8, replacement: &str, refusal: UpgradeRefusal) {
    let replacement = lines(replacement);
    let mut request = request("");
    request.retain(|(name, _)| !replacement.iter().any(|(other, _)| other == name));
    request.extend(replacement);
    assert_eq!(parse_offer(method, minor_version, &request), Err(refusal));
    assert!(refusal != UpgradeRefusal::Version || refusal.headers().contains("Sec-WebSocket-Version: 13"));
}

#[test]
fn a_repeated_key_is_refused() {
    let request = request(&format!("|Sec-WebSocket-Key: {KEY}"));
    assert_eq!(parse_offer("GET", 1, &request), Err(UpgradeRefusal::Malformed("Sec-WebSocket-Key")));
}

#[test_case("", ResponseError::Accept; "no accept value")]
#[test_case("|Sec-WebSocket-Accept: c3BvaWx0", ResponseError::Accept; "a wrong accept value")]
#[test_case("|Sec-WebSocket-Accept: s3pPLMBiTxaQ9kYGzzhZRbK+xOo=|Sec-WebSocket-Protocol: shop", ResponseError::Protocol; "a protocol not offered")]
#[test_case("|Sec-WebSocket-Accept: s3pPLMBiTxaQ9kYGzzhZRbK+xOo=|Sec-WebSocket-Extensions: permessage-deflate", ResponseError::Extension; "an extension not offered")]
#[test_case("|Sec-WebSocket-Accept: s3pPLMBiTxaQ9kYGzzhZRbK+xOo=|Content-Length: 5", ResponseError::Framing; "a body")]
fn an_invalid_response_is_detected(more: &str, error: ResponseError) {
    let response = lines(&format!("Upgrade: websocket|Connection: upgrade{more}"));
    assert_eq!(offer("|Sec-WebSocket-Protocol: album").check_response(&response), Err(error));
    assert_eq!(
        offer("").check_response(&lines("Upgrade: h2c|Connection: upgrade")),
        Err(ResponseError::NoUpgrade)
    );
}

#[test_case("permessage-deflate; server_max_window_bits=12", "permessage-deflate", false; "requested and not granted")]
#[test_case("permessage-deflate; server_max_window_bits=12", "permessage-deflate; server_max_window_bits=13", false; "more than requested")]
#[test_case("permessage-deflate; server_max_window_bits=12", "permessage-deflate; server_max_window_bits=9", true; "less than requested")]
#[test_case("permessage-deflate", "permessage-deflate; client_max_window_bits=9", false; "parameter not offered")]
#[test_case("permessage-deflate", "permessage-deflate; server_no_context_takeover", true; "parameter added by the server")]
#[test_case("permessage-deflate", "permessage-deflate, permessage-deflate", false; "extension repeated")]
fn the_responses_parameters_must_fit_the_offer(offered: &str, chosen: &str, is_valid: bool) {
    let offer = offer(&format!("|Sec-WebSocket-Extensions: {offered}"));
    let response = format!(
        "Upgrade: websocket|Connection: upgrade|Sec-WebSocket-Accept: {ACCEPT}|Sec-WebSocket-Extensions: {chosen}"
    );
    assert_eq!(offer.check_response(&lines(&response)).is_ok(), is_valid);
}
