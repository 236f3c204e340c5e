//! Rows of leases as a daemon last read them.

use std::time::Duration;

use crate::ids::Version;
use crate::limits::{LeaseRow, clock_margin};
use crate::time::MonoTime;

/// How much longer than its lease a row must stay unchanged before another daemon may claim it.
const CLAIM_MARGIN: Duration = Duration::from_secs(1);

/// The row of a share as last read.
#[derive(Debug, Clone)]
pub(super) struct SeenRow {
    pub(super) version: Version,
    /// When this version was first seen.
    pub(super) since: MonoTime,
    pub(super) row: Option<LeaseRow>,
}

/// How long the row of a lease of duration `lease` must stay unchanged before another daemon may claim
/// the share.
pub(super) fn claim_wait(lease: Duration) -> Duration {
    clock_margin::lengthened(lease) + CLAIM_MARGIN
}
