//! Where bundles stand in the object service.

use crate::{
    bundle,
    decisions::{bundle_steps, call_budget},
    store,
};

/// Key of the bundle's head.
pub const BUNDLE_HEAD_KEY: &str = "bundle/head";

/// Key of a part of a bundle's document.
pub fn document_key(document: &str, part: u32) -> String {
    format!("bundle/doc/{document}/{part}")
}

/// Reads a bundle's document from its parts.
///
/// # Errors
/// A part cannot be read, or the document is not valid.
pub async fn read_document(
    store: &dyn store::ObjectStore,
    entry: &bundle_steps::BundleEntry,
) -> store::StoreResult<bundle::BundleDocument> {
    let mut text = Vec::new();
    for part in 0..entry.parts {
        let key = document_key(&entry.document, part);
        let object = store.get(call_budget::CallClass::Control, &key).await?;
        let object = object.ok_or_else(|| store::StoreError::Corrupt(format!("no {key}")))?;
        text.extend_from_slice(&object.value);
    }
    serde_json::from_slice(&text).map_err(|e| store::StoreError::Corrupt(e.to_string()))
}
