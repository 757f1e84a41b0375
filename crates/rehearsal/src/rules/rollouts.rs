//! Rules on roll-outs: what a bad version gets, and that an ended trial stays ended.

use std::collections::BTreeMap;

use types::Micros;

use super::{Broken, Rule, Terms, broken};
use crate::seen::{Seen, What};
use crate::touch::Touch;

/// For each bad version that is ordered: what it got and might get by its term, the last request's moment, in
/// words, and what it got long after its 50th bad answer.
pub(super) fn exposures(log: &[Seen], terms: &Terms) -> Vec<(f64, f64, Micros, String, Option<Broken>)> {
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
pub(super) fn exposure(log: &[Seen], terms: &Terms) -> Option<Broken> {
    let found = exposures(log, terms).into_iter().filter_map(|(there, most, last, what, after)| {
        after.or_else(|| if there > most { broken(Rule::Exposure, last, what) } else { None })
    });
    found.min_by_key(|broken| broken.at)
}

/// A roll-out that has ended doesn't begin again by itself.
pub(super) fn trial(log: &[Seen], _: &Terms) -> Option<Broken> {
    log.iter().find_map(|seen| match seen.what {
        What::Retried { service, version } => {
            let what = format!("v{version} of service {service} is on trial again");
            broken(Rule::Trial, seen.at, what)
        }
        _ => None,
    })
}
