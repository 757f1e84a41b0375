//! The parser: from text to a tree whose nodes know their place in the text.

use std::fmt;
use std::ops::Range;

use pest::Parser;
use pest::error::{ErrorVariant, InputLocation};
use pest::iterators::Pair;
use pest_derive::Parser;

#[derive(Parser)]
#[grammar = "grammar.pest"]
struct Grammar;

/// The longest text that is parsed, in bytes.
pub const MAX_TEXT_BYTES: usize = 16 * 1024;
/// The deepest nesting of an expression: the parser recurses as deep as the text nests.
const MAX_DEPTH: usize = 64;

/// An error in the text of an expression.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExprError {
    /// The bytes of the text that it concerns.
    pub span: Range<usize>,
    pub found: String,
    pub expected: String,
}

impl ExprError {
    /// The error as `FILE:LINE:COLUMN: found …, expected …`, the line of the text, and carets below the place.
    pub fn display<'a>(&'a self, file: &'a str, text: &'a str) -> impl fmt::Display + 'a {
        ErrorDisplay { error: self, file, text }
    }

    /// Line and column, both from 1; columns count characters.
    pub fn line_and_column(&self, text: &str) -> (usize, usize) {
        let before = &text[..self.span.start.min(text.len())];
        let line = before.rsplit('\n').next().unwrap_or_default();
        (before.matches('\n').count() + 1, line.chars().count() + 1)
    }
}

struct ErrorDisplay<'a> {
    error: &'a ExprError,
    file: &'a str,
    text: &'a str,
}

impl fmt::Display for ErrorDisplay<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        let ExprError { span, found, expected } = self.error;
        let (line, column) = self.error.line_and_column(self.text);
        let source_line = self.text.lines().nth(line - 1).unwrap_or_default();
        let marked = self.text.get(span.clone()).unwrap_or_default().lines().next().unwrap_or_default();
        let carets = "^".repeat(marked.chars().count().max(1));
        writeln!(formatter, "{}:{line}:{column}: found {found}, expected {expected}", self.file)?;
        writeln!(formatter, "    {source_line}")?;
        write!(formatter, "    {}{carets}", " ".repeat(column - 1))
    }
}

/// A comparison operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Comparison {
    Equal,
    NotEqual,
    LessOrEqual,
    GreaterOrEqual,
    Less,
    Greater,
    In,
}

/// A literal value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Literal {
    Bool(bool),
    Number(i64),
    /// In microseconds.
    Duration(i64),
    Text(String),
}

/// A node of the syntax tree with the bytes of the text that it was parsed from.
#[derive(Clone, Debug, PartialEq)]
pub struct Node {
    pub span: Range<usize>,
    pub kind: NodeKind,
}

/// What a node is.
#[derive(Clone, Debug, PartialEq)]
pub enum NodeKind {
    Or(Vec<Node>),
    And(Vec<Node>),
    Not(Box<Node>),
    Compare(Comparison, Box<Node>, Box<Node>),
    /// Operands of `??`: the first that is present.
    Coalesce(Vec<Node>),
    /// Terms, each with whether it is subtracted.
    Sum(Vec<(bool, Node)>),
    /// A function's name and its arguments.
    Call(String, Vec<Node>),
    Name(String),
    List(Vec<Node>),
    Literal(Literal),
}

/// Parses a text. An error says what could stand at its place.
pub fn parse(text: &str) -> Result<Node, ExprError> {
    let text_error =
        |found: String, expected: String| ExprError { span: 0..text.len().min(1), found, expected };
    if text.len() > MAX_TEXT_BYTES {
        return Err(text_error(format!("{} bytes", text.len()), format!("{MAX_TEXT_BYTES} bytes at most")));
    }
    check_nesting(text)?;
    // Each `not` of `not not not …` is a level of recursion.
    if text.split_whitespace().filter(|word| *word == "not").count() > MAX_DEPTH {
        return Err(text_error("too many not".to_owned(), format!("{MAX_DEPTH} at most")));
    }
    let parsed = Grammar::parse(Rule::program, text).map_err(|error| syntax_error(text, &error))?;
    let is_too_large =
        |pair: &Pair<Rule>| pair.as_rule() == Rule::number && pair.as_str().parse::<i64>().is_err();
    if let Some(pair) = parsed.clone().flatten().find(is_too_large) {
        let (span, expected) =
            (pair.as_span().start()..pair.as_span().end(), "a number of 64 bits".to_owned());
        return Err(ExprError { span, found: pair.as_str().to_owned(), expected });
    }
    let or = parsed.flat_map(Pair::into_inner).find(|pair| pair.as_rule() == Rule::or);
    or.map(node).ok_or_else(|| text_error("nothing".to_owned(), "an expression".to_owned()))
}

/// Refuses parentheses and brackets that nest deeper than [`MAX_DEPTH`].
fn check_nesting(text: &str) -> Result<(), ExprError> {
    let mut depth = 0_usize;
    for (position, byte) in text.bytes().enumerate() {
        match byte {
            b'(' | b'[' => depth += 1,
            b')' | b']' => depth = depth.saturating_sub(1),
            _ => {}
        }
        if depth > MAX_DEPTH {
            let expected = format!("{MAX_DEPTH} levels at most");
            return Err(ExprError {
                span: position..position + 1,
                found: "a deeper level".to_owned(),
                expected,
            });
        }
    }
    Ok(())
}

/// Translates an error of the parser.
fn syntax_error(text: &str, error: &pest::error::Error<Rule>) -> ExprError {
    let start = match error.location {
        InputLocation::Pos(at) | InputLocation::Span((at, _)) => at,
    };
    let rest = &text[start..];
    let word = rest.split(|c: char| c.is_whitespace() || "()[],".contains(c)).next().unwrap_or_default();
    let length = if word.is_empty() { rest.chars().next().map_or(0, char::len_utf8) } else { word.len() };
    let found = if length == 0 { "the end".to_owned() } else { format!("{:?}", &rest[..length]) };
    let expected = match &error.variant {
        ErrorVariant::ParsingError { positives, .. } => {
            let mut names: Vec<_> = positives.iter().map(|rule| rule_name(*rule)).collect();
            names.sort_unstable();
            names.dedup();
            names.join(", ")
        }
        ErrorVariant::CustomError { message } => message.clone(),
    };
    ExprError { span: start..start + length, found, expected }
}

/// The name of a rule in error messages.
fn rule_name(rule: Rule) -> &'static str {
    match rule {
        Rule::word_or => "or",
        Rule::word_and => "and",
        Rule::comparison | Rule::word_in => "a comparison",
        Rule::sign => "+ or -",
        Rule::EOI => "the end",
        Rule::content | Rule::text => "text in quotes",
        Rule::word_not => "not",
        Rule::literal | Rule::boolean | Rule::number | Rule::duration => "a value",
        _ => "an expression",
    }
}

/// Builds the node of a parsed rule. Rules that hold only one other, such as a sum of one term, get no node of their own.
fn node(pair: Pair<Rule>) -> Node {
    let span = pair.as_span().start()..pair.as_span().end();
    let rule = pair.as_rule();
    let text = pair.as_str();
    let inner = || pair.clone().into_inner();
    let kind = match rule {
        Rule::or | Rule::and | Rule::coalesce => {
            let is_keyword = |pair: &Pair<Rule>| matches!(pair.as_rule(), Rule::word_or | Rule::word_and);
            let mut parts: Vec<_> = inner().filter(|pair| !is_keyword(pair)).map(node).collect();
            match (parts.len(), rule) {
                (1, _) => return parts.remove(0),
                (_, Rule::or) => NodeKind::Or(parts),
                (_, Rule::and) => NodeKind::And(parts),
                _ => NodeKind::Coalesce(parts),
            }
        }
        Rule::not => {
            let mut parts: Vec<_> =
                inner().filter(|pair| pair.as_rule() != Rule::word_not).map(node).collect();
            let negated = inner().next().is_some_and(|pair| pair.as_rule() == Rule::word_not);
            let operand = parts.remove(0);
            if !negated {
                return operand;
            }
            NodeKind::Not(Box::new(operand))
        }
        Rule::compare => {
            let mut parts = inner();
            let left = parts.next().map(node);
            let (Some(left), Some(operator), Some(right)) = (left.clone(), parts.next(), parts.next()) else {
                return left.unwrap_or(Node { span, kind: NodeKind::List(Vec::new()) });
            };
            let comparison = match operator.as_str() {
                "==" => Comparison::Equal,
                "!=" => Comparison::NotEqual,
                "<=" => Comparison::LessOrEqual,
                ">=" => Comparison::GreaterOrEqual,
                "<" => Comparison::Less,
                ">" => Comparison::Greater,
                _ => Comparison::In,
            };
            NodeKind::Compare(comparison, Box::new(left), Box::new(node(right)))
        }
        Rule::sum => {
            let (mut terms, mut is_subtracted) = (Vec::new(), false);
            for pair in inner() {
                if pair.as_rule() == Rule::sign {
                    is_subtracted = pair.as_str() == "-";
                } else {
                    terms.push((is_subtracted, node(pair)));
                }
            }
            if terms.len() == 1 {
                return terms.remove(0).1;
            }
            NodeKind::Sum(terms)
        }
        Rule::call => {
            let mut parts = inner();
            let name = parts.next().map(|name| name.as_str().to_owned()).unwrap_or_default();
            NodeKind::Call(name, parts.map(node).collect())
        }
        Rule::list => NodeKind::List(inner().map(node).collect()),
        Rule::name => NodeKind::Name(text.to_owned()),
        Rule::boolean => NodeKind::Literal(Literal::Bool(text == "true")),
        Rule::number => NodeKind::Literal(Literal::Number(text.parse().unwrap_or_default())),
        Rule::duration => NodeKind::Literal(Literal::Duration(duration(text))),
        Rule::text => {
            let content = inner().next().map(|content| content.as_str().to_owned()).unwrap_or_default();
            NodeKind::Literal(Literal::Text(unescape(&content)))
        }
        // Rules that hold only one other.
        _ => match inner().next() {
            Some(only) => return node(only),
            None => NodeKind::Name(text.to_owned()),
        },
    };
    Node { span, kind }
}

/// A duration in microseconds, saturated if it does not fit.
fn duration(text: &str) -> i64 {
    let (digits, micros_per_unit) = match text {
        us if us.ends_with("us") => (&us[..us.len() - 2], 1.0),
        ms if ms.ends_with("ms") => (&ms[..ms.len() - 2], 1e3),
        s => (&s[..s.len() - 1], 1e6),
    };
    // The cast saturates.
    (digits.parse::<f64>().unwrap_or(f64::MAX) * micros_per_unit).round() as i64
}

/// Replaces the escapes in the content of a quoted text.
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

/// Formats an expression as text that parses to the same tree.
impl fmt::Display for Node {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        match &self.kind {
            NodeKind::Or(parts) => write_list(formatter, ["(", " or ", ")"], parts),
            NodeKind::And(parts) => write_list(formatter, ["(", " and ", ")"], parts),
            NodeKind::Coalesce(parts) => write_list(formatter, ["(", " ?? ", ")"], parts),
            NodeKind::Not(part) => write!(formatter, "(not {part})"),
            NodeKind::Compare(comparison, left, right) => {
                write!(formatter, "({left} {} {right})", comparison.symbol())
            }
            NodeKind::Sum(terms) => write_sum(formatter, terms),
            NodeKind::Call(name, arguments) => {
                write!(formatter, "{name}")?;
                write_list(formatter, ["(", ", ", ")"], arguments)
            }
            NodeKind::Name(name) => write!(formatter, "{name}"),
            NodeKind::List(items) => write_list(formatter, ["[", ", ", "]"], items),
            NodeKind::Literal(Literal::Bool(value)) => write!(formatter, "{value}"),
            NodeKind::Literal(Literal::Number(number)) => write!(formatter, "{number}"),
            NodeKind::Literal(Literal::Duration(micros)) => write!(formatter, "{micros}us"),
            NodeKind::Literal(Literal::Text(text)) => write!(formatter, "\"{}\"", escape(text)),
        }
    }
}

impl Comparison {
    /// The operator as it is written in an expression.
    fn symbol(self) -> &'static str {
        match self {
            Comparison::Equal => "==",
            Comparison::NotEqual => "!=",
            Comparison::LessOrEqual => "<=",
            Comparison::GreaterOrEqual => ">=",
            Comparison::Less => "<",
            Comparison::Greater => ">",
            Comparison::In => "in",
        }
    }
}

/// Writes nodes with what stands before, between and after them.
fn write_list(formatter: &mut fmt::Formatter, marks: [&str; 3], nodes: &[Node]) -> fmt::Result {
    let [open, separator, close] = marks;
    write!(formatter, "{open}")?;
    for (index, node) in nodes.iter().enumerate() {
        write!(formatter, "{}{node}", if index > 0 { separator } else { "" })?;
    }
    write!(formatter, "{close}")
}

fn write_sum(formatter: &mut fmt::Formatter, terms: &[(bool, Node)]) -> fmt::Result {
    write!(formatter, "(")?;
    for (index, (is_subtracted, term)) in terms.iter().enumerate() {
        let sign = match (index, is_subtracted) {
            (0, _) => "",
            (_, true) => " - ",
            (_, false) => " + ",
        };
        write!(formatter, "{sign}{term}")?;
    }
    write!(formatter, ")")
}

/// Escapes a text so that it can stand between quotes.
fn escape(text: &str) -> String {
    let escape_char = |char| match char {
        '"' => "\\\"".to_owned(),
        '\\' => "\\\\".to_owned(),
        '\n' => "\\n".to_owned(),
        '\t' => "\\t".to_owned(),
        '\r' => "\\r".to_owned(),
        other => String::from(other),
    };
    text.chars().map(escape_char).collect()
}
