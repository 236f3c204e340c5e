//! Names of the measures on the command line.

use std::str::FromStr;

/// A measure of the benchmark.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MeasureName {
    /// Latency that the proxies add.
    AddedLatency,
    /// Time until a faulty instance gets no more new requests.
    Detection,
    /// Number of healthy instances that are ejected.
    FalseEjections,
    /// Fraction of requests answered in time for the worst-served client account.
    WorstServed,
    /// Fraction of requests refused although their account is within its rate.
    WrongfulRefusals,
    /// Number of requests admitted beyond an account's rate and burst.
    OverAdmission,
    /// Latency of internal checks while lookups overload their service.
    ConflictChecks,
    /// Processor time, memory and gossip traffic of a daemon.
    ControlCost,
    /// Time until a configuration change is in effect on every daemon.
    Propagation,
}

impl MeasureName {
    /// Every measure, in the order in which a full run executes them.
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
