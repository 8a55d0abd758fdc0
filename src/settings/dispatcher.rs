//! Settings of `jayhollow-dispatcher`.

use super::common;

/// Settings of a dispatcher.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct DispatcherSettings {
    /// Identity of this process.
    pub instance: common::InstanceSettings,
    /// Connection to the platform's object service.
    pub store: common::StoreSettings,
    /// Connections to the other processes.
    pub link: common::LinkSettings,
    /// Intervals of heartbeats, watches and polls.
    #[serde(default)]
    pub pace: common::PaceSettings,
    /// Limits and timing of batch work.
    #[serde(default)]
    pub batch: BatchSettings,
    /// IP address and port of `/metrics`, `/healthz` and `/readyz`; if unset, they are not served.
    #[serde(default)]
    pub metrics_listen: Option<std::net::SocketAddr>,
}

/// Limits and timing of batch work.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize, schemars::JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct BatchSettings {
    /// Maximum number of sequences that an engine runs in one step.
    pub engine_sequences: u32,
    /// Maximum number of online requests at an endpoint, including those that wait.
    pub engine_online: u32,
    /// Number of waiting items per service below which another chunk is claimed.
    pub low_water_items: usize,
    /// Maximum number of chunks that are claimed at once.
    pub max_chunks: usize,
    /// Minimum interval between the starts of two batch streams at an engine, in milliseconds.
    pub start_spacing_ms: u64,
    /// Maximum time without data from an endpoint in a batch stream, in milliseconds.
    pub stream_silence_ms: u64,
    /// Time after which finished items of an incomplete chunk are committed, in milliseconds.
    pub commit_after_ms: u64,
}

impl Default for BatchSettings {
    fn default() -> Self {
        Self {
            engine_sequences: 64,
            engine_online: 128,
            low_water_items: 64,
            max_chunks: 8,
            start_spacing_ms: 5,
            stream_silence_ms: 10_000,
            commit_after_ms: 60_000,
        }
    }
}

impl super::CheckedSettings for DispatcherSettings {
    fn first_invalid(&self) -> Option<(String, String)> {
        let sequences = u64::from(self.batch.engine_sequences);
        let chunks = self.batch.max_chunks as u64;
        common::check_store(&self.store)
            .or_else(|| self.pace.first_invalid())
            .or_else(|| super::check_range("batch.engine_sequences", sequences, 1, 100_000))
            .or_else(|| super::check_range("batch.max_chunks", chunks, 1, 256))
    }
}
