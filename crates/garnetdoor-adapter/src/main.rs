//! garnetdoor on the bench's wire: reads batches of events on standard input, calls the decisions, and
//! writes what they ask for on standard output. It decides nothing.

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

use host::{Handle, Listed};
use line::{Bad, Line};

/// One gateway; `None` in place of its decisions once they have panicked.
struct Instance {
    handle: Handle,
    decisions: Option<Balancer<Handle>>,
}

#[derive(Default)]
struct Adapter {
    now: Micros,
    instances: BTreeMap<u64, Instance>,
    pages: BTreeMap<u64, Rc<Vec<Listed>>>,
    /// The page that is being read and the entries that it still lacks.
    filling: Option<(u64, Vec<Listed>, usize)>,
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
            Err(error) => return refuse(number, &error.to_string()),
            Ok(0) if adapter.in_batch => return refuse(number, "field YOUR_TURN: input ends inside a batch"),
            Ok(0) => return ExitCode::SUCCESS,
            Ok(_) => {}
        }
        let Ok(text) = std::str::from_utf8(&bytes) else {
            return refuse(number, "field message: not UTF-8");
        };
        let text = text.trim_end_matches(['\n', '\r']);
        match adapter.take(text) {
            Err(Bad(what)) => return refuse(number, &what),
            Ok(false) => {}
            Ok(true) => {
                let reply = std::mem::take(&mut adapter.reply);
                if output.write_all(reply.as_bytes()).and_then(|()| output.flush()).is_err() {
                    return refuse(number, "the reply could not be written");
                }
            }
        }
    }
    ExitCode::SUCCESS
}

fn refuse(number: u64, what: &str) -> ExitCode {
    eprintln!("garnetdoor-adapter: line {number}: {what}");
    ExitCode::FAILURE
}

impl Adapter {
    /// Takes one line of input; true when it ends a batch and the reply is ready.
    fn take(&mut self, text: &str) -> Result<bool, Bad> {
        let mut line = Line::new(text);
        if let Some((slot, mut entries, missing)) = self.filling.take() {
            if line.name != "ENTRY" {
                return Err(line.bad("items", "a page holds fewer entries than it says"));
            }
            entries.push(entry(&mut line)?);
            self.fill(slot, entries, missing - 1);
            return Ok(false);
        }
        match line.name {
            "ROUND" if !self.in_batch => {
                self.now = line.micros("now")?;
                self.in_batch = true;
            }
            _ if !self.in_batch => return Err(line.bad("message", "stands outside a batch")),
            "YOUR_TURN" => {
                self.in_batch = false;
                self.reply.push_str("EOR\n");
                return Ok(true);
            }
            "PAGE" => {
                let (slot, items) = (line.whole("slot")?, line.whole("items")?);
                self.fill(slot, Vec::new(), items as usize);
            }
            "CONFIGURE" => self.start(&mut line)?,
            "CRASH_NOW" => {
                let id = self.known(&mut line)?;
                self.instances.remove(&id);
            }
            _ => self.event(&mut line)?,
        }
        Ok(false)
    }

    fn fill(&mut self, slot: u64, entries: Vec<Listed>, missing: usize) {
        if missing == 0 {
            self.pages.insert(slot, Rc::new(entries));
        } else {
            self.filling = Some((slot, entries, missing));
        }
    }

    fn known(&self, line: &mut Line) -> Result<u64, Bad> {
        let id = line.whole("i")?;
        if self.instances.contains_key(&id) { Ok(id) } else { Err(line.bad("i", "no such instance")) }
    }

    fn start(&mut self, line: &mut Line) -> Result<(), Bad> {
        let (id, seed) = (line.whole("i")?, line.whole("salt")?);
        let mut pairs = Vec::new();
        while let Some(pair) = line.rest() {
            let split = pair.split_once('=');
            pairs.push(split.ok_or_else(|| line.bad("settings", &format!("'{pair}' is no path=value")))?);
        }
        let settings: Settings = pairs.into_iter().collect();
        let handle = Handle::new(id, self.now);
        let mine = handle.clone();
        let made = catch_unwind(AssertUnwindSafe(move || Balancer::start(mine, seed, settings)));
        let made = made.map_err(|panic| handle.exception(&panic_text(&*panic))).ok();
        handle.drain(&mut self.reply);
        self.instances.insert(id, Instance { handle, decisions: made });
        Ok(())
    }

    fn event(&mut self, line: &mut Line) -> Result<(), Bad> {
        if !line::EVENTS.contains(&line.name) {
            return Err(line.bad("message", "unknown"));
        }
        let id = self.known(line)?;
        let instance = self.instances.get_mut(&id).expect("looked up above");
        let handle = instance.handle.clone();
        handle.set_now(self.now);
        let call = decode(line, &handle, &self.pages)?;
        if let Some(decisions) = &mut instance.decisions
            && let Err(panic) = catch_unwind(AssertUnwindSafe(|| call(decisions)))
        {
            handle.exception(&panic_text(&*panic));
            instance.decisions = None;
        }
        handle.drain(&mut self.reply);
        Ok(())
    }
}

fn panic_text(panic: &(dyn Any + Send)) -> String {
    let text = panic.downcast_ref::<String>().map(String::as_str);
    text.or_else(|| panic.downcast_ref::<&str>().copied()).unwrap_or("the decisions panicked").to_owned()
}

type Call = Box<dyn FnOnce(&mut Balancer<Handle>)>;

/// Reads one event whole, then hands back the call that it stands for.
fn decode(line: &mut Line, handle: &Handle, pages: &BTreeMap<u64, Rc<Vec<Listed>>>) -> Result<Call, Bad> {
    Ok(match line.name {
        "PEERS_KNOWN" => list(line, handle, pages)?,
        "CALL" => {
            let ticket = handle.ticket(line.need("op_id")?);
            let arrival = Arrival {
                profile: ProfileId(line.whole("qos")? as usize),
                cost: line.maybe("effort", |line, field| line.micros(field))?,
                key: line.maybe("entity", |line, field| line.hex(field))?.map(KeyId),
                time_left: line.micros("left")?,
                writes: line.flag("write")?,
                is_retry: line.flag("retry")?,
                party: line
                    .maybe("user_group", |line, field| line.whole(field))?
                    .map(|n| PartyId(n as usize)),
            };
            Box::new(move |gate| gate.request_arrived(ticket, arrival))
        }
        "STARTED" => {
            let ticket = handle.ticket(line.need("op_id")?);
            let trip = AttemptNo(line.whole("hop")? as u32);
            let (_server, _took) = (line.need("instance")?, line.micros("latency")?);
            Box::new(move |gate| gate.response_started(ticket, trip))
        }
        "FINISHED" => {
            let ticket = handle.ticket(line.need("op_id")?);
            let trip = AttemptNo(line.whole("hop")? as u32);
            let took = line.micros("latency")?;
            let ending = ending(line)?;
            let _server = line.need("instance")?;
            let over = line.flag("done_flag")?;
            let load = line.row("feedback")?;
            Box::new(move |gate| gate.attempt_ended(ticket, trip, took, ending, over, &load))
        }
        "WITHDRAWN" => {
            let ticket = handle.ticket(line.need("op_id")?);
            Box::new(move |gate| gate.client_disconnected(ticket))
        }
        "TICK_DUE" => {
            let wake = host::wake(line.whole("handle")?);
            Box::new(move |gate| gate.timer_fired(wake))
        }
        "CHECKED" => {
            let server = handle.server(line.need("instance")?);
            let (ending, took, load) = (ending(line)?, line.micros("latency")?, line.row("feedback")?);
            Box::new(move |gate| gate.probe_ended(server, ending, took, &load))
        }
        "MEMO" => {
            let from = GatewayId(line.whole("origin_peer")? as usize);
            let bytes = match line.optional("data")? {
                None => Vec::new(),
                Some(text) => BASE64.decode(text).map_err(|_| line.bad("data", "not base64"))?,
            };
            Box::new(move |gate| gate.peer_message_received(from, &bytes))
        }
        "TRIAL_NEWS" => news(line)?,
        "SCORECARD" => {
            let attempts = line.whole("samples")?;
            let mean_latency = line.maybe("latency", |line, field| line.micros(field))?;
            let profile = ProfileId(line.whole("qos")? as usize);
            let age = line.micros("since")?;
            let build = BuildNo(line.whole("build_no")? as u32);
            let tally = Tally { build, profile, attempts, failed: line.whole("lost")?, mean_latency, age };
            Box::new(move |gate| gate.tally_received(tally))
        }
        "RETURNED" => {
            let server = handle.server(line.need("instance")?);
            let (profile, age) = (ProfileId(line.whole("qos")? as usize), line.micros("since")?);
            Box::new(move |gate| gate.answer_disputed(server, profile, age))
        }
        _ => return Err(line.bad("message", "unknown")),
    })
}

fn list(line: &mut Line, handle: &Handle, pages: &BTreeMap<u64, Rc<Vec<Listed>>>) -> Result<Call, Bad> {
    let scope = line.need("scope")?;
    if scope == "FAILED" {
        return Ok(Box::new(|gate| gate.server_list_failed()));
    }
    if !["INCREMENTAL", "FULL", "SAVED"].contains(&scope) {
        return Err(line.bad("scope", "not INCREMENTAL, FULL, SAVED or FAILED"));
    }
    let slot = line.whole("slot")?;
    let page = pages.get(&slot).ok_or_else(|| line.bad("slot", "no such page"))?;
    let entries: Vec<_> = page.iter().map(|entry| entry.resolve(handle)).collect();
    let _version = line.need("gen")?;
    // A saved list is a whole one, if an old one.
    Ok(match scope {
        "INCREMENTAL" => Box::new(move |gate| gate.server_list_updated(entries)),
        _ => Box::new(move |gate| gate.server_list_replaced(entries)),
    })
}

fn entry(line: &mut Line) -> Result<Listed, Bad> {
    let name = line.need("instance")?.to_owned();
    let build = BuildNo(line.count("release")? as u32);
    let zone = ZoneId(line.whole("region_part")? as usize);
    let machine_type = MachineTypeId(line.whole("family_type")? as usize);
    let cell = CellId(line.whole("group")?);
    let words = ["healthy", "cordoned", "deregistered"];
    let condition = value_of_name(Condition::ALL, words, line.need("condition")?);
    let condition =
        condition.ok_or_else(|| line.bad("condition", "not healthy, cordoned or deregistered"))?;
    let capacity = line.number("nominal")?;
    let started = line.maybe("launched", |line, field| line.micros(field))?.filter(|at| *at != 0);
    Ok(Listed { name, build, zone, machine_type, cell, condition, capacity, started })
}

fn ending(line: &mut Line) -> Result<AttemptOutcome, Bad> {
    Ok(match line.whole("verdict")? {
        0 => AttemptOutcome::Error,
        1 => AttemptOutcome::Succeeded,
        2 => AttemptOutcome::Rejected,
        3 => AttemptOutcome::TimedOut,
        4 => AttemptOutcome::ConnectFailed,
        5 => AttemptOutcome::Reset,
        6 => AttemptOutcome::Cancelled,
        7 => AttemptOutcome::NeverSent,
        _ => return Err(line.bad("verdict", "not 0 to 7")),
    })
}

fn news(line: &mut Line) -> Result<Call, Bad> {
    let build = line.maybe("build_no", |line, field| line.whole(field))?;
    let stage = line.maybe("ring", |line, field| line.whole(field))?;
    let progress = line.maybe("progress", |line, field| line.whole(field))?;
    let reply = line.whole("code")? == 1;
    let taken = match line.whole("verdict")? {
        1 => VoteResult::Counted,
        7 => VoteResult::Moot,
        2 => VoteResult::Full,
        0 => VoteResult::Error,
        3 => VoteResult::Unknown,
        _ => return Err(line.bad("verdict", "not 0, 1, 2, 3 or 7")),
    };
    let cap = line.maybe("exposure", |line, field| line.number(field))?;
    let age = line.maybe("since", |line, field| line.micros(field))?;
    if taken != VoteResult::Counted {
        // The other fields hold only where the platform answered.
        return Ok(Box::new(move |gate| {
            if reply {
                gate.vote_answered(taken)
            }
        }));
    }
    let need = |what: Option<u64>, field| what.ok_or_else(|| line.bad(field, "absent"));
    let phase = RolloutPhase::ALL.get(need(progress, "progress")? as usize).copied();
    let phase = phase.ok_or_else(|| line.bad("progress", "not 0 to 3"))?;
    let news = RolloutStatus {
        build: BuildNo(need(build, "build_no")? as u32),
        stage: StageNo(need(stage, "ring")? as usize),
        phase,
        exposure_cap: cap.ok_or_else(|| line.bad("exposure", "absent"))?,
        age: age.ok_or_else(|| line.bad("since", "absent"))?,
    };
    Ok(Box::new(move |gate| {
        gate.rollout_updated(news);
        if reply {
            gate.vote_answered(taken);
        }
    }))
}
