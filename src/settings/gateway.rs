//! Settings of `jayhollow-gateway`.

use std::{net, path};

use super::common;
use crate::decisions::routing;

/// Settings of a gateway.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// Identity of this process.
    pub instance: common::InstanceSettings,
    /// Connection to the platform's object service.
    pub store: common::StoreSettings,
    /// Connections to the other processes.
    pub link: common::LinkSettings,
    /// HTTP server for callers.
    pub callers: CallerSettings,
    /// Intervals of heartbeats, watches and polls.
    #[serde(default)]
    pub pace: common::PaceSettings,
    /// Routing and attempts of online requests.
    #[serde(default)]
    pub online: OnlineSettings,
    /// SHA-256 hash of each operator's key, in hexadecimal.
    #[serde(default)]
    pub operator_key_hashes: Vec<String>,
}

/// HTTP server for callers.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct CallerSettings {
    /// IP address and port on which the gateway accepts callers.
    pub listen: net::SocketAddr,
    /// Number of threads that serve callers.
    #[serde(default = "default_workers")]
    pub workers: usize,
    /// TLS for connections from callers; if unset, plain HTTP is used.
    #[serde(default)]
    pub tls: Option<TlsSettings>,
    /// Limits on requests from callers.
    #[serde(default)]
    pub limits: InputLimits,
    /// Maximum wait for requests in flight at a planned stop, in milliseconds.
    #[serde(default = "default_stop_timeout")]
    pub stop_timeout_ms: u64,
}

fn default_workers() -> usize {
    2
}

fn default_stop_timeout() -> u64 {
    120_000
}

/// TLS certificate and private key of the gateway.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct TlsSettings {
    /// PEM file with the certificate chain.
    pub certificate_file: path::PathBuf,
    /// PEM file with the private key; reloaded when it changes.
    pub key_file: path::PathBuf,
}

/// Limits on requests from callers.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize, schemars::JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct InputLimits {
    /// Maximum size of an online request's body, in bytes.
    pub body_bytes: usize,
    /// Maximum size of an uploaded file, in bytes.
    pub file_bytes: usize,
    /// Maximum size of one line of an uploaded file, in bytes.
    pub line_bytes: usize,
    /// Maximum number of items in an uploaded file.
    pub file_items: usize,
    /// Maximum time to receive a request's head, in milliseconds.
    pub head_timeout_ms: u64,
    /// Maximum time to receive an online request's body, in milliseconds.
    pub body_timeout_ms: u64,
    /// Maximum size of a request's head, in bytes.
    pub head_bytes: usize,
    /// Maximum number of concurrent connections; requests on further connections are refused.
    pub connections: usize,
    /// Maximum number of concurrent requests in total; further requests are refused.
    pub requests: usize,
    /// Maximum memory for connections, requests and responses, in bytes. Half of it is for new
    /// requests; above all of it, the connections that hold the most are closed.
    pub memory_bytes: usize,
    /// Maximum time in which a caller reads nothing of a response, in milliseconds.
    pub stall_timeout_ms: u64,
}

impl Default for InputLimits {
    fn default() -> Self {
        Self {
            body_bytes: 4 << 20,
            file_bytes: 512 << 20,
            line_bytes: 256 << 10,
            file_items: 400_000,
            head_timeout_ms: 5_000,
            body_timeout_ms: 30_000,
            head_bytes: 32 << 10,
            connections: 4_096,
            requests: 8_192,
            memory_bytes: 64_000_000,
            stall_timeout_ms: 60_000,
        }
    }
}

/// Routing and attempts of online requests.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize, schemars::JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct OnlineSettings {
    /// Policy by which endpoints are ranked.
    pub routing: routing::RoutePolicy,
    /// Whether a request needs a permit from the endpoint's owner before it is sent.
    pub permits: bool,
    /// Maximum number of attempts per request.
    pub max_attempts: u32,
    /// Deadline of a request whose caller sets none, in milliseconds.
    pub default_deadline_ms: u64,
    /// Maximum time without data from an endpoint in a stream, in milliseconds.
    pub stream_silence_ms: u64,
}

impl Default for OnlineSettings {
    fn default() -> Self {
        Self {
            routing: routing::RoutePolicy::default(),
            permits: true,
            max_attempts: 4,
            default_deadline_ms: 120_000,
            stream_silence_ms: 5_000,
        }
    }
}

impl super::CheckedSettings for GatewaySettings {
    fn first_invalid(&self) -> Option<(String, String)> {
        let workers = self.callers.workers as u64;
        let attempts = u64::from(self.online.max_attempts);
        let line = self.callers.limits.line_bytes as u64;
        common::check_store(&self.store)
            .or_else(|| self.pace.first_invalid())
            .or_else(|| super::check_range("callers.workers", workers, 1, 64))
            .or_else(|| super::check_range("online.max_attempts", attempts, 1, 16))
            .or_else(|| {
                super::check_range("callers.limits.line_bytes", line, 1, MAX_LINE_BYTES as u64)
            })
    }
}

/// Upper limit of `line_bytes`: the largest line that fits a chunk in the object service.
const MAX_LINE_BYTES: usize = 768 << 10;
