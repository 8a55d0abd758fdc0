//! `jayhollow dev --smoke`: one call of each kind, each with an exact check of the response.

use std::{fmt::Write as _, time};

use crate::{
    cli::{self, client, job_commands},
    local_fleet,
    standin::engine_model,
};

/// Number of tokens of each generated response.
const TOKENS: u32 = 12;
/// Number of items of the batch job.
const ITEMS: usize = 20;

/// Runs all smoke tests and prints a line for each.
///
/// # Errors
/// Returns an error if a smoke test failed.
pub fn run(fleet: &local_fleet::LocalFleet) -> cli::CommandResult<()> {
    actix_rt::System::new().block_on(async {
        let client = client::ApiClient::new(&fleet.profile(local_fleet::CALLER_KEY));
        let mut all_right = true;
        all_right &= report("online", whole(&client)).await;
        all_right &= report("stream", stream(&client)).await;
        all_right &= report("plain service", plain(&client)).await;
        all_right &= report("batch job", batch(&client)).await;
        if all_right {
            return Ok(());
        }
        Err(cli::CommandError::failed("a smoke test failed"))
    })
}

async fn report(
    name: &str,
    call: impl std::future::Future<Output = cli::CommandResult<String>>,
) -> bool {
    let started = time::Instant::now();
    let outcome = call.await;
    let ms = started.elapsed().as_millis();
    match outcome {
        Ok(detail) => {
            println!("{name:<14} ok      {ms:>6} ms  {detail}");
            true
        }
        Err(e) => {
            println!("{name:<14} FAILED  {ms:>6} ms  {e}");
            false
        }
    }
}

fn request(content: &str, stream: bool) -> Vec<u8> {
    serde_json::json!({
        "model": local_fleet::MODEL, "stream": stream, "max_tokens": TOKENS,
        "messages": [{"role": "user", "content": content}],
    })
    .to_string()
    .into_bytes()
}

/// Returns the response of the stand-in engines to a user message.
pub fn expected_response(content: &str, tokens: u32) -> String {
    engine_model::answer_text(&format!("user\n{content}\n"), tokens)
}

fn compare(found: &str, expected: &str) -> cli::CommandResult<()> {
    if found == expected {
        return Ok(());
    }
    let message = format!("found the answer '{found}', expected '{expected}'");
    Err(cli::CommandError::failed(message))
}

async fn whole(client: &client::ApiClient) -> cli::CommandResult<String> {
    let content = "a cover note for a parcel";
    let response = client
        .post("/v1/chat/completions", request(content, false))
        .await?;
    let text = response["choices"][0]["message"]["content"]
        .as_str()
        .unwrap_or_default();
    compare(text, &expected_response(content, TOKENS))?;
    Ok(format!("{TOKENS} tokens"))
}

async fn stream(client: &client::ApiClient) -> cli::CommandResult<String> {
    let content = "a summary for a mentor";
    let call = client::ApiCall {
        method: actix_http::Method::POST,
        path: "/v1/chat/completions",
        content_type: "application/json",
        idempotency_key: None,
        body: request(content, true),
    };
    let body = client.send(call).await?;
    let body = String::from_utf8_lossy(&body);
    let mut text = String::new();
    let mut finished = false;
    for data in body.lines().filter_map(|l| l.strip_prefix("data: ")) {
        if data == "[DONE]" {
            finished = true;
            continue;
        }
        let event = client::parse(data.as_bytes())?;
        text.push_str(
            event["choices"][0]["delta"]["content"]
                .as_str()
                .unwrap_or_default(),
        );
    }
    compare(&text, &expected_response(content, TOKENS))?;
    if !finished {
        return Err(cli::CommandError::failed("the stream did not end"));
    }
    Ok(format!("{TOKENS} tokens, ended"))
}

async fn plain(client: &client::ApiClient) -> cli::CommandResult<String> {
    let path = format!("/services/{}/check", local_fleet::SERVICE);
    let response = client
        .post(&path, b"Vitosha Blvd 1, Sofia".to_vec())
        .await?;
    compare(
        response["echo"].as_str().unwrap_or_default(),
        "Vitosha Blvd 1, Sofia",
    )?;
    Ok("echoed".into())
}

async fn batch(client: &client::ApiClient) -> cli::CommandResult<String> {
    let mut items = String::new();
    for number in 0..ITEMS {
        let item = serde_json::json!({
            "custom_id": format!("letter-{number}"), "method": "POST",
            "url": "/v1/chat/completions",
            "body": {
                "model": local_fleet::MODEL, "max_tokens": TOKENS,
                "messages": [{"role": "user", "content": format!("offer letter {number}")}],
            },
        });
        let _ = writeln!(items, "{item}");
    }
    let job =
        job_commands::submit_items(client, items.as_bytes(), "/v1/chat/completions", "1h", None)
            .await?;
    let job = job_commands::wait(client, &job).await?;
    let output = job["output_file_id"].as_str().unwrap_or_default();
    let content = client.fetch(&format!("/v1/files/{output}/content")).await?;
    let mut seen = std::collections::BTreeSet::new();
    for line in content.split(|b| *b == b'\n').filter(|l| !l.is_empty()) {
        let result = client::parse(line)?;
        let name = result["custom_id"].as_str().unwrap_or_default().to_owned();
        let number = name.trim_start_matches("letter-");
        let body = &result["response"]["body"];
        let text = body["choices"][0]["message"]["content"]
            .as_str()
            .unwrap_or_default();
        compare(
            text,
            &expected_response(&format!("offer letter {number}"), TOKENS),
        )?;
        if !seen.insert(name.clone()) {
            return Err(cli::CommandError::failed(format!(
                "'{name}' has two results"
            )));
        }
    }
    if seen.len() != ITEMS {
        let message = format!("found {} results, expected {ITEMS}", seen.len());
        return Err(cli::CommandError::failed(message));
    }
    Ok(format!("{ITEMS} items, each once"))
}
