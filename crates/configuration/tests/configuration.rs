//! Parsing, validation, changes and route look-ups of the operators' configuration.

use configuration::{ConfigVersion, Configuration, MAX_FAULTS, RolloutOrder, RouteKind};

fn route_entry(name: &str, host: &str, prefix: &str, fields: &str) -> String {
    format!(
        r#"{{"ResourceType":"RouteTable","HeaderBlock":{{"Name":"{name}"}},"SpecBody":{{"HostName":"{host}",
        "PathPrefix":"{prefix}","RouteType":"safe","TimeoutS":1.2,"TargetLatencyS":0.25,"Priority":2,
        "MaxAttempts":2,{fields}}}}}"#
    )
}

fn service_entry(name: &str) -> String {
    format!(
        r#"{{"ResourceType":"ServiceTable","HeaderBlock":{{"Name":"{name}"}},
        "SpecBody":{{"HealthPath":"/well","MaxConnections":94,"Tls":false}}}}"#
    )
}

const LIMITS: &str = r#"{"ResourceType":"LimitSet","HeaderBlock":{},"SpecBody":{"MaxHeaderBytes":16384,
    "MaxBodyBytes":67108864,"HeaderTimeoutS":3,"IdleTimeoutS":15.5}}"#;
const BOX_TARGET: &str = r#""TargetService":"box""#;

fn configuration_text(version: &str, entries: &[String]) -> String {
    format!(r#"{{"ConfigVersion":"{version}","ResourceSet":[{}]}}"#, entries.join(","))
}

fn valid_text() -> String {
    let split =
        r#""WeightedSplit":[{"TargetService":"box","Weight":90},{"TargetService":"stalls","Weight":0}]"#;
    let unknown_kind = r#"{"ResourceType":"Posters","Paper":"matt"}"#.to_owned();
    let entries = [
        route_entry("r-seats", "House.example:80", "/seats/", BOX_TARGET),
        route_entry("r-rows", "house.example", "/seats/rows/", split),
        unknown_kind,
        service_entry("box"),
        service_entry("stalls"),
        LIMITS.to_owned(),
    ];
    configuration_text("0000000C", &entries)
}

fn fault_texts(text: &str) -> String {
    Configuration::parse(text.as_bytes()).expect_err("must be refused").to_string()
}

#[test]
fn a_configuration_is_kept_as_sent_and_durations_are_in_microseconds() {
    let text = valid_text();
    let configuration = Configuration::parse(text.as_bytes()).unwrap();
    assert_eq!(configuration.to_json(), text.as_bytes());
    assert_eq!(configuration.version, ConfigVersion(12));
    let rows = &configuration.routes["r-rows"];
    assert_eq!(
        (rows.kind, rows.timeout, rows.target_latency, rows.priority),
        (RouteKind::Safe, 1_200_000, 250_000, 2)
    );
    assert_eq!(
        rows.targets.iter().map(|t| (&*t.service, t.weight)).collect::<Vec<_>>(),
        [("box", 90.0), ("stalls", 0.0)]
    );
    assert_eq!(configuration.services["box"].max_connections, 94);
    assert_eq!(configuration.limits.idle_timeout, 15_500_000);
}

#[test]
fn the_longest_prefix_of_the_host_is_found() {
    let configuration = Configuration::parse(valid_text().as_bytes()).unwrap();
    let find =
        |host: &str, path: &str| configuration.find_route(host, path).map(|route| route.name.to_string());
    assert_eq!(find("HOUSE.example:8641", "/seats/rows/7").as_deref(), Some("r-rows"));
    assert_eq!(find("house.example", "/seats/rows").as_deref(), Some("r-seats"));
    assert_eq!(find("house.example", "/seats").as_deref(), None);
    assert_eq!(find("house.example.org", "/seats/"), None);
    assert_eq!(find("house.example", &"/".repeat(100_000)), None);
    // Many routes, compared with a linear search.
    let (mut entries, mut expected_routes) = (vec![service_entry("box"), LIMITS.to_owned()], Vec::new());
    for n in 0..300usize {
        let (host, mut prefix) = (format!("h{}.example", n % 7), String::from("/"));
        for digit in format!("{:o}", n / 7).chars() {
            prefix.push_str(&format!("{digit}/"));
        }
        entries.push(route_entry(&format!("r{n}"), &host, &prefix, BOX_TARGET));
        expected_routes.push((host, prefix, format!("r{n}")));
    }
    let configuration = Configuration::parse(configuration_text("00000001", &entries).as_bytes()).unwrap();
    for n in 0..4000usize {
        let path: String = format!("/{:o}", n).chars().flat_map(|digit| [digit, '/']).skip(1).collect();
        let path = format!("/{path}x");
        let host = format!("h{}.example", n % 9);
        let matching = expected_routes.iter().filter(|route| route.0 == host && path.starts_with(&route.1));
        let expected = matching.max_by_key(|route| route.1.len()).map(|route| route.2.as_str());
        assert_eq!(
            configuration.find_route(&host, &path).map(|route| &*route.name),
            expected,
            "{host}{path}"
        );
    }
}

#[test]
fn every_kind_of_fault_is_refused_with_its_place() {
    let base = valid_text();
    let cases = [
        (r#""TargetService":"box"}}"#, r#""TargetService":"tent"}}"#),
        (r#""/seats/rows/""#, r#""/seats/""#),
        (r#""Weight":90"#, r#""Weight":0"#),
        (r#""Weight":90"#, r#""Weight":-1"#),
        (r#""MaxAttempts":2"#, r#""MaxAttempts":0"#),
        (r#""MaxAttempts":2"#, r#""MaxAttempts":1.5"#),
        (r#""RouteType":"safe""#, r#""RouteType":"Safe""#),
        (r#""TimeoutS":1.2,"#, ""),
        (r#""TimeoutS":1.2"#, r#""TimeoutS":-1"#),
        (r#""/seats/""#, r#""seats/""#),
        (r#""/seats/rows/""#, r#""/seats/rows""#),
        (r#""HostName":"house.example""#, r#""HostName":null"#),
        (r#""TargetService":"box"}"#, r#""WeightedSplit":[],"TargetService":"box"}"#),
        (r#""TargetService":"box"}"#, r#""Comment":"nowhere"}"#),
        (r#""r-rows""#, r#""r-seats""#),
        (r#"{"Name":"r-rows"}"#, "{}"),
        (r#""/well""#, r#""/well\r\nX: y""#),
        (r#""MaxConnections":94"#, r#""MaxConnections":"many""#),
        (r#""LimitSet""#, r#""Limits""#),
        (r#""0000000C""#, r#""c""#),
        (r#""0000000C""#, "12"),
        (r#""ResourceSet":["#, r#""ResourceSet":7,"Old":["#),
        (r#""Priority":2"#, r#""Priority":2,"Priority":1"#),
    ];
    let reports: Vec<String> = cases
        .into_iter()
        .map(|(from, to)| {
            assert!(base.contains(from), "{from}");
            format!("{to}\n    {}", fault_texts(&base.replacen(from, to, 1)))
        })
        .collect();
    insta::assert_snapshot!(reports.join("\n"));
}

#[test]
fn a_text_cut_short_anywhere_or_out_of_bounds_is_refused() {
    let text = valid_text();
    for end in 0..text.len() {
        assert!(Configuration::parse(&text.as_bytes()[..end]).is_err(), "cut at {end}");
    }
    for byte in [0u8, b'"', b'}', b']', b',', 0xff] {
        let mut with_extra_byte = text.clone().into_bytes();
        with_extra_byte.push(byte);
        assert!(Configuration::parse(&with_extra_byte).is_err(), "{byte} behind it");
    }
    let too_deep = format!(r#"{{"a":{}{}}}"#, "[".repeat(1_000_000), "]".repeat(1_000_000));
    assert!(fault_texts(&too_deep).contains("nested"));
    assert!(fault_texts(&" ".repeat(configuration::MAX_BYTES + 1)).contains("at most"));
    assert!(Configuration::parse_newer_than(text.as_bytes(), ConfigVersion(12)).is_err());
    assert!(Configuration::parse_newer_than(text.as_bytes(), ConfigVersion(11)).is_ok());
    let routes: Vec<String> =
        (0..50).map(|n| route_entry(&format!("r{n}"), "h", &format!("/{n}/"), BOX_TARGET)).collect();
    let faults = Configuration::parse(configuration_text("00000001", &routes).as_bytes()).unwrap_err();
    assert_eq!((faults.list.len(), faults.omitted), (MAX_FAULTS, 50 + 1 - MAX_FAULTS));
}

#[test]
fn a_change_keeps_entries_that_it_does_not_name_as_they_were_sent() {
    let configuration = Configuration::parse(valid_text().as_bytes()).unwrap();
    let upsert = |version: &str, entries: &str, remove: &str| {
        format!(r#"{{"ConfigVersion":"{version}","Upsert":{{"ResourceSet":[{entries}]}},"Remove":{remove}}}"#)
    };
    let entry =
        route_entry("r-rows", "house.example", "/rows/", r#""Note":"\u0001\"é","TargetService":"circle""#);
    let entries = format!("{entry},{}", service_entry("circle"));
    let text = upsert("0000000e", &entries, r#"{"RouteTable":["r-seats","r-unknown"],"Posters":["x"]}"#);
    let changed = configuration.with_change(text.as_bytes()).unwrap();
    assert_eq!(changed.routes.keys().collect::<Vec<_>>(), ["r-rows"]);
    assert_eq!(&*changed.find_route("house.example", "/rows/1").unwrap().targets[0].service, "circle");
    assert_eq!(changed.services.len(), 3);
    let written = String::from_utf8(changed.to_json()).unwrap();
    for kept in [r#""Paper":"matt""#, r#""Tls":false"#, r#""Note":"\u0001\"é""#, r#""TimeoutS":1.2"#] {
        assert!(written.contains(kept), "{kept}");
    }
    // Parsing the encoded configuration gives the same again, and so does the same change to either of them.
    let parsed = Configuration::parse(&changed.to_json()).unwrap();
    assert_eq!((&parsed.routes, &parsed.services), (&changed.routes, &changed.services));
    let next = br#"{"ConfigVersion":"00000010"}"#;
    assert_eq!(parsed.with_change(next).unwrap().to_json(), changed.with_change(next).unwrap().to_json());

    let refused = |text: &str| configuration.with_change(text.as_bytes()).unwrap_err().to_string();
    assert!(refused(r#"{"ConfigVersion":"0000000c"}"#).contains("above"));
    assert!(refused(&upsert("0000000e", "", r#"{"ServiceTable":["stalls"]}"#)).contains("stalls"));
    assert!(
        refused(&upsert("0000000e", &service_entry("box"), r#"{"ServiceTable":["box"]}"#)).contains("both")
    );
    assert!(refused(&upsert("0000000e", "", r#"{"ServiceTable":[7]}"#)).contains("Remove.ServiceTable[0]"));
    assert!(refused(&upsert("0000000e", LIMITS, r#"{"LimitSet":7}"#)).contains("Remove.LimitSet"));
    assert!(refused(&upsert("0000000e", "7", "{}")).contains("an object"));
    assert!(Configuration::from_change(text.as_bytes()).is_err());
    let all = valid_text().replacen(r#""ResourceSet":"#, r#""Upsert":{"ResourceSet":"#, 1) + "}";
    assert_eq!(Configuration::from_change(all.as_bytes()).unwrap().routes, configuration.routes);
}

#[test]
fn roll_out_orders_and_versions_are_parsed() {
    let order = RolloutOrder::parse(br#"{"TargetService":"box","TargetVersion":"v2","RolloutPeriodS":12.5}"#)
        .unwrap();
    assert_eq!(
        order,
        RolloutOrder { service: "box".into(), target_version: "v2".into(), period: 12_500_000 }
    );
    let faults = RolloutOrder::parse(br#"{"TargetService":"","RolloutPeriodS":"x"}"#).unwrap_err();
    assert_eq!(faults.list.len(), 3);
    assert!(faults.to_json().starts_with(br#"{"Faults":[{"Place":"TargetService","Expected":"a text of"#));
    assert_eq!(configuration::parse_version("0000000C"), Some(ConfigVersion(12)));
    assert_eq!(configuration::parse_base_version("0"), Some(ConfigVersion(0)));
    for invalid in ["", "+000000c", "0x00000c", "00000000c", "c"] {
        assert_eq!(configuration::parse_version(invalid), None, "{invalid}");
    }
}

#[test]
fn the_result_of_a_change_is_not_longer_than_what_can_be_parsed() {
    let long = format!(r#"{{"ResourceType":"Posters","Text":"{}"}}"#, "\\n".repeat(3 << 20));
    let text = valid_text().replace(r#"{"ResourceType":"Posters","Paper":"matt"}"#, &long);
    let base = Configuration::parse(text.as_bytes()).unwrap();
    // Each line break takes six bytes when it is encoded here, and took two in the text.
    let change = base.with_change(br#"{"ConfigVersion":"0000000D"}"#);
    let fault = change
        .map(|configuration| Configuration::parse(&configuration.to_json()).is_ok())
        .unwrap_err()
        .to_string();
    assert!(fault.contains("a whole of at most 8388608 bytes; there are 1887"), "{fault}");
}
