//! Refusal of new connections by a gateway that falls behind, tested as plain values.

use std::time;

use jayhollow::decisions::connection_shedding::ConnectionShedding;
use rand::{rngs, Rng as _, SeedableRng as _};

/// Plays samples of a gateway that gets `load` times the connections that it can serve in a
/// sample; returns the share of those that it read in the last second and served in time.
fn served_share(load: f64, rng: &mut rngs::SmallRng) -> (f64, f64) {
    const CAPACITY: f64 = 20.0;
    let mut shedding = ConnectionShedding::default();
    let mut backlog = 0.0;
    let (mut read, mut served, mut sent) = (0.0, 0.0, 0.0);
    for sample in 0..50 {
        let mut admitted = 0.0;
        for _ in 0..(load * CAPACITY) as usize {
            admitted += f64::from(!shedding.refuses(rng.random()));
        }
        backlog = f64::max(backlog + admitted - CAPACITY, 0.0);
        let delay = time::Duration::from_secs_f64(0.1 * backlog / CAPACITY);
        shedding.record_delay(delay);
        if sample >= 30 {
            read += admitted;
            sent += load * CAPACITY;
            served += admitted * f64::from(delay < time::Duration::from_millis(300));
        }
    }
    (served / read, read / sent)
}

/// Guards against a gateway that reads more requests than it can serve while most new
/// connections come to it.
#[test]
fn an_overloaded_gateway_reads_what_it_can_serve() {
    let mut rng = rngs::SmallRng::seed_from_u64(59);
    for load in [1.5, 2.0, 3.0, 5.0] {
        let (served, read) = served_share(load, &mut rng);
        assert!(served >= 0.75, "{served:.2} of those read at load {load}");
        assert!(read * load >= 0.6, "{read:.2} read at load {load}");
    }
    let (served, read) = served_share(0.9, &mut rng);
    assert!(served >= 1.0 && read >= 1.0);
}

#[test]
fn a_single_pause_refuses_nothing() {
    let mut shedding = ConnectionShedding::default();
    for _ in 0..10 {
        shedding.record_delay(time::Duration::from_secs(3));
        shedding.record_delay(time::Duration::from_millis(2));
        assert_eq!(shedding.share(), 0.0);
    }
}

#[test]
fn some_connections_are_always_accepted() {
    let mut shedding = ConnectionShedding::default();
    for _ in 0..100 {
        shedding.record_delay(time::Duration::from_secs(1));
    }
    assert!(shedding.share() < 1.0 && !shedding.refuses(0.95));
}

#[test]
fn an_unread_connection_is_closed_only_while_others_are_refused() {
    let (early, late) = (
        time::Duration::from_millis(100),
        time::Duration::from_millis(600),
    );
    let mut shedding = ConnectionShedding::default();
    assert!(!shedding.is_overdue(late));
    for _ in 0..2 {
        shedding.record_delay(time::Duration::from_millis(200));
    }
    assert!(shedding.is_overdue(late) && !shedding.is_overdue(early));
}
