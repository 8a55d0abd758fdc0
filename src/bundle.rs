//! The operators' bundle: models, services, workspaces, limits; and their checks.

use std::{collections, fmt};

use sha2::Digest as _;

use crate::ids;

/// Version number of an accepted bundle; only grows.
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

/// What an operator writes and signs off.
#[derive(
    Debug, Clone, Default, PartialEq, serde::Serialize, serde::Deserialize, schemars::JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct BundleDocument {
    /// Models that engines serve.
    #[serde(default)]
    pub models: Vec<ModelSpec>,
    /// Plain services.
    #[serde(default)]
    pub services: Vec<ServiceSpec>,
    /// Workspaces of callers.
    #[serde(default)]
    pub workspaces: Vec<WorkspaceSpec>,
    /// How batch work shares the endpoints.
    #[serde(default)]
    pub batch: BatchSpec,
}

/// A model.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ModelSpec {
    /// Name that callers use.
    pub name: ids::ServiceName,
    /// Version that engines are to have loaded.
    #[serde(default)]
    pub version: String,
    /// Adapters that engines are to have loaded.
    #[serde(default)]
    pub adapters: Vec<String>,
}

/// A plain service.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Name in the path `/services/{name}/`.
    pub name: ids::ServiceName,
    /// Whether its calls may be repeated unless the caller says otherwise.
    #[serde(default = "yes")]
    pub repeatable: bool,
    /// Batch calls at once per endpoint.
    #[serde(default = "default_service_concurrency")]
    pub batch_concurrency: u32,
}

fn yes() -> bool {
    true
}

fn default_service_concurrency() -> u32 {
    8
}

/// A workspace.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceSpec {
    /// Its name.
    pub id: ids::WorkspaceId,
    /// SHA-256 of each API key, in hexadecimal.
    pub key_hashes: Vec<String>,
    /// Online requests at once over the whole fleet.
    #[serde(default = "default_concurrency")]
    pub max_concurrency: u32,
    /// Online requests a second over the whole fleet.
    #[serde(default = "default_rate")]
    pub max_requests_per_second: u32,
}

fn default_concurrency() -> u32 {
    256
}

fn default_rate() -> u32 {
    1000
}

/// How batch work shares the endpoints.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize, schemars::JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct BatchSpec {
    /// By how many percent batch work may slow down the steps of online answers.
    ///
    /// A small number favours online callers, a large one batch throughput.
    pub online_slowdown_percent: u32,
    /// Attempts of an item before its outcome is an error.
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

/// One thing that is wrong with a document.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct BundleFault {
    /// Where in the file, as a JSON pointer.
    pub path: String,
    /// What was found and what is allowed.
    pub problem: String,
}

impl BundleDocument {
    /// Everything that is wrong with the document.
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

/// Largest slowdown an operator may ask for, in percent.
pub const MAX_SLOWDOWN_PERCENT: u32 = 1000;

/// SHA-256 of an API key in hexadecimal, as a bundle holds it.
pub fn hash_key(key: &str) -> String {
    let digest = sha2::Sha256::digest(key.as_bytes());
    digest.iter().map(|b| format!("{b:02x}")).collect()
}

/// A bundle as daemons use it, with its look-ups made.
#[derive(Debug, Clone, Default)]
pub struct IndexedBundle {
    /// Generation of the document.
    pub generation: BundleGeneration,
    /// The document.
    pub document: BundleDocument,
    by_key: collections::HashMap<String, usize>,
}

impl IndexedBundle {
    /// Prepares a document for use.
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

    /// The workspace that an API key belongs to.
    pub fn workspace_of(&self, key: &str) -> Option<&WorkspaceSpec> {
        let index = *self.by_key.get(&hash_key(key))?;
        self.document.workspaces.get(index)
    }

    /// Whether a model of that name exists.
    pub fn has_model(&self, name: &ids::ServiceName) -> bool {
        self.document.models.iter().any(|m| &m.name == name)
    }

    /// Whether there is a model or a plain service of that name.
    pub fn serves(&self, name: &ids::ServiceName) -> bool {
        self.has_model(name) || self.service(name).is_some()
    }

    /// The plain service of that name.
    pub fn service(&self, name: &ids::ServiceName) -> Option<&ServiceSpec> {
        self.document.services.iter().find(|s| &s.name == name)
    }
}
