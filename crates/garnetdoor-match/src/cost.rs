//! The cost of expressions, in units: a unit is one evaluation step, or 16 bytes of text that are scanned.
//!
//! The same formulas give the maximum cost, from the largest inputs allowed, and the cost of an evaluation, from the
//! actual lengths. Each formula grows with the lengths, so the maximum cost is never exceeded.

use std::ops::Range;

use crate::check::{Expr, Input, check_alone};
use crate::head::HeadLimits;
use crate::syntax::{Node, NodeKind};

/// Bytes of text that are scanned for one unit.
const SCAN_BYTES_PER_UNIT: u64 = 16;
/// Bytes of text that are matched for one unit against a pattern of weight 1.
const MATCH_BYTES_PER_UNIT: u64 = 4;

/// The cost of scanning this many bytes.
pub(crate) fn scan_cost(bytes: usize) -> u64 {
    1 + bytes as u64 / SCAN_BYTES_PER_UNIT
}

/// The cost of matching a pattern of this weight against this many bytes.
pub(crate) fn pattern_cost(bytes: usize, weight: usize) -> u64 {
    1 + bytes as u64 * weight as u64 / MATCH_BYTES_PER_UNIT
}

/// The cost of a lookup in a sorted set of this many entries: its number of comparisons.
pub(crate) fn lookup_steps(entries: usize) -> u64 {
    (usize::BITS - entries.leading_zeros()) as u64
}

/// The cost of finding an input in a head with this many header lines, and this many bytes of target and of cookies.
/// Headers and cookies are searched from the start.
pub(crate) fn input_cost(
    input: &Input, header_lines: usize, target_bytes: usize, cookie_bytes: usize,
) -> u64 {
    match input {
        Input::Method | Input::Client | Input::BodyLength | Input::Upgrade => 1,
        Input::Path | Input::Segment(_) | Input::Query(_) => scan_cost(target_bytes),
        Input::Header(_) | Input::Headers(_) => 1 + header_lines as u64,
        Input::Cookie(_) => 1 + header_lines as u64 + scan_cost(cookie_bytes),
    }
}

/// The worst case of an expression.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MaxCost {
    pub units: u64,
    /// Bytes of the text that it may yield, or of all texts in its list.
    pub text_bytes: usize,
}

/// The worst case of an expression for heads within the limits.
pub fn max_cost(expr: &Expr, limits: &HeadLimits) -> MaxCost {
    let of = |expr: &Expr| max_cost(expr, limits);
    let sum = |exprs: &[Expr]| exprs.iter().fold(0, |sum, expr| sum + of(expr).units);
    let step_and = |units| MaxCost { units: 1 + units, text_bytes: 0 };
    match expr {
        Expr::Bool(_) | Expr::Number(_) => MaxCost { units: 1, text_bytes: 0 },
        Expr::Text(text) => MaxCost { units: 1, text_bytes: text.len() },
        Expr::Input(input) => {
            let is_text = !matches!(input, Input::Client | Input::BodyLength | Input::Upgrade);
            MaxCost {
                units: input_cost(input, limits.header_lines, limits.head_bytes, limits.head_bytes),
                text_bytes: if is_text { limits.head_bytes } else { 0 },
            }
        }
        Expr::Or(parts) | Expr::And(parts) => step_and(sum(parts)),
        Expr::Coalesce(parts) => {
            let text_bytes = parts.iter().map(|part| of(part).text_bytes).max().unwrap_or(0);
            MaxCost { units: 1 + sum(parts), text_bytes }
        }
        Expr::Not(operand) | Expr::Present(operand) => step_and(of(operand).units),
        Expr::Compare(_, a, b) => {
            step_and(of(a).units + of(b).units + scan_cost(of(a).text_bytes.min(of(b).text_bytes)))
        }
        Expr::InTexts(text, set, longest) => {
            // Each comparison of the lookup scans as far as the two texts agree.
            step_and(of(text).units + lookup_steps(set.len()) * scan_cost(*longest))
        }
        Expr::InNumbers(number, set) => step_and(of(number).units + lookup_steps(set.len())),
        Expr::InNetworks(address, networks) => step_and(of(address).units + networks.len() as u64),
        Expr::InList(text, list) => {
            let lines = limits.header_lines as u64;
            step_and(of(text).units + of(list).units + lines + scan_cost(of(list).text_bytes))
        }
        Expr::Sum(terms) => step_and(terms.iter().map(|(_, term)| of(term).units).sum()),
        Expr::Join(parts) => {
            let text_bytes = parts.iter().map(|part| of(part).text_bytes).sum();
            MaxCost { units: 1 + sum(parts) + scan_cost(text_bytes), text_bytes }
        }
        Expr::StartsWith(a, b) | Expr::EndsWith(a, b) => {
            step_and(of(a).units + of(b).units + scan_cost(of(a).text_bytes.min(of(b).text_bytes)))
        }
        // The standard library's two-way search looks at each byte a bounded number of times.
        Expr::Contains(a, b) => {
            step_and(of(a).units + of(b).units + scan_cost(of(a).text_bytes) + scan_cost(of(b).text_bytes))
        }
        Expr::Matches(text, _, weight) => {
            step_and(of(text).units + pattern_cost(of(text).text_bytes, *weight))
        }
        Expr::Lower(text) => {
            let text = of(text);
            // Some characters take half as many bytes again in lower case.
            MaxCost {
                units: 1 + text.units + scan_cost(text.text_bytes),
                text_bytes: text.text_bytes * 3 / 2,
            }
        }
        Expr::Hash(text) | Expr::ToNumber(text) => step_and(of(text).units + scan_cost(of(text).text_bytes)),
        Expr::Length(text) => step_and(of(text).units),
        Expr::Count(list) => step_and(of(list).units),
        Expr::Split(text, _) => {
            let text = of(text);
            MaxCost { units: 1 + text.units + text.text_bytes as u64, text_bytes: text.text_bytes }
        }
        Expr::Item(list, _) => MaxCost { units: 1 + of(list).units, text_bytes: of(list).text_bytes },
    }
}

/// The place and the maximum cost of the innermost part of an expression that accounts for more than half of the cost of
/// each part around it.
pub(crate) fn most_expensive_part(node: &Node, limits: &HeadLimits) -> (Range<usize>, u64) {
    let parts: Vec<&Node> = match &node.kind {
        NodeKind::Or(parts) | NodeKind::And(parts) | NodeKind::Coalesce(parts) | NodeKind::Call(_, parts) => {
            parts.iter().collect()
        }
        NodeKind::Not(part) => vec![part],
        NodeKind::Compare(_, a, b) => vec![a, b],
        NodeKind::Sum(terms) => terms.iter().map(|(_, term)| term).collect(),
        NodeKind::List(_) | NodeKind::Name(_) | NodeKind::Literal(_) => Vec::new(),
    };
    let own = check_alone(node).map_or(0, |expr| max_cost(&expr, limits).units);
    let inner = parts.iter().map(|part| most_expensive_part(part, limits)).max_by_key(|(_, units)| *units);
    inner.filter(|(_, units)| units * 2 > own).unwrap_or((node.span.clone(), own))
}
