//! The stand-ins keep to the protocol that the system relies on.

use actix_http::Method;
use jayhollow::{
    http_client,
    standin::{engine, engine_model, engine_terms, objects},
};

async fn send(method: Method, url: String, body: serde_json::Value) -> (u16, serde_json::Value) {
    let client = http_client::new_client(0);
    let sent = client.request(method, url).send_json(&body).await;
    let mut response = sent.expect("it is answered");
    let status = response.status().as_u16();
    let body = response.body().await.expect("it is whole");
    (
        status,
        serde_json::from_slice(&body).unwrap_or(serde_json::Value::Null),
    )
}

#[test]
fn engines_export_and_import_their_cache() {
    let prompt = "a long prompt of a template ".repeat(40);
    let spec = engine_model::EngineSpec::default();
    let request = engine_model::SequenceRequest {
        prompt: prompt.clone(),
        first_token: 0,
        end_token: 1,
    };
    let mut first = engine_model::EngineModel::new(spec.clone());
    first.submit(&request);
    assert_eq!(first.cached_tokens, 0);
    let mut second = engine_model::EngineModel::new(spec);
    second.import(&first.export(&prompt));
    second.submit(&request);
    assert!(second.cached_tokens > 0, "the imported blocks are found");
}

#[test]
fn cache_events_come_with_gaps_and_orders_are_fenced() {
    let options = engine_terms::EngineOptions {
        event_gap: 3,
        checks_fencing: true,
        ..engine_terms::EngineOptions::default()
    };
    let server = engine::start("127.0.0.1:0", options).expect("it starts");
    let url = format!("http://{}", server.address);
    actix_rt::System::new().block_on(async {
        let blocks: Vec<u64> = (1..10).collect();
        let import = serde_json::json!({"blocks": blocks});
        assert_eq!(send(Method::POST, format!("{url}/kv/import"), import).await.0, 200);
        let none = serde_json::Value::Null;
        let (_, events) = send(Method::GET, format!("{url}/cache-events?after=2"), none).await;
        let numbers: Vec<u64> = events
            .as_array()
            .expect("events are listed")
            .iter()
            .filter_map(|e| e["number"].as_u64())
            .collect();
        assert_eq!(numbers, [4, 5, 7, 8]);
        let order = |fence: u64| serde_json::json!({"fence": fence, "version": "v", "adapters": null, "role": null});
        let orders = format!("{url}/orders");
        assert_eq!(send(Method::POST, orders.clone(), order(5)).await.0, 200);
        assert_eq!(send(Method::POST, orders, order(4)).await.0, 409);
    });
    server.stop(false).expect("it stops");
}

#[test]
fn the_list_of_endpoints_lags_and_large_values_are_refused() {
    let server = objects::start("127.0.0.1:0", Vec::new(), None).expect("it starts");
    let url = format!("http://{}", server.address);
    actix_rt::System::new().block_on(async {
        let lag = serde_json::json!({"list_lag_ms": 3_600_000});
        assert_eq!(
            send(Method::POST, format!("{url}/faults"), lag).await.0,
            200
        );
        let list = serde_json::json!([{
            "id": "e", "service": "s", "kind": "engine", "address": "127.0.0.1:1",
            "domain": "d", "state": "live",
        }]);
        let endpoints = format!("{url}/endpoints");
        assert_eq!(send(Method::POST, endpoints.clone(), list).await.0, 200);
        let none = serde_json::Value::Null;
        let (_, old) = send(Method::GET, endpoints.clone(), none.clone()).await;
        assert_eq!(old, serde_json::json!([]));
        assert_eq!(
            send(Method::POST, format!("{url}/faults"), serde_json::json!({}))
                .await
                .0,
            200
        );
        let (_, new) = send(Method::GET, endpoints, none).await;
        assert_eq!(new[0]["id"], "e");
        let large = serde_json::json!("x".repeat(objects::MAX_VALUE_BYTES));
        assert_eq!(
            send(Method::PUT, format!("{url}/objects/large"), large)
                .await
                .0,
            413
        );
    });
    server.stop(false).expect("it stops");
}
