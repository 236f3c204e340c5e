//! Why the health of an instance changed.

use std::fmt;

use serde::Serialize;

/// The evidence behind a change of health.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum HealthCause {
    /// It answers far more slowly than its service does.
    Slow,
    /// Too many of its answers fail, are malformed or are cut.
    Failing,
    /// It finishes nothing.
    Stalled,
    /// It failed again while it came back.
    Relapsed,
    /// Its probes or requests went well after the ejection.
    Recovered,
    /// Its wait is over, and callers' requests try it.
    Tried,
    /// It took its present part of the work well.
    Ramped,
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
        })
    }
}
