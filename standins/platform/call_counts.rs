//! What the stand-in was asked.

use serde::Serialize;

/// Answer to `GET /counts`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct CallCounts {
    /// Calls that read rows or objects.
    pub reads: u64,
    /// Calls that wrote rows or objects.
    pub writes: u64,
}
