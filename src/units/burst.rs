//! The `Burst` quantity.

use crate::counted_unit;

counted_unit!(
    /// Requests that a client account may send at once, above its rate.
    Burst,
    "burst",
    1,
    1_000_000
);
