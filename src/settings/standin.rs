//! Settings of `jayhollow-standin`.

use std::net;

use crate::{platform, standin::engine_terms};

/// What a stand-in process plays.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize, schemars::JsonSchema)]
#[serde(tag = "role", rename_all = "snake_case", deny_unknown_fields)]
pub enum StandinSettings {
    /// The platform's object service and its list of endpoints.
    Objects {
        /// IP number and port.
        listen: net::SocketAddr,
        /// The list of endpoints at the start.
        #[serde(default)]
        endpoints: Vec<platform::EndpointRecord>,
    },
    /// A model engine.
    Engine {
        /// IP number and port.
        listen: net::SocketAddr,
        /// Speed, size and kind.
        #[serde(default)]
        options: engine_terms::EngineOptions,
    },
    /// A plain service.
    Plain {
        /// IP number and port.
        listen: net::SocketAddr,
    },
}

impl super::CheckedSettings for StandinSettings {
    fn out_of_range(&self) -> Option<(String, String)> {
        None
    }
}
