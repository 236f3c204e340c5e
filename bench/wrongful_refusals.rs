//! Requests refused for the rate although they were within it.

use std::time::Duration;

use actix_rt::time::sleep;

use crate::load_records::LoadRecords;
use crate::load_run::LoadRun;
use crate::load_stream::LoadStream;
use crate::measure_bench::MeasureBench;
use crate::measure_row::MeasureRow;
use crate::request_record::RequestOutcome;

const MEASURE: &str = "wrongful refusals";
const PART: f64 = 0.5;
const LEAD: Duration = Duration::from_secs(2);
const AFTER: Duration = Duration::from_secs(10);
const DISTURBED: usize = 2;
const AIM_STEADY: f64 = 0.0;
const AIM_DISTURBED: f64 = 0.001;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RateDisturbance {
    Steady,
    HomeKilled,
    DaemonReplaced,
    StoreAway,
}

impl RateDisturbance {
    const ALL: [Self; 4] = [
        Self::Steady,
        Self::HomeKilled,
        Self::DaemonReplaced,
        Self::StoreAway,
    ];

    const fn name(self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::HomeKilled => "a daemon and home killed",
            Self::DaemonReplaced => "a daemon replaced",
            Self::StoreAway => "store away",
        }
    }

    const fn aim(self) -> f64 {
        match self {
            Self::Steady => AIM_STEADY,
            _ => AIM_DISTURBED,
        }
    }
}

/// Counts refusals for the rate while every account stays within its own.
pub async fn measure(bench: &mut MeasureBench) -> Vec<MeasureRow> {
    let mut rows = Vec::new();
    for disturbance in RateDisturbance::ALL {
        bench.settle().await;
        let run = LoadRun::spawn(streams(bench), bench.seed);
        sleep(LEAD).await;
        let from = run.elapsed();
        disturb(bench, disturbance).await;
        sleep(AFTER).await;
        let until = from + AFTER;
        let records = run.stop().await.between(from, until);
        records.tell_reasons(disturbance.name());
        rows.push(row(disturbance, &records));
        restore(bench, disturbance).await;
    }
    rows
}

fn row(disturbance: RateDisturbance, records: &LoadRecords) -> MeasureRow {
    let refused = records.count(RequestOutcome::OverRate) as f64;
    let part = refused / records.len().max(1) as f64;
    let note = records.summary();
    MeasureRow::at_most(
        MEASURE,
        disturbance.name(),
        part,
        "of all",
        disturbance.aim(),
    )
    .with_note(note)
}

/// The load of all accounts to every daemon but the one disturbed.
fn streams(bench: &MeasureBench) -> Vec<LoadStream> {
    let mut streams = bench.streams(PART);
    for stream in &mut streams {
        stream.targets.remove(DISTURBED);
    }
    streams
}

async fn disturb(bench: &mut MeasureBench, disturbance: RateDisturbance) {
    match disturbance {
        RateDisturbance::Steady => {}
        RateDisturbance::HomeKilled => bench.fleet.daemons[DISTURBED].process.kill(),
        RateDisturbance::DaemonReplaced => {
            let daemon = &mut bench.fleet.daemons[DISTURBED];
            daemon.process.terminate();
            daemon.process.ended().await;
            daemon.restart();
        }
        RateDisturbance::StoreAway => bench.fleet.platform_mode("\"down\"").await,
    }
}

async fn restore(bench: &mut MeasureBench, disturbance: RateDisturbance) {
    match disturbance {
        RateDisturbance::Steady | RateDisturbance::DaemonReplaced => {}
        RateDisturbance::HomeKilled => {
            let daemon = &mut bench.fleet.daemons[DISTURBED];
            daemon.restart();
            daemon.ready().await;
        }
        RateDisturbance::StoreAway => bench.fleet.platform_mode("\"up\"").await,
    }
}
