//! Tests that the checkpoint file is either read completely or rejected.

use std::{fs, path, time};

use jayhollow::{
    ids,
    serving::{checkpoint_file, job_checkpoints, wire},
};

fn temp_dir() -> path::PathBuf {
    let directory = std::env::temp_dir().join(ids::unique("jayhollow-progress"));
    fs::create_dir_all(&directory).expect("failed to create the directory");
    directory
}

fn sample_checkpoint() -> job_checkpoints::JobCheckpoint {
    let item = |index, state| job_checkpoints::ItemCheckpoint {
        index,
        chain: 7,
        skipped: 0,
        events: vec!["one".into(), "two".into()],
        state,
        last_event: Some(2),
        software: None,
        failures: 1,
        spent: time::Duration::from_millis(30),
    };
    job_checkpoints::JobCheckpoint {
        job: "job-1".parse().expect("valid job identifier"),
        items: vec![item(0, None), item(3, Some(wire::ItemState::Completed))],
    }
}

#[test]
fn written_checkpoints_are_read_back() {
    let directory = temp_dir();
    assert!(
        checkpoint_file::read(&directory).is_err(),
        "no file written yet"
    );
    checkpoint_file::write(&directory, &[sample_checkpoint()]).expect("failed to write the file");
    checkpoint_file::write(&directory, &[sample_checkpoint(), sample_checkpoint()])
        .expect("failed to replace the file");
    let read = checkpoint_file::read(&directory).expect("failed to read the file");
    assert_eq!(read, [sample_checkpoint(), sample_checkpoint()]);
    fs::remove_dir_all(directory).expect("failed to remove the directory");
}

#[test]
fn corrupt_or_truncated_file_is_rejected() {
    let directory = temp_dir();
    checkpoint_file::write(&directory, &[sample_checkpoint()]).expect("failed to write the file");
    let file = directory.join("progress");
    let whole = fs::read(&file).expect("failed to read the file");
    for length in 0..whole.len() {
        fs::write(&file, &whole[..length]).expect("failed to write the file");
        assert!(
            checkpoint_file::read(&directory).is_err(),
            "truncated to {length} bytes"
        );
    }
    for offset in 0..whole.len() {
        let mut changed = whole.clone();
        changed[offset] ^= 0x20;
        fs::write(&file, &changed).expect("failed to write the file");
        assert!(
            checkpoint_file::read(&directory).is_err(),
            "byte {offset} changed"
        );
    }
    let mut longer = whole.clone();
    longer.push(b' ');
    fs::write(&file, &longer).expect("failed to write the file");
    assert!(checkpoint_file::read(&directory).is_err(), "trailing byte");
    fs::remove_dir_all(directory).expect("failed to remove the directory");
}

#[test]
fn missing_directory_loses_only_the_file() {
    let directory = temp_dir();
    fs::remove_dir_all(&directory).expect("failed to remove the directory");
    assert!(checkpoint_file::write(&directory, &[sample_checkpoint()]).is_err());
    let started = checkpoint_file::CheckpointFile::start(directory);
    let (file, jobs) = started.expect("failed to start the thread");
    assert!(jobs.is_empty());
    for _ in 0..10 {
        file.write(vec![sample_checkpoint()]);
    }
}

#[test]
fn startup_does_not_wait_for_a_hanging_disk() {
    let directory = temp_dir();
    // A named pipe without a writer: opening it blocks forever.
    let pipe = directory.join("progress");
    let name = std::ffi::CString::new(pipe.to_str().expect("path is not valid UTF-8"))
        .expect("path contains a NUL byte");
    // SAFETY: `name` points to a NUL-terminated string.
    let status = unsafe { libc::mkfifo(name.as_ptr(), 0o600) };
    assert_eq!(status, 0);
    let started = checkpoint_file::CheckpointFile::start(directory.clone());
    let (file, jobs) = started.expect("failed to start the thread");
    assert!(jobs.is_empty());
    for _ in 0..10 {
        file.write(vec![sample_checkpoint()]);
    }
    fs::remove_dir_all(directory).expect("failed to remove the directory");
}
