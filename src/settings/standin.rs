//! Settings of `jayhollow-standin`.

use std::net;

use crate::{platform, standin::engine_terms};

/// Settings of a stand-in process, by the system that it simulates.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize, schemars::JsonSchema)]
#[serde(tag = "role", rename_all = "snake_case", deny_unknown_fields)]
pub enum StandinSettings {
    /// Platform's object service and its list of endpoints.
    Objects {
        /// IP address and port on which the process listens.
        listen: net::SocketAddr,
        /// List of endpoints at startup.
        #[serde(default)]
        endpoints: Vec<platform::EndpointRecord>,
    },
    /// Model engine.
    Engine {
        /// IP address and port on which the process listens.
        listen: net::SocketAddr,
        /// Speed, capacity and kind of the engine.
        #[serde(default)]
        options: engine_terms::EngineOptions,
    },
    /// Plain service.
    Plain {
        /// IP address and port on which the process listens.
        listen: net::SocketAddr,
    },
}

impl super::CheckedSettings for StandinSettings {
    fn first_invalid(&self) -> Option<(String, String)> {
        None
    }
}
