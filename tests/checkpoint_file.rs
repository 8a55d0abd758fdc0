//! The file with the progress of jobs: whole or not used.

use std::{fs, path, time};

use jayhollow::{
    ids,
    serving::{checkpoint_file, job_checkpoints, wire},
};

fn folder() -> path::PathBuf {
    let folder = std::env::temp_dir().join(ids::unique("jayhollow-progress"));
    fs::create_dir_all(&folder).expect("the folder is made");
    folder
}

fn job() -> job_checkpoints::JobCheckpoint {
    let item = |index, state| job_checkpoints::ItemCheckpoint {
        index,
        chain: 7,
        skipped: 0,
        events: vec!["one".into(), "two".into()],
        state,
        last_event: Some(2),
        failures: 1,
        spent: time::Duration::from_millis(30),
    };
    job_checkpoints::JobCheckpoint {
        job: "job-1".parse().expect("a name"),
        items: vec![item(0, None), item(3, Some(wire::ItemState::Completed))],
    }
}

#[test]
fn what_is_written_is_read() {
    let folder = folder();
    assert!(checkpoint_file::read(&folder).is_err(), "there is none yet");
    checkpoint_file::write(&folder, &[job()]).expect("it is written");
    checkpoint_file::write(&folder, &[job(), job()]).expect("it is replaced");
    let read = checkpoint_file::read(&folder).expect("it is whole");
    assert_eq!(read, [job(), job()]);
    fs::remove_dir_all(folder).expect("the folder is removed");
}

#[test]
fn a_file_with_any_byte_changed_or_missing_is_not_used() {
    let folder = folder();
    checkpoint_file::write(&folder, &[job()]).expect("it is written");
    let file = folder.join("progress");
    let whole = fs::read(&file).expect("it is there");
    for cut in 0..whole.len() {
        fs::write(&file, &whole[..cut]).expect("it is written");
        assert!(checkpoint_file::read(&folder).is_err(), "cut at {cut}");
    }
    for at in 0..whole.len() {
        let mut changed = whole.clone();
        changed[at] ^= 0x20;
        fs::write(&file, &changed).expect("it is written");
        assert!(checkpoint_file::read(&folder).is_err(), "changed at {at}");
    }
    let mut longer = whole.clone();
    longer.push(b' ');
    fs::write(&file, &longer).expect("it is written");
    assert!(checkpoint_file::read(&folder).is_err(), "longer");
    fs::remove_dir_all(folder).expect("the folder is removed");
}

#[test]
fn a_disk_that_is_gone_costs_the_file_only() {
    let folder = folder();
    fs::remove_dir_all(&folder).expect("the folder is removed");
    assert!(checkpoint_file::write(&folder, &[job()]).is_err());
    let started = checkpoint_file::CheckpointFile::start(folder);
    let (file, jobs) = started.expect("the thread starts");
    assert!(jobs.is_empty());
    for _ in 0..10 {
        file.write(vec![job()]);
    }
}

#[test]
fn a_start_does_not_wait_for_a_disk_that_hangs() {
    let folder = folder();
    // A pipe that nobody writes to: opening it waits for ever.
    let pipe = folder.join("progress");
    let name = std::ffi::CString::new(pipe.to_str().expect("it is text")).expect("no zero");
    // SAFETY: the name is a string that ends with a zero.
    let made = unsafe { libc::mkfifo(name.as_ptr(), 0o600) };
    assert_eq!(made, 0);
    let started = checkpoint_file::CheckpointFile::start(folder.clone());
    let (file, jobs) = started.expect("the thread starts");
    assert!(jobs.is_empty());
    for _ in 0..10 {
        file.write(vec![job()]);
    }
    fs::remove_dir_all(folder).expect("the folder is removed");
}
