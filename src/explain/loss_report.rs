//! Report on the late and lost requests and jobs of a period, by cause.

use std::collections;

use super::log_line::{LogLine, LogTime};

/// Number of requests of one route, or of jobs, that were late or lost for one cause.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize)]
pub struct LossRow {
    /// Name of the route, or `jobs`.
    pub route: String,
    /// Cause of the loss or delay.
    pub cause: String,
    /// Number of requests or jobs.
    pub count: usize,
    /// Longest time in milliseconds: for a request to its first event, or to its end if it had none;
    /// for a job from its submission to its completion, or 0 if it was not completed.
    pub worst_ms: i64,
    /// Identifier of the request or job with the longest time, for a trace.
    pub example: String,
}

/// Outcome of the requests and jobs of a period.
#[derive(Debug, Clone, Default, PartialEq, Eq, serde::Serialize)]
pub struct LossReport {
    /// Number of requests that ended in the period.
    pub requests: usize,
    /// Number of these requests that were answered within their objective.
    pub requests_in_time: usize,
    /// Number of jobs that were submitted in the period.
    pub jobs: usize,
    /// Number of these jobs that were accepted within `MAX_ACCEPTANCE_MS`, and were either completed
    /// when due or ended by their callers.
    pub jobs_in_time: usize,
    /// Late and lost requests and jobs, with the most frequent cause first.
    pub rows: Vec<LossRow>,
}

/// Longest time from submission to acceptance for which a job counts as in time, in milliseconds.
const MAX_ACCEPTANCE_MS: u128 = 400;

/// Reports on the requests that ended and the jobs that were submitted from `from` until before
/// `to`.
pub fn report(lines: &[LogLine], from: LogTime, to: LogTime) -> LossReport {
    let mut report = LossReport::default();
    let mut rows = collections::BTreeMap::new();
    let in_period = |at: LogTime| from <= at && at < to;
    let attempts = last_attempts(lines);
    for line in lines
        .iter()
        .filter(|l| l.event == "request_end" && in_period(l.at))
    {
        report.requests += 1;
        match request_cause(line, &attempts) {
            None => report.requests_in_time += 1,
            Some(cause) => {
                let spent = line.number("first_ms").or(line.number("ms"));
                let route = line.field("route").unwrap_or("-");
                add_loss(
                    &mut rows,
                    route,
                    cause,
                    spent.unwrap_or(0),
                    line.field("request"),
                );
            }
        }
    }
    for (id, job) in job_histories(lines) {
        if !job.submitted.is_some_and(in_period) {
            continue;
        }
        report.jobs += 1;
        match job.cause() {
            None => report.jobs_in_time += 1,
            Some(cause) => add_loss(&mut rows, "jobs", cause, job.spent_ms(), Some(id)),
        }
    }
    report.rows = rows.into_values().collect();
    report
        .rows
        .sort_by_key(|row: &LossRow| std::cmp::Reverse(row.count));
    report
}

/// Reports on each step of `step_s` seconds between two times, with the seconds from `from` to the
/// start of the step.
pub fn steps(lines: &[LogLine], from: LogTime, to: LogTime, step_s: f64) -> Vec<(f64, LossReport)> {
    let mut steps = Vec::new();
    for number in 0.. {
        let after_s = f64::from(number) * step_s;
        let start = from.plus_seconds(after_s);
        if start >= to {
            break;
        }
        let end = from.plus_seconds(after_s + step_s).min(to);
        steps.push((after_s, report(lines, start, end)));
    }
    steps
}

type RowTable = collections::BTreeMap<(String, String), LossRow>;

/// Adds one late or lost request or job to its row.
fn add_loss(rows: &mut RowTable, route: &str, cause: String, spent_ms: i64, id: Option<&str>) {
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

/// Returns the last `attempt` line of each request in `lines`, which states why that attempt failed.
fn last_attempts(lines: &[LogLine]) -> collections::HashMap<&str, &LogLine> {
    let attempts = lines.iter().filter(|line| line.event == "attempt");
    let by_request = attempts.filter_map(|line| Some((line.field("request")?, line)));
    by_request.collect()
}

/// Returns why a request was late or lost, or `None` if it was in time.
fn request_cause(
    line: &LogLine,
    attempts: &collections::HashMap<&str, &LogLine>,
) -> Option<String> {
    let outcome = line.field("outcome").unwrap_or("-");
    let attempt = line.field("request").and_then(|id| attempts.get(id));
    let reason = attempt.map(|line| {
        let reason = line.field("why").filter(|reason| !reason.is_empty());
        mask_numbers(reason.or(line.field("outcome")).unwrap_or("-"))
    });
    let first_ms = line.number("first_ms").or(line.number("ms"))?;
    let is_late = line
        .number("objective_ms")
        .is_some_and(|objective_ms| first_ms > objective_ms);
    match (outcome, reason) {
        ("answered", _) if !is_late => None,
        ("answered", Some(reason)) => Some(format!("late after an attempt: {reason}")),
        ("answered", None) => Some("late at its first endpoint".into()),
        ("refused", None) => Some("refused: no place".into()),
        (outcome, Some(reason)) => Some(format!("{outcome}: {reason}")),
        (outcome, None) => Some(outcome.to_owned()),
    }
}

/// Replaces each run of digits by `N`, so that reasons that differ only in numbers are counted
/// together.
fn mask_numbers(text: &str) -> String {
    let mut masked = String::new();
    for c in text.chars() {
        match c.is_ascii_digit() {
            true if masked.ends_with('N') => {}
            true => masked.push('N'),
            false => masked.push(c),
        }
    }
    masked
}

/// Progress of a job, as collected from its log lines.
#[derive(Debug, Default)]
struct JobHistory {
    submitted: Option<LogTime>,
    accepted: Option<LogTime>,
    items: i64,
    due_ms: Option<u64>,
    owners: Vec<String>,
    results: i64,
    done: Option<LogTime>,
    is_ended: bool,
    /// Number of commits of results that the object service did not accept.
    uncommitted: usize,
    /// Number of runs that lost their slots to online requests.
    preempted: usize,
}

impl JobHistory {
    /// Returns the milliseconds from submission to completion, or 0 if either is not in the logs.
    fn spent_ms(&self) -> i64 {
        let times = self.submitted.zip(self.done);
        times.map_or(0, |(from, to)| to.since(from).as_millis() as i64)
    }

    /// Returns whether the job was completed after its due time, or one of the two is unknown.
    fn is_late(&self) -> bool {
        let due = self.due_ms.map(|ms| LogTime(ms * 1000));
        match (self.done, due) {
            (Some(done), Some(due)) => done > due,
            _ => true,
        }
    }

    /// Returns why the job was late or lost, or `None` if it was in time or its caller ended it.
    fn cause(&self) -> Option<String> {
        let (Some(submitted), Some(accepted)) = (self.submitted, self.accepted) else {
            return Some("never accepted".into());
        };
        if accepted.since(submitted).as_millis() > MAX_ACCEPTANCE_MS {
            return Some("accepted late: the store took it late".into());
        }
        if self.is_ended || !self.is_late() {
            return None;
        }
        let delay = match self.done {
            Some(_) => "late",
            None => "not done in the logs",
        };
        let reason = match (self.uncommitted, self.owners.len(), self.preempted) {
            (1.., _, _) => "the store did not take results",
            (0, 2.., _) => "its owner changed",
            (0, _, 1..) => "its items lost places to online requests",
            _ => "it waited or ran long",
        };
        Some(format!("{delay}: {reason}"))
    }

    /// Records the due time, if the line has one.
    fn record_due(&mut self, line: &LogLine) {
        let due_ms = line.field("due_ms").and_then(|ms| ms.parse().ok());
        self.due_ms = due_ms.or(self.due_ms);
    }

    /// Records what one log line says about the job.
    fn record(&mut self, line: &LogLine) {
        match line.event.as_str() {
            "job_submitted" => {
                self.submitted = Some(self.submitted.map_or(line.at, |at| at.min(line.at)));
                self.items = line.number("items").unwrap_or(0);
                if line.field("outcome") == Some("Accepted") && self.accepted.is_none() {
                    self.accepted = Some(line.at);
                }
            }
            "job_due" => self.record_due(line),
            "job_taken" => {
                self.record_due(line);
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

/// Collects the history of each job, by its identifier.
fn job_histories(lines: &[LogLine]) -> collections::BTreeMap<&str, JobHistory> {
    let mut histories = collections::BTreeMap::<_, JobHistory>::new();
    for line in lines {
        if let Some(id) = line.field("job") {
            histories.entry(id).or_default().record(line);
        }
    }
    histories
}
