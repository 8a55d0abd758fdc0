//! Settings of `jayhollow-gateway`.

use std::{net, path};

use super::common;
use crate::decisions::routing;

/// Settings of a gateway.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// Who this process is.
    pub instance: common::InstanceSettings,
    /// The platform's object service.
    pub store: common::StoreSettings,
    /// Links to the other processes.
    pub link: common::LinkSettings,
    /// The side towards callers.
    pub callers: CallerSettings,
    /// How often the process looks and shows itself.
    #[serde(default)]
    pub pace: common::PaceSettings,
    /// How online requests find their endpoint.
    #[serde(default)]
    pub online: OnlineSettings,
    /// SHA-256 of each operator's key, in hexadecimal.
    #[serde(default)]
    pub operator_key_hashes: Vec<String>,
}

/// The side towards callers.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct CallerSettings {
    /// IP number and port that callers reach.
    pub listen: net::SocketAddr,
    /// Threads that answer callers.
    #[serde(default = "default_workers")]
    pub workers: usize,
    /// TLS towards callers; without it HTTP is spoken.
    #[serde(default)]
    pub tls: Option<TlsSettings>,
    /// Limits on what callers send.
    #[serde(default)]
    pub limits: InputLimits,
    /// Longest wait for requests in flight at a planned stop, in milliseconds.
    #[serde(default = "default_stop_timeout")]
    pub stop_timeout_ms: u64,
}

fn default_workers() -> usize {
    2
}

fn default_stop_timeout() -> u64 {
    120_000
}

/// Certificate and key of the gateway.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct TlsSettings {
    /// PEM file with the certificate chain.
    pub certificate_file: path::PathBuf,
    /// PEM file with the private key; read again when it changes.
    pub key_file: path::PathBuf,
}

/// Limits on what callers send.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize, schemars::JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct InputLimits {
    /// Bytes of an online request's body.
    pub body_bytes: usize,
    /// Bytes of an uploaded file.
    pub file_bytes: usize,
    /// Bytes of one line of an uploaded file.
    pub line_bytes: usize,
    /// Items in an uploaded file.
    pub file_items: usize,
    /// Milliseconds to send a request's head.
    pub head_timeout_ms: u64,
    /// Milliseconds to send an online request's body.
    pub body_timeout_ms: u64,
    /// Bytes of a request's head.
    pub head_bytes: usize,
    /// Connections at once; requests of further ones are refused.
    pub connections: usize,
    /// Requests at once in all; further ones are refused.
    pub requests: usize,
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
        }
    }
}

/// How online requests find their endpoint.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize, schemars::JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct OnlineSettings {
    /// How endpoints are ranked.
    pub routing: routing::RoutePolicy,
    /// Whether the endpoint's owner is asked before a request is sent.
    pub permits: bool,
    /// Attempts of one request at most.
    pub max_attempts: u32,
    /// Milliseconds a request may take if its caller names no deadline.
    pub default_deadline_ms: u64,
    /// Longest silence of an endpoint within a stream, in milliseconds.
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
    fn out_of_range(&self) -> Option<(String, String)> {
        let workers = self.callers.workers as u64;
        let attempts = u64::from(self.online.max_attempts);
        let line = self.callers.limits.line_bytes as u64;
        common::store_fault(&self.store)
            .or_else(|| self.pace.out_of_range())
            .or_else(|| super::range_fault("callers.workers", workers, 1, 64))
            .or_else(|| super::range_fault("online.max_attempts", attempts, 1, 16))
            .or_else(|| {
                super::range_fault("callers.limits.line_bytes", line, 1, MAX_LINE_BYTES as u64)
            })
    }
}

/// Largest line that fits a chunk of the object service.
const MAX_LINE_BYTES: usize = 768 << 10;
