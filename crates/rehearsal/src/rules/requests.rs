//! Rules on single requests: where they run, how often, and what their clients get.

use std::collections::{BTreeMap, BTreeSet};

use configuration::RouteKind;
use types::{Micros, SECOND};

use super::{Broken, Rule, Terms, broken};
use crate::seen::{Answer, Seen, What};
use crate::touch::Touch;

fn kinds(log: &[Seen]) -> BTreeMap<u64, (usize, RouteKind)> {
    let asked = log.iter().filter_map(|seen| match seen.what {
        What::Asked { request, route, kind } => Some((request, (route, kind))),
        _ => None,
    });
    asked.collect()
}

/// What is not repeatable runs at most once.
pub(super) fn twice(log: &[Seen], _: &Terms) -> Option<Broken> {
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
pub(super) fn refused(log: &[Seen], _: &Terms) -> Option<Broken> {
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
pub(super) fn route(log: &[Seen], _: &Terms) -> Option<Broken> {
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

/// Routes from this number on come and go.
pub(super) fn first_routes(log: &[Seen]) -> usize {
    let shape = log.iter().find_map(|seen| match seen.what {
        What::Shape { routes, .. } => Some(routes),
        _ => None,
    });
    shape.unwrap_or(usize::MAX)
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
pub(super) fn denied(log: &[Seen], terms: &Terms) -> Option<Broken> {
    let asked = log.iter().filter(|seen| matches!(seen.what, What::Asked { .. })).count();
    let dues = dues(log, terms);
    let wrong: Vec<&Due> = dues.iter().filter(|due| due.answer == Answer::NoRoute).collect();
    let last = wrong.get(5 + asked / 500)?;
    broken(Rule::Denied, last.at, format!("{} proper requests are refused with 404", wrong.len()))
}

/// Requests for routes that were added later are served a quarter as often as others at least.
pub(super) fn added(log: &[Seen], terms: &Terms) -> Option<Broken> {
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
pub(super) fn broken_off(log: &[Seen], terms: &Terms) -> Option<Broken> {
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

/// A client's answer is that of its own request.
pub(super) fn mixed(log: &[Seen], _: &Terms) -> Option<Broken> {
    log.iter().find_map(|seen| match seen.what {
        What::Stamped { request, of } if request != of => {
            broken(Rule::Mixed, seen.at, format!("request {request} gets the answer to {of}"))
        }
        _ => None,
    })
}
