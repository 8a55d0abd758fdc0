//! Arithmetic of the stand-in engine: continuous batching, prefix cache, answers.
//!
//! No clock and no I/O: [`EngineModel::step`] says what one step does and how
//! long it takes. Answers are a function of the prompt alone, so that anyone
//! can tell a right answer from a truncated, doubled or crossed one.

use std::{collections, num, time};

use xxhash_rust::xxh3;

/// Characters of prompt per token.
const CHARS_PER_TOKEN: usize = 4;
/// Tokens in one block of the prefix cache.
const BLOCK_TOKENS: usize = 16;

/// How fast and how large a stand-in engine is.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize, schemars::JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct EngineSpec {
    /// Sequences in one step at most; further ones wait in order of arrival.
    pub max_running: usize,
    /// Microseconds of a step with nothing in it.
    pub step_base_us: u64,
    /// Microseconds that each running sequence adds to a step.
    pub step_per_sequence_us: u64,
    /// Microseconds that each prompt token computed adds to a step.
    pub prefill_per_token_us: u64,
    /// Prompt tokens computed in one step at most.
    pub prefill_tokens_per_step: usize,
    /// Blocks of 16 tokens that the prefix cache holds.
    pub cache_blocks: usize,
}

impl Default for EngineSpec {
    fn default() -> Self {
        Self {
            max_running: 64,
            step_base_us: 8_000,
            step_per_sequence_us: 300,
            prefill_per_token_us: 20,
            prefill_tokens_per_step: 2_048,
            cache_blocks: 4_096,
        }
    }
}

/// The number of a sequence within its engine.
pub type SequenceNumber = u64;

/// One sequence in the engine.
///
/// Invariant: `next_token <= end_token`.
struct Sequence {
    number: SequenceNumber,
    prefill_left: usize,
    next_token: u32,
    end_token: u32,
}

/// One token that a step made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MadeToken {
    /// The sequence it belongs to.
    pub number: SequenceNumber,
    /// Its index in the answer, from 0.
    pub index: u32,
    /// Whether it is the last one.
    pub last: bool,
}

/// A request as the engine takes it.
#[derive(Debug, Clone)]
pub struct SequenceRequest {
    /// Prompt without any part of the answer.
    pub prompt: String,
    /// Index of the first token to make; the ones before it are given.
    pub first_token: u32,
    /// Index after the last token to make.
    pub end_token: u32,
}

/// An engine's sequences, queue and cache.
pub struct EngineModel {
    spec: EngineSpec,
    waiting: collections::VecDeque<Sequence>,
    running: Vec<Sequence>,
    cache: lru::LruCache<u64, ()>,
    /// Changes of the cache, the newest last; only so many are kept.
    events: collections::VecDeque<CacheEvent>,
    next_event: u64,
    next_number: SequenceNumber,
    /// Prompt tokens found in the cache since the start.
    pub cached_tokens: u64,
    /// Prompt tokens asked for since the start.
    pub prompt_tokens: u64,
}

impl EngineModel {
    /// An empty engine.
    pub fn new(spec: EngineSpec) -> Self {
        let blocks = num::NonZeroUsize::new(spec.cache_blocks).unwrap_or(num::NonZeroUsize::MIN);
        Self {
            spec,
            waiting: collections::VecDeque::new(),
            running: Vec::new(),
            cache: lru::LruCache::new(blocks),
            events: collections::VecDeque::new(),
            next_event: 0,
            next_number: 0,
            cached_tokens: 0,
            prompt_tokens: 0,
        }
    }

    /// Takes a request, whatever the load is.
    pub fn submit(&mut self, request: &SequenceRequest) -> SequenceNumber {
        let total = token_count(&request.prompt) + request.first_token as usize;
        let cached = self.look_up(&request.prompt).min(total);
        self.prompt_tokens += total as u64;
        self.cached_tokens += cached as u64;
        self.next_number += 1;
        self.waiting.push_back(Sequence {
            number: self.next_number,
            prefill_left: (total - cached).max(1),
            next_token: request.first_token,
            end_token: request.end_token,
        });
        self.next_number
    }

    /// Prompt tokens at the front that the cache holds; the rest is put there.
    fn look_up(&mut self, prompt: &str) -> usize {
        let mut cached = 0;
        let mut unbroken = true;
        for hash in block_hashes(prompt) {
            if self.cache.get(&hash).is_none() {
                unbroken = false;
                self.store_block(hash);
            }
            if unbroken {
                cached += BLOCK_TOKENS;
            }
        }
        cached
    }

    fn store_block(&mut self, block: u64) {
        if let Some((evicted, ())) = self.cache.push(block, ()) {
            if evicted != block {
                self.record_event(evicted, false);
            }
        }
        self.record_event(block, true);
    }

    fn record_event(&mut self, block: u64, stored: bool) {
        self.next_event += 1;
        let number = self.next_event;
        self.events.push_back(CacheEvent {
            number,
            block,
            stored,
        });
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    /// Changes of the cache after a number; older ones than are kept are missing.
    pub fn events_after(&self, number: u64) -> impl Iterator<Item = &CacheEvent> {
        self.events.iter().filter(move |e| e.number > number)
    }

    /// The blocks of a prompt's front that the cache holds.
    pub fn export(&self, prompt: &str) -> Vec<u64> {
        let hashes = block_hashes(prompt).into_iter();
        hashes.take_while(|h| self.cache.contains(h)).collect()
    }

    /// Puts blocks of another engine into the cache.
    pub fn import(&mut self, blocks: &[u64]) {
        for block in blocks {
            self.store_block(*block);
        }
    }

    /// Forgets a sequence.
    pub fn cancel(&mut self, number: SequenceNumber) {
        self.waiting.retain(|s| s.number != number);
        self.running.retain(|s| s.number != number);
    }

    /// Sequences in steps now.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Sequences that wait for a place.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Whether a step has nothing to do.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty()
    }

    /// Does one step; gives its duration and the tokens that it made.
    pub fn step(&mut self) -> (time::Duration, Vec<MadeToken>) {
        while self.running.len() < self.spec.max_running {
            let Some(sequence) = self.waiting.pop_front() else {
                break;
            };
            self.running.push(sequence);
        }
        let mut budget = self.spec.prefill_tokens_per_step;
        let mut made = Vec::new();
        for sequence in &mut self.running {
            if sequence.prefill_left > 0 {
                let now = sequence.prefill_left.min(budget);
                sequence.prefill_left -= now;
                budget -= now;
            }
            if sequence.prefill_left == 0 && sequence.next_token < sequence.end_token {
                let index = sequence.next_token;
                sequence.next_token += 1;
                let last = sequence.next_token == sequence.end_token;
                made.push(MadeToken {
                    number: sequence.number,
                    index,
                    last,
                });
            }
        }
        let duration = self.step_duration(self.spec.prefill_tokens_per_step - budget);
        self.running.retain(|s| s.next_token < s.end_token);
        (duration, made)
    }

    fn step_duration(&self, prefilled: usize) -> time::Duration {
        let sequences = self.running.len() as u64 * self.spec.step_per_sequence_us;
        let prefill = prefilled as u64 * self.spec.prefill_per_token_us;
        time::Duration::from_micros(self.spec.step_base_us + sequences + prefill)
    }
}

/// Changes of the cache that are kept.
const MAX_EVENTS: usize = 4096;

/// A change of the prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct CacheEvent {
    /// Its number, from 1.
    pub number: u64,
    /// The block.
    pub block: u64,
    /// Whether it was stored, or evicted.
    pub stored: bool,
}

/// Hashes of a prompt's whole blocks, each over all before it.
fn block_hashes(prompt: &str) -> Vec<u64> {
    let mut hash = 0;
    let blocks = prompt
        .as_bytes()
        .chunks_exact(BLOCK_TOKENS * CHARS_PER_TOKEN);
    blocks
        .map(|block| {
            hash = xxh3::xxh3_64_with_seed(block, hash);
            hash
        })
        .collect()
}

/// Tokens that a prompt counts as.
pub fn token_count(text: &str) -> usize {
    text.len().div_ceil(CHARS_PER_TOKEN)
}

/// The token at `index` of the answer to `prompt`: a short word and a space.
pub fn answer_token(prompt: &str, index: u32) -> String {
    let hash = xxh3::xxh3_64_with_seed(prompt.as_bytes(), u64::from(index));
    let letter = |shift: u32| char::from(b'a' + ((hash >> shift) % 26) as u8);
    format!("{}{}{} ", letter(0), letter(8), letter(16))
}

/// The whole answer of `tokens` tokens to `prompt`.
pub fn answer_text(prompt: &str, tokens: u32) -> String {
    (0..tokens).map(|i| answer_token(prompt, i)).collect()
}

/// Tokens that a part of an answer holds.
pub fn answer_length(text: &str) -> u32 {
    text.split_ascii_whitespace().count() as u32
}
