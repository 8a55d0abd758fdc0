//! Order of the wait queue of an owner.

use std::time;

use jayhollow::{
    clock,
    decisions::wait_queue::{QueueCapacity, QueueEntry, QueueRefusal, WaitQueue},
    ids,
};
use proptest::prelude::*;

fn at(ms: u64) -> clock::MonotonicTime {
    clock::MonotonicTime(ms * 1000)
}

fn workspace(name: &str) -> Option<ids::WorkspaceId> {
    Some(name.parse().expect("a name"))
}

fn entry(number: u64, name: &str, priority: u32) -> QueueEntry {
    QueueEntry {
        number,
        workspace: workspace(name),
        priority,
        deadline: at(5000 + number),
        grant_by: at(1000),
        is_return: false,
    }
}

const WIDE: QueueCapacity = QueueCapacity {
    spacing: Some(time::Duration::from_millis(10)),
    slots: 10,
    limit: 100,
};

/// Returns the order in which entries get a slot, with the slots still held.
fn served(entries: Vec<QueueEntry>, capacity: QueueCapacity) -> Vec<u64> {
    let mut queue = WaitQueue::default();
    for entry in entries {
        assert_eq!(queue.enqueue(entry, capacity, at(0)), Vec::new());
    }
    let mut order = Vec::new();
    while let Some(number) = queue.candidates(1).first().copied() {
        queue.grant(number).expect("it waits");
        order.push(number);
    }
    order
}

/// Guards against a FIFO queue, in which one busy workspace delays all others.
#[test]
fn entries_are_ordered_by_priority_workspace_return_and_deadline() {
    let urgent = entry(9, "c", 0);
    let early = QueueEntry {
        deadline: at(100),
        ..entry(4, "a", 1)
    };
    let returning = QueueEntry {
        is_return: true,
        ..entry(5, "b", 1)
    };
    let busy = [1, 2, 3].map(|number| entry(number, "a", 1));
    let entries = [busy.to_vec(), vec![early, returning, urgent]].concat();
    assert_eq!(served(entries, WIDE), [9, 5, 4, 1, 2, 3]);
}

/// Guards against starvation of a priority below one that always has waiting requests.
#[test]
fn one_grant_in_ten_goes_to_lower_priorities() {
    let urgent = (0..40).map(|number| entry(number, "a", 0));
    let low = [entry(50, "b", 3), entry(51, "c", 7)];
    let order = served(urgent.chain(low).collect(), WIDE);
    assert_eq!((order[9], order[19]), (50, 51));
}

/// Guards against callers that wait although their turn comes after their latest time, when
/// they arrive or because a more urgent request overtakes them.
#[test]
fn late_entries_are_refused_at_once() {
    let mut queue = WaitQueue::default();
    let soon = |number, name, priority| QueueEntry {
        grant_by: at(30),
        ..entry(number, name, priority)
    };
    for number in 0..3 {
        let refused = queue.enqueue(soon(number, "a", 1), WIDE, at(0));
        assert_eq!(refused, Vec::new());
    }
    let late = queue.enqueue(soon(3, "b", 2), WIDE, at(0));
    assert_eq!(
        (late[0].entry.number, late[0].reason, late[0].ahead),
        (3, QueueRefusal::TooLate, 3)
    );
    let overtaken = queue.enqueue(soon(4, "b", 0), WIDE, at(0));
    let numbers: Vec<_> = overtaken
        .iter()
        .map(|refused| refused.entry.number)
        .collect();
    assert_eq!((numbers, queue.len()), (vec![2], 3));
}

#[derive(Debug, Clone)]
enum Step {
    Enqueue(u8, u32, u64),
    Grant,
    Release(usize),
    Remove(usize),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (0..5u8, 0..3u32, 1..200u64).prop_map(|(w, p, d)| Step::Enqueue(w, p, d)),
        3 => Just(Step::Grant),
        2 => any::<usize>().prop_map(Step::Release),
        1 => any::<usize>().prop_map(Step::Remove),
    ];
    prop::collection::vec(step, 1..120)
}

proptest! {
    /// Guards against entries that are lost or granted twice, and against an order that
    /// differs from the one by which late entries are refused.
    #[test]
    fn each_entry_leaves_once_in_the_projected_order(steps in steps()) {
        let mut queue = WaitQueue::default();
        let (mut waiting, mut held) = (Vec::new(), Vec::new());
        for (number, step) in (0_u64..).zip(steps) {
            match step {
                Step::Enqueue(name, priority, latest) => {
                    let entry = QueueEntry {
                        grant_by: at(latest),
                        ..entry(number, &name.to_string(), priority)
                    };
                    waiting.push(number);
                    for refused in queue.enqueue(entry, WIDE, at(0)) {
                        waiting.retain(|n| *n != refused.entry.number);
                    }
                }
                Step::Grant => {
                    let next = queue.candidates(1).first().copied();
                    prop_assert_eq!(next, queue.projected_order().first().copied());
                    if let Some(next) = next {
                        queue.grant(next);
                        waiting.retain(|n| *n != next);
                        held.push(next);
                    }
                }
                Step::Release(index) if !held.is_empty() => {
                    queue.record_release(held.swap_remove(index % held.len()));
                }
                Step::Remove(index) if !waiting.is_empty() => {
                    let removed = waiting.swap_remove(index % waiting.len());
                    prop_assert!(queue.remove(removed).is_some());
                    prop_assert!(queue.remove(removed).is_none());
                }
                Step::Release(_) | Step::Remove(_) => {}
            }
            let mut order = queue.projected_order();
            order.sort_unstable();
            waiting.sort_unstable();
            prop_assert_eq!(&order, &waiting);
        }
    }
}
