//! Progress of a job that comes in parts: late, again, out of order, or not at all.

use std::time;

use jayhollow::serving::{
    job_checkpoints::{ItemCheckpoint, JobCheckpoint},
    progress_transfer::{self, PartOutcome, ProgressInbox},
};

/// Progress of some 40 KB.
fn progress(job: &str) -> JobCheckpoint {
    let items = (0..4).map(|index| ItemCheckpoint {
        index,
        chain: 7,
        skipped: 0,
        events: (0..100).map(|n| format!("{n:0100}")).collect(),
        state: None,
        last_event: Some(100),
        failures: 0,
        spent: time::Duration::ZERO,
    });
    JobCheckpoint {
        job: job.parse().expect("a name"),
        items: items.collect(),
    }
}

#[test]
fn parts_that_come_twice_make_the_progress_whole() {
    let whole = progress("job-1");
    let parts = progress_transfer::split(&whole).expect("it is encoded");
    assert!(parts.len() > 3, "{} parts", parts.len());
    let mut inbox = ProgressInbox::default();
    let (last, first) = parts.split_last().expect("there are some");
    for part in first {
        assert_eq!(inbox.receive(part.clone()), PartOutcome::Partial);
        assert_eq!(inbox.receive(part.clone()), PartOutcome::Partial);
    }
    assert_eq!(inbox.receive(last.clone()), PartOutcome::Whole(whole));
}

#[test]
fn parts_of_two_transfers_are_never_joined() {
    let parts = progress_transfer::split(&progress("job-1")).expect("it is encoded");
    let others = progress_transfer::split(&progress("job-1")).expect("it is encoded");
    let mut inbox = ProgressInbox::default();
    assert_eq!(inbox.receive(parts[0].clone()), PartOutcome::Partial);
    assert_eq!(inbox.receive(others[1].clone()), PartOutcome::Unfit);
    assert_eq!(inbox.receive(parts[1].clone()), PartOutcome::Unfit);
}

#[test]
fn what_claims_too_much_or_cannot_be_read_is_refused() {
    let mut parts = progress_transfer::split(&progress("job-1")).expect("it is encoded");
    let mut inbox = ProgressInbox::default();
    let mut unreadable = parts.remove(0);
    let mut large = unreadable.clone();
    large.total = usize::MAX;
    assert_eq!(inbox.receive(large), PartOutcome::Unfit);
    unreadable.bytes = vec![0xff; 16];
    unreadable.total = 16;
    assert_eq!(inbox.receive(unreadable), PartOutcome::Unfit);
}
