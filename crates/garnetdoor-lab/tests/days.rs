//! Days of our own: the same seed draws the same, each point's days hold its troubles, inside the day.

use garnetdoor_lab::days::{Error, draw};
use test_case::test_case;
use toml::{Table, Value};

const SMALL: &str = r#"
length_s = 32.0
contracts = ["base", "rollout"]
services = [{ name = "box", slots = 2 }, { name = "office", slots = 2 }]
[[day]]
name = "quiet-1"
slot = "quiet"
seed = 7
one = 0.98
zero = 0.63
faults = []
plan = []
traffic = [{ zone = "a", per_s = 10.0 }]
[[day]]
name = "trouble-1"
slot = "trouble"
traffic = [{ zone = "a", per_s = 20.0 }]
"#;

fn entries(day: &str) -> Vec<Table> {
    let day: Table = day.parse().unwrap();
    let of = |key: &str| day[key].as_array().unwrap().clone();
    [of("plan"), of("faults")].concat().into_iter().map(|one| one.try_into().unwrap()).collect()
}

fn kinds(days: &[(String, String)]) -> Vec<String> {
    let of = |entry: &Table| entry["kind"].as_str().unwrap().to_owned();
    days.iter().flat_map(|(_, day)| entries(day)).map(|entry| of(&entry)).collect()
}

#[test_case(1, &["core_cut", "config_race", "roll_term"]; "cut off")]
#[test_case(2, &["config_race", "ack_lost", "after_ack_kill"]; "repeats")]
#[test_case(3, &["replace_core", "after_ack_wipe", "herd_kill", "seed_turnover"]; "repairs")]
#[test_case(4, &["core_cut", "node_kill", "config_change", "disk_stall"]; "returns")]
#[test_case(5, &["answer_lost", "garble", "reset_conns", "replace_with_reuse"]; "exchanges")]
fn a_points_days_bring_it_about_and_repeat(point: u8, wanted: &[&str]) {
    let days = draw(SMALL, point, 3, 25).unwrap();
    assert_eq!(days, draw(SMALL, point, 3, 25).unwrap());
    assert_ne!(days, draw(SMALL, point, 4, 25).unwrap());
    let kinds = kinds(&days);
    for kind in wanted {
        assert!(kinds.iter().any(|one| one == kind), "no {kind}");
    }
    for (name, day) in &days {
        let outside = |entry: &Table| !(0.0..32.0).contains(&entry["at"].as_float().unwrap());
        assert!(!entries(day).iter().any(outside), "{name}");
        let day: Table = day.parse().unwrap();
        assert_eq!(
            day["traffic"][0]["per_s"],
            Value::Float(20.0),
            "{name}: the traffic of a day with troubles"
        );
        assert_eq!(day["one"], Value::Float(0.98), "{name}: the marks of the quiet day");
    }
}

#[test]
fn kinds_come_only_where_the_contracts_have_them() {
    let small = kinds(&draw(SMALL, 5, 1, 10).unwrap());
    assert!(!small.iter().any(|kind| kind == "idle_race" || kind == "srv_grey"));
    let grown = SMALL.replace(r#""base""#, r#""base", "health", "pool""#);
    let grown = kinds(&draw(&grown, 5, 1, 10).unwrap());
    assert!(["idle_race", "srv_grey"].iter().all(|wanted| grown.iter().any(|kind| kind == wanted)));
}

#[test]
fn what_cant_be_drawn_is_said() {
    assert!(matches!(draw("length_s = ", 1, 1, 1), Err(Error::Site(_))));
    assert!(matches!(draw("length_s = 3.0", 1, 1, 1), Err(Error::Lacks("days"))));
    assert!(matches!(draw(&SMALL.replace("\"quiet\"", "\"calm\""), 1, 1, 1), Err(Error::Lacks("quiet day"))));
    assert!(matches!(draw(SMALL, 6, 1, 1), Err(Error::Point(6))));
}
