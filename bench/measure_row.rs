//! One measured value of the report.

use serde::Serialize;

/// Whether a measured value meets its aim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum AimVerdict {
    /// The value meets its aim.
    Met,
    /// The value misses its aim.
    Missed,
    /// The value has no aim.
    #[serde(rename = "told")]
    NoAim,
}

/// A measured value and its aim.
#[derive(Debug, Clone, Serialize)]
pub struct MeasureRow {
    /// Name of the measure.
    pub measure: &'static str,
    /// Case within the measure.
    pub case: String,
    /// Measured value, in `unit`.
    pub value: f64,
    /// Unit of the value.
    pub unit: &'static str,
    /// Aim as text, such as `at most 3`; empty without an aim.
    pub aim: String,
    /// Whether the value meets the aim.
    pub verdict: AimVerdict,
    /// Further observations; may be empty.
    pub note: String,
}

impl MeasureRow {
    /// A value that should be at most `aim`.
    pub fn at_most(
        measure: &'static str,
        case: &str,
        value: f64,
        unit: &'static str,
        aim: f64,
    ) -> Self {
        let is_met = value <= aim;
        Self::with_verdict(measure, case, value, unit, format!("at most {aim}"), is_met)
    }

    /// A value that should be at least `aim`.
    pub fn at_least(
        measure: &'static str,
        case: &str,
        value: f64,
        unit: &'static str,
        aim: f64,
    ) -> Self {
        let is_met = value >= aim;
        Self::with_verdict(
            measure,
            case,
            value,
            unit,
            format!("at least {aim}"),
            is_met,
        )
    }

    /// A value without an aim.
    pub fn without_aim(measure: &'static str, case: &str, value: f64, unit: &'static str) -> Self {
        Self {
            verdict: AimVerdict::NoAim,
            ..Self::with_verdict(measure, case, value, unit, String::new(), true)
        }
    }

    /// Sets the note.
    pub fn with_note(mut self, note: impl Into<String>) -> Self {
        self.note = note.into();
        self
    }

    fn with_verdict(
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
