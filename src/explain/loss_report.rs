//! What was late or lost in a span of time, by cause.

use std::collections;

use super::log_line::{LogLine, LogTime};

/// Requests or jobs that were lost or late for one cause.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize)]
pub struct LossRow {
    /// The route, or `jobs`.
    pub route: String,
    /// Why.
    pub cause: String,
    /// How many.
    pub count: usize,
    /// Longest time to the first event or the end of one of them, in milliseconds.
    pub worst_ms: i64,
    /// The name of one, to go on with.
    pub example: String,
}

/// What happened to the requests and jobs of a span of time.
#[derive(Debug, Clone, Default, PartialEq, Eq, serde::Serialize)]
pub struct LossReport {
    /// Requests that ended in the span.
    pub requests: usize,
    /// Of those, the ones that were answered within their objective.
    pub requests_in_time: usize,
    /// Jobs that were submitted in the span.
    pub jobs: usize,
    /// Of those, the ones that were accepted at once and done when due, or ended by their callers.
    pub jobs_in_time: usize,
    /// The others, the most frequent cause first.
    pub rows: Vec<LossRow>,
}

/// Time within which the acceptance of a job is at once, in milliseconds.
const ACCEPTED_AT_ONCE_MS: u128 = 400;

/// Works out what was lost between two times.
pub fn report(lines: &[LogLine], from: LogTime, to: LogTime) -> LossReport {
    let mut report = LossReport::default();
    let mut rows = collections::BTreeMap::new();
    let within = |at: LogTime| from <= at && at < to;
    let attempts = last_attempts(lines);
    for line in lines
        .iter()
        .filter(|l| l.event == "request_end" && within(l.at))
    {
        report.requests += 1;
        match request_cause(line, &attempts) {
            None => report.requests_in_time += 1,
            Some(cause) => {
                let spent = line.number("first_ms").or(line.number("ms"));
                let route = line.field("route").unwrap_or("-");
                add(
                    &mut rows,
                    route,
                    cause,
                    spent.unwrap_or(0),
                    line.field("request"),
                );
            }
        }
    }
    for (id, job) in jobs(lines) {
        if !job.submitted.is_some_and(within) {
            continue;
        }
        report.jobs += 1;
        match job.cause() {
            None => report.jobs_in_time += 1,
            Some(cause) => add(&mut rows, "jobs", cause, job.spent_ms(), Some(id)),
        }
    }
    report.rows = rows.into_values().collect();
    report
        .rows
        .sort_by_key(|row: &LossRow| std::cmp::Reverse(row.count));
    report
}

/// What was lost in each step of a span, with the seconds from its begin to the step.
pub fn steps(lines: &[LogLine], from: LogTime, to: LogTime, step_s: f64) -> Vec<(f64, LossReport)> {
    let mut steps = Vec::new();
    for number in 0.. {
        let after_s = f64::from(number) * step_s;
        let begin = from.plus_seconds(after_s);
        if begin >= to {
            break;
        }
        let end = from.plus_seconds(after_s + step_s).min(to);
        steps.push((after_s, report(lines, begin, end)));
    }
    steps
}

type RowTable = collections::BTreeMap<(String, String), LossRow>;

fn add(rows: &mut RowTable, route: &str, cause: String, spent_ms: i64, id: Option<&str>) {
    let row = rows.entry((route.to_owned(), cause.clone()));
    let row = row.or_insert_with(|| LossRow {
        route: route.to_owned(),
        cause,
        count: 0,
        worst_ms: 0,
        example: String::new(),
    });
    row.count += 1;
    if spent_ms >= row.worst_ms {
        row.worst_ms = spent_ms;
        row.example = id.unwrap_or("-").to_owned();
    }
}

/// The latest word on why an attempt of each request gave no answer.
fn last_attempts(lines: &[LogLine]) -> collections::HashMap<&str, &LogLine> {
    let attempts = lines.iter().filter(|line| line.event == "attempt");
    let named = attempts.filter_map(|line| Some((line.field("request")?, line)));
    named.collect()
}

/// Why a request was late or lost; nothing if it was in time.
fn request_cause(
    line: &LogLine,
    attempts: &collections::HashMap<&str, &LogLine>,
) -> Option<String> {
    let outcome = line.field("outcome").unwrap_or("-");
    let attempt = line.field("request").and_then(|id| attempts.get(id));
    let reason = attempt.map(|line| {
        let reason = line.field("why").filter(|reason| !reason.is_empty());
        without_numbers(reason.or(line.field("outcome")).unwrap_or("-"))
    });
    let first_ms = line.number("first_ms").or(line.number("ms"))?;
    let is_late = line
        .number("objective_ms")
        .is_some_and(|aim| first_ms > aim);
    match (outcome, reason) {
        ("answered", _) if !is_late => None,
        ("answered", Some(reason)) => Some(format!("late after an attempt: {reason}")),
        ("answered", None) => Some("late at its first endpoint".into()),
        ("refused", None) => Some("refused: no place".into()),
        (outcome, Some(reason)) => Some(format!("{outcome}: {reason}")),
        (outcome, None) => Some(outcome.to_owned()),
    }
}

/// A reason without its numbers, so that equal reasons are counted together.
fn without_numbers(text: &str) -> String {
    let mut plain = String::new();
    for c in text.chars() {
        match c.is_ascii_digit() {
            true if plain.ends_with('N') => {}
            true => plain.push('N'),
            false => plain.push(c),
        }
    }
    plain
}

/// What the logs tell of a job.
#[derive(Debug, Default)]
struct JobStory {
    submitted: Option<LogTime>,
    accepted: Option<LogTime>,
    items: i64,
    due_ms: Option<u64>,
    owners: Vec<String>,
    results: i64,
    done: Option<LogTime>,
    is_ended: bool,
    /// Commits that the store did not take.
    uncommitted: usize,
    /// Runs whose place went to an online request.
    preempted: usize,
}

impl JobStory {
    fn spent_ms(&self) -> i64 {
        let times = self.submitted.zip(self.done);
        times.map_or(0, |(from, to)| to.since(from).as_millis() as i64)
    }

    fn is_late(&self) -> bool {
        let due = self.due_ms.map(|ms| LogTime(ms * 1000));
        match (self.done, due) {
            (Some(done), Some(due)) => done > due,
            _ => true,
        }
    }

    /// Why it was late or lost; nothing if it was in time or its caller ended it.
    fn cause(&self) -> Option<String> {
        let (Some(submitted), Some(accepted)) = (self.submitted, self.accepted) else {
            return Some("never accepted".into());
        };
        if accepted.since(submitted).as_millis() > ACCEPTED_AT_ONCE_MS {
            return Some("accepted late: the store took it late".into());
        }
        if self.is_ended || !self.is_late() {
            return None;
        }
        let how = match self.done {
            Some(_) => "late",
            None => "not done in the logs",
        };
        let reason = match (self.uncommitted, self.owners.len(), self.preempted) {
            (1.., _, _) => "the store did not take results",
            (0, 2.., _) => "its owner changed",
            (0, _, 1..) => "its items lost places to online requests",
            _ => "it waited or ran long",
        };
        Some(format!("{how}: {reason}"))
    }

    fn take_due(&mut self, line: &LogLine) {
        let due_ms = line.field("due_ms").and_then(|ms| ms.parse().ok());
        self.due_ms = due_ms.or(self.due_ms);
    }

    fn take(&mut self, line: &LogLine) {
        match line.event.as_str() {
            "job_submitted" => {
                self.submitted = Some(self.submitted.map_or(line.at, |at| at.min(line.at)));
                self.items = line.number("items").unwrap_or(0);
                if line.field("outcome") == Some("Accepted") && self.accepted.is_none() {
                    self.accepted = Some(line.at);
                }
            }
            "job_due" => self.take_due(line),
            "job_taken" => {
                self.take_due(line);
                if !self.owners.contains(&line.process) {
                    self.owners.push(line.process.clone());
                }
            }
            "results_committed" => {
                self.results += line.number("results").unwrap_or(0);
                if self.results >= self.items {
                    self.done = self.done.or(Some(line.at));
                }
            }
            "results_uncommitted" => self.uncommitted += 1,
            "item_run" if line.field("end") == Some("Preempted") => self.preempted += 1,
            "job_ended" | "end_accepted" => self.is_ended = true,
            _ => {}
        }
    }
}

fn jobs(lines: &[LogLine]) -> collections::BTreeMap<&str, JobStory> {
    let mut jobs = collections::BTreeMap::<_, JobStory>::new();
    for line in lines {
        if let Some(id) = line.field("job") {
            jobs.entry(id).or_default().take(line);
        }
    }
    jobs
}
