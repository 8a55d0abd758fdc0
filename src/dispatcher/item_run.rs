//! One attempt of a batch item at an endpoint.

use std::{sync, time};

use futures::StreamExt as _;

use super::{chunk_work, context, ledger_table};
use crate::{
    batch_item,
    decisions::relay,
    endpoint_client, ids,
    outcome::{self, AttemptOutcome},
    wire,
};

/// Timeout of one attempt of an item.
const ATTEMPT_TIMEOUT: time::Duration = time::Duration::from_secs(600);

/// Outcome of an attempt of an item.
pub enum ItemEnd {
    /// The item has a result.
    Settled(batch_item::ItemResult),
    /// The stream was preempted; holds the text received so far.
    Preempted(String),
    /// The item did not run.
    NotRun,
    /// The attempt failed, or the item may have run; holds the reason and the text received so far.
    Failed(String, String),
}

/// Runs an item at the endpoint of a started stream, then ends the stream in the ledger.
pub async fn run(
    context: &sync::Arc<context::DispatcherContext>,
    client: &awc::Client,
    item: &batch_item::BatchItem,
    pending: &chunk_work::PendingItem,
    stream: ledger_table::StartedStream,
) -> ItemEnd {
    let endpoint = stream.endpoint.id.clone();
    let number = stream.number;
    let end = if item.is_generation() {
        run_generation(context, client, item, pending, stream).await
    } else {
        run_plain(client, item, &stream).await
    };
    context.ledgers.end_stream(&endpoint, number);
    end
}

fn new_call(
    item: &batch_item::BatchItem,
    stream: &ledger_table::StartedStream,
    body: serde_json::Value,
) -> endpoint_client::EndpointCall {
    endpoint_client::EndpointCall {
        address: stream.endpoint.address,
        method: actix_http::Method::POST,
        path: item.endpoint_path(),
        content_type: "application/json".into(),
        body: body.to_string().into(),
        attempt: ids::AttemptId::try_from(ids::unique("att")).expect("unique names are valid"),
        resume_after: None,
        // No client resumes a batch stream: a new stream continues from the received text.
        keep: Some(time::Duration::ZERO),
        timeout: ATTEMPT_TIMEOUT,
    }
}

/// Calls a plain service. The call is never preempted once it is sent.
async fn run_plain(
    client: &awc::Client,
    item: &batch_item::BatchItem,
    stream: &ledger_table::StartedStream,
) -> ItemEnd {
    let call = new_call(item, stream, item.body.clone());
    match endpoint_client::call_whole(client, &call).await {
        AttemptOutcome::Completed(answer) => ItemEnd::Settled(to_result(item, &call, &answer)),
        AttemptOutcome::NotRun(_) => ItemEnd::NotRun,
        AttemptOutcome::Failed(reason) | AttemptOutcome::Unknown(reason) => {
            ItemEnd::Failed(reason, String::new())
        }
    }
}

fn to_result(
    item: &batch_item::BatchItem,
    call: &endpoint_client::EndpointCall,
    answer: &endpoint_client::EndpointResponse,
) -> batch_item::ItemResult {
    if answer.status.is_client_error() {
        let message = format!("the endpoint answered {}", answer.status);
        let code = batch_item::ItemErrorCode::InvalidRequest;
        return batch_item::ItemResult::failed(&item.custom_id, code, message);
    }
    let body = serde_json::from_slice(&answer.body).unwrap_or_else(|_| {
        serde_json::Value::String(String::from_utf8_lossy(&answer.body).into_owned())
    });
    let response = batch_item::ItemResponse {
        status_code: answer.status.as_u16(),
        request_id: call.attempt.to_string(),
        body,
    };
    batch_item::ItemResult::answered(&item.custom_id, response)
}

async fn run_generation(
    context: &sync::Arc<context::DispatcherContext>,
    client: &awc::Client,
    item: &batch_item::BatchItem,
    pending: &chunk_work::PendingItem,
    mut stream: ledger_table::StartedStream,
) -> ItemEnd {
    let mut body = match pending.text.is_empty() {
        true => item.body.clone(),
        false => wire::with_given_text(&item.body, &pending.text),
    };
    body["stream"] = true.into();
    let call = new_call(item, &stream, body);
    let silence = time::Duration::from_millis(context.settings.batch.stream_silence_ms);
    let opening = endpoint_client::open_stream(client, &call);
    let opened = tokio::select! {
        opened = actix_rt::time::timeout(silence, opening) => opened,
        _ = &mut stream.cancelled => return ItemEnd::Preempted(pending.text.clone()),
    };
    let opened = opened
        .unwrap_or_else(|_| outcome::AttemptOutcome::Unknown("the endpoint was silent".into()));
    let events = match opened {
        AttemptOutcome::Completed(endpoint_client::OpenedStream::Events(events)) => events,
        AttemptOutcome::Completed(endpoint_client::OpenedStream::Whole(answer)) => {
            return ItemEnd::Settled(to_result(item, &call, &answer));
        }
        AttemptOutcome::NotRun(_) => return ItemEnd::NotRun,
        AttemptOutcome::Failed(reason) | AttemptOutcome::Unknown(reason) => {
            return ItemEnd::Failed(reason, pending.text.clone());
        }
    };
    let reader = ItemReader {
        context,
        silence,
        text: pending.text.clone(),
        stream,
    };
    match reader.read(events).await {
        Ok(text) => ItemEnd::Settled(generation_result(item, &call, &text)),
        Err(end) => {
            if matches!(end, ItemEnd::Preempted(_)) {
                endpoint_client::cancel_stream(client, call.address, &call.attempt).await;
            }
            end
        }
    }
}

fn generation_result(
    item: &batch_item::BatchItem,
    call: &endpoint_client::EndpointCall,
    text: &str,
) -> batch_item::ItemResult {
    let model = item.service().map(|s| s.to_string()).unwrap_or_default();
    let chat = wire::is_chat(&item.url);
    let prompt_tokens = item.body.to_string().len().div_ceil(BYTES_PER_TOKEN);
    let body = wire::full_response(chat, call.attempt.as_str(), &model, text, prompt_tokens);
    let response = batch_item::ItemResponse {
        status_code: 200,
        request_id: call.attempt.to_string(),
        body,
    };
    batch_item::ItemResult::answered(&item.custom_id, response)
}

/// Bytes of a prompt per token, by which usage figures are estimated.
const BYTES_PER_TOKEN: usize = 4;

/// Reader of the events of one stream.
struct ItemReader<'a> {
    context: &'a context::DispatcherContext,
    silence: time::Duration,
    text: String,
    stream: ledger_table::StartedStream,
}

impl ItemReader<'_> {
    /// Reads the stream to its end and returns the complete text.
    ///
    /// # Errors
    /// The stream was preempted or failed before its last event.
    async fn read(mut self, mut events: endpoint_client::EventStream) -> Result<String, ItemEnd> {
        let mut cursor: Option<relay::RelayCursor> = None;
        let mut latest: Option<time::Instant> = None;
        loop {
            let next = tokio::select! {
                next = actix_rt::time::timeout(self.silence, events.next()) => next,
                _ = &mut self.stream.cancelled => return Err(ItemEnd::Preempted(self.text)),
            };
            let event = match next {
                Ok(Some(Ok(event))) => event,
                Ok(Some(Err(reason))) => return Err(ItemEnd::Failed(reason, self.text)),
                Ok(None) => {
                    let reason = "the stream ended early".to_owned();
                    return Err(ItemEnd::Failed(reason, self.text));
                }
                Err(_) => {
                    let reason = "the endpoint was silent".to_owned();
                    return Err(ItemEnd::Failed(reason, self.text));
                }
            };
            let cursor = cursor.get_or_insert_with(|| relay::RelayCursor::starting_at(event.index));
            match cursor.accept(event.index, event.last) {
                relay::RelayStep::Drop => continue,
                relay::RelayStep::Gap => {
                    return Err(ItemEnd::Failed("events are missing".into(), self.text));
                }
                relay::RelayStep::Forward => {}
            }
            let now = time::Instant::now();
            let gap = latest.map(|at| now - at);
            latest = Some(now);
            let endpoint = &self.stream.endpoint.id;
            self.context
                .ledgers
                .record_token(endpoint, self.stream.number, gap);
            self.text.push_str(&event.text);
            if event.last {
                return Ok(self.text);
            }
        }
    }
}
