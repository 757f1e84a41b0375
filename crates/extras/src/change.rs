//! Change (one, at full size): the real replications of all nodes alone, over links of a given rate, and one command
//! that is as long as a whole configuration. What each link carries, and when the last gateway has it.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::net::Ipv4Addr;
use std::rc::Rc;

use replication::{ChainedCommand, Effect, Event, Message, Mode, Replicator};
use types::{LogIndex, MS, Micros, NodeAddress, SECOND};

use crate::size::ZONES;
use crate::world::{on_wire, region};

/// When the command is ordered, and how long it is followed after that.
const ORDERED: Micros = 4 * SECOND;
const FOLLOWED: Micros = 120 * SECOND;
const LAST: LogIndex = LogIndex(2);

#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub gateways: usize,
    pub prompters: usize,
    /// Of the command, and of the state that stands in for it.
    pub bytes: usize,
    /// Of a gateway's and of a prompter's link, in Mbit/s.
    pub gateway_link: f64,
    pub prompter_link: f64,
    pub seed: u64,
}

/// What came of it; bytes with heads.
#[derive(Debug, Default)]
pub struct Came {
    pub reached: usize,
    /// From the order to the first, the middle and the last gateway.
    pub first_s: f64,
    pub middle_s: f64,
    pub last_s: f64,
    /// Copies that were sent in full, by prompters and by gateways.
    pub copies: [u64; 2],
    /// The most and the mean that a link of each part carried out and in.
    pub prompter_out_most: u64,
    pub gateway_out_most: u64,
    pub gateway_in_most: u64,
    pub gateway_in_mean: f64,
    pub between_regions: u64,
    pub between_zones: u64,
}

/// A message on its way; long data is not copied for each.
enum Way {
    Small(Box<Message>),
    Pieces { fresh: bool, index: LogIndex, prev: LogIndex },
    Whole { index: LogIndex },
}

struct Board {
    place: NodeAddress,
    zone: usize,
    board: Replicator,
    tick_at: Micros,
    up: Micros,
    down: Micros,
    sent: u64,
    got: u64,
    has: Option<Micros>,
}

struct Play {
    plan: Plan,
    now: Micros,
    boards: Vec<Board>,
    by_place: HashMap<NodeAddress, usize>,
    heap: BinaryHeap<Reverse<(Micros, u64)>>,
    events: BTreeMap<u64, (usize, Option<(NodeAddress, Way)>)>,
    made: u64,
    data: Rc<[u8]>,
    chance: oorandom::Rand64,
    came: Came,
}

/// Plays it to the last gateway, or for two minutes.
pub fn play(plan: Plan) -> Came {
    let data: Vec<u8> = vec![b'x'; plan.bytes];
    let mut play = Play {
        plan,
        now: 0,
        boards: Vec::new(),
        by_place: HashMap::new(),
        heap: BinaryHeap::new(),
        events: BTreeMap::new(),
        made: 0,
        data: data.into(),
        chance: oorandom::Rand64::new(u128::from(plan.seed)),
        came: Came::default(),
    };
    play.set_up();
    play.run();
    play.sum_up()
}

impl Play {
    fn set_up(&mut self) {
        let all = self.plan.prompters + self.plan.gateways;
        for at in 0..all {
            let place = NodeAddress(Ipv4Addr::new(10, 0, (at / 200) as u8, (at % 200) as u8 + 1));
            let mode = if at < self.plan.prompters { Mode::Source } else { Mode::Follower };
            let board = Replicator::start(place, mode, LogIndex(0), self.plan.seed ^ at as u64, 0);
            self.by_place.insert(place, at);
            let zone = at % ZONES;
            let (tick_at, has) = (Micros::MAX, None);
            self.boards.push(Board { place, zone, board, tick_at, up: 0, down: 0, sent: 0, got: 0, has });
        }
        let hubs: Vec<NodeAddress> = self.boards[..self.plan.prompters].iter().map(|one| one.place).collect();
        let others: Vec<NodeAddress> =
            self.boards[self.plan.prompters..].iter().map(|one| one.place).collect();
        for at in 0..all {
            self.step(at, Event::Peers { sources: hubs.clone(), others: others.clone() });
        }
        for at in 0..self.plan.prompters {
            self.step(at, Event::Committed { index: LogIndex(1), data: vec![1; 100] });
        }
    }

    fn run(&mut self) {
        let mut ordered = false;
        while let Some(Reverse((at, no))) = self.heap.pop() {
            if at >= ORDERED && !ordered {
                ordered = true;
                self.now = ORDERED;
                self.order();
            }
            self.now = self.now.max(at);
            let left = self.boards[self.plan.prompters..].iter().any(|one| one.has.is_none());
            if self.now > ORDERED + FOLLOWED || (ordered && !left) {
                return;
            }
            let Some((to, what)) = self.events.remove(&no) else { continue };
            match what {
                None if self.boards[to].tick_at == at => {
                    self.boards[to].tick_at = Micros::MAX;
                    self.step(to, Event::Tick);
                }
                None => {}
                Some((from, way)) => {
                    let data = || self.data.to_vec();
                    let message = match way {
                        Way::Small(message) => *message,
                        Way::Pieces { fresh, index, prev } => {
                            let piece = ChainedCommand { prev, index, data: data() };
                            Message::Commands { fresh, more: false, commands: vec![piece] }
                        }
                        Way::Whole { index } => Message::Snapshot { index, data: data() },
                    };
                    self.step(to, Event::Received { from, message });
                }
            }
        }
    }

    /// The leader sends it to the other prompters first, over its own link; then all have it committed.
    fn order(&mut self) {
        let wire = on_wire(self.data.len());
        let others = self.plan.prompters.saturating_sub(1) as u64;
        self.boards[0].up = self.now + takes(wire * others, self.plan.prompter_link);
        self.boards[0].sent += wire * others;
        for at in 0..self.plan.prompters {
            let data = self.data.to_vec();
            self.step(at, Event::Committed { index: LAST, data });
        }
    }

    fn step(&mut self, at: usize, event: Event) {
        let mut effects = self.boards[at].board.step(self.now, event);
        while !effects.is_empty() {
            for effect in std::mem::take(&mut effects) {
                match effect {
                    Effect::Send { to, message } => self.send(at, to, message),
                    // Nothing is lost here.
                    Effect::PreferStream { .. } => {}
                    Effect::Apply { index, .. } | Effect::Restore { index, .. } => {
                        if index >= LAST && self.boards[at].has.is_none() {
                            self.boards[at].has = Some(self.now);
                        }
                    }
                    Effect::TakeSnapshot => {
                        let index = self.boards[at].board.index();
                        let data = self.data.to_vec();
                        effects.extend(
                            self.boards[at].board.step(self.now, Event::SnapshotTaken { index, data }),
                        );
                    }
                }
            }
        }
        let due = self.boards[at].board.due().max(self.now + MS / 2);
        if due < self.boards[at].tick_at {
            self.boards[at].tick_at = due;
            self.later(due, at, None);
        }
    }

    fn later(&mut self, when: Micros, to: usize, what: Option<(NodeAddress, Way)>) {
        self.made += 1;
        self.heap.push(Reverse((when, self.made)));
        self.events.insert(self.made, (to, what));
    }

    fn send(&mut self, from: usize, to: NodeAddress, message: Message) {
        let Some(to) = self.by_place.get(&to).copied() else { return };
        let long = self.data.len() / 2;
        let (way, bytes) = match message {
            Message::Snapshot { index, data } if data.len() > long => (Way::Whole { index }, data.len() + 16),
            Message::Commands { fresh, commands: pieces, .. }
                if pieces.iter().any(|one| one.data.len() > long) && pieces.len() == 1 =>
            {
                let (index, prev) = (pieces[0].index, pieces[0].prev);
                (Way::Pieces { fresh, index, prev }, pieces[0].data.len() + 24)
            }
            small => {
                let bytes = match &small {
                    Message::Commands { commands: pieces, .. } => {
                        pieces.iter().map(|one| one.data.len() + 12).sum::<usize>() + 8
                    }
                    _ => 12,
                };
                (Way::Small(Box::new(small)), bytes)
            }
        };
        if bytes > long {
            self.came.copies[usize::from(from >= self.plan.prompters)] += 1;
        }
        let wire = on_wire(bytes);
        let link = |at: usize, plan: &Plan| {
            if at < plan.prompters { plan.prompter_link } else { plan.gateway_link }
        };
        let (zones, plan) = ((self.boards[from].zone, self.boards[to].zone), self.plan);
        let way_takes = match (zones.0 == zones.1, region(zones.0) == region(zones.1)) {
            (true, _) => 250,
            (_, true) => 1_400,
            _ => 15 * MS,
        };
        if region(zones.0) != region(zones.1) {
            self.came.between_regions += wire;
        } else if zones.0 != zones.1 {
            self.came.between_zones += wire;
        }
        let jitter = self.chance.rand_range(0..400) as Micros;
        let gone = self.boards[from].up.max(self.now) + takes(wire, link(from, &plan));
        self.boards[from].up = gone;
        self.boards[from].sent += wire;
        let there = (gone + way_takes + jitter).max(self.boards[to].down + takes(wire, link(to, &plan)));
        self.boards[to].down = there;
        self.boards[to].got += wire;
        let place = self.boards[from].place;
        self.later(there, to, Some((place, way)));
    }

    fn sum_up(mut self) -> Came {
        let (prompters, gateways) = self.boards.split_at(self.plan.prompters);
        let mut after: Vec<f64> =
            gateways.iter().filter_map(|one| one.has).map(|at| (at - ORDERED) as f64 / 1e6).collect();
        after.sort_by(f64::total_cmp);
        let came = &mut self.came;
        came.reached = after.len();
        came.first_s = after.first().copied().unwrap_or(f64::NAN);
        came.middle_s = after.get(after.len() / 2).copied().unwrap_or(f64::NAN);
        came.last_s = after.last().copied().unwrap_or(f64::NAN);
        let most = |of: &[Board], read: fn(&Board) -> u64| of.iter().map(read).max().unwrap_or(0);
        came.prompter_out_most = most(prompters, |one| one.sent);
        came.gateway_out_most = most(gateways, |one| one.sent);
        came.gateway_in_most = most(gateways, |one| one.got);
        let all: u64 = gateways.iter().map(|one| one.got).sum();
        came.gateway_in_mean = all as f64 / gateways.len().max(1) as f64;
        self.came
    }
}

fn takes(wire: u64, link: f64) -> Micros {
    (wire as f64 * 8.0 / link.max(0.001)) as Micros
}
