//! A job is ended just after the open connections have gone silent.

use std::{thread, time};

use jayhollow_testkit::{self as testkit, wait_for, Caller, OtherBuild, System, SystemPlan};

use crate::{record::Record, Verdict};

const JOB: &str = "5d07b8e4402b7d91";
const ITEMS: usize = 200;
/// `CancelMs` and `ContactMs` of the sheet.
const CANCEL_TIME: time::Duration = time::Duration::from_millis(3000);
const CONTACT_TIME: time::Duration = time::Duration::from_millis(3000);
/// Reserve of the check on both.
const MARGIN: time::Duration = time::Duration::from_millis(100);
/// Time between the silence and the end of the job.
const END_AFTER: time::Duration = time::Duration::from_millis(150);

/// Time after the first items before the silence: the owner has just begun another watch of the
/// list of servers, whose timeout is what shows the silence.
const RUN_TIME: time::Duration = time::Duration::from_millis(5400);

/// Makes all open connections between machines, to the store and to servers silent.
fn silence(system: &System) {
    let members = system.gateways.iter().chain(&system.dispatchers);
    for member in members {
        for link in [&member.link, &member.store_link].into_iter().flatten() {
            link.stall_open();
        }
    }
    for link in &system.links {
        link.stall_open();
    }
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
        events: 120,
        has_proxies: true,
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
    record.line("2 gateways, 3 dispatchers, 2 engines, 1 store are up");
    // Gateway 1 has had no call to the store for a while by the time of the end.
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
        "POST /jobs/x gateway=0 Request-Id={JOB} items={ITEMS} -> {}",
        sent.status
    ));
    assert_eq!(sent.status, 202);
    wait_for("items run", || {
        system.engines.iter().any(|e| e.runs().len() > 8)
    });
    thread::sleep(RUN_TIME);

    let silent_at = time::Instant::now();
    if has_trouble {
        silence(&system);
        record.line("all open connections between machines, to the store and to servers are silent; new ones work");
    }
    thread::sleep(END_AFTER);
    let sent_at = time::Instant::now();
    let path = format!("/lots/{JOB}");
    let ended = Caller::call(system.front(1), "DELETE", &path, &[], "");
    let confirmed_at = time::Instant::now();
    record.line(&format!(
        "DELETE {path} gateway=1 -> {} after {} ms",
        ended.status,
        (confirmed_at - sent_at).as_millis()
    ));
    assert_eq!(ended.status, 200);
    thread::sleep(time::Duration::from_secs(12));

    // From then on, the machines are in touch and the end is binding.
    let bound = (confirmed_at + CANCEL_TIME).max(silent_at + CONTACT_TIME) + MARGIN;
    let mut late = 0;
    let mut runs: Vec<_> = system.engines.iter().flat_map(|e| e.runs()).collect();
    runs.sort_by_key(|run| run.at);
    for run in &runs {
        let id = run.request.head.header("request-id").unwrap_or_default();
        let after = run.at.saturating_duration_since(confirmed_at);
        let is_late = run.at > bound;
        late += usize::from(is_late);
        if run.at > confirmed_at {
            record.line(&format!(
                "run of {id} at {} {} ms after the confirmation{}",
                run.server,
                after.as_millis(),
                if is_late { " UNASKED" } else { "" }
            ));
        }
    }
    record.line(&format!("runs: {}, of them too late: {late}", runs.len()));
    match late > 0 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
