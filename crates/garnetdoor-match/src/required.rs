//! Conditions that a request must meet for an expression to hold, as far as they can be derived from the expression. With
//! them a large set of rules is narrowed before any expression is evaluated.

use std::collections::BTreeSet;

use crate::check::{Expr, Input, Program};
use crate::syntax::Comparison;

impl Program {
    /// The first path segments for which the expression can hold; `None` if they can't be derived.
    pub fn required_first_segments(&self) -> Option<BTreeSet<String>> {
        required_texts(&self.expr, &required_segments)
    }

    /// The methods for which the expression can hold; `None` if they can't be derived.
    pub fn required_methods(&self) -> Option<BTreeSet<String>> {
        required_texts(&self.expr, &required_methods)
    }

    /// Whether the expression is the literal `true`, so that it holds for every request.
    pub fn is_always_true(&self) -> bool {
        matches!(self.expr, Expr::Bool(true))
    }
}

/// The texts that `of_part` requires, through `and` (any part's texts) and `or` (the texts of all parts together).
fn required_texts(
    expr: &Expr, of_part: &dyn Fn(&Expr) -> Option<BTreeSet<String>>,
) -> Option<BTreeSet<String>> {
    match expr {
        Expr::And(parts) => parts.iter().find_map(|part| required_texts(part, of_part)),
        Expr::Or(parts) => {
            let texts = parts.iter().map(|part| required_texts(part, of_part)).collect::<Option<Vec<_>>>()?;
            Some(texts.into_iter().flatten().collect())
        }
        _ => of_part(expr),
    }
}

/// The texts that an equality, in either order, or a membership in a set allows for an input. `as_input` says whether an
/// expression is that input: `Some(default)`, with the default that takes the place of an absent input, if it has one.
fn allowed_texts(
    expr: &Expr, as_input: impl Fn(&Expr) -> Option<Option<String>>,
) -> Option<BTreeSet<String>> {
    let (default, texts) = match expr {
        Expr::Compare(Comparison::Equal, left, right) => match (left.as_ref(), right.as_ref()) {
            (input, Expr::Text(text)) | (Expr::Text(text), input) => {
                (as_input(input)?, BTreeSet::from([text.clone()]))
            }
            _ => return None,
        },
        Expr::InTexts(input, set, _) => (as_input(input)?, set.clone()),
        _ => return None,
    };
    // If the default is among them, heads without the input match too.
    default.is_none_or(|default| !texts.contains(&default)).then_some(texts)
}

fn first_segment(path: &str) -> Option<String> {
    path.strip_prefix('/').and_then(|path| path.split('/').next()).map(str::to_owned)
}

fn required_segments(expr: &Expr) -> Option<BTreeSet<String>> {
    let as_first_segment = |expr: &Expr| match expr {
        Expr::Coalesce(parts) => match parts.as_slice() {
            [Expr::Input(Input::Segment(0)), Expr::Text(default)] => Some(Some(default.clone())),
            _ => None,
        },
        _ => None,
    };
    let as_path = |expr: &Expr| matches!(expr, Expr::Input(Input::Path)).then_some(None);
    match expr {
        Expr::StartsWith(path, prefix) => match (path.as_ref(), prefix.as_ref()) {
            (Expr::Input(Input::Path), Expr::Text(prefix)) => {
                // The prefix determines the whole segment only if it contains the slash behind it.
                let is_whole = prefix.strip_prefix('/')?.contains('/');
                is_whole.then(|| first_segment(prefix)).flatten().map(|segment| BTreeSet::from([segment]))
            }
            _ => None,
        },
        _ => allowed_texts(expr, as_first_segment).or_else(|| {
            let paths = allowed_texts(expr, as_path)?;
            paths.iter().map(|path| first_segment(path)).collect()
        }),
    }
}

fn required_methods(expr: &Expr) -> Option<BTreeSet<String>> {
    allowed_texts(expr, |expr| matches!(expr, Expr::Input(Input::Method)).then_some(None))
}
