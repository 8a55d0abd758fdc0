//! `jayhollow dev`: runs a whole fleet in one process, with embedded stand-ins.

use crate::{cli, daemon, local_fleet, smoke};

/// Runs `jayhollow dev`.
///
/// # Errors
/// Returns an error if the fleet cannot be started or stopped, or if a smoke test fails.
pub fn run(flags: &cli::DevFlags) -> cli::CommandResult<()> {
    let signals = daemon::StopSignals::listen().map_err(cli::CommandError::failed)?;
    let spec = local_fleet::LocalFleetSpec {
        listen: if flags.smoke {
            local_fleet::any_port()
        } else {
            flags.listen
        },
        data: flags.data.clone(),
        ..local_fleet::LocalFleetSpec::default()
    };
    let fleet = local_fleet::LocalFleet::start(&spec).map_err(cli::CommandError::failed)?;
    let outcome = if flags.smoke {
        smoke::run(&fleet)
    } else {
        print_welcome(&fleet);
        signals.wait(None);
        Ok(())
    };
    fleet.stop().map_err(cli::CommandError::failed)?;
    outcome
}

fn print_welcome(fleet: &local_fleet::LocalFleet) {
    let url = format!("http://{}", fleet.address());
    let key = local_fleet::CALLER_KEY;
    let model = local_fleet::MODEL;
    let service = local_fleet::SERVICE;
    println!("jayhollow is ready");
    println!("  callers    {url}   API key {key}");
    println!("  operators  {url}   key {}", local_fleet::OPERATOR_KEY);
    println!("  metrics    {url}/metrics");
    if let Some(metrics) = fleet.dispatchers[0].metrics_address {
        println!("  batch      http://{metrics}/metrics");
    }
    println!("try:");
    println!(
        "  curl -N {url}/v1/chat/completions -H 'authorization: Bearer {key}' \
         -H 'content-type: application/json' -d '{{\"model\":\"{model}\",\"stream\":true,\
         \"messages\":[{{\"role\":\"user\",\"content\":\"a cover note\"}}]}}'"
    );
    println!(
        "  curl {url}/services/{service}/check -H 'authorization: Bearer {key}' \
         -d 'Vitosha Blvd 1, Sofia'"
    );
    println!("  jayhollow --url {url} --key {key} job submit --wait examples/letters.jsonl");
}
