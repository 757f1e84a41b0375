//! The real daemon between the stand-ins.

use std::fs;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Once;
use std::sync::atomic::{AtomicU16, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::{Value, json};
use tempfile::TempDir;

use crate::stand::client;
use crate::stand::list::List;
use crate::stand::platform::Platform;

/// How a daemon is set up.
#[derive(Clone)]
pub struct Setup {
    pub list: List,
    pub platform: Platform,
    /// The operator file; null: none.
    pub operator: Value,
    pub seed: u64,
    pub sockets: u64,
    pub memory_mb: u64,
    /// What differs from the usual settings, as whole entries of the settings' object.
    pub settings: Value,
}

/// A running daemon; ended when it is dropped.
pub struct Daemon {
    child: Child,
    pub address: SocketAddr,
    folder: TempDir,
    program: PathBuf,
}

static STARTED: AtomicU16 = AtomicU16::new(0);

/// The program: named by `GARNETDOOR_PROGRAM`, else built beside this one; cargo builds it where it runs this.
pub fn program() -> io::Result<PathBuf> {
    if let Some(named) = std::env::var_os("GARNETDOOR_PROGRAM") {
        return Ok(named.into());
    }
    static BUILT: Once = Once::new();
    let own = std::env::current_exe()?;
    BUILT.call_once(|| build(&own));
    let beside =
        own.ancestors().skip(1).take(3).map(|folder| folder.join("garnetdoor")).find(|path| path.is_file());
    beside.ok_or_else(|| {
        let missing =
            "the daemon is not built: cargo build --release first, or name it by GARNETDOOR_PROGRAM";
        io::Error::new(io::ErrorKind::NotFound, missing)
    })
}

/// Has cargo bring the daemon up to date where cargo started this program, in the profile that this one was built in.
fn build(own: &Path) {
    let Some(cargo) = std::env::var_os("CARGO") else { return };
    let mut command = Command::new(cargo);
    command.args(["build", "--quiet", "--locked", "--package", "garnetdoor-gateway"]);
    if own.components().any(|part| part.as_os_str() == "release") {
        command.arg("--release");
    }
    // If it fails, cargo says why, and the daemon is not found or is the one before.
    let _ = command.current_dir(env!("CARGO_MANIFEST_DIR")).status();
}

impl Daemon {
    pub fn start(setup: &Setup) -> io::Result<Self> {
        Daemon::start_as(&program()?, setup)
    }

    /// Starts a certain program and waits until it serves.
    pub fn start_as(program: &Path, setup: &Setup) -> io::Result<Self> {
        // An address of its own, so that nothing else takes the port before the daemon does.
        let number = STARTED.fetch_add(1, Ordering::Relaxed);
        let host = format!("127.78.{}.{}:0", std::process::id() % 250, number % 250 + 1);
        let address = TcpListener::bind(host)?.local_addr()?;
        let folder = tempfile::tempdir()?;
        let mut settings = json!({
            "areas": ["a", "b"], "machine_types": ["std"], "zone": 0, "index": 0, "fleet_size": 1,
            "discovery": "subscribe",
            "classes": [
                {"name": "view-album", "repeat": "safe", "on_time": 0.5, "worth": 1.0},
                {"name": "order-prints", "repeat": "unsafe", "on_time": 0.5, "worth": 3.0}],
            "policy_limits": {"try_limit": 3, "dial_timeout": 0.25, "idle_close": 30.0, "retry_after": true,
                "max_retry_after": 0.5, "cancelling": true},
            "safety": {"drain_grace": 1.0, "fall": 3.0, "cold": 0.0, "cold_from": 1.0},
            "domain": {"gate_mode": "share", "ayes_needed": 1, "noes_needed": 1, "exposure_caps": [0.1, 0.5, 1.0],
                "exposure_window": 4.0, "free": 3.0, "vote_wait": 2.0, "vote_life": 6.0, "votes_per_s": 100.0}
        });
        for (name, value) in setup.settings.as_object().into_iter().flatten() {
            settings[name] = value.clone();
        }
        let config = json!({
            "name": "n0", "listen": address.to_string(), "discovery": setup.list.address.to_string(),
            "seed": format!("{:x}", setup.seed),
            "limits": {"cores": 1.0, "memory_mb": setup.memory_mb, "sockets": setup.sockets},
            "rollouts": {"address": setup.platform.address.to_string(), "news": setup.platform.known()},
            "known": setup.list.known(), "settings": settings,
        });
        fs::write(folder.path().join("config.json"), config.to_string())?;
        let operator = (!setup.operator.is_null()).then_some("operator.json");
        if let Some(name) = operator {
            fs::write(folder.path().join(name), setup.operator.to_string())?;
        }
        let child = Daemon::run(program, &folder, operator)?;
        let mut daemon = Daemon { child, address, folder, program: program.into() };
        daemon.wait_until_ready()?;
        Ok(daemon)
    }

    fn run(program: &Path, folder: &TempDir, operator: Option<&str>) -> io::Result<Child> {
        let log = fs::OpenOptions::new().create(true).append(true).open(folder.path().join("log"))?;
        let mut command = Command::new(program);
        command
            .arg("serve")
            .env("EDGE_CONFIG", folder.path().join("config.json"))
            .env_remove("GARNETDOOR_OPERATOR");
        if let Some(file) = operator {
            command.arg("--operator").arg(folder.path().join(file));
        }
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log).spawn()
    }

    /// Writes the operator file; SIGHUP has it read.
    pub fn operate(&self, operator: &Value) -> io::Result<()> {
        let path = self.folder.path().join("operator.json");
        fs::write(path.with_extension("new"), operator.to_string())?;
        fs::rename(path.with_extension("new"), path)
    }

    fn wait_until_ready(&mut self) -> io::Result<()> {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            if let Some(status) = self.child.try_wait()? {
                return Err(io::Error::other(format!("the daemon ended with {status}: {}", self.log())));
            }
            if TcpStream::connect(self.address).is_ok() && client::health(self.address) == 200 {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(5));
        }
        Err(io::Error::other(format!("the daemon never became ready: {}", self.log())))
    }

    /// What it has logged.
    pub fn log(&self) -> String {
        fs::read_to_string(self.folder.path().join("log")).unwrap_or_default()
    }

    pub fn signal(&self, signal: Signal) {
        let _ = kill(Pid::from_raw(self.child.id() as i32), signal);
    }

    /// Kills it outright.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts it again at its address, with what it was told at first.
    pub fn start_again(&mut self) -> io::Result<()> {
        let operator = self.folder.path().join("operator.json").is_file().then_some("operator.json");
        self.child = Daemon::run(&self.program, &self.folder, operator)?;
        self.wait_until_ready()
    }

    /// Waits for its end; `None` if it has not ended by then.
    pub fn ends_within(&mut self, within: Duration) -> Option<bool> {
        let until = Instant::now() + within;
        while Instant::now() < until {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status.success());
            }
            thread::sleep(Duration::from_millis(10));
        }
        None
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Resident memory in kB.
    pub fn resident_kb(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")?.split_whitespace().next());
        line.and_then(|kb| kb.parse().ok()).unwrap_or(0)
    }

    /// CPU time used so far.
    pub fn cpu(&self) -> Duration {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.pid())).unwrap_or_default();
        let fields = stat.rsplit(')').next().unwrap_or_default().split_whitespace();
        let ticks: u64 = fields.skip(11).take(2).filter_map(|field| field.parse::<u64>().ok()).sum();
        Duration::from_millis(ticks * 10)
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}
