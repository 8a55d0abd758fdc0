//! Executable of the gateway.

use clap::Parser;
use jayhollow::{daemon, gateway, link, settings};
use miette::IntoDiagnostic as _;

/// Gateway: serves the API for callers and operators.
#[derive(Debug, Parser)]
#[command(version)]
struct GatewayFlags {
    #[command(flatten)]
    daemon: daemon::DaemonFlags,
}

fn main() -> miette::Result<()> {
    let flags = GatewayFlags::parse();
    let Some(settings) = daemon::prepare::<settings::gateway::GatewaySettings>(&flags.daemon)?
    else {
        return Ok(());
    };
    let signals = daemon::StopSignals::listen().into_diagnostic()?;
    let secret = link::LinkSecret::read(&settings.link.secret_file).into_diagnostic()?;
    let gateway = gateway::start(settings, secret).into_diagnostic()?;
    println!("callers={} link={}", gateway.address, gateway.link_address);
    signals.wait(Some(&gateway.context.fleet));
    gateway.stop().into_diagnostic()
}
