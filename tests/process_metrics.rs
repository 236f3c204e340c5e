//! Compares docs/METRICS.md with the metrics that a daemon process serves.

mod common;

use std::collections::BTreeSet;
use std::time::Duration;

use common::{CallerClient, DeskFleet};
use wagtailtrack::config::ConfirmationSource;
use wagtailtrack::metrics::{MetricsExport, MetricsSnapshot};

const TABLE: &str = include_str!("../docs/METRICS.md");

/// Metric names in the first column of the table.
fn documented() -> BTreeSet<String> {
    let rows = TABLE.lines().filter_map(|line| line.strip_prefix("| `"));
    rows.filter_map(|row| row.split('`').next())
        .map(str::to_owned)
        .collect()
}

/// Metric names in the output, without those that the exporter adds itself.
fn served(metrics: &str) -> BTreeSet<String> {
    let types = metrics
        .lines()
        .filter_map(|line| line.strip_prefix("# TYPE "));
    types
        .filter_map(|line| line.split(' ').next())
        .filter(|name| !name.starts_with("target_info") && !name.starts_with("otel_scope"))
        .map(str::to_owned)
        .collect()
}

/// Guards against a metric that is served but not documented, or documented but not served.
#[actix_rt::test]
async fn documented_metrics() {
    let desk = DeskFleet::open("metrics-described", 1).await;
    desk.file(0, "one").await.unwrap();
    let admin = CallerClient::open(desk.fleet.daemons[0].admin());
    let metrics = admin.get("/metrics").await.unwrap().text();
    assert_eq!(served(&metrics), documented(), "{metrics}");
}

/// Guards against a series of a former source that is served on, so that a daemon seems to hear of the
/// configuration from two sources.
#[test]
fn one_configuration_source() {
    let export = MetricsExport::open().unwrap();
    let text = |source| {
        let snapshot = MetricsSnapshot {
            configuration_source: source,
            configuration_age: Some(Duration::from_millis(1_500)),
            ..MetricsSnapshot::default()
        };
        export.text(snapshot)
    };
    let peer = ConfirmationSource::Peer(([10, 0, 0, 1], 7000).into());
    text(Some(ConfirmationSource::Store));
    let metrics = text(Some(peer));
    let mut lines = metrics.lines();
    let sources = lines
        .clone()
        .filter(|line| line.starts_with("configuration_source{"));
    let sources: Vec<_> = sources.collect();
    assert_eq!(sources.len(), 1, "{sources:?}");
    assert!(
        sources[0].contains("peer=\"10.0.0.1:7000\"") && sources[0].contains("source=\"peer\"")
    );
    assert!(
        lines.any(|line| line.starts_with("configuration_age_seconds") && line.ends_with(" 1.5"))
    );
}

/// Guards against durations that are recorded not at all or twice per request, in another unit than
/// seconds, or without the documented labels.
#[actix_rt::test]
async fn counted_durations() {
    let desk = DeskFleet::open("metrics-durations", 1).await;
    for tag in ["one", "two", "three"] {
        desk.file(0, tag).await.unwrap();
    }
    let admin = CallerClient::open(desk.fleet.daemons[0].admin());
    let metrics = admin.get("/metrics").await.unwrap().text();
    let value = |name: &str, label: &str| {
        let line = metrics
            .lines()
            .find(|line| line.starts_with(name) && line.contains(label));
        let line = line.unwrap_or_else(|| panic!("no {name} with {label}: {metrics}"));
        let value = line.rsplit(' ').next().unwrap();
        value.parse::<f64>().unwrap()
    };
    let filings = "class=\"filing\"";
    assert!((value("instance_duration_seconds_count", filings) - 3.0).abs() < 0.1);
    assert!(value("instance_duration_seconds_sum", filings) < 60.0);
    assert!(value("request_duration_seconds_count", "verdict=\"ran\"") >= 3.0);
    assert!(value("rate_wait_seconds_count", "admitted=\"true\"") >= 3.0);
    assert!(value("platform_call_duration_seconds_count", "call=\"scan\"") >= 1.0);
}
