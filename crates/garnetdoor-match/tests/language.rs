//! The language: the values of expressions, the errors of invalid ones, and that no evaluation exceeds the maximum cost.

use std::net::{IpAddr, Ipv4Addr};

use garnetdoor_match::syntax::{Comparison, Literal, Node, NodeKind, parse};
use garnetdoor_match::{ExprError, HeadLimits, Program, RequestHead, Type, Value};
use proptest::prelude::*;
use test_case::test_case;

const BUDGET: u64 = 1_000_000;

fn headers(pairs: &[(&str, &str)]) -> Vec<(String, String)> {
    pairs.iter().map(|(name, value)| ((*name).to_owned(), (*value).to_owned())).collect()
}

fn head<'a>(target: &'a str, headers: &'a [(String, String)]) -> RequestHead<'a> {
    let client = IpAddr::V4(Ipv4Addr::new(10, 1, 2, 3));
    RequestHead { method: "GET", target, headers, client, body_length: 12, upgrade: false }
}

fn program(text: &str, of: Type) -> Program {
    Program::compile(text, of, &HeadLimits::default(), BUDGET)
        .unwrap_or_else(|errors| panic!("{text}: {errors:?}"))
}

fn errors(text: &str) -> Vec<ExprError> {
    Program::compile(text, Type::Bool, &HeadLimits::default(), BUDGET).expect_err("an invalid expression")
}

#[test_case(r#"method == "GET" and path == "/view-album/7""#, true; "method and path")]
#[test_case(r#"(segment(0) ?? "") == "view-album""#, true; "a segment")]
#[test_case(r#"present(segment(5)) or not present(segment(1))"#, false; "absent segments")]
#[test_case(r#"(query("a") ?? "") == "1" and not present(query("b"))"#, true; "query parameters")]
#[test_case(r#"(header("X-Kind") ?? "") in ["slow", "FAST"]"#, true; "a header without case in a set")]
#[test_case(r#""two" in headers("x-many")"#, true; "repeated headers")]
#[test_case(r#"count(headers("x-many")) == 2 and count(headers("none")) == 0"#, true; "counts")]
#[test_case(r#"(cookie("guest") ?? "") == "anna""#, true; "a cookie")]
#[test_case(r#"client in ["10.0.0.0/8", "::1"]"#, true; "an address in a network")]
#[test_case(r#"client in ["10.1.2.4"]"#, false; "another address")]
#[test_case(r#"body_length + 3 - 5 == 10 and body_length >= 12"#, true; "sums")]
#[test_case(r#"1.5s > 1499ms and 20us < 1ms"#, true; "durations")]
#[test_case(r#"starts_with(path, "/view") and ends_with(path, "7") and contains(path, "alb")"#, true; "parts of a text")]
#[test_case(r#"matches(path, "^/view-(album|page)/[0-9]+$")"#, true; "a pattern")]
#[test_case(r#"lower(header("x-kind") ?? "") == "fast""#, true; "lower case")]
#[test_case(r#"(number(segment(1) ?? "") ?? -1) == 7"#, true; "a number in a text")]
#[test_case(r#"(number(segment(0) ?? "") ?? -1) == -1"#, true; "no number in a text")]
#[test_case(r#"(item(split(path, "-"), 1) ?? "") == "album/7""#, true; "an item of a split")]
#[test_case(r#"hash("a") == hash("a") and hash("a") != hash("b") and hash(path) >= 0"#, true; "hashes")]
#[test_case(r#"method + ":" + path == "GET:/view-album/7""#, true; "texts joined")]
#[test_case("true or false and false # or binds less than and", true; "precedence and a comment")]
#[test_case("not false == false", false; "not binds less than a comparison")]
#[test_case(r#"path == "a\"b\\c\n""#, false; "escapes")]
fn expressions_have_the_expected_value(text: &str, holds: bool) {
    let headers =
        headers(&[("x-kind", "FAST"), ("x-many", "one"), ("x-many", "two"), ("cookie", "a=b; guest=anna")]);
    let program = program(text, Type::Bool);
    assert_eq!(program.holds(&head("/view-album/7?a=1&a=2#b=3", &headers)), holds);
}

#[test_case("method = \"GET\"", 1, 8, "=\"", "a comparison"; "a single equals sign")]
#[test_case("true and\n  (false or", 2, 12, "the end", "an expression"; "an open parenthesis")]
#[test_case("method == \"GET", 1, 11, "\\\"", "an expression"; "an open text")]
#[test_case("metod == \"GET\"", 1, 1, "unknown name metod", "perhaps method"; "a misspelt name")]
#[test_case("start_with(path, \"/\")", 1, 1, "unknown function", "perhaps starts_with"; "a misspelt function")]
#[test_case("path == 3", 1, 9, "a number", "text"; "another type")]
#[test_case("header(\"x\") == \"a\"", 1, 1, "text that may be absent", "by ??"; "a value that may be absent")]
#[test_case("(path ?? \"a\") == \"b\"", 1, 2, "text", "may be absent"; "a default that is never used")]
#[test_case("path < \"b\"", 1, 1, "text", "numbers or durations"; "texts have no order")]
#[test_case("1s == 1", 1, 7, "a number", "a duration"; "no conversion")]
#[test_case("segment(path) == \"a\"", 1, 9, "path", "written out"; "an index that is no literal")]
#[test_case("matches(path, \"(a\")", 1, 15, "unclosed group", "pattern"; "an invalid pattern")]
#[test_case("matches(path, \"(a{1000}){1000}\")", 1, 15, "size", "pattern"; "a pattern too large")]
#[test_case("client in [\"10.0.0.0/40\"]", 1, 12, "10.0.0.0/40", "a network"; "an invalid network")]
#[test_case("body_length", 1, 1, "a number", "true or false"; "another type than wanted")]
#[test_case("length(path, path) == 1", 1, 1, "2 arguments", "1 for length"; "too many arguments")]
fn an_error_has_its_place_and_says_what_is_expected(
    text: &str, line: usize, column: usize, found: &str, expected: &str,
) {
    let errors = errors(text);
    let error = &errors[0];
    assert_eq!(error.line_and_column(text), (line, column), "{errors:?}");
    assert!(error.found.contains(found.trim_matches('"').trim_matches('\\')), "{errors:?}");
    assert!(error.expected.contains(expected), "{errors:?}");
}

#[test]
fn several_errors_are_reported_together_with_their_lines() {
    let text = "metod == \"GET\" and\n  path == 3 or not client";
    let errors = errors(text);
    assert_eq!(
        errors.iter().map(|error| error.line_and_column(text)).collect::<Vec<_>>(),
        [(1, 1), (2, 11), (2, 20)]
    );
    let displayed = errors[1].display("rules.json", text).to_string();
    assert_eq!(
        displayed,
        "rules.json:2:11: found a number, expected text\n      path == 3 or not client\n              ^"
    );
}

#[test]
fn an_expression_over_the_budget_is_refused_at_its_most_expensive_part() {
    let text = "method == \"GET\" and matches(header(\"x\") ?? \"\", \"(a|b|ab)*c{1,9}d\")";
    let errors =
        Program::compile(text, Type::Bool, &HeadLimits::default(), 5_000).expect_err("over the budget");
    assert_eq!(errors[0].line_and_column(text), (1, 21));
    assert!(
        errors[0].found.contains("units in the worst case") && errors[0].expected.starts_with("5000 units"),
        "{errors:?}"
    );
    assert!(
        Program::compile(text, Type::Bool, &HeadLimits { head_bytes: 256, header_lines: 8 }, 5_000).is_ok()
    );
}

#[test_case(&"(".repeat(20_000); "too long")]
#[test_case(&"(".repeat(3_000); "too deep")]
#[test_case(&"not ".repeat(3_000); "too many not")]
#[test_case(""; "nothing")]
fn a_text_that_would_recurse_too_deep_is_refused(text: &str) {
    assert_eq!(errors(text).len(), 1);
}

#[test]
fn adversarial_heads_do_not_exceed_the_maximum_cost() {
    let programs: Vec<_> = [
        r#"matches(header("x") ?? "", "(a+)+$") or matches(path, "(x|xx|xxx)*y")"#,
        r#"contains(header("x") ?? "", "aaaaaaaaab") and lower(path) == path"#,
        r#"(cookie("z") ?? "") in ["a", "aa", "aaaaaaaaaaaaaaaa"] or count(split(path, "/")) > 3"#,
        r#""b" in headers("x") or hash(path + (query("q") ?? "")) == 4"#,
    ]
    .iter()
    .map(|text| program(text, Type::Bool))
    .collect();
    for size in [0, 1, 100, 5_000, 16_000] {
        for byte in ["a", "x", "/", "é", "A", ";"] {
            let text = byte.repeat(size / byte.len());
            let target = format!("/{text}?q={byte}");
            let lines = headers(&[("x", &text), ("cookie", &format!("{text}=z; z={text}"))]);
            // Heads beyond the limits are not covered by the maximum cost.
            let is_within_limits = target.len() <= 16 * 1024 && 2 * text.len() + 8 <= 16 * 1024;
            for program in programs.iter().filter(|_| is_within_limits) {
                let (_, cost) = program.eval(&head(&target, &lines));
                assert!(cost.0 <= program.max_cost, "{cost:?} of {}", program.max_cost);
            }
        }
    }
}

/// Random expressions, to be formatted and parsed again.
fn tree() -> impl Strategy<Value = Node> {
    let node = |kind| Node { span: 0..0, kind };
    let literal = prop_oneof![
        any::<bool>().prop_map(Literal::Bool),
        (0..i64::MAX).prop_map(Literal::Number),
        (0..1_i64 << 50).prop_map(Literal::Duration),
        ".{0,12}".prop_map(Literal::Text),
    ];
    let leaf = prop_oneof![
        literal.prop_map(move |literal| node(NodeKind::Literal(literal))),
        "[a-z]{1,6}_[a-z]{0,3}".prop_map(move |name| node(NodeKind::Name(name))),
    ];
    leaf.prop_recursive(4, 24, 4, move |inner| {
        let several = || proptest::collection::vec(inner.clone(), 2..4);
        prop_oneof![
            several().prop_map(move |parts| node(NodeKind::Or(parts))),
            several().prop_map(move |parts| node(NodeKind::And(parts))),
            several().prop_map(move |parts| node(NodeKind::Coalesce(parts))),
            inner.clone().prop_map(move |part| node(NodeKind::Not(Box::new(part)))),
            (inner.clone(), inner.clone()).prop_map(move |(a, b)| node(NodeKind::Compare(
                Comparison::GreaterOrEqual,
                Box::new(a),
                Box::new(b)
            ))),
            ("[a-z]{1,5}_x", several()).prop_map(move |(name, parts)| node(NodeKind::Call(name, parts))),
        ]
    })
}

proptest! {
    #[test]
    fn the_compiler_never_panics(text in ".{0,200}") {
        let _ = Program::compile(&text, Type::Bool, &HeadLimits::default(), BUDGET);
    }

    #[test]
    fn a_formatted_expression_parses_to_the_same(tree in tree()) {
        let text = tree.to_string();
        let parsed = parse(&text).map_err(|error| TestCaseError::fail(format!("{text}: {error:?}")))?;
        prop_assert_eq!(parsed.to_string(), text);
    }

    #[test]
    fn no_head_exceeds_the_maximum_cost(target in "/[a-z/?&=%A-Z]{0,300}",
        values in proptest::collection::vec("[a-zA-Z=; ]{0,200}", 0..6)) {
        let lines: Vec<_> = values.iter().enumerate()
            .map(|(n, value)| (if n % 2 == 0 { "x" } else { "cookie" }.to_owned(), value.clone())).collect();
        let text = r#"lower(header("x") ?? path) == (cookie("a") ?? "") or count(split(query("a") ?? "", "=")) > 2
            or matches(path, "a.*b") or (segment(1) ?? "") in ["a", "b"]"#;
        let program = program(text, Type::Bool);
        let (value, cost) = program.eval(&head(&target, &lines));
        prop_assert!(matches!(value, Value::Bool(_)) && cost.0 <= program.max_cost);
    }
}
