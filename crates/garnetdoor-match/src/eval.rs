//! Working an expression out for one head. Nothing fails here, and texts are borrowed from the head wherever they can be.

use std::borrow::Cow;
use std::cmp::Ordering;
use std::net::IpAddr;

use xxhash_rust::xxh3::xxh3_64;

use crate::check::{Code, Input, Program};
use crate::cost;
use crate::head::{Head, Text};
use crate::syntax::Comparison;

/// A value.
#[derive(Clone, Debug, PartialEq)]
pub enum Value<'a> {
    Absent,
    Truth(bool),
    /// A number, or a duration in microseconds.
    Number(i64),
    Text(Text<'a>),
    List(Vec<Text<'a>>),
    Address(IpAddr),
}

/// Units spent on an evaluation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Spent(pub u64);

impl Program {
    /// Works the expression out for a head, and tells what was spent.
    pub fn eval<'a>(&'a self, head: &Head<'a>) -> (Value<'a>, Spent) {
        let mut machine = Machine { head, spent: 0 };
        let value = machine.eval(&self.code);
        (value, Spent(machine.spent))
    }

    /// The same for an expression that is true or false.
    pub fn holds(&self, head: &Head) -> bool {
        matches!(self.eval(head).0, Value::Truth(true))
    }
}

struct Machine<'h, 'a> {
    head: &'h Head<'a>,
    spent: u64,
}

/// Bytes of a text, or of all texts of a list.
fn bytes(value: &Value) -> usize {
    match value {
        Value::Text(text) => text.len(),
        Value::List(texts) => texts.iter().map(|text| text.len()).sum(),
        Value::Absent | Value::Truth(_) | Value::Number(_) | Value::Address(_) => 0,
    }
}

fn text<'a>(value: Value<'a>) -> Text<'a> {
    // Types say that it is one.
    if let Value::Text(text) = value { text } else { Cow::Borrowed("") }
}

fn number(value: &Value) -> i64 {
    if let Value::Number(number) = value { *number } else { 0 }
}

fn list<'a>(value: Value<'a>) -> Vec<Text<'a>> {
    if let Value::List(list) = value { list } else { Vec::new() }
}

impl<'a> Machine<'_, 'a> {
    fn eval(&mut self, code: &'a Code) -> Value<'a> {
        self.spent += 1;
        match code {
            Code::Truth(truth) => Value::Truth(*truth),
            Code::Number(number) => Value::Number(*number),
            Code::Text(text) => Value::Text(Cow::Borrowed(text)),
            Code::Input(what) => self.input(what),
            Code::Or(codes) => Value::Truth(codes.iter().any(|code| self.truth(code))),
            Code::And(codes) => Value::Truth(codes.iter().all(|code| self.truth(code))),
            Code::Not(code) => Value::Truth(!self.truth(code)),
            Code::Compare(how, a, b) => self.compare(*how, a, b),
            Code::InTexts(code, set, longest) => {
                let text = self.text(code);
                self.spent +=
                    (usize::BITS - set.len().leading_zeros()) as u64 * cost::scan((*longest).min(text.len()));
                Value::Truth(set.contains(text.as_ref()))
            }
            Code::InNumbers(code, set) => {
                let value = self.eval(code);
                self.spent += (usize::BITS - set.len().leading_zeros()) as u64;
                Value::Truth(set.contains(&number(&value)))
            }
            Code::InNets(code, nets) => {
                let value = self.eval(code);
                self.spent += nets.len() as u64;
                Value::Truth(matches!(value, Value::Address(at) if nets.iter().any(|net| net.contains(&at))))
            }
            Code::InList(code, texts) => {
                let (one, all) = (self.text(code), self.eval(texts));
                self.spent += cost::scan(bytes(&all));
                Value::Truth(list(all).contains(&one))
            }
            Code::Default(codes) => {
                let there = codes.iter().map(|code| self.eval(code)).find(|value| *value != Value::Absent);
                there.unwrap_or(Value::Absent)
            }
            Code::Sum(terms) => Value::Number(terms.iter().fold(0_i64, |sum, (minus, code)| {
                let term = number(&self.eval(code));
                // At its ends a sum stays there: nothing fails.
                if *minus { sum.saturating_sub(term) } else { sum.saturating_add(term) }
            })),
            Code::Join(codes) => {
                let joined: String = codes.iter().map(|code| self.text(code)).collect();
                self.spent += cost::scan(joined.len());
                Value::Text(Cow::Owned(joined))
            }
            Code::StartsWith(a, b) => self.both(a, b, |a, b| a.starts_with(b)),
            Code::EndsWith(a, b) => self.both(a, b, |a, b| a.ends_with(b)),
            Code::Contains(a, b) => {
                let (a, b) = (self.text(a), self.text(b));
                self.spent += cost::scan(a.len()) + cost::scan(b.len());
                Value::Truth(a.contains(b.as_ref()))
            }
            Code::Matches(code, pattern, weight) => {
                let text = self.text(code);
                self.spent += cost::pattern(text.len(), *weight);
                Value::Truth(pattern.is_match(&text))
            }
            Code::Lower(code) => {
                let text = self.text(code);
                self.spent += cost::scan(text.len());
                let plain = text.chars().all(|c| !c.is_uppercase());
                Value::Text(if plain { text } else { Cow::Owned(text.to_lowercase()) })
            }
            Code::Hash(code) => {
                let text = self.text(code);
                self.spent += cost::scan(text.len());
                // Without its sign, so that what is derived from it need not think of one.
                Value::Number((xxh3_64(text.as_bytes()) >> 1) as i64)
            }
            Code::Length(code) => Value::Number(self.text(code).len() as i64),
            Code::Count(texts) => Value::Number(list(self.eval(texts)).len() as i64),
            Code::Split(code, by) => {
                let text = self.text(code);
                self.spent += text.len() as u64;
                Value::List(match text {
                    Cow::Borrowed(text) => text.split(by.as_str()).map(Cow::Borrowed).collect(),
                    Cow::Owned(text) => {
                        text.split(by.as_str()).map(|part| Cow::Owned(part.to_owned())).collect()
                    }
                })
            }
            Code::Item(texts, at) => {
                list(self.eval(texts)).into_iter().nth(*at).map_or(Value::Absent, Value::Text)
            }
            Code::ToNumber(code) => {
                let text = self.text(code);
                self.spent += cost::scan(text.len());
                text.trim().parse().map_or(Value::Absent, Value::Number)
            }
            Code::Present(code) => Value::Truth(self.eval(code) != Value::Absent),
        }
    }

    fn truth(&mut self, code: &'a Code) -> bool {
        self.eval(code) == Value::Truth(true)
    }

    fn text(&mut self, code: &'a Code) -> Text<'a> {
        let value = self.eval(code);
        text(value)
    }

    fn both(&mut self, a: &'a Code, b: &'a Code, holds: impl Fn(&str, &str) -> bool) -> Value<'a> {
        let (a, b) = (self.text(a), self.text(b));
        self.spent += cost::scan(a.len().min(b.len()));
        Value::Truth(holds(&a, &b))
    }

    fn compare(&mut self, how: Comparison, a: &'a Code, b: &'a Code) -> Value<'a> {
        let (a, b) = (self.eval(a), self.eval(b));
        self.spent += cost::scan(bytes(&a).min(bytes(&b)));
        let order = || number(&a).cmp(&number(&b));
        Value::Truth(match how {
            Comparison::Equal => a == b,
            Comparison::NotEqual => a != b,
            Comparison::AtMost => order() != Ordering::Greater,
            Comparison::AtLeast => order() != Ordering::Less,
            Comparison::Less => order() == Ordering::Less,
            Comparison::More => order() == Ordering::Greater,
            Comparison::In => false,
        })
    }

    fn input(&mut self, what: &'a Input) -> Value<'a> {
        let head = self.head;
        let cookies = || head.headers("cookie").map(str::len).sum();
        let all = if matches!(what, Input::Cookie(_)) { cookies() } else { 0 };
        // One unit of it was counted with the step.
        self.spent += cost::input(what, head.headers.len(), head.target.len(), all) - 1;
        let maybe =
            |text: Option<&'a str>| text.map_or(Value::Absent, |text| Value::Text(Cow::Borrowed(text)));
        match what {
            Input::Method => Value::Text(Cow::Borrowed(head.method)),
            Input::Path => Value::Text(Cow::Borrowed(head.path())),
            Input::Client => Value::Address(head.client),
            Input::BodyLength => Value::Number(head.body_length),
            Input::Upgrade => Value::Truth(head.upgrade),
            Input::Segment(number) => maybe(head.segment(*number)),
            Input::Query(name) => maybe(head.query(name)),
            Input::Cookie(name) => maybe(head.cookie(name)),
            Input::Header(name) => maybe(head.headers(name).next()),
            Input::Headers(name) => Value::List(head.headers(name).map(Cow::Borrowed).collect()),
        }
    }
}
