//! Measures the processor time, memory and gossip traffic of the daemons.

use std::time::Duration;

use actix_rt::time::sleep;
use serde_json::Value;

use crate::bench_fixture::BenchFixture;
use crate::load_run::LoadRun;
use crate::measure_row::MeasureRow;
use crate::process_usage::ProcessUsage;

const MEASURE: &str = "control cost";
const SAMPLING_PERIOD: Duration = Duration::from_secs(8);
const HALF_LOAD: f64 = 0.5;
/// In percent of one core.
const AIM_CORE_PERCENT: f64 = 2.7;
const AIM_MEBIBYTES: f64 = 32.0;
/// In bytes per second.
const AIM_BYTES: f64 = 3.0 * 1024.0;
const BYTES_PER_MEBIBYTE: f64 = 1024.0 * 1024.0;

/// Measures the resource usage of every daemon, idle and at half load.
pub async fn measure(fixture: &BenchFixture) -> Vec<MeasureRow> {
    let idle = measure_usage(fixture).await;
    let run = LoadRun::spawn(fixture.streams(HALF_LOAD), fixture.seed);
    sleep(Duration::from_secs(1)).await;
    let loaded = measure_usage(fixture).await;
    let summary = run.stop().await.summary();
    let aim = AIM_CORE_PERCENT;
    vec![
        MeasureRow::at_most(MEASURE, "idle, busiest", idle.busiest, "% of a core", aim)
            .with_note(idle.summary()),
        MeasureRow::at_most(MEASURE, "idle, largest", idle.largest, "MiB", AIM_MEBIBYTES),
        MeasureRow::at_most(
            MEASURE,
            "idle, gossip sent, most",
            idle.gossip_bytes,
            "bytes a second",
            AIM_BYTES,
        )
        .with_note("datagrams alone; loans, grants and pulls over h2 are not counted"),
        MeasureRow::without_aim(MEASURE, "half load, busiest", loaded.busiest, "% of a core")
            .with_note(format!(
                "with the requests themselves; {}; {summary}",
                loaded.summary()
            )),
        MeasureRow::at_most(
            MEASURE,
            "half load, largest",
            loaded.largest,
            "MiB",
            AIM_MEBIBYTES,
        ),
    ]
}

/// Resource usage of the daemons over one measuring period.
struct FleetUsage {
    /// Processor time of the busiest daemon, in percent of one core.
    busiest: f64,
    /// Mean processor time of all daemons, in percent of one core.
    mean: f64,
    /// Mean voluntary context switches per second of all daemons.
    wakeups: f64,
    /// Resident memory of the largest daemon, in MiB.
    largest: f64,
    /// Gossip sent by the daemon that sends most, in bytes per second.
    gossip_bytes: f64,
}

impl FleetUsage {
    fn summary(&self) -> String {
        format!(
            "mean {:.2} % of a core, {:.0} wakeups a second",
            self.mean, self.wakeups
        )
    }
}

async fn measure_usage(fixture: &BenchFixture) -> FleetUsage {
    let (before, gossip_before) = (readings(fixture), gossip_sent(fixture).await);
    sleep(SAMPLING_PERIOD).await;
    let (after, gossip_after) = (readings(fixture), gossip_sent(fixture).await);
    let gossip = gossip_before.iter().zip(&gossip_after);
    let pairs = || before.iter().zip(&after);
    let count = after.len() as f64;
    let core_percents: Vec<f64> = pairs()
        .map(|(before, after)| 100.0 * after.core_fraction(before))
        .collect();
    let voluntary_switches: u64 = pairs()
        .map(|(before, after)| after.voluntary_switches - before.voluntary_switches)
        .sum();
    let sizes = after.iter().map(|usage| usage.resident_bytes as f64);
    FleetUsage {
        busiest: core_percents.iter().copied().fold(0.0, f64::max),
        mean: core_percents.iter().sum::<f64>() / count,
        wakeups: voluntary_switches as f64 / count / SAMPLING_PERIOD.as_secs_f64(),
        gossip_bytes: gossip
            .map(|(before, after)| (after - before) / SAMPLING_PERIOD.as_secs_f64())
            .fold(0.0, f64::max),
        largest: sizes.fold(0.0, f64::max) / BYTES_PER_MEBIBYTE,
    }
}

fn readings(fixture: &BenchFixture) -> Vec<ProcessUsage> {
    let daemons = fixture.fleet.daemons.iter();
    daemons
        .filter_map(|daemon| ProcessUsage::read(daemon.process.pid()))
        .collect()
}

/// Bytes of datagrams that each daemon has sent so far, read from its `/dump`; NaN if unavailable.
async fn gossip_sent(fixture: &BenchFixture) -> Vec<f64> {
    let mut sent = Vec::new();
    for daemon in &fixture.fleet.daemons {
        let answer = daemon.operator().get("/dump").await;
        let body = answer.map(|answer| answer.body).unwrap_or_default();
        let dump: Value = serde_json::from_slice(&body).unwrap_or_default();
        let bytes = dump["members"]["counters"]["sent_bytes"].as_f64();
        sent.push(bytes.unwrap_or(f64::NAN));
    }
    sent
}
