//! Types: what each part of an expression is, found once, so that nothing is left to fail when a ticket comes.

use std::collections::BTreeSet;
use std::fmt;
use std::net::IpAddr;

use ipnet::IpNet;
use regex::{Regex, RegexBuilder};

use crate::cost;
use crate::head::Bounds;
use crate::syntax::{self, Comparison, Fault, Literal, Node, Part};

/// A compiled pattern takes so many bytes at most.
const PATTERN_MOST: usize = 256 * 1024;

/// What a value is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Type {
    Truth,
    Number,
    /// Whole microseconds.
    Duration,
    Text,
    /// Texts, as the values of a header.
    List,
    Address,
}

impl fmt::Display for Type {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        to.write_str(match self {
            Type::Truth => "true or false",
            Type::Number => "a number",
            Type::Duration => "a duration",
            Type::Text => "text",
            Type::List => "a list of texts",
            Type::Address => "an address",
        })
    }
}

/// A type, and whether the value may be absent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Kind {
    pub of: Type,
    pub maybe: bool,
}

impl fmt::Display for Kind {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        write!(to, "{}{}", self.of, if self.maybe { " that may be absent" } else { "" })
    }
}

/// What is read from the head.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    Method,
    Path,
    Client,
    BodyLength,
    Upgrade,
    Segment(usize),
    Query(String),
    Cookie(String),
    Header(String),
    Headers(String),
}

/// A checked part.
#[derive(Clone, Debug)]
pub enum Code {
    Truth(bool),
    Number(i64),
    Text(String),
    Input(Input),
    Or(Vec<Code>),
    And(Vec<Code>),
    Not(Box<Code>),
    /// Numbers, durations, texts, truths or addresses of one type.
    Compare(Comparison, Box<Code>, Box<Code>),
    /// With the length of the longest.
    InTexts(Box<Code>, BTreeSet<String>, usize),
    InNumbers(Box<Code>, BTreeSet<i64>),
    InNets(Box<Code>, Vec<IpNet>),
    InList(Box<Code>, Box<Code>),
    Default(Vec<Code>),
    Sum(Vec<(bool, Code)>),
    Join(Vec<Code>),
    StartsWith(Box<Code>, Box<Code>),
    EndsWith(Box<Code>, Box<Code>),
    Contains(Box<Code>, Box<Code>),
    Matches(Box<Code>, Regex, usize),
    Lower(Box<Code>),
    Hash(Box<Code>),
    Length(Box<Code>),
    Count(Box<Code>),
    Split(Box<Code>, String),
    Item(Box<Code>, usize),
    ToNumber(Box<Code>),
    Present(Box<Code>),
}

/// An expression that can't fail.
#[derive(Clone, Debug)]
pub struct Program {
    pub(crate) code: Code,
    pub kind: Kind,
    /// Units that it costs at the worst, for heads within its bounds.
    pub worst: u64,
}

/// Names without arguments.
const NAMES: [(&str, Input, Type); 5] = [
    ("method", Input::Method, Type::Text),
    ("path", Input::Path, Type::Text),
    ("client", Input::Client, Type::Address),
    ("body_length", Input::BodyLength, Type::Number),
    ("upgrade", Input::Upgrade, Type::Truth),
];

const FUNCTIONS: [&str; 17] = [
    "segment",
    "query",
    "cookie",
    "header",
    "headers",
    "starts_with",
    "ends_with",
    "contains",
    "matches",
    "lower",
    "hash",
    "length",
    "count",
    "split",
    "item",
    "number",
    "present",
];

impl Program {
    /// Reads an expression that is to be of a type; reports all faults that can be told apart. `budget` is what it may
    /// cost at the worst.
    pub fn read(text: &str, wanted: Type, bounds: &Bounds, budget: u64) -> Result<Program, Vec<Fault>> {
        let tree = syntax::parse(text).map_err(|fault| vec![fault])?;
        let mut checker = Checker { faults: Vec::new() };
        let found = checker.check(&tree);
        if let Some((_, kind)) = &found
            && *kind != (Kind { of: wanted, maybe: false })
        {
            checker.wrong(&tree, kind.to_string(), wanted.to_string());
        }
        let Some((code, kind)) = found.filter(|_| checker.faults.is_empty()) else {
            return Err(checker.faults);
        };
        let worst = cost::worst(&code, bounds).units;
        if worst > budget {
            let dearest = cost::dearest(&tree, bounds);
            let found = format!("{worst} units at the worst, {} of them here", dearest.1);
            return Err(vec![Fault {
                at: dearest.0,
                found,
                expected: format!("{budget} units at most in all"),
            }]);
        }
        Ok(Program { code, kind, worst })
    }
}

/// The name that is most like an unknown one, if any is near.
fn near<'a>(name: &str, known: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    let best = known.map(|other| (strsim::damerau_levenshtein(name, other), other)).min();
    best.filter(|(distance, _)| *distance <= 2).map(|(_, other)| other)
}

struct Checker {
    faults: Vec<Fault>,
}

type Checked = Option<(Code, Kind)>;

fn sure(code: Code, of: Type) -> Checked {
    Some((code, Kind { of, maybe: false }))
}

/// Checks a part by itself, for what its cost is.
pub(crate) fn alone(node: &Node) -> Option<Code> {
    Checker { faults: Vec::new() }.check(node).map(|(code, _)| code)
}

impl Checker {
    fn wrong(&mut self, node: &Node, found: String, expected: String) {
        self.faults.push(Fault { at: node.at.clone(), found, expected });
    }

    /// A part that must be of a type and there for sure.
    fn must(&mut self, node: &Node, of: Type) -> Option<Code> {
        let (code, kind) = self.check(node)?;
        if kind == (Kind { of, maybe: false }) {
            return Some(code);
        }
        let hint = if kind.of == of {
            format!("{of} for sure: say what holds in its absence, by ??")
        } else {
            of.to_string()
        };
        self.wrong(node, kind.to_string(), hint);
        None
    }

    fn all(&mut self, nodes: &[Node], of: Type) -> Option<Vec<Code>> {
        // Each is checked, also behind one that is wrong.
        let codes: Vec<_> = nodes.iter().map(|node| self.must(node, of)).collect();
        codes.into_iter().collect()
    }

    fn check(&mut self, node: &Node) -> Checked {
        match &node.part {
            Part::Literal(Literal::Truth(truth)) => sure(Code::Truth(*truth), Type::Truth),
            Part::Literal(Literal::Number(number)) => sure(Code::Number(*number), Type::Number),
            Part::Literal(Literal::Duration(micros)) => sure(Code::Number(*micros), Type::Duration),
            Part::Literal(Literal::Text(text)) => sure(Code::Text(text.clone()), Type::Text),
            Part::Or(parts) => sure(Code::Or(self.all(parts, Type::Truth)?), Type::Truth),
            Part::And(parts) => sure(Code::And(self.all(parts, Type::Truth)?), Type::Truth),
            Part::Not(part) => sure(Code::Not(Box::new(self.must(part, Type::Truth)?)), Type::Truth),
            Part::Compare(Comparison::In, left, right) => self.check_in(left, right),
            Part::Compare(how, left, right) => self.check_compare(*how, left, right),
            Part::Default(parts) => self.check_default(parts),
            Part::Sum(terms) => self.check_sum(terms),
            Part::Name(name) => self.check_name(node, name),
            Part::Call(name, arguments) => self.check_call(node, name, arguments),
            Part::List(_) => {
                self.wrong(node, "a list".to_owned(), "it on the right of in alone".to_owned());
                None
            }
        }
    }

    fn check_name(&mut self, node: &Node, name: &str) -> Checked {
        if let Some((_, input, of)) = NAMES.iter().find(|(known, ..)| *known == name) {
            return sure(Code::Input(input.clone()), *of);
        }
        let known = NAMES.iter().map(|(known, ..)| *known);
        let expected = match near(name, known.chain(FUNCTIONS)) {
            Some(near) => format!("a known name, perhaps {near}"),
            None => format!("one of {}", NAMES.map(|(known, ..)| known).join(", ")),
        };
        self.wrong(node, format!("the unknown name {name}"), expected);
        None
    }

    fn check_compare(&mut self, how: Comparison, left: &Node, right: &Node) -> Checked {
        let (a, b) = (self.check(left), self.check(right));
        let ((a, of), (b, other)) = (a?, b?);
        let ordered = matches!(of.of, Type::Number | Type::Duration);
        let equal = matches!(how, Comparison::Equal | Comparison::NotEqual);
        if of.maybe || other.maybe {
            let node = if of.maybe { left } else { right };
            let kind = if of.maybe { of } else { other };
            self.wrong(
                node,
                kind.to_string(),
                format!("{} for sure: say what holds in its absence, by ??", kind.of),
            );
            None
        } else if of != other {
            self.wrong(right, other.to_string(), of.to_string());
            None
        } else if of.of == Type::List || !(ordered || equal) {
            self.wrong(left, of.to_string(), "numbers or durations".to_owned());
            None
        } else {
            sure(Code::Compare(how, Box::new(a), Box::new(b)), Type::Truth)
        }
    }

    fn check_in(&mut self, left: &Node, right: &Node) -> Checked {
        let (code, kind) = self.check(left)?;
        if kind.maybe {
            self.wrong(
                left,
                kind.to_string(),
                format!("{} for sure: say what holds in its absence, by ??", kind.of),
            );
            return None;
        }
        let code = Box::new(code);
        let Part::List(items) = &right.part else {
            let list = self.must(right, Type::List)?;
            if kind.of != Type::Text {
                self.wrong(left, kind.to_string(), Type::Text.to_string());
                return None;
            }
            return sure(Code::InList(code, Box::new(list)), Type::Truth);
        };
        match kind.of {
            Type::Text => {
                let texts = self.literals(items, "text", |l| {
                    if let Literal::Text(t) = l { Some(t.clone()) } else { None }
                });
                let texts = texts?;
                let longest = texts.iter().map(String::len).max().unwrap_or(0);
                sure(Code::InTexts(code, texts.into_iter().collect(), longest), Type::Truth)
            }
            Type::Number => {
                let numbers = self.literals(items, "a number", |l| {
                    if let Literal::Number(n) = l { Some(*n) } else { None }
                });
                sure(Code::InNumbers(code, numbers?.into_iter().collect()), Type::Truth)
            }
            Type::Address => {
                let net = |l: &Literal| match l {
                    Literal::Text(text) => {
                        text.parse().ok().or_else(|| text.parse::<IpAddr>().ok().map(IpNet::from))
                    }
                    _ => None,
                };
                let nets = self.literals(items, "a network such as \"10.0.0.0/8\"", net);
                sure(Code::InNets(code, nets?), Type::Truth)
            }
            _ => {
                self.wrong(left, kind.to_string(), "text, a number or an address".to_owned());
                None
            }
        }
    }

    fn literals<T>(
        &mut self, items: &[Node], expected: &str, read: impl Fn(&Literal) -> Option<T>,
    ) -> Option<Vec<T>> {
        let mut values = Vec::new();
        for item in items {
            match &item.part {
                Part::Literal(literal) => match read(literal) {
                    Some(value) => values.push(value),
                    None => self.wrong(item, item.to_string(), expected.to_owned()),
                },
                _ => self.wrong(item, item.to_string(), expected.to_owned()),
            }
        }
        (values.len() == items.len()).then_some(values)
    }

    /// All but the last may be absent, and one that may not makes those behind it unreachable.
    fn check_default(&mut self, parts: &[Node]) -> Checked {
        let checked: Vec<_> = parts.iter().map(|part| self.check(part)).collect();
        let checked: Vec<_> = checked.into_iter().collect::<Option<_>>()?;
        let of = checked[0].1.of;
        for (part, (_, kind)) in parts.iter().zip(&checked) {
            if kind.of != of {
                self.wrong(part, kind.to_string(), of.to_string());
                return None;
            }
        }
        if let Some(at) = checked[..checked.len() - 1].iter().position(|(_, kind)| !kind.maybe) {
            self.wrong(
                &parts[at],
                checked[at].1.to_string(),
                "a value that may be absent ahead of ??".to_owned(),
            );
            return None;
        }
        let maybe = checked.last().is_some_and(|(_, kind)| kind.maybe);
        Some((Code::Default(checked.into_iter().map(|(code, _)| code).collect()), Kind { of, maybe }))
    }

    fn check_sum(&mut self, terms: &[(bool, Node)]) -> Checked {
        let (_, of) = self.check(&terms[0].1)?;
        let codes: Vec<_> =
            terms.iter().map(|(minus, term)| Some((*minus, self.must(term, of.of)?))).collect();
        let codes: Vec<_> = codes.into_iter().collect::<Option<_>>()?;
        match of.of {
            Type::Number | Type::Duration => sure(Code::Sum(codes), of.of),
            Type::Text if codes.iter().all(|(minus, _)| !minus) => {
                sure(Code::Join(codes.into_iter().map(|(_, code)| code).collect()), Type::Text)
            }
            _ => {
                self.wrong(
                    &terms[0].1,
                    of.to_string(),
                    "numbers or durations, or texts with + alone".to_owned(),
                );
                None
            }
        }
    }

    fn check_call(&mut self, node: &Node, name: &str, arguments: &[Node]) -> Checked {
        let count = match name {
            "segment" | "query" | "cookie" | "header" | "headers" | "lower" | "hash" | "length" | "count"
            | "number" | "present" => 1,
            "starts_with" | "ends_with" | "contains" | "matches" | "split" | "item" => 2,
            _ => {
                let expected = match near(name, FUNCTIONS.into_iter()) {
                    Some(near) => format!("a known function, perhaps {near}"),
                    None => format!("one of {}", FUNCTIONS.join(", ")),
                };
                self.wrong(node, format!("the unknown function {name}"), expected);
                return None;
            }
        };
        if arguments.len() != count {
            self.wrong(node, format!("{} arguments", arguments.len()), format!("{count} for {name}"));
            return None;
        }
        let maybe = |code, of| Some((code, Kind { of, maybe: true }));
        let first = &arguments[0];
        let boxed = |code| Box::new(code);
        match name {
            "segment" => maybe(Code::Input(Input::Segment(self.index(first)?)), Type::Text),
            "query" => maybe(Code::Input(Input::Query(self.literal_text(first)?)), Type::Text),
            "cookie" => maybe(Code::Input(Input::Cookie(self.literal_text(first)?)), Type::Text),
            "header" => {
                maybe(Code::Input(Input::Header(self.literal_text(first)?.to_ascii_lowercase())), Type::Text)
            }
            "headers" => {
                sure(Code::Input(Input::Headers(self.literal_text(first)?.to_ascii_lowercase())), Type::List)
            }
            "lower" => sure(Code::Lower(boxed(self.must(first, Type::Text)?)), Type::Text),
            "hash" => sure(Code::Hash(boxed(self.must(first, Type::Text)?)), Type::Number),
            "length" => sure(Code::Length(boxed(self.must(first, Type::Text)?)), Type::Number),
            "count" => sure(Code::Count(boxed(self.must(first, Type::List)?)), Type::Number),
            "number" => maybe(Code::ToNumber(boxed(self.must(first, Type::Text)?)), Type::Number),
            "present" => {
                let (code, kind) = self.check(first)?;
                if !kind.maybe {
                    self.wrong(first, kind.to_string(), "a value that may be absent".to_owned());
                    return None;
                }
                sure(Code::Present(boxed(code)), Type::Truth)
            }
            "matches" => {
                let (text, pattern) = (self.must(first, Type::Text), self.pattern(&arguments[1]));
                let ((pattern, size), text) = (pattern?, text?);
                sure(Code::Matches(boxed(text), pattern, size), Type::Truth)
            }
            "split" => {
                let (text, by) = (self.must(first, Type::Text), self.literal_text(&arguments[1]));
                let (text, by) = (text?, by?);
                if by.is_empty() {
                    self.wrong(
                        &arguments[1],
                        "no text".to_owned(),
                        "what stands between the parts".to_owned(),
                    );
                    return None;
                }
                sure(Code::Split(boxed(text), by), Type::List)
            }
            "item" => {
                let (list, at) = (self.must(first, Type::List), self.index(&arguments[1]));
                maybe(Code::Item(boxed(list?), at?), Type::Text)
            }
            _ => {
                let (text, part) = (self.must(first, Type::Text), self.must(&arguments[1], Type::Text));
                let (text, part) = (boxed(text?), boxed(part?));
                let code = match name {
                    "starts_with" => Code::StartsWith(text, part),
                    "ends_with" => Code::EndsWith(text, part),
                    _ => Code::Contains(text, part),
                };
                sure(code, Type::Truth)
            }
        }
    }

    fn index(&mut self, node: &Node) -> Option<usize> {
        match &node.part {
            Part::Literal(Literal::Number(number @ 0..=1_000)) => Some(*number as usize),
            _ => {
                self.wrong(node, node.to_string(), "a number from 0 to 1000, written out".to_owned());
                None
            }
        }
    }

    fn literal_text(&mut self, node: &Node) -> Option<String> {
        match &node.part {
            Part::Literal(Literal::Text(text)) => Some(text.clone()),
            _ => {
                self.wrong(node, node.to_string(), "text in quotes, written out".to_owned());
                None
            }
        }
    }

    /// A pattern and its weight in cost: time grows with the pattern's size times the text's.
    fn pattern(&mut self, node: &Node) -> Option<(Regex, usize)> {
        let text = self.literal_text(node)?;
        let mut builder = RegexBuilder::new(&text);
        match builder.size_limit(PATTERN_MOST).dfa_size_limit(2 * PATTERN_MOST).nest_limit(32).build() {
            Ok(pattern) => Some((pattern, 1 + text.len() / 8)),
            Err(error) => {
                let line = error
                    .to_string()
                    .lines()
                    .last()
                    .unwrap_or_default()
                    .trim_start_matches("error: ")
                    .to_owned();
                self.wrong(node, line, format!("a pattern of {PATTERN_MOST} bytes at most once compiled"));
                None
            }
        }
    }
}
