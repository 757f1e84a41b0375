//! Seen (observations): what clients, instances and operators saw, and which troubles there were. Rules are
//! checked on this alone, so that a recorded or hand-made run can be judged too.

use configuration::RouteKind;
use types::Micros;

/// A machine's number in the world.
pub type Machine = usize;

#[derive(Clone, Debug, PartialEq)]
pub struct Seen {
    pub at: Micros,
    pub what: What,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    Good,
    /// Not run and never will be (408, 421, 429, 503).
    Promise,
    /// 5xx without a promise, or a closed connection.
    Nothing,
    /// 404.
    NoRoute,
    /// The client's time was over.
    GaveUp,
}

#[derive(Clone, Debug, PartialEq)]
pub enum What {
    /// An operator begins a call. `allows`: route and service by number.
    Sent {
        order: u32,
        base: u32,
        version: u32,
        valid: bool,
        allows: Vec<(usize, usize)>,
        /// The added routes that it has.
        added: Vec<usize>,
    },
    /// A 200, by a machine.
    Acked {
        order: u32,
        by: Machine,
    },
    /// A clear refusal.
    Denied {
        order: u32,
        status: u16,
    },
    /// What was read with leadership proved; asked at `asked`. `right`: word for word what was sent.
    Read {
        asked: Micros,
        version: u32,
        right: bool,
    },
    /// The day ends, and nobody could read back.
    Unread,
    /// A roll-out is ordered, and acknowledged. `version` is a number for the service's version.
    Ordered {
        service: usize,
        version: u32,
        bad: bool,
        term: Micros,
    },
    OrderAcked {
        service: usize,
        version: u32,
    },
    OrderDenied {
        service: usize,
        version: u32,
    },
    /// What became of it: `true` completed, `false` reverted; the newest one read.
    Ended {
        service: usize,
        version: u32,
        completed: bool,
    },
    /// At the end: its order is not known any more, or not as it was.
    RolloutLost {
        service: usize,
        version: u32,
    },

    /// A client's try is sent to a foyer.
    Asked {
        request: u64,
        route: usize,
        kind: RouteKind,
    },
    /// A foyer handles it by a configuration; `life` numbers the foyer's processes. `sent`: by the client.
    Handled {
        request: u64,
        sent: Micros,
        foyer: Machine,
        life: u64,
        version: u32,
        service: usize,
    },
    Answered {
        request: u64,
        answer: Answer,
    },
    /// A foyer's request arrives where an instance is, whatever that makes of it. `asked_for`: the service of
    /// the route as the foyer picked it.
    Arrived {
        request: u64,
        foyer: Machine,
        instance: u32,
        service: usize,
        asked_for: usize,
    },
    /// An instance begins to work on it.
    Ran {
        request: u64,
        foyer: Machine,
        instance: u32,
        service: usize,
        version: u32,
    },
    /// An instance of a bad version answers badly.
    BadAnswer {
        service: usize,
        version: u32,
    },
    /// A foyer's request arrives where another instance has its address now, and is turned away.
    TurnedAway {
        request: u64,
        asked_for: usize,
    },
    /// A foyer's process ends with a request in hand; `passed`: it was sent on to an instance.
    BrokenOff {
        request: u64,
        foyer: Machine,
        passed: bool,
    },
    /// An instance says that it drains, for the first time.
    Leaving {
        instance: u32,
    },
    /// That an instance drains, or has gone, is acknowledged.
    DrainAcked {
        instance: u32,
        by: Machine,
    },

    /// Trouble at a machine, or at its links.
    Harmed {
        machine: Machine,
        until: Micros,
    },
    /// How many machines the core has, and how many routes are no added ones.
    Shape {
        core: usize,
        routes: usize,
    },
    /// A machine is told to end in order, and is there again at `until`.
    Planned {
        machine: Machine,
        until: Micros,
    },
    /// A core machine doesn't run, or is not connected. The core is settled as long as most are well.
    Impaired {
        machine: Machine,
        until: Micros,
    },
    /// A link is in trouble.
    Links {
        until: Micros,
    },
    /// Something that unsettles the core.
    Unsettled {
        until: Micros,
    },
    /// A caller of control waited so long at a machine whose process, and the way to it, ran all the while; a
    /// second where no answer came.
    Waited {
        machine: Machine,
        took: Micros,
    },
    /// An operator finds a version on trial again whose roll-out had ended.
    Retried {
        service: usize,
        version: u32,
    },
    /// A client has a good answer whose stamp is that of a run of the request `of`.
    Stamped {
        request: u64,
        of: u64,
    },
    /// A foyer is ready for the first time in its life, by this configuration.
    Ready {
        foyer: Machine,
        life: u64,
        version: u32,
    },
    /// As the day ends: the configuration by which a core machine goes.
    Stands {
        machine: Machine,
        version: u32,
    },
    /// From here on there is no trouble.
    Calm,
    Leads {
        term: u64,
        machine: Machine,
        life: u64,
    },
}
