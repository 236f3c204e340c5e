//! Measures the time until a faulty instance gets no more new requests.

use std::time::Duration;

use actix_rt::time::sleep;

use crate::bench_fixture::{BenchFixture, SERVICE_TIME, instance_name};
use crate::fault_detection::FaultDetection;
use crate::load_records::LoadRecords;
use crate::load_run::LoadRun;
use crate::measure_row::MeasureRow;
use crate::request_kind::DESK;

const MEASURE: &str = "detection time";
const LOAD_FRACTION: f64 = 0.5;
const WARM_UP: Duration = Duration::from_secs(2);
const FAULT_DURATION: Duration = Duration::from_secs(8);
const PAUSE: Duration = Duration::from_secs(1);
const AIM_MEDIAN_SECONDS: f64 = 2.0;
const AIM_WORST_SECONDS: f64 = 5.0;
/// A response counts as delayed by the fault beyond this multiple of the service time.
const SLOW_TIMES: u32 = 5;

/// The injected faults: name in the report, and JSON for the simulated backend server.
const FAULTS: [(&str, &str); 5] = [
    ("10x slow", "{\"slow\":10}"),
    ("wrong", "\"wrong\""),
    ("failing 30%", "{\"failing\":\"30%\"}"),
    ("frozen", "\"frozen\""),
    ("flapping 2 s", "{\"flapping\":\"2s\"}"),
];

/// Period in which one instance is faulty; times count from the start of the load.
struct FaultInterval {
    name: &'static str,
    instance: usize,
    from: Duration,
    until: Duration,
}

/// Injects each fault into another instance of one service, in sequence, at half load.
pub async fn measure(fixture: &BenchFixture) -> Vec<MeasureRow> {
    let run = LoadRun::spawn(fixture.streams(LOAD_FRACTION), fixture.seed);
    sleep(WARM_UP).await;
    let mut intervals = Vec::new();
    for (index, (name, fault)) in FAULTS.into_iter().enumerate() {
        let instance = first_faulty_instance(fixture) + index;
        let from = run.elapsed();
        fixture.fleet.backends[instance].fault(fault).await;
        sleep(FAULT_DURATION).await;
        let until = run.elapsed();
        fixture.fleet.backends[instance].fault("\"normal\"").await;
        sleep(PAUSE).await;
        intervals.push(FaultInterval {
            name,
            instance,
            from,
            until,
        });
    }
    let records = run.stop().await;
    let records = records.filtered(|record| record.kind.service() == DESK);
    let mut rows: Vec<MeasureRow> = Vec::new();
    let times: Vec<f64> = intervals
        .iter()
        .map(|interval| detection_seconds(fixture, &records, interval))
        .collect();
    for (interval, seconds) in intervals.iter().zip(&times) {
        let row = MeasureRow::at_most(MEASURE, interval.name, *seconds, "s", AIM_WORST_SECONDS);
        let seen = records.between(interval.from, interval.until);
        seen.print_failures(interval.name);
        rows.push(row.with_note(seen.summary()));
    }
    let median = median(times);
    rows.push(MeasureRow::at_most(
        MEASURE,
        "median of all",
        median,
        "s",
        AIM_MEDIAN_SECONDS,
    ));
    rows
}

/// Index of the first faulty instance, which depends on the seed.
fn first_faulty_instance(fixture: &BenchFixture) -> usize {
    let choices = fixture.shape.desk_instances() - FAULTS.len();
    fixture.seed as usize % choices
}

/// Seconds until the fault is detected; infinite if it never is.
fn detection_seconds(
    fixture: &BenchFixture,
    records: &LoadRecords,
    interval: &FaultInterval,
) -> f64 {
    let detection = FaultDetection {
        records,
        instance: &instance_name(interval.instance),
        instances: fixture.shape.desk_instances(),
        from: interval.from,
        until: interval.until,
        slow_threshold: SERVICE_TIME * SLOW_TIMES,
    };
    let found = detection.delay();
    found.map_or(f64::INFINITY, |time| time.as_secs_f64())
}

fn median(mut times: Vec<f64>) -> f64 {
    times.sort_by(f64::total_cmp);
    times[times.len() / 2]
}
