//! `jayhollow instance`.

use super::{client, output, CommandResult, GatewayProfile};

/// What can be done with instances.
#[derive(Debug, clap::Subcommand)]
pub enum InstanceCommand {
    /// List the live instances.
    List,
    /// Stop an instance as planned: it finishes every request first.
    Stop {
        /// Its name.
        id: String,
    },
}

/// Runs a command.
///
/// # Errors
/// The gateway cannot be reached or refuses.
pub async fn run(profile: &GatewayProfile, command: &InstanceCommand) -> CommandResult<()> {
    let client = client::ApiClient::new(profile);
    match command {
        InstanceCommand::List => {
            let response = client.get("/operator/v1/instances").await?;
            let rows = response["instances"]
                .as_array()
                .cloned()
                .unwrap_or_default();
            let fields = ["id", "role", "domain", "generation", "leaving"];
            output::print(profile.output, &response, &rows, &fields);
        }
        InstanceCommand::Stop { id } => {
            let path = format!("/operator/v1/instances/{id}/stop");
            let response = client.post(&path, Vec::new()).await?;
            output::print(
                profile.output,
                &response,
                std::slice::from_ref(&response),
                &["stopping"],
            );
        }
    }
    Ok(())
}
