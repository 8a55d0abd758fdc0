//! One small harness: a fleet of separate processes on loopback, and clients for it.
#![allow(dead_code)] // Each test file uses a part of it.

mod client;
mod process;

use std::{fs, path, thread, time};

use actix_http::Method;
use jayhollow::bundle;

#[allow(unused_imports)] // Each test file uses a part of it.
pub use client::{Results, TestAnswer, TestClient};
pub use process::FleetProcess;

/// API key of the workspace under test.
pub const KEY: &str = "test-key";
/// API key of a second workspace.
pub const OTHER_KEY: &str = "other-test-key";
/// Operator's key.
pub const OPERATOR_KEY: &str = "test-operator-key";
/// Longest wait for anything.
pub const TIMEOUT: time::Duration = time::Duration::from_secs(60);
/// Pause between looks.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);

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
    let deadline = time::Instant::now() + TIMEOUT;
    loop {
        if let Some(found) = look() {
            return found;
        }
        assert!(time::Instant::now() < deadline, "not in time: {what}");
        thread::sleep(POLL_INTERVAL);
    }
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
        let expected = jayhollow::smoke::expected_response(&format!("letter {number}"), tokens);
        assert_eq!(message.as_str(), Some(expected.as_str()));
    }
}
