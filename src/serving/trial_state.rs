//! Trials that a process claims, or that were granted to items which wait for a slot.

use std::{cell, collections, time};

use crate::{clock, ids};

/// Time for which a granted trial of an item is kept until the item gets a slot. That of a part
/// is granted anew sooner, as requests of callers wait for its outcome too.
const ITEM_GRANT_TTL: time::Duration = time::Duration::from_secs(5);
const PART_GRANT_TTL: time::Duration = time::Duration::from_secs(1);

/// Granted trial of an item that waits for a slot.
///
/// Several items may share what is on trial, and only one of them runs.
struct ItemGrant {
    item: String,
    expires_at: clock::MonotonicTime,
}

/// State of the trials of a process.
#[derive(Default)]
pub(super) struct TrialState {
    /// Requests whose trial is being claimed.
    claiming: cell::RefCell<collections::HashSet<ids::CrashSubject>>,
    /// Granted trials of items that wait for a slot.
    granted: cell::RefCell<collections::HashMap<ids::CrashSubject, ItemGrant>>,
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
    pub(super) fn keep_for_item(
        &self,
        subject: ids::CrashSubject,
        item: &str,
        now: clock::MonotonicTime,
    ) {
        let ttl = match subject.is_part() {
            true => PART_GRANT_TTL,
            false => ITEM_GRANT_TTL,
        };
        let grant = ItemGrant {
            item: item.to_owned(),
            expires_at: now + ttl,
        };
        self.granted.borrow_mut().insert(subject, grant);
    }

    /// Returns whether an item may run as a trial.
    pub(super) fn is_granted(
        &self,
        subject: ids::CrashSubject,
        item: &str,
        now: clock::MonotonicTime,
    ) -> bool {
        let granted = self.granted.borrow();
        let grant = granted.get(&subject);
        grant.is_some_and(|grant| grant.item == item && now < grant.expires_at)
    }

    /// Uses up the granted trial of an item that begins to run; returns what it decides about.
    pub(super) fn begin_item(
        &self,
        subjects: &[ids::CrashSubject],
        item: &str,
    ) -> Option<ids::CrashSubject> {
        let mut granted = self.granted.borrow_mut();
        let is_granted = |subject: &&ids::CrashSubject| {
            let grant = granted.get(subject);
            grant.is_some_and(|grant| grant.item == item)
        };
        let subject = subjects.iter().find(is_granted).copied()?;
        granted.remove(&subject);
        log::info!("event=trial_begun request={item} digest={subject}");
        Some(subject)
    }

    /// Takes the granted trials of items that got no slot in time.
    pub(super) fn take_expired(&self, now: clock::MonotonicTime) -> Vec<ids::CrashSubject> {
        let mut granted = self.granted.borrow_mut();
        let expired = granted.iter().filter(|(_, grant)| grant.expires_at <= now);
        let expired: Vec<_> = expired.map(|(subject, _)| *subject).collect();
        granted.retain(|_, grant| now < grant.expires_at);
        expired
    }
}
