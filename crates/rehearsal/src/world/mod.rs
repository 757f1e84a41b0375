//! World (simulated time): a heap of events, machines that run the real cores, a network and disks that fail,
//! and all around them as stand-ins. One seed plays the same each time.

mod foyer;
mod guests;
mod instances;
pub(crate) mod machine;
mod net;
mod operators;
mod prompter;
mod troubles;

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::rc::Rc;

use garnetdoor::host::{AttemptOutcome, RequestId};
use oorandom::Rand64;
use playhouse::settings::Settings;
use promptbook::Write;
use props::{Carrier, MS, Micros, Place, SECOND};

use crate::plant::Planted;
use crate::queue::Queue;
use crate::rules::Terms;
use crate::scenario::Scenario;
use crate::seen::{Answer, Seen, What};
use guests::{Guests, Request};
use instances::{Instance, Trip};
use machine::Machine;
use operators::{Call, Caller, Reply, Task};

/// Everything that happens, happens at its time.
#[derive(Debug)]
pub(crate) enum Event {
    Start {
        at: usize,
        alone: bool,
    },
    Tick {
        at: usize,
        run: u64,
        due: Micros,
    },
    Mail {
        to: usize,
        from: Place,
        bytes: Rc<[u8]>,
        carrier: Carrier,
    },
    Synced {
        at: usize,
        run: u64,
        write: Write,
    },
    Thaw {
        at: usize,
    },
    Down {
        at: usize,
        power: bool,
        wiped: bool,
        back: Micros,
    },
    End {
        at: usize,
        run: u64,
        back: Micros,
    },
    /// A foyer that is told to end takes no more clients.
    Close {
        at: usize,
        run: u64,
    },
    Trouble {
        number: usize,
    },
    Sound {
        service: usize,
    },
    Call {
        at: usize,
        caller: Caller,
        call: Rc<Call>,
    },
    Reply {
        caller: Caller,
        reply: Reply,
    },
    Silence {
        caller: Caller,
    },
    Again {
        task: usize,
        no: u64,
    },
    List {
        core: Vec<usize>,
    },
    Beat {
        instance: usize,
        no: u64,
    },
    Register {
        service: usize,
        version: u32,
        address: Option<SocketAddrV4>,
    },
    Detach {
        instance: usize,
    },
    Gone {
        instance: usize,
    },
    Leave {
        instance: usize,
    },
    Watch {
        rollout: usize,
    },
    Look {
        rollout: usize,
    },
    /// A core machine that is replaced in order is told to end, and then has gone.
    Retire {
        at: usize,
    },
    Retired {
        at: usize,
    },
    Guest,
    Knock {
        at: usize,
        request: u64,
    },
    Patience {
        request: u64,
    },
    Deadline {
        request: u64,
    },
    Answered {
        request: u64,
        answer: Answer,
        wait: Option<Micros>,
    },
    Retry {
        request: u64,
    },
    ClientGone {
        at: usize,
        run: u64,
        ticket: RequestId,
    },
    Arrive {
        trip: usize,
    },
    Work {
        instance: usize,
        trip: usize,
    },
    TripEnded {
        trip: usize,
        ending: AttemptOutcome,
        answer: bool,
    },
    Until {
        trip: usize,
    },
    Readiness,
    /// A trouble at a core machine is over.
    Settles {
        at: usize,
    },
    Flap {
        service: usize,
        version: u32,
        address: SocketAddrV4,
        until: Micros,
    },
    Probe,
    Calm,
    ReadBack {
        first: bool,
    },
    Plant,
}

/// What tells one day from another, beyond what was seen.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Counts {
    /// Whole states that were sent to members that were behind.
    pub states: usize,
    /// Votes that were granted, and asked for again in the same term after a restart of the voter.
    pub votes: usize,
    pub asked_again: usize,
    pub(crate) voted: BTreeMap<(usize, u64), u64>,
}

impl Counts {
    /// Terms in which somebody got a vote.
    pub fn terms(&self) -> u64 {
        let terms: std::collections::BTreeSet<u64> = self.voted.keys().map(|(_, term)| *term).collect();
        terms.len() as u64
    }
}

pub struct World {
    pub now: Micros,
    /// Events played so far.
    pub steps: u64,
    pub(crate) scenario: Scenario,
    pub(crate) terms: Terms,
    pub(crate) planted: Option<Planted>,
    pub(crate) chance: Rand64,
    queue: Queue<Event>,
    pub log: Vec<Seen>,
    /// By entry of the log, the event at which it was seen.
    pub log_steps: Vec<u64>,
    pub(crate) machines: Vec<Machine>,
    pub(crate) settings: Rc<Settings>,
    /// Until when nothing passes from the first to the second; 0 is outside, machines follow.
    pub(crate) cuts: Vec<Vec<Micros>>,
    pub(crate) storm: (Micros, u32, Micros),
    /// The core machines that callers know of, and the first seeds of those that start.
    pub(crate) listed: Vec<usize>,
    pub(crate) seeds: Vec<usize>,
    pub(crate) tasks: Vec<Task>,
    pub(crate) next_try: u64,
    /// Calls that have reached a machine: where, which process, when.
    pub(crate) calls: BTreeMap<(operators::Who, u64), (usize, u64, Micros)>,
    /// Until when acknowledgements to operators are lost, and how many of a thousand.
    pub(crate) ack_lost: (Micros, u32),
    pub(crate) office: operators::Office,
    pub(crate) instances: Vec<Instance>,
    pub(crate) by_address: BTreeMap<SocketAddrV4, usize>,
    pub(crate) next_address: u32,
    pub(crate) sick: Vec<(Micros, u32, u32)>,
    /// Until when clients press, and how much more; until when they don't wait.
    pub(crate) burst: (Micros, u32),
    pub(crate) eager: Micros,
    /// Until when instances that leave serve on for longer.
    pub(crate) linger: Micros,
    pub(crate) counts: Counts,
    pub(crate) trips: Vec<Trip>,
    pub(crate) requests: Vec<Request>,
    pub(crate) guests: Guests,
    /// What comes to those who acknowledge a configuration next: (until, all, wiped, back).
    pub(crate) after_ack: Vec<(Micros, bool, bool, Micros)>,
    /// Until when those who grant a vote are killed, and for how long.
    pub(crate) after_vote: (Micros, Micros),
    /// For the planted faults: an old state.
    pub(crate) old_scripts: BTreeMap<usize, script::Script>,
}

impl World {
    /// The day of a scenario; `seed` moves all else that is drawn.
    pub fn new(scenario: Scenario, seed: u64, planted: Option<Planted>) -> World {
        let terms = scenario.site.terms();
        let settings = Rc::new(machine::settings(&scenario, &terms, planted));
        let mut world = World {
            now: 0,
            steps: 0,
            terms,
            planted,
            chance: Rand64::new(u128::from(seed)),
            queue: Queue::default(),
            log: Vec::new(),
            log_steps: Vec::new(),
            machines: Vec::new(),
            settings,
            cuts: vec![vec![0]],
            storm: (0, 0, 0),
            listed: (0..scenario.prompters).collect(),
            seeds: (0..scenario.prompters.min(3)).collect(),
            tasks: Vec::new(),
            next_try: 0,
            calls: BTreeMap::new(),
            ack_lost: (0, 0),
            office: operators::Office::default(),
            instances: Vec::new(),
            by_address: BTreeMap::new(),
            next_address: 0,
            sick: vec![(0, 0, 0); scenario.site.services],
            burst: (0, 1),
            eager: 0,
            linger: 0,
            counts: Counts::default(),
            trips: Vec::new(),
            requests: Vec::new(),
            guests: Guests::new(scenario.machines()),
            after_ack: Vec::new(),
            after_vote: (0, 0),
            old_scripts: BTreeMap::new(),
            scenario,
        };
        world.set_up();
        world
    }

    fn set_up(&mut self) {
        self.saw(What::Shape { core: self.scenario.prompters, routes: self.scenario.site.routes() });
        for at in 0..self.scenario.machines() {
            let zone = self.scenario.zone(at);
            self.add_machine(at < self.scenario.prompters, zone);
            let after = self.span(0, 200 * MS);
            self.later(after, Event::Start { at, alone: false });
        }
        for service in 0..self.scenario.site.services {
            let empty = self.scenario.site.empty.filter(|empty| empty.service == service);
            for _ in 0..self.scenario.site.each(service) {
                let late = empty.map_or(0, |empty| empty.until as Micros * MS);
                let after = late + self.span(300 * MS, 1_500 * MS);
                self.later(after, Event::Register { service, version: 1, address: None });
            }
        }
        self.later(500 * MS, Event::ReadBack { first: true });
        self.later(4 * SECOND, Event::Guest);
        self.later(SECOND, Event::Readiness);
        if self.scenario.site.added > 0 {
            self.later(5 * SECOND, Event::Probe);
        }
        for number in 0..self.scenario.troubles.len() {
            let at = self.scenario.troubles[number].at as Micros * MS;
            self.later(at, Event::Trouble { number });
        }
        self.later(self.scenario.calm_from(), Event::Calm);
        let end = self.scenario.end();
        self.later((end - 4 * SECOND).max(0), Event::ReadBack { first: false });
        if matches!(self.planted, Some(Planted::OlderState)) {
            self.later(5 * SECOND, Event::Plant);
        }
    }

    /// Plays one event; false when the day is over.
    pub fn step(&mut self) -> bool {
        let Some((at, event)) = self.queue.take() else { return false };
        if at > self.scenario.end() {
            return false;
        }
        self.now = at;
        self.steps += 1;
        self.happens(event);
        true
    }

    /// Plays to the end; then what was seen is in `log`.
    pub fn play(&mut self) {
        while self.step() {}
        self.now = self.scenario.end();
        self.office_closes();
    }

    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// The last lines of each process, for whoever looks for a cause.
    pub fn rings(&self) -> String {
        self.machines.iter().enumerate().map(|(at, machine)| machine.ring_text(at)).collect()
    }

    pub(crate) fn saw(&mut self, what: What) {
        self.log.push(Seen { at: self.now, what });
        self.log_steps.push(self.steps);
    }

    pub(crate) fn later(&mut self, after: Micros, event: Event) {
        self.queue.put(self.now + after.max(0), event);
    }

    pub(crate) fn span(&mut self, from: Micros, to: Micros) -> Micros {
        if to <= from { from } else { self.chance.rand_range(from as u64..to as u64) as Micros }
    }

    /// True so many times of a thousand.
    pub(crate) fn odds(&mut self, of_thousand: u32) -> bool {
        of_thousand > 0 && self.chance.rand_range(0..1000) < u64::from(of_thousand)
    }

    pub(crate) fn pick(&mut self, count: usize) -> usize {
        self.chance.rand_range(0..count.max(1) as u64) as usize
    }

    fn happens(&mut self, event: Event) {
        if let Some(event) = self.held_up(event) {
            match event {
                Event::Start { at, alone } => self.start(at, alone),
                Event::Tick { at, run, due } => self.tick(at, run, due),
                Event::Mail { to, from, bytes, carrier } => self.mail(to, from, &bytes, carrier),
                Event::Synced { at, run, write } => self.synced(at, run, write),
                Event::Thaw { at } => self.thaw(at),
                Event::Down { at, power, wiped, back } => self.down(at, power, wiped, Some(back)),
                Event::End { at, run, back } => self.ends(at, run, back),
                Event::Close { at, run } => {
                    if self.machines[at].run == run {
                        self.machines[at].closing = true;
                        self.done(at);
                    }
                }
                Event::Trouble { number } => self.trouble(number),
                Event::Sound { service } => self.sick[service] = (0, 0, 0),
                Event::Call { at, caller, call } => self.called(at, caller, &call),
                Event::Reply { caller, reply } => self.replied(caller, reply),
                Event::Silence { caller } => self.replied(caller, Reply::Silence),
                Event::Again { task, no } => self.try_again(task, no),
                Event::List { core } => self.listed = core,
                Event::Beat { instance, no } => self.beat(instance, no),
                Event::Register { service, version, address } => self.register(service, version, address),
                Event::Detach { instance } => self.detach(instance),
                Event::Gone { instance } => self.gone(instance),
                Event::Leave { instance } => self.drain(instance),
                Event::Watch { rollout } => self.watch(rollout),
                Event::Look { rollout } => self.look(rollout),
                Event::Retire { at } => self.retire(at),
                Event::Retired { at } => self.retired(at),
                Event::Guest => self.guest(),
                Event::Knock { at, request } => self.knock(at, request),
                Event::Patience { request } => self.patience(request),
                Event::Deadline { request } => self.deadline(request),
                Event::Answered { request, answer, wait } => self.answered(request, answer, wait),
                Event::Retry { request } => self.retry(request),
                Event::ClientGone { at, run, ticket } => self.client_gone(at, run, ticket),
                Event::Arrive { trip } => self.arrive(trip),
                Event::Work { instance, trip } => self.worked(instance, trip),
                Event::TripEnded { trip, ending, answer } => self.trip_ended(trip, ending, answer),
                Event::Until { trip } => self.until(trip),
                Event::Readiness => self.readiness(),
                Event::Settles { at } => self.settles(at),
                Event::Flap { service, version, address, until } => {
                    self.flap(service, version, address, until);
                }
                Event::Probe => self.probe(),
                Event::Calm => self.calm(),
                Event::ReadBack { first } => self.read_back(first),
                Event::Plant => self.plant_old_state(),
            }
        }
    }
}
