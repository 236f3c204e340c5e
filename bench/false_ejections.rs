//! Measures how many healthy instances are ejected under adverse conditions.

use std::time::Duration;

use actix_rt::time::sleep;

use crate::bench_fixture::BenchFixture;
use crate::common::BackendPlan;
use crate::ejection_watch::EjectionWatch;
use crate::load_run::LoadRun;
use crate::measure_row::MeasureRow;
use crate::request_kind::DESK;

const MEASURE: &str = "false ejections";
const OBSERVATION: Duration = Duration::from_secs(6);
const HALF_LOAD: f64 = 0.5;
const OVERLOAD: f64 = 1.5;
const LIGHT_LOAD: f64 = 0.25;
/// Index of the daemon whose ingress is paused.
const PAUSED_INGRESS: usize = 1;
const PAUSE: Duration = Duration::from_secs(3);
const COLD_INSTANCES: usize = 3;

/// Conditions under which healthy instances may look unhealthy.
#[derive(Debug, Clone, Copy)]
enum StressScenario {
    Overload,
    StoreOutage,
    IngressPaused,
    ColdStarts,
    SlowService,
}

impl StressScenario {
    const ALL: [Self; 5] = [
        Self::Overload,
        Self::StoreOutage,
        Self::IngressPaused,
        Self::ColdStarts,
        Self::SlowService,
    ];

    const fn name(self) -> &'static str {
        match self {
            Self::Overload => "overload",
            Self::StoreOutage => "store outage",
            Self::IngressPaused => "one ingress paused",
            Self::ColdStarts => "cold starts",
            Self::SlowService => "whole service 3x slow",
        }
    }

    /// Load, as a fraction of the capacity.
    const fn fraction(self) -> f64 {
        match self {
            Self::Overload => OVERLOAD,
            Self::SlowService => LIGHT_LOAD,
            Self::StoreOutage | Self::IngressPaused | Self::ColdStarts => HALF_LOAD,
        }
    }
}

/// Counts the ejected instances in each scenario; all instances are healthy in each.
pub async fn measure(fixture: &mut BenchFixture) -> Vec<MeasureRow> {
    let mut rows = Vec::new();
    for scenario in StressScenario::ALL {
        fixture.reset().await;
        let run = LoadRun::spawn(fixture.streams(scenario.fraction()), fixture.seed);
        sleep(Duration::from_secs(1)).await;
        let watch = EjectionWatch::spawn(&fixture.fleet);
        create_conditions(fixture, scenario).await;
        sleep(OBSERVATION).await;
        let (seen, dumps) = watch.stop();
        let records = run.stop().await;
        records.print_failures(scenario.name());
        let summary = records.summary();
        let mut names: Vec<String> = seen.into_iter().collect();
        names.sort();
        let row = MeasureRow::at_most(
            MEASURE,
            scenario.name(),
            names.len() as f64,
            "instances",
            0.0,
        );
        let names = names.join(" ");
        rows.push(row.with_note(format!("{names}; {dumps} dumps; {summary}")));
    }
    fixture.reset().await;
    rows
}

async fn create_conditions(fixture: &mut BenchFixture, scenario: StressScenario) {
    match scenario {
        StressScenario::Overload => {}
        StressScenario::StoreOutage => fixture.fleet.platform_mode("\"down\"").await,
        StressScenario::IngressPaused => {
            let ingress = &fixture.fleet.daemons[PAUSED_INGRESS].process;
            ingress.pause();
            sleep(PAUSE).await;
            ingress.resume();
        }
        StressScenario::ColdStarts => {
            for index in 0..COLD_INSTANCES {
                start_cold_instance(fixture, index).await;
            }
        }
        StressScenario::SlowService => {
            for backend in &fixture.fleet.backends[..fixture.shape.desk_instances()] {
                backend.fault("{\"slow\":3}").await;
            }
        }
    }
}

/// Adds an instance with the local daemon `index` that is slow until it has warmed up.
async fn start_cold_instance(fixture: &mut BenchFixture, index: usize) {
    let name = format!("cold{}", index + 1);
    let cold = ["--starting", "500ms", "--cold", "4s"];
    let plan = BackendPlan {
        slots: fixture.shape.slots(),
        service_time: "40ms".to_owned(),
        extra: cold.map(str::to_owned).to_vec(),
        ..BackendPlan::new(DESK, &name)
    };
    fixture.fleet.add_backend(index, plan).await;
}
