//! A gateway is told to end while instances work on uploads. With the disruption they read the bodies late; without it
//! at once.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::stage::*;

/// The bounds, the deadline and the bodies are those of one site, large/vtacie-scitanie-large.toml.
const GRACE_S: f64 = 10.0;
const DEADLINE_MS: u64 = 8_000;
const WORK_MS: u64 = 6_500;
/// From the uploads to SIGTERM.
const TERM_AFTER_S: f64 = 2.5;
const UPLOADS: usize = 6;
/// The most that an upload of the sites has.
const BODY_BYTES: usize = 360_000;
/// Such a body fits into the sockets' buffers.
const SMALL_BODY_BYTES: usize = 30_000;

/// One upload: its id, its size, when it was sent, and when it was answered and how: status, and the instance's stamp.
struct Upload {
    attempt: String,
    bytes: usize,
    sent_at: f64,
    ended_at: f64,
    status: u16,
    sealed: bool,
}

pub fn play(record: &Record, trouble: bool) -> bool {
    let mut stage = Stage::new(record, 3);
    stage.site_bounds = LARGE_SITE;
    stage.start_all(2);
    let entries = [route("uploads", "shop.example", "/up/", "upload", "fotoskrina", 8.0), service("fotoskrina")];
    let answer = stage.operate("POST", "/api/Configuration.Replace", Some("0"), &configuration(1, &entries), 10.0);
    if answer.is_none_or(|answer| answer.status != 200) {
        give_up("the first configuration is not acknowledged");
    }
    let runs = Runs::default();
    let instances: Vec<Instance> = (1..=3)
        .map(|number| Instance::start_with(&stage, &runs, "fotoskrina", "v1", number, WORK_MS, trouble))
        .collect();
    (1..=2).for_each(|gateway| stage.wait_ready(gateway, 15.0));
    // Over `ContactS`: the machines are in touch.
    thread::sleep(Duration::from_secs_f64(7.0));
    let uploads: Arc<Mutex<Vec<Upload>>> = Arc::default();
    let sizes = [BODY_BYTES; UPLOADS].into_iter().chain([SMALL_BODY_BYTES; 2]);
    let clients: Vec<_> = sizes
        .map(|bytes| {
            let (front, record, uploads) = (stage.frontend(1), record.clone(), uploads.clone());
            thread::spawn(move || {
                let (attempt, sent_at) = (new_attempt(), record.now());
                let mut request = format!(
                    "POST /up/set HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {attempt}\r\n\
                     Remaining-Time: {DEADLINE_MS}\r\nContent-Length: {bytes}\r\n\r\n"
                )
                .into_bytes();
                request.resize(request.len() + bytes, b'u');
                let answer = call(front, &request, DEADLINE_MS as f64 / 1e3);
                let ended_at = record.now();
                let status = answer.as_ref().map_or(0, |answer| answer.status);
                let sealed = answer.is_some_and(|answer| answer.header("server-seal").is_some());
                record.tell(format!(
                    "upload {attempt} of {bytes} bytes: {status}{} after {:.2} s",
                    if sealed { " of its instance" } else { "" },
                    ended_at - sent_at
                ));
                uploads.lock().unwrap().push(Upload { attempt, bytes, sent_at, ended_at, status, sealed });
            })
        })
        .collect();
    thread::sleep(Duration::from_secs_f64(TERM_AFTER_S));
    let term_at = record.now();
    stage.signal("edge-1", "TERM");
    for client in clients {
        let _ = client.join();
    }
    stage.wait("edge-1", Duration::from_secs(11));
    thread::sleep(Duration::from_secs_f64(0.5));
    drop(instances);
    // LOST: after SIGTERM, a request that its instance works on is broken off and answered by the gateway instead.
    // Not counted: the deadline or the route's time-out has come, or the instance would still be at work in the second
    // half of `GraceS` (NEWS-22: in its last sixth).
    let runs = runs.lock().unwrap();
    let mut lost = 0;
    for upload in uploads.lock().unwrap().iter() {
        let Some(run) = runs.iter().find(|run| run.attempt == upload.attempt) else { continue };
        let work_ends = run.at + WORK_MS as f64 / 1e3;
        let broken_off = !upload.sealed
            && upload.sent_at < term_at
            && run.at < term_at
            && upload.ended_at > term_at
            && upload.ended_at < work_ends
            && upload.ended_at - upload.sent_at < DEADLINE_MS as f64 / 1e3
            && work_ends < term_at + GRACE_S / 2.0;
        if broken_off {
            lost += 1;
            record.tell(format!(
                "upload {} of {} bytes is lost: {} answered it with {} {:.2} s after SIGTERM, while {} worked on it; its \
                 work would have ended {:.2} s after SIGTERM",
                upload.attempt,
                upload.bytes,
                "edge-1",
                upload.status,
                upload.ended_at - term_at,
                run.instance,
                work_ends - term_at
            ));
        }
    }
    lost > 0
}
