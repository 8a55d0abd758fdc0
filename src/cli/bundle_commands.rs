//! Subcommands of `jayhollow bundle`.

use std::{fs, path};

use super::{client, output, CommandError, CommandResult, GatewayProfile};
use crate::bundle;

/// Subcommands of `jayhollow bundle`.
#[derive(Debug, clap::Subcommand)]
pub enum BundleCommand {
    /// Check a bundle locally, without a gateway.
    Check {
        /// Bundle file, in JSON.
        file: path::PathBuf,
    },
    /// Propose a bundle as the next generation.
    Submit {
        /// Bundle file, in JSON.
        file: path::PathBuf,
        /// Generation that the bundle is based on; if a newer one exists, the submission conflicts.
        #[arg(long)]
        parent: Option<u64>,
    },
    /// Accept a proposed bundle, which then becomes active everywhere.
    SignOff {
        /// Generation of the bundle.
        generation: u64,
    },
    /// Discard a proposed bundle.
    Discard {
        /// Generation of the bundle.
        generation: u64,
    },
    /// Show the accepted generation and the instances on which it is active.
    Status,
    /// Print the hash of an API key in the form that a bundle contains.
    HashKey {
        /// API key.
        api_key: String,
    },
}

/// Runs a subcommand of `jayhollow bundle`.
///
/// # Errors
/// The bundle has faults, or the gateway cannot be reached or refuses the request.
pub async fn run(profile: &GatewayProfile, command: &BundleCommand) -> CommandResult<()> {
    let client = client::ApiClient::new(profile);
    match command {
        BundleCommand::Check { file } => check(profile, file),
        BundleCommand::Submit { file, parent } => {
            let body = read(file)?;
            let query = parent.map(|p| format!("?parent={p}")).unwrap_or_default();
            let path = format!("/operator/v1/bundles{query}");
            let response = client.post(&path, body).await?;
            let fields = ["generation", "parent", "step", "author"];
            output::print(
                profile.output,
                &response,
                &[response["draft"].clone()],
                &fields,
            );
            Ok(())
        }
        BundleCommand::SignOff { generation } => {
            let path = format!("/operator/v1/bundles/sign-off?generation={generation}");
            let response = client.post(&path, Vec::new()).await?;
            let fields = ["generation", "step", "author", "signer"];
            output::print(
                profile.output,
                &response,
                &[response["accepted"].clone()],
                &fields,
            );
            Ok(())
        }
        BundleCommand::Discard { generation } => {
            let path = format!("/operator/v1/bundles/discard?generation={generation}");
            let response = client.post(&path, Vec::new()).await?;
            output::print(
                profile.output,
                &response,
                std::slice::from_ref(&response),
                &["discarded"],
            );
            Ok(())
        }
        BundleCommand::Status => {
            let response = client.get("/operator/v1/bundles").await?;
            let fields = [
                "accepted.generation",
                "accepted.step",
                "live_instances",
                "in_force_at",
                "lagging",
            ];
            output::print(
                profile.output,
                &response,
                std::slice::from_ref(&response),
                &fields,
            );
            Ok(())
        }
        BundleCommand::HashKey { api_key } => {
            println!("{}", bundle::hash_key(api_key));
            Ok(())
        }
    }
}

fn read(file: &path::Path) -> CommandResult<Vec<u8>> {
    fs::read(file).map_err(|e| CommandError::failed(format!("{}: {e}", file.display())))
}

fn check(profile: &GatewayProfile, file: &path::Path) -> CommandResult<()> {
    let text = read(file)?;
    let mut deserializer = serde_json::Deserializer::from_slice(&text);
    let document: bundle::BundleDocument = serde_path_to_error::deserialize(&mut deserializer)
        .map_err(|e| {
            let key = e.path().to_string();
            CommandError::failed(format!("{} at '{key}': {}", file.display(), e.into_inner()))
        })?;
    let faults = document.faults();
    let rows: Vec<serde_json::Value> = faults
        .iter()
        .map(|f| serde_json::json!({"path": f.path, "problem": f.problem}))
        .collect();
    let value = serde_json::json!({"valid": faults.is_empty(), "faults": rows});
    output::print(profile.output, &value, &rows, &["path", "problem"]);
    if faults.is_empty() {
        return Ok(());
    }
    Err(CommandError::failed(format!(
        "the bundle has {} faults",
        faults.len()
    )))
}
