//! Touch (when rules with a time bound hold): a machine is in touch at a moment if for all of `ContactS` before it
//! neither it nor the core had trouble, as the operators' rules have it.

use types::Micros;

use crate::seen::{Machine, Seen, What};

type Spans = Vec<(Micros, Micros)>;

pub struct Touch {
    contact: Micros,
    machines: Vec<Spans>,
    core: Spans,
    /// When not more than half of the core was well.
    minorities: Spans,
    links: Spans,
}

impl Touch {
    pub fn of(log: &[Seen], contact: Micros) -> Touch {
        let (mut machines, mut core, mut links) = (Vec::<Spans>::new(), Spans::new(), Spans::new());
        let mut impaired: Vec<(Micros, Micros, Machine)> = Vec::new();
        let mut size = 0;
        for seen in log {
            match seen.what {
                What::Harmed { machine, until } | What::Planned { machine, until } => {
                    if machines.len() <= machine {
                        machines.resize(machine + 1, Vec::new());
                    }
                    machines[machine].push((seen.at, until));
                }
                What::Unsettled { until } => core.push((seen.at, until)),
                What::Impaired { machine, until } => impaired.push((seen.at, until, machine)),
                What::Links { until } => links.push((seen.at, until)),
                What::Shape { core, .. } => size = core,
                _ => {}
            }
        }
        let minorities = minorities(&impaired, size);
        core.extend(&minorities);
        Touch { contact, machines, core, minorities, links }
    }

    fn well(&self, spans: &Spans, at: Micros) -> bool {
        let from = at - self.contact;
        spans.iter().all(|(begin, end)| *begin > at || *end < from)
    }

    pub fn core(&self, at: Micros) -> bool {
        self.well(&self.core, at)
    }

    /// The core was settled and this machine well for `ContactS` before `at`.
    pub fn machine(&self, machine: Machine, at: Micros) -> bool {
        self.core(at) && self.machines.get(machine).is_none_or(|spans| self.well(spans, at))
    }

    /// From `from` to `to` the core is settled, and no link in trouble.
    pub fn calm(&self, from: Micros, to: Micros) -> bool {
        let clear = |spans: &Spans, from: Micros| spans.iter().all(|(b, e)| *b > to || *e < from);
        clear(&self.core, from - self.contact) && clear(&self.links, from)
    }

    /// From `from` to `to` more than half of the core was well.
    pub fn majority(&self, from: Micros, to: Micros) -> bool {
        self.minorities.iter().all(|(begin, end)| *begin > to || *end < from)
    }

    /// The last moment up to `at` at which the core was unsettled.
    pub fn unsettled_before(&self, at: Micros) -> Micros {
        let ends = self.core.iter().filter(|(begin, _)| *begin <= at).map(|(_, end)| (*end).min(at));
        ends.max().map_or(0, |end| end + self.contact)
    }
}

/// The spans in which not more than half of the core runs and is connected.
fn minorities(impaired: &[(Micros, Micros, Machine)], size: usize) -> Spans {
    let mut spans = Spans::new();
    // It can begin only where one more is impaired, and lasts until the first of them is well.
    for (at, _, _) in impaired {
        let mut ends: Vec<(Machine, Micros)> = Vec::new();
        for (begin, end, machine) in impaired.iter().filter(|(begin, end, _)| begin <= at && end > at) {
            debug_assert!(begin <= end);
            match ends.iter_mut().find(|(one, _)| one == machine) {
                Some((_, last)) => *last = (*last).max(*end),
                None => ends.push((*machine, *end)),
            }
        }
        if (size - ends.len().min(size)) * 2 <= size {
            // As many must be well again as make a majority.
            let mut until: Vec<Micros> = ends.iter().map(|(_, end)| *end).collect();
            until.sort_unstable();
            let needed = (size / 2 + 1).saturating_sub(size - ends.len().min(size));
            spans.push((*at, until.get(needed.saturating_sub(1)).copied().unwrap_or(*at)));
        }
    }
    spans
}
