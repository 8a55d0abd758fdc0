//! The checks of the cases of the second review: `jayhollow-review-2 CASE FOLDER`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod cases;
mod harness;
mod http;

use std::{path, process};

fn main() -> process::ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    if words.first().is_some_and(|word| word == "server") {
        return match cases::serve_as_process(&words[1..]) {
            Ok(_) => process::ExitCode::SUCCESS,
            Err(_) => process::ExitCode::from(2),
        };
    }
    let mut words = words.into_iter();
    let case = words.next().unwrap_or_default();
    let folder = path::PathBuf::from(words.next().unwrap_or_else(|| ".".to_owned()));
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let Ok(record) = harness::Record::create(&folder) else {
        return process::ExitCode::from(2);
    };
    record.say(format!("case {case}, disruption: {has_trouble}"));
    let outcome = match case.as_str() {
        "weight" => cases::weight(&record, has_trouble),
        "part" => cases::part(&record, has_trouble),
        "crash" => cases::crash(&record, has_trouble),
        "rejoin" => cases::rejoin(&record, has_trouble),
        "foreign" => cases::foreign(&record, has_trouble),
        _ => Err(format!("no such case: {case}")),
    };
    match outcome {
        Ok(true) => {
            record.say("the rule held");
            process::ExitCode::SUCCESS
        }
        Ok(false) => {
            record.say("the rule was broken");
            process::ExitCode::from(1)
        }
        Err(reason) => {
            record.say(format!("the case could not run: {reason}"));
            process::ExitCode::from(2)
        }
    }
}
