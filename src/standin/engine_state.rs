//! What a stand-in engine holds: open sequences, faults, orders, reports.

use std::{collections, time};

use actix_http::StatusCode;
use tokio::sync::mpsc;

use super::{
    engine_model,
    engine_terms::{EngineFaults, EngineOptions, EngineOrder, LoadReport},
};
use crate::{http_server, wire};

/// A sequence, and the reader that it has or had.
struct OpenSequence {
    attempt: String,
    prompt: String,
    sender: Option<mpsc::UnboundedSender<engine_model::MadeToken>>,
    /// Index of the first token that it made itself.
    first: u32,
    made: u32,
    end: u32,
    keep: time::Duration,
    left_at: Option<time::Instant>,
}

/// All that a stand-in engine holds.
pub(super) struct EngineState {
    pub(super) options: EngineOptions,
    pub(super) model: engine_model::EngineModel,
    open: collections::HashMap<engine_model::SequenceNumber, OpenSequence>,
    pub(super) faults: EngineFaults,
    pub(super) cut: collections::HashSet<String>,
    pub(super) order: EngineOrder,
    pub(super) report: LoadReport,
    pub(super) reported_at: time::Instant,
    pub(super) made_tokens: u64,
    pub(super) starts: u64,
    /// How often each prompt was begun from its first token, by hash.
    pub(super) effects: collections::HashMap<u64, u32>,
}

/// The body of a request as the engine reads it.
#[derive(serde::Deserialize)]
pub(super) struct EngineRequest {
    #[serde(flatten)]
    pub(super) request: wire::GenerationRequest,
    #[serde(default)]
    pub(super) given_text: String,
}

impl EngineState {
    /// An idle engine.
    pub(super) fn new(options: EngineOptions) -> Self {
        Self {
            model: engine_model::EngineModel::new(options.spec.clone()),
            options,
            open: collections::HashMap::new(),
            faults: EngineFaults::default(),
            cut: collections::HashSet::new(),
            order: EngineOrder::default(),
            report: LoadReport::default(),
            reported_at: time::Instant::now(),
            made_tokens: 0,
            starts: 0,
            effects: collections::HashMap::new(),
        }
    }

    pub(super) fn open(
        &mut self,
        attempt: &str,
        prompt: &str,
        body: &EngineRequest,
        resume: Option<u32>,
        keep: time::Duration,
    ) -> Option<mpsc::UnboundedReceiver<engine_model::MadeToken>> {
        let (sender, receiver) = mpsc::unbounded_channel();
        if let Some(after) = resume {
            return self.reopen(attempt, after, sender).then_some(receiver);
        }
        let given = if body.given_text.is_empty() {
            body.request.given_text()
        } else {
            body.given_text.clone()
        };
        let first_token = engine_model::answer_length(&given);
        let end_token = body.request.token_limit().max(first_token + 1);
        let request = engine_model::SequenceRequest {
            prompt: prompt.to_owned(),
            first_token,
            end_token,
        };
        let number = self.model.submit(&request);
        self.starts += 1;
        if first_token == 0 {
            let hash = xxhash_rust::xxh3::xxh3_64(prompt.as_bytes());
            *self.effects.entry(hash).or_default() += 1;
        }
        let sequence = OpenSequence {
            attempt: attempt.to_owned(),
            prompt: prompt.to_owned(),
            sender: Some(sender),
            first: first_token,
            made: first_token,
            end: end_token,
            keep,
            left_at: None,
        };
        self.open.insert(number, sequence);
        Some(receiver)
    }

    fn reopen(
        &mut self,
        attempt: &str,
        after: u32,
        sender: mpsc::UnboundedSender<engine_model::MadeToken>,
    ) -> bool {
        let found = self.open.iter_mut().find(|(_, s)| s.attempt == attempt);
        let Some((&number, sequence)) = found else {
            return false;
        };
        for index in after + 1..sequence.made {
            let last = index + 1 == sequence.end;
            let _ = sender.send(engine_model::MadeToken {
                number,
                index,
                last,
            });
        }
        if sequence.made == sequence.end {
            self.open.remove(&number);
            return true;
        }
        sequence.sender = Some(sender);
        sequence.left_at = None;
        true
    }

    /// Drops a stream at once.
    pub(super) fn cancel(&mut self, attempt: &str) {
        let found = self.open.iter().find(|(_, s)| s.attempt == attempt);
        if let Some(number) = found.map(|(number, _)| *number) {
            self.open.remove(&number);
            self.model.cancel(number);
        }
    }

    pub(super) fn deliver(&mut self, made: Vec<engine_model::MadeToken>) {
        self.made_tokens += made.len() as u64;
        for token in made {
            let Some(sequence) = self.open.get_mut(&token.number) else {
                continue;
            };
            sequence.made = token.index + 1;
            let cut = self.faults.cut_after_tokens == Some(token.index)
                && self.cut.insert(sequence.attempt.clone());
            let poisoned = self
                .faults
                .poison
                .as_ref()
                .is_some_and(|p| sequence.prompt.contains(p));
            let given = token.index - sequence.first;
            let poison = poisoned && given >= self.faults.poison_after_tokens;
            let sent = sequence
                .sender
                .as_ref()
                .is_some_and(|s| s.send(token).is_ok());
            if cut || poison || !sent {
                sequence.sender = None;
                sequence.left_at.get_or_insert_with(time::Instant::now);
            } else if token.last {
                self.open.remove(&token.number);
            }
        }
        self.sweep();
    }

    fn sweep(&mut self) {
        let model = &mut self.model;
        self.open.retain(|number, sequence| {
            let left = sequence.sender.as_ref().is_none_or(|s| s.is_closed());
            if left {
                sequence.left_at.get_or_insert_with(time::Instant::now);
            }
            let gone = sequence
                .left_at
                .is_some_and(|at| at.elapsed() >= sequence.keep);
            if gone {
                model.cancel(*number);
            }
            !gone
        });
    }

    pub(super) fn update_report(&mut self, step_us: u64) {
        let lag = time::Duration::from_millis(self.options.report_lag_ms);
        if self.reported_at.elapsed() < lag {
            return;
        }
        self.reported_at = time::Instant::now();
        self.report = LoadReport {
            running: self.model.running(),
            waiting: self.model.waiting(),
            step_us,
            cached_tokens: self.model.cached_tokens,
            prompt_tokens: self.model.prompt_tokens,
            made_tokens: self.made_tokens,
        };
    }

    pub(super) fn take_order(&mut self, order: EngineOrder) -> http_server::HttpResponse {
        if self.options.checks_fencing && order.fence < self.order.fence {
            return http_server::plain(StatusCode::CONFLICT, "old fencing number");
        }
        self.order = order;
        http_server::plain(StatusCode::OK, "taken")
    }

    /// The attempt that an answer names; under the fault `cross` often another one.
    pub(super) fn echo_name(&mut self, attempt: &str) -> String {
        if self.faults.cross && self.starts.is_multiple_of(2) {
            return "attempt-of-another".to_owned();
        }
        attempt.to_owned()
    }
}
