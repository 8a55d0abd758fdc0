//! Steps of a bundle: `draft → rolling → in force`, each a conditional update.

use crate::bundle;

/// How far a candidate has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BundleStep {
    /// Submitted, not yet signed off.
    Draft,
    /// Signed off; instances are taking it.
    Rolling,
    /// All live instances were seen to have it.
    InForce,
}

/// A bundle on its way, or the newest accepted one.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct BundleEntry {
    /// Its number.
    pub generation: bundle::BundleGeneration,
    /// The generation that its author saw as the accepted one.
    pub parent: bundle::BundleGeneration,
    /// How far it has come.
    pub step: BundleStep,
    /// Who submitted it.
    pub author: String,
    /// Who signed it off.
    pub signer: Option<String>,
    /// Name of the stored document.
    pub document: String,
    /// Parts that the stored document has.
    pub parts: u32,
}

/// The object `bundle/head`: what is accepted and what is proposed.
///
/// Invariant: `draft.generation > accepted.generation`, and `accepted` never
/// goes to a lower generation.
#[derive(Debug, Clone, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct BundleHead {
    /// Newest accepted bundle, in force or rolling.
    pub accepted: Option<BundleEntry>,
    /// Proposed bundle, not yet accepted.
    pub draft: Option<BundleEntry>,
}

/// Why an operator's step was not taken.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum BundleConflict {
    /// Another generation was accepted since.
    #[error("generation {found} by {author} was accepted meanwhile; you started from {expected}")]
    ParentMoved {
        /// Generation that the operator started from.
        expected: bundle::BundleGeneration,
        /// Generation that is accepted.
        found: bundle::BundleGeneration,
        /// Who submitted it.
        author: String,
    },
    /// Another draft is open.
    #[error("generation {generation} by {author} is proposed already; sign it off or discard it")]
    DraftOpen {
        /// Generation of the open draft.
        generation: bundle::BundleGeneration,
        /// Who submitted it.
        author: String,
    },
    /// There is no such draft.
    #[error("there is no draft of generation {0}")]
    NoDraft(bundle::BundleGeneration),
}

impl BundleHead {
    /// The accepted generation, 0 if there is none.
    pub fn generation(&self) -> bundle::BundleGeneration {
        self.accepted
            .as_ref()
            .map_or(bundle::BundleGeneration(0), |a| a.generation)
    }

    /// Proposes a document.
    ///
    /// # Errors
    /// The parent is not the accepted generation, or a draft is open.
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

    /// Signs the draft off: from then on it is accepted.
    ///
    /// # Errors
    /// There is no draft of that generation.
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

    /// Notes that all live instances have the accepted bundle.
    pub fn settle(&self) -> Self {
        let mut head = self.clone();
        if let Some(accepted) = &mut head.accepted {
            accepted.step = BundleStep::InForce;
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
