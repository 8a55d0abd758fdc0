//! Trials that a process claims, or that were granted to items which wait for a slot.

use std::{cell, collections, time};

use crate::{clock, ids};

/// Time for which a granted trial of an item is kept until the item gets a slot.
const ITEM_GRANT_TTL: time::Duration = time::Duration::from_secs(5);

/// State of the trials of a process.
#[derive(Default)]
pub(super) struct TrialState {
    /// Requests whose trial is being claimed.
    claiming: cell::RefCell<collections::HashSet<ids::CrashSubject>>,
    /// Granted trials of items that wait for a slot, with their expiry.
    granted: cell::RefCell<collections::HashMap<ids::CrashSubject, clock::MonotonicTime>>,
    /// Notified when a request is cleared or suspected.
    pub(super) changed: tokio::sync::Notify,
}

impl TrialState {
    /// Records that a trial is being claimed; returns whether it was not before.
    pub(super) fn begin_claim(&self, subject: ids::CrashSubject) -> bool {
        self.claiming.borrow_mut().insert(subject)
    }

    pub(super) fn end_claim(&self, subject: ids::CrashSubject) {
        self.claiming.borrow_mut().remove(&subject);
    }

    /// Keeps a granted trial for an item until the item gets a slot.
    pub(super) fn keep_for_item(&self, subject: ids::CrashSubject, now: clock::MonotonicTime) {
        self.granted
            .borrow_mut()
            .insert(subject, now + ITEM_GRANT_TTL);
    }

    /// Returns whether an item may run as a trial.
    pub(super) fn is_granted(&self, subject: ids::CrashSubject, now: clock::MonotonicTime) -> bool {
        let granted = self.granted.borrow();
        granted.get(&subject).is_some_and(|expiry| now < *expiry)
    }

    /// Uses up the granted trials of an item that begins to run.
    pub(super) fn begin_item(&self, subjects: &[ids::CrashSubject]) {
        let mut granted = self.granted.borrow_mut();
        for subject in subjects {
            if granted.remove(subject).is_some() {
                log::info!("event=trial_begun request=- digest={subject}");
            }
        }
    }

    /// Takes the granted trials of items that got no slot in time.
    pub(super) fn take_expired(&self, now: clock::MonotonicTime) -> Vec<ids::CrashSubject> {
        let mut granted = self.granted.borrow_mut();
        let expired = granted.iter().filter(|(_, expiry)| **expiry <= now);
        let expired: Vec<_> = expired.map(|(subject, _)| *subject).collect();
        granted.retain(|_, expiry| now < *expiry);
        expired
    }
}
