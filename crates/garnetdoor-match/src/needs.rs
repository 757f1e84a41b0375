//! What an expression needs to hold, as far as it shows: by it a large set of rules is narrowed before any is worked out.

use std::collections::BTreeSet;

use crate::check::{Code, Input, Program};
use crate::syntax::Comparison;

impl Program {
    /// First segments of the path of which one is needed; `None` where that does not show.
    pub fn first_segments(&self) -> Option<BTreeSet<String>> {
        needs(&self.code, &segment)
    }

    /// Methods of which one is needed; `None` where that does not show.
    pub fn methods(&self) -> Option<BTreeSet<String>> {
        needs(&self.code, &method)
    }

    /// Whether it holds for every head.
    pub fn always(&self) -> bool {
        matches!(self.code, Code::Truth(true))
    }
}

/// What one of the parts that must hold needs, or all of those of which one must.
fn needs(code: &Code, of: &dyn Fn(&Code) -> Option<BTreeSet<String>>) -> Option<BTreeSet<String>> {
    match code {
        Code::And(codes) => codes.iter().find_map(|code| needs(code, of)),
        Code::Or(codes) => {
            let all = codes.iter().map(|code| needs(code, of)).collect::<Option<Vec<_>>>()?;
            Some(all.into_iter().flatten().collect())
        }
        _ => of(code),
    }
}

/// The texts that an equality or a set allows for an input, in either order of an equality.
fn allowed(code: &Code, is: impl Fn(&Code) -> Option<Option<String>>) -> Option<BTreeSet<String>> {
    let (instead, texts) = match code {
        Code::Compare(Comparison::Equal, a, b) => match (a.as_ref(), b.as_ref()) {
            (input, Code::Text(text)) | (Code::Text(text), input) => {
                (is(input)?, BTreeSet::from([text.clone()]))
            }
            _ => return None,
        },
        Code::InTexts(input, set, _) => (is(input)?, set.clone()),
        _ => return None,
    };
    // Where absence counts as one of them, heads without it match too.
    instead.is_none_or(|instead| !texts.contains(&instead)).then_some(texts)
}

fn segment(code: &Code) -> Option<BTreeSet<String>> {
    let first =
        |path: &str| path.strip_prefix('/').and_then(|path| path.split('/').next()).map(str::to_owned);
    let is_segment = |code: &Code| match code {
        Code::Default(parts) => match parts.as_slice() {
            [Code::Input(Input::Segment(0)), Code::Text(instead)] => Some(Some(instead.clone())),
            _ => None,
        },
        _ => None,
    };
    let is_path = |code: &Code| matches!(code, Code::Input(Input::Path)).then_some(None);
    match code {
        // Only a segment that has its end is known whole.
        Code::StartsWith(path, start) => match (path.as_ref(), start.as_ref()) {
            (Code::Input(Input::Path), Code::Text(start)) => {
                let whole = start.strip_prefix('/')?.contains('/');
                whole.then(|| first(start)).flatten().map(|segment| BTreeSet::from([segment]))
            }
            _ => None,
        },
        _ => allowed(code, is_segment).or_else(|| {
            let paths = allowed(code, is_path)?;
            paths.iter().map(|path| first(path)).collect()
        }),
    }
}

fn method(code: &Code) -> Option<BTreeSet<String>> {
    allowed(code, |code| matches!(code, Code::Input(Input::Method)).then_some(None))
}
