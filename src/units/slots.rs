//! The concurrency limit of an instance.

use crate::counted_unit;

counted_unit!(
    /// Number of requests that one instance processes concurrently; 1 to 10,000.
    Slots,
    "slots",
    1,
    10_000
);
