//! Relative weights of request classes and of services.

use crate::counted_unit;

counted_unit!(
    /// Relative weight of a request class in a service's capacity, or of a service in a route's
    /// split; 1 to 1,000.
    Weight,
    "weight",
    1,
    1_000
);
