//! Metrics: the number of series is bounded, however many workspaces there are.

use std::{collections::BTreeSet, time};

use jayhollow::metrics;

#[test]
fn ten_thousand_workspaces_have_a_bounded_number_of_series() {
    let set = metrics::MetricSet::default();
    for number in 0..10_000 {
        let workspace = format!("workspace-{number}");
        let span = time::Duration::from_millis(number % 500);
        set.observe(&set.first_token, &workspace, "interactive", span);
    }
    let text = set.render();
    let label = |line: &str| {
        line.split("workspace=\"")
            .nth(1)?
            .split('"')
            .next()
            .map(str::to_owned)
    };
    let labels: BTreeSet<String> = text.lines().filter_map(label).collect();
    assert_eq!(labels.len(), metrics::MAX_WORKSPACE_LABELS + 1);
    assert!(labels.contains("other"));
}
