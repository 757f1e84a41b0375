//! Cost in units: a unit is a step of the evaluator, or 16 bytes of text looked at. The same formulas serve for the worst
//! case, with the bounds of the inputs, and for what an evaluation spends, with the lengths that are there; each grows
//! with the lengths, so that the worst case holds.

use std::ops::Range;

use crate::check::{Code, Input, alone};
use crate::head::Bounds;
use crate::syntax::{Node, Part};

/// What looking at so many bytes costs.
pub(crate) fn scan(bytes: usize) -> u64 {
    1 + bytes as u64 / 16
}

/// What a pattern costs over so many bytes.
pub(crate) fn pattern(bytes: usize, weight: usize) -> u64 {
    1 + bytes as u64 * weight as u64 / 4
}

/// What finding an input costs: headers and cookies are looked through.
pub(crate) fn input(input: &Input, headers: usize, target: usize, all: usize) -> u64 {
    match input {
        Input::Method | Input::Client | Input::BodyLength | Input::Upgrade => 1,
        Input::Path | Input::Segment(_) | Input::Query(_) => scan(target),
        Input::Header(_) | Input::Headers(_) => 1 + headers as u64,
        Input::Cookie(_) => 1 + headers as u64 + scan(all),
    }
}

/// The worst case of a part.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Worst {
    pub units: u64,
    /// Bytes of the text that it may yield, or of all texts in its list.
    pub bytes: usize,
}

/// The worst case for heads within the bounds.
pub fn worst(code: &Code, bounds: &Bounds) -> Worst {
    let of = |code: &Code| worst(code, bounds);
    let all = |codes: &[Code]| codes.iter().fold(0, |sum, code| sum + of(code).units);
    let units = |units| Worst { units: 1 + units, bytes: 0 };
    match code {
        Code::Truth(_) | Code::Number(_) => Worst { units: 1, bytes: 0 },
        Code::Text(text) => Worst { units: 1, bytes: text.len() },
        Code::Input(what) => {
            let text = !matches!(what, Input::Client | Input::BodyLength | Input::Upgrade);
            Worst {
                units: input(what, bounds.headers, bounds.head, bounds.head),
                bytes: if text { bounds.head } else { 0 },
            }
        }
        Code::Or(codes) | Code::And(codes) => units(all(codes)),
        Code::Default(codes) => {
            let bytes = codes.iter().map(|code| of(code).bytes).max().unwrap_or(0);
            Worst { units: 1 + all(codes), bytes }
        }
        Code::Not(code) | Code::Present(code) => units(of(code).units),
        Code::Compare(_, a, b) => units(of(a).units + of(b).units + scan(of(a).bytes.min(of(b).bytes))),
        Code::InTexts(code, set, longest) => {
            // A tree's depth of comparisons, each as far as the two agree.
            units(of(code).units + (usize::BITS - set.len().leading_zeros()) as u64 * scan(*longest))
        }
        Code::InNumbers(code, set) => {
            units(of(code).units + (usize::BITS - set.len().leading_zeros()) as u64)
        }
        Code::InNets(code, nets) => units(of(code).units + nets.len() as u64),
        Code::InList(code, list) => {
            units(of(code).units + of(list).units + bounds.headers as u64 + scan(of(list).bytes))
        }
        Code::Sum(terms) => units(terms.iter().map(|(_, code)| of(code).units).sum()),
        Code::Join(codes) => {
            let bytes = codes.iter().map(|code| of(code).bytes).sum();
            Worst { units: 1 + all(codes) + scan(bytes), bytes }
        }
        Code::StartsWith(a, b) | Code::EndsWith(a, b) => {
            units(of(a).units + of(b).units + scan(of(a).bytes.min(of(b).bytes)))
        }
        // Two-way search looks at each byte a bounded number of times.
        Code::Contains(a, b) => units(of(a).units + of(b).units + scan(of(a).bytes) + scan(of(b).bytes)),
        Code::Matches(code, _, weight) => units(of(code).units + pattern(of(code).bytes, *weight)),
        Code::Lower(code) => {
            let inner = of(code);
            // Some characters grow by half in lower case.
            Worst { units: 1 + inner.units + scan(inner.bytes), bytes: inner.bytes * 3 / 2 }
        }
        Code::Hash(code) | Code::ToNumber(code) => units(of(code).units + scan(of(code).bytes)),
        Code::Length(code) => units(of(code).units),
        Code::Count(list) => units(of(list).units),
        Code::Split(code, _) => {
            let inner = of(code);
            Worst { units: 1 + inner.units + inner.bytes as u64, bytes: inner.bytes }
        }
        Code::Item(list, _) => Worst { units: 1 + of(list).units, bytes: of(list).bytes },
    }
}

/// The part that costs most of all that have no costlier part in them, and what it costs by itself.
pub(crate) fn dearest(node: &Node, bounds: &Bounds) -> (Range<usize>, u64) {
    let parts: Vec<&Node> = match &node.part {
        Part::Or(parts) | Part::And(parts) | Part::Default(parts) | Part::Call(_, parts) => {
            parts.iter().collect()
        }
        Part::Not(part) => vec![part],
        Part::Compare(_, a, b) => vec![a, b],
        Part::Sum(terms) => terms.iter().map(|(_, term)| term).collect(),
        Part::List(_) | Part::Name(_) | Part::Literal(_) => Vec::new(),
    };
    let own = alone(node).map_or(0, |code| worst(&code, bounds).units);
    let inner = parts.iter().map(|part| dearest(part, bounds)).max_by_key(|(_, units)| *units);
    // Down to where most of the cost arises.
    inner.filter(|(_, units)| units * 2 > own).unwrap_or((node.at.clone(), own))
}
