//! Prometheus metrics, with a limit on the number of workspace labels.

use std::{collections, sync, time};

use prometheus::core::Collector;

use crate::invariant;

/// Maximum number of workspaces with their own label; all others share `other`.
pub const MAX_WORKSPACE_LABELS: usize = 200;
/// Label of the workspaces beyond the limit.
const OTHER_LABEL: &str = "other";

/// Upper bounds of the histogram buckets, in seconds.
const SECONDS: &[f64] = &[
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 120.0,
];

/// Set of all metrics of a process.
pub struct MetricSet {
    registry: prometheus::Registry,
    labels: sync::Mutex<collections::HashSet<String>>,
    /// Time to the first token in seconds, by workspace and class.
    pub first_token: prometheus::HistogramVec,
    /// Time between tokens in seconds, by workspace and class.
    pub between_tokens: prometheus::HistogramVec,
    /// Time to the complete response in seconds, by workspace and class.
    pub full_response: prometheus::HistogramVec,
    /// Time from arrival to the first attempt in seconds, by workspace and class.
    pub queue_time: prometheus::HistogramVec,
    /// Responses, by error code or `ok`.
    pub responses: prometheus::IntCounterVec,
    /// Attempts, by outcome.
    pub attempts: prometheus::IntCounterVec,
    /// Attempts that did not run, by reason.
    pub refusals: prometheus::IntCounterVec,
    /// Request runs during which the endpoint ended, by evidence.
    pub ended_runs: prometheus::IntCounterVec,
    /// Requests during which endpoints crashed, by state: suspected or convicted.
    pub quarantined_requests: prometheus::IntGaugeVec,
    /// Parts of prompts under which endpoints crashed, by state: suspected or convicted.
    pub quarantined_parts: prometheus::IntGaugeVec,
    /// Store objects that could not be read.
    pub unreadable_objects: prometheus::IntGauge,
    /// Failure domains that are evacuated.
    pub evacuated_domains: prometheus::IntGauge,
    /// Permit requests, by outcome.
    pub permits: prometheus::IntCounterVec,
    /// Calls to the object service, by class.
    pub store_calls: prometheus::IntCounterVec,
    /// Failed calls to the object service, by kind of error.
    pub store_errors: prometheus::IntCounterVec,
    /// Batch items, by outcome.
    pub batch_items: prometheus::IntCounterVec,
    /// Delays of the event loop, in milliseconds.
    pub loop_delay_ms: prometheus::IntCounter,
    /// Batch streams cancelled in favour of online requests.
    pub preempted: prometheus::IntCounter,
    /// Messages dropped because their sender did not know the link secret.
    pub strangers: prometheus::IntCounter,
    /// Connections that ended without a complete request head.
    pub unserved: prometheus::IntCounter,
    /// Resumes of streams by callers, by the source of the software version or the reason of
    /// the refusal.
    pub stream_resumes: prometheus::IntCounterVec,
    /// Questions to endpoints for their start, by outcome.
    pub start_checks: prometheus::IntCounterVec,
    /// Origins of streams sent to their holders, by outcome.
    pub stream_origins: prometheus::IntCounterVec,
    /// Responses discarded because they belonged to another attempt.
    pub crossed: prometheus::IntCounter,
    /// Invariant violations, by name.
    pub broken_invariants: prometheus::IntCounterVec,
    /// State snapshots requested from peers, by outcome.
    pub view_reads: prometheus::IntCounterVec,
    /// Encoded size of desired states received from peers, in bytes.
    pub state_bytes: prometheus::IntCounter,
    /// Generation of the active bundle.
    pub bundle_generation: prometheus::IntGauge,
    /// Version of the active desired state.
    pub state_version: prometheus::IntGauge,
    /// Connections of callers that were closed unread, by reason.
    pub refused_connections: prometheus::IntCounterVec,
    /// Connections of callers that were closed before their response or while idle, by reason.
    pub closed_connections: prometheus::IntCounterVec,
    /// Requests rejected because of their key or workspace limit, by reason.
    pub rejected: prometheus::IntCounterVec,
    /// Requests that were held at the start of this process, by outcome.
    pub start_holds: prometheus::IntCounterVec,
    /// Refused requests of callers, by reason.
    pub refused_requests: prometheus::IntCounterVec,
    /// Requests whose workspace had no token at first, by outcome of the wait for one.
    pub token_waits: prometheus::IntCounterVec,
    /// Requests that wait for a token.
    pub token_waiting: prometheus::IntGauge,
    /// Deposits to the token pools of this process, by outcome.
    pub limit_deposits: prometheus::IntCounterVec,
    /// Start credits of gateways received by this process: accepted, held, or the reason for denial.
    pub start_credits: prometheus::IntCounterVec,
    /// Requests for a place in the wait queues of owned endpoints, by outcome.
    pub slot_queue: prometheus::IntCounterVec,
    /// Requests staged at owned endpoints, by outcome.
    pub staged_requests: prometheus::IntCounterVec,
    /// Requests in the wait queues.
    pub slot_queue_length: prometheus::IntGauge,
    /// Bytes held for callers, and their limit.
    pub caller_budget_bytes: prometheus::IntGaugeVec,
    /// Starts of batch items, by the reason of their place in the start order.
    pub item_starts: prometheus::IntCounterVec,
    /// Held slots at owned endpoints, by class.
    pub held_slots: prometheus::IntGaugeVec,
    /// Owned endpoints that are suspect after a failure.
    pub suspect_endpoints: prometheus::IntGauge,
    /// Owned endpoints that have become suspect, by evidence.
    pub doubts: prometheus::IntCounterVec,
    /// Slots granted at suspect endpoints, by kind of request.
    pub probes: prometheus::IntCounterVec,
    /// Learned mean times for which requests hold a slot at owned endpoints, by service.
    pub hold_seconds: prometheus::GaugeVec,
    /// Speeds of the slowest and the fastest owned endpoint relative to their mean, by
    /// service and bound: min or max.
    pub endpoint_speed: prometheus::GaugeVec,
}

fn register<C: Collector + Clone + 'static>(registry: &prometheus::Registry, metric: C) -> C {
    // Names are constants in this file, so a duplicate is a programming error.
    registry
        .register(Box::new(metric.clone()))
        .expect("metric names differ");
    metric
}

fn histogram(registry: &prometheus::Registry, name: &str, help: &str) -> prometheus::HistogramVec {
    let options = prometheus::HistogramOpts::new(name, help).buckets(SECONDS.to_vec());
    let metric = prometheus::HistogramVec::new(options, &["workspace", "class"]);
    register(registry, metric.expect("the options are valid"))
}

fn counters(
    registry: &prometheus::Registry,
    name: &str,
    help: &str,
    label: &str,
) -> prometheus::IntCounterVec {
    let metric = prometheus::IntCounterVec::new(prometheus::Opts::new(name, help), &[label]);
    register(registry, metric.expect("the options are valid"))
}

fn counter(registry: &prometheus::Registry, name: &str, help: &str) -> prometheus::IntCounter {
    let metric = prometheus::IntCounter::new(name, help);
    register(registry, metric.expect("the options are valid"))
}

fn gauge(registry: &prometheus::Registry, name: &str, help: &str) -> prometheus::IntGauge {
    let metric = prometheus::IntGauge::new(name, help);
    register(registry, metric.expect("the name is valid"))
}

fn gauges(
    registry: &prometheus::Registry,
    name: &str,
    help: &str,
    label: &str,
) -> prometheus::IntGaugeVec {
    let metric = prometheus::IntGaugeVec::new(prometheus::Opts::new(name, help), &[label]);
    register(registry, metric.expect("the options are valid"))
}

fn ratios(
    registry: &prometheus::Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> prometheus::GaugeVec {
    let metric = prometheus::GaugeVec::new(prometheus::Opts::new(name, help), labels);
    register(registry, metric.expect("the options are valid"))
}

impl Default for MetricSet {
    fn default() -> Self {
        let registry = prometheus::Registry::new();
        let r = &registry;
        Self {
            labels: sync::Mutex::default(),
            first_token: histogram(r, "jayhollow_first_token_seconds", "Time to first token"),
            between_tokens: histogram(r, "jayhollow_between_tokens_seconds", "Between tokens"),
            full_response: histogram(r, "jayhollow_whole_answer_seconds", "Whole answer"),
            queue_time: histogram(r, "jayhollow_queue_seconds", "Arrival to first attempt"),
            responses: counters(r, "jayhollow_answers_total", "Answers", "code"),
            attempts: counters(r, "jayhollow_attempts_total", "Attempts", "outcome"),
            refusals: counters(
                r,
                "jayhollow_refused_attempts_total",
                "Attempts that did not run",
                "reason",
            ),
            ended_runs: counters(
                r,
                "jayhollow_ended_runs_total",
                "Runs of requests under which their endpoint ended",
                "evidence",
            ),
            quarantined_requests: gauges(
                r,
                "jayhollow_quarantined_requests",
                "Requests under which endpoints crashed, suspected or convicted",
                "state",
            ),
            quarantined_parts: gauges(
                r,
                "jayhollow_quarantined_parts",
                "Prompt parts under which endpoints crashed, suspected or convicted",
                "state",
            ),
            unreadable_objects: gauge(
                r,
                "jayhollow_unreadable_objects",
                "Objects of the store that could not be read so far",
            ),
            evacuated_domains: gauge(
                r,
                "jayhollow_evacuated_domains",
                "Failure domains that are evacuated",
            ),
            permits: counters(r, "jayhollow_permits_total", "Permit requests", "outcome"),
            store_calls: counters(r, "jayhollow_store_calls_total", "Store calls", "class"),
            store_errors: counters(r, "jayhollow_store_errors_total", "Store errors", "kind"),
            batch_items: counters(r, "jayhollow_batch_items_total", "Batch items", "outcome"),
            loop_delay_ms: counter(
                r,
                "jayhollow_loop_delay_ms_total",
                "Delays of the event loop of 250 ms and more, in milliseconds",
            ),
            preempted: counter(r, "jayhollow_preempted_total", "Batch streams cancelled"),
            strangers: counter(r, "jayhollow_strangers_total", "Unknown peers dropped"),
            unserved: counter(
                r,
                "jayhollow_unserved_connections_total",
                "Connections that ended without a request",
            ),
            stream_resumes: counters(
                r,
                "jayhollow_stream_resumes_total",
                "Resumes of streams by callers, by source of the software version or reason of the refusal",
                "outcome",
            ),
            start_checks: counters(
                r,
                "jayhollow_start_checks_total",
                "Questions to endpoints for their start before a begun text goes on there, by outcome",
                "outcome",
            ),
            stream_origins: counters(
                r,
                "jayhollow_stream_origins_total",
                "Origins of streams sent to their holders, by outcome",
                "outcome",
            ),
            crossed: counter(
                r,
                "jayhollow_crossed_answers_total",
                "Crossed answers dropped",
            ),
            broken_invariants: counters(
                r,
                "jayhollow_broken_invariants_total",
                "Broken invariants",
                "name",
            ),
            refused_connections: counters(
                r,
                "jayhollow_refused_connections_total",
                "Connections of callers that were closed unread, by reason",
                "reason",
            ),
            closed_connections: counters(
                r,
                "jayhollow_closed_connections_total",
                "Connections of callers that were closed to bound what they hold, by reason",
                "reason",
            ),
            rejected: counters(
                r,
                "jayhollow_rejected_requests_total",
                "Requests rejected for their key or the limit of their workspace, by reason",
                "reason",
            ),
            start_holds: counters(
                r,
                "jayhollow_start_holds_total",
                "Requests that waited for the process to become ready, by outcome",
                "outcome",
            ),
            refused_requests: counters(
                r,
                "jayhollow_refusals_total",
                "Requests of callers that were refused, by reason",
                "reason",
            ),
            token_waits: counters(
                r,
                "jayhollow_token_waits_total",
                "Requests whose workspace had no token at first, by outcome",
                "outcome",
            ),
            token_waiting: gauge(
                r,
                "jayhollow_token_waiting",
                "Requests that wait for a token of their workspace",
            ),
            limit_deposits: counters(
                r,
                "jayhollow_limit_deposits_total",
                "Deposits with the pools of this process, by outcome",
                "outcome",
            ),
            start_credits: counters(
                r,
                "jayhollow_start_credits_total",
                "Start credits of gateways received by this process, by outcome",
                "outcome",
            ),
            view_reads: counters(
                r,
                "jayhollow_view_reads_total",
                "Views asked of peers",
                "outcome",
            ),
            state_bytes: counter(
                r,
                "jayhollow_state_bytes_total",
                "Bytes of desired states from peers",
            ),
            bundle_generation: gauge(r, "jayhollow_bundle_generation", "Bundle in use"),
            state_version: gauge(r, "jayhollow_state_version", "Desired state in force"),
            slot_queue: counters(
                r,
                "jayhollow_slot_queue_total",
                "Requests in the wait queues of owned endpoints, by outcome",
                "outcome",
            ),
            staged_requests: counters(
                r,
                "jayhollow_staged_requests_total",
                "Requests staged at owned endpoints, by outcome",
                "outcome",
            ),
            slot_queue_length: gauge(
                r,
                "jayhollow_slot_queue_length",
                "Requests in the wait queues of owned endpoints",
            ),
            caller_budget_bytes: gauges(
                r,
                "jayhollow_caller_budget_bytes",
                "Bytes held for callers, and the limits above which requests are refused and connections closed",
                "kind",
            ),
            item_starts: counters(
                r,
                "jayhollow_item_starts_total",
                "Starts of batch items, by the reason of their place in the start order",
                "turn",
            ),
            held_slots: gauges(
                r,
                "jayhollow_held_places",
                "Places at owned endpoints that somebody has",
                "class",
            ),
            suspect_endpoints: gauge(
                r,
                "jayhollow_suspect_endpoints",
                "Owned endpoints that are suspect after a failure",
            ),
            doubts: counters(
                r,
                "jayhollow_endpoint_doubts_total",
                "Owned endpoints that became suspect",
                "evidence",
            ),
            probes: counters(
                r,
                "jayhollow_endpoint_probes_total",
                "Slots granted at suspect endpoints",
                "kind",
            ),
            hold_seconds: ratios(
                r,
                "jayhollow_slot_hold_seconds",
                "Mean times for which requests hold a slot at owned endpoints",
                &["service"],
            ),
            endpoint_speed: ratios(
                r,
                "jayhollow_endpoint_speed_ratio",
                "Speeds of owned endpoints relative to the mean of their service",
                &["service", "bound"],
            ),
            registry,
        }
    }
}

impl MetricSet {
    /// Returns the label of a workspace: its name, or `other` beyond the limit.
    pub fn workspace_label<'a>(&self, workspace: &'a str) -> &'a str {
        let mut labels = self.labels.lock().unwrap_or_else(|e| e.into_inner());
        if labels.contains(workspace) {
            return workspace;
        }
        if labels.len() >= MAX_WORKSPACE_LABELS {
            return OTHER_LABEL;
        }
        labels.insert(workspace.to_owned());
        workspace
    }

    /// Records a duration in a histogram, by workspace and class.
    pub fn observe(
        &self,
        histogram: &prometheus::HistogramVec,
        workspace: &str,
        class: &str,
        duration: time::Duration,
    ) {
        let labels = [self.workspace_label(workspace), class];
        histogram
            .with_label_values(&labels)
            .observe(duration.as_secs_f64());
    }

    /// Encodes all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        for (name, count) in invariant::broken() {
            let counter = self.broken_invariants.with_label_values(&[name]);
            counter.inc_by(count.saturating_sub(counter.get()));
        }
        let families = self.registry.gather();
        prometheus::TextEncoder::new()
            .encode_to_string(&families)
            .unwrap_or_default()
    }
}
