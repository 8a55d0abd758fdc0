//! Executable of the stand-ins; each process simulates one external system.

use clap::Parser;
use jayhollow::{daemon, settings, standin};
use miette::IntoDiagnostic as _;

/// Stand-in: simulates the object service, a model engine or a plain service.
#[derive(Debug, Parser)]
#[command(version)]
struct StandinFlags {
    #[command(flatten)]
    daemon: daemon::DaemonFlags,
}

fn main() -> miette::Result<()> {
    let flags = StandinFlags::parse();
    let Some(settings) = daemon::prepare::<settings::standin::StandinSettings>(&flags.daemon)?
    else {
        return Ok(());
    };
    let signals = daemon::StopSignals::listen().into_diagnostic()?;
    let server = standin::start(settings).into_diagnostic()?;
    println!("listen={}", server.address);
    signals.wait(None);
    server.stop(false).into_diagnostic()
}
