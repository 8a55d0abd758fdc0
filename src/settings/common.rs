//! Settings common to gateways and dispatchers.

use std::{net, path, time};

use crate::{decisions::call_budget, ids};

/// Identity of this process.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct InstanceSettings {
    /// Name of the instance; must be unique among all processes.
    pub id: ids::InstanceId,
    /// Failure domain of the instance.
    pub domain: ids::DomainName,
}

/// Connection to the platform's object service.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// Base URL of the object service, such as `http://127.0.0.1:7070`.
    pub url: String,
    /// Maximum number of calls per second from this process.
    #[serde(default = "default_store_rate")]
    pub calls_per_second: call_budget::CallRate,
}

fn default_store_rate() -> call_budget::CallRate {
    call_budget::CallRate(200.0)
}

/// Connections between the processes of the system.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct LinkSettings {
    /// IP address and port at which peers reach this process.
    pub listen: net::SocketAddr,
    /// File that contains the secret shared by all processes.
    pub secret_file: path::PathBuf,
    /// Maximum wait for a permit, in milliseconds; the gateway then proceeds without one.
    #[serde(default = "default_permit_timeout")]
    pub permit_timeout_ms: u64,
}

fn default_permit_timeout() -> u64 {
    30
}

/// Intervals of heartbeats, watches and polls.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize, schemars::JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct PaceSettings {
    /// Interval between renewals of the process's lease, in milliseconds.
    pub heartbeat_ms: u64,
    /// Number of missed lease renewals after which the other processes consider this one gone.
    pub lapse_heartbeats: u32,
    /// Delay between a watch response and the next watch request, in milliseconds.
    pub watch_pace_ms: u64,
    /// Interval between reads of the platform's list of endpoints, in milliseconds.
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
    /// Returns the interval between lease renewals.
    pub fn heartbeat(&self) -> time::Duration {
        time::Duration::from_millis(self.heartbeat_ms)
    }

    /// Returns the time without a renewal after which an instance is considered gone.
    pub fn lease_timeout(&self) -> time::Duration {
        self.heartbeat() * self.lapse_heartbeats
    }

    /// Returns the key of the first value that is out of range, and what is allowed.
    pub fn first_invalid(&self) -> Option<(String, String)> {
        super::check_range("pace.heartbeat_ms", self.heartbeat_ms, 50, 60_000)
            .or_else(|| {
                let missed = u64::from(self.lapse_heartbeats);
                super::check_range("pace.lapse_heartbeats", missed, 2, 100)
            })
            .or_else(|| super::check_range("pace.watch_pace_ms", self.watch_pace_ms, 10, 5_000))
            .or_else(|| {
                super::check_range("pace.endpoints_poll_ms", self.endpoints_poll_ms, 10, 5_000)
            })
    }
}

/// Returns the key of the first invalid value for the object service, and what is allowed.
pub(super) fn check_store(store: &StoreSettings) -> Option<(String, String)> {
    if store.calls_per_second.0 < 1.0 {
        let found = format!("found {}, at least 1 is allowed", store.calls_per_second.0);
        return Some(("store.calls_per_second".into(), found));
    }
    if url::Url::parse(&store.url).is_ok_and(|u| u.scheme() == "http") {
        return None;
    }
    let found = format!("found '{}', an http:// URL is allowed", store.url);
    Some(("store.url".into(), found))
}
