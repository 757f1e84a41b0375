//! The rule on attempts beyond the first of each request.

use std::collections::{BTreeMap, BTreeSet};

use types::Micros;

use super::{Broken, Rule, Terms, broken};
use crate::seen::{Seen, What};

/// The further tries that services get in windows, and how many each window allows; turned away ones count too.
pub(super) fn further_tries(log: &[Seen], terms: &Terms) -> Vec<(f64, f64, Micros, usize)> {
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
pub(super) fn budget(log: &[Seen], terms: &Terms) -> Option<Broken> {
    let windows = further_tries(log, terms);
    let (extra, most, at, service) = windows.into_iter().find(|(extra, most, ..)| extra > most)?;
    broken(Rule::Budget, at, format!("service {service} gets {extra} further tries, {most:.0} are allowed"))
}
