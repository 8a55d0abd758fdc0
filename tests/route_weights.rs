//! Tests of the services among which requests and items of a route are drawn.

use std::collections::BTreeMap;

use jayhollow::serving::route_table;

fn route(weights: &[u32]) -> route_table::Route {
    let targets = weights.iter().enumerate().map(
        |(number, weight)| serde_json::json!({"service": format!("s-{number}"), "weight": weight}),
    );
    let millis = serde_json::json!({"secs": 1, "nanos": 0});
    let route = serde_json::json!({
        "name": "r", "host": "h", "prefix": "/", "kind": "Batch", "timeout": millis,
        "objective": millis, "gap_objective": null, "priority": 0,
        "targets": targets.collect::<Vec<_>>(), "max_attempts": 1,
        "completion_objective": millis, "retention": millis, "is_public": false,
    });
    serde_json::from_value(route).expect("valid route")
}

/// Items ran at a service of weight 0, as their draw counted it as 1.
#[rstest::rstest]
#[case::one(&[7], &[1.0])]
#[case::one_without_weight(&[0], &[1.0])]
#[case::no_share(&[100, 0], &[1.0, 0.0])]
#[case::no_share_first(&[0, 100, 0], &[0.0, 1.0, 0.0])]
#[case::split(&[25, 75], &[0.25, 0.75])]
#[case::all_without_weight(&[0, 0], &[1.0, 0.0])]
#[case::largest(&[u32::MAX, u32::MAX], &[0.5, 0.5])]
fn services_are_drawn_by_their_share(#[case] weights: &[u32], #[case] shares: &[f64]) {
    const DRAWS: usize = 4_000;

    let route = route(weights);
    let mut counts = BTreeMap::<String, usize>::new();
    for _ in 0..DRAWS {
        let service = route.draw_service().expect("a service");
        *counts.entry(service.to_string()).or_default() += 1;
    }
    for (number, share) in shares.iter().enumerate() {
        let name = format!("s-{number}");
        let count = counts.get(&name).copied().unwrap_or_default();
        let drawn = count as f64 / DRAWS as f64;
        assert!((drawn - share).abs() < 0.05, "{name}: {drawn} of {share}");
        let service = name.parse().expect("valid service name");
        assert_eq!(route.leads_to(&service), *share > 0.0, "{name}");
        assert!(count == 0 || *share > 0.0, "{name} has no share");
    }
}

#[test]
fn a_route_without_targets_has_no_service() {
    assert_eq!(route(&[]).draw_service(), None);
}
