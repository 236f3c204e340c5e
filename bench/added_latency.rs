//! Latency that ingress and egress add.

use std::net::SocketAddr;
use std::time::Duration;

use crate::load_records::LoadRecords;
use crate::load_run::run_for;
use crate::load_stream::LoadStream;
use crate::measure_bench::MeasureBench;
use crate::measure_row::MeasureRow;
use crate::request_kind::DESK;
use crate::request_record::RequestRecord;

const MEASURE: &str = "added latency";
/// The two ways take turns, so that both meet the same disturbances of the machine.
const TURNS: u64 = 3;
const TURN: Duration = Duration::from_secs(2);
const UNLOADED_PART: f64 = 0.1;
const LOADED_PART: f64 = 0.7;
const AIM_MILLIS: f64 = 3.0;
const QUANTILE: f64 = 0.99;

/// Measures the time beside the service, through the fleet and straight, at two loads.
pub async fn measure(bench: &MeasureBench) -> Vec<MeasureRow> {
    let mut rows = Vec::new();
    for (case, part) in [
        ("unloaded", UNLOADED_PART),
        ("at 70% of slots", LOADED_PART),
    ] {
        let (mut through, mut straight) = (LoadRecords::default(), LoadRecords::default());
        for turn in 0..TURNS {
            let seed = bench.seed + turn;
            through.extend(run_for(bench.streams(part), seed, TURN).await);
            straight.extend(run_for(straight_streams(bench, part), seed, TURN).await);
        }
        through.tell_reasons(case);
        rows.push(row(case, &through, &straight));
    }
    rows
}

fn row(case: &str, through: &LoadRecords, straight: &LoadRecords) -> MeasureRow {
    let of = |records: &LoadRecords| records.quantile_millis(QUANTILE, RequestRecord::overhead);
    let (via, direct) = (of(through), of(straight));
    let median = through.quantile_millis(0.5, RequestRecord::overhead);
    let note = format!(
        "through {via:.2} ms, median {median:.2} ms; straight {direct:.2} ms; {}; straight {}",
        through.summary(),
        straight.summary()
    );
    MeasureRow::at_most(MEASURE, case, via - direct, "ms at p99", AIM_MILLIS).with_note(note)
}

/// The same streams, sent to the instances themselves.
fn straight_streams(bench: &MeasureBench, part: f64) -> Vec<LoadStream> {
    let mut streams = bench.streams(part);
    for stream in &mut streams {
        stream.secret.clear();
        stream.targets = instances_of(bench, stream.kind.service());
    }
    streams
}

fn instances_of(bench: &MeasureBench, service: &str) -> Vec<SocketAddr> {
    let desks = bench.shape.desks();
    let backends = match service {
        DESK => &bench.fleet.backends[..desks],
        _ => &bench.fleet.backends[desks..bench.shape.instances()],
    };
    backends.iter().map(|backend| backend.address).collect()
}
