//! One row of the table.

use serde::Serialize;

/// Whether a figure meets its aim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum AimVerdict {
    /// It does.
    Met,
    /// It does not.
    Missed,
    /// It has no aim of its own.
    Told,
}

/// A measured figure.
#[derive(Debug, Clone, Serialize)]
pub struct MeasureRow {
    /// The measure.
    pub measure: &'static str,
    /// The case within it.
    pub case: String,
    /// The figure.
    pub value: f64,
    /// Its unit.
    pub unit: &'static str,
    /// The aim in words.
    pub aim: String,
    /// Whether it is met.
    pub verdict: AimVerdict,
    /// What else was seen.
    pub note: String,
}

impl MeasureRow {
    /// A figure that should be at most `aim`.
    pub fn at_most(
        measure: &'static str,
        case: &str,
        value: f64,
        unit: &'static str,
        aim: f64,
    ) -> Self {
        let is_met = value <= aim;
        Self::judged(measure, case, value, unit, format!("at most {aim}"), is_met)
    }

    /// A figure that should be at least `aim`.
    pub fn at_least(
        measure: &'static str,
        case: &str,
        value: f64,
        unit: &'static str,
        aim: f64,
    ) -> Self {
        let is_met = value >= aim;
        Self::judged(
            measure,
            case,
            value,
            unit,
            format!("at least {aim}"),
            is_met,
        )
    }

    /// A figure without an aim.
    pub fn told(measure: &'static str, case: &str, value: f64, unit: &'static str) -> Self {
        Self {
            verdict: AimVerdict::Told,
            ..Self::judged(measure, case, value, unit, String::new(), true)
        }
    }

    /// The same row with a note.
    pub fn with_note(mut self, note: impl Into<String>) -> Self {
        self.note = note.into();
        self
    }

    fn judged(
        measure: &'static str,
        case: &str,
        value: f64,
        unit: &'static str,
        aim: String,
        is_met: bool,
    ) -> Self {
        Self {
            measure,
            case: case.to_owned(),
            value,
            unit,
            aim,
            verdict: match is_met {
                true => AimVerdict::Met,
                false => AimVerdict::Missed,
            },
            note: String::new(),
        }
    }
}
