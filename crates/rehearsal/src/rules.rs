//! Rules (invariants): each looks at what was seen, and tells the first thing that breaks it.

use std::collections::{BTreeMap, BTreeSet};

use bill::Kind;
use props::{MS, Micros, SECOND};

use crate::seen::{Answer, Seen, What};
use crate::touch::Touch;

/// Bounds that rules hold by; the small sites' figures.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    pub contact: Micros,
    pub apply: Micros,
    pub drain: Micros,
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
}

impl Default for Terms {
    fn default() -> Terms {
        Terms {
            contact: 3 * SECOND,
            apply: 2_500 * MS,
            drain: 2_500 * MS,
            retry_ratio: 0.2,
            retry_slack: 58.0,
            retry_window: 10 * SECOND,
            exposure_share: 0.1,
            exposure_slack: 50.0,
            rollback: 5 * SECOND,
            progress: 8 * SECOND,
            recovery: 5 * SECOND,
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
pub const ALL: [(Rule, Checker); 14] = [
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

/// Of the changes on one base, one is acknowledged; one that was acknowledged is not refused later, and the
/// other way round.
fn winner(log: &[Seen], _: &Terms) -> Option<Broken> {
    let orders = orders(log);
    let mut winners: BTreeMap<u32, u32> = BTreeMap::new();
    let (mut acked, mut denied) = (BTreeSet::new(), BTreeSet::new());
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
                acked.insert(order);
            }
            What::Denied { order, status } => {
                if acked.contains(&order) {
                    let what = format!("order {order} was acknowledged, and then refused with {status}");
                    return broken(Rule::Winner, seen.at, what);
                }
                denied.insert(order);
            }
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

/// In touch, a request sent `ConfigApplyS` after an acknowledgement is handled by that version or a later one.
fn applied(log: &[Seen], terms: &Terms) -> Option<Broken> {
    let touch = Touch::of(log, terms.contact);
    let orders = orders(log);
    let mut acked: Vec<(Micros, u32)> = Vec::new();
    for seen in log {
        match seen.what {
            What::Acked { order, .. } => acked.extend(orders.get(&order).map(|order| (seen.at, order.1))),
            What::Handled { foyer, version, sent, service, .. } => {
                let due =
                    acked.iter().filter(|(at, _)| at + terms.apply < sent).map(|(_, known)| *known).max();
                let late = due.is_some_and(|due| version < due);
                if (late || (due.is_some() && service == usize::MAX)) && touch.machine(foyer, seen.at) {
                    let what = format!(
                        "foyer {foyer} in touch goes by version {version:x}, {:x} was acknowledged long ago",
                        due.unwrap_or(0)
                    );
                    return broken(Rule::Applied, seen.at, what);
                }
            }
            _ => {}
        }
    }
    None
}

/// In touch, nothing reaches an instance `DrainS` after its drain was acknowledged.
fn drain(log: &[Seen], terms: &Terms) -> Option<Broken> {
    let touch = Touch::of(log, terms.contact);
    let mut acked: BTreeMap<u32, Micros> = BTreeMap::new();
    for seen in log {
        match seen.what {
            What::DrainAcked { instance, by } if touch.machine(by, seen.at) => {
                acked.entry(instance).or_insert(seen.at);
            }
            What::Arrived { instance, foyer, request, .. } => {
                let late = acked.get(&instance).is_some_and(|at| seen.at > at + terms.drain);
                if late && touch.machine(foyer, seen.at) {
                    let what =
                        format!("request {request} by foyer {foyer} reaches drained instance {instance}");
                    return broken(Rule::Drain, seen.at, what);
                }
            }
            _ => {}
        }
    }
    None
}

fn kinds(log: &[Seen]) -> BTreeMap<u64, (usize, Kind)> {
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
            let once = kinds.get(&request).is_some_and(|(_, kind)| !kind.may_repeat());
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
        let once = kinds.get(&request).is_some_and(|(_, kind)| !kind.may_repeat());
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

/// Arrivals beyond the first of each request keep to ratio and slack, in every window.
fn budget(log: &[Seen], terms: &Terms) -> Option<Broken> {
    let mut asked: BTreeMap<usize, Vec<Micros>> = BTreeMap::new();
    let mut further: BTreeMap<usize, Vec<Micros>> = BTreeMap::new();
    let mut arrived = BTreeSet::new();
    for seen in log {
        match seen.what {
            What::Handled { service, sent, .. } => asked.entry(service).or_default().push(sent),
            What::Arrived { request, asked_for, .. } if !arrived.insert(request) => {
                further.entry(asked_for).or_default().push(seen.at);
            }
            _ => {}
        }
    }
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
            if extra > most {
                let what = format!("service {service} gets {extra} further tries, {most:.0} are allowed");
                return broken(Rule::Budget, *end, what);
            }
        }
    }
    None
}

/// A bad version gets its share at most between order and term, and nothing `RollbackS` after 50 bad answers.
fn exposure(log: &[Seen], terms: &Terms) -> Option<Broken> {
    let touch = Touch::of(log, terms.contact);
    let ordered = log.iter().filter_map(|seen| match seen.what {
        What::Ordered { service, version, bad: true, term } => Some((seen.at, service, version, term)),
        _ => None,
    });
    for (from, service, version, term) in ordered {
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
                    let spent = bad.get(start + 49).is_some_and(|at| seen.at > at + terms.rollback + SECOND);
                    if reached && spent {
                        let what =
                            format!("request {request} reaches v{version} long after its 50th bad answer");
                        return broken(Rule::Exposure, seen.at, what);
                    }
                }
                _ => {}
            }
        }
        if there > terms.exposure_share * all + terms.exposure_slack {
            let what = format!("bad v{version} of service {service} got {there} of {all} requests");
            return broken(Rule::Exposure, last, what);
        }
    }
    None
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

fn served(log: &[Seen], terms: &Terms) -> Option<Broken> {
    let share = served_after(log, terms).filter(|share| *share < 0.25)?;
    let at = log.last()?.at;
    broken(Rule::Served, at, format!("{:.0} of 100 requests are served after the faults", share * 100.0))
}
