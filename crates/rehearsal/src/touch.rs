//! Touch (when rules with a time bound hold): a machine is in touch at a moment if for all of `ContactS` before it
//! neither it nor the core had trouble. Stricter than the rules: every doubt counts as trouble.

use props::{MS, Micros};

use crate::seen::{Machine, Seen, What};

/// Beyond the end of a trouble, for what was still on its way.
const SPARE: Micros = 100 * MS;

pub struct Touch {
    contact: Micros,
    machines: Vec<Vec<(Micros, Micros)>>,
    core: Vec<(Micros, Micros)>,
}

impl Touch {
    pub fn of(log: &[Seen], contact: Micros) -> Touch {
        let mut touch = Touch { contact, machines: Vec::new(), core: Vec::new() };
        for seen in log {
            match seen.what {
                What::Harmed { machine, until } => {
                    if touch.machines.len() <= machine {
                        touch.machines.resize(machine + 1, Vec::new());
                    }
                    touch.machines[machine].push((seen.at, until));
                }
                What::Unsettled { until } => touch.core.push((seen.at, until)),
                _ => {}
            }
        }
        touch
    }

    pub fn core(&self, at: Micros) -> bool {
        let from = at - self.contact - SPARE;
        self.core.iter().all(|(begin, end)| *begin > at || *end < from)
    }

    /// The core was settled and this machine well for `ContactS` before `at`.
    pub fn machine(&self, machine: Machine, at: Micros) -> bool {
        let from = at - self.contact - SPARE;
        let well = |spans: &Vec<(Micros, Micros)>| spans.iter().all(|(b, e)| *b > at || *e < from);
        self.core(at) && self.machines.get(machine).is_none_or(well)
    }

    /// The last moment up to `at` at which the core was unsettled.
    pub fn unsettled_before(&self, at: Micros) -> Micros {
        let ends = self.core.iter().filter(|(begin, _)| *begin <= at).map(|(_, end)| (*end).min(at));
        ends.max().map_or(0, |end| end + self.contact)
    }
}
