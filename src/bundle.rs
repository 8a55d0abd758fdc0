//! The operators' bundle of models, services, workspaces and limits, and its validation.

use std::{collections, fmt};

use sha2::Digest as _;

use crate::ids;

/// Version number of an accepted bundle; increases monotonically.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Default,
    serde::Serialize,
    serde::Deserialize,
    schemars::JsonSchema,
)]
pub struct BundleGeneration(pub u64);

impl fmt::Display for BundleGeneration {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl std::str::FromStr for BundleGeneration {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// Bundle document that an operator writes and approves.
#[derive(
    Debug, Clone, Default, PartialEq, serde::Serialize, serde::Deserialize, schemars::JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct BundleDocument {
    /// Models served by engines.
    #[serde(default)]
    pub models: Vec<ModelSpec>,
    /// Plain services.
    #[serde(default)]
    pub services: Vec<ServiceSpec>,
    /// Callers' workspaces.
    #[serde(default)]
    pub workspaces: Vec<WorkspaceSpec>,
    /// Settings for sharing endpoints between batch and online work.
    #[serde(default)]
    pub batch: BatchSpec,
}

/// Definition of a model.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ModelSpec {
    /// Model name in requests.
    pub name: ids::ServiceName,
    /// Version that engines must have loaded.
    #[serde(default)]
    pub version: String,
    /// Adapters that engines must have loaded.
    #[serde(default)]
    pub adapters: Vec<String>,
}

/// Definition of a plain service.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Service name in the path `/services/{name}/`.
    pub name: ids::ServiceName,
    /// Whether requests may be retried, unless the caller specifies otherwise.
    #[serde(default = "yes")]
    pub repeatable: bool,
    /// Maximum number of concurrent batch requests per endpoint.
    #[serde(default = "default_service_concurrency")]
    pub batch_concurrency: u32,
}

fn yes() -> bool {
    true
}

fn default_service_concurrency() -> u32 {
    8
}

/// Definition of a workspace.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceSpec {
    /// Workspace identifier.
    pub id: ids::WorkspaceId,
    /// SHA-256 hash of each API key, in hexadecimal.
    pub key_hashes: Vec<String>,
    /// Maximum number of concurrent online requests across the fleet.
    #[serde(default = "default_concurrency")]
    pub max_concurrency: u32,
    /// Maximum rate of online requests across the fleet, per second.
    #[serde(default = "default_rate")]
    pub max_requests_per_second: u32,
}

fn default_concurrency() -> u32 {
    256
}

fn default_rate() -> u32 {
    1000
}

/// Settings for sharing endpoints between batch and online work.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize, schemars::JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct BatchSpec {
    /// Maximum slowdown of online generation steps caused by batch work, in percent.
    ///
    /// Lower values favour online latency, higher values favour batch throughput.
    pub online_slowdown_percent: u32,
    /// Number of attempts after which an item fails.
    pub max_item_attempts: u32,
}

impl Default for BatchSpec {
    fn default() -> Self {
        Self {
            online_slowdown_percent: 10,
            max_item_attempts: 3,
        }
    }
}

/// Validation error of a bundle document.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct BundleFault {
    /// JSON pointer to the invalid value.
    pub path: String,
    /// Value found and values allowed.
    pub problem: String,
}

impl BundleDocument {
    /// Validates the document and returns all errors found.
    pub fn faults(&self) -> Vec<BundleFault> {
        let mut faults = Vec::new();
        self.check_names(&mut faults);
        self.check_workspaces(&mut faults);
        let slowdown = self.batch.online_slowdown_percent;
        if slowdown > MAX_SLOWDOWN_PERCENT {
            faults.push(BundleFault {
                path: "/batch/online_slowdown_percent".into(),
                problem: format!("found {slowdown}, allowed are 0 to {MAX_SLOWDOWN_PERCENT}"),
            });
        }
        if self.batch.max_item_attempts == 0 {
            faults.push(BundleFault {
                path: "/batch/max_item_attempts".into(),
                problem: "found 0, at least 1 is allowed".into(),
            });
        }
        faults
    }

    fn check_names(&self, faults: &mut Vec<BundleFault>) {
        let models = self.models.iter().enumerate();
        let services = self.services.iter().enumerate();
        let paths = models
            .map(|(i, m)| (format!("/models/{i}/name"), &m.name))
            .chain(services.map(|(i, s)| (format!("/services/{i}/name"), &s.name)));
        let mut seen = collections::HashSet::new();
        for (path, name) in paths {
            if !seen.insert(name) {
                let problem = format!("the name '{name}' stands twice");
                faults.push(BundleFault { path, problem });
            }
        }
    }

    fn check_workspaces(&self, faults: &mut Vec<BundleFault>) {
        let mut names = collections::HashSet::new();
        let mut hashes = collections::HashSet::new();
        for (i, workspace) in self.workspaces.iter().enumerate() {
            if !names.insert(&workspace.id) {
                let problem = format!("the workspace '{}' stands twice", workspace.id);
                let path = format!("/workspaces/{i}/id");
                faults.push(BundleFault { path, problem });
            }
            for (j, hash) in workspace.key_hashes.iter().enumerate() {
                let path = format!("/workspaces/{i}/key_hashes/{j}");
                let hex = hash.len() == 64 && hash.bytes().all(|b| b.is_ascii_hexdigit());
                if !hex {
                    let problem = "found something else than 64 hexadecimal digits".into();
                    faults.push(BundleFault { path, problem });
                } else if !hashes.insert(hash.to_ascii_lowercase()) {
                    let problem = "this key belongs to a workspace above already".into();
                    faults.push(BundleFault { path, problem });
                }
            }
        }
    }
}

/// Maximum value of `online_slowdown_percent`, in percent.
pub const MAX_SLOWDOWN_PERCENT: u32 = 1000;

/// Returns the SHA-256 hash of an API key in hexadecimal, as stored in a bundle.
pub fn hash_key(key: &str) -> String {
    let digest = sha2::Sha256::digest(key.as_bytes());
    digest.iter().map(|b| format!("{b:02x}")).collect()
}

/// Bundle with an index of its API keys.
#[derive(Debug, Clone, Default)]
pub struct IndexedBundle {
    /// Generation of the bundle.
    pub generation: BundleGeneration,
    /// Bundle document.
    pub document: BundleDocument,
    by_key: collections::HashMap<String, usize>,
}

impl IndexedBundle {
    /// Builds the key index of a document.
    pub fn new(generation: BundleGeneration, document: BundleDocument) -> Self {
        let by_key = document
            .workspaces
            .iter()
            .enumerate()
            .flat_map(|(i, w)| {
                w.key_hashes
                    .iter()
                    .map(move |h| (h.to_ascii_lowercase(), i))
            })
            .collect();
        Self {
            generation,
            document,
            by_key,
        }
    }

    /// Returns the workspace of an API key, if the key is known.
    pub fn workspace_of(&self, key: &str) -> Option<&WorkspaceSpec> {
        let index = *self.by_key.get(&hash_key(key))?;
        self.document.workspaces.get(index)
    }

    /// Returns whether the bundle defines a model with this name.
    pub fn has_model(&self, name: &ids::ServiceName) -> bool {
        self.document.models.iter().any(|m| &m.name == name)
    }

    /// Returns whether the bundle defines a model or plain service with this name.
    pub fn serves(&self, name: &ids::ServiceName) -> bool {
        self.has_model(name) || self.service(name).is_some()
    }

    /// Returns the plain service with this name.
    pub fn service(&self, name: &ids::ServiceName) -> Option<&ServiceSpec> {
        self.document.services.iter().find(|s| &s.name == name)
    }
}
