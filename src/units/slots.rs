//! The `Slots` quantity.

use crate::counted_unit;

counted_unit!(
    /// Requests that one instance runs at the same time.
    Slots,
    "slots",
    1,
    10_000
);
