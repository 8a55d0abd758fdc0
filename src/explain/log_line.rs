//! One line of a log, taken apart.

use std::{collections, fmt, str, time};

/// When a line was written, by the clock of its process, in microseconds since the epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
pub struct LogTime(pub u64);

impl LogTime {
    /// Time from an earlier line to this one; nothing if it is not later.
    pub fn since(self, earlier: Self) -> time::Duration {
        time::Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// The time so many seconds later.
    pub fn plus_seconds(self, seconds: f64) -> Self {
        Self(self.0 + (seconds.max(0.0) * 1e6) as u64)
    }
}

/// A text is no time.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("'{0}' is no time like 2026-05-04T10:20:30Z")]
pub struct TimeError(String);

impl str::FromStr for LogTime {
    type Err = TimeError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || TimeError(text.to_owned());
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

/// A line.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize)]
pub struct LogLine {
    /// When it was written.
    pub at: LogTime,
    /// The process that wrote it.
    pub process: String,
    /// What happened.
    pub event: String,
    /// The other fields.
    pub fields: collections::BTreeMap<String, String>,
}

impl LogLine {
    /// Takes a line apart; nothing if it is none of this project's.
    ///
    /// `file` names the process where no collector did.
    pub fn parse(text: &str, file: &str) -> Option<Self> {
        let (head, rest) = text.split_once(" [")?;
        let (_, pairs) = rest.split_once("] ")?;
        let mut words: Vec<_> = head.split_whitespace().collect();
        let at = words.pop()?.parse().ok()?;
        let process = words.pop().unwrap_or(file).to_owned();
        let mut fields: collections::BTreeMap<_, _> = split_pairs(pairs).into_iter().collect();
        let event = fields.remove("event")?;
        Some(Self {
            at,
            process,
            event,
            fields,
        })
    }

    /// A field.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.get(name).map(String::as_str)
    }

    /// A field that holds a number.
    pub fn number(&self, name: &str) -> Option<i64> {
        self.field(name)?.parse().ok()
    }

    /// The fields as they stood, by name.
    pub fn details(&self) -> String {
        let fields = self.fields.iter();
        let fields: Vec<_> = fields
            .map(|(name, value)| format!("{name}={value}"))
            .collect();
        fields.join(" ")
    }
}

/// Splits `a=1 b="two words" c=3`. A quoted value may hold quotes: it ends at
/// one behind which nothing or the next field stands.
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

fn split_quoted(text: &str) -> (&str, &str) {
    for (at, _) in text.match_indices('"') {
        let next = &text[at + 1..];
        if next.is_empty() || starts_with_field(next) {
            return (&text[..at], next);
        }
    }
    (text, "")
}

fn starts_with_field(text: &str) -> bool {
    let Some(text) = text.strip_prefix(' ') else {
        return false;
    };
    let name = text.split('=').next().unwrap_or_default();
    let is_name = |c: char| c.is_ascii_lowercase() || c == '_' || c.is_ascii_digit();
    !name.is_empty() && name.len() < text.len() && name.chars().all(is_name)
}
