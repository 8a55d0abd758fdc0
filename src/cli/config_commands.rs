//! Subcommands of `jayhollow config`.

use std::path;

use super::{CommandError, CommandResult};
use crate::{bundle, settings};

/// Subcommands of `jayhollow config`.
#[derive(Debug, clap::Subcommand)]
pub enum ConfigCommand {
    /// Print the effective settings of a file, defaults included.
    Show {
        /// Kind of settings.
        #[arg(value_enum)]
        role: SettingsRole,
        /// Settings file, in JSON.
        file: path::PathBuf,
    },
    /// Print all keys of a kind of settings as a Markdown table.
    Table {
        /// Kind of settings.
        #[arg(value_enum)]
        role: SettingsRole,
    },
    /// Print the JSON schema of a kind of settings.
    Schema {
        /// Kind of settings.
        #[arg(value_enum)]
        role: SettingsRole,
    },
}

/// Kinds of settings, by the program that reads them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum SettingsRole {
    /// Settings of `jayhollow-gateway`.
    Gateway,
    /// Settings of `jayhollow-dispatcher`.
    Dispatcher,
    /// Settings of `jayhollow-standin`.
    Standin,
    /// Settings of the command line `jayhollow`.
    Client,
    /// Bundle document; it has a schema and a table, but no settings to show.
    Bundle,
}

/// Runs a subcommand of `jayhollow config`.
///
/// # Errors
/// The settings file cannot be read or is invalid.
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

/// Returns all keys of a kind of settings as a Markdown table, as in `docs/settings.md`.
pub fn table(role: SettingsRole) -> String {
    let schema = serde_json::from_str(&schema(role)).unwrap_or_default();
    settings::table::markdown(&schema)
}

/// Returns the JSON schema of a kind of settings, as in `docs/schema/`.
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
