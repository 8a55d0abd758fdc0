//! Online requests under failures: complete responses, correct refusals, and a single run of
//! requests that may not be repeated.

mod support;

use std::{
    sync::{atomic, Arc},
    thread, time,
};

use actix_http::Method;
use jayhollow::smoke;
use rstest::rstest;

fn small_fleet(engines: usize) -> support::FleetSize {
    support::FleetSize {
        engines,
        step_us: 8_000,
        ..support::FleetSize::default()
    }
}

/// Runs concurrent streams through all gateways and checks that each response is exact.
fn check_streams(fleet: &support::ProcessFleet, count: usize, tokens: u32) {
    thread::scope(|scope| {
        for number in 0..count {
            let caller = fleet.caller(number % fleet.gateways.len());
            scope.spawn(move || {
                let content = format!("stream {number}");
                let (text, whole) = caller.stream(&content, tokens).expect("it is streamed");
                assert_eq!(text, smoke::expected_response(&content, tokens));
                assert!(whole, "the response is marked as complete");
            });
        }
    });
}

#[test]
fn cut_streams_are_resumed_with_each_letter_once() {
    let fleet = support::ProcessFleet::start(&small_fleet(2));
    for engine in 0..2 {
        fleet.engine_faults(engine, serde_json::json!({"cut_after_tokens": 7}));
    }
    check_streams(&fleet, 16, 30);
}

#[rstest]
#[case::killed(libc::SIGKILL)]
#[case::frozen(libc::SIGSTOP)]
fn streams_of_a_lost_engine_go_on_elsewhere(#[case] signal: libc::c_int) {
    let fleet = support::ProcessFleet::start(&small_fleet(3));
    let begun = Arc::new(atomic::AtomicBool::new(false));
    thread::scope(|scope| {
        let seen = begun.clone();
        let engine = &fleet.engines[0];
        scope.spawn(move || {
            while !seen.load(atomic::Ordering::Relaxed) {
                thread::sleep(time::Duration::from_millis(5));
            }
            // Streams of 60 tokens at 8 ms each take 480 ms, so they are in flight after 200 ms.
            thread::sleep(time::Duration::from_millis(200));
            engine.signal(signal);
        });
        begun.store(true, atomic::Ordering::Relaxed);
        check_streams(&fleet, 24, 60);
    });
}

#[test]
fn a_cut_that_cannot_be_mended_is_never_passed_as_whole() {
    let fleet = support::ProcessFleet::start(&small_fleet(1));
    fleet.engine_faults(
        0,
        serde_json::json!({"poison": "doomed", "poison_after_tokens": 3}),
    );
    let (text, whole) = fleet.caller(0).stream("doomed", 200).expect("it begins");
    assert!(!whole);
    assert!(!text.is_empty());
    assert!(smoke::expected_response("doomed", 200).starts_with(&text));
}

#[test]
fn crossed_answers_are_discarded() {
    let fleet = support::ProcessFleet::start(&small_fleet(2));
    fleet.engine_faults(0, serde_json::json!({"cross": true}));
    check_streams(&fleet, 12, 5);
    for number in 0..12 {
        let content = format!("whole {number}");
        let response = fleet
            .caller(0)
            .post("/v1/chat/completions", support::chat(&content, 5, false));
        let response = response.expect("it is answered");
        let text = response["choices"][0]["message"]["content"].as_str();
        assert_eq!(text, Some(smoke::expected_response(&content, 5).as_str()));
    }
}

#[test]
fn a_refused_call_says_so_and_when_to_come_back() {
    let fleet = support::ProcessFleet::start(&small_fleet(1));
    support::set_faults(&fleet.plain, serde_json::json!({"refuse": true}));
    let started = time::Instant::now();
    let response = fleet
        .caller(0)
        .send(Method::POST, "/services/print/x", &[], b"label".to_vec());
    let response = response.expect("it is answered");
    assert_eq!(
        (response.status, response.json()["error"]["ran"].as_str()),
        (503, Some("no"))
    );
    assert!(response.retry_after.is_some());
    // The response must not wait for the default deadline of two minutes.
    assert!(started.elapsed() < support::TIMEOUT);
    assert!(fleet.plain_effects().is_empty());
}

#[test]
fn a_call_that_may_not_be_repeated_runs_once_over_resends() {
    let fleet = support::ProcessFleet::start(&small_fleet(1));
    support::set_faults(&fleet.plain, serde_json::json!({"delay_ms": 300}));
    let headers = [("idempotency-key", "label-1")];
    let call = |gateway: usize, body: &str| {
        let caller = fleet.caller(gateway);
        let body = body.as_bytes().to_vec();
        caller
            .send(Method::POST, "/services/print/x", &headers, body)
            .expect("it is answered")
    };
    let responses: Vec<support::TestAnswer> = thread::scope(|scope| {
        let racing: Vec<_> = (0..6)
            .map(|n| scope.spawn(move || call(n % 2, "label")))
            .collect();
        racing
            .into_iter()
            .map(|t| t.join().expect("it is answered"))
            .collect()
    });
    let ok = responses.iter().filter(|a| a.status == 200).count();
    assert_eq!(ok, 1, "one runs, the others get in_progress");
    assert!(responses
        .iter()
        .all(|a| a.status == 200 || a.json()["error"]["code"] == "in_progress"));
    let replayed = call(1, "label");
    assert_eq!(
        (replayed.status, replayed.json()["echo"].as_str()),
        (200, Some("label"))
    );
    assert_eq!(call(0, "other label").status, 409);
    let effects = fleet.plain_effects();
    assert_eq!(effects.values().copied().collect::<Vec<u32>>(), [1]);
}

#[test]
fn a_call_that_cannot_be_recorded_is_not_sent() {
    let fleet = support::ProcessFleet::start(&small_fleet(1));
    fleet.object_faults(serde_json::json!({"out": true}));
    let headers = [("idempotency-key", "k"), ("x-deadline-ms", "1500")];
    let response = fleet.caller(0).send(
        Method::POST,
        "/services/print/x",
        &headers,
        b"label".to_vec(),
    );
    let response = response.expect("it is answered");
    assert_eq!(
        (response.status, response.json()["error"]["ran"].as_str()),
        (503, Some("no"))
    );
    assert!(fleet.plain_effects().is_empty());
}

#[test]
fn recorded_calls_run_over_lost_answers_of_the_object_service() {
    let fleet = support::ProcessFleet::start(&small_fleet(1));
    fleet.object_faults(serde_json::json!({"lost_answers": 50}));
    for number in 0..12 {
        let key = format!("label-{number}");
        let headers = [("idempotency-key", key.as_str())];
        let body = key.as_bytes().to_vec();
        let response =
            fleet
                .caller(number % 2)
                .send(Method::POST, "/services/print/x", &headers, body);
        assert_eq!(response.expect("it is answered").status, 200);
    }
    let effects = fleet.plain_effects();
    assert_eq!(effects.len(), 12);
    assert!(effects.values().all(|n| *n == 1));
}

#[test]
fn a_lost_gateway_leaves_the_outcome_unknown_and_the_call_once() {
    let mut fleet = support::ProcessFleet::start(&small_fleet(1));
    support::set_faults(&fleet.plain, serde_json::json!({"delay_ms": 500}));
    let headers = [("idempotency-key", "lost"), ("x-deadline-ms", "1000")];
    let first = fleet.caller(0);
    let sent = thread::spawn(move || {
        first.send(
            Method::POST,
            "/services/print/x",
            &headers,
            b"label".to_vec(),
        )
    });
    support::wait_for("the call took effect", || {
        (!fleet.plain_effects().is_empty()).then_some(())
    });
    fleet.gateways[0].kill();
    assert!(sent.join().expect("the thread ends").is_err());
    let response = support::wait_for("the outcome is given", || {
        let caller = fleet.caller(1);
        let sent = caller.send(
            Method::POST,
            "/services/print/x",
            &headers,
            b"label".to_vec(),
        );
        sent.ok()
            .filter(|a| a.json()["error"]["code"] != "in_progress")
    });
    assert_eq!(response.json()["error"]["code"], "outcome_unknown");
    assert_eq!(response.json()["error"]["ran"], "unknown");
    assert_eq!(
        fleet
            .plain_effects()
            .values()
            .copied()
            .collect::<Vec<u32>>(),
        [1]
    );
}

#[test]
fn planned_stops_cut_no_request() {
    let mut fleet = support::ProcessFleet::start(&small_fleet(2));
    let stopping = fleet.gateways[0].address("callers");
    let streams: Vec<_> = (0..8)
        .map(|number| {
            let caller = support::TestClient::new(stopping, support::KEY);
            thread::spawn(move || caller.stream(&format!("long {number}"), 200))
        })
        .collect();
    thread::sleep(time::Duration::from_millis(300));
    fleet.gateways[0].signal(libc::SIGTERM);
    fleet.dispatchers[0].signal(libc::SIGTERM);
    for (number, stream) in streams.into_iter().enumerate() {
        let (text, whole) = stream
            .join()
            .expect("the thread ends")
            .expect("it is streamed");
        assert_eq!(
            text,
            smoke::expected_response(&format!("long {number}"), 200)
        );
        assert!(whole);
    }
    assert!(fleet.gateways[0].wait_end(), "the gateway ends cleanly");
    assert!(
        fleet.dispatchers[0].wait_end(),
        "the dispatcher ends cleanly"
    );
    let (text, whole) = fleet.caller(1).stream("after", 5).expect("it is streamed");
    assert_eq!((text, whole), (smoke::expected_response("after", 5), true));
}

#[test]
fn an_operator_stops_an_instance() {
    let mut fleet = support::ProcessFleet::start(&small_fleet(1));
    let path = "/operator/v1/instances/gateway-0/stop";
    fleet
        .operator(1)
        .post(path, Vec::new())
        .expect("the stop is requested");
    assert!(fleet.gateways[0].wait_end());
    // The stop request was for the previous process and must not stop its successor.
    fleet.gateways[0].restart();
    fleet.wait_ready();
    thread::sleep(time::Duration::from_millis(2500));
    assert!(!fleet.gateways[0].has_ended());
}

#[test]
fn a_leaving_endpoint_gets_no_new_work() {
    let fleet = support::ProcessFleet::start(&small_fleet(2));
    let starts = || {
        let client = support::TestClient::new(fleet.engines[0].address("listen"), "");
        client.get("/effects").expect("the starts are reported")["starts"]
            .as_u64()
            .unwrap_or(0)
    };
    check_streams(&fleet, 12, 3);
    assert!(starts() > 0);
    let mut endpoints = fleet.endpoints.clone();
    endpoints[0]["state"] = "leaving".into();
    let objects = support::TestClient::new(fleet.objects.address("listen"), "");
    let list = support::body(&serde_json::json!(endpoints));
    let set = objects.send(Method::POST, "/endpoints", &[], list);
    assert_eq!(set.expect("the list is set").status, 200);
    // The fleet of the test reads the list of endpoints every 50 ms.
    thread::sleep(time::Duration::from_millis(500));
    let before = starts();
    check_streams(&fleet, 24, 3);
    assert_eq!(starts(), before);
}

#[test]
fn gateways_go_ahead_without_an_owner() {
    let mut fleet = support::ProcessFleet::start(&small_fleet(2));
    for dispatcher in &mut fleet.dispatchers {
        dispatcher.kill();
    }
    check_streams(&fleet, 8, 5);
}

#[test]
fn a_stranger_on_the_link_is_dropped_and_counted() {
    use std::io::{Read as _, Write as _};
    let fleet = support::ProcessFleet::start(&small_fleet(1));
    let link = fleet.dispatchers[0].address("link");
    let mut socket = std::net::TcpStream::connect(link).expect("it connects");
    socket
        .set_read_timeout(Some(support::TIMEOUT))
        .expect("the timeout is set");
    let mut nonce = [0; 16];
    socket.read_exact(&mut nonce).expect("a nonce comes");
    socket.write_all(&[7; 32]).expect("a wrong proof is sent");
    let mut rest = Vec::new();
    assert_eq!(
        socket.read_to_end(&mut rest).unwrap_or(0),
        0,
        "nothing comes back"
    );
    let page = support::TestClient::new(fleet.dispatchers[0].address("metrics"), "");
    support::wait_for("the stranger is counted", || {
        let metrics = page.send(Method::GET, "/metrics", &[], Vec::new()).ok()?;
        let text = String::from_utf8_lossy(&metrics.body).into_owned();
        text.contains("jayhollow_strangers_total 1").then_some(())
    });
}

#[test]
fn gateways_are_replaced_one_after_another_under_load() {
    let mut fleet = support::ProcessFleet::start(&small_fleet(3));
    let addresses: Vec<_> = fleet
        .gateways
        .iter()
        .map(|g| g.address("callers"))
        .collect();
    let current = Arc::new(std::sync::Mutex::new(addresses));
    let done = Arc::new(atomic::AtomicBool::new(false));
    let callers: Vec<_> = (0..6)
        .map(|caller| {
            let (current, done) = (current.clone(), done.clone());
            thread::spawn(move || {
                let mut served = 0;
                while !done.load(atomic::Ordering::Relaxed) {
                    // Uses only ready gateways, as a load balancer does.
                    let all = current.lock().expect("the list is whole").clone();
                    let ready = all.into_iter().find(|address| {
                        let client = support::TestClient::new(*address, support::KEY);
                        let ready = client.send(Method::GET, "/readyz", &[], Vec::new());
                        ready.is_ok_and(|response| response.status == 200)
                    });
                    let Some(address) = ready else { continue };
                    let client = support::TestClient::new(address, support::KEY);
                    let content = format!("caller {caller} request {served}");
                    let (text, whole) = client.stream(&content, 20).expect("it is streamed");
                    assert_eq!(text, smoke::expected_response(&content, 20));
                    assert!(whole);
                    served += 1;
                }
                served
            })
        })
        .collect();
    for number in 0..fleet.gateways.len() {
        thread::sleep(time::Duration::from_millis(300));
        fleet.gateways[number].signal(libc::SIGTERM);
        assert!(fleet.gateways[number].wait_end());
        fleet.gateways[number].restart();
        let address = fleet.gateways[number].address("callers");
        current.lock().expect("the list is whole")[number] = address;
        support::wait_for("the new gateway is ready", || {
            let client = support::TestClient::new(address, support::KEY);
            let ready = client.send(Method::GET, "/readyz", &[], Vec::new()).ok()?;
            (ready.status == 200).then_some(())
        });
    }
    done.store(true, atomic::Ordering::Relaxed);
    for caller in callers {
        assert!(caller.join().expect("no request was cut") > 0);
    }
}
