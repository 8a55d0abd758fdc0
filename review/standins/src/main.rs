//! Drivers of the review's cases. Each starts the programs of the deploy file as separate
//! processes beside stand-ins on loopback addresses, and checks one rule.
//!
//! Exit status: 0 if the rule held, 1 if it was broken, 2 if the case could not run.

mod ended_job_runs;
mod ended_results;
mod frozen_owner;
mod mixed_streams;
mod record;
mod report_front;
mod stale_owner;
mod zero_weight;

use std::{env, panic, path, process, time};

/// Longest run of a case; `run.sh` may take 120 seconds.
const CASE_TIMEOUT: time::Duration = time::Duration::from_secs(110);

/// What a case found.
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
}

fn main() {
    let mut arguments = env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: jayhollow-review CASE FOLDER");
        process::exit(2);
    };
    let record = match record::Record::create(&path::PathBuf::from(folder).join("record.txt")) {
        Ok(record) => record,
        Err(e) => {
            eprintln!("the record cannot be written: {e}");
            process::exit(2);
        }
    };
    let has_trouble = env::var("TROUBLE").as_deref() != Ok("0");
    record.line(&format!("case={case} trouble={has_trouble}"));
    std::thread::spawn(|| {
        std::thread::sleep(CASE_TIMEOUT);
        eprintln!("the case took too long");
        process::exit(2);
    });
    let outcome = panic::catch_unwind(panic::AssertUnwindSafe(|| match case.as_str() {
        "ended-job-runs" => Some(ended_job_runs::run(&record, has_trouble)),
        "zero-weight" => Some(zero_weight::run(&record, has_trouble)),
        "frozen-owner" => Some(frozen_owner::run(&record, has_trouble)),
        "stale-owner" => Some(stale_owner::run(&record, has_trouble)),
        "mixed-streams" => Some(mixed_streams::run(&record, has_trouble)),
        "ended-results" => Some(ended_results::run(&record, has_trouble)),
        _ => None,
    }));
    let (text, status) = match outcome {
        Ok(Some(Verdict::Held)) => ("the rule held", 0),
        Ok(Some(Verdict::Broken)) => ("the rule was broken", 1),
        Ok(None) | Err(_) => ("the case could not run", 2),
    };
    record.line(&format!("verdict=\"{text}\""));
    println!("{text}");
    process::exit(status);
}
