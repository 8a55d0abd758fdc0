//! `jayhollow explain`: from logs to the path of a request, or to what was lost.

use std::{fs, io, path};

use super::{output, CommandError, CommandResult};
use crate::explain::{
    log_line::{LogLine, LogTime},
    loss_report, trace,
};

/// Flags of `jayhollow explain`.
#[derive(Debug, Clone, clap::Args)]
pub struct ExplainFlags {
    /// Logs of processes, one or many files; standard input if none is named.
    #[arg(value_name = "LOG")]
    pub logs: Vec<path::PathBuf>,
    /// Name of a request, job, item or endpoint whose path to print.
    #[arg(long)]
    pub id: Option<String>,
    /// Begin of the span to report on: a time, or seconds after the first line.
    #[arg(long, conflicts_with = "id")]
    pub from: Option<SpanEdge>,
    /// End of the span.
    #[arg(long, conflicts_with = "id")]
    pub to: Option<SpanEdge>,
    /// Reports on each so many seconds of the span by themselves.
    #[arg(long, value_name = "SECONDS", conflicts_with = "id")]
    pub each: Option<StepLength>,
}

/// Length of the steps in which a span is reported on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StepLength(f64);

impl std::str::FromStr for StepLength {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text.parse::<f64>() {
            Ok(seconds) if (LEAST_STEP_S..).contains(&seconds) => Ok(Self(seconds)),
            _ => Err(format!(
                "it is not a number of seconds from {LEAST_STEP_S} on"
            )),
        }
    }
}

/// Shortest step, in seconds: an hour of logs makes 36,000 of them.
const LEAST_STEP_S: f64 = 0.1;

/// An end of a span of time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum SpanEdge {
    /// A time of day.
    Time(LogTime),
    /// Seconds after the first line of the logs.
    Seconds(f64),
}

impl std::str::FromStr for SpanEdge {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match (text.parse::<f64>(), text.parse()) {
            (Ok(seconds), _) if seconds >= 0.0 => Ok(Self::Seconds(seconds)),
            (_, Ok(time)) => Ok(Self::Time(time)),
            (_, Err(e)) => Err(format!("{e}, nor a number of seconds from 0 on")),
        }
    }
}

impl SpanEdge {
    fn after(self, first: LogTime) -> LogTime {
        match self {
            Self::Time(time) => time,
            Self::Seconds(seconds) => first.plus_seconds(seconds),
        }
    }
}

/// Runs the command.
///
/// # Errors
/// A log cannot be read, holds no line of this project, or nothing has that name.
pub fn run(flags: &ExplainFlags, form: output::OutputForm) -> CommandResult<()> {
    let lines = read_logs(&flags.logs)?;
    let first = lines.iter().map(|line| line.at).min();
    let first = first.ok_or_else(|| CommandError::failed("the logs hold no line of jayhollow"))?;
    match &flags.id {
        Some(id) => print_path(&lines, id, form),
        None => {
            let from = flags.from.map_or(first, |edge| edge.after(first));
            let to = flags.to.map_or(LogTime(u64::MAX), |edge| edge.after(first));
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

fn print_path(lines: &[LogLine], id: &str, form: output::OutputForm) -> CommandResult<()> {
    let path = trace::trace(lines, id);
    let Some(first) = path.first() else {
        let message = format!("no line names {id}: no process read it, or its log is missing");
        return Err(CommandError::failed(message));
    };
    let begun = first.at;
    let rows: Vec<_> = path.iter().map(|line| path_row(line, begun)).collect();
    let fields = ["time", "after_ms", "process", "event", "fields"];
    output::print(form, &serde_json::json!(path), &rows, &fields);
    Ok(())
}

fn path_row(line: &LogLine, begun: LogTime) -> serde_json::Value {
    let after_ms = line.at.since(begun).as_micros() as f64 / 1000.0;
    serde_json::json!({
        "time": line.at.to_string(), "after_ms": after_ms, "process": line.process,
        "event": line.event, "fields": line.details(),
    })
}

/// Prints what was lost in each step of a span.
fn print_steps(
    lines: &[LogLine],
    from: LogTime,
    to: LogTime,
    step: StepLength,
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

fn total_row(name: &str, in_time: usize, all: usize) -> serde_json::Value {
    let cause = format!("in time: {in_time} of {all}");
    serde_json::json!({"route": name, "cause": cause, "count": all - in_time})
}
