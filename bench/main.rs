//! Benchmark tool: runs a fleet of real daemons with simulated backend servers and platform.
#![allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "figures are small"
)]

mod account_plan;
mod added_latency;
mod admission_bound;
mod bench_fixture;
mod command_line;
#[path = "../tests/common/mod.rs"]
mod common;
mod conflict_checks;
mod control_cost;
mod detection_time;
mod ejection_watch;
mod false_ejections;
mod fault_detection;
mod fleet_shape;
mod load_records;
mod load_run;
mod load_stream;
mod measure_name;
mod measure_report;
mod measure_row;
mod over_admission;
mod process_usage;
mod propagation;
mod request_kind;
mod request_record;
mod request_sender;
mod scaling;
mod worst_served;
mod wrongful_refusals;

use std::process::Command;
use std::time::Instant;

use crate::bench_fixture::BenchFixture;
use crate::command_line::{CommandLine, MeasureCommand};
use crate::measure_name::MeasureName;
use crate::measure_report::MeasureReport;
use crate::measure_row::MeasureRow;
use crate::process_usage::load_average;

/// Settings that replace load balancing, ejection and rate sharing by simple policies.
const BASELINE_TABLES: &str =
    "[baseline]\nround_robin = true\nno_ejection = true\nstatic_split = true\n";

fn main() {
    let line: CommandLine = argh::from_env();
    match &line.command {
        Some(MeasureCommand::Scaling(command)) => scaling::measure_all(command),
        Some(MeasureCommand::ScalingPoint(command)) => scaling::measure_point(command),
        None => measure_fleet(&line),
    }
}

fn measure_fleet(line: &CommandLine) {
    let report = actix_rt::System::new().block_on(run(line));
    if line.json {
        let text = serde_json::to_string_pretty(&report);
        println!("{}", text.unwrap_or_default());
    } else {
        println!("{report}");
    }
}

async fn run(line: &CommandLine) -> MeasureReport {
    let started = Instant::now();
    let (before, commit) = (load_average(), commit());
    let tables = if line.baseline { BASELINE_TABLES } else { "" };
    let mut fixture = BenchFixture::open(line.shape, line.seed, tables).await;
    let mut rows = Vec::new();
    for name in MeasureName::ALL {
        if line.only.is_empty() || line.only.contains(&name) {
            eprintln!("{name:?} at {} s", started.elapsed().as_secs());
            rows.extend(measure(&mut fixture, name).await);
        }
    }
    MeasureReport {
        shape: line.shape.to_string(),
        baseline: baseline_label(line).to_owned(),
        commit,
        seed: line.seed,
        load: load_summary(&fixture),
        load_average: [before, load_average()],
        seconds: started.elapsed().as_secs(),
        rows,
    }
}

async fn measure(fixture: &mut BenchFixture, name: MeasureName) -> Vec<MeasureRow> {
    match name {
        MeasureName::AddedLatency => added_latency::measure(fixture).await,
        MeasureName::Detection => detection_time::measure(fixture).await,
        MeasureName::FalseEjections => false_ejections::measure(fixture).await,
        MeasureName::WorstServed => worst_served::measure(fixture).await,
        MeasureName::WrongfulRefusals => wrongful_refusals::measure(fixture).await,
        MeasureName::OverAdmission => admission_bound::measure(fixture).await,
        MeasureName::ConflictChecks => conflict_checks::measure(fixture).await,
        MeasureName::ControlCost => control_cost::measure(fixture).await,
        MeasureName::Propagation => propagation::measure(fixture).await,
    }
}

const fn baseline_label(line: &CommandLine) -> &'static str {
    match line.baseline {
        true => "plain baseline",
        false => "as shipped",
    }
}

fn load_summary(fixture: &BenchFixture) -> String {
    let of = |service| fixture.capacity(service);
    format!(
        "{} daemons, an instance beside each; capacity {:.0} requests/s at the desk and {:.0} at the archive",
        fixture.shape.instances(),
        of(request_kind::DESK),
        of(request_kind::ARCHIVE)
    )
}

/// The commit of the working tree, marked as dirty if it has changes.
fn commit() -> String {
    let describe = ["describe", "--always", "--dirty"];
    let output = Command::new("git").args(describe).output();
    output.map_or_else(
        |_| "unknown".to_owned(),
        |output| String::from_utf8_lossy(&output.stdout).trim().to_owned(),
    )
}
