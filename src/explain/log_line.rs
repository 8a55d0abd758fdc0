//! Parser for lines of the structured log.

use std::{collections, fmt, str, time};

/// Time at which a line was written, by the clock of its process, in microseconds since the Unix
/// epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
pub struct LogTime(pub u64);

impl LogTime {
    /// Returns the time since `earlier`, or zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> time::Duration {
        time::Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the time `seconds` later; a negative number counts as zero.
    pub fn plus_seconds(self, seconds: f64) -> Self {
        Self(self.0 + (seconds.max(0.0) * 1e6) as u64)
    }
}

/// Error for a text that is not an RFC 3339 time in UTC since the Unix epoch.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("'{0}' is not a time such as 2026-05-04T10:20:30Z")]
pub struct LogTimeError(String);

impl str::FromStr for LogTime {
    type Err = LogTimeError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || LogTimeError(text.to_owned());
        let time = humantime::parse_rfc3339(text).map_err(|_| error())?;
        let since = time.duration_since(time::UNIX_EPOCH).map_err(|_| error())?;
        Ok(Self(since.as_micros() as u64))
    }
}

impl fmt::Display for LogTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let time = time::UNIX_EPOCH + time::Duration::from_micros(self.0);
        write!(f, "{}", humantime::format_rfc3339_micros(time))
    }
}

/// Parsed line of a log.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize)]
pub struct LogLine {
    /// Time at which the line was written.
    pub at: LogTime,
    /// Name of the process that wrote the line.
    pub process: String,
    /// Name of the event, from the field `event`.
    pub event: String,
    /// Other fields, by name.
    pub fields: collections::BTreeMap<String, String>,
}

impl LogLine {
    /// Parses a line; returns `None` if it is not in the format of this project's logs.
    ///
    /// `file` is used as the name of the process if the line has none from a log collector.
    pub fn parse(text: &str, file: &str) -> Option<Self> {
        let (head, rest) = text.split_once(" [")?;
        let (_, pairs) = rest.split_once("] ")?;
        let mut head_parts: Vec<_> = head.split_whitespace().collect();
        let at = head_parts.pop()?.parse().ok()?;
        let process = head_parts.pop().unwrap_or(file).to_owned();
        let mut fields: collections::BTreeMap<_, _> = split_pairs(pairs).into_iter().collect();
        let event = fields.remove("event")?;
        Some(Self {
            at,
            process,
            event,
            fields,
        })
    }

    /// Returns the value of a field.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.get(name).map(String::as_str)
    }

    /// Returns the value of a field as an integer, or `None` if it is missing or not an integer.
    pub fn number(&self, name: &str) -> Option<i64> {
        self.field(name)?.parse().ok()
    }

    /// Returns the fields as `name=value`, sorted by name and without quotes.
    pub fn details(&self) -> String {
        let fields = self.fields.iter();
        let fields: Vec<_> = fields
            .map(|(name, value)| format!("{name}={value}"))
            .collect();
        fields.join(" ")
    }
}

/// Splits pairs such as `a=1 b="two words" c=3`.
///
/// Quotes inside a quoted value are not escaped: the value ends at the first quote that is followed
/// by the next field or the end of the line.
fn split_pairs(text: &str) -> Vec<(String, String)> {
    let mut pairs = Vec::new();
    let mut rest = text.trim_end();
    while let Some((name, after)) = rest.split_once('=') {
        let (value, next) = match after.strip_prefix('"') {
            Some(quoted) => split_quoted(quoted),
            None => after.split_once(' ').unwrap_or((after, "")),
        };
        pairs.push((name.trim().to_owned(), value.to_owned()));
        rest = next.trim_start();
    }
    pairs
}

/// Splits a text behind its opening quote into the quoted value and the rest of the line.
fn split_quoted(text: &str) -> (&str, &str) {
    for (at, _) in text.match_indices('"') {
        let next = &text[at + 1..];
        if next.is_empty() || starts_with_field(next) {
            return (&text[..at], next);
        }
    }
    (text, "")
}

/// Returns whether a text begins with a space and `name=`.
fn starts_with_field(text: &str) -> bool {
    let Some(text) = text.strip_prefix(' ') else {
        return false;
    };
    let name = text.split('=').next().unwrap_or_default();
    let is_name = |c: char| c.is_ascii_lowercase() || c == '_' || c.is_ascii_digit();
    !name.is_empty() && name.len() < text.len() && name.chars().all(is_name)
}
