//! Layout of bundles in the object service: the keys of the head and of the document's parts.

use crate::{
    bundle,
    decisions::{bundle_steps, call_budget},
    store,
};

/// Key of the object that holds the bundle head: the accepted bundle and the submitted draft.
pub const BUNDLE_HEAD_KEY: &str = "bundle/head";

/// Returns the key of a part of a bundle's document.
pub fn document_key(document: &str, part: u32) -> String {
    format!("bundle/doc/{document}/{part}")
}

/// Reads the parts of a bundle's document and decodes it.
///
/// # Errors
/// A part is missing or cannot be read, or the document is not valid.
pub async fn read_document(
    store: &dyn store::ObjectStore,
    entry: &bundle_steps::BundleEntry,
) -> store::StoreResult<bundle::BundleDocument> {
    let mut text = Vec::new();
    for part in 0..entry.parts {
        let key = document_key(&entry.document, part);
        let object = store.get(call_budget::CallClass::Control, &key).await?;
        let object =
            object.ok_or_else(|| store::StoreError::Corrupt(format!("{key} is missing")))?;
        text.extend_from_slice(&object.value);
    }
    serde_json::from_slice(&text).map_err(|e| store::StoreError::Corrupt(e.to_string()))
}
