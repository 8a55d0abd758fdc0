//! Histograms and tables of the benches.

use std::time;

/// Largest time that is told apart, in microseconds.
const MAX_US: u64 = 120_000_000;

/// Times of one kind.
#[derive(Clone)]
pub struct TimeSeries(hdrhistogram::Histogram<u64>);

impl Default for TimeSeries {
    fn default() -> Self {
        let histogram = hdrhistogram::Histogram::new_with_bounds(1, MAX_US, 3);
        Self(histogram.expect("the bounds are valid"))
    }
}

impl TimeSeries {
    /// Adds a time.
    pub fn add(&mut self, duration: time::Duration) {
        let us = (duration.as_micros() as u64).clamp(1, MAX_US);
        self.0.saturating_record(us);
    }

    /// Adds all times of another series.
    pub fn merge(&mut self, other: &Self) {
        // Both have the same bounds.
        let _ = self.0.add(&other.0);
    }

    /// The time that a share of the times does not exceed, in milliseconds.
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        self.0.value_at_quantile(quantile) as f64 / 1000.0
    }

    /// How many times there are.
    pub fn len(&self) -> u64 {
        self.0.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The usual quantiles as JSON, in milliseconds.
    pub fn json(&self) -> serde_json::Value {
        serde_json::json!({
            "count": self.len(),
            "p50_ms": self.quantile_ms(0.50),
            "p95_ms": self.quantile_ms(0.95),
            "p99_ms": self.quantile_ms(0.99),
        })
    }
}

/// Prints rows as a table.
pub fn print_table(header: &[&str], rows: &[Vec<String>]) {
    let mut table = comfy_table::Table::new();
    table.load_preset(comfy_table::presets::ASCII_MARKDOWN);
    table.set_header(header.to_vec());
    for row in rows {
        table.add_row(row.clone());
    }
    println!("{table}");
}

/// A number with two digits behind the point.
pub fn two(value: f64) -> String {
    format!("{value:.2}")
}
