//! Counts of a service's requests by the zone that served them.

use serde::Serialize;

use crate::ids::ServiceId;

/// Requests served since the daemon started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct ZoneCounts {
    /// Requests that the own zone served.
    pub kept: u64,
    /// Requests that another zone served.
    pub overflowed: u64,
    /// Requests among `kept` that had been offered to another zone in vain.
    pub returned: u64,
    /// Requests among `overflowed` that were sent only to learn of the instances of another zone.
    pub sampled: u64,
}

/// The counts of one service, for the metrics.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneLine {
    /// The service.
    pub service: ServiceId,
    /// Its counts.
    pub counts: ZoneCounts,
    /// Its present overflow share, in thousandths.
    pub share_permille: u64,
}
