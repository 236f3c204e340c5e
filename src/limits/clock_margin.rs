//! Safety margin for clock drift between VMs.

use std::time::Duration;

/// The clocks of two VMs are assumed to drift apart by less than 1/50 (2%).
const DRIFT_DIVISOR: u32 = 50;

/// How long a lessee may use a lease of `span`, so that it stops before the lessor's `span` has
/// passed even if its clock is slow.
#[must_use]
pub fn shortened(span: Duration) -> Duration {
    span - span / DRIFT_DIVISOR
}

/// How long an observer must wait until a lease of `span` has certainly expired for its holder,
/// even if the observer's clock is fast.
#[must_use]
pub fn lengthened(span: Duration) -> Duration {
    span + span / DRIFT_DIVISOR
}
