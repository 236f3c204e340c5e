//! Healthy instances that were ejected.

use std::time::Duration;

use actix_rt::time::sleep;

use crate::common::BackendPlan;
use crate::ejection_watch::EjectionWatch;
use crate::load_run::LoadRun;
use crate::measure_bench::MeasureBench;
use crate::measure_row::MeasureRow;
use crate::request_kind::DESK;

const MEASURE: &str = "false ejections";
const LENGTH: Duration = Duration::from_secs(6);
const HALF: f64 = 0.5;
const OVERLOAD: f64 = 1.5;
const LIGHT: f64 = 0.25;
const PAUSED_INGRESS: usize = 1;
const PAUSE: Duration = Duration::from_secs(3);
const COLD_INSTANCES: usize = 3;

/// Five situations in which healthy instances look bad.
#[derive(Debug, Clone, Copy)]
enum HardSituation {
    Overload,
    StoreAway,
    IngressCut,
    ColdStarts,
    ServiceSlow,
}

impl HardSituation {
    const ALL: [Self; 5] = [
        Self::Overload,
        Self::StoreAway,
        Self::IngressCut,
        Self::ColdStarts,
        Self::ServiceSlow,
    ];

    const fn name(self) -> &'static str {
        match self {
            Self::Overload => "overload",
            Self::StoreAway => "store outage",
            Self::IngressCut => "one ingress paused",
            Self::ColdStarts => "cold starts",
            Self::ServiceSlow => "whole service 3x slow",
        }
    }

    const fn part(self) -> f64 {
        match self {
            Self::Overload => OVERLOAD,
            Self::ServiceSlow => LIGHT,
            Self::StoreAway | Self::IngressCut | Self::ColdStarts => HALF,
        }
    }
}

/// Counts the instances ejected in each situation, none of which is sick.
pub async fn measure(bench: &mut MeasureBench) -> Vec<MeasureRow> {
    let mut rows = Vec::new();
    for situation in HardSituation::ALL {
        bench.settle().await;
        let run = LoadRun::spawn(bench.streams(situation.part()), bench.seed);
        sleep(Duration::from_secs(1)).await;
        let watch = EjectionWatch::spawn(&bench.fleet);
        provoke(bench, situation).await;
        sleep(LENGTH).await;
        let (seen, dumps) = watch.stop();
        let records = run.stop().await;
        records.tell_reasons(situation.name());
        let summary = records.summary();
        let mut names: Vec<String> = seen.into_iter().collect();
        names.sort();
        let row = MeasureRow::at_most(
            MEASURE,
            situation.name(),
            names.len() as f64,
            "instances",
            0.0,
        );
        let names = names.join(" ");
        rows.push(row.with_note(format!("{names}; {dumps} dumps; {summary}")));
    }
    bench.settle().await;
    rows
}

async fn provoke(bench: &mut MeasureBench, situation: HardSituation) {
    match situation {
        HardSituation::Overload => {}
        HardSituation::StoreAway => bench.fleet.platform_mode("\"down\"").await,
        HardSituation::IngressCut => {
            let ingress = &bench.fleet.daemons[PAUSED_INGRESS].process;
            ingress.pause();
            sleep(PAUSE).await;
            ingress.resume();
        }
        HardSituation::ColdStarts => {
            for index in 0..COLD_INSTANCES {
                start_cold(bench, index).await;
            }
        }
        HardSituation::ServiceSlow => {
            for backend in &bench.fleet.backends[..bench.shape.desks()] {
                backend.fault("{\"slow\":3}").await;
            }
        }
    }
}

/// Starts one more instance of the desk beside the daemon `index`, cold.
async fn start_cold(bench: &mut MeasureBench, index: usize) {
    let name = format!("cold{}", index + 1);
    let cold = ["--starting", "500ms", "--cold", "4s"];
    let plan = BackendPlan {
        slots: bench.shape.slots(),
        service_time: "40ms".to_owned(),
        extra: cold.map(str::to_owned).to_vec(),
        ..BackendPlan::new(DESK, &name)
    };
    bench.fleet.add_backend(index, plan).await;
}
