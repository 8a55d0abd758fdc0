//! Requests of every kind through a fleet of separate processes: generation with a single response
//! or a stream, plain services and batch jobs.

mod support;

use actix_http::Method;
use jayhollow::smoke;

#[test]
fn serves_every_kind_of_request() {
    let fleet = support::ProcessFleet::start(&support::FleetSize::default());
    for gateway in 0..2 {
        let caller = fleet.caller(gateway);
        let content = format!("note {gateway}");
        let response = caller.post("/v1/chat/completions", support::chat(&content, 8, false));
        let response = response.expect("it is answered");
        let text = response["choices"][0]["message"]["content"].as_str();
        assert_eq!(text, Some(smoke::expected_response(&content, 8).as_str()));
        let (text, whole) = caller.stream(&content, 8).expect("it is streamed");
        assert_eq!((text, whole), (smoke::expected_response(&content, 8), true));
        let echo = caller.post("/services/print/label", b"a label".to_vec());
        assert_eq!(echo.expect("it is echoed")["echo"], "a label");
        let models = caller.get("/v1/models").expect("models are listed");
        assert_eq!(models["data"][0]["id"], "m");
    }
    let caller = fleet.caller(0);
    let file = caller.upload(&support::letters(900, 4));
    let job = caller
        .submit(&file, "/v1/chat/completions", "key")
        .expect("it is accepted")
        .json();
    let job = fleet
        .caller(1)
        .wait_job(job["id"].as_str().expect("it has a name"));
    assert_eq!(job["status"], "completed");
    let results = fleet.caller(1).results(&job["output_file_id"]);
    support::check_letters(&results, 900, 4);
    let listed = caller.get("/v1/batches").expect("jobs are listed");
    assert_eq!(listed["data"][0]["id"], job["id"]);
}

#[test]
fn refuses_what_is_wrong_and_says_why() {
    let size = support::FleetSize {
        gateways: 1,
        dispatchers: 1,
        engines: 1,
        ..support::FleetSize::default()
    };
    let fleet = support::ProcessFleet::start(&size);
    let caller = fleet.caller(0);
    let unknown_caller = support::TestClient::new(fleet.gateways[0].address("callers"), "wrong");
    let post = |client: &support::TestClient, path: &str, body: &[u8]| {
        let response = client
            .send(Method::POST, path, &[], body.to_vec())
            .expect("it is answered");
        (response.status, response.json()["error"].clone())
    };
    let cases: [(&str, &[u8], u16, &str); 6] = [
        ("/v1/chat/completions", b"{", 400, "invalid_request"),
        (
            "/v1/chat/completions",
            br#"{"model":"m"}"#,
            400,
            "invalid_request",
        ),
        (
            "/v1/completions",
            br#"{"model":"x","prompt":"p"}"#,
            404,
            "not_found",
        ),
        ("/services/none/x", b"", 404, "not_found"),
        ("/v1/nothing", b"", 404, "not_found"),
        ("/v1/files", b"not multipart", 400, "invalid_request"),
    ];
    for (path, body, status, code) in cases {
        let (found, error) = post(&caller, path, body);
        assert_eq!(
            (found, error["code"].as_str()),
            (status, Some(code)),
            "{path}"
        );
        assert_eq!(error["ran"], "no");
        assert_eq!(
            post(&unknown_caller, path, body).1["code"],
            "invalid_api_key"
        );
    }
    let deep = "[".repeat(100_000);
    assert_eq!(post(&caller, "/v1/completions", deep.as_bytes()).0, 400);
    let large = vec![b' '; 5 << 20];
    assert_eq!(post(&caller, "/v1/completions", &large).0, 413);
}

#[test]
fn a_workspace_sees_its_own_files_and_jobs_only() {
    let fleet = support::ProcessFleet::start(&support::FleetSize::default());
    let owner = fleet.caller(0);
    let file = owner.upload(&support::letters(5, 2));
    let job = owner
        .submit(&file, "/v1/chat/completions", "own")
        .expect("it is accepted")
        .json();
    let id = job["id"].as_str().expect("it has a name");
    let job = owner.wait_job(id);
    let output = job["output_file_id"].as_str().expect("it has an output");
    let address = fleet.gateways[0].address("callers");
    let other = support::TestClient::new(address, support::OTHER_KEY);
    for path in [
        format!("/v1/files/{file}"),
        format!("/v1/files/{file}/content"),
        format!("/v1/files/{output}/content"),
        format!("/v1/batches/{id}"),
    ] {
        let response = other
            .send(Method::GET, &path, &[], Vec::new())
            .expect("it is answered");
        assert_eq!(response.status, 404, "{path}");
    }
    let cancel = format!("/v1/batches/{id}/cancel");
    let response = other.send(Method::POST, &cancel, &[], Vec::new());
    assert_eq!(response.expect("it is answered").status, 404);
    assert_eq!(
        other.get("/v1/batches").expect("it is listed")["data"],
        serde_json::json!([])
    );
    // The same idempotency key in another workspace identifies another job.
    let theirs = other.upload(&support::letters(5, 2));
    let theirs = other
        .submit(&theirs, "/v1/chat/completions", "own")
        .expect("it is accepted");
    assert_ne!(theirs.json()["id"].as_str(), Some(id));
}

#[test]
fn too_many_requests_at_once_are_refused_at_once() {
    let mut fleet = support::ProcessFleet::start(&support::FleetSize {
        engines: 1,
        step_us: 20_000,
        ..support::FleetSize::default()
    });
    let gateway = fleet.start_gateway_with(5, |config| {
        config["callers"]["limits"] = serde_json::json!({"requests": 2});
    });
    fleet.gateways.push(gateway);
    fleet.wait_ready();
    let caller = fleet.caller(2);
    let running: Vec<_> = (0..8)
        .map(|number| {
            let caller = caller.clone();
            std::thread::spawn(move || {
                let body = support::chat(&format!("n {number}"), 100, false);
                caller.send(Method::POST, "/v1/chat/completions", &[], body)
            })
        })
        .collect();
    let responses: Vec<support::TestAnswer> = running
        .into_iter()
        .map(|r| r.join().expect("it ends").expect("it is answered"))
        .collect();
    let served = responses.iter().filter(|a| a.status == 200).count();
    let refused: Vec<_> = responses.iter().filter(|a| a.status == 503).collect();
    assert_eq!(served + refused.len(), 8);
    assert!(served >= 2 && !refused.is_empty());
    for response in refused {
        assert_eq!(response.json()["error"]["ran"], "no");
        assert!(response.retry_after.is_some());
    }
}

/// Sends bytes on a new connection, with a pause after each part, and reads the response.
fn send_raw(address: std::net::SocketAddr, parts: &[&[u8]], pause: std::time::Duration) -> String {
    use std::io::{Read as _, Write as _};
    let mut socket = std::net::TcpStream::connect(address).expect("it connects");
    socket
        .set_read_timeout(Some(support::TIMEOUT))
        .expect("the timeout is set");
    for part in parts {
        let _ = socket.write_all(part);
        std::thread::sleep(pause);
    }
    let mut response = Vec::new();
    let mut piece = [0; 4096];
    while let Ok(count) = socket.read(&mut piece) {
        response.extend_from_slice(&piece[..count]);
        // The connection may stay open after an error, whose JSON ends with two braces.
        if count == 0 || response.ends_with(b"}}") {
            break;
        }
    }
    String::from_utf8_lossy(&response).into_owned()
}

#[test]
fn bad_heads_slow_callers_and_too_many_connections_are_told_and_counted() {
    let mut fleet = support::ProcessFleet::start(&support::FleetSize {
        engines: 1,
        ..support::FleetSize::default()
    });
    let gateway = fleet.start_gateway_with(5, |config| {
        config["callers"]["limits"] = serde_json::json!({
            "body_timeout_ms": 1000, "head_timeout_ms": 2000, "connections": 6, "line_bytes": 200,
        });
    });
    fleet.gateways.push(gateway);
    fleet.wait_ready();
    let address = fleet.gateways[2].address("callers");
    let none = std::time::Duration::ZERO;
    let key = format!("host: x\r\nauthorization: Bearer {}\r\n", support::KEY);
    let large = format!(
        "GET /v1/models HTTP/1.1\r\n{key}x-large: {}\r\n\r\n",
        "y".repeat(40_000)
    );
    let response = send_raw(address, &[large.as_bytes()], none);
    assert!(
        response.starts_with("HTTP/1.1 413") && response.contains("too_large"),
        "{response}"
    );
    let slow = format!("POST /v1/completions HTTP/1.1\r\n{key}content-length: 100\r\n\r\n{{");
    let response = send_raw(address, &[slow.as_bytes()], none);
    assert!(
        response.starts_with("HTTP/1.1 408") && response.contains("request_timeout"),
        "{response}"
    );
    let pause = std::time::Duration::from_millis(2500);
    let response = send_raw(
        address,
        &[b"GET /v1/models HTTP/1.1\r\nhost:", b" x\r\n"],
        pause,
    );
    assert!(response.starts_with("HTTP/1.1 408"), "{response}");
    let long = format!("{{\"custom_id\":\"{}\"}}\n", "z".repeat(300));
    let caller = fleet.caller(2);
    let upload = std::panic::catch_unwind(|| caller.upload(&long));
    assert!(upload.is_err(), "a long line is refused");
    // `connection: close`, so that reading a successful response does not wait for the timeout.
    let request = format!("GET /v1/models HTTP/1.1\r\n{key}connection: close\r\n\r\n");
    support::wait_for("a further connection is refused", || {
        // A connection without a request head is closed after the head timeout, so each try opens
        // the maximum number of connections again. They count once the gateway has accepted them.
        let connect = || std::net::TcpStream::connect(address).expect("it connects");
        let open: Vec<_> = std::iter::repeat_with(connect).take(6).collect();
        let response = send_raw(address, &[request.as_bytes()], none);
        drop(open);
        (response.starts_with("HTTP/1.1 503") && response.contains("too many connections"))
            .then_some(())
    });
    support::wait_for("the refusals are counted", || {
        let metrics = fleet
            .caller(2)
            .send(Method::GET, "/metrics", &[], Vec::new())
            .ok()?;
        let text = String::from_utf8_lossy(&metrics.body).into_owned();
        let counted = [
            "too_large",
            "request_timeout",
            "overloaded",
            "invalid_request",
        ];
        let unserved = text
            .lines()
            .find_map(|l| l.strip_prefix("jayhollow_unserved_connections_total "))
            .is_some_and(|n| n != "0");
        let all = unserved
            && counted
                .iter()
                .all(|c| text.contains(&format!("code=\"{c}\"")));
        all.then_some(())
    });
}
