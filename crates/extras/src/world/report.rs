//! Report (what a phase came to): by role, mean and busiest node, and the day's own figures.

use serde::{Deserialize, Serialize};

use super::World;
use crate::tally::{Phase, Role};

/// What one node has spent in a phase; bytes with the heads of datagrams and segments.
#[derive(Clone, Copy, Debug, Default)]
pub struct Spent {
    pub bytes_in: u64,
    pub bytes_out: u64,
    pub nanos: u64,
    /// The longest step.
    pub worst: u64,
}

/// One role in one phase. Bytes are with heads, a second and node; shares are of one core here.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PhaseRow {
    pub phase: Phase,
    pub role: Role,
    pub gateways: usize,
    pub prompters: usize,
    pub instances: usize,
    pub services: usize,
    pub routes: usize,
    pub tenants: usize,
    pub spread_s: f64,
    pub seed: u64,
    pub seconds: f64,
    pub nodes: usize,
    pub in_bytes_s: f64,
    pub out_bytes_s: f64,
    pub busiest_bytes_s: f64,
    pub words_in_s: f64,
    pub words_out_s: f64,
    pub core_share: f64,
    pub busiest_core_share: f64,
    pub worst_step_ms: f64,
    /// What a configuration of 100 routes took to read in this phase, in the middle.
    pub yard_us: f64,
    pub held_mb: f64,
    pub peak_mb: f64,
    pub beats_s: f64,
    pub beats_refused_s: f64,
    pub connections_s: f64,
    pub beat_bytes_s: f64,
    /// Of the gateways: how many know all others, how many know all instances, how many are ready.
    pub whole_company: usize,
    pub whole_cast: usize,
    pub ready: usize,
}

/// What is told of a day beside its phases.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    /// Seconds from an order to its acknowledgement; the first is that of the start.
    pub acknowledged_s: Vec<f64>,
    /// By version: at how many gateways it is in force, and after how long at the first and the last.
    pub in_force: Vec<(u32, usize, f64, f64)>,
    pub command_bytes: Vec<usize>,
    pub refusals: Vec<String>,
}

impl Figures {
    pub fn in_force(&mut self, version: u32, after: f64) {
        match self.in_force.iter_mut().find(|(other, ..)| *other == version) {
            Some((_, count, _, last)) => (*count, *last) = (*count + 1, after),
            None => self.in_force.push((version, 1, after, after)),
        }
    }

    /// Seconds from the order of a version until the last gateway had it; `None` where `all` do not have it.
    pub fn change_s(&self, version: u32, all: usize) -> Option<f64> {
        let found = self.in_force.iter().find(|(other, ..)| *other == version)?;
        (found.1 >= all).then_some(found.3)
    }
}

impl World {
    /// Sums a phase up and begins the next one's counts.
    pub(super) fn end_phase(&mut self) {
        let phase = self.phase_now();
        let seconds = (self.now - self.began) as f64 / 1e6;
        self.tally.seconds[phase as usize] = seconds;
        if seconds <= 0.0 {
            return;
        }
        let size = self.size;
        let knows = |at: usize| self.nodes[at].house().map(|house| house.membership.members().count());
        let whole = (0..self.nodes.len()).filter(|at| knows(*at).is_some_and(|n| n + 1 >= size.machines()));
        let whole_company = whole.count();
        let cast = |at: usize| {
            self.nodes[at].house().map(|house| {
                house
                    .registry
                    .instances()
                    .filter(|one| one.state == registry::InstanceState::InService)
                    .count()
            })
        };
        let whole_cast =
            (0..self.nodes.len()).filter(|at| cast(*at).is_some_and(|n| n >= size.instances)).count();
        let ready = self.nodes.iter().filter(|node| node.floor().is_some_and(|floor| floor.ready())).count();
        for _ in 0..3 {
            self.take_yard();
        }
        let mut yards = std::mem::take(&mut self.yards);
        yards.sort_unstable();
        let yard_us = yards.get(yards.len() / 2).map_or(f64::NAN, |nanos| *nanos as f64 / 1e3);
        let calls = self.calls[phase as usize];
        for role in Role::ALL {
            let members: Vec<usize> = (0..self.nodes.len()).filter(|at| self.role(*at) == role).collect();
            if members.is_empty() {
                continue;
            }
            let nodes = members.len() as f64;
            let spent = || members.iter().map(|at| self.nodes[*at].spent);
            let per = |sum: u64| sum as f64 / nodes / seconds;
            let most = |of: fn(&Spent) -> u64| spent().map(|one| of(&one)).max().unwrap_or(0) as f64;
            let mean = |of: fn(&super::node::Node) -> i64| {
                members.iter().map(|at| of(&self.nodes[*at])).sum::<i64>() as f64 / nodes / 1e6
            };
            let peak = members.iter().map(|at| self.nodes[*at].peak.max(self.nodes[*at].held)).max();
            let hubs = if role == Role::Gateway { 0.0 } else { 1.0 / size.prompters as f64 / seconds };
            let (ins, outs) = (self.tally.sum(phase, role, false, ""), self.tally.sum(phase, role, true, ""));
            self.rows.push(PhaseRow {
                phase,
                role,
                gateways: size.gateways,
                prompters: size.prompters,
                instances: size.instances,
                services: size.services,
                routes: size.routes,
                tenants: size.tenants,
                spread_s: size.spread as f64 / 1e6,
                seed: size.seed,
                seconds,
                nodes: members.len(),
                in_bytes_s: per(spent().map(|one| one.bytes_in).sum()),
                out_bytes_s: per(spent().map(|one| one.bytes_out).sum()),
                busiest_bytes_s: most(|one| one.bytes_in + one.bytes_out) / seconds,
                words_in_s: per(ins.words),
                words_out_s: per(outs.words),
                core_share: per(spent().map(|one| one.nanos).sum()) / 1e9,
                busiest_core_share: most(|one| one.nanos) / seconds / 1e9,
                worst_step_ms: most(|one| one.worst) / 1e6,
                yard_us,
                held_mb: mean(|node| node.held),
                peak_mb: peak.unwrap_or(0) as f64 / 1e6,
                beats_s: calls.beats as f64 * hubs,
                beats_refused_s: calls.refused as f64 * hubs,
                connections_s: calls.connections as f64 * hubs,
                beat_bytes_s: calls.bytes as f64 * hubs,
                whole_company,
                whole_cast,
                ready,
            });
        }
        for node in &mut self.nodes {
            node.spent = Spent::default();
            node.peak = node.held;
        }
    }
}

impl World {
    /// A row of a phase and role; `None` where the day did not come so far.
    pub fn row(&self, phase: Phase, role: Role) -> Option<&PhaseRow> {
        self.rows.iter().find(|row| row.phase == phase && row.role == role)
    }

    /// Plays to the end, telling how far it is now and then.
    pub fn play_all(&mut self, mut tell: impl FnMut(f64)) {
        let mut steps = 0u64;
        while self.step() {
            steps += 1;
            if steps.is_multiple_of(20_000) {
                tell(self.done());
            }
        }
    }
}
