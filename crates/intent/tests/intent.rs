//! The hard cases: what must be caught, and above all who must not be accused.

#[path = "../examples/fleet/world.rs"]
#[allow(dead_code)]
mod world;

use std::net::Ipv4Addr;
use std::sync::Arc;

use intent::judge::{Effect, Event, Member};
use intent::remedy::{self, Fence, Step};
use intent::witness::{self, Report, Sight, Weight};
use intent::{
    Claim, Held, Inspector, Intent, Judge, Part, Remedy, State, Took, Tuning, Usher, Ward, Witness, Word,
    inspector, usher, ward,
};
use oorandom::Rand64;
use types::{LogIndex, MS, Micros, NodeAddress, RunId, SECOND, Term};
use world::{Kind, Plan, Text, Way, run, texts};

fn place(at: u8) -> NodeAddress {
    NodeAddress(Ipv4Addr::new(10, 0, 0, at))
}

fn tuning() -> Tuning {
    Tuning::of_apply(2_500 * MS)
}

fn day(seed: u64) -> Vec<Text> {
    texts(&mut Rand64::new(seed.into()), 4)
}

/// A judge that leads, has committed the first two intents, and knows ten gateways.
struct Bench {
    judge: Judge,
    today: Arc<Intent>,
    now: Micros,
    told: Vec<Effect>,
}

impl Bench {
    fn start() -> Bench {
        Bench::of(5)
    }

    fn of(seed: u64) -> Bench {
        let day = day(seed);
        let today = day[1].intent.clone();
        let mut bench = Bench { judge: Judge::start(tuning(), 1, 0), today, now: 0, told: Vec::new() };
        let members = (0..10).map(|at| Member { place: place(at), life: RunId(1), zone: 0 }).collect();
        bench.step(Event::Lead { sure: true });
        bench.step(Event::Members(members));
        bench.step(Event::Committed(day[0].intent.clone()));
        bench.step(Event::Committed(bench.today.clone()));
        bench
    }

    fn step(&mut self, event: Event) {
        self.told.extend(self.judge.step(self.now, event));
    }

    /// Time passes; all but `silent` say today's, and answer what they hold by `holds`.
    fn pass(&mut self, span: Micros, silent: &[u8], holds: impl Fn(u8, u64) -> Option<(LogIndex, [u32; 6])>) {
        let end = self.now + span;
        while self.now < end {
            self.now += 125 * MS;
            self.step(Event::Tick);
            let asked: Vec<(NodeAddress, u64)> =
                self.told.iter().rev().take(20).filter_map(challenge).collect();
            for at in (0..10).filter(|at| !silent.contains(at)) {
                let claim = Claim { life: RunId(1), index: self.today.index, root: self.today.digest.root() };
                self.step(Event::Claim { from: place(at), claim });
                let nonce = asked.iter().find(|(to, _)| *to == place(at)).map(|(_, nonce)| *nonce);
                if let Some((nonce, (index, sums))) = nonce.and_then(|nonce| Some((nonce, holds(at, nonce)?)))
                {
                    let held = Held { life: RunId(1), nonce, index, sums };
                    self.step(Event::Held { from: place(at), held });
                }
            }
        }
    }

    fn honest(&self) -> impl Fn(u8, u64) -> Option<(LogIndex, [u32; 6])> + use<> {
        let today = self.today.clone();
        move |_, nonce| Some((today.index, today.salted(nonce)))
    }

    /// A witness tells so many wrong effects of one node's limits.
    fn report(&mut self, by: u8, of: u8, wrong: i16) {
        let weight = Weight { part: Part::Limits, older: 552 * wrong, other: 552 * wrong };
        let sight = Sight { of: place(of), life: RunId(1), weights: vec![weight] };
        let (index, root) = (self.today.index, self.today.digest.root());
        let report = Report { index, root, sights: vec![sight] };
        self.step(Event::Report { from: place(by), report });
    }

    fn accused(&self) -> usize {
        let accused = |told: &&Effect| matches!(told, Effect::Changed { to, .. } if to.accused());
        self.told.iter().filter(accused).count()
    }
}

fn challenge(told: &Effect) -> Option<(NodeAddress, u64)> {
    match told {
        Effect::Challenge { to, nonce } => Some((*to, *nonce)),
        _ => None,
    }
}

#[test]
fn intents_compare_by_part_and_range_whatever_their_version() {
    for seed in 1..20 {
        let day = day(seed);
        for two in day.windows(2) {
            let (old, new) = (&two[0].intent, &two[1].intent);
            let rows = old.replaced_by(new);
            let ranges = (0..16).filter(|range| old.range(*range) != new.range(*range)).count();
            assert!(ranges <= rows.len(), "seed {seed}");
            assert_eq!(ranges == 0, rows.is_empty(), "seed {seed}");
            // One part was changed; a route that comes or goes is in all of its parts.
            let parts = old.digest.differing(&new.digest).count();
            assert!(parts == rows.len().min(1) || old.digest.0[0] != new.digest.0[0], "seed {seed}: {parts}");
            // An earlier text under a higher version is that text again.
            assert_eq!(new.replaced_by(new), Vec::new());
        }
    }
}

#[test]
fn a_node_that_holds_an_older_part_is_caught_and_a_copied_answer_is_none() {
    let mut bench = Bench::start();
    let (old, today) = (day(5)[0].intent.clone(), bench.today.clone());
    let stale = today.salted(1);
    bench.pass(4 * SECOND, &[], |at, nonce| match at {
        3 => Some((today.index, old.salted(nonce))),
        // A right answer to an earlier question.
        4 => Some((today.index, stale)),
        _ => Some((today.index, today.salted(nonce))),
    });
    let state = |at: u8| Part::ALL.map(|part| bench.judge.state(place(at), part));
    assert!(state(3).contains(&State::Diverged));
    assert!(state(4).iter().all(|state| *state != State::Today));
    assert!(state(5).iter().all(|state| *state == State::Today));
}

#[test]
fn words_alone_one_liar_or_two_that_are_outvoted_judge_nobody() {
    let mut bench = Bench::start();
    bench.pass(2 * SECOND, &[], bench.honest());
    for _ in 0..20 {
        bench.report(1, 7, 1);
        bench.report(2, 7, 1);
    }
    assert_eq!(bench.accused(), 0, "fewer opinions than are asked for");
    assert!(bench.told.iter().any(|told| matches!(told, Effect::Ask { of, .. } if *of == place(7))));
    bench.report(3, 7, 0);
    bench.report(4, 7, 0);
    bench.report(1, 7, 1);
    assert_eq!(bench.accused(), 0, "two of four are no majority");
    bench.report(5, 7, 1);
    assert_eq!(bench.judge.state(place(7), Part::Limits), State::Straggling);
    assert_eq!(bench.judge.state(place(7), Part::Priorities), State::Today, "an older limit only");
}

#[test]
fn what_was_seen_under_the_last_intent_does_not_outvote_this_one() {
    // A day whose third intent leaves the limits as they are.
    let same = |day: &[Text]| {
        let mut changed = day[1].intent.digest.differing(&day[2].intent.digest);
        changed.all(|part| part != Part::Limits)
    };
    let seed = (1..50).find(|seed| same(&day(*seed))).expect("one of fifty days is so");
    let mut bench = Bench::of(seed);
    bench.pass(2 * SECOND, &[], bench.honest());
    [0, 1, 2, 3, 4, 5, 6, 8, 9].into_iter().for_each(|by| bench.report(by, 7, 0));
    bench.today = day(seed)[2].intent.clone();
    bench.step(Event::Committed(bench.today.clone()));
    bench.pass(2 * SECOND, &[], bench.honest());
    (1..5).for_each(|by| bench.report(by, 7, 1));
    assert_eq!(bench.judge.state(place(7), Part::Limits), State::Straggling);
}

#[test]
fn nobody_is_accused_while_leadership_is_not_proved_or_after_a_leap_of_the_judge() {
    let mut bench = Bench::start();
    let old = day(5)[0].intent.clone();
    let lags = |_: u8, nonce| Some((old.index, old.salted(nonce)));
    bench.step(Event::Lead { sure: false });
    bench.pass(6 * SECOND, &[], lags);
    (1..6).for_each(|by| bench.report(by, 7, 2));
    assert_eq!(bench.accused(), 0);
    bench.step(Event::Lead { sure: true });
    for frozen in [1_200 * MS, 60 * SECOND] {
        bench.pass(3 * SECOND / 2, &[], lags);
        // Nobody was late by this clock.
        bench.now += frozen;
        (1..6).for_each(|by| bench.report(by, 7, 2));
        assert_eq!(bench.accused(), 0, "frozen for {frozen}");
    }
    bench.pass(3 * SECOND, &[], lags);
    assert!(bench.accused() > 0, "it is accused once its time is over");
}

#[test]
fn a_cut_that_heals_begins_the_time_anew() {
    let mut bench = Bench::start();
    let (old, today) = (day(5)[0].intent.clone(), bench.today.clone());
    bench.pass(8 * SECOND, &[6], bench.honest());
    assert_eq!(bench.judge.state(place(6), Part::Routes), State::Unknown);
    let lags = |at: u8, nonce| match at {
        6 => Some((old.index, old.salted(nonce))),
        _ => Some((today.index, today.salted(nonce))),
    };
    bench.pass(3 * SECOND / 2, &[], lags);
    (1..6).for_each(|by| bench.report(by, 6, 2));
    assert_eq!(bench.accused(), 0);
    bench.pass(2 * SECOND, &[], lags);
    assert!(bench.accused() > 0);
}

#[test]
fn a_judge_that_is_itself_behind_doubts_itself() {
    let mut bench = Bench::start();
    let later = day(5)[2].intent.clone();
    for _ in 0..20 {
        bench.now += 100 * MS;
        for at in 0..8 {
            let claim = Claim { life: RunId(1), index: later.index, root: later.digest.root() };
            bench.step(Event::Claim { from: place(at), claim });
        }
        bench.step(Event::Tick);
    }
    assert_eq!(bench.told.iter().filter(|told| **told == Effect::OwnDoubt).count(), 1);
    (1..6).for_each(|by| bench.report(by, 7, 2));
    assert_eq!(bench.accused(), 0);
}

#[test]
fn a_witness_gives_time_and_counts_only_what_tells_intents_apart() {
    let day = day(5);
    let mut witness = Witness::start(place(1), tuning(), 1, 0);
    for (at, text) in day.iter().take(2).enumerate() {
        witness.step(at as Micros * 100 * MS, witness::Event::Applied(text.intent.clone()));
    }
    let (old, new) = (&day[0].intent, &day[1].intent);
    let (route, row) = old.replaced_by(new).pop().expect("a row changed");
    assert!(row.is_some() && new.row(route).is_some(), "seed 5 changes a route and keeps it");
    let mut saw = |at: Micros, since: Micros, said: u64, took: Option<Took>| {
        let (of, life, said) = (place(2), RunId(1), Some(LogIndex(said)));
        let effects = witness.step(at, witness::Event::Saw { of, life, said, since, route, took });
        effects.iter().any(|effect| matches!(effect, witness::Effect::Tell(_)))
    };
    // That it is gone is by neither.
    let took = None;
    let index = new.index.0;
    assert!(!saw(SECOND, 500 * MS, index, took), "asked before the time was over");
    assert!(!saw(2 * SECOND, 2 * SECOND, index + 10, took), "one that is ahead");
    assert!(!saw(2 * SECOND, 1_500 * MS, index - 10, took), "one that says that it is on the way");
    assert!(saw(2 * SECOND, 2 * SECOND, index, took));
}

#[test]
fn so_many_are_left_that_a_withdrawal_harms_nobody_whatever_is_judged() {
    for seed in 1..30u64 {
        let mut random = Rand64::new(seed.into());
        let mut remedy = Remedy::start(tuning());
        let nodes = 2 + random.rand_range(0..40) as u8;
        let zone = |at: u8| u16::from(at % 3);
        let members = (0..nodes).map(|at| Member { place: place(at), life: RunId(1), zone: zone(at) });
        remedy.step(0, remedy::Event::Lead(Some(Term(3))));
        remedy.step(0, remedy::Event::Members(members.collect()));
        let mut restarted = Vec::new();
        for tick in 0..400 {
            let now = tick * 125 * MS;
            let (of, part) = (place(random.rand_range(0..nodes.into()) as u8), Part::Kinds);
            let (life, why) = (RunId(1), intent::judge::Why::Seen { witnesses: 3 });
            let event = remedy::Event::Changed { place: of, life, part, to: State::Diverged, why };
            let mut effects = remedy.step(now, event);
            effects.extend(remedy.step(now, remedy::Event::Tick));
            restarted.extend(effects.iter().filter_map(|one| match one {
                remedy::Effect::Order { to, step: Step::Restart, .. } => Some(*to),
                _ => None,
            }));
            let out = remedy.withdrawn();
            assert!(out <= usize::from(nodes) / 2 && out <= (usize::from(nodes) * 34 / 100).max(1), "{seed}");
            let gone = |at: &u8| {
                let stage = remedy.stage(place(*at));
                matches!(stage, Some(remedy::Stage::Out | remedy::Stage::Restarting))
            };
            for z in 0..3 {
                let here: Vec<u8> = (0..nodes).filter(|at| zone(*at) == z).collect();
                let gone = here.iter().filter(|at| gone(at)).count();
                assert!(2 * gone <= here.len(), "seed {seed}: half of zone {z}");
            }
        }
        let once: std::collections::BTreeSet<NodeAddress> = restarted.iter().copied().collect();
        assert_eq!(once.len(), restarted.len(), "seed {seed}: twice in a minute");
        let left = remedy.step(60 * SECOND, remedy::Event::Lead(None));
        assert!(left.is_empty() && remedy.step(61 * SECOND, remedy::Event::Tick).is_empty(), "no orders");
    }
}

#[test]
fn each_of_many_that_lack_an_intent_is_told_so_few_at_a_time() {
    let mut remedy = Remedy::start(tuning());
    let members = (0..100).map(|at| Member { place: place(at), life: RunId(1), zone: 0 });
    remedy.step(0, remedy::Event::Lead(Some(Term(1))));
    remedy.step(0, remedy::Event::Members(members.collect()));
    let mut told = std::collections::BTreeSet::new();
    for tick in 1..40 {
        for at in 0..100 {
            let (life, part, why) = (RunId(1), Part::Routes, intent::judge::Why::Said);
            let event = remedy::Event::Changed { place: place(at), life, part, to: State::Behind, why };
            assert!(remedy.step(tick * 125 * MS, event).is_empty(), "it waits for the tick");
        }
        let orders: Vec<NodeAddress> =
            remedy.step(tick * 125 * MS, remedy::Event::Tick).iter().filter_map(order).collect();
        assert!(orders.len() <= 32);
        told.extend(orders);
    }
    assert_eq!(told.len(), 100);
}

fn order(effect: &remedy::Effect) -> Option<NodeAddress> {
    match effect {
        remedy::Effect::Order { to, step: Step::Resend { .. }, .. } => Some(*to),
        _ => None,
    }
}

#[test]
fn a_restart_takes_no_accusation_back() {
    let mut inspector = Inspector::start(tuning(), 1, 0);
    let today = day(5)[0].intent.clone();
    let members = |life: u64| {
        let life = |at: u8| if at == 3 { RunId(life) } else { RunId(1) };
        let members = (0..6).map(|at| Member { place: place(at), life: life(at), zone: 0 });
        inspector::Event::Members(members.collect())
    };
    inspector.step(0, inspector::Event::Committed(today.clone()));
    inspector.step(0, inspector::Event::Lead(Some(Term(1))));
    inspector.step(0, members(1));
    for by in [0, 1, 2, 4] {
        let weight = Weight { part: Part::Kinds, older: 0, other: 552 };
        let sights = vec![Sight { of: place(3), life: RunId(1), weights: vec![weight] }];
        let report = Report { index: today.index, root: today.digest.root(), sights };
        inspector.step(MS, inspector::Event::Word { from: place(by), word: Word::Report(report) });
    }
    assert_eq!(inspector.judge.state(place(3), Part::Kinds), State::Diverged);
    let effects = inspector.step(2 * MS, members(2));
    assert_eq!(inspector.judge.state(place(3), Part::Kinds), State::Diverged);
    let withdraw = |effect: &inspector::Effect| {
        let word = match effect {
            inspector::Effect::Send { to, word } if *to == place(3) => word,
            _ => return false,
        };
        matches!(word, Word::Order { life: RunId(2), step: Step::Withdraw, .. })
    };
    assert!(effects.iter().any(withdraw), "it is out until it has shown today's intent");
}

#[test]
fn a_ward_obeys_each_order_once_and_opens_when_its_leader_is_gone() {
    let order = |term: u64, number: u64, step| ward::Event::Order {
        life: RunId(2),
        fence: Fence { term: Term(term), number },
        step,
    };
    let mut ward = Ward::start(RunId(2), tuning(), 0);
    let told = Step::Resend { index: LogIndex(20), root: 5 };
    assert_eq!(ward.step(0, order(2, 1, told)), vec![ward::Effect::AskAgain]);
    ward.step(2 * SECOND, ward::Event::Tick);
    assert!(!ward.open(), "its old state is not let in");
    ward.step(2 * SECOND, ward::Event::Holds { index: LogIndex(20), root: 5 });
    assert!(ward.open());
    ward.step(3 * SECOND, order(2, 2, Step::Rebuild { parts: 1 << Part::Kinds as u8 }));
    assert!(ward.turns_back(Part::Kinds) && !ward.turns_back(Part::Limits) && ward.open());
    ward.step(4 * SECOND, order(2, 3, Step::Withdraw));
    assert!(ward.step(4 * SECOND, order(1, 9, Step::Admit)).is_empty(), "a deposed leader");
    assert!(ward.step(4 * SECOND, order(2, 2, Step::Restart)).is_empty(), "again");
    let (life, fence) = (RunId(1), Fence { term: Term(9), number: 9 });
    let event = ward::Event::Order { life, fence, step: Step::Restart };
    assert!(ward.step(4 * SECOND, event).is_empty(), "for another life");
    assert!(!ward.open());
    ward.step(ward.due(), ward::Event::Tick);
    assert!(ward.open() && !ward.turns_back(Part::Kinds), "the lease is over");
    let mut alone = Ward::start(RunId(1), tuning(), 0);
    alone.step(alone.due(), ward::Event::Tick);
    assert!(alone.open(), "nobody spoke");
}

/// Four ushers and an inspector, joined by lossless links; node 2's tables are not made anew until it is
/// told.
#[test]
fn an_usher_is_told_to_rebuild_and_admitted_when_it_has() {
    let day = day(5);
    let (old, today, hub) = (&day[0].intent, &day[1].intent, place(100));
    let foyers: Vec<NodeAddress> = (0..4).map(place).collect();
    let mut tables = [old; 4];
    let start = |at: u8| Usher::start(place(at), RunId(1), tuning(), u64::from(at), 0);
    let mut ushers: Vec<Usher> = (0..4).map(start).collect();
    let mut inspector = Inspector::start(tuning(), 1, 0);
    let members = (0..4).map(|at| Member { place: place(at), life: RunId(1), zone: 0 }).collect();
    let mut up = Vec::new();
    for event in [
        inspector::Event::Committed(old.clone()),
        inspector::Event::Lead(Some(Term(1))),
        inspector::Event::Members(members),
    ] {
        up.extend(inspector.step(0, event));
    }
    let mut steps = Vec::new();
    for now in (1..12_000).map(|tick| tick * MS) {
        let mut heard: Vec<(usize, usher::Event)> = Vec::new();
        for effect in std::mem::take(&mut up) {
            if let inspector::Effect::Send { to, word } = effect {
                heard.push((to.0.octets()[3].into(), usher::Event::Word { from: hub, word }));
            }
        }
        if now == 4 * SECOND {
            up.extend(inspector.step(now, inspector::Event::Committed(today.clone())));
        }
        for (at, table) in tables.iter_mut().enumerate() {
            if now == MS {
                let (foyers, hubs) = (foyers.clone(), vec![hub]);
                heard.push((at, usher::Event::Peers { foyers, hubs }));
            }
            if now == MS || now == 4 * SECOND + 20 * MS {
                let taken = if now == MS { old } else { today };
                heard.push((at, usher::Event::Taken(taken.clone())));
                if at != 2 || now == MS {
                    *table = taken;
                    heard.push((at, usher::Event::Tables(taken.clone())));
                }
            }
            heard.push((at, usher::Event::Tick));
        }
        let mut at = 0;
        while at < heard.len() {
            let (node, event) = heard[at].clone();
            at += 1;
            for effect in ushers[node].step(now, event) {
                let from = place(node as u8);
                match effect {
                    usher::Effect::Send { to, word } => {
                        assert_eq!(to, hub);
                        up.extend(inspector.step(now, inspector::Event::Word { from, word }));
                    }
                    usher::Effect::ReadBack { to, nonce } => {
                        let tables = tables[node].clone();
                        heard.push((node, usher::Event::ReadBack { to, nonce, tables }));
                    }
                    usher::Effect::Look { of, routes } => {
                        let held = tables[usize::from(of.0.octets()[3])];
                        for route in routes {
                            let text = if Arc::ptr_eq(held, old) { &day[0] } else { &day[1] };
                            let took = text.took(route);
                            let (life, said, since) = (RunId(1), held.index, now);
                            heard.push((node, usher::Event::Saw { of, life, said, since, route, took }));
                        }
                    }
                    usher::Effect::Ward(ward::Effect::Rebuild { .. }) => {
                        tables[node] = today;
                        heard.push((node, usher::Event::Tables(today.clone())));
                        steps.push((node, "rebuild"));
                    }
                    usher::Effect::Ward(_) => {}
                }
            }
        }
        up.extend(inspector.step(now, inspector::Event::Tick));
        let written = up.iter().filter_map(|effect| match effect {
            inspector::Effect::Write(note) if note.step == Step::Admit => Some((2, "admit")),
            _ => None,
        });
        steps.extend(written.filter(|_| now > 4 * SECOND));
    }
    assert_eq!(steps, vec![(2, "rebuild"), (2, "admit")]);
    let all = (0..4).flat_map(|at| Part::ALL.map(|part| inspector.judge.state(place(at), part)));
    assert!(all.into_iter().all(|state| state == State::Today));
}

#[test]
fn stragglers_of_each_kind_are_caught_first_and_brought_back() {
    for kind in Kind::ALL {
        let (mut first, mut all, mut back) = (0, 0, 0);
        for seed in 1..=4 {
            let (gateways, way) = (12, Way::Whole);
            let (rough, frozen, seconds, stragglers) = (false, false, 26, if seed % 2 == 0 { 4 } else { 1 });
            let it = run(Plan { seed, gateways, stragglers, kind, way, rough, frozen, seconds });
            assert_eq!((it.false_accused, it.false_withdrawn), (0, 0), "{kind:?}, seed {seed}");
            (first, all, back) = (first + it.caught_first, all + it.stragglers, back + it.back);
        }
        assert_eq!((first, all), (10, 10), "{kind:?}");
        assert!(back >= 7, "{kind:?}: {back}");
    }
}

#[test]
fn nobody_is_withdrawn_on_rough_days_without_a_straggler() {
    for seed in 1..=8 {
        let (gateways, stragglers, kind, way) = (12, 0, Kind::Late, Way::Whole);
        let plan = Plan { seed, gateways, stragglers, kind, way, rough: true, frozen: true, seconds: 40 };
        assert_eq!(run(plan).false_withdrawn, 0, "seed {seed}");
    }
}
