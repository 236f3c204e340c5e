//! Counters, gauges and histograms of the daemon, exported in the Prometheus text format.

mod duration_metrics;
mod metrics_export;

pub use duration_metrics::DurationMetrics;
pub use metrics_export::{MetricsExport, MetricsSnapshot};
