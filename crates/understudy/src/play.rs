//! Play (of many inputs at one target): what shows something new is kept and changed further.

use std::panic::{AssertUnwindSafe, catch_unwind};

use oorandom::Rand64;

use crate::shapes::{Shape, changed, spoilt};
use crate::signature::{Seen, Signature};

/// One reader, with the contract that `run` asserts.
pub trait Target {
    fn name(&self) -> &'static str;
    fn shape(&self) -> Shape;
    /// Sound inputs to begin with.
    fn seeds(&self) -> Vec<Vec<u8>>;
    /// Bytes that may be allocated in all while an input is read and checked: so many, and so many more for
    /// each byte of the input.
    fn cost(&self) -> Cost;
    /// Reads one input; panics where the reader breaks its contract. Equal inputs have equal signatures.
    fn run(&mut self, input: &[u8]) -> Signature;
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cost {
    pub fixed: u64,
    pub each: u64,
}

impl Cost {
    pub fn of(self, length: usize) -> u64 {
        self.fixed.saturating_add(self.each.saturating_mul(length as u64))
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum How {
    /// Changes by shape to what has shown something new.
    Guided,
    /// Changes by chance to the sound inputs alone.
    Unguided,
}

/// Bounds of one play.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    pub inputs: usize,
    /// Of one input.
    pub bytes: usize,
    /// Inputs that are kept; beyond them new ones take the places of others by chance.
    pub corpus: usize,
}

/// An input that broke its reader's contract.
#[derive(Clone, Debug, thiserror::Error)]
#[error("{target}, {} bytes: {why}; {}", .input.len(), .input.escape_ascii())]
pub struct Broken {
    pub target: &'static str,
    pub input: Vec<u8>,
    pub why: String,
}

/// What came of a play.
#[derive(Clone, Debug, Default)]
pub struct Tale {
    pub played: usize,
    /// Marks seen in all.
    pub marks: usize,
    /// What has shown something new, sound inputs included.
    pub kept: Vec<Vec<u8>>,
    /// The most bytes that one input had allocated, and its length.
    pub costliest: (u64, usize),
    /// Up to `BROKEN_MOST`, with different reasons.
    pub broken: Vec<Broken>,
}

const BROKEN_MOST: usize = 8;

/// Counts the bytes allocated by this thread since any moment; 0 where nobody counts.
pub type Meter = fn() -> u64;

/// Plays one input: its signature with what it had allocated, in bytes.
pub fn played(target: &mut dyn Target, input: &[u8], meter: Meter) -> Result<(Signature, u64), Broken> {
    let broken =
        |target: &dyn Target, why: String| Broken { target: target.name(), input: input.into(), why };
    let before = meter();
    let done = catch_unwind(AssertUnwindSafe(|| target.run(input)));
    let spent = meter() - before;
    let mut signature = match done {
        Ok(signature) => signature,
        Err(panic) => {
            let text = panic.downcast_ref::<String>().map(String::as_str);
            let text = text.or_else(|| panic.downcast_ref::<&str>().copied()).unwrap_or("a panic");
            return Err(broken(target, text.to_owned()));
        }
    };
    let most = target.cost().of(input.len());
    if spent > most {
        return Err(broken(target, format!("it had {spent} bytes allocated, of {most} at most")));
    }
    // By powers of sixteen: finer ones tell more of the input's length than of its way through the reader.
    signature.mark("allocated", u64::from(spent.checked_ilog2().unwrap_or(0) / 4));
    Ok((signature, spent))
}

/// Plays inputs at a target. The same seed plays the same. `more` are inputs to begin with beside the target's
/// own.
pub fn play(
    target: &mut dyn Target, how: How, seed: u64, bounds: Bounds, more: &[Vec<u8>], meter: Meter,
) -> Tale {
    let mut chance = Rand64::new(u128::from(seed));
    let (mut seen, mut tale) = (Seen::default(), Tale::default());
    let shape = target.shape();
    let mut begin = target.seeds();
    begin.extend(more.iter().cloned());
    let sound = begin.len().max(1);
    for number in 0..bounds.inputs {
        let input = match (begin.get(number), how) {
            (Some(input), _) => input.clone(),
            (None, How::Unguided) => {
                let from = chance.rand_range(0..sound as u64) as usize;
                spoilt(&mut chance, begin.get(from).map_or(&[], Vec::as_slice))
            }
            (None, How::Guided) => {
                // A third among the sound ones, which come first, a third among the newest: what lies behind those
                // is least known, yet many of them end at an error.
                let count = tale.kept.len() as u64;
                let (from, until) = match chance.rand_range(0..3) {
                    0 => (0, count.min(sound as u64)),
                    1 => (count - count.min(16), count),
                    _ => (0, count),
                };
                let pick = |from: u64, until: u64, chance: &mut Rand64| match count {
                    0 => Vec::new(),
                    _ => tale.kept[chance.rand_range(from..until) as usize].clone(),
                };
                let (one, other) = (pick(from, until, &mut chance), pick(0, count, &mut chance));
                changed(shape, &mut chance, &one, &other, bounds.bytes)
            }
        };
        tale.played += 1;
        match played(target, &input, meter) {
            Ok((signature, spent)) => {
                tale.costliest = tale.costliest.max((spent, input.len()));
                let new = seen.note(&signature);
                // The sound ones stay, like or not.
                if new == 0 && number >= sound {
                    continue;
                }
                if tale.kept.len() < bounds.corpus {
                    tale.kept.push(input);
                } else {
                    let at = chance.rand_range(0..bounds.corpus.max(1) as u64) as usize;
                    if let Some(kept) = tale.kept.get_mut(at) {
                        *kept = input;
                    }
                }
            }
            Err(broken) => {
                let known = tale.broken.iter().any(|other| other.why == broken.why);
                if !known && tale.broken.len() < BROKEN_MOST {
                    tale.broken.push(broken);
                }
            }
        }
    }
    tale.marks = seen.count();
    tale
}

/// A shorter input for which `holds` still holds: stretches are left out as long as that goes, each half as long as
/// the one before; at most `tries` looks.
pub fn shortened(input: &[u8], mut tries: usize, mut holds: impl FnMut(&[u8]) -> bool) -> Vec<u8> {
    let mut best = input.to_vec();
    let mut step = best.len() / 2;
    while step > 0 && tries > 0 {
        let mut at = 0;
        while at < best.len() && tries > 0 {
            let mut without = best.clone();
            without.drain(at..(at + step).min(best.len()));
            tries -= 1;
            if holds(&without) {
                best = without;
            } else {
                at += step;
            }
        }
        step /= 2;
    }
    best
}
