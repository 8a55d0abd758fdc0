//! One small harness: a fleet of separate processes on loopback, and clients for it.
#![allow(dead_code)] // Each test file uses a part of it.

use std::{
    fs,
    io::{self, BufRead as _},
    net, path, process,
    sync::mpsc,
    thread, time,
};

use actix_http::Method;
use jayhollow::{bundle, cli};

/// API key of the workspace under test.
pub const KEY: &str = "test-key";
/// API key of a second workspace.
pub const OTHER_KEY: &str = "other-test-key";
/// Operator's key.
pub const OPERATOR_KEY: &str = "test-operator-key";
/// Longest wait for anything.
pub const PATIENCE: time::Duration = time::Duration::from_secs(60);
/// Pause between looks.
const LOOK_PAUSE: time::Duration = time::Duration::from_millis(20);

/// A process of the fleet, killed when dropped.
pub struct FleetProcess {
    child: process::Child,
    line: String,
    config: path::PathBuf,
    program: String,
}

impl Drop for FleetProcess {
    fn drop(&mut self) {
        self.signal(libc::SIGCONT);
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl FleetProcess {
    /// Starts a program on a settings file and reads the line that it prints.
    pub fn start(
        folder: &path::Path,
        program: &str,
        name: &str,
        config: &serde_json::Value,
    ) -> Self {
        let file = folder.join(format!("{name}.json"));
        fs::write(&file, config.to_string()).expect("the settings are written");
        Self::start_on(&file, program)
    }

    fn start_on(file: &path::Path, program: &str) -> Self {
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(file.with_extension("log"))
            .expect("the log is opened");
        let mut child = process::Command::new(program_path(program))
            .arg("--config")
            .arg(file)
            .stdout(process::Stdio::piped())
            .stderr(log)
            .spawn()
            .expect("the program starts");
        let output = child.stdout.take().expect("its output is piped");
        let (sender, receiver) = mpsc::channel();
        thread::spawn(move || {
            let mut line = String::new();
            let _ = io::BufReader::new(output).read_line(&mut line);
            let _ = sender.send(line);
        });
        let line = receiver
            .recv_timeout(PATIENCE)
            .expect("the program prints a line");
        assert!(!line.is_empty(), "{program} ended: see {}", file.display());
        Self {
            child,
            line,
            config: file.to_owned(),
            program: program.to_owned(),
        }
    }

    /// The address that the program printed under a name.
    pub fn address(&self, name: &str) -> net::SocketAddr {
        let prefix = format!("{name}=");
        let found = self
            .line
            .split_whitespace()
            .find_map(|p| p.strip_prefix(prefix.as_str()));
        found
            .expect("the address is printed")
            .parse()
            .expect("it is an address")
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: libc::c_int) {
        // SAFETY: the process is a child of ours and was not waited for yet.
        unsafe { libc::kill(self.child.id() as libc::pid_t, signal) };
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        self.child.kill().expect("the process is killed");
        self.child.wait().expect("the process ends");
    }

    /// Kills the process and starts it again on the same settings.
    pub fn restart(&mut self) {
        self.kill();
        *self = Self::start_on(&self.config.clone(), &self.program.clone());
    }

    /// Waits for the process to end by itself; gives whether it exited with 0.
    pub fn wait_end(&mut self) -> bool {
        let deadline = time::Instant::now() + PATIENCE;
        while time::Instant::now() < deadline {
            if let Some(status) = self.child.try_wait().expect("the process can be looked at") {
                return status.success();
            }
            thread::sleep(LOOK_PAUSE);
        }
        panic!("{} did not end in time", self.program);
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child
            .try_wait()
            .expect("the process can be looked at")
            .is_some()
    }
}

fn program_path(program: &str) -> &'static str {
    match program {
        "gateway" => env!("CARGO_BIN_EXE_jayhollow-gateway"),
        "dispatcher" => env!("CARGO_BIN_EXE_jayhollow-dispatcher"),
        _ => env!("CARGO_BIN_EXE_jayhollow-standin"),
    }
}

/// How large a fleet is.
pub struct FleetSize {
    pub gateways: usize,
    pub dispatchers: usize,
    pub engines: usize,
    /// Microseconds of an engine's step.
    pub step_us: u64,
}

impl Default for FleetSize {
    fn default() -> Self {
        Self {
            gateways: 2,
            dispatchers: 2,
            engines: 4,
            step_us: 2_000,
        }
    }
}

/// A fleet of separate processes.
pub struct ProcessFleet {
    pub folder: path::PathBuf,
    pub objects: FleetProcess,
    pub engines: Vec<FleetProcess>,
    pub plain: FleetProcess,
    pub gateways: Vec<FleetProcess>,
    pub dispatchers: Vec<FleetProcess>,
    pub endpoints: Vec<serde_json::Value>,
}

impl Drop for ProcessFleet {
    fn drop(&mut self) {
        if !thread::panicking() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

fn new_folder() -> path::PathBuf {
    let name = jayhollow::ids::unique("jayhollow-test");
    let folder = std::env::temp_dir().join(name);
    fs::create_dir_all(&folder).expect("the folder is made");
    folder
}

/// Models, services and workspaces of the tests.
pub fn test_bundle() -> bundle::BundleDocument {
    let workspace = |id: &str, key| bundle::WorkspaceSpec {
        id: id.parse().expect("the name is valid"),
        key_hashes: vec![bundle::hash_key(key)],
        max_concurrency: 1000,
        max_requests_per_second: 10_000,
    };
    bundle::BundleDocument {
        models: vec![bundle::ModelSpec {
            name: "m".parse().expect("the name is valid"),
            version: "1".into(),
            adapters: Vec::new(),
        }],
        services: vec![bundle::ServiceSpec {
            name: "print".parse().expect("the name is valid"),
            repeatable: false,
            batch_concurrency: 4,
        }],
        workspaces: vec![workspace("w", KEY), workspace("v", OTHER_KEY)],
        batch: bundle::BatchSpec {
            online_slowdown_percent: 100,
            ..bundle::BatchSpec::default()
        },
    }
}

impl ProcessFleet {
    /// Starts a fleet with the test bundle in force.
    pub fn start(size: &FleetSize) -> Self {
        let folder = new_folder();
        fs::write(folder.join("secret"), "a secret of the test").expect("the secret is written");
        let any = "127.0.0.1:0";
        let mut endpoints = Vec::new();
        let mut engines = Vec::new();
        for number in 0..size.engines {
            let name = format!("engine-{number}");
            let spec =
                serde_json::json!({"step_base_us": size.step_us, "step_per_sequence_us": 20});
            let config = serde_json::json!({
                "role": "engine", "listen": any, "options": {"spec": spec},
            });
            let engine = FleetProcess::start(&folder, "standin", &name, &config);
            endpoints.push(serde_json::json!({
                "id": name, "service": "m", "kind": "engine", "address": engine.address("listen"),
                "domain": format!("domain-{}", number % 2), "state": "live",
            }));
            engines.push(engine);
        }
        let config = serde_json::json!({"role": "plain", "listen": any});
        let plain = FleetProcess::start(&folder, "standin", "plain", &config);
        endpoints.push(serde_json::json!({
            "id": "plain-0", "service": "print", "kind": "plain",
            "address": plain.address("listen"), "domain": "domain-0", "state": "live",
        }));
        let config = serde_json::json!({"role": "objects", "listen": any, "endpoints": endpoints});
        let objects = FleetProcess::start(&folder, "standin", "objects", &config);
        let mut fleet = Self {
            folder,
            objects,
            engines,
            plain,
            gateways: Vec::new(),
            dispatchers: Vec::new(),
            endpoints,
        };
        for number in 0..size.dispatchers {
            fleet.dispatchers.push(fleet.start_dispatcher(number));
        }
        for number in 0..size.gateways {
            fleet.gateways.push(fleet.start_gateway(number));
        }
        fleet.put_bundle_in_force();
        fleet.wait_ready();
        fleet
    }

    fn common_settings(&self, id: &str, number: usize) -> serde_json::Value {
        serde_json::json!({
            "instance": {"id": id, "domain": format!("domain-{}", number % 2)},
            "store": {
                "url": format!("http://{}", self.objects.address("listen")),
                "calls_per_second": 500.0,
            },
            "link": {"listen": "127.0.0.1:0", "secret_file": self.folder.join("secret")},
            "pace": {
                "heartbeat_ms": 200, "lapse_heartbeats": 5, "watch_pace_ms": 20,
                "endpoints_poll_ms": 50,
            },
        })
    }

    /// Starts a dispatcher of the fleet.
    pub fn start_dispatcher(&self, number: usize) -> FleetProcess {
        let name = format!("dispatcher-{number}");
        let mut config = self.common_settings(&name, number);
        config["batch"] = serde_json::json!({"stream_silence_ms": 2000, "low_water_items": 8});
        config["metrics_listen"] = "127.0.0.1:0".into();
        FleetProcess::start(&self.folder, "dispatcher", &name, &config)
    }

    /// Starts a gateway of the fleet.
    pub fn start_gateway(&self, number: usize) -> FleetProcess {
        self.start_gateway_with(number, |_| {})
    }

    /// Starts a gateway of the fleet on changed settings.
    pub fn start_gateway_with(
        &self,
        number: usize,
        change: impl Fn(&mut serde_json::Value),
    ) -> FleetProcess {
        let name = format!("gateway-{number}");
        let mut config = self.common_settings(&name, number);
        config["callers"] = serde_json::json!({"listen": "127.0.0.1:0"});
        config["online"] = serde_json::json!({"stream_silence_ms": 1000});
        config["operator_key_hashes"] = serde_json::json!([bundle::hash_key(OPERATOR_KEY)]);
        change(&mut config);
        FleetProcess::start(&self.folder, "gateway", &name, &config)
    }

    fn put_bundle_in_force(&self) {
        let document = serde_json::to_vec(&test_bundle()).expect("it is JSON");
        let draft = self.operator(0).post("/operator/v1/bundles", document);
        let generation = &draft.expect("the bundle is proposed")["draft"]["generation"];
        let path = format!("/operator/v1/bundles/sign-off?generation={generation}");
        self.operator(0)
            .post(&path, Vec::new())
            .expect("the bundle is signed off");
    }

    /// Waits until all gateways are ready and see all dispatchers.
    pub fn wait_ready(&self) {
        let instances = self.gateways.len() + self.dispatchers.len();
        for number in 0..self.gateways.len() {
            wait_for("all instances are seen with the bundle", || {
                let status = self.operator(number).get("/operator/v1/bundles").ok()?;
                let seen = status["in_force_at"].as_u64() == Some(instances as u64);
                let model = serde_json::json!({"model": "m", "max_tokens": 1, "prompt": "warm"});
                seen.then_some(())?;
                self.caller(number)
                    .post("/v1/completions", body(&model))
                    .ok()
                    .map(|_| ())
            });
        }
    }

    /// A client with the workspace's key.
    pub fn caller(&self, gateway: usize) -> TestClient {
        TestClient::new(self.gateways[gateway].address("callers"), KEY)
    }

    /// A client with the operator's key.
    pub fn operator(&self, gateway: usize) -> TestClient {
        TestClient::new(self.gateways[gateway].address("callers"), OPERATOR_KEY)
    }

    /// Sets the faults of the object service.
    pub fn object_faults(&self, faults: serde_json::Value) {
        set_faults(&self.objects, faults);
    }

    /// Sets the faults of an engine.
    pub fn engine_faults(&self, engine: usize, faults: serde_json::Value) {
        set_faults(&self.engines[engine], faults);
    }

    /// Effects that the plain service counted.
    pub fn plain_effects(&self) -> std::collections::BTreeMap<String, u32> {
        let client = TestClient::new(self.plain.address("listen"), "");
        let effects = client.get("/effects").expect("the effects are told");
        serde_json::from_value(effects).expect("they are counts")
    }
}

/// Sets the faults of a stand-in.
pub fn set_faults(standin: &FleetProcess, faults: serde_json::Value) {
    let client = TestClient::new(standin.address("listen"), "");
    client
        .send(Method::POST, "/faults", &[], body(&faults))
        .expect("the faults are set");
}

/// JSON as bytes.
pub fn body(value: &serde_json::Value) -> Vec<u8> {
    value.to_string().into_bytes()
}

/// Looks until there is something, or fails the test.
pub fn wait_for<T>(what: &str, mut look: impl FnMut() -> Option<T>) -> T {
    let deadline = time::Instant::now() + PATIENCE;
    loop {
        if let Some(found) = look() {
            return found;
        }
        assert!(time::Instant::now() < deadline, "not in time: {what}");
        thread::sleep(LOOK_PAUSE);
    }
}

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

    pub fn reach(&self) -> cli::GatewayReach {
        cli::GatewayReach {
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
                .timeout(PATIENCE)
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
        let reach = self.reach();
        let file = actix_rt::System::new().block_on(async {
            let client = cli::client::ApiClient::new(&reach);
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
        let answer = self
            .send(Method::GET, &path, &[], Vec::new())
            .expect("results are read");
        assert_eq!(answer.status, 200);
        let mut results = Results::new();
        for line in answer.body.split(|b| *b == b'\n').filter(|l| !l.is_empty()) {
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
        let answer = self.send(
            Method::POST,
            "/v1/chat/completions",
            &[],
            chat(content, tokens, true),
        )?;
        if answer.status != 200 {
            return Err(String::from_utf8_lossy(&answer.body).into_owned());
        }
        let mut text = String::new();
        let mut whole = false;
        for data in String::from_utf8_lossy(&answer.body).lines() {
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

fn success(answer: TestAnswer) -> Result<serde_json::Value, String> {
    if answer.status == 200 {
        return Ok(answer.json());
    }
    Err(format!(
        "{}: {}",
        answer.status,
        String::from_utf8_lossy(&answer.body)
    ))
}

/// A chat request.
pub fn chat(content: &str, tokens: u32, stream: bool) -> Vec<u8> {
    body(&serde_json::json!({
        "model": "m", "max_tokens": tokens, "stream": stream,
        "messages": [{"role": "user", "content": content}],
    }))
}

/// Items of generated letters, a line each.
pub fn letters(count: usize, tokens: u32) -> String {
    let line = |number| {
        let item = serde_json::json!({
            "custom_id": format!("letter-{number}"), "method": "POST",
            "url": "/v1/chat/completions",
            "body": {
                "model": "m", "max_tokens": tokens,
                "messages": [{"role": "user", "content": format!("letter {number}")}],
            },
        });
        format!("{item}\n")
    };
    (0..count).map(line).collect()
}

/// Fails unless each letter has its one right result.
pub fn check_letters(results: &Results, count: usize, tokens: u32) {
    assert_eq!(results.len(), count, "each letter has a result");
    for number in 0..count {
        let result = &results[&format!("letter-{number}")];
        let message = &result["response"]["body"]["choices"][0]["message"]["content"];
        let expected = jayhollow::smoke::expected_answer(&format!("letter {number}"), tokens);
        assert_eq!(message.as_str(), Some(expected.as_str()));
    }
}
