//! The command line `jayhollow`.

pub mod bundle_commands;
pub mod client;
pub mod config_commands;
pub mod explain_command;
pub mod instance_commands;
pub mod job_commands;
pub mod output;

use std::{net, path, process};

use clap::{CommandFactory as _, Parser};

use crate::{log_setup, settings};

/// Serves online and batch inference on one fleet of model endpoints.
#[derive(Debug, Parser)]
#[command(name = "jayhollow", version)]
pub struct CommandLine {
    /// Flags for the connection to a gateway and for the output.
    #[command(flatten)]
    pub profile: ProfileFlags,
    /// Command to run; without one, the help text is printed.
    #[command(subcommand)]
    pub command: Option<TopCommand>,
}

/// Flags for the connection to a gateway and for the output.
#[derive(Debug, clap::Args)]
pub struct ProfileFlags {
    /// Settings file of the command line, in JSON.
    #[arg(long, global = true, value_name = "FILE", env = "JAYHOLLOW_CONFIG")]
    pub config: Option<path::PathBuf>,
    /// Check the settings file, print the effective settings, and exit.
    #[arg(long, global = true)]
    pub check_config: bool,
    /// Minimum severity of logged events.
    #[arg(long, global = true, default_value = "warn")]
    pub log_level: log::LevelFilter,
    /// URL of a gateway; http://127.0.0.1:8080 by default.
    #[arg(long, global = true, env = "JAYHOLLOW_URL")]
    pub url: Option<String>,
    /// API key of a workspace, or an operator's key for bundles and instances.
    #[arg(long, global = true, env = "JAYHOLLOW_KEY", hide_env_values = true)]
    pub key: Option<String>,
    /// Operator name recorded with each change to a bundle.
    #[arg(long, global = true, env = "JAYHOLLOW_OPERATOR")]
    pub operator: Option<String>,
    /// Output format.
    #[arg(long, global = true, value_enum, default_value_t = output::OutputForm::Table)]
    pub output: output::OutputForm,
}

/// URL of the gateway if none is set.
const DEFAULT_URL: &str = "http://127.0.0.1:8080";
/// Name of the operator if none is set.
const DEFAULT_OPERATOR: &str = "operator";

impl ProfileFlags {
    fn settings(&self) -> CommandResult<settings::client::ClientSettings> {
        match &self.config {
            None => Ok(settings::client::ClientSettings::default()),
            Some(file) => settings::load(file).map_err(CommandError::failed),
        }
    }

    /// Merges flags, environment, settings file and defaults, in this order of precedence.
    fn resolve(&self) -> CommandResult<GatewayProfile> {
        let settings = self.settings()?;
        let read = |file: &path::PathBuf| {
            let text = std::fs::read_to_string(file);
            text.map_err(|e| CommandError::failed(format!("{}: {e}", file.display())))
        };
        let file_key = settings.key_file.as_ref().map(read).transpose()?;
        let key = self.key.clone().or(file_key).unwrap_or_default();
        let url = self.url.clone().or(settings.url);
        let operator = self.operator.clone().or(settings.operator);
        Ok(GatewayProfile {
            url: url.unwrap_or_else(|| DEFAULT_URL.into()),
            key: key.trim().to_owned(),
            operator: operator.unwrap_or_else(|| DEFAULT_OPERATOR.into()),
            output: self.output,
        })
    }
}

/// Resolved settings for the connection to a gateway and for the output.
#[derive(Debug, Clone)]
pub struct GatewayProfile {
    /// URL of the gateway.
    pub url: String,
    /// API key of a workspace or an operator's key; empty if none is set.
    pub key: String,
    /// Operator name recorded with each change to a bundle.
    pub operator: String,
    /// Output format.
    pub output: output::OutputForm,
}

/// Commands of `jayhollow`.
#[derive(Debug, clap::Subcommand)]
pub enum TopCommand {
    /// Run the whole system in one process, with embedded stand-ins.
    Dev(DevFlags),
    /// Check, submit and sign off bundles, and show where they are active.
    #[command(subcommand)]
    Bundle(bundle_commands::BundleCommand),
    /// Submit and cancel batch jobs, show their status and fetch their results.
    #[command(subcommand)]
    Job(job_commands::JobCommand),
    /// List the live instances, or stop one gracefully.
    #[command(subcommand)]
    Instance(instance_commands::InstanceCommand),
    /// Show settings and their schemas.
    #[command(subcommand)]
    Config(config_commands::ConfigCommand),
    /// Analyse logs: trace one request or job through all processes, or report
    /// what was late or lost in a period of time, by cause.
    Explain(explain_command::ExplainFlags),
    /// Print a completion script for a shell.
    Completions {
        /// Shell to complete for.
        shell: clap_complete::Shell,
    },
}

/// Flags of `jayhollow dev`.
#[derive(Debug, Clone, clap::Args)]
pub struct DevFlags {
    /// IP address and port on which the gateway accepts callers.
    #[arg(long, default_value = "127.0.0.1:8080")]
    pub listen: net::SocketAddr,
    /// Directory in which jobs, files and bundles persist across restarts.
    #[arg(long, value_name = "DIR")]
    pub data: Option<path::PathBuf>,
    /// Make one call of each kind, print the outcomes, and exit.
    #[arg(long)]
    pub smoke: bool,
}

/// Exit codes of the command line, besides 0 for success and clap's 2 for wrong usage.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitReason {
    /// The command failed locally, without a refusal by the gateway.
    Failed = 1,
    /// The gateway refused the request.
    Refused = 3,
    /// The gateway cannot be reached.
    Unreachable = 4,
    /// The request conflicts with one that another operator or submission made earlier.
    Conflict = 5,
}

/// Error of a command, with its exit code.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
#[error("{message}")]
pub struct CommandError {
    /// Exit code.
    pub reason: ExitReason,
    /// Message for the user.
    pub message: String,
}

impl CommandError {
    /// Creates an error with the exit code `Failed`.
    pub fn failed(message: impl ToString) -> Self {
        Self {
            reason: ExitReason::Failed,
            message: message.to_string(),
        }
    }
}

/// Result of a command.
pub type CommandResult<T> = Result<T, CommandError>;

/// Function that runs `jayhollow dev`.
pub type DevRunner = fn(&DevFlags) -> CommandResult<()>;

/// Parses the arguments and runs the command; returns the exit code.
///
/// `run_dev` runs `jayhollow dev`.
pub fn run(run_dev: DevRunner) -> process::ExitCode {
    let line = CommandLine::parse();
    match dispatch(line, run_dev) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(e) => {
            let code = e.reason as u8;
            eprintln!("{:?}", miette::Report::new(e));
            process::ExitCode::from(code)
        }
    }
}

fn dispatch(line: CommandLine, run_dev: DevRunner) -> CommandResult<()> {
    log_setup::start(line.profile.log_level);
    if line.profile.check_config {
        let settings = line.profile.settings()?;
        println!(
            "{}",
            serde_json::to_string_pretty(&settings).unwrap_or_default()
        );
        return Ok(());
    }
    let Some(command) = line.command else {
        let mut command = CommandLine::command();
        return command.print_help().map_err(CommandError::failed);
    };
    let profile = line.profile.resolve()?;
    match command {
        TopCommand::Dev(flags) => run_dev(&flags),
        TopCommand::Explain(flags) => explain_command::run(&flags, profile.output),
        TopCommand::Config(command) => config_commands::run(&command),
        TopCommand::Completions { shell } => {
            let mut command = CommandLine::command();
            clap_complete::generate(shell, &mut command, "jayhollow", &mut std::io::stdout());
            Ok(())
        }
        TopCommand::Bundle(command) => in_runtime(bundle_commands::run(&profile, &command)),
        TopCommand::Job(command) => in_runtime(job_commands::run(&profile, &command)),
        TopCommand::Instance(command) => in_runtime(instance_commands::run(&profile, &command)),
    }
}

fn in_runtime<T>(work: impl std::future::Future<Output = T>) -> T {
    actix_rt::System::new().block_on(work)
}
