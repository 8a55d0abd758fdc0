//! Processor time and memory of a process, read from the system.

use std::{fs, thread, time};

use super::BenchResult;

/// Flags of `jayhollow-bench process`.
#[derive(Debug, clap::Args)]
pub struct ProcessFlags {
    /// The process.
    #[arg(long)]
    pub pid: u32,
    /// Seconds over which processor time is counted.
    #[arg(long, default_value_t = 10)]
    pub seconds: u64,
}

/// Clock ticks a second in `/proc/PID/stat`, as Linux fixes it for user space.
const TICKS_PER_SECOND: f64 = 100.0;
/// Places of user and system time after the command's name in `/proc/PID/stat`.
const TIME_FIELDS: [usize; 2] = [11, 12];

/// Seconds of processor time that a process has used.
///
/// # Errors
/// The process cannot be looked at.
pub fn cpu_seconds(pid: u32) -> BenchResult<f64> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let (_, rest) = stat.rsplit_once(") ").ok_or("the stat file is cut")?;
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let mut ticks = 0.0;
    for place in TIME_FIELDS {
        ticks += fields
            .get(place)
            .ok_or("the stat file is cut")?
            .parse::<f64>()?;
    }
    Ok(ticks / TICKS_PER_SECOND)
}

/// Resident memory of a process, in bytes.
///
/// # Errors
/// The process cannot be looked at.
pub fn resident_bytes(pid: u32) -> BenchResult<u64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = status
        .lines()
        .find_map(|l| l.strip_prefix("VmRSS:"))
        .ok_or("no VmRSS")?;
    let kib: u64 = line.trim().trim_end_matches(" kB").trim().parse()?;
    Ok(kib * 1024)
}

/// Runs the measurement.
///
/// # Errors
/// The process cannot be looked at.
pub fn run(flags: &ProcessFlags) -> BenchResult<()> {
    let before = cpu_seconds(flags.pid)?;
    thread::sleep(time::Duration::from_secs(flags.seconds));
    let used = cpu_seconds(flags.pid)? - before;
    let percent = used / flags.seconds as f64 * 100.0;
    let mib = resident_bytes(flags.pid)? as f64 / f64::from(1 << 20);
    let value = serde_json::json!({
        "bench": "process", "pid": flags.pid, "seconds": flags.seconds,
        "cpu_percent_of_a_core": percent, "resident_mib": mib,
    });
    println!("{value}");
    Ok(())
}
