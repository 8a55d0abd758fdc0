//! The path of one request, job or item over all processes.

use super::log_line::LogLine;

/// Fields that name what a line is about.
const NAMING_FIELDS: [&str; 4] = ["request", "job", "item", "endpoint"];

/// The lines about something of this name, in order of time.
///
/// Clocks of processes may differ: lines of one process are in their order,
/// those of two processes as far as their clocks agree.
pub fn trace<'a>(lines: &'a [LogLine], id: &str) -> Vec<&'a LogLine> {
    let is_about = |line: &&LogLine| {
        let mut names = NAMING_FIELDS.iter().filter_map(|name| line.field(name));
        names.any(|name| name == id)
    };
    let mut found: Vec<_> = lines.iter().filter(is_about).collect();
    found.sort_by_key(|line| line.at);
    found
}
