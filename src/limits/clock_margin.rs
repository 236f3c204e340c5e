//! Allowance for clocks that run at different speeds.

use std::time::Duration;

/// Clocks of two VMs are taken to differ by less than one part in this many.
const DRIFT_DIVISOR: u32 = 50;

/// How long the borrower may use what the lender gives away for `span`.
#[must_use]
pub fn shortened(span: Duration) -> Duration {
    span - span / DRIFT_DIVISOR
}

/// How long an observer must see a lease of `span` unchanged before it has surely ended.
#[must_use]
pub fn lengthened(span: Duration) -> Duration {
    span + span / DRIFT_DIVISOR
}
