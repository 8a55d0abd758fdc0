//! Settings that gateways and dispatchers share.

use std::{net, path, time};

use crate::{decisions::call_budget, ids};

/// Who this process is.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct InstanceSettings {
    /// Name of the instance; no two processes have the same.
    pub id: ids::InstanceId,
    /// Failure domain that it is in.
    pub domain: ids::DomainName,
}

/// How the platform's object service is reached.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// Base of its addresses, like `http://127.0.0.1:7070`.
    pub url: String,
    /// Calls a second that this process may make.
    #[serde(default = "default_store_rate")]
    pub calls_per_second: call_budget::CallRate,
}

fn default_store_rate() -> call_budget::CallRate {
    call_budget::CallRate(200.0)
}

/// Links between the processes of the system.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct LinkSettings {
    /// IP number and port that peers reach this process at.
    pub listen: net::SocketAddr,
    /// File with the secret that all processes share.
    pub secret_file: path::PathBuf,
    /// Longest wait for a permit, in milliseconds; then the gateway goes ahead.
    #[serde(default = "default_permit_timeout")]
    pub permit_timeout_ms: u64,
}

fn default_permit_timeout() -> u64 {
    30
}

/// How often the process looks and shows itself.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize, schemars::JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct PaceSettings {
    /// Milliseconds between renewals of the process's lease.
    pub heartbeat_ms: u64,
    /// Renewals missed until others take the process for gone.
    pub lapse_heartbeats: u32,
    /// Least milliseconds between two answers of the watch.
    pub watch_pace_ms: u64,
    /// Milliseconds between readings of the platform's list of endpoints.
    pub endpoints_poll_ms: u64,
}

impl Default for PaceSettings {
    fn default() -> Self {
        Self {
            heartbeat_ms: 5_000,
            lapse_heartbeats: 4,
            watch_pace_ms: 1_000,
            endpoints_poll_ms: 1_000,
        }
    }
}

impl PaceSettings {
    /// Time between renewals.
    pub fn heartbeat(&self) -> time::Duration {
        time::Duration::from_millis(self.heartbeat_ms)
    }

    /// Time without renewal after which an instance is taken for gone.
    pub fn lease_timeout(&self) -> time::Duration {
        self.heartbeat() * self.lapse_heartbeats
    }

    /// The first value that is out of its range.
    pub fn out_of_range(&self) -> Option<(String, String)> {
        super::range_fault("pace.heartbeat_ms", self.heartbeat_ms, 50, 60_000)
            .or_else(|| {
                let lapses = u64::from(self.lapse_heartbeats);
                super::range_fault("pace.lapse_heartbeats", lapses, 2, 100)
            })
            .or_else(|| super::range_fault("pace.watch_pace_ms", self.watch_pace_ms, 10, 5_000))
            .or_else(|| {
                super::range_fault("pace.endpoints_poll_ms", self.endpoints_poll_ms, 10, 5_000)
            })
    }
}

/// The first value of the store's settings that is out of its range.
pub(super) fn store_fault(store: &StoreSettings) -> Option<(String, String)> {
    if store.calls_per_second.0 < 1.0 {
        let found = format!("found {}, at least 1 is allowed", store.calls_per_second.0);
        return Some(("store.calls_per_second".into(), found));
    }
    if url::Url::parse(&store.url).is_ok_and(|u| u.scheme() == "http") {
        return None;
    }
    let found = format!("found '{}', an http:// address is allowed", store.url);
    Some(("store.url".into(), found))
}
