//! A blocking client of gateways and stand-ins.

use std::net;

use actix_http::Method;
use jayhollow::cli;

use super::{body, chat, wait_for, TIMEOUT};

/// An answer: status, headers, body.
#[derive(Debug, Clone)]
pub struct TestAnswer {
    pub status: u16,
    pub retry_after: Option<String>,
    pub body: Vec<u8>,
}

impl TestAnswer {
    /// The body as JSON.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or(serde_json::Value::Null)
    }
}

/// A blocking client.
#[derive(Clone)]
pub struct TestClient {
    address: net::SocketAddr,
    key: String,
}

impl TestClient {
    pub fn new(address: net::SocketAddr, key: &str) -> Self {
        Self {
            address,
            key: key.to_owned(),
        }
    }

    pub fn profile(&self) -> cli::GatewayProfile {
        cli::GatewayProfile {
            url: format!("http://{}", self.address),
            key: self.key.clone(),
            operator: "tester".into(),
            output: cli::output::OutputForm::Json,
        }
    }

    /// Sends a request; an error is one of the connection.
    pub fn send(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Vec<u8>,
    ) -> Result<TestAnswer, String> {
        let url = format!("http://{}{path}", self.address);
        actix_rt::System::new().block_on(async {
            let client = jayhollow::http_client::new_client(0);
            let mut request = client
                .request(method, url)
                .timeout(TIMEOUT)
                .insert_header(("authorization", format!("Bearer {}", self.key)))
                .insert_header(("content-type", "application/json"));
            for (name, value) in headers {
                request = request.insert_header((*name, *value));
            }
            let mut response = request.send_body(body).await.map_err(|e| e.to_string())?;
            let retry_after = response
                .headers()
                .get("retry-after")
                .and_then(|v| v.to_str().ok())
                .map(str::to_owned);
            let status = response.status().as_u16();
            let body = response
                .body()
                .limit(1 << 30)
                .await
                .map_err(|e| e.to_string())?;
            Ok(TestAnswer {
                status,
                retry_after,
                body: body.to_vec(),
            })
        })
    }

    /// Gets JSON; an error status is an error.
    pub fn get(&self, path: &str) -> Result<serde_json::Value, String> {
        success(self.send(Method::GET, path, &[], Vec::new())?)
    }

    /// Posts and gets JSON; an error status is an error.
    pub fn post(&self, path: &str, body: Vec<u8>) -> Result<serde_json::Value, String> {
        success(self.send(Method::POST, path, &[], body)?)
    }

    /// Uploads items as a file and gives its name.
    pub fn upload(&self, items: &str) -> String {
        let profile = self.profile();
        let file = actix_rt::System::new().block_on(async {
            let client = cli::client::ApiClient::new(&profile);
            cli::job_commands::upload(&client, items.as_bytes()).await
        });
        file.expect("the file is stored")["id"]
            .as_str()
            .expect("it has a name")
            .to_owned()
    }

    /// Submits a job under a key; gives the answer.
    pub fn submit(&self, file: &str, endpoint: &str, key: &str) -> Result<TestAnswer, String> {
        let request = serde_json::json!({
            "input_file_id": file, "endpoint": endpoint, "completion_window": "1h",
        });
        self.send(
            Method::POST,
            "/v1/batches",
            &[("idempotency-key", key)],
            body(&request),
        )
    }

    /// Waits until a job has ended.
    pub fn wait_job(&self, id: &str) -> serde_json::Value {
        wait_for("the job ends", || {
            let job = self.get(&format!("/v1/batches/{id}")).ok()?;
            let ended = matches!(job["status"].as_str(), Some("completed" | "cancelled"));
            ended.then_some(job)
        })
    }

    /// The results of a job's file, by `custom_id`; a doubled one fails the test.
    pub fn results(&self, file: &serde_json::Value) -> Results {
        let Some(file) = file.as_str() else {
            return Results::new();
        };
        let path = format!("/v1/files/{file}/content");
        let response = self
            .send(Method::GET, &path, &[], Vec::new())
            .expect("results are read");
        assert_eq!(response.status, 200);
        let mut results = Results::new();
        for line in response
            .body
            .split(|b| *b == b'\n')
            .filter(|l| !l.is_empty())
        {
            let result: serde_json::Value = serde_json::from_slice(line).expect("it is JSON");
            let name = result["custom_id"]
                .as_str()
                .expect("it has a name")
                .to_owned();
            assert!(
                results.insert(name, result).is_none(),
                "an item has two results"
            );
        }
        results
    }

    /// Reads a stream to its end: the text, and whether it ended as a whole answer.
    pub fn stream(&self, content: &str, tokens: u32) -> Result<(String, bool), String> {
        let response = self.send(
            Method::POST,
            "/v1/chat/completions",
            &[],
            chat(content, tokens, true),
        )?;
        if response.status != 200 {
            return Err(String::from_utf8_lossy(&response.body).into_owned());
        }
        let mut text = String::new();
        let mut whole = false;
        for data in String::from_utf8_lossy(&response.body).lines() {
            let Some(data) = data.strip_prefix("data: ") else {
                continue;
            };
            if data == "[DONE]" {
                whole = true;
                continue;
            }
            let event: serde_json::Value = serde_json::from_str(data).map_err(|e| e.to_string())?;
            text.push_str(
                event["choices"][0]["delta"]["content"]
                    .as_str()
                    .unwrap_or_default(),
            );
        }
        Ok((text, whole))
    }
}

/// Results by `custom_id`.
pub type Results = std::collections::BTreeMap<String, serde_json::Value>;

fn success(response: TestAnswer) -> Result<serde_json::Value, String> {
    if response.status == 200 {
        return Ok(response.json());
    }
    Err(format!(
        "{}: {}",
        response.status,
        String::from_utf8_lossy(&response.body)
    ))
}
