//! Rules (invariants): each looks at what was seen, and tells the first thing that breaks it.

use std::collections::{BTreeMap, BTreeSet};

use configuration::RouteKind;
use types::{MS, Micros, SECOND};

use crate::seen::{Answer, Seen, What};
use crate::touch::Touch;

/// Bounds that rules hold by; the small sites' figures.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    pub contact: Micros,
    pub apply: Micros,
    pub drain: Micros,
    /// An order is acknowledged within this while all is calm.
    pub ack: Micros,
    /// From SIGTERM to the end of a process.
    pub grace: Micros,
    pub loss_slack: Micros,
    pub retry_ratio: f64,
    pub retry_slack: f64,
    pub retry_window: Micros,
    pub exposure_share: f64,
    pub exposure_slack: f64,
    pub rollback: Micros,
    /// Once faults end, a change is acknowledged within this.
    pub progress: Micros,
    /// Once faults end, requests are served again after this.
    pub recovery: Micros,
    /// A call to control has its answer within this: callers leave after a second.
    pub answer: Micros,
    /// For so long after its return a machine still counts as lost.
    pub catch_up: Micros,
}

impl Default for Terms {
    fn default() -> Terms {
        Terms {
            contact: 3 * SECOND,
            apply: 2_500 * MS,
            drain: 2_500 * MS,
            ack: 5 * SECOND,
            grace: 6 * SECOND,
            loss_slack: 200 * MS,
            retry_ratio: 0.2,
            retry_slack: 58.0,
            retry_window: 10 * SECOND,
            exposure_share: 0.1,
            exposure_slack: 50.0,
            rollback: 5 * SECOND,
            progress: 8 * SECOND,
            recovery: 5 * SECOND,
            answer: 900 * MS,
            catch_up: 4 * SECOND,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    Lost,
    Winner,
    Invalid,
    Back,
    Applied,
    Drain,
    Twice,
    Refused,
    Route,
    Budget,
    Exposure,
    Leader,
    Progress,
    Served,
    /// Refused with 404 though every configuration that may be in force has the route.
    Denied,
    /// Routes that came later are served far less than the first ones.
    Added,
    /// A request in hand is broken off as a foyer ends in order.
    BrokenOff,
    /// Orders and drains without an answer in calm times.
    Unanswered,
    /// A call to control is held so long that its caller leaves.
    Answered,
    /// A proper change on top of the newest version, the only one there, is refused.
    Newest,
    /// What was taken is refused when it is sent again.
    Repeat,
    /// What was on trial and has ended is on trial again by a late repeat.
    Trial,
    /// A foyer becomes ready on what was old `ContactS` ago.
    Stale,
    /// A drain that anybody acknowledged is not known to foyers in touch.
    Untold,
    /// A core machine never caught up.
    Behind,
    /// A client gets the answer to another request.
    Mixed,
}

/// A rule that is broken: where, and what was seen.
#[derive(Clone, Debug, PartialEq)]
pub struct Broken {
    pub rule: Rule,
    pub at: Micros,
    pub what: String,
}

type Checker = fn(&[Seen], &Terms) -> Option<Broken>;

/// All rules with their checkers.
pub const ALL: [(Rule, Checker); 26] = [
    (Rule::Lost, lost),
    (Rule::Winner, winner),
    (Rule::Invalid, invalid),
    (Rule::Back, back),
    (Rule::Applied, applied),
    (Rule::Drain, drain),
    (Rule::Twice, twice),
    (Rule::Refused, refused),
    (Rule::Route, route),
    (Rule::Budget, budget),
    (Rule::Exposure, exposure),
    (Rule::Leader, leader),
    (Rule::Progress, progress),
    (Rule::Served, served),
    (Rule::Denied, denied),
    (Rule::Added, added),
    (Rule::BrokenOff, broken_off),
    (Rule::Unanswered, unanswered),
    (Rule::Answered, answered),
    (Rule::Newest, newest),
    (Rule::Repeat, repeat),
    (Rule::Trial, trial),
    (Rule::Stale, stale),
    (Rule::Untold, untold),
    (Rule::Behind, lagging),
    (Rule::Mixed, mixed),
];

/// Every rule that a run breaks, the first one first.
pub fn check(log: &[Seen], terms: &Terms) -> Vec<Broken> {
    let mut broken: Vec<Broken> = ALL.iter().filter_map(|(_, check)| check(log, terms)).collect();
    broken.sort_by_key(|broken| (broken.at, broken.rule));
    broken
}

fn broken(rule: Rule, at: Micros, what: String) -> Option<Broken> {
    Some(Broken { rule, at, what })
}

/// Orders as they were sent: base, version, valid.
fn orders(log: &[Seen]) -> BTreeMap<u32, (u32, u32, bool)> {
    let sent = log.iter().filter_map(|seen| match seen.what {
        What::Sent { order, base, version, valid, .. } => Some((order, (base, version, valid))),
        _ => None,
    });
    sent.collect()
}

/// What was acknowledged is read back by everyone who asks after it, and is right; so are roll-outs.
fn lost(log: &[Seen], _: &Terms) -> Option<Broken> {
    let orders = orders(log);
    let mut newest: Vec<(Micros, u32)> = vec![(0, 0)];
    for seen in log {
        match &seen.what {
            What::Acked { order, .. } => {
                let version = orders.get(order).map_or(0, |order| order.1);
                let most = newest.last().map_or(0, |last| last.1).max(version);
                newest.push((seen.at, most));
            }
            What::Read { asked, version, right } => {
                let known = newest.iter().rev().find(|(at, _)| at < asked).map_or(0, |known| known.1);
                if *version < known {
                    let what = format!("version {version:x} was read, {known:x} had been acknowledged");
                    return broken(Rule::Lost, seen.at, what);
                }
                if !right {
                    return broken(Rule::Lost, seen.at, format!("version {version:x} is not what was sent"));
                }
            }
            What::Unread => return broken(Rule::Lost, seen.at, "nothing could be read back".into()),
            What::RolloutLost { service, version } => {
                let what = format!("the roll-out of service {service} to v{version} is not known any more");
                return broken(Rule::Lost, seen.at, what);
            }
            _ => {}
        }
    }
    None
}

/// Of the changes on one base, one is acknowledged, and none that was refused before. (`repeat` looks at the other
/// way round.)
fn winner(log: &[Seen], _: &Terms) -> Option<Broken> {
    let orders = orders(log);
    let mut winners: BTreeMap<u32, u32> = BTreeMap::new();
    let mut denied = BTreeSet::new();
    for seen in log {
        match seen.what {
            What::Acked { order, .. } => {
                let Some((base, ..)) = orders.get(&order) else { continue };
                let first = *winners.entry(*base).or_insert(order);
                if first != order {
                    let what = format!("orders {first} and {order} were both acknowledged on base {base:x}");
                    return broken(Rule::Winner, seen.at, what);
                }
                if denied.contains(&order) {
                    return broken(Rule::Winner, seen.at, format!("order {order} was refused before"));
                }
            }
            What::Denied { order, .. } => drop(denied.insert(order)),
            _ => {}
        }
    }
    None
}

/// Nothing invalid, refused or never sent is acknowledged or in force.
fn invalid(log: &[Seen], _: &Terms) -> Option<Broken> {
    let orders = orders(log);
    let by_version: BTreeMap<u32, u32> =
        orders.iter().filter(|(_, order)| order.2).map(|(number, order)| (order.1, *number)).collect();
    let mut denied = BTreeSet::new();
    for seen in log {
        match seen.what {
            What::Acked { order, .. } if orders.get(&order).is_some_and(|order| !order.2) => {
                return broken(Rule::Invalid, seen.at, format!("order {order} is invalid and was taken"));
            }
            What::Denied { order, .. } => {
                denied.insert(order);
            }
            What::Handled { version, foyer, .. } if version > 0 => match by_version.get(&version) {
                None => {
                    let what = format!("version {version:x}, in force at {foyer}, is nobody's");
                    return broken(Rule::Invalid, seen.at, what);
                }
                Some(order) if denied.contains(order) => {
                    let what = format!("version {version:x}, in force at {foyer}, was refused");
                    return broken(Rule::Invalid, seen.at, what);
                }
                Some(_) => {}
            },
            _ => {}
        }
    }
    None
}

/// No foyer goes back within a life.
fn back(log: &[Seen], _: &Terms) -> Option<Broken> {
    let mut newest: BTreeMap<(usize, u64), u32> = BTreeMap::new();
    for seen in log {
        if let What::Handled { foyer, life, version, .. } = seen.what {
            let last = newest.entry((foyer, life)).or_insert(version);
            if version < *last {
                let what = format!("foyer {foyer} goes by version {version:x} after {last:x}");
                return broken(Rule::Back, seen.at, what);
            }
            *last = version;
        }
    }
    None
}

/// How late something was, when, and in words.
type Late = (Micros, Micros, String);

/// By each request that a foyer in touch handled by an older version than was acknowledged: how long after.
fn behind(log: &[Seen], terms: &Terms) -> Vec<Late> {
    let touch = Touch::of(log, terms.contact);
    let orders = orders(log);
    let mut acked: Vec<(Micros, u32)> = Vec::new();
    let mut late = Vec::new();
    for seen in log {
        match seen.what {
            What::Acked { order, .. } => acked.extend(orders.get(&order).map(|order| (seen.at, order.1))),
            What::Handled { foyer, version, sent, .. } => {
                let newer = acked.iter().filter(|(at, known)| *at < sent && version < *known);
                let Some((at, known)) = newer.min() else { continue };
                if touch.machine(foyer, seen.at) {
                    let what = format!(
                        "foyer {foyer} in touch goes by version {version:x}, {known:x} was acknowledged before"
                    );
                    late.push((sent - at, seen.at, what));
                }
            }
            _ => {}
        }
    }
    late
}

/// By each request that reaches an instance whose drain is acknowledged, by machines in touch: how long after. Of
/// acknowledgements those by machines in touch count, or all.
fn after_drains(log: &[Seen], terms: &Terms, by_all: bool) -> Vec<Late> {
    let touch = Touch::of(log, terms.contact);
    let mut acked: BTreeMap<u32, Micros> = BTreeMap::new();
    let mut late = Vec::new();
    for seen in log {
        match seen.what {
            What::DrainAcked { instance, by } if by_all || touch.machine(by, seen.at) => {
                acked.entry(instance).or_insert(seen.at);
            }
            What::Arrived { instance, foyer, request, .. } => {
                let Some(at) = acked.get(&instance) else { continue };
                if touch.machine(foyer, seen.at) {
                    let what =
                        format!("request {request} by foyer {foyer} reaches drained instance {instance}");
                    late.push((seen.at - at, seen.at, what));
                }
            }
            _ => {}
        }
    }
    late
}

fn later_than(rule: Rule, late: Vec<Late>, bound: Micros) -> Option<Broken> {
    let (_, at, what) = late.into_iter().find(|(by, ..)| *by > bound)?;
    broken(rule, at, what)
}

/// In touch, a request sent `ConfigApplyS` after an acknowledgement is handled by that version or a later one.
fn applied(log: &[Seen], terms: &Terms) -> Option<Broken> {
    later_than(Rule::Applied, behind(log, terms), terms.apply)
}

/// In touch, nothing reaches an instance `DrainS` after its drain was acknowledged.
fn drain(log: &[Seen], terms: &Terms) -> Option<Broken> {
    later_than(Rule::Drain, after_drains(log, terms, false), terms.drain)
}

fn kinds(log: &[Seen]) -> BTreeMap<u64, (usize, RouteKind)> {
    let asked = log.iter().filter_map(|seen| match seen.what {
        What::Asked { request, route, kind } => Some((request, (route, kind))),
        _ => None,
    });
    asked.collect()
}

/// What is not repeatable runs at most once.
fn twice(log: &[Seen], _: &Terms) -> Option<Broken> {
    let kinds = kinds(log);
    let mut ran = BTreeSet::new();
    for seen in log {
        if let What::Ran { request, instance, .. } = seen.what {
            let once = kinds.get(&request).is_some_and(|(_, kind)| !kind.is_idempotent());
            if once && !ran.insert(request) {
                let what = format!("request {request} runs a second time, at instance {instance}");
                return broken(Rule::Twice, seen.at, what);
            }
        }
    }
    None
}

/// What was answered with a promise, and is not repeatable, never runs.
fn refused(log: &[Seen], _: &Terms) -> Option<Broken> {
    let kinds = kinds(log);
    let (mut ran, mut promised) = (BTreeSet::new(), BTreeSet::new());
    for seen in log {
        let request = match seen.what {
            What::Ran { request, .. } => {
                ran.insert(request);
                request
            }
            What::Answered { request, answer: Answer::Promise } => {
                promised.insert(request);
                request
            }
            _ => continue,
        };
        let once = kinds.get(&request).is_some_and(|(_, kind)| !kind.is_idempotent());
        if once && ran.contains(&request) && promised.contains(&request) {
            let what = format!("request {request} was promised not to run, and ran");
            return broken(Rule::Refused, seen.at, what);
        }
    }
    None
}

/// Only services that some configuration lets a route go to, and versions that were ordered, run a request, and
/// only the life that it was meant for.
fn route(log: &[Seen], _: &Terms) -> Option<Broken> {
    let kinds = kinds(log);
    let mut allows: BTreeSet<(usize, usize)> = BTreeSet::new();
    let mut versions: BTreeMap<usize, BTreeSet<u32>> = BTreeMap::new();
    for seen in log {
        match &seen.what {
            What::Sent { allows: more, .. } => allows.extend(more),
            What::Ordered { service, version, .. } => {
                versions.entry(*service).or_default().insert(*version);
            }
            What::Ran { request, service, version, instance, .. } => {
                let Some((route, _)) = kinds.get(request) else {
                    return broken(Rule::Route, seen.at, format!("request {request} was never sent"));
                };
                if !allows.contains(&(*route, *service)) {
                    let what = format!("route {route} ran at service {service}, instance {instance}");
                    return broken(Rule::Route, seen.at, what);
                }
                let ordered = versions.get(service).is_some_and(|versions| versions.contains(version));
                if *version != 1 && !ordered {
                    let what = format!("version {version} of service {service} ran request {request}");
                    return broken(Rule::Route, seen.at, what);
                }
            }
            What::Arrived { request, service, asked_for, .. } if service != asked_for => {
                let what = format!("request {request} for service {asked_for} is taken by service {service}");
                return broken(Rule::Route, seen.at, what);
            }
            _ => {}
        }
    }
    None
}

/// The further tries that services get in windows, and how many each window allows; turned away ones count too.
fn further_tries(log: &[Seen], terms: &Terms) -> Vec<(f64, f64, Micros, usize)> {
    let mut asked: BTreeMap<usize, Vec<Micros>> = BTreeMap::new();
    let mut further: BTreeMap<usize, Vec<Micros>> = BTreeMap::new();
    let mut arrived = BTreeSet::new();
    for seen in log {
        match seen.what {
            What::Handled { service, sent, .. } => asked.entry(service).or_default().push(sent),
            What::Arrived { request, asked_for, .. } | What::TurnedAway { request, asked_for }
                if !arrived.insert(request) =>
            {
                further.entry(asked_for).or_default().push(seen.at);
            }
            _ => {}
        }
    }
    let mut windows = Vec::new();
    for (service, times) in &further {
        let mut sent = asked.remove(service).unwrap_or_default();
        sent.sort_unstable();
        let count = |from: Micros, to: Micros| {
            sent.partition_point(|at| *at <= to) - sent.partition_point(|at| *at <= from)
        };
        let mut first = 0;
        for (last, end) in times.iter().enumerate() {
            while times[first] <= end - terms.retry_window {
                first += 1;
            }
            let window = terms.retry_window;
            let within = |back: Micros| count(end - back - window, end - back);
            let requests = within(0).max(within(window)).max(within(window / 2)) as f64;
            let (extra, most) = ((last + 1 - first) as f64, terms.retry_ratio * requests + terms.retry_slack);
            windows.push((extra, most, *end, *service));
        }
    }
    windows
}

/// Arrivals beyond the first of each request keep to ratio and slack, in every window.
fn budget(log: &[Seen], terms: &Terms) -> Option<Broken> {
    let windows = further_tries(log, terms);
    let (extra, most, at, service) = windows.into_iter().find(|(extra, most, ..)| extra > most)?;
    broken(Rule::Budget, at, format!("service {service} gets {extra} further tries, {most:.0} are allowed"))
}

/// For each bad version that is ordered: what it got and might get by its term, the last request's moment, in
/// words, and what it got long after its 50th bad answer.
fn exposures(log: &[Seen], terms: &Terms) -> Vec<(f64, f64, Micros, String, Option<Broken>)> {
    let touch = Touch::of(log, terms.contact);
    let asked = log.iter().filter_map(|seen| match seen.what {
        What::Asked { request, .. } => Some((request, seen.at)),
        _ => None,
    });
    let asked: BTreeMap<u64, Micros> = asked.collect();
    let ordered = log.iter().filter_map(|seen| match seen.what {
        What::Ordered { service, version, bad: true, term } => Some((seen.at, service, version, term)),
        _ => None,
    });
    let mut found = Vec::new();
    for (from, service, version, term) in ordered {
        let mut after = None;
        let (mut all, mut there, mut bad) = (0.0, 0.0, Vec::new());
        let mut last = from;
        for seen in log.iter().filter(|seen| seen.at >= from) {
            match seen.what {
                What::BadAnswer { service: s, version: v } if (s, v) == (service, version) => {
                    bad.push(seen.at);
                }
                What::Ran { service: s, version: v, foyer, request, .. } if s == service => {
                    let reached = v == version && touch.machine(foyer, seen.at);
                    if seen.at <= term {
                        all += 1.0;
                        there += f64::from(u8::from(reached));
                        last = seen.at;
                    }
                    let since = touch.unsettled_before(seen.at);
                    let start = bad.partition_point(|at| *at < since);
                    let sent = asked.get(&request).copied().unwrap_or(seen.at);
                    let spent = bad.get(start + 49).is_some_and(|at| sent > at + terms.rollback);
                    if reached && spent {
                        let what =
                            format!("request {request} reaches v{version} long after its 50th bad answer");
                        after = after.or_else(|| broken(Rule::Exposure, seen.at, what));
                    }
                }
                _ => {}
            }
        }
        let what = format!("bad v{version} of service {service} got {there} of {all} requests");
        found.push((there, terms.exposure_share * all + terms.exposure_slack, last, what, after));
    }
    found
}

/// A bad version gets its share at most between order and term, and nothing `RollbackS` after 50 bad answers.
fn exposure(log: &[Seen], terms: &Terms) -> Option<Broken> {
    let found = exposures(log, terms).into_iter().filter_map(|(there, most, last, what, after)| {
        after.or_else(|| if there > most { broken(Rule::Exposure, last, what) } else { None })
    });
    found.min_by_key(|broken| broken.at)
}

/// At most one leader a term.
fn leader(log: &[Seen], _: &Terms) -> Option<Broken> {
    let mut leaders: BTreeMap<u64, (usize, u64)> = BTreeMap::new();
    for seen in log {
        if let What::Leads { term, machine, life } = seen.what {
            let first = *leaders.entry(term).or_insert((machine, life));
            if first != (machine, life) {
                let what = format!("machines {} and {machine} lead in term {term}", first.0);
                return broken(Rule::Leader, seen.at, what);
            }
        }
    }
    None
}

fn calm(log: &[Seen]) -> Option<Micros> {
    log.iter().find(|seen| seen.what == What::Calm).map(|seen| seen.at)
}

/// From the end of all faults to the acknowledgement of a change that was sent after it.
pub fn progress_after(log: &[Seen]) -> Option<Micros> {
    let calm = calm(log)?;
    let mut late = BTreeSet::new();
    log.iter().find_map(|seen| match seen.what {
        What::Sent { order, .. } if seen.at >= calm => {
            late.insert(order);
            None
        }
        What::Acked { order, .. } if late.contains(&order) => Some(seen.at - calm),
        _ => None,
    })
}

fn progress(log: &[Seen], terms: &Terms) -> Option<Broken> {
    let (calm, end) = (calm(log)?, log.last()?.at);
    match progress_after(log) {
        Some(after) if after <= terms.progress => None,
        None if end - calm < terms.progress => None,
        found => {
            let after = found.map_or("never".into(), |after| format!("{:.1} s", after as f64 / 1e6));
            broken(Rule::Progress, calm + terms.progress, format!("a change after the faults: {after}"))
        }
    }
}

/// Of the requests sent once faults are over, how many were served.
pub fn served_after(log: &[Seen], terms: &Terms) -> Option<f64> {
    let (from, end) = (calm(log)? + terms.recovery, log.last()?.at - 1_500 * MS);
    let sent = log.iter().filter_map(|seen| match seen.what {
        What::Asked { request, .. } if (from..end).contains(&seen.at) => Some(request),
        _ => None,
    });
    let sent: BTreeSet<u64> = sent.collect();
    let good = log.iter().filter(|seen| match seen.what {
        What::Answered { request, answer: Answer::Good } => sent.contains(&request),
        _ => false,
    });
    (sent.len() >= 20).then(|| good.count() as f64 / sent.len() as f64)
}

/// Routes from this number on come and go.
fn first_routes(log: &[Seen]) -> usize {
    let shape = log.iter().find_map(|seen| match seen.what {
        What::Shape { routes, .. } => Some(routes),
        _ => None,
    });
    shape.unwrap_or(usize::MAX)
}

/// Of each kind of request for the first routes, those sent once faults are over: (kind, sent at, served).
fn by_kind(log: &[Seen]) -> Vec<(RouteKind, Vec<(Micros, bool)>)> {
    let Some(calm) = calm(log) else { return Vec::new() };
    let end = log.last().map_or(0, |last| last.at) - 1_500 * MS;
    let routes = first_routes(log);
    let good = log.iter().filter_map(|seen| match seen.what {
        What::Answered { request, answer: Answer::Good } => Some(request),
        _ => None,
    });
    let good: BTreeSet<u64> = good.collect();
    let kinds = [RouteKind::Safe, RouteKind::Unsafe, RouteKind::Upload].into_iter().map(|kind| {
        let sent = log.iter().filter_map(|seen| match seen.what {
            What::Asked { request, kind: of, route } if of == kind && route < routes => {
                (calm..end).contains(&seen.at).then(|| (seen.at, good.contains(&request)))
            }
            _ => None,
        });
        (kind, sent.collect())
    });
    kinds.collect()
}

/// Since the faults ended, how long a kind of request, the slowest one, had seconds in which fewer than a quarter
/// of at least five were served before the first better one.
pub fn recovered_after(log: &[Seen]) -> Option<Micros> {
    let calm = calm(log)?;
    let kinds = by_kind(log).into_iter().filter(|(_, sent)| sent.len() >= 40).map(|(_, sent)| {
        let mut seconds: BTreeMap<Micros, (usize, usize)> = BTreeMap::new();
        for (at, good) in sent {
            let second = seconds.entry((at - calm) / SECOND).or_default();
            second.0 += 1;
            second.1 += usize::from(good);
        }
        let counted = seconds.into_iter().filter(|(_, (all, _))| *all >= 5);
        let poor = counted.take_while(|(_, (all, good))| good * 4 < *all).last();
        poor.map_or(0, |(second, _)| (second + 1) * SECOND)
    });
    kinds.max()
}

fn served(log: &[Seen], terms: &Terms) -> Option<Broken> {
    let at = log.last()?.at;
    let from = calm(log)? + terms.recovery;
    for (kind, sent) in by_kind(log) {
        let late: Vec<bool> = sent.iter().filter(|(at, _)| *at >= from).map(|(_, good)| *good).collect();
        let good = late.iter().filter(|good| **good).count();
        if late.len() >= 20 && good * 4 < late.len() {
            let what = format!("{good} of {} {kind:?} requests are served after the faults", late.len());
            return broken(Rule::Served, at, what);
        }
    }
    let after = recovered_after(log)?;
    if after <= terms.recovery || at - from < 2 * SECOND {
        return None;
    }
    broken(Rule::Served, from, "a kind of request has no good second in time after the faults".into())
}

/// For each request of a foyer in touch: its route, whether every configuration that may be in force when it is
/// sent and answered has the route, and what came of it.
struct Due {
    at: Micros,
    added: bool,
    answer: Answer,
}

fn dues(log: &[Seen], terms: &Terms) -> Vec<Due> {
    let touch = Touch::of(log, terms.contact);
    let routes = first_routes(log);
    let (mut refused, mut versions, mut kinds) = (BTreeSet::new(), Vec::new(), BTreeMap::new());
    for seen in log {
        if let What::Denied { order, .. } = seen.what {
            refused.insert(order);
        }
    }
    for seen in log {
        match &seen.what {
            What::Sent { order, version, valid: true, added, .. } if !refused.contains(order) => {
                versions.push((seen.at, *order, *version, added));
            }
            What::Asked { request, route, .. } => {
                kinds.insert(*request, (seen.at, *route));
            }
            _ => {}
        }
    }
    let (mut acked, mut at): (Vec<(Micros, u32)>, BTreeMap<u64, usize>) = Default::default();
    let mut dues = Vec::new();
    for seen in log {
        match seen.what {
            What::Acked { order, .. } => {
                let version =
                    versions.iter().find(|(_, one, ..)| *one == order).map(|(_, _, version, _)| *version);
                acked.extend(version.map(|version| (seen.at, version)));
            }
            What::Handled { request, foyer, .. } => drop(at.insert(request, foyer)),
            What::Answered { request, answer } => {
                let (Some(foyer), Some((sent, route))) = (at.get(&request), kinds.get(&request)) else {
                    continue;
                };
                let known =
                    acked.iter().filter(|(at, _)| at + terms.apply < *sent).map(|(_, version)| *version);
                let Some(known) = known.max() else { continue };
                let mut possible = versions
                    .iter()
                    .filter(|(at, _, version, _)| *version >= known && *at <= seen.at)
                    .map(|(.., added)| added);
                if touch.machine(*foyer, seen.at)
                    && possible.all(|added| *route < routes || added.contains(route))
                {
                    dues.push(Due { at: seen.at, added: *route >= routes, answer });
                }
            }
            _ => {}
        }
    }
    dues
}

/// Not more than five and one in 500 are refused with a 404 though all configurations that may be in force have
/// the route.
fn denied(log: &[Seen], terms: &Terms) -> Option<Broken> {
    let asked = log.iter().filter(|seen| matches!(seen.what, What::Asked { .. })).count();
    let dues = dues(log, terms);
    let wrong: Vec<&Due> = dues.iter().filter(|due| due.answer == Answer::NoRoute).collect();
    let last = wrong.get(5 + asked / 500)?;
    broken(Rule::Denied, last.at, format!("{} proper requests are refused with 404", wrong.len()))
}

/// Requests for routes that were added later are served a quarter as often as others at least.
fn added(log: &[Seen], terms: &Terms) -> Option<Broken> {
    let dues = dues(log, terms);
    let share = |added: bool| {
        let all: Vec<&Due> = dues.iter().filter(|due| due.added == added).collect();
        let good = all.iter().filter(|due| due.answer == Answer::Good).count();
        (all.len() >= 20).then(|| good as f64 / all.len() as f64)
    };
    let (added, first) = (share(true)?, share(false)?);
    let what = format!("{added:.2} of requests for added routes are served, {first:.2} of others");
    if added * 4.0 < first { broken(Rule::Added, dues.last()?.at, what) } else { None }
}

/// A foyer that is told to end, and that has no other trouble, answers what it has in hand.
fn broken_off(log: &[Seen], terms: &Terms) -> Option<Broken> {
    let mut told: Vec<(Micros, usize)> = Vec::new();
    let mut sent = BTreeMap::new();
    for seen in log {
        match seen.what {
            What::Planned { machine, .. } => told.push((seen.at, machine)),
            What::Handled { request, sent: at, .. } => drop(sent.insert(request, at)),
            What::BrokenOff { request, foyer, passed } => {
                let asked = sent.get(&request).copied().unwrap_or(seen.at);
                let planned = told.iter().any(|(at, machine)| {
                    *machine == foyer && (*at..at + terms.grace + SECOND).contains(&seen.at)
                });
                let from = asked - terms.contact;
                let harmed = log.iter().any(|other| match other.what {
                    What::Harmed { machine, until } => {
                        machine == foyer && other.at <= seen.at && until >= from
                    }
                    _ => false,
                });
                if planned && !harmed && (passed || seen.at - asked > terms.loss_slack) {
                    let what = format!("request {request} is broken off as foyer {foyer} ends in order");
                    return broken(Rule::BrokenOff, seen.at, what);
                }
            }
            _ => {}
        }
    }
    None
}

/// By each order that ought to have an answer, how long it took; of drains in the same way, apart.
fn waits(log: &[Seen], terms: &Terms) -> (Vec<Late>, Vec<Late>, usize) {
    let touch = Touch::of(log, terms.contact);
    let end = log.last().map_or(0, |last| last.at);
    let (mut open, mut leaving) = (BTreeMap::new(), BTreeMap::new());
    let (mut orders, mut drains, mut left) = (Vec::new(), Vec::new(), 0);
    // The wait counts as far as all is calm from the order on.
    let wait = |from: Micros, to: Micros, what: String, list: &mut Vec<Late>| {
        if touch.calm(from, to.min(from + terms.ack + 1)) {
            list.push((to - from, to, what));
        }
    };
    for seen in log {
        match seen.what {
            What::Sent { order, valid: true, .. } => drop(open.insert((0, order as usize, 0), seen.at)),
            What::Acked { order, .. } | What::Denied { order, .. } => {
                if let Some(at) = open.remove(&(0, order as usize, 0)) {
                    wait(at, seen.at, format!("order {order} has no answer in time"), &mut orders);
                }
            }
            What::Ordered { service, version, .. } => drop(open.insert((1, service, version), seen.at)),
            What::OrderAcked { service, version } | What::OrderDenied { service, version } => {
                if let Some(at) = open.remove(&(1, service, version)) {
                    let what =
                        format!("the roll-out of service {service} to v{version} has no answer in time");
                    wait(at, seen.at, what, &mut orders);
                }
            }
            What::Leaving { instance } => {
                left += 1;
                leaving.insert(instance, seen.at);
            }
            What::DrainAcked { instance, .. } => {
                if let Some(at) = leaving.remove(&instance) {
                    wait(
                        at,
                        seen.at,
                        format!("instance {instance}'s drain has no answer in time"),
                        &mut drains,
                    );
                }
            }
            _ => {}
        }
    }
    for ((kind, number, version), at) in open {
        let what = format!("order {number} of kind {kind}, v{version:x}, has no answer at all");
        wait(at, end, what, &mut orders);
    }
    for (instance, at) in leaving {
        wait(at, end, format!("instance {instance}'s drain has no answer at all"), &mut drains);
    }
    (orders, drains, left)
}

/// In a calm stretch each proper order has its answer within `AckS`, and of the drains all but a fifth, three at
/// least.
fn unanswered(log: &[Seen], terms: &Terms) -> Option<Broken> {
    let (orders, drains, left) = waits(log, terms);
    if let Some(found) = later_than(Rule::Unanswered, orders, terms.ack) {
        return Some(found);
    }
    let late: Vec<Late> = drains.into_iter().filter(|(by, ..)| *by > terms.ack).collect();
    if late.len() >= 3 && late.len() * 5 > left {
        later_than(Rule::Unanswered, late, terms.ack)
    } else {
        None
    }
}

/// The longest that a caller of control waited at a machine that ran all the while.
pub fn worst_answer(log: &[Seen]) -> Micros {
    let waits = log.iter().filter_map(|seen| match seen.what {
        What::Waited { took, .. } => Some(took),
        _ => None,
    });
    waits.max().unwrap_or(0)
}

/// Each call that reaches a machine that runs has its answer before the caller leaves, whatever the machine is cut
/// off from.
fn answered(log: &[Seen], terms: &Terms) -> Option<Broken> {
    log.iter().find_map(|seen| match seen.what {
        What::Waited { machine, took } if took > terms.answer => {
            let what = format!("machine {machine} holds a call for {} ms", took / MS);
            broken(Rule::Answered, seen.at, what)
        }
        _ => None,
    })
}

/// A proper change on top of the newest acknowledged version is not refused where nobody sent another one on it.
fn newest(log: &[Seen], _: &Terms) -> Option<Broken> {
    let orders = orders(log);
    let mut acked = BTreeSet::new();
    // Proper ones with their bases, and how many were sent on each base so far.
    let (mut proper, mut sent): (BTreeMap<u32, u32>, BTreeMap<u32, usize>) = Default::default();
    for seen in log {
        match seen.what {
            What::Sent { order, base, valid: true, .. } => {
                let newest = acked.last().copied().unwrap_or(0);
                if base == newest {
                    proper.insert(order, base);
                }
                *sent.entry(base).or_default() += 1;
            }
            What::Acked { order, .. } => {
                // What it is told from here on is `repeat`'s.
                proper.remove(&order);
                acked.extend(orders.get(&order).map(|order| order.1));
            }
            What::Denied { order, status } if proper.get(&order).is_some_and(|base| sent[base] == 1) => {
                let what = format!("order {order}, alone on the newest version, is refused with {status}");
                return broken(Rule::Newest, seen.at, what);
            }
            _ => {}
        }
    }
    None
}

/// What was acknowledged, or was seen in force, is not refused when it is sent again.
fn repeat(log: &[Seen], _: &Terms) -> Option<Broken> {
    let orders = orders(log);
    let (mut acked, mut in_force, mut trials) = (BTreeSet::new(), BTreeSet::new(), BTreeSet::new());
    for seen in log {
        match seen.what {
            What::Acked { order, .. } => drop(acked.insert(order)),
            What::Handled { version, .. } | What::Read { version, .. } => drop(in_force.insert(version)),
            What::Denied { order, status } => {
                let taken = orders.get(&order).is_some_and(|order| order.2 && in_force.contains(&order.1));
                if taken || acked.contains(&order) {
                    let what = format!("order {order} was taken, and then refused with {status}");
                    return broken(Rule::Repeat, seen.at, what);
                }
            }
            What::OrderAcked { service, version } => drop(trials.insert((service, version))),
            What::OrderDenied { service, version } if trials.contains(&(service, version)) => {
                let what =
                    format!("the roll-out of service {service} to v{version} was taken, and then refused");
                return broken(Rule::Repeat, seen.at, what);
            }
            _ => {}
        }
    }
    None
}

/// A roll-out that has ended doesn't begin again by itself.
fn trial(log: &[Seen], _: &Terms) -> Option<Broken> {
    log.iter().find_map(|seen| match seen.what {
        What::Retried { service, version } => {
            let what = format!("v{version} of service {service} is on trial again");
            broken(Rule::Trial, seen.at, what)
        }
        _ => None,
    })
}

/// A foyer that becomes ready while most of the core is well has what was acknowledged `ContactS` before.
fn stale(log: &[Seen], terms: &Terms) -> Option<Broken> {
    let touch = Touch::of(log, terms.contact);
    let orders = orders(log);
    let mut acked: Vec<(Micros, u32)> = Vec::new();
    for seen in log {
        match seen.what {
            What::Acked { order, .. } => acked.extend(orders.get(&order).map(|order| (seen.at, order.1))),
            What::Ready { foyer, version, .. } => {
                let from = seen.at - terms.contact;
                let known = acked.iter().filter(|(at, _)| *at < from).map(|(_, version)| *version).max();
                if known.is_some_and(|known| version < known) && touch.majority(from, seen.at) {
                    let what = format!("foyer {foyer} is ready by version {version:x}, which is old");
                    return broken(Rule::Stale, seen.at, what);
                }
            }
            _ => {}
        }
    }
    None
}

/// In touch, nothing reaches an instance `DrainS` after anybody acknowledged its drain, cut off or not.
fn untold(log: &[Seen], terms: &Terms) -> Option<Broken> {
    let known: BTreeSet<Micros> = after_drains(log, terms, false)
        .into_iter()
        .filter(|(by, ..)| *by > terms.drain)
        .map(|(_, at, _)| at)
        .collect();
    // What those in touch acknowledged is `drain`'s.
    let late = after_drains(log, terms, true).into_iter().filter(|(_, at, _)| !known.contains(at));
    later_than(Rule::Untold, late.collect(), terms.drain)
}

/// A core machine that has been well for `ContactS` and `CatchUpS` has what was acknowledged before.
fn lagging(log: &[Seen], terms: &Terms) -> Option<Broken> {
    let span = terms.contact + terms.catch_up;
    let touch = Touch::of(log, span);
    let orders = orders(log);
    let mut acked: Vec<(Micros, u32)> = Vec::new();
    for seen in log {
        match seen.what {
            What::Acked { order, .. } => acked.extend(orders.get(&order).map(|order| (seen.at, order.1))),
            What::Stands { machine, version } if touch.machine(machine, seen.at) => {
                let known = acked.iter().filter(|(at, _)| at + span < seen.at).map(|(_, version)| *version);
                let known = known.max().unwrap_or(0);
                if version < known {
                    let what = format!("machine {machine} stands at version {version:x} of {known:x}");
                    return broken(Rule::Behind, seen.at, what);
                }
            }
            _ => {}
        }
    }
    None
}

/// A client's answer is that of its own request.
fn mixed(log: &[Seen], _: &Terms) -> Option<Broken> {
    log.iter().find_map(|seen| match seen.what {
        What::Stamped { request, of } if request != of => {
            broken(Rule::Mixed, seen.at, format!("request {request} gets the answer to {of}"))
        }
        _ => None,
    })
}

/// How near a run comes to its bounds; 1 is at the bound.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Margins {
    pub progress: f64,
    pub recovery: f64,
    pub applied: f64,
    pub drain: f64,
    pub budget: f64,
    pub exposure: f64,
    pub answer: f64,
}

impl Margins {
    pub fn all(&self) -> [f64; 7] {
        let Margins { progress, recovery, applied, drain, budget, exposure, answer } = *self;
        [progress, recovery, applied, drain, budget, exposure, answer]
    }
}

pub fn margins(log: &[Seen], terms: &Terms) -> Margins {
    let most = |late: Vec<Late>, bound: Micros| {
        late.iter().map(|(by, ..)| *by).max().unwrap_or(0) as f64 / bound as f64
    };
    let share = |after: Option<Micros>, bound: Micros| {
        after.map_or(0.0, |after| (after as f64 / bound as f64).min(10.0))
    };
    Margins {
        progress: share(progress_after(log), terms.progress),
        recovery: share(recovered_after(log), terms.recovery),
        applied: most(behind(log, terms), terms.apply),
        drain: most(after_drains(log, terms, false), terms.drain),
        budget: further_tries(log, terms).iter().map(|(extra, most, ..)| extra / most).fold(0.0, f64::max),
        exposure: exposures(log, terms).iter().map(|(there, most, ..)| there / most).fold(0.0, f64::max),
        answer: most(waits(log, terms).0, terms.ack),
    }
}
