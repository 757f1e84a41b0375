//! Rules and limit groups: how requests are classified, and whether they pass.

use std::net::{IpAddr, Ipv4Addr};

use garnetdoor::host::ProfileId;
use garnetdoor_match::{HeadLimits, RequestHead};
use garnetdoor_routes::groups::{Groups, Limit, RateLimit};
use garnetdoor_routes::rules::{Profile, Route, RuleError, RuleText, Rules};

const SECOND: i64 = 1_000_000;

fn profiles() -> Vec<Profile> {
    [("view-album", true), ("order-prints", false)]
        .map(|(name, repeatable)| Profile { name: name.to_owned(), repeatable })
        .to_vec()
}

fn rule(when: &str, profile: &str) -> RuleText {
    RuleText { when: when.to_owned(), profile: profile.to_owned(), ..RuleText::default() }
}

fn compile(texts: &[RuleText]) -> Result<Rules, Vec<RuleError>> {
    Rules::compile(texts, &profiles(), &["guests".to_owned()], &HeadLimits::default(), 100_000)
}

fn rules(texts: &[RuleText]) -> Rules {
    compile(texts).unwrap_or_else(|errors| panic!("{errors:?}"))
}

fn head<'a>(method: &'a str, target: &'a str, headers: &'a [(String, String)]) -> RequestHead<'a> {
    let client = IpAddr::V4(Ipv4Addr::LOCALHOST);
    RequestHead { method, target, headers, client, body_length: 0, upgrade: false }
}

const VIEW: &str = r#"method == "GET" and (segment(0) ?? "") == "view-album""#;
const ORDER: &str = r#"method == "POST" and starts_with(path, "/order-prints/")"#;

#[test]
fn the_first_rule_that_holds_classifies_a_request() {
    let mut slow = rule(r#"method == "GET" and (header("x-pace") ?? "") == "slow""#, "view-album");
    slow.key = Some(r#"query("album") ?? path"#.to_owned());
    slow.party = Some(r#"header("x-guest") ?? "nobody""#.to_owned());
    slow.deadline = Some("1.5s + 500ms".to_owned());
    slow.group = Some("guests".to_owned());
    let rules = rules(&[slow, rule(VIEW, "view-album"), rule(ORDER, "order-prints")]);
    assert_eq!(rules.warnings, []);
    let lines = [("x-pace".to_owned(), "slow".to_owned())];
    let route = rules.route(&head("GET", "/view-album/1?album=7", &lines)).0;
    let expected = Route {
        rule: 0,
        profile: ProfileId(0),
        key: Some("7".to_owned()),
        party: Some("nobody".to_owned()),
        deadline: Some(2 * SECOND),
        group: Some(0),
    };
    assert_eq!(route, Some(expected));
    let which = |method, target| rules.route(&head(method, target, &[])).0.map(|route| route.rule);
    assert_eq!(which("GET", "/view-album"), Some(1));
    assert_eq!(which("POST", "/order-prints/3"), Some(2));
    // Paths are compared as received, so that another spelling of a path does not match.
    for target in
        ["/order-prints", "//order-prints/3", "/./order-prints/3", "/order%2Dprints/3", "/Order-prints/3"]
    {
        assert_eq!(which("POST", target), None, "{target}");
    }
}

#[test]
fn a_thousand_rules_cost_hardly_more_than_ten() {
    let many = |count: usize| {
        let one = |n: usize| {
            rule(&format!(r#"method == "GET" and (segment(0) ?? "") == "album-{n}""#), "view-album")
        };
        rules(&(0..count).map(one).collect::<Vec<_>>())
    };
    let [few, all] = [10, 1_000].map(many);
    let cost_of = |rules: &Rules, n: usize| {
        let (route, cost) = rules.route(&head("GET", &format!("/album-{n}/x"), &[]));
        assert_eq!(route.map(|route| route.rule), Some(n));
        cost.0
    };
    assert!(cost_of(&all, 999) <= 2 * cost_of(&few, 9));
}

#[test]
fn narrowing_by_the_first_segment_changes_no_outcome() {
    let texts = [
        rule(r#"(segment(0) ?? "a") == "a" and method == "GET""#, "view-album"),
        rule(r#"path in ["/b", "/c/d"] and method == "GET""#, "view-album"),
        rule(r#"(starts_with(path, "/e") or path == "/f") and method == "GET""#, "view-album"),
        rule(r#"(starts_with(path, "/g/") or (segment(0) ?? "") == "h") and method == "GET""#, "view-album"),
        rule(r#"not ((segment(0) ?? "") == "z") and method == "GET""#, "view-album"),
    ];
    let (together, alone) = (rules(&texts), texts.clone().map(|text| rules(&[text])));
    for target in [
        "", "/", "/a", "/a/b", "/b", "/c/d", "/c", "/e", "/ef", "/f", "/f/g", "/g", "/g/h", "/h/i", "/z", "*",
    ] {
        let head = head("GET", target, &[]);
        let first = alone.iter().position(|one| one.route(&head).0.is_some());
        assert_eq!(together.route(&head).0.map(|route| route.rule), first, "{target}");
    }
}

#[test]
fn errors_of_all_rules_are_reported_together_with_their_places() {
    let mut invalid = rule("path == 3", "view-albun");
    invalid.deadline = Some("3".to_owned());
    invalid.group = Some("gests".to_owned());
    let errors =
        compile(&[rule(VIEW, "view-album"), invalid, rule("true and", "view-album")]).err().expect("errors");
    let reported: Vec<_> = errors.iter().map(ToString::to_string).collect();
    let starts = [
        "rules/1/when:1:9:",
        "rules/1/agreed:1:1:",
        "rules/1/profile:1:1:",
        "rules/1/group:1:1:",
        "rules/2/when:1:9:",
    ];
    assert_eq!(reported.len(), starts.len(), "{reported:#?}");
    assert!(reported.iter().zip(starts).all(|(line, start)| line.starts_with(start)), "{reported:#?}");
}

#[test]
fn unreachable_rules_and_profiles_that_do_not_fit_their_methods_are_warned_of() {
    let texts = [
        rule(r#"method == "GET" and path == "/o""#, "order-prints"),
        rule(r#"method == "POST" and path == "/v""#, "view-album"),
        rule(r#"method == "POST" and path == "/v""#, "view-album"),
        rule("true", "view-album"),
        rule(VIEW, "view-album"),
    ];
    let warned: Vec<_> = rules(&texts).warnings.iter().map(|w| (w.rule, w.error.found.clone())).collect();
    assert_eq!(warned.iter().map(|(rule, _)| *rule).collect::<Vec<_>>(), [0, 1, 2, 2, 4], "{warned:?}");
    assert!(warned[4].1.contains("behind rule 3"));
}

/// Limits with a rate as requests per second and burst.
fn limit(rate: Option<(f64, f64)>, max_concurrent: Option<usize>, by_key: bool) -> Limit {
    let rate = rate.map(|(per_second, burst)| RateLimit { per_second, burst });
    Limit { rate, max_concurrent, by_key, max_keys: 100 }
}

#[test]
fn a_rate_is_kept_within_two_percent_and_a_burst_passes_once() {
    let mut groups = Groups::new(vec![limit(Some((50.0, 10.0)), None, false)], 1);
    let at_once = (0..40).filter(|_| groups.acquire(0, 0, None).is_ok()).count();
    assert_eq!(at_once, 10);
    // Requests at three times the rate, for 20 s.
    let passed = (0..3_000).filter(|n| groups.acquire(SECOND + n * 6_667, 0, None).is_ok()).count();
    assert!((980..=1_030).contains(&passed), "{passed} passed, for 1000 and the burst");
}

#[test]
fn retry_times_of_rejected_requests_are_spread_and_then_they_pass() {
    let mut groups = Groups::new(vec![limit(Some((10.0, 1.0)), None, false)], 3);
    assert!(groups.acquire(0, 0, None).is_ok());
    let waits: Vec<_> =
        (0..50).map(|_| groups.acquire(0, 0, None).expect_err("no room").retry_after).collect();
    assert!(waits.iter().all(|wait| (100_000..=200_000).contains(wait)), "{waits:?}");
    let (least, most) = (waits.iter().min().expect("some"), waits.iter().max().expect("some"));
    assert!(most - least > 70_000);
    assert!(groups.acquire(*least, 0, None).is_ok());
}

#[test]
fn requests_in_flight_are_limited_by_key_until_they_are_released() {
    let mut groups = Groups::new(vec![limit(None, Some(2), true)], 1);
    let first = groups.acquire(0, 0, Some("anna")).expect("room");
    let _second = groups.acquire(0, 0, Some("anna")).expect("room");
    assert!(groups.acquire(0, 0, Some("anna")).is_err_and(|rejected| rejected.retry_after >= 100_000));
    assert!(groups.acquire(0, 0, Some("ben")).is_ok());
    groups.release(first);
    assert!(groups.acquire(0, 0, Some("anna")).is_ok());
}

#[test]
fn endless_keys_take_bounded_memory_and_do_not_evade_the_limit() {
    let mut groups = Groups::new(vec![limit(Some((1.0, 1.0)), None, true)], 1);
    let mut passed = 0;
    let passes = (0..10_000)
        .filter(|n| groups.acquire(n * 10, 0, Some(&n.to_string())).map(|p| groups.release(p)).is_ok());
    passed += passes.count();
    assert!(groups.bucket_count(0) <= 101, "{}", groups.bucket_count(0));
    // A hundred keys have buckets of their own; all others share one.
    assert_eq!(passed, 101);
    // Once those are idle they are forgotten for new keys.
    assert!(groups.acquire(5 * SECOND, 0, Some("late")).is_ok() && groups.bucket_count(0) == 1);
}

#[test]
fn a_reload_keeps_the_counts_of_remaining_groups() {
    let mut groups = Groups::new(vec![limit(None, Some(1), false)], 1);
    let permit = groups.acquire(0, 0, None).expect("room");
    groups.reload(vec![limit(None, Some(2), false), limit(None, Some(1), false)]);
    assert!(groups.acquire(0, 0, None).is_ok() && groups.acquire(0, 0, None).is_err());
    assert!(groups.acquire(0, 1, None).is_ok());
    groups.reload(vec![limit(None, Some(2), false)]);
    groups.release(permit);
    assert!(groups.acquire(0, 0, None).is_ok());
}
