//! By hand: bytes of a state that knows as many changes as it may, and the time of a change's digest.
//! `cargo run --release -p control-state --example measure`

use std::time::Instant;

use control_state::{Command, ControlState};
use types::{ConfigVersion, FormatVersion, LogIndex, SECOND};

fn main() {
    let text =
        |version: u32| format!(r#"{{"ConfigVersion":"{version:08x}","Remove":{{"RouteTable":["x"]}}}}"#);
    let first = r#"{"ConfigVersion":"00000001","ResourceSet":[{"ResourceType":"LimitSet","HeaderBlock":{},
        "SpecBody":{"MaxHeaderBytes":1,"MaxBodyBytes":1,"HeaderTimeoutS":1,"IdleTimeoutS":1}}]}"#;
    let mut script = ControlState::new();
    let mut lead = |now, command: &Command| {
        let (index, bytes) = (LogIndex(script.last_applied().0 + 1), script.encode_command(now, command));
        script.apply(now, index, &bytes);
        (script.snapshot().len(), script.idempotency_record_counts().1, bytes.len())
    };
    lead(0, &Command::AgreeFormat { format: FormatVersion::V2 });
    let (empty, ..) = lead(0, &Command::Replace { base: ConfigVersion(0), text: first.into() });
    println!("changes  remembered  bytes of the state beyond the configuration's {empty}");
    for n in 1..=5_000u32 {
        let command = Command::Modify { base: ConfigVersion(n), text: text(n + 1).into() };
        let (bytes, remembered, _) = lead(i64::from(n) * 10 * SECOND, &command);
        if [100, 1_000, 1_500, 5_000].contains(&n) {
            println!("{n:7}  {remembered:10}  {}", bytes - empty);
        }
    }
    let text = "{\"ResourceType\":\"RouteTable\"},".repeat(69_000).into_bytes();
    println!("a text of {} bytes, microseconds, the least of 20:", text.len());
    let best = |work: &dyn Fn() -> u128| {
        let once = |_| {
            let start = Instant::now();
            std::hint::black_box(work());
            start.elapsed().as_micros()
        };
        (0..20).map(once).min().unwrap_or_default()
    };
    println!("  xxh3, 128 bits        {}", best(&|| xxhash_rust::xxh3::xxh3_128(&text)));
    let fnv =
        |hash: u128, byte: &u8| (hash ^ u128::from(*byte)).wrapping_mul(0x0000000001000000000000000000013b);
    println!(
        "  FNV-1a, 128 bits      {}",
        best(&|| text.iter().fold(0x6c62272e07bb014262b821756295c58d, fnv))
    );
}
