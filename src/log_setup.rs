//! Log output: one line of key=value pairs for each event.

use std::{io, sync::atomic, thread, time};

/// Lines that may wait for the output.
const RING_LINES: usize = 4096;
/// Lines a second at most; a line costs about 10 µs of processor time.
const LINES_PER_SECOND: u32 = 400;

fn config() -> simplelog::Config {
    simplelog::ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_target_level(log::LevelFilter::Off)
        .set_thread_level(log::LevelFilter::Off)
        .set_location_level(log::LevelFilter::Off)
        .add_filter_allow_str("jayhollow")
        .build()
}

/// Starts the log on standard error.
///
/// A second call changes nothing, so that tests may start several daemons.
pub fn start(level: log::LevelFilter) {
    let _ = simplelog::WriteLogger::init(level, config(), io::stderr());
}

/// Starts the log on standard output, bounded in lines and never waiting.
///
/// Lines beyond the bound of a second, or beyond what the output takes, are
/// dropped and counted; the count follows in a line of its own.
pub fn start_bounded(level: log::LevelFilter) {
    let (sender, receiver) = crossbeam_channel::bounded::<Vec<u8>>(RING_LINES);
    let ring = LineRing {
        sender,
        line: Vec::new(),
        second: time::Instant::now(),
        lines: 0,
    };
    let spawned = thread::Builder::new()
        .name("log".into())
        .spawn(move || write_lines(&receiver, &mut io::stdout()));
    match spawned {
        Ok(_) => {
            let _ = simplelog::WriteLogger::init(level, config(), ring);
        }
        Err(_) => start(level),
    }
}

/// Writes lines until their senders are gone.
///
/// An output that fails once may take the next line: a full disk is emptied, and a
/// collector that is slow takes lines again. What it does not take is counted.
pub fn write_lines(lines: &crossbeam_channel::Receiver<Vec<u8>>, output: &mut impl io::Write) {
    while let Ok(line) = lines.recv() {
        let written = output.write_all(&line).and_then(|()| output.flush());
        if written.is_err() {
            DROPPED.fetch_add(1, atomic::Ordering::Relaxed);
        }
    }
}

/// Lines that were dropped and not yet told.
static DROPPED: atomic::AtomicU64 = atomic::AtomicU64::new(0);

/// Hands whole lines to the thread that writes them.
struct LineRing {
    sender: crossbeam_channel::Sender<Vec<u8>>,
    line: Vec<u8>,
    second: time::Instant,
    lines: u32,
}

impl LineRing {
    fn send(&mut self, line: Vec<u8>) {
        if self.second.elapsed() >= time::Duration::from_secs(1) {
            self.second = time::Instant::now();
            self.lines = 0;
            let dropped = DROPPED.swap(0, atomic::Ordering::Relaxed);
            if dropped > 0 {
                let told = format!("event=log_lines_dropped count={dropped}\n");
                let _ = self.sender.try_send(told.into_bytes());
            }
        }
        self.lines += 1;
        let over = self.lines > LINES_PER_SECOND;
        if over || self.sender.try_send(line).is_err() {
            DROPPED.fetch_add(1, atomic::Ordering::Relaxed);
        }
    }
}

impl io::Write for LineRing {
    fn write(&mut self, data: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(data);
        if self.line.last() == Some(&b'\n') {
            let line = std::mem::take(&mut self.line);
            self.send(line);
        }
        Ok(data.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
