//! Command `jayhollow explain`: traces a request through logs, or reports losses.

use std::{fs, io, path};

use super::{output, CommandError, CommandResult};
use crate::explain::{
    log_line::{LogLine, LogTime},
    loss_report, trace,
};

/// Flags of `jayhollow explain`.
#[derive(Debug, Clone, clap::Args)]
pub struct ExplainFlags {
    /// Log files of one or more processes; standard input if none is given.
    #[arg(value_name = "LOG")]
    pub logs: Vec<path::PathBuf>,
    /// ID of the request, job, item or endpoint to trace.
    #[arg(long)]
    pub id: Option<String>,
    /// Start of the period to report on: an RFC 3339 time, or seconds after the first log line.
    #[arg(long, conflicts_with = "id")]
    pub from: Option<PeriodBound>,
    /// End of the period to report on, in the same forms.
    #[arg(long, conflicts_with = "id")]
    pub to: Option<PeriodBound>,
    /// Length in seconds of the steps to report on separately.
    #[arg(long, value_name = "SECONDS", conflicts_with = "id")]
    pub each: Option<StepDuration>,
}

/// Length of the steps into which a period is divided, in seconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StepDuration(f64);

impl std::str::FromStr for StepDuration {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text.parse::<f64>() {
            Ok(seconds) if (MIN_STEP_S..).contains(&seconds) => Ok(Self(seconds)),
            _ => Err(format!(
                "expected a number of seconds, at least {MIN_STEP_S}"
            )),
        }
    }
}

/// Minimum step length, in seconds; limits an hour of logs to 36,000 steps.
const MIN_STEP_S: f64 = 0.1;

/// Start or end of a period of time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum PeriodBound {
    /// Point in time, in RFC 3339 format.
    Time(LogTime),
    /// Seconds after the first log line.
    Seconds(f64),
}

impl std::str::FromStr for PeriodBound {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match (text.parse::<f64>(), text.parse()) {
            (Ok(seconds), _) if seconds >= 0.0 => Ok(Self::Seconds(seconds)),
            (_, Ok(time)) => Ok(Self::Time(time)),
            (_, Err(e)) => Err(format!("{e}, nor a number of seconds of at least 0")),
        }
    }
}

impl PeriodBound {
    fn resolve(self, first: LogTime) -> LogTime {
        match self {
            Self::Time(time) => time,
            Self::Seconds(seconds) => first.plus_seconds(seconds),
        }
    }
}

/// Runs `jayhollow explain`.
///
/// # Errors
/// A log file cannot be read, the logs contain no jayhollow lines, or no line mentions the ID.
pub fn run(flags: &ExplainFlags, form: output::OutputForm) -> CommandResult<()> {
    let lines = read_logs(&flags.logs)?;
    let first = lines.iter().map(|line| line.at).min();
    let first = first.ok_or_else(|| CommandError::failed("the logs contain no jayhollow lines"))?;
    match &flags.id {
        Some(id) => print_trace(&lines, id, form),
        None => {
            let from = flags.from.map_or(first, |bound| bound.resolve(first));
            let to = flags
                .to
                .map_or(LogTime(u64::MAX), |bound| bound.resolve(first));
            match flags.each {
                Some(step) => print_steps(&lines, from, to, step, form),
                None => print_losses(&loss_report::report(&lines, from, to), form),
            }
            Ok(())
        }
    }
}

fn read_logs(files: &[path::PathBuf]) -> CommandResult<Vec<LogLine>> {
    let mut lines = Vec::new();
    if files.is_empty() {
        read_log(io::stdin().lock(), "-", &mut lines).map_err(CommandError::failed)?;
    }
    for file in files {
        let failed = |e: io::Error| CommandError::failed(format!("{}: {e}", file.display()));
        let log = io::BufReader::new(fs::File::open(file).map_err(failed)?);
        let name = file.file_stem().unwrap_or_default().to_string_lossy();
        read_log(log, &name, &mut lines).map_err(failed)?;
    }
    Ok(lines)
}

fn read_log(log: impl io::BufRead, name: &str, lines: &mut Vec<LogLine>) -> io::Result<()> {
    for bytes in log.split(b'\n') {
        let text = String::from_utf8_lossy(&bytes?).into_owned();
        lines.extend(LogLine::parse(&text, name));
    }
    Ok(())
}

fn print_trace(lines: &[LogLine], id: &str, form: output::OutputForm) -> CommandResult<()> {
    let trace = trace::trace(lines, id);
    let Some(first) = trace.first() else {
        let message =
            format!("no log line mentions {id}: no process handled it, or a log file is missing");
        return Err(CommandError::failed(message));
    };
    let start = first.at;
    let rows: Vec<_> = trace.iter().map(|line| trace_row(line, start)).collect();
    let fields = ["time", "after_ms", "process", "event", "fields"];
    output::print(form, &serde_json::json!(trace), &rows, &fields);
    Ok(())
}

fn trace_row(line: &LogLine, start: LogTime) -> serde_json::Value {
    let after_ms = line.at.since(start).as_micros() as f64 / 1000.0;
    serde_json::json!({
        "time": line.at.to_string(), "after_ms": after_ms, "process": line.process,
        "event": line.event, "fields": line.details(),
    })
}

/// Prints the losses in each step of a period.
fn print_steps(
    lines: &[LogLine],
    from: LogTime,
    to: LogTime,
    step: StepDuration,
    form: output::OutputForm,
) {
    let last = lines.iter().map(|line| line.at).max().unwrap_or(from);
    let steps = loss_report::steps(lines, from, to.min(last.plus_seconds(step.0)), step.0);
    let mut rows = Vec::new();
    for (after_s, report) in &steps {
        for mut row in loss_rows(report) {
            row["after_s"] = serde_json::json!(after_s);
            rows.push(row);
        }
    }
    let fields = ["after_s", "route", "cause", "count", "worst_ms", "example"];
    output::print(form, &serde_json::json!(rows), &rows, &fields);
}

fn print_losses(report: &loss_report::LossReport, form: output::OutputForm) {
    let fields = ["route", "cause", "count", "worst_ms", "example"];
    output::print(
        form,
        &serde_json::json!(report),
        &loss_rows(report),
        &fields,
    );
}

fn loss_rows(report: &loss_report::LossReport) -> Vec<serde_json::Value> {
    let mut rows: Vec<_> = report.rows.iter().map(|r| serde_json::json!(r)).collect();
    rows.push(total_row(
        "all requests",
        report.requests_in_time,
        report.requests,
    ));
    rows.push(total_row("all jobs", report.jobs_in_time, report.jobs));
    rows
}

fn total_row(name: &str, in_time: usize, total: usize) -> serde_json::Value {
    let cause = format!("in time: {in_time} of {total}");
    serde_json::json!({"route": name, "cause": cause, "count": total - in_time})
}
