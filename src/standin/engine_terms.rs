//! What a stand-in engine is told and what it reports: options, faults, orders, load.

use super::engine_model;

/// Faults of an engine, set through `POST /faults`.
#[derive(Debug, Clone, Default, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Cut each stream once after this many tokens.
    pub cut_after_tokens: Option<u32>,
    /// Stop stepping.
    pub freeze: bool,
    /// Multiply the time of each step.
    pub slow_factor: f64,
    /// Send every other answer under another attempt's name.
    pub cross: bool,
    /// Delay of each answer, in milliseconds.
    pub delay_ms: u64,
    /// Refuse every request before running it.
    pub refuse: bool,
    /// Cut every stream whose prompt holds this text, each time.
    pub poison: Option<String>,
    /// Tokens that a poisoned stream gives before it is cut.
    pub poison_after_tokens: u32,
}

/// What an engine reports of its load, with a lag.
#[derive(Debug, Clone, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct LoadReport {
    /// Sequences in steps.
    pub running: usize,
    /// Sequences that wait.
    pub waiting: usize,
    /// Microseconds of the latest step.
    pub step_us: u64,
    /// Prompt tokens found in the cache since the start.
    pub cached_tokens: u64,
    /// Prompt tokens asked for since the start.
    pub prompt_tokens: u64,
    /// Answer tokens made since the start.
    pub made_tokens: u64,
}

/// An order of the system to an engine.
#[derive(Debug, Clone, Default, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineOrder {
    /// Fencing number of who gives the order.
    pub fence: u64,
    /// Model version to serve.
    pub version: Option<String>,
    /// Adapters to have loaded.
    pub adapters: Option<Vec<String>>,
    /// Role to take.
    pub role: Option<String>,
}

/// How a stand-in engine behaves.
#[derive(Debug, Clone, Default, serde::Serialize, serde::Deserialize, schemars::JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct EngineOptions {
    /// Speed and size.
    pub spec: engine_model::EngineSpec,
    /// Answer at once, without steps; for measuring what is around the engine.
    pub instant: bool,
    /// Age of the load reports, in milliseconds.
    pub report_lag_ms: u64,
    /// Of the cache events each so many-th is lost; none if zero.
    pub event_gap: u64,
    /// Whether orders with an old fencing number are refused.
    pub checks_fencing: bool,
}
