//! Parsing of the lines of input, field by field.

use garnetdoor::host::{Micros, parse_seconds};

/// What is wrong with a line, for people.
pub struct ParseError(pub String);

/// The messages about events at a running instance.
pub const EVENTS: [&str; 11] = [
    "PEERS_KNOWN",
    "CALL",
    "STARTED",
    "FINISHED",
    "WITHDRAWN",
    "TICK_DUE",
    "CHECKED",
    "MEMO",
    "TRIAL_NEWS",
    "SCORECARD",
    "RETURNED",
];

/// A line: the name of its message, and the fields that have not been read yet, separated by tabs.
pub struct Line<'a> {
    pub name: &'a str,
    fields: std::str::Split<'a, char>,
}

impl<'a> Line<'a> {
    pub fn new(text: &'a str) -> Self {
        let mut fields = text.split('\t');
        Line { name: fields.next().unwrap_or(""), fields }
    }

    /// An error about a field of this line.
    pub fn error(&self, field: &str, problem: &str) -> ParseError {
        let name = if self.name.is_empty() { "(empty)" } else { self.name };
        ParseError(format!("{name}: field {field}: {problem}"))
    }

    /// The next field as it is, if the line has one more.
    pub fn next_field(&mut self) -> Option<&'a str> {
        self.fields.next()
    }

    /// The next field; `None` if it is marked as absent.
    pub fn optional(&mut self, field: &str) -> Result<Option<&'a str>, ParseError> {
        let part = self.fields.next().ok_or_else(|| self.error(field, "missing"))?;
        Ok((part != "-").then_some(part))
    }

    /// The next field, which must not be absent or empty.
    pub fn required(&mut self, field: &str) -> Result<&'a str, ParseError> {
        self.optional(field)?.filter(|part| !part.is_empty()).ok_or_else(|| self.error(field, "absent"))
    }

    /// Reads the next field with `read`; `None` if it is marked as absent.
    pub fn optional_with<T>(
        &mut self, field: &str, read: impl FnOnce(&mut Self, &str) -> Result<T, ParseError>,
    ) -> Result<Option<T>, ParseError> {
        let before = self.fields.clone();
        if self.optional(field)?.is_none() {
            return Ok(None);
        }
        self.fields = before;
        read(self, field).map(Some)
    }

    fn read<T>(
        &mut self, field: &str, expected: &str, read: impl Fn(&str) -> Option<T>,
    ) -> Result<T, ParseError> {
        let part = self.required(field)?;
        read(part).ok_or_else(|| self.error(field, &format!("'{part}' is not {expected}")))
    }

    /// The next field as a whole number.
    pub fn whole(&mut self, field: &str) -> Result<u64, ParseError> {
        self.read(field, "a whole number", |part| part.parse().ok())
    }

    /// The next field as a whole number, which may be written with a fraction of zero.
    pub fn count(&mut self, field: &str) -> Result<u64, ParseError> {
        self.read(field, "a whole number", |part| {
            let number: f64 = part.parse().ok()?;
            (number >= 0.0 && number.fract() == 0.0 && number < 1e15).then_some(number as u64)
        })
    }

    /// The next field as a finite number.
    pub fn number(&mut self, field: &str) -> Result<f64, ParseError> {
        self.read(field, "a number", |part| part.parse().ok().filter(|number: &f64| number.is_finite()))
    }

    /// The next field, a time in seconds.
    pub fn micros(&mut self, field: &str) -> Result<Micros, ParseError> {
        self.read(field, "a time in seconds", parse_seconds)
    }

    /// The next field, a hexadecimal number.
    pub fn hex(&mut self, field: &str) -> Result<u64, ParseError> {
        self.read(field, "16 hex digits", |part| u64::from_str_radix(part, 16).ok())
    }

    /// The next field, true or false as 1 or 0.
    pub fn flag(&mut self, field: &str) -> Result<bool, ParseError> {
        self.read(field, "1 or 0", |part| match part {
            "1" => Some(true),
            "0" => Some(false),
            _ => None,
        })
    }

    /// The next field, a load report: numbers separated by commas, any of which may be absent.
    pub fn load_report(&mut self, field: &str) -> Result<Vec<Option<f64>>, ParseError> {
        let Some(part) = self.optional(field)?.filter(|part| !part.is_empty()) else {
            return Ok(Vec::new());
        };
        let number = |item: &str| match item {
            "-" | "" => Ok(None),
            _ => item.parse().map(Some).map_err(|_| self.error(field, &format!("'{item}' is not a number"))),
        };
        part.split(',').map(number).collect()
    }
}
