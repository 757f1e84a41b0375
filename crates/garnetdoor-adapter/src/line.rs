//! One line of the wire, taken apart field by field.

use garnetdoor::host::{Micros, parse_seconds};

/// What is wrong with a line, in plain words.
pub struct Bad(pub String);

/// The messages that speak to an instance that runs.
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

pub struct Line<'a> {
    pub name: &'a str,
    parts: std::str::Split<'a, char>,
}

impl<'a> Line<'a> {
    pub fn new(text: &'a str) -> Self {
        let mut parts = text.split('\t');
        Line { name: parts.next().unwrap_or(""), parts }
    }

    pub fn bad(&self, field: &str, what: &str) -> Bad {
        Bad(format!("{}: field {field}: {what}", if self.name.is_empty() { "(empty)" } else { self.name }))
    }

    /// The next part as it stands, if the line has one more.
    pub fn rest(&mut self) -> Option<&'a str> {
        self.parts.next()
    }

    /// The next field; `None` where the wire says that it is absent.
    pub fn optional(&mut self, field: &str) -> Result<Option<&'a str>, Bad> {
        let part = self.parts.next().ok_or_else(|| self.bad(field, "missing"))?;
        Ok((part != "-").then_some(part))
    }

    pub fn need(&mut self, field: &str) -> Result<&'a str, Bad> {
        self.optional(field)?.filter(|part| !part.is_empty()).ok_or_else(|| self.bad(field, "absent"))
    }

    /// Reads a field with `read`, or `None` where it is absent.
    pub fn maybe<T>(
        &mut self, field: &str, read: impl FnOnce(&mut Self, &str) -> Result<T, Bad>,
    ) -> Result<Option<T>, Bad> {
        let ahead = self.parts.clone();
        if self.optional(field)?.is_none() {
            return Ok(None);
        }
        self.parts = ahead;
        read(self, field).map(Some)
    }

    fn read<T>(&mut self, field: &str, what: &str, read: impl Fn(&str) -> Option<T>) -> Result<T, Bad> {
        let part = self.need(field)?;
        read(part).ok_or_else(|| self.bad(field, &format!("'{part}' is not {what}")))
    }

    pub fn whole(&mut self, field: &str) -> Result<u64, Bad> {
        self.read(field, "a whole number", |part| part.parse().ok())
    }

    /// A whole number that may be written with a fraction of nothing.
    pub fn count(&mut self, field: &str) -> Result<u64, Bad> {
        self.read(field, "a whole number", |part| {
            let number: f64 = part.parse().ok()?;
            (number >= 0.0 && number.fract() == 0.0 && number < 1e15).then_some(number as u64)
        })
    }

    pub fn number(&mut self, field: &str) -> Result<f64, Bad> {
        self.read(field, "a number", |part| part.parse().ok().filter(|number: &f64| number.is_finite()))
    }

    pub fn micros(&mut self, field: &str) -> Result<Micros, Bad> {
        self.read(field, "a time in seconds", parse_seconds)
    }

    pub fn hex(&mut self, field: &str) -> Result<u64, Bad> {
        self.read(field, "16 hex digits", |part| u64::from_str_radix(part, 16).ok())
    }

    pub fn flag(&mut self, field: &str) -> Result<bool, Bad> {
        self.read(field, "1 or 0", |part| match part {
            "1" => Some(true),
            "0" => Some(false),
            _ => None,
        })
    }

    /// A load report: figures set apart by commas, any of which may be absent.
    pub fn row(&mut self, field: &str) -> Result<Vec<Option<f64>>, Bad> {
        let Some(part) = self.optional(field)?.filter(|part| !part.is_empty()) else {
            return Ok(Vec::new());
        };
        let figure = |item: &str| match item {
            "-" | "" => Ok(None),
            _ => item.parse().map(Some).map_err(|_| self.bad(field, &format!("'{item}' is not a number"))),
        };
        part.split(',').map(figure).collect()
    }
}
