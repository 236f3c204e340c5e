//! Counters of the requests to the simulated platform.

use serde::Serialize;

/// JSON body of `GET /counts`; refused requests are not counted.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct CallCounts {
    /// Number of requests that are neither a commit nor an object write.
    pub reads: u64,
    /// Number of commits and object writes.
    pub writes: u64,
}
