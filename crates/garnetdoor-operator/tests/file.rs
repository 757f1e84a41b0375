//! The operator file: how it is parsed, and which errors are reported.

use garnetdoor_operator::{OperatorConfig, parse, schema};

/// The errors of an invalid file, as text.
fn errors_of(text: &str) -> Vec<String> {
    let known = ["view-album".to_owned(), "order-prints".to_owned()];
    parse(text, Some(&known)).expect_err("an invalid file").iter().map(ToString::to_string).collect()
}

#[test]
fn an_empty_file_enables_nothing_and_defaults_complete_a_section() {
    assert_eq!(parse("{}", None), Ok(OperatorConfig::default()));
    let file =
        parse(r#"{"websocket": {"profiles": ["view-album"], "ping_ms": 100}}"#, None).expect("a valid file");
    let limits = file.websocket.expect("the websocket section").session_limits();
    assert_eq!((limits.ping_after, limits.idle_timeout, limits.drain_period), (100_000, None, 10_000_000));
}

#[test]
fn all_errors_are_reported_together_with_their_places() {
    let text = r#"{"websocket": {"profiles": ["view-album", "dance"], "ping_ms": "soon", "drain_ms": -1,
        "pings": 3, "come_back_ms": [5]}, "dns": {}}"#;
    let errors = errors_of(text);
    for expected in [
        r#"/websocket/ping_ms: found "soon", expected integer"#,
        "/websocket/drain_ms: found -1, expected 0 at least",
        "/websocket/come_back_ms: found [5], expected 2 entries at least",
        "/dns: found an unknown key, expected one of websocket",
    ] {
        assert!(errors.iter().any(|line| line == expected), "{expected} not in {errors:#?}");
    }
    let suggestion = "/websocket/pings: found an unknown key, expected a known one, perhaps ping_ms";
    assert!(errors.iter().any(|line| line == suggestion), "{errors:#?}");
    // Not an error by the schema, and reported together with those that are.
    let unknown_profile = r#"/websocket/profiles/1: found "dance", expected one of view-album, order-prints"#;
    assert!(errors.iter().any(|line| line == unknown_profile), "{errors:#?}");
    assert!(
        errors_of(r#"{"websocket": {"profiles": ["view-album"], "quite_else": 1}}"#)[0]
            .contains("one of close_ms, ")
    );
}

#[test]
fn what_a_schema_cannot_express_is_checked_too() {
    let text = r#"{"websocket": {"profiles": ["view-album", "dance"], "ping_ms": 9000, "silence_ms": 8000,
        "come_back_ms": [9, 3], "pass_headers": ["Cookie", "Connection", "a b"]}}"#;
    let errors = errors_of(text);
    for expected in [
        r#"/websocket/profiles/1: found "dance", expected one of view-album, order-prints"#,
        "/websocket/silence_ms: found 8000, expected more than ping_ms, 9000",
        "/websocket/come_back_ms: found [9,3], expected the least first",
    ] {
        assert!(errors.iter().any(|line| line == expected), "{expected} not in {errors:#?}");
    }
    assert_eq!(errors.iter().filter(|line| line.starts_with("/websocket/pass_headers/")).count(), 2);
    assert_eq!(errors_of("[]"), ["(file): found [], expected object"]);
    assert!(errors_of("{").iter().all(|line| line.starts_with("(file): found EOF")));
    assert_eq!(errors_of(r#"{"websocket": {}}"#).len(), 1, "a section without a profile is of no use");
}

#[test]
fn the_committed_schema_and_example_match_the_types() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/");
    let file = |name: &str| std::fs::read_to_string(format!("{folder}{name}")).expect("a committed file");
    let committed: serde_json::Value = serde_json::from_str(&file("operator.schema.json")).expect("JSON");
    assert_eq!(committed, schema(), "garnetdoor schema > deploy/operator.schema.json");
    let known = ["view".to_owned(), "order".to_owned()];
    assert!(parse(&file("operator.json"), Some(&known)).is_ok());
}
