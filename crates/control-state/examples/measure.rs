//! Prints the size of a snapshot with many idempotency records, and the time that the digest of a change takes.
//!
//! Run by hand: `cargo run --release -p control-state --example measure`

use std::time::Instant;

use control_state::{Command, ControlState};
use types::{ConfigVersion, FormatVersion, LogIndex, SECOND};

fn main() {
    let text =
        |version: u32| format!(r#"{{"ConfigVersion":"{version:08x}","Remove":{{"RouteTable":["x"]}}}}"#);
    let first_configuration = r#"{"ConfigVersion":"00000001","ResourceSet":[{"ResourceType":"LimitSet","HeaderBlock":{},
        "SpecBody":{"MaxHeaderBytes":1,"MaxBodyBytes":1,"HeaderTimeoutS":1,"IdleTimeoutS":1}}]}"#;
    let mut state = ControlState::new();
    let mut apply = |now, command: &Command| {
        let (index, bytes) = (LogIndex(state.last_applied().0 + 1), state.encode_command(now, command));
        state.apply(now, index, &bytes);
        (state.snapshot().len(), state.idempotency_record_counts().1, bytes.len())
    };
    apply(0, &Command::AgreeFormat { format: FormatVersion::V2 });
    let (empty_bytes, ..) =
        apply(0, &Command::Replace { base: ConfigVersion(0), text: first_configuration.into() });
    println!("changes  records  snapshot bytes beyond the {empty_bytes} of the configuration alone");
    for n in 1..=5_000u32 {
        let command = Command::Modify { base: ConfigVersion(n), text: text(n + 1).into() };
        let (bytes, records, _) = apply(i64::from(n) * 10 * SECOND, &command);
        if [100, 1_000, 1_500, 5_000].contains(&n) {
            println!("{n:7}  {records:7}  {}", bytes - empty_bytes);
        }
    }
    let text = "{\"ResourceType\":\"RouteTable\"},".repeat(69_000).into_bytes();
    println!("digest of {} bytes in microseconds, fastest of 20 runs:", text.len());
    let fastest = |work: &dyn Fn() -> u128| {
        let measure_once = |_| {
            let start = Instant::now();
            std::hint::black_box(work());
            start.elapsed().as_micros()
        };
        (0..20).map(measure_once).min().unwrap_or_default()
    };
    println!("  xxh3, 128 bits        {}", fastest(&|| xxhash_rust::xxh3::xxh3_128(&text)));
    let fnv =
        |hash: u128, byte: &u8| (hash ^ u128::from(*byte)).wrapping_mul(0x0000000001000000000000000000013b);
    println!(
        "  FNV-1a, 128 bits      {}",
        fastest(&|| text.iter().fold(0x6c62272e07bb014262b821756295c58d, fnv))
    );
}
