//! Batch jobs under failures: every accepted item has exactly one result.

mod support;

use std::{thread, time};

use actix_http::Method;
use rstest::rstest;

/// Number of tokens of each generated letter.
const TOKENS: u32 = 16;

fn submit_job(fleet: &support::ProcessFleet, count: usize, key: &str) -> (String, String) {
    let caller = fleet.caller(0);
    let file = caller.upload(&support::letters(count, TOKENS));
    let job = caller
        .submit(&file, "/v1/chat/completions", key)
        .expect("the job is accepted");
    assert_eq!(job.status, 200, "{}", job.json());
    (
        job.json()["id"]
            .as_str()
            .expect("the job has an id")
            .to_owned(),
        file,
    )
}

fn wait_for_results(fleet: &support::ProcessFleet, id: &str, min_completed: u64) {
    support::wait_for("some items have results", || {
        let job = fleet.caller(0).get(&format!("/v1/batches/{id}")).ok()?;
        (job["request_counts"]["completed"].as_u64()? >= min_completed).then_some(())
    });
}

fn check_complete(fleet: &support::ProcessFleet, id: &str, count: usize) {
    let caller = fleet.caller(0);
    let job = caller.wait_job(id);
    assert_eq!(job["status"], "completed");
    assert_eq!(job["request_counts"]["failed"], 0);
    let results = caller.results(&job["output_file_id"]);
    support::check_letters(&results, count, TOKENS);
}

#[rstest]
#[case::killed(libc::SIGKILL)]
#[case::paused_past_its_lease(libc::SIGSTOP)]
fn a_lost_dispatcher_loses_and_doubles_nothing(#[case] signal: libc::c_int) {
    let fleet = support::ProcessFleet::start(&support::FleetSize::default());
    let (id, _) = submit_job(&fleet, 2000, "lost");
    wait_for_results(&fleet, &id, 1);
    fleet.dispatchers[0].signal(signal);
    // Longer than the lease timeout of one second.
    thread::sleep(time::Duration::from_millis(2500));
    fleet.dispatchers[0].signal(libc::SIGCONT);
    check_complete(&fleet, &id, 2000);
}

#[rstest]
#[case::answers_lost(serde_json::json!({"lost_answers": 40}))]
#[case::slow(serde_json::json!({"slow_ms": 150}))]
#[case::rate_limited(serde_json::json!({"writes_per_second": 20, "reads_per_second": 130}))]
fn a_bad_object_service_loses_and_doubles_nothing(#[case] faults: serde_json::Value) {
    let fleet = support::ProcessFleet::start(&support::FleetSize::default());
    fleet.object_faults(faults.clone());
    let caller = fleet.caller(0);
    let file = support::wait_for("the file is stored", || {
        let items = support::letters(600, TOKENS);
        std::panic::catch_unwind(|| caller.upload(&items)).ok()
    });
    let id = support::wait_for("the job is accepted", || {
        let job = caller.submit(&file, "/v1/chat/completions", "bad").ok()?;
        job.json()["id"].as_str().map(str::to_owned)
    });
    check_complete(&fleet, &id, 600);
    let objects = support::TestClient::new(fleet.objects.address("listen"), "");
    let stats = objects
        .get("/stats")
        .expect("the object service returns its statistics");
    // Without rejected calls, the rate-limited case would not test the limits.
    let limited = stats["limited"].as_u64().unwrap_or(0);
    assert_eq!(limited > 0, faults["writes_per_second"].is_u64());
}

#[test]
fn an_outage_delays_a_job_and_leaves_online_alone() {
    let fleet = support::ProcessFleet::start(&support::FleetSize::default());
    let (id, file) = submit_job(&fleet, 1200, "outage");
    fleet.object_faults(serde_json::json!({"out": true}));
    let until = time::Instant::now() + time::Duration::from_secs(4);
    let mut served = 0;
    while time::Instant::now() < until {
        let content = format!("note {served}");
        let (text, whole) = fleet
            .caller(served % 2)
            .stream(&content, 8)
            .expect("the response is streamed");
        assert_eq!(
            (text, whole),
            (jayhollow::smoke::expected_response(&content, 8), true)
        );
        served += 1;
    }
    // A job that cannot be stored must be rejected.
    let refused = fleet
        .caller(0)
        .submit(&file, "/v1/chat/completions", "other");
    let refused = refused.expect("the gateway responds");
    assert_eq!(
        (refused.status, refused.json()["error"]["ran"].as_str()),
        (503, Some("no"))
    );
    assert!(refused.retry_after.is_some());
    fleet.object_faults(serde_json::json!({}));
    check_complete(&fleet, &id, 1200);
}

#[test]
fn a_resent_submission_is_the_same_job() {
    let fleet = support::ProcessFleet::start(&support::FleetSize::default());
    let (id, file) = submit_job(&fleet, 50, "key");
    let again = fleet.caller(1).submit(&file, "/v1/chat/completions", "key");
    assert_eq!(again.expect("the gateway responds").json()["id"], id);
    // An upload with the same items has the same content, so it is no conflict.
    let copy = fleet.caller(1).upload(&support::letters(50, TOKENS));
    let again = fleet.caller(0).submit(&copy, "/v1/chat/completions", "key");
    assert_eq!(again.expect("the gateway responds").json()["id"], id);
    let other = fleet.caller(0).upload(&support::letters(51, TOKENS));
    let conflict = fleet
        .caller(0)
        .submit(&other, "/v1/chat/completions", "key");
    let conflict = conflict.expect("the gateway responds");
    assert_eq!(conflict.status, 409);
    assert_eq!(conflict.json()["error"]["code"], "idempotency_conflict");
    check_complete(&fleet, &id, 50);
    let ended = fleet.caller(1).submit(&file, "/v1/chat/completions", "key");
    assert_eq!(
        ended.expect("the gateway responds").json()["status"],
        "completed"
    );
}

#[test]
fn a_cancelled_job_stops() {
    let fleet = support::ProcessFleet::start(&support::FleetSize::default());
    let starts = || -> u64 {
        let engine_starts = |engine: &support::FleetProcess| {
            let client = support::TestClient::new(engine.address("listen"), "");
            client
                .get("/effects")
                .expect("the engine returns its counts")["starts"]
                .as_u64()
                .unwrap_or(0)
        };
        fleet.engines.iter().map(engine_starts).sum()
    };
    let idle = starts();
    let caller = fleet.caller(0);
    // Each item takes seconds, so none is done when the cancellation takes effect.
    let file = caller.upload(&support::letters(400, 3000));
    let job = caller.submit(&file, "/v1/chat/completions", "cancel");
    let id = job.expect("the job is accepted").json()["id"]
        .as_str()
        .map(str::to_owned);
    let id = id.expect("the job has an id");
    support::wait_for("an item has started", || (starts() > idle).then_some(()));
    let path = format!("/v1/batches/{id}/cancel");
    let cancelling = fleet.caller(1).post(&path, Vec::new());
    assert_eq!(
        cancelling.expect("the cancellation is accepted")["status"],
        "cancelling"
    );
    let job = caller.wait_job(&id);
    assert_eq!(job["status"], "cancelled");
    assert_eq!(
        job["request_counts"]["completed"], 0,
        "running items were not stopped"
    );
    let before = starts();
    thread::sleep(time::Duration::from_millis(1000));
    assert_eq!(starts(), before, "an item started after the job ended");
}

#[test]
fn results_of_a_cancelled_job_stay_readable() {
    let fleet = support::ProcessFleet::start(&support::FleetSize::default());
    let (id, _) = submit_job(&fleet, 4000, "cancel");
    wait_for_results(&fleet, &id, 1);
    let path = format!("/v1/batches/{id}/cancel");
    fleet
        .caller(1)
        .post(&path, Vec::new())
        .expect("the cancellation is accepted");
    let job = fleet.caller(0).wait_job(&id);
    assert_eq!(job["status"], "cancelled");
    let results = fleet.caller(0).results(&job["output_file_id"]);
    let completed = job["request_counts"]["completed"].as_u64();
    assert_eq!(completed, Some(results.len() as u64));
    assert!(!results.is_empty() && results.len() < 4000);
}

#[test]
fn items_that_can_never_be_done_take_nothing_with_them() {
    let fleet = support::ProcessFleet::start(&support::FleetSize::default());
    for engine in 0..4 {
        fleet.engine_faults(engine, serde_json::json!({"poison": "letter 13\n"}));
    }
    let (id, _) = submit_job(&fleet, 100, "poison");
    let job = fleet.caller(0).wait_job(&id);
    assert_eq!(job["request_counts"]["completed"], 99);
    let errors = fleet.caller(0).results(&job["error_file_id"]);
    assert_eq!(errors["letter-13"]["error"]["code"], "endpoint_failed");
}

#[test]
fn items_that_may_not_be_repeated_run_at_most_once() {
    let fleet = support::ProcessFleet::start(&support::FleetSize::default());
    support::set_faults(&fleet.plain, serde_json::json!({"delay_ms": 30}));
    let items: String = (0..200)
        .map(|n| {
            let body = serde_json::json!({"address": n});
            let item = serde_json::json!({
                "custom_id": format!("a-{n}"), "url": "/services/print/check", "body": body,
            });
            format!("{item}\n")
        })
        .collect();
    let caller = fleet.caller(0);
    let file = caller.upload(&items);
    let job = caller
        .submit(&file, "/services/print", "once")
        .expect("the job is accepted")
        .json();
    let id = job["id"].as_str().expect("the job has an id").to_owned();
    // Dispatcher 0 owns the plain endpoint, because it is in the same failure domain.
    support::wait_for("more than 40 items have run", || {
        (fleet.plain_effects().len() > 40).then_some(())
    });
    fleet.dispatchers[0].signal(libc::SIGKILL);
    let job = caller.wait_job(&id);
    assert_eq!(job["status"], "completed");
    let effects = fleet.plain_effects();
    assert!(
        effects.values().all(|n| *n == 1),
        "an item took effect twice: {effects:?}"
    );
    let responses = caller.results(&job["output_file_id"]);
    let errors = caller.results(&job["error_file_id"]);
    assert_eq!(responses.len() + errors.len(), 200);
    assert!(errors
        .values()
        .all(|e| e["error"]["code"] == "outcome_unknown"));
    // An item with a response must have taken effect.
    assert!(effects.len() >= responses.len());
}

#[test]
fn results_outlast_every_instance() {
    let mut fleet = support::ProcessFleet::start(&support::FleetSize::default());
    let (id, _) = submit_job(&fleet, 300, "outlast");
    for number in 0..2 {
        fleet.dispatchers[number].restart();
        fleet.gateways[number].restart();
    }
    fleet.wait_ready();
    check_complete(&fleet, &id, 300);
    let listed = fleet
        .caller(1)
        .send(Method::GET, "/v1/batches?limit=1", &[], Vec::new());
    assert_eq!(
        listed.expect("the list of jobs is returned").json()["data"][0]["id"],
        id
    );
}

#[test]
fn an_item_for_an_unknown_model_gets_its_error_line_and_the_others_run() {
    let fleet = support::ProcessFleet::start(&support::FleetSize::default());
    let caller = fleet.caller(0);
    let mut items = support::letters(20, TOKENS);
    let unknown = serde_json::json!({
        "custom_id": "nobody", "method": "POST", "url": "/v1/chat/completions",
        "body": {"model": "no-such-model", "messages": [{"role": "user", "content": "x"}]},
    });
    items.push_str(&format!("{unknown}\n"));
    let file = caller.upload(&items);
    let job = caller
        .submit(&file, "/v1/chat/completions", "unknown-model")
        .expect("the gateway responds");
    assert_eq!(job.status, 200, "{}", job.json());
    let job = caller.wait_job(job.json()["id"].as_str().expect("the job has an id"));
    assert_eq!(job["status"], "completed");
    let errors = caller.results(&job["error_file_id"]);
    assert_eq!(errors.len(), 1);
    assert_eq!(errors["nobody"]["error"]["code"], "not_found");
    let results = caller.results(&job["output_file_id"]);
    support::check_letters(&results, 20, TOKENS);
    // A file without any item that can run is rejected.
    let file = caller.upload(&format!("{unknown}\n"));
    let refused = caller
        .submit(&file, "/v1/chat/completions", "nothing-runs")
        .expect("the gateway responds");
    assert_eq!(refused.status, 404);
}
