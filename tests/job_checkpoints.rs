//! Tests that replicas never combine events of different chains of runs and that their
//! total size is bounded.

use std::time;

use jayhollow::serving::{
    directory,
    job_checkpoints::{CheckpointTable, ItemCheckpoint, JobCheckpoint},
    job_records, job_table, open_job, wire,
};

fn software() -> directory::ServiceSoftware {
    directory::ServiceSoftware {
        service: "s".parse().expect("valid service name"),
        version: "v1".parse().expect("valid version"),
    }
}

fn one_item_job() -> job_records::JobRecord {
    let item = wire::JobItem {
        id: "i-1".into(),
        path: "/p".into(),
        headers: Vec::new(),
        body: bytes::Bytes::new(),
    };
    job_records::JobRecord {
        id: "job-1".parse().expect("valid job identifier"),
        workspace: None,
        host: "h".into(),
        submitted_ms: 1,
        version: Default::default(),
        items: vec![item],
    }
}

fn update(chain: u64, skipped: usize, events: usize) -> JobCheckpoint {
    let data = |n: usize| format!("chain {chain} event {}", skipped + n + 1);
    JobCheckpoint {
        job: "job-1".parse().expect("valid job identifier"),
        items: vec![ItemCheckpoint {
            index: 0,
            chain,
            skipped,
            events: (0..events).map(data).collect(),
            state: None,
            last_event: Some((skipped + events) as u64),
            software: Some(software()),
            failures: 0,
            spent: time::Duration::ZERO,
        }],
    }
}

#[rstest::rstest]
#[case::first(&[(1, 0, 3)], true)]
#[case::next(&[(1, 0, 3), (1, 3, 2)], true)]
#[case::overlap(&[(1, 0, 3), (1, 2, 2)], true)]
#[case::missing_start(&[(1, 3, 2)], false)]
#[case::gap(&[(1, 0, 3), (1, 4, 2)], false)]
#[case::other_chain(&[(1, 0, 3), (2, 3, 2)], false)]
#[case::longer_chain(&[(1, 0, 3), (2, 0, 5)], true)]
#[case::shorter_chain(&[(1, 0, 3), (2, 0, 2)], false)]
#[case::continued_rejected_chain(&[(1, 0, 3), (2, 0, 2), (2, 2, 4)], false)]
fn updates_that_do_not_continue_the_replica_are_rejected(
    #[case] sent: &[(u64, usize, usize)],
    #[case] last_is_merged: bool,
) {
    let table = CheckpointTable::default();
    let merged = sent.iter().map(|(c, s, e)| table.merge(update(*c, *s, *e)));
    assert_eq!(merged.last(), Some(last_is_merged));
}

#[test]
fn replica_size_is_bounded() {
    let table = CheckpointTable::default();
    for n in 0..40 {
        let mut job = update(1, 0, 1);
        job.job = format!("job-{n}").parse().expect("valid job identifier");
        job.items[0].events = vec!["x".repeat(1 << 20)];
        table.merge(job);
    }
    table.trim();
    assert!(table.len() < 8, "{} jobs of a megabyte each", table.len());
    table.forget(&"job-39".parse().expect("valid job identifier"));
    assert!(!table.is_empty());
}

#[test]
fn a_run_that_began_before_a_checkpoint_came_adds_nothing_any_more() {
    let table = job_table::JobTable::default();
    let shared = table.get_or_insert(one_item_job(), None);
    let mut job = shared.borrow_mut();
    // One run resumes from the disk while another process resumes from the same
    // checkpoint and advances further. Both chains had the same identifier, so the
    // events of both runs ended up in one output.
    let from_disk = update(7, 0, 10).items.remove(0);
    assert!(job.resume_from(from_disk));
    job.items[0].phase = open_job::ItemPhase::Running;
    let first = job.items[0].chain();
    let mut further = update(7, 0, 30).items.remove(0);
    further.chain = first;
    assert!(job.resume_from(further));
    // The next run starts before the first run has noticed that it was replaced.
    job.items[0].phase = open_job::ItemPhase::Running;
    assert!(
        !job.items[0].is_run_by(first),
        "two runs would append events"
    );
    assert!(job.items[0].is_run_by(job.items[0].chain()));
    assert_ne!(
        first, 7,
        "resuming from a checkpoint must start a new chain"
    );
}

#[test]
fn events_of_an_unknown_software_version_are_not_gone_on_with() {
    let table = job_table::JobTable::default();
    let shared = table.get_or_insert(one_item_job(), None);
    let mut job = shared.borrow_mut();
    let mut events = update(7, 0, 10).items.remove(0);
    events.software = None;
    assert!(!job.resume_from(events.clone()));
    let result = ItemCheckpoint {
        state: Some(wire::ItemState::Completed),
        ..events
    };
    assert!(job.resume_from(result), "a result is whole");
}

#[test]
fn a_replica_follows_an_item_that_starts_over_at_another_software_version() {
    let table = CheckpointTable::default();
    table.merge(update(1, 0, 9));
    let mut over = update(2, 0, 3);
    over.items[0].software = Some(directory::ServiceSoftware {
        version: "v2".parse().expect("valid version"),
        ..software()
    });
    assert!(table.merge(over.clone()));
    assert_eq!(table.all(), [over]);
}
