//! Places at the endpoints that a process owns, as plain values.

use std::{net, rc, time};

use jayhollow::{
    clock, ids,
    serving::{
        directory, peers, permits,
        slots::{self, SlotReply},
    },
};

fn entry(id: &str, domain: &str) -> directory::EndpointEntry {
    directory::EndpointEntry {
        id: id.parse().expect("a name"),
        service: "s".parse().expect("a name"),
        address: net::SocketAddr::from(([127, 0, 0, 1], 1)),
        domain: domain.parse().expect("a name"),
        slots: 4,
        leaving: false,
        started: None,
    }
}

fn run(instance: &str) -> ids::InstanceRun {
    ids::InstanceRun {
        instance: instance.parse().expect("a name"),
        run: ids::RunNumber::default(),
    }
}

fn service() -> ids::ServiceName {
    "s".parse().expect("a name")
}

fn slot_request(holder: ids::InstanceRun, number: u64) -> peers::OnlineSlotRequest {
    peers::OnlineSlotRequest {
        number,
        holder,
        domain: "z".parse().expect("a name"),
        service: service(),
        tried: Vec::new(),
        may_queue: false,
        wait: time::Duration::ZERO,
    }
}

fn board(endpoints: &[directory::EndpointEntry]) -> permits::PermitTable {
    let mut board = permits::PermitTable::default();
    let owned: Vec<_> = endpoints.iter().cloned().map(rc::Rc::new).collect();
    board.set_owned(&owned);
    board
}

/// An owner that had stood still read on a new link that a place is given back, and
/// then on the old one the request for it: the place was held for 15 s for nobody.
#[test]
fn a_place_that_was_given_back_before_it_was_asked_for_is_not_given() {
    let mut board = board(&[entry("a", "z")]);
    let now = clock::MonotonicTime(1);
    let request = |number| slot_request(run("g"), number);
    assert_eq!(board.release(7), None);
    assert_eq!(board.acquire(&request(7), &Default::default(), now), None);
    assert!(board.is_empty(), "nobody holds anything");
    assert!(board
        .acquire(&request(8), &Default::default(), now)
        .is_some());
    assert!(board.release(8).is_some());
}

#[test]
fn online_requests_take_places_back_and_are_refused_beyond_the_bound() {
    let mut board = board(&[entry("a", "z"), entry("b", "z")]);
    let now = clock::MonotonicTime(1);
    let none = Default::default();
    let mut batch = 0;
    while board.begin_batch(&service(), &none, now).is_some() {
        batch += 1;
    }
    assert_eq!(batch, 6, "one place of four is left free at each");
    let holder = run("g");
    let mut preempted = 0;
    let mut acquire = |numbers: std::ops::Range<u64>, may_queue| {
        let granted = numbers.filter(|number| {
            let request = peers::OnlineSlotRequest {
                may_queue,
                wait: time::Duration::from_millis(200),
                ..slot_request(holder.clone(), *number)
            };
            let slot = board.acquire(&request, &none, now);
            preempted += slot.as_ref().map_or(0, |p| p.preempted.len());
            slot.is_some()
        });
        granted.count()
    };
    assert_eq!(
        acquire(0..20, false),
        8,
        "four for each endpoint of four slots"
    );
    assert_eq!(acquire(20..40, true), 2, "one in the queue of each");
    assert_eq!(preempted, 6, "all batch streams gave way");
    assert_eq!(board.totals(), (10, 0));
    assert_eq!(
        board.free_queue_slots(&service(), time::Duration::from_millis(200)),
        0
    );
    board.release_ended(|run| *run == holder);
    assert_eq!(board.totals(), (0, 0), "a lost gateway holds nothing");
}

#[test]
fn lent_places_come_back_from_a_lost_borrower() {
    let mut board = board(&[entry("a", "z")]);
    let now = clock::MonotonicTime(1);
    let borrower = run("d");
    let lent = board.lend_batch(&slots_of(borrower.clone(), 9), &Default::default(), now);
    assert_eq!(lent.len(), 3);
    assert!(!board.is_empty());
    board.release_ended(|run| *run == borrower);
    assert!(board.is_empty());
    assert_eq!(board.totals(), (0, 0));
}

fn slots_of(holder: ids::InstanceRun, count: usize) -> peers::BatchSlotRequest {
    peers::BatchSlotRequest {
        number: 77,
        holder,
        service: service(),
        count,
    }
}

#[test]
fn places_of_one_run_end_without_those_of_the_next() {
    let mut board = board(&[entry("a", "z")]);
    let now = clock::MonotonicTime(1);
    let none = Default::default();
    let [first, next] = ["1", "2"].map(|number| ids::InstanceRun {
        run: number.parse().expect("a number"),
        ..run("g")
    });
    assert!(board
        .acquire(&slot_request(first.clone(), 1), &none, now)
        .is_some());
    assert_eq!(
        board
            .lend_batch(&slots_of(first.clone(), 1), &none, now)
            .len(),
        1
    );
    assert!(board
        .acquire(&slot_request(next.clone(), 2), &none, now)
        .is_some());
    assert_eq!(board.release_ended(|holder| *holder == first), 2);
    assert_eq!(board.totals(), (1, 0));
    assert_eq!(board.release_ended(|holder| *holder == first), 0);
    assert_eq!(board.release_ended(|holder| *holder == next), 1);
}

#[test]
fn a_denial_says_what_stands_in_the_way() {
    let mut board = board(&[entry("a", "z"), entry("b", "z")]);
    let now = clock::MonotonicTime(1);
    let none = Default::default();
    for number in 0..4 {
        let mut request = slot_request(run("g"), number);
        request.tried = vec!["b".parse().expect("a name")];
        assert!(board.acquire(&request, &none, now).is_some());
    }
    board.record_refused(&"b".parse().expect("a name"), now);
    let later = now + time::Duration::from_millis(40);
    let mut request = slot_request(run("h"), 9);
    request.tried = vec!["a".parse().expect("a name")];
    assert_eq!(board.acquire(&request, &none, later), None);
    let denial = board.denial(&request, later).to_string();
    assert_eq!(
        denial,
        "endpoints=2 unwanted=1 closed=1 online=4 holders=1 oldest_ms=40"
    );
}

/// A plain service was refused as full for good, in a calm as well: its owner held places
/// that nobody gave back, and let them go after 15 s, but only when it gave the next one,
/// which it could not as it was full. Seen by the soak (seeds 7200 and 7704: "refused as
/// full in a calm"), traced by its check that nobody holds a place when all work is done.
#[test]
fn places_that_expired_are_given_to_others() {
    let mut board = board(&[entry("a", "z")]);
    let now = clock::MonotonicTime(1);
    let none = Default::default();
    for number in 0..4 {
        assert!(board
            .acquire(&slot_request(run("g"), number), &none, now)
            .is_some());
    }
    assert!(board
        .acquire(&slot_request(run("g"), 5), &none, now)
        .is_none());
    let later = now + time::Duration::from_secs(16);
    board.expire(later);
    assert_eq!(board.totals(), (0, 0));
    assert!(board
        .acquire(&slot_request(run("g"), 6), &none, later)
        .is_some());
}

/// An endpoint had one place less for batch work for good: the answer that lent a slot was
/// lost with its link, so that the borrower did not know of it and the lender counted it.
/// Seen by the soak's check for held places, seeds 5 and 10 of 12 s, beside `lend_failed`.
#[test]
fn slots_that_a_borrower_never_heard_of_come_back() {
    let mut board = board(&[entry("a", "z")]);
    let now = clock::MonotonicTime(1);
    let none = Default::default();
    let request = |number| peers::BatchSlotRequest {
        number,
        holder: run("d"),
        service: service(),
        count: 2,
    };
    assert_eq!(board.lend_batch(&request(1), &none, now).len(), 2);
    assert_eq!(board.lend_batch(&request(2), &none, now).len(), 1);
    board.cancel_lent(1);
    assert_eq!(board.totals(), (0, 1), "those of the other question stay");
    board.cancel_lent(3);
    let late = board.lend_batch(&request(3), &none, now);
    assert!(
        late.is_empty(),
        "it came later than the word that nobody waits"
    );
    assert_eq!(board.lend_batch(&request(4), &none, now).len(), 2);
}

/// A request was refused as full in a calm (soak, seed 4 of 12 s): the processes had just
/// heard each other too late, and their views of who owns what differed. The owner that
/// was asked owned no endpoint of the service (`place_denied ... endpoints=0`), and its
/// "none" counted as "full". Seeds 7200 and 7704 had the same refusal.
#[rstest::rstest]
#[case::nobody_was_asked(&[], false)]
#[case::no_owner(&[SlotReply::NotOwner, SlotReply::NotOwner], false)]
#[case::no_answer(&[SlotReply::Silent], false)]
#[case::all_full(&[SlotReply::Full(0), SlotReply::Full(3)], true)]
#[case::who_owns_is_full(&[SlotReply::NotOwner, SlotReply::Full(0)], true)]
#[case::one_may_have_room(&[SlotReply::Full(0), SlotReply::Silent], false)]
fn a_service_is_full_if_all_say_so_who_own_it(#[case] words: &[SlotReply], #[case] full: bool) {
    assert_eq!(slots::all_full(words), full);
}

#[test]
fn who_owns_no_endpoint_of_a_service_does_not_own_it() {
    let board = board(&[entry("a", "z")]);
    assert!(board.owns(&service()));
    assert!(!board.owns(&"other".parse().expect("a name")));
}
