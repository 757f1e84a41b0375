//! A small deployment of the project's own programs as processes on loopback, with stand-ins for instances, clients,
//! the operator and the platform, after the operators' pages. Standard library only.

use std::collections::HashMap;
use std::fmt::Write as _;
use std::fs;
use std::io::{ErrorKind, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddrV4, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub const HEARTBEAT_S: f64 = 1.5;

/// Everything that was sent, answered and run, in order of time.
#[derive(Clone)]
pub struct Record {
    begun: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn new() -> Record {
        Record { begun: Instant::now(), lines: Arc::default() }
    }

    pub fn now(&self) -> f64 {
        self.begun.elapsed().as_secs_f64()
    }

    pub fn add(&self, text: impl AsRef<str>) {
        let line = format!("{:9.3} {}", self.now(), text.as_ref());
        self.lines.lock().unwrap().push(line);
    }

    /// As `add`, and shown on the terminal.
    pub fn tell(&self, text: impl AsRef<str>) {
        println!("{:9.3} {}", self.now(), text.as_ref());
        self.add(text);
    }

    pub fn write(&self, path: &Path) {
        let text = self.lines.lock().unwrap().join("\n");
        if let Err(error) = fs::write(path, text + "\n") {
            println!("{}: {error}", path.display());
        }
    }
}

/// The node processes and what they are told.
pub struct Stage {
    pub record: Record,
    folder: PathBuf,
    program: PathBuf,
    net: [u8; 2],
    base: u16,
    controls: usize,
    children: HashMap<String, Child>,
    pub bounds: String,
    /// The bounds that differ between the sites.
    pub site_bounds: &'static str,
    pub fd_limit: u32,
    pub memory_mb: u32,
}

/// The processes that were started and have not been seen to end.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());
/// The temporary folder.
static FOLDER: Mutex<Option<PathBuf>> = Mutex::new(None);

/// Ends all processes that were started, removes the temporary folder, and ends the run with this code.
pub fn finish(code: i32) -> ! {
    for id in STARTED.lock().map(|started| started.clone()).unwrap_or_default() {
        let _ = Command::new("kill").args(["-s", "KILL", &id.to_string()]).stderr(Stdio::null()).status();
    }
    if let Ok(Some(folder)) = FOLDER.lock().map(|folder| folder.clone()) {
        let _ = fs::remove_dir_all(folder);
    }
    std::process::exit(code);
}

/// Ends the run as one that couldn't be made.
pub fn give_up(text: &str) -> ! {
    println!("the case can't run: {text}");
    finish(2);
}

/// Of sites/amakali-gallery.toml.
pub const SMALL_SITE: &str = "ContactS = 3\nAckS = 5\nDrainS = 2.5\nGraceS = 6\nConfigApplyS = 2.5\nMaxStretchS = 8\n";
/// Of large/vtacie-scitanie-large.toml.
pub const LARGE_SITE: &str = "ContactS = 6\nAckS = 8\nDrainS = 4\nGraceS = 10\nConfigApplyS = 4\nMaxStretchS = 12\n";

impl Stage {
    pub fn new(record: &Record, controls: usize) -> Stage {
        let program = PathBuf::from(std::env::var("PLAYHOUSE").unwrap_or("target/release/playhouse".into()));
        if !program.exists() {
            give_up("the program is not built");
        }
        let pid = std::process::id();
        let net = [60 + (pid / 250 % 60) as u8, (pid % 250) as u8];
        let base = (0..200u16).map(|n| 20_000 + 40 * ((pid as u16 % 200 + n) % 240)).find(|base| {
            (1..30u8).all(|host| {
                [0, 1, 2, 10].iter().all(|port| {
                    TcpListener::bind(SocketAddrV4::new(Ipv4Addr::new(127, net[0], net[1], host), base + port))
                        .is_ok()
                })
            })
        });
        let Some(base) = base else { give_up("no free ports") };
        let folder = std::env::temp_dir().join(format!("garnetdoor-review-{pid}"));
        if fs::create_dir_all(&folder).is_err() {
            give_up("no temporary folder");
        }
        *FOLDER.lock().unwrap() = Some(folder.clone());
        Stage {
            record: record.clone(),
            folder,
            program,
            net,
            base,
            controls,
            children: HashMap::new(),
            bounds: String::new(),
            site_bounds: SMALL_SITE,
            fd_limit: 4096,
            memory_mb: 256,
        }
    }

    pub fn ip(&self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net[0], self.net[1], host)
    }

    /// Control nodes stand at 1, 2, ..., gateways at 11, 12, ..., instances from 31 on.
    pub fn control(&self, number: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(number as u8), self.base + 2)
    }

    pub fn frontend(&self, number: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(10 + number as u8), self.base)
    }

    pub fn readiness(&self, number: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(10 + number as u8), self.base + 1)
    }

    pub fn instance_address(&self, number: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(30 + number as u8), self.base + 5)
    }

    pub fn control_addresses(&self) -> Vec<SocketAddrV4> {
        (1..=self.controls).map(|number| self.control(number)).collect()
    }

    fn settings(&self, name: &str, ip: Ipv4Addr, zone: usize, class: &str, first: bool, own: &str) -> PathBuf {
        let seeds: Vec<String> =
            self.control_addresses().iter().take(3).map(|at| format!("\"{at}\"")).collect();
        let zone_name = ["zone-a", "zone-b", "zone-c"][zone % 3];
        let mut text = String::new();
        let _ = write!(
            text,
            "NodeName = \"{name}\"\nRole = \"{class}\"\nMachineClass = \"{class}\"\nIpAddress = \"{ip}\"\n\
             Zone = \"{zone_name}\"\nRegion = \"home\"\nInternalPortRange = [{}, {}]\nSeedNodes = [{}]\n\
             InitialStart = {first}\nLossCounted = {}\nDiscovery = \"registration\"\nEntry = \"virtual_ip\"\n\
             HeartbeatS = {HEARTBEAT_S}\n{own}\
             Contracts = [\"base\", \"drain\", \"config\", \"cost\", \"retry\", \"recover\", \"rollout\"]\n",
            self.base + 10,
            self.base + 25,
            seeds.join(", "),
            class == "core",
        );
        text += "[Zones]\nzone-a = \"home\"\nzone-b = \"home\"\nzone-c = \"home\"\n[ListenAddresses]\n";
        let _ = match class {
            "core" => write!(text, "Control = \"{ip}:{}\"\n", self.base + 2),
            _ => write!(text, "Frontend = \"{ip}:{}\"\nReadiness = \"{ip}:{}\"\n", self.base, self.base + 1),
        };
        let _ = write!(
            text,
            "[LimitSet]\nCpuShare = 1.0\nCpuCores = 1\nMemoryMb = {}\nFdLimit = {}\nLinkMbps = 1000.0\nDiskMb = 256\n\
             [FaultTolerance]\nMachineLosses = 1\nZones = 0\nRegionLosses = 0\n\
             [TimerBounds]\nSeedLagS = 3\nAddressReuseS = 2\nCatchUpS = 4\nLossSlackS = 0.2\nRollbackSlackS = 0.25\n{}\
             RetryBudgetRatio = 0.2\nRetryWindowS = 10\nRetryBudgetSlack = 58\nExposureShare = 0.1\n\
             ExposureSlack = 50\nRollbackS = 5\nRecoveryS = 15\n{}",
            self.memory_mb, self.fd_limit, self.site_bounds, self.bounds
        );
        let path = self.folder.join(format!("{name}.toml"));
        if fs::write(&path, text).is_err() {
            give_up("a settings file can't be written");
        }
        path
    }

    /// Starts a control node with the command of the deploy file. `first`: the first start of the whole system.
    pub fn start_control(&mut self, number: usize, first: bool) {
        let name = format!("core-{number}");
        let disk = format!("DataDirectory = \"{}\"\n", self.folder.join(format!("{name}-data")).display());
        let path = self.settings(&name, self.ip(number as u8), number - 1, "core", first, &disk);
        self.start(name, "prompter", &path);
    }

    pub fn start_gateway(&mut self, number: usize, first: bool) {
        let name = format!("edge-{number}");
        let path = self.settings(&name, self.ip(10 + number as u8), number - 1, "edge", first, "");
        self.start(name, "foyer", &path);
    }

    fn start(&mut self, name: String, role: &str, settings: &Path) {
        let log = fs::OpenOptions::new().create(true).append(true).open(self.folder.join(format!("{name}.log")));
        let Ok(log) = log else { give_up("a log can't be written") };
        let child = Command::new(&self.program)
            .args([role, "--metrics", "9464"])
            .env("GARNETDOOR_SETTINGS", settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_or(Stdio::null(), Stdio::from))
            .stderr(Stdio::from(log))
            .spawn();
        match child {
            Ok(child) => {
                self.record.tell(format!("{name} is started as process {}", child.id()));
                STARTED.lock().unwrap().push(child.id());
                self.children.insert(name, child);
            }
            Err(error) => give_up(&format!("{name}: {error}")),
        }
    }

    /// Sends a signal (`KILL`, `TERM`, `STOP`, `CONT`, `HUP`) to a node.
    pub fn signal(&self, name: &str, signal: &str) {
        let Some(child) = self.children.get(name) else { return };
        self.record.tell(format!("SIG{signal} to {name}"));
        let _ = Command::new("kill").args(["-s", signal, &child.id().to_string()]).status();
    }

    /// Waits until a node has ended; its exit code.
    pub fn wait(&mut self, name: &str, longest: Duration) -> Option<i32> {
        let until = Instant::now() + longest;
        while Instant::now() < until {
            if let Some(child) = self.children.get_mut(name)
                && let Ok(Some(status)) = child.try_wait()
            {
                STARTED.lock().unwrap().retain(|id| *id != child.id());
                self.record.tell(format!("{name} has ended: {status}"));
                return status.code();
            }
            thread::sleep(Duration::from_millis(5));
        }
        None
    }

    /// Starts all nodes of a new system.
    pub fn start_all(&mut self, gateways: usize) {
        for number in 1..=self.controls {
            self.start_control(number, true);
        }
        for number in 1..=gateways {
            self.start_gateway(number, true);
        }
    }

    /// Waits until a gateway calls itself ready.
    pub fn wait_ready(&self, gateway: usize, longest: f64) {
        let until = Instant::now() + Duration::from_secs_f64(longest);
        while Instant::now() < until {
            if self.is_ready(gateway) {
                return self.record.tell(format!("edge-{gateway} is ready"));
            }
            thread::sleep(Duration::from_millis(50));
        }
        give_up(&format!("edge-{gateway} is not ready in time"));
    }

    pub fn is_ready(&self, gateway: usize) -> bool {
        let request = b"GET /api/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        call(self.readiness(gateway), request, 1.0).is_some_and(|answer| answer.status == 200)
    }

    /// A call of the operator: to one control node after the other until a clear answer comes.
    pub fn operate(&self, method: &str, path: &str, base: Option<&str>, body: &str, longest: f64) -> Option<Answer> {
        let until = Instant::now() + Duration::from_secs_f64(longest);
        let mut turn = 0;
        while Instant::now() < until {
            let mut to = self.control(1 + turn % self.controls);
            turn += 1;
            for _ in 0..3 {
                let base = base.map(|base| format!("Base-Version: {base}\r\n")).unwrap_or_default();
                let request = format!(
                    "{method} {path} HTTP/1.1\r\nHost: {to}\r\nConnection: close\r\n{base}\
                     Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                    body.len()
                );
                let answer = call(to, request.as_bytes(), 1.0);
                let Some(answer) = answer else { break };
                self.record.add(format!("operator: {method} {path} at {to}: {}", answer.status));
                if answer.status == 307
                    && let Some(next) = answer.header("location").and_then(place_of)
                {
                    to = next;
                    continue;
                }
                if answer.status < 500 && answer.status != 408 && answer.status != 429 {
                    return Some(answer);
                }
                break;
            }
            thread::sleep(Duration::from_millis(100));
        }
        None
    }
}

impl Drop for Stage {
    fn drop(&mut self) {
        for child in self.children.values_mut() {
            let _ = child.kill();
            let _ = child.wait();
            STARTED.lock().unwrap().retain(|id| *id != child.id());
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn place_of(location: &str) -> Option<SocketAddrV4> {
    location.strip_prefix("http://")?.split('/').next()?.parse().ok()
}

/// An answer as it was read.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.head, name)
    }
}

pub fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().skip(1).find_map(|line| {
        let (found, value) = line.split_once(':')?;
        found.eq_ignore_ascii_case(name).then(|| value.trim())
    })
}

/// Sends a request on a new connection and reads the whole answer; `None` without one.
pub fn call(to: SocketAddrV4, request: &[u8], longest: f64) -> Option<Answer> {
    let until = Instant::now() + Duration::from_secs_f64(longest);
    let mut stream = TcpStream::connect_timeout(&to.into(), Duration::from_secs_f64(longest)).ok()?;
    let _ = stream.set_nodelay(true);
    stream.set_write_timeout(Some(Duration::from_secs_f64(longest))).ok()?;
    stream.write_all(request).ok()?;
    read_answer(&mut stream, &mut Vec::new(), until)
}

/// Reads one answer that has a length or is chunked. `ahead` keeps bytes that follow it.
pub fn read_answer(stream: &mut TcpStream, ahead: &mut Vec<u8>, until: Instant) -> Option<Answer> {
    let head = read_head(stream, ahead, until, &|| false)?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let body = read_body(stream, ahead, &head, until, &|| false)?;
    Some(Answer { status, head, body })
}

fn fill(stream: &mut TcpStream, ahead: &mut Vec<u8>, until: Instant, stopped: &dyn Fn() -> bool) -> Option<()> {
    let mut bytes = [0; 16384];
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() || stopped() {
            return None;
        }
        stream.set_read_timeout(Some(left.min(Duration::from_millis(20)))).ok()?;
        match stream.read(&mut bytes) {
            Ok(0) => return None,
            Ok(length) => {
                ahead.extend_from_slice(&bytes[..length]);
                return Some(());
            }
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(_) => return None,
        }
    }
}

pub fn read_head(
    stream: &mut TcpStream, ahead: &mut Vec<u8>, until: Instant, stopped: &dyn Fn() -> bool,
) -> Option<String> {
    loop {
        if let Some(end) = ahead.windows(4).position(|four| four == b"\r\n\r\n") {
            let rest = ahead.split_off(end + 4);
            let head = String::from_utf8_lossy(ahead).into_owned();
            *ahead = rest;
            return Some(head);
        }
        fill(stream, ahead, until, stopped)?;
    }
}

pub fn read_body(
    stream: &mut TcpStream, ahead: &mut Vec<u8>, head: &str, until: Instant, stopped: &dyn Fn() -> bool,
) -> Option<Vec<u8>> {
    if header(head, "transfer-encoding").is_some_and(|coding| coding.contains("chunked")) {
        let mut body = Vec::new();
        loop {
            let end = loop {
                if let Some(end) = ahead.windows(2).position(|two| two == b"\r\n") {
                    break end;
                }
                fill(stream, ahead, until, stopped)?;
            };
            let length = usize::from_str_radix(std::str::from_utf8(&ahead[..end]).ok()?.trim(), 16).ok()?;
            while ahead.len() < end + 2 + length + 2 {
                fill(stream, ahead, until, stopped)?;
            }
            body.extend_from_slice(&ahead[end + 2..end + 2 + length]);
            ahead.drain(..end + 2 + length + 2);
            if length == 0 {
                return Some(body);
            }
        }
    }
    let length = header(head, "content-length").and_then(|text| text.parse().ok()).unwrap_or(0usize);
    while ahead.len() < length {
        fill(stream, ahead, until, stopped)?;
    }
    let rest = ahead.split_off(length);
    Some(std::mem::replace(ahead, rest))
}

/// What an instance did with a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: f64,
    pub attempt: String,
    pub instance: String,
    pub service: String,
}

/// What all instances ran.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// One life of an instance: it listens, works, and sends heartbeats.
pub struct Instance {
    pub id: String,
    pub service: String,
    pub address: SocketAddrV4,
    ended: Arc<AtomicBool>,
    draining: Arc<AtomicBool>,
    acknowledged: Arc<AtomicU64>,
    drain_taken: Arc<AtomicBool>,
    threads: Vec<thread::JoinHandle<()>>,
}

static LIVES: AtomicU64 = AtomicU64::new(1);

impl Instance {
    pub fn start(stage: &Stage, runs: &Runs, service: &str, version: &str, number: usize, work_ms: u64) -> Instance {
        Instance::start_with(stage, runs, service, version, number, work_ms, false)
    }

    /// As `start`. One that `reads_late` works on a request from its head on, and reads the body in the last tenth of
    /// the work.
    pub fn start_with(
        stage: &Stage, runs: &Runs, service: &str, version: &str, number: usize, work_ms: u64, reads_late: bool,
    ) -> Instance {
        let life = LIVES.fetch_add(1, Ordering::Relaxed);
        let id = format!("i-{:04x}{life:04x}", std::process::id() & 0xffff);
        let address = stage.instance_address(number);
        let Ok(listener) = TcpListener::bind(address) else { give_up("an instance's address is taken") };
        let _ = listener.set_nonblocking(true);
        let ended = Arc::new(AtomicBool::new(false));
        let draining = Arc::new(AtomicBool::new(false));
        let acknowledged = Arc::new(AtomicU64::new(0));
        let drain_taken = Arc::new(AtomicBool::new(false));
        stage.record.tell(format!("instance {id} of {service} begins at {address}"));
        let mut threads = Vec::new();
        {
            let (ended, runs, record) = (ended.clone(), runs.clone(), stage.record.clone());
            let (id, service) = (id.clone(), service.to_owned());
            threads.push(thread::spawn(move || {
                while !ended.load(Ordering::Relaxed) {
                    match listener.accept() {
                        Ok((stream, _)) => {
                            let (ended, runs, record) = (ended.clone(), runs.clone(), record.clone());
                            let (id, service) = (id.clone(), service.clone());
                            thread::spawn(move || {
                                serve(stream, &id, &service, work_ms, reads_late, &ended, &runs, &record)
                            });
                        }
                        Err(_) => thread::sleep(Duration::from_millis(2)),
                    }
                }
            }));
        }
        {
            let (ended, draining, drain_taken) = (ended.clone(), draining.clone(), drain_taken.clone());
            let (acknowledged, record) = (acknowledged.clone(), stage.record.clone());
            let mut beat = Beat {
                id: id.clone(),
                service: service.to_owned(),
                version: version.to_owned(),
                zone: ["zone-a", "zone-b", "zone-c"][number % 3].to_owned(),
                address,
                controls: stage.control_addresses(),
                target: None,
                turn: number,
                sequence: 0,
            };
            threads.push(thread::spawn(move || {
                let mut told_drain = false;
                while !ended.load(Ordering::Relaxed) {
                    let drains = draining.load(Ordering::Relaxed);
                    let taken = beat.send(drains, &record);
                    if taken {
                        acknowledged.fetch_add(1, Ordering::Relaxed);
                    }
                    if drains && taken && !told_drain {
                        told_drain = true;
                        drain_taken.store(true, Ordering::Relaxed);
                        record.tell(format!("instance {} has its drain acknowledged", beat.id));
                    }
                    let wait = if taken { HEARTBEAT_S } else { 0.1 };
                    let until = Instant::now() + Duration::from_secs_f64(wait);
                    while Instant::now() < until
                        && !ended.load(Ordering::Relaxed)
                        && drains == draining.load(Ordering::Relaxed)
                    {
                        thread::sleep(Duration::from_millis(5));
                    }
                }
            }));
        }
        Instance { id, service: service.to_owned(), address, ended, draining, acknowledged, drain_taken, threads }
    }

    /// How many heartbeats were acknowledged.
    pub fn acknowledged(&self) -> u64 {
        self.acknowledged.load(Ordering::Relaxed)
    }

    pub fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Says that it ends, to one control node after the other until one acknowledges it, and ends.
    pub fn leave(self, stage: &Stage) {
        for to in stage.control_addresses().into_iter().cycle().take(6) {
            let request = format!(
                "POST /api/Instances.Detach/{} HTTP/1.1\r\nHost: {to}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
                self.id
            );
            let status = call(to, request.as_bytes(), 1.0).map_or(0, |answer| answer.status);
            stage.record.add(format!("detach of {} at {to}: {status}", self.id));
            if (200..300).contains(&status) {
                break;
            }
        }
        self.end(&stage.record);
    }

    /// Whether a heartbeat that says draining was acknowledged.
    pub fn drain_acknowledged(&self) -> bool {
        self.drain_taken.load(Ordering::Relaxed)
    }

    /// Ends without a word, as after a crash.
    pub fn end(mut self, record: &Record) {
        self.ended.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
        record.tell(format!("instance {} of {} has ended", self.id, self.service));
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Relaxed);
    }
}

struct Beat {
    id: String,
    service: String,
    version: String,
    zone: String,
    address: SocketAddrV4,
    controls: Vec<SocketAddrV4>,
    target: Option<SocketAddrV4>,
    turn: usize,
    sequence: u64,
}

impl Beat {
    /// Sends a heartbeat to the target named last, or to the next control node; true if it was acknowledged.
    fn send(&mut self, draining: bool, record: &Record) -> bool {
        let to = self.target.unwrap_or(self.controls[self.turn % self.controls.len()]);
        self.sequence += 1;
        let state = if draining { "draining" } else { "in_service" };
        let body = format!(
            "{{\"Address\":\"{}\",\"NodeInfo\":{{\"TargetService\":\"{}\",\"ConfigVersion\":\"{}\",\"Zone\":\"{}\",\
             \"CapacitySlots\":4}},\"Status\":{{\"State\":\"{state}\",\"CallSequence\":{},\"WarmupLeftS\":0}}}}",
            self.address, self.service, self.version, self.zone, self.sequence
        );
        let request = format!(
            "POST /api/Instances.Heartbeat/{} HTTP/1.1\r\nHost: {to}\r\nConnection: close\r\n\
             Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            self.id,
            body.len()
        );
        let answer = call(to, request.as_bytes(), 1.0);
        let status = answer.as_ref().map_or(0, |answer| answer.status);
        record.add(format!("beat {} of {} ({state}) at {to}: {status}", self.sequence, self.id));
        let taken = (200..300).contains(&status);
        if taken {
            let body = answer.map(|answer| answer.body).unwrap_or_default();
            let body = String::from_utf8_lossy(&body).into_owned();
            if let Some((_, rest)) = body.split_once("\"HeartbeatTarget\":\"") {
                self.target = rest.split('"').next().and_then(|text| text.parse().ok());
            }
        } else {
            self.target = None;
            self.turn += 1;
        }
        taken
    }
}

#[allow(clippy::too_many_arguments)]
fn serve(
    mut stream: TcpStream, id: &str, service: &str, work_ms: u64, reads_late: bool, ended: &AtomicBool, runs: &Runs,
    record: &Record,
) {
    let _ = stream.set_nonblocking(false);
    let _ = stream.set_nodelay(true);
    let stopped = || ended.load(Ordering::Relaxed);
    let (mut ahead, idle) = (Vec::new(), Duration::from_secs(10));
    loop {
        let Some(head) = read_head(&mut stream, &mut ahead, Instant::now() + idle, &stopped) else { break };
        let mut work_left = Duration::from_millis(work_ms);
        if reads_late {
            let attempt = header(&head, "attempt-id").unwrap_or("");
            record.add(format!("{id} of {service} begins to work on {attempt}"));
            runs.lock().unwrap().push(Run {
                at: record.now(),
                attempt: attempt.to_owned(),
                instance: id.to_owned(),
                service: service.to_owned(),
            });
            thread::sleep(work_left * 9 / 10);
            work_left /= 10;
        }
        let Some(_) = read_body(&mut stream, &mut ahead, &head, Instant::now() + idle, &stopped) else {
            if reads_late {
                let attempt = header(&head, "attempt-id").unwrap_or("");
                record.tell(format!("{id}: the connection of {attempt} has ended in its body"));
            }
            break;
        };
        let path = head.split(' ').nth(1).unwrap_or("");
        let attempt = header(&head, "attempt-id").unwrap_or("").to_owned();
        let target = header(&head, "target-instance");
        let (status, extra, body) = if path == "/health" {
            ("200 OK", format!("Instance-Id: {id}\r\n"), String::new())
        } else if target.is_some_and(|target| target != id) {
            record.add(format!("421 of {id} to {attempt}, meant for {}", target.unwrap_or("")));
            ("421 Misdirected Request", "Not-Executed: 1\r\n".to_owned(), String::new())
        } else {
            let at = record.now();
            record.add(format!("{id} of {service} runs {attempt}"));
            if !reads_late {
                runs.lock().unwrap().push(Run {
                    at,
                    attempt: attempt.clone(),
                    instance: id.to_owned(),
                    service: service.to_owned(),
                });
            }
            thread::sleep(work_left);
            ("200 OK", format!("Server-Seal: {id}.{attempt}\r\n"), format!("{id} {attempt} {path}"))
        };
        if stopped() {
            break;
        }
        let answer = format!(
            "HTTP/1.1 {status}\r\nAttempt-Id: {attempt}\r\n{extra}Content-Length: {}\r\nKeep-Alive: timeout=10\r\n\r\n{body}",
            body.len()
        );
        if stream.write_all(answer.as_bytes()).is_err() {
            break;
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
}

/// One try of a client and what came of it.
#[derive(Clone, Debug)]
pub struct Try {
    /// When the client's first try of the request was sent, and the request's number.
    pub at: f64,
    pub request: u64,
    pub attempt: String,
    pub path: String,
    pub status: u16,
}

pub type Tries = Arc<Mutex<Vec<Try>>>;

static ATTEMPTS: AtomicU64 = AtomicU64::new(1);
static REQUESTS: AtomicU64 = AtomicU64::new(1);

pub fn new_attempt() -> String {
    format!("{:08x}{:08x}", std::process::id(), ATTEMPTS.fetch_add(1, Ordering::Relaxed))
}

/// Clients that send one request each `every_ms` on a new connection, to the gateways in turn, until told to stop. One
/// that is refused asks once more after the time that it was told, within its deadline.
pub fn start_clients(
    stage: &Stage, gateways: &[usize], method: &'static str, host: &'static str, path: &'static str, every_ms: u64,
    deadline_ms: u64, tries: &Tries, stop: &Arc<AtomicBool>,
) -> thread::JoinHandle<()> {
    let fronts: Vec<SocketAddrV4> = gateways.iter().map(|number| stage.frontend(*number)).collect();
    let (tries, stop, record) = (tries.clone(), stop.clone(), stage.record.clone());
    thread::spawn(move || {
        let mut turn = 0;
        while !stop.load(Ordering::Relaxed) {
            turn += 1;
            let front = fronts[turn % fronts.len()];
            let (tries, record) = (tries.clone(), record.clone());
            thread::spawn(move || {
                let (request_number, at) = (REQUESTS.fetch_add(1, Ordering::Relaxed), record.now());
                let until = Instant::now() + Duration::from_millis(deadline_ms);
                for _ in 0..2 {
                    let left = until.saturating_duration_since(Instant::now());
                    if left.is_zero() {
                        return;
                    }
                    let attempt = new_attempt();
                    let request = format!(
                        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nAttempt-Id: {attempt}\r\nRemaining-Time: {}\r\n\
                         Content-Length: 0\r\nConnection: close\r\n\r\n",
                        left.as_millis()
                    );
                    let answer = call(front, request.as_bytes(), left.as_secs_f64());
                    let status = answer.as_ref().map_or(0, |answer| answer.status);
                    record.add(format!("client: {method} {path} {attempt} at {front}: {status}"));
                    tries.lock().unwrap().push(Try { at, request: request_number, attempt, path: path.to_owned(), status });
                    if ![503, 429, 408, 421].contains(&status) {
                        return;
                    }
                    let wait = answer.as_ref().and_then(|answer| answer.header("retry-after")?.parse::<f64>().ok());
                    let left = until.saturating_duration_since(Instant::now()).as_secs_f64();
                    thread::sleep(Duration::from_secs_f64(wait.unwrap_or(0.05).clamp(0.0, left / 3.0)));
                }
            });
            thread::sleep(Duration::from_millis(every_ms));
        }
    })
}

/// One route of a configuration: name, host, prefix, kind and service.
pub fn route(name: &str, host: &str, prefix: &str, kind: &str, service: &str, timeout: f64) -> String {
    format!(
        "{{\"ResourceType\":\"RouteTable\",\"HeaderBlock\":{{\"Name\":\"{name}\"}},\"SpecBody\":{{\"HostName\":\"{host}\",\
         \"PathPrefix\":\"{prefix}\",\"RouteType\":\"{kind}\",\"TimeoutS\":{timeout},\"TargetLatencyS\":0.3,\"Priority\":1,\
         \"TargetService\":\"{service}\",\"MaxAttempts\":2}}}}"
    )
}

pub fn service(name: &str) -> String {
    format!(
        "{{\"ResourceType\":\"ServiceTable\",\"HeaderBlock\":{{\"Name\":\"{name}\"}},\"SpecBody\":{{\"HealthPath\":\"/health\",\
         \"MaxConnections\":94,\"Protocol\":\"h1\",\"Tls\":false}}}}"
    )
}

/// A whole configuration of these routes and services, with the usual limits.
pub fn configuration(version: u32, entries: &[String]) -> String {
    format!(
        "{{\"ConfigVersion\":\"{version:08x}\",\"ResourceSet\":[{},{{\"ResourceType\":\"LimitSet\",\"HeaderBlock\":{{}},\
         \"SpecBody\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":67108864,\"HeaderTimeoutS\":3,\"IdleTimeoutS\":15}}}}]}}",
        entries.join(",")
    )
}
