//! Plays every reader: kept inputs again, guided runs of fixed seeds, and what guiding is worth.

use std::alloc::{GlobalAlloc, Layout, System};
use std::cell::Cell;
use std::path::PathBuf;
use std::thread;

use understudy::{Bounds, How, Seen, Shape, Tale, Target, play, played, shapes, shortened, targets};

/// Counts the bytes that each thread allocates.
struct Counting;

thread_local! {
    static ALLOCATED: Cell<u64> = const { Cell::new(0) };
}

fn count(bytes: usize) {
    // A thread that is ending has no counter any more, and nobody asks for it.
    let _ = ALLOCATED.try_with(|sum| sum.set(sum.get() + bytes as u64));
}

// SAFETY: every call goes to the system's allocator as it came; the counter is plain and allocates nothing.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        count(layout.size());
        // SAFETY: the caller's promises for `alloc` are those that the system's asks for.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, at: *mut u8, layout: Layout) {
        // SAFETY: `at` came from the system's allocator with this layout.
        unsafe { System.dealloc(at, layout) }
    }

    unsafe fn realloc(&self, at: *mut u8, layout: Layout, size: usize) -> *mut u8 {
        count(size.saturating_sub(layout.size()));
        // SAFETY: as for `dealloc`; the caller sees to `size`.
        unsafe { System.realloc(at, layout, size) }
    }
}

#[global_allocator]
static COUNTING: Counting = Counting;

fn meter() -> u64 {
    ALLOCATED.with(Cell::get)
}

/// Half of what a thread of a process has, so that nesting which comes near is found.
const STACK: usize = 1 << 20;
const PLAYER: &str = "player";

/// Plays one target on a thread of its own with little stack; panics are told by whoever asks, not one by one.
fn on_thread<T: Send + 'static>(work: impl FnOnce() -> T + Send + 'static) -> thread::JoinHandle<T> {
    let usual = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |told| {
        // What `played` and the store catch is told by whoever asks.
        if thread::current().name() != Some(PLAYER) {
            usual(told);
        }
    }));
    thread::Builder::new().name(PLAYER.to_owned()).stack_size(STACK).spawn(work).expect("a thread")
}

fn folder(target: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("corpus").join(target)
}

/// Inputs that were worth keeping, by name.
fn corpus(target: &str) -> Vec<Vec<u8>> {
    let Ok(listed) = std::fs::read_dir(folder(target)) else { return Vec::new() };
    let mut paths: Vec<PathBuf> = listed.filter_map(|entry| Some(entry.ok()?.path())).collect();
    paths.sort();
    paths.iter().map(|path| std::fs::read(path).expect("it can be read")).collect()
}

/// Every target on a thread of its own.
fn each<T: Send + 'static>(work: impl Fn(&mut dyn Target) -> T + Clone + Send + 'static) -> Vec<T> {
    let threads: Vec<_> = (0..targets::all().len())
        .map(|at| {
            let work = work.clone();
            on_thread(move || work(&mut *targets::all().remove(at)))
        })
        .collect();
    let ended = threads.into_iter().map(|thread| match thread.join() {
        Ok(done) => done,
        Err(panic) => panic!("{}", panic.downcast_ref::<String>().map_or("a panic", String::as_str)),
    });
    ended.collect()
}

fn told(tales: &[(&'static str, Tale)]) {
    for (name, tale) in tales {
        let Tale { played, marks, kept, costliest, broken } = tale;
        println!(
            "{name:9} {played:6} inputs {marks:5} marks {:4} kept, most allocated {costliest:?}",
            kept.len()
        );
        for broken in broken {
            println!("  BROKEN {broken}");
        }
    }
}

/// The shortest inputs first, as long as each shows what neither the sound ones nor those before it did.
fn kept(target: &mut dyn Target, tale: &Tale) {
    let mut seen = Seen::default();
    let known = target.seeds().into_iter().chain(corpus(target.name()));
    let mut shows =
        |input: &[u8]| played(target, input, meter).map_or(0, |(signature, _)| seen.note(&signature));
    known.for_each(|input| {
        shows(&input);
    });
    let mut inputs: Vec<_> = tale.kept.iter().filter(|input| input.len() <= 1_000).collect();
    inputs.sort_by_key(|input| input.len());
    let new: Vec<_> = inputs.into_iter().filter(|input| shows(input) > 0).take(24).collect();
    std::fs::create_dir_all(folder(target.name())).expect("a folder");
    for (at, input) in new.into_iter().enumerate() {
        std::fs::write(folder(target.name()).join(format!("kept-{at:02}")), input).expect("a file");
    }
}

/// A play from the corpus on, short in the suite, and as long as is wanted by hand: `UNDERSTUDY=inputs[,seed[,target]]
/// cargo test -p understudy --release long`. What broke its reader goes to `found/` in the package, cut short; with a
/// fourth word, `keep`, the shortest inputs that show something new go to the corpus.
#[test]
fn long_or_short_plays_from_the_corpus_break_nothing() {
    let asked = std::env::var("UNDERSTUDY").unwrap_or_default();
    let mut asked = asked.split(',').map(str::to_owned);
    let inputs: Option<usize> = asked.next().and_then(|text| text.parse().ok());
    let seed = asked.next().and_then(|text| text.parse().ok()).unwrap_or(11);
    let only = asked.next().filter(|only| only != "all");
    let keep = asked.next().is_some();
    let tales = each(move |target| {
        let mut tale = Tale::default();
        if only.as_deref().is_none_or(|only| only == target.name()) {
            let long = |inputs| Bounds { inputs, bytes: 1 << 14, corpus: 4_096 };
            let bounds = inputs.map_or_else(|| short(target), long);
            let more = corpus(target.name());
            tale = play(target, How::Guided, seed, bounds, &more, meter);
        }
        for (at, broken) in tale.broken.iter().enumerate() {
            let same =
                |bytes: &[u8]| played(target, bytes, meter).is_err_and(|other| other.why == broken.why);
            let short = shortened(&broken.input, 3_000, same);
            let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("found");
            std::fs::create_dir_all(&folder).expect("a folder");
            std::fs::write(folder.join(format!("{}-{seed}-{at}", target.name())), short).expect("a file");
        }
        if keep {
            kept(target, &tale);
        }
        (target.name(), tale)
    });
    told(&tales);
    assert!(tales.iter().all(|(_, tale)| tale.broken.is_empty()));
    assert!(tales.iter().any(|(_, tale)| tale.played > 0), "there is a target of that name");
}

/// Everything in `corpus/`, which has what once broke a reader and what shows the most with the fewest inputs.
#[test]
fn kept_inputs_play_again() {
    let played = each(|target| {
        let inputs = corpus(target.name());
        for input in target.seeds().into_iter().chain(inputs.iter().cloned()) {
            if let Err(broken) = played(target, &input, meter) {
                panic!("{broken}");
            }
        }
        inputs.len()
    });
    assert!(played.iter().sum::<usize>() > 100, "there is a corpus: {played:?}");
}

/// Bounds of one target's run in the suite; the store's file takes some 20 ms an input.
fn short(target: &dyn Target) -> Bounds {
    let inputs = if target.name() == "redb" { 60 } else { 3_000 };
    Bounds { inputs, bytes: 4_096, corpus: 1_024 }
}

/// As many inputs with and without guidance, from the same sound ones. What is measured stands in docs/fuzzing.md.
#[test]
fn guided_play_breaks_nothing_and_sees_more_than_spoiling() {
    let both = each(|target| {
        let bounds = short(target);
        let guided = play(target, How::Guided, 3, bounds, &[], meter);
        let unguided = play(target, How::Unguided, 3, bounds, &[], meter);
        (target.name(), guided, unguided)
    });
    let (mut guided_marks, mut unguided_marks) = (0, 0);
    for (name, guided, unguided) in both {
        println!(
            "{name:9} {} inputs: {} marks guided, {} unguided",
            guided.played, guided.marks, unguided.marks
        );
        let broken: Vec<_> = guided.broken.iter().chain(&unguided.broken).map(ToString::to_string).collect();
        assert!(broken.is_empty(), "{}", broken.join("\n"));
        guided_marks += guided.marks;
        unguided_marks += unguided.marks;
    }
    println!("in all {guided_marks} guided, {unguided_marks} unguided");
    assert!(guided_marks * 2 > unguided_marks * 3, "guided {guided_marks}, unguided {unguided_marks}");
}

#[test]
fn the_same_seed_plays_the_same() {
    let twice = each(|target| {
        let bounds = Bounds { inputs: 300.min(short(target).inputs), ..short(target) };
        let [one, two] = [4, 4].map(|seed| play(target, How::Guided, seed, bounds, &[], meter));
        (target.name(), one.kept == two.kept, one.marks == two.marks)
    });
    for (name, kept, marks) in twice {
        assert!(kept && marks, "{name}");
    }
}

/// Work by the length of the input, counted by what is allocated: four times the input is at most five times that,
/// beside a fixed part.
#[test]
fn no_reader_works_more_than_in_proportion_to_its_input() {
    const FIXED: u64 = 64 << 10;
    let spent = each(|target| {
        let input = target.seeds().into_iter().max_by_key(Vec::len).unwrap_or_default();
        let grown = |times: usize| match target.shape() {
            // Entries of a list, lines, or numbers: what there is, so many times.
            Shape::Json => {
                let text = String::from_utf8_lossy(&input).into_owned();
                let list = format!("{{\"More\":[{}],", vec![text.as_str(); times].join(","));
                text.replacen('{', &list, 1).into_bytes()
            }
            Shape::Toml => {
                let line = |number: usize| format!("k{number} = [1, \"x\"]\n");
                [(0..times * 10).map(line).collect::<String>().as_bytes(), &input].concat()
            }
            Shape::Packed | Shape::Frames(_) => input.repeat(times),
        };
        let inputs = [32, 128].map(grown);
        let spent = inputs.map(|input| played(target, &input, meter).map(|(_, spent)| spent));
        (target.name(), spent)
    });
    for (name, spent) in spent {
        let [one, four] = spent.map(|spent| spent.unwrap_or_else(|broken| panic!("{broken}")));
        assert!(four <= one * 5 + FIXED, "{name}: {one} bytes, then {four}");
    }
}

/// Play would be worth little where all is refused, or all taken.
#[test]
fn both_happen_to_configurations_that_are_changed_by_shape() {
    let mut chance = oorandom::Rand64::new(5);
    let (mut taken, mut refused) = (0, 0);
    for _ in 0..4_000 {
        let text = shapes::changed(Shape::Json, &mut chance, targets::BILL.as_bytes(), b"", 1 << 14);
        match configuration::Configuration::parse(&text) {
            Ok(_) => taken += 1,
            Err(_) => refused += 1,
        }
    }
    assert!(taken > 50 && refused > 1_000, "both happen: {taken} and {refused}");
}
