//! Bundles: one history under races, in force everywhere, never back.

mod support;

use std::{thread, time};

use rstest::rstest;

fn document(slowdown: u32) -> Vec<u8> {
    let mut document = support::test_bundle();
    document.batch.online_slowdown_percent = slowdown;
    serde_json::to_vec(&document).expect("it is JSON")
}

fn wait_in_force(fleet: &support::ProcessFleet, generation: u64, instances: u64) {
    support::wait_for("the bundle is in force everywhere", || {
        let status = fleet.operator(0).get("/operator/v1/bundles").ok()?;
        let everywhere = status["in_force_at"].as_u64() == Some(instances)
            && status["accepted"]["generation"].as_u64() == Some(generation);
        everywhere.then_some(())
    });
}

#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
fn racing_operators_make_one_history(#[case] seed: u64) {
    let fleet = support::ProcessFleet::start(&support::FleetSize::default());
    if seed > 1 {
        fleet.object_faults(serde_json::json!({"lost_answers": 30, "slow_ms": 2 * seed}));
    }
    let accepted: Vec<u64> = thread::scope(|scope| {
        let operators: Vec<_> = (0..4)
            .map(|operator| {
                let client = fleet.operator(operator % 2);
                scope.spawn(move || {
                    let mut accepted = Vec::new();
                    for round in 0..5 {
                        let body = document(10 + operator as u32 * 10 + round);
                        let Ok(draft) = client.post("/operator/v1/bundles", body) else {
                            continue;
                        };
                        let generation = draft["draft"]["generation"].as_u64().unwrap_or(0);
                        let path = format!("/operator/v1/bundles/sign-off?generation={generation}");
                        if client.post(&path, Vec::new()).is_ok() {
                            accepted.push(generation);
                        }
                    }
                    accepted
                })
            })
            .collect();
        operators
            .into_iter()
            .flat_map(|o| o.join().expect("the operator ends"))
            .collect()
    });
    fleet.object_faults(serde_json::json!({}));
    let mut history = accepted.clone();
    history.sort_unstable();
    history.dedup();
    assert_eq!(
        history.len(),
        accepted.len(),
        "no generation was accepted twice"
    );
    assert!(!history.is_empty());
    wait_in_force(&fleet, *history.last().expect("there is one"), 4);
}

#[test]
fn the_loser_of_a_race_is_told_who_won() {
    let fleet = support::ProcessFleet::start(&support::FleetSize::default());
    let path = "/operator/v1/bundles?parent=1";
    fleet
        .operator(0)
        .post(path, document(20))
        .expect("it is proposed");
    let error = fleet
        .operator(1)
        .post(path, document(30))
        .expect_err("a draft is open");
    assert!(error.contains("409"), "{error}");
    assert!(error.contains("generation 2 by operator"), "{error}");
    fleet
        .operator(0)
        .post("/operator/v1/bundles/sign-off?generation=2", Vec::new())
        .expect("signed");
    let error = fleet
        .operator(1)
        .post(path, document(30))
        .expect_err("its parent is old");
    assert!(error.contains("you started from 1"), "{error}");
}

#[test]
fn an_accepted_bundle_survives_an_outage_and_restarts() {
    let mut fleet = support::ProcessFleet::start(&support::FleetSize::default());
    let draft = fleet.operator(0).post("/operator/v1/bundles", document(42));
    assert_eq!(draft.expect("it is proposed")["draft"]["generation"], 2);
    let path = "/operator/v1/bundles/sign-off?generation=2";
    // Half of the instances learn of it from peers alone: the service goes out at once.
    fleet
        .operator(0)
        .post(path, Vec::new())
        .expect("it is accepted");
    fleet.object_faults(serde_json::json!({"out": true}));
    let generation =
        |fleet: &support::ProcessFleet, process: &support::FleetProcess, name: &str| {
            let client = support::TestClient::new(process.address(name), support::KEY);
            let metrics = client
                .send(actix_http::Method::GET, "/metrics", &[], Vec::new())
                .ok()?;
            let text = String::from_utf8_lossy(&metrics.body).into_owned();
            let line = text
                .lines()
                .find(|l| l.starts_with("jayhollow_bundle_generation "))?
                .to_owned();
            let _ = fleet;
            line.rsplit(' ').next()?.parse::<u64>().ok()
        };
    support::wait_for("every instance has it", || {
        let gateways = fleet
            .gateways
            .iter()
            .all(|g| generation(&fleet, g, "callers") == Some(2));
        let dispatchers = fleet
            .dispatchers
            .iter()
            .all(|d| generation(&fleet, d, "metrics") == Some(2));
        (gateways && dispatchers).then_some(())
    });
    // Restarted in the outage an instance is not ready rather than wrong.
    fleet.gateways[1].restart();
    fleet.dispatchers[1].restart();
    let restarted = fleet.caller(1);
    let until = time::Instant::now() + time::Duration::from_secs(1);
    while time::Instant::now() < until {
        let ready = restarted.send(actix_http::Method::GET, "/readyz", &[], Vec::new());
        let ready = ready.expect("it answers").status == 200;
        let found = generation(&fleet, &fleet.gateways[1], "callers");
        assert!(
            !ready || found == Some(2),
            "ready with generation {found:?}"
        );
        thread::sleep(time::Duration::from_millis(20));
    }
    fleet.object_faults(serde_json::json!({}));
    wait_in_force(&fleet, 2, 4);
    fleet.wait_ready();
}

#[test]
fn a_faulty_bundle_is_refused_with_every_fault() {
    let fleet = support::ProcessFleet::start(&support::FleetSize {
        gateways: 1,
        dispatchers: 1,
        engines: 1,
        ..support::FleetSize::default()
    });
    let mut faulty = support::test_bundle();
    faulty.batch.online_slowdown_percent = 5000;
    faulty.models.push(faulty.models[0].clone());
    faulty.workspaces[0].key_hashes.push("short".into());
    let faulty = serde_json::to_vec(&faulty).expect("it is JSON");
    let error = fleet
        .operator(0)
        .post("/operator/v1/bundles", faulty)
        .expect_err("refused");
    for path in [
        "/batch/online_slowdown_percent",
        "/models/1/name",
        "/workspaces/0/key_hashes/1",
    ] {
        assert!(error.contains(path), "{path} in {error}");
    }
    let unknown = fleet
        .operator(0)
        .post("/operator/v1/bundles", b"{\"modles\":[]}".to_vec());
    assert!(unknown.expect_err("refused").contains("modles"));
}
