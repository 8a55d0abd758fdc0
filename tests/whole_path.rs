//! The whole path over separate processes: whole, streamed, plain, batch.

mod support;

use actix_http::Method;
use jayhollow::smoke;

#[test]
fn serves_every_kind_of_request() {
    let fleet = support::ProcessFleet::start(&support::FleetSize::default());
    for gateway in 0..2 {
        let caller = fleet.caller(gateway);
        let content = format!("note {gateway}");
        let answer = caller.post("/v1/chat/completions", support::chat(&content, 8, false));
        let answer = answer.expect("it is answered");
        let text = answer["choices"][0]["message"]["content"].as_str();
        assert_eq!(text, Some(smoke::expected_answer(&content, 8).as_str()));
        let (text, whole) = caller.stream(&content, 8).expect("it is streamed");
        assert_eq!((text, whole), (smoke::expected_answer(&content, 8), true));
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
    let stranger = support::TestClient::new(fleet.gateways[0].address("callers"), "wrong");
    let post = |client: &support::TestClient, path: &str, body: &[u8]| {
        let answer = client
            .send(Method::POST, path, &[], body.to_vec())
            .expect("it is answered");
        (answer.status, answer.json()["error"].clone())
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
        assert_eq!(post(&stranger, path, body).1["code"], "invalid_api_key");
    }
    let deep = "[".repeat(100_000);
    assert_eq!(post(&caller, "/v1/completions", deep.as_bytes()).0, 400);
    let large = vec![b' '; 5 << 20];
    assert_eq!(post(&caller, "/v1/completions", &large).0, 413);
}
