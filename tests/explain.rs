//! Tests of the log analysis: the parser, traces, and the report on late and lost requests and jobs.

use jayhollow::explain::{
    log_line::{LogLine, LogTime},
    loss_report, trace,
};

fn line(second: u32, text: &str) -> LogLine {
    let text = format!("2026-05-04T10:20:{second:02}.250Z [INFO] {text}");
    LogLine::parse(&text, "gateway-1").expect("valid log line")
}

#[test]
fn a_line_is_parsed_into_its_fields() {
    let text = "  8.15 edge-1 2026-05-04T10:20:30.000005123Z [WARN] event=request_given_up \
                request=r-1 error=\"NotRun(300ms, \"all are full\")\" ran=0";
    let line = LogLine::parse(text, "file").expect("valid log line");
    assert_eq!(
        line.process, "edge-1",
        "the name comes from the log collector"
    );
    assert_eq!(line.at.to_string(), "2026-05-04T10:20:30.000005Z");
    assert_eq!(line.event, "request_given_up");
    assert_eq!(line.field("request"), Some("r-1"));
    let error = line.field("error");
    assert_eq!(error, Some("NotRun(300ms, \"all are full\")"));
    assert_eq!(line.number("ran"), Some(0));
    let plain = "2026-05-04T10:20:30Z [INFO] event=started instance=a";
    let plain = LogLine::parse(plain, "file").expect("valid log line");
    assert_eq!(plain.process, "file");
}

#[rstest::rstest]
#[case::empty("")]
#[case::no_time("[INFO] event=started")]
#[case::no_event("2026-05-04T10:20:30Z [INFO] instance=a")]
#[case::other("what happened")]
#[case::wrong_time("yesterday [INFO] event=started")]
fn lines_of_other_formats_are_ignored(#[case] text: &str) {
    assert_eq!(LogLine::parse(text, "file"), None);
}

#[test]
fn a_trace_has_all_lines_with_the_identifier_sorted_by_time() {
    let lines = [
        line(9, "event=request_end request=r-1 outcome=answered"),
        line(7, "event=attempt request=r-1 endpoint=e-1"),
        line(8, "event=attempt request=r-2 endpoint=e-1"),
    ];
    let events = |id| -> Vec<_> {
        let matching = trace::trace(&lines, id);
        matching.iter().map(|l| l.event.as_str()).collect()
    };
    assert_eq!(events("r-1"), ["attempt", "request_end"]);
    assert_eq!(events("e-1"), ["attempt", "attempt"]);
    assert!(events("r").is_empty());
}

#[test]
fn lost_and_late_requests_are_counted_by_cause() {
    let end = |id: &str, outcome: &str, first_ms: u32| {
        let text = format!(
            "event=request_end request={id} route=r outcome={outcome} ms=900 \
             first_ms={first_ms} objective_ms=300"
        );
        line(10, &text)
    };
    let attempt = |id: &str, reason: &str| {
        let text = format!("event=attempt request={id} outcome=unknown why=\"{reason}\"");
        line(9, &text)
    };
    let lines = [
        end("in-time", "answered", 300),
        end("late", "answered", 301),
        attempt("again", "no answer within 240 ms"),
        end("again", "answered", 700),
        end("full", "refused", 4),
        attempt("reset-1", "reset (os error 104)"),
        end("reset-1", "failed", 5),
        attempt("reset-2", "reset (os error 32)"),
        end("reset-2", "failed", 8),
    ];
    let begin = lines[0].at;
    let report = loss_report::report(&lines, begin, begin.plus_seconds(1.0));
    assert_eq!((report.requests, report.requests_in_time), (6, 1));
    let row = |cause: &str| {
        let row = report.rows.iter().find(|r| r.cause == cause);
        row.map(|r| (r.count, r.worst_ms, r.example.as_str()))
    };
    assert_eq!(row("late at its first endpoint"), Some((1, 301, "late")));
    let again = row("late after an attempt: no answer within N ms");
    assert_eq!(again, Some((1, 700, "again")));
    assert_eq!(row("refused: no place"), Some((1, 4, "full")));
    let failed = row("failed: reset (os error N)");
    assert_eq!(failed, Some((2, 8, "reset-2")));
    let counted: usize = report.rows.iter().map(|r| r.count).sum();
    assert_eq!(counted + report.requests_in_time, report.requests);
    let none = loss_report::report(&lines, LogTime(0), LogTime(1));
    assert_eq!(none, loss_report::LossReport::default());
}

#[rstest::rstest]
#[case::in_time(&[(12, "event=results_committed job=j results=2")], None)]
#[case::ended(&[(12, "event=end_accepted job=j")], None)]
#[case::store(
    &[(12, "event=results_uncommitted job=j"), (40, "event=results_committed job=j results=2")],
    Some("late: the store did not take results"))]
#[case::owner(
    &[(13, "event=job_taken job=j due_ms=1777890018250"),
      (40, "event=results_committed job=j results=2")],
    Some("late: it waited or ran long"))]
#[case::slots(
    &[(13, "event=item_run job=j end=\"Preempted\""),
      (40, "event=results_committed job=j results=2")],
    Some("late: its items lost places to online requests"))]
#[case::unfinished(
    &[(13, "event=results_committed job=j results=1")],
    Some("not done in the logs: it waited or ran long"))]
fn late_jobs_are_counted_by_cause(#[case] more: &[(u32, &str)], #[case] expected: Option<&str>) {
    let mut lines = vec![
        line(0, "event=job_submitted job=j items=2 outcome=Accepted"),
        line(0, "event=job_taken job=j due_ms=1777890018250"),
    ];
    lines.extend(more.iter().map(|(second, text)| line(*second, text)));
    let report = loss_report::report(&lines, LogTime(0), LogTime(u64::MAX));
    assert_eq!(report.jobs, 1);
    let cause = report.rows.first().map(|row| row.cause.as_str());
    assert_eq!(cause, expected);
}

#[test]
fn a_job_that_was_accepted_late_is_reported() {
    let lines = [
        line(0, "event=job_submitted job=j items=2 outcome=Refused"),
        line(3, "event=job_submitted job=j items=2 outcome=Accepted"),
        line(5, "event=results_committed job=j results=2"),
    ];
    let report = loss_report::report(&lines, LogTime(0), LogTime(u64::MAX));
    let cause = &report.rows[0].cause;
    assert_eq!(cause, "accepted late: the store took it late");
}

#[test]
fn each_step_of_a_period_has_its_own_report() {
    let end = |second, id: &str, outcome: &str| {
        let text = format!(
            "event=request_end request={id} route=r outcome={outcome} ms=9 first_ms=9 \
             objective_ms=300"
        );
        line(second, &text)
    };
    let lines = [
        end(1, "r-1", "answered"),
        end(1, "r-2", "refused"),
        end(3, "r-3", "cut"),
    ];
    let at = |second: u32| lines[0].at.plus_seconds(f64::from(second) - 1.25);
    let steps = loss_report::steps(&lines, at(1), at(4), 1.0);
    let counts: Vec<_> = steps
        .iter()
        .map(|(after_s, report)| (*after_s, report.requests, report.requests_in_time))
        .collect();
    assert_eq!(counts, [(0.0, 2, 1), (1.0, 0, 0), (2.0, 1, 0)]);
    let whole = loss_report::report(&lines, at(1), at(4));
    let all: usize = steps.iter().map(|(_, report)| report.requests).sum();
    assert_eq!(all, whole.requests, "the steps add up to the whole period");
}
