//! Checkpoint file on the instance's disk, read at the next start of the process.
//!
//! The file is a cache. A dedicated thread writes it in the background, it is read once
//! at startup, and it is discarded as a whole if any part of it is invalid. A slow,
//! full, failing or empty disk loses the file but never blocks job processing.

use std::{
    fs,
    io::{self, Write as _},
    path, thread, time,
};

use xxhash_rust::xxh3;

use super::job_checkpoints;

/// Name of the checkpoint file in the data directory.
const FILE_NAME: &str = "progress";
/// Name of the temporary file that is renamed over the checkpoint file.
const TEMP_FILE_NAME: &str = "progress.next";
/// First word of the file header; identifies the content and its format version.
const FORMAT_TAG: &str = "jayhollow-progress-1";
/// Maximum wait for the file at startup. A healthy disk reads it within a few
/// milliseconds, and the process can start without it.
const READ_TIMEOUT: time::Duration = time::Duration::from_millis(250);
/// Maximum size of a file that is written or read, in bytes. Checkpoints of forty items
/// take 0.7 MB.
const MAX_FILE_BYTES: usize = 16 << 20;

/// Handle to the thread that writes the checkpoint file; dropping it ends the thread.
#[derive(Debug)]
pub struct CheckpointFile {
    sender: crossbeam_channel::Sender<Vec<job_checkpoints::JobCheckpoint>>,
    was_empty: std::cell::Cell<bool>,
}

impl CheckpointFile {
    /// Starts the writer thread for a directory and returns the checkpoints stored
    /// there.
    ///
    /// # Errors
    /// Returns an error if the thread cannot be started.
    pub fn start(folder: path::PathBuf) -> io::Result<(Self, Vec<job_checkpoints::JobCheckpoint>)> {
        // At most one write is queued: later ones are skipped while a slow disk catches
        // up.
        let (sender, receiver) = crossbeam_channel::bounded(1);
        let (loaded, load_receiver) = crossbeam_channel::bounded(1);
        thread::Builder::new()
            .name("progress".into())
            .spawn(move || {
                // The receiver is already gone if the disk took longer than
                // `READ_TIMEOUT`.
                drop(loaded.send(read_or_log(&folder)));
                run_writer(&folder, &receiver);
            })?;
        let jobs = load_receiver
            .recv_timeout(READ_TIMEOUT)
            .unwrap_or_else(|_| {
                log::warn!("event=progress_unread why=\"reading the checkpoint file timed out\"");
                Vec::new()
            });
        let file = Self {
            sender,
            was_empty: std::cell::Cell::new(jobs.is_empty()),
        };
        Ok((file, jobs))
    }

    /// Queues checkpoints of all jobs, which replace the content of the file.
    pub fn write(&self, jobs: Vec<job_checkpoints::JobCheckpoint>) {
        let is_empty = jobs.is_empty();
        if self.was_empty.get() && is_empty {
            return;
        }
        match self.sender.try_send(jobs) {
            Ok(()) => self.was_empty.set(is_empty),
            Err(_) => log::debug!("event=progress_skipped why=\"a write is still queued\""),
        }
    }
}

/// Reads the file; logs the reason and returns no checkpoints if it is unusable.
fn read_or_log(folder: &path::Path) -> Vec<job_checkpoints::JobCheckpoint> {
    match read(folder) {
        Ok(jobs) => {
            log::info!("event=progress_read jobs={}", jobs.len());
            jobs
        }
        Err(e) => {
            log::info!("event=progress_unread why=\"{e}\"");
            Vec::new()
        }
    }
}

/// Writes each queued set of checkpoints until the channel is closed.
fn run_writer(
    folder: &path::Path,
    receiver: &crossbeam_channel::Receiver<Vec<job_checkpoints::JobCheckpoint>>,
) {
    let mut was_failing = false;
    while let Ok(jobs) = receiver.recv() {
        let written = write(folder, &jobs);
        if let (Err(e), false) = (&written, was_failing) {
            log::warn!("event=progress_unwritten why=\"{e}\"");
        }
        was_failing = written.is_err();
    }
}

/// Encodes the file: a header line with format, length and hash, then the checkpoints.
fn encode(jobs: &[job_checkpoints::JobCheckpoint]) -> io::Result<Vec<u8>> {
    let body = serde_json::to_vec(jobs)?;
    let mut text = format!("{FORMAT_TAG} {} {}\n", body.len(), hex_hash(&body)).into_bytes();
    text.extend(body);
    Ok(text)
}

fn hex_hash(body: &[u8]) -> String {
    format!("{:016x}", xxh3::xxh3_64(body))
}

/// Replaces the file atomically: a reader finds either the old or the new content.
///
/// # Errors
/// Returns an error if the disk write fails or the file would be too large.
pub fn write(folder: &path::Path, jobs: &[job_checkpoints::JobCheckpoint]) -> io::Result<()> {
    let text = encode(jobs)?;
    if text.len() > MAX_FILE_BYTES {
        return Err(io::ErrorKind::FileTooLarge.into());
    }
    let temp_file = folder.join(TEMP_FILE_NAME);
    let mut file = fs::File::create(&temp_file)?;
    file.write_all(&text)?;
    file.sync_data()?;
    fs::rename(&temp_file, folder.join(FILE_NAME))?;
    fs::File::open(folder)?.sync_all()
}

/// Reason why a checkpoint file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum CheckpointFileError {
    /// The file is missing or cannot be read.
    #[error("cannot read the checkpoint file: {0}")]
    Unreadable(#[from] io::Error),
    /// The file is too large, incomplete, corrupt or in an unknown format.
    #[error("the checkpoint file is incomplete, corrupt or in an unknown format")]
    Invalid,
}

/// Reads the checkpoints from the file.
///
/// # Errors
/// Returns an error if the file is missing, unreadable or invalid.
pub fn read(
    folder: &path::Path,
) -> Result<Vec<job_checkpoints::JobCheckpoint>, CheckpointFileError> {
    let file = folder.join(FILE_NAME);
    if fs::metadata(&file)?.len() > MAX_FILE_BYTES as u64 {
        return Err(CheckpointFileError::Invalid);
    }
    decode(&fs::read(file)?).ok_or(CheckpointFileError::Invalid)
}

fn decode(text: &[u8]) -> Option<Vec<job_checkpoints::JobCheckpoint>> {
    let end = text.iter().position(|byte| *byte == b'\n')?;
    let (header, body) = text.split_at(end);
    let body = &body[1..];
    let mut fields = std::str::from_utf8(header).ok()?.split(' ');
    let is_known_format = fields.next()? == FORMAT_TAG;
    let is_whole = fields.next()?.parse() == Ok(body.len());
    let is_intact = fields.next()? == hex_hash(body);
    let is_valid = is_known_format && is_whole && is_intact && fields.next().is_none();
    is_valid.then(|| serde_json::from_slice(body).ok())?
}
