//! The `Weight` quantity.

use crate::counted_unit;

counted_unit!(
    /// Relative share of a class in the capacity of a service.
    Weight,
    "weight",
    1,
    1_000
);
