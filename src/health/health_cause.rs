//! The reason for a change of an instance's health state.

use std::fmt;

use serde::Serialize;

/// Why the health state of an instance changed; logged under its name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum HealthCause {
    /// Its service times are an outlier in its service.
    Slow,
    /// Too many of its responses are failed, malformed or truncated.
    Failing,
    /// It completes no requests.
    Stalled,
    /// It was faulty again while ramping.
    Relapsed,
    /// Enough probes or requests in a row were good after the ejection.
    Recovered,
    /// The backoff of its ejection is over; trial requests of callers show whether it recovers.
    Tried,
    /// It completed a stage of its ramp.
    Ramped,
    /// Its availability zone is evacuated.
    Evacuated,
    /// The evacuation of its availability zone is over.
    Returned,
}

impl fmt::Display for HealthCause {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Slow => "slow",
            Self::Failing => "failing",
            Self::Stalled => "stalled",
            Self::Relapsed => "relapsed",
            Self::Recovered => "recovered",
            Self::Tried => "tried",
            Self::Ramped => "ramped",
            Self::Evacuated => "evacuated",
            Self::Returned => "returned",
        })
    }
}
