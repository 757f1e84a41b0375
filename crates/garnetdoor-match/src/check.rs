//! The type checker. It determines the type of each part of an expression once, so that its evaluation can't fail.

use std::collections::BTreeSet;
use std::fmt;
use std::net::IpAddr;

use ipnet::IpNet;
use regex::{Regex, RegexBuilder};

use crate::cost;
use crate::head::HeadLimits;
use crate::syntax::{self, Comparison, ExprError, Literal, Node, NodeKind};

/// The largest size of a compiled pattern.
const MAX_PATTERN_BYTES: usize = 256 * 1024;
/// The deepest nesting of groups in a pattern.
const MAX_PATTERN_NESTING: u32 = 32;
/// Bytes of a pattern's text for which its weight in the cost grows by one.
const PATTERN_BYTES_PER_WEIGHT: usize = 8;
/// The largest index of a path segment or list item.
const MAX_INDEX: i64 = 1_000;

/// The type of a value, regardless of whether it may be absent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Type {
    Bool,
    Number,
    /// In microseconds.
    Duration,
    Text,
    /// A list of texts, such as the values of a header.
    List,
    Address,
}

impl fmt::Display for Type {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str(match self {
            Type::Bool => "true or false",
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
pub struct ValueType {
    pub base: Type,
    pub optional: bool,
}

impl fmt::Display for ValueType {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(formatter, "{}{}", self.base, if self.optional { " that may be absent" } else { "" })
    }
}

/// A part of the head that an expression reads.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    Method,
    Path,
    Client,
    BodyLength,
    Upgrade,
    /// The path segment at an index from 0.
    Segment(usize),
    /// The first query parameter of a name.
    Query(String),
    /// The first cookie of a name.
    Cookie(String),
    /// The first line of a header, by its lower-case name.
    Header(String),
    /// All lines of a header, by its lower-case name.
    Headers(String),
}

/// A type-checked expression.
#[derive(Clone, Debug)]
pub enum Expr {
    Bool(bool),
    Number(i64),
    Text(String),
    Input(Input),
    Or(Vec<Expr>),
    And(Vec<Expr>),
    Not(Box<Expr>),
    /// Numbers, durations, texts, Booleans or addresses of one type.
    Compare(Comparison, Box<Expr>, Box<Expr>),
    /// A text, the set, and the length of the longest text in it.
    InTexts(Box<Expr>, BTreeSet<String>, usize),
    InNumbers(Box<Expr>, BTreeSet<i64>),
    InNetworks(Box<Expr>, Vec<IpNet>),
    InList(Box<Expr>, Box<Expr>),
    /// The first of these that is present.
    Coalesce(Vec<Expr>),
    /// Terms, each with whether it is subtracted.
    Sum(Vec<(bool, Expr)>),
    /// A concatenation of texts.
    Join(Vec<Expr>),
    StartsWith(Box<Expr>, Box<Expr>),
    EndsWith(Box<Expr>, Box<Expr>),
    Contains(Box<Expr>, Box<Expr>),
    /// A text, the pattern, and the pattern's weight in the cost.
    Matches(Box<Expr>, Regex, usize),
    Lower(Box<Expr>),
    Hash(Box<Expr>),
    Length(Box<Expr>),
    Count(Box<Expr>),
    /// A text and the separator.
    Split(Box<Expr>, String),
    /// A list and an index from 0.
    Item(Box<Expr>, usize),
    /// The number that a text contains; absent if it contains none.
    ToNumber(Box<Expr>),
    Present(Box<Expr>),
}

/// A compiled expression, whose evaluation can't fail.
#[derive(Clone, Debug)]
pub struct Program {
    pub(crate) expr: Expr,
    pub value_type: ValueType,
    /// The most units that an evaluation costs, for heads within the limits given to [`Program::compile`].
    pub max_cost: u64,
}

/// Inputs that are written as names, with their types.
const NAMES: [(&str, Input, Type); 5] = [
    ("method", Input::Method, Type::Text),
    ("path", Input::Path, Type::Text),
    ("client", Input::Client, Type::Address),
    ("body_length", Input::BodyLength, Type::Number),
    ("upgrade", Input::Upgrade, Type::Bool),
];

/// Functions, for suggestions in errors.
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
    /// Compiles an expression that has to be of type `wanted`; reports all errors that can be told apart. `budget` is the
    /// most units that its evaluation may cost for heads within the limits.
    pub fn compile(
        text: &str, wanted: Type, limits: &HeadLimits, budget: u64,
    ) -> Result<Program, Vec<ExprError>> {
        let tree = syntax::parse(text).map_err(|error| vec![error])?;
        let mut checker = Checker { errors: Vec::new() };
        let checked = checker.check(&tree);
        if let Some((_, value_type)) = &checked
            && *value_type != (ValueType { base: wanted, optional: false })
        {
            checker.report(&tree, value_type.to_string(), wanted.to_string());
        }
        let Some((expr, value_type)) = checked.filter(|_| checker.errors.is_empty()) else {
            return Err(checker.errors);
        };
        let max_cost = cost::max_cost(&expr, limits).units;
        if max_cost > budget {
            let (span, part_cost) = cost::most_expensive_part(&tree, limits);
            let found = format!("{max_cost} units in the worst case, {part_cost} of them here");
            return Err(vec![ExprError { span, found, expected: format!("{budget} units at most in all") }]);
        }
        Ok(Program { expr, value_type, max_cost })
    }
}

/// The largest edit distance (Damerau-Levenshtein) at which a known name is suggested for an unknown one.
const MAX_SUGGESTION_DISTANCE: usize = 2;

/// The known name that is most similar to an unknown one, if any is similar enough.
fn most_similar<'a>(name: &str, known: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    let best = known.map(|other| (strsim::damerau_levenshtein(name, other), other)).min();
    best.filter(|(distance, _)| *distance <= MAX_SUGGESTION_DISTANCE).map(|(_, other)| other)
}

struct Checker {
    errors: Vec<ExprError>,
}

/// A checked expression with its type; `None` if an error has been reported.
type Checked = Option<(Expr, ValueType)>;

/// An expression whose value is never absent.
fn always_present(expr: Expr, of: Type) -> Checked {
    Some((expr, ValueType { base: of, optional: false }))
}

/// An expression whose value may be absent.
fn optional(expr: Expr, of: Type) -> Checked {
    Some((expr, ValueType { base: of, optional: true }))
}

/// How many arguments a function takes; `None` for an unknown function.
fn argument_count(name: &str) -> Option<usize> {
    match name {
        "segment" | "query" | "cookie" | "header" | "headers" | "lower" | "hash" | "length" | "count"
        | "number" | "present" => Some(1),
        "starts_with" | "ends_with" | "contains" | "matches" | "split" | "item" => Some(2),
        _ => None,
    }
}

/// What is expected instead of a value of this type that may be absent.
fn needs_default(of: Type) -> String {
    format!("{of} that is always present: give a default by ??")
}

/// Checks a part of an expression by itself, to determine its cost.
pub(crate) fn check_alone(node: &Node) -> Option<Expr> {
    Checker { errors: Vec::new() }.check(node).map(|(expr, _)| expr)
}

impl Checker {
    fn report(&mut self, node: &Node, found: String, expected: String) {
        self.errors.push(ExprError { span: node.span.clone(), found, expected });
    }

    /// Checks a part that must be of a type and never absent.
    fn require(&mut self, node: &Node, of: Type) -> Option<Expr> {
        let (expr, value_type) = self.check(node)?;
        if value_type == (ValueType { base: of, optional: false }) {
            return Some(expr);
        }
        let expected = if value_type.base == of { needs_default(of) } else { of.to_string() };
        self.report(node, value_type.to_string(), expected);
        None
    }

    /// Checks parts that must all be of a type and never absent.
    fn require_all(&mut self, nodes: &[Node], of: Type) -> Option<Vec<Expr>> {
        // All are checked before the result is taken, so that the errors of all are reported.
        let exprs: Vec<_> = nodes.iter().map(|node| self.require(node, of)).collect();
        exprs.into_iter().collect()
    }

    /// Checks a node and its parts.
    fn check(&mut self, node: &Node) -> Checked {
        match &node.kind {
            NodeKind::Literal(Literal::Bool(value)) => always_present(Expr::Bool(*value), Type::Bool),
            NodeKind::Literal(Literal::Number(number)) => always_present(Expr::Number(*number), Type::Number),
            NodeKind::Literal(Literal::Duration(micros)) => {
                always_present(Expr::Number(*micros), Type::Duration)
            }
            NodeKind::Literal(Literal::Text(text)) => always_present(Expr::Text(text.clone()), Type::Text),
            NodeKind::Or(parts) => always_present(Expr::Or(self.require_all(parts, Type::Bool)?), Type::Bool),
            NodeKind::And(parts) => {
                always_present(Expr::And(self.require_all(parts, Type::Bool)?), Type::Bool)
            }
            NodeKind::Not(part) => {
                always_present(Expr::Not(Box::new(self.require(part, Type::Bool)?)), Type::Bool)
            }
            NodeKind::Compare(Comparison::In, left, right) => self.check_in(left, right),
            NodeKind::Compare(comparison, left, right) => self.check_compare(*comparison, left, right),
            NodeKind::Coalesce(parts) => self.check_coalesce(parts),
            NodeKind::Sum(terms) => self.check_sum(terms),
            NodeKind::Name(name) => self.check_name(node, name),
            NodeKind::Call(name, arguments) => self.check_call(node, name, arguments),
            NodeKind::List(_) => {
                self.report(node, "a list".to_owned(), "it only to the right of in".to_owned());
                None
            }
        }
    }

    fn check_name(&mut self, node: &Node, name: &str) -> Checked {
        if let Some((_, input, of)) = NAMES.iter().find(|(known, ..)| *known == name) {
            return always_present(Expr::Input(input.clone()), *of);
        }
        let known = NAMES.iter().map(|(known, ..)| *known);
        let expected = match most_similar(name, known.chain(FUNCTIONS)) {
            Some(similar) => format!("a known name, perhaps {similar}"),
            None => format!("one of {}", NAMES.map(|(known, ..)| known).join(", ")),
        };
        self.report(node, format!("the unknown name {name}"), expected);
        None
    }

    fn check_compare(&mut self, comparison: Comparison, left: &Node, right: &Node) -> Checked {
        let (left_checked, right_checked) = (self.check(left), self.check(right));
        let ((left_expr, left_type), (right_expr, right_type)) = (left_checked?, right_checked?);
        let has_order = matches!(left_type.base, Type::Number | Type::Duration);
        let is_equality = matches!(comparison, Comparison::Equal | Comparison::NotEqual);
        if left_type.optional {
            self.report(left, left_type.to_string(), needs_default(left_type.base));
            None
        } else if right_type.optional {
            self.report(right, right_type.to_string(), needs_default(right_type.base));
            None
        } else if left_type != right_type {
            self.report(right, right_type.to_string(), left_type.to_string());
            None
        } else if left_type.base == Type::List || !(has_order || is_equality) {
            self.report(left, left_type.to_string(), "numbers or durations".to_owned());
            None
        } else {
            let (left, right) = (Box::new(left_expr), Box::new(right_expr));
            always_present(Expr::Compare(comparison, left, right), Type::Bool)
        }
    }

    fn check_in(&mut self, left: &Node, right: &Node) -> Checked {
        let (expr, value_type) = self.check(left)?;
        if value_type.optional {
            self.report(left, value_type.to_string(), needs_default(value_type.base));
            return None;
        }
        let expr = Box::new(expr);
        let NodeKind::List(items) = &right.kind else {
            let list = self.require(right, Type::List)?;
            if value_type.base != Type::Text {
                self.report(left, value_type.to_string(), Type::Text.to_string());
                return None;
            }
            return always_present(Expr::InList(expr, Box::new(list)), Type::Bool);
        };
        match value_type.base {
            Type::Text => {
                let as_text = |literal: &Literal| {
                    if let Literal::Text(text) = literal { Some(text.clone()) } else { None }
                };
                let texts = self.literals(items, "text", as_text)?;
                let longest = texts.iter().map(String::len).max().unwrap_or(0);
                always_present(Expr::InTexts(expr, texts.into_iter().collect(), longest), Type::Bool)
            }
            Type::Number => {
                let as_number = |literal: &Literal| {
                    if let Literal::Number(number) = literal { Some(*number) } else { None }
                };
                let numbers = self.literals(items, "a number", as_number)?;
                always_present(Expr::InNumbers(expr, numbers.into_iter().collect()), Type::Bool)
            }
            Type::Address => {
                let as_network = |literal: &Literal| match literal {
                    Literal::Text(text) => {
                        text.parse().ok().or_else(|| text.parse::<IpAddr>().ok().map(IpNet::from))
                    }
                    _ => None,
                };
                let networks = self.literals(items, "a network such as \"10.0.0.0/8\"", as_network)?;
                always_present(Expr::InNetworks(expr, networks), Type::Bool)
            }
            _ => {
                self.report(left, value_type.to_string(), "text, a number or an address".to_owned());
                None
            }
        }
    }

    /// Reads the items of a list by `read`; each that is no literal, or for which it gives `None`, is an error.
    fn literals<T>(
        &mut self, items: &[Node], expected: &str, read: impl Fn(&Literal) -> Option<T>,
    ) -> Option<Vec<T>> {
        let mut values = Vec::new();
        for item in items {
            match &item.kind {
                NodeKind::Literal(literal) => match read(literal) {
                    Some(value) => values.push(value),
                    None => self.report(item, item.to_string(), expected.to_owned()),
                },
                _ => self.report(item, item.to_string(), expected.to_owned()),
            }
        }
        (values.len() == items.len()).then_some(values)
    }

    /// Checks the operands of `??`. All but the last must be optional: one that is always present makes those after it
    /// unreachable.
    fn check_coalesce(&mut self, parts: &[Node]) -> Checked {
        let checked: Vec<_> = parts.iter().map(|part| self.check(part)).collect();
        let checked: Vec<_> = checked.into_iter().collect::<Option<_>>()?;
        let base = checked[0].1.base;
        for (part, (_, value_type)) in parts.iter().zip(&checked) {
            if value_type.base != base {
                self.report(part, value_type.to_string(), base.to_string());
                return None;
            }
        }
        let before_last = &checked[..checked.len() - 1];
        if let Some(index) = before_last.iter().position(|(_, value_type)| !value_type.optional) {
            let expected = "a value that may be absent ahead of ??".to_owned();
            self.report(&parts[index], checked[index].1.to_string(), expected);
            return None;
        }
        let optional = checked.last().is_some_and(|(_, value_type)| value_type.optional);
        let exprs = checked.into_iter().map(|(expr, _)| expr).collect();
        Some((Expr::Coalesce(exprs), ValueType { base, optional }))
    }

    /// Checks a sum, by the type of its first term: of numbers, of durations, or a concatenation of texts.
    fn check_sum(&mut self, terms: &[(bool, Node)]) -> Checked {
        let (_, first_type) = self.check(&terms[0].1)?;
        let base = first_type.base;
        let exprs: Vec<_> = terms
            .iter()
            .map(|(is_subtracted, term)| Some((*is_subtracted, self.require(term, base)?)))
            .collect();
        let exprs: Vec<_> = exprs.into_iter().collect::<Option<_>>()?;
        match base {
            Type::Number | Type::Duration => always_present(Expr::Sum(exprs), base),
            Type::Text if exprs.iter().all(|(is_subtracted, _)| !is_subtracted) => {
                let texts = exprs.into_iter().map(|(_, expr)| expr).collect();
                always_present(Expr::Join(texts), Type::Text)
            }
            _ => {
                let expected = "numbers or durations, or texts with + only".to_owned();
                self.report(&terms[0].1, first_type.to_string(), expected);
                None
            }
        }
    }

    /// Checks a call of a function with its arguments.
    fn check_call(&mut self, node: &Node, name: &str, arguments: &[Node]) -> Checked {
        let Some(argument_count) = argument_count(name) else {
            let expected = match most_similar(name, FUNCTIONS.into_iter()) {
                Some(similar) => format!("a known function, perhaps {similar}"),
                None => format!("one of {}", FUNCTIONS.join(", ")),
            };
            self.report(node, format!("the unknown function {name}"), expected);
            return None;
        };
        match arguments {
            [argument] if argument_count == 1 => self.check_unary_call(name, argument),
            [first, second] if argument_count == 2 => self.check_binary_call(name, first, second),
            _ => {
                let found = format!("{} arguments", arguments.len());
                self.report(node, found, format!("{argument_count} for {name}"));
                None
            }
        }
    }

    /// Checks a call of a known function with one argument.
    fn check_unary_call(&mut self, name: &str, argument: &Node) -> Checked {
        match name {
            "segment" => optional(Expr::Input(Input::Segment(self.literal_index(argument)?)), Type::Text),
            "query" => optional(Expr::Input(Input::Query(self.literal_text(argument)?)), Type::Text),
            "cookie" => optional(Expr::Input(Input::Cookie(self.literal_text(argument)?)), Type::Text),
            "header" => {
                let name = self.literal_text(argument)?.to_ascii_lowercase();
                optional(Expr::Input(Input::Header(name)), Type::Text)
            }
            "headers" => {
                let name = self.literal_text(argument)?.to_ascii_lowercase();
                always_present(Expr::Input(Input::Headers(name)), Type::List)
            }
            "present" => {
                let (expr, value_type) = self.check(argument)?;
                if !value_type.optional {
                    self.report(argument, value_type.to_string(), "a value that may be absent".to_owned());
                    return None;
                }
                always_present(Expr::Present(Box::new(expr)), Type::Bool)
            }
            "count" => {
                let list = Box::new(self.require(argument, Type::List)?);
                always_present(Expr::Count(list), Type::Number)
            }
            _ => {
                let text = Box::new(self.require(argument, Type::Text)?);
                match name {
                    "lower" => always_present(Expr::Lower(text), Type::Text),
                    "hash" => always_present(Expr::Hash(text), Type::Number),
                    "length" => always_present(Expr::Length(text), Type::Number),
                    _ => optional(Expr::ToNumber(text), Type::Number),
                }
            }
        }
    }

    /// Checks a call of a known function with two arguments. Both are checked before the result is taken, so that the
    /// errors of both are reported.
    fn check_binary_call(&mut self, name: &str, first: &Node, second: &Node) -> Checked {
        match name {
            "matches" => {
                let (text, pattern) = (self.require(first, Type::Text), self.pattern(second));
                let ((pattern, weight), text) = (pattern?, text?);
                always_present(Expr::Matches(Box::new(text), pattern, weight), Type::Bool)
            }
            "split" => {
                let (text, separator) = (self.require(first, Type::Text), self.literal_text(second));
                let (text, separator) = (text?, separator?);
                if separator.is_empty() {
                    self.report(second, "no text".to_owned(), "the text between the parts".to_owned());
                    return None;
                }
                always_present(Expr::Split(Box::new(text), separator), Type::List)
            }
            "item" => {
                let (list, index) = (self.require(first, Type::List), self.literal_index(second));
                optional(Expr::Item(Box::new(list?), index?), Type::Text)
            }
            _ => {
                let (text, part) = (self.require(first, Type::Text), self.require(second, Type::Text));
                let (text, part) = (Box::new(text?), Box::new(part?));
                let expr = match name {
                    "starts_with" => Expr::StartsWith(text, part),
                    "ends_with" => Expr::EndsWith(text, part),
                    _ => Expr::Contains(text, part),
                };
                always_present(expr, Type::Bool)
            }
        }
    }

    /// Reads an index, which must be a literal.
    fn literal_index(&mut self, node: &Node) -> Option<usize> {
        match &node.kind {
            NodeKind::Literal(Literal::Number(number @ 0..=MAX_INDEX)) => Some(*number as usize),
            _ => {
                self.report(node, node.to_string(), format!("a number from 0 to {MAX_INDEX}, written out"));
                None
            }
        }
    }

    /// Reads a text, which must be a literal.
    fn literal_text(&mut self, node: &Node) -> Option<String> {
        match &node.kind {
            NodeKind::Literal(Literal::Text(text)) => Some(text.clone()),
            _ => {
                self.report(node, node.to_string(), "text in quotes, written out".to_owned());
                None
            }
        }
    }

    /// Compiles a pattern. Returns it with its weight in the cost: matching takes time in proportion to the sizes of the
    /// pattern and of the text.
    fn pattern(&mut self, node: &Node) -> Option<(Regex, usize)> {
        let text = self.literal_text(node)?;
        let mut builder = RegexBuilder::new(&text);
        match builder
            .size_limit(MAX_PATTERN_BYTES)
            .dfa_size_limit(2 * MAX_PATTERN_BYTES)
            .nest_limit(MAX_PATTERN_NESTING)
            .build()
        {
            Ok(pattern) => Some((pattern, 1 + text.len() / PATTERN_BYTES_PER_WEIGHT)),
            Err(error) => {
                let reason = error
                    .to_string()
                    .lines()
                    .last()
                    .unwrap_or_default()
                    .trim_start_matches("error: ")
                    .to_owned();
                self.report(
                    node,
                    reason,
                    format!("a pattern of {MAX_PATTERN_BYTES} bytes at most once compiled"),
                );
                None
            }
        }
    }
}
