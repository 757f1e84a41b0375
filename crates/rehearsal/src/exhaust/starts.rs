//! States that explorations begin in, each played to from the first start of all by steps of the same kinds.

use consensus::{Entry, EntryPayload, Rpc};
use types::LogIndex;

use super::stage::{Bounds, Planted, Stage, Step};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Start {
    /// All start for the first time; the first entry is not on any disk yet.
    Cold,
    /// Machine 0 leads. A change is committed and acknowledged that the last machine has not got.
    Led,
    /// Machine 0 leads. A change is on its disk and in the memory of machine 1, whose write is under way.
    Open,
    /// Machine 1 lost its disk and was let in as another seat's follower: its old seat is being dismissed.
    Members,
    /// Machine 0 leads in its own view and waits to answer a read; the last one was elected after it.
    Deposed,
    /// Machine 0 and the last one stand in the same term, and both ask the rest for votes.
    Rivals,
    /// As `Led`, and the leader has kept its state and started again, so that its log begins there.
    Cut,
    /// Machine 0 was cut off while it led, and leads in its own view; the last one leads, and has acknowledged a
    /// change since. Nothing that either said to the other has arrived.
    Apart,
    /// Machine 1 lost its disk, and its new seat has been let in: the repair is committed, and not all know it yet.
    Repaired,
    /// As `Cut`, with a state of two pieces, of which the first has just come to the last machine.
    Sending,
}

impl Start {
    pub const ALL: [Start; 7] =
        [Start::Cold, Start::Led, Start::Open, Start::Members, Start::Deposed, Start::Rivals, Start::Cut];

    /// Those of control's worst days: a cut with a read, a change of members with a loss, a snapshot under way.
    pub const WORST: [Start; 3] = [Start::Apart, Start::Repaired, Start::Sending];

    pub fn name(self) -> &'static str {
        match self {
            Start::Cold => "cold",
            Start::Led => "led",
            Start::Open => "open",
            Start::Members => "members",
            Start::Deposed => "deposed",
            Start::Rivals => "rivals",
            Start::Cut => "cut",
            Start::Apart => "apart",
            Start::Repaired => "repaired",
            Start::Sending => "sending",
        }
    }

    /// The state, for three machines or more, with what may happen and what goes wrong from there on.
    pub fn stage(self, machines: usize, bounds: Bounds, planted: Option<Planted>) -> Stage {
        let mut stage = Stage::cold(machines);
        let last = machines - 1;
        match self {
            Start::Cold => {}
            Start::Led => led(&mut stage, &[last]),
            Start::Open => {
                led(&mut stage, &[]);
                stage.run(Step::Propose { at: 0 });
                sync(&mut stage, 0);
                let append = stage.slot(0, 1, |word| matches!(word, Rpc::AppendEntries { .. }));
                stage.run(append.expect("the change is sent"));
            }
            Start::Members => {
                led(&mut stage, &[]);
                stage.run(Step::Wipe { at: 1 });
                stage.settle(&[]);
                // The new one knocks; the old seat is silent for an election span, while the others answer, and
                // once more when they are asked whether they are there. What follows on that is not synced yet.
                stage.run(Step::Timer { at: 1 });
                let changed = |stage: &Stage| stage.machines[0].book.members().0.len() < machines;
                for _ in 0..40 {
                    stage.settle_until(&[], changed);
                    if changed(&stage) {
                        break;
                    }
                    stage.run(Step::Timer { at: 0 });
                }
                assert!(stage.machines[0].book.members().0.len() < machines, "{}", stage.view());
            }
            Start::Deposed => {
                led(&mut stage, &[]);
                stage.run(Step::Propose { at: 0 });
                sync(&mut stage, 0);
                let others: Vec<usize> = (1..machines).collect();
                stage.lose(&others);
                stage.run(Step::Read { at: 0 });
                let beat = stage.slot(0, 1, |word| matches!(word, Rpc::Heartbeat { round: Some(_), .. }));
                stage.run(beat.expect("the read's round is sent"));
                let proof = stage.clone();
                stage.lose(&others);
                depose(&mut stage, last, &[0]);
                stage.keep_words(&proof, 1, 0);
            }
            Start::Rivals => {
                led(&mut stage, &[]);
                for at in 0..machines {
                    stage.run(Step::Restart { at: at as u8, landed: false });
                }
                for at in [0, last] {
                    stage.run(Step::Timer { at: at as u8 });
                }
                for (at, other) in
                    [0, last].into_iter().flat_map(|at| (1..last).map(move |other| (at, other)))
                {
                    let asked = stage.slot(at, other, |word| matches!(word, Rpc::PreVoteRequest { .. }));
                    stage.run(asked.expect("it asks whether it may stand"));
                    let granted = stage.slot(other, at, |word| matches!(word, Rpc::PreVoteResponse { .. }));
                    stage.run(granted.expect("it may"));
                }
                for at in [0, last] {
                    sync(&mut stage, at);
                }
                stage.lose_all_but(|word| matches!(word, Rpc::VoteRequest { .. }));
            }
            Start::Apart => {
                led(&mut stage, &[]);
                depose(&mut stage, last, &[0]);
                stage.run(Step::Propose { at: last as u8 });
                stage.settle(&[0]);
                assert!(stage.machines[0].book.is_leader() && stage.machines[last].book.is_leader());
            }
            Start::Repaired => {
                led(&mut stage, &[]);
                stage.run(Step::Wipe { at: 1 });
                stage.settle(&[]);
                stage.run(Step::Timer { at: 1 });
                // The old seat is dismissed, and the new one let in, each by an entry of its own.
                let repaired = |stage: &Stage| {
                    let (book, seat) = (&stage.machines[0].book, stage.machines[1].seat);
                    let members = book.members().0.contains(&seat) && book.members().0.len() == machines;
                    members && book.entry(book.commit_index()).is_some_and(is_members) && book.is_leader()
                };
                for _ in 0..80 {
                    stage.settle_until(&[], repaired);
                    if repaired(&stage) {
                        break;
                    }
                    stage.run(Step::Timer { at: 0 });
                }
                assert!(repaired(&stage), "{}", stage.view());
            }
            Start::Sending => {
                stage.large = true;
                led(&mut stage, &[last]);
                stage.run(Step::Keep { at: 0 });
                stage.settle(&[last]);
                stage.run(Step::Restart { at: 0, landed: false });
                depose(&mut stage, 0, &[last]);
                let first = |word: &Rpc| matches!(word, Rpc::InstallSnapshot { offset: 0, .. });
                for _ in 0..10 {
                    stage.settle_until(&[], |stage| stage.slot(0, last, first).is_some());
                    if stage.slot(0, last, first).is_some() {
                        break;
                    }
                    stage.run(Step::Timer { at: 0 });
                }
                let piece = stage.slot(0, last, first);
                stage.run(piece.expect("the first piece is sent"));
            }
            Start::Cut => {
                led(&mut stage, &[last]);
                stage.run(Step::Keep { at: 0 });
                stage.settle(&[last]);
                stage.run(Step::Restart { at: 0, landed: false });
                depose(&mut stage, 0, &[last]);
            }
        }
        stage.left = bounds;
        stage.plant(planted);
        stage
    }
}

fn is_members(entry: &Entry) -> bool {
    matches!(entry.payload, EntryPayload::Members(_))
}

fn sync(stage: &mut Stage, at: usize) {
    stage.run(Step::Synced { at: at as u8 });
}

/// One machine comes to lead by the votes of those that are not cut off, and its first entry is committed
/// there.
fn elect(stage: &mut Stage, at: usize, cut: &[usize]) {
    for _ in 0..3 {
        if !stage.machines[at].book.is_leader() {
            stage.run(Step::Timer { at: at as u8 });
            stage.settle(cut);
        }
    }
    assert!(stage.machines[at].book.is_leader(), "it should have been elected\n{}", stage.view());
}

/// The same after those that are not cut off have heard of no leader for an election span.
fn depose(stage: &mut Stage, at: usize, cut: &[usize]) {
    for other in (0..stage.machines.len()).filter(|other| *other != at && !cut.contains(other)) {
        stage.run(Step::Freeze { at: other as u8 });
    }
    elect(stage, at, cut);
}

/// Machine 0 leads, and one change is acknowledged that those cut off have not got.
fn led(stage: &mut Stage, cut: &[usize]) {
    stage.settle(&[]);
    elect(stage, 0, &[]);
    stage.run(Step::Propose { at: 0 });
    stage.settle(cut);
    assert_eq!(stage.machines[0].book.commit_index(), LogIndex(3));
}
