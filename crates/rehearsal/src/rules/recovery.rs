//! Rules on the time after all faults: changes are acknowledged and requests served again.

use std::collections::{BTreeMap, BTreeSet};

use configuration::RouteKind;
use types::{MS, Micros, SECOND};

use super::requests::first_routes;
use super::{Broken, Rule, Terms, broken};
use crate::seen::{Answer, Seen, What};

pub(super) fn calm(log: &[Seen]) -> Option<Micros> {
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

pub(super) fn progress(log: &[Seen], terms: &Terms) -> Option<Broken> {
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

pub(super) fn served(log: &[Seen], terms: &Terms) -> Option<Broken> {
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
