//! The `AttemptLimit` quantity.

use crate::counted_unit;

counted_unit!(
    /// Most instances that one request may reach.
    AttemptLimit,
    "attempts",
    1,
    16
);
