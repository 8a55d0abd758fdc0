//! A service whose weight in a traffic split is 0 gets items of jobs.

use std::{thread, time};

use jayhollow_testkit::{self as testkit, wait_for, Caller, OtherBuild, System, SystemPlan};
use serde_json::{json, Value};

use crate::{record::Record, Verdict};

const JOB: &str = "91bd3f06e4402b7d";
const ITEMS: usize = 200;
/// `ConfigMs` and `ContactMs` of the sheet, and some reserve.
const SETTLE_TIME: time::Duration = time::Duration::from_secs(4);

/// The desired state, whose route of jobs is split by weights if there are any.
fn state(version: u64, split: Option<[(&str, u32); 2]>) -> Value {
    let mut state = testkit::desired_state(version);
    // Both services are of model engines.
    state["Services"][1]["Engine"] = json!({"Slots": 8});
    let routes = state["Routes"].as_array_mut().expect("a list");
    let jobs = routes
        .iter_mut()
        .find(|r| r["Name"] == "jobs")
        .expect("it is there");
    if let Some(split) = split {
        jobs.as_object_mut().expect("a table").remove("Service");
        let split = split.map(|(service, weight)| json!({"Service": service, "Weight": weight}));
        jobs["TrafficSplit"] = json!(split);
    }
    state
}

/// Runs the case.
pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let names = [
        "dispatcher-0",
        "dispatcher-1",
        "dispatcher-2",
        "gateway-0",
        "gateway-1",
    ];
    let program = std::env::current_dir()
        .expect("a folder")
        .join("target/release/jayhollow-platform");
    assert!(program.exists(), "the build of the deploy file has run");
    let system = System::build(SystemPlan {
        gateways: 2,
        dispatchers: 3,
        engines: 2,
        plain: 2,
        events: 120,
        other_build: Some(OtherBuild {
            program,
            members: names.map(str::to_owned).to_vec(),
            alternates: false,
        }),
        ..SystemPlan::default()
    });
    system.store.put("config", "main", state(3, None));
    system.wait_ready();
    record.line("2 gateways, 3 dispatchers, 2 servers each of the services engines and plain, 1 store are up");
    thread::sleep(SETTLE_TIME);
    if has_trouble {
        let split = [(testkit::ENGINES, 100), (testkit::PLAIN, 0)];
        system.store.put("config", "main", state(5, Some(split)));
        record.line("version 5: the route of jobs is split, engines 100, plain 0");
        thread::sleep(SETTLE_TIME);
    }
    let ids: Vec<_> = (0..ITEMS).map(|n| format!("item{n:03}")).collect();
    let ids: Vec<_> = ids.iter().map(String::as_str).collect();
    let headers = [("Request-Id", JOB)];
    let sent = Caller::call(
        system.front(0),
        "POST",
        "/jobs/x",
        &headers,
        &testkit::job(&ids),
    );
    record.line(&format!(
        "POST /jobs/x Request-Id={JOB} items={ITEMS} -> {}",
        sent.status
    ));
    assert_eq!(sent.status, 202);
    wait_for("most items have run", || {
        let runs = system
            .engines
            .iter()
            .chain(&system.plain)
            .map(|e| e.runs().len());
        runs.sum::<usize>() >= ITEMS * 9 / 10
    });
    let mut foreign = 0;
    for (service, servers) in [("engines", &system.engines), ("plain", &system.plain)] {
        for server in servers {
            let runs = server.runs();
            record.line(&format!("{service} {}: {} runs", server.id, runs.len()));
            if service == "plain" {
                foreign += runs.len();
                for run in runs {
                    let id = run.request.head.header("request-id").unwrap_or_default();
                    record.line(&format!(
                        "ROUTE: {id} {} ran at {}",
                        run.request.path, server.id
                    ));
                }
            }
        }
    }
    match foreign > 0 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
