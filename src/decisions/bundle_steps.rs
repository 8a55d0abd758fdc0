//! Lifecycle of a bundle: `draft → rolling → active`, each step a conditional update.

use crate::bundle;

/// Stage of a bundle.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BundleStep {
    /// The bundle is submitted but not signed off.
    Draft,
    /// The bundle is signed off, and instances are applying it.
    Rolling,
    /// All live instances have applied the bundle.
    #[serde(rename = "in_force")]
    Active,
}

/// Draft or accepted bundle.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct BundleEntry {
    /// Generation of the bundle.
    pub generation: bundle::BundleGeneration,
    /// Accepted generation on which the author based the bundle.
    pub parent: bundle::BundleGeneration,
    /// Stage of the bundle.
    pub step: BundleStep,
    /// Operator who submitted the bundle.
    pub author: String,
    /// Operator who signed off the bundle.
    pub signer: Option<String>,
    /// Name of the stored document.
    pub document: String,
    /// Number of parts of the stored document.
    pub parts: u32,
}

/// The object `bundle/head`: the accepted bundle and the draft.
///
/// Invariant: `draft.generation > accepted.generation`, and the generation of `accepted`
/// never decreases.
#[derive(Debug, Clone, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct BundleHead {
    /// Newest accepted bundle, rolling or active.
    pub accepted: Option<BundleEntry>,
    /// Submitted bundle that is not yet accepted.
    pub draft: Option<BundleEntry>,
}

/// Reason for which an operator's update is refused.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum BundleConflict {
    /// Another generation was accepted in the meantime.
    #[error("generation {found} by {author} was accepted meanwhile; you started from {expected}")]
    ParentMoved {
        /// Generation on which the operator based the update.
        expected: bundle::BundleGeneration,
        /// Accepted generation.
        found: bundle::BundleGeneration,
        /// Operator who submitted the accepted generation.
        author: String,
    },
    /// There is a draft already.
    #[error("generation {generation} by {author} is proposed already; sign it off or discard it")]
    DraftOpen {
        /// Generation of the draft.
        generation: bundle::BundleGeneration,
        /// Operator who submitted the draft.
        author: String,
    },
    /// There is no draft of this generation.
    #[error("there is no draft of generation {0}")]
    NoDraft(bundle::BundleGeneration),
}

impl BundleHead {
    /// Returns the accepted generation, 0 if there is none.
    pub fn generation(&self) -> bundle::BundleGeneration {
        self.accepted
            .as_ref()
            .map_or(bundle::BundleGeneration(0), |a| a.generation)
    }

    /// Adds a draft.
    ///
    /// # Errors
    /// `parent` is not the accepted generation, or there is a draft already.
    pub fn propose(
        &self,
        parent: bundle::BundleGeneration,
        author: &str,
        document: &str,
        parts: u32,
    ) -> Result<Self, BundleConflict> {
        self.check_parent(parent)?;
        if let Some(draft) = &self.draft {
            return Err(BundleConflict::DraftOpen {
                generation: draft.generation,
                author: draft.author.clone(),
            });
        }
        let draft = BundleEntry {
            generation: bundle::BundleGeneration(parent.0 + 1),
            parent,
            step: BundleStep::Draft,
            author: author.to_owned(),
            signer: None,
            document: document.to_owned(),
            parts,
        };
        Ok(Self {
            accepted: self.accepted.clone(),
            draft: Some(draft),
        })
    }

    /// Signs off the draft, which makes it the accepted bundle.
    ///
    /// # Errors
    /// There is no draft of that generation, or another generation was accepted in the meantime.
    pub fn approve(
        &self,
        generation: bundle::BundleGeneration,
        signer: &str,
    ) -> Result<Self, BundleConflict> {
        let draft = self.draft.as_ref().filter(|d| d.generation == generation);
        let mut entry = draft.cloned().ok_or(BundleConflict::NoDraft(generation))?;
        self.check_parent(entry.parent)?;
        entry.step = BundleStep::Rolling;
        entry.signer = Some(signer.to_owned());
        Ok(Self {
            accepted: Some(entry),
            draft: None,
        })
    }

    /// Discards the draft.
    ///
    /// # Errors
    /// There is no draft of that generation.
    pub fn discard(&self, generation: bundle::BundleGeneration) -> Result<Self, BundleConflict> {
        match &self.draft {
            Some(draft) if draft.generation == generation => Ok(Self {
                accepted: self.accepted.clone(),
                draft: None,
            }),
            _ => Err(BundleConflict::NoDraft(generation)),
        }
    }

    /// Marks the accepted bundle as active: all live instances have applied it.
    pub fn settle(&self) -> Self {
        let mut head = self.clone();
        if let Some(accepted) = &mut head.accepted {
            accepted.step = BundleStep::Active;
        }
        head
    }

    fn check_parent(&self, parent: bundle::BundleGeneration) -> Result<(), BundleConflict> {
        let found = self.generation();
        if found == parent {
            return Ok(());
        }
        let author = self.accepted.as_ref().map_or("", |a| a.author.as_str());
        Err(BundleConflict::ParentMoved {
            expected: parent,
            found,
            author: author.to_owned(),
        })
    }
}
