//! Start record of a quota server on the instance's disk.
//!
//! It names the latest start of a run that may have accepted start credits, see
//! [`crate::decisions::rate_limits::start_credit`]. A dedicated thread reads and replaces it at
//! startup, so that a slow or hung disk delays nothing; until it is done, start credits are
//! held.

use std::{
    fs,
    io::{self, Write as _},
    path, rc, thread, time,
};

use tokio::sync::oneshot;
use xxhash_rust::xxh3;

use super::{context, limit_links};
use crate::{
    clock,
    decisions::rate_limits::start_credit::{self, EpochMs, StartCreditDenial, StartRecord},
    ids, protection,
};

/// Name of the record in the data directory.
const FILE_NAME: &str = "start";
/// Name of the temporary file that is renamed over the record.
const TEMP_FILE_NAME: &str = "start.next";
/// First word of the record; identifies the content and its format version.
const FORMAT_TAG: &str = "jayhollow-start-1";
/// Maximum size of a record, in bytes: the tag, an instance name, a time and a hash.
const MAX_FILE_BYTES: u64 = 512;

/// Reads the start record in a directory.
///
/// The record of another instance, on a disk that was moved, does not count as readable.
pub fn read(folder: &path::Path, instance: &ids::InstanceId) -> StartRecord {
    let file = folder.join(FILE_NAME);
    let text = match fs::metadata(&file) {
        Err(e) if e.kind() == io::ErrorKind::NotFound => return StartRecord::Missing,
        Ok(metadata) if metadata.len() <= MAX_FILE_BYTES => fs::read_to_string(&file),
        _ => return StartRecord::Unreadable,
    };
    let started_at = text.ok().and_then(|text| {
        let time = text.split(' ').nth(2)?.parse().ok()?;
        (text == encode(instance, EpochMs(time))).then_some(EpochMs(time))
    });
    started_at.map_or(StartRecord::Unreadable, StartRecord::StartedAt)
}

fn encode(instance: &ids::InstanceId, started_at: EpochMs) -> String {
    let content = format!("{FORMAT_TAG} {instance} {}", started_at.0);
    let hash = xxh3::xxh3_64(content.as_bytes());
    format!("{content} {hash:016x}\n")
}

/// Replaces the record atomically, and returns once it is on the disk.
///
/// # Errors
/// Returns an error if the disk write fails.
pub fn write(
    folder: &path::Path,
    instance: &ids::InstanceId,
    started_at: EpochMs,
) -> io::Result<()> {
    let temp_file = folder.join(TEMP_FILE_NAME);
    let mut file = fs::File::create(&temp_file)?;
    file.write_all(encode(instance, started_at).as_bytes())?;
    file.sync_data()?;
    fs::rename(&temp_file, folder.join(FILE_NAME))?;
    fs::File::open(folder)?.sync_all()
}

/// Reads the record of the previous runs, replaces it if necessary, and returns whether this
/// run may accept start credits.
///
/// # Errors
/// Returns the reason if it may not.
pub fn replace(
    folder: &path::Path,
    instance: &ids::InstanceId,
    now: EpochMs,
    window: time::Duration,
) -> Result<(), StartCreditDenial> {
    let found = read(folder, instance);
    let decision = start_credit::decide_on_record(found, now, window);
    log::info!(
        "event=start_record found={found:?} now={} permission={:?} writes={}",
        now.0,
        decision.permission,
        decision.writes
    );
    if decision.writes {
        if let Err(e) = write(folder, instance, now) {
            log::warn!("event=start_record_unwritten why=\"{e}\"");
            return decision
                .permission
                .and(Err(StartCreditDenial::RecordUnwritten));
        }
    }
    match protection::is_disabled("start_credit") {
        true => Ok(()),
        false => decision.permission,
    }
}

/// Replaces the record of a starting process in the background, and lets the token pools accept
/// start credits if it permits that.
pub(super) fn start(context: &rc::Rc<context::ProcessContext>) {
    let options = &context.options;
    let Some(folder) = options
        .data_folder
        .clone()
        .filter(|_| options.keeps_start_record())
    else {
        return;
    };
    let (instance, window) = (context.id().clone(), options.tolerance.window);
    let (sender, receiver) = oneshot::channel();
    let thread = thread::Builder::new().name("start-record".into());
    let spawned = thread.spawn(move || {
        let now = EpochMs(clock::epoch_ms());
        let permission = replace(&folder, &instance, now, window);
        // The receiver is gone only if the process stops.
        let _is_received = sender.send(permission);
    });
    if let Err(e) = spawned {
        log::warn!("event=start_record_unwritten why=\"{e}\"");
    }
    let context = context.clone();
    actix_rt::spawn(async move {
        let permission = receiver.await;
        let permission = permission.unwrap_or(Err(StartCreditDenial::RecordUnwritten));
        limit_links::permit_start_credits(&context, permission);
    });
}
