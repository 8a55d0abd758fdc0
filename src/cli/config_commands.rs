//! `jayhollow config`.

use std::path;

use super::{CommandError, CommandResult};
use crate::{bundle, settings};

/// What can be done with settings.
#[derive(Debug, clap::Subcommand)]
pub enum ConfigCommand {
    /// Print the settings that are in force for a file, defaults included.
    Show {
        /// Whose settings they are.
        #[arg(value_enum)]
        role: SettingsRole,
        /// The settings file.
        file: path::PathBuf,
    },
    /// Print all keys of a kind of settings, as they stand in the docs.
    Table {
        /// Whose settings they are.
        #[arg(value_enum)]
        role: SettingsRole,
    },
    /// Print the JSON schema of a kind of settings.
    Schema {
        /// Whose settings they are.
        #[arg(value_enum)]
        role: SettingsRole,
    },
}

/// Kinds of settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum SettingsRole {
    /// `jayhollow-gateway`.
    Gateway,
    /// `jayhollow-dispatcher`.
    Dispatcher,
    /// `jayhollow-standin`.
    Standin,
    /// The command line `jayhollow`.
    Client,
    /// Bundles; only their schema can be printed.
    Bundle,
}

/// Runs a command.
///
/// # Errors
/// The settings are refused.
pub fn run(command: &ConfigCommand) -> CommandResult<()> {
    match command {
        ConfigCommand::Show { role, file } => println!("{}", show(*role, file)?),
        ConfigCommand::Table { role } => print!("{}", table(*role)),
        ConfigCommand::Schema { role } => println!("{}", schema(*role)),
    }
    Ok(())
}

fn show(role: SettingsRole, file: &path::Path) -> CommandResult<String> {
    fn load<T: settings::CheckedSettings>(file: &path::Path) -> CommandResult<String> {
        let settings: T = settings::load(file).map_err(CommandError::failed)?;
        serde_json::to_string_pretty(&settings).map_err(CommandError::failed)
    }
    match role {
        SettingsRole::Gateway => load::<settings::gateway::GatewaySettings>(file),
        SettingsRole::Dispatcher => load::<settings::dispatcher::DispatcherSettings>(file),
        SettingsRole::Standin => load::<settings::standin::StandinSettings>(file),
        SettingsRole::Client => load::<settings::client::ClientSettings>(file),
        SettingsRole::Bundle => Err(CommandError::failed(
            "a bundle has no settings; see 'jayhollow bundle check'",
        )),
    }
}

/// All keys of a kind of settings, as a table in Markdown.
pub fn table(role: SettingsRole) -> String {
    let schema = serde_json::from_str(&schema(role)).unwrap_or_default();
    settings::table::markdown(&schema)
}

/// The JSON schema of a kind of settings, as it stands under `docs/schema/`.
pub fn schema(role: SettingsRole) -> String {
    let schema = match role {
        SettingsRole::Gateway => schemars::schema_for!(settings::gateway::GatewaySettings),
        SettingsRole::Dispatcher => schemars::schema_for!(settings::dispatcher::DispatcherSettings),
        SettingsRole::Standin => schemars::schema_for!(settings::standin::StandinSettings),
        SettingsRole::Client => schemars::schema_for!(settings::client::ClientSettings),
        SettingsRole::Bundle => schemars::schema_for!(bundle::BundleDocument),
    };
    serde_json::to_string_pretty(&schema).unwrap_or_default()
}
