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
    let aim = AIM_CORE_PERCENT;
    vec![
        MeasureRow::at_most(MEASURE, "idle, busiest", idle.busiest, "% of a core", aim)
            .with_note(idle.words()),
        MeasureRow::at_most(MEASURE, "idle, largest", idle.largest, "MiB", AIM_MEBIBYTES),
        MeasureRow::told(MEASURE, "half load, busiest", loaded.busiest, "% of a core").with_note(
            format!(
                "with the requests themselves; {}; {summary}",
                loaded.words()
            ),
        ),
        MeasureRow::at_most(
            MEASURE,
            "half load, largest",
            loaded.largest,
            "MiB",
            AIM_MEBIBYTES,
        ),
    ]
}

/// What the daemons spent.
struct FleetSpending {
    busiest: f64,
    mean: f64,
    wakeups: f64,
    largest: f64,
}

impl FleetSpending {
    fn words(&self) -> String {
        format!(
            "mean {:.2} % of a core, {:.0} wakeups a second",
            self.mean, self.wakeups
        )
    }
}

async fn spent(bench: &MeasureBench) -> FleetSpending {
    let before = readings(bench);
    sleep(LENGTH).await;
    let after = readings(bench);
    let pairs = || before.iter().zip(&after);
    let count = after.len() as f64;
    let parts: Vec<f64> = pairs()
        .map(|(before, after)| 100.0 * after.core_part(before))
        .collect();
    let waits: u64 = pairs()
        .map(|(before, after)| after.waits - before.waits)
        .sum();
    let sizes = after.iter().map(|usage| usage.resident_bytes as f64);
    FleetSpending {
        busiest: parts.iter().copied().fold(0.0, f64::max),
        mean: parts.iter().sum::<f64>() / count,
        wakeups: waits as f64 / count / LENGTH.as_secs_f64(),
        largest: sizes.fold(0.0, f64::max) / BYTES_PER_MEBIBYTE,
    }
}

fn readings(bench: &MeasureBench) -> Vec<ProcessUsage> {
    let daemons = bench.fleet.daemons.iter();
    daemons
        .filter_map(|daemon| ProcessUsage::read(daemon.process.pid()))
        .collect()
}
