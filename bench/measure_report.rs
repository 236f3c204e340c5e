//! The report of a run.

use std::fmt;

use serde::Serialize;

use crate::measure_row::{AimVerdict, MeasureRow};

/// Everything that a run measured.
#[derive(Debug, Serialize)]
pub struct MeasureReport {
    /// The user's shape.
    pub shape: String,
    /// Which decisions were replaced by plain ones.
    pub baseline: String,
    /// The commit measured.
    pub commit: String,
    /// The seed.
    pub seed: u64,
    /// The load in words.
    pub load: String,
    /// The machine's load average before and after.
    pub load_average: [String; 2],
    /// Seconds that the run took.
    pub seconds: u64,
    /// The figures.
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
                word(row.verdict),
                row.note
            )?;
        }
        Ok(())
    }
}

const fn word(verdict: AimVerdict) -> &'static str {
    match verdict {
        AimVerdict::Met => "met",
        AimVerdict::Missed => "MISSED",
        AimVerdict::Told => "",
    }
}
