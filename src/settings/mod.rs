//! Reading and validation of settings files.
//!
//! Each error names the file, the key and the allowed values.

pub mod client;
pub mod common;
pub mod dispatcher;
pub mod gateway;
pub mod standin;
pub mod table;

use std::{fs, path};

/// Error in a settings file.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("the settings file {file} cannot be read: {reason}")]
    #[diagnostic(code(jayhollow::settings::unreadable))]
    Unreadable {
        /// Name of the file.
        file: String,
        /// Error of the operating system.
        reason: String,
    },
    /// A key is unknown or a value is invalid.
    #[error("in the settings file {file}, at '{key}': {found}")]
    #[diagnostic(
        code(jayhollow::settings::invalid),
        help("docs/settings.md lists every key with its type, default and meaning")
    )]
    Invalid {
        /// Name of the file.
        file: String,
        /// Path of the key, with its parent keys.
        key: String,
        /// Value found and values allowed.
        found: String,
    },
}

/// Settings with checks that their types cannot express.
pub trait CheckedSettings: serde::de::DeserializeOwned + serde::Serialize {
    /// Returns the key of the first value that is out of range, and what is allowed.
    fn first_invalid(&self) -> Option<(String, String)>;
}

/// Reads and validates a settings file.
///
/// # Errors
/// The file cannot be read, or contains an unknown key or an invalid value.
pub fn load<T: CheckedSettings>(file: &path::Path) -> Result<T, SettingsError> {
    let name = file.display().to_string();
    let text = fs::read_to_string(file).map_err(|e| SettingsError::Unreadable {
        file: name.clone(),
        reason: e.to_string(),
    })?;
    parse(&name, &text)
}

/// Parses and validates the text of a settings file; `file` is its name for errors.
///
/// # Errors
/// The text contains an unknown key or an invalid value.
pub fn parse<T: CheckedSettings>(file: &str, text: &str) -> Result<T, SettingsError> {
    let mut deserializer = serde_json::Deserializer::from_str(text);
    let settings: T = serde_path_to_error::deserialize(&mut deserializer).map_err(|e| {
        let key = e.path().to_string();
        SettingsError::Invalid {
            file: file.to_owned(),
            key,
            found: e.into_inner().to_string(),
        }
    })?;
    match settings.first_invalid() {
        None => Ok(settings),
        Some((key, found)) => Err(SettingsError::Invalid {
            file: file.to_owned(),
            key,
            found,
        }),
    }
}

/// Returns `key` and a message if `value` is not in `min..=max`.
fn check_range(key: &str, value: u64, min: u64, max: u64) -> Option<(String, String)> {
    if (min..=max).contains(&value) {
        return None;
    }
    let found = format!("found {value}, allowed are {min} to {max}");
    Some((key.to_owned(), found))
}
