//! Tests the benchmark tool's statistics on hand-made request records.
#![allow(dead_code, reason = "the tests use only some functions of the tool")]

#[path = "../bench/fault_detection.rs"]
mod fault_detection;
#[path = "../bench/load_records.rs"]
mod load_records;
#[path = "../bench/over_admission.rs"]
mod over_admission;
#[path = "../bench/request_kind.rs"]
mod request_kind;
#[path = "../bench/request_record.rs"]
mod request_record;

use std::time::Duration;

use fault_detection::FaultDetection;
use load_records::LoadRecords;
use over_admission::worst_excess;
use request_kind::RequestKind;
use request_record::{RequestOutcome, RequestRecord};

/// Requests per second.
const RATE: u64 = 10;
/// Requests.
const BURST: u64 = 5;

fn record(sent_millis: u64, outcome: RequestOutcome, instance: &str) -> RequestRecord {
    RequestRecord {
        account: 0,
        kind: RequestKind::Lookup,
        intended: Duration::from_millis(sent_millis),
        lag: Duration::ZERO,
        ended: Duration::from_millis(sent_millis + 1),
        service: Duration::ZERO,
        outcome,
        instance: Some(instance.to_owned()),
        reason: String::new(),
    }
}

/// One request every 100 ms for 10 s, answered by ten instances in rotation.
fn steady_records() -> Vec<RequestRecord> {
    let record = |step: u64| {
        let instance = format!("i{}", step % 10);
        record(step * 100, RequestOutcome::Answered, &instance)
    };
    (0..100).map(record).collect()
}

#[test]
fn excess_found() {
    let mut records = steady_records();
    for extra in 0..8 {
        records.push(record(5_000 + extra, RequestOutcome::Answered, "i1"));
    }
    let excess = worst_excess(&LoadRecords(records), 0, RATE, BURST);
    assert!(excess > 2.5 && excess <= 5.0, "{excess}");
}

#[test]
fn within_rate() {
    let mut records = steady_records();
    for refused in 0..50 {
        records.push(record(5_000 + refused, RequestOutcome::OverRate, "i1"));
    }
    let excess = worst_excess(&LoadRecords(records), 0, RATE, BURST);
    assert!(excess <= 0.0, "{excess}");
}

/// Detection delay of a fault of `i3` that is injected at 1 s and removed at 9 s.
fn detection_delay(records: Vec<RequestRecord>) -> Option<Duration> {
    let detection = FaultDetection {
        records: &LoadRecords(records),
        instance: "i3",
        instances: 10,
        from: Duration::from_secs(1),
        until: Duration::from_secs(9),
        slow_threshold: Duration::from_millis(500),
    };
    detection.delay()
}

#[test]
fn detected_at_ejection() {
    let mut records = steady_records();
    let ejected = Duration::from_secs(4);
    records.retain(|record| record.intended < ejected || record.instance.as_deref() != Some("i3"));
    for extra in 0..30 {
        records.push(record(1_000 + extra * 100, RequestOutcome::Answered, "i3"));
    }
    let delay = detection_delay(records).unwrap();
    assert!(
        delay > Duration::from_millis(2_500) && delay < Duration::from_secs(3),
        "{delay:?}"
    );
}

#[test]
fn never_detected() {
    let mut records = steady_records();
    for extra in 0..80 {
        records.push(record(1_000 + extra * 100, RequestOutcome::Lost, "i3"));
    }
    assert_eq!(detection_delay(records), None);
}
