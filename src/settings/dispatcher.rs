//! Settings of `jayhollow-dispatcher`.

use super::common;

/// Settings of a dispatcher.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct DispatcherSettings {
    /// Who this process is.
    pub instance: common::InstanceSettings,
    /// The platform's object service.
    pub store: common::StoreSettings,
    /// Links to the other processes.
    pub link: common::LinkSettings,
    /// How often the process looks and shows itself.
    #[serde(default)]
    pub pace: common::PaceSettings,
    /// How batch work is run.
    #[serde(default)]
    pub batch: BatchSettings,
    /// IP number and port of `/metrics`, `/healthz` and `/readyz`; none without it.
    #[serde(default)]
    pub metrics_listen: Option<std::net::SocketAddr>,
}

/// How batch work is run.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize, schemars::JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct BatchSettings {
    /// Sequences that an engine runs in one step at most.
    pub engine_sequences: u32,
    /// Online requests that an endpoint may hold, waiting ones included.
    pub engine_online: u32,
    /// Items that wait per service before another chunk is claimed.
    pub low_water_items: usize,
    /// Chunks held at once.
    pub max_chunks: usize,
    /// Least milliseconds between two starts of batch streams at an engine.
    pub start_spacing_ms: u64,
    /// Milliseconds that an endpoint may be silent within a batch stream.
    pub stream_silence_ms: u64,
    /// Milliseconds after which finished items of a chunk are committed early.
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
    fn out_of_range(&self) -> Option<(String, String)> {
        let sequences = u64::from(self.batch.engine_sequences);
        let chunks = self.batch.max_chunks as u64;
        common::store_fault(&self.store)
            .or_else(|| self.pace.out_of_range())
            .or_else(|| super::range_fault("batch.engine_sequences", sequences, 1, 100_000))
            .or_else(|| super::range_fault("batch.max_chunks", chunks, 1, 256))
    }
}
