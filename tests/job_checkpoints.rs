//! Progress kept for peers: chains of runs are never joined, and memory is bounded.

use std::time;

use jayhollow::serving::{
    job_checkpoints::{CheckpointTable, ItemCheckpoint, JobCheckpoint},
    job_records, job_table, open_job, wire,
};

fn update(chain: u64, skipped: usize, events: usize) -> JobCheckpoint {
    let data = |n: usize| format!("chain {chain} event {}", skipped + n + 1);
    JobCheckpoint {
        job: "job-1".parse().expect("a name"),
        items: vec![ItemCheckpoint {
            index: 0,
            chain,
            skipped,
            events: (0..events).map(data).collect(),
            state: None,
            last_event: Some((skipped + events) as u64),
            failures: 0,
            spent: time::Duration::ZERO,
        }],
    }
}

#[rstest::rstest]
#[case::first(&[(1, 0, 3)], true)]
#[case::next(&[(1, 0, 3), (1, 3, 2)], true)]
#[case::again(&[(1, 0, 3), (1, 2, 2)], true)]
#[case::nothing_before(&[(1, 3, 2)], false)]
#[case::a_gap(&[(1, 0, 3), (1, 4, 2)], false)]
#[case::another_chain(&[(1, 0, 3), (2, 3, 2)], false)]
#[case::another_chain_that_is_further(&[(1, 0, 3), (2, 0, 5)], true)]
#[case::another_chain_that_is_not(&[(1, 0, 3), (2, 0, 2)], false)]
#[case::after_it(&[(1, 0, 3), (2, 0, 2), (2, 2, 4)], false)]
fn what_does_not_fit_is_asked_for_in_whole(
    #[case] sent: &[(u64, usize, usize)],
    #[case] last_is_kept: bool,
) {
    let table = CheckpointTable::default();
    let kept = sent.iter().map(|(c, s, e)| table.merge(update(*c, *s, *e)));
    assert_eq!(kept.last(), Some(last_is_kept));
}

#[test]
fn what_is_kept_is_bounded() {
    let table = CheckpointTable::default();
    for n in 0..40 {
        let mut job = update(1, 0, 1);
        job.job = format!("job-{n}").parse().expect("a name");
        job.items[0].events = vec!["x".repeat(1 << 20)];
        table.merge(job);
    }
    table.trim();
    assert!(table.len() < 8, "{} jobs of a megabyte each", table.len());
    table.forget(&"job-39".parse().expect("a name"));
    assert!(!table.is_empty());
}

#[test]
fn a_run_that_began_before_a_checkpoint_came_adds_nothing_any_more() {
    let item = wire::JobItem {
        id: "i-1".into(),
        path: "/p".into(),
        headers: Vec::new(),
        body: bytes::Bytes::new(),
    };
    let record = job_records::JobRecord {
        id: "job-1".parse().expect("a name"),
        workspace: None,
        host: "h".into(),
        submitted_ms: 1,
        version: Default::default(),
        items: vec![item],
    };
    let table = job_table::JobTable::default();
    let shared = table.get_or_insert(record, None);
    let mut job = shared.borrow_mut();
    // A run goes on from the disk, while another process goes on from the same
    // checkpoint and is further: its chain has the same name.
    let from_disk = update(7, 0, 10).items.remove(0);
    assert!(job.resume_from(from_disk));
    job.items[0].phase = open_job::ItemPhase::Running;
    let first = job.items[0].chain();
    let mut further = update(7, 0, 30).items.remove(0);
    further.chain = first;
    assert!(job.resume_from(further));
    // The next run begins before the first one has noticed.
    job.items[0].phase = open_job::ItemPhase::Running;
    assert!(!job.items[0].is_run_by(first), "two runs would add events");
    assert!(job.items[0].is_run_by(job.items[0].chain()));
    assert_ne!(
        first, 7,
        "what goes on from a checkpoint is a chain of its own"
    );
}
