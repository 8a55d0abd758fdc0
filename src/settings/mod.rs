//! Settings files: reading, checking, and errors that name file, key and what is allowed.

pub mod client;
pub mod common;
pub mod dispatcher;
pub mod gateway;
pub mod standin;
pub mod table;

use std::{fs, path};

/// Why settings were refused.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("the settings file {file} cannot be read: {reason}")]
    #[diagnostic(code(jayhollow::settings::unreadable))]
    Unreadable {
        /// The file.
        file: String,
        /// What the system says.
        reason: String,
    },
    /// A key or a value is wrong.
    #[error("in the settings file {file}, at '{key}': {found}")]
    #[diagnostic(
        code(jayhollow::settings::invalid),
        help("docs/settings.md lists every key with its type, default and meaning")
    )]
    Invalid {
        /// The file.
        file: String,
        /// The key, with the keys above it.
        key: String,
        /// What was found and what is allowed.
        found: String,
    },
}

/// Settings that can be checked beyond their types.
pub trait CheckedSettings: serde::de::DeserializeOwned + serde::Serialize {
    /// The first value that is out of its range: its key, and what is allowed.
    fn out_of_range(&self) -> Option<(String, String)>;
}

/// Reads and checks a settings file.
///
/// # Errors
/// The file cannot be read, or holds an unknown key or a wrong value.
pub fn load<T: CheckedSettings>(file: &path::Path) -> Result<T, SettingsError> {
    let name = file.display().to_string();
    let text = fs::read_to_string(file).map_err(|e| SettingsError::Unreadable {
        file: name.clone(),
        reason: e.to_string(),
    })?;
    parse(&name, &text)
}

/// Parses and checks the text of a settings file.
///
/// # Errors
/// The text holds an unknown key or a wrong value.
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
    match settings.out_of_range() {
        None => Ok(settings),
        Some((key, found)) => Err(SettingsError::Invalid {
            file: file.to_owned(),
            key,
            found,
        }),
    }
}

/// Checks that `value` lies in `least..=most`; says what is wrong otherwise.
fn range_fault(key: &str, value: u64, least: u64, most: u64) -> Option<(String, String)> {
    if (least..=most).contains(&value) {
        return None;
    }
    let found = format!("found {value}, allowed are {least} to {most}");
    Some((key.to_owned(), found))
}
