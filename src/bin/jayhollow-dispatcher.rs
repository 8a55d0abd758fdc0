//! Executable of the dispatcher.

use clap::Parser;
use jayhollow::{daemon, dispatcher, link, settings};
use miette::IntoDiagnostic as _;

/// Dispatcher: owns endpoints, issues permits and runs batch work.
#[derive(Debug, Parser)]
#[command(version)]
struct DispatcherFlags {
    #[command(flatten)]
    daemon: daemon::DaemonFlags,
}

fn main() -> miette::Result<()> {
    let flags = DispatcherFlags::parse();
    let Some(settings) =
        daemon::prepare::<settings::dispatcher::DispatcherSettings>(&flags.daemon)?
    else {
        return Ok(());
    };
    let signals = daemon::StopSignals::listen().into_diagnostic()?;
    let secret = link::LinkSecret::read(&settings.link.secret_file).into_diagnostic()?;
    let dispatcher = dispatcher::start(settings, secret, None).into_diagnostic()?;
    let metrics = dispatcher
        .metrics_address
        .map_or("none".into(), |a| a.to_string());
    println!("link={} metrics={metrics}", dispatcher.link_address);
    signals.wait(Some(&dispatcher.context.fleet));
    dispatcher.stop().into_diagnostic()
}
