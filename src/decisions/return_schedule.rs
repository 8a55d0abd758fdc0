//! Times at which refused callers are told to retry.

use std::{collections, num, time};

use crate::{clock, ids};

/// Maximum age of a booking. Callers hardly ever have more time left than this.
const MAX_BOOKING_AGE: time::Duration = time::Duration::from_secs(10);
/// Time after the booked place within which a return counts as on time. It covers the
/// refusal's way to the caller, a new connection and the request's way back.
const RETURN_GRACE: time::Duration = time::Duration::from_millis(500);
/// Time before the booked place at which a return counts as on time. Retry times are sent
/// with a resolution of milliseconds.
const ROUNDING: time::Duration = time::Duration::from_millis(2);

/// Place in the expected capacity that a refused caller was given.
#[derive(Debug, Clone, Copy)]
struct ReturnBooking {
    request: ids::RequestDigest,
    booked_at: clock::MonotonicTime,
}

/// Schedule of the returns of refused callers.
///
/// Each booking is for the next free place in the expected capacity, so that callers do not
/// all return at the moment at which the first of them can be served.
#[derive(Debug)]
pub struct ReturnSchedule {
    /// Maximum number of bookings.
    capacity: num::NonZeroUsize,
    /// Bookings by place, with a number that keeps bookings for the same place distinct.
    ///
    /// Never more than `capacity`.
    bookings: collections::BTreeMap<(clock::MonotonicTime, u64), ReturnBooking>,
    /// Keys of `bookings` in the order in which they were booked. A key may outlive its
    /// booking.
    order: collections::VecDeque<(clock::MonotonicTime, u64)>,
    next_number: u64,
}

impl ReturnSchedule {
    /// Creates a schedule of at most `capacity` bookings.
    pub fn new(capacity: num::NonZeroUsize) -> Self {
        Self {
            capacity,
            bookings: collections::BTreeMap::new(),
            order: collections::VecDeque::new(),
            next_number: 0,
        }
    }

    /// Books the first free place at or after `earliest` from now, and returns the delay
    /// until then. Recorded places are at least `spacing` apart from it.
    ///
    /// A place beyond the maximum age of a booking is returned without a record.
    pub fn book(
        &mut self,
        request: ids::RequestDigest,
        now: clock::MonotonicTime,
        earliest: time::Duration,
        spacing: time::Duration,
    ) -> time::Duration {
        self.forget_old(now);
        let mut place = now + earliest;
        // Places before now are free again: a caller that did not return on time is not expected.
        let first = place.before(spacing).max(now);
        for &(taken, _) in self.bookings.range((first, 0)..).map(|(key, _)| key) {
            if taken >= place + spacing {
                break;
            }
            if taken + spacing > place {
                place = taken + spacing;
            }
        }
        let delay = place.since(now);
        if delay < MAX_BOOKING_AGE {
            self.record(request, place, now);
        }
        delay
    }

    /// Returns whether a request returns at its booked time, and removes the booking if so.
    pub fn redeem(&mut self, request: ids::RequestDigest, now: clock::MonotonicTime) -> bool {
        self.forget_old(now);
        let mut due = self.bookings.range(..=(now + ROUNDING, u64::MAX));
        let Some((&key, _)) = due.find(|(_, booking)| booking.request == request) else {
            return false;
        };
        self.bookings.remove(&key);
        true
    }

    /// Returns the number of bookings.
    pub fn len(&self) -> usize {
        self.bookings.len()
    }

    /// Returns whether there is no booking.
    pub fn is_empty(&self) -> bool {
        self.bookings.is_empty()
    }

    fn record(
        &mut self,
        request: ids::RequestDigest,
        place: clock::MonotonicTime,
        now: clock::MonotonicTime,
    ) {
        while self.bookings.len() >= self.capacity.get() {
            let Some(oldest) = self.order.pop_front() else {
                break;
            };
            self.bookings.remove(&oldest);
        }
        let key = (place, self.next_number);
        self.next_number += 1;
        self.order.push_back(key);
        let booked_at = now;
        self.bookings
            .insert(key, ReturnBooking { request, booked_at });
    }

    /// Removes the bookings that are too old or whose place is past by more than the grace.
    fn forget_old(&mut self, now: clock::MonotonicTime) {
        while let Some(first) = self.bookings.first_entry() {
            if now.since(first.key().0) <= RETURN_GRACE {
                break;
            }
            first.remove();
        }
        while let Some(&oldest) = self.order.front() {
            match self.bookings.get(&oldest) {
                Some(booking) if now.since(booking.booked_at) <= MAX_BOOKING_AGE => break,
                _ => {
                    self.bookings.remove(&oldest);
                    self.order.pop_front();
                }
            }
        }
    }
}
