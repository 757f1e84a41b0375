//! Text to a tree, with the place of each part.

use std::fmt;
use std::ops::Range;

use pest::Parser;
use pest::error::{ErrorVariant, InputLocation};
use pest::iterators::Pair;
use pest_derive::Parser;

#[derive(Parser)]
#[grammar = "grammar.pest"]
struct Grammar;

/// Texts longer than this are refused before they are read.
pub const TEXT_MOST: usize = 16 * 1024;
/// And expressions nested deeper: the reader goes down as deep as the text.
const DEPTH_MOST: usize = 64;

/// One thing wrong with a text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Which bytes of the text.
    pub at: Range<usize>,
    pub found: String,
    pub expected: String,
}

impl Fault {
    /// The fault with its place: `FILE:LINE:COLUMN`, the line, and a caret below.
    pub fn show<'a>(&'a self, file: &'a str, text: &'a str) -> impl fmt::Display + 'a {
        Shown { fault: self, file, text }
    }

    /// Line and column, both from 1; columns count characters.
    pub fn place(&self, text: &str) -> (usize, usize) {
        let before = &text[..self.at.start.min(text.len())];
        let line = before.rsplit('\n').next().unwrap_or_default();
        (before.matches('\n').count() + 1, line.chars().count() + 1)
    }
}

struct Shown<'a> {
    fault: &'a Fault,
    file: &'a str,
    text: &'a str,
}

impl fmt::Display for Shown<'_> {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        let Fault { at, found, expected } = self.fault;
        let (line, column) = self.fault.place(self.text);
        let shown = self.text.lines().nth(line - 1).unwrap_or_default();
        let under = self.text.get(at.clone()).unwrap_or_default().lines().next().unwrap_or_default();
        let carets = "^".repeat(under.chars().count().max(1));
        writeln!(to, "{}:{line}:{column}: found {found}, expected {expected}", self.file)?;
        writeln!(to, "    {shown}")?;
        write!(to, "    {}{carets}", " ".repeat(column - 1))
    }
}

/// How two values are compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Comparison {
    Equal,
    NotEqual,
    AtMost,
    AtLeast,
    Less,
    More,
    In,
}

/// A value that is written down.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Literal {
    Truth(bool),
    Number(i64),
    /// Whole microseconds.
    Duration(i64),
    Text(String),
}

/// A part of an expression, and where it stands.
#[derive(Clone, Debug, PartialEq)]
pub struct Node {
    pub at: Range<usize>,
    pub part: Part,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Part {
    Or(Vec<Node>),
    And(Vec<Node>),
    Not(Box<Node>),
    Compare(Comparison, Box<Node>, Box<Node>),
    /// The first that is there.
    Default(Vec<Node>),
    /// Terms with their signs; true for minus.
    Sum(Vec<(bool, Node)>),
    Call(String, Vec<Node>),
    Name(String),
    List(Vec<Node>),
    Literal(Literal),
}

/// Reads a text; a fault says what could have stood there.
pub fn parse(text: &str) -> Result<Node, Fault> {
    let whole = |found: String, expected: String| Fault { at: 0..text.len().min(1), found, expected };
    if text.len() > TEXT_MOST {
        return Err(whole(format!("{} bytes", text.len()), format!("{TEXT_MOST} bytes at most")));
    }
    let mut depth = 0_usize;
    for (at, byte) in text.bytes().enumerate() {
        match byte {
            b'(' | b'[' => depth += 1,
            b')' | b']' => depth = depth.saturating_sub(1),
            _ => {}
        }
        if depth > DEPTH_MOST {
            let expected = format!("{DEPTH_MOST} levels at most");
            return Err(Fault { at: at..at + 1, found: "a deeper level".to_owned(), expected });
        }
    }
    // `not not not …` goes down a level each.
    if text.split_whitespace().filter(|word| *word == "not").count() > DEPTH_MOST {
        return Err(whole("too many not".to_owned(), format!("{DEPTH_MOST} at most")));
    }
    let parsed = Grammar::parse(Rule::whole, text).map_err(|error| fault(text, &error))?;
    let large = |pair: &Pair<Rule>| pair.as_rule() == Rule::number && pair.as_str().parse::<i64>().is_err();
    if let Some(pair) = parsed.clone().flatten().find(large) {
        let (at, expected) = (pair.as_span().start()..pair.as_span().end(), "a number of 64 bits".to_owned());
        return Err(Fault { at, found: pair.as_str().to_owned(), expected });
    }
    let or = parsed.flat_map(Pair::into_inner).find(|pair| pair.as_rule() == Rule::or);
    or.map(node).ok_or_else(|| whole("nothing".to_owned(), "an expression".to_owned()))
}

fn fault(text: &str, error: &pest::error::Error<Rule>) -> Fault {
    let start = match error.location {
        InputLocation::Pos(at) | InputLocation::Span((at, _)) => at,
    };
    let rest = &text[start..];
    let word = rest.split(|c: char| c.is_whitespace() || "()[],".contains(c)).next().unwrap_or_default();
    let length = if word.is_empty() { rest.chars().next().map_or(0, char::len_utf8) } else { word.len() };
    let found = if length == 0 { "the end".to_owned() } else { format!("{:?}", &rest[..length]) };
    let expected = match &error.variant {
        ErrorVariant::ParsingError { positives, .. } => {
            let mut names: Vec<_> = positives.iter().map(|rule| words(*rule)).collect();
            names.sort_unstable();
            names.dedup();
            names.join(", ")
        }
        ErrorVariant::CustomError { message } => message.clone(),
    };
    Fault { at: start..start + length, found, expected }
}

/// What a rule is called in messages.
fn words(rule: Rule) -> &'static str {
    match rule {
        Rule::word_or => "or",
        Rule::word_and => "and",
        Rule::comparison | Rule::word_in => "a comparison",
        Rule::sign => "+ or -",
        Rule::EOI => "the end",
        Rule::inner | Rule::text => "text in quotes",
        Rule::word_not => "not",
        Rule::literal | Rule::truth | Rule::number | Rule::duration => "a value",
        _ => "an expression",
    }
}

fn node(pair: Pair<Rule>) -> Node {
    let at = pair.as_span().start()..pair.as_span().end();
    let rule = pair.as_rule();
    let text = pair.as_str();
    let inner = || pair.clone().into_inner();
    let part = match rule {
        Rule::or | Rule::and | Rule::default => {
            let word = |pair: &Pair<Rule>| matches!(pair.as_rule(), Rule::word_or | Rule::word_and);
            let mut parts: Vec<_> = inner().filter(|pair| !word(pair)).map(node).collect();
            match (parts.len(), rule) {
                (1, _) => return parts.remove(0),
                (_, Rule::or) => Part::Or(parts),
                (_, Rule::and) => Part::And(parts),
                _ => Part::Default(parts),
            }
        }
        Rule::not => {
            let mut parts: Vec<_> =
                inner().filter(|pair| pair.as_rule() != Rule::word_not).map(node).collect();
            let negated = inner().next().is_some_and(|pair| pair.as_rule() == Rule::word_not);
            let only = parts.remove(0);
            if !negated {
                return only;
            }
            Part::Not(Box::new(only))
        }
        Rule::compare => {
            let mut parts = inner();
            let left = parts.next().map(node);
            let (Some(left), Some(how), Some(right)) = (left.clone(), parts.next(), parts.next()) else {
                return left.unwrap_or(Node { at, part: Part::List(Vec::new()) });
            };
            let how = match how.as_str() {
                "==" => Comparison::Equal,
                "!=" => Comparison::NotEqual,
                "<=" => Comparison::AtMost,
                ">=" => Comparison::AtLeast,
                "<" => Comparison::Less,
                ">" => Comparison::More,
                _ => Comparison::In,
            };
            Part::Compare(how, Box::new(left), Box::new(node(right)))
        }
        Rule::sum => {
            let (mut terms, mut minus) = (Vec::new(), false);
            for pair in inner() {
                if pair.as_rule() == Rule::sign {
                    minus = pair.as_str() == "-";
                } else {
                    terms.push((minus, node(pair)));
                }
            }
            if terms.len() == 1 {
                return terms.remove(0).1;
            }
            Part::Sum(terms)
        }
        Rule::call => {
            let mut parts = inner();
            let name = parts.next().map(|name| name.as_str().to_owned()).unwrap_or_default();
            Part::Call(name, parts.map(node).collect())
        }
        Rule::list => Part::List(inner().map(node).collect()),
        Rule::name => Part::Name(text.to_owned()),
        Rule::truth => Part::Literal(Literal::Truth(text == "true")),
        Rule::number => Part::Literal(Literal::Number(text.parse().unwrap_or_default())),
        Rule::duration => Part::Literal(Literal::Duration(duration(text))),
        Rule::text => {
            let inner = inner().next().map(|inner| inner.as_str().to_owned()).unwrap_or_default();
            Part::Literal(Literal::Text(unescape(&inner)))
        }
        // Rules that only hold one other.
        _ => match inner().next() {
            Some(only) => return node(only),
            None => Part::Name(text.to_owned()),
        },
    };
    Node { at, part }
}

/// A duration in microseconds; as large as can be where it would not fit.
fn duration(text: &str) -> i64 {
    let (digits, unit) = match text {
        us if us.ends_with("us") => (&us[..us.len() - 2], 1.0),
        ms if ms.ends_with("ms") => (&ms[..ms.len() - 2], 1e3),
        s => (&s[..s.len() - 1], 1e6),
    };
    // The cast holds at the type's ends.
    (digits.parse::<f64>().unwrap_or(f64::MAX) * unit).round() as i64
}

fn unescape(text: &str) -> String {
    let mut plain = String::with_capacity(text.len());
    let mut chars = text.chars();
    while let Some(char) = chars.next() {
        match (char, char == '\\') {
            (_, true) => plain.push(match chars.next() {
                Some('n') => '\n',
                Some('t') => '\t',
                Some('r') => '\r',
                Some(other) => other,
                None => '\\',
            }),
            (char, false) => plain.push(char),
        }
    }
    plain
}

/// An expression as text that reads back as the same.
impl fmt::Display for Node {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        let joined = |to: &mut fmt::Formatter, parts: &[Node], by: &str| {
            write!(to, "(")?;
            for (n, part) in parts.iter().enumerate() {
                write!(to, "{}{part}", if n > 0 { by } else { "" })?;
            }
            write!(to, ")")
        };
        match &self.part {
            Part::Or(parts) => joined(to, parts, " or "),
            Part::And(parts) => joined(to, parts, " and "),
            Part::Default(parts) => joined(to, parts, " ?? "),
            Part::Not(part) => write!(to, "(not {part})"),
            Part::Compare(how, left, right) => {
                let how = match how {
                    Comparison::Equal => "==",
                    Comparison::NotEqual => "!=",
                    Comparison::AtMost => "<=",
                    Comparison::AtLeast => ">=",
                    Comparison::Less => "<",
                    Comparison::More => ">",
                    Comparison::In => "in",
                };
                write!(to, "({left} {how} {right})")
            }
            Part::Sum(terms) => {
                write!(to, "(")?;
                for (n, (minus, term)) in terms.iter().enumerate() {
                    write!(
                        to,
                        "{}{term}",
                        if n == 0 {
                            ""
                        } else if *minus {
                            " - "
                        } else {
                            " + "
                        }
                    )?;
                }
                write!(to, ")")
            }
            Part::Call(name, parts) => {
                write!(to, "{name}(")?;
                for (n, part) in parts.iter().enumerate() {
                    write!(to, "{}{part}", if n > 0 { ", " } else { "" })?;
                }
                write!(to, ")")
            }
            Part::Name(name) => write!(to, "{name}"),
            Part::List(parts) => {
                write!(to, "[")?;
                for (n, part) in parts.iter().enumerate() {
                    write!(to, "{}{part}", if n > 0 { ", " } else { "" })?;
                }
                write!(to, "]")
            }
            Part::Literal(Literal::Truth(truth)) => write!(to, "{truth}"),
            Part::Literal(Literal::Number(number)) => write!(to, "{number}"),
            Part::Literal(Literal::Duration(micros)) => write!(to, "{micros}us"),
            Part::Literal(Literal::Text(text)) => {
                let escape = |char| match char {
                    '"' => "\\\"".to_owned(),
                    '\\' => "\\\\".to_owned(),
                    '\n' => "\\n".to_owned(),
                    '\t' => "\\t".to_owned(),
                    '\r' => "\\r".to_owned(),
                    other => String::from(other),
                };
                write!(to, "\"{}\"", text.chars().map(escape).collect::<String>())
            }
        }
    }
}
