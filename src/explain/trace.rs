//! Trace of one request, job, item or endpoint across all processes.

use super::log_line::LogLine;

/// Fields with the identifiers of the entities that a line is about.
const ID_FIELDS: [&str; 4] = ["request", "job", "item", "endpoint"];

/// Returns the lines about the entity with this identifier, sorted by time.
///
/// Lines with equal times keep their order. Since the clocks of processes may differ, the order of
/// lines of different processes is only as exact as their clocks agree.
pub fn trace<'a>(lines: &'a [LogLine], id: &str) -> Vec<&'a LogLine> {
    let is_about = |line: &&LogLine| {
        let mut ids = ID_FIELDS.iter().filter_map(|field| line.field(field));
        ids.any(|found| found == id)
    };
    let mut matching: Vec<_> = lines.iter().filter(is_about).collect();
    matching.sort_by_key(|line| line.at);
    matching
}
