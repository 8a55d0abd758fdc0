//! Results of an ended job are read again after its owner has restarted and, later, left.

use std::{thread, time};

use jayhollow_testkit::{self as testkit, wait_for, Caller, OtherBuild, System, SystemPlan};
use serde_json::Value;

use crate::{record::Record, Verdict};

pub const JOB: &str = "7c41e09b52d6a3f8";
pub const ITEMS: usize = 200;
/// `ContactMs` of the sheet, and some reserve.
const CONTACT_TIME: time::Duration = time::Duration::from_millis(3500);

/// Reads all listed results through a gateway, from the start. `None`: it is not sure (503).
pub fn read_all(system: &System, gateway: usize, record: &Record) -> Option<Vec<Value>> {
    let mut results: Vec<Value> = Vec::new();
    loop {
        let path = format!("/lots/{JOB}?After={}", results.len());
        let response = Caller::call(system.front(gateway), "GET", &path, &[], "");
        if response.status != 200 {
            record.line(&format!(
                "GET {path} gateway={gateway} -> {}",
                response.status
            ));
            return (response.status != 503).then(Vec::new);
        }
        let page = response.json();
        let more = page["Results"].as_array().cloned().unwrap_or_default();
        record.line(&format!(
            "GET {path} gateway={gateway} -> 200 Total={} Next={} Results={}",
            page["Total"],
            page["Next"],
            more.len()
        ));
        if more.is_empty() {
            return Some(results);
        }
        results.extend(more);
    }
}

/// Reads until at least `count` results are listed.
pub fn read_until(system: &System, count: usize, record: &Record) -> Vec<Value> {
    let mut results = Vec::new();
    wait_for("the results come", || {
        thread::sleep(time::Duration::from_millis(300));
        results = read_all(system, 0, record).unwrap_or_default();
        results.len() >= count
    });
    results
}

/// The dispatcher that took the job first.
pub fn owner(system: &System) -> usize {
    let line = format!("event=job_taken job={JOB}");
    let mut owner = None;
    wait_for("the job is taken", || {
        owner = system
            .dispatchers
            .iter()
            .position(|d| d.log().contains(&line));
        owner.is_some()
    });
    owner.expect("it was found")
}

/// Starts a small deployment.
pub fn start(record: &Record) -> System {
    start_with(record, 2)
}

/// Starts a small deployment with so many model servers.
pub fn start_with(record: &Record, engines: usize) -> System {
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
        engines,
        events: 120,
        other_build: Some(OtherBuild {
            program,
            members: names.map(str::to_owned).to_vec(),
            alternates: false,
        }),
        ..SystemPlan::default()
    });
    system
        .store
        .put("config", "main", testkit::desired_state(3));
    system.wait_ready();
    record.line(&format!(
        "2 gateways, 3 dispatchers, {engines} engines, 1 store are up"
    ));

    system
}

/// Submits the job.
pub fn submit(system: &System, record: &Record) {
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
}

/// Reads several times through both gateways whether the results that had been read are listed.
pub fn check(system: &System, expected: &[Value], record: &Record) -> Verdict {
    let mut is_broken = false;
    for _ in 0..5 {
        for gateway in 0..2 {
            let Some(results) = read_all(system, gateway, record) else {
                continue;
            };
            if !results.starts_with(expected) {
                record.line(&format!(
                    "LOST: gateway-{gateway} lists {} of {} results that had been read",
                    results.len(),
                    expected.len()
                ));
                is_broken = true;
            }
        }
        thread::sleep(time::Duration::from_millis(500));
    }
    match is_broken {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

/// Runs the case.
pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let mut system = start(record);
    submit(&system, record);
    let owner = owner(&system);
    read_until(&system, 5, record);

    if has_trouble {
        record.line(&format!("SIGTERM dispatcher-{owner}"));
        system.dispatchers[owner].signal(libc::SIGTERM);
        system.dispatchers[owner].wait();
        record.line(&format!("dispatcher-{owner} has ended"));
        thread::sleep(time::Duration::from_millis(1500));
        system.dispatchers[owner].restart();
        record.line(&format!("dispatcher-{owner} is started again"));
    }
    thread::sleep(CONTACT_TIME);
    let seen = read_until(&system, 5, record).len();
    read_until(&system, seen + 20, record);

    let ended = Caller::call(system.front(0), "DELETE", &format!("/lots/{JOB}"), &[], "");
    record.line(&format!("DELETE /lots/{JOB} gateway=0 -> {}", ended.status));
    assert_eq!(ended.status, 200);
    thread::sleep(CONTACT_TIME);
    let expected = read_all(&system, 0, record).expect("the store is well");
    record.line(&format!("results read after the end: {}", expected.len()));
    assert!(
        expected.len() < ITEMS,
        "the job was ended before it was done"
    );

    if has_trouble {
        record.line(&format!("SIGTERM dispatcher-{owner}, which is taken away"));
        system.dispatchers[owner].signal(libc::SIGTERM);
        system.dispatchers[owner].wait();
        record.line(&format!("dispatcher-{owner} has ended"));
    }
    thread::sleep(CONTACT_TIME + time::Duration::from_millis(1500));

    check(&system, &expected, record)
}
