//! Evaluation of an expression for one head. It can't fail, and texts are borrowed from the head wherever possible.

use std::borrow::Cow;
use std::cmp::Ordering;
use std::net::IpAddr;

use xxhash_rust::xxh3::xxh3_64;

use crate::check::{Expr, Input, Program};
use crate::cost;
use crate::head::{RequestHead, Text};
use crate::syntax::Comparison;

/// The value of an expression.
#[derive(Clone, Debug, PartialEq)]
pub enum Value<'a> {
    /// An input that the head does not have, or a text that is no number.
    Absent,
    Bool(bool),
    /// A number, or a duration in microseconds.
    Number(i64),
    Text(Text<'a>),
    List(Vec<Text<'a>>),
    Address(IpAddr),
}

/// The cost of an evaluation in units; see [`crate::cost`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Cost(pub u64);

impl Program {
    /// Evaluates the expression for a head; returns its value and the cost.
    pub fn eval<'a>(&'a self, head: &RequestHead<'a>) -> (Value<'a>, Cost) {
        let mut evaluator = Evaluator { head, cost: 0 };
        let value = evaluator.eval(&self.expr);
        (value, Cost(evaluator.cost))
    }

    /// Whether an expression of type [`Type::Bool`](crate::Type) is true for a head.
    pub fn holds(&self, head: &RequestHead) -> bool {
        matches!(self.eval(head).0, Value::Bool(true))
    }
}

struct Evaluator<'h, 'a> {
    head: &'h RequestHead<'a>,
    /// Units so far.
    cost: u64,
}

/// Bytes of a text, or of all texts of a list.
fn text_bytes(value: &Value) -> usize {
    match value {
        Value::Text(text) => text.len(),
        Value::List(texts) => texts.iter().map(|text| text.len()).sum(),
        Value::Absent | Value::Bool(_) | Value::Number(_) | Value::Address(_) => 0,
    }
}

/// The text of a value that is one, as the type check has established; so for `number` and `list`.
fn text<'a>(value: Value<'a>) -> Text<'a> {
    if let Value::Text(text) = value { text } else { Cow::Borrowed("") }
}

fn number(value: &Value) -> i64 {
    if let Value::Number(number) = value { *number } else { 0 }
}

fn list<'a>(value: Value<'a>) -> Vec<Text<'a>> {
    if let Value::List(list) = value { list } else { Vec::new() }
}

impl<'a> Evaluator<'_, 'a> {
    fn eval(&mut self, expr: &'a Expr) -> Value<'a> {
        self.cost += 1;
        match expr {
            Expr::Bool(value) => Value::Bool(*value),
            Expr::Number(number) => Value::Number(*number),
            Expr::Text(text) => Value::Text(Cow::Borrowed(text)),
            Expr::Input(input) => self.input(input),
            Expr::Or(parts) => Value::Bool(parts.iter().any(|part| self.is_true(part))),
            Expr::And(parts) => Value::Bool(parts.iter().all(|part| self.is_true(part))),
            Expr::Not(operand) => Value::Bool(!self.is_true(operand)),
            Expr::Compare(comparison, a, b) => self.compare(*comparison, a, b),
            Expr::InTexts(operand, set, longest) => {
                let text = self.text(operand);
                self.cost += cost::lookup_steps(set.len()) * cost::scan_cost((*longest).min(text.len()));
                Value::Bool(set.contains(text.as_ref()))
            }
            Expr::InNumbers(operand, set) => {
                let value = self.eval(operand);
                self.cost += cost::lookup_steps(set.len());
                Value::Bool(set.contains(&number(&value)))
            }
            Expr::InNetworks(address, networks) => {
                let value = self.eval(address);
                self.cost += networks.len() as u64;
                let contains = |address| networks.iter().any(|network| network.contains(&address));
                Value::Bool(matches!(value, Value::Address(address) if contains(address)))
            }
            Expr::InList(text, texts) => {
                let (text, texts) = (self.text(text), self.eval(texts));
                self.cost += cost::scan_cost(text_bytes(&texts));
                Value::Bool(list(texts).contains(&text))
            }
            Expr::Coalesce(parts) => {
                let present = parts.iter().map(|part| self.eval(part)).find(|value| *value != Value::Absent);
                present.unwrap_or(Value::Absent)
            }
            Expr::Sum(terms) => Value::Number(terms.iter().fold(0_i64, |sum, (is_subtracted, term)| {
                let term = number(&self.eval(term));
                // Saturates, since evaluation must not fail.
                if *is_subtracted { sum.saturating_sub(term) } else { sum.saturating_add(term) }
            })),
            Expr::Join(parts) => {
                let joined: String = parts.iter().map(|part| self.text(part)).collect();
                self.cost += cost::scan_cost(joined.len());
                Value::Text(Cow::Owned(joined))
            }
            Expr::StartsWith(a, b) => self.compare_texts(a, b, |a, b| a.starts_with(b)),
            Expr::EndsWith(a, b) => self.compare_texts(a, b, |a, b| a.ends_with(b)),
            Expr::Contains(a, b) => {
                let (a, b) = (self.text(a), self.text(b));
                self.cost += cost::scan_cost(a.len()) + cost::scan_cost(b.len());
                Value::Bool(a.contains(b.as_ref()))
            }
            Expr::Matches(operand, pattern, weight) => {
                let text = self.text(operand);
                self.cost += cost::pattern_cost(text.len(), *weight);
                Value::Bool(pattern.is_match(&text))
            }
            Expr::Lower(operand) => {
                let text = self.text(operand);
                self.cost += cost::scan_cost(text.len());
                let is_lower = text.chars().all(|c| !c.is_uppercase());
                Value::Text(if is_lower { text } else { Cow::Owned(text.to_lowercase()) })
            }
            Expr::Hash(operand) => {
                let text = self.text(operand);
                self.cost += cost::scan_cost(text.len());
                // 63 bits, so that hashes are never negative.
                Value::Number((xxh3_64(text.as_bytes()) >> 1) as i64)
            }
            Expr::Length(operand) => Value::Number(self.text(operand).len() as i64),
            Expr::Count(texts) => Value::Number(list(self.eval(texts)).len() as i64),
            Expr::Split(text, separator) => {
                let text = self.text(text);
                self.cost += text.len() as u64;
                Value::List(match text {
                    Cow::Borrowed(text) => text.split(separator.as_str()).map(Cow::Borrowed).collect(),
                    Cow::Owned(text) => {
                        text.split(separator.as_str()).map(|part| Cow::Owned(part.to_owned())).collect()
                    }
                })
            }
            Expr::Item(texts, index) => {
                list(self.eval(texts)).into_iter().nth(*index).map_or(Value::Absent, Value::Text)
            }
            Expr::ToNumber(operand) => {
                let text = self.text(operand);
                self.cost += cost::scan_cost(text.len());
                text.trim().parse().map_or(Value::Absent, Value::Number)
            }
            Expr::Present(operand) => Value::Bool(self.eval(operand) != Value::Absent),
        }
    }

    fn is_true(&mut self, expr: &'a Expr) -> bool {
        self.eval(expr) == Value::Bool(true)
    }

    fn text(&mut self, expr: &'a Expr) -> Text<'a> {
        let value = self.eval(expr);
        text(value)
    }

    /// Compares two texts, at the cost of scanning the shorter one.
    fn compare_texts(&mut self, a: &'a Expr, b: &'a Expr, holds: impl Fn(&str, &str) -> bool) -> Value<'a> {
        let (a, b) = (self.text(a), self.text(b));
        self.cost += cost::scan_cost(a.len().min(b.len()));
        Value::Bool(holds(&a, &b))
    }

    fn compare(&mut self, comparison: Comparison, a: &'a Expr, b: &'a Expr) -> Value<'a> {
        let (a, b) = (self.eval(a), self.eval(b));
        self.cost += cost::scan_cost(text_bytes(&a).min(text_bytes(&b)));
        let order = || number(&a).cmp(&number(&b));
        Value::Bool(match comparison {
            Comparison::Equal => a == b,
            Comparison::NotEqual => a != b,
            Comparison::LessOrEqual => order() != Ordering::Greater,
            Comparison::GreaterOrEqual => order() != Ordering::Less,
            Comparison::Less => order() == Ordering::Less,
            Comparison::Greater => order() == Ordering::Greater,
            // `in` is checked into expressions of its own.
            Comparison::In => false,
        })
    }

    fn input(&mut self, input: &'a Input) -> Value<'a> {
        let head = self.head;
        let cookie_bytes = match input {
            Input::Cookie(_) => head.headers("cookie").map(str::len).sum(),
            _ => 0,
        };
        // One unit of it has been counted for the evaluation step.
        self.cost += cost::input_cost(input, head.headers.len(), head.target.len(), cookie_bytes) - 1;
        let optional =
            |text: Option<&'a str>| text.map_or(Value::Absent, |text| Value::Text(Cow::Borrowed(text)));
        match input {
            Input::Method => Value::Text(Cow::Borrowed(head.method)),
            Input::Path => Value::Text(Cow::Borrowed(head.path())),
            Input::Client => Value::Address(head.client),
            Input::BodyLength => Value::Number(head.body_length),
            Input::Upgrade => Value::Bool(head.upgrade),
            Input::Segment(index) => optional(head.segment(*index)),
            Input::Query(name) => optional(head.query(name)),
            Input::Cookie(name) => optional(head.cookie(name)),
            Input::Header(name) => optional(head.headers(name).next()),
            Input::Headers(name) => Value::List(head.headers(name).map(Cow::Borrowed).collect()),
        }
    }
}
