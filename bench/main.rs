//! Measures real daemons against the stand-ins, in the shape of a user.
#![allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "figures are small"
)]

mod account_plan;
mod added_latency;
mod admission_bound;
mod command_line;
#[path = "../tests/common/mod.rs"]
mod common;
mod conflict_checks;
mod control_cost;
mod detection_time;
mod ejection_watch;
mod false_ejections;
mod load_records;
mod load_run;
mod load_stream;
mod measure_bench;
mod measure_name;
mod measure_report;
mod measure_row;
mod over_admission;
mod process_usage;
mod propagation;
mod request_kind;
mod request_record;
mod request_sender;
mod sick_watch;
mod slopes;
mod user_shape;
mod worst_served;
mod wrongful_refusals;

use std::process::Command;
use std::time::Instant;

use crate::command_line::{CommandLine, MeasureCommand};
use crate::measure_bench::MeasureBench;
use crate::measure_name::MeasureName;
use crate::measure_report::MeasureReport;
use crate::measure_row::MeasureRow;
use crate::process_usage::load_average;

/// Settings that put plain decisions in place of the fleet's own.
const BASELINE_TABLES: &str =
    "[baseline]\nround_robin = true\nno_ejection = true\nstatic_split = true\n";

fn main() {
    let line: CommandLine = argh::from_env();
    match &line.command {
        Some(MeasureCommand::Slopes(command)) => slopes::run_all(command),
        Some(MeasureCommand::SlopePoint(command)) => slopes::run_point(command),
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
    let begun = Instant::now();
    let before = load_average();
    let tables = if line.baseline { BASELINE_TABLES } else { "" };
    let mut bench = MeasureBench::open(line.shape, line.seed, tables).await;
    let mut rows = Vec::new();
    for name in MeasureName::ALL {
        if line.only.is_empty() || line.only.contains(&name) {
            eprintln!("{name:?} at {} s", begun.elapsed().as_secs());
            rows.extend(measure(&mut bench, name).await);
        }
    }
    MeasureReport {
        shape: line.shape.to_string(),
        baseline: baseline_word(line).to_owned(),
        commit: commit(),
        seed: line.seed,
        load: load_words(&bench),
        load_average: [before, load_average()],
        seconds: begun.elapsed().as_secs(),
        rows,
    }
}

async fn measure(bench: &mut MeasureBench, name: MeasureName) -> Vec<MeasureRow> {
    match name {
        MeasureName::AddedLatency => added_latency::measure(bench).await,
        MeasureName::Detection => detection_time::measure(bench).await,
        MeasureName::FalseEjections => false_ejections::measure(bench).await,
        MeasureName::WorstServed => worst_served::measure(bench).await,
        MeasureName::WrongfulRefusals => wrongful_refusals::measure(bench).await,
        MeasureName::OverAdmission => admission_bound::measure(bench).await,
        MeasureName::ConflictChecks => conflict_checks::measure(bench).await,
        MeasureName::ControlCost => control_cost::measure(bench).await,
        MeasureName::Propagation => propagation::measure(bench).await,
    }
}

const fn baseline_word(line: &CommandLine) -> &'static str {
    match line.baseline {
        true => "plain baseline",
        false => "as shipped",
    }
}

fn load_words(bench: &MeasureBench) -> String {
    let of = |service| bench.capacity(service);
    format!(
        "{} daemons, an instance beside each; capacity {:.0} requests/s at the desk and {:.0} at the archive",
        bench.shape.instances(),
        of(request_kind::DESK),
        of(request_kind::ARCHIVE)
    )
}

/// The commit of the working tree, with a mark when it has changes.
fn commit() -> String {
    let describe = ["describe", "--always", "--dirty"];
    let output = Command::new("git").args(describe).output();
    output.map_or_else(
        |_| "unknown".to_owned(),
        |output| String::from_utf8_lossy(&output.stdout).trim().to_owned(),
    )
}
