//! The command line `jayhollow`.

pub mod bundle_commands;
pub mod client;
pub mod config_commands;
pub mod instance_commands;
pub mod job_commands;
pub mod output;

use std::{net, path, process};

use clap::{CommandFactory as _, Parser};

use crate::dev;

/// Serves online and batch inference on one fleet of model endpoints.
#[derive(Debug, Parser)]
#[command(name = "jayhollow", version)]
pub struct CommandLine {
    /// How to reach a gateway, and how to print.
    #[command(flatten)]
    pub reach: GatewayReach,
    /// What to do.
    #[command(subcommand)]
    pub command: TopCommand,
}

/// How a gateway is reached, and how answers are printed.
#[derive(Debug, clap::Args)]
pub struct GatewayReach {
    /// Address of a gateway.
    #[arg(
        long,
        global = true,
        env = "JAYHOLLOW_URL",
        default_value = "http://127.0.0.1:8080"
    )]
    pub url: String,
    /// API key of a workspace, or an operator's key for bundles and instances.
    #[arg(
        long,
        global = true,
        env = "JAYHOLLOW_KEY",
        hide_env_values = true,
        default_value = ""
    )]
    pub key: String,
    /// Name that goes on the record of bundle steps.
    #[arg(
        long,
        global = true,
        env = "JAYHOLLOW_OPERATOR",
        default_value = "operator"
    )]
    pub operator: String,
    /// Form of the output.
    #[arg(long, global = true, value_enum, default_value_t = output::OutputForm::Table)]
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
    /// Least severe events to log.
    #[arg(long, default_value = "warn")]
    pub log_level: log::LevelFilter,
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

/// Runs the command line; gives what to exit with.
pub fn run() -> process::ExitCode {
    let line = CommandLine::parse();
    match dispatch(line) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(e) => {
            let code = e.reason as u8;
            eprintln!("{:?}", miette::Report::new(e));
            process::ExitCode::from(code)
        }
    }
}

fn dispatch(line: CommandLine) -> CommandResult<()> {
    let reach = line.reach;
    match line.command {
        TopCommand::Dev(flags) => dev::run(&flags),
        TopCommand::Config(command) => config_commands::run(&command),
        TopCommand::Completions { shell } => {
            let mut command = CommandLine::command();
            clap_complete::generate(shell, &mut command, "jayhollow", &mut std::io::stdout());
            Ok(())
        }
        TopCommand::Bundle(command) => in_runtime(bundle_commands::run(&reach, &command)),
        TopCommand::Job(command) => in_runtime(job_commands::run(&reach, &command)),
        TopCommand::Instance(command) => in_runtime(instance_commands::run(&reach, &command)),
    }
}

fn in_runtime<T>(work: impl std::future::Future<Output = T>) -> T {
    actix_rt::System::new().block_on(work)
}
