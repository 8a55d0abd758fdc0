//! Registers this process in the store and watches the records of the others.

use std::{rc, time};

use super::{context, fleet_source, members, owners};
use crate::{decisions::call_budget::CallClass, store};

/// Delay before a failed access to the member records is retried.
const MEMBER_RETRY_DELAY: time::Duration = time::Duration::from_millis(500);

/// Longest delay after failed reads: refused calls count against the call budget, and the
/// return of the store must be noticed within about a second.
const MAX_RETRY_DELAY: time::Duration = time::Duration::from_millis(1000);

/// Process age from which the store counts as unreachable if it has not sent the members: the
/// list of endpoints, whose reads show whether it responds, is read after them.
const UNREACHABLE_AGE: time::Duration = time::Duration::from_secs(2);

/// Delay between the first read of the members and the first watch. By then, peers that
/// watch the store report changes.
const FIRST_WATCH_DELAY: time::Duration = time::Duration::from_millis(700);

/// Delay after each further watch response, so that records that change shortly after
/// each other, as in a rolling restart, cost one store call. Peers get the changes
/// through probes, so a process that starts becomes known at most a quarter of a second
/// later.
const NEXT_WATCH_DELAY: time::Duration = time::Duration::from_millis(250);

/// Longest duration of one watch of the members.
const MEMBER_WATCH_TIMEOUT: time::Duration = time::Duration::from_secs(25);

/// Registers this process in the store.
pub(super) async fn register(context: rc::Rc<context::ProcessContext>) {
    let key = format!("{}/{}", context::MEMBER_KIND, context.id());
    let own = store::encode(&context.options.member);
    let always = store::WriteCondition::Always;
    while let Err(e) = context
        .store
        .put(CallClass::Control, &key, own.clone(), always)
        .await
    {
        log::warn!("event=member_record_unwritten why=\"{e}\"");
        actix_rt::time::sleep(MEMBER_RETRY_DELAY).await;
    }
}

/// Watches the records of the other processes.
pub(super) async fn watch_members(context: rc::Rc<context::ProcessContext>) {
    let prefix = format!("{}/", context::MEMBER_KIND);
    let mut since = store::ObjectRevision(0);
    let own_key = format!("{prefix}{}", context.id());
    let mut may_be_partial = true;
    let mut retry_delay = MEMBER_RETRY_DELAY;
    while !context.is_stopping() {
        // Whether the store responds is learned from the list of endpoints, which is read
        // after the members: their first read must not wait for it.
        let fleet = &context.fleet;
        if since.0 > 0 && (!fleet.follows_store() || !fleet.is_reachable()) {
            actix_rt::time::sleep(MEMBER_RETRY_DELAY).await;
            continue;
        }
        let response = context.store.watch(&[&prefix], since, MEMBER_WATCH_TIMEOUT);
        let response = tokio::select! {
            response = response => response,
            () = context.fleet.source_recovered() => continue,
        };
        match response {
            Ok(response) => {
                retry_delay = MEMBER_RETRY_DELAY;
                // Without its own record this process is new, and others may start with it
                // whose records are not written yet. The size of the fleet decides where it
                // gets the list of endpoints, so the members are read once more.
                let is_own_listed = response.changes.iter().any(|c| c.key == own_key);
                if since.0 == 0 && !is_own_listed && may_be_partial {
                    may_be_partial = false;
                    context.members_known.set(true);
                    apply_member_changes(&context, &prefix, response.changes);
                    context.members_updated.notify_one();
                    actix_rt::time::sleep(MEMBER_RETRY_DELAY).await;
                    continue;
                }
                let is_first = since.0 == 0;
                since = store::ObjectRevision(response.revision);
                context.members_known.set(true);
                if !response.changes.is_empty() {
                    let mut members = context.members.borrow_mut();
                    members.advance_revision(response.revision);
                }
                apply_member_changes(&context, &prefix, response.changes);
                context.members_updated.notify_one();
                if is_first {
                    context
                        .fleet
                        .set_start_source(owners::start_source(&context));
                }
                let delay = match is_first {
                    true => FIRST_WATCH_DELAY,
                    false => NEXT_WATCH_DELAY,
                };
                actix_rt::time::sleep(delay).await;
            }
            Err(e) => {
                log::info!(
                    "event=members_unread age_ms={} why=\"{e}\"",
                    context.age().as_millis()
                );
                // A list that may be partial is read again before the first read of endpoints.
                let is_probe = fleet.follows_store() && !fleet.has_start_source();
                let is_first_sign = !context.members_known.get() || is_probe;
                if is_first_sign && context.age() >= UNREACHABLE_AGE {
                    fleet.apply(fleet_source::FleetUpdate::Reachable(false));
                }
                actix_rt::time::sleep(retry_delay).await;
                retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
            }
        }
    }
}

/// Number of member changes up to which each is logged. More come at a start, or from all
/// processes at once when power returns; hundreds of lines would displace the log lines
/// about requests of that second.
const MAX_MEMBER_LINES: usize = 8;

fn apply_member_changes(
    context: &rc::Rc<context::ProcessContext>,
    prefix: &str,
    changes: Vec<crate::platform::ObjectChange>,
) {
    let level = match changes.len() > MAX_MEMBER_LINES {
        true => log::Level::Debug,
        false => log::Level::Info,
    };
    if level == log::Level::Debug {
        log::info!("event=members_changed count={}", changes.len());
    }
    for change in changes {
        apply_member_change(context, prefix, change, level);
    }
}

fn apply_member_change(
    context: &rc::Rc<context::ProcessContext>,
    prefix: &str,
    change: crate::platform::ObjectChange,
    level: log::Level,
) {
    let name = change.key.strip_prefix(prefix).unwrap_or(&change.key);
    let mut members = context.members.borrow_mut();
    let Some(value) = change.value else {
        if let Ok(id) = name.parse() {
            log::log!(level, "event=member_gone instance={name}");
            members.remove(&id);
        }
        return;
    };
    match serde_json::from_str::<members::MemberRecord>(&value) {
        Ok(record) if record.id == *context.id() => {}
        Ok(record) => {
            let address = record.address;
            log::log!(level, "event=member_listed instance={name} at={address}");
            members.upsert(record);
        }
        Err(e) => log::warn!("event=member_unreadable instance={name} why=\"{e}\""),
    }
}
