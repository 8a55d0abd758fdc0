//! Origins of streams on the instance's disk, read at the next start of the process.
//!
//! Lines are appended in the background by a thread of their own, so that a slow or hung disk
//! delays nothing. They survive the end of the process; after a power failure the last ones
//! may be missing or torn, and a stream whose origin is missing is not resumed. The file is
//! replaced once it is full; its predecessor is kept, so that no origin in use is lost by it.

use std::{
    fs,
    io::{self, Read as _, Write as _},
    path, thread, time,
};

use xxhash_rust::xxh3;

use super::stream_origins;
use crate::{clock, decisions::version_history, ids};

/// Name of the file in the data directory.
const FILE_NAME: &str = "origins";
/// Name of the file that was full.
const FULL_FILE_NAME: &str = "origins.full";
/// Size from which a file is full, in bytes: some 5,000 lines.
const FULL_BYTES: u64 = 1 << 20;
/// Maximum number of lines that wait for the disk; further ones are dropped.
const MAX_QUEUED: usize = 4096;
/// Maximum wait for the files at startup.
const READ_TIMEOUT: time::Duration = time::Duration::from_millis(250);
/// Maximum time since the last line up to which the versions in it are believed: no endpoint
/// of another version can have come, served and gone meanwhile.
const MAX_GAP_MS: u64 = 5000;

/// The only software version of a service, with times that mean the same after a restart.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct SoleVersionLine {
    /// The service.
    pub service: ids::ServiceName,
    /// The version.
    pub version: ids::SoftwareVersion,
    /// Since when, in milliseconds since the epoch; 0 for as long as the system exists.
    pub since_ms: u64,
}

/// A line of the file.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum OriginLine {
    /// Origin of a stream, until a time in milliseconds since the epoch.
    Stream {
        /// The stream.
        key: ids::StreamKey,
        /// Its origin.
        origin: stream_origins::StreamOrigin,
        /// When its caller no longer resumes it.
        expires_ms: u64,
    },
    /// All services that have one software version, at a time in milliseconds since the epoch.
    Versions {
        /// The time.
        at_ms: u64,
        /// The versions.
        sole: Vec<SoleVersionLine>,
    },
}

/// What the file holds at startup.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct RestoredOrigins {
    /// Origins that are still in use.
    pub origins: Vec<stream_origins::OriginRecord>,
    /// The only versions of services, if the process was away for a short time.
    pub sole: Vec<SoleVersionLine>,
}

impl RestoredOrigins {
    /// Extends the history of the software versions by what the file says of them.
    pub fn restore_versions(
        &self,
        history: &mut version_history::VersionHistory,
        now: clock::MonotonicTime,
    ) {
        let now_ms = clock::epoch_ms();
        for line in &self.sole {
            let age = time::Duration::from_millis(now_ms.saturating_sub(line.since_ms));
            let since = match line.since_ms {
                0 => clock::MonotonicTime::default(),
                _ => now.before(age),
            };
            let version = line.version.clone();
            let sole = version_history::SoleVersion { version, since };
            history.restore(&line.service, sole);
        }
    }
}

/// Handle to the thread that appends to the file; dropping it ends the thread.
#[derive(Debug)]
pub struct OriginFile {
    sender: crossbeam_channel::Sender<OriginLine>,
}

impl OriginFile {
    /// Starts the thread for a directory and returns what is stored there.
    ///
    /// # Errors
    /// The thread cannot be started.
    pub fn start(folder: path::PathBuf) -> io::Result<(Self, RestoredOrigins)> {
        let (sender, receiver) = crossbeam_channel::bounded(MAX_QUEUED);
        let (loaded, load_receiver) = crossbeam_channel::bounded(1);
        thread::Builder::new()
            .name("origins".into())
            .spawn(move || {
                // The receiver is gone if the disk took longer than `READ_TIMEOUT`.
                drop(loaded.send(read(&folder, clock::epoch_ms())));
                run_writer(&folder, &receiver);
            })?;
        let restored = load_receiver.recv_timeout(READ_TIMEOUT);
        let restored = restored.unwrap_or_else(|_| {
            log::warn!("event=origins_unread why=\"reading the files timed out\"");
            RestoredOrigins::default()
        });
        log::info!(
            "event=origins_read count={} services={}",
            restored.origins.len(),
            restored.sole.len()
        );
        Ok((Self { sender }, restored))
    }

    /// Queues a line; returns whether there was room.
    pub fn append(&self, line: OriginLine) -> bool {
        self.sender.try_send(line).is_ok()
    }
}

/// Reads what the files of a directory hold, as of a time in milliseconds since the epoch.
pub fn read(folder: &path::Path, now_ms: u64) -> RestoredOrigins {
    let mut restored = RestoredOrigins::default();
    for name in [FULL_FILE_NAME, FILE_NAME] {
        let text = match read_bounded(&folder.join(name)) {
            Ok(text) => text,
            Err(e) if e.kind() == io::ErrorKind::NotFound => continue,
            Err(e) => {
                log::warn!("event=origins_unread file={name} why=\"{e}\"");
                continue;
            }
        };
        for line in text.split(|byte| *byte == b'\n').filter_map(decode) {
            restore(&mut restored, line, now_ms);
        }
    }
    restored
}

/// Reads a file, which a fault of the disk may have made larger than any that is written.
fn read_bounded(file: &path::Path) -> io::Result<Vec<u8>> {
    let mut text = Vec::new();
    let file = fs::File::open(file)?;
    file.take(2 * FULL_BYTES).read_to_end(&mut text)?;
    Ok(text)
}

fn restore(restored: &mut RestoredOrigins, line: OriginLine, now_ms: u64) {
    match line {
        OriginLine::Stream {
            key,
            origin,
            expires_ms,
        } if expires_ms > now_ms => {
            let remaining = time::Duration::from_millis(expires_ms - now_ms);
            restored.origins.push(stream_origins::OriginRecord {
                key,
                origin,
                remaining,
            });
        }
        OriginLine::Stream { .. } => {}
        OriginLine::Versions { at_ms, sole } => {
            let is_recent = now_ms.abs_diff(at_ms) <= MAX_GAP_MS;
            restored.sole = if is_recent { sole } else { Vec::new() };
        }
    }
}

/// Appends the queued lines until the channel is closed.
fn run_writer(folder: &path::Path, receiver: &crossbeam_channel::Receiver<OriginLine>) {
    let mut was_failing = false;
    while let Ok(first) = receiver.recv() {
        let lines = std::iter::once(first).chain(receiver.try_iter());
        let text: Vec<u8> = lines.flat_map(|line| encode(&line)).collect();
        let written = append(folder, &text);
        if let (Err(e), false) = (&written, was_failing) {
            log::warn!("event=origins_unwritten why=\"{e}\"");
        }
        was_failing = written.is_err();
    }
}

/// Appends encoded lines to the file, and begins a new one if it is full.
///
/// # Errors
/// The disk write fails.
pub fn append(folder: &path::Path, text: &[u8]) -> io::Result<()> {
    let name = folder.join(FILE_NAME);
    let mut options = fs::File::options();
    let mut file = options.create(true).append(true).open(&name)?;
    if file.metadata()?.len() >= FULL_BYTES {
        fs::rename(&name, folder.join(FULL_FILE_NAME))?;
        file = options.open(&name)?;
    }
    file.write_all(text)
}

/// Encodes a line with its hash, by which a torn one is told from a whole one.
pub fn encode(line: &OriginLine) -> Vec<u8> {
    let Ok(body) = serde_json::to_string(line) else {
        return Vec::new();
    };
    let hash = xxh3::xxh3_64(body.as_bytes());
    format!("\n{hash:016x} {body}\n").into_bytes()
}

fn decode(line: &[u8]) -> Option<OriginLine> {
    let (hash, body) = std::str::from_utf8(line).ok()?.split_once(' ')?;
    let is_whole = hash == format!("{:016x}", xxh3::xxh3_64(body.as_bytes()));
    is_whole.then(|| serde_json::from_str(body).ok())?
}
