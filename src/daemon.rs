//! Command-line flags, settings loading and signal handling shared by all daemons.

use std::{path, process, sync::mpsc, time};

use crate::{fleet, log_setup, settings};

/// Exit code when a second signal interrupts a graceful shutdown.
const SECOND_SIGNAL_EXIT_CODE: i32 = 130;
/// Interval between checks for a stop request from the object service.
const STOP_POLL: time::Duration = time::Duration::from_millis(200);

/// Command-line flags common to all daemons.
#[derive(Debug, clap::Args)]
pub struct DaemonFlags {
    /// Settings file, in JSON.
    #[arg(long, value_name = "FILE")]
    pub config: path::PathBuf,
    /// Check the settings file, print the effective settings, and exit.
    #[arg(long)]
    pub check_config: bool,
    /// Minimum severity of log events: off, error, warn, info, debug, trace.
    #[arg(long, default_value = "info")]
    pub log_level: log::LevelFilter,
}

/// Loads the settings and starts logging; returns `None` after `--check-config`.
///
/// # Errors
/// Returns an error if the settings cannot be loaded or are invalid.
pub fn prepare<T: settings::CheckedSettings>(
    flags: &DaemonFlags,
) -> Result<Option<T>, settings::SettingsError> {
    let settings: T = settings::load(&flags.config)?;
    if flags.check_config {
        let text = serde_json::to_string_pretty(&settings).unwrap_or_default();
        println!("{text}");
        return Ok(None);
    }
    log_setup::start(flags.log_level);
    Ok(Some(settings))
}

/// Receiver of the termination signals SIGINT, SIGTERM and SIGHUP.
pub struct StopSignals {
    received: mpsc::Receiver<()>,
}

impl StopSignals {
    /// Installs the signal handler; a second signal terminates the process immediately.
    ///
    /// # Errors
    /// Returns an error if the handler cannot be installed.
    pub fn listen() -> Result<Self, ctrlc::Error> {
        let (sender, received) = mpsc::sync_channel(1);
        let mut signals = 0;
        ctrlc::set_handler(move || {
            signals += 1;
            if signals > 1 {
                process::exit(SECOND_SIGNAL_EXIT_CODE);
            }
            let _ = sender.try_send(());
        })?;
        Ok(Self { received })
    }

    /// Blocks until a signal arrives or an operator requests that this instance stop.
    pub fn wait(&self, fleet: Option<&fleet::FleetHandle>) {
        loop {
            if self.received.recv_timeout(STOP_POLL).is_ok() {
                return;
            }
            if fleet.is_some_and(|f| f.snapshot().stop_requested) {
                return;
            }
        }
    }
}
