//! Metrics by `opentelemetry`, in the Prometheus text format.

mod metrics_export;

pub use metrics_export::{MetricsExport, MetricsSources};
