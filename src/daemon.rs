//! What the daemons' programs share: flags, settings, signals, planned stops.

use std::{path, process, sync::mpsc, time};

use crate::{fleet, log_setup, settings};

/// Exit code of a second signal during a planned stop.
const IMPATIENT_EXIT: i32 = 130;
/// How often a daemon looks whether it was asked to stop through the object service.
const STOP_POLL: time::Duration = time::Duration::from_millis(200);

/// Flags of every daemon.
#[derive(Debug, clap::Args)]
pub struct DaemonFlags {
    /// Settings file, in JSON.
    #[arg(long, value_name = "FILE")]
    pub config: path::PathBuf,
    /// Check the settings file, print what would be in force, and exit.
    #[arg(long)]
    pub check_config: bool,
    /// Least severe events to log: off, error, warn, info, debug, trace.
    #[arg(long, default_value = "info")]
    pub log_level: log::LevelFilter,
}

/// Reads the settings and starts the log; nothing if only a check was wanted.
///
/// # Errors
/// The settings are refused.
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

/// Signals that ask the process to stop: SIGINT, SIGTERM, SIGHUP.
pub struct StopSignals {
    received: mpsc::Receiver<()>,
}

impl StopSignals {
    /// Begins to listen; the second signal ends the process at once.
    ///
    /// # Errors
    /// The system refuses the handler.
    pub fn listen() -> Result<Self, ctrlc::Error> {
        let (sender, received) = mpsc::sync_channel(1);
        let mut signals = 0;
        ctrlc::set_handler(move || {
            signals += 1;
            if signals > 1 {
                process::exit(IMPATIENT_EXIT);
            }
            let _ = sender.try_send(());
        })?;
        Ok(Self { received })
    }

    /// Waits for a signal, or until an operator asked this instance to stop.
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
