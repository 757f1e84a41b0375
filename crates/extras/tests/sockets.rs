//! The hollow fleet over sockets: a small one comes up and changes come into force, with real processes on loopback; what
//! the processes tell is added up as told.

use std::process::Command;

use extras::sockets::{Plan, Told, rows};

fn plan() -> Plan {
    Plan {
        gateways: 6,
        prompters: 3,
        instances: 12,
        services: 2,
        routes: 10,
        processes: 2,
        start: 8,
        steady: 2,
        change: 2,
        seed: 1,
    }
}

#[test]
fn a_small_fleet_over_sockets_comes_up_and_two_changes_are_in_force() {
    let args = "sockets --gateways 6 --prompters 3 --instances 12 --services 2 --routes 10 --processes 2 --start 8 --steady 2 \
                --change 2";
    let ran = Command::new(env!("CARGO_BIN_EXE_playhouse-extras")).args(args.split_whitespace()).output();
    let ran = ran.expect("the program runs");
    let text = String::from_utf8_lossy(&ran.stdout).into_owned();
    assert!(ran.status.success(), "{text}{}", String::from_utf8_lossy(&ran.stderr));
    for phase in ["start", "replace", "modify"] {
        let line = text.lines().find(|line| line.starts_with(phase) && line.contains("gateway"));
        assert!(line.is_some_and(|line| line.contains(" 6 after ")), "{phase}: {text}");
    }
    let steady = text.lines().find(|line| line.starts_with("steady") && line.contains("gateway"));
    let steady: Vec<&str> = steady.expect("a calm span").split_whitespace().collect();
    // Ready, all nodes known, all instances known.
    assert_eq!(steady[9..12], ["6", "6", "6"], "{text}");
}

#[test]
fn what_processes_tell_is_summed_up_by_phase_and_by_kind() {
    let told = |process, nodes, bytes, busiest, in_force: &[u64]| Told {
        process,
        phase: "replace".to_owned(),
        nodes,
        seconds: 2.0,
        words_in: 10,
        words_out: 10,
        bytes_in: bytes,
        bytes_out: bytes,
        busiest_bytes: busiest,
        cpu_s: 0.1,
        ready: nodes,
        ordered: (process == 0).then_some(1_000_000),
        in_force: in_force.to_vec(),
        beats: if process == 0 { 40 } else { 0 },
        ..Told::default()
    };
    let all = [
        told(0, 3, 3_000, 4_000, &[]),
        told(1, 3, 600, 500, &[1_100_000, 1_300_000, 1_200_000]),
        told(2, 3, 600, 700, &[1_400_000, 2_500_000]),
    ];
    let rows = rows(&plan(), &all);
    assert_eq!(rows.len(), 2, "{rows:?}");
    let (hubs, gateways) = (&rows[0], &rows[1]);
    assert!(!hubs.gateways && gateways.gateways);
    assert_eq!((hubs.bytes_s, hubs.beats_s, hubs.in_force), (1_000.0, 20.0, None));
    assert_eq!((gateways.nodes, gateways.bytes_s, gateways.busiest_bytes_s), (6, 200.0, 350.0));
    assert_eq!(gateways.in_force, Some((0.3, 1.5, 5)));
}

#[test]
fn a_plan_that_no_machine_plays_is_refused() {
    for wrong in [
        Plan { gateways: 0, ..plan() },
        Plan { gateways: 1_600, ..plan() },
        Plan { processes: 0, ..plan() },
        Plan { start: 2, ..plan() },
    ] {
        assert!(wrong.check().is_err(), "{wrong:?}");
    }
    assert!(plan().check().is_ok());
}
