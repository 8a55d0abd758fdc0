//! Streams are taken up again at another gateway just after a server has started again under its
//! name with other software, which the list does not show yet.

use std::{net, sync::atomic::Ordering, thread, time};

use jayhollow_testkit::{Caller, System, ENGINES};

use crate::{ended_results::start_with, record::Record, report_front::ReportFront, Verdict};

/// Servers, of which one starts again: a share of 0.167.
const SERVERS: usize = 6;
/// Streams at the same time; all of them fit into the slots of the servers.
const CALLERS: usize = 32;
/// Time from the start of a server until the list shows it: less than the `lag_ms` of 800 of
/// the site file.
const LIST_LAG: time::Duration = time::Duration::from_millis(700);

/// Time from the start of that server until a gateway is killed.
const KILL_AFTER: time::Duration = time::Duration::from_millis(100);

/// One try of a caller.
struct Try {
    status: u16,
    is_whole: bool,
    /// Numbers and versions of the events.
    events: Vec<(u64, u8)>,
}

fn events_of(text: &str) -> Vec<(u64, u8)> {
    let whole = text.rsplit_once("\n\n").map_or("", |(whole, _)| whole);
    let events = whole.split("\n\n").filter_map(|event| {
        let number = event
            .lines()
            .find_map(|l| l.strip_prefix("id: "))?
            .parse()
            .ok()?;
        Some((number, if event.contains("@v2") { 2 } else { 1 }))
    });
    events.collect()
}

fn call(front: net::SocketAddr, headers: &[(&str, &str)]) -> Try {
    let failed = || Try {
        status: 0,
        is_whole: false,
        events: Vec::new(),
    };
    let Ok(mut caller) = Caller::try_connect(front, time::Duration::from_secs(5)) else {
        return failed();
    };
    if caller
        .try_send("POST", "/resumable/x", headers, "q")
        .is_err()
    {
        return failed();
    }
    let Ok(response) = caller.read_response() else {
        return failed();
    };
    Try {
        status: response.status,
        is_whole: response.is_whole,
        events: events_of(&response.text()),
    }
}

/// A stream over the tries of its caller.
fn follow(fronts: [net::SocketAddr; 2], number: usize) -> (String, Vec<Try>) {
    let id = format!("s-{number}");
    let mut tries = vec![call(
        fronts[0],
        &[("Request-Id", &id), ("Deadline-Ms", "5000")],
    )];
    while !tries.iter().any(|t| t.is_whole && t.status == 200) && tries.len() < 3 {
        let last = tries.iter().rev().find_map(|t| t.events.last());
        let Some((last, _)) = last else { break };
        let name = format!("{id}-{}", tries.len());
        let last = last.to_string();
        let headers = [
            ("Request-Id", name.as_str()),
            ("Last-Event-Id", last.as_str()),
            ("Resumes", id.as_str()),
            ("Deadline-Ms", "4000"),
        ];
        tries.push(call(fronts[1], &headers));
    }
    (id, tries)
}

/// Lists a server at its front.
fn list(system: &System, fronts: &[ReportFront], number: usize) {
    let entry = system.engines[number].entry_at(fronts[number].address, ENGINES, "ready");
    let id = format!("i-e{}", number + 1);
    system.store.put("servers", &id, entry);
}

/// Runs the case.
pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let mut system = start_with(record, SERVERS);
    let servers: Vec<_> = system.engines.iter().map(ReportFront::start).collect();
    for number in 0..SERVERS {
        list(&system, &servers, number);
    }
    thread::sleep(time::Duration::from_secs(4));
    let told = Caller::call(servers[0].address, "GET", "/report", &[], "");
    record.line(&format!(
        "GET /report at i-e1, by the driver -> {} {}",
        told.status,
        told.text()
    ));
    assert_eq!(told.status, 200);
    let by_driver = 1;
    let fronts = [system.front(0), system.front(1)];
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| thread::spawn(move || follow(fronts, number)))
        .collect();
    thread::sleep(time::Duration::from_millis(500));
    record.line(&format!(
        "{CALLERS} streams run through gateway-0, {} of them at i-e1",
        system.engines[0].runs().len()
    ));
    if has_trouble {
        system.engines[0].set_version("v2");
        system.engines[0].start_again();
        record.line("i-e1 starts again under its name, with software v2");
        thread::sleep(KILL_AFTER);
        system.gateways[0].kill();
        record.line("gateway-0 is killed (SIGKILL)");
        thread::sleep(LIST_LAG - KILL_AFTER);
        list(&system, &servers, 0);
        record.line("the list shows the new start and software of i-e1");
    }
    let mut mixed = 0;
    for caller in callers {
        let (id, tries) = caller.join().expect("the caller ends");
        let events = || tries.iter().flat_map(|t| &t.events);
        let is_mixed = [1, 2]
            .iter()
            .all(|version| events().any(|(_, v)| v == version));
        let tries: Vec<_> = tries
            .iter()
            .map(|t| {
                let count = |version| t.events.iter().filter(|(_, v)| *v == version).count();
                format!(
                    "status={} complete={} events of v1={} of v2={}",
                    t.status,
                    t.is_whole,
                    count(1),
                    count(2)
                )
            })
            .collect();
        record.line(&format!(
            "{id}: {}{}",
            tries.join("; then "),
            if is_mixed { " ORDER" } else { "" }
        ));
        mixed += usize::from(is_mixed);
    }
    let asked: usize = servers
        .iter()
        .map(|s| s.reports.load(Ordering::Relaxed))
        .sum();
    record.line(&format!(
        "calls of GET /report by the system: {}",
        asked - by_driver
    ));
    record.line(&format!("streams with events of both versions: {mixed}"));
    match mixed > 2 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
