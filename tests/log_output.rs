//! The log goes on after its output failed.
//!
//! What operators saw: after a disk had been full for a moment, a process served on
//! but never wrote a line again, so nothing could be explained from its log. Cause:
//! the thread that writes the lines ended at the first error of its output.

use std::io;

use jayhollow::log_setup;

/// An output that is full for its first few writes.
struct FullOutput {
    failures: u32,
    taken: Vec<u8>,
}

impl io::Write for FullOutput {
    fn write(&mut self, data: &[u8]) -> io::Result<usize> {
        if self.failures > 0 {
            self.failures -= 1;
            return Err(io::ErrorKind::StorageFull.into());
        }
        self.taken.extend_from_slice(data);
        Ok(data.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn lines_are_written_again_once_a_full_output_has_room() {
    let (sender, receiver) = crossbeam_channel::bounded(8);
    for line in ["event=a\n", "event=b\n", "event=c\n"] {
        sender.send(line.into()).expect("there is room");
    }
    drop(sender);
    let mut output = FullOutput {
        failures: 2,
        taken: Vec::new(),
    };
    log_setup::write_lines(&receiver, &mut output);
    assert_eq!(output.taken, b"event=c\n");
}
