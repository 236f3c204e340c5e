//! The names of the measures.

use std::str::FromStr;

/// A measure that can be run alone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MeasureName {
    /// Latency added by ingress and egress.
    AddedLatency,
    /// Time until a sick instance gets no new work.
    Detection,
    /// Healthy instances ejected.
    FalseEjections,
    /// The client account that fares worst.
    WorstServed,
    /// Requests refused although within the rate.
    WrongfulRefusals,
    /// Requests admitted beyond the rate.
    OverAdmission,
    /// Internal checks while lookups overload.
    ConflictChecks,
    /// What a daemon spends on control.
    ControlCost,
    /// Time until a change is in force everywhere.
    Propagation,
}

impl MeasureName {
    /// Every measure, in the order of a whole run.
    pub const ALL: [Self; 9] = [
        Self::ControlCost,
        Self::AddedLatency,
        Self::Propagation,
        Self::ConflictChecks,
        Self::WorstServed,
        Self::FalseEjections,
        Self::Detection,
        Self::OverAdmission,
        Self::WrongfulRefusals,
    ];

    const fn as_str(self) -> &'static str {
        match self {
            Self::AddedLatency => "added-latency",
            Self::Detection => "detection",
            Self::FalseEjections => "false-ejections",
            Self::WorstServed => "worst-served",
            Self::WrongfulRefusals => "wrongful-refusals",
            Self::OverAdmission => "over-admission",
            Self::ConflictChecks => "conflict-checks",
            Self::ControlCost => "control-cost",
            Self::Propagation => "propagation",
        }
    }
}

impl FromStr for MeasureName {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let found = Self::ALL.into_iter().find(|name| name.as_str() == text);
        found.ok_or_else(|| {
            let names = Self::ALL.map(Self::as_str).join(", ");
            format!("measure '{text}' is unknown; use one of {names}")
        })
    }
}
