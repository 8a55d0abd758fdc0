//! Tests of the command line from outside: `dev`, `dev --smoke` and exit codes.

mod support;

use std::{
    io::{self, BufRead as _},
    process,
};

fn jayhollow(arguments: &[&str]) -> process::Command {
    let mut command = process::Command::new(env!("CARGO_BIN_EXE_jayhollow"));
    command.args(arguments);
    command
}

fn run(arguments: &[&str]) -> (Option<i32>, String) {
    let output = jayhollow(arguments).output().expect("the command runs");
    let text = [output.stdout, output.stderr].concat();
    (
        output.status.code(),
        String::from_utf8_lossy(&text).into_owned(),
    )
}

#[test]
fn the_smoke_run_makes_one_call_of_each_kind() {
    let (code, text) = run(&["dev", "--smoke"]);
    assert_eq!(code, Some(0), "{text}");
    for kind in ["online", "stream", "plain service", "batch job"] {
        let line = text.lines().find(|l| l.starts_with(kind));
        assert!(line.is_some_and(|l| l.contains(" ok ")), "{kind}: {text}");
    }
}

#[test]
fn dev_reports_readiness_and_stops_on_sigterm() {
    let mut child = jayhollow(&["dev", "--listen", "127.0.0.1:0"])
        .stdout(process::Stdio::piped())
        .spawn()
        .expect("the command starts");
    let output = child.stdout.take().expect("standard output is piped");
    let mut lines = io::BufReader::new(output).lines();
    let first = lines
        .next()
        .expect("it prints a line")
        .expect("the line is UTF-8");
    assert_eq!(first, "jayhollow is ready");
    // SAFETY: the child has not been waited for, so its process ID is still valid.
    unsafe { libc::kill(child.id() as libc::pid_t, libc::SIGTERM) };
    let status = support::wait_for("the command ends", || {
        child.try_wait().expect("the exit status can be read")
    });
    assert!(status.success());
}

#[test]
fn exit_codes_distinguish_errors() {
    assert_eq!(run(&["--no-such-flag"]).0, Some(2));
    let (code, text) = run(&["--url", "http://127.0.0.1:1", "job", "list"]);
    assert_eq!(code, Some(4), "{text}");
    let (code, text) = run(&["bundle", "check", "no-such-file.json"]);
    assert_eq!((code, text.contains("no-such-file.json")), (Some(1), true));
    let (code, text) = run(&["completions", "bash"]);
    assert_eq!((code, text.contains("jayhollow")), (Some(0), true));
}
