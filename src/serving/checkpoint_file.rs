//! The progress of jobs on the disk of an instance, for its next start.
//!
//! A cache: it is written beside the work by a thread of its own, read once at
//! the start, and dropped whole when anything about it is unsure. A disk that
//! is slow, full, failing or empty costs the file and nothing else.

use std::{
    fs,
    io::{self, Write as _},
    path, thread, time,
};

use xxhash_rust::xxh3;

use super::job_checkpoints;

/// Name of the file in the folder for data.
const FILE_NAME: &str = "progress";
/// Name under which the next one is written.
const NEXT_NAME: &str = "progress.next";
/// First word of the file: what it holds, and in which format.
const FORMAT: &str = "jayhollow-progress-1";
/// Longest wait for the file at the start: a sound disk reads it in some
/// milliseconds, and a process without it works as well.
const READ_TIMEOUT: time::Duration = time::Duration::from_millis(250);
/// Largest file that is written or read, in bytes. Forty items are 0.7 MB.
const MAX_FILE_BYTES: usize = 16 << 20;

/// Writes the file on a thread of its own; closing the ring ends it.
#[derive(Debug)]
pub struct CheckpointFile {
    ring: crossbeam_channel::Sender<Vec<job_checkpoints::JobCheckpoint>>,
    was_empty: std::cell::Cell<bool>,
}

impl CheckpointFile {
    /// Starts the writer for a folder; gives what the file there holds.
    ///
    /// # Errors
    /// The thread cannot be started.
    pub fn start(folder: path::PathBuf) -> io::Result<(Self, Vec<job_checkpoints::JobCheckpoint>)> {
        // One round waits at most: while a slow disk takes it, later ones are skipped.
        let (ring, rounds) = crossbeam_channel::bounded(1);
        let (found, finding) = crossbeam_channel::bounded(1);
        thread::Builder::new()
            .name("progress".into())
            .spawn(move || {
                // Nobody waits any more if the disk was slow.
                drop(found.send(read_or_log(&folder)));
                write_rounds(&folder, &rounds);
            })?;
        let jobs = finding.recv_timeout(READ_TIMEOUT).unwrap_or_else(|_| {
            log::warn!("event=progress_unread why=\"the disk is slow\"");
            Vec::new()
        });
        let file = Self {
            ring,
            was_empty: std::cell::Cell::new(jobs.is_empty()),
        };
        Ok((file, jobs))
    }

    /// Has the progress of all jobs written, in place of what the file holds.
    pub fn write(&self, jobs: Vec<job_checkpoints::JobCheckpoint>) {
        let is_empty = jobs.is_empty();
        if self.was_empty.get() && is_empty {
            return;
        }
        match self.ring.try_send(jobs) {
            Ok(()) => self.was_empty.set(is_empty),
            Err(_) => log::debug!("event=progress_skipped why=\"the disk is slow\""),
        }
    }
}

/// What the file holds; nothing, with a line on why, if it cannot be used.
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

/// Writes what comes out of the ring until it is closed.
fn write_rounds(
    folder: &path::Path,
    rounds: &crossbeam_channel::Receiver<Vec<job_checkpoints::JobCheckpoint>>,
) {
    let mut was_failing = false;
    while let Ok(jobs) = rounds.recv() {
        let written = write(folder, &jobs);
        if let (Err(e), false) = (&written, was_failing) {
            log::warn!("event=progress_unwritten why=\"{e}\"");
        }
        was_failing = written.is_err();
    }
}

/// The text of a file: a head with length and hash, and the jobs.
fn encode(jobs: &[job_checkpoints::JobCheckpoint]) -> io::Result<Vec<u8>> {
    let body = serde_json::to_vec(jobs)?;
    let mut text = format!("{FORMAT} {} {}\n", body.len(), hash_of(&body)).into_bytes();
    text.extend(body);
    Ok(text)
}

fn hash_of(body: &[u8]) -> String {
    format!("{:016x}", xxh3::xxh3_64(body))
}

/// Replaces the file: a reader finds the old one or the new one, whole.
///
/// # Errors
/// The disk refuses, or the file would be too large.
pub fn write(folder: &path::Path, jobs: &[job_checkpoints::JobCheckpoint]) -> io::Result<()> {
    let text = encode(jobs)?;
    if text.len() > MAX_FILE_BYTES {
        return Err(io::ErrorKind::FileTooLarge.into());
    }
    let next = folder.join(NEXT_NAME);
    let mut file = fs::File::create(&next)?;
    file.write_all(&text)?;
    file.sync_data()?;
    fs::rename(&next, folder.join(FILE_NAME))?;
    fs::File::open(folder)?.sync_all()
}

/// Why a file is not used.
#[derive(Debug, thiserror::Error)]
pub enum UnusableFile {
    /// There is none, or it cannot be read.
    #[error("the file cannot be read: {0}")]
    Unread(#[from] io::Error),
    /// It is not whole, or not of this format.
    #[error("the file is not whole or of another format")]
    Unsure,
}

/// Reads the file.
///
/// # Errors
/// There is none that can be trusted.
pub fn read(folder: &path::Path) -> Result<Vec<job_checkpoints::JobCheckpoint>, UnusableFile> {
    let file = folder.join(FILE_NAME);
    if fs::metadata(&file)?.len() > MAX_FILE_BYTES as u64 {
        return Err(UnusableFile::Unsure);
    }
    decode(&fs::read(file)?).ok_or(UnusableFile::Unsure)
}

fn decode(text: &[u8]) -> Option<Vec<job_checkpoints::JobCheckpoint>> {
    let end = text.iter().position(|byte| *byte == b'\n')?;
    let (head, body) = text.split_at(end);
    let body = &body[1..];
    let mut words = std::str::from_utf8(head).ok()?.split(' ');
    let is_known = words.next()? == FORMAT;
    let is_whole = words.next()?.parse() == Ok(body.len());
    let is_sound = words.next()? == hash_of(body);
    let is_sure = is_known && is_whole && is_sound && words.next().is_none();
    is_sure.then(|| serde_json::from_slice(body).ok())?
}
