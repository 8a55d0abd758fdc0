//! Processes of a fleet under test.

use std::{
    ffi, fs,
    io::{self, BufRead as _},
    net, path, process,
    sync::mpsc,
    thread, time,
};

use super::{POLL_INTERVAL, TIMEOUT};

/// A process of the fleet, killed when dropped.
pub struct FleetProcess {
    child: process::Child,
    line: String,
    config: path::PathBuf,
    program: String,
}

impl Drop for FleetProcess {
    fn drop(&mut self) {
        self.signal(libc::SIGCONT);
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl FleetProcess {
    /// Starts a program on a settings file and reads the line that it prints.
    pub fn start(
        folder: &path::Path,
        program: &str,
        name: &str,
        config: &serde_json::Value,
    ) -> Self {
        let file = folder.join(format!("{name}.json"));
        fs::write(&file, config.to_string()).expect("the settings are written");
        Self::start_on(&file, program)
    }

    fn start_on(file: &path::Path, program: &str) -> Self {
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(file.with_extension("log"))
            .expect("the log is opened");
        let mut child = process::Command::new(chosen_path(file, program))
            .arg("--config")
            .arg(file)
            .stdout(process::Stdio::piped())
            .stderr(log)
            .spawn()
            .expect("the program starts");
        let output = child.stdout.take().expect("its output is piped");
        let (sender, receiver) = mpsc::channel();
        thread::spawn(move || {
            let mut line = String::new();
            let _ = io::BufReader::new(output).read_line(&mut line);
            let _ = sender.send(line);
        });
        let line = receiver
            .recv_timeout(TIMEOUT)
            .expect("the program prints a line");
        assert!(!line.is_empty(), "{program} ended: see {}", file.display());
        Self {
            child,
            line,
            config: file.to_owned(),
            program: program.to_owned(),
        }
    }

    /// The address that the program printed under a name.
    pub fn address(&self, name: &str) -> net::SocketAddr {
        let prefix = format!("{name}=");
        let found = self
            .line
            .split_whitespace()
            .find_map(|p| p.strip_prefix(prefix.as_str()));
        found
            .expect("the address is printed")
            .parse()
            .expect("it is an address")
    }

    /// The process's number.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: libc::c_int) {
        // SAFETY: the process is a child of ours and was not waited for yet.
        unsafe { libc::kill(self.child.id() as libc::pid_t, signal) };
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        self.child.kill().expect("the process is killed");
        self.child.wait().expect("the process ends");
    }

    /// Kills the process and starts it again on the same settings.
    pub fn restart(&mut self) {
        self.kill();
        *self = Self::start_on(&self.config.clone(), &self.program.clone());
    }

    /// Waits for the process to end by itself; gives whether it exited with 0.
    pub fn wait_end(&mut self) -> bool {
        let deadline = time::Instant::now() + TIMEOUT;
        while time::Instant::now() < deadline {
            if let Some(status) = self.child.try_wait().expect("the process can be looked at") {
                return status.success();
            }
            thread::sleep(POLL_INTERVAL);
        }
        panic!("{} did not end in time", self.program);
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child
            .try_wait()
            .expect("the process can be looked at")
            .is_some()
    }
}

/// Folder with the programs of another build, for a fleet of two versions.
const OTHER_BUILD_VARIABLE: &str = "JAYHOLLOW_TEST_OTHER_BUILD";

/// Programs, or processes by name, that are taken from it, such as `gateway,dispatcher-0`.
const OTHER_PROGRAMS_VARIABLE: &str = "JAYHOLLOW_TEST_OTHER_PROGRAMS";

fn chosen_path(config: &path::Path, program: &str) -> path::PathBuf {
    let own = path::Path::new(program_path(program));
    let Ok(folder) = std::env::var(OTHER_BUILD_VARIABLE) else {
        return own.to_owned();
    };
    let others = std::env::var(OTHER_PROGRAMS_VARIABLE).unwrap_or_default();
    let is_other = |name| name == program || config.file_stem() == Some(ffi::OsStr::new(name));
    match others.split(',').any(is_other) {
        true => path::Path::new(&folder).join(own.file_name().expect("it is a file")),
        false => own.to_owned(),
    }
}

fn program_path(program: &str) -> &'static str {
    match program {
        "gateway" => env!("CARGO_BIN_EXE_jayhollow-gateway"),
        "dispatcher" => env!("CARGO_BIN_EXE_jayhollow-dispatcher"),
        _ => env!("CARGO_BIN_EXE_jayhollow-standin"),
    }
}
