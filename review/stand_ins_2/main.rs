//! `stage CASE RECORD`: plays one case. Exit code 1: the rule was broken; 0: it held; 2: the case couldn't run.

#![allow(dead_code)]

mod aim;
mod completed;
mod returned;
mod stage;
mod stopped;

use std::path::PathBuf;
use std::time::Duration;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, path] = arguments.as_slice() else { stage::give_up("usage: stage CASE RECORD") };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    std::thread::spawn(|| {
        std::thread::sleep(Duration::from_secs(118));
        stage::give_up("it took too long");
    });
    let record = stage::Record::new();
    let broken = match case.as_str() {
        "returned" => returned::play(&record, trouble),
        "aim" => aim::play(&record, trouble),
        "completed" => completed::play(&record, trouble),
        "stopped" => stopped::play(&record, trouble),
        _ => stage::give_up("no such case"),
    };
    record.tell(if broken { "the rule was broken" } else { "the rule held" });
    record.write(&PathBuf::from(path));
    stage::finish(i32::from(broken));
}
