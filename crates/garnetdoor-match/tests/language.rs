//! The language: what expressions are worth, what is said of faulty ones, and that no head costs more than the worst.

use std::net::{IpAddr, Ipv4Addr};

use garnetdoor_match::syntax::{Comparison, Literal, Node, Part, parse};
use garnetdoor_match::{Bounds, Fault, Head, Program, Type, Value};
use proptest::prelude::*;
use test_case::test_case;

const BUDGET: u64 = 1_000_000;

fn headers(pairs: &[(&str, &str)]) -> Vec<(String, String)> {
    pairs.iter().map(|(name, value)| ((*name).to_owned(), (*value).to_owned())).collect()
}

fn head<'a>(target: &'a str, headers: &'a [(String, String)]) -> Head<'a> {
    let client = IpAddr::V4(Ipv4Addr::new(10, 1, 2, 3));
    Head { method: "GET", target, headers, client, body_length: 12, upgrade: false }
}

fn program(text: &str, of: Type) -> Program {
    Program::read(text, of, &Bounds::default(), BUDGET).unwrap_or_else(|faults| panic!("{text}: {faults:?}"))
}

fn faults(text: &str) -> Vec<Fault> {
    Program::read(text, Type::Truth, &Bounds::default(), BUDGET).expect_err("a faulty expression")
}

#[test_case(r#"method == "GET" and path == "/view-album/7""#, true; "method and path")]
#[test_case(r#"(segment(0) ?? "") == "view-album""#, true; "a segment")]
#[test_case(r#"present(segment(5)) or not present(segment(1))"#, false; "absent segments")]
#[test_case(r#"(query("a") ?? "") == "1" and not present(query("b"))"#, true; "query parameters")]
#[test_case(r#"(header("X-Kind") ?? "") in ["slow", "FAST"]"#, true; "a header without case in a set")]
#[test_case(r#""two" in headers("x-many")"#, true; "repeated headers")]
#[test_case(r#"count(headers("x-many")) == 2 and count(headers("none")) == 0"#, true; "how many there are")]
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
fn expressions_hold_or_not(text: &str, holds: bool) {
    let headers =
        headers(&[("x-kind", "FAST"), ("x-many", "one"), ("x-many", "two"), ("cookie", "a=b; guest=anna")]);
    let program = program(text, Type::Truth);
    assert_eq!(program.holds(&head("/view-album/7?a=1&a=2#b=3", &headers)), holds);
}

#[test_case("method = \"GET\"", 1, 8, "=\"", "a comparison"; "a single equals sign")]
#[test_case("true and\n  (false or", 2, 12, "the end", "an expression"; "an open parenthesis")]
#[test_case("method == \"GET", 1, 11, "\\\"", "an expression"; "an open text")]
#[test_case("metod == \"GET\"", 1, 1, "unknown name metod", "perhaps method"; "a name with a slip")]
#[test_case("start_with(path, \"/\")", 1, 1, "unknown function", "perhaps starts_with"; "a function with a slip")]
#[test_case("path == 3", 1, 9, "a number", "text"; "another type")]
#[test_case("header(\"x\") == \"a\"", 1, 1, "text that may be absent", "by ??"; "what may be absent")]
#[test_case("(path ?? \"a\") == \"b\"", 1, 2, "text", "may be absent"; "a default that is never used")]
#[test_case("path < \"b\"", 1, 1, "text", "numbers or durations"; "texts have no order")]
#[test_case("1s == 1", 1, 7, "a number", "a duration"; "no conversion")]
#[test_case("segment(path) == \"a\"", 1, 9, "path", "written out"; "an index worked out")]
#[test_case("matches(path, \"(a\")", 1, 15, "unclosed group", "pattern"; "a pattern that is none")]
#[test_case("matches(path, \"(a{1000}){1000}\")", 1, 15, "size", "pattern"; "a pattern too large")]
#[test_case("client in [\"10.0.0.0/40\"]", 1, 12, "10.0.0.0/40", "a network"; "a network that is none")]
#[test_case("body_length", 1, 1, "a number", "true or false"; "not what is wanted")]
#[test_case("length(path, path) == 1", 1, 1, "2 arguments", "1 for length"; "too many arguments")]
fn a_fault_has_its_place_and_says_what_could_stand_there(
    text: &str, line: usize, column: usize, found: &str, expected: &str,
) {
    let told = faults(text);
    let fault = &told[0];
    assert_eq!(fault.place(text), (line, column), "{told:?}");
    assert!(fault.found.contains(found.trim_matches('"').trim_matches('\\')), "{told:?}");
    assert!(fault.expected.contains(expected), "{told:?}");
}

#[test]
fn several_faults_come_together_and_show_their_lines() {
    let text = "metod == \"GET\" and\n  path == 3 or not client";
    let told = faults(text);
    assert_eq!(told.iter().map(|fault| fault.place(text)).collect::<Vec<_>>(), [(1, 1), (2, 11), (2, 20)]);
    let shown = told[1].show("rules.json", text).to_string();
    assert_eq!(
        shown,
        "rules.json:2:11: found a number, expected text\n      path == 3 or not client\n              ^"
    );
}

#[test]
fn what_would_cost_too_much_is_refused_with_the_part_that_costs_most() {
    let text = "method == \"GET\" and matches(header(\"x\") ?? \"\", \"(a|b|ab)*c{1,9}d\")";
    let told = Program::read(text, Type::Truth, &Bounds::default(), 5_000).expect_err("too dear");
    assert_eq!(told[0].place(text), (1, 21));
    assert!(
        told[0].found.contains("units at the worst") && told[0].expected.starts_with("5000 units"),
        "{told:?}"
    );
    assert!(Program::read(text, Type::Truth, &Bounds { head: 256, headers: 8 }, 5_000).is_ok());
}

#[test_case(&"(".repeat(20_000); "too long")]
#[test_case(&"(".repeat(3_000); "too deep")]
#[test_case(&"not ".repeat(3_000); "too many not")]
#[test_case(""; "nothing")]
fn a_text_that_would_go_deep_is_refused(text: &str) {
    assert_eq!(faults(text).len(), 1);
}

#[test]
fn adversarial_heads_cost_no_more_than_the_worst() {
    let programs: Vec<_> = [
        r#"matches(header("x") ?? "", "(a+)+$") or matches(path, "(x|xx|xxx)*y")"#,
        r#"contains(header("x") ?? "", "aaaaaaaaab") and lower(path) == path"#,
        r#"(cookie("z") ?? "") in ["a", "aa", "aaaaaaaaaaaaaaaa"] or count(split(path, "/")) > 3"#,
        r#""b" in headers("x") or hash(path + (query("q") ?? "")) == 4"#,
    ]
    .iter()
    .map(|text| program(text, Type::Truth))
    .collect();
    for size in [0, 1, 100, 5_000, 16_000] {
        for byte in ["a", "x", "/", "é", "A", ";"] {
            let text = byte.repeat(size / byte.len());
            let target = format!("/{text}?q={byte}");
            let lines = headers(&[("x", &text), ("cookie", &format!("{text}=z; z={text}"))]);
            // Within the bounds that the worst case is for.
            let within = target.len() <= 16 * 1024 && 2 * text.len() + 8 <= 16 * 1024;
            for program in programs.iter().filter(|_| within) {
                let (_, spent) = program.eval(&head(&target, &lines));
                assert!(spent.0 <= program.worst, "{spent:?} of {}", program.worst);
            }
        }
    }
}

/// Expressions of any shape, to be printed and read back.
fn tree() -> impl Strategy<Value = Node> {
    let node = |part| Node { at: 0..0, part };
    let literal = prop_oneof![
        any::<bool>().prop_map(Literal::Truth),
        (0..i64::MAX).prop_map(Literal::Number),
        (0..1_i64 << 50).prop_map(Literal::Duration),
        ".{0,12}".prop_map(Literal::Text),
    ];
    let leaf = prop_oneof![
        literal.prop_map(move |literal| node(Part::Literal(literal))),
        "[a-z]{1,6}_[a-z]{0,3}".prop_map(move |name| node(Part::Name(name))),
    ];
    leaf.prop_recursive(4, 24, 4, move |inner| {
        let several = || proptest::collection::vec(inner.clone(), 2..4);
        prop_oneof![
            several().prop_map(move |parts| node(Part::Or(parts))),
            several().prop_map(move |parts| node(Part::And(parts))),
            several().prop_map(move |parts| node(Part::Default(parts))),
            inner.clone().prop_map(move |part| node(Part::Not(Box::new(part)))),
            (inner.clone(), inner.clone()).prop_map(move |(a, b)| node(Part::Compare(
                Comparison::AtLeast,
                Box::new(a),
                Box::new(b)
            ))),
            ("[a-z]{1,5}_x", several()).prop_map(move |(name, parts)| node(Part::Call(name, parts))),
        ]
    })
}

proptest! {
    #[test]
    fn the_reader_never_panics(text in ".{0,200}") {
        let _ = Program::read(&text, Type::Truth, &Bounds::default(), BUDGET);
    }

    #[test]
    fn what_was_printed_reads_back_as_the_same(tree in tree()) {
        let text = tree.to_string();
        let read = parse(&text).map_err(|fault| TestCaseError::fail(format!("{text}: {fault:?}")))?;
        prop_assert_eq!(read.to_string(), text);
    }

    #[test]
    fn any_head_is_worked_out_within_the_worst(target in "/[a-z/?&=%A-Z]{0,300}",
        values in proptest::collection::vec("[a-zA-Z=; ]{0,200}", 0..6)) {
        let lines: Vec<_> = values.iter().enumerate()
            .map(|(n, value)| (if n % 2 == 0 { "x" } else { "cookie" }.to_owned(), value.clone())).collect();
        let text = r#"lower(header("x") ?? path) == (cookie("a") ?? "") or count(split(query("a") ?? "", "=")) > 2
            or matches(path, "a.*b") or (segment(1) ?? "") in ["a", "b"]"#;
        let program = program(text, Type::Truth);
        let (value, spent) = program.eval(&head(&target, &lines));
        prop_assert!(matches!(value, Value::Truth(_)) && spent.0 <= program.worst);
    }
}
