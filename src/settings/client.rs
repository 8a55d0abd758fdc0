//! Settings of the command line `jayhollow`.

use std::path;

/// Settings of the command line; flags and environment go before them.
#[derive(Debug, Clone, Default, serde::Serialize, serde::Deserialize, schemars::JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct ClientSettings {
    /// Address of a gateway.
    pub url: Option<String>,
    /// File with the API key of a workspace, or with an operator's key.
    pub key_file: Option<path::PathBuf>,
    /// Name that goes on the record of bundle steps.
    pub operator: Option<String>,
}

impl super::CheckedSettings for ClientSettings {
    fn out_of_range(&self) -> Option<(String, String)> {
        let url = self.url.as_ref()?;
        if url::Url::parse(url).is_ok_and(|u| u.scheme() == "http") {
            return None;
        }
        Some((
            "url".into(),
            format!("found '{url}', an http:// address is allowed"),
        ))
    }
}
