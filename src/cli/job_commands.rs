//! Subcommands of `jayhollow job`.

use std::{fs, io, io::IsTerminal as _, io::Write as _, path, time};

use super::{client, output, CommandError, CommandResult, GatewayProfile};
use crate::ids;

/// Interval between status requests while waiting for a job to end.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// Prefix of the multipart boundary; a random suffix keeps it from occurring in a file.
const BOUNDARY_PREFIX: &str = "jayhollow-boundary";

/// Subcommands of `jayhollow job`.
#[derive(Debug, clap::Subcommand)]
pub enum JobCommand {
    /// Upload a file of items and submit it as a job.
    Submit(SubmitFlags),
    /// Show the status of a job.
    Status {
        /// ID of the job.
        id: String,
    },
    /// List the workspace's jobs, newest first.
    List,
    /// Fetch the results of a job that has ended.
    Results {
        /// ID of the job.
        id: String,
        /// Fetch the errors instead of the results.
        #[arg(long)]
        errors: bool,
        /// Write to a file instead of standard output.
        #[arg(long, value_name = "FILE")]
        to: Option<path::PathBuf>,
    },
    /// Cancel a job.
    Cancel {
        /// ID of the job.
        id: String,
    },
}

/// Flags of `jayhollow job submit`.
#[derive(Debug, clap::Args)]
pub struct SubmitFlags {
    /// File with one item per line, in JSON.
    pub file: path::PathBuf,
    /// API path to which the items are sent.
    #[arg(long, default_value = "/v1/chat/completions")]
    pub endpoint: String,
    /// Time from now until the job is due, such as 24h or 90m.
    #[arg(long, default_value = "24h")]
    pub window: String,
    /// Key of the submission; a repeated submission with the same key returns the same job.
    #[arg(long)]
    pub idempotency_key: Option<String>,
    /// Wait until the job has ended.
    #[arg(long)]
    pub wait: bool,
}

const JOB_FIELDS: [&str; 6] = [
    "id",
    "status",
    "request_counts.total",
    "request_counts.completed",
    "request_counts.failed",
    "due_verdict",
];

/// Runs a subcommand of `jayhollow job`.
///
/// # Errors
/// A file cannot be read or written, or the gateway cannot be reached or refuses the request.
pub async fn run(profile: &GatewayProfile, command: &JobCommand) -> CommandResult<()> {
    let client = client::ApiClient::new(profile);
    let show = |job: &serde_json::Value| {
        output::print(profile.output, job, std::slice::from_ref(job), &JOB_FIELDS);
    };
    match command {
        JobCommand::Submit(flags) => {
            let mut job = submit(&client, flags).await?;
            if flags.wait {
                job = wait(&client, &job).await?;
            }
            show(&job);
        }
        JobCommand::Status { id } => show(&client.get(&format!("/v1/batches/{id}")).await?),
        JobCommand::List => {
            let response = client.get("/v1/batches").await?;
            let rows = response["data"].as_array().cloned().unwrap_or_default();
            output::print(profile.output, &response, &rows, &JOB_FIELDS);
        }
        JobCommand::Results { id, errors, to } => {
            fetch_results(&client, id, *errors, to.as_deref()).await?;
        }
        JobCommand::Cancel { id } => {
            show(
                &client
                    .post(&format!("/v1/batches/{id}/cancel"), Vec::new())
                    .await?,
            );
        }
    }
    Ok(())
}

/// Uploads a file of items and creates a job from it.
///
/// # Errors
/// The file cannot be read, or the gateway cannot be reached or refuses the request.
pub async fn submit(
    client: &client::ApiClient,
    flags: &SubmitFlags,
) -> CommandResult<serde_json::Value> {
    let items = fs::read(&flags.file)
        .map_err(|e| CommandError::failed(format!("{}: {e}", flags.file.display())))?;
    let key = flags.idempotency_key.as_deref();
    submit_items(client, &items, &flags.endpoint, &flags.window, key).await
}

/// Uploads items and creates a job from them.
///
/// # Errors
/// The gateway cannot be reached or refuses the request.
pub async fn submit_items(
    client: &client::ApiClient,
    items: &[u8],
    endpoint: &str,
    window: &str,
    idempotency_key: Option<&str>,
) -> CommandResult<serde_json::Value> {
    let file = upload(client, items).await?;
    let request = serde_json::json!({
        "input_file_id": file["id"],
        "endpoint": endpoint,
        "completion_window": window,
    });
    let call = client::ApiCall {
        method: actix_http::Method::POST,
        path: "/v1/batches",
        content_type: "application/json",
        idempotency_key,
        body: request.to_string().into_bytes(),
    };
    client::parse(&client.send(call).await?)
}

/// Uploads items as a file in a multipart request.
///
/// # Errors
/// The gateway cannot be reached or refuses the request.
pub async fn upload(client: &client::ApiClient, items: &[u8]) -> CommandResult<serde_json::Value> {
    let boundary = ids::unique(BOUNDARY_PREFIX);
    let mut body = Vec::with_capacity(items.len() + 512);
    body.extend_from_slice(
        format!(
            "--{boundary}\r\ncontent-disposition: form-data; name=\"purpose\"\r\n\r\nbatch\r\n\
             --{boundary}\r\ncontent-disposition: form-data; name=\"file\"; \
             filename=\"items.jsonl\"\r\n\r\n"
        )
        .as_bytes(),
    );
    body.extend_from_slice(items);
    body.extend_from_slice(format!("\r\n--{boundary}--\r\n").as_bytes());
    let call = client::ApiCall {
        method: actix_http::Method::POST,
        path: "/v1/files",
        content_type: &format!("multipart/form-data; boundary={boundary}"),
        idempotency_key: None,
        body,
    };
    client::parse(&client.send(call).await?)
}

/// Polls a job until it has ended; shows a progress bar if standard error is a terminal.
///
/// # Errors
/// The gateway cannot be reached or refuses the request.
pub async fn wait(
    client: &client::ApiClient,
    job: &serde_json::Value,
) -> CommandResult<serde_json::Value> {
    let id = job["id"].as_str().unwrap_or_default().to_owned();
    let total = job["request_counts"]["total"].as_u64().unwrap_or(0);
    let bar = match io::stderr().is_terminal() {
        true => indicatif::ProgressBar::new(total),
        false => indicatif::ProgressBar::hidden(),
    };
    loop {
        let job = client.get(&format!("/v1/batches/{id}")).await?;
        let counts = &job["request_counts"];
        let done =
            counts["completed"].as_u64().unwrap_or(0) + counts["failed"].as_u64().unwrap_or(0);
        bar.set_position(done);
        if matches!(job["status"].as_str(), Some("completed" | "cancelled")) {
            bar.finish_and_clear();
            return Ok(job);
        }
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
}

async fn fetch_results(
    client: &client::ApiClient,
    id: &str,
    errors: bool,
    to: Option<&path::Path>,
) -> CommandResult<()> {
    let kind = if errors { "err" } else { "out" };
    let content = client
        .fetch(&format!("/v1/files/{kind}-{id}/content"))
        .await?;
    match to {
        Some(file) => fs::write(file, &content)
            .map_err(|e| CommandError::failed(format!("{}: {e}", file.display()))),
        None => io::stdout()
            .write_all(&content)
            .map_err(CommandError::failed),
    }
}
