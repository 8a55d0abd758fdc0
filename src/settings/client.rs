//! Settings of the command line `jayhollow`.

use std::path;

/// Settings of the command line; flags and environment variables take precedence over them.
#[derive(Debug, Clone, Default, serde::Serialize, serde::Deserialize, schemars::JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct ClientSettings {
    /// HTTP URL of a gateway.
    pub url: Option<String>,
    /// File that contains the API key of a workspace or an operator's key.
    pub key_file: Option<path::PathBuf>,
    /// Operator name recorded with each change to a bundle.
    pub operator: Option<String>,
}

impl super::CheckedSettings for ClientSettings {
    fn first_invalid(&self) -> Option<(String, String)> {
        let url = self.url.as_ref()?;
        if url::Url::parse(url).is_ok_and(|u| u.scheme() == "http") {
            return None;
        }
        Some((
            "url".into(),
            format!("found '{url}', an http:// URL is allowed"),
        ))
    }
}
