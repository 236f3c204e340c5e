//! The figures of the measuring tool, on records made by hand.
#![allow(dead_code, reason = "a part of the tool is tested")]

#[path = "../bench/load_records.rs"]
mod load_records;
#[path = "../bench/over_admission.rs"]
mod over_admission;
#[path = "../bench/request_kind.rs"]
mod request_kind;
#[path = "../bench/request_record.rs"]
mod request_record;
#[path = "../bench/sick_watch.rs"]
mod sick_watch;

use std::time::Duration;

use load_records::LoadRecords;
use over_admission::worst_excess;
use request_kind::RequestKind;
use request_record::{RequestOutcome, RequestRecord};
use sick_watch::SickWatch;

const RATE: u64 = 10;
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

/// A request every 100 ms for 10 s, answered by ten instances in turn.
fn steady() -> Vec<RequestRecord> {
    let record = |step: u64| {
        let instance = format!("i{}", step % 10);
        record(step * 100, RequestOutcome::Answered, &instance)
    };
    (0..100).map(record).collect()
}

#[test]
fn excess_found() {
    let mut records = steady();
    for extra in 0..8 {
        records.push(record(5_000 + extra, RequestOutcome::Answered, "i1"));
    }
    let excess = worst_excess(&LoadRecords(records), 0, RATE, BURST);
    assert!(excess > 2.5 && excess <= 5.0, "{excess}");
}

#[test]
fn within_rate() {
    let mut records = steady();
    for refused in 0..50 {
        records.push(record(5_000 + refused, RequestOutcome::OverRate, "i1"));
    }
    let excess = worst_excess(&LoadRecords(records), 0, RATE, BURST);
    assert!(excess <= 0.0, "{excess}");
}

fn detection(records: Vec<RequestRecord>) -> Option<Duration> {
    let watch = SickWatch {
        records: &LoadRecords(records),
        instance: "i3",
        instances: 10,
        from: Duration::from_secs(1),
        until: Duration::from_secs(9),
        slow: Duration::from_millis(500),
    };
    watch.detection()
}

#[test]
fn sick_until_ejected() {
    let mut records = steady();
    let ejected = Duration::from_secs(4);
    records.retain(|record| record.intended < ejected || record.instance.as_deref() != Some("i3"));
    for extra in 0..30 {
        records.push(record(1_000 + extra * 100, RequestOutcome::Answered, "i3"));
    }
    let found = detection(records).unwrap();
    assert!(
        found > Duration::from_millis(2_500) && found < Duration::from_secs(3),
        "{found:?}"
    );
}

#[test]
fn never_detected() {
    let mut records = steady();
    for extra in 0..80 {
        records.push(record(1_000 + extra * 100, RequestOutcome::Lost, "i3"));
    }
    assert_eq!(detection(records), None);
}
