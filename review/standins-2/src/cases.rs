//! The cases. Each says whether the rule held, or why it could not be checked.

use std::{collections::BTreeMap, thread, time};

use serde_json::{json, Value};

use super::harness::{self, job_body, route, Deployment, Record, Server, Work, ZONES};

fn seconds(count: f64) -> time::Duration {
    time::Duration::from_secs_f64(count)
}

/// Reads the results of jobs twice a second until all are listed or the time is up; returns
/// the number of listed items by job.
fn read_until(
    deployment: &Deployment,
    jobs: &[(String, usize)],
    until: time::Instant,
) -> BTreeMap<String, Vec<Value>> {
    let mut listed: BTreeMap<String, Vec<Value>> = BTreeMap::new();
    let mut round = 0;
    loop {
        let mut is_complete = true;
        for (job, items) in jobs {
            let known = listed.entry(job.clone()).or_default();
            // A page holds at most a megabyte.
            while known.len() < *items {
                let (status, page) = deployment.read(round, job, known.len());
                let results = page["Results"].as_array().cloned().unwrap_or_default();
                deployment.record.line(format!(
                    "read job={job} after={} status={status} results={}",
                    known.len(),
                    results.len()
                ));
                if results.is_empty() {
                    break;
                }
                known.extend(results);
            }
            is_complete &= known.len() >= *items;
        }
        if is_complete || time::Instant::now() >= until {
            return listed;
        }
        round += 1;
        thread::sleep(seconds(0.5));
    }
}

fn short_text(id: &str, event: u64) -> String {
    format!("{id}-{event}")
}

/// CONFIG: items of jobs run at a service that the newest desired state gives the weight 0.
pub fn weight(record: &Record, has_trouble: bool) -> Result<bool, String> {
    let work = Work {
        events: 20,
        pause: time::Duration::from_millis(10),
        text: short_text,
        is_unframed: false,
    };
    let mut servers = Vec::new();
    for (number, zone) in ZONES.iter().enumerate() {
        servers.push(Server::start(
            record,
            &format!("i-new{number}"),
            "drafting-new",
            zone,
            work,
        ));
        servers.push(Server::start(
            record,
            &format!("i-old{number}"),
            "drafting-old",
            zone,
            work,
        ));
    }
    let state = |version: u64, new: u32, old: u32| {
        let mut jobs = route("jobs", "/lots-in/", "batch", 15_000);
        jobs["TrafficSplit"] = json!([
            {"Service": "drafting-new", "Weight": new}, {"Service": "drafting-old", "Weight": old},
        ]);
        let engine = json!({"Slots": 8});
        json!({
            "Version": version, "Routes": [jobs], "Limits": harness::limits(),
            "Services": [
                {"Name": "drafting-new", "HealthPath": "/healthz", "MaxConnections": 200, "Engine": engine},
                {"Name": "drafting-old", "HealthPath": "/healthz", "MaxConnections": 200, "Engine": engine},
            ],
        })
    };
    let deployment = Deployment::start(record, servers, state(3, 50, 50), 2, 3);
    if !deployment.is_ready() {
        return Err("the deployment is not ready".to_owned());
    }
    thread::sleep(seconds(1.0));
    if has_trouble {
        deployment.put_state(state(7, 100, 0));
    }
    // `ConfigMs` is 2,000; requests sent later than that must be handled as the new state says.
    thread::sleep(seconds(5.0));
    let jobs: Vec<_> = (0..60)
        .map(|n| (format!("70c41e09b52d6a{n:02}"), 40))
        .collect();
    let from = harness::unix_millis();
    for (number, (job, items)) in jobs.iter().enumerate() {
        if !deployment.submit(number, job, &job_body(job, *items, 200)) {
            return Err(format!("the job {job} was not accepted"));
        }
    }
    let until = time::Instant::now() + seconds(60.0);
    let listed = read_until(&deployment, &jobs, until);
    let listed: usize = listed.values().map(Vec::len).sum();
    let mut at_old = 0;
    let mut at_new = 0;
    for server in &deployment.servers {
        let runs = server.runs();
        let late = runs.iter().filter(|run| run.at_ms >= from);
        match server.service.as_str() {
            "drafting-old" => at_old += late.count(),
            _ => at_new += late.count(),
        }
    }
    record.say(format!(
        "items listed {listed}; runs at drafting-new {at_new}, at drafting-old {at_old}"
    ));
    // Without the change, the state in force allows both services.
    Ok(!has_trouble || at_old == 0)
}

/// A coloured cell of a table, as for a terminal: 20 bytes, four of them control characters.
fn table_row(_: &str, event: u64) -> String {
    let cell = |n: u64| format!("\u{1b}[1m{}\u{1b}[0m", n % 10);
    format!("{}\t{}", cell(event), cell(event / 10))
}

/// LOST: the results of a job are not listed any more after the store was down for seconds.
pub fn part(record: &Record, has_trouble: bool) -> Result<bool, String> {
    const ITEMS: usize = 200;
    let work = Work {
        events: 212,
        pause: time::Duration::from_millis(9),
        text: table_row,
        is_unframed: false,
    };
    let servers: Vec<_> = (0..9)
        .map(|n| {
            Server::start(
                record,
                &format!("i-llm{n}"),
                "drafting-llm",
                ZONES[n % 3],
                work,
            )
        })
        .collect();
    let mut jobs_route = route("jobs", "/lots-in/", "batch", 15_000);
    jobs_route["Service"] = json!("drafting-llm");
    let state = json!({
        "Version": 3, "Routes": [jobs_route], "Limits": harness::limits(),
        "Services": [{"Name": "drafting-llm", "HealthPath": "/healthz", "MaxConnections": 200, "Engine": {"Slots": 8}}],
    });
    let deployment = Deployment::start(record, servers, state, 2, 3);
    if !deployment.is_ready() {
        return Err("the deployment is not ready".to_owned());
    }
    thread::sleep(seconds(2.0));
    let job = "70c41e09b52d6a3f".to_owned();
    if !deployment.submit(0, &job, &job_body(&job, ITEMS, 200)) {
        return Err("the job was not accepted".to_owned());
    }
    if has_trouble {
        deployment.set_store_shut(true);
        thread::sleep(seconds(5.4));
        deployment.set_store_shut(false);
    } else {
        thread::sleep(seconds(5.4));
    }
    // `FinishS` is 18; the store has been stable for much longer than `ContactMs` at its end.
    let until = time::Instant::now() + seconds(30.0);
    let jobs = [(job.clone(), ITEMS)];
    let listed = read_until(&deployment, &jobs, until);
    let results = &listed[&job];
    let whole: Vec<_> = (1..=work.events)
        .map(|event| table_row("", event))
        .collect();
    let whole = whole.join("\n");
    let is_whole = |r: &Value| r["State"] == "completed" && r["Output"] == whole.as_str();
    let wrong = results.iter().filter(|r| !is_whole(r)).count();
    let running: usize = deployment.servers.iter().map(Server::running).sum();
    let runs: usize = deployment.servers.iter().map(|s| s.runs().len()).sum();
    let processes = deployment.gateways.iter().chain(&deployment.dispatchers);
    let too_large: usize = processes
        .map(|p| p.door.too_large.load(std::sync::atomic::Ordering::SeqCst))
        .sum();
    record.say(format!(
        "items listed {} of {ITEMS}, wrong {wrong}; runs {runs}, running now {running}; writes above ValueBytes {too_large}",
        results.len()
    ));
    let is_calm = running == 0;
    Ok(results.len() == ITEMS || !is_calm)
}

/// LOST: entries of another writer under a service that is not named keep the servers at the
/// same addresses from being used.
pub fn foreign(record: &Record, has_trouble: bool) -> Result<bool, String> {
    const ITEMS: usize = 10;
    let work = Work {
        events: 40,
        pause: time::Duration::from_millis(10),
        text: short_text,
        is_unframed: false,
    };
    let mut servers: Vec<_> = (0..6)
        .map(|n| {
            Server::start(
                record,
                &format!("i-llm{n}"),
                "drafting-llm",
                ZONES[n % 3],
                work,
            )
        })
        .collect();
    servers.extend((0..3).map(|n| {
        Server::start(
            record,
            &format!("i-app{n}"),
            "tracking-app",
            ZONES[n % 3],
            work,
        )
    }));
    let mut jobs_route = route("jobs", "/lots-in/", "batch", 15_000);
    jobs_route["Service"] = json!("drafting-llm");
    let mut lookup = route("lookup", "/lookup/", "safe", 1500);
    lookup["Service"] = json!("tracking-app");
    let state = json!({
        "Version": 3, "Routes": [jobs_route, lookup], "Limits": harness::limits(),
        "Services": [
            {"Name": "drafting-llm", "HealthPath": "/healthz", "MaxConnections": 200, "Engine": {"Slots": 8}},
            {"Name": "tracking-app", "HealthPath": "/healthz", "MaxConnections": 96},
        ],
    });
    let deployment = Deployment::start(record, servers, state, 2, 3);
    if !deployment.is_ready() {
        return Err("the deployment is not ready".to_owned());
    }
    thread::sleep(seconds(2.0));
    if has_trouble {
        for (number, server) in deployment.servers.iter().enumerate() {
            let entry = json!({
                "Service": "print-queue", "Address": server.address.to_string(),
                "Zone": server.zone, "Version": "v9", "Slots": 8, "State": "ready",
                "ColdRemainingMs": 0, "Sequence": 1, "born": harness::unix_millis(),
            });
            record.line(format!("other writer servers/w-{number} {entry}"));
            deployment
                .store
                .put("servers", &format!("w-{number}"), entry);
        }
    }
    thread::sleep(seconds(4.0));
    let mut served = 0;
    let mut asked = 0;
    let job = "70c41e09b52d6a3f".to_owned();
    if !deployment.submit(0, &job, &job_body(&job, ITEMS, 200)) {
        return Err("the job was not accepted".to_owned());
    }
    for number in 0..20 {
        let front = deployment.gateways[number % 2].front();
        let id = format!("9c41d07be2a35f{number:02}");
        let headers = [("Request-Id", id.as_str()), ("Deadline-Ms", "1500")];
        let answer = super::http::call(front, "POST", "/lookup/a", &headers, b"x", seconds(3.0));
        let status = answer.map_or(0, |a| a.status);
        record.line(format!("lookup id={id} status={status}"));
        asked += 1;
        served += usize::from(status == 200);
        thread::sleep(seconds(0.1));
    }
    // `FinishS` is 18.
    let until = time::Instant::now() + seconds(25.0);
    let listed = read_until(&deployment, &[(job.clone(), ITEMS)], until);
    let runs: usize = deployment.servers.iter().map(|s| s.runs().len()).sum();
    record.say(format!(
        "lookups served {served} of {asked}; items listed {} of {ITEMS}; runs at servers {runs}",
        listed[&job].len()
    ));
    Ok(listed[&job].len() == ITEMS)
}

/// Events of a stream in the case `crash`.
const CRASH_EVENTS: u64 = 60;

/// Work of the servers in the case `crash`: a stream takes 3 s.
const CRASH_WORK: Work = Work {
    events: CRASH_EVENTS,
    pause: time::Duration::from_millis(50),
    text: short_text,
    is_unframed: true,
};

/// Runs this program as one server; its first line is its entry in the list.
pub fn serve_as_process(words: &[String]) -> Result<bool, String> {
    let [id, service, zone] = words else {
        return Err("ID SERVICE ZONE are needed".to_owned());
    };
    let zone = ZONES.iter().find(|z| *z == zone).ok_or("no such zone")?;
    let server = Server::start(&Record::to_parent(), id, service, zone, CRASH_WORK);
    println!("{}", server.entry(1));
    loop {
        thread::sleep(seconds(3600.0));
    }
}

/// A stream of a caller: the events that came, and whether the answer ended as complete.
fn read_stream(front: std::net::SocketAddr, path: &str, id: &str) -> Option<(usize, bool)> {
    use super::http;

    let socket = std::net::TcpStream::connect(front).ok()?;
    socket.set_read_timeout(Some(seconds(6.0))).ok()?;
    let mut wire = http::Wire::new(socket);
    let headers = [
        ("Request-Id", id),
        ("Model", "m"),
        ("Token-Usage", "450,40"),
        ("Prompt-Prefix", "9c2e41:200,5d07b8:250"),
        ("Deadline-Ms", "5000"),
    ];
    let text = http::request_text("POST", harness::HOST, path, &headers, 1);
    wire.write(text.as_bytes()).ok()?;
    wire.write(b"x").ok()?;
    let head = wire.read_head().ok()?;
    if !head.line.contains(" 200 ") {
        return None;
    }
    let mut bytes = Vec::new();
    let is_complete = loop {
        match wire.read_chunk() {
            Ok(Some(chunk)) => bytes.extend(chunk),
            Ok(None) => break true,
            Err(_) => break false,
        }
    };
    let text = String::from_utf8_lossy(&bytes).into_owned();
    Some((text.matches("\n\n").count(), is_complete))
}

/// ORDER and MIXED: after a server was killed, streams that it ran end as complete before their
/// last piece, and items are listed as completed with a part of their text.
pub fn crash(record: &Record, has_trouble: bool) -> Result<bool, String> {
    const ITEMS: usize = 24;
    const STREAMS: usize = 12;
    let start = |id: &str, n: usize| {
        harness::ServerProcess::start(record, id, "drafting-llm", ZONES[n % 3])
            .map_err(|e| format!("no server: {e}"))
    };
    let mut servers = Vec::new();
    for n in 0..6 {
        servers.push(start(&format!("i-llm{n}"), n)?);
    }
    let mut jobs_route = route("jobs", "/lots-in/", "batch", 15_000);
    let mut resumable = route("cover-note", "/items/cover/", "streaming", 5000);
    let mut once = route("addr-check", "/items/check/", "streaming", 5000);
    resumable["Resumable"] = json!(true);
    for route in [&mut jobs_route, &mut resumable, &mut once] {
        route["Service"] = json!("drafting-llm");
    }
    let state = json!({
        "Version": 3, "Routes": [jobs_route, resumable, once], "Limits": harness::limits(),
        "Services": [{"Name": "drafting-llm", "HealthPath": "/healthz", "MaxConnections": 200, "Engine": {"Slots": 8}}],
    });
    let deployment = Deployment::start(record, Vec::new(), state, 2, 3);
    for server in &servers {
        deployment
            .store
            .put("servers", &server.id, server.entry.clone());
    }
    if !deployment.is_ready() {
        return Err("the deployment is not ready".to_owned());
    }
    thread::sleep(seconds(2.0));
    let job = "70c41e09b52d6a3f".to_owned();
    if !deployment.submit(0, &job, &job_body(&job, ITEMS, 200)) {
        return Err("the job was not accepted".to_owned());
    }
    let callers: Vec<_> = (0..STREAMS)
        .map(|n| {
            let front = deployment.gateways[n % 2].front();
            let (kind, id) = (
                ["cover", "check"][n / 2 % 2],
                format!("9c41d07be2a35f{n:02}"),
            );
            let record = record.clone();
            thread::spawn(move || {
                let seen = read_stream(front, &format!("/items/{kind}/a"), &id);
                record.line(format!(
                    "stream id={id} kind={kind} events, complete: {seen:?}"
                ));
                seen
            })
        })
        .collect();
    thread::sleep(seconds(1.5));
    if has_trouble {
        record.say("server i-llm0 is killed");
        servers[0].kill();
    }
    let seen: Vec<_> = callers
        .into_iter()
        .map(|c| c.join().ok().flatten())
        .collect();
    let short = |seen: &&(usize, bool)| seen.1 && seen.0 < CRASH_EVENTS as usize;
    let short_streams = seen.iter().flatten().filter(short).count();
    let whole_streams = seen
        .iter()
        .flatten()
        .filter(|s| s.0 == CRASH_EVENTS as usize)
        .count();
    // The entry of a silent server is removed after three reports that did not come; another
    // one starts after 4.5 s.
    if has_trouble {
        deployment.store.remove("servers", "i-llm0");
        thread::sleep(seconds(1.0));
        let server = start("i-llm9", 0)?;
        deployment
            .store
            .put("servers", &server.id, server.entry.clone());
        servers.push(server);
    }
    let until = time::Instant::now() + seconds(30.0);
    let listed = read_until(&deployment, &[(job.clone(), ITEMS)], until);
    let short_items = listed[&job]
        .iter()
        .filter(|r| {
            let id = r["Id"].as_str().unwrap_or_default();
            let whole: Vec<_> = (1..=CRASH_EVENTS).map(|n| short_text(id, n)).collect();
            r["State"] == "completed" && r["Output"] != whole.join("\n").as_str()
        })
        .count();
    record.say(format!(
        "streams whole {whole_streams} of {STREAMS}, ended as complete before the last piece {short_streams}; items listed {} of {ITEMS}, completed with a part of the text {short_items}",
        listed[&job].len()
    ));
    Ok(short_streams == 0 && short_items == 0)
}

/// What a client of the case `rejoin` saw of its job.
#[derive(Default)]
struct Sight {
    is_accepted: bool,
    is_read: bool,
    /// How long after the first reading the result was not there, at the latest.
    gone_ms: u128,
}

/// A client: hands in a job of one item, waits for its result, then reads it again for 6 s.
fn read_again(record: &Record, fronts: &[std::net::SocketAddr], number: usize) -> Sight {
    let job = format!("70c41e09b52d{number:04}");
    let mut sight = Sight::default();
    let body = job_body(&job, 1, 200);
    sight.is_accepted = harness::submit_at(record, fronts, number, &job, &body);
    let begun = time::Instant::now();
    let mut first: Option<time::Instant> = None;
    let mut round = number;
    while sight.is_accepted && begun.elapsed() < seconds(40.0) {
        if first.is_some_and(|at| at.elapsed() > seconds(6.0)) {
            break;
        }
        round += 1;
        let gateway = round % fronts.len();
        let wait_ms = if first.is_none() { 1000 } else { 0 };
        let asked_at = time::Instant::now();
        let (status, page) = harness::read_at(fronts[gateway], &job, 0, wait_ms);
        let listed = page["Results"].as_array().map_or(0, Vec::len);
        match first {
            None if listed > 0 => {
                first = Some(time::Instant::now());
                sight.is_read = true;
                record.line(format!("read job={job} gateway={gateway} results={listed}"));
            }
            None => {}
            Some(at) => {
                let later_ms = asked_at.duration_since(at).as_millis();
                if listed == 0 && [200, 404, 410].contains(&status) {
                    sight.gone_ms = later_ms;
                    record.line(format!(
                        "read job={job} gateway={gateway} status={status} results=0, {later_ms} ms after it was read"
                    ));
                }
                thread::sleep(seconds(0.2));
            }
        }
    }
    sight
}

/// LOST: while the machines are restarted one after the other, a result that was read is not there for
/// those who ask for it seconds later.
pub fn rejoin(record: &Record, has_trouble: bool) -> Result<bool, String> {
    const JOBS: usize = 830;
    const SPREAD_S: f64 = 30.0;
    const SETTLE_MS: u128 = 1000;
    let work = Work {
        events: 200,
        pause: time::Duration::from_millis(30),
        text: short_text,
        is_unframed: false,
    };
    let servers: Vec<_> = (0..30)
        .map(|n| {
            Server::start(
                record,
                &format!("i-llm{n}"),
                "drafting-llm",
                ZONES[n % 3],
                work,
            )
        })
        .collect();
    let mut jobs_route = route("jobs", "/lots-in/", "batch", 15_000);
    jobs_route["Service"] = json!("drafting-llm");
    let state = json!({
        "Version": 3, "Routes": [jobs_route], "Limits": harness::limits(),
        "Services": [{"Name": "drafting-llm", "HealthPath": "/healthz", "MaxConnections": 200, "Engine": {"Slots": 8}}],
    });
    let mut deployment = Deployment::start(record, servers, state, 3, 3);
    if !deployment.is_ready() {
        return Err("the deployment is not ready".to_owned());
    }
    thread::sleep(seconds(2.0));
    let gateways = &deployment.gateways;
    let fronts: Vec<_> = gateways.iter().map(harness::Process::front).collect();
    let begun = time::Instant::now();
    let (to_sights, sights) = std::sync::mpsc::channel();
    let clients = {
        let record = record.clone();
        thread::spawn(move || {
            for number in 0..JOBS {
                let due = seconds(SPREAD_S * number as f64 / JOBS as f64);
                thread::sleep(due.saturating_sub(begun.elapsed()));
                let (record, fronts, to_sights) =
                    (record.clone(), fronts.clone(), to_sights.clone());
                thread::spawn(move || {
                    let sight = read_again(&record, &fronts, number);
                    drop(to_sights.send(sight));
                });
            }
        })
    };
    thread::sleep(seconds(8.0));
    let mut rolls = 0;
    while begun.elapsed() < seconds(SPREAD_S) {
        if has_trouble {
            deployment.roll();
            rolls += 1;
        }
        thread::sleep(seconds(3.0));
    }
    clients.join().map_err(|_| "a client failed".to_owned())?;
    let sights: Vec<_> = sights.iter().collect();
    let accepted = sights.iter().filter(|s| s.is_accepted).count();
    let read = sights.iter().filter(|s| s.is_read).count();
    let gone = sights.iter().filter(|s| s.gone_ms > SETTLE_MS).count();
    let longest_ms = sights.iter().map(|s| s.gone_ms).max().unwrap_or(0);
    record.say(format!(
        "rolls {rolls}; jobs accepted {accepted}, read {read}; not there more than {SETTLE_MS} ms after it was read {gone}, at the latest after {longest_ms} ms"
    ));
    Ok(gone == 0)
}
