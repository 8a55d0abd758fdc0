//! The command line as a person uses it: dev, smoke, exit codes.

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
    let output = jayhollow(arguments).output().expect("it runs");
    let text = [output.stdout, output.stderr].concat();
    (
        output.status.code(),
        String::from_utf8_lossy(&text).into_owned(),
    )
}

#[test]
fn the_smoke_run_does_one_call_of_each_kind() {
    let (code, text) = run(&["dev", "--smoke"]);
    assert_eq!(code, Some(0), "{text}");
    for kind in ["online", "stream", "plain service", "batch job"] {
        let line = text.lines().find(|l| l.starts_with(kind));
        assert!(line.is_some_and(|l| l.contains(" ok ")), "{kind}: {text}");
    }
}

#[test]
fn dev_prints_where_it_is_and_ends_cleanly() {
    let mut child = jayhollow(&["dev", "--listen", "127.0.0.1:0"])
        .stdout(process::Stdio::piped())
        .spawn()
        .expect("it starts");
    let output = child.stdout.take().expect("its output is piped");
    let mut lines = io::BufReader::new(output).lines();
    let first = lines.next().expect("it prints").expect("it is text");
    assert_eq!(first, "jayhollow is ready");
    // SAFETY: the process is a child of ours and was not waited for yet.
    unsafe { libc::kill(child.id() as libc::pid_t, libc::SIGTERM) };
    let status = support::wait_for("it ends", || child.try_wait().expect("it can be looked at"));
    assert!(status.success());
}

#[test]
fn exit_codes_tell_what_went_wrong() {
    assert_eq!(run(&["--no-such-flag"]).0, Some(2));
    let (code, text) = run(&["--url", "http://127.0.0.1:1", "job", "list"]);
    assert_eq!(code, Some(4), "{text}");
    let (code, text) = run(&["bundle", "check", "no-such-file.json"]);
    assert_eq!((code, text.contains("no-such-file.json")), (Some(1), true));
    let (code, text) = run(&["completions", "bash"]);
    assert_eq!((code, text.contains("jayhollow")), (Some(0), true));
}
