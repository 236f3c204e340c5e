//! What a daemon spends.

use std::time::Duration;

use actix_rt::time::sleep;

use crate::load_run::LoadRun;
use crate::measure_bench::MeasureBench;
use crate::measure_row::MeasureRow;
use crate::process_usage::ProcessUsage;

const MEASURE: &str = "control cost";
const LENGTH: Duration = Duration::from_secs(8);
const HALF: f64 = 0.5;
const AIM_CORE_PERCENT: f64 = 2.7;
const AIM_MEBIBYTES: f64 = 32.0;
const BYTES_PER_MEBIBYTE: f64 = 1024.0 * 1024.0;

/// Reads processor time and memory of every daemon, idle and at half load.
pub async fn measure(bench: &MeasureBench) -> Vec<MeasureRow> {
    let idle = spent(bench).await;
    let run = LoadRun::spawn(bench.streams(HALF), bench.seed);
    sleep(Duration::from_secs(1)).await;
    let loaded = spent(bench).await;
    let summary = run.stop().await.summary();
    vec![
        MeasureRow::at_most(
            MEASURE,
            "idle, busiest",
            idle.0,
            "% of a core",
            AIM_CORE_PERCENT,
        ),
        MeasureRow::at_most(MEASURE, "idle, largest", idle.1, "MiB", AIM_MEBIBYTES),
        MeasureRow::told(MEASURE, "half load, busiest", loaded.0, "% of a core")
            .with_note(format!("with the requests themselves; {summary}")),
        MeasureRow::at_most(
            MEASURE,
            "half load, largest",
            loaded.1,
            "MiB",
            AIM_MEBIBYTES,
        ),
    ]
}

/// The most processor time, in percent of a core, and the most memory, in MiB.
async fn spent(bench: &MeasureBench) -> (f64, f64) {
    let before = readings(bench);
    sleep(LENGTH).await;
    let after = readings(bench);
    let busiest = before
        .iter()
        .zip(&after)
        .map(|(before, after)| 100.0 * after.core_part(before))
        .fold(0.0, f64::max);
    let largest = after
        .iter()
        .map(|usage| usage.resident_bytes as f64 / BYTES_PER_MEBIBYTE)
        .fold(0.0, f64::max);
    (busiest, largest)
}

fn readings(bench: &MeasureBench) -> Vec<ProcessUsage> {
    let daemons = bench.fleet.daemons.iter();
    daemons
        .filter_map(|daemon| ProcessUsage::read(daemon.process.pid()))
        .collect()
}
