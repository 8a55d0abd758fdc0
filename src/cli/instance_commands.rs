//! Subcommands of `jayhollow instance`.

use super::{client, output, CommandResult, GatewayProfile};

/// Subcommands of `jayhollow instance`.
#[derive(Debug, clap::Subcommand)]
pub enum InstanceCommand {
    /// List the live instances.
    List,
    /// Stop an instance gracefully: it finishes its requests first.
    Stop {
        /// Name of the instance.
        id: String,
    },
}

/// Runs a subcommand of `jayhollow instance`.
///
/// # Errors
/// The gateway cannot be reached or refuses the request.
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
