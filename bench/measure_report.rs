//! Report of a benchmark run.

use std::fmt;

use serde::Serialize;

use crate::measure_row::{AimVerdict, MeasureRow};

/// Parameters and results of a benchmark run.
#[derive(Debug, Serialize)]
pub struct MeasureReport {
    /// Name of the fleet size.
    pub shape: String,
    /// Whether the fleet ran with baseline policies or as shipped.
    pub baseline: String,
    /// Commit of the working tree.
    pub commit: String,
    /// Seed of the load and of the simulated backend servers.
    pub seed: u64,
    /// Size and capacity of the fleet, as text.
    pub load: String,
    /// The machine's one-minute load average before and after the run.
    pub load_average: [String; 2],
    /// Duration of the run, in seconds.
    pub seconds: u64,
    /// Measured values, in the order of measurement.
    pub rows: Vec<MeasureRow>,
}

impl fmt::Display for MeasureReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "shape {}, {}, commit {}, seed {}, {} s",
            self.shape, self.baseline, self.commit, self.seed, self.seconds
        )?;
        let [before, after] = &self.load_average;
        writeln!(formatter, "{}", self.load)?;
        writeln!(formatter, "load average before {before}, after {after}\n")?;
        writeln!(formatter, "| measure | case | figure | aim | | note |")?;
        writeln!(formatter, "| --- | --- | ---: | --- | --- | --- |")?;
        for row in &self.rows {
            writeln!(
                formatter,
                "| {} | {} | {:.3} {} | {} | {} | {} |",
                row.measure,
                row.case,
                row.value,
                row.unit,
                row.aim,
                verdict_label(row.verdict),
                row.note
            )?;
        }
        Ok(())
    }
}

const fn verdict_label(verdict: AimVerdict) -> &'static str {
    match verdict {
        AimVerdict::Met => "met",
        AimVerdict::Missed => "MISSED",
        AimVerdict::NoAim => "",
    }
}
