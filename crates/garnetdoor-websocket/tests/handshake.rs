//! The opening handshake: what a client may offer and what a server may answer.

use garnetdoor_websocket::handshake::{
    ResponseError, UpgradeOffer, UpgradeRefusal, parse_offer, requests_websocket,
};
use test_case::test_case;

/// The key and its accept value of RFC 6455, section 1.3.
const KEY: &str = "dGhlIHNhbXBsZSBub25jZQ==";
const ACCEPT: &str = "s3pPLMBiTxaQ9kYGzzhZRbK+xOo=";

fn lines(text: &str) -> Vec<(String, String)> {
    let pairs = text.split('|').filter_map(|line| line.split_once(':'));
    pairs.map(|(name, value)| (name.to_lowercase(), value.trim().to_owned())).collect()
}

fn request(more: &str) -> Vec<(String, String)> {
    lines(&format!(
        "Upgrade: WebSocket|Connection: keep-alive, Upgrade|Sec-WebSocket-Key: {KEY}|Sec-WebSocket-Version: 13{more}"
    ))
}

fn offer(more: &str) -> UpgradeOffer {
    parse_offer("GET", 1, &request(more)).expect("a good offer")
}

#[test]
fn a_good_offer_passes_on_and_the_rfcs_answer_fits_it() {
    let offer = offer(
        "|Sec-WebSocket-Protocol: album, chat|Sec-WebSocket-Extensions: x-own, permessage-deflate; client_max_window_bits",
    );
    assert!(requests_websocket(&request("")) && !requests_websocket(&lines("Upgrade: h2c")));
    let asked = offer.request_headers();
    assert!(asked.contains("Sec-WebSocket-Protocol: album, chat\r\n"), "{asked}");
    assert!(asked.contains("Extensions: permessage-deflate; client_max_window_bits\r\n"), "{asked}");
    let answer = format!(
        "Upgrade: websocket|Connection: upgrade|Sec-WebSocket-Accept: {ACCEPT}|Sec-WebSocket-Protocol: chat\
         |Sec-WebSocket-Extensions: permessage-deflate; client_max_window_bits=10"
    );
    let agreed = offer.check_response(&lines(&answer)).expect("a right answer");
    assert!(agreed.allows_compression());
    let head = String::from_utf8(agreed.response_head()).expect("text");
    assert!(
        head.starts_with("HTTP/1.1 101 ") && head.contains(ACCEPT) && head.contains("Protocol: chat\r\n")
    );
}

#[test_case("GET", 1, "Connection: keep-alive", UpgradeRefusal::Malformed("Connection"); "no connection upgrade")]
#[test_case("POST", 1, "", UpgradeRefusal::Method; "not a get")]
#[test_case("GET", 0, "", UpgradeRefusal::Malformed("HTTP version"); "an old HTTP")]
#[test_case("GET", 1, "Sec-WebSocket-Version: 8", UpgradeRefusal::Version; "another version")]
#[test_case("GET", 1, "Sec-WebSocket-Key: c2hvcnQ=", UpgradeRefusal::Malformed("Sec-WebSocket-Key"); "a short key")]
#[test_case("GET", 1, "Sec-WebSocket-Key: ?", UpgradeRefusal::Malformed("Sec-WebSocket-Key"); "a key that is none")]
#[test_case("GET", 1, "Sec-WebSocket-Protocol: a, b c", UpgradeRefusal::Malformed("Sec-WebSocket-Protocol"); "no token")]
fn a_bad_offer_is_refused(method: &str, minor: u8, instead: &str, refusal: UpgradeRefusal) {
    let instead = lines(instead);
    let mut request = request("");
    request.retain(|(name, _)| !instead.iter().any(|(other, _)| other == name));
    request.extend(instead);
    assert_eq!(parse_offer(method, minor, &request), Err(refusal));
    assert!(refusal != UpgradeRefusal::Version || refusal.headers().contains("Sec-WebSocket-Version: 13"));
}

#[test]
fn a_key_told_twice_is_refused() {
    let request = request(&format!("|Sec-WebSocket-Key: {KEY}"));
    assert_eq!(parse_offer("GET", 1, &request), Err(UpgradeRefusal::Malformed("Sec-WebSocket-Key")));
}

#[test_case("", ResponseError::Accept; "no accept value")]
#[test_case("|Sec-WebSocket-Accept: c3BvaWx0", ResponseError::Accept; "a wrong one")]
#[test_case("|Sec-WebSocket-Accept: s3pPLMBiTxaQ9kYGzzhZRbK+xOo=|Sec-WebSocket-Protocol: shop", ResponseError::Protocol; "a protocol not offered")]
#[test_case("|Sec-WebSocket-Accept: s3pPLMBiTxaQ9kYGzzhZRbK+xOo=|Sec-WebSocket-Extensions: permessage-deflate", ResponseError::Extension; "an extension not offered")]
#[test_case("|Sec-WebSocket-Accept: s3pPLMBiTxaQ9kYGzzhZRbK+xOo=|Content-Length: 5", ResponseError::Framing; "a body")]
fn a_lie_is_known(more: &str, lie: ResponseError) {
    let answer = lines(&format!("Upgrade: websocket|Connection: upgrade{more}"));
    assert_eq!(offer("|Sec-WebSocket-Protocol: album").check_response(&answer), Err(lie));
    assert_eq!(
        offer("").check_response(&lines("Upgrade: h2c|Connection: upgrade")),
        Err(ResponseError::NoUpgrade)
    );
}

#[test_case("permessage-deflate; server_max_window_bits=12", "permessage-deflate", false; "asked for and not given")]
#[test_case("permessage-deflate; server_max_window_bits=12", "permessage-deflate; server_max_window_bits=13", false; "more than asked")]
#[test_case("permessage-deflate; server_max_window_bits=12", "permessage-deflate; server_max_window_bits=9", true; "less is fine")]
#[test_case("permessage-deflate", "permessage-deflate; client_max_window_bits=9", false; "not offered")]
#[test_case("permessage-deflate", "permessage-deflate; server_no_context_takeover", true; "a server's own choice")]
#[test_case("permessage-deflate", "permessage-deflate, permessage-deflate", false; "twice")]
fn parameters_answer_what_was_asked(asked: &str, answered: &str, right: bool) {
    let offer = offer(&format!("|Sec-WebSocket-Extensions: {asked}"));
    let answer = format!(
        "Upgrade: websocket|Connection: upgrade|Sec-WebSocket-Accept: {ACCEPT}|Sec-WebSocket-Extensions: {answered}"
    );
    assert_eq!(offer.check_response(&lines(&answer)).is_ok(), right);
}
