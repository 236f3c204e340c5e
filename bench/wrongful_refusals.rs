//! Measures the requests refused for their rate although their account is within it.

use std::time::Duration;

use actix_rt::time::sleep;

use crate::bench_fixture::BenchFixture;
use crate::load_records::LoadRecords;
use crate::load_run::LoadRun;
use crate::load_stream::LoadStream;
use crate::measure_row::MeasureRow;
use crate::request_record::RequestOutcome;

const MEASURE: &str = "wrongful refusals";
const LOAD_FRACTION: f64 = 0.5;
const WARM_UP: Duration = Duration::from_secs(2);
const OBSERVATION: Duration = Duration::from_secs(10);
/// Index of the disturbed daemon, to which no requests are sent.
const DISTURBED: usize = 2;
const AIM_STEADY: f64 = 0.0;
const AIM_DISTURBED: f64 = 0.001;

/// Disturbance of the fleet during a measurement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RateDisturbance {
    Steady,
    HomeKilled,
    DaemonReplaced,
    StoreOutage,
}

impl RateDisturbance {
    const ALL: [Self; 4] = [
        Self::Steady,
        Self::HomeKilled,
        Self::DaemonReplaced,
        Self::StoreOutage,
    ];

    const fn name(self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::HomeKilled => "a daemon and home killed",
            Self::DaemonReplaced => "a daemon replaced",
            Self::StoreOutage => "store away",
        }
    }

    const fn aim(self) -> f64 {
        match self {
            Self::Steady => AIM_STEADY,
            _ => AIM_DISTURBED,
        }
    }
}

/// Counts requests refused for their rate while every account stays within its rate.
pub async fn measure(fixture: &mut BenchFixture) -> Vec<MeasureRow> {
    let mut rows = Vec::new();
    for disturbance in RateDisturbance::ALL {
        fixture.reset().await;
        let run = LoadRun::spawn(streams(fixture), fixture.seed);
        sleep(WARM_UP).await;
        let from = run.elapsed();
        disturb(fixture, disturbance).await;
        sleep(OBSERVATION).await;
        let until = from + OBSERVATION;
        let records = run.stop().await.between(from, until);
        records.print_failures(disturbance.name());
        rows.push(row(disturbance, &records));
        restore(fixture, disturbance).await;
    }
    rows
}

fn row(disturbance: RateDisturbance, records: &LoadRecords) -> MeasureRow {
    let refused = records.count(RequestOutcome::OverRate) as f64;
    let fraction = refused / records.len().max(1) as f64;
    let note = records.summary();
    MeasureRow::at_most(
        MEASURE,
        disturbance.name(),
        fraction,
        "of all",
        disturbance.aim(),
    )
    .with_note(note)
}

/// The streams of all accounts, to every daemon except the disturbed one.
fn streams(fixture: &BenchFixture) -> Vec<LoadStream> {
    let mut streams = fixture.streams(LOAD_FRACTION);
    for stream in &mut streams {
        stream.targets.remove(DISTURBED);
    }
    streams
}

async fn disturb(fixture: &mut BenchFixture, disturbance: RateDisturbance) {
    match disturbance {
        RateDisturbance::Steady => {}
        RateDisturbance::HomeKilled => fixture.fleet.daemons[DISTURBED].process.kill(),
        RateDisturbance::DaemonReplaced => {
            let daemon = &mut fixture.fleet.daemons[DISTURBED];
            daemon.process.terminate();
            daemon.process.ended().await;
            daemon.restart();
        }
        RateDisturbance::StoreOutage => fixture.fleet.platform_mode("\"down\"").await,
    }
}

async fn restore(fixture: &mut BenchFixture, disturbance: RateDisturbance) {
    match disturbance {
        RateDisturbance::Steady | RateDisturbance::DaemonReplaced => {}
        RateDisturbance::HomeKilled => {
            let daemon = &mut fixture.fleet.daemons[DISTURBED];
            daemon.restart();
            daemon.ready().await;
        }
        RateDisturbance::StoreOutage => fixture.fleet.platform_mode("\"up\"").await,
    }
}
