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
    /// How to reach a gateway, and how to print.
    #[command(flatten)]
    pub profile: ProfileFlags,
    /// What to do.
    #[command(subcommand)]
    pub command: Option<TopCommand>,
}

/// How a gateway is reached, and how answers are printed.
#[derive(Debug, clap::Args)]
pub struct ProfileFlags {
    /// Settings file of the command line, in JSON.
    #[arg(long, global = true, value_name = "FILE", env = "JAYHOLLOW_CONFIG")]
    pub config: Option<path::PathBuf>,
    /// Check the settings file, print what would be in force, and exit.
    #[arg(long, global = true)]
    pub check_config: bool,
    /// Least severe events to log.
    #[arg(long, global = true, default_value = "warn")]
    pub log_level: log::LevelFilter,
    /// Address of a gateway; http://127.0.0.1:8080 if none is set.
    #[arg(long, global = true, env = "JAYHOLLOW_URL")]
    pub url: Option<String>,
    /// API key of a workspace, or an operator's key for bundles and instances.
    #[arg(long, global = true, env = "JAYHOLLOW_KEY", hide_env_values = true)]
    pub key: Option<String>,
    /// Name that goes on the record of bundle steps.
    #[arg(long, global = true, env = "JAYHOLLOW_OPERATOR")]
    pub operator: Option<String>,
    /// Form of the output.
    #[arg(long, global = true, value_enum, default_value_t = output::OutputForm::Table)]
    pub output: output::OutputForm,
}

/// Address of a gateway if none is set.
const DEFAULT_URL: &str = "http://127.0.0.1:8080";
/// Name of an operator if none is set.
const DEFAULT_OPERATOR: &str = "operator";

impl ProfileFlags {
    fn settings(&self) -> CommandResult<settings::client::ClientSettings> {
        match &self.config {
            None => Ok(settings::client::ClientSettings::default()),
            Some(file) => settings::load(file).map_err(CommandError::failed),
        }
    }

    /// The reach that flags, environment, settings and defaults make together.
    fn resolve(&self) -> CommandResult<GatewayProfile> {
        let settings = self.settings()?;
        let read = |file: &path::PathBuf| {
            let text = std::fs::read_to_string(file);
            text.map_err(|e| CommandError::failed(format!("{}: {e}", file.display())))
        };
        let kept = settings.key_file.as_ref().map(read).transpose()?;
        let key = self.key.clone().or(kept).unwrap_or_default();
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

/// How a gateway is reached, and how answers are printed.
#[derive(Debug, Clone)]
pub struct GatewayProfile {
    /// Address of a gateway.
    pub url: String,
    /// Key.
    pub key: String,
    /// Name of the operator.
    pub operator: String,
    /// Form of the output.
    pub output: output::OutputForm,
}

/// What the command line can do.
#[derive(Debug, clap::Subcommand)]
pub enum TopCommand {
    /// Run everything in one process, on embedded stand-ins.
    Dev(DevFlags),
    /// Check, submit and sign off bundles, and see where they are in force.
    #[command(subcommand)]
    Bundle(bundle_commands::BundleCommand),
    /// Submit batch jobs, follow them, fetch their results, cancel them.
    #[command(subcommand)]
    Job(job_commands::JobCommand),
    /// See the instances and stop one as planned.
    #[command(subcommand)]
    Instance(instance_commands::InstanceCommand),
    /// Show settings and their schemas.
    #[command(subcommand)]
    Config(config_commands::ConfigCommand),
    /// Read logs: the path of one request or job over all processes, or what
    /// was late or lost in a span of time, by cause.
    Explain(explain_command::ExplainFlags),
    /// Print a completion script for a shell.
    Completions {
        /// The shell.
        shell: clap_complete::Shell,
    },
}

/// Flags of `jayhollow dev`.
#[derive(Debug, Clone, clap::Args)]
pub struct DevFlags {
    /// IP number and port for callers.
    #[arg(long, default_value = "127.0.0.1:8080")]
    pub listen: net::SocketAddr,
    /// Folder that keeps jobs, files and bundles over restarts.
    #[arg(long, value_name = "DIR")]
    pub data: Option<path::PathBuf>,
    /// Do one call of each kind, say how each went, and exit.
    #[arg(long)]
    pub smoke: bool,
}

/// Exit codes of the command line, beside 0 and clap's 2 for wrong usage.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitReason {
    /// Something failed here.
    Failed = 1,
    /// The gateway refused the request.
    Refused = 3,
    /// The gateway cannot be reached.
    Unreachable = 4,
    /// Another operator or submission was first.
    Conflict = 5,
}

/// Why a command did not do what was asked.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
#[error("{message}")]
pub struct CommandError {
    /// What to exit with.
    pub reason: ExitReason,
    /// For a person to read.
    pub message: String,
}

impl CommandError {
    /// A failure on this side.
    pub fn failed(message: impl ToString) -> Self {
        Self {
            reason: ExitReason::Failed,
            message: message.to_string(),
        }
    }
}

/// Outcome of a command.
pub type CommandResult<T> = Result<T, CommandError>;

/// Runs the whole system in one process, for `dev`.
pub type DevRunner = fn(&DevFlags) -> CommandResult<()>;

/// Runs the command line, `dev` by `run_dev`; gives what to exit with.
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
