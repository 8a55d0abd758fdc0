//! Tests of progress that arrives in parts: repeated, out of order or invalid.

use std::time;

use jayhollow::serving::{
    job_checkpoints::{ItemCheckpoint, JobCheckpoint},
    progress_transfer::{self, PartOutcome, ProgressInbox},
};

/// Creates progress of about 40 KB.
fn progress(job: &str) -> JobCheckpoint {
    let items = (0..4).map(|index| ItemCheckpoint {
        index,
        chain: 7,
        skipped: 0,
        events: (0..100).map(|n| format!("{n:0100}")).collect(),
        state: None,
        last_event: Some(100),
        software: None,
        failures: 0,
        spent: time::Duration::ZERO,
    });
    JobCheckpoint {
        job: job.parse().expect("valid job identifier"),
        items: items.collect(),
    }
}

#[test]
fn repeated_parts_complete_the_transfer() {
    let complete = progress("job-1");
    let parts = progress_transfer::split(&complete).expect("failed to encode the progress");
    assert!(parts.len() > 3, "{} parts", parts.len());
    let mut inbox = ProgressInbox::default();
    let (last, first) = parts.split_last().expect("no parts");
    for part in first {
        assert_eq!(inbox.receive(part.clone()), PartOutcome::Partial);
        assert_eq!(inbox.receive(part.clone()), PartOutcome::Partial);
    }
    assert_eq!(inbox.receive(last.clone()), PartOutcome::Whole(complete));
}

#[test]
fn parts_of_different_transfers_are_never_combined() {
    let parts =
        progress_transfer::split(&progress("job-1")).expect("failed to encode the progress");
    let others =
        progress_transfer::split(&progress("job-1")).expect("failed to encode the progress");
    let mut inbox = ProgressInbox::default();
    assert_eq!(inbox.receive(parts[0].clone()), PartOutcome::Partial);
    assert_eq!(inbox.receive(others[1].clone()), PartOutcome::Unfit);
    assert_eq!(inbox.receive(parts[1].clone()), PartOutcome::Unfit);
}

#[test]
fn oversized_or_undecodable_parts_are_rejected() {
    let mut parts =
        progress_transfer::split(&progress("job-1")).expect("failed to encode the progress");
    let mut inbox = ProgressInbox::default();
    let mut undecodable = parts.remove(0);
    let mut oversized = undecodable.clone();
    oversized.total = usize::MAX;
    assert_eq!(inbox.receive(oversized), PartOutcome::Unfit);
    undecodable.bytes = vec![0xff; 16];
    undecodable.total = 16;
    assert_eq!(inbox.receive(undecodable), PartOutcome::Unfit);
}
