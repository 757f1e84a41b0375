//! Runs balancers for a simulator: reads batches of events from standard input, passes them to the balancers
//! and writes their replies to standard output. Nothing here decides anything.

mod host;
mod line;

use std::any::Any;
use std::collections::BTreeMap;
use std::io::{self, BufRead, BufWriter, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::process::ExitCode;
use std::rc::Rc;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use garnetdoor::balance::Balancer;
use garnetdoor::host::{
    Arrival, AttemptNo, AttemptOutcome, BuildNo, CellId, Condition, GatewayId, KeyId, MachineTypeId, Micros,
    PartyId, ProfileId, RolloutPhase, RolloutStatus, Settings, StageNo, Tally, VoteResult, ZoneId,
};
use garnetdoor::names::value_of_name;

use host::{InstanceHost, PageEntry};
use line::{Line, ParseError};

/// One gateway.
struct Instance {
    host: InstanceHost,
    /// `None` once it has panicked.
    balancer: Option<Balancer<InstanceHost>>,
}

/// Pages of the server list by their slots.
type Pages = BTreeMap<u64, Rc<Vec<PageEntry>>>;

/// A page that is being read.
struct OpenPage {
    slot: u64,
    entries: Vec<PageEntry>,
    /// Number of entries that are still to come.
    missing: usize,
}

/// All instances and what is known between two lines.
#[derive(Default)]
struct Adapter {
    now: Micros,
    instances: BTreeMap<u64, Instance>,
    pages: Pages,
    /// The page that is being read.
    open_page: Option<OpenPage>,
    in_batch: bool,
    reply: String,
}

fn main() -> ExitCode {
    std::panic::set_hook(Box::new(|_| {}));
    let mut adapter = Adapter::default();
    let mut input = io::stdin().lock();
    let mut output = BufWriter::new(io::stdout().lock());
    let mut bytes = Vec::new();
    for number in 1_u64.. {
        bytes.clear();
        match input.read_until(b'\n', &mut bytes) {
            Err(error) => return fail(number, &error.to_string()),
            Ok(0) if adapter.in_batch => return fail(number, "field YOUR_TURN: input ends inside a batch"),
            Ok(0) => return ExitCode::SUCCESS,
            Ok(_) => {}
        }
        let Ok(text) = std::str::from_utf8(&bytes) else {
            return fail(number, "field message: not UTF-8");
        };
        let text = text.trim_end_matches(['\n', '\r']);
        match adapter.process(text) {
            Err(ParseError(problem)) => return fail(number, &problem),
            Ok(false) => {}
            Ok(true) => {
                let reply = std::mem::take(&mut adapter.reply);
                if output.write_all(reply.as_bytes()).and_then(|()| output.flush()).is_err() {
                    return fail(number, "the reply could not be written");
                }
            }
        }
    }
    ExitCode::SUCCESS
}

/// Reports an error in a line of input.
fn fail(number: u64, problem: &str) -> ExitCode {
    eprintln!("garnetdoor-adapter: line {number}: {problem}");
    ExitCode::FAILURE
}

impl Adapter {
    /// Processes one line of input; true if it ends a batch, so that the reply is complete.
    fn process(&mut self, text: &str) -> Result<bool, ParseError> {
        let mut line = Line::new(text);
        if let Some(mut page) = self.open_page.take() {
            if line.name != "ENTRY" {
                return Err(line.error("items", "the page has fewer entries than announced"));
            }
            page.entries.push(page_entry(&mut line)?);
            page.missing -= 1;
            self.store_page(page);
            return Ok(false);
        }
        match line.name {
            "ROUND" if !self.in_batch => {
                self.now = line.micros("now")?;
                self.in_batch = true;
            }
            _ if !self.in_batch => return Err(line.error("message", "not in a batch")),
            "YOUR_TURN" => {
                self.in_batch = false;
                self.reply.push_str("EOR\n");
                return Ok(true);
            }
            "PAGE" => {
                let (slot, items) = (line.whole("slot")?, line.whole("items")?);
                self.store_page(OpenPage { slot, entries: Vec::new(), missing: items as usize });
            }
            "CONFIGURE" => self.start(&mut line)?,
            "CRASH_NOW" => {
                let id = self.known_instance(&mut line)?;
                self.instances.remove(&id);
            }
            _ => self.event(&mut line)?,
        }
        Ok(false)
    }

    /// Stores a page if it is complete, else keeps it open.
    fn store_page(&mut self, page: OpenPage) {
        if page.missing == 0 {
            self.pages.insert(page.slot, Rc::new(page.entries));
        } else {
            self.open_page = Some(page);
        }
    }

    /// Reads the number of a running instance.
    fn known_instance(&self, line: &mut Line) -> Result<u64, ParseError> {
        let id = line.whole("i")?;
        if self.instances.contains_key(&id) { Ok(id) } else { Err(line.error("i", "no such instance")) }
    }

    /// Starts an instance, in place of an older one of its number.
    fn start(&mut self, line: &mut Line) -> Result<(), ParseError> {
        let (id, seed) = (line.whole("i")?, line.whole("salt")?);
        let mut pairs = Vec::new();
        while let Some(pair) = line.next_field() {
            let split = pair.split_once('=');
            pairs.push(split.ok_or_else(|| line.error("settings", &format!("'{pair}' is not path=value")))?);
        }
        let settings: Settings = pairs.into_iter().collect();
        let host = InstanceHost::new(id, self.now);
        let own_host = host.clone();
        let started = catch_unwind(AssertUnwindSafe(move || Balancer::start(own_host, seed, settings)));
        let balancer = started.map_err(|panic| host.exception(&panic_text(&*panic))).ok();
        host.move_lines(&mut self.reply);
        self.instances.insert(id, Instance { host, balancer });
        Ok(())
    }

    /// Passes an event to the balancer of its instance, which is dropped if it panics.
    fn event(&mut self, line: &mut Line) -> Result<(), ParseError> {
        if !line::EVENTS.contains(&line.name) {
            return Err(line.error("message", "unknown"));
        }
        let id = self.known_instance(line)?;
        let instance = self.instances.get_mut(&id).expect("looked up above");
        let host = instance.host.clone();
        host.set_now(self.now);
        let call = decode(line, &host, &self.pages)?;
        if let Some(balancer) = &mut instance.balancer
            && let Err(panic) = catch_unwind(AssertUnwindSafe(|| call(balancer)))
        {
            host.exception(&panic_text(&*panic));
            instance.balancer = None;
        }
        host.move_lines(&mut self.reply);
        Ok(())
    }
}

/// The message of a panic.
fn panic_text(panic: &(dyn Any + Send)) -> String {
    let text = panic.downcast_ref::<String>().map(String::as_str);
    text.or_else(|| panic.downcast_ref::<&str>().copied()).unwrap_or("the decisions panicked").to_owned()
}

/// The call of the balancer that an event stands for.
type Call = Box<dyn FnOnce(&mut Balancer<InstanceHost>)>;

/// Reads an event to its end and returns its call, so that a bad line changes nothing.
fn decode(line: &mut Line, host: &InstanceHost, pages: &Pages) -> Result<Call, ParseError> {
    Ok(match line.name {
        "PEERS_KNOWN" => server_list(line, host, pages)?,
        "CALL" => {
            let request = host.request(line.required("op_id")?);
            let arrival = Arrival {
                profile: ProfileId(line.whole("qos")? as usize),
                cost: line.optional_with("effort", |line, field| line.micros(field))?,
                key: line.optional_with("entity", |line, field| line.hex(field))?.map(KeyId),
                time_left: line.micros("left")?,
                writes: line.flag("write")?,
                is_retry: line.flag("retry")?,
                party: line
                    .optional_with("user_group", |line, field| line.whole(field))?
                    .map(|n| PartyId(n as usize)),
            };
            Box::new(move |balancer| balancer.request_arrived(request, arrival))
        }
        "STARTED" => {
            let request = host.request(line.required("op_id")?);
            let attempt = AttemptNo(line.whole("hop")? as u32);
            let (_server, _latency) = (line.required("instance")?, line.micros("latency")?);
            Box::new(move |balancer| balancer.response_started(request, attempt))
        }
        "FINISHED" => {
            let request = host.request(line.required("op_id")?);
            let attempt = AttemptNo(line.whole("hop")? as u32);
            let latency = line.micros("latency")?;
            let outcome = outcome(line)?;
            let _server = line.required("instance")?;
            let done = line.flag("done_flag")?;
            let load = line.load_report("feedback")?;
            Box::new(move |balancer| balancer.attempt_ended(request, attempt, latency, outcome, done, &load))
        }
        "WITHDRAWN" => {
            let request = host.request(line.required("op_id")?);
            Box::new(move |balancer| balancer.client_disconnected(request))
        }
        "TICK_DUE" => {
            let timer = host::timer_of(line.whole("handle")?);
            Box::new(move |balancer| balancer.timer_fired(timer))
        }
        "CHECKED" => {
            let server = host.server(line.required("instance")?);
            let (outcome, latency, load) =
                (outcome(line)?, line.micros("latency")?, line.load_report("feedback")?);
            Box::new(move |balancer| balancer.probe_ended(server, outcome, latency, &load))
        }
        "MEMO" => {
            let from = GatewayId(line.whole("origin_peer")? as usize);
            let bytes = match line.optional("data")? {
                None => Vec::new(),
                Some(text) => BASE64.decode(text).map_err(|_| line.error("data", "not base64"))?,
            };
            Box::new(move |balancer| balancer.peer_message_received(from, &bytes))
        }
        "TRIAL_NEWS" => rollout_event(line)?,
        "SCORECARD" => {
            let attempts = line.whole("samples")?;
            let mean_latency = line.optional_with("latency", |line, field| line.micros(field))?;
            let profile = ProfileId(line.whole("qos")? as usize);
            let age = line.micros("since")?;
            let build = BuildNo(line.whole("build_no")? as u32);
            let tally = Tally { build, profile, attempts, failed: line.whole("lost")?, mean_latency, age };
            Box::new(move |balancer| balancer.tally_received(tally))
        }
        "RETURNED" => {
            let server = host.server(line.required("instance")?);
            let (profile, age) = (ProfileId(line.whole("qos")? as usize), line.micros("since")?);
            Box::new(move |balancer| balancer.answer_disputed(server, profile, age))
        }
        _ => return Err(line.error("message", "unknown")),
    })
}

/// Reads an event of the server list.
fn server_list(line: &mut Line, host: &InstanceHost, pages: &Pages) -> Result<Call, ParseError> {
    let scope = line.required("scope")?;
    if scope == "FAILED" {
        return Ok(Box::new(|balancer| balancer.server_list_failed()));
    }
    if !["INCREMENTAL", "FULL", "SAVED"].contains(&scope) {
        return Err(line.error("scope", "not INCREMENTAL, FULL, SAVED or FAILED"));
    }
    let slot = line.whole("slot")?;
    let page = pages.get(&slot).ok_or_else(|| line.error("slot", "no such page"))?;
    let entries: Vec<_> = page.iter().map(|entry| entry.resolve(host)).collect();
    let _version = line.required("gen")?;
    // A saved list is complete, only older.
    Ok(match scope {
        "INCREMENTAL" => Box::new(move |balancer| balancer.server_list_updated(entries)),
        _ => Box::new(move |balancer| balancer.server_list_replaced(entries)),
    })
}

/// Reads an entry of a page.
fn page_entry(line: &mut Line) -> Result<PageEntry, ParseError> {
    let name = line.required("instance")?.to_owned();
    let build = BuildNo(line.count("release")? as u32);
    let zone = ZoneId(line.whole("region_part")? as usize);
    let machine_type = MachineTypeId(line.whole("family_type")? as usize);
    let cell = CellId(line.whole("group")?);
    let words = ["healthy", "cordoned", "deregistered"];
    let condition = value_of_name(Condition::ALL, words, line.required("condition")?);
    let condition =
        condition.ok_or_else(|| line.error("condition", "not healthy, cordoned or deregistered"))?;
    let capacity = line.number("nominal")?;
    let started = line.optional_with("launched", |line, field| line.micros(field))?.filter(|at| *at != 0);
    Ok(PageEntry { name, build, zone, machine_type, cell, condition, capacity, started })
}

/// Reads how an attempt or a probe ended.
fn outcome(line: &mut Line) -> Result<AttemptOutcome, ParseError> {
    Ok(match line.whole("verdict")? {
        0 => AttemptOutcome::Error,
        1 => AttemptOutcome::Succeeded,
        2 => AttemptOutcome::Rejected,
        3 => AttemptOutcome::TimedOut,
        4 => AttemptOutcome::ConnectFailed,
        5 => AttemptOutcome::Reset,
        6 => AttemptOutcome::Cancelled,
        7 => AttemptOutcome::NeverSent,
        _ => return Err(line.error("verdict", "not 0 to 7")),
    })
}

/// Reads an event of the rollout: its state, the answer to a vote, or both.
fn rollout_event(line: &mut Line) -> Result<Call, ParseError> {
    let build = line.optional_with("build_no", |line, field| line.whole(field))?;
    let stage = line.optional_with("ring", |line, field| line.whole(field))?;
    let progress = line.optional_with("progress", |line, field| line.whole(field))?;
    let answers_vote = line.whole("code")? == 1;
    let result = match line.whole("verdict")? {
        1 => VoteResult::Counted,
        7 => VoteResult::Moot,
        2 => VoteResult::Full,
        0 => VoteResult::Error,
        3 => VoteResult::Unknown,
        _ => return Err(line.error("verdict", "not 0, 1, 2, 3 or 7")),
    };
    let cap = line.optional_with("exposure", |line, field| line.number(field))?;
    let age = line.optional_with("since", |line, field| line.micros(field))?;
    if result != VoteResult::Counted {
        // The other fields are valid only if the vote counted.
        return Ok(Box::new(move |balancer| {
            if answers_vote {
                balancer.vote_answered(result)
            }
        }));
    }
    let required = |value: Option<u64>, field| value.ok_or_else(|| line.error(field, "absent"));
    let phase = RolloutPhase::ALL.get(required(progress, "progress")? as usize).copied();
    let phase = phase.ok_or_else(|| line.error("progress", "not 0 to 3"))?;
    let rollout = RolloutStatus {
        build: BuildNo(required(build, "build_no")? as u32),
        stage: StageNo(required(stage, "ring")? as usize),
        phase,
        exposure_cap: cap.ok_or_else(|| line.error("exposure", "absent"))?,
        age: age.ok_or_else(|| line.error("since", "absent"))?,
    };
    Ok(Box::new(move |balancer| {
        balancer.rollout_updated(rollout);
        if answers_vote {
            balancer.vote_answered(result);
        }
    }))
}
