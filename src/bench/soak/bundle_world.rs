//! Racing operators, lost answers, and daemons that hear of bundles in any order.

use rand::{rngs, Rng as _};

use super::{Protection, SoakWorld, WorldTally};
use crate::{bundle, decisions::bundle_steps};

const OPERATORS: usize = 3;
const DAEMONS: usize = 4;

/// A step that was sent, and the head that it was made from.
struct SentStep {
    revision: u64,
    head: bundle_steps::BundleHead,
}

/// One head, several operators, several daemons.
pub struct BundleWorld {
    without: Option<Protection>,
    tally: WorldTally,
    revision: u64,
    head: bundle_steps::BundleHead,
    sent: Vec<SentStep>,
    /// Accepted generations and their documents, in the order of acceptance.
    history: Vec<(bundle::BundleGeneration, String)>,
    daemons: Vec<bundle::BundleGeneration>,
    documents: u64,
}

impl BundleWorld {
    /// A world, with a protection taken out if wanted.
    pub fn new(without: Option<Protection>) -> Self {
        Self {
            without,
            tally: WorldTally::default(),
            revision: 0,
            head: bundle_steps::BundleHead::default(),
            sent: Vec::new(),
            history: Vec::new(),
            daemons: vec![bundle::BundleGeneration(0); DAEMONS],
            documents: 0,
        }
    }

    fn send_step(&mut self, operator: usize, rng: &mut rngs::SmallRng) {
        let name = format!("operator-{operator}");
        let draft = self.head.draft.as_ref().map(|d| d.generation);
        let next = match rng.random_range(0..10) {
            0..5 => {
                self.documents += 1;
                let parent = self.head.generation();
                self.head
                    .propose(parent, &name, &format!("doc-{}", self.documents), 1)
            }
            5..9 => {
                let generation = draft.unwrap_or(bundle::BundleGeneration(1));
                self.head.approve(generation, &name)
            }
            _ => {
                let generation = draft.unwrap_or(bundle::BundleGeneration(1));
                self.head.discard(generation)
            }
        };
        match next {
            Ok(head) => self.sent.push(SentStep {
                revision: self.revision,
                head,
            }),
            Err(_) => self.tally.end("conflict_told"),
        }
    }

    fn arrive(&mut self, rng: &mut rngs::SmallRng) {
        if self.sent.is_empty() {
            return;
        }
        let step = self.sent.remove(rng.random_range(0..self.sent.len()));
        let holds = step.revision == self.revision;
        if !holds && self.without != Some(Protection::BundleCondition) {
            self.tally.fault("step_raced");
            return;
        }
        let before = self.head.generation();
        self.head = step.head.clone();
        self.revision += 1;
        let after = self.head.generation();
        self.tally.check(after >= before, || {
            format!("accepted {after} after {before}")
        });
        if let Some(accepted) = self.head.accepted.as_ref().filter(|_| after > before) {
            let entry = (accepted.generation, accepted.document.clone());
            self.history.push(entry);
            self.tally.end("accepted");
        } else if let Some(accepted) = &self.head.accepted {
            let newest = self.history.last().map(|(_, document)| document);
            let same = newest == Some(&accepted.document);
            self.tally
                .check(same, || format!("generation {after} has two documents"));
        }
        if rng.random_bool(0.1) {
            self.tally.fault("step_repeated");
            self.sent.push(step);
        }
    }

    /// A daemon hears of an accepted bundle: the newest, or an old one from a slow peer.
    fn hear(&mut self, rng: &mut rngs::SmallRng) {
        if self.history.is_empty() {
            return;
        }
        let number = rng.random_range(0..DAEMONS);
        let (heard, _) = self.history[rng.random_range(0..self.history.len())];
        let had = self.daemons[number];
        if heard < had {
            self.tally.fault("old_bundle_heard");
        }
        // The rule of the fleet's model: a generation that is not higher is left alone.
        let takes = heard > had || self.without == Some(Protection::GenerationOrder);
        if takes {
            self.daemons[number] = heard;
        }
        let now = self.daemons[number];
        self.tally
            .check(now >= had, || format!("a daemon went from {had} to {now}"));
    }
}

impl SoakWorld for BundleWorld {
    fn name(&self) -> &'static str {
        "bundles"
    }

    fn step(&mut self, rng: &mut rngs::SmallRng) {
        match rng.random_range(0..10) {
            0..4 => self.send_step(rng.random_range(0..OPERATORS), rng),
            4..8 => self.arrive(rng),
            _ => self.hear(rng),
        }
        if self.history.len() > MAX_HISTORY {
            *self = Self {
                tally: std::mem::take(&mut self.tally),
                ..Self::new(self.without)
            };
        }
    }

    fn tally(&self) -> &WorldTally {
        &self.tally
    }
}

/// Accepted bundles after which the world begins anew.
const MAX_HISTORY: usize = 200;
