//! The desired state: routes of requests to services, and their limits.

use std::{collections, fmt, str, sync, time};

use super::workspaces::workspace_table;
use crate::ids;

/// Version of a desired state; a higher one replaces a lower one.
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
)]
pub struct StateVersion(pub u64);

impl fmt::Display for StateVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl str::FromStr for StateVersion {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// Kind of a route: the form of its responses, and whether its requests may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum RouteKind {
    /// Complete responses; a request may run more than once.
    Idempotent,
    /// Complete responses; a request runs at most once.
    Once,
    /// Event streams that can be resumed at any endpoint of the service.
    ResumableStream,
    /// Event streams; a request runs at most once.
    OnceStream,
    /// Jobs of many items, which are accepted first and run later.
    Batch,
}

impl RouteKind {
    /// Returns whether a request may run more than once.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Returns whether responses are event streams.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::ResumableStream | Self::OnceStream)
    }

    /// Returns the label in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Idempotent => "idempotent",
            Self::Once => "once",
            Self::ResumableStream => "resumable_stream",
            Self::OnceStream => "once_stream",
            Self::Batch => "batch",
        }
    }
}

/// Service that receives a share of a route's requests.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize)]
pub struct RouteTarget {
    /// Name of the service.
    pub service: ids::ServiceName,
    /// Its weight among the targets of the route.
    pub weight: u32,
}

/// Route of the requests to one host under one path prefix.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize)]
pub struct Route {
    /// Name in logs and metrics.
    pub name: String,
    /// Host that requests name.
    pub host: String,
    /// Prefix of the path; begins and ends with a slash.
    pub prefix: String,
    /// Kind of the responses and retries.
    pub kind: RouteKind,
    /// Timeout of the complete response.
    pub timeout: time::Duration,
    /// Time within which a response, or the first event of a stream, is on time.
    pub objective: time::Duration,
    /// Longest gap between events of a stream that is on time.
    pub gap_objective: Option<time::Duration>,
    /// Priority among routes; 0 is the highest.
    pub priority: u32,
    /// Services that receive the requests; not empty.
    pub targets: Vec<RouteTarget>,
    /// Number of endpoints that one request may be sent to, at least 1.
    pub max_attempts: u32,
    /// For jobs: target time from submission to the last result.
    pub completion_objective: time::Duration,
    /// For jobs: time after which an unfinished item may be given up.
    pub retention: time::Duration,
    /// Whether requests are accepted without an API key.
    pub is_public: bool,
}

impl Route {
    /// Returns the targets with a share of the requests: those with a weight above 0, or the
    /// first one if no target has such a weight.
    pub fn active_targets(&self) -> impl Iterator<Item = &RouteTarget> {
        let weighted = self.targets.iter().filter(|t| t.weight > 0);
        let has_weights = self.targets.iter().any(|t| t.weight > 0);
        let fallback = self.targets.first().filter(|_| !has_weights);
        weighted.chain(fallback)
    }

    /// Returns whether a service has a share of the requests.
    pub fn leads_to(&self, service: &ids::ServiceName) -> bool {
        self.active_targets().any(|t| t.service == *service)
    }

    /// Draws the service of an attempt or an item at random by the weights of the targets.
    pub fn draw_service(&self) -> Option<ids::ServiceName> {
        let weight = |target: &RouteTarget| u64::from(target.weight.max(1));
        let total: u64 = self.active_targets().map(weight).sum();
        let mut point = rand::random_range(0..total.max(1));
        let drawn = self.active_targets().find(|target| {
            let is_inside = point < weight(target);
            point = point.saturating_sub(weight(target));
            is_inside
        });
        drawn.map(|target| target.service.clone())
    }
}

/// Service that routes refer to.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: ids::ServiceName,
    /// Number of connections that one of its endpoints accepts from all gateways
    /// together.
    pub max_connections: u32,
    /// Whether its endpoints are model engines, whose slots batch work shares with online
    /// requests.
    pub is_engine: bool,
    /// Number of requests per second that a cold endpoint accepts; not limited if 0.
    pub cold_rate: f64,
}

/// Limits of client requests.
#[derive(Debug, Clone, Copy, serde::Serialize, serde::Deserialize)]
pub struct CallerLimits {
    /// Size of a request's head in bytes.
    pub max_head_bytes: usize,
    /// Size of a request's body in bytes.
    pub max_body_bytes: usize,
    /// Timeout of reading the head, and of reading the body.
    pub head_timeout: time::Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: time::Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_head_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            head_timeout: time::Duration::from_secs(3),
            idle_timeout: time::Duration::from_secs(15),
        }
    }
}

/// Complete desired state, which is also sent between processes.
#[derive(Debug, Clone, Default, serde::Serialize, serde::Deserialize)]
pub struct DesiredState {
    /// Version of the state.
    pub version: StateVersion,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<ServiceSpec>,
    /// Limits of client requests.
    pub limits: CallerLimits,
    /// All workspaces; if `None`, requests need no API key.
    pub workspaces: Option<Vec<workspace_table::WorkspaceSpec>>,
}

/// Desired state indexed for lookups.
///
/// Invariant: the routes of a host are sorted by prefix length, the longest first.
#[derive(Debug, Default)]
pub struct RouteTable {
    state: DesiredState,
    hosts: collections::HashMap<String, Vec<sync::Arc<Route>>>,
    services: collections::HashMap<ids::ServiceName, ServiceSpec>,
    workspaces: workspace_table::WorkspaceTable,
}

impl RouteTable {
    /// Indexes a desired state.
    pub fn new(state: DesiredState) -> Self {
        let mut hosts = collections::HashMap::<String, Vec<sync::Arc<Route>>>::new();
        for route in &state.routes {
            let routes = hosts.entry(route.host.to_ascii_lowercase()).or_default();
            routes.push(sync::Arc::new(route.clone()));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
        }
        let services = state.services.iter();
        let services = services.map(|s| (s.name.clone(), s.clone())).collect();
        let workspaces = workspace_table::WorkspaceTable::new(state.workspaces.as_deref());
        Self {
            state,
            hosts,
            services,
            workspaces,
        }
    }

    /// Returns the desired state.
    pub fn state(&self) -> &DesiredState {
        &self.state
    }

    /// Returns the version of the desired state; 0 if none is known.
    pub fn version(&self) -> StateVersion {
        self.state.version
    }

    /// Returns whether a desired state is known.
    pub fn is_known(&self) -> bool {
        self.state.version > StateVersion(0)
    }

    /// Returns the route of a request, by its host and the longest matching path prefix.
    pub fn find(&self, host: &str, path: &str) -> Option<&sync::Arc<Route>> {
        let routes = self.routes_of(host)?;
        routes.iter().find(|r| path.starts_with(&r.prefix))
    }

    /// Returns the batch route of a host, if it has one.
    pub fn find_batch(&self, host: &str) -> Option<&sync::Arc<Route>> {
        let routes = self.routes_of(host)?;
        routes.iter().find(|r| r.kind == RouteKind::Batch)
    }

    fn routes_of(&self, host: &str) -> Option<&Vec<sync::Arc<Route>>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        match self.hosts.get(name) {
            Some(routes) => Some(routes),
            None => self.hosts.get(&name.to_ascii_lowercase()),
        }
    }

    /// Returns the index of workspaces.
    pub fn workspaces(&self) -> &workspace_table::WorkspaceTable {
        &self.workspaces
    }

    /// Returns a service by its name.
    pub fn service(&self, name: &ids::ServiceName) -> Option<&ServiceSpec> {
        self.services.get(name)
    }
}
