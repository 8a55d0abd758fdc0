//! Log output, with one line of key=value pairs per event.

use std::{collections, io, sync::atomic, thread, time};

/// Capacity of the channel to the writer thread, in lines.
const CHANNEL_LINES: usize = 4096;
/// Maximum number of lines per second; a line costs about 10 µs of CPU time.
const LINES_PER_SECOND: u32 = 400;
/// Maximum number of lines per second about one kind of event, so that a flood of refusals leaves
/// room for the others.
const EVENT_LINES_PER_SECOND: u32 = 180;
/// Maximum number of warnings and errors per second beyond those.
const WARNINGS_PER_SECOND: u32 = 50;
/// Maximum length of a line in bytes: names that callers choose may be as long as a head.
const MAX_LINE_BYTES: usize = 2048;
/// Maximum length of the name of an event, in bytes.
const MAX_NAME_BYTES: usize = 48;
/// Position behind which no line has its level, which follows the time.
const MAX_LEVEL_END: usize = 48;

fn config() -> simplelog::Config {
    simplelog::ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_target_level(log::LevelFilter::Off)
        .set_thread_level(log::LevelFilter::Off)
        .set_location_level(log::LevelFilter::Off)
        .add_filter_allow_str("jayhollow")
        .build()
}

/// Starts logging to standard error.
///
/// Further calls have no effect, so that tests can start several daemons.
pub fn start(level: log::LevelFilter) {
    let _ = simplelog::WriteLogger::init(level, config(), io::stderr());
}

/// Starts non-blocking, rate-limited logging to standard output.
///
/// Lines that exceed the rate limit or that the output cannot accept are dropped and
/// counted; a later line reports the count.
pub fn start_bounded(level: log::LevelFilter) {
    let (sender, receiver) = crossbeam_channel::bounded::<Vec<u8>>(CHANNEL_LINES);
    let writer = LineWriter {
        sender,
        line: Vec::new(),
        second: time::Instant::now(),
        lines: 0,
        events: collections::HashMap::new(),
        warnings: 0,
    };
    let spawned = thread::Builder::new()
        .name("log".into())
        .spawn(move || write_lines(&receiver, &mut io::stdout()));
    match spawned {
        Ok(_) => {
            let _ = simplelog::WriteLogger::init(level, config(), writer);
        }
        Err(_) => start(level),
    }
}

/// Writes lines until all senders are dropped.
///
/// Continues after a write error, because the output may recover, for example when disk
/// space is freed or a slow collector catches up. Lines that fail are counted as dropped.
pub fn write_lines(lines: &crossbeam_channel::Receiver<Vec<u8>>, output: &mut impl io::Write) {
    while let Ok(line) = lines.recv() {
        let written = output.write_all(&line).and_then(|()| output.flush());
        if written.is_err() {
            DROPPED.fetch_add(1, atomic::Ordering::Relaxed);
        }
    }
}

/// Number of dropped lines that have not been reported yet.
static DROPPED: atomic::AtomicU64 = atomic::AtomicU64::new(0);

/// Writer that passes complete lines to the writer thread.
struct LineWriter {
    sender: crossbeam_channel::Sender<Vec<u8>>,
    line: Vec<u8>,
    second: time::Instant,
    /// Lines in this second; of `events`, by name, of which the code has some hundred; and of
    /// `warnings` beyond the limit.
    lines: u32,
    events: collections::HashMap<Vec<u8>, u32>,
    warnings: u32,
}

impl LineWriter {
    fn send(&mut self, line: Vec<u8>) {
        if self.second.elapsed() >= time::Duration::from_secs(1) {
            self.second = time::Instant::now();
            self.lines = 0;
            self.events.clear();
            self.warnings = 0;
            let dropped = DROPPED.swap(0, atomic::Ordering::Relaxed);
            if dropped > 0 {
                let notice = format!("event=log_lines_dropped count={dropped}\n");
                let _ = self.sender.try_send(notice.into_bytes());
            }
        }
        let of_event = match self.events.get_mut(event_name(&line)) {
            Some(of_event) => of_event,
            None => self.events.entry(event_name(&line).to_vec()).or_default(),
        };
        *of_event += 1;
        let mut over = *of_event > EVENT_LINES_PER_SECOND;
        if !over {
            self.lines += 1;
            over = self.lines > LINES_PER_SECOND;
        }
        if over && is_warning(&line) {
            self.warnings += 1;
            over = self.warnings > WARNINGS_PER_SECOND;
        }
        if over || self.sender.try_send(line).is_err() {
            DROPPED.fetch_add(1, atomic::Ordering::Relaxed);
        }
    }
}

/// Returns the name of the event of a line; empty without one.
fn event_name(line: &[u8]) -> &[u8] {
    let start = &line[..line.len().min(MAX_LEVEL_END + MAX_NAME_BYTES)];
    let marker = b"event=";
    let found = start.windows(marker.len()).position(|part| part == marker);
    let name = found.map_or(&[][..], |at| &start[at + marker.len()..]);
    name.split(|b| b.is_ascii_whitespace())
        .next()
        .unwrap_or(name)
}

/// Returns whether a line has the level of a warning or an error.
fn is_warning(line: &[u8]) -> bool {
    let levels = [&b"[WARN]"[..], b"[ERROR]"];
    let start = &line[..line.len().min(MAX_LEVEL_END)];
    let is_in_start = |level: &&[u8]| start.windows(level.len()).any(|part| part == *level);
    levels.iter().any(is_in_start)
}

impl io::Write for LineWriter {
    fn write(&mut self, data: &[u8]) -> io::Result<usize> {
        let room = MAX_LINE_BYTES.saturating_sub(self.line.len());
        self.line.extend_from_slice(&data[..data.len().min(room)]);
        if data.last() == Some(&b'\n') {
            let mut line = std::mem::take(&mut self.line);
            if line.last() != Some(&b'\n') {
                line.extend_from_slice(b"...\n");
            }
            self.send(line);
        }
        Ok(data.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
